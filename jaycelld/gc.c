/*
 * Garbage collection in the store: deletes jobs past their retention time, and
 * journal batches that a snapshot has replaced.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "celld.h"

#define TXN_TIMEOUT_MS 700
/*
 * Rate limits, to leave the request rate of the store to other calls: while
 * more than BACKLOG_KEYS wait, a twentieth of the 400 calls a second.
 */
#define TXN_INTERVAL_MS 200
#define BUSY_TXN_INTERVAL_MS 50
#define BACKLOG_KEYS 500

struct gc {
	struct celld *d;
	uint64_t token;
	gc_deleted_fn deleted;
	void *ctx;
	char **keys; /* to be deleted, in order */
	uint32_t head;
	uint32_t count;
	uint32_t capacity;
	uint32_t sent; /* keys in the transaction in flight, 0: none */
	bool closed;
	uint64_t next_ms;
};

/*
 * Returns a collector for the term with fencing token @token. It calls @deleted
 * for each key once it is no longer in the store.
 */
struct gc *gc_new(struct celld *d, uint64_t token, gc_deleted_fn deleted,
		  void *ctx)
{
	struct gc *gc = xcalloc(1, sizeof(*gc));

	gc->d = d;
	gc->token = token;
	gc->deleted = deleted;
	gc->ctx = ctx;
	return gc;
}

static void destroy(struct gc *gc)
{
	for (uint32_t i = gc->head; i < gc->count; i++)
		free(gc->keys[i]);
	free(gc->keys);
	free(gc);
}

/* Frees the collector, after the transaction in flight if there is one. */
void gc_free(struct gc *gc)
{
	gc->closed = true;
	if (!gc->sent)
		destroy(gc);
}

/* Queues @key, which is copied, for deletion. */
void gc_delete_later(struct gc *gc, const char *key)
{
	if (gc->head > BACKLOG_KEYS && gc->head > gc->count - gc->head) {
		gc->count -= gc->head;
		memmove(gc->keys, gc->keys + gc->head,
			gc->count * sizeof(*gc->keys));
		gc->head = 0;
	}
	if (gc->count == gc->capacity) {
		gc->capacity = gc->capacity ? gc->capacity * 2 : 64;
		gc->keys = xrealloc(gc->keys, gc->capacity * sizeof(*gc->keys));
	}
	gc->keys[gc->count++] = strdup(key);
}

static void on_deleted(void *ctx, const struct pf_reply *reply)
{
	struct gc *gc = ctx;
	uint32_t n = gc->sent;

	gc->sent = 0;
	if (gc->closed) {
		destroy(gc);
		return;
	}
	/* Retried later. Deleting a key a second time is harmless. */
	if (reply->status != PF_OK)
		return;
	for (uint32_t i = 0; i < n; i++) {
		gc->deleted(gc->ctx, gc->keys[gc->head + i], reply->revision);
		free(gc->keys[gc->head + i]);
	}
	gc->head += n;
	if (gc->head == gc->count) {
		gc->head = 0;
		gc->count = 0;
	}
}

/* Deletes the next keys, if a transaction is due. */
void gc_tick(struct gc *gc, uint64_t now_ms)
{
	struct pf_txn txn = { .condition_count = 1 };

	if (gc->sent || gc->head == gc->count || now_ms < gc->next_ms)
		return;
	gc->next_ms = now_ms + (gc->count - gc->head > BACKLOG_KEYS
					? BUSY_TXN_INTERVAL_MS
					: TXN_INTERVAL_MS);
	txn.conditions[0] = (struct pf_condition){ .key = CD_HOLDER_KEY,
						   .revision = gc->token };
	while (txn.delete_count < PF_DELETES_MAX &&
	       gc->head + txn.delete_count < gc->count) {
		txn.deletes[txn.delete_count] =
			gc->keys[gc->head + txn.delete_count];
		txn.delete_count++;
	}
	gc->sent = txn.delete_count;
	pf_commit(gc->d->store, &txn, TXN_TIMEOUT_MS, on_deleted, gc);
}
