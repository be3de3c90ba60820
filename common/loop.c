#include "loop.h"

#include <stdlib.h>
#include <time.h>

#include "buf.h"

/* Maximum wait for events; bounds how late loop_stop() takes effect. */
#define LOOP_MAX_WAIT_MS 1000

struct loop {
	h2o_loop_t *h2o;
	struct timer **heap;
	uint32_t count;
	uint32_t capacity;
	bool (*idle)(void *ctx);
	void *idle_ctx;
	volatile bool stopped;
};

/*
 * Returns milliseconds on CLOCK_BOOTTIME, which includes time spent suspended
 * and is not affected by changes of the wall clock. All deadlines use it. The
 * timers of h2o follow the wall clock and are only a backstop.
 */
uint64_t loop_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

struct loop *loop_new(void)
{
	struct loop *loop = xcalloc(1, sizeof(*loop));

	loop->h2o = h2o_evloop_create();
	return loop;
}

/* Frees the loop. Its h2o loop exists until the process exits. */
void loop_free(struct loop *loop)
{
	free(loop->heap);
	free(loop);
}

/* Returns the h2o loop, for sockets. */
h2o_loop_t *loop_h2o(struct loop *loop)
{
	return loop->h2o;
}

/*
 * Sets the function that runs deferred work, called once per loop iteration. It
 * returns true if there is more work, so that the loop does not wait for
 * events.
 */
void loop_set_idle(struct loop *loop, bool (*fn)(void *), void *ctx)
{
	loop->idle = fn;
	loop->idle_ctx = ctx;
}

/* Makes loop_run() return; async-signal-safe. */
void loop_stop(struct loop *loop)
{
	loop->stopped = true;
}

static void heap_put(struct loop *loop, uint32_t pos, struct timer *t)
{
	loop->heap[pos] = t;
	t->heap_pos = pos + 1;
}

static void heap_up(struct loop *loop, uint32_t pos)
{
	struct timer *t = loop->heap[pos];

	while (pos > 0) {
		uint32_t parent = (pos - 1) / 2;

		if (loop->heap[parent]->at_ms <= t->at_ms)
			break;
		heap_put(loop, pos, loop->heap[parent]);
		pos = parent;
	}
	heap_put(loop, pos, t);
}

static void heap_down(struct loop *loop, uint32_t pos)
{
	struct timer *t = loop->heap[pos];

	for (;;) {
		uint32_t child = pos * 2 + 1;

		if (child >= loop->count)
			break;
		if (child + 1 < loop->count &&
		    loop->heap[child + 1]->at_ms < loop->heap[child]->at_ms)
			child++;
		if (loop->heap[child]->at_ms >= t->at_ms)
			break;
		heap_put(loop, pos, loop->heap[child]);
		pos = child;
	}
	heap_put(loop, pos, t);
}

/* Starts @t, or restarts it if active, to expire once after @delay_ms. */
void timer_start(struct loop *loop, struct timer *t, uint64_t delay_ms)
{
	timer_stop(loop, t);
	t->at_ms = loop_now_ms() + delay_ms;
	if (loop->count == loop->capacity) {
		loop->capacity = loop->capacity ? loop->capacity * 2 : 64;
		loop->heap = xrealloc(loop->heap,
				      loop->capacity * sizeof(*loop->heap));
	}
	loop->heap[loop->count] = t;
	loop->count++;
	heap_up(loop, loop->count - 1);
}

/* Stops @t; does nothing if it is inactive. */
void timer_stop(struct loop *loop, struct timer *t)
{
	uint32_t pos;
	struct timer *last;

	if (!t->heap_pos)
		return;
	pos = t->heap_pos - 1;
	t->heap_pos = 0;
	loop->count--;
	if (pos == loop->count)
		return;
	last = loop->heap[loop->count];
	heap_put(loop, pos, last);
	heap_up(loop, pos);
	heap_down(loop, last->heap_pos - 1);
}

static void loop_fire_timers(struct loop *loop)
{
	uint64_t now = loop_now_ms();

	while (loop->count && loop->heap[0]->at_ms <= now) {
		struct timer *t = loop->heap[0];

		timer_stop(loop, t);
		t->fn(t);
	}
}

static int32_t loop_wait_ms(struct loop *loop, bool more)
{
	uint64_t now;

	if (more)
		return 0;
	if (!loop->count)
		return LOOP_MAX_WAIT_MS;
	now = loop_now_ms();
	if (loop->heap[0]->at_ms <= now)
		return 0;
	if (loop->heap[0]->at_ms - now > LOOP_MAX_WAIT_MS)
		return LOOP_MAX_WAIT_MS;
	return (int32_t)(loop->heap[0]->at_ms - now);
}

/*
 * Calls the socket callbacks that code outside h2o_evloop_run() made pending:
 * timers, deferred work, or what ran before the loop. h2o_evloop_run() frees
 * closed sockets first, so that a socket that was written to and then closed
 * must not be pending any more. Returns true if there were any.
 */
static bool loop_run_pending(struct loop *loop)
{
	bool any =
		loop->h2o->_pending_as_client || loop->h2o->_pending_as_server;

	h2o_timeout__do_post_callback(loop->h2o);
	return any;
}

/*
 * Handles sockets, timers and deferred work until loop_stop(). May be called
 * again after it has returned.
 */
void loop_run(struct loop *loop)
{
	bool more = false;

	while (!loop->stopped) {
		/* The callbacks may have left deferred work. */
		if (loop_run_pending(loop))
			more = true;
		h2o_evloop_run(loop->h2o, loop_wait_ms(loop, more));
		loop_fire_timers(loop);
		more = loop->idle && loop->idle(loop->idle_ctx);
	}
	loop->stopped = false;
}
