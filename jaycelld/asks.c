/*
 * Questions to whichever daemon is the holder. They survive a change of the
 * holder, since each may be asked again, and end with their deadline.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "celld.h"

#define TICK_MS 20
/* A question without an answer is sent again, also on the same link, in ms. */
#define REPEAT_MS 700
/* After an answer that the holder is not ready, in ms. */
#define NOT_READY_MS 40

struct question {
	uint32_t ref; /* 0: free */
	enum cd_op op;
	char text[CELL_NAME_MAX];
	struct buf blob;
	uint64_t since_ms;
	uint64_t deadline_ms;
	uint64_t send_ms; /* not before */
	/* Sent to a holder that has not said that it did nothing. */
	uint32_t unsettled;
	cd_answered done;
	void *ctx;
};

struct asks {
	struct celld *d;
	struct question **slots;
	uint32_t count;
	uint32_t open;
	uint32_t generation;
	struct timer tick;
};

static void finish(struct asks *asks, struct question *q, enum cd_answer answer,
		   uint32_t number)
{
	cd_answered done = q->done;
	void *ctx = q->ctx;

	buf_free(&q->blob);
	q->ref = 0;
	asks->open--;
	done(ctx, answer, number);
}

static void dispatch(struct asks *asks, struct question *q, uint64_t now)
{
	struct celld *d = asks->d;
	struct cd_asker self = { .ref = q->ref };

	q->send_ms = now + REPEAT_MS;
	q->unsettled++;
	if (d->holder && holder_ready(d->holder)) {
		holder_query(d->holder, &self, q->op, q->text, &q->blob);
		return;
	}
	if (!d->holder && links_up(d->links) &&
	    links_send_query(d->links, q->ref, q->op, q->text, &q->blob))
		return;
	q->unsettled--;
	q->send_ms = now + NOT_READY_MS;
}

/*
 * Returns what the caller may be told: a holder that refuses says so of its own
 * copy of the question only, and another copy may still be carried out.
 */
static enum cd_answer certain(const struct question *q, enum cd_answer answer)
{
	return answer == CD_REFUSED && q->unsettled > 1 ? CD_UNKNOWN : answer;
}

/* Returns the answer to a question whose deadline has passed. */
static enum cd_answer too_late(const struct question *q)
{
	switch (q->op) {
	case CD_OP_STATE:
	case CD_OP_PENDING:
		return CD_RETRY;
	default:
		return q->unsettled ? CD_UNKNOWN : CD_REFUSED;
	}
}

/*
 * Asks the holder. @done is called once. Without an answer before the deadline
 * it is told CD_RETRY for a question that changes nothing, CD_REFUSED for a
 * change that no holder can have begun, and CD_UNKNOWN otherwise.
 */
void asks_send(struct asks *asks, enum cd_op op, const char *text,
	       const struct buf *blob, uint64_t deadline_ms, cd_answered done,
	       void *ctx)
{
	struct question *q = NULL;
	uint32_t i = 0;

	while (i < asks->count && asks->slots[i]->ref)
		i++;
	if (i == asks->count) {
		asks->slots =
			xrealloc(asks->slots, (asks->count + 1) * sizeof(q));
		asks->slots[asks->count++] = xcalloc(1, sizeof(*q));
	}
	q = asks->slots[i];
	*q = (struct question){ .op = op,
				.since_ms = loop_now_ms(),
				.deadline_ms = deadline_ms,
				.done = done,
				.ctx = ctx };
	asks->generation = (asks->generation + 1) & 0xffff;
	q->ref = asks->generation << 16 | (i + 1);
	snprintf(q->text, sizeof(q->text), "%s", text);
	if (blob && blob->len)
		q->blob = buf_copy(blob->data, blob->len);
	asks->open++;
	dispatch(asks, q, q->since_ms);
}

/* Takes the answer to the question @ref; late answers are ignored. */
void asks_answer(struct asks *asks, uint32_t ref, enum cd_answer answer,
		 uint32_t number)
{
	uint32_t at = (ref & 0xffff) - 1;
	struct question *q;

	if (!(ref & 0xffff) || at >= asks->count)
		return;
	q = asks->slots[at];
	if (q->ref != ref)
		return;
	if (answer == CD_RETRY) {
		q->unsettled -= q->unsettled > 0;
		q->send_ms = loop_now_ms() + NOT_READY_MS;
		return;
	}
	finish(asks, q, certain(q, answer), number);
}

/* Asks the new holder what its predecessor did not answer. */
void asks_holder_changed(struct asks *asks)
{
	uint64_t now = loop_now_ms();

	for (uint32_t i = 0; i < asks->count; i++) {
		if (asks->slots[i]->ref)
			asks->slots[i]->send_ms = now;
	}
}

/* Repeats and ends questions. */
void asks_tick(struct asks *asks, uint64_t now_ms)
{
	for (uint32_t i = 0; i < asks->count; i++) {
		struct question *q = asks->slots[i];

		if (!q->ref)
			continue;
		if (now_ms >= q->deadline_ms) {
			ev("ask-timeout",
			   "op=%u text=%s waited_ms=%llu "
			   "unsettled=%u linked=%d",
			   q->op, q->text,
			   (unsigned long long)(now_ms - q->since_ms),
			   q->unsettled, links_up(asks->d->links));
			finish(asks, q, too_late(q), 0);
		} else if (now_ms >= q->send_ms) {
			dispatch(asks, q, now_ms);
		}
	}
}

static void on_tick(struct timer *timer)
{
	struct asks *asks = timer->ctx;

	asks_tick(asks, loop_now_ms());
	timer_start(asks->d->loop, &asks->tick, TICK_MS);
}

/* Returns the number of questions without an answer. */
uint32_t asks_open(const struct asks *asks)
{
	return asks->open;
}

struct asks *asks_new(struct celld *d)
{
	struct asks *asks = xcalloc(1, sizeof(*asks));

	asks->d = d;
	asks->tick = (struct timer){ .fn = on_tick, .ctx = asks };
	timer_start(d->loop, &asks->tick, TICK_MS);
	return asks;
}
