#include "idem.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* A power of two that exceeds the number of windows retained at a time. */
#define WINDOW_BUCKETS 128
#define RANDOM_DIGITS 16

enum idem_state { IDEM_NEW, IDEM_DISPATCHED, IDEM_ANSWERED };

struct idem_record {
	char key[IDEM_KEY_MAX];
	enum idem_state state;
	uint32_t window;
	uint64_t fingerprint;
	void *answer; /* NULL if none is stored */
	size_t answer_size;
	struct idem_record *next; /* of the same bucket */
	UT_hash_handle hh;
};

struct idem_table {
	struct idem_settings settings;
	char az[IDEM_KEY_MAX];
	bool held;
	bool has_epoch;
	uint64_t epoch;		/* of the last claim held */
	uint64_t start_ms;	/* when window 0 began */
	uint64_t oldest_window; /* lowest window retained */
	size_t answer_bytes;
	struct idem_record *records;		     /* by key */
	struct idem_record *buckets[WINDOW_BUCKETS]; /* by window */
};

static bool is_key_char(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	       (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

/*
 * Returns true if @key is valid as a key chosen by a caller: 1 to
 * IDEM_CALLER_KEY_MAX letters, digits, "-", "_" and ".".
 */
bool idem_caller_key_valid(const char *key)
{
	size_t n = 0;

	while (key[n]) {
		if (n == IDEM_CALLER_KEY_MAX || !is_key_char(key[n]))
			return false;
		n++;
	}
	return n > 0;
}

/* Parses the decimal number from @p up to @end; rejects leading zeros. */
static bool parse_decimal(const char *p, const char *end, uint64_t max,
			  uint64_t *value)
{
	uint64_t v = 0;

	if (p == end || (*p == '0' && end - p > 1))
		return false;
	for (; p < end; p++) {
		uint64_t digit = (uint64_t)(*p - '0');

		if (*p < '0' || *p > '9' || v > (max - digit) / 10)
			return false;
		v = v * 10 + digit;
	}
	*value = v;
	return true;
}

static bool parse_random(const char *p, uint64_t *value)
{
	uint64_t v = 0;

	for (int i = 0; i < RANDOM_DIGITS; i++) {
		char c = p[i];

		if (c >= '0' && c <= '9')
			v = (v << 4) | (uint64_t)(c - '0');
		else if (c >= 'a' && c <= 'f')
			v = (v << 4) | (uint64_t)(c - 'a' + 10);
		else
			return false;
	}
	*value = v;
	return p[RANDOM_DIGITS] == '\0';
}

/*
 * Parses an issued key, `<az>.<epoch>.<window>.<random>`. Returns false unless
 * @text is identical to the output of idem_format() for the parts.
 */
bool idem_parse(const char *text, struct idem_key *key)
{
	const char *dots[3];
	const char *p = text;
	uint64_t window;
	size_t az_len;

	if (strnlen(text, IDEM_KEY_MAX) == IDEM_KEY_MAX)
		return false;
	for (int i = 0; i < 3; i++) {
		dots[i] = strchr(p, '.');
		if (!dots[i])
			return false;
		p = dots[i] + 1;
	}
	az_len = (size_t)(dots[0] - text);
	if (!az_len)
		return false;
	for (size_t i = 0; i < az_len; i++) {
		if (!is_key_char(text[i]))
			return false;
	}
	if (!parse_decimal(dots[0] + 1, dots[1], UINT64_MAX, &key->epoch) ||
	    !parse_decimal(dots[1] + 1, dots[2], UINT32_MAX, &window) ||
	    !parse_random(dots[2] + 1, &key->random))
		return false;
	memset(key->az, 0, sizeof(key->az));
	memcpy(key->az, text, az_len);
	key->window = (uint32_t)window;
	return true;
}

/*
 * Writes the text of an issued key. Returns false if it exceeds @size or
 * IDEM_KEY_MAX.
 */
bool idem_format(char *text, size_t size, const struct idem_key *key)
{
	int n = snprintf(text, size, "%s.%" PRIu64 ".%" PRIu32 ".%016" PRIx64,
			 key->az, key->epoch, key->window, key->random);

	return n > 0 && (size_t)n < size && n < IDEM_KEY_MAX;
}

/* Creates an empty table for the zone of @settings; aborts if out of memory. */
struct idem_table *idem_new(const struct idem_settings *settings)
{
	struct idem_table *table = calloc(1, sizeof(*table));

	if (!table)
		abort();
	table->settings = *settings;
	snprintf(table->az, sizeof(table->az), "%s", settings->az);
	return table;
}

static void record_free(struct idem_table *table, struct idem_record *r)
{
	if (table->records) /* always true; for the static analyzer */
		HASH_DEL(table->records, r);
	table->answer_bytes -= r->answer_size;
	if (r->answer)
		table->settings.free_answer(r->answer);
	free(r);
}

/* Removes the records of windows below @oldest_window. */
static void expire_windows(struct idem_table *table, uint64_t oldest_window)
{
	uint64_t from = table->oldest_window;

	if (oldest_window <= from)
		return;
	table->oldest_window = oldest_window;
	if (oldest_window - from > WINDOW_BUCKETS)
		from = oldest_window - WINDOW_BUCKETS;
	for (uint64_t w = from; w < oldest_window; w++) {
		struct idem_record **link = &table->buckets[w % WINDOW_BUCKETS];

		while (*link) {
			struct idem_record *r = *link;

			if (r->window >= oldest_window) {
				link = &r->next;
				continue;
			}
			*link = r->next;
			record_free(table, r);
		}
	}
}

static void remove_all(struct idem_table *table)
{
	for (int i = 0; i < WINDOW_BUCKETS; i++) {
		while (table->buckets[i]) {
			struct idem_record *r = table->buckets[i];

			table->buckets[i] = r->next;
			record_free(table, r);
		}
	}
}

/* Frees the table, which may be NULL, and the stored answers. */
void idem_free(struct idem_table *table)
{
	if (!table)
		return;
	remove_all(table);
	free(table);
}

static uint64_t window_now(const struct idem_table *table, uint64_t now_ms)
{
	return now_ms > table->start_ms ? (now_ms - table->start_ms) / 1000 : 0;
}

/*
 * Updates the claim; @window is its age in seconds. A claim of a later epoch
 * removes all records, because keys of earlier epochs get IDEM_UNKNOWN from
 * then on. The window of an epoch never decreases, and continues to increase
 * while the claim is not valid, because a lapsed claim can become valid again
 * under the same epoch.
 */
void idem_set_claim(struct idem_table *table, bool held, uint64_t epoch,
		    uint32_t window, uint64_t now_ms)
{
	uint64_t start = now_ms - (uint64_t)window * 1000;

	if (start > now_ms)
		start = 0;
	if (!held || (table->has_epoch && epoch < table->epoch)) {
		table->held = false;
		return;
	}
	if (!table->has_epoch || epoch > table->epoch) {
		remove_all(table);
		table->has_epoch = true;
		table->epoch = epoch;
		table->start_ms = start;
		table->oldest_window = 0;
	} else if (start < table->start_ms) {
		table->start_ms = start;
	}
	table->held = true;
}

static struct idem_record *record_add(struct idem_table *table,
				      const char *text, uint32_t window,
				      uint64_t fingerprint)
{
	struct idem_record *r = calloc(1, sizeof(*r));
	struct idem_record **bucket = &table->buckets[window % WINDOW_BUCKETS];

	if (!r)
		abort();
	snprintf(r->key, sizeof(r->key), "%s", text);
	r->window = window;
	r->fingerprint = fingerprint;
	r->next = *bucket;
	*bucket = r;
	HASH_ADD_STR(table->records, key, r);
	return r;
}

static enum idem_result result_of(const struct idem_record *r,
				  uint64_t fingerprint, void **answer)
{
	if (r->fingerprint != fingerprint)
		return IDEM_REUSED;
	if (r->state != IDEM_ANSWERED)
		return IDEM_WAIT;
	*answer = r->answer;
	return r->answer ? IDEM_ANSWER : IDEM_UNKNOWN;
}

/*
 * Looks up or records the key @text of a request whose work is identified by
 * @fingerprint. With IDEM_RUN and IDEM_LAPSED the key is recorded as not
 * dispatched, and the caller must call idem_finish() for it in the end. With
 * IDEM_ANSWER, @answer is the stored answer, which the table still owns.
 *
 * IDEM_UNKNOWN covers keys that another holder may have run, keys of windows no
 * longer retained, and answers that were not stored.
 *
 * IDEM_RUN is returned for a key at most once, and only by the table that holds
 * the claim of exactly the key's epoch; see docs/design.md, 4.4.
 */
enum idem_result idem_begin(struct idem_table *table, const char *text,
			    uint64_t fingerprint, uint64_t now_ms,
			    void **answer)
{
	struct idem_key key;
	struct idem_record *r;
	uint64_t window = window_now(table, now_ms);

	*answer = NULL;
	if (!idem_parse(text, &key) || strcmp(key.az, table->az) != 0)
		return IDEM_MALFORMED;
	if (!table->has_epoch || key.epoch != table->epoch)
		return IDEM_UNKNOWN;
	if (key.window > window + IDEM_MAX_AHEAD_S)
		return IDEM_MALFORMED;
	if (window > IDEM_RETAIN_S)
		expire_windows(table, window - IDEM_RETAIN_S);
	if (key.window < table->oldest_window)
		return IDEM_UNKNOWN;
	HASH_FIND_STR(table->records, text, r);
	if (r)
		return result_of(r, fingerprint, answer);
	if (HASH_COUNT(table->records) >= table->settings.max_keys)
		return IDEM_FULL;
	record_add(table, text, key.window, fingerprint);
	return table->held ? IDEM_RUN : IDEM_LAPSED;
}

/*
 * Records that the request under key @text is about to be sent. Returns false
 * if it must not be sent, because it was sent or answered before or its record
 * has been removed.
 */
bool idem_dispatch(struct idem_table *table, const char *text)
{
	struct idem_record *r;

	HASH_FIND_STR(table->records, text, r);
	if (!r || r->state != IDEM_NEW)
		return false;
	r->state = IDEM_DISPATCHED;
	return true;
}

/*
 * Records the answer of @size bytes under key @text. A key that was not
 * dispatched cannot be dispatched after that, so that a late copy of the
 * request does not run after the answer that it did not run. Returns true if
 * the table has taken ownership of @answer. An answer that would exceed
 * max_answer_bytes is not stored, and a repeated request then gets
 * IDEM_UNKNOWN.
 */
bool idem_finish(struct idem_table *table, const char *text, void *answer,
		 size_t size)
{
	struct idem_record *r;

	HASH_FIND_STR(table->records, text, r);
	if (!r || r->state == IDEM_ANSWERED)
		return false;
	r->state = IDEM_ANSWERED;
	if (table->answer_bytes + size > table->settings.max_answer_bytes)
		return false;
	r->answer = answer;
	r->answer_size = size;
	table->answer_bytes += size;
	return true;
}

/* Returns the number of keys recorded. */
uint32_t idem_count(const struct idem_table *table)
{
	return HASH_COUNT(table->records);
}
