#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "caller.h"
#include "tl.h"

#define OPERATOR_EDIT_TIMEOUT_MS 15000
#define OPERATOR_TIMELINE_TIMEOUT_MS 3000
#define BEARER "Bearer "

/*
 * Returns true if the request carries the shared key. Compares digests of
 * equal length in constant time, which reveals neither the key nor its length.
 */
bool operator_allowed(const struct caller_request *in)
{
	const struct conf *conf = in->caller->env->conf;
	char value[CONF_KEY_MAX + sizeof(BEARER) + 1];
	unsigned char given[SHA256_DIGEST_LENGTH];
	unsigned char expected[SHA256_DIGEST_LENGTH];
	const char *key = value + strlen(BEARER);

	if (!conf->key_len ||
	    !httpd_header(in->http, "authorization", value, sizeof(value)) ||
	    strncmp(value, BEARER, strlen(BEARER)) != 0)
		return false;
	SHA256((const unsigned char *)key, strlen(key), given);
	SHA256(conf->key, conf->key_len, expected);
	return CRYPTO_memcmp(given, expected, sizeof(given)) == 0;
}

/* GET /v1/catalogue */
void operator_catalogue(const struct caller_request *in)
{
	struct caller_response out = {
		.status = 200,
		.outcome = OUTCOME_DONE,
		.content_type = "application/json",
	};
	struct buf document;

	if (!entries_loaded(in->caller->entries)) {
		caller_reject(in, ERR_UNREACHABLE,
			      "no catalogue is loaded yet");
		return;
	}
	document = entries_document(in->caller->entries);
	out.body = document.data;
	out.len = document.len;
	caller_reply(in->httpd, in->http->handle, &out);
	buf_free(&document);
}

/* PUT /v1/catalogue {revision, changes: [...]} */
void operator_edit(const struct caller_request *in)
{
	struct err err = { 0 };
	json_t *json = caller_parse_json(in, &err);
	json_t *revision = json_object_get(json, "revision");
	json_t *changes = json_object_get(json, "changes");
	struct pending *p;
	struct msg *msg;
	char *text;

	if (!json)
		goto fail;
	if (!json_is_integer(revision) || json_integer_value(revision) < 0 ||
	    !json_is_array(changes)) {
		err_set(&err, ERR_BAD_REQUEST,
			"an edit requires a revision and an array of changes");
		goto fail;
	}
	p = caller_pending_new(in, PENDING_EDIT);
	msg = msg_new(MSG_CAT_EDIT, TASK_CALLER, caller_pending_ref(p));
	msg->cat_edit.revision = (uint64_t)json_integer_value(revision);
	httpd_header(in->http, "x-operator", msg->cat_edit.operator_name,
		     sizeof(msg->cat_edit.operator_name));
	text = json_dumps(changes, JSON_COMPACT);
	msg->body = buf_str(text);
	free(text);
	timer_start(in->caller->env->loop, &p->timer, OPERATOR_EDIT_TIMEOUT_MS);
	bus_send(in->caller->env->bus, TASK_CATALOGUE, msg);
	json_decref(json);
	return;
fail:
	caller_reply_error(in->httpd, in->http->handle, &err,
			   err_outcome(err.kind), NULL);
	json_decref(json);
}

/* Handles the reply of the catalogue task. */
void operator_edit_reply(struct pending *p, const struct msg *msg)
{
	const struct msg_cat_edit_reply *r = &msg->cat_edit_reply;

	if (r->err.kind == ERR_NONE)
		caller_reply_json(p->httpd, p->handle, 200,
				  json_pack("{s:I}", "revision",
					    (json_int_t)r->revision));
	else
		caller_reply_error(p->httpd, p->handle, &r->err,
				   err_outcome(r->err.kind), NULL);
	caller_pending_free(p);
}

/* Fails an edit for which the catalogue task has not replied. */
void operator_edit_timeout(struct pending *p)
{
	struct err err = { 0 };

	err_set(&err, ERR_LOST, "no answer; the edit may have taken effect");
	caller_reply_error(p->httpd, p->handle, &err, OUTCOME_UNKNOWN, NULL);
	caller_pending_free(p);
}

/* Sends the timelines received so far, and the daemons that are missing. */
void operator_timeline_end(struct pending *p)
{
	json_t *json = json_pack("{s:O,s:O}", "daemons", p->daemons, "missing",
				 p->missing);

	caller_reply_json(p->httpd, p->handle, 200, json);
	caller_pending_free(p);
}

static void missing_remove(json_t *missing, const char *id)
{
	for (size_t i = 0; i < json_array_size(missing); i++) {
		const char *item =
			json_string_value(json_array_get(missing, i));

		if (item && !strcmp(item, id)) {
			json_array_remove(missing, i);
			return;
		}
	}
}

/* Adds the events of one daemon; responds when all daemons have replied. */
void operator_timeline_reply(struct pending *p, const struct msg *msg)
{
	json_t *json;

	if (!msg->peer.answered)
		return;
	json = json_loadb(msg->body.data ? msg->body.data : "", msg->body.len,
			  0, NULL);
	if (!json)
		return;
	json_array_append_new(p->daemons, json);
	missing_remove(p->missing, msg->peer.peer);
	if (!json_array_size(p->missing))
		operator_timeline_end(p);
}

static void request_peer_timelines(struct pending *p, uint64_t since)
{
	struct caller_task *c = p->caller;

	for (uint32_t i = 0; c->peers && i < c->peers->count; i++) {
		const struct peer_info *peer = &c->peers->peers[i];
		struct msg *msg;

		if (!strcmp(peer->id, c->env->conf->id))
			continue;
		json_array_append_new(p->missing, json_string(peer->id));
		msg = msg_new(MSG_TIMELINE, TASK_CALLER, caller_pending_ref(p));
		memcpy(msg->peer.peer, peer->id, sizeof(msg->peer.peer));
		msg->peer.since = since;
		bus_send(c->env->bus, TASK_PEER, msg);
	}
}

/* GET /v1/timeline?since=&all=1 */
void operator_timeline(const struct caller_request *in)
{
	char value[24] = "";
	uint64_t since = 0;
	struct pending *p;

	if (httpd_query(in->http, "since", value, sizeof(value)))
		since = strtoull(value, NULL, 10);
	if (!httpd_query(in->http, "all", value, sizeof(value)) ||
	    strcmp(value, "1") != 0) {
		caller_reply_json(in->httpd, in->http->handle, 200,
				  tl_since(since));
		return;
	}
	p = caller_pending_new(in, PENDING_TIMELINE);
	p->daemons = json_array();
	p->missing = json_array();
	json_array_append_new(p->daemons, tl_since(since));
	request_peer_timelines(p, since);
	if (!json_array_size(p->missing))
		operator_timeline_end(p);
	else
		timer_start(in->caller->env->loop, &p->timer,
			    OPERATOR_TIMELINE_TIMEOUT_MS);
}

static json_t *peer_json(const struct peer_info *p, uint64_t now)
{
	return json_pack("{s:s,s:s,s:s,s:b,s:b,s:b,s:I,s:I,s:I,s:I,s:I,s:I}",
			 "id", p->id, "az", p->az, "region", p->region, "alive",
			 p->alive, "holder", p->holder, "draining", p->draining,
			 "epoch", (json_int_t)p->epoch, "window",
			 (json_int_t)p->window, "catalogue_revision",
			 (json_int_t)p->cat_revision, "heard_ms_ago",
			 (json_int_t)(now > p->last_frame_ms
					      ? now - p->last_frame_ms
					      : 0),
			 "free_milli", (json_int_t)p->free_milli, "in_flight",
			 (json_int_t)p->inflight);
}

/* GET /v1/peers */
void operator_peers(const struct caller_request *in)
{
	const struct caller_task *c = in->caller;
	json_t *peers = json_array();
	uint64_t now = loop_now_ms();

	for (uint32_t i = 0; c->peers && i < c->peers->count; i++)
		json_array_append_new(peers,
				      peer_json(&c->peers->peers[i], now));
	caller_reply_json(in->httpd, in->http->handle, 200,
			  json_pack("{s:s,s:s,s:o}", "id", c->env->conf->id,
				    "az", c->env->conf->az, "peers", peers));
}

/* GET /metrics */
void operator_metrics(const struct caller_request *in)
{
	struct buf text = ctr_prometheus();
	struct caller_response out = {
		.status = 200,
		.outcome = OUTCOME_DONE,
		.content_type = "text/plain; version=0.0.4",
		.body = text.data,
		.len = text.len,
	};

	caller_reply(in->httpd, in->http->handle, &out);
	buf_free(&text);
}

static json_t *claim_json(const struct msg_claim *claim)
{
	json_t *members = json_array();

	for (uint32_t i = 0; i < claim->member_count; i++)
		json_array_append_new(members, json_string(claim->members[i]));
	return json_pack("{s:s,s:b,s:I,s:I,s:I,s:o}", "holder", claim->holder,
			 "held", claim->held, "epoch", (json_int_t)claim->epoch,
			 "window", (json_int_t)claim->window, "members_version",
			 (json_int_t)claim->members_version, "members",
			 members);
}

/* GET /v1/stats */
void operator_stats(const struct caller_request *in)
{
	const struct caller_task *c = in->caller;
	const struct conf *conf = c->env->conf;

	caller_reply_json(
		in->httpd, in->http->handle, 200,
		json_pack("{s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:I,s:I,s:o}", "id",
			  conf->id, "az", conf->az, "region", conf->region,
			  "ready", caller_ready(c), "draining", c->draining,
			  "catalogue_revision",
			  (json_int_t)entries_revision(c->entries),
			  "open_requests", (json_int_t)c->open, "requests",
			  (json_int_t)ctr_value(c->requests), "forwarded",
			  (json_int_t)ctr_value(c->forwarded), "claim",
			  claim_json(&c->claim)));
}
