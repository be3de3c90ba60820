#include "buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Allocates zeroed memory; aborts if out of memory. */
void *xcalloc(size_t n, size_t size)
{
	void *p = calloc(n ? n : 1, size ? size : 1);

	if (!p)
		abort();
	return p;
}

/* Resizes an allocation; aborts if out of memory. */
void *xrealloc(void *p, size_t size)
{
	p = realloc(p, size ? size : 1);
	if (!p)
		abort();
	return p;
}

/* Returns an owned copy of @len bytes at @data. */
struct buf buf_copy(const void *data, size_t len)
{
	struct buf b = { 0 };

	buf_append(&b, data, len);
	return b;
}

/* Returns an owned copy of the string @s. */
struct buf buf_str(const char *s)
{
	return buf_copy(s, strlen(s));
}

/* Returns an owned string formatted as by printf. */
struct buf buf_fmt(const char *fmt, ...)
{
	struct buf b = { 0 };
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&b.data, fmt, ap);
	va_end(ap);
	if (n < 0)
		abort();
	b.len = (size_t)n;
	return b;
}

/* Transfers ownership of the bytes out of @from, which is left empty. */
struct buf buf_take(struct buf *from)
{
	struct buf b = *from;

	*from = (struct buf){ 0 };
	return b;
}

/* Appends @len bytes. The string stays NUL-terminated. */
void buf_append(struct buf *b, const void *data, size_t len)
{
	b->data = xrealloc(b->data, b->len + len + 1);
	if (len)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
}

/* Frees the bytes; @b is empty afterwards. */
void buf_free(struct buf *b)
{
	free(b->data);
	*b = (struct buf){ 0 };
}
