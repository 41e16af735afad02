#include <stdlib.h>
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "bootstrap.h"
#include "cell_settings.h"
#include "httpc.h"
#include "httpd.h"
#include "link.h"
#include "log.h"
#include "loop_deferred.h"
#include "loop_monitor.h"
#include "msg.h"
#include "pf_client.h"
#include "pf_control.h"
#include "program.h"
#include "reload.h"
#include "replica.h"
#include "store.h"
#include "timer.h"
#include "wall_clock.h"

/* Interval of join requests, in ms. */
#define JOIN_INTERVAL_MS 500

/* Largest manifest, in bytes. */
#define CONTROL_BODY_MAX (2 * 1024 * 1024)

/* Interval of attempts to open the data directory on a full disk, in ms. */
#define OPEN_RETRY_MS 1000

/* Longest time that a stopping leader waits for a successor, in ms. */
#define TRANSFER_TIMEOUT_MS 3000

struct app {
	struct gyp_links_owner links_owner;
	struct gyp_store_owner store_owner;
	struct gyp_cell_settings *set;
	struct ev_loop *loop;
	struct gyp_timers *timers;
	struct gyp_links *links;
	struct gyp_httpd_owner metrics_owner;
	struct gyp_httpd *metrics;
	struct gyp_store *store;
	struct gyp_replica *replica;
	struct gyp_wall_clock *wall_clock;
	struct gyp_httpc *httpc;
	struct gyp_pf_client *client;
	struct gyp_pf_control *control;
	struct gyp_httpd *control_httpd;
	struct gyp_loop_deferred *deferred;
	bool flushing;
	bool apply_scheduled; /* a timer of schedule_apply() is set */
	bool was_leader;
	uint64_t rules_version; /* last logged version */
	char *members;          /* last logged list */
	bool stopping;
	bool disk_full;
	int code;
};

/* ---- Output of the replica --------------------------------------------- */

/* Address at which other processes reach this one. */
static const char *
own_address(const struct gyp_cell_settings *set)
{
	return set->announce != NULL ? set->announce : set->listen;
}

static void
log_role(struct app *app)
{
	const struct gyp_raft *raft = gyp_replica_raft(app->replica);
	bool leads = gyp_replica_serving(app->replica);

	if (leads == app->was_leader)
		return;
	app->was_leader = leads;
	gyp_log(GYP_LOG_NOTICE, leads ? "leading" : "following",
	    "term=%" G_GUINT64_FORMAT " commit=%" G_GUINT64_FORMAT,
	    gyp_raft_term(raft), gyp_raft_commit_index(raft));
}

static void
log_rules(struct app *app)
{
	const struct gyp_rules_version *v =
	    gyp_state_rules(gyp_replica_state(app->replica));
	char *author;

	if (v == NULL || v->version == app->rules_version)
		return;
	app->rules_version = v->version;
	author = g_strescape(v->cmd->author, NULL);
	gyp_log(GYP_LOG_NOTICE, "rules",
	    "version=%" G_GUINT64_FORMAT " author=\"%s\"", v->version, author);
	g_free(author);
}

static void
log_events(struct app *app)
{
	gyp_log_events(gyp_replica_events(app->replica));
}

static void
log_members(struct app *app)
{
	const Gyp__Config *c = gyp_raft_members(gyp_replica_raft(app->replica));
	GString *text = g_string_new(NULL);
	size_t i;

	for (i = 0; i < c->n_members; i++)
		g_string_append_printf(text, "%s%s/%s", i > 0 ? "," : "",
		    c->members[i]->address,
		    c->members[i]->voter ? "voter" : "learner");
	if (text->len > 0 && g_strcmp0(text->str, app->members) != 0) {
		gyp_log(GYP_LOG_NOTICE, "members", "list=%s", text->str);
		g_free(app->members);
		app->members = g_strdup(text->str);
	}
	g_string_free(text, TRUE);
}

static void flush(struct app *);

static void
on_call_answered(void *arg, const struct gyp_fleet_answer *a)
{
	struct app *app = arg;

	gyp_replica_endpoint_call_answered(app->replica, gyp_clock_ms(), a);
	flush(app);
}

static void
send_endpoint_calls(struct app *app)
{
	struct gyp_fleet_call *call;

	if (app->client == NULL)
		return;
	while ((call = gyp_replica_pop_endpoint_call(app->replica)) != NULL) {
		gyp_pf_client_call(app->client, call, on_call_answered);
		gyp_fleet_call_free(call);
	}
	gyp_pf_control_handle_replies(app->control);
}

static void
on_inventory(void *arg, const struct gyp_inventory_answer *a)
{
	struct app *app = arg;

	gyp_replica_inventory_answered(app->replica, gyp_clock_ms(), a);
	flush(app);
}

static void
request_inventory(struct app *app)
{
	uint64_t request;

	if (app->client != NULL &&
	    gyp_replica_pop_inventory_request(app->replica, &request))
		gyp_pf_client_request_inventory(
		    app->client, request, on_inventory);
}

static void
on_apply_more(void *arg, uint64_t now)
{
	struct app *app = arg;

	app->apply_scheduled = false;
	gyp_replica_tick(app->replica, now);
	flush(app);
}

/* Lets pending socket events run before the remaining entries are applied. */
static void
schedule_apply(struct app *app)
{
	if (app->apply_scheduled ||
	    !gyp_raft_has_unapplied(gyp_replica_raft(app->replica)))
		return;
	app->apply_scheduled = true;
	gyp_timer_once(app->timers, 0, on_apply_more, app);
}

/* Carries out the replica's output; a nested call returns at once. */
static void
flush(struct app *app)
{
	struct gyp_record rec;
	struct gyp_out_frame out;

	if (app->flushing)
		return;
	app->flushing = true;
	send_endpoint_calls(app);
	request_inventory(app);
	while (gyp_replica_pop_record(app->replica, &rec)) {
		gyp_store_append(app->store, &rec);
		if (rec.data != NULL)
			g_bytes_unref(rec.data);
	}
	while (gyp_replica_pop_frame(app->replica, &out)) {
		if (out.entry)
			gyp_links_send_to_id(app->links, out.to, out.packed);
		else if (out.address != NULL)
			gyp_links_send(app->links, out.address, out.packed);
		g_free(out.address);
		g_bytes_unref(out.packed);
	}
	log_role(app);
	log_rules(app);
	log_events(app);
	schedule_apply(app);
	app->flushing = false;
}

/* Processes all frames that were accepted in this iteration of the loop. */
static void
on_iteration_end(void *arg)
{
	struct app *app = arg;

	gyp_replica_process_accepted(app->replica, gyp_clock_ms());
	flush(app);
}

/* The control server has passed input to the replica. */
static void
on_control_input(void *arg)
{
	gyp_loop_deferred_schedule(((struct app *)arg)->deferred);
}

/* ---- Events ------------------------------------------------------------ */

static void
on_received(struct gyp_links_owner *owner, uint64_t id, const Gyp__Frame *frame)
{
	struct app *app = (struct app *)owner;

	gyp_replica_accept(app->replica, gyp_clock_ms(), id, frame);
	gyp_loop_deferred_schedule(app->deferred);
}

/*
 * A leader uses its own settings to compute when leases granted by its
 * predecessor expire. If the settings differ, a task may run in two places.
 */
static void
check_leases(const struct gyp_cell_settings *set, const Gyp__Hello *hello)
{
	if (hello->endpoint_lease_ms == set->endpoint_lease_ms &&
	    hello->entry_lease_ms == set->entry_lease_ms)
		return;
	gyp_log(GYP_LOG_ERR, "lease-mismatch",
	    "name=%s endpoint_lease_ms=%u entry_lease_ms=%u "
	    "own_endpoint_lease_ms=%u own_entry_lease_ms=%u",
	    hello->name, hello->endpoint_lease_ms, hello->entry_lease_ms,
	    set->endpoint_lease_ms, set->entry_lease_ms);
}

static void
on_hello(struct gyp_links_owner *owner, const Gyp__Hello *hello)
{
	struct app *app = (struct app *)owner;

	gyp_log(GYP_LOG_INFO, "introduced",
	    "role=%s name=%s id=%016" G_GINT64_MODIFIER "x",
	    hello->entry ? "entry" : "cell", hello->name, hello->id);
	if (hello->entry)
		gyp_replica_entry_connected(
		    app->replica, gyp_clock_ms(), hello->id);
	else
		check_leases(app->set, hello);
	flush(app);
}

static void
on_entry_closed(struct gyp_links_owner *owner, uint64_t id)
{
	struct app *app = (struct app *)owner;

	gyp_replica_entry_disconnected(app->replica, gyp_clock_ms(), id);
	gyp_loop_deferred_schedule(app->deferred);
}

static void
on_answered(
    struct gyp_links_owner *owner, const char *address, const Gyp__Frame *frame)
{
	(void)owner;
	(void)address;
	(void)frame;
}

static void
on_link_change(struct gyp_links_owner *owner, const char *address)
{
	(void)owner;
	(void)address;
}

static struct app *
app_of_store(struct gyp_store_owner *owner)
{
	return (
	    struct app *)((char *)owner - offsetof(struct app, store_owner));
}

static void
on_synced(struct gyp_store_owner *owner, uint64_t seq)
{
	struct app *app = app_of_store(owner);

	gyp_replica_synced(app->replica, gyp_clock_ms(), seq);
	flush(app);
}

static int
exit_code(enum gyp_status code)
{
	switch (code) {
	case GYP_CORRUPT:
		return GYP_EXIT_CORRUPT;
	case GYP_IO:
	case GYP_FULL:
		return GYP_EXIT_DISK;
	case GYP_CONFLICT:
		return GYP_EXIT_BUSY;
	default:
		return EXIT_FAILURE;
	}
}

/* Suspends the replica: records that are not synced must not take effect. */
static void
on_store_full(struct gyp_store_owner *owner, const struct gyp_error *err)
{
	struct app *app = app_of_store(owner);

	gyp_log(GYP_LOG_ERR, "disk-full", "error=\"%s\"", err->message);
	app->disk_full = true;
	gyp_replica_suspend(app->replica, gyp_clock_ms());
	flush(app);
}

static void
on_store_recovered(struct gyp_store_owner *owner)
{
	struct app *app = app_of_store(owner);

	gyp_log(GYP_LOG_NOTICE, "disk-recovered", "folder=%s",
	    app->set->data_folder);
	app->disk_full = false;
	gyp_replica_resume(app->replica, gyp_clock_ms());
	flush(app);
}

/* Records that were not synced count as lost, so the replica must stop. */
static void
on_store_failed(struct gyp_store_owner *owner, const struct gyp_error *err)
{
	struct app *app = app_of_store(owner);

	gyp_log(GYP_LOG_ERR, "store-failed", "reason=\"%s\" error=\"%s\"",
	    gyp_status_name(err->code), err->message);
	app->code = exit_code(err->code);
	ev_break(app->loop, EVBREAK_ALL);
}

static void
on_tick(void *arg, uint64_t now)
{
	struct app *app = arg;

	gyp_replica_set_wall_clock(app->replica,
	    gyp_wall_clock_ms(app->wall_clock, now, gyp_unix_ms()));
	gyp_replica_tick(app->replica, now);
	flush(app);
	if (app->stopping && !gyp_replica_serving(app->replica) &&
	    gyp_raft_role(gyp_replica_raft(app->replica)) != GYP_RAFT_LEADER)
		ev_break(app->loop, EVBREAK_ALL);
}

static bool
is_member(const struct app *app)
{
	const struct gyp_raft *raft = gyp_replica_raft(app->replica);
	const Gyp__Config *c = gyp_raft_members(raft);
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (c->members[i]->id == gyp_raft_id(raft))
			return true;
	}
	return false;
}

/*
 * Sends a join request to all known replicas; the leader among them handles
 * it. A member without a leader sends one as well: the log entry that made it
 * a member may never have been committed.
 */
static void
on_join(void *arg, uint64_t now)
{
	struct app *app = arg;
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Join join = GYP__JOIN__INIT;
	Gyp__Member member = GYP__MEMBER__INIT;
	GBytes *packed;
	char **address;
	bool leaderless =
	    gyp_raft_is_leaderless(gyp_replica_raft(app->replica));

	(void)now;
	log_members(app);
	if ((is_member(app) && !leaderless) || app->set->join == NULL ||
	    app->disk_full)
		return;
	member.id = gyp_store_id(app->store);
	member.address = (char *)own_address(app->set);
	member.voter = false;
	member.data_centre = app->set->data_centre;
	join.member = &member;
	frame.body_case = GYP__FRAME__BODY_JOIN;
	frame.join = &join;
	packed = gyp_message_pack(&frame.base);
	for (address = app->set->join; *address != NULL; address++) {
		if (strcmp(*address, own_address(app->set)) != 0)
			gyp_links_send(app->links, *address, packed);
	}
	g_bytes_unref(packed);
}

static void
on_transfer_timeout(void *arg, uint64_t now)
{
	struct app *app = arg;

	(void)now;
	gyp_log(GYP_LOG_WARNING, "no-successor", "waited_ms=%d",
	    TRANSFER_TIMEOUT_MS);
	ev_break(app->loop, EVBREAK_ALL);
}

static void
on_term(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct app *app = w->data;

	(void)loop;
	(void)revents;
	if (app->stopping)
		return;
	app->stopping = true;
	gyp_log(GYP_LOG_NOTICE, "stopping", "leader=%d", app->was_leader);
	gyp_replica_transfer_leadership(app->replica);
	flush(app);
	gyp_timer_once(
	    app->timers, TRANSFER_TIMEOUT_MS, on_transfer_timeout, app);
}

/* ---- Main -------------------------------------------------------------- */

static const struct gyp_links_owner_ops links_ops = {.received = on_received,
    .answered = on_answered,
    .hello_received = on_hello,
    .entry_closed = on_entry_closed,
    .opened = on_link_change,
    .lost = on_link_change};

static void
on_metrics(struct gyp_httpd_owner *owner, struct gyp_http_request *req)
{
	struct app *app =
	    (struct app *)((char *)owner - offsetof(struct app, metrics_owner));
	struct gyp_counters *counters = gyp_replica_counters(app->replica);
	char *text;

	if (strcmp(gyp_http_path(req), "/metrics") != 0) {
		gyp_http_reply(req, 404, "text/plain", "", 0);
		return;
	}
	gyp_gauge(counters, "gyp_leading", "",
	    gyp_replica_serving(app->replica) ? 1 : 0);
	gyp_gauge(counters, "gyp_disk_full", "", app->disk_full ? 1 : 0);
	text = gyp_counters_text(counters);
	gyp_http_reply(
	    req, 200, "text/plain; version=0.0.4", text, strlen(text));
	g_free(text);
}

static const struct gyp_httpd_owner_ops metrics_ops = {.request = on_metrics};

static const struct gyp_store_owner_ops store_ops = {.synced = on_synced,
    .failed = on_store_failed,
    .full = on_store_full,
    .recovered = on_store_recovered};

static void
load_record(void *arg, const struct gyp_record *rec)
{
	gyp_replica_load(arg, rec);
}

static void
make_replica(struct app *app)
{
	const struct gyp_cell_settings *set = app->set;
	struct gyp_replica_config cfg = {.id = gyp_store_id(app->store),
	    .address = own_address(set),
	    .data_centre = set->data_centre,
	    .seed = g_random_int(),
	    .election_ms = set->election_ms,
	    .heartbeat_ms = set->heartbeat_ms,
	    .endpoint_lease_ms = set->endpoint_lease_ms,
	    .entry_lease_ms = set->entry_lease_ms,
	    .start_window_ms = set->start_window_ms,
	    .voters = set->voters,
	    .catch_up_ms = set->catch_up_ms,
	    .compact_bytes = set->compact_bytes,
	    .run_lease_ms = set->run_lease_ms,
	    .stop_grace_ms = set->stop_grace_ms,
	    .learn_run_times = set->learn_run_times,
	    .fence_incarnations = set->fence_incarnations,
	    .inventory = set->provider != NULL,
	    .relay_heartbeats_from = set->relay_heartbeats_from};

	app->replica = gyp_replica_new(&cfg);
	app->wall_clock = gyp_wall_clock_new();
}

/* ---- Storage ------------------------------------------------------------- */

/*
 * Opens the data directory. When there is no space for its first files, waits
 * for it: the service manager would only restart the program again and again.
 */
static enum gyp_status
open_store(struct app *app, uint64_t initial_id, struct gyp_error *err)
{
	const char *folder = app->set->data_folder;
	bool waited = false;

	while ((app->store = gyp_store_open_with_id(
		    folder, gyp_files_system(), initial_id, err)) == NULL &&
	       err->code == GYP_FULL) {
		if (!waited)
			gyp_log(GYP_LOG_ERR, "disk-full", "error=\"%s\"",
			    err->message);
		waited = true;
		g_usleep(OPEN_RETRY_MS * G_TIME_SPAN_MILLISECOND);
	}
	if (app->store == NULL)
		return err->code;
	err->code = GYP_OK;
	if (waited)
		gyp_log(GYP_LOG_NOTICE, "disk-recovered", "folder=%s", folder);
	return GYP_OK;
}

/* Loads the records; without space for the next segment starts suspended. */
static enum gyp_status
load_store(struct app *app, struct gyp_error *err)
{
	struct gyp_error full = {.code = GYP_OK};

	if (gyp_store_replay(app->store, load_record, app->replica, err) !=
	    GYP_OK)
		return err->code;
	if (!gyp_store_is_full(app->store))
		return GYP_OK;
	gyp_fail(&full, GYP_FULL, "no space for the next segment in %s",
	    app->set->data_folder);
	on_store_full(&app->store_owner, &full);
	return GYP_OK;
}

/* ---- Servers ------------------------------------------------------------- */

static enum gyp_status
start_control(struct app *app, struct gyp_error *err)
{
	const char *address = app->set->control;

	if (address == NULL)
		return GYP_OK;
	app->httpc = gyp_httpc_new(app->loop, app->timers);
	app->client = gyp_pf_client_new(app->httpc, NULL, app);
	gyp_pf_client_use_provider(app->client, app->set->provider);
	app->control = gyp_pf_control_new(
	    app->replica, app->timers, address, on_control_input, app);
	app->control_httpd = gyp_httpd_new(app->loop, app->timers,
	    gyp_pf_control_httpd_owner(app->control), address, err);
	if (app->control_httpd == NULL)
		return err->code;
	gyp_httpd_set_body_max(app->control_httpd, CONTROL_BODY_MAX);
	return GYP_OK;
}

static enum gyp_status
start(struct app *app, bool init, struct gyp_error *err)
{
	const struct gyp_cell_settings *set = app->set;
	Gyp__Hello hello = GYP__HELLO__INIT;
	bool bootstrap = set->first_start &&
			 gyp_bootstrap_contains(set->join, own_address(set));

	if (open_store(app, bootstrap ? gyp_bootstrap_id(own_address(set)) : 0,
		err) != GYP_OK)
		return err->code;
	make_replica(app);
	if (load_store(app, err) != GYP_OK)
		return err->code;
	/* A replica killed before its first sync may be initialised again. */
	if (init && gyp_raft_last_index(gyp_replica_raft(app->replica)) != 0)
		return gyp_fail(err, GYP_CONFLICT,
		    "--init: the data directory already holds a cell");
	hello.id = gyp_store_id(app->store);
	hello.address = (char *)own_address(set);
	hello.name = set->name;
	hello.data_centre = set->data_centre;
	hello.endpoint_lease_ms = set->endpoint_lease_ms;
	hello.entry_lease_ms = set->entry_lease_ms;
	app->links =
	    gyp_links_new(app->loop, app->timers, &app->links_owner, &hello);
	if (gyp_links_listen(app->links, set->listen, err) != GYP_OK)
		return err->code;
	gyp_links_set_counters(app->links, gyp_replica_counters(app->replica));
	if (set->metrics != NULL) {
		app->metrics = gyp_httpd_new(app->loop, app->timers,
		    &app->metrics_owner, set->metrics, err);
		if (app->metrics == NULL)
			return err->code;
	}
	if (start_control(app, err) != GYP_OK)
		return err->code;
	gyp_store_start(app->store, app->loop, &app->store_owner);
	if (init)
		gyp_replica_bootstrap(app->replica, NULL);
	else if (bootstrap &&
		 gyp_raft_last_index(gyp_replica_raft(app->replica)) == 0)
		gyp_bootstrap(app->replica, set->join);
	gyp_timer_every(app->timers, GYP_TICK_MS, on_tick, app);
	gyp_timer_every(app->timers, JOIN_INTERVAL_MS, on_join, app);
	return GYP_OK;
}

/* A list of addresses in the settings file has changed. */
static void
on_setting(void *arg, const struct gyp_setting *s)
{
	struct app *app = arg;

	if (s->dest == &app->set->join)
		gyp_settings_replace_port(app->set->join, app->set->join_port);
}

static int
run(struct gyp_cell_settings *set, const struct gyp_program *program)
{
	struct app app = {.set = set};
	struct gyp_reload *reload = NULL;
	struct gyp_loop_monitor *monitor = NULL;
	struct gyp_error err = {.code = GYP_OK};
	ev_signal term, interrupt;

	app.links_owner.ops = &links_ops;
	app.store_owner.ops = &store_ops;
	app.metrics_owner.ops = &metrics_ops;
	app.loop = ev_default_loop(EVFLAG_AUTO);
	app.timers = gyp_timers_new(app.loop);
	app.deferred = gyp_loop_deferred_new(
	    app.loop, GYP_LOOP_WORK, on_iteration_end, &app);
	if (start(&app, program->init, &err) != GYP_OK) {
		gyp_log(GYP_LOG_ERR, "start-failed",
		    "reason=\"%s\" error=\"%s\"", gyp_status_name(err.code),
		    err.message);
		app.code = exit_code(err.code);
	} else {
		ev_signal_init(&term, on_term, SIGTERM);
		ev_signal_init(&interrupt, on_term, SIGINT);
		term.data = interrupt.data = &app;
		ev_signal_start(app.loop, &term);
		ev_signal_start(app.loop, &interrupt);
		reload = gyp_reload_new(app.loop, app.timers, program->config,
		    program->settings, program->n_settings, on_setting, &app);
		gyp_log(GYP_LOG_NOTICE, "started",
		    "listen=%s id=%016" G_GINT64_MODIFIER "x", set->listen,
		    gyp_store_id(app.store));
		flush(&app);
		monitor = gyp_loop_monitor_new(
		    app.loop, gyp_replica_counters(app.replica));
		ev_run(app.loop, 0);
	}
	gyp_loop_monitor_free(monitor);
	gyp_reload_free(reload);
	gyp_httpd_free(app.metrics);
	gyp_httpd_free(app.control_httpd);
	gyp_pf_control_free(app.control);
	gyp_httpc_free(app.httpc);
	gyp_pf_client_free(app.client);
	gyp_links_free(app.links);
	if (app.store != NULL)
		gyp_store_close(app.store);
	gyp_replica_free(app.replica);
	gyp_wall_clock_free(app.wall_clock);
	g_free(app.members);
	gyp_loop_deferred_free(app.deferred);
	gyp_timers_free(app.timers);
	ev_loop_destroy(app.loop);
	return app.code;
}

int
main(int argc, char **argv)
{
	struct gyp_cell_settings *set = gyp_cell_settings();
	struct gyp_program *program = gyp_cell_program();
	int code = gyp_program_start(program, argc, argv);

	if (code < 0) {
		gyp_settings_replace_port(set->join, set->join_port);
		code = run(set, program);
	}
	gyp_settings_clear(program->settings, program->n_settings);
	g_free(program->config);
	return code;
}
