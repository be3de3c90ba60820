#include "journal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ctr.h"
#include "store/kv.h"
#include "log.h"
#include "tl.h"

/* Batches in a segment. One recursive request deletes a whole segment. */
#define JOURNAL_SEGMENT_BATCHES 64
/* Number of batches between snapshots. */
#define JOURNAL_SNAPSHOT_BATCHES 256
/* Segments that are kept before the one where the snapshot ends. */
#define JOURNAL_KEPT_SEGMENTS 2
/* First reference of journal requests; enum claim_ref uses smaller ones. */
#define JOURNAL_REF_FIRST 1000
#define JOURNAL_RETRY_MS 200
/* No new jobs are accepted while a write takes longer than this. */
#define JOURNAL_HEALTHY_MS 1500

enum journal_state {
	JOURNAL_CLOSED,
	JOURNAL_LOAD_POINTER,
	JOURNAL_LOAD_CHUNK,
	JOURNAL_LOAD_SEGMENT,
	JOURNAL_OPEN
};

enum write_state {
	WRITE_IDLE,
	WRITE_SENT,
	WRITE_READING, /* reading the key to learn the result */
	WRITE_WAITING  /* to be retried at retry_ms */
};

struct snapshot {
	struct jnl_pending *chunks;
	uint32_t count;
	uint32_t written;
	uint64_t after; /* first batch that is not included */
	bool taken;
	bool pointer_sent;
};

struct journal {
	struct env env;
	const struct journal_ops *ops;
	void *ctx;
	struct zone *zone;
	enum journal_state state;
	uint64_t epoch;
	uint32_t ref;	       /* of the load or write request in flight */
	uint32_t snapshot_ref; /* of the snapshot request in flight */
	uint32_t next_ref;

	/* Load. */
	uint64_t pointer_index;
	uint64_t snapshot_after;
	uint32_t chunk_count;
	uint32_t chunk;
	uint64_t next;	/* number of the next batch in the log */
	bool took_over; /* the takeover batch is written */
	uint64_t retry_ms;
	bool retry_pending;

	/* Write. */
	enum write_state write;
	char *bytes;
	size_t len;
	uint64_t write_id;
	uint64_t batch; /* in flight; number of zone_take_batch() */
	uint64_t sent_ms;
	uint64_t last_batch_ms;
	uint64_t first_sent_ms;

	struct snapshot snapshot;
	uint64_t trimmed; /* segments before this one are deleted */

	ctr_id batches;
	ctr_id records;
	ctr_id snapshots;
	ctr_id bytes_written;
};

/* Returns a new closed journal, which reports its results through @ops. */
struct journal *journal_new(const struct env *env,
			    const struct journal_ops *ops, void *ctx)
{
	struct journal *j = xcalloc(1, sizeof(*j));

	j->env = *env;
	j->ops = ops;
	j->ctx = ctx;
	j->next_ref = JOURNAL_REF_FIRST;
	j->batches = ctr_counter("jayspoke_journal_batches_total",
				 "Journal batches written.");
	j->records = ctr_counter("jayspoke_journal_records_total",
				 "Journal records written.");
	j->snapshots = ctr_counter("jayspoke_journal_snapshots_total",
				   "Snapshots written.");
	j->bytes_written = ctr_counter("jayspoke_journal_bytes_total",
				       "Bytes of journal batches written.");
	return j;
}

static uint32_t take_ref(struct journal *j)
{
	j->next_ref++;
	if (j->next_ref < JOURNAL_REF_FIRST)
		j->next_ref = JOURNAL_REF_FIRST;
	return j->next_ref;
}

/* Returns whether a reply with @ref belongs to the journal. */
bool journal_owns(const struct journal *j, uint32_t ref)
{
	(void)j;
	return ref >= JOURNAL_REF_FIRST;
}

static struct msg *new_store_msg(struct journal *j, enum store_op op,
				 uint32_t ref)
{
	struct msg *msg = msg_new(MSG_STORE, TASK_SCHED, ref);

	msg->store.op = op;
	msg->store.timeout_ms = j->env.conf->store_timeout_ms;
	return msg;
}

static void log_key(const struct journal *j, uint64_t n, char *key, size_t size)
{
	snprintf(key, size, "jayspoke/%s/log/%016" PRIx64 "/%016" PRIx64,
		 j->env.conf->az, n / JOURNAL_SEGMENT_BATCHES, n);
}

static void load_snapshot_pointer(struct journal *j)
{
	struct msg *msg;

	j->state = JOURNAL_LOAD_POINTER;
	j->ref = take_ref(j);
	msg = new_store_msg(j, STORE_GET, j->ref);
	snprintf(msg->store.key, sizeof(msg->store.key), "jayspoke/%s/snapshot",
		 j->env.conf->az);
	bus_send(j->env.bus, TASK_STORE, msg);
}

static void load_chunk(struct journal *j)
{
	struct msg *msg;

	j->state = JOURNAL_LOAD_CHUNK;
	j->ref = take_ref(j);
	msg = new_store_msg(j, STORE_GET, j->ref);
	snprintf(msg->store.key, sizeof(msg->store.key),
		 "jayspoke/%s/snap/%016" PRIx64 "/%08x", j->env.conf->az,
		 j->snapshot_after, j->chunk);
	bus_send(j->env.bus, TASK_STORE, msg);
}

static void load_segment(struct journal *j)
{
	struct msg *msg;

	j->state = JOURNAL_LOAD_SEGMENT;
	j->ref = take_ref(j);
	msg = new_store_msg(j, STORE_GET, j->ref);
	msg->store.recurse = true;
	snprintf(msg->store.key, sizeof(msg->store.key),
		 "jayspoke/%s/log/%016" PRIx64 "/", j->env.conf->az,
		 j->next / JOURNAL_SEGMENT_BATCHES);
	bus_send(j->env.bus, TASK_STORE, msg);
}

/*
 * Starts to load the journal into @zone, which must be empty. After that, takes
 * over the log by writing an empty batch with @epoch.
 */
void journal_open(struct journal *j, struct zone *zone, uint64_t epoch)
{
	journal_close(j);
	j->zone = zone;
	j->epoch = epoch;
	j->next = 0;
	j->took_over = false;
	load_snapshot_pointer(j);
}

static void snapshot_free(struct journal *j)
{
	for (uint32_t i = 0; i < j->snapshot.count; i++)
		jnl_pending_free(&j->snapshot.chunks[i]);
	free(j->snapshot.chunks);
	j->snapshot = (struct snapshot){ 0 };
	j->snapshot_ref = 0;
}

/* Closes the journal; replies to requests in flight will be ignored. */
void journal_close(struct journal *j)
{
	free(j->bytes);
	j->bytes = NULL;
	j->zone = NULL;
	j->state = JOURNAL_CLOSED;
	j->write = WRITE_IDLE;
	j->ref = 0;
	j->retry_pending = false;
	snapshot_free(j);
}

static void lose_claim(struct journal *j, const char *why)
{
	tl_add("journal", "lost epoch=%" PRIu64 " reason=%s", j->epoch, why);
	journal_close(j);
	j->ops->lost(j->ctx);
}

static void send_write(struct journal *j, uint64_t now_ms)
{
	struct msg *msg;

	j->ref = take_ref(j);
	msg = new_store_msg(j, STORE_PUT, j->ref);
	msg->store.has_cas = true;
	log_key(j, j->next, msg->store.key, sizeof(msg->store.key));
	msg->body = buf_copy(j->bytes, j->len);
	j->write = WRITE_SENT;
	j->sent_ms = now_ms;
	bus_send(j->env.bus, TASK_STORE, msg);
}

static void read_back(struct journal *j)
{
	struct msg *msg;

	j->ref = take_ref(j);
	msg = new_store_msg(j, STORE_GET, j->ref);
	log_key(j, j->next, msg->store.key, sizeof(msg->store.key));
	j->write = WRITE_READING;
	bus_send(j->env.bus, TASK_STORE, msg);
}

static void begin_write(struct journal *j, const struct jnl_pending *pending,
			uint64_t now_ms)
{
	struct jnl_header header = { .epoch = j->epoch };

	arc4random_buf(&j->write_id, sizeof(j->write_id));
	header.write_id = j->write_id;
	snprintf(header.writer, sizeof(header.writer), "%s", j->env.conf->id);
	free(j->bytes);
	j->bytes = jnl_encode(pending, &header, &j->len);
	ctr_add(j->records, pending->count);
	j->first_sent_ms = now_ms;
	send_write(j, now_ms);
}

static void write_takeover_batch(struct journal *j, uint64_t now_ms)
{
	struct jnl_pending none = { 0 };

	j->state = JOURNAL_OPEN;
	j->batch = 0;
	begin_write(j, &none, now_ms);
}

static void append_to_chunk(void *ctx, const struct jnl_record *record)
{
	struct snapshot *s = ctx;

	if (!s->count || s->chunks[s->count - 1].len > JNL_BATCH_MAX - 65536 ||
	    s->chunks[s->count - 1].count >= JNL_RECORDS_MAX) {
		s->chunks = xrealloc(s->chunks,
				     (s->count + 1) * sizeof(*s->chunks));
		s->chunks[s->count] = (struct jnl_pending){ 0 };
		s->count++;
	}
	jnl_append(&s->chunks[s->count - 1], record);
}

/* Takes a snapshot that includes the batch to be written next. */
static void take_snapshot(struct journal *j)
{
	j->snapshot = (struct snapshot){ .taken = true, .after = j->next + 1 };
	zone_snapshot(j->zone, append_to_chunk, &j->snapshot);
}

static void write_chunk(struct journal *j)
{
	struct snapshot *s = &j->snapshot;
	struct jnl_header header = { .epoch = j->epoch };
	struct msg *msg;
	char *bytes;
	size_t len;

	j->snapshot_ref = take_ref(j);
	msg = new_store_msg(j, STORE_PUT, j->snapshot_ref);
	snprintf(msg->store.key, sizeof(msg->store.key),
		 "jayspoke/%s/snap/%016" PRIx64 "/%08x", j->env.conf->az,
		 s->after, s->written);
	bytes = jnl_encode(&s->chunks[s->written], &header, &len);
	msg->body = buf_copy(bytes, len);
	free(bytes);
	bus_send(j->env.bus, TASK_STORE, msg);
}

static void write_snapshot_pointer(struct journal *j)
{
	struct snapshot *s = &j->snapshot;
	struct msg *msg;

	s->pointer_sent = true;
	j->snapshot_ref = take_ref(j);
	msg = new_store_msg(j, STORE_PUT, j->snapshot_ref);
	msg->store.has_cas = true;
	msg->store.index = j->pointer_index;
	snprintf(msg->store.key, sizeof(msg->store.key), "jayspoke/%s/snapshot",
		 j->env.conf->az);
	msg->body = buf_fmt("{\"after\":%" PRIu64 ",\"chunks\":%u}", s->after,
			    s->count);
	bus_send(j->env.bus, TASK_STORE, msg);
}

static void delete_old_keys(struct journal *j, uint64_t old_after)
{
	uint64_t end = j->snapshot_after / JOURNAL_SEGMENT_BATCHES;
	struct msg *msg;

	for (; j->trimmed + JOURNAL_KEPT_SEGMENTS < end; j->trimmed++) {
		msg = new_store_msg(j, STORE_DELETE, take_ref(j));
		msg->store.recurse = true;
		snprintf(msg->store.key, sizeof(msg->store.key),
			 "jayspoke/%s/log/%016" PRIx64 "/", j->env.conf->az,
			 j->trimmed);
		bus_send(j->env.bus, TASK_STORE, msg);
	}
	if (!old_after)
		return;
	msg = new_store_msg(j, STORE_DELETE, take_ref(j));
	msg->store.recurse = true;
	snprintf(msg->store.key, sizeof(msg->store.key),
		 "jayspoke/%s/snap/%016" PRIx64 "/", j->env.conf->az,
		 old_after);
	bus_send(j->env.bus, TASK_STORE, msg);
}

/*
 * Writes the next chunk of the snapshot or, once every batch in it is
 * committed, the pointer to it.
 */
static void continue_snapshot(struct journal *j)
{
	struct snapshot *s = &j->snapshot;

	if (!s->taken || j->snapshot_ref)
		return;
	if (s->written < s->count)
		write_chunk(j);
	else if (j->next >= s->after && !s->pointer_sent)
		write_snapshot_pointer(j);
}

static void on_snapshot_reply(struct journal *j, const struct msg *msg)
{
	struct snapshot *s = &j->snapshot;
	enum store_status status = msg->store_reply.status;

	j->snapshot_ref = 0;
	if (!s->pointer_sent) {
		if (status == STORE_OK)
			s->written++;
		return;
	}
	if (msg->store_reply.op == STORE_PUT) {
		struct msg *read;

		/* Read the index for the next write, and check this write. */
		j->snapshot_ref = take_ref(j);
		read = new_store_msg(j, STORE_GET, j->snapshot_ref);
		snprintf(read->store.key, sizeof(read->store.key),
			 "jayspoke/%s/snapshot", j->env.conf->az);
		bus_send(j->env.bus, TASK_STORE, read);
		return;
	}
	if (status == STORE_OK) {
		char expected[64];

		snprintf(expected, sizeof(expected),
			 "{\"after\":%" PRIu64 ",\"chunks\":%u}", s->after,
			 s->count);
		j->pointer_index = msg->store_reply.index;
		if (msg->body.data && !strcmp(msg->body.data, expected)) {
			uint64_t old_after = j->snapshot_after;

			j->snapshot_after = s->after;
			ctr_add(j->snapshots, 1);
			delete_old_keys(j, old_after);
		}
	}
	snapshot_free(j);
}

/* Sends due retries, the next step of a snapshot, and pending records. */
void journal_flush(struct journal *j, uint64_t now_ms)
{
	struct jnl_pending pending;

	if (j->state == JOURNAL_CLOSED)
		return;
	if (j->retry_pending && now_ms >= j->retry_ms) {
		j->retry_pending = false;
		if (j->state == JOURNAL_LOAD_POINTER)
			load_snapshot_pointer(j);
		else if (j->state == JOURNAL_LOAD_CHUNK)
			load_chunk(j);
		else if (j->state == JOURNAL_LOAD_SEGMENT)
			load_segment(j);
		else if (j->write == WRITE_WAITING)
			send_write(j, now_ms);
		else if (j->write == WRITE_READING)
			read_back(j);
	}
	if (j->state != JOURNAL_OPEN || !j->took_over)
		return;
	continue_snapshot(j);
	if (j->write != WRITE_IDLE || !zone_pending(j->zone) ||
	    now_ms - j->last_batch_ms < j->env.conf->batch_interval_ms)
		return;
	j->last_batch_ms = now_ms;
	j->batch = zone_take_batch(j->zone, &pending);
	if (!j->snapshot.taken &&
	    j->next - j->snapshot_after >= JOURNAL_SNAPSHOT_BATCHES)
		take_snapshot(j);
	begin_write(j, &pending, now_ms);
	jnl_pending_free(&pending);
}

static void schedule_retry(struct journal *j, uint64_t now_ms)
{
	j->retry_pending = true;
	j->retry_ms = now_ms + JOURNAL_RETRY_MS;
}

static void on_write_committed(struct journal *j, uint64_t now_ms)
{
	(void)now_ms;
	ctr_add(j->batches, 1);
	ctr_add(j->bytes_written, j->len);
	j->next++;
	j->write = WRITE_IDLE;
	free(j->bytes);
	j->bytes = NULL;
	if (!j->took_over) {
		j->took_over = true;
		j->ops->ready(j->ctx);
		return;
	}
	j->ops->committed(j->ctx, j->batch);
}

/*
 * Handles a key that holds another batch: one of a successor, so the claim is
 * lost, or one of an earlier holder that must be loaded first.
 */
static void on_write_conflict(struct journal *j, const struct msg *msg)
{
	struct jnl_batch batch;
	struct err err = { 0 };
	uint64_t other;

	if (!jnl_decode(msg->body.data, msg->body.len, &batch, &err)) {
		log_err("journal batch %" PRIu64 " unreadable: %s", j->next,
			err.text);
		lose_claim(j, "unreadable");
		return;
	}
	other = batch.header.epoch;
	jnl_batch_free(&batch);
	if (j->took_over || other >= j->epoch) {
		lose_claim(j, "superseded");
		return;
	}
	/* The earlier holder wrote one more batch before the takeover. */
	free(j->bytes);
	j->bytes = NULL;
	j->write = WRITE_IDLE;
	load_segment(j);
}

static void on_read_back(struct journal *j, const struct msg *msg,
			 uint64_t now_ms)
{
	struct jnl_batch batch;
	struct err err = { 0 };
	bool own = false;

	switch (msg->store_reply.status) {
	case STORE_OK:
		if (jnl_decode(msg->body.data, msg->body.len, &batch, &err)) {
			own = batch.header.write_id == j->write_id &&
			      batch.header.epoch == j->epoch;
			jnl_batch_free(&batch);
		}
		if (own)
			on_write_committed(j, now_ms);
		else
			on_write_conflict(j, msg);
		break;
	case STORE_ABSENT:
		j->write = WRITE_WAITING;
		schedule_retry(j, now_ms);
		break;
	default:
		schedule_retry(j, now_ms);
		break;
	}
}

static void on_write_reply(struct journal *j, const struct msg *msg,
			   uint64_t now_ms)
{
	switch (msg->store_reply.status) {
	case STORE_OK:
		on_write_committed(j, now_ms);
		break;
	case STORE_UNAVAILABLE:
		j->write = WRITE_WAITING;
		schedule_retry(j, now_ms);
		break;
	default:
		read_back(j);
		break;
	}
}

static bool replay_batch(struct journal *j, const char *bytes, size_t len,
			 uint64_t *epoch)
{
	struct jnl_batch batch;
	struct err err = { 0 };
	bool ok = jnl_decode(bytes, len, &batch, &err);

	if (ok) {
		*epoch = batch.header.epoch;
		ok = zone_replay(j->zone, &batch, &err);
		jnl_batch_free(&batch);
	}
	if (!ok)
		log_err("journal of %s: %s", j->env.conf->az, err.text);
	return ok;
}

static void on_snapshot_pointer(struct journal *j, const struct msg *msg)
{
	json_t *root;
	json_int_t after;
	json_int_t chunks;

	if (msg->store_reply.status == STORE_ABSENT) {
		j->pointer_index = 0;
		j->snapshot_after = 0;
		j->trimmed = 0;
		load_segment(j);
		return;
	}
	root = json_loadb(msg->body.data, msg->body.len, 0, NULL);
	if (json_unpack(root, "{s:I,s:I}", "after", &after, "chunks",
			&chunks) ||
	    after < 0 || chunks < 0 || chunks > UINT32_MAX) {
		json_decref(root);
		lose_claim(j, "unreadable snapshot pointer");
		return;
	}
	json_decref(root);
	j->pointer_index = msg->store_reply.index;
	j->snapshot_after = (uint64_t)after;
	j->trimmed = j->snapshot_after / JOURNAL_SEGMENT_BATCHES;
	j->trimmed -= j->trimmed < JOURNAL_KEPT_SEGMENTS + 4
			      ? j->trimmed
			      : JOURNAL_KEPT_SEGMENTS + 4;
	j->next = j->snapshot_after;
	j->chunk_count = (uint32_t)chunks;
	j->chunk = 0;
	if (j->chunk_count)
		load_chunk(j);
	else
		load_segment(j);
}

static void on_chunk(struct journal *j, const struct msg *msg)
{
	uint64_t epoch;

	/* A chunk is missing if a newer snapshot has replaced this one. */
	if (msg->store_reply.status != STORE_OK ||
	    !replay_batch(j, msg->body.data, msg->body.len, &epoch)) {
		lose_claim(j, "snapshot chunk missing or unreadable");
		return;
	}
	j->chunk++;
	if (j->chunk < j->chunk_count)
		load_chunk(j);
	else
		load_segment(j);
}

static void on_segment(struct journal *j, const struct msg *msg,
		       uint64_t now_ms)
{
	struct kv_list list = { 0 };
	struct err err = { 0 };
	uint64_t before = j->next;
	uint64_t segment = j->next / JOURNAL_SEGMENT_BATCHES;
	char key[MSG_KEY_MAX];

	if (msg->store_reply.status == STORE_OK &&
	    !kv_parse(&list, msg->body.data, msg->body.len, &err)) {
		lose_claim(j, err.text);
		return;
	}
	/* The list is sorted by key; skip batches before the snapshot's end. */
	for (uint32_t i = 0; i < list.count; i++) {
		uint64_t epoch = 0;

		log_key(j, j->next, key, sizeof(key));
		if (strcmp(list.items[i].key, key) != 0)
			continue;
		if (!replay_batch(j, list.items[i].value.data,
				  list.items[i].value.len, &epoch) ||
		    epoch >= j->epoch) {
			kv_free(&list);
			lose_claim(j, "log unreadable or superseded");
			return;
		}
		j->next++;
	}
	kv_free(&list);
	if (j->next > before && j->next / JOURNAL_SEGMENT_BATCHES > segment)
		load_segment(j);
	else
		write_takeover_batch(j, now_ms);
}

static void on_load_reply(struct journal *j, const struct msg *msg,
			  uint64_t now_ms)
{
	enum store_status status = msg->store_reply.status;

	if (status != STORE_OK && status != STORE_ABSENT) {
		schedule_retry(j, now_ms);
		return;
	}
	if (j->state == JOURNAL_LOAD_POINTER)
		on_snapshot_pointer(j, msg);
	else if (j->state == JOURNAL_LOAD_CHUNK)
		on_chunk(j, msg);
	else
		on_segment(j, msg, now_ms);
}

/* Handles a reply of the store task. */
void journal_on_reply(struct journal *j, const struct msg *msg, uint64_t now_ms)
{
	if (j->snapshot_ref && msg->ref == j->snapshot_ref) {
		on_snapshot_reply(j, msg);
		return;
	}
	if (!j->ref || msg->ref != j->ref || j->state == JOURNAL_CLOSED)
		return;
	j->ref = 0;
	if (j->state != JOURNAL_OPEN)
		on_load_reply(j, msg, now_ms);
	else if (j->write == WRITE_READING)
		on_read_back(j, msg, now_ms);
	else if (j->write == WRITE_SENT)
		on_write_reply(j, msg, now_ms);
}

/* Returns whether a new record can be expected to be written soon. */
bool journal_healthy(const struct journal *j, uint64_t now_ms)
{
	if (j->state != JOURNAL_OPEN || !j->took_over)
		return false;
	return j->write == WRITE_IDLE ||
	       now_ms - j->first_sent_ms < JOURNAL_HEALTHY_MS;
}

/* Returns whether no write is in flight and no record is pending. */
bool journal_idle(const struct journal *j)
{
	return j->state == JOURNAL_CLOSED ||
	       (j->write == WRITE_IDLE && j->took_over &&
		!zone_pending(j->zone));
}

/* Returns the number of the next batch in the log. */
uint64_t journal_position(const struct journal *j)
{
	return j->next;
}
