/* Response times of calls to a peer, and the timeout that follows from them. */
#ifndef JAYSPOKE_RTT_H
#define JAYSPOKE_RTT_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Zeroed: no response yet. */
struct rtt {
	double mean_ms;
	double deviation_ms; /* mean deviation from the mean */
};

void rtt_add(struct rtt *r, uint64_t took_ms);
void rtt_add_missed(struct rtt *r, uint64_t timeout_ms);
uint32_t rtt_timeout_ms(const struct rtt *r, uint32_t least_ms,
			uint32_t most_ms);

#ifdef __cplusplus
}
#endif

#endif
