#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "../jaycelld/celld.h"
}

/* Stand-ins of the connection to the holder. */
namespace
{

bool linked;
std::vector<uint32_t> sent;
/* What lives as long as the process, as in the daemon. */
std::vector<void *> &kept = *new std::vector<void *>;

} // namespace

extern "C" {

bool links_up(const struct links *)
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

void holder_query(struct holder *, const struct cd_asker *, enum cd_op,
		  const char *, const struct buf *)
{
}

} /* extern "C" */

namespace
{

class Asks : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		sent.clear();
		linked = true;
		d.loop = loop_new();
		asks = asks_new(&d);
		kept.push_back(d.loop);
		kept.push_back(asks);
		now = loop_now_ms();
	}

	void submit()
	{
		struct buf record = buf_str("record");

		asks_send(asks, CD_OP_SUBMIT, "a", &record, now + 1300, on_done,
			  this);
		buf_free(&record);
	}

	static void on_done(void *ctx, enum cd_answer answer, uint32_t)
	{
		static_cast<Asks *>(ctx)->answers.push_back(answer);
	}

	struct celld d = {};
	struct asks *asks = nullptr;
	uint64_t now = 0;
	std::vector<enum cd_answer> answers;
};

} // namespace

/* Guards against a refusal by the holder that is lost on its way. */
TEST_F(Asks, ARefusalOfTheOnlyCopyIsPassedOn)
{
	submit();
	ASSERT_EQ(sent.size(), 1U);
	asks_answer(asks, sent[0], CD_REFUSED, 0);
	EXPECT_EQ(answers, (std::vector<enum cd_answer>{ CD_REFUSED }));
}

/*
 * Guards against "not run" for a job that the former holder may have stored:
 * its successor, which got the second copy, knows nothing of the first.
 */
TEST_F(Asks, ARefusalOfTheSecondCopyIsNotCertain)
{
	submit();
	asks_holder_changed(asks);
	asks_tick(asks, now + 50);
	ASSERT_EQ(sent.size(), 2U);
	asks_answer(asks, sent[1], CD_REFUSED, 0);
	EXPECT_EQ(answers, (std::vector<enum cd_answer>{ CD_UNKNOWN }));
}

/* Guards against a caller that is told "maybe" of what nobody has begun. */
TEST_F(Asks, AHolderThatWasNotReadyHasBegunNothing)
{
	submit();
	asks_answer(asks, sent[0], CD_RETRY, 0);
	asks_tick(asks, loop_now_ms() + 50);
	ASSERT_EQ(sent.size(), 2U);
	asks_answer(asks, sent[1], CD_REFUSED, 0);
	EXPECT_EQ(answers, (std::vector<enum cd_answer>{ CD_REFUSED }));
}

/* Guards against either certainty for a copy whose answer never came. */
TEST_F(Asks, WithoutAnAnswerTheFateDependsOnWhetherItWasSent)
{
	submit();
	linked = false;
	submit();
	ASSERT_EQ(sent.size(), 1U);
	asks_tick(asks, now + 2000);
	EXPECT_EQ(answers,
		  (std::vector<enum cd_answer>{ CD_UNKNOWN, CD_REFUSED }));
}
