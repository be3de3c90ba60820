#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "retry.h"

// Guards against retries that multiply the load of a failing upstream: at any
// time, they are at most 10% of the successes plus the burst.
RC_GTEST_PROP(Retry, BudgetIsATenthOfSuccesses, (std::vector<bool> events))
{
	retry_budget budget;
	size_t successes = 0;
	size_t retries = 0;

	retry_init(&budget);
	for (bool success : events) {
		if (success) {
			retry_success(&budget);
			successes++;
		} else if (retry_take(&budget)) {
			retries++;
		}
		RC_ASSERT(retries <= successes / 10 + 10);
	}
}

// Guards against a budget that never refills, or accumulates without bound.
TEST(Retry, BudgetRefillsUpToItsBurst)
{
	retry_budget budget;
	int n = 0;

	retry_init(&budget);
	while (retry_take(&budget))
		n++;
	EXPECT_EQ(10, n);
	for (int i = 0; i < 9; i++)
		retry_success(&budget);
	EXPECT_FALSE(retry_take(&budget));
	retry_success(&budget);
	EXPECT_TRUE(retry_take(&budget));
	for (int i = 0; i < 100000; i++)
		retry_success(&budget);
	for (n = 0; retry_take(&budget);)
		n++;
	EXPECT_EQ(10, n);
}

// Guards against backoff without jitter, above its maximum, or with overflow.
RC_GTEST_PROP(Retry, BackoffIsWithinItsLimits,
	      (uint32_t attempt, uint64_t random))
{
	uint32_t base = *rc::gen::inRange(1u, 1000u);
	uint32_t max = *rc::gen::inRange(1000u, 4000000000u);
	uint32_t ms = retry_backoff_ms(attempt, base, max, random);

	RC_ASSERT(ms <= max);
	if (attempt < 8)
		RC_ASSERT(ms <= base << attempt);
	RC_ASSERT(retry_backoff_ms(attempt, base, max, 0) == 0u);
	RC_ASSERT(retry_backoff_ms(0, base, max, base) == base);
}

// Guards against a deadline in the past that wraps to a long remaining time.
TEST(Retry, TimeLeftDoesNotWrap)
{
	EXPECT_EQ(0u, retry_left_ms(1000, 1001));
	EXPECT_EQ(1u, retry_left_ms(1001, 1000));
	EXPECT_EQ(UINT32_MAX, retry_left_ms(UINT64_MAX, 0));
}
