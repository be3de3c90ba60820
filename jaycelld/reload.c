/*
 * Reloads the settings on SIGHUP and when the modification time of the file
 * changes. If the file is invalid, the current settings stay in force.
 */
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "celld.h"

/* Interval of checks of the modification time. */
#define CHECK_INTERVAL_MS 1000

struct reload {
	struct celld *d;
	char file[CD_PATH_MAX];
	struct timespec changed; /* modification time of the file last read */
	struct timer timer;
};

/* Returns false if the modification time cannot be read. */
static bool file_mtime(const struct reload *r, struct timespec *at)
{
	struct stat st;

	if (stat(r->file, &st) < 0)
		return false;
	*at = st.st_mtim;
	return true;
}

/* Reads the file and applies the settings that may change at run time. */
void reload_now(struct reload *r)
{
	struct cd_conf next;
	struct err err = { 0 };
	struct buf fixed = { 0 };
	uint32_t count;

	file_mtime(r, &r->changed);
	if (!conf_read(&next, r->file, &err)) {
		ev("reload", "result=rejected detail=\"%s\"", err.text);
		return;
	}
	count = conf_apply(&r->d->conf, &next, &fixed);
	ev("reload", "result=applied changed=%u need_restart=%s", count,
	   fixed.len ? fixed.data : "-");
	buf_free(&fixed);
	if (r->d->config)
		config_settings_changed(r->d->config);
}

static void on_check(struct timer *timer)
{
	struct reload *r = timer->ctx;
	struct timespec at;

	timer_start(r->d->loop, &r->timer, CHECK_INTERVAL_MS);
	if (file_mtime(r, &at) && (at.tv_sec != r->changed.tv_sec ||
				   at.tv_nsec != r->changed.tv_nsec))
		reload_now(r);
}

/* Watches @file for changes from its current modification time on. */
struct reload *reload_new(struct celld *d, const char *file)
{
	struct reload *r = xcalloc(1, sizeof(*r));

	r->d = d;
	snprintf(r->file, sizeof(r->file), "%s", file);
	file_mtime(r, &r->changed);
	r->timer = (struct timer){ .fn = on_check, .ctx = r };
	timer_start(d->loop, &r->timer, CHECK_INTERVAL_MS);
	return r;
}
