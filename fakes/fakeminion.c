/*
 * Test double of the minions of an upstream, one per port. A minion answers any
 * request; it does not enforce its slot and connection limits but counts the
 * violations.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "buf.h"
#include "err.h"
#include "fake.h"

#define BODY_MAX (16U << 20)
#define DEFAULT_RUN_MS 2
#define ID_MAX 128

/* Number of runs under one request id or idempotency key. */
struct tally {
	char id[ID_MAX];
	uint32_t runs;
	UT_hash_handle hh;
};

struct minion {
	uint32_t running;
	uint32_t max_running;
	uint32_t max_connections;
};

struct minions {
	struct loop *loop;
	struct fake *fake;
	const char *id_prefix;
	uint32_t slots;
	uint32_t connections;
	struct minion *table; /* by port index */
	struct tally *requests;
	struct tally *keys;
	uint64_t runs;
	uint64_t slot_violations;
	uint64_t connection_violations;
};

struct run {
	struct minions *minions;
	struct timer timer;
	uint64_t call;
	uint32_t port;
	uint64_t number;
	json_t *body;
	bool fail;
};

static void tally_count(struct tally **tallies, const char *id)
{
	struct tally *tally;

	HASH_FIND_STR(*tallies, id, tally);
	if (!tally) {
		tally = xcalloc(1, sizeof(*tally));
		snprintf(tally->id, sizeof(tally->id), "%s", id);
		HASH_ADD_STR(*tallies, id, tally);
	}
	tally->runs++;
}

static json_t *tally_json(const struct tally *tallies)
{
	json_t *json = json_object();

	for (const struct tally *t = tallies; t; t = t->hh.next)
		json_object_set_new(json, t->id, json_integer(t->runs));
	return json;
}

static void minion_id(const struct minions *minions, uint32_t port, char *id,
		      size_t size)
{
	snprintf(id, size, "%s%u", minions->id_prefix, port + 1);
}

static json_t *observe(void *ctx)
{
	const struct minions *minions = ctx;
	json_t *list = json_array();

	for (uint32_t i = 0; i < fake_port_count(minions->fake); i++) {
		const struct minion *m = &minions->table[i];
		char id[ID_MAX];

		minion_id(minions, i, id, sizeof(id));
		json_array_append_new(
			list,
			json_pack("{s:s, s:i, s:i, s:i, s:i, s:i, s:i}", "id",
				  id, "port", fake_port(minions->fake, i),
				  "running", (int)m->running, "max_running",
				  (int)m->max_running, "slots",
				  (int)minions->slots, "max_connections",
				  (int)m->max_connections, "connections",
				  (int)minions->connections));
	}
	return json_pack("{s:I, s:I, s:I, s:o, s:o, s:o}", "runs",
			 (json_int_t)minions->runs, "slot_violations",
			 (json_int_t)minions->slot_violations,
			 "connection_violations",
			 (json_int_t)minions->connection_violations, "minions",
			 list, "requests", tally_json(minions->requests),
			 "keys", tally_json(minions->keys));
}

static void on_run_end(struct timer *timer)
{
	struct run *run = timer->ctx;
	struct minions *minions = run->minions;
	char id[ID_MAX];

	minion_id(minions, run->port, id, sizeof(id));
	minions->table[run->port].running--;
	if (run->fail)
		fake_answer_error(minions->fake, run->call, 500, "failed");
	else
		fake_answer_json(minions->fake, run->call, 200, NULL,
				 json_pack("{s:O, s:s, s:I}", "echo", run->body,
					   "minion", id, "n",
					   (json_int_t)run->number));
	json_decref(run->body);
	free(run);
}

static json_t *parse_body(const struct httpd_request *http)
{
	json_t *body =
		json_loadb(http->body, http->body_len, JSON_DECODE_ANY, NULL);

	if (!body)
		body = json_stringn(http->body, http->body_len);
	return body ? body : json_null();
}

static void count_run(struct minions *minions,
		      const struct fake_request *request)
{
	struct minion *m = &minions->table[request->port];
	char id[ID_MAX];

	minions->runs++;
	if (httpd_header(&request->http, "x-request-id", id, sizeof(id)))
		tally_count(&minions->requests, id);
	if (httpd_header(&request->http, "idempotency-key", id, sizeof(id)))
		tally_count(&minions->keys, id);
	m->running++;
	if (m->running > m->max_running)
		m->max_running = m->running;
	if (m->running > minions->slots)
		minions->slot_violations++;
	if (request->connections > m->max_connections)
		m->max_connections = request->connections;
	if (request->connections > minions->connections)
		minions->connection_violations++;
}

static void handle(void *ctx, const struct fake_request *request)
{
	struct minions *minions = ctx;
	struct run *run;
	json_t *ms;

	if (strcmp(request->http.method, "POST") != 0) {
		fake_answer_error(minions->fake, request->id, 405,
				  "bad method");
		return;
	}
	fake_may_lose_answer(minions->fake, request->id);
	count_run(minions, request);
	run = xcalloc(1, sizeof(*run));
	run->minions = minions;
	run->call = request->id;
	run->port = request->port;
	run->number = minions->runs;
	run->body = parse_body(&request->http);
	run->fail = fake_fails(minions->fake, request->port) ||
		    json_is_true(json_object_get(run->body, "fail"));
	run->timer = (struct timer){ .fn = on_run_end, .ctx = run };
	ms = json_object_get(run->body, "run_ms");
	timer_start(minions->loop, &run->timer,
		    json_is_integer(ms) ? (uint64_t)json_integer_value(ms)
					: DEFAULT_RUN_MS);
}

int main(int argc, char **argv)
{
	struct fake_listen_args args = fake_listen_args();
	struct arg_int *slots =
		arg_int0(NULL, "slots", "N", "slots of each minion (8)");
	struct arg_int *connections = arg_int0(
		NULL, "connections", "N", "connections of each minion (64)");
	struct arg_str *prefix =
		arg_str0(NULL, "id-prefix", "TEXT",
			 "minion ids are this and a number from 1 (minion-)");
	void *table[] = { args.listen, args.base_port, args.count, slots,
			  connections, prefix,	       arg_end(8) };
	struct minions minions = { .loop = loop_new() };
	struct fake_settings settings = {
		.program = "fakeminion",
		.observe_path = "/observe",
		.max_body = BODY_MAX,
		.handler = handle,
		.observe = observe,
		.ctx = &minions,
	};
	struct err err = { 0 };

	fake_parse_args(argc, argv, table);
	minions.slots = slots->count ? (uint32_t)slots->ival[0] : 8;
	minions.connections =
		connections->count ? (uint32_t)connections->ival[0] : 64;
	minions.id_prefix = prefix->count ? prefix->sval[0] : "minion-";
	minions.fake = fake_new(minions.loop, &settings);
	if (!fake_listen(minions.fake, &args, &err)) {
		fprintf(stderr, "fakeminion: %s\n", err.text);
		return 1;
	}
	minions.table =
		xcalloc(fake_port_count(minions.fake), sizeof(struct minion));
	return fake_run(minions.fake);
}
