#include "queue.h"

#include <stdlib.h>

#include "place.h"

#define NIL UINT32_MAX

/* A waiting job in the list of its group. The free list is linked by next. */
struct slot {
	struct queue_job job;
	uint32_t gen; /* 0 is never used, so that no handle is QUEUE_NONE */
	uint32_t next;
	uint32_t prev;
	uint32_t group;
	uint32_t reservations;	/* number held so far */
	uint64_t wait_start_ms; /* end of its last reservation, or since_ms */
	bool reserved;
	bool large; /* too large for any reservation but number 0 */
	bool live;
};

/*
 * Waiting jobs of the same owner, urgency and size, oldest first. When one of
 * them cannot be placed, neither can the others.
 */
struct group {
	uint32_t owner;
	uint32_t entry;
	uint32_t tasks;
	bool urgent;
	uint32_t head;
	uint32_t tail;
	uint32_t next; /* of the same owner and urgency, or in the free list */
	uint32_t blocked_pass;
};

/* Waiting jobs of one owner; arrays are indexed by urgency. */
struct owner_queue {
	uint32_t groups[2];
	uint32_t ready[2]; /* groups that are not blocked in this pass */
	bool in_heap[2];   /* the owner is in heaps[urgency] */
	uint32_t count;	   /* waiting jobs */
};

/* An owner in a heap, with its share when it was last inserted or sifted. */
struct heap_item {
	double share;
	uint32_t owner;
};

/* Min-heap by share of the owners with jobs not blocked in this pass. */
struct heap {
	struct heap_item *items;
	uint32_t count;
	uint32_t size;
};

struct reservation {
	queue_ref ref;
	uint64_t start_ms;
	uint64_t until_ms;
	uint32_t tried_pass;
};

struct queue {
	struct share *share;
	struct queue_limits limits;
	struct slot *slots;
	uint32_t slot_count, slot_size, slot_free;
	struct group *groups;
	uint32_t group_count, group_size, group_free;
	struct owner_queue *owners; /* by owner */
	uint32_t owner_count;
	struct heap heaps[2]; /* by urgency */
	uint32_t count;
	uint32_t pass;
	uint64_t now_ms;
	queue_ref offered; /* result of the last queue_next() */
	/*
	 * Jobs blocked in this pass that may get a reservation: the first, and
	 * the one waiting longest.
	 */
	queue_ref blocked[2];
	/* Copy of blocked[] made when a later job started and overtook them. */
	queue_ref candidate[2];
	uint32_t next_candidate;    /* index of the one to reserve for */
	uint64_t next_exclusive_ms; /* earliest start of reservation 0 */
	struct reservation reservations[QUEUE_RESERVATIONS];
};

/*
 * Creates an empty queue that orders owners by @share, which stays the caller's
 * and must outlive the queue. Returns NULL when out of memory.
 */
struct queue *queue_new(struct share *share, const struct queue_limits *limits)
{
	struct queue *q = calloc(1, sizeof(*q));

	if (!q)
		return NULL;
	q->share = share;
	q->limits = *limits;
	q->slot_free = NIL;
	q->group_free = NIL;
	q->pass = 1;
	return q;
}

/* Frees @q, which may be NULL. */
void queue_free(struct queue *q)
{
	if (!q)
		return;
	free(q->slots);
	free(q->groups);
	free(q->owners);
	free(q->heaps[0].items);
	free(q->heaps[1].items);
	free(q);
}

/* Returns the handle of slot @index. */
static queue_ref ref_of(const struct queue *q, uint32_t index)
{
	return (queue_ref)q->slots[index].gen << 32 | index;
}

/* Returns the slot of a waiting job, or NULL if @ref is stale. */
static struct slot *find_slot(const struct queue *q, queue_ref ref)
{
	uint32_t index = (uint32_t)ref;

	if (index >= q->slot_count || !q->slots[index].live ||
	    q->slots[index].gen != ref >> 32)
		return NULL;
	return &q->slots[index];
}

/* Doubles the capacity of @array; returns false when out of memory. */
static bool grow_array(void **array, uint32_t *size, size_t element)
{
	uint32_t larger = *size ? 2 * *size : 16;
	void *p = realloc(*array, larger * element);

	if (!p)
		return false;
	*array = p;
	*size = larger;
	return true;
}

/* Returns the index of a free slot, or NIL when out of memory. */
static uint32_t alloc_slot(struct queue *q)
{
	uint32_t i = q->slot_free;

	if (i != NIL) {
		q->slot_free = q->slots[i].next;
		return i;
	}
	if (q->slot_count == q->slot_size &&
	    !grow_array((void **)&q->slots, &q->slot_size, sizeof(*q->slots)))
		return NIL;
	q->slots[q->slot_count] = (struct slot){ .gen = 1 };
	return q->slot_count++;
}

/* Puts slot @i on the free list; the new generation makes old handles stale. */
static void release_slot(struct queue *q, uint32_t i)
{
	struct slot *s = &q->slots[i];

	s->live = false;
	s->gen = s->gen == UINT32_MAX ? 1 : s->gen + 1;
	s->next = q->slot_free;
	q->slot_free = i;
}

/*
 * Grows the table of owners to include @owner. Returns false when out of memory
 * or for SHARE_NONE.
 */
static bool ensure_owner(struct queue *q, uint32_t owner)
{
	struct owner_queue *owners;

	if (owner < q->owner_count)
		return true;
	if (owner == SHARE_NONE)
		return false;
	owners = realloc(q->owners, (owner + 1) * sizeof(*owners));
	if (!owners)
		return false;
	q->owners = owners;
	while (q->owner_count <= owner)
		owners[q->owner_count++] =
			(struct owner_queue){ .groups = { NIL, NIL } };
	return true;
}

/* Orders by share, then by owner handle. */
static bool item_before(const struct heap_item *a, const struct heap_item *b)
{
	return a->share < b->share ||
	       (a->share <= b->share && a->owner < b->owner);
}

/* Restores the heap order below index @i. */
static void sift_down(struct heap *h, uint32_t i)
{
	struct heap_item item = h->items[i];
	uint32_t child;

	while ((child = 2 * i + 1) < h->count) {
		if (child + 1 < h->count &&
		    item_before(&h->items[child + 1], &h->items[child]))
			child++;
		if (!item_before(&h->items[child], &item))
			break;
		h->items[i] = h->items[child];
		i = child;
	}
	h->items[i] = item;
}

/* Inserts @owner into the heap; returns false when out of memory. */
static bool push_owner(struct queue *q, uint32_t owner, bool urgent)
{
	struct heap *h = &q->heaps[urgent];
	struct heap_item item = { share_of(q->share, owner), owner };
	uint32_t i = h->count;

	if (q->owners[owner].in_heap[urgent])
		return true;
	if (h->count == h->size &&
	    !grow_array((void **)&h->items, &h->size, sizeof(*h->items)))
		return false;
	q->owners[owner].in_heap[urgent] = true;
	h->count++;
	while (i && item_before(&item, &h->items[(i - 1) / 2])) {
		h->items[i] = h->items[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	h->items[i] = item;
	return true;
}

/*
 * Returns the owner with the lowest share among those with a job that is not
 * blocked, or SHARE_NONE. Stored shares are refreshed lazily: an owner whose
 * share has risen is sifted down when it reaches the top. This is sufficient
 * because shares fall only between passes.
 */
static uint32_t top_owner(struct queue *q, bool urgent)
{
	struct heap *h = &q->heaps[urgent];

	while (h->count) {
		struct heap_item *top = &h->items[0];
		double share = share_of(q->share, top->owner);

		if (!q->owners[top->owner].ready[urgent]) {
			q->owners[top->owner].in_heap[urgent] = false;
			*top = h->items[--h->count];
		} else if (share > top->share) {
			top->share = share;
		} else {
			return top->owner;
		}
		if (h->count)
			sift_down(h, 0);
	}
	return SHARE_NONE;
}

/*
 * Returns the group that @job belongs to, created if needed, or NIL when out of
 * memory.
 */
static uint32_t get_group(struct queue *q, const struct queue_job *job)
{
	struct owner_queue *oq = &q->owners[job->owner];
	uint32_t i = oq->groups[job->urgent];

	for (; i != NIL; i = q->groups[i].next) {
		if (q->groups[i].entry == job->entry &&
		    q->groups[i].tasks == job->tasks)
			return i;
	}
	if (!push_owner(q, job->owner, job->urgent))
		return NIL;
	i = q->group_free;
	if (i != NIL) {
		q->group_free = q->groups[i].next;
	} else {
		if (q->group_count == q->group_size &&
		    !grow_array((void **)&q->groups, &q->group_size,
				sizeof(*q->groups)))
			return NIL;
		i = q->group_count++;
	}
	q->groups[i] = (struct group){
		.owner = job->owner,
		.entry = job->entry,
		.tasks = job->tasks,
		.urgent = job->urgent,
		.head = NIL,
		.tail = NIL,
		.next = oq->groups[job->urgent],
	};
	oq->groups[job->urgent] = i;
	oq->ready[job->urgent]++;
	return i;
}

/* Unlinks the empty group @i from its owner and puts it on the free list. */
static void release_group(struct queue *q, uint32_t i)
{
	struct group *g = &q->groups[i];
	struct owner_queue *oq = &q->owners[g->owner];
	uint32_t *at = &oq->groups[g->urgent];

	while (*at != i)
		at = &q->groups[*at].next;
	*at = g->next;
	if (g->blocked_pass != q->pass)
		oq->ready[g->urgent]--;
	g->next = q->group_free;
	q->group_free = i;
}

/* Inserts slot @i into group @g by age; O(1) for the newest or oldest job. */
static void link_slot(struct queue *q, uint32_t i, struct group *g)
{
	struct slot *s = &q->slots[i];
	uint32_t prev = g->tail;

	if (g->head != NIL && s->job.since_ms < q->slots[g->head].job.since_ms)
		prev = NIL;
	while (prev != NIL && q->slots[prev].job.since_ms > s->job.since_ms)
		prev = q->slots[prev].prev;
	s->prev = prev;
	s->next = prev == NIL ? g->head : q->slots[prev].next;
	if (s->prev == NIL)
		g->head = i;
	else
		q->slots[s->prev].next = i;
	if (s->next == NIL)
		g->tail = i;
	else
		q->slots[s->next].prev = i;
}

/*
 * Adds a waiting job and returns its handle, or QUEUE_NONE when out of memory
 * or when the owner is SHARE_NONE. A job that is requeued after a failure keeps
 * its position if since_ms is that of its first submission.
 */
queue_ref queue_add(struct queue *q, const struct queue_job *job)
{
	uint32_t i, g;

	if (!ensure_owner(q, job->owner))
		return QUEUE_NONE;
	i = alloc_slot(q);
	if (i == NIL)
		return QUEUE_NONE;
	g = get_group(q, job);
	if (g == NIL) {
		release_slot(q, i);
		return QUEUE_NONE;
	}
	q->slots[i].job = *job;
	q->slots[i].group = g;
	q->slots[i].reservations = 0;
	q->slots[i].wait_start_ms = job->since_ms;
	q->slots[i].reserved = false;
	q->slots[i].large = false;
	q->slots[i].live = true;
	link_slot(q, i, &q->groups[g]);
	q->owners[job->owner].count++;
	q->count++;
	return ref_of(q, i);
}

/*
 * Ends reservation @number at @at_ms. Reservation 0 may have kept all workers
 * from other jobs, so it is not given out again for as long as it was held.
 */
static void end_reservation(struct queue *q, uint32_t number, uint64_t at_ms)
{
	struct reservation *r = &q->reservations[number];
	struct slot *s = find_slot(q, r->ref);

	if (s) {
		s->wait_start_ms = at_ms;
		s->reserved = false;
	}
	if (!number)
		q->next_exclusive_ms = at_ms + (at_ms - r->start_ms);
	*r = (struct reservation){ 0 };
}

/*
 * Returns the number of the reservation held by @ref, or QUEUE_RESERVATIONS if
 * it holds none.
 */
static uint32_t reservation_of(const struct queue *q, queue_ref ref)
{
	uint32_t i = 0;

	while (i < QUEUE_RESERVATIONS && q->reservations[i].ref != ref)
		i++;
	return i;
}

/*
 * Removes a job that starts or is cancelled. Returns false for a stale handle.
 * Removal of the job that queue_next() returned last counts as a start: the job
 * overtakes those that were blocked earlier in the pass.
 */
bool queue_remove(struct queue *q, queue_ref ref)
{
	struct slot *s = find_slot(q, ref);
	struct group *g;

	if (!s)
		return false;
	g = &q->groups[s->group];
	if (s->prev == NIL)
		g->head = s->next;
	else
		q->slots[s->prev].next = s->next;
	if (s->next == NIL)
		g->tail = s->prev;
	else
		q->slots[s->next].prev = s->prev;
	if (s->reserved)
		end_reservation(q, reservation_of(q, ref), q->now_ms);
	if (ref == q->offered) {
		q->candidate[0] = q->blocked[0];
		q->candidate[1] = q->blocked[1];
	}
	q->owners[g->owner].count--;
	q->count--;
	if (g->head == NIL)
		release_group(q, s->group);
	release_slot(q, (uint32_t)ref);
	return true;
}

/*
 * Returns the job of @ref, or NULL for a stale handle. The pointer is valid
 * until the queue is modified.
 */
const struct queue_job *queue_get(const struct queue *q, queue_ref ref)
{
	const struct slot *s = find_slot(q, ref);

	return s ? &s->job : NULL;
}

/* Returns the number of waiting jobs. */
uint32_t queue_count(const struct queue *q)
{
	return q->count;
}

/* Returns the number of waiting jobs of @owner. */
uint32_t queue_count_owner(const struct queue *q, uint32_t owner)
{
	return owner < q->owner_count ? q->owners[owner].count : 0;
}

/*
 * Returns the number of a free reservation for @s, or QUEUE_RESERVATIONS if
 * there is none.
 */
static uint32_t free_reservation(const struct queue *q, const struct slot *s)
{
	if (!q->reservations[0].ref && q->now_ms >= q->next_exclusive_ms)
		return 0;
	for (uint32_t i = 1; i < QUEUE_RESERVATIONS && !s->large; i++) {
		if (!q->reservations[i].ref)
			return i;
	}
	return QUEUE_RESERVATIONS;
}

/*
 * Gives @ref a reservation if one is free. Its length doubles with each
 * reservation that the job has held. Returns whether it got one.
 */
static bool reserve(struct queue *q, queue_ref ref)
{
	struct slot *s = find_slot(q, ref);
	uint64_t length_ms;
	uint32_t i;

	if (!s || s->reserved)
		return false;
	i = free_reservation(q, s);
	if (i == QUEUE_RESERVATIONS)
		return false;
	length_ms = (uint64_t)q->limits.reserve_ms
		    << (s->reservations < 16 ? s->reservations : 16);
	if (length_ms > q->limits.reserve_max_ms)
		length_ms = q->limits.reserve_max_ms;
	s->reservations++;
	s->reserved = true;
	q->reservations[i] = (struct reservation){
		.ref = ref,
		.start_ms = q->now_ms,
		.until_ms = q->now_ms + length_ms,
	};
	return true;
}

/*
 * Ends expired reservations and gives out a new one, alternating between the
 * candidate whose owner has the lowest share and the one that has waited
 * longest: the former for fairness, the latter against starvation.
 */
static void update_reservations(struct queue *q)
{
	for (uint32_t i = 0; i < QUEUE_RESERVATIONS; i++) {
		const struct reservation *r = &q->reservations[i];

		if (r->ref && q->now_ms >= r->until_ms)
			end_reservation(q, i, r->until_ms);
	}
	if (reserve(q, q->candidate[q->next_candidate]))
		q->next_candidate = !q->next_candidate;
}

/* Unblocks all groups of @owner; inserts it into the heap if it has any. */
static void reset_owner(struct queue *q, uint32_t owner, bool urgent)
{
	struct owner_queue *oq = &q->owners[owner];

	oq->ready[urgent] = 0;
	oq->in_heap[urgent] = false;
	for (uint32_t i = oq->groups[urgent]; i != NIL; i = q->groups[i].next) {
		q->groups[i].blocked_pass = 0;
		oq->ready[urgent]++;
	}
	/* Cannot fail: queue_add() made room for all owners with jobs. */
	if (oq->ready[urgent])
		push_owner(q, owner, urgent);
}

/*
 * Begins a pass over the waiting jobs, none of which is blocked at first.
 * Expired reservations end here, and at most one new reservation begins.
 */
void queue_begin(struct queue *q, uint64_t now_ms)
{
	if (now_ms > q->now_ms)
		q->now_ms = now_ms;
	q->pass = q->pass == UINT32_MAX ? 1 : q->pass + 1;
	for (int urgent = 0; urgent < 2; urgent++) {
		q->heaps[urgent].count = 0;
		for (uint32_t o = 0; o < q->owner_count; o++)
			reset_owner(q, o, urgent);
	}
	update_reservations(q);
	for (int i = 0; i < 2; i++) {
		q->candidate[i] = QUEUE_NONE;
		q->blocked[i] = QUEUE_NONE;
	}
	q->offered = QUEUE_NONE;
}

/*
 * Returns the oldest job that is not blocked of the owner with the lowest
 * share, or QUEUE_NONE.
 */
static queue_ref next_by_share(struct queue *q, bool urgent)
{
	uint32_t owner = top_owner(q, urgent);
	uint32_t best = NIL;

	if (owner == SHARE_NONE)
		return QUEUE_NONE;
	for (uint32_t i = q->owners[owner].groups[urgent]; i != NIL;
	     i = q->groups[i].next) {
		uint32_t head = q->groups[i].head;

		if (q->groups[i].blocked_pass == q->pass)
			continue;
		if (best == NIL ||
		    q->slots[head].job.since_ms < q->slots[best].job.since_ms)
			best = head;
	}
	return best == NIL ? QUEUE_NONE : ref_of(q, best);
}

/* Returns a reserved job not yet tried in this pass, or QUEUE_NONE. */
static queue_ref next_reserved(struct queue *q)
{
	for (uint32_t i = 0; i < QUEUE_RESERVATIONS; i++) {
		struct reservation *r = &q->reservations[i];

		if (!r->ref || r->tried_pass == q->pass)
			continue;
		r->tried_pass = q->pass;
		return r->ref;
	}
	return QUEUE_NONE;
}

/*
 * Returns the job to try next in this pass, or QUEUE_NONE when all are blocked.
 * The caller then either removes it or calls queue_blocked(). Urgent jobs come
 * first, then jobs with a reservation, then the oldest job of the owner with
 * the lowest share.
 */
queue_ref queue_next(struct queue *q)
{
	queue_ref ref = next_by_share(q, true);

	if (!ref)
		ref = next_reserved(q);
	if (!ref)
		ref = next_by_share(q, false);
	q->offered = ref;
	return ref;
}

/*
 * Records a blocked job that has waited long enough for a reservation. It
 * becomes a candidate for one if a later job starts in the same pass. Waiting
 * time counts from the end of the job's own last reservation: a stream of newer
 * jobs cannot delay the next one indefinitely, and a job that never gets enough
 * room does not prevent reservations of other jobs.
 */
static void note_candidate(struct queue *q, queue_ref ref, const struct slot *s)
{
	const struct slot *longest = find_slot(q, q->blocked[1]);

	if (s->reserved ||
	    q->now_ms < s->wait_start_ms + q->limits.reserve_after_ms)
		return;
	if (!find_slot(q, q->blocked[0]))
		q->blocked[0] = ref;
	if (!longest || s->wait_start_ms < longest->wait_start_ms)
		q->blocked[1] = ref;
}

/*
 * Marks the job as unable to start now. All jobs of the same owner, urgency,
 * entry and number of tasks are skipped for the rest of the pass.
 */
void queue_blocked(struct queue *q, queue_ref ref, enum queue_reason why)
{
	const struct slot *s = find_slot(q, ref);
	struct group *g;

	if (!s)
		return;
	g = &q->groups[s->group];
	if (g->blocked_pass != q->pass) {
		g->blocked_pass = q->pass;
		q->owners[g->owner].ready[g->urgent]--;
	}
	if (why == QUEUE_NO_ROOM)
		note_candidate(q, ref, s);
}

/*
 * Returns the job with reservation @number, which is below QUEUE_RESERVATIONS,
 * or QUEUE_NONE. The caller keeps workers for it with place_fence_for() and the
 * fence @number + 1, while small jobs continue on the others. Number 0 may take
 * as many workers as it needs, the others at most one in QUEUE_FENCE_PART.
 */
queue_ref queue_reservation(const struct queue *q, uint32_t number)
{
	return number < QUEUE_RESERVATIONS ? q->reservations[number].ref
					   : QUEUE_NONE;
}

/*
 * Ends reservation @number early because enough workers cannot be fenced. A job
 * that was too large for a number above 0 is limited to number 0 from then on.
 */
void queue_drop(struct queue *q, uint32_t number)
{
	struct slot *s = find_slot(q, queue_reservation(q, number));

	if (!s)
		return;
	if (number)
		s->large = true;
	end_reservation(q, number, q->now_ms);
}

/* Returns the value of place_policy.allowed_fence for the placement of @ref. */
uint8_t queue_fence(const struct queue *q, queue_ref ref)
{
	const struct slot *s = find_slot(q, ref);

	if (!s)
		return 0;
	if (s->job.urgent)
		return PLACE_ANY_FENCE;
	return s->reserved ? (uint8_t)(reservation_of(q, ref) + 1) : 0;
}

/* Ends reservation 0 early because enough workers cannot be fenced. */
void queue_drop_reservation(struct queue *q)
{
	queue_drop(q, 0);
}

/* Returns the job with reservation 0, or QUEUE_NONE. */
queue_ref queue_reserved(const struct queue *q)
{
	return queue_reservation(q, 0);
}

/* Returns whether @ref may use the workers fenced for reservation 0. */
bool queue_may_use_reserved(const struct queue *q, queue_ref ref)
{
	uint8_t fence = queue_fence(q, ref);

	return fence == 1 || fence == PLACE_ANY_FENCE;
}
