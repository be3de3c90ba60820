/*
 * Synchronisation of the catalogue with the store and with peers. The store has
 * the authoritative copy, and edits are compare-and-swap writes of its head.
 * One daemon of a region watches the head; the others pull newer revisions,
 * which are announced in heartbeats, from the nearest peer.
 *
 * A state machine without I/O: the caller passes in events and the time, and
 * carries out the queued actions. Times are in ms on the caller's clock.
 */
#ifndef JAYSPOKE_CATSYNC_H
#define JAYSPOKE_CATSYNC_H

#include "cathead.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CATSYNC_ID_MAX 80 /* bytes of a daemon or zone name, with NUL */
#define CATSYNC_KEY_MAX 64
#define CATSYNC_EDITS_MAX 32	      /* edits queued or in progress */
#define CATSYNC_EDIT_TIMEOUT_MS 10000 /* time limit of an edit */
#define CATSYNC_PULL_TIMEOUT_MS 3000
#define CATSYNC_WATCH_WAIT_MS 25000 /* blocking read of the head */
#define CATSYNC_RETRY_MS 250
/*
 * Minimum interval between blocking reads that return without a change, in case
 * the store does not block.
 */
#define CATSYNC_WATCH_INTERVAL_MIN_MS 1000
/*
 * Time for which a watcher whose peers announce a higher revision waits for its
 * blocking read before it pulls, in case the store connection hangs.
 */
#define CATSYNC_PULL_DELAY_MS 1000

enum catsync_op {
	CATSYNC_GET,	 /* key, index, wait_ms: read the key */
	CATSYNC_PUT,	 /* key, index, body: compare-and-swap */
	CATSYNC_DELETE,	 /* key; has no reply */
	CATSYNC_PULL,	 /* peer, revision: request newer changes */
	CATSYNC_REPLY,	 /* ref, err, revision: result of an edit */
	CATSYNC_CHANGED, /* revision: new revision in force */
	CATSYNC_WARN	 /* err: a document was rejected */
};

/* Result of a store call. */
enum catsync_status {
	CATSYNC_OK,
	CATSYNC_ABSENT,	  /* no such key */
	CATSYNC_CONFLICT, /* compare-and-swap failed */
	CATSYNC_FAILED,	  /* not applied and never will be */
	CATSYNC_UNKNOWN	  /* no reply; may have been or still be applied */
};

struct catsync_action {
	enum catsync_op op;
	uint32_t ref; /* of the store call; REPLY: of the edit */
	char key[CATSYNC_KEY_MAX];
	char *body; /* owned by the receiver, released with free() */
	size_t body_len;
	uint64_t index;
	uint32_t wait_ms; /* 0: do not block */
	char peer[CATSYNC_ID_MAX];
	uint64_t revision;
	struct err err;
};

/* A live peer. */
struct catsync_peer {
	char id[CATSYNC_ID_MAX];
	char az[CATSYNC_ID_MAX];
	char region[CATSYNC_ID_MAX];
	uint64_t revision;
};

/* An edit by an operator. */
struct catsync_edit {
	uint32_t ref;
	uint64_t revision; /* revision that the changes are based on */
	const char *body;  /* JSON array of changes */
	size_t len;
	const char *write_id; /* unique, under CATHEAD_ID_MAX bytes */
};

struct catsync;

struct catsync *catsync_new(const char *id, const char *az, const char *region);
void catsync_free(struct catsync *cs);
const struct cat *catsync_cat(const struct catsync *cs);
bool catsync_next(struct catsync *cs, struct catsync_action *action);
uint64_t catsync_tick(struct catsync *cs, uint64_t now_ms);
bool catsync_busy(const struct catsync *cs);

void catsync_edit(struct catsync *cs, const struct catsync_edit *edit,
		  uint64_t now_ms);
void catsync_on_store_reply(struct catsync *cs, uint32_t ref,
			    enum catsync_status status, uint64_t index,
			    const char *body, size_t len, uint64_t now_ms);
void catsync_set_peers(struct catsync *cs, const struct catsync_peer *peers,
		       uint32_t count, uint64_t now_ms);
bool catsync_encode_since(const struct catsync *cs, uint64_t since, char **body,
			  size_t *len);
void catsync_on_pull_reply(struct catsync *cs, const char *peer,
			   const char *body, size_t len, uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
