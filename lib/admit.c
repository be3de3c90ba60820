#include "admit.h"

/* Fills @err with @kind and @text, and returns @kind. */
static enum err_kind reject(struct err *err, enum err_kind kind,
			    const char *text)
{
	err_set(err, kind, "%s", text);
	return kind;
}

/*
 * Returns whether the queued jobs are expected to start too late for the new
 * one to meet its deadline. If the start rate is not known, the job is accepted
 * into the queue.
 */
static bool misses_deadline(const struct admit_request *r)
{
	if (!r->deadline_ms || !r->queued || !(r->drain_per_s > 0))
		return false;
	return 1000.0 * r->queued / r->drain_per_s > (double)r->deadline_ms;
}

/*
 * Decides whether to accept a new job; see docs/design.md, section 8. Returns
 * ERR_NONE or the reason for the rejection, which is also stored in @err if
 * that is not NULL. Permanent reasons take precedence over temporary ones.
 */
enum err_kind admit_check(const struct admit_request *r, struct err *err)
{
	if (!r->tasks)
		return reject(err, ERR_BAD_REQUEST, "the job has no tasks");
	if (r->limit_zero)
		return reject(err, ERR_NEVER_FITS,
			      "the owner's limit of a needed resource is 0");
	if (!r->ever_fits)
		return reject(err, ERR_NEVER_FITS,
			      "the job is larger than every instance");
	if (r->max_queued && r->queued >= r->max_queued)
		return reject(err, ERR_OVERLOADED, "the queue is full");
	if (misses_deadline(r))
		return reject(err, ERR_OVERLOADED,
			      "the queue cannot drain before the deadline");
	return ERR_NONE;
}
