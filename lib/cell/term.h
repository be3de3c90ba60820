/* Holder election: when to take over a cell, and how long a term is valid. */
#ifndef JAYSPOKE_CELL_TERM_H
#define JAYSPOKE_CELL_TERM_H

#include <stdbool.h>
#include <stddef.h>
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

/* Evidence of a holder that its term is still valid, on the holder's clock. */
struct term_evidence {
	uint64_t began_ms;     /* when it learned of its term */
	uint64_t confirmed_ms; /* latest confirmation so far */
	uint64_t store_ms;     /* latest confirmation by the store */
	uint64_t listed_ms;    /* the store last confirmed the list, 0: never */
	uint64_t acknowledged_ms; /* by all followers, 0: not by all */
	uint32_t followers;	  /* connected */
	uint32_t missing;	  /* known daemons that are not connected */
	bool alone;		  /* no other daemon has ever been known */
};

/* A holder, and the daemons that could take its place. */
struct term_means {
	bool small;    /* the holder has a small share of a processor */
	bool ready;    /* its recovery is complete */
	bool draining; /* it is being stopped, and has released its term */
	bool larger;   /* a larger daemon that reaches the store is connected */
	uint64_t asked_ms; /* when it last offered its term, 0: never */
};

bool term_should_hand_over(const struct term_means *means, uint64_t now_ms);
uint64_t term_confirmed_ms(const struct term_evidence *e, uint64_t now_ms);
bool term_valid(uint64_t confirmed_ms, uint64_t now_ms);

/* What the list of daemons in the store says about one of them. */
enum term_listing {
	TERM_UNLISTED,
	TERM_ENTERED, /* by itself: no holder may know it yet */
	TERM_LISTED   /* by a holder, or there is no list */
};

/* Stated by a holder with its claim, in ms. */
struct term_leases {
	uint32_t own_ms;     /* lease of the runs of its term */
	uint32_t earlier_ms; /* longest lease of earlier terms */
	uint32_t overlap_ms; /* holders of earlier terms may act so long */
};

uint32_t term_earlier_lease_ms(const struct term_leases *former,
			       uint64_t age_ms);
uint64_t term_predecessor_wait_ms(const struct term_leases *leases);

/* Precedes the name of a daemon that has entered itself. */
#define TERM_ENTRY_MARK "+"

enum term_listing term_listing(const char *names, size_t len, const char *name);
bool term_may_claim(enum term_listing listing, uint64_t entered_ms,
		    uint64_t now_ms);

/* The longest overlap, of a holder that states none. */
#define TERM_OVERLAP_MAX_MS 62500

uint32_t term_overlap_ms(enum term_listing listing, uint64_t entered_ms,
			 const struct term_leases *former, uint64_t age_ms,
			 uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
