#include "err.h"

#include <stdarg.h>
#include <stdio.h>

struct err_row {
	const char *name;
	int http_status;
	enum outcome outcome;
};

static const struct err_row rows[ERR_KIND_COUNT] = {
	[ERR_NONE] = { "ok", 200, OUTCOME_DONE },
	[ERR_BAD_REQUEST] = { "bad-request", 400, OUTCOME_NOT_RUN },
	[ERR_UNAUTHORIZED] = { "unauthorized", 401, OUTCOME_NOT_RUN },
	[ERR_NOT_FOUND] = { "not-found", 404, OUTCOME_NOT_RUN },
	[ERR_UNKNOWN_ENTRY] = { "unknown-entry", 404, OUTCOME_NOT_RUN },
	[ERR_NEVER_FITS] = { "never-fits", 422, OUTCOME_NOT_RUN },
	[ERR_LIMIT] = { "limit", 429, OUTCOME_NOT_RUN },
	[ERR_OVERLOADED] = { "overloaded", 503, OUTCOME_NOT_RUN },
	[ERR_CONFLICT] = { "conflict", 409, OUTCOME_NOT_RUN },
	[ERR_DRAINING] = { "draining", 503, OUTCOME_NOT_RUN },
	[ERR_NO_HOLDER] = { "no-holder", 503, OUTCOME_NOT_RUN },
	[ERR_STORE_DOWN] = { "store-down", 503, OUTCOME_NOT_RUN },
	[ERR_UNREACHABLE] = { "unreachable", 503, OUTCOME_NOT_RUN },
	[ERR_DEADLINE] = { "deadline", 504, OUTCOME_NOT_RUN },
	[ERR_CANCELLED] = { "cancelled", 409, OUTCOME_NOT_RUN },
	[ERR_UPSTREAM_FAILED] = { "upstream-failed", 502, OUTCOME_FAILED },
	[ERR_RETRIES] = { "retries", 502, OUTCOME_FAILED },
	[ERR_LOST] = { "lost", 504, OUTCOME_UNKNOWN },
	[ERR_TOO_LARGE] = { "too-large", 413, OUTCOME_NOT_RUN },
	[ERR_INTERNAL] = { "internal", 500, OUTCOME_UNKNOWN },
};

static const char *const outcomes[OUTCOME_COUNT] = {
	[OUTCOME_DONE] = "done",	 [OUTCOME_FAILED] = "failed",
	[OUTCOME_NOT_RUN] = "not-run",	 [OUTCOME_UNKNOWN] = "unknown",
	[OUTCOME_ACCEPTED] = "accepted",
};

/*
 * Sets the kind and the printf-style text of @err, which may be NULL. Always
 * returns false, so that callers can write "return err_set(...)".
 */
bool err_set(struct err *err, enum err_kind kind, const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return false;
	err->kind = kind;
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return false;
}

/* Returns the row of @kind; an unknown value maps to ERR_INTERNAL. */
static const struct err_row *err_row(enum err_kind kind)
{
	if ((unsigned int)kind >= ERR_KIND_COUNT)
		kind = ERR_INTERNAL;
	return &rows[kind];
}

/* Returns the name of @kind in answers and logs. */
const char *err_name(enum err_kind kind)
{
	return err_row(kind)->name;
}

/* Returns the HTTP status of an answer with @kind. */
int err_http_status(enum err_kind kind)
{
	return err_row(kind)->http_status;
}

/* Returns whether the work of a request that ended with @kind ran. */
enum outcome err_outcome(enum err_kind kind)
{
	return err_row(kind)->outcome;
}

/* Returns the value of the X-Outcome header for @outcome. */
const char *outcome_name(enum outcome outcome)
{
	if ((unsigned int)outcome >= OUTCOME_COUNT)
		outcome = OUTCOME_UNKNOWN;
	return outcomes[outcome];
}
