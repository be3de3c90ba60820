/* Estimates of the actual size and run time of the tasks of an entry. */
#ifndef JAYSPOKE_EST_H
#define JAYSPOKE_EST_H

#include <stdint.h>

#include "res.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Peak hold: the estimate is at least the usage reported within this time. */
#define EST_HOLD_MS 30000

struct est {
	struct res declared;
	double cpu_milli;
	double mem_mb;
	double run_ms;
	uint32_t runs;		    /* run times observed */
	uint32_t accel;		    /* largest reported or declared */
	uint64_t last_report_ms;    /* time of the last report, 0 if none */
	uint64_t interval_start_ms; /* start of the current peak interval */
	struct res current_peak;    /* maximum of its reports */
	struct res previous_peak;   /* of the interval before it */
};

void est_init(struct est *e, const struct res *declared, uint64_t run_ms);
void est_observe_usage(struct est *e, const struct res *used, uint64_t now_ms);
void est_observe_run(struct est *e, uint64_t run_ms);
void est_size(const struct est *e, struct res *out);
uint64_t est_run_ms(const struct est *e);

#ifdef __cplusplus
}
#endif

#endif
