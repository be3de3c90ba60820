/* Context and constructors of the daemon's tasks. */
#ifndef JAYSPOKE_ENV_H
#define JAYSPOKE_ENV_H

#include "bus.h"
#include "conf.h"
#include "httpc.h"

#ifdef __cplusplus
extern "C" {
#endif

struct env {
	struct loop *loop;
	struct bus *bus;
	struct httpc *httpc;
	const struct conf *conf;
};

/*
 * Constructors, one per package. Each registers the task on the bus and opens
 * its sockets; on failure it returns NULL with @err set.
 */
struct task *caller_new(const struct env *env, struct err *err);
struct task *minion_new(const struct env *env, struct err *err);
struct task *sched_new(const struct env *env, struct err *err);
struct task *worker_new(const struct env *env, struct err *err);
struct task *store_new(const struct env *env, struct err *err);
struct task *catalogue_new(const struct env *env, struct err *err);
struct task *instlist_new(const struct env *env, struct err *err);
struct task *peer_new(const struct env *env, struct err *err);

#ifdef __cplusplus
}
#endif

#endif
