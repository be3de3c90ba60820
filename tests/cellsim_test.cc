#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

extern "C" {
#include "../fakes/cellsim.h"
}

namespace
{

/* Loads like those of a captioning workshop: gangs, patient and quick jobs. */
const struct cellsim_class classes[] = {
	{ .queue = "film",
	  .priority = 1,
	  .per_s = 0.5,
	  .width = 6,
	  .cpu_milli = 9000,
	  .mem_mb = 16000,
	  .work_ms = 4000,
	  .gang = true,
	  .max_attempts = 3,
	  .fail_share = 0.02,
	  .slo_ms = 1200,
	  .stretch = 2.2,
	  .advice_ms = 300,
	  .advice_minion_ms = 5,
	  .advice_good = 0.4 },
	{ .queue = "timing",
	  .priority = 2,
	  .per_s = 2,
	  .width = 8,
	  .cpu_milli = 2000,
	  .mem_mb = 3000,
	  .work_ms = 2000,
	  .gang = false,
	  .max_attempts = 4,
	  .fail_share = 0.05,
	  .slo_ms = 3000,
	  .stretch = 4,
	  .advice_ms = 0,
	  .advice_minion_ms = 0,
	  .advice_good = 0 },
	{ .queue = "card",
	  .priority = 0,
	  .per_s = 12,
	  .width = 2,
	  .cpu_milli = 2800,
	  .mem_mb = 4000,
	  .work_ms = 640,
	  .gang = false,
	  .max_attempts = 3,
	  .fail_share = 0.01,
	  .slo_ms = 400,
	  .stretch = 1.5,
	  .advice_ms = 7,
	  .advice_minion_ms = 0.1,
	  .advice_good = 0.7 },
};

/* A crowded cell: most processors in use, and gangs of twenty in between. */
const struct cellsim_class crowd[] = {
	{ .queue = "film",
	  .priority = 1,
	  .per_s = 1.3,
	  .width = 20,
	  .cpu_milli = 9000,
	  .mem_mb = 16000,
	  .work_ms = 6000,
	  .gang = true,
	  .max_attempts = 3,
	  .fail_share = 0.005,
	  .slo_ms = 1200,
	  .stretch = 2.2,
	  .advice_ms = 650,
	  .advice_minion_ms = 9.2,
	  .advice_good = 0.25 },
	{ .queue = "timing",
	  .priority = 2,
	  .per_s = 4.5,
	  .width = 25,
	  .cpu_milli = 3500,
	  .mem_mb = 3000,
	  .work_ms = 2700,
	  .gang = false,
	  .max_attempts = 4,
	  .fail_share = 0.05,
	  .slo_ms = 3000,
	  .stretch = 4,
	  .advice_ms = 82,
	  .advice_minion_ms = 1.2,
	  .advice_good = 0.45 },
	{ .queue = "card",
	  .priority = 0,
	  .per_s = 40,
	  .width = 3,
	  .cpu_milli = 5000,
	  .mem_mb = 4000,
	  .work_ms = 640,
	  .gang = false,
	  .max_attempts = 3,
	  .fail_share = 0.01,
	  .slo_ms = 400,
	  .stretch = 1.5,
	  .advice_ms = 7,
	  .advice_minion_ms = 0.1,
	  .advice_good = 0.7 },
};

/* CELLSIM_TRACE prints what the scheduler does in each run. */
struct cellsim_settings calm(uint64_t seed)
{
	struct cellsim_settings s = {};

	s.trace = getenv("CELLSIM_TRACE") != nullptr;
	s.seed = seed;
	s.minions = 16;
	s.cpu_milli = 32000;
	s.mem_mb = 64000;
	s.lanes = 8;
	s.submit_ms = 20000;
	s.run_ms = 100000;
	s.class_count = 3;
	s.classes = classes;
	return s;
}

void expect_kept(const struct cellsim_result &r,
		 const struct cellsim_settings &s)
{
	RC_LOG() << "seed " << s.seed << ": " << r.first_fault << "\n";
	RC_ASSERT(r.over_capacity == 0U);
	RC_ASSERT(r.run_twice == 0U);
	RC_ASSERT(r.over_budget == 0U);
	RC_ASSERT(r.wrong_state == 0U);
	RC_ASSERT(r.unfinished == 0U);
}

} // namespace

/* Guards against gangs that never come together, and idle rooms, on calm days.
 */
TEST(Cellsim, ACalmDayIsServedInTime)
{
	struct cellsim_settings s = calm(3);
	struct cellsim_result r;

	cellsim_run(&s, &r);
	EXPECT_STREQ(r.first_fault, "");
	EXPECT_EQ(r.alone, 0U);
	EXPECT_GE(r.in_time[2], r.of_class[2] * 95 / 100);
	EXPECT_GE(r.in_time[0] + r.in_time[1],
		  (r.of_class[0] + r.of_class[1]) * 90 / 100);
}

/* Guards against every broken promise while holders take over in turn. */
RC_GTEST_PROP(Cellsim, KeptUnderTakeovers, ())
{
	struct cellsim_settings s = calm(*rc::gen::inRange(1, 1 << 30));
	struct cellsim_result r;

	s.takeover_every_ms = *rc::gen::inRange(400, 6000);
	cellsim_run(&s, &r);
	expect_kept(r, s);
}

/* Guards against the same while orders are lost or carried out late. */
RC_GTEST_PROP(Cellsim, KeptUnderLostOrders, ())
{
	struct cellsim_settings s = calm(*rc::gen::inRange(1, 1 << 30));
	struct cellsim_result r;

	s.lost_share = 0.05;
	cellsim_run(&s, &r);
	expect_kept(r, s);
}

/* Guards against the same while minions fall silent and come back. */
RC_GTEST_PROP(Cellsim, KeptUnderSilentMinions, ())
{
	struct cellsim_settings s = calm(*rc::gen::inRange(1, 1 << 30));
	struct cellsim_result r;

	s.dark_every_ms = *rc::gen::inRange(500, 5000);
	cellsim_run(&s, &r);
	expect_kept(r, s);
}

/* Guards against the same while all of it happens at once. */
RC_GTEST_PROP(Cellsim, KeptUnderAllFaults, ())
{
	struct cellsim_settings s = calm(*rc::gen::inRange(1, 1 << 30));
	struct cellsim_result r;

	s.takeover_every_ms = 4000;
	s.dark_every_ms = 3000;
	s.outage_every_ms = 9000;
	s.lost_share = 0.03;
	s.submit_ms = 15000;
	s.run_ms = 120000;
	cellsim_run(&s, &r);
	expect_kept(r, s);
}

/*
 * Guards against gangs that wait for room while smaller steps with time to
 * spare take it. The objectives of 95% of the jobs of each kind are the target.
 */
TEST(Cellsim, GangsAreServedInTimeInACrowdedCell)
{
	uint32_t in_time[3] = {};
	uint32_t jobs[3] = {};

	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct cellsim_settings s = calm(seed);
		struct cellsim_result r;

		s.minions = 120;
		s.mem_mb = 128000;
		s.lanes = 16;
		s.submit_ms = 30000;
		s.run_ms = 110000;
		s.classes = crowd;
		cellsim_run(&s, &r);
		EXPECT_STREQ(r.first_fault, "");
		for (int i = 0; i < 3; i++) {
			in_time[i] += r.in_time[i];
			jobs[i] += r.of_class[i];
		}
	}
	for (int i = 0; i < 3; i++)
		EXPECT_GE(in_time[i] * 100, jobs[i] * 95) << crowd[i].queue;
}
