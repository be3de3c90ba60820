/* What callers, the balancer and operators ask for, over HTTP. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "celld.h"
#include "platform/decode.h"

#define BODY_MAX (256U * 1024)
/* Callers that do not name a deadline wait this long, in ms. */
#define DEADLINE_MS 3000
#define DEADLINE_MAX_MS 60000
/* The answer leaves this long before the caller gives up, in ms. */
#define ANSWER_MARGIN_MS 150
/* A missing queue is believed from a configuration of at most this age. */
#define CONFIG_AGE_MS 700
/* Callers may return after this, in s; patient ones give way to quick ones. */
#define RETRY_QUICK_S 1
#define RETRY_PATIENT_S 2
/* Queues with a longer objective are patient, in ms. */
#define QUICK_SLO_MS 1000
#define JSON_TYPE "application/json"

struct entry {
	struct celld *d;
	struct httpd *callers;
	struct httpd *ready;
	struct httpd *operators;
	bool draining;
	ctr_id requests;
	ctr_id accepted;
	ctr_id refused;
	ctr_id submit_us;
	ctr_id state_us;
	ctr_id store_calls;
	ctr_id log_dropped;
	ctr_id holds;
};

/* A request of a caller that waits for its answer. */
struct caller {
	struct entry *entry;
	uint32_t handle;
	uint64_t since_ms;
	uint64_t deadline_ms;
	char method[8];
	char id[CELL_ID_MAX];
	uint32_t retry_s;
	char *host;
	char *path;
	struct buf body;
};

static void caller_free(struct caller *c)
{
	free(c->host);
	free(c->path);
	buf_free(&c->body);
	free(c);
}

static void reply(struct caller *c, int status, const char *headers,
		  const char *body)
{
	struct entry *e = c->entry;

	if (status >= 400)
		ctr_add(e->refused, 1);
	if (status >= 500)
		ev("answer", "id=%s method=%s status=%d waited_ms=%llu",
		   c->id[0] ? c->id : "-", c->method, status,
		   (unsigned long long)(loop_now_ms() - c->since_ms));
	httpd_reply(e->callers, c->handle, status, JSON_TYPE, headers, body,
		    strlen(body));
	caller_free(c);
}

static void reply_error(struct caller *c, int status, const char *why)
{
	json_t *body = json_pack("{s:s}", "error", why);
	char *text = json_dumps(body, JSON_COMPACT);
	char headers[32];

	snprintf(headers, sizeof(headers), "Retry-After: %u\r\n", c->retry_s);
	reply(c, status, status == 503 ? headers : NULL, text);
	free(text);
	json_decref(body);
}

static void on_accepted(void *ctx, enum cd_answer answer, uint32_t number)
{
	struct caller *c = ctx;

	(void)number;
	ctr_observe(c->entry->submit_us, (loop_now_ms() - c->since_ms) * 1000);
	if (answer == CD_OK) {
		ctr_add(c->entry->accepted, 1);
		reply(c, 200, NULL, "{}");
	} else if (answer == CD_REFUSED) {
		reply_error(c, 503,
			    "the store does not take the job; "
			    "it has not run");
	} else {
		reply_error(c, 504, "the job may have been stored");
	}
}

static void submit(struct caller *c, const struct cell_queue_spec *queue)
{
	struct cell_job_spec spec;
	struct buf record = { 0 };
	struct err err = { 0 };

	if (!pf_decode_job(c->body.data, c->body.len, &spec, &err)) {
		ev("job-refused", "id=%s why=\"%s\"", c->id, err.text);
		reply_error(c, 400, err.text);
		return;
	}
	snprintf(spec.id, sizeof(spec.id), "%s", c->id);
	snprintf(spec.queue, sizeof(spec.queue), "%s", queue->name);
	spec.accepted_unix_ms = cd_unix_ms();
	record_pack_job(&spec, &record);
	cell_job_spec_free(&spec);
	accept_job(c->entry->d->acceptor, c->id, &record, true, c->deadline_ms,
		   on_accepted, c);
	buf_free(&record);
}

static void on_state(void *ctx, enum cd_answer answer, uint32_t number)
{
	struct caller *c = ctx;
	char body[48];

	ctr_observe(c->entry->state_us, (loop_now_ms() - c->since_ms) * 1000);
	if (answer == CD_GONE) {
		reply(c, 410, NULL, "{}");
	} else if (answer != CD_OK || number >= CELL_JOB_STATES) {
		reply_error(c, 503, "the holder does not answer");
	} else {
		snprintf(body, sizeof(body), "{\"state\":\"%s\"}",
			 cell_state_name((enum cell_job_state)number));
		reply(c, 200, NULL, body);
	}
}

static void on_cancelled(void *ctx, enum cd_answer answer, uint32_t number)
{
	struct caller *c = ctx;

	(void)number;
	if (answer == CD_OK)
		reply(c, 200, NULL, "{}");
	else if (answer == CD_GONE)
		reply(c, 410, NULL, "{}");
	else
		reply_error(c, 504, "the job may have been cancelled");
}

static void on_pending(void *ctx, enum cd_answer answer, uint32_t number)
{
	struct caller *c = ctx;
	char body[48];

	if (answer != CD_OK) {
		reply_error(c, 503, "the holder does not answer");
		return;
	}
	snprintf(body, sizeof(body), "{\"pending\":%u}", number);
	reply(c, 200, NULL, body);
}

static bool is_job_id(const char *text)
{
	return strlen(text) == 16 &&
	       strspn(text, "0123456789abcdefABCDEF") == 16;
}

static void serve(struct caller *c, const struct cell_queue_spec *queue)
{
	struct asks *asks = c->entry->d->asks;
	const char *rest = c->path + strlen(queue->prefix);
	uint64_t deadline = c->deadline_ms - ANSWER_MARGIN_MS;

	if (queue->slo_ms >= QUICK_SLO_MS)
		c->retry_s = RETRY_PATIENT_S;
	if (!*rest && !strcmp(c->method, "GET")) {
		asks_send(asks, CD_OP_PENDING, queue->name, NULL, deadline,
			  on_pending, c);
		return;
	}
	if (!is_job_id(rest)) {
		reply_error(c, 400,
			    "the path does not end in a job id of 16 "
			    "hexadecimal digits");
		return;
	}
	snprintf(c->id, sizeof(c->id), "%s", rest);
	if (!strcmp(c->method, "POST"))
		submit(c, queue);
	else if (!strcmp(c->method, "GET"))
		asks_send(asks, CD_OP_STATE, c->id, NULL, deadline, on_state,
			  c);
	else if (!strcmp(c->method, "DELETE"))
		asks_send(asks, CD_OP_CANCEL, c->id, NULL, deadline,
			  on_cancelled, c);
	else
		reply_error(c, 405, "method not allowed");
}

static const struct cell_queue_spec *route(const struct caller *c)
{
	const struct cell_config *config = config_current(c->entry->d->config);

	return config ? cell_config_route(config, c->host, c->path) : NULL;
}

static void on_confirmed(void *ctx, bool confirmed)
{
	struct caller *c = ctx;
	const struct cell_queue_spec *queue = route(c);

	if (queue)
		serve(c, queue);
	else if (confirmed)
		reply_error(c, 404, "no such queue");
	else
		reply_error(c, 503, "the configuration cannot be confirmed");
}

static uint64_t deadline_of(const struct httpd_request *request, uint64_t now)
{
	char value[24];
	unsigned long ms = DEADLINE_MS;

	if (httpd_header(request, "jayspoke-deadline-ms", value, sizeof(value)))
		ms = strtoul(value, NULL, 10);
	if (ms < ANSWER_MARGIN_MS * 2)
		ms = ANSWER_MARGIN_MS * 2;
	if (ms > DEADLINE_MAX_MS)
		ms = DEADLINE_MAX_MS;
	return now + ms;
}

static void on_caller(void *ctx, const struct httpd_request *request)
{
	struct entry *e = ctx;
	struct caller *c = xcalloc(1, sizeof(*c));
	const struct cell_queue_spec *queue;

	ctr_add(e->requests, 1);
	c->entry = e;
	c->handle = request->handle;
	c->since_ms = loop_now_ms();
	c->deadline_ms = deadline_of(request, c->since_ms);
	snprintf(c->method, sizeof(c->method), "%s", request->method);
	c->retry_s = RETRY_QUICK_S;
	c->host = strdup(request->host);
	c->path = strdup(request->path);
	if (request->body_len)
		c->body = buf_copy(request->body, request->body_len);
	if (!config_current(e->d->config)) {
		reply_error(c, 503, "no configuration yet");
		return;
	}
	queue = route(c);
	if (queue)
		serve(c, queue);
	else
		config_confirm(e->d->config, CONFIG_AGE_MS, on_confirmed, c);
}

static bool is_ready(const struct entry *e)
{
	const struct celld *d = e->d;

	if (e->draining || !config_current(d->config))
		return false;
	return d->holder ? holder_ready(d->holder) : links_up(d->links);
}

static void on_ready(void *ctx, const struct httpd_request *request)
{
	struct entry *e = ctx;

	httpd_reply(e->ready, request->handle, is_ready(e) ? 200 : 503,
		    JSON_TYPE, NULL, "{}", 2);
}

static void set_gauges(const struct entry *e)
{
	ctr_set(e->store_calls, pf_store_calls(e->d->store));
	ctr_set(e->log_dropped, ev_dropped());
	ctr_set(e->holds, e->d->holder != NULL);
	if (e->d->holder)
		holder_gauges(e->d->holder);
}

static void on_operator(void *ctx, const struct httpd_request *request)
{
	struct entry *e = ctx;
	struct buf text;

	set_gauges(e);
	text = ctr_prometheus();

	if (!strcmp(request->path, "/metrics"))
		httpd_reply(e->operators, request->handle, 200, "text/plain",
			    NULL, text.data, text.len);
	else
		httpd_reply(e->operators, request->handle, 404, "text/plain",
			    NULL, "not found\n", 10);
	buf_free(&text);
}

/* The balancer is told to send no more connections. */
void entry_drain(struct entry *e)
{
	e->draining = true;
}

/* Takes no more connections; answers tell callers to close theirs. */
void entry_close(struct entry *e)
{
	httpd_close_listener(e->callers);
}

/* Returns the number of callers that wait for their answer. */
uint32_t entry_open(const struct entry *e)
{
	return httpd_open_count(e->callers);
}

static struct httpd *open_port(struct entry *e, const char *addr,
			       httpd_handler handler, struct err *err)
{
	struct httpd_settings settings = {
		.addr = addr, .max_body = BODY_MAX, .handler = handler, .ctx = e
	};

	return httpd_new(e->d->loop, &settings, err);
}

/* Listens for callers, the balancer and operators. */
struct entry *entry_new(struct celld *d, struct err *err)
{
	struct entry *e = xcalloc(1, sizeof(*e));
	bool ok = false;

	e->d = d;
	e->requests =
		ctr_counter("jaycelld_requests_total", "Requests of callers.");
	e->accepted = ctr_counter("jaycelld_accepted_total", "Jobs accepted.");
	e->refused =
		ctr_counter("jaycelld_errors_total",
			    "Answers to callers with status 400 or above.");
	e->submit_us = ctr_histogram("jaycelld_submit_seconds",
				     "Time to store a job.");
	e->state_us = ctr_histogram("jaycelld_state_seconds",
				    "Time to answer for a job's state.");
	e->store_calls = ctr_gauge("jaycelld_store_calls",
				   "Calls to the store since the start.");
	e->log_dropped = ctr_gauge("jaycelld_log_dropped",
				   "Event lines that were dropped.");
	e->holds = ctr_gauge("jaycelld_holder", "1 if this is the holder.");
	e->callers = open_port(e, d->conf.listen_callers, on_caller, err);
	if (!e->callers)
		goto out;
	e->ready = open_port(e, d->conf.listen_ready, on_ready, err);
	if (!e->ready)
		goto out;
	e->operators = open_port(e, d->conf.listen_operators, on_operator, err);
	ok = e->operators != NULL;
out:
	if (!ok) {
		free(e);
		e = NULL;
	}
	return e;
}
