/*
 * Test double of the key-value store, with the subset of the Consul HTTP API
 * listed in section 10 of docs/design.md. Nothing is kept on disk.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>
#include <uthash.h>
#include <utlist.h>

#include "buf.h"
#include "err.h"
#include "fake.h"

#define KV_PREFIX "/v1/kv/"
#define VALUE_MAX (1U << 20)
/* Consul's default for a blocking query without a wait parameter. */
#define DEFAULT_WAIT_MS 300000

/* A key; deleted keys stay as tombstones to keep their index. */
struct entry {
	char *key;
	bool present;
	struct buf value;
	uint64_t create_index;
	uint64_t modify_index;
	UT_hash_handle hh;
};

struct query {
	char *key;
	bool recurse;
	uint64_t index;
	uint32_t wait_ms;
};

/* A pending blocking query. */
struct watch {
	struct store *store;
	struct query query;
	uint64_t call;
	struct timer timer;
	struct watch *next;
};

struct stats {
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t second;
	uint64_t calls_in_second;
	uint64_t peak_calls_per_s;
};

struct store {
	struct loop *loop;
	struct fake *fake;
	struct entry *entries;
	uint64_t index; /* of the last write */
	struct watch *watches;
	struct stats stats;
};

static void stats_count_call(struct stats *stats, uint64_t *counter)
{
	uint64_t second = loop_now_ms() / 1000;

	(*counter)++;
	if (second != stats->second) {
		stats->second = second;
		stats->calls_in_second = 0;
	}
	stats->calls_in_second++;
	if (stats->calls_in_second > stats->peak_calls_per_s)
		stats->peak_calls_per_s = stats->calls_in_second;
}

static json_t *observe(void *ctx)
{
	struct store *store = ctx;
	const struct stats *s = &store->stats;
	json_int_t keys = 0;
	json_int_t waiting = 0;

	for (struct entry *e = store->entries; e; e = e->hh.next)
		keys += e->present;
	for (struct watch *w = store->watches; w; w = w->next)
		waiting++;
	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "reads",
		(json_int_t)s->reads, "writes", (json_int_t)s->writes,
		"watches", (json_int_t)s->watches, "bytes_in",
		(json_int_t)s->bytes_in, "bytes_out", (json_int_t)s->bytes_out,
		"peak_calls_per_s", (json_int_t)s->peak_calls_per_s, "keys",
		keys, "index", (json_int_t)store->index, "waiting", waiting);
}

static bool query_matches(const struct query *query, const char *key)
{
	if (query->recurse)
		return !strncmp(key, query->key, strlen(query->key));
	return !strcmp(key, query->key);
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp((*(struct entry *const *)a)->key,
		      (*(struct entry *const *)b)->key);
}

/*
 * Returns the present entries that match, in key order, and their number in
 * @count. @index receives the highest index among them and the deleted ones, or
 * the index of the store if no such key was ever written.
 */
static struct entry **query_run(struct store *store, const struct query *query,
				size_t *count, uint64_t *index)
{
	struct entry **found = NULL;
	struct entry *e = NULL;
	size_t capacity = 0;

	*count = 0;
	*index = 0;
	if (!query->recurse)
		HASH_FIND_STR(store->entries, query->key, e);
	else
		e = store->entries;
	for (; e; e = query->recurse ? e->hh.next : NULL) {
		if (!query_matches(query, e->key))
			continue;
		if (e->modify_index > *index)
			*index = e->modify_index;
		if (!e->present)
			continue;
		if (*count == capacity) {
			capacity = capacity ? capacity * 2 : 16;
			found = xrealloc(found,
					 capacity * sizeof(struct entry *));
		}
		found[(*count)++] = e;
	}
	if (!*index)
		*index = store->index ? store->index : 1;
	if (*count)
		qsort(found, *count, sizeof(struct entry *), compare_keys);
	return found;
}

static json_t *entry_json(const struct entry *e)
{
	size_t len = 4 * ((e->value.len + 2) / 3);
	char *base64 = xcalloc(1, len + 1);
	json_t *json;

	if (e->value.len)
		EVP_EncodeBlock((unsigned char *)base64,
				(const unsigned char *)e->value.data,
				(int)e->value.len);
	/* Consul answers null for an empty value. */
	json = json_pack("{s:I, s:s, s:I, s:s?, s:I, s:I}", "LockIndex",
			 (json_int_t)0, "Key", e->key, "Flags", (json_int_t)0,
			 "Value", len ? base64 : NULL, "CreateIndex",
			 (json_int_t)e->create_index, "ModifyIndex",
			 (json_int_t)e->modify_index);
	free(base64);
	return json;
}

static void answer_query(struct store *store, uint64_t call,
			 const struct query *query)
{
	size_t count;
	uint64_t index;
	struct entry **found = query_run(store, query, &count, &index);
	char header[64];
	json_t *list = json_array();
	char *text;

	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, entry_json(found[i]));
	text = json_dumps(list, JSON_COMPACT);
	if (!text)
		abort();
	snprintf(header, sizeof(header), "X-Consul-Index: %llu\r\n",
		 (unsigned long long)index);
	if (count) {
		store->stats.bytes_out += strlen(text);
		fake_answer(store->fake, call, 200, header, text, strlen(text));
	} else {
		fake_answer(store->fake, call, 404, header, "", 0);
	}
	free(text);
	free(found);
	json_decref(list);
}

static void watch_finish(struct watch *watch)
{
	struct store *store = watch->store;

	LL_DELETE(store->watches, watch);
	timer_stop(store->loop, &watch->timer);
	answer_query(store, watch->call, &watch->query);
	free(watch->query.key);
	free(watch);
}

static void on_watch_timeout(struct timer *timer)
{
	watch_finish(timer->ctx);
}

static void notify_watches(struct store *store, const char *key)
{
	struct watch *watch = store->watches;

	while (watch) {
		struct watch *next = watch->next;

		if (query_matches(&watch->query, key))
			watch_finish(watch);
		watch = next;
	}
}

static void watch_new(struct store *store, uint64_t call,
		      const struct query *query)
{
	struct watch *watch = xcalloc(1, sizeof(*watch));

	watch->store = store;
	watch->query = *query;
	watch->query.key = buf_str(query->key).data;
	watch->call = call;
	watch->timer = (struct timer){ .fn = on_watch_timeout, .ctx = watch };
	LL_PREPEND(store->watches, watch);
	timer_start(store->loop, &watch->timer, query->wait_ms);
}

/* Parses a Consul duration, "500ms" or "10s"; returns milliseconds. */
static uint32_t parse_wait(const char *text)
{
	char *unit;
	unsigned long n = strtoul(text, &unit, 10);

	if (!strcmp(unit, "ms"))
		return (uint32_t)n;
	if (!strcmp(unit, "m"))
		return (uint32_t)(n * 60000);
	return (uint32_t)(n * 1000);
}

static void handle_get(struct store *store, const struct fake_request *request,
		       struct query *query)
{
	char value[32];
	size_t count;
	uint64_t index;

	query->wait_ms = DEFAULT_WAIT_MS;
	if (httpd_query(&request->http, "index", value, sizeof(value)))
		query->index = strtoull(value, NULL, 10);
	if (httpd_query(&request->http, "wait", value, sizeof(value)))
		query->wait_ms = parse_wait(value);
	if (!query->index) {
		stats_count_call(&store->stats, &store->stats.reads);
		answer_query(store, request->id, query);
		return;
	}
	stats_count_call(&store->stats, &store->stats.watches);
	free(query_run(store, query, &count, &index));
	/* An index beyond the store's own predates a reset of the store. */
	if (index > query->index || query->index > store->index + 1)
		answer_query(store, request->id, query);
	else
		watch_new(store, request->id, query);
}

static struct entry *entry_get(struct store *store, const char *key)
{
	struct entry *e;

	HASH_FIND_STR(store->entries, key, e);
	if (e)
		return e;
	e = xcalloc(1, sizeof(*e));
	e->key = buf_str(key).data;
	HASH_ADD_KEYPTR(hh, store->entries, e->key, strlen(e->key), e);
	return e;
}

/* Returns true unless the request has a cas parameter that does not match. */
static bool cas_matches(const struct store *store, const char *key,
			const struct httpd_request *http)
{
	char value[32];
	struct entry *e;
	uint64_t cas;

	if (!httpd_query(http, "cas", value, sizeof(value)))
		return true;
	cas = strtoull(value, NULL, 10);
	HASH_FIND_STR(store->entries, key, e);
	if (!e || !e->present)
		return cas == 0;
	return cas == e->modify_index;
}

static void handle_put(struct store *store, const struct fake_request *request,
		       const char *key)
{
	const struct httpd_request *http = &request->http;
	struct entry *e;

	stats_count_call(&store->stats, &store->stats.writes);
	store->stats.bytes_in += http->body_len;
	fake_may_lose_answer(store->fake, request->id);
	if (!cas_matches(store, key, http)) {
		fake_answer(store->fake, request->id, 200, NULL, "false", 5);
		return;
	}
	e = entry_get(store, key);
	store->index++;
	buf_free(&e->value);
	e->value = buf_copy(http->body, http->body_len);
	if (!e->present)
		e->create_index = store->index;
	e->present = true;
	e->modify_index = store->index;
	fake_answer(store->fake, request->id, 200, NULL, "true", 4);
	notify_watches(store, e->key);
}

static void handle_delete(struct store *store,
			  const struct fake_request *request,
			  const struct query *query)
{
	size_t count;
	uint64_t index;
	struct entry **found;

	stats_count_call(&store->stats, &store->stats.writes);
	fake_may_lose_answer(store->fake, request->id);
	if (!cas_matches(store, query->key, &request->http)) {
		fake_answer(store->fake, request->id, 200, NULL, "false", 5);
		return;
	}
	found = query_run(store, query, &count, &index);
	if (count)
		store->index++;
	for (size_t i = 0; i < count; i++) {
		buf_free(&found[i]->value);
		found[i]->present = false;
		found[i]->modify_index = store->index;
	}
	fake_answer(store->fake, request->id, 200, NULL, "true", 4);
	for (size_t i = 0; i < count; i++)
		notify_watches(store, found[i]->key);
	free(found);
}

static void handle(void *ctx, const struct fake_request *request)
{
	struct store *store = ctx;
	const struct httpd_request *http = &request->http;
	size_t skip = strlen(KV_PREFIX);
	struct query query = { 0 };
	char value[16];

	if (strncmp(http->path, KV_PREFIX, skip) != 0) {
		fake_answer_error(store->fake, request->id, 404,
				  "no such path");
		return;
	}
	query.key = (char *)http->path + skip;
	query.recurse = httpd_query(http, "recurse", value, sizeof(value));
	if (!strcmp(http->method, "GET"))
		handle_get(store, request, &query);
	else if (!strcmp(http->method, "PUT"))
		handle_put(store, request, query.key);
	else if (!strcmp(http->method, "DELETE"))
		handle_delete(store, request, &query);
	else
		fake_answer_error(store->fake, request->id, 405, "bad method");
}

int main(int argc, char **argv)
{
	struct fake_listen_args args = fake_listen_args();
	void *table[] = { args.listen, args.base_port, args.count, arg_end(8) };
	struct store store = { .loop = loop_new() };
	struct fake_settings settings = {
		.program = "fakestore",
		.observe_path = "/stats",
		.max_body = VALUE_MAX,
		.handler = handle,
		.observe = observe,
		.ctx = &store,
	};
	struct err err = { 0 };

	fake_parse_args(argc, argv, table);
	store.fake = fake_new(store.loop, &settings);
	if (!fake_listen(store.fake, &args, &err)) {
		fprintf(stderr, "fakestore: %s\n", err.text);
		return 1;
	}
	return fake_run(store.fake);
}
