/*
 * The scheduler of this daemon's term: it recovers the state of the cell from
 * the store, carries out the orders of the cell and writes its journal.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "celld.h"
#include "platform/decode.h"
#include "platform/minion.h"

#define TICK_MS 10
#define READ_TIMEOUT_MS 2000
#define READ_RETRY_MS 100
#define TXN_TIMEOUT_MS 400
/*
 * Transactions of the journal are at least this far apart, in ms: all calls to
 * the store are paid for, and a job is shown as ended at most this much later.
 */
#define GATHER_MS 40
#define BATCH_MAX 400
/*
 * Batches in flight at a time. A slow store, of 0.2 s an answer, still takes
 * one every GATHER_MS. A gap that a dead holder leaves does no harm: what is
 * missing was neither observed nor shown.
 */
#define BATCHES_MAX 6
#define JOURNAL_RETRY_MS 60
/* An order that is not answered by then is followed by a stop, in ms. */
#define ORDER_TIMEOUT_MS 600
/* Added to the wait of a look, in ms. */
#define LOOK_TIMEOUT_MS 700
/* A look that waits for an end answers at least this often, in ms. */
#define LOOK_WAIT_MS 1500
#define MINIONS_POLL_MS 600
/*
 * Jobs that other daemons stored and did not tell are looked for this often, in
 * ms: soon while a daemon may be cut off from this one.
 */
#define JOBS_POLL_MS 1000
#define JOBS_POLL_SOON_MS 150
#define LOOKUP_TIMEOUT_MS 600
/*
 * An earlier holder orders nothing later than this after the claim that ended
 * its term: it has to confirm its term every 1.5 s.
 */
#define PREDECESSOR_MS 1700
#define JOURNAL_KEY_MAX 64
#define MINIONS_MAX 4096

enum phase { PHASE_JOBS, PHASE_JOURNAL, PHASE_READY };

/* A transaction of the journal that is not known to be durable yet. */
struct batch {
	struct holder *holder;
	struct buf bytes;
	uint32_t number;
	uint32_t records;
	uint64_t last_seq;
	uint64_t sent_ms; /* 0: to be sent again */
	bool durable;	  /* but one before it is not */
};

struct unwritten {
	uint64_t seq;
	struct buf bytes;
};

struct cancel_waiter {
	uint64_t seq;
	struct cd_asker asker;
};

struct holder {
	struct cell_owner owner; /* first member */
	struct celld *d;
	struct cell *cell;
	struct tidy *tidy;
	uint64_t token;
	uint64_t began_ms;
	enum phase phase;
	bool closed; /* freed once its calls have returned */
	uint32_t calls;
	char after[JOURNAL_KEY_MAX * 4];
	uint64_t jobs_revision;
	bool jobs_polling;
	uint64_t jobs_poll_ms;
	bool minions_polling;
	uint64_t minions_poll_ms;
	struct cell_minion_info *infos; /* of the listing being read */
	uint32_t info_count;
	struct unwritten *queue;
	uint32_t queue_head;
	uint32_t queue_count;
	uint32_t queue_capacity;
	struct batch batches[BATCHES_MAX]; /* in order from batch_first on */
	uint32_t batch_first;
	uint32_t batch_open;
	uint32_t batch_number;	 /* of the next batch */
	uint32_t batch_records;	 /* of the queue, in open batches */
	uint64_t batch_next_ms;	 /* a new batch not before */
	uint64_t batch_retry_ms; /* an unanswered one not before */
	char (*old_batches)[JOURNAL_KEY_MAX]; /* to be replaced */
	uint32_t old_count;
	uint64_t snapshot_seq; /* last record of a snapshot, 0: none */
	uint32_t snapshot_old; /* batches that it replaces */
	struct cancel_waiter *cancels;
	uint32_t cancel_count;
	struct timer tick;
	ctr_id starts;
	ctr_id batches_written;
	ctr_id recovery_us;
};

struct lookup {
	struct holder *h;
	struct cd_asker asker;
	enum cd_op op;
	char id[CELL_ID_MAX];
};

static void read_page(struct holder *h);

static void holder_destroy(struct holder *h)
{
	timer_stop(h->d->loop, &h->tick);
	cell_free(h->cell);
	tidy_free(h->tidy);
	for (uint32_t i = h->queue_head; i < h->queue_count; i++)
		buf_free(&h->queue[i].bytes);
	free(h->queue);
	free(h->cancels);
	free(h->old_batches);
	free(h->infos);
	for (uint32_t i = 0; i < BATCHES_MAX; i++)
		buf_free(&h->batches[i].bytes);
	free(h);
}

/* A call of this holder has returned; returns false if its term has ended. */
static bool call_returned(struct holder *h)
{
	h->calls--;
	if (!h->closed)
		return true;
	if (!h->calls)
		holder_destroy(h);
	return false;
}

/* Ends the term; answers that are still to come are dropped. */
void holder_free(struct holder *h)
{
	h->closed = true;
	timer_stop(h->d->loop, &h->tick);
	if (!h->calls)
		holder_destroy(h);
}

bool holder_ready(const struct holder *h)
{
	return h->phase == PHASE_READY;
}

static struct holder *of_owner(struct cell_owner *owner)
{
	return (struct holder *)owner;
}

static void on_start(void *ctx, uint32_t minion, const char *task, uint64_t run,
		     enum cell_result result)
{
	struct holder *h = ctx;

	if (!call_returned(h))
		return;
	cell_on_start(h->cell, minion, task, run, result, loop_now_ms());
	if (result == CELL_REJECTED_FENCE)
		ev("fenced", "task=%s run=%llu token=%llu", task,
		   (unsigned long long)run, (unsigned long long)h->token);
}

static void op_start(struct cell_owner *owner, const struct cell_start *start)
{
	struct holder *h = of_owner(owner);

	h->calls++;
	ctr_add(h->starts, 1);
	pf_start(h->d->httpc, start, h->token, ORDER_TIMEOUT_MS, on_start, h);
}

static void on_stop(void *ctx, uint32_t minion, const char *task, uint64_t run,
		    enum cell_result result)
{
	struct holder *h = ctx;

	if (call_returned(h))
		cell_on_stop(h->cell, minion, task, run, result, loop_now_ms());
}

static void op_stop(struct cell_owner *owner, const struct cell_stop *stop)
{
	struct holder *h = of_owner(owner);

	h->calls++;
	ev("run-stop", "task=%s run=%llu minion=%s", stop->task,
	   (unsigned long long)stop->run, stop->minion_id);
	pf_stop(h->d->httpc, stop, h->token, ORDER_TIMEOUT_MS, on_stop, h);
}

static void on_paced(void *ctx, uint32_t minion, const char *task, uint64_t run,
		     uint32_t percent, enum cell_result result)
{
	struct holder *h = ctx;

	if (call_returned(h))
		cell_on_pace(h->cell, minion, task, run, percent, result);
}

static void op_pace(struct cell_owner *owner, const struct cell_pace *pace)
{
	struct holder *h = of_owner(owner);

	h->calls++;
	pf_pace(h->d->httpc, pace, h->token, ORDER_TIMEOUT_MS, on_paced, h);
}

static void on_look(void *ctx, uint32_t minion, const char *id,
		    enum cell_result result, const struct cell_report *report,
		    uint64_t sent_ms)
{
	struct holder *h = ctx;
	uint64_t now = loop_now_ms();

	if (!call_returned(h))
		return;
	if (report)
		cell_on_report(h->cell, minion, id, report, sent_ms, now);
	else
		cell_on_hold_failed(h->cell, minion, id, result, now);
}

static void op_hold(struct cell_owner *owner, uint32_t minion)
{
	struct holder *h = of_owner(owner);
	struct cell_hold hold;

	if (!cell_hold_request(h->cell, minion, &hold, loop_now_ms()))
		return;
	h->calls++;
	pf_hold(h->d->httpc, minion, &hold, h->token, LOOK_TIMEOUT_MS, on_look,
		h);
}

/* Advice that this daemon has asked for itself. */
static void on_own_advice(void *ctx, uint32_t question, bool answered,
			  const struct cell_ticket *good, uint32_t count)
{
	struct holder *h = ctx;

	if (call_returned(h))
		cell_on_advice(h->cell, question, answered, good, count,
			       loop_now_ms());
}

static void op_ask(struct cell_owner *owner, const struct cell_question *q)
{
	struct holder *h = of_owner(owner);

	if (q->lane == 0) {
		h->calls++;
		cd_question(h->d, q->handle, q->step, q->minions, q->count,
			    on_own_advice, h);
		return;
	}
	if (!links_send_question(h->d->links, q->lane, q))
		cell_on_advice(h->cell, q->handle, false, NULL, 0,
			       loop_now_ms());
}

static void op_record(struct cell_owner *owner, uint64_t seq,
		      const struct cell_record *record)
{
	struct holder *h = of_owner(owner);
	uint32_t live = h->queue_count - h->queue_head;

	if (h->queue_head > 1024 && h->queue_head > live) {
		memmove(h->queue, h->queue + h->queue_head,
			live * sizeof(*h->queue));
		h->queue_head = 0;
		h->queue_count = live;
	}
	if (h->queue_count == h->queue_capacity) {
		h->queue_capacity =
			h->queue_capacity ? h->queue_capacity * 2 : 256;
		h->queue = xrealloc(h->queue,
				    h->queue_capacity * sizeof(*h->queue));
	}
	h->queue[h->queue_count] = (struct unwritten){ .seq = seq };
	record_pack(record, &h->queue[h->queue_count].bytes);
	h->queue_count++;
}

static void op_event(struct cell_owner *owner, const struct cell_event *e)
{
	(void)owner;
	ev(e->what,
	   "id=%s minion=%s run=%llu detail=\"%s\" age_ms=%llu "
	   "value=%llu",
	   e->task  ? e->task
	   : e->job ? e->job
		    : "-",
	   e->minion ? e->minion : "-", (unsigned long long)e->run,
	   e->detail ? e->detail : "", (unsigned long long)e->age_ms,
	   (unsigned long long)e->value);
}

static void op_forgotten(struct cell_owner *owner, const char *job)
{
	struct holder *h = of_owner(owner);
	char key[sizeof(CD_JOB_PREFIX) + CELL_ID_MAX];

	snprintf(key, sizeof(key), CD_JOB_PREFIX "%s", job);
	tidy_remove(h->tidy, key);
}

static const struct cell_ops cell_ops = {
	.start = op_start,
	.stop = op_stop,
	.pace = op_pace,
	.ask = op_ask,
	.record = op_record,
	.hold = op_hold,
	.forgotten = op_forgotten,
	.event = op_event,
};

static void answer_cancels(struct holder *h, uint64_t seq)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < h->cancel_count; i++) {
		if (h->cancels[i].seq <= seq)
			cd_answer(h->d, &h->cancels[i].asker, CD_OK, 0);
		else
			h->cancels[kept++] = h->cancels[i];
	}
	h->cancel_count = kept;
}

static bool item_is(const struct pf_reply *reply, const char *key,
		    uint64_t revision)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		if (!strcmp(reply->items[i].key, key))
			return reply->items[i].revision == revision;
	}
	return false;
}

static void batch_key(const struct holder *h, uint32_t number,
		      char key[JOURNAL_KEY_MAX])
{
	snprintf(key, JOURNAL_KEY_MAX, CD_JOURNAL_PREFIX "%020llu/%08u",
		 (unsigned long long)h->token, number);
}

/* A batch exists that a later snapshot can replace. */
static void note_batch(struct holder *h, const char *key)
{
	h->old_batches = xrealloc(h->old_batches,
				  (h->old_count + 1) * sizeof(*h->old_batches));
	snprintf(h->old_batches[h->old_count], JOURNAL_KEY_MAX, "%s", key);
	h->old_count++;
}

static void emit_snapshot(void *ctx, const struct cell_record *record)
{
	struct holder *h = ctx;

	h->snapshot_seq = cell_rewrite(h->cell, record);
}

/* Writes the whole state anew once the journal has many batches. */
static void consider_snapshot(struct holder *h)
{
	if (h->snapshot_seq || h->old_count < h->d->conf.snapshot_batches)
		return;
	h->snapshot_old = h->old_count;
	cell_snapshot(h->cell, emit_snapshot, h);
	ev("snapshot", "batches=%u seq=%llu", h->snapshot_old,
	   (unsigned long long)h->snapshot_seq);
}

/* The snapshot is durable: the batches before it can go. */
static void finish_snapshot(struct holder *h, uint64_t seq)
{
	if (!h->snapshot_seq || seq < h->snapshot_seq)
		return;
	for (uint32_t i = 0; i < h->snapshot_old; i++)
		tidy_remove(h->tidy, h->old_batches[i]);
	h->old_count -= h->snapshot_old;
	memmove(h->old_batches, h->old_batches + h->snapshot_old,
		h->old_count * sizeof(*h->old_batches));
	h->snapshot_seq = 0;
}

/* The first open batch is durable. */
static void first_written(struct holder *h)
{
	struct batch *b = &h->batches[h->batch_first];
	char key[JOURNAL_KEY_MAX];
	uint64_t seq = b->last_seq;

	for (uint32_t i = 0; i < b->records; i++)
		buf_free(&h->queue[h->queue_head + i].bytes);
	h->queue_head += b->records;
	h->batch_records -= b->records;
	h->batch_first = (h->batch_first + 1) % BATCHES_MAX;
	h->batch_open--;
	batch_key(h, b->number, key);
	note_batch(h, key);
	buf_free(&b->bytes);
	*b = (struct batch){ 0 };
	ctr_add(h->batches_written, 1);
	cell_recorded(h->cell, seq, loop_now_ms());
	answer_cancels(h, seq);
	finish_snapshot(h, seq);
	consider_snapshot(h);
}

/* Records count as durable in their order, whatever order answers come in. */
static void batch_written(struct holder *h, struct batch *batch)
{
	batch->durable = true;
	while (h->batch_open && h->batches[h->batch_first].durable)
		first_written(h);
}

static void on_batch(void *ctx, const struct pf_reply *reply)
{
	struct batch *b = ctx;
	struct holder *h = b->holder;

	if (!call_returned(h))
		return;
	if (reply->status == PF_OK) {
		terms_confirmed(h->d->terms, b->sent_ms);
		batch_written(h, b);
	} else if (reply->status == PF_CONFLICT &&
		   !item_is(reply, CD_HOLDER_KEY, h->token)) {
		terms_step_down(h->d->terms, "journal is fenced");
	} else if (reply->status == PF_CONFLICT) {
		/* An earlier try of this batch was carried out. */
		batch_written(h, b);
	} else {
		ev("journal-retry", "status=%d records=%u waited_ms=%u",
		   reply->status, b->records, reply->took_ms);
		b->sent_ms = 0;
		h->batch_retry_ms = loop_now_ms() + JOURNAL_RETRY_MS;
	}
}

static void send_batch(struct holder *h, struct batch *b, uint64_t now)
{
	char key[JOURNAL_KEY_MAX];
	struct pf_txn txn = { .condition_count = 2, .put_count = 1 };

	batch_key(h, b->number, key);
	txn.conditions[0] = (struct pf_condition){ .key = CD_HOLDER_KEY,
						   .revision = h->token };
	txn.conditions[1] = (struct pf_condition){ .key = key };
	txn.puts[0] = (struct pf_put){ .key = key,
				       .value = b->bytes.data,
				       .len = b->bytes.len };
	b->sent_ms = now;
	h->calls++;
	pf_commit(h->d->store, &txn, TXN_TIMEOUT_MS, on_batch, b);
}

/* Puts the records that wait into a new batch; there is at least one. */
static struct batch *fill_batch(struct holder *h)
{
	uint32_t first = h->queue_head + h->batch_records;
	uint32_t n = h->queue_count - first;
	uint32_t at = (h->batch_first + h->batch_open) % BATCHES_MAX;
	struct batch *b = &h->batches[at];
	struct buf records = { 0 };

	if (n > BATCH_MAX)
		n = BATCH_MAX;
	for (uint32_t i = 0; i < n; i++)
		buf_append(&records, h->queue[first + i].bytes.data,
			   h->queue[first + i].bytes.len);
	*b = (struct batch){ .holder = h,
			     .number = h->batch_number++,
			     .records = n,
			     .last_seq = h->queue[first + n - 1].seq };
	record_pack_batch(&records, n, &b->bytes);
	buf_free(&records);
	h->batch_open++;
	h->batch_records += n;
	return b;
}

/* Writes the next batch, and again those that had no answer. */
static void write_batches(struct holder *h, uint64_t now)
{
	for (uint32_t i = 0; i < h->batch_open && now >= h->batch_retry_ms;
	     i++) {
		struct batch *b =
			&h->batches[(h->batch_first + i) % BATCHES_MAX];

		if (!b->durable && !b->sent_ms)
			send_batch(h, b, now);
	}
	if (h->batch_open == BATCHES_MAX || now < h->batch_next_ms ||
	    h->queue_head + h->batch_records == h->queue_count)
		return;
	h->batch_next_ms = now + GATHER_MS;
	send_batch(h, fill_batch(h), now);
}

/* Takes a stored job; @fresh tells that no earlier holder can know it. */
void holder_job(struct holder *h, const char *data, size_t len, bool fresh)
{
	struct cell_job_spec spec;

	if (!record_unpack_job(data, len, &spec)) {
		ev("job-malformed", "bytes=%zu", len);
		return;
	}
	cell_submit(h->cell, &spec, fresh && h->phase == PHASE_READY,
		    cd_unix_ms(), loop_now_ms());
}

static void take_jobs(struct holder *h, const struct pf_reply *reply)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		if (reply->items[i].value)
			holder_job(h, reply->items[i].value,
				   reply->items[i].value_len, false);
	}
}

static void become_ready(struct holder *h)
{
	uint64_t now = loop_now_ms();
	struct cell_stats stats;

	h->phase = PHASE_READY;
	h->after[0] = '\0';
	h->jobs_poll_ms = now + JOBS_POLL_SOON_MS;
	cell_replayed(h->cell, now);
	cell_get_stats(h->cell, &stats);
	ctr_observe(h->recovery_us, (now - h->began_ms) * 1000);
	ev("holder-ready",
	   "token=%llu jobs=%u live=%u unsettled=%u "
	   "took_ms=%llu",
	   (unsigned long long)h->token, stats.jobs, stats.live_jobs,
	   stats.unsettled, (unsigned long long)(now - h->began_ms));
	asks_holder_changed(h->d->asks);
}

static void on_page(void *ctx, const struct pf_reply *reply)
{
	struct holder *h = ctx;

	if (!call_returned(h))
		return;
	if (reply->status != PF_OK) {
		ev("recovery-retry", "phase=%u status=%d", h->phase,
		   reply->status);
		h->minions_poll_ms = 0;
		h->jobs_poll_ms = loop_now_ms() + READ_RETRY_MS;
		return;
	}
	ev("recovery-page",
	   "phase=%u count=%u more=%d revision=%llu took_ms=%u", h->phase,
	   reply->count, reply->more, (unsigned long long)reply->read_revision,
	   reply->took_ms);
	if (reply->count)
		snprintf(h->after, sizeof(h->after), "%s",
			 reply->items[reply->count - 1].key);
	if (h->phase == PHASE_JOBS) {
		if (!h->jobs_revision)
			h->jobs_revision = reply->read_revision;
		take_jobs(h, reply);
	}
	for (uint32_t i = 0; h->phase == PHASE_JOURNAL && i < reply->count;
	     i++) {
		if (!record_replay_batch(reply->items[i].value,
					 reply->items[i].value_len, h->cell))
			ev("journal-malformed", "key=%s", reply->items[i].key);
		else
			note_batch(h, reply->items[i].key);
	}
	if (!reply->more || !reply->count) {
		h->phase++;
		h->after[0] = '\0';
	}
	if (h->phase == PHASE_READY)
		become_ready(h);
	else
		read_page(h);
}

static void read_page(struct holder *h)
{
	h->calls++;
	h->jobs_poll_ms = UINT64_MAX;
	pf_range(h->d->store,
		 h->phase == PHASE_JOBS ? CD_JOB_PREFIX : CD_JOURNAL_PREFIX,
		 h->after[0] ? h->after : NULL, READ_TIMEOUT_MS, on_page, h);
}

static void on_jobs_page(void *ctx, const struct pf_reply *reply)
{
	struct holder *h = ctx;

	if (!call_returned(h))
		return;
	h->jobs_polling = false;
	if (reply->status != PF_OK)
		return;
	take_jobs(h, reply);
	if (reply->more && reply->count) {
		snprintf(h->after, sizeof(h->after), "%s",
			 reply->items[reply->count - 1].key);
		h->jobs_poll_ms = 0;
		return;
	}
	h->after[0] = '\0';
	h->jobs_revision = reply->read_revision;
}

static void on_jobs(void *ctx, const struct pf_reply *reply)
{
	struct holder *h = ctx;

	if (!call_returned(h))
		return;
	h->jobs_polling = false;
	if (reply->status == PF_GONE) {
		h->jobs_revision = 0;
		h->jobs_poll_ms = 0;
		return;
	}
	if (reply->status != PF_OK)
		return;
	take_jobs(h, reply);
	if (reply->read_revision > h->jobs_revision)
		h->jobs_revision = reply->read_revision;
}

/* Looks for jobs whose daemon has stored them and could not tell. */
static void poll_jobs(struct holder *h, uint64_t now)
{
	h->jobs_polling = true;
	h->jobs_poll_ms =
		now + (links_missing(h->d->links, now) ? JOBS_POLL_SOON_MS
						       : JOBS_POLL_MS);
	h->calls++;
	if (h->jobs_revision)
		pf_watch(h->d->store, CD_JOB_PREFIX, h->jobs_revision, 1,
			 on_jobs, h);
	else
		pf_range(h->d->store, CD_JOB_PREFIX,
			 h->after[0] ? h->after : NULL, READ_TIMEOUT_MS,
			 on_jobs_page, h);
}

static void poll_minions(struct holder *h, const char *after);

static void on_minions(void *ctx, const struct pf_reply *reply)
{
	struct holder *h = ctx;

	if (!call_returned(h))
		return;
	h->minions_polling = false;
	if (reply->status != PF_OK)
		return;
	h->infos = xrealloc(h->infos, (h->info_count + reply->count + 1) *
					      sizeof(*h->infos));
	for (uint32_t i = 0; i < reply->count; i++) {
		const struct pf_item *item = &reply->items[i];
		struct err err = { 0 };

		if (item->value &&
		    pf_decode_minion(item->key, item->value, item->value_len,
				     &h->infos[h->info_count], &err))
			h->info_count++;
		else
			ev("entry-malformed", "key=%s revision=%llu", item->key,
			   (unsigned long long)item->revision);
	}
	if (reply->more && reply->count && h->info_count < MINIONS_MAX) {
		poll_minions(h, reply->items[reply->count - 1].key);
		return;
	}
	cell_set_minions(h->cell, h->infos, h->info_count, loop_now_ms());
}

static void poll_minions(struct holder *h, const char *after)
{
	h->minions_polling = true;
	h->minions_poll_ms = loop_now_ms() + MINIONS_POLL_MS;
	if (!after)
		h->info_count = 0;
	h->calls++;
	pf_range(h->d->store, PF_MINIONS_PREFIX, after, READ_TIMEOUT_MS,
		 on_minions, h);
}

static void on_submitted(void *ctx, enum cd_answer answer, uint32_t number)
{
	struct lookup *l = ctx;
	struct celld *d = l->h->d;

	call_returned(l->h);
	cd_answer(d, &l->asker, answer, number);
	free(l);
}

static void query_state(struct holder *h, const struct cd_asker *asker,
			const char *id);
static void query_cancel(struct holder *h, const struct cd_asker *asker,
			 const char *id);

static void on_lookup(void *ctx, const struct pf_reply *reply)
{
	struct lookup *l = ctx;
	struct holder *h = l->h;
	struct celld *d = h->d;

	if (!call_returned(h) ||
	    (reply->status != PF_OK && reply->status != PF_MISSING)) {
		cd_answer(d, &l->asker, CD_RETRY, 0);
	} else {
		take_jobs(h, reply);
		if (cell_state(h->cell, l->id) == CELL_JOB_UNKNOWN)
			cd_answer(d, &l->asker, CD_GONE, 0);
		else if (l->op == CD_OP_STATE)
			query_state(h, &l->asker, l->id);
		else
			query_cancel(h, &l->asker, l->id);
	}
	free(l);
}

/* An unknown job may have been stored by a daemon that is cut off since. */
static void lookup(struct holder *h, const struct cd_asker *asker,
		   enum cd_op op, const char *id)
{
	struct lookup *l = xcalloc(1, sizeof(*l));
	char key[sizeof(CD_JOB_PREFIX) + CELL_ID_MAX];

	l->h = h;
	l->asker = *asker;
	l->op = op;
	snprintf(l->id, sizeof(l->id), "%s", id);
	snprintf(key, sizeof(key), CD_JOB_PREFIX "%s", l->id);
	h->calls++;
	pf_get(h->d->store, key, LOOKUP_TIMEOUT_MS, on_lookup, l);
}

static void query_state(struct holder *h, const struct cd_asker *asker,
			const char *id)
{
	enum cell_job_state state = cell_state(h->cell, id);

	if (state == CELL_JOB_UNKNOWN)
		lookup(h, asker, CD_OP_STATE, id);
	else
		cd_answer(h->d, asker, CD_OK, state);
}

static void query_cancel(struct holder *h, const struct cd_asker *asker,
			 const char *id)
{
	uint64_t seq = cell_cancel(h->cell, id, loop_now_ms());

	if (seq == UINT64_MAX) {
		lookup(h, asker, CD_OP_CANCEL, id);
		return;
	}
	if (!seq) {
		cd_answer(h->d, asker, CD_OK, 0);
		return;
	}
	h->cancels = xrealloc(h->cancels,
			      (h->cancel_count + 1) * sizeof(*h->cancels));
	h->cancels[h->cancel_count++] =
		(struct cancel_waiter){ .seq = seq, .asker = *asker };
}

static void query_submit(struct holder *h, const struct cd_asker *asker,
			 const char *id, const struct buf *blob)
{
	struct lookup *l = xcalloc(1, sizeof(*l));

	l->h = h;
	l->asker = *asker;
	h->calls++;
	accept_job(h->d->acceptor, id, blob, false, loop_now_ms() + 2000,
		   on_submitted, l);
}

/* Answers a question of this or another daemon, now or later. */
void holder_query(struct holder *h, const struct cd_asker *asker, enum cd_op op,
		  const char *text, const struct buf *blob)
{
	if (h->phase != PHASE_READY) {
		cd_answer(h->d, asker, CD_RETRY, 0);
		return;
	}
	switch (op) {
	case CD_OP_STATE:
		query_state(h, asker, text);
		break;
	case CD_OP_CANCEL:
		query_cancel(h, asker, text);
		break;
	case CD_OP_PENDING:
		cd_answer(h->d, asker, CD_OK, cell_pending(h->cell, text));
		break;
	case CD_OP_SUBMIT:
		query_submit(h, asker, text, blob);
		break;
	case CD_OPS:
		break;
	}
}

/* Takes advice that another daemon has asked for. */
void holder_advice(struct holder *h, uint32_t question, bool answered,
		   const struct cell_ticket *good, uint32_t count)
{
	cell_on_advice(h->cell, question, answered, good, count, loop_now_ms());
}

/* Another daemon can ask for advice, on that lane. */
void holder_lane_up(struct holder *h, uint32_t lane)
{
	cell_lane_up(h->cell, lane);
}

void holder_lane_lost(struct holder *h, uint32_t lane)
{
	cell_lane_lost(h->cell, lane);
}

/* The configuration has changed. */
void holder_config(struct holder *h)
{
	cell_set_config(h->cell, config_current(h->d->config));
}

/* A daemon that may have stored jobs is gone: look for them soon. */
void holder_link_lost(struct holder *h)
{
	uint64_t soon = loop_now_ms() + JOBS_POLL_SOON_MS;

	if (h->phase == PHASE_READY && h->jobs_poll_ms > soon)
		h->jobs_poll_ms = soon;
}

/* Sets the gauges of the cell, as this holder knows it. */
void holder_gauges(const struct holder *h)
{
	struct cell_stats stats;

	cell_get_stats(h->cell, &stats);
	ctr_set(ctr_gauge("jaycelld_live_jobs", "Jobs that have not ended."),
		stats.live_jobs);
	ctr_set(ctr_gauge("jaycelld_ready_steps",
			  "Steps that wait for room or advice."),
		stats.ready_steps);
	ctr_set(ctr_gauge("jaycelld_runs", "Runs on all minions."),
		stats.running);
	ctr_set(ctr_gauge("jaycelld_minions", "Minions that are listed."),
		stats.minions);
	ctr_set(ctr_gauge("jaycelld_unsettled_minions",
			  "Minions of earlier terms that are not heard yet."),
		stats.unsettled);
	ctr_set(ctr_gauge("jaycelld_used_cpu_milli",
			  "Thousandths of cores that runs hold."),
		stats.used_cpu_milli);
}

/* Does what is due; called after each turn of the loop. */
void holder_tick(struct holder *h, uint64_t now_ms)
{
	if (h->phase != PHASE_READY) {
		if (now_ms >= h->jobs_poll_ms)
			read_page(h);
		return;
	}
	if (!h->minions_polling && now_ms >= h->minions_poll_ms)
		poll_minions(h, NULL);
	if (!h->jobs_polling && now_ms >= h->jobs_poll_ms)
		poll_jobs(h, now_ms);
	cell_set_valid(h->cell, terms_valid(h->d->terms, now_ms));
	cell_tick(h->cell, cd_unix_ms(), now_ms);
	write_batches(h, now_ms);
	tidy_tick(h->tidy, now_ms);
}

static void on_tick(struct timer *timer)
{
	struct holder *h = timer->ctx;

	timer_start(h->d->loop, &h->tick, TICK_MS);
}

/* Begins a term: reads what earlier terms have left in the store. */
struct holder *holder_new(struct celld *d, uint64_t token)
{
	struct holder *h = xcalloc(1, sizeof(*h));
	struct cell_settings settings = {
		.token = token,
		.lease_ms = d->conf.lease_ms,
		.hold_wait_ms = LOOK_WAIT_MS,
		/* Clocks of minions may be slow by 2%. */
		.predecessor_ms = PREDECESSOR_MS + d->conf.lease_ms * 100 / 98,
		.status_ms = d->conf.status_s * 1000,
	};

	h->owner.ops = &cell_ops;
	h->d = d;
	h->token = token;
	h->began_ms = loop_now_ms();
	h->tidy = tidy_new(d, token);
	h->cell = cell_new(&h->owner, &settings, h->began_ms);
	h->tick = (struct timer){ .fn = on_tick, .ctx = h };
	h->starts = ctr_counter("jaycelld_starts_total", "Runs ordered.");
	h->batches_written = ctr_counter("jaycelld_journal_batches_total",
					 "Batches written to the journal.");
	h->recovery_us = ctr_histogram("jaycelld_recovery_seconds",
				       "From a claim until the cell is known.");
	cell_set_config(h->cell, config_current(d->config));
	cell_lane_up(h->cell, 0);
	timer_start(d->loop, &h->tick, TICK_MS);
	read_page(h);
	return h;
}
