#include <gtest/gtest.h>

#include "cell_fixture.h"

namespace
{

const uint32_t ATTEMPTS_MAX = 2;

/* A cell whose route is removed while the last attempt of a task runs. */
struct LastAttempt : CellFixture {
	struct cell_config none = {};

	explicit LastAttempt(bool gang)
	{
		struct cell_job_spec spec = job("j", "q", 2, 1000);

		spec.steps[0].gang = gang;
		queue("q", 0, ATTEMPTS_MAX);
		cell_replay_done(cell, now);
		minions(2, 8000);
		submit(spec);
		tick();
		fail_last_start(1);
		tick(100);
		cell_set_config(cell, &none);
	}

	/* Lets the latest run fail, and all members of its gang. */
	void fail_last_start(uint64_t number)
	{
		const uint64_t run = starts.back().run;
		std::vector<End> ends[2];

		for (const Order &s : starts) {
			if (s.run != run)
				continue;
			ends[s.minion].push_back(
				{ number, s.task, run, CELL_END_FAILED, "" });
			number++;
		}
		for (uint32_t i = 0; i < 2; i++)
			report(i, "m" + std::to_string(i), {}, ends[i]);
		durable();
	}

	void restore_route()
	{
		tick(100);
		cell_set_config(cell, &config);
		for (int i = 0; i < 20; i++)
			tick(100);
	}
};

} // namespace

/* Guards against a start beyond max_attempts once the route is back. */
TEST(Attempts, RestoredRouteStartsNoTaskWithoutAttemptsLeft)
{
	LastAttempt f(false);
	size_t before = f.starts.size();

	f.fail_last_start(10);
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_RUNNING);
	f.restore_route();
	EXPECT_EQ(f.starts.size(), before);
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_RUNNING);
	f.durable();
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_FAILED);
}

/* Guards against the same for a gang. */
TEST(Attempts, RestoredRouteStartsNoGangWithoutAttemptsLeft)
{
	LastAttempt f(true);
	size_t before = f.starts.size();

	f.fail_last_start(10);
	f.restore_route();
	f.durable();
	EXPECT_EQ(f.starts.size(), before);
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_FAILED);
}

/* Guards against a job that fails although it has attempts left. */
TEST(Attempts, RestoredRouteStartsATaskWithAttemptsLeft)
{
	LastAttempt f(false);
	size_t before = f.starts.size();

	f.config.queues[0].max_attempts = ATTEMPTS_MAX + 1;
	f.fail_last_start(10);
	f.restore_route();
	f.durable();
	EXPECT_EQ(f.starts.size(), before + 1);
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_RUNNING);
}

/* Guards against a successor that replays while the route is away. */
TEST(Attempts, SuccessorCountsTheAttemptsOfARestoredRoute)
{
	CellFixture f(9);
	struct cell_config none = {};
	struct cell_record end = {};

	f.queue("q", 0, ATTEMPTS_MAX);
	cell_set_config(f.cell, &none);
	f.submit(CellFixture::job("j", "q", 1, 1000), false);
	end.kind = CELL_RECORD_END;
	end.task = "j.0.0.0";
	end.end = CELL_END_FAILED;
	for (uint32_t i = 0; i < ATTEMPTS_MAX; i++) {
		end.run = 11 + i;
		cell_replay(f.cell, &end);
	}
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	cell_set_config(f.cell, &f.config);
	f.tick(100);
	f.durable();
	EXPECT_EQ(f.starts.size(), 0U);
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_FAILED);
}
