/* Event loop: h2o sockets, timers on CLOCK_BOOTTIME, and deferred work. */
#ifndef JAYSPOKE_LOOP_H
#define JAYSPOKE_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

#ifdef __cplusplus
extern "C" {
#endif

struct loop;

/* One-shot timer, embedded in its owner; inactive if zeroed. */
struct timer {
	uint64_t at_ms;	   /* expiry, see loop_now_ms() */
	uint32_t heap_pos; /* index in the heap plus one, 0 if inactive */
	void (*fn)(struct timer *);
	void *ctx;
};

struct loop *loop_new(void);
void loop_free(struct loop *loop);
h2o_loop_t *loop_h2o(struct loop *loop);
uint64_t loop_now_ms(void);
void loop_run(struct loop *loop);
void loop_stop(struct loop *loop);
void loop_set_idle(struct loop *loop, bool (*fn)(void *), void *ctx);

void timer_start(struct loop *loop, struct timer *t, uint64_t delay_ms);
void timer_stop(struct loop *loop, struct timer *t);

#ifdef __cplusplus
}
#endif

#endif
