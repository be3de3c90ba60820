/*
 * Index over workers for PLACE_BEST_FIT. Workers are kept in buckets by their
 * free accelerators and by the level of their free processors and memory. A
 * lookup scans buckets in the order of the lowest score possible in them, so
 * that its cost depends on the number of buckets scanned rather than on the
 * number of workers.
 */
#include "place.h"

#include <stdlib.h>

#define NIL UINT32_MAX
#define ACCEL_LEVELS 9	 /* free accelerators 0 to 7, and 8 or more */
#define LINEAR_LEVELS 16 /* equal fractions of the largest capacity */
#define FINE_LEVELS 4	 /* halve the lowest fraction; small gaps are common */
#define LEVELS (FINE_LEVELS + LINEAR_LEVELS + 1)
#define BUCKET_COUNT (ACCEL_LEVELS * LEVELS * LEVELS)

/*
 * Maximum number of workers with room that are compared in one bucket. Each is
 * within one linear level of the best, and in an idle cluster one bucket may
 * hold all workers.
 */
#define MAX_COMPARED 16

struct link {
	uint32_t next;
	uint32_t prev;
	uint32_t bucket; /* NIL when the worker is not usable */
};

struct place_index {
	const struct place_worker *workers;
	uint32_t count;
	struct res largest;
	struct link *links;
	/* Bit m of occupied[a][c]: bucket (a, c, m) is not empty. */
	uint32_t occupied[ACCEL_LEVELS][LEVELS];
	uint32_t heads[BUCKET_COUNT];
};

/* State of one lookup. */
struct search {
	const struct place_index *ix;
	const struct place_policy *policy;
	const struct res *need;
	uint32_t cpu, mem; /* lowest levels in which @need may fit */
	int32_t best;
	double best_score;
};

/* Returns the lower bound of @level as a fraction of the largest capacity. */
static double level_floor(uint32_t level)
{
	if (!level)
		return 0;
	if (level <= FINE_LEVELS)
		return 1.0 / (LINEAR_LEVELS << (FINE_LEVELS + 1 - level));
	return (double)(level - FINE_LEVELS) / LINEAR_LEVELS;
}

/* Returns the level of the fraction @value / @largest. */
static uint32_t level_of(uint32_t value, uint32_t largest)
{
	uint64_t step;

	if (!value || !largest)
		return 0;
	step = (uint64_t)value * LINEAR_LEVELS / largest;
	if (step)
		return FINE_LEVELS +
		       (uint32_t)(step < LINEAR_LEVELS ? step : LINEAR_LEVELS);
	for (uint32_t level = FINE_LEVELS; level; level--) {
		uint32_t parts = LINEAR_LEVELS << (FINE_LEVELS + 1 - level);

		if ((uint64_t)value * parts >= largest)
			return level;
	}
	return 0;
}

static uint32_t bucket_index(uint32_t accel, uint32_t cpu, uint32_t mem)
{
	return (accel * LEVELS + cpu) * LEVELS + mem;
}

/* Returns the occupancy bits of the row of @bucket. */
static uint32_t *occupancy_row(struct place_index *ix, uint32_t bucket)
{
	return &ix->occupied[bucket / LEVELS / LEVELS]
			    [bucket / LEVELS % LEVELS];
}

/* Removes worker @i from its bucket, if it is in one. */
static void unlink_worker(struct place_index *ix, uint32_t i)
{
	struct link *l = &ix->links[i];

	if (l->bucket == NIL)
		return;
	if (l->next != NIL)
		ix->links[l->next].prev = l->prev;
	if (l->prev != NIL)
		ix->links[l->prev].next = l->next;
	else
		ix->heads[l->bucket] = l->next;
	if (ix->heads[l->bucket] == NIL)
		*occupancy_row(ix, l->bucket) &= ~(1U << l->bucket % LEVELS);
	l->bucket = NIL;
}

/* Inserts worker @i into the bucket of its free capacity, if it is usable. */
static void link_worker(struct place_index *ix, uint32_t i)
{
	const struct place_worker *w = &ix->workers[i];
	struct link *l = &ix->links[i];
	struct res avail = place_free(w);
	uint32_t accel =
		avail.accel < ACCEL_LEVELS ? avail.accel : ACCEL_LEVELS - 1;
	uint32_t bucket;

	if (!w->usable)
		return;
	bucket = bucket_index(accel,
			      level_of(avail.cpu_milli, ix->largest.cpu_milli),
			      level_of(avail.mem_mb, ix->largest.mem_mb));
	*l = (struct link){ .next = ix->heads[bucket],
			    .prev = NIL,
			    .bucket = bucket };
	if (l->next != NIL)
		ix->links[l->next].prev = i;
	ix->heads[bucket] = i;
	*occupancy_row(ix, bucket) |= 1U << bucket % LEVELS;
}

/* Reinserts all workers, with levels relative to the new place_largest(). */
static void rebuild(struct place_index *ix)
{
	for (uint32_t i = 0; i < ix->count; i++)
		unlink_worker(ix, i);
	ix->largest = place_largest(ix->workers, ix->count);
	for (uint32_t i = 0; i < ix->count; i++)
		link_worker(ix, i);
}

/*
 * Creates an index over @workers, which stay the caller's and must outlive it.
 * Returns NULL when out of memory. Call place_index_update() after each change
 * of a worker, and create a new index when their number changes.
 */
struct place_index *place_index_new(const struct place_worker *workers,
				    uint32_t count)
{
	struct place_index *ix = calloc(1, sizeof(*ix));

	if (!ix)
		return NULL;
	ix->links = calloc(count ? count : 1, sizeof(*ix->links));
	if (!ix->links) {
		free(ix);
		return NULL;
	}
	ix->workers = workers;
	ix->count = count;
	for (uint32_t i = 0; i < BUCKET_COUNT; i++)
		ix->heads[i] = NIL;
	for (uint32_t i = 0; i < count; i++)
		ix->links[i].bucket = NIL;
	rebuild(ix);
	return ix;
}

/* Frees @ix, which may be NULL. */
void place_index_free(struct place_index *ix)
{
	if (!ix)
		return;
	free(ix->links);
	free(ix);
}

/*
 * Updates the index after a change of any field of worker number @worker. A
 * capacity above the previous maximum rebuilds the index.
 */
void place_index_update(struct place_index *ix, uint32_t worker)
{
	if (worker >= ix->count)
		return;
	if (!res_fits(&ix->workers[worker].capacity, &ix->largest)) {
		rebuild(ix);
		return;
	}
	unlink_worker(ix, worker);
	link_worker(ix, worker);
}

/* Compares the workers of a bucket, up to MAX_COMPARED that have room. */
static void scan_bucket(struct search *s, uint32_t accel, uint32_t cpu,
			uint32_t mem)
{
	const struct place_index *ix = s->ix;
	uint32_t i = ix->heads[bucket_index(accel, cpu, mem)];
	/*
	 * The last accelerator level has no upper bound, so the scores in its
	 * buckets may differ by more than a linear level: compare all workers.
	 */
	uint32_t limit = accel < ACCEL_LEVELS - 1 ? MAX_COMPARED : UINT32_MAX;
	uint32_t compared = 0;

	for (; i != NIL && compared < limit; i = ix->links[i].next) {
		const struct place_worker *w = &ix->workers[i];
		double score;

		if (!place_fits(s->policy, w, s->need))
			continue;
		compared++;
		score = place_score(w, s->need, &ix->largest);
		if (s->best >= 0 && score >= s->best_score)
			continue;
		s->best = (int32_t)i;
		s->best_score = score;
	}
}

/* Returns the lowest fraction that @need can leave free in @level. */
static double min_remaining(uint32_t level, uint32_t need, uint32_t largest)
{
	return largest ? level_floor(level) - (double)need / largest : 0;
}

/*
 * Scans the buckets of shell @k: those whose Chebyshev distance from the lowest
 * levels in which the task may fit is @k.
 */
static void scan_shell(struct search *s, uint32_t accel, uint32_t k)
{
	const uint32_t *rows = s->ix->occupied[accel];
	uint32_t cpu = s->cpu + k;
	uint32_t mem = s->mem + k;

	if (mem < LEVELS) {
		for (uint32_t c = s->cpu; c <= cpu && c < LEVELS; c++) {
			if (rows[c] & 1U << mem)
				scan_bucket(s, accel, c, mem);
		}
	}
	if (cpu < LEVELS) {
		for (uint32_t m = s->mem; m < mem && m < LEVELS; m++) {
			if (rows[cpu] & 1U << m)
				scan_bucket(s, accel, cpu, m);
		}
	}
}

/* Returns the number of the last shell that has a worker + 1. */
static uint32_t shell_count(const struct search *s, uint32_t accel)
{
	const uint32_t *rows = s->ix->occupied[accel];
	uint32_t count = 0;

	for (uint32_t c = s->cpu; c < LEVELS; c++) {
		uint32_t mems = rows[c] >> s->mem;
		uint32_t k;

		if (!mems)
			continue;
		k = 31 - (uint32_t)__builtin_clz(mems);
		if (c - s->cpu > k)
			k = c - s->cpu;
		if (k >= count)
			count = k + 1;
	}
	return count;
}

/* Scans the shells of one accelerator level until none can be better. */
static void scan_accel(struct search *s, uint32_t accel)
{
	const struct res *largest = &s->ix->largest;
	uint32_t shells = shell_count(s, accel);

	for (uint32_t k = 0; k < shells; k++) {
		double cpu = min_remaining(s->cpu + k, s->need->cpu_milli,
					   largest->cpu_milli);
		double mem = min_remaining(s->mem + k, s->need->mem_mb,
					   largest->mem_mb);

		if (s->best >= 0 && (cpu < mem ? cpu : mem) >= s->best_score)
			break;
		scan_shell(s, accel, k);
	}
}

/*
 * Returns the worker for one task of @need, or -1 if and only if place_pick()
 * would find none. Its score exceeds the lowest one by at most
 * place_index_slack(). Of @policy, only allowed_fence is used.
 */
int32_t place_index_pick(const struct place_index *ix,
			 const struct place_policy *policy,
			 const struct res *need)
{
	uint32_t accel =
		need->accel < ACCEL_LEVELS ? need->accel : ACCEL_LEVELS - 1;
	struct search s = {
		.ix = ix,
		.policy = policy,
		.need = need,
		.cpu = level_of(need->cpu_milli, ix->largest.cpu_milli),
		.mem = level_of(need->mem_mb, ix->largest.mem_mb),
		.best = -1,
	};

	for (; accel < ACCEL_LEVELS; accel++) {
		double remaining = ix->largest.accel
					   ? ((double)accel - need->accel) /
						     ix->largest.accel
					   : 0;

		if (s.best >= 0 && remaining >= s.best_score)
			break;
		scan_accel(&s, accel);
	}
	return s.best;
}

/* Returns the maximum by which the score of a pick exceeds the lowest one. */
double place_index_slack(void)
{
	return 1.0 / LINEAR_LEVELS;
}
