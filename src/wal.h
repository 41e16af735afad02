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
 *	wal - bytes of a segment of the log
 *
 * DESCRIPTION
 *	A segment is a header and records. The header tells the segment's
 *	number, how many bytes of the segment before are valid, and a mark:
 *	up to which byte this one is known to be synced. The mark is written
 *	over after each sync. Each record also carries the synced length at
 *	the time when it was written, so that the mark may lag behind after a
 *	loss of power.
 *
 *	Bytes below the synced length must hold valid records; anything else
 *	there is damage. Past it, the first invalid record ends the segment:
 *	the write of it was under way when the process or the machine stopped.
 *
 *	Records start with a salt of the segment, so that bytes inside a
 *	record's data are not mistaken for a record.
 */

/* Bytes of a segment's header, and of the mark at its end. */
#define GYP_WAL_HEADER_BYTES    48
#define GYP_WAL_SYNC_MARK_BYTES 16
#define GYP_WAL_SYNC_MARK_OFFSET                                               \
	(GYP_WAL_HEADER_BYTES - GYP_WAL_SYNC_MARK_BYTES)

struct gyp_wal_header {
	uint64_t number;          /* of the segment, from 1 */
	uint64_t previous_synced; /* valid bytes of the segment before, or 0 */
	uint32_t salt;
	uint64_t synced; /* bytes */
	bool sealed;     /* a later segment exists */
};

/* Writes GYP_WAL_HEADER_BYTES. */
void gyp_wal_put_header(uint8_t *, const struct gyp_wal_header *);

/* Writes the mark alone, GYP_WAL_SYNC_MARK_BYTES. */
void gyp_wal_put_sync_mark(uint8_t *, const struct gyp_wal_header *);

/* False when the header is too short or fails its checksums. */
bool gyp_wal_get_header(struct gyp_slice, struct gyp_wal_header *);

/* Appends a record. */
void gyp_wal_encode(struct gyp_buf *, const struct gyp_record *, uint32_t salt,
    uint64_t synced);

/* Size of the whole record at the start, or 0; data is a new reference. */
size_t gyp_wal_decode(
    struct gyp_slice, uint32_t salt, struct gyp_record *, uint64_t *synced);

/*
 * Finds where the valid records of a segment end. GYP_CORRUPT, with the
 * offset in the message, when bytes below the synced length are not valid.
 */
enum gyp_status gyp_wal_check(struct gyp_slice file,
    const struct gyp_wal_header *, size_t *end, struct gyp_error *);

/* Big-endian 64-bit integers. */
void gyp_wal_put_u64(uint8_t *, uint64_t);
uint64_t gyp_wal_get_u64(const uint8_t *);

#endif
