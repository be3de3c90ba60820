#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cell_fixture.h"

namespace
{

/* Time after a claim until all leases of earlier terms have ended. */
constexpr uint64_t PREDECESSOR_LEASE_MS = 7300;
/* As CELL_LATE_ORDER_MS: until then a start without a response may arrive. */
constexpr uint64_t LATE_ORDER_MS = 12500;

/* A cell with queue q, whose jobs are of team red unless named otherwise. */
struct TeamFixture : CellFixture {
	std::vector<struct cell_team_spec> teams;

	explicit TeamFixture(uint32_t cpu_max = 0)
	{
		queue("q", 0, 3);
		limit("red", { cpu_max, 0, 0 });
	}

	~TeamFixture()
	{
		config.teams = nullptr;
		config.team_count = 0;
	}

	void configure()
	{
		config.version++;
		config.teams = teams.data();
		config.team_count = static_cast<uint32_t>(teams.size());
		cell_set_config(cell, &config);
	}

	void limit(const char *name, struct cell_res max, uint32_t weight = 1)
	{
		struct cell_team_spec *team = nullptr;

		for (struct cell_team_spec &t : teams) {
			if (!strcmp(t.name, name))
				team = &t;
		}
		if (!team) {
			teams.push_back({});
			team = &teams.back();
			snprintf(team->name, sizeof(team->name), "%s", name);
		}
		team->max = max;
		team->weight = weight;
		configure();
	}

	static struct cell_job_spec of_team(const std::string &id,
					    uint32_t count, uint32_t cpu,
					    const char *team = "red")
	{
		struct cell_job_spec spec = job(id, "q", count, cpu);

		snprintf(spec.team, sizeof(spec.team), "%s", team);
		return spec;
	}

	static struct cell_job_spec gang(const std::string &id, uint32_t count,
					 uint32_t cpu)
	{
		struct cell_job_spec spec = of_team(id, count, cpu);

		spec.steps[0].gang = true;
		return spec;
	}

	/* Begins the term with @n minions that hold nothing. */
	void begin(uint32_t n, uint32_t cpu)
	{
		cell_replay_done(cell, now);
		minions(n, cpu);
	}

	void answer(const Order &start, enum cell_result result = CELL_OK)
	{
		cell_on_start(cell, start.minion, start.task.c_str(), start.run,
			      result, now);
	}
};

Row row_of(const Order &start)
{
	return { start.task, start.run, "" };
}

} // namespace

/* Guards against starts above the limit, which no end follows yet. */
TEST(TeamLimit, RunningTasksCountUntilTheyEnd)
{
	TeamFixture f(3000);

	f.begin(2, 8000);
	f.submit(TeamFixture::of_team("a", 5, 1000));
	f.submit(TeamFixture::of_team("b", 1, 1000, "blue"));
	f.submit(CellFixture::job("c", "q", 1, 1000));
	f.tick(20);
	EXPECT_EQ(f.starts.size(), 5U);
	for (const Order &start : f.starts)
		f.answer(start);
	f.tick(1000);
	ASSERT_EQ(f.starts.size(), 5U);
	f.report(f.starts[0].minion, f.starts[0].minion_id, {},
		 { { 1, f.starts[0].task, f.starts[0].run, CELL_END_DONE,
		     "" } });
	f.tick(100);
	EXPECT_GE(f.starts.size(), 6U);
}

/* Guards against a limit of one resource that only CPU is checked for. */
TEST(TeamLimit, EachResourceIsLimited)
{
	TeamFixture f;
	struct cell_job_spec a = TeamFixture::of_team("a", 5, 100);
	struct cell_job_spec b = TeamFixture::of_team("b", 5, 100, "blue");

	a.steps[0].need.mem_mb = 100;
	b.steps[0].need.gpu = 1;
	f.limit("red", { 0, 350, 0 });
	f.limit("blue", { 0, 0, 2 });
	f.begin(0, 0);
	std::vector<struct cell_minion_info> infos = { CellFixture::minion(
		"m0", 8000) };
	infos[0].capacity.gpu = 8;
	cell_set_minions(f.cell, infos.data(), 1, f.now);
	f.report(0, "m0", {}, {});
	f.durable();
	f.submit(a);
	f.submit(b);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 5U);
}

/* Guards against best-effort tasks that count as no CPU, as on a minion. */
TEST(TeamLimit, BestEffortTasksCountWithTheirCpu)
{
	TeamFixture f(2000);
	struct cell_job_spec a = TeamFixture::of_team("a", 5, 1000);

	a.steps[0].fills = true;
	f.begin(1, 8000);
	f.submit(a);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
}

/* Guards against a gang of which a part starts, or that holds up others. */
TEST(TeamLimit, GangStartsAsAWholeOrNotAtAll)
{
	TeamFixture f(4000);

	f.begin(2, 8000);
	f.submit(TeamFixture::of_team("a", 1, 1000));
	f.tick(20);
	ASSERT_EQ(f.starts.size(), 1U);
	f.submit(TeamFixture::gang("b", 4, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.submit(TeamFixture::of_team("c", 3, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 4U);
	for (const Order &start : f.starts)
		f.answer(start);
	f.tick(10);
	for (uint32_t m = 0; m < 2; m++) {
		std::vector<End> ends;

		for (const Order &start : f.starts) {
			if (start.minion == m)
				ends.push_back({ ends.size() + 1, start.task,
						 start.run, CELL_END_DONE,
						 "" });
		}
		f.report(m, "m" + std::to_string(m), {}, ends);
	}
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 8U);
}

/* Guards against requests for advice whose tickets cannot be used. */
TEST(TeamLimit, StepsAtTheLimitAskForNoAdvice)
{
	TeamFixture f(2000);

	f.config.queues[0].advice = { true, 100, 1, 2500 };
	f.begin(40, 1000);
	f.submit(TeamFixture::gang("a", 3, 1000));
	f.tick(100);
	EXPECT_EQ(f.advice_requests.size(), 0U);
	f.submit(TeamFixture::of_team("b", 3, 1000));
	f.tick(100);
	ASSERT_EQ(f.advice_requests.size(), 1U);
	const AdviceRequest asked = f.advice_requests[0];
	struct cell_ticket tickets[] = { { asked.minions[0].c_str(), "t0" },
					 { asked.minions[1].c_str(), "t1" } };
	cell_on_advice(f.cell, asked.handle, true, tickets, 2, f.now);
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
	f.tick(3000);
	EXPECT_EQ(f.advice_requests.size(), 1U);
}

/* Guards against a limited gang that keeps minions from other teams. */
TEST(TeamLimit, GangAtTheLimitReservesNoMinions)
{
	TeamFixture f(2000);

	f.queue("low", 9, 3);
	f.configure();
	f.begin(2, 4000);
	/* Two thirds of the CPUs are busy. */
	f.submit(CellFixture::job("busy", "q", 2, 2900));
	f.tick(20);
	ASSERT_EQ(f.starts.size(), 2U);
	f.submit(TeamFixture::gang("a", 4, 1000));
	f.tick(60);
	f.submit(CellFixture::job("b", "low", 2, 1000));
	f.tick(60);
	EXPECT_EQ(f.starts.size(), 4U);
}

/* Guards against a start beside one that may still be carried out. */
TEST(TeamLimit, UnansweredStartCountsWhileItMayArrive)
{
	TeamFixture f(1000);

	f.begin(2, 8000);
	f.submit(TeamFixture::of_team("a", 1, 1000));
	f.tick(20);
	ASSERT_EQ(f.starts.size(), 1U);
	uint32_t m = f.starts[0].minion;
	std::string id = f.starts[0].minion_id;
	f.answer(f.starts[0], CELL_NO_ANSWER);
	ASSERT_EQ(f.stops.size(), 1U);
	cell_on_stop(f.cell, m, f.starts[0].task.c_str(), f.starts[0].run,
		     CELL_OK, f.now);
	f.tick(10);
	/* The run is missing, but its start may still arrive. */
	f.report(m, id, {}, {});
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	f.tick(LATE_ORDER_MS - 300);
	EXPECT_EQ(f.starts.size(), 1U);
	f.tick(500);
	EXPECT_EQ(f.starts.size(), 1U);
	f.report(m, id, {}, {});
	f.tick(10);
	f.tick(10);
	EXPECT_EQ(f.starts.size(), 2U);
}

/* Guards against a start while a run of the team is being stopped. */
TEST(TeamLimit, StopInProgressCountsUntilTheEnd)
{
	TeamFixture f(2000);

	f.begin(1, 8000);
	f.submit(TeamFixture::of_team("a", 2, 1000));
	f.tick(20);
	ASSERT_EQ(f.starts.size(), 2U);
	f.answer(f.starts[0]);
	f.answer(f.starts[1]);
	f.tick(10);
	cell_cancel(f.cell, "a", f.now);
	f.submit(TeamFixture::of_team("b", 2, 1000));
	f.durable();
	f.tick(100);
	ASSERT_EQ(f.stops.size(), 2U);
	for (const Order &stop : f.stops)
		cell_on_stop(f.cell, 0, stop.task.c_str(), stop.run, CELL_OK,
			     f.now);
	f.tick(100);
	f.report(0, "m0", { row_of(f.starts[0]) },
		 { { 1, f.starts[1].task, f.starts[1].run, CELL_END_STOPPED,
		     "" } });
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 3U);
}

/* Guards against a minion whose runs go on while it is not listed. */
TEST(TeamLimit, RunsOfUnlistedMinionsCountUntilTheLeaseEnds)
{
	TeamFixture f(2000);

	f.begin(2, 2000);
	f.submit(TeamFixture::of_team("a", 2, 1000));
	f.tick(20);
	ASSERT_EQ(f.starts.size(), 2U);
	for (const Order &start : f.starts)
		f.answer(start);
	uint32_t lost = f.starts[0].minion;
	ASSERT_EQ(f.starts[1].minion, lost);
	std::string left = lost ? "m0" : "m1";
	/* Runs that no report has listed wait for the longest lease. */
	f.report(lost, lost ? "m1" : "m0",
		 { { f.starts[0].task, f.starts[0].run, "" },
		   { f.starts[1].task, f.starts[1].run, "" } },
		 {});
	struct cell_minion_info rest = CellFixture::minion(left, 2000);
	f.submit(TeamFixture::of_team("b", 2, 1000));
	cell_set_minions(f.cell, &rest, 1, f.now);
	for (int i = 0; i < 50; i++) {
		cell_on_poll_failed(f.cell, lost, lost ? "m1" : "m0",
				    CELL_NO_ANSWER, f.now, f.now);
		f.tick(100);
		f.report(!lost, left, {}, {});
		f.durable();
	}
	EXPECT_EQ(f.starts.size(), 2U);
	for (int i = 0; i < 10; i++)
		f.tick(100);
	EXPECT_EQ(f.starts.size(), 4U);
}

/* Guards against a limit in force that a version has replaced. */
TEST(TeamLimit, ChangesOfTheLimitApplyAtOnce)
{
	TeamFixture f(4000);

	f.begin(2, 8000);
	f.submit(TeamFixture::of_team("a", 3, 1000));
	f.tick(20);
	ASSERT_EQ(f.starts.size(), 3U);
	f.limit("red", { 2000, 0, 0 });
	f.submit(TeamFixture::of_team("b", 10, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 3U);
	EXPECT_EQ(f.stops.size(), 0U);
	f.limit("red", { 5000, 0, 0 });
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 5U);
	f.limit("red", { 0, 0, 0 });
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 13U);
}

/* Guards against jobs that hang as their team was removed. */
TEST(TeamLimit, RemovedTeamHasNoLimit)
{
	TeamFixture f(1000);

	f.begin(2, 8000);
	f.submit(TeamFixture::of_team("a", 3, 1000));
	f.tick(20);
	ASSERT_EQ(f.starts.size(), 1U);
	f.teams.clear();
	f.limit("blue", { 1000, 0, 0 });
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 3U);
	f.limit("red", { 3000, 0, 0 });
	f.submit(TeamFixture::of_team("b", 1, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 3U);
}

namespace
{

/* A new holder; m0 may have runs of earlier terms and reports late. */
struct TeamTakeover : TeamFixture {
	explicit TeamTakeover(uint32_t cpu_max) : TeamFixture(cpu_max)
	{
	}

	void claim()
	{
		struct cell_record m0 = enrolled_record("m0");

		cell_replay(cell, &m0);
		cell_replay_done(cell, now);
		list(2, 8000);
		report(1, "m1", {}, {});
		durable();
		tick(60);
	}

	void silence(uint64_t ms)
	{
		for (uint64_t end = now + ms; now < end;) {
			cell_on_poll_failed(cell, 0, "m0", CELL_NO_ANSWER, now,
					    now);
			durable();
			tick(100);
			report(1, "m1", {}, {});
		}
	}
};

} // namespace

/* Guards against starts beside runs that an earlier holder has started. */
TEST(TeamLimitTakeover, InheritedTasksCountUntilAllMinionsAreSettled)
{
	TeamTakeover f(4000);

	f.submit(TeamFixture::of_team("old", 3, 1000), false);
	f.claim();
	f.submit(TeamFixture::of_team("new", 4, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	/* One of them runs there, the others never started. */
	f.report(0, "m0", { { "old.0.0.0", 11, "" } }, {});
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 3U);
}

/* Guards against a start before the leases of a silent minion have ended. */
TEST(TeamLimitTakeover, SilentMinionKeepsTheLimitUntilItsLeaseEnds)
{
	TeamTakeover f(3000);

	f.submit(TeamFixture::of_team("old", 3, 1000), false);
	f.claim();
	f.submit(TeamFixture::of_team("new", 2, 1000));
	f.silence(PREDECESSOR_LEASE_MS - 400);
	EXPECT_EQ(f.starts.size(), 0U);
	f.silence(700);
	EXPECT_EQ(f.starts.size(), 3U);
}

/* Guards against a minion that is gone and stops a team with many old tasks. */
TEST(TeamLimitTakeover, SilentMinionCountsWithItsCapacityAtMost)
{
	TeamTakeover f(12000);

	f.submit(TeamFixture::of_team("old", 20, 1000), false);
	f.claim();
	f.submit(TeamFixture::of_team("new", 6, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 4U);
}

/* Guards against runs that are missed as their job was cancelled before. */
TEST(TeamLimitTakeover, TasksOfACancelledJobCount)
{
	TeamTakeover f(3000);
	struct cell_record cancel = {};

	cancel.kind = CELL_RECORD_CANCEL;
	cancel.job = "old";
	f.submit(TeamFixture::of_team("old", 3, 1000), false);
	cell_replay(f.cell, &cancel);
	f.claim();
	f.submit(TeamFixture::of_team("new", 2, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 0U);
	f.report(0, "m0", { { "old.0.0.0", 11, "" }, { "old.0.0.1", 12, "" } },
		 {});
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(f.stops.size(), 2U);
}

/* Guards against runs that are missed as this term has cancelled their job. */
TEST(TeamLimitTakeover, TasksOfAJobThatIsCancelledMeanwhileCount)
{
	TeamTakeover f(3000);

	f.submit(TeamFixture::of_team("old", 3, 1000), false);
	f.claim();
	cell_cancel(f.cell, "old", f.now);
	f.durable();
	f.submit(TeamFixture::of_team("new", 2, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 0U);
}

/* Guards against jobs done long ago that hold up a team after a takeover. */
TEST(TeamLimitTakeover, TasksOfACompletedJobDoNotCount)
{
	TeamTakeover f(3000);
	struct cell_record done = {};

	done.kind = CELL_RECORD_STATE;
	done.job = "old";
	done.run = CELL_JOB_COMPLETED;
	f.submit(TeamFixture::of_team("old", 3, 1000), false);
	cell_replay(f.cell, &done);
	f.claim();
	f.submit(TeamFixture::of_team("new", 2, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 2U);
}

/* Guards against members of a gang that go on after the first one is done. */
TEST(TeamLimitTakeover, OtherMembersOfADoneGangCount)
{
	TeamTakeover f(3000);
	struct cell_record end = {};

	end.kind = CELL_RECORD_END;
	end.task = "old.0.0.0";
	end.run = 11;
	end.end = CELL_END_DONE;
	f.submit(TeamFixture::gang("old", 3, 1000), false);
	cell_replay(f.cell, &end);
	f.claim();
	f.submit(TeamFixture::of_team("new", 2, 1000));
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
}

/* Guards against a run that no team counts, as its job is not known yet. */
TEST(TeamLimitTakeover, RunOfAnUnknownJobCountsForEveryTeam)
{
	TeamTakeover f(3000);

	f.claim();
	f.report(0, "m0", { { "old.0.0.0", 11, "" } }, {});
	f.tick(60);
	f.submit(TeamFixture::of_team("new", 3, 1000));
	f.tick(60);
	EXPECT_EQ(f.starts.size(), 0U);
	f.submit(TeamFixture::of_team("old", 1, 1000), false);
	f.tick(60);
	EXPECT_EQ(f.starts.size(), 2U);
}

/* Guards against jobs that are accepted and wait for ever. */
TEST(TeamLimit, JobAboveTheLimitCannotRun)
{
	TeamFixture f(3000);
	char why[256] = "";
	struct cell_job_spec wide = TeamFixture::of_team("a", 9, 3000);
	struct cell_job_spec big = TeamFixture::of_team("b", 1, 3001);
	struct cell_job_spec gang = TeamFixture::gang("c", 4, 1000);
	struct cell_job_spec other = TeamFixture::of_team("d", 1, 9999, "blue");

	EXPECT_TRUE(cell_team_can_run(&f.config, &wide, why, sizeof(why)));
	EXPECT_FALSE(cell_team_can_run(&f.config, &big, why, sizeof(why)));
	EXPECT_STREQ(why, "step 0 needs 3001 cpu at once, above the limit of "
			  "team red, 3000");
	EXPECT_FALSE(cell_team_can_run(&f.config, &gang, why, sizeof(why)));
	EXPECT_STREQ(why, "step 0 needs 4000 cpu at once, above the limit of "
			  "team red, 3000");
	EXPECT_TRUE(cell_team_can_run(&f.config, &other, why, sizeof(why)));
	EXPECT_TRUE(cell_team_can_run(nullptr, &gang, why, sizeof(why)));
	for (struct cell_job_spec *spec : { &wide, &big, &gang, &other })
		cell_job_spec_free(spec);
}
