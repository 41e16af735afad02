#ifndef GYP_WAL_H
#define GYP_WAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "record.h"
#include "status.h"

/*
 * NAME
 *	wal - format of a segment of the write-ahead log
 *
 * DESCRIPTION
 *	A segment is a header followed by records. The header holds the
 *	segment's number, the synced length of the previous segment, and the
 *	sync mark: the length of this segment that is known to be synced. The
 *	mark is overwritten after each sync. Each record also carries the
 *	synced length at the time when it was written, so that the mark may lag
 *	behind after a power failure.
 *
 *	Bytes below the synced length must hold valid records; anything else
 *	there is damage. Past it, the first invalid record ends the segment:
 *	its write was in progress when the process or the machine stopped.
 *
 *	Each record starts with the salt of its segment, so that bytes inside
 *	a record's data are not mistaken for a record.
 */

/* Size of a segment's header, and of the sync mark at its end, in bytes. */
#define GYP_WAL_HEADER_BYTES    48
#define GYP_WAL_SYNC_MARK_BYTES 16
#define GYP_WAL_SYNC_MARK_OFFSET                                               \
	(GYP_WAL_HEADER_BYTES - GYP_WAL_SYNC_MARK_BYTES)

struct gyp_wal_header {
	uint64_t number; /* of this segment, from 1 */
	/* Synced length of the previous segment, in bytes; 0 if none. */
	uint64_t previous_synced;
	uint32_t salt;
	uint64_t synced; /* length known to be synced, in bytes */
	bool sealed;     /* a later segment exists */
};

/* Writes GYP_WAL_HEADER_BYTES. */
void gyp_wal_put_header(uint8_t *, const struct gyp_wal_header *);

/* Writes the sync mark alone, GYP_WAL_SYNC_MARK_BYTES. */
void gyp_wal_put_sync_mark(uint8_t *, const struct gyp_wal_header *);

/* False when the header is too short, or its magic or a checksum is wrong. */
bool gyp_wal_get_header(struct gyp_slice, struct gyp_wal_header *);

/* Appends a record; `synced` is the length synced before it. */
void gyp_wal_encode(struct gyp_buf *, const struct gyp_record *, uint32_t salt,
    uint64_t synced);

/*
 * Decodes the record at the start of the slice. Returns its whole size, or 0
 * when it is invalid; the record's data is a new reference.
 */
size_t gyp_wal_decode(
    struct gyp_slice, uint32_t salt, struct gyp_record *, uint64_t *synced);

/*
 * Finds the end of the valid records of a segment. Returns GYP_CORRUPT, with
 * the offset in the message, when bytes below the synced length are invalid.
 */
enum gyp_status gyp_wal_check(struct gyp_slice file,
    const struct gyp_wal_header *, size_t *end, struct gyp_error *);

/* Big-endian 64-bit integers. */
void gyp_wal_put_u64(uint8_t *, uint64_t);
uint64_t gyp_wal_get_u64(const uint8_t *);

#endif
