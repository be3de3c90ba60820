/*
 * Clients that do not conform to the protocol: opens a bounded number of
 * connections of one kind to a loopback address, and holds them until they are
 * closed, a signal arrives, or the time is over. Prints "settled" and the
 * counts as soon as no connection makes progress any more.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <argtable2.h>

#include "addr.h"
#include "buf.h"
#include "err.h"

#define CONNECTIONS_MAX 1000
#define SECONDS_MAX 60
/* Without progress for this long, the crowd is settled. */
#define SETTLED_MS 1000
#define POLL_MS 20
#define BODY_BYTES 262000
#define HUGE_BYTES 50000000
#define CHUNK_BYTES 256
#define PIECE_BYTES 256
#define FIELDS 26000
#define STEPS 80000
#define PIPELINED 5000
/* Receive buffer of clients that do not read, so that a response stalls soon.
 */
#define UNREAD_BYTES 4096
#define GARBAGE_BYTES 262000
/* Interval between two bytes of a slow head. */
#define TRICKLE_MS 300

/* What a kind of client sends. */
struct script {
	struct buf data;
	size_t piece;	   /* bytes in one send, 0: all */
	uint32_t delay_ms; /* between two sends */
	bool reads;	   /* takes the responses */
	size_t repeat;	   /* bytes of data, sent again and again */
};

struct client {
	int fd; /* -1: closed */
	size_t sent;
	uint64_t next_ms;
};

struct options {
	const char *addr;
	const char *path;
	const char *host;
	const char *kind;
	uint32_t connections;
	uint32_t seconds;
};

struct crowd {
	struct script script;
	struct client clients[CONNECTIONS_MAX];
	uint32_t count;
	uint64_t total_sent;
	uint64_t progress_ms;
};

static volatile sig_atomic_t signalled;

static void on_signal(int signo)
{
	(void)signo;
	signalled = 1;
}

static uint64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static struct buf post(const struct options *o, const char *framing)
{
	return buf_fmt("POST %s HTTP/1.1\r\nHost: %s\r\n"
		       "Content-Type: application/json\r\n%s\r\n",
		       o->path, o->host, framing);
}

static struct buf post_sized(const struct options *o, size_t bytes)
{
	char framing[64];

	snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", bytes);
	return post(o, framing);
}

/* Appends a payload of a job that is not complete yet. */
static void append_filling(struct buf *b, size_t bytes)
{
	static const char start[] = "{\"spec\":\"";
	char block[4096];

	buf_append(b, start, sizeof(start) - 1);
	bytes -= sizeof(start) - 1;
	memset(block, 'x', sizeof(block));
	while (bytes) {
		size_t n = bytes < sizeof(block) ? bytes : sizeof(block);

		buf_append(b, block, n);
		bytes -= n;
	}
}

static void append_chunks(struct buf *b, size_t bytes)
{
	char chunk[CHUNK_BYTES];
	char head[16];

	memset(chunk, 'x', sizeof(chunk));
	snprintf(head, sizeof(head), "%x\r\n", CHUNK_BYTES);
	for (size_t at = CHUNK_BYTES; at <= bytes; at += CHUNK_BYTES) {
		buf_append(b, head, strlen(head));
		buf_append(b, chunk, sizeof(chunk));
		buf_append(b, "\r\n", 2);
	}
}

/* Returns a job with many values: @item, @count times, between two texts. */
static struct buf many(const struct options *o, const char *before,
		       const char *item, uint32_t count, const char *after)
{
	struct buf body = buf_str(before);
	struct buf all;

	for (uint32_t i = 0; i < count; i++) {
		char text[32];

		snprintf(text, sizeof(text), item, i % 10000);
		buf_append(&body, text, strlen(text));
	}
	buf_append(&body, after, strlen(after));
	all = post_sized(o, body.len);
	buf_append(&all, body.data, body.len);
	buf_free(&body);
	return all;
}

static struct buf garbage(void)
{
	/* The length of a frame just below the limit, and nothing valid. */
	static const unsigned char length[] = { 0, 0, 3, 0xff };
	struct buf b = buf_copy(length, sizeof(length));
	char block[4096];

	memset(block, 0x5a, sizeof(block));
	buf_append(&b, block, sizeof(block) - sizeof(length));
	while (b.len < GARBAGE_BYTES)
		buf_append(&b, block, sizeof(block));
	return b;
}

static struct buf get(const struct options *o)
{
	return buf_fmt("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", o->path, o->host);
}

/* Writes the script of @o->kind; returns false if the kind is unknown. */
static bool write_script(const struct options *o, struct script *s)
{
	const char *kind = o->kind;

	*s = (struct script){ .reads = true };
	if (!strcmp(kind, "idle"))
		return true;
	if (!strcmp(kind, "short-body") || !strcmp(kind, "pieces")) {
		s->data = post_sized(o, BODY_BYTES);
		append_filling(&s->data, BODY_BYTES - 1);
		s->piece = kind[0] == 'p' ? PIECE_BYTES : 0;
	} else if (!strcmp(kind, "chunks")) {
		s->data = post(o, "Transfer-Encoding: chunked\r\n");
		append_chunks(&s->data, BODY_BYTES);
	} else if (!strcmp(kind, "huge")) {
		s->data = post_sized(o, HUGE_BYTES);
		append_filling(&s->data, HUGE_BYTES / 2);
	} else if (!strcmp(kind, "fields")) {
		s->data = many(o, "{\"steps\":[{\"count\":1,\"cpu\":1000",
			       ",\"%u\":1", FIELDS, "}]}");
	} else if (!strcmp(kind, "steps")) {
		s->data = many(o, "{\"steps\":[{}", ",{}", STEPS, "]}");
	} else if (!strcmp(kind, "slow-head")) {
		s->data = get(o);
		s->piece = 1;
		s->delay_ms = TRICKLE_MS;
	} else if (!strcmp(kind, "pipelined")) {
		s->data = get(o);
		s->repeat = s->data.len * PIPELINED;
		s->reads = false;
	} else if (!strcmp(kind, "garbage")) {
		s->data = garbage();
	} else {
		return false;
	}
	return true;
}

static int connect_to(const char *addr, bool reads)
{
	int small = UNREAD_BYTES;
	struct sockaddr_in sin;
	int fd;

	if (!addr_parse(addr, &sin) ||
	    ntohl(sin.sin_addr.s_addr) >> 24 != IN_LOOPBACKNET)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 && !reads)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	if (fd >= 0 && connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		fd = -1;
	}
	return fd;
}

static void drop(struct crowd *crowd, struct client *c, uint64_t now)
{
	close(c->fd);
	c->fd = -1;
	crowd->progress_ms = now;
}

static size_t total(const struct script *s)
{
	return s->repeat ? s->repeat : s->data.len;
}

static void send_more(struct crowd *crowd, struct client *c, uint64_t now)
{
	const struct script *s = &crowd->script;
	size_t at = s->data.len ? c->sent % s->data.len : 0;
	size_t n = s->data.len - at;
	ssize_t sent;

	if (s->piece && n > s->piece)
		n = s->piece;
	sent = send(c->fd, s->data.data + at, n, MSG_NOSIGNAL);
	if (sent < 0 && errno != EAGAIN && errno != EINTR) {
		drop(crowd, c, now);
		return;
	}
	if (sent <= 0)
		return;
	c->sent += (size_t)sent;
	c->next_ms = now + s->delay_ms;
	crowd->total_sent += (uint64_t)sent;
	/* A slow head is progress that never ends. */
	if (!s->delay_ms)
		crowd->progress_ms = now;
}

static void take(struct crowd *crowd, struct client *c, uint64_t now)
{
	char block[65536];
	ssize_t n = recv(c->fd, block, sizeof(block), 0);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		drop(crowd, c, now);
	else if (n > 0)
		crowd->progress_ms = now;
}

static short wanted(const struct crowd *crowd, const struct client *c,
		    uint64_t now)
{
	short events = crowd->script.reads ? POLLIN : 0;

	if (c->sent < total(&crowd->script) && now >= c->next_ms)
		events |= POLLOUT;
	return events;
}

static void turn(struct crowd *crowd)
{
	struct pollfd fds[CONNECTIONS_MAX];
	uint64_t now = now_ms();

	for (uint32_t i = 0; i < crowd->count; i++)
		fds[i] = (struct pollfd){
			.fd = crowd->clients[i].fd,
			.events = wanted(crowd, &crowd->clients[i], now)
		};
	if (poll(fds, crowd->count, POLL_MS) <= 0)
		return;
	now = now_ms();
	for (uint32_t i = 0; i < crowd->count; i++) {
		struct client *c = &crowd->clients[i];

		if (c->fd >= 0 && fds[i].revents & POLLOUT)
			send_more(crowd, c, now);
		if (c->fd >= 0 && fds[i].revents & POLLIN)
			take(crowd, c, now);
		else if (c->fd >= 0 && fds[i].revents & (POLLERR | POLLHUP))
			drop(crowd, c, now);
	}
}

static uint32_t open_count(const struct crowd *crowd)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < crowd->count; i++)
		n += crowd->clients[i].fd >= 0;
	return n;
}

static void run(struct crowd *crowd, const struct options *o)
{
	uint64_t end_ms = now_ms() + o->seconds * 1000ULL;
	bool settled = false;

	crowd->count = o->connections;
	for (uint32_t i = 0; i < crowd->count; i++)
		crowd->clients[i].fd = connect_to(o->addr, crowd->script.reads);
	crowd->progress_ms = now_ms();
	while (!signalled && now_ms() < end_ms) {
		turn(crowd);
		if (settled || now_ms() < crowd->progress_ms + SETTLED_MS)
			continue;
		settled = true;
		printf("settled open=%u sent=%llu\n", open_count(crowd),
		       (unsigned long long)crowd->total_sent);
		fflush(stdout);
	}
}

int main(int argc, char **argv)
{
	struct arg_str *addr =
		arg_str1(NULL, "addr", "ADDR", "127.x.x.x:port to connect to");
	struct arg_str *path = arg_str0(NULL, "path", "PATH", "default: /");
	struct arg_str *host = arg_str0(NULL, "host", "HOST", "Host header");
	struct arg_str *kind = arg_str1(NULL, "kind", "KIND", "see the source");
	struct arg_int *count =
		arg_int1(NULL, "connections", "N", "at most 1000");
	struct arg_int *seconds =
		arg_int1(NULL, "seconds", "S", "duration, at most 60");
	struct arg_end *end = arg_end(4);
	void *table[] = { addr, path, host, kind, count, seconds, end };
	static struct crowd crowd;
	struct options o;
	int rc = EXIT_FAILURE;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "badclients");
		goto out;
	}
	o = (struct options){
		.addr = addr->sval[0],
		.path = path->count ? path->sval[0] : "/",
		.host = host->count ? host->sval[0] : "localhost",
		.kind = kind->sval[0],
		.connections = (uint32_t)count->ival[0],
		.seconds = (uint32_t)seconds->ival[0],
	};
	if (o.connections > CONNECTIONS_MAX || o.seconds > SECONDS_MAX ||
	    !write_script(&o, &crowd.script)) {
		fputs("badclients: invalid options\n", stderr);
		goto out;
	}
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGPIPE, SIG_IGN);
	run(&crowd, &o);
	rc = EXIT_SUCCESS;
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
