#include "cat.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MS_MAX 2592000000U    /* 30 days */
#define CORES_MAX 1000000U    /* fits in 32 bits as milli-cores */
#define AMOUNT_MAX (1U << 31) /* less than CAT_NO_LIMIT */
#define WEIGHT_MAX 1000000U
#define TASKS_MAX 4096U
#define INTERACTIVE_TIMEOUT_MS 10000U

enum field_type {
	FIELD_NAME,
	FIELD_CLASS,
	FIELD_BOOL,
	FIELD_U32,
	FIELD_U64,
	FIELD_MILLI /* units in the document, thousandths in memory */
};

/* Maps a key of a JSON object to a member of the C structure. */
struct field {
	const char *key;
	enum field_type type;
	size_t offset;
	uint64_t min; /* in units of the document, like max */
	uint64_t max;
	uint64_t default_value; /* in memory, if the key is omitted */
	bool required;
};

#define FIELD_COUNT_MAX 16

static const struct field owner_fields[] = {
	{ "name", FIELD_NAME, offsetof(struct cat_owner, name), 0, 0, 0, true },
	{ "weight", FIELD_U32, offsetof(struct cat_owner, weight), 1,
	  WEIGHT_MAX, 1, false },
	{ "max_cpus", FIELD_MILLI, offsetof(struct cat_owner, max_cpu_milli), 0,
	  CORES_MAX, CAT_NO_LIMIT, false },
	{ "max_mem_mb", FIELD_U32, offsetof(struct cat_owner, max_mem_mb), 0,
	  AMOUNT_MAX, CAT_NO_LIMIT, false },
	{ "max_accel", FIELD_U32, offsetof(struct cat_owner, max_accel), 0,
	  AMOUNT_MAX, CAT_NO_LIMIT, false },
	{ 0 },
};

static const struct field entry_fields[] = {
	{ "name", FIELD_NAME, offsetof(struct cat_entry, name), 0, 0, 0, true },
	{ "owner", FIELD_NAME, offsetof(struct cat_entry, owner), 0, 0, 0,
	  true },
	{ "class", FIELD_CLASS, offsetof(struct cat_entry, cls), 0, 0, 0,
	  true },
	{ "upstream", FIELD_NAME, offsetof(struct cat_entry, upstream), 0, 0, 0,
	  false },
	{ "cpus", FIELD_MILLI, offsetof(struct cat_entry, cpu_milli), 0,
	  CORES_MAX, 0, false },
	{ "mem_mb", FIELD_U32, offsetof(struct cat_entry, mem_mb), 0,
	  AMOUNT_MAX, 0, false },
	{ "accel", FIELD_U32, offsetof(struct cat_entry, accel), 0, AMOUNT_MAX,
	  0, false },
	{ "run_ms", FIELD_U32, offsetof(struct cat_entry, run_ms), 0, MS_MAX, 0,
	  false },
	{ "tasks", FIELD_U32, offsetof(struct cat_entry, tasks), 1, TASKS_MAX,
	  1, false },
	{ "exclusive", FIELD_BOOL, offsetof(struct cat_entry, exclusive), 0, 0,
	  0, false },
	{ "repeat", FIELD_BOOL, offsetof(struct cat_entry, repeat), 0, 0, 0,
	  false },
	{ "urgent", FIELD_BOOL, offsetof(struct cat_entry, urgent), 0, 0, 0,
	  false },
	{ "timeout_ms", FIELD_U32, offsetof(struct cat_entry, timeout_ms), 0,
	  MS_MAX, 0, false },
	{ "max_running", FIELD_U32, offsetof(struct cat_entry, max_running), 0,
	  AMOUNT_MAX, CAT_NO_LIMIT, false },
	{ "max_queued", FIELD_U32, offsetof(struct cat_entry, max_queued), 0,
	  AMOUNT_MAX, CAT_NO_LIMIT, false },
	{ "hedge", FIELD_BOOL, offsetof(struct cat_entry, hedge), 0, 0, 0,
	  false },
	{ 0 },
};

static const struct field stop_fields[] = {
	{ "instance", FIELD_NAME, offsetof(struct cat_stop, instance), 0, 0, 0,
	  true },
	{ "at", FIELD_U64, offsetof(struct cat_stop, at), 0, CAT_REVISION_MAX,
	  0, true },
	{ 0 },
};

/* One of the three lists of the document. */
struct list {
	const char *key;      /* of the JSON array */
	const char *singular; /* item name in errors */
	const struct field *fields;
	size_t items; /* offset of the array pointer in struct cat */
	size_t count; /* offset of its length */
	size_t size;  /* of an item; its first member is the name */
	uint32_t max;
};

enum list_id { LIST_OWNER, LIST_ENTRY, LIST_STOP, LIST_COUNT };

static const struct list lists[LIST_COUNT] = {
	[LIST_OWNER] = { "owners", "owner", owner_fields,
			 offsetof(struct cat, owners),
			 offsetof(struct cat, owner_count),
			 sizeof(struct cat_owner), CAT_OWNERS_MAX },
	[LIST_ENTRY] = { "entries", "entry", entry_fields,
			 offsetof(struct cat, entries),
			 offsetof(struct cat, entry_count),
			 sizeof(struct cat_entry), CAT_ENTRIES_MAX },
	[LIST_STOP] = { "stops", "stop", stop_fields,
			offsetof(struct cat, stops),
			offsetof(struct cat, stop_count),
			sizeof(struct cat_stop), CAT_STOPS_MAX },
};

union item {
	struct cat_owner owner;
	struct cat_entry entry;
	struct cat_stop stop;
	char name[CAT_NAME_MAX];
};

static const char *const class_names[CAT_CLASS_COUNT] = {
	[CAT_BATCH] = "batch",
	[CAT_INTERACTIVE] = "interactive",
	[CAT_GANG] = "gang",
};

static void *check_alloc(void *p)
{
	if (!p)
		abort();
	return p;
}

/* Returns an empty catalogue of revision 0, to be released with cat_free(). */
struct cat *cat_new(void)
{
	return check_alloc(calloc(1, sizeof(struct cat)));
}

static char **list_items(const struct cat *cat, const struct list *list)
{
	return (char **)((char *)(uintptr_t)cat + list->items);
}

static uint32_t *list_count(const struct cat *cat, const struct list *list)
{
	return (uint32_t *)((char *)(uintptr_t)cat + list->count);
}

/* Returns a deep copy of @cat, to be released with cat_free(). */
struct cat *cat_clone(const struct cat *cat)
{
	struct cat *copy = cat_new();

	*copy = *cat;
	for (int i = 0; i < LIST_COUNT; i++) {
		const struct list *list = &lists[i];
		size_t bytes = *list_count(cat, list) * list->size;

		*list_items(copy, list) =
			check_alloc(malloc(bytes ? bytes : 1));
		if (bytes)
			memcpy(*list_items(copy, list), *list_items(cat, list),
			       bytes);
	}
	return copy;
}

/* Releases @cat, which may be NULL. */
void cat_free(struct cat *cat)
{
	if (!cat)
		return;
	free(cat->owners);
	free(cat->entries);
	free(cat->stops);
	free(cat);
}

/*
 * Returns the position of @name in the sorted list, or its insertion point if
 * @found is set to false.
 */
static uint32_t list_find(const struct cat *cat, const struct list *list,
			  const char *name, bool *found)
{
	const char *items = *list_items(cat, list);
	uint32_t low = 0;
	uint32_t high = *list_count(cat, list);

	*found = false;
	while (low < high) {
		uint32_t mid = low + (high - low) / 2;
		int order = strcmp(items + mid * list->size, name);

		if (!order) {
			*found = true;
			return mid;
		}
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static bool list_set(struct cat *cat, const struct list *list,
		     const union item *item, struct err *err)
{
	char **items = list_items(cat, list);
	uint32_t *count = list_count(cat, list);
	bool found;
	uint32_t at = list_find(cat, list, item->name, &found);

	if (!found) {
		if (*count >= list->max)
			return err_set(err, ERR_TOO_LARGE,
				       "%s %s: more than %u %s", list->singular,
				       item->name, list->max, list->key);
		*items =
			check_alloc(realloc(*items, (*count + 1) * list->size));
		memmove(*items + (at + 1) * list->size,
			*items + at * list->size, (*count - at) * list->size);
		(*count)++;
	}
	memcpy(*items + at * list->size, item, list->size);
	return true;
}

static bool list_del(struct cat *cat, const struct list *list, const char *name,
		     struct err *err)
{
	char *items = *list_items(cat, list);
	uint32_t *count = list_count(cat, list);
	bool found;
	uint32_t at = list_find(cat, list, name, &found);

	if (!found)
		return err_set(err, ERR_BAD_REQUEST, "%s %s: does not exist",
			       list->singular, name);
	(*count)--;
	memmove(items + at * list->size, items + (at + 1) * list->size,
		(*count - at) * list->size);
	return true;
}

static const void *list_get(const struct cat *cat, const struct list *list,
			    const char *name)
{
	bool found;
	uint32_t at = list_find(cat, list, name, &found);

	return found ? *list_items(cat, list) + at * list->size : NULL;
}

/* Returns the owner called @name, or NULL. */
const struct cat_owner *cat_owner(const struct cat *cat, const char *name)
{
	return list_get(cat, &lists[LIST_OWNER], name);
}

/* Returns the entry called @name, or NULL. */
const struct cat_entry *cat_entry(const struct cat *cat, const char *name)
{
	return list_get(cat, &lists[LIST_ENTRY], name);
}

/* Returns the planned stop of @instance, or NULL. */
const struct cat_stop *cat_stop(const struct cat *cat, const char *instance)
{
	return list_get(cat, &lists[LIST_STOP], instance);
}

/* Returns the name of @cls as it appears in the document. */
const char *cat_class_name(enum cat_class cls)
{
	return (unsigned int)cls < CAT_CLASS_COUNT ? class_names[cls] : "?";
}

/*
 * Returns the share of an owner's @limit for the zone at position @zone of the
 * @zone_count zones, sorted by name. Shares are equal except that the first
 * zones take the remainder; their sum is exactly the limit.
 */
uint32_t cat_zone_share(uint32_t limit, uint32_t zone, uint32_t zone_count)
{
	if (limit == CAT_NO_LIMIT)
		return limit;
	if (zone >= zone_count)
		return 0;
	return limit / zone_count + (zone < limit % zone_count ? 1 : 0);
}

static bool depth_valid(const char *text, size_t len)
{
	bool in_string = false;
	int depth = 0;

	for (size_t i = 0; i < len; i++) {
		char c = text[i];

		if (in_string) {
			if (c == '\\')
				i++;
			else if (c == '"')
				in_string = false;
		} else if (c == '"') {
			in_string = true;
		} else if (c == '[' || c == '{') {
			if (++depth > CAT_DEPTH_MAX)
				return false;
		} else if (c == ']' || c == '}') {
			depth--;
		}
	}
	return true;
}

/*
 * Parses JSON of at most @max bytes and CAT_DEPTH_MAX nesting levels; @label
 * prefixes error texts. Returns a new reference, or NULL with ERR_TOO_LARGE or
 * ERR_BAD_REQUEST. Duplicate keys are errors.
 */
json_t *cat_json(const char *text, size_t len, size_t max, const char *label,
		 struct err *err)
{
	json_error_t jerr;
	json_t *json;

	if (len > max) {
		err_set(err, ERR_TOO_LARGE, "%s: %zu bytes, limit %zu", label,
			len, max);
		return NULL;
	}
	if (!depth_valid(text, len)) {
		err_set(err, ERR_TOO_LARGE, "%s: more than %d levels", label,
			CAT_DEPTH_MAX);
		return NULL;
	}
	json = json_loadb(text, len, JSON_REJECT_DUPLICATES, &jerr);
	if (!json)
		err_set(err, ERR_BAD_REQUEST, "%s: line %d: %s", label,
			jerr.line, jerr.text);
	return json;
}

/*
 * Reads the integer @key of @object into @value. Returns false if it is absent,
 * of another type, or not from 0 to CAT_REVISION_MAX.
 */
bool cat_json_u64(const json_t *object, const char *key, uint64_t *value)
{
	const json_t *number = json_object_get(object, key);
	json_int_t n = json_integer_value(number);

	if (!json_is_integer(number) || n < 0 || (uint64_t)n > CAT_REVISION_MAX)
		return false;
	*value = (uint64_t)n;
	return true;
}

static bool name_valid(const char *name)
{
	size_t len = strlen(name);

	if (!len || len >= CAT_NAME_MAX || !strcmp(name, ".") ||
	    !strcmp(name, ".."))
		return false;
	return strspn(name, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			    "abcdefghijklmnopqrstuvwxyz0123456789._-") == len;
}

static const char *field_type_desc(enum field_type type)
{
	switch (type) {
	case FIELD_NAME:
		return "a name of 1 to 64 letters, digits, '.', '_' or '-'";
	case FIELD_CLASS:
		return "batch, interactive or gang";
	case FIELD_BOOL:
		return "true or false";
	case FIELD_MILLI:
		return "a number";
	case FIELD_U32:
	case FIELD_U64:
		break;
	}
	return "a whole number";
}

static bool class_read(const json_t *value, enum cat_class *cls)
{
	const char *name = json_string_value(value);

	for (int i = 0; name && i < CAT_CLASS_COUNT; i++) {
		if (!strcmp(name, class_names[i])) {
			*cls = (enum cat_class)i;
			return true;
		}
	}
	return false;
}

static bool in_range(const struct field *field, double number)
{
	return number >= (double)field->min && number <= (double)field->max;
}

/*
 * Stores @value at @out. Returns false if its type is wrong, or with
 * @out_of_range set if its range is.
 */
static bool field_read(const struct field *field, const json_t *value,
		       void *out, bool *out_of_range)
{
	*out_of_range = false;
	switch (field->type) {
	case FIELD_NAME:
		if (!json_is_string(value) ||
		    !name_valid(json_string_value(value)))
			return false;
		memcpy(out, json_string_value(value),
		       json_string_length(value) + 1);
		return true;
	case FIELD_CLASS:
		return class_read(value, out);
	case FIELD_BOOL:
		if (!json_is_boolean(value))
			return false;
		*(bool *)out = json_is_true(value);
		return true;
	case FIELD_MILLI:
		if (!json_is_number(value))
			return false;
		*out_of_range = !in_range(field, json_number_value(value));
		if (!*out_of_range)
			*(uint32_t *)out = (uint32_t)llround(
				json_number_value(value) * 1000);
		return !*out_of_range;
	case FIELD_U32:
	case FIELD_U64:
		break;
	}
	if (!json_is_integer(value))
		return false;
	*out_of_range = !in_range(field, (double)json_integer_value(value));
	if (*out_of_range)
		return false;
	if (field->type == FIELD_U32)
		*(uint32_t *)out = (uint32_t)json_integer_value(value);
	else
		*(uint64_t *)out = (uint64_t)json_integer_value(value);
	return true;
}

static void field_default(const struct field *field, void *out)
{
	if (field->type == FIELD_U32 || field->type == FIELD_MILLI)
		*(uint32_t *)out = (uint32_t)field->default_value;
}

static const struct field *field_find(const struct field *fields,
				      const char *key)
{
	for (const struct field *f = fields; f->key; f++) {
		if (!strcmp(f->key, key))
			return f;
	}
	return NULL;
}

static bool field_error(const struct list *list, const char *name,
			const struct field *field, bool out_of_range,
			struct err *err)
{
	if (out_of_range)
		return err_set(err, ERR_BAD_REQUEST,
			       "%s %s: %s must be from %llu to %llu",
			       list->singular, name, field->key,
			       (unsigned long long)field->min,
			       (unsigned long long)field->max);
	return err_set(err, ERR_BAD_REQUEST, "%s %s: %s must be %s",
		       list->singular, name, field->key,
		       field_type_desc(field->type));
}

/* Decodes @object into @item by the field table of @list. */
static bool item_read(const struct list *list, const json_t *object,
		      union item *item, struct err *err)
{
	const char *name =
		json_string_value(json_object_get(object, list->fields[0].key));
	const char *key;
	json_t *value;
	bool out_of_range;

	memset(item, 0, sizeof(*item));
	if (!json_is_object(object))
		return err_set(err, ERR_BAD_REQUEST, "%s: must be an object",
			       list->singular);
	if (!name || !name_valid(name))
		return field_error(list, "?", &list->fields[0], false, err);
	for (const struct field *f = list->fields; f->key; f++) {
		if (f->required && !json_object_get(object, f->key))
			return err_set(err, ERR_BAD_REQUEST,
				       "%s %s: %s is missing", list->singular,
				       name, f->key);
		field_default(f, (char *)item + f->offset);
	}
	json_object_foreach((json_t *)(uintptr_t)object, key, value)
	{
		const struct field *f = field_find(list->fields, key);

		if (!f)
			return err_set(err, ERR_BAD_REQUEST,
				       "%s %s: unknown key %.64s",
				       list->singular, name, key);
		if (!field_read(f, value, (char *)item + f->offset,
				&out_of_range))
			return field_error(list, name, f, out_of_range, err);
	}
	return true;
}

/*
 * Validates the fields of an entry against each other and its owner, and sets
 * the default timeout of interactive entries.
 */
static bool entry_check(const struct cat *cat, struct cat_entry *entry,
			const json_t *object, struct err *err)
{
	const char *reason = NULL;

	if (!cat_owner(cat, entry->owner))
		return err_set(err, ERR_BAD_REQUEST,
			       "entry %s: owner %s does not exist", entry->name,
			       entry->owner);
	if (entry->cls == CAT_INTERACTIVE && !entry->upstream[0])
		reason = "upstream is missing";
	else if (entry->cls != CAT_INTERACTIVE && entry->upstream[0])
		reason = "upstream is for interactive entries only";
	else if (entry->cls != CAT_INTERACTIVE && !entry->cpu_milli)
		reason = "cpus must be above 0";
	else if (entry->cls != CAT_GANG && entry->tasks != 1)
		reason = "tasks is for gangs only";
	else if (entry->cls == CAT_INTERACTIVE && entry->exclusive)
		reason = "exclusive is not for interactive entries";
	else if (entry->cls != CAT_INTERACTIVE && entry->hedge)
		reason = "hedge is for interactive entries only";
	else if (entry->hedge && !entry->repeat)
		reason = "hedge requires repeat";
	if (reason)
		return err_set(err, ERR_BAD_REQUEST, "entry %s: %s",
			       entry->name, reason);
	if (entry->cls == CAT_INTERACTIVE &&
	    !json_object_get(object, "timeout_ms"))
		entry->timeout_ms = INTERACTIVE_TIMEOUT_MS;
	return true;
}

static bool item_set(struct cat *cat, enum list_id id, const json_t *object,
		     bool replace, struct err *err)
{
	const struct list *list = &lists[id];
	union item item;

	if (!item_read(list, object, &item, err))
		return false;
	if (id == LIST_ENTRY && !entry_check(cat, &item.entry, object, err))
		return false;
	if (!replace && list_get(cat, list, item.name))
		return err_set(err, ERR_BAD_REQUEST, "%s %s: appears twice",
			       list->singular, item.name);
	return list_set(cat, list, &item, err);
}

static bool item_del(struct cat *cat, enum list_id id, const json_t *value,
		     struct err *err)
{
	const char *name = json_string_value(value);

	if (!name || !name_valid(name))
		return field_error(&lists[id], "?", &lists[id].fields[0], false,
				   err);
	for (uint32_t i = 0; id == LIST_OWNER && i < cat->entry_count; i++) {
		if (!strcmp(cat->entries[i].owner, name))
			return err_set(err, ERR_BAD_REQUEST,
				       "owner %s: entry %s refers to it", name,
				       cat->entries[i].name);
	}
	return list_del(cat, &lists[id], name, err);
}

static bool list_read(struct cat *cat, enum list_id id, const json_t *root,
		      struct err *err)
{
	const json_t *array = json_object_get(root, lists[id].key);

	if (!json_is_array(array))
		return err_set(err, ERR_BAD_REQUEST,
			       "catalogue: %s must be an array", lists[id].key);
	for (size_t i = 0; i < json_array_size(array); i++) {
		if (!item_set(cat, id, json_array_get(array, i), false, err))
			return false;
	}
	return true;
}

/*
 * Parses a whole document as written by cat_encode(). Returns NULL and fills
 * @err with the item and field if any part of it is invalid.
 */
struct cat *cat_parse(const char *text, size_t len, struct err *err)
{
	struct cat *cat = cat_new();
	json_t *root = cat_json(text, len, CAT_BYTES_MAX, "catalogue", err);
	bool ok = false;

	if (!root)
		goto out;
	if (!cat_json_u64(root, "revision", &cat->revision)) {
		err_set(err, ERR_BAD_REQUEST,
			"catalogue: revision must be a whole number");
		goto out;
	}
	ok = true;
	for (int i = 0; ok && i < LIST_COUNT; i++)
		ok = list_read(cat, (enum list_id)i, root, err);
	if (ok && json_object_size(root) != LIST_COUNT + 1)
		ok = err_set(err, ERR_BAD_REQUEST, "catalogue: unknown key");
out:
	json_decref(root);
	if (!ok) {
		cat_free(cat);
		cat = NULL;
	}
	return cat;
}

static bool change_apply(struct cat *cat, const json_t *change, struct err *err)
{
	static const char *const set_keys[] = { "set_owner", "set_entry",
						"set_stop" };
	static const char *const del_keys[] = { "del_owner", "del_entry",
						"del_stop" };
	const json_t *value;

	if (!json_is_object(change) || json_object_size(change) != 1)
		return err_set(err, ERR_BAD_REQUEST,
			       "must be an object with one key");
	for (int i = 0; i < LIST_COUNT; i++) {
		value = json_object_get(change, set_keys[i]);
		if (value)
			return item_set(cat, (enum list_id)i, value, true, err);
		value = json_object_get(change, del_keys[i]);
		if (value)
			return item_del(cat, (enum list_id)i, value, err);
	}
	return err_set(err, ERR_BAD_REQUEST, "unknown change %.64s",
		       json_object_iter_key(
			       json_object_iter((json_t *)(uintptr_t)change)));
}

/*
 * Returns a new catalogue of the next revision with the array @changes applied
 * in order, or NULL with @err filled if one of them is invalid. @cat is not
 * modified.
 */
struct cat *cat_apply(const struct cat *cat, const json_t *changes,
		      struct err *err)
{
	size_t count = json_array_size(changes);
	struct cat *next;

	if (!count || count > CAT_EDIT_CHANGES_MAX) {
		err_set(err, ERR_BAD_REQUEST,
			"changes: must be an array of 1 to %d changes",
			CAT_EDIT_CHANGES_MAX);
		return NULL;
	}
	next = cat_clone(cat);
	next->revision++;
	for (size_t i = 0; i < count; i++) {
		struct err change_err = { 0 };

		if (!change_apply(next, json_array_get(changes, i),
				  &change_err)) {
			err_set(err, change_err.kind, "change %zu: %.200s", i,
				change_err.text);
			cat_free(next);
			return NULL;
		}
	}
	return next;
}

/* Encodes a field; returns NULL if it has its default. */
static json_t *field_write(const struct field *field, const void *at)
{
	uint32_t n;

	switch (field->type) {
	case FIELD_NAME:
		return *(const char *)at ? json_string(at) : NULL;
	case FIELD_CLASS:
		return json_string(cat_class_name(*(const enum cat_class *)at));
	case FIELD_BOOL:
		return *(const bool *)at ? json_true() : NULL;
	case FIELD_U64:
		return json_integer((json_int_t) * (const uint64_t *)at);
	case FIELD_U32:
	case FIELD_MILLI:
		break;
	}
	n = *(const uint32_t *)at;
	if (n == field->default_value)
		return NULL;
	if (field->type == FIELD_MILLI && n % 1000)
		return json_real(n / 1000.0);
	return json_integer(field->type == FIELD_MILLI ? n / 1000 : n);
}

static json_t *item_write(const struct list *list, const char *item)
{
	json_t *object = check_alloc(json_object());

	for (const struct field *f = list->fields; f->key; f++) {
		json_t *value = field_write(f, item + f->offset);

		if (value)
			json_object_set_new(object, f->key, value);
	}
	/* Encode 0: it is not the default timeout of interactive entries. */
	if (list == &lists[LIST_ENTRY]) {
		const struct cat_entry *entry = (const void *)item;

		if (entry->cls == CAT_INTERACTIVE && !entry->timeout_ms)
			json_object_set_new(object, "timeout_ms",
					    json_integer(0));
	}
	return object;
}

/*
 * Returns the whole document as JSON, to be released with free(), and its
 * length in bytes in @len. Fields with their default value are omitted.
 */
char *cat_encode(const struct cat *cat, size_t *len)
{
	json_t *root = check_alloc(json_object());
	char *text;

	json_object_set_new(root, "revision",
			    json_integer((json_int_t)cat->revision));
	for (int i = 0; i < LIST_COUNT; i++) {
		const struct list *list = &lists[i];
		json_t *array = check_alloc(json_array());

		for (uint32_t k = 0; k < *list_count(cat, list); k++)
			json_array_append_new(
				array,
				item_write(list, *list_items(cat, list) +
							 k * list->size));
		json_object_set_new(root, list->key, array);
	}
	text = check_alloc(
		json_dumps(root, JSON_COMPACT | JSON_REAL_PRECISION(12)));
	json_decref(root);
	*len = strlen(text);
	return text;
}
