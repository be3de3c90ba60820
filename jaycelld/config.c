/*
 * Watch of the operator's configuration, and its confirmations. Older versions
 * are ignored.
 */
#include <stdlib.h>
#include <string.h>

#include "celld.h"
#include "cell/keys.h"
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
/*
 * Keys are honoured this much shorter than revoke_ms, for clocks that run at
 * different rates and for rounding; half of revoke_ms if that is less.
 */
#define REVOKE_MARGIN_MS 250
/*
 * A confirmation is requested early enough for this many attempts that time out
 * and one that is served within the timeout.
 */
#define LOST_CONFIRMS 2
/* Shortest timeout of a confirmation, whatever revoke_ms is. */
#define CONFIRM_TIMEOUT_MIN_MS 20
/*
 * After an attempt that failed, callers start no other for this long, so that a
 * store which rejects calls at once does not get one for each request.
 */
#define CONFIRM_RETRY_MS 100

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
	struct cell_keys *keys;	    /* of the current configuration */
	uint64_t read_revision;
	uint64_t revision;	/* of the latest value; 0: no such key */
	size_t value_len;	/* its encoded size in bytes */
	uint32_t read_timeouts; /* consecutive reads that timed out */
	uint64_t confirmed_ms;	/* send time of the latest confirmation */
	uint64_t sent_ms;
	uint64_t confirm_sent_ms;
	bool confirming;
	bool confirm_failed; /* the latest attempt */
	struct waiter waiters[WAITERS_MAX];
	uint32_t waiter_count;
	struct timer waiting; /* expires when the first waiter gives up */
	struct timer retry;
	struct timer keep; /* expires when the next confirmation is due */
	bool keys_expired; /* as of the latest event */
};

static void read_config(struct config_watch *c);
static void watch(struct config_watch *c);

/* Returns the newest configuration, or NULL before the first. */
const struct cell_config *config_current(const struct config_watch *c)
{
	return c->current.version ? &c->current : NULL;
}

/* Returns true if keys are honoured only with a recent confirmation. */
static bool keys_expire(const struct config_watch *c)
{
	return c->d->conf.revoke_ms && cell_config_has_teams(&c->current);
}

/* Returns the age of a confirmation up to which keys are honoured. */
uint64_t config_keys_max_age_ms(const struct config_watch *c)
{
	uint32_t revoke_ms = c->d->conf.revoke_ms;

	if (!keys_expire(c))
		return UINT64_MAX;
	return revoke_ms > 2 * REVOKE_MARGIN_MS ? revoke_ms - REVOKE_MARGIN_MS
						: revoke_ms / 2;
}

/* Returns the time since the latest confirmation was sent. */
uint64_t config_age_ms(const struct config_watch *c)
{
	return c->confirmed_ms ? loop_now_ms() - c->confirmed_ms : UINT64_MAX;
}

/*
 * Returns true while keys are honoured. The clock is read again at each call,
 * since the process may have been paused since the start of the loop iteration.
 */
bool config_keys_valid(struct config_watch *c)
{
	uint64_t age = config_age_ms(c);
	bool expired = keys_expire(c) && age > config_keys_max_age_ms(c);

	if (expired == c->keys_expired)
		return !expired;
	c->keys_expired = expired;
	if (expired)
		ev("keys-expired", "age_ms=%llu revoke_ms=%u",
		   (unsigned long long)age, c->d->conf.revoke_ms);
	else
		ev("keys-valid", "age_ms=%llu", (unsigned long long)age);
	return !expired;
}

/* Returns the team that holds @key, or NULL. */
const struct cell_team_spec *config_team(const struct config_watch *c,
					 const char *key)
{
	return c->keys ? cell_keys_team(c->keys, &c->current, key) : NULL;
}

/* Returns the number of keys. */
uint32_t config_key_count(const struct config_watch *c)
{
	return c->keys ? cell_keys_count(c->keys) : 0;
}

/*
 * Timeout of a confirmation. With a small revoke_ms it is shorter, so that the
 * attempts fit into the time for which keys are honoured.
 */
static uint32_t confirm_timeout(const struct config_watch *c)
{
	uint64_t share = config_keys_max_age_ms(c) / (LOST_CONFIRMS + 2);

	if (share > CONFIRM_TIMEOUT_MS)
		return CONFIRM_TIMEOUT_MS;
	return share > CONFIRM_TIMEOUT_MIN_MS ? (uint32_t)share
					      : CONFIRM_TIMEOUT_MIN_MS;
}

/*
 * Starts the timer of the next confirmation, if keys expire. After a failure it
 * is due one timeout after the failed attempt was sent, also if the store
 * rejected that at once.
 */
static void schedule_confirm(struct config_watch *c)
{
	uint64_t now = loop_now_ms();
	uint64_t timeout = confirm_timeout(c);
	uint64_t ahead = (LOST_CONFIRMS + 1) * timeout;
	uint64_t due;

	timer_stop(c->d->loop, &c->keep);
	config_keys_valid(c);
	if (!keys_expire(c) || c->confirming)
		return;
	due = c->confirmed_ms + config_keys_max_age_ms(c);
	due = due > ahead ? due - ahead : 0;
	if (due < c->confirm_sent_ms + timeout)
		due = c->confirm_sent_ms + timeout;
	timer_start(c->d->loop, &c->keep, due > now ? due - now : 0);
}

/* Records that the configuration was current at @sent_ms or later. */
static void set_confirmed(struct config_watch *c, uint64_t sent_ms)
{
	if (sent_ms > c->confirmed_ms)
		c->confirmed_ms = sent_ms;
	schedule_confirm(c);
}

/* Applies the settings that the operator has changed. */
void config_settings_changed(struct config_watch *c)
{
	schedule_confirm(c);
}

static void put_in_force(struct config_watch *c, struct cell_config *next,
			 uint64_t revision)
{
	struct cell_keys *keys = cell_keys_index(next);

	ev("config",
	   "version=%llu former=%llu queues=%u malformed=%u teams=%u keys=%u "
	   "malformed_teams=%u revision=%llu",
	   (unsigned long long)next->version,
	   (unsigned long long)c->current.version, next->queue_count,
	   next->malformed, next->team_count, cell_keys_count(keys),
	   next->malformed_teams, (unsigned long long)revision);
	cell_config_free(&c->former);
	c->former = c->current;
	c->current = *next;
	cell_keys_free(c->keys);
	c->keys = keys;
	if (c->d->holder)
		holder_config_changed(c->d->holder);
}

static void apply_item(struct config_watch *c, const struct pf_item *item)
{
	struct cell_config next;
	struct err err = { 0 };

	/* Once for each revision, so that its faults are logged once. */
	if (item->revision && item->revision == c->revision)
		return;
	if (!item->revision || item->revision > c->revision)
		c->revision = item->revision;
	c->value_len = item->value_len;
	if (!item->value ||
	    !pf_decode_config(item->value, item->value_len, &next, &err)) {
		ev("config-malformed", "revision=%llu detail=\"%s\"",
		   (unsigned long long)item->revision,
		   item->value ? err.text : "no such key");
		return;
	}
	if (next.version <= c->current.version)
		cell_config_free(&next);
	else
		put_in_force(c, &next, item->revision);
}

/* Returns true if the reply holds the state of the configuration. */
static bool apply_items(struct config_watch *c, const struct pf_reply *reply)
{
	bool found = false;

	for (uint32_t i = 0; i < reply->count; i++) {
		if (strcmp(reply->items[i].key, PF_CONFIG_KEY) != 0)
			continue;
		apply_item(c, &reply->items[i]);
		found = true;
	}
	return found;
}

static void on_watch(void *ctx, const struct pf_reply *reply)
{
	struct config_watch *c = ctx;

	if (reply->status == PF_OK) {
		/*
		 * This confirms nothing: a watch can miss changes, also one
		 * that returns others.
		 */
		apply_items(c, reply);
		schedule_confirm(c);
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
	set_confirmed(c, c->sent_ms);
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
	bool confirmed = reply->status == PF_OK;

	/* A conflict returns the newer configuration. */
	if (reply->status == PF_CONFLICT)
		confirmed = apply_items(c, reply);
	c->confirming = false;
	c->confirm_failed = !confirmed;
	if (confirmed)
		set_confirmed(c, c->confirm_sent_ms);
	else
		schedule_confirm(c);
	call_waiters(c, c->waiter_count, confirmed);
}

/* Checks by its revision that the configuration is current, without a read. */
static void confirm(struct config_watch *c)
{
	struct pf_txn txn = { .condition_count = 1 };

	txn.conditions[0] = (struct pf_condition){ .key = PF_CONFIG_KEY,
						   .revision = c->revision };
	c->confirming = true;
	c->confirm_sent_ms = loop_now_ms();
	pf_commit(c->d->store, &txn, confirm_timeout(c), on_confirm, c);
}

static void on_keep(struct timer *timer)
{
	struct config_watch *c = timer->ctx;

	config_keys_valid(c);
	if (!c->confirming)
		confirm(c);
}

static bool failed_just_now(const struct config_watch *c, uint64_t now)
{
	return cell_config_has_teams(&c->current) && !c->confirming &&
	       c->confirm_failed && now < c->confirm_sent_ms + CONFIRM_RETRY_MS;
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
	if (c->waiter_count == WAITERS_MAX || failed_just_now(c, now)) {
		done(ctx, false);
		return;
	}
	c->waiters[c->waiter_count++] =
		(struct waiter){ .since_ms = now, .done = done, .ctx = ctx };
	if (!c->waiting.heap_pos)
		timer_start(c->d->loop, &c->waiting, CONFIRM_WAIT_MS);
	if (!c->confirming)
		confirm(c);
}

/* Starts reading and watching the configuration. */
struct config_watch *config_new(struct celld *d)
{
	struct config_watch *c = xcalloc(1, sizeof(*c));

	c->d = d;
	c->retry = (struct timer){ .fn = on_retry, .ctx = c };
	c->waiting = (struct timer){ .fn = on_waiting, .ctx = c };
	c->keep = (struct timer){ .fn = on_keep, .ctx = c };
	read_config(c);
	return c;
}
