/* The two implementations of httpd.h; httpd.c selects one. */
#ifndef JAYSPOKE_HTTPD_INT_H
#define JAYSPOKE_HTTPD_INT_H

#include "httpd.h"

/* A response to an open request. */
struct httpd_response {
	int status;
	const char *content_type; /* may be NULL */
	const char *headers;	  /* NULL, or complete lines ending in CRLF */
	const void *body;
	size_t len;
};

/* A request without a response yet. */
struct httpd_slot {
	void *request; /* of the implementation; NULL: the slot is free */
	uint32_t generation;
};

struct httpd_ops {
	const char *(*header)(const struct httpd_request *request,
			      const char *name, char *value, size_t size);
	/* @request is no longer in its slot. */
	void (*reply)(struct httpd *httpd, void *request,
		      const struct httpd_response *response);
	h2o_socket_t *(*socket)(void *request);
	void (*close_listener)(struct httpd *httpd);
};

/* The first member of both implementations. */
struct httpd {
	const struct httpd_ops *ops;
	struct httpd_settings settings;
	struct httpd_slot *slots;
	uint32_t slot_count;
	uint32_t *free_slots;
	uint32_t free_count;
	uint32_t open_count;
	uint32_t connections; /* counted with limits only */
	size_t bytes;	      /* counted with limits only */
	int port;
};

struct httpd *httpd_h2o_new(struct loop *loop, int fd,
			    const struct httpd_settings *settings);
struct httpd *httpd_bounded_new(struct loop *loop, int fd,
				const struct httpd_settings *settings);

uint32_t httpd_slot_open(struct httpd *httpd, void *request);
void httpd_slot_close(struct httpd *httpd, uint32_t handle);

#endif
