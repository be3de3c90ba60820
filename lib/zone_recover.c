/* Journal replay, snapshots, results of worker requests, and job status. */
#include "zone_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct zone_job *recover_find(struct zone *z, const struct jnl_id *id)
{
	char name[ZONE_ID_MAX];

	snprintf(name, sizeof(name), "%s-%" PRIx64 "-%" PRIx64, z->settings.az,
		 id->epoch, id->seq);
	return zone_find_job(z, name);
}

/* Resets all tasks of a gang, also those that ended in the failed attempt. */
static void recover_gang_failure(struct zone_job *job, uint32_t attempts)
{
	if (job->attempts < attempts)
		job->attempts = attempts;
	for (uint32_t i = 0; i < job->task_count; i++)
		job->tasks[i].state = TASK_WAIT;
}

static bool recover_job(struct zone *z, const struct jnl_record *r,
			struct err *err)
{
	struct zone_job *job = recover_find(z, &r->job);
	struct zone_task *t = NULL;

	if (r->type == JNL_ACCEPT) {
		if (job)
			return true;
		if (!r->spec.tasks || r->spec.tasks > ZONE_TASKS_MAX)
			return err_set(err, ERR_BAD_REQUEST,
				       "journal: invalid number of tasks: %u",
				       r->spec.tasks);
		job = zone_add_job(z, &r->job, &r->spec, r->data, r->data_len);
		job->state = JOB_QUEUED;
		job->recovered = true;
		return true;
	}
	if (!job)
		return true; /* deleted, not in the snapshot */
	if (r->type == JNL_ASSIGN || r->type == JNL_FAIL ||
	    r->type == JNL_DONE) {
		if (r->task >= job->task_count)
			return err_set(err, ERR_BAD_REQUEST,
				       "journal: job %s has no task %u",
				       job->id, r->task);
		t = &job->tasks[r->task];
	}
	switch (r->type) {
	case JNL_ASSIGN:
		t->assigned = true;
		memcpy(t->assigned_to, r->worker, sizeof(t->assigned_to));
		break;
	case JNL_FAIL:
		job->may_have_run = true;
		if (job->spec.gang)
			recover_gang_failure(job, r->attempt);
		else
			t->failures = r->attempt;
		snprintf(job->text, sizeof(job->text), "%s", r->text);
		break;
	case JNL_DONE:
		t->state = TASK_DONE;
		job->may_have_run = true;
		free(t->output);
		t->output = malloc(r->data_len + 1);
		if (!t->output)
			abort();
		memcpy(t->output, r->data, r->data_len);
		t->output[r->data_len] = '\0';
		t->output_len = r->data_len;
		break;
	case JNL_CANCEL:
		job->cancelled = true;
		break;
	case JNL_END:
		zone_mark_ended(z, job);
		job->kind = r->kind;
		job->outcome = r->outcome;
		snprintf(job->text, sizeof(job->text), "%s", r->text);
		break;
	case JNL_PURGE:
		/* The job's retention time starts again at recovery. */
		zone_mark_ended(z, job);
		break;
	default:
		break;
	}
	return true;
}

/*
 * Replays the records of a batch or of a snapshot chunk, which must be passed
 * in journal order. Returns false if a record is inconsistent with the ones
 * before it.
 */
bool zone_replay(struct zone *z, const struct jnl_batch *batch, struct err *err)
{
	for (uint32_t n = 0; n < batch->count; n++) {
		const struct jnl_record *r = &batch->records[n];
		uint32_t i;

		if (r->type == JNL_WORKER_ADD) {
			if (zone_worker_index(z, r->worker) == ZONE_NO_WORKER)
				zone_add_worker(z, r->worker, r->addr,
						WORKER_UNKNOWN);
			continue;
		}
		if (r->type == JNL_WORKER_REMOVE) {
			struct zone_worker *w;

			i = zone_worker_index(z, r->worker);
			if (i == ZONE_NO_WORKER)
				continue;
			w = &z->workers[i];
			HASH_DELETE(hh, z->worker_ids, w);
			json_decref(w->acks);
			*w = (struct zone_worker){ 0 };
			continue;
		}
		if (!recover_job(z, r, err))
			return false;
	}
	return true;
}

/* Continues or ends a recovered job once all its running tasks are known. */
static void reconcile_job(struct zone *z, struct zone_job *job)
{
	uint32_t waits = 0;
	uint32_t runs = 0;

	for (uint32_t i = 0; i < job->task_count; i++) {
		const struct zone_task *t = &job->tasks[i];

		if (t->state == TASK_WAIT && t->assigned) {
			zone_job_end(z, job, ERR_LOST, OUTCOME_UNKNOWN,
				     "assigned, but its end was not learned");
			return;
		}
		waits += t->state == TASK_WAIT;
		runs += t->state != TASK_WAIT && t->state != TASK_FAILED;
	}
	if (job->spec.gang && waits && runs && !job->stopping) {
		/* The tasks of a gang run all together or not at all. */
		job->stopping = true;
		zone_stop_tasks(z, job);
	}
	zone_update_job(z, job);
}

/*
 * Continues or ends the recovered jobs after a takeover, once each worker has
 * sent a listing or its leases have expired.
 */
void zone_reconcile(struct zone *z)
{
	struct zone_job *job;
	struct zone_job *next;

	if (!z->reconciling || zone_unreconciled_workers(z))
		return;
	z->reconciling = false;
	HASH_ITER(hh, z->jobs, job, next)
	{
		if (job->recovered && job->state != JOB_ENDED &&
		    job->state != JOB_ENDING)
			reconcile_job(z, job);
	}
}

static void recover_tasks(struct zone *z, struct zone_job *job)
{
	uint32_t ended = 0;

	for (uint32_t i = 0; i < job->task_count; i++) {
		struct zone_task *t = &job->tasks[i];

		if (t->state == TASK_WAIT && !job->spec.gang && t->failures &&
		    (!job->spec.repeat || t->failures >= ZONE_MAX_ATTEMPTS))
			t->state = TASK_FAILED;
		ended += t->state == TASK_DONE || t->state == TASK_FAILED;
	}
	job->queued_ms = z->now_ms;
	if (job->state == JOB_ENDED) {
		job->ended_ms = z->now_ms;
		return;
	}
	if (ended < job->task_count)
		zone_requeue(z, job);
	else
		zone_update_job(z, job);
}

/*
 * Returns the longest lease term that the previous holder can have used, in
 * milliseconds. The term depends on the number of workers: those in the
 * journal, and a quarter more for those that were in a batch in flight.
 */
static uint64_t previous_term_ms(const struct zone *z)
{
	uint32_t count = zone_used_workers(z);
	uint64_t ms = (uint64_t)(count + count / 4 + 1) * ZONE_SYNC_BYTES *
		      1000 / ZONE_SYNC_BANDWIDTH;

	if (ms < z->settings.sync_min_ms)
		ms = z->settings.sync_min_ms;
	if (ms > z->settings.sync_max_ms)
		ms = z->settings.sync_max_ms;
	return 3 * ms;
}

/*
 * Completes the recovery and makes this daemon the scheduler in @epoch. All
 * earlier claims must have expired by @now_ms. Each worker in the journal stays
 * unreconciled until it has sent a listing or all earlier leases on it have
 * expired. That takes up to two terms, because a paused holder may send one
 * delayed renewal just before the leases expire, plus one percent for the drift
 * of the worker's clock.
 */
void zone_finish_recovery(struct zone *z, uint64_t epoch, uint64_t now_ms)
{
	uint64_t term;
	struct zone_job *job;
	struct zone_job *next;

	z->epoch = epoch;
	z->next_seq = 1;
	/* Late replies to requests of earlier epochs must not match. */
	z->next_ref = (uint32_t)(epoch & 0xfff) << 20 | 1;
	z->now_ms = now_ms;
	z->takeover_ms = now_ms;
	z->reconciling = true;
	term = previous_term_ms(z);
	for (uint32_t i = 0; i < z->worker_count; i++) {
		struct zone_worker *w = &z->workers[i];

		if (!w->used)
			continue;
		w->state = WORKER_UNKNOWN;
		w->last_ok_ms = now_ms;
		w->reconcile_by_ms =
			now_ms + 2 * (term + term / 100) + ZONE_RETRANSMIT_MS;
	}
	HASH_ITER(hh, z->jobs, job, next)
	recover_tasks(z, job);
}

/*
 * Emits records that restore the current state, which includes all records up
 * to the batch taken last. Must be called right after zone_take_batch(); the
 * snapshot must not be used before that batch is committed.
 */
void zone_snapshot(struct zone *z,
		   void (*emit)(void *ctx, const struct jnl_record *record),
		   void *ctx)
{
	struct zone_job *job;
	struct zone_job *next;

	for (uint32_t i = 0; i < z->worker_count; i++) {
		struct jnl_record r = { .type = JNL_WORKER_ADD };

		if (!z->workers[i].used)
			continue;
		memcpy(r.worker, z->workers[i].id, sizeof(r.worker));
		memcpy(r.addr, z->workers[i].addr, sizeof(r.addr));
		emit(ctx, &r);
	}
	HASH_ITER(hh, z->jobs, job, next)
	{
		struct jnl_record r = { .type = JNL_ACCEPT,
					.job = job->jid,
					.spec = job->spec,
					.data = job->input,
					.data_len = job->input_len };

		emit(ctx, &r);
		r = (struct jnl_record){ .type = JNL_FAIL,
					 .job = job->jid,
					 .attempt = job->attempts };
		memcpy(r.text, job->text, sizeof(r.text));
		if (job->spec.gang && job->attempts)
			emit(ctx, &r);
		for (uint32_t i = 0; i < job->task_count; i++) {
			const struct zone_task *t = &job->tasks[i];

			r = (struct jnl_record){ .job = job->jid, .task = i };
			memcpy(r.text, job->text, sizeof(r.text));
			if (t->assigned) {
				r.type = JNL_ASSIGN;
				memcpy(r.worker, t->assigned_to,
				       sizeof(r.worker));
				emit(ctx, &r);
			}
			r.attempt = t->failures;
			if (r.attempt && !job->spec.gang) {
				r.type = JNL_FAIL;
				emit(ctx, &r);
			}
			if (t->state == TASK_DONE) {
				r.type = JNL_DONE;
				r.data = t->output;
				r.data_len = t->output_len;
				emit(ctx, &r);
			}
		}
		r = (struct jnl_record){ .type = JNL_CANCEL, .job = job->jid };
		if (job->cancelled)
			emit(ctx, &r);
		r = (struct jnl_record){ .type = JNL_END,
					 .job = job->jid,
					 .kind = job->kind,
					 .outcome = job->outcome };
		memcpy(r.text, job->text, sizeof(r.text));
		if (job->state == JOB_ENDED || job->state == JOB_ENDING)
			emit(ctx, &r);
	}
}

/*
 * Handles the result of a request to a worker. A sync is identified by the @ref
 * of its action, other requests by their lease. @rights must be determined
 * after the reply has arrived.
 */
void zone_on_result(struct zone *z, enum zone_action_kind kind, uint32_t ref,
		    const char *worker, const char *lease,
		    enum zone_result result, const char *body, size_t len,
		    const struct zone_rights *rights, uint64_t now_ms)
{
	uint32_t w = zone_worker_index(z, worker);
	char id[ZONE_ID_MAX];
	uint32_t task;
	struct zone_job *job = NULL;

	z->now_ms = now_ms;
	if (kind == ZONE_SYNC) {
		if (w != ZONE_NO_WORKER)
			zone_on_sync(z, w, ref, result, body, len,
				     rights->valid);
		return;
	}
	if (zone_lease_parse(lease, id, sizeof(id), &task))
		job = zone_find_job(z, id);
	if (!job || task >= job->task_count ||
	    strcmp(job->tasks[task].lease, lease) != 0)
		return;
	switch (kind) {
	case ZONE_CREATE_LEASE:
		zone_on_lease(z, job, task, result, rights->start);
		break;
	case ZONE_START:
		zone_on_start(z, job, task, result);
		break;
	case ZONE_STOP:
		zone_on_stop(z, job, task, result);
		break;
	default:
		break;
	}
}

static const char *job_state_name(const struct zone_job *job)
{
	if (job->state == JOB_ENDED)
		return outcome_name(job->outcome);
	for (uint32_t i = 0; i < job->task_count; i++) {
		if (job->tasks[i].state == TASK_RUN)
			return "running";
	}
	return job->state == JOB_ACTIVE ? "starting" : "queued";
}

static json_t *task_json(const struct zone *z, const struct zone_task *t)
{
	static const char *const names[] = {
		[TASK_WAIT] = "waiting",   [TASK_ASSIGN] = "starting",
		[TASK_LEASE] = "starting", [TASK_LEASED] = "starting",
		[TASK_START] = "starting", [TASK_UNCERTAIN] = "uncertain",
		[TASK_RUN] = "running",	   [TASK_STOP] = "stopping",
		[TASK_DONE] = "done",	   [TASK_FAILED] = "failed",
	};
	json_t *o = json_pack("{s:s,s:i}", "state", names[t->state], "failures",
			      (int)t->failures);

	if (t->worker != ZONE_NO_WORKER)
		json_object_set_new(o, "worker",
				    json_string(z->workers[t->worker].id));
	if (t->output)
		json_object_set_new(
			o, "output",
			json_stringn_nocheck(t->output, t->output_len));
	return o;
}

/*
 * Writes the status of a job as JSON to @body, to be freed by the caller.
 * Returns false with ERR_NOT_FOUND for an unknown job. Such a job may have run,
 * because ended jobs are deleted after ZONE_RETAIN_MS (one hour).
 */
bool zone_status(struct zone *z, const char *id, char **body, size_t *len,
		 struct err *err, enum outcome *outcome)
{
	struct zone_job *job = zone_find_job(z, id);
	json_t *tasks;
	json_t *root;

	if (!job) {
		*outcome = OUTCOME_UNKNOWN;
		return err_set(err, ERR_NOT_FOUND, "job %s not found", id);
	}
	tasks = json_array();
	for (uint32_t i = 0; i < job->task_count; i++)
		json_array_append_new(tasks, task_json(z, &job->tasks[i]));
	*outcome = job->state == JOB_ENDED ? job->outcome : OUTCOME_ACCEPTED;
	root = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:o}", "id", job->id,
			 "entry", job->spec.entry, "state", job_state_name(job),
			 "outcome", outcome_name(*outcome), "error",
			 job->state == JOB_ENDED ? err_name(job->kind) : "",
			 "detail", job->text, "tasks", tasks);
	*body = json_dumps(root, JSON_COMPACT);
	*len = strlen(*body);
	json_decref(root);
	return true;
}
