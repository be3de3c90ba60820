/* Message bus between the tasks of a daemon. */
#ifndef JAYSPOKE_BUS_H
#define JAYSPOKE_BUS_H

#include "loop.h"
#include "msg.h"

#ifdef __cplusplus
extern "C" {
#endif

struct bus;
struct task;

struct task_ops {
	const char *name;
	/* Handles one message, which the bus frees afterwards. */
	void (*handle)(struct task *task, struct msg *msg);
	/*
	 * Returns true while work is in flight that has to finish before a
	 * graceful stop. May be NULL.
	 */
	bool (*busy)(struct task *task);
};

/* Embedded as the first member of each task. */
struct task {
	const struct task_ops *ops;
};

struct bus *bus_new(struct loop *loop);
void bus_free(struct bus *bus);
struct loop *bus_loop(struct bus *bus);
void bus_register(struct bus *bus, enum task_id id, struct task *task);
bool bus_deliver(struct bus *bus);
bool bus_busy(struct bus *bus);
void bus_send(struct bus *bus, enum task_id to, struct msg *msg);
void bus_reply(struct bus *bus, const struct msg *request, struct msg *reply);
void bus_broadcast(struct bus *bus, enum task_id from, struct msg *msg);

#ifdef __cplusplus
}
#endif

#endif
