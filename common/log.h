/* Log lines in syslog format on standard error. */
#ifndef JAYSPOKE_LOG_H
#define JAYSPOKE_LOG_H

#include <syslog.h>

#ifdef __cplusplus
extern "C" {
#endif

void log_open(const char *program, int max_priority);
void log_line(int priority, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#define log_err(...) log_line(LOG_ERR, __VA_ARGS__)
#define log_warn(...) log_line(LOG_WARNING, __VA_ARGS__)
#define log_info(...) log_line(LOG_INFO, __VA_ARGS__)
#define log_debug(...) log_line(LOG_DEBUG, __VA_ARGS__)

#ifdef __cplusplus
}
#endif

#endif
