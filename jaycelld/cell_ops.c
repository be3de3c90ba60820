/*
 * Callbacks of the cell scheduler: commands to minions, advice requests,
 * journal records and log events.
 */
#include <stdio.h>

#include "holder_int.h"
#include "platform/minion.h"

static struct holder *to_holder(struct cell_owner *owner)
{
	return (struct holder *)owner;
}

static void on_start(void *ctx, uint32_t minion, const char *task, uint64_t run,
		     enum cell_result result)
{
	struct holder *h = ctx;

	if (!holder_end_call(h))
		return;
	cell_on_start(h->cell, minion, task, run, result, loop_now_ms());
	if (result != CELL_REJECTED_FENCE)
		return;
	terms_want_confirmation(h->d->terms, loop_now_ms());
	ev("fenced", "task=%s run=%llu token=%llu", task,
	   (unsigned long long)run, (unsigned long long)h->token);
}

static void op_start(struct cell_owner *owner, const struct cell_start *start)
{
	struct holder *h = to_holder(owner);

	h->calls_in_flight++;
	ctr_add(h->starts, 1);
	pf_start(h->d->httpc, start, h->token, on_start, h);
}

static void on_stop(void *ctx, uint32_t minion, const char *task, uint64_t run,
		    enum cell_result result)
{
	struct holder *h = ctx;

	if (holder_end_call(h))
		cell_on_stop(h->cell, minion, task, run, result, loop_now_ms());
}

static void op_stop(struct cell_owner *owner, const struct cell_stop *stop)
{
	struct holder *h = to_holder(owner);

	h->calls_in_flight++;
	ev("run-stop", "task=%s run=%llu minion=%s", stop->task,
	   (unsigned long long)stop->run, stop->minion_id);
	pf_stop(h->d->httpc, stop, h->token, on_stop, h);
}

static void on_paced(void *ctx, uint32_t minion, const char *task, uint64_t run,
		     uint32_t percent, enum cell_result result)
{
	struct holder *h = ctx;

	if (holder_end_call(h))
		cell_on_pace(h->cell, minion, task, run, percent, result);
}

static void op_pace(struct cell_owner *owner, const struct cell_pace *pace)
{
	struct holder *h = to_holder(owner);

	h->calls_in_flight++;
	pf_pace(h->d->httpc, pace, h->token, on_paced, h);
}

static void on_poll(void *ctx, uint32_t minion, const char *id,
		    enum cell_result result, const struct cell_report *report,
		    uint64_t sent_ms)
{
	struct holder *h = ctx;
	uint64_t now = loop_now_ms();

	if (!holder_end_call(h))
		return;
	if (report)
		cell_on_report(h->cell, minion, id, report, sent_ms, now);
	else
		cell_on_poll_failed(h->cell, minion, id, result, sent_ms, now);
	if (result == CELL_REJECTED_FENCE)
		terms_want_confirmation(h->d->terms, now);
}

static void op_poll(struct cell_owner *owner, uint32_t minion)
{
	struct holder *h = to_holder(owner);
	struct cell_poll poll;

	if (!cell_poll_request(h->cell, minion, &poll, loop_now_ms()))
		return;
	h->calls_in_flight++;
	pf_poll(h->d->httpc, minion, &poll, h->token, on_poll, h);
}

/* Handles the response to an advice request of this daemon. */
static void on_own_advice(void *ctx, uint32_t request_id, bool answered,
			  const struct cell_ticket *tickets, uint32_t count)
{
	struct holder *h = ctx;

	if (holder_end_call(h))
		cell_on_advice(h->cell, request_id, answered, tickets, count,
			       loop_now_ms());
}

static void op_request_advice(struct cell_owner *owner,
			      const struct cell_advice_request *q)
{
	struct holder *h = to_holder(owner);

	if (q->lane == 0) {
		h->calls_in_flight++;
		cd_advise(h->d, q->handle, q->step, q->minions, q->count,
			  on_own_advice, h);
		return;
	}
	if (!links_send_advice_request(h->d->links, q->lane, q))
		cell_on_advice(h->cell, q->handle, false, NULL, 0,
			       loop_now_ms());
}

static void op_record(struct cell_owner *owner, uint64_t seq,
		      const struct cell_record *record)
{
	journal_add(to_holder(owner), seq, record);
}

static void op_event(struct cell_owner *owner, const struct cell_event *e)
{
	const struct cell_lease_state *l = e->lease;
	const struct cell_evidence *shown = e->evidence;
	char input[32] = "";
	char lease[160] = "";
	char evidence[112] = "";

	(void)owner;
	if (e->input)
		snprintf(input, sizeof(input), " input=%llu",
			 (unsigned long long)e->input);
	if (l && l->clock_ms)
		snprintf(lease, sizeof(lease),
			 " clock_ms=%llu clock_age_ms=%llu estimate_ms=%llu "
			 "deadline_ms=%llu deadline_age_ms=%llu",
			 (unsigned long long)l->clock_ms,
			 (unsigned long long)l->clock_age_ms,
			 (unsigned long long)l->estimate_ms,
			 (unsigned long long)l->deadline_ms,
			 (unsigned long long)l->deadline_age_ms);
	if (shown)
		snprintf(evidence, sizeof(evidence),
			 " born=%llu sent_ago_ms=%llu lease_over_ms=%llu",
			 (unsigned long long)shown->born_unix_ms,
			 (unsigned long long)shown->sent_ago_ms,
			 (unsigned long long)shown->lease_over_ms);
	ev(e->what,
	   "id=%s minion=%s run=%llu detail=\"%s\" age_ms=%llu "
	   "value=%llu%s%s%s",
	   e->task  ? e->task
	   : e->job ? e->job
		    : "-",
	   e->minion ? e->minion : "-", (unsigned long long)e->run,
	   e->detail ? e->detail : "", (unsigned long long)e->age_ms,
	   (unsigned long long)e->value, input, lease, evidence);
}

static void op_job_expired(struct cell_owner *owner, const char *job)
{
	struct holder *h = to_holder(owner);
	char key[sizeof(CD_JOB_PREFIX) + CELL_ID_MAX];

	snprintf(key, sizeof(key), CD_JOB_PREFIX "%s", job);
	gc_delete_later(h->gc, key);
}

const struct cell_ops holder_ops = {
	.start = op_start,
	.stop = op_stop,
	.pace = op_pace,
	.request_advice = op_request_advice,
	.record = op_record,
	.poll = op_poll,
	.job_expired = op_job_expired,
	.event = op_event,
};
