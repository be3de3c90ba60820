/*
 * Who is the holder. The store orders the terms: a daemon takes over by a
 * compare-and-swap of the holder's key, whose new revision is its token.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/rand.h>

#include "celld.h"

#define TICK_MS 50
#define READ_TIMEOUT_MS 500
#define READ_RETRY_MS 200
#define WATCH_MS 4000
#define LEASE_TTL_MS 1000
#define KEEP_MS 300
#define CALL_TIMEOUT_MS 500
/* A term is confirmed by a read if the journal has not done so, in ms. */
#define CONFIRM_MS 500
/* The store counts as serving after an answer this long ago, in ms. */
#define STORE_OK_MS 1000
/* Daemons on small machines, or far from the store, let others go first. */
#define SMALL_SHARE 0.2
#define SMALL_DELAY_MS 120
#define FAR_MS 15
#define FAR_DELAY_MS 60
#define JITTER_MS 40
/* What a holder value may be; longer ones are not of this program. */
#define VALUE_MAX 200

struct terms {
	struct celld *d;
	uint64_t read_revision;
	bool read;	  /* the keys have been read at least once */
	uint64_t seen;	  /* revision of the holder's key, 0: none */
	uint64_t seen_ms; /* when it was first seen */
	char holder[CELL_NAME_MAX];
	char addr[CELL_ADDR_MAX];
	char nonce[24]; /* of the current holder value */
	bool live;
	bool released;
	char own_nonce[24]; /* of the claim in flight */
	bool claiming;
	uint64_t claim_at_ms; /* 0: no reason to claim */
	uint64_t claim_sent_ms;
	uint64_t token; /* of this daemon's term, 0: not the holder */
	uint64_t confirmed_ms;
	uint64_t confirm_sent_ms;
	bool confirming;
	uint64_t lease;
	bool keeping;
	uint64_t keep_ms;
	uint64_t store_ms; /* last round trip */
	struct timer tick;
	struct timer retry;
};

static void read_terms(struct terms *t);
static void on_commit(void *ctx, const struct pf_reply *reply);

uint64_t terms_token(const struct terms *t)
{
	return t->token;
}

/* Returns the latest term that was seen, 0: none. */
uint64_t terms_seen(const struct terms *t)
{
	return t->seen;
}

/* Gives the term up; runs go on, and the successor adopts them. */
void terms_step_down(struct terms *t, const char *why)
{
	if (!t->token)
		return;
	ev("term-ended", "token=%llu why=\"%s\"", (unsigned long long)t->token,
	   why);
	t->token = 0;
	t->lease = 0;
	cd_end_term(t->d);
}

/* A write under the condition of this term succeeded; it was sent then. */
void terms_confirmed(struct terms *t, uint64_t sent_ms)
{
	if (sent_ms > t->confirmed_ms)
		t->confirmed_ms = sent_ms;
}

/* The holder has said that it gives up. */
void terms_released(struct terms *t)
{
	t->released = true;
}

static bool store_ok(const struct terms *t, uint64_t now)
{
	uint64_t ok = pf_store_ok_ms(t->d->store);

	return ok && now < ok + STORE_OK_MS;
}

/* Returns true if this daemon may order minions at this moment. */
bool terms_valid(const struct terms *t, uint64_t now_ms)
{
	struct term_proof proof = { .now_ms = now_ms,
				    .confirmed_ms = t->confirmed_ms,
				    .store_ok = store_ok(t, now_ms) };
	uint64_t seen_ms = 0;

	if (!t->token)
		return false;
	if (links_store_seen(t->d->links, t->token, now_ms, &seen_ms) &&
	    seen_ms > proof.confirmed_ms)
		proof.confirmed_ms = seen_ms;
	proof.followers = links_followers(t->d->links);
	proof.followers_cut = links_store_unreachable(t->d->links, now_ms);
	proof.missing = links_missing(t->d->links, now_ms);
	return term_valid(&proof);
}

static void parse_holder(struct terms *t, const struct pf_item *item)
{
	char copy[VALUE_MAX];
	char *fields[3] = { NULL };
	char *save = NULL;

	if (!item->value || item->value_len >= sizeof(copy))
		return;
	memcpy(copy, item->value, item->value_len + 1);
	fields[0] = strtok_r(copy, " ", &save);
	fields[1] = strtok_r(NULL, " ", &save);
	fields[2] = strtok_r(NULL, " ", &save);
	if (!fields[2])
		return;
	snprintf(t->holder, sizeof(t->holder), "%s", fields[0]);
	snprintf(t->addr, sizeof(t->addr), "%s", fields[1]);
	snprintf(t->nonce, sizeof(t->nonce), "%s", fields[2]);
}

static void begin_term(struct terms *t, uint64_t token, uint64_t sent_ms)
{
	t->token = token;
	t->confirmed_ms = sent_ms;
	t->lease = 0;
	t->keep_ms = 0;
	t->claim_at_ms = 0;
	cd_start_term(t->d, token);
}

static void take_holder(struct terms *t, const struct pf_item *item)
{
	if (item->revision <= t->seen)
		return;
	t->seen = item->revision;
	t->seen_ms = loop_now_ms();
	t->released = false;
	t->claim_at_ms = 0;
	parse_holder(t, item);
	ev("holder", "name=%s addr=%s term=%llu", t->holder, t->addr,
	   (unsigned long long)t->seen);
	if (t->token && t->token != t->seen)
		terms_step_down(t, "another daemon has taken over");
	if (!t->token && t->own_nonce[0] && !strcmp(t->nonce, t->own_nonce))
		begin_term(t, t->seen, t->claim_sent_ms);
	if (!t->token)
		links_follow(t->d->links, t->addr);
	asks_holder_changed(t->d->asks);
}

/*
 * Another daemon says who holds the cell. The store orders the terms, but it
 * may not serve this daemon at the moment.
 */
void terms_moved(struct terms *t, uint64_t term, const char *addr)
{
	if (term <= t->seen)
		return;
	t->seen = term;
	t->seen_ms = loop_now_ms();
	t->released = false;
	t->claim_at_ms = 0;
	t->nonce[0] = '\0';
	snprintf(t->holder, sizeof(t->holder), "-");
	snprintf(t->addr, sizeof(t->addr), "%s", addr);
	ev("holder", "name=- addr=%s term=%llu from=peer", addr,
	   (unsigned long long)term);
	if (t->token)
		terms_step_down(t, "another daemon has taken over");
	links_moved(t->d->links, term, addr);
	links_follow(t->d->links, addr);
	asks_holder_changed(t->d->asks);
}

static void take_items(struct terms *t, const struct pf_reply *reply)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		const struct pf_item *item = &reply->items[i];

		if (!strcmp(item->key, CD_HOLDER_KEY))
			take_holder(t, item);
		else if (!strcmp(item->key, CD_LIVE_KEY))
			t->live = item->value != NULL;
	}
}

static void on_watch(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	if (reply->status != PF_OK) {
		timer_start(t->d->loop, &t->retry,
			    reply->status == PF_GONE ||
					    reply->status == PF_UNKNOWN
				    ? 0
				    : READ_RETRY_MS);
		return;
	}
	take_items(t, reply);
	if (reply->read_revision > t->read_revision)
		t->read_revision = reply->read_revision;
	pf_watch(t->d->store, CD_TERM_PREFIX, t->read_revision, WATCH_MS,
		 on_watch, t);
}

static void on_read(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	if (reply->status != PF_OK) {
		timer_start(t->d->loop, &t->retry, READ_RETRY_MS);
		return;
	}
	t->store_ms = reply->took_ms;
	t->live = false;
	take_items(t, reply);
	t->read = true;
	t->read_revision = reply->read_revision;
	pf_watch(t->d->store, CD_TERM_PREFIX, t->read_revision, WATCH_MS,
		 on_watch, t);
}

static void read_terms(struct terms *t)
{
	pf_range(t->d->store, CD_TERM_PREFIX, NULL, READ_TIMEOUT_MS, on_read,
		 t);
}

static void on_retry(struct timer *timer)
{
	read_terms(timer->ctx);
}

static void on_own_claim(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->claiming = false;
	if (reply->status == PF_OK)
		take_items(t, reply);
}

static void on_commit(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->claiming = false;
	t->claim_at_ms = 0;
	switch (reply->status) {
	case PF_OK:
		/* The watch may have told of this claim before its answer. */
		if (reply->revision <= t->seen)
			break;
		t->seen = reply->revision;
		t->seen_ms = loop_now_ms();
		t->released = false;
		snprintf(t->holder, sizeof(t->holder), "%s", t->d->conf.name);
		snprintf(t->addr, sizeof(t->addr), "%s",
			 t->d->conf.peers_address);
		begin_term(t, reply->revision, t->claim_sent_ms);
		break;
	case PF_UNKNOWN:
		/* The key tells whose claim it was. */
		t->claiming = true;
		pf_get(t->d->store, CD_HOLDER_KEY, READ_TIMEOUT_MS,
		       on_own_claim, t);
		break;
	case PF_CONFLICT:
		take_items(t, reply);
		break;
	default:
		break;
	}
}

static void claim(struct terms *t, const char *why, uint64_t now)
{
	unsigned char random[8];
	struct pf_txn txn = { .condition_count = 1, .put_count = 1 };
	struct buf value;

	if (RAND_bytes(random, sizeof(random)) != 1)
		return;
	for (size_t i = 0; i < sizeof(random); i++)
		snprintf(t->own_nonce + i * 2, 3, "%02x", random[i]);
	value = buf_fmt("%s %s %s", t->d->conf.name, t->d->conf.peers_address,
			t->own_nonce);
	txn.conditions[0] = (struct pf_condition){ .key = CD_HOLDER_KEY,
						   .revision = t->seen };
	txn.puts[0] = (struct pf_put){ .key = CD_HOLDER_KEY,
				       .value = value.data,
				       .len = value.len };
	ev("claim", "former=%s term=%llu why=\"%s\"",
	   t->holder[0] ? t->holder : "-", (unsigned long long)t->seen, why);
	t->claiming = true;
	t->claim_sent_ms = now;
	pf_commit(t->d->store, &txn, CALL_TIMEOUT_MS, on_commit, t);
	buf_free(&value);
}

static uint64_t claim_delay(const struct terms *t)
{
	unsigned char random = 0;
	uint64_t delay = 0;

	if (t->d->conf.cpu_share < SMALL_SHARE)
		delay += SMALL_DELAY_MS;
	if (t->store_ms > FAR_MS)
		delay += FAR_DELAY_MS;
	if (RAND_bytes(&random, 1) == 1)
		delay += random % JITTER_MS;
	return delay;
}

static void consider_claim(struct terms *t, uint64_t now)
{
	struct links *links = t->d->links;
	uint64_t heard = links_heard_ms(links);
	struct term_view view = {
		.store_ok = t->read && store_ok(t, now) &&
			    config_current(t->d->config),
		.draining = t->d->draining,
		.none = !t->seen,
		.own = t->seen && !strcmp(t->addr, t->d->conf.peers_address),
		.released = t->released,
		.live_missing = !t->live,
		.linked = links_up(links),
		.silent_ms = (uint32_t)(now - heard),
		.holder_valid = links_holder_valid(links),
		.holder_store_age_ms = links_holder_store_age(links),
		.refused = links_refused(links),
		.term_age_ms = (uint32_t)(now - t->seen_ms),
	};
	const char *why = term_reason(&view);

	if (!why || t->claiming) {
		t->claim_at_ms = 0;
		return;
	}
	if (!t->claim_at_ms)
		t->claim_at_ms = now + claim_delay(t);
	if (now >= t->claim_at_ms)
		claim(t, why, now);
}

static void on_confirm(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->confirming = false;
	if (reply->status != PF_OK)
		return;
	take_items(t, reply);
	if (t->token && t->token == t->seen && reply->count)
		terms_confirmed(t, t->confirm_sent_ms);
}

static void on_live(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->keeping = false;
	if (reply->status == PF_OK)
		t->live = true;
	else if (reply->status == PF_CONFLICT)
		take_items(t, reply);
	if (reply->status != PF_OK)
		t->lease = 0;
}

static void on_lease(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;
	struct pf_txn txn = { .condition_count = 1, .put_count = 1 };

	t->keeping = false;
	if (reply->status != PF_OK || !t->token)
		return;
	t->lease = reply->lease;
	t->keeping = true;
	txn.conditions[0] = (struct pf_condition){ .key = CD_HOLDER_KEY,
						   .revision = t->token };
	txn.puts[0] = (struct pf_put){ .key = CD_LIVE_KEY,
				       .value = t->d->conf.name,
				       .len = strlen(t->d->conf.name),
				       .lease = t->lease };
	pf_commit(t->d->store, &txn, CALL_TIMEOUT_MS, on_live, t);
}

static void on_keep(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->keeping = false;
	if (reply->status == PF_MISSING) {
		t->lease = 0;
		t->keep_ms = 0;
	}
}

static void hold_term(struct terms *t, uint64_t now)
{
	if (!t->keeping && now >= t->keep_ms) {
		t->keeping = true;
		t->keep_ms = now + KEEP_MS;
		if (!t->lease || !t->live)
			pf_lease(t->d->store, LEASE_TTL_MS, CALL_TIMEOUT_MS,
				 on_lease, t);
		else
			pf_keep(t->d->store, t->lease, CALL_TIMEOUT_MS, on_keep,
				t);
	}
	if (!t->confirming && now > t->confirmed_ms + CONFIRM_MS &&
	    now > t->confirm_sent_ms + CONFIRM_MS) {
		t->confirming = true;
		t->confirm_sent_ms = now;
		pf_get(t->d->store, CD_HOLDER_KEY, CALL_TIMEOUT_MS, on_confirm,
		       t);
	}
}

static void on_yielded(void *ctx, const struct pf_reply *reply)
{
	(void)ctx;
	(void)reply;
}

/* Ends this daemon's term in an orderly way, so that another takes over. */
void terms_yield(struct terms *t)
{
	struct pf_txn txn = { .condition_count = 1, .remove_count = 1 };

	if (!t->token)
		return;
	txn.conditions[0] = (struct pf_condition){ .key = CD_HOLDER_KEY,
						   .revision = t->token };
	txn.removes[0] = CD_LIVE_KEY;
	links_release(t->d->links);
	pf_commit(t->d->store, &txn, CALL_TIMEOUT_MS, on_yielded, t);
	t->keep_ms = UINT64_MAX;
}

/* Claims, or holds what was claimed. */
void terms_tick(struct terms *t, uint64_t now_ms)
{
	if (t->token)
		hold_term(t, now_ms);
	else
		consider_claim(t, now_ms);
}

static void on_tick(struct timer *timer)
{
	struct terms *t = timer->ctx;

	terms_tick(t, loop_now_ms());
	timer_start(t->d->loop, &t->tick, TICK_MS);
}

struct terms *terms_new(struct celld *d)
{
	struct terms *t = xcalloc(1, sizeof(*t));

	t->d = d;
	t->tick = (struct timer){ .fn = on_tick, .ctx = t };
	t->retry = (struct timer){ .fn = on_retry, .ctx = t };
	read_terms(t);
	timer_start(d->loop, &t->tick, TICK_MS);
	return t;
}
