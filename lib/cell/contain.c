/*
 * Containment of queues whose jobs crash minions. A task has to be started once
 * before it is known to crash its minion, so giving up the known ones does not
 * bound the damage: where a third of the jobs of a busy queue crash, first
 * starts alone keep all minions down.
 *
 * While many minions are down under first starts of a queue, its tasks start
 * only on a set of minions that is a fixed share of its service, those that are
 * down included. Other queues do not use these, so that crashes hit only runs
 * of the queue itself. The more of its jobs crash, the fewer run side by side
 * on a minion of the set. When such crashes stop, the set is released.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/* A queue is contained when one minion in this many is down under it. */
#define TRIGGER_SHARE 6
#define TRIGGER_MINIONS_MIN 2
/*
 * Its set is one minion in SET_SHARE, or all but so many of those that run no
 * work of other queues, if that is more. Only half of these are taken while a
 * step of another queue has waited for OTHERS_WAIT_MS.
 */
#define SET_SHARE 4
#define OTHERS_WAIT_MS 3000
/*
 * The set is released after this time without a crash, in ms, once no job waits
 * for its first start.
 */
#define RELEASE_MS 5000
/* The set grows by half after each such time without a crash, in ms. */
#define GROW_MS 3000
/*
 * Late jobs get one minion of the set in LATE_SHARE while there were jobs in
 * time within IN_TIME_RECENT_MS, all after that.
 */
#define LATE_SHARE 2
#define IN_TIME_RECENT_MS 1000
/* Jobs of the queue that run side by side on a minion of the set, at most. */
#define JOBS_PER_MINION_MAX 1000
/* Suspects get one minion of the set in this many at least. */
#define SUSPECTS_SHARE 4
/* A contained queue takes new jobs while its backlog is shorter, in ms. */
#define BACKLOG_MAX_MS 20000
/*
 * It takes none while more of its jobs wait for another start after a crash
 * than start within this time, in ms, and than so many for each minion of its
 * set: they need as much room as new ones, and more of them crash their minion.
 */
#define RETRY_BACKLOG_MAX_MS 2000
#define RETRIES_PER_MINION 2
/*
 * Interval at which the work of other queues on all minions is counted, in ms:
 * it looks up the job of each run.
 */
#define COUNT_INTERVAL_MS 100
/* Time constant of the share of jobs that crash, in ms. */
#define SHARE_WINDOW_MS 5000

static struct cell_contained *contained_find(const struct cell *cell,
					     const char *queue)
{
	for (uint32_t i = 0; i < cell->contained_count; i++) {
		if (!strcmp(cell->contained[i].queue, queue))
			return &cell->contained[i];
	}
	return NULL;
}

/* Returns the state of the queue; adds it if it is new. */
static struct cell_contained *contained_get(struct cell *cell,
					    const char *queue)
{
	struct cell_contained *q = contained_find(cell, queue);

	if (q)
		return q;
	cell->contained =
		realloc(cell->contained,
			(cell->contained_count + 1) * sizeof(*cell->contained));
	if (!cell->contained)
		abort();
	q = &cell->contained[cell->contained_count++];
	*q = (struct cell_contained){ 0 };
	snprintf(q->queue, sizeof(q->queue), "%s", queue);
	return q;
}

/* Lets the counts of starts and crashes decay. */
static void decay(struct cell_contained *q, uint64_t now_ms)
{
	double factor =
		exp(-(double)(now_ms - q->counted_ms) / SHARE_WINDOW_MS);

	q->starts *= factor;
	q->restarts *= factor;
	q->crashes *= factor;
	q->counted_ms = now_ms;
}

/*
 * Notes that a minion fails under a run that is the likely cause and was not
 * started in isolation.
 */
void cell_contain_crash(struct cell *cell, struct cell_minion *m,
			const struct cell_run *run, uint64_t now_ms)
{
	struct cell_step *step;
	const struct cell_queue_spec *queue = NULL;
	struct cell_contained *q;

	if (cell_task_find(cell, run->task, &step))
		queue = cell_queue(cell, step->job->spec.queue);
	if (!queue)
		return;
	q = contained_get(cell, queue->name);
	decay(q, now_ms);
	q->crashes++;
	q->crash_ms = now_ms;
	snprintf(m->down_queue, sizeof(m->down_queue), "%s", queue->name);
	cell->dirty = true;
}

static bool is_down_under(const struct cell_minion *m,
			  const struct cell_contained *q)
{
	return m->used && m->failing && !strcmp(m->down_queue, q->queue);
}

static bool is_member(const struct cell_minion *m,
		      const struct cell_contained *q)
{
	return !strcmp(m->contained_queue, q->queue);
}

/* Returns the CPU that runs of other queues hold on the minion. */
static uint32_t count_foreign_cpu(const struct cell *cell,
				  const struct cell_minion *m,
				  const struct cell_contained *q)
{
	uint32_t cpu = 0;

	for (uint32_t i = 0; i < m->run_count; i++) {
		struct cell_step *step;

		if (!cell_task_find(cell, m->runs[i].task, &step) ||
		    strcmp(step->job->spec.queue, q->queue) != 0)
			cpu += m->runs[i].held.cpu_milli;
	}
	return cpu;
}

/* Counts the work of other queues on each minion of the service. */
static void count_work(struct cell *cell, struct cell_contained *q,
		       uint64_t now_ms)
{
	if (now_ms < q->counted_cpu_ms)
		return;
	q->counted_cpu_ms = now_ms + COUNT_INTERVAL_MS;
	q->free_minions = 0;
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		struct cell_minion *m = cell->minions[i];

		if (!m->used || !m->listed ||
		    strcmp(m->info.service, q->service) != 0)
			continue;
		m->foreign_cpu = count_foreign_cpu(cell, m, q);
		q->free_minions += !m->foreign_cpu;
	}
}

/* Adds the minion with the least work of other queues. False if there is none.
 */
static bool recruit(struct cell *cell, const struct cell_contained *q,
		    uint64_t now_ms)
{
	struct cell_minion *best = NULL;

	for (uint32_t i = 0; i < cell->minion_count; i++) {
		struct cell_minion *m = cell->minions[i];

		if (!cell_minion_usable(cell, m, now_ms) ||
		    m->contained_queue[0] ||
		    strcmp(m->info.service, q->service) != 0)
			continue;
		if (best && m->foreign_cpu >= best->foreign_cpu)
			continue;
		best = m;
	}
	if (best)
		snprintf(best->contained_queue, sizeof(best->contained_queue),
			 "%s", q->queue);
	return best;
}

/* Keeps the set at its size, with the minions that are down counted. */
static void update_set(struct cell *cell, const struct cell_contained *q,
		       uint64_t now_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < cell->minion_count; i++) {
		struct cell_minion *m = cell->minions[i];
		bool down = is_down_under(m, q);

		if (!m->used || (!down && !is_member(m, q)))
			continue;
		if (!down && n >= q->size)
			m->contained_queue[0] = '\0';
		else
			n++;
	}
	while (n < q->size && recruit(cell, q, now_ms))
		n++;
}

static void set_active(struct cell *cell, struct cell_contained *q, bool active,
		       uint32_t down)
{
	q->active = active;
	cell->contained_active += active ? 1 : -1;
	/* The counts are of all minions: the set starts as much less. */
	if (active) {
		q->grown = 0;
		q->counted_cpu_ms = 0;
		q->starts /= SET_SHARE;
		q->restarts /= SET_SHARE;
		q->crashes /= SET_SHARE;
	}
	for (uint32_t i = 0; i < cell->minion_count && !active; i++) {
		if (is_member(cell->minions[i], q))
			cell->minions[i]->contained_queue[0] = '\0';
	}
	if (!cell->replaying)
		cell_record_add(
			cell,
			&(struct cell_record){ .kind = CELL_RECORD_CONTAINED,
					       .job = q->queue,
					       .run = active },
			NULL, NULL, 0, 0);
	if (active)
		cell_event(cell,
			   &(struct cell_event){ .what = "queue-contained",
						 .job = q->queue,
						 .value = down });
	else
		cell_event(cell, &(struct cell_event){ .what = "queue-released",
						       .job = q->queue,
						       .value = down });
}

static uint32_t at_least(uint32_t n, uint32_t min)
{
	return n < min ? min : n;
}

/* Returns true if the set of the minion, if any, is that of the queue. */
bool cell_contain_permits(const struct cell *cell, const struct cell_minion *m,
			  const char *queue)
{
	const struct cell_contained *q;

	if (!cell->contained_active)
		return true;
	if (m->contained_queue[0])
		return !strcmp(m->contained_queue, queue);
	q = contained_find(cell, queue);
	return !q || !q->active;
}

/* Returns how many jobs may run side by side on a minion of the set. */
static uint32_t jobs_limit(const struct cell_contained *q)
{
	if (q->starts >= 2 * JOBS_PER_MINION_MAX * q->crashes)
		return JOBS_PER_MINION_MAX;
	return at_least((uint32_t)(q->starts / (2 * q->crashes)), 1);
}

static bool same_job(const char *task, const char *other)
{
	size_t len = strcspn(task, ".");

	return len == strcspn(other, ".") && !strncmp(task, other, len);
}

/* Returns how many jobs but @job have runs on the minion. */
static uint32_t count_other_jobs(const struct cell_minion *m, const char *job)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->run_count; i++) {
		const char *task = m->runs[i].task;
		bool counted = same_job(task, job);

		for (uint32_t k = 0; k < i && !counted; k++)
			counted = same_job(m->runs[k].task, task);
		n += !counted;
	}
	return n;
}

/* Returns how many more jobs may run in the set. */
static uint32_t set_room(const struct cell *cell,
			 const struct cell_contained *q)
{
	uint32_t limit = jobs_limit(q);
	uint32_t room = 0;

	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_minion *m = cell->minions[i];
		uint32_t jobs;

		if (!m->used || m->failing || !is_member(m, q))
			continue;
		jobs = count_other_jobs(m, "");
		room += jobs < limit ? limit - jobs : 0;
	}
	return room;
}

/*
 * Returns how many more late jobs may run in the set. They get a part of it, so
 * that those of them that crash minions leave room to jobs in time.
 */
static uint32_t late_room(const struct cell *cell,
			  const struct cell_contained *q, uint64_t now_ms)
{
	uint32_t limit = at_least(q->size / LATE_SHARE, 1) * jobs_limit(q);
	uint32_t n = 0;

	if (now_ms > q->in_time_ms + IN_TIME_RECENT_MS)
		return UINT32_MAX;

	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_minion *m = cell->minions[i];

		for (uint32_t r = 0; m->used && r < m->run_count; r++)
			n += m->runs[r].late &&
			     (is_member(m, q) || is_down_under(m, q));
	}
	return n < limit ? limit - n : 0;
}

/*
 * Sets the size of the set. It grows in steps while no minion crashes under
 * the queue and few are down, and falls back to its share once half of them
 * are.
 */
static void resize(struct cell_contained *q, uint32_t total, uint32_t down,
		   uint64_t now_ms)
{
	uint32_t base = at_least(total / SET_SHARE, 1);
	uint32_t free = 0;

	if (down * 2 > q->grown || q->grown < base) {
		q->grown = base;
		q->grown_ms = now_ms;
	} else if (down * 4 <= q->grown && now_ms >= q->grown_ms + GROW_MS &&
		   now_ms >= q->crash_ms + GROW_MS) {
		q->grown += 1 + q->grown / 2;
		q->grown_ms = now_ms;
	}
	q->size = q->grown;
	if (now_ms <= q->others_ms + OTHERS_WAIT_MS)
		free = q->free_minions / 2;
	else if (q->free_minions > base)
		free = q->free_minions - base;
	if (free > q->size)
		q->size = free;
}

/* Contains and releases queues by the minions that are down under them. */
void cell_contain_update(struct cell *cell, uint64_t now_ms)
{
	for (uint32_t k = 0; k < cell->contained_count; k++) {
		struct cell_contained *q = &cell->contained[k];
		const struct cell_queue_spec *queue =
			cell_queue(cell, q->queue);
		uint32_t total = 0;
		uint32_t down = 0;

		if (queue)
			snprintf(q->service, sizeof(q->service), "%s",
				 queue->service);
		for (uint32_t i = 0; i < cell->minion_count; i++) {
			const struct cell_minion *m = cell->minions[i];

			if (!m->used || !m->listed ||
			    strcmp(m->info.service, q->service) != 0)
				continue;
			total++;
			down += is_down_under(m, q);
		}
		if (!q->active && down >= at_least(total / TRIGGER_SHARE,
						   TRIGGER_MINIONS_MIN))
			set_active(cell, q, true, down);
		else if (q->active && !q->waiting &&
			 now_ms > q->crash_ms + RELEASE_MS)
			set_active(cell, q, false, down);
		if (!q->active)
			continue;
		decay(q, now_ms);
		q->waiting = 0;
		q->retrying = 0;
		q->in_time = 0;
		count_work(cell, q, now_ms);
		resize(q, total, down, now_ms);
		if (q->grown >= total) {
			set_active(cell, q, false, down);
			continue;
		}
		update_set(cell, q, now_ms);
		q->room = set_room(cell, q);
		q->late_room = late_room(cell, q, now_ms);
	}
}

/*
 * Returns true if the step may be placed in this pass. Of a contained queue
 * only as many steps are as its set has room for: the others would take the
 * requests for advice from other queues.
 */
bool cell_contain_admits(struct cell *cell, const struct cell_step *step,
			 bool late)
{
	struct cell_contained *q;

	if (!cell->contained_active)
		return true;
	q = contained_find(cell, step->job->spec.queue);
	if (!q || !q->active || step->tasks_active)
		return true;
	if (!q->room || (late && !q->late_room))
		return false;
	q->room--;
	q->late_room -= late;
	return true;
}

/*
 * Returns true if the minion is in a set and runs as many jobs as may run side
 * by side there.
 */
bool cell_contain_full(const struct cell *cell, const struct cell_minion *m,
		       const struct cell_job *job)
{
	const struct cell_contained *q;

	if (!m->contained_queue[0])
		return false;
	q = contained_find(cell, m->contained_queue);
	return count_other_jobs(m, job->spec.id) >= jobs_limit(q);
}

/*
 * Counts a start of a job of a queue that has crashed minions: the first, or
 * another one once nothing of its step runs.
 */
void cell_contain_start(struct cell *cell, const struct cell_job *job,
			bool first, uint64_t now_ms)
{
	struct cell_contained *q = contained_find(cell, job->spec.queue);

	if (!q)
		return;
	decay(q, now_ms);
	if (first)
		q->starts++;
	else
		q->restarts++;
}

/* Replays that a queue was contained or released. */
void cell_contain_replay(struct cell *cell, const struct cell_record *record)
{
	struct cell_contained *q = contained_get(cell, record->job);

	q->crash_ms = cell->started_ms;
	q->counted_ms = cell->started_ms;
	/* The share of its jobs that crash is not known: it starts high. */
	q->starts = SET_SHARE;
	q->crashes = SET_SHARE;
	if (q->active != (record->run != 0))
		set_active(cell, q, record->run != 0, 0);
}

/* Passes a record of each contained queue to @emit. */
void cell_contain_snapshot(const struct cell *cell,
			   void (*emit)(void *ctx,
					const struct cell_record *record),
			   void *ctx)
{
	for (uint32_t i = 0; i < cell->contained_count; i++) {
		const struct cell_contained *q = &cell->contained[i];

		if (q->active)
			emit(ctx, &(struct cell_record){
					  .kind = CELL_RECORD_CONTAINED,
					  .job = q->queue,
					  .run = 1 });
	}
}

/*
 * Notes that a step has waited long for minions that the sets of other queues
 * may have taken.
 */
static void note_long_wait(struct cell *cell, const struct cell_step *step,
			   const struct cell_queue_spec *queue, uint64_t now_ms)
{
	if (step->tasks_active || now_ms < step->unblocked_ms + OTHERS_WAIT_MS)
		return;
	for (uint32_t i = 0; i < cell->contained_count; i++) {
		struct cell_contained *q = &cell->contained[i];

		if (!strcmp(q->service, queue->service))
			q->others_ms = now_ms;
	}
}

/* Counts a step of @queue that waits for a start in this pass. */
void cell_contain_waiting(struct cell *cell, const struct cell_step *step,
			  const struct cell_queue_spec *queue, bool late,
			  uint64_t now_ms)
{
	struct cell_contained *q = contained_find(cell, queue->name);

	if (!q || !q->active) {
		note_long_wait(cell, step, queue, now_ms);
		return;
	}
	if (step->job->state != CELL_JOB_QUEUED) {
		q->retrying += !step->tasks_active;
		return;
	}
	q->waiting++;
	if (late)
		return;
	q->in_time++;
	q->in_time_ms = now_ms;
}

/*
 * Returns how many minions of its set a contained queue leaves to suspects: all
 * but one for each job that waits for its first start, and a share at least.
 * Returns 0 if the queue is not contained.
 */
uint32_t cell_contain_isolation(const struct cell *cell, const char *queue)
{
	const struct cell_contained *q = contained_find(cell, queue);
	uint32_t rest;

	if (!q || !q->active)
		return 0;
	rest = q->size > q->waiting ? q->size - q->waiting : 0;
	return at_least(at_least(rest, q->size / SUSPECTS_SHARE), 1);
}

/*
 * Returns how long a new job would wait for its first start, in ms, by the rate
 * of recent first starts. Late jobs start after it, so they count only once the
 * backlog exceeds BACKLOG_MAX_MS. No job is taken while too many that had a
 * start wait for another.
 */
static uint32_t wait_ms(const struct cell_contained *q)
{
	double per_ms = (q->starts + 1) / SHARE_WINDOW_MS;
	double retry_per_ms = (q->starts + q->restarts + 1) / SHARE_WINDOW_MS;
	double all_ms = q->waiting / per_ms;

	if (q->retrying > RETRIES_PER_MINION * q->size &&
	    q->retrying / retry_per_ms > RETRY_BACKLOG_MAX_MS)
		return CELL_WAIT_UNBOUNDED;
	/* Room that is left would take a new job at once. */
	if (q->room)
		return 0;
	return (uint32_t)(all_ms > BACKLOG_MAX_MS ? all_ms
						  : q->in_time / per_ms);
}

/*
 * Calls @fn for each contained queue with the time that a new job would wait
 * for its first start.
 */
void cell_contain_each_wait(const struct cell *cell, cell_overload_fn fn,
			    void *ctx)
{
	for (uint32_t i = 0; i < cell->contained_count; i++) {
		const struct cell_contained *q = &cell->contained[i];

		if (q->active)
			fn(ctx, q->queue, wait_ms(q));
	}
}

/* Returns true if the queue is contained. */
bool cell_contain_active(const struct cell *cell, const char *queue)
{
	const struct cell_contained *q = contained_find(cell, queue);

	return q && q->active;
}
