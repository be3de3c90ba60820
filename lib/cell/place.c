/* Order of the ready steps, and the minions that their tasks get. */
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

/* A ticket has to be valid at the minion when the start arrives. */
#define TICKET_MARGIN_MS 60

/* Ranks of minions that have room; the sum of what applies. */
#define RANK_DISTURBS 1
#define RANK_REMOTE 2
#define RANK_WANTED 4

struct candidate {
	struct cell_minion *minion;
	const struct cell_grant *grant; /* NULL: no ticket is needed */
	uint32_t rank;			/* lower is better */
	uint32_t free_cpu;
};

/* Returns what a task of the step takes from a minion's capacity. */
struct cell_res cell_step_held(const struct cell_step_spec *spec)
{
	struct cell_res held = spec->need;

	if (spec->fills)
		held.cpu_milli = 0;
	return held;
}

static uint32_t fit_of(uint32_t capacity, uint32_t held, uint32_t need)
{
	if (!need)
		return UINT32_MAX;
	return held >= capacity ? 0 : (capacity - held) / need;
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Runs of the step on the minion, with those that are being stopped. */
static uint32_t runs_of_step(const struct cell_minion *m,
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

/* Returns how many more tasks of the step have room on the minion. */
uint32_t cell_fit(const struct cell_minion *m, const struct cell_step *step)
{
	const struct cell_step_spec *spec = step->spec;
	struct cell_res need = cell_step_held(spec);
	const struct cell_res *cap = &m->info.capacity;
	uint32_t n;

	n = fit_of(cap->cpu_milli, m->held.cpu_milli, need.cpu_milli);
	n = min_u32(n, fit_of(cap->mem_mb, m->held.mem_mb, need.mem_mb));
	n = min_u32(n, fit_of(cap->gpu, m->held.gpu, need.gpu));
	if (spec->anti_affinity) {
		uint32_t here = runs_of_step(m, step);

		n = min_u32(n, spec->anti_affinity > here
				       ? spec->anti_affinity - here
				       : 0);
	}
	return min_u32(n, spec->count);
}

static bool has_label(const struct cell_minion *m, const char *label)
{
	for (uint32_t i = 0; i < m->info.label_count; i++) {
		if (!strcmp(m->info.labels[i], label))
			return true;
	}
	return false;
}

/* Returns true if the minion may run the step, apart from room and tickets. */
bool cell_minion_suits(const struct cell *cell, const struct cell_minion *m,
		       const struct cell_step *step,
		       const struct cell_queue_spec *queue, uint64_t now_ms)
{
	if (!cell_minion_usable(cell, m, now_ms) ||
	    strcmp(m->info.service, queue->service) != 0)
		return false;
	return !step->spec->requires[0] || has_label(m, step->spec->requires);
}

static int by_rank(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->free_cpu != y->free_cpu)
		return x->free_cpu < y->free_cpu ? -1 : 1;
	return x->minion->handle < y->minion->handle ? -1 : 1;
}

/* Filling tasks and serving tasks on one minion disturb each other. */
static bool disturbs(const struct cell_minion *m,
		     const struct cell_step_spec *spec)
{
	bool found = false;

	for (uint32_t i = 0; i < m->run_count && !found; i++)
		found = (spec->fills && m->runs[i].target_ms) ||
			(spec->target_ms && m->runs[i].fills);
	return found;
}

static void add_candidate(const struct cell_step *step, struct cell_minion *m,
			  const struct cell_grant *grant, struct candidate *out,
			  uint32_t *count, uint64_t now_ms)
{
	struct candidate *c;

	m->trial_tasks = cell_fit(m, step);
	if (!m->trial_tasks)
		return;
	c = &out[(*count)++];
	*c = (struct candidate){ .minion = m, .grant = grant };
	c->free_cpu = m->info.capacity.cpu_milli - m->held.cpu_milli;
	/* Filling tasks live on what others leave, the rest packs tightly. */
	if (step->spec->fills)
		c->free_cpu = UINT32_MAX - c->free_cpu;
	if (step->spec->affinity[0] && !has_label(m, step->spec->affinity))
		c->rank += RANK_REMOTE;
	if (disturbs(m, step->spec))
		c->rank += RANK_DISTURBS;
	if (!step->spec->gang && cell_minion_wanted(m, now_ms))
		c->rank += RANK_WANTED;
}

/*
 * Finds the minions that the step may use and that have room, the best first.
 * *@gave_way tells that others are left to gangs that wait.
 */
static uint32_t collect(struct cell *cell, struct cell_step *step,
			const struct cell_queue_spec *queue,
			struct candidate *out, bool *gave_way, uint64_t now_ms)
{
	uint32_t rows =
		queue->advice.needed ? step->grant_count : cell->minion_count;
	uint32_t n = 0;

	*gave_way = false;
	for (uint32_t i = 0; i < rows; i++) {
		const struct cell_grant *g =
			queue->advice.needed ? &step->grants[i] : NULL;
		struct cell_minion *m = cell->minions[g ? g->minion : i];

		if (g && (m->life != g->life ||
			  g->until_ms < now_ms + TICKET_MARGIN_MS))
			continue;
		if (!cell_minion_suits(cell, m, step, queue, now_ms))
			continue;
		if (cell_gives_way(cell, m, step, queue, now_ms))
			*gave_way = true;
		else
			add_candidate(step, m, g, out, &n, now_ms);
	}
	qsort(out, n, sizeof(*out), by_rank);
	return n;
}

static void start_task(struct cell *cell, struct cell_step *step,
		       uint32_t index, const struct candidate *c, uint64_t run,
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
				    .checkpoint = task->saved };

	cell_step_name(step, index, start.task);
	task->state = CELL_TASK_ACTIVE;
	task->run = run;
	task->minion = m->handle;
	task->progress_ms = now_ms;
	task->percent = 0;
	step->active++;
	if (job->state == CELL_JOB_QUEUED)
		job->state = CELL_JOB_RUNNING;
	placed = cell_run_add(m, start.task, run, step->spec, &held, now_ms);
	placed->pace = CELL_PACE_FULL;
	placed->pace_acked = true;
	start.deadline_ms = cell_minion_deadline(cell, m, now_ms);
	cell->stats.starts++;
	cell_event(cell,
		   &(struct cell_event){ .what = "run-start",
					 .task = start.task,
					 .minion = m->info.id,
					 .run = run,
					 .age_ms = now_ms - step->opened_ms });
	cell->owner->ops->start(cell->owner, &start);
}

/* Returns the candidate that takes the task, or NULL. */
static const struct candidate *pick(const struct candidate *c, uint32_t count,
				    const struct cell_task *task)
{
	const struct candidate *fallback = NULL;

	for (uint32_t i = 0; i < count; i++) {
		if (!c[i].minion->trial_tasks)
			continue;
		if (c[i].minion->handle != task->failed_on)
			return &c[i];
		if (!fallback)
			fallback = &c[i];
	}
	return fallback;
}

static uint32_t room_of(const struct candidate *c, uint32_t count)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < count; i++)
		n += c[i].minion->trial_tasks;
	return n;
}

/* Returns the room of the candidates in a rack. */
static uint32_t room_in_rack(const struct candidate *c, uint32_t count,
			     const char *rack)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (!strcmp(c[i].minion->info.rack, rack))
			n += c[i].minion->trial_tasks;
	}
	return n;
}

/* Returns the rack where tasks of the step run, or NULL. */
static const char *rack_of_step(const struct cell *cell,
				const struct cell_step *step)
{
	for (uint32_t i = 0; i < step->spec->count && step->active; i++) {
		if (step->tasks[i].state == CELL_TASK_ACTIVE)
			return cell->minions[step->tasks[i].minion]->info.rack;
	}
	return NULL;
}

/*
 * Keeps the candidates of one rack, for a step whose tasks are slow when they
 * are spread over several: the rack where it runs, else the one with the most
 * room. Keeps all if that rack has too little. Returns how many are kept.
 */
static uint32_t keep_rack(const struct cell *cell, const struct cell_step *step,
			  struct candidate *c, uint32_t count)
{
	const char *rack = rack_of_step(cell, step);
	uint32_t room = rack ? room_in_rack(c, count, rack) : 0;
	uint32_t wanted = step->spec->gang ? step->left : 1;
	uint32_t kept = 0;

	for (uint32_t i = 0; i < count && !step->active; i++) {
		uint32_t n = room_in_rack(c, count, c[i].minion->info.rack);

		if (n <= room)
			continue;
		room = n;
		rack = c[i].minion->info.rack;
	}
	if (!rack || room < wanted)
		return count;
	for (uint32_t i = 0; i < count; i++) {
		if (!strcmp(c[i].minion->info.rack, rack))
			c[kept++] = c[i];
	}
	return kept;
}

/*
 * Starts as many tasks of the step as have room; a gang starts as a whole.
 * Returns false if it is a gang that waits for room.
 */
static bool place(struct cell *cell, struct cell_step *step,
		  struct candidate *c, uint32_t count, uint64_t now_ms)
{
	bool gang = step->spec->gang;
	uint64_t run = cell->next_run;

	if (gang && step->active)
		return true;
	if (gang && room_of(c, count) < step->left)
		return false;
	for (uint32_t i = 0; i < step->spec->count; i++) {
		const struct candidate *to;

		if (step->tasks[i].state != CELL_TASK_READY)
			continue;
		to = pick(c, count, &step->tasks[i]);
		if (!to)
			return true;
		to->minion->trial_tasks--;
		if (!gang)
			run = cell->next_run++;
		start_task(cell, step, i, to, run, now_ms);
	}
	if (gang)
		cell->next_run++;
	return true;
}

struct order {
	uint32_t priority;
	uint64_t deadline_ms;
	const char *id;
	struct cell_step *step;
	const struct cell_queue_spec *queue;
};

/*
 * The earliest deadline first among steps of one priority. Load: gangs that
 * wait for room on the grown deployments; in order of arrival, short jobs miss
 * their objective behind long ones that have time.
 */
static int by_urgency(const void *a, const void *b)
{
	const struct order *x = a;
	const struct order *y = b;
	int by_id;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->deadline_ms != y->deadline_ms)
		return x->deadline_ms < y->deadline_ms ? -1 : 1;
	by_id = strcmp(x->id, y->id);
	if (by_id)
		return by_id;
	return x->step->index < y->step->index ? -1 : 1;
}

static void schedule_step(struct cell *cell, const struct order *order,
			  struct candidate *candidates, uint64_t now_ms)
{
	struct cell_step *step = order->step;
	bool gave_way;
	uint32_t n;

	/*
	 * What an earlier term started may run on a minion that has not been
	 * heard yet.
	 */
	if (step->job->inherited && (cell->unsettled || !cell->minions_listed))
		return;
	n = collect(cell, step, order->queue, candidates, &gave_way, now_ms);
	if (step->spec->same_rack)
		n = keep_rack(cell, step, candidates, n);
	if (!place(cell, step, candidates, n, now_ms))
		cell_gang_waits(cell, step, order->queue, now_ms);
	/* More tickets would not help a step that gives way. */
	if (cell_step_todo(step) && !gave_way && order->queue->advice.needed)
		cell_advice_wanted(cell, step, order->queue, now_ms);
}

/* Starts what has room, the most urgent steps first. */
void cell_schedule(struct cell *cell, uint64_t now_ms)
{
	struct order *orders;
	struct candidate *candidates;
	uint32_t kept = 0;
	uint32_t n = 0;

	cell->dirty = false;
	if (!cell->config || !cell->ready_count || !cell->valid)
		return;
	orders = malloc(cell->ready_count * sizeof(*orders));
	candidates = malloc((cell->minion_count + 1) * sizeof(*candidates));
	if (!orders || !candidates)
		abort();
	for (uint32_t i = 0; i < cell->ready_count; i++) {
		struct cell_step *step = cell->ready[i];
		struct order *o = &orders[n];

		if (step->job->final != CELL_JOB_UNKNOWN ||
		    !cell_step_todo(step)) {
			step->waiting = false;
			continue;
		}
		cell->ready[kept++] = step;
		o->queue = cell_queue(cell, step->job->spec.queue);
		if (!o->queue)
			continue;
		o->step = step;
		o->priority = o->queue->priority;
		o->deadline_ms = step->job->deadline_unix_ms;
		o->id = step->job->spec.id;
		n++;
	}
	cell->ready_count = kept;
	qsort(orders, n, sizeof(*orders), by_urgency);
	for (uint32_t i = 0; i < n; i++)
		schedule_step(cell, &orders[i], candidates, now_ms);
	free(orders);
	free(candidates);
}
