#include <gtest/gtest.h>

#include <string>

#include "cell_fixture.h"

extern "C" {
#include "platform/decode.h"
}

namespace
{

/* A cell with one minion that runs both tasks of the job "j". */
struct RunningJob : CellFixture {
	RunningJob()
	{
		queue("q", 0, 2);
		cell_replay_done(cell, now);
		minions(1, 8000);
		submit(job("j", "q", 2, 1000));
		tick();
		for (const Order &s : starts)
			cell_on_start(cell, 0, s.task.c_str(), s.run, CELL_OK,
				      now);
		tick(1000);
	}
};

/* A new holder of a cell whose minion ran the tasks of "j" for the former. */
struct InheritedJob : CellFixture {
	InheritedJob()
	{
		struct cell_record m0 = enrolled_record("m0");

		queue("q", 0, 2);
		submit(job("j", "q", 2, 1000), false);
		cell_replay(cell, &m0);
		cell_replay_done(cell, now);
		list(1, 8000);
	}
};

std::string report_with_ends(int count)
{
	std::string body = R"({"clock_ms":1,"born":1,"running":[],"ended":[)";

	for (int i = 1; i <= count; i++)
		body += (i > 1 ? "," : "") + std::string("[") +
			std::to_string(i) + ",\"j.0.0." + std::to_string(i) +
			"\",1,\"done\",\"\"]";
	return body + "]}";
}

bool has_more_ends(int count)
{
	std::string body = report_with_ends(count);
	struct cell_report report;
	void *memory;
	bool more;

	EXPECT_TRUE(
		pf_decode_report(body.data(), body.size(), &report, &memory));
	more = report.more_ends;
	pf_report_free(&report, memory);
	return more;
}

} // namespace

/* Guards against a list of ends that is cut and taken to be complete. */
TEST(Report, FullListOfEndsMayHaveMore)
{
	EXPECT_FALSE(has_more_ends(499));
	EXPECT_TRUE(has_more_ends(500));
}

/*
 * Guards against done tasks that run again: the store is away, so no end is
 * acknowledged, and a minion lists only the first of them.
 */
TEST(Report, RunWhoseEndIsNotListedIsNotStartedAgain)
{
	RunningJob f;

	ASSERT_EQ(f.starts.size(), 2U);
	f.report(
		0, "m0", {},
		{ { 1, f.starts[0].task, f.starts[0].run, CELL_END_DONE, "" } },
		0, true);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
	f.durable();
	f.report(0, "m0", {},
		 { { 2, f.starts[1].task, f.starts[1].run, CELL_END_DONE,
		     "" } });
	f.tick(100);
	f.durable();
	EXPECT_EQ(f.starts.size(), 2U);
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_COMPLETED);
}

/* Guards against the same for ends behind that of a job not known yet. */
TEST(Report, RunWhoseEndIsBlockedIsNotStartedAgain)
{
	RunningJob f;
	std::vector<End> ends = {
		{ 1, "later.0.0.0", 7, CELL_END_DONE, "" },
		{ 2, "j.0.0.0", 0, CELL_END_DONE, "" },
		{ 3, "j.0.0.1", 0, CELL_END_DONE, "" },
	};

	ASSERT_EQ(f.starts.size(), 2U);
	ends[1].run = f.starts[0].run;
	ends[2].run = f.starts[1].run;
	f.report(0, "m0", {}, ends);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
	f.submit(CellFixture::job("later", "q", 1, 1000), false);
	f.report(0, "m0", {}, ends);
	f.tick(100);
	f.durable();
	EXPECT_EQ(f.starts.size(), 2U);
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_COMPLETED);
}

/* Guards against the same after a takeover. */
TEST(Report, SuccessorWaitsForTheEndsThatAreNotListed)
{
	InheritedJob f;

	f.report(0, "m0", {}, { { 1, "j.0.0.0", 11, CELL_END_DONE, "" } }, 0,
		 true);
	/* Past the leases of the former holder: the minion still responds. */
	for (int ms = 0; ms < 9000; ms += 300) {
		f.tick(300);
		f.report(0, "m0", {},
			 { { 1, "j.0.0.0", 11, CELL_END_DONE, "" } }, 0, true);
	}
	EXPECT_EQ(f.starts.size(), 0U);
	f.durable();
	f.report(0, "m0", {}, { { 2, "j.0.0.1", 12, CELL_END_DONE, "" } });
	f.tick(100);
	f.durable();
	EXPECT_EQ(f.starts.size(), 0U);
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_COMPLETED);
}

/* Guards against the same if the entry of the minion has lapsed meanwhile. */
TEST(Report, SuccessorWaitsForTheEndsOfAMinionThatIsNotListed)
{
	InheritedJob f;
	std::vector<End> first = { { 1, "j.0.0.0", 11, CELL_END_DONE, "" } };

	cell_set_minions(f.cell, nullptr, 0, f.now);
	f.report(0, "m0", {}, first, 0, true);
	for (int ms = 0; ms < 6000; ms += 300) {
		f.tick(300);
		f.report(0, "m0", {}, first, 0, true);
	}
	f.durable();
	f.report(0, "m0", {}, { { 2, "j.0.0.1", 12, CELL_END_DONE, "" } });
	f.list(1, 8000);
	f.tick(100);
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 0U);
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_COMPLETED);
}

/* Guards against a job that waits for ever for ends of a minion that failed. */
TEST(Report, SuccessorDoesNotWaitForAMinionThatFails)
{
	InheritedJob f;

	f.report(0, "m0", {}, { { 1, "j.0.0.0", 11, CELL_END_DONE, "" } }, 0,
		 true);
	f.durable();
	f.list(2, 8000);
	f.report(1, "m1", {}, {});
	f.durable();
	for (int ms = 0; ms < 9000; ms += 300) {
		f.tick(300);
		cell_on_poll_failed(f.cell, 0, "m0", CELL_NO_ANSWER, f.now,
				    f.now);
		f.report(1, "m1", {}, {});
	}
	ASSERT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(f.starts[0].task, "j.0.0.1");
}

TEST(Report, LateReportOfAFormerLifeDoesNotReleaseRuns)
{
	RunningJob f;
	std::vector<Row> rows;
	std::vector<Row> former;

	ASSERT_EQ(f.starts.size(), 2U);
	for (const Order &s : f.starts)
		former.push_back({ s.task, s.run, "" });
	f.starts.clear();
	f.born_unix_ms = 2;
	for (int i = 0; i < 40; i++) {
		f.report(0, "m0", rows, {});
		f.durable();
		f.tick(100);
		rows.clear();
		for (const Order &s : f.starts) {
			cell_on_start(f.cell, 0, s.task.c_str(), s.run, CELL_OK,
				      f.now);
			rows.push_back({ s.task, s.run, "" });
		}
	}
	ASSERT_EQ(f.starts.size(), 2U);
	f.born_unix_ms = 1;
	f.report(0, "m0", former, {}, 5000);
	f.durable();
	for (int i = 0; i < 40; i++)
		f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
}
