/*
 * Cost of a placement decision, and memory per worker, task, owner and job, at
 * the size of design 1.7. A decision selects the next job, checks the limit of
 * its owner, selects a worker and reserves the job's size there.
 */
#include "est.h"
#include "out.h"
#include "place.h"
#include "queue.h"
#include "share.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WORKERS 2800
#define RUNNING 12000
#define OWNERS 170
#define ENTRIES 4	/* of each owner */
#define DECISIONS 60000 /* measured for each size and method */

struct running {
	uint32_t worker;
	uint32_t owner;
	struct res need;
};

struct cell {
	uint32_t count;
	struct place_worker *workers;
	struct place_index *index;
	struct place_policy policy;
	struct share *share;
	struct queue *queue;
	struct running *running;
	uint32_t running_count;
	uint64_t rng;
	uint64_t now_ms;
};

static const struct queue_limits limits = { 5000, 60000, 600000 };

/* Exits if an allocation failed; returns @p otherwise. */
static void *check_alloc(void *p)
{
	if (!p) {
		fputs("policy_bench: out of memory\n", stderr);
		exit(1);
	}
	return p;
}

/* Returns the time in nanoseconds. */
static uint64_t now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000000000 + (uint64_t)t.tv_nsec;
}

/* Returns workers of three kinds, 8 to a rack. */
static struct place_worker *make_workers(uint32_t count)
{
	struct place_worker *w = check_alloc(calloc(count, sizeof(*w)));

	for (uint32_t i = 0; i < count; i++) {
		w[i].capacity = i % 4 == 1 ? (struct res){ 32000, 65536, 0 }
					   : (struct res){ 64000, 262144, 0 };
		if (i % 14 == 0)
			w[i].capacity.accel = 8;
		w[i].rack = i / 8;
		w[i].usable = true;
	}
	return w;
}

/* Adds @count owners to @s. */
static void add_owners(struct share *s, uint32_t count)
{
	for (uint32_t o = 0; o < count; o++) {
		char name[24];

		snprintf(name, sizeof(name), "owner-%u", o);
		if (share_owner(s, name) == SHARE_NONE)
			check_alloc(NULL);
	}
}

/* Returns the size of a job of @entry; about 4.3 tasks fill a worker. */
static struct res task_size(uint32_t entry)
{
	return (struct res){ 2000 + entry % 7 * 3000, 4096 + entry % 5 * 12288,
			     entry % 16 == 0 };
}

/* Queues a job of a random entry. */
static void add_job(struct cell *c)
{
	uint32_t owner = rnd_range(&c->rng, 0, OWNERS - 1);
	struct queue_job job = {
		.owner = owner,
		.entry = owner * ENTRIES + rnd_range(&c->rng, 0, ENTRIES - 1),
		.tasks = 1,
		.since_ms = c->now_ms,
	};

	if (!queue_add(c->queue, &job))
		check_alloc(NULL);
}

/* Selects a worker and reserves @need; returns -1 if none has room. */
static int32_t place_task(struct cell *c, const struct res *need)
{
	int32_t w =
		c->index ? place_index_pick(c->index, &c->policy, need)
			 : place_pick(&c->policy, c->workers, c->count, need);

	if (w < 0)
		return -1;
	place_reserve(&c->workers[w], need);
	if (c->index)
		place_index_update(c->index, (uint32_t)w);
	return w;
}

/* Makes one decision; returns false if no job was started. */
static bool decide(struct cell *c)
{
	queue_ref ref = queue_next(c->queue);
	const struct queue_job *job = queue_get(c->queue, ref);
	struct res need;
	uint32_t owner;
	int32_t w;

	if (!job)
		return false;
	need = task_size(job->entry);
	owner = job->owner;
	if (!share_charge(c->share, owner, &need))
		return false;
	w = place_task(c, &need);
	if (w < 0) {
		share_refund(c->share, owner, &need);
		queue_blocked(c->queue, ref, QUEUE_NO_ROOM);
		return false;
	}
	queue_remove(c->queue, ref);
	c->running[c->running_count++] =
		(struct running){ (uint32_t)w, owner, need };
	return true;
}

/* Ends a random running task. */
static void end_task(struct cell *c)
{
	uint32_t i = rnd_range(&c->rng, 0, c->running_count - 1);
	struct running *t = &c->running[i];

	place_release(&c->workers[t->worker], &t->need);
	share_refund(c->share, t->owner, &t->need);
	if (c->index)
		place_index_update(c->index, t->worker);
	*t = c->running[--c->running_count];
}

/*
 * Every 100 decisions, switches a random worker out of a fixed eighth of them
 * between usable and failed.
 */
static void toggle_worker(struct cell *c, uint32_t n)
{
	uint32_t i = rnd_range(&c->rng, 0, (c->count - 1) / 8) * 8;

	if (n % 100)
		return;
	c->workers[i].usable = !c->workers[i].usable;
	if (c->index)
		place_index_update(c->index, i);
}

/* Fills a cell of @workers workers with @running tasks. */
static void cell_init(struct cell *c, uint32_t workers, uint32_t running,
		      enum place_kind kind, bool index)
{
	struct res total = { 0 };

	*c = (struct cell){ .count = workers, .rng = 42 };
	c->workers = make_workers(workers);
	for (uint32_t i = 0; i < workers; i++)
		res_add(&total, &c->workers[i].capacity);
	place_init(&c->policy, kind, 42);
	if (index)
		c->index = check_alloc(place_index_new(c->workers, workers));
	c->share = check_alloc(share_new());
	add_owners(c->share, OWNERS);
	share_set_total(c->share, &total);
	c->queue = check_alloc(queue_new(c->share, &limits));
	c->running = check_alloc(calloc(running + 1, sizeof(*c->running)));
	for (uint32_t i = 0; i < running + OWNERS * ENTRIES; i++)
		add_job(c);
	queue_begin(c->queue, 0);
	while (c->running_count < running && queue_next(c->queue))
		decide(c);
}

/* Frees the content of @c. */
static void cell_free(struct cell *c)
{
	queue_free(c->queue);
	share_free(c->share);
	place_index_free(c->index);
	free(c->workers);
	free(c->running);
}

/* Comparison function for qsort(). */
static int cmp_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Returns a percentile of sorted nanoseconds, in microseconds. */
static double quantile_us(const uint64_t *ns, uint32_t count, uint32_t percent)
{
	uint64_t at = (uint64_t)count * percent / 100;

	return count ? (double)ns[at] / 1e3 : 0;
}

struct cost {
	double median_us;
	double p99_us;
	double per_s;	 /* with the end of a task and a new job for each */
	double placed;	 /* fraction of the decisions that start a job */
	double running;	 /* tasks at the end */
	double place_us; /* mean of the worker selection alone */
};

/* Measures the selection of a worker alone, without its reservation. */
static double measure_placement(struct cell *c)
{
	uint64_t start = now_ns();

	for (uint32_t i = 0; i < DECISIONS; i++) {
		struct res need = task_size(i);

		if (c->index)
			place_index_pick(c->index, &c->policy, &need);
		else
			place_pick(&c->policy, c->workers, c->count, &need);
	}
	return (double)(now_ns() - start) / 1e3 / DECISIONS;
}

/* Measures decisions in a steady state: one task ends for each start. */
static struct cost measure(uint32_t workers, uint32_t running,
			   enum place_kind kind, bool index)
{
	uint64_t *ns = check_alloc(calloc(DECISIONS, sizeof(*ns)));
	struct cost cost;
	struct cell c;
	uint32_t placed = 0;
	uint64_t start;

	cell_init(&c, workers, running, kind, index);
	cost.place_us = measure_placement(&c);
	start = now_ns();
	for (uint32_t i = 0; i < DECISIONS; i++) {
		uint64_t before;

		if (c.running_count >= running)
			end_task(&c);
		add_job(&c);
		toggle_worker(&c, i);
		if (i % 100 == 0)
			queue_begin(c.queue, c.now_ms += 10);
		before = now_ns();
		if (decide(&c))
			ns[placed++] = now_ns() - before;
	}
	/* The time includes decisions that start no job, the count does not. */
	cost.per_s = placed * 1e9 / (double)(now_ns() - start);
	qsort(ns, placed, sizeof(*ns), cmp_u64);
	cost.median_us = quantile_us(ns, placed, 50);
	cost.p99_us = quantile_us(ns, placed, 99);
	cost.placed = (double)placed / DECISIONS;
	cost.running = c.running_count;
	cell_free(&c);
	free(ns);
	return cost;
}

/* Prints the cost of decisions and its growth with the number of workers. */
static void bench_decisions(void)
{
	uint32_t few = RUNNING * 50 / WORKERS;
	struct cost large = measure(WORKERS, RUNNING, PLACE_BEST_FIT, true);
	struct cost small = measure(50, few, PLACE_BEST_FIT, true);
	struct cost scan = measure(WORKERS, RUNNING, PLACE_BEST_FIT, false);
	struct cost scan_small = measure(50, few, PLACE_BEST_FIT, false);
	struct cost zone = measure(175, 750, PLACE_BEST_FIT, false);
	struct cost first = measure(WORKERS, RUNNING, PLACE_FIRST_FIT, false);
	struct cost random = measure(WORKERS, RUNNING, PLACE_RANDOM, false);
	struct cost robin = measure(WORKERS, RUNNING, PLACE_ROUND_ROBIN, false);

	out("decision.median", large.median_us, "us", NAN, first.median_us);
	out("decision.p99", large.p99_us, "us", 1000, first.p99_us);
	out("decision.rate", large.per_s, "1/s", 10000, first.per_s);
	out("decision.placed", large.placed, "fraction", NAN, first.placed);
	out("decision.running", large.running, "tasks", NAN, first.running);
	/* A linear cost would grow 56 times; the target is a tenth of that. */
	out("decision.growth_50_to_2800", large.median_us / small.median_us,
	    "ratio", 5.6, scan.median_us / scan_small.median_us);
	out("choice.growth_50_to_2800", large.place_us / small.place_us,
	    "ratio", 5.6, scan.place_us / scan_small.place_us);
	out("choice.index_2800", large.place_us, "us", NAN, scan.place_us);
	out("choice.index_50", small.place_us, "us", NAN, scan_small.place_us);
	out("choice.scan_175", zone.place_us, "us", NAN, NAN);
	out("decision.zone_175.median", zone.median_us, "us", NAN, NAN);
	out("decision.zone_175.p99", zone.p99_us, "us", 1000, NAN);
	out("choice.first_fit_2800", first.place_us, "us", NAN, NAN);
	out("choice.random_2800", random.place_us, "us", NAN, NAN);
	out("choice.round_robin_2800", robin.place_us, "us", NAN, NAN);
}

/*
 * Prints the time of a pass over waiting jobs in a full zone, where none of
 * them fits, for growing numbers of owners.
 */
static void bench_passes(void)
{
	static const uint32_t owners[] = { 43, 85, 170, 340 };
	struct cell c;

	cell_init(&c, 175, 750, PLACE_BEST_FIT, false);
	for (uint32_t i = 0; i < c.count; i++)
		c.workers[i].used = c.workers[i].capacity;
	for (int n = 0; n < 4; n++) {
		char name[64];
		uint64_t start;

		queue_free(c.queue);
		share_free(c.share);
		c.share = check_alloc(share_new());
		c.queue = check_alloc(queue_new(c.share, &limits));
		add_owners(c.share, owners[n]);
		for (uint32_t i = 0; i < owners[n] * ENTRIES; i++) {
			struct queue_job job = { .owner = i / ENTRIES,
						 .entry = i,
						 .tasks = 1 };

			queue_add(c.queue, &job);
		}
		start = now_ns();
		for (int i = 0; i < 100; i++) {
			queue_begin(c.queue, c.now_ms += 10);
			while (queue_next(c.queue))
				decide(&c);
		}
		snprintf(name, sizeof(name), "pass.zone_175.owners_%u",
			 owners[n]);
		out(name, (double)(now_ns() - start) / 1e5, "us", NAN, NAN);
	}
	cell_free(&c);
}

/* Returns the bytes of heap in use. */
static double heap_in_use(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

/* Returns the least-squares slope of @y over @x. */
static double slope(const double *x, const double *y, int n)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0;

	for (int i = 0; i < n; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	return (n * sxy - sx * sy) / (n * sxx - sx * sx);
}

/* Returns the heap used by @workers workers and their index. */
static double heap_workers(uint32_t workers)
{
	double before = heap_in_use();
	struct place_worker *w = make_workers(workers);
	struct place_index *ix = check_alloc(place_index_new(w, workers));
	double used = heap_in_use() - before;

	place_index_free(ix);
	free(w);
	return used;
}

/* Returns the heap used by @owners owners in shares and queue. */
static double heap_owners(uint32_t owners)
{
	double before = heap_in_use();
	struct share *s = check_alloc(share_new());
	struct queue *q = check_alloc(queue_new(s, &limits));
	struct queue_job job = { .tasks = 1 };
	double used;

	add_owners(s, owners);
	for (uint32_t o = 0; o < owners; o++) {
		job.owner = o;
		queue_add(q, &job);
	}
	used = heap_in_use() - before;
	queue_free(q);
	share_free(s);
	return used;
}

/* Returns the heap used by @jobs waiting jobs of one owner. */
static double heap_jobs(uint32_t jobs)
{
	double before = heap_in_use();
	struct share *s = check_alloc(share_new());
	struct queue *q = check_alloc(queue_new(s, &limits));
	struct queue_job job = { .tasks = 1 };
	double used;

	add_owners(s, 1);
	for (uint32_t i = 0; i < jobs; i++)
		queue_add(q, &job);
	used = heap_in_use() - before;
	queue_free(q);
	share_free(s);
	return used;
}

/* Returns the heap used by @tasks running tasks in the policy modules. */
static double heap_tasks(uint32_t tasks)
{
	struct place_worker *w = make_workers(tasks);
	struct share *s = check_alloc(share_new());
	struct res need = { 1000, 1024, 0 };
	double before, used;

	add_owners(s, 1);
	before = heap_in_use();
	for (uint32_t i = 0; i < tasks; i++) {
		place_reserve(&w[i], &need);
		share_charge(s, 0, &need);
	}
	used = heap_in_use() - before;
	share_free(s);
	free(w);
	return used;
}

/*
 * Prints the heap at four sizes and the bytes of each further item. The sizes
 * are powers of two, at which arrays that grow by doubling are full.
 */
static void bench_memory_of(const char *name, double (*measure_heap)(uint32_t),
			    const uint32_t sizes[4])
{
	double x[4], y[4];
	char full[64];

	for (int i = 0; i < 4; i++) {
		x[i] = sizes[i];
		y[i] = measure_heap(sizes[i]);
		snprintf(full, sizeof(full), "memory.%s.%u", name, sizes[i]);
		out(full, y[i], "bytes", NAN, NAN);
	}
	snprintf(full, sizeof(full), "memory.per_%s", name);
	out(full, slope(x, y, 4), "bytes", NAN, NAN);
}

/* Prints the memory of the policy modules. */
static void bench_memory(void)
{
	static const uint32_t many[] = { 512, 2048, 8192, 32768 };
	static const uint32_t few[] = { 64, 128, 256, 512 };

	bench_memory_of("worker", heap_workers, many);
	bench_memory_of("running_task", heap_tasks, many);
	bench_memory_of("owner", heap_owners, few);
	bench_memory_of("queued_job", heap_jobs, many);
	out("memory.per_entry_estimate", sizeof(struct est), "bytes", NAN, NAN);
}

int main(void)
{
	bench_decisions();
	bench_passes();
	bench_memory();
	return 0;
}
