/*
 * Key-value store of the platform test double, with a single revision counter,
 * conditional transactions, leases and long-poll watches.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "buf.h"
#include "platform.h"
#include "platform/text.h"

#define KEY_MAX 256
/* Limits of a page of a range, and of a value (value_bytes). */
#define PAGE_ITEMS 500
#define PAGE_BYTES 1000000
#define VALUE_MAX_BYTES 1048576
#define VALUE_MAX_BASE64 ((VALUE_MAX_BYTES + 2) / 3 * 4)
#define ENTRY_PREFIX "servers/"
#define LEASE_TICK_MS 50
#define HISTORY_MAX 20000
#define WAIT_MAX_MS 30000

struct item {
	char key[KEY_MAX];
	char *value; /* base64 */
	uint64_t revision;
	uint64_t created;
	uint64_t lease;
	UT_hash_handle hh;
};

struct change {
	uint64_t revision;
	char key[KEY_MAX];
	char *value; /* NULL: deleted */
};

struct lease {
	uint64_t id;
	uint32_t ttl_ms;
	uint64_t expires_ms;
};

struct watch {
	struct platform_kv *kv;
	uint64_t call;
	char prefix[KEY_MAX];
	uint64_t after;
	struct timer timer;
	struct watch *next;
};

struct platform_kv {
	struct loop *loop;
	struct fake *fake;
	uint64_t revision;
	struct item *items;
	struct change *history;
	uint32_t history_count;
	uint64_t compacted_revision; /* history up to here is discarded */
	struct lease *leases;
	uint32_t lease_count;
	uint64_t last_lease_id;
	struct watch *watches;
	struct timer tick;
	uint64_t calls;
	uint64_t commits;
	uint64_t conflicts;
	uint64_t away_until;  /* calls before are dropped */
	uint32_t late_writes; /* transactions left to delay */
	uint32_t late_ms;
};

/* A transaction that is not answered and is applied after a delay. */
struct late_write {
	struct platform_kv *kv;
	json_t *body;
	struct timer timer;
};

static json_t *item_json(const struct item *item)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created", (json_int_t)item->created, "lease",
			 (json_int_t)item->lease);
}

static bool has_prefix(const char *key, const char *prefix)
{
	return !strncmp(key, prefix, strlen(prefix));
}

static json_t *events_after(const struct platform_kv *kv, const char *prefix,
			    uint64_t after)
{
	json_t *events = json_array();
	uint32_t first = kv->history_count;

	while (first && kv->history[first - 1].revision > after)
		first--;
	for (uint32_t i = first; i < kv->history_count; i++) {
		const struct change *c = &kv->history[i];

		if (!has_prefix(c->key, prefix))
			continue;
		if (c->value)
			json_array_append_new(
				events,
				json_pack("{s:s,s:s,s:I}", "key", c->key,
					  "value", c->value, "revision",
					  (json_int_t)c->revision));
		else
			json_array_append_new(events,
					      json_pack("{s:s,s:I,s:b}", "key",
							c->key, "revision",
							(json_int_t)c->revision,
							"deleted", 1));
	}
	return events;
}

static void watch_finish(struct watch *watch, json_t *events)
{
	struct platform_kv *kv = watch->kv;
	struct watch **link = &kv->watches;

	while (*link != watch)
		link = &(*link)->next;
	*link = watch->next;
	timer_stop(kv->loop, &watch->timer);
	fake_answer_json(kv->fake, watch->call, 200, NULL,
			 json_pack("{s:o,s:I}", "events", events, "as_of",
				   (json_int_t)kv->revision));
	free(watch);
}

static void on_watch_timer(struct timer *timer)
{
	watch_finish(timer->ctx, json_array());
}

static void notify_watches(struct platform_kv *kv)
{
	struct watch *watch = kv->watches;

	while (watch) {
		struct watch *next = watch->next;
		json_t *events = events_after(kv, watch->prefix, watch->after);

		if (json_array_size(events))
			watch_finish(watch, events);
		else
			json_decref(events);
		watch = next;
	}
}

static void history_append(struct platform_kv *kv, const char *key,
			   const char *value)
{
	struct change *c;

	if (kv->history_count == HISTORY_MAX) {
		uint32_t half = HISTORY_MAX / 2;

		kv->compacted_revision = kv->history[half - 1].revision;
		for (uint32_t i = 0; i < half; i++)
			free(kv->history[i].value);
		memmove(kv->history, kv->history + half,
			half * sizeof(*kv->history));
		kv->history_count = half;
	}
	kv->history = xrealloc(kv->history,
			       (kv->history_count + 1) * sizeof(*kv->history));
	c = &kv->history[kv->history_count++];
	*c = (struct change){ .revision = kv->revision,
			      .value = value ? strdup(value) : NULL };
	snprintf(c->key, sizeof(c->key), "%s", key);
}

static void item_put(struct platform_kv *kv, const char *key, const char *value,
		     uint64_t lease)
{
	struct item *item;

	HASH_FIND_STR(kv->items, key, item);
	if (!item) {
		item = xcalloc(1, sizeof(*item));
		snprintf(item->key, sizeof(item->key), "%s", key);
		item->created = kv->revision;
		HASH_ADD_STR(kv->items, key, item);
	}
	free(item->value);
	item->value = strdup(value);
	item->revision = kv->revision;
	item->lease = lease;
	history_append(kv, key, value);
}

static void item_remove(struct platform_kv *kv, const char *key)
{
	struct item *item;

	HASH_FIND_STR(kv->items, key, item);
	if (!item)
		return;
	history_append(kv, key, NULL);
	HASH_DEL(kv->items, item);
	free(item->value);
	free(item);
}

static void put_bytes(struct platform_kv *kv, const char *key,
		      const void *value, size_t len)
{
	char *encoded = pf_base64_encode(value, len);

	kv->revision++;
	item_put(kv, key, encoded, 0);
	free(encoded);
	notify_watches(kv);
}

/*
 * Writes a key on behalf of the operator or a minion. Takes the reference to
 * @value.
 */
void platform_kv_put(struct platform_kv *kv, const char *key, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	put_bytes(kv, key, text, strlen(text));
	free(text);
	json_decref(value);
}

/* Removes a key, if it exists. */
void platform_kv_remove(struct platform_kv *kv, const char *key)
{
	kv->revision++;
	item_remove(kv, key);
	notify_watches(kv);
}

static void unescape(char *s)
{
	char *out = s;

	for (; *s; s++) {
		char hex[3] = { 0 };

		if (*s == '%' && s[1] && s[2]) {
			memcpy(hex, s + 1, 2);
			*out++ = (char)strtoul(hex, NULL, 16);
			s += 2;
		} else {
			*out++ = *s;
		}
	}
	*out = '\0';
}

static void get_param(const struct fake_request *request, const char *name,
		      char *value)
{
	value[0] = '\0';
	httpd_query(&request->http, name, value, KEY_MAX);
	unescape(value);
}

static void handle_key(struct platform_kv *kv,
		       const struct fake_request *request)
{
	char key[KEY_MAX];
	struct item *item;
	json_t *body;

	get_param(request, "key", key);
	HASH_FIND_STR(kv->items, key, item);
	body = item ? item_json(item) : json_object();
	json_object_set_new(body, "as_of",
			    json_integer((json_int_t)kv->revision));
	fake_answer_json(kv->fake, request->id, item ? 200 : 404, NULL, body);
}

static int key_cmp(struct item *a, struct item *b)
{
	return strcmp(a->key, b->key);
}

static void handle_range(struct platform_kv *kv,
			 const struct fake_request *request)
{
	char prefix[KEY_MAX];
	char after[KEY_MAX];
	json_t *items = json_array();
	size_t bytes = 0;
	bool more = false;

	get_param(request, "prefix", prefix);
	get_param(request, "after", after);
	HASH_SORT(kv->items, key_cmp);
	for (struct item *item = kv->items; item; item = item->hh.next) {
		if (!has_prefix(item->key, prefix) ||
		    (after[0] && strcmp(item->key, after) <= 0))
			continue;
		bytes += strlen(item->key) + strlen(item->value);
		if (json_array_size(items) == PAGE_ITEMS ||
		    (bytes > PAGE_BYTES && json_array_size(items))) {
			more = true;
			break;
		}
		json_array_append_new(items, item_json(item));
	}
	fake_answer_json(kv->fake, request->id, 200, NULL,
			 json_pack("{s:o,s:b,s:I}", "items", items,
				   "more_pages", more, "as_of",
				   (json_int_t)kv->revision));
}

static void handle_watch(struct platform_kv *kv,
			 const struct fake_request *request)
{
	char text[KEY_MAX];
	struct watch *watch;
	uint64_t wait_ms;
	json_t *events;

	get_param(request, "after", text);
	watch = xcalloc(1, sizeof(*watch));
	watch->kv = kv;
	watch->call = request->id;
	watch->after = strtoull(text, NULL, 10);
	get_param(request, "prefix", watch->prefix);
	get_param(request, "wait_ms", text);
	wait_ms = strtoull(text, NULL, 10);
	if (watch->after < kv->compacted_revision) {
		fake_answer_error(kv->fake, request->id, 410, "compacted");
		free(watch);
		return;
	}
	watch->next = kv->watches;
	kv->watches = watch;
	watch->timer = (struct timer){ .fn = on_watch_timer, .ctx = watch };
	events = events_after(kv, watch->prefix, watch->after);
	if (json_array_size(events)) {
		watch_finish(watch, events);
		return;
	}
	json_decref(events);
	timer_start(kv->loop, &watch->timer,
		    wait_ms < WAIT_MAX_MS ? wait_ms : WAIT_MAX_MS);
}

static const char *get_string(const json_t *row, const char *name)
{
	const char *text = json_string_value(json_object_get(row, name));

	return text ? text : "";
}

static bool preconditions_met(struct platform_kv *kv, const json_t *expect,
			      json_t *found)
{
	bool ok = true;

	for (size_t i = 0; i < json_array_size(expect); i++) {
		const json_t *row = json_array_get(expect, i);
		const char *key = get_string(row, "key");
		json_int_t want =
			json_integer_value(json_object_get(row, "revision"));
		struct item *item;

		HASH_FIND_STR(kv->items, key, item);
		if ((item ? (json_int_t)item->revision : 0) != want)
			ok = false;
		json_array_append_new(found,
				      item ? item_json(item)
					   : json_pack("{s:s,s:i}", "key", key,
						       "revision", 0));
	}
	return ok;
}

static struct lease *lease_find(const struct platform_kv *kv, uint64_t id)
{
	for (uint32_t i = 0; i < kv->lease_count; i++) {
		if (kv->leases[i].id == id)
			return &kv->leases[i];
	}
	return NULL;
}

static bool lease_exists(const struct platform_kv *kv, uint64_t id)
{
	return !id || lease_find(kv, id);
}

static void commit(struct platform_kv *kv, const json_t *puts,
		   const json_t *removes)
{
	kv->revision++;
	kv->commits++;
	for (size_t i = 0; i < json_array_size(puts); i++) {
		const json_t *row = json_array_get(puts, i);

		item_put(kv, get_string(row, "key"), get_string(row, "value"),
			 (uint64_t)json_integer_value(
				 json_object_get(row, "lease")));
	}
	for (size_t i = 0; i < json_array_size(removes); i++)
		item_remove(kv, json_string_value(json_array_get(removes, i)));
}

static void on_late_write(struct timer *timer)
{
	struct late_write *late = timer->ctx;
	struct platform_kv *kv = late->kv;
	json_t *found = json_array();

	if (preconditions_met(kv, json_object_get(late->body, "expect"),
			      found)) {
		commit(kv, json_object_get(late->body, "puts"),
		       json_object_get(late->body, "remove"));
		notify_watches(kv);
	}
	json_decref(found);
	json_decref(late->body);
	free(late);
}

/* Takes the reference to @body. */
static void delay_write(struct platform_kv *kv, json_t *body)
{
	struct late_write *late = xcalloc(1, sizeof(*late));

	*late = (struct late_write){ .kv = kv, .body = body };
	late->timer = (struct timer){ .fn = on_late_write, .ctx = late };
	timer_start(kv->loop, &late->timer, kv->late_ms);
}

static void handle_txn(struct platform_kv *kv,
		       const struct fake_request *request)
{
	json_t *body =
		json_loadb(request->http.body, request->http.body_len, 0, NULL);
	const json_t *puts = json_object_get(body, "puts");
	json_t *found = json_array();

	if (kv->late_writes) {
		kv->late_writes--;
		delay_write(kv, json_incref(body));
		goto out;
	}

	for (size_t i = 0; i < json_array_size(puts); i++) {
		const json_t *row = json_array_get(puts, i);
		const json_t *lease = json_object_get(row, "lease");

		if (strlen(get_string(row, "value")) > VALUE_MAX_BASE64) {
			fake_answer_error(kv->fake, request->id, 400,
					  "value too large");
			goto out;
		}
		if (!lease_exists(kv, (uint64_t)json_integer_value(lease))) {
			fake_answer_error(kv->fake, request->id, 404,
					  "no such lease");
			goto out;
		}
	}
	if (!preconditions_met(kv, json_object_get(body, "expect"), found)) {
		kv->conflicts++;
		fake_answer_json(kv->fake, request->id, 412, NULL,
				 json_pack("{s:O}", "items", found));
		goto out;
	}
	commit(kv, puts, json_object_get(body, "remove"));
	fake_may_lose_answer(kv->fake, request->id);
	fake_answer_json(
		kv->fake, request->id, 200, NULL,
		json_pack("{s:I}", "revision", (json_int_t)kv->revision));
	notify_watches(kv);
out:
	json_decref(found);
	json_decref(body);
}

static void handle_lease_grant(struct platform_kv *kv,
			       const struct fake_request *request)
{
	json_t *body =
		json_loadb(request->http.body, request->http.body_len, 0, NULL);
	struct lease *lease;

	kv->leases =
		xrealloc(kv->leases, (kv->lease_count + 1) * sizeof(*lease));
	lease = &kv->leases[kv->lease_count++];
	lease->id = ++kv->last_lease_id;
	lease->ttl_ms =
		(uint32_t)json_integer_value(json_object_get(body, "ttl_ms"));
	lease->expires_ms = loop_now_ms() + lease->ttl_ms;
	fake_answer_json(kv->fake, request->id, 200, NULL,
			 json_pack("{s:I,s:I}", "lease", (json_int_t)lease->id,
				   "ttl_ms", (json_int_t)lease->ttl_ms));
	json_decref(body);
}

static void handle_lease_keepalive(struct platform_kv *kv,
				   const struct fake_request *request)
{
	uint64_t id =
		strtoull(request->http.path + strlen("/kv-keep/"), NULL, 10);
	struct lease *lease = lease_find(kv, id);

	if (!lease) {
		fake_answer_error(kv->fake, request->id, 404, "no such lease");
		return;
	}
	lease->expires_ms = loop_now_ms() + lease->ttl_ms;
	fake_answer_json(
		kv->fake, request->id, 200, NULL,
		json_pack("{s:I}", "ttl_ms", (json_int_t)lease->ttl_ms));
}

/* Removes a lease and the keys attached to it. */
static void lease_expire(struct platform_kv *kv, uint32_t at)
{
	uint64_t id = kv->leases[at].id;
	struct item *item;
	struct item *tmp;

	kv->leases[at] = kv->leases[--kv->lease_count];
	HASH_ITER(hh, kv->items, item, tmp)
	{
		if (item->lease == id)
			platform_kv_remove(kv, item->key);
	}
}

static void on_tick(struct timer *timer)
{
	struct platform_kv *kv = timer->ctx;
	uint64_t now = loop_now_ms();
	uint32_t i = 0;

	while (i < kv->lease_count) {
		if (now > kv->leases[i].expires_ms)
			lease_expire(kv, i);
		else
			i++;
	}
	timer_start(kv->loop, &kv->tick, LEASE_TICK_MS);
}

/*
 * Handles a write of the operator or of another writer: PUT /op?key=KEY with
 * the value, any bytes, as the body.
 */
static void handle_operator(struct platform_kv *kv,
			    const struct fake_request *request)
{
	char key[KEY_MAX];

	if (request->http.body_len > VALUE_MAX_BYTES) {
		fake_answer_error(kv->fake, request->id, 400,
				  "value too large");
		return;
	}
	get_param(request, "key", key);
	put_bytes(kv, key, request->http.body, request->http.body_len);
	fake_answer_json(
		kv->fake, request->id, 200, NULL,
		json_pack("{s:I}", "revision", (json_int_t)kv->revision));
}

/* Returns the holder, for tests: {"holder": "NAME ADDRESS NONCE"}. */
void platform_kv_holder(struct platform_kv *kv,
			const struct fake_request *request)
{
	struct item *item;
	char *text = NULL;
	size_t len;

	HASH_FIND_STR(kv->items, "jay/term/holder", item);
	if (item)
		text = pf_base64_decode(item->value, strlen(item->value), &len);
	fake_answer_json(kv->fake, request->id, 200, NULL,
			 json_pack("{s:s}", "holder", text ? text : ""));
	free(text);
}

/* Discards the history and ends all pending watches. */
static void compact(struct platform_kv *kv)
{
	for (uint32_t i = 0; i < kv->history_count; i++)
		free(kv->history[i].value);
	kv->history_count = 0;
	kv->compacted_revision = kv->revision;
	while (kv->watches)
		watch_finish(kv->watches, json_array());
}

/* Returns true while the store is away. */
bool platform_kv_is_away(const struct platform_kv *kv)
{
	return loop_now_ms() < kv->away_until;
}

/* Removes all leases with their keys, and the entries of the minions. */
static void lapse_all(struct platform_kv *kv)
{
	struct item *item;
	struct item *tmp;

	while (kv->lease_count)
		lease_expire(kv, 0);
	HASH_ITER(hh, kv->items, item, tmp)
	{
		if (has_prefix(item->key, ENTRY_PREFIX))
			platform_kv_remove(kv, item->key);
	}
}

/*
 * Ends the open calls, and drops all calls for @for_ms. Leases lapse or last
 * for as long again.
 */
static void go_away(struct platform_kv *kv, uint64_t for_ms, bool lapse)
{
	while (kv->watches) {
		struct watch *watch = kv->watches;

		kv->watches = watch->next;
		timer_stop(kv->loop, &watch->timer);
		fake_drop(kv->fake, watch->call);
		free(watch);
	}
	kv->away_until = loop_now_ms() + for_ms;
	if (lapse)
		lapse_all(kv);
	for (uint32_t i = 0; i < kv->lease_count; i++)
		kv->leases[i].expires_ms += for_ms;
}

/*
 * Injects a fault: {"compact": true}, {"away_ms": N, "lapse": BOOL} or
 * {"late_writes": N, "late_ms": M}. Returns false if @change names none of
 * these.
 */
bool platform_kv_fault(struct platform_kv *kv, const json_t *change)
{
	const json_t *late = json_object_get(change, "late_writes");
	const json_t *away = json_object_get(change, "away_ms");

	if (json_is_true(json_object_get(change, "compact"))) {
		compact(kv);
		return true;
	}
	if (json_is_integer(away)) {
		go_away(kv, (uint64_t)json_integer_value(away),
			json_is_true(json_object_get(change, "lapse")));
		return true;
	}
	if (!json_is_integer(late))
		return false;
	kv->late_writes = (uint32_t)json_integer_value(late);
	kv->late_ms = (uint32_t)json_integer_value(
		json_object_get(change, "late_ms"));
	return true;
}

/* Handles a request to the store. */
void platform_kv_handle(struct platform_kv *kv,
			const struct fake_request *request)
{
	const char *path = request->http.path;

	kv->calls++;
	if (platform_kv_is_away(kv))
		fake_drop(kv->fake, request->id);
	else if (!strcmp(path, "/kv-key"))
		handle_key(kv, request);
	else if (!strcmp(path, "/kv-range"))
		handle_range(kv, request);
	else if (!strcmp(path, "/kv-watch"))
		handle_watch(kv, request);
	else if (!strcmp(path, "/kv-txn"))
		handle_txn(kv, request);
	else if (!strcmp(path, "/kv-lease"))
		handle_lease_grant(kv, request);
	else if (!strncmp(path, "/kv-keep/", strlen("/kv-keep/")))
		handle_lease_keepalive(kv, request);
	else if (!strcmp(path, "/op"))
		handle_operator(kv, request);
	else
		fake_answer_error(kv->fake, request->id, 400, "unknown path");
}

/* Returns the revision and the counters as a new object. */
json_t *platform_kv_observe(const struct platform_kv *kv)
{
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:i}", "revision", (json_int_t)kv->revision,
		"calls", (json_int_t)kv->calls, "commits",
		(json_int_t)kv->commits, "conflicts", (json_int_t)kv->conflicts,
		"items", (int)HASH_COUNT(kv->items));
}

struct platform_kv *platform_kv_new(struct loop *loop)
{
	struct platform_kv *kv = xcalloc(1, sizeof(*kv));

	kv->loop = loop;
	kv->tick = (struct timer){ .fn = on_tick, .ctx = kv };
	return kv;
}

/* Sends replies through @fake and starts to expire leases. */
void platform_kv_open(struct platform_kv *kv, struct fake *fake)
{
	kv->fake = fake;
	timer_start(kv->loop, &kv->tick, LEASE_TICK_MS);
}
