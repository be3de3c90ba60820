/*
 * Journal of a zone in the store: a log of batches, written by compare-and-swap
 * and read back at a takeover, with snapshots and the deletion of old segments.
 */
#ifndef JAYSPOKE_JOURNAL_H
#define JAYSPOKE_JOURNAL_H

#include "env.h"
#include "jnl.h"
#include "zone.h"

struct journal;

struct journal_ops {
	/* The journal is loaded into the zone and the log taken over. */
	void (*ready)(void *ctx);
	/* All batches up to @batch are durable. */
	void (*committed)(void *ctx, uint64_t batch);
	/* The claim is lost: the log holds a newer epoch or is unreadable. */
	void (*lost)(void *ctx);
};

struct journal *journal_new(const struct env *env,
			    const struct journal_ops *ops, void *ctx);
void journal_open(struct journal *j, struct zone *zone, uint64_t epoch);
void journal_close(struct journal *j);
void journal_flush(struct journal *j, uint64_t now_ms);
bool journal_owns(const struct journal *j, uint32_t ref);
void journal_on_reply(struct journal *j, const struct msg *msg,
		      uint64_t now_ms);
bool journal_healthy(const struct journal *j, uint64_t now_ms);
bool journal_idle(const struct journal *j);
uint64_t journal_position(const struct journal *j);

#endif
