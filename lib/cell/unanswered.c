/*
 * Starts without a response. A minion may carry them out seconds later, unless
 * their lease has ended or a stop of the run has arrived before. A minion that
 * restarts under the same id knows of neither, so the starts are stopped again
 * in its next life.
 */
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

/*
 * Handles the first report of another life of the minion: runs that may begin
 * there, and that the report does not show, are stopped. Their tasks are held
 * until a report after the stop shows neither the run nor its end.
 */
void cell_unanswered_stop(struct cell *cell, struct cell_minion *m,
			  uint64_t now_ms)
{
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
