/*
 * Check of msgpack bytes before they are unpacked. msgpack-c allocates the
 * elements of an array or map as soon as it has read their number, which four
 * bytes can make 2^32 - 1.
 */
#include "mpcheck.h"

#include <stdint.h>

/* Byte values of the msgpack specification. */
enum {
	MP_FIXMAP = 0x80,
	MP_FIXARRAY = 0x90,
	MP_FIXSTR = 0xa0,
	MP_NIL = 0xc0,
	MP_UNUSED = 0xc1,
	MP_BIN8 = 0xc4,
	MP_EXT8 = 0xc7,
	MP_FLOAT32 = 0xca,
	MP_UINT8 = 0xcc,
	MP_INT8 = 0xd0,
	MP_FIXEXT1 = 0xd4,
	MP_STR8 = 0xd9,
	MP_ARRAY16 = 0xdc,
	MP_MAP16 = 0xde,
	MP_NEGATIVE = 0xe0
};

/* Layout of an object after its first byte. */
struct layout {
	uint32_t length_bytes; /* of the number that follows, 0: none */
	uint32_t body;	       /* bytes, beside those that the number counts */
	uint32_t number;       /* without length_bytes */
	uint32_t children; /* objects for each unit of the number, 0: bytes */
};

static struct layout layout_of(uint8_t b)
{
	if (b < MP_FIXMAP || b >= MP_NEGATIVE || (b >= MP_NIL && b < MP_BIN8))
		return (struct layout){ 0 };
	if (b < MP_FIXARRAY)
		return (struct layout){ .number = b & 15, .children = 2 };
	if (b < MP_FIXSTR)
		return (struct layout){ .number = b & 15, .children = 1 };
	if (b < MP_NIL)
		return (struct layout){ .number = b & 31 };
	if (b < MP_EXT8)
		return (struct layout){ .length_bytes = 1U << (b - MP_BIN8) };
	if (b < MP_FLOAT32)
		return (struct layout){ .length_bytes = 1U << (b - MP_EXT8),
					.body = 1 };
	if (b < MP_UINT8)
		return (struct layout){ .body = 4U << (b - MP_FLOAT32) };
	if (b < MP_FIXEXT1)
		return (struct layout){ .body = 1U << ((b - MP_UINT8) & 3) };
	if (b < MP_STR8)
		return (struct layout){ .body = 1 + (1U << (b - MP_FIXEXT1)) };
	if (b < MP_ARRAY16)
		return (struct layout){ .length_bytes = 1U << (b - MP_STR8) };
	if (b < MP_MAP16)
		return (struct layout){ .length_bytes = 2U << (b - MP_ARRAY16),
					.children = 1 };
	return (struct layout){ .length_bytes = 2U << (b - MP_MAP16),
				.children = 2 };
}

/*
 * Returns true if @data begins with a whole msgpack object. Each object takes a
 * byte or more, so the objects that are announced and not read yet are never
 * more than the bytes left. Unpacking then takes memory in proportion to @len.
 */
bool mp_check(const char *data, size_t len)
{
	const uint8_t *p = (const uint8_t *)data;
	const uint8_t *end = p + len;
	uint64_t pending = 1;

	while (pending) {
		struct layout l;
		uint64_t number;

		if (pending > (uint64_t)(end - p) || *p == MP_UNUSED)
			return false;
		l = layout_of(*p++);
		number = l.number;
		if (l.length_bytes + (uint64_t)l.body > (uint64_t)(end - p))
			return false;
		for (uint32_t i = 0; i < l.length_bytes; i++)
			number = number << 8 | *p++;
		p += l.body;
		pending--;
		if (l.children)
			pending += number * l.children;
		else if (number > (uint64_t)(end - p))
			return false;
		else
			p += number;
	}
	return true;
}
