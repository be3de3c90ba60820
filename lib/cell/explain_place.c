/*
 * Explains where the tasks of a job would start now, and why: a dry run with
 * the functions that place tasks. The job is not known to the cell, and nothing
 * is sent or kept.
 */
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

static const char *const excluded_names[CELL_EXCLUDED] = {
	[CELL_CANDIDATE] = "candidate",
	[CELL_EXCLUDED_TERM] = "term not valid",
	[CELL_EXCLUDED_UNLISTED] = "not listed",
	[CELL_EXCLUDED_DRAINING] = "draining",
	[CELL_EXCLUDED_NEW] = "not enrolled yet",
	[CELL_EXCLUDED_FAILING] = "not responding",
	[CELL_EXCLUDED_SUSPECTED] = "runs failed in a row",
	[CELL_EXCLUDED_SERVICE] = "other service",
	[CELL_EXCLUDED_LABEL] = "label missing",
	[CELL_EXCLUDED_CONTAINED] = "containment of a queue",
	[CELL_EXCLUDED_ISOLATED] = "isolated for a suspect",
	[CELL_EXCLUDED_RESERVED] = "reserved for a gang",
	[CELL_EXCLUDED_FULL] = "no room",
	[CELL_EXCLUDED_RACK] = "other rack",
};

const char *cell_excluded_name(enum cell_excluded excluded)
{
	return excluded_names[excluded];
}

/* Returns the name of one penalty, a power of two, or NULL. */
const char *cell_rank_name(uint32_t penalty)
{
	switch (penalty) {
	case CELL_RANK_INTERFERES:
		return "best-effort beside serving";
	case CELL_RANK_SLOWED:
		return "interfering pair or last empty minions";
	case CELL_RANK_SLOW:
		return "would end late there";
	case CELL_RANK_UNSTABLE:
		return "failed lately";
	case CELL_RANK_NO_AFFINITY:
		return "away from its data";
	case CELL_RANK_RESERVED:
		return "reserved for a gang";
	default:
		return NULL;
	}
}

/* Returns why the scheduler does not consider the minion for the step. */
static enum cell_excluded exclusion(const struct cell *cell,
				    const struct cell_minion *m,
				    const struct cell_step *step,
				    const struct cell_queue_spec *queue,
				    uint64_t now_ms)
{
	if (!cell->valid)
		return CELL_EXCLUDED_TERM;
	if (!m->listed)
		return CELL_EXCLUDED_UNLISTED;
	if (strcmp(m->info.service, queue->service) != 0)
		return CELL_EXCLUDED_SERVICE;
	if (m->info.draining)
		return CELL_EXCLUDED_DRAINING;
	if (!m->contacted || !m->enrolled)
		return CELL_EXCLUDED_NEW;
	if (m->failing)
		return CELL_EXCLUDED_FAILING;
	if (now_ms < m->suspect_until_ms)
		return CELL_EXCLUDED_SUSPECTED;
	if (step->spec->requires[0] &&
	    !cell_minion_has_label(m, step->spec->requires))
		return CELL_EXCLUDED_LABEL;
	if (!cell_contain_permits(cell, m, queue->name) ||
	    cell_contain_full(cell, m, step->job))
		return CELL_EXCLUDED_CONTAINED;
	if (cell_minion_isolated_from(m, step, now_ms))
		return CELL_EXCLUDED_ISOLATED;
	if (cell_step_yields(cell, m, step, queue, now_ms))
		return CELL_EXCLUDED_RESERVED;
	return cell_fit(m, step) ? CELL_EXCLUDED_RACK : CELL_EXCLUDED_FULL;
}

/* Returns true if a task of the step fits on the minion when it is empty. */
static bool fits_ever(const struct cell_minion *m, const struct cell_step *step,
		      const struct cell_queue_spec *queue)
{
	struct cell_minion empty = { .info = m->info };

	return m->listed && !strcmp(m->info.service, queue->service) &&
	       (!step->spec->requires[0] ||
		cell_minion_has_label(m, step->spec->requires)) &&
	       cell_fit(&empty, step);
}

static struct cell_where_minion row(const struct cell_minion *m)
{
	uint32_t cpu = m->info.capacity.cpu_milli;

	return (struct cell_where_minion){
		.id = m->info.id,
		.rack = m->info.rack,
		.free_cpu_milli =
			cpu > m->held.cpu_milli ? cpu - m->held.cpu_milli : 0,
	};
}

/* Counts the tasks that would start on each candidate, in order. */
static void count_starts(const struct cell_step *step, struct cell_candidate *c,
			 uint32_t count, struct cell_where *out)
{
	const struct cell_task task = { .failed_on = CELL_NONE };

	if (step->spec->gang && out->slots < step->spec->count)
		return;
	while (out->starts < step->spec->count) {
		const struct cell_candidate *to =
			cell_candidate_select(c, count, &task);

		if (!to)
			return;
		to->minion->free_slots--;
		out->minions[to - c].tasks++;
		out->starts++;
	}
}

static void explain(struct cell *cell, struct cell_step *step,
		    const struct cell_queue_spec *queue,
		    struct cell_candidate *c, struct cell_where *out,
		    uint64_t now_ms)
{
	uint32_t *taken = calloc(cell->minion_count + 1, sizeof(*taken));
	bool yielded;
	uint32_t count;

	if (!taken)
		abort();
	count = cell_candidates_collect(cell, step, queue, c, &yielded, now_ms);
	if (step->spec->same_rack)
		count = cell_candidates_filter_rack(cell, step, c, count);
	for (uint32_t i = 0; i < count; i++) {
		struct cell_where_minion *w =
			&out->minions[out->minion_count++];

		*w = row(c[i].minion);
		w->rank = c[i].rank;
		w->slots = c[i].minion->free_slots;
		out->slots += w->slots;
		taken[c[i].minion->handle] = 1;
	}
	count_starts(step, c, count, out);
	for (uint32_t i = 0; i < cell->minion_count; i++) {
		const struct cell_minion *m = cell->minions[i];

		if (!m->used)
			continue;
		out->ever += fits_ever(m, step, queue);
		if (taken[i])
			continue;
		out->minions[out->minion_count] = row(m);
		out->minions[out->minion_count++].excluded =
			exclusion(cell, m, step, queue, now_ms);
	}
	free(taken);
}

/*
 * Explains where a step of a job would start if it were ready now. Tickets of
 * the advice service, which exclude further minions, are not asked for. Names
 * in @out are valid until the next call to the cell; cell_where_free() frees
 * the rest. The queue of the job has to be in the configuration.
 */
void cell_where(struct cell *cell, const struct cell_job_spec *spec,
		uint32_t step, struct cell_where *out, uint64_t now_ms)
{
	struct cell_job job = { .spec = *spec, .state = CELL_JOB_QUEUED };
	struct cell_step s = { .job = &job,
			       .spec = &spec->steps[step],
			       .index = step,
			       .unblocked_ms = now_ms,
			       .unblocked = true };
	struct cell_queue_spec queue = *cell_queue(cell, spec->queue);
	struct cell_candidate *candidates;

	*out = (struct cell_where){ 0 };
	s.tasks_left = s.spec->count;
	job.spec.repeat_count = 0;
	job.deadline_unix_ms = cell_job_deadline(cell, spec);
	s.deadline_unix_ms = job.deadline_unix_ms;
	queue.advice.needed = false;
	s.tasks = calloc(s.spec->count, sizeof(*s.tasks));
	candidates = calloc(cell->minion_count + 1, sizeof(*candidates));
	out->minions = calloc(cell->minion_count + 1, sizeof(*out->minions));
	if (!s.tasks || !candidates || !out->minions)
		abort();
	out->ahead = cell_ready_ahead(cell, &s);
	explain(cell, &s, &queue, candidates, out, now_ms);
	free(candidates);
	free(s.tasks);
}

void cell_where_free(struct cell_where *where)
{
	free(where->minions);
	*where = (struct cell_where){ 0 };
}

static bool exceeds(uint32_t need, uint32_t count, uint32_t max)
{
	return max && (uint64_t)need * count > max;
}

/* Returns false if the step needs more than the limit of a team. */
bool cell_team_admits(const struct cell_team_spec *team,
		      const struct cell_step_spec *step)
{
	uint32_t count = step->gang ? step->count : 1;
	struct cell_res need = cell_step_held(step);

	return !exceeds(need.cpu_milli, count, team->max.cpu_milli) &&
	       !exceeds(need.mem_mb, count, team->max.mem_mb) &&
	       !exceeds(need.gpu, count, team->max.gpu);
}
