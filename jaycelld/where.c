/*
 * Answers operators where a job would start now: the holder explains, the other
 * daemons name the holder. Nothing is stored.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "holder_int.h"
#include "platform/decode.h"

struct wait_query {
	const char *queue;
	uint32_t wait_ms;
};

static void on_overload(void *ctx, const char *queue, uint32_t wait_ms)
{
	struct wait_query *q = ctx;

	if (!strcmp(q->queue, queue))
		q->wait_ms = wait_ms;
}

static json_t *rank_json(uint32_t rank)
{
	json_t *list = json_array();

	for (uint32_t bit = 1; bit && bit <= rank; bit <<= 1) {
		if (rank & bit)
			json_array_append_new(list,
					      json_string(cell_rank_name(bit)));
	}
	return list;
}

static json_t *minion_json(const struct cell_where_minion *m)
{
	json_t *json =
		json_pack("{s:s,s:s,s:I}", "minion", m->id, "rack", m->rack,
			  "free_cpu_milli", (json_int_t)m->free_cpu_milli);

	if (m->excluded) {
		json_object_set_new(
			json, "excluded",
			json_string(cell_excluded_name(m->excluded)));
		return json;
	}
	json_object_set_new(json, "slots", json_integer(m->slots));
	json_object_set_new(json, "tasks", json_integer(m->tasks));
	json_object_set_new(json, "penalties", rank_json(m->rank));
	return json;
}

/* Returns why a submission of the job would be refused, or NULL. */
static const char *refusal(const struct holder *h,
			   const struct cell_job_spec *spec,
			   const struct cell_queue_spec *queue)
{
	const struct cell_config *config = config_current(h->d->config);
	const struct cell_team_spec *team =
		spec->team[0] ? cell_config_team(config, spec->team) : NULL;
	struct wait_query wait = { .queue = queue->name };

	if (spec->team[0] && !team)
		return "no such team";
	for (uint32_t i = 0; team && i < spec->step_count; i++) {
		if (!cell_team_admits(team, &spec->steps[i]))
			return "a step needs more than the limit of the team";
	}
	holder_each_overload(h, on_overload, &wait);
	return cell_job_is_late(queue, spec, wait.wait_ms)
		       ? "the queue is overloaded"
		       : NULL;
}

static json_t *step_json(struct holder *h, const struct cell_job_spec *spec,
			 uint32_t index, const struct cell_queue_spec *queue)
{
	const struct cell_step_spec *step = &spec->steps[index];
	struct cell_where where;
	json_t *minions = json_array();
	json_t *json;

	cell_where(h->cell, spec, index, &where, loop_now_ms());
	for (uint32_t i = 0; i < where.minion_count; i++)
		json_array_append_new(minions, minion_json(&where.minions[i]));
	json = json_pack("{s:i,s:I,s:b,s:b,s:b,s:I,s:I,s:I,s:I,s:o}", "step",
			 (int)index, "tasks", (json_int_t)step->count, "gang",
			 step->gang, "after_others", step->after != 0,
			 "ticket_needed", queue->advice.needed, "ahead",
			 (json_int_t)where.ahead, "slots",
			 (json_int_t)where.slots, "starts",
			 (json_int_t)where.starts, "minions_with_room_if_empty",
			 (json_int_t)where.ever, "minions", minions);
	cell_where_free(&where);
	return json;
}

static json_t *explain(struct holder *h, const struct cell_job_spec *spec,
		       const struct cell_queue_spec *queue)
{
	const char *why = refusal(h, spec, queue);
	json_t *steps = json_array();
	json_t *json = json_pack("{s:s,s:s,s:i,s:o}", "queue", queue->name,
				 "holder", h->d->conf.name, "priority",
				 (int)queue->priority, "steps", steps);

	if (why)
		json_object_set_new(json, "refusal", json_string(why));
	for (uint32_t i = 0; i < spec->step_count; i++)
		json_array_append_new(steps, step_json(h, spec, i, queue));
	return json;
}

/* Returns the HTTP status, and sets *@json to the answer. */
static int answer(struct celld *d, const char *queue_name, const char *team,
		  const char *body, size_t len, json_t **json)
{
	const struct cell_config *config = config_current(d->config);
	const struct cell_queue_spec *queue;
	struct cell_job_spec spec;
	struct err err = { 0 };

	if (!d->holder || !holder_ready(d->holder)) {
		*json = json_pack("{s:s,s:s}", "error", "not-holder", "holder",
				  terms_holder(d->terms));
		return 503;
	}
	queue = config ? cell_config_queue(config, queue_name) : NULL;
	if (!queue) {
		*json = json_pack("{s:s,s:s}", "error", "not-found", "detail",
				  "no such queue");
		return 404;
	}
	if (!pf_decode_job(body, len, &spec, &err)) {
		*json = json_pack("{s:s,s:s}", "error", "bad-request", "detail",
				  err.text);
		return 400;
	}
	snprintf(spec.id, sizeof(spec.id), "where");
	snprintf(spec.queue, sizeof(spec.queue), "%s", queue->name);
	snprintf(spec.team, sizeof(spec.team), "%s", team);
	spec.accepted_unix_ms = cd_unix_ms();
	*json = explain(d->holder, &spec, queue);
	cell_job_spec_free(&spec);
	return 200;
}

/*
 * Explains where the job in @body would start, as submitted to @queue by @team,
 * which may be empty. Returns the HTTP status, and the answer in @out.
 */
int where_answer(struct celld *d, const char *queue, const char *team,
		 const char *body, size_t len, struct buf *out)
{
	json_t *json;
	int status = answer(d, queue, team, body, len, &json);
	char *text = json_dumps(json, JSON_COMPACT);

	*out = buf_str(text ? text : "{}");
	free(text);
	json_decref(json);
	return status;
}
