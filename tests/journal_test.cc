#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cell_fixture.h"

extern "C" {
#include "../jaycelld/holder_int.h"
}

/* Fakes of the modules that journal.c calls. */
namespace
{

/* The store takes no longer value. */
const size_t VALUE_BYTES = 1048576;

struct Commit {
	std::string value;
	pf_done done;
	void *ctx;
};

std::vector<Commit> commits;
std::vector<enum cd_status> replies;

} // namespace

extern "C" {

void pf_commit(struct pf_store *, const struct pf_txn *txn, uint32_t,
	       pf_done done, void *ctx)
{
	const char *value = static_cast<const char *>(txn->puts[0].value);

	commits.push_back({ { value, txn->puts[0].len }, done, ctx });
}

bool holder_end_call(struct holder *)
{
	return true;
}

void terms_on_confirmed(struct terms *, uint64_t)
{
}

void terms_step_down(struct terms *, const char *)
{
}

void gc_delete_later(struct gc *, const char *)
{
}

void cd_reply(struct celld *, const struct cd_origin *, enum cd_status status,
	      uint32_t)
{
	replies.push_back(status);
}

} /* extern "C" */

/* Guards against a batch of long checkpoints that the store never takes. */
TEST(Journal, BatchFitsAValueOfTheStore)
{
	const uint32_t count = 300;
	const std::string checkpoint(60000, 'c');
	CellFixture f;
	CellFixture successor(9);
	struct celld d = {};
	struct holder h = {};
	struct cell_record r = {};
	std::string task;

	d.conf.snapshot_batches = UINT32_MAX;
	h.d = &d;
	h.cell = f.cell;
	successor.queue("q", 0, 2);
	successor.submit(CellFixture::job("j", "q", count, 1), false);
	r.kind = CELL_RECORD_END;
	r.run = 11;
	r.end = CELL_END_DONE;
	r.checkpoint = checkpoint.c_str();
	for (uint32_t i = 0; i < count; i++) {
		task = "j.0.0." + std::to_string(i);
		r.task = task.c_str();
		journal_add(&h, i + 1, &r);
	}
	commits.clear();
	for (uint64_t now = 1000; h.queue_head < h.queue_count; now += 100) {
		struct pf_reply ok = {};
		Commit c;

		journal_tick(&h, now);
		ASSERT_EQ(commits.size(), 1U);
		c = commits[0];
		commits.clear();
		ASSERT_LE(c.value.size(), VALUE_BYTES);
		EXPECT_TRUE(record_replay_batch(c.value.data(), c.value.size(),
						successor.cell));
		c.done(c.ctx, &ok);
	}
	cell_replay_done(successor.cell, successor.now);
	EXPECT_EQ(cell_get_job_state(successor.cell, "j"), CELL_JOB_COMPLETED);
	journal_free(&h);
}

/* Guards against an answer to a cancel before its record is durable. */
TEST(Journal, CancelIsAnsweredWithItsStatusOnceDurable)
{
	CellFixture f;
	CellFixture successor(9);
	struct celld d = {};
	struct holder h = {};
	struct cell_record r = {};
	struct pf_reply reply = {};
	Commit c;

	d.conf.snapshot_batches = UINT32_MAX;
	h.d = &d;
	h.cell = f.cell;
	h.cancel_count = 1;
	h.cancels = static_cast<struct pending_cancel *>(
		calloc(1, sizeof(*h.cancels)));
	h.cancels[0].seq = 1;
	h.cancels[0].status = CD_GONE;
	r.kind = CELL_RECORD_TOMBSTONE;
	r.job = "j";
	journal_add(&h, 1, &r);
	commits.clear();
	replies.clear();
	journal_tick(&h, 1000);
	ASSERT_EQ(commits.size(), 1U);
	c = commits[0];
	reply.status = PF_UNKNOWN;
	c.done(c.ctx, &reply);
	EXPECT_TRUE(replies.empty());
	journal_tick(&h, loop_now_ms() + 1000);
	ASSERT_EQ(commits.size(), 2U);
	EXPECT_EQ(commits[1].value, c.value);
	reply.status = PF_OK;
	c.done(c.ctx, &reply);
	EXPECT_EQ(replies, std::vector<enum cd_status>{ CD_GONE });
	EXPECT_TRUE(record_replay_batch(c.value.data(), c.value.size(),
					successor.cell));
	cell_replay_done(successor.cell, successor.now);
	successor.submit(CellFixture::job("j", "q", 1, 1), false);
	successor.durable();
	EXPECT_EQ(cell_get_job_state(successor.cell, "j"), CELL_JOB_CANCELLED);
	journal_free(&h);
}
