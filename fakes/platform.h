/* Modules of the platform test double: store, minions and advice service. */
#ifndef JAYSPOKE_FAKES_PLATFORM_H
#define JAYSPOKE_FAKES_PLATFORM_H

#include "fake.h"

struct platform_kv;
struct platform_minions;

/* platform_kv.c: key-value store with transactions, leases and watches. */
struct platform_kv *platform_kv_new(struct loop *loop);
void platform_kv_open(struct platform_kv *kv, struct fake *fake);
void platform_kv_handle(struct platform_kv *kv,
			const struct fake_request *request);
void platform_kv_put(struct platform_kv *kv, const char *key, json_t *value);
void platform_kv_remove(struct platform_kv *kv, const char *key);
void platform_kv_holder(struct platform_kv *kv,
			const struct fake_request *request);
bool platform_kv_fault(struct platform_kv *kv, const json_t *change);
bool platform_kv_is_away(const struct platform_kv *kv);
json_t *platform_kv_observe(const struct platform_kv *kv);

/* platform_minion.c: minions, each on a port, and the advice service. */
struct platform_minions *platform_minions_new(struct loop *loop,
					      struct platform_kv *kv);
void platform_minions_open(struct platform_minions *minions, struct fake *fake,
			   uint32_t first_port, uint32_t advertised_base_port);
bool platform_minions_fault(struct platform_minions *minions,
			    const json_t *change);
void platform_minions_handle(struct platform_minions *minions,
			     const struct fake_request *request);
void platform_advise(struct platform_minions *minions,
		     const struct fake_request *request);
json_t *platform_minions_observe(const struct platform_minions *minions);

#endif
