/* The operator's configuration: watched, and never taken back. */
#include <stdlib.h>

#include "celld.h"
#include "platform/decode.h"

/* A watch that waits; shorter than the bound of a change on a silent one. */
#define WATCH_MS 1500
/*
 * Time for a read, in ms. It doubles with each read that was not answered in
 * time, so that a configuration of thousands of routes also gets through a slow
 * or crowded link: otherwise the retries themselves would keep the link full.
 */
#define READ_TIMEOUT_MS 600
#define READ_DOUBLINGS_MAX 3
/* A read of what is known already gets this much more for each byte, in us. */
#define READ_BYTE_US 2
#define CONFIRM_TIMEOUT_MS 600
#define RETRY_MS 150
#define WAITERS_MAX 256

struct waiter {
	void (*done)(void *ctx, bool confirmed);
	void *ctx;
};

struct config_watch {
	struct celld *d;
	struct cell_config current; /* version 0: none yet */
	struct cell_config former;  /* may be in use by the scheduler */
	uint64_t read_revision;
	uint64_t revision;     /* of the current configuration */
	size_t len;	       /* of its value, in bytes */
	uint32_t unanswered;   /* reads in a row */
	uint64_t confirmed_ms; /* sent time of the latest read that held */
	uint64_t sent_ms;
	uint64_t confirm_sent_ms;
	bool confirming;
	struct waiter waiters[WAITERS_MAX];
	uint32_t waiter_count;
	struct timer retry;
};

static void read_config(struct config_watch *c);
static void watch(struct config_watch *c);

/* Returns the newest configuration, or NULL before the first. */
const struct cell_config *config_current(const struct config_watch *c)
{
	return c->current.version ? &c->current : NULL;
}

static void take(struct config_watch *c, const struct pf_item *item)
{
	struct cell_config next;
	struct err err = { 0 };

	if (!item->value ||
	    !pf_decode_config(item->value, item->value_len, &next, &err)) {
		ev("config-malformed", "revision=%llu detail=\"%s\"",
		   (unsigned long long)item->revision, err.text);
		return;
	}
	if (item->revision > c->revision) {
		c->revision = item->revision;
		c->len = item->value_len;
	}
	if (next.version <= c->current.version) {
		cell_config_free(&next);
		return;
	}
	ev("config", "version=%llu former=%llu queues=%u revision=%llu",
	   (unsigned long long)next.version,
	   (unsigned long long)c->current.version, next.queue_count,
	   (unsigned long long)item->revision);
	cell_config_free(&c->former);
	c->former = c->current;
	c->current = next;
	if (c->d->holder)
		holder_config(c->d->holder);
}

static void take_items(struct config_watch *c, const struct pf_reply *reply)
{
	for (uint32_t i = 0; i < reply->count; i++)
		take(c, &reply->items[i]);
}

static void on_watch(void *ctx, const struct pf_reply *reply)
{
	struct config_watch *c = ctx;

	if (reply->status == PF_OK) {
		take_items(c, reply);
		/* A watch can miss changes; only a read confirms. */
		if (reply->count)
			c->confirmed_ms = c->sent_ms;
		if (reply->read_revision > c->read_revision)
			c->read_revision = reply->read_revision;
		watch(c);
		return;
	}
	if (reply->status != PF_GONE)
		ev("config-watch-lost", "status=%d after_ms=%u detail=\"%s\"",
		   reply->status, reply->took_ms,
		   reply->error ? reply->error : "");
	timer_start(c->d->loop, &c->retry,
		    reply->status == PF_GONE || reply->status == PF_UNKNOWN
			    ? 0
			    : RETRY_MS);
}

static void watch(struct config_watch *c)
{
	c->sent_ms = loop_now_ms();
	pf_watch(c->d->store, PF_CONFIG_KEY, c->read_revision, WATCH_MS,
		 on_watch, c);
}

static void on_read(void *ctx, const struct pf_reply *reply)
{
	struct config_watch *c = ctx;

	if (reply->status != PF_OK && reply->status != PF_MISSING) {
		ev("config-unread", "status=%d after_ms=%u", reply->status,
		   reply->took_ms);
		if (reply->status == PF_UNKNOWN &&
		    c->unanswered < READ_DOUBLINGS_MAX)
			c->unanswered++;
		timer_start(c->d->loop, &c->retry, RETRY_MS);
		return;
	}
	c->unanswered = 0;
	take_items(c, reply);
	c->confirmed_ms = c->sent_ms;
	c->read_revision = reply->read_revision;
	watch(c);
}

static void on_retry(struct timer *timer)
{
	read_config(timer->ctx);
}

static uint32_t read_timeout(const struct config_watch *c)
{
	uint32_t known = (uint32_t)(c->len * READ_BYTE_US / 1000);

	return (READ_TIMEOUT_MS + known) << c->unanswered;
}

static void read_config(struct config_watch *c)
{
	c->sent_ms = loop_now_ms();
	pf_get(c->d->store, PF_CONFIG_KEY, read_timeout(c), on_read, c);
}

static void on_confirm(void *ctx, const struct pf_reply *reply)
{
	struct config_watch *c = ctx;
	uint32_t n = c->waiter_count;
	struct waiter waiters[WAITERS_MAX];

	for (uint32_t i = 0; i < n; i++)
		waiters[i] = c->waiters[i];
	c->waiter_count = 0;
	c->confirming = false;
	/* A conflict shows the newer one. */
	if (reply->status == PF_CONFLICT)
		take_items(c, reply);
	if (reply->status == PF_OK || reply->status == PF_CONFLICT)
		c->confirmed_ms = c->confirm_sent_ms;
	for (uint32_t i = 0; i < n; i++)
		waiters[i].done(waiters[i].ctx,
				c->confirmed_ms == c->confirm_sent_ms);
}

/* Asks whether the current configuration is the newest, without reading it. */
static void confirm(struct config_watch *c, uint64_t now)
{
	struct pf_txn txn = { .condition_count = 1 };

	txn.conditions[0] = (struct pf_condition){ .key = PF_CONFIG_KEY,
						   .revision = c->revision };
	c->confirming = true;
	c->confirm_sent_ms = now;
	pf_commit(c->d->store, &txn, CONFIRM_TIMEOUT_MS, on_confirm, c);
}

/*
 * Calls @done once the configuration is known to be no older than @max_age_ms,
 * or with false when the store does not answer.
 */
void config_confirm(struct config_watch *c, uint64_t max_age_ms,
		    void (*done)(void *ctx, bool confirmed), void *ctx)
{
	uint64_t now = loop_now_ms();

	if (c->confirmed_ms && now - c->confirmed_ms <= max_age_ms) {
		done(ctx, true);
		return;
	}
	if (c->waiter_count == WAITERS_MAX) {
		done(ctx, false);
		return;
	}
	c->waiters[c->waiter_count++] =
		(struct waiter){ .done = done, .ctx = ctx };
	if (c->confirming)
		return;
	confirm(c, now);
}

/* Starts to read and watch the configuration. */
struct config_watch *config_new(struct celld *d)
{
	struct config_watch *c = xcalloc(1, sizeof(*c));

	c->d = d;
	c->retry = (struct timer){ .fn = on_retry, .ctx = c };
	read_config(c);
	return c;
}
