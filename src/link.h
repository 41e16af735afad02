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
 *	link - framed TCP connections between gypsumbend's processes
 *
 * DESCRIPTION
 *	A frame is a 32-bit big-endian length and a packed Gyp__Frame. The
 *	first frame on a connection is the dialler's Gyp__Hello. Connections
 *	to an address are dialled on demand and again after a delay that
 *	doubles up to a limit, with jitter. Queues are bounded in bytes: a
 *	connection whose queue is full is closed, and the protocols above
 *	repeat what was lost once it is open again. So is one that sends
 *	anything but well-formed frames, or a frame too slowly.
 */

/* Most bytes queued on one connection. */
#define GYP_LINK_QUEUE_MAX (16 * 1024 * 1024)

/* Most connections accepted at a time, and largest frame before the hello. */
#define GYP_LINK_ACCEPTED_MAX 256
#define GYP_HELLO_MAX         4096

/* Bounds of the delay before a new dial, in ms. */
#define GYP_REDIAL_DELAY_MIN_MS 50
#define GYP_REDIAL_DELAY_MAX_MS 300

/*
 * Longest time for a connection to be opened, in ms. The kernel repeats an
 * opening packet only after a second, and a VM may be back before.
 */
#define GYP_DIAL_TIMEOUT_MS 500

/* Longest time for a connection to be introduced, in ms. */
#define GYP_HELLO_TIMEOUT_MS 3000

/* Longest time from the first to the last byte of a frame, in ms. */
#define GYP_FRAME_TIMEOUT_MS 30000

struct gyp_links;
struct gyp_links_owner;

struct gyp_links_owner_ops {
	/* A frame of a process that dialled us and called itself id. */
	void (*received)(
	    struct gyp_links_owner *, uint64_t id, const Gyp__Frame *);
	/* A frame on a connection that we dialled. */
	void (*answered)(
	    struct gyp_links_owner *, const char *address, const Gyp__Frame *);
	/* A process introduced itself. */
	void (*hello_received)(struct gyp_links_owner *, const Gyp__Hello *);
	/* A dialled connection was opened or lost. */
	void (*opened)(struct gyp_links_owner *, const char *address);
	void (*lost)(struct gyp_links_owner *, const char *address);
};

struct gyp_links_owner {
	const struct gyp_links_owner_ops *ops;
};

/* The hello is copied and sent first on each dialled connection. */
struct gyp_links *gyp_links_new(struct ev_loop *, struct gyp_timers *,
    struct gyp_links_owner *, const Gyp__Hello *);
void gyp_links_free(struct gyp_links *);

/* Counts frames and bytes there from now on; NULL for nowhere. */
void gyp_links_set_counters(struct gyp_links *, struct gyp_counters *);

/* Listens on "ip:port". */
enum gyp_status gyp_links_listen(
    struct gyp_links *, const char *address, struct gyp_error *);

/*
 * Queues a frame for an address, dialling it when need be. Of the frames that
 * are given while the connection is being opened the latest is sent then: a
 * request for a vote that is lost costs a whole election timeout.
 */
void gyp_links_send(struct gyp_links *, const char *address, GBytes *packed);

/* Queues a frame for a process that dialled us; dropped when it is gone. */
void gyp_links_send_to_id(struct gyp_links *, uint64_t id, GBytes *packed);

/* Splits "ip:port" or "[ip]:port"; false unless it is numeric. */
struct sockaddr_storage;
gboolean gyp_address_parse(
    const char *address, struct sockaddr_storage *, uint32_t *len);

#endif
