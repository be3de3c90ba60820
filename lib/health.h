/* Outlier detection: ejection of failing workers and minions. */
#ifndef JAYSPOKE_HEALTH_H
#define JAYSPOKE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define HEALTH_CONSECUTIVE 5 /* consecutive failures that cause an ejection */
#define HEALTH_WINDOW 20     /* results in the history */
#define HEALTH_WINDOW_FAILURES 16 /* of them, that cause an ejection */
#define HEALTH_EJECT_MIN_MS 5000
#define HEALTH_EJECT_MAX_MS 300000

enum health_state {
	HEALTH_OK,	/* may get work */
	HEALTH_PROBE,	/* may get one piece of work, as a probe */
	HEALTH_EJECTED, /* gets no work: ejected, or a probe is in progress */
};

/* Health of one instance; HEALTH_OK if zeroed. */
struct health {
	uint32_t history;     /* one bit per result, 1 for a failure */
	uint32_t results;     /* in the history, at most HEALTH_WINDOW */
	uint32_t consecutive; /* failures since the last success */
	uint32_t successes;   /* since the last ejection */
	uint32_t eject_ms; /* length of the last ejection, 0: use the minimum */
	uint64_t until_ms; /* end of the ejection, if ejected */
	uint64_t probe_ms; /* when the probe was sent, if probing */
	bool ejected;
	bool probing;
};

enum health_state health_state(const struct health *health, uint64_t now_ms);
void health_sent(struct health *health, uint64_t now_ms);
bool health_result(struct health *health, bool ok, uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
