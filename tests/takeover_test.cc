#include <gtest/gtest.h>

#include "cell_fixture.h"

namespace
{

/* Time after a claim until all leases of earlier terms have ended. */
constexpr uint64_t PREDECESSOR_LEASE_MS = 7300;

/*
 * A new holder with minions m0 and m1, of which m0 may have runs of an earlier
 * term.
 */
struct Takeover : CellFixture {
	Takeover()
	{
		struct cell_record m0 = enrolled_record("m0");

		queue("q", 0, 2);
		submit(job("j", "q", 1, 1000), false);
		cell_replay(cell, &m0);
		cell_replay_done(cell, now);
	}

	/* Fails each poll for @ms. */
	void silence(uint32_t minion, const char *id, uint64_t ms)
	{
		for (uint64_t end = now + ms; now < end;) {
			cell_on_poll_failed(cell, minion, id, CELL_NO_ANSWER,
					    now, now);
			durable();
			tick(100);
		}
	}
};

} // namespace

TEST(Takeover, UnlistedMinionIsNotSettledWhileALeaseMayLast)
{
	Takeover f;
	struct cell_minion_info m1 = CellFixture::minion("m1", 8000);

	cell_set_minions(f.cell, &m1, 1, f.now);
	f.report(1, "m1", {}, {});
	f.durable();
	f.silence(0, "m0", PREDECESSOR_LEASE_MS - 100);
	EXPECT_EQ(f.starts.size(), 0U);
	f.silence(0, "m0", 200);
	EXPECT_EQ(f.starts.size(), 1U);
}

TEST(Takeover, MinionThatFailsBeforeItsFirstRenewalIsNotSettled)
{
	Takeover f;
	struct cell_poll poll;

	f.list(2, 8000);
	f.report(1, "m1", {}, {});
	f.durable();
	cell_set_term_valid(f.cell, false, 0);
	f.report(0, "m0", { { "j.0.0.0", 11, "" } }, {});
	f.tick(10);
	ASSERT_TRUE(cell_poll_request(f.cell, 0, &poll, f.now));
	EXPECT_EQ(poll.deadline_ms, 0U);
	cell_set_term_valid(f.cell, true, UINT64_MAX);
	f.silence(0, "m0", PREDECESSOR_LEASE_MS - 200);
	EXPECT_EQ(f.starts.size(), 0U);
	f.silence(0, "m0", 300);
	EXPECT_EQ(f.starts.size(), 1U);
}

TEST(Takeover, FormerHolderDoesNotStartAJobStoredAfterTheClaim)
{
	CellFixture f;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	cell_set_term_valid(f.cell, true, f.now);
	f.submit(CellFixture::job("j", "q", 1, 1000), false);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 0U);
	cell_set_term_valid(f.cell, true, f.now);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
}

TEST(Takeover, DrainedMinionIsNotLeftToTheSuccessor)
{
	CellFixture f;
	struct cell_minion_info m0 = CellFixture::minion("m0", 8000);

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	f.submit(CellFixture::job("j", "q", 1, 1000));
	f.tick();
	ASSERT_EQ(f.starts.size(), 1U);
	m0.draining = true;
	m0.remaining_ms = 4000;
	cell_set_minions(f.cell, &m0, 1, f.now);
	f.tick(10);
	EXPECT_TRUE(f.settled.empty());
	f.report(0, "m0", {},
		 { { 1, "j.0.0.0", f.starts[0].run, CELL_END_DONE, "" } });
	f.tick(10);
	/* Its end is not durable. */
	EXPECT_TRUE(f.settled.empty());
	f.durable();
	f.tick(10);
	EXPECT_EQ(f.settled, std::vector<std::string>{ "m0" });
	f.report(0, "m0", {}, {});
	f.durable();
	f.tick(10);
	EXPECT_EQ(f.settled.size(), 1U);
}

TEST(Takeover, MinionThatNoLongerDrainsGetsWork)
{
	CellFixture f;
	struct cell_minion_info m0 = CellFixture::minion("m0", 8000);

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	m0.draining = true;
	cell_set_minions(f.cell, &m0, 1, f.now);
	f.tick(10);
	f.report(0, "m0", {}, {});
	f.durable();
	f.tick(10);
	f.submit(CellFixture::job("j", "q", 1, 1000));
	f.tick(10);
	EXPECT_EQ(f.starts.size(), 0U);
	f.list(1, 8000);
	f.tick(10);
	f.durable();
	f.tick(10);
	EXPECT_EQ(f.starts.size(), 1U);
}

TEST(Takeover, EndOfAnUnknownJobIsKeptUntilTheJobsHaveBeenRead)
{
	CellFixture f;
	std::vector<End> ends = { { 1, "j.0.0.0", 11, CELL_END_DONE, "" },
				  { 2, "k.0.0.0", 12, CELL_END_DONE, "" } };
	struct cell_poll poll;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	for (int i = 0; i < 60; i++) {
		f.report(0, "m0", {}, ends);
		f.tick(100);
	}
	f.submit(CellFixture::job("j", "q", 1, 1000), false);
	f.report(0, "m0", {}, ends);
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 0U);
	cell_on_jobs_read(f.cell, 1, f.now);
	for (int i = 0; i < 60; i++) {
		f.report(0, "m0", {}, ends);
		f.durable();
		f.tick(100);
	}
	ASSERT_TRUE(cell_poll_request(f.cell, 0, &poll, f.now));
	EXPECT_EQ(poll.observed, 2U);
}

TEST(Takeover, RunOfAJobThatBecomesKnownIsNotStartedBeside)
{
	CellFixture f;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(2, 8000);
	f.report(0, "m0", { { "j.0.0.0", 11, "" } }, {});
	f.tick(100);
	f.submit(CellFixture::job("j", "q", 2, 1000), false);
	f.tick(100);
	ASSERT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(f.starts[0].task, "j.0.0.1");
}

TEST(Takeover, DrainingMinionOfAnEarlierTermIsNotSettledUnheard)
{
	Takeover f;
	struct cell_minion_info m0 = CellFixture::minion("m0", 8000);

	m0.draining = true;
	cell_set_minions(f.cell, &m0, 1, f.now);
	f.silence(0, "m0", PREDECESSOR_LEASE_MS - 200);
	EXPECT_TRUE(f.settled.empty());
}

TEST(Takeover, MinionThatLeavesWhileItEnrollsIsNotLeftToTheSuccessor)
{
	CellFixture f;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.list(1, 8000);
	f.report(0, "m0", {}, {});
	cell_set_minions(f.cell, nullptr, 0, f.now);
	f.tick(4000);
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.settled, std::vector<std::string>{ "m0" });
}

TEST(Takeover, FormerHolderDoesNotRestartATaskWhoseLeaseItSeesEnd)
{
	CellFixture f;
	uint64_t confirmed;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(2, 8000);
	f.submit(CellFixture::job("j", "q", 1, 1000));
	f.tick();
	ASSERT_EQ(f.starts.size(), 1U);
	cell_on_start(f.cell, f.starts[0].minion, "j.0.0.0", f.starts[0].run,
		      CELL_OK, f.now);
	cell_on_poll_failed(f.cell, f.starts[0].minion,
			    f.starts[0].minion_id.c_str(), CELL_NO_ANSWER,
			    f.now, f.now);
	confirmed = f.now + 5000;
	cell_set_term_valid(f.cell, true, confirmed);
	for (int i = 0; i < 70; i++) {
		f.tick(100);
		f.durable();
	}
	EXPECT_EQ(f.starts.size(), 1U);
	cell_set_term_valid(f.cell, true, f.now);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
}

TEST(Takeover, HolderThatWasPausedInATickRenewsNoLeaseFromLater)
{
	CellFixture f;
	struct cell_poll poll;
	uint64_t deadline;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	ASSERT_TRUE(cell_poll_request(f.cell, 0, &poll, f.now));
	deadline = poll.deadline_ms;
	ASSERT_GT(deadline, 0U);
	ASSERT_TRUE(cell_poll_request(f.cell, 0, &poll, f.now + 10000));
	EXPECT_EQ(poll.deadline_ms, deadline);
}
