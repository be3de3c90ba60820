/*
 * Stand-ins of a small deployment in one process: the platform's store, its
 * workers, and a client. The daemons are separate processes.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* Guards the state of the store and of the workers. */
extern pthread_mutex_t big_lock;
extern pthread_cond_t changed;

uint64_t now_ms(void);
uint64_t unix_ms(void);
void sleep_ms(uint64_t ms);
void wait_until(uint64_t at_ms);
int random_below(int n);

/* record.txt: what was sent, answered and run, with the ms of the case. */
void record_open(const char *path);
void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* A request to a stand-in. */
struct request {
	char method[8];
	char path[512]; /* without the query */
	char query[512];
	char expect[64]; /* Jayspoke-Expect-Instance */
	json_t *body;
	int fd;
};

/* Returns the status; *@body becomes the response, which the caller frees. */
typedef int (*handler_fn)(void *ctx, struct request *r, json_t **body);

/* A listening port. */
struct port;
struct port *port_open(int number, handler_fn handler, void *ctx);
int free_port(void);
bool fd_is_dead(int fd);
bool query_get(const char *query, const char *name, char *out, size_t size);

/*
 * Sends a request; returns the status, 0 if there was no answer and -1 if there
 * was no connection. *@body, if not NULL, becomes the body or NULL.
 */
int http_call(int port, const char *method, const char *path, const char *host,
	      const char *text, int timeout_ms, json_t **body);

/* store.c */
extern int store_port;
void store_open(void);
void store_put(const char *key, const json_t *value);
/* The next write of a job is not answered, and done after @delay_ms. */
void store_lose_job_write(uint64_t delay_ms);

/* worker.c */
#define WORKERS_MAX 16

struct worker;
void workers_open(int count);
int task_runs(const char *task);   /* now, on workers that are up */
int task_starts(const char *task); /* so far */
int task_dones(const char *task);
int task_most(const char *task);	    /* most runs at the same time */
uint64_t task_overlap_ms(const char *task); /* two runs at the same time */

/* cell.c */
#define DAEMONS_MAX 8
void daemon_open(int d);  /* writes its settings and starts it */
void daemon_start(int d); /* again, with the same settings */
void daemon_signal(int d, int signal);
bool daemon_wait_ready(int d, int timeout_ms);
void daemons_end(void);
void config_put(int version, bool used);
extern const char *queue_host;
void job_id(int number, char out[20]);
int job_submit(int d, int number, const char *body);
int job_submit_for(int d, int number, const char *body, int patience_ms);
int job_cancel(int d, int number);
const char *job_state(int d, int number, char out[24]);

#endif
