/*
 * Tombstones: ids of jobs that were cancelled before they were in the store. A
 * write of such a job, or a copy of its request, may still be on its way, so a
 * job that is added under one of these ids is cancelled. They are kept in the
 * order in which they were added, which is that of the journal.
 */
#include <stdio.h>
#include <stdlib.h>

#include "cell/cell_int.h"

/* Tombstones at a time, some 2 MB of them. */
#define TOMBSTONES_MAX 8192
/*
 * Shortest time that one is kept: longer than a caller waits for its job to be
 * stored, 60 s, and a write is late.
 */
#define TOMBSTONE_MIN_MS 90000
/* The run of a record that a tombstone has expired. */
#define RUN_EXPIRED 1

struct cell_tombstone {
	char id[CELL_ID_MAX];
	uint64_t until_ms;
	struct cell_tombstone *next; /* while it is being freed */
	UT_hash_handle hh;
};

static uint64_t retention_ms(const struct cell *cell)
{
	return cell->settings.ended_job_ttl_ms > TOMBSTONE_MIN_MS
		       ? cell->settings.ended_job_ttl_ms
		       : TOMBSTONE_MIN_MS;
}

static struct cell_tombstone *tombstone_find(const struct cell *cell,
					     const char *id)
{
	struct cell_tombstone *t;

	HASH_FIND_STR(cell->tombstones, id, t);
	return t;
}

static void tombstone_remove(struct cell *cell, struct cell_tombstone *t)
{
	HASH_DEL(cell->tombstones, t);
	free(t);
}

/* Adds a tombstone, or moves it behind all others. */
static void tombstone_put(struct cell *cell, const char *id, uint64_t now_ms)
{
	struct cell_tombstone *t = tombstone_find(cell, id);

	if (t)
		HASH_DEL(cell->tombstones, t);
	else
		t = calloc(1, sizeof(*t));
	if (!t)
		abort();
	snprintf(t->id, sizeof(t->id), "%s", id);
	t->until_ms = now_ms + retention_ms(cell);
	HASH_ADD_STR(cell->tombstones, id, t);
}

/* Returns true if a job of that id was cancelled before it was stored. */
bool cell_tombstone_exists(const struct cell *cell, const char *id)
{
	return tombstone_find(cell, id) != NULL;
}

/*
 * Cancels a job that neither this cell nor the store has: should it be added
 * later, it does not run. Returns the sequence number of the record that has to
 * become durable before the cancel is acknowledged, or 0 if there are too many
 * tombstones; then *@wait_ms is the time until the first of them expires.
 */
uint64_t cell_cancel_absent(struct cell *cell, const char *id,
			    uint32_t *wait_ms, uint64_t now_ms)
{
	struct cell_tombstone *first = cell->tombstones;

	if (HASH_COUNT(cell->tombstones) >= TOMBSTONES_MAX &&
	    !tombstone_find(cell, id)) {
		*wait_ms = first->until_ms > now_ms
				   ? (uint32_t)(first->until_ms - now_ms)
				   : 0;
		return 0;
	}
	tombstone_put(cell, id, now_ms);
	cell_event(cell, &(struct cell_event){
				 .what = "job-tombstone",
				 .job = id,
				 .value = HASH_COUNT(cell->tombstones) });
	return cell_append_record(
		cell, &(struct cell_record){ .kind = CELL_RECORD_TOMBSTONE,
					     .job = id });
}

/*
 * Replays that a tombstone of an earlier term was added, when its time begins
 * anew, or has expired. If there are more than a term keeps, the first ones
 * have expired in a term whose last records are lost.
 */
void cell_tombstone_replay(struct cell *cell, const struct cell_record *record)
{
	struct cell_tombstone *t = tombstone_find(cell, record->job);

	if (record->run != RUN_EXPIRED)
		tombstone_put(cell, record->job, cell->started_ms);
	else if (t)
		tombstone_remove(cell, t);
	if (HASH_COUNT(cell->tombstones) > TOMBSTONES_MAX)
		tombstone_remove(cell, cell->tombstones);
}

/* Takes out the tombstones that end by then, as a list. */
static struct cell_tombstone *take_until(struct cell *cell, uint64_t until_ms)
{
	struct cell_tombstone *list = NULL;
	struct cell_tombstone *t;
	struct cell_tombstone *tmp;

	HASH_ITER(hh, cell->tombstones, t, tmp)
	{
		if (t->until_ms > until_ms)
			break;
		HASH_DEL(cell->tombstones, t);
		t->next = list;
		list = t;
	}
	return list;
}

static void list_free(struct cell_tombstone *list)
{
	while (list) {
		struct cell_tombstone *next = list->next;

		free(list);
		list = next;
	}
}

/*
 * Removes the tombstones whose time is over, also for a successor: a job that
 * is added under such an id from now on runs.
 */
void cell_tombstones_expire(struct cell *cell, uint64_t now_ms)
{
	struct cell_tombstone *list = take_until(cell, now_ms);

	for (const struct cell_tombstone *t = list; t; t = t->next)
		cell_append_record(cell, &(struct cell_record){
						 .kind = CELL_RECORD_TOMBSTONE,
						 .job = t->id,
						 .run = RUN_EXPIRED });
	list_free(list);
}

/* Passes the tombstones to @emit, for a successor. */
void cell_tombstones_snapshot(const struct cell *cell,
			      void (*emit)(void *ctx,
					   const struct cell_record *record),
			      void *ctx)
{
	struct cell_tombstone *t;
	struct cell_tombstone *tmp;

	HASH_ITER(hh, cell->tombstones, t, tmp)
	emit(ctx, &(struct cell_record){ .kind = CELL_RECORD_TOMBSTONE,
					 .job = t->id });
}

/* Returns the number of tombstones. */
uint32_t cell_tombstone_count(const struct cell *cell)
{
	return HASH_COUNT(cell->tombstones);
}

void cell_tombstones_free(struct cell *cell)
{
	list_free(take_until(cell, UINT64_MAX));
}
