/* Tests of the control server of one replica, over HTTP on loopback. */
#include <stdio.h>
#include <string.h>

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
	uint64_t written;  /* records that the replica has written */
	size_t largest;    /* bytes of the largest of them */
	uint32_t changes;  /* of them with at least MANIFEST_BYTES */
	bool without_disk; /* records are not reported as synced */
};

/* Records of this size or larger hold a manifest, in bytes. */
#define MANIFEST_BYTES 4000

/* ---- Server ------------------------------------------------------------- */

static void
carry_out(struct server *s)
{
	struct gyp_out_frame out;
	struct gyp_record rec;

	while (gyp_replica_pop_record(s->replica, &rec)) {
		size_t bytes =
		    rec.data != NULL ? g_bytes_get_size(rec.data) : 0;

		s->written++;
		s->largest = MAX(s->largest, bytes);
		s->changes += bytes >= MANIFEST_BYTES;
		if (rec.data != NULL)
			g_bytes_unref(rec.data);
	}
	while (gyp_replica_pop_frame(s->replica, &out)) {
		g_free(out.address);
		g_bytes_unref(out.packed);
	}
}

static void
on_flush(void *arg)
{
	carry_out(arg);
}

static void
on_tick(void *arg, uint64_t now)
{
	struct server *s = arg;

	gyp_replica_tick(s->replica, now);
	carry_out(s);
	if (!s->without_disk)
		gyp_replica_synced(s->replica, now, s->written);
	carry_out(s);
	gyp_pf_control_handle_replies(s->control);
}

/* Starts the only replica of a cell, or one that is not a member of any. */
static void
start(struct server *s, bool member)
{
	struct gyp_replica_config cfg = {.id = 1,
	    .address = "127.0.0.1:1",
	    .election_ms = 20,
	    .heartbeat_ms = 5,
	    .entry_lease_ms = 1000,
	    .endpoint_lease_ms = 1000,
	    .voters = 1,
	    .run_lease_ms = 1000,
	    .compact_bytes = 64 * 1024 * 1024};
	struct gyp_error err;
	char *address;

	memset(s, 0, sizeof(*s));
	s->loop = ev_loop_new(EVFLAG_AUTO);
	s->timers = gyp_timers_new(s->loop);
	s->replica = gyp_replica_new(&cfg);
	if (member)
		gyp_replica_bootstrap(s->replica, NULL);
	s->port = raw_free_port();
	address = g_strdup_printf("127.0.0.1:%u", s->port);
	s->control = gyp_pf_control_new(
	    s->replica, s->timers, address, on_flush, s);
	s->httpd = gyp_httpd_new(s->loop, s->timers,
	    gyp_pf_control_httpd_owner(s->control), address, &err);
	g_assert_nonnull(s->httpd);
	gyp_httpd_set_body_max(s->httpd, 8 * 1024 * 1024);
	gyp_timer_every(s->timers, 2, on_tick, s);
	while (member && !gyp_replica_serving(s->replica))
		ev_run(s->loop, EVRUN_ONCE);
	g_free(address);
}

static void
stop(struct server *s)
{
	gyp_httpd_free(s->httpd);
	gyp_pf_control_free(s->control);
	gyp_replica_free(s->replica);
	gyp_timers_free(s->timers);
	ev_loop_destroy(s->loop);
}

/* ---- Requests ----------------------------------------------------------- */

struct request {
	uint16_t port;
	char *text;
	char *response;
};

static void
send_request(void *arg)
{
	struct request *r = arg;

	r->response = raw_request(r->port, r->text, strlen(r->text), FALSE);
}

static char *
put_text(const char *body)
{
	return g_strdup_printf("PUT /api/config HTTP/1.1\r\nHost: x\r\n"
			       "Connection: close\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
}

/* Returns the status of the response to a manifest. */
static int
put(struct server *s, const char *body)
{
	struct request r = {.port = s->port, .text = put_text(body)};
	int status = 0;

	raw_run_thread(s->loop, send_request, &r);
	g_assert_cmpint(sscanf(r.response, "HTTP/1.1 %d", &status), ==, 1);
	g_free(r.text);
	g_free(r.response);
	return status;
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

	start(&s, false);
	g_assert_cmpint(put(&s, "not read"), ==, 503);
	stop(&s);
}

static void
test_leader_refuses_invalid(void)
{
	struct server s;
	char *same = make_manifest(1, 3, "a");

	start(&s, true);
	g_assert_cmpint(put(&s, "unreadable"), ==, 400);
	g_assert_cmpint(put(&s, same), ==, 200);
	g_assert_cmpint(put(&s, same), ==, 200);
	/* Also with a version that is in force, or older. */
	g_assert_cmpint(put(&s, "{\"version\":1}"), ==, 400);
	stop(&s);
	g_free(same);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pf-control/follower-reads-no-manifest",
	    test_follower_reads_no_manifest);
	g_test_add_func("/pf-control/leader-refuses-invalid",
	    test_leader_refuses_invalid);
	return g_test_run();
}
