/* Check of msgpack bytes before they are unpacked. */
#ifndef JAYSPOKE_MPCHECK_H
#define JAYSPOKE_MPCHECK_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

bool mp_check(const char *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
