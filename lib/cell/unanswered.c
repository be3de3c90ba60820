/*
 * Starts without a response. A minion may carry them out seconds later, unless
 * their deadline has passed or a stop of the run has arrived before. A minion
 * that restarts under the same id knows of neither, so the starts are stopped
 * again in its next life, and their tasks wait until they can no longer arrive.
 */
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/*
 * Returns true if the run may be in a life of its minion of which a report was
 * requested at @sent_ms and does not show it: an earlier life had not
 * acknowledged its start by then.
 */
bool cell_run_may_begin(const struct cell_run *run, uint64_t sent_ms)
{
	return !run->acked_ms || run->acked_ms >= sent_ms;
}

/*
 * Marks the stops that were sent so far as void: they may have reached an
 * earlier life of the minion.
 */
void cell_run_void_stops(struct cell_run *run)
{
	run->stop_void = run->stop_in_flight;
	run->stop_acked_ms = 0;
	run->next_stop_ms = 0;
}

/* Returns a run that is kept by cell_unanswered_add(), or NULL. */
struct cell_run *cell_unanswered_find(struct cell_minion *m, const char *task,
				      uint64_t run)
{
	for (uint32_t i = 0; i < m->unanswered_count; i++) {
		struct cell_run *r = &m->unanswered[i];

		if (r->run == run && !strcmp(r->task, task))
			return r;
	}
	return NULL;
}

void cell_unanswered_remove(struct cell *cell, struct cell_minion *m,
			    struct cell_run *run)
{
	cell_detached_remove(cell, run->task);
	*run = m->unanswered[--m->unanswered_count];
}

/*
 * Returns true if a start can no longer run unseen on the minion: it is too old
 * to arrive, and a later report would show it. If there is none, a minion that
 * the platform lists may be cut off, and has the start until its lease ends.
 */
static bool start_is_over(const struct cell *cell, const struct cell_minion *m,
			  const struct cell_run *run, uint64_t now_ms)
{
	uint64_t last_ms = run->sent_ms + CELL_LATE_ORDER_MS;

	return now_ms > last_ms &&
	       (m->report_sent_ms > last_ms || !m->listed ||
		now_ms > last_ms + cell_longest_lease_ms(cell) +
				 cell->settings.stop_timeout_ms);
}

/* Releases the tasks of starts that can no longer take effect. */
void cell_unanswered_expire(struct cell *cell, struct cell_minion *m,
			    uint64_t now_ms)
{
	uint64_t last_ms;
	uint32_t i = 0;

	while (i < m->unanswered_count) {
		struct cell_run *run = &m->unanswered[i];

		if (start_is_over(cell, m, run, now_ms)) {
			cell_unanswered_remove(cell, m, run);
			continue;
		}
		last_ms = run->sent_ms + CELL_LATE_ORDER_MS;
		if (now_ms > last_ms &&
		    m->polls[m->latest_poll].sent_ms <= last_ms)
			m->poll_now = true;
		i++;
	}
}

/*
 * Keeps a run that is removed from its minion, as its start may still be
 * carried out by the next life of the minion. Its task is not started
 * meanwhile: nothing that is sent before the first contact with a life can stop
 * a start there. A ticket is valid in one life only, so that a start that
 * carries one is rejected in any other.
 */
void cell_unanswered_add(struct cell *cell, struct cell_minion *m,
			 const struct cell_run *run)
{
	if (run->ticket)
		return;
	cell_grow((void **)&m->unanswered, &m->unanswered_capacity,
		  m->unanswered_count, sizeof(*m->unanswered));
	m->unanswered[m->unanswered_count] = *run;
	m->unanswered[m->unanswered_count].detached = false;
	m->unanswered_count++;
	cell_detached_add(cell, run->task);
}

static struct cell_record unanswered_record(const struct cell_run *run)
{
	return (struct cell_record){ .kind = CELL_RECORD_UNANSWERED,
				     .task = run->task,
				     .run = run->run };
}

/* Journals that a start had no response: a successor holds its task as well. */
void cell_unanswered_record(struct cell *cell, struct cell_run *run,
			    uint64_t now_ms)
{
	struct cell_record record = unanswered_record(run);

	if (run->acked_ms || run->ticket)
		return;
	run->unanswered = true;
	cell_record_add(cell, &record, NULL, NULL, 0, now_ms);
}

/*
 * Handles that the minion has, or had, a run whose start may have been kept:
 * a start is carried out once.
 */
void cell_unanswered_begun(struct cell *cell, struct cell_minion *m,
			   const char *task, uint64_t run)
{
	struct cell_run *kept = cell_unanswered_find(m, task, run);

	if (kept)
		cell_unanswered_remove(cell, m, kept);
	cell_former_start_over(cell, task, run);
}

void cell_unanswered_free(struct cell *cell, struct cell_minion *m)
{
	while (m->unanswered_count)
		cell_unanswered_remove(cell, m, &m->unanswered[0]);
	free(m->unanswered);
	m->unanswered = NULL;
	m->unanswered_capacity = 0;
}

/* Passes the starts of this term without a response to @emit. */
void cell_unanswered_snapshot(const struct cell *cell,
			      void (*emit)(void *ctx,
					   const struct cell_record *record),
			      void *ctx)
{
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_minion *m = cell->minions[i];

		for (uint32_t k = 0; m->used && k < m->run_count; k++) {
			struct cell_record record =
				unanswered_record(&m->runs[k]);

			if (m->runs[k].unanswered && !m->runs[k].acked_ms)
				emit(ctx, &record);
		}
		for (uint32_t k = 0; k < m->unanswered_count; k++) {
			struct cell_record record =
				unanswered_record(&m->unanswered[k]);

			emit(ctx, &record);
		}
	}
}

/*
 * Returns true if an order to the minion, whose response may be missing, may
 * still arrive there.
 */
bool cell_order_may_arrive(const struct cell_minion *m, uint64_t now_ms)
{
	return m->deadline_sent_ms &&
	       now_ms <= m->deadline_sent_ms + CELL_LATE_ORDER_MS;
}

/* Keeps the task from being started elsewhere if it waits for a start. */
static void hold_task(struct cell *cell, const struct cell_minion *m,
		      const struct cell_run *run)
{
	struct cell_step *step;
	struct cell_task *task = cell_task_find(cell, run->task, &step);

	if (!task || task->state != CELL_TASK_READY || task->run != run->run ||
	    step->job->final_state != CELL_JOB_UNKNOWN)
		return;
	task->state = CELL_TASK_ACTIVE;
	task->minion = m->handle;
	step->tasks_active++;
}

/*
 * Handles the first report of another life of the minion: runs that may begin
 * there, and that the report does not show, are stopped. Their tasks are held
 * until a report after the stop shows neither the run nor its end.
 */
void cell_unanswered_stop(struct cell *cell, struct cell_minion *m,
			  uint64_t now_ms)
{
	cell_unanswered_expire(cell, m, now_ms);
	while (m->unanswered_count) {
		struct cell_run run = m->unanswered[0];
		struct cell_step *step;
		const struct cell_task *task =
			cell_task_find(cell, run.task, &step);
		struct cell_run *r;

		cell_unanswered_remove(cell, m, &m->unanswered[0]);
		if (cell_run_find(m, run.task, run.run) ||
		    (task && cell_task_ended(task, run.run)))
			continue;
		hold_task(cell, m, &run);
		r = cell_run_add(m, run.task, run.run, NULL, &run.held, now_ms);
		*r = run;
		cell->unknown_job_runs += r->job_unknown;
		cell_run_void_stops(r);
		cell_run_detach(cell, r);
	}
	for (uint32_t i = 0; i < m->run_count; i++) {
		struct cell_run *run = &m->runs[i];
		struct cell_step *step;

		if (run->acked_ms)
			continue;
		if (cell_task_find(cell, run->task, &step) && step->spec->gang)
			cell_gang_abort(cell, step, run->run, now_ms);
		else
			cell_run_stop(cell, m, run, now_ms);
	}
}
