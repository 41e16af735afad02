#include <string.h>

#include "wal.h"

/* First bytes of each segment. */
static const char magic[8] = {'g', 'y', 'p', 'l', 'o', 'g', '1', '\n'};

/* Prefix of a record: salt, checksum, length of the body, synced length. */
#define PREFIX_BYTES 20

/* Fixed part of a record's body: type, kind, term, vote, index. */
#define FIXED_BYTES 32

void
gyp_wal_put_u64(uint8_t *p, uint64_t v)
{
	gyp_put_u32(p, (uint32_t)(v >> 32));
	gyp_put_u32(p + 4, (uint32_t)v);
}

uint64_t
gyp_wal_get_u64(const uint8_t *p)
{
	return ((uint64_t)gyp_get_u32(p) << 32) | gyp_get_u32(p + 4);
}

static uint32_t
checksum(const uint8_t *data, size_t len)
{
	struct gyp_slice s = {data, len};

	return gyp_crc32(s);
}

/* ---- Header ------------------------------------------------------------- */

void
gyp_wal_put_sync_mark(uint8_t *p, const struct gyp_wal_header *h)
{
	gyp_wal_put_u64(p, h->synced);
	gyp_put_u32(p + 8, h->sealed);
	gyp_put_u32(p + 12, checksum(p, 12));
}

void
gyp_wal_put_header(uint8_t *p, const struct gyp_wal_header *h)
{
	memcpy(p, magic, sizeof(magic));
	gyp_wal_put_u64(p + 8, h->number);
	gyp_wal_put_u64(p + 16, h->previous_synced);
	gyp_put_u32(p + 24, h->salt);
	gyp_put_u32(p + 28, checksum(p, 28));
	gyp_wal_put_sync_mark(p + GYP_WAL_SYNC_MARK_OFFSET, h);
}

bool
gyp_wal_get_header(struct gyp_slice s, struct gyp_wal_header *h)
{
	const uint8_t *p = s.data, *mark;

	if (s.len < GYP_WAL_HEADER_BYTES ||
	    memcmp(p, magic, sizeof(magic)) != 0)
		return false;
	mark = p + GYP_WAL_SYNC_MARK_OFFSET;
	if (checksum(p, 28) != gyp_get_u32(p + 28) ||
	    checksum(mark, 12) != gyp_get_u32(mark + 12))
		return false;
	h->number = gyp_wal_get_u64(p + 8);
	h->previous_synced = gyp_wal_get_u64(p + 16);
	h->salt = gyp_get_u32(p + 24);
	h->synced = gyp_wal_get_u64(mark);
	h->sealed = gyp_get_u32(mark + 8) != 0;
	return true;
}

/* ---- Records ------------------------------------------------------------ */

void
gyp_wal_encode(struct gyp_buf *buf, const struct gyp_record *rec, uint32_t salt,
    uint64_t synced)
{
	gsize len = 0;
	const void *data =
	    rec->data != NULL ? g_bytes_get_data(rec->data, &len) : NULL;
	size_t start = buf->len;
	uint8_t *p = gyp_buf_extend(buf, PREFIX_BYTES + FIXED_BYTES);

	gyp_put_u32(p, salt);
	gyp_put_u32(p + 8, (uint32_t)(FIXED_BYTES + len));
	gyp_wal_put_u64(p + 12, synced);
	gyp_put_u32(p + 20, rec->type);
	gyp_put_u32(p + 24, rec->kind);
	gyp_wal_put_u64(p + 28, rec->term);
	gyp_wal_put_u64(p + 36, rec->vote);
	gyp_wal_put_u64(p + 44, rec->index);
	gyp_buf_append(buf, data, len);
	p = buf->data + start;
	gyp_put_u32(p + 4, checksum(p + 8, buf->len - start - 8));
}

/* Returns the size of the record at the start of s, or 0 if it is invalid. */
static size_t
check_record(struct gyp_slice s, uint32_t salt, uint64_t *synced)
{
	const uint8_t *p = s.data;
	size_t body;

	if (s.len < PREFIX_BYTES + FIXED_BYTES || gyp_get_u32(p) != salt)
		return 0;
	body = gyp_get_u32(p + 8);
	if (body < FIXED_BYTES || body > s.len - PREFIX_BYTES ||
	    checksum(p + 8, PREFIX_BYTES - 8 + body) != gyp_get_u32(p + 4))
		return 0;
	*synced = gyp_wal_get_u64(p + 12);
	return PREFIX_BYTES + body;
}

size_t
gyp_wal_decode(
    struct gyp_slice s, uint32_t salt, struct gyp_record *rec, uint64_t *synced)
{
	const uint8_t *p = s.data;
	size_t len = check_record(s, salt, synced);

	if (len == 0)
		return 0;
	rec->type = gyp_get_u32(p + 20);
	rec->kind = gyp_get_u32(p + 24);
	rec->term = gyp_wal_get_u64(p + 28);
	rec->vote = gyp_wal_get_u64(p + 36);
	rec->index = gyp_wal_get_u64(p + 44);
	rec->data = g_bytes_new(
	    p + PREFIX_BYTES + FIXED_BYTES, len - PREFIX_BYTES - FIXED_BYTES);
	return len;
}

/* ---- Segments ----------------------------------------------------------- */

static struct gyp_slice
slice_from(struct gyp_slice s, size_t at)
{
	struct gyp_slice rest = {s.data + at, s.len - at};

	return rest;
}

/* Returns the highest synced length in any valid record at or after `at`. */
static uint64_t
highest_recorded_sync(struct gyp_slice file, uint32_t salt, size_t at)
{
	uint64_t synced, highest = 0;

	for (; at + PREFIX_BYTES <= file.len; at++) {
		if (check_record(slice_from(file, at), salt, &synced) > 0)
			highest = MAX(highest, synced);
	}
	return highest;
}

enum gyp_status
gyp_wal_check(struct gyp_slice file, const struct gyp_wal_header *h,
    size_t *end, struct gyp_error *err)
{
	uint64_t required = h->synced;
	size_t at = GYP_WAL_HEADER_BYTES, n;
	uint64_t synced;

	while ((n = check_record(slice_from(file, at), h->salt, &synced)) > 0) {
		required = MAX(required, synced);
		at += n;
	}
	*end = at;
	required = MAX(required, highest_recorded_sync(file, h->salt, at));
	if (at >= required)
		return GYP_OK;
	if (file.len < required && at == file.len)
		return gyp_fail(err, GYP_CORRUPT,
		    "ends at byte %zu, was synced up to %" G_GUINT64_FORMAT, at,
		    required);
	return gyp_fail(err, GYP_CORRUPT,
	    "bad record at byte %zu, was synced up to %" G_GUINT64_FORMAT, at,
	    required);
}
