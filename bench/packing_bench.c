/*
 * Packing of a backlog with wrong declared sizes, under worker failures and
 * waves of cancellations, in virtual time. The product and the baselines get
 * the same entries, and workers that fail at the same times.
 */
#include "est.h"
#include "out.h"
#include "place.h"
#include "queue.h"
#include "share.h"

#include <stdlib.h>
#include <string.h>

#define ENTRIES_OF_OWNER 4
#define GANG_MAX 8
#define OWNERS_MAX 170
#define RESOURCES 3
#define STEP_MS 1000
#define REPORT_MS 15000 /* longest delay of usage reports, design 4.3 */
#define WAVE_MS 900000	/* between waves of cancellations */

struct job_class {
	uint32_t cpu_low, cpu_high; /* processors */
	uint32_t mem_low, mem_high; /* GB */
	uint32_t accel;
	uint32_t tasks;
	uint32_t run_s;
};

struct deployment {
	const char *name;
	uint32_t zones;	  /* each with its own scheduler */
	uint32_t workers; /* of a zone */
	uint32_t owners;
	struct res capacity;
	bool mixed;	   /* some workers smaller, some with accelerators */
	uint32_t services; /* tasks of a zone that run all the time */
	uint32_t failures; /* workers of a zone that fail in the run */
	uint32_t waiting;  /* jobs of each entry in a zone */
	uint32_t run_s;
	uint32_t seeds;
	struct job_class jobs[ENTRIES_OF_OWNER];
};

static const struct deployment deployments[] = {
	{
		.name = "loomline",
		.zones = 1,
		.workers = 50,
		.owners = 8,
		.capacity = { 64000, 262144, 0 },
		.failures = 6,
		.waiting = 12,
		.run_s = 7200,
		.seeds = 3,
		.jobs = { { 20, 40, 60, 160, 0, 1, 600 },
			  { 1, 6, 2, 24, 0, 1, 120 },
			  { 24, 36, 30, 120, 0, 1, 400 },
			  { 4, 8, 8, 32, 0, GANG_MAX, 300 } },
	},
	{
		.name = "kjaersgaard",
		.zones = 1,
		.workers = 50,
		.owners = 8,
		.capacity = { 32000, 65536, 0 },
		.failures = 6,
		.waiting = 12,
		.run_s = 7200,
		.seeds = 3,
		.jobs = { { 10, 20, 16, 40, 0, 1, 600 },
			  { 1, 4, 1, 6, 0, 1, 90 },
			  { 12, 18, 8, 32, 0, 1, 400 },
			  { 2, 4, 2, 8, 0, 4, 300 } },
	},
	/*
	 * 3 of the 16 zones of the target size: zones are scheduled one by one,
	 * and all of them would take longer than the benchmark may.
	 */
	{
		.name = "target",
		.zones = 3,
		.workers = 175,
		.owners = 170,
		.capacity = { 64000, 262144, 0 },
		.mixed = true,
		.services = 150,
		.failures = 3,
		.waiting = 4,
		.run_s = 1800,
		.seeds = 1,
		.jobs = { { 10, 28, 16, 60, 0, 1, 400 },
			  { 1, 6, 2, 24, 0, 1, 120 },
			  { 4, 16, 8, 60, 1, 1, 300 },
			  { 4, 8, 8, 32, 0, GANG_MAX, 300 } },
	},
};

/* Scheduling method: placement policy, and whether sizes are corrected. */
struct method {
	const char *name;
	enum place_kind kind;
	bool corrected;
};

enum { PRODUCT, SAME_FIRST, SAME_RANDOM, FIRST, RANDOM, METHODS };

static const struct method methods[METHODS] = {
	[PRODUCT] = { "product", PLACE_BEST_FIT, true },
	[SAME_FIRST] = { "first-fit, corrected sizes", PLACE_FIRST_FIT, true },
	[SAME_RANDOM] = { "random, corrected sizes", PLACE_RANDOM, true },
	[FIRST] = { "first-fit, declared sizes", PLACE_FIRST_FIT, false },
	[RANDOM] = { "random, declared sizes", PLACE_RANDOM, false },
};

struct entry {
	struct res real;
	struct res declared;
	uint32_t tasks;
	uint32_t run_ms;
	uint32_t waiting; /* jobs */
	struct est est;
};

struct task {
	uint32_t job;
	uint32_t entry;
	uint32_t worker;
	struct res need; /* reserved and charged */
	struct res real;
	double left_ms;
	uint32_t run_ms;
	uint64_t started_ms;
	uint64_t reported_ms;
};

struct job {
	uint32_t owner;
	uint32_t entry;
	uint32_t running; /* tasks, 0 when free */
	uint32_t next_free;
	uint64_t since_ms;
	bool ended; /* failed or cancelled, tasks not yet removed */
	bool requeue;
	bool service;
};

struct totals {
	double work;	     /* fraction of the cell's capacity, times ms */
	double overload;     /* worker-ms with real use above capacity */
	double fairness;     /* lowest attained / fair share */
	uint64_t over_limit; /* placements beyond capacity or limit */
	uint64_t started;    /* jobs */
	uint64_t large;	     /* exclusive jobs done */
	uint64_t oom_killed; /* jobs, out of memory */
};

struct run {
	const struct deployment *d;
	const struct method *m;
	bool pile;	    /* arrivals of random entries */
	uint64_t rng;	    /* of entries, arrivals and cancellations */
	uint64_t fault_rng; /* of failing workers */
	uint64_t now_ms;
	struct place_policy policy;
	struct place_index *index; /* for the product only */
	struct place_worker *workers;
	uint64_t *return_ms; /* when a failed worker returns */
	struct res *load;    /* real use of each worker */
	uint32_t *victims;   /* task to end on each worker */
	struct res total;
	struct entry *entries;
	struct share *share;
	struct queue *queue;
	struct task *tasks;
	uint32_t task_count, task_size;
	struct job *jobs;
	uint32_t job_count, job_size, job_free;
	double *attained, *fair; /* by owner, added up over time and zones */
	struct totals totals;
};

/* Exits if an allocation failed; returns @p otherwise. */
static void *check_alloc(void *p)
{
	if (!p) {
		fputs("packing_bench: out of memory\n", stderr);
		exit(1);
	}
	return p;
}

/* Returns @value times @percent / 100. */
static uint32_t scale(uint32_t value, uint32_t percent)
{
	return (uint32_t)((uint64_t)value * percent / 100);
}

/* Returns @a, limited to @max in each resource. */
static struct res res_min(struct res a, const struct res *max)
{
	if (a.cpu_milli > max->cpu_milli)
		a.cpu_milli = max->cpu_milli;
	if (a.mem_mb > max->mem_mb)
		a.mem_mb = max->mem_mb;
	if (a.accel > max->accel)
		a.accel = max->accel;
	return a;
}

/* Makes the entries; the declared size is 60% to 300% of the real one. */
static void make_entries(struct run *r)
{
	static const uint32_t error_percent[] = { 60, 80, 100, 150, 200, 300 };
	uint32_t count = r->d->owners * ENTRIES_OF_OWNER;
	struct res max = place_largest(r->workers, r->d->workers);

	r->entries = check_alloc(calloc(count, sizeof(*r->entries)));
	for (uint32_t i = 0; i < count; i++) {
		const struct job_class *k = &r->d->jobs[i % ENTRIES_OF_OWNER];
		struct entry *e = &r->entries[i];
		uint32_t percent = error_percent[rnd(&r->rng) % 6];

		e->real = (struct res){
			.cpu_milli = 1000 * rnd_range(&r->rng, k->cpu_low,
						      k->cpu_high),
			.mem_mb = 1024 *
				  rnd_range(&r->rng, k->mem_low, k->mem_high),
			.accel = k->accel,
		};
		e->declared = (struct res){
			.cpu_milli = scale(e->real.cpu_milli, percent),
			.mem_mb = scale(e->real.mem_mb, percent),
			.accel = k->accel,
		};
		e->declared = res_min(e->declared, &max);
		e->tasks = k->tasks;
		e->run_ms = 1000 * k->run_s;
		est_init(&e->est, &e->declared,
			 scale(e->run_ms, error_percent[rnd(&r->rng) % 6]));
	}
}

/* Makes the workers, 8 to a rack. */
static void make_workers(struct run *r)
{
	uint32_t count = r->d->workers;

	r->workers = check_alloc(calloc(count, sizeof(*r->workers)));
	r->return_ms = check_alloc(calloc(count, sizeof(*r->return_ms)));
	r->load = check_alloc(calloc(count, sizeof(*r->load)));
	r->victims = check_alloc(calloc(count, sizeof(*r->victims)));
	for (uint32_t i = 0; i < count; i++) {
		struct place_worker *w = &r->workers[i];

		w->capacity = r->d->capacity;
		if (r->d->mixed && i % 4 == 1)
			w->capacity = (struct res){ 32000, 65536, 0 };
		if (r->d->mixed && i % 14 == 0)
			w->capacity.accel = 8;
		w->rack = i / 8;
		w->usable = true;
		res_add(&r->total, &w->capacity);
	}
}

/* Updates the index after a change of worker @i. */
static void update_index(struct run *r, uint32_t i)
{
	if (r->index)
		place_index_update(r->index, i);
}

/* Returns the size to reserve for a task of @e. */
static struct res reserved_size(const struct run *r, const struct entry *e)
{
	struct res size = e->declared;
	struct res max = r->d->capacity;

	if (!r->m->corrected)
		return size;
	max.accel = size.accel;
	est_size(&e->est, &size);
	return res_min(size, &max);
}

/* Adds a task of @job on @worker; a service has @job UINT32_MAX. */
static void add_task(struct run *r, uint32_t job, uint32_t entry,
		     uint32_t worker, const struct res *need)
{
	const struct entry *e = &r->entries[entry];
	uint32_t jitter = rnd_range(&r->rng, 85, 100);

	if (r->task_count == r->task_size) {
		r->task_size = 2 * r->task_size + 64;
		r->tasks = check_alloc(
			realloc(r->tasks, r->task_size * sizeof(*r->tasks)));
	}
	r->tasks[r->task_count++] = (struct task){
		.job = job,
		.entry = entry,
		.worker = worker,
		.need = *need,
		.real = { scale(e->real.cpu_milli, jitter),
			  scale(e->real.mem_mb, jitter), e->real.accel },
		.left_ms = scale(e->run_ms, jitter),
		.run_ms = scale(e->run_ms, jitter),
		.started_ms = r->now_ms,
		.reported_ms = r->now_ms,
	};
	update_index(r, worker);
}

/* Removes task @i and releases its reservation and its owner's charge. */
static void remove_task(struct run *r, uint32_t i)
{
	struct task *t = &r->tasks[i];
	struct job *job = &r->jobs[t->job];

	place_release(&r->workers[t->worker], &t->need);
	share_refund(r->share, job->owner, &t->need);
	update_index(r, t->worker);
	if (!--job->running) {
		job->next_free = r->job_free;
		r->job_free = t->job;
	}
	*t = r->tasks[--r->task_count];
}

/* Queues a job of @owner. */
static void enqueue(struct run *r, uint32_t owner, uint32_t entry,
		    uint64_t since_ms)
{
	struct queue_job job = {
		.owner = owner,
		.entry = entry,
		.tasks = r->entries[entry].tasks,
		.since_ms = since_ms,
		.user = entry,
	};

	if (!queue_add(r->queue, &job))
		check_alloc(NULL);
	r->entries[entry].waiting++;
}

/* Allocates a job record for @from and returns its index. */
static uint32_t alloc_job(struct run *r, const struct queue_job *from)
{
	uint32_t i = r->job_free;

	if (i == r->job_size) {
		r->job_size = 2 * r->job_size + 64;
		r->jobs = check_alloc(
			realloc(r->jobs, r->job_size * sizeof(*r->jobs)));
	}
	if (i == r->job_count)
		r->job_free = ++r->job_count;
	else
		r->job_free = r->jobs[i].next_free;
	r->jobs[i] = (struct job){
		.owner = from->owner,
		.entry = from->entry,
		.running = from->tasks,
		.since_ms = from->since_ms,
	};
	return i;
}

/*
 * Adds jobs; each owner pauses 400 s of every hour. Either a constant number of
 * jobs of each entry waits, or each started job is replaced by one of a random
 * entry, so that jobs that are hard to place pile up until an owner has no
 * others.
 */
static void add_arrivals(struct run *r)
{
	uint32_t want = r->d->waiting * ENTRIES_OF_OWNER;

	for (uint32_t i = 0; i < r->d->owners * ENTRIES_OF_OWNER; i++) {
		uint32_t owner = i / ENTRIES_OF_OWNER;
		uint64_t phase = r->now_ms / 1000 + 977 * owner;

		if (phase % 3600 < 400)
			continue;
		while (!r->pile && r->entries[i].waiting < r->d->waiting)
			enqueue(r, owner, i, r->now_ms);
		while (r->pile && queue_count_owner(r->queue, owner) < want)
			enqueue(r, owner,
				owner * ENTRIES_OF_OWNER +
					rnd_range(&r->rng, 0,
						  ENTRIES_OF_OWNER - 1),
				r->now_ms);
	}
}

/* Removes the tasks of ended jobs and requeues lost jobs. */
static void remove_ended(struct run *r)
{
	for (uint32_t i = 0; i < r->task_count;) {
		uint32_t j = r->tasks[i].job;

		if (!r->jobs[j].ended) {
			i++;
			continue;
		}
		remove_task(r, i);
		if (!r->jobs[j].running && r->jobs[j].requeue)
			enqueue(r, r->jobs[j].owner, r->jobs[j].entry,
				r->jobs[j].since_ms);
	}
}

/* Makes workers fail for 5 minutes and restores those whose time is over. */
static void fail_workers(struct run *r)
{
	uint32_t every = r->d->run_s / r->d->failures * 1000;
	uint32_t victim;

	for (uint32_t i = 0; i < r->d->workers; i++) {
		if (r->workers[i].usable || r->now_ms < r->return_ms[i])
			continue;
		r->workers[i].usable = true;
		update_index(r, i);
	}
	if (!r->now_ms || r->now_ms % every)
		return;
	victim = rnd_range(&r->fault_rng, 0, r->d->workers - 1);
	r->workers[victim].usable = false;
	r->return_ms[victim] = r->now_ms + 300000;
	update_index(r, victim);
	for (uint32_t i = 0; i < r->task_count; i++) {
		struct job *job = &r->jobs[r->tasks[i].job];

		/* Services stay until the worker returns. */
		if (r->tasks[i].worker != victim || job->service)
			continue;
		job->ended = true;
		job->requeue = true;
	}
}

/* Removes a started or cancelled job from the queue. */
static void dequeue(struct run *r, queue_ref ref)
{
	r->entries[queue_get(r->queue, ref)->entry].waiting--;
	queue_remove(r->queue, ref);
}

/* Cancels 1 in 20 of the running jobs and 1 in 4 of the waiting ones. */
static void cancel_wave(struct run *r)
{
	uint32_t count = queue_count(r->queue) / 4;

	if (!r->now_ms || r->now_ms % WAVE_MS)
		return;
	for (uint32_t i = 0; i < r->job_count; i++) {
		struct job *job = &r->jobs[i];

		if (job->running && !job->service && rnd(&r->rng) % 20 == 0)
			job->ended = true;
	}
	queue_begin(r->queue, r->now_ms);
	while (count--) {
		queue_ref ref = queue_next(r->queue);

		if (!ref)
			break;
		dequeue(r, ref);
	}
}

/*
 * Processes a usage report. A task that uses more than its reservation gets a
 * larger one.
 */
static void on_usage_report(struct run *r, struct task *t)
{
	struct place_worker *w = &r->workers[t->worker];
	struct res size = t->need;
	uint32_t owner = r->jobs[t->job].owner;

	t->reported_ms = r->now_ms;
	if (!r->m->corrected)
		return;
	est_observe_usage(&r->entries[t->entry].est, &t->real, r->now_ms);
	if (res_fits(&t->real, &size))
		return;
	if (t->real.cpu_milli > size.cpu_milli)
		size.cpu_milli = t->real.cpu_milli;
	if (t->real.mem_mb > size.mem_mb)
		size.mem_mb = t->real.mem_mb;
	res_sub(&w->used, &t->need);
	res_add(&w->used, &size);
	share_refund(r->share, owner, &t->need);
	share_charge_running(r->share, owner, &size);
	t->need = size;
	update_index(r, t->worker);
}

/* Sums up the real use of each worker and the time above capacity. */
static void add_load(struct run *r)
{
	memset(r->load, 0, r->d->workers * sizeof(*r->load));
	for (uint32_t i = 0; i < r->task_count; i++)
		res_add(&r->load[r->tasks[i].worker], &r->tasks[i].real);
	for (uint32_t i = 0; i < r->d->workers; i++) {
		if (!res_fits(&r->load[i], &r->workers[i].capacity))
			r->totals.overload += STEP_MS;
	}
}

/*
 * Kills the newest job on each worker that is out of memory, as the kernel of
 * a worker does; unlike processors, memory cannot be time-shared.
 */
static void kill_out_of_memory(struct run *r)
{
	for (uint32_t i = 0; i < r->d->workers; i++)
		r->victims[i] = UINT32_MAX;
	for (uint32_t i = 0; i < r->task_count; i++) {
		const struct task *t = &r->tasks[i];
		uint32_t w = t->worker;

		if (r->load[w].mem_mb <= r->workers[w].capacity.mem_mb ||
		    r->jobs[t->job].service)
			continue;
		if (r->victims[w] == UINT32_MAX ||
		    t->started_ms > r->tasks[r->victims[w]].started_ms)
			r->victims[w] = i;
	}
	for (uint32_t i = 0; i < r->d->workers; i++) {
		struct task *t;

		if (r->victims[i] == UINT32_MAX)
			continue;
		t = &r->tasks[r->victims[i]];
		if (r->jobs[t->job].ended)
			continue;
		on_usage_report(r, t);
		r->jobs[t->job].ended = true;
		r->jobs[t->job].requeue = true;
		r->totals.oom_killed++;
	}
}

/* Returns the fraction of the cell in @size, as the mean over resources. */
static double cell_fraction(const struct run *r, const struct res *size)
{
	double sum = (double)size->cpu_milli / r->total.cpu_milli +
		     (double)size->mem_mb / r->total.mem_mb;

	if (!r->total.accel)
		return sum / 2;
	return (sum + (double)size->accel / r->total.accel) / 3;
}

/*
 * Advances all tasks by one step. If the processors of a worker are
 * overcommitted, all its tasks slow down in proportion.
 */
static void progress(struct run *r)
{
	for (uint32_t i = 0; i < r->task_count;) {
		struct task *t = &r->tasks[i];
		double use = (double)r->load[t->worker].cpu_milli /
			     r->workers[t->worker].capacity.cpu_milli;

		if (r->jobs[t->job].ended) {
			i++;
			continue;
		}
		t->left_ms -= use > 1 ? STEP_MS / use : STEP_MS;
		if (r->now_ms - t->reported_ms >= REPORT_MS)
			on_usage_report(r, t);
		if (t->left_ms > 0) {
			i++;
			continue;
		}
		r->totals.work += t->run_ms * cell_fraction(r, &t->real);
		r->totals.large += t->entry % ENTRIES_OF_OWNER == 0;
		est_observe_run(&r->entries[t->entry].est, t->run_ms);
		remove_task(r, i);
	}
}

/* Fences workers for the jobs with reservations and unfences all others. */
static void update_fences(struct run *r)
{
	uint32_t count = r->d->workers;

	place_unfence(r->workers, count);
	for (uint32_t i = 0; i < QUEUE_RESERVATIONS; i++) {
		const struct queue_job *job =
			queue_get(r->queue, queue_reservation(r->queue, i));
		struct res need;

		if (!job)
			continue;
		need = reserved_size(r, &r->entries[job->entry]);
		if (!place_fence_for(r->workers, count, &need, job->tasks,
				     (uint8_t)(i + 1),
				     i ? count / QUEUE_FENCE_PART : count))
			queue_drop(r->queue, i);
	}
}

/* Reserves workers for all tasks of a job; returns false if they do not fit. */
static bool place(struct run *r, uint32_t tasks, const struct res *need,
		  int32_t *out)
{
	if (tasks > 1)
		return place_gang(&r->policy, r->workers, r->d->workers, need,
				  tasks, out);
	out[0] = r->index ? place_index_pick(r->index, &r->policy, need)
			  : place_pick(&r->policy, r->workers, r->d->workers,
				       need);
	if (out[0] < 0)
		return false;
	place_reserve(&r->workers[out[0]], need);
	return true;
}

/* Tries to start a job; returns false with the reason in @block_reason. */
static bool start(struct run *r, queue_ref ref, enum queue_reason *block_reason)
{
	struct queue_job job = *queue_get(r->queue, ref);
	struct res need = reserved_size(r, &r->entries[job.entry]);
	struct res sum = { need.cpu_milli * job.tasks, need.mem_mb * job.tasks,
			   need.accel * job.tasks };
	int32_t out[GANG_MAX] = { 0 };
	uint32_t j;

	*block_reason = QUEUE_LIMIT;
	if (!share_charge(r->share, job.owner, &sum))
		return false;
	*block_reason = QUEUE_NO_ROOM;
	r->policy.allowed_fence = queue_fence(r->queue, ref);
	if (!place(r, job.tasks, &need, out)) {
		share_refund(r->share, job.owner, &sum);
		return false;
	}
	dequeue(r, ref);
	j = alloc_job(r, &job);
	for (uint32_t t = 0; t < job.tasks; t++) {
		const struct place_worker *w = &r->workers[out[t]];

		if (!res_fits(&w->used, &w->capacity) || !w->usable)
			r->totals.over_limit++;
		add_task(r, j, job.entry, (uint32_t)out[t], &need);
	}
	r->totals.started++;
	return true;
}

/* Makes one pass over the waiting jobs. */
static void schedule(struct run *r)
{
	queue_ref ref;

	queue_begin(r->queue, r->now_ms);
	update_fences(r);
	while ((ref = queue_next(r->queue))) {
		enum queue_reason block_reason;

		if (!start(r, ref, &block_reason))
			queue_blocked(r->queue, ref, block_reason);
	}
}

/* Usage of an owner: fractions of the cell, and the largest of them. */
struct owner_usage {
	double part[RESOURCES];
	double share;
	double fair;
	bool waiting;
};

/* Fills @h with the usage of @owner. */
static void get_owner_usage(const struct run *r, uint32_t owner,
			    struct owner_usage *h)
{
	struct res u = share_used(r->share, owner);

	*h = (struct owner_usage){
		.part = { (double)u.cpu_milli / r->total.cpu_milli,
			  (double)u.mem_mb / r->total.mem_mb,
			  r->total.accel ? (double)u.accel / r->total.accel
					 : 0 },
		.share = share_of(r->share, owner),
		.fair = -1,
	};
	h->waiting = queue_count_owner(r->queue, owner) && h->share > 0;
}

/*
 * One step of progressive filling: raises the share of all owners without a
 * fair share yet from 0, in the mix of resources that each uses, until a
 * resource is exhausted. Sets the fair share of the owners that need this
 * resource to that level. Returns false when all have one.
 */
static bool progressive_fill(struct owner_usage *owner_usage, uint32_t count,
			     double *avail)
{
	double unit[RESOURCES] = { 0 }; /* for a share of 1 each */
	int bottleneck = -1;
	double level = 0;

	for (uint32_t o = 0; o < count; o++) {
		for (int i = 0; i < RESOURCES; i++) {
			if (owner_usage[o].waiting && owner_usage[o].fair < 0)
				unit[i] += owner_usage[o].part[i] /
					   owner_usage[o].share;
		}
	}
	for (int i = 0; i < RESOURCES; i++) {
		if (unit[i] <= 0 ||
		    (bottleneck >= 0 && avail[i] / unit[i] >= level))
			continue;
		bottleneck = i;
		level = avail[i] / unit[i];
	}
	if (bottleneck < 0)
		return false;
	for (uint32_t o = 0; o < count; o++) {
		struct owner_usage *h = &owner_usage[o];

		if (!h->waiting || h->fair >= 0 || h->part[bottleneck] <= 0)
			continue;
		h->fair = level > 0 ? level : 0;
		for (int i = 0; i < RESOURCES; i++)
			avail[i] -= h->part[i] / h->share * h->fair;
	}
	return true;
}

/*
 * Computes the fair shares of owners with waiting work by the progressive
 * filling of Dominant Resource Fairness. The available amount of each resource
 * is limited to the utilization of the most used one, because no policy can
 * hand out all of it, less the usage of owners without waiting work.
 */
static void fair_shares(const struct run *r, struct owner_usage *owner_usage)
{
	double used[RESOURCES] = { 0 };
	double avail[RESOURCES];
	double max_used = 0;

	for (uint32_t o = 0; o < r->d->owners; o++) {
		get_owner_usage(r, o, &owner_usage[o]);
		for (int i = 0; i < RESOURCES; i++)
			used[i] += owner_usage[o].part[i];
	}
	for (int i = 0; i < RESOURCES; i++)
		max_used = used[i] > max_used ? used[i] : max_used;
	for (int i = 0; i < RESOURCES; i++) {
		avail[i] = max_used;
		for (uint32_t o = 0; o < r->d->owners; o++)
			avail[i] -= owner_usage[o].waiting
					    ? 0
					    : owner_usage[o].part[i];
	}
	while (progressive_fill(owner_usage, r->d->owners, avail))
		;
}

/* Adds a step to the attained and fair shares of owners with waiting work. */
static void account_shares(struct run *r)
{
	struct owner_usage owner_usage[OWNERS_MAX];

	/* Skip the fill phase: a third of the run, at most 20 minutes. */
	if (r->now_ms < 1200000 && r->now_ms < r->d->run_s * 333)
		return;
	fair_shares(r, owner_usage);
	for (uint32_t o = 0; o < r->d->owners; o++) {
		if (!owner_usage[o].waiting)
			continue;
		r->attained[o] += owner_usage[o].share;
		r->fair[o] += owner_usage[o].fair;
	}
}

/* Starts the services, spread over the workers. */
static void start_services(struct run *r)
{
	for (uint32_t i = 0; i < r->d->services; i++) {
		struct queue_job job = {
			.owner = i % r->d->owners,
			.entry = i % r->d->owners * ENTRIES_OF_OWNER + 1,
			.tasks = 1,
		};
		struct res need = reserved_size(r, &r->entries[job.entry]);
		uint32_t j;
		int32_t w;

		if (!place(r, 1, &need, &w))
			continue;
		share_charge_running(r->share, job.owner, &need);
		j = alloc_job(r, &job);
		r->jobs[j].service = true;
		add_task(r, j, job.entry, (uint32_t)w, &need);
		r->tasks[r->task_count - 1].left_ms = INFINITY;
	}
}

/* Prepares a run with @seed. */
static void run_init(struct run *r, const struct deployment *d,
		     const struct method *m, uint64_t seed, uint32_t zone)
{
	static const struct queue_limits limits = {
		.reserve_after_ms = 5000,
		.reserve_ms = 60000,
		.reserve_max_ms = 600000,
	};

	*r = (struct run){ .d = d, .m = m, .rng = seed, .fault_rng = seed };
	make_workers(r);
	make_entries(r);
	place_init(&r->policy, m->kind, seed);
	if (m->kind == PLACE_BEST_FIT)
		r->index = check_alloc(place_index_new(r->workers, d->workers));
	r->share = check_alloc(share_new());
	r->queue = check_alloc(queue_new(r->share, &limits));
	share_set_total(r->share, &r->total);
	for (uint32_t o = 0; o < d->owners; o++) {
		char name[24];

		snprintf(name, sizeof(name), "owner-%u", o);
		share_owner(r->share, name);
	}
	/* All zones have the same entries; arrivals and faults differ. */
	r->rng += 7 * zone;
	r->fault_rng += 7 * zone;
	start_services(r);
}

/* Frees the allocations of run_init() and of the run. */
static void run_free(struct run *r)
{
	queue_free(r->queue);
	share_free(r->share);
	place_index_free(r->index);
	free(r->workers);
	free(r->return_ms);
	free(r->load);
	free(r->victims);
	free(r->entries);
	free(r->tasks);
	free(r->jobs);
}

/* Runs one zone and adds the results to @sum. */
static void run_zone(struct run *r, struct totals *sum)
{
	const struct deployment *d = r->d;
	double parts = (double)d->seeds * d->zones;

	for (; r->now_ms < d->run_s * UINT64_C(1000); r->now_ms += STEP_MS) {
		add_arrivals(r);
		fail_workers(r);
		cancel_wave(r);
		remove_ended(r);
		schedule(r);
		add_load(r);
		kill_out_of_memory(r);
		progress(r);
		account_shares(r);
	}
	sum->work += r->totals.work / (d->run_s * 1000.0) / parts;
	sum->overload +=
		r->totals.overload / (d->run_s * 1000.0 * d->workers) / parts;
	sum->over_limit += r->totals.over_limit;
	sum->large += r->totals.large;
	sum->oom_killed += r->totals.oom_killed;
	sum->started += r->totals.started;
}

/* Runs all zones of a deployment with one method, and adds to @sum. */
static void run(const struct deployment *d, const struct method *m, bool pile,
		uint64_t seed, struct totals *sum)
{
	double attained[OWNERS_MAX] = { 0 };
	double fair[OWNERS_MAX] = { 0 };

	for (uint32_t zone = 0; zone < d->zones; zone++) {
		struct run r;

		run_init(&r, d, m, seed, zone);
		r.pile = pile;
		r.attained = attained;
		r.fair = fair;
		run_zone(&r, sum);
		run_free(&r);
	}
	for (uint32_t o = 0; o < d->owners; o++) {
		if (fair[o] > 0 && attained[o] / fair[o] < sum->fairness)
			sum->fairness = attained[o] / fair[o];
	}
}

/* Prints a result of @d. */
static void out_result(const struct deployment *d, bool pile, const char *name,
		       double value, const char *unit, double target,
		       double baseline)
{
	char full[128];

	snprintf(full, sizeof(full), "packing.%s.%s.%s", d->name,
		 pile ? "pile" : "mix", name);
	out(full, value, unit, target, baseline);
}

/* Prints the gain of the product over one baseline. */
static void out_gain(const struct deployment *d, bool pile, const char *name,
		     const struct totals *product,
		     const struct totals *baseline)
{
	out_result(d, pile, name, product->work / baseline->work, "ratio", 1.1,
		   baseline->work);
}

/* Prints the results of the product, with first fit as the baseline. */
static void out_product(const struct deployment *d, bool pile,
			const struct totals *product,
			const struct totals *first)
{
	out_result(d, pile, "lowest_fair_share", product->fairness, "ratio",
		   0.9, first->fairness);
	out_result(d, pile, "beyond_capacity", (double)product->over_limit,
		   "placements", 0, (double)first->over_limit);
	out_result(d, pile, "overloaded_time", product->overload, "fraction",
		   NAN, first->overload);
	out_result(d, pile, "jobs_out_of_memory", (double)product->oom_killed,
		   "jobs", NAN, (double)first->oom_killed);
	out_result(d, pile, "large_jobs_done", (double)product->large, "jobs",
		   NAN, (double)first->large);
	out_result(d, pile, "jobs_started", (double)product->started, "jobs",
		   NAN, (double)first->started);
}

/* Measures one deployment with all methods. */
static void measure(const struct deployment *d, bool pile)
{
	struct totals t[METHODS];

	for (int m = 0; m < METHODS; m++) {
		t[m] = (struct totals){ .fairness = INFINITY };
		if (pile && (m == SAME_FIRST || m == SAME_RANDOM))
			continue;
		for (uint32_t s = 0; s < d->seeds; s++)
			run(d, &methods[m], pile, 1000 + s, &t[m]);
		out_result(d, pile, methods[m].name, t[m].work, "work/capacity",
			   NAN, NAN);
	}
	out_gain(d, pile, "gain_over_first_fit", &t[PRODUCT], &t[FIRST]);
	out_gain(d, pile, "gain_over_random", &t[PRODUCT], &t[RANDOM]);
	out_product(d, pile, &t[PRODUCT], &t[FIRST]);
	if (pile)
		return;
	out_gain(d, pile, "placement_only_gain_over_first_fit", &t[PRODUCT],
		 &t[SAME_FIRST]);
	out_gain(d, pile, "placement_only_gain_over_random", &t[PRODUCT],
		 &t[SAME_RANDOM]);
}

int main(void)
{
	for (size_t i = 0; i < sizeof(deployments) / sizeof(*deployments);
	     i++) {
		measure(&deployments[i], false);
		measure(&deployments[i], true);
	}
	return 0;
}
