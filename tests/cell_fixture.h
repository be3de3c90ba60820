/* A cell in virtual time that records its orders. */
#ifndef JAYSPOKE_TESTS_CELL_FIXTURE_H
#define JAYSPOKE_TESTS_CELL_FIXTURE_H

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "cell/cell.h"
}

struct Order {
	uint32_t minion;
	std::string minion_id;
	std::string task;
	uint64_t run;
	std::string checkpoint;
	uint64_t deadline_ms;
};

struct AdviceRequest {
	uint32_t handle;
	uint32_t lane;
	std::string step;
	std::vector<std::string> minions;
};

struct Row {
	std::string task;
	uint64_t run;
	std::string saved;
	uint32_t load = 0;
	uint32_t percent = 0;
};

struct Pace {
	std::string task;
	uint32_t percent;
};

struct Event {
	std::string what;
	std::string minion;
	uint64_t run;
	std::string detail;
	uint64_t input;
	struct cell_evidence evidence;
};

struct End {
	uint64_t number;
	std::string task;
	uint64_t run;
	enum cell_end end;
	std::string saved;
};

/* The journal record of a minion that may have runs of an earlier term. */
inline struct cell_record enrolled_record(const char *id)
{
	struct cell_record record = {};

	record.kind = CELL_RECORD_ENROLLED;
	record.minion = id;
	record.addr = "10.0.0.1:80";
	return record;
}

struct CellFixture {
	struct cell_owner owner = {}; /* first member */
	struct cell *cell = nullptr;
	struct cell_config config = {};
	std::vector<Order> starts;
	std::vector<Order> stops;
	std::vector<Pace> paces;
	std::vector<AdviceRequest> advice_requests;
	std::vector<uint64_t> records;
	std::vector<std::string> settled;   /* minions, as journalled */
	std::vector<std::string> enrolled;  /* their addresses, likewise */
	std::vector<std::string> cancelled; /* jobs, likewise */
	std::vector<uint32_t> polls;
	std::vector<Event> events;
	std::vector<std::string> expired_jobs;
	uint64_t now = 100000;
	uint64_t born_unix_ms = 1; /* of the life that report() is of */
	uint64_t unix_ms = 1700000000000;

	static CellFixture *of(struct cell_owner *o)
	{
		return reinterpret_cast<CellFixture *>(o);
	}

	explicit CellFixture(uint64_t token = 5, uint32_t stop_timeout_ms = 0)
	{
		static const struct cell_ops ops = {
			.start =
				[](struct cell_owner *o,
				   const struct cell_start *s) {
					of(o)->starts.push_back(
						{ s->minion, s->minion_id,
						  s->task, s->run,
						  s->checkpoint ? s->checkpoint
								: "",
						  s->deadline_ms });
				},
			.stop =
				[](struct cell_owner *o,
				   const struct cell_stop *s) {
					of(o)->stops.push_back(
						{ s->minion, s->minion_id,
						  s->task, s->run, "", 0 });
				},
			.pace =
				[](struct cell_owner *o,
				   const struct cell_pace *p) {
					of(o)->paces.push_back(
						{ p->task, p->percent });
				},
			.request_advice =
				[](struct cell_owner *o,
				   const struct cell_advice_request *q) {
					AdviceRequest copy{
						q->handle, q->lane, q->step, {}
					};

					for (uint32_t i = 0; i < q->count; i++)
						copy.minions.push_back(
							q->minions[i]);
					of(o)->advice_requests.push_back(copy);
				},
			.record =
				[](struct cell_owner *o, uint64_t seq,
				   const struct cell_record *r) {
					of(o)->records.push_back(seq);
					if (r->kind == CELL_RECORD_SETTLED)
						of(o)->settled.push_back(
							r->minion);
					if (r->kind == CELL_RECORD_ENROLLED)
						of(o)->enrolled.push_back(
							r->addr);
					if (r->kind == CELL_RECORD_CANCEL)
						of(o)->cancelled.push_back(
							r->job);
				},
			.poll =
				[](struct cell_owner *o, uint32_t minion) {
					of(o)->polls.push_back(minion);
				},
			.job_expired =
				[](struct cell_owner *o, const char *job) {
					of(o)->expired_jobs.push_back(job);
				},
			.event =
				[](struct cell_owner *o,
				   const struct cell_event *e) {
					of(o)->events.push_back(
						{ e->what,
						  e->minion ? e->minion : "",
						  e->run,
						  e->detail ? e->detail : "",
						  e->input,
						  e->evidence
							  ? *e->evidence
							  : cell_evidence() });
				},
		};
		struct cell_settings settings = {};

		owner.ops = &ops;
		settings.token = token;
		settings.lease_ms = 5500;
		settings.hold_max_ms = 6000;
		settings.stop_timeout_ms = stop_timeout_ms;
		settings.poll_wait_ms = 1500;
		settings.predecessor_lease_ms = 7300;
		settings.ended_job_ttl_ms = 120000;
		cell = cell_new(&owner, &settings, now);
		cell_lane_up(cell, 0);
		cell_set_term_valid(cell, true, UINT64_MAX);
	}

	~CellFixture()
	{
		cell_free(cell);
		cell_config_free(&config);
	}

	struct cell_queue_spec *queue(const char *name, uint32_t priority,
				      uint32_t attempts)
	{
		struct cell_queue_spec *q;

		config.version++;
		config.queues = static_cast<struct cell_queue_spec *>(realloc(
			config.queues, (config.queue_count + 1) * sizeof(*q)));
		q = &config.queues[config.queue_count++];
		*q = {};
		snprintf(q->name, sizeof(q->name), "%s", name);
		snprintf(q->service, sizeof(q->service), "svc");
		q->priority = priority;
		q->max_attempts = attempts;
		q->stretch = 2;
		q->slo_ms = 1000;
		cell_set_config(cell, &config);
		return q;
	}

	static struct cell_minion_info minion(const std::string &id,
					      uint32_t cpu)
	{
		struct cell_minion_info info = {};

		snprintf(info.id, sizeof(info.id), "%s", id.c_str());
		snprintf(info.addr, sizeof(info.addr), "10.0.0.1:80");
		snprintf(info.service, sizeof(info.service), "svc");
		info.capacity = { cpu, 64000, 0 };
		return info;
	}

	static struct cell_job_spec job(const std::string &id,
					const char *queue, uint32_t count,
					uint32_t cpu)
	{
		struct cell_job_spec spec = {};

		snprintf(spec.id, sizeof(spec.id), "%s", id.c_str());
		snprintf(spec.queue, sizeof(spec.queue), "%s", queue);
		spec.payload = strdup("payload");
		spec.step_count = 1;
		spec.steps = static_cast<struct cell_step_spec *>(
			calloc(4, sizeof(*spec.steps)));
		spec.steps[0].count = count;
		spec.steps[0].need.cpu_milli = cpu;
		spec.steps[0].estimate_ms = 1000;
		return spec;
	}

	void submit(struct cell_job_spec spec, bool is_new = true)
	{
		spec.accepted_unix_ms = unix_ms;
		cell_submit(cell, &spec, is_new, unix_ms, now);
	}

	void tick(uint64_t ms = 0)
	{
		now += ms;
		unix_ms += ms;
		cell_tick(cell, unix_ms, now);
	}

	/* Acknowledges all records issued so far as durable. */
	void durable()
	{
		if (!records.empty())
			cell_on_durable(cell, records.back(), now);
		records.clear();
	}

	void report(uint32_t handle, const std::string &id,
		    const std::vector<Row> &rows, const std::vector<End> &ends,
		    uint64_t sent_ago = 0, bool more_ends = false)
	{
		std::vector<struct cell_running> running(rows.size());
		std::vector<struct cell_ended> ended(ends.size());
		struct cell_report r = {};

		for (size_t i = 0; i < rows.size(); i++) {
			running[i] = {};
			snprintf(running[i].task, CELL_TASK_MAX, "%s",
				 rows[i].task.c_str());
			running[i].run = rows[i].run;
			running[i].checkpoint = rows[i].saved.c_str();
			running[i].load = rows[i].load;
			running[i].percent = rows[i].percent;
		}
		for (size_t i = 0; i < ends.size(); i++) {
			ended[i] = {};
			ended[i].number = ends[i].number;
			snprintf(ended[i].task, CELL_TASK_MAX, "%s",
				 ends[i].task.c_str());
			ended[i].run = ends[i].run;
			ended[i].end = ends[i].end;
			ended[i].checkpoint = ends[i].saved.c_str();
		}
		r.born_unix_ms = born_unix_ms;
		r.clock_ms = now - 50000;
		r.running_count = static_cast<uint32_t>(running.size());
		r.running = running.data();
		r.ended_count = static_cast<uint32_t>(ended.size());
		r.ended = ended.data();
		r.more_ends = more_ends;
		cell_on_report(cell, handle, id.c_str(), &r, now - sent_ago,
			       now);
	}

	/* Lists minions m0 to m(n-1) and enrolls them. */
	void minions(uint32_t n, uint32_t cpu)
	{
		list(n, cpu);
		for (uint32_t i = 0; i < n; i++)
			report(i, "m" + std::to_string(i), {}, {});
		durable();
		tick();
	}

	void list(uint32_t n, uint32_t cpu)
	{
		std::vector<struct cell_minion_info> infos;

		for (uint32_t i = 0; i < n; i++)
			infos.push_back(minion("m" + std::to_string(i), cpu));
		cell_set_minions(cell, infos.data(), n, now);
	}
};

#endif
