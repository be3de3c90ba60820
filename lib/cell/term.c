#include "cell/term.h"

#include <stddef.h>

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
/* Time in which all daemons connect to a new holder, in ms. */
#define CONNECT_MS 2000

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
 * Returns the latest time as of which the term is confirmed: no daemon had
 * learned of a later one. The store shows it by serving a call under the
 * condition of the term that was sent at that time. The followers show it if
 * every known daemon has acknowledged a state frame that was made at that time.
 */
uint64_t term_confirmed_ms(const struct term_evidence *e, uint64_t now_ms)
{
	uint64_t confirmed_ms = e->confirmed_ms;

	if (e->store_ms > confirmed_ms)
		confirmed_ms = e->store_ms;
	if (e->store_ms < e->began_ms + CONNECT_MS)
		return confirmed_ms;
	if (e->followers && !e->missing && e->acknowledged_ms > confirmed_ms)
		return e->acknowledged_ms;
	/* Another daemon may have started during a pause of this one. */
	if (e->alone && term_valid(confirmed_ms, now_ms))
		return now_ms;
	return confirmed_ms;
}
