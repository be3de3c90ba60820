#include "codec.h"

#include <stddef.h>
#include <string.h>

enum field_type {
	FIELD_TEXT,  /* char array of size */
	FIELD_BYTES, /* byte array of exactly size */
	FIELD_U32,
	FIELD_U64,
	FIELD_BOOL,
	FIELD_ENUM, /* int, below size */
	FIELD_BUF   /* struct buf */
};

struct field {
	enum field_type type;
	size_t offset;
	size_t size;
};

/* Fields of a frame body, in their order on the wire. */
struct layout {
	enum msg_kind kind; /* valid if is_msg */
	bool is_msg;
	uint32_t count;
	const struct field *fields;
};

#define FIELD(record, member, kind)                           \
	{                                                     \
		.type = FIELD_##kind,                         \
		.offset = offsetof(struct record, member),    \
		.size = sizeof(((struct record *)0)->member), \
	}
#define ENUM_FIELD(record, member, limit)                                      \
	{                                                                      \
		.type = FIELD_ENUM, .offset = offsetof(struct record, member), \
		.size = (limit),                                               \
	}
#define MSG_REF FIELD(msg, ref, U32)
#define MSG_BODY FIELD(msg, body, BUF)

#define HTTP_STATUS_LIMIT 1000

static const struct field hello_fields[] = {
	FIELD(codec_hello, id, TEXT),	  FIELD(codec_hello, az, TEXT),
	FIELD(codec_hello, region, TEXT), FIELD(codec_hello, addr, TEXT),
	FIELD(codec_hello, nonce, BYTES),
};

static const struct field auth_fields[] = {
	FIELD(codec_auth, proof, BYTES),
};

/*
 * Omits the id, zone and region of the sender, which its hello has announced.
 * They would triple the size of a heartbeat, and traffic between regions is
 * billed by volume.
 */
static const struct field heartbeat_fields[] = {
	FIELD(peer_info, holder, BOOL),	     FIELD(peer_info, draining, BOOL),
	FIELD(peer_info, epoch, U64),	     FIELD(peer_info, window, U32),
	FIELD(peer_info, cat_revision, U64), FIELD(peer_info, free_milli, U32),
	FIELD(peer_info, inflight, U32),
};

static const struct field member_fields[] = {
	FIELD(codec_member, id, TEXT),
	FIELD(codec_member, az, TEXT),
	FIELD(codec_member, addr, TEXT),
};

static const struct field job_fields[] = {
	MSG_REF,
	ENUM_FIELD(msg, job.op, JOB_CANCEL + 1),
	FIELD(msg, job.az, TEXT),
	FIELD(msg, job.id, TEXT),
	FIELD(msg, job.key, TEXT),
	MSG_BODY,
};

static const struct field job_reply_fields[] = {
	MSG_REF,
	ENUM_FIELD(msg, job_reply.err.kind, ERR_KIND_COUNT),
	FIELD(msg, job_reply.err.text, TEXT),
	ENUM_FIELD(msg, job_reply.outcome, OUTCOME_COUNT),
	MSG_BODY,
};

static const struct field call_fields[] = {
	MSG_REF,
	FIELD(msg, call.entry, TEXT),
	FIELD(msg, call.key, TEXT),
	FIELD(msg, call.az, TEXT),
	FIELD(msg, call.deadline_ms, U32),
	FIELD(msg, call.to_holder, BOOL),
	MSG_BODY,
};

static const struct field call_reply_fields[] = {
	MSG_REF,
	ENUM_FIELD(msg, call_reply.err.kind, ERR_KIND_COUNT),
	FIELD(msg, call_reply.err.text, TEXT),
	ENUM_FIELD(msg, call_reply.outcome, OUTCOME_COUNT),
	ENUM_FIELD(msg, call_reply.http_status, HTTP_STATUS_LIMIT),
	FIELD(msg, call_reply.minion, TEXT),
	FIELD(msg, call_reply.content_type, TEXT),
	MSG_BODY,
};

static const struct field promise_fields[] = {
	MSG_REF,
	FIELD(msg, promise.epoch, U64),
	FIELD(msg, promise.term_ms, U32),
	FIELD(msg, promise.renounce, BOOL),
	FIELD(msg, promise.granted, BOOL),
	FIELD(msg, promise.store_reachable, BOOL),
};

static const struct field cat_fields[] = {
	MSG_REF,
	FIELD(msg, cat.revision, U64),
	MSG_BODY,
};

static const struct field peer_body_fields[] = {
	MSG_REF,
	FIELD(msg, peer.since, U64),
	FIELD(msg, peer.answered, BOOL),
	MSG_BODY,
};

#define LAYOUT(name) .fields = (name), .count = sizeof(name) / sizeof(*(name))
#define MSG_LAYOUT(msg_kind, name)                               \
	{                                                        \
		.kind = (msg_kind), .is_msg = true, LAYOUT(name) \
	}

static const struct layout layouts[CODEC_TYPE_COUNT] = {
	[CODEC_HELLO] = { LAYOUT(hello_fields) },
	[CODEC_AUTH] = { LAYOUT(auth_fields) },
	[CODEC_HEARTBEAT] = { LAYOUT(heartbeat_fields) },
	[CODEC_MEMBER] = { LAYOUT(member_fields) },
	[CODEC_JOB] = MSG_LAYOUT(MSG_JOB, job_fields),
	[CODEC_JOB_REPLY] = MSG_LAYOUT(MSG_JOB_REPLY, job_reply_fields),
	[CODEC_CALL] = MSG_LAYOUT(MSG_CALL, call_fields),
	[CODEC_CALL_REPLY] = MSG_LAYOUT(MSG_CALL_REPLY, call_reply_fields),
	[CODEC_PROMISE] = MSG_LAYOUT(MSG_PROMISE, promise_fields),
	[CODEC_PROMISE_REPLY] = MSG_LAYOUT(MSG_PROMISE_REPLY, promise_fields),
	[CODEC_CAT_PULL] = MSG_LAYOUT(MSG_CAT_PULL, cat_fields),
	[CODEC_CAT_STATE] = MSG_LAYOUT(MSG_CAT_STATE, cat_fields),
	[CODEC_TIMELINE] = MSG_LAYOUT(MSG_TIMELINE, peer_body_fields),
	[CODEC_TIMELINE_REPLY] =
		MSG_LAYOUT(MSG_TIMELINE_REPLY, peer_body_fields),
	[CODEC_SLOT_DEMAND] = MSG_LAYOUT(MSG_SLOT_DEMAND, peer_body_fields),
	[CODEC_SLOT_GRANT] = MSG_LAYOUT(MSG_SLOT_GRANT, peer_body_fields),
};

static int write_buf(void *ctx, const char *data, size_t len)
{
	buf_append(ctx, data, len);
	return 0;
}

static bool is_control(char c)
{
	return (unsigned char)c < ' ' || c == 127;
}

/*
 * Replaces control characters by blanks, because unpack_text() rejects them.
 * They occur in error texts that quote input of a client.
 */
static void pack_text(msgpack_packer *packer, const char *src, size_t size)
{
	char text[ERR_TEXT_MAX];
	size_t len = strnlen(src, size < sizeof(text) ? size : sizeof(text));

	for (size_t i = 0; i < len; i++)
		text[i] = is_control(src[i]) ? ' ' : src[i];
	msgpack_pack_str_with_body(packer, text, len);
}

static void pack_field(msgpack_packer *packer, const struct field *f,
		       const char *src)
{
	const struct buf *body;

	switch (f->type) {
	case FIELD_TEXT:
		pack_text(packer, src, f->size);
		break;
	case FIELD_BYTES:
		msgpack_pack_bin_with_body(packer, src, f->size);
		break;
	case FIELD_U32:
		msgpack_pack_uint32(packer, *(const uint32_t *)src);
		break;
	case FIELD_U64:
		msgpack_pack_uint64(packer, *(const uint64_t *)src);
		break;
	case FIELD_BOOL:
		if (*(const bool *)src)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	case FIELD_ENUM:
		msgpack_pack_uint32(packer, *(const uint32_t *)src);
		break;
	case FIELD_BUF:
		body = (const struct buf *)src;
		msgpack_pack_bin(packer, body->len);
		if (body->len)
			msgpack_pack_bin_body(packer, body->data, body->len);
		break;
	}
}

static bool unpack_text(const struct field *f, const msgpack_object *o,
			char *dst)
{
	uint32_t len = o->via.str.size;

	if (o->type != MSGPACK_OBJECT_STR || len >= f->size)
		return false;
	for (uint32_t i = 0; i < len; i++) {
		if (is_control(o->via.str.ptr[i]))
			return false;
	}
	if (len)
		memcpy(dst, o->via.str.ptr, len);
	dst[len] = '\0';
	return true;
}

static bool unpack_number(const struct field *f, const msgpack_object *o,
			  char *dst)
{
	uint64_t v = o->via.u64;

	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	if (f->type == FIELD_U64) {
		*(uint64_t *)dst = v;
		return true;
	}
	if (v > UINT32_MAX || (f->type == FIELD_ENUM && v >= f->size))
		return false;
	*(uint32_t *)dst = (uint32_t)v;
	return true;
}

static bool unpack_bytes(const struct field *f, const msgpack_object *o,
			 char *dst)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return false;
	if (f->type == FIELD_BUF) {
		if (o->via.bin.size)
			*(struct buf *)dst =
				buf_copy(o->via.bin.ptr, o->via.bin.size);
		return true;
	}
	if (o->via.bin.size != f->size)
		return false;
	memcpy(dst, o->via.bin.ptr, f->size);
	return true;
}

static bool unpack_field(const struct field *f, const msgpack_object *o,
			 char *dst)
{
	switch (f->type) {
	case FIELD_TEXT:
		return unpack_text(f, o, dst);
	case FIELD_BYTES:
	case FIELD_BUF:
		return unpack_bytes(f, o, dst);
	case FIELD_U32:
	case FIELD_U64:
	case FIELD_ENUM:
		return unpack_number(f, o, dst);
	case FIELD_BOOL:
		if (o->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)dst = o->via.boolean;
		return true;
	}
	return false;
}

/* Appends @record, encoded as the body of a frame of @type, to @out. */
void codec_pack(enum codec_type type, const void *record, struct buf *out)
{
	const struct layout *layout = &layouts[type];
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, write_buf);
	msgpack_pack_array(&packer, layout->count);
	for (uint32_t i = 0; i < layout->count; i++)
		pack_field(&packer, &layout->fields[i],
			   (const char *)record + layout->fields[i].offset);
}

/*
 * Decodes the body of a frame of @type into @record. Returns false when a field
 * is missing, surplus, or has a wrong type, size or range; a buffer that was
 * allocated before the error stays in @record.
 */
bool codec_unpack(enum codec_type type, const msgpack_object *body,
		  void *record)
{
	const struct layout *layout = &layouts[type];

	if (body->type != MSGPACK_OBJECT_ARRAY ||
	    body->via.array.size != layout->count)
		return false;
	for (uint32_t i = 0; i < layout->count; i++) {
		const struct field *f = &layout->fields[i];

		if (!unpack_field(f, &body->via.array.ptr[i],
				  (char *)record + f->offset))
			return false;
	}
	return true;
}

/*
 * Appends @msg and its reference, encoded as a frame body, to @out. Returns the
 * frame type, or 0 if messages of this kind are not sent to other daemons.
 */
uint32_t codec_pack_msg(const struct msg *msg, struct buf *out)
{
	for (uint32_t type = 1; type < CODEC_TYPE_COUNT; type++) {
		if (!layouts[type].is_msg || layouts[type].kind != msg->kind)
			continue;
		codec_pack((enum codec_type)type, msg, out);
		return type;
	}
	return 0;
}

/*
 * Decodes a frame body into a new message. Returns NULL if the type is unknown
 * or carries no message, or if the body is malformed.
 */
struct msg *codec_unpack_msg(uint32_t type, const msgpack_object *body)
{
	struct msg *msg;

	if (type >= CODEC_TYPE_COUNT || !layouts[type].is_msg)
		return NULL;
	msg = msg_new(layouts[type].kind, TASK_PEER, 0);
	if (codec_unpack((enum codec_type)type, body, msg))
		return msg;
	msg_free(msg);
	return NULL;
}
