#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "exchange.h"
#include "msg.h"
#include "state.h"

struct gyp_exchanges {
	struct gyp_httpc *client;
	gyp_exchange_fn done;
	void *arg;
	GHashTable *queues; /* address -> struct endpoint_queue */
};

/* The open and waiting exchanges of an endpoint. */
struct endpoint_queue {
	char *address;
	uint32_t open;   /* open exchanges */
	uint32_t starts; /* open exchanges that are starts */
	GQueue waiting;  /* struct gyp_exchange */
};

struct sent_order {
	struct gyp_exchanges *xs;
	struct endpoint_queue *queue;
	uint64_t id;
	Gyp__OrderType type;
};

static void send_waiting(struct gyp_exchanges *, struct endpoint_queue *);

static enum gyp_attempt_state
parse_state(const char *state)
{
	if (strcmp(state, "done") == 0)
		return GYP_ATTEMPT_DONE;
	if (strcmp(state, "failed") == 0)
		return GYP_ATTEMPT_FAILED;
	if (strcmp(state, "running") == 0)
		return GYP_ATTEMPT_RUNNING;
	if (strcmp(state, "refused") == 0)
		return GYP_ATTEMPT_NOT_STARTED;
	if (strcmp(state, "checkpointed") == 0)
		return GYP_ATTEMPT_CHECKPOINTED;
	return GYP_ATTEMPT_UNKNOWN;
}

static enum gyp_attempt_state
state_of_result(Gyp__OrderType type, const struct gyp_httpc_result *res)
{
	bool start = type == GYP__ORDER_TYPE__ORDER_START;

	if (res->end == GYP_HTTPC_NOT_SENT)
		return start ? GYP_ATTEMPT_NOT_STARTED : GYP_ATTEMPT_UNKNOWN;
	if (res->end == GYP_HTTPC_LOST)
		return GYP_ATTEMPT_UNKNOWN;
	if (res->state[0] != '\0' || !start)
		return parse_state(res->state);
	if (res->status == 202)
		return GYP_ATTEMPT_RUNNING;
	return res->status >= 200 && res->status < 300 ? GYP_ATTEMPT_DONE
						       : GYP_ATTEMPT_FAILED;
}

static const char *
reason_of(enum gyp_attempt_state state, const struct gyp_httpc_result *res)
{
	if (res->reason[0] != '\0')
		return res->reason;
	if (state == GYP_ATTEMPT_FAILED)
		return "failed at the endpoint";
	if (state == GYP_ATTEMPT_NOT_STARTED)
		return "refused by the endpoint";
	return "";
}

static void
on_result(void *arg, const struct gyp_httpc_result *res)
{
	struct sent_order *sent = arg;
	struct gyp_exchange_result out = {
	    .state = state_of_result(sent->type, res)};

	out.http_status = res->status;
	out.content_type = res->content_type;
	out.reason = reason_of(out.state, res);
	out.answer = res->body;
	out.answer_len = res->len;
	out.answer_dropped = res->body_dropped;
	sent->queue->open--;
	sent->queue->starts -= sent->type == GYP__ORDER_TYPE__ORDER_START;
	sent->xs->done(sent->xs->arg, sent->id, &out);
	send_waiting(sent->xs, sent->queue);
}

static const char *
url_suffix(Gyp__OrderType type)
{
	switch (type) {
	case GYP__ORDER_TYPE__ORDER_START:
		return "/start";
	case GYP__ORDER_TYPE__ORDER_STOP:
		return "/stop";
	case GYP__ORDER_TYPE__ORDER_CHECKPOINT:
		return "/checkpoint";
	case GYP__ORDER_TYPE__ORDER_THROTTLE:
		return "/throttle";
	case GYP__ORDER_TYPE__ORDER_QUERY:
	default:
		return "";
	}
}

static char *
format_url(const Gyp__Order *order)
{
	const Gyp__Attempt *a = order->attempt;

	return g_strdup_printf("http://%s/v1/attempts/%" G_GINT64_MODIFIER
			       "x.%x.%x%s",
	    order->address, a->job, a->task, a->attempt,
	    url_suffix(order->type));
}

static char *
format_size_header(const Gyp__Res *size)
{
	if (size == NULL)
		return g_strdup("Gyp-Size:");
	return g_strdup_printf(
	    "Gyp-Size: cpu_milli=%u memory_bytes=%" G_GUINT64_FORMAT
	    " accelerators=%u slots=%u",
	    size->cpu_milli, size->memory, size->accel, size->slots);
}

/* ---- Sending ----------------------------------------------------------- */

/*
 * Lets an endpoint that has restarted at the same address reject an order meant
 * for its earlier incarnation.
 */
static void
format_incarnation_header(const Gyp__Order *order, char *text, gulong size)
{
	g_snprintf(text, size, "Gyp-Incarnation: %" G_GINT64_MODIFIER "x",
	    order->incarnation);
}

static void
send_start(struct gyp_exchanges *xs, struct gyp_httpc_request *req,
    const struct gyp_exchange *x)
{
	const Gyp__Order *order = x->order;
	char not_after[64], kind[64], incarnation[64];
	char *size = format_size_header(order->size);
	const char *headers[] = {not_after, kind, size, incarnation,
	    "Content-Type: application/octet-stream", NULL};

	g_snprintf(not_after, sizeof(not_after),
	    "Gyp-Not-After: %" G_GUINT64_FORMAT, order->not_after_ms);
	g_snprintf(
	    kind, sizeof(kind), "Gyp-Kind: %s", gyp_kind_name(order->kind));
	format_incarnation_header(order, incarnation, sizeof(incarnation));
	req->headers = headers;
	req->body = order->payload.data;
	req->len = order->payload.len;
	req->send_by = x->send_by;
	gyp_httpc_send(xs->client, req);
	g_free(size);
}

static void
send_control(struct gyp_exchanges *xs, struct gyp_httpc_request *req,
    const Gyp__Order *order)
{
	char limit[64], incarnation[64];
	const char *headers[] = {incarnation, NULL, NULL};

	if (order->type == GYP__ORDER_TYPE__ORDER_QUERY)
		req->method = "GET";
	g_snprintf(
	    limit, sizeof(limit), "Gyp-Cpu-Limit: %u", order->cpu_limit_milli);
	if (order->type == GYP__ORDER_TYPE__ORDER_THROTTLE)
		headers[1] = limit;
	format_incarnation_header(order, incarnation, sizeof(incarnation));
	req->headers = headers;
	req->timeout_ms = GYP_ORDER_TIMEOUT_MS;
	gyp_httpc_send(xs->client, req);
}

static void
send_order(struct gyp_exchanges *xs, struct endpoint_queue *queue,
    struct gyp_exchange *x)
{
	struct sent_order *sent = g_new0(struct sent_order, 1);
	char *url = format_url(x->order);
	struct gyp_httpc_request req = {.method = "POST",
	    .url = url,
	    .response_max = GYP_ANSWER_MAX,
	    .done = on_result,
	    .arg = sent,
	    .free_arg = g_free};

	sent->xs = xs;
	sent->queue = queue;
	sent->id = x->id;
	sent->type = x->order->type;
	queue->open++;
	if (sent->type == GYP__ORDER_TYPE__ORDER_START) {
		queue->starts++;
		send_start(xs, &req, x);
	} else {
		send_control(xs, &req, x->order);
	}
	g_free(url);
	gyp_message_free(x->order);
}

/* ---- Connections of one endpoint --------------------------------------- */

static bool
can_send(const struct endpoint_queue *queue, const Gyp__Order *order)
{
	uint32_t cap = MAX(order->cap, 1);

	if (order->type == GYP__ORDER_TYPE__ORDER_START)
		return queue->open < cap && queue->starts < MAX(cap - 1, 1);
	return queue->open < cap;
}

/*
 * Sends what the limits allow. Starts that must wait don't hold up other orders
 * behind them.
 */
static void
send_waiting(struct gyp_exchanges *xs, struct endpoint_queue *queue)
{
	GList *l = queue->waiting.head;

	while (l != NULL) {
		GList *next = l->next;
		struct gyp_exchange *x = l->data;

		if (can_send(queue, x->order)) {
			g_queue_delete_link(&queue->waiting, l);
			send_order(xs, queue, x);
			g_free(x);
		}
		l = next;
	}
	if (queue->open == 0 && queue->waiting.length == 0)
		g_hash_table_remove(xs->queues, queue->address);
}

static struct endpoint_queue *
ensure_queue(struct gyp_exchanges *xs, const char *address)
{
	struct endpoint_queue *queue = g_hash_table_lookup(xs->queues, address);

	if (queue != NULL)
		return queue;
	queue = g_new0(struct endpoint_queue, 1);
	queue->address = g_strdup(address);
	g_hash_table_insert(xs->queues, queue->address, queue);
	return queue;
}

static void
reject(struct gyp_exchanges *xs, struct gyp_exchange *x)
{
	struct gyp_exchange_result res = {.state = GYP_ATTEMPT_UNKNOWN,
	    .reason = "too many orders wait for the endpoint"};

	if (x->order->type == GYP__ORDER_TYPE__ORDER_START)
		res.state = GYP_ATTEMPT_NOT_STARTED;
	gyp_message_free(x->order);
	xs->done(xs->arg, x->id, &res);
}

void
gyp_exchanges_run(struct gyp_exchanges *xs, struct gyp_exchange *x)
{
	struct endpoint_queue *queue = ensure_queue(xs, x->order->address);

	if (queue->waiting.length >= GYP_EXCHANGE_QUEUE_MAX) {
		reject(xs, x);
		return;
	}
	g_queue_push_tail(&queue->waiting, g_memdup2(x, sizeof(*x)));
	send_waiting(xs, queue);
}

static void
free_queue(gpointer p)
{
	struct endpoint_queue *queue = p;
	struct gyp_exchange *x;

	while ((x = g_queue_pop_head(&queue->waiting)) != NULL) {
		gyp_message_free(x->order);
		g_free(x);
	}
	g_free(queue->address);
	g_free(queue);
}

struct gyp_exchanges *
gyp_exchanges_new(struct gyp_httpc *client, gyp_exchange_fn done, void *arg)
{
	struct gyp_exchanges *xs = g_new0(struct gyp_exchanges, 1);

	xs->client = client;
	xs->done = done;
	xs->arg = arg;
	xs->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_queue);
	return xs;
}

void
gyp_exchanges_free(struct gyp_exchanges *xs)
{
	if (xs == NULL)
		return;
	g_hash_table_destroy(xs->queues);
	g_free(xs);
}
