#ifndef GYP_BUF_H
#define GYP_BUF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	buf - slices and growable byte buffers
 *
 * DESCRIPTION
 *	A slice is a view of bytes that it does not own. A buffer owns its
 *	bytes; it is zero-initialised, grown by the append calls and released
 *	by gyp_buf_clear(). The bytes are not NUL-terminated.
 */

struct gyp_slice {
	const uint8_t *data;
	size_t len;
};

struct gyp_buf {
	uint8_t *data;
	size_t len;
	size_t cap;
};

bool gyp_slice_equal(struct gyp_slice, struct gyp_slice);

/* Appends len bytes. */
void gyp_buf_append(struct gyp_buf *, const void *, size_t len);

/* Appends len uninitialised bytes and returns their start. */
uint8_t *gyp_buf_extend(struct gyp_buf *, size_t len);

/* Removes len bytes from the front; len is at most that of the buffer. */
void gyp_buf_consume(struct gyp_buf *, size_t len);

/*
 * Takes len bytes from the front of a buffer of which *used are taken already.
 * Moves the others to the front, and sets *used to 0, only when they are fewer:
 * a buffer that is emptied in many steps is moved in few of them.
 */
void gyp_buf_take(struct gyp_buf *, size_t *used, size_t len);

/* Releases the bytes; the buffer is empty and may be used again. */
void gyp_buf_clear(struct gyp_buf *);

/* Big-endian fixed-width integers. */
void gyp_put_u32(uint8_t *, uint32_t);
uint32_t gyp_get_u32(const uint8_t *);

/* CRC-32 of a slice. */
uint32_t gyp_crc32(struct gyp_slice);

/* First 64 bits of the SHA-256 of a slice, the same in every process. */
uint64_t gyp_hash64(struct gyp_slice);

#endif
