/* Records that are not durable yet, and the actions that wait for them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell_int.h"

static struct cell_pending_record *pending_add(struct cell *cell)
{
	uint32_t live = cell->pending_count - cell->pending_head;

	if (cell->pending_head > 256 && cell->pending_head > live) {
		memmove(cell->pending, cell->pending + cell->pending_head,
			live * sizeof(*cell->pending));
		cell->pending_head = 0;
		cell->pending_count = live;
	}
	cell_grow((void **)&cell->pending, &cell->pending_capacity,
		  cell->pending_count, sizeof(*cell->pending));
	cell->pending[cell->pending_count] =
		(struct cell_pending_record){ .minion = CELL_NONE };
	return &cell->pending[cell->pending_count++];
}

/*
 * Appends @record to the journal and returns its sequence number. @minion and
 * @number identify the end that it makes durable; @minion may be NULL.
 */
uint64_t cell_record_add(struct cell *cell, const struct cell_record *record,
			 const char *job, struct cell_minion *minion,
			 uint64_t number, uint64_t now_ms)
{
	struct cell_pending_record *p = pending_add(cell);

	(void)now_ms;
	p->seq = ++cell->next_seq;
	p->kind = record->kind;
	if (job)
		snprintf(p->job, sizeof(p->job), "%s", job);
	if (minion) {
		p->minion = minion->handle;
		p->incarnation = minion->incarnation;
		p->number = number;
	}
	cell->owner->ops->record(cell->owner, p->seq, record);
	return cell->next_seq;
}

/*
 * Appends a record of a snapshot to the journal; returns its sequence number.
 */
uint64_t cell_append_record(struct cell *cell, const struct cell_record *record)
{
	return cell_record_add(cell, record, NULL, NULL, 0, 0);
}

/*
 * Acknowledges the ends of the minion up to @number once all records issued so
 * far are durable. The end @number itself needs no record.
 */
void cell_ack_ends(struct cell *cell, struct cell_minion *minion,
		   uint64_t number)
{
	struct cell_pending_record *p;

	if (cell->durable_seq >= cell->next_seq) {
		if (number > minion->last_end_durable)
			minion->last_end_durable = number;
		return;
	}
	p = pending_add(cell);
	p->seq = cell->next_seq;
	p->kind = CELL_RECORD_END;
	p->minion = minion->handle;
	p->incarnation = minion->incarnation;
	p->number = number;
}

static void pending_complete(struct cell *cell,
			     const struct cell_pending_record *p,
			     uint64_t now_ms)
{
	struct cell_job *job = p->job[0] ? cell_job_find(cell, p->job) : NULL;
	struct cell_minion *m = NULL;

	if (p->minion != CELL_NONE && p->minion < cell->minion_count)
		m = cell->minions[p->minion];
	if (m && (!m->used || m->incarnation != p->incarnation))
		m = NULL;
	if (m && p->kind == CELL_RECORD_END && p->number > m->last_end_durable)
		m->last_end_durable = p->number;
	if (m && p->kind == CELL_RECORD_ENROLLED) {
		m->enrolled = true;
		m->enrolling = false;
		cell->dirty = true;
	}
	if (m && m->last_end_durable == m->last_end_handled)
		m->next_poll_ms = now_ms;
	if (job && job->pending_records) {
		job->pending_records--;
		cell_job_publish_state(cell, job, now_ms);
	}
}

/* Handles that all records up to @seq are durable. */
void cell_on_durable(struct cell *cell, uint64_t seq, uint64_t now_ms)
{
	cell->durable_seq = seq;
	while (cell->pending_head < cell->pending_count &&
	       cell->pending[cell->pending_head].seq <= seq) {
		struct cell_pending_record p =
			cell->pending[cell->pending_head];

		cell->pending_head++;
		pending_complete(cell, &p, now_ms);
	}
}
