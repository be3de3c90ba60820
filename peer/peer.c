#include "peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>

#include "addr.h"
#include "codec.h"
#include "ctr.h"
#include "link.h"
#include "log.h"
#include "member.h"
#include "request.h"
#include "tl.h"

#define LINKS_MAX 512
#define PEER_BACKLOG 128
/* Intervals without a frame until a peer is dead and its connection closed. */
#define PEER_TIMEOUT_INTERVALS 3
/*
 * The daemon with the lower id dials. The other one dials only after this many
 * intervals without a connection.
 */
#define FALLBACK_DIAL_INTERVALS 2
/*
 * Retention of a dead daemon that is in neither the settings nor the instance
 * list, but was announced by peers or has connected by itself.
 */
#define UNLISTED_MEMBER_TTL_MS 60000
#define PUBLISH_INTERVAL_MS 1000
#define TICKS_PER_INTERVAL 4
/* A longer timeline is sent without its oldest events. */
#define TIMELINE_BYTES_MAX (FRAME_MAX - 65536)
#define LOG_LINES_PER_SECOND 5
/* Allows for the time that a request takes to arrive. */
#define INCOMING_MARGIN_MS 1000

struct peer {
	struct task task;
	struct env env;
	struct link_env link_env;
	struct members members;
	struct link *links[LINKS_MAX];
	uint32_t last_handle;
	struct request_table outgoing;
	struct request_table incoming; /* from peers, processed here */
	struct peer_info self;
	uint64_t valid_until_ms; /* of this daemon's claim */
	struct timer tick;
	uint64_t published_ms;
	bool publish_now;     /* membership, liveness or state changed */
	bool publish_pending; /* other values: within PUBLISH_INTERVAL_MS */
	h2o_socket_t *listener;
	int port;
	uint64_t log_second;
	uint32_t log_lines;
	struct {
		ctr_id links;
		ctr_id alive;
		ctr_id requests;
		ctr_id not_sent;
		ctr_id late_replies;
		ctr_id timeouts;
		ctr_id inflight;
		ctr_id free_milli;
	} ctr;
};

static struct peer *peer_of(const struct link *link)
{
	return link->env->ctx;
}

static struct link *link_get(struct peer *peer, uint32_t handle)
{
	struct link *link = handle ? peer->links[handle % LINKS_MAX] : NULL;

	return link && link->handle == handle ? link : NULL;
}

/* Assigns a handle to a new connection; returns false if LINKS_MAX are open. */
static bool link_register(struct peer *peer, struct link *link)
{
	for (uint32_t i = 0; i < LINKS_MAX; i++) {
		uint32_t handle = ++peer->last_handle;

		if (!handle || peer->links[handle % LINKS_MAX])
			continue;
		link->handle = handle;
		peer->links[handle % LINKS_MAX] = link;
		return true;
	}
	return false;
}

/* Limits the rate of log lines that a misbehaving client can cause. */
static bool log_allowed(struct peer *peer, uint64_t now)
{
	if (peer->log_second != now / 1000) {
		peer->log_second = now / 1000;
		peer->log_lines = 0;
	}
	return peer->log_lines++ < LOG_LINES_PER_SECOND;
}

static uint32_t heartbeat_interval_ms(const struct peer *peer,
				      const struct member *m)
{
	return strcmp(m->info.az, peer->self.az)
		       ? peer->env.conf->far_heartbeat_ms
		       : peer->env.conf->heartbeat_ms;
}

static void publish(struct peer *peer, uint64_t now)
{
	struct msg *msg = msg_new(MSG_PEERS, TASK_PEER, 0);
	struct peer_table *table =
		xcalloc(1, sizeof(*table) + MEMBER_MAX * sizeof(*table->peers));
	uint32_t alive = 0;

	table->shared.refs = 1;
	for (uint32_t i = 0; i < MEMBER_MAX; i++) {
		if (!peer->members.items[i].used)
			continue;
		table->peers[table->count] = peer->members.items[i].info;
		alive += table->peers[table->count].alive;
		table->count++;
	}
	ctr_set(peer->ctr.alive, alive);
	msg->obj = &table->shared;
	bus_broadcast(peer->env.bus, TASK_PEER, msg);
	peer->publish_now = false;
	peer->publish_pending = false;
	peer->published_ms = now;
}

static void publish_changes(struct peer *peer, uint64_t now)
{
	if (peer->publish_now ||
	    (peer->publish_pending &&
	     now - peer->published_ms >= PUBLISH_INTERVAL_MS))
		publish(peer, now);
}

static void set_alive(struct peer *peer, struct member *m, bool alive)
{
	if (m->info.alive == alive)
		return;
	m->info.alive = alive;
	peer->publish_now = true;
	tl_add(alive ? "peer-up" : "peer-down", "peer=%s az=%s", m->info.id,
	       m->info.az);
}

static const char *region_of(const struct peer *peer, const char *az)
{
	const struct conf *conf = peer->env.conf;

	for (uint32_t i = 0; i < conf->zone_count; i++) {
		if (!strcmp(conf->zones[i].az, az))
			return conf->zones[i].region;
	}
	return "";
}

/*
 * Adds or updates a daemon. Returns NULL if @id is empty or that of this
 * daemon, or if the table is full.
 */
static struct member *add_member(struct peer *peer, const char *id,
				 const char *az, const char *addr, uint64_t now)
{
	struct member *m;

	if (!id[0] || !strcmp(id, peer->self.id))
		return NULL;
	m = member_find(&peer->members, id);
	if (!m)
		peer->publish_now = true;
	m = member_add(&peer->members, id, az, addr, now);
	if (m && !m->info.region[0])
		snprintf(m->info.region, sizeof(m->info.region), "%s",
			 region_of(peer, m->info.az));
	return m;
}

static void remove_member(struct peer *peer, struct member *m)
{
	m->used = false;
	peer->publish_now = true;
}

static void send_heartbeat(struct peer *peer, struct member *m, uint64_t now)
{
	struct link *link = link_get(peer, m->link);
	struct peer_info info = peer->self;
	struct buf body = { 0 };

	m->next_heartbeat_ms = now + heartbeat_interval_ms(peer, m);
	if (!link)
		return;
	if (peer->valid_until_ms && now >= peer->valid_until_ms)
		info.holder = false;
	info.inflight = (uint32_t)ctr_value(peer->ctr.inflight);
	info.free_milli = (uint32_t)ctr_value(peer->ctr.free_milli);
	codec_pack(CODEC_HEARTBEAT, &info, &body);
	link_send(link, CODEC_HEARTBEAT, &body);
	buf_free(&body);
}

/* Sends a heartbeat to every peer immediately, after a change of state. */
static void send_heartbeats(struct peer *peer)
{
	uint64_t now = loop_now_ms();

	for (uint32_t i = 0; i < MEMBER_MAX; i++) {
		if (peer->members.items[i].used)
			send_heartbeat(peer, &peer->members.items[i], now);
	}
}

/* Announces the connected daemons to a newly connected one. */
static void send_members(struct peer *peer, struct link *link)
{
	for (uint32_t i = 0; i < MEMBER_MAX; i++) {
		const struct member *m = &peer->members.items[i];
		struct codec_member record = { 0 };
		struct buf body = { 0 };

		if (!m->used || !m->link || m->link == link->handle)
			continue;
		snprintf(record.id, sizeof(record.id), "%s", m->info.id);
		snprintf(record.az, sizeof(record.az), "%s", m->info.az);
		snprintf(record.addr, sizeof(record.addr), "%s", m->addr);
		codec_pack(CODEC_MEMBER, &record, &body);
		link_send(link, CODEC_MEMBER, &body);
		buf_free(&body);
	}
}

/*
 * Returns true if @link supersedes the connection @old to the same daemon: the
 * newer one wins if both have the same dialler, otherwise the one that the
 * daemon with the lower id dialled. Both ends come to the same result.
 */
static bool supersedes(const struct peer *peer, const struct link *old,
		       const struct link *link)
{
	bool dialler_is_lower =
		link->dialled == (strcmp(peer->self.id, link->peer.id) < 0);

	return old->dialled == link->dialled || dialler_is_lower;
}

/*
 * Removes the member that was dialled if another daemon answered: the one in
 * the settings or the instance list was replaced. Returns true if the settings
 * contain the address, which is then kept under the new id.
 */
static bool remove_replaced_member(struct peer *peer, struct link *link)
{
	struct member *m = member_get(&peer->members, link->member);
	bool in_conf = false;

	if (!link->dialled || !m)
		return false;
	if (m->dialling == link->handle)
		m->dialling = 0;
	if (!strcmp(m->info.id, link->peer.id) || m->link)
		return false;
	log_info("peer replaced addr=%s old=%s new=%s", link->addr, m->info.id,
		 link->peer.id);
	in_conf = m->in_conf;
	remove_member(peer, m);
	return in_conf;
}

static void on_up(struct link *link)
{
	struct peer *peer = peer_of(link);
	uint64_t now = loop_now_ms();
	const char *addr = link->dialled ? link->addr : link->peer.addr;
	bool in_conf = remove_replaced_member(peer, link);
	struct member *m;
	struct link *old;

	link->member = 0;
	m = add_member(peer, link->peer.id, link->peer.az, addr, now);
	if (!m) {
		link_close(link, "too many daemons");
		return;
	}
	m->in_conf = m->in_conf || in_conf;
	old = link_get(peer, m->link);
	if (old && !supersedes(peer, old, link)) {
		link_close(link, "duplicate");
		return;
	}
	link->member = member_handle(&peer->members, m);
	m->link = link->handle;
	m->backoff = (struct link_backoff){ 0 };
	snprintf(m->info.region, sizeof(m->info.region), "%s",
		 link->peer.region);
	m->info.last_frame_ms = now;
	set_alive(peer, m, true);
	if (old)
		link_close(old, "replaced");
	send_heartbeat(peer, m, now);
	send_members(peer, link);
	publish_changes(peer, now);
}

static void fail_request(struct peer *peer, struct request *r,
			 enum err_kind kind, const char *reason)
{
	char text[ERR_TEXT_MAX];
	struct msg *reply;

	snprintf(text, sizeof(text), "daemon %s: %s", r->peer, reason);
	reply = request_failure(r, kind, text);
	bus_send(peer->env.bus, r->from, reply);
	request_close(&peer->outgoing, r);
}

/* Closes the pending requests of a lost connection, in both directions. */
static void close_link_requests(struct peer *peer, uint32_t link)
{
	for (uint32_t i = 0; i < peer->outgoing.size; i++) {
		struct request *r = &peer->outgoing.items[i];

		if (r->used && r->link == link)
			fail_request(peer, r, ERR_LOST,
				     "connection lost before the reply");
	}
	for (uint32_t i = 0; i < peer->incoming.size; i++) {
		struct request *r = &peer->incoming.items[i];

		if (r->used && r->link == link)
			request_close(&peer->incoming, r);
	}
}

static void on_down(struct link *link, const char *reason)
{
	struct peer *peer = peer_of(link);
	uint64_t now = loop_now_ms();
	struct member *m = member_get(&peer->members, link->member);

	peer->links[link->handle % LINKS_MAX] = NULL;
	if (m && m->dialling == link->handle) {
		m->dialling = 0;
		link_backoff_next(&m->backoff, now,
				  peer->env.conf->heartbeat_ms);
		if (!strcmp(link->peer.id, peer->self.id))
			m->addr[0] = '\0'; /* the address of this daemon */
	}
	if (m && m->link == link->handle) {
		m->link = 0;
		m->disconnected_ms = now;
		link_backoff_next(&m->backoff, now,
				  peer->env.conf->heartbeat_ms / 4);
	}
	close_link_requests(peer, link->handle);
	if (link->state != LINK_CONNECTING && log_allowed(peer, now))
		log_warn("peer connection closed peer=%s addr=%s reason=\"%s\"",
			 link->peer.id[0] ? link->peer.id : "-", link->addr,
			 reason);
}

/* Returns true if a change has to be published immediately. */
static bool state_differs(const struct peer_info *a, const struct peer_info *b)
{
	return a->holder != b->holder || a->draining != b->draining ||
	       a->epoch != b->epoch || a->cat_revision != b->cat_revision;
}

static void handle_heartbeat(struct peer *peer, struct link *link,
			     struct member *m, const struct frame *frame)
{
	struct peer_info info = m->info;

	if (!codec_unpack(CODEC_HEARTBEAT, &frame->body, &info)) {
		link_reject(link, FRAME_MALFORMED, "malformed heartbeat");
		return;
	}
	peer->publish_pending = true;
	if (state_differs(&info, &m->info))
		peer->publish_now = true;
	m->info = info;
}

static void handle_member(struct peer *peer, struct link *link,
			  const struct frame *frame)
{
	struct codec_member record = { 0 };

	if (!codec_unpack(CODEC_MEMBER, &frame->body, &record)) {
		link_reject(link, FRAME_MALFORMED, "malformed member");
		return;
	}
	/* An announcement adds a daemon but never updates a known one. */
	if (!member_find(&peer->members, record.id) &&
	    !member_addr_connected(&peer->members, record.addr))
		add_member(peer, record.id, record.az, record.addr,
			   loop_now_ms());
}

/* Sends @msg with the reference @ref; returns false if it cannot be queued. */
static bool send_msg(struct link *link, struct msg *msg, uint32_t ref)
{
	struct buf body = { 0 };
	uint32_t type;
	bool sent;

	msg->ref = ref;
	type = codec_pack_msg(msg, &body);
	sent = type && link_send(link, type, &body);
	buf_free(&body);
	return sent;
}

/*
 * Sends the reply to a request of a peer. A reply that does not fit into a
 * frame is replaced by an error with the same outcome, because the work ran.
 */
static void send_reply(struct link *link, struct msg *reply, uint32_t ref)
{
	struct err *err = NULL;

	if (send_msg(link, reply, ref))
		return;
	if (reply->kind == MSG_JOB_REPLY)
		err = &reply->job_reply.err;
	else if (reply->kind == MSG_CALL_REPLY)
		err = &reply->call_reply.err;
	if (err)
		err_set(err, ERR_INTERNAL,
			"reply of %zu bytes cannot be forwarded",
			reply->body.len);
	buf_free(&reply->body);
	send_msg(link, reply, ref);
}

/* Replies with the events since a sequence number, the newest that fit. */
static void reply_timeline(struct link *link, const struct msg *request)
{
	struct msg *reply = msg_new(MSG_TIMELINE_REPLY, TASK_PEER, 0);
	json_t *events = tl_since(request->peer.since);
	json_t *list = json_object_get(events, "events");
	char *text = json_dumps(events, JSON_COMPACT);

	while (text && strlen(text) > TIMELINE_BYTES_MAX &&
	       json_array_size(list)) {
		for (size_t n = json_array_size(list) / 4 + 1; n; n--)
			json_array_remove(list, 0);
		free(text);
		text = json_dumps(events, JSON_COMPACT);
	}
	reply->peer.answered = text != NULL;
	if (text)
		reply->body = buf_str(text);
	send_reply(link, reply, request->ref);
	free(text);
	json_decref(events);
	msg_free(reply);
}

static enum task_id serving_task(enum msg_kind kind)
{
	switch (kind) {
	case MSG_JOB:
	case MSG_PROMISE:
		return TASK_SCHED;
	case MSG_CAT_PULL:
		return TASK_CATALOGUE;
	default:
		return TASK_MINION;
	}
}

/* Sets the sender of a message in the field that its kind has for it. */
static void set_sender(struct msg *msg, const char *id)
{
	switch (msg->kind) {
	case MSG_PROMISE:
	case MSG_PROMISE_REPLY:
		snprintf(msg->promise.peer, sizeof(msg->promise.peer), "%s",
			 id);
		break;
	case MSG_CAT_PULL:
	case MSG_CAT_STATE:
		snprintf(msg->cat.peer, sizeof(msg->cat.peer), "%s", id);
		break;
	case MSG_TIMELINE:
	case MSG_TIMELINE_REPLY:
	case MSG_SLOT_DEMAND:
	case MSG_SLOT_GRANT:
		snprintf(msg->peer.peer, sizeof(msg->peer.peer), "%s", id);
		break;
	case MSG_CALL:
		msg->call.forwarded = true;
		break;
	default:
		break;
	}
}

/* Passes a request of a peer to the task that serves it; consumes @msg. */
static void handle_request(struct peer *peer, struct link *link,
			   struct msg *msg)
{
	uint32_t handle = request_open(&peer->incoming, msg, link->peer.id,
				       link->handle, loop_now_ms());

	if (!handle) {
		struct request full = request_from_msg(msg, peer->self.id);
		struct msg *reply = request_failure(&full, ERR_OVERLOADED,
						    "too many open requests");

		send_reply(link, reply, msg->ref);
		msg_free(reply);
		msg_free(msg);
		return;
	}
	msg->ref = handle;
	msg->from = TASK_PEER;
	bus_send(peer->env.bus, serving_task(msg->kind), msg);
}

/* Passes a reply to the requesting task; consumes @msg. */
static void handle_reply(struct peer *peer, struct link *link, struct msg *msg)
{
	struct request *r = request_find(&peer->outgoing, msg->ref);

	if (!r || r->link != link->handle ||
	    request_reply_kind(r->kind) != msg->kind) {
		ctr_add(peer->ctr.late_replies, 1);
		msg_free(msg);
		return;
	}
	msg->ref = r->ref;
	bus_send(peer->env.bus, r->from, msg);
	request_close(&peer->outgoing, r);
}

static void handle_msg(struct peer *peer, struct link *link,
		       const struct frame *frame)
{
	struct msg *msg = codec_unpack_msg(frame->type, &frame->body);

	if (!msg) {
		link_reject(link, FRAME_MALFORMED, "malformed message");
		return;
	}
	set_sender(msg, link->peer.id);
	switch (msg->kind) {
	case MSG_TIMELINE:
		reply_timeline(link, msg);
		msg_free(msg);
		break;
	case MSG_SLOT_DEMAND:
	case MSG_SLOT_GRANT:
		bus_send(peer->env.bus, serving_task(msg->kind), msg);
		break;
	case MSG_JOB:
	case MSG_CALL:
	case MSG_PROMISE:
	case MSG_CAT_PULL:
		handle_request(peer, link, msg);
		break;
	default:
		handle_reply(peer, link, msg);
		break;
	}
}

static void on_frame(struct link *link, const struct frame *frame)
{
	struct peer *peer = peer_of(link);
	struct member *m = member_get(&peer->members, link->member);
	uint64_t now = loop_now_ms();

	if (!m)
		return;
	m->info.last_frame_ms = now;
	set_alive(peer, m, true);
	if (frame->type == CODEC_HEARTBEAT)
		handle_heartbeat(peer, link, m, frame);
	else if (frame->type == CODEC_MEMBER)
		handle_member(peer, link, frame);
	else
		handle_msg(peer, link, frame);
	publish_changes(peer, now);
}

static const struct link_ops peer_link_ops = {
	.up = on_up,
	.frame = on_frame,
	.down = on_down,
};

/* Returns the destination of a request, or NULL with @kind and @reason set. */
static struct member *route(struct peer *peer, const struct msg *msg,
			    enum err_kind *kind, const char **reason)
{
	struct members *members = &peer->members;
	struct member *m;

	*kind = ERR_UNREACHABLE;
	*reason = "not connected";
	switch (msg->kind) {
	case MSG_JOB:
		m = member_find_holder(members, msg->job.az);
		break;
	case MSG_CALL:
		m = msg->call.to_holder
			    ? member_find_holder(members, msg->call.az)
			    : member_least_loaded(members, msg->call.az,
						  peer->self.region);
		break;
	case MSG_PROMISE:
		return member_find(members, msg->promise.peer);
	case MSG_CAT_PULL:
		return member_find(members, msg->cat.peer);
	default:
		return member_find(members, msg->peer.peer);
	}
	if (!m && (msg->kind == MSG_JOB || msg->call.to_holder)) {
		*kind = ERR_NO_HOLDER;
		*reason = "no daemon holds the claim of the zone";
	}
	return m;
}

/* Sends a request of a local task to another daemon. */
static void send_request(struct peer *peer, struct msg *msg)
{
	enum err_kind kind;
	const char *reason;
	struct member *m = route(peer, msg, &kind, &reason);
	struct link *link = m ? link_get(peer, m->link) : NULL;
	uint32_t handle =
		request_open(&peer->outgoing, msg, m ? m->info.id : "-",
			     m ? m->link : 0, loop_now_ms());
	struct request *r = request_find(&peer->outgoing, handle);

	ctr_add(peer->ctr.requests, 1);
	if (!r) {
		struct request full = request_from_msg(msg, "-");
		struct msg *reply = request_failure(&full, ERR_OVERLOADED,
						    "too many open requests");

		bus_reply(peer->env.bus, msg, reply);
		return;
	}
	if (link && send_msg(link, msg, handle))
		return;
	if (link) {
		kind = msg->body.len + 4096 > FRAME_MAX ? ERR_TOO_LARGE
							: ERR_UNREACHABLE;
		reason = "request cannot be queued for sending";
	}
	ctr_add(peer->ctr.not_sent, 1);
	fail_request(peer, r, kind, reason);
}

static void send_notification(struct peer *peer, struct msg *msg)
{
	struct member *m = member_find(&peer->members, msg->peer.peer);
	struct link *link = m ? link_get(peer, m->link) : NULL;

	if (link)
		send_msg(link, msg, 0);
}

/* Sends the reply of a task to the requesting peer, if still connected. */
static void reply_to_peer(struct peer *peer, struct msg *reply)
{
	struct request *r = request_find(&peer->incoming, reply->ref);
	struct link *link;

	if (!r || request_reply_kind(r->kind) != reply->kind)
		return;
	link = link_get(peer, r->link);
	if (link)
		send_reply(link, reply, r->ref);
	request_close(&peer->incoming, r);
}

static void update_instances(struct peer *peer, const struct inst_list *list)
{
	uint64_t now = loop_now_ms();

	for (uint32_t i = 0; i < MEMBER_MAX; i++)
		peer->members.items[i].in_list = false;
	for (uint32_t i = 0; i < list->count; i++) {
		const struct instance *inst = &list->items[i];
		struct member *m = NULL;

		if (inst->kind != INST_DAEMON)
			continue;
		/*
		 * The list may still name the previous daemon at an address
		 * that a connected one uses now.
		 */
		if (member_find(&peer->members, inst->id) ||
		    !member_addr_connected(&peer->members, inst->addr))
			m = add_member(peer, inst->id, inst->az, inst->addr,
				       now);
		if (m)
			m->in_list = true;
	}
	publish_changes(peer, now);
}

static void update_claim(struct peer *peer, const struct msg_claim *claim)
{
	bool changed = peer->self.holder != claim->held ||
		       peer->self.epoch != claim->epoch;

	peer->self.holder = claim->held;
	peer->self.epoch = claim->epoch;
	peer->self.window = claim->window;
	peer->valid_until_ms = claim->held ? claim->valid_until_ms : 0;
	if (changed)
		send_heartbeats(peer);
}

static void update_cat_revision(struct peer *peer, uint64_t revision)
{
	if (revision <= peer->self.cat_revision)
		return;
	peer->self.cat_revision = revision;
	send_heartbeats(peer);
}

static void peer_handle(struct task *task, struct msg *msg)
{
	struct peer *peer = (struct peer *)task;

	switch (msg->kind) {
	case MSG_INSTANCES:
		update_instances(peer, (const struct inst_list *)msg->obj);
		break;
	case MSG_CLAIM:
		update_claim(peer, &msg->claim);
		break;
	case MSG_CAT_CHANGED:
		update_cat_revision(peer, msg->cat.revision);
		break;
	case MSG_DRAIN:
		peer->self.draining = true;
		send_heartbeats(peer);
		break;
	case MSG_JOB:
	case MSG_CALL:
	case MSG_PROMISE:
	case MSG_CAT_PULL:
	case MSG_TIMELINE:
		send_request(peer, msg);
		break;
	case MSG_JOB_REPLY:
	case MSG_CALL_REPLY:
	case MSG_PROMISE_REPLY:
	case MSG_CAT_STATE:
		reply_to_peer(peer, msg);
		break;
	case MSG_SLOT_DEMAND:
	case MSG_SLOT_GRANT:
		send_notification(peer, msg);
		break;
	default:
		break;
	}
}

/* Returns true while a peer's request is pending or data is unsent. */
static bool peer_busy(struct task *task)
{
	const struct peer *peer = (const struct peer *)task;

	if (peer->incoming.count)
		return true;
	for (uint32_t i = 0; i < LINKS_MAX; i++) {
		if (peer->links[i] && link_unsent(peer->links[i]))
			return true;
	}
	return false;
}

static void dial(struct peer *peer, struct member *m, uint64_t now)
{
	bool lower = strcmp(peer->self.id, m->info.id) < 0;
	uint64_t wait = (uint64_t)heartbeat_interval_ms(peer, m) *
			FALLBACK_DIAL_INTERVALS;
	struct link *link;

	if (m->link || m->dialling || !m->addr[0] || now < m->backoff.at_ms ||
	    (!lower && now - m->disconnected_ms < wait))
		return;
	link = link_dial(&peer->link_env, m->addr);
	if (!link) {
		link_backoff_next(&m->backoff, now,
				  peer->env.conf->heartbeat_ms);
		return;
	}
	link->member = member_handle(&peer->members, m);
	if (!link_register(peer, link)) {
		link_discard(link);
		return;
	}
	m->dialling = link->handle;
}

static void tick_member(struct peer *peer, struct member *m, uint64_t now)
{
	uint64_t timeout = (uint64_t)heartbeat_interval_ms(peer, m) *
			   PEER_TIMEOUT_INTERVALS;
	struct link *link = link_get(peer, m->link);

	if (link && now - link->last_frame_ms > timeout) {
		ctr_add(peer->ctr.timeouts, 1);
		link_close(link, "silent");
	} else if (link && now >= m->next_heartbeat_ms) {
		send_heartbeat(peer, m, now);
	}
	if (m->info.alive && now - m->info.last_frame_ms > timeout)
		set_alive(peer, m, false);
	if (!m->link && !m->dialling && !m->in_conf && !m->in_list &&
	    !m->info.alive &&
	    now - m->disconnected_ms > UNLISTED_MEMBER_TTL_MS) {
		remove_member(peer, m);
		return;
	}
	dial(peer, m, now);
}

static void expire_requests(struct peer *peer, uint64_t now)
{
	for (uint32_t i = 0; i < peer->outgoing.size; i++) {
		struct request *r = &peer->outgoing.items[i];

		if (r->used && now >= r->expires_ms)
			fail_request(peer, r, ERR_LOST, "no answer in time");
	}
	/*
	 * The requesting peer has timed out too. Closing its request here
	 * keeps a task that never replies from blocking a graceful stop.
	 */
	for (uint32_t i = 0; i < peer->incoming.size; i++) {
		struct request *r = &peer->incoming.items[i];

		if (r->used && now >= r->expires_ms + INCOMING_MARGIN_MS)
			request_close(&peer->incoming, r);
	}
}

static uint32_t tick_ms(const struct peer *peer)
{
	uint32_t near = peer->env.conf->heartbeat_ms;
	uint32_t far = peer->env.conf->far_heartbeat_ms;

	return (near < far ? near : far) / TICKS_PER_INTERVAL;
}

static void on_tick(struct timer *timer)
{
	struct peer *peer = timer->ctx;
	uint64_t now = loop_now_ms();
	uint64_t handshake =
		(uint64_t)peer->env.conf->heartbeat_ms * PEER_TIMEOUT_INTERVALS;
	uint32_t up = 0;

	for (uint32_t i = 0; i < LINKS_MAX; i++) {
		struct link *link = peer->links[i];

		if (!link)
			continue;
		if (link->state == LINK_UP)
			up++;
		else if (now - link->opened_ms > handshake)
			link_close(link, "handshake timed out");
	}
	for (uint32_t i = 0; i < MEMBER_MAX; i++) {
		if (peer->members.items[i].used)
			tick_member(peer, &peer->members.items[i], now);
	}
	expire_requests(peer, now);
	ctr_set(peer->ctr.links, up);
	publish_changes(peer, now);
	timer_start(peer->env.loop, &peer->tick, tick_ms(peer));
}

static void on_accept(h2o_socket_t *listener, const char *error)
{
	struct peer *peer = listener->data;
	h2o_socket_t *sock = error ? NULL : h2o_evloop_socket_accept(listener);
	struct link *link;

	if (!sock)
		return;
	link = link_accept(&peer->link_env, sock);
	if (!link_register(peer, link))
		link_discard(link);
}

static void open_listener(struct peer *peer, int fd)
{
	struct codec_hello *self = &peer->link_env.self;
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof(sin);
	char host[INET_ADDRSTRLEN] = "";

	if (!getsockname(fd, (struct sockaddr *)&sin, &len))
		peer->port = ntohs(sin.sin_port);
	inet_ntop(AF_INET, &sin.sin_addr, host, sizeof(host));
	snprintf(self->addr, sizeof(self->addr), "%s:%d", host, peer->port);
	peer->listener = h2o_evloop_socket_create(loop_h2o(peer->env.loop), fd,
						  H2O_SOCKET_FLAG_DONT_READ);
	peer->listener->data = peer;
	h2o_socket_read_start(peer->listener, on_accept);
}

static void open_counters(struct peer *peer)
{
	peer->ctr.links = ctr_gauge("jayspoke_peer_links",
				    "Authenticated connections to peers.");
	peer->ctr.alive =
		ctr_gauge("jayspoke_peers_alive", "Daemons heard of in time.");
	peer->ctr.requests = ctr_counter("jayspoke_peer_requests_total",
					 "Requests to peers.");
	peer->ctr.not_sent =
		ctr_counter("jayspoke_peer_requests_not_sent_total",
			    "Requests for which no peer was connected.");
	peer->ctr.late_replies =
		ctr_counter("jayspoke_peer_late_answers_total",
			    "Answers that came after the deadline.");
	peer->ctr.timeouts = ctr_counter(
		"jayspoke_peer_silent_links_total",
		"Connections closed because nothing came for three intervals.");
	peer->ctr.inflight = ctr_gauge("jayspoke_calls_open",
				       "Interactive requests in progress.");
	peer->ctr.free_milli =
		ctr_gauge("jayspoke_zone_free_milli",
			  "Free share of the zone's capacity, in thousandths.");
}

static const struct task_ops peer_ops = {
	.name = "peer",
	.handle = peer_handle,
	.busy = peer_busy,
};

static void fill_self(struct peer *peer)
{
	const struct conf *conf = peer->env.conf;
	struct codec_hello *self = &peer->link_env.self;

	memcpy(self->id, conf->id, sizeof(self->id));
	memcpy(self->az, conf->az, sizeof(self->az));
	memcpy(self->region, conf->region, sizeof(self->region));
	memcpy(peer->self.id, conf->id, sizeof(self->id));
	memcpy(peer->self.az, conf->az, sizeof(self->az));
	memcpy(peer->self.region, conf->region, sizeof(self->region));
}

/*
 * Creates the peer task: listens for daemons and connects to those in the
 * settings. Discovers others from the instance list and from its peers. Returns
 * NULL with @err set when it cannot listen on the address.
 */
struct task *peer_new(const struct env *env, struct err *err)
{
	int fd = addr_listen(env->conf->listen_peers, PEER_BACKLOG, err);
	uint64_t now = loop_now_ms();
	struct peer *peer;

	if (fd < 0)
		return NULL;
	peer = xcalloc(1, sizeof(*peer));
	peer->task.ops = &peer_ops;
	peer->env = *env;
	peer->link_env = (struct link_env){
		.loop = env->loop,
		.ops = &peer_link_ops,
		.ctx = peer,
		.secret = env->conf->key,
		.secret_len = env->conf->key_len,
	};
	link_env_open(&peer->link_env);
	peer->tick = (struct timer){ .fn = on_tick, .ctx = peer };
	fill_self(peer);
	open_counters(peer);
	open_listener(peer, fd);
	for (uint32_t i = 0; i < env->conf->peer_count; i++) {
		const struct conf_peer *p = &env->conf->peers[i];
		struct member *m = add_member(peer, p->id, p->az, p->addr, now);

		if (m)
			m->in_conf = true;
	}
	bus_register(env->bus, TASK_PEER, &peer->task);
	timer_start(env->loop, &peer->tick, 0);
	return &peer->task;
}

/* Returns the port of the listener, also if the settings say port 0. */
int peer_port(const struct task *task)
{
	return ((const struct peer *)task)->port;
}

/* Closes the connections and frees the task; only tests use this. */
void peer_free(struct task *task)
{
	struct peer *peer = (struct peer *)task;

	timer_stop(peer->env.loop, &peer->tick);
	h2o_socket_read_stop(peer->listener);
	h2o_socket_close(peer->listener);
	for (uint32_t i = 0; i < LINKS_MAX; i++) {
		if (peer->links[i])
			link_close(peer->links[i], "shutdown");
	}
	link_env_close(&peer->link_env);
	bus_register(peer->env.bus, TASK_PEER, NULL);
	request_table_free(&peer->outgoing);
	request_table_free(&peer->incoming);
	free(peer);
}
