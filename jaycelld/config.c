/* Watch of the operator's configuration. Older versions are ignored. */
#include <stdlib.h>
#include <string.h>

#include "celld.h"
#include "platform/decode.h"

/* Long-poll time: bounds the delay of a change if a watch is lost silently. */
#define WATCH_WAIT_MS 1500
/*
 * Read timeout. It doubles with each read that times out, up to
 * READ_DOUBLINGS_MAX times, so that a configuration of thousands of routes also
 * gets through a slow or congested link. With a fixed timeout, the retries
 * themselves would saturate the link.
 */
#define READ_TIMEOUT_MS 600
#define READ_DOUBLINGS_MAX 3
/* Added to the read timeout for each byte of the known configuration. */
#define READ_US_PER_BYTE 2
#define CONFIRM_TIMEOUT_MS 600
/*
 * A request for an unknown queue waits this long for a confirmation. Requests
 * for known queues are answered meanwhile, by a configuration that may be older
 * than the one that answers the waiting request in the end, so the wait stays
 * within the platform's rollback slack of 250 ms.
 */
#define CONFIRM_WAIT_MS 200
#define RETRY_MS 150
#define WAITERS_MAX 256

/* A pending call of config_confirm(). */
struct waiter {
	uint64_t since_ms;
	void (*done)(void *ctx, bool confirmed);
	void *ctx;
};

struct config_watch {
	struct celld *d;
	struct cell_config current; /* version 0: none yet */
	struct cell_config former;  /* the scheduler may still use it */
	uint64_t read_revision;
	uint64_t revision;	/* of the current configuration */
	size_t value_len;	/* its encoded size in bytes */
	uint32_t read_timeouts; /* consecutive reads that timed out */
	uint64_t confirmed_ms;	/* send time of the latest confirmation */
	uint64_t sent_ms;
	uint64_t confirm_sent_ms;
	bool confirming;
	struct waiter waiters[WAITERS_MAX];
	uint32_t waiter_count;
	struct timer waiting; /* expires when the first waiter gives up */
	struct timer retry;
};

static void read_config(struct config_watch *c);
static void watch(struct config_watch *c);

/* Returns the newest configuration, or NULL before the first. */
const struct cell_config *config_current(const struct config_watch *c)
{
	return c->current.version ? &c->current : NULL;
}

static void apply_item(struct config_watch *c, const struct pf_item *item)
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
		c->value_len = item->value_len;
	}
	if (next.version <= c->current.version) {
		cell_config_free(&next);
		return;
	}
	ev("config",
	   "version=%llu former=%llu queues=%u malformed=%u revision=%llu",
	   (unsigned long long)next.version,
	   (unsigned long long)c->current.version, next.queue_count,
	   next.malformed, (unsigned long long)item->revision);
	cell_config_free(&c->former);
	c->former = c->current;
	c->current = next;
	if (c->d->holder)
		holder_config_changed(c->d->holder);
}

static void apply_items(struct config_watch *c, const struct pf_reply *reply)
{
	for (uint32_t i = 0; i < reply->count; i++)
		apply_item(c, &reply->items[i]);
}

static void on_watch(void *ctx, const struct pf_reply *reply)
{
	struct config_watch *c = ctx;

	if (reply->status == PF_OK) {
		apply_items(c, reply);
		/* An empty watch confirms nothing: it can miss changes. */
		if (reply->count)
			c->confirmed_ms = c->sent_ms;
		if (reply->read_revision > c->read_revision)
			c->read_revision = reply->read_revision;
		watch(c);
		return;
	}
	if (reply->status != PF_COMPACTED)
		ev("config-watch-lost", "status=%d after_ms=%u detail=\"%s\"",
		   reply->status, reply->elapsed_ms,
		   reply->error ? reply->error : "");
	timer_start(c->d->loop, &c->retry,
		    reply->status == PF_COMPACTED || reply->status == PF_UNKNOWN
			    ? 0
			    : RETRY_MS);
}

static void watch(struct config_watch *c)
{
	c->sent_ms = loop_now_ms();
	pf_watch(c->d->store, PF_CONFIG_KEY, c->read_revision, WATCH_WAIT_MS,
		 on_watch, c);
}

static void on_read(void *ctx, const struct pf_reply *reply)
{
	struct config_watch *c = ctx;

	if (reply->status != PF_OK && reply->status != PF_MISSING) {
		ev("config-unread", "status=%d after_ms=%u", reply->status,
		   reply->elapsed_ms);
		if (reply->status == PF_UNKNOWN &&
		    c->read_timeouts < READ_DOUBLINGS_MAX)
			c->read_timeouts++;
		timer_start(c->d->loop, &c->retry, RETRY_MS);
		return;
	}
	c->read_timeouts = 0;
	apply_items(c, reply);
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
	uint32_t known = (uint32_t)(c->value_len * READ_US_PER_BYTE / 1000);

	return (READ_TIMEOUT_MS + known) << c->read_timeouts;
}

static void read_config(struct config_watch *c)
{
	c->sent_ms = loop_now_ms();
	pf_get(c->d->store, PF_CONFIG_KEY, read_timeout(c), on_read, c);
}

/* Removes the first @n waiters and calls them. */
static void call_waiters(struct config_watch *c, uint32_t n, bool confirmed)
{
	struct waiter waiters[WAITERS_MAX];

	memcpy(waiters, c->waiters, n * sizeof(*waiters));
	c->waiter_count -= n;
	memmove(c->waiters, c->waiters + n, c->waiter_count * sizeof(*waiters));
	for (uint32_t i = 0; i < n; i++)
		waiters[i].done(waiters[i].ctx, confirmed);
}

static void on_waiting(struct timer *timer)
{
	struct config_watch *c = timer->ctx;
	uint64_t now = loop_now_ms();
	uint32_t n = 0;

	while (n < c->waiter_count &&
	       now >= c->waiters[n].since_ms + CONFIRM_WAIT_MS)
		n++;
	if (n < c->waiter_count)
		timer_start(c->d->loop, &c->waiting,
			    c->waiters[n].since_ms + CONFIRM_WAIT_MS - now);
	call_waiters(c, n, false);
}

static void on_confirm(void *ctx, const struct pf_reply *reply)
{
	struct config_watch *c = ctx;

	c->confirming = false;
	/* A conflict returns the newer configuration. */
	if (reply->status == PF_CONFLICT)
		apply_items(c, reply);
	if (reply->status == PF_OK || reply->status == PF_CONFLICT)
		c->confirmed_ms = c->confirm_sent_ms;
	call_waiters(c, c->waiter_count, c->confirmed_ms == c->confirm_sent_ms);
}

/* Checks by its revision that the configuration is current, without a read. */
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
 * Calls @done with true once the configuration is known to have been current
 * within the last @max_age_ms, or with false if the store does not respond in
 * time.
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
		(struct waiter){ .since_ms = now, .done = done, .ctx = ctx };
	if (!c->waiting.heap_pos)
		timer_start(c->d->loop, &c->waiting, CONFIRM_WAIT_MS);
	if (c->confirming)
		return;
	confirm(c, now);
}

/* Starts reading and watching the configuration. */
struct config_watch *config_new(struct celld *d)
{
	struct config_watch *c = xcalloc(1, sizeof(*c));

	c->d = d;
	c->retry = (struct timer){ .fn = on_retry, .ctx = c };
	c->waiting = (struct timer){ .fn = on_waiting, .ctx = c };
	read_config(c);
	return c;
}
