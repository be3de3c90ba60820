/*
 * Removes from the store what no successor needs: jobs that callers may not ask
 * for any more, and journal batches that a snapshot has replaced.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "celld.h"

/* Keys that are removed by one transaction, which also names the holder. */
#define REMOVE_MAX (PF_TXN_MAX - 2)
#define TXN_TIMEOUT_MS 700
/* Between two transactions, so that tidying leaves the store's rate alone. */
#define PACE_MS 200

struct tidy {
	struct celld *d;
	uint64_t token;
	char **keys; /* to be removed, in order */
	uint32_t head;
	uint32_t count;
	uint32_t capacity;
	uint32_t sent; /* in the transaction in flight */
	bool closed;
	uint64_t next_ms;
};

/* Returns a tidier of the term with that token. */
struct tidy *tidy_new(struct celld *d, uint64_t token)
{
	struct tidy *t = xcalloc(1, sizeof(*t));

	t->d = d;
	t->token = token;
	return t;
}

static void destroy(struct tidy *t)
{
	for (uint32_t i = t->head; i < t->count; i++)
		free(t->keys[i]);
	free(t->keys);
	free(t);
}

/* Ends the tidier; the answer to a call in flight is dropped. */
void tidy_free(struct tidy *t)
{
	t->closed = true;
	if (!t->sent)
		destroy(t);
}

/* Has @key removed, some time later. */
void tidy_remove(struct tidy *t, const char *key)
{
	if (t->count == t->capacity) {
		t->capacity = t->capacity ? t->capacity * 2 : 64;
		t->keys = xrealloc(t->keys, t->capacity * sizeof(*t->keys));
	}
	t->keys[t->count++] = strdup(key);
}

static void on_removed(void *ctx, const struct pf_reply *reply)
{
	struct tidy *t = ctx;
	uint32_t n = t->sent;

	t->sent = 0;
	if (t->closed) {
		destroy(t);
		return;
	}
	/* A lost answer does no harm: removing a key twice is allowed. */
	if (reply->status != PF_OK)
		return;
	for (uint32_t i = 0; i < n; i++)
		free(t->keys[t->head + i]);
	t->head += n;
	if (t->head == t->count) {
		t->head = 0;
		t->count = 0;
	}
}

/* Removes the next keys, if it is time. */
void tidy_tick(struct tidy *t, uint64_t now_ms)
{
	struct pf_txn txn = { .condition_count = 1 };

	if (t->sent || t->head == t->count || now_ms < t->next_ms)
		return;
	t->next_ms = now_ms + PACE_MS;
	txn.conditions[0] = (struct pf_condition){ .key = CD_HOLDER_KEY,
						   .revision = t->token };
	while (txn.remove_count < REMOVE_MAX &&
	       t->head + txn.remove_count < t->count) {
		txn.removes[txn.remove_count] =
			t->keys[t->head + txn.remove_count];
		txn.remove_count++;
	}
	t->sent = txn.remove_count;
	pf_commit(t->d->store, &txn, TXN_TIMEOUT_MS, on_removed, t);
}
