/*
 * Tasks that must not be started, as a former run of them is being stopped on a
 * minion, or a start of them may still be carried out.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

static struct cell_detached *detached_find(const struct cell *cell,
					   const char *task)
{
	struct cell_detached *d;

	HASH_FIND_STR(cell->detached, task, d);
	return d;
}

/* Keeps the task from being started until cell_detached_remove(). */
void cell_detached_add(struct cell *cell, const char *task)
{
	struct cell_detached *d = detached_find(cell, task);

	if (!d) {
		d = calloc(1, sizeof(*d));
		if (!d)
			abort();
		snprintf(d->task, sizeof(d->task), "%s", task);
		HASH_ADD_STR(cell->detached, task, d);
	}
	d->runs++;
}

/*
 * Marks a run that is being stopped if it is not the present run of its task:
 * the task must not be started beside it.
 */
void cell_run_detach(struct cell *cell, struct cell_run *run)
{
	struct cell_step *step;
	const struct cell_task *task = cell_task_find(cell, run->task, &step);

	if (run->detached || !task ||
	    (task->state == CELL_TASK_ACTIVE && task->run == run->run))
		return;
	run->detached = true;
	cell_detached_add(cell, run->task);
}

/* Handles that a run which was marked is no longer on its minion. */
void cell_detached_remove(struct cell *cell, const char *task)
{
	struct cell_detached *d = detached_find(cell, task);

	cell->dirty = true;
	if (--d->runs)
		return;
	HASH_DEL(cell->detached, d);
	free(d);
}

/* Returns true if a former run or start of the task may still take effect. */
bool cell_task_has_former_run(const struct cell *cell,
			      const struct cell_step *step, uint32_t index)
{
	char name[CELL_TASK_MAX];

	if (!cell->detached)
		return false;
	cell_step_name(step, index, name);
	return detached_find(cell, name) != NULL;
}

void cell_detached_free(struct cell *cell)
{
	struct cell_detached *list = NULL;
	struct cell_detached *d;
	struct cell_detached *tmp;

	HASH_ITER(hh, cell->detached, d, tmp)
	{
		d->next = list;
		list = d;
	}
	HASH_CLEAR(hh, cell->detached);
	while (list) {
		d = list;
		list = d->next;
		free(d);
	}
}
