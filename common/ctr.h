/* Metrics of the process: counters, gauges and log-linear histograms. */
#ifndef JAYSPOKE_CTR_H
#define JAYSPOKE_CTR_H

#include <stdint.h>

#include "buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Index into the table of metrics. */
typedef uint32_t ctr_id;

ctr_id ctr_counter(const char *name, const char *help);
ctr_id ctr_gauge(const char *name, const char *help);
ctr_id ctr_histogram(const char *name, const char *help);
void ctr_add(ctr_id id, uint64_t n);
void ctr_set(ctr_id id, uint64_t value);
void ctr_observe(ctr_id id, uint64_t value_us);
uint64_t ctr_value(ctr_id id);
uint64_t ctr_quantile(ctr_id id, double q);
struct buf ctr_prometheus(void);

#ifdef __cplusplus
}
#endif

#endif
