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

#define CALL_TRIES_MAX 3
#define CALL_BACKOFF_MS 10
#define CALL_BACKOFF_MAX_MS 500
#define CALL_HEDGE_MIN_MS 10
#define CALL_ATTEMPTS 2 /* open at once: the first and its hedge */
/* A frame between daemons holds 1 MiB, with the head of the answer. */
#define CALL_ANSWER_MAX (1000U << 10)
/* Queued bodies of all entries, so that a burst cannot exhaust an instance. */
#define CALL_QUEUED_BYTES_MAX (64U << 20)
#define CALL_OPEN_MAX 16384
/*
 * A new daemon queues requests for this time, in which it usually gets its
 * first share of the slots; later, one without a share refuses them.
 */
#define CALL_START_MS 3000
/* 120 s of a thousand requests a second that may not be repeated. */
#define CALL_KEYS_MAX 131072
#define CALL_KEPT_BYTES_MAX (16U << 20)

struct upstream {
	char name[MSG_NAME_MAX];
	struct retry_budget budget;
	uint32_t queued;
	struct upstream *next; /* of all */
	UT_hash_handle hh;
};

struct call;

/* Requests of one entry. */
struct queue {
	char name[MSG_NAME_MAX];
	struct entry_info info; /* as of the latest request */
	struct upstream *upstream;
	struct call *head;
	uint32_t count;
	uint32_t running;
	uint64_t service_us; /* moving average, 0 if unknown */
	struct queue *next;  /* of all */
	UT_hash_handle hh;
};

enum call_state {
	CALL_QUEUED,
	CALL_BACKOFF,
	CALL_SENT,
	CALL_ENDED, /* answered; an attempt is still open */
};

/* Who is to get the answer. */
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
	bool has_key;	/* given with the request */
	bool once;	/* may not be repeated */
	bool recorded;	/* its key is in the table */
	bool attempted; /* the table knows that it was dispatched */
	bool maybe_ran; /* a byte may have been sent */
	struct buf body;
	uint64_t deadline_ms;
	uint64_t begin_ms;
	uint32_t tries;
	uint32_t avoid; /* minion of the last failed attempt */
	struct attempt attempts[CALL_ATTEMPTS];
	struct timer timer; /* by state: deadline, backoff, hedge */
	struct call *prev;
	struct call *next;
};

/* An answer, as it is sent and as it is kept for its key. */
struct answer {
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
	uint32_t *free_slots;
	uint32_t free_count;
	uint32_t open;
	uint32_t queued;
	size_t queued_bytes;
	uint32_t member_count;
	uint32_t member_index;
	uint32_t zone_index;
	uint64_t random;
	uint64_t serial;
	uint64_t start_ms;
	bool stopped; /* takes no request any more */
	ctr_id total;
	ctr_id retries;
	ctr_id hedges;
	ctr_id refused;
	ctr_id unknown;
	ctr_id ejections;
	ctr_id seconds;
	ctr_id gauge_queued;
	ctr_id gauge_open;
	ctr_id gauge_no_share;
};

static void call_timer(struct timer *timer);

static void answer_free(void *p)
{
	struct answer *answer = p;

	buf_free(&answer->body);
	free(answer);
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

/* Returns the state of the requests of a daemon. */
struct calls *calls_new(const struct env *env, struct entries *entries,
			struct backends *backends)
{
	struct calls *cs = xcalloc(1, sizeof(*cs));
	struct idem_settings settings = {
		.az = env->conf->az,
		.max_keys = CALL_KEYS_MAX,
		.max_answer_bytes = CALL_KEPT_BYTES_MAX,
		.free_answer = answer_free,
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
	cs->refused = ctr_counter("jayspoke_calls_not_run_total",
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

/* Takes note of the claim and of this daemon's place among the members. */
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
	/* Queued requests are counted under the upstream they came for. */
	if (!q->count)
		q->upstream = upstream_get(cs, info->upstream);
	return q;
}

static struct call *call_new(struct calls *cs)
{
	struct call *c;
	uint32_t index;
	uint32_t generation;

	if (cs->free_count) {
		cs->free_count--;
		index = cs->free_slots[cs->free_count];
	} else {
		uint32_t n = cs->table_size + 1;

		index = cs->table_size;
		cs->table = xrealloc(cs->table, n * sizeof(*cs->table));
		cs->free_slots =
			xrealloc(cs->free_slots, n * sizeof(*cs->free_slots));
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

/* Generation, index and number of the attempt in one reference. */
static uint32_t attempt_ref(const struct call *c, int attempt)
{
	return (c->generation << 17) | (c->index << 1) | (uint32_t)attempt;
}

static bool attempt_open(const struct call *c)
{
	for (int i = 0; i < CALL_ATTEMPTS; i++) {
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
	cs->free_slots[cs->free_count] = c->index;
	cs->free_count++;
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

static void send_answer(struct calls *cs, enum task_id to, uint32_t ref,
			const struct answer *answer)
{
	struct msg *msg = msg_new(MSG_CALL_REPLY, TASK_MINION, ref);

	msg->call_reply = answer->reply;
	if (answer->body.len)
		msg->body = buf_copy(answer->body.data, answer->body.len);
	ctr_add(cs->total, 1);
	if (answer->reply.outcome == OUTCOME_NOT_RUN)
		ctr_add(cs->refused, 1);
	if (answer->reply.outcome == OUTCOME_UNKNOWN)
		ctr_add(cs->unknown, 1);
	bus_send(cs->env->bus, to, msg);
}

/* Answers all who wait for the call, and keeps the answer for its key. */
static void call_end(struct call *c, struct answer *answer)
{
	struct calls *cs = c->calls;
	bool kept = false;

	call_unqueue(c);
	while (c->waiters) {
		struct waiter *w = c->waiters;

		c->waiters = w->next;
		send_answer(cs, w->from, w->ref, answer);
		free(w);
	}
	ctr_observe(cs->seconds, (loop_now_ms() - c->begin_ms) * 1000);
	if (c->recorded)
		kept = idem_finish(cs->idem, c->key, answer,
				   sizeof(*answer) + answer->body.len);
	if (!kept)
		answer_free(answer);
	c->state = CALL_ENDED;
	timer_stop(cs->env->loop, &c->timer);
	if (!attempt_open(c))
		call_free(c);
}

static struct answer *answer_error(enum err_kind kind, enum outcome outcome,
				   const char *text, const char *what)
{
	struct answer *answer = xcalloc(1, sizeof(*answer));

	err_set(&answer->reply.err, kind, "%s: %s", what, text);
	answer->reply.outcome = outcome;
	return answer;
}

/*
 * Ends a call with an error. "not run" is said only if nothing can have been
 * sent, whatever the kind says otherwise.
 */
static void call_fail(struct call *c, enum err_kind kind, const char *text)
{
	enum outcome outcome = err_outcome(kind);

	struct answer *answer;

	if (c->maybe_ran && outcome == OUTCOME_NOT_RUN)
		outcome = OUTCOME_UNKNOWN;
	answer = answer_error(kind, outcome, text, c->queue->name);
	if (c->recorded && outcome == OUTCOME_NOT_RUN)
		err_set(&answer->reply.err, kind,
			"%s: %s; a retry needs a new key", c->queue->name,
			text);
	call_end(c, answer);
}

static void call_done(struct call *c, const struct backend *backend,
		      struct httpc_response *response)
{
	struct answer *answer = xcalloc(1, sizeof(*answer));
	struct msg_call_reply *reply = &answer->reply;

	reply->http_status = response->status;
	if (response->status >= 500) {
		err_set(&reply->err, ERR_UPSTREAM_FAILED,
			"%s: minion %s answered %d", c->queue->name,
			backend->id, response->status);
		reply->outcome = OUTCOME_FAILED;
	} else {
		reply->outcome = OUTCOME_DONE;
	}
	memcpy(reply->minion, backend->id, sizeof(reply->minion));
	snprintf(reply->content_type, sizeof(reply->content_type), "%s",
		 response->content_type);
	answer->body = buf_take(&response->body);
	call_end(c, answer);
}

static uint32_t share_of(uint32_t limit, uint32_t index, uint32_t count)
{
	return limit / count + (index < limit % count);
}

/*
 * Returns how many requests of the entry this daemon may run at once: its part
 * of the limit over zones and members, at least one.
 */
static uint32_t running_cap(const struct calls *cs, const struct queue *q)
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

static void on_done(void *ctx, uint32_t ref, struct httpc_response *response);

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
		.max_answer = CALL_ANSWER_MAX,
		/*
		 * A reused connection may be closed by the minion just before
		 * the request is sent, and whether it ran is then not known.
		 */
		.fresh = c->once,
		.done = on_done,
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
	c->tries++;
	c->queue->running++;
	backends_sent(cs->backends, backend, now);
	httpc_send(cs->env->httpc, &request);
}

static void start_hedge_timer(struct call *c)
{
	const struct queue *q = c->queue;
	uint64_t delay = q->service_us * 2 / 1000;

	if (!q->info.hedge || c->once || !q->service_us || c->tries > 1)
		return;
	if (delay < CALL_HEDGE_MIN_MS)
		delay = CALL_HEDGE_MIN_MS;
	timer_start(c->calls->env->loop, &c->timer, delay);
}

/*
 * Sends the call if a slot is free. Returns false if it has to wait; true if it
 * was sent or has ended.
 */
static bool call_try(struct call *c)
{
	struct calls *cs = c->calls;
	uint64_t now = loop_now_ms();
	uint32_t left = retry_left_ms(c->deadline_ms, now);
	uint32_t backend;

	if (!left) {
		call_fail(c, ERR_DEADLINE, "deadline passed in the queue");
		return true;
	}
	if (c->queue->running >= running_cap(cs, c->queue))
		return false;
	backend = backends_pick(cs->backends, c->queue->info.upstream, c->avoid,
				!c->once, next_random(cs), now);
	if (backend == BACKEND_NONE)
		return false;
	if (c->once && !c->attempted && !idem_dispatch(cs->idem, c->key)) {
		call_fail(c, ERR_NO_HOLDER, "the claim of the key has ended");
		return true;
	}
	c->attempted = true;
	call_unqueue(c);
	timer_stop(cs->env->loop, &c->timer);
	c->state = CALL_SENT;
	attempt_send(c, 0, backend, left);
	start_hedge_timer(c);
	return true;
}

/* Sends a second attempt to another minion while the first is open. */
static void call_hedge(struct call *c)
{
	struct calls *cs = c->calls;
	uint64_t now = loop_now_ms();
	uint32_t left = retry_left_ms(c->deadline_ms, now);
	uint32_t backend;

	if (!left || c->attempts[1].open || !c->attempts[0].open ||
	    c->queue->running >= running_cap(cs, c->queue))
		return;
	backend = backends_pick(cs->backends, c->queue->info.upstream,
				c->attempts[0].backend, false, next_random(cs),
				now);
	if (backend == BACKEND_NONE || !retry_take(&c->queue->upstream->budget))
		return;
	ctr_add(cs->hedges, 1);
	attempt_send(c, 1, backend, left);
}

static void call_timer(struct timer *timer)
{
	struct call *c = timer->ctx;

	switch (c->state) {
	case CALL_QUEUED:
		call_fail(c, ERR_DEADLINE, "deadline passed in the queue");
		break;
	case CALL_BACKOFF:
		if (!call_try(c))
			call_enqueue(c, true);
		break;
	case CALL_SENT:
		call_hedge(c);
		break;
	case CALL_ENDED:
		break;
	}
}

/* Returns true if the call is sent again, after a backoff. */
static bool call_retry(struct call *c)
{
	struct calls *cs = c->calls;
	uint64_t now = loop_now_ms();
	uint32_t left = retry_left_ms(c->deadline_ms, now);
	uint32_t delay = retry_backoff_ms(c->tries - 1, CALL_BACKOFF_MS,
					  CALL_BACKOFF_MAX_MS, next_random(cs));

	if ((c->once && c->maybe_ran) || c->tries >= CALL_TRIES_MAX ||
	    delay >= left ||
	    !backends_sum(cs->backends, c->queue->info.upstream, c->avoid, now)
		     .usable ||
	    !retry_take(&c->queue->upstream->budget))
		return false;
	ctr_add(cs->retries, 1);
	c->state = CALL_BACKOFF;
	timer_start(cs->env->loop, &c->timer, delay);
	return true;
}

static void note_service_time(struct queue *q, uint64_t ms)
{
	uint64_t us = ms ? ms * 1000 : 500;

	q->service_us = q->service_us ? (q->service_us * 7 + us) / 8 : us;
}

/*
 * Records what an attempt says about its minion. A timeout that the caller's
 * deadline made shorter than half of the entry's says nothing.
 */
static void note_result(struct call *c, const struct attempt *a,
			const struct httpc_response *response)
{
	struct calls *cs = c->calls;
	uint64_t now = loop_now_ms();
	uint32_t timeout = c->queue->info.timeout_ms;
	bool ok = response->state == HTTPC_ANSWERED && response->status < 500;
	bool count =
		response->state != HTTPC_NO_ANSWER ||
		a->timeout_ms >= (timeout ? timeout : CALL_TIMEOUT_MS) / 2 ||
		now < a->sent_ms + a->timeout_ms;

	if (ok) {
		retry_success(&c->queue->upstream->budget);
		note_service_time(c->queue, now - a->sent_ms);
	}
	if (!backends_done(cs->backends, a->backend, count, ok, now))
		return;
	ctr_add(cs->ejections, 1);
	tl_add("eject", "minion=%s reason=\"%s\"",
	       cs->backends->items[a->backend].id,
	       response->error ? response->error : "status");
}

static void attempt_failed(struct call *c, const struct attempt *a,
			   struct httpc_response *response)
{
	c->avoid = a->backend;
	if (response->state != HTTPC_NOT_SENT)
		c->maybe_ran = true;
	if (attempt_open(c) || call_retry(c))
		return;
	if (response->state == HTTPC_ANSWERED)
		call_done(c, &c->calls->backends->items[a->backend], response);
	else if (c->maybe_ran)
		call_fail(c, ERR_LOST, response->error);
	else
		call_fail(c, ERR_UNREACHABLE, response->error);
}

static void on_done(void *ctx, uint32_t ref, struct httpc_response *response)
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
	note_result(c, a, response);
	if (c->state == CALL_ENDED) {
		if (!attempt_open(c))
			call_free(c);
	} else if (response->state == HTTPC_ANSWERED &&
		   response->status < 500) {
		call_done(c, &cs->backends->items[a->backend], response);
	} else {
		attempt_failed(c, a, response);
	}
	calls_pump(cs);
}

static bool has_no_share(const struct calls *cs)
{
	return !slot_ready(cs->backends->slots) &&
	       loop_now_ms() >= cs->start_ms + CALL_START_MS;
}

/*
 * Ends queued requests of an entry that has no slot at all, when they may run
 * elsewhere: what was lent returns only after the longest request timeout when
 * the holder is lost, while other daemons have a share.
 */
static void queue_hand_on(struct calls *cs, struct queue *q)
{
	uint64_t now = loop_now_ms();
	struct backend_sum sum =
		backends_sum(cs->backends, q->info.upstream, BACKEND_NONE, now);
	struct call *c;
	struct call *next;

	if (!sum.usable || sum.limit)
		return;
	for (c = q->head; c; c = next) {
		next = c->next;
		if (!c->once && !c->maybe_ran && !attempt_open(c) &&
		    now >= c->begin_ms + CALL_START_MS)
			call_fail(c, ERR_UNREACHABLE, "no slot of this daemon");
	}
}

/* Sends queued requests while slots are free, one of each entry in turn. */
void calls_pump(struct calls *cs)
{
	bool progress = cs->queued > 0;

	/* Other zones may serve what a daemon without a share cannot. */
	for (struct queue *q = cs->queue_list; q && has_no_share(cs);
	     q = q->next) {
		while (q->head)
			call_fail(q->head, ERR_UNREACHABLE,
				  "no share of the slots yet");
	}
	for (struct queue *q = cs->queue_list; q; q = q->next) {
		if (q->head)
			queue_hand_on(cs, q);
	}
	while (progress) {
		progress = false;
		for (struct queue *q = cs->queue_list; q; q = q->next) {
			if (q->head && call_try(q->head))
				progress = true;
		}
	}
}

/* Reports the slots in use and the requests that wait, as slot demand. */
void calls_report(struct calls *cs, uint64_t now)
{
	for (struct upstream *u = cs->upstream_list; u; u = u->next)
		backends_set_waiting(cs->backends, u->name, u->queued, now);
	ctr_set(cs->gauge_no_share,
		backends_any(cs->backends) && !slot_ready(cs->backends->slots));
	ctr_set(cs->gauge_queued, cs->queued);
	ctr_set(cs->gauge_open, cs->open);
}

/* Returns the expected time in the queue in milliseconds, 0 if unknown. */
static uint64_t expected_wait_ms(const struct queue *q, uint32_t limit)
{
	if (!limit)
		return 0;
	return (q->upstream->queued + 1) * q->service_us / limit / 1000;
}

/* Sends or queues a new call, or refuses it. */
static void call_admit(struct call *c)
{
	struct calls *cs = c->calls;
	struct queue *q = c->queue;
	uint64_t now = loop_now_ms();
	struct backend_sum sum =
		backends_sum(cs->backends, q->info.upstream, BACKEND_NONE, now);
	uint32_t left = retry_left_ms(c->deadline_ms, now);

	if (!sum.usable) {
		call_fail(c, ERR_UNREACHABLE, "no usable minion");
		return;
	}
	if (has_no_share(cs)) {
		call_fail(c, ERR_UNREACHABLE, "no share of the slots yet");
		return;
	}
	if (!q->count && call_try(c))
		return;
	if (q->count >= q->info.max_queued || cs->open > CALL_OPEN_MAX ||
	    cs->queued_bytes + c->body.len > CALL_QUEUED_BYTES_MAX)
		call_fail(c, ERR_OVERLOADED, "queue is full");
	else if (expected_wait_ms(q, sum.limit) > left)
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

static void refuse(struct calls *cs, const struct msg *msg, enum err_kind kind,
		   enum outcome outcome, const char *text)
{
	struct answer *answer =
		answer_error(kind, outcome, text, msg->call.entry);

	send_answer(cs, msg->from, msg->ref, answer);
	answer_free(answer);
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

static void wait_for_key(struct calls *cs, const struct msg *msg)
{
	struct call *c = find_by_key(cs, msg->call.key);

	if (c)
		add_waiter(c, msg);
	else
		refuse(cs, msg, ERR_LOST, OUTCOME_UNKNOWN,
		       "the request of this key is not known any more");
}

/*
 * Looks up the key of a request that may not be repeated. Returns true if this
 * request is the one to run, with @lapsed set if it has to be refused instead.
 * Otherwise the request has been answered or waits for another.
 */
static bool begin_once(struct calls *cs, const struct msg *msg, bool *lapsed)
{
	void *kept = NULL;

	*lapsed = false;
	switch (idem_begin(cs->idem, msg->call.key, fingerprint(msg),
			   loop_now_ms(), &kept)) {
	case IDEM_RUN:
		return true;
	case IDEM_LAPSED:
		*lapsed = true;
		return true;
	case IDEM_WAIT:
		wait_for_key(cs, msg);
		break;
	case IDEM_ANSWER:
		send_answer(cs, msg->from, msg->ref, kept);
		break;
	case IDEM_UNKNOWN:
		refuse(cs, msg, ERR_LOST, OUTCOME_UNKNOWN,
		       "the key is of another claim or too old");
		break;
	case IDEM_REUSED:
		refuse(cs, msg, ERR_CONFLICT, OUTCOME_NOT_RUN,
		       "the key was used for other work");
		break;
	case IDEM_FULL:
		refuse(cs, msg, ERR_OVERLOADED, OUTCOME_UNKNOWN,
		       "too many keys are recorded");
		break;
	case IDEM_MALFORMED:
		refuse(cs, msg, ERR_BAD_REQUEST, OUTCOME_NOT_RUN,
		       "not a key of this zone, or of the future");
		break;
	}
	return false;
}

static void call_start(struct calls *cs, struct msg *msg,
		       const struct entry_info *info)
{
	uint32_t limit = info->timeout_ms ? info->timeout_ms : CALL_TIMEOUT_MS;
	uint32_t wanted = msg->call.deadline_ms;
	bool once = !info->repeat || msg->call.to_holder;
	bool lapsed = false;
	struct call *c;

	if (once && !begin_once(cs, msg, &lapsed))
		return;
	c = call_new(cs);
	c->queue = queue_get(cs, info);
	c->state = CALL_BACKOFF; /* in no queue yet */
	c->once = once;
	c->recorded = once;
	c->deadline_ms =
		c->begin_ms + (wanted && wanted < limit ? wanted : limit);
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

/* Handles a request of a caller, or one that another daemon has forwarded. */
void calls_take(struct calls *cs, struct msg *msg)
{
	struct entry_info info = { 0 };
	struct idem_key key;
	const struct msg_call *call = &msg->call;

	if (cs->stopped)
		refuse(cs, msg, ERR_DRAINING, OUTCOME_NOT_RUN,
		       "the daemon is stopping");
	else if (call->key[0] && !idem_caller_key_valid(call->key) &&
		 !idem_parse(call->key, &key))
		refuse(cs, msg, ERR_BAD_REQUEST, OUTCOME_NOT_RUN, "bad key");
	else if (!entries_find(cs->entries, call->entry, &info))
		refuse(cs, msg, ERR_UNKNOWN_ENTRY, OUTCOME_NOT_RUN,
		       "no such entry");
	else if (!info.interactive)
		refuse(cs, msg, ERR_BAD_REQUEST, OUTCOME_NOT_RUN,
		       "the entry is not interactive");
	else if (!info.repeat && !call->to_holder)
		refuse(cs, msg, ERR_NO_HOLDER, OUTCOME_NOT_RUN,
		       "the entry may not be repeated and needs a key");
	else
		call_start(cs, msg, &info);
}

/*
 * Drops a queued request whose caller has gone. A request that was sent goes
 * on, and so does one for which others wait.
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
			call_fail(c, ERR_CANCELLED, "the caller has gone");
		return;
	}
}

/* Refuses all later requests: the slots have been given up. */
void calls_stop(struct calls *cs)
{
	cs->stopped = true;
}

/* Returns the number of requests in progress, with open attempts. */
uint32_t calls_open(const struct calls *cs)
{
	return cs->open;
}

/* Returns the number of requests in queues. */
uint32_t calls_queued(const struct calls *cs)
{
	return cs->queued;
}
