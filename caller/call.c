#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"
#include "retry.h"

/* Timeout of an entry that has none. */
#define CALL_TIMEOUT_MS 10000
/* The tasks asked answer by the deadline; this only guards against a fault. */
#define CALL_BACKSTOP_MS 3000

static bool parse_deadline(const struct incoming *in, uint32_t *ms)
{
	char text[16];
	char *end;
	unsigned long value;

	*ms = 0;
	if (!httpd_header(in->http, "x-deadline-ms", text, sizeof(text)))
		return true;
	if (text[0] < '0' || text[0] > '9')
		return false;
	value = strtoul(text, &end, 10);
	*ms = value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
	return !*end && value > 0;
}

/*
 * Returns the outcome that the caller is told. With a key of the caller, an
 * earlier try may have run: only the holder of the key knows that it did not,
 * and the other errors say nothing about that try.
 */
static enum outcome call_outcome(const struct pending *p,
				 const struct msg_call_reply *r)
{
	if (!p->once || p->minted || r->outcome != OUTCOME_NOT_RUN ||
	    r->err.kind == ERR_OVERLOADED || r->err.kind == ERR_DEADLINE ||
	    r->err.kind == ERR_CANCELLED || r->err.kind == ERR_LIMIT)
		return r->outcome;
	return OUTCOME_UNKNOWN;
}

/* Ends the request of @p with the answer's error or the minion's own answer. */
static void call_answer(struct pending *p, const struct msg *msg)
{
	const struct msg_call_reply *r = &msg->call_reply;
	char headers[128] = "";
	struct outgoing out = {
		.status = r->http_status,
		.outcome = call_outcome(p, r),
		.content_type = r->content_type[0] ? r->content_type : NULL,
		.headers = headers,
		.body = msg->body.data,
		.len = msg->body.len,
	};

	if (p->key[0])
		snprintf(headers, sizeof(headers), "Idempotency-Key: %s\r\n",
			 p->key);
	if (r->http_status >= 200 && r->http_status < 600)
		caller_reply(p->httpd, p->handle, &out);
	else
		caller_reply_error(p->httpd, p->handle, &r->err, out.outcome,
				   headers);
	caller_pending_free(p);
}

static void call_error(struct pending *p, enum err_kind kind, const char *text)
{
	struct msg *msg = msg_new(MSG_CALL_REPLY, TASK_CALLER, 0);

	err_set(&msg->call_reply.err, kind, "%s: %s", p->entry, text);
	msg->call_reply.outcome = err_outcome(kind);
	call_answer(p, msg);
	msg_free(msg);
}

/* Sends the call to the own minion task (@az NULL) or to a daemon of @az. */
static void call_send(struct pending *p, const char *az)
{
	struct caller_task *c = p->caller;
	struct msg *msg = msg_new(MSG_CALL, TASK_CALLER, caller_pending_ref(p));
	struct msg_call *call = &msg->call;

	memcpy(call->entry, p->entry, sizeof(call->entry));
	memcpy(call->key, p->key, sizeof(call->key));
	snprintf(call->az, sizeof(call->az), "%s", az ? az : "");
	call->deadline_ms = retry_left_ms(p->deadline_ms, loop_now_ms());
	call->to_holder = p->once;
	msg->body = buf_copy(p->body.data ? p->body.data : "", p->body.len);
	p->at_own = !az || (p->once && zones_is_holder(c, az));
	if (!p->at_own)
		ctr_add(c->forwarded, 1);
	bus_send(c->env->bus, p->at_own ? TASK_MINION : TASK_PEER, msg);
}

/* Sends a call that may not be repeated to the holder of its key's zone. */
static void call_send_once(struct pending *p)
{
	const struct conf *conf = p->caller->env->conf;
	struct idem_key key;
	int zone = idem_parse(p->key, &key) ? zones_index(conf, key.az) : -1;

	if (zone < 0) {
		call_error(p, ERR_BAD_REQUEST, "the key is of no known zone");
		return;
	}
	p->tried |= 1ULL << zone;
	call_send(p, conf->zones[zone].az);
}

/*
 * Tries another daemon of the own zone, once, and then other zones for a call
 * that was not run. Returns false if there is
 * none, too little time, or the answer is final: a key of the caller binds the
 * call to the zone of the key.
 */
static bool call_next_zone(struct pending *p, const struct msg_call_reply *r)
{
	struct caller_task *c = p->caller;
	const struct conf *conf = c->env->conf;
	char key[MSG_NAME_MAX];
	int zone;

	if (r->outcome != OUTCOME_NOT_RUN ||
	    (r->err.kind != ERR_OVERLOADED && r->err.kind != ERR_UNREACHABLE &&
	     r->err.kind != ERR_NO_HOLDER && r->err.kind != ERR_DRAINING) ||
	    p->hops >= CALLER_ZONES_MAX || loop_now_ms() >= p->deadline_ms ||
	    p->gone)
		return false;
	if (p->once) {
		if (!p->minted || !zones_mint(c, p->tried, key, sizeof(key)))
			return false;
		memcpy(p->key, key, sizeof(p->key));
		p->hops++;
		call_send_once(p);
		return true;
	}
	if (p->at_own && !p->sibling && r->err.kind != ERR_OVERLOADED &&
	    zones_sibling(c)) {
		p->sibling = true;
		call_send(p, conf->az);
		return true;
	}
	zone = zones_next(c, p->tried);
	if (zone < 0)
		return false;
	p->hops++;
	p->tried |= 1ULL << zone;
	call_send(p, conf->zones[zone].az);
	return true;
}

/* Handles the reply of the minion task, or of the peer task. */
void call_reply(struct pending *p, struct msg *msg)
{
	if (!call_next_zone(p, &msg->call_reply))
		call_answer(p, msg);
}

/* Tells the minion task that the caller has gone; sent work goes on. */
void call_gone(struct pending *p)
{
	struct msg *msg;

	if (!p->at_own)
		return;
	msg = msg_new(MSG_CALL_CANCEL, TASK_CALLER, caller_pending_ref(p));
	bus_send(p->caller->env->bus, TASK_MINION, msg);
}

/* Answers a call for which no task has answered. */
void call_timeout(struct pending *p)
{
	call_error(p, ERR_LOST, "no answer");
}

static bool check_key(const struct incoming *in, const struct entry_info *info,
		      struct pending *p, struct err *err)
{
	struct idem_key key;

	if (!caller_key(in, p->key, sizeof(p->key), err))
		return false;
	if (!p->once)
		return true;
	if (p->key[0])
		return idem_parse(p->key, &key) ||
		       err_set(err, ERR_BAD_REQUEST,
			       "%s may not be repeated: the key has to be one "
			       "of POST /v1/keys",
			       info->name);
	p->minted = true;
	return zones_mint(in->caller, 0, p->key, sizeof(p->key)) ||
	       err_set(err, ERR_NO_HOLDER, "%s: no zone has a claim holder",
		       info->name);
}

static bool check_call(const struct incoming *in, struct entry_info *info,
		       uint32_t *deadline_ms, struct err *err)
{
	if (!entries_loaded(in->caller->entries))
		return err_set(err, ERR_UNREACHABLE, "no catalogue is known");
	if (!entries_find(in->caller->entries, in->name, info))
		return err_set(err, ERR_UNKNOWN_ENTRY, "no entry of that name");
	if (!info->interactive)
		return err_set(err, ERR_BAD_REQUEST,
			       "%s is not interactive; use /v1/jobs",
			       info->name);
	if (in->http->body_len > CALLER_CALL_MAX)
		return err_set(err, ERR_TOO_LARGE, "body over %u bytes",
			       CALLER_CALL_MAX);
	if (!parse_deadline(in, deadline_ms))
		return err_set(err, ERR_BAD_REQUEST, "bad X-Deadline-Ms");
	return true;
}

/* POST /v1/call/<entry> */
void call_post(const struct incoming *in)
{
	struct caller_task *c = in->caller;
	struct entry_info info = { 0 };
	struct err err = { 0 };
	struct pending *p;
	uint32_t wanted = 0;
	uint32_t limit;
	int own = zones_index(c->env->conf, c->env->conf->az);

	if (!check_call(in, &info, &wanted, &err)) {
		caller_reply_error(in->httpd, in->http->handle, &err,
				   err_outcome(err.kind), NULL);
		return;
	}
	p = caller_pending_new(in, PENDING_CALL);
	memcpy(p->entry, info.name, sizeof(p->entry));
	p->once = !info.repeat;
	limit = info.timeout_ms ? info.timeout_ms : CALL_TIMEOUT_MS;
	if (wanted && wanted < limit)
		limit = wanted;
	p->deadline_ms = loop_now_ms() + limit;
	if (!check_key(in, &info, p, &err)) {
		caller_reply_error(p->httpd, p->handle, &err,
				   err_outcome(err.kind), NULL);
		caller_pending_free(p);
		return;
	}
	p->body = buf_copy(in->http->body, in->http->body_len);
	timer_start(c->env->loop, &p->timer, limit + CALL_BACKSTOP_MS);
	if (p->once) {
		call_send_once(p);
		return;
	}
	if (own >= 0)
		p->tried |= 1ULL << own;
	call_send(p, NULL);
}
