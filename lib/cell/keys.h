/* Index from the keys of a configuration to the teams that hold them. */
#ifndef JAYSPOKE_CELL_KEYS_H
#define JAYSPOKE_CELL_KEYS_H

#include "cell/spec.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cell_keys;

struct cell_keys *cell_keys_new(uint32_t count);
void cell_keys_free(struct cell_keys *keys);
uint32_t cell_keys_add(struct cell_keys *keys, const char *key, uint32_t team);
struct cell_keys *cell_keys_index(const struct cell_config *config);
uint32_t cell_keys_count(const struct cell_keys *keys);
const struct cell_team_spec *cell_keys_team(const struct cell_keys *keys,
					    const struct cell_config *config,
					    const char *key);

#ifdef __cplusplus
}
#endif

#endif
