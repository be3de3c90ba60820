/* Time, the record and the server thread of the stand-ins. */
#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define LISTENERS_MAX (WORKERS_MAX + DAEMONS_MAX + 2)
#define CONNS_MAX 2048
#define TICK_MS 5

struct listener {
	int fd;
	enum peer_kind kind;
	uint32_t index;
	enum link_mode mode;
};

struct conn {
	int fd; /* -1: free */
	uint32_t generation;
	struct listener *from;
	char *in;
	size_t in_len;
	size_t in_room;
	char *out;
	size_t out_len;
	bool waiting; /* a request is not answered yet */
	bool doomed;  /* was cut off while it had bytes */
};

static struct listener listeners[LISTENERS_MAX];
static uint32_t listener_count;
static struct conn conns[CONNS_MAX];
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static FILE *record_file;
static uint64_t started_ms;

uint64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void sleep_ms(uint32_t ms)
{
	struct timespec ts = { .tv_sec = ms / 1000,
			       .tv_nsec = (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

void record_open(const char *path)
{
	record_file = fopen(path, "w");
	if (!record_file) {
		perror(path);
		exit(2);
	}
	setvbuf(record_file, NULL, _IOLBF, 0);
	started_ms = now_ms();
}

/* Writes a line, after the seconds since the start. */
void record(const char *fmt, ...)
{
	uint64_t t = now_ms() - started_ms;
	char line[1024];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	fprintf(record_file, "%3llu.%03llu %s\n", (unsigned long long)t / 1000,
		(unsigned long long)t % 1000, line);
}

void lock(void)
{
	pthread_mutex_lock(&mutex);
}

void unlock(void)
{
	pthread_mutex_unlock(&mutex);
}

/* Listens on a free loopback port, which is returned. */
uint16_t listen_on(enum peer_kind kind, uint32_t index)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&sin, sizeof(sin)) ||
	    listen(fd, 512) || getsockname(fd, (struct sockaddr *)&sin, &len)) {
		perror("listen");
		exit(2);
	}
	listeners[listener_count++] =
		(struct listener){ .fd = fd, .kind = kind, .index = index };
	return ntohs(sin.sin_port);
}

static void conn_close(struct conn *c, bool reset)
{
	struct linger linger = { .l_onoff = 1 };

	if (reset)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	close(c->fd);
	free(c->in);
	free(c->out);
	*c = (struct conn){ .fd = -1, .generation = c->generation + 1 };
}

/*
 * Changes the state of a link. When a cut ends, connections that existed during
 * it are reset: the bytes that it held up are lost.
 */
void link_set(enum peer_kind kind, uint32_t index, enum link_mode mode)
{
	for (uint32_t i = 0; i < listener_count; i++) {
		struct listener *l = &listeners[i];

		if (l->kind != kind || l->index != index)
			continue;
		for (uint32_t k = 0; k < CONNS_MAX; k++) {
			struct conn *c = &conns[k];

			if (c->fd < 0 || c->from != l)
				continue;
			if (mode == LINK_RESET)
				conn_close(c, true);
			else if (mode == LINK_DARK)
				c->doomed = true;
			else if (c->doomed)
				conn_close(c, true);
		}
		if (l->mode == LINK_DARK && mode == LINK_OPEN) {
			int fd;

			while ((fd = accept(l->fd, NULL, NULL)) >= 0)
				close(fd);
		}
		l->mode = mode;
	}
}

static struct conn *find_call(uint64_t call)
{
	struct conn *c = &conns[call & 0xffff];

	return c->fd >= 0 && c->waiting && c->generation == call >> 16 ? c
								       : NULL;
}

bool call_is_open(uint64_t call)
{
	return find_call(call);
}

/* Closes the connection of a call without an answer. */
void drop_call(uint64_t call)
{
	struct conn *c = find_call(call);

	if (c)
		conn_close(c, true);
}

/* Closes all connections to a kind of peer. */
void drop_calls(enum peer_kind kind)
{
	for (uint32_t k = 0; k < CONNS_MAX; k++) {
		if (conns[k].fd >= 0 && conns[k].from->kind == kind)
			conn_close(&conns[k], true);
	}
}

static void flush(struct conn *c)
{
	ssize_t n;

	if (!c->out_len || c->doomed)
		return;
	n = send(c->fd, c->out, c->out_len, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n < 0 && errno != EAGAIN) {
		conn_close(c, false);
		return;
	}
	if (n <= 0)
		return;
	memmove(c->out, c->out + n, c->out_len - (size_t)n);
	c->out_len -= (size_t)n;
}

/* Answers a call; takes the reference to @body, which may be NULL. */
void answer(uint64_t call, int status, json_t *body)
{
	struct conn *c = find_call(call);
	char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
	char head[160];
	int n;

	json_decref(body);
	if (c) {
		n = snprintf(head, sizeof(head),
			     "HTTP/1.1 %d -\r\nContent-Type: application/json"
			     "\r\nContent-Length: %zu\r\n\r\n",
			     status, strlen(text));
		c->out = realloc(c->out, c->out_len + (size_t)n + strlen(text));
		memcpy(c->out + c->out_len, head, (size_t)n);
		memcpy(c->out + c->out_len + n, text, strlen(text));
		c->out_len += (size_t)n + strlen(text);
		c->waiting = false;
		flush(c);
	}
	free(text);
}

static void unescape(char *s)
{
	char *out = s;

	for (; *s; s++) {
		char hex[3] = { 0 };

		if (*s == '%' && s[1] && s[2]) {
			memcpy(hex, s + 1, 2);
			*out++ = (char)strtoul(hex, NULL, 16);
			s += 2;
		} else {
			*out++ = *s;
		}
	}
	*out = '\0';
}

/* Copies a parameter of the query; returns false if it is absent. */
bool query_get(const struct request *r, const char *name, char *out,
	       size_t size)
{
	size_t len = strlen(name);

	out[0] = '\0';
	for (const char *p = r->query; p && *p;) {
		size_t n = strcspn(p, "&");

		if (n > len && p[len] == '=' && !strncmp(p, name, len)) {
			snprintf(out, size, "%.*s", (int)(n - len - 1),
				 p + len + 1);
			unescape(out);
			return true;
		}
		p += n + (p[n] == '&');
	}
	return false;
}

static const char *header(const char *head, const char *name, char *out,
			  size_t size)
{
	const char *at = strcasestr(head, name);

	out[0] = '\0';
	if (at) {
		at += strlen(name);
		at += strspn(at, ": ");
		snprintf(out, size, "%.*s", (int)strcspn(at, "\r\n"), at);
	}
	return out;
}

/* Handles the request in the input of a connection, if it is complete. */
static void handle_input(struct conn *c)
{
	char *end = c->in_len ? strstr(c->in, "\r\n\r\n") : NULL;
	struct request r = { .kind = c->from->kind, .index = c->from->index };
	char length[24];
	char *save = NULL;
	char *head;
	char *method;
	size_t head_len;
	size_t body_len;

	if (!end || c->waiting)
		return;
	head_len = (size_t)(end + 4 - c->in);
	head = strndup(c->in, head_len);
	body_len = strtoul(
		header(head, "\r\ncontent-length", length, sizeof(length)),
		NULL, 10);
	if (c->in_len < head_len + body_len) {
		free(head);
		return;
	}
	header(head, "jayspoke-expect-instance", r.expect, sizeof(r.expect));
	r.body = json_loadb(c->in + head_len, body_len, 0, NULL);
	c->in_len -= head_len + body_len;
	memmove(c->in, c->in + head_len + body_len, c->in_len + 1);
	method = strtok_r(head, " ", &save);
	r.method = method;
	r.path = strtok_r(NULL, " ", &save);
	r.query = r.path ? strchr(r.path, '?') : NULL;
	if (r.query)
		*r.query++ = '\0';
	c->waiting = true;
	r.call = (uint64_t)c->generation << 16 | (uint64_t)(c - conns);
	if (!r.path)
		answer(r.call, 400, NULL);
	else if (r.kind == PEER_STORE)
		store_handle(&r);
	else if (r.kind == PEER_WORKER)
		worker_handle(&r);
	else
		advice_handle(&r);
	json_decref(r.body);
	free(head);
}

static void read_conn(struct conn *c)
{
	uint32_t generation = c->generation;
	ssize_t n;

	if (c->in_room < c->in_len + 65537) {
		c->in_room = c->in_len + 131072;
		c->in = realloc(c->in, c->in_room);
	}
	n = recv(c->fd, c->in + c->in_len, 65536, MSG_DONTWAIT);
	if (!n || (n < 0 && errno != EAGAIN)) {
		conn_close(c, false);
		return;
	}
	if (n < 0)
		return;
	c->in_len += (size_t)n;
	c->in[c->in_len] = '\0';
	handle_input(c);
	if (c->generation == generation && c->fd >= 0)
		handle_input(c);
}

static void accept_conn(struct listener *l)
{
	int fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	int one = 1;
	uint32_t k = 0;

	if (fd < 0)
		return;
	while (k < CONNS_MAX && conns[k].fd >= 0)
		k++;
	if (k == CONNS_MAX) {
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conns[k] = (struct conn){ .fd = fd,
				  .from = l,
				  .generation = conns[k].generation + 1 };
	if (l->mode == LINK_RESET)
		conn_close(&conns[k], true);
}

static void *serve(void *arg)
{
	static struct pollfd fds[LISTENERS_MAX + CONNS_MAX];
	static struct conn *who[CONNS_MAX];

	(void)arg;
	for (;;) {
		uint32_t n = 0;
		uint32_t polled = 0;

		lock();
		for (uint32_t i = 0; i < listener_count; i++)
			fds[n++] = (struct pollfd){
				.fd = listeners[i].mode == LINK_DARK
					      ? -1
					      : listeners[i].fd,
				.events = POLLIN
			};
		for (uint32_t k = 0; k < CONNS_MAX; k++) {
			struct conn *c = &conns[k];

			if (c->fd < 0 || c->doomed)
				continue;
			who[polled++] = c;
			fds[n++] = (struct pollfd){
				.fd = c->fd,
				.events = (short)(POLLIN |
						  (c->out_len ? POLLOUT : 0))
			};
		}
		unlock();
		poll(fds, n, TICK_MS);
		lock();
		for (uint32_t i = 0; i < listener_count; i++) {
			if (fds[i].revents && listeners[i].mode != LINK_DARK)
				accept_conn(&listeners[i]);
		}
		for (uint32_t k = 0; k < polled; k++) {
			struct conn *c = who[k];
			const struct pollfd *p = &fds[listener_count + k];

			if (c->fd != p->fd || c->doomed || !p->revents)
				continue;
			if (p->revents & POLLOUT)
				flush(c);
			if (c->fd == p->fd && (p->revents & ~POLLOUT))
				read_conn(c);
		}
		store_tick(now_ms());
		workers_tick(now_ms());
		unlock();
	}
	return NULL;
}

/* Starts the server thread; all listeners are open. */
void server_start(void)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, serve, NULL))
		exit(2);
	pthread_detach(thread);
}

__attribute__((constructor)) static void conns_init(void)
{
	for (uint32_t k = 0; k < CONNS_MAX; k++)
		conns[k].fd = -1;
}
