/*
 * Evacuation of draining minions. Runs that cannot end in time are stopped
 * early and restarted elsewhere: a long-running task is down for a shorter
 * time, and a checkpointing task loses no progress, since a stop saves a
 * checkpoint.
 */
#include <string.h>

#include "cell/cell_int.h"

/* Time left on a draining minion that suffices to report an end, in ms. */
#define REPORT_MARGIN_MS 200

/* Returns the estimated remaining time of the run, in ms. */
static uint64_t time_left_ms(const struct cell_run *run,
			     const struct cell_step_spec *spec,
			     uint32_t percent, uint64_t now_ms)
{
	uint64_t ran = now_ms - run->sent_ms;

	if (percent)
		return ran * (100 - percent) / percent;
	return spec->estimate_ms > ran ? spec->estimate_ms - ran : 0;
}

static bool must_evacuate(const struct cell *cell, const struct cell_minion *m,
			  const struct cell_run *run, uint64_t now_ms)
{
	struct cell_step *step;
	const struct cell_task *task = cell_task_find(cell, run->task, &step);
	uint64_t until = m->drain_ms + m->info.remaining_ms;
	uint64_t left;

	if (!task || run->stopping || task->run != run->run)
		return false;
	if (step->spec->long_running)
		return true;
	if (!step->spec->checkpointing)
		return false;
	left = time_left_ms(run, step->spec, task->percent, now_ms);
	return now_ms + left + REPORT_MARGIN_MS > until;
}

/* Stops the runs on a draining minion that have to be restarted elsewhere. */
void cell_minion_evacuate(struct cell *cell, struct cell_minion *m,
			  uint64_t now_ms)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		struct cell_run *run = &m->runs[i];
		struct cell_step *step;

		if (!must_evacuate(cell, m, run, now_ms))
			continue;
		cell_event(cell, &(struct cell_event){
					 .what = "run-moved",
					 .task = run->task,
					 .minion = m->info.id,
					 .run = run->run,
					 .age_ms = now_ms - run->sent_ms,
					 .value = m->info.remaining_ms });
		cell_task_find(cell, run->task, &step);
		if (step->spec->gang)
			cell_gang_abort(cell, step, run->run, now_ms);
		else
			cell_run_stop(cell, m, run, now_ms);
	}
}
