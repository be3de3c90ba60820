#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "caller/caller.h"
#include "catalogue/catalogue.h"
#include "ctr.h"
#include "env.h"
#include "httpd.h"
}

namespace
{

const char catalogue_text[] = R"({"revision": 7,
"owners": [{"name": "loomline"}],
"entries": [
 {"name": "proof", "owner": "loomline", "class": "interactive", "upstream": "u",
  "repeat": true, "timeout_ms": 3000, "max_queued": 2},
 {"name": "stock", "owner": "loomline", "class": "interactive", "upstream": "u",
  "repeat": false, "timeout_ms": 3000, "max_queued": 2},
 {"name": "run", "owner": "loomline", "class": "batch", "cpus": 1}],
"stops": [{"instance": "m3", "at": 1000}]})";

// A task that records its messages and may reply to them with on_msg.
struct RecordingTask {
	struct task task;
	std::vector<struct msg *> msgs;
	std::function<void(struct msg *)> on_msg;

	static void handle(struct task *task, struct msg *msg)
	{
		RecordingTask *recorder = (RecordingTask *)task;

		recorder->msgs.push_back(msg_clone(msg));
		if (recorder->on_msg)
			recorder->on_msg(msg);
	}
	const struct msg *last(enum msg_kind kind) const
	{
		for (size_t i = msgs.size(); i-- > 0;) {
			if (msgs[i]->kind == kind)
				return msgs[i];
		}
		return nullptr;
	}
};

const struct task_ops recording_ops = { "got", RecordingTask::handle, nullptr };

// A minion that counts its requests, and may defer or fail the responses.
struct Minion {
	struct httpd *httpd;
	std::vector<uint32_t> deferred;
	int request_count = 0;
	int status = 200;
	bool defer_replies = false;

	static void handle(void *ctx, const struct httpd_request *request)
	{
		Minion *m = (Minion *)ctx;

		m->request_count++;
		if (m->defer_replies)
			m->deferred.push_back(request->handle);
		else
			m->reply(request->handle);
	}
	void reply(uint32_t handle)
	{
		httpd_reply(httpd, handle, status, "text/plain", NULL, "body",
			    4);
	}
	void release()
	{
		defer_replies = false;
		for (uint32_t handle : deferred)
			reply(handle);
		deferred.clear();
	}
};

// The caller and minion tasks of daemon d1 on one loop, with fakes of the other
// tasks.
struct Daemon {
	struct loop *loop = loop_new();
	struct bus *bus = bus_new(loop);
	struct conf conf = {};
	struct env env = {};
	struct task *caller, *minion;
	RecordingTask peer, sched, cat;
	Minion minions[3];
	int callers_port, operators_port;
	struct timer poll = {};
	std::function<bool()> condition_met;
	uint64_t deadline_ms = 0;

	Daemon()
	{
		static const char *const zones[][2] = { { "a-1", "r1" },
							{ "a-2", "r1" },
							{ "b-1", "r2" } };
		struct err err = {};

		strcpy(conf.id, "d1");
		strcpy(conf.az, "a-1");
		strcpy(conf.region, "r1");
		for (auto &z : zones) {
			strcpy(conf.zones[conf.zone_count].az, z[0]);
			strcpy(conf.zones[conf.zone_count++].region, z[1]);
		}
		memcpy(conf.key, "secret", 6);
		conf.key_len = 6;
		conf.drain_lag_ms = 50;
		conf.grant_term_ms = 100;
		env = { loop, bus, httpc_new(loop), &conf };
		for (auto &m : minions)
			m.httpd = listen(Minion::handle, &m);
		strcpy(conf.listen_callers, "127.0.0.1:0");
		strcpy(conf.listen_operators, "127.0.0.1:0");
		minion = minion_new(&env, &err);
		caller = caller_new(&env, &err);
		EXPECT_NE(nullptr, caller) << err.text;
		callers_port =
			httpd_port(((struct caller_task *)caller)->callers);
		operators_port =
			httpd_port(((struct caller_task *)caller)->operators);
		peer.task.ops = sched.task.ops = cat.task.ops = &recording_ops;
		bus_register(bus, TASK_PEER, &peer.task);
		bus_register(bus, TASK_SCHED, &sched.task);
		bus_register(bus, TASK_CATALOGUE, &cat.task);
	}

	struct httpd *listen(httpd_handler handler, void *ctx)
	{
		struct httpd_settings s = {};
		struct err err = {};

		s.addr = "127.0.0.1:0";
		s.max_body = 1 << 20;
		s.handler = handler;
		s.ctx = ctx;
		return httpd_new(loop, &s, &err);
	}

	static void on_poll(struct timer *t)
	{
		Daemon *d = (Daemon *)t->ctx;

		if (d->condition_met() || loop_now_ms() > d->deadline_ms)
			loop_stop(d->loop);
		else
			timer_start(d->loop, t, 2);
	}

	// Runs the loop until @condition holds; only a failing test reaches the
	// limit.
	bool run_until(std::function<bool()> condition,
		       uint64_t limit_ms = 20000)
	{
		condition_met = condition;
		deadline_ms = loop_now_ms() + limit_ms;
		poll.fn = on_poll;
		poll.ctx = this;
		timer_start(loop, &poll, 0);
		loop_run(loop);
		return condition();
	}

	void send(enum msg_kind kind, std::function<void(struct msg *)> fill)
	{
		struct msg *msg = msg_new(kind, TASK_MAIN, 0);

		fill(msg);
		bus_broadcast(bus, TASK_MAIN, msg);
	}

	void send_catalogue()
	{
		struct err err = {};
		struct cat *c =
			cat_parse(catalogue_text, strlen(catalogue_text), &err);

		ASSERT_NE(nullptr, c) << err.text;
		send(MSG_CAT_CHANGED, [&](struct msg *m) {
			m->obj = &catalogue_obj(c)->shared;
		});
		cat_free(c);
	}

	uint64_t epoch = 1;

	void send_claim(bool held, bool next = false)
	{
		epoch += next;
		send(MSG_CLAIM, [&](struct msg *m) {
			strcpy(m->claim.holder, held ? "d1" : "d2");
			m->claim.epoch = epoch;
			m->claim.held = held;
			m->claim.window = 5;
			m->claim.valid_until_ms = loop_now_ms() + 1000000;
			m->claim.member_count = 1;
			m->claim.members_version = 1;
			strcpy(m->claim.members[0], "d1");
		});
	}

	void send_instances(std::vector<int> live, int leaving = -1)
	{
		size_t n = live.size();
		struct inst_list *list = (struct inst_list *)xcalloc(
			1, sizeof(*list) + n * sizeof(struct instance));

		list->shared.refs = 1;
		list->count = (uint32_t)n;
		for (size_t i = 0; i < n; i++) {
			struct instance *inst = &list->items[i];

			snprintf(inst->id, MSG_NAME_MAX, "m%d", live[i] + 1);
			inst->kind = INST_MINION;
			inst->leaving = live[i] == leaving;
			strcpy(inst->upstream, "u");
			inst->slots = 1;
			inst->connections = 8;
			snprintf(inst->addr, MSG_ADDR_MAX, "127.0.0.1:%d",
				 httpd_port(minions[live[i]].httpd));
		}
		send(MSG_INSTANCES,
		     [&](struct msg *m) { m->obj = &list->shared; });
	}

	// Sends a peer table with a live claim holder in each of @zones.
	void send_peers(std::vector<const char *> zones)
	{
		size_t n = zones.size();
		struct peer_table *t = (struct peer_table *)xcalloc(
			1, sizeof(*t) + n * sizeof(struct peer_info));

		t->shared.refs = 1;
		t->count = (uint32_t)n;
		for (size_t i = 0; i < n; i++) {
			snprintf(t->peers[i].id, MSG_NAME_MAX, "p%zu", i);
			strcpy(t->peers[i].az, zones[i]);
			t->peers[i].alive = true;
			t->peers[i].holder = true;
			t->peers[i].epoch = 9;
			t->peers[i].free_milli = 500;
		}
		send(MSG_PEERS, [&](struct msg *m) { m->obj = &t->shared; });
	}

	uint32_t open_requests() const
	{
		return ((struct caller_task *)caller)->open;
	}

	static uint64_t disconnects()
	{
		return ctr_value(
			ctr_counter("jayspoke_requests_gone_total", ""));
	}

	void reply_to_calls(RecordingTask &task, enum err_kind kind,
			    enum outcome outcome)
	{
		task.on_msg = [this, kind, outcome](struct msg *m) {
			struct msg *r;

			if (m->kind != MSG_CALL)
				return;
			r = msg_new(MSG_CALL_REPLY, TASK_PEER, m->ref);
			r->call_reply.err.kind = kind;
			r->call_reply.outcome = outcome;
			r->call_reply.http_status = kind ? 0 : 200;
			r->body = buf_str("far");
			bus_reply(bus, m, r);
		};
	}
};

struct Client {
	int fd = -1;
	std::string received;

	void start(int port, const std::string &text)
	{
		struct sockaddr_in sin = {};

		fd = socket(AF_INET, SOCK_STREAM, 0);
		sin.sin_family = AF_INET;
		sin.sin_port = htons((uint16_t)port);
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		ASSERT_EQ(0, connect(fd, (struct sockaddr *)&sin, sizeof(sin)));
		ASSERT_EQ((ssize_t)text.size(),
			  ::send(fd, text.data(), text.size(), 0));
	}
	// Reads available data; returns true once the server has closed.
	bool poll_closed()
	{
		char data[4096];
		ssize_t n;

		while ((n = recv(fd, data, sizeof(data), MSG_DONTWAIT)) > 0)
			received.append(data, (size_t)n);
		return n == 0;
	}
	int status() const
	{
		return received.size() > 12 ? atoi(received.c_str() + 9) : 0;
	}
	bool has(const std::string &text) const
	{
		return received.find(text) != std::string::npos;
	}
	std::string header(const std::string &name) const
	{
		size_t at = received.find("\r\n" + name + ": ");
		size_t from = at + name.size() + 4;

		return at == std::string::npos
			       ? ""
			       : received.substr(from,
						 received.find("\r\n", from) -
							 from);
	}
	~Client()
	{
		if (fd >= 0)
			close(fd);
	}
};

class Entry : public ::testing::Test
{
      protected:
	// Shared by all tests and never freed, as tasks cannot be destroyed.
	static Daemon *d;

	void SetUp() override
	{
		if (!d)
			d = new Daemon;
		for (auto &m : d->minions) {
			m.request_count = 0;
			m.status = 200;
			m.defer_replies = false;
		}
		d->peer.on_msg = d->sched.on_msg = d->cat.on_msg = nullptr;
		d->send_claim(true);
		d->send_catalogue();
		d->send_instances({ 0 });
		d->send_peers({});
	}
	std::string text(const std::string &line, const std::string &headers,
			 const std::string &body)
	{
		return line + " HTTP/1.1\r\nHost: t\r\nConnection: close\r\n" +
		       headers +
		       "Content-Length: " + std::to_string(body.size()) +
		       "\r\n\r\n" + body;
	}
	Client request(const std::string &line, const std::string &headers = "",
		       const std::string &body = "{}", bool operators = false)
	{
		Client c;

		c.start(operators ? d->operators_port : d->callers_port,
			text(line, headers, body));
		EXPECT_TRUE(d->run_until([&] { return c.poll_closed(); }))
			<< line;
		return c;
	}
	Client operator_request(const std::string &line,
				const std::string &body = "")
	{
		return request(line, "Authorization: Bearer secret\r\n", body,
			       true);
	}
	// Waits until slots are granted after a takeover.
	void wait_for_slots()
	{
		for (int i = 0; i < 20; i++) {
			if (request("POST /v1/call/proof").status() == 200)
				break;
		}
		for (auto &m : d->minions)
			m.request_count = 0;
	}
};

Daemon *Entry::d;

} // namespace

// Guards against a response that lacks the body, outcome or content type.
TEST_F(Entry, CallReturnsMinionResponse)
{
	wait_for_slots();
	Client c = request("POST /v1/call/proof");

	EXPECT_EQ(200, c.status());
	EXPECT_EQ("done", c.header("x-outcome") + c.header("X-Outcome"));
	EXPECT_TRUE(c.has("\r\n\r\nbody")) << c.received;
	EXPECT_TRUE(c.has("text/plain"));
	EXPECT_EQ(1, d->minions[0].request_count);
}

// Guards against error responses without an outcome or with a wrong status.
TEST_F(Entry, RejectionsHaveOutcomeNotRun)
{
	struct {
		const char *line;
		std::string headers;
		std::string body;
		int status;
	} cases[] = {
		{ "POST /v1/call/none", "", "", 404 },
		{ "POST /v1/call/run", "", "", 400 },
		{ "POST /v1/call/proof", "X-Deadline-Ms: x\r\n", "", 400 },
		{ "POST /v1/call/proof", "Idempotency-Key: a b\r\n", "", 400 },
		{ "POST /v1/call/stock", "Idempotency-Key: mine\r\n", "", 400 },
		{ "POST /v1/call/proof", "", std::string(1100000, 'x'), 413 },
		{ "GET /v1/call/proof", "", "", 405 },
		{ "GET /nothing", "", "", 404 },
		{ "POST /v1/jobs", "", "[]", 400 },
		{ "POST /v1/jobs", "", "{\"input\":1}", 400 },
		{ "POST /v1/jobs", "", std::string(100, '['), 413 },
		{ "GET /v1/jobs/c-9-1-2", "", "", 404 },
		{ "GET /v1/jobs/a-1-zz-2", "", "", 404 },
		{ "GET /v1/jobs/1-2", "", "", 404 },
	};

	for (auto &t : cases) {
		Client c = request(t.line, t.headers, t.body);

		EXPECT_EQ(t.status, c.status()) << t.line << c.received;
		EXPECT_TRUE(c.has("x-outcome: not-run") ||
			    c.has("X-Outcome: not-run"))
			<< t.line;
		EXPECT_TRUE(c.has("\"outcome\":\"not-run\"")) << t.line;
	}
	EXPECT_EQ(0, d->minions[0].request_count);
}

// Guards against a second run under one key, also after the claim has moved to
// another daemon.
TEST_F(Entry, KeyRunsAtMostOnce)
{
	wait_for_slots();
	Client first = request("POST /v1/call/stock");
	std::string key = first.header("Idempotency-Key");
	std::string header = "Idempotency-Key: " + key + "\r\n";

	EXPECT_EQ(200, first.status());
	EXPECT_EQ(0u, key.find("a-1." + std::to_string(d->epoch) + "."));
	EXPECT_TRUE(request("POST /v1/call/stock", header).has("\r\n\r\nbody"));
	EXPECT_EQ(409,
		  request("POST /v1/call/stock", header, "other").status());
	EXPECT_EQ(1, d->minions[0].request_count);
	// Another daemon holds the claim: the request is forwarded.
	d->send_claim(false, true);
	d->reply_to_calls(d->peer, ERR_LOST, OUTCOME_UNKNOWN);
	EXPECT_TRUE(request("POST /v1/call/stock", header).has("unknown"));
	EXPECT_TRUE(d->peer.last(MSG_CALL)->call.to_holder);
	EXPECT_STREQ("a-1", d->peer.last(MSG_CALL)->call.az);
	// This daemon holds the claim again, with a later epoch.
	d->send_claim(true, true);
	EXPECT_TRUE(request("POST /v1/call/stock", header).has("unknown"));
	EXPECT_EQ(1, d->minions[0].request_count);
}

// Guards against the outcome "not run", or a second run, after a response was
// lost.
TEST_F(Entry, LostResponseHasOutcomeUnknown)
{
	wait_for_slots();
	d->minions[0].defer_replies = true;
	Client c = request("POST /v1/call/stock", "X-Deadline-Ms: 800\r\n");
	std::string header =
		"Idempotency-Key: " + c.header("Idempotency-Key") + "\r\n";

	EXPECT_EQ(504, c.status());
	EXPECT_TRUE(c.has("unknown"));
	d->minions[0].release();
	EXPECT_TRUE(request("POST /v1/call/stock", header).has("unknown"));
	EXPECT_EQ(1, d->minions[0].request_count);
}

// Guards against a failure that is not retried on another minion, and against a
// retry of an at-most-once request.
TEST_F(Entry, RetriesOnlyRepeatableRequests)
{
	d->send_instances({ 0, 1 });
	wait_for_slots();
	d->minions[0].status = 500;
	// Too few failures to eject the minion, which the next test needs.
	for (int i = 0; i < 20 && d->minions[0].request_count < 2; i++)
		EXPECT_EQ(200, request("POST /v1/call/proof").status());
	EXPECT_EQ(2, d->minions[0].request_count);
	d->minions[0].request_count = d->minions[1].request_count = 0;
	d->minions[1].status = 500;
	Client c = request("POST /v1/call/stock");

	EXPECT_EQ(500, c.status());
	EXPECT_TRUE(c.has("failed"));
	EXPECT_EQ(1, d->minions[0].request_count + d->minions[1].request_count);
}

// Guards against new requests to a minion that is leaving or past its planned
// stop.
TEST_F(Entry, LeavingMinionsGetNoRequests)
{
	d->send_instances({ 0, 1, 2 }, 1); // m3 has a planned stop in the past
	wait_for_slots();
	for (int i = 0; i < 12; i++)
		EXPECT_EQ(200, request("POST /v1/call/proof").status());
	EXPECT_EQ(12, d->minions[0].request_count);
	EXPECT_EQ(0, d->minions[1].request_count + d->minions[2].request_count);
}

// Guards against a zone without minions that does not forward to other zones,
// own region first, and against two attempts in one zone.
TEST_F(Entry, CallsAreRetriedInOtherZones)
{
	d->send_instances({});
	d->send_peers({ "b-1", "a-2" });
	d->reply_to_calls(d->peer, ERR_NONE, OUTCOME_DONE);
	EXPECT_TRUE(request("POST /v1/call/proof").has("\r\n\r\nfar"));
	EXPECT_STREQ("a-2", d->peer.last(MSG_CALL)->call.az);
	EXPECT_FALSE(d->peer.last(MSG_CALL)->call.to_holder);
	// Rejected by the local holder, so it may run elsewhere under a new
	// key.
	Client c = request("POST /v1/call/stock");

	EXPECT_EQ(200, c.status());
	EXPECT_EQ(0u, c.header("Idempotency-Key").find("a-2.9."));
	EXPECT_TRUE(d->peer.last(MSG_CALL)->call.to_holder);
	size_t before = d->peer.msgs.size();
	d->reply_to_calls(d->peer, ERR_OVERLOADED, OUTCOME_NOT_RUN);
	c = request("POST /v1/call/proof");
	EXPECT_EQ(503, c.status());
	EXPECT_EQ("1", c.header("Retry-After"));
	EXPECT_EQ(before + 2, d->peer.msgs.size());
	// A key of the caller binds the call to its zone.
	before = d->peer.msgs.size();
	c = request("POST /v1/call/stock",
		    "Idempotency-Key: b-1.9.0.0123456789abcdef\r\n");
	EXPECT_EQ(503, c.status());
	EXPECT_EQ(before + 1, d->peer.msgs.size());
	EXPECT_STREQ("b-1", d->peer.last(MSG_CALL)->call.az);
}

// Guards against an unbounded queue, and against a queued request that runs
// after its caller has disconnected.
TEST_F(Entry, QueueIsBoundedAndDropsDisconnectedCallers)
{
	Client running, disconnected, queued;

	wait_for_slots();
	uint64_t before = d->disconnects();
	d->minions[0].defer_replies = true;
	running.start(d->callers_port, text("POST /v1/call/proof", "", "1"));
	ASSERT_TRUE(
		d->run_until([&] { return d->minions[0].request_count == 1; }));
	disconnected.start(d->callers_port,
			   text("POST /v1/call/proof", "", "2"));
	ASSERT_TRUE(d->run_until([&] { return d->open_requests() == 2; }));
	queued.start(d->callers_port, text("POST /v1/call/proof", "", "3"));
	ASSERT_TRUE(d->run_until([&] { return d->open_requests() == 3; }));
	EXPECT_EQ(503, request("POST /v1/call/proof").status());
	close(disconnected.fd);
	disconnected.fd = -1;
	EXPECT_TRUE(d->run_until([&] { return d->disconnects() > before; }));
	d->minions[0].release();
	EXPECT_TRUE(d->run_until(
		[&] { return running.poll_closed() && queued.poll_closed(); }));
	EXPECT_EQ(200, running.status());
	EXPECT_EQ(200, queued.status());
	EXPECT_EQ(2, d->minions[0].request_count);
}

// Guards against jobs sent to a daemon other than the holder of their home
// zone.
TEST_F(Entry, JobsAreRoutedToHomeZone)
{
	auto accept_job = [](struct msg *m) {
		struct msg *r = msg_new(MSG_JOB_REPLY, TASK_SCHED, m->ref);

		if (m->kind != MSG_JOB) {
			msg_free(r);
			return;
		}
		r->job_reply.outcome = OUTCOME_ACCEPTED;
		r->body = buf_str("{\"id\":\"x\"}");
		bus_reply(d->bus, m, r);
	};
	const char job[] = "{\"entry\":\"run\"}";

	d->sched.on_msg = d->peer.on_msg = accept_job;
	EXPECT_EQ(202, request("POST /v1/jobs", "", job).status());
	EXPECT_STREQ("a-1", d->sched.last(MSG_JOB)->job.az);
	EXPECT_EQ(200, request("GET /v1/jobs/a-2-1f-2").status());
	EXPECT_STREQ("a-2", d->peer.last(MSG_JOB)->job.az);
	EXPECT_EQ(JOB_STATUS, d->peer.last(MSG_JOB)->job.op);
	EXPECT_EQ(202, request("DELETE /v1/jobs/a-1-1f-2").status());
	EXPECT_EQ(JOB_CANCEL, d->sched.last(MSG_JOB)->job.op);
	request("POST /v1/jobs",
		"Idempotency-Key: b-1.9.0.0123456789abcdef\r\n", job);
	EXPECT_STREQ("b-1", d->peer.last(MSG_JOB)->job.az);
	// A key chosen by the caller has the same home zone on every daemon.
	std::string homes;
	for (int i = 0; i < 2; i++) {
		size_t peers = d->peer.msgs.size();

		request("POST /v1/jobs", "Idempotency-Key: invoice-1\r\n", job);
		homes += d->peer.msgs.size() > peers
				 ? d->peer.last(MSG_JOB)->job.az
				 : d->sched.last(MSG_JOB)->job.az;
		d->send_claim(false);
	}
	EXPECT_EQ(homes.substr(0, 3), homes.substr(3));
}

// Guards against operator access without the key, and against a timeline that
// hides which daemons did not reply.
TEST_F(Entry, OperatorKeyAndMissingTimelines)
{
	EXPECT_EQ(401, request("GET /v1/catalogue", "", "", true).status());
	EXPECT_EQ(401, request("GET /metrics",
			       "Authorization: Bearer secre\r\n", "", true)
			       .status());
	EXPECT_TRUE(
		operator_request("GET /v1/catalogue").has("\"revision\":7"));
	d->cat.on_msg = [](struct msg *m) {
		struct msg *r = msg_new(MSG_CAT_EDIT_REPLY, TASK_CATALOGUE, 0);

		r->cat_edit_reply.revision = m->cat_edit.revision + 1;
		if (m->kind == MSG_CAT_EDIT)
			bus_reply(d->bus, m, r);
		else
			msg_free(r);
	};
	EXPECT_TRUE(operator_request("PUT /v1/catalogue",
				     "{\"revision\":7,\"changes\":[]}")
			    .has("{\"revision\":8}"));
	EXPECT_EQ(400, operator_request("PUT /v1/catalogue", "{}").status());
	d->send_peers({ "a-2", "b-1" });
	d->peer.on_msg = [](struct msg *m) {
		struct msg *r = msg_new(MSG_TIMELINE_REPLY, TASK_PEER, 0);

		r->peer = m->peer;
		r->peer.answered = !strcmp(m->peer.peer, "p0");
		r->body = buf_str("{\"daemon\":\"p0\"}");
		bus_reply(d->bus, m, r);
	};
	Client all = operator_request("GET /v1/timeline?since=0&all=1");

	EXPECT_TRUE(all.has("\"missing\":[\"p1\"]")) << all.received;
	EXPECT_TRUE(all.has("{\"daemon\":\"p0\"}"));
	EXPECT_TRUE(operator_request("GET /v1/peers").has("\"az\":\"b-1\""));
	EXPECT_TRUE(
		operator_request("GET /metrics").has("jayspoke_calls_total"));
	EXPECT_TRUE(operator_request("GET /v1/stats").has("\"ready\":true"));
}

// Guards against a shutdown that aborts a request, or that closes the listener
// before the load balancer has noticed. Must run last: it stops the shared
// tasks.
TEST_F(Entry, DrainCompletesOpenRequests)
{
	Client running;

	wait_for_slots();
	EXPECT_EQ(200, request("GET /readyz").status());
	d->minions[0].defer_replies = true;
	running.start(d->callers_port, text("POST /v1/call/proof", "", "1"));
	ASSERT_TRUE(
		d->run_until([&] { return d->minions[0].request_count == 1; }));
	d->conf.drain_lag_ms = 2000;
	d->send(MSG_DRAIN, [](struct msg *) {});
	EXPECT_EQ(503, request("GET /readyz").status());
	EXPECT_EQ(200, request("GET /healthz").status());
	EXPECT_TRUE(d->run_until(
		[&] { return ((struct caller_task *)d->caller)->closed; }));
	EXPECT_TRUE(d->caller->ops->busy(d->caller));
	d->minions[0].release();
	EXPECT_TRUE(d->run_until([&] { return running.poll_closed(); }));
	EXPECT_EQ(200, running.status());
	EXPECT_TRUE(d->run_until([&] {
		return !d->caller->ops->busy(d->caller) &&
		       !d->minion->ops->busy(d->minion);
	}));
}
