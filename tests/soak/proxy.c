/*
 * TCP proxies on loopback. A dedicated thread runs all connections, so that the
 * event loop of the soak cannot delay them. The lock protects the routes and
 * their faults.
 */
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "addr.h"
#include "soak.h"

#define RELAYS_MAX 1024
#define BACKLOG 64
#define READ_SIZE 16384
/* Queued bytes in one direction above which the sender is not read. */
#define QUEUE_MAX_BYTES (1U << 20)
#define POLL_MS 2

enum end { CALLER, TARGET, ENDS };

struct route {
	int listener;
	uint32_t to;
	struct proxy_fault fault;
	uint32_t resets;     /* calls of proxy_reset() */
	uint32_t blackholes; /* calls of proxy_blackhole() */
};

struct chunk {
	uint64_t due_ms;
	struct buf bytes;
	size_t sent;
	struct chunk *next;
};

/* Data read from one end that is to be sent to the other. */
struct queue {
	struct chunk *first;
	struct chunk **last;
	size_t len;
	bool ended; /* the sender has closed */
};

struct relay {
	int fd[ENDS]; /* -1: the relay is free */
	uint32_t route;
	uint32_t resets; /* of the route when it was accepted */
	uint32_t blackholes;
	struct queue queue[ENDS]; /* by source end */
};

struct proxy {
	pthread_mutex_t lock;
	struct route routes[SOAK_ROUTES_MAX];
	uint32_t route_count;
	struct relay relays[RELAYS_MAX];
	struct pollfd fds[SOAK_ROUTES_MAX + RELAYS_MAX * ENDS];
};

static void queue_clear(struct queue *q)
{
	while (q->first) {
		struct chunk *c = q->first;

		q->first = c->next;
		buf_free(&c->bytes);
		free(c);
	}
	*q = (struct queue){ 0 };
}

static void relay_close(struct relay *r, bool reset)
{
	struct linger now = { .l_onoff = 1, .l_linger = 0 };

	for (int i = 0; i < ENDS; i++) {
		if (reset)
			setsockopt(r->fd[i], SOL_SOCKET, SO_LINGER, &now,
				   sizeof(now));
		close(r->fd[i]);
		r->fd[i] = -1;
		queue_clear(&r->queue[i]);
	}
}

static void set_nonblocking(int fd)
{
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

static void accept_relay(struct proxy *p, uint32_t at)
{
	struct route *route = &p->routes[at];
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)route->to),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = accept(route->listener, NULL, NULL);
	struct relay *r = NULL;

	if (fd < 0)
		return;
	for (uint32_t i = 0; i < RELAYS_MAX && !r; i++) {
		if (p->relays[i].fd[CALLER] < 0)
			r = &p->relays[i];
	}
	if (!r) {
		close(fd);
		return;
	}
	r->fd[CALLER] = fd;
	r->fd[TARGET] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	r->route = at;
	r->resets = route->resets;
	r->blackholes = route->blackholes;
	for (int i = 0; i < ENDS; i++) {
		r->queue[i].last = &r->queue[i].first;
		set_nonblocking(r->fd[i]);
	}
	/* A connection refused later is seen as an error by read(). */
	if (route->fault.refuse ||
	    (connect(r->fd[TARGET], (struct sockaddr *)&to, sizeof(to)) < 0 &&
	     errno != EINPROGRESS))
		relay_close(r, true);
}

/* Queues available data; returns false on a read error. */
static bool read_end(struct relay *r, enum end end, uint32_t delay_ms,
		     uint64_t now)
{
	char bytes[READ_SIZE];
	struct queue *q = &r->queue[end];
	ssize_t n = read(r->fd[end], bytes, sizeof(bytes));
	struct chunk *c;

	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	if (!n) {
		q->ended = true;
		return true;
	}
	c = xcalloc(1, sizeof(*c));
	c->due_ms = now + delay_ms;
	c->bytes = buf_copy(bytes, (size_t)n);
	*q->last = c;
	q->last = &c->next;
	q->len += (size_t)n;
	return true;
}

/* Sends the chunks that are due; returns false on a write error. */
static bool write_queue(struct relay *r, enum end from, uint64_t now)
{
	struct queue *q = &r->queue[from];
	int fd = r->fd[from == CALLER ? TARGET : CALLER];

	while (q->first && q->first->due_ms <= now) {
		struct chunk *c = q->first;
		ssize_t n = send(fd, c->bytes.data + c->sent,
				 c->bytes.len - c->sent, MSG_NOSIGNAL);

		if (n < 0)
			return errno == EAGAIN || errno == EINTR ||
			       errno == ENOTCONN;
		c->sent += (size_t)n;
		q->len -= (size_t)n;
		if (c->sent < c->bytes.len)
			return true;
		q->first = c->next;
		if (!q->first)
			q->last = &q->first;
		buf_free(&c->bytes);
		free(c);
	}
	return true;
}

/* Transfers pending data of a relay; closes it at its end or on an error. */
static void relay_step(struct proxy *p, struct relay *r,
		       const struct pollfd *polled, uint64_t now)
{
	const struct route *route = &p->routes[r->route];
	bool blackholed = r->blackholes != route->blackholes;

	if (r->resets != route->resets) {
		relay_close(r, true);
		return;
	}
	for (int end = CALLER; end < ENDS; end++) {
		struct queue *q = &r->queue[end];

		if ((polled[end].revents & (POLLIN | POLLHUP | POLLERR)) &&
		    !q->ended &&
		    !read_end(r, (enum end)end, route->fault.delay_ms, now)) {
			relay_close(r, true);
			return;
		}
		if (route->fault.stall[end] || blackholed)
			continue;
		if (!write_queue(r, (enum end)end, now)) {
			relay_close(r, true);
			return;
		}
		if (q->ended && !q->first) {
			relay_close(r, false);
			return;
		}
	}
}

static void poll_relay(struct proxy *p, const struct relay *r,
		       struct pollfd *polled)
{
	(void)p;
	for (int end = CALLER; end < ENDS; end++) {
		const struct queue *q = &r->queue[end];

		polled[end] = (struct pollfd){ .fd = r->fd[end] };
		if (!q->ended && q->len < QUEUE_MAX_BYTES)
			polled[end].events = POLLIN;
		/* poll() would report a closed sender on every call. */
		if (q->ended)
			polled[end].fd = -1;
	}
}

static void *proxy_thread(void *arg)
{
	struct proxy *p = arg;

	for (;;) {
		uint32_t relays = p->route_count;
		uint64_t now;

		pthread_mutex_lock(&p->lock);
		for (uint32_t i = 0; i < p->route_count; i++)
			p->fds[i] =
				(struct pollfd){ .fd = p->routes[i].listener,
						 .events = POLLIN };
		for (uint32_t i = 0; i < RELAYS_MAX; i++)
			poll_relay(p, &p->relays[i],
				   &p->fds[relays + i * ENDS]);
		pthread_mutex_unlock(&p->lock);
		poll(p->fds, relays + RELAYS_MAX * ENDS, POLL_MS);
		now = loop_now_ms();
		pthread_mutex_lock(&p->lock);
		for (uint32_t i = 0; i < RELAYS_MAX; i++) {
			if (p->relays[i].fd[CALLER] >= 0)
				relay_step(p, &p->relays[i],
					   &p->fds[relays + i * ENDS], now);
		}
		for (uint32_t i = 0; i < p->route_count; i++) {
			if (p->fds[i].revents & POLLIN)
				accept_relay(p, i);
		}
		pthread_mutex_unlock(&p->lock);
	}
	return NULL;
}

/* Allocates a proxy without routes. */
struct proxy *proxy_new(void)
{
	struct proxy *p = xcalloc(1, sizeof(*p));

	pthread_mutex_init(&p->lock, NULL);
	for (uint32_t i = 0; i < RELAYS_MAX; i++) {
		p->relays[i].fd[CALLER] = -1;
		p->relays[i].fd[TARGET] = -1;
	}
	return p;
}

/*
 * Adds a route that forwards connections from @port to @to. Returns the index
 * of the route, or UINT32_MAX and sets @err. To be called before proxy_start().
 */
uint32_t proxy_add(struct proxy *p, uint32_t port, uint32_t to, struct err *err)
{
	struct buf addr = buf_fmt("127.0.0.1:%u", port);
	struct route *route = &p->routes[p->route_count];
	uint32_t at = UINT32_MAX;

	if (p->route_count == SOAK_ROUTES_MAX) {
		err_set(err, ERR_BAD_REQUEST, "more than %u routes",
			SOAK_ROUTES_MAX);
		goto out;
	}
	route->listener = addr_listen(addr.data, BACKLOG, err);
	if (route->listener < 0)
		goto out;
	set_nonblocking(route->listener);
	route->to = to;
	at = p->route_count++;
out:
	buf_free(&addr);
	return at;
}

/* Starts the proxy thread, which runs until the process exits. */
bool proxy_start(struct proxy *p, struct err *err)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, proxy_thread, p))
		return err_set(err, ERR_INTERNAL, "cannot start a thread: %m");
	pthread_detach(thread);
	return true;
}

/* Sets the faults of a route; a zeroed @fault clears them. */
void proxy_set(struct proxy *p, uint32_t route, const struct proxy_fault *fault)
{
	pthread_mutex_lock(&p->lock);
	p->routes[route].fault = *fault;
	pthread_mutex_unlock(&p->lock);
}

/* Resets the open connections of a route. */
void proxy_reset(struct proxy *p, uint32_t route)
{
	pthread_mutex_lock(&p->lock);
	p->routes[route].resets++;
	pthread_mutex_unlock(&p->lock);
}

/* Stops forwarding on the open connections of a route, without closing them. */
void proxy_blackhole(struct proxy *p, uint32_t route)
{
	pthread_mutex_lock(&p->lock);
	p->routes[route].blackholes++;
	pthread_mutex_unlock(&p->lock);
}
