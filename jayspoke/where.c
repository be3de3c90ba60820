/* where: where a job would start now in a cell, and why. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jayspoke.h"

/* Candidates that are printed by step, the best first. */
#define ROWS_MAX 10

static const char *get_string(const json_t *object, const char *key)
{
	const char *s = json_string_value(json_object_get(object, key));

	return s ? s : "";
}

static long long get_integer(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static bool is_true(const json_t *object, const char *key)
{
	return json_is_true(json_object_get(object, key));
}

static void print_candidate(const json_t *m)
{
	const json_t *penalties = json_object_get(m, "penalties");

	printf("  %s %s: free_cpu_milli=%lld slots=%lld tasks=%lld",
	       get_string(m, "minion"), get_string(m, "rack"),
	       get_integer(m, "free_cpu_milli"), get_integer(m, "slots"),
	       get_integer(m, "tasks"));
	for (size_t i = 0; i < json_array_size(penalties); i++)
		printf("%s%s", i ? ", " : " behind others: ",
		       json_string_value(json_array_get(penalties, i)));
	printf("\n");
}

/* Prints how many minions are excluded, by reason. */
static void print_excluded(const json_t *minions)
{
	json_t *counts = json_object();
	const char *reason;
	json_t *count;

	for (size_t i = 0; i < json_array_size(minions); i++) {
		const char *why =
			get_string(json_array_get(minions, i), "excluded");

		if (*why)
			json_object_set_new(
				counts, why,
				json_integer(get_integer(counts, why) + 1));
	}
	json_object_foreach(counts, reason, count)
	{
		printf("  excluded: %lld minions, %s\n",
		       (long long)json_integer_value(count), reason);
	}
	json_decref(counts);
}

static void print_step(const json_t *step)
{
	const json_t *minions = json_object_get(step, "minions");
	size_t printed = 0;

	printf("step %lld: %lld of %lld tasks would start now%s%s%s\n",
	       get_integer(step, "step"), get_integer(step, "starts"),
	       get_integer(step, "tasks"),
	       is_true(step, "gang") ? " (gang)" : "",
	       is_true(step, "after_others") ? ", once others are done" : "",
	       is_true(step, "ticket_needed")
		       ? ", where the advice service gives tickets"
		       : "");
	printf("  ahead: %lld steps; free slots: %lld; minions with room for "
	       "a task if empty: %lld\n",
	       get_integer(step, "ahead"), get_integer(step, "slots"),
	       get_integer(step, "minions_with_room_if_empty"));
	for (size_t i = 0; i < json_array_size(minions); i++) {
		const json_t *m = json_array_get(minions, i);

		if (*get_string(m, "excluded") || printed == ROWS_MAX)
			break;
		print_candidate(m);
		printed++;
	}
	print_excluded(minions);
}

static void print_where(const json_t *json)
{
	const json_t *steps = json_object_get(json, "steps");
	const char *refusal = get_string(json, "refusal");

	printf("queue %s, priority %lld, holder %s\n",
	       get_string(json, "queue"), get_integer(json, "priority"),
	       get_string(json, "holder"));
	if (*refusal)
		printf("would be refused: %s\n", refusal);
	for (size_t i = 0; i < json_array_size(steps); i++)
		print_step(json_array_get(steps, i));
}

/* Asks the daemons in turn until the holder answers. */
static void ask(const struct options *options, const char *path,
		const char *job, struct answer *answer)
{
	struct request request = { .api = API_OPERATORS,
				   .method = "POST",
				   .path = path,
				   .body = job };
	const char *p = options->operators;

	*answer = (struct answer){ .exit = EXIT_REFUSED };
	while (*p) {
		struct options one = *options;
		size_t len = strcspn(p, ",");

		snprintf(one.operators, sizeof(one.operators), "%.*s", (int)len,
			 p);
		answer_free(answer);
		client_send(&one, &request, answer);
		if (answer->status && strcmp(answer->error, "not-holder") != 0)
			return;
		p += len + (p[len] == ',');
	}
}

/* jayspoke where QUEUE FILE */
enum exit_status command_where(int argc, char **argv)
{
	struct options options = { .command = "where" };
	struct arg_str *team =
		arg_str0(NULL, "team", "NAME", "team that submits the job");
	struct arg_str *queue = arg_str1(NULL, NULL, "QUEUE", "its queue");
	struct arg_str *file =
		arg_str1(NULL, NULL, "FILE", "the job as JSON, - for stdin");
	void *table[] = { team, queue, file };
	enum exit_status exit;
	struct answer answer;
	struct buf job = { 0 };
	struct buf path;

	if (!options_parse(&options, argc, argv, table, 3, &exit))
		return exit;
	if (!options.operators[0])
		return usage_error(&options, "no address",
				   "give --operators or set "
				   "JAYSPOKE_OPERATORS");
	if (!options_is_name(queue->sval[0]))
		return usage_error(&options, "not a queue", queue->sval[0]);
	if (team->count && !options_is_name(team->sval[0]))
		return usage_error(&options, "not a team", team->sval[0]);
	if (!read_text(file->sval[0], &job))
		return EXIT_USAGE;
	path = buf_fmt("/where?queue=%s&team=%s", queue->sval[0],
		       team->count ? team->sval[0] : "");
	ask(&options, path.data, job.data, &answer);
	client_report(&options, &answer);
	if (!strcmp(answer.error, "not-holder"))
		fprintf(stderr,
			"jayspoke where: ask the holder, %s: give the "
			"operators' ports of all daemons\n",
			get_string(answer.json, "holder"));
	exit = answer.exit;
	if (exit == EXIT_OK && options.json)
		print_json(answer.json, false);
	else if (exit == EXIT_OK)
		print_where(answer.json);
	answer_free(&answer);
	buf_free(&path);
	buf_free(&job);
	return exit;
}
