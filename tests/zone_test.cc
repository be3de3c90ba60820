#include <gtest/gtest.h>
#include <jansson.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "zone.h"

namespace
{

constexpr uint64_t kStepMs = 50;
constexpr uint32_t kWorkers = 4;
constexpr uint32_t kCpuMilli = 8000;
constexpr uint32_t kMemMb = 16000;
constexpr uint64_t kCommitMaxMs = 100;
const zone_rights kAllRights = { true, true };

struct Task {
	std::string job;
	int task = 0;
	std::string state = "running";
	uint64_t end = 0;
	bool fails = false;
	res need{};
	double mem_used = 0;
};

struct Lease {
	uint64_t until = 0;
	bool has_task = false;
	Task task;
};

// A worker that meets the contract W1 to W5 and guarantees nothing else.
struct Worker {
	std::map<std::string, Lease> leases;
	bool partitioned = false;
	bool fails_every_task = false;
	bool terminated = false;
};

struct RunCount {
	int starts = 0;
	int running = 0;
	int max_running = 0;
};

// A request to a worker, or its reply, in transit.
struct Message {
	uint64_t at;
	bool answer;
	int zone_no;
	zone_action_kind kind;
	uint32_t ref;
	uint32_t worker;
	std::string lease;
	std::string body;
	uint32_t ttl_ms;
	uint32_t wait_ms;
	zone_result result;
};

struct Answer {
	err_kind kind;
	enum outcome outcome;
	std::string body;
};

struct Sim {
	uint64_t now = 1000000;
	uint64_t rng;
	zone *current = nullptr;
	zone *paused = nullptr; // an earlier holder that resumes later
	uint64_t paused_until = 0;
	int zone_no = 0;
	std::vector<Worker> workers{ kWorkers };
	std::deque<Message> messages;
	std::deque<Message> delayed;	  // sent when the paused holder resumes
	std::vector<std::string> journal; // committed batches
	std::string in_flight;
	uint64_t in_flight_batch = 0;
	uint64_t commit_at = 0;
	bool store_down = false;
	bool lossy = false;
	uint64_t epoch = 0;
	std::map<std::string, RunCount> run_counts; // by job.task
	std::map<uint32_t, Answer> answers;
	std::map<uint32_t, jnl_spec> specs;  // by submission
	std::map<uint32_t, std::string> ids; // of accepted submissions
	std::map<std::string, bool> exclusive, repeat;
	std::map<std::string, uint32_t> tasks;
	uint32_t next_ref = 1;
	std::string violation;

	explicit Sim(uint64_t seed) : rng(seed | 1)
	{
		start_successor();
	}

	~Sim()
	{
		zone_free(current);
		zone_free(paused);
	}

	uint64_t random(uint64_t below)
	{
		rng ^= rng >> 12;
		rng ^= rng << 25;
		rng ^= rng >> 27;
		return rng * 2685821657736338717ULL % below;
	}

	void fail(const std::string &why)
	{
		if (violation.empty())
			violation = why;
	}

	static std::string worker_name(uint32_t i)
	{
		return "w" + std::to_string(i);
	}

	void set_workers()
	{
		std::vector<zone_worker_info> infos;

		for (uint32_t i = 0; i < kWorkers; i++) {
			zone_worker_info info{};

			if (workers[i].terminated)
				continue;
			snprintf(info.id, sizeof(info.id), "w%u", i);
			snprintf(info.addr, sizeof(info.addr), "10.0.0.%u:1",
				 i);
			snprintf(info.rack, sizeof(info.rack), "r%u", i % 2);
			info.capacity = { kCpuMilli, kMemMb, 1 };
			infos.push_back(info);
		}
		zone_set_workers(current, infos.data(), (uint32_t)infos.size(),
				 now);
	}

	void start_successor()
	{
		zone_settings s{};
		res max = { ZONE_NO_LIMIT, ZONE_NO_LIMIT, ZONE_NO_LIMIT };

		snprintf(s.az, sizeof(s.az), "az-1");
		s.start_lease_ms = 2000;
		s.sync_min_ms = 1000;
		s.sync_max_ms = 4000;
		s.seed = random(1000000);
		current = zone_new(&s);
		epoch++;
		zone_no++;
		for (auto &bytes : journal) {
			jnl_batch batch;
			err e{};

			if (!jnl_decode(bytes.data(), bytes.size(), &batch,
					&e) ||
			    !zone_replay(current, &batch, &e))
				fail(std::string("recovery: ") + e.text);
			jnl_batch_free(&batch);
		}
		zone_finish_recovery(current, epoch, now);
		zone_set_owner(current, "o", 1, &max);
		set_workers();
	}

	// The holder crashes; its messages in transit still arrive.
	void crash()
	{
		zone_free(current);
		in_flight.clear();
		start_successor();
	}

	// The holder pauses between any two steps and a successor takes over.
	// The actions that it has queued are sent when it resumes.
	void pause(uint64_t ms)
	{
		if (paused)
			return;
		paused = current;
		paused_until = now + ms;
		collect(paused, delayed, zone_no);
		in_flight.clear();
		start_successor();
	}

	void collect(zone *z, std::deque<Message> &out, int no)
	{
		while (zone_action *a = zone_next_action(z)) {
			if (a->kind == ZONE_ANSWER) {
				if (z == current)
					on_answer(a);
			} else {
				Message m{};

				m.at = now + 1 + random(60);
				m.zone_no = no;
				m.kind = a->kind;
				m.ref = a->ref;
				m.worker = (uint32_t)atoi(a->worker + 1);
				m.lease = a->lease;
				m.body = a->body ? a->body : "";
				m.ttl_ms = a->ttl_ms;
				m.wait_ms = a->wait_ms;
				out.push_back(m);
			}
			zone_action_free(a);
		}
	}

	void on_answer(zone_action *a)
	{
		answers[a->ref] = { a->err.kind, a->outcome,
				    a->body ? a->body : "" };
		if (a->outcome == OUTCOME_ACCEPTED && a->body) {
			json_t *root = json_loads(a->body, 0, nullptr);

			ids[a->ref] =
				json_string_value(json_object_get(root, "id"));
			json_decref(root);
			exclusive[ids[a->ref]] = specs[a->ref].exclusive;
			repeat[ids[a->ref]] = specs[a->ref].repeat;
			tasks[ids[a->ref]] = specs[a->ref].tasks;
		}
	}

	// Counts the runs on the workers.
	void begin_run(const Lease &lease)
	{
		RunCount &o = run_counts[lease.task.job + "." +
					 std::to_string(lease.task.task)];

		o.starts++;
		o.running++;
		o.max_running = std::max(o.max_running, o.running);
	}

	void end_run(const Lease &lease)
	{
		run_counts[lease.task.job + "." +
			   std::to_string(lease.task.task)]
			.running--;
	}

	void check_capacity(uint32_t i)
	{
		res sum{};

		for (auto &l : workers[i].leases) {
			if (l.second.has_task &&
			    l.second.task.state == "running")
				res_add(&sum, &l.second.task.need);
		}
		if (sum.cpu_milli > kCpuMilli || sum.mem_mb > kMemMb ||
		    sum.accel > 1)
			fail("worker over capacity");
	}

	zone_result start(Worker &w, uint32_t i, const std::string &body)
	{
		json_t *root = json_loads(body.c_str(), 0, nullptr);
		const char *lease =
			json_string_value(json_object_get(root, "lease"));
		auto it = w.leases.find(lease);
		zone_result result = ZONE_REFUSED;

		if (it != w.leases.end() && it->second.until > now) {
			Lease &l = it->second;
			int run_ms = atoi(json_string_value(
				json_object_get(root, "input")));

			if (l.has_task)
				fail("a lease was started twice");
			l.has_task = true;
			l.task.job =
				json_string_value(json_object_get(root, "job"));
			l.task.task = (int)json_integer_value(
				json_object_get(root, "task"));
			l.task.end =
				now + (uint64_t)(run_ms < 0 ? -run_ms : run_ms);
			l.task.fails = run_ms < 0 || w.fails_every_task;
			l.task.need.cpu_milli =
				(uint32_t)(json_number_value(json_object_get(
						   root, "cpus")) *
						   1000 +
					   0.5);
			l.task.need.mem_mb = (uint32_t)json_integer_value(
				json_object_get(root, "mem_mb"));
			l.task.need.accel = (uint32_t)json_integer_value(
				json_object_get(root, "accel"));
			begin_run(l);
			check_capacity(i);
			result = ZONE_OK;
		}
		json_decref(root);
		return result;
	}

	static void stop_task(Worker &w, const std::string &lease, Sim &sim)
	{
		auto it = w.leases.find(lease);

		if (it == w.leases.end())
			return;
		if (it->second.has_task && it->second.task.state == "running")
			sim.end_run(it->second);
		w.leases.erase(it);
	}

	void sync(Worker &w, const std::string &body)
	{
		json_t *root = json_loads(body.c_str(), 0, nullptr);
		uint64_t ttl = (uint64_t)json_integer_value(
			json_object_get(root, "ttl_ms"));
		json_t *row;
		size_t n;

		json_array_foreach(json_object_get(root, "renew"), n, row)
		{
			auto it = w.leases.find(json_string_value(row));

			if (it != w.leases.end())
				it->second.until = now + ttl;
		}
		json_array_foreach(json_object_get(root, "ack"), n, row)
		{
			auto it = w.leases.find(json_string_value(row));

			if (it != w.leases.end() && it->second.has_task &&
			    it->second.task.state != "running")
				w.leases.erase(it);
		}
		json_decref(root);
	}

	std::string listing(Worker &w)
	{
		json_t *rows = json_array();
		json_t *root;
		char *text;
		std::string out;

		for (auto &l : w.leases) {
			json_t *task = json_null();

			if (l.second.has_task)
				task = json_pack("{s:s,s:f,s:f,s:s}", "state",
						 l.second.task.state.c_str(),
						 "cpus_used", 0.1,
						 "mem_mb_used",
						 l.second.task.mem_used,
						 "output", "out");
			json_array_append_new(rows, json_pack("{s:s,s:o}", "id",
							      l.first.c_str(),
							      "task", task));
		}
		root = json_pack("{s:o}", "leases", rows);
		text = json_dumps(root, 0);
		out = text;
		free(text);
		json_decref(root);
		return out;
	}

	// Handles a request on its worker and queues the reply.
	void handle_request(Message m)
	{
		Worker &w = workers[m.worker];
		Message back = m;

		if (w.partitioned || w.terminated ||
		    (lossy && random(12) == 0)) {
			back.result =
				random(2) ? ZONE_NO_ANSWER : ZONE_NOT_SENT;
			back.answer = true;
			back.at = now + 2000;
			messages.push_back(back);
			return;
		}
		back.result = ZONE_OK;
		back.body.clear();
		back.at = now + 1 + random(60);
		switch (m.kind) {
		case ZONE_CREATE_LEASE:
			w.leases[m.lease].until = now + m.ttl_ms;
			break;
		case ZONE_START:
			back.result = start(w, m.worker, m.body);
			break;
		case ZONE_STOP:
			stop_task(w, m.lease, *this);
			break;
		case ZONE_SYNC:
			sync(w, m.body);
			if (m.wait_ms) {
				// The long poll may end early.
				m.wait_ms = 0;
				m.body = "{}";
				m.at = now + 200 + random(800);
				messages.push_back(m);
				return;
			}
			back.body = listing(w);
			break;
		default:
			break;
		}
		back.answer = true;
		if (lossy && random(10) == 0) {
			back.result = ZONE_NO_ANSWER;
			back.at = now + 2000;
		}
		messages.push_back(back);
	}

	void deliver(const Message &m)
	{
		zone *z = m.zone_no == zone_no ? current : nullptr;

		if (!m.answer) {
			handle_request(m);
			return;
		}
		if (!z)
			return;
		zone_on_result(z, m.kind, m.ref, worker_name(m.worker).c_str(),
			       m.lease.c_str(), m.result, m.body.c_str(),
			       m.body.size(), &kAllRights, now);
		collect(z, messages, zone_no);
	}

	void step_workers()
	{
		for (auto &w : workers) {
			for (auto it = w.leases.begin();
			     it != w.leases.end();) {
				Lease &l = it->second;
				bool runs =
					l.has_task && l.task.state == "running";

				if (w.terminated ||
				    (l.until <= now && (runs || !l.has_task))) {
					if (runs)
						end_run(l);
					it = w.leases.erase(it);
					continue;
				}
				if (runs && l.task.end <= now) {
					end_run(l);
					l.task.state = l.task.fails ? "failed"
								    : "done";
				}
				++it;
			}
		}
	}

	void step_journal()
	{
		if (!in_flight.empty() && !store_down && now >= commit_at) {
			journal.push_back(in_flight);
			in_flight.clear();
			zone_committed(current, in_flight_batch, now);
			collect(current, messages, zone_no);
		}
		if (in_flight.empty() && zone_pending(current)) {
			jnl_pending pending;
			jnl_header header{};
			size_t len;
			char *bytes;

			in_flight_batch = zone_take_batch(current, &pending);
			header.epoch = epoch;
			bytes = jnl_encode(&pending, &header, &len);
			in_flight.assign(bytes, len);
			free(bytes);
			jnl_pending_free(&pending);
			commit_at = now + random(kCommitMaxMs);
		}
	}

	void step()
	{
		now += kStepMs;
		if (paused && now >= paused_until) {
			// It resumes in the middle of sending and detects
			// the loss of its claim only afterwards.
			for (auto &m : delayed) {
				m.at = now + random(60);
				messages.push_back(m);
			}
			delayed.clear();
			zone_free(paused);
			paused = nullptr;
		}
		step_workers();
		for (size_t n = messages.size(); n > 0; n--) {
			Message m = messages.front();

			messages.pop_front();
			if (m.at <= now)
				deliver(m);
			else
				messages.push_back(m);
		}
		step_journal();
		zone_tick(current, now, now, &kAllRights);
		collect(current, messages, zone_no);
		check();
	}

	void check()
	{
		for (auto &s : run_counts) {
			std::string job = s.first.substr(0, s.first.rfind('.'));

			if (exclusive[job] && s.second.max_running > 1)
				fail("exclusive " + s.first +
				     " ran twice at once");
			if (repeat.count(job) && !repeat[job] &&
			    s.second.starts > 1)
				fail("unrepeatable " + s.first + " started " +
				     std::to_string(s.second.starts) +
				     " times");
		}
	}

	void run(uint64_t ms)
	{
		for (uint64_t t = 0; t < ms && violation.empty(); t += kStepMs)
			step();
	}

	uint32_t submit(bool is_exclusive, bool may_repeat, uint32_t count,
			bool gang, uint32_t cpu, int run_ms)
	{
		zone_submission s{};
		std::string input = std::to_string(run_ms);
		uint32_t ref = next_ref++;

		snprintf(s.spec.entry, sizeof(s.spec.entry), "e%d%d%d",
			 is_exclusive, may_repeat, gang);
		snprintf(s.spec.owner, sizeof(s.spec.owner), "o");
		snprintf(s.spec.key, sizeof(s.spec.key), "k%u", ref);
		s.spec.need = { cpu, 1000, 0 };
		s.spec.tasks = count;
		s.spec.gang = gang;
		s.spec.exclusive = is_exclusive;
		s.spec.repeat = may_repeat;
		s.input = input.c_str();
		s.input_len = input.size();
		specs[ref] = s.spec;
		zone_submit(current, ref, &s, now);
		collect(current, messages, zone_no);
		for (int n = 0; n < 40 && !answers.count(ref); n++)
			step();
		return ref;
	}

	enum outcome status(const std::string &id)
	{
		char *body = nullptr;
		size_t len;
		err e{};
		enum outcome outcome = OUTCOME_UNKNOWN;

		zone_status(current, id.c_str(), &body, &len, &e, &outcome);
		free(body);
		return outcome;
	}

	uint32_t cancel(const std::string &id)
	{
		uint32_t ref = next_ref++;

		zone_cancel(current, ref, id.c_str(), now);
		collect(current, messages, zone_no);
		return ref;
	}

	int starts_of(const std::string &id)
	{
		int n = 0;

		for (uint32_t t = 0; t < tasks[id]; t++)
			n += run_counts[id + "." + std::to_string(t)].starts;
		return n;
	}

	void fault(int kind, int arg)
	{
		uint32_t w = (uint32_t)arg % kWorkers;

		switch (kind) {
		case 0:
			crash();
			break;
		case 1:
			pause(200 + random(30000));
			break;
		case 2:
			workers[w].partitioned = !workers[w].partitioned;
			break;
		case 3:
			workers[w].terminated = true;
			set_workers();
			break;
		case 4:
			store_down = !store_down;
			break;
		case 5:
			lossy = !lossy;
			break;
		case 6:
			workers[w].fails_every_task =
				!workers[w].fails_every_task;
			break;
		case 7:
			submit(true, true, 1, false, 3000,
			       300 + (int)random(4000));
			break;
		case 8:
			submit(false, false, 1, false, 2000,
			       300 + (int)random(4000));
			break;
		case 9:
			submit(true, true, 3, true, 4000,
			       300 + (int)random(4000));
			break;
		case 10:
			submit(true, true, 4, false, 1000, -200);
			break;
		case 11:
			if (!ids.empty()) {
				auto it = ids.begin();

				std::advance(it, (long)random(ids.size()));
				cancel(it->second);
			}
			break;
		default:
			break;
		}
	}

	void clear_faults()
	{
		store_down = false;
		lossy = false;
		for (auto &w : workers) {
			w.partitioned = false;
			w.fails_every_task = false;
			w.terminated = false;
		}
		set_workers();
	}
};

} // namespace

// Guards against concurrent runs of an exclusive task, a second start of an
// unrepeatable task, a worker over its capacity, a wrong "not run", and an
// accepted job that never ends. The faults are crashes and pauses of the
// holder, partitioned and terminated workers, an unreachable store, lost
// messages and cancels.
RC_GTEST_PROP(Zone, InvariantsHoldUnderFaults, ())
{
	auto seed = *rc::gen::arbitrary<uint64_t>();
	auto steps =
		*rc::gen::container<std::vector<std::tuple<int, int, int>>>(
			rc::gen::tuple(rc::gen::inRange(0, 12),
				       rc::gen::inRange(0, 8),
				       rc::gen::inRange(0, 60)));
	Sim sim(seed);

	sim.run(1000);
	for (auto &s : steps) {
		sim.fault(std::get<0>(s), std::get<1>(s));
		sim.run((uint64_t)std::get<2>(s) * kStepMs);
	}
	sim.clear_faults();
	for (int n = 0; n < 60 && sim.violation.empty(); n++) {
		bool unfinished = false;

		sim.run(5000);
		for (auto &id : sim.ids)
			unfinished |= sim.status(id.second) == OUTCOME_ACCEPTED;
		if (!unfinished)
			break;
	}
	for (auto &id : sim.ids) {
		enum outcome outcome = sim.status(id.second);

		if (outcome == OUTCOME_ACCEPTED)
			sim.fail("accepted job " + id.second + " has no end");
		if (outcome == OUTCOME_NOT_RUN && sim.starts_of(id.second) > 0)
			sim.fail("job " + id.second + " ran, but says not run");
		if (outcome == OUTCOME_DONE && sim.starts_of(id.second) == 0)
			sim.fail("job " + id.second + " is done without a run");
	}
	for (auto &a : sim.answers) {
		if (a.second.outcome == OUTCOME_NOT_RUN &&
		    sim.ids.count(a.first))
			sim.fail("an accepted job was answered not run");
	}
	RC_ASSERT(sim.violation == "");
}

// Guards against two runs of one task when a holder pauses between the check of
// its claim and the send of a start, and sends it after a takeover.
TEST(Zone, PausedHolderSendsStartAfterTakeover)
{
	for (uint64_t seed = 1; seed < 200; seed++) {
		Sim sim(seed);
		uint32_t ref;

		sim.run(1000);
		ref = sim.submit(true, true, 1, false, 1000, 5000);
		sim.run(seed % 8 * kStepMs);
		sim.pause(3300 + seed % 7 * 500);
		sim.run(60000);
		ASSERT_EQ("", sim.violation) << "seed " << seed;
		ASSERT_EQ(OUTCOME_DONE, sim.status(sim.ids[ref]))
			<< "seed " << seed;
	}
}

// Guards against a gang that stays partly started when a worker is lost between
// the first and the last start of its tasks.
TEST(Zone, GangRestartsAsAWholeAfterWorkerLoss)
{
	for (uint64_t seed = 1; seed < 100; seed++) {
		Sim sim(seed);
		uint32_t ref;

		sim.run(1000);
		ref = sim.submit(true, true, 3, true, 4000, 3000);
		sim.run(seed % 6 * kStepMs);
		sim.workers[seed % kWorkers].partitioned = true;
		sim.run(60000);
		ASSERT_EQ("", sim.violation) << "seed " << seed;
		ASSERT_EQ(OUTCOME_DONE, sim.status(sim.ids[ref]))
			<< "seed " << seed;
	}
}

// Guards against endless restarts of a job that fails on every worker.
TEST(Zone, FailingJobStopsAfterItsRetryBudget)
{
	Sim sim(3);
	uint32_t ref;

	sim.run(1000);
	ref = sim.submit(true, true, 1, false, 1000, -100);
	sim.run(60000);
	EXPECT_EQ(OUTCOME_FAILED, sim.status(sim.ids[ref]));
	EXPECT_EQ(3, sim.starts_of(sim.ids[ref]));
}

// Guards against accepting a job that is larger than every worker.
TEST(Zone, JobLargerThanAnyWorkerIsRefused)
{
	Sim sim(3);
	uint32_t ref;

	sim.run(1000);
	ref = sim.submit(true, true, 1, false, kCpuMilli + 1, 100);
	ASSERT_TRUE(sim.answers.count(ref));
	EXPECT_EQ(ERR_NEVER_FITS, sim.answers[ref].kind);
	EXPECT_EQ(OUTCOME_NOT_RUN, sim.answers[ref].outcome);
}

// Guards against a cancel that is answered "not run" although the start was
// sent already, and against a job that starts after that reply.
TEST(Zone, CancelRacesWithStart)
{
	for (uint64_t seed = 1; seed < 200; seed++) {
		Sim sim(seed);
		uint32_t ref;
		uint32_t cancel;

		sim.run(1000);
		ref = sim.submit(true, true, 1, false, 1000, 4000);
		sim.run(seed % 10 * kStepMs / 2);
		cancel = sim.cancel(sim.ids[ref]);
		sim.run(30000);
		ASSERT_TRUE(sim.answers.count(cancel)) << "seed " << seed;
		if (sim.answers[cancel].outcome == OUTCOME_NOT_RUN) {
			ASSERT_EQ(0, sim.starts_of(sim.ids[ref]))
				<< "seed " << seed;
		}
	}
}

// Guards against reservations or charges that remain after many cancels.
TEST(Zone, MassCancelReleasesAllResources)
{
	Sim sim(5);
	std::vector<uint32_t> refs;
	zone_stats stats;

	sim.run(1000);
	for (int n = 0; n < 60; n++)
		refs.push_back(sim.submit(true, true, 1, false, 2000, 60000));
	for (uint32_t ref : refs)
		sim.cancel(sim.ids[ref]);
	sim.run(20000);
	zone_get_stats(sim.current, &stats);
	EXPECT_EQ(0U, stats.running);
	EXPECT_EQ(0U, stats.queued);
	EXPECT_EQ("", sim.violation);
}
