/* HTTP server of h2o, which reads a request as a whole before it handles it. */
#include <stdlib.h>
#include <string.h>

#include "buf.h"
#include "httpd_int.h"

#define HTTPD_IDLE_TIMEOUT_MS 30000

struct httpd_h2o {
	struct httpd httpd;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	h2o_socket_t *listener;
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

static void on_request_disposed(void *p)
{
	struct request_guard *guard = p;
	struct httpd *httpd = guard->httpd;

	if (!httpd_is_open(httpd, guard->handle))
		return;
	httpd_slot_close(httpd, guard->handle);
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
		.httpd = httpd,
		.internal = req,
	};

	if (path_len + 1 < req->path.len)
		request.query = pool_string(req, req->path.base + path_len + 1,
					    req->path.len - path_len - 1);
	guard->httpd = httpd;
	guard->handle = httpd_slot_open(httpd, req);
	request.handle = guard->handle;
	httpd->settings.handler(httpd->settings.ctx, &request);
	return 0;
}

static void on_accept(h2o_socket_t *listener, const char *errstr)
{
	struct httpd_h2o *server = listener->data;
	h2o_socket_t *sock;

	if (errstr)
		return;
	sock = h2o_evloop_socket_accept(listener);
	if (sock)
		h2o_accept(&server->accept, sock);
}

static const char *h2o_header(const struct httpd_request *request,
			      const char *name, char *value, size_t size)
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

static void h2o_reply(struct httpd *httpd, void *request,
		      const struct httpd_response *response)
{
	h2o_req_t *req = request;
	const char *type = response->content_type;

	(void)httpd;
	req->res.status = response->status;
	req->res.reason = response->status < 400 ? "OK" : "Error";
	if (type)
		h2o_add_header(&req->pool, &req->res.headers,
			       H2O_TOKEN_CONTENT_TYPE, NULL,
			       pool_string(req, type, strlen(type)),
			       strlen(type));
	add_headers(req, response->headers);
	req->res.content_length = response->len;
	h2o_send_inline(req, response->body, response->len);
}

static h2o_socket_t *request_socket(void *request)
{
	h2o_req_t *req = request;

	return req->conn->callbacks->get_socket(req->conn);
}

static void close_listener(struct httpd *httpd)
{
	struct httpd_h2o *server = (struct httpd_h2o *)httpd;

	if (!server->listener)
		return;
	h2o_socket_read_stop(server->listener);
	h2o_socket_close(server->listener);
	server->listener = NULL;
	h2o_context_request_shutdown(&server->context);
}

static const struct httpd_ops h2o_ops = {
	.header = h2o_header,
	.reply = h2o_reply,
	.socket = request_socket,
	.close_listener = close_listener,
};

/* Starts a server of h2o on a socket that listens. */
struct httpd *httpd_h2o_new(struct loop *loop, int fd,
			    const struct httpd_settings *settings)
{
	struct httpd_h2o *server = xcalloc(1, sizeof(*server));
	h2o_hostconf_t *host;
	struct handler *handler;

	server->httpd.ops = &h2o_ops;
	server->httpd.settings = *settings;
	h2o_config_init(&server->config);
	server->config.max_request_entity_size = settings->max_body;
	server->config.http1.req_timeout = HTTPD_IDLE_TIMEOUT_MS;
	server->config.server_name = h2o_iovec_init(H2O_STRLIT("jayspoke"));
	host = h2o_config_register_host(
		&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	handler = (struct handler *)h2o_create_handler(
		h2o_config_register_path(host, "/", 0), sizeof(*handler));
	handler->super.on_req = on_request;
	handler->httpd = &server->httpd;
	h2o_context_init(&server->context, loop_h2o(loop), &server->config);
	server->accept.ctx = &server->context;
	server->accept.hosts = server->config.hosts;
	server->listener = h2o_evloop_socket_create(loop_h2o(loop), fd,
						    H2O_SOCKET_FLAG_DONT_READ);
	server->listener->data = server;
	h2o_socket_read_start(server->listener, on_accept);
	return &server->httpd;
}
