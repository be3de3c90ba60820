/* Scheduling pass: order of the ready steps and placement of their tasks. */
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/* Minimum validity of a ticket, in ms, so that the start arrives in time. */
#define TICKET_MARGIN_MS 60

/*
 * Minions that run nothing are opened to keep a pair apart while there are more
 * than one candidate in this many: gangs need them.
 */
#define KEEP_EMPTY_SHARE 8

/* Returns the resources that a task of the step holds on a minion. */
struct cell_res cell_step_held(const struct cell_step_spec *spec)
{
	struct cell_res held = spec->need;

	if (spec->fills)
		held.cpu_milli = 0;
	return held;
}

static uint32_t fit_resource(uint32_t capacity, uint32_t held, uint32_t need)
{
	if (!need)
		return UINT32_MAX;
	return held >= capacity ? 0 : (capacity - held) / need;
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Counts the runs of the step on the minion, also those being stopped. */
static uint32_t count_step_runs(const struct cell_minion *m,
				const struct cell_step *step)
{
	char prefix[CELL_TASK_MAX];
	size_t len;
	uint32_t n = 0;

	cell_step_name(step, 0, prefix);
	len = strlen(prefix) - 1;
	for (uint32_t i = 0; i < m->run_count; i++)
		n += !strncmp(m->runs[i].task, prefix, len);
	return n;
}

/* Returns how many more tasks of the step fit on the minion. */
uint32_t cell_fit(const struct cell_minion *m, const struct cell_step *step)
{
	const struct cell_step_spec *spec = step->spec;
	struct cell_res need = cell_step_held(spec);
	const struct cell_res *cap = &m->info.capacity;
	uint32_t n;

	n = fit_resource(cap->cpu_milli, m->held.cpu_milli, need.cpu_milli);
	n = min_u32(n, fit_resource(cap->mem_mb, m->held.mem_mb, need.mem_mb));
	n = min_u32(n, fit_resource(cap->gpu, m->held.gpu, need.gpu));
	if (n && spec->anti_affinity) {
		uint32_t here = count_step_runs(m, step);

		n = min_u32(n, spec->anti_affinity > here
				       ? spec->anti_affinity - here
				       : 0);
	}
	return min_u32(n, spec->count);
}

bool cell_minion_has_label(const struct cell_minion *m, const char *label)
{
	for (uint32_t i = 0; i < m->info.label_count; i++) {
		if (!strcmp(m->info.labels[i], label))
			return true;
	}
	return false;
}

/* Returns true if the minion may run the step, given resources and a ticket. */
bool cell_minion_suits(const struct cell *cell, const struct cell_minion *m,
		       const struct cell_step *step,
		       const struct cell_queue_spec *queue, uint64_t now_ms)
{
	if (!cell_minion_usable(cell, m, now_ms) ||
	    strcmp(m->info.service, queue->service) != 0 ||
	    !cell_contain_permits(cell, m, queue->name))
		return false;
	return !step->spec->requires[0] ||
	       cell_minion_has_label(m, step->spec->requires);
}

static int compare_rank(const void *a, const void *b)
{
	const struct cell_candidate *x = a;
	const struct cell_candidate *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->free_cpu != y->free_cpu)
		return x->free_cpu < y->free_cpu ? -1 : 1;
	return x->minion->handle < y->minion->handle ? -1 : 1;
}

/* Best-effort and serving tasks on the same minion interfere. */
static bool interferes(const struct cell_minion *m,
		       const struct cell_step_spec *spec)
{
	bool found = false;

	for (uint32_t i = 0; i < m->run_count && !found; i++)
		found = (spec->fills && m->runs[i].target_ms) ||
			(spec->target_ms && m->runs[i].fills);
	return found;
}

static void add_candidate(const struct cell_step *step, struct cell_minion *m,
			  const struct cell_grant *grant,
			  struct cell_candidate *out, uint32_t *count,
			  uint64_t now_ms)
{
	struct cell_candidate *c;

	m->free_slots = cell_fit(m, step);
	if (!m->free_slots)
		return;
	c = &out[(*count)++];
	*c = (struct cell_candidate){ .minion = m, .grant = grant };
	c->free_cpu = m->info.capacity.cpu_milli - m->held.cpu_milli;
	/*
	 * Best-effort tasks prefer the minion with the most free CPU, others
	 * the one with the least (best fit).
	 */
	if (step->spec->fills)
		c->free_cpu = UINT32_MAX - c->free_cpu;
	if (step->spec->affinity[0] &&
	    !cell_minion_has_label(m, step->spec->affinity))
		c->rank += CELL_RANK_NO_AFFINITY;
	if (interferes(m, step->spec))
		c->rank += CELL_RANK_INTERFERES;
	if (!step->spec->gang && cell_minion_reserved(m, now_ms))
		c->rank += CELL_RANK_RESERVED;
}

/*
 * Ranks the candidates that run the other one of an interfering pair behind
 * those that do not. Room for gangs goes first: nothing is kept apart while one
 * waits for a minion of these, and the last empty minions are not preferred to
 * best fit.
 */
static void rank_pairs(const struct cell *cell, uint32_t kind,
		       struct cell_candidate *c, uint32_t count,
		       uint64_t now_ms)
{
	uint32_t empty = 0;

	if (!cell_kind_has_partners(cell, kind))
		return;
	for (uint32_t i = 0; i < count; i++) {
		if (cell_minion_reserved(c[i].minion, now_ms))
			return;
		empty += !c[i].minion->run_count;
	}
	for (uint32_t i = 0; i < count; i++) {
		const struct cell_minion *m = c[i].minion;
		bool spare = !m->run_count && empty * KEEP_EMPTY_SHARE < count;

		if (spare || cell_kind_interferes(cell, kind, m))
			c[i].rank += CELL_RANK_SLOWED;
	}
}

/*
 * Collects the minions that the step may use and that have free slots, the best
 * first. Sets *@yielded if any were left to waiting gangs.
 */
uint32_t cell_candidates_collect(struct cell *cell, struct cell_step *step,
				 const struct cell_queue_spec *queue,
				 struct cell_candidate *out, bool *yielded,
				 uint64_t now_ms)
{
	uint32_t rows =
		queue->advice.needed ? step->grant_count : cell->minion_count;
	uint32_t n = 0;

	*yielded = false;
	for (uint32_t i = 0; i < rows; i++) {
		const struct cell_grant *g =
			queue->advice.needed ? &step->grants[i] : NULL;
		struct cell_minion *m = cell->minions[g ? g->minion : i];

		if (g && (m->incarnation != g->incarnation ||
			  g->until_ms < now_ms + TICKET_MARGIN_MS))
			continue;
		if (!cell_minion_suits(cell, m, step, queue, now_ms) ||
		    cell_minion_isolated_from(m, step, now_ms) ||
		    cell_contain_full(cell, m, step->job))
			continue;
		if (cell_step_yields(cell, m, step, queue, now_ms))
			*yielded = true;
		else
			add_candidate(step, m, g, out, &n, now_ms);
	}
	for (uint32_t i = 0; i < n && step->spec->gang; i++) {
		if (cell_learn_unstable(cell, out[i].minion, now_ms))
			out[i].rank += CELL_RANK_UNSTABLE;
	}
	cell_learn_rank(cell, step, out, n);
	if (cell->interference && !*yielded)
		rank_pairs(cell, cell_kind_find(cell, step), out, n, now_ms);
	qsort(out, n, sizeof(*out), compare_rank);
	return n;
}

/* Starts a task on a candidate, whose free slots the caller counts. */
void cell_task_start(struct cell *cell, struct cell_step *step, uint32_t index,
		     const struct cell_candidate *c, uint64_t run,
		     uint64_t now_ms)
{
	struct cell_task *task = &step->tasks[index];
	struct cell_minion *m = c->minion;
	struct cell_res held = cell_step_held(step->spec);
	struct cell_job *job = step->job;
	struct cell_run *placed;
	struct cell_start start = { .minion = m->handle,
				    .addr = m->info.addr,
				    .minion_id = m->info.id,
				    .run = run,
				    .payload = job->spec.payload,
				    .ticket =
					    c->grant ? c->grant->ticket : NULL,
				    .checkpoint = task->checkpoint,
				    .timeout_ms =
					    cell_order_timeout_ms(cell, m) };
	uint64_t former = task->run;

	cell_step_name(step, index, start.task);
	task->state = CELL_TASK_ACTIVE;
	task->run = run;
	task->minion = m->handle;
	task->progress_ms = now_ms;
	task->percent = 0;
	step->tasks_active++;
	if (step->tasks_active == 1)
		cell_contain_start(cell, job, job->state == CELL_JOB_QUEUED,
				   now_ms);
	if (job->state == CELL_JOB_QUEUED)
		job->state = CELL_JOB_RUNNING;
	placed = cell_run_add(m, start.task, run, step->spec, &held, now_ms);
	placed->late = cell->unix_ms > step->deadline_unix_ms &&
		       cell_contain_active(cell, job->spec.queue);
	placed->team = job->team;
	placed->timeout_ms = start.timeout_ms;
	placed->kind = cell_kind_get(cell, step, now_ms);
	placed->measured = !task->checkpoint;
	placed->ticket = c->grant != NULL;
	placed->pace = CELL_PACE_FULL;
	placed->pace_acked = true;
	start.deadline_ms = cell_minion_renew_lease(cell, m, now_ms);
	cell->stats.starts++;
	cell_team_add_start(cell, step);
	cell_event(cell,
		   &(struct cell_event){ .what = "run-start",
					 .task = start.task,
					 .minion = m->info.id,
					 .run = run,
					 .age_ms = now_ms - step->unblocked_ms,
					 .input = former });
	cell->owner->ops->start(cell->owner, &start);
}

/*
 * Selects the candidate for a task, or NULL. The minion of the latest failure
 * is the last resort.
 */
const struct cell_candidate *
cell_candidate_select(const struct cell_candidate *c, uint32_t count,
		      const struct cell_task *task)
{
	const struct cell_candidate *fallback = NULL;

	for (uint32_t i = 0; i < count; i++) {
		if (!c[i].minion->free_slots)
			continue;
		if (c[i].minion->handle != task->failed_on)
			return &c[i];
		if (!fallback)
			fallback = &c[i];
	}
	return fallback;
}

static uint32_t total_slots(const struct cell_candidate *c, uint32_t count)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < count; i++)
		n += c[i].minion->free_slots;
	return n;
}

/* Returns the free slots of the candidates in a rack. */
static uint32_t rack_slots(const struct cell_candidate *c, uint32_t count,
			   const char *rack)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (!strcmp(c[i].minion->info.rack, rack))
			n += c[i].minion->free_slots;
	}
	return n;
}

/* Returns the rack of a running task of the step, or NULL. */
static const char *step_rack(const struct cell *cell,
			     const struct cell_step *step)
{
	for (uint32_t i = 0; i < step->spec->count && step->tasks_active; i++) {
		if (step->tasks[i].state == CELL_TASK_ACTIVE)
			return cell->minions[step->tasks[i].minion]->info.rack;
	}
	return NULL;
}

/*
 * Keeps the candidates of one rack, for a step whose tasks are slow when spread
 * over several: the rack where it runs, else the one with the most free slots.
 * Keeps all candidates if that rack has too few. Returns how many are kept.
 */
uint32_t cell_candidates_filter_rack(const struct cell *cell,
				     const struct cell_step *step,
				     struct cell_candidate *c, uint32_t count)
{
	const char *rack = step_rack(cell, step);
	uint32_t slots = rack ? rack_slots(c, count, rack) : 0;
	uint32_t needed = step->spec->gang ? step->tasks_left : 1;
	uint32_t kept = 0;

	for (uint32_t i = 0; i < count && !step->tasks_active; i++) {
		uint32_t n = rack_slots(c, count, c[i].minion->info.rack);

		if (n <= slots)
			continue;
		slots = n;
		rack = c[i].minion->info.rack;
	}
	if (!rack || slots < needed)
		return count;
	for (uint32_t i = 0; i < count; i++) {
		if (!strcmp(c[i].minion->info.rack, rack))
			c[kept++] = c[i];
	}
	return kept;
}

/* Returns true if the task has no run, and no former one takes effect. */
static bool is_free(const struct cell *cell, const struct cell_step *step,
		    uint32_t index)
{
	return step->tasks[index].state == CELL_TASK_READY &&
	       !cell_task_has_former_run(cell, step, index);
}

/* Returns true if a former run or start of the step may still take effect. */
static bool has_former_runs(const struct cell *cell,
			    const struct cell_step *step)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (cell_task_has_former_run(cell, step, i))
			return true;
	}
	return false;
}

/* Returns true if there is a task that may be started. */
static bool has_free_task(const struct cell *cell, const struct cell_step *step)
{
	if (!cell->detached)
		return true;
	if (step->spec->gang)
		return !has_former_runs(cell, step);
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (is_free(cell, step, i))
			return true;
	}
	return false;
}

/*
 * Starts as many tasks of the step as fit and as the limit of its team permits;
 * a gang starts as a whole or not at all. Returns false if it is a gang that
 * waits for free slots.
 */
static bool place_tasks(struct cell *cell, struct cell_step *step,
			struct cell_candidate *c, uint32_t count,
			uint64_t now_ms)
{
	bool gang = step->spec->gang;
	bool suspect = cell_step_suspect(step);
	uint64_t run = cell->next_run;
	uint32_t room = cell_team_room(cell, step, now_ms);

	if (gang && step->tasks_active)
		return true;
	if (gang && suspect && !cell_crashes_durable(cell, step))
		return true;
	if (gang && total_slots(c, count) < step->tasks_left)
		return false;
	for (uint32_t i = 0; i < step->spec->count && room; i++) {
		const struct cell_candidate *to;

		if (!is_free(cell, step, i))
			continue;
		if (suspect && !gang && cell_task_suspect(&step->tasks[i]))
			continue;
		to = cell_candidate_select(c, count, &step->tasks[i]);
		if (!to)
			return true;
		to->minion->free_slots--;
		room--;
		if (!gang)
			run = cell->next_run++;
		cell_task_start(cell, step, i, to, run, now_ms);
		if (suspect && gang)
			cell_isolate_gang(step, to->minion, now_ms);
	}
	if (gang)
		cell->next_run++;
	return true;
}

struct ready_entry {
	uint32_t crashes; /* fewest of its suspects, 0: it has none */
	uint32_t priority;
	bool late; /* past its deadline, of a contained queue */
	uint64_t deadline_ms;
	const char *id;
	struct cell_step *step;
	const struct cell_queue_spec *queue;
};

/*
 * By priority, then earliest deadline first; but a contained queue, which has
 * more jobs than room, first starts those that can still be in time. In order
 * of arrival, short jobs would miss their objective behind long ones with slack
 * while gangs wait for resources on large deployments.
 */
static int compare_urgency(const void *a, const void *b)
{
	const struct ready_entry *x = a;
	const struct ready_entry *y = b;
	int by_id;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->late != y->late)
		return y->late ? -1 : 1;
	if (x->deadline_ms != y->deadline_ms)
		return x->deadline_ms < y->deadline_ms ? -1 : 1;
	by_id = strcmp(x->id, y->id);
	if (by_id)
		return by_id;
	if (x->step->occurrence != y->step->occurrence)
		return x->step->occurrence < y->step->occurrence ? -1 : 1;
	return x->step->index < y->step->index ? -1 : 1;
}

/*
 * Returns false while a run of an earlier term may exist on a minion that has
 * not reported yet, or while a later term may exist that counts the job as new:
 * a job that was stored after the claim of a successor is known to it only from
 * the daemon that stored it.
 */
static bool step_is_settled(const struct cell *cell,
			    const struct ready_entry *entry)
{
	const struct cell_job *job = entry->step->job;

	/* A minion that restarts no longer knows the later term. */
	if (cell->fenced_ms && cell->confirmed_ms <= cell->fenced_ms)
		return false;
	if (job->confirm_after_ms &&
	    cell->confirmed_ms <= job->confirm_after_ms)
		return false;
	return !job->inherited || (!cell->unsettled && cell->minions_listed &&
				   cell->confirmed_ms > cell->lease_ended_ms);
}

/* Suspects with the fewest crashes first. */
static int compare_suspicion(const void *a, const void *b)
{
	const struct ready_entry *x = *(const struct ready_entry *const *)a;
	const struct ready_entry *y = *(const struct ready_entry *const *)b;

	if (x->crashes != y->crashes)
		return x->crashes < y->crashes ? -1 : 1;
	return compare_urgency(x, y);
}

/* Starts suspects in isolation, before other tasks take the minions. */
static void schedule_suspects(struct cell *cell,
			      const struct ready_entry *entries, uint32_t count,
			      struct cell_candidate *candidates,
			      uint64_t now_ms)
{
	const struct ready_entry **suspects;
	uint32_t n = 0;

	suspects = malloc((count + 1) * sizeof(struct ready_entry *));
	if (!suspects)
		abort();
	for (uint32_t i = 0; i < count; i++) {
		if (entries[i].crashes && step_is_settled(cell, &entries[i]))
			suspects[n++] = &entries[i];
	}
	qsort(suspects, n, sizeof(*suspects), compare_suspicion);
	for (uint32_t i = 0; i < n; i++) {
		struct cell_step *step = suspects[i]->step;
		bool yielded;
		uint32_t found;

		if (cell_step_exhausted(cell, step, suspects[i]->queue,
					now_ms) ||
		    cell_step_give_up(cell, step, now_ms) ||
		    !has_free_task(cell, step) ||
		    !cell_team_permits(cell, step, now_ms) ||
		    !cell_isolation_possible(cell, step, now_ms))
			continue;
		found = cell_candidates_collect(cell, step, suspects[i]->queue,
						candidates, &yielded, now_ms);
		cell_start_suspects(cell, step, candidates, found, now_ms);
		if (cell_suspect_crashes(step) &&
		    suspects[i]->queue->advice.needed)
			cell_request_advice(cell, step, suspects[i]->queue,
					    now_ms);
	}
	free(suspects);
}

static void schedule_step(struct cell *cell, const struct ready_entry *entry,
			  struct cell_candidate *candidates, uint64_t now_ms)
{
	struct cell_step *step = entry->step;
	bool yielded;
	uint32_t n;

	if (!step_is_settled(cell, entry))
		return;
	if (cell_step_exhausted(cell, step, entry->queue, now_ms) ||
	    cell_step_give_up(cell, step, now_ms) || cell_suspects_only(step) ||
	    !has_free_task(cell, step) ||
	    !cell_team_permits(cell, step, now_ms) ||
	    !cell_contain_admits(cell, step, entry->late))
		return;
	n = cell_candidates_collect(cell, step, entry->queue, candidates,
				    &yielded, now_ms);
	if (step->spec->same_rack)
		n = cell_candidates_filter_rack(cell, step, candidates, n);
	if (!place_tasks(cell, step, candidates, n, now_ms))
		cell_gang_reserve(cell, step, entry->queue, now_ms);
	/* More tickets would not help a step that yields. */
	if (cell_step_unstarted(step) && !yielded &&
	    entry->queue->advice.needed &&
	    cell_team_permits(cell, step, now_ms))
		cell_request_advice(cell, step, entry->queue, now_ms);
}

/*
 * Fills in the entry of a ready step; returns false if the step is not to be
 * tried in this pass.
 */
static bool ready_entry_make(const struct cell *cell, struct cell_step *step,
			     struct ready_entry *entry)
{
	*entry = (struct ready_entry){
		.queue = cell_queue(cell, step->job->spec.queue),
		.step = step,
	};
	if (!entry->queue || !cell_step_is_due(cell, step))
		return false;
	entry->priority = entry->queue->priority;
	entry->deadline_ms = cell_learn_deadline(cell, step);
	entry->id = step->job->spec.id;
	entry->late = cell->unix_ms > step->deadline_unix_ms &&
		      cell_contain_active(cell, entry->queue->name);
	entry->crashes = cell_suspect_crashes(step);
	return true;
}

static bool is_startable(const struct cell_step *step)
{
	return step->job->final_state == CELL_JOB_UNKNOWN &&
	       cell_step_unstarted(step);
}

/* Returns how many ready steps are tried before a step that becomes ready. */
uint32_t cell_ready_ahead(const struct cell *cell, struct cell_step *step)
{
	struct ready_entry own;
	struct ready_entry other;
	uint32_t n = 0;

	if (!ready_entry_make(cell, step, &own))
		return 0;
	for (uint32_t i = 0; i < cell->ready_count; i++)
		n += is_startable(cell->ready[i]) &&
		     ready_entry_make(cell, cell->ready[i], &other) &&
		     compare_urgency(&other, &own) < 0;
	return n;
}

/*
 * Tries a step of the list of ready steps. Notes the first one of the pass that
 * had to leave its advice request to a later slice.
 */
static void try_ready(struct cell *cell, const struct ready_entry *entry,
		      uint32_t at, struct cell_candidate *candidates,
		      uint64_t now_ms)
{
	cell->request_deferred = false;
	schedule_step(cell, entry, candidates, now_ms);
	if (cell->request_deferred && cell->deferred_from == CELL_NONE)
		cell->deferred_from = at;
}

static struct cell_candidate *candidates_new(const struct cell *cell)
{
	struct cell_candidate *candidates =
		malloc((cell->minion_count + 1) * sizeof(*candidates));

	if (!candidates)
		abort();
	return candidates;
}

/*
 * Starts the tasks that fit, the most urgent steps first, and leaves the list
 * of ready steps in that order.
 */
void cell_schedule(struct cell *cell, uint64_t now_ms)
{
	struct ready_entry *entries;
	struct cell_candidate *candidates;
	bool suspects = false;
	uint32_t kept = 0;
	uint32_t n = 0;

	cell->dirty = false;
	cell->slice_requests = 0;
	cell->deferred_from = CELL_NONE;
	cell_teams_recount(cell);
	if (!cell->config || !cell->ready_count || !cell->valid)
		return;
	entries = malloc(cell->ready_count * sizeof(*entries));
	if (!entries)
		abort();
	candidates = candidates_new(cell);
	for (uint32_t i = 0; i < cell->ready_count; i++) {
		struct cell_step *step = cell->ready[i];

		if (!is_startable(step)) {
			step->in_ready_list = false;
		} else if (ready_entry_make(cell, step, &entries[n])) {
			suspects |= entries[n].crashes > 0;
			n++;
		} else {
			cell->ready[kept++] = step;
		}
	}
	qsort(entries, n, sizeof(*entries), compare_urgency);
	for (uint32_t i = 0; i < n; i++)
		cell->ready[kept + i] = entries[i].step;
	cell->ready_count = kept + n;
	cell_contain_update(cell, now_ms);
	for (uint32_t i = 0; i < n && cell->contained_active; i++)
		cell_contain_waiting(cell, entries[i].step, entries[i].queue,
				     entries[i].late, now_ms);
	if (suspects)
		schedule_suspects(cell, entries, n, candidates, now_ms);
	for (uint32_t i = 0; i < n; i++)
		try_ready(cell, &entries[i], kept + i, candidates, now_ms);
	free(entries);
	free(candidates);
}

/*
 * Goes on with a pass that left advice requests to a later slice, until this
 * slice has prepared its share.
 */
void cell_schedule_deferred(struct cell *cell, uint64_t now_ms)
{
	struct cell_candidate *candidates;
	uint32_t at = cell->deferred_from;

	cell->slice_requests = 0;
	cell->deferred_from = CELL_NONE;
	cell_teams_recount(cell);
	if (!cell->config || !cell->valid)
		return;
	candidates = candidates_new(cell);
	for (; at < cell->ready_count && cell->deferred_from == CELL_NONE;
	     at++) {
		struct cell_step *step = cell->ready[at];
		struct ready_entry entry;

		if (is_startable(step) && ready_entry_make(cell, step, &entry))
			try_ready(cell, &entry, at, candidates, now_ms);
	}
	free(candidates);
}
