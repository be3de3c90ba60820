/* File that the library preloaded into a daemon of the soak reads. */
#ifndef JAYSPOKE_SOAK_PRELOAD_H
#define JAYSPOKE_SOAK_PRELOAD_H

#include <stdint.h>

/* Ports of one run, from its base port on. */
#define SOAK_PORTS 1200
/* The proxies tell the zone of a daemon by the address it connects from. */
#define SOAK_ZONE_ADDRESS 0x7f000101 /* of zone 0, 127.0.1.1 */

struct soak_preload {
	int64_t skew_ms; /* of CLOCK_REALTIME */
	uint32_t base_port;
	uint32_t zone;
};

#endif
