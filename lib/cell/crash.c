/*
 * Tasks that crash their minion. A minion that is lost takes all of its runs
 * with it, of which at most one is the cause. Each of them gets a share of the
 * blame, the larger the shorter it had run: nothing is known of the time from
 * start to crash, so each order of magnitude is taken as equally likely. A part
 * is left for causes other than runs, by the rate at which minions are lost.
 *
 * A suspect, a task with much blame or with repeated crashes, is started again
 * only in isolation (isolate.c). A task that is the likely cause of repeated
 * crashes is given up, and its job fails.
 *
 * Losses that no single task explains leave no blame: minions that fail at the
 * same moment, as those of a rack without power, those that are silent until
 * their lease ends, as if cut off by the network, and those that drained.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/* Blame is counted in thousandths of a crash. */
#define BLAME_UNIT 1000
/*
 * Added to the age of a run, in ms: below it, delays of orders and polls hide
 * which run began last.
 */
#define AGE_FLOOR_MS 20
/*
 * A failure within this time of a start, in ms, or of a run in isolation, is
 * explained by that run: it is no sign of a common cause.
 */
#define EXPLAINED_AGE_MS 100
/*
 * Share of the tasks that are taken to crash their minion before anything is
 * known of them: a crash of a run of seconds is rather of another cause.
 */
#define CRASHING_SHARE 0.02
/* Natural logarithm of the range of times from start to crash: 10 ms to 100 s.
 */
#define AGE_LOG_RANGE 9.2
/* Time constant of the rate at which minions are lost, in ms. */
#define LOSS_WINDOW_MS 30000
/*
 * A task that has once run for longer than AGE_SPREAD times the age at which a
 * crash took it, and a margin in ms for late reports, did not cause that crash.
 */
#define AGE_SPREAD 2
#define AGE_MARGIN_MS 500
/* Blame from which a task is suspected: the more likely cause than not. */
#define SUSPECT_BLAME 500
/* Crashes from which a task is suspected whatever its blame. */
#define SUSPECT_CRASHES 2
/* The same, with those that it did not cause. */
#define SUSPECT_CRASHES_ANY 3
/*
 * A crash is decisive if so much of the blame falls on one run that is known to
 * have begun, and likely if a fifth does: the tasks of a step that start
 * together on a minion share the blame. A task is given up after
 * GIVE_UP_DECISIVE decisive crashes, after one such among GIVE_UP_LIKELY likely
 * ones, and after GIVE_UP_CRASHES of any kind.
 */
#define DECISIVE_BLAME 600
#define LIKELY_BLAME 200
#define GIVE_UP_DECISIVE 2
#define GIVE_UP_LIKELY 3
#define GIVE_UP_CRASHES 5
/*
 * Minions that fail within this time of each other, in ms, fail for a common
 * cause if there are COMMON_CAUSE_MINIONS of them: as connections break, and if
 * polls time out.
 */
#define COMMON_CAUSE_MS 10
#define COMMON_CAUSE_TIMEOUT_MS 2000
#define COMMON_CAUSE_MINIONS 3

/* The crashes that a task may have caused. */
struct evidence {
	uint32_t count;
	uint32_t decisive;
	uint32_t likely;
	uint32_t blame;
};

static struct evidence get_evidence(const struct cell_task *task)
{
	struct evidence e = { 0 };
	uint64_t survived_ms = 0;

	for (uint32_t i = 0; i < task->crash_count; i++) {
		if (task->crashes[i].age_ms > survived_ms)
			survived_ms = task->crashes[i].age_ms;
	}
	for (uint32_t i = 0; i < task->crash_count; i++) {
		const struct cell_crash *crash = &task->crashes[i];

		if (crash->age_ms * AGE_SPREAD + AGE_MARGIN_MS < survived_ms)
			continue;
		e.count++;
		e.decisive += crash->begun && crash->blame >= DECISIVE_BLAME;
		e.likely += crash->begun && crash->blame >= LIKELY_BLAME;
		e.blame += crash->blame;
	}
	return e;
}

/* Returns true if the task may start only in isolation. */
bool cell_task_suspect(const struct cell_task *task)
{
	struct evidence e = get_evidence(task);

	return e.count >= SUSPECT_CRASHES || e.blame >= SUSPECT_BLAME ||
	       task->crash_count >= SUSPECT_CRASHES_ANY;
}

/* Returns how many crashes the task may have caused. */
uint32_t cell_task_crashes(const struct cell_task *task)
{
	return get_evidence(task).count;
}

/* Returns true if the step has a suspect that is not done. */
bool cell_step_suspect(const struct cell_step *step)
{
	for (uint32_t i = 0; i < step->spec->count && step->crashes; i++) {
		if (step->tasks[i].state != CELL_TASK_DONE &&
		    cell_task_suspect(&step->tasks[i]))
			return true;
	}
	return false;
}

static bool must_give_up(const struct cell_task *task)
{
	struct evidence e = get_evidence(task);

	return task->crash_count >= GIVE_UP_CRASHES ||
	       e.decisive >= GIVE_UP_DECISIVE ||
	       (e.decisive && e.likely >= GIVE_UP_LIKELY);
}

static bool crash_known(const struct cell_task *task, uint64_t run)
{
	for (uint32_t i = 0; i < task->crash_count; i++) {
		if (task->crashes[i].run == run)
			return true;
	}
	return false;
}

/* Adds a crash to the task. Returns false if it has been added before. */
static bool crash_add(struct cell_step *step, struct cell_task *task,
		      const struct cell_crash *crash)
{
	if (crash_known(task, crash->run))
		return false;
	task->crashes = realloc(task->crashes, (task->crash_count + 1) *
						       sizeof(*task->crashes));
	if (!task->crashes)
		abort();
	task->crashes[task->crash_count++] = *crash;
	step->crashes++;
	if (crash->run > task->run)
		task->run = crash->run;
	return true;
}

/*
 * Removes a crash under a run that has ended, or goes on: its minion had not
 * crashed. Returns true if there was one.
 */
bool cell_crash_clear(struct cell *cell, const char *name, uint64_t run)
{
	struct cell_step *step;
	struct cell_task *task = cell_task_find(cell, name, &step);

	for (uint32_t i = 0; task && i < task->crash_count; i++) {
		if (task->crashes[i].run != run)
			continue;
		task->crashes[i] = task->crashes[--task->crash_count];
		step->crashes--;
		return true;
	}
	return false;
}

/* Replays a crash record of an earlier term. */
void cell_crash_replay(struct cell *cell, const struct cell_record *record)
{
	struct cell_step *step;
	struct cell_task *task =
		cell_task_of_run(cell, record->task, &step, cell->started_ms);
	struct cell_crash crash = { .run = record->run,
				    .age_ms = record->age_ms,
				    .blame = record->blame,
				    .others = record->others,
				    .begun = record->begun };

	if (!task)
		return;
	snprintf(crash.minion, sizeof(crash.minion), "%s", record->minion);
	crash_add(step, task, &crash);
}

/* Fills in the record of a crash of the task. */
void cell_crash_record(const struct cell_crash *crash, const char *task,
		       struct cell_record *record)
{
	*record = (struct cell_record){ .kind = CELL_RECORD_CRASH,
					.task = task,
					.run = crash->run,
					.age_ms = crash->age_ms,
					.blame = crash->blame,
					.others = crash->others,
					.begun = crash->begun,
					.minion = crash->minion };
}

/*
 * Gives a task up: its job fails. The log names the minions that crashed under
 * it, each with the number of runs beside it.
 */
static void give_up(struct cell *cell, struct cell_step *step, uint32_t index,
		    uint64_t now_ms)
{
	const struct cell_task *task = &step->tasks[index];
	char name[CELL_TASK_MAX];
	char detail[GIVE_UP_CRASHES * (CELL_NAME_MAX + 16)] = "";
	size_t len = 0;

	for (uint32_t i = 0;
	     i < task->crash_count && len + CELL_NAME_MAX + 16 < sizeof(detail);
	     i++)
		len += (size_t)snprintf(detail + len, sizeof(detail) - len,
					"%s%s beside %u", i ? ", " : "",
					task->crashes[i].minion,
					task->crashes[i].others);
	cell_step_name(step, index, name);
	cell->stats.tasks_given_up++;
	cell_event(cell,
		   &(struct cell_event){ .what = "task-given-up",
					 .task = name,
					 .run = task->run,
					 .detail = detail,
					 .age_ms = now_ms - step->unblocked_ms,
					 .input = get_evidence(task).blame,
					 .value = task->crash_count });
	cell_job_fail(cell, step->job, now_ms);
}

/* Returns how long the run had run at @at_ms, in ms. */
static uint64_t run_age_ms(const struct cell_run *run, uint64_t at_ms)
{
	return at_ms > run->sent_ms ? at_ms - run->sent_ms : 0;
}

/*
 * Returns the weight of a run in the blame for a crash: the rate, per ms, at
 * which runs of its age crash a minion, but for a factor. Gang members share
 * it.
 */
static double blame_weight(const struct cell_run *run, uint64_t at_ms)
{
	return CRASHING_SHARE / (double)(run_age_ms(run, at_ms) + AGE_FLOOR_MS);
}

static bool is_first_of_run(const struct cell_minion *m, uint32_t at)
{
	for (uint32_t i = 0; i < at; i++) {
		if (m->runs[i].run == m->runs[at].run)
			return false;
	}
	return true;
}

static const struct cell_run *youngest_run(const struct cell_minion *m)
{
	const struct cell_run *youngest = NULL;

	for (uint32_t i = 0; i < m->run_count; i++) {
		if (!youngest || m->runs[i].sent_ms > youngest->sent_ms)
			youngest = &m->runs[i];
	}
	return youngest;
}

static uint64_t distance(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
}

static uint64_t common_cause_ms(const struct cell_minion *m)
{
	return m->disconnected ? COMMON_CAUSE_MS : COMMON_CAUSE_TIMEOUT_MS;
}

/*
 * Returns true if so many minions failed at the same time that no single run
 * can be the cause. A gang is one: it may crash the minions of all its members.
 */
static bool has_common_cause(const struct cell *cell,
			     const struct cell_minion *m)
{
	uint64_t window = common_cause_ms(m);
	const struct cell_run *youngest = youngest_run(m);
	uint32_t n = 0;

	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_minion *other = cell->minions[i];

		if (!other->used || !other->failing_ms ||
		    other->disconnected != m->disconnected ||
		    distance(other->failing_ms, m->failing_ms) > window)
			continue;
		if (!other->explained && other->failing_run != youngest->run)
			n++;
	}
	return n + !m->explained >= COMMON_CAUSE_MINIONS;
}

/* Adds a crash under a run to its task and to the journal. */
static void blame_run(struct cell *cell, const struct cell_minion *m,
		      const struct cell_run *run, uint32_t blame,
		      uint64_t at_ms, uint64_t now_ms)
{
	struct cell_step *step;
	struct cell_task *task = cell_task_find(cell, run->task, &step);
	struct cell_record record;
	struct cell_crash crash = { .run = run->run,
				    .age_ms = run_age_ms(run, at_ms),
				    .blame = blame,
				    .others = m->run_count - 1,
				    .begun = run->acked_ms > 0 };

	memcpy(crash.minion, m->info.id, sizeof(crash.minion));
	if (!task || task->state == CELL_TASK_DONE ||
	    step->job->final_state != CELL_JOB_UNKNOWN ||
	    !crash_add(step, task, &crash))
		return;
	cell_crash_record(&task->crashes[task->crash_count - 1], run->task,
			  &record);
	step->job->pending_records++;
	task->crash_seq = cell_record_add(cell, &record, step->job->spec.id,
					  NULL, 0, now_ms);
}

/* Returns the rate at which a minion is lost for other causes, per ms. */
static double loss_rate(const struct cell *cell, uint64_t now_ms)
{
	double passed = (double)(now_ms - cell->losses_ms);
	uint32_t n = 1;

	for (uint32_t i = 0; i < cell->minion_count; i++)
		n += cell->minions[i]->used;
	return (cell->losses * exp(-passed / LOSS_WINDOW_MS) + 1) /
	       ((double)LOSS_WINDOW_MS * n);
}

/*
 * Counts a lost minion by the share of causes other than runs in the loss,
 * unless a run explains it; the count decays exponentially.
 */
static void count_loss(struct cell *cell, const struct cell_minion *m,
		       double share, uint64_t now_ms)
{
	double passed = (double)(now_ms - cell->losses_ms);

	if (m->explained)
		return;
	cell->losses = cell->losses * exp(-passed / LOSS_WINDOW_MS) + share;
	cell->losses_ms = now_ms;
}

/*
 * Divides the blame for a crash among the runs of the minion. Returns the share
 * that is left for other causes.
 */
static double blame_runs(struct cell *cell, const struct cell_minion *m,
			 uint64_t now_ms)
{
	/*
	 * If polls timed out, the crash was at some time since the last
	 * response, so runs that were started since are equally suspect.
	 */
	uint64_t at_ms = m->disconnected ? m->failing_ms : m->alive_ms;
	double other = loss_rate(cell, now_ms) * AGE_LOG_RANGE;
	double total = other;

	for (uint32_t i = 0; i < m->run_count; i++) {
		if (is_first_of_run(m, i))
			total += blame_weight(&m->runs[i], at_ms);
	}
	for (uint32_t i = 0; i < m->run_count; i++) {
		double share = blame_weight(&m->runs[i], at_ms) / total;

		blame_run(cell, m, &m->runs[i], (uint32_t)(share * BLAME_UNIT),
			  at_ms, now_ms);
	}
	return other / total;
}

/*
 * Removes the crashes under the runs of a minion, which had another cause, also
 * from the journal.
 */
void cell_minion_clear_runs(struct cell *cell, const struct cell_minion *m,
			    uint64_t now_ms)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		const struct cell_run *run = &m->runs[i];

		if (cell_crash_clear(cell, run->task, run->run))
			cell_record_add(cell,
					&(struct cell_record){
						.kind = CELL_RECORD_CLEARED,
						.task = run->task,
						.run = run->run },
					NULL, NULL, 0, now_ms);
	}
}

/*
 * Notes which run began last on a minion that fails, and whether it explains
 * the failure.
 */
void cell_minion_note_failure(struct cell_minion *m)
{
	const struct cell_run *youngest = youngest_run(m);

	m->failing_run = youngest ? youngest->run : 0;
	m->explained = youngest &&
		       (youngest->isolated ||
			run_age_ms(youngest, m->failing_ms) < EXPLAINED_AGE_MS);
	m->blamed = false;
}

/*
 * Blames the runs of a minion that fails, as soon as it is known whether others
 * fail at the same time. It is found to be replaced, or alive, only seconds
 * later; until then a holder that takes over would not know the crash. If the
 * minion is alive, or was cut off, the runs are cleared.
 */
void cell_minion_blame_early(struct cell *cell, struct cell_minion *m,
			     uint64_t now_ms)
{
	const struct cell_run *youngest;

	if (!m->failing || m->blamed ||
	    now_ms <= m->failing_ms + common_cause_ms(m))
		return;
	m->blamed = true;
	if (!m->run_count || m->info.draining || has_common_cause(cell, m))
		return;
	blame_runs(cell, m, now_ms);
	youngest = youngest_run(m);
	if (!youngest->isolated)
		cell_contain_crash(cell, m, youngest, now_ms);
}

/*
 * Blames the runs of a minion that has crashed, and logs the suspects among
 * their tasks.
 */
void cell_minion_blame(struct cell *cell, struct cell_minion *m,
		       uint64_t now_ms)
{
	if (!m->run_count)
		return;
	if (m->info.draining || has_common_cause(cell, m)) {
		count_loss(cell, m, 1, now_ms);
		cell_minion_clear_runs(cell, m, now_ms);
		return;
	}
	count_loss(cell, m, blame_runs(cell, m, now_ms), now_ms);
	for (uint32_t i = 0; i < m->run_count; i++) {
		const struct cell_run *run = &m->runs[i];
		struct cell_step *step;
		const struct cell_task *task =
			cell_task_find(cell, run->task, &step);

		if (!task || !cell_task_suspect(task))
			continue;
		cell_event(cell, &(struct cell_event){
					 .what = "task-suspected",
					 .task = run->task,
					 .minion = m->info.id,
					 .run = run->run,
					 .input = get_evidence(task).blame,
					 .value = task->crash_count });
	}
}

/*
 * Gives up the tasks of the step that are the likely cause of repeated crashes.
 * Returns true if the job has failed.
 */
bool cell_step_give_up(struct cell *cell, struct cell_step *step,
		       uint64_t now_ms)
{
	if (step->job->final_state != CELL_JOB_UNKNOWN)
		return true;
	for (uint32_t i = 0; i < step->spec->count && step->crashes; i++) {
		const struct cell_task *task = &step->tasks[i];

		if (task->state != CELL_TASK_READY || !must_give_up(task))
			continue;
		give_up(cell, step, i, now_ms);
		return true;
	}
	return false;
}
