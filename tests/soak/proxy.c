/*
 * TCP proxies on loopback. One thread carries all links, so that a link is
 * never held up by what the rest of the soak does; its faults are set under a
 * lock.
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

#define ROUTES_MAX 256
#define RELAYS_MAX 1024
#define BACKLOG 64
#define READ_SIZE 16384
/* Bytes that wait in one direction before its sender is not read any more. */
#define QUEUE_MAX (1U << 20)
#define POLL_MS 2

enum end { CALLER, TARGET, ENDS };

struct route {
	int listener;
	uint32_t to;
	struct proxy_fault fault;
	uint32_t resets;   /* counts proxy_reset() */
	uint32_t silences; /* counts proxy_silence() */
};

struct chunk {
	uint64_t due_ms;
	struct buf bytes;
	size_t sent;
	struct chunk *next;
};

/* Bytes that were read at one end, for the other. */
struct queue {
	struct chunk *first;
	struct chunk **last;
	size_t len;
	bool ended; /* the sender has closed */
};

struct relay {
	int fd[ENDS]; /* -1: the relay is free */
	uint32_t route;
	uint32_t resets; /* of the route when the relay began */
	uint32_t silences;
	struct queue queue[ENDS]; /* by the end that was read */
};

struct proxy {
	pthread_mutex_t lock;
	struct route routes[ROUTES_MAX];
	uint32_t route_count;
	struct relay relays[RELAYS_MAX];
	struct pollfd fds[ROUTES_MAX + RELAYS_MAX * ENDS];
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
	r->silences = route->silences;
	for (int i = 0; i < ENDS; i++) {
		r->queue[i].last = &r->queue[i].first;
		set_nonblocking(r->fd[i]);
	}
	/* A target that is not there closes the relay by an error. */
	if (route->fault.refuse ||
	    (connect(r->fd[TARGET], (struct sockaddr *)&to, sizeof(to)) < 0 &&
	     errno != EINPROGRESS))
		relay_close(r, true);
}

/* Returns false if the end has failed. */
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

/* Sends what is due; returns false if the receiver has failed. */
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

/* Carries a relay on; closes it when it has ended or failed. */
static void relay_work(struct proxy *p, struct relay *r,
		       const struct pollfd *polled, uint64_t now)
{
	const struct route *route = &p->routes[r->route];
	bool silent = r->silences != route->silences;

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
		if (route->fault.hold[end] || silent)
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
		if (!q->ended && q->len < QUEUE_MAX)
			polled[end].events = POLLIN;
		/* A closed sender would be reported again and again. */
		if (q->ended)
			polled[end].fd = -1;
	}
}

static void *carry(void *arg)
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
				relay_work(p, &p->relays[i],
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

/* Returns a proxy without routes. */
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
 * Carries connections to @port on to the port @to. Returns the number of the
 * route, or UINT32_MAX with @err. Routes are added before proxy_start().
 */
uint32_t proxy_add(struct proxy *p, uint32_t port, uint32_t to, struct err *err)
{
	struct buf addr = buf_fmt("127.0.0.1:%u", port);
	struct route *route = &p->routes[p->route_count];
	uint32_t at = UINT32_MAX;

	if (p->route_count == ROUTES_MAX) {
		err_set(err, ERR_BAD_REQUEST, "more than %u routes",
			ROUTES_MAX);
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

/* Starts the thread; it runs until the process ends. */
bool proxy_start(struct proxy *p, struct err *err)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, carry, p))
		return err_set(err, ERR_INTERNAL, "cannot start a thread: %m");
	pthread_detach(thread);
	return true;
}

/* Sets the faults of a route; a zeroed @fault heals it. */
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

/* Lets nothing pass any more on the open connections of a route. */
void proxy_silence(struct proxy *p, uint32_t route)
{
	pthread_mutex_lock(&p->lock);
	p->routes[route].silences++;
	pthread_mutex_unlock(&p->lock);
}
