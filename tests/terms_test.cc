#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "../jaycelld/celld.h"
}

/* Fakes of the store client and of the modules that terms.c calls. */
namespace
{

struct Call {
	pf_done done;
	void *ctx;
};

std::vector<Call> ranges;
std::vector<Call> watches;
std::vector<Call> commits;
std::string claimed; /* value of the latest claim */
std::vector<uint64_t> began;
std::vector<Call> grants;
std::vector<uint32_t> ttls; /* of the leases requested */
bool settled;		    /* answer of holder_settled() */
bool ready;		    /* answer of holder_ready() */
bool larger;		    /* answer of links_larger_followers() */
uint32_t released;	    /* calls of links_send_release() */
struct cell_config config;
/* Keeps objects that are never freed reachable, for the leak checker. */
std::vector<void *> &kept = *new std::vector<void *>;

} // namespace

extern "C" {

void pf_get(struct pf_store *, const char *, uint32_t, pf_done, void *)
{
}

void pf_range(struct pf_store *, const char *, const char *, uint32_t,
	      pf_done done, void *ctx)
{
	ranges.push_back({ done, ctx });
}

void pf_watch(struct pf_store *, const char *, uint64_t, uint32_t, pf_done done,
	      void *ctx)
{
	watches.push_back({ done, ctx });
}

void pf_commit(struct pf_store *, const struct pf_txn *txn, uint32_t,
	       pf_done done, void *ctx)
{
	if (!txn->put_count || !strcmp(txn->puts[0].key, CD_DAEMONS_KEY))
		return;
	claimed.assign(static_cast<const char *>(txn->puts[0].value),
		       txn->puts[0].len);
	commits.push_back({ done, ctx });
}

void pf_lease_grant(struct pf_store *, uint32_t ttl_ms, uint32_t, pf_done done,
		    void *ctx)
{
	ttls.push_back(ttl_ms);
	grants.push_back({ done, ctx });
}

void pf_lease_renew(struct pf_store *, uint64_t, uint32_t, pf_done done,
		    void *ctx)
{
	struct pf_reply reply = {};

	reply.status = PF_OK;
	done(ctx, &reply);
}

/* The store is healthy at all times that the tests pass to terms_tick(). */
uint64_t pf_store_last_ok_ms(const struct pf_store *)
{
	return loop_now_ms() + 60000;
}

const struct cell_config *config_current(const struct config_watch *)
{
	return &config;
}

void cd_start_term(struct celld *, uint64_t token)
{
	began.push_back(token);
}

void cd_end_term(struct celld *)
{
}

void rpc_holder_changed(struct rpc *)
{
}

void links_follow(struct links *, const char *)
{
}

void links_broadcast_holder(struct links *, uint64_t, const char *)
{
}

void links_send_release(struct links *)
{
	released++;
}

bool links_larger_followers(const struct links *, uint64_t)
{
	return larger;
}

bool holder_ready(const struct holder *)
{
	return ready;
}

bool holder_settled(const struct holder *, uint64_t)
{
	return settled;
}

bool links_holder_up(const struct links *)
{
	return false;
}

bool links_holder_refused(const struct links *)
{
	return false;
}

bool links_holder_valid(const struct links *)
{
	return false;
}

uint32_t links_holder_store_age(const struct links *)
{
	return 0;
}

uint64_t links_holder_heard_ms(const struct links *)
{
	return 0;
}

uint32_t links_followers(const struct links *)
{
	return 0;
}

uint32_t links_missing(const struct links *, uint64_t)
{
	return 0;
}

bool links_alone(const struct links *)
{
	return false;
}

uint64_t links_acknowledged_ms(const struct links *, uint64_t)
{
	return 0;
}

void links_expect(struct links *, const char *, const char *)
{
}

void links_set_listed(struct links *, const char *, bool)
{
}

struct buf links_daemons(const struct links *, uint64_t)
{
	return buf_str("d1");
}

} /* extern "C" */

namespace
{

void answer(const Call &call, uint64_t revision, const std::string &value)
{
	struct pf_item item = {};
	struct pf_reply reply = {};

	item.key = CD_HOLDER_KEY;
	item.value = value.c_str();
	item.value_len = value.size();
	item.revision = revision;
	reply.status = PF_OK;
	reply.revision = revision;
	reply.read_revision = revision;
	reply.count = value.empty() ? 0 : 1;
	reply.items = &item;
	call.done(call.ctx, &reply);
}

/* Answers all calls that a holder makes for its lease. */
void answer_lease()
{
	struct pf_reply reply = {};

	reply.status = PF_OK;
	reply.lease = 1;
	while (!grants.empty()) {
		Call call = grants.back();

		grants.pop_back();
		commits.clear();
		call.done(call.ctx, &reply);
		for (const Call &commit : std::vector<Call>(commits))
			commit.done(commit.ctx, &reply);
	}
}

/* Answers the claim that another daemon was first. */
void answer_conflict()
{
	struct pf_reply conflict = {};

	conflict.status = PF_CONFLICT;
	commits[0].done(commits[0].ctx, &conflict);
	commits.clear();
}

/* Starts the election of a daemon that knows of no term. */
struct terms *start_terms(struct celld *d, const char *name, double cpu_share)
{
	struct terms *terms;

	d->loop = loop_new();
	snprintf(d->conf.name, sizeof(d->conf.name), "%s", name);
	snprintf(d->conf.peers_address, sizeof(d->conf.peers_address),
		 "127.0.0.1:1");
	d->conf.cpu_share = cpu_share;
	ranges.clear();
	commits.clear();
	began.clear();
	ttls.clear();
	terms = terms_new(d);
	kept.push_back(d->loop);
	kept.push_back(terms);
	answer(ranges[0], 5, "");
	return terms;
}

} // namespace

/*
 * Guards against two schedulers in one term. The watch may report a claim
 * before the response to the claim arrives. The second scheduler would then
 * number its runs and journal batches like the first.
 */
TEST(Terms, ClaimReportedByTheWatchFirstStartsOneTerm)
{
	static struct celld d;
	struct terms *terms;
	uint64_t now;

	d.loop = loop_new();
	snprintf(d.conf.name, sizeof(d.conf.name), "d1");
	snprintf(d.conf.peers_address, sizeof(d.conf.peers_address),
		 "127.0.0.1:1");
	d.conf.cpu_share = 1;
	terms = terms_new(&d);
	kept.push_back(d.loop);
	kept.push_back(terms);
	ASSERT_EQ(ranges.size(), 1U);
	answer(ranges[0], 5, "");
	now = loop_now_ms();
	terms_tick(terms, now);
	terms_tick(terms, now + 1000);
	ASSERT_EQ(commits.size(), 1U);
	ASSERT_EQ(watches.size(), 1U);
	answer(watches[0], 7, claimed);
	EXPECT_EQ(began, (std::vector<uint64_t>{ 7 }));
	answer(commits[0], 7, "");
	EXPECT_EQ(began, (std::vector<uint64_t>{ 7 }));
	EXPECT_EQ(terms_token(terms), 7U);
}

/*
 * Guards against a holder that loses its lease while it reads the state of a
 * large cell: the next one would begin anew, and so on.
 */
TEST(Terms, RecoveringHolderHasALongerLease)
{
	static struct celld d;
	struct terms *terms = start_terms(&d, "d2", 1);
	uint64_t now = loop_now_ms();

	terms_tick(terms, now);
	terms_tick(terms, now + 1000);
	ASSERT_EQ(commits.size(), 1U);
	answer(commits[0], 7, "");
	ASSERT_EQ(terms_token(terms), 7U);
	d.holder = reinterpret_cast<struct holder *>(&d);
	settled = false;
	terms_tick(terms, now + 1100);
	answer_lease();
	terms_tick(terms, now + 2100);
	ASSERT_EQ(ttls.size(), 1U);
	settled = true;
	terms_tick(terms, now + 3100);
	ASSERT_EQ(ttls.size(), 2U);
	EXPECT_GE(ttls[0], 3 * ttls[1]);
	answer_lease();
	terms_tick(terms, now + 4100);
	EXPECT_EQ(ttls.size(), 2U);
}

/*
 * Guards against a small holder of a large cell after a loss of all daemons:
 * the small ones may start first, and recover too slowly.
 */
TEST(Terms, SmallDaemonLetsOthersClaimFirstAfterBoot)
{
	static struct celld small;
	static struct celld large;
	struct terms *terms = start_terms(&small, "small", 0.12);
	uint64_t now = loop_now_ms();

	terms_tick(terms, now);
	terms_tick(terms, now + 300);
	EXPECT_TRUE(commits.empty());
	terms_tick(terms, now + 1000);
	EXPECT_EQ(commits.size(), 1U);
	terms = start_terms(&large, "large", 0.5);
	now = loop_now_ms();
	terms_tick(terms, now);
	terms_tick(terms, now + 300);
	EXPECT_EQ(commits.size(), 1U);
}

/* Guards against a small daemon that claims before a large one that is far. */
TEST(Terms, SmallDaemonLetsLargeFarOnesClaimFirst)
{
	static struct celld small;
	struct terms *terms = start_terms(&small, "small", 0.12);
	uint64_t now = loop_now_ms() + 4000;

	terms_tick(terms, now);
	/* 60 ms and up to 40 ms, a tick of 50 ms, and 24 ms to the store. */
	terms_tick(terms, now + 174);
	EXPECT_TRUE(commits.empty());
	terms_tick(terms, now + 1000);
	EXPECT_EQ(commits.size(), 1U);
}

/* Guards against a lowered lease_ms that shortens the wait of a successor. */
TEST(Terms, ClaimStatesTheLeasesOfEarlierTerms)
{
	static struct celld d;
	struct terms *terms;
	uint64_t now;

	d.conf.lease_ms = 2000;
	d.conf.hold_max_ms = 12000;
	terms = start_terms(&d, "d3", 1);
	now = loop_now_ms();
	/* No holder before: no lease. */
	terms_tick(terms, now);
	terms_tick(terms, now + 1000);
	ASSERT_EQ(commits.size(), 1U);
	EXPECT_NE(claimed.find(" 2000 0 0"), std::string::npos) << claimed;
	/* The claim failed: others held the cell, with longer leases. */
	for (const char *value :
	     { "d9 127.0.0.1:9 n 9000 0", "d9 127.0.0.1:9 n 5500 9000",
	       "d9 127.0.0.1:9 n" }) {
		std::string earlier =
			strstr(value, "9000") ? " 9000" : " 12000";
		static uint64_t revision = 10;

		answer(watches.back(), revision++, value);
		answer_conflict();
		now = loop_now_ms();
		terms_tick(terms, now + 8000);
		terms_tick(terms, now + 9000);
		ASSERT_EQ(commits.size(), 1U) << value;
		EXPECT_NE(claimed.find(" 2000" + earlier), std::string::npos)
			<< claimed;
	}
}

/* Guards against an overlap that a claim does not pass on, or not as read. */
TEST(Terms, ClaimStatesTheOverlapThatIsLeft)
{
	static struct celld d;
	struct terms *terms;
	uint64_t now;
	/* The former holder, and the least and most overlap 9 s later. */
	const struct {
		const char *value;
		uint32_t min, max;
	} rows[] = { { "d9 127.0.0.1:9 n 5500 5500 0", 0, 0 },
		     { "d9 127.0.0.1:9 n 5500 5500 50000", 40900, 41100 },
		     { "d9 127.0.0.1:9 n 5500 5500 8000", 0, 0 },
		     { "d9 127.0.0.1:9 n 5500 5500", 53400, 53600 } };

	d.conf.lease_ms = 2000;
	terms = start_terms(&d, "d3", 1);
	for (const auto &row : rows) {
		static uint64_t revision = 20;
		uint32_t overlap;

		answer(watches.back(), revision++, row.value);
		commits.clear();
		now = loop_now_ms();
		terms_tick(terms, now + 8000);
		terms_tick(terms, now + 9000);
		ASSERT_EQ(commits.size(), 1U) << row.value;
		overlap = (uint32_t)std::stoul(
			claimed.substr(claimed.rfind(' ') + 1));
		EXPECT_GE(overlap, row.min) << claimed;
		EXPECT_LE(overlap, row.max) << claimed;
		answer_conflict();
	}
}

/*
 * Guards against a small daemon that stays the holder of a large cell: with its
 * link full, starts and polls of most minions were seconds late.
 */
TEST(Terms, SmallHolderOffersItsTermToALargerDaemon)
{
	static struct celld small;
	struct terms *terms = start_terms(&small, "small", 0.12);
	uint64_t now = loop_now_ms();

	released = 0;
	terms_tick(terms, now);
	terms_tick(terms, now + 1000);
	ASSERT_EQ(commits.size(), 1U);
	answer(commits[0], 7, "");
	ASSERT_EQ(terms_token(terms), 7U);
	small.holder = reinterpret_cast<struct holder *>(&small);
	ready = false;
	larger = true;
	terms_tick(terms, now + 1100);
	EXPECT_EQ(released, 0U);
	ready = true;
	larger = false;
	terms_tick(terms, now + 1200);
	EXPECT_EQ(released, 0U);
	larger = true;
	terms_tick(terms, now + 1300);
	EXPECT_EQ(released, 1U);
	/* It goes on until another daemon takes over. */
	EXPECT_EQ(terms_token(terms), 7U);
	terms_tick(terms, now + 1400);
	EXPECT_EQ(released, 1U);
	terms_tick(terms, now + 6400);
	EXPECT_EQ(released, 2U);
}

TEST(Terms, LargeHolderKeepsItsTerm)
{
	static struct celld large;
	struct terms *terms = start_terms(&large, "large", 0.5);
	uint64_t now = loop_now_ms();

	released = 0;
	terms_tick(terms, now);
	terms_tick(terms, now + 1000);
	ASSERT_EQ(commits.size(), 1U);
	answer(commits[0], 7, "");
	large.holder = reinterpret_cast<struct holder *>(&large);
	ready = true;
	larger = true;
	terms_tick(terms, now + 1300);
	EXPECT_EQ(terms_token(terms), 7U);
	EXPECT_EQ(released, 0U);
}
