/*
 * Group commit of submitted jobs to the store. A job is accepted once its key
 * exists. Each write is conditional on the absence of the key, which makes
 * retries idempotent, even if the store executes an earlier attempt late.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "celld.h"

/* A slow store takes 0.3 s; a lost response costs the full timeout. */
#define TXN_TIMEOUT_MS 400
/*
 * Limit on concurrent transactions. While one is in flight, another is sent
 * only SLOW_TXN_MS after the latest, longer than a healthy store takes. Until
 * then jobs accumulate for the next transaction.
 */
#define TXNS_IN_FLIGHT_MAX 4
#define SLOW_TXN_MS 30
/* Jobs accepted within this time are sent again to a new holder. */
#define RECENT_AGE_MS 12000
#define RECENT_MAX 4096
/* The final response is sent this long before the deadline of the caller. */
#define RESPONSE_MARGIN_MS 150
/* Timeout for the holder to store a job forwarded by this daemon. */
#define FORWARD_TIMEOUT_MS 1300
#define RETRY_MS 60
/*
 * The store is considered unavailable once all calls have failed for this long.
 * New jobs are then refused without an attempt to store them, so that callers
 * know for certain that these jobs have not run.
 */
#define STORE_DOWN_MS 250
/*
 * A job whose transaction had no response is abandoned once all calls have
 * failed for this long: few such outages end before the deadline of the job.
 */
#define ABANDON_MS 1000
/* Interval of probes of an unavailable store. */
#define PROBE_INTERVAL_MS 100
#define PROBE_TIMEOUT_MS 400

/* A job to be stored. */
struct submission {
	char id[CELL_ID_MAX];
	struct buf record;
	bool may_forward;
	bool maybe_stored; /* a transaction with it had no response */
	bool created;	   /* stored by a transaction of this daemon */
	uint64_t queued_ms;
	uint64_t deadline_ms;
	cd_done done;
	void *ctx;
	struct submission *next;
};

/* A transaction in flight and its jobs. */
struct txn_slot {
	struct acceptor *acceptor;
	struct submission *first; /* NULL: the slot is free */
};

/* A job accepted recently. */
struct recent {
	uint64_t at_ms;
	struct buf record;
};

struct acceptor {
	struct celld *d;
	struct submission *first; /* queue of jobs to send */
	struct submission **last;
	struct txn_slot slots[TXNS_IN_FLIGHT_MAX];
	uint64_t last_sent_ms; /* time of the latest transaction */
	struct timer retry;
	struct timer probe;
	struct timer slow_txn; /* expires after SLOW_TXN_MS */
	struct timer expiry;   /* of the first queued job to expire */
	bool probing;
	struct recent recent[RECENT_MAX];
	uint32_t recent_next; /* next slot of the ring to overwrite */
};

static void flush(struct acceptor *a);
static void schedule_expiry(struct acceptor *a);

static void enqueue(struct acceptor *a, struct submission *s)
{
	s->next = NULL;
	*a->last = s;
	a->last = &s->next;
}

static void add_recent(struct acceptor *a, struct submission *s, uint64_t now)
{
	struct recent *r = &a->recent[a->recent_next];

	a->recent_next = (a->recent_next + 1) % RECENT_MAX;
	buf_free(&r->record);
	r->at_ms = now;
	r->record = buf_take(&s->record);
}

static void notify_holder(struct acceptor *a, const struct buf *record,
			  bool fresh)
{
	if (a->d->holder)
		holder_job(a->d->holder, record->data, record->len, fresh);
	else
		links_send_job(a->d->links, record, fresh);
}

/*
 * Notifies a new holder of recently accepted jobs, which the former holder may
 * not have recorded.
 */
void accept_replay_recent(struct acceptor *a)
{
	uint64_t now = loop_now_ms();

	for (uint32_t i = 0; i < RECENT_MAX; i++) {
		struct recent *r =
			&a->recent[(a->recent_next + i) % RECENT_MAX];

		if (!r->record.len)
			continue;
		if (now > r->at_ms + RECENT_AGE_MS)
			buf_free(&r->record);
		else
			notify_holder(a, &r->record, false);
	}
}

static void complete(struct acceptor *a, struct submission *s,
		     enum cd_status status)
{
	uint64_t now = loop_now_ms();

	ev("accept", "id=%s result=%s waited_ms=%llu maybe_stored=%d", s->id,
	   status == CD_OK	  ? "stored"
	   : status == CD_REFUSED ? "not-run"
				  : "unknown",
	   (unsigned long long)(now - s->queued_ms), s->maybe_stored);
	if (status == CD_OK) {
		notify_holder(a, &s->record, s->created && !s->maybe_stored);
		add_recent(a, s, now);
	}
	s->done(s->ctx, status, 0);
	buf_free(&s->record);
	free(s);
}

static bool is_job_key(const struct pf_item *item, const char *id)
{
	return !strncmp(item->key, CD_JOB_PREFIX, strlen(CD_JOB_PREFIX)) &&
	       !strcmp(item->key + strlen(CD_JOB_PREFIX), id);
}

static bool job_exists(const struct pf_reply *reply, const char *id)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		if (is_job_key(&reply->items[i], id))
			return reply->items[i].revision > 0;
	}
	return false;
}

static void on_forward_reply(void *ctx, enum cd_status status, uint32_t number)
{
	struct submission *s = ctx;

	(void)number;
	if (s->maybe_stored && status != CD_OK)
		status = CD_UNKNOWN;
	ev("accept", "id=%s result=%s via=holder waited_ms=%llu", s->id,
	   status == CD_OK	  ? "stored"
	   : status == CD_REFUSED ? "not-run"
				  : "unknown",
	   (unsigned long long)(loop_now_ms() - s->queued_ms));
	s->done(s->ctx, status, 0);
	buf_free(&s->record);
	free(s);
}

static bool store_unavailable(const struct acceptor *a)
{
	return pf_store_failing_ms(a->d->store) > STORE_DOWN_MS;
}

/*
 * Forwards a job to the holder, which may still reach a store that this daemon
 * cannot. Returns false if that is not possible.
 */
static bool forward(struct acceptor *a, struct submission *s, uint64_t now)
{
	uint64_t deadline = now + FORWARD_TIMEOUT_MS;

	if (!s->may_forward || a->d->holder || !links_holder_up(a->d->links) ||
	    links_holder_store_age(a->d->links) > FORWARD_TIMEOUT_MS)
		return false;
	if (deadline + RESPONSE_MARGIN_MS > s->deadline_ms)
		deadline = s->deadline_ms - RESPONSE_MARGIN_MS;
	rpc_call(a->d->rpc, CD_OP_SUBMIT, s->id, &s->record, deadline,
		 on_forward_reply, s);
	return true;
}

static void on_store_failure(struct acceptor *a, struct submission *s,
			     enum pf_status status)
{
	uint64_t now = loop_now_ms();

	if (status == PF_UNKNOWN)
		s->maybe_stored = true;
	if (status == PF_UNKNOWN && !store_unavailable(a) &&
	    now + RESPONSE_MARGIN_MS < s->deadline_ms) {
		/* Only the response was lost; a retry is likely to succeed. */
		enqueue(a, s);
		return;
	}
	if (now + RESPONSE_MARGIN_MS < s->deadline_ms && forward(a, s, now))
		return;
	if (!s->maybe_stored)
		complete(a, s, CD_REFUSED);
	else if (now + RESPONSE_MARGIN_MS >= s->deadline_ms ||
		 pf_store_failing_ms(a->d->store) > ABANDON_MS)
		complete(a, s, CD_UNKNOWN);
	else
		enqueue(a, s);
}

static void on_commit(void *ctx, const struct pf_reply *reply)
{
	struct txn_slot *slot = ctx;
	struct acceptor *a = slot->acceptor;
	struct submission *list = slot->first;
	bool failed = reply->status != PF_OK && reply->status != PF_CONFLICT;

	slot->first = NULL;
	while (list) {
		struct submission *s = list;

		list = s->next;
		s->created = reply->status == PF_OK;
		if (s->created || job_exists(reply, s->id))
			complete(a, s, CD_OK);
		else if (failed)
			on_store_failure(a, s, reply->status);
		else
			enqueue(a, s);
	}
	if (failed) {
		timer_start(a->d->loop, &a->retry, RETRY_MS);
		schedule_expiry(a);
	} else {
		flush(a);
	}
}

static void on_probe_reply(void *ctx, const struct pf_reply *reply)
{
	struct acceptor *a = ctx;

	a->probing = false;
	if (reply->status >= PF_REJECTED)
		timer_start(a->d->loop, &a->probe, PROBE_INTERVAL_MS);
}

static void on_probe(struct timer *timer)
{
	struct acceptor *a = timer->ctx;

	a->probing = true;
	pf_get(a->d->store, CD_SECRET_KEY, PROBE_TIMEOUT_MS, on_probe_reply, a);
}

/* Forwards or refuses the jobs that were never sent to the store. */
static void reject_unsent(struct acceptor *a)
{
	struct submission *list = a->first;

	a->first = NULL;
	a->last = &a->first;
	while (list) {
		struct submission *s = list;

		list = s->next;
		if (s->maybe_stored)
			enqueue(a, s);
		else
			on_store_failure(a, s, PF_REJECTED);
	}
	if (!a->probing && !a->probe.heap_pos)
		timer_start(a->d->loop, &a->probe, 0);
}

static bool list_has_job(const struct submission *list, const char *id)
{
	for (; list; list = list->next) {
		if (!strcmp(list->id, id))
			return true;
	}
	return false;
}

static bool is_expired(const struct submission *s, uint64_t now)
{
	return now + RESPONSE_MARGIN_MS >= s->deadline_ms;
}

/*
 * Answers for the queued jobs whose deadline has come. One that was never sent
 * to the store is refused as not run: its caller would take no answer as
 * uncertain, and the store would run it without a caller who waits for it.
 */
static void expire_queued(struct acceptor *a)
{
	struct submission *list = a->first;
	uint64_t now = loop_now_ms();

	a->first = NULL;
	a->last = &a->first;
	while (list) {
		struct submission *s = list;

		list = s->next;
		if (is_expired(s, now))
			complete(a, s,
				 s->maybe_stored ? CD_UNKNOWN : CD_REFUSED);
		else
			enqueue(a, s);
	}
}

/* Schedules the expiry of the queued jobs. */
static void schedule_expiry(struct acceptor *a)
{
	uint64_t now = loop_now_ms();
	uint64_t first_ms = UINT64_MAX;

	for (const struct submission *s = a->first; s; s = s->next) {
		uint64_t at_ms = s->deadline_ms - RESPONSE_MARGIN_MS;

		if (at_ms < first_ms)
			first_ms = at_ms;
	}
	timer_stop(a->d->loop, &a->expiry);
	if (first_ms != UINT64_MAX)
		timer_start(a->d->loop, &a->expiry,
			    first_ms > now ? first_ms - now : 0);
}

/* Returns a free slot, or NULL while no further transaction may be sent. */
static struct txn_slot *next_free_slot(struct acceptor *a)
{
	uint64_t now = loop_now_ms();
	struct txn_slot *free_slot = NULL;
	bool in_flight = false;

	for (uint32_t i = 0; i < TXNS_IN_FLIGHT_MAX; i++) {
		if (a->slots[i].first)
			in_flight = true;
		else
			free_slot = &a->slots[i];
	}
	if (!in_flight || now >= a->last_sent_ms + SLOW_TXN_MS)
		return free_slot;
	if (!a->slow_txn.heap_pos)
		timer_start(a->d->loop, &a->slow_txn, SLOW_TXN_MS);
	return NULL;
}

static void send_queued(struct acceptor *a)
{
	static char keys[PF_TXN_MAX][sizeof(CD_JOB_PREFIX) + CELL_ID_MAX];
	struct pf_txn txn = { 0 };
	struct txn_slot *slot;
	struct submission **tail;
	uint32_t n = 0;

	if (store_unavailable(a))
		reject_unsent(a);
	if (!a->first || a->retry.heap_pos)
		return;
	slot = next_free_slot(a);
	if (!slot)
		return;
	tail = &slot->first;
	/* A second job with the same id goes into the next transaction. */
	while (a->first && n < PF_TXN_MAX - 1 &&
	       !list_has_job(slot->first, a->first->id)) {
		struct submission *s = a->first;

		a->first = s->next;
		s->next = NULL;
		*tail = s;
		tail = &s->next;
		snprintf(keys[n], sizeof(keys[n]), CD_JOB_PREFIX "%s", s->id);
		txn.conditions[n] = (struct pf_condition){ .key = keys[n] };
		txn.puts[n] = (struct pf_put){ .key = keys[n],
					       .value = s->record.data,
					       .len = s->record.len };
		n++;
	}
	if (!a->first)
		a->last = &a->first;
	txn.condition_count = n;
	txn.put_count = n;
	a->last_sent_ms = loop_now_ms();
	pf_commit(a->d->store, &txn, TXN_TIMEOUT_MS, on_commit, slot);
}

static void flush(struct acceptor *a)
{
	expire_queued(a);
	send_queued(a);
	schedule_expiry(a);
}

static void on_retry(struct timer *timer)
{
	flush(timer->ctx);
}

/*
 * Stores a job; the encoded @record is copied. Calls @done once:
 * with CD_OK when the job is durable, CD_REFUSED if it is not and never will
 * be, or CD_UNKNOWN. @deadline_ms is on the clock of the event loop. If
 * @may_forward is set, the job may be forwarded to the holder.
 */
void accept_job(struct acceptor *a, const char *id, const struct buf *record,
		bool may_forward, uint64_t deadline_ms, cd_done done, void *ctx)
{
	struct submission *s = xcalloc(1, sizeof(*s));

	snprintf(s->id, sizeof(s->id), "%s", id);
	s->record = buf_copy(record->data, record->len);
	s->may_forward = may_forward;
	s->queued_ms = loop_now_ms();
	s->deadline_ms = deadline_ms;
	s->done = done;
	s->ctx = ctx;
	enqueue(a, s);
	flush(a);
}

/* Returns an empty acceptor; it lives as long as the process. */
struct acceptor *accept_new(struct celld *d)
{
	struct acceptor *a = xcalloc(1, sizeof(*a));

	a->d = d;
	a->last = &a->first;
	a->retry = (struct timer){ .fn = on_retry, .ctx = a };
	a->probe = (struct timer){ .fn = on_probe, .ctx = a };
	a->slow_txn = (struct timer){ .fn = on_retry, .ctx = a };
	a->expiry = (struct timer){ .fn = on_retry, .ctx = a };
	for (uint32_t i = 0; i < TXNS_IN_FLIGHT_MAX; i++)
		a->slots[i].acceptor = a;
	return a;
}
