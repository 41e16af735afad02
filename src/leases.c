#include <glib.h>

#include "leases.h"
#include "mutant.h"

struct lease {
	uint64_t endpoint;     /* key */
	uint64_t expires_at;   /* leader's clock */
	uint64_t heartbeat_at; /* latest receipt, leader's clock */
	uint64_t clock_ms;     /* endpoint's clock in that heartbeat */
	bool closed; /* never renewed again: the endpoint is being removed */
};

struct gyp_leases {
	uint32_t lease_ms;
	uint64_t default_expires_at; /* for endpoints not in the table */
	GHashTable *table;           /* endpoint -> struct lease */
};

uint64_t
gyp_lease_expiry(uint64_t now, uint32_t lease_ms)
{
	if (GYP_MUTANT(NO_CLOCK_BOUND))
		return now + lease_ms;
	return now + lease_ms + lease_ms / GYP_CLOCK_RATE_DIVISOR +
	       GYP_LEASE_MARGIN_MS;
}

uint32_t
gyp_leave_bound_ms(uint32_t start_window_ms)
{
	return (uint32_t)gyp_lease_expiry(0, start_window_ms);
}

struct gyp_leases *
gyp_leases_new(uint32_t lease_ms)
{
	struct gyp_leases *l = g_new0(struct gyp_leases, 1);

	l->lease_ms = lease_ms;
	l->table =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return l;
}

void
gyp_leases_free(struct gyp_leases *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->table);
	g_free(l);
}

void
gyp_leases_reset(struct gyp_leases *l, uint64_t now)
{
	g_hash_table_remove_all(l->table);
	l->default_expires_at = gyp_lease_expiry(now, l->lease_ms);
}

static struct lease *
get_lease(struct gyp_leases *l, uint64_t endpoint)
{
	struct lease *lease = g_hash_table_lookup(l->table, &endpoint);

	if (lease != NULL)
		return lease;
	lease = g_new0(struct lease, 1);
	lease->endpoint = endpoint;
	g_hash_table_insert(l->table, &lease->endpoint, lease);
	return lease;
}

bool
gyp_leases_renew(
    struct gyp_leases *l, uint64_t endpoint, uint64_t now, uint64_t clock_ms)
{
	struct lease *lease = get_lease(l, endpoint);

	if (lease->closed)
		return false;
	/* Ignores a heartbeat that a newer one has overtaken. */
	if (lease->heartbeat_at != 0 && clock_ms < lease->clock_ms)
		return true;
	lease->heartbeat_at = now;
	lease->clock_ms = clock_ms;
	lease->expires_at = gyp_lease_expiry(now, l->lease_ms);
	return true;
}

bool
gyp_leases_grant(struct gyp_leases *l, uint64_t endpoint, uint64_t now)
{
	struct lease *lease = get_lease(l, endpoint);

	if (lease->closed)
		return false;
	lease->expires_at = gyp_lease_expiry(now, l->lease_ms);
	return true;
}

void
gyp_leases_close(struct gyp_leases *l, uint64_t endpoint)
{
	get_lease(l, endpoint)->closed = true;
}

bool
gyp_leases_expired(const struct gyp_leases *l, uint64_t endpoint, uint64_t now)
{
	const struct lease *lease = g_hash_table_lookup(l->table, &endpoint);

	if (lease != NULL && lease->closed)
		return false;
	return now >
	       (lease != NULL ? lease->expires_at : l->default_expires_at);
}

bool
gyp_leases_not_after(const struct gyp_leases *l, uint64_t endpoint,
    uint64_t now, uint32_t window_ms, uint64_t *not_after)
{
	const struct lease *lease = g_hash_table_lookup(l->table, &endpoint);
	uint64_t lease_end, window_end;

	if (lease == NULL || lease->closed || lease->heartbeat_at == 0 ||
	    now >= lease->heartbeat_at + l->lease_ms)
		return false;
	lease_end = lease->clock_ms + l->lease_ms;
	window_end = lease->clock_ms + (now - lease->heartbeat_at) + window_ms;
	*not_after = MIN(lease_end, window_end);
	return true;
}
