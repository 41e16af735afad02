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
};

struct running {
	struct gyp_exchanges *xs;
	uint64_t id;
	Gyp__OrderType type;
};

static enum gyp_fate
fate_of_state(const char *state)
{
	if (strcmp(state, "done") == 0)
		return GYP_FATE_DONE;
	if (strcmp(state, "failed") == 0)
		return GYP_FATE_FAILED;
	if (strcmp(state, "running") == 0)
		return GYP_FATE_RUNNING;
	if (strcmp(state, "refused") == 0)
		return GYP_FATE_NOT_STARTED;
	return GYP_FATE_LOST;
}

static enum gyp_fate
fate_of(Gyp__OrderType type, const struct gyp_httpc_result *res)
{
	bool start = type == GYP__ORDER_TYPE__ORDER_START;

	if (res->end == GYP_HTTPC_NOT_SENT)
		return start ? GYP_FATE_NOT_STARTED : GYP_FATE_LOST;
	if (res->end == GYP_HTTPC_LOST)
		return GYP_FATE_LOST;
	if (res->state[0] != '\0' || !start)
		return fate_of_state(res->state);
	if (res->status == 202)
		return GYP_FATE_RUNNING;
	return res->status >= 200 && res->status < 300 ? GYP_FATE_DONE
						       : GYP_FATE_FAILED;
}

static const char *
reason_of(enum gyp_fate fate, const struct gyp_httpc_result *res)
{
	if (res->reason[0] != '\0')
		return res->reason;
	if (fate == GYP_FATE_FAILED)
		return "failed at the endpoint";
	if (fate == GYP_FATE_NOT_STARTED)
		return "refused by the endpoint";
	return "";
}

static void
on_done(void *arg, const struct gyp_httpc_result *res)
{
	struct running *run = arg;
	struct gyp_exchange_result out = {.fate = fate_of(run->type, res)};

	out.http_status = res->status;
	out.content_type = res->content_type;
	out.reason = reason_of(out.fate, res);
	out.answer = res->body;
	out.answer_len = res->len;
	out.answer_dropped = res->dropped;
	run->xs->done(run->xs->arg, run->id, &out);
	g_free(run);
}

static char *
make_url(const Gyp__Order *order)
{
	const Gyp__Attempt *a = order->attempt;
	const char *verb =
	    order->type == GYP__ORDER_TYPE__ORDER_START  ? "/start"
	    : order->type == GYP__ORDER_TYPE__ORDER_STOP ? "/stop"
							 : "";

	return g_strdup_printf("http://%s/v1/attempts/%" G_GINT64_MODIFIER
			       "x.%x.%x%s",
	    order->address, a->job, a->task, a->attempt, verb);
}

void
gyp_exchanges_run(struct gyp_exchanges *xs, struct gyp_exchange *x)
{
	const Gyp__Order *order = x->order;
	bool start = order->type == GYP__ORDER_TYPE__ORDER_START;
	struct running *run = g_new0(struct running, 1);
	struct gyp_httpc_request req = {.done = on_done, .arg = run};
	char *url = make_url(order);
	char not_after[64], kind[64], incarnation[64];
	/* A question carries only the first. */
	const char *headers[] = {incarnation, NULL, kind,
	    "Content-Type: application/octet-stream", NULL};

	run->xs = xs;
	run->id = x->id;
	run->type = order->type;
	g_snprintf(not_after, sizeof(not_after),
	    "Gyp-Not-After: %" G_GUINT64_FORMAT, order->not_after_ms);
	g_snprintf(
	    kind, sizeof(kind), "Gyp-Kind: %s", gyp_kind_name(order->kind));
	g_snprintf(incarnation, sizeof(incarnation),
	    "Gyp-Incarnation: %" G_GINT64_MODIFIER "x", order->incarnation);
	if (start)
		headers[1] = not_after;
	req.method =
	    order->type == GYP__ORDER_TYPE__ORDER_QUERY ? "GET" : "POST";
	req.url = url;
	req.headers = headers;
	req.body = order->payload.data;
	req.len = order->payload.len;
	req.answer_max = GYP_ANSWER_MAX;
	req.timeout_ms = start ? 0 : GYP_QUESTION_MS;
	gyp_httpc_send(xs->client, &req);
	g_free(url);
	gyp_message_free(x->order);
}

struct gyp_exchanges *
gyp_exchanges_new(struct gyp_httpc *client, gyp_exchange_fn done, void *arg)
{
	struct gyp_exchanges *xs = g_new0(struct gyp_exchanges, 1);

	xs->client = client;
	xs->done = done;
	xs->arg = arg;
	return xs;
}

void
gyp_exchanges_free(struct gyp_exchanges *xs)
{
	g_free(xs);
}
