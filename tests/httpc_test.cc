#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <unistd.h>

#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "httpc.h"
#include "httpd.h"
}

namespace
{

struct Fixture {
	struct loop *loop = loop_new();
	struct httpc *client = httpc_new(loop);
	struct httpd *server = nullptr;
	struct timer timer = {};
	uint32_t open_handle = 0;
	std::vector<std::string> responses;
	std::vector<enum httpc_state> states;
	std::string addr;

	static void on_request(void *ctx, const struct httpd_request *request)
	{
		auto *f = static_cast<Fixture *>(ctx);

		if (std::string(request->path) != "/later")
			return;
		f->open_handle = request->handle;
		timer_start(f->loop, &f->timer, 150);
	}

	static void on_timer(struct timer *timer)
	{
		auto *f = static_cast<Fixture *>(timer->ctx);

		httpd_reply(f->server, f->open_handle, 200, "text/plain",
			    nullptr, "x", 1);
	}

	static void on_done(void *ctx, uint32_t ref, struct httpc_response *r)
	{
		auto *f = static_cast<Fixture *>(ctx);

		f->states.push_back(r->state);
		f->responses.push_back(std::to_string(ref) + ":" +
				       std::to_string(r->status));
	}

	static void on_stop(struct timer *timer)
	{
		loop_stop(static_cast<struct loop *>(timer->ctx));
	}

	void send(uint32_t ref, const char *path, uint32_t timeout_ms,
		  uint32_t part_timeout_ms = 0)
	{
		struct httpc_request request = {};

		request.addr = addr.c_str();
		request.method = "GET";
		request.path = path;
		request.timeout_ms = timeout_ms;
		request.part_timeout_ms = part_timeout_ms;
		request.done = on_done;
		request.ctx = this;
		request.ref = ref;
		httpc_send(client, &request);
	}

	void run(uint32_t ms)
	{
		struct timer stop = {};

		stop.fn = on_stop;
		stop.ctx = loop;
		timer_start(loop, &stop, ms);
		loop_run(loop);
	}
};

/*
 * Answers one request with a body of @parts bytes, one each 100 ms, of
 * @announced bytes by its header. Closes the connection 500 ms later.
 */
struct SlowServer {
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	std::string addr;
	std::thread thread;

	SlowServer(int parts, int announced)
	{
		struct sockaddr_in sin = {};
		socklen_t len = sizeof(sin);

		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) ||
		    listen(fd, 1) ||
		    getsockname(fd, (struct sockaddr *)&sin, &len))
			abort();
		addr = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
		thread = std::thread([this, parts, announced] {
			std::string head =
				"HTTP/1.1 200 OK\r\nContent-Length: " +
				std::to_string(announced) + "\r\n\r\n";
			int peer = accept(fd, nullptr, nullptr);

			send(peer, head.data(), head.size(), MSG_NOSIGNAL);
			for (int i = 0; i < parts; i++) {
				usleep(100000);
				send(peer, "x", 1, MSG_NOSIGNAL);
			}
			usleep(500000);
			close(peer);
		});
	}

	~SlowServer()
	{
		thread.join();
		close(fd);
	}
};

/* Keeps objects that are never freed reachable, for the leak checker. */
std::vector<Fixture *> &kept = *new std::vector<Fixture *>;

} // namespace

/*
 * Guards against freeing a connection pool before h2o has returned the
 * connection of its last exchange to it: daemons crashed when one request to an
 * address timed out and another one was answered after that.
 */
TEST(Httpc, ResponseAfterTimeoutOfAnotherRequest)
{
	Fixture &f = *new Fixture;
	struct httpd_settings settings = {};
	struct err err = {};

	kept.push_back(&f);
	settings.addr = "127.0.0.1:0";
	settings.max_body = 1000;
	settings.handler = Fixture::on_request;
	settings.ctx = &f;
	f.timer.fn = Fixture::on_timer;
	f.timer.ctx = &f;
	f.server = httpd_new(f.loop, &settings, &err);
	ASSERT_NE(f.server, nullptr) << err.text;
	f.addr = "127.0.0.1:" + std::to_string(httpd_port(f.server));
	f.send(1, "/later", 5000);
	f.send(2, "/never", 50);
	f.run(400);
	ASSERT_EQ(f.responses.size(), 2U);
	EXPECT_EQ(f.responses[0], "2:0");
	EXPECT_EQ(f.responses[1], "1:200");
	f.send(3, "/later", 5000);
	f.run(400);
	EXPECT_EQ(f.responses.back(), "3:200");
}

/* Guards against asking again, over a full link, for a response under way. */
TEST(Httpc, ResponseThatArrivesInPartsIsNotTimedOut)
{
	Fixture &f = *new Fixture;
	SlowServer server(6, 6);

	kept.push_back(&f);
	f.addr = server.addr;
	f.send(1, "/", 300, 300);
	f.run(900);
	ASSERT_EQ(f.states.size(), 1U);
	EXPECT_EQ(f.states[0], HTTPC_COMPLETE);
}

TEST(Httpc, ResponseOfWhichNoFurtherPartArrivesIsTimedOut)
{
	Fixture &f = *new Fixture;
	SlowServer server(2, 6);

	kept.push_back(&f);
	f.addr = server.addr;
	f.send(1, "/", 300, 300);
	f.run(650);
	ASSERT_EQ(f.states.size(), 1U);
	EXPECT_EQ(f.states[0], HTTPC_NO_RESPONSE);
}
