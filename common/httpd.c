#include "httpd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "addr.h"
#include "buf.h"

#define HTTPD_BACKLOG 512 /* connections */
#define HTTPD_IDLE_TIMEOUT_MS 30000

/* A request without a response yet. */
struct open_request {
	h2o_req_t *req; /* NULL if the slot is free */
	uint32_t generation;
};

struct httpd {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	h2o_socket_t *listener;
	struct httpd_settings settings;
	struct open_request *slots;
	uint32_t slot_count;
	uint32_t *free_slots;
	uint32_t free_count;
	uint32_t open_count;
	int port;
};

struct handler {
	h2o_handler_t super;
	struct httpd *httpd;
};

/*
 * Allocated in the memory pool of the request, whose destructor then runs
 * on_request_disposed().
 */
struct request_guard {
	struct httpd *httpd;
	uint32_t handle;
};

static uint32_t slot_open(struct httpd *httpd, h2o_req_t *req)
{
	uint32_t slot;

	if (httpd->free_count) {
		httpd->free_count--;
		slot = httpd->free_slots[httpd->free_count];
	} else {
		uint32_t n = httpd->slot_count + 1;

		slot = httpd->slot_count;
		httpd->slots =
			xrealloc(httpd->slots, n * sizeof(*httpd->slots));
		httpd->free_slots = xrealloc(httpd->free_slots,
					     n * sizeof(*httpd->free_slots));
		httpd->slots[slot] = (struct open_request){ 0 };
		httpd->slot_count = n;
	}
	httpd->slots[slot].req = req;
	httpd->slots[slot].generation =
		(httpd->slots[slot].generation + 1) & 0xffff;
	httpd->open_count++;
	return (httpd->slots[slot].generation << 16) | (slot + 1);
}

static struct open_request *slot_find(struct httpd *httpd, uint32_t handle)
{
	uint32_t slot = (handle & 0xffff) - 1;
	struct open_request *open;

	if (!(handle & 0xffff) || slot >= httpd->slot_count)
		return NULL;
	open = &httpd->slots[slot];
	if (!open->req || open->generation != handle >> 16)
		return NULL;
	return open;
}

static void slot_close(struct httpd *httpd, uint32_t handle)
{
	struct open_request *open = slot_find(httpd, handle);

	if (!open)
		return;
	open->req = NULL;
	httpd->free_slots[httpd->free_count] = (handle & 0xffff) - 1;
	httpd->free_count++;
	httpd->open_count--;
}

static void on_request_disposed(void *p)
{
	struct request_guard *guard = p;
	struct httpd *httpd = guard->httpd;

	if (!slot_find(httpd, guard->handle))
		return;
	slot_close(httpd, guard->handle);
	if (httpd->settings.gone)
		httpd->settings.gone(httpd->settings.ctx, guard->handle);
}

static const char *pool_string(h2o_req_t *req, const char *s, size_t len)
{
	return h2o_strdup(&req->pool, s, len).base;
}

static int on_request(h2o_handler_t *handler, h2o_req_t *req)
{
	struct httpd *httpd = ((struct handler *)handler)->httpd;
	struct request_guard *guard = h2o_mem_alloc_shared(
		&req->pool, sizeof(*guard), on_request_disposed);
	size_t path_len =
		req->query_at == SIZE_MAX ? req->path.len : req->query_at;
	const char *colon =
		memchr(req->authority.base, ':', req->authority.len);
	size_t host_len = colon ? (size_t)(colon - req->authority.base)
				: req->authority.len;
	struct httpd_request request = {
		.method = pool_string(req, req->method.base, req->method.len),
		.host = pool_string(req, req->authority.base, host_len),
		.path = pool_string(req, req->path.base, path_len),
		.query = "",
		.body = pool_string(req,
				    req->entity.base ? req->entity.base : "",
				    req->entity.len),
		.body_len = req->entity.len,
		.internal = req,
	};

	if (path_len + 1 < req->path.len)
		request.query = pool_string(req, req->path.base + path_len + 1,
					    req->path.len - path_len - 1);
	guard->httpd = httpd;
	guard->handle = slot_open(httpd, req);
	request.handle = guard->handle;
	httpd->settings.handler(httpd->settings.ctx, &request);
	return 0;
}

static void on_accept(h2o_socket_t *listener, const char *errstr)
{
	struct httpd *httpd = listener->data;
	h2o_socket_t *sock;

	if (errstr)
		return;
	sock = h2o_evloop_socket_accept(listener);
	if (sock)
		h2o_accept(&httpd->accept, sock);
}

/*
 * Starts a server with a copy of @settings; its strings are not used after the
 * return. Returns NULL with @err set if the address is malformed or in use.
 */
struct httpd *httpd_new(struct loop *loop,
			const struct httpd_settings *settings, struct err *err)
{
	struct httpd *httpd;
	h2o_hostconf_t *host;
	struct handler *handler;
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof(sin);
	int fd = addr_listen(settings->addr, HTTPD_BACKLOG, err);

	if (fd < 0)
		return NULL;
	httpd = xcalloc(1, sizeof(*httpd));
	httpd->settings = *settings;
	if (!getsockname(fd, (struct sockaddr *)&sin, &len))
		httpd->port = ntohs(sin.sin_port);
	h2o_config_init(&httpd->config);
	httpd->config.max_request_entity_size = settings->max_body;
	httpd->config.http1.req_timeout = HTTPD_IDLE_TIMEOUT_MS;
	httpd->config.server_name = h2o_iovec_init(H2O_STRLIT("jayspoke"));
	host = h2o_config_register_host(
		&httpd->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	handler = (struct handler *)h2o_create_handler(
		h2o_config_register_path(host, "/", 0), sizeof(*handler));
	handler->super.on_req = on_request;
	handler->httpd = httpd;
	h2o_context_init(&httpd->context, loop_h2o(loop), &httpd->config);
	httpd->accept.ctx = &httpd->context;
	httpd->accept.hosts = httpd->config.hosts;
	httpd->listener = h2o_evloop_socket_create(loop_h2o(loop), fd,
						   H2O_SOCKET_FLAG_DONT_READ);
	httpd->listener->data = httpd;
	h2o_socket_read_start(httpd->listener, on_accept);
	return httpd;
}

/*
 * Copies the value of header @name to @value, truncated to @size bytes with
 * NUL. Returns @value, or NULL if the header is absent.
 */
const char *httpd_header(const struct httpd_request *request, const char *name,
			 char *value, size_t size)
{
	h2o_req_t *req = request->internal;
	const h2o_token_t *token = h2o_lookup_token(name, strlen(name));
	ssize_t at;
	h2o_iovec_t found;

	if (token)
		at = h2o_find_header(&req->headers, token, -1);
	else
		at = h2o_find_header_by_str(&req->headers, name, strlen(name),
					    -1);
	if (at < 0)
		return NULL;
	found = req->headers.entries[at].value;
	if (found.len >= size)
		found.len = size - 1;
	memcpy(value, found.base, found.len);
	value[found.len] = '\0';
	return value;
}

/*
 * Copies the value of query parameter @name to @value, truncated to @size bytes
 * with NUL. Returns false if it is absent.
 */
bool httpd_query(const struct httpd_request *request, const char *name,
		 char *value, size_t size)
{
	size_t name_len = strlen(name);
	const char *p = request->query;

	while (*p) {
		size_t len = strcspn(p, "&");

		if (len >= name_len && !strncmp(p, name, name_len) &&
		    (len == name_len || p[name_len] == '=')) {
			size_t skip = len == name_len ? len : name_len + 1;
			size_t n = len - skip;

			if (n >= size)
				n = size - 1;
			memcpy(value, p + skip, n);
			value[n] = '\0';
			return true;
		}
		p += len + (p[len] == '&');
	}
	return false;
}

static void add_headers(h2o_req_t *req, const char *headers)
{
	while (headers && *headers) {
		size_t len = strcspn(headers, "\r\n");
		const char *colon = memchr(headers, ':', len);

		if (colon) {
			size_t name_len = (size_t)(colon - headers);
			const char *value = colon + 1 + strspn(colon + 1, " ");
			size_t value_len = (size_t)(headers + len - value);
			char *name =
				h2o_mem_alloc_pool(&req->pool, name_len + 1);

			memcpy(name, headers, name_len);
			name[name_len] = '\0';
			h2o_strtolower(name, name_len);
			h2o_add_header_by_str(
				&req->pool, &req->res.headers, name, name_len,
				1, headers, pool_string(req, value, value_len),
				value_len);
		}
		headers += len;
		headers += strspn(headers, "\r\n");
	}
}

/*
 * Responds to an open request. @headers is NULL, or complete lines ending in
 * CRLF. Does nothing if the client has disconnected or the request has already
 * been answered.
 */
void httpd_reply(struct httpd *httpd, uint32_t handle, int status,
		 const char *content_type, const char *headers,
		 const void *body, size_t len)
{
	struct open_request *open = slot_find(httpd, handle);
	h2o_req_t *req;

	if (!open)
		return;
	req = open->req;
	slot_close(httpd, handle);
	req->res.status = status;
	req->res.reason = status < 400 ? "OK" : "Error";
	if (content_type)
		h2o_add_header(
			&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
			NULL,
			pool_string(req, content_type, strlen(content_type)),
			strlen(content_type));
	add_headers(req, headers);
	req->res.content_length = len;
	h2o_send_inline(req, body ? body : "", len);
}

/* Returns true until the request of @handle is answered or disconnected. */
bool httpd_is_open(struct httpd *httpd, uint32_t handle)
{
	return slot_find(httpd, handle) != NULL;
}

/*
 * Returns true if the client of a request has closed its connection, or if the
 * request is not open. h2o does not read from a connection while it handles a
 * request, so a disconnection is detected only by polling with this function.
 */
bool httpd_client_closed(struct httpd *httpd, uint32_t handle)
{
	struct open_request *open = slot_find(httpd, handle);
	h2o_socket_t *sock;
	char byte;

	if (!open)
		return true;
	sock = open->req->conn->callbacks->get_socket(open->req->conn);
	return sock && recv(h2o_socket_get_fd(sock), &byte, 1,
			    MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Returns the number of open requests. */
uint32_t httpd_open_count(const struct httpd *httpd)
{
	return httpd->open_count;
}

/*
 * Stops accepting connections, and closes the open ones after their requests in
 * flight.
 */
void httpd_close_listener(struct httpd *httpd)
{
	if (!httpd->listener)
		return;
	h2o_socket_read_stop(httpd->listener);
	h2o_socket_close(httpd->listener);
	httpd->listener = NULL;
	h2o_context_request_shutdown(&httpd->context);
}

/* Returns the listening port; if port 0 was requested, the assigned one. */
int httpd_port(const struct httpd *httpd)
{
	return httpd->port;
}
