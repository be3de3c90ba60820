/*
 * Structured events on standard output: one line each, "time event key=value".
 * Lines are buffered for one turn of the loop and never block: what the reader
 * does not take is dropped and counted.
 */
#ifndef JAYSPOKE_EV_H
#define JAYSPOKE_EV_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

void ev_open(const char *program, const char *instance);
void ev(const char *event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void ev_flush(void);
uint64_t ev_dropped(void);

#ifdef __cplusplus
}
#endif

#endif
