/*
 * Placement of tasks, and their start in two steps: lease, then start request;
 * see docs/design.md, 4.3.
 */
#include "zone_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Base of the exponential backoff after a failed attempt. */
#define ZONE_BACKOFF_MS 200

/* Sets the state of a task and the time of the change. */
void zone_set_task_state(struct zone *z, struct zone_task *t,
			 enum task_state state)
{
	t->state = state;
	t->since_ms = z->now_ms;
}

/* Reserves @need of a task on a worker and charges it to the job's owner. */
void zone_charge(struct zone *z, struct zone_job *job, uint32_t task,
		 uint32_t worker, const struct res *need)
{
	struct zone_task *t = &job->tasks[task];

	t->worker = worker;
	t->charged = *need;
	place_reserve(&z->places[worker], need);
	share_charge_running(z->share, job->owner, need);
	z->entries[job->entry]->running++;
}

/* Releases the resources of a task on its worker and refunds its owner. */
void zone_task_release(struct zone *z, struct zone_job *job, uint32_t task)
{
	struct zone_task *t = &job->tasks[task];

	if (t->worker == ZONE_NO_WORKER)
		return;
	place_release(&z->places[t->worker], &t->charged);
	share_refund(z->share, job->owner, &t->charged);
	z->entries[job->entry]->running--;
	t->charged = (struct res){ 0 };
	t->worker = ZONE_NO_WORKER;
	t->throttled = false;
}

/*
 * Resets a task to TASK_WAIT. The caller must know that the task's lease can no
 * longer lead to a run.
 */
void zone_task_reset(struct zone *z, struct zone_job *job, uint32_t task)
{
	struct zone_task *t = &job->tasks[task];

	zone_task_release(z, job, task);
	t->lease[0] = '\0';
	t->started_ms = 0;
	t->assigned = false;
	zone_set_task_state(z, t, TASK_WAIT);
}

/*
 * Handles a stop that has taken effect. A task that may not be repeated fails
 * instead of waiting again, because it has run in part.
 */
void zone_task_stopped(struct zone *z, struct zone_job *job, uint32_t task)
{
	if (job->spec.repeat || job->cancelled || job->stopping) {
		zone_task_reset(z, job, task);
	} else {
		zone_task_release(z, job, task);
		zone_set_task_state(z, &job->tasks[task], TASK_FAILED);
	}
	zone_update_job(z, job);
}

/*
 * Stops the running tasks of a job and resets those that were not sent a start.
 * Tasks with a lease or start request in flight are stopped on its reply.
 */
void zone_stop_tasks(struct zone *z, struct zone_job *job)
{
	job->stopping = true;
	for (uint32_t i = 0; i < job->task_count; i++) {
		struct zone_task *t = &job->tasks[i];

		switch (t->state) {
		case TASK_LEASED:
		case TASK_ASSIGN:
			/* No start was sent; the lease is left to expire. */
			zone_task_reset(z, job, i);
			break;
		case TASK_RUN: {
			struct zone_action *a = zone_add_action(z, ZONE_STOP);

			memcpy(a->worker, z->workers[t->worker].id,
			       sizeof(a->worker));
			memcpy(a->addr, z->workers[t->worker].addr,
			       sizeof(a->addr));
			memcpy(a->lease, t->lease, sizeof(a->lease));
			zone_set_task_state(z, t, TASK_STOP);
			break;
		}
		default:
			break;
		}
	}
}

static bool has_live_tasks(const struct zone_job *job)
{
	for (uint32_t i = 0; i < job->task_count; i++) {
		switch (job->tasks[i].state) {
		case TASK_WAIT:
		case TASK_DONE:
		case TASK_FAILED:
			break;
		default:
			return true;
		}
	}
	return false;
}

static void end_if_complete(struct zone *z, struct zone_job *job)
{
	uint32_t done = 0;
	uint32_t failed = 0;

	for (uint32_t i = 0; i < job->task_count; i++) {
		done += job->tasks[i].state == TASK_DONE;
		failed += job->tasks[i].state == TASK_FAILED;
	}
	if (done == job->task_count)
		zone_job_end(z, job, ERR_NONE, OUTCOME_DONE, "");
	else if (failed && done + failed == job->task_count)
		zone_job_end(z, job, ERR_RETRIES, OUTCOME_FAILED, job->text);
}

/*
 * Resets all tasks of a gang for its next attempt. The journal may already have
 * JNL_DONE records of some of them; on replay, JNL_FAIL undoes these.
 */
static void reset_gang(struct zone *z, struct zone_job *job)
{
	struct jnl_record record = { .type = JNL_FAIL,
				     .job = job->jid,
				     .attempt = job->attempts };

	snprintf(record.text, sizeof(record.text), "%s", job->text);
	jnl_append(&z->pending, &record);
	for (uint32_t i = 0; i < job->task_count; i++) {
		free(job->tasks[i].output);
		job->tasks[i].output = NULL;
		zone_task_reset(z, job, i);
	}
}

/*
 * Updates the state of a job after a change of one of its tasks: ends the job,
 * queues it again, or leaves it as it is while a task may still run.
 */
void zone_update_job(struct zone *z, struct zone_job *job)
{
	bool waits = false;

	if (job->state == JOB_ENDING || job->state == JOB_ENDED ||
	    job->state == JOB_ACCEPTING)
		return;
	if (job->cancelled) {
		if (has_live_tasks(job))
			return;
		if (job->may_have_run)
			zone_job_end(z, job, ERR_CANCELLED, OUTCOME_FAILED,
				     "cancelled after it had started");
		else if (job->recovered)
			zone_job_end(z, job, ERR_CANCELLED, OUTCOME_UNKNOWN,
				     "cancelled; it may have run before");
		else
			zone_job_end(z, job, ERR_CANCELLED, OUTCOME_NOT_RUN,
				     "cancelled before it started");
		return;
	}
	if (job->stopping) {
		if (has_live_tasks(job))
			return;
		job->stopping = false;
		if (job->attempts >= ZONE_MAX_ATTEMPTS ||
		    (!job->spec.repeat && job->may_have_run)) {
			zone_job_end(z, job, ERR_RETRIES, OUTCOME_FAILED,
				     job->text);
			return;
		}
		reset_gang(z, job);
	}
	end_if_complete(z, job);
	if (job->state == JOB_ENDING)
		return;
	for (uint32_t i = 0; i < job->task_count; i++)
		waits |= job->tasks[i].state == TASK_WAIT;
	if (waits && !(job->spec.gang && has_live_tasks(job)))
		zone_requeue(z, job);
}

/* Counts a failed attempt of a gang and stops its other tasks. */
static void abort_gang(struct zone *z, struct zone_job *job, const char *why)
{
	if (job->stopping)
		return;
	job->attempts++;
	job->not_before_ms =
		z->now_ms + ((uint64_t)ZONE_BACKOFF_MS << job->attempts);
	snprintf(job->text, sizeof(job->text), "%s", why);
	zone_stop_tasks(z, job);
}

/*
 * Counts a failed attempt of a task that has ended on its worker. The attempt
 * is journalled, so that the retry budget survives a takeover.
 */
void zone_task_failed(struct zone *z, struct zone_job *job, uint32_t task,
		      const char *why)
{
	struct zone_task *t = &job->tasks[task];
	struct jnl_record record = { .type = JNL_FAIL,
				     .job = job->jid,
				     .task = task,
				     .attempt = t->failures + 1 };
	uint32_t worker = t->worker;

	t->failures++;
	snprintf(record.text, sizeof(record.text), "%s", why);
	jnl_append(&z->pending, &record);
	zone_on_commit(z, COMMIT_ATTEMPT_ENDED, job, task, worker);
	snprintf(job->text, sizeof(job->text), "task %u failed: %.160s", task,
		 why);
	if (worker != ZONE_NO_WORKER)
		health_result(&z->workers[worker].health, false, z->now_ms);
	job->may_have_run = true;
	if (job->spec.gang) {
		char text[JNL_TEXT_MAX];

		memcpy(text, job->text, sizeof(text));
		zone_task_reset(z, job, task);
		abort_gang(z, job, text);
		if (!job->spec.repeat)
			job->attempts = ZONE_MAX_ATTEMPTS;
	} else if (!job->spec.repeat || t->failures >= ZONE_MAX_ATTEMPTS) {
		zone_task_release(z, job, task);
		zone_set_task_state(z, t, TASK_FAILED);
	} else {
		uint64_t base = (uint64_t)ZONE_BACKOFF_MS << t->failures;

		zone_task_reset(z, job, task);
		t->not_before_ms =
			z->now_ms + base / 2 + zone_random(z) % (base / 2 + 1);
	}
	zone_update_job(z, job);
}

/* Journals the output of a task that has succeeded. */
void zone_task_done(struct zone *z, struct zone_job *job, uint32_t task,
		    const char *output, size_t len)
{
	struct zone_task *t = &job->tasks[task];
	struct zone_entry *entry = z->entries[job->entry];
	uint32_t worker = t->worker;
	struct jnl_record record = { .type = JNL_DONE,
				     .job = job->jid,
				     .task = task };

	if (len > ZONE_OUTPUT_MAX)
		len = ZONE_OUTPUT_MAX;
	free(t->output);
	t->output = malloc(len + 1);
	if (!t->output)
		abort();
	memcpy(t->output, output, len);
	t->output[len] = '\0';
	t->output_len = len;
	record.data = t->output;
	record.data_len = len;
	if (t->started_ms)
		est_observe_run(&entry->est, z->now_ms - t->started_ms);
	if (worker != ZONE_NO_WORKER)
		health_result(&z->workers[worker].health, true, z->now_ms);
	job->may_have_run = true;
	zone_task_release(z, job, task);
	zone_set_task_state(z, t, TASK_DONE);
	jnl_append(&z->pending, &record);
	zone_on_commit(z, COMMIT_ATTEMPT_ENDED, job, task, worker);
	zone_update_job(z, job);
}

static void zone_send_lease(struct zone *z, struct zone_job *job, uint32_t task)
{
	struct zone_task *t = &job->tasks[task];
	struct zone_action *a = zone_add_action(z, ZONE_CREATE_LEASE);
	const struct zone_worker *w = &z->workers[t->worker];

	t->attempt++;
	snprintf(t->lease, sizeof(t->lease), "%s.%u.%" PRIx64 ".%x", job->id,
		 task, z->epoch, t->attempt);
	memcpy(a->worker, w->id, sizeof(a->worker));
	memcpy(a->addr, w->addr, sizeof(a->addr));
	memcpy(a->lease, t->lease, sizeof(a->lease));
	a->ttl_ms = z->settings.start_lease_ms;
	zone_set_task_state(z, t, TASK_LEASE);
}

/* Creates the lease of a task whose assignment is committed. */
void zone_assignment_committed(struct zone *z, struct zone_job *job,
			       uint32_t task)
{
	struct zone_task *t = &job->tasks[task];

	if (t->state != TASK_ASSIGN)
		return;
	t->assigned = true;
	zone_send_lease(z, job, task);
}

static void assign_task(struct zone *z, struct zone_job *job, uint32_t task)
{
	struct zone_task *t = &job->tasks[task];
	struct jnl_record record = { .type = JNL_ASSIGN,
				     .job = job->jid,
				     .task = task,
				     .attempt = t->attempt + 1 };

	health_sent(&z->workers[t->worker].health, z->now_ms);
	if (job->spec.repeat) {
		zone_send_lease(z, job, task);
		return;
	}
	snprintf(record.worker, sizeof(record.worker), "%s",
		 z->workers[t->worker].id);
	zone_set_task_state(z, t, TASK_ASSIGN);
	jnl_append(&z->pending, &record);
	zone_on_commit(z, COMMIT_ASSIGNED, job, task, t->worker);
}

static void zone_send_start(struct zone *z, struct zone_job *job, uint32_t task)
{
	struct zone_task *t = &job->tasks[task];
	struct zone_action *a = zone_add_action(z, ZONE_START);
	const struct zone_worker *w = &z->workers[t->worker];
	json_t *body = json_pack(
		"{s:s,s:s,s:i,s:s,s:f,s:I,s:I,s:o}", "lease", t->lease, "job",
		job->id, "task", (int)task, "entry", job->spec.entry, "cpus",
		t->charged.cpu_milli / 1000.0, "mem_mb",
		(json_int_t)t->charged.mem_mb, "accel",
		(json_int_t)t->charged.accel, "input",
		json_stringn_nocheck(job->input ? job->input : "",
				     job->input_len));

	memcpy(a->worker, w->id, sizeof(a->worker));
	memcpy(a->addr, w->addr, sizeof(a->addr));
	memcpy(a->lease, t->lease, sizeof(a->lease));
	a->body = json_dumps(body, JSON_COMPACT);
	a->body_len = strlen(a->body);
	json_decref(body);
	zone_set_task_state(z, t, TASK_START);
	z->stats.starts++;
	if (t->failures || job->attempts)
		z->stats.restarts++;
}

static bool zone_gang_leased(const struct zone_job *job)
{
	for (uint32_t i = 0; i < job->task_count; i++) {
		if (job->tasks[i].state != TASK_LEASED)
			return false;
	}
	return true;
}

/*
 * Handles the reply to a lease creation. The claim is checked after this reply
 * and before the start is sent: without a valid claim nothing is started and
 * the lease is left to expire.
 */
void zone_on_lease(struct zone *z, struct zone_job *job, uint32_t task,
		   enum zone_result result, bool may_start)
{
	struct zone_task *t = &job->tasks[task];

	if (t->state != TASK_LEASE)
		return;
	if (result != ZONE_OK) {
		/* Even if the lease exists, nothing runs without a start. */
		health_result(&z->workers[t->worker].health, false, z->now_ms);
		t->not_before_ms = z->now_ms + ZONE_BACKOFF_MS;
		zone_task_reset(z, job, task);
		if (job->spec.gang)
			abort_gang(z, job, "a lease was refused");
		zone_update_job(z, job);
		return;
	}
	if (!may_start || job->cancelled || job->stopping) {
		zone_task_reset(z, job, task);
		if (job->spec.gang && !job->stopping)
			zone_stop_tasks(z, job);
		zone_update_job(z, job);
		return;
	}
	if (!job->spec.gang) {
		zone_send_start(z, job, task);
		return;
	}
	zone_set_task_state(z, t, TASK_LEASED);
	if (!zone_gang_leased(job))
		return;
	for (uint32_t i = 0; i < job->task_count; i++)
		zone_send_start(z, job, i);
}

/* Handles the reply to a start. */
void zone_on_start(struct zone *z, struct zone_job *job, uint32_t task,
		   enum zone_result result)
{
	struct zone_task *t = &job->tasks[task];

	if (t->state != TASK_START)
		return;
	switch (result) {
	case ZONE_OK:
		zone_set_task_state(z, t, TASK_RUN);
		t->started_ms = z->now_ms;
		job->may_have_run = true;
		z->workers[t->worker].sync_now = true;
		if (job->cancelled || job->stopping)
			zone_stop_tasks(z, job);
		break;
	case ZONE_REFUSED:
	case ZONE_NOT_SENT:
		health_result(&z->workers[t->worker].health, false, z->now_ms);
		t->not_before_ms = z->now_ms + ZONE_BACKOFF_MS;
		zone_task_reset(z, job, task);
		if (job->spec.gang)
			abort_gang(z, job, "a start was refused");
		zone_update_job(z, job);
		break;
	case ZONE_NO_ANSWER:
		zone_set_task_state(z, t, TASK_UNCERTAIN);
		job->may_have_run = true;
		z->workers[t->worker].sync_now = true;
		if (job->spec.gang)
			abort_gang(z, job, "a start was not answered");
		break;
	}
}

/* Handles the reply to a stop; a failed stop is retried. */
void zone_on_stop(struct zone *z, struct zone_job *job, uint32_t task,
		  enum zone_result result)
{
	struct zone_task *t = &job->tasks[task];
	struct zone_action *a;

	if (t->state != TASK_STOP)
		return;
	if (result == ZONE_OK || result == ZONE_REFUSED) {
		zone_task_stopped(z, job, task);
		return;
	}
	if (z->workers[t->worker].state != WORKER_UP)
		return; /* decided by its next listing or lease expiry */
	a = zone_add_action(z, ZONE_STOP);
	memcpy(a->worker, z->workers[t->worker].id, sizeof(a->worker));
	memcpy(a->addr, z->workers[t->worker].addr, sizeof(a->addr));
	memcpy(a->lease, t->lease, sizeof(a->lease));
}

static bool is_usable(const struct zone_worker *w)
{
	return w->used && w->state == WORKER_UP && w->listed && !w->leaving;
}

/*
 * Marks the workers that tasks may be placed on. Ejection is ignored when more
 * than half of the responding workers are ejected, because then the tasks are
 * more likely at fault than the workers.
 */
static void update_usable_workers(struct zone *z)
{
	struct res total = { 0 };
	uint32_t up = 0;
	uint32_t ejected = 0;

	for (uint32_t i = 0; i < z->worker_count; i++) {
		if (!is_usable(&z->workers[i]))
			continue;
		up++;
		ejected += health_state(&z->workers[i].health, z->now_ms) ==
			   HEALTH_EJECTED;
	}
	for (uint32_t i = 0; i < z->worker_count; i++) {
		struct zone_worker *w = &z->workers[i];
		struct place_worker *p = &z->places[i];

		p->usable =
			is_usable(w) &&
			(ejected * 2 > up ||
			 health_state(&w->health, z->now_ms) != HEALTH_EJECTED);
		if (w->used && w->listed)
			res_add(&total, &p->capacity);
	}
	share_set_total(z->share, &total);
}

static struct res placement_need(const struct zone *z,
				 const struct zone_job *job)
{
	struct res need = job->spec.need;
	struct res size;

	est_size(&z->entries[job->entry]->est, &size);
	if (size.cpu_milli > need.cpu_milli)
		need.cpu_milli = size.cpu_milli;
	if (size.mem_mb > need.mem_mb)
		need.mem_mb = size.mem_mb;
	if (size.accel > need.accel)
		need.accel = size.accel;
	/*
	 * A task whose estimate fits no worker is tried at its declared size,
	 * and fails there if that is too small, rather than never starting.
	 */
	if (!place_ever_fits(z->places, z->worker_count, &need))
		return job->spec.need;
	return need;
}

static void update_drain_rate(struct zone *z, struct zone_job *job)
{
	struct zone_entry *entry = z->entries[job->entry];
	uint64_t gap = z->now_ms - entry->last_start_ms;

	if (entry->last_start_ms && gap < 60000)
		entry->drain_per_s =
			0.8 * entry->drain_per_s + 0.2 * 1000.0 / (gap + 1);
	entry->last_start_ms = z->now_ms;
}

enum place_result { PLACED, PLACE_NO_ROOM, PLACE_LIMIT, PLACE_DELAYED };

static enum place_result zone_place_gang(struct zone *z, struct zone_job *job,
					 const struct res *need)
{
	int32_t *at = calloc(job->task_count, sizeof(*at));
	struct res all = { 0 };
	bool ok;

	if (!at)
		abort();
	for (uint32_t i = 0; i < job->task_count; i++)
		res_add(&all, need);
	if (!share_allows(z->share, job->owner, &all)) {
		free(at);
		return PLACE_LIMIT;
	}
	ok = place_gang(&z->policy, z->places, z->worker_count, need,
			job->task_count, at);
	for (uint32_t i = 0; ok && i < job->task_count; i++) {
		/* zone_charge() repeats the reservation of place_gang(). */
		place_release(&z->places[at[i]], need);
		zone_charge(z, job, i, (uint32_t)at[i], need);
	}
	for (uint32_t i = 0; ok && i < job->task_count; i++)
		assign_task(z, job, i);
	free(at);
	return ok ? PLACED : PLACE_NO_ROOM;
}

static enum place_result zone_place_tasks(struct zone *z, struct zone_job *job,
					  const struct res *need)
{
	enum place_result result = PLACED;

	for (uint32_t i = 0; i < job->task_count; i++) {
		struct zone_task *t = &job->tasks[i];
		int32_t at;

		if (t->state != TASK_WAIT)
			continue;
		if (t->not_before_ms > z->now_ms) {
			result = PLACE_DELAYED;
			continue;
		}
		if (!share_allows(z->share, job->owner, need))
			return PLACE_LIMIT;
		at = place_pick(&z->policy, z->places, z->worker_count, need);
		if (at < 0)
			return PLACE_NO_ROOM;
		zone_charge(z, job, i, (uint32_t)at, need);
		if (health_state(&z->workers[at].health, z->now_ms) ==
		    HEALTH_PROBE)
			z->places[at].usable = false;
		assign_task(z, job, i);
	}
	return result;
}

/*
 * Returns whether a recovered job must wait because it may run on a worker that
 * has not sent a listing since the takeover. A job that may run twice waits for
 * ZONE_LISTING_WAIT_MS only.
 */
bool zone_awaits_listing(const struct zone *z, const struct zone_job *job)
{
	if (!job->recovered || !zone_unreconciled_workers(z))
		return false;
	if (job->spec.exclusive || !job->spec.repeat)
		return true;
	return z->now_ms - z->takeover_ms < ZONE_LISTING_WAIT_MS;
}

static enum place_result zone_place_job(struct zone *z, struct zone_job *job)
{
	struct zone_entry *entry = z->entries[job->entry];
	struct res need = placement_need(z, job);
	enum place_result result;

	if (job->spec.max_running && entry->running >= job->spec.max_running)
		return PLACE_LIMIT;
	if (job->spec.gang)
		result = zone_place_gang(z, job, &need);
	else
		result = zone_place_tasks(z, job, &need);
	if (result == PLACED)
		update_drain_rate(z, job);
	return result;
}

static void update_reservation(struct zone *z)
{
	const struct queue_job *q =
		queue_get(z->queue, queue_reserved(z->queue));
	struct zone_job *job;
	struct res need;

	place_unfence(z->places, z->worker_count);
	if (!q)
		return;
	job = (struct zone_job *)(uintptr_t)q->user;
	need = placement_need(z, job);
	place_fence(z->places, z->worker_count, &need,
		    job->spec.gang ? job->task_count : 1);
}

/* Places the waiting jobs in queue order, if tasks may be started. */
void zone_place_queued(struct zone *z, bool may_start)
{
	queue_ref ref;

	if (!may_start || !queue_count(z->queue))
		return;
	update_usable_workers(z);
	queue_begin(z->queue, z->now_ms);
	update_reservation(z);
	while ((ref = queue_next(z->queue)) != QUEUE_NONE) {
		const struct queue_job *q = queue_get(z->queue, ref);
		struct zone_job *job = (struct zone_job *)(uintptr_t)q->user;

		z->policy.allowed_fence = queue_may_use_reserved(z->queue, ref);
		switch (zone_place_job(z, job)) {
		case PLACED:
			zone_dequeue(z, job);
			job->state = JOB_ACTIVE;
			break;
		case PLACE_DELAYED:
			zone_dequeue(z, job);
			zone_requeue(z, job);
			break;
		case PLACE_NO_ROOM:
			queue_blocked(z->queue, ref, QUEUE_NO_ROOM);
			break;
		case PLACE_LIMIT:
			queue_blocked(z->queue, ref, QUEUE_LIMIT);
			break;
		}
	}
	z->policy.allowed_fence = false;
}
