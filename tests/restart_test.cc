#include <gtest/gtest.h>

#include <algorithm>

#include "cell_fixture.h"

namespace
{

/* How late a start without a response may be carried out, in ms. */
constexpr uint64_t LATE_MS = 12500;

/* Two minions; a task was started on one of them. */
struct StartedTask : CellFixture {
	uint32_t minion = 0;
	std::string id;

	StartedTask()
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
	}

	/* Answers the latest stop. */
	void stopped(enum cell_result result)
	{
		ASSERT_FALSE(stops.empty());
		cell_on_stop(cell, stops.back().minion,
			     stops.back().task.c_str(), stops.back().run,
			     result, now);
	}

	/* Both minions are listed at other addresses. */
	void move()
	{
		struct cell_minion_info infos[2];

		for (int i = 0; i < 2; i++) {
			infos[i] = CellFixture::minion("m" + std::to_string(i),
						       8000);
			snprintf(infos[i].addr, sizeof(infos[i].addr),
				 "10.0.0.2:%d", 80 + i);
		}
		cell_set_minions(cell, infos, 2, now);
	}

	/* The minion of the task does not respond, the other one does. */
	void silent_ms(int ms)
	{
		for (int i = 0; i < ms; i += 100) {
			tick(100);
			cell_on_poll_failed(cell, minion, id.c_str(),
					    CELL_NO_ANSWER, now, now);
			report(1 - minion, "m" + std::to_string(1 - minion), {},
			       {});
		}
	}
};

struct cell_minion_info listed(const char *id, bool draining)
{
	struct cell_minion_info info = CellFixture::minion(id, 8000);

	info.draining = draining;
	return info;
}

void silent(CellFixture &f, uint32_t handle, const char *id, int ms)
{
	for (int i = 0; i < ms; i += 100) {
		f.tick(100);
		cell_on_poll_failed(f.cell, handle, id, CELL_NO_ANSWER, f.now,
				    f.now);
	}
}

} // namespace

TEST(Restart, StartInFlightMayTakeEffectInTheNextLifeOfItsMinion)
{
	StartedTask f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.born_unix_ms = 2;
	f.report(f.minion, f.id, {}, {});
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(f.stops.size(), 1U);
}

TEST(Restart, HeldTaskStartsOnceTheNextLifeHasStoppedItsRun)
{
	StartedTask f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.born_unix_ms = 2;
	f.report(f.minion, f.id, {}, {});
	f.tick(100);
	f.report(f.minion, f.id, {}, {});
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.stopped(CELL_OK);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.report(f.minion, f.id, {}, {}, 200);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.report(f.minion, f.id, {}, {});
	f.durable();
	f.tick(LATE_MS);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.report(f.minion, f.id, {}, {});
	f.durable();
	f.tick(100);
	f.tick();
	EXPECT_EQ(f.starts.size(), 2U);
}

TEST(Restart, StopAcknowledgedByTheFormerLifeDoesNotReleaseRuns)
{
	StartedTask f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.tick(600);
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run,
		      CELL_NO_ANSWER, f.now);
	f.tick(100);
	ASSERT_EQ(f.stops.size(), 1U);
	f.stopped(CELL_OK);
	f.tick(100);
	f.born_unix_ms = 2;
	f.report(f.minion, f.id, {}, {});
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(f.stops.size(), 2U);
}

TEST(Restart, LateResponseToAStopOfTheFormerLifeDoesNotReleaseRuns)
{
	StartedTask f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.tick(600);
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run,
		      CELL_NO_ANSWER, f.now);
	f.tick(100);
	ASSERT_EQ(f.stops.size(), 1U);
	f.born_unix_ms = 2;
	f.report(f.minion, f.id, {}, {});
	f.tick(100);
	f.stopped(CELL_OK);
	f.tick(100);
	f.report(f.minion, f.id, {}, {});
	f.durable();
	f.tick(400);
	EXPECT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(f.stops.size(), 2U);
}

TEST(Restart, RunAcknowledgedByTheNextLifeIsNotStartedAgain)
{
	StartedTask f;
	Row row = { "j.0.0.0", 0, "" };

	ASSERT_EQ(f.starts.size(), 1U);
	row.run = f.starts[0].run;
	f.tick(100);
	cell_on_start(f.cell, f.minion, "j.0.0.0", row.run, CELL_OK, f.now);
	f.tick(100);
	f.born_unix_ms = 2;
	f.report(f.minion, f.id, {}, {}, 150);
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.report(f.minion, f.id, { row }, {});
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(f.stops.size(), 0U);
}

TEST(Restart, RunAcknowledgedByTheFormerLifeStartsAgain)
{
	StartedTask f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.tick(100);
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run, CELL_OK,
		      f.now);
	f.tick(100);
	f.born_unix_ms = 2;
	f.report(f.minion, f.id, {}, {});
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
}

TEST(Restart, ReportOfTheFormerLifeThatWasRequestedLaterIsIgnored)
{
	StartedTask f;
	std::vector<Row> rows;

	ASSERT_EQ(f.starts.size(), 1U);
	rows.push_back({ "j.0.0.0", f.starts[0].run, "" });
	f.tick(100);
	f.born_unix_ms = 2;
	f.report(f.minion, f.id, rows, {}, 100);
	f.durable();
	f.tick(100);
	f.born_unix_ms = 1;
	f.report(f.minion, f.id, {}, {}, 150);
	f.durable();
	f.tick(100);
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
}

TEST(Restart, StartIsStoppedWhenAMinionComesBackAfterItsLease)
{
	StartedTask f;

	ASSERT_EQ(f.starts.size(), 1U);
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run,
		      CELL_NO_ANSWER, f.now);
	f.tick();
	f.stopped(CELL_NO_ANSWER);
	f.silent_ms(7000);
	EXPECT_EQ(f.settled, std::vector<std::string>{ f.id });
	f.durable();
	ASSERT_EQ(f.starts.size(), 1U);
	f.stops.clear();
	f.born_unix_ms = 2;
	f.report(f.minion, f.id, {}, {});
	f.tick(100);
	ASSERT_EQ(f.stops.size(), 1U);
	EXPECT_EQ(f.stops[0].run, f.starts[0].run);
	EXPECT_EQ(f.stops[0].minion, f.minion);
}

TEST(Restart, StartIsStoppedWhenAReplacedMinionComesBack)
{
	StartedTask f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.tick(100);
	cell_on_poll_failed(f.cell, f.minion, f.id.c_str(),
			    CELL_OTHER_INCARNATION, f.now, f.now);
	f.tick(1100);
	f.durable();
	f.born_unix_ms = 2;
	f.report(f.minion, f.id, {}, {});
	f.tick(100);
	ASSERT_EQ(f.stops.size(), 1U);
	EXPECT_EQ(f.stops[0].run, f.starts[0].run);
}

TEST(Restart, StartThatNeverBeganIsStoppedInTheNextLifeToo)
{
	StartedTask f;

	ASSERT_EQ(f.starts.size(), 1U);
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run,
		      CELL_NO_ANSWER, f.now);
	f.tick();
	f.stopped(CELL_OK);
	f.tick(100);
	f.report(f.minion, f.id, {}, {});
	f.tick(100);
	ASSERT_EQ(f.starts.size(), 1U);
	f.tick(2000);
	f.born_unix_ms = 2;
	f.report(f.minion, f.id, {}, {});
	f.tick(100);
	ASSERT_FALSE(f.stops.empty());
	EXPECT_EQ(f.stops.back().run, f.starts[0].run);
	EXPECT_EQ(f.stops.size(), 2U);
}

TEST(Restart, GangDoesNotStartBesideAStartOfAFormerLife)
{
	CellFixture f;
	struct cell_job_spec spec = CellFixture::job("g", "q", 2, 6000);

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(3, 8000);
	spec.steps[0].gang = true;
	f.submit(spec);
	f.tick();
	ASSERT_EQ(f.starts.size(), 2U);
	f.tick(100);
	f.born_unix_ms = 2;
	f.report(f.starts[0].minion, f.starts[0].minion_id, {}, {});
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.stops.size(), 2U);
	f.born_unix_ms = 1;
	cell_on_start(f.cell, f.starts[1].minion, f.starts[1].task.c_str(),
		      f.starts[1].run, CELL_REJECTED_OLD, f.now);
	f.durable();
	f.tick(100);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
}

TEST(Restart, LateAnswerFromAFormerAddressDoesNotReleaseRuns)
{
	StartedTask f;
	uint64_t sent_ms = f.now;

	ASSERT_EQ(f.starts.size(), 1U);
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run, CELL_OK,
		      f.now);
	f.tick(100);
	f.move();
	f.tick(100);
	f.report(f.minion, f.id, { { "j.0.0.0", f.starts[0].run, "" } }, {});
	cell_on_poll_failed(f.cell, f.minion, f.id.c_str(),
			    CELL_OTHER_INCARNATION, sent_ms, f.now);
	f.durable();
	f.tick(100);
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
}

TEST(Restart, AnswerFromAFormerAddressBeforeThatFromTheNextDoesNotReleaseRuns)
{
	StartedTask f;
	uint64_t sent_ms = f.now;

	ASSERT_EQ(f.starts.size(), 1U);
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run, CELL_OK,
		      f.now);
	f.tick(100);
	f.polls.clear();
	f.move();
	f.tick(100);
	EXPECT_EQ(std::count(f.polls.begin(), f.polls.end(), f.minion), 1);
	cell_on_poll_failed(f.cell, f.minion, f.id.c_str(),
			    CELL_OTHER_INCARNATION, sent_ms, f.now);
	f.report(f.minion, f.id, { { "j.0.0.0", f.starts[0].run, "" } }, {});
	f.durable();
	f.tick(100);
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
}

TEST(Restart, StartRejectedAtAFormerAddressDoesNotMakeAMinionFail)
{
	StartedTask f;
	struct cell_stats stats;

	ASSERT_EQ(f.starts.size(), 1U);
	f.tick(100);
	f.move();
	f.tick(100);
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run,
		      CELL_OTHER_INCARNATION, f.now);
	cell_get_stats(f.cell, &stats);
	EXPECT_EQ(stats.failing, 0U);
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
}

TEST(Restart, AcknowledgementOfEndsIsNotRepeatedForAnotherLife)
{
	StartedTask f;
	std::vector<End> ends;
	struct cell_poll poll;

	ASSERT_EQ(f.starts.size(), 1U);
	ends.push_back({ 1, "j.0.0.0", f.starts[0].run, CELL_END_FAILED, "" });
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run, CELL_OK,
		      f.now);
	f.tick(100);
	f.report(f.minion, f.id, {}, ends);
	f.durable();
	ASSERT_TRUE(cell_poll_request(f.cell, f.minion, &poll, f.now));
	EXPECT_EQ(poll.observed, 1U);
	f.tick(100);
	ASSERT_TRUE(cell_poll_request(f.cell, f.minion, &poll, f.now));
	EXPECT_EQ(poll.observed, 0U);
	f.report(f.minion, f.id, {}, ends, 50);
	ASSERT_TRUE(cell_poll_request(f.cell, f.minion, &poll, f.now));
	EXPECT_EQ(poll.observed, 1U);
	f.report(f.minion, f.id, {}, {});
	ASSERT_TRUE(cell_poll_request(f.cell, f.minion, &poll, f.now));
	EXPECT_EQ(poll.observed, 0U);
}

/* Guards against a successor that takes another minion for one that moved. */
TEST(Restart, AddressOfAMinionThatMovedIsJournalledBeforeItIsUsed)
{
	StartedTask f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.enrolled.clear();
	f.move();
	f.tick(100);
	EXPECT_EQ(f.enrolled,
		  (std::vector<std::string>{ "10.0.0.2:80", "10.0.0.2:81" }));
	f.submit(CellFixture::job("k", "q", 1, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
}

/* Guards against a successor that polls the first address of the journal. */
TEST(Restart, SuccessorPollsTheLatestAddressOfTheJournal)
{
	CellFixture f;
	struct cell_record record = enrolled_record("m0");
	struct cell_poll poll;

	cell_replay(f.cell, &record);
	record.addr = "10.0.0.2:80";
	cell_replay(f.cell, &record);
	cell_replay_done(f.cell, f.now);
	f.tick();
	ASSERT_TRUE(cell_poll_request(f.cell, 0, &poll, f.now));
	EXPECT_STREQ(poll.addr, "10.0.0.2:80");
}

TEST(Restart, EndsAreNotAcknowledgedWhileAnotherResponseIsAwaited)
{
	StartedTask f;
	std::vector<End> ends;
	struct cell_poll first;
	struct cell_poll second;

	ASSERT_EQ(f.starts.size(), 1U);
	ends.push_back({ 1, "j.0.0.0", f.starts[0].run, CELL_END_FAILED, "" });
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run, CELL_OK,
		      f.now);
	f.tick(100);
	f.report(f.minion, f.id, {}, ends);
	f.tick(300);
	ASSERT_TRUE(cell_poll_request(f.cell, f.minion, &first, f.now));
	EXPECT_EQ(first.observed, 0U);
	f.durable();
	f.submit(CellFixture::job("k", "q", 14, 1000));
	f.tick();
	for (const Order &start : f.starts) {
		if (start.task[0] == 'k' && start.minion == f.minion)
			cell_on_start(f.cell, start.minion, start.task.c_str(),
				      start.run, CELL_NO_ANSWER, f.now);
	}
	f.stopped(CELL_OK);
	f.polls.clear();
	f.tick(100);
	ASSERT_EQ(std::count(f.polls.begin(), f.polls.end(), f.minion), 1);
	ASSERT_TRUE(cell_poll_request(f.cell, f.minion, &second, f.now));
	EXPECT_EQ(second.observed, 0U);
	EXPECT_EQ(second.wait_ms, 0U);
	f.report(f.minion, f.id, {}, ends, f.now - first.sent_ms);
	f.report(f.minion, f.id, {}, ends, f.now - second.sent_ms);
	f.tick(100);
	ASSERT_TRUE(cell_poll_request(f.cell, f.minion, &second, f.now));
	EXPECT_EQ(second.observed, 1U);
}

TEST(Restart, LateDeadlineOfAFormerLifeMayExtendTheLeaseOfTheNext)
{
	CellFixture f;
	uint64_t sent_ms;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	f.submit(CellFixture::job("j", "q", 1, 1000));
	f.tick();
	ASSERT_EQ(f.starts.size(), 1U);
	sent_ms = f.now;
	f.tick(100);
	cell_on_start(f.cell, 0, "j.0.0.0", f.starts[0].run, CELL_OK, f.now);
	f.tick(100);
	f.born_unix_ms = 2;
	f.report(0, "m0", {}, {});
	f.durable();
	f.tick(100);
	ASSERT_EQ(f.starts.size(), 2U);
	cell_on_start(f.cell, 0, "j.0.0.0", f.starts[1].run, CELL_OK, f.now);
	f.settled.clear();
	while (f.now < sent_ms + LATE_MS + 6000) {
		f.tick(100);
		cell_on_poll_failed(f.cell, 0, "m0", CELL_NO_ANSWER, f.now,
				    f.now);
	}
	EXPECT_TRUE(f.settled.empty());
	f.tick(1000);
	EXPECT_EQ(f.settled.size(), 1U);
}

TEST(Restart, FencedTermStartsNothingBeforeItIsConfirmed)
{
	StartedTask f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.tick(100);
	cell_set_term_valid(f.cell, true, f.now - 10);
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run,
		      CELL_REJECTED_FENCE, f.now);
	f.submit(CellFixture::job("k", "q", 1, 1000));
	f.tick(100);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	cell_set_term_valid(f.cell, true, f.now);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 3U);
}

TEST(Restart, TermThatAPollFindsFencedStartsNothingBeforeItIsConfirmed)
{
	StartedTask f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.tick(100);
	cell_set_term_valid(f.cell, true, f.now - 10);
	cell_on_poll_failed(f.cell, f.minion, f.id.c_str(), CELL_REJECTED_FENCE,
			    f.now, f.now);
	f.submit(CellFixture::job("k", "q", 1, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	cell_set_term_valid(f.cell, true, f.now);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
}

TEST(Restart, TaskHeldByADrainingNextLifeIsReleasedWhenThatIsGone)
{
	CellFixture f;
	struct cell_minion_info info;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	f.submit(CellFixture::job("j", "q", 1, 1000));
	f.tick();
	ASSERT_EQ(f.starts.size(), 1U);
	cell_on_start(f.cell, 0, f.starts[0].task.c_str(), f.starts[0].run,
		      CELL_NO_ANSWER, f.now);
	cell_on_stop(f.cell, 0, f.starts[0].task.c_str(), f.starts[0].run,
		     CELL_NO_ANSWER, f.now);
	silent(f, 0, "m0", 7000);
	f.durable();
	ASSERT_EQ(f.settled.size(), 1U);
	info = listed("m0", true);
	cell_set_minions(f.cell, &info, 1, f.now);
	f.born_unix_ms = 2;
	f.report(0, "m0", {}, {});
	f.durable();
	f.tick(100);
	cell_on_stop(f.cell, 0, f.starts[0].task.c_str(), f.starts[0].run,
		     CELL_NO_ANSWER, f.now);
	/* It leaves; another minion has room. */
	info = listed("m1", false);
	cell_set_minions(f.cell, &info, 1, f.now);
	f.report(1, "m1", {}, {});
	f.durable();
	for (int i = 0; i < 600; i++) {
		f.tick(100);
		cell_on_poll_failed(f.cell, 0, "m0", CELL_NO_ANSWER, f.now,
				    f.now);
		f.report(1, "m1", {}, {});
		f.durable();
	}
	EXPECT_EQ(f.starts.size(), 2U);
}

TEST(Restart, TaskHeldByANextLifeIsReleasedWhenThatIsGone)
{
	CellFixture f;
	struct cell_minion_info info;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	f.submit(CellFixture::job("j", "q", 1, 1000));
	f.tick();
	ASSERT_EQ(f.starts.size(), 1U);
	cell_on_start(f.cell, 0, f.starts[0].task.c_str(), f.starts[0].run,
		      CELL_NO_ANSWER, f.now);
	cell_on_stop(f.cell, 0, f.starts[0].task.c_str(), f.starts[0].run,
		     CELL_NO_ANSWER, f.now);
	silent(f, 0, "m0", 6500);
	f.durable();
	info = listed("m0", false);
	cell_set_minions(f.cell, &info, 1, f.now);
	f.born_unix_ms = 2;
	f.report(0, "m0", {}, {});
	f.durable();
	f.tick(100);
	cell_on_stop(f.cell, 0, f.starts[0].task.c_str(), f.starts[0].run,
		     CELL_NO_ANSWER, f.now);
	info = listed("m1", false);
	cell_set_minions(f.cell, &info, 1, f.now);
	f.report(1, "m1", {}, {});
	f.durable();
	for (int i = 0; i < 600; i++) {
		f.tick(100);
		cell_on_poll_failed(f.cell, 0, "m0", CELL_NO_ANSWER, f.now,
				    f.now);
		f.report(1, "m1", {}, {});
		f.durable();
	}
	EXPECT_EQ(f.starts.size(), 2U);
}

TEST(Restart, StartIsStoppedInTheNextLifeOfAMinionThatWasUnlisted)
{
	CellFixture f;
	struct cell_minion_info info;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	f.submit(CellFixture::job("j", "q", 1, 1000));
	f.tick();
	ASSERT_EQ(f.starts.size(), 1U);
	cell_on_start(f.cell, 0, f.starts[0].task.c_str(), f.starts[0].run,
		      CELL_NO_ANSWER, f.now);
	cell_on_stop(f.cell, 0, f.starts[0].task.c_str(), f.starts[0].run,
		     CELL_NO_ANSWER, f.now);
	f.stops.clear();
	cell_set_minions(f.cell, nullptr, 0, f.now);
	silent(f, 0, "m0", 6500);
	f.durable();
	f.tick(100);
	f.durable();
	f.tick(100);
	/* 7 s after the start, which may be carried out until 10 s after. */
	info = listed("m0", false);
	cell_set_minions(f.cell, &info, 1, f.now);
	f.stops.clear();
	f.born_unix_ms = 2;
	f.report(0, "m0", {}, {});
	f.durable();
	f.tick(10);
	EXPECT_EQ(f.stops.size(), 1U);
	EXPECT_EQ(f.starts.size(), 1U);
}

TEST(Restart, StartIsStoppedInTheNextLifeOfAMinionThatStayedListed)
{
	CellFixture f;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	f.submit(CellFixture::job("j", "q", 1, 1000));
	f.tick();
	cell_on_start(f.cell, 0, f.starts[0].task.c_str(), f.starts[0].run,
		      CELL_NO_ANSWER, f.now);
	cell_on_stop(f.cell, 0, f.starts[0].task.c_str(), f.starts[0].run,
		     CELL_NO_ANSWER, f.now);
	silent(f, 0, "m0", 6500);
	f.durable();
	f.tick(100);
	f.stops.clear();
	f.born_unix_ms = 2;
	f.report(0, "m0", {}, {});
	f.durable();
	f.tick(10);
	EXPECT_EQ(f.stops.size(), 1U);
	EXPECT_EQ(f.starts.size(), 1U);
}
