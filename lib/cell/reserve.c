/*
 * Reservations for waiting gangs. A gang starts only when all its slots are
 * free at the same time, so a stream of smaller steps that take each slot as it
 * becomes free could starve it. Minions that a waiting gang may use are
 * reserved: other steps prefer minions without a reservation, and steps of less
 * urgent queues skip reserved ones while they can still meet their deadline.
 *
 * Needed in large deployments at 73% CPU utilization, where a
 * quarter of the work is gangs of 20 tasks that may run on a quarter of the
 * minions, and the rest is short or has late deadlines.
 */
#include <stdio.h>
#include <string.h>

#include "cell/cell_int.h"

/*
 * Lifetime of a reservation, in ms. A waiting gang is tried again, and renews
 * it, within the longest interval between two passes.
 */
#define RESERVATION_MS 120
/* Time before its deadline that a yielding step keeps as slack, in ms. */
#define YIELD_SLACK_MS 1000
/*
 * Below this CPU utilization, in percent, nothing is reserved: a gang then
 * waits for something other than resources that other steps use.
 */
#define RESERVE_MIN_LOAD_PERCENT 60

static void reserve(struct cell_minion *m, uint32_t priority, uint64_t now_ms)
{
	if (!cell_minion_reserved(m, now_ms) || priority < m->reserved_priority)
		m->reserved_priority = priority;
	m->reserved_ms = now_ms;
}

/* Returns how many tasks of the step fit on the minion when it is empty. */
static uint32_t slots_when_empty(const struct cell_minion *m,
				 const struct cell_step *step)
{
	struct cell_minion empty = { .info = m->info };

	return cell_fit(&empty, step);
}

/*
 * Reserves minions that have free slots now (@with_room), or that have none,
 * until they make up @missing_slots. Returns how many slots are still missing.
 */
static uint32_t reserve_any(struct cell *cell, const struct cell_step *step,
			    const struct cell_queue_spec *queue, bool with_room,
			    uint32_t missing_slots, uint64_t now_ms)
{
	for (uint32_t i = 0; i < cell->minion_count && missing_slots; i++) {
		struct cell_minion *m = cell->minions[i];
		uint32_t n;

		if ((cell_fit(m, step) > 0) != with_room ||
		    !cell_minion_suits(cell, m, step, queue, now_ms))
			continue;
		reserve(m, queue->priority, now_ms);
		n = slots_when_empty(m, step);
		missing_slots -= n < missing_slots ? n : missing_slots;
	}
	return missing_slots;
}

/*
 * Returns true if the CPU utilization of a service is high. The latest result
 * is cached, as all gangs of a pass need it at the same time.
 */
static bool is_loaded(struct cell *cell, const char *service, uint64_t now_ms)
{
	uint64_t used = 0;
	uint64_t total = 0;

	if (cell->load_ms == now_ms && !strcmp(cell->load_service, service))
		return cell->load_high;
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_minion *m = cell->minions[i];

		if (!m->used || !m->listed ||
		    strcmp(m->info.service, service) != 0)
			continue;
		used += m->held.cpu_milli;
		total += m->info.capacity.cpu_milli;
	}
	snprintf(cell->load_service, sizeof(cell->load_service), "%s", service);
	cell->load_ms = now_ms;
	cell->load_high = used * 100 > total * RESERVE_MIN_LOAD_PERCENT;
	return cell->load_high;
}

/*
 * Reserves minions for a waiting gang: those with a grant if its queue needs
 * tickets, otherwise any that suit.
 */
void cell_gang_reserve(struct cell *cell, const struct cell_step *step,
		       const struct cell_queue_spec *queue, uint64_t now_ms)
{
	if (!is_loaded(cell, queue->service, now_ms))
		return;
	if (!queue->advice.needed) {
		uint32_t missing_slots = reserve_any(cell, step, queue, true,
						     step->tasks_left, now_ms);

		reserve_any(cell, step, queue, false, missing_slots, now_ms);
		return;
	}
	for (uint32_t i = 0; i < step->grant_count; i++) {
		const struct cell_grant *g = &step->grants[i];

		if (cell->minions[g->minion]->incarnation == g->incarnation)
			reserve(cell->minions[g->minion], queue->priority,
				now_ms);
	}
}

/* Returns true if the minion is reserved for a waiting gang. */
bool cell_minion_reserved(const struct cell_minion *m, uint64_t now_ms)
{
	return m->reserved_ms && now_ms < m->reserved_ms + RESERVATION_MS;
}

/* Returns true if the step must leave the minion to a waiting gang. */
bool cell_step_yields(const struct cell *cell, const struct cell_minion *m,
		      const struct cell_step *step,
		      const struct cell_queue_spec *queue, uint64_t now_ms)
{
	uint64_t ends_ms = cell->unix_ms +
			   cell_learn_step_ms(cell, queue->name, step->spec);

	return !step->spec->long_running && cell_minion_reserved(m, now_ms) &&
	       queue->priority > m->reserved_priority &&
	       ends_ms + YIELD_SLACK_MS < step->deadline_unix_ms;
}
