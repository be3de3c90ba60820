#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <openssl/hmac.h>

#include "peer/frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Adds a valid header and MAC, so that the decoder reaches the payload. */
static void decode_authentic(const uint8_t *data, size_t size)
{
	struct frame_channel channel = { .max = FRAME_MAX };
	unsigned char mac[FRAME_KEY_LEN];
	unsigned int mac_len = sizeof(mac);
	uint32_t len = (uint32_t)size + FRAME_MAC_LEN;
	char head[4] = { 0, (char)(len >> 16), (char)(len >> 8), (char)len };
	struct buf wire = buf_copy(head, sizeof(head));
	struct frame frame;
	size_t used;

	HMAC(EVP_sha256(), channel.key, FRAME_KEY_LEN, data, size, mac,
	     &mac_len);
	buf_append(&wire, data, size);
	buf_append(&wire, mac, FRAME_MAC_LEN);
	if (frame_decode(&channel, wire.data, wire.len, &used, &frame) ==
	    FRAME_OK)
		frame_release(&frame);
	buf_free(&wire);
}

/* Fuzzes the frame decoder, with and without a valid MAC. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct frame_channel channel = { .max = FRAME_MAX };
	struct frame frame;
	size_t used;

	if (frame_decode(&channel, (const char *)data, size, &used, &frame) ==
	    FRAME_OK)
		frame_release(&frame);
	decode_authentic(data, size);
	return 0;
}
