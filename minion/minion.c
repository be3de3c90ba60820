#include <stdlib.h>
#include <string.h>

#include "calls.h"
#include "ctr.h"
#include "tl.h"

#define MINION_TICK_MS 1000
/* Limits slot messages while requests queue faster than slots are granted. */
#define MINION_DEMAND_INTERVAL_MIN_MS 100

struct minion_task {
	struct task task;
	const struct env *env;
	struct entries *entries;
	struct backends backends;
	struct calls *calls;
	struct msg_claim claim;
	struct timer tick;
	uint64_t last_demand_ms;
	bool draining;
	uint64_t drain_end_ms; /* end of the lag of the load balancer */
	bool released;	       /* slots released, final */
	ctr_id dropped;
	/* Buffers for encoding and decoding; too large for the stack. */
	struct slot_demand demand;
	struct slot_grant grant;
	char body[SLOT_BODY_MAX];
};

static void send_slot_body(struct minion_task *m, enum msg_kind kind,
			   const char *peer, size_t len)
{
	struct msg *msg = msg_new(kind, TASK_MINION, 0);

	if (!len) {
		msg_free(msg);
		return;
	}
	memcpy(msg->peer.peer, peer, sizeof(msg->peer.peer));
	msg->body = buf_copy(m->body, len);
	bus_send(m->env->bus, TASK_PEER, msg);
}

/* Sends the slot demand to the holder, or handles it if held here. */
static void send_demand(struct minion_task *m)
{
	uint64_t now = loop_now_ms();
	const char *self = m->env->conf->id;

	m->last_demand_ms = now;
	calls_report_demand(m->calls, now);
	if (!m->claim.holder[0] || m->released)
		return;
	slot_make_demand(m->backends.slots, &m->demand, now);
	if (strcmp(m->claim.holder, self) != 0) {
		send_slot_body(m, MSG_SLOT_DEMAND, m->claim.holder,
			       slot_encode_demand(&m->demand, m->body,
						  sizeof(m->body)));
	} else if (entries_loaded(m->entries) &&
		   slot_handle_demand(m->backends.slots, self, &m->demand,
				      &m->grant, now) &&
		   slot_handle_grant(m->backends.slots, &m->grant, now)) {
		calls_dispatch(m->calls);
	}
}

/* Sends the release to all members, as any of them may be the next holder. */
static void release_slots(struct minion_task *m)
{
	m->released = true;
	slot_release(m->backends.slots);
	calls_stop(m->calls);
	slot_make_demand(m->backends.slots, &m->demand, loop_now_ms());
	for (uint32_t i = 0; i < m->claim.member_count; i++) {
		if (!strcmp(m->claim.members[i], m->env->conf->id))
			continue;
		send_slot_body(m, MSG_SLOT_DEMAND, m->claim.members[i],
			       slot_encode_demand(&m->demand, m->body,
						  sizeof(m->body)));
	}
}

static void on_tick(struct timer *timer)
{
	struct minion_task *m = timer->ctx;

	backends_refresh(&m->backends, m->entries, loop_now_ms());
	send_demand(m);
	calls_dispatch(m->calls);
	timer_start(m->env->loop, &m->tick, MINION_TICK_MS);
}

static void on_call(struct minion_task *m, struct msg *msg)
{
	uint64_t now = loop_now_ms();

	calls_submit(m->calls, msg);
	if (!calls_queued(m->calls) ||
	    now < m->last_demand_ms + MINION_DEMAND_INTERVAL_MIN_MS)
		return;
	calls_report_demand(m->calls, now);
	if (slot_needs_more(m->backends.slots, now))
		send_demand(m);
}

static void on_claim(struct minion_task *m, const struct msg_claim *claim)
{
	uint64_t now = loop_now_ms();
	struct slot_claim slots = {
		.epoch = claim->epoch,
		.held = claim->held,
		.valid_until_ms = claim->valid_until_ms,
		.members_version = claim->members_version,
		.member_count = claim->member_count,
	};
	bool new_holder = strcmp(claim->holder, m->claim.holder) != 0 ||
			  claim->epoch != m->claim.epoch;

	_Static_assert(sizeof(slots.members) == sizeof(claim->members),
		       "member lists differ");
	memcpy(slots.members, claim->members, sizeof(slots.members));
	m->claim = *claim;
	slot_set_claim(m->backends.slots, &slots, now);
	calls_set_claim(m->calls, claim, now);
	if (new_holder)
		send_demand(m);
}

static void on_catalogue(struct minion_task *m, const struct msg *msg)
{
	bool first = !entries_loaded(m->entries);

	entries_set(m->entries, msg);
	slot_set_request_timeout(
		m->backends.slots,
		entries_max_timeout_ms(m->entries, CALL_TIMEOUT_MS));
	backends_refresh(&m->backends, m->entries, loop_now_ms());
	calls_dispatch(m->calls);
	if (first)
		send_demand(m);
}

static void on_instances(struct minion_task *m, const struct msg *msg)
{
	backends_set(&m->backends, (const struct inst_list *)msg->obj,
		     m->entries, loop_now_ms());
	calls_report_demand(m->calls, loop_now_ms());
	calls_dispatch(m->calls);
}

static void on_demand(struct minion_task *m, const struct msg *msg)
{
	if (!slot_decode_demand(msg->body.data, msg->body.len, &m->demand)) {
		ctr_add(m->dropped, 1);
		return;
	}
	/* No grants without a catalogue: its longest timeout bounds them. */
	if ((!entries_loaded(m->entries) &&
	     m->demand.applied != SLOT_RELEASED) ||
	    !slot_handle_demand(m->backends.slots, msg->peer.peer, &m->demand,
				&m->grant, loop_now_ms()))
		return;
	send_slot_body(m, MSG_SLOT_GRANT, msg->peer.peer,
		       slot_encode_grant(&m->grant, m->body, sizeof(m->body)));
}

static void on_grant(struct minion_task *m, const struct msg *msg)
{
	if (!slot_decode_grant(msg->body.data, msg->body.len, &m->grant)) {
		ctr_add(m->dropped, 1);
		return;
	}
	if (slot_handle_grant(m->backends.slots, &m->grant, loop_now_ms()))
		calls_dispatch(m->calls);
}

static void minion_handle(struct task *task, struct msg *msg)
{
	struct minion_task *m = (struct minion_task *)task;

	switch (msg->kind) {
	case MSG_CALL:
		on_call(m, msg);
		break;
	case MSG_CALL_CANCEL:
		calls_cancel(m->calls, msg);
		break;
	case MSG_CLAIM:
		on_claim(m, &msg->claim);
		break;
	case MSG_CAT_CHANGED:
		on_catalogue(m, msg);
		break;
	case MSG_INSTANCES:
		on_instances(m, msg);
		break;
	case MSG_DRAIN:
		m->draining = true;
		m->drain_end_ms = loop_now_ms() + m->env->conf->drain_lag_ms;
		break;
	case MSG_SLOT_DEMAND:
		on_demand(m, msg);
		break;
	case MSG_SLOT_GRANT:
		on_grant(m, msg);
		break;
	default:
		break;
	}
}

/*
 * Shutdown ends with the release of the slots. The holder keeps them until its
 * claim is handed over, because it may still receive at-most-once requests that
 * no other daemon may run.
 */
static bool minion_busy(struct task *task)
{
	struct minion_task *m = (struct minion_task *)task;

	if (calls_open(m->calls) || !m->draining)
		return calls_open(m->calls) > 0;
	if (m->released)
		return false;
	if (loop_now_ms() >= m->drain_end_ms && !m->claim.held) {
		release_slots(m);
		return true;
	}
	return !m->claim.held;
}

static const struct task_ops minion_ops = {
	.name = "minion",
	.handle = minion_handle,
	.busy = minion_busy,
};

/* Creates the minion task and registers it on the bus; never fails. */
struct task *minion_new(const struct env *env, struct err *err)
{
	struct minion_task *m = xcalloc(1, sizeof(*m));

	(void)err;
	m->task.ops = &minion_ops;
	m->env = env;
	m->entries = entries_new();
	m->backends.slots = slot_new(env->conf->id, env->conf->grant_term_ms);
	m->backends.httpc = env->httpc;
	m->calls = calls_new(env, m->entries, &m->backends);
	m->dropped = ctr_counter("jayspoke_slot_messages_dropped_total",
				 "Malformed slot messages.");
	m->tick = (struct timer){ .fn = on_tick, .ctx = m };
	timer_start(env->loop, &m->tick, MINION_TICK_MS);
	bus_register(env->bus, TASK_MINION, &m->task);
	return &m->task;
}
