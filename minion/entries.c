#include "entries.h"

#include <stdlib.h>
#include <string.h>

#include "catalogue/catalogue.h"

struct entries {
	struct cat_obj *obj; /* NULL until a catalogue is loaded */
};

/* Returns an empty view of the catalogue. */
struct entries *entries_new(void)
{
	return xcalloc(1, sizeof(struct entries));
}

/* Releases the view; @entries may be NULL. */
void entries_free(struct entries *entries)
{
	if (!entries)
		return;
	shared_unref(entries->obj);
	free(entries);
}

/* Replaces the catalogue by that of a MSG_CAT_CHANGED, if it has one. */
void entries_set(struct entries *entries, const struct msg *changed)
{
	if (!changed->obj)
		return;
	shared_unref(entries->obj);
	entries->obj = shared_ref(changed->obj);
}

/* Returns true once a catalogue is loaded. */
bool entries_loaded(const struct entries *entries)
{
	return entries->obj != NULL;
}

/* Returns the revision of the catalogue, 0 if none is loaded. */
uint64_t entries_revision(const struct entries *entries)
{
	return entries->obj ? entries->obj->cat->revision : 0;
}

/* Fills @info with the entry @name; returns false if there is none. */
bool entries_find(const struct entries *entries, const char *name,
		  struct entry_info *info)
{
	const struct cat_entry *e =
		entries->obj ? cat_entry(entries->obj->cat, name) : NULL;

	if (!e)
		return false;
	*info = (struct entry_info){
		.interactive = e->cls == CAT_INTERACTIVE,
		.repeat = e->repeat,
		.hedge = e->hedge,
		.timeout_ms = e->timeout_ms,
		.max_queued = e->max_queued,
		.max_running = e->max_running,
	};
	memcpy(info->name, e->name, sizeof(e->name));
	memcpy(info->upstream, e->upstream, sizeof(e->upstream));
	return true;
}

/* Returns when an instance is to stop, in Unix seconds; 0 if not planned. */
uint64_t entries_stop_at(const struct entries *entries, const char *instance)
{
	const struct cat_stop *stop =
		entries->obj ? cat_stop(entries->obj->cat, instance) : NULL;

	return stop ? stop->at : 0;
}

/*
 * Returns the longest timeout of an interactive entry in milliseconds, with
 * @default_ms for entries without one; 0 if there is no interactive entry.
 */
uint32_t entries_max_timeout_ms(const struct entries *entries,
				uint32_t default_ms)
{
	const struct cat *cat = entries->obj ? entries->obj->cat : NULL;
	uint32_t max = 0;

	for (uint32_t i = 0; cat && i < cat->entry_count; i++) {
		const struct cat_entry *e = &cat->entries[i];
		uint32_t ms = e->timeout_ms ? e->timeout_ms : default_ms;

		if (e->cls == CAT_INTERACTIVE && ms > max)
			max = ms;
	}
	return max;
}

/*
 * Returns the catalogue as a JSON document, empty if none is loaded. The caller
 * releases it with buf_free().
 */
struct buf entries_document(const struct entries *entries)
{
	struct buf document = { 0 };
	size_t len = 0;
	char *text;

	if (!entries->obj)
		return document;
	text = cat_encode(entries->obj->cat, &len);
	document = buf_copy(text, len);
	free(text);
	return document;
}
