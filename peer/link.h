/* Mutually authenticated connections to other daemons. */
#ifndef JAYSPOKE_LINK_H
#define JAYSPOKE_LINK_H

#include "codec.h"
#include "conf.h"
#include "loop.h"

#ifdef __cplusplus
extern "C" {
#endif

#define LINK_QUEUE_MAX (4U << 20) /* unsent bytes of a connection */

struct link;

struct link_ops {
	/* The handshake has succeeded. */
	void (*up)(struct link *link);
	/* A frame was received after the handshake. */
	void (*frame)(struct link *link, const struct frame *frame);
	/* The link is being closed; it is freed in a later loop iteration. */
	void (*down)(struct link *link, const char *reason);
};

/* State shared by the links of a daemon. */
struct link_env {
	struct loop *loop;
	const struct link_ops *ops;
	void *ctx;
	const unsigned char *secret;
	size_t secret_len;
	struct codec_hello self; /* without nonce: each link has its own */
	struct link *closed;	 /* freed by the timer */
	struct timer release;
};

enum link_state {
	LINK_CONNECTING,
	LINK_WAIT_HELLO,
	LINK_WAIT_AUTH,
	LINK_UP,
	LINK_CLOSED
};

struct link {
	struct link_env *env;
	uint32_t handle; /* assigned by the owner */
	uint32_t member; /* handle in the owner's table, 0 if none */
	enum link_state state;
	bool dialled;	  /* this end initiated the connection */
	bool in_callback; /* unused */
	bool bounded;	  /* input is read in small parts */
	uint64_t opened_ms;
	uint64_t last_frame_ms;	 /* time of the last valid frame */
	char addr[MSG_ADDR_MAX]; /* dialled address, or remote address */
	struct codec_hello peer; /* valid from LINK_WAIT_AUTH on */
	unsigned char nonce[FRAME_NONCE_LEN];
	struct frame_channel in;
	struct frame_channel out;
	h2o_socket_t *sock;
	struct buf queue;   /* frames not yet passed to the socket */
	struct buf writing; /* owned by the socket until written */
	struct link *next_closed;
};

/* Exponential backoff of connection attempts. */
struct link_backoff {
	uint32_t attempts;
	uint64_t at_ms; /* earliest time of the next attempt */
};

void link_env_open(struct link_env *env);
void link_env_close(struct link_env *env);
struct link *link_dial(struct link_env *env, const char *addr);
struct link *link_accept(struct link_env *env, h2o_socket_t *sock);
bool link_send(struct link *link, uint32_t type, const struct buf *body);
void link_discard(struct link *link);
void link_close(struct link *link, const char *reason);
void link_reject(struct link *link, enum frame_status status,
		 const char *reason);
size_t link_unsent(const struct link *link);
void link_backoff_next(struct link_backoff *backoff, uint64_t now_ms,
		       uint32_t base_ms);

#ifdef __cplusplus
}
#endif

#endif
