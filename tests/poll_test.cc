#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "cell_fixture.h"

extern "C" {
#include "cell/cell_int.h"
}

namespace
{

constexpr uint64_t NEVER = UINT64_MAX;
constexpr uint64_t TICK_MS = 10;
/* A response that is this late is overdue on links that were fast so far. */
constexpr uint64_t LEAST_TIMEOUT_MS = 700;
constexpr uint64_t LATE_MS = 1200;

struct Poll {
	uint32_t minion;
	std::string id;
	uint64_t sent_ms;
	uint32_t wait_ms;
	uint32_t timeout_ms;
	uint64_t deadline_ms;
	bool fresh;
	bool open = true;

	uint64_t due_ms(uint64_t late_ms) const
	{
		return late_ms == NEVER ? NEVER : sent_ms + wait_ms + late_ms;
	}
};

/*
 * A cell whose minions respond by themselves, each late by late_ms[], as long
 * as the holder waits. Their runs go on for ever.
 */
struct Links : CellFixture {
	struct cell_ops own_ops;
	std::vector<Poll> sent;
	std::vector<uint64_t> late_ms;
	std::vector<uint32_t> order_timeout_ms; /* of the starts */
	std::vector<std::string> silent;
	std::vector<std::string> back;
	uint32_t most_open = 0;

	static Links *of_links(struct cell_owner *o)
	{
		return static_cast<Links *>(of(o));
	}

	void on_poll(uint32_t minion)
	{
		struct cell_poll p;

		ASSERT_TRUE(cell_poll_request(cell, minion, &p, now));
		sent.push_back({ minion, p.id, p.sent_ms, p.wait_ms,
				 p.timeout_ms, p.deadline_ms, p.fresh });
	}

	/* @az of each minion. */
	explicit Links(const std::vector<std::string> &az)
	{
		std::vector<struct cell_minion_info> infos;

		own_ops = *owner.ops;
		own_ops.poll = [](struct cell_owner *o, uint32_t minion) {
			of_links(o)->on_poll(minion);
		};
		own_ops.start = [](struct cell_owner *o,
				   const struct cell_start *s) {
			of(o)->starts.push_back({ s->minion, s->minion_id,
						  s->task, s->run, "",
						  s->deadline_ms });
			of_links(o)->order_timeout_ms.push_back(s->timeout_ms);
			cell_on_start(of(o)->cell, s->minion, s->task, s->run,
				      CELL_OK, of(o)->now);
		};
		own_ops.event = [](struct cell_owner *o,
				   const struct cell_event *e) {
			if (!strcmp(e->what, "minion-silent"))
				of_links(o)->silent.push_back(e->minion);
			else if (!strcmp(e->what, "minion-back"))
				of_links(o)->back.push_back(e->minion);
		};
		owner.ops = &own_ops;
		queue("q", 0, 2);
		cell_replay_done(cell, now);
		for (size_t i = 0; i < az.size(); i++) {
			infos.push_back(minion("m" + std::to_string(i), 8000));
			snprintf(infos[i].az, sizeof(infos[i].az), "%s",
				 az[i].c_str());
		}
		late_ms.assign(az.size(), 0);
		cell_set_minions(cell, infos.data(),
				 static_cast<uint32_t>(az.size()), now);
		run(100);
	}

	std::vector<Row> rows(uint32_t minion) const
	{
		std::vector<Row> list;

		for (const Order &s : starts) {
			if (s.minion == minion)
				list.push_back({ s.task, s.run, "" });
		}
		return list;
	}

	void respond(Poll &p, const std::vector<End> &ends = {})
	{
		std::vector<Row> running = rows(p.minion);

		for (const End &end : ends)
			running.erase(
				std::remove_if(running.begin(), running.end(),
					       [&](const Row &r) {
						       return r.run == end.run;
					       }),
				running.end());
		p.open = false;
		report(p.minion, p.id, running, ends, now - p.sent_ms);
		durable();
	}

	void fail(Poll &p)
	{
		p.open = false;
		cell_on_poll_failed(cell, p.minion, p.id.c_str(),
				    CELL_NO_ANSWER, p.sent_ms, now);
	}

	uint32_t open_polls(uint32_t minion) const
	{
		return static_cast<uint32_t>(std::count_if(
			sent.begin(), sent.end(), [&](const Poll &p) {
				return p.open && p.minion == minion;
			}));
	}

	void run(uint64_t ms)
	{
		for (uint64_t end = now + ms; now < end;) {
			tick(TICK_MS);
			for (size_t i = 0; i < sent.size(); i++) {
				Poll p = sent[i];

				if (!p.open)
					continue;
				if (now >= p.due_ms(late_ms[p.minion]))
					respond(sent[i]);
				else if (now >= p.sent_ms + p.timeout_ms)
					fail(sent[i]);
			}
			for (uint32_t i = 0; i < late_ms.size(); i++)
				most_open = std::max(most_open, open_polls(i));
		}
	}

	Poll &latest(uint32_t minion)
	{
		for (size_t i = sent.size(); i > 0; i--) {
			if (sent[i - 1].minion == minion)
				return sent[i - 1];
		}
		abort();
	}

	/* Runs until @ms after the response to the latest poll was due. */
	void run_past_due(uint32_t minion, uint64_t ms)
	{
		Poll p = latest(minion);

		run(p.due_ms(ms) - now);
	}

	bool is_silent(uint32_t minion) const
	{
		return cell->minions[minion]->failing;
	}

	uint32_t timeout_ms(uint32_t minion) const
	{
		return cell_order_timeout_ms(cell, cell->minions[minion]);
	}

	std::set<std::string> silent_ids() const
	{
		return { silent.begin(), silent.end() };
	}
};

/* One minion that runs a task, and another one that is free. */
struct OneRun : Links {
	uint32_t on = 0;

	OneRun() : Links({ "a", "a" })
	{
		submit(job("j", "q", 1, 1000));
		run(TICK_MS);
		if (starts.size() == 1)
			on = starts[0].minion;
	}

	/* The minion no longer responds, and its latest poll is overdue. */
	Poll overdue_poll()
	{
		late_ms[on] = NEVER;
		run_past_due(on, 0);
		Poll p = latest(on);
		run_past_due(on, LEAST_TIMEOUT_MS + TICK_MS);
		return p;
	}
};

} // namespace

TEST(Poll, LateResponseOfAnOverduePollIsUsed)
{
	OneRun f;

	ASSERT_EQ(f.starts.size(), 1U);
	Poll p = f.overdue_poll();
	ASSERT_TRUE(f.is_silent(f.on));
	f.respond(p, { { 1, "j.0.0.0", f.starts[0].run, CELL_END_DONE, "" } });
	EXPECT_FALSE(f.is_silent(f.on));
	f.run(8000);
	EXPECT_EQ(f.starts.size(), 1U);
	EXPECT_EQ(cell_get_job_state(f.cell, "j"), CELL_JOB_COMPLETED);
}

TEST(Poll, LateResponseRenewsTheLeaseAtOnce)
{
	OneRun f;

	ASSERT_EQ(f.starts.size(), 1U);
	Poll p = f.overdue_poll();
	uint64_t former = p.deadline_ms;
	f.respond(p);
	f.tick(TICK_MS);
	EXPECT_EQ(f.latest(f.on).sent_ms, f.now);
	EXPECT_EQ(f.latest(f.on).wait_ms, 0U);
	EXPECT_GT(f.latest(f.on).deadline_ms, former);
}

TEST(Poll, RunsAreKeptWhileEveryResponseIsLate)
{
	for (uint64_t late : { 800, 1200, 2000 }) {
		OneRun f;

		ASSERT_EQ(f.starts.size(), 1U);
		f.late_ms[f.on] = late;
		f.run(30000);
		EXPECT_EQ(f.starts.size(), 1U) << late;
		EXPECT_EQ(f.settled.size(), 0U) << late;
		EXPECT_FALSE(f.silent.empty()) << late;
	}
}

TEST(Poll, MinionWithoutResponsesIsSilentAfterTheLeastTimeout)
{
	OneRun f;

	f.late_ms[0] = NEVER;
	Poll p = f.latest(0);
	f.run(p.due_ms(LEAST_TIMEOUT_MS) - TICK_MS - f.now);
	EXPECT_FALSE(f.is_silent(0));
	f.run(2 * TICK_MS);
	EXPECT_TRUE(f.is_silent(0));
	EXPECT_FALSE(f.is_silent(1));
}

TEST(Poll, MinionWithoutResponsesIsGivenUpWhenItsLeaseEnds)
{
	OneRun f;

	ASSERT_EQ(f.starts.size(), 1U);
	f.late_ms[f.on] = NEVER;
	f.run(9000);
	ASSERT_EQ(f.starts.size(), 2U);
	EXPECT_EQ(f.starts[1].task, "j.0.0.0");
	EXPECT_NE(f.starts[1].minion, f.on);
}

TEST(Poll, TimeoutFollowsTheResponseTimesOfItsZone)
{
	Links f({ "a", "a", "a", "a", "b", "b", "b", "b" });
	uint32_t least = f.timeout_ms(0);

	for (int i = 0; i < 4; i++)
		f.late_ms[i] = LATE_MS;
	f.run(60000);
	EXPECT_GT(f.timeout_ms(0), LATE_MS);
	EXPECT_EQ(f.timeout_ms(4), least);
	EXPECT_EQ(f.silent_ids().count("m4"), 0U);

	/* Responses that are as late as before are not overdue any more. */
	f.silent.clear();
	f.run(10000);
	EXPECT_EQ(f.silent.size(), 0U);

	/* Starts wait as long. */
	f.submit(CellFixture::job("j", "q", 16, 4000));
	f.run(TICK_MS);
	ASSERT_EQ(f.starts.size(), 16U);
	for (size_t i = 0; i < f.starts.size(); i++) {
		if (f.starts[i].minion < 4)
			EXPECT_GT(f.order_timeout_ms[i], LATE_MS);
		else
			EXPECT_EQ(f.order_timeout_ms[i], least);
	}

	for (int i = 0; i < 4; i++)
		f.late_ms[i] = 0;
	f.run(120000);
	EXPECT_EQ(f.timeout_ms(0), least);
}

TEST(Poll, FailureOfAnOverduePollDoesNotSilenceAMinionThatRespondedSince)
{
	OneRun f;
	Poll p = f.overdue_poll();

	ASSERT_TRUE(f.is_silent(f.on));
	f.late_ms[f.on] = 0;
	f.run(500);
	ASSERT_FALSE(f.is_silent(f.on));
	f.silent.clear();
	f.fail(p);
	EXPECT_FALSE(f.is_silent(f.on));
	f.run(10000);
	EXPECT_EQ(f.silent.size(), 0U);
}

TEST(Poll, OpenPollsOfAMinionAreLimited)
{
	OneRun f;

	f.late_ms[f.on] = NEVER;
	for (int i = 0; i < 100; i++) {
		f.cell->minions[f.on]->poll_now = true;
		f.run(TICK_MS);
	}
	EXPECT_EQ(f.most_open, static_cast<uint32_t>(CELL_POLLS_MAX));

	/* It is polled again as soon as one of them has failed. */
	size_t polls = f.sent.size();
	f.run(6000);
	EXPECT_GT(f.sent.size(), polls);
	EXPECT_EQ(f.most_open, static_cast<uint32_t>(CELL_POLLS_MAX));
	f.late_ms[f.on] = 0;
	f.run(1000);
	EXPECT_FALSE(f.is_silent(f.on));
}

TEST(Poll, MinionIsPolledOnAFreshConnectionOnlyWhileItIsSilent)
{
	OneRun f;

	f.run(5000);
	for (const Poll &p : f.sent)
		EXPECT_FALSE(p.fresh);
	f.overdue_poll();
	f.run(TICK_MS);
	EXPECT_TRUE(f.latest(f.on).fresh);
	f.run(1000);
	EXPECT_TRUE(f.latest(f.on).fresh);
	f.late_ms[f.on] = 0;
	f.run(2000);
	EXPECT_FALSE(f.latest(f.on).fresh);
}

TEST(Poll, OvertakenReportDoesNotSetTheClockBack)
{
	CellFixture f;
	struct cell_report old = {};
	struct cell_minion *m;
	uint64_t deadline;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.minions(1, 8000);
	m = cell_minion_get(f.cell, 0, nullptr);
	old.born_unix_ms = f.born_unix_ms;
	old.clock_ms = f.now - 50000; /* its clock now */
	uint64_t old_sent = f.now;
	f.tick(4000);
	f.report(0, "m0", {}, {}, 10);
	deadline = cell_minion_renew_lease(f.cell, m, f.now);
	cell_on_report(f.cell, 0, "m0", &old, old_sent, f.now);
	EXPECT_GE(cell_minion_renew_lease(f.cell, m, f.now), deadline);
}

TEST(Poll, NewMinionHasAsLongToRespondAsOthers)
{
	CellFixture f;
	struct cell_poll p;

	f.queue("q", 0, 2);
	cell_replay_done(f.cell, f.now);
	f.list(1, 8000);
	f.tick();
	ASSERT_EQ(f.polls.size(), 1U);
	ASSERT_TRUE(cell_poll_request(f.cell, 0, &p, f.now));
	EXPECT_GE(p.timeout_ms, 3500U);
}
