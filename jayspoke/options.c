#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jayspoke.h"

#define TABLE_MAX 16 /* entries, with the common options */
#define ERRORS_MAX 8
#define TEXT_MAX_BYTES (4U << 20)

/* Table entries of the options that all commands have. */
struct common {
	struct arg_str *callers;
	struct arg_str *operators;
	struct arg_str *key_file;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_end *end;
};

static void print_usage(FILE *fp, const char *command, void **table)
{
	fprintf(fp, "usage: jayspoke %s", command);
	arg_print_syntax(fp, table, "\n");
}

/* Prints an error of the command line, and returns EXIT_USAGE. */
enum exit_status usage_error(const struct options *options, const char *what,
			     const char *value)
{
	fprintf(stderr, "jayspoke %s: %s: %s\nusage: jayspoke %s --help\n",
		options->command, what, value, options->command);
	return EXIT_USAGE;
}

/* Returns true if @s is safe in a URL path: a job id, key or instance id. */
bool options_is_name(const char *s)
{
	size_t len = strlen(s);

	return len > 0 && len < 120 &&
	       strspn(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			 "abcdefghijklmnopqrstuvwxyz0123456789._-") == len;
}

/*
 * Reads a file of at most 4 MB, or standard input if @path is "-". Prints an
 * error on standard error and returns false on failure.
 */
bool read_text(const char *path, struct buf *out)
{
	bool standard = !strcmp(path, "-");
	FILE *fp = standard ? stdin : fopen(path, "r");
	char chunk[4096];
	size_t n;
	bool ok;

	if (!fp) {
		fprintf(stderr, "jayspoke: %s: %s\n", path, strerror(errno));
		return false;
	}
	while (out->len <= TEXT_MAX_BYTES &&
	       (n = fread(chunk, 1, sizeof(chunk), fp)) > 0)
		buf_append(out, chunk, n);
	ok = !ferror(fp) && out->len <= TEXT_MAX_BYTES;
	if (!ok)
		fprintf(stderr, "jayspoke: %s: %s\n", path,
			out->len > TEXT_MAX_BYTES ? "larger than 4 MB"
						  : strerror(errno));
	if (!standard)
		fclose(fp);
	if (ok && !out->data)
		*out = buf_str("");
	return ok;
}

static bool is_addr(const char *s, size_t len)
{
	char text[64];
	char *colon;
	char *end;
	struct in_addr in;
	long port;

	if (len >= sizeof(text))
		return false;
	memcpy(text, s, len);
	text[len] = '\0';
	colon = strrchr(text, ':');
	if (!colon)
		return false;
	*colon = '\0';
	port = strtol(colon + 1, &end, 10);
	return !*end && end != colon + 1 && port > 0 && port < 65536 &&
	       inet_pton(AF_INET, text, &in) == 1;
}

/* Reads a list of addresses from an option, or else from the environment. */
static bool read_addrs(const struct options *options, const struct arg_str *arg,
		       const char *variable, char *dst, size_t size)
{
	const char *s = arg->count ? arg->sval[0] : getenv(variable);
	int count = 0;

	dst[0] = '\0';
	if (!s || !*s)
		return true;
	for (const char *p = s; p; p = strchr(p, ',')) {
		p += *p == ',';
		if (!is_addr(p, strcspn(p, ",")) ||
		    ++count > OPTIONS_ADDRS_MAX) {
			usage_error(options,
				    "not ADDRESS:PORT[,ADDRESS:PORT...]", s);
			return false;
		}
	}
	snprintf(dst, size, "%s", s);
	return true;
}

/* Reads the shared key from its file and strips trailing whitespace. */
static bool read_key(struct options *options, const struct arg_str *arg)
{
	const char *path =
		arg->count ? arg->sval[0] : getenv("JAYSPOKE_KEY_FILE");
	struct buf key = { 0 };
	bool ok;

	if (!path || !*path)
		return true;
	if (!read_text(path, &key))
		return false;
	while (key.len && strchr(" \t\r\n", key.data[key.len - 1]))
		key.len--;
	ok = key.len > 0 && key.len <= 256;
	for (size_t i = 0; ok && i < key.len; i++)
		ok = key.data[i] > ' ' && key.data[i] < 127;
	if (ok)
		snprintf(options->key, sizeof(options->key), "%.*s",
			 (int)key.len, key.data);
	else
		usage_error(options,
			    "not a key of 1 to 256 printable characters", path);
	buf_free(&key);
	return ok;
}

static bool read_common_options(struct options *options, const struct common *c)
{
	options->json = c->json->count > 0;
	return read_addrs(options, c->callers, "JAYSPOKE_CALLERS",
			  options->callers, sizeof(options->callers)) &&
	       read_addrs(options, c->operators, "JAYSPOKE_OPERATORS",
			  options->operators, sizeof(options->operators)) &&
	       read_key(options, c->key_file);
}

/*
 * Parses the command line according to the table @own of the command and the
 * options that all commands have. Returns false with @exit set if the command
 * must not run: after --help, or after printing an error.
 */
bool options_parse(struct options *options, int argc, char **argv, void **own,
		   size_t own_count, enum exit_status *exit)
{
	struct common c = {
		.callers = arg_str0(NULL, "callers", "ADDR",
				    "callers' port of a daemon, or several "
				    "separated by commas (JAYSPOKE_CALLERS)"),
		.operators = arg_str0(NULL, "operators", "ADDR",
				      "operators' port of a daemon, or several "
				      "(JAYSPOKE_OPERATORS)"),
		.key_file = arg_str0(NULL, "key-file", "FILE",
				     "file with the shared key "
				     "(JAYSPOKE_KEY_FILE)"),
		.json = arg_lit0(NULL, "json", "print JSON"),
		.help = arg_lit0("h", "help", "print this help"),
		.end = arg_end(ERRORS_MAX),
	};
	void *tail[] = { c.callers, c.operators, c.key_file,
			 c.json,    c.help,	 c.end };
	static void *table[TABLE_MAX]; /* used until the process exits */
	int errors;

	if (own)
		memcpy(table, own, own_count * sizeof(*own));
	memcpy(table + own_count, tail, sizeof(tail));
	errors = arg_parse(argc, argv, table);
	*exit = EXIT_USAGE;
	if (c.help->count) {
		print_usage(stdout, options->command, table);
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		*exit = EXIT_OK;
		return false;
	}
	if (errors) {
		arg_print_errors(stderr, c.end, "jayspoke");
		print_usage(stderr, options->command, table);
		return false;
	}
	return read_common_options(options, &c);
}

/* Checks that the address and key for @api were given; prints an error. */
bool options_require(const struct options *options, enum api api)
{
	if (api == API_CALLERS && !options->callers[0])
		usage_error(options, "no address",
			    "give --callers or set JAYSPOKE_CALLERS");
	else if (api == API_OPERATORS && !options->operators[0])
		usage_error(options, "no address",
			    "give --operators or set JAYSPOKE_OPERATORS");
	else if (api == API_OPERATORS && !options->key[0])
		usage_error(options, "no key",
			    "give --key-file or set JAYSPOKE_KEY_FILE");
	else
		return true;
	return false;
}
