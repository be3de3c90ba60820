#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "rtt.h"

namespace
{

constexpr uint32_t LEAST_MS = 600;
constexpr uint32_t MOST_MS = 3000;

uint32_t timeout(const struct rtt &r)
{
	return rtt_timeout_ms(&r, LEAST_MS, MOST_MS);
}

} // namespace

RC_GTEST_PROP(Rtt, TimeoutStaysWithinItsBounds, ())
{
	struct rtt r = {};

	for (uint64_t ms : *rc::gen::container<std::vector<uint64_t>>(
		     rc::gen::inRange<uint64_t>(0, 100000))) {
		rtt_add(&r, ms);
		RC_ASSERT(timeout(r) >= LEAST_MS);
		RC_ASSERT(timeout(r) <= MOST_MS);
	}
}

TEST(Rtt, TimeoutExceedsSteadilyLateResponses)
{
	struct rtt r = {};

	for (int i = 0; i < 100; i++)
		rtt_add(&r, 1200);
	EXPECT_GT(timeout(r), 1200U);
	EXPECT_LT(timeout(r), 2000U);
}

TEST(Rtt, TimeoutReturnsToItsLeastValue)
{
	struct rtt r = {};

	for (int i = 0; i < 100; i++)
		rtt_add(&r, 1200);
	for (int i = 0; i < 200; i++)
		rtt_add(&r, 10);
	EXPECT_EQ(timeout(r), LEAST_MS);
}

TEST(Rtt, CallsWithoutAResponseRaiseTheTimeout)
{
	struct rtt r = {};

	for (int i = 0; i < 100; i++)
		rtt_add_missed(&r, timeout(r));
	EXPECT_EQ(timeout(r), MOST_MS);
}
