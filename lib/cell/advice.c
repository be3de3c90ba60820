/*
 * Requests to the advice service, which decides which minions may run a step.
 * The service handles one call at a time per daemon, so each daemon is a lane
 * with a queue of its own. Some lanes are reserved for cheap requests, so that
 * they do not queue behind expensive ones.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/* Tickets requested beyond the tasks to place, as minions fill up meanwhile. */
#define SPARE_FACTOR 2.0
#define SPARE_MINIONS 2
/* Share of its base cost that extra minions may add to a request. */
#define EXTRA_COST_SHARE 0.25
/* Share of accepted minions assumed before the first response. */
#define ACCEPT_RATE_INITIAL 0.5
/* Number of minions after which older responses lose half of their weight. */
#define ACCEPT_RATE_WINDOW 400
/* Weight of the latest response in the moving average of the lane latency. */
#define LATENCY_WEIGHT 0.2
/* Half-life of the latency of a lane without requests in flight, in ms. */
#define LATENCY_HALF_LIFE_MS 5000
/* Requests up to this cost use the reserved lanes, in ms. */
#define SHORT_COST_MAX_MS 60
/* Requests from this cost on are excluded from half of the lanes, in ms. */
#define LONG_COST_MIN_MS 300
/* A lane gets no more requests while its backlog is longer, in ms. */
#define BACKLOG_MAX_MS 1500
/* Tickets are renewed when their remaining validity is below this, in ms. */
#define RENEW_MS 200
/* Subtracted from the validity of a ticket for the response latency, in ms. */
#define RESPONSE_LATENCY_MS 40
/* Requests that one slice of a scheduling pass prepares at most. */
#define REQUESTS_PER_SLICE 12
/* Delay until the next attempt when all lanes are busy, in ms. */
#define LANE_RETRY_MS 15
/* Low bits of a rack key, which order the minions within a rack. */
#define RACK_SHIFT 12
/* Delay after a request that failed or found no minions to ask about, in ms. */
#define ADVICE_RETRY_MS 100
/* The delay doubles so often at most with each request that failed. */
#define ADVICE_BACKOFF_MAX 3

static struct cell_accept_rate *accept_rate_get(struct cell *cell,
						const char *queue)
{
	struct cell_accept_rate *rate;

	for (uint32_t i = 0; i < cell->accept_rate_count; i++) {
		if (!strcmp(cell->accept_rates[i].queue, queue))
			return &cell->accept_rates[i];
	}
	cell->accept_rates = realloc(cell->accept_rates,
				     (cell->accept_rate_count + 1) *
					     sizeof(*cell->accept_rates));
	if (!cell->accept_rates)
		abort();
	rate = &cell->accept_rates[cell->accept_rate_count++];
	*rate = (struct cell_accept_rate){ .asked = 2,
					   .accepted =
						   2 * ACCEPT_RATE_INITIAL };
	snprintf(rate->queue, sizeof(rate->queue), "%s", queue);
	return rate;
}

static double accept_rate_value(const struct cell_accept_rate *rate)
{
	double share = rate->accepted / rate->asked;

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

/* Returns true if the service has decided on this incarnation of the minion. */
static bool has_decision(const struct cell_step *step,
			 const struct cell_minion *m)
{
	return m->handle < step->decided_size &&
	       step->decided[m->handle] == m->incarnation;
}

static void set_decided(struct cell_step *step, const struct cell_minion *m,
			uint32_t minion_count)
{
	if (m->handle >= step->decided_size) {
		step->decided = realloc(step->decided,
					minion_count * sizeof(*step->decided));
		if (!step->decided)
			abort();
		memset(step->decided + step->decided_size, 0,
		       (minion_count - step->decided_size) *
			       sizeof(*step->decided));
		step->decided_size = minion_count;
	}
	step->decided[m->handle] = m->incarnation;
}

struct advice_candidate {
	uint32_t minion;
	uint32_t fit;
	uint32_t key; /* order of a step whose tasks should share a rack */
};

static int compare_keys(const void *a, const void *b)
{
	const struct advice_candidate *x = a;
	const struct advice_candidate *y = b;

	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	return x->minion < y->minion ? -1 : 1;
}

/* Returns a number that differs for each request and each @draw. */
static uint32_t draw_number(const struct cell *cell, uint32_t draw)
{
	uint64_t h = (cell->stats.questions + 1) * 0x9E3779B97F4A7C15ULL;

	h ^= (draw + 1) * 0xC2B2AE3D27D4EB4FULL;
	h ^= h >> 29;
	h *= 0xBF58476D1CE4E5B9ULL;
	return (uint32_t)(h >> 32);
}

static void swap_candidates(struct advice_candidate *a,
			    struct advice_candidate *b)
{
	struct advice_candidate c = *a;

	*a = *b;
	*b = c;
}

/*
 * Orders minions by rack for a step whose tasks should share one: tickets that
 * are spread over all racks would seldom suffice in any of them.
 */
static uint32_t rack_key(const struct cell *cell, const struct cell_minion *m)
{
	uint64_t h = cell->stats.questions + 1;

	for (const char *p = m->info.rack; *p; p++)
		h = (h ^ (unsigned char)*p) * 0x100000001B3ULL;
	return (uint32_t)(h >> 32) << RACK_SHIFT |
	       draw_number(cell, m->handle) >> (32 - RACK_SHIFT);
}

static bool capacity_suffices(const struct cell_minion *m,
			      const struct cell_step *step)
{
	struct cell_res need = cell_step_held(step->spec);

	return m->info.capacity.cpu_milli >= need.cpu_milli &&
	       m->info.capacity.mem_mb >= need.mem_mb &&
	       m->info.capacity.gpu >= need.gpu;
}

/*
 * Returns how many minions a request may name at an extra cost of at most
 * EXTRA_COST_SHARE of its base cost. The base cost is most of the total, so a
 * request names that many even if fewer would suffice.
 */
static uint32_t low_cost_count(const struct cell_advice_spec *advice)
{
	double n = CELL_ADVICE_MINIONS_MAX;

	if (advice->per_minion_ms > 0)
		n = EXTRA_COST_SHARE * advice->decide_ms /
		    advice->per_minion_ms;
	return n < CELL_ADVICE_MINIONS_MAX ? (uint32_t)n
					   : CELL_ADVICE_MINIONS_MAX;
}

/*
 * Adds the minions that have tickets about to expire, and free resources.
 * Returns their number; *@expected_slots becomes the slots of all tickets.
 */
static uint32_t select_renewals(struct cell *cell, struct cell_step *step,
				const struct cell_queue_spec *queue,
				struct advice_candidate *out,
				double *expected_slots, uint64_t now_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < step->grant_count; i++) {
		const struct cell_grant *g = &step->grants[i];
		struct cell_minion *m = cell->minions[g->minion];
		uint32_t fit;

		if (m->incarnation != g->incarnation ||
		    !cell_minion_suits(cell, m, step, queue, now_ms))
			continue;
		fit = cell_fit(m, step);
		*expected_slots += fit;
		if (g->until_ms < now_ms + RENEW_MS && fit &&
		    n < CELL_ADVICE_MINIONS_MAX)
			out[n++] =
				(struct advice_candidate){ .minion = g->minion,
							   .fit = fit };
	}
	return n;
}

/*
 * Adds the minions without a decision, those with free resources first. Returns
 * their number; *@with_room becomes that of the minions with free resources.
 */
static uint32_t select_undecided(struct cell *cell, struct cell_step *step,
				 const struct cell_queue_spec *queue,
				 struct advice_candidate *out,
				 uint32_t *with_room, uint64_t now_ms)
{
	uint32_t n = 0;

	*with_room = 0;
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		struct cell_minion *m = cell->minions[i];

		if (has_decision(step, m) ||
		    !cell_minion_suits(cell, m, step, queue, now_ms) ||
		    !capacity_suffices(m, step))
			continue;
		out[n] = (struct advice_candidate){ .minion = i,
						    .fit = cell_fit(m, step) };
		if (step->spec->same_rack)
			out[n].key = rack_key(cell, m);
		if (out[n].fit)
			swap_candidates(&out[n], &out[(*with_room)++]);
		n++;
	}
	if (step->spec->same_rack) {
		qsort(out, *with_room, sizeof(*out), compare_keys);
		qsort(out + *with_room, n - *with_room, sizeof(*out),
		      compare_keys);
	}
	return n;
}

/*
 * Selects the minions of a request: first those with free resources whose
 * ticket is about to expire, then those without a decision, with free resources
 * first, until the expected number of slots suffices. Concurrent requests draw
 * different minions: if all named those with the most free resources, the first
 * step would leave none for the others.
 */
static uint32_t select_minions(struct cell *cell, struct cell_step *step,
			       const struct cell_queue_spec *queue,
			       struct advice_candidate *out, uint64_t now_ms)
{
	double share = accept_rate_value(accept_rate_get(cell, queue->name));
	double needed =
		cell_step_unstarted(step) * SPARE_FACTOR + SPARE_MINIONS;
	double expected_slots = 0;
	uint32_t low_cost = low_cost_count(&queue->advice);
	uint32_t kept = select_renewals(cell, step, queue, out, &expected_slots,
					now_ms);
	uint32_t room_end = kept;
	uint32_t n = kept;

	if (expected_slots < needed) {
		n += select_undecided(cell, step, queue, out + kept, &room_end,
				      now_ms);
		room_end += kept;
	}
	for (uint32_t i = kept; i < n; i++) {
		uint32_t end = i < room_end ? room_end : n;

		if (i >= CELL_ADVICE_MINIONS_MAX ||
		    (expected_slots >= needed && i >= low_cost))
			return i;
		if (!step->spec->same_rack)
			swap_candidates(
				&out[i],
				&out[i + draw_number(cell, i) % (end - i)]);
		expected_slots += share * (out[i].fit ? out[i].fit : 0.3);
	}
	return n;
}

/* Returns how many of @up lanes are reserved for cheap requests. */
static uint32_t short_lane_count(uint32_t up)
{
	return up >= 3 ? (up + 3) / 4 : 0;
}

static uint64_t lane_backlog_ms(const struct cell_lane *lane, uint64_t now_ms)
{
	return lane->backlog_until_ms > now_ms ? lane->backlog_until_ms - now_ms
					       : 0;
}

static int compare_latency(const void *a, const void *b)
{
	const struct cell_lane *x = *(const struct cell_lane *const *)a;
	const struct cell_lane *y = *(const struct cell_lane *const *)b;

	if (x->latency_ms != y->latency_ms)
		return x->latency_ms < y->latency_ms ? -1 : 1;
	return x < y ? -1 : 1;
}

/* Ranks the lanes that are up by latency, if any has changed since. */
static void update_lane_ranks(struct cell *cell)
{
	struct cell_lane **up;

	if (cell->lanes_ranked)
		return;
	up = malloc((cell->lane_count + 1) * sizeof(struct cell_lane *));
	if (!up)
		abort();
	cell->lanes_up = 0;
	for (uint32_t i = 0; i < cell->lane_count; i++) {
		if (cell->lanes[i].up)
			up[cell->lanes_up++] = &cell->lanes[i];
	}
	qsort(up, cell->lanes_up, sizeof(*up), compare_latency);
	for (uint32_t i = 0; i < cell->lanes_up; i++)
		up[i]->rank = i;
	free(up);
	cell->lanes_ranked = true;
}

/* Returns true if a request of that cost may use the lane of that rank. */
static bool lane_accepts(uint32_t rank, uint32_t up, uint32_t cost_ms)
{
	uint32_t reserved = short_lane_count(up);
	uint32_t rest = up - reserved;

	if (cost_ms <= SHORT_COST_MAX_MS)
		return !reserved || rank < reserved;
	if (rank < reserved)
		return false;
	/* A third of the other lanes takes no expensive requests. */
	return cost_ms < LONG_COST_MIN_MS || rest <= 2 ||
	       rank >= reserved + rest / 3;
}

/*
 * Returns the latency to expect of the next request. The measured one is that
 * of earlier requests, so its weight falls while none is in flight.
 */
static double lane_latency_ms(const struct cell_lane *lane, uint64_t now_ms)
{
	uint64_t idle_ms = now_ms - lane->measured_ms;

	if (lane->in_flight || now_ms < lane->measured_ms)
		return lane->latency_ms;
	return lane->latency_ms * exp2(-(double)idle_ms / LATENCY_HALF_LIFE_MS);
}

/*
 * Returns the lane with the earliest expected response, or CELL_NONE if all are
 * backlogged. The lanes with the lowest latency serve cheap requests. If the
 * latency of all of them has reached the limit, an idle one is used: only a
 * response can show that it is no longer late.
 */
static uint32_t select_lane(struct cell *cell, uint32_t cost_ms,
			    uint64_t now_ms)
{
	uint32_t best = CELL_NONE;
	uint32_t late = CELL_NONE;
	double best_wait = INFINITY;
	bool all_late = true;

	update_lane_ranks(cell);
	for (uint32_t i = 0; i < cell->lane_count; i++) {
		const struct cell_lane *lane = &cell->lanes[i];
		double latency = lane_latency_ms(lane, now_ms);
		double backlog = (double)lane_backlog_ms(lane, now_ms);

		if (!lane->up ||
		    !lane_accepts(lane->rank, cell->lanes_up, cost_ms))
			continue;
		all_late &= latency >= BACKLOG_MAX_MS;
		if (backlog + latency < BACKLOG_MAX_MS &&
		    backlog + lane->latency_ms < best_wait) {
			best = i;
			best_wait = backlog + lane->latency_ms;
		}
		if (!lane->in_flight &&
		    (late == CELL_NONE ||
		     lane->latency_ms < cell->lanes[late].latency_ms))
			late = i;
	}
	return all_late ? late : best;
}

/* Returns how many lanes take requests of that cost. */
uint32_t cell_lanes_for(const struct cell *cell, double cost_ms)
{
	uint32_t n = 0;

	for (uint32_t rank = 0; rank < cell->lanes_up; rank++)
		n += lane_accepts(rank, cell->lanes_up, (uint32_t)cost_ms);
	return n;
}

/* Returns the cost of a typical request of a queue. */
double cell_advice_cost_ms(const struct cell_advice_spec *advice)
{
	return advice->decide_ms +
	       advice->per_minion_ms * low_cost_count(advice);
}

/*
 * Returns true if the step has found all lanes busy and no request was sent for
 * it yet.
 */
bool cell_step_waits_for_lane(const struct cell_step *step)
{
	return step->lanes_busy_ms && !step->advice_requests_sent;
}

/* Lets the step try again when a lane may be free. */
static void wait_for_lane(struct cell_step *step, uint64_t now_ms)
{
	if (!step->lanes_busy_ms)
		step->lanes_busy_ms = now_ms;
	step->advice_after_ms = now_ms + LANE_RETRY_MS;
}

static uint32_t advice_request_new(struct cell *cell)
{
	uint32_t i = 0;

	while (i < cell->advice_request_count && cell->advice_requests[i].used)
		i++;
	if (i == cell->advice_request_count) {
		cell->advice_requests =
			realloc(cell->advice_requests,
				(i + 1) * sizeof(*cell->advice_requests));
		if (!cell->advice_requests)
			abort();
		cell->advice_requests[i] = (struct cell_advice_pending){ 0 };
		cell->advice_request_count++;
	}
	cell->advice_requests[i].used = true;
	cell->advice_requests[i].generation =
		(cell->advice_requests[i].generation + 1) & 0xffff;
	return i;
}

static uint32_t advice_request_handle(const struct cell *cell, uint32_t at)
{
	return cell->advice_requests[at].generation << 16 | at;
}

/*
 * Requests tickets for the step if more could be used now. Returns true if a
 * request was sent.
 */
bool cell_request_advice(struct cell *cell, struct cell_step *step,
			 const struct cell_queue_spec *queue, uint64_t now_ms)
{
	struct advice_candidate *candidates;
	struct cell_advice_pending *q;
	struct cell_advice_request request;
	uint32_t at;
	uint32_t n;
	uint32_t cost;
	uint32_t lane;
	struct cell_task_name name;

	if (step->advice_in_flight || now_ms < step->advice_after_ms ||
	    !cell->lane_count)
		return false;
	if (cell->slice_requests >= REQUESTS_PER_SLICE) {
		cell->request_deferred = true;
		return false;
	}
	if (select_lane(cell, (uint32_t)queue->advice.decide_ms, now_ms) ==
	    CELL_NONE) {
		wait_for_lane(step, now_ms);
		return false;
	}
	cell->slice_requests++;
	candidates = malloc((cell->minion_count + CELL_ADVICE_MINIONS_MAX) *
			    sizeof(*candidates));
	if (!candidates)
		abort();
	n = select_minions(cell, step, queue, candidates, now_ms);
	if (!n) {
		step->lanes_busy_ms = 0;
		step->advice_after_ms = now_ms + ADVICE_RETRY_MS;
		free(candidates);
		return false;
	}
	cost = (uint32_t)ceil(queue->advice.decide_ms +
			      queue->advice.per_minion_ms * n);
	lane = select_lane(cell, cost, now_ms);
	if (lane == CELL_NONE) {
		wait_for_lane(step, now_ms);
		free(candidates);
		return false;
	}
	at = advice_request_new(cell);
	q = &cell->advice_requests[at];
	q->lane = lane;
	q->cost_ms = cost;
	q->sent_ms = now_ms;
	q->count = n;
	name = (struct cell_task_name){ .occurrence = step->occurrence,
					.step = step->index };
	memcpy(name.job, step->job->spec.id, sizeof(name.job));
	snprintf(q->step, sizeof(q->step), "%s.%u.%u", name.job,
		 name.occurrence, name.step);
	request = (struct cell_advice_request){ .handle = advice_request_handle(
							cell, at),
						.lane = lane,
						.count = n };
	memcpy(request.step, q->step, sizeof(request.step));
	for (uint32_t i = 0; i < n; i++) {
		struct cell_minion *m = cell->minions[candidates[i].minion];

		q->minions[i] = candidates[i].minion;
		q->incarnations[i] = m->incarnation;
		request.minions[i] = m->info.id;
	}
	if (cell->lanes[lane].backlog_until_ms < now_ms)
		cell->lanes[lane].backlog_until_ms = now_ms;
	cell->lanes[lane].backlog_until_ms += cost;
	q->due_ms = cell->lanes[lane].backlog_until_ms;
	cell->lanes[lane].in_flight++;
	step->advice_in_flight = true;
	step->advice_requests_sent++;
	step->lanes_busy_ms = 0;
	cell->stats.questions++;
	free(candidates);
	cell->owner->ops->request_advice(cell->owner, &request);
	return true;
}

static struct cell_step *
advice_request_step(struct cell *cell, const struct cell_advice_pending *q)
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
				  .incarnation =
					  cell->minions[minion]->incarnation,
				  .until_ms = until_ms };
	snprintf(g->ticket, sizeof(g->ticket), "%s", ticket);
}

/* Updates the latency of a lane by the response to a request, or its lack. */
static void lane_measure(struct cell *cell, struct cell_lane *lane,
			 const struct cell_advice_pending *q, uint64_t now_ms)
{
	double late_ms = now_ms > q->due_ms ? (double)(now_ms - q->due_ms) : 0;
	double before_ms = lane->latency_ms;

	lane->latency_ms += LATENCY_WEIGHT * (late_ms - lane->latency_ms);
	lane->measured_ms = now_ms;
	if ((before_ms < BACKLOG_MAX_MS) == (lane->latency_ms < BACKLOG_MAX_MS))
		return;
	cell_event(cell,
		   &(struct cell_event){ .what = "lane-latency",
					 .detail = before_ms < BACKLOG_MAX_MS
							   ? "late"
							   : "in time",
					 .input = (uint64_t)lane->latency_ms,
					 .value = q->lane });
}

static void lane_complete(struct cell *cell, struct cell_advice_pending *q,
			  uint64_t now_ms)
{
	struct cell_lane *lane;

	q->used = false;
	if (q->lane >= cell->lane_count)
		return;
	lane = &cell->lanes[q->lane];
	cell->lanes_ranked = false;
	if (q->due_ms && now_ms >= q->sent_ms)
		lane_measure(cell, lane, q, now_ms);
	if (lane->in_flight)
		lane->in_flight--;
	if (!lane->in_flight)
		lane->backlog_until_ms = now_ms;
}

static const char *ticket_find(struct cell *cell, uint32_t minion,
			       const struct cell_ticket *tickets,
			       uint32_t count)
{
	const char *id = cell->minions[minion]->info.id;

	for (uint32_t i = 0; i < count; i++) {
		if (!strcmp(tickets[i].minion, id))
			return tickets[i].ticket;
	}
	return NULL;
}

/* Handles the end of an advice request; @answered is false if it failed. */
void cell_on_advice(struct cell *cell, uint32_t handle, bool answered,
		    const struct cell_ticket *tickets, uint32_t count,
		    uint64_t now_ms)
{
	uint32_t at = handle & 0xffff;
	struct cell_advice_pending *q;
	struct cell_step *step;
	const struct cell_queue_spec *queue;
	struct cell_accept_rate *rate;
	uint32_t granted = 0;

	if (at >= cell->advice_request_count)
		return;
	q = &cell->advice_requests[at];
	if (!q->used || q->generation != handle >> 16)
		return;
	lane_complete(cell, q, now_ms);
	cell->dirty = true;
	step = advice_request_step(cell, q);
	if (!step)
		return;
	step->advice_in_flight = false;
	queue = cell->config ? cell_queue(cell, step->job->spec.queue) : NULL;
	if (!answered || !queue) {
		step->advice_after_ms =
			now_ms + (ADVICE_RETRY_MS << step->advice_failures);
		if (step->advice_failures < ADVICE_BACKOFF_MAX)
			step->advice_failures++;
		return;
	}
	step->advice_failures = 0;
	rate = accept_rate_get(cell, queue->name);
	for (uint32_t i = 0; i < q->count; i++) {
		uint32_t m = q->minions[i];
		const char *ticket;

		if (m >= cell->minion_count ||
		    cell->minions[m]->incarnation != q->incarnations[i])
			continue;
		ticket = ticket_find(cell, m, tickets, count);
		if (ticket)
			grant(cell, step, m, ticket,
			      now_ms + queue->advice.valid_ms -
				      RESPONSE_LATENCY_MS);
		set_decided(step, cell->minions[m], cell->minion_count);
		granted += ticket != NULL;
		rate->asked++;
		rate->accepted += ticket != NULL;
	}
	if (rate->asked > ACCEPT_RATE_WINDOW) {
		rate->asked /= 2;
		rate->accepted /= 2;
	}
	cell_event(cell, &(struct cell_event){ .what = "advice",
					       .job = q->step,
					       .age_ms = now_ms - q->sent_ms,
					       .value = granted });
}

/* Adds the lane of a daemon; @lane is a small number fixed for the daemon. */
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
	cell->lanes_ranked = false;
	cell->dirty = true;
}

/* Removes a lane; its requests in flight get no response. */
void cell_lane_lost(struct cell *cell, uint32_t lane)
{
	for (uint32_t i = 0; i < cell->advice_request_count; i++) {
		struct cell_advice_pending *q = &cell->advice_requests[i];
		struct cell_step *step;

		if (!q->used || q->lane != lane)
			continue;
		q->used = false;
		step = advice_request_step(cell, q);
		if (step)
			step->advice_in_flight = false;
	}
	if (lane < cell->lane_count)
		cell->lanes[lane] = (struct cell_lane){ 0 };
	cell->lanes_ranked = false;
	cell->dirty = true;
}

void cell_advice_free(struct cell *cell)
{
	free(cell->lanes);
	free(cell->advice_requests);
	free(cell->accept_rates);
}
