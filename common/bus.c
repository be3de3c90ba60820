#include "bus.h"

#include <stdlib.h>

#include "buf.h"

/* Maximum messages delivered before sockets are polled again. */
#define BUS_TURN_MAX 1024

struct bus {
	struct loop *loop;
	struct task *tasks[TASK_COUNT];
	struct msg *head;
	struct msg **tail;
};

/*
 * Delivers up to BUS_TURN_MAX queued messages. Returns true if more are queued.
 * Called by the loop of the bus, or by a test that runs several buses on one
 * loop.
 */
bool bus_deliver(struct bus *bus)
{
	for (int n = 0; bus->head && n < BUS_TURN_MAX; n++) {
		struct msg *msg = bus->head;
		struct task *task = bus->tasks[msg->to];

		bus->head = msg->next;
		if (!bus->head)
			bus->tail = &bus->head;
		if (task)
			task->ops->handle(task, msg);
		msg_free(msg);
	}
	return bus->head != NULL;
}

static bool bus_run(void *ctx)
{
	return bus_deliver(ctx);
}

/* Returns a new bus whose messages are delivered by @loop. */
struct bus *bus_new(struct loop *loop)
{
	struct bus *bus = xcalloc(1, sizeof(*bus));

	bus->loop = loop;
	bus->tail = &bus->head;
	loop_set_idle(loop, bus_run, bus);
	return bus;
}

/* Frees the bus and its undelivered messages. */
void bus_free(struct bus *bus)
{
	while (bus->head) {
		struct msg *msg = bus->head;

		bus->head = msg->next;
		msg_free(msg);
	}
	loop_set_idle(bus->loop, NULL, NULL);
	free(bus);
}

/* Returns the loop of the bus, for timers and sockets of a task. */
struct loop *bus_loop(struct bus *bus)
{
	return bus->loop;
}

/* Registers @task as the recipient of messages to @id. */
void bus_register(struct bus *bus, enum task_id id, struct task *task)
{
	bus->tasks[id] = task;
}

/* Returns true while a message is queued or a task has work in flight. */
bool bus_busy(struct bus *bus)
{
	if (bus->head)
		return true;
	for (int i = 0; i < TASK_COUNT; i++) {
		struct task *task = bus->tasks[i];

		if (task && task->ops->busy && task->ops->busy(task))
			return true;
	}
	return false;
}

/*
 * Queues @msg for later delivery and takes ownership of it. Messages between
 * two tasks are delivered in the order in which they were sent.
 */
void bus_send(struct bus *bus, enum task_id to, struct msg *msg)
{
	msg->to = to;
	msg->next = NULL;
	*bus->tail = msg;
	bus->tail = &msg->next;
}

/* Sends @reply to the sender of @request, with the reference of @request. */
void bus_reply(struct bus *bus, const struct msg *request, struct msg *reply)
{
	reply->ref = request->ref;
	reply->from = request->to;
	bus_send(bus, request->from, reply);
}

/*
 * Sends a copy of @msg to every task but @from, and frees @msg. The copies
 * share its object.
 */
void bus_broadcast(struct bus *bus, enum task_id from, struct msg *msg)
{
	for (int i = 0; i < TASK_COUNT; i++) {
		if (bus->tasks[i] && i != (int)from)
			bus_send(bus, (enum task_id)i, msg_clone(msg));
	}
	msg_free(msg);
}
