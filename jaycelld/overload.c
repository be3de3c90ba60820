/*
 * Overloaded queues, as the holder reports them to all daemons: how long a new
 * job would wait for its first start. Reports expire, as they are repeated
 * while a queue is overloaded.
 */
#include <stdio.h>
#include <string.h>

#include "celld.h"

#define OVERLOAD_QUEUES_MAX 32
/* Four times the interval of the reports. */
#define OVERLOAD_VALID_MS 600

struct overload_row {
	char queue[CELL_NAME_MAX];
	uint32_t wait_ms;
	uint64_t until_ms;
};

struct overload {
	struct overload_row rows[OVERLOAD_QUEUES_MAX];
};

/* Returns an empty table; it lives as long as the process. */
struct overload *overload_new(void)
{
	return xcalloc(1, sizeof(struct overload));
}

/* Notes a report; ignores it if the table is full. */
void overload_set(struct overload *o, const char *queue, uint32_t wait_ms,
		  uint64_t now_ms)
{
	struct overload_row *row = NULL;

	for (uint32_t i = 0; i < OVERLOAD_QUEUES_MAX; i++) {
		struct overload_row *at = &o->rows[i];

		if (!strcmp(at->queue, queue)) {
			row = at;
			break;
		}
		if (!row && now_ms >= at->until_ms)
			row = at;
	}
	if (!row)
		return;
	snprintf(row->queue, sizeof(row->queue), "%s", queue);
	row->wait_ms = wait_ms;
	row->until_ms = now_ms + OVERLOAD_VALID_MS;
}

/* Returns how long a new job of the queue would wait, in ms; 0: not known. */
uint32_t overload_wait_ms(const struct overload *o, const char *queue,
			  uint64_t now_ms)
{
	for (uint32_t i = 0; i < OVERLOAD_QUEUES_MAX; i++) {
		if (now_ms < o->rows[i].until_ms &&
		    !strcmp(o->rows[i].queue, queue))
			return o->rows[i].wait_ms;
	}
	return 0;
}
