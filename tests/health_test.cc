#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <deque>

#include "health.h"

namespace
{

// Reference model of the ejection rules, over the list of results.
struct Simulation {
	health h = {};
	uint64_t now = 1000;
	std::deque<bool> results; // since the last ejection or probe
	uint64_t ejected_until = 0;
	uint64_t length = 0;
	int successes = 0;
	bool ejected = false;
	bool probing = false;

	bool expect_ejection(bool ok)
	{
		int failures = 0;
		int consecutive = 0;

		results.push_back(ok);
		if (results.size() > 20)
			results.pop_front();
		for (bool r : results) {
			failures += !r;
			consecutive = r ? 0 : consecutive + 1;
		}
		return consecutive >= 5 ||
		       (results.size() == 20 && failures >= 16);
	}

	void eject()
	{
		length = length ? length * 2 : 5000;
		length = length < 300000 ? length : 300000;
		ejected_until = now + length;
		ejected = true;
		probing = false;
		successes = 0;
		results.clear();
	}

	void result(bool ok)
	{
		bool eject_now = false;

		if (ejected && probing) {
			eject_now = !ok;
			if (ok) {
				ejected = probing = false;
				successes = 0;
			}
		}
		if (!ejected) {
			successes += ok;
			if (successes >= 20 && ok)
				length = 0;
			eject_now = expect_ejection(ok);
		}
		if (eject_now)
			eject();
		RC_ASSERT(health_result(&h, ok, now) == eject_now);
	}

	void send()
	{
		if (ejected && now >= ejected_until)
			probing = true;
		health_sent(&h, now);
	}

	void check() const
	{
		enum health_state expected = HEALTH_OK;

		if (ejected)
			expected = now < ejected_until || probing
					   ? HEALTH_EJECTED
					   : HEALTH_PROBE;
		RC_ASSERT(health_state(&h, now) == expected);
	}
};

struct Model {
};

struct Step : rc::state::Command<Model, Simulation> {
	int op = *rc::gen::weightedElement<int>(
		{ { 10, 0 }, { 3, 1 }, { 3, 2 }, { 3, 3 } });
	uint64_t ms = *rc::gen::element<uint64_t>(1, 4999, 5000, 20000);

	void run(const Model &, Simulation &sim) const override
	{
		switch (op) {
		case 0:
			sim.result(false);
			break;
		case 1:
			sim.result(true);
			break;
		case 2:
			sim.send();
			break;
		default:
			// The model does not cover lost probes: the result of a
			// probe arrives before its timeout of 60 s.
			if (!sim.probing)
				sim.now += ms;
		}
		sim.check();
	}

	void show(std::ostream &os) const override
	{
		os << "op " << op << " ms " << ms;
	}
};

} // namespace

// Guards against work sent to an ejected instance, more than one probe at a
// time, and ejections that are too short, too long or missing.
RC_GTEST_PROP(Health, MatchesReferenceModel, ())
{
	const Model model;
	Simulation sim;
	const auto steps = *rc::gen::scale(
		5, rc::state::gen::commands(
			   model, rc::state::gen::execOneOfWithArgs<Step>()));

	rc::state::runAll(steps, model, sim);
}

// Guards against an instance that stays ejected because the result of its probe
// was lost.
TEST(Health, LostProbeIsRepeated)
{
	health h = {};

	for (int i = 0; i < 5; i++)
		health_result(&h, false, 1000);
	EXPECT_EQ(HEALTH_EJECTED, health_state(&h, 5999));
	EXPECT_EQ(HEALTH_PROBE, health_state(&h, 6000));
	health_sent(&h, 6000);
	EXPECT_EQ(HEALTH_EJECTED, health_state(&h, 65999));
	EXPECT_EQ(HEALTH_PROBE, health_state(&h, 66000));
}

// Guards against ejection for scattered failures, and against a minion that is
// not ejected because it fails 80% of its work, but never five times in a row.
TEST(Health, EjectsByFailureRate)
{
	health h = {};
	int ejections = 0;

	for (int i = 0; i < 1000; i++)
		ejections += health_result(&h, i % 2 == 0, 1000);
	EXPECT_EQ(0, ejections);
	h = {};
	for (int i = 0; i < 19; i++)
		ejections += health_result(&h, i % 5 == 0, 1000);
	EXPECT_EQ(0, ejections);
	EXPECT_TRUE(health_result(&h, false, 1000));
}
