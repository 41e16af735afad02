#include "msg.h"

GBytes *
gyp_message_pack(const ProtobufCMessage *m)
{
	size_t len = protobuf_c_message_get_packed_size(m);
	uint8_t *bytes = g_malloc(len + 1);

	protobuf_c_message_pack(m, bytes);
	return g_bytes_new_take(bytes, len);
}

void *
gyp_message_copy(const ProtobufCMessage *m)
{
	GBytes *packed = gyp_message_pack(m);
	gsize len;
	const uint8_t *bytes = g_bytes_get_data(packed, &len);
	void *copy = protobuf_c_message_unpack(m->descriptor, NULL, len, bytes);

	g_bytes_unref(packed);
	g_assert(copy != NULL);
	return copy;
}

void
gyp_message_free(void *m)
{
	if (m != NULL)
		protobuf_c_message_free_unpacked(m, NULL);
}
