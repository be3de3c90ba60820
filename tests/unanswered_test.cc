/* Starts without a response, which a minion may carry out seconds later. */
#include <gtest/gtest.h>

#include "cell_fixture.h"

extern "C" {
#include "../jaycelld/celld.h"
}

namespace
{

/* How late a start without a response may be carried out, in ms. */
constexpr uint64_t LATE_MS = 12500;
/* The same, and the longest lease that it may grant then. */
constexpr uint64_t LATE_AND_LEASE_MS = LATE_MS + 6300;

/* Two minions; the start of a task on one of them has no response. */
struct Unanswered : CellFixture {
	uint32_t minion = 0;
	std::string id;
	uint64_t sent_ms = 0;
	uint64_t run = 0;

	explicit Unanswered(uint32_t count = 1, bool gang = false,
			    bool advice = false)
	{
		struct cell_job_spec spec = job("j", "q", count, 1000);
		struct cell_queue_spec *q = queue("q", 0, 3);

		spec.steps[0].gang = gang;
		q->advice.needed = advice;
		q->advice.decide_ms = 7;
		q->advice.valid_ms = 2000;
		cell_set_config(cell, &config);
		cell_replay_done(cell, now);
		minions(2, 8000);
		submit(spec);
		tick();
		if (advice)
			grant_all();
		if (starts.size() != count)
			return;
		minion = starts[0].minion;
		id = starts[0].minion_id;
		run = starts[0].run;
		sent_ms = now;
	}

	/* Accepts all minions of the latest advice request. */
	void grant_all()
	{
		AdviceRequest q = advice_requests.back();
		std::vector<struct cell_ticket> tickets(q.minions.size());

		for (size_t i = 0; i < tickets.size(); i++) {
			tickets[i] = {};
			tickets[i].minion = q.minions[i].c_str();
			tickets[i].ticket = "t";
		}
		cell_on_advice(cell, q.handle, true, tickets.data(),
			       static_cast<uint32_t>(tickets.size()), now);
		tick();
	}

	/* The first start has no response; its stop is acknowledged. */
	void lose_response()
	{
		now += 600;
		cell_on_start(cell, minion, starts[0].task.c_str(), run,
			      CELL_NO_ANSWER, now);
		for (const Order &stop : std::vector<Order>(stops))
			cell_on_stop(cell, stop.minion, stop.task.c_str(),
				     stop.run, CELL_OK, now);
		report_all();
	}

	/* Both minions report that nothing runs there. */
	void report_all()
	{
		tick(50);
		for (uint32_t i = 0; i < 2; i++)
			report(i, "m" + std::to_string(i), {}, {});
		durable();
		tick();
	}

	/* Runs the cell up to that time after the start was sent. */
	void run_until(uint64_t after_ms)
	{
		while (now < sent_ms + after_ms)
			report_all();
	}

	/* As above; the minion of the start does not respond. */
	void run_silent_until(uint64_t after_ms)
	{
		while (now < sent_ms + after_ms) {
			tick(50);
			cell_on_poll_failed(cell, minion, id.c_str(),
					    CELL_NO_ANSWER, now, now);
			report(1 - minion, "m" + std::to_string(1 - minion), {},
			       {});
			durable();
			tick();
		}
	}

	/* The platform lists only the other minion. */
	void list_other()
	{
		struct cell_minion_info info = CellFixture::minion(
			"m" + std::to_string(1 - minion), 8000);

		cell_set_minions(cell, &info, 1, now);
	}
};

/* A holder that replays the records of an earlier one. */
struct Successor : CellFixture {
	uint64_t began_ms;

	explicit Successor(const std::vector<struct cell_record> &records)
	    : CellFixture(6), began_ms(now)
	{
		struct cell_record m0 = enrolled_record("m0");

		queue("q", 0, 3);
		submit(job("j", "q", 1, 1000), false);
		cell_replay(cell, &m0);
		for (const struct cell_record &record : records)
			cell_replay(cell, &record);
		cell_replay_done(cell, now);
		minions(1, 8000);
		run_until(1000);
	}

	/* Runs the cell up to that time after the claim. */
	void run_until(uint64_t after_ms)
	{
		while (now < began_ms + after_ms && starts.empty()) {
			tick(50);
			report(0, "m0", {}, {});
			durable();
			tick();
		}
	}
};

struct cell_record record_of(enum cell_record_kind kind, uint64_t run)
{
	struct cell_record record = {};

	record.kind = kind;
	record.task = "j.0.0.0";
	record.run = run;
	record.end = CELL_END_STOPPED;
	return record;
}

} // namespace

/*
 * Guards against two runs at once: the stop of a start is acknowledged, its
 * minion restarts under its id, and the start is carried out there beside a
 * later run of the task.
 */
TEST(Unanswered, TaskWaitsUntilItsStartCanNoLongerArrive)
{
	Unanswered f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.lose_response();
	f.run_until(LATE_MS - 100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.run_until(LATE_MS + 300);
	EXPECT_EQ(f.starts.size(), 2U);
}

/* Guards against a member of a gang that runs beside a late start of it. */
TEST(Unanswered, GangWaitsForAStartOfOneMember)
{
	Unanswered f(3, true);
	std::vector<End> ends;

	ASSERT_EQ(f.starts.size(), 3U);
	f.lose_response();
	f.run_until(LATE_MS - 100);
	EXPECT_EQ(f.starts.size(), 3U);
	f.run_until(LATE_MS + 300);
	EXPECT_EQ(f.starts.size(), 6U);
}

/* Guards against other tasks of a step that wait for a held one. */
TEST(Unanswered, OtherTasksOfTheStepGoOn)
{
	Unanswered f(2);
	size_t other = 1;

	ASSERT_EQ(f.starts.size(), 2U);
	f.lose_response();
	cell_on_start(f.cell, f.starts[other].minion,
		      f.starts[other].task.c_str(), f.starts[other].run,
		      CELL_REJECTED_OTHER, f.now);
	f.report_all();
	ASSERT_EQ(f.starts.size(), 3U);
	EXPECT_EQ(f.starts[2].task, f.starts[other].task);
}

/* Guards against a wait although the start has been carried out. */
TEST(Unanswered, StartThatIsFoundInTheNextLifeIsTheRunOfItsTask)
{
	Unanswered f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.lose_response();
	f.run_until(4000);
	f.born_unix_ms = 2;
	f.report(f.minion, f.id, { { f.starts[0].task, f.run, "" } }, {});
	f.durable();
	f.tick(50);
	EXPECT_EQ(f.starts.size(), 1U);
	f.report(f.minion, f.id, {},
		 { { 1, f.starts[0].task, f.run, CELL_END_FAILED, "" } });
	f.durable();
	f.tick(50);
	f.tick();
	EXPECT_EQ(f.starts.size(), 2U);
}

/* The same, in the life that was thought to have stopped it. */
TEST(Unanswered, StartThatIsFoundLaterIsTheRunOfItsTask)
{
	Unanswered f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.lose_response();
	f.run_until(4000);
	f.report(f.minion, f.id, { { f.starts[0].task, f.run, "" } }, {});
	f.report(f.minion, f.id, {},
		 { { 1, f.starts[0].task, f.run, CELL_END_FAILED, "" } });
	f.durable();
	f.tick(50);
	f.tick();
	EXPECT_EQ(f.starts.size(), 2U);
}

/* Guards against a task that is released by the end of another run of it. */
TEST(Unanswered, EndOfAnEarlierRunDoesNotReleaseTheTask)
{
	Unanswered f;
	uint32_t other = 1 - f.minion;
	std::string other_id = "m" + std::to_string(other);
	std::string task = "j.0.0.0";

	ASSERT_EQ(f.starts.size(), 1U);
	f.lose_response();
	f.report(other, other_id, { { task, f.run - 1, "" } }, {});
	f.tick(50);
	f.report(other, other_id, {},
		 { { 1, task, f.run - 1, CELL_END_STOPPED, "" } });
	f.run_until(LATE_MS - 100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.run_until(LATE_MS + 300);
	EXPECT_EQ(f.starts.size(), 2U);
}

/* Guards against a record of a start that a report has shown. */
TEST(Unanswered, StartThatAReportHasShownIsNotJournalled)
{
	Unanswered f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.report(f.minion, f.id, { { f.starts[0].task, f.run, "" } }, {});
	cell_on_start(f.cell, f.minion, f.starts[0].task.c_str(), f.run,
		      CELL_NO_ANSWER, f.now);
	EXPECT_TRUE(f.records.empty());
}

/*
 * Guards against a start that runs unseen on a minion that is cut off, as it
 * was carried out at the last moment.
 */
TEST(Unanswered, ListedMinionThatIsSilentHoldsTheTaskForItsLease)
{
	Unanswered f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.lose_response();
	f.run_silent_until(LATE_AND_LEASE_MS - 200);
	EXPECT_EQ(f.starts.size(), 1U);
	f.run_silent_until(LATE_AND_LEASE_MS + 300);
	EXPECT_EQ(f.starts.size(), 2U);
}

/* Guards against a wait for a minion that has left. */
TEST(Unanswered, MinionThatLeftHoldsTheTaskOnlyWhileTheStartMayArrive)
{
	Unanswered f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.lose_response();
	f.list_other();
	f.run_silent_until(LATE_MS - 100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.run_silent_until(LATE_MS + 300);
	EXPECT_EQ(f.starts.size(), 2U);
}

/* Guards against a wait for a start that no other life accepts. */
TEST(Unanswered, StartWithATicketDoesNotHoldItsTask)
{
	Unanswered f(1, false, true);

	ASSERT_EQ(f.starts.size(), 1U);
	f.now += 600;
	cell_on_start(f.cell, f.minion, f.starts[0].task.c_str(), f.run,
		      CELL_NO_ANSWER, f.now);
	EXPECT_TRUE(f.records.empty());
	cell_on_stop(f.cell, f.minion, f.starts[0].task.c_str(), f.run, CELL_OK,
		     f.now);
	f.report_all();
	EXPECT_EQ(f.starts.size(), 2U);
}

/*
 * Guards against tickets that are requested for a step that cannot start. The
 * queue had no policy when its task was started.
 */
TEST(Unanswered, HeldStepRequestsNoAdvice)
{
	Unanswered f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.lose_response();
	f.config.queues[0].advice.needed = true;
	f.config.version++;
	cell_set_config(f.cell, &f.config);
	f.run_until(LATE_MS - 100);
	EXPECT_TRUE(f.advice_requests.empty());
	f.run_until(LATE_MS + 300);
	EXPECT_FALSE(f.advice_requests.empty());
}

/* Guards against a successor that knows no starts without a response. */
TEST(Unanswered, SuccessorHoldsTheTaskToo)
{
	Successor f({ record_of(CELL_RECORD_UNANSWERED, 7) });

	EXPECT_TRUE(f.starts.empty());
	f.run_until(LATE_MS - 100);
	EXPECT_TRUE(f.starts.empty());
	f.run_until(LATE_MS + 300);
	EXPECT_EQ(f.starts.size(), 1U);
}

/* Guards against a successor that waits for a start that has been found. */
TEST(Unanswered, SuccessorDoesNotHoldATaskWhoseRunEnded)
{
	struct cell_record unanswered = record_of(CELL_RECORD_UNANSWERED, 7);
	struct cell_record ended = record_of(CELL_RECORD_END, 7);

	EXPECT_EQ(Successor({ unanswered, ended }).starts.size(), 1U);
	EXPECT_EQ(Successor({ ended, unanswered }).starts.size(), 1U);
	ended.run = 6;
	EXPECT_TRUE(Successor({ unanswered, ended }).starts.empty());
}

/*
 * Guards against a start that no record or snapshot names, or that is named
 * though it had a response.
 */
TEST(Unanswered, IsJournalledOnceAndPartOfASnapshot)
{
	Unanswered f;
	std::vector<uint64_t> runs;
	auto emit = [](void *ctx, const struct cell_record *record) {
		if (record->kind == CELL_RECORD_UNANSWERED)
			static_cast<std::vector<uint64_t> *>(ctx)->push_back(
				record->run);
	};

	ASSERT_EQ(f.starts.size(), 1U);
	cell_snapshot(f.cell, emit, &runs);
	EXPECT_TRUE(runs.empty());
	cell_on_start(f.cell, f.minion, f.starts[0].task.c_str(), f.run,
		      CELL_NO_ANSWER, f.now);
	EXPECT_EQ(f.records.size(), 1U);
	cell_snapshot(f.cell, emit, &runs);
	EXPECT_EQ(runs, std::vector<uint64_t>{ f.run });
	f.lose_response();
	EXPECT_TRUE(f.records.empty());
	runs.clear();
	cell_snapshot(f.cell, emit, &runs);
	EXPECT_EQ(runs, std::vector<uint64_t>{ f.run });
	f.run_until(LATE_MS + 300);
	runs.clear();
	cell_snapshot(f.cell, emit, &runs);
	EXPECT_TRUE(runs.empty());
}

/* Guards against a record that is lost as it cannot be decoded. */
TEST(Unanswered, RecordIsReplayedFromTheJournal)
{
	struct cell_record record = record_of(CELL_RECORD_UNANSWERED, 7);
	struct buf packed = {};
	struct buf batch = {};
	CellFixture f(6);

	f.queue("q", 0, 3);
	f.submit(CellFixture::job("j", "q", 1, 1000), false);
	record_pack(&record, &packed);
	record_pack_batch(&packed, 1, &batch);
	EXPECT_TRUE(record_replay_batch(batch.data, batch.len, f.cell));
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	f.tick(1000);
	EXPECT_TRUE(f.starts.empty());
	buf_free(&packed);
	buf_free(&batch);
}
