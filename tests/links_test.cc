#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "../jaycelld/celld.h"
}

/*
 * Elections and connections of several daemons in one process, with a fake
 * store and a clock that the tests advance.
 */
namespace
{

#define TERM 7

struct Call {
	pf_done done;
	void *ctx;
};

struct Daemon {
	struct celld d;
	bool store_serves;
	bool running; /* its loop is run */
	std::vector<Call> ranges;
	std::vector<Call> commits;
	std::vector<Call> gets;
	std::string claimed;
	uint64_t claim_list; /* list of daemons that the claim depends on */
	std::string listed;  /* daemons, as last written */
	bool writes_late;    /* lists without an answer take effect */
};

struct timespec skew; /* of CLOCK_BOOTTIME */
std::string stored;   /* list of daemons in the store */
uint64_t stored_revision;
struct cell_config config;
unsigned char secret[CD_SECRET_LEN];
uint32_t peers_pending; /* setting of new daemons */
/* Keeps objects that are never freed reachable, for the leak checker. */
std::vector<Daemon *> &kept = *new std::vector<Daemon *>;

Daemon *of(struct pf_store *store)
{
	return reinterpret_cast<Daemon *>(store);
}

void set_stored(const std::string &names)
{
	if (names != stored)
		stored_revision++;
	stored = names;
}

/* Answers a call on the list of daemons. */
void answer_list(enum pf_status status, pf_done done, void *ctx)
{
	struct pf_item item = {};
	struct pf_reply reply = {};

	item.key = CD_DAEMONS_KEY;
	item.value = stored_revision ? stored.c_str() : nullptr;
	item.value_len = stored.size();
	item.revision = stored_revision;
	reply.status = status;
	reply.revision = stored_revision;
	reply.read_revision = stored_revision;
	reply.count = status == PF_OK || status == PF_CONFLICT;
	reply.items = &item;
	done(ctx, &reply);
}

} // namespace

extern "C" {

int clock_gettime(clockid_t clock, struct timespec *ts) noexcept
{
	long rc = syscall(SYS_clock_gettime, clock, ts);

	if (!rc && clock == CLOCK_BOOTTIME) {
		ts->tv_sec += skew.tv_sec;
		ts->tv_nsec += skew.tv_nsec;
		if (ts->tv_nsec >= 1000000000) {
			ts->tv_sec++;
			ts->tv_nsec -= 1000000000;
		}
	}
	return (int)rc;
}

void pf_get(struct pf_store *store, const char *key, uint32_t, pf_done done,
	    void *ctx)
{
	if (strcmp(key, CD_DAEMONS_KEY) != 0)
		of(store)->gets.push_back({ done, ctx });
	else
		answer_list(of(store)->store_serves ? PF_OK : PF_UNKNOWN, done,
			    ctx);
}

void pf_range(struct pf_store *store, const char *, const char *, uint32_t,
	      pf_done done, void *ctx)
{
	of(store)->ranges.push_back({ done, ctx });
}

void pf_watch(struct pf_store *, const char *, uint64_t, uint32_t, pf_done,
	      void *)
{
}

void pf_commit(struct pf_store *store, const struct pf_txn *txn, uint32_t,
	       pf_done done, void *ctx)
{
	enum pf_status status = PF_OK;
	std::string value;

	if (!txn->put_count)
		return;
	value.assign(static_cast<const char *>(txn->puts[0].value),
		     txn->puts[0].len);
	if (!strcmp(txn->puts[0].key, CD_DAEMONS_KEY)) {
		for (uint32_t i = 0; i < txn->condition_count; i++) {
			if (!strcmp(txn->conditions[i].key, CD_DAEMONS_KEY) &&
			    txn->conditions[i].revision != stored_revision)
				status = PF_CONFLICT;
		}
		if (!of(store)->store_serves)
			status = PF_UNKNOWN;
		if (status == PF_OK || of(store)->writes_late) {
			of(store)->listed = value;
			set_stored(value);
		}
		answer_list(status, done, ctx);
		return;
	}
	of(store)->claimed = value;
	for (uint32_t i = 0; i < txn->condition_count; i++) {
		if (!strcmp(txn->conditions[i].key, CD_DAEMONS_KEY))
			of(store)->claim_list = txn->conditions[i].revision;
	}
	of(store)->commits.push_back({ done, ctx });
}

void pf_lease_grant(struct pf_store *, uint32_t, uint32_t, pf_done, void *)
{
}

void pf_lease_renew(struct pf_store *, uint64_t, uint32_t, pf_done, void *)
{
}

uint64_t pf_store_last_ok_ms(const struct pf_store *store)
{
	return reinterpret_cast<const Daemon *>(store)->store_serves
		       ? loop_now_ms()
		       : 0;
}

const struct cell_config *config_current(const struct config_watch *)
{
	return &config;
}

void cd_start_term(struct celld *, uint64_t)
{
}

void cd_end_term(struct celld *)
{
}

void cd_advise(struct celld *, uint32_t, const char *, const char *const *,
	       uint32_t,
	       void (*)(void *, uint32_t, bool, const struct cell_ticket *,
			uint32_t),
	       void *)
{
}

void rpc_holder_changed(struct rpc *)
{
}

void rpc_reply(struct rpc *, uint32_t, enum cd_status, uint32_t)
{
}

void accept_replay_recent(struct acceptor *)
{
}

void overload_set(struct overload *, const char *, uint32_t, uint64_t)
{
}

bool holder_settled(const struct holder *, uint64_t)
{
	return true;
}

bool holder_ready(const struct holder *)
{
	return true;
}

void holder_job(struct holder *, const char *, size_t, bool)
{
}

void holder_query(struct holder *, const struct cd_origin *, enum cd_op,
		  const char *, const struct buf *)
{
}

void holder_on_advice(struct holder *, uint32_t, bool,
		      const struct cell_ticket *, uint32_t)
{
}

void holder_lane_up(struct holder *, uint32_t)
{
}

void holder_lane_lost(struct holder *, uint32_t)
{
}

void holder_poll_jobs_soon(struct holder *)
{
}

void holder_each_overload(const struct holder *, cell_overload_fn, void *)
{
}

} /* extern "C" */

namespace
{

void answer(std::vector<Call> *calls, uint64_t revision,
	    const std::string &value, enum pf_status status = PF_OK,
	    const std::string &daemons = "")
{
	std::vector<Call> due;
	struct pf_item items[2] = {};
	struct pf_reply reply = {};

	if (!daemons.empty())
		set_stored(daemons);
	items[0].key = CD_HOLDER_KEY;
	items[0].value = value.c_str();
	items[0].value_len = value.size();
	items[0].revision = revision;
	items[1].key = CD_DAEMONS_KEY;
	items[1].value = daemons.c_str();
	items[1].value_len = daemons.size();
	items[1].revision = stored_revision;
	reply.status = status;
	reply.revision = revision;
	reply.read_revision = revision;
	reply.count = daemons.empty() ? !value.empty() : 2;
	reply.items = items;
	due.swap(*calls);
	for (const Call &call : due)
		call.done(call.ctx, &reply);
}

/* Lets time pass while no daemon runs. */
void pass(uint32_t ms)
{
	skew.tv_sec += ms / 1000;
	skew.tv_nsec += (long)(ms % 1000) * 1000000;
	if (skew.tv_nsec >= 1000000000) {
		skew.tv_sec++;
		skew.tv_nsec -= 1000000000;
	}
}

void nothing(struct timer *)
{
}

bool stop(void *ctx)
{
	loop_stop(static_cast<struct loop *>(ctx));
	return false;
}

/* Runs the daemons of a cell for a while. */
struct Cell {
	std::vector<Daemon *> daemons;

	Cell()
	{
		stored.clear();
		stored_revision = 0;
	}

	Daemon *add(const char *name)
	{
		Daemon *x = new Daemon();
		struct err err = {};

		x->store_serves = true;
		x->running = true;
		x->d.loop = loop_new();
		x->d.store = reinterpret_cast<struct pf_store *>(x);
		x->d.conf.cpu_share = 1;
		x->d.conf.peers_pending = peers_pending;
		snprintf(x->d.conf.name, sizeof(x->d.conf.name), "%s", name);
		snprintf(x->d.conf.peers_address,
			 sizeof(x->d.conf.peers_address), "127.0.0.1:%u",
			 free_port());
		snprintf(x->d.conf.listen_peers, sizeof(x->d.conf.listen_peers),
			 "%s", x->d.conf.peers_address);
		loop_set_idle(x->d.loop, stop, x->d.loop);
		x->d.links = links_new(&x->d, secret, &err);
		x->d.terms = terms_new(&x->d);
		kept.push_back(x);
		daemons.push_back(x);
		return x;
	}

	static unsigned free_port()
	{
		struct sockaddr_in sin = {};
		socklen_t len = sizeof(sin);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(fd, (struct sockaddr *)&sin, len) ||
		    getsockname(fd, (struct sockaddr *)&sin, &len))
			abort();
		close(fd);
		return ntohs(sin.sin_port);
	}

	/* The holder reads its key if the store serves it. */
	void run(uint32_t ms)
	{
		for (uint32_t t = 0; t < ms; t += 10) {
			pass(10);
			for (Daemon *x : daemons)
				run_once(x);
		}
	}

	static void run_once(Daemon *x)
	{
		struct timer now = {};

		if (!x->running)
			return;
		now.fn = nothing;
		for (int i = 0; i < 3; i++) {
			timer_start(x->d.loop, &now, 0);
			loop_run(x->d.loop);
		}
		timer_stop(x->d.loop, &now);
		if (x->store_serves)
			answer(&x->gets, TERM, x->claimed);
	}

	/*
	 * Makes @x the holder; @former is the holder key before, if any, and
	 * @daemons the list of daemons in the store.
	 */
	void lead(Daemon *x, const std::string &former,
		  const std::string &daemons = "")
	{
		answer(&x->ranges, TERM - 1, former, PF_OK, daemons);
		run_until_claim(x);
		answer(&x->commits, TERM, "");
	}

	void run_until_claim(const Daemon *x)
	{
		for (int i = 0; i < 300 && x->commits.empty(); i++)
			run(10);
	}

	void follow(Daemon *x, const Daemon *holder)
	{
		answer(&x->ranges, TERM, holder->claimed);
		for (int i = 0; i < 100 && !links_holder_up(x->d.links); i++)
			run(10);
	}

	/* Ends the access of all daemons to the store. */
	void store_down()
	{
		for (Daemon *x : daemons)
			x->store_serves = false;
	}
};

/* A holder, and two followers, for longer than others need to connect. */
struct CellOfThree : Cell {
	Daemon *holder = add("d1");
	Daemon *second = add("d2");
	Daemon *third = add("d3");

	explicit CellOfThree(uint32_t run_ms = 3000,
			     const std::string &former = "")
	{
		lead(holder, former);
		follow(second, holder);
		follow(third, holder);
		run(run_ms);
		EXPECT_EQ(links_followers(holder->d.links), 2U);
		EXPECT_TRUE(valid());
	}

	bool valid(uint32_t later_ms = 0) const
	{
		return terms_check(holder->d.terms, loop_now_ms() + later_ms);
	}
};

} // namespace

/* Guards against a holder that orders minions when it wakes from a pause. */
TEST(Links, HolderThatWakesFromAPauseIsInvalid)
{
	CellOfThree c;

	c.store_down();
	pass(5000);
	EXPECT_FALSE(c.valid());
}

/* Guards against a confirmation that counts from its arrival after a pause. */
TEST(Links, StateThatWaitedDuringAPauseConfirmsNothing)
{
	CellOfThree c;

	c.holder->store_serves = false;
	c.holder->running = false;
	c.run(300);
	pass(1600);
	c.second->running = false;
	c.third->running = false;
	c.holder->running = true;
	c.run(10);
	ASSERT_EQ(links_followers(c.holder->d.links), 2U);
	EXPECT_FALSE(c.valid());
}

/* Guards against a term confirmed by a follower whose watch lags behind. */
TEST(Links, FollowerThatReachesTheStoreDoesNotSpeakForALostOne)
{
	CellOfThree c;

	c.holder->store_serves = false;
	c.third->running = false;
	c.run(4000);
	ASSERT_EQ(links_followers(c.holder->d.links), 1U);
	EXPECT_FALSE(c.valid());
}

/* Guards against a holder whose successor is on the other side of a cut. */
TEST(Links, HolderCutOffTogetherWithAFollowerIsInvalid)
{
	CellOfThree c;

	c.store_down();
	c.third->running = false;
	c.run(4000);
	ASSERT_EQ(links_followers(c.holder->d.links), 1U);
	EXPECT_FALSE(c.valid());
}

/* Guards against a term that becomes valid again after a while. */
TEST(Links, LostFollowersAreNotForgottenWithoutTheStore)
{
	CellOfThree c;

	c.store_down();
	c.second->running = false;
	c.third->running = false;
	c.run(4000);
	ASSERT_EQ(links_followers(c.holder->d.links), 0U);
	EXPECT_FALSE(c.valid());
	EXPECT_FALSE(c.valid(61000));
}

/* Guards against a predecessor that takes over again on its side of a cut. */
TEST(Links, FormerHolderCountsUntilItConnects)
{
	CellOfThree c(3000, "d0 127.0.0.1:1 nonce");

	c.store_down();
	c.run(2000);
	EXPECT_FALSE(c.valid());
}

/* Guards against a predecessor that is forgotten as the claim had no answer. */
TEST(Links, FormerHolderCountsAfterARepeatedClaim)
{
	Cell c;
	Daemon *holder = c.add("d1");
	Daemon *follower = c.add("d2");

	answer(&holder->ranges, TERM - 2, "d0 127.0.0.1:1 nonce");
	c.run_until_claim(holder);
	answer(&holder->commits, TERM - 1,
	       "d1 " + std::string(holder->d.conf.peers_address) + " other",
	       PF_CONFLICT);
	c.run_until_claim(holder);
	answer(&holder->commits, TERM, "");
	c.follow(follower, holder);
	c.run(3000);
	ASSERT_EQ(links_followers(holder->d.links), 1U);
	c.store_down();
	c.run(2000);
	EXPECT_FALSE(terms_check(holder->d.terms, loop_now_ms()));
}

/* Guards against an outage that stops work because of a change of the holder.
 */
TEST(Links, FormerHolderThatHasConnectedIsNotMissing)
{
	Cell c;
	Daemon *former = c.add("d0");
	Daemon *holder = c.add("d1");

	c.lead(holder,
	       "d0 " + std::string(former->d.conf.peers_address) + " nonce");
	EXPECT_EQ(links_missing(holder->d.links, loop_now_ms()), 1U);
	c.follow(former, holder);
	c.run(3000);
	c.store_down();
	c.run(5000);
	EXPECT_EQ(links_missing(holder->d.links, loop_now_ms()), 0U);
	EXPECT_TRUE(terms_check(holder->d.terms, loop_now_ms()));
}

/* Guards against a term that counts on followers before all could connect. */
TEST(Links, NewTermDependsOnTheStore)
{
	CellOfThree c(500);

	c.store_down();
	c.run(3000);
	ASSERT_EQ(links_followers(c.holder->d.links), 2U);
	EXPECT_FALSE(c.valid());
}

/* Guards against work that ends in an outage in which no daemon takes over. */
TEST(Links, HolderStaysValidWhileAllFollowersAcknowledgeTheTerm)
{
	CellOfThree c;

	c.store_down();
	for (int i = 0; i < 100; i++) {
		c.run(100);
		ASSERT_TRUE(c.valid()) << "after " << i << " tenths";
	}
	c.third->running = false;
	c.run(1700);
	EXPECT_FALSE(c.valid());
}

/* Guards against a holder that restarts on its side of a cut. */
TEST(Links, DaemonsOfEarlierTermsCountUntilTheyConnect)
{
	Cell c;
	Daemon *holder = c.add("d1");
	Daemon *follower = c.add("d2");

	c.lead(holder,
	       "d1 " + std::string(holder->d.conf.peers_address) + " other",
	       "d1 d2 d3");
	c.follow(follower, holder);
	c.run(3000);
	ASSERT_EQ(links_followers(holder->d.links), 1U);
	EXPECT_EQ(links_missing(holder->d.links, loop_now_ms()), 1U);
	c.store_down();
	c.run(2000);
	EXPECT_FALSE(terms_check(holder->d.terms, loop_now_ms()));
}

TEST(Links, HolderListsTheDaemonsThatItKnows)
{
	CellOfThree c;

	EXPECT_EQ(c.holder->listed, "d1 d2 d3");
	c.third->running = false;
	c.run(4000);
	EXPECT_EQ(c.holder->listed, "d1 d2 d3");
	c.run(62000);
	EXPECT_EQ(c.holder->listed, "d1 d2");
}

namespace
{

/* A holder without the store, and a daemon that reaches the store alone. */
struct CutOffCell : CellOfThree {
	Daemon *fourth = add("d4");

	/* The daemon, which cannot reach the holder, starts. */
	void start_fourth()
	{
		answer(&fourth->ranges, TERM,
		       "d1 127.0.0.1:1 nonce 5500 5500 0", PF_OK, stored);
	}

	/* The time after its claim that the daemon states for the holder. */
	uint32_t overlap_ms() const
	{
		return (uint32_t)std::stoul(
			fourth->claimed.substr(fourth->claimed.rfind(' ') + 1));
	}

	/* A successor waits for longer than this. */
	bool stops()
	{
		run(overlap_ms());
		run(1500);
		return !valid();
	}

	/* Returns the time until the daemon claims the term. */
	uint32_t run_until_it_claims()
	{
		uint32_t ms = 0;

		while (fourth->commits.empty() && ms < 100000) {
			run(50);
			ms += 50;
		}
		return ms;
	}
};

} // namespace

/* Guards against a successor that the holder has never known. */
TEST(Links, DaemonThatNeverConnectedStatesHowLongTheHolderMayAct)
{
	CutOffCell c;

	c.store_down();
	c.fourth->store_serves = true;
	c.start_fourth();
	EXPECT_LE(c.run_until_it_claims(), 5500U);
	ASSERT_EQ(c.fourth->commits.size(), 1U);
	EXPECT_TRUE(c.valid());
	EXPECT_TRUE(c.stops());
}

/* Guards against a successor that was lost a while before an outage. */
TEST(Links, DaemonThatWasRemovedStatesHowLongTheHolderMayAct)
{
	CutOffCell c;

	c.follow(c.fourth, c.holder);
	c.run(2000);
	ASSERT_EQ(stored, "d1 d2 d3 d4");
	c.fourth->running = false;
	c.run(64000);
	ASSERT_EQ(stored, "d1 d2 d3");
	c.store_down();
	c.fourth = c.add("d4");
	c.start_fourth();
	EXPECT_LE(c.run_until_it_claims(), 5500U);
	ASSERT_EQ(c.fourth->commits.size(), 1U);
	EXPECT_TRUE(c.valid());
	EXPECT_TRUE(c.stops());
}

/* Guards against an entry that a restarted daemon takes for a holder's. */
TEST(Links, EntryOfItsOwnDoesNotShortenTheOverlapOfARestartedDaemon)
{
	CutOffCell c;

	c.store_down();
	c.fourth->store_serves = true;
	c.start_fourth();
	c.run(10000);
	c.fourth->running = false;
	c.fourth = c.add("d4");
	c.start_fourth();
	c.run_until_it_claims();
	ASSERT_EQ(c.fourth->commits.size(), 1U);
	EXPECT_TRUE(c.valid());
	EXPECT_TRUE(c.stops());
}

/* Guards against a takeover that waits though the holder knows the daemon. */
TEST(Links, ListedDaemonClaimsAtOnce)
{
	CutOffCell c;

	c.follow(c.fourth, c.holder);
	c.run(2000);
	c.fourth->running = false;
	c.store_down();
	c.fourth = c.add("d4");
	c.start_fourth();
	EXPECT_LE(c.run_until_it_claims(), 5500U);
	EXPECT_EQ(c.fourth->claim_list, stored_revision);
	EXPECT_EQ(c.overlap_ms(), 0U);
	EXPECT_TRUE(c.stops());
}

/* Guards against a first list that keeps daemons that are late from claiming.
 */
TEST(Links, FirstListNamesDaemonsThatConnectLate)
{
	Cell c;
	Daemon *holder = c.add("d1");
	Daemon *late = c.add("d2");

	c.lead(holder, "");
	c.run(1500);
	EXPECT_EQ(stored, "");
	c.follow(late, holder);
	c.run(1000);
	EXPECT_EQ(stored, "d1 d2");
}

/* Guards against a holder that goes on without a daemon that may be listed. */
TEST(Links, DaemonOfAListWithoutAnAnswerIsKnown)
{
	CutOffCell c;

	c.holder->store_serves = false;
	c.holder->writes_late = true;
	c.follow(c.fourth, c.holder);
	c.run(2000);
	ASSERT_EQ(stored, "d1 d2 d3 d4");
	c.holder->writes_late = false;
	c.fourth->running = false;
	c.run(4000);
	ASSERT_EQ(links_followers(c.holder->d.links), 2U);
	c.run(64000);
	terms_on_confirmed(c.holder->d.terms, loop_now_ms());
	c.run(2000);
	EXPECT_FALSE(c.valid());
}

/* Guards against work that ends as a daemon that has left is still counted. */
TEST(Links, DaemonThatTheListNoLongerNamesIsNotMissing)
{
	CutOffCell c;

	c.follow(c.fourth, c.holder);
	c.run(2000);
	c.fourth->running = false;
	c.run(4000);
	EXPECT_EQ(links_missing(c.holder->d.links, loop_now_ms()), 1U);
	c.run(60000);
	EXPECT_EQ(links_missing(c.holder->d.links, loop_now_ms()), 0U);
	c.store_down();
	c.run(20000);
	EXPECT_TRUE(c.valid());
}

/* Guards against a term that lapses for good with a follower that is slow. */
TEST(Links, LapsedTermIsValidAgainOnLaterAcknowledgements)
{
	CellOfThree c;
	uint64_t lapsed_ms;

	c.store_down();
	c.third->running = false;
	c.run(1700);
	ASSERT_EQ(links_followers(c.holder->d.links), 2U);
	ASSERT_FALSE(c.valid());
	lapsed_ms = loop_now_ms();
	c.third->running = true;
	for (int i = 0; i < 100 && !c.valid(); i++)
		c.run(10);
	EXPECT_TRUE(c.valid());
	/* As of 150 ms before it lapsed, or later: for 1500 ms from then. */
	EXPECT_TRUE(terms_valid(c.holder->d.terms, lapsed_ms - 150 + 1499));
}

/* Guards against a term that is valid again beside that of a follower. */
TEST(Links, LapsedTermStaysInvalidBesideTheTermOfARestartedFollower)
{
	CellOfThree c;
	Daemon *again;

	c.store_down();
	c.third->running = false;
	again = c.add("d3");
	answer(&again->ranges, TERM, "d1 127.0.0.1:1 nonce", PF_OK, stored);
	c.run_until_claim(again);
	ASSERT_EQ(again->commits.size(), 1U);
	answer(&again->commits, TERM + 1, "");
	ASSERT_EQ(terms_token(again->d.terms), TERM + 1U);
	c.run(1500);
	for (int i = 0; i < 100; i++) {
		EXPECT_FALSE(c.valid());
		c.run(100);
	}
}

/* Guards against a claim without an answer that the next process finds. */
TEST(Links, RestartedFollowerThatLearnsOfALaterTermEndsTheValidity)
{
	CellOfThree c;
	Daemon *again;

	c.store_down();
	c.third->running = false;
	c.run(3000);
	ASSERT_FALSE(c.valid());
	again = c.add("d3");
	again->store_serves = false;
	c.follow(again, c.holder);
	c.run(1000);
	EXPECT_TRUE(c.valid());
	terms_on_new_holder(again->d.terms, TERM + 1, "127.0.0.1:1");
	c.run(1500);
	for (int i = 0; i < 100; i++) {
		EXPECT_FALSE(c.valid());
		c.run(100);
	}
}

/* Guards against an acknowledgement that a connection did not give. */
TEST(Links, NewConnectionAcknowledgesNothingOfTheOneBefore)
{
	CellOfThree c;
	uint64_t now;

	c.third->running = false;
	c.run(64000);
	ASSERT_EQ(stored, "d1 d2");
	ASSERT_EQ(links_followers(c.holder->d.links), 1U);
	for (const char *name : { "d2", "d5" }) {
		Daemon *again = c.add(name);

		bool acknowledged = false;

		now = loop_now_ms();
		answer(&again->ranges, TERM, c.holder->claimed);
		for (int i = 0; i < 100; i++) {
			uint64_t ms;

			c.run(10);
			ms = links_acknowledged_ms(c.holder->d.links, TERM);
			if (!links_holder_up(again->d.links))
				continue;
			EXPECT_TRUE(!ms || ms >= now) << name << " " << i;
			acknowledged |= ms > now;
		}
		EXPECT_TRUE(acknowledged) << name;
		c.second->running = false;
	}
}

/* Guards against daemons of the list that do not count for want of a slot. */
TEST(Links, ListedDaemonsBeyondTheSlotsCount)
{
	Cell c;
	Daemon *holder = c.add("d1");
	std::string names = "d1";

	for (int i = 0; i < 600; i++)
		names += " e" + std::to_string(i);
	c.lead(holder, "d0 127.0.0.1:1 nonce", names);
	ASSERT_EQ(terms_token(holder->d.terms), (uint64_t)TERM);
	EXPECT_GT(links_missing(holder->d.links, UINT64_MAX - 20000), 512U);
}

/* Guards against a term that is offered to a daemon that cannot claim it. */
TEST(Links, HolderKnowsLargerFollowersThatReachTheStore)
{
	CellOfThree c;

	EXPECT_TRUE(links_larger_followers(c.holder->d.links, TERM));
	EXPECT_FALSE(links_larger_followers(c.holder->d.links, TERM + 1));
	c.second->store_serves = false;
	c.third->d.conf.cpu_share = 0.12;
	c.run(1000);
	EXPECT_FALSE(links_larger_followers(c.holder->d.links, TERM));
	c.second->store_serves = true;
	c.run(1000);
	EXPECT_TRUE(links_larger_followers(c.holder->d.links, TERM));
	c.second->running = false;
	c.run(3000);
	EXPECT_FALSE(links_larger_followers(c.holder->d.links, TERM));
}

/* Guards against a term that is offered to a daemon that must wait a minute. */
TEST(Links, FollowerThatTheListDoesNotNameIsOfferedNothing)
{
	CutOffCell c;
	std::string list = stored;
	Daemon *again;

	c.second->d.conf.cpu_share = 0.12;
	c.third->d.conf.cpu_share = 0.12;
	answer(&c.fourth->ranges, TERM, c.holder->claimed, PF_OK, list);
	c.run(1000);
	ASSERT_EQ(links_followers(c.holder->d.links), 3U);
	EXPECT_FALSE(links_larger_followers(c.holder->d.links, TERM));
	c.second->running = false;
	again = c.add("d2");
	answer(&again->ranges, TERM, c.holder->claimed, PF_OK, list);
	c.run(1000);
	EXPECT_TRUE(links_larger_followers(c.holder->d.links, TERM));
}

/* Guards against an entry that counts under the name of a removed daemon. */
TEST(Links, EntryBesideARemovalCountsUnderItsOwnName)
{
	CutOffCell c;
	Daemon *h = c.holder;

	c.follow(c.fourth, h);
	c.run(2000);
	ASSERT_EQ(stored, "d1 d2 d3 d4");
	c.fourth->running = false;
	c.run(59000);
	/* The write without d4 takes effect, its answer is lost. */
	h->store_serves = false;
	h->writes_late = true;
	for (int i = 0; i < 60 && stored != "d1 d2 d3"; i++) {
		terms_on_confirmed(h->d.terms, loop_now_ms());
		c.run(100);
	}
	ASSERT_EQ(stored, "d1 d2 d3");
	h->writes_late = false;
	/* A daemon enters itself; the holder reads that, then loses the store.
	 */
	set_stored("d1 d2 d3 +d5");
	h->store_serves = true;
	bool known = false;
	for (int i = 0; i < 300 && !known; i++) {
		struct buf names;

		c.run(10);
		names = links_daemons(h->d.links, loop_now_ms());
		known = strstr(names.data, "d5");
		buf_free(&names);
		if (stored != "d1 d2 d3 +d5")
			break;
	}
	EXPECT_TRUE(known) << stored;
	EXPECT_EQ(links_missing(h->d.links, loop_now_ms()), 1U);
	c.store_down();
	/* d4 is back, d5 is not connected. */
	c.fourth = c.add("d4");
	c.follow(c.fourth, h);
	c.run(4000);
	EXPECT_EQ(stored, "d1 d2 d3 +d5");
	EXPECT_EQ(links_missing(h->d.links, loop_now_ms()), 1U);
	EXPECT_FALSE(c.valid());
}

/* Guards against a minute without a holder after a short cut. */
TEST(Links, DaemonCutOffFromTheHolderTakesOverSoon)
{
	CutOffCell c;

	c.follow(c.fourth, c.holder);
	c.run(2000);
	ASSERT_EQ(stored, "d1 d2 d3 d4");
	c.fourth->running = false;
	c.run(14000);
	ASSERT_EQ(stored, "d1 d2 d3 d4");
	c.holder->running = c.second->running = c.third->running = false;
	c.fourth = c.add("d4");
	c.start_fourth();
	EXPECT_LE(c.run_until_it_claims(), 5500U);
}

/* Returns sockets that are connected to the port of the peers of a daemon. */
std::vector<int> strangers(const Daemon *x, size_t count)
{
	std::vector<int> fds;
	struct sockaddr_in sin = {};

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons(
		(uint16_t)std::stoi(strrchr(x->d.conf.peers_address, ':') + 1));
	for (size_t i = 0; i < count; i++) {
		fds.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
		connect(fds.back(), (struct sockaddr *)&sin, sizeof(sin));
	}
	return fds;
}

size_t still_open(const std::vector<int> &fds)
{
	size_t n = 0;
	char byte;

	for (int fd : fds)
		n += recv(fd, &byte, 1, 0) < 0 && errno == EAGAIN;
	return n;
}

/*
 * Guards against connections that never authenticate and take the descriptors,
 * and against a bound on them that shuts daemons out.
 */
TEST(Links, ConnectionsThatDoNotAuthenticateAreBounded)
{
	peers_pending = 20;
	CellOfThree c;
	peers_pending = 0;
	struct cd_limits limits = limits_of(&c.holder->d.conf);
	std::vector<int> fds = strangers(c.holder, limits.peers_pending + 50);
	Daemon *fourth;

	c.run(1500);
	EXPECT_LE(still_open(fds), limits.peers_pending);
	EXPECT_GT(still_open(fds), 0U);
	fourth = c.add("d4");
	c.follow(fourth, c.holder);
	EXPECT_TRUE(links_holder_up(fourth->d.links));
	c.run(limits.peers_handshake_ms + 100);
	EXPECT_EQ(0U, still_open(fds));
	EXPECT_EQ(links_followers(c.holder->d.links), 3U);
	for (int fd : fds)
		close(fd);
}

/* Guards against input that is buffered before it is known who sends it. */
TEST(Links, InputOfStrangersIsNotBuffered)
{
	CellOfThree c;
	std::vector<int> fds = strangers(c.holder, 1);
	/* A frame that claims to be as long as a handshake may be. */
	std::string text =
		std::string("\0\0\3\377", 4) + std::string(100000, 'x');

	c.run(100);
	send(fds[0], text.data(), text.size(), MSG_NOSIGNAL);
	c.run(500);
	EXPECT_EQ(0U, still_open(fds));
	EXPECT_EQ(links_followers(c.holder->d.links), 2U);
	close(fds[0]);
}
