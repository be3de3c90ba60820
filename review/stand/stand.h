/*
 * Stand-ins for the cases of the review: the platform's store, workers, clients
 * and the control of the daemons, in one process on loopback addresses. A
 * server thread serves the store and the workers; the main thread runs a case.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

#define DAEMONS_MAX 7
#define WORKERS_MAX 64

/* How a listener treats its connections. */
enum link_mode {
	LINK_OPEN,
	LINK_DARK, /* cut off: nothing is read, accepted or answered */
	LINK_RESET /* cut off: connections are reset at once */
};

enum peer_kind { PEER_STORE, PEER_ADVICE, PEER_WORKER };

struct request {
	enum peer_kind kind;
	uint32_t index; /* of the calling daemon, or of the worker */
	uint64_t call;	/* for answer() */
	const char *method;
	char *path; /* without the query */
	char *query;
	char expect[64]; /* Jayspoke-Expect-Instance */
	json_t *body;
};

/* stand.c: time, record, server thread */
uint64_t now_ms(void);
uint64_t unix_ms(void);
void sleep_ms(uint32_t ms);
void record_open(const char *path);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void lock(void);
void unlock(void);
uint16_t listen_on(enum peer_kind kind, uint32_t index);
void link_set(enum peer_kind kind, uint32_t index, enum link_mode mode);
void answer(uint64_t call, int status, json_t *body);
void drop_call(uint64_t call);
void drop_calls(enum peer_kind kind);
bool call_is_open(uint64_t call);
void server_start(void);
bool query_get(const struct request *r, const char *name, char *out,
	       size_t size);

/* store.c */
void store_handle(const struct request *r);
void store_tick(uint64_t now);
void store_put(const char *key, json_t *value);
void store_delete(const char *key);
void store_set_down(bool down);
char *store_get_text(const char *key);

/* worker.c */
struct worker_options {
	uint32_t count;
	uint32_t cpu;
	uint32_t mem_mb;
};
void workers_open(const struct worker_options *options);
void worker_handle(const struct request *r);
void advice_handle(const struct request *r);
void advice_set(double decide_ms, double per_item_ms);
uint32_t advice_count(void);
uint32_t total_runs(void);
void workers_tick(uint64_t now);
void worker_cut(uint32_t index, enum link_mode mode);
void worker_crash(uint32_t index, uint32_t down_ms, const char *kind);
uint32_t count_misplaced(void);
uint32_t worker_runs(uint32_t index);
int worker_of(const char *job);
uint32_t starts_of(const char *job);
uint32_t ends_of(const char *job, const char *how);
void note_job(const char *id, uint32_t max_attempts);
uint32_t count_twice(void);
uint32_t count_budget(void);
uint32_t count_over_room(void);

/* cell.c: daemons and clients */
bool cell_open(uint32_t daemons, uint32_t status_s);
void cell_close(void);
void daemon_signal(uint32_t n, int signal);
void daemon_kill(uint32_t n);
void daemon_start(uint32_t n);
void daemon_stop(uint32_t n);
int holder(void);
int client(uint32_t daemon, const char *method, const char *path,
	   const char *body, char *out, size_t size, uint32_t timeout_ms);
int submit(uint32_t daemon, const char *id, const char *spec, const char *steps,
	   const char *more);
const char *state_of(uint32_t daemon, const char *id);
bool wait_state(const char *id, const char *state, uint32_t timeout_ms);
void put_config(uint32_t version, bool with_jobs_route, uint32_t attempts);
void put_config_host(uint32_t version, const char *host);
void put_config_advice(uint32_t version, double decide_ms, double per_item_ms);
bool trouble(void);

#endif
