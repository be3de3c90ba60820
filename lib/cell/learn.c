/*
 * Learned run times. Runs that are done tell how long the tasks of a queue and
 * image take in relation to their estimates, by size and by class of minions.
 * The ratio corrects the order of waiting steps and prefers classes of minions
 * on which an urgent step is in time. A new holder starts from the estimates.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "cell/cell_int.h"

/* Bounds of the table, in sets of WAYS entries that are selected by hash. */
#define WAYS 8
#define ENTRIES_MAX 512
#define CLASSES_MAX 16
/* Sizes differ by at least this power of two of the estimate. */
#define SIZE_BITS 2
/*
 * An observation moves a logarithm of a ratio by this share of the difference
 * at least, and the difference is cut off at STEP_MAX: one run in thirty that
 * takes seven times as long moves the ratio by few percent.
 */
#define RATE_MIN (1.0 / 32)
#define STEP_MAX 1.0
/* Observations, by weight, until a ratio is used. */
#define COUNT_MIN 8
/* A minion is as fast as the best one within this factor. */
#define FAST_FACTOR 1.1
/* Natural logarithm of the largest ratio that is used. */
#define RATIO_LOG_MAX 3.0
/*
 * A minion that did not respond, or lost its runs, within this time is likely
 * to do so again, in ms.
 */
#define UNSTABLE_MS 30000
/* As is one with a failed run among the latest three or so. */
#define FAIL_SCORE_UNSTABLE 0.3

/* Location of the logarithm of the ratio, in bounded steps (Huber). */
struct location {
	float value;
	float count; /* by weight */
};

struct entry {
	uint64_t hash; /* 0: unused */
	uint64_t used_ms;
	struct location all;
	struct location classes[CLASSES_MAX];
};

struct cell_learn {
	struct entry entries[ENTRIES_MAX];
	uint64_t classes[CLASSES_MAX]; /* hashes, 0: unused */
};

static void location_add(struct location *l, double x, double weight)
{
	double rate;

	if (l->count <= 0)
		l->value = (float)x;
	l->count += (float)weight;
	rate = fmax(weight / l->count, weight * RATE_MIN);
	l->value +=
		(float)(fmax(-STEP_MAX, fmin(STEP_MAX, x - l->value)) * rate);
}

static bool location_known(const struct location *l)
{
	return l->count >= COUNT_MIN;
}

/* Returns the hash of the queue, image and size class of a step. */
static uint64_t step_hash(const char *queue, const struct cell_step_spec *spec)
{
	uint32_t size = 31 - (uint32_t)__builtin_clz(spec->estimate_ms | 1);
	uint64_t hash =
		XXH3_64bits_withSeed(queue, strlen(queue), size / SIZE_BITS);

	return XXH3_64bits_withSeed(spec->image, strlen(spec->image), hash) | 1;
}

static struct entry *entry_find(struct cell_learn *learn, uint64_t hash)
{
	struct entry *set =
		&learn->entries[(hash >> 1) % (ENTRIES_MAX / WAYS) * WAYS];

	for (uint32_t i = 0; i < WAYS; i++) {
		if (set[i].hash == hash)
			return &set[i];
	}
	return NULL;
}

/* Returns the entry; a new one replaces the one not used for longest. */
static struct entry *entry_get(struct cell_learn *learn, uint64_t hash,
			       uint64_t now_ms)
{
	struct entry *set =
		&learn->entries[(hash >> 1) % (ENTRIES_MAX / WAYS) * WAYS];
	struct entry *e = entry_find(learn, hash);

	for (uint32_t i = 0; i < WAYS && !e; i++) {
		if (!set[i].hash)
			e = &set[i];
	}
	if (!e) {
		e = set;
		for (uint32_t i = 1; i < WAYS; i++) {
			if (set[i].used_ms < e->used_ms)
				e = &set[i];
		}
	}
	if (e->hash != hash)
		*e = (struct entry){ .hash = hash };
	e->used_ms = now_ms;
	return e;
}

static uint64_t class_hash(const struct cell_minion *m)
{
	const char *label = m->info.label_count ? m->info.labels[0] : "";

	return XXH3_64bits(label, strlen(label)) | 1;
}

/* Returns the class of a minion by its first label, or CELL_NONE. */
static uint32_t class_find(const struct cell_learn *learn,
			   const struct cell_minion *m)
{
	uint64_t hash = class_hash(m);

	for (uint32_t i = 0; i < CLASSES_MAX; i++) {
		if (learn->classes[i] == hash)
			return i;
	}
	return CELL_NONE;
}

/* As class_find(), but adds the class if there is room. */
static uint32_t class_get(struct cell_learn *learn, const struct cell_minion *m)
{
	uint64_t hash = class_hash(m);

	for (uint32_t i = 0; i < CLASSES_MAX; i++) {
		if (learn->classes[i] && learn->classes[i] != hash)
			continue;
		learn->classes[i] = hash;
		return i;
	}
	return CELL_NONE;
}

/*
 * Learns from a run that is done. The tasks of a step have the error of its
 * estimate in common, so together they count as one observation.
 */
void cell_learn_run_ended(struct cell *cell, const struct cell_minion *m,
			  const struct cell_run *run, enum cell_end end,
			  uint64_t now_ms)
{
	struct cell_learn *learn = cell->learn;
	uint64_t lasted_ms = now_ms - run->sent_ms;
	struct cell_step *step;
	struct entry *e;
	uint32_t at;
	double x;

	if (!learn || end != CELL_END_DONE || !run->measured || !lasted_ms ||
	    !cell_task_find(cell, run->task, &step) ||
	    !step->spec->estimate_ms || step->spec->fills ||
	    step->spec->long_running)
		return;
	x = log((double)lasted_ms / step->spec->estimate_ms);
	e = entry_get(learn, step_hash(step->job->spec.queue, step->spec),
		      now_ms);
	location_add(&e->all, x, 1.0 / step->spec->count);
	at = class_get(learn, m);
	if (at != CELL_NONE)
		location_add(&e->classes[at], x, 1.0 / step->spec->count);
}

static uint64_t corrected_ms(const struct location *l, uint32_t estimate_ms)
{
	double x = fmax(-RATIO_LOG_MAX, fmin(RATIO_LOG_MAX, l->value));

	return (uint64_t)(estimate_ms * exp(x));
}

/* Returns the expected run time of a task of a step, on no certain minion. */
uint64_t cell_learn_step_ms(const struct cell *cell, const char *queue,
			    const struct cell_step_spec *spec)
{
	const struct entry *e =
		cell->learn ? entry_find(cell->learn, step_hash(queue, spec))
			    : NULL;

	return e && location_known(&e->all)
		       ? corrected_ms(&e->all, spec->estimate_ms)
		       : spec->estimate_ms;
}

/* Returns the expected run time of a task of a step on a minion. */
uint64_t cell_learn_task_ms(const struct cell *cell,
			    const struct cell_step *step,
			    const struct cell_minion *m)
{
	const char *queue = step->job->spec.queue;
	const struct entry *e;
	uint32_t at;

	if (!cell->learn)
		return step->spec->estimate_ms;
	e = entry_find(cell->learn, step_hash(queue, step->spec));
	at = class_find(cell->learn, m);
	if (e && at != CELL_NONE && location_known(&e->classes[at]))
		return corrected_ms(&e->classes[at], step->spec->estimate_ms);
	return cell_learn_step_ms(cell, queue, step->spec);
}

/* Returns the expected time of the steps that depend on a step, in ms. */
uint64_t cell_learn_rest_ms(const struct cell *cell,
			    const struct cell_step *step)
{
	const struct cell_job_spec *spec = &step->job->spec;
	uint64_t rest[CELL_STEPS_MAX] = { 0 };

	/* A step depends on earlier ones only. */
	for (uint32_t i = spec->step_count; i-- > step->index + 1;) {
		uint64_t ms = rest[i] + cell_learn_step_ms(cell, spec->queue,
							   &spec->steps[i]);

		for (uint32_t k = step->index; k < i; k++) {
			if ((spec->steps[i].after >> k & 1) && rest[k] < ms)
				rest[k] = ms;
		}
	}
	return rest[step->index];
}

/*
 * Returns the deadline by which a step is ordered: that of its job, earlier by
 * the expected time of the steps after it and by what the step itself is
 * expected to take beyond its estimate.
 */
uint64_t cell_learn_deadline(const struct cell *cell,
			     const struct cell_step *step)
{
	const struct cell_job *job = step->job;
	uint64_t own;
	uint64_t early;

	if (!cell->learn)
		return step->deadline_unix_ms;
	own = cell_learn_step_ms(cell, job->spec.queue, step->spec);
	early = cell_learn_rest_ms(cell, step);
	if (own > step->spec->estimate_ms)
		early += own - step->spec->estimate_ms;
	return step->deadline_unix_ms > early ? step->deadline_unix_ms - early
					      : 0;
}

/*
 * Ranks the candidates on which the step is expected to end too late for its
 * job behind those of the fastest class; if it is late on all, the fastest
 * class goes first as well.
 */
void cell_learn_rank(const struct cell *cell, const struct cell_step *step,
		     struct cell_candidate *c, uint32_t count)
{
	uint64_t deadline = step->deadline_unix_ms;
	uint64_t best = UINT64_MAX;
	uint64_t rest;

	if (!cell->learn || step->spec->long_running || step->spec->fills)
		return;
	rest = cell_learn_rest_ms(cell, step);
	for (uint32_t i = 0; i < count; i++) {
		uint64_t ms = cell_learn_task_ms(cell, step, c[i].minion);

		if (ms < best)
			best = ms;
	}
	for (uint32_t i = 0; i < count; i++) {
		uint64_t ms = cell_learn_task_ms(cell, step, c[i].minion);

		if (cell->unix_ms + ms + rest > deadline &&
		    (double)ms > FAST_FACTOR * (double)best)
			c[i].rank += CELL_RANK_SLOW;
	}
}

/*
 * Returns true if the minion failed, hung or flapped lately. A gang with a
 * member there would likely fail as a whole.
 */
bool cell_learn_unstable(const struct cell *cell, const struct cell_minion *m,
			 uint64_t now_ms)
{
	return cell->learn &&
	       (m->fail_score >= FAIL_SCORE_UNSTABLE ||
		(m->unstable_ms && now_ms < m->unstable_ms + UNSTABLE_MS));
}

/* Puts learning in force, or forgets what was learned. */
void cell_set_learn_run_times(struct cell *cell, bool on)
{
	if (on == !!cell->learn)
		return;
	cell->dirty = true;
	if (!on) {
		cell_learn_free(cell);
		return;
	}
	cell->learn = calloc(1, sizeof(*cell->learn));
	if (!cell->learn)
		abort();
}

void cell_learn_free(struct cell *cell)
{
	free(cell->learn);
	cell->learn = NULL;
}
