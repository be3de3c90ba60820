/*
 * HTTP/1.1 client based on h2o, with a connection pool per address. A timeout
 * discards the idle connections to its address.
 */
#ifndef JAYSPOKE_HTTPC_H
#define JAYSPOKE_HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "loop.h"

struct httpc;

/* Result of an exchange. */
enum httpc_state {
	HTTPC_COMPLETE,	  /* a complete response was read */
	HTTPC_NOT_SENT,	  /* not connected: nothing was sent */
	HTTPC_NO_RESPONSE /* possibly sent, but no complete response */
};

struct httpc_response {
	enum httpc_state state;
	int status;
	uint64_t index;	       /* X-Consul-Index, 0 if absent */
	char etag[64];	       /* empty if absent */
	char content_type[64]; /* empty if absent */
	char outcome[16];      /* X-Outcome, empty if absent */
	struct buf body;       /* freed after the callback; see buf_take() */
	const char *error;     /* static string, NULL if answered */
};

typedef void (*httpc_done)(void *ctx, uint32_t ref,
			   struct httpc_response *response);

struct httpc_request {
	const char *addr; /* "address:port" */
	const char *method;
	const char *path;    /* including the query */
	const char *headers; /* NULL, or complete lines ending in CRLF */
	const void *body;
	size_t body_len;
	uint32_t timeout_ms; /* for the whole exchange */
	/*
	 * Each part of a response that has begun may take this long, also
	 * beyond timeout_ms.
	 */
	uint32_t part_timeout_ms;
	size_t max_response_bytes; /* body bytes, 0: the default of 4 MB */
	bool fresh;		   /* use a new connection, and close it */
	httpc_done done;
	void *ctx;
	uint32_t ref;
};

struct httpc *httpc_new(struct loop *loop);
uint32_t httpc_send(struct httpc *client, const struct httpc_request *request);
void httpc_cancel(struct httpc *client, uint32_t handle);
void httpc_close_idle(struct httpc *client, const char *addr);
uint32_t httpc_open_count(const struct httpc *client);
uint64_t httpc_bytes(const struct httpc *client);

#endif
