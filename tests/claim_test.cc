#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstring>
#include <deque>
#include <string>
#include <vector>

#include "claim.h"

namespace
{

constexpr uint32_t kTtlMs = 3000;
constexpr uint32_t kRenewMs = 1000;
constexpr uint64_t kStepMs = 50;
constexpr int kDaemons = 3;

// In-memory key with compare-and-swap that stands in for the store.
struct Store {
	bool exists = false;
	claim_record record{};
	uint64_t index = 0;
	uint64_t next_index = 1;

	bool cas(uint64_t expected, const claim_record &value)
	{
		if ((exists ? index : 0) != expected)
			return false;
		exists = true;
		record = value;
		index = next_index++;
		return true;
	}
};

// Write in flight: it may be applied late, and its reply may be lost.
struct Write {
	int from;
	uint64_t index;
	claim_record record;
	uint64_t apply_at_ms;
	bool lose_reply;
};

struct Cluster {
	Store store;
	claim claims[kDaemons];
	bool paused[kDaemons]{};
	bool store_partitioned[kDaemons]{};
	bool peer_partitioned[kDaemons]{};
	bool store_down = false;
	std::deque<Write> writes;
	uint64_t now = 100000;
	uint64_t rng_state;
	bool all_members;
	int max_valid = 0;
	uint64_t held_ms = 0;

	Cluster(uint64_t seed, bool members)
	    : rng_state(seed | 1), all_members(members)
	{
		for (int i = 0; i < kDaemons; i++)
			restart(i);
	}

	uint64_t random()
	{
		rng_state ^= rng_state >> 12;
		rng_state ^= rng_state << 25;
		rng_state ^= rng_state >> 27;
		return rng_state * 2685821657736338717ULL;
	}

	void restart(int i)
	{
		claim_settings s{};

		snprintf(s.self, sizeof(s.self), "d%d", i);
		s.ttl_ms = kTtlMs;
		s.renew_ms = kRenewMs;
		claim_init(&claims[i], &s, now);
	}

	bool can_reach(int a, int b)
	{
		return !peer_partitioned[a] && !peer_partitioned[b] &&
		       !paused[a] && !paused[b];
	}

	void set_alive(int i)
	{
		char ids[CLAIM_MEMBERS_MAX][CLAIM_NAME_MAX] = {};
		uint32_t n = 0;

		for (int k = 0; k < kDaemons; k++) {
			if (k == i || !can_reach(i, k))
				continue;
			// The last daemon is new and no member yet.
			if (!all_members && k == kDaemons - 1)
				continue;
			snprintf(ids[n++], CLAIM_NAME_MAX, "d%d", k);
		}
		claim_set_alive(&claims[i], ids, n);
	}

	void read(int i)
	{
		if (store_down || store_partitioned[i])
			return;
		claim_on_read(&claims[i], store.exists ? &store.record : NULL,
			      store.index, now);
	}

	void request(int i, bool consent)
	{
		claim_record r = claims[i].record;

		for (int k = 0; k < kDaemons; k++) {
			char id[CLAIM_NAME_MAX];
			bool granted;

			snprintf(id, sizeof(id), "d%d", k);
			if (k == i || !claim_is_member(&r, id) ||
			    (consent && !strcmp(id, r.holder)) ||
			    !can_reach(i, k))
				continue;
			granted = consent ? claim_on_consent_request(
						    &claims[k], r.epoch, now)
					  : claim_on_promise_request(
						    &claims[k],
						    claims[i].settings.self,
						    r.epoch, kTtlMs, now);
			if (random() % 8 == 0)
				continue; // the reply is lost
			if (consent)
				claim_on_consent_reply(&claims[i], id, r.epoch,
						       granted);
			else
				claim_on_promise_reply(&claims[i], id, r.epoch,
						       granted);
		}
	}

	void step_daemon(int i)
	{
		claim *c = &claims[i];

		set_alive(i);
		// Stands for the blocking query of a standby.
		if (c->state == CLAIM_STANDBY && now / kStepMs % 10 == i)
			read(i);
		switch (claim_tick(c, now, random())) {
		case CLAIM_READ:
			read(i);
			break;
		case CLAIM_WRITE: {
			Write w{ i, c->next_index, c->next_record, now, false };

			if (store_partitioned[i] || store_down) {
				claim_on_written(c,
						 random() % 2
							 ? CLAIM_WRITE_FAILED
							 : CLAIM_WRITE_UNKNOWN,
						 now);
				break;
			}
			w.apply_at_ms = now + random() % 4 * kStepMs;
			w.lose_reply = random() % 6 == 0;
			writes.push_back(w);
			break;
		}
		case CLAIM_REQUEST_PROMISES:
			request(i, false);
			break;
		case CLAIM_REQUEST_CONSENT:
			request(i, true);
			break;
		default:
			break;
		}
		if (c->state == CLAIM_ACQUIRING && random() % 4 == 0)
			claim_on_recovered(c, now);
	}

	void apply_writes()
	{
		for (size_t n = 0; n < writes.size();) {
			Write w = writes[n];
			bool ok;

			if (w.apply_at_ms > now) {
				n++;
				continue;
			}
			writes.erase(writes.begin() + (long)n);
			ok = store.cas(w.index, w.record);
			claim_on_written(&claims[w.from],
					 w.lose_reply ? CLAIM_WRITE_UNKNOWN
					 : ok	      ? CLAIM_WRITE_OK
						      : CLAIM_WRITE_CONFLICT,
					 now);
		}
	}

	void step()
	{
		int valid = 0;

		now += kStepMs;
		apply_writes();
		for (int i = 0; i < kDaemons; i++) {
			if (!paused[i])
				step_daemon(i);
		}
		for (auto &c : claims)
			valid += claim_valid(&c, now);
		if (valid > max_valid)
			max_valid = valid;
		held_ms += valid ? kStepMs : 0;
	}

	void run(uint64_t ms)
	{
		for (uint64_t t = 0; t < ms; t += kStepMs)
			step();
	}

	void fault(int kind, int daemon)
	{
		daemon %= kDaemons;
		switch (kind % 7) {
		case 0:
			paused[daemon] = !paused[daemon];
			break;
		case 1:
			store_partitioned[daemon] = !store_partitioned[daemon];
			break;
		case 2:
			peer_partitioned[daemon] = !peer_partitioned[daemon];
			break;
		case 3:
			store_down = !store_down;
			break;
		case 4:
			restart(daemon);
			break;
		case 5:
			if (claims[daemon].state == CLAIM_HELD)
				claim_release(&claims[daemon]);
			break;
		default:
			break;
		}
	}
};

} // namespace

// Guards against two holders of one zone under pauses, partitions, store
// outages, lost replies, restarts and releases, also in combination.
RC_GTEST_PROP(Claim, AtMostOneHolder, ())
{
	auto seed = *rc::gen::arbitrary<uint64_t>();
	auto members = *rc::gen::arbitrary<bool>();
	auto faults =
		*rc::gen::container<std::vector<std::tuple<int, int, int>>>(
			rc::gen::tuple(rc::gen::inRange(0, 7),
				       rc::gen::inRange(0, 3),
				       rc::gen::inRange(0, 120)));
	Cluster cluster(seed, members);

	cluster.run(5000);
	for (auto &f : faults) {
		cluster.fault(std::get<0>(f), std::get<1>(f));
		cluster.run((uint64_t)std::get<2>(f) * kStepMs);
	}
	RC_ASSERT(cluster.max_valid <= 1);
}

// Guards against a zone that stays without a holder after all faults ended.
RC_GTEST_PROP(Claim, ZoneRegainsHolderAfterFaults, ())
{
	auto seed = *rc::gen::arbitrary<uint64_t>();
	Cluster cluster(seed, true);

	cluster.run(5000);
	for (int n = 0; n < 6; n++) {
		cluster.fault((int)(cluster.random() % 5),
			      (int)(cluster.random() % kDaemons));
		cluster.run(cluster.random() % 6000);
	}
	cluster.store_down = false;
	for (int i = 0; i < kDaemons; i++)
		cluster.paused[i] = cluster.store_partitioned[i] =
			cluster.peer_partitioned[i] = false;
	cluster.run(20000);
	cluster.held_ms = 0;
	cluster.run(5000);
	RC_ASSERT(cluster.held_ms > 0U);
}

// Guards against a zone that loses its holder in a store outage although all
// its members can reach each other.
TEST(Claim, HolderSurvivesStoreOutage)
{
	Cluster cluster(7, true);

	cluster.run(8000);
	cluster.store_down = true;
	cluster.run(5000);
	cluster.held_ms = 0;
	cluster.run(60000);
	EXPECT_GT(cluster.held_ms, 50000U);
	EXPECT_EQ(1, cluster.max_valid);
}

// Guards against a malformed value that is accepted as a claim record.
TEST(Claim, RejectsMalformedValues)
{
	claim_record r;
	err e;
	const char *bad[] = { "",
			      "{}",
			      "[1]",
			      "{\"holder\":1}",
			      "{\"holder\":\"a\",\"epoch\":0,\"count\":1,"
			      "\"write_id\":1,\"members_version\":1,"
			      "\"members\":[]}",
			      "{\"holder\":\"a\",\"epoch\":1,\"count\":1,"
			      "\"write_id\":1,\"members_version\":1,"
			      "\"members\":[2]}" };

	for (const char *text : bad)
		EXPECT_FALSE(claim_decode(text, strlen(text), &r, &e)) << text;
}

// Guards against fields that encoding or decoding loses.
TEST(Claim, RecordSurvivesRoundTrip)
{
	claim_record r{};
	claim_record back;
	char out[2048];
	err e;
	size_t len;

	snprintf(r.holder, sizeof(r.holder), "d1");
	r.epoch = 7;
	r.count = 9;
	r.write_id = 0x7fffffffffffffffULL;
	r.member_count = 2;
	snprintf(r.members[0], CLAIM_NAME_MAX, "d1");
	snprintf(r.members[1], CLAIM_NAME_MAX, "d2");
	len = claim_encode(&r, out, sizeof(out));
	ASSERT_TRUE(claim_decode(out, len, &back, &e)) << e.text;
	EXPECT_EQ(0, memcmp(&r, &back, sizeof(r)));
}
