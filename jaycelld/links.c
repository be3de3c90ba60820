/*
 * Connections between daemons. Each follower dials the holder. One connection
 * carries requests, responses, stored jobs and periodic state frames, which
 * also serve as heartbeats.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "addr.h"
#include "celld.h"
#include "mp.h"
#include "peer/link.h"

#define TICK_MS 50
#define STATE_INTERVAL_MS 150
/* Limit on connecting and authenticating. */
#define HANDSHAKE_MS 500
#define REDIAL_MS 100
/* A connection to a former holder is kept this long, to send a last frame. */
#define FORMER_CLOSE_MS 200
/*
 * A connection without frames for this long is closed and dialled again: it may
 * have been lost on the way.
 */
#define HOLDER_TIMEOUT_MS 800
#define FOLLOWER_TIMEOUT_MS 2000
/* A daemon lost longer ago than this is considered removed. */
#define LOST_FOLLOWER_MS 60000
#define FOLLOWERS_MAX 512
#define BACKLOG 256

/* Frame types on the wire. */
enum frame_type {
	FRAME_STATE = 64,
	FRAME_JOB,
	FRAME_QUERY,
	FRAME_REPLY,
	FRAME_ADVICE_REQUEST,
	FRAME_ADVICE,
	FRAME_NEW_HOLDER,
	FRAME_OVERLOAD
};

/* A slot for a follower; its number, from 1 on, is the lane of the daemon. */
struct follower {
	struct link *link;	 /* NULL: the slot is free */
	char name[MSG_NAME_MAX]; /* latest daemon in the slot */
	uint64_t lost_ms;	 /* when its connection was lost */
	bool listed;	 /* the list of daemons in the store may name it */
	bool was_listed; /* before the present list */
	uint32_t generation;
	uint64_t term;	  /* latest term known to it */
	bool larger;	  /* it should lead rather than a small daemon */
	uint64_t echo_ms; /* latest state frame that it has acknowledged */
};

struct links {
	struct celld *d;
	struct link_env env;
	h2o_socket_t *listener;
	char holder_addr[CELL_ADDR_MAX]; /* empty: none */
	struct link *holder;		 /* dialled */
	struct link *former;		 /* previous holder, to be closed */
	uint64_t former_ms;		 /* when it is closed */
	uint64_t holder_token;		 /* reported by it, 0: none */
	bool holder_valid;
	uint32_t holder_store_age;
	uint64_t holder_heard_ms;
	uint64_t holder_clock_ms; /* of its latest state frame on this link */
	bool holder_refused;
	uint64_t redial_ms;
	uint64_t state_ms;
	struct follower followers[FOLLOWERS_MAX];
	uint32_t follower_count; /* slots in use or used before */
	/* The holder before this daemon, if it has not connected; or empty. */
	char former_addr[CELL_ADDR_MAX];
	uint64_t expected_ms;	  /* since when */
	bool listed_without_slot; /* the list names more daemons than slots */
	struct link **pending; /* accepted, not authenticated, oldest first */
	uint32_t pending_count;
	struct cd_limits limits;
	struct cd_limited *limited;
	struct timer tick;
};

struct remote_advice {
	struct links *links;
	uint64_t opened_ms; /* with link: identifies the connection */
	struct link *link;
};

static void pack_blob(msgpack_packer *pk, const struct buf *blob)
{
	size_t len = blob ? blob->len : 0;

	msgpack_pack_bin(pk, len);
	if (len)
		msgpack_pack_bin_body(pk, blob->data, len);
}

static bool send_body(struct link *link, enum frame_type type, struct buf *body)
{
	bool sent =
		link && link->state == LINK_UP && link_send(link, type, body);

	buf_free(body);
	return sent;
}

static uint32_t store_age(const struct links *l, uint64_t now)
{
	uint64_t ok = pf_store_last_ok_ms(l->d->store);
	uint64_t age = ok ? now - ok : UINT32_MAX;

	return age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

/*
 * Sends a state frame. That of a follower tells if it should lead, that of a
 * holder if its term is valid, as in @valid. To a follower it carries the clock
 * of this daemon, which the follower returns. So a frame of a follower shows
 * which terms it knew of after that time, however long either frame waited.
 */
static void send_state(struct links *l, struct link *link, bool valid,
		       bool released, uint64_t now)
{
	struct buf body = { 0 };
	msgpack_packer pk;

	mp_open(&pk, &body);
	msgpack_pack_array(&pk, 5);
	if (link->dialled) {
		msgpack_pack_uint64(&pk, l->holder_clock_ms);
		msgpack_pack_uint64(&pk, terms_latest(l->d->terms));
	} else {
		msgpack_pack_uint64(&pk, terms_token(l->d->terms));
		msgpack_pack_uint64(&pk, now);
	}
	msgpack_pack_uint32(&pk, link->dialled
					 ? terms_should_lead(l->d->terms, now)
					 : valid);
	msgpack_pack_uint32(&pk, store_age(l, now));
	msgpack_pack_uint32(&pk, released);
	send_body(link, FRAME_STATE, &body);
}

/* Returns true if the holder is connected and has reported its token. */
bool links_holder_up(const struct links *l)
{
	return l->holder && l->holder->state == LINK_UP && l->holder_token;
}

/* Returns the loop time in ms of the latest state frame of a holder. */
uint64_t links_holder_heard_ms(const struct links *l)
{
	return l->holder_heard_ms;
}

/* Returns true if the holder's host refuses connections. */
bool links_holder_refused(const struct links *l)
{
	return l->holder_refused;
}

/* Returns whether the holder last reported its term as valid. */
bool links_holder_valid(const struct links *l)
{
	return l->holder_valid;
}

/* Returns the ms since the store served the holder, as last reported. */
uint32_t links_holder_store_age(const struct links *l)
{
	return l->holder_store_age;
}

/* Returns the number of connected followers. */
uint32_t links_followers(const struct links *l)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < l->follower_count; i++)
		n += l->followers[i].link != NULL;
	return n;
}

/*
 * Returns true if a follower that knows @term, and none after it, should lead
 * rather than a small daemon.
 */
bool links_larger_followers(const struct links *l, uint64_t term)
{
	bool found = false;

	for (uint32_t i = 0; i < l->follower_count && !found; i++) {
		const struct follower *f = &l->followers[i];

		found = f->link && f->larger && f->term == term;
	}
	return found;
}

/* Sends a request to the holder; returns false if there is no connection. */
bool links_send_query(struct links *l, uint32_t ref, enum cd_op op,
		      const char *text, const struct buf *blob)
{
	struct buf body = { 0 };
	msgpack_packer pk;

	mp_open(&pk, &body);
	msgpack_pack_array(&pk, 4);
	msgpack_pack_uint32(&pk, ref);
	msgpack_pack_uint32(&pk, op);
	mp_pack_text(&pk, text);
	pack_blob(&pk, blob);
	return send_body(l->holder, FRAME_QUERY, &body);
}

/* Notifies the holder of a stored job; returns false if it is not connected. */
bool links_send_job(struct links *l, const struct buf *record, bool fresh)
{
	struct buf body = { 0 };
	msgpack_packer pk;

	mp_open(&pk, &body);
	msgpack_pack_array(&pk, 2);
	pack_blob(&pk, record);
	msgpack_pack_uint32(&pk, fresh);
	return send_body(l->holder, FRAME_JOB, &body);
}

static struct link *follower_link(struct links *l, uint32_t handle)
{
	uint32_t at = handle & 0xffff;
	struct follower *f;

	if (!at || at > l->follower_count)
		return NULL;
	f = &l->followers[at - 1];
	return f->link && f->link->handle == handle ? f->link : NULL;
}

/* Sends a response to a follower, if it is still connected. */
void links_send_reply(struct links *l, const struct cd_origin *origin,
		      enum cd_status status, uint32_t number)
{
	struct link *link = follower_link(l, origin->link);
	struct buf body = { 0 };
	msgpack_packer pk;

	if (!link)
		return;
	mp_open(&pk, &body);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint32(&pk, origin->ref);
	msgpack_pack_uint32(&pk, status);
	msgpack_pack_uint32(&pk, number);
	send_body(link, FRAME_REPLY, &body);
}

/* Sends an advice request through a follower; returns false if it is gone. */
bool links_send_advice_request(struct links *l, uint32_t lane,
			       const struct cell_advice_request *q)
{
	struct buf body = { 0 };
	struct buf ids = { 0 };
	msgpack_packer pk;

	if (!lane || lane > l->follower_count)
		return false;
	for (uint32_t i = 0; i < q->count; i++) {
		buf_append(&ids, q->minions[i], strlen(q->minions[i]));
		buf_append(&ids, "\n", 1);
	}
	mp_open(&pk, &body);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint32(&pk, q->handle);
	mp_pack_text(&pk, q->step);
	mp_pack_text(&pk, ids.data);
	buf_free(&ids);
	return send_body(l->followers[lane - 1].link, FRAME_ADVICE_REQUEST,
			 &body);
}

static char *get_text(const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_STR)
		return NULL;
	return strndup(o->via.str.ptr, o->via.str.size);
}

static const msgpack_object *frame_fields(const struct frame *frame, uint32_t n)
{
	if (frame->body.type != MSGPACK_OBJECT_ARRAY ||
	    frame->body.via.array.size != n)
		return NULL;
	return frame->body.via.array.ptr;
}

static bool on_follower_state(struct links *l, struct link *link,
			      const msgpack_object *f)
{
	struct follower *follower = &l->followers[(link->handle & 0xffff) - 1];
	uint64_t echo_ms;
	uint32_t larger;

	if (!mp_get_u64(&f[0], &echo_ms) ||
	    !mp_get_u64(&f[1], &follower->term) || !mp_get_u32(&f[2], &larger))
		return false;
	follower->larger = larger;
	/* A daemon that returns no clock acknowledges nothing. */
	follower->echo_ms = echo_ms <= loop_now_ms() ? echo_ms : 0;
	return true;
}

static bool on_holder_state(struct links *l, const msgpack_object *f)
{
	uint64_t token;
	uint32_t valid;
	uint32_t released;
	bool was_up = links_holder_up(l);

	if (!mp_get_u64(&f[0], &token) ||
	    !mp_get_u64(&f[1], &l->holder_clock_ms) ||
	    !mp_get_u32(&f[2], &valid) ||
	    !mp_get_u32(&f[3], &l->holder_store_age) ||
	    !mp_get_u32(&f[4], &released))
		return false;
	l->holder_token = token;
	l->holder_valid = valid;
	l->holder_heard_ms = loop_now_ms();
	if (released)
		terms_on_released(l->d->terms);
	if (!was_up && links_holder_up(l)) {
		ev("holder-linked", "addr=%s token=%llu", l->holder_addr,
		   (unsigned long long)token);
		accept_replay_recent(l->d->acceptor);
		rpc_holder_changed(l->d->rpc);
	}
	return true;
}

static bool on_query(struct links *l, struct link *link,
		     const msgpack_object *f)
{
	struct cd_origin origin = { .link = link->handle };
	char *text = get_text(&f[2]);
	struct buf blob = { 0 };
	uint32_t op;
	bool ok = text && mp_get_u32(&f[0], &origin.ref) &&
		  mp_get_u32(&f[1], &op) && op < CD_OPS &&
		  f[3].type == MSGPACK_OBJECT_BIN;

	if (ok) {
		if (f[3].via.bin.size)
			blob = buf_copy(f[3].via.bin.ptr, f[3].via.bin.size);
		if (l->d->holder)
			holder_query(l->d->holder, &origin, (enum cd_op)op,
				     text, &blob);
		else
			links_send_reply(l, &origin, CD_RETRY, 0);
		buf_free(&blob);
	}
	free(text);
	return ok;
}

static bool on_reply(struct links *l, const msgpack_object *f)
{
	uint32_t ref;
	uint32_t status;
	uint32_t number;

	if (!mp_get_u32(&f[0], &ref) || !mp_get_u32(&f[1], &status) ||
	    status >= CD_STATUSES || !mp_get_u32(&f[2], &number))
		return false;
	rpc_reply(l->d->rpc, ref, (enum cd_status)status, number);
	return true;
}

static void on_remote_advice(void *ctx, uint32_t request_id, bool answered,
			     const struct cell_ticket *tickets, uint32_t count)
{
	struct remote_advice *r = ctx;
	struct links *l = r->links;
	struct buf rows = { 0 };
	struct buf body = { 0 };
	msgpack_packer pk;

	if (l->holder == r->link && l->holder &&
	    l->holder->opened_ms == r->opened_ms) {
		for (uint32_t i = 0; i < count; i++) {
			buf_append(&rows, tickets[i].minion,
				   strlen(tickets[i].minion));
			buf_append(&rows, " ", 1);
			buf_append(&rows, tickets[i].ticket,
				   strlen(tickets[i].ticket));
			buf_append(&rows, "\n", 1);
		}
		mp_open(&pk, &body);
		msgpack_pack_array(&pk, 3);
		msgpack_pack_uint32(&pk, request_id);
		msgpack_pack_uint32(&pk, answered);
		mp_pack_text(&pk, rows.data);
		send_body(l->holder, FRAME_ADVICE, &body);
		buf_free(&rows);
	}
	free(r);
}

/* Splits @text into up to @max lines, in place; returns their number. */
static uint32_t split_lines(char *text, char **lines, uint32_t max)
{
	uint32_t n = 0;
	char *save = NULL;

	for (char *line = strtok_r(text, "\n", &save); line && n < max;
	     line = strtok_r(NULL, "\n", &save))
		lines[n++] = line;
	return n;
}

static bool on_advice_request(struct links *l, const msgpack_object *f)
{
	char *lines[CELL_ADVICE_MINIONS_MAX];
	char *step = get_text(&f[1]);
	char *ids = get_text(&f[2]);
	struct remote_advice *r;
	uint32_t handle;
	uint32_t n;
	bool ok = step && ids && mp_get_u32(&f[0], &handle);

	if (ok) {
		n = split_lines(ids, lines, CELL_ADVICE_MINIONS_MAX);
		r = xcalloc(1, sizeof(*r));
		*r = (struct remote_advice){ .links = l,
					     .opened_ms = l->holder->opened_ms,
					     .link = l->holder };
		cd_advise(l->d, handle, step, (const char *const *)lines, n,
			  on_remote_advice, r);
	}
	free(step);
	free(ids);
	return ok;
}

static bool on_advice(struct links *l, const msgpack_object *f)
{
	struct cell_ticket tickets[CELL_ADVICE_MINIONS_MAX];
	char *lines[CELL_ADVICE_MINIONS_MAX];
	char *rows = get_text(&f[2]);
	uint32_t handle;
	uint32_t answered;
	uint32_t n = 0;
	bool ok = rows && mp_get_u32(&f[0], &handle) &&
		  mp_get_u32(&f[1], &answered);

	if (ok) {
		uint32_t count =
			split_lines(rows, lines, CELL_ADVICE_MINIONS_MAX);

		for (uint32_t i = 0; i < count; i++) {
			char *space = strchr(lines[i], ' ');

			if (!space)
				continue;
			*space = '\0';
			tickets[n++] =
				(struct cell_ticket){ .minion = lines[i],
						      .ticket = space + 1 };
		}
		if (l->d->holder)
			holder_on_advice(l->d->holder, handle, answered,
					 tickets, n);
	}
	free(rows);
	return ok;
}

static bool on_job(struct links *l, const msgpack_object *f)
{
	uint32_t fresh;

	if (f[0].type != MSGPACK_OBJECT_BIN || !mp_get_u32(&f[1], &fresh))
		return false;
	if (l->d->holder)
		holder_job(l->d->holder, f[0].via.bin.ptr, f[0].via.bin.size,
			   fresh);
	return true;
}

/* Reports the current holder to a peer, which may be cut off from the store. */
static void send_new_holder(struct link *link, uint64_t term, const char *addr)
{
	struct buf body = { 0 };
	msgpack_packer pk;

	mp_open(&pk, &body);
	msgpack_pack_array(&pk, 2);
	msgpack_pack_uint64(&pk, term);
	mp_pack_text(&pk, addr);
	send_body(link, FRAME_NEW_HOLDER, &body);
}

/* Reports a new holder to all followers. */
void links_broadcast_holder(struct links *l, uint64_t term, const char *addr)
{
	for (uint32_t i = 0; i < l->follower_count; i++) {
		if (l->followers[i].link)
			send_new_holder(l->followers[i].link, term, addr);
	}
}

static bool on_new_holder(struct links *l, const msgpack_object *f)
{
	char *addr = get_text(&f[1]);
	uint64_t term;
	bool ok = addr && mp_get_u64(&f[0], &term);

	if (ok)
		terms_on_new_holder(l->d->terms, term, addr);
	free(addr);
	return ok;
}

static bool on_overload(struct links *l, const msgpack_object *f)
{
	char *queue = get_text(&f[0]);
	uint32_t wait_ms;
	bool ok = queue && strlen(queue) < CELL_NAME_MAX &&
		  mp_get_u32(&f[1], &wait_ms);

	if (ok)
		overload_set(l->d->overload, queue, wait_ms, loop_now_ms());
	free(queue);
	return ok;
}

static bool handle_frame(struct links *l, struct link *link,
			 const struct frame *frame)
{
	const msgpack_object *f;

	if (link->dialled && link != l->holder)
		return true;
	switch (frame->type) {
	case FRAME_NEW_HOLDER:
		f = frame_fields(frame, 2);
		return f && on_new_holder(l, f);
	case FRAME_OVERLOAD:
		f = frame_fields(frame, 2);
		return f && link->dialled && on_overload(l, f);
	case FRAME_STATE:
		f = frame_fields(frame, 5);
		if (!f)
			return false;
		return link->dialled ? on_holder_state(l, f)
				     : on_follower_state(l, link, f);
	case FRAME_QUERY:
		f = frame_fields(frame, 4);
		return f && !link->dialled && on_query(l, link, f);
	case FRAME_JOB:
		f = frame_fields(frame, 2);
		return f && !link->dialled && on_job(l, f);
	case FRAME_REPLY:
		f = frame_fields(frame, 3);
		return f && link->dialled && on_reply(l, f);
	case FRAME_ADVICE_REQUEST:
		f = frame_fields(frame, 3);
		return f && link->dialled && on_advice_request(l, f);
	case FRAME_ADVICE:
		f = frame_fields(frame, 3);
		return f && !link->dialled && on_advice(l, f);
	default:
		return false;
	}
}

static void on_frame(struct link *link, const struct frame *frame)
{
	struct links *l = link->env->ctx;

	if (!handle_frame(l, link, frame))
		link_reject(link, FRAME_MALFORMED, "unexpected frame");
}

static bool is_lost(const struct follower *f, uint64_t at_ms)
{
	return f->name[0] && !f->link && at_ms < f->lost_ms + LOST_FOLLOWER_MS;
}

/*
 * Returns the number of followers lost since LOST_FOLLOWER_MS before
 * @at_ms.
 */
uint32_t links_lost_followers(const struct links *l, uint64_t at_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < l->follower_count; i++)
		n += is_lost(&l->followers[i], at_ms);
	return n;
}

/* Returns true if the daemon of a slot is known and not connected. */
static bool is_missing(const struct follower *f, uint64_t at_ms)
{
	return is_lost(f, at_ms) || (f->listed && !f->link);
}

/*
 * Returns the number of known daemons that are not connected. One that was lost
 * long before @store_ms, when the store last confirmed the term, is considered
 * removed once the list in the store no longer names it.
 */
uint32_t links_missing(const struct links *l, uint64_t store_ms)
{
	bool former = l->former_addr[0] &&
		      store_ms < l->expected_ms + LOST_FOLLOWER_MS;
	uint32_t n = former + l->listed_without_slot;

	for (uint32_t i = 0; i < l->follower_count; i++)
		n += is_missing(&l->followers[i], store_ms);
	return n;
}

/* Returns true if no other daemon has ever connected or been the holder. */
bool links_alone(const struct links *l)
{
	return !l->follower_count && !l->former_addr[0];
}

/*
 * Returns the time, by the clock of this daemon, of the latest state frame that
 * each connected follower has acknowledged while it knew of no term after
 * @term; 0: none.
 */
uint64_t links_acknowledged_ms(const struct links *l, uint64_t term)
{
	uint64_t earliest = UINT64_MAX;

	for (uint32_t i = 0; i < l->follower_count; i++) {
		const struct follower *f = &l->followers[i];

		if (!f->link)
			continue;
		if (f->term > term)
			return 0;
		if (f->echo_ms < earliest)
			earliest = f->echo_ms;
	}
	return earliest == UINT64_MAX ? 0 : earliest;
}

/*
 * Returns the slot of the daemon @name, else a free one, which may be behind
 * the last, or FOLLOWERS_MAX. @at_ms as in is_missing().
 */
static uint32_t slot_for(const struct links *l, const char *name,
			 uint64_t at_ms)
{
	for (uint32_t i = 0; i < l->follower_count; i++) {
		if (!strcmp(l->followers[i].name, name))
			return i;
	}
	for (uint32_t i = 0; i < l->follower_count; i++) {
		if (!l->followers[i].link &&
		    !is_missing(&l->followers[i], at_ms))
			return i;
	}
	return l->follower_count;
}

/*
 * Counts a daemon as listed, and as lost from now on if it is new in the list
 * and not connected.
 */
static void list_daemon(struct links *l, const char *name, uint64_t now)
{
	uint32_t i = slot_for(l, name, now);
	struct follower *f = &l->followers[i];

	if (i == FOLLOWERS_MAX) {
		l->listed_without_slot = true;
		return;
	}
	if (i == l->follower_count)
		l->follower_count++;
	if (strcmp(f->name, name) != 0) {
		snprintf(f->name, sizeof(f->name), "%s", name);
		f->lost_ms = now;
	} else if (!f->link && !f->was_listed && !f->listed) {
		f->lost_ms = now;
	}
	f->listed = true;
}

/*
 * The list of daemons in the store may name @names, as links_daemons() returns
 * them, some with TERM_ENTRY_MARK. It names no others if @replaces.
 */
void links_set_listed(struct links *l, const char *names, bool replaces)
{
	const size_t mark = strlen(TERM_ENTRY_MARK);
	uint64_t now = loop_now_ms();
	struct buf copy = buf_str(names);
	char *save = NULL;
	char *name = copy.len ? strtok_r(copy.data, " ", &save) : NULL;

	for (uint32_t i = 0; replaces && i < l->follower_count; i++) {
		l->followers[i].was_listed = l->followers[i].listed;
		l->followers[i].listed = false;
	}
	l->listed_without_slot = l->listed_without_slot && !replaces;
	for (; name; name = strtok_r(NULL, " ", &save)) {
		if (!strncmp(name, TERM_ENTRY_MARK, mark))
			name += mark;
		if (name[0] && strcmp(name, l->d->conf.name) != 0)
			list_daemon(l, name, now);
	}
	for (uint32_t i = 0; i < l->follower_count; i++)
		l->followers[i].was_listed = false;
	buf_free(&copy);
}

static bool is_connected(const struct links *l, const char *addr)
{
	for (uint32_t i = 0; i < l->follower_count; i++) {
		if (l->followers[i].link &&
		    !strcmp(l->followers[i].link->peer.addr, addr))
			return true;
	}
	return false;
}

/*
 * A term of this daemon begins. The holder before, at address @former if there
 * was one, and the daemons @names of earlier terms, as links_daemons() returns
 * them, count as missing until they connect.
 */
void links_expect(struct links *l, const char *former, const char *names)
{
	for (uint32_t i = 0; i < l->follower_count; i++)
		l->followers[i].listed = false;
	links_set_listed(l, names, true);
	if (!former[0] || is_connected(l, former))
		return;
	snprintf(l->former_addr, sizeof(l->former_addr), "%s", former);
	l->expected_ms = loop_now_ms();
}

/*
 * Returns the names of the known daemons, this one first, separated by spaces;
 * the caller frees it. @store_ms as in links_missing().
 */
struct buf links_daemons(const struct links *l, uint64_t store_ms)
{
	struct buf names = buf_str(l->d->conf.name);

	for (uint32_t i = 0; i < l->follower_count; i++) {
		const struct follower *f = &l->followers[i];

		if (!f->link && !is_lost(f, store_ms))
			continue;
		buf_append(&names, " ", 1);
		buf_append(&names, f->name, strlen(f->name));
	}
	return names;
}

static void add_follower(struct links *l, struct link *link)
{
	uint64_t at_ms = terms_token(l->d->terms) ? terms_store_ms(l->d->terms)
						  : loop_now_ms();
	uint32_t i = slot_for(l, link->peer.id, at_ms);

	if (i == FOLLOWERS_MAX) {
		link_close(link, "too many followers");
		return;
	}
	if (i < l->follower_count && l->followers[i].link)
		link_close(l->followers[i].link, "replaced");
	if (i == l->follower_count)
		l->follower_count++;
	l->followers[i].generation = (l->followers[i].generation + 1) & 0xffff;
	l->followers[i].link = link;
	snprintf(l->followers[i].name, sizeof(l->followers[i].name), "%s",
		 link->peer.id);
	l->followers[i].term = 0;
	l->followers[i].echo_ms = 0;
	l->followers[i].larger = false;
	if (!strcmp(l->former_addr, link->peer.addr))
		l->former_addr[0] = '\0';
	link->handle = l->followers[i].generation << 16 | (i + 1);
	ev("follower-up", "name=%s lane=%u", link->peer.id, i + 1);
	if (l->d->holder)
		holder_lane_up(l->d->holder, i + 1);
}

/* Reports the connected followers to the scheduler of a new term. */
void links_report_lanes(struct links *l)
{
	for (uint32_t i = 0; i < l->follower_count; i++) {
		if (l->followers[i].link)
			holder_lane_up(l->d->holder, i + 1);
	}
}

/* Removes an accepted connection from those that are not authenticated. */
static void remove_pending(struct links *l, const struct link *link)
{
	for (uint32_t i = 0; i < l->pending_count; i++) {
		if (l->pending[i] != link)
			continue;
		l->pending_count--;
		memmove(&l->pending[i], &l->pending[i + 1],
			(l->pending_count - i) * sizeof(struct link *));
		return;
	}
}

static void on_up(struct link *link)
{
	struct links *l = link->env->ctx;

	remove_pending(l, link);
	if (link->dialled)
		l->holder_refused = false;
	else
		add_follower(l, link);
	if (link->state == LINK_UP)
		send_state(l, link, terms_valid(l->d->terms, loop_now_ms()),
			   false, loop_now_ms());
}

static void on_down(struct link *link, const char *reason)
{
	struct links *l = link->env->ctx;
	uint32_t at = link->handle & 0xffff;

	remove_pending(l, link);

	if (link->dialled) {
		if (link == l->former)
			l->former = NULL;
		if (link != l->holder)
			return;
		/* A host that is down sends no refusal. */
		l->holder_refused = link->sock == NULL ||
				    (link->state == LINK_CONNECTING &&
				     !strcmp(reason, "cannot connect"));
		if (link->state == LINK_UP)
			ev("holder-lost", "addr=%s why=\"%s\" silent_ms=%llu",
			   l->holder_addr, reason,
			   (unsigned long long)(loop_now_ms() -
						link->last_frame_ms));
		l->holder = NULL;
		l->holder_token = 0;
		l->redial_ms = loop_now_ms() + REDIAL_MS;
		return;
	}
	if (!at || l->followers[at - 1].link != link)
		return;
	l->followers[at - 1].link = NULL;
	l->followers[at - 1].lost_ms = loop_now_ms();
	ev("follower-down", "name=%s lane=%u why=\"%s\"", link->peer.id, at,
	   reason);
	if (l->d->holder) {
		holder_lane_lost(l->d->holder, at);
		holder_poll_jobs_soon(l->d->holder);
	}
}

static const struct link_ops link_ops = {
	.up = on_up,
	.frame = on_frame,
	.down = on_down,
};

/*
 * Notifies the former holder of its successor, and schedules the close of the
 * connection.
 */
static void leave_holder(struct links *l)
{
	struct link *link = l->holder;

	if (l->former)
		link_close(l->former, "another holder");
	ev("holder-left", "addr=%s term=%llu", link->addr,
	   (unsigned long long)terms_latest(l->d->terms));
	l->holder = NULL;
	l->holder_token = 0;
	l->former = link;
	l->former_ms = loop_now_ms() + FORMER_CLOSE_MS;
	send_new_holder(link, terms_latest(l->d->terms), l->holder_addr);
}

/* Makes @addr the holder to connect to, and leaves any former one. */
void links_follow(struct links *l, const char *addr)
{
	if (!strcmp(addr, l->holder_addr) && l->holder)
		return;
	snprintf(l->holder_addr, sizeof(l->holder_addr), "%s", addr);
	l->holder_refused = false;
	l->redial_ms = 0;
	if (l->holder)
		leave_holder(l);
	l->redial_ms = 0;
}

/* Announces to the followers that the holder releases its term. */
void links_send_release(struct links *l)
{
	uint64_t now = loop_now_ms();
	bool valid = terms_valid(l->d->terms, now);

	for (uint32_t i = 0; i < l->follower_count; i++) {
		if (l->followers[i].link)
			send_state(l, l->followers[i].link, valid, true, now);
	}
}

static void dial(struct links *l, uint64_t now)
{
	if (l->holder || now < l->redial_ms || !l->holder_addr[0] ||
	    terms_token(l->d->terms) ||
	    !strcmp(l->holder_addr, l->d->conf.peers_address))
		return;
	l->redial_ms = now + REDIAL_MS;
	l->holder_clock_ms = 0;
	l->holder = link_dial(&l->env, l->holder_addr);
}

/* Reports an overloaded queue to all daemons. */
static void report_overload(void *ctx, const char *queue, uint32_t wait_ms)
{
	struct links *l = ctx;

	overload_set(l->d->overload, queue, wait_ms, loop_now_ms());
	for (uint32_t i = 0; i < l->follower_count; i++) {
		struct buf body = { 0 };
		msgpack_packer pk;

		if (!l->followers[i].link)
			continue;
		mp_open(&pk, &body);
		msgpack_pack_array(&pk, 2);
		mp_pack_text(&pk, queue);
		msgpack_pack_uint32(&pk, wait_ms);
		send_body(l->followers[i].link, FRAME_OVERLOAD, &body);
	}
}

/* Dials the holder, closes dead connections and sends state frames. */
void links_tick(struct links *l, uint64_t now_ms)
{
	struct link *h = l->holder;
	bool valid;

	if (h && terms_token(l->d->terms)) {
		snprintf(l->holder_addr, sizeof(l->holder_addr), "%s",
			 l->d->conf.peers_address);
		leave_holder(l);
	}
	h = l->holder;
	if (h && h->state != LINK_UP && now_ms > h->opened_ms + HANDSHAKE_MS)
		link_close(h, "handshake timeout");
	else if (h && h->state == LINK_UP &&
		 now_ms > h->last_frame_ms + HOLDER_TIMEOUT_MS)
		link_close(h, "silent");
	if (l->former && now_ms >= l->former_ms)
		link_close(l->former, "another holder");
	dial(l, now_ms);
	while (l->pending_count &&
	       now_ms > l->pending[0]->opened_ms +
				l->limits.peers_handshake_ms) {
		limited_add(l->limited, "handshake-time");
		link_close(l->pending[0], "handshake timeout");
	}
	for (uint32_t i = 0; i < l->follower_count; i++) {
		struct link *f = l->followers[i].link;

		if (f && now_ms > f->last_frame_ms + FOLLOWER_TIMEOUT_MS)
			link_close(f, "silent");
	}
	if (now_ms < l->state_ms)
		return;
	l->state_ms = now_ms + STATE_INTERVAL_MS;
	valid = terms_valid(l->d->terms, now_ms);
	if (l->holder && l->holder->state == LINK_UP)
		send_state(l, l->holder, valid, false, now_ms);
	for (uint32_t i = 0; i < l->follower_count; i++) {
		if (l->followers[i].link)
			send_state(l, l->followers[i].link, valid, false,
				   now_ms);
	}
	if (l->d->holder && valid)
		holder_each_overload(l->d->holder, report_overload, l);
}

static void on_tick(struct timer *timer)
{
	struct links *l = timer->ctx;

	links_tick(l, loop_now_ms());
	timer_start(l->d->loop, &l->tick, TICK_MS);
}

static void on_accept(h2o_socket_t *listener, const char *error)
{
	struct links *l = listener->data;
	h2o_socket_t *sock;

	if (error)
		return;
	sock = h2o_evloop_socket_accept(listener);
	if (!sock)
		return;
	if (l->pending_count == l->limits.peers_pending) {
		limited_add(l->limited, "connections");
		link_close(l->pending[0], "too many connections");
	}
	l->pending[l->pending_count++] = link_accept(&l->env, sock);
}

/*
 * Listens for followers. @secret, of CD_SECRET_LEN bytes, is that of the cell
 * and must outlive the result.
 */
struct links *links_new(struct celld *d, const unsigned char *secret,
			struct err *err)
{
	struct links *l;
	int fd = addr_listen(d->conf.listen_peers, BACKLOG, err);

	if (fd < 0)
		return NULL;
	l = xcalloc(1, sizeof(*l));
	l->d = d;
	l->limits = limits_of(&d->conf);
	l->pending = xcalloc(l->limits.peers_pending, sizeof(struct link *));
	l->limited = limited_new("peers");
	l->listener = h2o_evloop_socket_create(loop_h2o(d->loop), fd,
					       H2O_SOCKET_FLAG_DONT_READ);
	l->listener->data = l;
	h2o_socket_read_start(l->listener, on_accept);
	l->env = (struct link_env){ .loop = d->loop,
				    .ops = &link_ops,
				    .ctx = l,
				    .secret = secret,
				    .secret_len = CD_SECRET_LEN };
	snprintf(l->env.self.id, sizeof(l->env.self.id), "%s", d->conf.name);
	snprintf(l->env.self.az, sizeof(l->env.self.az), "%s", d->conf.az);
	snprintf(l->env.self.region, sizeof(l->env.self.region), "%s",
		 d->conf.region);
	snprintf(l->env.self.addr, sizeof(l->env.self.addr), "%s",
		 d->conf.peers_address);
	link_env_open(&l->env);
	l->tick = (struct timer){ .fn = on_tick, .ctx = l };
	timer_start(d->loop, &l->tick, TICK_MS);
	return l;
}
