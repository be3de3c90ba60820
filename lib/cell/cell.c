/* Cell scheduler: construction, configuration, ticks and statistics. */
#include "cell/cell.h"

#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/*
 * Run numbers carry the fencing token, which is never reused, in the high bits.
 */
#define RUNS_PER_TERM_BITS 22
/* Interval between two purges of ended jobs, in ms. */
#define PURGE_INTERVAL_MS 5000
/*
 * A pass walks all ready steps. While there are more than BUSY_READY_STEPS,
 * passes are BUSY_PASS_INTERVAL_MS apart, and longer in proportion to the
 * number of steps, so that a backlog does not take all of the processor.
 */
#define BUSY_READY_STEPS 12
#define BUSY_PASS_INTERVAL_MS 6
#define READY_STEPS_PER_MS 12
/* Interval of the slices of a pass that has many advice requests, in ms. */
#define SLICE_INTERVAL_MS 10
/* Tickets expire without an event, so passes are at most this many ms apart. */
#define PASS_INTERVAL_MAX_MS 50

/* Creates a cell in replay mode, which cell_replay_done() ends. */
struct cell *cell_new(struct cell_owner *owner,
		      const struct cell_settings *settings, uint64_t now_ms)
{
	struct cell *cell = calloc(1, sizeof(*cell));

	if (!cell)
		abort();
	cell->owner = owner;
	cell->settings = *settings;
	cell->started_ms = now_ms;
	cell->replaying = true;
	cell->deferred_from = CELL_NONE;
	cell->next_run = (settings->token << RUNS_PER_TERM_BITS) + 1;
	return cell;
}

static void queue_index_free(struct cell *cell)
{
	HASH_CLEAR(hh, cell->queues);
	free(cell->queue_refs);
	cell->queue_refs = NULL;
}

void cell_free(struct cell *cell)
{
	if (!cell)
		return;
	cell_jobs_free(cell);
	cell_expired_free(cell);
	cell_tombstones_free(cell);
	cell_minions_free(cell);
	cell_advice_free(cell);
	cell_interference_free(cell);
	cell_learn_free(cell);
	queue_index_free(cell);
	cell_teams_free(cell);
	free(cell->ready);
	free(cell->pending);
	free(cell->contained);
	free(cell->zones);
	free(cell);
}

/*
 * Sets the configuration, which the caller keeps alive until the next one is
 * set. Queues are indexed by name: there may be thousands, and each pass looks
 * up the queue of every ready step.
 */
void cell_set_config(struct cell *cell, const struct cell_config *config)
{
	queue_index_free(cell);
	cell->config = config;
	cell->dirty = true;
	cell_teams_configure(cell);
	if (!config)
		return;
	cell->queue_refs =
		calloc(config->queue_count + 1, sizeof(*cell->queue_refs));
	if (!cell->queue_refs)
		abort();
	for (uint32_t i = 0; i < config->queue_count; i++) {
		const struct cell_queue_spec *queue = &config->queues[i];
		struct cell_queue_ref *ref = &cell->queue_refs[i];

		ref->queue = queue;
		HASH_ADD_KEYPTR(hh, cell->queues, queue->name,
				strlen(queue->name), ref);
	}
}

/* Returns the queue of that name in the current configuration, or NULL. */
const struct cell_queue_spec *cell_queue(const struct cell *cell,
					 const char *name)
{
	struct cell_queue_ref *ref;

	HASH_FIND_STR(cell->queues, name, ref);
	return ref ? ref->queue : NULL;
}

/*
 * Sets whether this term is valid, and the time as of which the store confirmed
 * that no later term had begun: what was learned before that is not used to
 * start a task that a successor may run. While the term is not valid, no run is
 * started and no lease is renewed; ends of runs are still processed.
 */
void cell_set_term_valid(struct cell *cell, bool valid, uint64_t confirmed_ms)
{
	if (cell->valid != valid)
		cell->dirty = true;
	cell->valid = valid;
	cell->confirmed_ms = confirmed_ms;
}

/* Returns the minimum time between two passes, in ms. */
static uint64_t pass_interval_ms(const struct cell *cell)
{
	uint64_t interval = cell->ready_count / READY_STEPS_PER_MS;

	if (!cell->dirty || interval > PASS_INTERVAL_MAX_MS)
		return PASS_INTERVAL_MAX_MS;
	if (cell->ready_count <= BUSY_READY_STEPS)
		return 0;
	return interval > BUSY_PASS_INTERVAL_MS ? interval
						: BUSY_PASS_INTERVAL_MS;
}

/* Runs due timers, and a scheduling pass if the state has changed. */
void cell_tick(struct cell *cell, uint64_t unix_ms, uint64_t now_ms)
{
	if (cell->replaying)
		return;
	cell->unix_ms = unix_ms;
	cell->tick_ms = now_ms;
	cell_jobs_add_due(cell, unix_ms, now_ms);
	cell_minions_tick(cell, now_ms);
	cell_former_starts_expire(cell, now_ms);
	cell_interference_tick(cell, now_ms);
	if (now_ms >= cell->next_purge_ms) {
		cell->next_purge_ms = now_ms + PURGE_INTERVAL_MS;
		cell_jobs_purge(cell, now_ms);
		cell_tombstones_expire(cell, now_ms);
	}
	if (now_ms >= cell->last_pass_ms + pass_interval_ms(cell)) {
		cell->last_pass_ms = now_ms;
		cell->last_slice_ms = now_ms;
		cell_schedule(cell, now_ms);
	} else if (cell->deferred_from != CELL_NONE &&
		   now_ms >= cell->last_slice_ms + SLICE_INTERVAL_MS) {
		cell->last_slice_ms = now_ms;
		cell_schedule_deferred(cell, now_ms);
	}
}

void cell_get_stats(const struct cell *cell, struct cell_stats *stats)
{
	*stats = cell->stats;
	stats->jobs = HASH_COUNT(cell->jobs);
	stats->live_jobs = cell->live_jobs;
	stats->ready_steps = cell->ready_count;
	stats->unsettled = cell->unsettled;
	stats->tombstones = cell_tombstone_count(cell);
	stats->order_timeout_ms = cell_longest_order_timeout_ms(cell);
	stats->minions = 0;
	stats->failing = 0;
	stats->running = 0;
	stats->used_cpu_milli = 0;
	stats->total_cpu_milli = 0;
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_minion *m = cell->minions[i];

		if (!m->used)
			continue;
		stats->minions += m->listed;
		stats->failing += m->listed && m->failing;
		stats->running += m->run_count;
		stats->used_cpu_milli += m->held.cpu_milli;
		stats->total_cpu_milli += m->info.capacity.cpu_milli;
	}
}
