#include "bucket.h"

#define MILLI_PER_TOKEN 1000U

/* Initializes @b full, with @burst tokens, refilled at @rate per second. */
void bucket_init(struct bucket *b, uint32_t rate, uint32_t burst,
		 uint64_t now_ms)
{
	*b = (struct bucket){ .rate = rate,
			      .burst = burst,
			      .milli = (uint64_t)burst * MILLI_PER_TOKEN,
			      .refilled_ms = now_ms };
}

static void bucket_refill(struct bucket *b, uint64_t now_ms)
{
	uint64_t limit = (uint64_t)b->burst * MILLI_PER_TOKEN;
	uint64_t elapsed =
		now_ms > b->refilled_ms ? now_ms - b->refilled_ms : 0;

	if (!elapsed)
		return;
	b->refilled_ms = now_ms;
	/* One token per second is one thousandth per millisecond. */
	if (b->rate && elapsed > limit / b->rate)
		b->milli = limit;
	else
		b->milli += elapsed * b->rate;
	if (b->milli > limit)
		b->milli = limit;
}

/* Changes the rate from @now_ms on. Tokens accumulated so far are kept. */
void bucket_set_rate(struct bucket *b, uint32_t rate, uint64_t now_ms)
{
	bucket_refill(b, now_ms);
	b->rate = rate;
}

/* Takes a token; returns false if there is none. */
bool bucket_take(struct bucket *b, uint64_t now_ms)
{
	bucket_refill(b, now_ms);
	if (b->milli < MILLI_PER_TOKEN)
		return false;
	b->milli -= MILLI_PER_TOKEN;
	return true;
}

/* Returns the milliseconds until a token is available; UINT64_MAX: never. */
uint64_t bucket_wait_ms(struct bucket *b, uint64_t now_ms)
{
	bucket_refill(b, now_ms);
	if (b->milli >= MILLI_PER_TOKEN)
		return 0;
	if (!b->rate || !b->burst)
		return UINT64_MAX;
	return (MILLI_PER_TOKEN - b->milli + b->rate - 1) / b->rate;
}

/*
 * Records the failure of a call that was sent at @sent_ms. Failures of calls
 * sent before the last recorded failure are ignored, so that concurrent calls
 * count as one. The backoff starts at base_ms and doubles with each failure up
 * to max_ms; the next call is blocked for between half and all of it, chosen by
 * @random.
 */
void bucket_backoff_fail(struct bucket_backoff *b, uint64_t sent_ms,
			 uint64_t now_ms, uint32_t random)
{
	uint64_t delay = b->base_ms;

	if (b->failures && sent_ms < b->failed_ms)
		return;
	for (uint32_t i = 0; i < b->failures && delay < b->max_ms; i++)
		delay *= 2;
	if (delay > b->max_ms)
		delay = b->max_ms;
	delay = delay / 2 + random % (delay - delay / 2 + 1);
	if (b->failures < UINT32_MAX)
		b->failures++;
	b->failed_ms = now_ms;
	b->blocked_ms = now_ms + delay;
}

/* Records that a call was answered: resets the backoff. */
void bucket_backoff_succeed(struct bucket_backoff *b)
{
	b->failures = 0;
	b->blocked_ms = 0;
}

/* Returns the milliseconds until the next call may be sent. */
uint64_t bucket_backoff_wait_ms(const struct bucket_backoff *b, uint64_t now_ms)
{
	return b->blocked_ms > now_ms ? b->blocked_ms - now_ms : 0;
}
