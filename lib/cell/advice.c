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
#define SPARE_FACTOR 1.5
#define SPARE_MINIONS 2
/* Share of good minions assumed before anything is known. */
#define ODDS_FIRST 0.5
/* Questions of the past that the estimate of the odds remembers. */
#define ODDS_MEMORY 400
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
	uint32_t free_cpu;
};

static int by_room(const void *a, const void *b)
{
	const struct choice *x = a;
	const struct choice *y = b;

	if (x->fit != y->fit)
		return x->fit > y->fit ? -1 : 1;
	if (x->free_cpu != y->free_cpu)
		return x->free_cpu > y->free_cpu ? -1 : 1;
	return x->minion < y->minion ? -1 : 1;
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
 * Chooses the minions of a question: known good ones whose ticket runs out and
 * that have room, then unknown ones, those with the most room first, until the
 * expected number of places suffices.
 */
static uint32_t choose(struct cell *cell, struct cell_step *step,
		       const struct cell_queue_spec *queue, struct choice *out,
		       uint64_t now_ms)
{
	double share = odds_share(odds_get(cell, queue->name));
	double want = cell_step_todo(step) * SPARE_FACTOR + SPARE_MINIONS;
	double places = 0;
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
				.free_cpu = m->info.capacity.cpu_milli -
					    m->held.cpu_milli,
			};
			unknown++;
		}
		qsort(out + kept, unknown, sizeof(*out), by_room);
	}
	for (uint32_t i = kept; i < n; i++) {
		if (places >= want || i >= CELL_QUESTION_MAX)
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

/* Returns the lane that answers soonest, or CELL_NONE while all are behind. */
static uint32_t choose_lane(const struct cell *cell, uint32_t cost_ms,
			    uint64_t now_ms)
{
	uint32_t up = 0;
	uint32_t first = 0;
	uint32_t end;
	uint32_t at = 0;
	uint32_t best = CELL_NONE;
	uint64_t best_wait = BACKLOG_MS;

	for (uint32_t i = 0; i < cell->lane_count; i++)
		up += cell->lanes[i].up;
	end = up;
	if (cost_ms > SHORT_COST_MS)
		end -= short_lanes(up);
	else if (short_lanes(up))
		first = up - short_lanes(up);
	if (cost_ms >= LONG_COST_MS && end > 2)
		end -= end / 3;
	for (uint32_t i = 0; i < cell->lane_count; i++) {
		uint64_t busy = cell->lanes[i].busy_until_ms;
		uint64_t wait = busy > now_ms ? busy - now_ms : 0;

		if (!cell->lanes[i].up)
			continue;
		if (at >= first && at < end && wait < best_wait) {
			best = i;
			best_wait = wait;
		}
		at++;
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
		step->grants = realloc(step->grants, (step->grant_count + 1) *
							     sizeof(*g));
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
	queue = cell->config ? cell_config_queue(cell->config,
						 step->job->spec.queue) :
			       NULL;
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
		cell->lanes = realloc(cell->lanes,
				      (lane + 1) * sizeof(*cell->lanes));
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
