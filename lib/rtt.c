#include "rtt.h"

/* Weight of one response in the means. */
#define RTT_WEIGHT (1.0 / 32)
/* Deviations above the mean that a response may take. */
#define RTT_DEVIATIONS 4
/* A call without a response counts as one that took its timeout times this. */
#define RTT_BACKOFF 2

/* Adds a response that took @took_ms. */
void rtt_add(struct rtt *r, uint64_t took_ms)
{
	double diff = (double)took_ms - r->mean_ms;

	r->mean_ms += diff * RTT_WEIGHT;
	if (diff < 0)
		diff = -diff;
	r->deviation_ms += (diff - r->deviation_ms) * RTT_WEIGHT;
}

/* Adds a call that had no response in @timeout_ms. */
void rtt_add_missed(struct rtt *r, uint64_t timeout_ms)
{
	rtt_add(r, timeout_ms * RTT_BACKOFF);
}

/*
 * Returns after how many ms a response is overdue, from @least_ms to @most_ms:
 * the mean and some mean deviations, as for the retransmissions of TCP.
 */
uint32_t rtt_timeout_ms(const struct rtt *r, uint32_t least_ms,
			uint32_t most_ms)
{
	double ms = r->mean_ms + RTT_DEVIATIONS * r->deviation_ms;

	if (ms > most_ms)
		return most_ms;
	return ms > least_ms ? (uint32_t)ms : least_ms;
}
