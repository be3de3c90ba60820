/*
 * Stores submitted jobs in groups. A job is accepted
 * once its key exists; the condition that it does not exist yet makes every
 * repetition harmless, also one that the store carries out late.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "celld.h"

/* A slow store answers within 0.3 s; lost answers cost this long, in ms. */
#define TXN_TIMEOUT_MS 400
/*
 * Transactions in flight at a time. A further one is sent only when the latest
 * is slower than a healthy store, in ms; until then jobs gather for the next.
 */
#define GROUPS_MAX 4
#define SLOW_MS 30
/* Jobs of the last seconds are told to a new holder again, in ms. */
#define RECENT_MS 12000
#define RECENT_MAX 4096
/* The final answer leaves this long before the deadline of its caller, in ms.
 */
#define ANSWER_MARGIN_MS 150
/* How long the holder may take to store a job for this daemon, in ms. */
#define FORWARD_MS 1300
#define RETRY_MS 60
/*
 * The store counts as unavailable when all calls have failed for this long, in
 * ms. New jobs are refused from then on without being sent, so that it is
 * certain that they have not run.
 */
#define UNAVAILABLE_MS 250
/*
 * A job that was sent without an answer is given up when all calls have failed
 * for this long, in ms: few outages of that length end before its deadline.
 */
#define GIVE_UP_MS 1000
/* An unavailable store is asked this often whether it is back, in ms. */
#define PROBE_MS 100
#define PROBE_TIMEOUT_MS 400

struct waiting {
	char id[CELL_ID_MAX];
	struct buf record;
	bool may_forward;
	bool maybe_stored; /* a transaction with it had no answer */
	bool created;	   /* this daemon's transaction stored it */
	uint64_t since_ms;
	uint64_t deadline_ms;
	cd_answered done;
	void *ctx;
	struct waiting *next;
};

/* Jobs of a transaction in flight. */
struct group {
	struct acceptor *acceptor;
	struct waiting *first; /* NULL: the group is free */
};

struct recent {
	uint64_t at_ms;
	struct buf record;
};

struct acceptor {
	struct celld *d;
	struct waiting *first;
	struct waiting **last;
	struct group groups[GROUPS_MAX];
	uint64_t sent_ms; /* when the latest transaction was sent */
	struct timer retry;
	struct timer probe;
	struct timer slow; /* the transaction in flight is slow */
	bool probing;
	struct recent recent[RECENT_MAX];
	uint32_t recent_at;
};

static void flush(struct acceptor *a);

static void enqueue(struct acceptor *a, struct waiting *w)
{
	w->next = NULL;
	*a->last = w;
	a->last = &w->next;
}

static void remember(struct acceptor *a, struct waiting *w, uint64_t now)
{
	struct recent *r = &a->recent[a->recent_at];

	a->recent_at = (a->recent_at + 1) % RECENT_MAX;
	buf_free(&r->record);
	r->at_ms = now;
	r->record = buf_take(&w->record);
}

static void tell_holder(struct acceptor *a, const struct buf *record,
			bool fresh)
{
	if (a->d->holder)
		holder_job(a->d->holder, record->data, record->len, fresh);
	else
		links_send_job(a->d->links, record, fresh);
}

/* Tells a new holder of the jobs that its predecessor may not have stored. */
void accept_resend(struct acceptor *a)
{
	uint64_t now = loop_now_ms();

	for (uint32_t i = 0; i < RECENT_MAX; i++) {
		struct recent *r = &a->recent[(a->recent_at + i) % RECENT_MAX];

		if (!r->record.len)
			continue;
		if (now > r->at_ms + RECENT_MS)
			buf_free(&r->record);
		else
			tell_holder(a, &r->record, false);
	}
}

static void answer(struct acceptor *a, struct waiting *w, enum cd_answer result)
{
	uint64_t now = loop_now_ms();

	ev("accept", "id=%s result=%s waited_ms=%llu maybe_stored=%d", w->id,
	   result == CD_OK	  ? "stored"
	   : result == CD_REFUSED ? "not-run"
				  : "unknown",
	   (unsigned long long)(now - w->since_ms), w->maybe_stored);
	if (result == CD_OK) {
		tell_holder(a, &w->record, w->created && !w->maybe_stored);
		remember(a, w, now);
	}
	w->done(w->ctx, result, 0);
	buf_free(&w->record);
	free(w);
}

static bool key_is(const struct pf_item *item, const char *id)
{
	return !strncmp(item->key, CD_JOB_PREFIX, strlen(CD_JOB_PREFIX)) &&
	       !strcmp(item->key + strlen(CD_JOB_PREFIX), id);
}

static bool exists(const struct pf_reply *reply, const char *id)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		if (key_is(&reply->items[i], id))
			return reply->items[i].revision > 0;
	}
	return false;
}

static void on_forwarded(void *ctx, enum cd_answer result, uint32_t number)
{
	struct waiting *w = ctx;

	(void)number;
	if (w->maybe_stored && result != CD_OK)
		result = CD_UNKNOWN;
	ev("accept", "id=%s result=%s via=holder waited_ms=%llu", w->id,
	   result == CD_OK	  ? "stored"
	   : result == CD_REFUSED ? "not-run"
				  : "unknown",
	   (unsigned long long)(loop_now_ms() - w->since_ms));
	w->done(w->ctx, result, 0);
	buf_free(&w->record);
	free(w);
}

static bool store_unavailable(const struct acceptor *a)
{
	return pf_store_failing_ms(a->d->store) > UNAVAILABLE_MS;
}

/* The store does not serve this daemon; the holder may be luckier. */
static bool forward(struct acceptor *a, struct waiting *w, uint64_t now)
{
	uint64_t deadline = now + FORWARD_MS;

	if (!w->may_forward || a->d->holder || !links_up(a->d->links) ||
	    links_holder_store_age(a->d->links) > FORWARD_MS)
		return false;
	if (deadline + ANSWER_MARGIN_MS > w->deadline_ms)
		deadline = w->deadline_ms - ANSWER_MARGIN_MS;
	asks_send(a->d->asks, CD_OP_SUBMIT, w->id, &w->record, deadline,
		  on_forwarded, w);
	return true;
}

static void not_stored(struct acceptor *a, struct waiting *w,
		       enum pf_status status)
{
	uint64_t now = loop_now_ms();

	if (status == PF_UNKNOWN)
		w->maybe_stored = true;
	if (status == PF_UNKNOWN && !store_unavailable(a) &&
	    now + ANSWER_MARGIN_MS < w->deadline_ms) {
		/* Only an answer was lost: another try is likely to have one.
		 */
		enqueue(a, w);
		return;
	}
	if (now + ANSWER_MARGIN_MS < w->deadline_ms && forward(a, w, now))
		return;
	if (!w->maybe_stored)
		answer(a, w, CD_REFUSED);
	else if (now + ANSWER_MARGIN_MS >= w->deadline_ms ||
		 pf_store_failing_ms(a->d->store) > GIVE_UP_MS)
		answer(a, w, CD_UNKNOWN);
	else
		enqueue(a, w);
}

static void on_commit(void *ctx, const struct pf_reply *reply)
{
	struct group *group = ctx;
	struct acceptor *a = group->acceptor;
	struct waiting *list = group->first;
	bool failed = reply->status != PF_OK && reply->status != PF_CONFLICT;

	group->first = NULL;
	while (list) {
		struct waiting *w = list;

		list = w->next;
		w->created = reply->status == PF_OK;
		if (w->created || exists(reply, w->id))
			answer(a, w, CD_OK);
		else if (failed)
			not_stored(a, w, reply->status);
		else
			enqueue(a, w);
	}
	if (failed)
		timer_start(a->d->loop, &a->retry, RETRY_MS);
	else
		flush(a);
}

static void on_probe_answer(void *ctx, const struct pf_reply *reply)
{
	struct acceptor *a = ctx;

	a->probing = false;
	if (reply->status >= PF_REJECTED)
		timer_start(a->d->loop, &a->probe, PROBE_MS);
}

static void on_probe(struct timer *timer)
{
	struct acceptor *a = timer->ctx;

	a->probing = true;
	pf_get(a->d->store, CD_SECRET_KEY, PROBE_TIMEOUT_MS, on_probe_answer,
	       a);
}

/* Refuses, or passes on, the jobs that have not been sent yet. */
static void turn_away(struct acceptor *a)
{
	struct waiting *list = a->first;

	a->first = NULL;
	a->last = &a->first;
	while (list) {
		struct waiting *w = list;

		list = w->next;
		if (w->maybe_stored)
			enqueue(a, w);
		else
			not_stored(a, w, PF_REJECTED);
	}
	if (!a->probing && !a->probe.heap_pos)
		timer_start(a->d->loop, &a->probe, 0);
}

static bool in_group(const struct waiting *group, const char *id)
{
	for (; group; group = group->next) {
		if (!strcmp(group->id, id))
			return true;
	}
	return false;
}

/* Returns a free group if another transaction may be sent now, or NULL. */
static struct group *next_group(struct acceptor *a)
{
	uint64_t now = loop_now_ms();
	struct group *free_group = NULL;
	bool in_flight = false;

	for (uint32_t i = 0; i < GROUPS_MAX; i++) {
		if (a->groups[i].first)
			in_flight = true;
		else
			free_group = &a->groups[i];
	}
	if (!in_flight || now >= a->sent_ms + SLOW_MS)
		return free_group;
	if (!a->slow.heap_pos)
		timer_start(a->d->loop, &a->slow, SLOW_MS);
	return NULL;
}

static void flush(struct acceptor *a)
{
	static char keys[PF_TXN_MAX][sizeof(CD_JOB_PREFIX) + CELL_ID_MAX];
	struct pf_txn txn = { 0 };
	struct group *group;
	struct waiting **tail;
	uint32_t n = 0;

	if (store_unavailable(a))
		turn_away(a);
	if (!a->first || a->retry.heap_pos)
		return;
	group = next_group(a);
	if (!group)
		return;
	tail = &group->first;
	/* The other one with the same id waits for the next transaction. */
	while (a->first && n < PF_TXN_MAX - 1 &&
	       !in_group(group->first, a->first->id)) {
		struct waiting *w = a->first;

		a->first = w->next;
		w->next = NULL;
		*tail = w;
		tail = &w->next;
		snprintf(keys[n], sizeof(keys[n]), CD_JOB_PREFIX "%s", w->id);
		txn.conditions[n] = (struct pf_condition){ .key = keys[n] };
		txn.puts[n] = (struct pf_put){ .key = keys[n],
					       .value = w->record.data,
					       .len = w->record.len };
		n++;
	}
	if (!a->first)
		a->last = &a->first;
	txn.condition_count = n;
	txn.put_count = n;
	a->sent_ms = loop_now_ms();
	pf_commit(a->d->store, &txn, TXN_TIMEOUT_MS, on_commit, group);
}

static void on_retry(struct timer *timer)
{
	flush(timer->ctx);
}

/*
 * Stores a job, whose encoded @record is copied. @done is told CD_OK once it is
 * durable, CD_REFUSED if it is not and never will be, CD_UNKNOWN otherwise.
 */
void accept_job(struct acceptor *a, const char *id, const struct buf *record,
		bool may_forward, uint64_t deadline_ms, cd_answered done,
		void *ctx)
{
	struct waiting *w = xcalloc(1, sizeof(*w));

	snprintf(w->id, sizeof(w->id), "%s", id);
	w->record = buf_copy(record->data, record->len);
	w->may_forward = may_forward;
	w->since_ms = loop_now_ms();
	w->deadline_ms = deadline_ms;
	w->done = done;
	w->ctx = ctx;
	enqueue(a, w);
	flush(a);
}

struct acceptor *accept_new(struct celld *d)
{
	struct acceptor *a = xcalloc(1, sizeof(*a));

	a->d = d;
	a->last = &a->first;
	a->retry = (struct timer){ .fn = on_retry, .ctx = a };
	a->probe = (struct timer){ .fn = on_probe, .ctx = a };
	a->slow = (struct timer){ .fn = on_retry, .ctx = a };
	for (uint32_t i = 0; i < GROUPS_MAX; i++)
		a->groups[i].acceptor = a;
	return a;
}
