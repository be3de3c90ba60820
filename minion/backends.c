#include "backends.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

static struct backend *backend_find(struct backends *b, const char *id)
{
	for (uint32_t i = 0; i < b->count; i++) {
		if (b->items[i].used && !strcmp(b->items[i].id, id))
			return &b->items[i];
	}
	return NULL;
}

static struct backend *backend_add(struct backends *b, const char *id)
{
	struct backend *item = NULL;

	for (uint32_t i = 0; i < b->count && !item; i++) {
		if (!b->items[i].used)
			item = &b->items[i];
	}
	if (!item) {
		b->items =
			xrealloc(b->items, (b->count + 1) * sizeof(*b->items));
		item = &b->items[b->count];
		b->count++;
	}
	*item = (struct backend){ .used = true, .slot = SLOT_NO_MINION };
	memcpy(item->id, id, sizeof(item->id));
	return item;
}

/* Frees unlisted minions that have no requests in flight. */
static void backends_free_unlisted(struct backends *b)
{
	for (uint32_t i = 0; i < b->count; i++) {
		struct backend *item = &b->items[i];

		if (!item->used || item->listed || item->in_flight)
			continue;
		httpc_close_idle(b->httpc, item->addr);
		slot_remove_minion(b->slots, item->slot);
		item->used = false;
	}
}

/* Applies a new instance list; unlisted minions get no new requests. */
void backends_set(struct backends *b, const struct inst_list *list,
		  const struct entries *entries, uint64_t now)
{
	for (uint32_t i = 0; i < b->count; i++)
		b->items[i].listed = false;
	for (uint32_t i = 0; i < list->count; i++) {
		const struct instance *inst = &list->items[i];
		struct backend *item;

		if (inst->kind != INST_MINION)
			continue;
		item = backend_find(b, inst->id);
		if (!item)
			item = backend_add(b, inst->id);
		item->listed = true;
		item->listed_leaving = inst->leaving;
		item->slots = inst->slots;
		memcpy(item->addr, inst->addr, sizeof(item->addr));
		memcpy(item->upstream, inst->upstream, sizeof(item->upstream));
		item->slot = slot_set_minion(b->slots, item->id, inst->slots,
					     inst->connections, now);
	}
	backends_refresh(b, entries, now);
}

/*
 * Applies planned stops and closes idle connections to minions where more may
 * be open than the current share allows. Called once a second and when the
 * instance list or catalogue changes.
 */
void backends_refresh(struct backends *b, const struct entries *entries,
		      uint64_t now)
{
	uint64_t unix_s = (uint64_t)time(NULL);

	backends_free_unlisted(b);
	for (uint32_t i = 0; i < b->count; i++) {
		struct backend *item = &b->items[i];
		uint64_t stop_at;

		if (!item->used)
			continue;
		stop_at = entries_stop_at(entries, item->id);
		item->leaving =
			item->listed_leaving || (stop_at && stop_at <= unix_s);
		if (item->peak_in_flight >
		    slot_connections(b->slots, item->slot, now)) {
			httpc_close_idle(b->httpc, item->addr);
			item->peak_in_flight = item->in_flight;
		}
	}
}

/* Returns true if the instance list contains a minion. */
bool backends_any_listed(const struct backends *b)
{
	for (uint32_t i = 0; i < b->count; i++) {
		if (b->items[i].used && b->items[i].listed)
			return true;
	}
	return false;
}

static bool accepts_requests(const struct backend *item, const char *upstream)
{
	return item->used && item->listed && !item->leaving &&
	       !strcmp(item->upstream, upstream);
}

static uint32_t backend_limit(const struct backends *b,
			      const struct backend *item, uint64_t now)
{
	uint32_t limit = slot_limit(b->slots, item->slot, now);
	uint32_t connections = slot_connections(b->slots, item->slot, now);

	return limit < connections ? limit : connections;
}

/* Returns the capacity of the available minions of @upstream but @avoid. */
struct backend_capacity backends_capacity(const struct backends *b,
					  const char *upstream, uint32_t avoid,
					  uint64_t now)
{
	struct backend_capacity capacity = { 0 };

	for (uint32_t i = 0; i < b->count; i++) {
		const struct backend *item = &b->items[i];

		if (i == avoid || !accepts_requests(item, upstream) ||
		    health_state(&item->health, now) == HEALTH_EJECTED)
			continue;
		capacity.usable++;
		capacity.limit += backend_limit(b, item, now);
	}
	return capacity;
}

static bool is_less_loaded(const struct backend *a, const struct backend *b)
{
	return (uint64_t)a->in_flight * b->slots <
	       (uint64_t)b->in_flight * a->slots;
}

/*
 * Returns the index of the @nth candidate, counting from 0. Each candidate that
 * is skipped decrements @nth.
 */
static uint32_t nth_candidate(const struct backends *b, const char *upstream,
			      uint32_t avoid, enum health_state health,
			      uint32_t *nth, uint64_t now)
{
	for (uint32_t i = 0; i < b->count; i++) {
		const struct backend *item = &b->items[i];

		if (i == avoid || !accepts_requests(item, upstream) ||
		    health_state(&item->health, now) != health ||
		    item->in_flight >= backend_limit(b, item, now))
			continue;
		if (!*nth)
			return i;
		--*nth;
	}
	return BACKEND_NONE;
}

static uint32_t pick_by_health(const struct backends *b, const char *upstream,
			       uint32_t avoid, enum health_state health,
			       uint64_t random, uint64_t now)
{
	uint32_t remaining = UINT32_MAX;
	uint32_t count;
	uint32_t first;
	uint32_t second;
	uint32_t x;
	uint32_t y;

	nth_candidate(b, upstream, avoid, health, &remaining, now);
	count = UINT32_MAX - remaining;
	if (!count)
		return BACKEND_NONE;
	first = (uint32_t)(random >> 32) % count;
	x = nth_candidate(b, upstream, avoid, health, &(uint32_t){ first },
			  now);
	if (count == 1)
		return x;
	second = (uint32_t)random % (count - 1);
	second += second >= first;
	y = nth_candidate(b, upstream, avoid, health, &(uint32_t){ second },
			  now);
	return is_less_loaded(&b->items[y], &b->items[x]) ? y : x;
}

/*
 * Picks a minion of @upstream with a free slot, other than @avoid: the less
 * loaded of two random ones (power of two choices). With @probe, a minion whose
 * ejection has ended is preferred; otherwise it is used only if no healthy one
 * has a free slot. Returns BACKEND_NONE if there is none.
 */
uint32_t backends_pick(const struct backends *b, const char *upstream,
		       uint32_t avoid, bool probe, uint64_t random,
		       uint64_t now)
{
	enum health_state order[] = { HEALTH_OK, HEALTH_PROBE };
	uint32_t index;

	if (probe) {
		order[0] = HEALTH_PROBE;
		order[1] = HEALTH_OK;
	}
	index = pick_by_health(b, upstream, avoid, order[0], random, now);
	if (index == BACKEND_NONE)
		index = pick_by_health(b, upstream, avoid, order[1], random,
				       now);
	return index;
}

/* Counts a request sent to a minion. */
void backends_begin_request(struct backends *b, uint32_t index, uint64_t now)
{
	struct backend *item = &b->items[index];

	item->in_flight++;
	if (item->in_flight > item->peak_in_flight)
		item->peak_in_flight = item->in_flight;
	health_sent(&item->health, now);
}

/*
 * Counts the end of a request to a minion. The result updates the minion's
 * health if @count_result is set or a probe is in progress. Returns true if the
 * minion was ejected.
 */
bool backends_end_request(struct backends *b, uint32_t index, bool count_result,
			  bool ok, uint64_t now)
{
	struct backend *item = &b->items[index];

	item->in_flight--;
	if (!count_result && !item->health.probing)
		return false;
	return health_result(&item->health, ok, now);
}

/* Divides the queued requests of @upstream among its minions as slot demand. */
void backends_set_queued(struct backends *b, const char *upstream,
			 uint32_t queued, uint64_t now)
{
	uint32_t usable =
		backends_capacity(b, upstream, BACKEND_NONE, now).usable;
	uint32_t per_minion = usable ? (queued + usable - 1) / usable : 0;

	for (uint32_t i = 0; i < b->count; i++) {
		const struct backend *item = &b->items[i];

		if (!item->used || strcmp(item->upstream, upstream) != 0)
			continue;
		slot_set_use(b->slots, item->slot, item->in_flight,
			     accepts_requests(item, upstream) ? per_minion : 0);
	}
}
