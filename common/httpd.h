/* HTTP server over h2o with deferred answers and graceful shutdown. */
#ifndef JAYSPOKE_HTTPD_H
#define JAYSPOKE_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "loop.h"

struct httpd;

/* A request, valid during the handler only. */
struct httpd_request {
	uint32_t handle; /* for httpd_reply(), also later */
	const char *method;
	const char *host;  /* without port, empty if none */
	const char *path;  /* without query */
	const char *query; /* without '?', empty if none */
	const char *body;  /* NUL-terminated */
	size_t body_len;
	void *internal;
};

typedef void (*httpd_handler)(void *ctx, const struct httpd_request *request);
/* Tells that the caller of an unanswered request has gone. */
typedef void (*httpd_gone)(void *ctx, uint32_t handle);

struct httpd_settings {
	const char *addr; /* "address:port" */
	size_t max_body;  /* bytes; a larger request is answered 413 */
	httpd_handler handler;
	httpd_gone gone; /* may be NULL */
	void *ctx;
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
bool httpd_waits(struct httpd *httpd, uint32_t handle);
bool httpd_closed(struct httpd *httpd, uint32_t handle);
uint32_t httpd_open_count(const struct httpd *httpd);
void httpd_close_listener(struct httpd *httpd);
int httpd_port(const struct httpd *httpd);

#endif
