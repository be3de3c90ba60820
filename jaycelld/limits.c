/*
 * Bounds of what clients may use of the process, from the settings. Absent ones
 * follow from the memory and the file descriptors of the process. No default is
 * reached by clients within the published limits: heads of 16,384 bytes within
 * 3,000 ms, bodies of 262,144 bytes, connections idle for 15,000 ms.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "celld.h"

#define MB (1024U * 1024)
/* Of the process, where it is unknown. */
#define DEFAULT_MEMORY_MB 1024
#define DEFAULT_FDS 16384
/* Input from callers may take one part in four of the memory. */
#define CALLERS_MEMORY_PART 4
/* The listeners for probes and for operators take one part in 64 each. */
#define PROBE_MEMORY_PART 64
#define PROBE_MEMORY_MIN (1U * MB)
/* Room for a few bodies of the largest size. */
#define CALLERS_MEMORY_MIN (2U * MB)
/*
 * Connections of callers take five parts in eight of the descriptors, probes
 * and operators one in 16 each, peers one in eight. The rest is for the store,
 * the minions and the advice service.
 */
#define FD_PARTS 16
#define CALLERS_FD_PARTS 10
#define PROBE_FD_PARTS 1
#define PEER_FD_PARTS 2
#define PROBE_CONNECTIONS_MIN 8
#define PROBE_CONNECTIONS_MAX 256
#define PEERS_PENDING_MIN 16
#define PEERS_PENDING_MAX 256
/*
 * A request that is handled holds about 16 kB of copies of its job; eight
 * requests for each MB are an eighth of the memory.
 */
#define REQUESTS_PER_MB 8
#define REQUESTS_MIN 64
#define REQUESTS_MAX 32768 /* handles have 16 bits */
#define HEAD_MAX_BYTES 32768
#define HEAD_TIMEOUT_MS 5000
#define BODY_TIMEOUT_MS 10000
#define RESPONSE_TIMEOUT_MS 15000
#define IDLE_TIMEOUT_MS 30000
#define LINGER_MS 1000
/* 32 steps with all fields and 32 predecessors have less than 1,700 values. */
#define BODY_MAX_VALUES 4096
/* A daemon that dials gives up after 500 ms. */
#define PEERS_HANDSHAKE_MS 2000
/*
 * Look-ups in the store take one part in 32 of the descriptors. In 4 ms each,
 * 128 at a time are 32,000 a second, more than the store serves.
 */
#define LOOKUP_FD_PART 32
#define LOOKUPS_MIN 8
#define LOOKUPS_MAX 256
#define REPORT_INTERVAL_MS 1000
#define REASONS_MAX 16

/* Refusals of a listener for one reason. */
struct reason {
	char text[24];
	char *counter; /* name of the metric */
	ctr_id ctr;
	uint32_t unreported;
	uint64_t reported_ms; /* 0: never */
};

struct cd_limited {
	char listener[16];
	struct reason reasons[REASONS_MAX];
	uint32_t count;
};

static uint32_t given_or(uint32_t given, uint64_t otherwise)
{
	return given ? given : (uint32_t)otherwise;
}

static uint64_t clamp(uint64_t n, uint64_t min, uint64_t max)
{
	if (n < min)
		return min;
	return n > max ? max : n;
}

/* Returns the bounds that the settings state or that follow from them. */
struct cd_limits limits_of(const struct cd_conf *conf)
{
	uint64_t memory =
		(uint64_t)given_or(conf->memory_mb, DEFAULT_MEMORY_MB) * MB;
	uint64_t fds = given_or(conf->max_fds, DEFAULT_FDS);
	struct httpd_limits callers = {
		.connections = given_or(conf->callers_connections,
					fds * CALLERS_FD_PARTS / FD_PARTS),
		.requests = given_or(conf->callers_requests,
				     memory / MB * REQUESTS_PER_MB),
		.bytes = (size_t)conf->callers_memory_kb * 1024,
		.head_bytes = given_or(conf->head_max_bytes, HEAD_MAX_BYTES),
		.head_ms = given_or(conf->head_timeout_ms, HEAD_TIMEOUT_MS),
		.body_ms = given_or(conf->body_timeout_ms, BODY_TIMEOUT_MS),
		.write_ms = given_or(conf->response_timeout_ms,
				     RESPONSE_TIMEOUT_MS),
		.idle_ms = given_or(conf->idle_timeout_ms, IDLE_TIMEOUT_MS),
		.linger_ms = LINGER_MS,
	};
	struct httpd_limits probes;

	callers.requests =
		(uint32_t)clamp(callers.requests, REQUESTS_MIN, REQUESTS_MAX);
	if (!callers.bytes)
		callers.bytes = clamp(memory / CALLERS_MEMORY_PART,
				      CALLERS_MEMORY_MIN, memory);
	probes = callers;
	probes.connections =
		given_or(conf->probe_connections,
			 clamp(fds * PROBE_FD_PARTS / FD_PARTS,
			       PROBE_CONNECTIONS_MIN, PROBE_CONNECTIONS_MAX));
	probes.bytes = (size_t)conf->probe_memory_kb * 1024;
	if (!probes.bytes)
		probes.bytes = clamp(memory / PROBE_MEMORY_PART,
				     PROBE_MEMORY_MIN, memory);
	return (struct cd_limits){
		.callers = callers,
		.probes = probes,
		.body_max_values =
			given_or(conf->body_max_values, BODY_MAX_VALUES),
		.peers_pending =
			given_or(conf->peers_pending,
				 clamp(fds * PEER_FD_PARTS / FD_PARTS,
				       PEERS_PENDING_MIN, PEERS_PENDING_MAX)),
		.store_lookups = given_or(
			conf->store_lookups,
			clamp(fds / LOOKUP_FD_PART, LOOKUPS_MIN, LOOKUPS_MAX)),
		.peers_handshake_ms =
			given_or(conf->peers_handshake_ms, PEERS_HANDSHAKE_MS),
	};
}

/* Starts to count for @listener, which names it in metrics and events. */
struct cd_limited *limited_new(const char *listener)
{
	struct cd_limited *l = xcalloc(1, sizeof(*l));

	snprintf(l->listener, sizeof(l->listener), "%s", listener);
	return l;
}

/* Registers a reason when it is first met, so that metrics name what occurs. */
static struct reason *find_reason(struct cd_limited *l, const char *text)
{
	struct reason *r;
	struct buf name;

	for (uint32_t i = 0; i < l->count; i++) {
		if (!strcmp(l->reasons[i].text, text))
			return &l->reasons[i];
	}
	if (l->count == REASONS_MAX)
		return &l->reasons[REASONS_MAX - 1];
	r = &l->reasons[l->count++];
	snprintf(r->text, sizeof(r->text), "%s", text);
	name = buf_fmt("jaycelld_limited_%s_%s_total", l->listener, text);
	r->counter = name.data;
	for (char *p = r->counter; *p; p++) {
		if (*p == '-')
			*p = '_';
	}
	r->ctr = ctr_counter(r->counter,
			     "Requests refused and connections closed.");
	return r;
}

/* Counts a refusal; reports at most one a second for each reason. */
void limited_add(struct cd_limited *l, const char *reason)
{
	struct reason *r = find_reason(l, reason);
	uint64_t now = loop_now_ms();

	ctr_add(r->ctr, 1);
	r->unreported++;
	if (r->reported_ms && now < r->reported_ms + REPORT_INTERVAL_MS)
		return;
	ev("clients-limited", "listener=%s reason=%s count=%u", l->listener,
	   r->text, r->unreported);
	r->unreported = 0;
	r->reported_ms = now;
}
