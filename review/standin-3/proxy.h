#ifndef PROXY_H
#define PROXY_H

/*
 * NAME
 *	proxy - forwards channels between machines, and lets open ones go silent
 *
 * DESCRIPTION
 *	An open channel that goes silent delivers nothing more in either
 *	direction and is not reset. Channels that are opened later work.
 */

/* Forwards each channel that is opened to `from` ("ip:port") to `to`. */
void proxy_start(const char *from, const char *to);

/* Lets all channels that are open now go silent for good; returns how many. */
int proxy_silence(void);

#endif
