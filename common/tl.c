#include "tl.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "log.h"

static struct tl_event ring[TL_RING_EVENTS];
static uint64_t next_seq = 1;
static char daemon_name[80];

/* Sets the daemon id that tl_since() returns. */
void tl_open(const char *daemon_id)
{
	snprintf(daemon_name, sizeof(daemon_name), "%s", daemon_id);
}

/*
 * Records and logs an event, overwriting the oldest. Its timestamp is the wall
 * clock, which orders events of several daemons only as far as their clocks are
 * synchronized.
 */
void tl_add(const char *kind, const char *fmt, ...)
{
	struct tl_event *e = &ring[next_seq % TL_RING_EVENTS];
	struct timespec ts;
	va_list ap;

	clock_gettime(CLOCK_REALTIME, &ts);
	e->seq = next_seq++;
	e->unix_us =
		(uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
	snprintf(e->kind, sizeof(e->kind), "%s", kind);
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
	log_info("event=%s %s", e->kind, e->text);
}

/*
 * Returns {"daemon", "next", "events": [...]} with the events from sequence
 * number @since on; "next" is the number of the next event. The caller owns the
 * reference.
 */
json_t *tl_since(uint64_t since)
{
	json_t *events = json_array();
	uint64_t first =
		next_seq > TL_RING_EVENTS ? next_seq - TL_RING_EVENTS : 1;

	if (since < first)
		since = first;
	for (uint64_t seq = since; seq < next_seq; seq++) {
		const struct tl_event *e = &ring[seq % TL_RING_EVENTS];

		json_array_append_new(events,
				      json_pack("{s:I,s:I,s:s,s:s}", "seq",
						(json_int_t)e->seq, "unix_us",
						(json_int_t)e->unix_us, "kind",
						e->kind, "text", e->text));
	}
	return json_pack("{s:s,s:I,s:o}", "daemon", daemon_name, "next",
			 (json_int_t)next_seq, "events", events);
}
