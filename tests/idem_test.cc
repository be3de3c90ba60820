#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "idem.h"

namespace
{

const int DAEMONS = 3;
enum Answer { NOT_RUN, DONE };

void free_nothing(void *)
{
}

// Three daemons of a zone with separate tables and clocks, and a network that
// loses, repeats and delays requests. Counts the runs of each key and keeps the
// keys for which a caller got the answer that the request did not run.
struct Simulation {
	struct Request {
		int daemon;
		std::string key;
		bool sent;
	};
	struct Message {
		int daemon;
		std::string key;
	};

	idem_table *tables[DAEMONS];
	uint64_t clock[DAEMONS] = { 1000000, 5000, 77777777 };
	uint64_t claim_start[DAEMONS] = {};
	uint64_t epoch = 0;
	int holder = -1;
	uint64_t random = 1;
	std::vector<std::string> keys;
	std::vector<Message> messages;
	std::vector<Request> requests;
	std::map<std::string, int> runs;
	std::set<std::string> reported_not_run;
	static Answer answers[2];

	Simulation()
	{
		idem_settings settings = {};

		settings.az = "zone-a";
		settings.max_keys = 1000;
		settings.max_answer_bytes = 1000;
		settings.free_answer = free_nothing;
		for (auto &t : tables)
			t = idem_new(&settings);
	}
	Simulation(const Simulation &) = delete;
	~Simulation()
	{
		for (auto *t : tables)
			idem_free(t);
	}

	uint32_t window(int d) const
	{
		return (uint32_t)((clock[d] - claim_start[d]) / 1000);
	}

	// Makes a daemon the holder. The previous holder is not notified.
	void takeover(int d)
	{
		epoch++;
		holder = d;
		claim_start[d] = clock[d];
		idem_set_claim(tables[d], true, epoch, 0, clock[d]);
	}

	void lapse_claim(int d)
	{
		idem_set_claim(tables[d], false, epoch, 0, clock[d]);
	}

	void renew()
	{
		if (holder >= 0)
			idem_set_claim(tables[holder], true, epoch,
				       window(holder), clock[holder]);
	}

	// Issues a key with a window that is up to 4 s old, as from a daemon
	// with an outdated claim, or up to 4 s in the future, as if forged.
	void issue_key(int lag)
	{
		idem_key parts = {};
		char text[IDEM_KEY_MAX];
		int64_t w;

		if (holder < 0)
			return;
		w = (int64_t)window(holder) - lag;
		snprintf(parts.az, sizeof(parts.az), "zone-a");
		parts.epoch = epoch;
		parts.window = w > 0 ? (uint32_t)w : 0;
		parts.random = random++;
		RC_ASSERT(idem_format(text, sizeof(text), &parts));
		keys.push_back(text);
	}

	// Picks one of the last keys: most faults need several steps on the
	// same key.
	const std::string &recent_key(size_t pick) const
	{
		size_t last = keys.size() < 4 ? keys.size() : 4;

		return keys[keys.size() - 1 - pick % last];
	}

	void report_not_run(const std::string &key)
	{
		RC_ASSERT(runs[key] == 0);
		reported_not_run.insert(key);
	}

	void finish_key(const Request &r, Answer answer)
	{
		if (answer == NOT_RUN)
			report_not_run(r.key);
		idem_finish(tables[r.daemon], r.key.c_str(), &answers[answer],
			    1);
	}

	void deliver(const Message &l)
	{
		void *stored;
		idem_result v = idem_begin(tables[l.daemon], l.key.c_str(), 7,
					   clock[l.daemon], &stored);

		if (v == IDEM_RUN)
			requests.push_back({ l.daemon, l.key, false });
		else if (v == IDEM_LAPSED)
			finish_key({ l.daemon, l.key, false }, NOT_RUN);
		else if (v == IDEM_ANSWER && *(Answer *)stored == NOT_RUN)
			report_not_run(l.key);
		else if (v == IDEM_ANSWER)
			RC_ASSERT(runs[l.key] == 1);
		RC_ASSERT(v != IDEM_REUSED && v != IDEM_FULL);
	}

	void dispatch(size_t i)
	{
		Request &r = requests[i];

		if (!idem_dispatch(tables[r.daemon], r.key.c_str())) {
			if (!r.sent)
				finish(i);
			return;
		}
		r.sent = true;
		runs[r.key]++;
		RC_ASSERT(runs[r.key] == 1);
		RC_ASSERT(!reported_not_run.count(r.key));
	}

	void finish(size_t i)
	{
		Request r = requests[i];

		requests.erase(requests.begin() + (long)i);
		finish_key(r, r.sent ? DONE : NOT_RUN);
	}
};

Answer Simulation::answers[2] = { NOT_RUN, DONE };

struct Model {
};

struct Step : rc::state::Command<Model, Simulation> {
	int op = *rc::gen::weightedElement<int>({ { 2, 0 },
						  { 1, 1 },
						  { 2, 2 },
						  { 4, 3 },
						  { 6, 4 },
						  { 6, 5 },
						  { 10, 6 },
						  { 10, 7 },
						  { 4, 8 },
						  { 3, 9 } });
	int daemon = *rc::gen::inRange(0, DAEMONS);
	size_t pick = *rc::gen::inRange<size_t>(0, 1000);
	int lag = *rc::gen::inRange(-4, 5);
	uint64_t ms = *rc::gen::element<uint64_t>(1, 900, 900, 2500, 2500,
						  10000, 61000, 121000);

	void run(const Model &, Simulation &sim) const override
	{
		switch (op) {
		case 0:
			sim.takeover(daemon);
			break;
		case 1:
			sim.lapse_claim(daemon);
			break;
		case 2:
			sim.renew();
			break;
		case 3:
			sim.issue_key(lag);
			break;
		case 4: // A retry may reach any daemon.
			if (!sim.keys.empty())
				sim.messages.push_back(
					{ daemon, sim.recent_key(pick) });
			break;
		case 5: // The message stays and may be delivered again.
			if (!sim.messages.empty())
				sim.deliver(sim.messages[pick %
							 sim.messages.size()]);
			break;
		case 6: // Delivery without delay.
			if (!sim.keys.empty())
				sim.deliver({ daemon, sim.recent_key(pick) });
			break;
		case 7:
			if (!sim.requests.empty())
				sim.dispatch(pick % sim.requests.size());
			break;
		case 8:
			if (!sim.requests.empty())
				sim.finish(pick % sim.requests.size());
			break;
		default:
			for (auto &c : sim.clock)
				c += ms;
		}
	}

	void show(std::ostream &os) const override
	{
		os << "op " << op << " daemon " << daemon << " pick " << pick
		   << " lag " << lag << " ms " << ms;
	}
};

struct Table {
	idem_table *t;
	Table(size_t bytes, void (*free_answer)(void *) = free_nothing)
	{
		idem_settings s = { "a", 3, bytes, free_answer };

		t = idem_new(&s);
		idem_set_claim(t, true, 5, 200, 1000000);
	}
	~Table()
	{
		idem_free(t);
	}
	idem_result begin(const char *key, uint64_t now = 1000000)
	{
		void *answer;

		return idem_begin(t, key, 1, now, &answer);
	}
};

#define RANDOM ".00000000000000"

} // namespace

// Guards against a key that runs twice, or runs although a caller got the
// answer that it did not, with takeovers, paused holders, late and repeated
// requests, and retries through other daemons.
RC_GTEST_PROP(Idem, RunsAtMostOnceAndNotRunIsAccurate, ())
{
	Model model;
	Simulation sim;

	const auto steps = *rc::gen::scale(
		4, rc::state::gen::commands(
			   model, rc::state::gen::execOneOfWithArgs<Step>()));

	rc::state::runAll(steps, model, sim);
}

// Guards against a parser that accepts more than one text for the same key, by
// which one request would have two keys.
RC_GTEST_PROP(Idem, ParseIsInverseOfFormat,
	      (uint64_t epoch, uint32_t window, uint64_t random))
{
	idem_key parts = {};
	idem_key read;
	char text[IDEM_KEY_MAX];
	char formatted[IDEM_KEY_MAX];

	snprintf(parts.az, sizeof(parts.az), "howrah-a");
	parts.epoch = epoch;
	parts.window = window;
	parts.random = random;
	RC_ASSERT(idem_format(text, sizeof(text), &parts));
	RC_ASSERT(idem_parse(text, &read));
	RC_ASSERT(idem_format(formatted, sizeof(formatted), &read));
	RC_ASSERT(std::string(text) == formatted);
	for (size_t i = 0; text[i]; i++) {
		std::string cut(text, i);

		RC_ASSERT(!idem_parse(cut.c_str(), &read));
	}
}

// Guards against aliases of a key, and against keys that could inject an HTTP
// header.
TEST(Idem, RejectsMalformedKeys)
{
	idem_key k;

	EXPECT_FALSE(idem_parse("a.01.2" RANDOM "00", &k));
	EXPECT_FALSE(idem_parse("a.1.4294967296" RANDOM "00", &k));
	EXPECT_FALSE(idem_parse("a.1.2" RANDOM "0A", &k));
	EXPECT_FALSE(idem_parse("a.1.2" RANDOM "000", &k));
	EXPECT_FALSE(idem_parse(".1.2" RANDOM "00", &k));
	EXPECT_FALSE(idem_parse("a.18446744073709551616.2" RANDOM "00", &k));
	EXPECT_TRUE(idem_parse("a.18446744073709551615.2" RANDOM "00", &k));
	EXPECT_FALSE(idem_caller_key_valid(""));
	EXPECT_FALSE(idem_caller_key_valid("a b"));
	EXPECT_FALSE(idem_caller_key_valid("a\r\nX: y"));
	EXPECT_FALSE(idem_caller_key_valid(std::string(65, 'a').c_str()));
	EXPECT_TRUE(idem_caller_key_valid(std::string(64, 'a').c_str()));
}

// Guards against wrong results for keys at the limits of the retained windows,
// and for keys of other epochs and zones.
TEST(Idem, WindowBoundaries)
{
	Table t(100);

	EXPECT_EQ(IDEM_RUN, t.begin("a.5.80" RANDOM "00"));
	EXPECT_EQ(IDEM_UNKNOWN, t.begin("a.5.79" RANDOM "01"));
	EXPECT_EQ(IDEM_MALFORMED, t.begin("a.5.203" RANDOM "02"));
	EXPECT_EQ(IDEM_RUN, t.begin("a.5.202" RANDOM "03"));
	EXPECT_EQ(IDEM_UNKNOWN, t.begin("a.4.200" RANDOM "04"));
	EXPECT_EQ(IDEM_UNKNOWN, t.begin("a.6.200" RANDOM "05"));
	EXPECT_EQ(IDEM_MALFORMED, t.begin("b.5.200" RANDOM "06"));
	idem_set_claim(t.t, false, 6, 0, 1000000);
	EXPECT_EQ(IDEM_LAPSED, t.begin("a.5.200" RANDOM "07"));
	EXPECT_EQ(IDEM_FULL, t.begin("a.5.200" RANDOM "08"));
	EXPECT_EQ(IDEM_WAIT, t.begin("a.5.80" RANDOM "00"));
	EXPECT_EQ(IDEM_UNKNOWN, t.begin("a.5.80" RANDOM "00", 1001000));
	EXPECT_EQ(2u, idem_count(t.t));
}

// Guards against an answer to other work under the same key, and against stored
// answers beyond the size limit.
TEST(Idem, StoresAnswersWithinLimits)
{
	Table t(10);
	int answer = 1;
	void *stored;

	EXPECT_EQ(IDEM_RUN, t.begin("a.5.200" RANDOM "00"));
	EXPECT_EQ(IDEM_RUN, t.begin("a.5.200" RANDOM "01"));
	EXPECT_TRUE(idem_dispatch(t.t, "a.5.200" RANDOM "00"));
	EXPECT_FALSE(idem_dispatch(t.t, "a.5.200" RANDOM "00"));
	EXPECT_TRUE(idem_finish(t.t, "a.5.200" RANDOM "00", &answer, 10));
	EXPECT_FALSE(idem_finish(t.t, "a.5.200" RANDOM "01", &answer, 1));
	EXPECT_EQ(IDEM_ANSWER,
		  idem_begin(t.t, "a.5.200" RANDOM "00", 1, 1000000, &stored));
	EXPECT_EQ(&answer, stored);
	EXPECT_EQ(IDEM_UNKNOWN, t.begin("a.5.200" RANDOM "01"));
	EXPECT_EQ(IDEM_REUSED,
		  idem_begin(t.t, "a.5.200" RANDOM "00", 2, 1000000, &stored));
}
