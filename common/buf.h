/* Owned byte strings. */
#ifndef JAYSPOKE_BUF_H
#define JAYSPOKE_BUF_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Heap bytes with a NUL after the last one; data is NULL when empty. */
struct buf {
	char *data;
	size_t len;
};

void *xcalloc(size_t n, size_t size);
void *xrealloc(void *p, size_t size);
struct buf buf_copy(const void *data, size_t len);
struct buf buf_str(const char *s);
struct buf buf_fmt(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
struct buf buf_take(struct buf *from);
void buf_append(struct buf *b, const void *data, size_t len);
void buf_free(struct buf *b);

#ifdef __cplusplus
}
#endif

#endif
