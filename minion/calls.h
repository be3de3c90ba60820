/* Interactive requests: queues, dispatch, retries, hedging and replies. */
#ifndef JAYSPOKE_CALLS_H
#define JAYSPOKE_CALLS_H

#include "backends.h"
#include "env.h"

/* Default timeout of an entry. */
#define CALL_TIMEOUT_MS 10000

struct calls;

struct calls *calls_new(const struct env *env, struct entries *entries,
			struct backends *backends);
void calls_set_claim(struct calls *calls, const struct msg_claim *claim,
		     uint64_t now_ms);
void calls_submit(struct calls *calls, struct msg *msg);
void calls_cancel(struct calls *calls, const struct msg *msg);
void calls_dispatch(struct calls *calls);
void calls_report_demand(struct calls *calls, uint64_t now_ms);
void calls_stop(struct calls *calls);
uint32_t calls_open(const struct calls *calls);
uint32_t calls_queued(const struct calls *calls);

#endif
