/* Membership table: the other daemons, their liveness and their load. */
#ifndef JAYSPOKE_MEMBER_H
#define JAYSPOKE_MEMBER_H

#include "link.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MEMBER_MAX 256

struct member {
	bool used;
	bool in_conf; /* in the peers of the settings */
	bool in_list; /* in the instance list */
	struct peer_info info;
	char addr[MSG_ADDR_MAX];  /* empty if unknown or not dialable */
	uint32_t link;		  /* handle when authenticated, or 0 */
	uint32_t dialling;	  /* handle of the attempt, or 0 */
	uint64_t disconnected_ms; /* start of the time without link */
	uint64_t next_heartbeat_ms;
	struct link_backoff backoff;
};

struct members {
	struct member items[MEMBER_MAX];
};

struct member *member_find(struct members *members, const char *id);
struct member *member_add(struct members *members, const char *id,
			  const char *az, const char *addr, uint64_t now_ms);
uint32_t member_handle(const struct members *members,
		       const struct member *member);
struct member *member_get(struct members *members, uint32_t handle);
struct member *member_find_holder(struct members *members, const char *az);
struct member *member_least_loaded(struct members *members, const char *az,
				   const char *region);
uint32_t member_count(const struct members *members);
bool member_addr_connected(const struct members *members, const char *addr);

#ifdef __cplusplus
}
#endif

#endif
