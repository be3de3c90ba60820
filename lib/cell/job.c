/* Jobs, their steps and tasks, and the transitions that ends of runs cause. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/* An occurrence that a minion reports is due that much earlier at most, in ms.
 */
#define CLOCK_AHEAD_MAX_MS 60000
/* Tasks of occurrences that are due and wait for their first start, a job. */
#define OCCURRENCE_TASKS_WAITING 256
/* Occurrences that are done are freed together, so many of a job at a time. */
#define OCCURRENCES_ENDED_MAX 64

static const char *const state_names[CELL_JOB_STATES] = {
	[CELL_JOB_UNKNOWN] = "unknown", [CELL_JOB_QUEUED] = "queued",
	[CELL_JOB_RUNNING] = "running", [CELL_JOB_COMPLETED] = "completed",
	[CELL_JOB_FAILED] = "failed",	[CELL_JOB_CANCELLED] = "cancelled",
};

static const char *const end_names[CELL_ENDS] = {
	[CELL_END_DONE] = "done",	[CELL_END_FAILED] = "failed",
	[CELL_END_STOPPED] = "stopped", [CELL_END_LAPSED] = "lapsed",
	[CELL_END_BROKEN] = "broken",	[CELL_END_ALONE] = "alone",
};

const char *cell_job_state_name(enum cell_job_state state)
{
	return state_names[state];
}

const char *cell_end_name(enum cell_end end)
{
	return end_names[end];
}

/* Parses the name of an end reason; returns false if it is unknown. */
bool cell_end_parse(const char *text, enum cell_end *end)
{
	for (uint32_t i = 0; i < CELL_ENDS; i++) {
		if (!strcmp(text, end_names[i])) {
			*end = (enum cell_end)i;
			return true;
		}
	}
	return false;
}

/* Grows an array so that one more item fits; aborts if memory is exhausted. */
void cell_grow(void **items, uint32_t *capacity, uint32_t count, size_t size)
{
	uint32_t n;

	if (count < *capacity)
		return;
	n = *capacity ? *capacity * 2 : 16;
	*items = realloc(*items, n * size);
	if (!*items)
		abort();
	*capacity = n;
}

void cell_event(struct cell *cell, const struct cell_event *event)
{
	if (cell->owner->ops->event)
		cell->owner->ops->event(cell->owner, event);
}

struct cell_job *cell_job_find(const struct cell *cell, const char *id)
{
	struct cell_job *job;

	HASH_FIND_STR(cell->jobs, id, job);
	return job;
}

static struct cell_occurrence *occurrence_find(const struct cell_job *job,
					       uint32_t number)
{
	for (uint32_t i = 0; i < job->occurrence_count; i++) {
		if (job->occurrences[i].number == number)
			return &job->occurrences[i];
	}
	return NULL;
}

/* Returns true if the occurrence was added, whether it is done or not. */
static bool occurrence_is_known(const struct cell_job *job, uint32_t number)
{
	return numset_has(&job->occurrences_done, number) ||
	       occurrence_find(job, number);
}

/* Returns the step of the task @name, or NULL if it is unknown or was freed. */
struct cell_step *cell_step_find(const struct cell *cell,
				 const struct cell_task_name *name)
{
	struct cell_job *job = cell_job_find(cell, name->job);
	struct cell_occurrence *occurrence;

	if (!job)
		return NULL;
	occurrence = occurrence_find(job, name->occurrence);
	if (!occurrence || name->step >= job->spec.step_count)
		return NULL;
	return &occurrence->steps[name->step];
}

/* Returns the task of that name and sets *@step, or returns NULL. */
struct cell_task *cell_task_find(const struct cell *cell, const char *task,
				 struct cell_step **step)
{
	struct cell_task_name name;

	if (!cell_task_parse(task, &name))
		return NULL;
	*step = cell_step_find(cell, &name);
	if (!*step || name.index >= (*step)->spec->count)
		return NULL;
	return &(*step)->tasks[name.index];
}

/* Returns the step specification of a task, also after its job has ended. */
const struct cell_step_spec *cell_step_spec_find(const struct cell *cell,
						 const char *task)
{
	struct cell_task_name name;
	const struct cell_job *job;

	if (!cell_task_parse(task, &name))
		return NULL;
	job = cell_job_find(cell, name.job);
	if (!job || name.step >= job->spec.step_count)
		return NULL;
	return &job->spec.steps[name.step];
}

void cell_step_name(const struct cell_step *step, uint32_t task,
		    char out[CELL_TASK_MAX])
{
	struct cell_task_name name = { .occurrence = step->occurrence,
				       .step = step->index,
				       .index = task };

	memcpy(name.job, step->job->spec.id, sizeof(name.job));
	cell_task_format(&name, out);
}

/* Returns the number of tasks that have no run and are not done. */
uint32_t cell_step_unstarted(const struct cell_step *step)
{
	return step->tasks_left - step->tasks_active;
}

/* Adds an unblocked step with unstarted tasks to the list of ready steps. */
void cell_ready_add(struct cell *cell, struct cell_step *step)
{
	cell->dirty = true;
	if (step->in_ready_list || !step->unblocked ||
	    !cell_step_unstarted(step))
		return;
	step->in_ready_list = true;
	cell_grow((void **)&cell->ready, &cell->ready_capacity,
		  cell->ready_count, sizeof(struct cell_step *));
	cell->ready[cell->ready_count++] = step;
}

static bool job_is_live(const struct cell_job *job)
{
	return job->final_state == CELL_JOB_UNKNOWN &&
	       (job->state == CELL_JOB_QUEUED ||
		job->state == CELL_JOB_RUNNING);
}

/* Unblocks the steps whose predecessors are all done. */
static void unblock_steps(struct cell *cell, struct cell_job *job,
			  struct cell_occurrence *occurrence, uint64_t now_ms)
{
	for (uint32_t i = 0; i < job->spec.step_count; i++) {
		struct cell_step *step = &occurrence->steps[i];
		bool unblocked = true;

		if (step->unblocked)
			continue;
		for (uint32_t k = 0; k < i; k++) {
			if ((step->spec->after >> k & 1) &&
			    occurrence->steps[k].tasks_left)
				unblocked = false;
		}
		if (!unblocked)
			continue;
		step->unblocked = true;
		step->unblocked_ms = now_ms;
		if (!cell->replaying)
			cell_ready_add(cell, step);
	}
}

/* Returns when an occurrence of a recurring job is due, in Unix ms. */
static uint64_t due_unix_ms(const struct cell_job *job, uint32_t occurrence)
{
	return job->spec.first_unix_ms +
	       (uint64_t)occurrence * job->spec.interval_ms;
}

/*
 * Returns by when an occurrence that is added now should be done. One that has
 * waited for others of its job counts from now: as its backlog would always be
 * the most urgent work, no later job would start.
 */
static uint64_t occurrence_deadline(const struct cell *cell,
				    const struct cell_job *job, uint32_t number)
{
	uint64_t objective = job->deadline_unix_ms - job->spec.accepted_unix_ms;
	uint64_t from = due_unix_ms(job, number);

	if (!job->spec.repeat_count)
		return job->deadline_unix_ms;
	if (from < cell->unix_ms)
		from = cell->unix_ms;
	return from + objective;
}

static void occurrence_add(struct cell *cell, struct cell_job *job,
			   uint32_t number, uint64_t now_ms)
{
	struct cell_occurrence *o;
	uint32_t n = job->occurrence_count + 1;

	job->occurrences = realloc(job->occurrences, n * sizeof(*o));
	if (!job->occurrences)
		abort();
	o = &job->occurrences[job->occurrence_count];
	*o = (struct cell_occurrence){ .number = number,
				       .steps_left = job->spec.step_count };
	o->steps = calloc(job->spec.step_count, sizeof(*o->steps));
	if (!o->steps)
		abort();
	for (uint32_t i = 0; i < job->spec.step_count; i++) {
		struct cell_step *step = &o->steps[i];

		step->job = job;
		step->spec = &job->spec.steps[i];
		step->occurrence = number;
		step->index = i;
		step->tasks_left = step->spec->count;
		step->deadline_unix_ms = occurrence_deadline(cell, job, number);
		step->tasks = calloc(step->spec->count, sizeof(*step->tasks));
		if (!step->tasks)
			abort();
		for (uint32_t t = 0; t < step->spec->count; t++)
			step->tasks[t].failed_on = CELL_NONE;
	}
	job->occurrence_count = n;
	unblock_steps(cell, job, o, now_ms);
}

static void occurrence_free(const struct cell_job *job,
			    struct cell_occurrence *o)
{
	for (uint32_t s = 0; s < job->spec.step_count; s++) {
		struct cell_step *step = &o->steps[s];

		for (uint32_t t = 0; t < step->spec->count; t++) {
			free(step->tasks[t].checkpoint);
			free(step->tasks[t].ended);
			free(step->tasks[t].crashes);
		}
		free(step->gang_failed);
		free(step->tasks);
		free(step->grants);
		free(step->decided);
	}
	free(o->steps);
}

/* Frees all occurrences of a job, or those that are done. */
static void occurrences_free(struct cell *cell, struct cell_job *job, bool all)
{
	uint32_t deferred = cell->deferred_from;
	uint32_t kept = 0;

	for (uint32_t i = 0; i < cell->ready_count; i++) {
		struct cell_step *step = cell->ready[i];

		if (step->job != job || (!all && step->tasks_left))
			cell->ready[kept++] = step;
		else if (deferred != CELL_NONE && i < deferred)
			cell->deferred_from--;
		if (step->job == job && !all && !step->tasks_left)
			step->in_ready_list = false;
	}
	cell->ready_count = kept;
	kept = 0;
	for (uint32_t i = 0; i < job->occurrence_count; i++) {
		if (all || !job->occurrences[i].steps_left)
			occurrence_free(job, &job->occurrences[i]);
		else
			job->occurrences[kept++] = job->occurrences[i];
	}
	job->occurrence_count = kept;
	job->occurrences_ended = 0;
	if (kept)
		return;
	free(job->occurrences);
	job->occurrences = NULL;
}

static uint64_t job_age_ms(const struct cell_job *job, uint64_t unix_ms)
{
	uint64_t at = job->spec.accepted_unix_ms;

	return unix_ms > at ? unix_ms - at : 0;
}

/* Returns when the job should be done, by the objective of its queue. */
uint64_t cell_job_deadline(const struct cell *cell,
			   const struct cell_job_spec *spec)
{
	const struct cell_queue_spec *queue =
		cell->config ? cell_queue(cell, spec->queue) : NULL;

	return spec->accepted_unix_ms + (queue ? queue->slo_ms : 0) +
	       (uint64_t)((queue ? queue->stretch : 1.0) *
			  cell_critical_path_ms(spec));
}

static void set_final_state(struct cell *cell, struct cell_job *job,
			    enum cell_job_state state, uint64_t now_ms)
{
	job->final_state = state;
	cell_job_stop_runs(cell, job, now_ms);
}

/* Cancels a live job. */
static void cancel_job(struct cell *cell, struct cell_job *job, uint64_t now_ms)
{
	const char *id = job->spec.id;

	set_final_state(cell, job, CELL_JOB_CANCELLED, now_ms);
	job->pending_records++;
	cell_event(cell,
		   &(struct cell_event){ .what = "job-cancelled",
					 .job = id,
					 .age_ms = now_ms - job->added_ms });
	job->cancel_seq = cell_record_add(
		cell,
		&(struct cell_record){ .kind = CELL_RECORD_CANCEL, .job = id },
		id, NULL, 0, now_ms);
}

/*
 * Adds a job that is already in the store, and takes ownership of what @spec
 * points to. @is_new means that no other holder can know the job; otherwise an
 * earlier holder may have started it. Returns false, and releases @spec, if the
 * job is a duplicate or has expired.
 */
bool cell_submit(struct cell *cell, struct cell_job_spec *spec, bool is_new,
		 uint64_t unix_ms, uint64_t now_ms)
{
	struct cell_job *job = cell_job_find(cell, spec->id);

	cell->unix_ms = unix_ms;
	if (job || cell_job_expired(cell, spec->id)) {
		cell_job_spec_free(spec);
		return false;
	}
	job = calloc(1, sizeof(*job));
	if (!job)
		abort();
	job->spec = *spec;
	*spec = (struct cell_job_spec){ 0 };
	job->state = CELL_JOB_QUEUED;
	job->team = cell_team_handle(cell, job->spec.team);
	job->inherited = !is_new;
	cell->team_left_void |= job->inherited;
	job->confirm_after_ms = is_new ? 0 : now_ms;
	job->added_ms = now_ms;
	job->deadline_unix_ms = cell_job_deadline(cell, &job->spec);
	HASH_ADD_STR(cell->jobs, spec.id, job);
	cell->live_jobs++;
	cell->stats.jobs++;
	if (!cell->replaying)
		cell_event(cell, &(struct cell_event){
					 .what = "job-known",
					 .job = job->spec.id,
					 .age_ms = job_age_ms(job, unix_ms) });
	if (!job->spec.repeat_count)
		occurrence_add(cell, job, 0, now_ms);
	else
		cell->recurring_jobs++;
	cell_adopt_runs(cell, job, now_ms);
	if (!cell->replaying && cell_tombstone_exists(cell, job->spec.id))
		cancel_job(cell, job, now_ms);
	return true;
}

/* Returns true unless the step is of an occurrence that is still to come. */
bool cell_step_is_due(const struct cell *cell, const struct cell_step *step)
{
	return !step->job->spec.repeat_count ||
	       cell->unix_ms >= due_unix_ms(step->job, step->occurrence);
}

/*
 * Adds the occurrence of the task, of which a run is known: it was due by the
 * clock of an earlier holder.
 */
static void add_known_occurrence(struct cell *cell,
				 const struct cell_task_name *name,
				 uint64_t now_ms)
{
	struct cell_job *job = cell_job_find(cell, name->job);

	if (!job || name->occurrence >= job->spec.repeat_count ||
	    (job->state != CELL_JOB_QUEUED && job->state != CELL_JOB_RUNNING) ||
	    occurrence_is_known(job, name->occurrence))
		return;
	if (!cell->replaying && due_unix_ms(job, name->occurrence) >
					cell->unix_ms + CLOCK_AHEAD_MAX_MS)
		return;
	occurrence_add(cell, job, name->occurrence, now_ms);
}

/* As cell_task_find(), for a task of which a run is known. */
struct cell_task *cell_task_of_run(struct cell *cell, const char *task,
				   struct cell_step **step, uint64_t now_ms)
{
	struct cell_task_name name;

	if (cell_task_parse(task, &name))
		add_known_occurrence(cell, &name, now_ms);
	return cell_task_find(cell, task, step);
}

/* Returns true if a task of the occurrence was started, or is done. */
static bool occurrence_begun(const struct cell_job *job,
			     const struct cell_occurrence *o)
{
	for (uint32_t s = 0; s < job->spec.step_count; s++) {
		const struct cell_step *step = &o->steps[s];

		if (step->tasks_active || step->tasks_left < step->spec->count)
			return true;
	}
	return false;
}

/* Returns how many more occurrences may wait for their first start. */
static uint32_t occurrence_room(const struct cell_job *job)
{
	uint32_t tasks = 0;
	uint32_t most;
	uint32_t waiting = 0;

	for (uint32_t s = 0; s < job->spec.step_count; s++)
		tasks += job->spec.steps[s].count;
	most = tasks && tasks < OCCURRENCE_TASKS_WAITING
		       ? OCCURRENCE_TASKS_WAITING / tasks
		       : 1;
	for (uint32_t i = 0; i < job->occurrence_count; i++)
		waiting += !occurrence_begun(job, &job->occurrences[i]);
	return waiting < most ? most - waiting : 0;
}

/*
 * Adds the occurrences of a job that are due, the oldest first: as many as may
 * start soon. The others are only counted.
 */
static void job_add_due(struct cell *cell, struct cell_job *job,
			uint64_t unix_ms, uint64_t now_ms)
{
	uint32_t room;

	if (job->next_occurrence >= job->spec.repeat_count ||
	    unix_ms < due_unix_ms(job, job->next_occurrence))
		return;
	room = occurrence_room(job);
	while (room && job->next_occurrence < job->spec.repeat_count &&
	       unix_ms >= due_unix_ms(job, job->next_occurrence)) {
		uint32_t number = job->next_occurrence++;

		if (occurrence_is_known(job, number))
			continue;
		occurrence_add(cell, job, number, now_ms);
		room--;
	}
}

/* Adds the occurrences of recurring jobs that are due. */
void cell_jobs_add_due(struct cell *cell, uint64_t unix_ms, uint64_t now_ms)
{
	struct cell_job *job;
	struct cell_job *tmp;

	if (!cell->recurring_jobs)
		return;
	HASH_ITER(hh, cell->jobs, job, tmp)
	{
		if (job->spec.repeat_count && job_is_live(job))
			job_add_due(cell, job, unix_ms, now_ms);
	}
}

static bool job_is_done(const struct cell_job *job)
{
	if (job->spec.repeat_count)
		return job->occurrences_done.count >= job->spec.repeat_count;
	return job->occurrence_count && !job->occurrences[0].steps_left;
}

/* A durable cancel is final; other pending records do not matter. */
static bool cancel_is_durable(const struct cell *cell,
			      const struct cell_job *job)
{
	return job->final_state == CELL_JOB_CANCELLED &&
	       cell->durable_seq >= job->cancel_seq;
}

/*
 * Publishes the final state of a job once all its records are durable, so that
 * a successor never recovers an older state than a caller has seen.
 */
void cell_job_publish_state(struct cell *cell, struct cell_job *job,
			    uint64_t now_ms)
{
	if (job->final_state == CELL_JOB_UNKNOWN && job_is_done(job))
		job->final_state = CELL_JOB_COMPLETED;
	if (job->final_state == CELL_JOB_UNKNOWN ||
	    job->state == job->final_state || cell->replaying)
		return;
	if (job->pending_records && !cancel_is_durable(cell, job))
		return;
	job->state = job->final_state;
	job->ended_ms = now_ms;
	cell->live_jobs--;
	cell_event(cell,
		   &(struct cell_event){ .what = "job-ended",
					 .job = job->spec.id,
					 .detail = state_names[job->state],
					 .age_ms = now_ms - job->added_ms });
	cell_team_keep_left(job);
	occurrences_free(cell, job, true);
}

/* Returns true if @task is the name of a task of the job. */
bool cell_job_has_task(const struct cell_job *job, const char *task)
{
	size_t len = strlen(job->spec.id);

	return !strncmp(task, job->spec.id, len) && task[len] == '.';
}

/* Stops every run of a job. */
void cell_job_stop_runs(struct cell *cell, struct cell_job *job,
			uint64_t now_ms)
{
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		struct cell_minion *m = cell->minions[i];

		for (uint32_t r = 0; m->used && r < m->run_count; r++) {
			struct cell_run *run = &m->runs[r];

			if (cell_job_has_task(job, run->task))
				cell_run_stop(cell, m, run, now_ms);
		}
	}
}

/* Stops all members of a gang run that can no longer be complete. */
void cell_gang_abort(struct cell *cell, struct cell_step *step, uint64_t run,
		     uint64_t now_ms)
{
	char prefix[CELL_TASK_MAX];
	size_t len;

	cell_step_name(step, 0, prefix);
	len = strlen(prefix) - 1;
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		struct cell_minion *m = cell->minions[i];

		for (uint32_t r = 0; m->used && r < m->run_count; r++) {
			struct cell_run *member = &m->runs[r];

			if (member->run == run &&
			    !strncmp(member->task, prefix, len))
				cell_run_stop(cell, m, member, now_ms);
		}
	}
}

/* Fails a job for another reason than the ends of its runs. */
void cell_job_fail(struct cell *cell, struct cell_job *job, uint64_t now_ms)
{
	set_final_state(cell, job, CELL_JOB_FAILED, now_ms);
	job->pending_records++;
	cell_record_add(cell,
			&(struct cell_record){ .kind = CELL_RECORD_STATE,
					       .job = job->spec.id,
					       .run = CELL_JOB_FAILED },
			job->spec.id, NULL, 0, now_ms);
}

/*
 * Cancels a job. Returns the sequence number of the record that has to become
 * durable before the cancel is acknowledged, 0 if there is none, and UINT64_MAX
 * if the job is unknown. A job whose final state is not durable would be
 * resumed by a successor, so its cancel waits for that state.
 */
uint64_t cell_cancel(struct cell *cell, const char *id, uint64_t now_ms)
{
	struct cell_job *job = cell_job_find(cell, id);

	if (!job)
		return UINT64_MAX;
	if (!job_is_live(job)) {
		if (job->ended_ms)
			return 0;
		if (job->final_state == CELL_JOB_CANCELLED)
			return job->cancel_seq;
		return cell->durable_seq < cell->next_seq ? cell->next_seq : 0;
	}
	cancel_job(cell, job, now_ms);
	return job->cancel_seq;
}

static void save_checkpoint(struct cell_step *step, struct cell_task *task,
			    const char *saved)
{
	uint32_t from = (uint32_t)(task - step->tasks);
	uint32_t to = from + 1;

	if (!saved || !saved[0])
		return;
	/* A checkpoint of one gang member is valid for all members. */
	if (step->spec->gang) {
		from = 0;
		to = step->spec->count;
	}
	for (uint32_t i = from; i < to; i++) {
		char *copy;

		if (step->tasks[i].checkpoint &&
		    !strcmp(step->tasks[i].checkpoint, saved))
			continue;
		copy = strdup(saved);
		if (!copy)
			abort();
		free(step->tasks[i].checkpoint);
		step->tasks[i].checkpoint = copy;
	}
}

static void step_done(struct cell *cell, struct cell_step *step,
		      uint64_t now_ms)
{
	struct cell_job *job = step->job;
	struct cell_occurrence *o = occurrence_find(job, step->occurrence);

	o->steps_left--;
	unblock_steps(cell, job, o, now_ms);
	if (!o->steps_left && job->spec.repeat_count) {
		numset_add(&job->occurrences_done, o->number);
		job->occurrences_ended++;
	}
	if (job_is_done(job) && job->final_state == CELL_JOB_UNKNOWN)
		job->final_state = CELL_JOB_COMPLETED;
}

/* Stops the current run of a task that another run has completed. */
static void stop_other_run(struct cell *cell, struct cell_step *step,
			   struct cell_task *task, uint64_t now_ms)
{
	struct cell_minion *m = cell->minions[task->minion];
	char name[CELL_TASK_MAX];
	struct cell_run *run;

	cell_step_name(step, (uint32_t)(task - step->tasks), name);
	run = cell_run_find(m, name, task->run);
	if (run)
		cell_run_stop(cell, m, run, now_ms);
}

static void task_done(struct cell *cell, struct cell_step *step,
		      struct cell_task *task, uint64_t run, uint64_t now_ms)
{
	if (task->state == CELL_TASK_DONE || step->spec->long_running)
		return;
	if (task->state == CELL_TASK_ACTIVE)
		step->tasks_active--;
	if (task->state == CELL_TASK_ACTIVE && task->run != run)
		stop_other_run(cell, step, task, now_ms);
	task->state = CELL_TASK_DONE;
	step->tasks_left--;
	if (!step->tasks_left)
		step_done(cell, step, now_ms);
}

/* If one member of a gang is done, so are all. */
static void gang_done(struct cell *cell, struct cell_step *step, uint64_t run,
		      uint64_t now_ms)
{
	for (uint32_t i = 0; i < step->spec->count && step->tasks_left; i++)
		task_done(cell, step, &step->tasks[i], run, now_ms);
}

static bool contains_run(const uint64_t *runs, uint32_t count, uint64_t run)
{
	for (uint32_t i = 0; i < count; i++) {
		if (runs[i] == run)
			return true;
	}
	return false;
}

static void add_ended_run(struct cell_task *task, uint64_t run,
			  enum cell_end end)
{
	task->ended = realloc(task->ended,
			      (task->ended_count + 1) * sizeof(*task->ended));
	if (!task->ended)
		abort();
	task->ended[task->ended_count++] =
		(struct cell_ended_run){ .run = run, .end = end };
}

static void add_run(uint64_t **runs, uint32_t *count, uint64_t run)
{
	*runs = realloc(*runs, (*count + 1) * sizeof(**runs));
	if (!*runs)
		abort();
	(*runs)[(*count)++] = run;
}

/* Returns true if the end of that run has been applied. */
bool cell_task_ended(const struct cell_task *task, uint64_t run)
{
	for (uint32_t i = 0; i < task->ended_count; i++) {
		if (task->ended[i].run == run)
			return true;
	}
	return false;
}

/*
 * Counts a failed attempt and returns the number so far. Failures within one
 * gang run count as one attempt.
 */
static uint32_t count_failed_attempt(struct cell_step *step,
				     struct cell_task *task, uint64_t run)
{
	if (!step->spec->gang)
		return ++task->fails;
	if (!contains_run(step->gang_failed, step->gang_failed_count, run))
		add_run(&step->gang_failed, &step->gang_failed_count, run);
	return step->gang_failed_count;
}

static void task_failed(struct cell *cell, struct cell_step *step,
			struct cell_task *task, uint64_t run, uint32_t minion,
			uint64_t now_ms)
{
	const struct cell_queue_spec *queue = NULL;
	uint32_t fails = count_failed_attempt(step, task, run);

	if (fails > step->most_fails)
		step->most_fails = fails;
	task->failed_on = minion;
	if (step->spec->long_running)
		return;
	if (cell->config)
		queue = cell_queue(cell, step->job->spec.queue);
	if (queue && fails >= queue->max_attempts && job_is_live(step->job))
		set_final_state(cell, step->job, CELL_JOB_FAILED, now_ms);
}

static uint32_t failed_attempts(const struct cell_step *step,
				const struct cell_task *task)
{
	return step->spec->gang ? step->gang_failed_count : task->fails;
}

/*
 * Fails the job if a task of the step that waits for a start has no attempts
 * left, and returns true. Its latest failure may have come while the queue was
 * missing from the configuration, or had a higher limit.
 */
bool cell_step_exhausted(struct cell *cell, struct cell_step *step,
			 const struct cell_queue_spec *queue, uint64_t now_ms)
{
	if (!step->most_fails || step->most_fails < queue->max_attempts ||
	    step->spec->long_running ||
	    step->job->final_state != CELL_JOB_UNKNOWN)
		return false;
	for (uint32_t i = 0; i < step->spec->count; i++) {
		const struct cell_task *task = &step->tasks[i];

		if (task->state != CELL_TASK_READY ||
		    failed_attempts(step, task) < queue->max_attempts)
			continue;
		cell_job_fail(cell, step->job, now_ms);
		return true;
	}
	return false;
}

/* Detaches a run from its task, which becomes ready unless it is done. */
void cell_task_release(struct cell *cell, const char *task, uint64_t run,
		       uint64_t now_ms)
{
	struct cell_step *step;
	struct cell_task *t = cell_task_find(cell, task, &step);

	(void)now_ms;
	cell->dirty = true;
	if (!t || t->state != CELL_TASK_ACTIVE || t->run != run)
		return;
	t->state = CELL_TASK_READY;
	step->tasks_active--;
	if (job_is_live(step->job))
		cell_ready_add(cell, step);
}

/* Marks a job as running: a minion has started one of its tasks. */
void cell_job_mark_started(struct cell_job *job)
{
	job->started = true;
	if (job->state == CELL_JOB_QUEUED)
		job->state = CELL_JOB_RUNNING;
}

/*
 * Applies the end of a run to its task. Idempotent: the same end may come from
 * several reports and from the journal. Returns true if it is new and has to be
 * recorded.
 */
bool cell_end_apply(struct cell *cell, const struct cell_ended *end,
		    uint32_t minion, uint64_t now_ms)
{
	struct cell_step *step;
	struct cell_task *task =
		cell_task_of_run(cell, end->task, &step, now_ms);

	if (!task || cell_task_ended(task, end->run))
		return false;
	add_ended_run(task, end->run, end->end);
	cell_former_start_over(cell, end->task, end->run);
	cell_crash_clear(cell, end->task, end->run);
	/* Another run that goes on remains that of the task. */
	if (end->run > task->run && task->state != CELL_TASK_ACTIVE)
		task->run = end->run;
	cell_job_mark_started(step->job);
	save_checkpoint(step, task, end->checkpoint);
	if (end->end == CELL_END_DONE && step->spec->gang)
		gang_done(cell, step, end->run, now_ms);
	else if (end->end == CELL_END_DONE)
		task_done(cell, step, task, end->run, now_ms);
	else if (end->end == CELL_END_FAILED)
		task_failed(cell, step, task, end->run, minion, now_ms);
	cell_task_release(cell, end->task, end->run, now_ms);
	if (step->job->occurrences_ended >= OCCURRENCES_ENDED_MAX)
		occurrences_free(cell, step->job, false);
	return true;
}

/* Replays that a range of occurrences is done. */
static void replay_occurrences(struct cell_job *job, uint64_t range)
{
	uint32_t end = (uint32_t)range;

	if (end > job->spec.repeat_count)
		end = job->spec.repeat_count;
	numset_add_range(&job->occurrences_done, (uint32_t)(range >> 32), end);
	if (end)
		cell_job_mark_started(job);
}

/* Replays one journal record of an earlier term; records come in order. */
void cell_replay(struct cell *cell, const struct cell_record *record)
{
	struct cell_ended end = { .run = record->run,
				  .end = record->end,
				  .checkpoint = record->checkpoint };
	struct cell_job *job;

	switch (record->kind) {
	case CELL_RECORD_END:
		snprintf(end.task, sizeof(end.task), "%s", record->task);
		cell_end_apply(cell, &end, CELL_NONE, cell->started_ms);
		break;
	case CELL_RECORD_CANCEL:
		job = cell_job_find(cell, record->job);
		if (job && job_is_live(job))
			job->final_state = CELL_JOB_CANCELLED;
		break;
	case CELL_RECORD_ENROLLED:
		cell_minion_inherit(cell, record->minion, record->addr);
		break;
	case CELL_RECORD_SETTLED:
		cell_minion_remove(cell, record->minion);
		break;
	case CELL_RECORD_STATE:
		job = cell_job_find(cell, record->job);
		if (job && record->run < CELL_JOB_STATES)
			job->final_state = (enum cell_job_state)record->run;
		break;
	case CELL_RECORD_CRASH:
		cell_crash_replay(cell, record);
		break;
	case CELL_RECORD_CLEARED:
		cell_crash_clear(cell, record->task, record->run);
		break;
	case CELL_RECORD_CONTAINED:
		cell_contain_replay(cell, record);
		break;
	case CELL_RECORD_UNANSWERED:
		cell_former_start_add(cell, record->task, record->run);
		break;
	case CELL_RECORD_OCCURRENCES:
		job = cell_job_find(cell, record->job);
		if (job)
			replay_occurrences(job, record->run);
		break;
	case CELL_RECORD_TOMBSTONE:
		cell_tombstone_replay(cell, record);
		break;
	case CELL_RECORD_KINDS:
		break;
	}
}

/* Ends the replay and queues all unblocked steps. */
void cell_replay_done(struct cell *cell, uint64_t now_ms)
{
	struct cell_job *job;
	struct cell_job *tmp;

	cell->replaying = false;
	HASH_ITER(hh, cell->jobs, job, tmp)
	{
		if (job_is_live(job) &&
		    cell_tombstone_exists(cell, job->spec.id))
			cancel_job(cell, job, now_ms);
		cell_job_publish_state(cell, job, now_ms);
		if (!job_is_live(job))
			continue;
		for (uint32_t i = 0; i < job->occurrence_count; i++) {
			for (uint32_t s = 0; s < job->spec.step_count; s++)
				cell_ready_add(cell,
					       &job->occurrences[i].steps[s]);
		}
	}
}

/* Returns the published state of a job, UNKNOWN if there is no such job. */
enum cell_job_state cell_get_job_state(const struct cell *cell, const char *id)
{
	const struct cell_job *job = cell_job_find(cell, id);

	return job ? job->state : CELL_JOB_UNKNOWN;
}

/* Returns how many live jobs of a queue have no task that was started. */
uint32_t cell_pending_jobs(const struct cell *cell, const char *queue)
{
	struct cell_job *job;
	struct cell_job *tmp;
	uint32_t n = 0;

	HASH_ITER(hh, cell->jobs, job, tmp)
	{
		if (!job->started && job_is_live(job) &&
		    !strcmp(job->spec.queue, queue))
			n++;
	}
	return n;
}

/* Frees a job that is no longer in cell->jobs. */
static void job_free(struct cell *cell, struct cell_job *job)
{
	occurrences_free(cell, job, true);
	numset_free(&job->occurrences_done);
	cell->recurring_jobs -= job->spec.repeat_count > 0;
	cell_job_spec_free(&job->spec);
	free(job);
}

/* Removes ended jobs after their status retention. */
void cell_jobs_purge(struct cell *cell, uint64_t now_ms)
{
	struct cell_job *job;
	struct cell_job *tmp;

	HASH_ITER(hh, cell->jobs, job, tmp)
	{
		if (!job->ended_ms ||
		    now_ms <= job->ended_ms + cell->settings.ended_job_ttl_ms)
			continue;
		if (cell->owner->ops->job_expired) {
			cell_expired_add(cell, job);
			cell->owner->ops->job_expired(cell->owner,
						      job->spec.id);
		}
		HASH_DEL(cell->jobs, job);
		job_free(cell, job);
	}
}

void cell_jobs_free(struct cell *cell)
{
	struct cell_job *list = NULL;
	struct cell_job *job;
	struct cell_job *tmp;

	HASH_ITER(hh, cell->jobs, job, tmp)
	{
		job->next = list;
		list = job;
	}
	HASH_CLEAR(hh, cell->jobs);
	while (list) {
		job = list;
		list = job->next;
		job_free(cell, job);
	}
}
