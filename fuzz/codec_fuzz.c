#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "peer/codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Decodes a link record; these have no buffers to release. */
static void decode_record(uint32_t type, const msgpack_object *body)
{
	union {
		struct codec_hello hello;
		struct codec_auth auth;
		struct codec_member member;
		struct peer_info info;
	} record;

	codec_unpack((enum codec_type)type, body, &record);
}

/* An accepted message must be unchanged by encoding and decoding. */
static void decode_message(uint32_t type, const msgpack_object *body)
{
	struct msg *msg = codec_unpack_msg(type, body);
	struct msg *decoded;
	struct buf out = { 0 };
	msgpack_unpacked unpacked;

	if (!msg)
		return;
	if (codec_pack_msg(msg, &out) != type)
		abort();
	msgpack_unpacked_init(&unpacked);
	msgpack_unpack_next(&unpacked, out.data, out.len, NULL);
	decoded = codec_unpack_msg(type, &unpacked.data);
	if (!decoded || decoded->ref != msg->ref ||
	    decoded->body.len != msg->body.len)
		abort();
	msgpack_unpacked_destroy(&unpacked);
	buf_free(&out);
	msg_free(decoded);
	msg_free(msg);
}

/* Fuzzes the peer codec: first byte is the type, the rest the body. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	msgpack_unpacked unpacked;
	uint32_t type;

	if (!size)
		return 0;
	type = 1 + data[0] % (CODEC_TYPE_COUNT + 1);
	data++;
	size--;
	if (frame_check((const char *)data, size) != FRAME_OK)
		return 0;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, size, NULL) ==
	    MSGPACK_UNPACK_SUCCESS) {
		if (type <= CODEC_MEMBER)
			decode_record(type, &unpacked.data);
		else
			decode_message(type, &unpacked.data);
	}
	msgpack_unpacked_destroy(&unpacked);
	return 0;
}
