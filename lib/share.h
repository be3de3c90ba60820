/*
 * Fair share: the weighted dominant share of each owner, and its resource
 * limits.
 */
#ifndef JAYSPOKE_SHARE_H
#define JAYSPOKE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "res.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SHARE_NONE UINT32_MAX

struct share;

/* Resources in which a limit of 0 allows no use at all. */
struct share_zero {
	bool cpu;
	bool mem;
	bool accel;
};

struct share *share_new(void);
void share_free(struct share *s);
uint32_t share_owner(struct share *s, const char *name);
uint32_t share_count(const struct share *s);
const char *share_name(const struct share *s, uint32_t owner);
void share_set_owner(struct share *s, uint32_t owner, double weight,
		     const struct res *max);
void share_set_zero(struct share *s, uint32_t owner, struct share_zero zero);
void share_set_total(struct share *s, const struct res *total);
bool share_charge(struct share *s, uint32_t owner, const struct res *amount);
void share_charge_running(struct share *s, uint32_t owner,
			  const struct res *amount);
void share_refund(struct share *s, uint32_t owner, const struct res *amount);
bool share_allows(const struct share *s, uint32_t owner,
		  const struct res *amount);
uint32_t share_pick(struct share *s, bool (*waiting)(void *ctx, uint32_t owner),
		    void *ctx);
double share_of(const struct share *s, uint32_t owner);
struct res share_used(const struct share *s, uint32_t owner);

#ifdef __cplusplus
}
#endif

#endif
