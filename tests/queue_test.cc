#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "place.h"
#include "queue.h"

namespace
{
const queue_limits LIMITS = { 2000, 10000, 120000 };

struct Fixture {
	share *s = share_new();
	queue *q = queue_new(s, &LIMITS);

	explicit Fixture(int owners)
	{
		res total = { 100000, 100000, 0 };

		for (int i = 0; i < owners; i++)
			share_owner(s, std::to_string(i).c_str());
		share_set_total(s, &total);
	}
	~Fixture()
	{
		queue_free(q);
		share_free(s);
	}
};

// Returns whether @a comes before @b in the documented order.
bool before(const share *s, const queue_job &a, const queue_job &b)
{
	if (a.urgent != b.urgent)
		return a.urgent;
	if (a.owner != b.owner)
		return share_of(s, a.owner) < share_of(s, b.owner);
	return a.since_ms < b.since_ms;
}
} // namespace

// Guards against jobs that are returned out of order, lost, or returned again
// after removal, with cancellations in the middle of passes.
RC_GTEST_PROP(Queue, ReturnsEachWaitingJobInOrder, ())
{
	Fixture f(4);
	std::map<queue_ref, queue_job> oracle;
	std::vector<queue_ref> removed;
	uint64_t now = 0;
	int passes = *rc::gen::inRange(1, 8);

	while (passes--) {
		int adds = *rc::gen::inRange(0, 12);

		now += *rc::gen::inRange<uint64_t>(0, 500);
		while (adds--) {
			queue_job job = {};

			job.owner = *rc::gen::inRange<uint32_t>(0, 4);
			job.entry = *rc::gen::inRange<uint32_t>(0, 3);
			job.tasks = *rc::gen::inRange<uint32_t>(1, 3);
			job.urgent = *rc::gen::arbitrary<bool>();
			job.since_ms = *rc::gen::inRange<uint64_t>(0, now + 1);
			queue_ref ref = queue_add(f.q, &job);
			RC_ASSERT(ref != QUEUE_NONE);
			RC_ASSERT(oracle.emplace(ref, job).second);
		}
		queue_begin(f.q, now);
		int attempts = *rc::gen::inRange(0, 30);
		while (attempts--) {
			queue_ref ref = queue_next(f.q);

			if (oracle.empty()) {
				RC_ASSERT(ref == QUEUE_NONE);
				break;
			}
			RC_ASSERT(oracle.count(ref) == 1);
			for (auto &o : oracle)
				RC_ASSERT(!before(f.s, o.second, oracle[ref]));
			res size = { 1000, 500, 0 };
			share_charge(f.s, oracle[ref].owner, &size);
			auto chosen = *rc::gen::elementOf(oracle);
			if (*rc::gen::inRange(0, 3) == 0)
				ref = chosen.first;
			RC_ASSERT(queue_remove(f.q, ref));
			oracle.erase(ref);
			removed.push_back(ref);
		}
		for (queue_ref ref : removed) {
			RC_ASSERT(!queue_get(f.q, ref));
			RC_ASSERT(!queue_remove(f.q, ref));
		}
		RC_ASSERT(queue_count(f.q) == oracle.size());
	}
}

// Guards against a pass that does not terminate, returns a blocked job, or
// skips a job that is not blocked.
RC_GTEST_PROP(Queue, BlockedJobsAreSkippedForOnePass, ())
{
	Fixture f(3);
	int jobs = *rc::gen::inRange(1, 40);

	for (int i = 0; i < jobs; i++) {
		queue_job job = {};

		job.owner = *rc::gen::inRange<uint32_t>(0, 3);
		job.entry = *rc::gen::inRange<uint32_t>(0, 4);
		job.tasks = 1;
		job.since_ms = i;
		queue_add(f.q, &job);
	}
	for (int pass = 0; pass < 3 && queue_count(f.q); pass++) {
		std::map<std::pair<uint32_t, uint32_t>, int> blocked;

		queue_begin(f.q, 10 * pass);
		while (queue_ref ref = queue_next(f.q)) {
			queue_job job = *queue_get(f.q, ref);
			auto size = std::make_pair(job.owner, job.entry);

			RC_ASSERT(blocked[size] == 0);
			if (*rc::gen::arbitrary<bool>()) {
				queue_remove(f.q, ref);
				continue;
			}
			blocked[size]++;
			queue_blocked(f.q, ref, QUEUE_NO_ROOM);
		}
		uint32_t left = 0;
		for (uint32_t o = 0; o < 3; o++)
			left += queue_count_owner(f.q, o);
		RC_ASSERT(left == queue_count(f.q));
	}
}

namespace
{
// A zone of 16 workers under a stream of small jobs that would fill it, and a
// gang that needs up to all of them.
struct Simulation {
	Fixture f{ 2 };
	std::vector<place_worker> workers{ 16 };
	place_policy policy;
	std::multimap<uint64_t, std::pair<uint32_t, res>> running;
	uint64_t now = 0;
	uint32_t small_started = 0;
	uint32_t longest_small_gap = 0;
	uint32_t gap = 0;
	bool gang_started = false;

	Simulation()
	{
		for (uint32_t i = 0; i < 16; i++)
			workers[i] = {
				{ 8000, 8000, 0 }, {}, i / 4, 0, true, false
			};
		place_init(&policy, PLACE_BEST_FIT, 1);
	}
	res size(const queue_job &job)
	{
		return job.entry ? res{ 8000, 8000, 0 } : res{ 1000, 1000, 0 };
	}
	void end_finished_tasks()
	{
		while (!running.empty() && running.begin()->first <= now) {
			auto &t = running.begin()->second;

			place_release(&workers[t.first], &t.second);
			share_refund(f.s, t.second.cpu_milli == 8000,
				     &t.second);
			running.erase(running.begin());
		}
	}
	void fence_reserved()
	{
		place_unfence(workers.data(), 16);
		for (uint32_t i = 0; i < QUEUE_RESERVATIONS; i++) {
			const queue_job *job =
				queue_get(f.q, queue_reservation(f.q, i));
			if (!job)
				continue;
			res need = size(*job);
			if (!place_fence_for(workers.data(), 16, &need,
					     job->tasks, i + 1,
					     i ? 16 / QUEUE_FENCE_PART : 16))
				queue_drop(f.q, i);
		}
	}
	void pass(uint64_t run_ms)
	{
		uint32_t started = small_started;

		end_finished_tasks();
		queue_begin(f.q, now);
		fence_reserved();
		while (queue_ref ref = queue_next(f.q)) {
			queue_job job = *queue_get(f.q, ref);
			std::vector<int32_t> out(job.tasks);
			res need = size(job);

			policy.allowed_fence = queue_fence(f.q, ref);
			if (!place_gang(&policy, workers.data(), 16, &need,
					job.tasks, out.data())) {
				queue_blocked(f.q, ref, QUEUE_NO_ROOM);
				continue;
			}
			queue_remove(f.q, ref);
			for (int32_t w : out) {
				share_charge(f.s, job.owner, &need);
				running.emplace(now + run_ms,
						std::make_pair(w, need));
			}
			small_started += job.entry == 0;
			gang_started |= job.entry == 1;
		}
		gap = small_started > started ? 0 : gap + 1;
		longest_small_gap = std::max(longest_small_gap, gap);
	}
};
} // namespace

// Guards against a gang that starves because small jobs take all capacity that
// becomes free, and against small jobs that starve while a reservation is held,
// including one for a gang that can never start because workers have failed.
RC_GTEST_PROP(Queue, NeitherGangNorSmallJobsStarve, ())
{
	Simulation sim;
	uint64_t run_ms = *rc::gen::inRange<uint64_t>(1000, 60000);
	uint32_t tasks = *rc::gen::inRange<uint32_t>(1, 17);
	uint32_t failed = *rc::gen::element<uint32_t>(0, 0, 3);
	queue_job gang = {};

	gang.owner = 1;
	gang.entry = 1;
	gang.tasks = tasks;
	for (uint32_t i = 0; i < failed; i++)
		sim.workers[5 * i].usable = false;
	for (uint32_t step = 0; step < 1200; step++, sim.now += 1000) {
		// Jobs arrive faster than they can run.
		for (int n = 0; n < 4 && queue_count(sim.f.q) < 400; n++) {
			queue_job job = {};

			job.tasks = 1 + n % 2;
			job.since_ms = sim.now;
			queue_add(sim.f.q, &job);
		}
		if (step == 100) {
			gang.since_ms = sim.now;
			queue_add(sim.f.q, &gang);
		}
		sim.pass(run_ms);
	}
	RC_ASSERT(sim.gang_started == (tasks + failed <= 16));
	// Small jobs may be held up for the longest reservation of all workers
	// and the run of the gang on them.
	RC_ASSERT(sim.longest_small_gap * 1000ull <=
		  LIMITS.reserve_max_ms + 2 * run_ms);
}

namespace
{
// Runs a pass in which all jobs but those of entry 0 are blocked.
void run_blocking_pass(queue *q, uint64_t now)
{
	queue_job small = {};

	small.tasks = 1;
	small.since_ms = now;
	queue_add(q, &small);
	queue_begin(q, now);
	for (uint32_t i = 1; i < QUEUE_RESERVATIONS; i++)
		queue_drop(q, i);
	while (queue_ref ref = queue_next(q)) {
		if (queue_get(q, ref)->entry)
			queue_blocked(q, ref, QUEUE_NO_ROOM);
		else
			queue_remove(q, ref);
	}
}
} // namespace

// Guards against a reservation of all workers that is held beyond its maximum
// length, or given out again before other jobs have had the workers for as long
// as the last one was held.
TEST(Queue, ExclusiveReservationEndsAndPauses)
{
	Fixture f(2);
	queue_job gang = {};
	uint64_t held = 0, pause = 0, last = 0, reservations = 0;
	res some = { 1, 1, 0 };

	gang.owner = 1;
	gang.entry = 1;
	gang.tasks = 16;
	queue_add(f.q, &gang);
	share_charge(f.s, 0, &some);
	for (uint64_t now = 0; now < 1000000; now += 100) {
		run_blocking_pass(f.q, now);
		if (queue_reserved(f.q)) {
			EXPECT_TRUE(held || pause >= last) << now;
			reservations += !held;
			held += 100;
			EXPECT_LE(held, LIMITS.reserve_max_ms);
			pause = 0;
		} else {
			last = held ? held : last;
			held = 0;
			pause += 100;
		}
	}
	EXPECT_GT(reservations, 3u);
}

// Guards against starvation of the job that has waited longest when all
// reservations go to owners with a lower share.
TEST(Queue, LongestWaitingJobGetsReservation)
{
	Fixture f(6);
	queue_job job = {};
	res some = { 1000, 1, 0 }, more = { 2000, 1, 0 };

	job.tasks = 1;
	job.entry = 1;
	for (job.owner = 1; job.owner < 5; job.owner++) {
		job.since_ms = 100 + job.owner;
		queue_add(f.q, &job);
	}
	job.since_ms = 0;
	queue_ref oldest = queue_add(f.q, &job);
	share_charge(f.s, 5, &some);
	share_charge(f.s, 0, &more);
	for (uint64_t now = 5000; now < 5000 + 60000; now += 100) {
		run_blocking_pass(f.q, now);
		if (queue_fence(f.q, oldest))
			return;
	}
	FAIL() << "no reservation";
}
