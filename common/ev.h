/*
 * Structured events on standard output, one "time event key=value" line each.
 * Lines are buffered until ev_flush(), once per loop iteration. Writes never
 * block: lines that the reader is too slow for are dropped and counted.
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
