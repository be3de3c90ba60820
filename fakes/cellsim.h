/*
 * A cell in virtual time: minions, advice, store and callers around the real
 * scheduler, with seeded faults. It checks what must never happen while it
 * runs.
 */
#ifndef JAYSPOKE_CELLSIM_H
#define JAYSPOKE_CELLSIM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct cellsim;

/* A kind of jobs. Each draw is between half and one and a half of the mean. */
struct cellsim_class {
	const char *queue;
	uint32_t priority;
	double per_s; /* jobs submitted each second */
	uint32_t width;
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t work_ms;
	bool gang;
	uint32_t max_attempts;
	double fail_share; /* of the runs */
	uint32_t slo_ms;
	double stretch;
	double advice_ms; /* 0: no advice is needed */
	double advice_minion_ms;
	double advice_good; /* share of the minions that may run a step */
};

struct cellsim_settings {
	uint64_t seed;
	uint32_t minions;
	uint32_t cpu_milli; /* of each */
	uint32_t mem_mb;
	uint32_t lanes;
	uint32_t submit_ms; /* jobs are submitted for so long */
	uint32_t run_ms;    /* and the whole takes so long */
	uint32_t class_count;
	const struct cellsim_class *classes;
	/* Faults; each is a mean distance in ms, 0: never. */
	uint32_t takeover_every_ms;
	uint32_t dark_every_ms;	  /* a minion does not answer for 1 to 8 s */
	uint32_t crash_every_ms;  /* a minion loses all runs */
	uint32_t outage_every_ms; /* the store takes no records for 1 to 4 s */
	bool trace;		  /* print the events of the scheduler */
	double lost_share; /* of the orders: done, or done late, unanswered */
};

struct cellsim_result {
	uint32_t jobs;
	uint32_t completed;
	uint32_t failed;
	uint32_t in_time[8]; /* by class */
	uint32_t of_class[8];
	uint32_t starts;
	uint32_t takeovers;
	uint32_t alone; /* ends of gangs that did not come together */
	uint64_t wasted_core_ms;
	double used_share; /* of the processors, while jobs are submitted */
	uint64_t cpu_ns;   /* spent in the scheduler */
	/* What must be zero. */
	uint32_t over_capacity;
	uint32_t run_twice;
	uint32_t over_budget;
	uint32_t wrong_state;
	uint32_t unfinished;
	char first_fault[160]; /* empty: none */
};

void cellsim_run(const struct cellsim_settings *settings,
		 struct cellsim_result *result);

#ifdef __cplusplus
}
#endif

#endif
