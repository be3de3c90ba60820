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

uint64_t term_confirmed_ms(const struct term_evidence *e, uint64_t now_ms);
bool term_valid(uint64_t confirmed_ms, uint64_t now_ms);

/* What the list of daemons in the store says about one of them. */
enum term_listing {
	TERM_UNLISTED,
	TERM_ENTERED, /* by itself: no holder may know it yet */
	TERM_LISTED   /* by a holder, or there is no list */
};

/* Leases that a holder states with its claim, in ms. */
struct term_leases {
	uint32_t own_ms;     /* of the runs of its term */
	uint32_t earlier_ms; /* that earlier terms may have granted */
};

uint32_t term_earlier_lease_ms(const struct term_leases *former,
			       uint64_t age_ms);
uint64_t term_predecessor_wait_ms(uint32_t lease_ms);

/* Precedes the name of a daemon that has entered itself. */
#define TERM_ENTRY_MARK "+"

enum term_listing term_listing(const char *names, size_t len, const char *name);
bool term_may_claim(enum term_listing listing, uint64_t entered_ms,
		    uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
