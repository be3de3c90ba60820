/* Command-line tool: options, HTTP client and commands. */
#ifndef JAYSPOKE_JAYSPOKE_H
#define JAYSPOKE_JAYSPOKE_H

#include <stdbool.h>
#include <stddef.h>

#include <argtable2.h>
#include <jansson.h>

#include "buf.h"
#include "err.h"

/* Exit statuses; documented in man/jayspoke.1. */
enum exit_status {
	EXIT_OK = 0,
	EXIT_USAGE = 1,
	EXIT_REFUSED = 2, /* no daemon reachable, or request rejected */
	EXIT_CONFLICT = 3,
	EXIT_FAILED = 4,
	EXIT_UNKNOWN = 5
};

#define OPTIONS_ADDRS_MAX 8 /* addresses in one option */
#define OPTIONS_KEY_MAX 260 /* bytes, with NUL */

/* Validated values of the options that all commands have. */
struct options {
	const char *command;
	char callers[512];	   /* addresses, separated by commas */
	char operators[512];	   /* likewise */
	char key[OPTIONS_KEY_MAX]; /* key of the operators, empty if none */
	bool json;
};

/* API of a daemon; each has a port of its own. */
enum api { API_CALLERS, API_OPERATORS };

struct request {
	enum api api;
	const char *method;
	const char *path;
	const char *key; /* idempotency key, NULL if none */
	const char *body;
	bool has_effect; /* client_send() does not repeat it once sent */
};

struct answer {
	enum exit_status exit;
	int status;	  /* HTTP status, 0 without an answer */
	char outcome[16]; /* X-Outcome, empty if absent */
	char error[32];	  /* name of the error kind, empty if none */
	struct buf body;
	json_t *json; /* NULL if the body is not JSON */
};

bool options_parse(struct options *options, int argc, char **argv, void **own,
		   size_t own_count, enum exit_status *exit);
bool options_require(const struct options *options, enum api api);
bool options_is_name(const char *s);
enum exit_status usage_error(const struct options *options, const char *what,
			     const char *value);
bool read_text(const char *path, struct buf *out);

void client_send(const struct options *options, const struct request *request,
		 struct answer *answer);
void client_report(const struct options *options, const struct answer *answer);
void client_sleep(unsigned int ms);
void answer_free(struct answer *answer);

void print_answer(const struct options *options, const struct answer *answer);
void print_json(const json_t *json, bool pretty);

enum exit_status command_submit(int argc, char **argv);
enum exit_status command_status(int argc, char **argv);
enum exit_status command_cancel(int argc, char **argv);
enum exit_status command_catalogue_get(int argc, char **argv);
enum exit_status command_catalogue_check(int argc, char **argv);
enum exit_status command_catalogue_set(int argc, char **argv);
enum exit_status command_stop_plan(int argc, char **argv);
enum exit_status command_stop_list(int argc, char **argv);
enum exit_status command_stop_cancel(int argc, char **argv);
enum exit_status command_timeline(int argc, char **argv);
enum exit_status command_stats(int argc, char **argv);
enum exit_status command_explain(int argc, char **argv);
enum exit_status command_where(int argc, char **argv);

#endif
