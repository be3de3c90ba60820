/* The platform's store. It loses nothing, and answers at once. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>

#include "stand.h"

#define ITEMS_MAX 20000
#define EVENTS_MAX 200000
#define LEASES_MAX 4096
#define PAGE_ITEMS 500

struct item {
	char *key;
	char *value; /* base64; NULL: the key does not exist */
	uint64_t revision;
	uint64_t created;
	uint64_t lease;
};

struct event {
	char *key;
	char *value; /* NULL: deleted */
	uint64_t revision;
};

struct lease {
	uint64_t ttl_ms;
	uint64_t until_ms; /* 0: ended */
};

static struct item items[ITEMS_MAX];
static int item_count;
static struct event events[EVENTS_MAX];
static int event_count;
static struct lease leases[LEASES_MAX];
static int lease_count = 1;
static uint64_t revision = 1;
int store_port;
static uint64_t lose_ms; /* see store_lose_job_write() */

static struct item *find(const char *key, bool add)
{
	for (int i = 0; i < item_count; i++) {
		if (!strcmp(items[i].key, key))
			return &items[i];
	}
	if (!add || item_count == ITEMS_MAX)
		return NULL;
	items[item_count].key = strdup(key);
	return &items[item_count++];
}

static void set(const char *key, const char *value, uint64_t lease)
{
	struct item *it = find(key, true);
	bool existed = it->value != NULL;

	if (!value && !existed)
		return;
	free(it->value);
	it->value = value ? strdup(value) : NULL;
	if (!existed)
		it->created = revision;
	it->revision = revision;
	it->lease = lease;
	if (event_count < EVENTS_MAX)
		events[event_count++] =
			(struct event){ .key = it->key,
					.value = value ? strdup(value) : NULL,
					.revision = revision };
}

static char *encode(const char *text)
{
	size_t len = strlen(text);
	char *out = malloc(len * 4 / 3 + 8);

	EVP_EncodeBlock((unsigned char *)out, (const unsigned char *)text,
			(int)len);
	return out;
}

/* Writes a key as the operator or a worker does; big_lock is held. */
void store_put(const char *key, const json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	char *b64 = encode(text);

	revision++;
	set(key, b64, 0);
	pthread_cond_broadcast(&changed);
	free(b64);
	free(text);
}

static json_t *item_json(const char *key, const struct item *it)
{
	if (!it || !it->value)
		return json_pack("{s:s,s:i}", "key", key, "revision", 0);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", it->key, "value",
			 it->value, "revision", (json_int_t)it->revision,
			 "created", (json_int_t)it->created, "lease",
			 (json_int_t)it->lease);
}

static int get_key(struct request *r, json_t **body)
{
	char key[256];
	struct item *it;

	query_get(r->query, "key", key, sizeof(key));
	it = find(key, false);
	if (!it || !it->value) {
		*body = json_pack("{s:I}", "as_of", (json_int_t)revision);
		return 404;
	}
	*body = item_json(key, it);
	json_object_set_new(*body, "as_of", json_integer((json_int_t)revision));
	return 200;
}

static int compare_items(const void *a, const void *b)
{
	return strcmp((*(struct item *const *)a)->key,
		      (*(struct item *const *)b)->key);
}

static int get_range(struct request *r, json_t **body)
{
	static struct item *found[ITEMS_MAX];
	json_t *rows = json_array();
	char prefix[256];
	char after[256];
	int n = 0;

	query_get(r->query, "prefix", prefix, sizeof(prefix));
	query_get(r->query, "after", after, sizeof(after));
	for (int i = 0; i < item_count; i++) {
		if (items[i].value &&
		    !strncmp(items[i].key, prefix, strlen(prefix)) &&
		    strcmp(items[i].key, after) > 0)
			found[n++] = &items[i];
	}
	qsort(found, (size_t)n, sizeof(*found), compare_items);
	for (int i = 0; i < n && i < PAGE_ITEMS; i++)
		json_array_append_new(rows, item_json(found[i]->key, found[i]));
	*body = json_pack("{s:o,s:b,s:I}", "items", rows, "more_pages",
			  n > PAGE_ITEMS, "as_of", (json_int_t)revision);
	return 200;
}

static json_t *events_after(const char *prefix, uint64_t after)
{
	json_t *rows = json_array();

	for (int i = event_count - 1; i >= 0 && events[i].revision > after;
	     i--) {
		const struct event *e = &events[i];
		json_t *row;

		if (strncmp(e->key, prefix, strlen(prefix)) != 0)
			continue;
		if (e->value)
			row = json_pack("{s:s,s:s,s:I}", "key", e->key, "value",
					e->value, "revision",
					(json_int_t)e->revision);
		else
			row = json_pack("{s:s,s:I,s:b}", "key", e->key,
					"revision", (json_int_t)e->revision,
					"deleted", 1);
		json_array_insert_new(rows, 0, row);
	}
	return rows;
}

static void wait_change(uint64_t until_ms)
{
	struct timespec ts;
	uint64_t now = now_ms();
	uint64_t ms = until_ms > now ? until_ms - now : 0;

	if (ms > 100)
		ms = 100;
	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_nsec += (long)ms * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	pthread_cond_timedwait(&changed, &big_lock, &ts);
}

static int get_watch(struct request *r, json_t **body)
{
	char prefix[256];
	char text[32];
	uint64_t after;
	uint64_t until;
	json_t *rows;

	query_get(r->query, "prefix", prefix, sizeof(prefix));
	query_get(r->query, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	query_get(r->query, "wait_ms", text, sizeof(text));
	until = now_ms() + strtoull(text, NULL, 10);
	rows = events_after(prefix, after);
	while (!json_array_size(rows) && now_ms() < until &&
	       !fd_is_dead(r->fd)) {
		json_decref(rows);
		wait_change(until);
		rows = events_after(prefix, after);
	}
	*body = json_pack("{s:o,s:I}", "events", rows, "as_of",
			  (json_int_t)revision);
	return 200;
}

static uint64_t number(const json_t *o, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(o, name));
}

static bool lease_lives(uint64_t id)
{
	return !id || (id < (uint64_t)lease_count && leases[id].until_ms);
}

static int post_txn(struct request *r, json_t **body)
{
	json_t *expect = json_object_get(r->body, "expect");
	json_t *puts = json_object_get(r->body, "puts");
	json_t *removed = json_object_get(r->body, "remove");
	bool holds = true;
	json_t *row;
	size_t i;

	json_array_foreach(expect, i, row)
	{
		const char *key =
			json_string_value(json_object_get(row, "key"));
		struct item *it = find(key, false);
		uint64_t at = it && it->value ? it->revision : 0;

		holds &= at == number(row, "revision");
	}
	if (!holds) {
		json_t *rows = json_array();

		json_array_foreach(expect, i, row)
		{
			const char *key =
				json_string_value(json_object_get(row, "key"));

			json_array_append_new(rows,
					      item_json(key, find(key, false)));
		}
		*body = json_pack("{s:o}", "items", rows);
		return 412;
	}
	json_array_foreach(puts, i, row)
	{
		if (!lease_lives(number(row, "lease")))
			return 404;
	}
	if (json_array_size(puts) || json_array_size(removed))
		revision++;
	json_array_foreach(puts, i, row)
	{
		set(json_string_value(json_object_get(row, "key")),
		    json_string_value(json_object_get(row, "value")),
		    number(row, "lease"));
	}
	json_array_foreach(removed, i, row)
	{
		set(json_string_value(row), NULL, 0);
	}
	pthread_cond_broadcast(&changed);
	*body = json_pack("{s:I}", "revision", (json_int_t)revision);
	return 200;
}

static bool writes_job(const struct request *r)
{
	json_t *puts = json_object_get(r->body, "puts");
	const char *key = json_string_value(
		json_object_get(json_array_get(puts, 0), "key"));

	return key && !strncmp(key, "jay/job/", 8);
}

void store_lose_job_write(uint64_t delay_ms)
{
	pthread_mutex_lock(&big_lock);
	lose_ms = delay_ms;
	pthread_mutex_unlock(&big_lock);
}

/* Carries a write out late, if its condition still holds, and answers none. */
static int lose_write(struct request *r)
{
	uint64_t at_ms = now_ms() + lose_ms;
	json_t *body = NULL;

	note("store: a write of a job gets no answer, and is late by %llu ms",
	     (unsigned long long)lose_ms);
	lose_ms = 0;
	pthread_mutex_unlock(&big_lock);
	wait_until(at_ms);
	pthread_mutex_lock(&big_lock);
	note("store: the late write: %d", post_txn(r, &body));
	json_decref(body);
	return 0;
}

static void end_lease(uint64_t id)
{
	leases[id].until_ms = 0;
	revision++;
	for (int i = 0; i < item_count; i++) {
		if (items[i].value && items[i].lease == id)
			set(items[i].key, NULL, 0);
	}
	pthread_cond_broadcast(&changed);
}

static int handle(void *ctx, struct request *r, json_t **body)
{
	int status = 400;
	uint64_t id = 0;

	(void)ctx;
	pthread_mutex_lock(&big_lock);
	if (!strcmp(r->path, "/kv-key")) {
		status = get_key(r, body);
	} else if (!strcmp(r->path, "/kv-range")) {
		status = get_range(r, body);
	} else if (!strcmp(r->path, "/kv-watch")) {
		status = get_watch(r, body);
	} else if (!strcmp(r->path, "/kv-txn") && lose_ms && writes_job(r)) {
		status = lose_write(r);
	} else if (!strcmp(r->path, "/kv-txn")) {
		status = post_txn(r, body);
		if (status == 200 && writes_job(r))
			note("store: a job is written");
	} else if (!strcmp(r->path, "/kv-lease")) {
		uint64_t ttl = number(r->body, "ttl_ms");

		leases[lease_count] =
			(struct lease){ .ttl_ms = ttl,
					.until_ms = now_ms() + ttl };
		*body = json_pack("{s:i,s:I}", "lease", lease_count, "ttl_ms",
				  (json_int_t)ttl);
		if (lease_count < LEASES_MAX - 1)
			lease_count++;
		status = 200;
	} else if (sscanf(r->path, "/kv-keep/%lu", &id) == 1) {
		status = lease_lives(id) && id ? 200 : 404;
		if (status == 200)
			leases[id].until_ms = now_ms() + leases[id].ttl_ms;
	} else if (sscanf(r->path, "/kv-lease-end/%lu", &id) == 1) {
		status = lease_lives(id) && id ? 200 : 404;
		if (status == 200)
			end_lease(id);
	}
	pthread_mutex_unlock(&big_lock);
	return status;
}

static void *expire(void *arg)
{
	for (;;) {
		pthread_mutex_lock(&big_lock);
		for (int i = 1; i < lease_count; i++) {
			if (leases[i].until_ms && now_ms() > leases[i].until_ms)
				end_lease((uint64_t)i);
		}
		pthread_mutex_unlock(&big_lock);
		sleep_ms(20);
	}
	return arg;
}

void store_open(void)
{
	pthread_t t;

	store_port = free_port();
	port_open(store_port, handle, NULL);
	pthread_create(&t, NULL, expire, NULL);
}
