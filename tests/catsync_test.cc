#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "catsync.h"

namespace
{
struct Value {
	std::string text;
	uint64_t index;
};

// Simulation of a store with compare-and-swap, daemons and the links between
// them, in virtual time.
struct Sim {
	struct Node {
		catsync *cs;
		int incarnation = 0;
		bool partitioned = false; // from the peers
	};
	uint64_t now = 1000;
	uint64_t next_index = 10;
	std::map<std::string, Value> kv;
	std::multimap<uint64_t, std::function<void()>> events;
	std::vector<Node> nodes;
	std::mt19937 random{ 7 };
	unsigned reply_loss_percent = 0;   // store replies and pulls
	unsigned send_failure_percent = 0; // store calls not sent
	uint64_t heartbeat_ms = 1000;
	bool watches_hang = false; // blocking reads time out
	uint32_t next_edit = 1;
	std::map<uint32_t, int> results;	// error kind by edit
	std::map<uint32_t, uint64_t> revisions; // in the reply

	explicit Sim(size_t count)
	{
		nodes.resize(count);
		for (size_t i = 0; i < count; i++)
			start(i);
	}
	~Sim()
	{
		for (auto &n : nodes)
			catsync_free(n.cs);
	}
	static std::string name(size_t i)
	{
		return "d" + std::to_string(i);
	}
	static std::string az(size_t i)
	{
		return i % 3 ? "b" : "a";
	}
	static std::string region(size_t i)
	{
		return i % 2 ? "north" : "south";
	}
	void start(size_t i)
	{
		nodes[i].cs = catsync_new(name(i).c_str(), az(i).c_str(),
					  region(i).c_str());
	}
	void restart(size_t i)
	{
		catsync_free(nodes[i].cs);
		nodes[i].incarnation++;
		start(i);
	}
	bool chance(unsigned percent)
	{
		return random() % 100 < percent;
	}
	void at(uint64_t delay, std::function<void()> fn)
	{
		events.emplace(now + delay, std::move(fn));
	}
	void heartbeats()
	{
		for (size_t i = 0; i < nodes.size(); i++) {
			std::vector<catsync_peer> peers;
			for (size_t k = 0; k < nodes.size(); k++) {
				catsync_peer p{};
				if (k == i || nodes[k].partitioned ||
				    nodes[i].partitioned)
					continue;
				snprintf(p.id, sizeof p.id, "%s",
					 name(k).c_str());
				snprintf(p.az, sizeof p.az, "%s",
					 az(k).c_str());
				snprintf(p.region, sizeof p.region, "%s",
					 region(k).c_str());
				p.revision = catsync_cat(nodes[k].cs)->revision;
				peers.push_back(p);
			}
			catsync_set_peers(nodes[i].cs, peers.data(),
					  (uint32_t)peers.size(), now);
		}
	}
	void deliver(size_t i, int incarnation, uint32_t ref,
		     catsync_status status, uint64_t index,
		     const std::string &body)
	{
		if (nodes[i].incarnation == incarnation)
			catsync_on_store_reply(nodes[i].cs, ref, status, index,
					       body.data(), body.size(), now);
	}
	catsync_status put(const std::string &key, uint64_t index,
			   const std::string &body)
	{
		auto it = kv.find(key);
		if ((it == kv.end() ? 0 : it->second.index) != index)
			return CATSYNC_CONFLICT;
		kv[key] = { body, next_index++ };
		return CATSYNC_OK;
	}
	void get(size_t i, int incarnation, uint32_t ref, std::string key,
		 uint64_t index, uint64_t until)
	{
		if (watches_hang && until != UINT64_MAX) {
			at(until > now ? until - now + 2000 : 2000, [=] {
				deliver(i, incarnation, ref, CATSYNC_UNKNOWN, 0,
					"");
			});
			return;
		}
		auto it = kv.find(key);
		uint64_t have =
			it == kv.end() ? next_index - 1 : it->second.index;
		if (have == index && now < until) {
			at(50, [=] {
				get(i, incarnation, ref, key, index, until);
			});
			return;
		}
		bool none = it == kv.end();
		std::string body = none ? "" : it->second.text;
		bool lose_reply = chance(reply_loss_percent);
		at(lose_reply ? 2000 : 1 + random() % 20, [=] {
			deliver(i, incarnation, ref,
				lose_reply ? CATSYNC_UNKNOWN
				: none	   ? CATSYNC_ABSENT
					   : CATSYNC_OK,
				have, body);
		});
	}
	// A PUT whose reply is lost is applied at once, late or never.
	void send_put(size_t i, int incarnation, const catsync_action &a)
	{
		std::string key = a.key, body(a.body, a.body_len);
		uint64_t index = a.index;
		uint32_t ref = a.ref;
		if (chance(reply_loss_percent)) {
			if (chance(70))
				at(random() % 5000,
				   [=] { put(key, index, body); });
			at(2000, [=] {
				deliver(i, incarnation, ref, CATSYNC_UNKNOWN, 0,
					"");
			});
			return;
		}
		at(1 + random() % 10, [=] {
			catsync_status status = put(key, index, body);
			at(1 + random() % 10, [=] {
				deliver(i, incarnation, ref, status, 0, "");
			});
		});
	}
	void pull(size_t i, int incarnation, const catsync_action &a)
	{
		std::string peer = a.peer;
		uint64_t since = a.revision;
		size_t k = (size_t)std::stoi(peer.substr(1));
		if (nodes[i].partitioned || nodes[k].partitioned ||
		    chance(reply_loss_percent))
			return;
		at(1 + random() % 30, [=] {
			char *body = nullptr;
			size_t len = 0;
			std::string state;
			if (catsync_encode_since(nodes[k].cs, since, &body,
						 &len))
				state.assign(body, len);
			free(body);
			at(1 + random() % 30, [=] {
				if (nodes[i].incarnation == incarnation)
					catsync_on_pull_reply(
						nodes[i].cs, peer.c_str(),
						state.data(), state.size(),
						now);
			});
		});
	}
	void execute(size_t i, const catsync_action &a)
	{
		int incarnation = nodes[i].incarnation;
		switch (a.op) {
		case CATSYNC_GET:
		case CATSYNC_PUT:
			if (chance(send_failure_percent)) {
				uint32_t ref = a.ref;
				at(5, [=] {
					deliver(i, incarnation, ref,
						CATSYNC_FAILED, 0, "");
				});
			} else if (a.op == CATSYNC_GET) {
				get(i, incarnation, a.ref, a.key,
				    a.wait_ms ? a.index : UINT64_MAX,
				    now + a.wait_ms);
			} else {
				send_put(i, incarnation, a);
			}
			break;
		case CATSYNC_DELETE:
			kv.erase(a.key);
			break;
		case CATSYNC_PULL:
			pull(i, incarnation, a);
			break;
		case CATSYNC_REPLY:
			EXPECT_EQ(0u, results.count(a.ref)) << "two replies";
			results[a.ref] = a.err.kind;
			revisions[a.ref] = a.revision;
			break;
		case CATSYNC_CHANGED:
			break;
		case CATSYNC_WARN:
			ADD_FAILURE() << a.err.text;
			break;
		}
	}
	void run_actions()
	{
		for (size_t i = 0; i < nodes.size(); i++) {
			catsync_action a;
			uint64_t due = catsync_tick(nodes[i].cs, now);
			ASSERT_GT(due, now) << "action due but not run";
			while (catsync_next(nodes[i].cs, &a)) {
				execute(i, a);
				free(a.body);
			}
		}
	}
	void run(uint64_t ms)
	{
		uint64_t end = now + ms;
		std::vector<uint64_t> before(nodes.size(), 0);
		for (; now < end; now += 5) {
			while (!events.empty() &&
			       events.begin()->first <= now) {
				auto fn = events.begin()->second;
				events.erase(events.begin());
				fn();
			}
			if (now % heartbeat_ms < 5)
				heartbeats();
			run_actions();
			for (size_t i = 0; i < nodes.size(); i++) {
				uint64_t r = catsync_cat(nodes[i].cs)->revision;
				ASSERT_GE(r, before[i]) << "revision decreased";
				before[i] = r;
			}
		}
	}
	// Queues an edit that plans the stop of an instance named after it.
	uint32_t edit(size_t i, uint64_t revision, size_t padding = 0)
	{
		uint32_t ref = next_edit++;
		std::string body = "[{\"set_stop\":{\"instance\":\"w" +
				   std::to_string(ref) + "\",\"at\":1}}" +
				   std::string(padding, ' ');
		for (size_t n = 0; n < padding / 64; n++)
			body += ",{\"set_stop\":{\"instance\":\"w" +
				std::to_string(ref) + "\",\"at\":1}}";
		body += "]";
		std::string id = "id" + std::to_string(ref);
		struct catsync_edit e {
			ref, revision, body.data(), body.size(), id.c_str()
		};
		catsync_edit(nodes[i].cs, &e, now);
		return ref;
	}
	bool present(size_t i, uint32_t ref)
	{
		return cat_stop(catsync_cat(nodes[i].cs),
				("w" + std::to_string(ref)).c_str()) != nullptr;
	}
	uint64_t revision(size_t i)
	{
		return catsync_cat(nodes[i].cs)->revision;
	}
};

using Op = std::tuple<uint8_t, uint8_t, uint16_t>;

void step(Sim &sim, const Op &op)
{
	size_t i = std::get<1>(op) % sim.nodes.size();
	uint16_t arg = std::get<2>(op);
	switch (std::get<0>(op) % 10) {
	case 0:
	case 1:
	case 2:
		sim.edit(i, sim.revision(i), arg % 4 ? 0 : arg);
		break;
	case 3: // two concurrent edits of one revision
		sim.edit(i, sim.revision(i), arg % 2 * 40000);
		sim.edit((i + 1) % sim.nodes.size(), sim.revision(i));
		break;
	case 4:
		if (sim.revision(i))
			sim.edit(i, sim.revision(i) - 1);
		break;
	case 5:
		sim.restart(i);
		break;
	case 6:
		sim.reply_loss_percent = arg % 101;
		sim.send_failure_percent = 0;
		break;
	case 7:
		sim.send_failure_percent = arg % 101;
		sim.reply_loss_percent = arg % 7;
		break;
	case 8:
		sim.nodes[i].partitioned = !sim.nodes[i].partitioned;
		break;
	default:
		sim.reply_loss_percent = sim.send_failure_percent = 0;
		break;
	}
	sim.run(arg % 1500);
}

void check_results(Sim &sim)
{
	for (auto &a : sim.results) {
		for (size_t i = 0; i < sim.nodes.size(); i++) {
			if (a.second == ERR_NONE)
				RC_ASSERT(sim.present(i, a.first));
			else if (a.second != ERR_LOST)
				RC_ASSERT(!sim.present(i, a.first));
		}
	}
}
} // namespace

// Guards against a revision that decreases, an accepted edit that is lost, and
// a rejected edit that is applied, under lost replies, late writes, concurrent
// operators, restarts and partitions; and against daemons that do not converge
// after the store has recovered.
RC_GTEST_PROP(CatSync, AcceptedEditsPersistAndRejectedOnesDoNot,
	      (const std::vector<Op> &ops, uint32_t seed))
{
	Sim sim(4);
	sim.random.seed(seed);
	sim.run(100);
	for (auto &op : ops)
		step(sim, op);
	sim.reply_loss_percent = sim.send_failure_percent = 0;
	for (auto &n : sim.nodes)
		n.partitioned = false;
	sim.run(45000);
	for (size_t i = 0; i < sim.nodes.size(); i++)
		RC_ASSERT(sim.revision(i) == sim.revision(0));
	check_results(sim);
	// After a restart the store alone must supply all accepted edits.
	for (size_t i = 0; i < sim.nodes.size(); i++) {
		sim.nodes[i].partitioned = true;
		sim.restart(i);
	}
	sim.run(5000);
	check_results(sim);
	RC_ASSERT(!::testing::Test::HasFailure());
}

// Guards against a base snapshot that is missing, leaked, or deleted while in
// use, when two operators edit each revision concurrently and the head becomes
// full several times.
TEST(CatSync, BaseIsReplacedWhenTheHeadIsFull)
{
	Sim sim(3);
	std::set<std::string> keys;

	sim.run(1000);
	for (int n = 0; n < 200; n++) {
		uint32_t a = sim.edit(n % 3, sim.revision(0));
		uint32_t b = sim.edit((n + 1) % 3, sim.revision(0));
		sim.run(1500);
		ASSERT_NE(sim.results.at(a), sim.results.at(b)) << n;
		ASSERT_EQ(ERR_CONFLICT, sim.results.at(a) + sim.results.at(b));
	}
	for (auto &v : sim.kv)
		keys.insert(v.first);
	EXPECT_EQ(2u, keys.size()) << "head and one base";
	for (size_t i = 0; i < 3; i++) {
		sim.nodes[i].partitioned = true;
		sim.restart(i);
	}
	sim.run(5000);
	for (size_t i = 0; i < 3; i++)
		EXPECT_EQ(200u, sim.revision(i));
}

// Guards against an edit of a stale revision that is silently rebased, and
// against a conflict that does not report the current revision.
TEST(CatSync, StaleRevisionIsAConflict)
{
	Sim sim(2);
	uint32_t first, second;

	sim.run(1000);
	first = sim.edit(0, 0);
	second = sim.edit(1, 0);
	sim.run(3000);
	EXPECT_EQ(1, (sim.results[first] == ERR_NONE) +
			     (sim.results[second] == ERR_NONE));
	EXPECT_EQ(1, (sim.results[first] == ERR_CONFLICT) +
			     (sim.results[second] == ERR_CONFLICT));
	EXPECT_EQ(1u, sim.revisions[second]);
}

// Guards against an edit that never ends while the store does not reply, and
// against a definite result of a write that may still be applied.
TEST(CatSync, UnresponsiveStoreEndsEditAsLost)
{
	Sim sim(1);
	uint32_t ref;

	sim.run(1000);
	ref = sim.edit(0, 0);
	sim.reply_loss_percent = 100;
	sim.run(CATSYNC_EDIT_TIMEOUT_MS + 3000);
	ASSERT_EQ(1u, sim.results.count(ref));
	EXPECT_EQ(ERR_LOST, sim.results[ref]);
}

// Guards against a daemon that cannot get a newer revision without the store.
TEST(CatSync, PeersServeTheCatalogueDuringAnOutage)
{
	Sim sim(4);

	sim.run(1000);
	sim.edit(0, 0);
	sim.run(3000);
	sim.send_failure_percent = 100;
	sim.restart(3);
	sim.run(5000);
	EXPECT_EQ(1u, sim.revision(3));
}

// Guards against a revision that decreases, or an edit that is accepted on top
// of an older state, when the store returns an older state than before.
TEST(CatSync, StaleStoreReplyIsIgnored)
{
	Sim sim(2);
	uint32_t ref;

	sim.run(1000);
	sim.edit(0, 0);
	sim.run(3000);
	sim.kv.clear();
	ref = sim.edit(1, 1);
	sim.run(CATSYNC_EDIT_TIMEOUT_MS + 3000);
	EXPECT_EQ(1u, sim.revision(0));
	EXPECT_EQ(ERR_STORE_DOWN, sim.results[ref]);
}

// Guards against an accepted edit that is not in force on all daemons within
// the 7 s of design.md, 1.2, when all blocking reads hang and heartbeats have
// their longest interval, 4 s.
TEST(CatSync, EditIsInForceInTimeWithHungWatches)
{
	Sim sim(4);
	uint32_t ref;

	sim.heartbeat_ms = 4000;
	sim.run(6000);
	sim.watches_hang = true;
	sim.run(10000);
	ref = sim.edit(3, 0);
	while (!sim.results.count(ref))
		sim.run(5);
	ASSERT_EQ(ERR_NONE, sim.results[ref]);
	sim.run(7000);
	for (size_t i = 0; i < 4; i++)
		EXPECT_TRUE(sim.present(i, ref)) << i;
}

// Guards against a definite result of a write whose reply was lost, when so
// many edits have followed that the head no longer has the write id of its
// revision.
TEST(CatSync, ExpiredWriteIdEndsEditAsLost)
{
	Sim sim(1);
	struct cathead head;
	json_t *changes = json_array();
	size_t len;
	uint32_t ref;

	sim.run(1000);
	ref = sim.edit(0, 0);
	sim.reply_loss_percent = 100;
	sim.run(5);
	sim.reply_loss_percent = 0;
	cathead_init(&head, 0);
	for (int i = 0; i < CATHEAD_IDS_MAX + 1; i++)
		cathead_push(&head, changes, "other");
	EXPECT_EQ(CATHEAD_ID_EXPIRED, cathead_check_id(&head, 1, "other"));
	EXPECT_EQ(CATHEAD_ID_MATCH, cathead_check_id(&head, 2, "other"));
	EXPECT_EQ(CATHEAD_ID_MISMATCH, cathead_check_id(&head, 2, "id1"));
	cathead_drop(&head, CATHEAD_IDS_MAX);
	char *text = cathead_encode(&head, &len);
	sim.kv[CATHEAD_KEY] = { text, sim.next_index++ };
	free(text);
	cathead_free(&head);
	json_decref(changes);
	sim.run(5000);
	ASSERT_EQ(1u, sim.results.count(ref));
	EXPECT_EQ(ERR_LOST, sim.results[ref]);
}
