#include <string.h>

#include <glib.h>
#include <zlib.h>

#include "buf.h"

bool
gyp_slice_equal(struct gyp_slice a, struct gyp_slice b)
{
	return a.len == b.len &&
	       (a.len == 0 || memcmp(a.data, b.data, a.len) == 0);
}

uint8_t *
gyp_buf_extend(struct gyp_buf *buf, size_t len)
{
	uint8_t *start;

	if (buf->len + len > buf->cap) {
		buf->cap = MAX(buf->cap * 2, buf->len + len);
		buf->data = g_realloc(buf->data, buf->cap);
	}
	start = buf->data + buf->len;
	buf->len += len;
	return start;
}

void
gyp_buf_append(struct gyp_buf *buf, const void *data, size_t len)
{
	if (len > 0)
		memcpy(gyp_buf_extend(buf, len), data, len);
}

void
gyp_buf_consume(struct gyp_buf *buf, size_t len)
{
	buf->len -= len;
	if (buf->len > 0 && len > 0)
		memmove(buf->data, buf->data + len, buf->len);
}

void
gyp_buf_take(struct gyp_buf *buf, size_t *used, size_t len)
{
	*used += len;
	if (buf->len - *used >= *used)
		return;
	gyp_buf_consume(buf, *used);
	*used = 0;
}

void
gyp_buf_clear(struct gyp_buf *buf)
{
	g_free(buf->data);
	memset(buf, 0, sizeof(*buf));
}

void
gyp_put_u32(uint8_t *p, uint32_t v)
{
	v = GUINT32_TO_BE(v);
	memcpy(p, &v, sizeof(v));
}

uint32_t
gyp_get_u32(const uint8_t *p)
{
	uint32_t v;

	memcpy(&v, p, sizeof(v));
	return GUINT32_FROM_BE(v);
}

uint32_t
gyp_crc32(struct gyp_slice s)
{
	return (uint32_t)crc32_z(0, s.data, s.len);
}

uint64_t
gyp_hash64(struct gyp_slice s)
{
	uint64_t digest = 0;
	gsize len = 32;
	uint8_t sum[32];
	GChecksum *sha = g_checksum_new(G_CHECKSUM_SHA256);

	g_checksum_update(sha, s.data, (gssize)s.len);
	g_checksum_get_digest(sha, sum, &len);
	g_checksum_free(sha);
	memcpy(&digest, sum, sizeof(digest));
	return GUINT64_FROM_BE(digest);
}
