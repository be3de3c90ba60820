#include "member.h"

#include <stdio.h>
#include <string.h>

/* Returns the member with the id @id, or NULL. */
struct member *member_find(struct members *members, const char *id)
{
	for (uint32_t i = 0; i < MEMBER_MAX; i++) {
		struct member *m = &members->items[i];

		if (m->used && !strcmp(m->info.id, id))
			return m;
	}
	return NULL;
}

static struct member *find_free_slot(struct members *members)
{
	for (uint32_t i = 0; i < MEMBER_MAX; i++) {
		if (!members->items[i].used)
			return &members->items[i];
	}
	return NULL;
}

/*
 * Adds the member with the id @id, or updates its zone and address; an empty
 * @az or @addr leaves the stored one. Returns NULL when the table is full.
 */
struct member *member_add(struct members *members, const char *id,
			  const char *az, const char *addr, uint64_t now_ms)
{
	struct member *m = member_find(members, id);

	if (!m) {
		m = find_free_slot(members);
		if (!m)
			return NULL;
		*m = (struct member){ .used = true, .disconnected_ms = now_ms };
		snprintf(m->info.id, sizeof(m->info.id), "%s", id);
	}
	if (az[0])
		snprintf(m->info.az, sizeof(m->info.az), "%s", az);
	if (addr[0])
		snprintf(m->addr, sizeof(m->addr), "%s", addr);
	return m;
}

/* Returns the handle of @member, which is never 0. */
uint32_t member_handle(const struct members *members,
		       const struct member *member)
{
	return (uint32_t)(member - members->items) + 1;
}

/* Returns the member with the handle @handle, or NULL. */
struct member *member_get(struct members *members, uint32_t handle)
{
	if (!handle || handle > MEMBER_MAX || !members->items[handle - 1].used)
		return NULL;
	return &members->items[handle - 1];
}

/*
 * Returns the live daemon that announces itself as holder of @az, or NULL.
 * During a takeover there may be two; the one with the higher epoch is valid.
 */
struct member *member_find_holder(struct members *members, const char *az)
{
	struct member *best = NULL;

	for (uint32_t i = 0; i < MEMBER_MAX; i++) {
		struct member *m = &members->items[i];

		if (!m->used || !m->info.alive || !m->info.holder ||
		    strcmp(m->info.az, az) != 0)
			continue;
		if (!best || m->info.epoch > best->info.epoch)
			best = m;
	}
	return best;
}

/*
 * Returns the connected, live and not draining daemon with the fewest requests
 * in flight, or NULL. Considers only daemons of @az unless it is empty, and
 * prefers those of @region to other regions.
 */
struct member *member_least_loaded(struct members *members, const char *az,
				   const char *region)
{
	struct member *best = NULL;
	bool best_near = false;

	for (uint32_t i = 0; i < MEMBER_MAX; i++) {
		struct member *m = &members->items[i];
		bool near = !strcmp(m->info.region, region);

		if (!m->used || !m->info.alive || m->info.draining ||
		    !m->link || (az[0] && strcmp(m->info.az, az) != 0))
			continue;
		if (!best || (near && !best_near) ||
		    (near == best_near &&
		     m->info.inflight < best->info.inflight)) {
			best = m;
			best_near = near;
		}
	}
	return best;
}

/* Returns true if a connected member has the address @addr. */
bool member_addr_connected(const struct members *members, const char *addr)
{
	for (uint32_t i = 0; i < MEMBER_MAX; i++) {
		const struct member *m = &members->items[i];

		if (m->used && m->link && !strcmp(m->addr, addr))
			return true;
	}
	return false;
}

/* Returns the number of members. */
uint32_t member_count(const struct members *members)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < MEMBER_MAX; i++)
		n += members->items[i].used;
	return n;
}
