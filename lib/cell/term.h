/* Holder election: when to take over a cell, and how long a term is valid. */
#ifndef JAYSPOKE_CELL_TERM_H
#define JAYSPOKE_CELL_TERM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* State of the holder as seen by another daemon. */
struct term_view {
	bool store_ok;	    /* a recent store call succeeded */
	bool draining;	    /* this daemon is being stopped */
	bool none;	    /* there has been no holder yet */
	bool own;	    /* the holder is this daemon before a restart */
	bool released;	    /* the holder released its term */
	bool lease_missing; /* the lease of the holder has expired */
	bool linked;	    /* connected to the holder */
	uint32_t silent_ms; /* since the latest message of the holder */
	bool holder_valid;  /* its term was valid, as of that message */
	uint32_t holder_store_age_ms; /* age of its latest store call, then */
	bool refused;		      /* its host refuses connections */
	uint32_t term_age_ms;	      /* since this term was first seen */
};

const char *term_takeover_reason(const struct term_view *view);

/* Evidence of a holder that its term is still valid. */
struct term_validity {
	uint64_t now_ms;
	uint64_t confirmed_ms; /* latest, by the store or a follower */
	bool store_ok;
	uint32_t followers;
	bool followers_without_store; /* no follower reaches the store */
	uint32_t missing; /* recently connected daemons that are gone */
};

bool term_valid(const struct term_validity *proof);

#ifdef __cplusplus
}
#endif

#endif
