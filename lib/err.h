/* Error kinds, and the HTTP status and outcome of each. */
#ifndef JAYSPOKE_ERR_H
#define JAYSPOKE_ERR_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Closed list: a new kind needs a row in the table of err.c. */
enum err_kind {
	ERR_NONE = 0,
	ERR_BAD_REQUEST,     /* malformed request, body or message */
	ERR_UNAUTHORIZED,    /* missing or wrong shared key */
	ERR_NOT_FOUND,	     /* unknown path, job or key */
	ERR_UNKNOWN_ENTRY,   /* the catalogue has no such entry */
	ERR_NEVER_FITS,	     /* larger than any instance, or a limit of zero */
	ERR_LIMIT,	     /* a limit of the owner or entry is reached */
	ERR_OVERLOADED,	     /* queue full or cannot drain in time */
	ERR_CONFLICT,	     /* compare-and-swap failed, or key reused */
	ERR_DRAINING,	     /* the daemon or upstream is draining */
	ERR_NO_HOLDER,	     /* no valid claim in the home zone */
	ERR_STORE_DOWN,	     /* the store cannot be reached */
	ERR_UNREACHABLE,     /* no connection to the peer, nothing was sent */
	ERR_DEADLINE,	     /* deadline passed before the work started */
	ERR_CANCELLED,	     /* cancelled before it started */
	ERR_UPSTREAM_FAILED, /* the work ran and failed */
	ERR_RETRIES,	     /* the retry budget is used up */
	ERR_LOST,	     /* sent, but not answered: may have run */
	ERR_TOO_LARGE,	     /* size or depth limit exceeded */
	ERR_INTERNAL,
	ERR_KIND_COUNT
};

/* Whether the work of a request ran, as reported to the caller. */
enum outcome {
	OUTCOME_DONE,
	OUTCOME_FAILED,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_ACCEPTED,
	OUTCOME_COUNT
};

#define ERR_TEXT_MAX 256

struct err {
	enum err_kind kind;
	char text[ERR_TEXT_MAX]; /* what failed, and on which object */
};

bool err_set(struct err *err, enum err_kind kind, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
const char *err_name(enum err_kind kind);
int err_http_status(enum err_kind kind);
enum outcome err_outcome(enum err_kind kind);
const char *outcome_name(enum outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
