#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define LOG_LINE_MAX 1024 /* bytes; longer lines are truncated */

static const char *log_program = "jayspoke";
static int log_max_priority = LOG_INFO;

/* Sets the program name and the least severe priority that is logged. */
void log_open(const char *program, int max_priority)
{
	log_program = program;
	log_max_priority = max_priority;
}

/*
 * Writes one line "<pri>time host program[pid]: text", with the fields in the
 * order of RFC 3164. A single write keeps lines of several processes apart.
 */
void log_line(int priority, const char *fmt, ...)
{
	char line[LOG_LINE_MAX];
	char host[64] = "localhost";
	char stamp[32];
	struct timespec ts;
	struct tm tm;
	va_list ap;
	int n;
	int m;

	if (priority > log_max_priority)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	gethostname(host, sizeof(host) - 1);
	n = snprintf(line, sizeof(line),
		     "<%d>%s.%03ldZ %s %s[%d]: ", LOG_DAEMON | priority, stamp,
		     ts.tv_nsec / 1000000, host, log_program, (int)getpid());
	va_start(ap, fmt);
	m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	if (m < 0)
		return;
	n += m;
	if (n > (int)sizeof(line) - 2)
		n = sizeof(line) - 2;
	line[n++] = '\n';
	if (write(STDERR_FILENO, line, (size_t)n) < 0)
		return;
}
