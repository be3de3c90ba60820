#include <gtest/gtest.h>

#include <algorithm>

#include "cell_fixture.h"

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
