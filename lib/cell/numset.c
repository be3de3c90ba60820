/*
 * A set of numbers that fills up from 0: all below some number, and a bitmap of
 * those beyond.
 */
#include <stdlib.h>
#include <string.h>

#include "cell/numset.h"

#define WORD_BITS 64

static bool bit_get(const struct numset *set, uint32_t at)
{
	return at / WORD_BITS < set->words &&
	       (set->bits[at / WORD_BITS] >> (at % WORD_BITS) & 1);
}

static void grow(struct numset *set, uint32_t words)
{
	uint32_t wanted = set->words ? set->words : 1;

	if (words <= set->words)
		return;
	while (wanted < words)
		wanted *= 2;
	set->bits = realloc(set->bits, wanted * sizeof(*set->bits));
	if (!set->bits)
		abort();
	memset(set->bits + set->words, 0,
	       (wanted - set->words) * sizeof(*set->bits));
	set->words = wanted;
}

/* Drops the words of which all numbers are members. */
static void shift(struct numset *set)
{
	uint32_t full = 0;

	while (full < set->words && set->bits[full] == UINT64_MAX)
		full++;
	if (!full)
		return;
	memmove(set->bits, set->bits + full,
		(set->words - full) * sizeof(*set->bits));
	memset(set->bits + set->words - full, 0, full * sizeof(*set->bits));
	set->from += full * WORD_BITS;
}

bool numset_has(const struct numset *set, uint32_t number)
{
	return number < set->from || bit_get(set, number - set->from);
}

/* Adds a number; returns false if it is a member. */
bool numset_add(struct numset *set, uint32_t number)
{
	uint32_t at = number - set->from;

	if (numset_has(set, number))
		return false;
	grow(set, at / WORD_BITS + 1);
	set->bits[at / WORD_BITS] |= (uint64_t)1 << (at % WORD_BITS);
	set->count++;
	shift(set);
	return true;
}

/* Adds the numbers from @from to @end - 1. */
void numset_add_range(struct numset *set, uint32_t from, uint32_t end)
{
	while (from < end) {
		uint32_t whole = (end - from) / WORD_BITS * WORD_BITS;

		if (from == set->from && set->count == set->from && whole) {
			set->from += whole;
			set->count += whole;
			from += whole;
		} else {
			numset_add(set, from++);
		}
	}
}

/*
 * Sets *@from and *@end to the first range of members at @at or later; returns
 * false if there is none.
 */
bool numset_range(const struct numset *set, uint32_t at, uint32_t *from,
		  uint32_t *end)
{
	uint64_t limit = (uint64_t)set->from + (uint64_t)set->words * WORD_BITS;
	uint64_t i = at;

	while (i < limit && !numset_has(set, (uint32_t)i))
		i++;
	if (i >= limit)
		return false;
	*from = (uint32_t)i;
	if (i < set->from)
		i = set->from;
	while (i < limit && numset_has(set, (uint32_t)i))
		i++;
	*end = (uint32_t)i;
	return true;
}

void numset_free(struct numset *set)
{
	free(set->bits);
	*set = (struct numset){ 0 };
}
