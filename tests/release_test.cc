#include <gtest/gtest.h>

#include <string>

#include "cell_fixture.h"

namespace
{

constexpr uint32_t STOP_TIMEOUT_MS = 400;
/* How late a start without a response may be carried out. */
constexpr uint64_t LATE_MS = 12500;

/* Two minions; a task was started on one of them. */
struct StartedTask : CellFixture {
	uint32_t minion = 0;
	std::string id;
	uint64_t run = 0;

	StartedTask() : CellFixture(5, STOP_TIMEOUT_MS)
	{
		queue("q", 0, 2);
		cell_replay_done(cell, now);
		minions(2, 8000);
		submit(job("j", "q", 1, 1000));
		tick();
		if (starts.empty())
			return;
		minion = starts[0].minion;
		id = starts[0].minion_id;
		run = starts[0].run;
	}

	void answer_start(enum cell_result result)
	{
		cell_on_start(cell, minion, "j.0.0.0", run, result, now);
	}

	/* Runs the cell while that minion does not respond. */
	void silence(uint64_t ms)
	{
		for (uint64_t end = now + ms; now < end && starts.size() < 2;) {
			tick(100);
			cell_on_poll_failed(cell, minion, id.c_str(),
					    CELL_NO_ANSWER, now, now);
			report(1 - minion, "m" + std::to_string(1 - minion), {},
			       {});
		}
	}

	/* Runs the cell until the task starts again; no report shows it. */
	void report_until_restart()
	{
		uint64_t end = now + LATE_MS + 5000;

		while (starts.size() < 2 && now < end) {
			tick(50);
			report(minion, id, {}, {}, 10);
			tick();
		}
		EXPECT_EQ(starts.size(), 2U);
	}

	/* Returns the latest event of that name, or one without a name. */
	Event event(const std::string &what) const
	{
		for (size_t i = events.size(); i > 0; i--) {
			if (events[i - 1].what == what)
				return events[i - 1];
		}
		return {};
	}
};

} // namespace

/* Guards against a log in which the evidence for a release is missing. */
TEST(Release, RunMissingFromAReportNamesTheReport)
{
	StartedTask f;

	f.answer_start(CELL_OK);
	f.tick(100);
	f.report(f.minion, f.id, {}, {}, 40);
	f.tick(STOP_TIMEOUT_MS);
	f.report(f.minion, f.id, {}, {}, 40);
	EXPECT_EQ(f.event("run-missing").run, f.run);
	EXPECT_EQ(f.event("run-missing").detail, "started");
	EXPECT_EQ(f.event("run-missing").evidence.sent_ago_ms, 40U);
	EXPECT_EQ(f.event("run-missing").evidence.born_unix_ms, 1U);
	EXPECT_EQ(f.event("run-missing").evidence.lease_over_ms, 0U);
	f.tick(10);
	ASSERT_EQ(f.starts.size(), 2U);
	EXPECT_EQ(f.event("run-start").input, f.run);
}

TEST(Release, RunOfAnEndedLeaseNamesTheLease)
{
	StartedTask f;

	f.answer_start(CELL_OK);
	f.silence(20000);
	ASSERT_EQ(f.starts.size(), 2U);
	EXPECT_EQ(f.event("run-lost").run, f.run);
	EXPECT_EQ(f.event("run-lost").evidence.sent_ago_ms, 0U);
	EXPECT_EQ(f.event("run-lost").evidence.born_unix_ms, 1U);
	EXPECT_LE(f.event("run-lost").evidence.lease_over_ms,
		  STOP_TIMEOUT_MS + 100U);
	EXPECT_EQ(f.event("run-start").input, f.run);
}

TEST(Release, RejectedStartNamesTheCall)
{
	StartedTask f;

	f.tick(70);
	f.answer_start(CELL_REJECTED_OTHER);
	EXPECT_EQ(f.event("start-unanswered").run, f.run);
	EXPECT_EQ(f.event("start-unanswered").evidence.sent_ago_ms, 70U);
	EXPECT_EQ(f.event("start-unanswered").evidence.born_unix_ms, 1U);
}

/* Guards against a task that runs twice, as the end of one run releases
 * another. */
TEST(Release, EndOfAnUnwantedRunDoesNotReleaseTheOtherOne)
{
	CellFixture f(5, STOP_TIMEOUT_MS);

	f.queue("q", 0, 9);
	f.submit(CellFixture::job("j", "q", 1, 1000), false);
	for (const char *id : { "m0", "m1", "m2" }) {
		struct cell_record record = enrolled_record(id);

		cell_replay(f.cell, &record);
	}
	cell_replay_done(f.cell, f.now);
	f.list(3, 8000);
	f.report(0, "m0", { { "j.0.0.0", 7, "" } }, {});
	f.report(1, "m1", { { "j.0.0.0", 8, "" } }, {});
	f.report(2, "m2", {}, {});
	f.durable();
	f.tick(100);
	f.report(1, "m1", {}, { { 1, "j.0.0.0", 8, CELL_END_STOPPED, "" } });
	for (int i = 0; i < 10; i++) {
		f.report(0, "m0", { { "j.0.0.0", 7, "" } }, {});
		f.report(2, "m2", {}, {});
		f.durable();
		f.tick(100);
	}
	EXPECT_TRUE(f.starts.empty());
}

/* The same, without a response to the start. */
TEST(Release, StoppedRunWithoutAResponseHasTimeToEnd)
{
	StartedTask f;
	uint64_t stopped_ms;
	uint64_t sent_ms = f.now;

	f.tick(600);
	f.answer_start(CELL_NO_ANSWER);
	cell_on_stop(f.cell, f.minion, "j.0.0.0", f.run, CELL_OK, f.now);
	stopped_ms = f.now;
	f.report_until_restart();
	EXPECT_GE(f.now, stopped_ms + STOP_TIMEOUT_MS);
	EXPECT_GT(f.now, sent_ms + LATE_MS);
}

/* The same, as a report overtakes the response to the stop. */
TEST(Release, RunWhoseStopIsNotAcknowledgedHasTimeToEnd)
{
	StartedTask f;
	uint64_t stopped_ms = f.now;

	f.answer_start(CELL_NO_ANSWER);
	f.report(f.minion, f.id, { { "j.0.0.0", f.run, "" } }, {});
	f.report_until_restart();
	EXPECT_GE(f.now, stopped_ms + STOP_TIMEOUT_MS);
}

/* The same, as the minion is back before it has ended the runs of its lease. */
TEST(Release, MinionThatIsBackAfterItsLeaseHasTimeToEndItsRuns)
{
	StartedTask f;
	uint64_t lease_end = f.now + 5500;

	f.answer_start(CELL_OK);
	f.silence(5500);
	ASSERT_EQ(f.starts.size(), 1U);
	f.report_until_restart();
	EXPECT_GE(f.now, lease_end + STOP_TIMEOUT_MS);
}

/* Guards against a task that is started beside a run of it that is stopped. */
TEST(Release, TaskWaitsForAFormerRunThatIsBeingStopped)
{
	StartedTask f;
	uint32_t other = 1 - f.minion;
	std::string other_id = "m" + std::to_string(other);

	f.answer_start(CELL_OK);
	f.silence(20000);
	ASSERT_EQ(f.starts.size(), 2U);
	f.report(f.minion, f.id, { { "j.0.0.0", f.run, "" } }, {});
	ASSERT_EQ(f.event("run-unwanted").run, f.run);
	cell_on_start(f.cell, other, "j.0.0.0", f.starts[1].run,
		      CELL_REJECTED_OTHER, f.now);
	for (int i = 0; i < 5; i++) {
		f.tick(20);
		f.report(f.minion, f.id, { { "j.0.0.0", f.run, "" } }, {});
		f.report(other, other_id, {}, {});
		f.durable();
		f.tick();
	}
	EXPECT_EQ(f.starts.size(), 2U);
	f.report(f.minion, f.id, {},
		 { { 1, "j.0.0.0", f.run, CELL_END_STOPPED, "" } });
	f.durable();
	f.tick();
	EXPECT_EQ(f.starts.size(), 3U);
}

/* Guards against a task that runs twice, as a stopped run has yet to end. */
TEST(Release, StoppedRunThatIsMissingHasTimeToEnd)
{
	StartedTask f;
	uint64_t stopped_ms;

	f.answer_start(CELL_NO_ANSWER);
	f.report(f.minion, f.id, { { "j.0.0.0", f.run, "" } }, {});
	cell_on_stop(f.cell, f.minion, "j.0.0.0", f.run, CELL_OK, f.now);
	stopped_ms = f.now;
	f.report_until_restart();
	EXPECT_GE(f.now, stopped_ms + STOP_TIMEOUT_MS);
}

/* Guards against a task that runs twice, as a lease ends before its runs do. */
TEST(Release, SilentMinionHasTimeToEndItsRunsAfterTheLease)
{
	StartedTask f;
	uint64_t lease_end = f.now + 5500;

	f.answer_start(CELL_OK);
	f.silence(20000);
	ASSERT_EQ(f.starts.size(), 2U);
	EXPECT_GE(f.now, lease_end + STOP_TIMEOUT_MS);
}

/* The same, after a takeover. */
TEST(Release, MinionOfAnEarlierTermHasTimeToEndItsRunsAfterTheLease)
{
	CellFixture f(5, STOP_TIMEOUT_MS);
	struct cell_record m0 = enrolled_record("m0");
	uint64_t lease_end = f.now + 7300;

	f.queue("q", 0, 2);
	f.submit(CellFixture::job("j", "q", 1, 1000), false);
	cell_replay(f.cell, &m0);
	cell_replay_done(f.cell, f.now);
	f.list(2, 8000);
	f.report(1, "m1", {}, {});
	while (f.starts.empty() && f.now < lease_end + 5000) {
		cell_on_poll_failed(f.cell, 0, "m0", CELL_NO_ANSWER, f.now,
				    f.now);
		f.durable();
		f.tick(100);
	}
	ASSERT_EQ(f.starts.size(), 1U);
	EXPECT_GE(f.now, lease_end + STOP_TIMEOUT_MS);
}

/* A run that a report has listed is in the life that is known. */
TEST(Release, LeaseOfAListedRunEndsByTheClockOfItsLife)
{
	StartedTask f;
	uint64_t lease_end = f.now + 5500 * 100 / 98;

	f.answer_start(CELL_OK);
	f.report(f.minion, f.id, { { "j.0.0.0", f.run, "" } }, {});
	f.silence(20000);
	ASSERT_EQ(f.starts.size(), 2U);
	EXPECT_LE(f.now, lease_end + STOP_TIMEOUT_MS + 200);
}

/* Guards against a lease that a life which is not known yet holds for longer.
 */
TEST(Release, LeaseOfAnUnknownLifeLastsAsLongAsMinionsAllow)
{
	StartedTask f;
	uint64_t sent_ms = f.now;

	f.answer_start(CELL_OK);
	f.silence(6000 * 100 / 98 + STOP_TIMEOUT_MS - 100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.silence(1000);
	EXPECT_EQ(f.starts.size(), 2U);
	EXPECT_GE(f.now, sent_ms + 6000 * 100 / 98 + STOP_TIMEOUT_MS);
}
