#include "member.h"

#include <stdio.h>
#include <string.h>

/* Returns the member of that id, or NULL. */
struct member *member_find(struct members *members, const char *id)
{
	for (uint32_t i = 0; i < MEMBER_MAX; i++) {
		struct member *m = &members->items[i];

		if (m->used && !strcmp(m->info.id, id))
			return m;
	}
	return NULL;
}

static struct member *free_slot(struct members *members)
{
	for (uint32_t i = 0; i < MEMBER_MAX; i++) {
		if (!members->items[i].used)
			return &members->items[i];
	}
	return NULL;
}

/*
 * Returns the member of that id, added if it is new, with its zone and address
 * updated. Returns NULL when the table is full. An empty zone or address keeps
 * the known one.
 */
struct member *member_add(struct members *members, const char *id,
			  const char *az, const char *addr, uint64_t now_ms)
{
	struct member *m = member_find(members, id);

	if (!m) {
		m = free_slot(members);
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

/* Returns the handle of @member; never 0. */
uint32_t member_handle(const struct members *members,
		       const struct member *member)
{
	return (uint32_t)(member - members->items) + 1;
}

/* Returns the member of @handle, or NULL. */
struct member *member_get(struct members *members, uint32_t handle)
{
	if (!handle || handle > MEMBER_MAX || !members->items[handle - 1].used)
		return NULL;
	return &members->items[handle - 1];
}

/*
 * Returns the living daemon that says that it holds the claim of @az, or NULL.
 * During a takeover two may say so; the higher epoch is the valid one.
 */
struct member *member_holder(struct members *members, const char *az)
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
 * Returns the connected, living and not draining daemon with the least work in
 * flight: of @az if it is given, otherwise of @region before other regions.
 */
struct member *member_server(struct members *members, const char *az,
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

/* Returns true when a connected member has the address @addr. */
bool member_addr_taken(const struct members *members, const char *addr)
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
