/* jaycelld: daemon of a cell on a platform with a shared store. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>
#include <openssl/rand.h>

#include "celld.h"

#define EXIT_USAGE 1
#define POLL_MS 20
#define SECRET_TIMEOUT_MS 1000
#define SECRET_RETRY_MS 200
/* The load balancer needs two probes, 1 s each, to stop new connections. */
#define DRAIN_WAIT_MS 2600
/* Time kept between the last responses and the end of the grace period. */
#define EXIT_MARGIN_MS 700

struct options {
	char file[CD_PATH_MAX];
	bool check_only;
};

struct daemon_state {
	struct celld d;
	unsigned char secret[CD_SECRET_LEN];
	struct timer poll;
	struct timer secret_retry;
	struct reload *reload;
	uint64_t drain_ms; /* when the drain started, 0: not draining */
	bool closed;
	int status;
};

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;

static void on_signal(int signal)
{
	if (signal == SIGHUP)
		reload_requested = 1;
	else
		stop_requested = 1;
}

static bool on_idle(void *ctx)
{
	struct celld *d = ctx;

	if (d->holder)
		holder_tick(d->holder, loop_now_ms());
	ev_flush();
	return false;
}

static void fail(struct daemon_state *s, const struct err *err)
{
	ev("fatal", "detail=\"%s\"", err->text);
	s->status = EXIT_FAILURE;
	loop_stop(s->d.loop);
}

/* Creates the modules, once the secret of the cell is known. */
static void start_modules(struct daemon_state *s)
{
	struct celld *d = &s->d;
	struct err err = { 0 };

	if (d->links)
		return;
	d->config = config_new(d);
	d->acceptor = accept_new(d);
	d->rpc = rpc_new(d);
	d->links = links_new(d, s->secret, &err);
	if (!d->links) {
		fail(s, &err);
		return;
	}
	d->terms = terms_new(d);
	d->entry = entry_new(d, &err);
	if (!d->entry)
		fail(s, &err);
}

static void read_secret(struct daemon_state *s);

static void on_secret_retry(struct timer *timer)
{
	read_secret(timer->ctx);
}

static void on_secret_stored(void *ctx, const struct pf_reply *reply)
{
	struct daemon_state *s = ctx;

	(void)reply;
	read_secret(s);
}

/*
 * Creates the secret with which the daemons authenticate each other. The first
 * daemon of the cell to store one wins.
 */
static void make_secret(struct daemon_state *s)
{
	struct pf_txn txn = { .condition_count = 1, .put_count = 1 };
	unsigned char secret[CD_SECRET_LEN];

	if (RAND_bytes(secret, sizeof(secret)) != 1)
		abort();
	txn.conditions[0] = (struct pf_condition){ .key = CD_SECRET_KEY };
	txn.puts[0] = (struct pf_put){ .key = CD_SECRET_KEY,
				       .value = secret,
				       .len = sizeof(secret) };
	pf_commit(s->d.store, &txn, SECRET_TIMEOUT_MS, on_secret_stored, s);
}

static void on_secret(void *ctx, const struct pf_reply *reply)
{
	struct daemon_state *s = ctx;

	if (reply->status == PF_OK && reply->count &&
	    reply->items[0].value_len == CD_SECRET_LEN) {
		memcpy(s->secret, reply->items[0].value, CD_SECRET_LEN);
		start_modules(s);
	} else if (reply->status == PF_MISSING) {
		make_secret(s);
	} else {
		ev("store-unavailable", "status=%d detail=\"%s\"",
		   reply->status, reply->error ? reply->error : "");
		timer_start(s->d.loop, &s->secret_retry, SECRET_RETRY_MS);
	}
}

static void read_secret(struct daemon_state *s)
{
	pf_get(s->d.store, CD_SECRET_KEY, SECRET_TIMEOUT_MS, on_secret, s);
}

static void begin_drain(struct daemon_state *s, uint64_t now)
{
	struct celld *d = &s->d;

	s->drain_ms = now;
	d->draining = true;
	ev("drain", "grace_s=%u holder=%d", d->conf.grace_s, d->holder != NULL);
	if (!d->entry)
		return;
	entry_drain(d->entry);
	terms_release(d->terms);
}

static bool drained(struct daemon_state *s, uint64_t now)
{
	const struct celld *d = &s->d;
	uint64_t grace_ms = (uint64_t)d->conf.grace_s * 1000;
	uint64_t waited = now - s->drain_ms;

	if (!d->entry)
		return true;
	if (waited > DRAIN_WAIT_MS && !s->closed) {
		s->closed = true;
		entry_close(d->entry);
	}
	if (waited + EXIT_MARGIN_MS > grace_ms)
		return true;
	return s->closed && waited > DRAIN_WAIT_MS + EXIT_MARGIN_MS &&
	       !entry_open(d->entry) && !rpc_pending(d->rpc);
}

static void on_poll(struct timer *timer)
{
	struct daemon_state *s = timer->ctx;
	uint64_t now = loop_now_ms();

	if (stop_requested && !s->drain_ms)
		begin_drain(s, now);
	if (reload_requested) {
		reload_requested = 0;
		reload_now(s->reload);
	}
	if (s->drain_ms && drained(s, now)) {
		ev("stop", "waited_ms=%llu open=%u",
		   (unsigned long long)(now - s->drain_ms),
		   s->d.entry ? entry_open(s->d.entry) : 0);
		loop_stop(s->d.loop);
		return;
	}
	timer_start(s->d.loop, &s->poll, POLL_MS);
}

static int run(const struct cd_conf *conf, const char *file)
{
	static struct daemon_state s;
	struct celld *d = &s.d;

	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGHUP, on_signal);
	ev_open("jaycelld", conf->name);
	d->conf = *conf;
	d->loop = loop_new();
	d->httpc = httpc_new(d->loop);
	d->store = pf_store_new(d->loop, d->httpc, conf->store);
	d->overload = overload_new();
	loop_set_idle(d->loop, on_idle, d);
	s.poll = (struct timer){ .fn = on_poll, .ctx = &s };
	s.secret_retry = (struct timer){ .fn = on_secret_retry, .ctx = &s };
	ev("start", "az=%s region=%s callers=%s peers=%s store=%s", conf->az,
	   conf->region, conf->listen_callers, conf->listen_peers, conf->store);
	s.reload = reload_new(d, file);
	timer_start(d->loop, &s.poll, POLL_MS);
	read_secret(&s);
	loop_run(d->loop);
	ev_flush();
	return s.status;
}

static void usage(FILE *out)
{
	fputs("usage: jaycelld [-n] -f FILE\n", out);
}

/* Returns 0 to continue, -1 to exit successfully, else the exit status. */
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
		arg_print_errors(stderr, end, "jaycelld");
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

int main(int argc, char **argv)
{
	struct options options = { 0 };
	static struct cd_conf conf;
	struct err err = { 0 };
	int rc = parse_options(argc, argv, &options);

	if (rc)
		return rc < 0 ? EXIT_SUCCESS : rc;
	if (!conf_read(&conf, options.file, &err)) {
		fprintf(stderr, "jaycelld: %s\n", err.text);
		return EXIT_USAGE;
	}
	if (options.check_only)
		return EXIT_SUCCESS;
	return run(&conf, options.file);
}
