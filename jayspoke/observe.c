#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "jayspoke.h"

#define FOLLOW_INTERVAL_MS 2000

/* A timeline event; its strings belong to the answer. */
struct event {
	json_int_t unix_us;
	json_int_t seq;
	const char *daemon;
	const char *kind;
	const char *text;
};

static const char *get_string(const json_t *object, const char *key)
{
	const char *s = json_string_value(json_object_get(object, key));

	return s ? s : "?";
}

static json_int_t get_integer(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static int compare_by_time(const void *a, const void *b)
{
	const struct event *x = a;
	const struct event *y = b;
	int order = strcmp(x->daemon, y->daemon);

	if (x->unix_us != y->unix_us)
		return x->unix_us < y->unix_us ? -1 : 1;
	if (order)
		return order;
	return (x->seq > y->seq) - (x->seq < y->seq);
}

/*
 * Collects the events that have not been printed yet. @next maps each daemon to
 * the sequence number after its last printed event, and is updated.
 */
static size_t collect_new_events(const json_t *daemons, json_t *next,
				 struct event **events)
{
	size_t count = 0;

	*events = NULL;
	for (size_t i = 0; i < json_array_size(daemons); i++) {
		const json_t *d = json_array_get(daemons, i);
		const char *name = get_string(d, "daemon");
		const json_t *list = json_object_get(d, "events");
		json_int_t from = get_integer(next, name);

		for (size_t j = 0; j < json_array_size(list); j++) {
			const json_t *e = json_array_get(list, j);

			if (get_integer(e, "seq") < from)
				continue;
			*events = xrealloc(*events,
					   (count + 1) * sizeof(**events));
			(*events)[count++] = (struct event){
				.unix_us = get_integer(e, "unix_us"),
				.seq = get_integer(e, "seq"),
				.daemon = name,
				.kind = get_string(e, "kind"),
				.text = get_string(e, "text"),
			};
		}
		json_object_set(next, name, json_object_get(d, "next"));
	}
	return count;
}

static void print_event(const struct options *options, const struct event *e)
{
	time_t seconds = (time_t)(e->unix_us / 1000000);
	char stamp[32] = "?";
	struct tm tm;
	json_t *json;

	if (options->json) {
		json = json_pack("{s:I,s:s,s:I,s:s,s:s}", "unix_us", e->unix_us,
				 "daemon", e->daemon, "seq", e->seq, "kind",
				 e->kind, "text", e->text);
		print_json(json, false);
		json_decref(json);
		return;
	}
	if (gmtime_r(&seconds, &tm))
		strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	printf("%s.%06lldZ %s %s %s\n", stamp,
	       (long long)(e->unix_us % 1000000), e->daemon, e->kind, e->text);
}

/* Returns the lowest sequence number in @next, for a query to all daemons. */
static json_int_t lowest_next_seq(json_t *next)
{
	json_int_t low = 0;
	const char *name;
	json_t *value;

	json_object_foreach(next, name, value)
	{
		if (!low || json_integer_value(value) < low)
			low = json_integer_value(value);
	}
	return low;
}

/* Prints the events since the previous call, and unresponsive daemons. */
static enum exit_status print_new_events(const struct options *options,
					 json_t *next)
{
	struct buf path = buf_fmt("/v1/timeline?all=1&since=%lld",
				  (long long)lowest_next_seq(next));
	struct request request = { .api = API_OPERATORS,
				   .method = "GET",
				   .path = path.data };
	struct event *events;
	struct answer answer;
	const json_t *missing;
	enum exit_status exit;
	size_t count;

	client_send(options, &request, &answer);
	client_report(options, &answer);
	exit = answer.exit;
	count = collect_new_events(json_object_get(answer.json, "daemons"),
				   next, &events);
	if (count)
		qsort(events, count, sizeof(*events), compare_by_time);
	for (size_t i = 0; i < count; i++)
		print_event(options, &events[i]);
	fflush(stdout);
	missing = json_object_get(answer.json, "missing");
	for (size_t i = 0; i < json_array_size(missing); i++)
		fprintf(stderr, "jayspoke timeline: no answer from %s\n",
			json_string_value(json_array_get(missing, i)));
	free(events);
	buf_free(&path);
	answer_free(&answer);
	return exit;
}

/* jayspoke timeline */
enum exit_status command_timeline(int argc, char **argv)
{
	struct options options = { .command = "timeline" };
	struct arg_lit *follow =
		arg_lit0(NULL, "follow", "go on printing new events");
	void *table[] = { follow };
	enum exit_status exit;
	json_t *next;

	if (!options_parse(&options, argc, argv, table, 1, &exit))
		return exit;
	if (!options_require(&options, API_OPERATORS))
		return EXIT_USAGE;
	next = json_object();
	exit = print_new_events(&options, next);
	while (follow->count) {
		client_sleep(FOLLOW_INTERVAL_MS);
		exit = print_new_events(&options, next);
	}
	json_decref(next);
	return exit;
}

static void print_peer(const json_t *peer)
{
	printf("peer %s az=%s %s%s%s epoch=%lld catalogue_revision=%lld "
	       "heard_ms_ago=%lld\n",
	       get_string(peer, "id"), get_string(peer, "az"),
	       json_is_true(json_object_get(peer, "alive")) ? "alive" : "dead",
	       json_is_true(json_object_get(peer, "holder")) ? " holder" : "",
	       json_is_true(json_object_get(peer, "draining")) ? " draining"
							       : "",
	       (long long)get_integer(peer, "epoch"),
	       (long long)get_integer(peer, "catalogue_revision"),
	       (long long)get_integer(peer, "heard_ms_ago"));
}

static void get_path(const struct options *options, const char *path,
		     struct answer *answer)
{
	struct request request = { .api = API_OPERATORS,
				   .method = "GET",
				   .path = path };

	client_send(options, &request, answer);
	client_report(options, answer);
}

static enum exit_status print_stats(const struct options *options)
{
	struct answer stats;
	struct answer peers = { 0 };
	enum exit_status exit;
	const json_t *list;
	json_t *json;

	get_path(options, "/v1/stats", &stats);
	exit = stats.exit;
	if (exit == EXIT_OK) {
		get_path(options, "/v1/peers", &peers);
		exit = peers.exit;
	}
	list = json_object_get(peers.json, "peers");
	if (exit == EXIT_OK && options->json) {
		json = json_pack("{s:O,s:O*}", "stats", stats.json, "peers",
				 list);
		print_json(json, false);
		json_decref(json);
	} else if (exit == EXIT_OK) {
		print_answer(options, &stats);
		for (size_t i = 0; i < json_array_size(list); i++)
			print_peer(json_array_get(list, i));
	}
	answer_free(&stats);
	answer_free(&peers);
	return exit;
}

/* jayspoke stats */
enum exit_status command_stats(int argc, char **argv)
{
	struct options options = { .command = "stats" };
	struct arg_lit *metrics = arg_lit0(
		NULL, "metrics", "print the metrics in Prometheus text form");
	void *table[] = { metrics };
	struct answer answer;
	enum exit_status exit;

	if (!options_parse(&options, argc, argv, table, 1, &exit))
		return exit;
	if (!options_require(&options, API_OPERATORS))
		return EXIT_USAGE;
	if (!metrics->count)
		return print_stats(&options);
	get_path(&options, "/metrics", &answer);
	exit = answer.exit;
	if (exit == EXIT_OK)
		print_answer(&options, &answer);
	answer_free(&answer);
	return exit;
}
