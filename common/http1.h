/* Heads of HTTP/1 requests, and chunked bodies. */
#ifndef JAYSPOKE_HTTP1_H
#define JAYSPOKE_HTTP1_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/* A part of a head, as an offset, since the buffer of the head may move. */
struct http1_span {
	size_t at;
	size_t len;
};

struct http1_head {
	size_t len; /* bytes, with the empty line at the end */
	struct http1_span method;
	struct http1_span host;	 /* without the port */
	struct http1_span path;	 /* without the query */
	struct http1_span query; /* without '?' */
	bool persistent;
	bool expects_continue;
	bool head_only; /* the response has no body */
	bool chunked;
	size_t body_len; /* if not chunked */
};

enum http1_status {
	HTTP1_OK,
	HTTP1_PARTIAL,
	HTTP1_MALFORMED,
	HTTP1_UNSUPPORTED /* a transfer coding other than chunked */
};

/*
 * The chunk decoder of picohttpparser, which libh2o contains and exports
 * without a header.
 */
struct phr_chunked_decoder {
	size_t bytes_left_in_chunk;
	char consume_trailer;
	char _hex_count;
	char _state;
};

ssize_t phr_decode_chunked(struct phr_chunked_decoder *decoder, char *buf,
			   size_t *len);

enum http1_status http1_parse(const char *data, size_t len, size_t before,
			      struct http1_head *head);
bool http1_header(const char *data, size_t len, const char *name, char *value,
		  size_t size);

#endif
