/*
 * Overload: which queues have more jobs than can start in time, and which new
 * jobs are refused for it. The bottleneck is the set of a contained queue, or
 * the lanes to the advice service, which are as many as there are daemons.
 */
#include <stdlib.h>

#include "cell/cell_int.h"

/*
 * A queue takes no new jobs while one of its steps has waited longer than this
 * for a lane, and the lanes need longer than this for all that wait, in ms.
 * Steps of less urgent queues would wait for as long as jobs of the others keep
 * coming.
 */
#define LANE_WAIT_MAX_MS 5000

/* Steps of a queue that wait for a lane. */
struct lane_wait {
	const struct cell_queue_spec *queue;
	double cost_ms;	    /* of their requests, by lane */
	uint64_t oldest_ms; /* when the first of them found all lanes busy */
};

/* Returns how many steps of the occurrence depend on others still to be done.
 */
static uint32_t count_blocked(const struct cell_step *step)
{
	const struct cell_step *first = step - step->index;
	uint32_t n = 0;

	for (uint32_t i = 0; i < step->job->spec.step_count; i++)
		n += !first[i].unblocked;
	return n;
}

static struct lane_wait *lane_wait_get(struct lane_wait *waits, uint32_t *count,
				       const struct cell_queue_spec *queue)
{
	for (uint32_t i = 0; i < *count; i++) {
		if (waits[i].queue == queue)
			return &waits[i];
	}
	waits[*count] =
		(struct lane_wait){ .queue = queue, .oldest_ms = UINT64_MAX };
	return &waits[(*count)++];
}

/* Adds up the steps that wait for a lane, by queue; returns how many. */
static uint32_t collect_lane_waits(const struct cell *cell,
				   struct lane_wait *waits)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < cell->ready_count; i++) {
		const struct cell_step *step = cell->ready[i];
		const struct cell_queue_spec *queue;
		struct lane_wait *wait;
		double cost;

		if (!cell_step_waits_for_lane(step))
			continue;
		queue = cell_queue(cell, step->job->spec.queue);
		if (!queue || cell_contain_active(cell, queue->name))
			continue;
		wait = lane_wait_get(waits, &count, queue);
		cost = cell_advice_cost_ms(&queue->advice);
		wait->cost_ms += cost * (1 + count_blocked(step)) /
				 cell_lanes_for(cell, cost);
		if (step->lanes_busy_ms < wait->oldest_ms)
			wait->oldest_ms = step->lanes_busy_ms;
	}
	return count;
}

/*
 * Returns true if a new job of the queue of @wait would wait too long for a
 * lane: for the steps of more urgent queues and of its own, of which the first
 * has waited as long already. A new holder, which asks for all steps again, is
 * not overloaded by that alone.
 */
static bool lanes_overloaded(const struct lane_wait *waits, uint32_t count,
			     const struct lane_wait *wait, uint64_t now_ms)
{
	double ms = 0;

	if (now_ms <= wait->oldest_ms + LANE_WAIT_MAX_MS)
		return false;
	for (uint32_t i = 0; i < count; i++) {
		if (waits[i].queue->priority <= wait->queue->priority)
			ms += waits[i].cost_ms;
	}
	return ms > LANE_WAIT_MAX_MS;
}

/*
 * Calls @fn for each overloaded queue with the time that a new job would wait
 * for its first start.
 */
void cell_each_overload(const struct cell *cell, cell_overload_fn fn, void *ctx,
			uint64_t now_ms)
{
	struct lane_wait *waits;
	uint32_t count;

	cell_contain_each_wait(cell, fn, ctx);
	if (!cell->lanes_up)
		return;
	waits = malloc((cell->ready_count + 1) * sizeof(*waits));
	if (!waits)
		abort();
	count = collect_lane_waits(cell, waits);
	for (uint32_t i = 0; i < count; i++) {
		if (lanes_overloaded(waits, count, &waits[i], now_ms))
			fn(ctx, waits[i].queue->name, CELL_WAIT_UNBOUNDED);
	}
	free(waits);
}

/* Returns true if a job that waits so long for its first start ends late. */
bool cell_job_is_late(const struct cell_queue_spec *queue,
		      const struct cell_job_spec *spec, uint32_t wait_ms)
{
	uint64_t path_ms = cell_critical_path_ms(spec);
	double objective_ms = queue->slo_ms + queue->stretch * (double)path_ms;

	return wait_ms && !spec->repeat_count &&
	       (double)(wait_ms + path_ms) > objective_ms;
}
