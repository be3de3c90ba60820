#include "addr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOST_MAX 64

/* Parses "address:port", port 0 to 65535; returns false if it is malformed. */
bool addr_parse(const char *addr, struct sockaddr_in *sin)
{
	char host[HOST_MAX];
	const char *colon = strrchr(addr, ':');
	size_t len = colon ? (size_t)(colon - addr) : 0;
	char *end;
	long port;

	if (!len || len >= sizeof(host))
		return false;
	memcpy(host, addr, len);
	host[len] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end || end == colon + 1 || port < 0 || port > 65535)
		return false;
	*sin = (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_port = htons((uint16_t)port) };
	return inet_pton(AF_INET, host, &sin->sin_addr) == 1;
}

/*
 * Returns a non-blocking socket that listens on @addr, or -1 with @err set if
 * the address is malformed or in use.
 */
int addr_listen(const char *addr, int backlog, struct err *err)
{
	struct sockaddr_in sin;
	int one = 1;
	int fd;

	if (!addr_parse(addr, &sin)) {
		err_set(err, ERR_BAD_REQUEST, "listen %s: not address:port",
			addr);
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&sin, sizeof(sin)) &&
	    !listen(fd, backlog))
		return fd;
fail:
	err_set(err, ERR_INTERNAL, "listen %s: %s", addr, strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}
