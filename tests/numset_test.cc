#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

extern "C" {
#include "cell/numset.h"
}

/* Guards against a number that is lost, or a member that was never added. */
RC_GTEST_PROP(Numset, AgreesWithASet, ())
{
	const auto ranges =
		*rc::gen::container<std::vector<std::pair<int, int>>>(
			rc::gen::pair(rc::gen::inRange(0, 400),
				      rc::gen::inRange(1, 150)));
	struct numset set = {};
	std::set<uint32_t> model;
	uint32_t end = 0;
	uint32_t from;
	uint32_t listed = 0;

	for (const auto &r : ranges) {
		uint32_t first = static_cast<uint32_t>(r.first);
		uint32_t last = first + static_cast<uint32_t>(r.second);

		numset_add_range(&set, first, last);
		for (uint32_t i = first; i < last; i++)
			model.insert(i);
	}
	RC_ASSERT(set.count == model.size());
	for (uint32_t i = 0; i < 700; i++)
		RC_ASSERT(numset_has(&set, i) == (model.count(i) > 0));
	while (numset_range(&set, end, &from, &end)) {
		RC_ASSERT(from < end);
		for (uint32_t i = from; i < end; i++)
			RC_ASSERT(model.count(i) == 1);
		listed += end - from;
	}
	RC_ASSERT(listed == model.size());
	numset_free(&set);
}

/* Guards against memory that grows with the numbers that are all members. */
TEST(Numset, ConsecutiveNumbersTakeNoMemory)
{
	struct numset set = {};

	numset_add_range(&set, 0, 4000000000U);
	EXPECT_TRUE(numset_has(&set, 3999999999U));
	EXPECT_FALSE(numset_has(&set, 4000000000U));
	EXPECT_LE(set.words, 2U);
	for (uint32_t i = 4000000000U; i < 4000001000U; i++)
		numset_add(&set, i);
	EXPECT_LE(set.words, 2U);
	numset_free(&set);
}
