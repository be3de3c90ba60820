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

const struct cell_ops holder_ops = {};

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

void journal_track_batch(struct holder *, const char *)
{
}

void journal_tick(struct holder *, uint64_t)
{
}

void journal_free(struct holder *)
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

uint64_t terms_confirmed_ms(const struct terms *)
{
	return 0;
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
