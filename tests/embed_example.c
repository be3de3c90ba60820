/*
 * Example of docs/embedding.md: places a backlog of two owners on three workers
 * and prints what starts. Linked with the library alone.
 */
#include <jayspoke.h>

#include <stdio.h>
#include <stdlib.h>

/* Starts what fits now, in the order of the queue; returns how many jobs. */
static int start_jobs(struct queue *queue, struct share *share,
		      struct place_policy *policy, struct place_worker *workers,
		      uint32_t count, uint64_t now_ms)
{
	const struct res need = { .cpu_milli = 2000, .mem_mb = 4096 };
	queue_ref ref;
	int started = 0;

	queue_begin(queue, now_ms);
	while ((ref = queue_next(queue))) {
		struct queue_job job = *queue_get(queue, ref);
		int32_t w;

		if (!share_charge(share, job.owner, &need)) {
			queue_blocked(queue, ref, QUEUE_LIMIT);
			continue;
		}
		policy->allowed_fence = queue_fence(queue, ref);
		w = place_pick(policy, workers, count, &need);
		if (w < 0) {
			share_refund(share, job.owner, &need);
			queue_blocked(queue, ref, QUEUE_NO_ROOM);
			continue;
		}
		place_reserve(&workers[w], &need);
		queue_remove(queue, ref);
		started++;
		printf("job %llu of %s on worker %d\n",
		       (unsigned long long)job.user,
		       share_name(share, job.owner), w);
	}
	return started;
}

int main(void)
{
	static const struct queue_limits limits = { 5000, 60000, 600000 };
	struct place_worker workers[3] = {
		{ .capacity = { 4000, 16384, 0 }, .rack = 0, .usable = true },
		{ .capacity = { 4000, 16384, 0 }, .rack = 1, .usable = true },
		{ .capacity = { 4000, 16384, 0 }, .rack = 1, .usable = false },
	};
	const struct res total = { 8000, 32768, 0 };
	struct share *share = share_new();
	struct queue *queue = share ? queue_new(share, &limits) : NULL;
	struct place_policy policy;
	int started = 0;

	if (!queue)
		goto out;
	place_init(&policy, PLACE_BEST_FIT, 1);
	share_set_total(share, &total);
	for (uint64_t i = 0; i < 8; i++) {
		struct queue_job job = {
			.owner = share_owner(share, i < 6 ? "loom" : "film"),
			.tasks = 1,
			.since_ms = i,
			.user = i,
		};

		queue_add(queue, &job);
	}
	started = start_jobs(queue, share, &policy, workers, 3, 1000);
out:
	queue_free(queue);
	share_free(share);
	return started == 4 ? 0 : 1;
}
