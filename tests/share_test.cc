#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "share.h"

namespace
{
// Reference model of an owner, with its charges summed up in 64 bits.
struct Owner {
	uint64_t cpu = 0, mem = 0, accel = 0;
	double weight = 1;
	res max = {};
	share_zero zero = {};
	std::vector<res> held;
};

struct res any_size()
{
	return { *rc::gen::inRange<uint32_t>(0, 9000),
		 *rc::gen::inRange<uint32_t>(0, 9000),
		 *rc::gen::inRange<uint32_t>(0, 3) };
}

bool within(uint64_t used, uint64_t more, uint32_t max, bool zero)
{
	return !more || (!max && !zero) || used + more <= max;
}

double share_oracle(const Owner &o, const res &total)
{
	auto part = [](uint64_t a, uint32_t b) {
		return a ? (b ? (double)a / b : 1.0) : 0.0;
	};
	return std::max({ part(o.cpu, total.cpu_milli),
			  part(o.mem, total.mem_mb),
			  part(o.accel, total.accel) }) /
	       o.weight;
}

bool in_set(void *ctx, uint32_t owner)
{
	return static_cast<std::set<uint32_t> *>(ctx)->count(owner) > 0;
}
} // namespace

// Guards against an owner over its limit, a refused charge that is applied in
// part, and a pick that does not have the lowest share, while limits, weights
// and the total capacity change between the steps.
RC_GTEST_PROP(Share, LimitsHoldAndTheLowestShareIsPicked, ())
{
	share *s = share_new();
	uint32_t count = *rc::gen::inRange<uint32_t>(1, 20);
	std::vector<Owner> owners(count);
	res total = { 100000, 200000, 8 };
	int steps = *rc::gen::inRange(1, 80);

	for (uint32_t i = 0; i < count; i++)
		RC_ASSERT(share_owner(s, std::to_string(i).c_str()) == i);
	share_set_total(s, &total);
	while (steps--) {
		uint32_t i = *rc::gen::inRange<uint32_t>(0, count);
		Owner &o = owners[i];
		res size = any_size();

		switch (*rc::gen::inRange(0, 6)) {
		case 0:
			o.weight = *rc::gen::element(0.5, 1.0, 3.0);
			o.max = any_size();
			o.zero.accel = *rc::gen::arbitrary<bool>();
			share_set_owner(s, i, o.weight, &o.max);
			share_set_zero(s, i, o.zero);
			break;
		case 1:
			total.cpu_milli = *rc::gen::element(0U, 5000U, 90000U);
			share_set_total(s, &total);
			break;
		case 2:
			if (o.held.empty())
				break;
			size = o.held.back();
			o.held.pop_back();
			share_refund(s, i, &size);
			o.cpu -= size.cpu_milli;
			o.mem -= size.mem_mb;
			o.accel -= size.accel;
			break;
		default: {
			bool fits = within(o.cpu, size.cpu_milli,
					   o.max.cpu_milli, o.zero.cpu) &&
				    within(o.mem, size.mem_mb, o.max.mem_mb,
					   o.zero.mem) &&
				    within(o.accel, size.accel, o.max.accel,
					   o.zero.accel);

			RC_ASSERT(share_charge(s, i, &size) == fits);
			if (!fits)
				break;
			o.held.push_back(size);
			o.cpu += size.cpu_milli;
			o.mem += size.mem_mb;
			o.accel += size.accel;
			break;
		}
		}
		RC_ASSERT(share_used(s, i).cpu_milli == o.cpu);
		RC_ASSERT(share_used(s, i).mem_mb == o.mem);
		RC_ASSERT(share_used(s, i).accel == o.accel);

		auto chosen = *rc::gen::container<std::vector<uint32_t>>(
			rc::gen::inRange<uint32_t>(0, count));
		std::set<uint32_t> waiting(chosen.begin(), chosen.end());
		uint32_t pick = share_pick(s, in_set, &waiting);

		RC_ASSERT((pick == SHARE_NONE) == waiting.empty());
		for (uint32_t w : waiting) {
			RC_ASSERT(share_oracle(owners[pick], total) <=
				  share_oracle(owners[w], total));
		}
	}
	share_free(s);
}

// Guards against two handles for one owner, and handles that change when the
// table grows.
TEST(Share, HandlesAreStable)
{
	share *s = share_new();

	for (int i = 0; i < 400; i++)
		share_owner(s, std::to_string(i).c_str());
	for (int i = 0; i < 400; i++) {
		std::string name = std::to_string(i);

		EXPECT_EQ((uint32_t)i, share_owner(s, name.c_str()));
		EXPECT_STREQ(name.c_str(), share_name(s, i));
	}
	EXPECT_EQ(400u, share_count(s));
	share_free(s);
}

// Guards against a crash or a charge with the handle of an unknown owner.
TEST(Share, UnknownOwnerIsRefused)
{
	share *s = share_new();
	res one = { 1, 1, 0 };

	EXPECT_FALSE(share_charge(s, SHARE_NONE, &one));
	share_refund(s, 7, &one);
	EXPECT_EQ(0, share_of(s, 7));
	share_free(s);
}
