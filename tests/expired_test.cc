#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cell_fixture.h"

namespace
{

const uint64_t RETENTION_MS = 120000;

/* A cell whose job "j" is done and past its retention; its key is stored. */
struct ExpiredJob : CellFixture {
	ExpiredJob()
	{
		queue("q", 0, 2);
		cell_replay_done(cell, now);
		minions(1, 8000);
		submit(job("j", "q", 1, 1000));
		tick();
		cell_on_start(cell, 0, "j.0.0.0", starts[0].run, CELL_OK, now);
		report(0, "m0", {},
		       { { 1, "j.0.0.0", starts[0].run, CELL_END_DONE, "" } });
		durable();
		tick(RETENTION_MS + 6000);
		report(0, "m0", {}, {});
		EXPECT_EQ(expired_jobs, std::vector<std::string>{ "j" });
	}

	/* Adds the stored job as a lookup or a listing does. */
	void read_again()
	{
		submit(job("j", "q", 1, 1000), false);
		tick(100);
	}

	std::vector<uint64_t> snapshot_states() const
	{
		std::vector<uint64_t> states;

		cell_snapshot(
			cell,
			[](void *ctx, const struct cell_record *r) {
				if (r->kind == CELL_RECORD_STATE &&
				    !strcmp(r->job, "j"))
					static_cast<std::vector<uint64_t> *>(
						ctx)
						->push_back(r->run);
			},
			&states);
		return states;
	}
};

} // namespace

/* Guards against a question after the retention that runs a done job again. */
TEST(Expired, StoredJobIsNotAddedAgain)
{
	ExpiredJob f;

	f.read_again();
	EXPECT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_UNKNOWN);
}

/* Guards against a successor that runs it again after a snapshot. */
TEST(Expired, SnapshotKeepsTheEndOfAStoredJob)
{
	ExpiredJob f;
	std::vector<uint64_t> states = f.snapshot_states();
	CellFixture successor(9);

	ASSERT_EQ(states, std::vector<uint64_t>{ CELL_JOB_COMPLETED });
	successor.queue("q", 0, 2);
	successor.submit(CellFixture::job("j", "q", 1, 1000), false);
	struct cell_record record = {};
	record.kind = CELL_RECORD_STATE;
	record.job = "j";
	record.run = states[0];
	cell_replay(successor.cell, &record);
	cell_replay_done(successor.cell, successor.now);
	successor.minions(1, 8000);
	successor.tick(100);
	EXPECT_EQ(successor.starts.size(), 0U);
}

/* Guards against a reader behind the deletion that brings the job back. */
TEST(Expired, JobIsForgottenOnceReadersArePastItsDeletion)
{
	ExpiredJob f;

	cell_on_jobs_read(f.cell, 70, f.now);
	EXPECT_TRUE(cell_job_expired(f.cell, "j"));
	cell_on_job_deleted(f.cell, "j", 80);
	cell_on_jobs_read(f.cell, 79, f.now);
	f.read_again();
	EXPECT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(f.snapshot_states().size(), 1U);
	cell_on_jobs_read(f.cell, 80, f.now);
	EXPECT_FALSE(cell_job_expired(f.cell, "j"));
	EXPECT_EQ(f.snapshot_states().size(), 0U);
}
