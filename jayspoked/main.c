/* jayspoked: entry instance and scheduler daemon. */
#include <limits.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>

#include "env.h"
#include "log.h"
#include "tl.h"

#define EXIT_USAGE 1
#define DRAIN_POLL_MS 20

struct options {
	char file[PATH_MAX];
	bool check_only;
};

struct daemon_state {
	struct env env;
	struct timer poll;
	bool draining;
};

static volatile sig_atomic_t stop_requested;

static void on_signal(int signal)
{
	(void)signal;
	stop_requested = 1;
}

static void usage(FILE *out)
{
	fputs("usage: jayspoked [-n] -f FILE\n", out);
}

/* Returns 0 to continue, -1 after printing the help, or the exit status. */
static int parse_options(int argc, char **argv, struct options *options)
{
	struct arg_file *file =
		arg_file1("f", "file", "FILE", "settings (JSON)");
	struct arg_lit *check =
		arg_lit0("n", "check", "check the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(4);
	void *table[] = { file, check, help, end };
	int errors = arg_parse(argc, argv, table);
	int rc = 0;

	if (help->count) {
		usage(stdout);
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		rc = -1;
	} else if (errors) {
		arg_print_errors(stderr, end, "jayspoked");
		usage(stderr);
		rc = EXIT_USAGE;
	} else {
		snprintf(options->file, sizeof(options->file), "%s",
			 file->filename[0]);
		options->check_only = check->count > 0;
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

static bool create_tasks(const struct env *env, struct err *err)
{
	static struct task *(*const constructors[])(const struct env *,
						    struct err *) = {
		store_new,  catalogue_new, instlist_new, peer_new,
		worker_new, minion_new,	   sched_new,	 caller_new,
	};

	for (size_t i = 0; i < sizeof(constructors) / sizeof(constructors[0]);
	     i++) {
		if (!constructors[i](env, err))
			return false;
	}
	return true;
}

/* Starts the drain after a signal, and stops the loop once no task is busy. */
static void on_poll(struct timer *timer)
{
	struct daemon_state *d = timer->ctx;

	if (stop_requested && !d->draining) {
		d->draining = true;
		tl_add("drain", "begin");
		bus_broadcast(d->env.bus, TASK_MAIN,
			      msg_new(MSG_DRAIN, TASK_MAIN, 0));
	} else if (d->draining && !bus_busy(d->env.bus)) {
		tl_add("drain", "done");
		loop_stop(d->env.loop);
		return;
	}
	timer_start(d->env.loop, &d->poll, DRAIN_POLL_MS);
}

static int run(const struct conf *conf)
{
	struct daemon_state d = { 0 };
	struct err err = { 0 };

	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	tl_open(conf->id);
	d.env.conf = conf;
	d.env.loop = loop_new();
	d.env.bus = bus_new(d.env.loop);
	d.env.httpc = httpc_new(d.env.loop);
	if (!create_tasks(&d.env, &err)) {
		log_err("%s", err.text);
		return EXIT_FAILURE;
	}
	tl_add("start", "id=%s az=%s", conf->id, conf->az);
	d.poll = (struct timer){ .fn = on_poll, .ctx = &d };
	timer_start(d.env.loop, &d.poll, DRAIN_POLL_MS);
	loop_run(d.env.loop);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct options options = { 0 };
	static struct conf conf;
	struct err err = { 0 };
	int rc = parse_options(argc, argv, &options);

	if (rc)
		return rc < 0 ? EXIT_SUCCESS : rc;
	if (!conf_load(&conf, options.file, &err)) {
		fprintf(stderr, "jayspoked: %s\n", err.text);
		return EXIT_USAGE;
	}
	if (options.check_only)
		return EXIT_SUCCESS;
	log_open("jayspoked", conf.log_priority);
	return run(&conf);
}
