#ifndef GYP_LINK_H
#define GYP_LINK_H

#include <stdint.h>

#include <glib.h>

#include "status.h"
#include "wire.pb-c.h"

struct ev_loop;
struct gyp_counters;
struct gyp_timers;

/*
 * NAME
 *	link - framed TCP connections between gypsumbend processes
 *
 * DESCRIPTION
 *	A frame is a 32-bit big-endian length and a packed Gyp__Frame. The
 *	first frame on a connection is the dialler's Gyp__Hello. A connection
 *	to an address is dialled on demand, and redialled when it is lost,
 *	after a delay with jitter that doubles up to a limit. Queues are
 *	bounded in bytes: a connection whose queue overflows is closed, and the
 *	protocols above resend what was lost once it is open again. A
 *	connection is also closed when the peer sends malformed frames, or a
 *	frame too slowly.
 *
 *	Handles this trouble: an open connection goes silent for good, and
 *	something on the way goes on acknowledging its bytes, while new
 *	connections work. On a connection that is quiet in one direction the
 *	dialler sends pings, which the other side answers; without an answer,
 *	or anything else, the connection is closed and dialled anew. Peers of
 *	versions without pings get none.
 */

/* Most bytes queued on one connection. */
#define GYP_LINK_QUEUE_MAX (16 * 1024 * 1024)

/*
 * Most accepted connections, and how many of them may be from entries. The rest
 * is for replicas: a leader that its followers cannot reach loses leadership,
 * and the connections of the next one would be used up by entries as well.
 */
#define GYP_LINK_ACCEPTED_MAX 2048
#define GYP_LINK_ENTRIES_MAX  1792

/* Largest frame before the hello, in bytes. */
#define GYP_HELLO_MAX 4096

/*
 * Bounds of the redial delay, in ms, before jitter: the wait is 0.5 to 1.5
 * times the delay.
 */
#define GYP_REDIAL_DELAY_MIN_MS 50
#define GYP_REDIAL_DELAY_MAX_MS 300

/*
 * Timeout for opening a connection, in ms. The kernel resends a SYN only after
 * a second, and a VM may be reachable again before that.
 */
#define GYP_DIAL_TIMEOUT_MS 500

/* Timeout for the hello on an accepted connection, in ms. */
#define GYP_HELLO_TIMEOUT_MS 3000

/* Timeout from the first to the last byte of a frame, in ms. */
#define GYP_FRAME_TIMEOUT_MS 30000

/*
 * A dialled connection on which nothing was received, or sent, for
 * GYP_PING_AFTER_MS gets a ping, and is closed if nothing is received in the
 * GYP_PING_TIMEOUT_MS after that. Together they stay below the 3 s after which
 * callers expect answers again. An accepted one from a peer that pings is
 * closed after GYP_ACCEPTED_SILENT_MS: its dialler has turned to another.
 */
#define GYP_PING_AFTER_MS      500
#define GYP_PING_TIMEOUT_MS    1500
#define GYP_ACCEPTED_SILENT_MS 10000

struct gyp_links;
struct gyp_links_owner;

struct gyp_links_owner_ops {
	/* A frame arrived on an accepted connection; id is from its hello. */
	void (*received)(
	    struct gyp_links_owner *, uint64_t id, const Gyp__Frame *);
	/*
	 * A frame arrived on a dialled connection, not necessarily an answer;
	 * address is the dialled one.
	 */
	void (*answered)(
	    struct gyp_links_owner *, const char *address, const Gyp__Frame *);
	/* A hello arrived on an accepted connection. */
	void (*hello_received)(struct gyp_links_owner *, const Gyp__Hello *);
	/* The accepted connection of an entry was closed; may be NULL. */
	void (*entry_closed)(struct gyp_links_owner *, uint64_t id);
	/* A dialled connection was opened or lost. */
	void (*opened)(struct gyp_links_owner *, const char *address);
	void (*lost)(struct gyp_links_owner *, const char *address);
};

struct gyp_links_owner {
	const struct gyp_links_owner_ops *ops;
};

/* Copies the hello and sends it first on each dialled connection. */
struct gyp_links *gyp_links_new(struct ev_loop *, struct gyp_timers *,
    struct gyp_links_owner *, const Gyp__Hello *);
void gyp_links_free(struct gyp_links *);

/* Sets the limit of connections from entries, GYP_LINK_ENTRIES_MAX at first. */
void gyp_links_set_entries_max(struct gyp_links *, guint max);

/* Sets the counters for frames and bytes; NULL for none. */
void gyp_links_set_counters(struct gyp_links *, struct gyp_counters *);

/* Listens on "ip:port". */
enum gyp_status gyp_links_listen(
    struct gyp_links *, const char *address, struct gyp_error *);

/*
 * Queues a frame for an address, which is dialled at its first use. Of the
 * frames sent while the connection is being opened, only the latest is kept and
 * sent once it is open: losing a vote request would cost a whole election
 * timeout. A frame sent while a lost connection waits to be redialled is
 * dropped.
 */
void gyp_links_send(struct gyp_links *, const char *address, GBytes *packed);

/*
 * Queues a frame for the peer whose hello stated id; dropped when it is not
 * connected.
 */
void gyp_links_send_to_id(struct gyp_links *, uint64_t id, GBytes *packed);

#endif
