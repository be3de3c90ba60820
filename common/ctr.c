#include "ctr.h"

#include <stdio.h>
#include <string.h>

#define CTR_MAX 192 /* metrics; any beyond it share the last slot */
/* Eight linear buckets per power of two; relative error below 12.5%. */
#define CTR_SUB_BITS 3
#define CTR_BUCKETS ((64 - CTR_SUB_BITS + 1) << CTR_SUB_BITS)

enum ctr_type { CTR_COUNTER, CTR_GAUGE, CTR_HISTOGRAM };

struct ctr {
	const char *name;
	const char *help;
	enum ctr_type type;
	uint64_t value; /* number of observations of a histogram */
	uint64_t sum;	/* of the observations, in microseconds */
	uint32_t *buckets;
};

static struct ctr ctrs[CTR_MAX];
static uint32_t ctr_count;

static ctr_id ctr_register(const char *name, const char *help,
			   enum ctr_type type)
{
	for (uint32_t i = 0; i < ctr_count; i++) {
		if (!strcmp(ctrs[i].name, name))
			return i;
	}
	if (ctr_count == CTR_MAX)
		return CTR_MAX - 1;
	ctrs[ctr_count] =
		(struct ctr){ .name = name, .help = help, .type = type };
	if (type == CTR_HISTOGRAM)
		ctrs[ctr_count].buckets =
			xcalloc(CTR_BUCKETS, sizeof(uint32_t));
	return ctr_count++;
}

/* Registers a counter, or returns the existing metric of that name. */
ctr_id ctr_counter(const char *name, const char *help)
{
	return ctr_register(name, help, CTR_COUNTER);
}

/* Registers a gauge, or returns the existing metric of that name. */
ctr_id ctr_gauge(const char *name, const char *help)
{
	return ctr_register(name, help, CTR_GAUGE);
}

/*
 * Registers a histogram of microseconds, or returns the existing metric of that
 * name.
 */
ctr_id ctr_histogram(const char *name, const char *help)
{
	return ctr_register(name, help, CTR_HISTOGRAM);
}

void ctr_add(ctr_id id, uint64_t n)
{
	ctrs[id].value += n;
}

void ctr_set(ctr_id id, uint64_t value)
{
	ctrs[id].value = value;
}

/* Returns a value; for a histogram, the number of observations. */
uint64_t ctr_value(ctr_id id)
{
	return ctrs[id].value;
}

static uint32_t ctr_bucket(uint64_t v)
{
	uint32_t shift;

	if (v < (1U << CTR_SUB_BITS))
		return (uint32_t)v;
	shift = 63U - (uint32_t)__builtin_clzll(v) - CTR_SUB_BITS;
	return ((shift + 1) << CTR_SUB_BITS) +
	       (uint32_t)((v >> shift) & ((1U << CTR_SUB_BITS) - 1));
}

static uint64_t ctr_bucket_limit(uint32_t bucket)
{
	uint32_t shift;

	if (bucket < (1U << CTR_SUB_BITS))
		return bucket;
	shift = (bucket >> CTR_SUB_BITS) - 1;
	return (((uint64_t)(bucket & ((1U << CTR_SUB_BITS) - 1)) + 1 +
		 (1U << CTR_SUB_BITS))
		<< shift) -
	       1;
}

/* Adds an observation of @value_us microseconds to a histogram. */
void ctr_observe(ctr_id id, uint64_t value_us)
{
	struct ctr *c = &ctrs[id];

	if (!c->buckets)
		return;
	c->value++;
	c->sum += value_us;
	c->buckets[ctr_bucket(value_us)]++;
}

/*
 * Returns quantile @q (0 to 1) in microseconds, rounded up to the limit of its
 * bucket, or 0 if there are no observations.
 */
uint64_t ctr_quantile(ctr_id id, double q)
{
	const struct ctr *c = &ctrs[id];
	uint64_t rank = (uint64_t)(q * (double)c->value);
	uint64_t seen = 0;

	if (!c->buckets || !c->value)
		return 0;
	for (uint32_t i = 0; i < CTR_BUCKETS; i++) {
		seen += c->buckets[i];
		if (seen > rank)
			return ctr_bucket_limit(i);
	}
	return ctr_bucket_limit(CTR_BUCKETS - 1);
}

static void ctr_print_summary(struct buf *out, ctr_id id)
{
	static const double quantiles[] = { 0.5, 0.99, 0.999 };
	const struct ctr *c = &ctrs[id];

	for (size_t i = 0; i < 3; i++) {
		struct buf line = buf_fmt(
			"%s{quantile=\"%g\"} %g\n", c->name, quantiles[i],
			(double)ctr_quantile(id, quantiles[i]) / 1e6);

		buf_append(out, line.data, line.len);
		buf_free(&line);
	}
	{
		struct buf line = buf_fmt("%s_sum %g\n%s_count %llu\n", c->name,
					  (double)c->sum / 1e6, c->name,
					  (unsigned long long)c->value);

		buf_append(out, line.data, line.len);
		buf_free(&line);
	}
}

/*
 * Returns all metrics in the Prometheus text format, version 0.0.4. Histograms
 * are exported as summaries in seconds.
 */
struct buf ctr_prometheus(void)
{
	static const char *const types[] = { "counter", "gauge", "summary" };
	struct buf out = { 0 };

	for (uint32_t i = 0; i < ctr_count; i++) {
		const struct ctr *c = &ctrs[i];
		struct buf head =
			buf_fmt("# HELP %s %s\n# TYPE %s %s\n", c->name,
				c->help, c->name, types[c->type]);

		buf_append(&out, head.data, head.len);
		buf_free(&head);
		if (c->type == CTR_HISTOGRAM) {
			ctr_print_summary(&out, i);
			continue;
		}
		head = buf_fmt("%s %llu\n", c->name,
			       (unsigned long long)c->value);
		buf_append(&out, head.data, head.len);
		buf_free(&head);
	}
	return out;
}
