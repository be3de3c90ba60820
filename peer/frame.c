#include "frame.h"

#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#define FRAME_HEAD_LEN 4
#define DERIVE_INPUT_MAX 512

static const char *const status_names[FRAME_STATUS_COUNT] = {
	[FRAME_OK] = "ok",
	[FRAME_PARTIAL] = "partial",
	[FRAME_OVERSIZED] = "oversized",
	[FRAME_FORGED] = "forged",
	[FRAME_MALFORMED] = "malformed",
	[FRAME_TOO_DEEP] = "too-deep",
	[FRAME_WRONG_VERSION] = "wrong-version",
	[FRAME_REPLAYED] = "replayed",
};

/* Returns the name of @status in log lines. */
const char *frame_status_name(enum frame_status status)
{
	return status_names[status];
}

/*
 * Appends @data to the key derivation input, truncated to the space left.
 * Returns the new length of the input.
 */
static size_t append_input(unsigned char *input, size_t at, const void *data,
			   size_t len)
{
	if (len > DERIVE_INPUT_MAX - at)
		len = DERIVE_INPUT_MAX - at;
	memcpy(input + at, data, len);
	return at + len;
}

/*
 * Derives a key or proof from the shared secret: HMAC-SHA256 over the purpose
 * @label and the id and nonce of both ends, which may be NULL. Each string is
 * terminated by NUL so that different inputs cannot be equal when concatenated.
 */
void frame_derive(unsigned char out[FRAME_KEY_LEN], const void *secret,
		  size_t secret_len, const char *label,
		  const struct frame_endpoint *dialler,
		  const struct frame_endpoint *acceptor)
{
	const struct frame_endpoint *ends[] = { dialler, acceptor };
	unsigned char input[DERIVE_INPUT_MAX];
	size_t at = append_input(input, 0, label, strlen(label) + 1);
	unsigned int len = FRAME_KEY_LEN;

	for (int i = 0; i < 2; i++) {
		if (!ends[i])
			continue;
		at = append_input(input, at, ends[i]->id,
				  strlen(ends[i]->id) + 1);
		at = append_input(input, at, ends[i]->nonce, FRAME_NONCE_LEN);
	}
	HMAC(EVP_sha256(), secret, (int)secret_len, input, at, out, &len);
}

static void frame_mac(const struct frame_channel *channel, const void *data,
		      size_t len, unsigned char mac[FRAME_KEY_LEN])
{
	unsigned int mac_len = FRAME_KEY_LEN;

	HMAC(EVP_sha256(), channel->key, FRAME_KEY_LEN, data, len, mac,
	     &mac_len);
}

static int write_buf(void *ctx, const char *data, size_t len)
{
	buf_append(ctx, data, len);
	return 0;
}

static void put_be32(char *p, uint32_t v)
{
	p[0] = (char)(v >> 24);
	p[1] = (char)(v >> 16);
	p[2] = (char)(v >> 8);
	p[3] = (char)v;
}

static uint64_t get_be(const unsigned char *p, size_t n)
{
	uint64_t v = 0;

	for (size_t i = 0; i < n; i++)
		v = v << 8 | p[i];
	return v;
}

/*
 * Appends a frame with the next sequence number to @out. @body holds one
 * msgpack object. Returns false, without any effect, when the frame would
 * exceed FRAME_MAX, the limit of the other end.
 */
bool frame_encode(struct frame_channel *channel, uint32_t type,
		  const struct buf *body, struct buf *out)
{
	unsigned char mac[FRAME_KEY_LEN];
	struct buf payload = { 0 };
	char head[FRAME_HEAD_LEN];
	msgpack_packer packer;

	msgpack_packer_init(&packer, &payload, write_buf);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_uint32(&packer, FRAME_VERSION);
	msgpack_pack_uint32(&packer, type);
	msgpack_pack_uint64(&packer, channel->seq + 1);
	if (payload.len + body->len + FRAME_MAC_LEN > FRAME_MAX) {
		buf_free(&payload);
		return false;
	}
	buf_append(&payload, body->data, body->len);
	channel->seq++;
	frame_mac(channel, payload.data, payload.len, mac);
	put_be32(head, (uint32_t)payload.len + FRAME_MAC_LEN);
	buf_append(out, head, sizeof(head));
	buf_append(out, payload.data, payload.len);
	buf_append(out, mac, FRAME_MAC_LEN);
	buf_free(&payload);
	return true;
}

/* Encoded size of a msgpack item without its children, and their number. */
struct item {
	uint64_t size;
	uint64_t children;
};

/* Reads an item whose length field of @width bytes counts bytes or children. */
static bool read_sized_item(const unsigned char *p, size_t len, size_t width,
			    bool bytes, struct item *item)
{
	uint64_t n;

	if (len < 1 + width)
		return false;
	n = get_be(p + 1, width);
	item->size = 1 + width + (bytes ? n : 0);
	item->children = bytes ? 0 : n;
	return true;
}

/* Reads the header of the item at @p; rejects types that no message uses. */
static bool read_item(const unsigned char *p, size_t len, struct item *item)
{
	unsigned char c;

	*item = (struct item){ .size = 1 };
	if (!len)
		return false;
	c = p[0];
	if (c <= 0x7f || c == 0xc2 || c == 0xc3) /* fixint, boolean */
		return true;
	if (c >= 0x90 && c <= 0x9f) { /* fixarray */
		item->children = c & 0x0f;
		return true;
	}
	if (c >= 0xa0 && c <= 0xbf) { /* fixstr */
		item->size = 1 + (c & 0x1f);
		return true;
	}
	if (c >= 0xc4 && c <= 0xc6) /* bin */
		return read_sized_item(p, len, (size_t)1 << (c - 0xc4), true,
				       item);
	if (c >= 0xcc && c <= 0xcf) { /* uint */
		item->size = 1 + ((size_t)1 << (c - 0xcc));
		return true;
	}
	if (c >= 0xd9 && c <= 0xdb) /* str */
		return read_sized_item(p, len, (size_t)1 << (c - 0xd9), true,
				       item);
	if (c == 0xdc || c == 0xdd) /* array */
		return read_sized_item(p, len, c == 0xdc ? 2 : 4, false, item);
	return false;
}

/*
 * Checks that @data is exactly one msgpack object within FRAME_DEPTH_MAX and
 * FRAME_ITEMS_MAX. Must run before the msgpack library decodes @data, because
 * the library allocates arrays by the length in their header.
 */
enum frame_status frame_check(const char *data, size_t len)
{
	const unsigned char *p = (const unsigned char *)data;
	uint64_t left[FRAME_DEPTH_MAX + 1] = { 1 };
	uint64_t items = 0;
	size_t at = 0;
	int depth = 0;

	while (depth >= 0) {
		struct item item;

		if (!left[depth]) {
			depth--;
			continue;
		}
		left[depth]--;
		if (!read_item(p + at, len - at, &item) || item.size > len - at)
			return FRAME_MALFORMED;
		at += item.size;
		items += item.children;
		if (items > FRAME_ITEMS_MAX)
			return FRAME_MALFORMED;
		if (!item.children)
			continue;
		if (depth == FRAME_DEPTH_MAX)
			return FRAME_TOO_DEEP;
		depth++;
		left[depth] = item.children;
	}
	return at == len ? FRAME_OK : FRAME_MALFORMED;
}

static bool is_uint(const msgpack_object *o)
{
	return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static enum frame_status frame_unpack(struct frame_channel *channel,
				      const char *data, size_t len,
				      struct frame *frame)
{
	enum frame_status status = frame_check(data, len);
	const msgpack_object *root = &frame->unpacked.data;
	const msgpack_object *items;

	if (status != FRAME_OK)
		return status;
	msgpack_unpacked_init(&frame->unpacked);
	if (msgpack_unpack_next(&frame->unpacked, data, len, NULL) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 1 ||
	    !is_uint(&root->via.array.ptr[0]))
		return FRAME_MALFORMED;
	items = root->via.array.ptr;
	if (items[0].via.u64 != FRAME_VERSION)
		return FRAME_WRONG_VERSION;
	if (root->via.array.size != 4 || !is_uint(&items[1]) ||
	    !is_uint(&items[2]) || items[1].via.u64 > UINT32_MAX)
		return FRAME_MALFORMED;
	if (items[2].via.u64 <= channel->seq)
		return FRAME_REPLAYED;
	channel->seq = items[2].via.u64;
	frame->type = (uint32_t)items[1].via.u64;
	frame->seq = channel->seq;
	frame->body = items[3];
	return FRAME_OK;
}

/*
 * Decodes the frame at the start of @data. On FRAME_OK, @used is its length in
 * bytes, and @frame refers to @data until frame_release(). After FRAME_PARTIAL
 * the caller retries with more input; any other status is fatal to the
 * connection.
 */
enum frame_status frame_decode(struct frame_channel *channel, const char *data,
			       size_t len, size_t *used, struct frame *frame)
{
	unsigned char mac[FRAME_KEY_LEN];
	enum frame_status status;
	uint64_t size;

	*frame = (struct frame){ 0 };
	if (len < FRAME_HEAD_LEN)
		return FRAME_PARTIAL;
	size = get_be((const unsigned char *)data, FRAME_HEAD_LEN);
	if (size > channel->max)
		return FRAME_OVERSIZED;
	if (size <= FRAME_MAC_LEN)
		return FRAME_MALFORMED;
	if (len - FRAME_HEAD_LEN < size)
		return FRAME_PARTIAL;
	data += FRAME_HEAD_LEN;
	frame_mac(channel, data, size - FRAME_MAC_LEN, mac);
	if (CRYPTO_memcmp(mac, data + size - FRAME_MAC_LEN, FRAME_MAC_LEN) != 0)
		return FRAME_FORGED;
	status = frame_unpack(channel, data, size - FRAME_MAC_LEN, frame);
	if (status == FRAME_OK)
		*used = FRAME_HEAD_LEN + size;
	else
		frame_release(frame);
	return status;
}

/* Frees what frame_decode() allocated; @frame may be zeroed. */
void frame_release(struct frame *frame)
{
	msgpack_unpacked_destroy(&frame->unpacked);
}
