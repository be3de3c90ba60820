/* Helpers for msgpack: packing into a buffer, and reading with type checks. */
#ifndef JAYSPOKE_MP_H
#define JAYSPOKE_MP_H

#include <stdbool.h>
#include <stdint.h>

#include <msgpack.h>

#include "buf.h"

#ifdef __cplusplus
extern "C" {
#endif

void mp_open(msgpack_packer *packer, struct buf *out);
void mp_pack_text(msgpack_packer *packer, const char *text);
bool mp_get_u64(const msgpack_object *object, uint64_t *out);
bool mp_get_u32(const msgpack_object *object, uint32_t *out);

#ifdef __cplusplus
}
#endif

#endif
