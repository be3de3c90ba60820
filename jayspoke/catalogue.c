#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cat.h"
#include "jayspoke.h"

#define STOP_EDIT_ATTEMPTS 5 /* on conflicting edits */

/* Gets the catalogue. With EXIT_OK, the JSON of @answer is an object. */
static void get_catalogue(const struct options *options, struct answer *answer)
{
	struct request request = { .api = API_OPERATORS,
				   .method = "GET",
				   .path = "/v1/catalogue" };

	client_send(options, &request, answer);
	if (answer->exit == EXIT_OK && !json_is_object(answer->json)) {
		fprintf(stderr, "jayspoke %s: the answer is not a catalogue\n",
			options->command);
		answer->exit = EXIT_REFUSED;
	}
	client_report(options, answer);
}

/* Sends an edit based on @revision; takes ownership of @changes. */
static void put_changes(const struct options *options, json_int_t revision,
			json_t *changes, struct answer *answer)
{
	json_t *json = json_pack("{s:I,s:o}", "revision", revision, "changes",
				 changes);
	char *body = json_dumps(json, JSON_COMPACT);
	struct request request = { .api = API_OPERATORS,
				   .method = "PUT",
				   .path = "/v1/catalogue",
				   .body = body,
				   .has_effect = true };

	client_send(options, &request, answer);
	free(body);
	json_decref(json);
}

/* jayspoke catalogue get */
enum exit_status command_catalogue_get(int argc, char **argv)
{
	struct options options = { .command = "catalogue get" };
	struct answer answer;
	enum exit_status exit;

	if (!options_parse(&options, argc, argv, NULL, 0, &exit))
		return exit;
	if (!options_require(&options, API_OPERATORS))
		return EXIT_USAGE;
	get_catalogue(&options, &answer);
	exit = answer.exit;
	if (exit == EXIT_OK)
		print_json(answer.json, !options.json);
	answer_free(&answer);
	return exit;
}

/* Returns the catalogue in @path, or an empty one if @path is NULL. */
static struct cat *read_base(const char *path, struct err *err)
{
	struct buf text = { 0 };
	struct cat *cat;

	if (!path)
		return cat_new();
	if (!read_text(path, &text)) {
		err_set(err, ERR_BAD_REQUEST, "%s: cannot be read", path);
		return NULL;
	}
	cat = cat_parse(text.data, text.len, err);
	buf_free(&text);
	return cat;
}

/* Checks a catalogue, or an array of changes to the catalogue in file @base. */
static struct cat *check_text(const struct buf *text, const char *base,
			      struct err *err)
{
	json_t *json =
		cat_json(text->data, text->len, CAT_BYTES_MAX, "file", err);
	struct cat *before = NULL;
	struct cat *after = NULL;

	if (json_is_object(json)) {
		after = cat_parse(text->data, text->len, err);
	} else if (json) {
		before = read_base(base, err);
		if (before)
			after = cat_apply(before, json, err);
	}
	if (before)
		cat_free(before);
	json_decref(json);
	return after;
}

/* jayspoke catalogue check */
enum exit_status command_catalogue_check(int argc, char **argv)
{
	struct options options = { .command = "catalogue check" };
	struct arg_str *file = arg_str1(
		NULL, NULL, "FILE",
		"catalogue, or array of changes; - for standard input");
	struct arg_str *base = arg_str0(
		NULL, "base", "FILE",
		"catalogue that the changes apply to (default: empty)");
	void *table[] = { file, base };
	struct buf text = { 0 };
	struct err err = { 0 };
	struct cat *cat;
	enum exit_status exit;

	if (!options_parse(&options, argc, argv, table, 2, &exit))
		return exit;
	if (!read_text(file->sval[0], &text))
		return EXIT_USAGE;
	cat = check_text(&text, base->count ? base->sval[0] : NULL, &err);
	if (cat) {
		printf("%s: correct: %u owners, %u entries, %u stops\n",
		       file->sval[0], cat->owner_count, cat->entry_count,
		       cat->stop_count);
		cat_free(cat);
	} else {
		fprintf(stderr, "jayspoke catalogue check: %s: %s\n",
			file->sval[0], err.text);
	}
	buf_free(&text);
	return cat ? EXIT_OK : EXIT_REFUSED;
}

/* Reads an array of changes. On error prints a message and returns NULL. */
static json_t *read_changes(const char *path)
{
	struct buf text = { 0 };
	json_error_t error;
	json_t *json = NULL;

	if (!read_text(path, &text))
		return NULL;
	json = json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, &error);
	if (!json_is_array(json)) {
		fprintf(stderr, "jayspoke catalogue set: %s: %s\n", path,
			json ? "not an array of changes" : error.text);
		json_decref(json);
		json = NULL;
	}
	buf_free(&text);
	return json;
}

static bool parse_u64(const char *s, json_int_t *value)
{
	char *end;

	if (*s < '0' || *s > '9')
		return false;
	errno = 0;
	*value = strtoll(s, &end, 10);
	return !*end && !errno;
}

static void report_edit(const struct options *options,
			const struct answer *answer)
{
	client_report(options, answer);
	if (answer->exit == EXIT_CONFLICT)
		fprintf(stderr,
			"jayspoke %s: another edit came first; read the "
			"catalogue and try again\n",
			options->command);
	else if (answer->exit == EXIT_UNKNOWN)
		fprintf(stderr,
			"jayspoke %s: the edit may have taken effect; read the "
			"catalogue\n",
			options->command);
}

/* jayspoke catalogue set */
enum exit_status command_catalogue_set(int argc, char **argv)
{
	struct options options = { .command = "catalogue set" };
	struct arg_str *file =
		arg_str1(NULL, NULL, "FILE",
			 "JSON array of changes; - for standard input");
	struct arg_str *revision =
		arg_str1(NULL, "revision", "N",
			 "revision of the catalogue that the changes are for");
	void *table[] = { file, revision };
	struct answer answer;
	json_int_t number;
	json_t *changes;
	enum exit_status exit;

	if (!options_parse(&options, argc, argv, table, 2, &exit))
		return exit;
	if (!parse_u64(revision->sval[0], &number))
		return usage_error(&options, "not a revision",
				   revision->sval[0]);
	if (!options_require(&options, API_OPERATORS))
		return EXIT_USAGE;
	changes = read_changes(file->sval[0]);
	if (!changes)
		return EXIT_USAGE;
	put_changes(&options, number, changes, &answer);
	exit = answer.exit;
	if (exit == EXIT_OK)
		print_answer(&options, &answer);
	report_edit(&options, &answer);
	answer_free(&answer);
	return exit;
}

/*
 * Applies one change to the current revision, and retries after a conflict with
 * another edit: a planned stop does not depend on the rest of the catalogue.
 */
static enum exit_status edit_stop(const struct options *options,
				  const json_t *change)
{
	enum exit_status exit = EXIT_CONFLICT;

	for (int i = 0; i < STOP_EDIT_ATTEMPTS && exit == EXIT_CONFLICT; i++) {
		struct answer answer;
		json_int_t revision;

		get_catalogue(options, &answer);
		exit = answer.exit;
		revision = json_integer_value(
			json_object_get(answer.json, "revision"));
		answer_free(&answer);
		if (exit != EXIT_OK)
			break;
		put_changes(options, revision,
			    json_pack("[O]", (json_t *)(uintptr_t)change),
			    &answer);
		exit = answer.exit;
		if (exit == EXIT_OK)
			print_answer(options, &answer);
		else if (exit != EXIT_CONFLICT || i + 1 == STOP_EDIT_ATTEMPTS)
			report_edit(options, &answer);
		answer_free(&answer);
	}
	return exit;
}

/* jayspoke stop plan */
enum exit_status command_stop_plan(int argc, char **argv)
{
	struct options options = { .command = "stop plan" };
	struct arg_str *instance =
		arg_str1(NULL, NULL, "INSTANCE", "id of the instance");
	struct arg_str *at = arg_str0(NULL, "at", "SECONDS",
				      "time of the stop, in Unix seconds");
	struct arg_str *in =
		arg_str0(NULL, "in", "SECONDS", "time from now (default: 0)");
	void *table[] = { instance, at, in };
	json_int_t seconds = 0;
	json_t *change;
	enum exit_status exit;

	if (!options_parse(&options, argc, argv, table, 3, &exit))
		return exit;
	if (!options_is_name(instance->sval[0]))
		return usage_error(&options, "not an instance id",
				   instance->sval[0]);
	if (at->count && in->count)
		return usage_error(&options, "--at, --in", "give only one");
	if ((at->count && !parse_u64(at->sval[0], &seconds)) ||
	    (in->count && !parse_u64(in->sval[0], &seconds)))
		return usage_error(&options, "not a number of seconds",
				   at->count ? at->sval[0] : in->sval[0]);
	if (!options_require(&options, API_OPERATORS))
		return EXIT_USAGE;
	if (!at->count)
		seconds += time(NULL);
	change = json_pack("{s:{s:s,s:I}}", "set_stop", "instance",
			   instance->sval[0], "at", seconds);
	exit = edit_stop(&options, change);
	json_decref(change);
	return exit;
}

/* jayspoke stop cancel */
enum exit_status command_stop_cancel(int argc, char **argv)
{
	struct options options = { .command = "stop cancel" };
	struct arg_str *instance =
		arg_str1(NULL, NULL, "INSTANCE", "id of the instance");
	void *table[] = { instance };
	json_t *change;
	enum exit_status exit;

	if (!options_parse(&options, argc, argv, table, 1, &exit))
		return exit;
	if (!options_is_name(instance->sval[0]))
		return usage_error(&options, "not an instance id",
				   instance->sval[0]);
	if (!options_require(&options, API_OPERATORS))
		return EXIT_USAGE;
	change = json_pack("{s:s}", "del_stop", instance->sval[0]);
	exit = edit_stop(&options, change);
	json_decref(change);
	return exit;
}

static void print_stop(const json_t *stop)
{
	time_t at = (time_t)json_integer_value(json_object_get(stop, "at"));
	const char *name = json_string_value(json_object_get(stop, "instance"));
	char text[32] = "?";
	struct tm tm;

	if (gmtime_r(&at, &tm))
		strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &tm);
	printf("%s %lld %s\n", text, (long long)at, name ? name : "?");
}

/* jayspoke stop list */
enum exit_status command_stop_list(int argc, char **argv)
{
	struct options options = { .command = "stop list" };
	struct answer answer;
	const json_t *stops;
	enum exit_status exit;

	if (!options_parse(&options, argc, argv, NULL, 0, &exit))
		return exit;
	if (!options_require(&options, API_OPERATORS))
		return EXIT_USAGE;
	get_catalogue(&options, &answer);
	exit = answer.exit;
	stops = json_object_get(answer.json, "stops");
	if (exit == EXIT_OK && options.json) {
		print_json(stops, false);
	} else if (exit == EXIT_OK) {
		for (size_t i = 0; i < json_array_size(stops); i++)
			print_stop(json_array_get(stops, i));
	}
	answer_free(&answer);
	return exit;
}
