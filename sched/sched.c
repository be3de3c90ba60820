/*
 * The sched task: takes part in the election of the zone's scheduler (claim),
 * and runs the journal and the scheduler of the zone while it holds the claim.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "cat.h"
#include "catalogue/catalogue.h"
#include "claim.h"
#include "ctr.h"
#include "env.h"
#include "journal.h"
#include "log.h"
#include "submit.h"
#include "tl.h"
#include "zone.h"

#define SCHED_TICK_MS 50
/*
 * Timeout of a worker request, to which a sync adds its long poll. The store
 * replies within milliseconds; workers may take longer.
 */
#define SCHED_WORKER_TIMEOUT_MS 2000
/* A submission without a result by then gets the outcome "unknown". */
#define SCHED_REPLY_TIMEOUT_MS 10000
/* The same for a cancel, which may have to wait for a lease to expire. */
#define SCHED_CANCEL_TIMEOUT_MS 60000

/* References of store requests for the claim; see JOURNAL_REF_FIRST. */
enum claim_ref { REF_WATCH = 1, REF_READ = 2, REF_WRITE = 3 };

/* A submission or cancel that waits for its result. */
struct job_request {
	bool used;
	enum task_id from;
	uint32_t ref;
	uint64_t until_ms;
	enum job_op op;
};

struct sched {
	struct task task;
	struct env env;
	struct timer tick;
	struct claim claim;
	struct journal *journal;
	struct zone *zone; /* NULL unless CLAIM_ACQUIRING or CLAIM_HELD */
	bool watching;
	bool draining;
	struct cat_obj *cat;
	struct inst_list *instances;
	struct peer_table *peers;
	struct job_request *job_requests;
	uint32_t job_request_count;
	struct msg_claim published; /* contents of the last MSG_CLAIM */
	bool commit_deferred;	    /* a commit waits for a valid claim */
	uint64_t commit_batch;
	ctr_id takeovers;
	ctr_id held;
	ctr_id queued;
	ctr_id running;
	ctr_id workers_up;
	ctr_id starts;
	ctr_id lost_workers;
	ctr_id free_milli;
};

static uint64_t random64(void)
{
	uint64_t n;

	arc4random_buf(&n, sizeof(n));
	return n;
}

static void job_reply(struct sched *s, enum task_id to, uint32_t ref,
		      const struct err *err, enum outcome outcome,
		      const char *body, size_t len)
{
	struct msg *reply = msg_new(MSG_JOB_REPLY, TASK_SCHED, ref);

	reply->job_reply.err = *err;
	reply->job_reply.outcome = outcome;
	if (body)
		reply->body = buf_copy(body, len);
	bus_send(s->env.bus, to, reply);
}

static void job_refuse(struct sched *s, const struct msg *msg,
		       enum err_kind kind, const char *text)
{
	struct err err;

	err_set(&err, kind, "%s", text);
	job_reply(s, msg->from, msg->ref, &err, err_outcome(kind), NULL, 0);
}

/* Returns the handle of a new job request: its index plus one. */
static uint32_t job_request_new(struct sched *s, const struct msg *msg,
				uint64_t now_ms)
{
	uint32_t i = 0;

	while (i < s->job_request_count && s->job_requests[i].used)
		i++;
	if (i == s->job_request_count) {
		s->job_request_count++;
		s->job_requests = xrealloc(s->job_requests,
					   s->job_request_count *
						   sizeof(*s->job_requests));
	}
	s->job_requests[i] = (struct job_request){
		.used = true,
		.from = msg->from,
		.ref = msg->ref,
		.op = msg->job.op,
		.until_ms = now_ms + (msg->job.op == JOB_CANCEL
					      ? SCHED_CANCEL_TIMEOUT_MS
					      : SCHED_REPLY_TIMEOUT_MS),
	};
	return i + 1;
}

static void job_request_reply(struct sched *s, uint32_t handle,
			      const struct err *err, enum outcome outcome,
			      const char *body, size_t len)
{
	struct job_request *r = &s->job_requests[handle - 1];

	if (!handle || handle > s->job_request_count || !r->used)
		return;
	r->used = false;
	job_reply(s, r->from, r->ref, err, outcome, body, len);
}

static void job_requests_expire(struct sched *s, uint64_t now_ms, bool all)
{
	struct err err;

	for (uint32_t i = 0; i < s->job_request_count; i++) {
		if (!s->job_requests[i].used ||
		    (!all && now_ms < s->job_requests[i].until_ms))
			continue;
		err_set(&err, ERR_LOST, "%s",
			all ? "the claim was lost before the reply"
			    : "no result from the journal in time");
		job_request_reply(s, i + 1, &err, OUTCOME_UNKNOWN, NULL, 0);
	}
}

static bool claims_equal(const struct msg_claim *a, const struct msg_claim *b)
{
	return a->epoch == b->epoch && a->held == b->held &&
	       a->window == b->window &&
	       a->valid_until_ms == b->valid_until_ms &&
	       a->members_version == b->members_version &&
	       !strcmp(a->holder, b->holder);
}

/* Broadcasts the state of the claim to the other tasks if it has changed. */
static void publish_claim(struct sched *s, uint64_t now_ms)
{
	const struct claim *c = &s->claim;
	struct msg_claim current = {
		.epoch = c->record.epoch,
		.held = claim_valid(c, now_ms),
		.window = claim_held_s(c, now_ms),
		.member_count = c->record.member_count,
		.members_version = c->record.members_version,
	};
	struct msg *msg;

	memcpy(current.holder, c->record.holder, sizeof(current.holder));
	memcpy(current.members, c->record.members, sizeof(current.members));
	if (current.held)
		current.valid_until_ms = claim_valid_until(c);
	if (claims_equal(&current, &s->published))
		return;
	if (current.held != s->published.held ||
	    current.epoch != s->published.epoch ||
	    strcmp(current.holder, s->published.holder) != 0)
		tl_add("claim", "holder=%s epoch=%" PRIu64 " held=%d",
		       current.holder[0] ? current.holder : "none",
		       current.epoch, current.held);
	s->published = current;
	ctr_set(s->held, current.held);
	msg = msg_new(MSG_CLAIM, TASK_SCHED, 0);
	msg->claim = current;
	bus_broadcast(s->env.bus, TASK_SCHED, msg);
}

static struct msg *claim_msg(struct sched *s, enum store_op op,
			     enum claim_ref ref)
{
	struct msg *msg = msg_new(MSG_STORE, TASK_SCHED, ref);

	msg->store.op = op;
	msg->store.timeout_ms = s->env.conf->store_timeout_ms;
	snprintf(msg->store.key, sizeof(msg->store.key), "jayspoke/%s/claim",
		 s->env.conf->az);
	return msg;
}

static void claim_watch(struct sched *s)
{
	struct msg *msg = claim_msg(s, STORE_GET, REF_WATCH);

	msg->store.index = s->claim.index;
	msg->store.wait_ms = s->env.conf->claim_renew_ms;
	s->watching = true;
	bus_send(s->env.bus, TASK_STORE, msg);
}

static void send_promise_requests(struct sched *s, bool renounce)
{
	const struct claim_record *r = &s->claim.record;

	for (uint32_t i = 0; i < r->member_count; i++) {
		struct msg *msg;

		if (!strcmp(r->members[i], s->env.conf->id) ||
		    (renounce && !strcmp(r->members[i], r->holder)))
			continue;
		msg = msg_new(MSG_PROMISE, TASK_SCHED, 0);
		snprintf(msg->promise.peer, sizeof(msg->promise.peer), "%s",
			 r->members[i]);
		msg->promise.epoch = r->epoch;
		msg->promise.term_ms = s->env.conf->claim_ttl_ms;
		msg->promise.renounce = renounce;
		bus_send(s->env.bus, TASK_PEER, msg);
	}
}

static void claim_step(struct sched *s, uint64_t now_ms)
{
	char value[2048];
	struct msg *msg;
	size_t len;

	switch (claim_tick(&s->claim, now_ms, random64())) {
	case CLAIM_NO_ACTION:
		break;
	case CLAIM_READ:
		bus_send(s->env.bus, TASK_STORE,
			 claim_msg(s, STORE_GET, REF_READ));
		break;
	case CLAIM_WRITE:
		len = claim_encode(&s->claim.next_record, value, sizeof(value));
		msg = claim_msg(s, STORE_PUT, REF_WRITE);
		msg->store.has_cas = true;
		msg->store.index = s->claim.next_index;
		msg->body = buf_copy(value, len);
		bus_send(s->env.bus, TASK_STORE, msg);
		break;
	case CLAIM_REQUEST_PROMISES:
		send_promise_requests(s, false);
		break;
	case CLAIM_REQUEST_CONSENT:
		send_promise_requests(s, true);
		break;
	}
}

static void close_zone(struct sched *s)
{
	journal_close(s->journal);
	zone_free(s->zone);
	s->zone = NULL;
	s->commit_deferred = false;
	job_requests_expire(s, 0, true);
}

static void set_owners(struct sched *s)
{
	const struct conf *conf = s->env.conf;
	uint32_t zone = 0;

	/* The number of a zone is its rank in the order of names. */
	for (uint32_t i = 0; i < conf->zone_count; i++)
		zone += strcmp(conf->zones[i].az, conf->az) < 0;
	for (uint32_t i = 0; i < s->cat->cat->owner_count; i++) {
		const struct cat_owner *o = &s->cat->cat->owners[i];
		struct res max = {
			.cpu_milli = cat_zone_share(o->max_cpu_milli, zone,
						    conf->zone_count),
			.mem_mb = cat_zone_share(o->max_mem_mb, zone,
						 conf->zone_count),
			.accel = cat_zone_share(o->max_accel, zone,
						conf->zone_count),
		};

		zone_set_owner(s->zone, o->name, o->weight, &max);
	}
}

static bool is_stopping(const struct sched *s, const char *instance)
{
	const struct cat_stop *stop;

	if (!s->cat)
		return false;
	stop = cat_stop(s->cat->cat, instance);
	return stop && stop->at * 1000 <= submit_unix_ms();
}

static void set_workers(struct sched *s, uint64_t now_ms)
{
	struct zone_worker_info *infos =
		xcalloc(s->instances->count, sizeof(*infos));
	uint32_t count = 0;

	for (uint32_t i = 0; i < s->instances->count; i++) {
		const struct instance *in = &s->instances->items[i];
		struct zone_worker_info *info = &infos[count];

		if (in->kind != INST_WORKER)
			continue;
		memcpy(info->id, in->id, sizeof(info->id));
		memcpy(info->addr, in->addr, sizeof(info->addr));
		memcpy(info->rack, in->rack, sizeof(info->rack));
		info->capacity = (struct res){ .cpu_milli = in->cpus * 1000,
					       .mem_mb = in->mem_mb,
					       .accel = in->accel };
		info->leaving = in->leaving || is_stopping(s, in->id);
		count++;
	}
	zone_set_workers(s->zone, infos, count, now_ms);
	free(infos);
}

static void open_zone(struct sched *s)
{
	struct zone_settings settings = {
		.start_lease_ms = s->env.conf->start_lease_ms,
		.sync_min_ms = s->env.conf->worker_sync_min_ms,
		.sync_max_ms = s->env.conf->worker_sync_max_ms,
		.seed = random64(),
	};

	snprintf(settings.az, sizeof(settings.az), "%s", s->env.conf->az);
	s->zone = zone_new(&settings);
	tl_add("takeover", "begin epoch=%" PRIu64, s->claim.epoch);
	journal_open(s->journal, s->zone, s->claim.epoch);
}

static void on_journal_ready(void *ctx)
{
	struct sched *s = ctx;
	uint64_t now_ms = loop_now_ms();

	claim_on_recovered(&s->claim, now_ms);
	if (s->claim.state != CLAIM_HELD)
		return;
	zone_finish_recovery(s->zone, s->claim.epoch, now_ms);
	if (s->cat)
		set_owners(s);
	if (s->instances)
		set_workers(s, now_ms);
	ctr_add(s->takeovers, 1);
	tl_add("takeover", "done epoch=%" PRIu64 " batch=%" PRIu64,
	       s->claim.epoch, journal_position(s->journal));
}

/*
 * A commit takes effect only while the claim is valid. A late write of a former
 * holder seems to succeed if its successor has written the same log key and
 * deleted it since. The commit is deferred until a renewal of the claim shows
 * that no other daemon has taken over.
 */
static void on_journal_committed(void *ctx, uint64_t batch)
{
	struct sched *s = ctx;
	uint64_t now_ms = loop_now_ms();

	s->commit_batch = batch;
	s->commit_deferred = !claim_valid(&s->claim, now_ms);
	if (!s->commit_deferred)
		zone_committed(s->zone, batch, now_ms);
}

static void on_journal_lost(void *ctx)
{
	struct sched *s = ctx;

	claim_step_down(&s->claim);
}

static const struct journal_ops journal_callbacks = {
	.ready = on_journal_ready,
	.committed = on_journal_committed,
	.lost = on_journal_lost,
};

static void send_action(struct sched *s, struct zone_action *a)
{
	static const enum worker_op ops[] = {
		[ZONE_CREATE_LEASE] = WORKER_LEASE,
		[ZONE_START] = WORKER_START,
		[ZONE_STOP] = WORKER_STOP,
		[ZONE_THROTTLE] = WORKER_THROTTLE,
		[ZONE_SYNC] = WORKER_SYNC,
	};
	struct msg *msg;

	if (a->kind == ZONE_ANSWER) {
		job_request_reply(s, a->ref, &a->err, a->outcome, a->body,
				  a->body_len);
		return;
	}
	msg = msg_new(MSG_WORKER, TASK_SCHED, a->ref);
	msg->worker.op = ops[a->kind];
	memcpy(msg->worker.worker, a->worker, sizeof(msg->worker.worker));
	memcpy(msg->worker.addr, a->addr, sizeof(msg->worker.addr));
	memcpy(msg->worker.lease, a->lease, sizeof(msg->worker.lease));
	msg->worker.ttl_ms = a->ttl_ms;
	msg->worker.timeout_ms = a->wait_ms + SCHED_WORKER_TIMEOUT_MS;
	msg->worker.decided_ms = loop_now_ms();
	msg->body = buf_copy(a->body, a->body_len);
	if (a->kind == ZONE_START || a->kind == ZONE_STOP ||
	    a->kind == ZONE_THROTTLE)
		tl_add(a->kind == ZONE_START  ? "start"
		       : a->kind == ZONE_STOP ? "stop"
					      : "throttle",
		       "lease=%s worker=%s", a->lease, a->worker);
	bus_send(s->env.bus, TASK_WORKER, msg);
}

static void run_actions(struct sched *s)
{
	struct zone_action *a;

	while (s->zone && (a = zone_next_action(s->zone))) {
		send_action(s, a);
		zone_action_free(a);
	}
}

static void update_gauges(struct sched *s)
{
	struct zone_stats stats = { 0 };

	if (s->zone)
		zone_get_stats(s->zone, &stats);
	ctr_set(s->free_milli, stats.free_milli);
	ctr_set(s->queued, stats.queued);
	ctr_set(s->running, stats.running);
	ctr_set(s->workers_up, stats.workers_up);
	ctr_set(s->lost_workers, stats.lost_workers);
	if (s->zone)
		ctr_set(s->starts, stats.starts);
}

static void sched_step(struct sched *s)
{
	uint64_t now_ms = loop_now_ms();

	claim_step(s, now_ms);
	if (s->zone && s->claim.state != CLAIM_HELD &&
	    s->claim.state != CLAIM_ACQUIRING)
		close_zone(s);
	if (!s->zone && s->claim.state == CLAIM_ACQUIRING)
		open_zone(s);
	if (!s->watching && s->claim.known && !s->claim.releasing &&
	    s->claim.state == CLAIM_STANDBY)
		claim_watch(s);
	if (s->zone && s->claim.state == CLAIM_HELD) {
		bool valid = claim_valid(&s->claim, now_ms);

		if (s->commit_deferred && valid) {
			s->commit_deferred = false;
			zone_committed(s->zone, s->commit_batch, now_ms);
		}
		struct zone_rights rights = { .valid = valid,
					      .start = valid && !s->draining };

		zone_tick(s->zone, now_ms, submit_unix_ms(), &rights);
	}
	if (s->zone && !s->commit_deferred)
		journal_flush(s->journal, now_ms);
	run_actions(s);
	job_requests_expire(s, now_ms, false);
	publish_claim(s, now_ms);
}

static void on_tick(struct timer *timer)
{
	struct sched *s = timer->ctx;

	sched_step(s);
	update_gauges(s);
	timer_start(s->env.loop, &s->tick, SCHED_TICK_MS);
}

static void on_claim_value(struct sched *s, const struct msg *msg,
			   uint64_t now_ms)
{
	struct claim_record record;
	struct err err = { 0 };

	switch (msg->store_reply.status) {
	case STORE_ABSENT:
		claim_on_read(&s->claim, NULL, 0, now_ms);
		break;
	case STORE_OK:
		if (claim_decode(msg->body.data, msg->body.len, &record, &err))
			claim_on_read(&s->claim, &record,
				      msg->store_reply.index, now_ms);
		else
			log_err("claim of %s: %s", s->env.conf->az, err.text);
		break;
	default:
		break;
	}
}

static void on_store_reply(struct sched *s, const struct msg *msg)
{
	static const enum claim_write_result results[] = {
		[STORE_OK] = CLAIM_WRITE_OK,
		[STORE_ABSENT] = CLAIM_WRITE_CONFLICT,
		[STORE_CONFLICT] = CLAIM_WRITE_CONFLICT,
		[STORE_UNAVAILABLE] = CLAIM_WRITE_FAILED,
		[STORE_UNKNOWN] = CLAIM_WRITE_UNKNOWN,
	};
	uint64_t now_ms = loop_now_ms();

	if (journal_owns(s->journal, msg->ref)) {
		journal_on_reply(s->journal, msg, now_ms);
		return;
	}
	switch (msg->ref) {
	case REF_WATCH:
		s->watching = false;
		on_claim_value(s, msg, now_ms);
		break;
	case REF_READ:
		on_claim_value(s, msg, now_ms);
		break;
	case REF_WRITE:
		claim_on_written(&s->claim, results[msg->store_reply.status],
				 now_ms);
		break;
	default:
		break;
	}
}

static void on_submit(struct sched *s, const struct msg *msg, uint64_t now_ms)
{
	struct zone_submission sub = { 0 };
	struct err err = { 0 };
	json_t *root;

	if (s->draining || !s->cat) {
		job_refuse(s, msg, ERR_DRAINING, "the daemon is draining");
		return;
	}
	if (!journal_healthy(s->journal, now_ms)) {
		job_refuse(s, msg, ERR_STORE_DOWN,
			   "the journal of the zone cannot be written");
		return;
	}
	root = cat_json(msg->body.data ? msg->body.data : "", msg->body.len,
			2 * SUBMIT_INPUT_MAX, "submission", &err);
	if (root && submit_read(s->env.conf, s->cat->cat, msg->job.key, root,
				&sub, &err)) {
		zone_submit(s->zone, job_request_new(s, msg, now_ms), &sub,
			    now_ms);
		journal_flush(s->journal, now_ms);
	} else {
		job_reply(s, msg->from, msg->ref, &err, err_outcome(err.kind),
			  NULL, 0);
	}
	json_decref(root);
}

static void on_status(struct sched *s, const struct msg *msg)
{
	enum outcome outcome;
	struct err err = { 0 };
	char *body = NULL;
	size_t len = 0;

	zone_status(s->zone, msg->job.id, &body, &len, &err, &outcome);
	job_reply(s, msg->from, msg->ref, &err, outcome, body, len);
	free(body);
}

static void on_job(struct sched *s, const struct msg *msg)
{
	uint64_t now_ms = loop_now_ms();

	if (!s->zone || s->claim.state != CLAIM_HELD ||
	    !claim_valid(&s->claim, now_ms)) {
		job_refuse(s, msg, ERR_NO_HOLDER,
			   "this daemon does not hold the claim of the zone");
		return;
	}
	switch (msg->job.op) {
	case JOB_SUBMIT:
		on_submit(s, msg, now_ms);
		break;
	case JOB_STATUS:
		on_status(s, msg);
		break;
	case JOB_CANCEL:
		zone_cancel(s->zone, job_request_new(s, msg, now_ms),
			    msg->job.id, now_ms);
		break;
	}
	run_actions(s);
}

static void on_worker_reply(struct sched *s, const struct msg *msg)
{
	static const enum zone_action_kind kinds[] = {
		[WORKER_LEASE] = ZONE_CREATE_LEASE, [WORKER_START] = ZONE_START,
		[WORKER_STOP] = ZONE_STOP,	    [WORKER_SYNC] = ZONE_SYNC,
		[WORKER_THROTTLE] = ZONE_THROTTLE,
	};
	static const enum zone_result results[] = {
		[WORKER_OK] = ZONE_OK,
		[WORKER_REFUSED] = ZONE_REFUSED,
		[WORKER_NOT_SENT] = ZONE_NOT_SENT,
		[WORKER_NO_RESPONSE] = ZONE_NO_ANSWER,
	};
	const struct msg_worker_reply *r = &msg->worker_reply;
	uint64_t now_ms = loop_now_ms();
	bool valid = claim_valid(&s->claim, now_ms);
	struct zone_rights rights = { .valid = valid,
				      .start = valid && !s->draining };

	if (!s->zone || s->claim.state != CLAIM_HELD)
		return;
	zone_on_result(s->zone, kinds[r->op], msg->ref, r->worker, r->lease,
		       results[r->status], msg->body.data ? msg->body.data : "",
		       msg->body.len, &rights, now_ms);
	run_actions(s);
	if (!s->commit_deferred)
		journal_flush(s->journal, now_ms);
}

/* Handles a promise request from another daemon of the zone. */
static void on_promise(struct sched *s, const struct msg *msg)
{
	const struct msg_promise *p = &msg->promise;
	uint64_t now_ms = loop_now_ms();
	struct msg *reply = msg_new(MSG_PROMISE_REPLY, TASK_SCHED, msg->ref);

	reply->promise = *p;
	if (p->renounce)
		reply->promise.granted =
			claim_on_consent_request(&s->claim, p->epoch, now_ms);
	else
		reply->promise.granted = claim_on_promise_request(
			&s->claim, p->peer, p->epoch, p->term_ms, now_ms);
	reply->promise.store_reachable =
		s->claim.known &&
		now_ms - s->claim.read_ms < s->env.conf->claim_renew_ms;
	bus_send(s->env.bus, msg->from, reply);
}

static void on_promise_reply(struct sched *s, const struct msg *msg)
{
	const struct msg_promise *p = &msg->promise;

	if (p->renounce)
		claim_on_consent_reply(&s->claim, p->peer, p->epoch,
				       p->granted);
	else
		claim_on_promise_reply(&s->claim, p->peer, p->epoch,
				       p->granted);
}

static void on_peers(struct sched *s, struct msg *msg)
{
	char ids[CLAIM_MEMBERS_MAX][CLAIM_NAME_MAX] = { { 0 } };
	uint32_t count = 0;

	shared_unref(s->peers);
	s->peers = shared_ref(msg->obj);
	for (uint32_t i = 0; i < s->peers->count; i++) {
		const struct peer_info *p = &s->peers->peers[i];

		if (!p->alive || p->draining ||
		    strcmp(p->az, s->env.conf->az) != 0 ||
		    !strcmp(p->id, s->env.conf->id) ||
		    count == CLAIM_MEMBERS_MAX - 1)
			continue;
		memcpy(ids[count], p->id, CLAIM_NAME_MAX);
		count++;
	}
	claim_set_alive(&s->claim, ids, count);
}

/*
 * Marks members that the platform has terminated: those missing in the instance
 * list, provided that the list contains daemons at all.
 */
static void mark_dead_members(struct sched *s)
{
	const struct claim_record *r = &s->claim.record;
	bool lists_daemons = false;

	for (uint32_t i = 0; i < s->instances->count; i++)
		lists_daemons |= s->instances->items[i].kind == INST_DAEMON;
	for (uint32_t m = 0; lists_daemons && m < r->member_count; m++) {
		bool listed = false;

		for (uint32_t i = 0; i < s->instances->count; i++)
			listed |= !strcmp(s->instances->items[i].id,
					  r->members[m]);
		claim_set_dead(&s->claim, r->members[m], !listed);
	}
}

static void sched_handle(struct task *task, struct msg *msg)
{
	struct sched *s = (struct sched *)task;

	switch (msg->kind) {
	case MSG_STORE_REPLY:
		on_store_reply(s, msg);
		sched_step(s);
		break;
	case MSG_WORKER_REPLY:
		on_worker_reply(s, msg);
		break;
	case MSG_JOB:
		on_job(s, msg);
		break;
	case MSG_PROMISE:
		on_promise(s, msg);
		break;
	case MSG_PROMISE_REPLY:
		on_promise_reply(s, msg);
		break;
	case MSG_CAT_CHANGED:
		shared_unref(s->cat);
		s->cat = shared_ref(msg->obj);
		if (s->zone && s->claim.state == CLAIM_HELD)
			set_owners(s);
		break;
	case MSG_INSTANCES:
		shared_unref(s->instances);
		s->instances = shared_ref(msg->obj);
		mark_dead_members(s);
		if (s->zone && s->claim.state == CLAIM_HELD)
			set_workers(s, loop_now_ms());
		break;
	case MSG_PEERS:
		on_peers(s, msg);
		break;
	case MSG_DRAIN:
		s->draining = true;
		break;
	default:
		break;
	}
}

/*
 * While draining, keeps the claim until the pending job requests have their
 * results and the journal is written, then releases the claim. The task is busy
 * until the release is written.
 */
static bool sched_busy(struct task *task)
{
	struct sched *s = (struct sched *)task;

	if (!s->draining)
		return false;
	for (uint32_t i = 0; i < s->job_request_count; i++) {
		if (s->job_requests[i].used)
			return true;
	}
	if (s->claim.state == CLAIM_HELD || s->claim.state == CLAIM_ACQUIRING ||
	    s->claim.state == CLAIM_STANDBY) {
		if (s->claim.state == CLAIM_HELD && !journal_idle(s->journal) &&
		    journal_healthy(s->journal, loop_now_ms()))
			return true;
		claim_release(&s->claim);
		tl_add("claim", "release epoch=%" PRIu64, s->claim.epoch);
	}
	return s->claim.releasing;
}

static const struct task_ops sched_ops = {
	.name = "sched",
	.handle = sched_handle,
	.busy = sched_busy,
};

/* Creates the sched task, which starts to watch the claim at once. */
struct task *sched_new(const struct env *env, struct err *err)
{
	struct sched *s = xcalloc(1, sizeof(*s));
	struct claim_settings settings = { .ttl_ms = env->conf->claim_ttl_ms,
					   .renew_ms =
						   env->conf->claim_renew_ms };

	(void)err;
	s->task.ops = &sched_ops;
	s->env = *env;
	snprintf(settings.self, sizeof(settings.self), "%s", env->conf->id);
	claim_init(&s->claim, &settings, loop_now_ms());
	s->journal = journal_new(env, &journal_callbacks, s);
	s->takeovers = ctr_counter("jayspoke_takeovers_total",
				   "Takeovers of the zone by this daemon.");
	s->held = ctr_gauge("jayspoke_claim_held",
			    "1 while this daemon holds the zone's claim.");
	s->queued = ctr_gauge("jayspoke_jobs_queued", "Jobs that wait.");
	s->running = ctr_gauge("jayspoke_tasks_running",
			       "Tasks that are placed on workers.");
	s->workers_up =
		ctr_gauge("jayspoke_workers_up", "Workers that answer.");
	s->starts = ctr_gauge("jayspoke_task_starts",
			      "Task starts since the takeover.");
	s->free_milli = ctr_gauge("jayspoke_zone_free_milli",
				  "Free share of the zone, in thousandths.");
	s->lost_workers = ctr_gauge("jayspoke_workers_lost",
				    "Workers lost since the takeover.");
	s->tick = (struct timer){ .fn = on_tick, .ctx = s };
	timer_start(env->loop, &s->tick, 0);
	bus_register(env->bus, TASK_SCHED, &s->task);
	return &s->task;
}
