/*
 * Packing of a backlog with wrong declared sizes, under failing workers and
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

struct kind_of_job {
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
	struct kind_of_job jobs[ENTRIES_OF_OWNER];
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

/* A way to schedule: the placement, and whether sizes are corrected. */
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
	bool ended; /* failed or cancelled: its tasks are to be removed */
	bool requeue;
	bool service;
};

struct totals {
	double work;	  /* part of the cell's capacity, times ms */
	double overload;  /* worker-ms with more real use than capacity */
	double fairness;  /* lowest attained over fair share of an owner */
	uint64_t beyond;  /* placements beyond capacity or limit */
	uint64_t started; /* jobs */
	uint64_t large;	  /* exclusive jobs done */
	uint64_t killed;  /* jobs, out of memory */
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
	uint64_t *back_ms; /* when a failed worker returns */
	struct res *load;  /* real use of each worker */
	uint32_t *victims; /* task to end on each worker */
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

/* Ends the benchmark when memory is short. */
static void *need_memory(void *p)
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
static struct res at_most(struct res a, const struct res *max)
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
	static const uint32_t wrong[] = { 60, 80, 100, 150, 200, 300 };
	uint32_t count = r->d->owners * ENTRIES_OF_OWNER;
	struct res max = place_largest(r->workers, r->d->workers);

	r->entries = need_memory(calloc(count, sizeof(*r->entries)));
	for (uint32_t i = 0; i < count; i++) {
		const struct kind_of_job *k = &r->d->jobs[i % ENTRIES_OF_OWNER];
		struct entry *e = &r->entries[i];
		uint32_t percent = wrong[rnd(&r->rng) % 6];

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
		e->declared = at_most(e->declared, &max);
		e->tasks = k->tasks;
		e->run_ms = 1000 * k->run_s;
		est_init(&e->est, &e->declared,
			 scale(e->run_ms, wrong[rnd(&r->rng) % 6]));
	}
}

/* Makes the workers, 8 to a rack. */
static void make_workers(struct run *r)
{
	uint32_t count = r->d->workers;

	r->workers = need_memory(calloc(count, sizeof(*r->workers)));
	r->back_ms = need_memory(calloc(count, sizeof(*r->back_ms)));
	r->load = need_memory(calloc(count, sizeof(*r->load)));
	r->victims = need_memory(calloc(count, sizeof(*r->victims)));
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

/* Tells the index of a change of worker @i. */
static void changed(struct run *r, uint32_t i)
{
	if (r->index)
		place_index_update(r->index, i);
}

/* Returns the size to reserve for a task of @e. */
static struct res size_of(const struct run *r, const struct entry *e)
{
	struct res size = e->declared;
	struct res max = r->d->capacity;

	if (!r->m->corrected)
		return size;
	max.accel = size.accel;
	est_size(&e->est, &size);
	return at_most(size, &max);
}

/* Adds a task of @job on @worker; a service has @job UINT32_MAX. */
static void add_task(struct run *r, uint32_t job, uint32_t entry,
		     uint32_t worker, const struct res *need)
{
	const struct entry *e = &r->entries[entry];
	uint32_t jitter = rnd_range(&r->rng, 85, 100);

	if (r->task_count == r->task_size) {
		r->task_size = 2 * r->task_size + 64;
		r->tasks = need_memory(
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
	changed(r, worker);
}

/* Takes task number @i off its worker and its owner. */
static void remove_task(struct run *r, uint32_t i)
{
	struct task *t = &r->tasks[i];
	struct job *job = &r->jobs[t->job];

	place_release(&r->workers[t->worker], &t->need);
	share_refund(r->share, job->owner, &t->need);
	changed(r, t->worker);
	if (!--job->running) {
		job->next_free = r->job_free;
		r->job_free = t->job;
	}
	*t = r->tasks[--r->task_count];
}

/* Puts a job of @owner into the queue. */
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
		need_memory(NULL);
	r->entries[entry].waiting++;
}

/* Returns a free job record. */
static uint32_t take_job(struct run *r, const struct queue_job *from)
{
	uint32_t i = r->job_free;

	if (i == r->job_size) {
		r->job_size = 2 * r->job_size + 64;
		r->jobs = need_memory(
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
 * Keeps jobs waiting; each owner pauses now and then. Either some of each entry
 * wait at all times, or a job of a random entry follows each that starts: then
 * jobs that are hard to place pile up until an owner has no others.
 */
static void arrive(struct run *r)
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

/* Removes the tasks of ended jobs, and queues lost ones again. */
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

/* Makes workers fail for 5 minutes, and returns those that are back. */
static void fail_workers(struct run *r)
{
	uint32_t every = r->d->run_s / r->d->failures * 1000;
	uint32_t victim;

	for (uint32_t i = 0; i < r->d->workers; i++) {
		if (r->workers[i].usable || r->now_ms < r->back_ms[i])
			continue;
		r->workers[i].usable = true;
		changed(r, i);
	}
	if (!r->now_ms || r->now_ms % every)
		return;
	victim = rnd_range(&r->fault_rng, 0, r->d->workers - 1);
	r->workers[victim].usable = false;
	r->back_ms[victim] = r->now_ms + 300000;
	changed(r, victim);
	for (uint32_t i = 0; i < r->task_count; i++) {
		struct job *job = &r->jobs[r->tasks[i].job];

		/* Services wait for the worker to return. */
		if (r->tasks[i].worker != victim || job->service)
			continue;
		job->ended = true;
		job->requeue = true;
	}
}

/* Takes a job that starts or is cancelled out of the queue. */
static void dequeue(struct run *r, queue_ref ref)
{
	r->entries[queue_get(r->queue, ref)->entry].waiting--;
	queue_remove(r->queue, ref);
}

/* Cancels one running job in 20 and, of the waiting ones, one in 4. */
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

/* Takes in a usage report; a task in use beyond its size reserves more. */
static void report(struct run *r, struct task *t)
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
	changed(r, t->worker);
}

/* Adds up the real use of each worker, and the time beyond capacity. */
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
 * Ends the newest job on each worker whose memory is used up, as the kernel of
 * a worker does; unlike processors, memory cannot be given to tasks in turn.
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
		report(r, t);
		r->jobs[t->job].ended = true;
		r->jobs[t->job].requeue = true;
		r->totals.killed++;
	}
}

/* Returns the mean over the resources of the fraction of the cell in @size. */
static double part_of_cell(const struct run *r, const struct res *size)
{
	double sum = (double)size->cpu_milli / r->total.cpu_milli +
		     (double)size->mem_mb / r->total.mem_mb;

	if (!r->total.accel)
		return sum / 2;
	return (sum + (double)size->accel / r->total.accel) / 3;
}

/*
 * Lets tasks run for one step. On a worker with more processors in use than it
 * has, all tasks slow down in proportion.
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
			report(r, t);
		if (t->left_ms > 0) {
			i++;
			continue;
		}
		r->totals.work += t->run_ms * part_of_cell(r, &t->real);
		r->totals.large += t->entry % ENTRIES_OF_OWNER == 0;
		est_observe_run(&r->entries[t->entry].est, t->run_ms);
		remove_task(r, i);
	}
}

/* Keeps workers free for the jobs with reservations, and no others. */
static void fence(struct run *r)
{
	uint32_t count = r->d->workers;

	place_unfence(r->workers, count);
	for (uint32_t i = 0; i < QUEUE_RESERVATIONS; i++) {
		const struct queue_job *job =
			queue_get(r->queue, queue_reservation(r->queue, i));
		struct res need;

		if (!job)
			continue;
		need = size_of(r, &r->entries[job->entry]);
		if (!place_fence_for(r->workers, count, &need, job->tasks,
				     (uint8_t)(i + 1),
				     i ? count / QUEUE_FENCE_PART : count))
			queue_drop(r->queue, i);
	}
}

/* Reserves room for all tasks of a job; returns false without room. */
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

/* Tries to start one job; returns false with the reason in @why. */
static bool start(struct run *r, queue_ref ref, enum queue_reason *why)
{
	struct queue_job job = *queue_get(r->queue, ref);
	struct res need = size_of(r, &r->entries[job.entry]);
	struct res sum = { need.cpu_milli * job.tasks, need.mem_mb * job.tasks,
			   need.accel * job.tasks };
	int32_t out[GANG_MAX] = { 0 };
	uint32_t j;

	*why = QUEUE_LIMIT;
	if (!share_charge(r->share, job.owner, &sum))
		return false;
	*why = QUEUE_NO_ROOM;
	r->policy.allowed_fence = queue_fence(r->queue, ref);
	if (!place(r, job.tasks, &need, out)) {
		share_refund(r->share, job.owner, &sum);
		return false;
	}
	dequeue(r, ref);
	j = take_job(r, &job);
	for (uint32_t t = 0; t < job.tasks; t++) {
		const struct place_worker *w = &r->workers[out[t]];

		if (!res_fits(&w->used, &w->capacity) || !w->usable)
			r->totals.beyond++;
		add_task(r, j, job.entry, (uint32_t)out[t], &need);
	}
	r->totals.started++;
	return true;
}

/* One pass over the waiting jobs. */
static void schedule(struct run *r)
{
	queue_ref ref;

	queue_begin(r->queue, r->now_ms);
	fence(r);
	while ((ref = queue_next(r->queue))) {
		enum queue_reason why;

		if (!start(r, ref, &why))
			queue_blocked(r->queue, ref, why);
	}
}

/* What an owner holds: its fractions of the cell, and the largest of them. */
struct held {
	double part[RESOURCES];
	double share;
	double fair;
	bool waiting;
};

/* Fills @h with what @owner holds. */
static void get_held(const struct run *r, uint32_t owner, struct held *h)
{
	struct res u = share_used(r->share, owner);

	*h = (struct held){
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
 * Raises the share of all owners that are not settled yet from 0, in the mix of
 * resources that each holds, until one resource is used up. Settles those who
 * need that resource at this level; returns false when all are settled.
 */
static bool fill(struct held *held, uint32_t count, double *avail)
{
	double unit[RESOURCES] = { 0 }; /* for a share of 1 of each owner */
	int least = -1;
	double level = 0;

	for (uint32_t o = 0; o < count; o++) {
		for (int i = 0; i < RESOURCES; i++) {
			if (held[o].waiting && held[o].fair < 0)
				unit[i] += held[o].part[i] / held[o].share;
		}
	}
	for (int i = 0; i < RESOURCES; i++) {
		if (unit[i] <= 0 || (least >= 0 && avail[i] / unit[i] >= level))
			continue;
		least = i;
		level = avail[i] / unit[i];
	}
	if (least < 0)
		return false;
	for (uint32_t o = 0; o < count; o++) {
		struct held *h = &held[o];

		if (!h->waiting || h->fair >= 0 || h->part[least] <= 0)
			continue;
		h->fair = level > 0 ? level : 0;
		for (int i = 0; i < RESOURCES; i++)
			avail[i] -= h->part[i] / h->share * h->fair;
	}
	return true;
}

/*
 * Computes the fair share of each owner with waiting work by the progressive
 * filling of Dominant Resource Fairness. Each resource counts as far as the one
 * in use most is in use, because no policy can hand out all of it; what owners
 * without waiting work hold is left to them.
 */
static void fair_shares(const struct run *r, struct held *held)
{
	double used[RESOURCES] = { 0 };
	double avail[RESOURCES];
	double most = 0;

	for (uint32_t o = 0; o < r->d->owners; o++) {
		get_held(r, o, &held[o]);
		for (int i = 0; i < RESOURCES; i++)
			used[i] += held[o].part[i];
	}
	for (int i = 0; i < RESOURCES; i++)
		most = used[i] > most ? used[i] : most;
	for (int i = 0; i < RESOURCES; i++) {
		avail[i] = most;
		for (uint32_t o = 0; o < r->d->owners; o++)
			avail[i] -= held[o].waiting ? 0 : held[o].part[i];
	}
	while (fill(held, r->d->owners, avail))
		;
}

/* Adds one step to the attained and fair shares of owners with waiting work. */
static void account(struct run *r)
{
	struct held held[OWNERS_MAX];

	/* The first 20 minutes or third of the run fill the cell. */
	if (r->now_ms < 1200000 && r->now_ms < r->d->run_s * 333)
		return;
	fair_shares(r, held);
	for (uint32_t o = 0; o < r->d->owners; o++) {
		if (!held[o].waiting)
			continue;
		r->attained[o] += held[o].share;
		r->fair[o] += held[o].fair;
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
		struct res need = size_of(r, &r->entries[job.entry]);
		uint32_t j;
		int32_t w;

		if (!place(r, 1, &need, &w))
			continue;
		share_charge_running(r->share, job.owner, &need);
		j = take_job(r, &job);
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
		r->index = need_memory(place_index_new(r->workers, d->workers));
	r->share = need_memory(share_new());
	r->queue = need_memory(queue_new(r->share, &limits));
	share_set_total(r->share, &r->total);
	for (uint32_t o = 0; o < d->owners; o++) {
		char name[24];

		snprintf(name, sizeof(name), "owner-%u", o);
		share_owner(r->share, name);
	}
	/* Entries are those of the cell; arrivals and faults differ by zone. */
	r->rng += 7 * zone;
	r->fault_rng += 7 * zone;
	start_services(r);
}

/* Frees what run_init() and the run have allocated. */
static void run_free(struct run *r)
{
	queue_free(r->queue);
	share_free(r->share);
	place_index_free(r->index);
	free(r->workers);
	free(r->back_ms);
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
		arrive(r);
		fail_workers(r);
		cancel_wave(r);
		remove_ended(r);
		schedule(r);
		add_load(r);
		kill_out_of_memory(r);
		progress(r);
		account(r);
	}
	sum->work += r->totals.work / (d->run_s * 1000.0) / parts;
	sum->overload +=
		r->totals.overload / (d->run_s * 1000.0 * d->workers) / parts;
	sum->beyond += r->totals.beyond;
	sum->large += r->totals.large;
	sum->killed += r->totals.killed;
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
static void out_of(const struct deployment *d, bool pile, const char *name,
		   double value, const char *unit, double target,
		   double baseline)
{
	char full[128];

	snprintf(full, sizeof(full), "packing.%s.%s.%s", d->name,
		 pile ? "pile" : "mix", name);
	out(full, value, unit, target, baseline);
}

/* Prints the gains of the product over one baseline. */
static void out_gain(const struct deployment *d, bool pile, const char *name,
		     const struct totals *product,
		     const struct totals *baseline)
{
	out_of(d, pile, name, product->work / baseline->work, "ratio", 1.1,
	       baseline->work);
}

/* Prints the results of the product beside those of first fit. */
static void out_product(const struct deployment *d, bool pile,
			const struct totals *product,
			const struct totals *first)
{
	out_of(d, pile, "lowest_fair_share", product->fairness, "ratio", 0.9,
	       first->fairness);
	out_of(d, pile, "beyond_capacity", (double)product->beyond,
	       "placements", 0, (double)first->beyond);
	out_of(d, pile, "overloaded_time", product->overload, "fraction", NAN,
	       first->overload);
	out_of(d, pile, "jobs_out_of_memory", (double)product->killed, "jobs",
	       NAN, (double)first->killed);
	out_of(d, pile, "large_jobs_done", (double)product->large, "jobs", NAN,
	       (double)first->large);
	out_of(d, pile, "jobs_started", (double)product->started, "jobs", NAN,
	       (double)first->started);
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
		out_of(d, pile, methods[m].name, t[m].work, "work/capacity",
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
