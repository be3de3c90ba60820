/*
 * Benchmark of the zone scheduler with running tasks at several sizes: CPU time
 * and bytes of a worker sync, time from submission to the last start decision,
 * and memory of a running job. Runs in virtual time with workers that answer at
 * once.
 */
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include "out.h"
#include "zone.h"

#define TASKS_PER_WORKER 4.3 /* 12,000 tasks on 2,800 workers */
#define ROUNDS 20
#define STEP_MS 50
#define LEASES_MAX 64

static const struct zone_rights all_rights = { .valid = true, .start = true };

/* Leases of a worker, in the order of its sync answers. */
struct worker_leases {
	char leases[LEASES_MAX][ZONE_LEASE_MAX];
	uint32_t count;
};

struct run {
	struct zone *zone;
	struct worker_leases *worker_table;
	uint32_t workers;
	uint64_t now_ms;
	uint64_t starts;
	uint64_t syncs;
	uint64_t sync_bytes;
	double sync_s; /* in the scheduler, for the answers to syncs */
};

static double cpu_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static char *sync_body(const struct worker_leases *f)
{
	json_t *rows = json_array();
	json_t *root;
	char *text;

	for (uint32_t i = 0; i < f->count; i++)
		json_array_append_new(rows,
				      json_pack("{s:s,s:{s:s,s:f,s:i}}", "id",
						f->leases[i], "task", "state",
						"running", "cpus_used", 0.5,
						"mem_mb_used", 100));
	root = json_pack("{s:o}", "leases", rows);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static void answer_sync(struct run *r, const struct zone_action *a,
			const struct worker_leases *f)
{
	char *text = sync_body(f);
	double begin = cpu_seconds();

	zone_on_result(r->zone, ZONE_SYNC, a->ref, a->worker, "", ZONE_OK, text,
		       strlen(text), &all_rights, r->now_ms);
	r->sync_s += cpu_seconds() - begin;
	r->syncs++;
	r->sync_bytes += a->body_len + strlen(text);
	free(text);
}

static void execute_action(struct run *r, const struct zone_action *a)
{
	struct worker_leases *f;

	if (a->kind == ZONE_ANSWER)
		return;
	f = &r->worker_table[strtoul(a->worker + 1, NULL, 10)];
	if (a->kind == ZONE_SYNC) {
		answer_sync(r, a, f);
		return;
	}
	if (a->kind == ZONE_START && f->count < LEASES_MAX) {
		memcpy(f->leases[f->count], a->lease, ZONE_LEASE_MAX);
		f->count++;
		r->starts++;
	}
	zone_on_result(r->zone, a->kind, a->ref, a->worker, a->lease, ZONE_OK,
		       "", 0, &all_rights, r->now_ms);
}

static void step(struct run *r)
{
	struct jnl_pending pending;
	struct zone_action *a;

	r->now_ms += STEP_MS;
	zone_tick(r->zone, r->now_ms, r->now_ms, &all_rights);
	while ((a = zone_next_action(r->zone))) {
		execute_action(r, a);
		zone_action_free(a);
	}
	if (!zone_pending(r->zone))
		return;
	zone_committed(r->zone, zone_take_batch(r->zone, &pending), r->now_ms);
	jnl_pending_free(&pending);
}

static void set_workers(struct run *r)
{
	struct zone_worker_info *infos = calloc(r->workers, sizeof(*infos));

	for (uint32_t i = 0; infos && i < r->workers; i++) {
		snprintf(infos[i].id, sizeof(infos[i].id), "w%u", i);
		snprintf(infos[i].addr, sizeof(infos[i].addr), "10.0.0.1:%u",
			 1000 + i);
		snprintf(infos[i].rack, sizeof(infos[i].rack), "r%u", i / 8);
		infos[i].capacity =
			(struct res){ .cpu_milli = 64000, .mem_mb = 262144 };
	}
	zone_set_workers(r->zone, infos, r->workers, r->now_ms);
	free(infos);
}

static void submit(struct run *r, uint32_t n)
{
	struct zone_submission s = { .spec = { .entry = "render",
					       .need = { .cpu_milli = 12000,
							 .mem_mb = 4096 },
					       .tasks = 1,
					       .repeat = true },
				     .input = "{}",
				     .input_len = 2 };

	snprintf(s.spec.owner, sizeof(s.spec.owner), "owner-%u", n % 170);
	zone_submit(r->zone, n + 1, &s, r->now_ms);
}

static void report(const char *what, uint32_t workers, double value,
		   const char *unit)
{
	char name[64];

	snprintf(name, sizeof(name), "zone_%u.%s", workers, what);
	out(name, value, unit, NAN, NAN);
}

static void measure(uint32_t workers)
{
	struct zone_settings settings = { .az = "az-1",
					  .start_lease_ms = 2000,
					  .sync_min_ms = 3000,
					  .sync_max_ms = 15000,
					  .seed = 7 };
	struct run r = { .workers = workers, .now_ms = 1000000 };
	uint32_t jobs = (uint32_t)(workers * TASKS_PER_WORKER);
	size_t before;
	double begin;

	r.zone = zone_new(&settings);
	r.worker_table = calloc(workers, sizeof(*r.worker_table));
	if (!r.worker_table)
		abort();
	zone_finish_recovery(r.zone, 1, r.now_ms);
	set_workers(&r);
	for (int i = 0; i < 100; i++)
		step(&r);
	before = mallinfo2().uordblks;
	begin = cpu_seconds();
	for (uint32_t n = 0; n < jobs; n++)
		submit(&r, n);
	for (int i = 0; i < 200 && r.starts < jobs; i++)
		step(&r);
	report("start", workers, (cpu_seconds() - begin) * 1e6 / jobs,
	       "us of processor time a start");
	report("memory_per_job", workers,
	       (double)(mallinfo2().uordblks - before) / jobs, "bytes");
	r.syncs = r.sync_bytes = 0;
	r.sync_s = 0;
	for (int i = 0; i < ROUNDS; i++)
		step(&r);
	report("sync_cpu", workers, r.sync_s * 1e6 / (double)r.syncs,
	       "us a listing");
	report("sync_bytes", workers, (double)r.sync_bytes / (double)r.syncs,
	       "bytes of both bodies");
	zone_free(r.zone);
	free(r.worker_table);
}

int main(void)
{
	measure(50);
	measure(100);
	measure(175);
	measure(350);
	return 0;
}
