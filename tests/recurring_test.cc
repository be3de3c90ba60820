#include <gtest/gtest.h>

#include <malloc.h>

#include <algorithm>

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

namespace
{

const uint32_t BACKLOG = 2000000;

/* A job of which so many occurrences are due. */
struct cell_job_spec backlog_job(const CellFixture &f, uint32_t due)
{
	struct cell_job_spec spec = CellFixture::job("b", "q", 1, 1000);

	spec.repeat_count = due;
	spec.interval_ms = 1000;
	spec.first_unix_ms = f.unix_ms - due * 1000ULL;
	return spec;
}

/* A cell whose one minion ends all runs as done, each some time later. */
struct BusyCell : CellFixture {
	uint64_t ended = 0; /* ends so far */
	size_t known = 0;   /* starts that were seen */
	std::vector<Order> running;

	explicit BusyCell(uint64_t token = 5) : CellFixture(token)
	{
		queue("q", 0, 2);
	}

	void open(uint32_t cpu = 8000)
	{
		cell_replay_done(cell, now);
		minions(1, cpu);
	}

	void step()
	{
		std::vector<Row> rows;
		std::vector<End> ends;

		for (const Order &o : running)
			ends.push_back(
				{ ++ended, o.task, o.run, CELL_END_DONE, "" });
		running.clear();
		for (; known < starts.size(); known++) {
			const Order &o = starts[known];

			cell_on_start(cell, o.minion, o.task.c_str(), o.run,
				      CELL_OK, now);
			running.push_back(o);
			rows.push_back({ o.task, o.run, "" });
		}
		report(0, "m0", rows, ends);
		durable();
		tick(100);
	}

	void play(uint64_t ms)
	{
		for (uint64_t end = now + ms; now < end;)
			step();
	}

	uint32_t started(const std::string &prefix) const
	{
		uint32_t n = 0;

		for (const Order &o : starts)
			n += o.task.compare(0, prefix.size(), prefix) == 0;
		return n;
	}
};

size_t heap_bytes()
{
	return mallinfo2().uordblks;
}

} // namespace

/* Guards against a holder that ends as all occurrences that are due are kept.
 */
TEST(Recurring, BacklogOfOccurrencesIsNotStored)
{
	BusyCell f;
	size_t before;

	f.open();
	before = heap_bytes();
	f.submit(backlog_job(f, BACKLOG));
	f.tick(10);
	f.play(2000);
	EXPECT_LT(heap_bytes() - before, 1000000U);
	EXPECT_GT(f.started("b.0."), 0U);
	EXPECT_GE(f.started("b."), 50U);
}

/* Guards against occurrences that are skipped, or that run twice. */
TEST(Recurring, OccurrencesOfABacklogRunOnceInOrder)
{
	BusyCell f;
	std::vector<std::string> tasks;

	f.open();
	f.submit(backlog_job(f, 700));
	f.play(20000);
	EXPECT_EQ(cell_get_job_state(f.cell, "b"), CELL_JOB_COMPLETED);
	ASSERT_EQ(f.starts.size(), 700U);
	for (const Order &o : f.starts)
		tasks.push_back(o.task);
	EXPECT_EQ(tasks.front(), "b.0.0.0");
	std::sort(tasks.begin(), tasks.end());
	EXPECT_EQ(std::unique(tasks.begin(), tasks.end()), tasks.end());
}

/* Guards against jobs that never start beside the backlog of another. */
TEST(Recurring, BacklogDoesNotKeepLaterJobsFromStarting)
{
	BusyCell f;

	f.open();
	f.submit(backlog_job(f, BACKLOG));
	f.play(1000);
	f.submit(CellFixture::job("later", "q", 1, 1000));
	f.play(15000);
	EXPECT_EQ(f.started("later."), 1U);
}

/* Guards against done occurrences that a successor runs again. */
TEST(Recurring, SnapshotOfABacklogIsShortAndComplete)
{
	BusyCell f;
	BusyCell next(6);
	std::vector<std::pair<std::string, struct cell_record>> records;
	size_t before;
	uint32_t started;

	f.open();
	f.submit(backlog_job(f, BACKLOG));
	f.play(10000);
	started = f.started("b.");
	ASSERT_GT(started, 300U);
	cell_snapshot(
		f.cell,
		[](void *ctx, const struct cell_record *r) {
			auto *out = static_cast<std::vector<
				std::pair<std::string, struct cell_record>> *>(
				ctx);

			out->push_back({ r->task  ? r->task
					 : r->job ? r->job
						  : r->minion,
					 *r });
		},
		&records);
	EXPECT_LT(records.size(), 40U);
	next.submit(backlog_job(f, BACKLOG), false);
	before = heap_bytes();
	for (auto &r : records) {
		r.second.task = r.second.job = r.second.minion =
			r.first.c_str();
		if (!r.second.addr)
			r.second.addr = "10.0.0.1:80";
		r.second.checkpoint = "";
		cell_replay(next.cell, &r.second);
	}
	next.open();
	next.play(1000);
	EXPECT_LT(heap_bytes() - before, 1000000U);
	ASSERT_GT(next.starts.size(), 0U);
	for (const Order &o : next.starts) {
		uint32_t number = static_cast<uint32_t>(
			strtoul(o.task.c_str() + 2, nullptr, 10));

		EXPECT_GE(number + 8, started);
	}
}

/* Guards against a replay that keeps all occurrences that have ended. */
TEST(Recurring, ReplayOfManyEndsKeepsFewOccurrences)
{
	BusyCell f(6);
	size_t before;

	f.submit(backlog_job(f, BACKLOG), false);
	before = heap_bytes();
	for (uint32_t i = 0; i < 20000; i++) {
		std::string task = "b." + std::to_string(i) + ".0.0";
		struct cell_record record = end_record(task.c_str(), 5000 + i);

		cell_replay(f.cell, &record);
	}
	EXPECT_LT(heap_bytes() - before, 200000U);
	f.open();
	f.play(1000);
	ASSERT_FALSE(f.starts.empty());
	EXPECT_EQ(f.starts[0].task, "b.20000.0.0");
}

/* Guards against a run of an occurrence that was done and freed. */
TEST(Recurring, LateRunOfADoneOccurrenceIsStopped)
{
	BusyCell f;

	f.open();
	f.submit(backlog_job(f, BACKLOG));
	f.play(10000);
	f.stops.clear();
	f.report(0, "m0", { { "b.3.0.0", 1, "" } }, {});
	f.tick(10);
	ASSERT_EQ(f.stops.size(), 1U);
	EXPECT_EQ(f.stops[0].task, "b.3.0.0");
}

/* Guards against a backlog that leaves room unused while its runs last. */
TEST(Recurring, BacklogFillsTheRoomThatThereIs)
{
	BusyCell f;

	f.open(600000);
	f.submit(backlog_job(f, BACKLOG));
	for (int i = 0; i < 10; i++)
		f.tick(100);
	EXPECT_EQ(f.starts.size(), 600U);
}

/* Guards against a job without a schedule that counts from when it is known. */
TEST(Recurring, JobWithoutAScheduleIsDueFromItsAcceptance)
{
	CellFixture f;
	struct cell_job_spec earlier = CellFixture::job("z", "q", 1, 8000);

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.list(1, 8000);
	f.tick(10);
	f.submit(CellFixture::job("a", "q", 1, 8000));
	earlier.accepted_unix_ms = f.unix_ms - 1000;
	cell_submit(f.cell, &earlier, true, f.unix_ms, f.now);
	f.report(0, "m0", {}, {});
	f.durable();
	f.tick(100);
	ASSERT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(f.starts[0].task, "z.0.0.0");
}
