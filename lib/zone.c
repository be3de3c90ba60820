#include "zone_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit.h"

static void *zone_alloc(size_t n, size_t size)
{
	void *p = calloc(n ? n : 1, size);

	if (!p)
		abort();
	return p;
}

/* Returns the next value of an xorshift64* generator (Vigna, 2016). */
uint64_t zone_random(struct zone *z)
{
	z->rng ^= z->rng >> 12;
	z->rng ^= z->rng << 25;
	z->rng ^= z->rng >> 27;
	return z->rng * 2685821657736338717ULL;
}

/* Returns a new scheduler without jobs and workers. */
struct zone *zone_new(const struct zone_settings *settings)
{
	static const struct queue_limits limits = { .reserve_after_ms = 5000,
						    .reserve_ms = 5000,
						    .reserve_max_ms = 60000 };
	struct zone *z = zone_alloc(1, sizeof(*z));

	z->settings = *settings;
	z->rng = settings->seed | 1;
	z->batch = 1;
	z->next_ref = 1;
	z->commit_actions_tail = &z->commit_actions;
	z->actions_tail = &z->actions;
	z->share = share_new();
	z->queue = queue_new(z->share, &limits);
	place_init(&z->policy, PLACE_BEST_FIT, settings->seed);
	return z;
}

static void zone_free_job(struct zone_job *job)
{
	for (uint32_t i = 0; i < job->task_count; i++)
		free(job->tasks[i].output);
	free(job->tasks);
	free(job->input);
	free(job);
}

/* Frees an action and its body. */
void zone_action_free(struct zone_action *action)
{
	if (!action)
		return;
	free(action->body);
	free(action);
}

/* Frees the scheduler; tasks on workers keep running. */
void zone_free(struct zone *z)
{
	struct zone_job *job;
	struct zone_job *next;

	if (!z)
		return;
	HASH_CLEAR(hh_key, z->by_key);
	HASH_ITER(hh, z->jobs, job, next)
	{
		HASH_DELETE(hh, z->jobs, job);
		zone_free_job(job);
	}
	HASH_CLEAR(hh, z->worker_ids);
	for (uint32_t i = 0; i < z->worker_count; i++)
		json_decref(z->workers[i].acks);
	HASH_CLEAR(hh, z->entry_names);
	for (uint32_t i = 0; i < z->entry_count; i++)
		free(z->entries[i]);
	while (z->commit_actions) {
		struct commit_action *e = z->commit_actions;

		z->commit_actions = e->next;
		free(e);
	}
	while (z->actions) {
		struct zone_action *a = z->actions;

		z->actions = a->next;
		zone_action_free(a);
	}
	jnl_pending_free(&z->pending);
	queue_free(z->queue);
	share_free(z->share);
	free(z->entries);
	free(z->workers);
	free(z->places);
	free(z->rack_names);
	free(z);
}

/* Appends an action to the list of zone_next_action(). */
struct zone_action *zone_add_action(struct zone *z, enum zone_action_kind kind)
{
	struct zone_action *a = zone_alloc(1, sizeof(*a));

	a->kind = kind;
	*z->actions_tail = a;
	z->actions_tail = &a->next;
	return a;
}

/* Returns the next action, to be freed by the caller, or NULL. */
struct zone_action *zone_next_action(struct zone *z)
{
	struct zone_action *a = z->actions;

	if (!a)
		return NULL;
	z->actions = a->next;
	if (!z->actions)
		z->actions_tail = &z->actions;
	a->next = NULL;
	return a;
}

/* Defers an action until the current batch is committed. */
void zone_on_commit(struct zone *z, enum commit_kind kind, struct zone_job *job,
		    uint32_t task, uint32_t worker)
{
	struct commit_action *e = zone_alloc(1, sizeof(*e));

	e->kind = kind;
	e->batch = z->batch;
	e->job = job;
	e->task = task;
	e->worker = worker;
	if (job && task < job->task_count)
		memcpy(e->lease, job->tasks[task].lease, sizeof(e->lease));
	*z->commit_actions_tail = e;
	z->commit_actions_tail = &e->next;
}

/* Returns the state of an entry, which is created on first use. */
struct zone_entry *zone_get_entry(struct zone *z, const char *name)
{
	struct zone_entry *entry;

	HASH_FIND_STR(z->entry_names, name, entry);
	if (entry)
		return entry;
	entry = zone_alloc(1, sizeof(*entry));
	snprintf(entry->name, sizeof(entry->name), "%s", name);
	z->entries =
		realloc(z->entries, (z->entry_count + 1) * sizeof(*z->entries));
	if (!z->entries)
		abort();
	z->entries[z->entry_count] = entry;
	z->entry_count++;
	HASH_ADD_STR(z->entry_names, name, entry);
	return entry;
}

static uint32_t entry_index(const struct zone *z, const struct zone_entry *e)
{
	uint32_t i = 0;

	while (z->entries[i] != e)
		i++;
	return i;
}

/* Returns the job with @id, or NULL. */
struct zone_job *zone_find_job(struct zone *z, const char *id)
{
	struct zone_job *job;

	HASH_FIND_STR(z->jobs, id, job);
	return job;
}

static uint32_t share_limit(uint32_t max)
{
	return max == ZONE_NO_LIMIT ? 0 : max;
}

/* Sets the weight and limits of an owner; @max may hold ZONE_NO_LIMIT. */
void zone_set_owner(struct zone *z, const char *name, double weight,
		    const struct res *max)
{
	uint32_t owner = share_owner(z->share, name);
	struct res limits = { .cpu_milli = share_limit(max->cpu_milli),
			      .mem_mb = share_limit(max->mem_mb),
			      .accel = share_limit(max->accel) };
	struct share_zero zero = { .cpu = max->cpu_milli == 0,
				   .mem = max->mem_mb == 0,
				   .accel = max->accel == 0 };

	share_set_owner(z->share, owner, weight, &limits);
	share_set_zero(z->share, owner, zero);
}

/* Adds a job with all tasks in TASK_WAIT; the caller sets the job's state. */
struct zone_job *zone_add_job(struct zone *z, const struct jnl_id *id,
			      const struct jnl_spec *spec, const char *input,
			      size_t input_len)
{
	struct zone_job *job = zone_alloc(1, sizeof(*job));
	struct zone_entry *entry = zone_get_entry(z, spec->entry);

	snprintf(job->id, sizeof(job->id), "%s-%" PRIx64 "-%" PRIx64,
		 z->settings.az, id->epoch, id->seq);
	job->jid = *id;
	job->spec = *spec;
	job->input = zone_alloc(1, input_len + 1);
	if (input_len)
		memcpy(job->input, input, input_len);
	job->input_len = input_len;
	job->queued_ms = z->now_ms;
	job->entry = entry_index(z, entry);
	job->owner = share_owner(z->share, spec->owner);
	job->task_count = spec->tasks;
	job->tasks = zone_alloc(spec->tasks, sizeof(*job->tasks));
	for (uint32_t i = 0; i < spec->tasks; i++)
		job->tasks[i].worker = ZONE_NO_WORKER;
	if (!entry->est.declared.cpu_milli && !entry->est.declared.mem_mb)
		est_init(&entry->est, &spec->need, spec->run_ms);
	HASH_ADD_STR(z->jobs, id, job);
	DL_APPEND(z->active, job);
	if (spec->key[0])
		HASH_ADD(hh_key, z->by_key, spec.key, strlen(job->spec.key),
			 job);
	z->stats.jobs++;
	return job;
}

static void zone_delete_job(struct zone *z, struct zone_job *job)
{
	if (job->spec.key[0])
		HASH_DELETE(hh_key, z->by_key, job);
	HASH_DELETE(hh, z->jobs, job);
	z->stats.jobs--;
	zone_free_job(job);
}

/* Returns the earliest time at which a waiting task of a job may start. */
static uint64_t job_ready_ms(const struct zone_job *job)
{
	uint64_t ready = UINT64_MAX;

	for (uint32_t i = 0; i < job->task_count; i++) {
		const struct zone_task *t = &job->tasks[i];

		if (t->state == TASK_WAIT && t->not_before_ms < ready)
			ready = t->not_before_ms;
	}
	return ready > job->not_before_ms ? ready : job->not_before_ms;
}

/*
 * Queues a job with waiting tasks. A job in backoff, or one that may still run
 * on a worker that was not listed since the takeover, goes to the delayed list.
 */
void zone_requeue(struct zone *z, struct zone_job *job)
{
	struct queue_job q = {
		.owner = job->owner,
		.entry = job->entry,
		.tasks = job->spec.gang ? job->task_count : 1,
		.urgent = job->spec.urgent,
		.since_ms = job->queued_ms,
		.user = (uint64_t)(uintptr_t)job,
	};

	job->state = JOB_QUEUED;
	if (job->queued || job->delayed)
		return;
	if (job_ready_ms(job) > z->now_ms || zone_awaits_listing(z, job)) {
		job->delayed = true;
		job->next_delayed = z->delayed;
		z->delayed = job;
		return;
	}
	job->queued = queue_add(z->queue, &q);
	z->entries[job->entry]->queued++;
}

/* Queues the delayed jobs that are due; removes those that have ended. */
static void zone_retry_delayed(struct zone *z)
{
	struct zone_job *job = z->delayed;

	z->delayed = NULL;
	while (job) {
		struct zone_job *next = job->next_delayed;

		job->delayed = false;
		if (job->state == JOB_QUEUED)
			zone_requeue(z, job);
		job = next;
	}
}

/* Removes a job from the queue, if it is queued. */
void zone_dequeue(struct zone *z, struct zone_job *job)
{
	if (!job->queued)
		return;
	queue_remove(z->queue, job->queued);
	job->queued = QUEUE_NONE;
	z->entries[job->entry]->queued--;
}

static void add_reply(struct zone *z, uint32_t ref, struct zone_job *job,
		      enum err_kind kind, enum outcome outcome,
		      const char *text)
{
	struct zone_action *a = zone_add_action(z, ZONE_ANSWER);

	a->ref = ref;
	a->err.kind = kind;
	a->outcome = outcome;
	snprintf(a->err.text, sizeof(a->err.text), "%s", text);
	if (job) {
		enum outcome ignored;

		zone_status(z, job->id, &a->body, &a->body_len, NULL, &ignored);
	}
}

/*
 * Journals the end of a job whose tasks have all ended or never started. Later
 * calls for the same job have no effect.
 */
void zone_job_end(struct zone *z, struct zone_job *job, enum err_kind kind,
		  enum outcome outcome, const char *text)
{
	struct jnl_record record = { .type = JNL_END,
				     .job = job->jid,
				     .kind = kind,
				     .outcome = outcome };

	if (job->state == JOB_ENDING || job->state == JOB_ENDED)
		return;
	zone_dequeue(z, job);
	job->state = JOB_ENDING;
	job->kind = kind;
	job->outcome = outcome;
	snprintf(job->text, sizeof(job->text), "%s", text);
	snprintf(record.text, sizeof(record.text), "%s", text);
	jnl_append(&z->pending, &record);
	zone_on_commit(z, COMMIT_JOB_ENDED, job, UINT32_MAX, ZONE_NO_WORKER);
}

static enum err_kind zone_admit(struct zone *z, const struct zone_submission *s,
				struct err *err)
{
	const struct zone_entry *entry = zone_get_entry(z, s->spec.entry);
	uint32_t listed = 0;
	struct admit_request r = {
		.need = s->spec.need,
		.tasks = s->spec.tasks,
		.limit_zero = s->limit_zero,
		.queued = entry->queued,
		.max_queued = s->max_queued,
		.running = entry->running,
		.drain_per_s = entry->drain_per_s,
	};

	for (uint32_t i = 0; i < z->worker_count; i++) {
		if (z->workers[i].used && z->workers[i].listed)
			listed++;
	}
	/* Without listed workers the size of the largest one is unknown. */
	r.ever_fits = !listed || place_ever_fits(z->places, z->worker_count,
						 &s->spec.need);
	if (s->spec.deadline_unix_ms)
		r.deadline_ms = s->spec.deadline_unix_ms > z->unix_ms
					? s->spec.deadline_unix_ms - z->unix_ms
					: 1;
	if (z->stats.jobs >= ZONE_JOBS_MAX) {
		err_set(err, ERR_OVERLOADED,
			"zone %s is at its limit of jobs (%u)", z->settings.az,
			z->stats.jobs);
		return ERR_OVERLOADED;
	}
	return admit_check(&r, err);
}

/*
 * Handles a submission. The reply is a ZONE_ANSWER with the same @ref: at once
 * if the submission is refused or its idempotency key is known, else when its
 * record is committed.
 */
void zone_submit(struct zone *z, uint32_t ref,
		 const struct zone_submission *submission, uint64_t now_ms)
{
	const struct jnl_spec *spec = &submission->spec;
	struct jnl_record record = { .type = JNL_ACCEPT,
				     .spec = *spec,
				     .data = submission->input,
				     .data_len = submission->input_len };
	struct err err = { 0 };
	struct zone_job *job = NULL;

	z->now_ms = now_ms;
	if (spec->key[0])
		HASH_FIND(hh_key, z->by_key, spec->key, strlen(spec->key), job);
	if (job && strcmp(job->spec.entry, spec->entry) != 0) {
		add_reply(z, ref, NULL, ERR_CONFLICT, OUTCOME_NOT_RUN,
			  "idempotency key was used for another entry");
		return;
	}
	if (job && job->state != JOB_ACCEPTING) {
		add_reply(z, ref, job, ERR_NONE, OUTCOME_ACCEPTED, "");
		return;
	}
	if (job) {
		/* Only the first submission gets a reply on commit. */
		add_reply(z, ref, NULL, ERR_LOST, OUTCOME_UNKNOWN,
			  "submission with the same key is not committed yet");
		return;
	}
	if (!spec->tasks || spec->tasks > ZONE_TASKS_MAX) {
		add_reply(z, ref, NULL, ERR_BAD_REQUEST, OUTCOME_NOT_RUN,
			  "number of tasks out of range");
		return;
	}
	if (zone_admit(z, submission, &err) != ERR_NONE) {
		add_reply(z, ref, NULL, err.kind, err_outcome(err.kind),
			  err.text);
		return;
	}
	record.job = (struct jnl_id){ .epoch = z->epoch, .seq = z->next_seq };
	z->next_seq++;
	job = zone_add_job(z, &record.job, spec, submission->input,
			   submission->input_len);
	job->state = JOB_ACCEPTING;
	job->submit_ref = ref;
	jnl_append(&z->pending, &record);
	zone_on_commit(z, COMMIT_ACCEPTED, job, UINT32_MAX, ZONE_NO_WORKER);
}

/*
 * Handles a cancel request. The reply is a ZONE_ANSWER with the same @ref, sent
 * when the end of the job is committed, or at once if the job is not found or
 * has ended.
 */
void zone_cancel(struct zone *z, uint32_t ref, const char *id, uint64_t now_ms)
{
	struct jnl_record record = { .type = JNL_CANCEL };
	struct zone_job *job = zone_find_job(z, id);

	z->now_ms = now_ms;
	if (!job) {
		add_reply(z, ref, NULL, ERR_NOT_FOUND, OUTCOME_UNKNOWN,
			  "job not found");
		return;
	}
	if (job->state == JOB_ENDED) {
		add_reply(z, ref, job, job->kind, job->outcome, job->text);
		return;
	}
	if (job->cancel_ref)
		add_reply(z, job->cancel_ref, job, ERR_LOST, OUTCOME_UNKNOWN,
			  "superseded by a later cancel of the job");
	job->cancel_ref = ref;
	if (job->cancelled || job->state == JOB_ENDING)
		return;
	job->cancelled = true;
	record.job = job->jid;
	jnl_append(&z->pending, &record);
	zone_on_commit(z, COMMIT_CANCEL, job, UINT32_MAX, ZONE_NO_WORKER);
}

/* Returns the number of records to be written to the journal. */
uint32_t zone_pending(const struct zone *z)
{
	return z->pending.count;
}

/*
 * Moves the pending records to @out and returns their batch number, to be
 * passed to zone_committed().
 */
uint64_t zone_take_batch(struct zone *z, struct jnl_pending *out)
{
	*out = z->pending;
	z->pending = (struct jnl_pending){ 0 };
	z->batch++;
	return z->batch - 1;
}

static void apply_cancel(struct zone *z, struct zone_job *job)
{
	if (job->state == JOB_ENDING || job->state == JOB_ENDED)
		return;
	zone_dequeue(z, job);
	zone_stop_tasks(z, job);
	zone_update_job(z, job);
}

/*
 * Marks a job as ended and removes it from the list of active jobs, so that
 * loops over that list do not visit ended jobs.
 */
void zone_mark_ended(struct zone *z, struct zone_job *job)
{
	if (job->state != JOB_ENDED)
		DL_DELETE(z->active, job);
	job->state = JOB_ENDED;
	job->ended_ms = z->now_ms;
}

static void apply_job_end(struct zone *z, struct zone_job *job)
{
	zone_mark_ended(z, job);
	if (job->cancel_ref)
		add_reply(z, job->cancel_ref, job, job->kind, job->outcome,
			  job->text);
	job->cancel_ref = 0;
	free(job->input);
	job->input = NULL;
	job->input_len = 0;
}

static void run_commit_action(struct zone *z, const struct commit_action *e)
{
	switch (e->kind) {
	case COMMIT_ACCEPTED:
		e->job->state = JOB_QUEUED;
		if (!e->job->cancelled)
			zone_requeue(z, e->job);
		add_reply(z, e->job->submit_ref, e->job, ERR_NONE,
			  OUTCOME_ACCEPTED, "");
		break;
	case COMMIT_ASSIGNED:
		zone_assignment_committed(z, e->job, e->task);
		break;
	case COMMIT_ATTEMPT_ENDED:
		if (e->worker != ZONE_NO_WORKER && e->lease[0])
			zone_add_ack(&z->workers[e->worker], e->lease);
		break;
	case COMMIT_JOB_ENDED:
		apply_job_end(z, e->job);
		break;
	case COMMIT_CANCEL:
		apply_cancel(z, e->job);
		break;
	case COMMIT_WORKER:
		if (z->workers[e->worker].state == WORKER_NEW)
			z->workers[e->worker].state = WORKER_UNRESPONSIVE;
		break;
	}
}

/* Runs the deferred actions of all batches up to @batch, which are durable. */
void zone_committed(struct zone *z, uint64_t batch, uint64_t now_ms)
{
	z->now_ms = now_ms;
	while (z->commit_actions && z->commit_actions->batch <= batch) {
		struct commit_action *e = z->commit_actions;

		z->commit_actions = e->next;
		if (!z->commit_actions)
			z->commit_actions_tail = &z->commit_actions;
		run_commit_action(z, e);
		free(e);
	}
}

static void zone_expire_job(struct zone *z, struct zone_job *job)
{
	if (job->state != JOB_QUEUED || !job->spec.deadline_unix_ms ||
	    z->unix_ms <= job->spec.deadline_unix_ms)
		return;
	for (uint32_t i = 0; i < job->task_count; i++) {
		if (job->tasks[i].state != TASK_WAIT)
			return;
	}
	/* An earlier holder may have started tasks of a recovered job. */
	if (job->may_have_run || job->recovered)
		zone_job_end(z, job, ERR_DEADLINE, OUTCOME_UNKNOWN,
			     "not finished by its latest start");
	else
		zone_job_end(z, job, ERR_DEADLINE, OUTCOME_NOT_RUN,
			     "not started by its deadline");
}

static void zone_expire(struct zone *z)
{
	struct zone_job *job;
	struct zone_job *next;

	if (z->now_ms - z->expired_ms < ZONE_EXPIRE_INTERVAL_MS)
		return;
	z->expired_ms = z->now_ms;
	HASH_ITER(hh, z->jobs, job, next)
	{
		struct jnl_record record = { .type = JNL_PURGE,
					     .job = job->jid };

		zone_expire_job(z, job);
		if (job->state != JOB_ENDED || job->delayed ||
		    z->now_ms - job->ended_ms < ZONE_RETAIN_MS)
			continue;
		jnl_append(&z->pending, &record);
		zone_delete_job(z, job);
	}
}

/*
 * Runs the periodic work: synchronises workers, expires jobs and, as far as
 * @rights permit, places waiting tasks. Without a valid claim only workers are
 * synchronised. @now_ms is a monotonic clock; @unix_ms is the wall clock and
 * used for deadlines only.
 */
void zone_tick(struct zone *z, uint64_t now_ms, uint64_t unix_ms,
	       const struct zone_rights *rights)
{
	z->now_ms = now_ms;
	z->unix_ms = unix_ms;
	zone_sync_workers(z, rights->valid);
	if (!rights->valid)
		return;
	zone_reconcile(z);
	zone_expire(z);
	zone_retry_delayed(z);
	zone_place_queued(z, rights->start);
}

/* Fills @stats with the current counts. */
void zone_get_stats(const struct zone *z, struct zone_stats *stats)
{
	struct res total = { 0 };
	struct res used = { 0 };

	*stats = z->stats;
	stats->queued = queue_count(z->queue);
	stats->running = 0;
	stats->workers = 0;
	stats->workers_up = 0;
	for (uint32_t i = 0; i < z->worker_count; i++) {
		if (!z->workers[i].used)
			continue;
		stats->workers++;
		stats->running += z->places[i].tasks;
		if (z->workers[i].state != WORKER_UP)
			continue;
		stats->workers_up++;
		res_add(&total, &z->places[i].capacity);
		res_add(&used, &z->places[i].used);
	}
	stats->free_milli = 0;
	if (stats->workers_up) {
		double load = res_dominant(&used, &total);

		stats->free_milli =
			load < 1 ? (uint32_t)((1 - load) * 1000) : 0;
	}
}
