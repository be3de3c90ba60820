#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "../jaycelld/celld.h"
}

/* Fakes of the connection to the holder. */
namespace
{

bool linked;
std::vector<uint32_t> sent;
/* Keeps objects that are never freed reachable, for the leak checker. */
std::vector<void *> &kept = *new std::vector<void *>;

} // namespace

extern "C" {

bool links_holder_up(const struct links *)
{
	return linked;
}

bool links_send_query(struct links *, uint32_t ref, enum cd_op, const char *,
		      const struct buf *)
{
	sent.push_back(ref);
	return true;
}

bool holder_ready(const struct holder *)
{
	return false;
}

void holder_query(struct holder *, const struct cd_origin *, enum cd_op,
		  const char *, const struct buf *)
{
}

} /* extern "C" */

namespace
{

class Rpc : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		sent.clear();
		linked = true;
		d.loop = loop_new();
		rpc = rpc_new(&d);
		kept.push_back(d.loop);
		kept.push_back(rpc);
		now = loop_now_ms();
	}

	void submit()
	{
		struct buf record = buf_str("record");

		rpc_call(rpc, CD_OP_SUBMIT, "a", &record, now + 1300, on_done,
			 this);
		buf_free(&record);
	}

	static void on_done(void *ctx, enum cd_status status, uint32_t)
	{
		static_cast<Rpc *>(ctx)->answers.push_back(status);
	}

	struct celld d = {};
	struct rpc *rpc = nullptr;
	uint64_t now = 0;
	std::vector<enum cd_status> answers;
};

} // namespace

/* Guards against losing a refusal by the holder. */
TEST_F(Rpc, RefusalOfTheOnlyCopyIsReported)
{
	submit();
	ASSERT_EQ(sent.size(), 1U);
	rpc_reply(rpc, sent[0], CD_REFUSED, 0);
	EXPECT_EQ(answers, (std::vector<enum cd_status>{ CD_REFUSED }));
}

/*
 * Guards against reporting a job as not run that the former holder may have
 * stored: the new holder refuses the second copy and has not seen the first.
 */
TEST_F(Rpc, RefusalOfTheSecondCopyIsUncertain)
{
	submit();
	rpc_holder_changed(rpc);
	rpc_tick(rpc, now + 50);
	ASSERT_EQ(sent.size(), 2U);
	rpc_reply(rpc, sent[1], CD_REFUSED, 0);
	EXPECT_EQ(answers, (std::vector<enum cd_status>{ CD_UNKNOWN }));
}

/* Guards against an unknown outcome for a job that no holder has started. */
TEST_F(Rpc, CopyReturnedAsNotReadyDoesNotCount)
{
	submit();
	rpc_reply(rpc, sent[0], CD_RETRY, 0);
	rpc_tick(rpc, loop_now_ms() + 50);
	ASSERT_EQ(sent.size(), 2U);
	rpc_reply(rpc, sent[1], CD_REFUSED, 0);
	EXPECT_EQ(answers, (std::vector<enum cd_status>{ CD_REFUSED }));
}

/* Guards against a definite outcome for a copy without a response. */
TEST_F(Rpc, TimeoutStatusDependsOnWhetherACopyWasSent)
{
	submit();
	linked = false;
	submit();
	ASSERT_EQ(sent.size(), 1U);
	rpc_tick(rpc, now + 2000);
	EXPECT_EQ(answers,
		  (std::vector<enum cd_status>{ CD_UNKNOWN, CD_REFUSED }));
}
