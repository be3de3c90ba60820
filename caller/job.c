#include <string.h>

#include "caller.h"

#define JOB_TIMEOUT_MS 20000
#define JOB_ID_HEX_DIGITS_MAX 32

static void job_send(const struct caller_request *in, struct msg *msg)
{
	struct caller_task *c = in->caller;
	struct pending *p = caller_pending_new(in, PENDING_JOB);
	bool own = !strcmp(msg->job.az, c->env->conf->az) && c->claim.held;

	p->op = msg->job.op;
	msg->ref = caller_pending_ref(p);
	timer_start(c->env->loop, &p->timer, JOB_TIMEOUT_MS);
	if (!own)
		ctr_add(c->forwarded, 1);
	bus_send(c->env->bus, own ? TASK_SCHED : TASK_PEER, msg);
}

/* POST /v1/jobs */
void job_post(const struct caller_request *in)
{
	struct msg *msg = msg_new(MSG_JOB, TASK_CALLER, 0);
	struct err err = { 0 };
	json_t *json = caller_parse_json(in, &err);
	const char *home;

	if (!json)
		goto fail;
	if (!json_is_string(json_object_get(json, "entry"))) {
		err_set(&err, ERR_BAD_REQUEST, "the job has no entry name");
		goto fail;
	}
	if (!caller_read_key(in, msg->job.key, sizeof(msg->job.key), &err))
		goto fail;
	home = zones_home(in->caller->env->conf, msg->job.key);
	if (!home) {
		err_set(&err, ERR_BAD_REQUEST,
			"the zone of the key is not configured");
		goto fail;
	}
	msg->job.op = JOB_SUBMIT;
	memcpy(msg->job.az, home, strlen(home) + 1);
	msg->body = buf_copy(in->http->body, in->http->body_len);
	job_send(in, msg);
	json_decref(json);
	return;
fail:
	caller_reply_error(in->httpd, in->http->handle, &err,
			   err_outcome(err.kind), NULL);
	json_decref(json);
	msg_free(msg);
}

static bool is_hex(const char *p, size_t len)
{
	if (!len || len > JOB_ID_HEX_DIGITS_MAX)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!strchr("0123456789abcdef", p[i]))
			return false;
	}
	return true;
}

/*
 * Returns the zone of a job id, `<az>-<hex>-<hex>`, or NULL if the id is
 * malformed or its zone is not configured. The id is parsed from the end, as
 * zone names may contain dashes.
 */
static const char *job_zone(const struct conf *conf, const char *id)
{
	char az[MSG_NAME_MAX];
	const char *last = strrchr(id, '-');
	const char *first = last;
	int zone;

	if (!last || strlen(id) >= MSG_NAME_MAX ||
	    !is_hex(last + 1, strlen(last + 1)))
		return NULL;
	while (first > id && first[-1] != '-')
		first--;
	if (first == id || !is_hex(first, (size_t)(last - first)))
		return NULL;
	first--;
	memcpy(az, id, (size_t)(first - id));
	az[first - id] = '\0';
	zone = zones_index(conf, az);
	return zone < 0 ? NULL : conf->zones[zone].az;
}

static void job_by_id(const struct caller_request *in, enum job_op op)
{
	const char *az = job_zone(in->caller->env->conf, in->name);
	struct msg *msg;

	if (!az) {
		caller_reject(in, ERR_NOT_FOUND,
			      "malformed job id or unknown zone");
		return;
	}
	msg = msg_new(MSG_JOB, TASK_CALLER, 0);
	msg->job.op = op;
	memcpy(msg->job.az, az, strlen(az) + 1);
	memcpy(msg->job.id, in->name, strlen(in->name) + 1);
	job_send(in, msg);
}

/* GET /v1/jobs/<id> */
void job_get(const struct caller_request *in)
{
	job_by_id(in, JOB_STATUS);
}

/* DELETE /v1/jobs/<id> */
void job_delete(const struct caller_request *in)
{
	job_by_id(in, JOB_CANCEL);
}

/* Handles the reply of the sched or peer task to a job request. */
void job_reply(struct pending *p, const struct msg *msg)
{
	const struct msg_job_reply *r = &msg->job_reply;
	bool accepted = r->outcome == OUTCOME_ACCEPTED;
	struct caller_response out = {
		.status = accepted && p->op != JOB_STATUS ? 202 : 200,
		.outcome = r->outcome,
		.content_type = "application/json",
		.body = msg->body.len ? msg->body.data : "{}",
		.len = msg->body.len ? msg->body.len : 2,
	};

	if (r->err.kind == ERR_NONE)
		caller_reply(p->httpd, p->handle, &out);
	else
		caller_reply_error(p->httpd, p->handle, &r->err, r->outcome,
				   NULL);
	caller_pending_free(p);
}

/* Fails a job request for which no task has replied. */
void job_timeout(struct pending *p)
{
	struct err err = { 0 };

	err_set(&err, ERR_LOST, "no answer from the home zone of the job");
	caller_reply_error(p->httpd, p->handle, &err, OUTCOME_UNKNOWN, NULL);
	caller_pending_free(p);
}
