/*
 * Randomized fault soak of a cell: real daemons run against fakeplatform while
 * faults are injected from outside, and simulated callers verify that the cell
 * keeps its guarantees.
 */
#ifndef JAYSPOKE_SOAK_H
#define JAYSPOKE_SOAK_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "err.h"
#include "httpc.h"
#include "loop.h"

#define SOAK_DAEMONS_MAX 64
#define SOAK_MINIONS_MAX 352
#define SOAK_ZONES_MAX 6
#define SOAK_ROUTES_MAX 4096
#define SOAK_HOST "jobs.example"

struct soak_options {
	const char *build; /* directory of the binaries */
	const char *dir;   /* directory of settings and logs */
	uint64_t seed;
	uint32_t seconds; /* duration of the fault phase, in s */
	uint32_t daemons;
	uint32_t minions;
	uint32_t zones;
	uint32_t base_port;
	bool basic;	/* no series of faults, see plan.c */
	bool next_life; /* late calls reach the next life of a minion */
	bool kills;	/* runs take time to end, and more leases end */
	bool leave;	/* some clients leave early, and cancel their jobs */
	bool replace;	/* a daemon that is lost comes back under a new name */
};

/* Offsets from the base port. */
enum soak_port {
	PORT_STORE = 0, /* +1: advice service, from +3: minions */
	PORT_MINION_PROXY = 360,
	PORT_DAEMONS = 720
};

/* Ports of one daemon, see soak_daemon_port(). */
enum daemon_port {
	DAEMON_CALLERS,
	DAEMON_READY,
	DAEMON_PEERS,
	DAEMON_OPERATORS,
	DAEMON_PEERS_PROXY,
	DAEMON_STORE_PROXY,
	DAEMON_ADVICE_PROXY,
	DAEMON_PORTS
};

struct soak {
	struct soak_options options;
	struct loop *loop;
	struct httpc *httpc;
	unsigned short random[3];
	struct proxy *proxy;
	struct procs *procs;
	struct callers *callers;
	struct plan *plan;
	uint64_t began_ms;
	uint32_t violations;
};

/* main.c */
uint32_t soak_daemon_port(const struct soak *s, uint32_t daemon,
			  enum daemon_port port);
uint32_t soak_random(struct soak *s, uint32_t below);
uint32_t soak_daemon_zone(const struct soak *s, uint32_t daemon);
uint32_t soak_minion_zone(const struct soak *s, uint32_t minion);
void soak_log(const struct soak *s, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void soak_violation(struct soak *s, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void soak_platform_send(struct soak *s, const char *method, const char *path,
			const char *body, httpc_done done, void *ctx);

/* proxy.c: TCP proxies between the processes, run by a separate thread. */
struct proxy;

struct proxy_fault {
	bool stall[2]; /* data to, and from, the target is queued */
	bool refuse;   /* new connections are reset */
	uint32_t delay_ms;
};

struct proxy *proxy_new(void);
uint32_t proxy_add(struct proxy *proxy, uint32_t port, uint32_t to,
		   struct err *err);
uint32_t proxy_add_zone(struct proxy *proxy, uint32_t route, uint32_t zone);
bool proxy_start(struct proxy *proxy, struct err *err);
void proxy_set(struct proxy *proxy, uint32_t route,
	       const struct proxy_fault *fault);
void proxy_reset(struct proxy *proxy, uint32_t route);
void proxy_blackhole(struct proxy *proxy, uint32_t route);

/* procs.c: process management. */
struct procs;
struct procs *procs_new(struct soak *s);
bool procs_open(struct procs *p, struct err *err);
void procs_kill(struct procs *p, uint32_t daemon, int signal, uint32_t down_ms);
void procs_pause(struct procs *p, uint32_t daemon, uint32_t for_ms);
void procs_throttle(struct procs *p, uint32_t daemon, uint32_t for_ms);
void procs_reload(struct procs *p, uint32_t daemon);
void procs_set_skew(struct procs *p, uint32_t daemon, int64_t ms);
void procs_heal(struct procs *p);
void procs_tick(struct procs *p, uint64_t now_ms);
void procs_close(struct procs *p);
uint32_t procs_incarnation(const struct procs *p, uint32_t daemon);

/* callers.c: submission of jobs and verification of their results. */
struct callers;
struct callers *callers_new(struct soak *s);
void callers_tick(struct callers *c, uint64_t now_ms);
void callers_enable_submit(struct callers *c, bool enabled);
void callers_set_config_version(struct callers *c, uint32_t version);
bool callers_settled(const struct callers *c);
void callers_verify(struct callers *c, const char *observed, size_t len);
void callers_report(const struct callers *c);

/* plan.c: fault schedule. */
struct plan;
struct plan *plan_new(struct soak *s);
void plan_add_routes(struct plan *plan);
void plan_tick(struct plan *plan, uint64_t now_ms);
void plan_heal(struct plan *plan);
void plan_write_config(struct plan *plan);
uint32_t plan_count(const struct plan *plan);

#endif
