/* Tests of the control server of one replica, over HTTP on loopback. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "httpd.h"
#include "pf_control.h"
#include "raw_socket.h"
#include "timer.h"

struct server {
	struct ev_loop *loop;
	struct gyp_timers *timers;
	struct gyp_replica *replica;
	struct gyp_pf_control *control;
	struct gyp_httpd *httpd;
	uint16_t port;
	struct gyp_replica *other; /* the other voter, or NULL */
	uint64_t written[2]; /* records that the replica and the other wrote */
	uint32_t changes;    /* of its own: those with a manifest */
	uint32_t requests;   /* that hold() waits for */
	uint32_t held_ticks; /* since they are open */
	bool disk_held;      /* records are not reported as synced */
	bool link_held;      /* frames to and from the other voter wait */
	GQueue frames;       /* struct gyp_out_frame, on their way */
};

/* Records of this size or larger hold a manifest, in bytes. */
#define MANIFEST_BYTES 4000

/* Interval of the ticks, in ms. */
#define TICK_MS 2

/* Ticks for which disk or link are held once the requests are open. */
#define HELD_TICKS 20

/* ---- Server ------------------------------------------------------------- */

static void
write_records(struct server *s, struct gyp_replica *r)
{
	struct gyp_record rec;

	while (gyp_replica_pop_record(r, &rec)) {
		s->written[r == s->other]++;
		s->changes += r == s->replica && rec.data != NULL &&
			      g_bytes_get_size(rec.data) >= MANIFEST_BYTES;
		if (rec.data != NULL)
			g_bytes_unref(rec.data);
	}
}

static void
free_frame(gpointer p)
{
	struct gyp_out_frame *out = p;

	g_free(out->address);
	g_bytes_unref(out->packed);
	g_free(out);
}

static void
send_frames(struct server *s, struct gyp_replica *r)
{
	struct gyp_out_frame out;

	while (gyp_replica_pop_frame(r, &out))
		g_queue_push_tail(&s->frames, g_memdup2(&out, sizeof(out)));
}

static void
deliver(struct server *s, uint64_t now)
{
	guint n = s->link_held ? 0 : s->frames.length;

	while (n-- > 0) {
		struct gyp_out_frame *out = g_queue_pop_head(&s->frames);
		struct gyp_replica *to = out->to == 1 ? s->replica : s->other;
		gsize len;
		const uint8_t *bytes = g_bytes_get_data(out->packed, &len);
		Gyp__Frame *frame = gyp__frame__unpack(NULL, len, bytes);

		gyp_replica_receive(to, now, 3 - out->to, frame);
		gyp__frame__free_unpacked(frame, NULL);
		free_frame(out);
	}
}

static void
carry_out(struct server *s)
{
	write_records(s, s->replica);
	send_frames(s, s->replica);
	if (s->other == NULL)
		return;
	write_records(s, s->other);
	send_frames(s, s->other);
}

static void
on_flush(void *arg)
{
	carry_out(arg);
}

static bool
leads(const struct server *s)
{
	return gyp_raft_role(gyp_replica_raft(s->replica)) == GYP_RAFT_LEADER;
}

/*
 * Ends the hold some ticks after the requests have arrived; that of the link
 * not before the replica has lost the leadership.
 */
static void
check_hold(struct server *s)
{
	if (gyp_httpd_active_requests(s->httpd) < s->requests ||
	    s->held_ticks++ < HELD_TICKS || (s->link_held && leads(s)))
		return;
	s->disk_held = s->link_held = false;
}

static void
on_tick(void *arg, uint64_t now)
{
	struct server *s = arg;

	check_hold(s);
	gyp_replica_tick(s->replica, now);
	if (s->other != NULL)
		gyp_replica_tick(s->other, now);
	carry_out(s);
	deliver(s, now);
	carry_out(s);
	if (!s->disk_held)
		gyp_replica_synced(s->replica, now, s->written[0]);
	if (s->other != NULL)
		gyp_replica_synced(s->other, now, s->written[1]);
	carry_out(s);
	gyp_pf_control_handle_replies(s->control);
}

/* Holds the disk, and the link or not, until the requests are open, and on. */
static void
hold(struct server *s, bool link, uint32_t requests)
{
	s->disk_held = true;
	s->link_held = link;
	s->requests = requests;
	s->held_ticks = 0;
}

static struct gyp_replica *
make_replica(uint64_t id, uint32_t election_ms, uint32_t heartbeat_ms)
{
	struct gyp_replica_config cfg = {.id = id,
	    .address = id == 1 ? "127.0.0.1:1" : "127.0.0.1:2",
	    .election_ms = election_ms,
	    .heartbeat_ms = heartbeat_ms,
	    .entry_lease_ms = 1000,
	    .endpoint_lease_ms = 1000,
	    .seed = (uint32_t)id,
	    .voters = 2,
	    .run_lease_ms = 1000,
	    .compact_bytes = 64 * 1024 * 1024};

	return gyp_replica_new(&cfg);
}

static void
start_server(struct server *s, struct gyp_replica *r)
{
	struct gyp_error err;
	char *address;

	memset(s, 0, sizeof(*s));
	g_queue_init(&s->frames);
	s->loop = ev_loop_new(EVFLAG_AUTO);
	s->timers = gyp_timers_new(s->loop);
	s->replica = r;
	s->port = raw_free_port();
	address = g_strdup_printf("127.0.0.1:%u", s->port);
	s->control =
	    gyp_pf_control_new(s->replica, s->timers, address, on_flush, s);
	s->httpd = gyp_httpd_new(s->loop, s->timers,
	    gyp_pf_control_httpd_owner(s->control), address, &err);
	g_assert_nonnull(s->httpd);
	gyp_httpd_set_body_max(s->httpd, 8 * 1024 * 1024);
	gyp_timer_every(s->timers, TICK_MS, on_tick, s);
	g_free(address);
}

/* A replica that is not a member of any cell. */
static void
start_outsider(struct server *s)
{
	start_server(s, make_replica(1, 20, 5));
}

/* The only replica of a cell; returns once it leads. */
static void
start_alone(struct server *s)
{
	start_server(s, make_replica(1, 20, 5));
	gyp_replica_bootstrap(s->replica, NULL);
	while (!gyp_replica_serving(s->replica))
		ev_run(s->loop, EVRUN_ONCE);
}

/* One of two voters; returns once it leads. */
static void
start_with_other(struct server *s, uint32_t election_ms, uint32_t heartbeat_ms)
{
	Gyp__Config config = GYP__CONFIG__INIT;
	Gyp__Member members[] = {GYP__MEMBER__INIT, GYP__MEMBER__INIT};
	Gyp__Member *list[] = {&members[0], &members[1]};

	members[0].id = 1;
	members[0].address = "127.0.0.1:1";
	members[1].id = 2;
	members[1].address = "127.0.0.1:2";
	members[0].voter = members[1].voter = true;
	config.n_members = 2;
	config.members = list;
	start_server(s, make_replica(1, election_ms, heartbeat_ms));
	s->other = make_replica(2, election_ms, heartbeat_ms);
	gyp_replica_bootstrap(s->replica, &config);
	gyp_replica_bootstrap(s->other, &config);
	while (!gyp_replica_serving(s->replica)) {
		ev_run(s->loop, EVRUN_ONCE);
		gyp_replica_transfer_leadership(s->other);
	}
}

static void
stop(struct server *s)
{
	gyp_httpd_free(s->httpd);
	gyp_pf_control_free(s->control);
	carry_out(s);
	g_queue_clear_full(&s->frames, free_frame);
	gyp_replica_free(s->replica);
	gyp_replica_free(s->other);
	gyp_timers_free(s->timers);
	ev_loop_destroy(s->loop);
}

/* ---- Requests ----------------------------------------------------------- */

#define CALLERS_MAX 4

/* Callers that send the same request at once. */
struct request {
	uint16_t port;
	int callers;
	char *text;
	char *responses[CALLERS_MAX];
};

static void
send_requests(void *arg)
{
	struct request *r = arg;
	int fds[CALLERS_MAX], i;

	for (i = 0; i < r->callers; i++) {
		fds[i] = raw_connect(r->port);
		g_assert_true(raw_send(fds[i], r->text, strlen(r->text)));
	}
	for (i = 0; i < r->callers; i++) {
		r->responses[i] = raw_read_all(fds[i]);
		close(fds[i]);
	}
}

static char *
put_text(const char *body)
{
	return g_strdup_printf("PUT /api/config HTTP/1.1\r\nHost: x\r\n"
			       "Connection: close\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
}

/* Returns the status that all callers with that manifest get. */
static int
put_by(struct server *s, const char *body, int callers)
{
	struct request r = {
	    .port = s->port, .callers = callers, .text = put_text(body)};
	int status = 0, i;

	raw_run_thread(s->loop, send_requests, &r);
	for (i = 0; i < callers; i++) {
		int before = status;

		g_assert_cmpint(
		    sscanf(r.responses[i], "HTTP/1.1 %d", &status), ==, 1);
		g_assert_true(i == 0 || status == before);
		g_free(r.responses[i]);
	}
	g_free(r.text);
	return status;
}

static int
put(struct server *s, const char *body)
{
	return put_by(s, body, 1);
}

/* A manifest with that many queues, whose prefixes begin with `path`. */
static char *
make_manifest(unsigned version, int queues, const char *path)
{
	GString *s = g_string_new(NULL);
	int i;

	g_string_printf(s, "{\"version\":%u,\"routes\":[", version);
	for (i = 0; i < queues; i++)
		g_string_append_printf(s,
		    "%s{\"name\":\"q%d\",\"host\":\"h\",\"path_prefix\":"
		    "\"/%s%d/\",\"timeout_ms\":1,\"backend\":\"p\"}",
		    i > 0 ? "," : "", i, path, i);
	g_string_append(s, "],\"backends\":[{\"name\":\"p\"}]}");
	return g_string_free(s, FALSE);
}

/* ---- Tests -------------------------------------------------------------- */

/*
 * Guards against followers that are too busy for their part in the log: one
 * read a manifest of thousands of queues in full, only to redirect the caller.
 */
static void
test_follower_reads_no_manifest(void)
{
	struct server s;

	start_outsider(&s);
	g_assert_cmpint(put(&s, "not read"), ==, 503);
	stop(&s);
}

static void
test_leader_refuses_invalid(void)
{
	struct server s;
	char *same = make_manifest(2, 3, "a");
	char *older = make_manifest(1, 4, "a");

	start_alone(&s);
	g_assert_cmpint(put(&s, "unreadable"), ==, 400);
	g_assert_cmpint(put(&s, same), ==, 200);
	g_assert_cmpint(put(&s, same), ==, 200);
	g_assert_cmpint(put(&s, older), ==, 200);
	/* Also with a version that is stored, or older. */
	g_assert_cmpint(put(&s, "{\"version\":2}"), ==, 400);
	g_assert_cmpint(put(&s, "{\"version\":1}"), ==, 400);
	stop(&s);
	g_free(same);
	g_free(older);
}

/*
 * Guards against work that grows with each retry of a slow change: each call
 * with the same manifest was a proposal of its own, sent to all replicas.
 */
static void
test_repeated_change_is_one_proposal(void)
{
	struct server s;
	char *manifest = make_manifest(1, 400, "a");

	start_alone(&s);
	hold(&s, false, 3);
	g_assert_cmpint(put_by(&s, manifest, 3), ==, 200);
	g_assert_cmpuint(s.changes, ==, 1);
	g_assert_cmpint(put(&s, manifest), ==, 200);
	g_assert_cmpuint(s.changes, ==, 1);
	stop(&s);
	g_free(manifest);
}

/* The same if the first call got 504 before the change was committed. */
static void
test_change_repeated_after_timeout(void)
{
	struct server s;
	char *manifest = make_manifest(1, 400, "a");

	start_alone(&s);
	hold(&s, false, 2);
	g_assert_cmpint(put(&s, manifest), ==, 504);
	s.requests = 1;
	g_assert_cmpint(put(&s, manifest), ==, 200);
	g_assert_cmpuint(s.changes, ==, 1);
	stop(&s);
	g_free(manifest);
}

/*
 * Guards against a valid change that nobody takes: a leader whose lease had run
 * out for the moment, as after a long iteration of its loop, answered 503.
 */
static void
test_change_waits_for_lease(void)
{
	struct server s;
	char *manifest = make_manifest(1, 400, "a");

	/* Each lease ends 300 ms after a heartbeat, 400 ms before the next. */
	start_with_other(&s, 1000, 700);
	while (gyp_replica_serving(s.replica))
		ev_run(s.loop, EVRUN_ONCE);
	g_assert_cmpint(put(&s, manifest), ==, 200);
	g_assert_cmpuint(s.changes, ==, 1);
	stop(&s);
	g_free(manifest);
}

/*
 * Guards against a change that is committed and not acknowledged: the leader
 * forgot its callers when it lost the leadership, also if it led the next term.
 */
static void
test_change_outlasts_term(void)
{
	struct server s;
	char *manifest = make_manifest(1, 400, "a");
	uint64_t term;

	start_with_other(&s, 60, 10);
	term = gyp_raft_term(gyp_replica_raft(s.replica));
	hold(&s, true, 1);
	g_assert_cmpint(put(&s, manifest), ==, 200);
	g_assert_cmpuint(gyp_raft_term(gyp_replica_raft(s.replica)), >, term);
	stop(&s);
	g_free(manifest);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pf-control/follower-reads-no-manifest",
	    test_follower_reads_no_manifest);
	g_test_add_func(
	    "/pf-control/leader-refuses-invalid", test_leader_refuses_invalid);
	g_test_add_func("/pf-control/repeated-change-is-one-proposal",
	    test_repeated_change_is_one_proposal);
	g_test_add_func("/pf-control/change-repeated-after-timeout",
	    test_change_repeated_after_timeout);
	g_test_add_func(
	    "/pf-control/change-waits-for-lease", test_change_waits_for_lease);
	g_test_add_func(
	    "/pf-control/change-outlasts-term", test_change_outlasts_term);
	return g_test_run();
}
