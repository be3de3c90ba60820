/* Table-driven encoding of frame bodies: messages and connection records. */
#ifndef JAYSPOKE_CODEC_H
#define JAYSPOKE_CODEC_H

#include "frame.h"
#include "msg.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Frame types on the wire; a number is never reused for another type. */
enum codec_type {
	CODEC_HELLO = 1,
	CODEC_AUTH = 2,
	CODEC_HEARTBEAT = 3,
	CODEC_MEMBER = 4,
	CODEC_JOB = 5,
	CODEC_JOB_REPLY = 6,
	CODEC_CALL = 7,
	CODEC_CALL_REPLY = 8,
	CODEC_PROMISE = 9,
	CODEC_PROMISE_REPLY = 10,
	CODEC_CAT_PULL = 11,
	CODEC_CAT_STATE = 12,
	CODEC_TIMELINE = 13,
	CODEC_TIMELINE_REPLY = 14,
	CODEC_SLOT_DEMAND = 15,
	CODEC_SLOT_GRANT = 16,
	CODEC_TYPE_COUNT
};

/* First record from each end: its identity and its challenge. */
struct codec_hello {
	char id[MSG_NAME_MAX];
	char az[MSG_NAME_MAX];
	char region[MSG_NAME_MAX];
	char addr[MSG_ADDR_MAX]; /* peer listener */
	unsigned char nonce[FRAME_NONCE_LEN];
};

/* Response to the challenge. */
struct codec_auth {
	unsigned char proof[FRAME_KEY_LEN];
};

/* Announces another daemon that the sender is connected to. */
struct codec_member {
	char id[MSG_NAME_MAX];
	char az[MSG_NAME_MAX];
	char addr[MSG_ADDR_MAX];
};

void codec_pack(enum codec_type type, const void *record, struct buf *out);
bool codec_unpack(enum codec_type type, const msgpack_object *body,
		  void *record);
uint32_t codec_pack_msg(const struct msg *msg, struct buf *out);
struct msg *codec_unpack_msg(uint32_t type, const msgpack_object *body);

#ifdef __cplusplus
}
#endif

#endif
