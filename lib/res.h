/* Resource vectors: processors, memory and accelerators. */
#ifndef JAYSPOKE_RES_H
#define JAYSPOKE_RES_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct res {
	uint32_t cpu_milli; /* thousandths of a processor */
	uint32_t mem_mb;
	uint32_t accel;
};

bool res_fits(const struct res *need, const struct res *avail);
void res_add(struct res *to, const struct res *amount);
void res_sub(struct res *from, const struct res *amount);
double res_dominant(const struct res *part, const struct res *whole);

#ifdef __cplusplus
}
#endif

#endif
