#include "mp.h"

#include <string.h>

static int write_buf(void *ctx, const char *data, size_t len)
{
	buf_append(ctx, data, len);
	return 0;
}

/* Makes @packer append to @out. */
void mp_open(msgpack_packer *packer, struct buf *out)
{
	msgpack_packer_init(packer, out, write_buf);
}

/* Packs a text; NULL counts as empty. */
void mp_pack_text(msgpack_packer *packer, const char *text)
{
	size_t len = text ? strlen(text) : 0;

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text ? text : "", len);
}

/* Reads a number; returns false if @object is none or is negative. */
bool mp_get_u64(const msgpack_object *object, uint64_t *out)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = object->via.u64;
	return true;
}

/* The same, for numbers of 32 bits. */
bool mp_get_u32(const msgpack_object *object, uint32_t *out)
{
	uint64_t v;

	if (!mp_get_u64(object, &v) || v > UINT32_MAX)
		return false;
	*out = (uint32_t)v;
	return true;
}
