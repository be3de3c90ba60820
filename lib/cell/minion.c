/* Minions: leases, reports, ends, and what is known after silence. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/* Next look after a failed one, in ms. */
#define RETRY_MS 200
/* Next look while ends wait to become durable, in ms. */
#define UNRECORDED_LOOK_MS 300
/* A silent minion that the platform does not list is asked less often. */
#define RETRY_SLOW_MS 1000
/* Clocks of minions may be slow by 2%; a lease lasts that much longer. */
#define CLOCK_SLOW_PERCENT 2
/* Added to the computed end of a lease, for rounding and late timers. */
#define LEASE_MARGIN_MS 60
/* An entry that is missing longer than this names a minion that has left. */
#define UNLISTED_MS 3000
/*
 * The platform lists every live minion about 2 s after its store is back, so a
 * minion of an earlier term that is missing longer has gone, in ms.
 */
#define GONE_MS 2500
/* Between two attempts to stop a run. */
#define STOP_RETRY_MS 300
/* A job that stays unknown this long does not exist any more, in ms. */
#define FOREIGN_MS 5000
/* Weight of earlier ends in the failure score of a minion. */
#define FAIL_DECAY 0.7
/* Three failures in a row with no success between them. */
#define FAIL_SUSPECT 2.1
/* How long a suspected minion gets no work. */
#define SUSPECT_MS 4000

static struct cell_minion *minion_get(const struct cell *cell, uint32_t handle,
				      const char *id)
{
	struct cell_minion *m;

	if (handle >= cell->minion_count)
		return NULL;
	m = cell->minions[handle];
	if (!m->used || (id && strcmp(m->info.id, id) != 0))
		return NULL;
	return m;
}

static struct cell_minion *minion_find(const struct cell *cell, const char *id)
{
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		if (cell->minions[i]->used &&
		    !strcmp(cell->minions[i]->info.id, id))
			return cell->minions[i];
	}
	return NULL;
}

static struct cell_minion *minion_new(struct cell *cell, const char *id)
{
	struct cell_minion *m = NULL;
	uint32_t life;
	uint32_t handle;

	for (uint32_t i = 0; i < cell->minion_count && !m; i++) {
		if (!cell->minions[i]->used)
			m = cell->minions[i];
	}
	if (!m) {
		uint32_t n = cell->minion_count + 1;

		cell->minions =
			realloc(cell->minions, n * sizeof(*cell->minions));
		m = calloc(1, sizeof(*m));
		if (!m || !cell->minions)
			abort();
		m->handle = cell->minion_count;
		cell->minions[cell->minion_count] = m;
		cell->minion_count = n;
	}
	life = m->life + 1;
	handle = m->handle;
	*m = (struct cell_minion){ .handle = handle,
				   .life = life,
				   .used = true };
	snprintf(m->info.id, sizeof(m->info.id), "%s", id);
	return m;
}

static void minion_free(struct cell_minion *m)
{
	free(m->runs);
	m->runs = NULL;
	m->run_count = 0;
	m->run_capacity = 0;
	m->used = false;
	m->life++;
}

struct cell_run *cell_run_find(struct cell_minion *m, const char *task,
			       uint64_t run)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		if (m->runs[i].run == run && !strcmp(m->runs[i].task, task))
			return &m->runs[i];
	}
	return NULL;
}

/*
 * Takes room for a run, until the run is known to have ended. @spec is NULL if
 * its job is not known.
 */
struct cell_run *cell_run_add(struct cell_minion *m, const char *task,
			      uint64_t run, const struct cell_step_spec *spec,
			      const struct cell_res *held, uint64_t now_ms)
{
	struct cell_run *r;

	cell_grow((void **)&m->runs, &m->run_capacity, m->run_count,
		  sizeof(*m->runs));
	r = &m->runs[m->run_count++];
	*r = (struct cell_run){
		.run = run,
		.held = *held,
		.sent_ms = now_ms,
		.fills = spec && spec->fills,
		.target_ms = spec ? spec->target_ms : 0,
	};
	snprintf(r->task, sizeof(r->task), "%s", task);
	m->held.cpu_milli += held->cpu_milli;
	m->held.mem_mb += held->mem_mb;
	m->held.gpu += held->gpu;
	return r;
}

/* Gives the room of a run back; the run is not on the minion any more. */
void cell_run_drop(struct cell *cell, struct cell_minion *m, uint32_t at)
{
	struct cell_run *r = &m->runs[at];

	m->held.cpu_milli -= r->held.cpu_milli;
	m->held.mem_mb -= r->held.mem_mb;
	m->held.gpu -= r->held.gpu;
	*r = m->runs[--m->run_count];
	cell->dirty = true;
}

/* Orders a run to stop; repeated until the minion has confirmed it. */
void cell_run_stop(struct cell *cell, struct cell_minion *m,
		   struct cell_run *run, uint64_t now_ms)
{
	struct cell_stop stop = { .minion = m->handle,
				  .addr = m->info.addr,
				  .minion_id = m->info.id,
				  .run = run->run };

	run->stopping = true;
	if (run->stop_in_flight || run->stopped_ms ||
	    now_ms < run->stop_after_ms)
		return;
	run->stop_in_flight = true;
	memcpy(stop.task, run->task, sizeof(stop.task));
	cell->owner->ops->stop(cell->owner, &stop);
}

/* Returns true if new runs may be started on the minion. */
bool cell_minion_usable(const struct cell *cell, const struct cell_minion *m,
			uint64_t now_ms)
{
	return m->used && m->listed && m->enrolled && m->reached &&
	       !m->failing && !m->info.draining && cell->valid &&
	       now_ms >= m->suspect_until_ms;
}

static uint64_t minion_clock(const struct cell_minion *m, uint64_t now_ms)
{
	return m->anchor_clock_ms + (now_ms - m->anchor_ms);
}

/* Extends the lease of the minion; returns its new end on the minion's clock.
 */
uint64_t cell_minion_deadline(struct cell *cell, struct cell_minion *m,
			      uint64_t now_ms)
{
	uint64_t deadline = minion_clock(m, now_ms) + cell->settings.lease_ms;
	uint64_t span = deadline - m->anchor_clock_ms;
	uint64_t until =
		m->anchor_ms + span +
		span * CLOCK_SLOW_PERCENT / (100 - CLOCK_SLOW_PERCENT) +
		LEASE_MARGIN_MS;

	if (until > m->lease_until_ms)
		m->lease_until_ms = until;
	return deadline;
}

/*
 * Fills the request of the next look at a minion. Returns false if the minion
 * is not held any more.
 */
bool cell_hold_request(struct cell *cell, uint32_t minion,
		       struct cell_hold *out, uint64_t now_ms)
{
	struct cell_minion *m = minion_get(cell, minion, NULL);

	if (!m)
		return false;
	*out = (struct cell_hold){ .addr = m->info.addr, .id = m->info.id };
	if (!m->reached || m->failing) {
		m->look_now = false;
		return true;
	}
	out->observed = m->observed;
	if (m->observed == m->seen && !m->look_now)
		out->wait_ms = cell_minion_look_wait(cell, m);
	m->look_now = false;
	if (cell->valid && m->clock_known)
		out->deadline_ms = cell_minion_deadline(cell, m, now_ms);
	return true;
}

static void enroll(struct cell *cell, struct cell_minion *m, uint64_t now_ms)
{
	if (m->enrolled || m->enrolling)
		return;
	m->enrolling = true;
	cell_record_add(cell,
			&(struct cell_record){ .kind = CELL_RECORD_ENROLLED,
					       .minion = m->info.id,
					       .addr = m->info.addr },
			NULL, m, 0, now_ms);
}

/* Nothing runs on the minion, and nothing that was ordered can start there. */
static void settle(struct cell *cell, struct cell_minion *m, const char *why,
		   uint64_t now_ms)
{
	while (m->run_count) {
		struct cell_run run = m->runs[0];

		cell_run_drop(cell, m, 0);
		cell_task_release(cell, run.task, run.run, now_ms);
	}
	if (m->inherited) {
		m->inherited = false;
		cell->unsettled--;
	}
	if (m->enrolled || m->enrolling)
		cell_record_add(
			cell,
			&(struct cell_record){ .kind = CELL_RECORD_SETTLED,
					       .minion = m->info.id },
			NULL, NULL, 0, now_ms);
	m->enrolled = false;
	m->enrolling = false;
	m->reached = false;
	m->clock_known = false;
	m->lease_until_ms = 0;
	/* Ends and confirmations of this life are void. */
	m->life++;
	m->seen = 0;
	m->observed = 0;
	cell->dirty = true;
	cell_event(cell, &(struct cell_event){ .what = "minion-settled",
					       .minion = m->info.id,
					       .detail = why });
}

static void merge_info(struct cell *cell, struct cell_minion *m,
		       const struct cell_minion_info *info, uint64_t now_ms)
{
	if (m->info.draining != info->draining)
		cell_event(cell,
			   &(struct cell_event){ .what = "minion-draining",
						 .minion = info->id,
						 .value = info->draining });
	if (!info->draining)
		m->drain_ms = 0;
	else if (!m->drain_ms)
		m->drain_ms = now_ms;
	m->info = *info;
	m->listed = true;
}

/*
 * Takes a complete listing of the minions. One that is missing gets no new
 * work; what runs on it goes on while it answers.
 */
void cell_set_minions(struct cell *cell, const struct cell_minion_info *infos,
		      uint32_t count, uint64_t now_ms)
{
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		struct cell_minion *m = cell->minions[i];

		if (m->listed) {
			m->listed = false;
			m->unlisted_ms = now_ms;
		}
	}
	for (uint32_t i = 0; i < count; i++) {
		struct cell_minion *m = minion_find(cell, infos[i].id);

		if (!m) {
			m = minion_new(cell, infos[i].id);
			m->look_at_ms = now_ms;
			cell_event(cell, &(struct cell_event){
						 .what = "minion-new",
						 .minion = infos[i].id });
		}
		merge_info(cell, m, &infos[i], now_ms);
	}
	if (!cell->minions_listed)
		cell->first_listed_ms = now_ms;
	cell->minions_listed = true;
	cell->dirty = true;
}

/* A minion that an earlier term may have started work on. */
struct cell_minion *cell_minion_inherit(struct cell *cell, const char *id,
					const char *addr)
{
	struct cell_minion *m = minion_find(cell, id);

	if (!m) {
		m = minion_new(cell, id);
		snprintf(m->info.addr, sizeof(m->info.addr), "%s", addr);
	}
	if (!m->inherited) {
		m->inherited = true;
		cell->unsettled++;
	}
	m->enrolled = true;
	m->settle_ms = cell->started_ms + cell->settings.predecessor_ms;
	m->look_at_ms = cell->started_ms;
	return m;
}

void cell_minion_forget(struct cell *cell, const char *id)
{
	struct cell_minion *m = minion_find(cell, id);

	if (!m)
		return;
	if (m->inherited)
		cell->unsettled--;
	minion_free(m);
}

static void minion_succeeded(struct cell_minion *m)
{
	m->fail_score *= FAIL_DECAY;
}

static void minion_failed(struct cell *cell, struct cell_minion *m,
			  uint64_t now_ms)
{
	m->fail_score = m->fail_score * FAIL_DECAY + 1;
	if (m->fail_score < FAIL_SUSPECT)
		return;
	m->suspect_until_ms = now_ms + SUSPECT_MS;
	m->fail_score = FAIL_SUSPECT / 2;
	cell_event(cell, &(struct cell_event){ .what = "minion-suspected",
					       .minion = m->info.id });
}

static void take_end(struct cell *cell, struct cell_minion *m,
		     const struct cell_ended *end, uint64_t now_ms)
{
	struct cell_run *run = cell_run_find(m, end->task, end->run);
	struct cell_record record = { .kind = CELL_RECORD_END,
				      .task = end->task,
				      .run = end->run,
				      .end = end->end,
				      .saved = end->saved,
				      .minion = m->info.id };
	struct cell_task_name name;
	struct cell_job *job = NULL;
	uint64_t lasted = run ? now_ms - run->sent_ms : 0;

	m->seen = end->number;
	cell->stats.ends[end->end]++;
	if (run)
		cell_run_drop(cell, m, (uint32_t)(run - m->runs));
	if (end->end == CELL_END_DONE)
		minion_succeeded(m);
	else if (end->end == CELL_END_FAILED)
		minion_failed(cell, m, now_ms);
	if (!cell_end_apply(cell, end, m->handle, now_ms)) {
		cell_observe(cell, m, end->number);
		return;
	}
	cell_event(cell,
		   &(struct cell_event){ .what = "run-ended",
					 .task = end->task,
					 .minion = m->info.id,
					 .run = end->run,
					 .detail = cell_end_name(end->end),
					 .age_ms = lasted });
	if (cell_task_parse(end->task, &name))
		job = cell_job_find(cell, name.job);
	if (job)
		job->unrecorded++;
	cell_record_add(cell, &record, job ? name.job : NULL, m, end->number,
			now_ms);
}

/*
 * Takes the new ends in their order. The end of a job that is not known yet
 * holds up the ones after it: once observed, the minion would forget it.
 */
static void take_ends(struct cell *cell, struct cell_minion *m,
		      const struct cell_report *report, uint64_t now_ms)
{
	for (uint32_t i = 0; i < report->ended_count; i++) {
		const struct cell_ended *end = &report->ended[i];

		if (end->number <= m->seen)
			continue;
		if (!cell_step_spec_find(cell, end->task)) {
			if (!m->unknown_ms)
				m->unknown_ms = now_ms;
			if (now_ms < m->unknown_ms + FOREIGN_MS)
				return;
		}
		m->unknown_ms = 0;
		take_end(cell, m, end, now_ms);
	}
}

/*
 * What a listed run takes: as its job says, also when that job has ended. A run
 * of a job that is not known may take all that is left.
 */
static struct cell_res listed_need(const struct cell *cell,
				   const struct cell_minion *m,
				   const char *task, bool *known)
{
	const struct cell_step_spec *spec = cell_step_spec_find(cell, task);
	struct cell_res rest = m->info.capacity;

	*known = spec != NULL;
	if (spec)
		return cell_step_held(spec);
	rest.cpu_milli -= m->held.cpu_milli;
	rest.mem_mb -= m->held.mem_mb;
	rest.gpu -= m->held.gpu;
	return rest;
}

/* A run that this term did not start, or that it believed to have ended. */
static void adopt(struct cell *cell, struct cell_minion *m,
		  const struct cell_running *row, uint64_t now_ms)
{
	bool known;
	struct cell_res held = listed_need(cell, m, row->task, &known);
	struct cell_step *step;
	struct cell_task *task = cell_task_find(cell, row->task, &step);
	struct cell_run *run;

	run = cell_run_add(m, row->task, row->run,
			   cell_step_spec_find(cell, row->task), &held, now_ms);
	run->acked_ms = now_ms;
	run->seen = true;
	run->load = row->load;
	run->pace = CELL_PACE_UNKNOWN;
	run->foreign = !known;
	if (!known)
		return;
	if (task && task->state == CELL_TASK_READY &&
	    step->job->final == CELL_JOB_UNKNOWN &&
	    !cell_task_ended(task, row->run) && row->run >= task->run) {
		task->state = CELL_TASK_ACTIVE;
		task->run = row->run;
		task->minion = m->handle;
		task->progress_ms = now_ms;
		step->active++;
		cell_job_begun(step->job);
		return;
	}
	cell_event(cell, &(struct cell_event){ .what = "run-unwanted",
					       .task = row->task,
					       .minion = m->info.id,
					       .run = row->run });
	cell_run_stop(cell, m, run, now_ms);
}

static void take_running(struct cell *cell, struct cell_minion *m,
			 const struct cell_running *row, uint64_t now_ms)
{
	struct cell_run *run = cell_run_find(m, row->task, row->run);
	struct cell_step *step;
	struct cell_task *task = cell_task_find(cell, row->task, &step);

	if (run && run->foreign && cell_step_spec_find(cell, row->task)) {
		cell_run_drop(cell, m, (uint32_t)(run - m->runs));
		run = NULL;
	}
	if (!run) {
		adopt(cell, m, row, now_ms);
	} else {
		run->seen = true;
		run->load = row->load;
		if (run->foreign && now_ms > run->sent_ms + FOREIGN_MS)
			cell_run_stop(cell, m, run, now_ms);
		if (!run->acked_ms)
			run->acked_ms = now_ms;
	}
	if (task)
		cell_job_begun(step->job);
	if (!task || task->run != row->run)
		return;
	if (row->percent != task->percent) {
		task->percent = (uint8_t)row->percent;
		task->progress_ms = now_ms;
	}
	if (row->saved && row->saved[0] &&
	    (!task->saved || strcmp(task->saved, row->saved) != 0)) {
		free(task->saved);
		task->saved = strdup(row->saved);
	}
}

/*
 * Drops the runs that the minion does not list, if their last order was
 * answered before the report was asked for: they have ended or never began.
 */
static void drop_missing(struct cell *cell, struct cell_minion *m,
			 uint64_t sent_ms, uint64_t now_ms)
{
	uint32_t i = 0;

	while (i < m->run_count) {
		struct cell_run run = m->runs[i];
		uint64_t known = run.stopped_ms ? run.stopped_ms : run.acked_ms;

		if (run.seen || !known || known >= sent_ms) {
			i++;
			continue;
		}
		cell_run_drop(cell, m, i);
		cell_event(cell, &(struct cell_event){ .what = "run-missing",
						       .task = run.task,
						       .minion = m->info.id,
						       .run = run.run });
		cell_task_release(cell, run.task, run.run, now_ms);
	}
}

static void first_report(struct cell *cell, struct cell_minion *m,
			 uint64_t now_ms)
{
	m->reached = true;
	if (m->inherited) {
		m->inherited = false;
		cell->unsettled--;
	}
	enroll(cell, m, now_ms);
	cell->dirty = true;
}

/* Takes the answer to a look that was sent at @sent_ms. */
void cell_on_report(struct cell *cell, uint32_t minion, const char *id,
		    const struct cell_report *report, uint64_t sent_ms,
		    uint64_t now_ms)
{
	struct cell_minion *m = minion_get(cell, minion, id);

	if (!m)
		return;
	m->looks -= m->looks > 0;
	if (m->born_unix_ms && report->born_unix_ms &&
	    m->born_unix_ms != report->born_unix_ms)
		settle(cell, m, "another life", now_ms);
	if (report->born_unix_ms)
		m->born_unix_ms = report->born_unix_ms;
	m->failing = false;
	m->clock_known = true;
	m->anchor_clock_ms = report->clock_ms;
	m->anchor_ms = now_ms;
	for (uint32_t i = 0; i < m->run_count; i++)
		m->runs[i].seen = false;
	take_ends(cell, m, report, now_ms);
	for (uint32_t i = 0; i < report->running_count; i++)
		take_running(cell, m, &report->running[i], now_ms);
	drop_missing(cell, m, sent_ms, now_ms);
	cell_minion_pace(cell, m, now_ms);
	if (!m->reached)
		first_report(cell, m, now_ms);
	m->look_at_ms = now_ms;
	if (m->observed != m->seen || m->unknown_ms)
		m->look_at_ms += UNRECORDED_LOOK_MS;
}

/* A look had no answer, or was answered by another incarnation. */
void cell_on_hold_failed(struct cell *cell, uint32_t minion, const char *id,
			 enum cell_result result, uint64_t now_ms)
{
	struct cell_minion *m = minion_get(cell, minion, id);

	if (!m)
		return;
	m->looks -= m->looks > 0;
	m->look_at_ms = now_ms;
	if (m->failing || !m->reached)
		m->look_at_ms += m->listed ? RETRY_MS : RETRY_SLOW_MS;
	if (result == CELL_OTHER_LIFE) {
		if (m->enrolled || m->run_count || m->inherited)
			settle(cell, m, "replaced", now_ms);
		m->failing = true;
		m->look_at_ms = now_ms + RETRY_SLOW_MS;
		return;
	}
	if (!m->failing)
		cell_event(cell, &(struct cell_event){ .what = "minion-silent",
						       .minion = m->info.id });
	m->failing = true;
}

static void start_rejected(struct cell *cell, struct cell_minion *m,
			   struct cell_run *run, enum cell_result result,
			   uint64_t now_ms)
{
	struct cell_run copy = *run;
	struct cell_step *step;
	struct cell_task *task = cell_task_find(cell, copy.task, &step);
	struct cell_grant *grant;

	cell->stats.rejected++;
	if (task && result == CELL_REJECTED_TICKET) {
		grant = cell_grant_find(step, m->handle);
		if (grant)
			grant->until_ms = 0;
	}
	cell_run_drop(cell, m, (uint32_t)(run - m->runs));
	cell_task_release(cell, copy.task, copy.run, now_ms);
	if (task && step->spec->gang)
		cell_gang_abort(cell, step, copy.run, now_ms);
}

/* Takes the answer to a start. */
void cell_on_start(struct cell *cell, uint32_t minion, const char *task,
		   uint64_t run, enum cell_result result, uint64_t now_ms)
{
	struct cell_minion *m = minion_get(cell, minion, NULL);
	struct cell_run *r = m ? cell_run_find(m, task, run) : NULL;
	struct cell_step *step;

	if (!r)
		return;
	if (result == CELL_OK) {
		if (!r->acked_ms)
			r->acked_ms = now_ms;
		if (cell_task_find(cell, task, &step))
			cell_job_begun(step->job);
		return;
	}
	cell_event(cell, &(struct cell_event){ .what = "start-unanswered",
					       .task = task,
					       .minion = m->info.id,
					       .run = run,
					       .value = (uint64_t)result });
	if (result != CELL_NO_ANSWER) {
		if (result == CELL_NOT_SENT || result == CELL_OTHER_LIFE)
			m->failing = true;
		start_rejected(cell, m, r, result, now_ms);
		return;
	}
	/*
	 * It may run, or be carried out later. A stop of a run that has not
	 * begun makes the minion reject its start.
	 */
	if (cell_task_find(cell, task, &step) && step->spec->gang)
		cell_gang_abort(cell, step, run, now_ms);
	else
		cell_run_stop(cell, m, r, now_ms);
}

/* Takes the answer to a stop. */
void cell_on_stop(struct cell *cell, uint32_t minion, const char *task,
		  uint64_t run, enum cell_result result, uint64_t now_ms)
{
	struct cell_minion *m = minion_get(cell, minion, NULL);
	struct cell_run *r = m ? cell_run_find(m, task, run) : NULL;

	(void)cell;
	if (!r)
		return;
	r->stop_in_flight = false;
	if (result == CELL_OK) {
		r->stopped_ms = now_ms;
		/* The report of a later look tells whether it ever began. */
		m->look_now |= !r->acked_ms;
	} else {
		r->stop_after_ms = now_ms + STOP_RETRY_MS;
	}
}

static void tick_runs(struct cell *cell, struct cell_minion *m, uint64_t now_ms)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		struct cell_run *run = &m->runs[i];

		if (run->stopping && !m->failing)
			cell_run_stop(cell, m, run, now_ms);
	}
}

static void tick_minion(struct cell *cell, struct cell_minion *m,
			uint64_t now_ms)
{
	bool leased = now_ms < m->lease_until_ms;

	if (m->failing && m->enrolled && !leased && !m->inherited)
		settle(cell, m, "lease ended", now_ms);
	if (m->inherited && now_ms >= m->settle_ms)
		settle(cell, m, "leases of earlier terms ended", now_ms);
	else if (m->inherited && !m->listed && cell->minions_listed &&
		 now_ms > cell->first_listed_ms + GONE_MS)
		settle(cell, m, "not listed", now_ms);
	if (!m->listed && cell->minions_listed && !m->run_count &&
	    !m->inherited && now_ms > m->unlisted_ms + UNLISTED_MS) {
		if (m->enrolled)
			settle(cell, m, "left", now_ms);
		if (!m->looks) {
			minion_free(m);
			return;
		}
	}
	if (m->drain_ms && cell->valid)
		cell_minion_evacuate(cell, m, now_ms);
	tick_runs(cell, m, now_ms);
	if (m->look_now || (!m->looks && now_ms >= m->look_at_ms)) {
		m->looks++;
		cell->owner->ops->hold(cell->owner, m->handle);
	}
}

/* Looks, stops and leases that are due. */
void cell_minions_tick(struct cell *cell, uint64_t now_ms)
{
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		if (cell->minions[i]->used)
			tick_minion(cell, cell->minions[i], now_ms);
	}
}

void cell_minions_free(struct cell *cell)
{
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		free(cell->minions[i]->runs);
		free(cell->minions[i]);
	}
	free(cell->minions);
}
