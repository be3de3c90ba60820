/*
 * Pacing of best-effort tasks. They run on idle CPUs and interfere with the
 * serving tasks on the same minion to a degree that varies within seconds. They
 * are throttled as soon as a tail latency comes close to its target, and sped
 * up again in steps while it is well below.
 */
#include <string.h>

#include "cell/cell_int.h"

/*
 * Tail latency in percent of its target. From HIGH on the pace of best-effort
 * tasks is halved, from the target on they are paused, and below LOW the pace
 * rises. In between it stays: hysteresis, as the reported tails are noisy.
 */
#define TAIL_HIGH_PERCENT 85
#define TAIL_LOW_PERCENT 60
/* How long all tails have to stay low before a step up, in ms. */
#define TAIL_LOW_HOLD_MS 1500
/* Step up, in percent of full speed. */
#define PACE_STEP_PERCENT 10
/*
 * Minimum pace, in percent. Below it a task is paused: it would do too little
 * work for the memory that it holds.
 */
#define PACE_MIN_PERCENT 10
/* Polling interval, in ms: reported loads cover the last half second. */
#define POLL_INTERVAL_MS 500
/* An unacknowledged pace order is resent after this time, in ms. */
#define PACE_RETRY_MS 300

/* Returns true if the minion runs both best-effort and serving tasks. */
bool cell_minion_needs_pacing(const struct cell_minion *m)
{
	bool fills = false;
	bool serving = false;

	for (uint32_t i = 0; i < m->run_count; i++) {
		fills |= m->runs[i].fills;
		serving |= m->runs[i].target_ms > 0;
	}
	return fills && serving;
}

/* Returns how long the next poll of the minion may wait for an end, in ms. */
uint32_t cell_minion_poll_wait_ms(const struct cell *cell,
				  const struct cell_minion *m)
{
	if (cell->settings.poll_wait_ms > POLL_INTERVAL_MS &&
	    cell_minion_needs_pacing(m))
		return POLL_INTERVAL_MS;
	return cell->settings.poll_wait_ms;
}

/* Returns the highest tail latency on the minion, in percent of its target. */
static uint32_t worst_tail_percent(const struct cell_minion *m)
{
	uint64_t worst = 0;

	for (uint32_t i = 0; i < m->run_count; i++) {
		const struct cell_run *run = &m->runs[i];
		uint64_t percent;

		if (!run->target_ms)
			continue;
		percent = (uint64_t)run->load * 100 / run->target_ms;
		if (percent > worst)
			worst = percent;
	}
	return worst > UINT32_MAX ? UINT32_MAX : (uint32_t)worst;
}

static void send_pace(struct cell *cell, struct cell_minion *m,
		      struct cell_run *run, uint64_t now_ms)
{
	struct cell_pace pace = { .minion = m->handle,
				  .addr = m->info.addr,
				  .minion_id = m->info.id,
				  .run = run->run,
				  .percent = run->pace,
				  .timeout_ms =
					  cell_order_timeout_ms(cell, m) };

	memcpy(pace.task, run->task, sizeof(pace.task));
	run->pace_sent_ms = now_ms;
	cell->owner->ops->pace(cell->owner, &pace);
}

static void set_pace(struct cell *cell, struct cell_minion *m,
		     struct cell_run *run, uint32_t percent, uint32_t tail,
		     uint64_t now_ms)
{
	if (run->pace == percent)
		return;
	run->pace = (uint8_t)percent;
	run->pace_acked = false;
	cell_event(cell, &(struct cell_event){ .what = "run-paced",
					       .task = run->task,
					       .minion = m->info.id,
					       .run = run->run,
					       .input = tail,
					       .value = percent });
	send_pace(cell, m, run, now_ms);
}

/* Returns the next pace for the highest tail, in percent. */
static uint32_t next_pace(const struct cell_run *run, uint32_t tail,
			  bool tail_low)
{
	uint32_t half = run->pace / 2;

	/* Set by an earlier term; the minion does not report it. */
	if (run->pace == CELL_PACE_UNKNOWN)
		return tail >= TAIL_LOW_PERCENT ? 0 : CELL_PACE_FULL;
	if (tail >= 100)
		return 0;
	if (tail >= TAIL_HIGH_PERCENT)
		return half < PACE_MIN_PERCENT ? 0 : half;
	if (!tail_low)
		return run->pace;
	return run->pace + PACE_STEP_PERCENT > CELL_PACE_FULL
		       ? CELL_PACE_FULL
		       : run->pace + PACE_STEP_PERCENT;
}

/* Updates the pace of the best-effort tasks from the latest report. */
void cell_minion_update_pace(struct cell *cell, struct cell_minion *m,
			     uint64_t now_ms)
{
	uint32_t tail = worst_tail_percent(m);
	bool tail_low;

	if (tail >= TAIL_LOW_PERCENT)
		m->tail_low_ms = now_ms;
	tail_low = now_ms >= m->tail_low_ms + TAIL_LOW_HOLD_MS;
	if (tail_low)
		m->tail_low_ms = now_ms;
	for (uint32_t i = 0; i < m->run_count && cell->valid; i++) {
		struct cell_run *run = &m->runs[i];

		if (!run->fills || run->stopping)
			continue;
		set_pace(cell, m, run, next_pace(run, tail, tail_low), tail,
			 now_ms);
		if (!run->pace_acked &&
		    now_ms >= run->pace_sent_ms + PACE_RETRY_MS)
			send_pace(cell, m, run, now_ms);
	}
}

/* Handles the response to an order that set the pace of a run to @percent. */
void cell_on_pace(struct cell *cell, uint32_t minion, const char *task,
		  uint64_t run, uint32_t percent, enum cell_result result)
{
	struct cell_minion *m =
		minion < cell->minion_count ? cell->minions[minion] : NULL;
	struct cell_run *r = m && m->used ? cell_run_find(m, task, run) : NULL;

	if (r && result == CELL_OK && r->pace == percent)
		r->pace_acked = true;
}
