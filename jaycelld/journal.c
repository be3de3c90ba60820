/*
 * The journal of a term: records of the cell become durable in groups, under
 * the condition that the term still holds. A snapshot replaces it when it is
 * long.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "holder_int.h"

#define TXN_TIMEOUT_MS 400
/*
 * Transactions of the journal are at least this far apart, in ms: all calls to
 * the store are paid for, and a job is shown as ended at most this much later.
 */
#define GATHER_MS 40
#define BATCH_MAX 400
#define JOURNAL_RETRY_MS 60

/* Adds a record; cell_recorded() is called once it is durable. */
void journal_add(struct holder *h, uint64_t seq,
		 const struct cell_record *record)
{
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
void journal_note_batch(struct holder *h, const char *key)
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
	journal_note_batch(h, key);
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

	if (!holder_call_returned(h))
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
void journal_tick(struct holder *h, uint64_t now)
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

/* Releases what waits to be written. */
void journal_free(struct holder *h)
{
	for (uint32_t i = h->queue_head; i < h->queue_count; i++)
		buf_free(&h->queue[i].bytes);
	free(h->queue);
	free(h->cancels);
	free(h->old_batches);
	for (uint32_t i = 0; i < BATCHES_MAX; i++)
		buf_free(&h->batches[i].bytes);
}
