/*
 * Encoding of jobs and journal records in msgpack, as stored and as sent
 * between daemons.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "celld.h"
#include "mp.h"
#include "mpcheck.h"

#define RECORD_VERSION 1
#define JOB_FIELDS 9
/* With the team, which earlier builds do not know: only if there is one. */
#define TEAM_JOB_FIELDS 10
#define STEP_FIELDS 13
#define RECORD_FIELDS 5
#define CRASH_RECORD_FIELDS 9

enum step_flag {
	STEP_GANG = 1,
	STEP_SAME_RACK = 2,
	STEP_CHECKPOINTING = 4,
	STEP_SPECULATIVE = 8,
	STEP_LONG_RUNNING = 16,
	STEP_FILLS = 32
};

static uint32_t step_flags(const struct cell_step_spec *s)
{
	return (s->gang ? STEP_GANG : 0) | (s->same_rack ? STEP_SAME_RACK : 0) |
	       (s->checkpointing ? STEP_CHECKPOINTING : 0) |
	       (s->speculative ? STEP_SPECULATIVE : 0) |
	       (s->long_running ? STEP_LONG_RUNNING : 0) |
	       (s->fills ? STEP_FILLS : 0);
}

static void pack_step(msgpack_packer *pk, const struct cell_step_spec *s)
{
	msgpack_pack_array(pk, STEP_FIELDS);
	msgpack_pack_uint32(pk, s->count);
	msgpack_pack_uint32(pk, s->need.cpu_milli);
	msgpack_pack_uint32(pk, s->need.mem_mb);
	msgpack_pack_uint32(pk, s->need.gpu);
	msgpack_pack_uint32(pk, s->estimate_ms);
	msgpack_pack_uint32(pk, s->after);
	msgpack_pack_uint32(pk, s->anti_affinity);
	msgpack_pack_uint32(pk, s->target_ms);
	msgpack_pack_uint32(pk, s->may_miss);
	msgpack_pack_uint32(pk, step_flags(s));
	mp_pack_text(pk, s->requires);
	mp_pack_text(pk, s->affinity);
	mp_pack_text(pk, s->image);
}

/* Appends the encoded job to @out. */
void record_pack_job(const struct cell_job_spec *spec, struct buf *out)
{
	msgpack_packer pk;

	mp_open(&pk, out);
	msgpack_pack_array(&pk, spec->team[0] ? TEAM_JOB_FIELDS : JOB_FIELDS);
	msgpack_pack_uint32(&pk, RECORD_VERSION);
	mp_pack_text(&pk, spec->id);
	mp_pack_text(&pk, spec->queue);
	mp_pack_text(&pk, spec->payload);
	msgpack_pack_uint64(&pk, spec->accepted_unix_ms);
	msgpack_pack_uint32(&pk, spec->repeat_count);
	msgpack_pack_uint64(&pk, spec->first_unix_ms);
	msgpack_pack_uint64(&pk, spec->interval_ms);
	msgpack_pack_array(&pk, spec->step_count);
	for (uint32_t i = 0; i < spec->step_count; i++)
		pack_step(&pk, &spec->steps[i]);
	if (spec->team[0])
		mp_pack_text(&pk, spec->team);
}

static bool get_text(const msgpack_object *o, char *out, size_t size)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size)
		return false;
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}

static bool is_array(const msgpack_object *o, uint32_t size)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size == size;
}

static bool unpack_step(const msgpack_object *o, struct cell_step_spec *s)
{
	const msgpack_object *f = o->via.array.ptr;
	uint32_t flags;

	if (!is_array(o, STEP_FIELDS) || !mp_get_u32(&f[0], &s->count) ||
	    !s->count || s->count > CELL_TASKS_MAX ||
	    !mp_get_u32(&f[1], &s->need.cpu_milli) ||
	    !mp_get_u32(&f[2], &s->need.mem_mb) ||
	    !mp_get_u32(&f[3], &s->need.gpu) ||
	    !mp_get_u32(&f[4], &s->estimate_ms) ||
	    !mp_get_u32(&f[5], &s->after) ||
	    !mp_get_u32(&f[6], &s->anti_affinity) ||
	    !mp_get_u32(&f[7], &s->target_ms) ||
	    !mp_get_u32(&f[8], &s->may_miss) || !mp_get_u32(&f[9], &flags) ||
	    !get_text(&f[10], s->requires, sizeof(s->requires)) ||
	    !get_text(&f[11], s->affinity, sizeof(s->affinity)) ||
	    !get_text(&f[12], s->image, sizeof(s->image)))
		return false;
	s->gang = flags & STEP_GANG;
	s->same_rack = flags & STEP_SAME_RACK;
	s->checkpointing = flags & STEP_CHECKPOINTING;
	s->speculative = flags & STEP_SPECULATIVE;
	s->long_running = flags & STEP_LONG_RUNNING;
	s->fills = flags & STEP_FILLS;
	return true;
}

static bool unpack_job(const msgpack_object *o, struct cell_job_spec *spec)
{
	const msgpack_object *f = o->via.array.ptr;
	const msgpack_object *steps;
	uint32_t version;

	if ((!is_array(o, JOB_FIELDS) && !is_array(o, TEAM_JOB_FIELDS)) ||
	    !mp_get_u32(&f[0], &version) || version != RECORD_VERSION ||
	    !get_text(&f[1], spec->id, sizeof(spec->id)) ||
	    !get_text(&f[2], spec->queue, sizeof(spec->queue)) ||
	    f[3].type != MSGPACK_OBJECT_STR ||
	    !mp_get_u64(&f[4], &spec->accepted_unix_ms) ||
	    !mp_get_u32(&f[5], &spec->repeat_count) ||
	    !mp_get_u64(&f[6], &spec->first_unix_ms) ||
	    !mp_get_u64(&f[7], &spec->interval_ms))
		return false;
	if (o->via.array.size == TEAM_JOB_FIELDS &&
	    !get_text(&f[JOB_FIELDS], spec->team, sizeof(spec->team)))
		return false;
	steps = &f[8];
	if (steps->type != MSGPACK_OBJECT_ARRAY || !steps->via.array.size ||
	    steps->via.array.size > CELL_STEPS_MAX)
		return false;
	spec->payload = strndup(f[3].via.str.ptr, f[3].via.str.size);
	spec->steps = xcalloc(steps->via.array.size, sizeof(*spec->steps));
	spec->step_count = steps->via.array.size;
	for (uint32_t i = 0; i < spec->step_count; i++) {
		if (!unpack_step(&steps->via.array.ptr[i], &spec->steps[i]))
			return false;
	}
	return true;
}

static bool unpack_object(msgpack_unpacked *unpacked, const char *data,
			  size_t len)
{
	return mp_check(data, len) &&
	       msgpack_unpack_next(unpacked, data, len, NULL) ==
		       MSGPACK_UNPACK_SUCCESS;
}

/*
 * Decodes a job. On success the caller frees @spec with cell_job_spec_free().
 * Returns false if the job is malformed.
 */
bool record_unpack_job(const char *data, size_t len, struct cell_job_spec *spec)
{
	msgpack_unpacked unpacked;
	bool ok;

	*spec = (struct cell_job_spec){ 0 };
	msgpack_unpacked_init(&unpacked);
	ok = unpack_object(&unpacked, data, len) &&
	     unpack_job(&unpacked.data, spec);
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		cell_job_spec_free(spec);
	return ok;
}

/* Appends one encoded journal record to @out. */
void record_pack(const struct cell_record *record, struct buf *out)
{
	msgpack_packer pk;

	mp_open(&pk, out);
	msgpack_pack_array(&pk, record->kind == CELL_RECORD_CRASH
					? CRASH_RECORD_FIELDS
					: RECORD_FIELDS);
	msgpack_pack_uint32(&pk, record->kind);
	switch (record->kind) {
	case CELL_RECORD_END:
	case CELL_RECORD_CRASH:
	case CELL_RECORD_CLEARED:
	case CELL_RECORD_UNANSWERED:
		mp_pack_text(&pk, record->task);
		break;
	case CELL_RECORD_CANCEL:
	case CELL_RECORD_STATE:
	case CELL_RECORD_CONTAINED:
	case CELL_RECORD_OCCURRENCES:
	case CELL_RECORD_TOMBSTONE:
		mp_pack_text(&pk, record->job);
		break;
	default:
		mp_pack_text(&pk, record->minion);
		break;
	}
	msgpack_pack_uint64(&pk, record->run);
	msgpack_pack_uint32(&pk, record->end);
	if (record->kind == CELL_RECORD_CRASH) {
		mp_pack_text(&pk, record->minion);
		msgpack_pack_uint32(&pk, record->blame);
		msgpack_pack_uint32(&pk, record->others);
		msgpack_pack_uint64(&pk, record->age_ms);
		msgpack_pack_uint32(&pk, record->begun);
		return;
	}
	mp_pack_text(&pk, record->kind == CELL_RECORD_END ? record->checkpoint
							  : record->addr);
}

/* Decodes the fields that only the record of a crash has. */
static bool unpack_crash(const msgpack_object *f, const char *minion,
			 struct cell_record *record)
{
	uint32_t begun;

	if (!mp_get_u32(&f[RECORD_FIELDS + 3], &begun))
		return false;
	record->begun = begun;
	record->minion = minion;
	return strlen(minion) < CELL_NAME_MAX &&
	       mp_get_u32(&f[RECORD_FIELDS], &record->blame) &&
	       mp_get_u32(&f[RECORD_FIELDS + 1], &record->others) &&
	       mp_get_u64(&f[RECORD_FIELDS + 2], &record->age_ms);
}

/* Appends a batch of @count records, encoded back to back in @records. */
void record_pack_batch(const struct buf *records, uint32_t count,
		       struct buf *out)
{
	msgpack_packer pk;

	mp_open(&pk, out);
	msgpack_pack_array(&pk, count);
	buf_append(out, records->data, records->len);
}

/* Returns a copy, which the caller frees, or NULL if @o is no string. */
static char *copy_text(const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_STR)
		return NULL;
	return strndup(o->via.str.ptr, o->via.str.size);
}

static bool replay_row(const msgpack_object *o, struct cell *cell)
{
	const msgpack_object *f = o->via.array.ptr;
	char subject[CELL_NAME_MAX];
	char *detail = NULL;
	struct cell_record record = { 0 };
	bool ok = false;
	uint32_t kind;
	uint32_t end;

	if (o->type != MSGPACK_OBJECT_ARRAY || !o->via.array.size ||
	    !mp_get_u32(&f[0], &kind))
		return false;
	if (kind >= CELL_RECORD_KINDS) {
		ev("journal-unknown", "kind=%u", kind);
		return true;
	}
	if (!is_array(o, kind == CELL_RECORD_CRASH ? CRASH_RECORD_FIELDS
						   : RECORD_FIELDS) ||
	    !get_text(&f[1], subject, sizeof(subject)) ||
	    !mp_get_u64(&f[2], &record.run) || !mp_get_u32(&f[3], &end) ||
	    end >= CELL_ENDS)
		return false;
	detail = copy_text(&f[4]);
	if (!detail)
		return false;
	record.kind = (enum cell_record_kind)kind;
	record.end = (enum cell_end)end;
	record.job = subject;
	record.task = subject;
	record.minion = subject;
	record.checkpoint = detail;
	record.addr = detail;
	if (kind == CELL_RECORD_CRASH && !unpack_crash(f, detail, &record))
		goto out;
	cell_replay(cell, &record);
	ok = true;
out:
	free(detail);
	return ok;
}

/*
 * Applies a batch to @cell. Returns false if a record is malformed; the others
 * are applied.
 */
bool record_replay_batch(const char *data, size_t len, struct cell *cell)
{
	msgpack_unpacked unpacked;
	const msgpack_object_array *rows = &unpacked.data.via.array;
	bool readable;
	bool ok;

	msgpack_unpacked_init(&unpacked);
	readable = unpack_object(&unpacked, data, len) &&
		   unpacked.data.type == MSGPACK_OBJECT_ARRAY;
	ok = readable;
	for (uint32_t i = 0; readable && i < rows->size; i++)
		ok = replay_row(&rows->ptr[i], cell) && ok;
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}
