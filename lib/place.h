/*
 * Placement of tasks on workers: best fit, which the scheduler uses, and
 * simpler policies as baselines for benchmarks.
 */
#ifndef JAYSPOKE_PLACE_H
#define JAYSPOKE_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "res.h"

#ifdef __cplusplus
extern "C" {
#endif

struct place_worker {
	struct res capacity;
	struct res used;
	uint32_t rack; /* small number; see place_gang() */
	uint32_t tasks;
	bool usable;
	uint8_t fenced; /* reserved for this fence only; 0: for none */
};

/* Value of allowed_fence that permits placement on all fenced workers. */
#define PLACE_ANY_FENCE UINT8_MAX

struct place_policy;

struct place_ops {
	const char *name;
	/*
	 * Returns the index of the worker for one task, or -1. @rack_load is
	 * the number of tasks of the same gang in each rack; it may be NULL.
	 */
	int32_t (*pick)(struct place_policy *policy,
			const struct place_worker *workers, uint32_t count,
			const struct res *need, const uint32_t *rack_load,
			uint32_t rack_count);
};

enum place_kind {
	PLACE_BEST_FIT, /* dominant remaining resource fit */
	PLACE_FIRST_FIT,
	PLACE_RANDOM,
	PLACE_ROUND_ROBIN,
	PLACE_KIND_COUNT
};

struct place_policy {
	const struct place_ops *ops;
	uint64_t rng;
	uint32_t next;	       /* round robin: index to start at */
	uint8_t allowed_fence; /* workers with this fence may be chosen */
};

void place_init(struct place_policy *policy, enum place_kind kind,
		uint64_t seed);
int32_t place_pick(struct place_policy *policy,
		   const struct place_worker *workers, uint32_t count,
		   const struct res *need);
bool place_gang(struct place_policy *policy, struct place_worker *workers,
		uint32_t count, const struct res *need, uint32_t tasks,
		int32_t *out);
bool place_ever_fits(const struct place_worker *workers, uint32_t count,
		     const struct res *need);
void place_reserve(struct place_worker *worker, const struct res *need);
void place_release(struct place_worker *worker, const struct res *need);
bool place_fence_for(struct place_worker *workers, uint32_t count,
		     const struct res *need, uint32_t tasks, uint8_t fence,
		     uint32_t max_workers);
bool place_fence(struct place_worker *workers, uint32_t count,
		 const struct res *need, uint32_t tasks);
void place_unfence(struct place_worker *workers, uint32_t count);

struct res place_free(const struct place_worker *worker);
struct res place_largest(const struct place_worker *workers, uint32_t count);
bool place_fits(const struct place_policy *policy,
		const struct place_worker *worker, const struct res *need);
double place_score(const struct place_worker *worker, const struct res *need,
		   const struct res *largest);

/* Index over many workers for PLACE_BEST_FIT; see lib/place_index.c. */
struct place_index;

struct place_index *place_index_new(const struct place_worker *workers,
				    uint32_t count);
void place_index_free(struct place_index *ix);
void place_index_update(struct place_index *ix, uint32_t worker);
int32_t place_index_pick(const struct place_index *ix,
			 const struct place_policy *policy,
			 const struct res *need);
double place_index_slack(void);

#ifdef __cplusplus
}
#endif

#endif
