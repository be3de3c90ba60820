/* Settings of a daemon, read from a JSON file. */
#ifndef JAYSPOKE_CONF_H
#define JAYSPOKE_CONF_H

#include <stdint.h>

#include "err.h"
#include "msg.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CONF_ZONES_MAX 64
#define CONF_PEERS_MAX 128
#define CONF_KEY_MAX 256 /* bytes */

struct conf_zone {
	char az[MSG_NAME_MAX];
	char region[MSG_NAME_MAX];
};

struct conf_peer {
	char id[MSG_NAME_MAX];
	char az[MSG_NAME_MAX];
	char addr[MSG_ADDR_MAX];
};

struct conf {
	char id[MSG_NAME_MAX];
	char az[MSG_NAME_MAX];
	char region[MSG_NAME_MAX]; /* region of az, from zones */
	char listen_callers[MSG_ADDR_MAX];
	char listen_operators[MSG_ADDR_MAX];
	char listen_peers[MSG_ADDR_MAX];
	char store[MSG_ADDR_MAX];
	char instances[MSG_ADDR_MAX];
	unsigned char key[CONF_KEY_MAX]; /* contents of key_file */
	uint32_t key_len;
	uint32_t zone_count;
	struct conf_zone zones[CONF_ZONES_MAX];
	uint32_t peer_count; /* static peers; others are in the instance list */
	struct conf_peer peers[CONF_PEERS_MAX];
	int log_priority; /* LOG_* of syslog(3) */
	/*
	 * Timings in milliseconds. The defaults, on the right, are for
	 * clusters of the design size.
	 */
	uint32_t drain_lag_ms;	     /* 2000 */
	uint32_t claim_ttl_ms;	     /* 3000 */
	uint32_t claim_renew_ms;     /* 1000 */
	uint32_t batch_interval_ms;  /* 100 */
	uint32_t start_lease_ms;     /* 2000 */
	uint32_t worker_sync_min_ms; /* 3000 */
	uint32_t worker_sync_max_ms; /* 15000 */
	uint32_t heartbeat_ms;	     /* 1000, to peers in the zone */
	uint32_t far_heartbeat_ms;   /* 4000, to peers in other zones */
	uint32_t grant_term_ms;	     /* 3000 */
	uint32_t store_timeout_ms;   /* 2000 */
	uint32_t instances_poll_ms;  /* 1000 */
};

bool conf_load(struct conf *conf, const char *file, struct err *err);
bool conf_parse(struct conf *conf, const char *file, const char *text,
		size_t len, struct err *err);

#ifdef __cplusplus
}
#endif

#endif
