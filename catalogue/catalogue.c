/*
 * Catalogue task: executes the actions of the state machine in lib/catsync.c
 * and broadcasts each new catalogue to the other tasks.
 */
#include "catalogue.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "cathead.h"
#include "catsync.h"
#include "ctr.h"
#include "env.h"
#include "log.h"
#include "tl.h"

/* Pending edit of an operator, with the addressee of its reply. */
struct catalogue_edit {
	struct catalogue_edit *next;
	uint32_t ref; /* in catsync */
	enum task_id from;
	uint32_t msg_ref;
	char operator_name[MSG_NAME_MAX];
};

/* Reference of the initial read; those of catsync count up from 1. */
#define INITIAL_READ_REF UINT32_MAX
#define INITIAL_READ_RETRY_MS 5000

struct catalogue {
	struct task task;
	struct env env;
	struct catsync *sync;
	struct catalogue_edit *edits;
	uint32_t last_edit;
	struct timer timer;
	bool broadcast_sent;		 /* at least one catalogue */
	struct timer initial_read_timer; /* first try and retries */
	ctr_id revision;
	ctr_id edits_accepted;
	ctr_id edits_refused;
	ctr_id bad_documents;
};

static void obj_free(struct shared *shared)
{
	struct cat_obj *obj = (struct cat_obj *)shared;

	cat_free(obj->cat);
	free(obj);
}

/* Returns a shared object with a deep copy of @cat and one reference. */
struct cat_obj *catalogue_obj(const struct cat *cat)
{
	struct cat_obj *obj = xcalloc(1, sizeof(*obj));

	obj->shared = (struct shared){ .refs = 1, .free = obj_free };
	obj->cat = cat_clone(cat);
	return obj;
}

static void catalogue_call(struct catalogue *c, enum store_op op,
			   struct catsync_action *action)
{
	struct msg *msg = msg_new(MSG_STORE, TASK_CATALOGUE, action->ref);

	msg->store.op = op;
	msg->store.index = action->index;
	msg->store.wait_ms = action->wait_ms;
	msg->store.has_cas = op == STORE_PUT;
	snprintf(msg->store.key, sizeof(msg->store.key), "%s", action->key);
	if (action->body)
		msg->body = buf_copy(action->body, action->body_len);
	bus_send(c->env.bus, TASK_STORE, msg);
}

static void catalogue_pull(struct catalogue *c,
			   const struct catsync_action *action)
{
	struct msg *msg = msg_new(MSG_CAT_PULL, TASK_CATALOGUE, 0);

	msg->cat.revision = action->revision;
	snprintf(msg->cat.peer, sizeof(msg->cat.peer), "%s", action->peer);
	bus_send(c->env.bus, TASK_PEER, msg);
}

static void catalogue_reply(struct catalogue *c,
			    const struct catsync_action *action)
{
	struct catalogue_edit **link = &c->edits;
	struct catalogue_edit *edit;
	struct msg *msg;

	while (*link && (*link)->ref != action->ref)
		link = &(*link)->next;
	edit = *link;
	if (!edit)
		return;
	*link = edit->next;
	msg = msg_new(MSG_CAT_EDIT_REPLY, TASK_CATALOGUE, edit->msg_ref);
	msg->cat_edit_reply.err = action->err;
	msg->cat_edit_reply.revision = action->revision;
	bus_send(c->env.bus, edit->from, msg);
	if (action->err.kind == ERR_NONE) {
		ctr_add(c->edits_accepted, 1);
		tl_add("catalogue", "revision %" PRIu64 " by %.40s",
		       action->revision, edit->operator_name);
	} else {
		ctr_add(c->edits_refused, 1);
		log_info("catalogue edit refused operator=%s error=%s: %s",
			 edit->operator_name, err_name(action->err.kind),
			 action->err.text);
	}
	free(edit);
}

static void catalogue_broadcast(struct catalogue *c)
{
	const struct cat *cat = catsync_cat(c->sync);
	struct msg *msg = msg_new(MSG_CAT_CHANGED, TASK_CATALOGUE, 0);

	msg->cat.revision = cat->revision;
	msg->obj = &catalogue_obj(cat)->shared;
	c->broadcast_sent = true;
	ctr_set(c->revision, cat->revision);
	log_info("catalogue revision=%" PRIu64 " owners=%u entries=%u stops=%u",
		 cat->revision, cat->owner_count, cat->entry_count,
		 cat->stop_count);
	bus_broadcast(c->env.bus, TASK_CATALOGUE, msg);
}

static void catalogue_execute(struct catalogue *c,
			      struct catsync_action *action)
{
	switch (action->op) {
	case CATSYNC_GET:
		catalogue_call(c, STORE_GET, action);
		break;
	case CATSYNC_PUT:
		catalogue_call(c, STORE_PUT, action);
		break;
	case CATSYNC_DELETE:
		catalogue_call(c, STORE_DELETE, action);
		break;
	case CATSYNC_PULL:
		catalogue_pull(c, action);
		break;
	case CATSYNC_REPLY:
		catalogue_reply(c, action);
		break;
	case CATSYNC_CHANGED:
		/* Coalesce several changes of one run into one broadcast. */
		if (action->revision == catsync_cat(c->sync)->revision)
			catalogue_broadcast(c);
		break;
	case CATSYNC_WARN:
		ctr_add(c->bad_documents, 1);
		log_warn("catalogue document refused error=%s: %s",
			 err_name(action->err.kind), action->err.text);
		break;
	}
}

static void catalogue_run(struct catalogue *c)
{
	uint64_t now_ms = loop_now_ms();
	uint64_t due_ms = catsync_tick(c->sync, now_ms);
	struct catsync_action action;

	while (catsync_next(c->sync, &action)) {
		catalogue_execute(c, &action);
		free(action.body);
	}
	if (due_ms == UINT64_MAX)
		timer_stop(c->env.loop, &c->timer);
	else
		timer_start(c->env.loop, &c->timer,
			    due_ms > now_ms ? due_ms - now_ms : 0);
}

static void catalogue_on_timer(struct timer *timer)
{
	catalogue_run(timer->ctx);
}

/* Generates a write id of 128 random bits. */
static void write_id(char id[CATHEAD_ID_MAX])
{
	unsigned char bytes[16];

	if (getrandom(bytes, sizeof(bytes), 0) != sizeof(bytes))
		abort();
	for (size_t i = 0; i < sizeof(bytes); i++)
		snprintf(id + 2 * i, 3, "%02x", bytes[i]);
}

static void catalogue_on_edit(struct catalogue *c, const struct msg *msg)
{
	struct catalogue_edit *edit = xcalloc(1, sizeof(*edit));
	char id[CATHEAD_ID_MAX];
	struct catsync_edit request = {
		.revision = msg->cat_edit.revision,
		.body = msg->body.data ? msg->body.data : "",
		.len = msg->body.len,
		.write_id = id,
	};

	write_id(id);
	request.ref = edit->ref = ++c->last_edit;
	edit->from = msg->from;
	edit->msg_ref = msg->ref;
	snprintf(edit->operator_name, sizeof(edit->operator_name), "%s",
		 msg->cat_edit.operator_name);
	edit->next = c->edits;
	c->edits = edit;
	catsync_edit(c->sync, &request, loop_now_ms());
}

/*
 * Each daemon reads the head at its start. An absent head means an empty
 * catalogue; this cannot be learned from peers, whose revision 0 may also mean
 * that they have not read the catalogue yet.
 */
static void catalogue_initial_read(struct timer *timer)
{
	struct catalogue *c = timer->ctx;
	struct msg *msg;

	if (c->broadcast_sent)
		return;
	msg = msg_new(MSG_STORE, TASK_CATALOGUE, INITIAL_READ_REF);
	msg->store.op = STORE_GET;
	snprintf(msg->store.key, sizeof(msg->store.key), CATHEAD_KEY);
	bus_send(c->env.bus, TASK_STORE, msg);
	timer_start(c->env.loop, &c->initial_read_timer, INITIAL_READ_RETRY_MS);
}

static void catalogue_on_store(struct catalogue *c, const struct msg *msg)
{
	static const enum catsync_status statuses[] = {
		[STORE_OK] = CATSYNC_OK,
		[STORE_ABSENT] = CATSYNC_ABSENT,
		[STORE_CONFLICT] = CATSYNC_CONFLICT,
		[STORE_UNAVAILABLE] = CATSYNC_FAILED,
		[STORE_UNKNOWN] = CATSYNC_UNKNOWN,
	};

	if (msg->ref == INITIAL_READ_REF) {
		if (!c->broadcast_sent &&
		    msg->store_reply.status == STORE_ABSENT)
			catalogue_broadcast(c);
		return;
	}
	catsync_on_store_reply(
		c->sync, msg->ref, statuses[msg->store_reply.status],
		msg->store_reply.index, msg->body.data ? msg->body.data : "",
		msg->body.len, loop_now_ms());
}

static void catalogue_on_peers(struct catalogue *c, const struct msg *msg)
{
	const struct peer_table *table = (const void *)msg->obj;
	struct catsync_peer *peers = xcalloc(table->count, sizeof(*peers));
	uint32_t count = 0;

	for (uint32_t i = 0; i < table->count; i++) {
		const struct peer_info *info = &table->peers[i];
		struct catsync_peer *peer = &peers[count];

		if (!info->alive || !strcmp(info->id, c->env.conf->id))
			continue;
		snprintf(peer->id, sizeof(peer->id), "%s", info->id);
		snprintf(peer->az, sizeof(peer->az), "%s", info->az);
		snprintf(peer->region, sizeof(peer->region), "%s",
			 info->region);
		peer->revision = info->cat_revision;
		count++;
	}
	catsync_set_peers(c->sync, peers, count, loop_now_ms());
	free(peers);
}

/* Replies to a pull of a peer; the body is empty if it is up to date. */
static void catalogue_on_pull(struct catalogue *c, const struct msg *msg)
{
	struct msg *reply = msg_new(MSG_CAT_STATE, TASK_CATALOGUE, msg->ref);
	char *body = NULL;
	size_t len = 0;

	reply->cat.revision = catsync_cat(c->sync)->revision;
	memcpy(reply->cat.peer, msg->cat.peer, sizeof(reply->cat.peer));
	if (catsync_encode_since(c->sync, msg->cat.revision, &body, &len))
		reply->body = buf_copy(body, len);
	free(body);
	bus_reply(c->env.bus, msg, reply);
}

static void catalogue_handle(struct task *task, struct msg *msg)
{
	struct catalogue *c = (struct catalogue *)task;

	switch (msg->kind) {
	case MSG_CAT_EDIT:
		catalogue_on_edit(c, msg);
		break;
	case MSG_STORE_REPLY:
		catalogue_on_store(c, msg);
		break;
	case MSG_PEERS:
		catalogue_on_peers(c, msg);
		break;
	case MSG_CAT_PULL:
		catalogue_on_pull(c, msg);
		break;
	case MSG_CAT_STATE:
		catsync_on_pull_reply(c->sync, msg->cat.peer,
				      msg->body.data ? msg->body.data : "",
				      msg->body.len, loop_now_ms());
		break;
	default:
		return;
	}
	catalogue_run(c);
}

static bool catalogue_busy(struct task *task)
{
	return catsync_busy(((struct catalogue *)task)->sync);
}

static const struct task_ops catalogue_ops = {
	.name = "catalogue",
	.handle = catalogue_handle,
	.busy = catalogue_busy,
};

/*
 * Creates the catalogue task, which starts at revision 0 without a broadcast.
 * Each MSG_CAT_EDIT gets exactly one MSG_CAT_EDIT_REPLY within
 * CATSYNC_EDIT_TIMEOUT_MS.
 */
struct task *catalogue_new(const struct env *env, struct err *err)
{
	struct catalogue *c = xcalloc(1, sizeof(*c));

	(void)err;
	c->task.ops = &catalogue_ops;
	c->env = *env;
	c->sync = catsync_new(env->conf->id, env->conf->az, env->conf->region);
	c->timer = (struct timer){ .fn = catalogue_on_timer, .ctx = c };
	c->revision = ctr_gauge("jayspoke_catalogue_revision",
				"Revision of the catalogue in force");
	c->edits_accepted = ctr_counter("jayspoke_catalogue_edits_total",
					"Edits that took effect");
	c->edits_refused =
		ctr_counter("jayspoke_catalogue_refused_total",
			    "Edits that were answered with an error");
	c->bad_documents = ctr_counter(
		"jayspoke_catalogue_bad_documents_total",
		"Documents of the store or a peer with a wrong form");
	bus_register(env->bus, TASK_CATALOGUE, &c->task);
	timer_start(env->loop, &c->timer, 0);
	c->initial_read_timer =
		(struct timer){ .fn = catalogue_initial_read, .ctx = c };
	timer_start(env->loop, &c->initial_read_timer, 0);
	return &c->task;
}
