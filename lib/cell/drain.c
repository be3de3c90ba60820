/*
 * Runs on a minion that is leaving. What cannot end there is stopped early and
 * goes on elsewhere: a task that lasts is away for a shorter time, and one that
 * saves its progress loses nothing, since a stop saves it once more.
 */
#include <string.h>

#include "cell/cell_int.h"

/* Time left on a draining minion that suffices for the end to be listed, in ms.
 */
#define LIST_MS 200

/* Returns how much longer the run takes, in ms; an estimate. */
static uint64_t time_left(const struct cell_run *run,
			  const struct cell_step_spec *spec, uint32_t percent,
			  uint64_t now_ms)
{
	uint64_t ran = now_ms - run->sent_ms;

	if (percent)
		return ran * (100 - percent) / percent;
	return spec->estimate_ms > ran ? spec->estimate_ms - ran : 0;
}

static bool has_to_move(const struct cell *cell, const struct cell_minion *m,
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
	left = time_left(run, step->spec, task->percent, now_ms);
	return now_ms + left + LIST_MS > until;
}

/* Stops the runs on a draining minion that go on elsewhere. */
void cell_minion_evacuate(struct cell *cell, struct cell_minion *m,
			  uint64_t now_ms)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		struct cell_run *run = &m->runs[i];
		struct cell_step *step;

		if (!has_to_move(cell, m, run, now_ms))
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
