#include "ev.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <syslog.h>
#include <time.h>
#include <unistd.h>

/* Buffer for one loop iteration; further lines are dropped and counted. */
#define EV_BUFFER_BYTES 65536
#define EV_LINE_MAX 512

static char ev_buffer[EV_BUFFER_BYTES];
static size_t ev_used;
static uint64_t ev_lost_lines;
static uint64_t ev_lost_reported;
static const char *ev_program = "jayspoke";
static char ev_instance[64] = "-";
static time_t ev_second;
static char ev_stamp[32];

/*
 * Sets the program and instance names of the lines, and makes standard output
 * non-blocking.
 */
void ev_open(const char *program, const char *instance)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	ev_program = program;
	snprintf(ev_instance, sizeof(ev_instance), "%s", instance);
	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static void update_stamp(const struct timespec *ts)
{
	struct tm tm;

	if (ts->tv_sec == ev_second)
		return;
	ev_second = ts->tv_sec;
	gmtime_r(&ts->tv_sec, &tm);
	strftime(ev_stamp, sizeof(ev_stamp), "%Y-%m-%dT%H:%M:%S", &tm);
}

/* Replaces control characters, so that no value ends a line or begins one. */
static void mask_controls(char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if ((unsigned char)text[i] < ' ' || text[i] == 0x7f)
			text[i] = '?';
	}
}

/* Buffers one line, with the fields in the order of RFC 3164. */
void ev(const char *event, const char *fmt, ...)
{
	char *line = ev_buffer + ev_used;
	size_t room = sizeof(ev_buffer) - ev_used;
	struct timespec ts;
	va_list ap;
	int n;
	int m;

	if (room < EV_LINE_MAX) {
		ev_lost_lines++;
		return;
	}
	clock_gettime(CLOCK_REALTIME, &ts);
	update_stamp(&ts);
	n = snprintf(line, EV_LINE_MAX, "<%d>%s.%03ldZ %s %s: event=%s ",
		     LOG_DAEMON | LOG_INFO, ev_stamp, ts.tv_nsec / 1000000,
		     ev_instance, ev_program, event);
	va_start(ap, fmt);
	m = vsnprintf(line + n, (size_t)(EV_LINE_MAX - n), fmt, ap);
	va_end(ap);
	if (m < 0)
		return;
	n += m;
	if (n > EV_LINE_MAX - 2)
		n = EV_LINE_MAX - 2;
	mask_controls(line, (size_t)n);
	line[n] = '\n';
	ev_used += (size_t)n + 1;
}

/*
 * Writes the buffered lines; called once per loop iteration. Lines that
 * standard output does not accept are dropped and reported in a log-dropped
 * event.
 */
void ev_flush(void)
{
	size_t at = 0;

	while (at < ev_used) {
		ssize_t n = write(STDOUT_FILENO, ev_buffer + at, ev_used - at);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0) {
			for (size_t i = at; i < ev_used; i++)
				ev_lost_lines += ev_buffer[i] == '\n';
			ev_used = 0;
			return;
		}
		at += (size_t)n;
	}
	ev_used = 0;
	if (ev_lost_lines != ev_lost_reported) {
		uint64_t lost = ev_lost_lines - ev_lost_reported;

		ev_lost_reported = ev_lost_lines;
		ev("log-dropped", "lines=%llu", (unsigned long long)lost);
	}
}

/* Returns the number of lines dropped so far. */
uint64_t ev_dropped(void)
{
	return ev_lost_lines;
}
