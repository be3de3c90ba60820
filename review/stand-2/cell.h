/*
 * A small cell for the cases of the second review: the project's stand-in for
 * the platform, its daemons, and a client.
 */
#ifndef REVIEW_CELL_H
#define REVIEW_CELL_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define HOST "jobs.example"
#define DAEMONS_MAX 8
/* Figures of a small deployment. */
#define MEMORY_MB 260
#define FINISH_MS 14000
#define RECOVERY_MS 12000
#define DEADLINE_MS 3000

struct cell {
	int base; /* first port */
	uint32_t minions;
	uint32_t first_daemons; /* 0: three */
	uint32_t daemons; /* started so far; the numbers are never reused */
	bool tenants;	  /* the configuration names tenants */
};

/* Exits with 2: the case cannot run. */
void give_up(const char *why) __attribute__((noreturn));
uint64_t now_ms(void);
uint64_t unix_ms(void);
void pause_ms(uint32_t ms);
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));

void cell_open(struct cell *cell, const char *config);
int cell_start_daemon(struct cell *cell);
bool cell_ready(const struct cell *cell, int daemon);
void cell_wait_ready(const struct cell *cell, int from, int to);
/* How long the store takes for an answer. */
void cell_store_answers_in(const struct cell *cell, int ms);
/*
 * Leaves the next @count starts without an answer; they are carried out @ms
 * later, also by a next life of their minion.
 */
void cell_delay_starts(const struct cell *cell, int count, int ms);
/* The minion is dark for @ms and starts again under its id. */
void cell_crash_minion(const struct cell *cell, int minion, int ms);
/* Returns what the minions have seen. */
json_t *cell_minion_stats(const struct cell *cell);
/* Returns the processor time of a daemon. */
uint64_t cell_cpu_ms(int daemon);
/* Returns the signal or status with which a daemon has ended by itself, or 0.
 */
int cell_ended(int daemon);
/* Returns the daemon that holds the term, -1: not known. */
int cell_holder(const struct cell *cell);
/* Sends a signal by process id. */
void cell_signal(int daemon, int signal);
/* SIGKILL by process id. */
void cell_kill_daemon(int daemon);
/*
 * Does what the platform does with a process over the memory of its machine:
 * kills it, and starts it again a moment later.
 */
void cell_enforce_memory(struct cell *cell);
int cell_memory_kills(int daemon);
long cell_peak_kb(int daemon);

/*
 * Sends a request to a daemon; returns the status, 0 without a response. @key
 * and @body may be NULL. *@out is the body, to be freed, if not NULL.
 */
int call(const struct cell *cell, int daemon, const char *method,
	 const char *path, const char *key, const char *body, char **out);
/* Returns the state of a job in a static buffer, or the status as text. */
const char *state_of(const struct cell *cell, int daemon, const char *path);
/* Returns how often a task was started, by the minions. */
int starts_of(const struct cell *cell, const char *task);
/* Returns how many runs the minions have now. */
int running_now(const struct cell *cell);

#endif
