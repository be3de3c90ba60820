/*
 * The platform's list of minions, as the holder knows it: read once in full,
 * then kept up to date by watches, as a full list of a large cell takes
 * much of the link of the holder.
 */
#include <stdlib.h>
#include <string.h>

#include "holder_int.h"
#include "platform/decode.h"

#define POLL_MS 600
#define READ_TIMEOUT_MS 2000
/* Also the time that a busy holder has to read the response. */
#define WATCH_WAIT_MS 1000
/* The list is read in full again after this, should a watch have missed one. */
#define RELIST_MS 10000
#define MINIONS_MAX 4096

struct listing {
	struct holder *h;
	struct cell_minion_info *infos;
	uint32_t count;
	bool in_flight;
	uint64_t poll_ms;
	uint64_t relist_ms;
	uint64_t revision;	/* watch position; 0: read in full */
	uint64_t read_revision; /* of the first page of a full read */
};

/* Returns the list of a new term, which is not read yet. */
struct listing *listing_new(struct holder *h)
{
	struct listing *l = xcalloc(1, sizeof(*l));

	l->h = h;
	return l;
}

/* Frees the list; no call may be in flight. */
void listing_free(struct listing *l)
{
	free(l->infos);
	free(l);
}

static void remove_minion(struct listing *l, const char *key)
{
	const char *id = key + strlen(PF_MINIONS_PREFIX);

	for (uint32_t i = 0; i < l->count; i++) {
		if (strcmp(l->infos[i].id, id) != 0)
			continue;
		l->infos[i] = l->infos[--l->count];
		return;
	}
}

static void add_minion(struct listing *l, const struct pf_item *item)
{
	struct err err = { 0 };

	if (l->count == MINIONS_MAX)
		return;
	l->infos = xrealloc(l->infos, (l->count + 1) * sizeof(*l->infos));
	if (pf_decode_minion(item->key, item->value, item->value_len,
			     &l->infos[l->count], &err))
		l->count++;
	else
		ev("entry-malformed", "key=%s revision=%llu", item->key,
		   (unsigned long long)item->revision);
}

/* Replaces the entries of @reply; a malformed entry names no minion. */
static void apply(struct listing *l, const struct pf_reply *reply)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		const struct pf_item *item = &reply->items[i];

		if (strncmp(item->key, PF_MINIONS_PREFIX,
			    strlen(PF_MINIONS_PREFIX)) != 0)
			continue;
		remove_minion(l, item->key);
		if (item->value)
			add_minion(l, item);
	}
}

static void read_page(struct listing *l, const char *after);

static void on_page(void *ctx, const struct pf_reply *reply)
{
	struct listing *l = ctx;
	struct holder *h = l->h;

	if (!holder_end_call(h))
		return;
	l->in_flight = false;
	if (reply->status != PF_OK) {
		ev("minions-unread", "status=%d after_ms=%u detail=\"%s\"",
		   reply->status, reply->elapsed_ms,
		   reply->error ? reply->error : "");
		return;
	}
	if (!l->read_revision)
		l->read_revision = reply->read_revision;
	apply(l, reply);
	if (reply->more && reply->count) {
		read_page(l, reply->items[reply->count - 1].key);
		return;
	}
	l->revision = l->read_revision;
	l->relist_ms = loop_now_ms() + RELIST_MS;
	cell_set_minions(h->cell, l->infos, l->count, loop_now_ms());
}

static void read_page(struct listing *l, const char *after)
{
	if (!after) {
		l->count = 0;
		l->read_revision = 0;
	}
	l->in_flight = true;
	l->h->calls_in_flight++;
	pf_range(l->h->d->store, PF_MINIONS_PREFIX, after, READ_TIMEOUT_MS,
		 on_page, l);
}

static void on_events(void *ctx, const struct pf_reply *reply)
{
	struct listing *l = ctx;
	struct holder *h = l->h;

	if (!holder_end_call(h))
		return;
	l->in_flight = false;
	if (reply->status != PF_OK) {
		/*
		 * A watch that timed out would have more to return the next
		 * time, so it is not repeated.
		 */
		l->revision = 0;
		if (reply->status == PF_COMPACTED ||
		    reply->status == PF_UNKNOWN)
			l->poll_ms = 0;
		return;
	}
	apply(l, reply);
	if (reply->read_revision > l->revision)
		l->revision = reply->read_revision;
	cell_set_minions(h->cell, l->infos, l->count, loop_now_ms());
}

/* Reads the list, or what has changed in it, if due. */
void listing_tick(struct listing *l, uint64_t now_ms)
{
	if (l->in_flight || now_ms < l->poll_ms)
		return;
	l->poll_ms = now_ms + POLL_MS;
	if (!l->revision || now_ms >= l->relist_ms) {
		read_page(l, NULL);
		return;
	}
	l->in_flight = true;
	l->h->calls_in_flight++;
	pf_watch(l->h->d->store, PF_MINIONS_PREFIX, l->revision, WATCH_WAIT_MS,
		 on_events, l);
}
