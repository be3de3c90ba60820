/* Minions: leases, polls, reports, ends of runs and failure detection. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/* Delay after a failed poll of a listed minion, in ms. */
#define POLL_RETRY_MS 200
/* Poll interval while ends are not durable yet, in ms. */
#define UNRECORDED_POLL_MS 300
/* Delay after a failed poll of an unlisted or replaced minion, in ms. */
#define POLL_RETRY_SLOW_MS 1000
/* Minion clocks may run up to 2% slow; a lease lasts that much longer. */
#define CLOCK_DRIFT_PERCENT 2
/* Added to the computed lease expiry for rounding, in ms. */
#define LEASE_MARGIN_MS 60
/* A minion that is not listed for longer than this has left, in ms. */
#define UNLISTED_TIMEOUT_MS 3000
/* Interval between two attempts to stop a run, in ms. */
#define STOP_RETRY_MS 300
/*
 * A job that is still unknown after this time and after a read of all jobs no
 * longer exists, in ms.
 */
#define UNKNOWN_JOB_TIMEOUT_MS 5000
/* Minimum interval between two walks over all minions, in ms. */
#define MINIONS_TICK_MS 4
/* Decay of the failure score of a minion at each end of a run. */
#define FAIL_SCORE_DECAY 0.7
/*
 * A poll that fails earlier than this after its long-poll time did not time
 * out, in ms.
 */
#define POLL_TIMEOUT_MIN_MS 400
/* Score of a suspected minion: reached by three failures in a row. */
#define FAIL_SCORE_SUSPECT 2.1
/* How long a suspected minion gets no work, in ms. */
#define SUSPECT_PERIOD_MS 4000

/* Returns the minion of that handle, and of that @id if it is not NULL. */
struct cell_minion *cell_minion_get(const struct cell *cell, uint32_t handle,
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
	struct cell_minion *m;

	HASH_FIND_STR(cell->minion_index, id, m);
	return m;
}

static struct cell_minion *minion_new(struct cell *cell, const char *id)
{
	struct cell_minion *m = NULL;
	uint32_t incarnation;
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
	incarnation = m->incarnation + 1;
	handle = m->handle;
	*m = (struct cell_minion){ .handle = handle,
				   .incarnation = incarnation,
				   .used = true };
	snprintf(m->info.id, sizeof(m->info.id), "%s", id);
	HASH_ADD_KEYPTR(hh, cell->minion_index, m->info.id, strlen(m->info.id),
			m);
	return m;
}

static void minion_free(struct cell *cell, struct cell_minion *m)
{
	HASH_DEL(cell->minion_index, m);
	free(m->runs);
	cell_unanswered_free(cell, m);
	m->runs = NULL;
	m->run_count = 0;
	m->run_capacity = 0;
	m->used = false;
	m->incarnation++;
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
 * Adds a run and reserves its resources until it is known to have ended. @spec
 * is NULL if the job is unknown.
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
		.need = spec ? spec->need : *held,
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

/* Removes a run that is no longer on the minion and frees its resources. */
void cell_run_remove(struct cell *cell, struct cell_minion *m, uint32_t at)
{
	struct cell_run *r = &m->runs[at];

	m->held.cpu_milli -= r->held.cpu_milli;
	m->held.mem_mb -= r->held.mem_mb;
	m->held.gpu -= r->held.gpu;
	cell->unknown_job_runs -= r->job_unknown;
	if (r->detached)
		cell_detached_remove(cell, r->task);
	*r = m->runs[--m->run_count];
	cell->dirty = true;
}

/* Stops a run; the order is repeated until the minion acknowledges it. */
void cell_run_stop(struct cell *cell, struct cell_minion *m,
		   struct cell_run *run, uint64_t now_ms)
{
	struct cell_stop stop = { .minion = m->handle,
				  .addr = m->info.addr,
				  .minion_id = m->info.id,
				  .run = run->run,
				  .timeout_ms =
					  cell_order_timeout_ms(cell, m) };

	run->stopping = true;
	if (run->stop_in_flight || run->stop_acked_ms ||
	    now_ms < run->next_stop_ms)
		return;
	run->stop_in_flight = true;
	memcpy(stop.task, run->task, sizeof(stop.task));
	cell->owner->ops->stop(cell->owner, &stop);
}

/* Returns true if new runs may be started on the minion. */
bool cell_minion_usable(const struct cell *cell, const struct cell_minion *m,
			uint64_t now_ms)
{
	return m->used && m->listed && m->enrolled && m->contacted &&
	       !m->failing && !m->info.draining && cell->valid &&
	       !m->addr_unrecorded && cell->durable_seq >= m->addr_seq &&
	       now_ms >= m->suspect_until_ms;
}

/* Returns how long a span of the clock of a minion may last, with a margin. */
static uint64_t slow_clock_ms(uint64_t span)
{
	return span + span * CLOCK_DRIFT_PERCENT / (100 - CLOCK_DRIFT_PERCENT) +
	       LEASE_MARGIN_MS;
}

/* Returns how long a lease may last that a minion grants now. */
uint64_t cell_longest_lease_ms(const struct cell *cell)
{
	return slow_clock_ms(cell->settings.hold_max_ms);
}

static uint64_t minion_clock(const struct cell_minion *m, uint64_t now_ms)
{
	return m->anchor_clock_ms + (now_ms - m->anchor_ms);
}

/*
 * Renews the lease of the minion; returns the expiry on the minion's clock. In
 * a life that is not known yet the expiry is far ahead of the clock, and the
 * minion shortens the lease to the longest one, from when the order arrives.
 */
uint64_t cell_minion_renew_lease(struct cell *cell, struct cell_minion *m,
				 uint64_t now_ms)
{
	uint64_t deadline = minion_clock(m, now_ms) + cell->settings.lease_ms;
	uint64_t span = deadline - m->anchor_clock_ms;
	uint64_t until = m->anchor_ms + slow_clock_ms(span);
	uint64_t longest = now_ms + cell_order_timeout_ms(cell, m) +
			   slow_clock_ms(cell->settings.hold_max_ms);

	if (until > m->lease_until_ms)
		m->lease_until_ms = until;
	if (longest > m->longest_until_ms)
		m->longest_until_ms = longest;
	if (deadline > m->deadline_ms) {
		m->deadline_ms = deadline;
		m->deadline_sent_ms = now_ms;
	}
	return deadline;
}

/* Enrolls a minion that responds, unless it drains and gets no work. */
static void minion_enroll(struct cell *cell, struct cell_minion *m,
			  uint64_t now_ms)
{
	if (m->enrolled || m->enrolling || !m->contacted || m->drain_ms)
		return;
	m->enrolling = true;
	m->record_seq = cell_record_add(
		cell,
		&(struct cell_record){ .kind = CELL_RECORD_ENROLLED,
				       .minion = m->info.id,
				       .addr = m->info.addr },
		NULL, m, 0, now_ms);
}

/*
 * Marks a minion as not responding; its runs may go on. @disconnected means
 * that its connection broke or was refused.
 */
static void set_failing(struct cell_minion *m, bool disconnected,
			uint64_t now_ms)
{
	if (!m->failing) {
		m->failing_ms = now_ms;
		m->disconnected = disconnected;
		cell_minion_note_failure(m);
	}
	m->failing = true;
	m->unstable_ms = now_ms;
}

/*
 * Returns when the leases of all runs of the minion have ended. Runs that no
 * report has listed may be in a life that is not known yet.
 */
static uint64_t leases_end_ms(const struct cell_minion *m)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		if (!m->runs[i].listed &&
		    m->longest_until_ms > m->lease_until_ms)
			return m->longest_until_ms;
	}
	return m->lease_until_ms;
}

/*
 * Returns what shows that a run is over: the response to a call that was sent
 * at @sent_ms, or the end of the lease if that is 0.
 */
static struct cell_evidence evidence_of(const struct cell_minion *m,
					uint64_t sent_ms, uint64_t now_ms)
{
	uint64_t end_ms = leases_end_ms(m);

	return (struct cell_evidence){
		.born_unix_ms = m->born_unix_ms,
		.sent_ago_ms = sent_ms ? now_ms - sent_ms : 0,
		.lease_over_ms =
			end_ms && now_ms > end_ms ? now_ms - end_ms : 0,
	};
}

/*
 * Logs a run that is lost with its minion: how long it had run when the minion
 * failed, and how many others ran beside it.
 */
static void log_lost_run(struct cell *cell, const struct cell_minion *m,
			 const struct cell_run *run, const char *why,
			 uint32_t others, uint64_t sent_ms, uint64_t now_ms)
{
	struct cell_evidence evidence = evidence_of(m, sent_ms, now_ms);
	uint64_t failed_ms = m->failing ? m->failing_ms : now_ms;

	cell->stats.runs_lost++;
	cell_event(cell, &(struct cell_event){
				 .what = "run-lost",
				 .task = run->task,
				 .minion = m->info.id,
				 .run = run->run,
				 .detail = why,
				 .age_ms = failed_ms > run->sent_ms
						   ? failed_ms - run->sent_ms
						   : 0,
				 .value = others,
				 .evidence = &evidence });
}

/* Logs that a minion responds again. */
static void log_back(struct cell *cell, const struct cell_minion *m,
		     uint64_t now_ms)
{
	cell_event(cell, &(struct cell_event){ .what = "minion-back",
					       .minion = m->info.id,
					       .age_ms = now_ms - m->failing_ms,
					       .value = m->run_count });
}

/* Returns the ms until all leases of this and earlier terms have ended. */
static uint64_t lease_left_ms(const struct cell_minion *m, uint64_t now_ms)
{
	uint64_t end_ms = leases_end_ms(m);

	return end_ms > now_ms ? end_ms - now_ms : 0;
}

/*
 * Returns true if runs may go on that the minion has accepted: it has as long
 * to end those of a lease that is over as those that are stopped.
 */
static bool runs_may_go_on(const struct cell *cell, const struct cell_minion *m,
			   uint64_t now_ms)
{
	return now_ms < leases_end_ms(m) + cell->settings.stop_timeout_ms;
}

/* Returns what is known of the lease of the minion, for the log. */
static struct cell_lease_state lease_state(const struct cell_minion *m,
					   uint64_t now_ms)
{
	if (!m->clock_known)
		return (struct cell_lease_state){ 0 };
	return (struct cell_lease_state){
		.clock_ms = m->anchor_clock_ms,
		.clock_age_ms = now_ms - m->anchor_ms,
		.estimate_ms = minion_clock(m, now_ms),
		.deadline_ms = m->deadline_ms,
		.deadline_age_ms =
			m->deadline_ms ? now_ms - m->deadline_sent_ms : 0,
	};
}

/* Logs why a minion is settled, and what was known of it. */
static void log_settled(struct cell *cell, const struct cell_minion *m,
			const char *why, uint64_t now_ms)
{
	struct cell_lease_state lease = lease_state(m, now_ms);

	cell_event(cell,
		   &(struct cell_event){
			   .what = "minion-settled",
			   .minion = m->info.id,
			   .detail = why,
			   .age_ms = now_ms - (m->alive_ms ? m->alive_ms
							   : cell->started_ms),
			   .input = lease_left_ms(m, now_ms),
			   .value = m->run_count,
			   .lease = &lease });
}

/*
 * Releases the runs that are lost with a life of their minion. If the report of
 * another life was requested at @sent_ms, those that may begin there are kept.
 * It is 0 if the minion does not respond: a start that arrives later has no
 * lease left, except in another life.
 */
static void release_lost_runs(struct cell *cell, struct cell_minion *m,
			      const char *why, uint64_t sent_ms,
			      uint64_t now_ms)
{
	uint32_t others = m->run_count - 1;
	bool lost = false;
	uint32_t i = 0;

	while (i < m->run_count) {
		struct cell_run run = m->runs[i];

		if (sent_ms && cell_run_may_begin(&run, sent_ms)) {
			m->runs[i].listed = false;
			cell_run_void_stops(&m->runs[i++]);
			continue;
		}
		lost = true;
		log_lost_run(cell, m, &run, why, others, sent_ms, now_ms);
		cell_run_remove(cell, m, i);
		if (!run.acked_ms)
			cell_unanswered_add(cell, m, &run);
		cell_task_release(cell, run.task, run.run, now_ms);
	}
	cell->stats.minions_lost += lost;
}

/*
 * Settles a minion: nothing of its former life runs on it. @sent_ms as in
 * release_lost_runs(). While runs are kept, the minion remains enrolled: a
 * successor has to know of them.
 */
static void minion_settle(struct cell *cell, struct cell_minion *m,
			  const char *why, uint64_t sent_ms, uint64_t now_ms)
{
	log_settled(cell, m, why, now_ms);
	release_lost_runs(cell, m, why, sent_ms, now_ms);
	if (m->inherited) {
		m->inherited = false;
		cell->unsettled--;
	}
	if (!m->run_count) {
		if (m->enrolled || m->enrolling)
			cell_record_add(cell,
					&(struct cell_record){
						.kind = CELL_RECORD_SETTLED,
						.minion = m->info.id },
					NULL, NULL, 0, now_ms);
		m->enrolled = false;
		m->enrolling = false;
		m->lease_until_ms = 0;
		m->longest_until_ms = 0;
	}
	m->contacted = false;
	m->clock_known = false;
	m->deadline_ms = 0;
	/* Ends and acknowledgements of this incarnation are void. */
	m->incarnation++;
	m->last_end_handled = 0;
	m->last_end_durable = 0;
	m->isolated_until_ms = 0;
	m->isolated_task[0] = '\0';
	m->contained_queue[0] = '\0';
	m->down_queue[0] = '\0';
	cell->dirty = true;
}

/*
 * Records the address of a minion that moved. A successor that does not find
 * the minion in the list polls the address in the journal, and another minion
 * that answers there shows that the one it looks for has ended; so no run
 * starts before the present address is durable.
 */
static void record_addr(struct cell *cell, struct cell_minion *m,
			uint64_t now_ms)
{
	if (!m->addr_unrecorded)
		return;
	m->addr_unrecorded = false;
	if (!m->enrolled && !m->enrolling)
		return;
	m->addr_seq = cell_record_add(
		cell,
		&(struct cell_record){ .kind = CELL_RECORD_ENROLLED,
				       .minion = m->info.id,
				       .addr = m->info.addr },
		NULL, NULL, 0, now_ms);
}

/*
 * Handles that a minion is at another address: what was sent to the former one
 * says nothing of it.
 */
static void minion_moved(struct cell_minion *m, uint64_t now_ms)
{
	m->addr_unrecorded = true;
	m->addr_ms = now_ms;
	m->poll_now = true;
	for (uint32_t i = 0; i < CELL_POLLS_MAX; i++)
		m->polls[i].overdue = m->polls[i].open;
}

/*
 * Returns true if the lack of a response to a call that was sent at @sent_ms
 * says nothing of the minion: a later poll was answered, or its address has
 * changed.
 */
static bool call_is_outdated(const struct cell_minion *m, uint64_t sent_ms)
{
	return sent_ms < m->report_sent_ms ||
	       (m->addr_ms && sent_ms <= m->addr_ms);
}

/*
 * Counts the longest lease of a new life: a deadline that was sent to a former
 * one and arrives late is far ahead of its clock.
 */
static void count_former_deadline(const struct cell *cell,
				  struct cell_minion *m)
{
	uint64_t until;

	if (!m->deadline_sent_ms)
		return;
	until = m->deadline_sent_ms + CELL_LATE_ORDER_MS +
		cell_longest_lease_ms(cell);
	if (until > m->lease_until_ms)
		m->lease_until_ms = until;
}

static void minion_update_info(struct cell *cell, struct cell_minion *m,
			       const struct cell_minion_info *info,
			       uint64_t now_ms)
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
	if (m->info.addr[0] && strcmp(m->info.addr, info->addr) != 0)
		minion_moved(m, now_ms);
	m->info = *info;
	m->listed = true;
}

/*
 * Applies a complete list of the minions. A minion that is not listed gets no
 * new work; its runs go on while it answers.
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
			m->next_poll_ms = now_ms;
			cell_event(cell, &(struct cell_event){
						 .what = "minion-new",
						 .minion = infos[i].id });
		}
		minion_update_info(cell, m, &infos[i], now_ms);
	}
	cell->minions_listed = true;
	cell->dirty = true;
}

/* Adds a minion that may have runs of an earlier term. */
struct cell_minion *cell_minion_inherit(struct cell *cell, const char *id,
					const char *addr)
{
	struct cell_minion *m = minion_find(cell, id);

	if (!m)
		m = minion_new(cell, id);
	if (!m->listed)
		snprintf(m->info.addr, sizeof(m->info.addr), "%s", addr);
	m->addr_unrecorded = strcmp(m->info.addr, addr) != 0;
	if (!m->inherited) {
		m->inherited = true;
		cell->unsettled++;
	}
	m->enrolled = true;
	m->lease_until_ms =
		cell->started_ms + cell->settings.predecessor_lease_ms;
	m->next_poll_ms = cell->started_ms;
	return m;
}

void cell_minion_remove(struct cell *cell, const char *id)
{
	struct cell_minion *m = minion_find(cell, id);

	if (!m)
		return;
	if (m->inherited)
		cell->unsettled--;
	minion_free(cell, m);
}

static void decay_fail_score(struct cell_minion *m)
{
	m->fail_score *= FAIL_SCORE_DECAY;
}

static void raise_fail_score(struct cell *cell, struct cell_minion *m,
			     uint64_t now_ms)
{
	m->fail_score = m->fail_score * FAIL_SCORE_DECAY + 1;
	if (m->fail_score < FAIL_SCORE_SUSPECT)
		return;
	m->suspect_until_ms = now_ms + SUSPECT_PERIOD_MS;
	m->fail_score = FAIL_SCORE_SUSPECT / 2;
	cell_event(cell, &(struct cell_event){ .what = "minion-suspected",
					       .minion = m->info.id });
}

static void handle_end(struct cell *cell, struct cell_minion *m,
		       const struct cell_ended *end, uint64_t now_ms)
{
	struct cell_run *run = cell_run_find(m, end->task, end->run);
	struct cell_record record = { .kind = CELL_RECORD_END,
				      .task = end->task,
				      .run = end->run,
				      .end = end->end,
				      .checkpoint = end->checkpoint,
				      .minion = m->info.id };
	struct cell_task_name name;
	struct cell_job *job = NULL;
	uint64_t lasted = run ? now_ms - run->sent_ms : 0;

	cell_unanswered_begun(cell, m, end->task, end->run);
	m->last_end_handled = end->number;
	cell->stats.ends[end->end]++;
	if (run)
		cell_interference_run_ended(cell, m, run, end->end, now_ms);
	if (run)
		cell_learn_run_ended(cell, m, run, end->end, now_ms);
	if (run)
		cell_run_remove(cell, m, (uint32_t)(run - m->runs));
	if (end->end == CELL_END_DONE)
		decay_fail_score(m);
	else if (end->end == CELL_END_FAILED)
		raise_fail_score(cell, m, now_ms);
	if (!cell_end_apply(cell, end, m->handle, now_ms)) {
		cell_ack_ends(cell, m, end->number);
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
		job->pending_records++;
	m->record_seq = cell_record_add(cell, &record, job ? name.job : NULL, m,
					end->number, now_ms);
}

/* Returns true if a job that was unknown at @since_ms no longer exists. */
static bool job_is_gone(const struct cell *cell, uint64_t since_ms,
			uint64_t now_ms)
{
	return now_ms > since_ms + UNKNOWN_JOB_TIMEOUT_MS &&
	       cell->jobs_read_ms > since_ms;
}

/*
 * Handles the new ends in order. The end of a job that is not known yet blocks
 * those after it: once acknowledged, the minion would discard it. Returns true
 * if the ends of all runs that the report does not list as running are known.
 */
static bool handle_ends(struct cell *cell, struct cell_minion *m,
			const struct cell_report *report, uint64_t now_ms)
{
	for (uint32_t i = 0; i < report->ended_count; i++) {
		const struct cell_ended *end = &report->ended[i];

		if (end->number <= m->last_end_handled)
			continue;
		if (!cell_step_spec_find(cell, end->task)) {
			if (!m->unknown_job_ms)
				m->unknown_job_ms = now_ms;
			if (!job_is_gone(cell, m->unknown_job_ms, now_ms))
				return false;
		}
		m->unknown_job_ms = 0;
		handle_end(cell, m, end, now_ms);
	}
	return !report->more_ends;
}

/*
 * Returns the resources of a reported run, as specified by its job, also when
 * the job has ended. A run of an unknown job may use all that is free.
 */
static struct cell_res reported_need(const struct cell *cell,
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

/*
 * Returns what a run of an unknown job counts for teams: what it may hold, or
 * nothing if the minion holds more than its capacity anyway.
 */
static struct cell_res unknown_need(const struct cell_res *held,
				    const struct cell_res *capacity)
{
	return (struct cell_res){
		.cpu_milli = held->cpu_milli > capacity->cpu_milli
				     ? 0
				     : held->cpu_milli,
		.mem_mb = held->mem_mb > capacity->mem_mb ? 0 : held->mem_mb,
		.gpu = held->gpu > capacity->gpu ? 0 : held->gpu,
	};
}

/* Returns why the task does not need a reported run, for the log. */
static const char *unwanted_reason(const struct cell_task *task,
				   const struct cell_step *step,
				   const struct cell_running *row)
{
	if (!task || step->job->final_state != CELL_JOB_UNKNOWN)
		return "the job has ended";
	if (task->state == CELL_TASK_ACTIVE)
		return "the task runs elsewhere";
	if (task->state == CELL_TASK_DONE)
		return "the task is done";
	return cell_task_ended(task, row->run) ? "the run has ended"
					       : "a later run is known";
}

/*
 * Adopts a reported run that this term did not start, or had removed as ended.
 * Stops it if its task does not need it.
 */
static void adopt_run(struct cell *cell, struct cell_minion *m,
		      const struct cell_running *row, uint64_t now_ms)
{
	bool known;
	struct cell_res held = reported_need(cell, m, row->task, &known);
	struct cell_step *step;
	struct cell_task *task = cell_task_find(cell, row->task, &step);
	struct cell_run *run;

	cell_crash_clear(cell, row->task, row->run);
	cell_unanswered_begun(cell, m, row->task, row->run);
	run = cell_run_add(m, row->task, row->run,
			   cell_step_spec_find(cell, row->task), &held, now_ms);
	run->team = cell_team_of_task(cell, row->task);
	run->acked_ms = now_ms;
	run->in_report = true;
	run->listed = true;
	run->load = row->load;
	run->pace = CELL_PACE_UNKNOWN;
	run->job_unknown = !known;
	cell->unknown_job_runs += run->job_unknown;
	if (!known) {
		run->need = unknown_need(&held, &m->info.capacity);
		return;
	}
	if (task)
		run->kind = cell_kind_get(cell, step, now_ms);
	if (task && task->state == CELL_TASK_READY &&
	    step->job->final_state == CELL_JOB_UNKNOWN &&
	    !cell_task_ended(task, row->run) && row->run >= task->run) {
		task->state = CELL_TASK_ACTIVE;
		task->run = row->run;
		task->minion = m->handle;
		task->progress_ms = now_ms;
		step->tasks_active++;
		cell_job_mark_started(step->job);
		return;
	}
	if (task && task->state == CELL_TASK_ACTIVE)
		cell->stats.duplicate_runs++;
	cell_event(cell, &(struct cell_event){
				 .what = "run-unwanted",
				 .task = row->task,
				 .minion = m->info.id,
				 .run = row->run,
				 .detail = unwanted_reason(task, step, row) });
	cell_run_detach(cell, run);
	cell_run_stop(cell, m, run, now_ms);
}

/* Adopts the runs of a job that were reported before it became known. */
void cell_adopt_runs(struct cell *cell, const struct cell_job *job,
		     uint64_t now_ms)
{
	for (uint32_t i = 0; cell->unknown_job_runs && i < cell->minion_count;
	     i++) {
		struct cell_minion *m = cell->minions[i];
		uint32_t k = 0;

		while (m->used && k < m->run_count) {
			struct cell_run run = m->runs[k];
			struct cell_running row = { .run = run.run,
						    .load = run.load };
			struct cell_step *step;

			if (!run.job_unknown ||
			    !cell_job_has_task(job, run.task)) {
				k++;
				continue;
			}
			memcpy(row.task, run.task, sizeof(row.task));
			cell_run_remove(cell, m, k);
			cell_task_of_run(cell, row.task, &step, now_ms);
			adopt_run(cell, m, &row, now_ms);
		}
	}
}

static void handle_running(struct cell *cell, struct cell_minion *m,
			   const struct cell_running *row, uint64_t now_ms)
{
	struct cell_run *run = cell_run_find(m, row->task, row->run);
	struct cell_step *step;
	struct cell_task *task =
		cell_task_of_run(cell, row->task, &step, now_ms);

	if (run && run->job_unknown && cell_step_spec_find(cell, row->task)) {
		cell_run_remove(cell, m, (uint32_t)(run - m->runs));
		run = NULL;
	}
	if (!run) {
		adopt_run(cell, m, row, now_ms);
	} else {
		run->in_report = true;
		run->listed = true;
		run->load = row->load;
		if (run->job_unknown && job_is_gone(cell, run->sent_ms, now_ms))
			cell_run_stop(cell, m, run, now_ms);
		if (!run->acked_ms)
			run->acked_ms = now_ms;
	}
	if (task)
		cell_job_mark_started(step->job);
	if (!task || task->run != row->run)
		return;
	if (row->percent != task->percent) {
		task->percent = (uint8_t)row->percent;
		task->progress_ms = now_ms;
	}
	if (row->checkpoint && row->checkpoint[0] &&
	    (!task->checkpoint ||
	     strcmp(task->checkpoint, row->checkpoint) != 0)) {
		free(task->checkpoint);
		task->checkpoint = strdup(row->checkpoint);
	}
}

/*
 * Returns true if a report that was requested at @sent_ms has to show the run
 * unless it is over: its last order was acknowledged before.
 */
static bool report_shows_run(const struct cell_run *run, uint64_t sent_ms)
{
	uint64_t acked_ms =
		run->stop_acked_ms ? run->stop_acked_ms : run->acked_ms;

	return acked_ms && acked_ms < sent_ms;
}

/*
 * Removes the runs that are missing from a report whose ends are all known. A
 * minion need not list a run that it is ending, and has some time for that.
 */
static void remove_missing_runs(struct cell *cell, struct cell_minion *m,
				uint64_t sent_ms, uint64_t now_ms)
{
	struct cell_evidence evidence = evidence_of(m, sent_ms, now_ms);
	uint32_t i = 0;

	while (i < m->run_count) {
		struct cell_run *missing = &m->runs[i];
		struct cell_run run;

		if (missing->in_report || !report_shows_run(missing, sent_ms)) {
			missing->missing_ms = 0;
			i++;
			continue;
		}
		if (!missing->missing_ms)
			missing->missing_ms = now_ms;
		if (now_ms <
		    missing->missing_ms + cell->settings.stop_timeout_ms) {
			m->missing_poll_ms = missing->missing_ms +
					     cell->settings.stop_timeout_ms;
			i++;
			continue;
		}
		run = *missing;
		cell_run_remove(cell, m, i);
		if (!run.acked_ms)
			cell_unanswered_add(cell, m, &run);
		cell_event(cell,
			   &(struct cell_event){
				   .what = "run-missing",
				   .task = run.task,
				   .minion = m->info.id,
				   .run = run.run,
				   .detail = run.stop_acked_ms ? "stopped"
							       : "started",
				   .age_ms = now_ms - run.sent_ms,
				   .value = now_ms - run.missing_ms,
				   .evidence = &evidence });
		cell_task_release(cell, run.task, run.run, now_ms);
	}
}

static void handle_first_report(struct cell *cell, struct cell_minion *m,
				const struct cell_report *report,
				uint64_t now_ms)
{
	struct cell_lease_state lease = lease_state(m, now_ms);

	m->contacted = true;
	cell_event(cell,
		   &(struct cell_event){
			   .what = "minion-contacted",
			   .minion = m->info.id,
			   .detail = m->inherited ? "of an earlier term" : "",
			   .age_ms = now_ms - cell->started_ms,
			   .input = report->ended_count,
			   .value = report->running_count,
			   .lease = &lease });
	minion_enroll(cell, m, now_ms);
	cell->dirty = true;
}

/* Handles that all runs and ends of earlier terms on the minion are known. */
static void set_settled(struct cell *cell, struct cell_minion *m)
{
	if (!m->inherited)
		return;
	m->inherited = false;
	cell->unsettled--;
	cell->dirty = true;
}

/* Handles the response to a poll that was sent at @sent_ms. */
void cell_on_report(struct cell *cell, uint32_t minion, const char *id,
		    const struct cell_report *report, uint64_t sent_ms,
		    uint64_t now_ms)
{
	struct cell_minion *m = cell_minion_get(cell, minion, id);
	struct cell_open_poll poll;
	bool another_life;
	bool overtaken;
	bool complete;

	if (!m)
		return;
	poll = cell_poll_close(m, sent_ms);
	if (poll.sent_ms && now_ms >= sent_ms + poll.wait_ms)
		cell_response_time_add(cell, m,
				       now_ms - sent_ms - poll.wait_ms);
	another_life = m->born_unix_ms && report->born_unix_ms &&
		       m->born_unix_ms != report->born_unix_ms;
	/*
	 * Polls that are open at the same time may be carried out in any order,
	 * and a response may be overtaken by that of a later life.
	 */
	if (another_life && sent_ms < m->reported_ms) {
		m->poll_now = true;
		return;
	}
	m->reported_ms = now_ms;
	overtaken = sent_ms < m->report_sent_ms;
	if (!overtaken)
		m->report_sent_ms = sent_ms;
	if (report->born_unix_ms)
		m->born_unix_ms = report->born_unix_ms;
	if (another_life) {
		set_failing(m, false, now_ms);
		cell_minion_blame(cell, m, now_ms);
		minion_settle(cell, m, "another life", sent_ms, now_ms);
		count_former_deadline(cell, m);
	} else if (m->failing) {
		log_back(cell, m, now_ms);
		cell_minion_clear_runs(cell, m, now_ms);
		m->failing_ms = 0;
		m->unstable_ms = now_ms;
		/* Its lease was not renewed meanwhile. */
		m->poll_now = true;
	}
	m->failing = false;
	m->alive_ms = now_ms;
	if (!overtaken || !m->clock_known) {
		m->clock_known = true;
		m->anchor_clock_ms = report->clock_ms;
		m->anchor_ms = now_ms;
	}
	for (uint32_t i = 0; i < m->run_count; i++)
		m->runs[i].in_report = false;
	m->first_end = report->ended_count ? report->ended[0].number : 0;
	complete = handle_ends(cell, m, report, now_ms);
	for (uint32_t i = 0; i < report->running_count; i++)
		handle_running(cell, m, &report->running[i], now_ms);
	if (complete)
		remove_missing_runs(cell, m, sent_ms, now_ms);
	if (another_life)
		cell_unanswered_stop(cell, m, now_ms);
	cell_interference_tails(cell, m, now_ms);
	cell_minion_update_pace(cell, m, now_ms);
	if (!m->contacted)
		handle_first_report(cell, m, report, now_ms);
	if (complete)
		set_settled(cell, m);
	m->next_poll_ms = now_ms;
	if (m->last_end_durable != m->last_end_handled || m->unknown_job_ms)
		m->next_poll_ms += UNRECORDED_POLL_MS;
}

/* Handles that a poll has no response yet, or never will. */
static void poll_missed(struct cell *cell, struct cell_minion *m,
			bool disconnected, uint64_t now_ms)
{
	struct cell_lease_state lease = lease_state(m, now_ms);

	m->next_poll_ms = now_ms;
	if (m->failing || !m->contacted)
		m->next_poll_ms +=
			m->listed ? POLL_RETRY_MS : POLL_RETRY_SLOW_MS;
	if (!m->failing)
		cell_event(cell, &(struct cell_event){ .what = "minion-silent",
						       .minion = m->info.id,
						       .value = m->run_count,
						       .lease = &lease });
	set_failing(m, disconnected, now_ms);
}

/* Handles a poll without a response, or with one of another incarnation. */
void cell_on_poll_failed(struct cell *cell, uint32_t minion, const char *id,
			 enum cell_result result, uint64_t sent_ms,
			 uint64_t now_ms)
{
	struct cell_minion *m = cell_minion_get(cell, minion, id);
	struct cell_open_poll poll;

	if (!m)
		return;
	poll = cell_poll_close(m, sent_ms);
	cell->minions_due = true;
	if (result == CELL_REJECTED_FENCE)
		cell->fenced_ms = now_ms;
	/* The lack of a response to an overdue poll is known. */
	if (call_is_outdated(m, sent_ms) ||
	    (poll.overdue && result != CELL_OTHER_INCARNATION))
		return;
	if (result == CELL_OTHER_INCARNATION) {
		set_failing(m, false, now_ms);
		cell_minion_blame(cell, m, now_ms);
		if (m->enrolled || m->run_count || m->inherited)
			minion_settle(cell, m, "replaced", 0, now_ms);
		m->next_poll_ms = now_ms + POLL_RETRY_SLOW_MS;
		return;
	}
	poll_missed(
		cell, m,
		result == CELL_NOT_SENT ||
			(poll.sent_ms && now_ms < poll.sent_ms + poll.wait_ms +
							  POLL_TIMEOUT_MIN_MS),
		now_ms);
}

static void handle_start_rejected(struct cell *cell, struct cell_minion *m,
				  struct cell_run *run, enum cell_result result,
				  uint64_t now_ms)
{
	struct cell_run copy = *run;
	struct cell_step *step;
	struct cell_task *task = cell_task_find(cell, copy.task, &step);
	struct cell_grant *grant;

	cell->stats.rejected++;
	if (result == CELL_REJECTED_FENCE)
		cell->fenced_ms = now_ms;
	if (task && result == CELL_REJECTED_TICKET) {
		grant = cell_grant_find(step, m->handle);
		if (grant)
			grant->until_ms = 0;
	}
	cell_run_remove(cell, m, (uint32_t)(run - m->runs));
	cell_task_release(cell, copy.task, copy.run, now_ms);
	if (task && step->spec->gang)
		cell_gang_abort(cell, step, copy.run, now_ms);
}

/* Counts the response time of a start; a refused connection has none. */
static void note_start_response(struct cell *cell, const struct cell_minion *m,
				const struct cell_run *run,
				enum cell_result result, uint64_t now_ms)
{
	uint64_t took_ms = now_ms - run->sent_ms;

	if (result != CELL_NO_ANSWER && result != CELL_NOT_SENT)
		cell_response_time_add(cell, m, took_ms);
	else if (took_ms >= run->timeout_ms)
		cell_response_missed(cell, m, took_ms);
}

/* Handles the response to a start. */
void cell_on_start(struct cell *cell, uint32_t minion, const char *task,
		   uint64_t run, enum cell_result result, uint64_t now_ms)
{
	struct cell_minion *m = cell_minion_get(cell, minion, NULL);
	struct cell_run *r = m ? cell_run_find(m, task, run) : NULL;
	struct cell_evidence evidence;
	struct cell_step *step;

	if (!r) {
		r = m ? cell_unanswered_find(m, task, run) : NULL;
		if (r && result != CELL_NO_ANSWER)
			cell_unanswered_remove(cell, m, r);
		else if (r)
			cell_unanswered_record(cell, r, now_ms);
		return;
	}
	note_start_response(cell, m, r, result, now_ms);
	if (result == CELL_OK) {
		m->alive_ms = now_ms;
		if (!r->acked_ms)
			r->acked_ms = now_ms;
		if (cell_task_find(cell, task, &step))
			cell_job_mark_started(step->job);
		return;
	}
	evidence = evidence_of(m, r->sent_ms, now_ms);
	cell_event(cell, &(struct cell_event){ .what = "start-unanswered",
					       .task = task,
					       .minion = m->info.id,
					       .run = run,
					       .value = (uint64_t)result,
					       .evidence = &evidence });
	if (result != CELL_NO_ANSWER) {
		if ((result == CELL_NOT_SENT ||
		     result == CELL_OTHER_INCARNATION) &&
		    !call_is_outdated(m, r->sent_ms))
			set_failing(m, true, now_ms);
		handle_start_rejected(cell, m, r, result, now_ms);
		return;
	}
	/*
	 * The run may have started, or may start later. A stop that arrives
	 * before the start makes the minion reject the start.
	 */
	cell_unanswered_record(cell, r, now_ms);
	if (cell_task_find(cell, task, &step) && step->spec->gang)
		cell_gang_abort(cell, step, run, now_ms);
	else
		cell_run_stop(cell, m, r, now_ms);
}

/* Handles the response to a stop. */
void cell_on_stop(struct cell *cell, uint32_t minion, const char *task,
		  uint64_t run, enum cell_result result, uint64_t now_ms)
{
	struct cell_minion *m = cell_minion_get(cell, minion, NULL);
	struct cell_run *r = m ? cell_run_find(m, task, run) : NULL;

	(void)cell;
	if (m && !r)
		r = cell_unanswered_find(m, task, run);
	if (!r)
		return;
	r->stop_in_flight = false;
	if (r->stop_void) {
		r->stop_void = false;
		r->next_stop_ms = now_ms;
	} else if (result == CELL_OK) {
		r->stop_acked_ms = now_ms;
		/* Only a later report shows whether it ever started. */
		m->poll_now |= !r->acked_ms;
	} else {
		r->next_stop_ms = now_ms + STOP_RETRY_MS;
	}
}

static void retry_stops(struct cell *cell, struct cell_minion *m,
			uint64_t now_ms)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		struct cell_run *run = &m->runs[i];

		if (run->stopping && !m->failing)
			cell_run_stop(cell, m, run, now_ms);
	}
}

/*
 * Settles a minion that does not respond, as the runs of its last lease have
 * ended.
 * If this term has ended as well, a successor may have renewed the lease, so
 * its tasks wait for a later confirmation of the term.
 */
static void settle_by_time(struct cell *cell, struct cell_minion *m,
			   const char *why, uint64_t now_ms)
{
	struct cell_task_name name;
	struct cell_job *job;

	cell->lease_ended_ms = now_ms;
	for (uint32_t i = 0; i < m->run_count; i++) {
		if (!cell_task_parse(m->runs[i].task, &name))
			continue;
		job = cell_job_find(cell, name.job);
		if (job)
			job->confirm_after_ms = now_ms;
	}
	minion_settle(cell, m, why, 0, now_ms);
}

/*
 * Returns true if the ends of all runs on the minion are durable: a successor
 * that finds the minion settled would start their tasks again.
 */
static bool records_durable(const struct cell *cell,
			    const struct cell_minion *m)
{
	return cell->durable_seq >= m->record_seq;
}

static void tick_minion(struct cell *cell, struct cell_minion *m,
			uint64_t now_ms)
{
	record_addr(cell, m, now_ms);
	cell_unanswered_expire(cell, m, now_ms);
	if (cell_poll_overdue(cell, m, now_ms))
		poll_missed(cell, m, false, now_ms);
	if (m->failing && (m->enrolled || m->run_count) && !m->inherited &&
	    !runs_may_go_on(cell, m, now_ms)) {
		/* A process that is cut off is not disconnected: it may run. */
		if (m->disconnected)
			cell_minion_blame(cell, m, now_ms);
		else
			cell_minion_clear_runs(cell, m, now_ms);
		settle_by_time(cell, m, "lease ended", now_ms);
	}
	/* A successor need not wait for a minion that is about to leave. */
	if (m->drain_ms && m->enrolled && !m->inherited && !m->run_count &&
	    records_durable(cell, m))
		minion_settle(cell, m, "drained", 0, now_ms);
	minion_enroll(cell, m, now_ms);
	if (m->inherited && (!m->contacted || m->failing) &&
	    !runs_may_go_on(cell, m, now_ms))
		settle_by_time(cell, m, "leases of earlier terms ended",
			       now_ms);
	if (!m->listed && cell->minions_listed && !m->run_count &&
	    !m->inherited && records_durable(cell, m) &&
	    now_ms > m->unlisted_ms + UNLISTED_TIMEOUT_MS) {
		if (m->enrolled)
			minion_settle(cell, m, "left", 0, now_ms);
		if (!cell_poll_is_open(m) && !m->unanswered_count &&
		    !cell_order_may_arrive(m, now_ms)) {
			minion_free(cell, m);
			return;
		}
	}
	cell_minion_blame_early(cell, m, now_ms);
	if (m->drain_ms && cell->valid)
		cell_minion_evacuate(cell, m, now_ms);
	retry_stops(cell, m, now_ms);
	if (m->missing_poll_ms && now_ms >= m->missing_poll_ms) {
		m->missing_poll_ms = 0;
		m->poll_now = true;
	}
	cell_poll_if_due(cell, m, now_ms);
}

/* Runs the due polls, stop retries and lease expiries of all minions. */
void cell_minions_tick(struct cell *cell, uint64_t now_ms)
{
	if (!cell->minions_due &&
	    now_ms < cell->minions_tick_ms + MINIONS_TICK_MS)
		return;
	cell->minions_due = false;
	cell->minions_tick_ms = now_ms;
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		if (cell->minions[i]->used)
			tick_minion(cell, cell->minions[i], now_ms);
	}
}

void cell_minions_free(struct cell *cell)
{
	HASH_CLEAR(hh, cell->minion_index);
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		free(cell->minions[i]->runs);
		cell_unanswered_free(cell, cell->minions[i]);
		free(cell->minions[i]);
	}
	free(cell->minions);
	free(cell->former_starts);
	cell_detached_free(cell);
}
