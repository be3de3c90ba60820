/*
 * Filling tasks live on the processors that others leave unused, and disturb
 * the serving tasks beside them by amounts that change within seconds. They are
 * slowed down as soon as a tail latency comes close to its target, and get more
 * again in steps while it is well below.
 */
#include <string.h>

#include "cell/cell_int.h"

/*
 * Shares of the target, in percent: from HIGH on the filling tasks work at half
 * of their pace, beyond the target not at all, and below LOW they get more.
 * Between LOW and HIGH nothing changes, so that rough figures do not make the
 * pace swing.
 */
#define HIGH_PERCENT 85
#define LOW_PERCENT 60
/* A tail has to stay low for so long before a step up, in ms. */
#define CALM_MS 1500
/* Percent that a step up adds. */
#define STEP_PERCENT 10
/* A pace below this does not pay for the memory that is held, in percent. */
#define LEAST_PERCENT 10
/* Figures cover the last half second, so looks are that far apart, in ms. */
#define LOOK_MS 500
/* A pace without an answer is sent again after this, in ms. */
#define RETRY_MS 300

/* Returns true if the minion has both kinds of tasks, so that looks are due. */
bool cell_minion_paced(const struct cell_minion *m)
{
	bool fills = false;
	bool serves = false;

	for (uint32_t i = 0; i < m->run_count; i++) {
		fills |= m->runs[i].fills;
		serves |= m->runs[i].target_ms > 0;
	}
	return fills && serves;
}

/* Returns how long the next look at the minion may wait for an end, in ms. */
uint32_t cell_minion_look_wait(const struct cell *cell,
			       const struct cell_minion *m)
{
	if (cell->settings.hold_wait_ms > LOOK_MS && cell_minion_paced(m))
		return LOOK_MS;
	return cell->settings.hold_wait_ms;
}

/* Returns the highest tail on the minion, in percent of its target. */
static uint32_t worst_tail(const struct cell_minion *m)
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
				  .percent = run->pace };

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

/* Returns the pace that follows from the worst tail, in percent. */
static uint32_t next_pace(const struct cell_run *run, uint32_t tail, bool calm)
{
	uint32_t half = run->pace / 2;

	/* An earlier term has set it: nothing but the order itself tells. */
	if (run->pace == CELL_PACE_UNKNOWN)
		return tail >= LOW_PERCENT ? 0 : CELL_PACE_FULL;
	if (tail >= 100)
		return 0;
	if (tail >= HIGH_PERCENT)
		return half < LEAST_PERCENT ? 0 : half;
	if (!calm)
		return run->pace;
	return run->pace + STEP_PERCENT > CELL_PACE_FULL
		       ? CELL_PACE_FULL
		       : run->pace + STEP_PERCENT;
}

/* Decides the pace of the filling tasks from the latest report. */
void cell_minion_pace(struct cell *cell, struct cell_minion *m, uint64_t now_ms)
{
	uint32_t tail = worst_tail(m);
	bool calm;

	if (tail >= LOW_PERCENT)
		m->calm_ms = now_ms;
	calm = now_ms >= m->calm_ms + CALM_MS;
	if (calm)
		m->calm_ms = now_ms;
	for (uint32_t i = 0; i < m->run_count && cell->valid; i++) {
		struct cell_run *run = &m->runs[i];

		if (!run->fills || run->stopping)
			continue;
		set_pace(cell, m, run, next_pace(run, tail, calm), tail,
			 now_ms);
		if (!run->pace_acked && now_ms >= run->pace_sent_ms + RETRY_MS)
			send_pace(cell, m, run, now_ms);
	}
}

/* Takes the answer to an order that paced a run to @percent. */
void cell_on_pace(struct cell *cell, uint32_t minion, const char *task,
		  uint64_t run, uint32_t percent, enum cell_result result)
{
	struct cell_minion *m =
		minion < cell->minion_count ? cell->minions[minion] : NULL;
	struct cell_run *r = m && m->used ? cell_run_find(m, task, run) : NULL;

	if (r && result == CELL_OK && r->pace == percent)
		r->pace_acked = true;
}
