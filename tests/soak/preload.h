/* File that the library preloaded into a daemon of the soak reads. */
#ifndef JAYSPOKE_SOAK_PRELOAD_H
#define JAYSPOKE_SOAK_PRELOAD_H

#include <stdint.h>

/* Ports of one run, from its base port on. */
#define SOAK_PORTS 800

struct soak_preload {
	int64_t skew_ms; /* of CLOCK_REALTIME */
	uint32_t base_port;
	/* Offset of the port to connect to instead, 0: the same. */
	uint16_t instead[SOAK_PORTS];
};

#endif
