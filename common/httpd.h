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
	void *internal; /* h2o request */
};

typedef void (*httpd_handler)(void *ctx, const struct httpd_request *request);
/* Called when the client of an open request has disconnected. */
typedef void (*httpd_disconnect_fn)(void *ctx, uint32_t handle);

struct httpd_settings {
	const char *addr; /* "address:port" */
	size_t max_body;  /* bytes; a larger request gets status 413 */
	httpd_handler handler;
	httpd_disconnect_fn gone; /* may be NULL */
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
bool httpd_is_open(struct httpd *httpd, uint32_t handle);
bool httpd_client_closed(struct httpd *httpd, uint32_t handle);
uint32_t httpd_open_count(const struct httpd *httpd);
void httpd_close_listener(struct httpd *httpd);
int httpd_port(const struct httpd *httpd);

#endif
