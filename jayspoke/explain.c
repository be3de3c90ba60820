/* explain: history of one job, from the event lines of all daemons. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jayspoke.h"

#define EVENT_LINE_MAX 1024 /* bytes, with NUL */
#define STAMP_MAX 32	    /* bytes, with NUL */
#define NAME_MAX_BYTES 64

/* An event line that mentions the job. */
struct event_line {
	char stamp[STAMP_MAX]; /* ISO 8601, sorts by time */
	char instance[NAME_MAX_BYTES];
	size_t order; /* in the input, for equal timestamps */
	char *text;   /* from "event=" on */
};

struct events {
	struct event_line *lines;
	size_t count;
	size_t read;	/* event lines, including those of other jobs */
	size_t dropped; /* log-dropped events */
};

/* Event that explains why a job was rejected, delayed or failed. */
struct cause {
	const char *event;
	const char *detail; /* substring of the event, NULL: any */
	const char *text;
};

static const struct cause causes[] = {
	{ "job-refused", NULL, "refused: the submission is malformed" },
	{ "accept", "result=not-run",
	  "refused: the store was unavailable to the daemon; the job was not "
	  "stored" },
	{ "accept", "result=unknown",
	  "unknown: the store did not answer; the job may have been stored" },
	{ "job-cancelled", NULL, "cancelled by its caller" },
	{ "task-given-up", NULL,
	  "a task crashed the minions that started it and was given up" },
	{ "run-lost", NULL, "a run was lost as its minion crashed or left" },
	{ "run-ended", "\"failed\"", "a run failed on its minion" },
	{ "run-ended", "\"lapsed\"",
	  "a run ended because the lease of its minion was not renewed" },
	{ "run-ended", "\"alone\"",
	  "a gang was not complete within its time limit" },
	{ "start-unanswered", NULL,
	  "a minion rejected a start or did not answer it" },
	{ "run-missing", NULL, "a minion lost a run or never began it" },
	{ "ask-timeout", NULL,
	  "the holder did not answer a request about the job in time" },
};

#define CAUSE_COUNT (sizeof(causes) / sizeof(causes[0]))

/*
 * Returns true if a value in @text is the job id, or an id of one of its parts:
 * the job id followed by a dot.
 */
static bool mentions_job(const char *text, const char *id)
{
	size_t len = strlen(id);
	const char *at = strstr(text, id);

	while (at) {
		if (at > text && at[-1] == '=' &&
		    (at[len] == ' ' || at[len] == '.' || at[len] == '\0'))
			return true;
		at = strstr(at + 1, id);
	}
	return false;
}

/* Adds an event line that mentions the job. Skips text before its priority. */
static void parse_line(struct events *events, char *line, const char *id)
{
	char *event = strstr(line, "event=");
	char *start = strchr(line, '<');
	struct event_line *e;
	char stamp[STAMP_MAX];
	char instance[NAME_MAX_BYTES];

	if (!event || !start || start > event ||
	    sscanf(start, "<%*d>%31s %63s", stamp, instance) != 2)
		return;
	event[strcspn(event, "\n")] = '\0';
	events->read++;
	events->dropped += !strncmp(event, "event=log-dropped", 17);
	if (!mentions_job(event, id))
		return;
	events->lines = realloc(events->lines,
				(events->count + 1) * sizeof(*events->lines));
	if (!events->lines)
		abort();
	e = &events->lines[events->count];
	*e = (struct event_line){ .order = events->count };
	memcpy(e->stamp, stamp, sizeof(stamp));
	memcpy(e->instance, instance, sizeof(instance));
	e->text = strdup(event);
	events->count++;
}

static bool read_events(struct events *events, const char *path, const char *id)
{
	FILE *in = !strcmp(path, "-") ? stdin : fopen(path, "r");
	char line[EVENT_LINE_MAX];

	if (!in) {
		fprintf(stderr, "jayspoke explain: %s: cannot open: %m\n",
			path);
		return false;
	}
	while (fgets(line, sizeof(line), in))
		parse_line(events, line, id);
	if (in != stdin)
		fclose(in);
	return true;
}

static int compare_by_time(const void *a, const void *b)
{
	const struct event_line *x = a;
	const struct event_line *y = b;
	int order = strcmp(x->stamp, y->stamp);

	if (order)
		return order;
	return x->order < y->order ? -1 : 1;
}

static bool is_event(const char *text, const char *event)
{
	size_t len = strlen(event);

	return !strncmp(text + strlen("event="), event, len) &&
	       text[strlen("event=") + len] == ' ';
}

static const struct cause *find_cause(const char *text)
{
	for (size_t i = 0; i < CAUSE_COUNT; i++) {
		if (is_event(text, causes[i].event) &&
		    (!causes[i].detail || strstr(text, causes[i].detail)))
			return &causes[i];
	}
	return NULL;
}

static void print_cause(const struct events *events)
{
	for (size_t i = 0; i < events->count; i++) {
		const struct cause *c = find_cause(events->lines[i].text);

		if (!c)
			continue;
		printf("first cause: %s (%s at %s)\n", c->text,
		       events->lines[i].instance, events->lines[i].stamp);
		return;
	}
	puts("first cause: none; the job was stored and its runs ended as they "
	     "should");
}

static void print_missing(const struct events *events)
{
	bool accepted = false;
	bool ended = false;

	for (size_t i = 0; i < events->count; i++) {
		accepted |= is_event(events->lines[i].text, "accept");
		ended |= is_event(events->lines[i].text, "job-ended");
	}
	if (!accepted)
		puts("missing: no event shows which daemon accepted the job");
	if (!ended)
		puts("missing: no event shows how the job ended");
	if (events->dropped)
		printf("missing: daemons dropped lines %zu times\n",
		       events->dropped);
}

static enum exit_status explain(const char *id, const char **files, int count)
{
	struct events events = { 0 };
	enum exit_status status = EXIT_OK;

	for (int i = 0; i < count && status == EXIT_OK; i++) {
		if (!read_events(&events, files[i], id))
			status = EXIT_USAGE;
	}
	if (!count)
		read_events(&events, "-", id);
	if (status == EXIT_OK && !events.count) {
		fprintf(stderr,
			"jayspoke explain: %s: not in any of %zu events\n", id,
			events.read);
		status = EXIT_FAILED;
	}
	if (status != EXIT_OK)
		goto out;
	qsort(events.lines, events.count, sizeof(*events.lines),
	      compare_by_time);
	for (size_t i = 0; i < events.count; i++)
		printf("%s %s %s\n", events.lines[i].stamp,
		       events.lines[i].instance,
		       events.lines[i].text + strlen("event="));
	print_cause(&events);
	print_missing(&events);
out:
	for (size_t i = 0; i < events.count; i++)
		free(events.lines[i].text);
	free(events.lines);
	return status;
}

/* jayspoke explain: prints the events of a job and its first problem. */
enum exit_status command_explain(int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "job");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 0, 256,
			  "event lines of the daemons; standard input if none");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(4);
	void *table[] = { id, files, help, end };
	int errors = arg_parse(argc, argv, table);
	enum exit_status status = EXIT_OK;

	if (help->count) {
		puts("usage: jayspoke explain ID [FILE...]");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
	} else if (errors) {
		arg_print_errors(stderr, end, "jayspoke explain");
		status = EXIT_USAGE;
	} else {
		status = explain(id->sval[0], files->filename, files->count);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
