/* Idempotency keys, and the table in which the zone's holder records them. */
#ifndef JAYSPOKE_IDEM_H
#define JAYSPOKE_IDEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define IDEM_KEY_MAX 80	       /* bytes of an issued key, including NUL */
#define IDEM_CALLER_KEY_MAX 64 /* characters of a key chosen by the caller */
#define IDEM_RETAIN_S 120      /* age of a window up to which keys are kept */
#define IDEM_MAX_AHEAD_S 2     /* later windows are rejected as malformed */

/* The parts of an issued key. */
struct idem_key {
	char az[IDEM_KEY_MAX];
	uint64_t epoch;
	uint32_t window; /* age of the claim at issue, in seconds */
	uint64_t random;
};

/* Result of idem_begin(): how to handle a request. */
enum idem_result {
	IDEM_RUN,      /* new, now recorded; the request may be dispatched */
	IDEM_LAPSED,   /* new, now recorded; reject: the claim is not valid */
	IDEM_WAIT,     /* another request under the key is in progress */
	IDEM_ANSWER,   /* answered before; the answer is stored */
	IDEM_UNKNOWN,  /* not known whether the request ran */
	IDEM_REUSED,   /* the key was used for other work */
	IDEM_FULL,     /* the table has max_keys keys */
	IDEM_MALFORMED /* malformed, of another zone, or of a future window */
};

struct idem_table;

struct idem_settings {
	const char *az;
	uint32_t max_keys;
	size_t max_answer_bytes; /* total size of the stored answers */
	void (*free_answer)(void *answer);
};

bool idem_caller_key_valid(const char *key);
bool idem_parse(const char *text, struct idem_key *key);
bool idem_format(char *text, size_t size, const struct idem_key *key);

struct idem_table *idem_new(const struct idem_settings *settings);
void idem_free(struct idem_table *table);
void idem_set_claim(struct idem_table *table, bool held, uint64_t epoch,
		    uint32_t window, uint64_t now_ms);
enum idem_result idem_begin(struct idem_table *table, const char *text,
			    uint64_t fingerprint, uint64_t now_ms,
			    void **answer);
bool idem_dispatch(struct idem_table *table, const char *text);
bool idem_finish(struct idem_table *table, const char *text, void *answer,
		 size_t size);
uint32_t idem_count(const struct idem_table *table);

#ifdef __cplusplus
}
#endif

#endif
