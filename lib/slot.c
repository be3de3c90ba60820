/*
 * Distribution of the slots of each minion over the members of a zone.
 *
 * A member may use its base share of a minion, less the slots that it has lent,
 * plus those that the holder has granted it. The sum over members stays within
 * the minion's slots because no limit is raised before the limit of another
 * member that makes room for it has been lowered:
 *
 * - A lender deducts an offer before it sends it, for longer than the holder
 *   may use it. The holder counts the lifetime of an offer from the time at
 *   which it sent the grant that the offer replies to.
 * - A member counts the term of a grant from the time at which it sent the
 *   demand that the grant replies to. The holder counts it from the later time
 *   at which it handled the demand, and adds the longest request timeout, since
 *   a request sent just before the end of a grant outlives it.
 * - Each grant replaces the previous one. Demands acknowledge the last grant
 *   and report the slots in use beyond the member's own share, so that the
 *   holder need not wait for the request timeout while messages arrive.
 * - Lent slots return when the offer expires, or earlier when the holder
 *   reports that it no longer uses them.
 * - After a takeover or a change of the member list, members drop their grants,
 *   and the holder grants nothing and lets no base share grow for one term and
 *   until every member has reported that its use has shrunk to its own share.
 *   The slots of a removed member stay unused for a term plus the longest
 *   request timeout.
 * - The last demand of a member that stops reports that it has nothing in
 *   flight and will not send again. It goes to all members, since the next
 *   holder needs it too. The slots of such a member are free as soon as it is
 *   removed.
 *
 * Lost and repeated messages therefore leave slots unused for a time, but never
 * cause a minion's slots to be exceeded. A member that was removed from the
 * list is assumed to be dead.
 */
#include "slot.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "mpcheck.h"

/* Sequence numbers are derived from the time, in microseconds. */
#define SEQ_PER_MS 1000
/* Released members kept in memory; each leaves the list within seconds. */
#define RELEASED_MAX 16

/* Upper bound of the maximum of several values that expire separately. */
struct expiring_max {
	uint32_t high;
	uint32_t low; /* below high, expires later */
	uint64_t high_end_ms;
	uint64_t low_end_ms;
};

/* The holder's record of one member and one minion. */
struct grant_record {
	struct expiring_max granted;
	uint32_t last_granted;	      /* slots of the last grant */
	uint64_t last_granted_end_ms; /* none of them in use from then on */
	uint32_t wanted;	      /* extra slots in the last demand */
	bool reclaims;		      /* the member wants its lent slots back */
	uint32_t offer;
	uint64_t offer_start_ms; /* send time of the grant it replies to */
};

struct minion {
	char name[SLOT_NAME_MAX];
	bool present;
	uint32_t slots;
	uint32_t connections;
	uint32_t in_use;
	uint32_t waiting;
	bool needed; /* other members want more, by the last grant */
	struct expiring_max lent; /* slots of the base share */
	uint64_t lent_seq;	  /* of the demand with the last offer */
	uint32_t extra;		  /* granted to this member */
	uint64_t extra_end_ms;
	struct grant_record records[SLOT_MEMBERS_MAX];
};

struct slot_table {
	char self[SLOT_NAME_MAX];
	uint64_t grant_term_ms;
	uint64_t request_timeout_ms;
	struct slot_claim claim;
	bool is_member;
	bool released; /* this daemon has released all slots for good */
	/* Ring buffer of the members released last. */
	char released_names[RELEASED_MAX][SLOT_NAME_MAX];
	uint32_t released_count;
	/* Members that were removed without a release; "" if unused. */
	char removed_names[RELEASED_MAX][SLOT_NAME_MAX];
	bool removed_unknown; /* unknown members may have been removed */
	bool removed;	      /* removed members may still use slots */
	uint64_t removed_ms;  /* latest removal without a release */
	uint32_t divisor;     /* for the base share, 0 if there is none yet */
	uint64_t seq;	      /* of the last demand or grant sent */
	/* As a member. */
	uint64_t last_grant;  /* seq of the last grant accepted in this epoch */
	uint64_t last_demand; /* seq of the last demand sent */
	/* As the holder. */
	uint64_t records_epoch; /* epoch and list version of the records */
	uint64_t records_version;
	uint64_t grant_start_ms;
	uint64_t member_grant[SLOT_MEMBERS_MAX]; /* seq of the last one sent */
	uint64_t member_seq[SLOT_MEMBERS_MAX];
	bool member_applied[SLOT_MEMBERS_MAX];
	struct minion *minions;
	uint32_t minion_count;
};

/* Adds a margin for clocks that run at different rates. */
static uint64_t with_clock_margin(uint64_t ms)
{
	return ms + ms / 10;
}

/*
 * Returns the time in milliseconds, from the handling of a demand, for which
 * the grant in reply may occupy slots.
 */
static uint64_t grant_lifetime_ms(const struct slot_table *t)
{
	return with_clock_margin(t->grant_term_ms + t->request_timeout_ms);
}

/*
 * Returns the time in milliseconds, from the sending of the grant that an offer
 * replies to, for which the offer may be used.
 */
static uint64_t offer_lifetime_ms(const struct slot_table *t)
{
	return with_clock_margin(2 * t->grant_term_ms + t->request_timeout_ms);
}

static uint32_t expiring_max_get(const struct expiring_max *e, uint64_t now)
{
	if (now < e->high_end_ms)
		return e->high;
	return now < e->low_end_ms ? e->low : 0;
}

static void expiring_max_add(struct expiring_max *e, uint32_t value,
			     uint64_t end_ms, uint64_t now)
{
	if (now >= e->high_end_ms) {
		e->high = e->low;
		e->high_end_ms = e->low_end_ms;
		e->low = 0;
		e->low_end_ms = 0;
	}
	if (now >= e->high_end_ms)
		*e = (struct expiring_max){ 0 };
	if (value >= e->high) {
		e->high = value;
		if (end_ms > e->high_end_ms)
			e->high_end_ms = end_ms;
		e->low = 0;
		e->low_end_ms = 0;
		return;
	}
	if (now >= e->low_end_ms)
		e->low = 0;
	if (value > e->low)
		e->low = value;
	if (value)
		e->low_end_ms = end_ms;
}

/*
 * Creates the table of daemon @self, with grants that are valid for
 * @grant_term_ms. Its shares are 0 until a holder lets them grow.
 */
struct slot_table *slot_new(const char *self, uint64_t grant_term_ms)
{
	struct slot_table *t = calloc(1, sizeof(*t));

	if (!t)
		abort();
	snprintf(t->self, sizeof(t->self), "%s", self);
	t->grant_term_ms = grant_term_ms;
	return t;
}

/* Frees @t, which may be NULL. */
void slot_free(struct slot_table *t)
{
	if (!t)
		return;
	free(t->minions);
	free(t);
}

/*
 * Sets the longest time in milliseconds for which a request may occupy a slot.
 * A lower value than before is ignored, because requests with the earlier
 * timeout may be in flight.
 */
void slot_set_request_timeout(struct slot_table *t, uint64_t request_timeout_ms)
{
	if (request_timeout_ms > t->request_timeout_ms)
		t->request_timeout_ms = request_timeout_ms;
}

static int member_index(const struct slot_claim *claim, const char *name)
{
	for (uint32_t i = 0; i < claim->member_count; i++) {
		if (!strcmp(claim->members[i], name))
			return (int)i;
	}
	return -1;
}

/*
 * Clears the records of the holder. No grants are made for one term, unless
 * this is the first epoch, in which no earlier grants can be in use.
 */
static void reset_records(struct slot_table *t, uint64_t now)
{
	bool first = t->claim.epoch <= 1 && !t->records_epoch;

	t->records_epoch = t->claim.epoch;
	t->records_version = t->claim.members_version;
	t->grant_start_ms =
		first ? now : now + with_clock_margin(t->grant_term_ms);
	memset(t->member_seq, 0, sizeof(t->member_seq));
	memset(t->member_grant, 0, sizeof(t->member_grant));
	memset(t->member_applied, 0, sizeof(t->member_applied));
	for (uint32_t i = 0; i < t->minion_count; i++)
		memset(t->minions[i].records, 0, sizeof(t->minions[i].records));
}

static void drop_grants(struct slot_table *t)
{
	for (uint32_t i = 0; i < t->minion_count; i++) {
		t->minions[i].extra = 0;
		t->minions[i].needed = false;
	}
}

/* Returns true if the daemon has released all its slots for good. */
static bool has_released(const struct slot_table *t, const char *name)
{
	for (uint32_t i = 0; i < RELEASED_MAX; i++) {
		if (!strcmp(t->released_names[i], name))
			return true;
	}
	return false;
}

static void add_released(struct slot_table *t, const char *name)
{
	char *entry = t->released_names[t->released_count % RELEASED_MAX];

	if (has_released(t, name))
		return;
	memset(entry, 0, SLOT_NAME_MAX);
	memcpy(entry, name, strnlen(name, SLOT_NAME_MAX - 1));
	t->released_count++;
}

static void clear_removed(struct slot_table *t)
{
	t->removed = false;
	t->removed_unknown = false;
	memset(t->removed_names, 0, sizeof(t->removed_names));
}

static bool removed_names_empty(const struct slot_table *t)
{
	for (uint32_t i = 0; i < RELEASED_MAX; i++) {
		if (t->removed_names[i][0])
			return false;
	}
	return true;
}

static void removed_names_add(struct slot_table *t, const char *name)
{
	for (uint32_t i = 0; i < RELEASED_MAX; i++) {
		if (t->removed_names[i][0])
			continue;
		memcpy(t->removed_names[i], name,
		       strnlen(name, SLOT_NAME_MAX - 1));
		return;
	}
	t->removed_unknown = true;
}

/*
 * Records that a member has released its slots. It may have been removed from
 * the list before, because a new holder removes the previous one at takeover.
 */
static void member_released(struct slot_table *t, const char *name)
{
	add_released(t, name);
	for (uint32_t i = 0; i < RELEASED_MAX; i++) {
		if (!strcmp(t->removed_names[i], name))
			memset(t->removed_names[i], 0, SLOT_NAME_MAX);
	}
	if (!t->removed_unknown && removed_names_empty(t))
		t->removed = false;
}

/*
 * Records the members that are not in the new list and have not released their
 * slots, which may thus still be in use. If list versions were missed, unknown
 * members may have been removed.
 */
static void note_removed_members(struct slot_table *t,
				 const struct slot_claim *claim, uint64_t now)
{
	if (t->removed && now >= t->removed_ms + grant_lifetime_ms(t))
		clear_removed(t);
	if (!t->claim.member_count
		    ? claim->epoch > 1
		    : claim->members_version > t->claim.members_version + 1)
		t->removed_unknown = true;
	for (uint32_t i = 0; i < t->claim.member_count; i++) {
		if (member_index(claim, t->claim.members[i]) < 0 &&
		    !has_released(t, t->claim.members[i]))
			removed_names_add(t, t->claim.members[i]);
	}
	/* The wait counts from the latest removal without a release. */
	if (!t->removed_unknown && removed_names_empty(t))
		return;
	t->removed = true;
	t->removed_ms = now;
}

static void update_members(struct slot_table *t, const struct slot_claim *claim,
			   uint64_t now)
{
	if (!claim->member_count || claim->member_count > SLOT_MEMBERS_MAX ||
	    (t->claim.member_count &&
	     claim->members_version <= t->claim.members_version))
		return;
	note_removed_members(t, claim, now);
	drop_grants(t);
	t->claim.members_version = claim->members_version;
	t->claim.member_count = claim->member_count;
	memcpy(t->claim.members, claim->members, sizeof(claim->members));
	t->is_member = member_index(claim, t->self) >= 0;
	if (!t->is_member)
		t->divisor = 0;
	else if (t->divisor && t->divisor < claim->member_count)
		t->divisor = claim->member_count;
}

/*
 * Updates the claim and the member list. Shares shrink at once, but grow only
 * when the holder reports that all members have shrunk theirs. A claim of an
 * earlier epoch counts as not held, and an empty list or one of an earlier
 * version is ignored.
 */
void slot_set_claim(struct slot_table *t, const struct slot_claim *claim,
		    uint64_t now)
{
	if (claim->epoch < t->claim.epoch) {
		t->claim.held = false;
		return;
	}
	if (claim->epoch != t->claim.epoch) {
		t->last_grant = 0;
		drop_grants(t);
	}
	t->claim.epoch = claim->epoch;
	t->claim.held = claim->held;
	t->claim.valid_until_ms = claim->valid_until_ms;
	update_members(t, claim, now);
	if (claim->held && (t->records_epoch != t->claim.epoch ||
			    t->records_version != t->claim.members_version))
		reset_records(t, now);
}

static struct minion *minion_find(struct slot_table *t, const char *name)
{
	for (uint32_t i = 0; i < t->minion_count; i++) {
		if (!strcmp(t->minions[i].name, name))
			return &t->minions[i];
	}
	return NULL;
}

/* Returns true if nothing of the minion is lent, granted or in use. */
static bool minion_idle(const struct minion *m, uint64_t now)
{
	if (m->present || m->in_use || now < m->extra_end_ms ||
	    expiring_max_get(&m->lent, now))
		return false;
	for (uint32_t i = 0; i < SLOT_MEMBERS_MAX; i++) {
		if (expiring_max_get(&m->records[i].granted, now))
			return false;
	}
	return true;
}

static struct minion *minion_add(struct slot_table *t, const char *name,
				 uint64_t now)
{
	struct minion *m = NULL;

	if (strlen(name) >= SLOT_NAME_MAX)
		return NULL;
	for (uint32_t i = 0; i < t->minion_count && !m; i++) {
		if (minion_idle(&t->minions[i], now))
			m = &t->minions[i];
	}
	if (!m) {
		if (t->minion_count == SLOT_MINIONS_MAX)
			return NULL;
		t->minions = realloc(t->minions, (t->minion_count + 1) *
							 sizeof(*t->minions));
		if (!t->minions)
			abort();
		m = &t->minions[t->minion_count];
		t->minion_count++;
	}
	*m = (struct minion){ 0 };
	snprintf(m->name, sizeof(m->name), "%s", name);
	return m;
}

/*
 * Adds a minion or changes its numbers of slots and connections. Returns its
 * handle, or SLOT_NO_MINION when there are too many minions or the name is too
 * long. Offers and grants stay in force when a minion is removed and added
 * again.
 */
uint32_t slot_set_minion(struct slot_table *t, const char *name, uint32_t slots,
			 uint32_t connections, uint64_t now)
{
	struct minion *m = minion_find(t, name);

	if (!m)
		m = minion_add(t, name, now);
	if (!m)
		return SLOT_NO_MINION;
	m->present = true;
	m->slots = slots < SLOT_SLOTS_MAX ? slots : SLOT_SLOTS_MAX;
	if (m->slots > connections)
		m->slots = connections;
	m->connections = connections;
	return (uint32_t)(m - t->minions);
}

/* Removes a minion; its handle becomes invalid. */
void slot_remove_minion(struct slot_table *t, uint32_t handle)
{
	if (handle < t->minion_count)
		t->minions[handle].present = false;
}

/* Sets the number of slots in use and of requests that wait for one. */
void slot_set_use(struct slot_table *t, uint32_t handle, uint32_t in_use,
		  uint32_t waiting)
{
	if (handle >= t->minion_count)
		return;
	t->minions[handle].in_use = in_use;
	t->minions[handle].waiting = waiting;
}

static uint32_t base_share(const struct slot_table *t, const struct minion *m)
{
	return t->divisor ? m->slots / t->divisor : 0;
}

static uint32_t own_share(const struct slot_table *t, const struct minion *m,
			  uint64_t now)
{
	uint32_t base = base_share(t, m);
	uint32_t lent = expiring_max_get(&m->lent, now);

	return lent < base ? base - lent : 0;
}

/*
 * Returns the maximum number of requests that this daemon may have in flight to
 * the minion.
 */
uint32_t slot_limit(const struct slot_table *t, uint32_t handle, uint64_t now)
{
	const struct minion *m;
	uint32_t limit;

	if (handle >= t->minion_count || !t->minions[handle].present ||
	    t->released)
		return 0;
	m = &t->minions[handle];
	limit = own_share(t, m, now);
	if (now < m->extra_end_ms)
		limit += m->extra;
	return limit < m->slots ? limit : m->slots;
}

/*
 * Returns the maximum number of connections that this daemon may have open to
 * the minion, in proportion to its slots.
 */
uint32_t slot_connections(const struct slot_table *t, uint32_t handle,
			  uint64_t now)
{
	const struct minion *m;

	if (handle >= t->minion_count || !t->minions[handle].slots)
		return 0;
	m = &t->minions[handle];
	return (uint32_t)((uint64_t)slot_limit(t, handle, now) *
			  m->connections / m->slots);
}

static uint32_t wanted_extra(const struct slot_table *t, const struct minion *m,
			     uint64_t now)
{
	uint32_t wanted = m->in_use + m->waiting;
	uint32_t own = own_share(t, m, now);

	if (!m->present || t->released)
		return 0;
	if (wanted > m->slots)
		wanted = m->slots;
	return wanted > own ? wanted - own : 0;
}

/*
 * Releases all slots for good, before this daemon stops. Must be called only
 * when no request is in flight. Later demands carry SLOT_RELEASED.
 */
void slot_release(struct slot_table *t)
{
	t->released = true;
	add_released(t, t->self);
}

/* Returns true once this daemon has a base share. */
bool slot_ready(const struct slot_table *t)
{
	return t->divisor > 0;
}

/* Returns true if requests wait that exceed the present limits. */
bool slot_needs_more(const struct slot_table *t, uint64_t now)
{
	for (uint32_t i = 0; i < t->minion_count; i++) {
		const struct minion *m = &t->minions[i];

		if (m->present && m->waiting &&
		    m->in_use + m->waiting > slot_limit(t, i, now))
			return true;
	}
	return false;
}

static uint64_t next_seq(struct slot_table *t, uint64_t now)
{
	t->seq = t->seq + 1 > now * SEQ_PER_MS ? t->seq + 1 : now * SEQ_PER_MS;
	return t->seq;
}

/*
 * Offers the unused part of the base share, if other members want more. Returns
 * the number of slots, which are deducted from now on. Nothing is offered
 * before the first grant of an epoch, when slots lent to an earlier holder may
 * be in use.
 */
static uint32_t make_offer(struct slot_table *t, struct minion *m, uint64_t now)
{
	uint32_t base = base_share(t, m);
	uint32_t used = m->in_use + m->waiting;
	uint32_t offer;

	if (!m->needed || !m->present || !t->last_grant || used >= base)
		return 0;
	offer = base - used;
	expiring_max_add(&m->lent, offer,
			 now + with_clock_margin(offer_lifetime_ms(t)), now);
	m->lent_seq = t->seq;
	return offer;
}

static uint32_t excess_use(const struct slot_table *t, const struct minion *m,
			   uint64_t now)
{
	uint32_t own = own_share(t, m, now);

	return m->in_use > own ? m->in_use - own : 0;
}

/* Fills the demand for the holder, to be sent at least once a second. */
void slot_make_demand(struct slot_table *t, struct slot_demand *demand,
		      uint64_t now)
{
	demand->epoch = t->claim.epoch;
	demand->seq = next_seq(t, now);
	demand->last_grant = t->last_grant;
	demand->applied = t->claim.members_version;
	demand->count = 0;
	t->last_demand = demand->seq;
	if (t->released) {
		demand->applied = SLOT_RELEASED;
		return;
	}
	for (uint32_t i = 0; i < t->minion_count; i++) {
		struct minion *m = &t->minions[i];
		struct slot_demand_item *item = &demand->items[demand->count];
		uint32_t excess = excess_use(t, m, now);
		uint32_t extra = wanted_extra(t, m, now);
		uint32_t offer = extra ? 0 : make_offer(t, m, now);

		if (excess && !m->extra)
			demand->applied = 0;
		/* An item without an offer reclaims the lent slots. */
		if (!extra && !offer && !excess &&
		    !expiring_max_get(&m->lent, now))
			continue;
		*item = (struct slot_demand_item){ .extra = extra,
						   .offer = offer,
						   .excess = excess };
		memcpy(item->minion, m->name, sizeof(item->minion));
		demand->count++;
	}
}

/* Returns true if no member can use slots under an earlier list or epoch. */
static bool shares_settled(const struct slot_table *t, uint64_t now)
{
	if (now < t->grant_start_ms ||
	    (t->removed && now < t->removed_ms + grant_lifetime_ms(t)))
		return false;
	for (uint32_t i = 0; i < t->claim.member_count; i++) {
		if (!t->member_applied[i] &&
		    !has_released(t, t->claim.members[i]))
			return false;
	}
	return true;
}

/*
 * Handles the acknowledgement of the last grant: from now on the member uses at
 * most the slots of that grant, or @excess slots that are still in use under
 * earlier ones.
 */
static void confirm_grant(struct slot_table *t, struct grant_record *r,
			  uint32_t excess, uint64_t now)
{
	uint64_t end_ms = r->last_granted_end_ms;

	if (excess && end_ms < now + with_clock_margin(t->request_timeout_ms))
		end_ms = now + with_clock_margin(t->request_timeout_ms);
	r->granted = (struct expiring_max){ 0 };
	expiring_max_add(&r->granted,
			 excess > r->last_granted ? excess : r->last_granted,
			 end_ms, now);
}

static const struct slot_demand_item *
find_item(const struct slot_demand *demand, const char *minion)
{
	for (uint32_t i = 0; i < demand->count; i++) {
		if (!strcmp(demand->items[i].minion, minion))
			return &demand->items[i];
	}
	return NULL;
}

static void record_demand(struct slot_table *t, uint32_t from,
			  const struct slot_demand *demand, uint64_t now)
{
	bool confirmed = t->member_grant[from] &&
			 demand->last_grant == t->member_grant[from];

	for (uint32_t i = 0; i < t->minion_count; i++) {
		struct grant_record *r = &t->minions[i].records[from];
		const struct slot_demand_item *item =
			find_item(demand, t->minions[i].name);

		r->wanted = item ? item->extra : 0;
		r->reclaims = item && !item->offer;
		r->offer = 0;
		if (item && demand->last_grant &&
		    demand->last_grant <= t->seq) {
			r->offer = item->offer;
			r->offer_start_ms = demand->last_grant / SEQ_PER_MS;
		}
		if (confirmed)
			confirm_grant(t, r, item ? item->excess : 0, now);
	}
	if (demand->applied == t->claim.members_version)
		t->member_applied[from] = true;
}

/*
 * Returns the number of slots of @m available for grants, including those
 * already granted: the remainder of the base shares, and the current offers.
 */
static uint32_t pool_size(const struct slot_table *t, const struct minion *m,
			  uint64_t now)
{
	uint32_t base = m->slots / t->claim.member_count;
	uint32_t pool = m->slots - base * t->claim.member_count;

	for (uint32_t i = 0; i < t->claim.member_count; i++) {
		const struct grant_record *r = &m->records[i];

		if (now + grant_lifetime_ms(t) <=
		    r->offer_start_ms + offer_lifetime_ms(t))
			pool += r->offer < base ? r->offer : base;
	}
	return pool;
}

static uint32_t grant_slots(struct slot_table *t, struct minion *m, uint32_t to,
			    uint64_t now)
{
	uint32_t pool = pool_size(t, m, now);
	uint32_t extra = m->records[to].wanted;
	uint32_t granted_others = 0;
	uint32_t requesters = 1;
	uint32_t fair_share;

	for (uint32_t i = 0; i < t->claim.member_count; i++) {
		if (i == to)
			continue;
		requesters += m->records[i].wanted > 0;
		granted_others += expiring_max_get(&m->records[i].granted, now);
	}
	m->records[to].last_granted = 0;
	m->records[to].last_granted_end_ms = now;
	if (!extra || granted_others >= pool)
		return 0;
	fair_share = (pool + requesters - 1) / requesters;
	if (extra > pool - granted_others)
		extra = pool - granted_others;
	if (extra > fair_share)
		extra = fair_share;
	m->records[to].last_granted = extra;
	m->records[to].last_granted_end_ms = now + grant_lifetime_ms(t);
	expiring_max_add(&m->records[to].granted, extra,
			 now + grant_lifetime_ms(t), now);
	return extra;
}

/*
 * Returns true if the slots lent by @member are not in use: it offers nothing
 * now, and the remaining pool covers all grants.
 */
static bool lent_unused(const struct slot_table *t, const struct minion *m,
			uint32_t member, uint64_t now)
{
	uint32_t granted = 0;

	for (uint32_t i = 0; i < t->claim.member_count; i++)
		granted += expiring_max_get(&m->records[i].granted, now);
	return m->records[member].reclaims && granted <= pool_size(t, m, now);
}

static bool needed_by_others(const struct slot_table *t, const struct minion *m,
			     uint32_t member)
{
	for (uint32_t i = 0; i < t->claim.member_count; i++) {
		if (i != member && m->records[i].wanted)
			return true;
	}
	return false;
}

/*
 * Handles a demand of member @from as the holder and fills @grant with the
 * reply. Returns false, without a reply, when this daemon has no valid claim of
 * the demand's epoch, @from is not a member, or a later demand was handled
 * before. A demand with SLOT_RELEASED is recorded in any case and gets no
 * reply.
 */
bool slot_handle_demand(struct slot_table *t, const char *from,
			const struct slot_demand *demand,
			struct slot_grant *grant, uint64_t now)
{
	int member = member_index(&t->claim, from);
	bool may_grant;

	if (demand->applied == SLOT_RELEASED) {
		member_released(t, from);
		return false;
	}
	if (!t->claim.held || now >= t->claim.valid_until_ms ||
	    demand->epoch != t->claim.epoch || member < 0 ||
	    demand->seq <= t->member_seq[member])
		return false;
	t->member_seq[member] = demand->seq;
	record_demand(t, (uint32_t)member, demand, now);
	may_grant = shares_settled(t, now);
	grant->epoch = t->claim.epoch;
	grant->seq = next_seq(t, now);
	t->member_grant[member] = grant->seq;
	grant->demand_seq = demand->seq;
	grant->settled_version = may_grant ? t->claim.members_version : 0;
	grant->count = 0;
	for (uint32_t i = 0; may_grant && i < t->minion_count; i++) {
		struct minion *m = &t->minions[i];
		struct slot_grant_item item = { 0 };

		if (!m->present)
			continue;
		item.extra = grant_slots(t, m, (uint32_t)member, now);
		item.needed = needed_by_others(t, m, (uint32_t)member);
		item.released = lent_unused(t, m, (uint32_t)member, now);
		if (!item.extra && !item.needed && !item.released)
			continue;
		memcpy(item.minion, m->name, sizeof(item.minion));
		grant->items[grant->count] = item;
		grant->count++;
	}
	return true;
}

/*
 * Applies a grant as a member. Returns false if it is of another epoch, older
 * than one applied before, or not a reply to a demand of this daemon.
 */
bool slot_handle_grant(struct slot_table *t, const struct slot_grant *grant,
		       uint64_t now)
{
	uint64_t end_ms = grant->demand_seq / SEQ_PER_MS + t->grant_term_ms;

	if (grant->epoch != t->claim.epoch || grant->seq <= t->last_grant ||
	    grant->demand_seq > t->last_demand || !t->is_member)
		return false;
	t->last_grant = grant->seq;
	drop_grants(t);
	/* Grants under an earlier list are not in the holder's records. */
	if (!grant->settled_version ||
	    grant->settled_version != t->claim.members_version)
		return true;
	t->divisor = t->claim.member_count;
	/* The holder has waited for the slots of all removed members. */
	clear_removed(t);
	for (uint32_t i = 0; i < grant->count; i++) {
		struct minion *m = minion_find(t, grant->items[i].minion);

		if (!m)
			continue;
		m->needed = grant->items[i].needed;
		m->extra = now < end_ms ? grant->items[i].extra : 0;
		m->extra_end_ms = end_ms;
		if (grant->items[i].released && m->lent_seq < grant->demand_seq)
			m->lent = (struct expiring_max){ 0 };
	}
	return true;
}

static size_t finish_pack(msgpack_sbuffer *buffer, char *data, size_t size)
{
	size_t len = buffer->size <= size ? buffer->size : 0;

	if (len)
		memcpy(data, buffer->data, len);
	msgpack_sbuffer_destroy(buffer);
	return len;
}

static void pack_name(msgpack_packer *packer, const char *name)
{
	size_t len = strlen(name);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, name, len);
}

/*
 * Encodes [epoch, seq, last_grant, applied, [[minion, extra, offer, excess],
 * ...]]. Returns the length, or 0 if it exceeds @size.
 */
size_t slot_encode_demand(const struct slot_demand *demand, char *data,
			  size_t size)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 5);
	msgpack_pack_uint64(&packer, demand->epoch);
	msgpack_pack_uint64(&packer, demand->seq);
	msgpack_pack_uint64(&packer, demand->last_grant);
	msgpack_pack_uint64(&packer, demand->applied);
	msgpack_pack_array(&packer, demand->count);
	for (uint32_t i = 0; i < demand->count; i++) {
		msgpack_pack_array(&packer, 4);
		pack_name(&packer, demand->items[i].minion);
		msgpack_pack_uint32(&packer, demand->items[i].extra);
		msgpack_pack_uint32(&packer, demand->items[i].offer);
		msgpack_pack_uint32(&packer, demand->items[i].excess);
	}
	return finish_pack(&buffer, data, size);
}

/*
 * Encodes [epoch, seq, demand_seq, settled_version, [[minion, extra, needed,
 * released], ...]]. Returns the length, or 0 if it exceeds @size.
 */
size_t slot_encode_grant(const struct slot_grant *grant, char *data,
			 size_t size)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 5);
	msgpack_pack_uint64(&packer, grant->epoch);
	msgpack_pack_uint64(&packer, grant->seq);
	msgpack_pack_uint64(&packer, grant->demand_seq);
	msgpack_pack_uint64(&packer, grant->settled_version);
	msgpack_pack_array(&packer, grant->count);
	for (uint32_t i = 0; i < grant->count; i++) {
		msgpack_pack_array(&packer, 4);
		pack_name(&packer, grant->items[i].minion);
		msgpack_pack_uint32(&packer, grant->items[i].extra);
		msgpack_pack_uint32(&packer, grant->items[i].needed);
		msgpack_pack_uint32(&packer, grant->items[i].released);
	}
	return finish_pack(&buffer, data, size);
}

static bool get_uint(const msgpack_object *o, uint64_t max, uint64_t *value)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*value = o->via.u64;
	return true;
}

/* Decodes [name, number, number, number], an item of either message. */
static bool get_item(const msgpack_object *o, char *name, uint64_t value[3])
{
	const msgpack_object *part = o->via.array.ptr;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 4 ||
	    part[0].type != MSGPACK_OBJECT_STR || !part[0].via.str.size ||
	    part[0].via.str.size >= SLOT_NAME_MAX ||
	    memchr(part[0].via.str.ptr, '\0', part[0].via.str.size))
		return false;
	memset(name, 0, SLOT_NAME_MAX);
	memcpy(name, part[0].via.str.ptr, part[0].via.str.size);
	for (int i = 0; i < 3; i++) {
		if (!get_uint(&part[i + 1], SLOT_SLOTS_MAX, &value[i]))
			return false;
	}
	return true;
}

/* Decodes [u64, u64, u64, u64, [item, ...]], the form of both messages. */
static bool get_message(const msgpack_object *o, uint64_t head[4],
			const msgpack_object_array **items)
{
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 5)
		return false;
	for (int i = 0; i < 4; i++) {
		if (!get_uint(&o->via.array.ptr[i], UINT64_MAX, &head[i]))
			return false;
	}
	if (o->via.array.ptr[4].type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.ptr[4].via.array.size > SLOT_MINIONS_MAX)
		return false;
	*items = &o->via.array.ptr[4].via.array;
	return true;
}

static bool unpack(msgpack_unpacked *unpacked, const char *data, size_t len)
{
	size_t offset = 0;

	return len <= SLOT_BODY_MAX && mp_check(data, len) &&
	       msgpack_unpack_next(unpacked, data, len, &offset) ==
		       MSGPACK_UNPACK_SUCCESS &&
	       offset == len;
}

/* Decodes a demand; returns false if it is malformed. */
bool slot_decode_demand(const char *data, size_t len,
			struct slot_demand *demand)
{
	msgpack_unpacked unpacked;
	const msgpack_object_array *items;
	uint64_t head[4];
	bool ok = false;

	msgpack_unpacked_init(&unpacked);
	if (!unpack(&unpacked, data, len) ||
	    !get_message(&unpacked.data, head, &items))
		goto out;
	demand->epoch = head[0];
	demand->seq = head[1];
	demand->last_grant = head[2];
	demand->applied = head[3];
	demand->count = items->size;
	for (uint32_t i = 0; i < items->size; i++) {
		struct slot_demand_item *item = &demand->items[i];
		uint64_t value[3];

		if (!get_item(&items->ptr[i], item->minion, value))
			goto out;
		item->extra = (uint32_t)value[0];
		item->offer = (uint32_t)value[1];
		item->excess = (uint32_t)value[2];
	}
	ok = true;
out:
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

/* Decodes a grant; returns false if it is malformed. */
bool slot_decode_grant(const char *data, size_t len, struct slot_grant *grant)
{
	msgpack_unpacked unpacked;
	const msgpack_object_array *items;
	uint64_t head[4];
	bool ok = false;

	msgpack_unpacked_init(&unpacked);
	if (!unpack(&unpacked, data, len) ||
	    !get_message(&unpacked.data, head, &items))
		goto out;
	grant->epoch = head[0];
	grant->seq = head[1];
	grant->demand_seq = head[2];
	grant->settled_version = head[3];
	grant->count = items->size;
	for (uint32_t i = 0; i < items->size; i++) {
		struct slot_grant_item *item = &grant->items[i];
		uint64_t value[3];

		if (!get_item(&items->ptr[i], item->minion, value))
			goto out;
		item->extra = (uint32_t)value[0];
		item->needed = value[1] != 0;
		item->released = value[2] != 0;
	}
	ok = true;
out:
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}
