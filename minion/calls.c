#include "calls.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/rand.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "ctr.h"
#include "idem.h"
#include "retry.h"
#include "tl.h"

#define CALL_ATTEMPTS_MAX 3
#define CALL_BACKOFF_MS 10
#define CALL_BACKOFF_MAX_MS 500
#define CALL_HEDGE_DELAY_MIN_MS 10
#define CALL_ATTEMPTS_OPEN_MAX 2 /* the first attempt and its hedge */
/* Response and metadata must fit in a 1 MiB frame between daemons. */
#define CALL_RESPONSE_BYTES_MAX (1000U << 10)
/* Queued bodies of all entries; keeps a burst from exhausting memory. */
#define CALL_QUEUED_BYTES_MAX (64U << 20)
#define CALL_OPEN_MAX 16384 /* requests in progress, queued or sent */
/*
 * After startup, requests are queued for this time while the daemon usually
 * obtains its first share of the slots. Later they are rejected until it has
 * one.
 */
#define CALL_STARTUP_MS 3000
/* Keys of 120 s (IDEM_RETAIN_S) at 1000 at-most-once requests per second. */
#define CALL_KEYS_MAX 131072
#define CALL_STORED_BYTES_MAX (16U << 20)

struct upstream {
	char name[MSG_NAME_MAX];
	struct retry_budget budget;
	uint32_t queued;
	struct upstream *next; /* in calls.upstream_list */
	UT_hash_handle hh;
};

struct call;

/* Requests of one entry. */
struct queue {
	char name[MSG_NAME_MAX];
	struct entry_info info; /* from the catalogue, at the last request */
	struct upstream *upstream;
	struct call *head;
	uint32_t count;
	uint32_t running;
	uint64_t service_us; /* moving average of service time, 0 if unknown */
	struct queue *next;  /* in calls.queue_list */
	UT_hash_handle hh;
};

enum call_state {
	CALL_QUEUED,
	CALL_BACKOFF,
	CALL_SENT,
	CALL_ENDED, /* answered, but an attempt is still open */
};

/* A requester that waits for the result of a call. */
struct waiter {
	enum task_id from;
	uint32_t ref;
	struct waiter *next;
};

struct attempt {
	bool open;
	uint32_t backend;
	uint32_t timeout_ms;
	uint64_t sent_ms;
};

struct call {
	struct calls *calls;
	uint32_t index;
	uint32_t generation;
	bool used;
	enum call_state state;
	struct queue *queue;
	struct waiter *waiters;
	char key[MSG_NAME_MAX];
	bool has_key;	   /* key given with the request, not generated */
	bool at_most_once; /* a retry must not run it again */
	bool recorded;	   /* its key is in the idempotency table */
	bool dispatched;   /* sent once; the key is marked as dispatched */
	bool maybe_ran;	   /* a byte of an attempt may have been sent */
	struct buf body;
	uint64_t deadline_ms;
	uint64_t begin_ms;
	uint32_t attempt_count;
	uint32_t avoid; /* minion of the last failed attempt */
	struct attempt attempts[CALL_ATTEMPTS_OPEN_MAX];
	struct timer timer; /* by state: deadline, backoff, hedge */
	struct call *prev;
	struct call *next;
};

/* The result of a call, as sent and as stored under its idempotency key. */
struct call_result {
	struct msg_call_reply reply;
	struct buf body;
};

struct calls {
	const struct env *env;
	struct entries *entries;
	struct backends *backends;
	struct idem_table *idem;
	struct upstream *upstreams; /* by name */
	struct upstream *upstream_list;
	struct queue *queues; /* by name */
	struct queue *queue_list;
	struct call **table; /* stable addresses */
	uint32_t table_size;
	uint32_t *free_indices;
	uint32_t free_index_count;
	uint32_t open;
	uint32_t queued;
	size_t queued_bytes;
	uint32_t member_count;
	uint32_t member_index;
	uint32_t zone_index;
	uint64_t random;
	uint64_t serial;
	uint64_t start_ms;
	bool stopped; /* rejects new requests */
	ctr_id total;
	ctr_id retries;
	ctr_id hedges;
	ctr_id not_run;
	ctr_id unknown;
	ctr_id ejections;
	ctr_id seconds;
	ctr_id gauge_queued;
	ctr_id gauge_open;
	ctr_id gauge_no_share;
};

static void call_timer(struct timer *timer);

static void result_free(void *p)
{
	struct call_result *result = p;

	buf_free(&result->body);
	free(result);
}

/* Returns a random number for choices that need not be unpredictable. */
static uint64_t next_random(struct calls *cs)
{
	cs->random += 0x9e3779b97f4a7c15ULL;
	return XXH64(&cs->random, sizeof(cs->random), 0);
}

static uint32_t zone_index(const struct conf *conf)
{
	uint32_t index = 0;

	for (uint32_t i = 0; i < conf->zone_count; i++)
		index += strcmp(conf->zones[i].az, conf->az) < 0;
	return index;
}

/* Returns a new, empty request router; one per daemon. */
struct calls *calls_new(const struct env *env, struct entries *entries,
			struct backends *backends)
{
	struct calls *cs = xcalloc(1, sizeof(*cs));
	struct idem_settings settings = {
		.az = env->conf->az,
		.max_keys = CALL_KEYS_MAX,
		.max_answer_bytes = CALL_STORED_BYTES_MAX,
		.free_answer = result_free,
	};

	cs->env = env;
	cs->entries = entries;
	cs->backends = backends;
	cs->idem = idem_new(&settings);
	cs->zone_index = zone_index(env->conf);
	cs->member_count = 1;
	cs->start_ms = loop_now_ms();
	RAND_bytes((unsigned char *)&cs->random, sizeof(cs->random));
	cs->total = ctr_counter("jayspoke_calls_total",
				"Interactive requests answered.");
	cs->retries = ctr_counter("jayspoke_call_retries_total",
				  "Attempts after the first.");
	cs->hedges =
		ctr_counter("jayspoke_call_hedges_total", "Hedged attempts.");
	cs->not_run = ctr_counter("jayspoke_calls_not_run_total",
				  "Interactive requests answered not-run.");
	cs->unknown = ctr_counter("jayspoke_calls_unknown_total",
				  "Interactive requests answered unknown.");
	cs->ejections = ctr_counter("jayspoke_minion_ejections_total",
				    "Ejections of minions.");
	cs->seconds = ctr_histogram("jayspoke_call_seconds",
				    "Time of interactive requests.");
	cs->gauge_queued = ctr_gauge("jayspoke_calls_queued",
				     "Interactive requests in queues.");
	cs->gauge_open = ctr_gauge("jayspoke_calls_open",
				   "Interactive requests in progress.");
	cs->gauge_no_share =
		ctr_gauge("jayspoke_slots_no_share",
			  "1 while there are minions but no share of them.");
	return cs;
}

/*
 * Applies the zone's claim to the idempotency table, and the position of this
 * daemon in the member list to its part of the entries' limits.
 */
void calls_set_claim(struct calls *cs, const struct msg_claim *claim,
		     uint64_t now)
{
	idem_set_claim(cs->idem, claim->held, claim->epoch, claim->window, now);
	for (uint32_t i = 0; i < claim->member_count; i++) {
		if (strcmp(claim->members[i], cs->env->conf->id) != 0)
			continue;
		cs->member_index = i;
		cs->member_count = claim->member_count;
	}
}

static struct upstream *upstream_get(struct calls *cs, const char *name)
{
	struct upstream *u;

	HASH_FIND_STR(cs->upstreams, name, u);
	if (u)
		return u;
	u = xcalloc(1, sizeof(*u));
	snprintf(u->name, sizeof(u->name), "%s", name);
	retry_init(&u->budget);
	HASH_ADD_STR(cs->upstreams, name, u);
	u->next = cs->upstream_list;
	cs->upstream_list = u;
	return u;
}

static struct queue *queue_get(struct calls *cs, const struct entry_info *info)
{
	struct queue *q;

	HASH_FIND_STR(cs->queues, info->name, q);
	if (!q) {
		q = xcalloc(1, sizeof(*q));
		memcpy(q->name, info->name, sizeof(q->name));
		HASH_ADD_STR(cs->queues, name, q);
		q->next = cs->queue_list;
		cs->queue_list = q;
	}
	q->info = *info;
	/* Requests stay counted under the upstream they were queued for. */
	if (!q->count)
		q->upstream = upstream_get(cs, info->upstream);
	return q;
}

static struct call *call_new(struct calls *cs)
{
	struct call *c;
	uint32_t index;
	uint32_t generation;

	if (cs->free_index_count) {
		cs->free_index_count--;
		index = cs->free_indices[cs->free_index_count];
	} else {
		uint32_t n = cs->table_size + 1;

		index = cs->table_size;
		cs->table = xrealloc(cs->table, n * sizeof(*cs->table));
		cs->free_indices = xrealloc(cs->free_indices,
					    n * sizeof(*cs->free_indices));
		cs->table[index] = xcalloc(1, sizeof(**cs->table));
		cs->table_size = n;
	}
	c = cs->table[index];
	generation = (c->generation + 1) & 0x7fff;
	*c = (struct call){ .calls = cs,
			    .index = index,
			    .generation = generation,
			    .used = true,
			    .avoid = BACKEND_NONE,
			    .begin_ms = loop_now_ms(),
			    .timer = { .fn = call_timer, .ctx = c } };
	cs->open++;
	return c;
}

/* Packs generation, index and attempt number into a request reference. */
static uint32_t attempt_ref(const struct call *c, int attempt)
{
	return (c->generation << 17) | (c->index << 1) | (uint32_t)attempt;
}

static bool attempt_open(const struct call *c)
{
	for (int i = 0; i < CALL_ATTEMPTS_OPEN_MAX; i++) {
		if (c->attempts[i].open)
			return true;
	}
	return false;
}

static void call_free(struct call *c)
{
	struct calls *cs = c->calls;

	timer_stop(cs->env->loop, &c->timer);
	buf_free(&c->body);
	c->used = false;
	cs->free_indices[cs->free_index_count] = c->index;
	cs->free_index_count++;
	cs->open--;
}

static void call_unqueue(struct call *c)
{
	struct calls *cs = c->calls;

	if (c->state != CALL_QUEUED || !c->queue)
		return;
	DL_DELETE(c->queue->head, c);
	c->queue->count--;
	c->queue->upstream->queued--;
	cs->queued--;
	cs->queued_bytes -= c->body.len;
}

static void call_enqueue(struct call *c, bool first)
{
	struct calls *cs = c->calls;

	c->state = CALL_QUEUED;
	if (first)
		DL_PREPEND(c->queue->head, c);
	else
		DL_APPEND(c->queue->head, c);
	c->queue->count++;
	c->queue->upstream->queued++;
	cs->queued++;
	cs->queued_bytes += c->body.len;
	timer_start(cs->env->loop, &c->timer,
		    retry_left_ms(c->deadline_ms, loop_now_ms()));
}

static void send_result(struct calls *cs, enum task_id to, uint32_t ref,
			const struct call_result *result)
{
	struct msg *msg = msg_new(MSG_CALL_REPLY, TASK_MINION, ref);

	msg->call_reply = result->reply;
	if (result->body.len)
		msg->body = buf_copy(result->body.data, result->body.len);
	ctr_add(cs->total, 1);
	if (result->reply.outcome == OUTCOME_NOT_RUN)
		ctr_add(cs->not_run, 1);
	if (result->reply.outcome == OUTCOME_UNKNOWN)
		ctr_add(cs->unknown, 1);
	bus_send(cs->env->bus, to, msg);
}

/* Sends the result to all waiters and stores it under the call's key. */
static void call_end(struct call *c, struct call_result *result)
{
	struct calls *cs = c->calls;
	bool stored = false;

	call_unqueue(c);
	while (c->waiters) {
		struct waiter *w = c->waiters;

		c->waiters = w->next;
		send_result(cs, w->from, w->ref, result);
		free(w);
	}
	ctr_observe(cs->seconds, (loop_now_ms() - c->begin_ms) * 1000);
	if (c->recorded)
		stored = idem_finish(cs->idem, c->key, result,
				     sizeof(*result) + result->body.len);
	if (!stored)
		result_free(result);
	c->state = CALL_ENDED;
	timer_stop(cs->env->loop, &c->timer);
	if (!attempt_open(c))
		call_free(c);
}

static struct call_result *result_error(enum err_kind kind,
					enum outcome outcome, const char *text,
					const char *what)
{
	struct call_result *result = xcalloc(1, sizeof(*result));

	err_set(&result->reply.err, kind, "%s: %s", what, text);
	result->reply.outcome = outcome;
	return result;
}

/*
 * Ends a call with an error. Reports "not run" only if nothing can have been
 * sent, whatever outcome the error kind implies.
 */
static void call_fail(struct call *c, enum err_kind kind, const char *text)
{
	enum outcome outcome = err_outcome(kind);

	struct call_result *result;

	if (c->maybe_ran && outcome == OUTCOME_NOT_RUN)
		outcome = OUTCOME_UNKNOWN;
	result = result_error(kind, outcome, text, c->queue->name);
	if (c->recorded && outcome == OUTCOME_NOT_RUN)
		err_set(&result->reply.err, kind,
			"%s: %s; a retry needs a new key", c->queue->name,
			text);
	call_end(c, result);
}

static void call_end_response(struct call *c, const struct backend *backend,
			      struct httpc_response *response)
{
	struct call_result *result = xcalloc(1, sizeof(*result));
	struct msg_call_reply *reply = &result->reply;

	reply->http_status = response->status;
	if (response->status >= 500) {
		err_set(&reply->err, ERR_UPSTREAM_FAILED,
			"%s: minion %s returned status %d", c->queue->name,
			backend->id, response->status);
		reply->outcome = OUTCOME_FAILED;
	} else {
		reply->outcome = OUTCOME_DONE;
	}
	memcpy(reply->minion, backend->id, sizeof(reply->minion));
	snprintf(reply->content_type, sizeof(reply->content_type), "%s",
		 response->content_type);
	result->body = buf_take(&response->body);
	call_end(c, result);
}

static uint32_t share_of(uint32_t limit, uint32_t index, uint32_t count)
{
	return limit / count + (index < limit % count);
}

/*
 * Returns how many requests of the entry this daemon may run concurrently: its
 * part of the limit, split over zones and members, but at least one.
 */
static uint32_t running_limit(const struct calls *cs, const struct queue *q)
{
	uint32_t zones = cs->env->conf->zone_count;
	uint32_t limit = q->info.max_running;

	if (limit == ENTRY_NO_LIMIT)
		return limit;
	if (zones)
		limit = share_of(limit, cs->zone_index, zones);
	limit = share_of(limit, cs->member_index, cs->member_count);
	return limit ? limit : 1;
}

static void on_response(void *ctx, uint32_t ref,
			struct httpc_response *response);

static void attempt_send(struct call *c, int number, uint32_t backend,
			 uint32_t left_ms)
{
	struct calls *cs = c->calls;
	struct attempt *a = &c->attempts[number];
	uint64_t now = loop_now_ms();
	char path[MSG_NAME_MAX + 2];
	char headers[320];
	struct httpc_request request = {
		.addr = cs->backends->items[backend].addr,
		.method = "POST",
		.path = path,
		.headers = headers,
		.body = c->body.data,
		.body_len = c->body.len,
		.timeout_ms = left_ms,
		.max_response_bytes = CALL_RESPONSE_BYTES_MAX,
		/*
		 * The minion may close a reused connection just as the request
		 * is sent, which leaves it unknown whether the request ran.
		 */
		.fresh = c->at_most_once,
		.done = on_response,
		.ctx = cs,
		.ref = attempt_ref(c, number),
	};

	snprintf(path, sizeof(path), "/%s", c->queue->name);
	snprintf(headers, sizeof(headers),
		 "Content-Type: application/json\r\n"
		 "X-Request-Id: %s\r\nX-Deadline-Ms: %" PRIu32 "\r\n%s%s%s",
		 c->key, left_ms, c->has_key ? "Idempotency-Key: " : "",
		 c->has_key ? c->key : "", c->has_key ? "\r\n" : "");
	*a = (struct attempt){ .open = true,
			       .backend = backend,
			       .timeout_ms = left_ms,
			       .sent_ms = now };
	c->attempt_count++;
	c->queue->running++;
	backends_begin_request(cs->backends, backend, now);
	httpc_send(cs->env->httpc, &request);
}

static void start_hedge_timer(struct call *c)
{
	const struct queue *q = c->queue;
	uint64_t delay = q->service_us * 2 / 1000;

	if (!q->info.hedge || c->at_most_once || !q->service_us ||
	    c->attempt_count > 1)
		return;
	if (delay < CALL_HEDGE_DELAY_MIN_MS)
		delay = CALL_HEDGE_DELAY_MIN_MS;
	timer_start(c->calls->env->loop, &c->timer, delay);
}

/*
 * Sends the call if a slot is free. Returns false if it has to wait, true if
 * it was sent or has ended with an error.
 */
static bool call_try_send(struct call *c)
{
	struct calls *cs = c->calls;
	uint64_t now = loop_now_ms();
	uint32_t left_ms = retry_left_ms(c->deadline_ms, now);
	uint32_t backend;

	if (!left_ms) {
		call_fail(c, ERR_DEADLINE, "deadline exceeded in the queue");
		return true;
	}
	if (c->queue->running >= running_limit(cs, c->queue))
		return false;
	backend = backends_pick(cs->backends, c->queue->info.upstream, c->avoid,
				!c->at_most_once, next_random(cs), now);
	if (backend == BACKEND_NONE)
		return false;
	if (c->at_most_once && !c->dispatched &&
	    !idem_dispatch(cs->idem, c->key)) {
		call_fail(c, ERR_NO_HOLDER,
			  "the claim that issued the key has ended");
		return true;
	}
	c->dispatched = true;
	call_unqueue(c);
	timer_stop(cs->env->loop, &c->timer);
	c->state = CALL_SENT;
	attempt_send(c, 0, backend, left_ms);
	start_hedge_timer(c);
	return true;
}

/* Sends a hedged attempt to another minion while the first is open. */
static void call_hedge(struct call *c)
{
	struct calls *cs = c->calls;
	uint64_t now = loop_now_ms();
	uint32_t left_ms = retry_left_ms(c->deadline_ms, now);
	uint32_t backend;

	if (!left_ms || c->attempts[1].open || !c->attempts[0].open ||
	    c->queue->running >= running_limit(cs, c->queue))
		return;
	backend = backends_pick(cs->backends, c->queue->info.upstream,
				c->attempts[0].backend, false, next_random(cs),
				now);
	if (backend == BACKEND_NONE || !retry_take(&c->queue->upstream->budget))
		return;
	ctr_add(cs->hedges, 1);
	attempt_send(c, 1, backend, left_ms);
}

static void call_timer(struct timer *timer)
{
	struct call *c = timer->ctx;

	switch (c->state) {
	case CALL_QUEUED:
		call_fail(c, ERR_DEADLINE, "deadline exceeded in the queue");
		break;
	case CALL_BACKOFF:
		if (!call_try_send(c))
			call_enqueue(c, true);
		break;
	case CALL_SENT:
		call_hedge(c);
		break;
	case CALL_ENDED:
		break;
	}
}

/* Schedules a retry after a backoff; returns false if none is allowed. */
static bool call_retry(struct call *c)
{
	struct calls *cs = c->calls;
	uint64_t now = loop_now_ms();
	uint32_t left_ms = retry_left_ms(c->deadline_ms, now);
	uint32_t delay = retry_backoff_ms(c->attempt_count - 1, CALL_BACKOFF_MS,
					  CALL_BACKOFF_MAX_MS, next_random(cs));

	if ((c->at_most_once && c->maybe_ran) ||
	    c->attempt_count >= CALL_ATTEMPTS_MAX || delay >= left_ms ||
	    !backends_capacity(cs->backends, c->queue->info.upstream, c->avoid,
			       now)
		     .usable ||
	    !retry_take(&c->queue->upstream->budget))
		return false;
	ctr_add(cs->retries, 1);
	c->state = CALL_BACKOFF;
	timer_start(cs->env->loop, &c->timer, delay);
	return true;
}

static void update_service_time(struct queue *q, uint64_t ms)
{
	uint64_t us = ms ? ms * 1000 : 500;

	q->service_us = q->service_us ? (q->service_us * 7 + us) / 8 : us;
}

/*
 * Updates the health of the minion, the retry budget and the service time. A
 * timeout does not count against the minion if the caller's deadline was less
 * than half the timeout of the entry.
 */
static void record_result(struct call *c, const struct attempt *a,
			  const struct httpc_response *response)
{
	struct calls *cs = c->calls;
	uint64_t now = loop_now_ms();
	uint32_t timeout = c->queue->info.timeout_ms;
	bool ok = response->state == HTTPC_COMPLETE && response->status < 500;
	bool count =
		response->state != HTTPC_NO_RESPONSE ||
		a->timeout_ms >= (timeout ? timeout : CALL_TIMEOUT_MS) / 2 ||
		now < a->sent_ms + a->timeout_ms;

	if (ok) {
		retry_success(&c->queue->upstream->budget);
		update_service_time(c->queue, now - a->sent_ms);
	}
	if (!backends_end_request(cs->backends, a->backend, count, ok, now))
		return;
	ctr_add(cs->ejections, 1);
	tl_add("eject", "minion=%s reason=\"%s\"",
	       cs->backends->items[a->backend].id,
	       response->error ? response->error : "status");
}

static void on_attempt_failed(struct call *c, const struct attempt *a,
			      struct httpc_response *response)
{
	c->avoid = a->backend;
	if (response->state != HTTPC_NOT_SENT)
		c->maybe_ran = true;
	if (attempt_open(c) || call_retry(c))
		return;
	if (response->state == HTTPC_COMPLETE)
		call_end_response(c, &c->calls->backends->items[a->backend],
				  response);
	else if (c->maybe_ran)
		call_fail(c, ERR_LOST, response->error);
	else
		call_fail(c, ERR_UNREACHABLE, response->error);
}

static void on_response(void *ctx, uint32_t ref,
			struct httpc_response *response)
{
	struct calls *cs = ctx;
	uint32_t index = (ref >> 1) & 0xffff;
	struct call *c = index < cs->table_size ? cs->table[index] : NULL;
	struct attempt *a;

	if (!c || !c->used || attempt_ref(c, (int)(ref & 1)) != ref)
		return;
	a = &c->attempts[ref & 1];
	a->open = false;
	c->queue->running--;
	record_result(c, a, response);
	if (c->state == CALL_ENDED) {
		if (!attempt_open(c))
			call_free(c);
	} else if (response->state == HTTPC_COMPLETE &&
		   response->status < 500) {
		call_end_response(c, &cs->backends->items[a->backend],
				  response);
	} else {
		on_attempt_failed(c, a, response);
	}
	calls_dispatch(cs);
}

static bool has_no_share(const struct calls *cs)
{
	return !slot_ready(cs->backends->slots) &&
	       loop_now_ms() >= cs->start_ms + CALL_STARTUP_MS;
}

/*
 * If this daemon has no slot for the entry, rejects its queued requests that
 * may run on another daemon. After the loss of the holder, lent slots are
 * returned only after the longest request timeout; other daemons may still have
 * slots.
 */
static void queue_reject_no_slots(struct calls *cs, struct queue *q)
{
	uint64_t now = loop_now_ms();
	struct backend_capacity capacity = backends_capacity(
		cs->backends, q->info.upstream, BACKEND_NONE, now);
	struct call *c;
	struct call *next;

	if (!capacity.usable || capacity.limit)
		return;
	for (c = q->head; c; c = next) {
		next = c->next;
		if (!c->at_most_once && !c->maybe_ran && !attempt_open(c) &&
		    now >= c->begin_ms + CALL_STARTUP_MS)
			call_fail(c, ERR_UNREACHABLE,
				  "this daemon has no slot");
	}
}

/* Sends queued requests while slots are free, round-robin over the entries. */
void calls_dispatch(struct calls *cs)
{
	bool progress = cs->queued > 0;

	/* Rejected requests may be served by other daemons or zones. */
	for (struct queue *q = cs->queue_list; q && has_no_share(cs);
	     q = q->next) {
		while (q->head)
			call_fail(q->head, ERR_UNREACHABLE,
				  "no share of the slots granted yet");
	}
	for (struct queue *q = cs->queue_list; q; q = q->next) {
		if (q->head)
			queue_reject_no_slots(cs, q);
	}
	while (progress) {
		progress = false;
		for (struct queue *q = cs->queue_list; q; q = q->next) {
			if (q->head && call_try_send(q->head))
				progress = true;
		}
	}
}

/* Updates the slot demand from requests sent and queued, and the gauges. */
void calls_report_demand(struct calls *cs, uint64_t now)
{
	for (struct upstream *u = cs->upstream_list; u; u = u->next)
		backends_set_queued(cs->backends, u->name, u->queued, now);
	ctr_set(cs->gauge_no_share, backends_any_listed(cs->backends) &&
					    !slot_ready(cs->backends->slots));
	ctr_set(cs->gauge_queued, cs->queued);
	ctr_set(cs->gauge_open, cs->open);
}

/*
 * Returns the expected time in the queue in milliseconds with @limit slots; 0
 * if unknown.
 */
static uint64_t expected_wait_ms(const struct queue *q, uint32_t limit)
{
	if (!limit)
		return 0;
	return (q->upstream->queued + 1) * q->service_us / limit / 1000;
}

/* Admission control: sends, queues or rejects a new call. */
static void call_admit(struct call *c)
{
	struct calls *cs = c->calls;
	struct queue *q = c->queue;
	uint64_t now = loop_now_ms();
	struct backend_capacity capacity = backends_capacity(
		cs->backends, q->info.upstream, BACKEND_NONE, now);
	uint32_t left_ms = retry_left_ms(c->deadline_ms, now);

	if (!capacity.usable) {
		call_fail(c, ERR_UNREACHABLE, "no minion is available");
		return;
	}
	if (has_no_share(cs)) {
		call_fail(c, ERR_UNREACHABLE,
			  "no share of the slots granted yet");
		return;
	}
	if (!q->count && call_try_send(c))
		return;
	if (q->count >= q->info.max_queued || cs->open > CALL_OPEN_MAX ||
	    cs->queued_bytes + c->body.len > CALL_QUEUED_BYTES_MAX)
		call_fail(c, ERR_OVERLOADED, "queue is full");
	else if (expected_wait_ms(q, capacity.limit) > left_ms)
		call_fail(c, ERR_OVERLOADED,
			  "queue cannot drain before the deadline");
	else
		call_enqueue(c, false);
}

static void add_waiter(struct call *c, const struct msg *msg)
{
	struct waiter *w = xcalloc(1, sizeof(*w));

	*w = (struct waiter){ .from = msg->from,
			      .ref = msg->ref,
			      .next = c->waiters };
	c->waiters = w;
}

static void reject(struct calls *cs, const struct msg *msg, enum err_kind kind,
		   enum outcome outcome, const char *text)
{
	struct call_result *result =
		result_error(kind, outcome, text, msg->call.entry);

	send_result(cs, msg->from, msg->ref, result);
	result_free(result);
}

static struct call *find_by_key(struct calls *cs, const char *key)
{
	for (uint32_t i = 0; i < cs->table_size; i++) {
		struct call *c = cs->table[i];

		if (c->used && c->recorded && c->state != CALL_ENDED &&
		    !strcmp(c->key, key))
			return c;
	}
	return NULL;
}

static uint64_t fingerprint(const struct msg *msg)
{
	uint64_t seed = XXH64(msg->call.entry, strlen(msg->call.entry), 0);

	return XXH64(msg->body.data ? msg->body.data : "", msg->body.len, seed);
}

static void join_recorded_call(struct calls *cs, const struct msg *msg)
{
	struct call *c = find_by_key(cs, msg->call.key);

	if (c)
		add_waiter(c, msg);
	else
		reject(cs, msg, ERR_LOST, OUTCOME_UNKNOWN,
		       "the result for this key is not available any more");
}

/*
 * Looks up the key of an at-most-once request. Returns true if the request is
 * new under its key; @lapsed is then set if it has to be rejected because the
 * claim is not valid. Otherwise the request was answered here or waits for the
 * result of an earlier one.
 */
static bool begin_at_most_once(struct calls *cs, const struct msg *msg,
			       bool *lapsed)
{
	void *stored = NULL;

	*lapsed = false;
	switch (idem_begin(cs->idem, msg->call.key, fingerprint(msg),
			   loop_now_ms(), &stored)) {
	case IDEM_RUN:
		return true;
	case IDEM_LAPSED:
		*lapsed = true;
		return true;
	case IDEM_WAIT:
		join_recorded_call(cs, msg);
		break;
	case IDEM_ANSWER:
		send_result(cs, msg->from, msg->ref, stored);
		break;
	case IDEM_UNKNOWN:
		reject(cs, msg, ERR_LOST, OUTCOME_UNKNOWN,
		       "the key is from another claim or too old");
		break;
	case IDEM_REUSED:
		reject(cs, msg, ERR_CONFLICT, OUTCOME_NOT_RUN,
		       "the key was used for a different request");
		break;
	case IDEM_FULL:
		reject(cs, msg, ERR_OVERLOADED, OUTCOME_UNKNOWN,
		       "the table of idempotency keys is full");
		break;
	case IDEM_MALFORMED:
		reject(cs, msg, ERR_BAD_REQUEST, OUTCOME_NOT_RUN,
		       "malformed key, key of another zone or time in the future");
		break;
	}
	return false;
}

static void call_start(struct calls *cs, struct msg *msg,
		       const struct entry_info *info)
{
	uint32_t timeout_ms =
		info->timeout_ms ? info->timeout_ms : CALL_TIMEOUT_MS;
	uint32_t requested_ms = msg->call.deadline_ms;
	bool at_most_once = !info->repeat || msg->call.to_holder;
	bool lapsed = false;
	struct call *c;

	if (at_most_once && !begin_at_most_once(cs, msg, &lapsed))
		return;
	c = call_new(cs);
	c->queue = queue_get(cs, info);
	c->state = CALL_BACKOFF; /* in no queue yet */
	c->at_most_once = at_most_once;
	c->recorded = at_most_once;
	c->deadline_ms =
		c->begin_ms + (requested_ms && requested_ms < timeout_ms
				       ? requested_ms
				       : timeout_ms);
	c->body = buf_take(&msg->body);
	c->has_key = msg->call.key[0] != '\0';
	if (c->has_key)
		snprintf(c->key, sizeof(c->key), "%s", msg->call.key);
	else
		snprintf(c->key, sizeof(c->key), "%.40s-%" PRIu64,
			 cs->env->conf->id, ++cs->serial);
	add_waiter(c, msg);
	if (lapsed)
		call_fail(c, ERR_NO_HOLDER, "the claim has lapsed");
	else
		call_admit(c);
}

/* Handles a request from a caller or forwarded by another daemon. */
void calls_submit(struct calls *cs, struct msg *msg)
{
	struct entry_info info = { 0 };
	struct idem_key key;
	const struct msg_call *call = &msg->call;

	if (cs->stopped)
		reject(cs, msg, ERR_DRAINING, OUTCOME_NOT_RUN,
		       "the daemon is stopping");
	else if (call->key[0] && !idem_caller_key_valid(call->key) &&
		 !idem_parse(call->key, &key))
		reject(cs, msg, ERR_BAD_REQUEST, OUTCOME_NOT_RUN,
		       "malformed idempotency key");
	else if (!entries_find(cs->entries, call->entry, &info))
		reject(cs, msg, ERR_UNKNOWN_ENTRY, OUTCOME_NOT_RUN,
		       "no such entry");
	else if (!info.interactive)
		reject(cs, msg, ERR_BAD_REQUEST, OUTCOME_NOT_RUN,
		       "the entry is not interactive");
	else if (!info.repeat && !call->to_holder)
		reject(cs, msg, ERR_NO_HOLDER, OUTCOME_NOT_RUN,
		       "the entry is not repeatable and requires a key");
	else
		call_start(cs, msg, &info);
}

/*
 * Cancels a queued request whose caller closed its connection. A request that
 * was sent, or that has other waiters, continues.
 */
void calls_cancel(struct calls *cs, const struct msg *msg)
{
	for (uint32_t i = 0; i < cs->table_size; i++) {
		struct call *c = cs->table[i];

		if (!c->used || !c->waiters || c->waiters->next ||
		    c->waiters->from != msg->from ||
		    c->waiters->ref != msg->ref)
			continue;
		if (c->state == CALL_QUEUED || c->state == CALL_BACKOFF)
			call_fail(c, ERR_CANCELLED,
				  "the caller closed the connection");
		return;
	}
}

/* Rejects all later requests; called when the slots are released. */
void calls_stop(struct calls *cs)
{
	cs->stopped = true;
}

/*
 * Returns the number of requests in progress, including answered ones with an
 * open attempt.
 */
uint32_t calls_open(const struct calls *cs)
{
	return cs->open;
}

/* Returns the number of requests in queues. */
uint32_t calls_queued(const struct calls *cs)
{
	return cs->queued;
}
