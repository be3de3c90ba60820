#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cell_fixture.h"

namespace
{

const uint64_t RETENTION_MS = 120000;
const uint64_t RETENTION_MIN_MS = 90000;
const size_t TOMBSTONES_MAX = 8192;

/* A cell with room, to which a job "j" may come after its cancel. */
struct Tombstones : CellFixture {
	explicit Tombstones(uint64_t token = 5) : CellFixture(token)
	{
		queue("q", 0, 2);
	}

	void ready()
	{
		cell_replay_done(cell, now);
		minions(1, 8000);
	}

	/* Returns the sequence number of the record, or 0. */
	uint64_t cancel(const std::string &id)
	{
		wait_ms = 0;
		return cell_cancel_absent(cell, id.c_str(), &wait_ms, now);
	}

	void add(const std::string &id, bool is_new = true)
	{
		submit(job(id, "q", 1, 1000), is_new);
		tick(100);
	}

	/* Replays the record of the cancel of a job that was not stored. */
	void replay(const std::string &id, uint64_t run = 0)
	{
		struct cell_record record = {};

		record.kind = CELL_RECORD_TOMBSTONE;
		record.job = id.c_str();
		record.run = run;
		cell_replay(cell, &record);
	}

	enum cell_job_state state(const char *id = "j")
	{
		return cell_get_job_state(cell, id);
	}

	std::vector<std::string> snapshot() const
	{
		std::vector<std::string> ids;

		cell_snapshot(
			cell,
			[](void *ctx, const struct cell_record *r) {
				if (r->kind == CELL_RECORD_TOMBSTONE)
					static_cast<std::vector<std::string> *>(
						ctx)
						->push_back(r->job);
			},
			&ids);
		return ids;
	}

	uint32_t wait_ms = 0;
};

} // namespace

/* Guards against a job that runs after its cancel was answered with 410. */
TEST(Tombstone, JobThatIsStoredAfterItsCancelDoesNotRun)
{
	for (bool is_new : { true, false }) {
		Tombstones f;

		f.ready();
		EXPECT_NE(f.cancel("j"), 0U);
		f.durable();
		EXPECT_EQ(f.state(), CELL_JOB_UNKNOWN);
		f.add("j", is_new);
		f.tick(1000);
		EXPECT_EQ(f.starts.size(), 0U);
		EXPECT_NE(f.state(), CELL_JOB_CANCELLED);
		f.durable();
		EXPECT_EQ(f.state(), CELL_JOB_CANCELLED);
		f.add("other");
		EXPECT_EQ(f.starts.size(), 1U);
	}
}

/* Guards against a run of an earlier holder that goes on after the cancel. */
TEST(Tombstone, RunOfAJobThatIsStoredAfterItsCancelIsStopped)
{
	Tombstones f;

	f.ready();
	f.cancel("j");
	f.report(0, "m0", { { "j.0.0.0", 17, "" } }, {});
	f.add("j", false);
	ASSERT_EQ(f.stops.size(), 1U);
	EXPECT_EQ(f.stops[0].run, 17U);
}

/*
 * Guards against a successor that forgets the cancel, whether it knows the job
 * before it replays the journal, during that or later.
 */
TEST(Tombstone, SuccessorDoesNotRunTheJobEither)
{
	for (int when = 0; when < 3; when++) {
		Tombstones f(9);

		if (when == 0)
			f.add("j", false);
		f.replay("j");
		if (when == 1)
			f.add("j", false);
		f.ready();
		if (when == 2)
			f.add("j", false);
		f.tick(8000);
		f.durable();
		EXPECT_EQ(f.starts.size(), 0U) << when;
		EXPECT_EQ(f.state(), CELL_JOB_CANCELLED) << when;
	}
}

/* Guards against a snapshot without the cancel, which replaces its record. */
TEST(Tombstone, SnapshotKeepsItUntilItExpires)
{
	Tombstones f;

	f.ready();
	f.cancel("i");
	f.tick(10000);
	f.cancel("j");
	EXPECT_EQ(f.snapshot(), (std::vector<std::string>{ "i", "j" }));
	f.tick(RETENTION_MS - 5000);
	EXPECT_EQ(f.snapshot(), std::vector<std::string>{ "j" });
	f.tick(RETENTION_MS);
	EXPECT_EQ(f.snapshot(), std::vector<std::string>());
}

/* Guards against a tombstone that ends before the latest answer allows it. */
TEST(Tombstone, RepeatedCancelBeginsItsTimeAnew)
{
	Tombstones f;

	f.ready();
	f.cancel("j");
	f.tick(RETENTION_MS - 1000);
	EXPECT_NE(f.cancel("j"), 0U);
	f.tick(RETENTION_MS - 1000);
	f.add("j");
	EXPECT_EQ(f.starts.size(), 0U);
	EXPECT_EQ(f.snapshot().size(), 1U);
}

/* Guards against tombstones that are kept forever. */
TEST(Tombstone, JobOfAnExpiredOneRuns)
{
	Tombstones f;

	f.ready();
	f.cancel("j");
	f.tick(RETENTION_MS + 5000);
	EXPECT_EQ(f.records.size(), 2U);
	f.add("j");
	EXPECT_EQ(f.starts.size(), 1U);
}

/* Guards against a successor that cancels the job of an expired one. */
TEST(Tombstone, JobOfAnExpiredOneRunsUnderASuccessor)
{
	Tombstones f(9);

	f.add("j", false);
	f.replay("j");
	f.replay("k");
	f.add("k", false);
	f.replay("j", 1);
	f.replay("k", 1);
	f.ready();
	f.tick(8000);
	EXPECT_EQ(f.starts.size(), 2U);
}

/*
 * Guards against a job that runs under the third holder, as the tombstone that
 * cancelled it has expired under the second.
 */
TEST(Tombstone, CancelOfAStoredJobOutlivesTheTombstone)
{
	Tombstones f(9);

	f.add("j", false);
	f.replay("j");
	f.ready();
	EXPECT_EQ(f.cancelled, std::vector<std::string>{ "j" });
}

/*
 * Guards against a short retention of states, in which a write of the job may
 * still be under way.
 */
TEST(Tombstone, OutlastsTheLongestDeadline)
{
	struct cell_settings settings = {};
	struct cell_job_spec spec = CellFixture::job("j", "q", 1, 1000);
	Tombstones f;
	uint32_t wait_ms;

	cell_free(f.cell);
	settings.token = 5;
	settings.ended_job_ttl_ms = 1000;
	f.cell = cell_new(&f.owner, &settings, f.now);
	cell_replay_done(f.cell, f.now);
	cell_cancel_absent(f.cell, "j", &wait_ms, f.now);
	f.tick(RETENTION_MIN_MS - 1000);
	cell_submit(f.cell, &spec, true, f.unix_ms, f.now);
	f.durable();
	EXPECT_EQ(f.state(), CELL_JOB_CANCELLED);
}

/* Guards against the memory of any number of cancels, and a cancel dropped. */
TEST(Tombstone, TooManyAreRefusedUntilTheFirstExpires)
{
	Tombstones f;

	f.ready();
	f.cancel("first");
	f.tick(1000);
	for (size_t i = 1; i < TOMBSTONES_MAX; i++)
		ASSERT_NE(f.cancel("u" + std::to_string(i)), 0U);
	EXPECT_EQ(f.cancel("j"), 0U);
	EXPECT_EQ(f.wait_ms, RETENTION_MS - 1000);
	EXPECT_NE(f.cancel("u1"), 0U);
	f.add("j");
	EXPECT_EQ(f.starts.size(), 1U);
	f.tick(RETENTION_MS - 1000);
	EXPECT_NE(f.cancel("k"), 0U);
}

/* Guards against a successor that fills its memory with expired ones. */
TEST(Tombstone, SuccessorKeepsTheLastOnes)
{
	Tombstones f(9);

	for (size_t i = 0; i <= TOMBSTONES_MAX; i++)
		f.replay("u" + std::to_string(i));
	f.ready();
	EXPECT_EQ(f.snapshot().size(), TOMBSTONES_MAX);
	f.add("u1");
	EXPECT_EQ(f.starts.size(), 0U);
	f.add("u0");
	EXPECT_EQ(f.starts.size(), 1U);
}
