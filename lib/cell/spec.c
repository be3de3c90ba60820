#include "cell/spec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Frees what @spec points to, but not @spec itself. */
void cell_job_spec_free(struct cell_job_spec *spec)
{
	free(spec->payload);
	free(spec->steps);
	*spec = (struct cell_job_spec){ 0 };
}

/* Frees what @team points to, but not @team itself. */
void cell_team_spec_free(struct cell_team_spec *team)
{
	for (uint32_t i = 0; i < team->key_count; i++)
		free(team->keys[i]);
	free(team->keys);
	*team = (struct cell_team_spec){ 0 };
}

/* Frees what @config points to, but not @config itself. */
void cell_config_free(struct cell_config *config)
{
	for (uint32_t i = 0; i < config->queue_count; i++) {
		free(config->queues[i].host);
		free(config->queues[i].prefix);
	}
	free(config->queues);
	for (uint32_t i = 0; i < config->team_count; i++)
		cell_team_spec_free(&config->teams[i]);
	free(config->teams);
	*config = (struct cell_config){ 0 };
}

/*
 * Returns true if the configuration lists teams. Malformed ones count: a
 * configuration of which no team can be read must not admit everyone.
 */
bool cell_config_has_teams(const struct cell_config *config)
{
	return config->team_count || config->malformed_teams;
}

/* Returns the team of that name, or NULL. */
const struct cell_team_spec *cell_config_team(const struct cell_config *config,
					      const char *name)
{
	for (uint32_t i = 0; i < config->team_count; i++) {
		if (!strcmp(config->teams[i].name, name))
			return &config->teams[i];
	}
	return NULL;
}

/* Returns the queue of that name, or NULL. */
const struct cell_queue_spec *
cell_config_queue(const struct cell_config *config, const char *name)
{
	for (uint32_t i = 0; i < config->queue_count; i++) {
		if (!strcmp(config->queues[i].name, name))
			return &config->queues[i];
	}
	return NULL;
}

/* Returns the queue of @host with the longest matching path prefix, or NULL. */
const struct cell_queue_spec *
cell_config_route(const struct cell_config *config, const char *host,
		  const char *path)
{
	const struct cell_queue_spec *best = NULL;
	size_t best_len = 0;

	for (uint32_t i = 0; i < config->queue_count; i++) {
		const struct cell_queue_spec *q = &config->queues[i];
		size_t len = strlen(q->prefix);

		if (strcmp(q->host, host) != 0 ||
		    strncmp(q->prefix, path, len) != 0)
			continue;
		if (!best || len > best_len) {
			best = q;
			best_len = len;
		}
	}
	return best;
}

/* Formats a task name as "JOB.OCCURRENCE.STEP.INDEX". */
void cell_task_format(const struct cell_task_name *name,
		      char out[CELL_TASK_MAX])
{
	snprintf(out, CELL_TASK_MAX, "%s.%u.%u.%u", name->job, name->occurrence,
		 name->step, name->index);
}

static bool parse_number(const char **p, uint32_t *out)
{
	char *end;
	unsigned long v;

	if (**p < '0' || **p > '9')
		return false;
	v = strtoul(*p, &end, 10);
	if (v > UINT32_MAX)
		return false;
	*out = (uint32_t)v;
	*p = end;
	return true;
}

/* Parses a task name; returns false if it is malformed. */
bool cell_task_parse(const char *text, struct cell_task_name *name)
{
	const char *dot = strchr(text, '.');
	size_t len = dot ? (size_t)(dot - text) : 0;
	const char *p = dot;

	if (!dot || !len || len >= sizeof(name->job))
		return false;
	memcpy(name->job, text, len);
	name->job[len] = '\0';
	p++;
	if (!parse_number(&p, &name->occurrence) || *p++ != '.')
		return false;
	if (!parse_number(&p, &name->step) || *p++ != '.')
		return false;
	return parse_number(&p, &name->index) && !*p;
}

/* Returns the length of the critical path by the step estimates, in ms. */
uint64_t cell_critical_path_ms(const struct cell_job_spec *spec)
{
	uint64_t at[CELL_STEPS_MAX] = { 0 };
	uint64_t longest = 0;

	for (uint32_t i = 0; i < spec->step_count; i++) {
		uint64_t before = 0;

		for (uint32_t k = 0; k < i; k++) {
			if ((spec->steps[i].after >> k & 1) && at[k] > before)
				before = at[k];
		}
		at[i] = before + spec->steps[i].estimate_ms;
		if (at[i] > longest)
			longest = at[i];
	}
	return longest;
}
