/*
 * Bounded load generator: sends N requests, at most C at a time, to a list of
 * daemons, and prints the results as one JSON object. With --readyz it selects
 * addresses by polling GET /readyz, as a load balancer does.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <argtable2.h>
#include <jansson.h>

#include "buf.h"
#include "err.h"
#include "httpc.h"
#include "loop.h"

#define STATUS_MAX 600
#define TICK_MS 5
#define POLL_INTERVAL_MS 100
#define POLL_TIMEOUT_MS 1000
/* Replaced by the id of the request in --body and --expect. */
#define ID_PLACEHOLDER "@id"

struct target {
	const char *addr;
	bool ready;
	bool polled; /* a poll is in progress */
};

struct options {
	uint32_t requests;
	uint32_t concurrent;
	uint32_t rate; /* per second, 0: unlimited */
	uint32_t timeout_ms;
	uint32_t max_s;
	const char *path;
	const char *body;
	const char *expect;
	const char *key_prefix;
	bool readyz;
};

struct loadgen {
	struct loop *loop;
	struct httpc *client;
	struct options options;
	struct target *targets;
	uint32_t target_count;
	uint32_t next_target;
	uint64_t started_ms;
	uint64_t polled_ms;
	uint64_t last_done_ms;
	uint64_t max_gap_ms;
	uint64_t max_us;
	struct timer tick;
	uint32_t issued;
	uint32_t in_flight;
	bool stopping;
	uint32_t *latencies_us; /* of the first latency_count answers */
	uint32_t latency_count;
	uint32_t latency_capacity;
	uint32_t outcomes[OUTCOME_COUNT];
	uint32_t no_outcome;
	uint32_t status[STATUS_MAX];
	uint32_t not_sent;
	uint32_t no_answer;
	uint32_t mismatched;
};

/* A request in progress. */
struct exchange {
	struct loadgen *gen;
	uint64_t started_us;
	char id[48];
};

static volatile sig_atomic_t signalled;

static void on_signal(int signo)
{
	(void)signo;
	signalled = 1;
}

static uint64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

/* Returns @text with every placeholder replaced by @id. */
static struct buf expand(const char *text, const char *id)
{
	struct buf b = { 0 };
	const char *placeholder = strstr(text, ID_PLACEHOLDER);

	while (placeholder) {
		buf_append(&b, text, (size_t)(placeholder - text));
		buf_append(&b, id, strlen(id));
		text = placeholder + strlen(ID_PLACEHOLDER);
		placeholder = strstr(text, ID_PLACEHOLDER);
	}
	buf_append(&b, text, strlen(text));
	return b;
}

static bool answer_matches(const struct exchange *x,
			   const struct httpc_response *response)
{
	const char *pattern = x->gen->options.expect;
	struct buf expected;
	bool matches;

	if (!pattern)
		return true;
	expected = expand(pattern, x->id);
	matches = response->body.data &&
		  strstr(response->body.data, expected.data);
	buf_free(&expected);
	return matches;
}

static void count_done(struct loadgen *gen, const struct exchange *x,
		       const struct httpc_response *response)
{
	uint64_t now = loop_now_ms();

	if (now - gen->last_done_ms > gen->max_gap_ms)
		gen->max_gap_ms = now - gen->last_done_ms;
	gen->last_done_ms = now;
	if (!answer_matches(x, response))
		gen->mismatched++;
}

static void count_answer(struct loadgen *gen, const struct exchange *x,
			 const struct httpc_response *response)
{
	int outcome = 0;

	if (response->status > 0 && response->status < STATUS_MAX)
		gen->status[response->status]++;
	while (outcome < OUTCOME_COUNT &&
	       strcmp(response->outcome, outcome_name(outcome)) != 0)
		outcome++;
	if (outcome == OUTCOME_COUNT)
		gen->no_outcome++;
	else
		gen->outcomes[outcome]++;
	if (outcome == OUTCOME_DONE)
		count_done(gen, x, response);
}

static void add_latency(struct loadgen *gen, uint64_t us)
{
	if (gen->latency_count == gen->latency_capacity) {
		gen->latency_capacity = gen->latency_capacity * 2 + 1024;
		gen->latencies_us =
			xrealloc(gen->latencies_us,
				 gen->latency_capacity * sizeof(uint32_t));
	}
	gen->latencies_us[gen->latency_count] =
		us > UINT32_MAX ? UINT32_MAX : (uint32_t)us;
	gen->latency_count++;
}

static void on_answer(void *ctx, uint32_t ref, struct httpc_response *response)
{
	struct exchange *x = ctx;
	struct loadgen *gen = x->gen;
	uint64_t us = now_us() - x->started_us;

	(void)ref;
	gen->in_flight--;
	add_latency(gen, us);
	if (us > gen->max_us)
		gen->max_us = us;
	if (response->state == HTTPC_NOT_SENT)
		gen->not_sent++;
	else if (response->state == HTTPC_NO_RESPONSE)
		gen->no_answer++;
	else
		count_answer(gen, x, response);
	free(x);
}

static struct target *choose_target(struct loadgen *gen)
{
	for (uint32_t i = 0; i < gen->target_count; i++) {
		struct target *t = &gen->targets[gen->next_target];

		gen->next_target = (gen->next_target + 1) % gen->target_count;
		if (t->ready)
			return t;
	}
	return NULL;
}

static void send_one(struct loadgen *gen, const struct target *target)
{
	const struct options *options = &gen->options;
	struct exchange *x = xcalloc(1, sizeof(*x));
	struct httpc_request request = {
		.addr = target->addr,
		.method = "POST",
		.path = options->path,
		.timeout_ms = options->timeout_ms,
		.done = on_answer,
		.ctx = x,
	};
	struct buf body;
	struct buf headers = { 0 };

	x->gen = gen;
	x->started_us = now_us();
	snprintf(x->id, sizeof(x->id), "%d-%u", (int)getpid(), gen->issued);
	body = expand(options->body, x->id);
	if (options->key_prefix) {
		headers = buf_fmt("Idempotency-Key: %s%s\r\n",
				  options->key_prefix, x->id);
		request.headers = headers.data;
	}
	request.body = body.data;
	request.body_len = body.len;
	gen->issued++;
	gen->in_flight++;
	httpc_send(gen->client, &request);
	buf_free(&body);
	buf_free(&headers);
}

static void on_poll(void *ctx, uint32_t ref, struct httpc_response *response)
{
	struct loadgen *gen = ctx;
	struct target *t = &gen->targets[ref];
	bool ready =
		response->state == HTTPC_COMPLETE && response->status == 200;

	/* Like a load balancer, close idle connections to draining targets. */
	if (t->ready && !ready)
		httpc_close_idle(gen->client, t->addr);
	t->ready = ready;
	t->polled = false;
}

static void poll_targets(struct loadgen *gen)
{
	uint64_t now = loop_now_ms();

	if (!gen->options.readyz || now - gen->polled_ms < POLL_INTERVAL_MS)
		return;
	gen->polled_ms = now;
	for (uint32_t i = 0; i < gen->target_count; i++) {
		struct httpc_request request = {
			.addr = gen->targets[i].addr,
			.method = "GET",
			.path = "/readyz",
			.timeout_ms = POLL_TIMEOUT_MS,
			.fresh = true,
			.done = on_poll,
			.ctx = gen,
			.ref = i,
		};

		if (gen->targets[i].polled)
			continue;
		gen->targets[i].polled = true;
		httpc_send(gen->client, &request);
	}
}

/* Returns how many requests the rate limit permits up to now. */
static uint32_t requests_due(const struct loadgen *gen)
{
	const struct options *options = &gen->options;
	uint64_t elapsed_ms = loop_now_ms() - gen->started_ms;
	uint64_t n = options->requests;

	if (options->rate && elapsed_ms * options->rate / 1000 < n)
		n = elapsed_ms * options->rate / 1000;
	return (uint32_t)n;
}

static void on_tick(struct timer *timer)
{
	struct loadgen *gen = timer->ctx;
	const struct options *options = &gen->options;
	uint64_t elapsed_ms = loop_now_ms() - gen->started_ms;
	uint32_t n = requests_due(gen);

	if (signalled || elapsed_ms > options->max_s * 1000ULL)
		gen->stopping = true;
	poll_targets(gen);
	while (!gen->stopping && gen->issued < n &&
	       gen->in_flight < options->concurrent) {
		struct target *target = choose_target(gen);

		if (!target)
			break;
		send_one(gen, target);
	}
	if (!gen->in_flight &&
	    (gen->stopping || gen->issued == options->requests))
		loop_stop(gen->loop);
	else
		timer_start(gen->loop, timer, TICK_MS);
}

static json_t *outcomes_json(const struct loadgen *gen)
{
	json_t *json = json_object();

	for (int i = 0; i < OUTCOME_COUNT; i++)
		json_object_set_new(json, outcome_name(i),
				    json_integer(gen->outcomes[i]));
	json_object_set_new(json, "none", json_integer(gen->no_outcome));
	return json;
}

static json_t *status_json(const struct loadgen *gen)
{
	json_t *json = json_object();
	char name[8];

	for (int i = 0; i < STATUS_MAX; i++) {
		if (!gen->status[i])
			continue;
		snprintf(name, sizeof(name), "%d", i);
		json_object_set_new(json, name, json_integer(gen->status[i]));
	}
	return json;
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/*
 * Returns the exact quantile @q in milliseconds, 0 without answers; histogram
 * buckets would be too wide for differences below a millisecond. The latencies
 * must be sorted.
 */
static double quantile_ms(const struct loadgen *gen, double q)
{
	uint32_t rank = (uint32_t)(q * gen->latency_count);

	return gen->latency_count ? gen->latencies_us[rank] / 1000.0 : 0;
}

static void print_result(const struct loadgen *gen)
{
	uint64_t elapsed_ms = loop_now_ms() - gen->started_ms;
	json_t *json = json_pack(
		"{s:i, s:o, s:o, s:i, s:i, s:i, s:f, s:f, s:f, s:I, s:I}",
		"requests", (int)gen->issued, "outcomes", outcomes_json(gen),
		"status", status_json(gen), "not_sent", (int)gen->not_sent,
		"no_answer", (int)gen->no_answer, "mismatched",
		(int)gen->mismatched, "p50_ms", quantile_ms(gen, 0.5), "p99_ms",
		quantile_ms(gen, 0.99), "max_ms", (double)gen->max_us / 1000,
		"max_gap_ms", (json_int_t)gen->max_gap_ms, "elapsed_ms",
		(json_int_t)elapsed_ms);
	char *text = json_dumps(json, JSON_COMPACT | JSON_REAL_PRECISION(6));

	puts(text ? text : "{}");
	free(text);
	json_decref(json);
}

static uint32_t int_option(const struct arg_int *arg, uint32_t fallback)
{
	return arg->count && arg->ival[0] >= 0 ? (uint32_t)arg->ival[0]
					       : fallback;
}

static const char *text_option(const struct arg_str *arg, const char *fallback)
{
	return arg->count ? arg->sval[0] : fallback;
}

static void parse(struct loadgen *gen, int argc, char **argv)
{
	struct arg_str *addr = arg_strn(NULL, "addr", "ADDRESS:PORT", 1, 256,
					"daemon; may be repeated");
	struct arg_int *n = arg_int0("n", NULL, "N", "requests (100)");
	struct arg_int *c = arg_int0("c", NULL, "N", "at a time (8)");
	struct arg_int *rate =
		arg_int0(NULL, "rate", "N", "requests per second (unlimited)");
	struct arg_int *timeout =
		arg_int0(NULL, "timeout-ms", "MS", "of a request (30000)");
	struct arg_int *max_s =
		arg_int0(NULL, "max-s", "S", "stop sending after (180)");
	struct arg_str *path = arg_str1(NULL, "path", "PATH", "of the request");
	struct arg_str *body = arg_str0(NULL, "body", "TEXT",
					"request body, @id is replaced ({})");
	struct arg_str *expect = arg_str0(
		NULL, "expect", "TEXT", "part of each answer, @id is replaced");
	struct arg_str *key = arg_str0(NULL, "key-prefix", "TEXT",
				       "send Idempotency-Key TEXT@id");
	struct arg_lit *readyz =
		arg_lit0(NULL, "readyz", "use addresses whose /readyz is 200");
	struct arg_end *end = arg_end(8);
	void *table[] = { addr, n,    c,      rate, timeout, max_s,
			  path, body, expect, key,  readyz,  end };

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		fprintf(stderr, "usage: %s", argv[0]);
		arg_print_syntaxv(stderr, table, "\n");
		exit(2);
	}
	gen->options = (struct options){
		.requests = int_option(n, 100),
		.concurrent = int_option(c, 8),
		.rate = int_option(rate, 0),
		.timeout_ms = int_option(timeout, 30000),
		.max_s = int_option(max_s, 180),
		.path = path->sval[0],
		.body = text_option(body, "{}"),
		.expect = text_option(expect, NULL),
		.key_prefix = text_option(key, NULL),
		.readyz = readyz->count > 0,
	};
	gen->target_count = (uint32_t)addr->count;
	gen->targets = xcalloc(gen->target_count, sizeof(struct target));
	for (uint32_t i = 0; i < gen->target_count; i++) {
		gen->targets[i].addr = addr->sval[i];
		gen->targets[i].ready = !gen->options.readyz;
	}
}

int main(int argc, char **argv)
{
	struct loadgen gen = { 0 };
	struct sigaction action = { .sa_handler = on_signal };

	parse(&gen, argc, argv);
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
	gen.loop = loop_new();
	gen.client = httpc_new(gen.loop);
	gen.started_ms = loop_now_ms();
	gen.last_done_ms = gen.started_ms;
	gen.tick = (struct timer){ .fn = on_tick, .ctx = &gen };
	timer_start(gen.loop, &gen.tick, 0);
	loop_run(gen.loop);
	if (gen.latency_count)
		qsort(gen.latencies_us, gen.latency_count, sizeof(uint32_t),
		      compare_u32);
	print_result(&gen);
	return 0;
}
