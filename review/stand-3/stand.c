/* Time, the record, HTTP servers and a client. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "stand.h"

/* Ports of a case. */
#define PORT_FIRST 12000
#define PORT_COUNT 100
#define PORT_SLOTS 150
#define MESSAGE_MAX (4 << 20)

pthread_mutex_t big_lock = PTHREAD_MUTEX_INITIALIZER;
pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static FILE *record_file;
static uint64_t record_from;

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

void sleep_ms(uint64_t ms)
{
	struct timespec ts = { .tv_sec = (time_t)(ms / 1000),
			       .tv_nsec = (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

void wait_until(uint64_t at_ms)
{
	uint64_t now = now_ms();

	if (at_ms > now)
		sleep_ms(at_ms - now);
}

int random_below(int n)
{
	return (int)(random() % n);
}

void record_open(const char *path)
{
	record_file = fopen(path, "w");
	record_from = now_ms();
}

void note(const char *fmt, ...)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	va_list args;

	pthread_mutex_lock(&lock);
	fprintf(record_file, "%7llu ",
		(unsigned long long)(now_ms() - record_from));
	va_start(args, fmt);
	vfprintf(record_file, fmt, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&lock);
}

struct port {
	int number;
	int listener;
	handler_fn handler;
	void *ctx;
};

struct conn {
	struct port *port;
	int fd;
};

static int open_listener(int number)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons((uint16_t)number),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) || listen(fd, 256)) {
		fprintf(stderr, "port %d: %s\n", number, strerror(errno));
		exit(2);
	}
	return fd;
}

int free_port(void)
{
	/* Below the range from which the kernel takes ports of clients. */
	static int next;
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int slot = getpid() % PORT_SLOTS;
	int fd;

	/* Another case that runs now holds the first port of its slot. */
	while (!next) {
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		sin.sin_port =
			htons((uint16_t)(PORT_FIRST + slot * PORT_COUNT));
		if (!bind(fd, (struct sockaddr *)&sin, sizeof(sin)) &&
		    !listen(fd, 1))
			next = PORT_FIRST + slot * PORT_COUNT + 1;
		else
			close(fd);
		slot = (slot + 1) % PORT_SLOTS;
	}
	for (;; next++) {
		int rc;

		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		sin.sin_port = htons((uint16_t)next);
		rc = bind(fd, (struct sockaddr *)&sin, sizeof(sin));
		close(fd);
		if (!rc)
			return next++;
	}
}

bool fd_is_dead(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLIN | POLLRDHUP };

	return poll(&p, 1, 0) > 0 &&
	       (p.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

bool query_get(const char *query, const char *name, char *out, size_t size)
{
	size_t len = strlen(name);
	const char *p = query;
	size_t n = 0;

	while (p && *p) {
		if (!strncmp(p, name, len) && p[len] == '=')
			break;
		p = strchr(p, '&');
		p = p ? p + 1 : NULL;
	}
	out[0] = '\0';
	if (!p || !*p)
		return false;
	for (p += len + 1; *p && *p != '&' && n + 1 < size; n++) {
		char hex[3] = { 0 };

		if (*p != '%') {
			out[n] = *p++;
			continue;
		}
		memcpy(hex, p + 1, 2);
		out[n] = (char)strtol(hex, NULL, 16);
		p += 3;
	}
	out[n] = '\0';
	return true;
}

static bool send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/*
 * Reads a message into @buf, of which *@have bytes are there already. Returns
 * the length of its head, 0 at the end of the connection. *@total becomes the
 * length of head and body.
 */
static size_t read_message(int fd, char *buf, size_t *have, size_t *total)
{
	for (;;) {
		char *end;
		ssize_t n;

		buf[*have] = '\0';
		end = strstr(buf, "\r\n\r\n");
		if (end) {
			size_t head = (size_t)(end + 4 - buf);
			char *length = strcasestr(buf, "\r\nContent-Length:");
			size_t body = 0;

			if (length && length < end)
				body = strtoul(length + 17, NULL, 10);
			*total = head + body;
			if (*have >= *total)
				return head;
		}
		if (*have >= MESSAGE_MAX)
			return 0;
		n = recv(fd, buf + *have, MESSAGE_MAX - *have, 0);
		if (n <= 0)
			return 0;
		*have += (size_t)n;
	}
}

static void parse_head(char *head, struct request *r)
{
	char target[1024] = "";
	char *mark;
	char *expect = strcasestr(head, "\r\nJayspoke-Expect-Instance:");

	sscanf(head, "%7s %1023s", r->method, target);
	mark = strchr(target, '?');
	if (mark)
		*mark++ = '\0';
	snprintf(r->path, sizeof(r->path), "%.511s", target);
	snprintf(r->query, sizeof(r->query), "%.511s", mark ? mark : "");
	if (expect)
		sscanf(expect + 27, " %63s", r->expect);
}

static void *serve(void *arg)
{
	struct conn *c = arg;
	char *buf = malloc(MESSAGE_MAX + 1);
	size_t have = 0;
	size_t total;
	size_t head;

	while ((head = read_message(c->fd, buf, &have, &total)) != 0) {
		struct request r = { .fd = c->fd };
		json_t *body = NULL;
		char *text;
		char line[160];
		int status;
		bool ok;

		parse_head(buf, &r);
		if (total > head)
			r.body = json_loadb(buf + head, total - head, 0, NULL);
		status = c->port->handler(c->port->ctx, &r, &body);
		json_decref(r.body);
		memmove(buf, buf + total, have - total);
		have -= total;
		if (!status)
			break;
		text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
		json_decref(body);
		snprintf(line, sizeof(line),
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 status, strlen(text));
		ok = send_all(c->fd, line, strlen(line)) &&
		     send_all(c->fd, text, strlen(text));
		free(text);
		if (!ok)
			break;
	}
	free(buf);
	close(c->fd);
	free(c);
	return NULL;
}

static void spawn(void *(*fn)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&t, &attr, fn, arg)) {
		fputs("no thread\n", stderr);
		exit(2);
	}
	pthread_attr_destroy(&attr);
}

static void *accept_loop(void *arg)
{
	struct port *p = arg;

	for (;;) {
		int fd = accept4(p->listener, NULL, NULL, SOCK_CLOEXEC);
		struct conn *c;
		int one = 1;

		if (fd < 0)
			break;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = malloc(sizeof(*c));
		*c = (struct conn){ .port = p, .fd = fd };
		spawn(serve, c);
	}
	return NULL;
}

struct port *port_open(int number, handler_fn handler, void *ctx)
{
	struct port *p = calloc(1, sizeof(*p));

	p->number = number;
	p->handler = handler;
	p->ctx = ctx;
	p->listener = open_listener(p->number);
	spawn(accept_loop, p);
	return p;
}

int http_call(int port, const char *method, const char *path, const char *host,
	      const char *text, int timeout_ms, json_t **body)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct timeval tv = { .tv_sec = timeout_ms / 1000,
			      .tv_usec = timeout_ms % 1000 * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char *buf = malloc(MESSAGE_MAX + 1);
	size_t have = 0;
	size_t total;
	size_t head;
	int status = -1;
	int n;

	if (body)
		*body = NULL;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)))
		goto out;
	n = snprintf(buf, MESSAGE_MAX,
		     "%s %s HTTP/1.1\r\nHost: %s\r\n"
		     "Content-Type: application/json\r\n"
		     "Jayspoke-Deadline-Ms: 3000\r\nConnection: close\r\n"
		     "Content-Length: %zu\r\n\r\n%s",
		     method, path, host, text ? strlen(text) : 0,
		     text ? text : "");
	status = 0;
	if (!send_all(fd, buf, (size_t)n))
		goto out;
	head = read_message(fd, buf, &have, &total);
	if (!head || sscanf(buf, "HTTP/1.1 %d", &status) != 1) {
		status = 0;
		goto out;
	}
	if (body && total > head)
		*body = json_loadb(buf + head, total - head, 0, NULL);
out:
	free(buf);
	close(fd);
	return status;
}
