/* Read-only view of the catalogue for request handling. */
#ifndef JAYSPOKE_ENTRIES_H
#define JAYSPOKE_ENTRIES_H

#include <stdbool.h>
#include <stdint.h>

#include "msg.h"

#define ENTRY_NO_LIMIT UINT32_MAX /* no limit set */

struct entry_info {
	char name[MSG_NAME_MAX];
	char upstream[MSG_NAME_MAX];
	bool interactive;
	bool repeat; /* a request may run more than once */
	bool hedge;
	uint32_t timeout_ms; /* 0: use the default */
	uint32_t max_queued;
	uint32_t max_running; /* sum over all zones */
};

struct entries;

struct entries *entries_new(void);
void entries_free(struct entries *entries);
void entries_set(struct entries *entries, const struct msg *changed);
bool entries_loaded(const struct entries *entries);
uint64_t entries_revision(const struct entries *entries);
bool entries_find(const struct entries *entries, const char *name,
		  struct entry_info *info);
uint64_t entries_stop_at(const struct entries *entries, const char *instance);
uint32_t entries_max_timeout_ms(const struct entries *entries,
				uint32_t default_ms);
struct buf entries_document(const struct entries *entries);

#endif
