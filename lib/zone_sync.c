/*
 * Workers: registration, lease renewal and listings by periodic syncs, lease
 * expiry on unresponsive workers, and tasks that exceed their resources.
 */
#include "zone_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval of syncs to a worker that does not reply. */
#define SYNC_RETRY_MS 1000

static uint32_t rack_index(struct zone *z, const char *name)
{
	for (uint32_t i = 0; i < z->racks; i++) {
		if (!strcmp(z->rack_names[i], name))
			return i;
	}
	z->rack_names =
		realloc(z->rack_names, (z->racks + 1) * sizeof(*z->rack_names));
	if (!z->rack_names)
		abort();
	snprintf(z->rack_names[z->racks], JNL_NAME_MAX, "%s", name);
	z->racks++;
	return z->racks - 1;
}

/* Returns the index of a worker, ZONE_NO_WORKER if there is none. */
uint32_t zone_worker_index(struct zone *z, const char *id)
{
	struct zone_worker *w;

	HASH_FIND_STR(z->worker_ids, id, w);
	return w ? (uint32_t)(w - z->workers) : ZONE_NO_WORKER;
}

static void grow_workers(struct zone *z)
{
	uint32_t capacity = z->worker_capacity ? z->worker_capacity * 2 : 64;

	/* The hash holds pointers to the elements; rebuild it after realloc. */
	HASH_CLEAR(hh, z->worker_ids);
	z->workers = realloc(z->workers, capacity * sizeof(*z->workers));
	z->places = realloc(z->places, capacity * sizeof(*z->places));
	if (!z->workers || !z->places)
		abort();
	z->worker_capacity = capacity;
	for (uint32_t i = 0; i < z->worker_count; i++) {
		struct zone_worker *w = &z->workers[i];

		if (w->used)
			HASH_ADD_STR(z->worker_ids, id, w);
	}
}

/* Adds a worker in @state and returns its index. */
uint32_t zone_add_worker(struct zone *z, const char *id, const char *addr,
			 enum worker_state state)
{
	uint32_t i = 0;
	struct zone_worker *w;

	while (i < z->worker_count && z->workers[i].used)
		i++;
	if (i == z->worker_capacity)
		grow_workers(z);
	if (i == z->worker_count)
		z->worker_count++;
	w = &z->workers[i];
	*w = (struct zone_worker){ .state = state, .used = true };
	z->places[i] = (struct place_worker){ 0 };
	snprintf(w->id, sizeof(w->id), "%s", id);
	snprintf(w->addr, sizeof(w->addr), "%s", addr);
	w->last_ok_ms = z->now_ms;
	w->acks = json_array();
	HASH_ADD_STR(z->worker_ids, id, w);
	return i;
}

static void register_worker(struct zone *z, const struct zone_worker_info *info)
{
	struct jnl_record record = { .type = JNL_WORKER_ADD };
	uint32_t i = zone_add_worker(z, info->id, info->addr, WORKER_NEW);

	memcpy(record.worker, info->id, sizeof(record.worker));
	memcpy(record.addr, info->addr, sizeof(record.addr));
	jnl_append(&z->pending, &record);
	zone_on_commit(z, COMMIT_WORKER, NULL, UINT32_MAX, i);
}

/*
 * Sets the workers of the instance list. A new worker is used only after its
 * record is committed, so that a successor with an older list knows where tasks
 * may run. A worker that is no longer listed gets no new tasks and is removed
 * once all leases on it have expired.
 */
void zone_set_workers(struct zone *z, const struct zone_worker_info *infos,
		      uint32_t count, uint64_t now_ms)
{
	z->now_ms = now_ms;
	for (uint32_t i = 0; i < z->worker_count; i++)
		z->workers[i].listed = false;
	for (uint32_t n = 0; n < count; n++) {
		const struct zone_worker_info *info = &infos[n];
		uint32_t i = zone_worker_index(z, info->id);

		if (i == ZONE_NO_WORKER) {
			register_worker(z, info);
			i = zone_worker_index(z, info->id);
		}
		z->workers[i].listed = true;
		z->workers[i].leaving = info->leaving;
		memcpy(z->workers[i].addr, info->addr, sizeof(info->addr));
		z->places[i].capacity = info->capacity;
		z->places[i].rack = rack_index(z, info->rack);
	}
}

/*
 * Returns the number of workers that may run unknown tasks: those without a
 * listing since the takeover and with leases that may not have expired.
 */
uint32_t zone_unreconciled_workers(const struct zone *z)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < z->worker_count; i++)
		n += z->workers[i].used && z->workers[i].reconcile_by_ms != 0;
	return n;
}

/* Returns the number of known workers. */
uint32_t zone_used_workers(const struct zone *z)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < z->worker_count; i++)
		n += z->workers[i].used;
	return n;
}

static uint32_t zone_sync_interval(const struct zone *z)
{
	uint32_t ms = zone_used_workers(z) * ZONE_SYNC_BYTES * 1000 /
		      ZONE_SYNC_BANDWIDTH;

	if (ms < z->settings.sync_min_ms)
		return z->settings.sync_min_ms;
	if (ms > z->settings.sync_max_ms)
		return z->settings.sync_max_ms;
	return ms;
}

/* Returns the lease term of a running task, three sync intervals, in ms. */
uint32_t zone_lease_term_ms(const struct zone *z)
{
	return 3 * zone_sync_interval(z);
}

typedef void (*task_fn)(struct zone *z, struct zone_job *job, uint32_t task,
			void *ctx);

static void for_each_task(struct zone *z, uint32_t worker, task_fn fn,
			  void *ctx)
{
	struct zone_job *job;
	struct zone_job *next;

	DL_FOREACH_SAFE(z->active, job, next)
	{
		for (uint32_t i = 0; i < job->task_count; i++) {
			if (job->tasks[i].worker == worker)
				fn(z, job, i, ctx);
		}
	}
}

struct renewals {
	json_t *leases;
	bool valid; /* the claim is valid */
};

/*
 * A holder without a valid claim renews only leases of tasks that may run
 * twice: a successor that cannot reach the worker relies on the expiry of the
 * others.
 */
static void add_renewal(struct zone *z, struct zone_job *job, uint32_t task,
			void *ctx)
{
	const struct zone_task *t = &job->tasks[task];
	struct renewals *r = ctx;

	(void)z;
	if (!r->valid && (job->spec.exclusive || !job->spec.repeat))
		return;
	/* TASK_UNCERTAIN is not renewed until a listing shows the task. */
	if (t->state == TASK_RUN)
		json_array_append_new(r->leases, json_string(t->lease));
}

static void send_sync(struct zone *z, uint32_t worker, struct sync_slot *slot,
		      uint32_t wait_ms, bool valid)
{
	struct zone_worker *w = &z->workers[worker];
	struct zone_action *a = zone_add_action(z, ZONE_SYNC);
	uint32_t term = zone_lease_term_ms(z);
	struct renewals renewals = { .leases = json_array(), .valid = valid };
	bool renews;
	json_t *body;

	/* No renewals after a term without reply, so that leases expire. */
	if (w->state == WORKER_UP || z->now_ms - w->last_ok_ms < term)
		for_each_task(z, worker, add_renewal, &renewals);
	renews = json_array_size(renewals.leases) > 0;
	if (renews)
		w->last_renew_ms = z->now_ms;
	body = json_pack("{s:o,s:i,s:i,s:O}", "renew", renewals.leases,
			 "ttl_ms", (int)term, "wait_ms", (int)wait_ms, "ack",
			 w->acks);
	a->ref = z->next_ref++;
	if (!z->next_ref)
		z->next_ref = 1;
	a->wait_ms = wait_ms;
	memcpy(a->worker, w->id, sizeof(a->worker));
	memcpy(a->addr, w->addr, sizeof(a->addr));
	a->body = json_dumps(body, JSON_COMPACT);
	a->body_len = strlen(a->body);
	json_decref(body);
	*slot = (struct sync_slot){ .ref = a->ref,
				    .sent_ms = z->now_ms,
				    .renews = renews };
}

static void handle_lost_task(struct zone *z, struct zone_job *job,
			     uint32_t task, void *ctx)
{
	struct zone_task *t = &job->tasks[task];

	(void)ctx;
	if (t->state == TASK_STOP) {
		zone_task_stopped(z, job, task);
		return;
	}
	if (t->state != TASK_RUN && t->state != TASK_UNCERTAIN)
		return;
	if (!job->spec.repeat) {
		zone_task_release(z, job, task);
		zone_set_task_state(z, t, TASK_FAILED);
		zone_job_end(z, job, ERR_LOST, OUTCOME_UNKNOWN,
			     "the worker was lost while it ran");
		return;
	}
	if (job->spec.gang) {
		zone_task_failed(z, job, task, "the worker was lost");
		return;
	}
	zone_task_reset(z, job, task);
	zone_update_job(z, job);
}

/*
 * Returns the earliest time at which all leases on an unresponsive worker have
 * expired.
 */
static uint64_t lease_expiry_ms(const struct zone *z,
				const struct zone_worker *w)
{
	uint64_t term = zone_lease_term_ms(z);
	uint64_t last = w->last_renew_ms > w->last_ok_ms ? w->last_renew_ms
							 : w->last_ok_ms;
	/*
	 * Two terms, because a paused holder may send one delayed renewal just
	 * before the leases expire; one percent for the worker's clock.
	 */
	uint64_t at = last + 2 * (term + term / 100) + ZONE_RETRANSMIT_MS;

	/* A start in flight at that time has a start lease. */
	at += z->settings.start_lease_ms;
	return at > w->reconcile_by_ms ? at : w->reconcile_by_ms;
}

static void check_unresponsive(struct zone *z, uint32_t i)
{
	struct zone_worker *w = &z->workers[i];

	if (w->state != WORKER_UNRESPONSIVE && w->state != WORKER_UNKNOWN)
		return;
	if (z->now_ms < lease_expiry_ms(z, w))
		return;
	w->state = WORKER_EXPIRED;
	w->reconcile_by_ms = 0;
	z->stats.lost_workers++;
	for_each_task(z, i, handle_lost_task, NULL);
}

static void count_task(struct zone *z, struct zone_job *job, uint32_t task,
		       void *ctx)
{
	(void)z;
	(void)job;
	(void)task;
	++*(uint32_t *)ctx;
}

/* Removes a worker that is no longer listed and has no leases or tasks. */
static void remove_worker(struct zone *z, uint32_t i)
{
	struct zone_worker *w = &z->workers[i];
	struct jnl_record record = { .type = JNL_WORKER_REMOVE };
	uint32_t tasks = 0;

	if (w->listed || w->state != WORKER_EXPIRED || w->long_poll.ref ||
	    w->immediate.ref)
		return;
	for_each_task(z, i, count_task, &tasks);
	if (tasks)
		return;
	memcpy(record.worker, w->id, sizeof(record.worker));
	jnl_append(&z->pending, &record);
	HASH_DELETE(hh, z->worker_ids, w);
	json_decref(w->acks);
	*w = (struct zone_worker){ 0 };
	z->places[i] = (struct place_worker){ 0 };
}

/* Sends the syncs that are due and handles unresponsive and removed workers. */
void zone_sync_workers(struct zone *z, bool valid)
{
	uint32_t interval = zone_sync_interval(z);

	for (uint32_t i = 0; i < z->worker_count; i++) {
		struct zone_worker *w = &z->workers[i];

		if (!w->used || w->state == WORKER_NEW)
			continue;
		if (valid)
			check_unresponsive(z, i);
		if (!w->long_poll.ref && z->now_ms >= w->next_sync_ms)
			send_sync(z, i, &w->long_poll,
				  w->state == WORKER_UP ? interval : 0, valid);
		if (w->sync_now && !w->immediate.ref && w->state == WORKER_UP) {
			w->sync_now = false;
			send_sync(z, i, &w->immediate, 0, valid);
		}
		if (valid)
			remove_worker(z, i);
	}
}

/*
 * Parses a lease id "<job>.<task>.<epoch>.<attempt>" into job id and task.
 * Returns false if it is malformed. A job id may contain dots.
 */
bool zone_lease_parse(const char *lease, char *job, size_t size, uint32_t *task)
{
	const char *dot = lease + strlen(lease);
	char *end;

	for (int fields = 0; fields < 3 && dot > lease;) {
		dot--;
		fields += *dot == '.';
	}
	if (dot == lease || (size_t)(dot - lease) >= size)
		return false;
	memcpy(job, lease, (size_t)(dot - lease));
	job[dot - lease] = '\0';
	*task = (uint32_t)strtoul(dot + 1, &end, 10);
	return end != dot + 1 && *end == '.';
}

static void add_lease_action(struct zone *z, enum zone_action_kind kind,
			     uint32_t worker, const char *lease)
{
	struct zone_action *a = zone_add_action(z, kind);

	memcpy(a->worker, z->workers[worker].id, sizeof(a->worker));
	memcpy(a->addr, z->workers[worker].addr, sizeof(a->addr));
	snprintf(a->lease, sizeof(a->lease), "%s", lease);
}

/* Adds a lease whose end is committed to the acks of the next sync. */
void zone_add_ack(struct zone_worker *w, const char *lease)
{
	json_t *row;
	size_t i;

	json_array_foreach(w->acks, i, row)
	{
		if (!strcmp(json_string_value(row), lease))
			return;
	}
	json_array_append_new(w->acks, json_string(lease));
}

/* Returns the epoch in a lease id, 0 if the id is malformed. */
static uint64_t zone_lease_epoch(const char *lease)
{
	const char *attempt = strrchr(lease, '.');
	const char *epoch = attempt;

	while (epoch && epoch > lease && epoch[-1] != '.')
		epoch--;
	return epoch ? strtoull(epoch, NULL, 16) : 0;
}

/* The leases that a worker has listed in its reply to a sync. */
struct listing {
	uint32_t worker;
	uint64_t sent_ms; /* when the sync request was sent */
	json_t *by_lease; /* lease id -> task object or null */
	bool first;	  /* from this worker since the takeover */
};

static struct res listed_usage(json_t *task)
{
	double cpus = json_number_value(json_object_get(task, "cpus_used"));
	double mem = json_number_value(json_object_get(task, "mem_mb_used"));

	if (cpus < 0 || cpus > 1e6)
		cpus = 0;
	if (mem < 0 || mem > 1e9)
		mem = 0;
	return (struct res){ .cpu_milli = (uint32_t)(cpus * 1000),
			     .mem_mb = (uint32_t)mem };
}

static void adopt_task(struct zone *z, struct zone_job *job, uint32_t task,
		       uint32_t worker, const char *lease,
		       enum task_state state)
{
	struct zone_task *t = &job->tasks[task];

	zone_dequeue(z, job);
	zone_charge(z, job, task, worker, &job->spec.need);
	snprintf(t->lease, sizeof(t->lease), "%s", lease);
	zone_set_task_state(z, t, state);
	if (state == TASK_RUN) {
		t->started_ms = z->now_ms;
		job->may_have_run = true;
		z->workers[worker].sync_now = true;
	}
	job->state = JOB_ACTIVE;
	if (state == TASK_RUN && (job->cancelled || job->stopping))
		zone_stop_tasks(z, job);
}

static void apply_task_end(struct zone *z, struct zone_job *job, uint32_t task,
			   const char *state, json_t *object)
{
	const char *output =
		json_string_value(json_object_get(object, "output"));
	struct zone_task *t = &job->tasks[task];

	if (t->state == TASK_STOP) {
		/* The task ended by itself while the stop was in flight. */
		zone_set_task_state(z, t, TASK_RUN);
	}
	if (!strcmp(state, "done"))
		zone_task_done(z, job, task, output ? output : "",
			       output ? strlen(output) : 0);
	else
		zone_task_failed(z, job, task, output ? output : "failed");
}

static bool is_ended(json_t *object)
{
	const char *state = json_string_value(json_object_get(object, "state"));

	return state && (!strcmp(state, "done") || !strcmp(state, "failed"));
}

static void apply_row(struct zone *z, struct listing *l, const char *lease,
		      json_t *object)
{
	char id[ZONE_ID_MAX];
	uint32_t n;
	struct zone_job *job = NULL;
	struct zone_task *t;
	const char *state =
		json_is_object(object)
			? json_string_value(json_object_get(object, "state"))
			: NULL;
	bool ended = is_ended(object);

	if (zone_lease_epoch(lease) > z->epoch)
		return; /* lease of a successor */
	if (zone_lease_parse(lease, id, sizeof(id), &n))
		job = zone_find_job(z, id);
	if (!job || job->state == JOB_ENDED || n >= job->task_count) {
		/* The job has ended, was deleted, or is not of this zone. */
		if (ended)
			zone_add_ack(&z->workers[l->worker], lease);
		else if (state)
			add_lease_action(z, ZONE_STOP, l->worker, lease);
		return;
	}
	t = &job->tasks[n];
	/*
	 * Ignore a listing requested before the task became TASK_WAIT, unless
	 * it is the first one of this worker: only that one shows what an
	 * earlier holder has started there.
	 */
	if (t->state == TASK_WAIT && !l->first && t->since_ms &&
	    l->sent_ms <= t->since_ms)
		return;
	/* An ended task is adopted only if an earlier holder started it. */
	if (t->state == TASK_WAIT &&
	    (!ended ||
	     (l->first && job->recovered &&
	      !(!strcmp(state, "failed") && (t->failures || job->attempts)))))
		adopt_task(z, job, n, l->worker, lease,
			   state ? TASK_RUN : TASK_UNCERTAIN);
	if (strcmp(t->lease, lease) != 0) {
		if (ended)
			zone_add_ack(&z->workers[l->worker], lease);
		else if (state)
			add_lease_action(z, ZONE_STOP, l->worker, lease);
		return;
	}
	/* An end is acknowledged only after its record is committed. */
	if (!state || t->worker != l->worker)
		return;
	if (ended) {
		if (t->state == TASK_RUN || t->state == TASK_UNCERTAIN ||
		    t->state == TASK_START || t->state == TASK_STOP)
			apply_task_end(z, job, n, state, object);
		return;
	}
	if (t->state == TASK_STOP && l->sent_ms > t->since_ms) {
		add_lease_action(z, ZONE_STOP, l->worker, lease);
		t->since_ms = z->now_ms;
	}
	if (t->state == TASK_UNCERTAIN) {
		zone_set_task_state(z, t, TASK_RUN);
		t->started_ms = z->now_ms;
		job->may_have_run = true;
		z->workers[l->worker].sync_now = true;
		if (job->cancelled || job->stopping)
			zone_stop_tasks(z, job);
	}
}

/*
 * Applies either the rows of ended tasks or all others. The caller applies the
 * others first, so that a failed attempt does not restart a task that a later
 * attempt is running.
 */
static void apply_rows(struct zone *z, struct listing *l, bool ended)
{
	const char *lease;
	json_t *task;

	json_object_foreach(l->by_lease, lease, task)
	{
		if (is_ended(task) == ended)
			apply_row(z, l, lease, task);
	}
}

/* A lease that is missing in a newer listing can no longer lead to a run. */
static void check_missing_lease(struct zone *z, struct zone_job *job,
				uint32_t task, void *ctx)
{
	struct listing *l = ctx;
	struct zone_task *t = &job->tasks[task];

	if (!t->lease[0] || json_object_get(l->by_lease, t->lease))
		return;
	/* Only a listing requested after the state change is conclusive. */
	if (l->sent_ms <= t->since_ms)
		return;
	if (t->state == TASK_STOP) {
		zone_task_stopped(z, job, task);
	} else if (t->state == TASK_UNCERTAIN && job->spec.repeat) {
		zone_task_reset(z, job, task);
		zone_update_job(z, job);
	} else if (t->state == TASK_RUN && job->spec.repeat) {
		zone_task_failed(z, job, task, "its lease lapsed");
	} else if (t->state == TASK_RUN || t->state == TASK_UNCERTAIN) {
		zone_task_release(z, job, task);
		zone_set_task_state(z, t, TASK_FAILED);
		zone_job_end(z, job, ERR_LOST, OUTCOME_UNKNOWN,
			     "its lease lapsed; it may have run");
	}
}

struct usage {
	json_t *by_lease;
	struct res sum;
	struct zone_job *victim;
	uint32_t victim_task;
	uint32_t victim_over_mb;
	uint32_t victim_cpu_milli;
};

static void add_usage(struct zone *z, struct zone_job *job, uint32_t task,
		      void *ctx)
{
	struct usage *u = ctx;
	struct zone_task *t = &job->tasks[task];
	json_t *object = json_object_get(u->by_lease, t->lease);
	struct zone_entry *entry = z->entries[job->entry];
	struct res used;
	struct res charge;
	uint32_t over;

	if (t->state != TASK_RUN || !json_is_object(object))
		return;
	used = listed_usage(object);
	res_add(&u->sum, &used);
	est_observe_usage(&entry->est, &used, z->now_ms);
	charge = t->charged;
	over = used.mem_mb > t->charged.mem_mb ? used.mem_mb - t->charged.mem_mb
					       : 0;
	if (used.cpu_milli > charge.cpu_milli)
		charge.cpu_milli = used.cpu_milli;
	if (used.mem_mb > charge.mem_mb)
		charge.mem_mb = used.mem_mb;
	if (memcmp(&charge, &t->charged, sizeof(charge)) != 0) {
		uint32_t worker = t->worker;

		zone_task_release(z, job, task);
		zone_charge(z, job, task, worker, &charge);
	}
	if (!u->victim || over > u->victim_over_mb ||
	    (over == u->victim_over_mb &&
	     used.cpu_milli > u->victim_cpu_milli)) {
		u->victim = job;
		u->victim_task = task;
		u->victim_over_mb = over;
		u->victim_cpu_milli = used.cpu_milli;
	}
}

/*
 * Acts on a worker whose tasks use more than 90 % of its memory, or more than
 * its processors. The memory limit is below the capacity because reports lag.
 * The task that exceeds its charged memory most is throttled; if it is already
 * throttled and memory is short, it is stopped, which counts as a failure.
 */
static void check_usage(struct zone *z, struct listing *l)
{
	struct usage u = { .by_lease = l->by_lease };
	const struct res *capacity = &z->places[l->worker].capacity;
	struct jnl_record record = { .type = JNL_FAIL };
	struct zone_task *t;
	bool over_mem;

	for_each_task(z, l->worker, add_usage, &u);
	z->workers[l->worker].reported = u.sum;
	if (!capacity->mem_mb)
		return; /* not on the instance list since the takeover */
	over_mem = u.sum.mem_mb > capacity->mem_mb - capacity->mem_mb / 10;
	if (!u.victim || (!over_mem && u.sum.cpu_milli <= capacity->cpu_milli))
		return;
	t = &u.victim->tasks[u.victim_task];
	if (!t->throttled) {
		t->throttled = true;
		add_lease_action(z, ZONE_THROTTLE, l->worker, t->lease);
		z->workers[l->worker].sync_now = true;
		return;
	}
	if (!over_mem)
		return;
	add_lease_action(z, ZONE_STOP, l->worker, t->lease);
	zone_set_task_state(z, t, TASK_STOP);
	t->failures++;
	record.job = u.victim->jid;
	record.task = u.victim_task;
	record.attempt = t->failures;
	snprintf(record.text, sizeof(record.text),
		 "task %u used more memory than its worker has", u.victim_task);
	memcpy(u.victim->text, record.text, sizeof(record.text));
	jnl_append(&z->pending, &record);
	if (t->failures >= ZONE_MAX_ATTEMPTS && !u.victim->stopping) {
		u.victim->attempts = ZONE_MAX_ATTEMPTS;
		zone_stop_tasks(z, u.victim);
	}
}

static bool read_listing(const char *body, size_t len, json_t *by_lease)
{
	json_t *root = json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL);
	json_t *rows = json_object_get(root, "leases");
	json_t *row;
	size_t i;
	bool ok = json_is_array(rows);

	if (!ok)
		goto out;
	json_array_foreach(rows, i, row)
	{
		const char *id = json_string_value(json_object_get(row, "id"));
		json_t *task = json_object_get(row, "task");

		ok = id && strlen(id) < ZONE_LEASE_MAX &&
		     (json_is_null(task) || json_is_object(task));
		if (!ok)
			break;
		json_object_set(by_lease, id, task);
	}
out:
	json_decref(root);
	return ok;
}

static void apply_listing(struct zone *z, uint32_t worker, uint64_t sent_ms,
			  json_t *by_lease)
{
	struct zone_worker *w = &z->workers[worker];
	struct listing l = { .worker = worker,
			     .sent_ms = sent_ms,
			     .by_lease = by_lease,
			     .first = w->reconcile_by_ms != 0 };

	w->state = WORKER_UP;
	w->last_ok_ms = z->now_ms;
	w->reconcile_by_ms = 0;
	apply_rows(z, &l, false);
	apply_rows(z, &l, true);
	for_each_task(z, worker, check_missing_lease, &l);
	check_usage(z, &l);
}

/* Removes the acks of leases that the worker no longer lists. */
static void drop_acks(struct zone_worker *w, json_t *by_lease)
{
	size_t i = json_array_size(w->acks);

	while (i-- > 0) {
		const char *id = json_string_value(json_array_get(w->acks, i));

		if (!json_object_get(by_lease, id))
			json_array_remove(w->acks, i);
	}
}

/* Handles the reply to a sync. */
void zone_on_sync(struct zone *z, uint32_t worker, uint32_t ref,
		  enum zone_result result, const char *body, size_t len,
		  bool valid)
{
	struct zone_worker *w = &z->workers[worker];
	struct sync_slot *slot =
		w->long_poll.ref == ref ? &w->long_poll : &w->immediate;
	json_t *by_lease;
	uint64_t sent_ms = slot->sent_ms;
	bool renews = slot->renews;

	if (slot->ref != ref)
		return;
	*slot = (struct sync_slot){ 0 };
	by_lease = json_object();
	if (result != ZONE_OK && renews)
		w->last_renew_ms = z->now_ms; /* latest possible send time */
	if (result == ZONE_OK && !valid) {
		/* A successor may have started the listed tasks. */
		w->last_ok_ms = z->now_ms;
		w->next_sync_ms = z->now_ms + SYNC_RETRY_MS;
	} else if (result == ZONE_OK && read_listing(body, len, by_lease)) {
		drop_acks(w, by_lease);
		if (slot == &w->long_poll)
			w->next_sync_ms = z->now_ms;
		apply_listing(z, worker, sent_ms, by_lease);
	} else {
		if (w->state == WORKER_UP)
			w->state = WORKER_UNRESPONSIVE;
		w->next_sync_ms = z->now_ms + SYNC_RETRY_MS;
	}
	json_decref(by_lease);
}
