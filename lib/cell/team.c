/*
 * Limits of teams over all minions. A start must not raise the resources of the
 * runs of a team above its limit. What counts is every run that may exist:
 * those that minions hold, also while they are being stopped, starts that may
 * still be carried out, and tasks of inherited jobs that may run on a minion
 * that has not reported to this term.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/*
 * Interval between two counts of the tasks that may run unknown to this term,
 * in ms. Such a count walks all jobs; that of earlier is too high, not too low.
 */
#define LEFT_INTERVAL_MS 20

static void use_add(struct cell_use *use, const struct cell_res *need,
		    uint64_t count)
{
	use->cpu_milli += need->cpu_milli * count;
	use->mem_mb += need->mem_mb * count;
	use->gpu += need->gpu * count;
}

static void use_sum(struct cell_use *use, const struct cell_use *other)
{
	use->cpu_milli += other->cpu_milli;
	use->mem_mb += other->mem_mb;
	use->gpu += other->gpu;
}

static bool is_limited(const struct cell_res *max)
{
	return max->cpu_milli || max->mem_mb || max->gpu;
}

static struct cell_team *team_get(const struct cell *cell, uint32_t handle)
{
	return handle ? cell->teams[handle - 1] : NULL;
}

/* Returns the handle of the team of that name, 0 if the name is empty. */
uint32_t cell_team_handle(struct cell *cell, const char *name)
{
	struct cell_team *team;

	if (!name[0])
		return 0;
	HASH_FIND_STR(cell->team_index, name, team);
	if (team)
		return team->handle;
	team = calloc(1, sizeof(*team));
	if (!team)
		abort();
	cell_grow((void **)&cell->teams, &cell->team_capacity, cell->team_count,
		  sizeof(struct cell_team *));
	cell->teams[cell->team_count++] = team;
	team->handle = cell->team_count;
	snprintf(team->name, sizeof(team->name), "%s", name);
	HASH_ADD_KEYPTR(hh, cell->team_index, team->name, strlen(team->name),
			team);
	return team->handle;
}

/*
 * Applies the limits of the configuration. The jobs of a team that it no longer
 * lists go on without a limit.
 */
void cell_teams_configure(struct cell *cell)
{
	const struct cell_config *config = cell->config;

	cell->team_limits = false;
	cell->team_use_counted = false;
	for (uint32_t i = 0; i < cell->team_count; i++) {
		cell->teams[i]->configured = false;
		cell->teams[i]->max = (struct cell_res){ 0 };
	}
	for (uint32_t i = 0; config && i < config->team_count; i++) {
		const struct cell_team_spec *spec = &config->teams[i];
		struct cell_team *team =
			team_get(cell, cell_team_handle(cell, spec->name));

		/* Of two teams of the same name the first one counts. */
		if (!team || team->configured)
			continue;
		team->configured = true;
		team->max = spec->max;
		cell->team_limits |= is_limited(&spec->max);
	}
}

void cell_teams_free(struct cell *cell)
{
	HASH_CLEAR(hh, cell->team_index);
	for (uint32_t i = 0; i < cell->team_count; i++)
		free(cell->teams[i]);
	free(cell->teams);
}

/* Returns the team of the job of a task, 0 if it is not known. */
uint32_t cell_team_of_task(const struct cell *cell, const char *task)
{
	struct cell_task_name name;
	const struct cell_job *job;

	if (!cell->team_count || !cell_task_parse(task, &name))
		return 0;
	job = cell_job_find(cell, name.job);
	return job ? job->team : 0;
}

static bool has_done_end(const struct cell_task *task)
{
	for (uint32_t i = 0; i < task->ended_count; i++) {
		if (task->ended[i].end == CELL_END_DONE)
			return true;
	}
	return false;
}

/*
 * Returns true if the task may have a run that this term does not know. The
 * other tasks of a gang are done with the first one, but may not have ended.
 * Ends of a job whose completion was replayed are not kept.
 */
static bool may_run_unknown(const struct cell_job *job,
			    const struct cell_task *task)
{
	if (task->state == CELL_TASK_ACTIVE)
		return false;
	if (task->state == CELL_TASK_DONE)
		return !has_done_end(task);
	return job->final_state != CELL_JOB_COMPLETED;
}

/*
 * Adds the tasks of a job that may have a run that this term does not know.
 * Steps that are blocked count as well: the ends of those before them may have
 * been lost with the earlier holder.
 */
static void add_left(struct cell_use *use, const struct cell_job *job)
{
	use_sum(use, &job->left);
	for (uint32_t o = 0; o < job->occurrence_count; o++) {
		for (uint32_t s = 0; s < job->spec.step_count; s++) {
			const struct cell_step *step =
				&job->occurrences[o].steps[s];
			uint32_t n = 0;

			for (uint32_t t = 0; t < step->spec->count; t++)
				n += may_run_unknown(job, &step->tasks[t]);
			use_add(use, &step->spec->need, n);
		}
	}
}

/* Keeps what may be left of an inherited job whose tasks are about to go. */
void cell_team_keep_left(struct cell_job *job)
{
	struct cell_use left = { 0 };

	if (!job->inherited || !job->team)
		return;
	add_left(&left, job);
	job->left = left;
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/*
 * Returns what runs on the unsettled minions can hold at most. One that is no
 * longer listed is taken to be as large as the largest, since the capacity that
 * it had is not recorded.
 */
static struct cell_use unsettled_capacity(const struct cell *cell)
{
	struct cell_use largest = { 0 };
	struct cell_use sum = { 0 };

	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_res *cap = &cell->minions[i]->info.capacity;

		if (!cell->minions[i]->used)
			continue;
		largest.cpu_milli = max_u64(largest.cpu_milli, cap->cpu_milli);
		largest.mem_mb = max_u64(largest.mem_mb, cap->mem_mb);
		largest.gpu = max_u64(largest.gpu, cap->gpu);
	}
	for (uint32_t i = 0; i < cell->unsettled; i++)
		use_sum(&sum, &largest);
	return sum;
}

/*
 * Limits what each team may have left to what the unsettled minions can hold,
 * so that a few minions that are gone do not stop all teams until their leases
 * end.
 */
static void bound_left(struct cell *cell)
{
	struct cell_use cap;

	if (!cell->minions_listed)
		return;
	cap = unsettled_capacity(cell);
	for (uint32_t i = 0; i < cell->team_count; i++) {
		struct cell_use *left = &cell->teams[i]->left;

		left->cpu_milli = min_u64(left->cpu_milli, cap.cpu_milli);
		left->mem_mb = min_u64(left->mem_mb, cap.mem_mb);
		left->gpu = min_u64(left->gpu, cap.gpu);
	}
}

/* Counts what earlier terms may have left on minions that have not reported. */
static void count_left(struct cell *cell, uint64_t now_ms)
{
	struct cell_job *job;
	struct cell_job *tmp;
	bool settled = !cell->unsettled && cell->minions_listed;

	if (!settled && !cell->team_left_void &&
	    now_ms < cell->team_left_ms + LEFT_INTERVAL_MS)
		return;
	for (uint32_t i = 0; i < cell->team_count; i++)
		cell->teams[i]->left = (struct cell_use){ 0 };
	if (settled)
		return;
	cell->team_left_void = false;
	cell->team_left_ms = now_ms;
	HASH_ITER(hh, cell->jobs, job, tmp)
	{
		struct cell_team *team = team_get(cell, job->team);

		if (job->inherited && team && is_limited(&team->max))
			add_left(&team->left, job);
	}
	bound_left(cell);
}

/* Adds the runs that a minion holds; those of unknown jobs to @unknown. */
static void count_runs(struct cell *cell, const struct cell_minion *m,
		       struct cell_use *unknown)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		const struct cell_run *run = &m->runs[i];

		if (run->team)
			use_add(&cell->teams[run->team - 1]->use, &run->need,
				1);
		else if (run->job_unknown)
			use_add(unknown, &run->need, 1);
	}
}

/* Adds the starts that were given up but may still be carried out. */
static void count_unanswered(struct cell *cell, struct cell_minion *m,
			     uint64_t now_ms)
{
	for (uint32_t i = 0; i < m->unanswered_count; i++) {
		const struct cell_run *run = &m->unanswered[i];
		struct cell_step *step;
		const struct cell_task *task;

		if (!run->team || now_ms > run->sent_ms + CELL_LATE_ORDER_MS ||
		    cell_run_find(m, run->task, run->run))
			continue;
		task = cell_task_find(cell, run->task, &step);
		if (!task || !cell_task_ended(task, run->run))
			use_add(&cell->teams[run->team - 1]->use, &run->need,
				1);
	}
}

/*
 * Counts the use of each team. The job of a reported run may be known only
 * later: until then the run counts for every team, as it may be of any.
 */
static void count_use(struct cell *cell, uint64_t now_ms)
{
	struct cell_use unknown = { 0 };

	count_left(cell, now_ms);
	for (uint32_t i = 0; i < cell->team_count; i++)
		cell->teams[i]->use = cell->teams[i]->left;
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		struct cell_minion *m = cell->minions[i];

		if (!m->used)
			continue;
		count_runs(cell, m, &unknown);
		count_unanswered(cell, m, now_ms);
	}
	for (uint32_t i = 0; i < cell->team_count; i++)
		use_sum(&cell->teams[i]->use, &unknown);
	cell->team_use_counted = true;
}

/* Has the use of the teams counted again before the next start. */
void cell_teams_recount(struct cell *cell)
{
	cell->team_use_counted = false;
}

static uint32_t room_of(uint32_t max, uint64_t used, uint32_t need)
{
	if (!max || !need)
		return UINT32_MAX;
	return used >= max ? 0 : (uint32_t)((max - used) / need);
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Returns how many tasks of the step the limit of its team permits to start. */
uint32_t cell_team_room(struct cell *cell, const struct cell_step *step,
			uint64_t now_ms)
{
	const struct cell_team *team = team_get(cell, step->job->team);
	const struct cell_res *need = &step->spec->need;
	uint32_t n;

	if (!cell->team_limits || !team || !is_limited(&team->max))
		return UINT32_MAX;
	if (!cell->team_use_counted)
		count_use(cell, now_ms);
	n = room_of(team->max.cpu_milli, team->use.cpu_milli, need->cpu_milli);
	n = min_u32(n,
		    room_of(team->max.mem_mb, team->use.mem_mb, need->mem_mb));
	return min_u32(n, room_of(team->max.gpu, team->use.gpu, need->gpu));
}

/*
 * Returns true if the limit of its team permits to start a task of the step, or
 * all of them if it is a gang.
 */
bool cell_team_permits(struct cell *cell, const struct cell_step *step,
		       uint64_t now_ms)
{
	return cell_team_room(cell, step, now_ms) >=
	       (step->spec->gang ? step->tasks_left : 1);
}

/* Counts a start that follows in the same pass. */
void cell_team_add_start(struct cell *cell, const struct cell_step *step)
{
	struct cell_team *team = team_get(cell, step->job->team);

	if (team)
		use_add(&team->use, &step->spec->need, 1);
}

/* Writes why a step can never run if it needs more than the limit. */
static bool fits_limit(const struct cell_team_spec *team, uint32_t step,
		       const char *resource, uint64_t need, uint32_t max,
		       char *why, size_t why_size)
{
	if (!max || need <= max)
		return true;
	snprintf(why, why_size,
		 "step %u needs %llu %s at once, above the limit of team %s, "
		 "%u",
		 step, (unsigned long long)need, resource, team->name, max);
	return false;
}

/*
 * Returns false, with the reason in @why, if the job has a gang or a single
 * task that needs more than the limit of its team.
 */
bool cell_team_can_run(const struct cell_config *config,
		       const struct cell_job_spec *spec, char *why,
		       size_t why_size)
{
	const struct cell_team_spec *team = NULL;

	if (config && spec->team[0])
		team = cell_config_team(config, spec->team);
	for (uint32_t i = 0; team && i < spec->step_count; i++) {
		const struct cell_step_spec *s = &spec->steps[i];
		uint64_t n = s->gang ? s->count : 1;

		if (!fits_limit(team, i, "cpu", n * s->need.cpu_milli,
				team->max.cpu_milli, why, why_size) ||
		    !fits_limit(team, i, "mem_mb", n * s->need.mem_mb,
				team->max.mem_mb, why, why_size) ||
		    !fits_limit(team, i, "gpu", n * s->need.gpu, team->max.gpu,
				why, why_size))
			return false;
	}
	return true;
}
