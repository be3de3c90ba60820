/*
 * HTTP/1 server with bounds on connections, memory and time. Unlike the server
 * of h2o it handles a request whose body is not wanted as soon as its head is
 * there, reads no more than it may buffer, and closes the connections with the
 * least progress when a bound is reached.
 *
 * A connection is in the list of its state, in the order of its latest
 * progress, so that the one to close first is at the head of a list.
 */
#include <errno.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "buf.h"
#include "http1.h"
#include "httpd_int.h"

/* Bytes taken from a socket at once. */
#define INPUT_BYTES 16384
#define ACCEPTS_AT_ONCE 16
#define SWEEP_INTERVAL_MS 100
/* Accepting pauses this long if the process has no descriptors left. */
#define ACCEPT_PAUSE_MS 100
/* Memory is returned to the system after a peak of at least this. */
#define TRIM_BYTES (4U << 20)

enum conn_state {
	CONN_NEW,    /* no request yet */
	CONN_IDLE,   /* between requests */
	CONN_HEAD,   /* a head has begun */
	CONN_BODY,   /* a body is buffered */
	CONN_SKIP,   /* a body is discarded */
	CONN_BUSY,   /* the request is being handled */
	CONN_WRITE,  /* a response is being written */
	CONN_LINGER, /* answered with an error; input is discarded */
	CONN_STATES
};

struct server {
	struct httpd httpd;
	struct httpd_limits limits;
	struct loop *loop;
	h2o_socket_t *listener; /* NULL: closed */
	h2o_linklist_t states[CONN_STATES];
	uint64_t progress_count; /* of all connections */
	struct timer sweep;
	struct timer pause;
	struct conn *closed; /* freed by the timer */
	struct timer release;
	size_t peak_bytes; /* since memory was last returned */
};

struct conn {
	h2o_linklist_t link; /* in the list of its state */
	struct server *server;
	h2o_socket_t *sock;
	enum conn_state state;
	uint64_t mark_ms;  /* latest progress */
	uint64_t order;	   /* of the latest progress among connections */
	size_t since_mark; /* bytes of a body */
	uint32_t handle;   /* of the open request, 0: none */
	bool persistent;
	bool lingers; /* after the response */
	char *in;     /* not yet handled: a head, its body, what follows */
	size_t len;
	size_t capacity;
	size_t parsed; /* bytes at the latest attempt to parse the head */
	struct http1_head head;
	struct phr_chunked_decoder chunks;
	size_t body_len; /* buffered or discarded so far */
	size_t held;	 /* size of a body that is being handled */
	bool skipping;	 /* the body is discarded */
	bool chunks_ended;
	struct buf out;
	struct conn *next_closed;
};

static void process(struct conn *c);

static void limited(struct server *s, enum httpd_limit limit)
{
	if (s->httpd.settings.limited)
		s->httpd.settings.limited(s->httpd.settings.ctx, limit);
}

static void add_bytes(struct server *s, size_t n)
{
	s->httpd.bytes += n;
	if (s->httpd.bytes > s->peak_bytes)
		s->peak_bytes = s->httpd.bytes;
}

static struct conn *first_of(struct server *s, enum conn_state state)
{
	h2o_linklist_t *list = &s->states[state];

	return h2o_linklist_is_empty(list)
		       ? NULL
		       : H2O_STRUCT_FROM_MEMBER(struct conn, link, list->next);
}

static void mark(struct conn *c)
{
	if (h2o_linklist_is_linked(&c->link))
		h2o_linklist_unlink(&c->link);
	h2o_linklist_insert(&c->server->states[c->state], &c->link);
	c->mark_ms = loop_now_ms();
	c->order = ++c->server->progress_count;
	c->since_mark = 0;
}

static void set_state(struct conn *c, enum conn_state state)
{
	c->state = state;
	mark(c);
}

static void drop_input(struct conn *c)
{
	c->server->httpd.bytes -= c->capacity;
	free(c->in);
	c->in = NULL;
	c->len = 0;
	c->capacity = 0;
}

static void drop_output(struct conn *c)
{
	c->server->httpd.bytes -= c->out.len;
	buf_free(&c->out);
}

static void release_held(struct conn *c)
{
	c->server->httpd.bytes -= c->held;
	c->held = 0;
}

static void free_closed(struct timer *timer)
{
	struct server *s = timer->ctx;

	while (s->closed) {
		struct conn *c = s->closed;

		s->closed = c->next_closed;
		free(c);
	}
}

/*
 * Closes a connection. It is freed in the next loop iteration, because its
 * callers may be using it.
 */
static void conn_close(struct conn *c)
{
	struct httpd *httpd = &c->server->httpd;
	uint32_t handle = c->handle;

	h2o_linklist_unlink(&c->link);
	drop_input(c);
	drop_output(c);
	release_held(c);
	h2o_socket_close(c->sock);
	c->next_closed = c->server->closed;
	c->server->closed = c;
	timer_start(c->server->loop, &c->server->release, 0);
	httpd->connections--;
	if (!handle)
		return;
	httpd_slot_close(httpd, handle);
	if (httpd->settings.gone)
		httpd->settings.gone(httpd->settings.ctx, handle);
}

/*
 * Returns the connection of @states, a set of bits, that has been without
 * progress for the longest time, or NULL if there is none.
 */
static struct conn *stalest(struct server *s, uint32_t states)
{
	struct conn *found = NULL;

	for (int i = 0; i < CONN_STATES; i++) {
		struct conn *c = first_of(s, (enum conn_state)i);

		if (c && states & 1U << i &&
		    (!found || c->order < found->order))
			found = c;
	}
	return found;
}

#define HOLDS_MEMORY (1U << CONN_HEAD | 1U << CONN_BODY | 1U << CONN_WRITE)
#define UNFINISHED \
	(HOLDS_MEMORY | 1U << CONN_NEW | 1U << CONN_SKIP | 1U << CONN_LINGER)

/*
 * Makes room for @n bytes by closing other connections. Returns false if @c is
 * the one to end, or if all memory is held by requests that are handled.
 */
static bool make_room(struct conn *c, size_t n)
{
	struct server *s = c->server;

	while (s->httpd.bytes + n > s->limits.bytes) {
		struct conn *other = stalest(s, HOLDS_MEMORY);

		limited(s, HTTPD_LIMIT_MEMORY);
		if (!other || other == c)
			return false;
		conn_close(other);
	}
	return true;
}

/* Closes a connection in favour of a new one; false if all are handled. */
static bool make_way(struct server *s)
{
	struct conn *c = stalest(s, UNFINISHED);

	if (!c)
		c = first_of(s, CONN_IDLE);
	if (c)
		conn_close(c);
	return c != NULL;
}

/* Makes the input buffer large enough for @n more bytes and a NUL. */
static bool reserve(struct conn *c, size_t n)
{
	size_t need = c->len + n + 1;
	size_t whole = c->head.len + c->head.body_len + 1;
	size_t capacity = c->capacity * 2;

	if (need <= c->capacity)
		return true;
	if (c->state == CONN_BODY && !c->head.chunked && capacity > whole)
		capacity = whole;
	if (capacity < need)
		capacity = need;
	if (!make_room(c, capacity - c->capacity))
		return false;
	c->in = xrealloc(c->in, capacity);
	add_bytes(c->server, capacity - c->capacity);
	c->capacity = capacity;
	return true;
}

static void on_written(h2o_socket_t *sock, const char *err);

static void add_status(struct buf *out, int status, size_t body_len,
		       bool persistent)
{
	struct buf head;
	char date[40];
	time_t now = time(NULL);
	struct tm tm;

	gmtime_r(&now, &tm);
	strftime(date, sizeof(date), "%a, %d %b %Y %H:%M:%S GMT", &tm);
	head = buf_fmt("HTTP/1.1 %d %s\r\nDate: %s\r\nServer: jayspoke\r\n"
		       "Connection: %s\r\nContent-Length: %zu\r\n",
		       status, status < 400 ? "OK" : "Error", date,
		       persistent ? "keep-alive" : "close", body_len);
	buf_append(out, head.data, head.len);
	buf_free(&head);
}

static void write_response(struct conn *c,
			   const struct httpd_response *response)
{
	struct buf out = { 0 };
	h2o_iovec_t vec;

	if (!c->server->listener)
		c->persistent = false;
	add_status(&out, response->status, response->len, c->persistent);
	if (response->content_type) {
		struct buf line =
			buf_fmt("Content-Type: %s\r\n", response->content_type);

		buf_append(&out, line.data, line.len);
		buf_free(&line);
	}
	if (response->headers)
		buf_append(&out, response->headers, strlen(response->headers));
	buf_append(&out, "\r\n", 2);
	if (!c->head.head_only)
		buf_append(&out, response->body, response->len);
	set_state(c, CONN_WRITE);
	make_room(c, out.len);
	add_bytes(c->server, out.len);
	c->out = out;
	vec = h2o_iovec_init(out.data, out.len);
	h2o_socket_write(c->sock, &vec, 1, on_written);
}

/* Answers a request that is not handled, and ends its connection. */
static void refuse(struct conn *c, int status, const char *why)
{
	struct buf body = buf_fmt("{\"error\":\"%s\"}", why);
	struct httpd_response response = {
		.status = status,
		.content_type = "application/json",
		.headers = status == 503 ? "Retry-After: 1\r\n" : NULL,
		.body = body.data,
		.len = body.len
	};

	h2o_socket_read_stop(c->sock);
	drop_input(c);
	c->persistent = false;
	c->lingers = true;
	write_response(c, &response);
	buf_free(&body);
}

/*
 * Takes the part of a body that is to be discarded from the input @data;
 * returns the bytes of it that follow the body, which it moves to the start of
 * @data. Returns -1 if the body is malformed or too large.
 */
static ssize_t skip_body(struct conn *c, char *data, size_t len)
{
	size_t left = c->head.body_len - c->body_len;
	size_t n = len;
	ssize_t rest;

	if (!c->head.chunked) {
		n = len < left ? len : left;
		c->body_len += n;
		c->since_mark += n;
		memmove(data, data + n, len - n);
		return (ssize_t)(len - n);
	}
	if (c->chunks_ended)
		return (ssize_t)len;
	rest = phr_decode_chunked(&c->chunks, data, &n);
	c->body_len += n;
	c->since_mark += n;
	if (rest == -1 || c->body_len > c->server->httpd.settings.max_body)
		return -1;
	c->chunks_ended = rest >= 0;
	if (rest > 0)
		memmove(data, data + n, (size_t)rest);
	return rest > 0 ? rest : 0;
}

static bool body_ended(const struct conn *c)
{
	return c->head.chunked ? c->chunks_ended
			       : c->body_len == c->head.body_len;
}

static void terminate(struct conn *c, struct http1_span span)
{
	if (span.at)
		c->in[span.at + span.len] = '\0';
}

static struct httpd_request describe(struct conn *c)
{
	const struct http1_head *h = &c->head;
	bool has_body = h->chunked || h->body_len;

	c->in[h->method.at + h->method.len] = '\0';
	terminate(c, h->host);
	terminate(c, h->path);
	terminate(c, h->query);
	return (struct httpd_request){
		.method = c->in + h->method.at,
		.host = h->host.at ? c->in + h->host.at : "",
		.path = c->in + h->path.at,
		.query = h->query.at ? c->in + h->query.at : "",
		.body = "",
		.body_skipped = c->skipping && has_body,
		.httpd = &c->server->httpd,
		.internal = c,
	};
}

/* Removes the first @n bytes of the input, and memory that it no longer needs.
 */
static void consume(struct conn *c, size_t n)
{
	size_t rest = c->len - n;

	if (!rest) {
		drop_input(c);
		return;
	}
	memmove(c->in, c->in + n, rest);
	c->len = rest;
	c->in = xrealloc(c->in, rest + 1);
	c->server->httpd.bytes -= c->capacity - rest - 1;
	c->capacity = rest + 1;
}

/* Calls the handler. A buffered body is freed as soon as it returns. */
static void dispatch(struct conn *c)
{
	struct httpd *httpd = &c->server->httpd;
	size_t stored = c->skipping ? 0 : c->body_len;
	struct httpd_request request;
	char after;

	if (httpd->open_count >= c->server->limits.requests) {
		limited(c->server, HTTPD_LIMIT_REQUESTS);
		refuse(c, 503, "too many requests; this one has not run");
		return;
	}
	h2o_socket_read_stop(c->sock);
	set_state(c, CONN_BUSY);
	request = describe(c);
	after = c->in[c->head.len + stored];
	if (stored) {
		request.body = c->in + c->head.len;
		request.body_len = stored;
		c->in[c->head.len + stored] = '\0';
	}
	c->handle = httpd_slot_open(httpd, c);
	request.handle = c->handle;
	httpd->settings.handler(httpd->settings.ctx, &request);
	if (stored)
		c->in[c->head.len + stored] = after;
	consume(c, c->head.len + stored);
	if (c->state == CONN_BUSY) {
		c->held = stored;
		add_bytes(c->server, stored);
	}
	if (c->skipping && c->len) {
		ssize_t rest = skip_body(c, c->in, c->len);

		if (rest < 0) {
			c->persistent = false;
			c->lingers = true;
			rest = 0;
		}
		consume(c, c->len - (size_t)rest);
	}
}

static void send_continue(struct conn *c)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";

	/* Nothing is being written, so that the buffer of the socket is empty.
	 */
	send(h2o_socket_get_fd(c->sock), text, sizeof(text) - 1,
	     MSG_DONTWAIT | MSG_NOSIGNAL);
}

/* Decides on a request when its head is there. */
static void on_head(struct conn *c)
{
	const struct httpd_settings *settings = &c->server->httpd.settings;
	bool has_body = c->head.chunked || c->head.body_len;
	struct httpd_request request;

	c->persistent = c->head.persistent;
	c->body_len = 0;
	c->chunks = (struct phr_chunked_decoder){ .consume_trailer = 1 };
	c->chunks_ended = false;
	c->skipping = true;
	if (!has_body) {
		dispatch(c);
		return;
	}
	if (c->head.body_len > settings->max_body) {
		limited(c->server, HTTPD_LIMIT_BODY);
		refuse(c, 413, "the body is too large");
		return;
	}
	request = describe(c);
	request.body_len = c->head.chunked ? SIZE_MAX : c->head.body_len;
	if (settings->wants_body &&
	    !settings->wants_body(settings->ctx, &request)) {
		/* It is not known whether the body will be sent. */
		if (c->head.expects_continue) {
			c->persistent = false;
			c->lingers = true;
		}
		dispatch(c);
		return;
	}
	c->skipping = false;
	set_state(c, CONN_BODY);
	if (c->head.expects_continue)
		send_continue(c);
}

static void read_head(struct conn *c)
{
	size_t max = c->server->limits.head_bytes;
	size_t len = c->len < max ? c->len : max;
	enum http1_status status;

	if (c->state != CONN_HEAD)
		set_state(c, CONN_HEAD);
	status = http1_parse(c->in, len, c->parsed, &c->head);
	c->parsed = status == HTTP1_PARTIAL ? len : 0;
	if (status == HTTP1_OK) {
		on_head(c);
	} else if (status == HTTP1_MALFORMED) {
		refuse(c, 400, "the request is malformed");
	} else if (status == HTTP1_UNSUPPORTED) {
		refuse(c, 501, "the transfer coding is not supported");
	} else if (len == max) {
		limited(c->server, HTTPD_LIMIT_HEAD);
		refuse(c, 431, "the head is too large");
	}
}

/* Decodes what has arrived of a chunked body, in place. */
static void read_chunks(struct conn *c)
{
	char *at = c->in + c->head.len + c->body_len;
	size_t n = c->len - c->head.len - c->body_len;
	ssize_t rest = phr_decode_chunked(&c->chunks, at, &n);

	if (rest == -1) {
		refuse(c, 400, "the body is malformed");
		return;
	}
	c->body_len += n;
	c->since_mark += n;
	c->len = c->head.len + c->body_len + (rest > 0 ? (size_t)rest : 0);
	c->chunks_ended = rest >= 0;
	if (c->body_len > c->server->httpd.settings.max_body) {
		limited(c->server, HTTPD_LIMIT_BODY);
		refuse(c, 413, "the body is too large");
	}
}

static void read_body(struct conn *c)
{
	if (c->head.chunked) {
		read_chunks(c);
	} else {
		c->body_len = c->len - c->head.len;
		if (c->body_len > c->head.body_len)
			c->body_len = c->head.body_len;
	}
	if (c->state != CONN_BODY)
		return;
	if (body_ended(c))
		dispatch(c);
	else if (c->since_mark >= HTTPD_PROGRESS_BYTES)
		mark(c);
}

/* Handles the input as far as it goes. */
static void process(struct conn *c)
{
	if (c->len && (c->state == CONN_NEW || c->state == CONN_IDLE ||
		       c->state == CONN_HEAD))
		read_head(c);
	if (c->state == CONN_BODY)
		read_body(c);
}

static void store_input(struct conn *c, const char *data, size_t len)
{
	/* It counts as unfinished before it may hold memory. */
	if (c->state == CONN_NEW || c->state == CONN_IDLE) {
		c->head = (struct http1_head){ 0 };
		set_state(c, CONN_HEAD);
	}
	/* New bytes count as progress before others are compared. */
	if (c->state == CONN_BODY && !c->head.chunked) {
		c->since_mark += len;
		if (c->since_mark >= HTTPD_PROGRESS_BYTES)
			mark(c);
	}
	if (!reserve(c, len)) {
		refuse(c, 503,
		       "too much is being received; this request "
		       "has not run");
		return;
	}
	memcpy(c->in + c->len, data, len);
	c->len += len;
	process(c);
}

/* Goes on to the next request. */
static void next_request(struct conn *c)
{
	set_state(c, CONN_IDLE);
	process(c);
}

static void skip_input(struct conn *c, char *data, size_t len)
{
	ssize_t rest = skip_body(c, data, len);

	if (rest < 0) {
		conn_close(c);
		return;
	}
	if (!body_ended(c)) {
		if (c->since_mark >= HTTPD_PROGRESS_BYTES)
			mark(c);
		return;
	}
	set_state(c, CONN_IDLE);
	if (rest)
		store_input(c, data, (size_t)rest);
}

/* A client that sends on and on does not read the response either. */
static void discard(struct conn *c, size_t n)
{
	c->since_mark += n;
	if (c->since_mark > c->server->httpd.settings.max_body)
		conn_close(c);
}

static void on_readable(h2o_socket_t *sock, const char *err)
{
	static char data[INPUT_BYTES];
	struct conn *c = sock->data;
	ssize_t n =
		err ? 0 : recv(h2o_socket_get_fd(sock), data, sizeof(data), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0)
		conn_close(c);
	else if (c->state == CONN_SKIP)
		skip_input(c, data, (size_t)n);
	else if (c->state == CONN_LINGER)
		discard(c, (size_t)n);
	else
		store_input(c, data, (size_t)n);
}

/* Lets the client read the response, which a reset would take away. */
static void linger(struct conn *c)
{
	drop_input(c);
	shutdown(h2o_socket_get_fd(c->sock), SHUT_WR);
	set_state(c, CONN_LINGER);
	h2o_socket_read_start(c->sock, on_readable);
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct conn *c = sock->data;

	drop_output(c);
	if (err || (!c->persistent && !c->lingers)) {
		conn_close(c);
	} else if (c->lingers) {
		linger(c);
	} else if (!body_ended(c)) {
		set_state(c, CONN_SKIP);
		h2o_socket_read_start(c->sock, on_readable);
	} else {
		h2o_socket_read_start(c->sock, on_readable);
		next_request(c);
	}
}

static const char *bounded_header(const struct httpd_request *request,
				  const char *name, char *value, size_t size)
{
	const struct conn *c = request->internal;

	return http1_header(c->in, c->head.len, name, value, size) ? value
								   : NULL;
}

static void bounded_reply(struct httpd *httpd, void *request,
			  const struct httpd_response *response)
{
	struct conn *c = request;

	(void)httpd;
	c->handle = 0;
	release_held(c);
	write_response(c, response);
}

static h2o_socket_t *bounded_socket(void *request)
{
	return ((struct conn *)request)->sock;
}

static void conn_new(struct server *s, h2o_socket_t *sock)
{
	struct conn *c = xcalloc(1, sizeof(*c));

	c->server = s;
	c->sock = sock;
	sock->data = c;
	s->httpd.connections++;
	set_state(c, CONN_NEW);
	h2o_socket_dont_read(sock, 1);
	h2o_socket_read_start(sock, on_readable);
}

static void on_accept(h2o_socket_t *listener, const char *err);

static void on_pause_end(struct timer *timer)
{
	struct server *s = timer->ctx;

	if (s->listener)
		h2o_socket_read_start(s->listener, on_accept);
}

/* Another connection cannot be accepted for lack of descriptors. */
static void on_no_descriptor(struct server *s)
{
	limited(s, HTTPD_LIMIT_DESCRIPTORS);
	make_way(s);
	h2o_socket_read_stop(s->listener);
	timer_start(s->loop, &s->pause, ACCEPT_PAUSE_MS);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct server *s = listener->data;

	for (int i = 0; i < ACCEPTS_AT_ONCE && !err; i++) {
		h2o_socket_t *sock = h2o_evloop_socket_accept(listener);

		if (!sock) {
			if (errno == EMFILE || errno == ENFILE)
				on_no_descriptor(s);
			return;
		}
		if (s->httpd.connections >= s->limits.connections) {
			limited(s, HTTPD_LIMIT_CONNECTIONS);
			if (!make_way(s)) {
				h2o_socket_close(sock);
				continue;
			}
		}
		conn_new(s, sock);
	}
}

/* Closes the connections of a state that are without progress for too long. */
static void expire(struct server *s, enum conn_state state, uint32_t max_ms,
		   enum httpd_limit limit)
{
	uint64_t now = loop_now_ms();
	struct conn *c;

	while ((c = first_of(s, state)) && now >= c->mark_ms + max_ms) {
		if (limit < HTTPD_LIMITS)
			limited(s, limit);
		conn_close(c);
	}
}

/* Returns memory to the system once most of a peak is no longer used. */
static void trim(struct server *s)
{
	if (s->peak_bytes < TRIM_BYTES || s->httpd.bytes > s->peak_bytes / 4)
		return;
	malloc_trim(0);
	s->peak_bytes = s->httpd.bytes;
}

static void on_sweep(struct timer *timer)
{
	struct server *s = timer->ctx;
	const struct httpd_limits *l = &s->limits;

	expire(s, CONN_NEW, l->idle_ms, HTTPD_LIMITS);
	expire(s, CONN_IDLE, l->idle_ms, HTTPD_LIMITS);
	expire(s, CONN_HEAD, l->head_ms, HTTPD_LIMIT_HEAD_TIME);
	expire(s, CONN_BODY, l->body_ms, HTTPD_LIMIT_BODY_TIME);
	expire(s, CONN_SKIP, l->body_ms, HTTPD_LIMIT_BODY_TIME);
	expire(s, CONN_WRITE, l->write_ms, HTTPD_LIMIT_RESPONSE_TIME);
	expire(s, CONN_LINGER, l->linger_ms, HTTPD_LIMITS);
	trim(s);
	timer_start(s->loop, &s->sweep, SWEEP_INTERVAL_MS);
}

static void bounded_close_listener(struct httpd *httpd)
{
	struct server *s = (struct server *)httpd;

	if (!s->listener)
		return;
	timer_stop(s->loop, &s->pause);
	h2o_socket_close(s->listener);
	s->listener = NULL;
}

static const struct httpd_ops bounded_ops = {
	.header = bounded_header,
	.reply = bounded_reply,
	.socket = bounded_socket,
	.close_listener = bounded_close_listener,
};

/* Starts a server with the limits of @settings on a socket that listens. */
struct httpd *httpd_bounded_new(struct loop *loop, int fd,
				const struct httpd_settings *settings)
{
	struct server *s = xcalloc(1, sizeof(*s));

	s->httpd.ops = &bounded_ops;
	s->httpd.settings = *settings;
	s->limits = *settings->limits;
	s->loop = loop;
	for (int i = 0; i < CONN_STATES; i++)
		h2o_linklist_init_anchor(&s->states[i]);
	s->pause = (struct timer){ .fn = on_pause_end, .ctx = s };
	s->release = (struct timer){ .fn = free_closed, .ctx = s };
	s->sweep = (struct timer){ .fn = on_sweep, .ctx = s };
	timer_start(loop, &s->sweep, SWEEP_INTERVAL_MS);
	s->listener = h2o_evloop_socket_create(loop_h2o(loop), fd,
					       H2O_SOCKET_FLAG_DONT_READ);
	s->listener->data = s;
	h2o_socket_read_start(s->listener, on_accept);
	return &s->httpd;
}
