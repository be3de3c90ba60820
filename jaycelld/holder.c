/*
 * The holder: runs the cell scheduler for the length of a term. It recovers the
 * state of the cell from the store, then polls the store for jobs and minions.
 * See cell_ops.c for commands to minions, journal.c for the journal and query.c
 * for requests of callers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "holder_int.h"

#define TICK_MS 10
#define READ_TIMEOUT_MS 2000
#define READ_RETRY_MS 100
/* Long-poll time of a poll of a minion. */
#define POLL_WAIT_MS 1500
/*
 * Poll interval for jobs whose daemon stored them but could not notify the
 * holder. It is shorter while a follower is missing.
 */
#define JOBS_POLL_MS 1000
#define JOBS_POLL_FAST_MS 150
/* A poll returns at once: it is a watch with the shortest wait. */
#define JOBS_WATCH_WAIT_MS 1
/* Interfering pairs in the metrics, at most. */
#define PAIRS_LISTED_MAX 32

static void read_page(struct holder *h);

static void holder_destroy(struct holder *h)
{
	timer_stop(h->d->loop, &h->tick);
	cell_free(h->cell);
	gc_free(h->gc);
	journal_free(h);
	listing_free(h->listing);
	free(h);
}

/*
 * Accounts for a completed asynchronous call. Returns false if the term has
 * ended, in which case @h may have been freed.
 */
bool holder_end_call(struct holder *h)
{
	h->calls_in_flight--;
	if (!h->closed)
		return true;
	if (!h->calls_in_flight)
		holder_destroy(h);
	return false;
}

/* Ends the term. Outstanding responses are dropped. */
void holder_free(struct holder *h)
{
	h->closed = true;
	timer_stop(h->d->loop, &h->tick);
	if (!h->calls_in_flight)
		holder_destroy(h);
}

/* Returns true once recovery is complete. */
bool holder_ready(const struct holder *h)
{
	return h->phase == PHASE_READY;
}

/*
 * Returns true once the work that recovery leaves behind, such as the first
 * polls of all minions, has had twice the time of recovery.
 */
bool holder_settled(const struct holder *h, uint64_t now_ms)
{
	return h->ready_ms &&
	       now_ms >= h->ready_ms + 2 * (h->ready_ms - h->started_ms);
}

/*
 * Adds a stored job, encoded by record_pack_job(), to the scheduler. @fresh
 * means that no earlier holder can have seen it.
 */
void holder_job(struct holder *h, const char *data, size_t len, bool fresh)
{
	struct cell_job_spec spec;
	uint64_t now = loop_now_ms();
	bool is_new;

	if (!record_unpack_job(data, len, &spec)) {
		ev("job-malformed", "bytes=%zu", len);
		return;
	}
	is_new = fresh && h->phase == PHASE_READY;
	if (cell_submit(h->cell, &spec, is_new, cd_unix_ms(), now) && !is_new)
		terms_want_confirmation(h->d->terms, now);
}

/* Adds listed jobs, any of which an earlier holder may have started. */
void holder_add_jobs(struct holder *h, const struct pf_reply *reply)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		if (reply->items[i].value)
			holder_job(h, reply->items[i].value,
				   reply->items[i].value_len, false);
	}
}

static void become_ready(struct holder *h)
{
	uint64_t now = loop_now_ms();
	struct cell_stats stats;

	h->phase = PHASE_READY;
	h->ready_ms = now;
	h->cursor[0] = '\0';
	h->jobs_poll_ms = now + JOBS_POLL_FAST_MS;
	cell_replay_done(h->cell, now);
	cell_get_stats(h->cell, &stats);
	ctr_observe(h->recovery_us, (now - h->started_ms) * 1000);
	ev("holder-ready",
	   "token=%llu jobs=%u live=%u unsettled=%u "
	   "took_ms=%llu",
	   (unsigned long long)h->token, stats.jobs, stats.live_jobs,
	   stats.unsettled, (unsigned long long)(now - h->started_ms));
	rpc_holder_changed(h->d->rpc);
}

static void on_page(void *ctx, const struct pf_reply *reply)
{
	struct holder *h = ctx;

	if (!holder_end_call(h))
		return;
	if (reply->status != PF_OK) {
		ev("recovery-retry", "phase=%u status=%d", h->phase,
		   reply->status);
		h->jobs_poll_ms = loop_now_ms() + READ_RETRY_MS;
		return;
	}
	ev("recovery-page",
	   "phase=%u count=%u more=%d revision=%llu took_ms=%u", h->phase,
	   reply->count, reply->more, (unsigned long long)reply->read_revision,
	   reply->elapsed_ms);
	if (reply->count)
		snprintf(h->cursor, sizeof(h->cursor), "%s",
			 reply->items[reply->count - 1].key);
	if (h->phase == PHASE_JOBS) {
		if (!h->jobs_revision)
			h->jobs_revision = reply->read_revision;
		holder_add_jobs(h, reply);
	}
	for (uint32_t i = 0; h->phase == PHASE_JOURNAL && i < reply->count;
	     i++) {
		if (!journal_follows(&h->replayed, reply->items[i].key)) {
			ev("journal-gap", "key=%s", reply->items[i].key);
			journal_track_batch(h, reply->items[i].key);
		} else if (!record_replay_batch(reply->items[i].value,
						reply->items[i].value_len,
						h->cell)) {
			ev("journal-malformed", "key=%s", reply->items[i].key);
		} else {
			journal_track_batch(h, reply->items[i].key);
		}
	}
	if (!reply->more || !reply->count) {
		h->phase++;
		h->cursor[0] = '\0';
	}
	if (h->phase == PHASE_READY)
		become_ready(h);
	else
		read_page(h);
}

static void read_page(struct holder *h)
{
	h->calls_in_flight++;
	h->jobs_poll_ms = UINT64_MAX;
	pf_range(h->d->store,
		 h->phase == PHASE_JOBS ? CD_JOB_PREFIX : CD_JOURNAL_PREFIX,
		 h->cursor[0] ? h->cursor : NULL, READ_TIMEOUT_MS, on_page, h);
}

static void on_jobs_page(void *ctx, const struct pf_reply *reply)
{
	struct holder *h = ctx;

	if (!holder_end_call(h))
		return;
	h->jobs_polling = false;
	if (reply->status != PF_OK)
		return;
	if (!h->cursor[0])
		h->jobs_first_revision = reply->read_revision;
	holder_add_jobs(h, reply);
	if (reply->more && reply->count) {
		snprintf(h->cursor, sizeof(h->cursor), "%s",
			 reply->items[reply->count - 1].key);
		h->jobs_poll_ms = 0;
		return;
	}
	h->cursor[0] = '\0';
	h->jobs_revision = h->jobs_first_revision;
	cell_on_jobs_read(h->cell, h->jobs_revision, h->jobs_sent_ms);
}

static void on_jobs(void *ctx, const struct pf_reply *reply)
{
	struct holder *h = ctx;

	if (!holder_end_call(h))
		return;
	h->jobs_polling = false;
	if (reply->status == PF_COMPACTED) {
		h->jobs_revision = 0;
		h->jobs_poll_ms = 0;
		return;
	}
	if (reply->status != PF_OK)
		return;
	holder_add_jobs(h, reply);
	if (reply->read_revision > h->jobs_revision)
		h->jobs_revision = reply->read_revision;
	cell_on_jobs_read(h->cell, h->jobs_revision, h->jobs_sent_ms);
}

/* Reads jobs that were stored without a notification to this holder. */
static void poll_jobs(struct holder *h, uint64_t now)
{
	h->jobs_polling = true;
	if (!h->cursor[0])
		h->jobs_sent_ms = now;
	h->jobs_poll_ms = now + (links_lost_followers(h->d->links, now)
					 ? JOBS_POLL_FAST_MS
					 : JOBS_POLL_MS);
	h->calls_in_flight++;
	if (h->jobs_revision)
		pf_watch(h->d->store, CD_JOB_PREFIX, h->jobs_revision,
			 JOBS_WATCH_WAIT_MS, on_jobs, h);
	else
		pf_range(h->d->store, CD_JOB_PREFIX,
			 h->cursor[0] ? h->cursor : NULL, READ_TIMEOUT_MS,
			 on_jobs_page, h);
}

/* Passes on the result of an advice request made through a follower. */
void holder_on_advice(struct holder *h, uint32_t request_id, bool answered,
		      const struct cell_ticket *tickets, uint32_t count)
{
	cell_on_advice(h->cell, request_id, answered, tickets, count,
		       loop_now_ms());
}

/*
 * Adds the lane of a daemon that can make advice requests. @lane is 0 for this
 * daemon, else the number of the follower.
 */
void holder_lane_up(struct holder *h, uint32_t lane)
{
	cell_lane_up(h->cell, lane);
}

/* Removes the lane of a follower that was disconnected. */
void holder_lane_lost(struct holder *h, uint32_t lane)
{
	cell_lane_lost(h->cell, lane);
}

/* Applies the current configuration to the scheduler. */
void holder_config_changed(struct holder *h)
{
	cell_set_config(h->cell, config_current(h->d->config));
}

/* Polls for jobs soon: a lost follower may have stored some. */
void holder_poll_jobs_soon(struct holder *h)
{
	uint64_t soon = loop_now_ms() + JOBS_POLL_FAST_MS;

	if (h->phase == PHASE_READY && h->jobs_poll_ms > soon)
		h->jobs_poll_ms = soon;
}

/* Calls @fn for each overloaded queue, with the wait for a first start. */
void holder_each_overload(const struct holder *h, cell_overload_fn fn,
			  void *ctx)
{
	if (h->phase == PHASE_READY)
		cell_each_overload(h->cell, fn, ctx, loop_now_ms());
}

/* Updates the gauges of the cell. */
void holder_gauges(const struct holder *h)
{
	struct cell_stats stats;

	cell_get_stats(h->cell, &stats);
	ctr_set(ctr_gauge("jaycelld_live_jobs", "Jobs that have not ended."),
		stats.live_jobs);
	ctr_set(ctr_gauge("jaycelld_ready_steps",
			  "Steps that wait for room or advice."),
		stats.ready_steps);
	ctr_set(ctr_gauge("jaycelld_runs", "Runs on all minions."),
		stats.running);
	ctr_set(ctr_gauge("jaycelld_minions", "Minions that are listed."),
		stats.minions);
	ctr_set(ctr_gauge("jaycelld_unsettled_minions",
			  "Minions of earlier terms that have not reported."),
		stats.unsettled);
	ctr_set(ctr_gauge("jaycelld_failing_minions",
			  "Minions that are listed and do not respond."),
		stats.failing);
	ctr_set(ctr_gauge("jaycelld_order_timeout_ms",
			  "Longest time that the response of a minion may "
			  "take, of all availability zones."),
		stats.order_timeout_ms);
	ctr_set(ctr_gauge("jaycelld_minions_lost",
			  "Minions that this term lost with runs on them."),
		stats.minions_lost);
	ctr_set(ctr_gauge("jaycelld_runs_lost",
			  "Runs that this term lost with their minion."),
		stats.runs_lost);
	ctr_set(ctr_gauge("jaycelld_duplicate_runs",
			  "Runs found beside another run of their task."),
		stats.duplicate_runs);
	ctr_set(ctr_gauge("jaycelld_used_cpu_milli",
			  "Thousandths of cores that runs hold."),
		stats.used_cpu_milli);
	ctr_set(ctr_gauge("jaycelld_tombstones",
			  "Ids that were cancelled without a stored job."),
		stats.tombstones);
	ctr_set(ctr_gauge("jaycelld_interfering_pairs",
			  "Pairs of images that are kept apart."),
		stats.interfering);
}

/* Appends a label of a metric, with the escapes of the format. */
static void append_label(struct buf *out, const char *value)
{
	for (; *value; value++) {
		if (*value == '"' || *value == '\\')
			buf_append(out, "\\", 1);
		if (*value == '\n')
			buf_append(out, "\\n", 2);
		else
			buf_append(out, value, 1);
	}
}

/* Appends the interfering pairs with the largest effect to the metrics. */
void holder_pairs(const struct holder *h, struct buf *out)
{
	static const char *const parts[] = {
		"jaycelld_interference_percent{image=\"", "\",beside=\"", "\"} "
	};
	struct cell_interfering pairs[PAIRS_LISTED_MAX];
	uint32_t n = cell_list_interfering(h->cell, pairs, PAIRS_LISTED_MAX);

	for (uint32_t i = 0; i < n; i++) {
		struct buf value = buf_fmt("%u\n", pairs[i].percent);

		buf_append(out, parts[0], strlen(parts[0]));
		append_label(out, pairs[i].slowed);
		buf_append(out, parts[1], strlen(parts[1]));
		append_label(out, pairs[i].beside);
		buf_append(out, parts[2], strlen(parts[2]));
		buf_append(out, value.data, value.len);
		buf_free(&value);
	}
}

/* Runs due work; called after each iteration of the event loop. */
void holder_tick(struct holder *h, uint64_t now_ms)
{
	if (h->phase != PHASE_READY) {
		if (now_ms >= h->jobs_poll_ms)
			read_page(h);
		return;
	}
	listing_tick(h->listing, now_ms);
	if (!h->jobs_polling && now_ms >= h->jobs_poll_ms)
		poll_jobs(h, now_ms);
	cell_set_term_valid(h->cell, terms_check(h->d->terms, now_ms),
			    terms_store_ms(h->d->terms));
	cell_set_learn_run_times(h->cell, h->d->conf.learn_run_times);
	cell_set_separate_interfering(h->cell, h->d->conf.separate_interfering);
	cell_tick(h->cell, cd_unix_ms(), now_ms);
	journal_tick(h, now_ms);
	gc_tick(h->gc, now_ms);
}

static void on_key_deleted(void *ctx, const char *key, uint64_t revision)
{
	const size_t len = strlen(CD_JOB_PREFIX);
	struct holder *h = ctx;

	if (!strncmp(key, CD_JOB_PREFIX, len))
		cell_on_job_deleted(h->cell, key + len, revision);
}

static void on_tick(struct timer *timer)
{
	struct holder *h = timer->ctx;

	timer_start(h->d->loop, &h->tick, TICK_MS);
}

/*
 * Starts the term with fencing token @token, and recovery from the store.
 * holder_ready() returns true once it is complete.
 */
struct holder *holder_new(struct celld *d, uint64_t token)
{
	struct holder *h = xcalloc(1, sizeof(*h));
	const struct term_leases leases = terms_leases(d->terms);
	struct cell_settings settings = {
		.token = token,
		.lease_ms = leases.own_ms,
		.hold_max_ms = d->conf.hold_max_ms,
		.stop_timeout_ms = d->conf.stop_timeout_ms,
		.poll_wait_ms = POLL_WAIT_MS,
		.predecessor_lease_ms =
			(uint32_t)term_predecessor_wait_ms(&leases),
		.ended_job_ttl_ms = d->conf.status_s * 1000,
	};

	h->owner.ops = &holder_ops;
	h->d = d;
	h->token = token;
	h->started_ms = loop_now_ms();
	h->gc = gc_new(d, token, on_key_deleted, h);
	h->listing = listing_new(h);
	h->cell = cell_new(&h->owner, &settings, h->started_ms);
	h->tick = (struct timer){ .fn = on_tick, .ctx = h };
	h->starts = ctr_counter("jaycelld_starts_total", "Runs ordered.");
	h->batches_written = ctr_counter("jaycelld_journal_batches_total",
					 "Batches written to the journal.");
	h->recovery_us = ctr_histogram("jaycelld_recovery_seconds",
				       "From a claim until the cell is known.");
	cell_set_config(h->cell, config_current(d->config));
	cell_lane_up(h->cell, 0);
	timer_start(d->loop, &h->tick, TICK_MS);
	read_page(h);
	return h;
}
