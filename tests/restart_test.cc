#include <gtest/gtest.h>

#include "cell_fixture.h"

namespace
{

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
};

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

TEST(Restart, LateAnswerFromAFormerAddressDoesNotReleaseRuns)
{
	StartedTask f;
	struct cell_minion_info infos[2];

	ASSERT_EQ(f.starts.size(), 1U);
	cell_on_start(f.cell, f.minion, "j.0.0.0", f.starts[0].run, CELL_OK,
		      f.now);
	for (int i = 0; i < 2; i++) {
		infos[i] = CellFixture::minion("m" + std::to_string(i), 8000);
		snprintf(infos[i].addr, sizeof(infos[i].addr), "10.0.0.2:%d",
			 80 + i);
	}
	cell_set_minions(f.cell, infos, 2, f.now);
	f.report(f.minion, f.id, { { "j.0.0.0", f.starts[0].run, "" } }, {});
	cell_on_poll_failed(f.cell, f.minion, f.id.c_str(),
			    CELL_OTHER_INCARNATION, f.now, f.now);
	f.durable();
	f.tick(100);
	f.durable();
	f.tick(100);
	EXPECT_EQ(f.starts.size(), 1U);
}
