#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "httpc.h"
#include "jayspoke.h"
#include "loop.h"

/* Above every deadline within the daemons, so that their answer is seen. */
#define CLIENT_TIMEOUT_MS 30000
#define CLIENT_ANSWER_MAX (64U << 20)

struct exchange {
	struct loop *loop;
	struct httpc_response response;
	struct buf body;
};

static struct loop *client_loop(void)
{
	static struct loop *loop;

	if (!loop)
		loop = loop_new();
	return loop;
}

static struct httpc *client_http(void)
{
	static struct httpc *http;

	if (!http)
		http = httpc_new(client_loop());
	return http;
}

static void on_done(void *ctx, uint32_t ref, struct httpc_response *response)
{
	struct exchange *x = ctx;

	(void)ref;
	x->response = *response;
	x->body = buf_take(&response->body);
	loop_stop(x->loop);
}

static void on_sleep(struct timer *timer)
{
	loop_stop(timer->ctx);
}

/* Waits for @ms milliseconds. */
void client_sleep(unsigned int ms)
{
	struct timer timer = { .fn = on_sleep, .ctx = client_loop() };

	timer_start(client_loop(), &timer, ms);
	loop_run(client_loop());
}

/* Name of the operator for the time line of the catalogue. */
static const char *operator_name(void)
{
	const char *name = getenv("LOGNAME");

	return name && options_is_name(name) ? name : "unknown";
}

static void exchange_with(const char *addr, const struct options *options,
			  const struct request *request, struct exchange *x)
{
	struct buf headers = { 0 };
	struct httpc_request r = {
		.addr = addr,
		.method = request->method,
		.path = request->path,
		.body = request->body,
		.body_len = request->body ? strlen(request->body) : 0,
		.timeout_ms = CLIENT_TIMEOUT_MS,
		.max_answer = CLIENT_ANSWER_MAX,
		.fresh = true,
		.done = on_done,
		.ctx = x,
	};

	if (request->side == SIDE_OPERATORS)
		headers = buf_fmt("Authorization: Bearer %s\r\n"
				  "X-Operator: %s\r\n",
				  options->key, operator_name());
	else if (request->key)
		headers = buf_fmt("Idempotency-Key: %s\r\n", request->key);
	r.headers = headers.data;
	*x = (struct exchange){ .loop = client_loop() };
	httpc_send(client_http(), &r);
	loop_run(x->loop);
	buf_free(&headers);
}

struct error_exit {
	const char *error;
	enum exit_status exit;
};

/* Statuses of the error kinds for which the request was not just refused. */
static const struct error_exit error_exits[] = {
	{ "conflict", EXIT_CONFLICT }, { "upstream-failed", EXIT_FAILED },
	{ "retries", EXIT_FAILED },    { "cancelled", EXIT_FAILED },
	{ "lost", EXIT_UNKNOWN },      { "internal", EXIT_UNKNOWN },
};

static enum exit_status exit_of(const struct answer *a)
{
	for (size_t i = 0; i < sizeof(error_exits) / sizeof(*error_exits);
	     i++) {
		if (!strcmp(a->error, error_exits[i].error))
			return error_exits[i].exit;
	}
	if (a->status >= 500 && !a->error[0])
		return EXIT_UNKNOWN; /* not an answer of a daemon's own */
	if (a->status >= 400)
		return EXIT_REFUSED;
	if (!strcmp(a->outcome, outcome_name(OUTCOME_FAILED)))
		return EXIT_FAILED;
	if (!strcmp(a->outcome, outcome_name(OUTCOME_UNKNOWN)))
		return EXIT_UNKNOWN;
	if (!strcmp(a->outcome, outcome_name(OUTCOME_NOT_RUN)))
		return EXIT_REFUSED;
	return EXIT_OK;
}

static void answer_read(struct answer *a, struct exchange *x)
{
	const char *error;

	a->status = x->response.status;
	memcpy(a->outcome, x->response.outcome, sizeof(a->outcome));
	a->body = buf_take(&x->body);
	a->json = json_loadb(a->body.data ? a->body.data : "", a->body.len, 0,
			     NULL);
	error = json_string_value(json_object_get(a->json, "error"));
	if (error && strcmp(error, err_name(ERR_NONE)) != 0)
		snprintf(a->error, sizeof(a->error), "%s", error);
	a->exit = exit_of(a);
}

/*
 * Sends a request to the first of the addresses that accepts a connection, and
 * waits for its answer. Prints what failed when there is none.
 */
void client_send(const struct options *options, const struct request *request,
		 struct answer *answer)
{
	const char *p = request->side == SIDE_OPERATORS ? options->operators
							: options->callers;
	struct exchange x = { 0 };

	*answer = (struct answer){ .exit = EXIT_REFUSED };
	while (*p) {
		char addr[64];
		size_t len = strcspn(p, ",");

		snprintf(addr, sizeof(addr), "%.*s", (int)len, p);
		exchange_with(addr, options, request, &x);
		if (x.response.state == HTTPC_ANSWERED) {
			answer_read(answer, &x);
			return;
		}
		buf_free(&x.body);
		fprintf(stderr, "jayspoke: %s: %s %s: %s\n", addr,
			request->method, request->path, x.response.error);
		if (x.response.state == HTTPC_NO_ANSWER && request->changes) {
			answer->exit = EXIT_UNKNOWN;
			return;
		}
		p += len + (p[len] == ',');
	}
}

/* Prints the error of an answer on standard error, if it has one. */
void client_report(const struct options *options, const struct answer *answer)
{
	const char *detail =
		json_string_value(json_object_get(answer->json, "detail"));

	if (answer->status >= 400 || answer->error[0])
		fprintf(stderr, "jayspoke %s: %s%s%s (HTTP status %d)\n",
			options->command,
			answer->error[0] ? answer->error : "refused",
			detail ? ": " : "", detail ? detail : "",
			answer->status);
}

/* Releases what client_send() filled in. */
void answer_free(struct answer *answer)
{
	buf_free(&answer->body);
	json_decref(answer->json);
	*answer = (struct answer){ 0 };
}
