/*
 * Head of the catalogue in the store: the revision of a base snapshot and the
 * changes since then.
 */
#ifndef JAYSPOKE_CATHEAD_H
#define JAYSPOKE_CATHEAD_H

#include "cat.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CATHEAD_KEY "jayspoke/catalogue/head"
#define CATHEAD_SNAP "jayspoke/catalogue/snap/"
#define CATHEAD_CHANGES_MAX 64	/* revisions */
#define CATHEAD_BYTES_MAX 32768 /* encoded changes */
/*
 * Write ids are kept for longer than the changes, so that a write whose reply
 * was lost can be resolved after a concurrent edit has replaced the base.
 */
#define CATHEAD_IDS_MAX 128
#define CATHEAD_ID_MAX 33 /* bytes of a write id, with NUL */

/*
 * changes has one array of changes for each revision from base + 1 to revision,
 * ids the write ids of the latest revisions, the last being that of revision.
 * Both are immutable once they are part of a head, so that heads can share
 * them.
 */
struct cathead {
	uint64_t revision;
	uint64_t base;
	json_t *ids;
	json_t *changes;
};

/* Result of the comparison of a write id; EXPIRED: no longer in the head. */
enum cathead_id { CATHEAD_ID_MATCH, CATHEAD_ID_MISMATCH, CATHEAD_ID_EXPIRED };

void cathead_init(struct cathead *head, uint64_t revision);
void cathead_copy(struct cathead *to, const struct cathead *from);
void cathead_free(struct cathead *head);
bool cathead_parse(struct cathead *head, const char *text, size_t len,
		   struct err *err);
char *cathead_encode(const struct cathead *head, size_t *len);
void cathead_push(struct cathead *head, json_t *changes, const char *id);
void cathead_drop(struct cathead *head, size_t count);
bool cathead_full(const struct cathead *head, const json_t *changes);
enum cathead_id cathead_check_id(const struct cathead *head, uint64_t revision,
				 const char *id);
bool cathead_covers(const struct cathead *head, uint64_t revision);
struct cat *cathead_apply(const struct cathead *head, const struct cat *cat,
			  struct err *err);
json_t *cathead_since(const struct cathead *head, uint64_t revision);

#ifdef __cplusplus
}
#endif

#endif
