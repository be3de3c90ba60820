/* Snapshot: records of the current state that replace all older ones. */
#include <string.h>

#include "cell/cell_int.h"

struct snapshot_sink {
	void (*emit)(void *ctx, const struct cell_record *record);
	void *ctx;
};

static void emit_task(const struct snapshot_sink *e,
		      const struct cell_step *step, uint32_t index)
{
	const struct cell_task *task = &step->tasks[index];
	char name[CELL_TASK_MAX];

	cell_step_name(step, index, name);
	for (uint32_t i = 0; i < task->ended_count; i++) {
		const struct cell_ended_run *past = &task->ended[i];

		e->emit(e->ctx, &(struct cell_record){
					.kind = CELL_RECORD_END,
					.task = name,
					.run = past->run,
					.end = past->end,
					.checkpoint = task->checkpoint });
	}
	for (uint32_t i = 0; i < task->crash_count; i++) {
		struct cell_record record;

		cell_crash_record(&task->crashes[i], name, &record);
		e->emit(e->ctx, &record);
	}
}

/* Emits which occurrences are done: their tasks may have been freed. */
static void emit_occurrences(const struct snapshot_sink *e,
			     const struct cell_job *job)
{
	uint32_t end = 0;
	uint32_t from;

	while (numset_range(&job->occurrences_done, end, &from, &end))
		e->emit(e->ctx, &(struct cell_record){
					.kind = CELL_RECORD_OCCURRENCES,
					.job = job->spec.id,
					.run = (uint64_t)from << 32 | end });
}

static void emit_job(const struct snapshot_sink *e, const struct cell_job *job)
{
	if (job->state != CELL_JOB_QUEUED && job->state != CELL_JOB_RUNNING) {
		e->emit(e->ctx,
			&(struct cell_record){ .kind = CELL_RECORD_STATE,
					       .job = job->spec.id,
					       .run = job->state });
		return;
	}
	if (job->final_state == CELL_JOB_CANCELLED)
		e->emit(e->ctx,
			&(struct cell_record){ .kind = CELL_RECORD_CANCEL,
					       .job = job->spec.id });
	else if (job->final_state == CELL_JOB_FAILED)
		e->emit(e->ctx,
			&(struct cell_record){ .kind = CELL_RECORD_STATE,
					       .job = job->spec.id,
					       .run = CELL_JOB_FAILED });
	emit_occurrences(e, job);
	for (uint32_t i = 0; i < job->occurrence_count; i++) {
		if (!job->occurrences[i].steps_left && job->spec.repeat_count)
			continue;
		for (uint32_t s = 0; s < job->spec.step_count; s++) {
			const struct cell_step *step =
				&job->occurrences[i].steps[s];

			for (uint32_t t = 0; t < step->spec->count; t++)
				emit_task(e, step, t);
		}
	}
}

/*
 * Passes records to @emit that replay to the same state as all records so far.
 * Once they are durable, the earlier batches can be removed.
 */
void cell_snapshot(const struct cell *cell,
		   void (*emit)(void *ctx, const struct cell_record *record),
		   void *ctx)
{
	struct snapshot_sink e = { .emit = emit, .ctx = ctx };
	struct cell_job *job;
	struct cell_job *tmp;

	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_minion *m = cell->minions[i];

		if (m->used && (m->enrolled || m->enrolling))
			emit(ctx, &(struct cell_record){
					  .kind = CELL_RECORD_ENROLLED,
					  .minion = m->info.id,
					  .addr = m->info.addr });
	}
	HASH_ITER(hh, cell->jobs, job, tmp)
	emit_job(&e, job);
	cell_unanswered_snapshot(cell, emit, ctx);
	cell_former_starts_snapshot(cell, emit, ctx);
	cell_expired_snapshot(cell, emit, ctx);
	cell_tombstones_snapshot(cell, emit, ctx);
	cell_contain_snapshot(cell, emit, ctx);
}
