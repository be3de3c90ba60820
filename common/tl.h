/* Timeline: ring buffer of the most recent events of this daemon. */
#ifndef JAYSPOKE_TL_H
#define JAYSPOKE_TL_H

#include <stdint.h>

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

#define TL_TEXT_MAX 104 /* bytes, with NUL */
#define TL_RING_EVENTS 4096

struct tl_event {
	uint64_t seq;	  /* consecutive, from 1 */
	uint64_t unix_us; /* wall clock, in microseconds */
	char kind[16];
	char text[TL_TEXT_MAX];
};

void tl_open(const char *daemon_id);
void tl_add(const char *kind, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
json_t *tl_since(uint64_t since);

#ifdef __cplusplus
}
#endif

#endif
