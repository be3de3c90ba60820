#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "../jaycelld/holder_int.h"
#include "cell/cell_int.h"
}

/* Fakes of the store client and of the modules that holder.c calls. */
namespace
{

struct Call {
	pf_done done;
	void *ctx;
	uint64_t after; /* revision that a watch starts from */
};

std::vector<Call> ranges;
std::vector<Call> watches;
struct term_leases leases;
uint64_t store_ms; /* when the store last confirmed the term */

struct Batch {
	std::string key;
	std::string value;
	Call call;
};

std::vector<Batch> commits;
std::vector<std::string> deleted; /* keys, in order */

void answer(std::vector<Call> &calls, enum pf_status status, uint64_t revision,
	    const char *key = nullptr, bool more = false)
{
	struct pf_item item = {};
	struct pf_reply reply = {};
	Call call = calls.back();

	calls.pop_back();
	item.key = key;
	reply.status = status;
	reply.read_revision = revision;
	reply.items = &item;
	reply.count = key ? 1 : 0;
	reply.more = more;
	call.done(call.ctx, &reply);
}

} // namespace

extern "C" {

static void op_record(struct cell_owner *owner, uint64_t seq,
		      const struct cell_record *record)
{
	journal_add(reinterpret_cast<struct holder *>(owner), seq, record);
}

static void op_event(struct cell_owner *, const struct cell_event *)
{
}

static struct cell_ops make_ops()
{
	struct cell_ops ops = {};

	ops.record = op_record;
	ops.event = op_event;
	return ops;
}

extern const struct cell_ops holder_ops;
const struct cell_ops holder_ops = make_ops();

void pf_range(struct pf_store *, const char *, const char *, uint32_t,
	      pf_done done, void *ctx)
{
	ranges.push_back({ done, ctx, 0 });
}

void pf_watch(struct pf_store *, const char *, uint64_t after, uint32_t,
	      pf_done done, void *ctx)
{
	watches.push_back({ done, ctx, after });
}

struct gc *gc_new(struct celld *, uint64_t, gc_deleted_fn, void *)
{
	return nullptr;
}

void gc_free(struct gc *)
{
}

void gc_tick(struct gc *, uint64_t)
{
}

struct listing *listing_new(struct holder *)
{
	return nullptr;
}

void listing_free(struct listing *)
{
}

void listing_tick(struct listing *, uint64_t)
{
}

void gc_delete_later(struct gc *, const char *key)
{
	deleted.push_back(key);
}

void pf_commit(struct pf_store *, const struct pf_txn *txn, uint32_t,
	       pf_done done, void *ctx)
{
	const char *value = static_cast<const char *>(txn->puts[0].value);

	commits.push_back({ txn->puts[0].key,
			    { value, txn->puts[0].len },
			    { done, ctx, 0 } });
}

void terms_on_confirmed(struct terms *, uint64_t)
{
}

void terms_step_down(struct terms *, const char *)
{
}

void cd_reply(struct celld *, const struct cd_origin *, enum cd_status,
	      uint32_t)
{
}

bool terms_check(struct terms *, uint64_t)
{
	return true;
}

struct term_leases terms_leases(const struct terms *)
{
	return leases;
}

uint64_t terms_store_ms(const struct terms *)
{
	return store_ms;
}

void terms_want_confirmation(struct terms *, uint64_t)
{
}

void rpc_holder_changed(struct rpc *)
{
}

uint32_t links_lost_followers(const struct links *, uint64_t)
{
	return 0;
}

const struct cell_config *config_current(const struct config_watch *)
{
	return nullptr;
}

uint64_t cd_unix_ms(void)
{
	return 1700000000000;
}

} // extern "C"

TEST(Holder, JobStoredBetweenTwoPagesIsNotMissed)
{
	static struct loop *loop =
		loop_new(); /* reachable for the leak check */
	struct celld d = {};
	struct holder *h;
	uint64_t now;

	d.loop = loop;
	h = holder_new(&d, 7);
	answer(ranges, PF_OK, 50);
	answer(ranges, PF_OK, 51);
	ASSERT_TRUE(holder_ready(h));
	now = loop_now_ms() + 10000;
	holder_tick(h, now);
	ASSERT_EQ(watches.size(), 1U);
	answer(watches, PF_COMPACTED, 0);
	holder_tick(h, now);
	answer(ranges, PF_OK, 100, CD_JOB_PREFIX "b", true);
	holder_tick(h, now);
	answer(ranges, PF_OK, 120);
	holder_tick(h, now + 10000);
	ASSERT_EQ(watches.size(), 1U);
	EXPECT_EQ(watches[0].after, 100U);
	watches.clear();
	h->calls_in_flight = 0;
	holder_free(h);
}

/* Guards against a lowered lease that ends the wait for longer ones. */
TEST(Holder, WaitsForTheLeasesOfEarlierTerms)
{
	static struct loop *loop = loop_new();
	struct celld d = {};
	struct holder *h;

	d.loop = loop;
	d.conf.lease_ms = 2000;
	leases.own_ms = 2500;
	leases.earlier_ms = 9800;
	h = holder_new(&d, 7);
	cell_minion_inherit(h->cell, "w1", "10.0.0.1:80");
	EXPECT_EQ(h->cell->settings.lease_ms, 2500U);
	EXPECT_EQ(h->cell->minions[0]->lease_until_ms,
		  h->cell->started_ms + 1700 + 10000);
	ranges.clear();
	h->calls_in_flight = 0;
	holder_free(h);
}

/*
 * Guards against a holder that gives up a minion which does not answer while an
 * earlier one, without the store, may renew the leases there.
 */
TEST(Holder, WaitsForAnEarlierHolderThatMayStillAct)
{
	static struct loop *loop = loop_new();
	struct celld d = {};
	struct holder *h;

	d.loop = loop;
	leases = { 2500, 9800, 60000 };
	h = holder_new(&d, 7);
	leases = {};
	cell_minion_inherit(h->cell, "w1", "10.0.0.1:80");
	EXPECT_EQ(h->cell->minions[0]->lease_until_ms,
		  h->cell->started_ms + 60000 + 1700 + 10000);
	ranges.clear();
	h->calls_in_flight = 0;
	holder_free(h);
}

/*
 * Guards against acknowledgements of daemons that are taken as proof that no
 * later term has begun: one may be held by a daemon that they do not know.
 */
TEST(Holder, OnlyTheStoreConfirmsThatNoLaterTermHasBegun)
{
	static struct loop *loop = loop_new();
	struct celld d = {};
	struct holder *h;

	d.loop = loop;
	h = holder_new(&d, 7);
	answer(ranges, PF_OK, 50);
	answer(ranges, PF_OK, 51);
	store_ms = 4711;
	holder_tick(h, loop_now_ms());
	EXPECT_EQ(h->cell->confirmed_ms, 4711U);
	store_ms = 0;
	h->calls_in_flight = 0;
	holder_free(h);
}

namespace
{

/* A holder that writes to the journal, and its successors. */
struct JournalCell {
	static struct loop *loop()
	{
		static struct loop *l = loop_new();

		return l;
	}

	struct celld d = {};
	struct holder *h;
	uint64_t now = 1000;

	explicit JournalCell(uint32_t snapshot_batches = UINT32_MAX)
	{
		d.loop = loop();
		d.conf.snapshot_batches = snapshot_batches;
		commits.clear();
		deleted.clear();
		h = start(7);
		answer(ranges, PF_OK, 50);
		answer(ranges, PF_OK, 51);
	}

	~JournalCell()
	{
		stop(h);
	}

	struct holder *start(uint64_t token)
	{
		ranges.clear();
		return holder_new(&d, token);
	}

	static void stop(struct holder *x)
	{
		x->calls_in_flight = 0;
		holder_free(x);
	}

	/* Writes a record in a batch of its own. */
	void write(enum cell_record_kind kind, const char *minion)
	{
		struct cell_record r = {};

		r.kind = kind;
		r.minion = minion;
		r.addr = "10.0.0.1:80";
		cell_append_record(h->cell, &r);
		now += 1000;
		journal_tick(h, now);
	}

	void store(size_t batch)
	{
		struct pf_reply ok = {};

		commits[batch].call.done(commits[batch].call.ctx, &ok);
	}

	/* Returns the minions that a successor finds in these batches. */
	uint32_t minions_found(const std::vector<Batch> &batches)
	{
		struct holder *next = start(9);
		struct cell_stats stats;
		std::vector<struct pf_item> items;
		struct pf_reply reply = {};
		Call call;

		answer(ranges, PF_OK, 50);
		for (const Batch &b : batches) {
			struct pf_item item = {};

			item.key = b.key.c_str();
			item.value = b.value.data();
			item.value_len = b.value.size();
			items.push_back(item);
		}
		call = ranges.back();
		ranges.pop_back();
		reply.items = items.data();
		reply.count = items.size();
		call.done(call.ctx, &reply);
		cell_get_stats(next->cell, &stats);
		stop(next);
		return stats.unsettled;
	}
};

} // namespace

/* Guards against a minion with runs that is settled without its ends. */
TEST(Holder, SettledMinionBehindAGapOfTheJournalIsNotSettled)
{
	JournalCell c;

	c.write(CELL_RECORD_ENROLLED, "w1");
	c.store(0);
	c.write(CELL_RECORD_ENROLLED, "w2");
	c.write(CELL_RECORD_SETTLED, "w1");
	ASSERT_EQ(commits.size(), 3U);
	EXPECT_EQ(c.minions_found({ commits[0], commits[1], commits[2] }), 1U);
	EXPECT_EQ(c.minions_found({ commits[0], commits[2] }), 1U);
	EXPECT_EQ(c.minions_found({ commits[0] }), 1U);
	c.store(2);
	c.write(CELL_RECORD_ENROLLED, "w3");
	EXPECT_EQ(c.minions_found({ commits[0], commits[2], commits[3] }), 1U);
}

/* Guards against a journal with gaps that no holder has ever written. */
TEST(Holder, JournalIsReadUpToItsFirstGap)
{
	JournalCell c;

	c.write(CELL_RECORD_ENROLLED, "w0");
	c.store(0);
	for (char i = '1'; i <= '6'; i++)
		c.write(CELL_RECORD_ENROLLED, std::string({ 'w', i }).c_str());
	ASSERT_EQ(commits.size(), 7U);
	for (uint32_t kept = 0; kept < 64; kept++) {
		std::vector<Batch> batches = { commits[0] };
		uint32_t prefix = 0;

		while (kept >> prefix & 1)
			prefix++;
		for (uint32_t i = 0; i < 6; i++) {
			if (kept >> i & 1)
				batches.push_back(commits[i + 1]);
		}
		EXPECT_EQ(c.minions_found(batches), 1 + prefix) << kept;
	}
}

/* Guards against a snapshot that is lost as it replaces what is before it. */
TEST(Holder, SnapshotIsReadWhileTheBatchesBeforeItAreDeleted)
{
	JournalCell c(4);
	size_t stored = 0;

	for (uint32_t i = 0; i < 30; i++) {
		std::string name = "w" + std::to_string(i);

		cell_minion_inherit(c.h->cell, name.c_str(), "10.0.0.1:80");
		c.write(CELL_RECORD_ENROLLED, name.c_str());
		if (i % 4 == 3)
			while (stored + 1 < commits.size())
				c.store(stored++);
		for (size_t gone = 0; gone <= deleted.size(); gone++) {
			std::vector<Batch> batches = commits;

			for (size_t k = 0; k < gone; k++) {
				ASSERT_EQ(batches[0].key, deleted[k]);
				batches.erase(batches.begin());
			}
			EXPECT_EQ(c.minions_found(batches), i + 1)
				<< i << " " << gone;
		}
	}
	EXPECT_GT(deleted.size(), 8U);
}
