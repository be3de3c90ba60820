/*
 * Room for gangs that wait. A gang starts only when all its places are free at
 * the same time, so smaller steps that take each place as it becomes free could
 * keep it waiting for as long as they come. Other steps prefer minions that no
 * waiting gang may use. Steps of less urgent queues leave those minions alone
 * altogether, as long as they will still meet their deadline later.
 *
 * Load: the grown deployments at 73% of their processors, where a quarter of
 * the work are gangs of 20 tasks that may run on a quarter of the minions, and
 * the rest is short or has time.
 */
#include <stdio.h>
#include <string.h>

#include "cell/cell_int.h"

/*
 * A gang that still waits is tried again within this time, in ms; it covers the
 * longest gap between two passes.
 */
#define WANTED_MS 120
/* A step that gives way keeps this much time beside its own work, in ms. */
#define SLACK_MS 1000
/*
 * Below this share of the processors in use, in percent, nobody gives way: what
 * a gang lacks then is not room that others take.
 */
#define BUSY_PERCENT 60

static void want(struct cell_minion *m, uint32_t priority, uint64_t now_ms)
{
	if (!cell_minion_wanted(m, now_ms) || priority < m->wanted_priority)
		m->wanted_priority = priority;
	m->wanted_ms = now_ms;
}

/* Returns how many tasks of the step an empty minion would take. */
static uint32_t places(const struct cell_minion *m,
		       const struct cell_step *step)
{
	struct cell_minion empty = { .info = m->info };

	return cell_fit(&empty, step);
}

/*
 * Keeps minions that have room at present, or that have none, until @lacking
 * places are found. Returns how many still lack.
 */
static uint32_t want_any(struct cell *cell, const struct cell_step *step,
			 const struct cell_queue_spec *queue, bool with_room,
			 uint32_t lacking, uint64_t now_ms)
{
	for (uint32_t i = 0; i < cell->minion_count && lacking; i++) {
		struct cell_minion *m = cell->minions[i];
		uint32_t n;

		if ((cell_fit(m, step) > 0) != with_room ||
		    !cell_minion_suits(cell, m, step, queue, now_ms))
			continue;
		want(m, queue->priority, now_ms);
		n = places(m, step);
		lacking -= n < lacking ? n : lacking;
	}
	return lacking;
}

/*
 * Returns true if most processors of a service are in use. All gangs of a pass
 * ask at the same time, so the latest answer is kept.
 */
static bool is_busy(struct cell *cell, const char *service, uint64_t now_ms)
{
	uint64_t used = 0;
	uint64_t total = 0;

	if (cell->load_ms == now_ms && !strcmp(cell->load_service, service))
		return cell->load_busy;
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
	cell->load_busy = used * 100 > total * BUSY_PERCENT;
	return cell->load_busy;
}

/*
 * Notes that a gang waits for room. Where tickets are needed it can use the
 * minions that have been granted, otherwise any that suits.
 */
void cell_gang_waits(struct cell *cell, const struct cell_step *step,
		     const struct cell_queue_spec *queue, uint64_t now_ms)
{
	if (!is_busy(cell, queue->service, now_ms))
		return;
	if (!queue->advice.needed) {
		uint32_t lacking =
			want_any(cell, step, queue, true, step->left, now_ms);

		want_any(cell, step, queue, false, lacking, now_ms);
		return;
	}
	for (uint32_t i = 0; i < step->grant_count; i++) {
		const struct cell_grant *g = &step->grants[i];

		if (cell->minions[g->minion]->life == g->life)
			want(cell->minions[g->minion], queue->priority, now_ms);
	}
}

/* Returns true if a gang waits for room on the minion. */
bool cell_minion_wanted(const struct cell_minion *m, uint64_t now_ms)
{
	return m->wanted_ms && now_ms < m->wanted_ms + WANTED_MS;
}

/* Returns true if the step leaves the minion to a gang that waits. */
bool cell_gives_way(const struct cell *cell, const struct cell_minion *m,
		    const struct cell_step *step,
		    const struct cell_queue_spec *queue, uint64_t now_ms)
{
	uint64_t ends_ms = cell->unix_ms + step->spec->estimate_ms;

	return !step->spec->long_running && cell_minion_wanted(m, now_ms) &&
	       queue->priority > m->wanted_priority &&
	       ends_ms + SLACK_MS < step->job->deadline_unix_ms;
}
