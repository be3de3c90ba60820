#include "cell/term.h"

#include <stddef.h>

/* A holder that is heard within this time is alive, in ms. */
#define SILENCE_MS 500
/* The store has served a healthy holder within this time, in ms. */
#define STORE_AGE_MS 700
/* A new holder needs this long for its lease and its connections, in ms. */
#define NEW_TERM_MS 1200
/*
 * A host that refuses connections may only be cut off from this daemon. Terms
 * change at most this often for that reason, in ms.
 */
#define REFUSED_TERM_MS 5000
/* Between two confirmations of a term, at most, in ms. */
#define CONFIRMED_MS 1500

/*
 * A takeover is safe at any time, because the store orders the terms and the
 * minions ignore lower tokens. It is costly, so a holder that works is left
 * alone.
 */
const char *term_reason(const struct term_view *view)
{
	bool heard = view->linked && view->silent_ms < SILENCE_MS;
	bool lapsed = view->live_missing && view->term_age_ms > NEW_TERM_MS;

	if (!view->store_ok || view->draining)
		return NULL;
	if (view->none)
		return "no holder";
	if (view->own)
		return "own earlier term";
	if (view->released)
		return "released";
	if (lapsed && !heard)
		return "lease ended";
	if (lapsed && !view->holder_valid)
		return "holder lost its right";
	if (lapsed && view->holder_store_age_ms > STORE_AGE_MS)
		return "holder cut off from the store";
	if (view->refused && !view->linked &&
	    view->term_age_ms > REFUSED_TERM_MS)
		return "holder refuses connections";
	return NULL;
}

/*
 * Returns true if the holder may start runs and renew leases. Its successor
 * waits for the leases of minions that it cannot reach, counted from here.
 * While nobody reaches the store there is no successor.
 */
bool term_valid(const struct term_proof *proof)
{
	if (proof->now_ms < proof->confirmed_ms + CONFIRMED_MS)
		return true;
	if (proof->store_ok)
		return false;
	/* Daemons that have left may reach the store, and one may have claimed.
	 */
	return proof->followers ? proof->followers_cut : !proof->missing;
}
