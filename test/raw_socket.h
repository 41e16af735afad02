#ifndef RAW_SOCKET_H
#define RAW_SOCKET_H

#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

/*
 * NAME
 *	raw - blocking sockets in a thread, beside a loop under test
 */

/* Runs the loop until work(arg) has returned in a thread of its own. */
void raw_run_thread(struct ev_loop *, void (*work)(void *), void *arg);

/* A listening socket on loopback; stores its port. */
int raw_listen(uint16_t *port);

int raw_connect(uint16_t port);

/* Sends it all; false when the peer has closed. */
gboolean raw_send(int fd, const void *data, size_t len);

/* Reads to the end of the stream. */
char *raw_read_all(int fd);

/* Reads one HTTP request with its body; false at the end of the stream. */
gboolean raw_read_request(int fd);

/* Connects, sends, closes the sending side when told to, and reads all. */
char *raw_request(
    uint16_t port, const void *data, size_t len, gboolean close_after);

/* A loopback port that was free a moment ago. */
uint16_t raw_free_port(void);

#endif
