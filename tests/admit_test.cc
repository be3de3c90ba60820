#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "admit.h"

// Guards against jobs that are accepted although they can never run, or not in
// time, and against rejections without cause or with the wrong reason.
RC_GTEST_PROP(Admit, RejectsExactlyJobsThatCannotRun, ())
{
	admit_request r = {};
	err e = {};

	r.tasks = *rc::gen::inRange<uint32_t>(0, 4);
	r.ever_fits =
		*rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } });
	r.limit_zero =
		*rc::gen::weightedElement<bool>({ { 1, true }, { 4, false } });
	r.queued = *rc::gen::inRange<uint32_t>(0, 50);
	r.max_queued = *rc::gen::inRange<uint32_t>(0, 50);
	r.running = *rc::gen::inRange<uint32_t>(0, 3);
	r.drain_per_s = *rc::gen::element(0.0, -1.0, NAN, 0.5, 10.0);
	r.deadline_ms = *rc::gen::element<uint64_t>(0, 1, 2000, 60000);

	err_kind kind = admit_check(&r, &e);
	bool full = r.max_queued && r.queued >= r.max_queued;
	bool late = r.deadline_ms && r.drain_per_s > 0 &&
		    r.queued * 1000.0 / r.drain_per_s > r.deadline_ms;

	if (!r.tasks)
		RC_ASSERT(kind == ERR_BAD_REQUEST);
	else if (r.limit_zero || !r.ever_fits)
		RC_ASSERT(kind == ERR_NEVER_FITS);
	else if (full || late)
		RC_ASSERT(kind == ERR_OVERLOADED);
	else
		RC_ASSERT(kind == ERR_NONE);
	RC_ASSERT(kind == ERR_NONE || (e.kind == kind && e.text[0]));
	RC_ASSERT(kind == ERR_NONE || err_outcome(kind) == OUTCOME_NOT_RUN);
	RC_ASSERT(admit_check(&r, NULL) == kind);
}
