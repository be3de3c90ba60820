/*
 * Polls of minions, and how long the response to a call is waited for. Where
 * responses are late, because of the links or because this process is slow,
 * they are late for most minions of a zone at the same time: the timeouts
 * follow the response times of the zone. A minion whose response is overdue
 * counts as silent and is polled again, but the response is still used when it
 * arrives.
 */
#include <stdio.h>
#include <string.h>

#include "cell/cell_int.h"

/* Shortest timeout of a start, stop or pace order, in ms. */
#define ORDER_TIMEOUT_MS 600
/* Shortest time after which the response to a poll is overdue, in ms. */
#define POLL_OVERDUE_MS 700
/* Longest value of either, in ms. */
#define TIMEOUT_MAX_MS 3000
/* How long the response to a poll is accepted, in ms. */
#define POLL_TIMEOUT_MS 5000
/* As above, of a minion that has not responded to an earlier poll, in ms. */
#define POLL_RETRY_TIMEOUT_MS 3000

/* Returns the entry of an availability zone, which is added if necessary. */
static struct cell_zone *zone_get(struct cell *cell, const char *name)
{
	struct cell_zone *zone;

	for (uint32_t i = 0; i < cell->zone_count; i++) {
		if (!strcmp(cell->zones[i].name, name))
			return &cell->zones[i];
	}
	cell_grow((void **)&cell->zones, &cell->zone_capacity, cell->zone_count,
		  sizeof(*cell->zones));
	zone = &cell->zones[cell->zone_count++];
	*zone = (struct cell_zone){ 0 };
	snprintf(zone->name, sizeof(zone->name), "%s", name);
	return zone;
}

/*
 * Adds the time that a response of the minion took, beyond the wait that was
 * asked for.
 */
void cell_response_time_add(struct cell *cell, const struct cell_minion *m,
			    uint64_t took_ms)
{
	rtt_add(&zone_get(cell, m->info.az)->rtt, took_ms);
}

/* Handles that an order to a minion was not answered in @timeout_ms. */
void cell_response_missed(struct cell *cell, const struct cell_minion *m,
			  uint64_t timeout_ms)
{
	if (!m->failing)
		rtt_add_missed(&zone_get(cell, m->info.az)->rtt, timeout_ms);
}

static uint32_t response_timeout_ms(struct cell *cell,
				    const struct cell_minion *m,
				    uint32_t least_ms)
{
	return rtt_timeout_ms(&zone_get(cell, m->info.az)->rtt, least_ms,
			      TIMEOUT_MAX_MS);
}

/* Returns how long the response to an order is waited for, in ms. */
uint32_t cell_order_timeout_ms(struct cell *cell, const struct cell_minion *m)
{
	return response_timeout_ms(cell, m, ORDER_TIMEOUT_MS);
}

/* As cell_order_timeout_ms(), of the slowest availability zone. */
uint32_t cell_longest_order_timeout_ms(const struct cell *cell)
{
	uint32_t longest = ORDER_TIMEOUT_MS;

	for (uint32_t i = 0; i < cell->zone_count; i++) {
		uint32_t ms = rtt_timeout_ms(&cell->zones[i].rtt,
					     ORDER_TIMEOUT_MS, TIMEOUT_MAX_MS);

		if (ms > longest)
			longest = ms;
	}
	return longest;
}

static struct cell_open_poll *free_slot(struct cell_minion *m)
{
	for (uint32_t i = 0; i < CELL_POLLS_MAX; i++) {
		if (!m->polls[i].open)
			return &m->polls[i];
	}
	return NULL;
}

/* Returns true if a poll of the minion has not been answered. */
bool cell_poll_is_open(const struct cell_minion *m)
{
	for (uint32_t i = 0; i < CELL_POLLS_MAX; i++) {
		if (m->polls[i].open)
			return true;
	}
	return false;
}

/* Polls the minion if that is due and not too many polls are open. */
void cell_poll_if_due(struct cell *cell, struct cell_minion *m, uint64_t now_ms)
{
	struct cell_open_poll *poll = free_slot(m);
	bool waiting = false;

	for (uint32_t i = 0; i < CELL_POLLS_MAX; i++)
		waiting |= m->polls[i].open && !m->polls[i].overdue;
	if (!poll || (!m->poll_now && (waiting || now_ms < m->next_poll_ms)))
		return;
	*poll = (struct cell_open_poll){ .open = true };
	m->latest_poll = (uint32_t)(poll - m->polls);
	cell->owner->ops->poll(cell->owner, m->handle);
}

/* Returns true if a response to another poll than the latest may arrive. */
static bool awaits_other_poll(const struct cell_minion *m)
{
	for (uint32_t i = 0; i < CELL_POLLS_MAX; i++) {
		const struct cell_open_poll *poll = &m->polls[i];

		if (i != m->latest_poll && poll->open && poll->sent_ms &&
		    !poll->overdue)
			return true;
	}
	return false;
}

/*
 * Fills in the next poll request for a minion, and renews its lease if the term
 * is valid, counted from the tick that found it valid: the process may have
 * been paused since. Returns false if there is no such minion.
 */
bool cell_poll_request(struct cell *cell, uint32_t minion,
		       struct cell_poll *out, uint64_t now_ms)
{
	struct cell_minion *m = cell_minion_get(cell, minion, NULL);
	struct cell_open_poll *poll;
	bool unacked;

	if (!m)
		return false;
	poll = &m->polls[m->latest_poll];
	*out = (struct cell_poll){ .addr = m->info.addr,
				   .id = m->info.id,
				   .sent_ms = now_ms,
				   .timeout_ms = m->failing
							 ? POLL_RETRY_TIMEOUT_MS
							 : POLL_TIMEOUT_MS,
				   .fresh = m->failing };
	poll->sent_ms = now_ms;
	poll->wait_ms = 0;
	if (!m->contacted || m->failing) {
		m->poll_now = false;
		return true;
	}
	/*
	 * Sent once, and not while another response is awaited: another life
	 * has other ends of these numbers.
	 */
	unacked = m->first_end && m->first_end <= m->last_end_durable;
	if (unacked && !awaits_other_poll(m)) {
		out->observed = m->last_end_durable;
		m->first_end = m->last_end_durable + 1;
		unacked = false;
	}
	if (m->last_end_durable == m->last_end_handled && !m->poll_now &&
	    !unacked)
		out->wait_ms = cell_minion_poll_wait_ms(cell, m);
	out->timeout_ms = out->wait_ms + POLL_TIMEOUT_MS;
	poll->wait_ms = out->wait_ms;
	m->poll_now = false;
	if (cell->valid && m->clock_known)
		out->deadline_ms =
			cell_minion_renew_lease(cell, m, cell->tick_ms);
	return true;
}

/*
 * Marks the polls whose response is overdue. Returns true if there is one that
 * was sent after the latest poll with a response.
 */
bool cell_poll_overdue(struct cell *cell, struct cell_minion *m,
		       uint64_t now_ms)
{
	uint32_t limit_ms = response_timeout_ms(cell, m, POLL_OVERDUE_MS);
	bool silent = false;

	for (uint32_t i = 0; i < CELL_POLLS_MAX; i++) {
		struct cell_open_poll *poll = &m->polls[i];

		if (!poll->open || poll->overdue || !poll->sent_ms ||
		    now_ms < poll->sent_ms + poll->wait_ms + limit_ms)
			continue;
		poll->overdue = true;
		silent |= poll->sent_ms >= m->report_sent_ms;
	}
	return silent;
}

/*
 * Closes the poll that was sent at @sent_ms, or the first one. Returns it as it
 * was, with a time of 0 if it is not known.
 */
struct cell_open_poll cell_poll_close(struct cell_minion *m, uint64_t sent_ms)
{
	struct cell_open_poll *first = NULL;
	struct cell_open_poll poll;

	for (uint32_t i = 0; i < CELL_POLLS_MAX; i++) {
		if (!m->polls[i].open)
			continue;
		if (m->polls[i].sent_ms == sent_ms) {
			poll = m->polls[i];
			m->polls[i].open = false;
			return poll;
		}
		if (!first)
			first = &m->polls[i];
	}
	if (first)
		first->open = false;
	return (struct cell_open_poll){ 0 };
}
