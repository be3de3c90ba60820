/*
 * Leader election. A daemon claims the holder role by a compare-and-swap of the
 * holder's key in the store. The new revision of the key numbers the term and
 * is its fencing token, so the store orders the terms.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/rand.h>

#include "celld.h"

#define TICK_MS 50
#define READ_TIMEOUT_MS 500
#define READ_RETRY_MS 200
#define WATCH_WAIT_MS 4000
#define LEASE_TTL_MS 1000
/* During recovery, renewals compete with the reads of the state. */
#define RECOVERY_LEASE_TTL_MS 4000
#define LEASE_RENEW_MS 300
#define CALL_TIMEOUT_MS 500
/*
 * The holder confirms its term by a read if no journal write has done so for
 * this long.
 */
#define CONFIRM_INTERVAL_MS 500
/* Interval at which the holder updates the list of daemons, if it differs. */
#define DAEMONS_INTERVAL_MS 1000
/* The first list of a cell is written when all had time to connect. */
#define FIRST_DAEMONS_MS 2000
/* Interval at which the holder reads the list, if it has not written it. */
#define DAEMONS_READ_INTERVAL_MS 2000
/* Interval at which a daemon that is not in the list tries to enter it. */
#define ENTER_INTERVAL_MS 500
/* As above, while the scheduler waits for a confirmation. */
#define CONFIRM_REQUESTED_MS 100
/* The store is healthy if it served a call within this time. */
#define STORE_OK_MS 1000
/*
 * Claim delays: daemons with less than SMALL_CPU_SHARE cores, or with a longer
 * round trip to the store than FAR_RTT_MS, let others claim first.
 */
#define SMALL_CPU_SHARE 0.2
/* Longer than a far daemon with more cores needs, with jitter and a tick. */
#define SMALL_DELAY_MS 250
/* Within BOOT_MS of its start, a small daemon waits longer for larger ones. */
#define BOOT_MS 3000
#define SMALL_BOOT_DELAY_MS 600
#define FAR_RTT_MS 15
#define FAR_DELAY_MS 60
#define CLAIM_JITTER_MS 40
/* Longer values of the holder key were not written by jaycelld. */
#define VALUE_MAX 200

struct terms {
	struct celld *d;
	uint64_t read_revision;
	bool loaded;	  /* the keys have been read once */
	uint64_t term;	  /* latest known, 0: none */
	uint64_t term_ms; /* when it became known */
	char holder[CELL_NAME_MAX];
	char addr[CELL_ADDR_MAX];      /* of the holder */
	char nonce[24];		       /* in the value of the holder key */
	struct term_leases key_leases; /* likewise */
	bool lease_live;      /* the key under the lease of the holder exists */
	bool released;	      /* the holder announced the end of its term */
	char claim_nonce[24]; /* of the latest claim */
	struct term_leases claim_leases; /* likewise */
	char former[CELL_ADDR_MAX];	 /* other holder before it, or empty */
	bool claiming;
	uint64_t claim_due_ms; /* 0: none is due */
	uint64_t claim_sent_ms;
	uint64_t token;	       /* of this daemon's term, 0: not the holder */
	bool valid;	       /* as last logged */
	uint64_t began_ms;     /* when this daemon learned of its term */
	uint64_t confirmed_ms; /* latest confirmation of any kind */
	uint64_t store_ms;     /* latest confirmation by the store */
	uint64_t confirm_sent_ms;
	uint64_t confirm_after_ms; /* as last requested */
	bool confirming;
	/* List in the store: as links_daemons(), with entries of others. */
	struct buf daemons;
	uint64_t daemons_revision; /* 0: there is no list */
	struct buf daemons_sent;
	uint64_t daemons_sent_ms;
	bool daemons_writing;
	bool daemons_unsure; /* a write without an answer may take effect */
	bool daemons_reading;
	uint64_t daemons_read_ms; /* when the latest read was sent */
	uint64_t listed_ms;	  /* latest confirmation of the list */
	bool entering;
	uint64_t enter_ms;   /* earliest time of the next try */
	uint64_t entered_ms; /* this daemon saw its own entry, 0: none */
	uint64_t daemons_ms; /* when it is compared next */
	uint64_t started_ms; /* of this process */
	uint64_t offered_ms; /* when this term was last offered, 0: never */
	uint64_t lease_id;
	uint32_t lease_ttl_ms; /* as requested for lease_id */
	bool renewing;
	uint64_t renew_ms;
	uint64_t store_rtt_ms; /* of the latest full read */
	struct timer tick;
	struct timer retry;
};

static void read_terms(struct terms *t);
static void on_claim(void *ctx, const struct pf_reply *reply);

/* Returns the name of the holder, its address for peers, or an empty string. */
const char *terms_holder(const struct terms *t)
{
	return t->holder[0] ? t->holder : t->addr;
}

/* Returns the fencing token of this daemon, 0 if it is not the holder. */
uint64_t terms_token(const struct terms *t)
{
	return t->token;
}

/* Returns the leases of this daemon's term, and those of earlier terms. */
struct term_leases terms_leases(const struct terms *t)
{
	return t->claim_leases;
}

/* Returns the latest known term, 0: none. */
uint64_t terms_latest(const struct terms *t)
{
	return t->term;
}

/*
 * Ends the term at once, for the reason @why. Runs continue on the minions, and
 * the next holder adopts them.
 */
void terms_step_down(struct terms *t, const char *why)
{
	if (!t->token)
		return;
	ev("term-ended", "token=%llu why=\"%s\"", (unsigned long long)t->token,
	   why);
	t->token = 0;
	t->lease_id = 0;
	cd_end_term(t->d);
}

/*
 * Records that the store confirmed the term: a call conditional on it, sent at
 * @sent_ms, succeeded.
 */
void terms_on_confirmed(struct terms *t, uint64_t sent_ms)
{
	if (sent_ms > t->store_ms)
		t->store_ms = sent_ms;
	if (sent_ms > t->confirmed_ms)
		t->confirmed_ms = sent_ms;
}

/* Returns when the store last confirmed the term of this daemon, if any. */
uint64_t terms_store_ms(const struct terms *t)
{
	return t->store_ms;
}

/* The holder announced the end of its term. */
void terms_on_released(struct terms *t)
{
	t->released = true;
}

static bool store_healthy(const struct terms *t, uint64_t now)
{
	uint64_t ok = pf_store_last_ok_ms(t->d->store);

	return ok && now < ok + STORE_OK_MS;
}

/* Collects the evidence that the term of this daemon is valid. */
static struct term_evidence collect_evidence(const struct terms *t)
{
	const struct links *links = t->d->links;

	return (struct term_evidence){
		.began_ms = t->began_ms,
		.confirmed_ms = t->confirmed_ms,
		.store_ms = t->store_ms,
		.listed_ms = t->listed_ms,
		.acknowledged_ms = links_acknowledged_ms(links, t->token),
		.followers = links_followers(links),
		.missing = links_missing(links, t->store_ms),
		.alone = links_alone(links),
	};
}

/* Returns true if this daemon may send commands to minions now. */
bool terms_valid(const struct terms *t, uint64_t now_ms)
{
	return t->token && term_valid(t->confirmed_ms, now_ms);
}

/* Requests that the store confirms the term as of a time after @after_ms. */
void terms_want_confirmation(struct terms *t, uint64_t after_ms)
{
	t->confirm_after_ms = after_ms;
}

/*
 * As terms_valid(), by the latest evidence; logs each change, with the
 * evidence.
 */
bool terms_check(struct terms *t, uint64_t now_ms)
{
	struct term_evidence e;
	bool valid;

	if (!t->token)
		return false;
	e = collect_evidence(t);
	t->confirmed_ms = term_confirmed_ms(&e, now_ms);
	valid = term_valid(t->confirmed_ms, now_ms);
	if (valid != t->valid)
		ev("term-validity",
		   "token=%llu valid=%d store_age_ms=%llu list_age_ms=%lld "
		   "acknowledged_age_ms=%lld followers=%u missing=%u alone=%d",
		   (unsigned long long)t->token, valid,
		   (unsigned long long)(now_ms - e.store_ms),
		   e.listed_ms ? (long long)(now_ms - e.listed_ms) : -1,
		   e.acknowledged_ms ? (long long)(now_ms - e.acknowledged_ms)
				     : -1,
		   e.followers, e.missing, e.alone);
	t->valid = valid;
	return valid;
}

/* Returns what may be granted by a holder that states no leases. */
static struct term_leases unstated_leases(const struct terms *t)
{
	return (struct term_leases){ .own_ms = t->d->conf.hold_max_ms,
				     .earlier_ms = t->d->conf.hold_max_ms,
				     .overlap_ms = TERM_OVERLAP_MAX_MS };
}

static void parse_holder(struct terms *t, const struct pf_item *item)
{
	char copy[VALUE_MAX];
	char *fields[6] = { NULL };
	char *save = NULL;

	t->key_leases = unstated_leases(t);
	if (!item->value || item->value_len >= sizeof(copy))
		return;
	memcpy(copy, item->value, item->value_len + 1);
	fields[0] = strtok_r(copy, " ", &save);
	for (uint32_t i = 1; i < 6; i++)
		fields[i] = strtok_r(NULL, " ", &save);
	if (!fields[2])
		return;
	snprintf(t->holder, sizeof(t->holder), "%s", fields[0]);
	snprintf(t->addr, sizeof(t->addr), "%s", fields[1]);
	snprintf(t->nonce, sizeof(t->nonce), "%s", fields[2]);
	if (fields[4]) {
		t->key_leases.own_ms = (uint32_t)strtoul(fields[3], NULL, 10);
		t->key_leases.earlier_ms =
			(uint32_t)strtoul(fields[4], NULL, 10);
	}
	if (fields[5])
		t->key_leases.overlap_ms =
			(uint32_t)strtoul(fields[5], NULL, 10);
}

static void start_term(struct terms *t, uint64_t token, uint64_t sent_ms)
{
	t->token = token;
	t->key_leases = t->claim_leases;
	t->valid = false;
	t->began_ms = loop_now_ms();
	t->confirmed_ms = sent_ms;
	t->store_ms = sent_ms;
	/* The claim was under the condition of the list, if there is one. */
	t->listed_ms = t->daemons_revision ? sent_ms : 0;
	t->daemons_unsure = false;
	t->lease_id = 0;
	t->renew_ms = 0;
	t->claim_due_ms = 0;
	t->offered_ms = 0;
	t->daemons_ms = t->began_ms + (t->daemons_revision ? DAEMONS_INTERVAL_MS
							   : FIRST_DAEMONS_MS);
	links_expect(t->d->links, t->former,
		     t->daemons.len ? t->daemons.data : "");
	cd_start_term(t->d, token);
}

static void apply_holder(struct terms *t, const struct pf_item *item)
{
	/* A peer that reports a term does not report its leases. */
	if (item->revision == t->term && !t->nonce[0])
		parse_holder(t, item);
	if (item->revision <= t->term)
		return;
	t->term = item->revision;
	t->term_ms = loop_now_ms();
	t->released = false;
	t->claim_due_ms = 0;
	parse_holder(t, item);
	ev("holder", "name=%s addr=%s term=%llu", t->holder, t->addr,
	   (unsigned long long)t->term);
	if (t->token && t->token != t->term)
		terms_step_down(t, "another daemon has taken over");
	if (!t->token && t->claim_nonce[0] && !strcmp(t->nonce, t->claim_nonce))
		start_term(t, t->term, t->claim_sent_ms);
	if (!t->token)
		links_follow(t->d->links, t->addr);
	rpc_holder_changed(t->d->rpc);
}

/*
 * Handles a notification from a peer that @addr holds @term. The store is the
 * authority, but it may be unreachable from this daemon.
 */
void terms_on_new_holder(struct terms *t, uint64_t term, const char *addr)
{
	if (term <= t->term)
		return;
	t->term = term;
	t->term_ms = loop_now_ms();
	t->released = false;
	t->claim_due_ms = 0;
	t->nonce[0] = '\0';
	t->key_leases = unstated_leases(t);
	snprintf(t->holder, sizeof(t->holder), "-");
	snprintf(t->addr, sizeof(t->addr), "%s", addr);
	ev("holder", "name=- addr=%s term=%llu from=peer", addr,
	   (unsigned long long)term);
	if (t->token)
		terms_step_down(t, "another daemon has taken over");
	links_broadcast_holder(t->d->links, term, addr);
	links_follow(t->d->links, addr);
	rpc_holder_changed(t->d->rpc);
}

static enum term_listing own_listing(const struct terms *t)
{
	return term_listing(t->daemons.data, t->daemons.len, t->d->conf.name);
}

/* Records the list of daemons in the store, unless a later one is known. */
static void set_daemons(struct terms *t, const char *names, size_t len,
			uint64_t revision)
{
	if (revision <= t->daemons_revision)
		return;
	buf_free(&t->daemons);
	t->daemons = buf_copy(names, len);
	t->daemons_revision = revision;
	t->daemons_unsure = false;
	if (own_listing(t) != TERM_ENTERED)
		t->entered_ms = 0;
	else if (!t->entered_ms)
		t->entered_ms = loop_now_ms();
	if (t->token)
		links_set_listed(t->d->links, t->daemons.data, true);
}

static void apply_items(struct terms *t, const struct pf_reply *reply)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		const struct pf_item *item = &reply->items[i];

		if (!strcmp(item->key, CD_HOLDER_KEY))
			apply_holder(t, item);
		else if (!strcmp(item->key, CD_LIVE_KEY))
			t->lease_live = item->value != NULL;
		else if (!strcmp(item->key, CD_DAEMONS_KEY) && item->value)
			set_daemons(t, item->value, item->value_len,
				    item->revision);
	}
}

static void on_watch(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	if (reply->status != PF_OK) {
		timer_start(t->d->loop, &t->retry,
			    reply->status == PF_COMPACTED ||
					    reply->status == PF_UNKNOWN
				    ? 0
				    : READ_RETRY_MS);
		return;
	}
	apply_items(t, reply);
	if (reply->read_revision > t->read_revision)
		t->read_revision = reply->read_revision;
	pf_watch(t->d->store, CD_TERM_PREFIX, t->read_revision, WATCH_WAIT_MS,
		 on_watch, t);
}

static void on_read(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	if (reply->status != PF_OK) {
		timer_start(t->d->loop, &t->retry, READ_RETRY_MS);
		return;
	}
	t->store_rtt_ms = reply->elapsed_ms;
	t->lease_live = false;
	apply_items(t, reply);
	t->loaded = true;
	t->read_revision = reply->read_revision;
	pf_watch(t->d->store, CD_TERM_PREFIX, t->read_revision, WATCH_WAIT_MS,
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

static void on_claim_read(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->claiming = false;
	if (reply->status == PF_OK)
		apply_items(t, reply);
}

static void on_claim(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->claiming = false;
	t->claim_due_ms = 0;
	switch (reply->status) {
	case PF_OK:
		/* The watch may have reported this claim already. */
		if (reply->revision <= t->term)
			break;
		t->term = reply->revision;
		t->term_ms = loop_now_ms();
		t->released = false;
		snprintf(t->holder, sizeof(t->holder), "%s", t->d->conf.name);
		snprintf(t->addr, sizeof(t->addr), "%s",
			 t->d->conf.peers_address);
		start_term(t, reply->revision, t->claim_sent_ms);
		break;
	case PF_UNKNOWN:
		/* Read the key to learn whether the claim succeeded. */
		t->claiming = true;
		pf_get(t->d->store, CD_HOLDER_KEY, READ_TIMEOUT_MS,
		       on_claim_read, t);
		break;
	case PF_CONFLICT:
		apply_items(t, reply);
		break;
	default:
		break;
	}
}

static void claim(struct terms *t, const char *why, uint64_t now)
{
	unsigned char random[8];
	struct pf_txn txn = { .condition_count = 2, .put_count = 1 };
	struct buf value;

	if (RAND_bytes(random, sizeof(random)) != 1)
		return;
	for (size_t i = 0; i < sizeof(random); i++)
		snprintf(t->claim_nonce + i * 2, 3, "%02x", random[i]);
	t->claim_leases = (struct term_leases){
		.own_ms = t->d->conf.lease_ms,
		.earlier_ms =
			term_earlier_lease_ms(&t->key_leases, now - t->term_ms),
		.overlap_ms =
			term_overlap_ms(own_listing(t), t->entered_ms,
					&t->key_leases, now - t->term_ms, now),
	};
	value = buf_fmt("%s %s %s %u %u %u", t->d->conf.name,
			t->d->conf.peers_address, t->claim_nonce,
			t->claim_leases.own_ms, t->claim_leases.earlier_ms,
			t->claim_leases.overlap_ms);
	txn.conditions[0] = (struct pf_condition){ .key = CD_HOLDER_KEY,
						   .revision = t->term };
	txn.conditions[1] =
		(struct pf_condition){ .key = CD_DAEMONS_KEY,
				       .revision = t->daemons_revision };
	txn.puts[0] = (struct pf_put){ .key = CD_HOLDER_KEY,
				       .value = value.data,
				       .len = value.len };
	ev("claim", "former=%s term=%llu why=\"%s\" overlap_ms=%u",
	   t->holder[0] ? t->holder : "-", (unsigned long long)t->term, why,
	   t->claim_leases.overlap_ms);
	/* An earlier claim without an answer may have succeeded. */
	if (strcmp(t->addr, t->d->conf.peers_address) != 0)
		snprintf(t->former, sizeof(t->former), "%s", t->addr);
	t->claiming = true;
	t->claim_sent_ms = now;
	pf_commit(t->d->store, &txn, CALL_TIMEOUT_MS, on_claim, t);
	buf_free(&value);
}

static void on_entered(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->entering = false;
	if (reply->status == PF_OK)
		set_daemons(t, t->daemons_sent.data, t->daemons_sent.len,
			    reply->revision);
	else if (reply->status == PF_CONFLICT)
		apply_items(t, reply);
}

/* Enters this daemon in the list of daemons, from which it is missing. */
static void enter_list(struct terms *t, uint64_t now)
{
	struct pf_txn txn = { .condition_count = 1, .put_count = 1 };

	if (t->entering || t->daemons_writing || now < t->enter_ms)
		return;
	t->enter_ms = now + ENTER_INTERVAL_MS;
	t->entering = true;
	buf_free(&t->daemons_sent);
	t->daemons_sent = buf_fmt("%s " TERM_ENTRY_MARK "%s", t->daemons.data,
				  t->d->conf.name);
	ev("list-entry", "term=%llu", (unsigned long long)t->term);
	txn.conditions[0] =
		(struct pf_condition){ .key = CD_DAEMONS_KEY,
				       .revision = t->daemons_revision };
	txn.puts[0] = (struct pf_put){ .key = CD_DAEMONS_KEY,
				       .value = t->daemons_sent.data,
				       .len = t->daemons_sent.len };
	pf_commit(t->d->store, &txn, CALL_TIMEOUT_MS, on_entered, t);
}

static bool is_small(const struct terms *t)
{
	return t->d->conf.cpu_share < SMALL_CPU_SHARE;
}

/* Returns true if this daemon should be the holder rather than a small one. */
bool terms_should_lead(const struct terms *t, uint64_t now_ms)
{
	return !is_small(t) && !t->d->draining && t->loaded &&
	       store_healthy(t, now_ms) && config_current(t->d->config) &&
	       own_listing(t) == TERM_LISTED;
}

static uint64_t claim_delay(const struct terms *t, uint64_t now)
{
	unsigned char random = 0;
	uint64_t delay = 0;

	if (is_small(t))
		delay += now < t->started_ms + BOOT_MS ? SMALL_BOOT_DELAY_MS
						       : SMALL_DELAY_MS;
	if (t->store_rtt_ms > FAR_RTT_MS)
		delay += FAR_DELAY_MS;
	if (RAND_bytes(&random, 1) == 1)
		delay += random % CLAIM_JITTER_MS;
	return delay;
}

static void check_claim(struct terms *t, uint64_t now)
{
	struct links *links = t->d->links;
	uint64_t heard_ms = links_holder_heard_ms(links);
	struct term_view view = {
		.store_ok = t->loaded && store_healthy(t, now) &&
			    config_current(t->d->config),
		.draining = t->d->draining,
		.none = !t->term,
		.own = t->term && !strcmp(t->addr, t->d->conf.peers_address),
		.released = t->released,
		.lease_missing = !t->lease_live,
		.linked = links_holder_up(links),
		.silent_ms = (uint32_t)(now - heard_ms),
		.holder_valid = links_holder_valid(links),
		.holder_store_age_ms = links_holder_store_age(links),
		.refused = links_holder_refused(links),
		.term_age_ms = (uint32_t)(now - t->term_ms),
	};
	const char *why = term_takeover_reason(&view);

	if (!why || t->claiming) {
		t->claim_due_ms = 0;
		return;
	}
	if (!t->claim_due_ms)
		t->claim_due_ms = now + claim_delay(t, now);
	if (now < t->claim_due_ms)
		return;
	if (term_may_claim(own_listing(t), t->entered_ms, now))
		claim(t, why, now);
	else if (own_listing(t) == TERM_UNLISTED)
		enter_list(t, now);
}

static void on_confirm(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->confirming = false;
	if (reply->status != PF_OK)
		return;
	apply_items(t, reply);
	if (t->token && t->token == t->term && reply->count)
		terms_on_confirmed(t, t->confirm_sent_ms);
}

static void on_live_written(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->renewing = false;
	if (reply->status == PF_OK)
		t->lease_live = true;
	else if (reply->status == PF_CONFLICT)
		apply_items(t, reply);
	if (reply->status != PF_OK)
		t->lease_id = 0;
}

static void on_lease(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;
	struct pf_txn txn = { .condition_count = 1, .put_count = 1 };

	t->renewing = false;
	if (reply->status != PF_OK || !t->token)
		return;
	t->lease_id = reply->lease;
	t->renewing = true;
	txn.conditions[0] = (struct pf_condition){ .key = CD_HOLDER_KEY,
						   .revision = t->token };
	txn.puts[0] = (struct pf_put){ .key = CD_LIVE_KEY,
				       .value = t->d->conf.name,
				       .len = strlen(t->d->conf.name),
				       .lease = t->lease_id };
	pf_commit(t->d->store, &txn, CALL_TIMEOUT_MS, on_live_written, t);
}

static void on_lease_renewed(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->renewing = false;
	if (reply->status == PF_MISSING) {
		t->lease_id = 0;
		t->renew_ms = 0;
	}
}

/* Returns true if it is time to read the holder key, which confirms the term.
 */
static bool is_confirmation_due(const struct terms *t, uint64_t now)
{
	uint64_t interval = CONFIRM_INTERVAL_MS;

	if (t->store_ms <= t->confirm_after_ms)
		interval = CONFIRM_REQUESTED_MS;
	return now > t->store_ms + interval &&
	       now > t->confirm_sent_ms + interval;
}

static void on_daemons_written(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->daemons_writing = false;
	if (reply->status == PF_OK) {
		set_daemons(t, t->daemons_sent.data, t->daemons_sent.len,
			    reply->revision);
		if (t->daemons_sent_ms > t->listed_ms)
			t->listed_ms = t->daemons_sent_ms;
		return;
	}
	t->daemons_unsure = true;
	if (reply->status == PF_CONFLICT)
		apply_items(t, reply);
}

static void on_daemons_read(void *ctx, const struct pf_reply *reply)
{
	struct terms *t = ctx;

	t->daemons_reading = false;
	if (reply->status != PF_OK || !reply->count || !reply->items[0].value)
		return;
	apply_items(t, reply);
	if (reply->items[0].revision == t->daemons_revision &&
	    t->daemons_read_ms > t->listed_ms)
		t->listed_ms = t->daemons_read_ms;
}

/* Reads the list of daemons, so that the store confirms it. */
static void confirm_daemons(struct terms *t, uint64_t now)
{
	if (t->daemons_reading || !t->daemons_revision ||
	    now < t->listed_ms + DAEMONS_READ_INTERVAL_MS ||
	    now < t->daemons_read_ms + DAEMONS_READ_INTERVAL_MS)
		return;
	t->daemons_reading = true;
	t->daemons_read_ms = now;
	pf_get(t->d->store, CD_DAEMONS_KEY, CALL_TIMEOUT_MS, on_daemons_read,
	       t);
}

/*
 * Stores the list of known daemons, if it has changed. A later holder counts
 * them as missing until they connect, also after a restart.
 */
static void list_daemons(struct terms *t, uint64_t now)
{
	struct pf_txn txn = { .condition_count = 2, .put_count = 1 };
	struct buf names;

	if (t->daemons_writing || t->entering || now < t->daemons_ms)
		return;
	t->daemons_ms = now + DAEMONS_INTERVAL_MS;
	names = links_daemons(t->d->links, t->store_ms);
	if (!t->daemons_unsure && t->daemons.len == names.len &&
	    !memcmp(t->daemons.data, names.data, names.len)) {
		buf_free(&names);
		return;
	}
	buf_free(&t->daemons_sent);
	t->daemons_sent = names;
	t->daemons_sent_ms = now;
	t->daemons_writing = true;
	links_set_listed(t->d->links, names.data, false);
	txn.conditions[0] = (struct pf_condition){ .key = CD_HOLDER_KEY,
						   .revision = t->token };
	txn.conditions[1] =
		(struct pf_condition){ .key = CD_DAEMONS_KEY,
				       .revision = t->daemons_revision };
	txn.puts[0] = (struct pf_put){ .key = CD_DAEMONS_KEY,
				       .value = names.data,
				       .len = names.len };
	pf_commit(t->d->store, &txn, CALL_TIMEOUT_MS, on_daemons_written, t);
}

static void release(struct terms *t);

/* Offers the term of a small holder to the larger daemons. */
static void offer_term(struct terms *t, uint64_t now)
{
	struct term_means means = {
		.small = is_small(t),
		.ready = t->d->holder && holder_ready(t->d->holder),
		.draining = t->d->draining,
		.larger = links_larger_followers(t->d->links, t->token),
		.asked_ms = t->offered_ms,
	};

	if (!term_should_hand_over(&means, now))
		return;
	ev("term-offered", "token=%llu", (unsigned long long)t->token);
	t->offered_ms = now;
	release(t);
}

static void maintain_term(struct terms *t, uint64_t now)
{
	uint32_t ttl_ms = t->d->holder && holder_settled(t->d->holder, now)
				  ? LEASE_TTL_MS
				  : RECOVERY_LEASE_TTL_MS;

	if (!t->renewing && now >= t->renew_ms) {
		t->renewing = true;
		t->renew_ms = now + LEASE_RENEW_MS;
		if (!t->lease_id || !t->lease_live ||
		    t->lease_ttl_ms != ttl_ms) {
			t->lease_ttl_ms = ttl_ms;
			pf_lease_grant(t->d->store, ttl_ms, CALL_TIMEOUT_MS,
				       on_lease, t);
		} else {
			pf_lease_renew(t->d->store, t->lease_id,
				       CALL_TIMEOUT_MS, on_lease_renewed, t);
		}
	}
	list_daemons(t, now);
	confirm_daemons(t, now);
	offer_term(t, now);
	if (!t->confirming && is_confirmation_due(t, now)) {
		t->confirming = true;
		t->confirm_sent_ms = now;
		pf_get(t->d->store, CD_HOLDER_KEY, CALL_TIMEOUT_MS, on_confirm,
		       t);
	}
}

static void on_release_written(void *ctx, const struct pf_reply *reply)
{
	(void)ctx;
	(void)reply;
}

/* Lets a follower take over at once; this daemon goes on until one does. */
static void release(struct terms *t)
{
	struct pf_txn txn = { .condition_count = 1, .delete_count = 1 };

	txn.conditions[0] = (struct pf_condition){ .key = CD_HOLDER_KEY,
						   .revision = t->token };
	txn.deletes[0] = CD_LIVE_KEY;
	links_send_release(t->d->links);
	pf_commit(t->d->store, &txn, CALL_TIMEOUT_MS, on_release_written, t);
}

/* Releases the term, so that a follower takes over without a timeout. */
void terms_release(struct terms *t)
{
	if (!t->token)
		return;
	release(t);
	t->renew_ms = UINT64_MAX;
}

/* Maintains the term if there is one; otherwise claims one if due. */
void terms_tick(struct terms *t, uint64_t now_ms)
{
	if (t->token) {
		terms_check(t, now_ms);
		maintain_term(t, now_ms);
	} else {
		check_claim(t, now_ms);
	}
}

static void on_tick(struct timer *timer)
{
	struct terms *t = timer->ctx;

	terms_tick(t, loop_now_ms());
	timer_start(t->d->loop, &t->tick, TICK_MS);
}

/* Starts to watch the terms, and to claim one when due. */
struct terms *terms_new(struct celld *d)
{
	struct terms *t = xcalloc(1, sizeof(*t));

	t->d = d;
	t->started_ms = loop_now_ms();
	t->tick = (struct timer){ .fn = on_tick, .ctx = t };
	t->retry = (struct timer){ .fn = on_retry, .ctx = t };
	read_terms(t);
	timer_start(d->loop, &t->tick, TICK_MS);
	return t;
}
