/* HTTP server based on h2o, with deferred responses and graceful shutdown. */
#ifndef JAYSPOKE_HTTPD_H
#define JAYSPOKE_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "loop.h"

struct httpd;

/* A request; valid only until the handler returns. */
struct httpd_request {
	uint32_t handle; /* for httpd_reply(), also after the handler */
	const char *method;
	const char *host;  /* without the port, empty if absent */
	const char *path;  /* without the query */
	const char *query; /* without '?', empty if absent */
	const char *body;  /* NUL-terminated */
	size_t body_len;
	bool body_skipped; /* it has a body that wants_body() declined */
	const struct httpd *httpd;
	void *internal; /* connection, or h2o request without limits */
};

/* Reasons to refuse a request or to close a connection. */
enum httpd_limit {
	HTTPD_LIMIT_CONNECTIONS,   /* connections of the listener */
	HTTPD_LIMIT_DESCRIPTORS,   /* of the process */
	HTTPD_LIMIT_MEMORY,	   /* bytes held for the listener */
	HTTPD_LIMIT_REQUESTS,	   /* requests without a response */
	HTTPD_LIMIT_HEAD,	   /* size of a head */
	HTTPD_LIMIT_BODY,	   /* size of a body */
	HTTPD_LIMIT_HEAD_TIME,	   /* time for a head */
	HTTPD_LIMIT_BODY_TIME,	   /* progress of a body */
	HTTPD_LIMIT_RESPONSE_TIME, /* time to read a response */
	HTTPD_LIMITS
};

/* Bounds of one listener, whatever its clients do. */
struct httpd_limits {
	uint32_t connections;
	uint32_t requests;  /* without a response yet */
	size_t bytes;	    /* held for requests and unread responses */
	size_t head_bytes;  /* of one request */
	uint32_t head_ms;   /* from the first byte of a head to the last */
	uint32_t body_ms;   /* for each HTTPD_PROGRESS_BYTES of a body */
	uint32_t write_ms;  /* until a response is taken */
	uint32_t idle_ms;   /* between requests */
	uint32_t linger_ms; /* after an error response, to let it be read */
};

/* A slow body has to bring this many bytes within body_ms. */
#define HTTPD_PROGRESS_BYTES 16384

typedef void (*httpd_handler)(void *ctx, const struct httpd_request *request);
/* Called when the client of an open request has disconnected. */
typedef void (*httpd_disconnect_fn)(void *ctx, uint32_t handle);
/*
 * Called with the head of a request that has a body; body_len is the announced
 * size, or SIZE_MAX if it comes in chunks. If it returns false, the handler is
 * called at once and the body is discarded as it arrives.
 */
typedef bool (*httpd_body_fn)(void *ctx, const struct httpd_request *request);
/* Called when a limit has ended a request or a connection. */
typedef void (*httpd_limited_fn)(void *ctx, enum httpd_limit limit);

struct httpd_settings {
	const char *addr; /* "address:port" */
	size_t max_body;  /* bytes; a larger request gets status 413 */
	httpd_handler handler;
	httpd_disconnect_fn gone; /* may be NULL */
	void *ctx;
	/* NULL: no limits but max_body. The others need limits. */
	const struct httpd_limits *limits;
	httpd_body_fn wants_body; /* may be NULL: all bodies are read */
	httpd_limited_fn limited; /* may be NULL */
};

struct httpd *httpd_new(struct loop *loop,
			const struct httpd_settings *settings, struct err *err);
const char *httpd_header(const struct httpd_request *request, const char *name,
			 char *value, size_t size);
bool httpd_query(const struct httpd_request *request, const char *name,
		 char *value, size_t size);
void httpd_reply(struct httpd *httpd, uint32_t handle, int status,
		 const char *content_type, const char *headers,
		 const void *body, size_t len);
bool httpd_is_open(struct httpd *httpd, uint32_t handle);
bool httpd_client_closed(struct httpd *httpd, uint32_t handle);
uint32_t httpd_open_count(const struct httpd *httpd);
uint32_t httpd_connections(const struct httpd *httpd);
size_t httpd_bytes(const struct httpd *httpd);
void httpd_close_listener(struct httpd *httpd);
int httpd_port(const struct httpd *httpd);
const char *httpd_limit_name(enum httpd_limit limit);

#endif
