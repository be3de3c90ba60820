#include "link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/rand.h>

#include "addr.h"
#include "ctr.h"

/* Limits the input buffered for a client that is not authenticated; bytes. */
#define HANDSHAKE_FRAME_MAX 1024
#define BACKOFF_MAX_MS 5000
/*
 * Limits how long the kernel retransmits to a paused process, so that a message
 * sent before the pause is not delivered long after it.
 */
#define LINK_USER_TIMEOUT_MS 2000

static ctr_id reject_ctr(enum frame_status status)
{
	static const char *const names[FRAME_STATUS_COUNT] = {
		[FRAME_OVERSIZED] = "jayspoke_peer_frames_oversized_total",
		[FRAME_FORGED] = "jayspoke_peer_frames_forged_total",
		[FRAME_MALFORMED] = "jayspoke_peer_frames_malformed_total",
		[FRAME_TOO_DEEP] = "jayspoke_peer_frames_too_deep_total",
		[FRAME_WRONG_VERSION] =
			"jayspoke_peer_frames_wrong_version_total",
		[FRAME_REPLAYED] = "jayspoke_peer_frames_replayed_total",
	};

	return ctr_counter(names[status],
			   "Frames of peers that closed their connection.");
}

static ctr_id sent_ctr(void)
{
	return ctr_counter("jayspoke_peer_sent_bytes_total",
			   "Bytes of frames sent to peers.");
}

static ctr_id received_ctr(void)
{
	return ctr_counter("jayspoke_peer_received_bytes_total",
			   "Bytes received from peers.");
}

static void free_closed(struct timer *timer)
{
	struct link_env *env = timer->ctx;

	while (env->closed) {
		struct link *link = env->closed;

		env->closed = link->next_closed;
		buf_free(&link->queue);
		buf_free(&link->writing);
		free(link);
	}
}

/* Initializes the internal fields of @env; the caller has set the others. */
void link_env_open(struct link_env *env)
{
	env->closed = NULL;
	env->release = (struct timer){ .fn = free_closed, .ctx = env };
}

/* Frees the links, all of which must have been closed. */
void link_env_close(struct link_env *env)
{
	timer_stop(env->loop, &env->release);
	free_closed(&env->release);
}

/*
 * Closes the connection without calling the owner's down(). The link is freed
 * in the next loop iteration, because a callback of its socket may be using it.
 */
void link_discard(struct link *link)
{
	link->state = LINK_CLOSED;
	if (link->sock)
		h2o_socket_close(link->sock);
	link->sock = NULL;
	link->next_closed = link->env->closed;
	link->env->closed = link;
	timer_start(link->env->loop, &link->env->release, 0);
}

/* Closes the connection and calls the owner's down(); @reason is static. */
void link_close(struct link *link, const char *reason)
{
	if (link->state == LINK_CLOSED)
		return;
	link->env->ops->down(link, reason);
	link_discard(link);
}

/* Closes the connection on an invalid frame, which is counted by @status. */
void link_reject(struct link *link, enum frame_status status,
		 const char *reason)
{
	ctr_add(reject_ctr(status), 1);
	link_close(link, reason);
}

static void on_written(h2o_socket_t *sock, const char *error);

static void link_flush(struct link *link)
{
	h2o_iovec_t vec;

	if (link->writing.len || !link->queue.len)
		return;
	link->writing = buf_take(&link->queue);
	vec = h2o_iovec_init(link->writing.data, link->writing.len);
	ctr_add(sent_ctr(), link->writing.len);
	h2o_socket_write(link->sock, &vec, 1, on_written);
}

static void on_written(h2o_socket_t *sock, const char *error)
{
	struct link *link = sock->data;

	buf_free(&link->writing);
	if (error)
		link_close(link, "write failed");
	else
		link_flush(link);
}

/* Returns the number of bytes queued or being written. */
size_t link_unsent(const struct link *link)
{
	return link->queue.len + link->writing.len;
}

/*
 * Queues one frame. Returns false, without any effect, when the link is not
 * connected, the frame is too large, or the queue of a slow connection is full.
 */
bool link_send(struct link *link, uint32_t type, const struct buf *body)
{
	if (link->state == LINK_CLOSED || link->state == LINK_CONNECTING ||
	    link_unsent(link) + body->len > LINK_QUEUE_MAX)
		return false;
	if (!frame_encode(&link->out, type, body, &link->queue))
		return false;
	link_flush(link);
	return true;
}

static void send_record(struct link *link, enum codec_type type,
			const void *record)
{
	struct buf body = { 0 };

	codec_pack(type, record, &body);
	link_send(link, type, &body);
	buf_free(&body);
}

static void send_hello(struct link *link)
{
	struct codec_hello hello = link->env->self;

	memcpy(hello.nonce, link->nonce, sizeof(hello.nonce));
	send_record(link, CODEC_HELLO, &hello);
}

/* Derives a key or proof bound to the ids and nonces of this handshake. */
static void derive_session(const struct link *link, const char *label,
			   unsigned char out[FRAME_KEY_LEN])
{
	struct frame_endpoint self = { .id = link->env->self.id,
				       .nonce = link->nonce };
	struct frame_endpoint peer = { .id = link->peer.id,
				       .nonce = link->peer.nonce };

	frame_derive(out, link->env->secret, link->env->secret_len, label,
		     link->dialled ? &self : &peer,
		     link->dialled ? &peer : &self);
}

/* The labels differ by direction, which prevents reflection of a proof. */
static const char *proof_label(bool of_dialler)
{
	return of_dialler ? "proof of dialler" : "proof of acceptor";
}

static void send_proof(struct link *link)
{
	struct codec_auth auth;

	derive_session(link, proof_label(link->dialled), auth.proof);
	send_record(link, CODEC_AUTH, &auth);
}

/* Replaces the hello key by a session key for each direction. */
static void start_session_keys(struct link *link)
{
	link->in = (struct frame_channel){ .max = HANDSHAKE_FRAME_MAX };
	link->out = (struct frame_channel){ .max = FRAME_MAX };
	derive_session(link, link->dialled ? "from acceptor" : "from dialler",
		       link->in.key);
	derive_session(link, link->dialled ? "from dialler" : "from acceptor",
		       link->out.key);
}

/*
 * A daemon that listens on the wildcard address cannot tell which address its
 * peers reach it by. Replaces the 0.0.0.0 that it announced by the source
 * address of the connection.
 */
static void resolve_wildcard_addr(struct link *link)
{
	char host[MSG_ADDR_MAX];
	const char *port = strrchr(link->peer.addr, ':');
	char *colon;

	if (strncmp(link->peer.addr, "0.0.0.0:", 8) != 0)
		return;
	memcpy(host, link->addr, sizeof(host));
	colon = strrchr(host, ':');
	if (!colon || !port)
		return;
	*colon = '\0';
	snprintf(link->peer.addr, sizeof(link->peer.addr), "%.40s:%.6s", host,
		 port + 1);
}

static void handle_hello(struct link *link, const struct frame *frame)
{
	if (frame->type != CODEC_HELLO ||
	    !codec_unpack(CODEC_HELLO, &frame->body, &link->peer) ||
	    !link->peer.id[0]) {
		link_reject(link, FRAME_MALFORMED, "malformed hello");
		return;
	}
	if (!strcmp(link->peer.id, link->env->self.id)) {
		link_close(link, "connected to itself");
		return;
	}
	resolve_wildcard_addr(link);
	if (!link->dialled)
		send_hello(link);
	start_session_keys(link);
	link->state = LINK_WAIT_AUTH;
	if (link->dialled)
		send_proof(link);
}

static void handle_auth(struct link *link, const struct frame *frame)
{
	unsigned char proof[FRAME_KEY_LEN];
	struct codec_auth auth;

	if (frame->type != CODEC_AUTH ||
	    !codec_unpack(CODEC_AUTH, &frame->body, &auth)) {
		link_reject(link, FRAME_MALFORMED, "malformed proof");
		return;
	}
	derive_session(link, proof_label(!link->dialled), proof);
	if (CRYPTO_memcmp(proof, auth.proof, sizeof(proof)) != 0) {
		link_reject(link, FRAME_FORGED, "authentication failed");
		return;
	}
	link->in.max = FRAME_MAX;
	link->state = LINK_UP;
	if (link->bounded)
		h2o_socket_dont_read(link->sock, 0);
	link->bounded = false;
	if (!link->dialled)
		send_proof(link);
	link->env->ops->up(link);
}

static void handle_frame(struct link *link, const struct frame *frame)
{
	link->last_frame_ms = loop_now_ms();
	switch (link->state) {
	case LINK_WAIT_HELLO:
		handle_hello(link, frame);
		break;
	case LINK_WAIT_AUTH:
		handle_auth(link, frame);
		break;
	case LINK_UP:
		link->env->ops->frame(link, frame);
		break;
	case LINK_CONNECTING:
	case LINK_CLOSED:
		break;
	}
}

/* Handles the complete frames in the input; returns their length in bytes. */
static size_t handle_input(struct link *link, const char *data, size_t len)
{
	size_t at = 0;

	while (link->state != LINK_CLOSED) {
		struct frame frame;
		size_t used = 0;
		enum frame_status status = frame_decode(
			&link->in, data + at, len - at, &used, &frame);

		if (status == FRAME_PARTIAL)
			break;
		if (status != FRAME_OK) {
			link_reject(link, status, frame_status_name(status));
			break;
		}
		at += used;
		handle_frame(link, &frame);
		frame_release(&frame);
	}
	return at;
}

/*
 * Reads input of a peer that is not authenticated. The event loop would read
 * all that has arrived into memory before it is looked at.
 */
static bool read_bounded(struct link *link)
{
	size_t max = HANDSHAKE_FRAME_MAX * 2;
	h2o_iovec_t to;
	ssize_t n;

	if (link->sock->input->size >= max)
		return false;
	to = h2o_buffer_reserve(&link->sock->input, HANDSHAKE_FRAME_MAX);
	n = recv(h2o_socket_get_fd(link->sock), to.base, HANDSHAKE_FRAME_MAX,
		 0);
	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	link->sock->input->size += (size_t)n;
	link->sock->bytes_read = (size_t)n;
	return n > 0;
}

static void on_read(h2o_socket_t *sock, const char *error)
{
	struct link *link = sock->data;
	size_t used;

	if (error) {
		link_close(link, "closed by the peer");
		return;
	}
	if (link->bounded && !read_bounded(link)) {
		link_close(link, "closed by the peer");
		return;
	}
	ctr_add(received_ctr(), sock->bytes_read);
	sock->bytes_read = 0;
	used = handle_input(link, sock->input->bytes, sock->input->size);
	if (link->state != LINK_CLOSED)
		h2o_buffer_consume(&sock->input, used);
}

static struct link *link_new(struct link_env *env, bool dialled)
{
	struct link *link = xcalloc(1, sizeof(*link));

	link->env = env;
	link->dialled = dialled;
	link->opened_ms = loop_now_ms();
	link->last_frame_ms = link->opened_ms;
	link->in.max = HANDSHAKE_FRAME_MAX;
	link->out.max = FRAME_MAX;
	frame_derive(link->in.key, env->secret, env->secret_len, "hello", NULL,
		     NULL);
	memcpy(link->out.key, link->in.key, sizeof(link->out.key));
	if (RAND_bytes(link->nonce, sizeof(link->nonce)) != 1)
		abort();
	return link;
}

static void link_start(struct link *link)
{
	int timeout = LINK_USER_TIMEOUT_MS;
	int one = 1;
	int fd = h2o_socket_get_fd(link->sock);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
	link->state = LINK_WAIT_HELLO;
	h2o_socket_read_start(link->sock, on_read);
}

static void on_connect(h2o_socket_t *sock, const char *error)
{
	struct link *link = sock->data;

	if (error) {
		link_close(link, "cannot connect");
		return;
	}
	link_start(link);
	send_hello(link);
}

/*
 * Connects to @addr, "address:port". Returns NULL when that fails immediately;
 * later results are reported by the callbacks. The owner enforces the timeout
 * of the handshake.
 */
struct link *link_dial(struct link_env *env, const char *addr)
{
	struct sockaddr_in sin;
	struct link *link;
	h2o_socket_t *sock;

	if (!addr_parse(addr, &sin) || !sin.sin_port)
		return NULL;
	sock = h2o_socket_connect(loop_h2o(env->loop), (struct sockaddr *)&sin,
				  sizeof(sin), on_connect);
	if (!sock)
		return NULL;
	link = link_new(env, true);
	snprintf(link->addr, sizeof(link->addr), "%s", addr);
	link->sock = sock;
	sock->data = link;
	return link;
}

/* Starts the handshake on an accepted connection. */
struct link *link_accept(struct link_env *env, h2o_socket_t *sock)
{
	struct link *link = link_new(env, false);
	struct sockaddr_storage ss = { 0 };
	const struct sockaddr_in *sin = (const struct sockaddr_in *)&ss;
	char host[INET_ADDRSTRLEN] = "";

	if (h2o_socket_getpeername(sock, (struct sockaddr *)&ss))
		inet_ntop(AF_INET, &sin->sin_addr, host, sizeof(host));
	snprintf(link->addr, sizeof(link->addr), "%s:%u", host,
		 (unsigned int)ntohs(sin->sin_port));
	link->sock = sock;
	sock->data = link;
	link->bounded = true;
	h2o_socket_dont_read(sock, 1);
	link_start(link);
	return link;
}

/*
 * Sets the earliest time of the next attempt: exponential backoff with full
 * jitter, from @base_ms up to 5 s, so that the other daemons do not all
 * reconnect to a restarted one at the same moment.
 */
void link_backoff_next(struct link_backoff *backoff, uint64_t now_ms,
		       uint32_t base_ms)
{
	uint32_t shift = backoff->attempts < 8 ? backoff->attempts : 8;
	uint64_t limit = (uint64_t)base_ms << shift;
	uint32_t random = 0;

	if (limit > BACKOFF_MAX_MS)
		limit = BACKOFF_MAX_MS;
	if (RAND_bytes((unsigned char *)&random, sizeof(random)) != 1)
		random = 0;
	backoff->attempts++;
	backoff->at_ms = now_ms + base_ms / 4 + random % (limit + 1);
}
