#include <gtest/gtest.h>

#include <cstring>

#include "ctr.h"
#include "err.h"

// Guards against a new error kind without a row in the table.
TEST(Err, EveryKindHasAName)
{
	for (int k = 0; k < ERR_KIND_COUNT; k++) {
		const char *name = err_name((enum err_kind)k);

		ASSERT_NE(nullptr, name) << k;
		EXPECT_GE(err_http_status((enum err_kind)k), 200) << name;
	}
}

// Guards against the outcome OUTCOME_NOT_RUN for work that may have run.
TEST(Err, WorkThatMayHaveRunIsNotReportedAsNotRun)
{
	EXPECT_EQ(OUTCOME_UNKNOWN, err_outcome(ERR_LOST));
	EXPECT_EQ(OUTCOME_UNKNOWN, err_outcome(ERR_INTERNAL));
	EXPECT_EQ(OUTCOME_FAILED, err_outcome(ERR_UPSTREAM_FAILED));
	EXPECT_EQ(OUTCOME_UNKNOWN, err_outcome((enum err_kind)99));
}

// Guards against quantiles that are off by more than the bucket width.
TEST(Ctr, QuantileIsWithinBucketWidth)
{
	ctr_id id = ctr_histogram("test_seconds", "test");

	for (uint64_t v = 1; v <= 10000; v++)
		ctr_observe(id, v);
	EXPECT_NEAR(5000, (double)ctr_quantile(id, 0.5), 5000 * 0.125);
	EXPECT_NEAR(9900, (double)ctr_quantile(id, 0.99), 9900 * 0.125);
}
