/* Retry budget, backoff and deadlines. */
#ifndef JAYSPOKE_RETRY_H
#define JAYSPOKE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RETRY_ATTEMPTS 3 /* maximum, for each task of a batch job */

/* Token bucket for the retries to one upstream; empty if zeroed. */
struct retry_budget {
	uint32_t milli; /* tokens: thousandths of a retry */
};

void retry_init(struct retry_budget *budget);
void retry_success(struct retry_budget *budget);
bool retry_take(struct retry_budget *budget);
uint32_t retry_backoff_ms(uint32_t attempt, uint32_t base_ms, uint32_t max_ms,
			  uint64_t random);
uint32_t retry_left_ms(uint64_t deadline_ms, uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
