/*
 * Scheduler of one availability zone: jobs, tasks, leases, gangs and workers.
 * A state machine without I/O: the caller passes events in, carries out the
 * actions and writes the pending records to the journal. The daemon that holds
 * the zone's claim (its leader lease, see claim.h) runs it.
 */
#ifndef JAYSPOKE_ZONE_H
#define JAYSPOKE_ZONE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "jnl.h"
#include "res.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ZONE_LEASE_MAX 160 /* bytes of a lease id, with NUL */
#define ZONE_NO_LIMIT UINT32_MAX
#define ZONE_ID_MAX 120 /* bytes of a job id, with NUL */

struct zone;

struct zone_settings {
	char az[JNL_NAME_MAX];
	uint32_t start_lease_ms;
	uint32_t sync_min_ms;
	uint32_t sync_max_ms;
	uint64_t seed;
};

struct zone_worker_info {
	char id[JNL_NAME_MAX];
	char addr[JNL_ADDR_MAX];
	char rack[JNL_NAME_MAX];
	struct res capacity;
	bool leaving;
};

enum zone_action_kind {
	ZONE_CREATE_LEASE, /* create a lease with ttl_ms */
	ZONE_START,	   /* send body; must not be retried */
	ZONE_STOP,	   /* stop the task of the lease */
	ZONE_THROTTLE,	   /* slow down the task of the lease */
	ZONE_SYNC,	   /* send body; long poll of up to wait_ms */
	ZONE_ANSWER	   /* reply to a submission or cancel */
};

/* An action for the caller; see zone_next_action(). */
struct zone_action {
	enum zone_action_kind kind;
	uint32_t ref; /* of the sync, or of the submission or cancel */
	char worker[JNL_NAME_MAX];
	char addr[JNL_ADDR_MAX];
	char lease[ZONE_LEASE_MAX];
	uint32_t ttl_ms;
	uint32_t wait_ms;
	char *body;
	size_t body_len;
	struct err err; /* ZONE_ANSWER */
	enum outcome outcome;
	struct zone_action *next;
};

enum zone_result {
	ZONE_OK,
	ZONE_REFUSED, /* error reply; the request had no effect */
	ZONE_NOT_SENT,
	ZONE_NO_ANSWER /* the request may have taken effect */
};

struct zone_submission {
	struct jnl_spec spec;
	const char *input;
	size_t input_len;
	uint32_t max_queued; /* of the entry */
	bool limit_zero;     /* needs a resource whose limit is 0 */
};

struct zone_stats {
	uint32_t jobs;
	uint32_t queued;
	uint32_t running; /* tasks */
	uint32_t workers;
	uint32_t workers_up;
	uint64_t starts;
	uint64_t restarts;
	uint64_t lost_workers;
	uint32_t free_milli; /* free part of the scarcest resource, in 1/1000 */
};

/* Operations that the daemon's claim permits at the time of a call. */
struct zone_rights {
	bool valid; /* the claim is valid */
	bool start; /* the claim is valid and the daemon is not draining */
};

struct zone *zone_new(const struct zone_settings *settings);
void zone_free(struct zone *z);

void zone_set_owner(struct zone *z, const char *name, double weight,
		    const struct res *max);
void zone_set_workers(struct zone *z, const struct zone_worker_info *infos,
		      uint32_t count, uint64_t now_ms);

bool zone_replay(struct zone *z, const struct jnl_batch *batch,
		 struct err *err);
void zone_finish_recovery(struct zone *z, uint64_t epoch, uint64_t now_ms);

void zone_submit(struct zone *z, uint32_t ref,
		 const struct zone_submission *submission, uint64_t now_ms);
void zone_cancel(struct zone *z, uint32_t ref, const char *id, uint64_t now_ms);
bool zone_status(struct zone *z, const char *id, char **body, size_t *len,
		 struct err *err, enum outcome *outcome);

uint32_t zone_pending(const struct zone *z);
uint64_t zone_take_batch(struct zone *z, struct jnl_pending *out);
void zone_committed(struct zone *z, uint64_t batch, uint64_t now_ms);
void zone_snapshot(struct zone *z,
		   void (*emit)(void *ctx, const struct jnl_record *record),
		   void *ctx);

void zone_on_result(struct zone *z, enum zone_action_kind kind, uint32_t ref,
		    const char *worker, const char *lease,
		    enum zone_result result, const char *body, size_t len,
		    const struct zone_rights *rights, uint64_t now_ms);
void zone_tick(struct zone *z, uint64_t now_ms, uint64_t unix_ms,
	       const struct zone_rights *rights);
struct zone_action *zone_next_action(struct zone *z);
void zone_action_free(struct zone_action *action);
void zone_get_stats(const struct zone *z, struct zone_stats *stats);
uint32_t zone_lease_term_ms(const struct zone *z);

#ifdef __cplusplus
}
#endif

#endif
