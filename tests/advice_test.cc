#include <gtest/gtest.h>

#include <algorithm>

#include "cell_fixture.h"

extern "C" {
#include "../fakes/cellsim.h"
}

namespace
{

const uint64_t LATE_MS = 3000;

struct cell_queue_spec *advised_queue(CellFixture &f)
{
	struct cell_queue_spec *q = f.queue("q", 0, 2);

	q->advice.needed = true;
	q->advice.decide_ms = 400;
	q->advice.valid_ms = 1500;
	return q;
}

/* Answers all requests so far; each takes @ms longer than those before it. */
void answer_all(CellFixture &f, uint64_t ms)
{
	struct cell_ticket good = { "m0", "ticket" };
	std::vector<AdviceRequest> requests;

	requests.swap(f.advice_requests);
	for (const AdviceRequest &r : requests) {
		f.now += ms;
		cell_on_advice(f.cell, r.handle, true, &good, 1, f.now);
	}
}

/* Makes every response of all lanes late until no lane takes requests. */
void make_lanes_late(CellFixture &f)
{
	for (int i = 0; i < 30; i++) {
		f.submit(CellFixture::job("late" + std::to_string(i), "q", 1,
					  10));
		f.tick(1);
		answer_all(f, LATE_MS);
	}
}

/* Classes of seedpress, of which the requests take two lanes. */
const struct cellsim_class lane_classes[] = {
	{ .queue = "recipe",
	  .priority = 1,
	  .per_s = 1.7,
	  .width = 4,
	  .cpu_milli = 9000,
	  .mem_mb = 8000,
	  .work_ms = 2500,
	  .gang = false,
	  .max_attempts = 3,
	  .fail_share = 0,
	  .slo_ms = 1200,
	  .stretch = 2.2,
	  .advice_ms = 450,
	  .advice_minion_ms = 6.4,
	  .advice_eligible_share = 0.25 },
	{ .queue = "layout",
	  .priority = 2,
	  .per_s = 6.5,
	  .width = 4,
	  .cpu_milli = 2000,
	  .mem_mb = 2000,
	  .work_ms = 2000,
	  .gang = false,
	  .max_attempts = 4,
	  .fail_share = 0,
	  .slo_ms = 3000,
	  .stretch = 4,
	  .advice_ms = 72,
	  .advice_minion_ms = 1,
	  .advice_eligible_share = 0.45 },
	{ .queue = "stock",
	  .priority = 0,
	  .per_s = 48,
	  .width = 2,
	  .cpu_milli = 2000,
	  .mem_mb = 2000,
	  .work_ms = 640,
	  .gang = false,
	  .max_attempts = 3,
	  .fail_share = 0,
	  .slo_ms = 400,
	  .stretch = 1.5,
	  .advice_ms = 6.5,
	  .advice_minion_ms = 0.093,
	  .advice_eligible_share = 0.7 },
};

struct cellsim_result play_lanes(uint32_t lanes, uint64_t seed)
{
	struct cellsim_settings s = {};
	struct cellsim_result r;

	s.seed = seed;
	s.minions = 48;
	s.cpu_milli = 64000;
	s.mem_mb = 262144;
	s.lanes = lanes;
	s.submit_ms = 40000;
	/* 14 s until all have started, and the longest of them twice over. */
	s.run_ms = s.submit_ms + 14000 + 8000;
	s.class_count = 3;
	s.classes = lane_classes;
	cellsim_run(&s, &r);
	return r;
}

} // namespace

/*
 * Guards against jobs that never start: the responses of the last lane were
 * late, and it was never asked again.
 */
TEST(Advice, LastLaneIsUsedAgainAfterLateResponses)
{
	CellFixture f;
	uint32_t requests = 0;

	advised_queue(f);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 64000);
	make_lanes_late(f);
	f.submit(CellFixture::job("last", "q", 1, 10));
	for (int i = 0; i < 100; i++) {
		f.tick(20);
		requests += (uint32_t)f.advice_requests.size();
		answer_all(f, 400);
	}
	EXPECT_GE(requests, 1U);
	EXPECT_EQ(f.starts.back().task, "last.0.0.0");
}

/* Guards against a lane that is lost for good after late responses. */
TEST(Advice, LateLaneIsTriedAgainBesideOthers)
{
	CellFixture f;
	bool used = false;

	advised_queue(f);
	cell_lane_up(f.cell, 1);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 64000);
	make_lanes_late(f);
	for (int i = 0; i < 30; i++) {
		f.submit(CellFixture::job("j" + std::to_string(i), "q", 1, 10));
		f.tick(20);
	}
	for (int i = 0; i < 500; i++) {
		std::vector<AdviceRequest> &all = f.advice_requests;

		/* Lane 0 is as late as ever. */
		auto other = std::find_if(
			all.begin(), all.end(),
			[](const AdviceRequest &r) { return r.lane == 1; });
		if (other != all.end()) {
			used = true;
			cell_on_advice(f.cell, other->handle, true, nullptr, 0,
				       f.now);
			all.erase(other);
		}
		f.tick(20);
	}
	EXPECT_TRUE(used);
}

/*
 * Guards against accepted jobs that do not start: one lane cannot fetch the
 * advice that all jobs need, so some are refused, and the others end.
 */
TEST(Advice, AcceptedJobsEndWhenOneLaneIsLeft)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		struct cellsim_result r = play_lanes(1, seed);

		SCOPED_TRACE(seed);
		EXPECT_EQ(r.unfinished, 0U);
		EXPECT_GE(r.refused[0] + r.refused[1], 1U);
		/* Cheap and urgent requests are not the cause. */
		EXPECT_EQ(r.refused[2], 0U);
	}
}

/*
 * Guards against jobs that are refused after each takeover: a new holder asks
 * for all steps again, most of which wait for room and not for a lane.
 */
TEST(Advice, SuccessorDoesNotRefuseJobsAtOnce)
{
	CellFixture f;
	int overloaded = 0;

	advised_queue(f);
	for (int i = 0; i < 50; i++)
		f.submit(CellFixture::job("j" + std::to_string(i), "q", 1, 10),
			 false);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 64000);
	for (int i = 0; i < 100; i++)
		f.tick(20);
	cell_each_overload(
		f.cell,
		[](void *ctx, const char *, uint32_t) {
			++*static_cast<int *>(ctx);
		},
		&overloaded, f.now);
	EXPECT_EQ(overloaded, 0);
}

/* Guards against jobs that are refused although the lanes suffice. */
TEST(Advice, NoJobIsRefusedWhileTheLanesSuffice)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		struct cellsim_result r = play_lanes(7, seed);

		SCOPED_TRACE(seed);
		EXPECT_EQ(r.unfinished, 0U);
		EXPECT_EQ(r.refused[0] + r.refused[1] + r.refused[2], 0U);
	}
}
