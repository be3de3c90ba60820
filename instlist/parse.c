#include "instlist.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "addr.h"

static const char *const kind_names[] = {
	[INST_WORKER] = "worker",
	[INST_MINION] = "minion",
	[INST_DAEMON] = "daemon",
};

#define KIND_COUNT (sizeof(kind_names) / sizeof(kind_names[0]))

/* Copies a string member. It may be missing unless it is required. */
static bool read_string(const json_t *object, const char *key, bool required,
			char *out, size_t size)
{
	const json_t *value = json_object_get(object, key);

	if (!value)
		return !required;
	if (!json_is_string(value) || json_string_length(value) >= size ||
	    (required && !json_string_length(value)))
		return false;
	memcpy(out, json_string_value(value), json_string_length(value) + 1);
	return true;
}

/* Reads an integer member. A missing one leaves @out unchanged, at 0. */
static bool read_u32(const json_t *object, const char *key, uint32_t *out)
{
	const json_t *value = json_object_get(object, key);

	if (!value)
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > UINT32_MAX)
		return false;
	*out = (uint32_t)json_integer_value(value);
	return true;
}

static bool read_kind(const json_t *object, enum inst_kind *kind)
{
	const char *name = json_string_value(json_object_get(object, "kind"));

	for (size_t i = 0; name && i < KIND_COUNT; i++) {
		if (!strcmp(name, kind_names[i])) {
			*kind = (enum inst_kind)i;
			return true;
		}
	}
	return false;
}

static bool read_state(const json_t *object, bool *leaving)
{
	const char *state = json_string_value(json_object_get(object, "state"));

	if (!state)
		return false;
	*leaving = !strcmp(state, "leaving");
	return *leaving || !strcmp(state, "live");
}

/* Returns the name of the first invalid member, or NULL. */
static const char *read_instance(const json_t *object, const char *az,
				 struct instance *inst)
{
	struct sockaddr_in sin;

	if (!json_is_object(object) ||
	    !read_string(object, "id", true, inst->id, sizeof(inst->id)))
		return "id";
	if (!read_kind(object, &inst->kind))
		return "kind";
	/* Instances of other zones must not add to the capacity here. */
	if (!read_string(object, "az", true, inst->az, sizeof(inst->az)) ||
	    strcmp(inst->az, az) != 0)
		return "az";
	if (!read_string(object, "addr", true, inst->addr,
			 sizeof(inst->addr)) ||
	    !addr_parse(inst->addr, &sin) || !sin.sin_port)
		return "addr";
	if (!read_state(object, &inst->leaving))
		return "state";
	if (!read_string(object, "rack", false, inst->rack, sizeof(inst->rack)))
		return "rack";
	if (!read_string(object, "upstream", false, inst->upstream,
			 sizeof(inst->upstream)))
		return "upstream";
	if (!read_u32(object, "cpus", &inst->cpus))
		return "cpus";
	if (!read_u32(object, "mem_mb", &inst->mem_mb))
		return "mem_mb";
	if (!read_u32(object, "accel", &inst->accel))
		return "accel";
	if (!read_u32(object, "slots", &inst->slots))
		return "slots";
	if (!read_u32(object, "connections", &inst->connections))
		return "connections";
	return NULL;
}

static int compare_ids(const void *a, const void *b)
{
	const struct instance *x = a;
	const struct instance *y = b;

	return strcmp(x->id, y->id);
}

static bool check_unique(const struct inst_list *list, struct err *err)
{
	for (uint32_t i = 1; i < list->count; i++) {
		if (!strcmp(list->items[i - 1].id, list->items[i].id))
			return err_set(err, ERR_BAD_REQUEST,
				       "instance list: duplicate id %s",
				       list->items[i].id);
	}
	return true;
}

/*
 * Returns the instances of zone @az sorted by id, with one reference, or NULL
 * with @err set if it is no list, no item of it can be read, or an id stands in
 * it twice. An item that is malformed, as another writer may leave one, is left
 * out; @err names the last of them. Unknown members are ignored, because the
 * platform may add some.
 */
struct inst_list *instlist_parse(const char *json, size_t len, const char *az,
				 struct err *err)
{
	json_error_t jerr;
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, &jerr);
	size_t count = json_array_size(root);
	struct inst_list *list = NULL;
	bool ok = false;

	if (!json_is_array(root) || count > INSTLIST_MAX) {
		err_set(err, ERR_BAD_REQUEST,
			"instance list: not an array of at most %d instances",
			INSTLIST_MAX);
		goto out;
	}
	list = xcalloc(1, sizeof(*list) + count * sizeof(list->items[0]));
	list->shared.refs = 1;
	for (size_t i = 0; i < count; i++) {
		struct instance *inst = &list->items[list->count];
		const char *bad =
			read_instance(json_array_get(root, i), az, inst);

		if (!bad) {
			list->count++;
			continue;
		}
		err_set(err, ERR_BAD_REQUEST,
			"instance list: item %zu (%.40s): invalid %s", i,
			inst->id, bad);
		*inst = (struct instance){ 0 };
	}
	if (count && !list->count)
		goto out;
	qsort(list->items, list->count, sizeof(list->items[0]), compare_ids);
	ok = check_unique(list, err);
out:
	json_decref(root);
	if (!ok) {
		free(list);
		list = NULL;
	}
	return list;
}
