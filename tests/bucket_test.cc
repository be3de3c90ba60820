#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "bucket.h"

// Guards against more calls than rate and burst allow in any interval, tokens
// that are not given out, and wait times that are too long or too short.
RC_GTEST_PROP(Bucket, CallsStayWithinRateAndBurst,
	      (const std::vector<uint16_t> &delays, uint8_t rate_seed))
{
	const uint32_t rate = rate_seed % 20 + 1, burst = 40;
	std::vector<uint64_t> sent;
	uint64_t now = 1000;
	bucket b;
	bucket_init(&b, rate, burst, now);
	for (auto delay : delays) {
		now += delay % 400;
		uint64_t wait = bucket_wait_ms(&b, now);
		RC_ASSERT(bucket_take(&b, now) == (wait == 0));
		if (wait) {
			RC_ASSERT(!bucket_take(&b, now + wait - 1));
			now += wait;
			RC_ASSERT(bucket_take(&b, now));
		}
		sent.push_back(now);
	}
	for (size_t i = 0; i < sent.size(); i++)
		for (size_t k = i; k < sent.size(); k++)
			RC_ASSERT((k - i + 1) * 1000 <=
				  burst * 1000 + (sent[k] - sent[i]) * rate);
}

// Guards against a bucket that overflows or exceeds the burst after a long
// pause, or refills when the clock does not advance.
TEST(Bucket, LongPauseFillsToBurst)
{
	bucket b;
	bucket_init(&b, 16, 40, 0);
	for (int i = 0; i < 40; i++)
		EXPECT_TRUE(bucket_take(&b, 0));
	EXPECT_FALSE(bucket_take(&b, 0));
	for (int i = 0; i < 40; i++)
		EXPECT_TRUE(bucket_take(&b, UINT64_MAX / 2));
	EXPECT_FALSE(bucket_take(&b, UINT64_MAX / 2));
	EXPECT_FALSE(bucket_take(&b, 5));
	bucket_set_rate(&b, 0, UINT64_MAX / 2);
	EXPECT_EQ(UINT64_MAX, bucket_wait_ms(&b, UINT64_MAX / 2));
}

// Guards against a delay that is outside of 50 to 100% of the backoff, exceeds
// the maximum or does not persist, and against concurrent calls that count as
// several failures.
RC_GTEST_PROP(Bucket, BackoffDoublesUpToMaximum,
	      (const std::vector<uint32_t> &random))
{
	bucket_backoff b{};
	uint64_t now = 1000, expect = 100;
	b.base_ms = 100;
	b.max_ms = 5000;
	for (auto r : random) {
		uint64_t sent = now;
		now += 50;
		bucket_backoff_fail(&b, sent, now, r);
		uint64_t wait = bucket_backoff_wait_ms(&b, now);
		RC_ASSERT(wait >= expect / 2 && wait <= expect);
		bucket_backoff_fail(&b, sent, now, r + 1);
		RC_ASSERT(bucket_backoff_wait_ms(&b, now) == wait);
		now += wait;
		RC_ASSERT(bucket_backoff_wait_ms(&b, now) == 0);
		expect = expect * 2 < 5000 ? expect * 2 : 5000;
	}
	bucket_backoff_succeed(&b);
	bucket_backoff_fail(&b, now, now, 0);
	RC_ASSERT(bucket_backoff_wait_ms(&b, now) <= 100);
}
