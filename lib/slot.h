/*
 * Slots of minions: how many requests each member of a zone may have in flight
 * to each minion. Slots move between members by demands and grants.
 */
#ifndef JAYSPOKE_SLOT_H
#define JAYSPOKE_SLOT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SLOT_NAME_MAX 80
#define SLOT_MEMBERS_MAX 8
#define SLOT_MINIONS_MAX 512
#define SLOT_SLOTS_MAX 4096 /* of one minion */
#define SLOT_BODY_MAX 65536 /* bytes of an encoded message */
#define SLOT_NO_MINION UINT32_MAX
#define SLOT_RELEASED UINT64_MAX /* value of slot_demand.applied */

struct slot_table;

/* The claim of the zone and the member list, as last seen by this daemon. */
struct slot_claim {
	uint64_t epoch;
	bool held;		 /* by this daemon */
	uint64_t valid_until_ms; /* if held */
	uint64_t members_version;
	uint32_t member_count;
	char members[SLOT_MEMBERS_MAX][SLOT_NAME_MAX];
};

/* The demand of a member for one minion. */
struct slot_demand_item {
	char minion[SLOT_NAME_MAX];
	uint32_t extra;	 /* slots wanted beyond its own share */
	uint32_t offer;	 /* slots of its base share that it lends */
	uint32_t excess; /* slots in use beyond its own share */
};

/* Message from a member to the holder. */
struct slot_demand {
	uint64_t epoch;	     /* of the addressed holder */
	uint64_t seq;	     /* of the member */
	uint64_t last_grant; /* seq of the last grant accepted, 0 if none */
	/*
	 * Version of the member list to which the member's use has shrunk, 0 if
	 * it has not, or SLOT_RELEASED if it will not use slots again.
	 */
	uint64_t applied;
	uint32_t count;
	struct slot_demand_item items[SLOT_MINIONS_MAX];
};

/* The grant for one minion. */
struct slot_grant_item {
	char minion[SLOT_NAME_MAX];
	uint32_t extra; /* slots for one term; replaces the previous grant */
	bool needed;	/* other members want more slots */
	bool released;	/* slots lent by the member are no longer in use */
};

/* Message from the holder to a member, in reply to each demand. */
struct slot_grant {
	uint64_t epoch;
	uint64_t seq;		  /* of the holder */
	uint64_t demand_seq;	  /* of the demand that it replies to */
	uint64_t settled_version; /* list version for base shares, or 0 */
	uint32_t count;
	struct slot_grant_item items[SLOT_MINIONS_MAX];
};

struct slot_table *slot_new(const char *self, uint64_t grant_term_ms);
void slot_free(struct slot_table *table);
void slot_set_request_timeout(struct slot_table *table,
			      uint64_t request_timeout_ms);
void slot_set_claim(struct slot_table *table, const struct slot_claim *claim,
		    uint64_t now_ms);
uint32_t slot_set_minion(struct slot_table *table, const char *minion,
			 uint32_t slots, uint32_t connections, uint64_t now_ms);
void slot_remove_minion(struct slot_table *table, uint32_t handle);
void slot_set_use(struct slot_table *table, uint32_t handle, uint32_t in_use,
		  uint32_t waiting);
uint32_t slot_limit(const struct slot_table *table, uint32_t handle,
		    uint64_t now_ms);
uint32_t slot_connections(const struct slot_table *table, uint32_t handle,
			  uint64_t now_ms);
void slot_release(struct slot_table *table);
bool slot_ready(const struct slot_table *table);
bool slot_needs_more(const struct slot_table *table, uint64_t now_ms);

void slot_make_demand(struct slot_table *table, struct slot_demand *demand,
		      uint64_t now_ms);
bool slot_handle_demand(struct slot_table *table, const char *from,
			const struct slot_demand *demand,
			struct slot_grant *grant, uint64_t now_ms);
bool slot_handle_grant(struct slot_table *table, const struct slot_grant *grant,
		       uint64_t now_ms);

/* Messages are encoded as msgpack. */
size_t slot_encode_demand(const struct slot_demand *demand, char *data,
			  size_t size);
size_t slot_encode_grant(const struct slot_grant *grant, char *data,
			 size_t size);
bool slot_decode_demand(const char *data, size_t len,
			struct slot_demand *demand);
bool slot_decode_grant(const char *data, size_t len, struct slot_grant *grant);

#ifdef __cplusplus
}
#endif

#endif
