/* Admission control: rejects jobs that cannot run, or not in time. */
#ifndef JAYSPOKE_ADMIT_H
#define JAYSPOKE_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "res.h"

#ifdef __cplusplus
extern "C" {
#endif

struct admit_request {
	struct res need; /* of one task */
	uint32_t tasks;
	bool ever_fits;	 /* see place_ever_fits() */
	bool limit_zero; /* needs a resource of which the owner may use none */
	uint32_t queued; /* waiting jobs of the entry */
	uint32_t max_queued;  /* 0: no limit */
	uint32_t running;     /* running jobs of the entry */
	double drain_per_s;   /* start rate of the entry's jobs, 0: not known */
	uint64_t deadline_ms; /* time left until the deadline, 0: none */
};

enum err_kind admit_check(const struct admit_request *r, struct err *err);

#ifdef __cplusplus
}
#endif

#endif
