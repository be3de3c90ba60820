#include "share.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

struct owner {
	char *name;
	uint64_t hash;
	double weight;
	double share; /* weighted dominant share, kept up to date */
	struct res used;
	struct res max;
	struct share_zero zero;
};

struct share {
	struct owner *owners;
	uint32_t count;
	uint32_t size;
	struct res total;
};

/*
 * Creates a table without owners and with a total capacity of 0. Returns NULL
 * when out of memory.
 */
struct share *share_new(void)
{
	return calloc(1, sizeof(struct share));
}

/* Frees @s, which may be NULL. */
void share_free(struct share *s)
{
	if (!s)
		return;
	for (uint32_t i = 0; i < s->count; i++)
		free(s->owners[i].name);
	free(s->owners);
	free(s);
}

/* Ensures room for one more owner; returns false when out of memory. */
static bool ensure_room(struct share *s)
{
	uint32_t size = s->size ? 2 * s->size : 16;
	struct owner *owners;

	if (s->count < s->size)
		return true;
	owners = realloc(s->owners, size * sizeof(*owners));
	if (!owners)
		return false;
	s->owners = owners;
	s->size = size;
	return true;
}

/*
 * Returns the handle of the owner @name, which is created with weight 1 and no
 * limits on first use, or SHARE_NONE when out of memory. Handles are never
 * reused.
 */
uint32_t share_owner(struct share *s, const char *name)
{
	uint64_t hash = XXH64(name, strlen(name), 0);
	char *copy;

	for (uint32_t i = 0; i < s->count; i++) {
		if (s->owners[i].hash == hash &&
		    strcmp(s->owners[i].name, name) == 0)
			return i;
	}
	copy = strdup(name);
	if (!copy || !ensure_room(s)) {
		free(copy);
		return SHARE_NONE;
	}
	s->owners[s->count] = (struct owner){
		.name = copy,
		.hash = hash,
		.weight = 1,
	};
	return s->count++;
}

/* Returns the number of owners. Handles are 0 to this number - 1. */
uint32_t share_count(const struct share *s)
{
	return s->count;
}

/* Returns the name of @owner, or "" for an unknown handle. */
const char *share_name(const struct share *s, uint32_t owner)
{
	return owner < s->count ? s->owners[owner].name : "";
}

/* Recomputes the weighted dominant share of @o. */
static void update_share(const struct share *s, struct owner *o)
{
	o->share = res_dominant(&o->used, &s->total) / o->weight;
}

/*
 * Sets the weight of @owner (1 if @weight is not positive) and its limits; 0 in
 * a resource of @max means no limit, see share_set_zero(). Existing charges
 * stay, even if they exceed a lowered limit.
 */
void share_set_owner(struct share *s, uint32_t owner, double weight,
		     const struct res *max)
{
	if (owner >= s->count)
		return;
	s->owners[owner].weight = weight > 0 ? weight : 1;
	s->owners[owner].max = *max;
	update_share(s, &s->owners[owner]);
}

/* Sets the resources in which a limit of 0 of @owner allows no use at all. */
void share_set_zero(struct share *s, uint32_t owner, struct share_zero zero)
{
	if (owner < s->count)
		s->owners[owner].zero = zero;
}

/* Sets the total capacity, of which shares are fractions. */
void share_set_total(struct share *s, const struct res *total)
{
	s->total = *total;
	for (uint32_t i = 0; i < s->count; i++)
		update_share(s, &s->owners[i]);
}

/* Returns whether @used + @amount is within the limit @max. */
static bool within_limit(uint32_t used, uint32_t amount, uint32_t max,
			 bool zero)
{
	if (!amount || (!max && !zero))
		return true;
	return (uint64_t)used + amount <= max;
}

/* Returns whether charging @amount keeps @owner within its limits. */
bool share_allows(const struct share *s, uint32_t owner,
		  const struct res *amount)
{
	const struct owner *o;

	if (owner >= s->count)
		return false;
	o = &s->owners[owner];
	return within_limit(o->used.cpu_milli, amount->cpu_milli,
			    o->max.cpu_milli, o->zero.cpu) &&
	       within_limit(o->used.mem_mb, amount->mem_mb, o->max.mem_mb,
			    o->zero.mem) &&
	       within_limit(o->used.accel, amount->accel, o->max.accel,
			    o->zero.accel);
}

/*
 * Charges @amount to @owner. Returns false, with nothing charged, if that would
 * exceed a limit.
 */
bool share_charge(struct share *s, uint32_t owner, const struct res *amount)
{
	if (!share_allows(s, owner, amount))
		return false;
	share_charge_running(s, owner, amount);
	return true;
}

/*
 * Charges @amount regardless of the limits. For tasks that are already running:
 * when a new holder adopts them, or when they use more than was reserved.
 */
void share_charge_running(struct share *s, uint32_t owner,
			  const struct res *amount)
{
	if (owner >= s->count)
		return;
	res_add(&s->owners[owner].used, amount);
	update_share(s, &s->owners[owner]);
}

/* Reverses a charge of @amount; the sums do not go below 0. */
void share_refund(struct share *s, uint32_t owner, const struct res *amount)
{
	if (owner >= s->count)
		return;
	res_sub(&s->owners[owner].used, amount);
	update_share(s, &s->owners[owner]);
}

/*
 * Returns the owner with the lowest weighted dominant share among those for
 * which @waiting returns true, or SHARE_NONE. The lowest handle wins a tie.
 * This is the selection step of Dominant Resource Fairness (Ghodsi et al.,
 * 2011).
 */
uint32_t share_pick(struct share *s, bool (*waiting)(void *ctx, uint32_t owner),
		    void *ctx)
{
	uint32_t best = SHARE_NONE;

	for (uint32_t i = 0; i < s->count; i++) {
		if (best != SHARE_NONE &&
		    s->owners[i].share >= s->owners[best].share)
			continue;
		if (waiting(ctx, i))
			best = i;
	}
	return best;
}

/* Returns the weighted dominant share of @owner, 0 for an unknown handle. */
double share_of(const struct share *s, uint32_t owner)
{
	return owner < s->count ? s->owners[owner].share : 0;
}

/* Returns the sum of the charges of @owner, 0 for an unknown handle. */
struct res share_used(const struct share *s, uint32_t owner)
{
	return owner < s->count ? s->owners[owner].used : (struct res){ 0 };
}
