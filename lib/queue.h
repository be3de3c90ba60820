/*
 * Queue of the waiting jobs of a zone, ordered by urgency, then by the fair
 * share of the owners, then by age. Jobs that are overtaken for long get
 * reservations, for which workers are kept free.
 */
#ifndef JAYSPOKE_QUEUE_H
#define JAYSPOKE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "share.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Handle of a waiting job: generation in the upper 32 bits, index in the lower.
 */
typedef uint64_t queue_ref;
#define QUEUE_NONE ((queue_ref)0)

/* Concurrent reservations; see queue_reservation(). */
#define QUEUE_RESERVATIONS 4

/*
 * Each reservation other than number 0 may fence at most one of every
 * QUEUE_FENCE_PART workers.
 */
#define QUEUE_FENCE_PART 8

struct queue;

struct queue_job {
	uint32_t owner; /* handle of share.h */
	uint32_t entry; /* jobs of one entry have tasks of the same size */
	uint32_t tasks;
	bool urgent;
	uint64_t since_ms; /* time from which the job counts as waiting */
	uint64_t user;	   /* opaque data of the caller */
};

struct queue_limits {
	uint32_t reserve_after_ms; /* wait before a job may get a reservation */
	uint32_t reserve_ms; /* a job's first reservation; doubles each time */
	uint32_t reserve_max_ms; /* maximum length of a reservation */
};

/* Reason for which a job cannot start in this pass. */
enum queue_reason {
	QUEUE_NO_ROOM, /* not enough free capacity; may lead to a reservation */
	QUEUE_LIMIT    /* the owner or entry is at a limit */
};

struct queue *queue_new(struct share *share, const struct queue_limits *limits);
void queue_free(struct queue *q);
queue_ref queue_add(struct queue *q, const struct queue_job *job);
bool queue_remove(struct queue *q, queue_ref ref);
const struct queue_job *queue_get(const struct queue *q, queue_ref ref);
uint32_t queue_count(const struct queue *q);
uint32_t queue_count_owner(const struct queue *q, uint32_t owner);
void queue_begin(struct queue *q, uint64_t now_ms);
queue_ref queue_next(struct queue *q);
void queue_blocked(struct queue *q, queue_ref ref, enum queue_reason why);
queue_ref queue_reservation(const struct queue *q, uint32_t number);
void queue_drop(struct queue *q, uint32_t number);
uint8_t queue_fence(const struct queue *q, queue_ref ref);
/* For callers that use reservation 0 only. */
void queue_drop_reservation(struct queue *q);
queue_ref queue_reserved(const struct queue *q);
bool queue_may_use_reserved(const struct queue *q, queue_ref ref);

#ifdef __cplusplus
}
#endif

#endif
