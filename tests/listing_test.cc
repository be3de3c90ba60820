#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "../jaycelld/holder_int.h"
}

/* Fakes of the store client and of the holder. */
namespace
{

struct Call {
	pf_done done;
	void *ctx;
	std::string after; /* of a page */
	uint64_t revision; /* of a watch */
};

std::vector<Call> pages;
std::vector<Call> watches;

} // namespace

extern "C" {

void pf_range(struct pf_store *, const char *, const char *after, uint32_t,
	      pf_done done, void *ctx)
{
	pages.push_back({ done, ctx, after ? after : "", 0 });
}

void pf_watch(struct pf_store *, const char *, uint64_t after, uint32_t,
	      pf_done done, void *ctx)
{
	watches.push_back({ done, ctx, "", after });
}

bool holder_end_call(struct holder *)
{
	return true;
}

static void no_event(struct cell_owner *, const struct cell_event *)
{
}

static void no_poll(struct cell_owner *, uint32_t)
{
}

} /* extern "C" */

namespace
{

struct Item {
	std::string key;
	std::string value; /* empty: deleted */
};

std::string minion_entry(const std::string &address)
{
	return R"({"service":"s","address":")" + address +
	       R"(","zone":"z","state":"ready","capacity":{"cpu":1000,)" +
	       R"("mem_mb":100,"gpu":0},"labels":["a"],"born":1})";
}

void answer(const Call &call, uint64_t revision, const std::vector<Item> &items,
	    bool more = false, enum pf_status status = PF_OK)
{
	std::vector<struct pf_item> rows(items.size());
	struct pf_reply reply = {};

	for (size_t i = 0; i < items.size(); i++) {
		rows[i] = {};
		rows[i].key = items[i].key.c_str();
		rows[i].revision = revision;
		if (!items[i].value.empty()) {
			rows[i].value = items[i].value.c_str();
			rows[i].value_len = items[i].value.size();
		}
	}
	reply.status = status;
	reply.read_revision = revision;
	reply.items = rows.data();
	reply.count = (uint32_t)rows.size();
	reply.more = more;
	call.done(call.ctx, &reply);
}

class Listing : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct cell_settings settings = {};

		pages.clear();
		watches.clear();
		ops.event = no_event;
		ops.poll = no_poll;
		h.owner.ops = &ops;
		h.d = &d;
		settings.token = 1;
		h.cell = cell_new(&h.owner, &settings, 0);
		h.listing = listing_new(&h);
	}

	void TearDown() override
	{
		listing_free(h.listing);
		cell_free(h.cell);
	}

	uint32_t listed()
	{
		struct cell_stats stats;

		cell_get_stats(h.cell, &stats);
		return stats.minions;
	}

	/* Reads two minions in two pages, as of revision 5. */
	void read_two()
	{
		listing_tick(h.listing, now += 1000);
		ASSERT_EQ(pages.size(), 1U);
		answer(pages[0], 5,
		       { { "servers/m1", minion_entry("10.0.0.1:1") } }, true);
		ASSERT_EQ(pages.size(), 2U);
		EXPECT_EQ(pages[1].after, "servers/m1");
		answer(pages[1], 6,
		       { { "servers/m2", minion_entry("10.0.0.2:1") } });
		EXPECT_EQ(listed(), 2U);
	}

	struct cell_ops ops = {};
	struct celld d = {};
	struct holder h = {};
	uint64_t now = loop_now_ms();
};

} // namespace

/*
 * Guards against a full list of all minions in each poll, which on thin links
 * leaves no room for renewals of the lease. Changes since the first page count.
 */
TEST_F(Listing, OnlyChangesAreReadAfterTheFirstList)
{
	read_two();
	listing_tick(h.listing, now += 1000);
	EXPECT_EQ(pages.size(), 2U);
	ASSERT_EQ(watches.size(), 1U);
	EXPECT_EQ(watches[0].revision, 5U);
	answer(watches[0], 9,
	       { { "servers/m3", minion_entry("10.0.0.3:1") },
		 { "servers/m1", "" } });
	EXPECT_EQ(listed(), 2U);
	listing_tick(h.listing, now += 1000);
	ASSERT_EQ(watches.size(), 2U);
	EXPECT_EQ(watches[1].revision, 9U);
	answer(watches[1], 9, { { "servers/m3", "" } });
	EXPECT_EQ(listed(), 1U);
}

/* Guards against the use of a minion whose entry another writer has broken. */
TEST_F(Listing, MalformedEntryNamesNoMinion)
{
	read_two();
	listing_tick(h.listing, now += 1000);
	answer(watches[0], 9, { { "servers/m2", "{\"service\":7" } });
	EXPECT_EQ(listed(), 1U);
}

/*
 * Guards against a minion that has left and stays in use, because the history
 * with its end was discarded while no watch was open.
 */
TEST_F(Listing, IsReadInFullWhenHistoryIsGoneOrOld)
{
	read_two();
	listing_tick(h.listing, now += 1000);
	answer(watches[0], 0, {}, false, PF_COMPACTED);
	listing_tick(h.listing, now);
	ASSERT_EQ(pages.size(), 3U);
	answer(pages[2], 30, { { "servers/m2", minion_entry("10.0.0.2:1") } });
	EXPECT_EQ(listed(), 1U);
	listing_tick(h.listing, now += 20000);
	EXPECT_EQ(pages.size(), 4U);
}

/*
 * Guards against a list that falls behind: a watch that has timed out would
 * have more to return the next time.
 */
TEST_F(Listing, IsReadInFullAfterAWatchWithoutAResponse)
{
	read_two();
	listing_tick(h.listing, now += 1000);
	answer(watches[0], 0, {}, false, PF_UNKNOWN);
	listing_tick(h.listing, now);
	EXPECT_EQ(watches.size(), 1U);
	ASSERT_EQ(pages.size(), 3U);
	answer(pages[2], 30, { { "servers/m2", minion_entry("10.0.0.2:1") } });
	EXPECT_EQ(listed(), 1U);
}
