#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jayspoke.h"

#define SUBMIT_ATTEMPTS 3 /* under one idempotency key */
#define POLL_MIN_MS 200
#define POLL_MAX_MS 2000
/* Consecutive failed polls after which --wait gives up. */
#define POLL_FAILURES_MAX 30

struct submit {
	struct options options;
	struct arg_str *entry;
	struct arg_str *input;
	struct arg_int *tasks;
	struct arg_int *deadline;
	struct arg_str *key;
	struct arg_lit *wait;
};

static bool is_accepted(const struct answer *a)
{
	return !strcmp(a->outcome, outcome_name(OUTCOME_ACCEPTED));
}

/* Prints the answer or its error, frees it, and returns the exit status. */
static enum exit_status print_result(const struct options *options,
				     struct answer *a)
{
	enum exit_status exit = a->exit;

	if ((a->status && a->status < 400) || exit == EXIT_OK)
		print_answer(options, a);
	else if (options->json && a->json)
		print_json(a->json, false);
	if (exit != EXIT_OK)
		client_report(options, a);
	answer_free(a);
	return exit;
}

/* Returns the JSON body of the request, or NULL after printing an error. */
static char *build_submission(const struct submit *s)
{
	json_t *json = json_pack("{s:s}", "entry", s->entry->sval[0]);
	struct buf input = { 0 };
	char *text = NULL;
	json_t *value;

	if (s->input->count && !strcmp(s->input->sval[0], "-")) {
		if (!read_text("-", &input))
			goto out;
	} else if (s->input->count) {
		input = buf_str(s->input->sval[0]);
	}
	value = json_stringn(input.data ? input.data : "", input.len);
	if (!value) {
		usage_error(&s->options, "input", "not UTF-8 text");
		goto out;
	}
	json_object_set_new(json, "input", value);
	if (s->tasks->count)
		json_object_set_new(json, "tasks",
				    json_integer(s->tasks->ival[0]));
	if (s->deadline->count)
		json_object_set_new(json, "deadline_ms",
				    json_integer(s->deadline->ival[0]));
	text = json_dumps(json, JSON_COMPACT);
out:
	buf_free(&input);
	json_decref(json);
	return text;
}

/*
 * Gets an idempotency key from the daemon, so that a submission can be retried
 * safely if its answer is lost.
 */
static enum exit_status request_key(const struct options *options, char *key,
				    size_t size)
{
	struct request request = { .api = API_CALLERS,
				   .method = "POST",
				   .path = "/v1/keys" };
	struct answer answer;
	const char *value;
	enum exit_status exit;

	client_send(options, &request, &answer);
	exit = answer.exit;
	value = json_string_value(json_object_get(answer.json, "key"));
	if (value)
		snprintf(key, size, "%s", value);
	else if (exit == EXIT_OK)
		exit = EXIT_REFUSED;
	client_report(options, &answer);
	answer_free(&answer);
	return exit;
}

/* Submits a job with idempotency key @key; retries if the answer is lost. */
static void submit_with_key(const struct options *options, const char *key,
			    const char *body, struct answer *answer)
{
	struct request request = {
		.api = API_CALLERS,
		.method = "POST",
		.path = "/v1/jobs",
		.key = key,
		.body = body,
		.has_effect = true,
	};

	client_send(options, &request, answer);
	for (int i = 1; i < SUBMIT_ATTEMPTS && answer->exit == EXIT_UNKNOWN;
	     i++) {
		answer_free(answer);
		client_sleep(POLL_MIN_MS << i);
		client_send(options, &request, answer);
		/* An earlier attempt may nevertheless have been accepted. */
		if (answer->exit == EXIT_REFUSED)
			answer->exit = EXIT_UNKNOWN;
	}
	if (answer->exit == EXIT_UNKNOWN)
		fprintf(stderr,
			"jayspoke submit: the outcome is unknown; submit again "
			"with --key %s\n",
			key);
}

static void get_job(const struct options *options, const char *id,
		    struct answer *answer)
{
	struct buf path = buf_fmt("/v1/jobs/%s", id);
	struct request request = { .api = API_CALLERS,
				   .method = "GET",
				   .path = path.data };

	client_send(options, &request, answer);
	buf_free(&path);
}

/* Polls until the job has ended; replaces @answer with the last answer. */
static void wait_for_job(const struct options *options, struct answer *answer)
{
	const char *value =
		json_string_value(json_object_get(answer->json, "id"));
	struct buf id = buf_str(value ? value : "");
	unsigned int delay = POLL_MIN_MS;
	int failures = 0;

	while (value && options_is_name(id.data) &&
	       failures < POLL_FAILURES_MAX &&
	       (is_accepted(answer) || !answer->status ||
		answer->status == 503 || answer->status == 504)) {
		answer_free(answer);
		client_sleep(delay);
		if (delay < POLL_MAX_MS)
			delay += delay / 2;
		get_job(options, id.data, answer);
		failures = answer->status == 200 ? 0 : failures + 1;
	}
	/* The job was accepted, so failed polls leave its outcome unknown. */
	if (failures)
		answer->exit = EXIT_UNKNOWN;
	buf_free(&id);
}

/* jayspoke submit */
enum exit_status command_submit(int argc, char **argv)
{
	struct submit s = {
		.options.command = "submit",
		.entry = arg_str1(NULL, NULL, "ENTRY", "catalogue entry"),
		.input = arg_str0(NULL, "input", "TEXT",
				  "input of the job, - for standard input"),
		.tasks = arg_int0(NULL, "tasks", "N", "size of the gang"),
		.deadline = arg_int0(NULL, "deadline-ms", "N",
				     "time by which the job has to start"),
		.key = arg_str0(NULL, "key", "KEY",
				"idempotency key (default: an issued key)"),
		.wait = arg_lit0(NULL, "wait", "wait for the end of the job"),
	};
	void *table[] = {
		s.entry, s.input, s.tasks, s.deadline, s.key, s.wait
	};
	char key[80] = "";
	char *body;
	struct answer answer;
	enum exit_status exit;

	if (!options_parse(&s.options, argc, argv, table,
			   sizeof(table) / sizeof(*table), &exit))
		return exit;
	if (s.key->count && !options_is_name(s.key->sval[0]))
		return usage_error(&s.options, "not a key", s.key->sval[0]);
	if ((s.tasks->count && s.tasks->ival[0] < 1) ||
	    (s.deadline->count && s.deadline->ival[0] < 1))
		return usage_error(&s.options, "--tasks, --deadline-ms",
				   "must be above 0");
	if (!options_require(&s.options, API_CALLERS))
		return EXIT_USAGE;
	body = build_submission(&s);
	if (!body)
		return EXIT_USAGE;
	if (s.key->count)
		snprintf(key, sizeof(key), "%s", s.key->sval[0]);
	else
		exit = request_key(&s.options, key, sizeof(key));
	if (key[0]) {
		submit_with_key(&s.options, key, body, &answer);
		if (s.wait->count && is_accepted(&answer))
			wait_for_job(&s.options, &answer);
		exit = print_result(&s.options, &answer);
	}
	free(body);
	return exit;
}

static enum exit_status command_by_id(const char *name, const char *method,
				      int argc, char **argv)
{
	struct options options = { .command = name };
	struct arg_str *id = arg_str1(NULL, NULL, "JOB", "id of the job");
	void *table[] = { id };
	struct request request = { .api = API_CALLERS,
				   .method = method,
				   .has_effect = strcmp(method, "GET") != 0 };
	struct answer answer;
	struct buf path;
	enum exit_status exit;

	if (!options_parse(&options, argc, argv, table, 1, &exit))
		return exit;
	if (!options_is_name(id->sval[0]))
		return usage_error(&options, "not a job id", id->sval[0]);
	if (!options_require(&options, API_CALLERS))
		return EXIT_USAGE;
	path = buf_fmt("/v1/jobs/%s", id->sval[0]);
	request.path = path.data;
	client_send(&options, &request, &answer);
	buf_free(&path);
	if (request.has_effect &&
	    !strcmp(answer.error, err_name(ERR_CANCELLED))) {
		/* A cancelled job is the result that this command requests. */
		answer.exit = EXIT_OK;
		answer.error[0] = '\0';
	}
	return print_result(&options, &answer);
}

/* jayspoke status */
enum exit_status command_status(int argc, char **argv)
{
	return command_by_id("status", "GET", argc, argv);
}

/* jayspoke cancel */
enum exit_status command_cancel(int argc, char **argv)
{
	return command_by_id("cancel", "DELETE", argc, argv);
}
