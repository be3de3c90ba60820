/*
 * Store task: sends the calls of the other tasks to the key-value store, within
 * a rate limit, with backoff after failures, and one reply for each call.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "bucket.h"
#include "ctr.h"
#include "env.h"
#include "kv.h"
#include "log.h"

#define ST_HOLDER_RATE 16 /* calls per second of the zone's holder */
#define ST_OTHER_RATE 6	  /* calls per second of other daemons */
#define ST_BURST 40	  /* calls */
#define ST_BACKOFF_BASE_MS 100
#define ST_BACKOFF_MAX_MS 5000
#define ST_QUEUE_MAX 256 /* queued calls of each class */
/* Time allowed for the response to a blocking read after its wait. */
#define ST_WAIT_SLACK_MS 2000
/* Bytes of a response: a value of 1 MB in base64, and the JSON around it. */
#define ST_ANSWER_MAX (3U << 20)
/* Bytes: a journal of 256 batches, or all chunks of a snapshot. */
#define ST_RECURSE_ANSWER_MAX (16U << 20)

/* Descending priority, except that ST_PLAIN and ST_BLOCKING share one FIFO. */
enum st_class { ST_CAS, ST_PLAIN, ST_BLOCKING, ST_CLASS_COUNT };

struct st_call {
	struct st_call *next;
	enum task_id from;
	uint32_t ref;
	enum st_class cls;
	struct msg_store op;
	struct buf body;
	uint64_t queued_ms;
	uint64_t deadline_ms; /* latest time of sending */
	uint64_t sent_ms;
	bool probe; /* sent while the store is failing */
	struct st *st;
};

struct st_queue {
	struct st_call *head;
	struct st_call **tail;
	uint32_t count;
};

struct st {
	struct task task;
	struct env env;
	struct bucket bucket;
	struct bucket_backoff backoff;
	struct st_queue queues[ST_CLASS_COUNT];
	struct timer timer;
	uint32_t in_flight; /* without blocking reads */
	uint32_t probes;    /* probes among these */
	bool down;	    /* the last completed call failed */
	ctr_id calls;
	ctr_id failures;
	ctr_id refused;
	ctr_id waiting;
	ctr_id latency;
};

static enum st_class st_class_of(const struct msg_store *op)
{
	if (op->op == STORE_PUT && op->has_cas)
		return ST_CAS;
	if (op->op == STORE_GET && op->wait_ms && op->index)
		return ST_BLOCKING;
	return ST_PLAIN;
}

static void st_answer(struct st_call *call, enum store_status status,
		      uint64_t index, struct buf *body)
{
	struct msg *reply = msg_new(MSG_STORE_REPLY, TASK_STORE, call->ref);

	reply->store_reply = (struct msg_store_reply){ .op = call->op.op,
						       .status = status,
						       .index = index };
	if (body)
		reply->body = buf_take(body);
	bus_send(call->st->env.bus, call->from, reply);
	buf_free(&call->body);
	free(call);
}

static void st_push(struct st_queue *queue, struct st_call *call)
{
	call->next = NULL;
	*queue->tail = call;
	queue->tail = &call->next;
	queue->count++;
}

static struct st_call *st_pop(struct st_queue *queue)
{
	struct st_call *call = queue->head;

	queue->head = call->next;
	if (!queue->head)
		queue->tail = &queue->head;
	queue->count--;
	return call;
}

/* Fails the queued calls whose deadline has passed; they were never sent. */
static void st_expire(struct st *st, struct st_queue *queue, uint64_t now_ms)
{
	struct st_call **link = &queue->head;

	while (*link) {
		struct st_call *call = *link;

		if (call->deadline_ms > now_ms) {
			link = &call->next;
			continue;
		}
		*link = call->next;
		queue->count--;
		ctr_add(st->refused, 1);
		st_answer(call, STORE_UNAVAILABLE, 0, NULL);
	}
	queue->tail = link;
}

static struct st_queue *st_next_queue(struct st *st)
{
	struct st_call *plain = st->queues[ST_PLAIN].head;
	struct st_call *blocking = st->queues[ST_BLOCKING].head;

	if (st->queues[ST_CAS].head)
		return &st->queues[ST_CAS];
	if (!plain && !blocking)
		return NULL;
	if (!plain || (blocking && blocking->queued_ms < plain->queued_ms))
		return &st->queues[ST_BLOCKING];
	return &st->queues[ST_PLAIN];
}

/* Compares @body with @text, except for trailing white space in @body. */
static bool st_body_equals(const struct buf *body, const char *text)
{
	size_t len = strlen(text);
	const char *p = body->data ? body->data : "";

	return !strncmp(p, text, len) &&
	       p[len + strspn(p + len, " \r\n")] == '\0';
}

/* Maps the response to a GET; a malformed one counts as no response. */
static enum store_status st_map_get(const struct st_call *call,
				    struct httpc_response *response,
				    uint64_t *index)
{
	struct kv_list list;
	struct err err = { 0 };
	enum store_status status = STORE_UNKNOWN;

	*index = response->index;
	/* A 404 without an index is not from the key-value API. */
	if (response->status == 404)
		return response->index ? STORE_ABSENT : STORE_UNKNOWN;
	if (!kv_parse(&list, response->body.data, response->body.len, &err)) {
		log_warn("%s key=%s", err.text, call->op.key);
		return STORE_UNKNOWN;
	}
	if (call->op.recurse) {
		status = STORE_OK;
	} else if (list.count == 1 &&
		   !strcmp(list.items[0].key, call->op.key)) {
		buf_free(&response->body);
		response->body = buf_take(&list.items[0].value);
		*index = list.items[0].index;
		status = STORE_OK;
	}
	kv_free(&list);
	return status;
}

static enum store_status st_map_write(const struct st_call *call,
				      const struct httpc_response *response)
{
	if (response->status == 200 && st_body_equals(&response->body, "true"))
		return STORE_OK;
	if (response->status == 200 && call->op.has_cas &&
	    st_body_equals(&response->body, "false"))
		return STORE_CONFLICT;
	return STORE_UNKNOWN;
}

/* Maps a response to the status and the @index of the reply. */
static enum store_status st_map_response(const struct st_call *call,
					 struct httpc_response *response,
					 uint64_t *index)
{
	int http = response->status;

	*index = 0;
	if (response->state == HTTPC_NOT_SENT)
		return STORE_UNAVAILABLE;
	if (response->state == HTTPC_NO_RESPONSE)
		return STORE_UNKNOWN;
	/* Consul rate-limits with 429 and 503, before any effect. */
	if (http == 429 || http == 503)
		return STORE_UNAVAILABLE;
	/* After any other server error a write may have been applied. */
	if (http >= 500)
		return STORE_UNKNOWN;
	if (call->op.op == STORE_GET && (http == 200 || http == 404))
		return st_map_get(call, response, index);
	if (http >= 400)
		return STORE_UNAVAILABLE;
	return st_map_write(call, response);
}

static uint32_t st_random(void)
{
	uint32_t random = 0;

	if (getrandom(&random, sizeof(random), 0) != sizeof(random))
		random = (uint32_t)loop_now_ms();
	return random;
}

/* Updates the backoff and the store's availability from a response. */
static void st_update_backoff(struct st *st, const struct st_call *call,
			      const struct httpc_response *response)
{
	bool ok = response->state == HTTPC_COMPLETE &&
		  response->status != 429 && response->status < 500;

	if (ok) {
		if (st->down)
			log_info("store answers again addr=%s",
				 st->env.conf->store);
		bucket_backoff_succeed(&st->backoff);
	} else {
		if (!st->down)
			log_warn(
				"store does not answer addr=%s error=%s status=%d",
				st->env.conf->store,
				response->error ? response->error : "none",
				response->status);
		bucket_backoff_fail(&st->backoff, call->sent_ms, loop_now_ms(),
				    st_random());
		ctr_add(st->failures, 1);
	}
	st->down = !ok;
}

static void st_run(struct st *st);

static void st_on_response(void *ctx, uint32_t ref,
			   struct httpc_response *response)
{
	struct st_call *call = ctx;
	struct st *st = call->st;
	enum store_status status;
	uint64_t index;

	(void)ref;
	if (call->cls != ST_BLOCKING) {
		st->in_flight--;
		st->probes -= call->probe;
		ctr_observe(st->latency,
			    (loop_now_ms() - call->sent_ms) * 1000);
	}
	st_update_backoff(st, call, response);
	status = st_map_response(call, response, &index);
	st_answer(call, status, index,
		  status == STORE_OK && call->op.op == STORE_GET
			  ? &response->body
			  : NULL);
	st_run(st);
}

static struct buf st_path(const struct msg_store *op)
{
	struct buf path = kv_path(op->key);
	struct buf query = { 0 };

	if (op->op == STORE_PUT && op->has_cas)
		query = buf_fmt("?cas=%" PRIu64, op->index);
	else if (op->op != STORE_PUT && op->recurse)
		query = buf_str("?recurse");
	if (op->op == STORE_GET && op->wait_ms && op->index) {
		buf_free(&query);
		query = buf_fmt("?%sindex=%" PRIu64 "&wait=%ums",
				op->recurse ? "recurse&" : "", op->index,
				op->wait_ms);
	}
	if (query.len)
		buf_append(&path, query.data, query.len);
	buf_free(&query);
	return path;
}

static uint32_t st_timeout_ms(const struct st *st, const struct msg_store *op)
{
	return op->timeout_ms ? op->timeout_ms : st->env.conf->store_timeout_ms;
}

static void st_send(struct st *st, struct st_call *call, uint64_t now_ms)
{
	static const char *const methods[] = { "GET", "PUT", "DELETE" };
	const struct msg_store *op = &call->op;
	struct buf path = st_path(op);
	struct httpc_request request = {
		.addr = st->env.conf->store,
		.method = methods[op->op],
		.path = path.data,
		.body = call->body.data,
		.body_len = call->body.len,
		.timeout_ms = call->cls == ST_BLOCKING
				      ? op->wait_ms + ST_WAIT_SLACK_MS
				      : st_timeout_ms(st, op),
		.max_response_bytes =
			op->recurse ? ST_RECURSE_ANSWER_MAX : ST_ANSWER_MAX,
		.done = st_on_response,
		.ctx = call,
	};

	call->sent_ms = now_ms;
	call->probe = call->cls != ST_BLOCKING && st->backoff.failures;
	if (call->cls != ST_BLOCKING)
		st->in_flight++;
	st->probes += call->probe;
	ctr_add(st->calls, 1);
	httpc_send(st->env.httpc, &request);
	buf_free(&path);
	buf_free(&call->body);
}

/* While the store is failing, calls are sent one at a time, as probes. */
static bool st_may_send(const struct st *st, uint64_t now_ms)
{
	if (st->backoff.failures && st->probes)
		return false;
	return !bucket_backoff_wait_ms(&st->backoff, now_ms);
}

/* Returns the time until the next call may be sent or a queued one expires. */
static uint64_t st_next_run_delay_ms(struct st *st, uint64_t now_ms)
{
	uint64_t delay_ms = bucket_backoff_wait_ms(&st->backoff, now_ms);
	uint64_t token_wait_ms = bucket_wait_ms(&st->bucket, now_ms);
	uint64_t deadline_ms = UINT64_MAX;

	for (int i = 0; i < ST_CLASS_COUNT; i++) {
		for (struct st_call *c = st->queues[i].head; c; c = c->next) {
			if (c->deadline_ms < deadline_ms)
				deadline_ms = c->deadline_ms;
		}
	}
	if (delay_ms < token_wait_ms)
		delay_ms = token_wait_ms;
	/* With a probe in flight, its response triggers the next run. */
	if (!delay_ms ||
	    (deadline_ms > now_ms && deadline_ms - now_ms < delay_ms))
		delay_ms = deadline_ms > now_ms ? deadline_ms - now_ms : 0;
	return delay_ms;
}

/* Sends the calls that rate and backoff allow; arms the timer for the rest. */
static void st_run(struct st *st)
{
	uint64_t now_ms = loop_now_ms();
	struct st_queue *queue;
	uint32_t waiting = 0;

	for (int i = 0; i < ST_CLASS_COUNT; i++)
		st_expire(st, &st->queues[i], now_ms);
	for (;;) {
		queue = st_next_queue(st);
		if (!queue || !st_may_send(st, now_ms) ||
		    !bucket_take(&st->bucket, now_ms))
			break;
		st_send(st, st_pop(queue), now_ms);
	}
	for (int i = 0; i < ST_CLASS_COUNT; i++)
		waiting += st->queues[i].count;
	ctr_set(st->waiting, waiting);
	if (waiting)
		timer_start(st->env.loop, &st->timer,
			    st_next_run_delay_ms(st, now_ms));
	else
		timer_stop(st->env.loop, &st->timer);
}

static void st_on_timer(struct timer *timer)
{
	st_run(timer->ctx);
}

static void st_on_request(struct st *st, struct msg *msg)
{
	struct st_call *call = xcalloc(1, sizeof(*call));
	struct st_queue *queue;

	call->st = st;
	call->from = msg->from;
	call->ref = msg->ref;
	call->op = msg->store;
	call->cls = st_class_of(&msg->store);
	call->body = buf_take(&msg->body);
	call->queued_ms = loop_now_ms();
	call->deadline_ms = call->queued_ms + st_timeout_ms(st, &call->op);
	queue = &st->queues[call->cls];
	if (queue->count >= ST_QUEUE_MAX) {
		ctr_add(st->refused, 1);
		st_answer(call, STORE_UNAVAILABLE, 0, NULL);
		return;
	}
	st_push(queue, call);
	st_run(st);
}

static void st_handle(struct task *task, struct msg *msg)
{
	struct st *st = (struct st *)task;

	if (msg->kind == MSG_STORE)
		st_on_request(st, msg);
	else if (msg->kind == MSG_CLAIM)
		bucket_set_rate(&st->bucket,
				msg->claim.held ? ST_HOLDER_RATE
						: ST_OTHER_RATE,
				loop_now_ms());
}

static bool st_busy(struct task *task)
{
	struct st *st = (struct st *)task;

	return st->in_flight || st->queues[ST_CAS].head ||
	       st->queues[ST_PLAIN].head;
}

static const struct task_ops st_ops = {
	.name = "store",
	.handle = st_handle,
	.busy = st_busy,
};

/*
 * Creates the store task. Each MSG_STORE gets exactly one MSG_STORE_REPLY:
 * STORE_UNAVAILABLE if the queue was full, it was not sent within its timeout
 * or the store rejected it; STORE_UNKNOWN if it was sent and no well-formed
 * response came. The timeout applies twice: to the time in the queue and to the
 * response.
 */
struct task *store_new(const struct env *env, struct err *err)
{
	struct st *st = xcalloc(1, sizeof(*st));

	(void)err;
	st->task.ops = &st_ops;
	st->env = *env;
	st->timer = (struct timer){ .fn = st_on_timer, .ctx = st };
	bucket_init(&st->bucket, ST_OTHER_RATE, ST_BURST, loop_now_ms());
	st->backoff.base_ms = ST_BACKOFF_BASE_MS;
	st->backoff.max_ms = ST_BACKOFF_MAX_MS;
	for (int i = 0; i < ST_CLASS_COUNT; i++)
		st->queues[i].tail = &st->queues[i].head;
	st->calls = ctr_counter("jayspoke_store_calls_total",
				"Calls sent to the store");
	st->failures =
		ctr_counter("jayspoke_store_failures_total",
			    "Calls without answer or with a server error");
	st->refused = ctr_counter("jayspoke_store_refused_total",
				  "Calls that were not sent in time");
	st->waiting = ctr_gauge("jayspoke_store_waiting",
				"Calls that wait for the budget or the store");
	st->latency = ctr_histogram("jayspoke_store_seconds",
				    "Time from a call to its answer");
	bus_register(env->bus, TASK_STORE, &st->task);
	return &st->task;
}
