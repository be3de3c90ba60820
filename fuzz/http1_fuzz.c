/*
 * Fuzzes the heads of requests. A head that arrives in parts must give the same
 * result as one that arrives at once, and no part may lie outside of it.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "http1.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_span(struct http1_span span, size_t len)
{
	if (span.at > len || span.len > len - span.at)
		abort();
}

static void check_head(const char *text, const struct http1_head *head)
{
	char value[32];

	check_span(head->method, head->len);
	check_span(head->host, head->len);
	check_span(head->path, head->len);
	check_span(head->query, head->len);
	if (http1_header(text, head->len, "host", value, sizeof(value)) &&
	    strlen(value) >= sizeof(value))
		abort();
	http1_header(text, head->len, "", value, sizeof(value));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = malloc(size + 1);
	struct http1_head head = { 0 };
	struct http1_head part = { 0 };
	enum http1_status whole;
	enum http1_status status = HTTP1_PARTIAL;
	size_t before = 0;

	memcpy(text, data, size);
	text[size] = '\0';
	whole = http1_parse(text, size, 0, &head);
	if (whole == HTTP1_OK && head.len > size)
		abort();
	if (whole == HTTP1_OK)
		check_head(text, &head);
	for (size_t len = 1; len <= size && status == HTTP1_PARTIAL; len++) {
		status = http1_parse(text, len, before, &part);
		before = len;
	}
	if (whole == HTTP1_OK && (status != HTTP1_OK || part.len != head.len))
		abort();
	free(text);
	return 0;
}
