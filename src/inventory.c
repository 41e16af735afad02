#include "inventory.h"

struct gyp_inventory {
	uint64_t next_request;
	uint64_t open; /* number of the open request, or 0 */
	bool queued;   /* it was not popped yet */
	uint64_t requested_at;
	uint64_t closed_at; /* the latest request; 0: none */
	uint64_t interval_ms;
};

struct gyp_inventory *
gyp_inventory_new(uint64_t first_request)
{
	struct gyp_inventory *inv = g_new0(struct gyp_inventory, 1);

	inv->next_request = first_request;
	inv->interval_ms = GYP_INVENTORY_INTERVAL_MIN_MS;
	return inv;
}

void
gyp_inventory_free(struct gyp_inventory *inv)
{
	g_free(inv);
}

void
gyp_inventory_tick(
    struct gyp_inventory *inv, uint64_t now, bool wanted, bool fresh)
{
	if (fresh)
		gyp_inventory_hurry(inv);
	if (inv->open != 0 &&
	    now >= inv->requested_at + GYP_INVENTORY_TIMEOUT_MS)
		gyp_inventory_drop(inv);
	if (!wanted || inv->open != 0 ||
	    (inv->closed_at != 0 && now < inv->closed_at + inv->interval_ms))
		return;
	inv->open = inv->next_request++;
	inv->queued = true;
	inv->requested_at = now;
}

bool
gyp_inventory_pop_request(struct gyp_inventory *inv, uint64_t *request)
{
	if (!inv->queued)
		return false;
	inv->queued = false;
	*request = inv->open;
	return true;
}

bool
gyp_inventory_close(struct gyp_inventory *inv, uint64_t now,
    const struct gyp_inventory_answer *a, uint64_t *requested_at)
{
	if (inv->open == 0 || inv->queued || a->request != inv->open)
		return false;
	inv->open = 0;
	inv->closed_at = now;
	inv->interval_ms =
	    MIN(2 * inv->interval_ms, GYP_INVENTORY_INTERVAL_MAX_MS);
	*requested_at = inv->requested_at;
	return true;
}

void
gyp_inventory_hurry(struct gyp_inventory *inv)
{
	inv->interval_ms = GYP_INVENTORY_INTERVAL_MIN_MS;
}

void
gyp_inventory_drop(struct gyp_inventory *inv)
{
	if (inv->open != 0)
		inv->closed_at = inv->requested_at;
	inv->open = 0;
	inv->queued = false;
}
