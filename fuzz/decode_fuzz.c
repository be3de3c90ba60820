/*
 * Fuzzes the decoders of platform messages, client requests, stored records and
 * the settings of jaycelld. The first byte selects the decoder.
 */
#include <stdlib.h>
#include <string.h>

#include "jaycelld/celld.h"
#include "platform/decode.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void fuzz_config(const char *text, size_t size)
{
	struct cell_config config;
	struct err err = { 0 };

	if (pf_decode_config(text, size, &config, &err))
		cell_config_free(&config);
	else if (config.queues || !err.text[0])
		abort();
}

static void fuzz_minion(const char *text, size_t size)
{
	struct cell_minion_info info;
	struct err err = { 0 };

	if (pf_decode_minion("servers/m1", text, size, &info, &err) &&
	    (!info.addr[0] && !info.service[0] && !info.capacity.cpu_milli &&
	     info.label_count > CELL_LABELS_MAX))
		abort();
}

/* A decoded job must be unchanged by packing and unpacking its record. */
static void fuzz_job(const char *text, size_t size)
{
	struct cell_job_spec spec;
	struct cell_job_spec back;
	struct buf record = { 0 };
	struct err err = { 0 };

	if (!pf_decode_job(text, size, &spec, &err)) {
		if (spec.steps || spec.payload)
			abort();
		return;
	}
	record_pack_job(&spec, &record);
	if (!record_unpack_job(record.data, record.len, &back) ||
	    back.step_count != spec.step_count ||
	    strcmp(back.payload, spec.payload) != 0 ||
	    memcmp(back.steps, spec.steps,
		   spec.step_count * sizeof(*spec.steps)) != 0)
		abort();
	cell_job_spec_free(&back);
	cell_job_spec_free(&spec);
	buf_free(&record);
}

static void fuzz_report(const char *text, size_t size)
{
	struct cell_report report;
	void *memory;

	pf_decode_report(text, size, &report, &memory);
	pf_report_free(&report, memory);
}

static void fuzz_tickets(const char *text, size_t size)
{
	struct cell_ticket good[CELL_ADVICE_MINIONS_MAX];
	json_t *memory;
	uint32_t count;

	if (pf_decode_tickets(text, size, good, &count, &memory) &&
	    count > CELL_ADVICE_MINIONS_MAX)
		abort();
	json_decref(memory);
}

static void fuzz_record(const char *text, size_t size)
{
	struct cell_job_spec spec;

	if (record_unpack_job(text, size, &spec))
		cell_job_spec_free(&spec);
	else if (spec.steps || spec.payload)
		abort();
}

static void fuzz_conf(const char *text, size_t size)
{
	struct cd_conf conf;
	struct err err = { 0 };

	if (!conf_parse_text(&conf, "FILE", text, size, &err) && !err.text[0])
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static void (*const fuzzers[])(const char *, size_t) = {
		fuzz_config,  fuzz_minion, fuzz_job,  fuzz_report,
		fuzz_tickets, fuzz_record, fuzz_conf,
	};
	size_t n = sizeof(fuzzers) / sizeof(fuzzers[0]);

	if (size)
		fuzzers[data[0] % n]((const char *)data + 1, size - 1);
	return 0;
}
