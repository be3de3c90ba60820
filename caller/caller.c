#include "caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tl.h"

/*
 * Bodies above the API limits are read up to this size, so that the error
 * response has an outcome; h2o rejects larger ones itself, without one.
 */
#define CALLER_BODY_READ_BYTES_MAX (4U << 20)

/* Interval at which open requests are checked for closed connections. */
#define CALLER_DISCONNECT_POLL_MS 200

struct route {
	const char *method;
	const char *path; /* with a trailing slash: a name follows */
	void (*handler)(const struct caller_request *in);
};

/*
 * Sends a response with its outcome in X-Outcome, and with Retry-After for the
 * statuses 429 and 503, where a later attempt may succeed.
 */
void caller_reply(struct httpd *httpd, uint32_t handle,
		  const struct caller_response *response)
{
	bool retry = response->status == 503 || response->status == 429;
	struct buf headers = buf_fmt(
		"X-Outcome: %s\r\n%s%s", outcome_name(response->outcome),
		retry ? "Retry-After: 1\r\n" : "",
		response->headers ? response->headers : "");

	httpd_reply(httpd, handle, response->status, response->content_type,
		    headers.data, response->body, response->len);
	buf_free(&headers);
}

static void reply_error_status(struct httpd *httpd, uint32_t handle, int status,
			       const struct err *err, enum outcome outcome,
			       const char *headers)
{
	json_t *json =
		json_pack("{s:s,s:s,s:s}", "outcome", outcome_name(outcome),
			  "error", err_name(err->kind), "detail", err->text);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	struct caller_response out = {
		.status = status,
		.outcome = outcome,
		.content_type = "application/json",
		.headers = headers,
		.body = text ? text : "{}",
		.len = text ? strlen(text) : 2,
	};

	caller_reply(httpd, handle, &out);
	free(text);
	json_decref(json);
}

/*
 * Sends an error response as JSON, with the status of the error kind. @headers
 * are extra header lines ending in CRLF, or NULL.
 */
void caller_reply_error(struct httpd *httpd, uint32_t handle,
			const struct err *err, enum outcome outcome,
			const char *headers)
{
	reply_error_status(httpd, handle, err_http_status(err->kind), err,
			   outcome, headers);
}

/* Rejects a request that was not passed to another task. */
void caller_reject(const struct caller_request *in, enum err_kind kind,
		   const char *text)
{
	struct err err = { 0 };

	err_set(&err, kind, "%s %s: %s", in->http->method, in->http->path,
		text);
	caller_reply_error(in->httpd, in->http->handle, &err, err_outcome(kind),
			   NULL);
}

/*
 * Sends @json as the response and releases the reference; status 500 if it is
 * NULL or cannot be encoded.
 */
void caller_reply_json(struct httpd *httpd, uint32_t handle, int status,
		       json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	struct caller_response out = {
		.status = text ? status : 500,
		.outcome = OUTCOME_DONE,
		.content_type = "application/json",
		.body = text ? text : "{}",
		.len = text ? strlen(text) : 2,
	};

	caller_reply(httpd, handle, &out);
	free(text);
	json_decref(json);
}

/* Returns true if the load balancer may send requests to this daemon. */
bool caller_ready(const struct caller_task *c)
{
	return !c->draining && entries_loaded(c->entries) &&
	       !ctr_value(c->no_share);
}

static void pending_timer(struct timer *timer)
{
	struct pending *p = timer->ctx;

	switch (p->kind) {
	case PENDING_CALL:
		call_timeout(p);
		break;
	case PENDING_JOB:
		job_timeout(p);
		break;
	case PENDING_EDIT:
		operator_edit_timeout(p);
		break;
	case PENDING_TIMELINE:
		operator_timeline_end(p);
		break;
	}
}

/* Returns a new record for a request that waits for another task. */
struct pending *caller_pending_new(const struct caller_request *in,
				   enum pending_kind kind)
{
	struct caller_task *c = in->caller;
	struct pending *p;
	uint32_t index;
	uint32_t generation;

	if (c->free_index_count) {
		c->free_index_count--;
		index = c->free_indices[c->free_index_count];
	} else {
		uint32_t n = c->table_size + 1;

		index = c->table_size;
		c->table = xrealloc(c->table, n * sizeof(struct pending *));
		c->free_indices =
			xrealloc(c->free_indices, n * sizeof(*c->free_indices));
		c->table[index] = xcalloc(1, sizeof(struct pending));
		c->table_size = n;
	}
	p = c->table[index];
	generation = (p->generation + 1) & 0xffff;
	*p = (struct pending){ .caller = c,
			       .index = index,
			       .generation = generation,
			       .used = true,
			       .kind = kind,
			       .httpd = in->httpd,
			       .handle = in->http->handle,
			       .timer = { .fn = pending_timer, .ctx = p } };
	c->open++;
	return p;
}

/* Returns the message reference of @p: its generation and index. */
uint32_t caller_pending_ref(const struct pending *p)
{
	return (p->generation << 16) | p->index;
}

/* Releases @p; a later reply for it is ignored. */
void caller_pending_free(struct pending *p)
{
	struct caller_task *c = p->caller;

	timer_stop(c->env->loop, &p->timer);
	buf_free(&p->body);
	json_decref(p->daemons);
	json_decref(p->missing);
	p->daemons = NULL;
	p->missing = NULL;
	p->used = false;
	c->free_indices[c->free_index_count] = p->index;
	c->free_index_count++;
	c->open--;
}

static struct pending *pending_find(const struct caller_task *c, uint32_t ref,
				    enum pending_kind kind)
{
	uint32_t index = ref & 0xffff;
	struct pending *p = index < c->table_size ? c->table[index] : NULL;

	if (!p || !p->used || p->generation != ref >> 16 || p->kind != kind)
		return NULL;
	return p;
}

/* Returns the nesting depth of a JSON text, without parsing it. */
static uint32_t json_depth(const char *text, size_t len)
{
	uint32_t depth = 0;
	uint32_t max = 0;
	bool quoted = false;

	for (size_t i = 0; i < len; i++) {
		char c = text[i];

		if (quoted) {
			if (c == '\\')
				i++;
			else if (c == '"')
				quoted = false;
		} else if (c == '"') {
			quoted = true;
		} else if (c == '{' || c == '[') {
			if (++depth > max)
				max = depth;
		} else if ((c == '}' || c == ']') && depth) {
			depth--;
		}
	}
	return max;
}

/*
 * Parses the body as a JSON object; returns NULL with @err set if it is too
 * large, nested too deeply or not an object.
 */
json_t *caller_parse_json(const struct caller_request *in, struct err *err)
{
	json_error_t where;
	json_t *json;

	if (in->http->body_len > CALLER_JSON_BYTES_MAX) {
		err_set(err, ERR_TOO_LARGE, "body over %u bytes",
			CALLER_JSON_BYTES_MAX);
		return NULL;
	}
	if (json_depth(in->http->body, in->http->body_len) >
	    CALLER_JSON_DEPTH_MAX) {
		err_set(err, ERR_TOO_LARGE, "body nested deeper than %d",
			CALLER_JSON_DEPTH_MAX);
		return NULL;
	}
	json = json_loadb(in->http->body, in->http->body_len,
			  JSON_REJECT_DUPLICATES, &where);
	if (json_is_object(json))
		return json;
	err_set(err, ERR_BAD_REQUEST, "body: %s",
		json ? "not a JSON object" : where.text);
	json_decref(json);
	return NULL;
}

/*
 * Reads the Idempotency-Key header into @key, empty if absent. Returns false
 * with @err set if it is malformed.
 */
bool caller_read_key(const struct caller_request *in, char *key, size_t size,
		     struct err *err)
{
	char value[2 * IDEM_KEY_MAX];
	struct idem_key issued;

	key[0] = '\0';
	if (!httpd_header(in->http, "idempotency-key", value, sizeof(value)))
		return true;
	if ((!idem_caller_key_valid(value) && !idem_parse(value, &issued)) ||
	    strlen(value) >= size)
		return err_set(err, ERR_BAD_REQUEST,
			       "Idempotency-Key: not [A-Za-z0-9._-]{1,64}");
	memcpy(key, value, strlen(value) + 1);
	return true;
}

/* POST /v1/keys */
static void keys_post(const struct caller_request *in)
{
	char key[MSG_NAME_MAX];

	if (zones_issue_key(in->caller, 0, key, sizeof(key)))
		caller_reply_json(in->httpd, in->http->handle, 200,
				  json_pack("{s:s}", "key", key));
	else
		caller_reject(in, ERR_NO_HOLDER,
			      "no zone has a known claim holder");
}

/* GET /healthz */
static void health_get(const struct caller_request *in)
{
	caller_reply_json(in->httpd, in->http->handle, 200,
			  json_pack("{s:s}", "status", "alive"));
}

/* GET /readyz */
static void ready_get(const struct caller_request *in)
{
	const struct caller_task *c = in->caller;

	if (caller_ready(c))
		caller_reply_json(in->httpd, in->http->handle, 200,
				  json_pack("{s:s}", "status", "ready"));
	else if (c->draining)
		caller_reject(in, ERR_DRAINING, "the daemon is stopping");
	else if (!entries_loaded(c->entries))
		caller_reject(in, ERR_UNREACHABLE,
			      "no catalogue is loaded yet");
	else
		caller_reject(in, ERR_UNREACHABLE,
			      "no share of the slots granted yet");
}

static const struct route caller_routes[] = {
	{ "POST", "/v1/call/", call_post },
	{ "POST", "/v1/jobs", job_post },
	{ "GET", "/v1/jobs/", job_get },
	{ "DELETE", "/v1/jobs/", job_delete },
	{ "POST", "/v1/keys", keys_post },
	{ "GET", "/healthz", health_get },
	{ "GET", "/readyz", ready_get },
	{ NULL, NULL, NULL },
};

static const struct route operator_routes[] = {
	{ "GET", "/v1/catalogue", operator_catalogue },
	{ "PUT", "/v1/catalogue", operator_edit },
	{ "GET", "/v1/timeline", operator_timeline },
	{ "GET", "/v1/peers", operator_peers },
	{ "GET", "/metrics", operator_metrics },
	{ "GET", "/v1/stats", operator_stats },
	{ NULL, NULL, NULL },
};

/* Returns the rest of @path after the route's, or NULL if it does not match. */
static const char *route_match(const struct route *route, const char *path)
{
	size_t len = strlen(route->path);

	if (strncmp(path, route->path, len) != 0)
		return NULL;
	if (route->path[len - 1] != '/')
		return path[len] ? NULL : path + len;
	if (!path[len] || strlen(path + len) > CALLER_NAME_CHARS_MAX ||
	    strchr(path + len, '/'))
		return NULL;
	return path + len;
}

static void route_request(const struct route *routes, struct caller_request *in)
{
	struct err err = { 0 };
	char allow[64] = "Allow:";
	bool found = false;

	ctr_add(in->caller->requests, 1);
	for (const struct route *r = routes; r->method; r++) {
		const char *name = route_match(r, in->http->path);

		if (!name)
			continue;
		if (!strcmp(r->method, in->http->method)) {
			in->name = name;
			r->handler(in);
			return;
		}
		snprintf(allow + strlen(allow), sizeof(allow) - strlen(allow),
			 "%s %s", found ? "," : "", r->method);
		found = true;
	}
	if (!found) {
		caller_reject(in, ERR_NOT_FOUND, "no such path");
		return;
	}
	snprintf(allow + strlen(allow), sizeof(allow) - strlen(allow), "\r\n");
	err_set(&err, ERR_BAD_REQUEST, "%s %s: method not allowed",
		in->http->method, in->http->path);
	reply_error_status(in->httpd, in->http->handle, 405, &err,
			   OUTCOME_NOT_RUN, allow);
}

static void on_caller(void *ctx, const struct httpd_request *request)
{
	struct caller_task *c = ctx;
	struct caller_request in = { .caller = c,
				     .httpd = c->callers,
				     .http = request };

	route_request(caller_routes, &in);
}

static void on_operator(void *ctx, const struct httpd_request *request)
{
	struct caller_task *c = ctx;
	struct caller_request in = { .caller = c,
				     .httpd = c->operators,
				     .http = request };

	if (operator_allowed(&in))
		route_request(operator_routes, &in);
	else
		caller_reject(&in, ERR_UNAUTHORIZED,
			      "missing or wrong Authorization key");
}

static void pending_disconnected(struct pending *p)
{
	ctr_add(p->caller->disconnects, 1);
	p->disconnected = true;
	if (p->kind == PENDING_CALL)
		call_cancel(p);
}

/* Polls the connections of pending requests for disconnected callers. */
static void on_disconnect_timer(struct timer *timer)
{
	struct caller_task *c = timer->ctx;

	for (uint32_t i = 0; i < c->table_size; i++) {
		struct pending *p = c->table[i];

		if (p->used && !p->disconnected &&
		    httpd_client_closed(p->httpd, p->handle))
			pending_disconnected(p);
	}
	timer_start(c->env->loop, &c->disconnect_timer,
		    CALLER_DISCONNECT_POLL_MS);
}

static void on_disconnect(struct caller_task *c, const struct httpd *httpd,
			  uint32_t handle)
{
	for (uint32_t i = 0; i < c->table_size; i++) {
		struct pending *p = c->table[i];

		if (p->used && !p->disconnected && p->httpd == httpd &&
		    p->handle == handle) {
			pending_disconnected(p);
			return;
		}
	}
}

static void on_caller_disconnect(void *ctx, uint32_t handle)
{
	struct caller_task *c = ctx;

	on_disconnect(c, c->callers, handle);
}

static void on_operator_disconnect(void *ctx, uint32_t handle)
{
	struct caller_task *c = ctx;

	on_disconnect(c, c->operators, handle);
}

static void on_drain_lag_end(struct timer *timer)
{
	struct caller_task *c = timer->ctx;

	httpd_close_listener(c->callers);
	httpd_close_listener(c->operators);
	c->closed = true;
	tl_add("drain", "listeners=closed open=%u", c->open);
}

static void on_drain(struct caller_task *c)
{
	if (c->draining)
		return;
	c->draining = true;
	tl_add("drain", "ready=no lag_ms=%u", c->env->conf->drain_lag_ms);
	timer_start(c->env->loop, &c->drain_timer, c->env->conf->drain_lag_ms);
}

static void on_peers(struct caller_task *c, struct msg *msg)
{
	shared_unref(c->peers);
	c->peers = msg->obj ? shared_ref(msg->obj) : NULL;
}

static void on_reply(struct caller_task *c, struct msg *msg)
{
	struct pending *p = NULL;

	if (msg->kind == MSG_CALL_REPLY) {
		p = pending_find(c, msg->ref, PENDING_CALL);
		if (p)
			call_reply(p, msg);
	} else if (msg->kind == MSG_JOB_REPLY) {
		p = pending_find(c, msg->ref, PENDING_JOB);
		if (p)
			job_reply(p, msg);
	} else if (msg->kind == MSG_CAT_EDIT_REPLY) {
		p = pending_find(c, msg->ref, PENDING_EDIT);
		if (p)
			operator_edit_reply(p, msg);
	} else if (msg->kind == MSG_TIMELINE_REPLY) {
		p = pending_find(c, msg->ref, PENDING_TIMELINE);
		if (p)
			operator_timeline_reply(p, msg);
	}
}

static void caller_handle(struct task *task, struct msg *msg)
{
	struct caller_task *c = (struct caller_task *)task;

	switch (msg->kind) {
	case MSG_CLAIM:
		c->claim = msg->claim;
		c->claim_ms = loop_now_ms();
		break;
	case MSG_PEERS:
		on_peers(c, msg);
		break;
	case MSG_CAT_CHANGED:
		entries_set(c->entries, msg);
		break;
	case MSG_DRAIN:
		on_drain(c);
		break;
	default:
		on_reply(c, msg);
		break;
	}
}

/*
 * Returns true while the load balancer may still send requests after the start
 * of the drain, or while a request is open.
 */
static bool caller_busy(struct task *task)
{
	const struct caller_task *c = (const struct caller_task *)task;

	return (c->draining && !c->closed) || c->open > 0 ||
	       httpd_open_count(c->callers) > 0 ||
	       httpd_open_count(c->operators) > 0;
}

static const struct task_ops caller_ops = {
	.name = "caller",
	.handle = caller_handle,
	.busy = caller_busy,
};

static bool caller_listen(struct caller_task *c, struct err *err)
{
	struct httpd_settings settings = {
		.addr = c->env->conf->listen_callers,
		.max_body = CALLER_BODY_READ_BYTES_MAX,
		.handler = on_caller,
		.gone = on_caller_disconnect,
		.ctx = c,
	};

	c->callers = httpd_new(c->env->loop, &settings, err);
	if (!c->callers)
		return false;
	settings.addr = c->env->conf->listen_operators;
	settings.handler = on_operator;
	settings.gone = on_operator_disconnect;
	c->operators = httpd_new(c->env->loop, &settings, err);
	return c->operators != NULL;
}

/* Creates the caller task; returns NULL with @err set if it cannot listen. */
struct task *caller_new(const struct env *env, struct err *err)
{
	struct caller_task *c = xcalloc(1, sizeof(*c));

	c->task.ops = &caller_ops;
	c->env = env;
	c->entries = entries_new();
	c->drain_timer = (struct timer){ .fn = on_drain_lag_end, .ctx = c };
	c->requests = ctr_counter("jayspoke_requests_total",
				  "HTTP requests of callers and operators.");
	c->forwarded = ctr_counter("jayspoke_requests_forwarded_total",
				   "Requests passed to another daemon.");
	c->disconnects = ctr_counter("jayspoke_requests_gone_total",
				     "Requests whose caller has gone.");
	c->no_share =
		ctr_gauge("jayspoke_slots_no_share",
			  "1 while there are minions but no share of them.");
	if (!caller_listen(c, err)) {
		if (c->callers)
			httpd_close_listener(c->callers);
		entries_free(c->entries);
		free(c);
		return NULL;
	}
	c->disconnect_timer =
		(struct timer){ .fn = on_disconnect_timer, .ctx = c };
	timer_start(env->loop, &c->disconnect_timer, CALLER_DISCONNECT_POLL_MS);
	bus_register(env->bus, TASK_CALLER, &c->task);
	return &c->task;
}
