#include "jnl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "mpcheck.h"

#define JNL_VERSION 1
#define JNL_BATCH_FIELDS 5
#define JNL_SPEC_FIELDS 17

/* Number of encoded fields of each record type, including the type. */
static const uint32_t field_counts[JNL_TYPE_COUNT] = {
	[JNL_ACCEPT] = 3 + JNL_SPEC_FIELDS,
	[JNL_ASSIGN] = 6,
	[JNL_FAIL] = 6,
	[JNL_DONE] = 6,
	[JNL_CANCEL] = 3,
	[JNL_END] = 6,
	[JNL_PURGE] = 3,
	[JNL_WORKER_ADD] = 3,
	[JNL_WORKER_REMOVE] = 2,
};

static int pending_append(void *data, const char *bytes, size_t len)
{
	struct jnl_pending *pending = data;

	if (pending->len + len > pending->capacity) {
		size_t capacity = (pending->len + len) * 2;
		char *resized = realloc(pending->bytes, capacity);

		if (!resized)
			abort();
		pending->bytes = resized;
		pending->capacity = capacity;
	}
	memcpy(pending->bytes + pending->len, bytes, len);
	pending->len += len;
	return 0;
}

static void put_str(msgpack_packer *pk, const char *s)
{
	size_t len = strlen(s);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, s, len);
}

static void put_bin(msgpack_packer *pk, const char *data, size_t len)
{
	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, data ? data : "", len);
}

static void put_flag(msgpack_packer *pk, bool flag)
{
	if (flag)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

static void put_spec(msgpack_packer *pk, const struct jnl_record *r)
{
	const struct jnl_spec *spec = &r->spec;

	put_str(pk, spec->entry);
	put_str(pk, spec->owner);
	put_str(pk, spec->key);
	msgpack_pack_uint32(pk, spec->need.cpu_milli);
	msgpack_pack_uint32(pk, spec->need.mem_mb);
	msgpack_pack_uint32(pk, spec->need.accel);
	msgpack_pack_uint32(pk, spec->tasks);
	msgpack_pack_uint32(pk, spec->run_ms);
	msgpack_pack_uint32(pk, spec->max_running);
	put_flag(pk, spec->gang);
	put_flag(pk, spec->exclusive);
	put_flag(pk, spec->repeat);
	put_flag(pk, spec->urgent);
	msgpack_pack_uint64(pk, spec->accepted_unix_ms);
	msgpack_pack_uint64(pk, spec->deadline_unix_ms);
	msgpack_pack_uint32(pk, r->task);
	put_bin(pk, r->data, r->data_len);
}

/* Encodes @record and appends it to @pending. */
void jnl_append(struct jnl_pending *pending, const struct jnl_record *record)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, pending, pending_append);
	msgpack_pack_array(&pk, field_counts[record->type]);
	msgpack_pack_uint32(&pk, record->type);
	if (record->type == JNL_WORKER_ADD ||
	    record->type == JNL_WORKER_REMOVE) {
		put_str(&pk, record->worker);
		if (record->type == JNL_WORKER_ADD)
			put_str(&pk, record->addr);
		pending->count++;
		return;
	}
	msgpack_pack_uint64(&pk, record->job.epoch);
	msgpack_pack_uint64(&pk, record->job.seq);
	switch (record->type) {
	case JNL_ACCEPT:
		put_spec(&pk, record);
		break;
	case JNL_ASSIGN:
		msgpack_pack_uint32(&pk, record->task);
		msgpack_pack_uint32(&pk, record->attempt);
		put_str(&pk, record->worker);
		break;
	case JNL_FAIL:
		msgpack_pack_uint32(&pk, record->task);
		msgpack_pack_uint32(&pk, record->attempt);
		put_str(&pk, record->text);
		break;
	case JNL_DONE:
		msgpack_pack_uint32(&pk, record->task);
		msgpack_pack_uint32(&pk, record->kind);
		put_bin(&pk, record->data, record->data_len);
		break;
	case JNL_END:
		msgpack_pack_uint32(&pk, record->kind);
		msgpack_pack_uint32(&pk, record->outcome);
		put_str(&pk, record->text);
		break;
	default:
		break;
	}
	pending->count++;
}

/* Releases the encoded records; @pending is empty afterwards. */
void jnl_pending_free(struct jnl_pending *pending)
{
	free(pending->bytes);
	*pending = (struct jnl_pending){ 0 };
}

/*
 * Returns the encoded batch with all records of @pending, to be released with
 * free(), and its length in bytes in @len. @pending is not modified.
 */
char *jnl_encode(const struct jnl_pending *pending,
		 const struct jnl_header *header, size_t *len)
{
	struct jnl_pending out = { 0 };
	msgpack_packer pk;

	msgpack_packer_init(&pk, &out, pending_append);
	msgpack_pack_array(&pk, JNL_BATCH_FIELDS);
	msgpack_pack_uint32(&pk, JNL_VERSION);
	msgpack_pack_uint64(&pk, header->epoch);
	msgpack_pack_uint64(&pk, header->write_id);
	put_str(&pk, header->writer);
	msgpack_pack_array(&pk, pending->count);
	if (pending->len)
		pending_append(&out, pending->bytes, pending->len);
	*len = out.len;
	return out.bytes;
}

/* Cursor over the fields of a record; @ok is cleared at the first mismatch. */
struct field_reader {
	const msgpack_object *next;
	uint32_t remaining;
	bool ok;
};

static const msgpack_object *next_field(struct field_reader *f)
{
	static const msgpack_object nil = { .type = MSGPACK_OBJECT_NIL };

	if (!f->remaining) {
		f->ok = false;
		return &nil;
	}
	f->remaining--;
	return f->next++;
}

static uint64_t get_u64(struct field_reader *f, uint64_t max)
{
	const msgpack_object *o = next_field(f);

	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max) {
		f->ok = false;
		return 0;
	}
	return o->via.u64;
}

static uint32_t get_u32(struct field_reader *f)
{
	return (uint32_t)get_u64(f, UINT32_MAX);
}

static bool get_flag(struct field_reader *f)
{
	const msgpack_object *o = next_field(f);

	if (o->type != MSGPACK_OBJECT_BOOLEAN) {
		f->ok = false;
		return false;
	}
	return o->via.boolean;
}

static void get_str(struct field_reader *f, char *out, size_t size)
{
	const msgpack_object *o = next_field(f);

	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size) {
		f->ok = false;
		return;
	}
	/* msgpack may set the pointer of an empty string to NULL. */
	if (o->via.str.size) {
		if (memchr(o->via.str.ptr, '\0', o->via.str.size))
			f->ok = false;
		memcpy(out, o->via.str.ptr, o->via.str.size);
	}
	out[o->via.str.size] = '\0';
}

static void get_bin(struct field_reader *f, struct jnl_record *r)
{
	const msgpack_object *o = next_field(f);

	if (o->type != MSGPACK_OBJECT_BIN) {
		f->ok = false;
		return;
	}
	r->data = o->via.bin.ptr;
	r->data_len = o->via.bin.size;
}

static void get_spec(struct field_reader *f, struct jnl_record *r)
{
	struct jnl_spec *spec = &r->spec;

	get_str(f, spec->entry, sizeof(spec->entry));
	get_str(f, spec->owner, sizeof(spec->owner));
	get_str(f, spec->key, sizeof(spec->key));
	spec->need.cpu_milli = get_u32(f);
	spec->need.mem_mb = get_u32(f);
	spec->need.accel = get_u32(f);
	spec->tasks = get_u32(f);
	spec->run_ms = get_u32(f);
	spec->max_running = get_u32(f);
	spec->gang = get_flag(f);
	spec->exclusive = get_flag(f);
	spec->repeat = get_flag(f);
	spec->urgent = get_flag(f);
	spec->accepted_unix_ms = get_u64(f, UINT64_MAX);
	spec->deadline_unix_ms = get_u64(f, UINT64_MAX);
	r->task = get_u32(f);
	get_bin(f, r);
}

static void get_job_record(struct field_reader *f, struct jnl_record *r)
{
	r->job.epoch = get_u64(f, UINT64_MAX);
	r->job.seq = get_u64(f, UINT64_MAX);
	switch (r->type) {
	case JNL_ACCEPT:
		get_spec(f, r);
		break;
	case JNL_ASSIGN:
		r->task = get_u32(f);
		r->attempt = get_u32(f);
		get_str(f, r->worker, sizeof(r->worker));
		break;
	case JNL_FAIL:
		r->task = get_u32(f);
		r->attempt = get_u32(f);
		get_str(f, r->text, sizeof(r->text));
		break;
	case JNL_DONE:
		r->task = get_u32(f);
		r->kind = (enum err_kind)get_u64(f, ERR_KIND_COUNT - 1);
		get_bin(f, r);
		break;
	case JNL_END:
		r->kind = (enum err_kind)get_u64(f, ERR_KIND_COUNT - 1);
		r->outcome = (enum outcome)get_u64(f, OUTCOME_COUNT - 1);
		get_str(f, r->text, sizeof(r->text));
		break;
	default:
		break;
	}
}

static bool get_record(const msgpack_object *o, struct jnl_record *r)
{
	struct field_reader f;

	if (o->type != MSGPACK_OBJECT_ARRAY || !o->via.array.size)
		return false;
	f = (struct field_reader){ .next = o->via.array.ptr,
				   .remaining = o->via.array.size,
				   .ok = true };
	r->type = (enum jnl_type)get_u64(&f, JNL_TYPE_COUNT - 1);
	if (!f.ok || !r->type || o->via.array.size != field_counts[r->type])
		return false;
	if (r->type == JNL_WORKER_ADD || r->type == JNL_WORKER_REMOVE) {
		get_str(&f, r->worker, sizeof(r->worker));
		if (r->type == JNL_WORKER_ADD)
			get_str(&f, r->addr, sizeof(r->addr));
	} else {
		get_job_record(&f, r);
	}
	return f.ok && !f.remaining;
}

static bool get_batch(const msgpack_object *o, struct jnl_batch *batch,
		      struct err *err)
{
	struct field_reader f;
	const msgpack_object *list;
	uint32_t version;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return err_set(err, ERR_BAD_REQUEST, "batch: not an array");
	f = (struct field_reader){ .next = o->via.array.ptr,
				   .remaining = o->via.array.size,
				   .ok = true };
	version = get_u32(&f);
	if (!f.ok || version != JNL_VERSION)
		return err_set(err, ERR_BAD_REQUEST,
			       "batch: version %u, expected %u", version,
			       JNL_VERSION);
	batch->header.epoch = get_u64(&f, UINT64_MAX);
	batch->header.write_id = get_u64(&f, UINT64_MAX);
	get_str(&f, batch->header.writer, sizeof(batch->header.writer));
	list = next_field(&f);
	if (!f.ok || f.remaining || list->type != MSGPACK_OBJECT_ARRAY ||
	    list->via.array.size > JNL_RECORDS_MAX)
		return err_set(err, ERR_BAD_REQUEST, "batch: malformed header");
	batch->records =
		calloc(list->via.array.size + 1, sizeof(*batch->records));
	if (!batch->records)
		abort();
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		if (!get_record(&list->via.array.ptr[i], &batch->records[i]))
			return err_set(err, ERR_BAD_REQUEST,
				       "batch: malformed record %u", i);
		batch->count++;
	}
	return true;
}

/*
 * Decodes a batch read from the store into @batch, to be released with
 * jnl_batch_free(). Returns false, with nothing to release, on ERR_TOO_LARGE,
 * above 2 * JNL_BATCH_MAX bytes, or ERR_BAD_REQUEST if it is malformed.
 */
bool jnl_decode(const char *bytes, size_t len, struct jnl_batch *batch,
		struct err *err)
{
	msgpack_unpacked *unpacked = calloc(1, sizeof(*unpacked));
	size_t consumed = 0;
	bool ok = false;

	*batch = (struct jnl_batch){ 0 };
	if (!unpacked)
		abort();
	msgpack_unpacked_init(unpacked);
	batch->storage = unpacked;
	if (len > 2 * JNL_BATCH_MAX) {
		err_set(err, ERR_TOO_LARGE, "batch: too large, %zu bytes", len);
		goto out;
	}
	if (!mp_check(bytes, len) ||
	    msgpack_unpack_next(unpacked, bytes, len, &consumed) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    consumed != len) {
		err_set(err, ERR_BAD_REQUEST,
			"batch: not a single msgpack value");
		goto out;
	}
	ok = get_batch(&unpacked->data, batch, err);
out:
	if (!ok)
		jnl_batch_free(batch);
	return ok;
}

/* Releases a decoded batch; it is empty afterwards. */
void jnl_batch_free(struct jnl_batch *batch)
{
	if (batch->storage) {
		msgpack_unpacked_destroy(batch->storage);
		free(batch->storage);
	}
	free(batch->records);
	*batch = (struct jnl_batch){ 0 };
}
