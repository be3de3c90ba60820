/* Stand-in of the platform's store. */
#define _GNU_SOURCE
#include "stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_MAX 256
#define PAGE 500

struct item {
	char *key;
	char *value; /* base64 */
	uint64_t revision;
	uint64_t created;
	uint64_t lease;
};

struct change {
	uint64_t revision;
	char *key;
	char *value; /* NULL: deleted */
};

struct lease {
	uint64_t id;
	uint64_t ttl_ms;
	uint64_t until_ms;
};

struct watch {
	uint64_t call;
	char prefix[KEY_MAX];
	uint64_t after;
	uint64_t until_ms;
};

static struct item *items; /* by key */
static uint32_t item_count;
static struct change *changes;
static uint32_t change_count;
static struct lease *leases;
static uint32_t lease_count;
static uint64_t last_lease;
static struct watch *watches;
static uint32_t watch_count;
static uint64_t revision = 1;
static bool is_down;

static char *base64(const char *data)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				  "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(data);
	char *out = calloc(1, (len + 2) / 3 * 4 + 1);
	char *p = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)data[i] << 16;

		v |= i + 1 < len ? (uint32_t)(unsigned char)data[i + 1] << 8
				 : 0;
		v |= i + 2 < len ? (uint32_t)(unsigned char)data[i + 2] : 0;
		*p++ = set[v >> 18];
		*p++ = set[v >> 12 & 63];
		*p++ = i + 1 < len ? set[v >> 6 & 63] : '=';
		*p++ = i + 2 < len ? set[v & 63] : '=';
	}
	return out;
}

static uint32_t find_place(const char *key, bool *found)
{
	uint32_t low = 0;
	uint32_t high = item_count;

	*found = false;
	while (low < high) {
		uint32_t mid = (low + high) / 2;
		int c = strcmp(items[mid].key, key);

		if (!c) {
			*found = true;
			return mid;
		}
		if (c < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static struct item *find(const char *key)
{
	bool found;
	uint32_t at = find_place(key, &found);

	return found ? &items[at] : NULL;
}

static void add_change(const char *key, const char *value)
{
	changes = realloc(changes, (change_count + 1) * sizeof(*changes));
	changes[change_count++] =
		(struct change){ .revision = revision,
				 .key = strdup(key),
				 .value = value ? strdup(value) : NULL };
}

static void put(const char *key, const char *value, uint64_t lease)
{
	bool found;
	uint32_t at = find_place(key, &found);

	if (!found) {
		items = realloc(items, (item_count + 1) * sizeof(*items));
		memmove(items + at + 1, items + at,
			(item_count - at) * sizeof(*items));
		item_count++;
		items[at] = (struct item){ .key = strdup(key),
					   .created = revision };
	}
	free(items[at].value);
	items[at].value = strdup(value);
	items[at].revision = revision;
	items[at].lease = lease;
	add_change(key, value);
}

static void delete (const char *key)
{
	bool found;
	uint32_t at = find_place(key, &found);

	if (!found)
		return;
	add_change(key, NULL);
	free(items[at].key);
	free(items[at].value);
	item_count--;
	memmove(items + at, items + at + 1, (item_count - at) * sizeof(*items));
}

static json_t *item_json(const struct item *i)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", i->key, "value",
			 i->value, "revision", (json_int_t)i->revision,
			 "created", (json_int_t)i->created, "lease",
			 (json_int_t)i->lease);
}

static json_t *events_after(const char *prefix, uint64_t after)
{
	json_t *events = json_array();

	for (uint32_t i = change_count; i > 0; i--) {
		const struct change *c = &changes[i - 1];

		if (c->revision <= after)
			break;
		if (strncmp(c->key, prefix, strlen(prefix)) != 0)
			continue;
		json_array_insert_new(
			events, 0,
			c->value
				? json_pack("{s:s,s:s,s:I}", "key", c->key,
					    "value", c->value, "revision",
					    (json_int_t)c->revision)
				: json_pack("{s:s,s:I,s:b}", "key", c->key,
					    "revision", (json_int_t)c->revision,
					    "deleted", 1));
	}
	return events;
}

static void notify(uint64_t now)
{
	for (uint32_t i = 0; i < watch_count;) {
		struct watch *w = &watches[i];
		json_t *events = events_after(w->prefix, w->after);

		if (!call_is_open(w->call)) {
			json_decref(events);
			*w = watches[--watch_count];
		} else if (json_array_size(events) || now >= w->until_ms) {
			answer(w->call, 200,
			       json_pack("{s:o,s:I}", "events", events, "as_of",
					 (json_int_t)revision));
			*w = watches[--watch_count];
		} else {
			json_decref(events);
			i++;
		}
	}
}

/* Writes a key on behalf of the operator or a worker. */
void store_put(const char *key, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	char *encoded = base64(text);

	revision++;
	put(key, encoded, 0);
	free(encoded);
	free(text);
	json_decref(value);
	notify(now_ms());
}

void store_delete(const char *key)
{
	if (!find(key))
		return;
	revision++;
	delete (key);
	notify(now_ms());
}

/* Returns the base64 value of a key, or NULL; the caller frees it. */
char *store_get_text(const char *key)
{
	struct item *i = find(key);

	return i ? strdup(i->value) : NULL;
}

/* While the store is down, each call receives 503; leases pause. */
void store_set_down(bool down)
{
	static uint64_t since;

	is_down = down;
	if (down) {
		since = now_ms();
		drop_calls(PEER_STORE);
		return;
	}
	for (uint32_t i = 0; i < lease_count; i++)
		leases[i].until_ms += now_ms() - since;
}

static void handle_range(const struct request *r)
{
	char prefix[KEY_MAX];
	char after[KEY_MAX];
	json_t *page = json_array();
	bool more = false;

	query_get(r, "prefix", prefix, sizeof(prefix));
	query_get(r, "after", after, sizeof(after));
	for (uint32_t i = 0; i < item_count; i++) {
		if (strncmp(items[i].key, prefix, strlen(prefix)) != 0 ||
		    (after[0] && strcmp(items[i].key, after) <= 0))
			continue;
		if (json_array_size(page) == PAGE) {
			more = true;
			break;
		}
		json_array_append_new(page, item_json(&items[i]));
	}
	answer(r->call, 200,
	       json_pack("{s:o,s:b,s:I}", "items", page, "more_pages", more,
			 "as_of", (json_int_t)revision));
}

static void handle_watch(const struct request *r)
{
	char text[24];
	struct watch w = { .call = r->call };

	query_get(r, "prefix", w.prefix, sizeof(w.prefix));
	query_get(r, "after", text, sizeof(text));
	w.after = strtoull(text, NULL, 10);
	query_get(r, "wait_ms", text, sizeof(text));
	w.until_ms = now_ms() + strtoull(text, NULL, 10);
	watches = realloc(watches, (watch_count + 1) * sizeof(*watches));
	watches[watch_count++] = w;
	notify(now_ms());
}

static const char *text_of(const json_t *row, const char *name)
{
	const char *s = json_string_value(json_object_get(row, name));

	return s ? s : "";
}

static uint64_t number_of(const json_t *row, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(row, name));
}

static struct lease *find_lease(uint64_t id)
{
	for (uint32_t i = 0; i < lease_count; i++) {
		if (leases[i].id == id)
			return &leases[i];
	}
	return NULL;
}

static bool is_foreign(const char *key)
{
	return !strncmp(key, "op/", 3) || !strncmp(key, "servers/", 8);
}

static void handle_txn(const struct request *r)
{
	json_t *expect = json_object_get(r->body, "expect");
	json_t *puts = json_object_get(r->body, "puts");
	json_t *gone = json_object_get(r->body, "remove");
	json_t *row;
	size_t at;
	bool holds = true;
	int status = 200;

	json_array_foreach(expect, at, row)
	{
		struct item *i = find(text_of(row, "key"));

		holds &= (i ? i->revision : 0) == number_of(row, "revision");
	}
	json_array_foreach(puts, at, row)
	{
		uint64_t lease = number_of(row, "lease");

		if (is_foreign(text_of(row, "key")))
			status = 403;
		else if (lease && !find_lease(lease))
			status = 404;
	}
	if (status != 200) {
		answer(r->call, status, NULL);
		return;
	}
	if (!holds) {
		json_t *state = json_array();

		json_array_foreach(expect, at, row)
		{
			struct item *i = find(text_of(row, "key"));

			json_array_append_new(state,
					      i ? item_json(i)
						: json_pack("{s:s,s:i}", "key",
							    text_of(row, "key"),
							    "revision", 0));
		}
		answer(r->call, 412, json_pack("{s:o}", "items", state));
		return;
	}
	if (json_array_size(puts) || json_array_size(gone))
		revision++;
	json_array_foreach(puts, at, row)
		put(text_of(row, "key"), text_of(row, "value"),
		    number_of(row, "lease"));
	json_array_foreach(gone, at, row) delete (json_string_value(row));
	answer(r->call, 200,
	       json_pack("{s:I}", "revision", (json_int_t)revision));
	notify(now_ms());
}

static void handle_lease(const struct request *r)
{
	uint64_t ttl = number_of(r->body, "ttl_ms");

	if (ttl < 1000)
		ttl = 1000;
	leases = realloc(leases, (lease_count + 1) * sizeof(*leases));
	leases[lease_count++] = (struct lease){ .id = ++last_lease,
						.ttl_ms = ttl,
						.until_ms = now_ms() + ttl };
	answer(r->call, 200,
	       json_pack("{s:I,s:I}", "lease", (json_int_t)last_lease, "ttl_ms",
			 (json_int_t)ttl));
}

static void handle_keep(const struct request *r)
{
	struct lease *l = find_lease(strtoull(r->path + 9, NULL, 10));

	if (!l) {
		answer(r->call, 404, NULL);
		return;
	}
	l->until_ms = now_ms() + l->ttl_ms;
	answer(r->call, 200,
	       json_pack("{s:I}", "ttl_ms", (json_int_t)l->ttl_ms));
}

/* Handles a call to the store. */
void store_handle(const struct request *r)
{
	char key[KEY_MAX];
	struct item *i;
	json_t *body;

	if (is_down) {
		answer(r->call, 503, NULL);
	} else if (!strcmp(r->path, "/kv-key")) {
		query_get(r, "key", key, sizeof(key));
		i = find(key);
		body = i ? item_json(i) : json_object();
		json_object_set_new(body, "as_of",
				    json_integer((json_int_t)revision));
		answer(r->call, i ? 200 : 404, body);
	} else if (!strcmp(r->path, "/kv-range")) {
		handle_range(r);
	} else if (!strcmp(r->path, "/kv-watch")) {
		handle_watch(r);
	} else if (!strcmp(r->path, "/kv-txn")) {
		handle_txn(r);
	} else if (!strcmp(r->path, "/kv-lease")) {
		handle_lease(r);
	} else if (!strncmp(r->path, "/kv-keep/", 9)) {
		handle_keep(r);
	} else {
		answer(r->call, 400, NULL);
	}
}

static void lease_end(uint32_t at)
{
	uint64_t id = leases[at].id;
	bool any = false;

	leases[at] = leases[--lease_count];
	for (uint32_t i = 0; i < item_count;) {
		if (items[i].lease != id) {
			i++;
			continue;
		}
		if (!any)
			revision++;
		any = true;
		delete (items[i].key);
	}
}

/* Ends leases and watches whose time is up. */
void store_tick(uint64_t now)
{
	for (uint32_t i = 0; i < lease_count && !is_down;) {
		if (now >= leases[i].until_ms)
			lease_end(i);
		else
			i++;
	}
	notify(now);
}
