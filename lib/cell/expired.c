/*
 * Jobs whose status retention has expired while the store may still hold them.
 * Until their deletion is known to every reader of the store, a job that is
 * read again is not a new one, and a successor has to learn that it has ended.
 */
#include <stdio.h>
#include <stdlib.h>

#include "cell/cell_int.h"

static struct cell_expired *expired_find(const struct cell *cell,
					 const char *id)
{
	struct cell_expired *e;

	HASH_FIND_STR(cell->expired, id, e);
	return e;
}

static void list_free(struct cell_expired *e)
{
	while (e) {
		struct cell_expired *next = e->next;

		free(e);
		e = next;
	}
}

/* Remembers that a job has ended until cell_on_jobs_read() forgets it. */
void cell_expired_add(struct cell *cell, const struct cell_job *job)
{
	struct cell_expired *e = calloc(1, sizeof(*e));

	if (!e)
		abort();
	snprintf(e->id, sizeof(e->id), "%s", job->spec.id);
	e->state = job->state;
	HASH_ADD_STR(cell->expired, id, e);
}

/* Returns true if a job has ended and its status is no longer kept. */
bool cell_job_expired(const struct cell *cell, const char *id)
{
	return expired_find(cell, id) != NULL;
}

/* Handles that an expired job was deleted at that revision of the store. */
void cell_on_job_deleted(struct cell *cell, const char *id, uint64_t revision)
{
	struct cell_expired *e = expired_find(cell, id);

	if (!e)
		return;
	e->deleted = true;
	e->revision = revision;
}

/*
 * Handles that all jobs stored up to that revision have been read, by calls
 * from @sent_ms on. Expired jobs that were deleted by then cannot be read
 * again, and are forgotten.
 */
void cell_on_jobs_read(struct cell *cell, uint64_t revision, uint64_t sent_ms)
{
	struct cell_expired *forgotten = NULL;
	struct cell_expired *e;
	struct cell_expired *tmp;

	cell->jobs_read_ms = sent_ms;
	HASH_ITER(hh, cell->expired, e, tmp)
	{
		if (!e->deleted || e->revision > revision)
			continue;
		HASH_DEL(cell->expired, e);
		e->next = forgotten;
		forgotten = e;
	}
	list_free(forgotten);
}

/* Passes the final states of the expired jobs to @emit, as cell_snapshot(). */
void cell_expired_snapshot(const struct cell *cell,
			   void (*emit)(void *ctx,
					const struct cell_record *record),
			   void *ctx)
{
	struct cell_expired *e;
	struct cell_expired *tmp;

	HASH_ITER(hh, cell->expired, e, tmp)
	emit(ctx, &(struct cell_record){ .kind = CELL_RECORD_STATE,
					 .job = e->id,
					 .run = e->state });
}

void cell_expired_free(struct cell *cell)
{
	struct cell_expired *e;
	struct cell_expired *tmp;

	HASH_ITER(hh, cell->expired, e, tmp)
	e->deleted = true;
	cell_on_jobs_read(cell, UINT64_MAX, 0);
}
