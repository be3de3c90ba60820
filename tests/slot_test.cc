#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <string>
#include <vector>

#include "slot.h"

namespace
{

const int DAEMONS = 4;
const uint64_t TERM = 3000;
const uint64_t TAIL = 2000;
const uint64_t CLAIM = 3000;

// The daemons of a zone with separate clocks, one minion, and a network that
// loses, repeats and delays messages. check() compares the requests in flight
// to the minion, and the sum of the daemons' limits, with the minion's slots.
struct Simulation {
	struct Daemon {
		std::string name;
		slot_table *table;
		uint64_t clock_offset;
		bool alive = true;
		uint32_t waiting = 0;
		std::vector<uint64_t> end_times; // of requests in flight
		uint64_t valid_until = 0; // end of its claim, by its clock
		uint64_t held_epoch = 0;
		int holder = -1; // last one seen by this daemon
	};
	struct Message {
		int from;
		int to;
		std::string body;
		bool grant;
	};

	const uint32_t slots;
	uint64_t now = 1000000;
	Daemon daemons[DAEMONS];
	slot_claim journal = {}; // epoch and members in the journal
	int holder = -1;
	uint64_t claim_end = 0;
	std::vector<Message> messages;
	uint32_t max_sum = 0;

	explicit Simulation(uint32_t n) : slots(n)
	{
		for (int i = 0; i < DAEMONS; i++) {
			Daemon &d = daemons[i];

			d.name = "d" + std::to_string(i);
			d.clock_offset = 500000 * (uint64_t)i;
			d.table = slot_new(d.name.c_str(), TERM);
			slot_set_request_timeout(d.table, TAIL);
			slot_set_minion(d.table, "m", slots, slots * 8,
					clock(i));
		}
		add_member(0);
		add_member(1);
	}
	Simulation(const Simulation &) = delete;
	~Simulation()
	{
		for (auto &d : daemons)
			slot_free(d.table);
	}

	uint64_t clock(int d) const
	{
		return now + daemons[d].clock_offset;
	}

	bool is_member(int d) const
	{
		for (uint32_t i = 0; i < journal.member_count; i++) {
			if (daemons[d].name == journal.members[i])
				return true;
		}
		return false;
	}

	void add_member(int d)
	{
		snprintf(journal.members[journal.member_count], SLOT_NAME_MAX,
			 "%s", daemons[d].name.c_str());
		journal.member_count++;
		journal.members_version++;
	}

	void remove_member(int d)
	{
		slot_claim old = journal;

		journal.member_count = 0;
		for (uint32_t i = 0; i < old.member_count; i++) {
			if (daemons[d].name == old.members[i])
				continue;
			memcpy(journal.members[journal.member_count++],
			       old.members[i], SLOT_NAME_MAX);
		}
		journal.members_version++;
	}

	// Passes the state of the journal and of its own claim to a daemon.
	void apply_journal(int i)
	{
		Daemon &d = daemons[i];
		slot_claim c = journal;

		c.held = d.held_epoch == journal.epoch && journal.epoch;
		c.valid_until_ms = d.valid_until;
		slot_set_claim(d.table, &c, clock(i));
		d.holder = holder;
	}

	// Makes a daemon the holder once the previous claim has expired. The
	// previous holder is not notified.
	void takeover(int d)
	{
		if (now < claim_end || !daemons[d].alive)
			return;
		journal.epoch++;
		holder = d;
		daemons[d].held_epoch = journal.epoch;
		if (!is_member(d) && journal.member_count < SLOT_MEMBERS_MAX)
			add_member(d);
		renew();
	}

	void renew()
	{
		if (holder < 0 || !daemons[holder].alive)
			return;
		claim_end = now + CLAIM;
		daemons[holder].valid_until = clock(holder) + CLAIM;
		apply_journal(holder);
	}

	// The holder adds a live daemon to the member list, or removes a dead
	// one.
	void update_membership(int d)
	{
		if (holder < 0 || now >= claim_end || !daemons[holder].alive)
			return;
		if (!is_member(d) && daemons[d].alive)
			add_member(d);
		else if (is_member(d) && !daemons[d].alive)
			remove_member(d);
		apply_journal(holder);
	}

	void demand(int i)
	{
		static slot_demand m;
		static char body[SLOT_BODY_MAX];

		if (!daemons[i].alive || daemons[i].holder < 0)
			return;
		slot_set_use(daemons[i].table, 0,
			     (uint32_t)daemons[i].end_times.size(),
			     daemons[i].waiting);
		slot_make_demand(daemons[i].table, &m, clock(i));
		messages.push_back(
			{ i, daemons[i].holder,
			  std::string(body, slot_encode_demand(&m, body,
							       sizeof(body))),
			  false });
	}

	// Stops a daemon gracefully: with nothing in flight, it sends a release
	// to all others. Some of these messages may be lost or late.
	void stop(int i)
	{
		static slot_demand m;
		static char body[SLOT_BODY_MAX];
		Daemon &d = daemons[i];
		size_t len;

		if (!d.alive || !d.end_times.empty())
			return;
		slot_release(d.table);
		slot_make_demand(d.table, &m, clock(i));
		len = slot_encode_demand(&m, body, sizeof(body));
		RC_ASSERT(len > 0u);
		RC_ASSERT(slot_limit(d.table, 0, clock(i)) == 0u);
		for (int to = 0; to < DAEMONS; to++) {
			if (to != i)
				messages.push_back({ i, to,
						     std::string(body, len),
						     false });
		}
		d.alive = false;
	}

	void deliver(size_t index, bool keep)
	{
		static slot_demand m;
		static slot_grant g;
		static char body[SLOT_BODY_MAX];
		Message l = messages[index];
		Daemon &to = daemons[l.to];

		if (!keep)
			messages.erase(messages.begin() + (long)index);
		if (!to.alive)
			return;
		if (l.grant) {
			RC_ASSERT(slot_decode_grant(l.body.data(),
						    l.body.size(), &g));
			slot_handle_grant(to.table, &g, clock(l.to));
			return;
		}
		RC_ASSERT(slot_decode_demand(l.body.data(), l.body.size(), &m));
		if (!slot_handle_demand(to.table, daemons[l.from].name.c_str(),
					&m, &g, clock(l.to)))
			return;
		messages.push_back(
			{ l.to, l.from,
			  std::string(body, slot_encode_grant(&g, body,
							      sizeof(body))),
			  true });
	}

	// Picks one of the last messages: older ones are mostly rejected as
	// outdated and would find few faults.
	size_t recent_message(size_t pick) const
	{
		size_t last = messages.size() < 4 ? messages.size() : 4;

		return messages.size() - 1 - pick % last;
	}

	// Exchanges a demand and a grant with each daemon. The grant for @late
	// is not delivered, and daemons in the bit mask @uninformed do not get
	// the state of the journal.
	void round(int late = DAEMONS, size_t uninformed = 0)
	{
		renew();
		for (int i = 0; i < DAEMONS; i++) {
			if (!(uninformed >> i & 1))
				apply_journal(i);
		}
		for (int i = 0; i < DAEMONS; i++)
			exchange(i, i == late);
	}

	void exchange(int i, bool late)
	{
		size_t first = messages.size();

		demand(i);
		if (messages.size() > first)
			deliver(first, false);
		if (messages.size() > first && !late)
			deliver(first, false);
	}

	// A takeover right after the claim of a paused holder has expired,
	// which has handled a demand of daemon @last just before.
	void failover(int d, int last)
	{
		if (claim_end > now + 100)
			advance(claim_end - now - 100);
		if (last < DAEMONS)
			exchange(last, false);
		check();
		advance(100);
		takeover(d);
	}

	void send(int i, int count)
	{
		Daemon &d = daemons[i];

		while (d.alive && count-- > 0 &&
		       d.end_times.size() < slot_limit(d.table, 0, clock(i)))
			d.end_times.push_back(now + TAIL);
	}

	void finish(int i)
	{
		if (!daemons[i].end_times.empty())
			daemons[i].end_times.pop_back();
	}

	void advance(uint64_t ms)
	{
		now += ms;
		for (auto &d : daemons) {
			std::vector<uint64_t> open;

			for (uint64_t end : d.end_times) {
				if (end > now)
					open.push_back(end);
			}
			d.end_times = open;
		}
	}

	void check()
	{
		uint32_t in_flight = 0;
		uint32_t may_send = 0;
		uint32_t connections = 0;

		for (int i = 0; i < DAEMONS; i++) {
			Daemon &d = daemons[i];

			if (!d.alive) {
				in_flight += (uint32_t)d.end_times.size();
				continue;
			}
			// A daemon with waiting requests uses its whole limit.
			if (d.waiting)
				send(i, 100);
			in_flight += (uint32_t)d.end_times.size();
			may_send += slot_limit(d.table, 0, clock(i));
			connections += slot_connections(d.table, 0, clock(i));
		}
		RC_ASSERT(in_flight <= slots);
		RC_ASSERT(may_send <= slots);
		RC_ASSERT(connections <= slots * 8);
		if (may_send > max_sum)
			max_sum = may_send;
	}
};

struct Model {
};

struct Step : rc::state::Command<Model, Simulation> {
	int op = *rc::gen::weightedElement<int>({ { 4, 0 },
						  { 6, 1 },
						  { 2, 2 },
						  { 6, 3 },
						  { 12, 4 },
						  { 4, 5 },
						  { 2, 6 },
						  { 2, 7 },
						  { 2, 8 },
						  { 2, 9 },
						  { 12, 10 },
						  { 2, 11 },
						  { 2, 12 } });
	int daemon = *rc::gen::inRange(0, DAEMONS);
	size_t pick = *rc::gen::inRange<size_t>(0, 1000);
	int count = *rc::gen::inRange(0, 9);
	uint64_t ms = *rc::gen::element<uint64_t>(100, 500, 500, 1000, 1000,
						  2900, 6000);

	void run(const Model &, Simulation &sim) const override
	{
		switch (op) {
		case 0:
			sim.demand(daemon);
			break;
		case 1: // Out of order, possibly more than once.
			if (!sim.messages.empty())
				sim.deliver(sim.recent_message(pick),
					    count == 0);
			break;
		case 2:
			if (!sim.messages.empty())
				sim.messages.erase(
					sim.messages.begin() +
					(long)sim.recent_message(pick));
			break;
		case 3:
			sim.daemons[daemon].waiting =
				count < 5 ? 0 : (uint32_t)count;
			break;
		case 4:
			sim.round(count, pick < 500 ? 0 : pick);
			break;
		case 5:
			sim.send(daemon, count);
			break;
		case 6:
			sim.renew();
			break;
		case 7:
			sim.failover(daemon, count);
			break;
		case 8:
			sim.update_membership(daemon);
			break;
		case 9:
			sim.apply_journal(daemon);
			break;
		case 10:
			sim.advance(ms);
			break;
		case 12:
			sim.stop(daemon);
			// In many cases the list changes immediately.
			while (count > 4 && !sim.messages.empty())
				sim.deliver(sim.messages.size() - 1, false);
			if (count > 2)
				sim.update_membership(daemon);
			break;
		default:
			if (count == 0)
				sim.daemons[daemon].alive = false;
			sim.finish(daemon);
		}
		sim.check();
	}

	void show(std::ostream &os) const override
	{
		os << "op " << op << " daemon " << daemon << " pick " << pick
		   << " count " << count << " ms " << ms;
	}
};

// Starts a zone of two members and runs it until their shares have grown.
void settle_shares(Simulation &sim)
{
	sim.takeover(0);
	sim.apply_journal(1);
	for (int i = 0; i < 16; i++) {
		sim.round();
		sim.advance(500);
	}
}

} // namespace

// Guards against more requests or connections, in total over the daemons, than
// a minion permits, with lost, late and repeated messages, dead daemons, member
// changes and takeovers.
RC_GTEST_PROP(Slot, LimitsNeverExceedMinionSlots, ())
{
	const Model model;

	// Several runs per case, because most faults need rare sequences.
	for (int i = 0; i < 20; i++) {
		Simulation sim(*rc::gen::inRange(1u, 12u));
		const auto steps = *rc::gen::scale(
			5, rc::state::gen::commands(
				   model,
				   rc::state::gen::execOneOfWithArgs<Step>()));

		if (*rc::gen::inRange(0, 4))
			settle_shares(sim);
		rc::state::runAll(steps, model, sim);
	}
}

// Guards against a protocol that is safe only because it never grants: a busy
// member must get all slots while the other is idle.
TEST(Slot, BusyMemberGetsSlotsOfIdleMember)
{
	Simulation sim(9);

	settle_shares(sim);
	EXPECT_EQ(4u, slot_limit(sim.daemons[0].table, 0, sim.clock(0)));
	EXPECT_EQ(4u, slot_limit(sim.daemons[1].table, 0, sim.clock(1)));
	sim.daemons[1].waiting = 9;
	for (int i = 0; i < 3; i++) {
		sim.round();
		sim.advance(500);
	}
	EXPECT_EQ(9u, slot_limit(sim.daemons[1].table, 0, sim.clock(1)));
	EXPECT_EQ(0u, slot_limit(sim.daemons[0].table, 0, sim.clock(0)));
	// Lent slots return after the grant term and the longest request.
	sim.daemons[1].waiting = 0;
	for (int i = 0; i < 40; i++) {
		sim.round();
		sim.advance(500);
	}
	EXPECT_EQ(4u, slot_limit(sim.daemons[0].table, 0, sim.clock(0)));
}

// Guards against a new member that must wait for the longest request timeout of
// a stopped one, although that one has released its slots, including when it is
// removed from the list before its release arrives.
TEST(Slot, ReleasedMemberHoldsNoSlots)
{
	for (bool late : { false, true }) {
		Simulation sim(8);

		for (auto &d : sim.daemons)
			slot_set_request_timeout(d.table, 100000);
		settle_shares(sim);
		sim.stop(1);
		if (late)
			sim.update_membership(1);
		while (!sim.messages.empty())
			sim.deliver(0, false);
		if (!late)
			sim.update_membership(1);
		sim.update_membership(2);
		for (int i = 0; i < 8; i++) {
			sim.round();
			sim.advance(500);
		}
		EXPECT_EQ(4u,
			  slot_limit(sim.daemons[2].table, 0, sim.clock(2)));
		EXPECT_EQ(4u,
			  slot_limit(sim.daemons[0].table, 0, sim.clock(0)));
	}
}

// Guards against base shares that expire when the holder fails.
TEST(Slot, BaseShareSurvivesHolderFailure)
{
	Simulation sim(8);

	settle_shares(sim);
	sim.daemons[0].alive = false;
	sim.advance(600000);
	EXPECT_EQ(4u, slot_limit(sim.daemons[1].table, 0, sim.clock(1)));
	EXPECT_EQ(32u, slot_connections(sim.daemons[1].table, 0, sim.clock(1)));
}

// Guards against reads past the end of a message, and against acceptance of a
// truncated one.
RC_GTEST_PROP(Slot, TruncatedMessagesAreRejected, ())
{
	static slot_demand m;
	static slot_demand read;
	static char body[SLOT_BODY_MAX];
	size_t len;

	m = {};
	m.epoch = *rc::gen::arbitrary<uint64_t>();
	m.seq = *rc::gen::arbitrary<uint64_t>();
	m.count = 2;
	for (uint32_t i = 0; i < m.count; i++) {
		snprintf(m.items[i].minion, SLOT_NAME_MAX, "minion-%u", i);
		m.items[i].extra = *rc::gen::inRange(0u, 4096u);
	}
	len = slot_encode_demand(&m, body, sizeof(body));
	RC_ASSERT(len > 0u);
	RC_ASSERT(slot_decode_demand(body, len, &read));
	RC_ASSERT(read.epoch == m.epoch && read.seq == m.seq);
	RC_ASSERT(read.items[1].extra == m.items[1].extra);
	for (size_t cut = 0; cut < len; cut++)
		RC_ASSERT(!slot_decode_demand(body, cut, &read));
	RC_ASSERT(slot_encode_demand(&m, body, len - 1) == 0u);
}
