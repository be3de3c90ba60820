/*
 * Discrete-event simulation of a cell: the real scheduler runs in virtual time
 * against simulated minions, advice service, store and callers, with faults
 * injected from a seed. Safety invariants are checked throughout the run.
 */
#ifndef JAYSPOKE_CELLSIM_H
#define JAYSPOKE_CELLSIM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Minions of a rack have consecutive numbers. */
#define CELLSIM_RACK_MINIONS 8
/* A task may crash this many minions and be started twice more. */
#define CELLSIM_CRASH_BUDGET 3

struct cellsim;

/*
 * Class of jobs. The sizes and durations of a job are drawn uniformly between
 * half and one and a half of the means given here.
 */
struct cellsim_class {
	const char *queue;
	uint32_t priority;
	double per_s;	/* submission rate */
	uint32_t width; /* tasks per job */
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t work_ms;
	bool gang;
	uint32_t max_attempts;
	double fail_share; /* fraction of the runs that fail */
	uint32_t slo_ms;
	double stretch;
	double advice_ms; /* 0: placed without advice */
	double advice_minion_ms;
	double advice_eligible_share; /* fraction of the minions */
};

struct cellsim_settings {
	uint64_t seed;
	uint32_t minions;
	uint32_t cpu_milli; /* per minion */
	uint32_t mem_mb;
	uint32_t lanes;
	uint32_t submit_ms; /* no job is submitted later */
	uint32_t run_ms;    /* end of the simulation */
	uint32_t class_count;
	const struct cellsim_class *classes;
	/* Mean interval of each fault in ms, 0: never. */
	uint32_t takeover_every_ms;
	uint32_t unresponsive_every_ms; /* for 1 to 8 s */
	uint32_t crash_every_ms;	/* loses all runs */
	uint32_t restart_every_ms;	/* that holds back starts on the way */
	uint32_t rack_crash_every_ms;	/* of a rack at once */
	uint32_t outage_every_ms;	/* of the store, for 1 to 4 s */
	/* The capacity of a minion shrinks to 30 to 90%, for 1 to 8 s. */
	uint32_t shrink_every_ms;
	uint32_t zones; /* of the minions, in turn; 0: one */
	/* The links of a zone are late by 0.1 to 1.2 s each way, for 1 to 12 s.
	 */
	uint32_t late_links_every_ms;
	/* How long runs go on that are stopped, or whose lease has ended. */
	uint32_t kill_ms;
	/* Crashed minions refuse connections for this long, 0: 300 ms silent.
	 */
	uint32_t restart_ms;
	/*
	 * Jobs whose first task crashes each minion that starts it: a fraction
	 * of those of one class that are submitted in an interval.
	 */
	uint32_t crash_class;
	double crash_share;
	uint32_t crash_after_ms; /* mean time from start to crash */
	uint32_t crash_from_ms;
	uint32_t crash_until_ms;
	bool trace; /* print scheduler events */
	/*
	 * Fraction of the start and stop requests that are executed, half of
	 * them late, but whose reply is lost.
	 */
	double reply_loss_share;
	/* Fraction of the polls that are executed, and lost, likewise. */
	double poll_loss_share;
	/* Fraction of the calls that arrive up to 8 s late, each by itself. */
	double late_call_share;
	/* Fraction of the responses that arrive up to 3 s late. */
	double late_response_share;
	/* Fraction of the calls that are answered 429, 503 or 500, or refused.
	 */
	double error_share;
	/* By how much the clocks of every second minion are slow. */
	uint32_t slow_clock_percent;
	/* Starts do not reach a later life than that which they were sent to.
	 */
	bool starts_end_with_life;
	/* Mean interval of further faults in ms, 0: never. */
	uint32_t unlisted_every_ms; /* a minion that goes on, for 1 to 9 s */
	/* A minion returns elsewhere; others may answer at its address. */
	uint32_t move_every_ms;
	uint32_t cancel_every_ms;      /* of a recent job */
	uint32_t unconfirmed_every_ms; /* the term, for up to 4 s */
	uint32_t pause_every_ms;       /* of the holder, for up to 7 s */
};

struct cellsim_result {
	uint32_t jobs;
	uint32_t completed;
	uint32_t failed;
	/* By class, without the jobs that crash minions: */
	uint32_t met_slo[8]; /* completed within the SLO */
	uint32_t jobs_by_class[8];
	uint32_t refused[8]; /* not accepted, as the queue is overloaded */
	uint32_t crashing_jobs;
	uint32_t crashing_jobs_ended; /* failed, or done before the crash */
	uint32_t crashes;	      /* of minions, by tasks */
	uint32_t starts;
	uint32_t takeovers;
	uint32_t gang_timeouts; /* members whose gang did not start */
	uint64_t wasted_core_ms;
	double cpu_utilization; /* mean during submit_ms, 0 to 1 */
	uint64_t cpu_ns;	/* spent in cell_tick() */
	/* Counts of violated invariants; all must be 0. */
	uint32_t over_capacity;
	uint32_t duplicate_runs;
	uint32_t concurrent_runs; /* those beside another run */
	uint32_t over_max_attempts;
	uint32_t wrong_state;
	uint32_t over_crash_budget; /* third start after CRASH_BUDGET */
	uint32_t given_up;	    /* failed, though it could be done */
	uint32_t unfinished;
	/* Means something only if nothing else is disrupted than links. */
	uint32_t after_listed;	   /* starts after an end that was listed */
	char first_violation[160]; /* empty if none */
};

void cellsim_run(const struct cellsim_settings *settings,
		 struct cellsim_result *result);

#ifdef __cplusplus
}
#endif

#endif
