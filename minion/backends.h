/* Minions of the zone: selection, load and health, as seen by this daemon. */
#ifndef JAYSPOKE_BACKENDS_H
#define JAYSPOKE_BACKENDS_H

#include <stdbool.h>
#include <stdint.h>

#include "entries.h"
#include "health.h"
#include "httpc.h"
#include "msg.h"
#include "slot.h"

#define BACKEND_NONE UINT32_MAX

struct backend {
	bool used;
	bool listed;	     /* in the instance list */
	bool leaving;	     /* listed_leaving, or its planned stop is due */
	bool listed_leaving; /* according to the instance list */
	char id[MSG_NAME_MAX];
	char addr[MSG_ADDR_MAX];
	char upstream[MSG_NAME_MAX];
	uint32_t slots; /* of all daemons */
	uint32_t in_flight;
	uint32_t peak_in_flight; /* bounds open connections, used or idle */
	uint32_t slot;		 /* handle in the slot table */
	struct health health;
};

struct backends {
	struct slot_table *slots;
	struct httpc *httpc;
	struct backend *items;
	uint32_t count;
};

/* Capacity of the minions of one upstream. */
struct backend_capacity {
	uint32_t usable; /* minions available, with a free slot or without */
	uint32_t limit;	 /* slots of this daemon on these minions */
};

void backends_set(struct backends *b, const struct inst_list *list,
		  const struct entries *entries, uint64_t now_ms);
void backends_refresh(struct backends *b, const struct entries *entries,
		      uint64_t now_ms);
bool backends_any_listed(const struct backends *b);
struct backend_capacity backends_capacity(const struct backends *b,
					  const char *upstream, uint32_t avoid,
					  uint64_t now_ms);
uint32_t backends_pick(const struct backends *b, const char *upstream,
		       uint32_t avoid, bool probe, uint64_t random,
		       uint64_t now_ms);
void backends_begin_request(struct backends *b, uint32_t index,
			    uint64_t now_ms);
bool backends_end_request(struct backends *b, uint32_t index, bool count_result,
			  bool ok, uint64_t now_ms);
void backends_set_queued(struct backends *b, const char *upstream,
			 uint32_t queued, uint64_t now_ms);

#endif
