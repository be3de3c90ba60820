/* Fuzzes the decoders of the catalogue document, edits and head. */
#include <stdlib.h>
#include <string.h>

#include "cathead.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check(bool ok)
{
	if (!ok)
		abort();
}

/* An accepted document must be unchanged by encoding and decoding. */
static void fuzz_document(const char *text, size_t len)
{
	struct err err = { 0 };
	struct cat *cat = cat_parse(text, len, &err);
	struct cat *reparsed;
	char *first;
	char *second;
	size_t first_len;
	size_t second_len;

	if (!cat) {
		check(err.kind != ERR_NONE);
		return;
	}
	first = cat_encode(cat, &first_len);
	reparsed = cat_parse(first, first_len, &err);
	check(reparsed != NULL);
	second = cat_encode(reparsed, &second_len);
	check(first_len == second_len && !memcmp(first, second, first_len));
	free(first);
	free(second);
	cat_free(cat);
	cat_free(reparsed);
}

static void fuzz_changes(const char *text, size_t len)
{
	static const char base[] =
		"{\"revision\":3,\"owners\":[{\"name\":\"o\"}],\"entries\":"
		"[{\"name\":\"e\",\"owner\":\"o\",\"class\":\"batch\","
		"\"cpus\":1}],\"stops\":[]}";
	struct err err = { 0 };
	struct cat *cat = cat_parse(base, sizeof(base) - 1, &err);
	json_t *changes = cat_json(text, len, CAT_EDIT_BYTES_MAX, "c", &err);
	struct cat *next = NULL;

	check(cat != NULL);
	if (changes)
		next = cat_apply(cat, changes, &err);
	if (next)
		check(next->revision == 4);
	else
		check(err.kind != ERR_NONE);
	check(cat->revision == 3 && cat->entry_count == 1);
	json_decref(changes);
	cat_free(next);
	cat_free(cat);
}

static void fuzz_head(const char *text, size_t len)
{
	struct err err = { 0 };
	struct cathead head;
	struct cat *cat;
	struct cat *next;
	char *encoded;
	size_t encoded_len;

	if (!cathead_parse(&head, text, len, &err))
		return;
	encoded = cathead_encode(&head, &encoded_len);
	free(encoded);
	cathead_check_id(&head, 1, "id");
	if (cathead_covers(&head, 0)) {
		cat = cat_new();
		next = cathead_apply(&head, cat, &err);
		check(!next || next->revision == head.revision);
		cat_free(next);
		cat_free(cat);
	}
	cathead_free(&head);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;

	fuzz_document(text, size);
	fuzz_changes(text, size);
	fuzz_head(text, size);
	return 0;
}
