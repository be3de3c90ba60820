#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "est.h"

struct Report {
	uint64_t at;
	res used;
};

// Guards against an estimate below a usage reported within EST_HOLD_MS, with
// wrong declared sizes, and with time that does not advance or goes backwards.
RC_GTEST_PROP(Est, NeverBelowRecentReports, ())
{
	est e;
	res declared = { *rc::gen::inRange<uint32_t>(0, 64000),
			 *rc::gen::inRange<uint32_t>(0, 260000), 1 };
	std::vector<Report> reports;
	uint64_t now = *rc::gen::inRange<uint64_t>(0, 1000000);
	int steps = *rc::gen::inRange(1, 60);

	est_init(&e, &declared, *rc::gen::element<uint64_t>(0, 500, 90000));
	while (steps--) {
		res size, used = { *rc::gen::inRange<uint32_t>(0, 90000),
				   *rc::gen::inRange<uint32_t>(0, 90000),
				   *rc::gen::inRange<uint32_t>(0, 3) };

		now += *rc::gen::element<uint64_t>(0, 10, 3000, 29999, 400000);
		// A report with an earlier time counts as of the last report.
		bool older = !reports.empty() && *rc::gen::arbitrary<bool>();
		now = older ? reports.back().at : now;
		reports.push_back({ now, used });
		est_observe_usage(&e, &used, older ? now / 2 : now);
		est_size(&e, &size);
		for (auto &r : reports) {
			if (now - r.at >= EST_HOLD_MS)
				continue;
			RC_ASSERT(size.cpu_milli >= r.used.cpu_milli);
			RC_ASSERT(size.mem_mb >= r.used.mem_mb);
		}
		RC_ASSERT(size.accel >= std::max(1u, used.accel));
	}
}

// Guards against sizes that stay at a wrong declaration, which leaves capacity
// unused, or decay so fast that a late peak is forgotten.
TEST(Est, ConvergesToActualSize)
{
	res declared = { 32000, 65536, 2 }, used = { 8000, 8192, 0 }, size;
	est e;

	est_init(&e, &declared, 60000);
	for (uint64_t t = 1000; t <= 60000; t += 3000)
		est_observe_usage(&e, &used, t);
	est_size(&e, &size);
	EXPECT_GT(size.mem_mb, 32768u);
	for (uint64_t t = 61000; t <= 1500000; t += 3000)
		est_observe_usage(&e, &used, t);
	est_size(&e, &size);
	EXPECT_LE(size.cpu_milli, 8100u);
	EXPECT_LE(size.mem_mb, 8300u);
	EXPECT_EQ(2u, size.accel);
}

// Guards against a run time estimate that does not converge to the range of the
// observed ones.
RC_GTEST_PROP(Est, RunTimeConvergesToObserved, ())
{
	uint64_t low = *rc::gen::inRange<uint64_t>(1, 100000);
	uint64_t high = low + *rc::gen::inRange<uint64_t>(1, 100000);
	uint64_t declared = *rc::gen::element<uint64_t>(0, 1, low, 100 * high);
	res none = {};
	est e;

	est_init(&e, &none, declared);
	for (int i = 0; i < 60; i++)
		est_observe_run(&e, i % 2 ? low : high);
	// The remaining weight of the declared time is 0.8^58, or 2e-6.
	RC_ASSERT(est_run_ms(&e) + 1 >= low);
	RC_ASSERT(est_run_ms(&e) <= high + high / 1000 + 1);
}
