#include <sys/socket.h>

#include <errno.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#include <ev.h>

#include "buf.h"
#include "counters.h"
#include "link.h"
#include "log.h"
#include "loop_deferred.h"
#include "msg.h"
#include "socket.h"
#include "timer.h"

/* Most bytes read from a socket at once. */
#define READ_BYTES (64 * 1024)

/* Interval of the sweep, which closes slow or overflowed connections, in ms. */
#define SWEEP_MS 200

/* A sweep that is later than this after the one before was held up, in ms. */
#define STALL_MS (3 * SWEEP_MS)

/* Shortest time between two log lines about refused connections, in ms. */
#define REFUSAL_LOG_MS 1000

enum conn_state { CONN_IDLE, CONN_DIALLING, CONN_OPEN };

/* Frames and bytes not yet added to the counters. */
struct traffic {
	uint64_t frames;
	uint64_t bytes;
};

struct conn {
	struct gyp_links *links;
	enum conn_state state;
	int fd;
	ev_io io;
	int events;
	char *address; /* dialled address; NULL if accepted */
	/*
	 * Replica id or entry incarnation from the peer's hello; 0 before it,
	 * or if dialled.
	 */
	uint64_t id;
	bool entry; /* the hello is from an entry */
	struct gyp_buf in;
	struct gyp_buf out;
	size_t out_sent; /* bytes at the front of out that are sent */
	/* Latest frame sent while dialling, or NULL; queued after the hello. */
	GBytes *pending_frame;
	uint64_t state_since; /* start of the dial, or time of accept */
	uint64_t frame_since; /* start of an incomplete frame, or 0 */
	uint64_t heard_at;    /* latest bytes received; the opening at least */
	uint64_t queued_at;   /* latest frame queued, the same */
	uint64_t pinged_at;   /* ping without an answer, or 0 */
	bool pings;    /* a dialled peer answers them, an accepted one sends */
	bool answered; /* a ping, on this connection */
	uint32_t redial_delay_ms;
	bool overflowed; /* queue is full: closed by the next sweep */
	bool unsent;     /* in links->unsent */
	struct traffic received;
	struct traffic sent;
	struct gyp_timer *redial;
};

struct gyp_links {
	struct ev_loop *loop;
	struct gyp_timers *timers;
	struct gyp_links_owner *owner;
	struct gyp_counters *counters; /* or NULL */
	GBytes *hello;                 /* packed frame */
	GRand *rand;
	int listen_fd;
	ev_io listen_io;
	struct gyp_timer *sweep;
	uint64_t swept_at;
	GHashTable *dialled; /* address -> struct conn */
	GPtrArray *accepted; /* struct conn */
	guint entries;       /* of accepted: from entries */
	guint entries_max;
	uint64_t refusal_logged_at;
	GHashTable *by_id; /* id -> struct conn of accepted */
	GPtrArray *unsent; /* struct conn, with newly queued frames */
	struct gyp_loop_deferred *deferred_send;
};

static void on_io(struct ev_loop *, ev_io *, int);
static void dial(struct conn *);

/* ---- Sockets ----------------------------------------------------------- */

static void
set_events(struct conn *c, int events)
{
	if (c->events == events)
		return;
	if (c->events != 0)
		ev_io_stop(c->links->loop, &c->io);
	c->events = events;
	if (events == 0)
		return;
	ev_io_set(&c->io, c->fd, events);
	ev_io_start(c->links->loop, &c->io);
}

static size_t
unsent_bytes(const struct conn *c)
{
	return c->out.len - c->out_sent;
}

static void
update_events(struct conn *c)
{
	if (c->state == CONN_DIALLING)
		set_events(c, EV_WRITE);
	else if (c->state == CONN_OPEN)
		set_events(c, EV_READ | (unsent_bytes(c) > 0 ? EV_WRITE : 0));
}

static void
set_pending_frame(struct conn *c, GBytes *packed)
{
	if (c->pending_frame != NULL)
		g_bytes_unref(c->pending_frame);
	c->pending_frame = packed != NULL ? g_bytes_ref(packed) : NULL;
}

/*
 * Batches small frames: those of a connection are sent by one call at the end
 * of the loop iteration, and the socket is watched for writability only when
 * that call sent just a part.
 */
static void
schedule_send(struct conn *c)
{
	if (c->unsent)
		return;
	c->unsent = true;
	g_ptr_array_add(c->links->unsent, c);
	gyp_loop_deferred_schedule(c->links->deferred_send);
}

static void
close_socket(struct conn *c)
{
	set_events(c, 0);
	if (c->unsent)
		g_ptr_array_remove_fast(c->links->unsent, c);
	c->unsent = false;
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	gyp_buf_clear(&c->in);
	gyp_buf_clear(&c->out);
	c->out_sent = 0;
	set_pending_frame(c, NULL);
	c->frame_since = 0;
	c->overflowed = false;
	c->state = CONN_IDLE;
}

static void
free_conn(gpointer p)
{
	struct conn *c = p;

	gyp_timer_cancel(c->links->timers, c->redial);
	close_socket(c);
	g_free(c->address);
	g_free(c);
}

static struct conn *
new_conn(struct gyp_links *links)
{
	struct conn *c = g_new0(struct conn, 1);

	c->links = links;
	c->fd = -1;
	c->redial_delay_ms = GYP_REDIAL_DELAY_MIN_MS;
	ev_init(&c->io, on_io);
	c->io.data = c;
	return c;
}

static void
on_redial(void *arg, uint64_t now)
{
	struct conn *c = arg;

	(void)now;
	c->redial = NULL;
	dial(c);
}

static void
schedule_redial(struct conn *c)
{
	uint32_t jitter = (uint32_t)g_rand_int_range(
	    c->links->rand, 0, (gint32)c->redial_delay_ms);

	c->redial = gyp_timer_once(
	    c->links->timers, c->redial_delay_ms / 2 + jitter, on_redial, c);
	c->redial_delay_ms =
	    MIN(c->redial_delay_ms * 2, GYP_REDIAL_DELAY_MAX_MS);
}

static void
drop_accepted(struct conn *c)
{
	struct gyp_links *links = c->links;
	bool latest = g_hash_table_lookup(links->by_id, &c->id) == c;
	bool entry = c->entry;
	uint64_t id = c->id;

	if (latest)
		g_hash_table_remove(links->by_id, &id);
	links->entries -= entry;
	g_ptr_array_remove_fast(links->accepted, c);
	if (entry && latest && links->owner->ops->entry_closed != NULL)
		links->owner->ops->entry_closed(links->owner, id);
}

/* Closes a connection. An accepted one is freed, a dialled one redialled. */
static void
drop_conn(struct conn *c)
{
	struct gyp_links *links = c->links;
	bool was_open = c->state == CONN_OPEN;

	if (c->address == NULL) {
		drop_accepted(c);
		return;
	}
	close_socket(c);
	schedule_redial(c);
	if (was_open)
		links->owner->ops->lost(links->owner, c->address);
}

static void
dial(struct conn *c)
{
	struct sockaddr_storage ss;
	uint32_t len;

	if (!gyp_address_parse(c->address, &ss, &len))
		return;
	c->fd = gyp_socket_dial(&ss, len);
	c->state = CONN_DIALLING;
	c->state_since = gyp_clock_ms();
	if (c->fd < 0)
		drop_conn(c);
	else
		update_events(c);
}

/* ---- Frames ------------------------------------------------------------ */

static void
queue_frame(struct conn *c, GBytes *packed)
{
	gsize len;
	const void *data = g_bytes_get_data(packed, &len);

	g_return_if_fail(len <= GYP_FRAME_MAX);
	/* Not closed here: the caller may be handling a frame of c. */
	c->overflowed =
	    c->overflowed || unsent_bytes(c) + len + 4 > GYP_LINK_QUEUE_MAX;
	if (c->overflowed)
		return;
	c->sent.frames++;
	c->sent.bytes += len + 4;
	c->queued_at = gyp_clock_ms();
	gyp_put_u32(gyp_buf_extend(&c->out, 4), (uint32_t)len);
	gyp_buf_append(&c->out, data, len);
	schedule_send(c);
}

static void
queue_ping(struct conn *c, bool answer)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Ping ping = GYP__PING__INIT;
	GBytes *packed;

	ping.answer = answer;
	frame.body_case = GYP__FRAME__BODY_PING;
	frame.ping = &ping;
	packed = gyp_message_pack(&frame.base);
	queue_frame(c, packed);
	g_bytes_unref(packed);
}

/* The first answer tells the dialler that the peer answers pings at all. */
static void
handle_ping(struct conn *c, const Gyp__Ping *ping)
{
	if (c->address == NULL && !ping->answer)
		queue_ping(c, true);
	if (c->address == NULL || !ping->answer)
		return;
	c->pings = true;
	c->answered = true;
}

/*
 * Counts a connection that is closed because of a limit; logs at most one in
 * REFUSAL_LOG_MS.
 */
static void
report_refusal(struct gyp_links *links, const char *limit)
{
	uint64_t now = gyp_clock_ms();

	if (links->counters != NULL)
		gyp_count(links->counters, "gyp_links_refused_total", "", 1);
	if (links->refusal_logged_at != 0 &&
	    now < links->refusal_logged_at + REFUSAL_LOG_MS)
		return;
	links->refusal_logged_at = now;
	gyp_log(GYP_LOG_WARNING, "link-refused",
	    "limit=%s accepted=%u entries=%u", limit, links->accepted->len,
	    links->entries);
}

/* Returns false when the connection must be closed. */
static bool
handle_hello(struct conn *c, const Gyp__Hello *hello)
{
	struct gyp_links *links = c->links;
	struct conn *old = g_hash_table_lookup(links->by_id, &hello->id);

	if (old != NULL)
		drop_conn(old);
	if (hello->entry && links->entries >= links->entries_max) {
		report_refusal(links, "entries");
		return false;
	}
	c->id = hello->id;
	c->entry = hello->entry;
	links->entries += c->entry;
	c->pings = hello->pings;
	if (c->pings)
		queue_ping(c, true);
	g_hash_table_insert(links->by_id, &c->id, c);
	links->owner->ops->hello_received(links->owner, hello);
	return true;
}

/* Returns false when the connection must be closed. */
static bool
handle_frame(struct conn *c, const Gyp__Frame *frame)
{
	struct gyp_links_owner *owner = c->links->owner;

	if (frame->body_case == GYP__FRAME__BODY_PING &&
	    (c->address != NULL || c->id != 0)) {
		handle_ping(c, frame->ping);
		return true;
	}
	if (c->address != NULL) {
		owner->ops->answered(owner, c->address, frame);
		return true;
	}
	if (c->id != 0) {
		owner->ops->received(owner, c->id, frame);
		return true;
	}
	if (frame->body_case != GYP__FRAME__BODY_HELLO || frame->hello->id == 0)
		return false;
	return handle_hello(c, frame->hello);
}

/* Bounds the memory of an accepted connection before its hello. */
static uint32_t
frame_limit(const struct conn *c)
{
	return c->address == NULL && c->id == 0 ? GYP_HELLO_MAX : GYP_FRAME_MAX;
}

/* Handles the complete frames of the input; false if one is malformed. */
static bool
parse_input(struct conn *c)
{
	size_t used = 0;
	bool ok = true;

	while (ok && c->in.len - used >= 4) {
		uint32_t len = gyp_get_u32(c->in.data + used);
		Gyp__Frame *frame;

		if (len > frame_limit(c)) {
			ok = false;
			break;
		}
		if (c->in.len - used - 4 < len)
			break;
		frame = gyp__frame__unpack(NULL, len, c->in.data + used + 4);
		used += 4 + (size_t)len;
		c->received.frames++;
		c->received.bytes += len + 4;
		ok = frame != NULL && handle_frame(c, frame);
		gyp_message_free(frame);
	}
	gyp_buf_consume(&c->in, used);
	if (c->in.len == 0)
		c->frame_since = 0;
	else if (used > 0 || c->frame_since == 0)
		c->frame_since = gyp_clock_ms();
	return ok;
}

static bool
read_input(struct conn *c)
{
	uint8_t chunk[READ_BYTES];
	ssize_t n = read(c->fd, chunk, sizeof(chunk));

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	if (n <= 0)
		return false;
	c->heard_at = gyp_clock_ms();
	c->pinged_at = 0;
	gyp_buf_append(&c->in, chunk, (size_t)n);
	return parse_input(c);
}

static bool
write_output(struct conn *c)
{
	ssize_t n;

	if (unsent_bytes(c) == 0)
		return true;
	n = send(
	    c->fd, c->out.data + c->out_sent, unsent_bytes(c), MSG_NOSIGNAL);
	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	gyp_buf_take(&c->out, &c->out_sent, (size_t)n);
	return true;
}

static void
send_unsent(void *arg)
{
	struct gyp_links *links = arg;

	while (links->unsent->len > 0) {
		struct conn *c = g_ptr_array_steal_index_fast(
		    links->unsent, links->unsent->len - 1);

		c->unsent = false;
		if (write_output(c))
			update_events(c);
		else
			drop_conn(c);
	}
}

static void
finish_dial(struct conn *c)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error != 0) {
		drop_conn(c);
		return;
	}
	c->state = CONN_OPEN;
	c->heard_at = gyp_clock_ms();
	c->pinged_at = 0;
	c->answered = false;
	c->redial_delay_ms = GYP_REDIAL_DELAY_MIN_MS;
	queue_frame(c, c->links->hello);
	if (c->pending_frame != NULL)
		queue_frame(c, c->pending_frame);
	set_pending_frame(c, NULL);
	update_events(c);
	c->links->owner->ops->opened(c->links->owner, c->address);
}

static void
on_io(struct ev_loop *loop, ev_io *w, int revents)
{
	struct conn *c = w->data;
	bool ok = true;

	(void)loop;
	if (c->state == CONN_DIALLING) {
		finish_dial(c);
		return;
	}
	if (revents & EV_READ)
		ok = read_input(c);
	if (ok && (revents & EV_WRITE))
		ok = write_output(c);
	if (ok)
		update_events(c);
	else
		drop_conn(c);
}

static void
on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	struct gyp_links *links = w->data;
	struct conn *c;
	int fd =
	    accept4(links->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)loop;
	(void)revents;
	if (fd < 0)
		return;
	if (links->accepted->len >= GYP_LINK_ACCEPTED_MAX) {
		report_refusal(links, "accepted");
		close(fd);
		return;
	}
	gyp_socket_set_options(fd);
	c = new_conn(links);
	c->fd = fd;
	c->state = CONN_OPEN;
	c->state_since = gyp_clock_ms();
	c->heard_at = c->queued_at = c->state_since;
	g_ptr_array_add(links->accepted, c);
	update_events(c);
}

/* ---- Silent connections ------------------------------------------------ */

/*
 * Pings a quiet connection. One whose peer may not know pings gets none: it is
 * left to the kernel's time-outs.
 */
static void
ping_if_quiet(struct conn *c, uint64_t now)
{
	if (c->address == NULL || c->state != CONN_OPEN || !c->pings ||
	    c->pinged_at != 0 ||
	    now < MIN(c->heard_at, c->queued_at) + GYP_PING_AFTER_MS)
		return;
	c->pinged_at = now;
	queue_ping(c, false);
}

static bool
is_silent(const struct conn *c, uint64_t now)
{
	if (c->state != CONN_OPEN || !c->pings)
		return false;
	if (c->address == NULL)
		return now > c->heard_at + GYP_ACCEPTED_SILENT_MS;
	return c->pinged_at != 0 && now > c->pinged_at + GYP_PING_TIMEOUT_MS;
}

static void
drop_silent(struct conn *c)
{
	gyp_log(GYP_LOG_WARNING, "link-silent",
	    "peer=%s heard_ms_ago=%" G_GUINT64_FORMAT " answered=%d",
	    c->address != NULL ? c->address : "accepted",
	    gyp_clock_ms() - c->heard_at, c->answered);
	/* A peer may have gone back to a version without pings. */
	c->pings = c->answered;
	drop_conn(c);
}

/* This process stood still: what arrived meanwhile has not been read. */
static void
restart_silence(struct conn *c, uint64_t now)
{
	c->heard_at = now;
	if (c->pinged_at != 0)
		c->pinged_at = now;
}

/* ---- Sweep ------------------------------------------------------------- */

static bool
must_close(const struct conn *c, uint64_t now)
{
	bool awaits_hello =
	    c->state == CONN_OPEN && c->address == NULL && c->id == 0;

	if (c->state == CONN_DIALLING &&
	    now > c->state_since + GYP_DIAL_TIMEOUT_MS)
		return true;
	if (c->overflowed ||
	    (awaits_hello && now > c->state_since + GYP_HELLO_TIMEOUT_MS))
		return true;
	return c->frame_since != 0 &&
	       now > c->frame_since + GYP_FRAME_TIMEOUT_MS;
}

static void
report_traffic(struct gyp_links *links, const struct conn *c,
    struct traffic *traffic, const char *direction)
{
	char labels[GYP_LABELS_MAX];

	if (links->counters == NULL || traffic->frames == 0)
		return;
	gyp_labels(labels, "link", c->address != NULL ? c->address : "accepted",
	    "direction", direction, NULL);
	gyp_count(
	    links->counters, "gyp_messages_total", labels, traffic->frames);
	gyp_count(
	    links->counters, "gyp_link_bytes_total", labels, traffic->bytes);
	traffic->frames = traffic->bytes = 0;
}

static void
report_conn_traffic(struct gyp_links *links, struct conn *c)
{
	report_traffic(links, c, &c->received, "in");
	report_traffic(links, c, &c->sent, "out");
}

static void
sweep_conn(struct conn *c, uint64_t now, GPtrArray *closing)
{
	report_conn_traffic(c->links, c);
	if (c->links->swept_at != 0 && now > c->links->swept_at + STALL_MS)
		restart_silence(c, now);
	if (must_close(c, now) || is_silent(c, now))
		g_ptr_array_add(closing, c);
	else
		ping_if_quiet(c, now);
}

static void
on_sweep(void *arg, uint64_t now)
{
	struct gyp_links *links = arg;
	GPtrArray *closing = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < links->accepted->len; i++)
		sweep_conn(links->accepted->pdata[i], now, closing);
	g_hash_table_iter_init(&iter, links->dialled);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sweep_conn(value, now, closing);
	links->swept_at = now;
	for (i = 0; i < closing->len; i++) {
		if (is_silent(closing->pdata[i], now))
			drop_silent(closing->pdata[i]);
		else
			drop_conn(closing->pdata[i]);
	}
	g_ptr_array_free(closing, TRUE);
}

/* ---- Links ------------------------------------------------------------- */

void
gyp_links_send(struct gyp_links *links, const char *address, GBytes *packed)
{
	struct conn *c = g_hash_table_lookup(links->dialled, address);

	if (c == NULL) {
		c = new_conn(links);
		c->address = g_strdup(address);
		g_hash_table_insert(links->dialled, c->address, c);
		dial(c);
	}
	if (c->state == CONN_OPEN)
		queue_frame(c, packed);
	else if (c->state == CONN_DIALLING)
		set_pending_frame(c, packed);
}

void
gyp_links_send_to_id(struct gyp_links *links, uint64_t id, GBytes *packed)
{
	struct conn *c = g_hash_table_lookup(links->by_id, &id);

	if (c != NULL)
		queue_frame(c, packed);
}

void
gyp_links_set_entries_max(struct gyp_links *links, guint max)
{
	links->entries_max = max;
}

void
gyp_links_set_counters(struct gyp_links *links, struct gyp_counters *counters)
{
	links->counters = counters;
}

enum gyp_status
gyp_links_listen(
    struct gyp_links *links, const char *address, struct gyp_error *err)
{
	int fd;
	enum gyp_status status = gyp_socket_listen(address, &fd, err);

	if (status != GYP_OK)
		return status;
	links->listen_fd = fd;
	ev_io_init(&links->listen_io, on_accept, links->listen_fd, EV_READ);
	links->listen_io.data = links;
	ev_io_start(links->loop, &links->listen_io);
	return GYP_OK;
}

struct gyp_links *
gyp_links_new(struct ev_loop *loop, struct gyp_timers *timers,
    struct gyp_links_owner *owner, const Gyp__Hello *hello)
{
	struct gyp_links *links = g_new0(struct gyp_links, 1);
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Hello with_pings = *hello;

	with_pings.pings = true;
	frame.body_case = GYP__FRAME__BODY_HELLO;
	frame.hello = &with_pings;
	links->loop = loop;
	links->timers = timers;
	links->owner = owner;
	links->hello = gyp_message_pack(&frame.base);
	links->entries_max = GYP_LINK_ENTRIES_MAX;
	links->rand = g_rand_new();
	links->listen_fd = -1;
	links->dialled =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_conn);
	links->accepted = g_ptr_array_new_with_free_func(free_conn);
	links->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	links->unsent = g_ptr_array_new();
	links->deferred_send =
	    gyp_loop_deferred_new(loop, GYP_LOOP_SEND, send_unsent, links);
	links->sweep = gyp_timer_every(timers, SWEEP_MS, on_sweep, links);
	return links;
}

void
gyp_links_free(struct gyp_links *links)
{
	if (links == NULL)
		return;
	gyp_timer_cancel(links->timers, links->sweep);
	if (links->listen_fd >= 0) {
		ev_io_stop(links->loop, &links->listen_io);
		close(links->listen_fd);
	}
	g_hash_table_destroy(links->by_id);
	g_ptr_array_free(links->accepted, TRUE);
	g_hash_table_destroy(links->dialled);
	gyp_loop_deferred_free(links->deferred_send);
	g_ptr_array_free(links->unsent, TRUE);
	g_bytes_unref(links->hello);
	g_rand_free(links->rand);
	g_free(links);
}
