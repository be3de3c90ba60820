/*
 * Starts of earlier terms that had no response, as journalled. Their tasks wait
 * until they can no longer arrive.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/*
 * Keeps a start of an earlier term that had no response. A life that this term
 * has contacted rejects its token, but a later one may carry it out.
 */
void cell_former_start_add(struct cell *cell, const char *task, uint64_t run)
{
	struct cell_step *step;
	const struct cell_task *t = cell_task_find(cell, task, &step);
	struct cell_former_start *start;

	if (!t || cell_task_ended(t, run))
		return;
	cell_grow((void **)&cell->former_starts, &cell->former_start_capacity,
		  cell->former_start_count, sizeof(*cell->former_starts));
	start = &cell->former_starts[cell->former_start_count++];
	*start = (struct cell_former_start){ .run = run };
	snprintf(start->task, sizeof(start->task), "%s", task);
	cell_detached_add(cell, task);
}

static void former_start_remove(struct cell *cell, uint32_t at)
{
	cell_detached_remove(cell, cell->former_starts[at].task);
	cell->former_starts[at] =
		cell->former_starts[--cell->former_start_count];
}

/*
 * Handles that @run of the task is known: no earlier start may arrive, else
 * it would not have been started.
 */
void cell_former_start_over(struct cell *cell, const char *task, uint64_t run)
{
	uint32_t i = 0;

	while (i < cell->former_start_count) {
		const struct cell_former_start *start = &cell->former_starts[i];

		if (start->run <= run && !strcmp(start->task, task))
			former_start_remove(cell, i);
		else
			i++;
	}
}

/* Releases the tasks of former starts, which were sent before this term. */
void cell_former_starts_expire(struct cell *cell, uint64_t now_ms)
{
	if (now_ms <= cell->started_ms + CELL_LATE_ORDER_MS)
		return;
	while (cell->former_start_count)
		former_start_remove(cell, 0);
	free(cell->former_starts);
	cell->former_starts = NULL;
	cell->former_start_capacity = 0;
}

/* Passes the former starts to @emit, for a successor. */
void cell_former_starts_snapshot(const struct cell *cell,
				 void (*emit)(void *ctx,
					      const struct cell_record *record),
				 void *ctx)
{
	for (uint32_t i = 0; i < cell->former_start_count; i++)
		emit(ctx, &(struct cell_record){
				  .kind = CELL_RECORD_UNANSWERED,
				  .task = cell->former_starts[i].task,
				  .run = cell->former_starts[i].run });
}
