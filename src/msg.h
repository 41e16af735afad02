#ifndef GYP_MSG_H
#define GYP_MSG_H

#include <glib.h>

#include "wire.pb-c.h"

/*
 * NAME
 *	msg - ownership helpers for generated messages
 */

/* Maximum frame between processes, in bytes, without its length prefix. */
#define GYP_FRAME_MAX (4 * 1024 * 1024)

/* Deep copy, released by gyp_message_free(). Pass &msg->base. */
void *gyp_message_copy(const ProtobufCMessage *);

/* Releases a copied or unpacked message; NULL is allowed. */
void gyp_message_free(void *);

/* Packs any message; pass &msg->base. */
GBytes *gyp_message_pack(const ProtobufCMessage *);

#endif
