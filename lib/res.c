#include "res.h"

static uint32_t saturating_add(uint32_t a, uint32_t b)
{
	return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

static uint32_t saturating_sub(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

/* Returns whether @need is at most @avail in every resource. */
bool res_fits(const struct res *need, const struct res *avail)
{
	return need->cpu_milli <= avail->cpu_milli &&
	       need->mem_mb <= avail->mem_mb && need->accel <= avail->accel;
}

/* Adds @amount to @to; each sum saturates at UINT32_MAX. */
void res_add(struct res *to, const struct res *amount)
{
	to->cpu_milli = saturating_add(to->cpu_milli, amount->cpu_milli);
	to->mem_mb = saturating_add(to->mem_mb, amount->mem_mb);
	to->accel = saturating_add(to->accel, amount->accel);
}

/* Subtracts @amount from @from; each difference saturates at 0. */
void res_sub(struct res *from, const struct res *amount)
{
	from->cpu_milli = saturating_sub(from->cpu_milli, amount->cpu_milli);
	from->mem_mb = saturating_sub(from->mem_mb, amount->mem_mb);
	from->accel = saturating_sub(from->accel, amount->accel);
}

/* Returns part / whole; 0 if @part is 0, and 1 if only @whole is 0. */
static double fraction(uint32_t part, uint32_t whole)
{
	if (!part)
		return 0;
	return whole ? (double)part / whole : 1;
}

/* Returns the maximum over the resources of the fraction @part / @whole. */
double res_dominant(const struct res *part, const struct res *whole)
{
	double cpu = fraction(part->cpu_milli, whole->cpu_milli);
	double mem = fraction(part->mem_mb, whole->mem_mb);
	double accel = fraction(part->accel, whole->accel);
	double max = cpu > mem ? cpu : mem;

	return max > accel ? max : accel;
}
