#include "place.h"

#include <stdlib.h>

/* Returns the next number of the xorshift64* generator in @policy. */
static uint64_t next_random(struct place_policy *policy)
{
	uint64_t x = policy->rng;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	policy->rng = x;
	return x * UINT64_C(2685821657736338717);
}

/* Returns the free capacity of @w, 0 in a resource that is overcommitted. */
struct res place_free(const struct place_worker *w)
{
	struct res avail = w->capacity;

	res_sub(&avail, &w->used);
	return avail;
}

/*
 * Returns whether @w is usable, not fenced for another reservation, and has
 * room for one task of @need.
 */
bool place_fits(const struct place_policy *policy, const struct place_worker *w,
		const struct res *need)
{
	return w->usable &&
	       (!w->fenced || w->fenced == policy->allowed_fence ||
		policy->allowed_fence == PLACE_ANY_FENCE) &&
	       (uint64_t)w->used.cpu_milli + need->cpu_milli <=
		       w->capacity.cpu_milli &&
	       (uint64_t)w->used.mem_mb + need->mem_mb <= w->capacity.mem_mb &&
	       (uint64_t)w->used.accel + need->accel <= w->capacity.accel;
}

/* Returns the number of tasks of the gang in the rack of @w. */
static uint32_t load_of(const struct place_worker *w, const uint32_t *rack_load,
			uint32_t rack_count)
{
	return rack_load && rack_count ? rack_load[w->rack % rack_count] : 0;
}

/* Returns the maximum capacity over all workers, for each resource. */
struct res place_largest(const struct place_worker *workers, uint32_t count)
{
	struct res max = { 0 };

	for (uint32_t i = 0; i < count; i++) {
		const struct res *c = &workers[i].capacity;

		if (c->cpu_milli > max.cpu_milli)
			max.cpu_milli = c->cpu_milli;
		if (c->mem_mb > max.mem_mb)
			max.mem_mb = c->mem_mb;
		if (c->accel > max.accel)
			max.accel = c->accel;
	}
	return max;
}

/*
 * Returns the dominant remaining resource of @w after a placement of @need: the
 * maximum over the resources of the remaining fraction of @largest. Lower is
 * better. Because fractions are relative to place_largest(), a gap counts the
 * same on every worker, and free accelerators raise the score for tasks that
 * need none.
 */
double place_score(const struct place_worker *w, const struct res *need,
		   const struct res *largest)
{
	struct res remaining = place_free(w);

	res_sub(&remaining, need);
	return res_dominant(&remaining, largest);
}

/*
 * Dominant remaining resource fit: the worker with the lowest place_score() in
 * the racks with the fewest tasks of the gang.
 */
static int32_t pick_best(struct place_policy *policy,
			 const struct place_worker *workers, uint32_t count,
			 const struct res *need, const uint32_t *rack_load,
			 uint32_t rack_count)
{
	struct res largest = place_largest(workers, count);
	int32_t best = -1;
	uint32_t best_load = 0;
	double best_score = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct place_worker *w = &workers[i];
		uint32_t load;
		double score;

		if (!place_fits(policy, w, need))
			continue;
		load = load_of(w, rack_load, rack_count);
		if (best >= 0 && load > best_load)
			continue;
		score = place_score(w, need, &largest);
		if (best >= 0 && load == best_load && score >= best_score)
			continue;
		best = (int32_t)i;
		best_load = load;
		best_score = score;
	}
	return best;
}

/*
 * Returns the first worker from index @start on, cyclically, among those in the
 * racks with the fewest tasks of the gang, or -1.
 */
static int32_t first_from(struct place_policy *policy,
			  const struct place_worker *workers, uint32_t count,
			  uint32_t start, const struct res *need,
			  const uint32_t *rack_load, uint32_t rack_count)
{
	int32_t best = -1;
	uint32_t best_load = 0;

	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (start + n) % count;
		uint32_t load;

		if (!place_fits(policy, &workers[i], need))
			continue;
		load = load_of(&workers[i], rack_load, rack_count);
		if (best >= 0 && load >= best_load)
			continue;
		best = (int32_t)i;
		best_load = load;
		if (!load)
			break;
	}
	return best;
}

/* Baseline: the first worker that fits. */
static int32_t pick_first(struct place_policy *policy,
			  const struct place_worker *workers, uint32_t count,
			  const struct res *need, const uint32_t *rack_load,
			  uint32_t rack_count)
{
	return first_from(policy, workers, count, 0, need, rack_load,
			  rack_count);
}

/* Baseline: a random worker among those that fit (reservoir sampling). */
static int32_t pick_random(struct place_policy *policy,
			   const struct place_worker *workers, uint32_t count,
			   const struct res *need, const uint32_t *rack_load,
			   uint32_t rack_count)
{
	int32_t best = -1;
	uint32_t best_load = 0;
	uint32_t seen = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t load;

		if (!place_fits(policy, &workers[i], need))
			continue;
		load = load_of(&workers[i], rack_load, rack_count);
		if (seen && load > best_load)
			continue;
		if (load < best_load)
			seen = 0;
		best_load = load;
		seen++;
		if (next_random(policy) % seen == 0)
			best = (int32_t)i;
	}
	return best;
}

/* Baseline: the first worker that fits after the last one chosen. */
static int32_t pick_round_robin(struct place_policy *policy,
				const struct place_worker *workers,
				uint32_t count, const struct res *need,
				const uint32_t *rack_load, uint32_t rack_count)
{
	int32_t i = first_from(policy, workers, count, policy->next % count,
			       need, rack_load, rack_count);

	if (i >= 0)
		policy->next = (uint32_t)i + 1;
	return i;
}

static const struct place_ops policy_ops[PLACE_KIND_COUNT] = {
	[PLACE_BEST_FIT] = { .name = "best-fit", .pick = pick_best },
	[PLACE_FIRST_FIT] = { .name = "first-fit", .pick = pick_first },
	[PLACE_RANDOM] = { .name = "random", .pick = pick_random },
	[PLACE_ROUND_ROBIN] = { .name = "round-robin",
				.pick = pick_round_robin },
};

/* Initializes @policy; @seed is used by PLACE_RANDOM only. */
void place_init(struct place_policy *policy, enum place_kind kind,
		uint64_t seed)
{
	if ((unsigned int)kind >= PLACE_KIND_COUNT)
		kind = PLACE_BEST_FIT;
	*policy = (struct place_policy){
		.ops = &policy_ops[kind],
		/* xorshift64* yields only zeros from a state of 0. */
		.rng = seed ? seed : UINT64_C(0x9e3779b97f4a7c15),
	};
}

/*
 * Returns the index of the worker for one task of @need, or -1 when none has
 * room. Does not reserve the capacity.
 */
int32_t place_pick(struct place_policy *policy,
		   const struct place_worker *workers, uint32_t count,
		   const struct res *need)
{
	if (!count)
		return -1;
	return policy->ops->pick(policy, workers, count, need, NULL, 0);
}

/* Returns the highest rack number + 1, at most @count. */
static uint32_t count_racks(const struct place_worker *workers, uint32_t count)
{
	uint32_t max = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (workers[i].rack > max)
			max = workers[i].rack;
	}
	return max < count ? max + 1 : count;
}

/*
 * Reserves capacity for @tasks tasks of @need each, spread over the racks, and
 * stores their workers in out[0 .. tasks - 1]. Returns false, with nothing
 * reserved, when not all of them fit now or when out of memory. Racks should be
 * numbered from 0: numbers from @count on share the load counter of a lower
 * one.
 */
bool place_gang(struct place_policy *policy, struct place_worker *workers,
		uint32_t count, const struct res *need, uint32_t tasks,
		int32_t *out)
{
	uint32_t rack_count = count ? count_racks(workers, count) : 0;
	uint32_t *rack_load = NULL;
	uint32_t n = 0;

	if (!rack_count)
		return false;
	rack_load = calloc(rack_count, sizeof(*rack_load));
	if (!rack_load)
		return false;
	for (; n < tasks; n++) {
		out[n] = policy->ops->pick(policy, workers, count, need,
					   rack_load, rack_count);
		if (out[n] < 0)
			break;
		place_reserve(&workers[out[n]], need);
		rack_load[workers[out[n]].rack % rack_count]++;
	}
	free(rack_load);
	if (n == tasks)
		return true;
	while (n--)
		place_release(&workers[out[n]], need);
	return false;
}

/* Returns whether any worker, if it were empty, has room for @need. */
bool place_ever_fits(const struct place_worker *workers, uint32_t count,
		     const struct res *need)
{
	for (uint32_t i = 0; i < count; i++) {
		if (res_fits(need, &workers[i].capacity))
			return true;
	}
	return false;
}

/* Adds one task of @need to the use of @worker. */
void place_reserve(struct place_worker *worker, const struct res *need)
{
	res_add(&worker->used, need);
	worker->tasks++;
}

/* Subtracts one task of @need from the use of @worker. */
void place_release(struct place_worker *worker, const struct res *need)
{
	res_sub(&worker->used, need);
	if (worker->tasks)
		worker->tasks--;
}

/* Returns the number of tasks of @need that fit into @capacity. */
static uint32_t task_slots(const struct res *capacity, const struct res *need)
{
	uint32_t n = UINT32_MAX;

	if (need->cpu_milli && capacity->cpu_milli / need->cpu_milli < n)
		n = capacity->cpu_milli / need->cpu_milli;
	if (need->mem_mb && capacity->mem_mb / need->mem_mb < n)
		n = capacity->mem_mb / need->mem_mb;
	if (need->accel && capacity->accel / need->accel < n)
		n = capacity->accel / need->accel;
	return n;
}

/*
 * Returns the least utilized worker among those usable, not fenced and large
 * enough for @need when empty, or -1.
 */
static int32_t least_used(const struct place_worker *workers, uint32_t count,
			  const struct res *need)
{
	int32_t best = -1;
	double best_use = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct place_worker *w = &workers[i];
		double use;

		if (!w->usable || w->fenced || !res_fits(need, &w->capacity))
			continue;
		use = res_dominant(&w->used, &w->capacity);
		if (best >= 0 && use >= best_use)
			continue;
		best = (int32_t)i;
		best_use = use;
	}
	return best;
}

/* Removes one fence from all workers. */
static void remove_fence(struct place_worker *workers, uint32_t count,
			 uint8_t fence)
{
	for (uint32_t i = 0; i < count; i++) {
		if (workers[i].fenced == fence)
			workers[i].fenced = 0;
	}
}

/*
 * Fences enough workers that @tasks tasks of @need fit on them once their
 * present tasks have ended. Workers that already have @fence (1 to 254) count.
 * Returns false, with @fence removed from all workers, when that would take
 * more than @max_workers workers or more than are usable without another fence.
 */
bool place_fence_for(struct place_worker *workers, uint32_t count,
		     const struct res *need, uint32_t tasks, uint8_t fence,
		     uint32_t max_workers)
{
	uint64_t slots = 0;
	uint32_t fenced = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (!workers[i].usable || workers[i].fenced != fence)
			continue;
		fenced++;
		slots += task_slots(&workers[i].capacity, need);
	}
	while (slots < tasks) {
		int32_t i = fenced++ < max_workers
				    ? least_used(workers, count, need)
				    : -1;

		if (i < 0) {
			remove_fence(workers, count, fence);
			return false;
		}
		workers[i].fenced = fence;
		slots += task_slots(&workers[i].capacity, need);
	}
	return true;
}

/* Calls place_fence_for() with fence 1 and no limit on workers. */
bool place_fence(struct place_worker *workers, uint32_t count,
		 const struct res *need, uint32_t tasks)
{
	return place_fence_for(workers, count, need, tasks, 1, count);
}

/* Removes all fences. */
void place_unfence(struct place_worker *workers, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		workers[i].fenced = 0;
}
