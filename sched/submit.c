#include "submit.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define SUBMIT_TASKS_MAX 4096
#define SUBMIT_DEADLINE_MAX_MS (366LL * 86400000)

/* Returns the wall clock in ms, for deadlines that outlive the daemon. */
uint64_t submit_unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static bool exceeds(uint64_t need, uint32_t limit, uint32_t zone,
		    uint32_t zones)
{
	return limit != CAT_NO_LIMIT &&
	       need > cat_zone_share(limit, zone, zones);
}

/*
 * Returns whether a task, or a gang, exceeds its owner's limits in this zone.
 */
static bool over_limit(const struct conf *conf, const struct cat *cat,
		       const struct cat_entry *entry, uint32_t tasks)
{
	const struct cat_owner *o = cat_owner(cat, entry->owner);
	uint64_t n = entry->cls == CAT_GANG ? tasks : 1;
	uint32_t zone = 0;

	for (uint32_t i = 0; i < conf->zone_count; i++)
		zone += strcmp(conf->zones[i].az, conf->az) < 0;
	if (!o || !entry->max_running)
		return true;
	return exceeds(entry->cpu_milli * n, o->max_cpu_milli, zone,
		       conf->zone_count) ||
	       exceeds(entry->mem_mb * n, o->max_mem_mb, zone,
		       conf->zone_count) ||
	       exceeds(entry->accel * n, o->max_accel, zone, conf->zone_count);
}

/*
 * Parses the submission @root into @sub, with the sizes and limits from the
 * current catalogue. @sub points into @root. Returns false with @err set if the
 * submission is invalid.
 */
bool submit_read(const struct conf *conf, const struct cat *cat,
		 const char *key, json_t *root, struct zone_submission *sub,
		 struct err *err)
{
	const char *name = NULL;
	const char *input = "";
	json_int_t tasks = 0;
	json_int_t deadline_ms = 0;
	json_error_t jerr;
	const struct cat_entry *entry;
	struct jnl_spec *spec = &sub->spec;

	if (json_unpack_ex(root, &jerr, 0, "{s:s,s?s,s?I,s?I!}", "entry", &name,
			   "input", &input, "tasks", &tasks, "deadline_ms",
			   &deadline_ms))
		return err_set(err, ERR_BAD_REQUEST, "submission: %s",
			       jerr.text);
	entry = cat_entry(cat, name);
	if (!entry)
		return err_set(err, ERR_UNKNOWN_ENTRY,
			       "entry %.64s is not in the catalogue", name);
	if (entry->cls == CAT_INTERACTIVE)
		return err_set(err, ERR_BAD_REQUEST,
			       "entry %s is interactive: use /v1/call/", name);
	if (tasks < 0 || tasks > SUBMIT_TASKS_MAX || deadline_ms < 0 ||
	    deadline_ms > SUBMIT_DEADLINE_MAX_MS)
		return err_set(err, ERR_BAD_REQUEST,
			       "submission: tasks or deadline_ms out of range");
	if (strlen(input) > SUBMIT_INPUT_MAX)
		return err_set(err, ERR_TOO_LARGE,
			       "submission: input exceeds %d bytes",
			       SUBMIT_INPUT_MAX);
	snprintf(spec->entry, sizeof(spec->entry), "%s", entry->name);
	snprintf(spec->owner, sizeof(spec->owner), "%s", entry->owner);
	snprintf(spec->key, sizeof(spec->key), "%s", key);
	spec->need = (struct res){ .cpu_milli = entry->cpu_milli,
				   .mem_mb = entry->mem_mb,
				   .accel = entry->accel };
	spec->tasks = tasks ? (uint32_t)tasks : entry->tasks;
	spec->run_ms = entry->run_ms;
	spec->max_running =
		entry->max_running == CAT_NO_LIMIT ? 0 : entry->max_running;
	spec->gang = entry->cls == CAT_GANG;
	spec->exclusive = entry->exclusive;
	spec->repeat = entry->repeat;
	spec->urgent = entry->urgent;
	spec->accepted_unix_ms = submit_unix_ms();
	if (deadline_ms)
		spec->deadline_unix_ms =
			spec->accepted_unix_ms + (uint64_t)deadline_ms;
	sub->input = input;
	sub->input_len = strlen(input);
	sub->max_queued =
		entry->max_queued == CAT_NO_LIMIT ? 0 : entry->max_queued;
	sub->limit_zero =
		over_limit(conf, cat, entry, spec->tasks) || !entry->max_queued;
	return true;
}
