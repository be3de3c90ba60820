/*
 * LD_PRELOAD library for daemons of the soak, controlled by the file named by
 * SOAK_PRELOAD: offsets CLOCK_REALTIME, and connects from the address of the
 * zone of the daemon.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "preload.h"

#define NS_PER_S 1000000000L

typedef int (*clock_fn)(clockid_t clock, struct timespec *ts);
typedef int (*connect_fn)(int fd, const struct sockaddr *addr, socklen_t len);

static clock_fn real_clock;
static connect_fn real_connect;
static const volatile struct soak_preload *preload;

__attribute__((constructor)) static void open_preload(void)
{
	const char *file = getenv("SOAK_PRELOAD");
	int fd = file ? open(file, O_RDONLY | O_CLOEXEC) : -1;
	void *map;

	real_clock = (clock_fn)dlsym(RTLD_NEXT, "clock_gettime");
	real_connect = (connect_fn)dlsym(RTLD_NEXT, "connect");
	if (fd < 0)
		return;
	map = mmap(NULL, sizeof(*preload), PROT_READ, MAP_SHARED, fd, 0);
	if (map != MAP_FAILED)
		preload = map;
	close(fd);
}

/* Overrides clock_gettime(); clocks other than CLOCK_REALTIME are unchanged. */
int clock_gettime(clockid_t clock, struct timespec *ts)
{
	int rc = real_clock(clock, ts);
	int64_t ms = preload ? preload->skew_ms : 0;

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

/* Overrides connect(); ports outside of the run are unchanged. */
int connect(int fd, const struct sockaddr *addr, socklen_t len)
{
	const struct sockaddr_in *to = (const struct sockaddr_in *)addr;
	struct sockaddr_in from = { .sin_family = AF_INET };
	int on = 1;

	if (!preload || addr->sa_family != AF_INET ||
	    ntohs(to->sin_port) - preload->base_port >= SOAK_PORTS)
		return real_connect(fd, addr, len);
	from.sin_addr.s_addr = htonl(SOAK_ZONE_ADDRESS + preload->zone);
	/* The kernel selects the port in connect(). */
	if (setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on,
		       sizeof(on)) < 0 ||
	    bind(fd, (const struct sockaddr *)&from, sizeof(from)) < 0)
		return -1;
	return real_connect(fd, addr, len);
}
