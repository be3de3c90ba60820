/* Framing between daemons: length, MAC, sequence number, structure checks. */
#ifndef JAYSPOKE_FRAME_H
#define JAYSPOKE_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "buf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FRAME_VERSION 1
#define FRAME_MAX (1U << 20) /* bytes after the length field */
#define FRAME_MAC_LEN 16     /* bytes */
#define FRAME_KEY_LEN 32     /* bytes */
#define FRAME_NONCE_LEN 16   /* bytes */
#define FRAME_DEPTH_MAX 4    /* nested arrays */
#define FRAME_ITEMS_MAX 256  /* msgpack items in a frame */

enum frame_status {
	FRAME_OK,
	FRAME_PARTIAL, /* incomplete, more input is needed */
	FRAME_OVERSIZED,
	FRAME_FORGED, /* wrong MAC */
	FRAME_MALFORMED,
	FRAME_TOO_DEEP,
	FRAME_WRONG_VERSION,
	FRAME_REPLAYED, /* sequence number not above that of the last frame */
	FRAME_STATUS_COUNT
};

/* One direction of a connection. */
struct frame_channel {
	unsigned char key[FRAME_KEY_LEN];
	uint64_t seq; /* of the last frame */
	uint32_t max; /* bytes after the length field */
};

struct frame {
	uint32_t type;
	uint64_t seq;
	msgpack_object body; /* points into the input and into unpacked */
	msgpack_unpacked unpacked;
};

/* Identity of one end in a handshake. */
struct frame_endpoint {
	const char *id;
	const unsigned char *nonce; /* FRAME_NONCE_LEN bytes */
};

void frame_derive(unsigned char out[FRAME_KEY_LEN], const void *secret,
		  size_t secret_len, const char *label,
		  const struct frame_endpoint *dialler,
		  const struct frame_endpoint *acceptor);
bool frame_encode(struct frame_channel *channel, uint32_t type,
		  const struct buf *body, struct buf *out);
enum frame_status frame_decode(struct frame_channel *channel, const char *data,
			       size_t len, size_t *used, struct frame *frame);
void frame_release(struct frame *frame);
enum frame_status frame_check(const char *data, size_t len);
const char *frame_status_name(enum frame_status status);

#ifdef __cplusplus
}
#endif

#endif
