/* Token bucket and exponential backoff with jitter; callers pass the time. */
#ifndef JAYSPOKE_BUCKET_H
#define JAYSPOKE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct bucket {
	uint32_t rate;	      /* tokens per second */
	uint32_t burst;	      /* capacity in tokens */
	uint64_t milli;	      /* thousandths of a token */
	uint64_t refilled_ms; /* time of the last refill */
};

struct bucket_backoff {
	uint32_t base_ms;
	uint32_t max_ms;
	uint32_t failures;   /* recorded since the last success */
	uint64_t failed_ms;  /* time of the last recorded failure */
	uint64_t blocked_ms; /* no call before this time */
};

void bucket_init(struct bucket *b, uint32_t rate, uint32_t burst,
		 uint64_t now_ms);
void bucket_set_rate(struct bucket *b, uint32_t rate, uint64_t now_ms);
bool bucket_take(struct bucket *b, uint64_t now_ms);
uint64_t bucket_wait_ms(struct bucket *b, uint64_t now_ms);

void bucket_backoff_fail(struct bucket_backoff *b, uint64_t sent_ms,
			 uint64_t now_ms, uint32_t random);
void bucket_backoff_succeed(struct bucket_backoff *b);
uint64_t bucket_backoff_wait_ms(const struct bucket_backoff *b,
				uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
