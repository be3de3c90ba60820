/*
 * Write-ahead journal of the cell. Records are committed in batches, each on
 * the condition that the term is still current, which fences off former
 * holders. Once the journal is long, a snapshot replaces its batches.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "holder_int.h"

#define TXN_TIMEOUT_MS 400
/*
 * Minimum interval between journal transactions, since each call to the store
 * is billed. It delays the visible end of a job by as much.
 */
#define BATCH_INTERVAL_MS 40
#define BATCH_RECORDS_MAX 400
/*
 * Records are added to a batch up to this size. With one more it is below the
 * limit of the store for a value, 1 MiB, which a batch must never exceed.
 */
#define BATCH_BYTES_MAX 65536
#define JOURNAL_RETRY_MS 60

/* Queues a record; cell_on_durable() is called once it is durable. */
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
	h->queue[h->queue_count] = (struct journal_entry){ .seq = seq };
	record_pack(record, &h->queue[h->queue_count].bytes);
	h->queue_count++;
}

/* Answers cancels whose records up to @seq are durable. */
static void reply_cancels(struct holder *h, uint64_t seq)
{
	uint32_t remaining = 0;

	for (uint32_t i = 0; i < h->cancel_count; i++) {
		if (h->cancels[i].seq <= seq)
			cd_reply(h->d, &h->cancels[i].origin,
				 h->cancels[i].status, 0);
		else
			h->cancels[remaining++] = h->cancels[i];
	}
	h->cancel_count = remaining;
}

static bool has_revision(const struct pf_reply *reply, const char *key,
			 uint64_t revision)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		if (!strcmp(reply->items[i].key, key))
			return reply->items[i].revision == revision;
	}
	return false;
}

static void batch_key(const struct holder *h, const struct batch *b,
		      char key[JOURNAL_KEY_MAX])
{
	snprintf(key, JOURNAL_KEY_MAX, CD_JOURNAL_PREFIX "%020llu/%08u-%u",
		 (unsigned long long)h->token, b->number, b->pending);
}

/*
 * Returns true if no batch before that of @key is missing. The key gives the
 * number of batches before it that were not known to be durable; those before
 * them may have been replaced by a snapshot. A batch behind a gap was never
 * durable for its holder, nor anything that it sent since: without it, the
 * journal is that of a holder that ended a moment earlier.
 */
bool journal_follows(struct journal_run *run, const char *key)
{
	unsigned long long token = 0;
	unsigned long long number = 0;
	unsigned long long pending = 0;

	/* A key of an earlier build ends with the number. */
	if (sscanf(key, CD_JOURNAL_PREFIX "%llu/%llu-%llu", &token, &number,
		   &pending) < 2)
		return true;
	if (token != run->token || number != run->next)
		run->first = number;
	run->token = token;
	run->next = number + 1;
	return run->first + pending <= number;
}

/* Adds a stored batch to those that the next snapshot replaces. */
void journal_track_batch(struct holder *h, const char *key)
{
	h->stored_batches =
		xrealloc(h->stored_batches,
			 (h->stored_count + 1) * sizeof(*h->stored_batches));
	snprintf(h->stored_batches[h->stored_count], JOURNAL_KEY_MAX, "%s",
		 key);
	h->stored_count++;
}

static void emit_snapshot(void *ctx, const struct cell_record *record)
{
	struct holder *h = ctx;

	h->snapshot_seq = cell_append_record(h->cell, record);
}

/* Journals a snapshot of the cell after enough batches. */
static void maybe_snapshot(struct holder *h)
{
	if (h->snapshot_seq || h->stored_count < h->d->conf.snapshot_batches)
		return;
	h->snapshot_replaces = h->stored_count;
	cell_snapshot(h->cell, emit_snapshot, h);
	ev("snapshot", "batches=%u seq=%llu", h->snapshot_replaces,
	   (unsigned long long)h->snapshot_seq);
}

/* Deletes the replaced batches once the whole snapshot is durable. */
static void finish_snapshot(struct holder *h, uint64_t seq)
{
	if (!h->snapshot_seq || seq < h->snapshot_seq)
		return;
	for (uint32_t i = 0; i < h->snapshot_replaces; i++)
		gc_delete_later(h->gc, h->stored_batches[i]);
	h->stored_count -= h->snapshot_replaces;
	memmove(h->stored_batches, h->stored_batches + h->snapshot_replaces,
		h->stored_count * sizeof(*h->stored_batches));
	h->snapshot_seq = 0;
}

/* Completes the oldest batch in flight, which is durable. */
static void retire_first_batch(struct holder *h)
{
	struct batch *b = &h->batches[h->batch_first];
	char key[JOURNAL_KEY_MAX];
	uint64_t seq = b->last_seq;

	for (uint32_t i = 0; i < b->records; i++)
		buf_free(&h->queue[h->queue_head + i].bytes);
	h->queue_head += b->records;
	h->records_in_flight -= b->records;
	h->batch_first = (h->batch_first + 1) % BATCHES_IN_FLIGHT_MAX;
	h->batches_in_flight--;
	batch_key(h, b, key);
	journal_track_batch(h, key);
	buf_free(&b->bytes);
	*b = (struct batch){ 0 };
	ctr_add(h->batches_written, 1);
	cell_on_durable(h->cell, seq, loop_now_ms());
	reply_cancels(h, seq);
	finish_snapshot(h, seq);
	maybe_snapshot(h);
}

/*
 * Marks a batch as written. Batches complete in order, whatever the order of
 * the responses.
 */
static void mark_durable(struct holder *h, struct batch *batch)
{
	batch->durable = true;
	while (h->batches_in_flight && h->batches[h->batch_first].durable)
		retire_first_batch(h);
}

static void on_batch(void *ctx, const struct pf_reply *reply)
{
	struct batch *b = ctx;
	struct holder *h = b->holder;

	if (!holder_end_call(h))
		return;
	if (reply->status == PF_OK) {
		terms_on_confirmed(h->d->terms, b->sent_ms);
		mark_durable(h, b);
	} else if (reply->status == PF_CONFLICT &&
		   !has_revision(reply, CD_HOLDER_KEY, h->token)) {
		terms_step_down(h->d->terms, "journal is fenced");
	} else if (reply->status == PF_CONFLICT) {
		/* An earlier attempt to write this batch succeeded. */
		mark_durable(h, b);
	} else {
		ev("journal-retry", "status=%d records=%u waited_ms=%u",
		   reply->status, b->records, reply->elapsed_ms);
		b->sent_ms = 0;
		h->batch_retry_ms = loop_now_ms() + JOURNAL_RETRY_MS;
	}
}

static void send_batch(struct holder *h, struct batch *b, uint64_t now)
{
	char key[JOURNAL_KEY_MAX];
	struct pf_txn txn = { .condition_count = 2, .put_count = 1 };

	batch_key(h, b, key);
	txn.conditions[0] = (struct pf_condition){ .key = CD_HOLDER_KEY,
						   .revision = h->token };
	txn.conditions[1] = (struct pf_condition){ .key = key };
	txn.puts[0] = (struct pf_put){ .key = key,
				       .value = b->bytes.data,
				       .len = b->bytes.len };
	b->sent_ms = now;
	h->calls_in_flight++;
	pf_commit(h->d->store, &txn, TXN_TIMEOUT_MS, on_batch, b);
}

/* Moves queued records, of which there is at least one, to a new batch. */
static struct batch *fill_batch(struct holder *h)
{
	uint32_t first = h->queue_head + h->records_in_flight;
	uint32_t queued = h->queue_count - first;
	uint32_t n = 0;
	uint32_t at =
		(h->batch_first + h->batches_in_flight) % BATCHES_IN_FLIGHT_MAX;
	struct batch *b = &h->batches[at];
	struct buf records = { 0 };

	while (n < queued && n < BATCH_RECORDS_MAX &&
	       records.len < BATCH_BYTES_MAX) {
		buf_append(&records, h->queue[first + n].bytes.data,
			   h->queue[first + n].bytes.len);
		n++;
	}
	*b = (struct batch){ .holder = h,
			     .number = h->batch_number++,
			     .pending = h->batches_in_flight,
			     .records = n,
			     .last_seq = h->queue[first + n - 1].seq };
	record_pack_batch(&records, n, &b->bytes);
	buf_free(&records);
	h->batches_in_flight++;
	h->records_in_flight += n;
	return b;
}

/* Resends failed batches and sends the next one, if due. */
void journal_tick(struct holder *h, uint64_t now)
{
	for (uint32_t i = 0;
	     i < h->batches_in_flight && now >= h->batch_retry_ms; i++) {
		struct batch *b = &h->batches[(h->batch_first + i) %
					      BATCHES_IN_FLIGHT_MAX];

		if (!b->durable && !b->sent_ms)
			send_batch(h, b, now);
	}
	if (h->batches_in_flight == BATCHES_IN_FLIGHT_MAX ||
	    now < h->batch_next_ms ||
	    h->queue_head + h->records_in_flight == h->queue_count)
		return;
	h->batch_next_ms = now + BATCH_INTERVAL_MS;
	send_batch(h, fill_batch(h), now);
}

/* Frees the queue and the batches; unwritten records are lost. */
void journal_free(struct holder *h)
{
	for (uint32_t i = h->queue_head; i < h->queue_count; i++)
		buf_free(&h->queue[i].bytes);
	free(h->queue);
	free(h->cancels);
	free(h->stored_batches);
	for (uint32_t i = 0; i < BATCHES_IN_FLIGHT_MAX; i++)
		buf_free(&h->batches[i].bytes);
}
