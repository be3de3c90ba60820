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
#include "preload.h"
#include "soak.h"

#define RELAYS_MAX 6144
#define LISTENERS_MAX 1024
#define BACKLOG 64
#define READ_SIZE 16384
/* Queued bytes in one direction above which the sender is not read. */
#define QUEUE_MAX_BYTES (1U << 20)
#define POLL_MS 2

enum end { CALLER, TARGET, ENDS };

struct listener {
	int fd;
	uint32_t to;
	uint32_t routes[SOAK_ZONES_MAX]; /* by the zone of the caller */
};

struct route {
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
	int fd[ENDS];
	uint32_t route;
	uint32_t resets; /* of the route when it was accepted */
	uint32_t blackholes;
	bool closed;		  /* to be freed */
	struct queue queue[ENDS]; /* by source end */
};

struct proxy {
	pthread_mutex_t lock;
	struct listener listeners[LISTENERS_MAX];
	uint32_t listener_count;
	struct route routes[SOAK_ROUTES_MAX];
	uint32_t route_count;
	struct relay *relays[RELAYS_MAX]; /* open ones */
	uint32_t relay_count;
	struct pollfd fds[LISTENERS_MAX + RELAYS_MAX * ENDS];
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
		queue_clear(&r->queue[i]);
	}
	r->closed = true;
}

static void set_nonblocking(int fd)
{
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

/* Returns the route from the zone of a caller to the target of a listener. */
static uint32_t route_from(const struct listener *listener,
			   const struct sockaddr_in *from)
{
	uint32_t zone = ntohl(from->sin_addr.s_addr) - SOAK_ZONE_ADDRESS;

	return listener->routes[zone < SOAK_ZONES_MAX ? zone : 0];
}

static void accept_relay(struct proxy *p, const struct listener *listener)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)listener->to),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct sockaddr_in from = { 0 };
	socklen_t len = sizeof(from);
	int fd = accept(listener->fd, (struct sockaddr *)&from, &len);
	const struct route *route;
	struct relay *r;

	if (fd < 0)
		return;
	if (p->relay_count == RELAYS_MAX) {
		close(fd);
		return;
	}
	r = xcalloc(1, sizeof(*r));
	p->relays[p->relay_count++] = r;
	r->fd[CALLER] = fd;
	r->fd[TARGET] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	r->route = route_from(listener, &from);
	route = &p->routes[r->route];
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

static void poll_relay(const struct relay *r, struct pollfd *polled)
{
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

static void free_closed_relays(struct proxy *p)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < p->relay_count; i++) {
		if (p->relays[i]->closed)
			free(p->relays[i]);
		else
			p->relays[kept++] = p->relays[i];
	}
	p->relay_count = kept;
}

static void *proxy_thread(void *arg)
{
	struct proxy *p = arg;
	struct pollfd *relay_fds = p->fds + p->listener_count;

	for (;;) {
		uint32_t polled = p->relay_count;
		uint64_t now;

		for (uint32_t i = 0; i < p->listener_count; i++)
			p->fds[i] = (struct pollfd){ .fd = p->listeners[i].fd,
						     .events = POLLIN };
		for (uint32_t i = 0; i < polled; i++)
			poll_relay(p->relays[i], &relay_fds[i * ENDS]);
		poll(p->fds, p->listener_count + polled * ENDS, POLL_MS);
		now = loop_now_ms();
		pthread_mutex_lock(&p->lock);
		for (uint32_t i = 0; i < polled; i++)
			relay_step(p, p->relays[i], &relay_fds[i * ENDS], now);
		for (uint32_t i = 0; i < p->listener_count; i++) {
			if (p->fds[i].revents & POLLIN)
				accept_relay(p, &p->listeners[i]);
		}
		pthread_mutex_unlock(&p->lock);
		free_closed_relays(p);
	}
	return NULL;
}

/* Allocates a proxy without routes. */
struct proxy *proxy_new(void)
{
	struct proxy *p = xcalloc(1, sizeof(*p));

	pthread_mutex_init(&p->lock, NULL);
	return p;
}

/*
 * Adds a route that forwards connections from @port to @to. Returns the index
 * of the route, or UINT32_MAX and sets @err. To be called before proxy_start().
 */
uint32_t proxy_add(struct proxy *p, uint32_t port, uint32_t to, struct err *err)
{
	struct buf addr = buf_fmt("127.0.0.1:%u", port);
	struct listener *listener = &p->listeners[p->listener_count];
	uint32_t at = UINT32_MAX;

	if (p->listener_count == LISTENERS_MAX) {
		err_set(err, ERR_BAD_REQUEST, "more than %u listeners",
			LISTENERS_MAX);
		goto out;
	}
	listener->fd = addr_listen(addr.data, BACKLOG, err);
	if (listener->fd < 0)
		goto out;
	set_nonblocking(listener->fd);
	listener->to = to;
	/* Until proxy_add_zone() route and listener have the same index. */
	at = p->listener_count++;
	p->route_count = p->listener_count;
	for (uint32_t zone = 0; zone < SOAK_ZONES_MAX; zone++)
		listener->routes[zone] = at;
out:
	buf_free(&addr);
	return at;
}

/*
 * Adds a route for the callers of @zone beside @route, which proxy_add() has
 * returned. Returns the index of the new route. To be called after the last
 * proxy_add() and before proxy_start().
 */
uint32_t proxy_add_zone(struct proxy *p, uint32_t route, uint32_t zone)
{
	p->listeners[route].routes[zone] = p->route_count;
	return p->route_count++;
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
