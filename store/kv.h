/* Encoding of the store's key-value API (Consul). */
#ifndef JAYSPOKE_KV_H
#define JAYSPOKE_KV_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define KV_VALUE_MAX (1U << 20) /* bytes of a decoded value */

struct kv_item {
	char *key;
	struct buf value; /* data is NULL if empty */
	uint64_t index;	  /* modify index */
};

struct kv_list {
	struct kv_item *items; /* in the order of the response */
	uint32_t count;
};

bool kv_parse(struct kv_list *list, const char *json, size_t len,
	      struct err *err);
void kv_free(struct kv_list *list);
bool kv_base64(struct buf *out, const char *text, size_t len);
struct buf kv_path(const char *key);

#ifdef __cplusplus
}
#endif

#endif
