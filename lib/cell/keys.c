#include "cell/keys.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define SLOTS_MIN 16U

/*
 * The whole hash is compared before the text, so that the time of a look-up
 * does not depend on how many leading bytes of a key a caller has guessed.
 */
struct slot {
	uint64_t hash;
	const char *key; /* owned by the configuration, NULL: free */
	uint32_t team;	 /* index in the configuration */
};

/* Open addressing with linear probing; at most half of the slots are in use. */
struct cell_keys {
	uint32_t count;
	uint32_t mask;
	struct slot *slots;
};

static void *zalloc(size_t n, size_t size)
{
	void *p = calloc(n, size);

	if (!p)
		abort();
	return p;
}

/* Returns an empty index with room for @count keys. */
struct cell_keys *cell_keys_new(uint32_t count)
{
	struct cell_keys *keys = zalloc(1, sizeof(*keys));
	uint32_t slots = SLOTS_MIN;

	while (slots / 2 < count)
		slots *= 2;
	keys->mask = slots - 1;
	keys->slots = zalloc(slots, sizeof(*keys->slots));
	return keys;
}

/* Frees the index, but not the keys. */
void cell_keys_free(struct cell_keys *keys)
{
	if (!keys)
		return;
	free(keys->slots);
	free(keys);
}

/* Returns the slot of @key, or the free slot where it belongs. */
static struct slot *find(const struct cell_keys *keys, const char *key)
{
	uint64_t hash = XXH64(key, strlen(key), 0);
	uint32_t at = (uint32_t)hash & keys->mask;

	while (keys->slots[at].key && (keys->slots[at].hash != hash ||
				       strcmp(keys->slots[at].key, key) != 0))
		at = (at + 1) & keys->mask;
	return &keys->slots[at];
}

/*
 * Adds a key, which has to exist as long as the index. Returns the team that
 * holds it: @team, or the one that was added with it before.
 */
uint32_t cell_keys_add(struct cell_keys *keys, const char *key, uint32_t team)
{
	struct slot *slot = find(keys, key);

	if (slot->key)
		return slot->team;
	*slot = (struct slot){ .hash = XXH64(key, strlen(key), 0),
			       .key = key,
			       .team = team };
	keys->count++;
	return team;
}

/* Returns an index of all keys of @config; the first team keeps a key. */
struct cell_keys *cell_keys_index(const struct cell_config *config)
{
	struct cell_keys *keys;
	uint32_t count = 0;

	for (uint32_t i = 0; i < config->team_count; i++)
		count += config->teams[i].key_count;
	keys = cell_keys_new(count);
	for (uint32_t i = 0; i < config->team_count; i++) {
		const struct cell_team_spec *team = &config->teams[i];

		for (uint32_t k = 0; k < team->key_count; k++)
			cell_keys_add(keys, team->keys[k], i);
	}
	return keys;
}

/* Returns the number of keys. */
uint32_t cell_keys_count(const struct cell_keys *keys)
{
	return keys->count;
}

/* Returns the team of @config that holds @key, or NULL. */
const struct cell_team_spec *cell_keys_team(const struct cell_keys *keys,
					    const struct cell_config *config,
					    const char *key)
{
	const struct slot *slot = find(keys, key);

	return slot->key ? &config->teams[slot->team] : NULL;
}
