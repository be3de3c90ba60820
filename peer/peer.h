/* Task that maintains the connections to the other daemons. */
#ifndef JAYSPOKE_PEER_H
#define JAYSPOKE_PEER_H

#include "env.h"

#ifdef __cplusplus
extern "C" {
#endif

int peer_port(const struct task *task);
void peer_free(struct task *task);

#ifdef __cplusplus
}
#endif

#endif
