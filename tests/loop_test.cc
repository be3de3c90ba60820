#include <gtest/gtest.h>

#include <malloc.h>
#include <sys/socket.h>

#include <cstdlib>
#include <vector>

extern "C" {
#include "loop.h"
}

namespace
{

/* Size of a socket of h2o, whose type is not public. */
const size_t SOCKET_BYTES = 208;

struct Closer {
	struct timer timer = {}; /* first member */
	struct timer stop = {};
	struct loop *loop = nullptr;
	int written = 0;
};

Closer *closer;

/* The loops of h2o, which exist until the process exits. */
h2o_loop_t *loops[8];
size_t loop_count;

void on_written(h2o_socket_t *sock, const char *error)
{
	(void)error;
	closer->written++;
	h2o_socket_close(sock);
}

/*
 * Fills the list of freed blocks of that size, in which malloc() keeps them as
 * they are: blocks that are freed later change.
 */
void fill_cache(size_t size)
{
	std::vector<void *> blocks(64);

	for (void *&block : blocks)
		block = malloc(size);
	for (void *block : blocks)
		free(block);
}

/* Writes to a new socket, which completes at once. */
h2o_socket_t *write_some(struct loop *loop)
{
	h2o_iovec_t data = h2o_iovec_init("data", 4);
	h2o_socket_t *sock;
	int fds[2];

	if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds))
		abort();
	sock = h2o_evloop_socket_create(loop_h2o(loop), fds[0], 0);
	h2o_socket_write(sock, &data, 1, on_written);
	return sock;
}

void write_and_close(struct loop *loop)
{
	h2o_socket_t *sock = write_some(loop);

	fill_cache(SOCKET_BYTES);
	h2o_socket_close(sock);
}

void on_write_and_close(struct timer *timer)
{
	write_and_close(reinterpret_cast<Closer *>(timer)->loop);
}

void on_write(struct timer *timer)
{
	write_some(reinterpret_cast<Closer *>(timer)->loop);
}

void on_stop(struct timer *timer)
{
	loop_stop(static_cast<struct loop *>(timer->ctx));
}

/* Stops the loop once the callback of the write was called. */
bool stop_when_written(void *ctx)
{
	Closer *c = static_cast<Closer *>(ctx);

	if (c->written)
		loop_stop(c->loop);
	return false;
}

class Loop : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		/* Memory that is freed changes, so that its use is seen. */
		mallopt(M_PERTURB, 0x5a);
		closer = &c;
		c.loop = loop_new();
		ASSERT_LT(loop_count, sizeof(loops) / sizeof(loops[0]));
		loops[loop_count++] = loop_h2o(c.loop);
		c.stop.ctx = c.loop;
		c.stop.fn = on_stop;
	}
	void TearDown() override
	{
		loop_free(c.loop);
	}
	Closer c;
};

} // namespace

/*
 * Guards against a daemon that ends with a segmentation fault, as a timer wrote
 * to a connection and another one closed it in the same iteration.
 */
TEST_F(Loop, SocketClosedByATimerAfterAWriteIsNotUsed)
{
	c.timer.fn = on_write_and_close;
	timer_start(c.loop, &c.timer, 0);
	timer_start(c.loop, &c.stop, 20);
	loop_run(c.loop);
	EXPECT_EQ(c.written, 0);
}

/*
 * Guards against a daemon that ends with a segmentation fault, as a connection
 * was written to and closed before the loop ran.
 */
TEST_F(Loop, SocketClosedBeforeTheLoopRunsIsNotUsed)
{
	write_and_close(c.loop);
	timer_start(c.loop, &c.stop, 20);
	loop_run(c.loop);
	EXPECT_EQ(c.written, 0);
}

/*
 * Guards against deferred work that waits for the next timer, as a callback
 * that a timer made pending left it. A process that is paused may miss a try.
 */
TEST_F(Loop, DeferredWorkOfAPendingCallbackDoesNotWait)
{
	int early = 0;

	c.timer.fn = on_write;
	loop_set_idle(c.loop, stop_when_written, &c);
	for (int i = 0; i < 20; i++) {
		bool late = false;
		struct timer other = {};

		other.ctx = &late;
		other.fn = [](struct timer *t) {
			*static_cast<bool *>(t->ctx) = true;
		};
		c.written = 0;
		timer_start(c.loop, &c.timer, 0);
		timer_start(c.loop, &other, 100);
		loop_run(c.loop);
		timer_stop(c.loop, &other);
		early += !late;
	}
	EXPECT_GT(early, 0);
}
