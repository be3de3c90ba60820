#include "msg.h"

#include <stdlib.h>

/* Returns a zeroed message of @kind. */
struct msg *msg_new(enum msg_kind kind, enum task_id from, uint32_t ref)
{
	struct msg *msg = xcalloc(1, sizeof(*msg));

	msg->kind = kind;
	msg->from = from;
	msg->ref = ref;
	return msg;
}

/* Returns a copy of @msg with its own body and a reference to its object. */
struct msg *msg_clone(const struct msg *msg)
{
	struct msg *copy = xcalloc(1, sizeof(*copy));

	*copy = *msg;
	copy->next = NULL;
	copy->body = (struct buf){ 0 };
	if (msg->body.data)
		copy->body = buf_copy(msg->body.data, msg->body.len);
	if (msg->obj)
		copy->obj = shared_ref(msg->obj);
	return copy;
}

/* Frees @msg and its body, and drops its reference. NULL is ignored. */
void msg_free(struct msg *msg)
{
	if (!msg)
		return;
	buf_free(&msg->body);
	if (msg->obj)
		shared_unref(msg->obj);
	free(msg);
}

/* Adds a reference to @obj, whose first member is a struct shared. */
void *shared_ref(void *obj)
{
	struct shared *shared = obj;

	shared->refs++;
	return obj;
}

/* Drops a reference; the last one frees the object. NULL is ignored. */
void shared_unref(void *obj)
{
	struct shared *shared = obj;

	if (!shared || --shared->refs)
		return;
	if (shared->free)
		shared->free(shared);
	else
		free(shared);
}
