#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "place.h"

namespace
{
struct Running {
	uint32_t worker;
	struct res need;
};

struct res any_need()
{
	return { *rc::gen::inRange<uint32_t>(0, 40000),
		 *rc::gen::inRange<uint32_t>(0, 80000),
		 *rc::gen::weightedElement<uint32_t>(
			 { { 8, 0 }, { 2, 1 }, { 1, 3 }, { 1, 9 } }) };
}

std::vector<place_worker> any_workers(uint32_t max)
{
	std::vector<place_worker> workers(*rc::gen::inRange<uint32_t>(1, max));

	for (auto &w : workers) {
		w = {};
		w.capacity = *rc::gen::elementOf(
			std::vector<res>{ { 64000, 262144, 0 },
					  { 32000, 65536, 0 },
					  { 64000, 262144, 8 },
					  { 4000, 4096, 12 } });
		w.rack = *rc::gen::inRange<uint32_t>(0, 5);
		w.usable = true;
	}
	return workers;
}

// Compares the use of each worker with the sum of its tasks in 64 bits.
void check_use(const std::vector<place_worker> &workers,
	       const std::vector<Running> &running)
{
	std::vector<uint64_t> cpu(workers.size()), mem(workers.size()),
		accel(workers.size());
	std::vector<uint32_t> tasks(workers.size());

	for (auto &r : running) {
		cpu[r.worker] += r.need.cpu_milli;
		mem[r.worker] += r.need.mem_mb;
		accel[r.worker] += r.need.accel;
		tasks[r.worker]++;
	}
	for (size_t i = 0; i < workers.size(); i++) {
		RC_ASSERT(cpu[i] == workers[i].used.cpu_milli);
		RC_ASSERT(mem[i] == workers[i].used.mem_mb);
		RC_ASSERT(accel[i] == workers[i].used.accel);
		RC_ASSERT(tasks[i] == workers[i].tasks);
	}
}

// Checks a worker after a placement on it. Between placements, a task that
// grows may overcommit its worker.
void check_within_capacity(const place_worker &w)
{
	RC_ASSERT(w.usable);
	RC_ASSERT(w.used.cpu_milli <= w.capacity.cpu_milli);
	RC_ASSERT(w.used.mem_mb <= w.capacity.mem_mb);
	RC_ASSERT(w.used.accel <= w.capacity.accel);
}

// Reference for place_gang(): fills one worker after the other. Since all tasks
// have the same size, the order of the workers does not matter.
bool gang_fits(const place_policy &policy, std::vector<place_worker> workers,
	       const res &need, uint32_t tasks)
{
	for (auto &w : workers) {
		while (tasks && place_fits(&policy, &w, &need)) {
			place_reserve(&w, &need);
			tasks--;
		}
	}
	return !tasks;
}

void grow_task(std::vector<place_worker> &workers,
	       std::vector<Running> &running)
{
	if (running.empty())
		return;
	auto &r = running[*rc::gen::inRange<size_t>(0, running.size())];
	res more = { *rc::gen::inRange<uint32_t>(0, 90000), 1000, 0 };

	res_add(&workers[r.worker].used, &more);
	res_add(&r.need, &more);
}

void end_task(std::vector<place_worker> &workers, std::vector<Running> &running)
{
	if (running.empty())
		return;
	size_t i = *rc::gen::inRange<size_t>(0, running.size());

	place_release(&workers[running[i].worker], &running[i].need);
	running.erase(running.begin() + i);
}
} // namespace

// Guards against a placement beyond the capacity of a worker, on a worker that
// is not usable, or refused although there is room; and against a gang that is
// reserved in part. All policies are covered; between the steps, workers fail
// and recover, and tasks end or grow.
RC_GTEST_PROP(Place, RespectsCapacityAndPlacesGangsAtomically, ())
{
	auto workers = any_workers(24);
	std::vector<Running> running;
	place_policy policy;
	int steps = *rc::gen::inRange(1, 60);

	place_init(&policy,
		   (place_kind)*rc::gen::inRange<int>(0, PLACE_KIND_COUNT),
		   *rc::gen::arbitrary<uint64_t>());
	while (steps--) {
		uint32_t tasks = *rc::gen::inRange<uint32_t>(1, 12);
		std::vector<int32_t> out(tasks, -1);
		auto before = workers;
		res need = any_need();

		switch (*rc::gen::inRange(0, 6)) {
		case 0: {
			size_t w = *rc::gen::inRange<size_t>(0, workers.size());

			workers[w].usable = !workers[w].usable;
			break;
		}
		case 1:
			end_task(workers, running);
			break;
		case 5:
			grow_task(workers, running);
			break;
		case 2: {
			int32_t i = place_pick(&policy, workers.data(),
					       workers.size(), &need);
			RC_ASSERT((i >= 0) ==
				  gang_fits(policy, workers, need, 1));
			if (i < 0)
				break;
			place_reserve(&workers[i], &need);
			check_within_capacity(workers[i]);
			running.push_back({ (uint32_t)i, need });
			break;
		}
		default: {
			bool ok = place_gang(&policy, workers.data(),
					     workers.size(), &need, tasks,
					     out.data());
			RC_ASSERT(ok == gang_fits(policy, before, need, tasks));
			for (uint32_t t = 0; ok && t < tasks; t++) {
				check_within_capacity(workers[out[t]]);
				running.push_back({ (uint32_t)out[t], need });
			}
			break;
		}
		}
		check_use(workers, running);
	}
}

// Guards against an index that misses a worker with room, picks one without, or
// exceeds the lowest score by more than place_index_slack().
RC_GTEST_PROP(Place, IndexAgreesWithFullScan, ())
{
	auto workers = any_workers(80);
	std::vector<Running> running;
	place_policy policy;
	int steps = *rc::gen::inRange(1, 80);

	place_init(&policy, PLACE_BEST_FIT, 1);
	policy.allowed_fence =
		*rc::gen::element<uint8_t>(0, 1, PLACE_ANY_FENCE);
	place_index *ix = place_index_new(workers.data(), workers.size());
	res largest = place_largest(workers.data(), workers.size());
	while (steps--) {
		res need = any_need();
		size_t w = *rc::gen::inRange<size_t>(0, workers.size());
		int32_t i = place_index_pick(ix, &policy, &need);
		int32_t j = place_pick(&policy, workers.data(), workers.size(),
				       &need);

		RC_ASSERT((i < 0) == (j < 0));
		if (i >= 0) {
			RC_ASSERT(place_fits(&policy, &workers[i], &need));
			RC_ASSERT(place_score(&workers[i], &need, &largest) <=
				  place_score(&workers[j], &need, &largest) +
					  place_index_slack() + 1e-9);
			place_reserve(&workers[i], &need);
			running.push_back({ (uint32_t)i, need });
			place_index_update(ix, i);
		}
		if (*rc::gen::inRange(0, 4) == 0) {
			workers[w].usable = !workers[w].usable;
			workers[w].fenced = *rc::gen::inRange<uint8_t>(0, 3);
			place_index_update(ix, w);
		}
		if (i < 0 && !running.empty()) {
			uint32_t at = running.back().worker;
			place_release(&workers[at], &running.back().need);
			running.pop_back();
			place_index_update(ix, at);
		}
	}
	place_index_free(ix);
}

// Guards against a gang that is not spread evenly over racks with equal room,
// so that the failure of one rack switch takes down more tasks than necessary.
RC_GTEST_PROP(Place, GangsSpreadOverRacks, ())
{
	std::vector<place_worker> workers(32);
	uint32_t tasks = *rc::gen::inRange<uint32_t>(1, 32);
	std::vector<int32_t> out(tasks);
	std::map<uint32_t, uint32_t> load;
	place_policy policy;
	res need = { 32000, 65536, 0 };

	for (uint32_t i = 0; i < 32; i++)
		workers[i] = {
			{ 64000, 262144, 0 }, {}, i / 8, 0, true, false
		};
	place_init(&policy, PLACE_BEST_FIT, 1);
	RC_ASSERT(place_gang(&policy, workers.data(), 32, &need, tasks,
			     out.data()));
	for (int32_t i : out)
		load[workers[i].rack]++;
	for (uint32_t r = 0; r < 4; r++)
		RC_ASSERT(load[r] <= (tasks + 3) / 4);
}

// Guards against a fence with too little capacity for its job, and against
// placement of other jobs on fenced workers.
RC_GTEST_PROP(Place, FenceReservesRoomForGang, ())
{
	auto workers = any_workers(24);
	auto empty = workers;
	place_policy policy;
	res need = any_need();
	uint32_t tasks = *rc::gen::inRange<uint32_t>(1, 12);

	place_init(&policy, PLACE_BEST_FIT, 1);
	bool ok = place_fence(workers.data(), workers.size(), &need, tasks);
	RC_ASSERT(ok == gang_fits(policy, empty, need, tasks));
	if (!ok)
		return;
	for (size_t i = 0; i < workers.size(); i++) {
		RC_ASSERT(!workers[i].fenced ||
			  !place_fits(&policy, &workers[i], &need));
		empty[i].usable = workers[i].fenced;
	}
	RC_ASSERT(gang_fits(policy, empty, need, tasks));
}

// Guards against a job that is reported as too large because of the present use
// of the workers, or as possible although it is larger than every worker.
TEST(Place, EverFitsIgnoresCurrentUse)
{
	place_worker w = {
		{ 4000, 4096, 0 }, { 4000, 4096, 0 }, 0, 1, true, false
	};
	res fits = { 4000, 1, 0 }, large = { 4001, 1, 0 }, accel = { 1, 1, 1 };

	EXPECT_TRUE(place_ever_fits(&w, 1, &fits));
	EXPECT_FALSE(place_ever_fits(&w, 1, &large));
	EXPECT_FALSE(place_ever_fits(&w, 1, &accel));
	EXPECT_FALSE(place_ever_fits(&w, 0, &fits));
}
