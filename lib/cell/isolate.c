/*
 * Isolation of suspects, tasks that may have crashed a minion. Each starts on a
 * minion of its own: an empty one if there is one, else the one with the least
 * work, which takes no other start until the suspect has run for a while. A
 * crash then shows whether it is the cause, and takes little else with it. Few
 * minions are isolated at a time, so that suspects cannot take down many; those
 * with the fewest crashes go first, as they are the most likely to be innocent.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/* One minion in this many may be isolated for suspects. */
#define ISOLATION_SHARE 8
/* One in this many of those that run nothing may be isolated besides. */
#define IDLE_SHARE 2
/* How long a run in isolation keeps other starts from its minion, in ms. */
#define ISOLATED_RUN_MS 1000
/*
 * How long a reservation for a suspect lasts, in ms: longer than the interval
 * between two passes, which renew it.
 */
#define ISOLATION_RESERVED_MS 150
/*
 * A suspect that has waited this long for its minion to become empty starts
 * beside the runs that are left there, in ms.
 */
#define ISOLATION_WAIT_MS 1500

/* Returns true if the minion takes no starts but that of its suspect. */
static bool is_isolated(const struct cell_minion *m, uint64_t now_ms)
{
	return now_ms < m->isolated_until_ms;
}

/* Returns true if the minion is isolated for a task of another step. */
bool cell_minion_isolated_from(const struct cell_minion *m,
			       const struct cell_step *step, uint64_t now_ms)
{
	char prefix[CELL_TASK_MAX];

	if (!is_isolated(m, now_ms))
		return false;
	cell_step_name(step, 0, prefix);
	return strncmp(m->isolated_task, prefix, strlen(prefix) - 1) != 0;
}

/* Returns how many minions may be isolated at a time for jobs of a queue. */
static uint32_t isolation_limit(const struct cell *cell, const char *queue)
{
	uint32_t contained = cell_contain_isolation(cell, queue);
	uint32_t idle = 0;
	uint32_t n = 0;

	if (contained)
		return contained;
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_minion *m = cell->minions[i];

		n += m->used && m->listed;
		idle += m->used && m->listed && !m->run_count && !m->failing;
	}
	return (n < 2 * ISOLATION_SHARE ? 1 : n / ISOLATION_SHARE) +
	       idle / IDLE_SHARE;
}

/*
 * Returns how many minions are isolated, or are down under a run that was
 * started in isolation.
 */
static uint32_t isolation_count(const struct cell *cell, uint64_t now_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_minion *m = cell->minions[i];

		n += m->used &&
		     (is_isolated(m, now_ms) ||
		      (m->failing && m->isolated_task[0] && m->run_count));
	}
	return n;
}

/*
 * Selects the minion for a suspect: the one that is reserved for it, else an
 * empty one, else the one with the least CPU in use.
 */
static struct cell_candidate *select_isolated(struct cell_candidate *c,
					      uint32_t count, const char *task,
					      uint64_t now_ms)
{
	struct cell_candidate *best = NULL;

	for (uint32_t i = 0; i < count; i++) {
		const struct cell_minion *m = c[i].minion;

		if (!m->free_slots)
			continue;
		if (is_isolated(m, now_ms)) {
			if (!strcmp(m->isolated_task, task))
				return &c[i];
			continue;
		}
		if (!best || m->held.cpu_milli < best->minion->held.cpu_milli ||
		    (!m->run_count && best->minion->run_count))
			best = &c[i];
	}
	return best;
}

/*
 * Returns true if a suspect of the step may start: it has a reservation, or
 * another minion may be isolated.
 */
bool cell_isolation_possible(const struct cell *cell,
			     const struct cell_step *step, uint64_t now_ms)
{
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_minion *m = cell->minions[i];

		if (m->used && is_isolated(m, now_ms) &&
		    !cell_minion_isolated_from(m, step, now_ms))
			return true;
	}
	return isolation_count(cell, now_ms) <
	       isolation_limit(cell, step->job->spec.queue);
}

/* Returns true if all crashes of the tasks of the step are durable. */
bool cell_crashes_durable(const struct cell *cell, const struct cell_step *step)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].crash_seq > cell->durable_seq)
			return false;
	}
	return true;
}

/*
 * Returns the fewest crashes of a suspect of the step that waits for a start in
 * isolation, 0 if there is none.
 */
uint32_t cell_suspect_crashes(const struct cell_step *step)
{
	uint32_t fewest = 0;

	for (uint32_t i = 0; i < step->spec->count && step->crashes; i++) {
		const struct cell_task *task = &step->tasks[i];
		uint32_t n;

		if (step->spec->gang || task->state != CELL_TASK_READY ||
		    !cell_task_suspect(task))
			continue;
		n = cell_task_crashes(task);
		if (!fewest || n < fewest)
			fewest = n;
	}
	return fewest;
}

/* Returns true if all tasks of the step that have no run wait for isolation. */
bool cell_suspects_only(const struct cell_step *step)
{
	if (step->spec->gang || !step->crashes)
		return false;
	for (uint32_t i = 0; i < step->spec->count; i++) {
		const struct cell_task *task = &step->tasks[i];

		if (task->state == CELL_TASK_READY && !cell_task_suspect(task))
			return false;
	}
	return true;
}

static void isolate(struct cell_minion *m, const char *task, uint64_t until_ms)
{
	snprintf(m->isolated_task, sizeof(m->isolated_task), "%s", task);
	m->isolated_until_ms = until_ms;
}

/*
 * Starts a suspect on a minion of its own, or reserves one. Its crashes have to
 * be durable first: a successor has to know them.
 */
static void start_suspect(struct cell *cell, struct cell_step *step,
			  uint32_t index, struct cell_candidate *candidates,
			  uint32_t count, uint64_t now_ms)
{
	struct cell_task *task = &step->tasks[index];
	char name[CELL_TASK_MAX];
	struct cell_candidate *to;
	struct cell_minion *m;

	if (cell->durable_seq < task->crash_seq ||
	    cell_task_has_former_run(cell, step, index) ||
	    !cell_team_permits(cell, step, now_ms))
		return;
	cell_step_name(step, index, name);
	to = select_isolated(candidates, count, name, now_ms);
	if (!to)
		return;
	m = to->minion;
	if (!is_isolated(m, now_ms)) {
		if (isolation_count(cell, now_ms) >=
		    isolation_limit(cell, step->job->spec.queue))
			return;
		task->isolation_ms = now_ms;
	}
	if (m->run_count && now_ms < task->isolation_ms + ISOLATION_WAIT_MS) {
		isolate(m, name, now_ms + ISOLATION_RESERVED_MS);
		return;
	}
	isolate(m, name, now_ms + ISOLATED_RUN_MS);
	m->free_slots = 0;
	cell_task_start(cell, step, index, to, cell->next_run++, now_ms);
	m->runs[m->run_count - 1].isolated = true;
}

/*
 * Starts the suspects of a step that is no gang, each in isolation, and removes
 * isolated minions from the candidates for its other tasks.
 */
void cell_start_suspects(struct cell *cell, struct cell_step *step,
			 struct cell_candidate *candidates, uint32_t count,
			 uint64_t now_ms)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].state == CELL_TASK_READY &&
		    cell_task_suspect(&step->tasks[i]))
			start_suspect(cell, step, i, candidates, count, now_ms);
	}
	for (uint32_t i = 0; i < count; i++) {
		if (is_isolated(candidates[i].minion, now_ms))
			candidates[i].minion->free_slots = 0;
	}
}

/*
 * Isolates the minions of a gang with a suspect that is about to start. It
 * starts beside other runs, as it would wait long for so many empty minions;
 * its members then began last and get the blame for a crash.
 */
void cell_isolate_gang(struct cell_step *step, struct cell_minion *m,
		       uint64_t now_ms)
{
	char name[CELL_TASK_MAX];

	cell_step_name(step, 0, name);
	isolate(m, name, now_ms + ISOLATED_RUN_MS);
}
