/* HTTP interfaces for callers, the load balancer and operators. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <jansson.h>

#include "celld.h"
#include "platform/decode.h"

#define BODY_MAX (256U * 1024)
/* A body that is read even if there is no queue at the path. */
#define SMALL_BODY_MAX 16384
/* Used if the caller sets no deadline. */
#define DEADLINE_DEFAULT_MS 3000
#define DEADLINE_MAX_MS 60000
/* The response is sent this long before the deadline of the caller. */
#define RESPONSE_MARGIN_MS 150
/* 404 and 401 require a configuration that was confirmed this recently. */
#define CONFIG_MAX_AGE_MS 700
/*
 * Retry-After, by the latency objective of the queue: batch callers back off
 * longer, in favour of interactive ones.
 */
#define RETRY_INTERACTIVE_S 1
#define RETRY_BATCH_S 2
/* Longest Retry-After of an overloaded queue. */
#define RETRY_OVERLOAD_MAX_S 10
/* The same if its wait is not bounded: what waits now has started by then. */
#define RETRY_UNBOUNDED_S 5
/* Queues with an objective of at least this are batch queues. */
#define BATCH_SLO_MS 1000
/* Bytes of the reason that a job can never run, with NUL. */
#define NEVER_RUNS_TEXT_MAX 256
#define JSON_TYPE "application/json"
/* Bodies of requests that wait for a confirmation, in bytes. */
#define WAITING_BYTES_MAX (8U << 20)
#define BEARER "bearer "
/* How long the holder is asked for a job that is about to be refused. */
#define STORED_WAIT_MS 300

struct entry {
	struct celld *d;
	struct httpd *callers;
	struct httpd *ready;
	struct httpd *operators;
	struct cd_limits limits;
	struct cd_limited *callers_limited;
	struct cd_limited *ready_limited;
	struct cd_limited *operators_limited;
	bool draining;
	size_t waiting_bytes;
	ctr_id requests;
	ctr_id accepted;
	ctr_id refused;
	ctr_id submit_us;
	ctr_id state_us;
	ctr_id store_calls;
	ctr_id log_dropped;
	ctr_id is_holder;
	ctr_id unauthorized;
	ctr_id unconfirmed;
	ctr_id config_age;
	ctr_id teams;
	ctr_id keys;
	ctr_id malformed_teams;
	ctr_id connections;
	ctr_id client_bytes;
};

/* A pending request of a caller. */
struct request {
	struct entry *entry;
	uint32_t handle;
	uint64_t received_ms;
	uint64_t deadline_ms;
	char method[8];
	char id[CELL_ID_MAX];
	uint32_t retry_s;
	char *host;
	char *path;
	char *key;		  /* of a team; NULL: none */
	char team[CELL_NAME_MAX]; /* that holds the key, empty: none */
	const char *body; /* only until the handler returns; NULL: not read */
	size_t body_len;
	struct buf kept;   /* the body while the configuration is confirmed */
	struct buf record; /* encoded job */
	struct cell_job_spec spec; /* of a submission */
	char *never;		   /* why it can never run, NULL: it can */
};

static void request_free(struct request *r)
{
	free(r->host);
	free(r->path);
	free(r->key);
	buf_free(&r->kept);
	buf_free(&r->record);
	cell_job_spec_free(&r->spec);
	free(r->never);
	free(r);
}

static void reply(struct request *r, int status, const char *headers,
		  const char *body)
{
	struct entry *e = r->entry;

	if (status >= 400)
		ctr_add(e->refused, 1);
	if (status >= 500)
		ev("answer", "id=%s method=%s status=%d waited_ms=%llu",
		   r->id[0] ? r->id : "-", r->method, status,
		   (unsigned long long)(loop_now_ms() - r->received_ms));
	httpd_reply(e->callers, r->handle, status, JSON_TYPE, headers, body,
		    strlen(body));
	request_free(r);
}

static void reply_error(struct request *r, int status, const char *why)
{
	json_t *body = json_pack("{s:s}", "error", why);
	char *text = json_dumps(body, JSON_COMPACT);
	char retry[32];
	const char *headers = NULL;

	snprintf(retry, sizeof(retry), "Retry-After: %u\r\n", r->retry_s);
	if (status == 503 || status == 429)
		headers = retry;
	else if (status == 401)
		headers = "WWW-Authenticate: Bearer\r\n";
	reply(r, status, headers, text);
	free(text);
	json_decref(body);
}

static void on_accepted(void *ctx, enum cd_status status, uint32_t number)
{
	struct request *r = ctx;

	(void)number;
	ctr_observe(r->entry->submit_us,
		    (loop_now_ms() - r->received_ms) * 1000);
	if (status == CD_OK) {
		ctr_add(r->entry->accepted, 1);
		reply(r, 200, NULL, "{}");
	} else if (status == CD_REFUSED) {
		reply_error(r, 503,
			    "the store does not take the job; "
			    "it has not run");
	} else {
		reply_error(r, 504, "the job may have been stored");
	}
}

/* Stores the job of a submission. */
static void store_job(struct request *r)
{
	struct buf record = buf_take(&r->record);

	/* The response may be sent, and the request freed, at once. */
	accept_job(r->entry->d->acceptor, r->id, &record, true, r->deadline_ms,
		   on_accepted, r);
	buf_free(&record);
}

/* Refuses a job of an overloaded queue, unless an earlier try stored it. */
static void on_overload_state(void *ctx, enum cd_status status, uint32_t number)
{
	struct request *r = ctx;

	(void)number;
	if (status != CD_GONE) {
		store_job(r);
		return;
	}
	ev("job-refused", "id=%s why=\"queue overloaded\" retry_s=%u", r->id,
	   r->retry_s);
	reply_error(r, 429, "the queue is overloaded; the job has not run");
}

static void refuse_values(struct request *r)
{
	char why[64];

	snprintf(why, sizeof(why), "body: more than %u values",
		 r->entry->limits.body_max_values);
	limited_add(r->entry->callers_limited, "values");
	ev("job-refused", "id=%s why=\"%s\"", r->id, why);
	reply_error(r, 400, why);
}

/* Stores the job, or refuses it if its queue is overloaded. */
static void store_or_refuse(struct request *r,
			    const struct cell_queue_spec *queue)
{
	struct celld *d = r->entry->d;
	uint32_t wait_ms =
		overload_wait_ms(d->overload, queue->name, loop_now_ms());
	bool late = cell_job_is_late(queue, &r->spec, wait_ms);

	record_pack_job(&r->spec, &r->record);
	cell_job_spec_free(&r->spec);
	if (!late) {
		store_job(r);
		return;
	}
	r->retry_s = wait_ms / 1000 + 1;
	if (wait_ms == CELL_WAIT_UNBOUNDED)
		r->retry_s = RETRY_UNBOUNDED_S;
	else if (r->retry_s > RETRY_OVERLOAD_MAX_S)
		r->retry_s = RETRY_OVERLOAD_MAX_S;
	rpc_call(d->rpc, CD_OP_STATE, r->id, NULL,
		 r->deadline_ms - RESPONSE_MARGIN_MS, on_overload_state, r);
}

static const struct cell_queue_spec *route(const struct entry *e,
					   const char *host, const char *path)
{
	const struct cell_config *config = config_current(e->d->config);

	return config ? cell_config_route(config, host, path) : NULL;
}

/*
 * Returns true if the limit of its team lets the job run, else notes the
 * reason.
 */
static bool limit_permits(struct request *r)
{
	char why[NEVER_RUNS_TEXT_MAX];

	free(r->never);
	r->never = NULL;
	if (cell_team_can_run(config_current(r->entry->d->config), &r->spec,
			      why, sizeof(why)))
		return true;
	r->never = strdup(why);
	return false;
}

/*
 * Refuses a job that can never run, unless an earlier try stored it while the
 * limit was higher.
 */
static void on_limit_state(void *ctx, enum cd_status status, uint32_t number)
{
	struct request *r = ctx;

	(void)number;
	if (status == CD_OK) {
		record_pack_job(&r->spec, &r->record);
		store_job(r);
	} else if (status == CD_GONE) {
		ev("job-refused", "id=%s why=\"%s\"", r->id,
		   r->never ? r->never : "");
		reply_error(r, 400, r->never ? r->never : "above the limit");
	} else {
		reply_error(r, 504, "an earlier try may have been stored");
	}
}

/* The limit may have been raised by a version that is not known here yet. */
static void on_limit_confirmed(void *ctx, bool confirmed)
{
	struct request *r = ctx;
	const struct cell_queue_spec *queue = route(r->entry, r->host, r->path);

	if (!confirmed)
		reply_error(r, 503, "the configuration cannot be confirmed");
	else if (!queue)
		reply_error(r, 404, "no such queue");
	else if (limit_permits(r))
		store_or_refuse(r, queue);
	else
		rpc_call(r->entry->d->rpc, CD_OP_STATE, r->id, NULL,
			 r->deadline_ms - RESPONSE_MARGIN_MS, on_limit_state,
			 r);
}

static void submit(struct request *r, const struct cell_queue_spec *queue)
{
	struct err err = { 0 };

	if (!r->body) {
		reply_error(r, 503,
			    "the queue was not known when the request arrived; "
			    "the job has not run");
		return;
	}
	if (pf_has_more_values(r->body, r->body_len,
			       r->entry->limits.body_max_values)) {
		refuse_values(r);
		return;
	}
	if (!pf_decode_job(r->body, r->body_len, &r->spec, &err)) {
		ev("job-refused", "id=%s why=\"%s\"", r->id, err.text);
		reply_error(r, 400, err.text);
		return;
	}
	snprintf(r->spec.id, sizeof(r->spec.id), "%s", r->id);
	snprintf(r->spec.queue, sizeof(r->spec.queue), "%s", queue->name);
	memcpy(r->spec.team, r->team, sizeof(r->spec.team));
	r->spec.accepted_unix_ms = cd_unix_ms();
	if (limit_permits(r))
		store_or_refuse(r, queue);
	else
		config_confirm(r->entry->d->config, CONFIG_MAX_AGE_MS,
			       on_limit_confirmed, r);
}

static void on_state(void *ctx, enum cd_status status, uint32_t number)
{
	struct request *r = ctx;
	char body[48];

	ctr_observe(r->entry->state_us,
		    (loop_now_ms() - r->received_ms) * 1000);
	if (status == CD_GONE) {
		reply(r, 410, NULL, "{}");
	} else if (status != CD_OK || number >= CELL_JOB_STATES) {
		reply_error(r, 503, "the holder does not answer");
	} else {
		snprintf(body, sizeof(body), "{\"state\":\"%s\"}",
			 cell_job_state_name((enum cell_job_state)number));
		reply(r, 200, NULL, body);
	}
}

/* @number: seconds after which a refused cancel is to be sent again. */
static void on_cancelled(void *ctx, enum cd_status status, uint32_t number)
{
	struct request *r = ctx;

	if (status == CD_OK) {
		reply(r, 200, NULL, "{}");
	} else if (status == CD_GONE) {
		reply(r, 410, NULL, "{}");
	} else if (status == CD_REFUSED && number) {
		r->retry_s = number;
		reply_error(r, 503,
			    "too many cancels of unknown jobs; "
			    "nothing was cancelled");
	} else {
		reply_error(r, 504, "the job may have been cancelled");
	}
}

static void on_pending(void *ctx, enum cd_status status, uint32_t number)
{
	struct request *r = ctx;
	char body[48];

	if (status != CD_OK) {
		reply_error(r, 503, "the holder does not answer");
		return;
	}
	snprintf(body, sizeof(body), "{\"pending\":%u}", number);
	reply(r, 200, NULL, body);
}

static bool is_job_id(const char *text)
{
	return strlen(text) == 16 &&
	       strspn(text, "0123456789abcdefABCDEF") == 16;
}

static void serve(struct request *r, const struct cell_queue_spec *queue)
{
	struct rpc *rpc = r->entry->d->rpc;
	const char *rest = r->path + strlen(queue->prefix);
	uint64_t deadline = r->deadline_ms - RESPONSE_MARGIN_MS;

	if (queue->slo_ms >= BATCH_SLO_MS)
		r->retry_s = RETRY_BATCH_S;
	if (!*rest && !strcmp(r->method, "GET")) {
		rpc_call(rpc, CD_OP_PENDING, queue->name, NULL, deadline,
			 on_pending, r);
		return;
	}
	if (!is_job_id(rest)) {
		reply_error(r, 400,
			    "the path does not end in a job id of 16 "
			    "hexadecimal digits");
		return;
	}
	snprintf(r->id, sizeof(r->id), "%s", rest);
	if (!strcmp(r->method, "POST"))
		submit(r, queue);
	else if (!strcmp(r->method, "GET"))
		rpc_call(rpc, CD_OP_STATE, r->id, NULL, deadline, on_state, r);
	else if (!strcmp(r->method, "DELETE"))
		rpc_call(rpc, CD_OP_CANCEL, r->id, NULL, deadline, on_cancelled,
			 r);
	else
		reply_error(r, 405, "method not allowed");
}

enum access {
	ACCESS_OK,
	ACCESS_NO_QUEUE,
	ACCESS_NO_KEY, /* missing, or of no team */
	ACCESS_EXPIRED /* no key is honoured without a confirmation */
};

/*
 * Looks up the queue and the team of a request in the newest configuration. A
 * public queue requires no key, and its jobs belong to no team.
 */
static enum access look_up(struct request *r,
			   const struct cell_queue_spec **queue)
{
	struct config_watch *watch = r->entry->d->config;
	const struct cell_config *config = config_current(watch);
	const struct cell_team_spec *team;

	r->team[0] = '\0';
	*queue = cell_config_route(config, r->host, r->path);
	if (!*queue)
		return ACCESS_NO_QUEUE;
	if ((*queue)->public_access || !cell_config_has_teams(config))
		return ACCESS_OK;
	team = r->key ? config_team(watch, r->key) : NULL;
	if (!team)
		return ACCESS_NO_KEY;
	if (!config_keys_valid(watch))
		return ACCESS_EXPIRED;
	memcpy(r->team, team->name, sizeof(r->team));
	return ACCESS_OK;
}

static void refuse_unconfirmed(struct request *r)
{
	ctr_add(r->entry->unconfirmed, 1);
	reply_error(r, 503, "the configuration cannot be confirmed");
}

/*
 * 503 means that the job has not run, so one that an earlier attempt stored, at
 * another daemon, gets 504: the caller is to try again elsewhere.
 */
static void on_stored(void *ctx, enum cd_status status, uint32_t number)
{
	struct request *r = ctx;

	(void)number;
	if (status == CD_OK)
		reply_error(r, 504, "the job may have been stored");
	else
		refuse_unconfirmed(r);
}

/* Refuses a submission with a key that is known but cannot be confirmed. */
static void refuse_job(struct request *r)
{
	const char *id = strrchr(r->path, '/');

	buf_free(&r->kept);
	if (!id || !is_job_id(id + 1)) {
		refuse_unconfirmed(r);
		return;
	}
	snprintf(r->id, sizeof(r->id), "%s", id + 1);
	rpc_call(r->entry->d->rpc, CD_OP_STATE, r->id, NULL,
		 loop_now_ms() + STORED_WAIT_MS, on_stored, r);
}

static void refuse(struct request *r, enum access access, bool confirmed)
{
	if (confirmed && access == ACCESS_NO_QUEUE) {
		reply_error(r, 404, "no such queue");
	} else if (confirmed && access == ACCESS_NO_KEY) {
		ctr_add(r->entry->unauthorized, 1);
		reply_error(r, 401, "missing or unknown key");
	} else if (access == ACCESS_EXPIRED && !strcmp(r->method, "POST")) {
		refuse_job(r);
	} else {
		refuse_unconfirmed(r);
	}
}

static void on_confirmed(void *ctx, bool confirmed)
{
	struct request *r = ctx;
	const struct cell_queue_spec *queue;
	enum access access = look_up(r, &queue);

	r->entry->waiting_bytes -= r->kept.len;
	if (access == ACCESS_OK)
		serve(r, queue);
	else
		refuse(r, access, confirmed);
}

/* Serves a request, if need be after a confirmation of the configuration. */
static void authorize(struct request *r)
{
	struct entry *e = r->entry;
	uint64_t max_age = config_keys_max_age_ms(e->d->config);
	const struct cell_queue_spec *queue;
	enum access access = look_up(r, &queue);

	if (access == ACCESS_OK) {
		serve(r, queue);
		return;
	}
	if (e->waiting_bytes + r->body_len > WAITING_BYTES_MAX) {
		refuse(r, access, false);
		return;
	}
	if (r->body && r->body_len) {
		r->kept = buf_copy(r->body, r->body_len);
		r->body = r->kept.data;
	}
	e->waiting_bytes += r->kept.len;
	config_confirm(e->d->config,
		       max_age < CONFIG_MAX_AGE_MS ? max_age
						   : CONFIG_MAX_AGE_MS,
		       on_confirmed, r);
}

/*
 * Returns a copy of the key of a request, or NULL. A key that is longer than
 * the buffer is cut to a length that no key of the configuration has.
 */
static char *key_of(const struct httpd_request *request)
{
	char value[sizeof(BEARER) + CELL_KEY_MAX];
	const char *key = value + strlen(BEARER);

	if (!httpd_header(request, "authorization", value, sizeof(value)) ||
	    strncasecmp(value, BEARER, strlen(BEARER)) != 0)
		return NULL;
	return strdup(key + strspn(key, " "));
}

static uint64_t deadline_of(const struct httpd_request *request, uint64_t now)
{
	char value[24];
	unsigned long ms = DEADLINE_DEFAULT_MS;

	if (httpd_header(request, "jayspoke-deadline-ms", value, sizeof(value)))
		ms = strtoul(value, NULL, 10);
	if (ms < RESPONSE_MARGIN_MS * 2)
		ms = RESPONSE_MARGIN_MS * 2;
	if (ms > DEADLINE_MAX_MS)
		ms = DEADLINE_MAX_MS;
	return now + ms;
}

static void on_client(void *ctx, const struct httpd_request *request)
{
	struct entry *e = ctx;
	struct request *r = xcalloc(1, sizeof(*r));

	ctr_add(e->requests, 1);
	r->entry = e;
	r->handle = request->handle;
	r->received_ms = loop_now_ms();
	r->deadline_ms = deadline_of(request, r->received_ms);
	snprintf(r->method, sizeof(r->method), "%s", request->method);
	r->retry_s = RETRY_INTERACTIVE_S;
	r->host = strdup(request->host);
	r->path = strdup(request->path);
	r->key = key_of(request);
	if (!request->body_skipped)
		r->body = request->body;
	r->body_len = request->body_len;
	if (!config_current(e->d->config)) {
		reply_error(r, 503, "no configuration yet");
		return;
	}
	authorize(r);
}

/*
 * Bodies are read for queues only. A small one is read at other paths, as the
 * queue may have been added since this daemon last read the configuration.
 */
static bool wants_body(void *ctx, const struct httpd_request *request)
{
	struct entry *e = ctx;

	if (strcmp(request->method, "POST") != 0 ||
	    !config_current(e->d->config))
		return false;
	return route(e, request->host, request->path) ||
	       request->body_len <= SMALL_BODY_MAX;
}

/* Operators send a body only with a job to be explained. */
static bool wants_operator_body(void *ctx, const struct httpd_request *request)
{
	(void)ctx;
	return !strcmp(request->method, "POST") &&
	       !strcmp(request->path, "/where");
}

/* Probes are answered whatever body they send. */
static bool wants_no_body(void *ctx, const struct httpd_request *request)
{
	(void)ctx;
	(void)request;
	return false;
}

static void on_callers_limited(void *ctx, enum httpd_limit limit)
{
	limited_add(((struct entry *)ctx)->callers_limited,
		    httpd_limit_name(limit));
}

static void on_ready_limited(void *ctx, enum httpd_limit limit)
{
	limited_add(((struct entry *)ctx)->ready_limited,
		    httpd_limit_name(limit));
}

static void on_operators_limited(void *ctx, enum httpd_limit limit)
{
	limited_add(((struct entry *)ctx)->operators_limited,
		    httpd_limit_name(limit));
}

static bool is_ready(const struct entry *e)
{
	const struct celld *d = e->d;

	if (e->draining || !config_current(d->config) ||
	    !config_keys_valid(d->config))
		return false;
	return d->holder ? holder_ready(d->holder) : links_holder_up(d->links);
}

static void on_ready(void *ctx, const struct httpd_request *request)
{
	struct entry *e = ctx;

	httpd_reply(e->ready, request->handle, is_ready(e) ? 200 : 503,
		    JSON_TYPE, NULL, "{}", 2);
}

static void set_gauges(const struct entry *e)
{
	const struct cell_config *config = config_current(e->d->config);

	ctr_set(e->store_calls, pf_store_calls(e->d->store));
	ctr_set(e->log_dropped, ev_dropped());
	ctr_set(e->is_holder, e->d->holder != NULL);
	if (config) {
		ctr_set(e->config_age, config_age_ms(e->d->config));
		ctr_set(e->teams, config->team_count);
		ctr_set(e->keys, config_key_count(e->d->config));
		ctr_set(e->malformed_teams, config->malformed_teams);
	}
	ctr_set(e->connections, httpd_connections(e->callers));
	ctr_set(e->client_bytes, httpd_bytes(e->callers));
	if (e->d->holder)
		holder_gauges(e->d->holder);
}

/* Answers where the job in the body of a request would start. */
static void reply_where(struct entry *e, const struct httpd_request *request)
{
	char queue[CELL_NAME_MAX] = "";
	char team[CELL_NAME_MAX] = "";
	struct buf text;
	int status;

	if (pf_has_more_values(request->body, request->body_len,
			       e->limits.body_max_values)) {
		limited_add(e->operators_limited, "values");
		httpd_reply(e->operators, request->handle, 400, "text/plain",
			    NULL, "body: too many values\n", 22);
		return;
	}
	httpd_query(request, "queue", queue, sizeof(queue));
	httpd_query(request, "team", team, sizeof(team));
	status = where_answer(e->d, queue, team, request->body,
			      request->body_len, &text);
	httpd_reply(e->operators, request->handle, status, JSON_TYPE, NULL,
		    text.data, text.len);
	buf_free(&text);
}

static void on_operator(void *ctx, const struct httpd_request *request)
{
	struct entry *e = ctx;
	struct buf text;

	if (!strcmp(request->path, "/where")) {
		reply_where(e, request);
		return;
	}
	set_gauges(e);
	text = ctr_prometheus();
	if (e->d->holder)
		holder_pairs(e->d->holder, &text);
	if (!strcmp(request->path, "/metrics"))
		httpd_reply(e->operators, request->handle, 200, "text/plain",
			    NULL, text.data, text.len);
	else
		httpd_reply(e->operators, request->handle, 404, "text/plain",
			    NULL, "not found\n", 10);
	buf_free(&text);
}

/* Fails readiness probes, so that the balancer sends no new connections. */
void entry_drain(struct entry *e)
{
	e->draining = true;
}

/* Stops accepting connections; responses ask callers to close theirs. */
void entry_close(struct entry *e)
{
	httpd_close_listener(e->callers);
}

/* Returns the number of pending requests of callers. */
uint32_t entry_open(const struct entry *e)
{
	return httpd_open_count(e->callers);
}

static struct httpd *listen_callers(struct entry *e, struct err *err)
{
	struct httpd_settings settings = {
		.addr = e->d->conf.listen_callers,
		.max_body = BODY_MAX,
		.handler = on_client,
		.ctx = e,
		.limits = &e->limits.callers,
		.wants_body = wants_body,
		.limited = on_callers_limited,
	};

	return httpd_new(e->d->loop, &settings, err);
}

static struct httpd *listen_probes(struct entry *e, const char *addr,
				   httpd_handler handler, httpd_body_fn wants,
				   httpd_limited_fn limited, struct err *err)
{
	struct httpd_settings settings = {
		.addr = addr,
		.max_body = BODY_MAX,
		.handler = handler,
		.ctx = e,
		.limits = &e->limits.probes,
		.wants_body = wants,
		.limited = limited,
	};

	return httpd_new(e->d->loop, &settings, err);
}

/* Listens for callers, the load balancer and operators. */
struct entry *entry_new(struct celld *d, struct err *err)
{
	struct entry *e = xcalloc(1, sizeof(*e));
	bool ok = false;

	e->d = d;
	e->limits = limits_of(&d->conf);
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
	e->is_holder = ctr_gauge("jaycelld_holder", "1 if this is the holder.");
	e->unauthorized =
		ctr_counter("jaycelld_unauthorized_total",
			    "Requests without a known key, answered with 401.");
	e->unconfirmed = ctr_counter("jaycelld_unconfirmed_total",
				     "Requests refused for lack of a "
				     "confirmation of the configuration.");
	e->config_age = ctr_gauge("jaycelld_config_age_ms",
				  "Time since the latest confirmation of the "
				  "configuration was sent.");
	e->teams = ctr_gauge("jaycelld_teams", "Teams of the configuration.");
	e->keys = ctr_gauge("jaycelld_keys", "Keys of all teams.");
	e->malformed_teams =
		ctr_gauge("jaycelld_malformed_teams",
			  "Faults of teams and keys of the configuration.");
	e->connections = ctr_gauge("jaycelld_callers_connections",
				   "Connections of callers.");
	e->client_bytes =
		ctr_gauge("jaycelld_callers_bytes",
			  "Bytes held for requests and responses of callers.");
	e->callers_limited = limited_new("callers");
	e->ready_limited = limited_new("ready");
	e->operators_limited = limited_new("operators");
	e->callers = listen_callers(e, err);
	if (!e->callers)
		goto out;
	e->ready = listen_probes(e, d->conf.listen_ready, on_ready,
				 wants_no_body, on_ready_limited, err);
	if (!e->ready)
		goto out;
	e->operators =
		listen_probes(e, d->conf.listen_operators, on_operator,
			      wants_operator_body, on_operators_limited, err);
	ok = e->operators != NULL;
out:
	if (!ok) {
		free(e->callers_limited);
		free(e->ready_limited);
		free(e->operators_limited);
		free(e);
		e = NULL;
	}
	return e;
}
