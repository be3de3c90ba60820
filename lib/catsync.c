#include "catsync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NEVER UINT64_MAX

enum edit_step {
	EDIT_START, /* no call sent yet */
	EDIT_READ,  /* read the head */
	EDIT_LOAD,  /* wait for the base snapshot of the head */
	EDIT_BASE,  /* write a new base snapshot */
	EDIT_WRITE  /* compare-and-swap the head */
};

struct edit {
	struct edit *next;
	uint32_t ref;
	uint64_t revision; /* that the changes are based on */
	json_t *changes;
	char id[CATHEAD_ID_MAX]; /* write id */
	uint64_t deadline_ms;
	enum edit_step step;
	uint32_t call;		/* outstanding call to the store, 0 if none */
	uint64_t step_due_ms;	/* earliest time of the step */
	bool in_doubt;		/* a write of the head has an unknown result */
	struct cat *cat;	/* catalogue after the edit, once prepared */
	struct cathead head;	/* to be written */
	uint64_t index;		/* modify index of the head to replace */
	bool writes_base;	/* the edit writes a new base snapshot */
	uint64_t replaced_base; /* base revision before it, 0 if none */
};

struct queued_action {
	struct queued_action *next;
	struct catsync_action action;
};

struct catsync {
	char id[CATSYNC_ID_MAX];
	char az[CATSYNC_ID_MAX];
	char region[CATSYNC_ID_MAX];
	struct cat *cat;
	struct cathead change_log; /* latest changes up to cat, for peers */

	struct cathead head; /* newest head read, if head_valid */
	uint64_t head_index;
	bool head_valid;

	bool watcher;	     /* this daemon watches the head in the store */
	bool watch_answered; /* the last blocking read was answered */
	uint32_t watch_call;
	uint64_t watch_index;
	uint64_t watch_sent_ms;
	uint64_t watch_due_ms; /* next read */

	struct cathead load; /* head whose base is read, if loading */
	bool loading;
	uint32_t load_call;
	uint64_t load_due_ms;

	struct catsync_peer *peers;
	uint32_t peer_count;
	bool lagging; /* a peer has a higher revision */
	uint64_t lagging_since_ms;
	bool pulling;
	uint64_t pull_due_ms; /* timeout while pulling, else next attempt */
	char pull_peer[CATSYNC_ID_MAX];
	char pull_failed_peer[CATSYNC_ID_MAX];

	struct edit *edits;
	uint32_t edit_count;
	uint32_t last_call;
	struct queued_action *actions;
	struct queued_action **actions_tail;
};

enum head_status { HEAD_STALE, HEAD_CURRENT, HEAD_LOADING, HEAD_INVALID };

static void *must_alloc(size_t size)
{
	void *p = calloc(1, size);

	if (!p)
		abort();
	return p;
}

static void copy_text(char *to, const char *from, size_t size)
{
	snprintf(to, size, "%s", from);
}

/*
 * Returns a state machine at revision 0 for the daemon @id of @az in @region,
 * to be released with catsync_free().
 */
struct catsync *catsync_new(const char *id, const char *az, const char *region)
{
	struct catsync *cs = must_alloc(sizeof(*cs));

	copy_text(cs->id, id, sizeof(cs->id));
	copy_text(cs->az, az, sizeof(cs->az));
	copy_text(cs->region, region, sizeof(cs->region));
	cs->cat = cat_new();
	cathead_init(&cs->change_log, 0);
	cs->watcher = true;
	cs->actions_tail = &cs->actions;
	return cs;
}

static void edit_free(struct edit *e)
{
	json_decref(e->changes);
	cat_free(e->cat);
	cathead_free(&e->head);
	free(e);
}

/* Releases @cs and its queued actions. */
void catsync_free(struct catsync *cs)
{
	struct catsync_action action;

	while (catsync_next(cs, &action))
		free(action.body);
	while (cs->edits) {
		struct edit *e = cs->edits;

		cs->edits = e->next;
		edit_free(e);
	}
	cat_free(cs->cat);
	cathead_free(&cs->change_log);
	cathead_free(&cs->head);
	cathead_free(&cs->load);
	free(cs->peers);
	free(cs);
}

/* Returns the catalogue in force; valid until the next event. */
const struct cat *catsync_cat(const struct catsync *cs)
{
	return cs->cat;
}

/* Returns true while an edit is queued or in progress. */
bool catsync_busy(const struct catsync *cs)
{
	return cs->edits != NULL;
}

/* Dequeues the next action into @action; returns false if there is none. */
bool catsync_next(struct catsync *cs, struct catsync_action *action)
{
	struct queued_action *first = cs->actions;

	if (!first)
		return false;
	*action = first->action;
	cs->actions = first->next;
	if (!cs->actions)
		cs->actions_tail = &cs->actions;
	free(first);
	return true;
}

static struct catsync_action *emit(struct catsync *cs, enum catsync_op op)
{
	struct queued_action *queued = must_alloc(sizeof(*queued));

	queued->action.op = op;
	*cs->actions_tail = queued;
	cs->actions_tail = &queued->next;
	return &queued->action;
}

static void emit_warning(struct catsync *cs, const struct err *err)
{
	emit(cs, CATSYNC_WARN)->err = *err;
}

/* Queues a store call; its reference is never 0. */
static struct catsync_action *emit_call(struct catsync *cs, enum catsync_op op,
					const char *key, uint64_t index)
{
	struct catsync_action *action = emit(cs, op);

	if (!++cs->last_call)
		cs->last_call = 1;
	action->ref = cs->last_call;
	action->index = index;
	copy_text(action->key, key, sizeof(action->key));
	return action;
}

static void snap_key(char key[CATSYNC_KEY_MAX], uint64_t revision)
{
	snprintf(key, CATSYNC_KEY_MAX, CATHEAD_SNAP "%llu",
		 (unsigned long long)revision);
}

static void change_log_append(struct catsync *cs, json_t *changes)
{
	while (cathead_full(&cs->change_log, changes))
		cathead_drop(&cs->change_log, 1);
	cathead_push(&cs->change_log, changes, "");
}

static void cat_set(struct catsync *cs, struct cat *cat)
{
	cat_free(cs->cat);
	cs->cat = cat;
	emit(cs, CATSYNC_CHANGED)->revision = cat->revision;
}

/* Installs @cat, the result of @changes with one item for each revision. */
static void cat_advance(struct catsync *cs, struct cat *cat,
			const json_t *changes)
{
	for (size_t i = 0; i < json_array_size(changes); i++)
		change_log_append(cs, json_array_get(changes, i));
	cat_set(cs, cat);
}

/* Installs @cat, when the changes up to its revision are not available. */
static void cat_replace(struct catsync *cs, struct cat *cat)
{
	cathead_free(&cs->change_log);
	cathead_init(&cs->change_log, cat->revision);
	cat_set(cs, cat);
}

static void load_start(struct catsync *cs, const struct cathead *head,
		       uint64_t now_ms)
{
	if (cs->loading && cs->load.revision > head->revision)
		return;
	if (!cs->loading || cs->load.base != head->base) {
		cs->load_call = 0;
		cs->load_due_ms = now_ms;
	}
	cathead_free(&cs->load);
	cathead_copy(&cs->load, head);
	cs->loading = true;
}

static void load_end(struct catsync *cs)
{
	cathead_free(&cs->load);
	cs->loading = false;
	cs->load_call = 0;
}

/*
 * Applies a head that was read at @index. A head older than the catalogue is
 * ignored, so that the revision never decreases.
 */
static enum head_status head_update(struct catsync *cs,
				    const struct cathead *head, uint64_t index,
				    uint64_t now_ms)
{
	struct err err = { 0 };
	struct cat *next;
	json_t *changes;

	if (head->revision < cs->cat->revision)
		return HEAD_STALE;
	if (!cs->head_valid || head->revision > cs->head.revision ||
	    (head->revision == cs->head.revision && index > cs->head_index)) {
		cathead_free(&cs->head);
		cathead_copy(&cs->head, head);
		cs->head_index = index;
		cs->head_valid = true;
	}
	if (head->revision == cs->cat->revision)
		return HEAD_CURRENT;
	if (!cathead_covers(head, cs->cat->revision)) {
		load_start(cs, head, now_ms);
		return HEAD_LOADING;
	}
	next = cathead_apply(head, cs->cat, &err);
	if (!next) {
		emit_warning(cs, &err);
		return HEAD_INVALID;
	}
	changes = cathead_since(head, cs->cat->revision);
	cat_advance(cs, next, changes);
	json_decref(changes);
	return HEAD_CURRENT;
}

/*
 * Decodes the result of a read of the head; an absent key is the head of
 * revision 0. Returns false, with nothing to release, if the read failed or the
 * head is malformed.
 */
static bool head_decode(struct catsync *cs, enum catsync_status status,
			const char *body, size_t len, struct cathead *head)
{
	struct err err = { 0 };

	if (status == CATSYNC_ABSENT) {
		cathead_init(head, 0);
		return true;
	}
	if (status != CATSYNC_OK)
		return false;
	if (cathead_parse(head, body, len, &err))
		return true;
	emit_warning(cs, &err);
	return false;
}

static void edit_pop(struct catsync *cs)
{
	struct edit *e = cs->edits;

	cs->edits = e->next;
	cs->edit_count--;
	edit_free(e);
}

static void edit_reply(struct catsync *cs, uint32_t ref, const struct err *err,
		       uint64_t revision)
{
	struct catsync_action *action = emit(cs, CATSYNC_REPLY);

	action->ref = ref;
	action->err = *err;
	action->revision = revision;
}

/* Ends the first edit with an error. */
static void edit_reject(struct catsync *cs, const struct err *err)
{
	uint64_t revision = cs->cat->revision;

	if (cs->head_valid && cs->head.revision > revision)
		revision = cs->head.revision;
	edit_reply(cs, cs->edits->ref, err, revision);
	edit_pop(cs);
}

static void edit_conflict(struct catsync *cs)
{
	struct err err = { 0 };
	uint64_t revision = cs->cat->revision;

	if (cs->head_valid && cs->head.revision > revision)
		revision = cs->head.revision;
	err_set(&err, ERR_CONFLICT,
		"catalogue: edit is based on revision %llu, current is %llu",
		(unsigned long long)cs->edits->revision,
		(unsigned long long)revision);
	edit_reject(cs, &err);
}

static void snap_delete(struct catsync *cs, uint64_t revision)
{
	char key[CATSYNC_KEY_MAX];

	snap_key(key, revision);
	emit_call(cs, CATSYNC_DELETE, key, 0);
}

static void edit_accept(struct catsync *cs)
{
	static const struct err none;
	struct edit *e = cs->edits;

	if (e->writes_base && e->replaced_base)
		snap_delete(cs, e->replaced_base);
	edit_reply(cs, e->ref, &none, e->revision + 1);
	edit_pop(cs);
}

static void edit_fail_uncertain(struct catsync *cs)
{
	struct err err = { 0 };

	err_set(&err, ERR_LOST,
		"catalogue: edit of revision %llu may have been applied",
		(unsigned long long)cs->edits->revision);
	edit_reject(cs, &err);
}

static void edit_step(struct edit *e, enum edit_step step, uint64_t at_ms)
{
	e->step = step;
	e->call = 0;
	e->step_due_ms = at_ms;
}

static bool edit_check_size(const struct cat *cat, struct err *err)
{
	size_t len;

	free(cat_encode(cat, &len));
	if (len <= CAT_BYTES_MAX)
		return true;
	return err_set(err, ERR_TOO_LARGE, "catalogue: %zu bytes, limit %d",
		       len, CAT_BYTES_MAX);
}

/*
 * Builds the head that contains the first edit and replaces @head, read at
 * @index. Both @head and the catalogue are at the revision of the edit. A
 * repeated write has the same content, because a revision must never have two
 * contents.
 */
static void edit_prepare(struct catsync *cs, const struct cathead *head,
			 uint64_t index, uint64_t now_ms)
{
	struct edit *e = cs->edits;
	struct err err = { 0 };

	e->index = index;
	if (e->cat) {
		edit_step(e, EDIT_WRITE, now_ms);
		return;
	}
	e->cat = cat_apply(cs->cat, e->changes, &err);
	if (!e->cat || !edit_check_size(e->cat, &err)) {
		edit_reject(cs, &err);
		return;
	}
	cathead_copy(&e->head, head);
	edit_step(e, EDIT_WRITE, now_ms);
	if (cathead_full(&e->head, e->changes)) {
		e->writes_base = true;
		e->replaced_base = e->head.base;
		cathead_drop(&e->head, SIZE_MAX);
		edit_step(e, EDIT_BASE, now_ms);
	}
	cathead_push(&e->head, e->changes, e->id);
}

/*
 * Selects the result or the next step of the first edit by a newly read head.
 */
static void edit_resolve(struct catsync *cs, const struct cathead *head,
			 uint64_t index, uint64_t now_ms)
{
	struct edit *e = cs->edits;
	enum head_status status = head_update(cs, head, index, now_ms);

	if (status == HEAD_STALE) {
		edit_step(e, EDIT_READ, now_ms + CATSYNC_RETRY_MS);
		return;
	}
	if (head->revision > e->revision) {
		switch (cathead_check_id(head, e->revision + 1, e->id)) {
		case CATHEAD_ID_MATCH:
			edit_accept(cs);
			return;
		case CATHEAD_ID_EXPIRED:
			if (e->in_doubt)
				edit_fail_uncertain(cs);
			else
				edit_conflict(cs);
			return;
		case CATHEAD_ID_MISMATCH:
			break;
		}
		/* No later head can refer to the base that this edit wrote. */
		if (e->writes_base && head->base != e->revision)
			snap_delete(cs, e->revision);
		edit_conflict(cs);
	} else if (head->revision < e->revision) {
		edit_conflict(cs);
	} else if (status == HEAD_LOADING) {
		edit_step(e, EDIT_LOAD, now_ms);
	} else if (status == HEAD_INVALID) {
		edit_step(e, EDIT_READ, now_ms + CATSYNC_RETRY_MS);
	} else {
		edit_prepare(cs, head, index, now_ms);
	}
}

static void edit_on_read(struct catsync *cs, enum catsync_status status,
			 uint64_t index, const char *body, size_t len,
			 uint64_t now_ms)
{
	struct cathead head;

	if (!head_decode(cs, status, body, len, &head)) {
		edit_step(cs->edits, EDIT_READ, now_ms + CATSYNC_RETRY_MS);
		return;
	}
	edit_resolve(cs, &head, status == CATSYNC_ABSENT ? 0 : index, now_ms);
	cathead_free(&head);
}

/* Handles the successful write of the head. */
static void edit_on_written(struct catsync *cs)
{
	struct edit *e = cs->edits;

	/* The reply does not contain the index of the new head. */
	if (cs->head_valid && cs->head.revision <= e->revision)
		cs->head_valid = false;
	if (cs->cat->revision == e->revision) {
		change_log_append(cs, e->changes);
		cat_set(cs, e->cat);
		e->cat = NULL;
	}
	edit_accept(cs);
}

static void edit_on_write(struct catsync *cs, enum catsync_status status,
			  uint64_t now_ms)
{
	struct edit *e = cs->edits;

	switch (status) {
	case CATSYNC_OK:
		edit_on_written(cs);
		return;
	case CATSYNC_CONFLICT:
		cs->head_valid = false;
		edit_step(e, EDIT_READ, now_ms);
		return;
	case CATSYNC_FAILED:
		edit_step(e, EDIT_WRITE, now_ms + CATSYNC_RETRY_MS);
		return;
	case CATSYNC_ABSENT:
	case CATSYNC_UNKNOWN:
		break;
	}
	e->in_doubt = true;
	edit_step(e, EDIT_READ, now_ms);
}

static void edit_on_store(struct catsync *cs, enum catsync_status status,
			  uint64_t index, const char *body, size_t len,
			  uint64_t now_ms)
{
	struct edit *e = cs->edits;

	if (e->step == EDIT_READ)
		edit_on_read(cs, status, index, body, len, now_ms);
	else if (e->step == EDIT_WRITE)
		edit_on_write(cs, status, now_ms);
	/* On a conflict another daemon wrote the same base of that revision. */
	else if (status == CATSYNC_OK || status == CATSYNC_CONFLICT)
		edit_step(e, EDIT_WRITE, now_ms);
	else
		edit_step(e, EDIT_BASE, now_ms + CATSYNC_RETRY_MS);
}

static void edit_expire(struct catsync *cs)
{
	struct edit *e = cs->edits;
	struct err err = { 0 };

	if (e->in_doubt || (e->step == EDIT_WRITE && e->call)) {
		edit_fail_uncertain(cs);
		return;
	}
	err_set(&err, ERR_STORE_DOWN,
		"catalogue: the store did not answer within %d ms",
		CATSYNC_EDIT_TIMEOUT_MS);
	edit_reject(cs, &err);
}

static void edit_write(struct catsync *cs, struct edit *e)
{
	struct catsync_action *action;
	char key[CATSYNC_KEY_MAX] = CATHEAD_KEY;

	if (e->step == EDIT_WRITE) {
		action = emit_call(cs, CATSYNC_PUT, key, e->index);
		action->body = cathead_encode(&e->head, &action->body_len);
	} else if (cs->cat->revision == e->revision) {
		snap_key(key, e->revision);
		action = emit_call(cs, CATSYNC_PUT, key, 0);
		action->body = cat_encode(cs->cat, &action->body_len);
	} else {
		edit_conflict(cs);
		return;
	}
	e->call = action->ref;
}

static void edit_start(struct catsync *cs, struct edit *e, uint64_t now_ms)
{
	if (cs->cat->revision > e->revision)
		edit_conflict(cs);
	else if (cs->head_valid && cs->head.revision == e->revision &&
		 cs->cat->revision == e->revision)
		edit_prepare(cs, &cs->head, cs->head_index, now_ms);
	else
		edit_step(e, EDIT_READ, now_ms);
}

/* Runs the next step of the first edit; returns false if none is due. */
static bool edit_run(struct catsync *cs, uint64_t now_ms)
{
	struct edit *e = cs->edits;

	if (!e)
		return false;
	if (now_ms >= e->deadline_ms) {
		edit_expire(cs);
		return true;
	}
	if (e->call || now_ms < e->step_due_ms)
		return false;
	switch (e->step) {
	case EDIT_START:
		edit_start(cs, e, now_ms);
		return true;
	case EDIT_LOAD:
		if (cs->loading)
			return false;
		edit_step(e, EDIT_READ,
			  cs->cat->revision < e->revision
				  ? now_ms + CATSYNC_RETRY_MS
				  : now_ms);
		return true;
	case EDIT_READ:
		e->call = emit_call(cs, CATSYNC_GET, CATHEAD_KEY, 0)->ref;
		return true;
	case EDIT_BASE:
	case EDIT_WRITE:
		edit_write(cs, e);
		return true;
	}
	return false;
}

/*
 * Queues an edit, which ends with exactly one CATSYNC_REPLY: ERR_NONE if it was
 * applied; ERR_CONFLICT, ERR_BAD_REQUEST, ERR_TOO_LARGE, ERR_OVERLOADED or
 * ERR_STORE_DOWN if it was not and never will be; ERR_LOST if that is unknown.
 */
void catsync_edit(struct catsync *cs, const struct catsync_edit *edit,
		  uint64_t now_ms)
{
	struct edit **link = &cs->edits;
	struct edit *e;
	struct err err = { 0 };
	json_t *changes;

	if (cs->edit_count >= CATSYNC_EDITS_MAX) {
		err_set(&err, ERR_OVERLOADED,
			"catalogue: edit queue is full, limit %d",
			CATSYNC_EDITS_MAX);
		edit_reply(cs, edit->ref, &err, cs->cat->revision);
		return;
	}
	changes = cat_json(edit->body, edit->len, CAT_EDIT_BYTES_MAX, "changes",
			   &err);
	if (!changes) {
		edit_reply(cs, edit->ref, &err, cs->cat->revision);
		return;
	}
	e = must_alloc(sizeof(*e));
	e->ref = edit->ref;
	e->revision = edit->revision;
	e->changes = changes;
	copy_text(e->id, edit->write_id, sizeof(e->id));
	e->deadline_ms = now_ms + CATSYNC_EDIT_TIMEOUT_MS;
	while (*link)
		link = &(*link)->next;
	*link = e;
	cs->edit_count++;
}

static void watch_on_store(struct catsync *cs, enum catsync_status status,
			   uint64_t index, const char *body, size_t len,
			   uint64_t now_ms)
{
	struct cathead head;
	bool modified = index != cs->watch_index;

	cs->watch_call = 0;
	cs->watch_answered = status == CATSYNC_OK || status == CATSYNC_ABSENT;
	if (!cs->watch_answered) {
		cs->watch_due_ms = now_ms + CATSYNC_RETRY_MS;
		return;
	}
	cs->watch_due_ms = cs->watch_sent_ms + CATSYNC_WATCH_INTERVAL_MIN_MS;
	cs->watch_index = index;
	if (!head_decode(cs, status, body, len, &head))
		return;
	if (modified && index)
		cs->watch_due_ms = now_ms;
	head_update(cs, &head, status == CATSYNC_ABSENT ? 0 : index, now_ms);
	cathead_free(&head);
}

/* Returns the catalogue at the revision of the loaded head, or NULL. */
static struct cat *load_parse(struct catsync *cs, const char *body, size_t len)
{
	struct err err = { 0 };
	struct cat *base = cat_parse(body, len, &err);
	struct cat *cat = NULL;

	if (base && base->revision != cs->load.base)
		err_set(&err, ERR_BAD_REQUEST,
			"catalogue: base %llu has revision %llu",
			(unsigned long long)cs->load.base,
			(unsigned long long)base->revision);
	else if (base)
		cat = cathead_apply(&cs->load, base, &err);
	cat_free(base);
	if (!cat)
		emit_warning(cs, &err);
	return cat;
}

static void load_on_store(struct catsync *cs, enum catsync_status status,
			  const char *body, size_t len, uint64_t now_ms)
{
	struct cat *cat = NULL;

	cs->load_call = 0;
	if (status != CATSYNC_OK && status != CATSYNC_ABSENT) {
		cs->load_due_ms = now_ms + CATSYNC_RETRY_MS;
		return;
	}
	if (status == CATSYNC_OK)
		cat = load_parse(cs, body, len);
	if (!cat) {
		/* A later edit may have replaced the base and deleted it. */
		cs->head_valid = false;
	} else if (cat->revision > cs->cat->revision) {
		cat_replace(cs, cat);
	} else {
		cat_free(cat);
	}
	load_end(cs);
}

/*
 * Handles the result of the store call @ref; @index is the modify index of the
 * key, or that of the reply if the key is absent. Results of abandoned calls
 * are ignored.
 */
void catsync_on_store_reply(struct catsync *cs, uint32_t ref,
			    enum catsync_status status, uint64_t index,
			    const char *body, size_t len, uint64_t now_ms)
{
	if (!ref)
		return;
	if (ref == cs->watch_call)
		watch_on_store(cs, status, index, body, len, now_ms);
	else if (ref == cs->load_call)
		load_on_store(cs, status, body, len, now_ms);
	else if (cs->edits && ref == cs->edits->call)
		edit_on_store(cs, status, index, body, len, now_ms);
}

static void watch_run(struct catsync *cs, uint64_t now_ms)
{
	struct catsync_action *action;

	if (!cs->watcher || cs->watch_call || now_ms < cs->watch_due_ms)
		return;
	action = emit_call(cs, CATSYNC_GET, CATHEAD_KEY, cs->watch_index);
	action->wait_ms = cs->watch_index ? CATSYNC_WATCH_WAIT_MS : 0;
	cs->watch_call = action->ref;
	cs->watch_sent_ms = now_ms;
}

static void load_run(struct catsync *cs, uint64_t now_ms)
{
	char key[CATSYNC_KEY_MAX];

	if (!cs->loading || cs->load_call || now_ms < cs->load_due_ms)
		return;
	if (cs->load.revision <= cs->cat->revision) {
		load_end(cs);
		return;
	}
	snap_key(key, cs->load.base);
	cs->load_call = emit_call(cs, CATSYNC_GET, key, 0)->ref;
}

/*
 * Replaces the table of live peers, which excludes this daemon. The live daemon
 * with the lowest id of the region is the one that watches the store.
 */
void catsync_set_peers(struct catsync *cs, const struct catsync_peer *peers,
		       uint32_t count, uint64_t now_ms)
{
	bool watcher = true;

	free(cs->peers);
	cs->peers = must_alloc((count + 1) * sizeof(*peers));
	if (count)
		memcpy(cs->peers, peers, count * sizeof(*peers));
	cs->peer_count = count;
	for (uint32_t i = 0; i < count; i++) {
		if (!strcmp(peers[i].region, cs->region) &&
		    strcmp(peers[i].id, cs->id) < 0)
			watcher = false;
	}
	if (watcher && !cs->watcher) {
		cs->watch_index = 0;
		cs->watch_answered = false;
		cs->watch_due_ms = now_ms;
	}
	cs->watcher = watcher;
}

static int peer_distance(const struct catsync *cs,
			 const struct catsync_peer *peer)
{
	if (!strcmp(peer->az, cs->az))
		return 0;
	return strcmp(peer->region, cs->region) == 0 ? 1 : 2;
}

/*
 * Returns the nearest peer with a higher revision, or NULL. The peer of the
 * last failed pull is selected only if there is no other.
 */
static const struct catsync_peer *peer_select(const struct catsync *cs)
{
	const struct catsync_peer *best = NULL;
	int best_cost = 0;

	for (uint32_t i = 0; i < cs->peer_count; i++) {
		const struct catsync_peer *peer = &cs->peers[i];
		int cost = peer_distance(cs, peer);

		if (peer->revision <= cs->cat->revision)
			continue;
		if (strcmp(peer->id, cs->pull_failed_peer) == 0)
			cost += 3;
		if (!best || cost < best_cost) {
			best = peer;
			best_cost = cost;
		}
	}
	return best;
}

static void pull_fail(struct catsync *cs, uint64_t next_ms)
{
	copy_text(cs->pull_failed_peer, cs->pull_peer,
		  sizeof(cs->pull_failed_peer));
	cs->pulling = false;
	cs->pull_due_ms = next_ms;
}

static void pull_run(struct catsync *cs, uint64_t now_ms)
{
	const struct catsync_peer *peer = peer_select(cs);
	struct catsync_action *action;

	if (peer && !cs->lagging)
		cs->lagging_since_ms = now_ms;
	cs->lagging = peer != NULL;
	if (cs->pulling && now_ms >= cs->pull_due_ms) {
		pull_fail(cs, now_ms);
		peer = peer_select(cs);
	}
	if (!peer || cs->pulling || now_ms < cs->pull_due_ms)
		return;
	if (cs->watcher && cs->watch_answered &&
	    now_ms < cs->lagging_since_ms + CATSYNC_PULL_DELAY_MS)
		return;
	action = emit(cs, CATSYNC_PULL);
	copy_text(action->peer, peer->id, sizeof(action->peer));
	action->revision = cs->cat->revision;
	copy_text(cs->pull_peer, peer->id, sizeof(cs->pull_peer));
	cs->pulling = true;
	cs->pull_due_ms = now_ms + CATSYNC_PULL_TIMEOUT_MS;
}

static uint64_t earlier(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t next_due(const struct catsync *cs)
{
	uint64_t due = NEVER;

	if (cs->edits) {
		due = cs->edits->deadline_ms;
		if (!cs->edits->call && cs->edits->step != EDIT_LOAD)
			due = earlier(due, cs->edits->step_due_ms);
	}
	if (cs->watcher && !cs->watch_call)
		due = earlier(due, cs->watch_due_ms);
	if (cs->loading && !cs->load_call)
		due = earlier(due, cs->load_due_ms);
	if (cs->pulling)
		return earlier(due, cs->pull_due_ms);
	if (cs->lagging && cs->watcher && cs->watch_answered &&
	    cs->pull_due_ms < cs->lagging_since_ms + CATSYNC_PULL_DELAY_MS)
		return earlier(due,
			       cs->lagging_since_ms + CATSYNC_PULL_DELAY_MS);
	if (cs->lagging)
		return earlier(due, cs->pull_due_ms);
	return due;
}

/*
 * Queues the actions that are due. To be called after each event and at the
 * returned time in ms; UINT64_MAX means that no timer is needed.
 */
uint64_t catsync_tick(struct catsync *cs, uint64_t now_ms)
{
	watch_run(cs, now_ms);
	load_run(cs, now_ms);
	while (edit_run(cs, now_ms))
		;
	load_run(cs, now_ms);
	pull_run(cs, now_ms);
	return next_due(cs);
}

/*
 * Encodes the update for a peer at revision @since: the changes after it, if
 * the change log covers them, otherwise the whole document. Returns false if
 * the peer is up to date; otherwise @body is to be released with free().
 */
bool catsync_encode_since(const struct catsync *cs, uint64_t since, char **body,
			  size_t *len)
{
	json_t *root;

	if (since >= cs->cat->revision)
		return false;
	if (!cathead_covers(&cs->change_log, since)) {
		*body = cat_encode(cs->cat, len);
		return true;
	}
	root = json_pack("{s:I,s:I,s:o}", "since", (json_int_t)since,
			 "revision", (json_int_t)cs->cat->revision, "changes",
			 cathead_since(&cs->change_log, since));
	*body = root ? json_dumps(root, JSON_COMPACT) : NULL;
	if (!*body)
		abort();
	json_decref(root);
	*len = strlen(*body);
	return true;
}

/* Applies an update {since, revision, changes} from a peer. */
static bool state_apply_changes(struct catsync *cs, const json_t *root,
				struct err *err)
{
	struct cathead head = { .changes = json_object_get(root, "changes") };
	struct cat *next;
	json_t *changes;

	if (!cat_json_u64(root, "since", &head.base) ||
	    !cat_json_u64(root, "revision", &head.revision) ||
	    !json_is_array(head.changes) || head.base > head.revision ||
	    json_array_size(head.changes) != head.revision - head.base)
		return err_set(err, ERR_BAD_REQUEST,
			       "state: malformed changes");
	if (head.revision <= cs->cat->revision)
		return true;
	if (!cathead_covers(&head, cs->cat->revision))
		return err_set(err, ERR_BAD_REQUEST,
			       "state: changes do not cover revision %llu",
			       (unsigned long long)cs->cat->revision);
	next = cathead_apply(&head, cs->cat, err);
	if (!next)
		return false;
	changes = cathead_since(&head, cs->cat->revision);
	cat_advance(cs, next, changes);
	json_decref(changes);
	return true;
}

static bool state_apply(struct catsync *cs, const char *body, size_t len,
			struct err *err)
{
	json_t *root = cat_json(body, len, CAT_BYTES_MAX, "state", err);
	struct cat *cat;
	bool ok;

	if (!root)
		return false;
	ok = json_object_get(root, "since") != NULL;
	if (ok)
		ok = state_apply_changes(cs, root, err);
	json_decref(root);
	if (ok || (err->kind != ERR_NONE))
		return ok;
	cat = cat_parse(body, len, err);
	if (!cat)
		return false;
	if (cat->revision > cs->cat->revision)
		cat_replace(cs, cat);
	else
		cat_free(cat);
	return true;
}

/*
 * Handles the reply of @peer to a pull. An empty body means that the peer was
 * unreachable or had no newer revision. After a pull without a newer revision
 * the next one waits CATSYNC_RETRY_MS and prefers another peer.
 */
void catsync_on_pull_reply(struct catsync *cs, const char *peer,
			   const char *body, size_t len, uint64_t now_ms)
{
	struct err err = { 0 };
	uint64_t before = cs->cat->revision;
	bool ok = len && state_apply(cs, body, len, &err) &&
		  cs->cat->revision > before;

	if (err.kind != ERR_NONE)
		emit_warning(cs, &err);
	if (!cs->pulling || strcmp(peer, cs->pull_peer) != 0)
		return;
	cs->pulling = false;
	cs->pull_due_ms = now_ms;
	if (ok)
		cs->pull_failed_peer[0] = '\0';
	else
		pull_fail(cs, now_ms + CATSYNC_RETRY_MS);
}
