/*
 * Connections between daemons. Each follower dials the holder; questions,
 * answers, stored jobs and regular states travel on that one connection.
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
#define STATE_MS 150
/* A dialled connection has to be up by then, in ms. */
#define HANDSHAKE_MS 500
#define REDIAL_MS 100
/* The connection to a former holder stays this long, for a last frame, in ms.
 */
#define FORMER_MS 200
/* A silent connection is replaced: it may have been lost on the way, in ms. */
#define SILENT_MS 800
#define FOLLOWER_SILENT_MS 2000
/* What a follower says of the store holds for this long, in ms. */
#define STATE_VALID_MS 600
/* The store does not serve a follower that had no answer for so long, in ms. */
#define STORE_AGE_MS 1000
/* A daemon that was lost longer ago is taken to be removed, in ms. */
#define MISSING_MS 60000
#define FOLLOWERS_MAX 512
#define BACKLOG 256

enum frame_type {
	FRAME_STATE = 64,
	FRAME_JOB,
	FRAME_QUERY,
	FRAME_ANSWER,
	FRAME_QUESTION,
	FRAME_ADVICE,
	FRAME_MOVED
};

struct follower {
	struct link *link;	 /* NULL: the slot is free */
	char name[MSG_NAME_MAX]; /* of the latest daemon in the slot */
	uint64_t lost_ms;	 /* when its connection was lost */
	uint32_t generation;
	uint64_t state_ms; /* when its latest state came */
	uint64_t term;	   /* the latest that it has seen */
	uint64_t store_age_ms;
};

struct links {
	struct celld *d;
	struct link_env env;
	h2o_socket_t *listener;
	char target[CELL_ADDR_MAX]; /* the holder, empty: none */
	struct link *holder;	    /* dialled */
	struct link *former;	    /* the holder before, about to be closed */
	uint64_t former_ms;	    /* when it is closed */
	uint64_t holder_token;	    /* as it said; 0: it is not the holder */
	bool holder_valid;
	uint32_t holder_store_age;
	uint64_t heard_ms;
	bool refused;
	uint64_t dial_ms;
	uint64_t state_ms;
	struct follower followers[FOLLOWERS_MAX];
	uint32_t follower_count; /* slots in use or used before */
	struct timer tick;
};

struct remote_question {
	struct links *links;
	uint64_t opened_ms; /* tells the connection that asked */
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
	uint64_t ok = pf_store_ok_ms(l->d->store);
	uint64_t age = ok ? now - ok : UINT32_MAX;

	return age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

static void send_state(struct links *l, struct link *link, bool released,
		       uint64_t now)
{
	struct buf body = { 0 };
	msgpack_packer pk;

	mp_open(&pk, &body);
	msgpack_pack_array(&pk, 5);
	msgpack_pack_uint64(&pk, terms_token(l->d->terms));
	msgpack_pack_uint64(&pk, terms_seen(l->d->terms));
	msgpack_pack_uint32(&pk, terms_valid(l->d->terms, now));
	msgpack_pack_uint32(&pk, store_age(l, now));
	msgpack_pack_uint32(&pk, released);
	send_body(link, FRAME_STATE, &body);
}

bool links_up(const struct links *l)
{
	return l->holder && l->holder->state == LINK_UP && l->holder_token;
}

uint64_t links_heard_ms(const struct links *l)
{
	return l->heard_ms;
}

bool links_refused(const struct links *l)
{
	return l->refused;
}

bool links_holder_valid(const struct links *l)
{
	return l->holder_valid;
}

uint32_t links_holder_store_age(const struct links *l)
{
	return l->holder_store_age;
}

/* Returns the number of daemons that are connected to this holder. */
uint32_t links_followers(const struct links *l)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < l->follower_count; i++)
		n += l->followers[i].link != NULL;
	return n;
}

/* Returns true if no follower has reached the store lately. */
bool links_store_unreachable(const struct links *l, uint64_t now_ms)
{
	for (uint32_t i = 0; i < l->follower_count; i++) {
		const struct follower *f = &l->followers[i];

		if (!f->link || now_ms > f->state_ms + STATE_VALID_MS)
			continue;
		if (f->store_age_ms < STORE_AGE_MS)
			return false;
	}
	return true;
}

/*
 * Returns true if a follower that the store serves has seen no later term than
 * @term; *@seen_ms is when the store last served it.
 */
bool links_store_seen(const struct links *l, uint64_t term, uint64_t now_ms,
		      uint64_t *seen_ms)
{
	bool seen = false;

	for (uint32_t i = 0; i < l->follower_count; i++) {
		const struct follower *f = &l->followers[i];
		uint64_t at;

		if (!f->link || now_ms > f->state_ms + STATE_VALID_MS)
			continue;
		if (f->term > term)
			return false;
		/* A watch of the term may be this much behind. */
		if (f->term != term || f->store_age_ms > f->state_ms)
			continue;
		at = f->state_ms - f->store_age_ms;
		if (!seen || at > *seen_ms)
			*seen_ms = at;
		seen = true;
	}
	return seen;
}

/* Sends a question to the holder; returns false if there is no connection. */
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

/* Tells the holder of a stored job; returns false if it cannot be told. */
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

static struct link *link_of(struct links *l, uint32_t handle)
{
	uint32_t at = handle & 0xffff;
	struct follower *f;

	if (!at || at > l->follower_count)
		return NULL;
	f = &l->followers[at - 1];
	return f->link && f->link->handle == handle ? f->link : NULL;
}

/* Answers a question of a follower, if it is still connected. */
void links_send_answer(struct links *l, const struct cd_asker *asker,
		       enum cd_answer answer, uint32_t number)
{
	struct link *link = link_of(l, asker->link);
	struct buf body = { 0 };
	msgpack_packer pk;

	if (!link)
		return;
	mp_open(&pk, &body);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint32(&pk, asker->ref);
	msgpack_pack_uint32(&pk, answer);
	msgpack_pack_uint32(&pk, number);
	send_body(link, FRAME_ANSWER, &body);
}

/* Lets the follower of a lane ask for advice; returns false if it has gone. */
bool links_send_question(struct links *l, uint32_t lane,
			 const struct cell_question *q)
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
	return send_body(l->followers[lane - 1].link, FRAME_QUESTION, &body);
}

static char *get_text(const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_STR)
		return NULL;
	return strndup(o->via.str.ptr, o->via.str.size);
}

static const msgpack_object *fields(const struct frame *frame, uint32_t n)
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

	follower->state_ms = loop_now_ms();
	return mp_get_u64(&f[1], &follower->term) &&
	       mp_get_u64(&f[3], &follower->store_age_ms);
}

static bool on_holder_state(struct links *l, const msgpack_object *f)
{
	uint64_t token;
	uint32_t valid;
	uint32_t released;
	bool was_up = links_up(l);

	if (!mp_get_u64(&f[0], &token) || !mp_get_u32(&f[2], &valid) ||
	    !mp_get_u32(&f[3], &l->holder_store_age) ||
	    !mp_get_u32(&f[4], &released))
		return false;
	l->holder_token = token;
	l->holder_valid = valid;
	l->heard_ms = loop_now_ms();
	if (released)
		terms_released(l->d->terms);
	if (!was_up && links_up(l)) {
		ev("holder-linked", "addr=%s token=%llu", l->target,
		   (unsigned long long)token);
		accept_resend(l->d->acceptor);
		asks_holder_changed(l->d->asks);
	}
	return true;
}

static bool on_query(struct links *l, struct link *link,
		     const msgpack_object *f)
{
	struct cd_asker asker = { .link = link->handle };
	char *text = get_text(&f[2]);
	struct buf blob = { 0 };
	uint32_t op;
	bool ok = text && mp_get_u32(&f[0], &asker.ref) &&
		  mp_get_u32(&f[1], &op) && op < CD_OPS &&
		  f[3].type == MSGPACK_OBJECT_BIN;

	if (ok) {
		if (f[3].via.bin.size)
			blob = buf_copy(f[3].via.bin.ptr, f[3].via.bin.size);
		if (l->d->holder)
			holder_query(l->d->holder, &asker, (enum cd_op)op, text,
				     &blob);
		else
			links_send_answer(l, &asker, CD_RETRY, 0);
		buf_free(&blob);
	}
	free(text);
	return ok;
}

static bool on_answer(struct links *l, const msgpack_object *f)
{
	uint32_t ref;
	uint32_t answer;
	uint32_t number;

	if (!mp_get_u32(&f[0], &ref) || !mp_get_u32(&f[1], &answer) ||
	    answer >= CD_ANSWERS || !mp_get_u32(&f[2], &number))
		return false;
	asks_answer(l->d->asks, ref, (enum cd_answer)answer, number);
	return true;
}

static void on_advised(void *ctx, uint32_t question, bool answered,
		       const struct cell_ticket *good, uint32_t count)
{
	struct remote_question *r = ctx;
	struct links *l = r->links;
	struct buf rows = { 0 };
	struct buf body = { 0 };
	msgpack_packer pk;

	if (l->holder == r->link && l->holder &&
	    l->holder->opened_ms == r->opened_ms) {
		for (uint32_t i = 0; i < count; i++) {
			buf_append(&rows, good[i].minion,
				   strlen(good[i].minion));
			buf_append(&rows, " ", 1);
			buf_append(&rows, good[i].ticket,
				   strlen(good[i].ticket));
			buf_append(&rows, "\n", 1);
		}
		mp_open(&pk, &body);
		msgpack_pack_array(&pk, 3);
		msgpack_pack_uint32(&pk, question);
		msgpack_pack_uint32(&pk, answered);
		mp_pack_text(&pk, rows.data);
		send_body(l->holder, FRAME_ADVICE, &body);
		buf_free(&rows);
	}
	free(r);
}

/* Splits lines in place; returns how many of at most @max were found. */
static uint32_t split_lines(char *text, char **lines, uint32_t max)
{
	uint32_t n = 0;
	char *save = NULL;

	for (char *line = strtok_r(text, "\n", &save); line && n < max;
	     line = strtok_r(NULL, "\n", &save))
		lines[n++] = line;
	return n;
}

static bool on_question(struct links *l, const msgpack_object *f)
{
	char *lines[CELL_QUESTION_MAX];
	char *step = get_text(&f[1]);
	char *ids = get_text(&f[2]);
	struct remote_question *r;
	uint32_t handle;
	uint32_t n;
	bool ok = step && ids && mp_get_u32(&f[0], &handle);

	if (ok) {
		n = split_lines(ids, lines, CELL_QUESTION_MAX);
		r = xcalloc(1, sizeof(*r));
		*r = (struct remote_question){ .links = l,
					       .opened_ms =
						       l->holder->opened_ms,
					       .link = l->holder };
		cd_question(l->d, handle, step, (const char *const *)lines, n,
			    on_advised, r);
	}
	free(step);
	free(ids);
	return ok;
}

static bool on_advice(struct links *l, const msgpack_object *f)
{
	struct cell_ticket good[CELL_QUESTION_MAX];
	char *lines[CELL_QUESTION_MAX];
	char *rows = get_text(&f[2]);
	uint32_t handle;
	uint32_t answered;
	uint32_t n = 0;
	bool ok = rows && mp_get_u32(&f[0], &handle) &&
		  mp_get_u32(&f[1], &answered);

	if (ok) {
		uint32_t count = split_lines(rows, lines, CELL_QUESTION_MAX);

		for (uint32_t i = 0; i < count; i++) {
			char *space = strchr(lines[i], ' ');

			if (!space)
				continue;
			*space = '\0';
			good[n++] = (struct cell_ticket){ .minion = lines[i],
							  .ticket = space + 1 };
		}
		if (l->d->holder)
			holder_advice(l->d->holder, handle, answered, good, n);
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

/* Tells the other end who holds the cell; the store may not serve it. */
static void send_moved(struct link *link, uint64_t term, const char *addr)
{
	struct buf body = { 0 };
	msgpack_packer pk;

	mp_open(&pk, &body);
	msgpack_pack_array(&pk, 2);
	msgpack_pack_uint64(&pk, term);
	mp_pack_text(&pk, addr);
	send_body(link, FRAME_MOVED, &body);
}

/* Passes on to the followers that another daemon holds the cell. */
void links_moved(struct links *l, uint64_t term, const char *addr)
{
	for (uint32_t i = 0; i < l->follower_count; i++) {
		if (l->followers[i].link)
			send_moved(l->followers[i].link, term, addr);
	}
}

static bool on_moved(struct links *l, const msgpack_object *f)
{
	char *addr = get_text(&f[1]);
	uint64_t term;
	bool ok = addr && mp_get_u64(&f[0], &term);

	if (ok)
		terms_moved(l->d->terms, term, addr);
	free(addr);
	return ok;
}

static bool handle(struct links *l, struct link *link,
		   const struct frame *frame)
{
	const msgpack_object *f;

	if (link->dialled && link != l->holder)
		return true;
	switch (frame->type) {
	case FRAME_MOVED:
		f = fields(frame, 2);
		return f && on_moved(l, f);
	case FRAME_STATE:
		f = fields(frame, 5);
		if (!f)
			return false;
		return link->dialled ? on_holder_state(l, f)
				     : on_follower_state(l, link, f);
	case FRAME_QUERY:
		f = fields(frame, 4);
		return f && !link->dialled && on_query(l, link, f);
	case FRAME_JOB:
		f = fields(frame, 2);
		return f && !link->dialled && on_job(l, f);
	case FRAME_ANSWER:
		f = fields(frame, 3);
		return f && link->dialled && on_answer(l, f);
	case FRAME_QUESTION:
		f = fields(frame, 3);
		return f && link->dialled && on_question(l, f);
	case FRAME_ADVICE:
		f = fields(frame, 3);
		return f && !link->dialled && on_advice(l, f);
	default:
		return false;
	}
}

static void on_frame(struct link *link, const struct frame *frame)
{
	struct links *l = link->env->ctx;

	if (!handle(l, link, frame))
		link_reject(link, FRAME_MALFORMED, "unexpected frame");
}

static bool is_missing(const struct follower *f, uint64_t now)
{
	return f->name[0] && !f->link && now < f->lost_ms + MISSING_MS;
}

/* Returns how many daemons were connected lately and are not any more. */
uint32_t links_missing(const struct links *l, uint64_t now_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < l->follower_count; i++)
		n += is_missing(&l->followers[i], now_ms);
	return n;
}

static void add_follower(struct links *l, struct link *link)
{
	uint64_t now = loop_now_ms();
	uint32_t i = 0;

	while (i < l->follower_count &&
	       strcmp(l->followers[i].name, link->peer.id) != 0)
		i++;
	if (i < l->follower_count && l->followers[i].link)
		link_close(l->followers[i].link, "replaced");
	for (uint32_t k = 0; i == l->follower_count && k < i; k++) {
		if (!l->followers[k].link && !is_missing(&l->followers[k], now))
			i = k;
	}
	if (i == FOLLOWERS_MAX) {
		link_close(link, "too many followers");
		return;
	}
	if (i == l->follower_count)
		l->follower_count++;
	l->followers[i].generation = (l->followers[i].generation + 1) & 0xffff;
	l->followers[i].link = link;
	snprintf(l->followers[i].name, sizeof(l->followers[i].name), "%s",
		 link->peer.id);
	l->followers[i].state_ms = 0;
	link->handle = l->followers[i].generation << 16 | (i + 1);
	ev("follower-up", "name=%s lane=%u", link->peer.id, i + 1);
	if (l->d->holder)
		holder_lane_up(l->d->holder, i + 1);
}

/* Tells a new term which followers are connected already. */
void links_announce(struct links *l)
{
	for (uint32_t i = 0; i < l->follower_count; i++) {
		if (l->followers[i].link)
			holder_lane_up(l->d->holder, i + 1);
	}
}

static void on_up(struct link *link)
{
	struct links *l = link->env->ctx;

	if (link->dialled)
		l->refused = false;
	else
		add_follower(l, link);
	if (link->state == LINK_UP)
		send_state(l, link, false, loop_now_ms());
}

static void on_down(struct link *link, const char *reason)
{
	struct links *l = link->env->ctx;
	uint32_t at = link->handle & 0xffff;

	if (link->dialled) {
		if (link == l->former)
			l->former = NULL;
		if (link != l->holder)
			return;
		/* A dark host does not answer at all. */
		l->refused = link->sock == NULL ||
			     (link->state == LINK_CONNECTING &&
			      !strcmp(reason, "cannot connect"));
		if (link->state == LINK_UP)
			ev("holder-lost", "addr=%s why=\"%s\" silent_ms=%llu",
			   l->target, reason,
			   (unsigned long long)(loop_now_ms() -
						link->heard_ms));
		l->holder = NULL;
		l->holder_token = 0;
		l->dial_ms = loop_now_ms() + REDIAL_MS;
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
		holder_link_lost(l->d->holder);
	}
}

static const struct link_ops link_ops = {
	.up = on_up,
	.frame = on_frame,
	.down = on_down,
};

/* Tells the former holder who has taken over, and closes the connection soon.
 */
static void leave_holder(struct links *l)
{
	struct link *link = l->holder;

	if (l->former)
		link_close(l->former, "another holder");
	ev("holder-left", "addr=%s term=%llu", link->addr,
	   (unsigned long long)terms_seen(l->d->terms));
	l->holder = NULL;
	l->holder_token = 0;
	l->former = link;
	l->former_ms = loop_now_ms() + FORMER_MS;
	send_moved(link, terms_seen(l->d->terms), l->target);
}

/* Connects to the holder at @addr, and to no other any more. */
void links_follow(struct links *l, const char *addr)
{
	if (!strcmp(addr, l->target) && l->holder)
		return;
	snprintf(l->target, sizeof(l->target), "%s", addr);
	l->refused = false;
	l->dial_ms = 0;
	if (l->holder)
		leave_holder(l);
	l->dial_ms = 0;
}

/* Tells the followers that this term ends. */
void links_release(struct links *l)
{
	for (uint32_t i = 0; i < l->follower_count; i++) {
		if (l->followers[i].link)
			send_state(l, l->followers[i].link, true,
				   loop_now_ms());
	}
}

static void dial(struct links *l, uint64_t now)
{
	if (l->holder || now < l->dial_ms || !l->target[0] ||
	    terms_token(l->d->terms) ||
	    !strcmp(l->target, l->d->conf.peers_address))
		return;
	l->dial_ms = now + REDIAL_MS;
	l->holder = link_dial(&l->env, l->target);
}

/* Dials, closes silent connections and sends states. */
void links_tick(struct links *l, uint64_t now_ms)
{
	struct link *h = l->holder;

	if (h && terms_token(l->d->terms)) {
		snprintf(l->target, sizeof(l->target), "%s",
			 l->d->conf.peers_address);
		leave_holder(l);
	}
	h = l->holder;
	if (h && h->state != LINK_UP && now_ms > h->opened_ms + HANDSHAKE_MS)
		link_close(h, "handshake timeout");
	else if (h && h->state == LINK_UP && now_ms > h->heard_ms + SILENT_MS)
		link_close(h, "silent");
	if (l->former && now_ms >= l->former_ms)
		link_close(l->former, "another holder");
	dial(l, now_ms);
	for (uint32_t i = 0; i < l->follower_count; i++) {
		struct link *f = l->followers[i].link;

		if (f && now_ms > f->heard_ms + FOLLOWER_SILENT_MS)
			link_close(f, "silent");
	}
	if (now_ms < l->state_ms)
		return;
	l->state_ms = now_ms + STATE_MS;
	if (l->holder && l->holder->state == LINK_UP)
		send_state(l, l->holder, false, now_ms);
	for (uint32_t i = 0; i < l->follower_count; i++) {
		if (l->followers[i].link)
			send_state(l, l->followers[i].link, false, now_ms);
	}
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
	if (sock)
		link_accept(&l->env, sock);
}

/* Listens for followers; @secret is that of the cell, CD_KEY_LEN bytes. */
struct links *links_new(struct celld *d, const unsigned char *secret,
			struct err *err)
{
	struct links *l;
	int fd = addr_listen(d->conf.listen_peers, BACKLOG, err);

	if (fd < 0)
		return NULL;
	l = xcalloc(1, sizeof(*l));
	l->d = d;
	l->listener = h2o_evloop_socket_create(loop_h2o(d->loop), fd,
					       H2O_SOCKET_FLAG_DONT_READ);
	l->listener->data = l;
	h2o_socket_read_start(l->listener, on_accept);
	l->env = (struct link_env){ .loop = d->loop,
				    .ops = &link_ops,
				    .ctx = l,
				    .secret = secret,
				    .secret_len = CD_KEY_LEN };
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
