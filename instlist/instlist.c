/* The instance list task: polls the platform's list of this zone. */
#include "instlist.h"

#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "env.h"
#include "log.h"

#define INSTLIST_TIMEOUT_MS 2000

struct instlist {
	struct task task;
	struct env env;
	struct inst_list *list; /* NULL before the first valid list */
	char etag[64];
	struct timer timer;
	bool failing;
	uint64_t read_ms; /* last valid response */
	ctr_id polls;
	ctr_id failures;
	ctr_id instances;
	ctr_id age;
};

static void instlist_fail(struct instlist *il, const char *why)
{
	if (!il->failing)
		log_warn("instance list unavailable addr=%s: %s",
			 il->env.conf->instances, why);
	il->failing = true;
	ctr_add(il->failures, 1);
	ctr_set(il->age,
		il->read_ms ? (loop_now_ms() - il->read_ms) / 1000 : 0);
}

static void instlist_succeed(struct instlist *il)
{
	if (il->failing)
		log_info("instance list available again addr=%s",
			 il->env.conf->instances);
	il->failing = false;
	il->read_ms = loop_now_ms();
	ctr_set(il->age, 0);
}

static bool lists_equal(const struct inst_list *a, const struct inst_list *b)
{
	return a && a->count == b->count &&
	       !memcmp(a->items, b->items, a->count * sizeof(a->items[0]));
}

/* Stores a new list, taking over its reference, and broadcasts a change. */
static void instlist_set(struct instlist *il, struct inst_list *list)
{
	struct msg *msg;

	if (lists_equal(il->list, list)) {
		shared_unref(list);
		return;
	}
	shared_unref(il->list);
	il->list = list;
	ctr_set(il->instances, list->count);
	msg = msg_new(MSG_INSTANCES, TASK_INSTLIST, 0);
	msg->obj = shared_ref(list);
	bus_broadcast(il->env.bus, TASK_INSTLIST, msg);
}

static void instlist_read(struct instlist *il,
			  const struct httpc_response *response)
{
	struct err err = { 0 };
	struct inst_list *list;

	if (response->state != HTTPC_COMPLETE) {
		instlist_fail(il, response->error);
		return;
	}
	if (response->status == 304 && il->list) {
		instlist_succeed(il);
		return;
	}
	if (response->status != 200) {
		instlist_fail(il, "unexpected HTTP status");
		return;
	}
	list = instlist_parse(response->body.data, response->body.len,
			      il->env.conf->az, &err);
	if (!list) {
		instlist_fail(il, err.text);
		return;
	}
	if (err.text[0])
		log_warn("item left out: %s", err.text);
	/* Ignore an ETag that fills its buffer: it may be truncated. */
	il->etag[0] = '\0';
	if (strlen(response->etag) < sizeof(il->etag) - 1)
		memcpy(il->etag, response->etag, sizeof(il->etag));
	instlist_succeed(il);
	instlist_set(il, list);
}

static void instlist_done(void *ctx, uint32_t ref,
			  struct httpc_response *response)
{
	struct instlist *il = ctx;

	(void)ref;
	instlist_read(il, response);
	timer_start(il->env.loop, &il->timer, il->env.conf->instances_poll_ms);
}

static void instlist_poll(struct timer *timer)
{
	struct instlist *il = timer->ctx;
	struct buf path = buf_fmt("/v1/instances?az=%s", il->env.conf->az);
	struct buf headers = buf_fmt("If-None-Match: %s\r\n", il->etag);
	struct httpc_request request = {
		.addr = il->env.conf->instances,
		.method = "GET",
		.path = path.data,
		.headers = il->etag[0] ? headers.data : NULL,
		.timeout_ms = INSTLIST_TIMEOUT_MS,
		.max_response_bytes = INSTLIST_BYTES_MAX,
		.done = instlist_done,
		.ctx = il,
	};

	ctr_add(il->polls, 1);
	httpc_send(il->env.httpc, &request);
	buf_free(&path);
	buf_free(&headers);
}

static void instlist_handle(struct task *task, struct msg *msg)
{
	(void)task;
	(void)msg;
}

static const struct task_ops instlist_ops = {
	.name = "instlist",
	.handle = instlist_handle,
};

/*
 * Creates the instance list task, which polls at once. The last valid list
 * stays in use while the list is unavailable or malformed.
 */
struct task *instlist_new(const struct env *env, struct err *err)
{
	struct instlist *il = xcalloc(1, sizeof(*il));

	(void)err;
	il->task.ops = &instlist_ops;
	il->env = *env;
	il->timer = (struct timer){ .fn = instlist_poll, .ctx = il };
	il->polls = ctr_counter("jayspoke_instances_polls_total",
				"Requests for the instance list");
	il->failures = ctr_counter("jayspoke_instances_failures_total",
				   "Requests without a usable list");
	il->instances = ctr_gauge("jayspoke_instances",
				  "Instances in the list in force");
	il->age = ctr_gauge("jayspoke_instances_age_seconds",
			    "Age of the list in force");
	bus_register(env->bus, TASK_INSTLIST, &il->task);
	timer_start(env->loop, &il->timer, 0);
	return &il->task;
}
