#include "http1.h"

#include <stdint.h>
#include <string.h>
#include <strings.h>

#define HEADERS_MAX 100

/* The request parser of picohttpparser; see phr_chunked_decoder. */
struct phr_header {
	const char *name; /* NULL: continues the value before it */
	size_t name_len;
	const char *value;
	size_t value_len;
};

int phr_parse_request(const char *buf, size_t len, const char **method,
		      size_t *method_len, const char **path, size_t *path_len,
		      int *minor_version, struct phr_header *headers,
		      size_t *num_headers, size_t last_len);

static bool is_text(const char *data, size_t len, const char *text)
{
	return len == strlen(text) && !strncasecmp(data, text, len);
}

/* Returns true if a list separated by commas has @text. */
static bool has_item(const char *data, size_t len, const char *text)
{
	size_t at = 0;

	while (at < len) {
		size_t end = at;
		size_t n;

		while (end < len && data[end] != ',')
			end++;
		for (n = end - at; n && (data[at] == ' ' || data[at] == '\t');
		     n--)
			at++;
		while (n &&
		       (data[at + n - 1] == ' ' || data[at + n - 1] == '\t'))
			n--;
		if (is_text(data + at, n, text))
			return true;
		at = end + 1;
	}
	return false;
}

static bool parse_length(const char *data, size_t len, size_t *out)
{
	size_t n = 0;

	if (!len)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (data[i] < '0' || data[i] > '9' || n > SIZE_MAX / 10 - 1)
			return false;
		n = n * 10 + (size_t)(data[i] - '0');
	}
	*out = n;
	return true;
}

static struct http1_span host_of(const char *data, const char *value,
				 size_t len)
{
	const char *colon = memchr(value, ':', len);

	return (struct http1_span){ .at = (size_t)(value - data),
				    .len = colon ? (size_t)(colon - value)
						 : len };
}

/*
 * Splits the target of a request. Of an absolute URL only the path is used, as
 * the Host header has to name the same host.
 */
static void split_target(const char *data, const char *target, size_t len,
			 struct http1_head *head)
{
	const char *query;

	if (len > 7 && !strncasecmp(target, "http://", 7)) {
		const char *path = memchr(target + 7, '/', len - 7);
		const char *start = path ? path : target + len;

		len -= (size_t)(start - target);
		target = start;
	}
	query = memchr(target, '?', len);
	head->path.at = (size_t)(target - data);
	head->path.len = query ? (size_t)(query - target) : len;
	if (query) {
		head->query.at = head->path.at + head->path.len + 1;
		head->query.len = len - head->path.len - 1;
	}
}

static enum http1_status read_header(const char *data,
				     const struct phr_header *h,
				     struct http1_head *head)
{
	if (!h->name)
		return HTTP1_OK;
	if (is_text(h->name, h->name_len, "host")) {
		/* As in the server of h2o, the last one counts. */
		head->host = host_of(data, h->value, h->value_len);
	} else if (is_text(h->name, h->name_len, "content-length")) {
		if (!parse_length(h->value, h->value_len, &head->body_len))
			return HTTP1_MALFORMED;
	} else if (is_text(h->name, h->name_len, "transfer-encoding")) {
		if (!is_text(h->value, h->value_len, "chunked"))
			return HTTP1_UNSUPPORTED;
		head->chunked = true;
	} else if (is_text(h->name, h->name_len, "connection")) {
		if (has_item(h->value, h->value_len, "close"))
			head->persistent = false;
		else if (has_item(h->value, h->value_len, "keep-alive"))
			head->persistent = true;
	} else if (is_text(h->name, h->name_len, "expect")) {
		head->expects_continue =
			is_text(h->value, h->value_len, "100-continue");
	}
	return HTTP1_OK;
}

/*
 * Parses the head at the start of @data, of which @before bytes were there at
 * the call before, for a head that arrives in parts.
 */
enum http1_status http1_parse(const char *data, size_t len, size_t before,
			      struct http1_head *head)
{
	struct phr_header headers[HEADERS_MAX];
	size_t count = HEADERS_MAX;
	enum http1_status status = HTTP1_OK;
	const char *method;
	const char *target;
	size_t method_len;
	size_t target_len;
	int minor;
	int n = phr_parse_request(data, len, &method, &method_len, &target,
				  &target_len, &minor, headers, &count, before);

	if (n < 0)
		return n == -2 ? HTTP1_PARTIAL : HTTP1_MALFORMED;
	*head = (struct http1_head){ .len = (size_t)n,
				     .persistent = minor >= 1 };
	head->method.at = (size_t)(method - data);
	head->method.len = method_len;
	split_target(data, target, target_len, head);
	for (size_t i = 0; i < count && status == HTTP1_OK; i++)
		status = read_header(data, &headers[i], head);
	head->head_only = is_text(method, method_len, "HEAD");
	if (status == HTTP1_OK && head->chunked)
		head->body_len = 0;
	return status;
}

/*
 * Copies the value of header @name in a parsed head of @len bytes, truncated to
 * @size bytes with NUL. Returns false if it is absent. Bytes that end a part of
 * the head may have been replaced by NUL.
 */
bool http1_header(const char *data, size_t len, const char *name, char *value,
		  size_t size)
{
	size_t name_len = strlen(name);
	const char *end = data + len;
	const char *line = memchr(data, '\n', len);

	while (line && ++line < end) {
		const char *next = memchr(line, '\n', (size_t)(end - line));
		size_t n = (size_t)((next ? next : end) - line);
		const char *from = line + name_len + 1;
		size_t left;

		line = next;
		if (n <= name_len || from[-1] != ':' ||
		    strncasecmp(from - name_len - 1, name, name_len) != 0)
			continue;
		left = n - name_len - 1;
		while (left && (*from == ' ' || *from == '\t')) {
			from++;
			left--;
		}
		while (left && (from[left - 1] == '\r' || !from[left - 1] ||
				from[left - 1] == ' '))
			left--;
		if (left >= size)
			left = size - 1;
		memcpy(value, from, left);
		value[left] = '\0';
		return true;
	}
	return false;
}
