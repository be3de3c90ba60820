/*
 * LD_PRELOAD library for daemons of the soak: offsets CLOCK_REALTIME by the
 * milliseconds in the int64_t at the start of the file named by SOAK_SKEW.
 */
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_S 1000000000L

typedef int (*clock_fn)(clockid_t clock, struct timespec *ts);

static clock_fn real_clock;
static const volatile int64_t *skew_ms;

__attribute__((constructor)) static void open_skew(void)
{
	const char *file = getenv("SOAK_SKEW");
	int fd = file ? open(file, O_RDONLY | O_CLOEXEC) : -1;
	void *map;

	real_clock = (clock_fn)dlsym(RTLD_NEXT, "clock_gettime");
	if (fd < 0)
		return;
	map = mmap(NULL, sizeof(*skew_ms), PROT_READ, MAP_SHARED, fd, 0);
	if (map != MAP_FAILED)
		skew_ms = map;
	close(fd);
}

/* Overrides clock_gettime(); clocks other than CLOCK_REALTIME are unchanged. */
int clock_gettime(clockid_t clock, struct timespec *ts)
{
	int rc = real_clock(clock, ts);
	int64_t ms = skew_ms ? *skew_ms : 0;

	if (rc || clock != CLOCK_REALTIME || !ms)
		return rc;
	ts->tv_sec += ms / 1000;
	ts->tv_nsec += (ms % 1000) * 1000000L;
	if (ts->tv_nsec < 0) {
		ts->tv_nsec += NS_PER_S;
		ts->tv_sec--;
	} else if (ts->tv_nsec >= NS_PER_S) {
		ts->tv_nsec -= NS_PER_S;
		ts->tv_sec++;
	}
	return 0;
}
