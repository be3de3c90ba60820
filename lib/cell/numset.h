/* A set of 32-bit numbers that fills up from 0. */
#ifndef JAYSPOKE_CELL_NUMSET_H
#define JAYSPOKE_CELL_NUMSET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct numset {
	uint32_t from;	/* all numbers below it are members */
	uint32_t words; /* of bits */
	uint64_t *bits; /* numbers from there on */
	uint32_t count; /* of members */
};

bool numset_has(const struct numset *set, uint32_t number);
bool numset_add(struct numset *set, uint32_t number);
void numset_add_range(struct numset *set, uint32_t from, uint32_t end);
bool numset_range(const struct numset *set, uint32_t at, uint32_t *from,
		  uint32_t *end);
void numset_free(struct numset *set);

#ifdef __cplusplus
}
#endif

#endif
