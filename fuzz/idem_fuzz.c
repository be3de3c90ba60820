/*
 * Fuzzes the idempotency key parser and the slot messages, whose input comes
 * from callers and other daemons.
 */
#include <stdlib.h>
#include <string.h>

#include "idem.h"
#include "slot.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void fuzz_key(const uint8_t *data, size_t size)
{
	char *text = malloc(size + 1);
	char formatted[IDEM_KEY_MAX];
	struct idem_key key;

	memcpy(text, data, size);
	text[size] = '\0';
	idem_caller_key_valid(text);
	if (idem_parse(text, &key) &&
	    (!idem_format(formatted, sizeof(formatted), &key) ||
	     strcmp(formatted, text) != 0))
		abort();
	free(text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct slot_demand demand;
	static struct slot_grant grant;
	static char body[SLOT_BODY_MAX];
	size_t len;

	fuzz_key(data, size);
	if (slot_decode_demand((const char *)data, size, &demand)) {
		len = slot_encode_demand(&demand, body, sizeof(body));
		if (!len || !slot_decode_demand(body, len, &demand))
			abort();
	}
	if (slot_decode_grant((const char *)data, size, &grant)) {
		len = slot_encode_grant(&grant, body, sizeof(body));
		if (!len || !slot_decode_grant(body, len, &grant))
			abort();
	}
	return 0;
}
