#include "mp.h"

#include <string.h>

static int write_buf(void *ctx, const char *data, size_t len)
{
	buf_append(ctx, data, len);
	return 0;
}

/* Initializes @packer, which appends to @out. */
void mp_open(msgpack_packer *packer, struct buf *out)
{
	msgpack_packer_init(packer, out, write_buf);
}

/* Packs a string; NULL is packed as an empty string. */
void mp_pack_text(msgpack_packer *packer, const char *text)
{
	size_t len = text ? strlen(text) : 0;

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text ? text : "", len);
}

/* Reads an unsigned integer; returns false if @object is anything else. */
bool mp_get_u64(const msgpack_object *object, uint64_t *out)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = object->via.u64;
	return true;
}

/* Reads an unsigned integer of at most 32 bits, or returns false. */
bool mp_get_u32(const msgpack_object *object, uint32_t *out)
{
	uint64_t v;

	if (!mp_get_u64(object, &v) || v > UINT32_MAX)
		return false;
	*out = (uint32_t)v;
	return true;
}
