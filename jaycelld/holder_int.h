/* State of a holder, shared by its files. */
#ifndef JAYSPOKE_HOLDER_INT_H
#define JAYSPOKE_HOLDER_INT_H

#include "celld.h"

/*
 * Batches in flight at a time. A slow store, of 0.2 s an answer, still takes
 * one every GATHER_MS. A gap that a dead holder leaves does no harm: what is
 * missing was neither observed nor shown.
 */
#define BATCHES_MAX 6
#define JOURNAL_KEY_MAX 64

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

/* holder.c */
bool holder_call_returned(struct holder *h);
void holder_take_jobs(struct holder *h, const struct pf_reply *reply);

/* orders.c: what the cell asks for. */
extern const struct cell_ops holder_ops;

/* journal.c: records that become durable, in groups. */
void journal_add(struct holder *h, uint64_t seq,
		 const struct cell_record *record);
void journal_note_batch(struct holder *h, const char *key);
void journal_tick(struct holder *h, uint64_t now_ms);
void journal_free(struct holder *h);

#endif
