/*
 * Catalogue document: owners, entries (kinds of jobs and calls) and planned
 * stops of instances, at one revision.
 */
#ifndef JAYSPOKE_CAT_H
#define JAYSPOKE_CAT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CAT_NAME_MAX 65 /* bytes of a name, with NUL */
/*
 * Encoded document. The store accepts values up to 1 MB, and a frame between
 * daemons holds up to 1 MiB.
 */
#define CAT_BYTES_MAX 1000000
#define CAT_EDIT_BYTES_MAX 262144 /* encoded changes of one edit */
#define CAT_EDIT_CHANGES_MAX 4096
#define CAT_DEPTH_MAX 8 /* nesting levels of the JSON */
#define CAT_ENTRIES_MAX 4096
#define CAT_OWNERS_MAX 1024
#define CAT_STOPS_MAX 4096
#define CAT_REVISION_MAX (1ULL << 53)
#define CAT_NO_LIMIT UINT32_MAX /* the limit was omitted */

/* A new class needs a name in class_names of cat.c. */
enum cat_class { CAT_BATCH, CAT_INTERACTIVE, CAT_GANG, CAT_CLASS_COUNT };

struct cat_owner {
	char name[CAT_NAME_MAX];
	uint32_t weight;
	uint32_t max_cpu_milli; /* each limit may be CAT_NO_LIMIT */
	uint32_t max_mem_mb;
	uint32_t max_accel;
};

struct cat_entry {
	char name[CAT_NAME_MAX];
	char owner[CAT_NAME_MAX];
	char upstream[CAT_NAME_MAX]; /* interactive entries only */
	enum cat_class cls;
	uint32_t cpu_milli; /* of each task, like mem_mb and accel */
	uint32_t mem_mb;
	uint32_t accel;
	uint32_t run_ms; /* estimated run time, 0 if unknown */
	uint32_t tasks;	 /* gang size, otherwise 1 */
	bool exclusive;
	bool repeat; /* idempotent: may run more than once */
	bool urgent;
	bool hedge;
	uint32_t timeout_ms;  /* 0: none */
	uint32_t max_running; /* each limit may be CAT_NO_LIMIT */
	uint32_t max_queued;
};

struct cat_stop {
	char instance[CAT_NAME_MAX];
	uint64_t at; /* Unix time in s */
};

/* Each array is sorted by name. */
struct cat {
	uint64_t revision;
	uint32_t owner_count;
	uint32_t entry_count;
	uint32_t stop_count;
	struct cat_owner *owners;
	struct cat_entry *entries;
	struct cat_stop *stops;
};

struct cat *cat_new(void);
struct cat *cat_clone(const struct cat *cat);
void cat_free(struct cat *cat);
struct cat *cat_parse(const char *text, size_t len, struct err *err);
struct cat *cat_apply(const struct cat *cat, const json_t *changes,
		      struct err *err);
char *cat_encode(const struct cat *cat, size_t *len);
json_t *cat_json(const char *text, size_t len, size_t max, const char *label,
		 struct err *err);
bool cat_json_u64(const json_t *object, const char *key, uint64_t *value);

const struct cat_owner *cat_owner(const struct cat *cat, const char *name);
const struct cat_entry *cat_entry(const struct cat *cat, const char *name);
const struct cat_stop *cat_stop(const struct cat *cat, const char *instance);
const char *cat_class_name(enum cat_class cls);
uint32_t cat_zone_share(uint32_t limit, uint32_t zone, uint32_t zone_count);

#ifdef __cplusplus
}
#endif

#endif
