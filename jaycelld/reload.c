/*
 * Settings that change while the daemon runs: after SIGHUP, and when the file
 * has changed without a signal. A file that cannot be used leaves the settings
 * in force.
 */
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "celld.h"

/* The file is looked at this often, in ms. */
#define LOOK_MS 1000

struct reload {
	struct celld *d;
	char file[CD_PATH_MAX];
	struct timespec changed; /* of the file that was read last */
	struct timer timer;
};

/* Returns false if the file does not exist. */
static bool changed_at(const struct reload *r, struct timespec *at)
{
	struct stat st;

	if (stat(r->file, &st) < 0)
		return false;
	*at = st.st_mtim;
	return true;
}

/* Reads the file and takes over what may change. */
void reload_now(struct reload *r)
{
	struct cd_conf next;
	struct err err = { 0 };
	struct buf fixed = { 0 };
	uint32_t count;

	changed_at(r, &r->changed);
	if (!conf_read(&next, r->file, &err)) {
		ev("reload", "result=rejected detail=\"%s\"", err.text);
		return;
	}
	count = conf_apply(&r->d->conf, &next, &fixed);
	ev("reload", "result=applied changed=%u need_restart=%s", count,
	   fixed.len ? fixed.data : "-");
	buf_free(&fixed);
}

static void on_look(struct timer *timer)
{
	struct reload *r = timer->ctx;
	struct timespec at;

	timer_start(r->d->loop, &r->timer, LOOK_MS);
	if (changed_at(r, &at) && (at.tv_sec != r->changed.tv_sec ||
				   at.tv_nsec != r->changed.tv_nsec))
		reload_now(r);
}

/* Watches @file, which has just been read. */
struct reload *reload_new(struct celld *d, const char *file)
{
	struct reload *r = xcalloc(1, sizeof(*r));

	r->d = d;
	snprintf(r->file, sizeof(r->file), "%s", file);
	changed_at(r, &r->changed);
	r->timer = (struct timer){ .fn = on_look, .ctx = r };
	timer_start(d->loop, &r->timer, LOOK_MS);
	return r;
}
