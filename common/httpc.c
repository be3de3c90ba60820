#include "httpc.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include <h2o/http1client.h>
#include <h2o/socketpool.h>
#include <uthash.h>

#include "addr.h"

/*
 * Only a backstop: the timers of h2o follow the wall clock, so each exchange
 * has a timer of its own.
 */
#define HTTPC_IO_TIMEOUT_MS 600000
#define HTTPC_POOL_CAPACITY 4096 /* connections to one address */
#define HTTPC_POOL_IDLE_MS 5000
#define HTTPC_MAX_RESPONSE_BYTES (4U << 20)
#define HTTPC_ADDR_MAX 56 /* bytes, with NUL */
/*
 * TCP_USER_TIMEOUT. Limits how long the kernel retransmits on behalf of a
 * paused process, so that a message sent before a pause is not delivered long
 * after it.
 */
#define HTTPC_USER_TIMEOUT_MS 2000

/*
 * Connections to one address. After a timeout the pool is retired, and the next
 * request to the address creates a new one.
 */
struct pool {
	h2o_socketpool_t sockets;
	char addr[HTTPC_ADDR_MAX];
	uint32_t users;	   /* exchanges in progress */
	bool retired;	   /* freed when its last exchange ends */
	struct pool *next; /* in the list of retired pools */
	UT_hash_handle hh;
};

struct exchange {
	struct httpc *client;
	struct pool *pool;
	h2o_http1client_t *h2o;
	struct timer timer;
	struct buf head;
	struct buf body;
	h2o_iovec_t vecs[2];
	struct httpc_response response;
	httpc_done done;
	void *ctx;
	uint32_t ref;
	uint32_t slot;
	uint32_t generation;
	size_t max_response_bytes;
	uint32_t part_timeout_ms; /* as in httpc_request */
	bool sent;
	bool used;
};

struct httpc {
	struct loop *loop;
	h2o_http1client_ctx_t h2o;
	h2o_timeout_t io_timeout;
	h2o_multithread_receiver_t receiver;
	struct pool *pools; /* by address; retired pools are not in it */
	struct pool *retired;
	struct exchange **slots; /* exchanges never move; slots are reused */
	uint32_t slot_count;
	uint32_t *free_slots;
	uint32_t free_count;
	uint32_t open_count;
	uint64_t bytes;		    /* see httpc_bytes() */
	struct timer release_timer; /* frees retired pools */
};

static void receiver_ignore(h2o_multithread_receiver_t *receiver,
			    h2o_linklist_t *messages)
{
	(void)receiver;
	(void)messages;
}

static void on_release_timer(struct timer *timer);

/* Returns a new client whose callbacks run on @loop. */
struct httpc *httpc_new(struct loop *loop)
{
	struct httpc *client = xcalloc(1, sizeof(*client));
	h2o_multithread_queue_t *queue =
		h2o_multithread_create_queue(loop_h2o(loop));

	client->loop = loop;
	client->release_timer =
		(struct timer){ .fn = on_release_timer, .ctx = client };
	h2o_multithread_register_receiver(queue, &client->receiver,
					  receiver_ignore);
	h2o_timeout_init(loop_h2o(loop), &client->io_timeout,
			 HTTPC_IO_TIMEOUT_MS);
	client->h2o.loop = loop_h2o(loop);
	client->h2o.getaddr_receiver = &client->receiver;
	client->h2o.io_timeout = &client->io_timeout;
	return client;
}

static struct pool *pool_get(struct httpc *client, const char *addr)
{
	struct pool *pool;
	struct sockaddr_in sin;

	HASH_FIND_STR(client->pools, addr, pool);
	if (pool)
		return pool;
	if (!addr_parse(addr, &sin) || !sin.sin_port)
		return NULL;
	pool = xcalloc(1, sizeof(*pool));
	strncpy(pool->addr, addr, sizeof(pool->addr) - 1);
	h2o_socketpool_init_by_address(&pool->sockets, (struct sockaddr *)&sin,
				       sizeof(sin), 0, HTTPC_POOL_CAPACITY);
	h2o_socketpool_set_timeout(&pool->sockets, client->h2o.loop,
				   HTTPC_POOL_IDLE_MS);
	HASH_ADD_STR(client->pools, addr, pool);
	return pool;
}

static void on_release_timer(struct timer *timer)
{
	struct httpc *client = timer->ctx;
	struct pool **link = &client->retired;

	while (*link) {
		struct pool *pool = *link;

		if (pool->users) {
			link = &pool->next;
			continue;
		}
		*link = pool->next;
		h2o_socketpool_dispose(&pool->sockets);
		free(pool);
	}
}

/*
 * Schedules the release of a retired pool without users. It is deferred to a
 * later loop iteration, because h2o returns the connection of an exchange to
 * its pool only after the callback that ends the exchange.
 */
static void pool_dispose_if_unused(struct httpc *client, struct pool *pool)
{
	if (pool->retired && !pool->users)
		timer_start(client->loop, &client->release_timer, 0);
}

/*
 * Closes the idle connections to @addr. Connections in use complete their
 * exchange and are not reused.
 */
void httpc_close_idle(struct httpc *client, const char *addr)
{
	struct pool *pool;

	HASH_FIND_STR(client->pools, addr, pool);
	if (!pool)
		return;
	HASH_DEL(client->pools, pool);
	pool->retired = true;
	pool->next = client->retired;
	client->retired = pool;
	pool_dispose_if_unused(client, pool);
}

static struct exchange *exchange_new(struct httpc *client)
{
	struct exchange *x;

	if (client->free_count) {
		client->free_count--;
		x = client->slots[client->free_slots[client->free_count]];
	} else {
		uint32_t n = client->slot_count + 1;

		client->slots =
			xrealloc(client->slots, n * sizeof(*client->slots));
		client->free_slots = xrealloc(client->free_slots,
					      n * sizeof(*client->free_slots));
		x = xcalloc(1, sizeof(*x));
		x->slot = client->slot_count;
		client->slots[client->slot_count] = x;
		client->slot_count = n;
	}
	x->generation = (x->generation + 1) & 0xffff;
	x->client = client;
	x->used = true;
	client->open_count++;
	return x;
}

static uint32_t exchange_handle(const struct exchange *x)
{
	return (x->generation << 16) | (x->slot + 1);
}

static void exchange_free(struct exchange *x)
{
	struct httpc *client = x->client;
	struct pool *pool = x->pool;
	uint32_t slot = x->slot;
	uint32_t generation = x->generation;

	timer_stop(client->loop, &x->timer);
	buf_free(&x->head);
	buf_free(&x->body);
	buf_free(&x->response.body);
	*x = (struct exchange){ .slot = slot, .generation = generation };
	client->free_slots[client->free_count] = slot;
	client->free_count++;
	client->open_count--;
	if (pool) {
		pool->users--;
		pool_dispose_if_unused(client, pool);
	}
}

/* Frees the exchange and runs its callback, which may send a new request. */
static void exchange_finish(struct exchange *x, enum httpc_state state,
			    const char *error)
{
	struct httpc_response response = x->response;
	httpc_done done = x->done;
	void *ctx = x->ctx;
	uint32_t ref = x->ref;

	response.state = state;
	response.error = error;
	x->response.body = (struct buf){ 0 };
	if (state != HTTPC_COMPLETE)
		buf_free(&response.body);
	exchange_free(x);
	done(ctx, ref, &response);
	buf_free(&response.body);
}

/*
 * A response that has begun may take long for its size or over a full link:
 * asked for again it would fill the link once more.
 */
static void extend_timeout(struct exchange *x)
{
	if (loop_now_ms() + x->part_timeout_ms > x->timer.at_ms)
		timer_start(x->client->loop, &x->timer, x->part_timeout_ms);
}

static int on_body(h2o_http1client_t *h2o, const char *errstr)
{
	struct exchange *x = h2o->data;
	h2o_buffer_t *input = h2o->sock->input;
	bool eos = errstr == h2o_http1client_error_is_eos;

	if (errstr && !eos) {
		exchange_finish(x, HTTPC_NO_RESPONSE, errstr);
		return -1;
	}
	if (x->response.body.len + input->size > x->max_response_bytes) {
		exchange_finish(x, HTTPC_NO_RESPONSE, "answer too large");
		return -1;
	}
	if (input->size) {
		buf_append(&x->response.body, input->bytes, input->size);
		x->client->bytes += input->size;
		h2o_buffer_consume(&h2o->sock->input, input->size);
		extend_timeout(x);
	}
	if (eos)
		exchange_finish(x, HTTPC_COMPLETE, NULL);
	return 0;
}

static void copy_header(char *dst, size_t size, const h2o_header_t *header)
{
	size_t len = header->value.len;

	if (len >= size)
		len = size - 1;
	memcpy(dst, header->value.base, len);
	dst[len] = '\0';
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *h2o,
				       const char *errstr, int minor_version,
				       int status, h2o_iovec_t msg,
				       h2o_header_t *headers,
				       size_t num_headers, int rlen)
{
	struct exchange *x = h2o->data;

	(void)minor_version;
	(void)msg;
	(void)rlen;
	if (errstr && errstr != h2o_http1client_error_is_eos) {
		exchange_finish(x, HTTPC_NO_RESPONSE, errstr);
		return NULL;
	}
	x->response.status = status;
	extend_timeout(x);
	for (size_t i = 0; i < num_headers; i++) {
		char index[24];
		const h2o_iovec_t *name = headers[i].name;

		if (h2o_lcstris(name->base, name->len,
				H2O_STRLIT("x-consul-index"))) {
			copy_header(index, sizeof(index), &headers[i]);
			x->response.index = strtoull(index, NULL, 10);
		} else if (h2o_lcstris(name->base, name->len,
				       H2O_STRLIT("etag"))) {
			copy_header(x->response.etag, sizeof(x->response.etag),
				    &headers[i]);
		} else if (h2o_lcstris(name->base, name->len,
				       H2O_STRLIT("x-outcome"))) {
			copy_header(x->response.outcome,
				    sizeof(x->response.outcome), &headers[i]);
		} else if (h2o_lcstris(name->base, name->len,
				       H2O_STRLIT("content-type"))) {
			copy_header(x->response.content_type,
				    sizeof(x->response.content_type),
				    &headers[i]);
		}
	}
	if (errstr) {
		exchange_finish(x, HTTPC_COMPLETE, NULL);
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *h2o, const char *errstr, h2o_iovec_t **reqbufs,
	   size_t *reqbufcnt, int *method_is_head)
{
	struct exchange *x = h2o->data;
	int user_timeout = HTTPC_USER_TIMEOUT_MS;
	int one = 1;
	int fd;

	if (errstr) {
		exchange_finish(x, HTTPC_NOT_SENT, errstr);
		return NULL;
	}
	/*
	 * After a pause of the process, this callback may run before the
	 * expired timer of the exchange.
	 */
	if (loop_now_ms() >= x->timer.at_ms) {
		exchange_finish(x, HTTPC_NOT_SENT, "timeout");
		return NULL;
	}
	fd = h2o_socket_get_fd(h2o->sock);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
		   sizeof(user_timeout));
	x->sent = true;
	x->client->bytes += x->head.len + x->body.len;
	x->vecs[0] = h2o_iovec_init(x->head.data, x->head.len);
	x->vecs[1] = h2o_iovec_init(x->body.data, x->body.len);
	*reqbufs = x->vecs;
	*reqbufcnt = x->body.len ? 2 : 1;
	*method_is_head = 0;
	return on_head;
}

static void on_timeout(struct timer *timer)
{
	struct exchange *x = timer->ctx;
	struct httpc *client = x->client;
	bool sent = x->sent;
	char addr[HTTPC_ADDR_MAX] = "";

	if (x->h2o)
		h2o_http1client_cancel(x->h2o);
	if (x->pool)
		memcpy(addr, x->pool->addr, sizeof(addr));
	/* Other idle connections to the address may be dead as well. */
	if (addr[0])
		httpc_close_idle(client, addr);
	exchange_finish(x, sent ? HTTPC_NO_RESPONSE : HTTPC_NOT_SENT,
			"timeout");
}

static void on_bad_address(struct timer *timer)
{
	exchange_finish(timer->ctx, HTTPC_NOT_SENT, "invalid address");
}

/*
 * Sends a request. @request and the data that it points to are copied, except
 * for the context. The callback runs exactly once, after this function has
 * returned, unless the exchange is cancelled. Returns a handle for
 * httpc_cancel().
 */
uint32_t httpc_send(struct httpc *client, const struct httpc_request *request)
{
	struct exchange *x = exchange_new(client);
	uint32_t handle = exchange_handle(x);
	struct pool *pool;

	x->done = request->done;
	x->ctx = request->ctx;
	x->ref = request->ref;
	x->part_timeout_ms = request->part_timeout_ms;
	x->max_response_bytes = request->max_response_bytes
					? request->max_response_bytes
					: HTTPC_MAX_RESPONSE_BYTES;
	x->timer = (struct timer){ .fn = on_timeout, .ctx = x };
	x->head = buf_fmt("%s %s HTTP/1.1\r\nHost: %s\r\n"
			  "Content-Length: %zu\r\n%s%s\r\n",
			  request->method, request->path, request->addr,
			  request->body_len,
			  request->fresh ? "Connection: close\r\n" : "",
			  request->headers ? request->headers : "");
	if (request->body_len)
		x->body = buf_copy(request->body, request->body_len);
	pool = pool_get(client, request->addr);
	if (!pool) {
		x->timer.fn = on_bad_address;
		timer_start(client->loop, &x->timer, 0);
		return handle;
	}
	x->pool = pool;
	pool->users++;
	timer_start(client->loop, &x->timer, request->timeout_ms);
	if (request->fresh) {
		const struct sockaddr_in *sin =
			(const void *)&pool->sockets.peer.sockaddr.bytes;
		char host[INET_ADDRSTRLEN];

		inet_ntop(AF_INET, &sin->sin_addr, host, sizeof(host));
		h2o_http1client_connect(&x->h2o, x, &client->h2o,
					h2o_iovec_init(host, strlen(host)),
					ntohs(sin->sin_port), 0, on_connect);
	} else {
		h2o_http1client_connect_with_pool(&x->h2o, x, &client->h2o,
						  &pool->sockets, on_connect);
	}
	return handle;
}

/*
 * Cancels an exchange; its callback does not run. An unknown handle is ignored.
 */
void httpc_cancel(struct httpc *client, uint32_t handle)
{
	uint32_t slot = (handle & 0xffff) - 1;
	struct exchange *x;

	if (!(handle & 0xffff) || slot >= client->slot_count)
		return;
	x = client->slots[slot];
	if (!x->used || exchange_handle(x) != handle)
		return;
	if (x->h2o)
		h2o_http1client_cancel(x->h2o);
	exchange_free(x);
}

/* Returns the number of exchanges in progress. */
uint32_t httpc_open_count(const struct httpc *client)
{
	return client->open_count;
}

/*
 * Returns the bytes sent and received so far, without TCP overhead and response
 * headers.
 */
uint64_t httpc_bytes(const struct httpc *client)
{
	return client->bytes;
}
