#include "httpd_int.h"

#include <arpa/inet.h>
#include <string.h>

#include "addr.h"
#include "buf.h"

#define HTTPD_BACKLOG 512 /* connections */

/* Gives an open request a handle. */
uint32_t httpd_slot_open(struct httpd *httpd, void *request)
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
		httpd->slots[slot] = (struct httpd_slot){ 0 };
		httpd->slot_count = n;
	}
	httpd->slots[slot].request = request;
	httpd->slots[slot].generation =
		(httpd->slots[slot].generation + 1) & 0xffff;
	httpd->open_count++;
	return (httpd->slots[slot].generation << 16) | (slot + 1);
}

static struct httpd_slot *slot_find(struct httpd *httpd, uint32_t handle)
{
	uint32_t slot = (handle & 0xffff) - 1;
	struct httpd_slot *open;

	if (!(handle & 0xffff) || slot >= httpd->slot_count)
		return NULL;
	open = &httpd->slots[slot];
	if (!open->request || open->generation != handle >> 16)
		return NULL;
	return open;
}

/* Ends the handle of a request; does nothing if it has ended. */
void httpd_slot_close(struct httpd *httpd, uint32_t handle)
{
	struct httpd_slot *open = slot_find(httpd, handle);

	if (!open)
		return;
	open->request = NULL;
	httpd->free_slots[httpd->free_count] = (handle & 0xffff) - 1;
	httpd->free_count++;
	httpd->open_count--;
}

/*
 * Starts a server with a copy of @settings; its strings are not used after the
 * return. Returns NULL with @err set if the address is malformed or in use.
 */
struct httpd *httpd_new(struct loop *loop,
			const struct httpd_settings *settings, struct err *err)
{
	struct httpd *httpd;
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof(sin);
	int fd = addr_listen(settings->addr, HTTPD_BACKLOG, err);

	if (fd < 0)
		return NULL;
	httpd = settings->limits ? httpd_bounded_new(loop, fd, settings)
				 : httpd_h2o_new(loop, fd, settings);
	if (!getsockname(fd, (struct sockaddr *)&sin, &len))
		httpd->port = ntohs(sin.sin_port);
	return httpd;
}

/*
 * Copies the value of header @name to @value, truncated to @size bytes with
 * NUL. Returns @value, or NULL if the header is absent.
 */
const char *httpd_header(const struct httpd_request *request, const char *name,
			 char *value, size_t size)
{
	return request->httpd->ops->header(request, name, value, size);
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

/*
 * Responds to an open request. @headers is NULL, or complete lines ending in
 * CRLF. Does nothing if the client has disconnected or the request has already
 * been answered.
 */
void httpd_reply(struct httpd *httpd, uint32_t handle, int status,
		 const char *content_type, const char *headers,
		 const void *body, size_t len)
{
	struct httpd_slot *open = slot_find(httpd, handle);
	struct httpd_response response = { .status = status,
					   .content_type = content_type,
					   .headers = headers,
					   .body = body ? body : "",
					   .len = len };
	void *request;

	if (!open)
		return;
	request = open->request;
	httpd_slot_close(httpd, handle);
	httpd->ops->reply(httpd, request, &response);
}

/* Returns true until the request of @handle is answered or disconnected. */
bool httpd_is_open(struct httpd *httpd, uint32_t handle)
{
	return slot_find(httpd, handle) != NULL;
}

/*
 * Returns true if the client of a request has closed its connection, or if the
 * request is not open. Nothing is read from a connection while its request is
 * handled, so a disconnection is detected only by polling with this function.
 */
bool httpd_client_closed(struct httpd *httpd, uint32_t handle)
{
	struct httpd_slot *open = slot_find(httpd, handle);
	h2o_socket_t *sock;
	char byte;

	if (!open)
		return true;
	sock = httpd->ops->socket(open->request);
	return sock && recv(h2o_socket_get_fd(sock), &byte, 1,
			    MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Returns the number of open requests. */
uint32_t httpd_open_count(const struct httpd *httpd)
{
	return httpd->open_count;
}

/* Returns the number of connections; 0 without limits. */
uint32_t httpd_connections(const struct httpd *httpd)
{
	return httpd->connections;
}

/* Returns the bytes held for requests and responses; 0 without limits. */
size_t httpd_bytes(const struct httpd *httpd)
{
	return httpd->bytes;
}

/*
 * Stops accepting connections, and closes the open ones after their requests in
 * flight.
 */
void httpd_close_listener(struct httpd *httpd)
{
	httpd->ops->close_listener(httpd);
}

/* Returns the listening port; if port 0 was requested, the assigned one. */
int httpd_port(const struct httpd *httpd)
{
	return httpd->port;
}

/* Returns the name of a limit, for logs. */
const char *httpd_limit_name(enum httpd_limit limit)
{
	static const char *const names[HTTPD_LIMITS] = {
		[HTTPD_LIMIT_CONNECTIONS] = "connections",
		[HTTPD_LIMIT_DESCRIPTORS] = "descriptors",
		[HTTPD_LIMIT_MEMORY] = "memory",
		[HTTPD_LIMIT_REQUESTS] = "requests",
		[HTTPD_LIMIT_HEAD] = "head",
		[HTTPD_LIMIT_BODY] = "body",
		[HTTPD_LIMIT_HEAD_TIME] = "head-time",
		[HTTPD_LIMIT_BODY_TIME] = "body-time",
		[HTTPD_LIMIT_RESPONSE_TIME] = "response-time",
	};

	return names[limit];
}
