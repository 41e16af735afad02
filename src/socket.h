#ifndef GYP_SOCKET_H
#define GYP_SOCKET_H

#include <stdint.h>

#include <glib.h>

#include "status.h"

struct sockaddr_storage;

/*
 * NAME
 *	socket - numeric addresses and TCP sockets
 *
 * DESCRIPTION
 *	All sockets are non-blocking and closed on exec. The kernel detects a
 *	silent peer on a connection within 2 to 3 s, by keepalive probes and by
 *	the timeout for unacknowledged data.
 */

/* Parses "ip:port" or "[ip]:port"; returns FALSE unless both are numeric. */
gboolean gyp_address_parse(
    const char *address, struct sockaddr_storage *, uint32_t *len);

/* Sets the options of a connection; see above. */
void gyp_socket_set_options(int fd);

/*
 * Begins a connection to the address, which is open once the socket is
 * writable. Returns -1 on failure.
 */
int gyp_socket_dial(const struct sockaddr_storage *, uint32_t len);

/* Listens on "ip:port"; *fd is valid on GYP_OK only. */
enum gyp_status gyp_socket_listen(
    const char *address, int *fd, struct gyp_error *);

#endif
