#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <syslog.h>

#include "jayspoke.h"
#include "log.h"

struct command {
	const char *name;
	const char *sub; /* second word, NULL if there is none */
	const char *summary;
	enum exit_status (*run)(int argc, char **argv);
};

static const struct command commands[] = {
	{ "submit", NULL, "submit a job", command_submit },
	{ "status", NULL, "show a job", command_status },
	{ "cancel", NULL, "cancel a job", command_cancel },
	{ "catalogue", "get", "print the catalogue", command_catalogue_get },
	{ "catalogue", "check", "check a catalogue or changes offline",
	  command_catalogue_check },
	{ "catalogue", "set", "apply changes to the catalogue",
	  command_catalogue_set },
	{ "stop", "plan", "plan the stop of an instance", command_stop_plan },
	{ "stop", "list", "list the planned stops", command_stop_list },
	{ "stop", "cancel", "cancel a planned stop", command_stop_cancel },
	{ "timeline", NULL, "print the events of all daemons",
	  command_timeline },
	{ "explain", NULL, "print the history of a job, from logs",
	  command_explain },
	{ "where", NULL, "show where a job would start in a cell",
	  command_where },
	{ "stats", NULL, "print the state of a daemon and its peers",
	  command_stats },
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(*commands))

static void print_commands(FILE *fp)
{
	fprintf(fp, "usage: jayspoke command [options] [arguments]\n"
		    "       jayspoke command --help\n\n");
	for (size_t i = 0; i < COMMAND_COUNT; i++) {
		const struct command *c = &commands[i];
		char name[32];

		snprintf(name, sizeof(name), "%s%s%s", c->name,
			 c->sub ? " " : "", c->sub ? c->sub : "");
		fprintf(fp, "  %-18s %s\n", name, c->summary);
	}
}

static const struct command *find_command(int argc, char **argv)
{
	for (size_t i = 0; i < COMMAND_COUNT; i++) {
		const struct command *c = &commands[i];

		if (strcmp(c->name, argv[1]) != 0)
			continue;
		if (!c->sub || (argc > 2 && !strcmp(c->sub, argv[2])))
			return c;
	}
	return NULL;
}

int main(int argc, char **argv)
{
	const struct command *c;
	int skip;

	/* A write to a closed connection must not end the process. */
	signal(SIGPIPE, SIG_IGN);
	log_open("jayspoke", LOG_ERR);
	if (argc > 1 &&
	    (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
		print_commands(stdout);
		return EXIT_OK;
	}
	c = argc > 1 ? find_command(argc, argv) : NULL;
	if (!c) {
		print_commands(stderr);
		return EXIT_USAGE;
	}
	/* The last word of the command name becomes argv[0]. */
	skip = c->sub ? 2 : 1;
	return c->run(argc - skip, argv + skip);
}
