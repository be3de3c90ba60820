#include <stdio.h>
#include <string.h>

#include <openssl/rand.h>
#include <xxhash.h>

#include "caller.h"

/* Returns the index of zone @az in the settings, or -1. */
int zones_index(const struct conf *conf, const char *az)
{
	for (uint32_t i = 0; i < conf->zone_count; i++) {
		if (!strcmp(conf->zones[i].az, az))
			return (int)i;
	}
	return -1;
}

/*
 * Returns the home zone of a job submitted under @key: the zone of an issued
 * key, else the choice of rendezvous hashing, or the own zone without a key.
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

/* Sets epoch and window of @key by the latest known claim of @az. */
static bool find_claim(const struct caller_task *c, const char *az,
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
 * Issues a key of the own zone or, if that zone is in @tried_zones or has no
 * known claim, of another zone that is not in @tried_zones. Returns false if
 * there is none or the key cannot be generated.
 */
bool zones_issue_key(const struct caller_task *c, uint64_t tried_zones,
		     char *key, size_t size)
{
	const struct conf *conf = c->env->conf;
	struct idem_key parts = { 0 };
	int own = zones_index(conf, conf->az);
	int zone = own;

	if (own >= 0 && (tried_zones & (1ULL << own)))
		zone = zones_next(c, tried_zones);
	while (zone >= 0 && !find_claim(c, conf->zones[zone].az, &parts)) {
		tried_zones |= 1ULL << zone;
		zone = zones_next(c, tried_zones);
	}
	if (zone < 0)
		return false;
	snprintf(parts.az, sizeof(parts.az), "%s", conf->zones[zone].az);
	if (RAND_bytes((unsigned char *)&parts.random, sizeof(parts.random)) !=
	    1)
		return false;
	return idem_format(key, size, &parts);
}

/*
 * Returns the highest free capacity, in thousandths, among the live daemons of
 * a zone that are not draining; -1 if there are none.
 */
static int zone_free_milli(const struct caller_task *c, const char *az)
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

/* Returns true if another daemon of the own zone accepts requests. */
bool zones_has_local_peer(const struct caller_task *c)
{
	return zone_free_milli(c, c->env->conf->az) >= 0;
}

/*
 * Returns the index of the next zone to try, or -1: a zone with a live daemon
 * that is not in @tried_zones. Zones of the own region are preferred, then the
 * one with the most free capacity.
 */
int zones_next(const struct caller_task *c, uint64_t tried_zones)
{
	const struct conf *conf = c->env->conf;
	int best = -1;
	int best_score = -1;

	for (uint32_t i = 0; i < conf->zone_count; i++) {
		const struct conf_zone *z = &conf->zones[i];
		int score = zone_free_milli(c, z->az);

		if (score < 0 || (tried_zones & (1ULL << i)) ||
		    !strcmp(z->az, conf->az))
			continue;
		if (!strcmp(z->region, conf->region))
			score += 1001; /* free capacity is at most 1000 */
		if (score > best_score) {
			best_score = score;
			best = (int)i;
		}
	}
	return best;
}

/*
 * Returns true if this daemon handles at-most-once requests of @az: it holds
 * the claim, or held it last and no other holder is known.
 */
bool zones_is_holder(const struct caller_task *c, const char *az)
{
	return !strcmp(az, c->env->conf->az) &&
	       (c->claim.held || !strcmp(c->claim.holder, c->env->conf->id));
}
