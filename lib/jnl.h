/*
 * Write-ahead log of a zone, called the journal: records, and their encoding in
 * batches. A new holder of the zone replays it.
 */
#ifndef JAYSPOKE_JNL_H
#define JAYSPOKE_JNL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "res.h"

#ifdef __cplusplus
extern "C" {
#endif

#define JNL_NAME_MAX 80	      /* bytes of a name, with NUL */
#define JNL_ADDR_MAX 56	      /* bytes of "address:port", with NUL */
#define JNL_TEXT_MAX 200      /* bytes of a reason, with NUL */
#define JNL_BATCH_MAX 262144  /* bytes of an encoded batch or snapshot chunk */
#define JNL_RECORDS_MAX 16384 /* of a batch */

enum jnl_type {
	JNL_ACCEPT = 1, /* job accepted */
	JNL_ASSIGN,	/* task that must not run twice assigned to a worker */
	JNL_FAIL,	/* an attempt of a task failed */
	JNL_DONE,	/* task ended, with output */
	JNL_CANCEL,	/* cancellation requested */
	JNL_END,	/* job ended */
	JNL_PURGE,	/* ended job removed */
	JNL_WORKER_ADD, /* worker may get tasks from now on */
	JNL_WORKER_REMOVE, /* worker removed: no lease on it can be live */
	JNL_TYPE_COUNT
};

/* Job id: epoch of acceptance, and a sequence number within the epoch. */
struct jnl_id {
	uint64_t epoch;
	uint64_t seq;
};

/* Properties of a job, copied from its catalogue entry on acceptance. */
struct jnl_spec {
	char entry[JNL_NAME_MAX];
	char owner[JNL_NAME_MAX];
	char key[JNL_NAME_MAX]; /* idempotency key, may be empty */
	struct res need;	/* of one task */
	uint32_t tasks;
	uint32_t run_ms; /* estimated run time, 0 if unknown */
	uint32_t max_running;
	bool gang;
	bool exclusive;
	bool repeat;
	bool urgent;
	uint64_t accepted_unix_ms;
	uint64_t deadline_unix_ms; /* latest start, 0: none */
};

struct jnl_record {
	enum jnl_type type;
	struct jnl_id job;
	uint32_t task;
	uint32_t attempt;
	enum err_kind kind;   /* FAIL, DONE, END */
	enum outcome outcome; /* END */
	struct jnl_spec spec; /* ACCEPT */
	char worker[JNL_NAME_MAX];
	char addr[JNL_ADDR_MAX];
	char text[JNL_TEXT_MAX];
	const char *data; /* ACCEPT: input; DONE: output */
	size_t data_len;
};

/* Encoded records that are not yet part of a batch. */
struct jnl_pending {
	char *bytes;
	size_t len;
	size_t capacity;
	uint32_t count;
};

/* Header of a batch; identifies the holder that wrote it. */
struct jnl_header {
	uint64_t epoch;
	uint64_t write_id;
	char writer[JNL_NAME_MAX]; /* daemon id */
};

/* A decoded batch; the data of its records points into storage. */
struct jnl_batch {
	struct jnl_header header;
	uint32_t count;
	struct jnl_record *records;
	void *storage;
};

void jnl_append(struct jnl_pending *pending, const struct jnl_record *record);
void jnl_pending_free(struct jnl_pending *pending);
char *jnl_encode(const struct jnl_pending *pending,
		 const struct jnl_header *header, size_t *len);
bool jnl_decode(const char *bytes, size_t len, struct jnl_batch *batch,
		struct err *err);
void jnl_batch_free(struct jnl_batch *batch);

#ifdef __cplusplus
}
#endif

#endif
