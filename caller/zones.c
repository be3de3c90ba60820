#include <stdio.h>
#include <string.h>

#include <openssl/rand.h>
#include <xxhash.h>

#include "caller.h"

/* Returns the index of a zone in the settings, or -1. */
int zones_index(const struct conf *conf, const char *az)
{
	for (uint32_t i = 0; i < conf->zone_count; i++) {
		if (!strcmp(conf->zones[i].az, az))
			return (int)i;
	}
	return -1;
}

/*
 * Returns the home zone of a job submitted under @key: that of an issued key,
 * or the first by rendezvous hashing of the key; the own zone without a key.
 * Returns NULL if an issued key names a zone that is not in the settings.
 */
const char *zones_home(const struct conf *conf, const char *key)
{
	struct idem_key issued;
	const char *home = conf->az;
	uint64_t best = 0;

	if (!key[0])
		return conf->az;
	if (idem_parse(key, &issued)) {
		int index = zones_index(conf, issued.az);

		return index < 0 ? NULL : conf->zones[index].az;
	}
	for (uint32_t i = 0; i < conf->zone_count; i++) {
		const char *az = conf->zones[i].az;
		uint64_t seed = XXH64(az, strlen(az), 0);
		uint64_t weight = XXH64(key, strlen(key), seed);

		if (i &&
		    (weight < best || (weight == best && strcmp(az, home) > 0)))
			continue;
		best = weight;
		home = az;
	}
	return home;
}

/* Finds the latest claim of @az that this daemon knows of. */
static bool claim_of(const struct caller_task *c, const char *az,
		     struct idem_key *key)
{
	bool found = false;

	if (!strcmp(az, c->env->conf->az) && c->claim.held) {
		key->epoch = c->claim.epoch;
		key->window = c->claim.window +
			      (uint32_t)((loop_now_ms() - c->claim_ms) / 1000);
		return true;
	}
	for (uint32_t i = 0; c->peers && i < c->peers->count; i++) {
		const struct peer_info *p = &c->peers->peers[i];

		if (!p->alive || !p->holder || strcmp(p->az, az) != 0 ||
		    (found && p->epoch <= key->epoch))
			continue;
		key->epoch = p->epoch;
		key->window = p->window;
		found = true;
	}
	return found;
}

/*
 * Mints a key of the own zone, or, when no claim of it is known, of another
 * zone that is not in @tried. Returns false if there is none.
 */
bool zones_mint(const struct caller_task *c, uint64_t tried, char *key,
		size_t size)
{
	const struct conf *conf = c->env->conf;
	struct idem_key parts = { 0 };
	int own = zones_index(conf, conf->az);
	int zone = own;

	if (own >= 0 && (tried & (1ULL << own)))
		zone = zones_next(c, tried);
	while (zone >= 0 && !claim_of(c, conf->zones[zone].az, &parts)) {
		tried |= 1ULL << zone;
		zone = zones_next(c, tried);
	}
	if (zone < 0)
		return false;
	snprintf(parts.az, sizeof(parts.az), "%s", conf->zones[zone].az);
	if (RAND_bytes((unsigned char *)&parts.random, sizeof(parts.random)) !=
	    1)
		return false;
	return idem_format(key, size, &parts);
}

/* Returns the best free share among the daemons of a zone, -1 if none lives. */
static int zone_free(const struct caller_task *c, const char *az)
{
	int best = -1;

	for (uint32_t i = 0; c->peers && i < c->peers->count; i++) {
		const struct peer_info *p = &c->peers->peers[i];

		if (p->alive && !p->draining && !strcmp(p->az, az) &&
		    (int)p->free_milli > best)
			best = (int)p->free_milli;
	}
	return best;
}

/* Returns true if another daemon of the own zone takes requests. */
bool zones_sibling(const struct caller_task *c)
{
	return zone_free(c, c->env->conf->az) >= 0;
}

/*
 * Returns the index of the next zone to try: one with a live daemon that is not
 * in @tried, of the own region first, then the one with the most free capacity;
 * -1 if there is none.
 */
int zones_next(const struct caller_task *c, uint64_t tried)
{
	const struct conf *conf = c->env->conf;
	int best = -1;
	int best_score = -1;

	for (uint32_t i = 0; i < conf->zone_count; i++) {
		const struct conf_zone *z = &conf->zones[i];
		int score = zone_free(c, z->az);

		if (score < 0 || (tried & (1ULL << i)) ||
		    !strcmp(z->az, conf->az))
			continue;
		if (!strcmp(z->region, conf->region))
			score += 1001; /* above any free share */
		if (score > best_score) {
			best_score = score;
			best = (int)i;
		}
	}
	return best;
}

/*
 * Returns true if this daemon answers for the claim of @az: it holds the claim,
 * or did last and knows of no other holder.
 */
bool zones_is_holder(const struct caller_task *c, const char *az)
{
	return !strcmp(az, c->env->conf->az) &&
	       (c->claim.held || !strcmp(c->claim.holder, c->env->conf->id));
}
