#include "cell/term.h"

#include <string.h>

/* A holder is alive if its latest message is not older than this, in ms. */
#define HOLDER_SILENCE_MAX_MS 500
/* Maximum age of the latest store call of a healthy holder, in ms. */
#define HOLDER_STORE_AGE_MAX_MS 700
/* Time that a new holder needs for its lease and its connections, in ms. */
#define NEW_TERM_GRACE_MS 1200
/*
 * A term must be at least this old to be taken over because the holder's host
 * refuses connections, in ms: it may be unreachable from this daemon only.
 */
#define REFUSED_TERM_MIN_MS 5000
/* Maximum age of the latest confirmation of a term, in ms. */
#define CONFIRMATION_MAX_AGE_MS 1500
/*
 * A former holder sends no commands later than this after its successor learned
 * of its claim, in ms: it must confirm its term every CONFIRMATION_MAX_AGE_MS.
 */
#define PREDECESSOR_VALID_MS 1700
/* Interval at which a small holder offers its term to larger daemons, in ms. */
#define HAND_OVER_INTERVAL_MS 5000
/* Time in which all daemons connect to a new holder, in ms. */
#define CONNECT_MS 2000
/*
 * A holder acts on acknowledgements alone up to this time after the store last
 * confirmed the list of daemons, in ms.
 */
#define WITHOUT_STORE_MAX_MS 60000
/* The same time for another daemon; either clock may be off by 2%. */
#define ENTRY_WAIT_MS (WITHOUT_STORE_MAX_MS * 100 / 96)
_Static_assert(ENTRY_WAIT_MS == TERM_OVERLAP_MAX_MS, "overlap of terms");
/*
 * Daemons that a holder has listed claim first, in this time, in ms: also one
 * that has just started, and one whose first call to the store fails.
 */
#define ENTERED_DELAY_MS 2000

/*
 * Returns why this daemon should take over, as a static text for the log, or
 * NULL if it should not. A takeover is safe at any time, as the store orders
 * the terms and the minions reject lower fencing tokens. It is costly, so a
 * working holder is not replaced.
 */
const char *term_takeover_reason(const struct term_view *view)
{
	bool alive = view->linked && view->silent_ms < HOLDER_SILENCE_MAX_MS;
	bool expired =
		view->lease_missing && view->term_age_ms > NEW_TERM_GRACE_MS;

	if (!view->store_ok || view->draining)
		return NULL;
	if (view->none)
		return "no holder";
	if (view->own)
		return "own earlier term";
	if (view->released)
		return "released";
	if (expired && !alive)
		return "lease ended";
	if (expired && !view->holder_valid)
		return "holder lost its right";
	if (expired && view->holder_store_age_ms > HOLDER_STORE_AGE_MAX_MS)
		return "holder cut off from the store";
	if (view->refused && !view->linked &&
	    view->term_age_ms > REFUSED_TERM_MIN_MS)
		return "holder refuses connections";
	return NULL;
}

/*
 * Returns true if the holder may start runs and renew leases: its term was
 * confirmed lately. A successor that cannot reach a minion waits for the leases
 * there to expire, and relies on this bound for the time of their last renewal.
 * It counts from the moment at which it learns that its claim succeeded.
 */
bool term_valid(uint64_t confirmed_ms, uint64_t now_ms)
{
	return now_ms < confirmed_ms + CONFIRMATION_MAX_AGE_MS;
}

/*
 * Returns true if the holder should let a larger daemon take over. All orders
 * go through the link of the holder, and a small daemon has a small one: under
 * the load of a large cell it is full, and every call is late.
 */
bool term_should_hand_over(const struct term_means *means, uint64_t now_ms)
{
	return means->small && means->ready && !means->draining &&
	       means->larger &&
	       (!means->asked_ms ||
		now_ms >= means->asked_ms + HAND_OVER_INTERVAL_MS);
}

/*
 * Returns the latest time as of which the term is confirmed: no daemon had
 * learned of a later one. The store shows it by serving a call under the
 * condition of the term that was sent at that time. The followers show it if
 * every known daemon has acknowledged a state frame that was made at that time.
 * A daemon that is not known may have entered the list since the store last
 * confirmed it; as a holder it takes the overlap into account, see
 * term_overlap_ms().
 */
uint64_t term_confirmed_ms(const struct term_evidence *e, uint64_t now_ms)
{
	uint64_t until_ms = e->listed_ms + WITHOUT_STORE_MAX_MS;
	uint64_t confirmed_ms = e->confirmed_ms;
	uint64_t others_ms = 0;

	if (e->store_ms > confirmed_ms)
		confirmed_ms = e->store_ms;
	if (!e->listed_ms || e->store_ms < e->began_ms + CONNECT_MS)
		return confirmed_ms;
	if (e->followers && !e->missing)
		others_ms = e->acknowledged_ms;
	/* Another daemon may have started during a pause of this one. */
	else if (e->alone && !e->missing && term_valid(confirmed_ms, now_ms))
		others_ms = now_ms;
	if (others_ms > until_ms)
		others_ms = until_ms;
	return others_ms > confirmed_ms ? others_ms : confirmed_ms;
}

/*
 * Returns what the list @names, of @len bytes and separated by spaces, says
 * about the daemon @name.
 */
enum term_listing term_listing(const char *names, size_t len, const char *name)
{
	const size_t mark = strlen(TERM_ENTRY_MARK);
	const size_t name_len = strlen(name);
	enum term_listing listing = TERM_UNLISTED;
	size_t at = 0;

	if (!len)
		return TERM_LISTED;
	while (at < len) {
		const char *entry = names + at;
		const char *space = memchr(entry, ' ', len - at);
		size_t n = space ? (size_t)(space - entry) : len - at;

		at += n + 1;
		if (n == name_len && !memcmp(entry, name, n))
			return TERM_LISTED;
		if (n == mark + name_len &&
		    !memcmp(entry, TERM_ENTRY_MARK, mark) &&
		    !memcmp(entry + mark, name, name_len))
			listing = TERM_ENTERED;
	}
	return listing;
}

/*
 * Returns true if a daemon may claim a term under the condition that the list
 * of daemons is as read, which it entered at @entered_ms, or a holder entered
 * it. One that entered itself claims after others.
 */
bool term_may_claim(enum term_listing listing, uint64_t entered_ms,
		    uint64_t now_ms)
{
	if (listing == TERM_ENTERED)
		return entered_ms && now_ms >= entered_ms + ENTERED_DELAY_MS;
	return listing == TERM_LISTED;
}

/*
 * Returns how long after a claim at @now_ms a holder of an earlier term may
 * still act. Without the store it counts the daemons of the list as it knows
 * it, and so does not count one that entered itself at @entered_ms. What the
 * holder before, @former, has stated goes on; its term is known since @age_ms.
 */
uint32_t term_overlap_ms(enum term_listing listing, uint64_t entered_ms,
			 const struct term_leases *former, uint64_t age_ms,
			 uint64_t now_ms)
{
	uint64_t left_ms = 0;

	if (former->overlap_ms > age_ms)
		left_ms = former->overlap_ms - age_ms;
	if (listing == TERM_ENTERED && entered_ms + ENTRY_WAIT_MS > now_ms &&
	    entered_ms + ENTRY_WAIT_MS - now_ms > left_ms)
		left_ms = entered_ms + ENTRY_WAIT_MS - now_ms;
	return (uint32_t)left_ms;
}

/*
 * Returns how long a holder waits, from when it learned of its claim, for what
 * earlier terms may have left on a minion that does not answer. The clocks of
 * minions may run slow by 2%.
 */
uint64_t term_predecessor_wait_ms(const struct term_leases *leases)
{
	return leases->overlap_ms + PREDECESSOR_VALID_MS +
	       (uint64_t)leases->earlier_ms * 100 / 98;
}

/*
 * Returns the longest lease that may be left when a claim succeeds the term of
 * @former, which is known since @age_ms. Those of terms before it have ended if
 * that is long enough, also for a holder that acted without the store.
 */
uint32_t term_earlier_lease_ms(const struct term_leases *former,
			       uint64_t age_ms)
{
	const struct term_leases before = { .earlier_ms = former->earlier_ms };
	uint64_t wait_ms = term_predecessor_wait_ms(&before);

	if (former->earlier_ms > former->own_ms &&
	    age_ms < ENTRY_WAIT_MS + wait_ms)
		return former->earlier_ms;
	return former->own_ms;
}
