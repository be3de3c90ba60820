/* When a daemon takes over as holder of its cell. */
#ifndef JAYSPOKE_CELL_TERM_H
#define JAYSPOKE_CELL_TERM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* What a daemon knows of the holder at a moment. */
struct term_view {
	bool store_ok;	    /* the store has just served a call */
	bool draining;	    /* this daemon is being stopped */
	bool none;	    /* there has never been a holder */
	bool own;	    /* the holder is an earlier life of this daemon */
	bool released;	    /* the holder has given its term up */
	bool live_missing;  /* the lease of the holder has ended */
	bool linked;	    /* a connection to the holder is up */
	uint32_t silent_ms; /* since the holder was last heard */
	bool holder_valid;  /* what it said then */
	uint32_t holder_store_age_ms; /* since the store served it, then */
	bool refused;		      /* its host refuses connections */
	uint32_t term_age_ms;	      /* since this term was first seen */
};

/* Why a daemon takes over, for the log; NULL while it must not. */
const char *term_reason(const struct term_view *view);

/* What a holder knows of its right to order minions. */
struct term_proof {
	uint64_t now_ms;
	uint64_t confirmed_ms; /* the store or a follower saw this term */
	bool store_ok;
	uint32_t followers;
	bool followers_cut; /* none of them reaches the store */
	uint32_t missing;   /* daemons that were connected lately */
};

bool term_valid(const struct term_proof *proof);

#ifdef __cplusplus
}
#endif

#endif
