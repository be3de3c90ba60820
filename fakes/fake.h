/* Common part of the test doubles: listeners, fault injection, options. */
#ifndef JAYSPOKE_FAKE_H
#define JAYSPOKE_FAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <argtable2.h>
#include <jansson.h>

#include "httpd.h"
#include "loop.h"

struct fake;

struct fake_request {
	uint64_t id;		   /* for fake_answer(), valid until then */
	uint32_t port;		   /* index of the listener */
	uint32_t connections;	   /* open on this listener, on arrival */
	uint64_t connection;	   /* rises in the order of accepting */
	struct httpd_request http; /* valid until answered */
};

typedef void (*fake_handler)(void *ctx, const struct fake_request *request);
/* Returns a new object with the observations. */
typedef json_t *(*fake_observer)(void *ctx);

struct fake_settings {
	const char *program;
	const char *observe_path;
	size_t max_body; /* bytes */
	fake_handler handler;
	fake_observer observe;
	void *ctx;
};

/* Command-line options of the listeners. */
struct fake_listen_args {
	struct arg_str *listen;
	struct arg_int *base_port;
	struct arg_int *count;
};

void fake_parse_args(int argc, char **argv, void **table);
struct fake_listen_args fake_listen_args(void);
struct fake *fake_new(struct loop *loop, const struct fake_settings *settings);
bool fake_listen(struct fake *fake, const struct fake_listen_args *args,
		 struct err *err);
uint32_t fake_port_count(const struct fake *fake);
int fake_port(const struct fake *fake, uint32_t port);
int fake_run(struct fake *fake);

bool fake_fails(const struct fake *fake, uint32_t port);
void fake_may_lose_answer(struct fake *fake, uint64_t id);
uint64_t fake_latest_connection(void);
void fake_drop(struct fake *fake, uint64_t id);
void fake_answer(struct fake *fake, uint64_t id, int status,
		 const char *headers, const void *body, size_t len);
void fake_answer_json(struct fake *fake, uint64_t id, int status,
		      const char *headers, json_t *body);
void fake_answer_error(struct fake *fake, uint64_t id, int status,
		       const char *text);

#endif
