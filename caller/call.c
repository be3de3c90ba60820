#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"
#include "retry.h"

/* Default timeout of an entry. */
#define CALL_TIMEOUT_MS 10000
/* Tasks reply by the deadline; a call without a reply fails this much later. */
#define CALL_REPLY_GRACE_MS 3000

static bool parse_deadline(const struct caller_request *in, uint32_t *ms)
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
 * Returns the outcome to report to the caller. With a key of the caller, an
 * earlier attempt may have run, which only the holder of the key can rule out:
 * with the error kinds that others return, "not run" becomes "unknown".
 */
static enum outcome client_outcome(const struct pending *p,
				   const struct msg_call_reply *r)
{
	if (!p->at_most_once || p->key_generated ||
	    r->outcome != OUTCOME_NOT_RUN || r->err.kind == ERR_OVERLOADED ||
	    r->err.kind == ERR_DEADLINE || r->err.kind == ERR_CANCELLED ||
	    r->err.kind == ERR_LIMIT)
		return r->outcome;
	return OUTCOME_UNKNOWN;
}

/* Ends the request with the minion's response, or with the reply's error. */
static void call_respond(struct pending *p, const struct msg *msg)
{
	const struct msg_call_reply *r = &msg->call_reply;
	char headers[128] = "";
	struct caller_response out = {
		.status = r->http_status,
		.outcome = client_outcome(p, r),
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
	call_respond(p, msg);
	msg_free(msg);
}

/* Sends the call to the local minion task (@az NULL) or to a daemon of @az. */
static void call_send(struct pending *p, const char *az)
{
	struct caller_task *c = p->caller;
	struct msg *msg = msg_new(MSG_CALL, TASK_CALLER, caller_pending_ref(p));
	struct msg_call *call = &msg->call;

	memcpy(call->entry, p->entry, sizeof(call->entry));
	memcpy(call->key, p->key, sizeof(call->key));
	snprintf(call->az, sizeof(call->az), "%s", az ? az : "");
	call->deadline_ms = retry_left_ms(p->deadline_ms, loop_now_ms());
	call->to_holder = p->at_most_once;
	msg->body = buf_copy(p->body.data ? p->body.data : "", p->body.len);
	p->sent_local = !az || (p->at_most_once && zones_is_holder(c, az));
	if (!p->sent_local)
		ctr_add(c->forwarded, 1);
	bus_send(c->env->bus, p->sent_local ? TASK_MINION : TASK_PEER, msg);
}

/* Sends an at-most-once call to the claim holder of its key's zone. */
static void call_send_to_holder(struct pending *p)
{
	const struct conf *conf = p->caller->env->conf;
	struct idem_key key;
	int zone = idem_parse(p->key, &key) ? zones_index(conf, key.az) : -1;

	if (zone < 0) {
		call_error(p, ERR_BAD_REQUEST,
			   "the zone of the key is not configured");
		return;
	}
	p->tried_zones |= 1ULL << zone;
	call_send(p, conf->zones[zone].az);
}

/*
 * Retries a call that was not run: once on another daemon of the own zone, then
 * in other zones. Returns false if there is no candidate, the deadline has
 * passed or the reply is final. A key of the caller binds the call to the zone
 * of the key.
 */
static bool call_retry_elsewhere(struct pending *p,
				 const struct msg_call_reply *r)
{
	struct caller_task *c = p->caller;
	const struct conf *conf = c->env->conf;
	char key[MSG_NAME_MAX];
	int zone;

	if (r->outcome != OUTCOME_NOT_RUN ||
	    (r->err.kind != ERR_OVERLOADED && r->err.kind != ERR_UNREACHABLE &&
	     r->err.kind != ERR_NO_HOLDER && r->err.kind != ERR_DRAINING) ||
	    p->hops >= CALLER_RETRY_ZONES_MAX ||
	    loop_now_ms() >= p->deadline_ms || p->disconnected)
		return false;
	if (p->at_most_once) {
		if (!p->key_generated ||
		    !zones_issue_key(c, p->tried_zones, key, sizeof(key)))
			return false;
		memcpy(p->key, key, sizeof(p->key));
		p->hops++;
		call_send_to_holder(p);
		return true;
	}
	if (p->sent_local && !p->tried_local_peer &&
	    r->err.kind != ERR_OVERLOADED && zones_has_local_peer(c)) {
		p->tried_local_peer = true;
		call_send(p, conf->az);
		return true;
	}
	zone = zones_next(c, p->tried_zones);
	if (zone < 0)
		return false;
	p->hops++;
	p->tried_zones |= 1ULL << zone;
	call_send(p, conf->zones[zone].az);
	return true;
}

/* Handles the reply of the minion or peer task to a call. */
void call_reply(struct pending *p, struct msg *msg)
{
	if (!call_retry_elsewhere(p, &msg->call_reply))
		call_respond(p, msg);
}

/* Cancels a call in the local minion task; a sent request continues. */
void call_cancel(struct pending *p)
{
	struct msg *msg;

	if (!p->sent_local)
		return;
	msg = msg_new(MSG_CALL_CANCEL, TASK_CALLER, caller_pending_ref(p));
	bus_send(p->caller->env->bus, TASK_MINION, msg);
}

/* Fails a call for which no task has replied. */
void call_timeout(struct pending *p)
{
	call_error(p, ERR_LOST, "no answer");
}

static bool check_key(const struct caller_request *in,
		      const struct entry_info *info, struct pending *p,
		      struct err *err)
{
	struct idem_key key;

	if (!caller_read_key(in, p->key, sizeof(p->key), err))
		return false;
	if (!p->at_most_once)
		return true;
	if (p->key[0])
		return idem_parse(p->key, &key) ||
		       err_set(err, ERR_BAD_REQUEST,
			       "%s is not repeatable: the key must be issued "
			       "by POST /v1/keys",
			       info->name);
	p->key_generated = true;
	return zones_issue_key(in->caller, 0, p->key, sizeof(p->key)) ||
	       err_set(err, ERR_NO_HOLDER,
		       "%s: no zone has a known claim holder", info->name);
}

static bool check_call(const struct caller_request *in, struct entry_info *info,
		       uint32_t *deadline_ms, struct err *err)
{
	if (!entries_loaded(in->caller->entries))
		return err_set(err, ERR_UNREACHABLE,
			       "no catalogue is loaded yet");
	if (!entries_find(in->caller->entries, in->name, info))
		return err_set(err, ERR_UNKNOWN_ENTRY,
			       "no entry with this name");
	if (!info->interactive)
		return err_set(err, ERR_BAD_REQUEST,
			       "%s is not interactive; use /v1/jobs",
			       info->name);
	if (in->http->body_len > CALLER_CALL_BYTES_MAX)
		return err_set(err, ERR_TOO_LARGE, "body over %u bytes",
			       CALLER_CALL_BYTES_MAX);
	if (!parse_deadline(in, deadline_ms))
		return err_set(err, ERR_BAD_REQUEST,
			       "X-Deadline-Ms: not a positive integer");
	return true;
}

/* POST /v1/call/<entry> */
void call_post(const struct caller_request *in)
{
	struct caller_task *c = in->caller;
	struct entry_info info = { 0 };
	struct err err = { 0 };
	struct pending *p;
	uint32_t requested_ms = 0;
	uint32_t timeout_ms;
	int own = zones_index(c->env->conf, c->env->conf->az);

	if (!check_call(in, &info, &requested_ms, &err)) {
		caller_reply_error(in->httpd, in->http->handle, &err,
				   err_outcome(err.kind), NULL);
		return;
	}
	p = caller_pending_new(in, PENDING_CALL);
	memcpy(p->entry, info.name, sizeof(p->entry));
	p->at_most_once = !info.repeat;
	timeout_ms = info.timeout_ms ? info.timeout_ms : CALL_TIMEOUT_MS;
	if (requested_ms && requested_ms < timeout_ms)
		timeout_ms = requested_ms;
	p->deadline_ms = loop_now_ms() + timeout_ms;
	if (!check_key(in, &info, p, &err)) {
		caller_reply_error(p->httpd, p->handle, &err,
				   err_outcome(err.kind), NULL);
		caller_pending_free(p);
		return;
	}
	p->body = buf_copy(in->http->body, in->http->body_len);
	timer_start(c->env->loop, &p->timer, timeout_ms + CALL_REPLY_GRACE_MS);
	if (p->at_most_once) {
		call_send_to_holder(p);
		return;
	}
	if (own >= 0)
		p->tried_zones |= 1ULL << own;
	call_send(p, NULL);
}
