#ifndef RAW_SOCKET_H
#define RAW_SOCKET_H

#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

/*
 * NAME
 *	raw_socket - blocking sockets for tests of an event loop
 */

/* Runs work(arg) in a new thread, and the loop here until work returns. */
void raw_run_thread(struct ev_loop *, void (*work)(void *), void *arg);

/* Returns a listening socket on loopback and stores its port. */
int raw_listen(uint16_t *port);

int raw_connect(uint16_t port);

/* Sends all bytes; returns FALSE when the peer has closed the connection. */
gboolean raw_send(int fd, const void *data, size_t len);

/* Reads until the peer closes the connection; free the string with g_free(). */
char *raw_read_all(int fd);

/* Reads one HTTP request with its body; FALSE at the end of the stream. */
gboolean raw_read_request(int fd);

/* Connects, sends, stops sending if shut_down_sending is set, reads all. */
char *raw_request(
    uint16_t port, const void *data, size_t len, gboolean shut_down_sending);

/* Returns a loopback port that was free at the time of the call. */
uint16_t raw_free_port(void);

#endif
