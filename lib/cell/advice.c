/*
 * Questions to the advice service: which minions may run a step. The service
 * serves one call at a time for each daemon, so every daemon is a lane, and
 * short questions have lanes that long ones do not use.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/* Grants beyond the tasks to place, since minions fill up meanwhile. */
#define SPARE_FACTOR 2.0
#define SPARE_MINIONS 2
/* What additional minions may add to the cost of a question. */
#define CHEAP_SHARE 0.25
/* Share of good minions assumed before anything is known. */
#define ODDS_FIRST 0.5
/* Questions of the past that the estimate of the odds remembers. */
#define ODDS_MEMORY 400
/* Weight of the latest answer in the travel time of a lane. */
#define TRAVEL_WEIGHT 0.2
/* Questions up to this cost use the short lanes, in ms. */
#define SHORT_COST_MS 60
/* Questions from this cost on are kept off half of the lanes, in ms. */
#define LONG_COST_MS 300
/* A lane takes no more questions while its backlog is longer, in ms. */
#define BACKLOG_MS 1500
/* Tickets are renewed when they are valid for less than this, in ms. */
#define RENEW_MS 200
/* The answer may have been on its way for this long, in ms. */
#define ANSWER_TRAVEL_MS 40
/* Next look for a lane, in ms. */
#define LANE_RETRY_MS 15
/* Bits of a key that tell the minions of a rack apart. */
#define RACK_SHIFT 12
/* Next question after one that was not answered, in ms. */
#define ASK_RETRY_MS 100

static struct cell_odds *odds_get(struct cell *cell, const char *queue)
{
	struct cell_odds *o;

	for (uint32_t i = 0; i < cell->odds_count; i++) {
		if (!strcmp(cell->odds[i].queue, queue))
			return &cell->odds[i];
	}
	cell->odds = realloc(cell->odds,
			     (cell->odds_count + 1) * sizeof(*cell->odds));
	if (!cell->odds)
		abort();
	o = &cell->odds[cell->odds_count++];
	*o = (struct cell_odds){ .asked = 2, .good = 2 * ODDS_FIRST };
	snprintf(o->queue, sizeof(o->queue), "%s", queue);
	return o;
}

static double odds_share(const struct cell_odds *o)
{
	double share = o->good / o->asked;

	return share < 0.05 ? 0.05 : share;
}

struct cell_grant *cell_grant_find(struct cell_step *step, uint32_t minion)
{
	for (uint32_t i = 0; i < step->grant_count; i++) {
		if (step->grants[i].minion == minion)
			return &step->grants[i];
	}
	return NULL;
}

/* Returns true if the advice has answered for this life of the minion. */
static bool is_answered(struct cell_step *step, const struct cell_minion *m)
{
	const struct cell_grant *g = cell_grant_find(step, m->handle);

	if (m->handle < step->refused_size &&
	    step->refused[m->handle] == m->life)
		return true;
	return g && g->life == m->life;
}

static void set_refused(struct cell_step *step, const struct cell_minion *m,
			uint32_t minion_count)
{
	if (m->handle >= step->refused_size) {
		step->refused = realloc(step->refused,
					minion_count * sizeof(*step->refused));
		if (!step->refused)
			abort();
		memset(step->refused + step->refused_size, 0,
		       (minion_count - step->refused_size) *
			       sizeof(*step->refused));
		step->refused_size = minion_count;
	}
	step->refused[m->handle] = m->life;
}

struct choice {
	uint32_t minion;
	uint32_t fit;
	uint32_t shuffle;
};

static int by_room(const void *a, const void *b)
{
	const struct choice *x = a;
	const struct choice *y = b;
	bool x_fits = x->fit > 0;
	bool y_fits = y->fit > 0;

	if (x_fits != y_fits)
		return x_fits ? -1 : 1;
	if (x->shuffle != y->shuffle)
		return x->shuffle < y->shuffle ? -1 : 1;
	return x->minion < y->minion ? -1 : 1;
}

/*
 * Questions that are sent at the same time name different minions: if all named
 * those with the most room, the first step would leave none to the others.
 */
static uint32_t shuffle_key(const struct cell *cell, uint32_t minion)
{
	uint64_t h = (cell->stats.questions + 1) * 0x9E3779B97F4A7C15ULL;

	h ^= (minion + 1) * 0xC2B2AE3D27D4EB4FULL;
	h ^= h >> 29;
	h *= 0xBF58476D1CE4E5B9ULL;
	return (uint32_t)(h >> 32);
}

/*
 * A step whose tasks belong into one rack asks about one rack after the other,
 * as tickets that are spread over all racks would seldom suffice in one.
 */
static uint32_t rack_key(const struct cell *cell, const struct cell_minion *m)
{
	uint64_t h = cell->stats.questions + 1;

	for (const char *p = m->info.rack; *p; p++)
		h = (h ^ (unsigned char)*p) * 0x100000001B3ULL;
	return (uint32_t)(h >> 32) << RACK_SHIFT |
	       shuffle_key(cell, m->handle) >> (32 - RACK_SHIFT);
}

static bool can_ever_fit(const struct cell_minion *m,
			 const struct cell_step *step)
{
	struct cell_res need = cell_step_held(step->spec);

	return m->info.capacity.cpu_milli >= need.cpu_milli &&
	       m->info.capacity.mem_mb >= need.mem_mb &&
	       m->info.capacity.gpu >= need.gpu;
}

/*
 * Most of the cost of a question is the question itself: so many minions may be
 * named before the cost has risen by CHEAP_SHARE.
 */
static uint32_t cheap_count(const struct cell_advice_spec *advice)
{
	double n = CELL_QUESTION_MAX;

	if (advice->per_minion_ms > 0)
		n = CHEAP_SHARE * advice->decide_ms / advice->per_minion_ms;
	return n < CELL_QUESTION_MAX ? (uint32_t)n : CELL_QUESTION_MAX;
}

/*
 * Chooses the minions of a question: known good ones whose ticket runs out and
 * that have room, then unknown ones, those with room first, until the expected
 * number of places suffices.
 */
static uint32_t choose(struct cell *cell, struct cell_step *step,
		       const struct cell_queue_spec *queue, struct choice *out,
		       uint64_t now_ms)
{
	double share = odds_share(odds_get(cell, queue->name));
	double want = cell_step_todo(step) * SPARE_FACTOR + SPARE_MINIONS;
	double places = 0;
	uint32_t floor = cheap_count(&queue->advice);
	uint32_t n = 0;
	uint32_t unknown = 0;
	uint32_t kept;

	for (uint32_t i = 0; i < step->grant_count; i++) {
		const struct cell_grant *g = &step->grants[i];
		struct cell_minion *m = cell->minions[g->minion];
		uint32_t fit;

		if (m->life != g->life ||
		    !cell_minion_suits(cell, m, step, queue, now_ms))
			continue;
		fit = cell_fit(m, step);
		places += fit;
		if (g->until_ms < now_ms + RENEW_MS && fit &&
		    n < CELL_QUESTION_MAX)
			out[n++] = (struct choice){ .minion = g->minion,
						    .fit = fit };
	}
	kept = n;
	if (places < want) {
		for (uint32_t i = 0; i < cell->minion_count; i++) {
			struct cell_minion *m = cell->minions[i];

			if (is_answered(step, m) ||
			    !cell_minion_suits(cell, m, step, queue, now_ms) ||
			    !can_ever_fit(m, step))
				continue;
			out[n++] = (struct choice){
				.minion = i,
				.fit = cell_fit(m, step),
				.shuffle = step->spec->same_rack
						   ? rack_key(cell, m)
						   : shuffle_key(cell, i),
			};
			unknown++;
		}
		qsort(out + kept, unknown, sizeof(*out), by_room);
	}
	for (uint32_t i = kept; i < n; i++) {
		if (i >= CELL_QUESTION_MAX || (places >= want && i >= floor))
			return i;
		places += share * (out[i].fit ? out[i].fit : 0.3);
	}
	return n;
}

/* Returns how many of @up lanes are kept for short questions. */
static uint32_t short_lanes(uint32_t up)
{
	return up >= 3 ? (up + 3) / 4 : 0;
}

static uint64_t lane_wait(const struct cell_lane *lane, uint64_t now_ms)
{
	return lane->busy_until_ms > now_ms ? lane->busy_until_ms - now_ms : 0;
}

/* Returns how many lanes are closer to the service than this one. */
static uint32_t lane_rank(const struct cell *cell, uint32_t lane)
{
	double travel = cell->lanes[lane].travel_ms;
	uint32_t rank = 0;

	for (uint32_t i = 0; i < cell->lane_count; i++) {
		const struct cell_lane *other = &cell->lanes[i];

		if (!other->up || i == lane)
			continue;
		rank += other->travel_ms < travel ||
			(other->travel_ms == travel && i < lane);
	}
	return rank;
}

/* Returns true if a question of that cost may use the lane of that rank. */
static bool lane_serves(uint32_t rank, uint32_t up, uint32_t cost_ms)
{
	uint32_t kept = short_lanes(up);
	uint32_t rest = up - kept;

	if (cost_ms <= SHORT_COST_MS)
		return !kept || rank < kept;
	if (rank < kept)
		return false;
	/* A third of the other lanes has no long questions. */
	return cost_ms < LONG_COST_MS || rest <= 2 || rank >= kept + rest / 3;
}

/*
 * Returns the lane that answers soonest, or CELL_NONE while all are behind. The
 * lanes closest to the service are those of short questions.
 */
static uint32_t choose_lane(const struct cell *cell, uint32_t cost_ms,
			    uint64_t now_ms)
{
	uint32_t up = 0;
	uint32_t best = CELL_NONE;
	double best_wait = BACKLOG_MS;

	for (uint32_t i = 0; i < cell->lane_count; i++)
		up += cell->lanes[i].up;
	for (uint32_t i = 0; i < cell->lane_count; i++) {
		const struct cell_lane *lane = &cell->lanes[i];
		double wait = (double)lane_wait(lane, now_ms) + lane->travel_ms;

		if (lane->up && wait < best_wait &&
		    lane_serves(lane_rank(cell, i), up, cost_ms)) {
			best = i;
			best_wait = wait;
		}
	}
	return best;
}

static uint32_t question_new(struct cell *cell)
{
	uint32_t i = 0;

	while (i < cell->question_count && cell->questions[i].used)
		i++;
	if (i == cell->question_count) {
		cell->questions = realloc(cell->questions,
					  (i + 1) * sizeof(*cell->questions));
		if (!cell->questions)
			abort();
		cell->questions[i] = (struct cell_question_state){ 0 };
		cell->question_count++;
	}
	cell->questions[i].used = true;
	cell->questions[i].generation =
		(cell->questions[i].generation + 1) & 0xffff;
	return i;
}

static uint32_t question_handle(const struct cell *cell, uint32_t at)
{
	return cell->questions[at].generation << 16 | at;
}

/*
 * Asks for advice on the step if tickets are missing that could be used now.
 * Returns true if a question was sent.
 */
bool cell_advice_wanted(struct cell *cell, struct cell_step *step,
			const struct cell_queue_spec *queue, uint64_t now_ms)
{
	struct choice *choices;
	struct cell_question_state *q;
	struct cell_question question;
	uint32_t at;
	uint32_t n;
	uint32_t cost;
	uint32_t lane;
	struct cell_task_name name;

	if (step->asking || now_ms < step->ask_after_ms || !cell->lane_count)
		return false;
	if (choose_lane(cell, (uint32_t)queue->advice.decide_ms, now_ms) ==
	    CELL_NONE)
		return false;
	choices = malloc((cell->minion_count + CELL_QUESTION_MAX) *
			 sizeof(*choices));
	if (!choices)
		abort();
	n = choose(cell, step, queue, choices, now_ms);
	if (!n) {
		step->ask_after_ms = now_ms + ASK_RETRY_MS;
		free(choices);
		return false;
	}
	cost = (uint32_t)ceil(queue->advice.decide_ms +
			      queue->advice.per_minion_ms * n);
	lane = choose_lane(cell, cost, now_ms);
	if (lane == CELL_NONE) {
		step->ask_after_ms = now_ms + LANE_RETRY_MS;
		free(choices);
		return false;
	}
	at = question_new(cell);
	q = &cell->questions[at];
	q->lane = lane;
	q->cost_ms = cost;
	q->sent_ms = now_ms;
	q->count = n;
	name = (struct cell_task_name){ .occurrence = step->occurrence,
					.step = step->index };
	memcpy(name.job, step->job->spec.id, sizeof(name.job));
	snprintf(q->step, sizeof(q->step), "%s.%u.%u", name.job,
		 name.occurrence, name.step);
	question = (struct cell_question){ .handle = question_handle(cell, at),
					   .lane = lane,
					   .count = n };
	memcpy(question.step, q->step, sizeof(question.step));
	for (uint32_t i = 0; i < n; i++) {
		struct cell_minion *m = cell->minions[choices[i].minion];

		q->minions[i] = choices[i].minion;
		q->lives[i] = m->life;
		question.minions[i] = m->info.id;
	}
	if (cell->lanes[lane].busy_until_ms < now_ms)
		cell->lanes[lane].busy_until_ms = now_ms;
	cell->lanes[lane].busy_until_ms += cost;
	q->due_ms = cell->lanes[lane].busy_until_ms;
	cell->lanes[lane].open++;
	step->asking = true;
	step->asked_count++;
	cell->stats.questions++;
	free(choices);
	cell->owner->ops->ask(cell->owner, &question);
	return true;
}

static struct cell_step *question_step(struct cell *cell,
				       const struct cell_question_state *q)
{
	struct cell_task_name name;
	char task[CELL_TASK_MAX + 4];

	snprintf(task, sizeof(task), "%s.0", q->step);
	if (!cell_task_parse(task, &name))
		return NULL;
	return cell_step_find(cell, &name);
}

static void grant(struct cell *cell, struct cell_step *step, uint32_t minion,
		  const char *ticket, uint64_t until_ms)
{
	struct cell_grant *g = cell_grant_find(step, minion);

	if (!g) {
		step->grants = realloc(step->grants,
				       (step->grant_count + 1) * sizeof(*g));
		if (!step->grants)
			abort();
		g = &step->grants[step->grant_count++];
	}
	*g = (struct cell_grant){ .minion = minion,
				  .life = cell->minions[minion]->life,
				  .until_ms = until_ms };
	snprintf(g->ticket, sizeof(g->ticket), "%s", ticket);
}

static void lane_done(struct cell *cell, struct cell_question_state *q,
		      uint64_t now_ms)
{
	struct cell_lane *lane;

	q->used = false;
	if (q->lane >= cell->lane_count)
		return;
	lane = &cell->lanes[q->lane];
	if (q->due_ms && now_ms >= q->sent_ms)
		lane->travel_ms +=
			TRAVEL_WEIGHT *
			((now_ms > q->due_ms ? (double)(now_ms - q->due_ms)
					     : 0) -
			 lane->travel_ms);
	if (lane->open)
		lane->open--;
	if (!lane->open)
		lane->busy_until_ms = now_ms;
}

static const char *ticket_of(struct cell *cell, uint32_t minion,
			     const struct cell_ticket *good, uint32_t count)
{
	const char *id = cell->minions[minion]->info.id;

	for (uint32_t i = 0; i < count; i++) {
		if (!strcmp(good[i].minion, id))
			return good[i].ticket;
	}
	return NULL;
}

/* Takes the answer to a question; @answered is false if there was none. */
void cell_on_advice(struct cell *cell, uint32_t question, bool answered,
		    const struct cell_ticket *good, uint32_t count,
		    uint64_t now_ms)
{
	uint32_t at = question & 0xffff;
	struct cell_question_state *q;
	struct cell_step *step;
	const struct cell_queue_spec *queue;
	struct cell_odds *odds;
	uint32_t taken = 0;

	if (at >= cell->question_count)
		return;
	q = &cell->questions[at];
	if (!q->used || q->generation != question >> 16)
		return;
	lane_done(cell, q, now_ms);
	cell->dirty = true;
	step = question_step(cell, q);
	if (!step)
		return;
	step->asking = false;
	queue = cell->config ? cell_queue(cell, step->job->spec.queue) : NULL;
	if (!answered || !queue) {
		step->ask_after_ms = now_ms + ASK_RETRY_MS;
		return;
	}
	odds = odds_get(cell, queue->name);
	for (uint32_t i = 0; i < q->count; i++) {
		uint32_t m = q->minions[i];
		const char *ticket;

		if (m >= cell->minion_count ||
		    cell->minions[m]->life != q->lives[i])
			continue;
		ticket = ticket_of(cell, m, good, count);
		if (ticket)
			grant(cell, step, m, ticket,
			      now_ms + queue->advice.valid_ms -
				      ANSWER_TRAVEL_MS);
		else
			set_refused(step, cell->minions[m], cell->minion_count);
		taken += ticket != NULL;
		odds->asked++;
		odds->good += ticket != NULL;
	}
	if (odds->asked > ODDS_MEMORY) {
		odds->asked /= 2;
		odds->good /= 2;
	}
	cell_event(cell, &(struct cell_event){ .what = "advice",
					       .job = q->step,
					       .age_ms = now_ms - q->sent_ms,
					       .value = taken });
}

/* A daemon can ask; its lane has a small number that stays with it. */
void cell_lane_up(struct cell *cell, uint32_t lane)
{
	if (lane >= cell->lane_count) {
		cell->lanes =
			realloc(cell->lanes, (lane + 1) * sizeof(*cell->lanes));
		if (!cell->lanes)
			abort();
		for (uint32_t i = cell->lane_count; i <= lane; i++)
			cell->lanes[i] = (struct cell_lane){ 0 };
		cell->lane_count = lane + 1;
	}
	cell->lanes[lane] = (struct cell_lane){ .up = true };
	cell->dirty = true;
}

/* The questions of a lane get no answer any more. */
void cell_lane_lost(struct cell *cell, uint32_t lane)
{
	for (uint32_t i = 0; i < cell->question_count; i++) {
		struct cell_question_state *q = &cell->questions[i];
		struct cell_step *step;

		if (!q->used || q->lane != lane)
			continue;
		q->used = false;
		step = question_step(cell, q);
		if (step)
			step->asking = false;
	}
	if (lane < cell->lane_count)
		cell->lanes[lane] = (struct cell_lane){ 0 };
	cell->dirty = true;
}

void cell_advice_free(struct cell *cell)
{
	free(cell->lanes);
	free(cell->questions);
	free(cell->odds);
}
