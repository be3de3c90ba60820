#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <arpa/inet.h>
#include <csignal>
#include <algorithm>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include <openssl/hmac.h>

#include "peer/codec.h"
#include "ctr.h"
#include "peer/peer.h"
#include "peer/request.h"

namespace
{

struct frame_channel channel(unsigned char key)
{
	struct frame_channel c = {};

	memset(c.key, key, sizeof(c.key));
	c.max = FRAME_MAX;
	return c;
}

std::string encode(struct frame_channel &c, uint32_t type,
		   const std::string &body)
{
	struct buf in = buf_copy(body.data(), body.size());
	struct buf out = {};

	EXPECT_TRUE(frame_encode(&c, type, &in, &out));
	std::string s(out.data, out.len);
	buf_free(&in);
	buf_free(&out);
	return s;
}

enum frame_status decode(struct frame_channel &c, const std::string &s)
{
	struct frame frame;
	size_t used;
	enum frame_status status =
		frame_decode(&c, s.data(), s.size(), &used, &frame);

	if (status == FRAME_OK)
		frame_release(&frame);
	return status;
}

// Returns a frame with a valid MAC and an arbitrary payload.
std::string encode_payload(const struct frame_channel &c,
			   const std::string &payload)
{
	unsigned char mac[FRAME_KEY_LEN];
	unsigned int len = sizeof(mac);
	size_t n = payload.size() + FRAME_MAC_LEN;

	HMAC(EVP_sha256(), c.key, sizeof(c.key),
	     (const unsigned char *)payload.data(), payload.size(), mac, &len);
	return std::string({ (char)(n >> 24), (char)(n >> 16), (char)(n >> 8),
			     (char)n }) +
	       payload + std::string((char *)mac, FRAME_MAC_LEN);
}

} // namespace

// Guards against a frame that is accepted twice, or after a later frame.
TEST(Frame, ReplayAndReorderAreRejected)
{
	struct frame_channel out = channel(1);
	struct frame_channel in = channel(1);
	std::string first = encode(out, 3, "\xc2");
	std::string second = encode(out, 3, "\xc2");

	EXPECT_EQ(FRAME_OK, decode(in, second));
	EXPECT_EQ(FRAME_REPLAYED, decode(in, second));
	EXPECT_EQ(FRAME_REPLAYED, decode(in, first));
}

// Guards against accepting a frame of a daemon that has another key.
TEST(Frame, WrongKeyIsRejected)
{
	struct frame_channel out = channel(1);
	struct frame_channel in = channel(2);

	EXPECT_EQ(FRAME_FORGED, decode(in, encode(out, 3, "\xc2")));
}

// Guards against a flipped bit that is not detected, and against a truncated
// frame that is accepted as complete.
RC_GTEST_PROP(Frame, DamageIsDetected, (const std::vector<char> &data))
{
	struct frame_channel out = channel(1);
	struct frame_channel in = channel(1);
	std::string body = "\xc6" + std::string(2, '\0');

	body += (char)(data.size() >> 8);
	body += (char)data.size();
	body.append(data.begin(), data.end());
	std::string s = encode(out, 3, body);
	size_t at = *rc::gen::inRange<size_t>(4, s.size());
	std::string damaged = s;

	damaged[at] ^= (char)(1 << *rc::gen::inRange(0, 8));
	RC_ASSERT(decode(in, damaged) == FRAME_FORGED);
	RC_ASSERT(decode(in, s.substr(0, at)) == FRAME_PARTIAL);
	RC_ASSERT(decode(in, s) == FRAME_OK);
}

// Guards against a short header that makes the receiver allocate much memory,
// and against unbounded recursion.
TEST(Frame, SizeDepthAndItemsAreBounded)
{
	struct frame_channel in = channel(1);
	std::string deep(FRAME_DEPTH_MAX + 2, '\x91');

	EXPECT_EQ(FRAME_OVERSIZED, decode(in, std::string("\0\x10\0\1", 4)));
	EXPECT_EQ(FRAME_MALFORMED, decode(in, std::string("\0\0\0\1", 4)));
	EXPECT_EQ(FRAME_TOO_DEEP, frame_check(deep.data(), deep.size()));
	EXPECT_EQ(FRAME_MALFORMED, frame_check("\xdd\x10\0\0\0", 5));
	EXPECT_EQ(FRAME_MALFORMED, frame_check("\xc6\x10\0\0\0", 5));
	EXPECT_EQ(FRAME_MALFORMED, frame_check("\xc2\xc2", 2));
	EXPECT_EQ(FRAME_MALFORMED, frame_check("", 0));
	EXPECT_EQ(FRAME_OK, frame_check("\x92\x01\xa1z", 4));
}

// Guards against misreading the frames of another protocol version.
TEST(Frame, OtherVersionIsRejected)
{
	struct frame_channel in = channel(1);

	EXPECT_EQ(FRAME_WRONG_VERSION,
		  decode(in, encode_payload(
				     in, std::string("\x94\x02\x03\x01\xc2"))));
	EXPECT_EQ(FRAME_OK,
		  decode(in, encode_payload(
				     in, std::string("\x94\x01\x03\x01\xc2"))));
	EXPECT_EQ(FRAME_MALFORMED,
		  decode(in,
			 encode_payload(in, std::string("\x93\x01\x03\x02"))));
}

namespace
{

std::string pack(const struct msg *msg, uint32_t *type)
{
	struct buf out = {};

	*type = codec_pack_msg(msg, &out);
	std::string s(out.data, out.len);
	buf_free(&out);
	return s;
}

struct msg *unpack(uint32_t type, const std::string &s)
{
	msgpack_unpacked u;
	struct msg *msg = nullptr;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, s.data(), s.size(), nullptr) ==
	    MSGPACK_UNPACK_SUCCESS)
		msg = codec_unpack_msg(type, &u.data);
	msgpack_unpacked_destroy(&u);
	return msg;
}

rc::Gen<std::string> text(size_t max)
{
	return rc::gen::resize(
		(int)max - 1,
		rc::gen::container<std::string>(rc::gen::inRange(' ', '~')));
}

void copy(char *dst, const std::string &s)
{
	memcpy(dst, s.c_str(), s.size() + 1);
}

} // namespace

// Guards against a field that is lost, swapped or truncated in transit.
RC_GTEST_PROP(Codec, CallAndReplyRoundTrip, ())
{
	struct msg *call =
		msg_new(MSG_CALL, TASK_CALLER, *rc::gen::arbitrary<uint32_t>());
	struct msg *reply = msg_new(MSG_CALL_REPLY, TASK_MINION, 7);
	std::string body = *text(300);
	uint32_t type;

	copy(call->call.entry, *text(MSG_NAME_MAX));
	copy(call->call.key, *text(MSG_NAME_MAX));
	copy(call->call.az, *text(MSG_NAME_MAX));
	call->call.deadline_ms = *rc::gen::arbitrary<uint32_t>();
	call->call.to_holder = *rc::gen::arbitrary<bool>();
	call->body = buf_copy(body.data(), body.size());
	struct msg *got = unpack(CODEC_CALL, pack(call, &type));
	RC_ASSERT(type == CODEC_CALL);
	RC_ASSERT(got != nullptr);
	RC_ASSERT(got->ref == call->ref);
	RC_ASSERT(!memcmp(&got->call, &call->call, sizeof(got->call)));
	RC_ASSERT(std::string(got->body.data ? got->body.data : "",
			      got->body.len) == body);
	msg_free(got);

	reply->call_reply.err.kind =
		(enum err_kind) * rc::gen::inRange(0, (int)ERR_KIND_COUNT);
	copy(reply->call_reply.err.text, *text(ERR_TEXT_MAX));
	reply->call_reply.outcome =
		(enum outcome) * rc::gen::inRange(0, (int)OUTCOME_COUNT);
	reply->call_reply.http_status = *rc::gen::inRange(0, 600);
	copy(reply->call_reply.minion, *text(MSG_NAME_MAX));
	copy(reply->call_reply.content_type, *text(MSG_NAME_MAX));
	got = unpack(CODEC_CALL_REPLY, pack(reply, &type));
	RC_ASSERT(got != nullptr);
	RC_ASSERT(!memcmp(&got->call_reply, &reply->call_reply,
			  sizeof(got->call_reply)));
	msg_free(got);
	msg_free(call);
	msg_free(reply);
}

// Guards against a message kind without a layout, or with that of another kind.
TEST(Codec, EveryForwardedKindRoundTrips)
{
	for (enum msg_kind kind :
	     { MSG_JOB, MSG_JOB_REPLY, MSG_CALL, MSG_CALL_REPLY, MSG_PROMISE,
	       MSG_PROMISE_REPLY, MSG_CAT_PULL, MSG_CAT_STATE, MSG_TIMELINE,
	       MSG_TIMELINE_REPLY, MSG_SLOT_DEMAND, MSG_SLOT_GRANT }) {
		struct msg *msg = msg_new(kind, TASK_MAIN, 99);
		uint32_t type;
		std::string s = pack(msg, &type);
		struct msg *got = unpack(type, s);

		ASSERT_NE(nullptr, got) << kind;
		EXPECT_EQ(kind, got->kind);
		EXPECT_EQ(99U, got->ref);
		msg_free(got);
		// Guards against a body with a missing or additional field.
		s[0]++;
		EXPECT_EQ(nullptr, unpack(type, s + "\xc2")) << kind;
		msg_free(msg);
	}
}

// Guards against values out of range, and against log injection by line feeds
// in texts.
TEST(Codec, InvalidValuesAreRejected)
{
	struct msg *msg = msg_new(MSG_JOB_REPLY, TASK_MAIN, 1);
	uint32_t type;

	copy(msg->job_reply.err.text, "two\nlines");
	std::string s = pack(msg, &type);
	struct msg *got = unpack(type, s);
	ASSERT_NE(nullptr, got);
	EXPECT_STREQ("two lines", got->job_reply.err.text);
	msg_free(got);
	s[s.find("two lines") + 3] = '\n';
	EXPECT_EQ(nullptr, unpack(type, s));
	msg->job_reply.outcome = OUTCOME_COUNT;
	EXPECT_EQ(nullptr, unpack(type, pack(msg, &type)));
	msg_free(msg);
}

// Guards against heartbeats above the bandwidth limit of the design: 1 KB/s for
// a daemon with 2 peers in its zone and 37 elsewhere.
TEST(Codec, HeartbeatsStayWithinBandwidthLimit)
{
	struct frame_channel out = channel(1);
	struct peer_info info = {};
	struct buf body = {};

	info.epoch = info.window = info.cat_revision = 1 << 20;
	info.free_milli = info.inflight = 1000;
	out.seq = 1 << 20;
	codec_pack(CODEC_HEARTBEAT, &info, &body);
	size_t size =
		encode(out, CODEC_HEARTBEAT, std::string(body.data, body.len))
			.size();
	buf_free(&body);
	EXPECT_LT(size * 2 + size * 37 / 4, 1000U) << size;
	RecordProperty("heartbeat_bytes", (int)size);
}

// Guards against the outcome "not run" for work whose request was sent.
TEST(Request, FailureReportsAccurateOutcome)
{
	struct msg *job = msg_new(MSG_JOB, TASK_CALLER, 5);
	struct request r = request_from_msg(job, "d2");
	struct msg *reply = request_failure(&r, ERR_LOST, "x");

	EXPECT_EQ(OUTCOME_UNKNOWN, reply->job_reply.outcome);
	EXPECT_EQ(5U, reply->ref);
	msg_free(reply);
	reply = request_failure(&r, ERR_NO_HOLDER, "x");
	EXPECT_EQ(OUTCOME_NOT_RUN, reply->job_reply.outcome);
	msg_free(reply);
	// A cancel that was not sent leaves the outcome of the job unknown.
	r.job_op = JOB_CANCEL;
	reply = request_failure(&r, ERR_NO_HOLDER, "x");
	EXPECT_EQ(OUTCOME_UNKNOWN, reply->job_reply.outcome);
	msg_free(reply);
	msg_free(job);
}

namespace
{

struct fake_task {
	struct task task;
	struct bus *bus;
	bool answer = true;
	std::vector<struct msg *> got;
};

void fake_task_handle(struct task *task, struct msg *msg)
{
	struct fake_task *p = (struct fake_task *)task;

	p->got.push_back(msg_clone(msg));
	if (msg->kind == MSG_CALL && p->answer) {
		struct msg *reply = msg_new(MSG_CALL_REPLY, TASK_MINION, 0);

		reply->body = buf_str("reply");
		reply->call_reply.http_status = 200;
		bus_reply(p->bus, msg, reply);
	} else if (msg->kind == MSG_JOB && p->answer) {
		struct msg *reply = msg_new(MSG_JOB_REPLY, TASK_SCHED, 0);

		reply->job_reply.outcome = OUTCOME_ACCEPTED;
		bus_reply(p->bus, msg, reply);
	}
}

const struct task_ops fake_task_ops = { "probe", fake_task_handle, nullptr };

struct daemon {
	struct conf conf = {};
	struct bus *bus;
	struct task *peer;
	struct fake_task fake_task;

	daemon(struct loop *loop, const char *id, const char *az,
	       const char *key, int seed_port)
	{
		struct env env = {};
		struct err err;

		strcpy(conf.id, id);
		strcpy(conf.az, az);
		strcpy(conf.region, "r");
		strcpy(conf.listen_peers, "127.0.0.1:0");
		conf.key_len = (uint32_t)strlen(key);
		memcpy(conf.key, key, conf.key_len);
		conf.heartbeat_ms = conf.far_heartbeat_ms = 100;
		if (seed_port) {
			conf.peer_count = 1;
			strcpy(conf.peers[0].id, "unknown-yet");
			snprintf(conf.peers[0].addr, MSG_ADDR_MAX,
				 "127.0.0.1:%d", seed_port);
		}
		bus = bus_new(loop);
		env.loop = loop;
		env.bus = bus;
		env.conf = &conf;
		fake_task.task.ops = &fake_task_ops;
		fake_task.bus = bus;
		for (enum task_id t : { TASK_CALLER, TASK_MINION, TASK_SCHED })
			bus_register(bus, t, &fake_task.task);
		peer = peer_new(&env, &err);
		EXPECT_NE(nullptr, peer) << err.text;
	}
	~daemon()
	{
		if (peer)
			peer_free(peer);
		for (struct msg *m : fake_task.got)
			msg_free(m);
		bus_free(bus);
	}
	struct msg *find(enum msg_kind kind)
	{
		for (struct msg *m : fake_task.got) {
			if (m->kind == kind)
				return m;
		}
		return nullptr;
	}
	const struct peer_info *latest_info(const char *id)
	{
		const struct peer_info *info = nullptr;

		for (struct msg *m : fake_task.got) {
			if (m->kind != MSG_PEERS)
				continue;
			auto *t = (const struct peer_table *)m->obj;

			info = nullptr;
			for (uint32_t i = 0; i < t->count; i++) {
				if (!strcmp(t->peers[i].id, id))
					info = &t->peers[i];
			}
		}
		return info;
	}
	bool alive(const char *id)
	{
		return latest_info(id) && latest_info(id)->alive;
	}
};

class Peers : public ::testing::Test
{
      public:
	static struct loop *loop; // h2o loops cannot be released
	std::vector<struct daemon *> daemons;
	std::function<bool()> condition;
	bool met = false;
	uint64_t run_deadline_ms = 0;
	struct timer timer = {};

	struct daemon *add(const char *id, const char *az,
			   const char *key = "k", int seed_port = 0)
	{
		daemons.push_back(
			new struct daemon(loop, id, az, key, seed_port));
		loop_set_idle(loop, deliver, this);
		return daemons.back();
	}
	void remove(struct daemon *d)
	{
		daemons.erase(std::find(daemons.begin(), daemons.end(), d));
		delete d;
		loop_set_idle(loop, deliver, this);
	}
	static bool deliver(void *ctx)
	{
		bool more = false;

		for (struct daemon *d : ((Peers *)ctx)->daemons)
			more |= bus_deliver(d->bus);
		return more;
	}
	static void on_timer(struct timer *t)
	{
		Peers *self = (Peers *)t->ctx;

		self->met = self->condition();
		if (self->met || loop_now_ms() > self->run_deadline_ms)
			loop_stop(self->loop);
		else
			timer_start(self->loop, t, 5);
	}
	// Runs the loop until @c holds; returns false after 20 s.
	bool run_until(std::function<bool()> c)
	{
		condition = c;
		run_deadline_ms = loop_now_ms() + 20000;
		timer.fn = on_timer;
		timer.ctx = this;
		timer_start(loop, &timer, 0);
		loop_run(loop);
		return met;
	}
	void wait_connected(struct daemon *a, struct daemon *b)
	{
		ASSERT_TRUE(run_until([&] {
			return a->alive(b->conf.id) && b->alive(a->conf.id);
		}));
	}
	void claim(struct daemon *d, uint64_t epoch)
	{
		struct msg *msg = msg_new(MSG_CLAIM, TASK_SCHED, 0);

		msg->claim.held = true;
		msg->claim.epoch = epoch;
		bus_send(d->bus, TASK_PEER, msg);
	}
	void send(struct daemon *d, struct msg *msg)
	{
		bus_send(d->bus, TASK_PEER, msg);
	}
	void SetUp() override
	{
		signal(SIGPIPE, SIG_IGN); // as in the daemon
	}
	void TearDown() override
	{
		for (struct daemon *d : daemons)
			delete d;
	}
};

struct loop *Peers::loop = loop_new();

struct msg *call_to(const char *az, bool to_holder, uint32_t deadline_ms)
{
	struct msg *msg = msg_new(MSG_CALL, TASK_CALLER, 42);

	copy(msg->call.entry, "stock-check");
	copy(msg->call.az, az);
	msg->call.to_holder = to_holder;
	msg->call.deadline_ms = deadline_ms;
	msg->body = buf_str("question");
	return msg;
}

} // namespace

// Guards against jobs and calls that are not routed to a daemon that can serve
// them, and against replies that do not reach the requesting task.
TEST_F(Peers, JobAndCallAreForwarded)
{
	struct daemon *a = add("a", "z1");
	struct daemon *b = add("b", "z2", "k", peer_port(a->peer));

	wait_connected(a, b);
	send(a, call_to("z2", true, 1000));
	ASSERT_TRUE(run_until([&] { return a->find(MSG_CALL_REPLY); }));
	EXPECT_EQ(ERR_NO_HOLDER, a->find(MSG_CALL_REPLY)->call_reply.err.kind);
	EXPECT_EQ(OUTCOME_NOT_RUN, a->find(MSG_CALL_REPLY)->call_reply.outcome);

	claim(b, 3);
	ASSERT_TRUE(run_until([&] { return a->latest_info("b")->holder; }));
	EXPECT_EQ(3U, a->latest_info("b")->epoch);
	struct msg *job = msg_new(MSG_JOB, TASK_CALLER, 43);
	copy(job->job.az, "z2");
	send(a, job);
	send(a, call_to("z2", true, 1000));
	ASSERT_TRUE(run_until([&] {
		return a->find(MSG_JOB_REPLY) &&
		       a->fake_task.got.back()->kind == MSG_CALL_REPLY;
	}));
	EXPECT_EQ(43U, a->find(MSG_JOB_REPLY)->ref);
	EXPECT_EQ(OUTCOME_ACCEPTED, a->find(MSG_JOB_REPLY)->job_reply.outcome);
	EXPECT_STREQ("reply", a->fake_task.got.back()->body.data);
	EXPECT_EQ(42U, a->fake_task.got.back()->ref);
	EXPECT_TRUE(b->find(MSG_CALL)->call.forwarded);
	EXPECT_STREQ("question", b->find(MSG_CALL)->body.data);
	EXPECT_FALSE(b->peer->ops->busy(b->peer));

	struct msg *tl = msg_new(MSG_TIMELINE, TASK_CALLER, 44);
	copy(tl->peer.peer, "b");
	send(a, tl);
	ASSERT_TRUE(run_until([&] { return a->find(MSG_TIMELINE_REPLY); }));
	EXPECT_TRUE(a->find(MSG_TIMELINE_REPLY)->peer.answered);
}

// Guards against the outcome "not run", or no reply at all, when the daemon
// that was sent a request does not reply or dies, and against a late reply that
// is delivered to another request.
TEST_F(Peers, LostReplyHasUnknownOutcome)
{
	struct daemon *a = add("a", "z1");
	struct daemon *b = add("b", "z2", "k", peer_port(a->peer));
	uint64_t late =
		ctr_value(ctr_counter("jayspoke_peer_late_answers_total", ""));

	b->fake_task.answer = false;
	wait_connected(a, b);
	send(a, call_to("z2", false, 1));
	ASSERT_TRUE(run_until([&] { return a->find(MSG_CALL_REPLY); }));
	EXPECT_EQ(ERR_LOST, a->find(MSG_CALL_REPLY)->call_reply.err.kind);
	EXPECT_TRUE(b->peer->ops->busy(b->peer));
	bus_reply(b->bus, b->find(MSG_CALL),
		  msg_new(MSG_CALL_REPLY, TASK_MINION, 0));
	ASSERT_TRUE(run_until([&] {
		return ctr_value(ctr_counter("jayspoke_peer_late_answers_total",
					     "")) == late + 1;
	}));
	// Guards against a stop that waits for a request without a reply.
	send(a, call_to("z2", false, 1));
	ASSERT_TRUE(run_until([&] { return b->peer->ops->busy(b->peer); }));
	ASSERT_TRUE(run_until([&] { return !b->peer->ops->busy(b->peer); }));
	size_t before = a->fake_task.got.size();
	send(a, call_to("z2", false, 60000));
	ASSERT_TRUE(run_until(
		[&] { return b->fake_task.got.back()->kind == MSG_CALL; }));
	remove(b);
	ASSERT_TRUE(run_until([&] {
		for (size_t i = before; i < a->fake_task.got.size(); i++) {
			if (a->fake_task.got[i]->kind == MSG_CALL_REPLY)
				return true;
		}
		return false;
	}));
	EXPECT_TRUE(run_until([&] { return !a->alive("b"); }));
	// The seed address is kept, so that a successor can be found.
	send(a, call_to("z2", false, 1000));
	ASSERT_TRUE(run_until([&] {
		return a->fake_task.got.back()->kind == MSG_CALL_REPLY;
	}));
	EXPECT_EQ(ERR_UNREACHABLE,
		  a->fake_task.got.back()->call_reply.err.kind);
}

// Guards against daemons that do not connect to each other when only a third
// daemon is known to both.
TEST_F(Peers, DaemonsDiscoverEachOther)
{
	struct daemon *a = add("a", "z1");
	struct daemon *c = add("c", "z1", "k", peer_port(a->peer));
	struct daemon *b = add("b", "z2", "k", peer_port(a->peer));

	wait_connected(a, c);
	wait_connected(b, c);
	// Guards against duplicate connections that keep replacing each other.
	uint64_t links = ctr_value(ctr_gauge("jayspoke_peer_links", ""));
	EXPECT_TRUE(run_until([&] {
		links = ctr_value(ctr_gauge("jayspoke_peer_links", ""));
		return links == 2;
	}));
}

// Guards against a client without the protocol, or a daemon with another key,
// that is served or that stops the daemon.
TEST_F(Peers, UnauthenticatedConnectionsAreRejected)
{
	struct daemon *a = add("a", "z1");
	struct daemon *b = add("b", "z1", "other", peer_port(a->peer));
	ctr_id forged = ctr_counter("jayspoke_peer_frames_forged_total", "");
	ctr_id big = ctr_counter("jayspoke_peer_frames_oversized_total", "");
	struct sockaddr_in sin = {};
	uint64_t forged_before = ctr_value(forged);
	uint64_t big_before = ctr_value(big);
	char byte;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)peer_port(a->peer));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(0, ::connect(fd, (struct sockaddr *)&sin, sizeof(sin)));
	ASSERT_EQ(18, write(fd, "GET / HTTP/1.1\r\n\r\n", 18));
	EXPECT_TRUE(run_until([&] {
		return ctr_value(forged) > forged_before &&
		       ctr_value(big) > big_before;
	}));
	EXPECT_EQ(0, read(fd, &byte, 1));
	close(fd);
	EXPECT_FALSE(a->alive("b"));
	EXPECT_FALSE(b->alive("a"));
	struct daemon *c = add("c", "z1", "k", peer_port(a->peer));
	wait_connected(a, c);
}

// Guards against the further use of a connection on which nothing arrives any
// more, when a new connection would work.
TEST_F(Peers, UnresponsiveConnectionIsReplaced)
{
	struct daemon *a = add("a", "z1");
	struct daemon *b = add("b", "z1", "k", peer_port(a->peer));
	ctr_id silent = ctr_counter("jayspoke_peer_silent_links_total", "");
	uint64_t before = ctr_value(silent);

	wait_connected(a, b);
	b->conf.heartbeat_ms = 60000;
	ASSERT_TRUE(run_until([&] { return ctr_value(silent) > before; }));
	b->conf.heartbeat_ms = 100;
	wait_connected(a, b);
	send(a, call_to("z1", false, 1000));
	ASSERT_TRUE(run_until([&] { return a->find(MSG_CALL_REPLY); }));
	EXPECT_EQ(ERR_NONE, a->find(MSG_CALL_REPLY)->call_reply.err.kind);
}
