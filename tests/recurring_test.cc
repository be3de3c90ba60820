#include <gtest/gtest.h>

#include "cell_fixture.h"

namespace
{

const uint64_t INTERVAL_MS = 3000;

/* A job of four occurrences with one task each, the first due at once. */
struct cell_job_spec recurring_job(const CellFixture &f)
{
	struct cell_job_spec spec = CellFixture::job("j", "q", 1, 1000);

	spec.repeat_count = 4;
	spec.first_unix_ms = f.unix_ms;
	spec.interval_ms = INTERVAL_MS;
	return spec;
}

struct cell_record end_record(const char *task, uint64_t run)
{
	struct cell_record record = {};

	record.kind = CELL_RECORD_END;
	record.task = task;
	record.run = run;
	record.end = CELL_END_DONE;
	return record;
}

/*
 * A holder that takes over once two occurrences were done. Its clock is behind
 * that of its predecessor by @behind_ms.
 */
struct Successor : CellFixture {
	explicit Successor(uint64_t behind_ms = 0) : CellFixture(9)
	{
		struct cell_record enrolled = enrolled_record("m0");
		struct cell_record first = end_record("j.0.0.0", 11);
		struct cell_record second = end_record("j.1.0.0", 12);

		queue("q", 0, 2);
		submit(recurring_job(*this), false);
		cell_replay(cell, &enrolled);
		cell_replay(cell, &first);
		cell_replay(cell, &second);
		cell_replay_done(cell, now);
		unix_ms += INTERVAL_MS + 100 - behind_ms;
		now += INTERVAL_MS + 100;
		list(1, 8000);
	}

	void play(uint64_t ms)
	{
		for (uint64_t at = 0; at < ms; at += 100)
			tick(100);
	}
};

} // namespace

/* Guards against done occurrences that run again after a takeover. */
TEST(Recurring, DoneOccurrencesAreNotRunBySuccessor)
{
	Successor f;

	f.report(0, "m0", {}, {});
	f.durable();
	f.play(1000);
	EXPECT_EQ(f.starts.size(), 0U);
	f.play(2 * INTERVAL_MS);
	ASSERT_EQ(f.starts.size(), 2U);
	EXPECT_EQ(f.starts[0].task, "j.2.0.0");
	EXPECT_EQ(f.starts[1].task, "j.3.0.0");
}

/* Guards against the same if the clock of the successor is behind. */
TEST(Recurring, DoneOccurrenceStillToComeIsNotRunBySuccessor)
{
	Successor f(2400);

	f.report(0, "m0", {}, {});
	f.durable();
	f.play(3 * INTERVAL_MS + 2400);
	ASSERT_EQ(f.starts.size(), 2U);
	EXPECT_EQ(f.starts[0].task, "j.2.0.0");
}

/* Guards against stopping and repeating a run that a predecessor started. */
TEST(Recurring, RunOfAnOccurrenceStillToComeIsAdopted)
{
	Successor f(2400);

	f.report(0, "m0", { { "j.2.0.0", 13, "" } }, {});
	f.durable();
	f.play(1000);
	EXPECT_EQ(f.stops.size(), 0U);
	f.report(0, "m0", {}, { { 1, "j.2.0.0", 13, CELL_END_DONE, "" } });
	f.durable();
	f.play(3 * INTERVAL_MS + 2400);
	ASSERT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(f.starts[0].task, "j.3.0.0");
}

/* Guards against an occurrence that starts before its time after a takeover. */
TEST(Recurring, OccurrenceAddedEarlyStartsWhenItIsDue)
{
	Successor f(2400);
	struct cell_poll poll;

	f.report(0, "m0", {}, { { 1, "j.2.0.0", 13, CELL_END_FAILED, "" } });
	f.durable();
	cell_poll_request(f.cell, 0, &poll, f.now);
	EXPECT_EQ(poll.observed, 1U);
	f.play(1000);
	EXPECT_EQ(f.starts.size(), 0U);
	f.play(2 * INTERVAL_MS);
	ASSERT_GE(f.starts.size(), 1U);
	EXPECT_EQ(f.starts[0].task, "j.2.0.0");
}

/* Guards against a minion that makes the holder add occurrences without end. */
TEST(Recurring, OccurrenceFarInTheFutureIsNotAdded)
{
	CellFixture f;
	struct cell_job_spec spec = recurring_job(f);

	spec.repeat_count = UINT32_MAX;
	spec.interval_ms = 3600000;
	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	f.submit(spec);
	f.tick();
	f.report(0, "m0", { { "j.4000000000.0.0", 77, "" } }, {});
	f.tick(100);
	EXPECT_EQ(f.stops.size(), 1U);
}

/* Guards against a crash of an occurrence that a successor does not count. */
TEST(Recurring, CrashOfAnOccurrenceIsReplayed)
{
	CellFixture f;
	struct cell_record crash = {};
	int crashes = 0;

	f.queue("q", 0, 2);
	f.submit(recurring_job(f), false);
	crash.kind = CELL_RECORD_CRASH;
	crash.task = "j.1.0.0";
	crash.run = 11;
	crash.blame = 1000;
	crash.begun = true;
	crash.minion = "m0";
	cell_replay(f.cell, &crash);
	cell_snapshot(
		f.cell,
		[](void *ctx, const struct cell_record *r) {
			*static_cast<int *>(ctx) +=
				r->kind == CELL_RECORD_CRASH;
		},
		&crashes);
	EXPECT_EQ(crashes, 1);
}
