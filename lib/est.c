#include "est.h"

#include <math.h>

/*
 * Minimum time constant with which a size decays towards lower reports. Twice
 * the run time is used when that is longer, so that a peak which tasks reach
 * late in their run is not forgotten before the next task reaches it.
 */
#define MIN_DECAY_MS 60000.0

/*
 * After this many runs the recent peak usage is considered known. At the end of
 * each later run, a size above that peak is lowered towards it by PEAK_WEIGHT.
 */
#define MIN_RUNS 3
#define PEAK_WEIGHT 0.5

/* Minimum weight of a new run time; the first ones have equal weights. */
#define RUN_TIME_WEIGHT 0.2

/*
 * Initializes @e with the size and the run time in milliseconds that the entry
 * declares; 0 means that the run time is not known.
 */
void est_init(struct est *e, const struct res *declared, uint64_t run_ms)
{
	*e = (struct est){
		.declared = *declared,
		.cpu_milli = declared->cpu_milli,
		.mem_mb = declared->mem_mb,
		.accel = declared->accel,
		.run_ms = (double)run_ms,
	};
}

/* Sets @to to the maximum of @to and @usage in each resource. */
static void raise_to(struct res *to, const struct res *usage)
{
	if (usage->cpu_milli > to->cpu_milli)
		to->cpu_milli = usage->cpu_milli;
	if (usage->mem_mb > to->mem_mb)
		to->mem_mb = usage->mem_mb;
	if (usage->accel > to->accel)
		to->accel = usage->accel;
}

/* Begins a new peak interval if @now_ms is past the end of the current one. */
static void rotate_peaks(struct est *e, uint64_t now_ms)
{
	uint64_t age = now_ms - e->interval_start_ms;

	if (e->last_report_ms && age < EST_HOLD_MS)
		return;
	e->previous_peak = age < 2 * (uint64_t)EST_HOLD_MS ? e->current_peak
							   : (struct res){ 0 };
	e->current_peak = (struct res){ 0 };
	e->interval_start_ms = now_ms;
}

/* Returns @to if it is larger than @value, else their weighted mean. */
static double raise_or_decay(double value, double to, double weight)
{
	return to > value ? to : value + weight * (to - value);
}

/*
 * Updates the estimate with the reported usage of one task of the entry. A
 * larger value applies at once. A smaller one is weighted exponentially by the
 * time since the last report of any task, so that many small tasks do not
 * outweigh a large one. If @now_ms is before the last report, no time has
 * passed.
 */
void est_observe_usage(struct est *e, const struct res *used, uint64_t now_ms)
{
	double decay =
		2 * e->run_ms > MIN_DECAY_MS ? 2 * e->run_ms : MIN_DECAY_MS;
	double weight = 0;

	if (now_ms < e->last_report_ms)
		now_ms = e->last_report_ms;
	if (e->last_report_ms)
		weight = 1 - exp(-(double)(now_ms - e->last_report_ms) / decay);
	rotate_peaks(e, now_ms);
	raise_to(&e->current_peak, used);
	e->cpu_milli = raise_or_decay(e->cpu_milli, used->cpu_milli, weight);
	e->mem_mb = raise_or_decay(e->mem_mb, used->mem_mb, weight);
	if (used->accel > e->accel)
		e->accel = used->accel;
	e->last_report_ms = now_ms;
}

/* Returns @value moved towards a lower @peak by PEAK_WEIGHT; 0: no report. */
static double lower_to_peak(double value, uint32_t peak)
{
	return peak && peak < value ? value + PEAK_WEIGHT * (peak - value)
				    : value;
}

/*
 * Updates the estimate with the run time of a task that ended by itself. The
 * first run times are averaged with the declared one, later ones are weighted
 * exponentially. The size approaches the recent peak usage.
 */
void est_observe_run(struct est *e, uint64_t run_ms)
{
	double weight = 1.0 / (e->runs + 2);
	struct res peak = e->previous_peak;

	if (!e->runs && e->run_ms <= 0)
		weight = 1;
	if (weight < RUN_TIME_WEIGHT)
		weight = RUN_TIME_WEIGHT;
	e->run_ms += weight * ((double)run_ms - e->run_ms);
	raise_to(&peak, &e->current_peak);
	if (e->runs >= MIN_RUNS) {
		e->cpu_milli = lower_to_peak(e->cpu_milli, peak.cpu_milli);
		e->mem_mb = lower_to_peak(e->mem_mb, peak.mem_mb);
	}
	if (e->runs < UINT32_MAX - 2)
		e->runs++;
}

/* Rounds up to an integer; saturates at UINT32_MAX. */
static uint32_t round_up(double value)
{
	return value >= UINT32_MAX ? UINT32_MAX : (uint32_t)ceil(value);
}

/*
 * Stores in @out the size to reserve for the next task: the estimate, but at
 * least the peak usage reported within EST_HOLD_MS. Accelerators are never
 * below the declared count, because they are allocated whole and not all
 * workers report them.
 */
void est_size(const struct est *e, struct res *out)
{
	*out = (struct res){
		.cpu_milli = round_up(e->cpu_milli),
		.mem_mb = round_up(e->mem_mb),
		.accel = e->accel,
	};
	raise_to(out, &e->current_peak);
	raise_to(out, &e->previous_peak);
}

/* Returns the expected run time in milliseconds, 0 if it is not known. */
uint64_t est_run_ms(const struct est *e)
{
	return e->run_ms > 0 ? (uint64_t)e->run_ms : 0;
}
