/* State of the holder, shared by its source files. */
#ifndef JAYSPOKE_HOLDER_INT_H
#define JAYSPOKE_HOLDER_INT_H

#include "celld.h"

/*
 * Journal transactions in flight at a time, enough for one every
 * BATCH_INTERVAL_MS while the store takes 0.2 s to respond. If the holder dies,
 * a later batch may be stored without an earlier one; journal_follows() finds
 * such a gap.
 */
#define BATCHES_IN_FLIGHT_MAX 6
#define JOURNAL_KEY_MAX 64

/* Recovery reads the jobs, then replays the journal. */
enum phase { PHASE_JOBS, PHASE_JOURNAL, PHASE_READY };

/* A journal transaction in flight, in a ring of slots. */
struct batch {
	struct holder *holder;
	struct buf bytes;
	uint32_t number;
	uint32_t pending; /* batches before it in flight when it was made */
	uint32_t records;
	uint64_t last_seq;
	uint64_t sent_ms; /* 0: to be resent */
	bool durable;	  /* but an earlier batch is not */
};

/* An encoded record that is not durable yet. */
struct journal_entry {
	uint64_t seq;
	struct buf bytes;
};

/* Keys of one term without a gap, as the journal is read in order. */
struct journal_run {
	uint64_t token;
	uint64_t first; /* number of the first batch */
	uint64_t next;	/* the number after the last one */
};

/* A cancel to answer once its record is durable. */
struct pending_cancel {
	uint64_t seq;
	struct cd_origin origin;
	enum cd_status status;
};

struct holder {
	struct cell_owner owner; /* first member */
	struct celld *d;
	struct cell *cell;
	struct gc *gc;
	uint64_t token;
	uint64_t started_ms;
	uint64_t ready_ms; /* end of recovery, 0: not yet */
	enum phase phase;
	/* The term has ended; freed once no call is in flight. */
	bool closed;
	uint32_t calls_in_flight;
	char cursor[JOURNAL_KEY_MAX * 4]; /* last key of the page read */
	uint64_t jobs_revision;		  /* watch position; 0: list again */
	uint64_t jobs_first_revision;	  /* of the first page being listed */
	bool jobs_polling;
	uint64_t jobs_sent_ms; /* when the latest read of the jobs began */
	uint64_t jobs_poll_ms;
	struct listing *listing;
	struct journal_entry *queue;
	uint32_t queue_head;
	uint32_t queue_count;
	uint32_t queue_capacity;
	/* Ring of batches in order of their numbers, from batch_first. */
	struct batch batches[BATCHES_IN_FLIGHT_MAX];
	uint32_t batch_first;
	uint32_t batches_in_flight;
	uint32_t batch_number;	    /* number of the next batch */
	uint32_t records_in_flight; /* queue entries in batches */
	uint64_t batch_next_ms;	    /* earliest time of a new batch */
	uint64_t batch_retry_ms;    /* earliest time of a resend */
	/* Keys of durable batches that no snapshot has replaced. */
	char (*stored_batches)[JOURNAL_KEY_MAX];
	uint32_t stored_count;
	uint64_t snapshot_seq;	    /* its last record, 0: no snapshot */
	uint32_t snapshot_replaces; /* stored batches before it */
	struct journal_run replayed;
	struct pending_cancel *cancels;
	uint32_t cancel_count;
	/* Reads of unknown jobs for callers, see query.c. */
	uint32_t lookups;	     /* in flight */
	struct lookup *lookup_first; /* queued */
	struct lookup *lookup_last;
	bool lookups_starting;
	struct timer tick;
	ctr_id starts;
	ctr_id batches_written;
	ctr_id recovery_us;
};

/* holder.c */
bool holder_end_call(struct holder *h);
void holder_add_jobs(struct holder *h, const struct pf_reply *reply);

/* cell_ops.c: callbacks of the cell scheduler */
extern const struct cell_ops holder_ops;

/* listing.c: minions that the platform lists */
struct listing;
struct listing *listing_new(struct holder *h);
void listing_free(struct listing *listing);
void listing_tick(struct listing *listing, uint64_t now_ms);

/* journal.c: group commit of journal records */
void journal_add(struct holder *h, uint64_t seq,
		 const struct cell_record *record);
void journal_track_batch(struct holder *h, const char *key);
bool journal_follows(struct journal_run *run, const char *key);
void journal_tick(struct holder *h, uint64_t now_ms);
void journal_free(struct holder *h);

#endif
