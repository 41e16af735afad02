#include <sys/resource.h>
#include <sys/socket.h>

#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "buf.h"
#include "counters.h"
#include "link.h"
#include "msg.h"
#include "program.h"
#include "raw_socket.h"
#include "timer.h"

struct fixture {
	struct gyp_links_owner owner;
	struct ev_loop *loop;
	struct gyp_timers *timers;
	struct gyp_counters *counters;
	struct gyp_links *links;
	uint16_t port;
	gint hellos;
	gint received;
	gint entries_closed;
};

static void
on_received(struct gyp_links_owner *owner, uint64_t id, const Gyp__Frame *frame)
{
	(void)id;
	(void)frame;
	g_atomic_int_inc(&((struct fixture *)owner)->received);
}

static void
on_hello(struct gyp_links_owner *owner, const Gyp__Hello *hello)
{
	(void)hello;
	g_atomic_int_inc(&((struct fixture *)owner)->hellos);
}

static void
on_change(struct gyp_links_owner *owner, const char *address)
{
	(void)owner;
	(void)address;
}

static void
on_entry_closed(struct gyp_links_owner *owner, uint64_t id)
{
	g_assert_cmpuint(id, >=, 1000);
	g_atomic_int_inc(&((struct fixture *)owner)->entries_closed);
}

static const struct gyp_links_owner_ops ops = {.received = on_received,
    .hello_received = on_hello,
    .entry_closed = on_entry_closed,
    .opened = on_change,
    .lost = on_change};

static void
set_up(struct fixture *f)
{
	Gyp__Hello hello = GYP__HELLO__INIT;
	char address[32];

	memset(f, 0, sizeof(*f));
	f->owner.ops = &ops;
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->timers = gyp_timers_new(f->loop);
	f->counters = gyp_counters_new();
	hello.id = 1;
	f->links = gyp_links_new(f->loop, f->timers, &f->owner, &hello);
	gyp_links_set_counters(f->links, f->counters);
	f->port = raw_free_port();
	g_snprintf(address, sizeof(address), "127.0.0.1:%u", f->port);
	g_assert_cmpint(gyp_links_listen(f->links, address, NULL), ==, GYP_OK);
}

static void
tear_down(struct fixture *f)
{
	gyp_links_free(f->links);
	gyp_counters_free(f->counters);
	gyp_timers_free(f->timers);
	ev_loop_destroy(f->loop);
}

static void
append_frame(struct gyp_buf *b, const Gyp__Frame *frame)
{
	GBytes *packed = gyp_message_pack(&frame->base);
	gsize len;
	const void *data = g_bytes_get_data(packed, &len);

	gyp_put_u32(gyp_buf_extend(b, 4), (uint32_t)len);
	gyp_buf_append(b, data, len);
	g_bytes_unref(packed);
}

static void
append_hello(struct gyp_buf *b, uint64_t id)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Hello hello = GYP__HELLO__INIT;

	hello.id = id;
	frame.body_case = GYP__FRAME__BODY_HELLO;
	frame.hello = &hello;
	append_frame(b, &frame);
}

static void
append_entry_up(struct gyp_buf *b)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryUp up = GYP__ENTRY_UP__INIT;

	frame.body_case = GYP__FRAME__BODY_UP;
	frame.up = &up;
	append_frame(b, &frame);
}

/* Sends and waits until the link has closed the connection. */
static void
check_closed(const struct fixture *f, const struct gyp_buf *b)
{
	char *answer = raw_request(f->port, b->data, b->len, FALSE);

	g_assert_cmpstr(answer, ==, "");
	g_free(answer);
}

/* Checks that a peer with valid frames is still served. */
static void
check_service(struct fixture *f)
{
	gint before = g_atomic_int_get(&f->received);
	struct gyp_buf b = {NULL, 0, 0};
	int fd = raw_connect(f->port);

	append_hello(&b, 77);
	append_entry_up(&b);
	g_assert_true(raw_send(fd, b.data, b.len));
	while (g_atomic_int_get(&f->received) == before)
		g_usleep(1000);
	close(fd);
	gyp_buf_clear(&b);
}

static void
send_garbage(void *arg)
{
	static const uint8_t huge[] = {0xff, 0xff, 0xff, 0xff, 0};
	static const uint8_t bad[] = {0, 0, 0, 3, 0xff, 0xff, 0xff};
	struct fixture *f = arg;
	struct gyp_buf b = {NULL, 0, 0};

	/* A length over the limit, alone and after the hello. */
	gyp_buf_append(&b, huge, sizeof(huge));
	check_closed(f, &b);
	gyp_buf_clear(&b);
	append_hello(&b, 5);
	gyp_buf_append(&b, huge, sizeof(huge));
	check_closed(f, &b);
	gyp_buf_clear(&b);
	/* Not a Gyp__Frame. */
	append_hello(&b, 5);
	gyp_buf_append(&b, bad, sizeof(bad));
	check_closed(f, &b);
	gyp_buf_clear(&b);
	/* No hello, and one without an id. */
	append_entry_up(&b);
	check_closed(f, &b);
	gyp_buf_clear(&b);
	append_hello(&b, 0);
	check_closed(f, &b);
	gyp_buf_clear(&b);
	/* Before the hello the limit is GYP_HELLO_MAX. */
	gyp_put_u32(gyp_buf_extend(&b, 4), GYP_HELLO_MAX + 1);
	check_closed(f, &b);
	gyp_buf_clear(&b);
	g_assert_cmpint(g_atomic_int_get(&f->received), ==, 0);
	check_service(f);
}

/* Sends a frame slowly until the link closes the connection. */
static void
send_slowly(void *arg)
{
	struct fixture *f = arg;
	struct gyp_buf b = {NULL, 0, 0};
	int fd = raw_connect(f->port);

	append_hello(&b, 5);
	gyp_put_u32(b.data, GYP_HELLO_MAX);
	raw_send(fd, b.data, 4);
	while (raw_send(fd, b.data, 1))
		g_usleep(50000);
	close(fd);
	gyp_buf_clear(&b);
	check_service(f);
}

/* A second connection of a process replaces the first one. */
static void
reconnect(void *arg)
{
	struct fixture *f = arg;
	struct gyp_buf b = {NULL, 0, 0};
	int first = raw_connect(f->port), second = raw_connect(f->port);
	char *rest;

	append_hello(&b, 5);
	raw_send(first, b.data, b.len);
	while (g_atomic_int_get(&f->hellos) < 1)
		g_usleep(1000);
	raw_send(second, b.data, b.len);
	rest = raw_read_all(first);
	g_assert_cmpstr(rest, ==, "");
	g_free(rest);
	close(first);
	close(second);
	gyp_buf_clear(&b);
	check_service(f);
}

/* A peer that does not read is disconnected once its queue is full. */
static void
overflow(void *arg)
{
	struct fixture *f = arg;
	struct gyp_buf b = {NULL, 0, 0};
	int fd = raw_connect(f->port);

	append_hello(&b, 9);
	raw_send(fd, b.data, b.len);
	while (g_atomic_int_get(&f->hellos) < 1)
		g_usleep(1000);
	while (raw_send(fd, b.data, b.len))
		g_usleep(1000);
	close(fd);
	gyp_buf_clear(&b);
}

static void
flood(void *arg, uint64_t now)
{
	struct fixture *f = arg;
	guint8 *zeros = g_malloc0(1024 * 1024);
	GBytes *bytes = g_bytes_new_take(zeros, 1024 * 1024);

	(void)now;
	gyp_links_send_to_id(f->links, 9, bytes);
	g_bytes_unref(bytes);
}

static void
run_in_fixture(void (*work)(void *))
{
	struct fixture f;

	set_up(&f);
	raw_run_thread(f.loop, work, &f);
	tear_down(&f);
}

/* Number of entries of a deployment of 300 VMs. */
#define MANY_ENTRIES 300

static int
connect_peer(const struct fixture *f, uint64_t id, gboolean entry)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Hello hello = GYP__HELLO__INIT;
	struct gyp_buf b = {NULL, 0, 0};
	int fd = raw_connect(f->port);

	hello.id = id;
	hello.entry = entry;
	frame.body_case = GYP__FRAME__BODY_HELLO;
	frame.hello = &hello;
	append_frame(&b, &frame);
	append_entry_up(&b);
	raw_send(fd, b.data, b.len);
	gyp_buf_clear(&b);
	return fd;
}

/* Waits until n frames were received. */
static void
await_received(const struct fixture *f, gint n)
{
	int i;

	for (i = 0; i < 5000 && g_atomic_int_get(&f->received) < n; i++)
		g_usleep(1000);
	g_assert_cmpint(g_atomic_int_get(&f->received), ==, n);
}

/* Only the end of an entry's connection is reported, at once. */
static void
close_entry(void *arg)
{
	struct fixture *f = arg;
	int entry = connect_peer(f, 1000, TRUE);
	int replica = connect_peer(f, 2, FALSE), i;

	await_received(f, 2);
	close(replica);
	close(entry);
	for (i = 0; i < 5000 && g_atomic_int_get(&f->entries_closed) < 1; i++)
		g_usleep(1000);
	g_assert_cmpint(g_atomic_int_get(&f->entries_closed), ==, 1);
}

static void
test_entry_closed(void)
{
	run_in_fixture(close_entry);
}

/* All entries of a large deployment connect, and after them a replica. */
static void
connect_many(void *arg)
{
	struct fixture *f = arg;
	int fds[MANY_ENTRIES + 1], i;

	for (i = 0; i < MANY_ENTRIES; i++)
		fds[i] = connect_peer(f, 1000 + (uint64_t)i, TRUE);
	fds[i] = connect_peer(f, 2, FALSE);
	await_received(f, MANY_ENTRIES + 1);
	for (i = 0; i <= MANY_ENTRIES; i++)
		close(fds[i]);
}

/* Entries beyond the limit are refused, replicas are not. */
static void
connect_beyond_limit(void *arg)
{
	struct fixture *f = arg;
	int fds[4], i;
	char *rest;

	for (i = 0; i < 3; i++)
		fds[i] = connect_peer(f, 1000 + (uint64_t)i, TRUE);
	await_received(f, 2);
	rest = raw_read_all(fds[2]);
	g_assert_cmpstr(rest, ==, "");
	g_free(rest);
	fds[3] = connect_peer(f, 2, FALSE);
	await_received(f, 3);
	for (i = 0; i < 4; i++)
		close(fds[i]);
}

/*
 * A replica reaches another one beside the entries of a large deployment, or a
 * new leader could not keep its majority.
 */
static void
test_many_entries(void)
{
	run_in_fixture(connect_many);
}

/*
 * Guards against entries that take the connections of replicas, and against
 * refusals that the counter leaves out.
 */
static void
test_entries_limit(void)
{
	struct fixture f;

	set_up(&f);
	gyp_links_set_entries_max(f.links, 2);
	raw_run_thread(f.loop, connect_beyond_limit, &f);
	g_assert_cmpuint(
	    gyp_counter_get(f.counters, "gyp_links_refused_total", ""), ==, 1);
	tear_down(&f);
}

static void
test_garbage(void)
{
	run_in_fixture(send_garbage);
}

static void
test_slow(void)
{
	run_in_fixture(send_slowly);
}

static void
test_reconnect(void)
{
	run_in_fixture(reconnect);
}

static void
test_overflow(void)
{
	struct fixture f;

	set_up(&f);
	gyp_timer_every(f.timers, 5, flood, &f);
	raw_run_thread(f.loop, overflow, &f);
	tear_down(&f);
}

/* Of the frames sent while a connection is opened, one arrives: the latest. */
static void
test_pending_frame(void)
{
	struct fixture f;
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryUp up = GYP__ENTRY_UP__INIT;
	GBytes *packed;
	char address[32];
	int i;

	set_up(&f);
	frame.body_case = GYP__FRAME__BODY_UP;
	frame.up = &up;
	packed = gyp_message_pack(&frame.base);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u", f.port);
	gyp_links_send(f.links, address, packed);
	gyp_links_send(f.links, address, packed);
	/* The sweep timer bounds each ev_run(). */
	for (i = 0; i < 100 && f.received == 0; i++)
		ev_run(f.loop, EVRUN_ONCE);
	g_assert_cmpint(f.received, ==, 1);
	g_bytes_unref(packed);
	tear_down(&f);
}

/*
 * With the usual limit of 1,024 open files a process accepts fewer connections
 * than GYP_LINK_ACCEPTED_MAX, and none of a replica once entries hold them.
 */
static void
test_open_files(void)
{
	char *argv[] = {"test", "--version", NULL};
	struct gyp_program program = {.name = "test"};
	struct rlimit limit;
	rlim_t max;

	g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &limit), ==, 0);
	max = limit.rlim_max;
	limit.rlim_cur = 1024;
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
	g_assert_cmpint(gyp_program_start(&program, 2, argv), ==, 0);
	g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &limit), ==, 0);
	g_assert_cmpuint(limit.rlim_cur, ==, max);
}

/*
 * Guards against a leader that is busy with moving bytes: each part of a frame
 * of megabytes that a socket took moved all that was left.
 */
static void
test_unsent_bytes_stay(void)
{
	static uint8_t data[64 * 1024];
	struct gyp_buf b = {NULL, 0, 0};
	size_t used = 0, sent = 0;
	int moves = 0, i;

	for (i = 0; i < 64 * 1024; i++)
		data[i] = (uint8_t)(i % 251);
	gyp_buf_append(&b, data, sizeof(data));
	while (b.len > used) {
		g_assert_cmpuint(b.data[used], ==, sent % 251);
		gyp_buf_take(&b, &used, 64);
		sent += 64;
		moves += used == 0;
	}
	g_assert_cmpuint(sent, ==, sizeof(data));
	g_assert_cmpint(moves, <=, 11);
	gyp_buf_clear(&b);
}

/* ---- Silent peers --------------------------------------------------------
 */

/* Longest time from the last byte until a silent connection is replaced, ms. */
#define REPLACED_MS 3000

/* Returns a socket that the links dial, and has them dial it. */
static int
listen_to_links(struct fixture *f)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryUp up = GYP__ENTRY_UP__INIT;
	GBytes *packed;
	char address[32];
	uint16_t port;
	int fd = raw_listen(&port);

	frame.body_case = GYP__FRAME__BODY_UP;
	frame.up = &up;
	packed = gyp_message_pack(&frame.base);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	gyp_links_send(f->links, address, packed);
	g_bytes_unref(packed);
	return fd;
}

/* Reads the next frame; NULL when the connection is closed. */
static Gyp__Frame *
read_frame(int fd)
{
	uint8_t head[4], body[1024];
	uint32_t len;

	if (recv(fd, head, sizeof(head), MSG_WAITALL) != sizeof(head))
		return NULL;
	len = gyp_get_u32(head);
	g_assert_cmpuint(len, <=, sizeof(body));
	if (recv(fd, body, len, MSG_WAITALL) != (ssize_t)len)
		return NULL;
	return gyp__frame__unpack(NULL, len, body);
}

static void
send_ping(int fd, bool answer)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Ping ping = GYP__PING__INIT;
	struct gyp_buf b = {NULL, 0, 0};

	ping.answer = answer;
	frame.body_case = GYP__FRAME__BODY_PING;
	frame.ping = &ping;
	append_frame(&b, &frame);
	g_assert_true(raw_send(fd, b.data, b.len));
	gyp_buf_clear(&b);
}

static void
await_ping(int fd, bool answer)
{
	bool found = false;

	while (!found) {
		Gyp__Frame *frame = read_frame(fd);

		g_assert_nonnull(frame);
		found = frame->body_case == GYP__FRAME__BODY_PING &&
			frame->ping->answer == answer;
		gyp_message_free(frame);
	}
}

static int
accept_within(int listen_fd, int ms)
{
	struct pollfd p = {.fd = listen_fd, .events = POLLIN};

	return poll(&p, 1, ms) == 1 ? accept(listen_fd, NULL, NULL) : -1;
}

static void
go_silent(void *arg)
{
	int listen_fd = *(int *)arg, i;
	int first = accept_within(listen_fd, REPLACED_MS), second, third;

	send_ping(first, true);
	/* Answered for longer than the time-out: it stays. */
	for (i = 0; i < 4; i++) {
		await_ping(first, false);
		send_ping(first, true);
	}
	g_assert_cmpint(accept_within(listen_fd, 0), ==, -1);
	second = accept_within(listen_fd, REPLACED_MS);
	g_assert_cmpint(second, >=, 0);
	/* It was known to answer, so silence from the start counts too. */
	third = accept_within(listen_fd, REPLACED_MS);
	g_assert_cmpint(third, >=, 0);
	/* It may be of a version without pings by now. */
	g_assert_cmpint(accept_within(listen_fd, REPLACED_MS), ==, -1);
	close(first);
	close(second);
	close(third);
}

/* Runs the work on a socket that the links dial. */
static void
run_dialled(void (*work)(void *))
{
	struct fixture f;
	int fd;

	set_up(&f);
	fd = listen_to_links(&f);
	raw_run_thread(f.loop, work, &fd);
	tear_down(&f);
	close(fd);
}

/*
 * Guards against connections that go silent for good, while something on the
 * way acknowledges their bytes and new ones work: they stayed open.
 */
static void
test_silent_peer(void)
{
	run_dialled(go_silent);
}

static void
never_answer(void *arg)
{
	int listen_fd = *(int *)arg;
	int fd = accept_within(listen_fd, REPLACED_MS);

	g_assert_cmpint(accept_within(listen_fd, REPLACED_MS), ==, -1);
	close(fd);
}

/* A peer of a version without pings gets none, and stays connected. */
static void
test_peer_without_pings(void)
{
	run_dialled(never_answer);
}

static void
ping_links(void *arg)
{
	const struct fixture *f = arg;
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Hello hello = GYP__HELLO__INIT;
	struct gyp_buf b = {NULL, 0, 0};
	int fd = raw_connect(f->port);

	hello.id = 9;
	hello.pings = true;
	frame.body_case = GYP__FRAME__BODY_HELLO;
	frame.hello = &hello;
	append_frame(&b, &frame);
	g_assert_true(raw_send(fd, b.data, b.len));
	gyp_buf_clear(&b);
	await_ping(fd, true); /* tells that pings are answered */
	send_ping(fd, false);
	await_ping(fd, true);
	close(fd);
}

static void
test_answers_pings(void)
{
	run_in_fixture(ping_links);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/link/entry-closed", test_entry_closed);
	g_test_add_func("/link/garbage", test_garbage);
	g_test_add_func("/link/slow", test_slow);
	g_test_add_func("/link/reconnect", test_reconnect);
	g_test_add_func("/link/overflow", test_overflow);
	g_test_add_func("/link/pending-frame", test_pending_frame);
	g_test_add_func("/link/many-entries", test_many_entries);
	g_test_add_func("/link/entries-limit", test_entries_limit);
	g_test_add_func("/link/open-files", test_open_files);
	g_test_add_func("/link/silent-peer", test_silent_peer);
	g_test_add_func("/link/peer-without-pings", test_peer_without_pings);
	g_test_add_func("/link/answers-pings", test_answers_pings);
	g_test_add_func("/link/unsent-bytes-stay", test_unsent_bytes_stay);
	return g_test_run();
}
