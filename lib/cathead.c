#include "cathead.h"

#include <stdlib.h>
#include <string.h>

static json_t *check_alloc(json_t *json)
{
	if (!json)
		abort();
	return json;
}

/* Initialises @head without changes, with its base at @revision. */
void cathead_init(struct cathead *head, uint64_t revision)
{
	*head = (struct cathead){ .revision = revision,
				  .base = revision,
				  .ids = check_alloc(json_array()),
				  .changes = check_alloc(json_array()) };
}

/* Initialises @to as a copy of @from that shares its arrays. */
void cathead_copy(struct cathead *to, const struct cathead *from)
{
	*to = *from;
	json_incref(to->ids);
	json_incref(to->changes);
}

/* Releases the content of @head. */
void cathead_free(struct cathead *head)
{
	json_decref(head->ids);
	json_decref(head->changes);
	*head = (struct cathead){ 0 };
}

static bool ids_valid(const json_t *ids, uint64_t revision)
{
	size_t count = json_array_size(ids);

	if (!json_is_array(ids) || count > CATHEAD_IDS_MAX || count > revision)
		return false;
	for (size_t i = 0; i < count; i++) {
		const json_t *id = json_array_get(ids, i);

		if (!json_string_length(id) ||
		    json_string_length(id) >= CATHEAD_ID_MAX)
			return false;
	}
	return true;
}

/*
 * Decodes the head document @text into @head, which need not be initialised.
 * Returns false with @err filled and nothing to release on failure. The changes
 * themselves are validated when they are applied.
 */
bool cathead_parse(struct cathead *head, const char *text, size_t len,
		   struct err *err)
{
	json_t *root = cat_json(text, len, CAT_BYTES_MAX, "head", err);
	json_t *ids = json_object_get(root, "ids");
	json_t *changes = json_object_get(root, "changes");
	bool ok = false;

	*head = (struct cathead){ 0 };
	if (!root)
		return false;
	if (json_object_size(root) != 4 ||
	    !cat_json_u64(root, "revision", &head->revision) ||
	    !cat_json_u64(root, "base", &head->base) ||
	    !json_is_array(changes) || head->base > head->revision ||
	    json_array_size(changes) > CATHEAD_CHANGES_MAX ||
	    json_array_size(changes) != head->revision - head->base) {
		err_set(err, ERR_BAD_REQUEST,
			"head: malformed, revision %llu, base %llu",
			(unsigned long long)head->revision,
			(unsigned long long)head->base);
		goto out;
	}
	if (!ids_valid(ids, head->revision)) {
		err_set(err, ERR_BAD_REQUEST, "head: malformed write ids");
		goto out;
	}
	head->ids = json_incref(ids);
	head->changes = json_incref(changes);
	ok = true;
out:
	json_decref(root);
	return ok;
}

/*
 * Returns the head document, to be released with free(), and its length in
 * bytes in @len. Numbers are written with all digits, so that every reader
 * rounds them as the writer did.
 */
char *cathead_encode(const struct cathead *head, size_t *len)
{
	json_t *root = check_alloc(json_pack(
		"{s:I,s:I,s:O,s:O}", "revision", (json_int_t)head->revision,
		"base", (json_int_t)head->base, "ids", head->ids, "changes",
		head->changes));
	char *text = json_dumps(root, JSON_COMPACT);

	if (!text)
		abort();
	json_decref(root);
	*len = strlen(text);
	return text;
}

static void array_append_copy(json_t **array, json_t *item, size_t max)
{
	json_t *copy = check_alloc(json_copy(*array));

	json_array_append(copy, item);
	while (json_array_size(copy) > max)
		json_array_remove(copy, 0);
	json_decref(*array);
	*array = copy;
}

/*
 * Appends the array @changes as the next revision, with write id @id. If the
 * head is full, the caller calls cathead_drop() first.
 */
void cathead_push(struct cathead *head, json_t *changes, const char *id)
{
	json_t *string = check_alloc(json_string(id));

	array_append_copy(&head->changes, changes, SIZE_MAX);
	array_append_copy(&head->ids, string, CATHEAD_IDS_MAX);
	json_decref(string);
	head->revision++;
}

/* Drops the changes of the oldest @count revisions and advances the base. */
void cathead_drop(struct cathead *head, size_t count)
{
	json_t *copy = check_alloc(json_copy(head->changes));

	for (; count && json_array_size(copy); count--) {
		json_array_remove(copy, 0);
		head->base++;
	}
	json_decref(head->changes);
	head->changes = copy;
}

/* Returns true if the head needs a new base before @changes can be appended. */
bool cathead_full(const struct cathead *head, const json_t *changes)
{
	size_t count = json_array_size(head->changes);

	if (!count)
		return false;
	return count >= CATHEAD_CHANGES_MAX ||
	       json_dumpb(head->changes, NULL, 0, JSON_COMPACT) +
			       json_dumpb(changes, NULL, 0, JSON_COMPACT) >
		       CATHEAD_BYTES_MAX;
}

/* Compares @id with the write id of @revision. */
enum cathead_id cathead_check_id(const struct cathead *head, uint64_t revision,
				 const char *id)
{
	size_t count = json_array_size(head->ids);
	const char *found;

	if (revision > head->revision || head->revision - revision >= count)
		return CATHEAD_ID_EXPIRED;
	found = json_string_value(json_array_get(
		head->ids, count - 1 - (size_t)(head->revision - revision)));
	return found && !strcmp(found, id) ? CATHEAD_ID_MATCH
					   : CATHEAD_ID_MISMATCH;
}

/* Returns true if the head contains all changes after @revision. */
bool cathead_covers(const struct cathead *head, uint64_t revision)
{
	return head->base <= revision && revision <= head->revision;
}

/*
 * Returns a copy of @cat with the changes up to the revision of @head, which
 * must cover that of @cat; NULL with @err filled if a change is invalid.
 */
struct cat *cathead_apply(const struct cathead *head, const struct cat *cat,
			  struct err *err)
{
	struct cat *at = cat_clone(cat);

	while (at && at->revision < head->revision) {
		struct cat *next = cat_apply(
			at,
			json_array_get(head->changes,
				       (size_t)(at->revision - head->base)),
			err);

		cat_free(at);
		at = next;
	}
	return at;
}

/* Returns a new array of the changes after @revision, which must be covered. */
json_t *cathead_since(const struct cathead *head, uint64_t revision)
{
	json_t *changes = check_alloc(json_array());

	for (size_t i = (size_t)(revision - head->base);
	     i < json_array_size(head->changes); i++)
		json_array_append(changes, json_array_get(head->changes, i));
	return changes;
}
