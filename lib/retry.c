#include "retry.h"

#define MILLI_PER_RETRY 1000
#define MILLI_PER_SUCCESS 100 /* one retry per ten successful requests */
/* Maximum burst of retries after a long time without failures. */
#define RETRY_BURST 10

/* Fills the bucket, so that the first request to an upstream can be retried. */
void retry_init(struct retry_budget *budget)
{
	budget->milli = RETRY_BURST * MILLI_PER_RETRY;
}

/* Adds the tokens for a successful request. */
void retry_success(struct retry_budget *budget)
{
	budget->milli += MILLI_PER_SUCCESS;
	if (budget->milli > RETRY_BURST * MILLI_PER_RETRY)
		budget->milli = RETRY_BURST * MILLI_PER_RETRY;
}

/* Takes the tokens for one retry; returns false if there are too few. */
bool retry_take(struct retry_budget *budget)
{
	if (budget->milli < MILLI_PER_RETRY)
		return false;
	budget->milli -= MILLI_PER_RETRY;
	return true;
}

/*
 * Returns the delay in milliseconds before retry number @attempt, counted from
 * 0: exponential backoff with full jitter, between 0 and the lesser of @max_ms
 * and @base_ms * 2^@attempt. @random is uniform over 64 bits.
 */
uint32_t retry_backoff_ms(uint32_t attempt, uint32_t base_ms, uint32_t max_ms,
			  uint64_t random)
{
	uint64_t limit = base_ms;

	while (attempt-- > 0 && limit < max_ms)
		limit *= 2;
	if (limit > max_ms)
		limit = max_ms;
	return (uint32_t)(random % (limit + 1));
}

/* Returns the milliseconds until @deadline_ms, 0 if it has passed. */
uint32_t retry_left_ms(uint64_t deadline_ms, uint64_t now_ms)
{
	uint64_t left = deadline_ms > now_ms ? deadline_ms - now_ms : 0;

	return left > UINT32_MAX ? UINT32_MAX : (uint32_t)left;
}
