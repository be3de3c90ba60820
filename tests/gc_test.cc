#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "../jaycelld/celld.h"
}

/* Fake of the store that gc.c writes to. */
namespace
{

struct Commit {
	std::vector<std::string> keys;
	uint64_t condition;
	pf_done done;
	void *ctx;
};

std::vector<Commit> commits;

void respond(enum pf_status status, uint64_t revision)
{
	Commit c = commits.back();
	struct pf_reply reply = {};

	commits.pop_back();
	reply.status = status;
	reply.revision = revision;
	c.done(c.ctx, &reply);
}

struct Collector {
	struct celld d = {};
	std::vector<std::string> deleted;
	struct gc *gc;

	Collector()
	{
		commits.clear();
		gc = gc_new(
			&d, 7,
			[](void *ctx, const char *key, uint64_t revision) {
				static_cast<Collector *>(ctx)
					->deleted.push_back(
						std::string(key) + "@" +
						std::to_string(revision));
			},
			this);
	}

	~Collector()
	{
		gc_free(gc);
	}
};

} // namespace

extern "C" {

void pf_commit(struct pf_store *, const struct pf_txn *txn, uint32_t,
	       pf_done done, void *ctx)
{
	Commit c{ {}, txn->conditions[0].revision, done, ctx };

	for (uint32_t i = 0; i < txn->delete_count; i++)
		c.keys.push_back(txn->deletes[i]);
	commits.push_back(c);
}

} /* extern "C" */

/* Guards against expired jobs that pile up, and against calls without bound. */
TEST(Gc, QueueDrainsAtTheRatesOfTheSites)
{
	const uint32_t seconds = 60;
	const uint32_t jobs_per_s = 500;
	const uint32_t writes_per_s = 400;
	const uint32_t txn_entries_max = 32;
	Collector c;
	uint32_t calls = 0;

	for (uint32_t ms = 10; ms <= seconds * 1000; ms += 10) {
		for (uint32_t i = 0; i < jobs_per_s / 100; i++)
			gc_delete_later(c.gc, "jay/job/a");
		gc_tick(c.gc, ms);
		if (commits.empty())
			continue;
		calls++;
		ASSERT_LE(commits[0].keys.size() + 1, txn_entries_max);
		respond(PF_OK, ms);
	}
	EXPECT_GE(c.deleted.size() + 2 * jobs_per_s, seconds * jobs_per_s);
	EXPECT_LE(calls, seconds * writes_per_s / 20);
}

/* Guards against a job that is forgotten while the store may hold it. */
TEST(Gc, KeyCountsAsDeletedOnlyWithTheResponse)
{
	Collector c;
	uint64_t now = 0;

	gc_delete_later(c.gc, "jay/job/a");
	gc_delete_later(c.gc, "jay/job/b");
	for (enum pf_status lost :
	     { PF_UNKNOWN, PF_REJECTED, PF_NOT_SENT, PF_CONFLICT }) {
		gc_tick(c.gc, now += 1000);
		ASSERT_EQ(commits.size(), 1U);
		EXPECT_EQ(commits[0].condition, 7U);
		respond(lost, 0);
		EXPECT_EQ(c.deleted.size(), 0U);
	}
	gc_tick(c.gc, now + 1000);
	ASSERT_EQ(commits.size(), 1U);
	respond(PF_OK, 41);
	EXPECT_EQ(c.deleted,
		  (std::vector<std::string>{ "jay/job/a@41", "jay/job/b@41" }));
}
