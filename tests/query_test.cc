#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "../jaycelld/holder_int.h"
}

/* Queries to a holder that knows no job, with a fake store. */
namespace
{

struct Call {
	pf_done done;
	void *ctx;
};

std::vector<Call> reads;
std::vector<enum cd_status> replies;
uint32_t reply_number;
std::vector<uint64_t> records; /* sequence numbers */
bool is_valid;
bool fails_at_once;

void answer(enum pf_status status)
{
	struct pf_reply reply = {};
	Call call = reads.front();

	reads.erase(reads.begin());
	reply.status = status;
	call.done(call.ctx, &reply);
}

} // namespace

extern "C" {

void pf_get(struct pf_store *, const char *, uint32_t, pf_done done, void *ctx)
{
	reads.push_back({ done, ctx });
	if (fails_at_once)
		answer(PF_UNKNOWN);
}

void cd_reply(struct celld *, const struct cd_origin *, enum cd_status status,
	      uint32_t number)
{
	replies.push_back(status);
	reply_number = number;
}

bool terms_valid(const struct terms *, uint64_t)
{
	return is_valid;
}

bool holder_end_call(struct holder *h)
{
	h->calls_in_flight--;
	return !h->closed;
}

void holder_add_jobs(struct holder *, const struct pf_reply *)
{
}

void accept_job(struct acceptor *, const char *, const struct buf *, bool,
		uint64_t, cd_done, void *)
{
}

} // extern "C"

namespace
{

struct Fixture {
	struct celld d = {};
	struct holder h = {};

	Fixture()
	{
		static struct cell_ops ops;
		struct cell_settings settings = {};

		ops.record = [](struct cell_owner *, uint64_t seq,
				const struct cell_record *) {
			records.push_back(seq);
		};
		h.owner.ops = &ops;
		reads.clear();
		replies.clear();
		records.clear();
		is_valid = true;
		fails_at_once = false;
		d.conf.store_lookups = 10;
		h.d = &d;
		h.phase = PHASE_READY;
		h.cell = cell_new(&h.owner, &settings, 0);
	}

	~Fixture()
	{
		cell_free(h.cell);
		free(h.cancels);
	}

	void cancel(const std::string &id)
	{
		struct cd_origin origin = {};

		holder_query(&h, &origin, CD_OP_CANCEL, id.c_str(), nullptr);
	}

	void ask(size_t count)
	{
		struct cd_origin origin = {};

		for (size_t i = 0; i < count; i++)
			holder_query(&h, &origin, CD_OP_STATE,
				     "00000000000000ff", nullptr);
	}
};

/* Guards against a descriptor for each of many requests for unknown jobs. */
TEST(Query, LookupsInTheStoreAreBoundedAndAllAnswered)
{
	Fixture f;

	f.ask(300);
	EXPECT_EQ(10u, reads.size());
	while (!reads.empty()) {
		answer(PF_MISSING);
		EXPECT_LE(reads.size(), 10u);
	}
	EXPECT_EQ(std::vector<enum cd_status>(300, CD_GONE), replies);
	EXPECT_EQ(0u, f.h.calls_in_flight);
	f.ask(1);
	EXPECT_EQ(1u, reads.size());
	answer(PF_MISSING);
}

/* Guards against queued requests that are never answered, or by a past term. */
TEST(Query, QueuedLookupsAreRefusedAfterTheTerm)
{
	Fixture f;

	f.ask(30);
	is_valid = false;
	answer(PF_MISSING);
	EXPECT_EQ(21u, replies.size());
	EXPECT_EQ(CD_RETRY, replies[0]);
	EXPECT_EQ(9u, f.h.calls_in_flight);
	f.h.closed = true;
	while (!reads.empty())
		answer(PF_MISSING);
	EXPECT_EQ(30u, replies.size());
	EXPECT_EQ(0u, f.h.calls_in_flight);
}

TEST(Query, LookupsThatFailAtOnceAreAnswered)
{
	Fixture f;

	fails_at_once = true;
	f.ask(50);
	EXPECT_EQ(std::vector<enum cd_status>(50, CD_RETRY), replies);
	EXPECT_EQ(0u, f.h.calls_in_flight);
	EXPECT_EQ(0u, f.h.lookups);
}

/*
 * Guards against an answer to the cancel of an unknown job that a successor
 * does not know of: a write of the job may be under way.
 */
TEST(Query, CancelOfAnUnknownJobIsAnsweredOnceDurable)
{
	Fixture f;

	f.cancel("00000000000000ff");
	answer(PF_MISSING);
	EXPECT_TRUE(replies.empty());
	ASSERT_EQ(1u, f.h.cancel_count);
	ASSERT_EQ(1u, records.size());
	EXPECT_EQ(records[0], f.h.cancels[0].seq);
	EXPECT_EQ(CD_GONE, f.h.cancels[0].status);
}

/* Guards against an answer that takes a failed read for a missing job. */
TEST(Query, CancelWithoutAnAnswerOfTheStoreIsNotAnswered)
{
	Fixture f;

	f.cancel("00000000000000ff");
	answer(PF_UNKNOWN);
	EXPECT_EQ(std::vector<enum cd_status>{ CD_RETRY }, replies);
	EXPECT_EQ(0u, records.size());
}

/* Guards against a 410 for a cancel that is kept nowhere. */
TEST(Query, CancelsOfUnknownJobsAreRefusedBeyondABound)
{
	Fixture f;
	uint64_t kept = 0;

	while (replies.empty() && kept < 100000) {
		f.cancel("id" + std::to_string(kept++));
		answer(PF_MISSING);
	}
	EXPECT_EQ(std::vector<enum cd_status>{ CD_REFUSED }, replies);
	EXPECT_EQ(kept - 1, f.h.cancel_count);
	EXPECT_GT(reply_number, 60u);
	EXPECT_LE(reply_number, 91u);
}

} // namespace
