#include <stdlib.h>

#include <ev.h>
#include <glib.h>

#include "api.h"
#include "counters.h"
#include "entry.h"
#include "event.h"
#include "exchange.h"
#include "host_msg.h"
#include "httpc.h"
#include "httpd.h"
#include "link.h"
#include "log.h"
#include "loop_deferred.h"
#include "loop_monitor.h"
#include "msg.h"
#include "pf_client.h"
#include "pf_front.h"
#include "program.h"
#include "reload.h"
#include "timer.h"

/* Interval of the core's tick, in ms. */
#define TICK_MS 20

/* Longest pause between frames to a replica, in ms. */
#define KEEPALIVE_MS 200

/* Silence of a replica after which another one is tried, in ms. */
#define SILENCE_MS 600

/* Time limit for passing an admission answer to the leader, in ms. */
#define QUERY_ANSWER_TIMEOUT_MS 3000

struct settings {
	char *listen;
	char **cells;
	uint32_t cells_port;
	char *front;
	char *readiness;
	char *admission;
	uint32_t linger_ms;
	bool carry;
	char *data_centre;
	char *name;
};

struct app {
	struct gyp_links_owner links_owner;
	struct settings *set;
	struct ev_loop *loop;
	struct gyp_timers *timers;
	struct gyp_links *links;
	struct gyp_httpd *httpd;
	struct gyp_httpc *httpc;
	struct gyp_exchanges *exchanges;
	struct gyp_api *api;
	struct gyp_pf_client *client;
	struct gyp_events *events;
	struct gyp_pf_front *front;
	struct gyp_httpd *front_httpd;
	struct gyp_httpd *readiness_httpd;
	uint32_t linger_ms; /* how long callers are served in a drain */
	uint64_t drain_started_ms;
	struct gyp_entry_core *core;
	struct gyp_counters *counters;
	bool draining;
	bool quiesced; /* no new connections are accepted */
	struct gyp_loop_deferred *deferred;
	bool flushing;
};

/* ---- Output of the core ------------------------------------------------ */

static void flush(void *);

static bool
send_frames(struct app *app)
{
	const char *address;
	GBytes *packed;
	bool moved = false;

	while (gyp_entry_pop_frame(app->core, &address, &packed)) {
		gyp_links_send(app->links, address, packed);
		g_bytes_unref(packed);
		moved = true;
	}
	return moved;
}

static bool
deliver_answers(struct app *app)
{
	struct gyp_answer answer;
	bool moved = false;

	while (gyp_entry_pop_answer(app->core, &answer)) {
		if (app->front == NULL ||
		    !gyp_pf_front_handle_answer(app->front, &answer))
			gyp_api_handle_answer(app->api, &answer);
		moved = true;
	}
	return moved;
}

static bool
start_exchanges(struct app *app)
{
	struct gyp_exchange x;
	bool moved = false;

	while (gyp_entry_pop_exchange(app->core, &x)) {
		gyp_exchanges_run(app->exchanges, &x);
		moved = true;
	}
	return moved;
}

static void
on_query_answered(void *arg, const Gyp__Advised *advised)
{
	struct app *app = arg;
	Gyp__Call call = GYP__CALL__INIT;

	call.c_case = GYP__CALL__C_ADVISED;
	call.advised = (Gyp__Advised *)advised;
	gyp_entry_call(
	    app->core, gyp_clock_ms(), &call, QUERY_ANSWER_TIMEOUT_MS, NULL);
	flush(app);
}

static bool
send_queries(struct app *app)
{
	Gyp__Ask *query;
	bool moved = false;

	while ((query = gyp_entry_pop_query(app->core)) != NULL) {
		gyp_pf_client_query_admission(
		    app->client, query, on_query_answered);
		gyp_message_free(query);
		moved = true;
	}
	return moved;
}

static void
on_endpoint_call_answered(void *arg, const struct gyp_fleet_answer *a)
{
	struct app *app = arg;

	gyp_entry_endpoint_call_answered(
	    app->core, gyp_host_msg_from_answer(a));
	gyp_loop_deferred_schedule(app->deferred);
}

static bool
send_endpoint_calls(struct app *app)
{
	Gyp__HostCall *msg;
	bool moved = false;

	while ((msg = gyp_entry_pop_endpoint_call(app->core)) != NULL) {
		struct gyp_fleet_call *call = gyp_host_msg_to_call(msg);

		gyp_pf_client_call(
		    app->client, call, on_endpoint_call_answered);
		gyp_fleet_call_free(call);
		gyp_message_free(msg);
		moved = true;
	}
	return moved;
}

/*
 * Emptying one queue may fill another, so this repeats until all are empty; a
 * nested call returns at once.
 */
static void
flush(void *arg)
{
	struct app *app = arg;
	bool more = true;

	if (app->flushing)
		return;
	app->flushing = true;
	while (more) {
		more = send_frames(app);
		more = deliver_answers(app) || more;
		more = start_exchanges(app) || more;
		more = send_queries(app) || more;
		more = send_endpoint_calls(app) || more;
	}
	gyp_log_events(app->events);
	app->flushing = false;
}

/* Sends one frame for all endpoint answers of this iteration of the loop. */
static void
on_iteration_end(void *arg)
{
	struct app *app = arg;

	gyp_entry_tick(app->core, gyp_clock_ms());
	flush(app);
}

/* ---- Events ------------------------------------------------------------ */

static void
on_received(struct gyp_links_owner *owner, uint64_t id, const Gyp__Frame *frame)
{
	(void)owner;
	(void)id;
	(void)frame;
}

static void
on_hello(struct gyp_links_owner *owner, const Gyp__Hello *hello)
{
	(void)owner;
	(void)hello;
}

static void
on_answered(
    struct gyp_links_owner *owner, const char *address, const Gyp__Frame *frame)
{
	struct app *app = (struct app *)owner;

	gyp_entry_receive(app->core, gyp_clock_ms(), address, frame);
	flush(app);
}

static void
on_opened(struct gyp_links_owner *owner, const char *address)
{
	struct app *app = (struct app *)owner;

	gyp_log(GYP_LOG_INFO, "cell-connected", "address=%s", address);
	gyp_entry_connected(app->core, gyp_clock_ms(), address);
	flush(app);
}

static void
on_lost(struct gyp_links_owner *owner, const char *address)
{
	struct app *app = (struct app *)owner;

	gyp_log(GYP_LOG_WARNING, "cell-lost", "address=%s", address);
	gyp_entry_disconnected(app->core, gyp_clock_ms(), address);
	flush(app);
}

static void
on_exchange_done(void *arg, uint64_t id, const struct gyp_exchange_result *res)
{
	struct app *app = arg;

	gyp_entry_exchange_done(app->core, gyp_clock_ms(), id, res);
	flush(app);
}

static void
quiesce(struct app *app)
{
	gyp_httpd_quiesce(app->httpd);
	if (app->front_httpd != NULL)
		gyp_httpd_quiesce(app->front_httpd);
}

static void
stop_when_drained(struct app *app)
{
	if (!app->draining ||
	    gyp_clock_ms() < app->drain_started_ms + app->linger_ms ||
	    gyp_entry_open_calls(app->core) > 0 ||
	    gyp_entry_open_attempts(app->core) > 0 ||
	    !gyp_entry_is_drained(app->core))
		return;
	if (!app->quiesced)
		quiesce(app);
	app->quiesced = true;
	if (gyp_httpd_active_requests(app->httpd) > 0 ||
	    (app->front_httpd != NULL &&
		gyp_httpd_active_requests(app->front_httpd) > 0))
		return;
	gyp_log(GYP_LOG_NOTICE, "drained", "open=0");
	ev_break(app->loop, EVBREAK_ALL);
}

static void
on_tick(void *arg, uint64_t now)
{
	struct app *app = arg;

	gyp_entry_tick(app->core, now);
	flush(app);
	stop_when_drained(app);
}

static void
on_term(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct app *app = w->data;

	(void)loop;
	(void)revents;
	if (app->draining)
		return;
	app->draining = true;
	app->drain_started_ms = gyp_clock_ms();
	if (app->front != NULL)
		gyp_pf_front_drain(app->front);
	gyp_log(GYP_LOG_NOTICE, "draining", "requests=%u attempts=%u",
	    gyp_httpd_active_requests(app->httpd),
	    gyp_entry_open_attempts(app->core));
	gyp_api_drain(app->api);
	flush(app);
}

/* ---- Main -------------------------------------------------------------- */

static const struct gyp_links_owner_ops links_ops = {.received = on_received,
    .answered = on_answered,
    .hello_received = on_hello,
    .opened = on_opened,
    .lost = on_lost};

/*
 * Starts the platform's client, and the servers whose addresses the settings
 * name.
 */
static bool
start_front(struct app *app, const struct settings *set, struct gyp_error *err)
{
	app->client = gyp_pf_client_new(app->httpc, set->admission, app);
	if (set->front == NULL)
		return true;
	app->front = gyp_pf_front_new(app->core, app->events, flush, app);
	app->front_httpd = gyp_httpd_new(app->loop, app->timers,
	    gyp_pf_front_caller_httpd_owner(app->front), set->front, err);
	if (app->front_httpd == NULL || set->readiness == NULL)
		return app->front_httpd != NULL;
	app->readiness_httpd = gyp_httpd_new(app->loop, app->timers,
	    gyp_pf_front_readiness_httpd_owner(app->front), set->readiness,
	    err);
	return app->readiness_httpd != NULL;
}

static bool
start(struct app *app, const struct settings *set, struct gyp_error *err)
{
	struct gyp_entry_config cfg = {
	    .replicas = (const char *const *)set->cells,
	    .keepalive_ms = KEEPALIVE_MS,
	    .silence_ms = SILENCE_MS};
	Gyp__Hello hello = GYP__HELLO__INIT;

	cfg.id = ((uint64_t)g_random_int() << 32) | g_random_int() | 1;
	hello.id = cfg.id;
	hello.entry = true;
	hello.name = set->name;
	cfg.name = set->name;
	cfg.address = set->listen;
	cfg.carries = set->carry;
	hello.data_centre = set->data_centre;
	app->links_owner.ops = &links_ops;
	app->loop = ev_default_loop(EVFLAG_AUTO);
	app->timers = gyp_timers_new(app->loop);
	app->deferred = gyp_loop_deferred_new(
	    app->loop, GYP_LOOP_WORK, on_iteration_end, app);
	app->core = gyp_entry_new(&cfg);
	app->links =
	    gyp_links_new(app->loop, app->timers, &app->links_owner, &hello);
	app->httpc = gyp_httpc_new(app->loop, app->timers);
	app->exchanges = gyp_exchanges_new(app->httpc, on_exchange_done, app);
	app->counters = gyp_counters_new();
	app->events = gyp_events_new();
	gyp_links_set_counters(app->links, app->counters);
	app->api = gyp_api_new(app->core, app->counters, flush, app);
	app->httpd = gyp_httpd_new(app->loop, app->timers,
	    gyp_api_httpd_owner(app->api), set->listen, err);
	app->linger_ms = set->linger_ms;
	return app->httpd != NULL && start_front(app, set, err);
}

static void
stop(struct app *app)
{
	gyp_httpd_free(app->httpd);
	gyp_httpd_free(app->front_httpd);
	gyp_httpd_free(app->readiness_httpd);
	gyp_pf_front_free(app->front);
	gyp_api_free(app->api);
	gyp_httpc_free(app->httpc);
	gyp_pf_client_free(app->client);
	gyp_exchanges_free(app->exchanges);
	gyp_links_free(app->links);
	gyp_entry_free(app->core);
	gyp_counters_free(app->counters);
	gyp_events_free(app->events);
	gyp_loop_deferred_free(app->deferred);
	gyp_timers_free(app->timers);
	ev_loop_destroy(app->loop);
}

/* A list of addresses in the settings file has changed: adds new replicas. */
static void
on_setting(void *arg, const struct gyp_setting *s)
{
	struct app *app = arg;
	char **address;

	if (s->dest != &app->set->cells)
		return;
	gyp_settings_replace_port(app->set->cells, app->set->cells_port);
	for (address = app->set->cells; *address != NULL; address++)
		gyp_entry_add_replica(app->core, *address);
}

static int
run(struct settings *set, const struct gyp_program *program)
{
	struct app app = {.set = set};
	struct gyp_reload *reload;
	struct gyp_loop_monitor *monitor;
	struct gyp_error err = {.code = GYP_OK};
	ev_signal term, interrupt;

	if (!start(&app, set, &err)) {
		gyp_log(GYP_LOG_ERR, "start-failed", "%s", err.message);
		stop(&app);
		return EXIT_FAILURE;
	}
	ev_signal_init(&term, on_term, SIGTERM);
	ev_signal_init(&interrupt, on_term, SIGINT);
	term.data = interrupt.data = &app;
	ev_signal_start(app.loop, &term);
	ev_signal_start(app.loop, &interrupt);
	gyp_timer_every(app.timers, TICK_MS, on_tick, &app);
	reload = gyp_reload_new(app.loop, app.timers, program->config,
	    program->settings, program->n_settings, on_setting, &app);
	gyp_log(GYP_LOG_NOTICE, "started", "listen=%s", set->listen);
	monitor = gyp_loop_monitor_new(app.loop, app.counters);
	ev_run(app.loop, 0);
	gyp_loop_monitor_free(monitor);
	ev_signal_stop(app.loop, &term);
	ev_signal_stop(app.loop, &interrupt);
	gyp_reload_free(reload);
	stop(&app);
	return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
	struct settings set = {.linger_ms = 0};
	const struct gyp_setting table[] = {
	    {"entry", "listen", &set.listen, 0, 0, GYP_SETTING_ADDRESS, true},
	    {"entry", "cells", &set.cells, 0, 0, GYP_SETTING_ADDRESSES, true},
	    {"entry", "cells_port", &set.cells_port, 1, 65535,
		GYP_SETTING_COUNT, false},
	    {"platform", "front", &set.front, 0, 0, GYP_SETTING_ADDRESS, false},
	    {"platform", "readiness", &set.readiness, 0, 0, GYP_SETTING_ADDRESS,
		false},
	    {"platform", "admission", &set.admission, 0, 0, GYP_SETTING_ADDRESS,
		false},
	    {"platform", "carry", &set.carry, 0, 0, GYP_SETTING_FLAG, false},
	    {"platform", "linger", &set.linger_ms, 0, 600000, GYP_SETTING_MS,
		false},
	    {"entry", "data_centre", &set.data_centre, 0, 0, GYP_SETTING_TEXT,
		true},
	    {"entry", "name", &set.name, 0, 0, GYP_SETTING_TEXT, true},
	};
	struct gyp_program program = {.name = "gyp-entry",
	    .summary = "Serves callers, endpoints and operators over "
		       "HTTP, and starts tasks at endpoints.",
	    .settings = table,
	    .n_settings = G_N_ELEMENTS(table)};
	int code = gyp_program_start(&program, argc, argv);

	if (code < 0) {
		gyp_settings_replace_port(set.cells, set.cells_port);
		code = run(&set, &program);
	}
	gyp_settings_clear(table, G_N_ELEMENTS(table));
	g_free(program.config);
	return code;
}
