/*
 * Interference: which images, or queues where a step has no image, slow each
 * other down on the same minion. Two signals are used: the run time of a task
 * as ratio to its estimate, and the tail latency of a serving task as ratio to
 * its target. Each is compared with what is typical of the image on that class
 * of minion, so that a wrong estimate or a slow class is not taken for
 * interference, and then averaged over the runs beside another image and over
 * those apart from it. A pair for which the difference is large and certain is
 * kept apart by rank (place.c); nothing is refused or delayed for it.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "cell/cell_int.h"

/* Bounds of the tables. Both are sets of WAYS entries, selected by hash. */
#define WAYS 8
#define KINDS_MAX 512
#define PAIRS_MAX 1024
#define CLASSES_MAX 16
/* Kinds that are looked at beside one run. */
#define EXPOSED_MAX 16
#define KIND_SLOT_BITS 9
#define KIND_SLOT(handle) ((handle) & (KINDS_MAX - 1))

/* Half-life of the observations, in ms. */
#define HALF_LIFE_MS 60000.0
/*
 * Deviations are logarithms of ratios and are cut off at this value, so that a
 * run that takes seven times as long counts like one that takes 2.7 times.
 */
#define DEVIATION_MAX 1.0
/* Observations of an image on a class until its typical ratio is used. */
#define CENTRE_MIN 16
/* Weight of the latest observation in that ratio, at least. */
#define CENTRE_RATE_MIN (1.0 / 64)
/* Share of a run, in percent, that it has to be beside an image. */
#define BESIDE_MIN_PERCENT 50
/* Observations that are needed, beside and apart, by weight. */
#define WEIGHT_MIN 12
/* A pair interferes from this factor on, until it is below the second. */
#define FACTOR_FOUND 1.25
#define FACTOR_DROPPED 1.10
/* Difference, in standard errors, from which it is certain. */
#define CERTAIN 4.5
/* Standard deviation that is assumed at least: few observations may agree. */
#define DEVIATION_MIN 0.2
/* Minions on which the effect has to be seen: one may be slow by itself. */
#define MINIONS_MIN 2
/* A pair without an observation for so long is dropped, in ms. */
#define FORGET_MS 120000
#define TICK_MS 1000
/* Runs with a shorter estimate are not measured, in ms. */
#define ESTIMATE_MIN_MS 50
/*
 * Interval of observations of one tail latency, in ms, and their weight: those
 * of one task depend on each other.
 */
#define TAIL_INTERVAL_MS 1000
#define TAIL_WEIGHT 0.25
/* A best-effort task below this pace is not beside a serving one, in percent.
 */
#define PACE_BESIDE_PERCENT 50

/* Decaying sums of deviations. */
struct sums {
	double w;
	double x;
	double xx;
	uint64_t at_ms;
};

/* Typical logarithm of the ratio, on one class of minions. */
struct centre {
	float value;
	float count;
};

struct kind {
	uint32_t handle; /* 0: unused */
	uint32_t partner_count;
	uint64_t used_ms;
	struct sums clean; /* beside no kind that is known to slow it down */
	struct centre centre[CLASSES_MAX];
	uint64_t partners[KINDS_MAX / 64]; /* bit set of slots */
	char name[CELL_NAME_MAX];
	bool is_queue;
	bool serving;
};

/* @slowed beside @other. */
struct pair {
	uint32_t slowed; /* 0: unused */
	uint32_t other;
	bool found;
	uint32_t minions; /* bit set of handles, modulo 32 */
	uint64_t last_ms; /* of its latest observation */
	struct sums beside;
};

struct cell_interference {
	struct kind kinds[KINDS_MAX];
	struct pair pairs[PAIRS_MAX];
	uint64_t classes[CLASSES_MAX]; /* hashes, 0: unused */
	uint64_t tick_ms;
};

/* A deviation, and what ran beside. */
struct observation {
	double ratio_log;
	double weight;
	uint32_t kind;
	uint32_t minion;
	uint32_t minion_class;
	uint32_t count;
	struct cell_beside beside[EXPOSED_MAX];
};

static void sums_decay(struct sums *s, uint64_t now_ms)
{
	double factor = exp2(-(double)(now_ms - s->at_ms) / HALF_LIFE_MS);

	s->w *= factor;
	s->x *= factor;
	s->xx *= factor;
	s->at_ms = now_ms;
}

static void sums_add(struct sums *s, double x, double weight, uint64_t now_ms)
{
	sums_decay(s, now_ms);
	s->w += weight;
	s->x += x * weight;
	s->xx += x * x * weight;
}

/* Returns @a without the observations of @b, which are among them. */
static struct sums sums_without(struct sums a, struct sums b, uint64_t now_ms)
{
	sums_decay(&a, now_ms);
	sums_decay(&b, now_ms);
	a.w = a.w > b.w ? a.w - b.w : 0;
	a.x -= b.x;
	a.xx = a.xx > b.xx ? a.xx - b.xx : 0;
	return a;
}

static double sums_mean(const struct sums *s)
{
	return s->w > 0 ? s->x / s->w : 0;
}

/*
 * Returns the standard error of the difference of the means. The variance is
 * that of both together, as that of few observations is not certain.
 */
static double difference_error(const struct sums *a, const struct sums *b)
{
	double within =
		a->xx - a->x * sums_mean(a) + b->xx - b->x * sums_mean(b);
	double variance =
		fmax(within / (a->w + b->w), DEVIATION_MIN * DEVIATION_MIN);

	return sqrt(variance / a->w + variance / b->w);
}

/* Moves the origin of the deviations by @by. */
static void sums_shift(struct sums *s, double by)
{
	s->xx += s->w * by * by - 2 * by * s->x;
	s->x -= s->w * by;
}

static struct kind *kind_of(struct cell_interference *in, uint32_t handle)
{
	struct kind *k = &in->kinds[KIND_SLOT(handle)];

	return handle && k->handle == handle ? k : NULL;
}

/*
 * Returns the entry for a new kind: a free one of its set, else the one that
 * was not used for the longest time; NULL if all are members of pairs.
 */
static struct kind *kind_evict(struct kind *set)
{
	struct kind *oldest = NULL;

	for (uint32_t i = 0; i < WAYS; i++) {
		if (!set[i].handle)
			return &set[i];
		if (!set[i].partner_count &&
		    (!oldest || set[i].used_ms < oldest->used_ms))
			oldest = &set[i];
	}
	return oldest;
}

static const char *kind_name(const struct cell_step *step)
{
	return step->spec->image[0] ? step->spec->image : step->job->spec.queue;
}

/* Returns the entries in which the kind of a step may be. */
static struct kind *kind_set(struct cell_interference *in,
			     const struct cell_step *step)
{
	const char *name = kind_name(step);

	return &in->kinds[XXH3_64bits(name, strlen(name)) % (KINDS_MAX / WAYS) *
			  WAYS];
}

/* Returns the handle of the kind of a step, or 0 if there is none. */
uint32_t cell_kind_find(const struct cell *cell, const struct cell_step *step)
{
	const struct kind *set;

	if (!cell->interference)
		return 0;
	set = kind_set(cell->interference, step);
	for (uint32_t i = 0; i < WAYS; i++) {
		if (set[i].handle && set[i].is_queue == !step->spec->image[0] &&
		    set[i].serving == (step->spec->target_ms > 0) &&
		    !strcmp(set[i].name, kind_name(step)))
			return set[i].handle;
	}
	return 0;
}

/*
 * Returns a handle of the image of a step, or of its queue if it has none. It
 * is 0 if pairs are not observed, and no longer valid once its entry is used
 * for another kind.
 */
uint32_t cell_kind_get(struct cell *cell, const struct cell_step *step,
		       uint64_t now_ms)
{
	struct cell_interference *in = cell->interference;
	uint32_t handle = cell_kind_find(cell, step);
	struct kind *k;

	if (!in)
		return 0;
	if (handle) {
		kind_of(in, handle)->used_ms = now_ms;
		return handle;
	}
	k = kind_evict(kind_set(in, step));
	if (!k)
		return 0;
	*k = (struct kind){ .used_ms = now_ms,
			    .is_queue = !step->spec->image[0],
			    .serving = step->spec->target_ms > 0,
			    .clean.at_ms = now_ms };
	k->handle = ++cell->kind_generation << KIND_SLOT_BITS |
		    (uint32_t)(k - in->kinds);
	snprintf(k->name, sizeof(k->name), "%s", kind_name(step));
	return k->handle;
}

static struct pair *pair_set(struct cell_interference *in, uint32_t slowed,
			     uint32_t other)
{
	uint32_t key[2] = { slowed, other };

	return &in->pairs[XXH3_64bits(key, sizeof(key)) % (PAIRS_MAX / WAYS) *
			  WAYS];
}

static struct pair *pair_find(struct cell_interference *in, uint32_t slowed,
			      uint32_t other)
{
	struct pair *set = pair_set(in, slowed, other);

	for (uint32_t i = 0; i < WAYS; i++) {
		if (set[i].slowed == slowed && set[i].other == other)
			return &set[i];
	}
	return NULL;
}

static bool pair_found(struct cell_interference *in, uint32_t slowed,
		       uint32_t other)
{
	const struct pair *p = pair_find(in, slowed, other);

	return p && p->found;
}

/*
 * Returns the entry for a new pair: a free one of its set, else the one with
 * the least weight; NULL if all are declared.
 */
static struct pair *pair_evict(struct pair *set, uint64_t now_ms)
{
	struct pair *least = NULL;

	for (uint32_t i = 0; i < WAYS; i++) {
		if (!set[i].slowed)
			return &set[i];
		if (set[i].found)
			continue;
		sums_decay(&set[i].beside, now_ms);
		if (!least || set[i].beside.w < least->beside.w)
			least = &set[i];
	}
	return least;
}

/* Returns the pair, which may be new, or NULL if there is no room for it. */
static struct pair *pair_get(struct cell_interference *in, uint32_t slowed,
			     uint32_t other, uint64_t now_ms)
{
	struct pair *p = pair_find(in, slowed, other);

	if (p)
		return p;
	p = pair_evict(pair_set(in, slowed, other), now_ms);
	if (p)
		*p = (struct pair){ .slowed = slowed,
				    .other = other,
				    .last_ms = now_ms,
				    .beside.at_ms = now_ms };
	return p;
}

/* Returns the difference of the means, beside and apart. */
static double pair_effect(const struct pair *p, const struct sums *apart)
{
	return sums_mean(&p->beside) - sums_mean(apart);
}

static uint32_t effect_percent(double effect)
{
	return (uint32_t)lround(exp(effect) * 100);
}

static void log_pair(struct cell *cell, const struct pair *p, double effect,
		     bool found)
{
	struct cell_interference *in = cell->interference;
	const struct kind *slowed = kind_of(in, p->slowed);
	const struct kind *other = kind_of(in, p->other);
	char detail[2 * CELL_NAME_MAX + 16];
	struct cell_event event = { .what = "interference-dropped",
				    .detail = detail,
				    .input = (uint64_t)p->beside.w,
				    .value = effect_percent(effect) };

	if (found)
		event = (struct cell_event){ .what = "interference-found",
					     .detail = detail,
					     .input = event.input,
					     .value = event.value };
	snprintf(detail, sizeof(detail), "%s beside %s", slowed->name,
		 other->name);
	cell_event(cell, &event);
}

static void set_partner(struct kind *k, uint32_t slot, bool on)
{
	uint64_t bit = (uint64_t)1 << slot % 64;
	uint64_t *word = &k->partners[slot / 64];

	if (!!(*word & bit) == on)
		return;
	*word ^= bit;
	k->partner_count += on ? 1 : -1;
}

static void set_partners(struct cell_interference *in, const struct pair *p,
			 bool on)
{
	set_partner(&in->kinds[KIND_SLOT(p->slowed)], KIND_SLOT(p->other), on);
	set_partner(&in->kinds[KIND_SLOT(p->other)], KIND_SLOT(p->slowed), on);
}

/*
 * Makes what is seen beside no known cause the typical ratio, from which all
 * deviations of the kind are counted.
 */
static void centre_on_clean(struct cell_interference *in, struct kind *k)
{
	double by = sums_mean(&k->clean);

	for (uint32_t i = 0; i < CLASSES_MAX; i++)
		k->centre[i].value += (float)by;
	sums_shift(&k->clean, by);
	for (uint32_t i = 0; i < PAIRS_MAX; i++) {
		if (in->pairs[i].slowed == k->handle)
			sums_shift(&in->pairs[i].beside, by);
	}
}

/*
 * Keeps a pair apart from now on. What was seen beside it is no longer typical
 * of the kind, and what was seen of other kinds beside it may be its effect.
 */
static void pair_keep_apart(struct cell *cell, struct pair *p, double effect,
			    uint64_t now_ms)
{
	struct cell_interference *in = cell->interference;
	struct kind *k = kind_of(in, p->slowed);

	p->found = true;
	set_partners(in, p, true);
	cell->stats.interfering++;
	k->clean = sums_without(k->clean, p->beside, now_ms);
	for (uint32_t i = 0; i < PAIRS_MAX; i++) {
		struct pair *q = &in->pairs[i];

		if (q->slowed == p->slowed && !q->found)
			*q = (struct pair){ 0 };
	}
	centre_on_clean(in, k);
	log_pair(cell, p, effect, true);
}

static void pair_drop(struct cell *cell, struct pair *p)
{
	struct cell_interference *in = cell->interference;
	struct kind *k = kind_of(in, p->slowed);

	log_pair(cell, p, pair_effect(p, &k->clean), false);
	if (!pair_found(in, p->other, p->slowed) || p->other == p->slowed)
		set_partners(in, p, false);
	cell->stats.interfering--;
	*p = (struct pair){ 0 };
}

/* Declares a pair as interfering, or drops it, after an observation. */
static void pair_check(struct cell *cell, struct pair *p, uint64_t now_ms)
{
	struct kind *k = kind_of(cell->interference, p->slowed);
	struct sums apart = k->clean;
	double effect;

	if (p->found)
		sums_decay(&apart, now_ms);
	else
		apart = sums_without(apart, p->beside, now_ms);
	if (p->beside.w < WEIGHT_MIN || apart.w < WEIGHT_MIN)
		return;
	effect = pair_effect(p, &apart);
	if (p->found && effect < log(FACTOR_DROPPED))
		pair_drop(cell, p);
	else if (!p->found && effect >= log(FACTOR_FOUND) &&
		 effect >= CERTAIN * difference_error(&p->beside, &apart) &&
		 __builtin_popcount(p->minions) >= MINIONS_MIN)
		pair_keep_apart(cell, p, effect, now_ms);
}

/*
 * Returns the class of a minion, by its first label and its cores. All classes
 * beyond the limit share the last one.
 */
static uint32_t minion_class(struct cell_interference *in,
			     const struct cell_minion *m)
{
	const char *label = m->info.label_count ? m->info.labels[0] : "";
	uint64_t hash = XXH3_64bits_withSeed(label, strlen(label),
					     m->info.capacity.cpu_milli) |
			1;

	for (uint32_t i = 0; i < CLASSES_MAX - 1; i++) {
		if (in->classes[i] && in->classes[i] != hash)
			continue;
		in->classes[i] = hash;
		return i;
	}
	return CLASSES_MAX - 1;
}

static double clamp(double x)
{
	return fmax(-DEVIATION_MAX, fmin(DEVIATION_MAX, x));
}

/*
 * Updates the typical ratio. It moves by bounded steps, so that it is robust to
 * outliers.
 */
static void centre_update(struct centre *c, double ratio_log)
{
	if (c->count < 1)
		c->value = (float)ratio_log;
	c->count++;
	c->value += (float)(clamp(ratio_log - c->value) *
			    fmax(1.0 / c->count, CENTRE_RATE_MIN));
}

/*
 * Counts an observation. One beside a kind that is known to slow it down counts
 * for that pair alone, and beside two such kinds for none: it shows nothing of
 * the others.
 */
static void observe(struct cell *cell, const struct observation *o,
		    uint64_t now_ms)
{
	struct cell_interference *in = cell->interference;
	struct kind *k = kind_of(in, o->kind);
	struct pair *known = NULL;
	uint32_t known_count = 0;
	struct centre *c;
	double x;

	if (!k)
		return;
	for (uint32_t i = 0; i < o->count; i++) {
		struct pair *p = pair_find(in, o->kind, o->beside[i].kind);

		if (!p || !p->found)
			continue;
		known = p;
		known_count++;
	}
	c = &k->centre[o->minion_class];
	x = clamp(o->ratio_log - c->value);
	if (!known)
		centre_update(c, o->ratio_log);
	if (known_count > 1 || c->count <= CENTRE_MIN)
		return;
	if (!known)
		sums_add(&k->clean, x, o->weight, now_ms);
	for (uint32_t i = 0; i < o->count; i++) {
		struct pair *p = known;

		if (!p)
			p = pair_get(in, o->kind, o->beside[i].kind, now_ms);
		if (!p)
			continue;
		sums_add(&p->beside, x, o->weight, now_ms);
		p->minions |= 1U << o->minion % 32;
		p->last_ms = now_ms;
		pair_check(cell, p, now_ms);
		if (known || pair_found(in, o->kind, o->beside[i].kind))
			return;
	}
}

static void note_beside(struct cell_beside *beside, uint32_t *count,
			uint32_t max, uint32_t kind, uint64_t ms)
{
	uint32_t i = 0;

	while (i < *count && beside[i].kind != kind)
		i++;
	if (!kind || i == max)
		return;
	if (i == *count)
		beside[(*count)++] = (struct cell_beside){ .kind = kind };
	beside[i].ms += (uint32_t)ms;
}

static uint64_t overlap_ms(const struct cell_run *a, const struct cell_run *b,
			   uint64_t now_ms)
{
	return now_ms - (a->sent_ms > b->sent_ms ? a->sent_ms : b->sent_ms);
}

/* Notes with the other runs on the minion that @run was beside them. */
static void note_neighbour(struct cell_minion *m, const struct cell_run *run,
			   uint64_t now_ms)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		struct cell_run *r = &m->runs[i];
		uint32_t count = 0;

		while (count < CELL_BESIDE_MAX && r->beside[count].kind)
			count++;
		if (r != run)
			note_beside(r->beside, &count, CELL_BESIDE_MAX,
				    run->kind, overlap_ms(r, run, now_ms));
	}
}

/*
 * Returns true if the run time is evidence of the minion: not that of a
 * gang, whose members end together, of a best-effort task, which is throttled,
 * or of a task that is far from its data.
 */
static bool is_measured(const struct cell_minion *m, const struct cell_run *run,
			const struct cell_step_spec *spec)
{
	return run->measured && !run->isolated && !spec->gang && !spec->fills &&
	       !spec->long_running && !spec->target_ms &&
	       spec->estimate_ms >= ESTIMATE_MIN_MS &&
	       (!spec->affinity[0] || cell_minion_has_label(m, spec->affinity));
}

/*
 * Returns what ran beside the run for most of its time. Those that ended
 * earlier are in its list, the others are still on the minion.
 */
static void collect_beside(const struct cell_minion *m,
			   const struct cell_run *run, uint64_t lasted_ms,
			   struct observation *o, uint64_t now_ms)
{
	uint32_t kept = 0;

	while (o->count < CELL_BESIDE_MAX && run->beside[o->count].kind) {
		o->beside[o->count] = run->beside[o->count];
		o->count++;
	}
	for (uint32_t i = 0; i < m->run_count; i++) {
		if (&m->runs[i] != run)
			note_beside(o->beside, &o->count, EXPOSED_MAX,
				    m->runs[i].kind,
				    overlap_ms(run, &m->runs[i], now_ms));
	}
	for (uint32_t i = 0; i < o->count; i++) {
		if ((uint64_t)o->beside[i].ms * 100 >=
		    lasted_ms * BESIDE_MIN_PERCENT)
			o->beside[kept++] = o->beside[i];
	}
	o->count = kept;
}

/*
 * Observes a run that ended on the minion and is still listed there. The tasks
 * of a step have the error of its estimate in common, so together they count as
 * one observation.
 */
void cell_interference_run_ended(struct cell *cell, struct cell_minion *m,
				 const struct cell_run *run, enum cell_end end,
				 uint64_t now_ms)
{
	struct cell_interference *in = cell->interference;
	struct observation o = { .kind = run->kind, .minion = m->handle };
	uint64_t lasted_ms = now_ms - run->sent_ms;
	struct cell_step *step;

	if (!in)
		return;
	note_neighbour(m, run, now_ms);
	if (end != CELL_END_DONE || !lasted_ms ||
	    !cell_task_find(cell, run->task, &step) ||
	    !is_measured(m, run, step->spec))
		return;
	o.weight = 1.0 / step->spec->count;
	o.ratio_log = log((double)lasted_ms / step->spec->estimate_ms);
	o.minion_class = minion_class(in, m);
	collect_beside(m, run, lasted_ms, &o, now_ms);
	observe(cell, &o, now_ms);
}

/* Returns true if the run is as active as to slow down a serving task. */
static bool is_beside(const struct cell_run *run)
{
	return !run->fills || run->pace == CELL_PACE_UNKNOWN ||
	       run->pace >= PACE_BESIDE_PERCENT;
}

static void observe_tail(struct cell *cell, struct cell_minion *m,
			 struct cell_run *run, uint64_t now_ms)
{
	struct observation o = { .kind = run->kind,
				 .minion = m->handle,
				 .weight = TAIL_WEIGHT };

	run->tail_ms = now_ms;
	o.ratio_log = log((double)run->load / run->target_ms);
	o.minion_class = minion_class(cell->interference, m);
	for (uint32_t i = 0; i < m->run_count; i++) {
		if (&m->runs[i] != run && is_beside(&m->runs[i]))
			note_beside(o.beside, &o.count, EXPOSED_MAX,
				    m->runs[i].kind, 0);
	}
	observe(cell, &o, now_ms);
}

/* Observes the tail latencies of the latest report of the minion. */
void cell_interference_tails(struct cell *cell, struct cell_minion *m,
			     uint64_t now_ms)
{
	for (uint32_t i = 0; i < m->run_count && cell->interference; i++) {
		struct cell_run *run = &m->runs[i];

		if (run->in_report && run->target_ms && run->load &&
		    now_ms >= run->tail_ms + TAIL_INTERVAL_MS)
			observe_tail(cell, m, run, now_ms);
	}
}

/* Returns true if the kind is a member of an interfering pair. */
bool cell_kind_has_partners(const struct cell *cell, uint32_t kind)
{
	const struct kind *k =
		cell->interference ? kind_of(cell->interference, kind) : NULL;

	return k && k->partner_count;
}

/* Returns true if the minion runs the other one of a pair of the kind. */
bool cell_kind_interferes(const struct cell *cell, uint32_t kind,
			  const struct cell_minion *m)
{
	const struct kind *k =
		cell->interference ? kind_of(cell->interference, kind) : NULL;
	bool found = false;

	for (uint32_t i = 0; k && i < m->run_count && !found; i++) {
		uint32_t slot = KIND_SLOT(m->runs[i].kind);

		found = (k->partners[slot / 64] >> slot % 64 & 1) &&
			kind_of(cell->interference, m->runs[i].kind);
	}
	return found;
}

/* Drops the pairs of which nothing was seen for long: the effect may be gone.
 */
void cell_interference_tick(struct cell *cell, uint64_t now_ms)
{
	struct cell_interference *in = cell->interference;

	if (!in || now_ms < in->tick_ms + TICK_MS)
		return;
	in->tick_ms = now_ms;
	for (uint32_t i = 0; i < PAIRS_MAX; i++) {
		struct pair *p = &in->pairs[i];

		if (p->found && now_ms > p->last_ms + FORGET_MS)
			pair_drop(cell, p);
	}
}

/*
 * Lists the interfering pairs with the largest effect, which comes first, and
 * returns how many. Names are valid until the next call to the cell.
 */
uint32_t cell_list_interfering(const struct cell *cell,
			       struct cell_interfering *out, uint32_t max)
{
	struct cell_interference *in = cell->interference;
	uint32_t count = 0;

	for (uint32_t i = 0; in && max && i < PAIRS_MAX; i++) {
		const struct pair *p = &in->pairs[i];
		struct cell_interfering row;
		uint32_t at;

		if (!p->found)
			continue;
		row.slowed = kind_of(in, p->slowed)->name;
		row.beside = kind_of(in, p->other)->name;
		row.percent = effect_percent(
			pair_effect(p, &kind_of(in, p->slowed)->clean));
		if (count == max && row.percent <= out[max - 1].percent)
			continue;
		count += count < max;
		for (at = count - 1; at && out[at - 1].percent < row.percent;
		     at--)
			out[at] = out[at - 1];
		out[at] = row;
	}
	return count;
}

/* Puts the observation of pairs in force, or forgets all of them. */
void cell_set_separate_interfering(struct cell *cell, bool on)
{
	if (on == !!cell->interference)
		return;
	if (!on) {
		cell_interference_free(cell);
		return;
	}
	cell->interference = calloc(1, sizeof(*cell->interference));
	if (!cell->interference)
		abort();
}

void cell_interference_free(struct cell *cell)
{
	free(cell->interference);
	cell->interference = NULL;
	cell->stats.interfering = 0;
}
