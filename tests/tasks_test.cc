#include <gtest/gtest.h>

#include <cmath>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "catalogue/catalogue.h"
#include "env.h"
#include "httpd.h"
}

namespace
{
std::string base64(const std::string &s)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	std::string out;
	for (size_t i = 0; i < s.size(); i += 3) {
		unsigned n = 0;
		for (size_t k = 0; k < 3; k++)
			n = n << 8 |
			    (i + k < s.size() ? (unsigned char)s[i + k] : 0);
		for (size_t k = 0; k < 4; k++)
			out += i + k > s.size()
				       ? '='
				       : digits[n >> (18 - 6 * k) & 63];
	}
	return out;
}

// A task that records the messages it receives.
struct RecordingTask {
	struct task task;
	std::vector<struct msg *> msgs;
	static void handle(struct task *task, struct msg *msg)
	{
		((RecordingTask *)task)->msgs.push_back(msg_clone(msg));
	}
	~RecordingTask()
	{
		for (auto *m : msgs)
			msg_free(m);
	}
	const struct msg *find(enum msg_kind kind, uint32_t ref) const
	{
		for (auto *m : msgs)
			if (m->kind == kind && m->ref == ref)
				return m;
		return nullptr;
	}
	size_t count(enum msg_kind kind) const
	{
		size_t n = 0;
		for (auto *m : msgs)
			n += m->kind == kind;
		return n;
	}
};

const struct task_ops recording_ops = { "probe", RecordingTask::handle,
					nullptr };

// A loop with a fake store and a fake instance list on one HTTP server.
class Tasks : public ::testing::Test
{
      protected:
	struct Value {
		std::string text;
		uint64_t index;
	};
	struct BlockingRead {
		uint32_t handle;
		std::string key;
		uint64_t index;
	};
	struct loop *loop = loop_new();
	struct bus *bus = bus_new(loop);
	struct conf conf = {};
	struct env env = {};
	struct httpd *server = nullptr;
	RecordingTask caller, peer;
	std::map<std::string, Value> kv;
	std::vector<BlockingRead> blocking_reads;
	std::vector<std::string> requests; // method, path and query
	uint64_t next_index = 10;
	bool drop_reply = false; // apply the next write without a response
	int forced_status = 0;	 // status of every response, if set
	std::string forced_body; // body of these responses
	std::string instances_json, etag;
	struct timer poll = {};
	std::function<bool()> condition_met;
	uint64_t deadline_ms = 0;

	// Keeps objects that live until the process ends reachable for the leak
	// detector: loops, servers and tasks cannot be freed.
	static void keep_reachable(void *object)
	{
		static auto *kept = new std::vector<void *>;
		kept->push_back(object);
	}
	void SetUp() override
	{
		struct err err = {};
		struct httpd_settings settings = {};
		settings.addr = "127.0.0.1:0";
		settings.max_body = 1 << 21;
		settings.handler = on_request;
		settings.ctx = this;
		server = httpd_new(loop, &settings, &err);
		ASSERT_NE(nullptr, server) << err.text;
		strcpy(conf.id, "d1");
		strcpy(conf.az, "howrah-a");
		strcpy(conf.region, "bengal-south");
		snprintf(conf.store, sizeof conf.store, "127.0.0.1:%d",
			 httpd_port(server));
		strcpy(conf.instances, conf.store);
		conf.store_timeout_ms = 2000;
		conf.instances_poll_ms = 20;
		env.loop = loop;
		env.bus = bus;
		env.httpc = httpc_new(loop);
		env.conf = &conf;
		caller.task.ops = peer.task.ops = &recording_ops;
		bus_register(bus, TASK_CALLER, &caller.task);
		bus_register(bus, TASK_PEER, &peer.task);
		for (void *object : { (void *)loop, (void *)bus, (void *)server,
				      (void *)env.httpc })
			keep_reachable(object);
	}
	void reply(uint32_t handle, int code, uint64_t index,
		   const std::string &text)
	{
		std::string h =
			"X-Consul-Index: " + std::to_string(index) + "\r\n";
		httpd_reply(server, handle, code, "application/json", h.c_str(),
			    text.data(), text.size());
	}
	void reply_get(uint32_t handle, const std::string &key, bool recurse)
	{
		std::string out;
		for (auto &v : kv) {
			if (recurse ? v.first.compare(0, key.size(), key)
				    : v.first != key)
				continue;
			out += (out.empty() ? "" : ",") +
			       ("{\"Key\":\"" + v.first + "\",\"Value\":\"" +
				base64(v.second.text) + "\",\"ModifyIndex\":" +
				std::to_string(v.second.index) + "}");
		}
		if (out.empty())
			reply(handle, 404, next_index, "");
		else
			reply(handle, 200, recurse ? next_index : kv[key].index,
			      "[" + out + "]");
	}
	void on_kv(const struct httpd_request *r)
	{
		std::string key = r->path + strlen("/v1/kv/");
		std::string method = r->method;
		char arg[32];
		bool exists = kv.count(key) != 0, ok = true;
		if (method == "GET") {
			if (httpd_query(r, "index", arg, sizeof arg) &&
			    exists && kv[key].index == strtoull(arg, 0, 10))
				blocking_reads.push_back(
					{ r->handle, key, kv[key].index });
			else
				reply_get(r->handle, key,
					  httpd_query(r, "recurse", arg,
						      sizeof arg));
			return;
		}
		if (method == "DELETE")
			kv.erase(key);
		else if (httpd_query(r, "cas", arg, sizeof arg) &&
			 strtoull(arg, 0, 10) != (exists ? kv[key].index : 0))
			ok = false;
		else
			kv[key] = { std::string(r->body, r->body_len),
				    next_index++ };
		if (!drop_reply)
			reply(r->handle, 200, 0, ok ? "true" : "false");
		drop_reply = false;
		for (auto &w : blocking_reads)
			if (kv.count(w.key) && kv[w.key].index != w.index)
				reply_get(w.handle, w.key, false);
	}
	static void on_request(void *ctx, const struct httpd_request *r)
	{
		Tasks *t = (Tasks *)ctx;
		char tag[64] = "";
		t->requests.push_back(std::string(r->method) + " " + r->path +
				      "?" + r->query);
		if (t->forced_status) {
			t->reply(r->handle, t->forced_status, 0,
				 t->forced_body);
		} else if (!strncmp(r->path, "/v1/kv/", 7)) {
			t->on_kv(r);
		} else if (httpd_header(r, "if-none-match", tag, sizeof tag) &&
			   t->etag == tag) {
			httpd_reply(t->server, r->handle, 304, nullptr, nullptr,
				    nullptr, 0);
		} else {
			std::string h = "ETag: " + t->etag + "\r\n";
			httpd_reply(t->server, r->handle, 200,
				    "application/json", h.c_str(),
				    t->instances_json.data(),
				    t->instances_json.size());
		}
	}
	static void on_poll(struct timer *timer)
	{
		Tasks *t = (Tasks *)timer->ctx;
		if (t->condition_met() || loop_now_ms() > t->deadline_ms)
			loop_stop(t->loop);
		else
			timer_start(t->loop, timer, 2);
	}
	// Runs the loop until @fn holds; only a failing test reaches the limit.
	bool run_until(std::function<bool()> fn)
	{
		condition_met = fn;
		deadline_ms = loop_now_ms() + 30000;
		poll.fn = on_poll;
		poll.ctx = this;
		timer_start(loop, &poll, 0);
		loop_run(loop);
		return fn();
	}
	void store_send(uint32_t ref, enum store_op op, const char *key,
			const char *value = "", bool cas = false,
			uint64_t index = 0, uint32_t wait_ms = 0,
			bool recurse = false)
	{
		struct msg *m = msg_new(MSG_STORE, TASK_CALLER, ref);
		m->store.op = op;
		snprintf(m->store.key, sizeof m->store.key, "%s", key);
		m->store.has_cas = cas;
		m->store.index = index;
		m->store.wait_ms = wait_ms;
		m->store.recurse = recurse;
		m->body = buf_str(value);
		bus_send(bus, TASK_STORE, m);
	}
	const struct msg *wait_store_reply(uint32_t ref)
	{
		run_until([&] { return caller.find(MSG_STORE_REPLY, ref); });
		return caller.find(MSG_STORE_REPLY, ref);
	}
	enum store_status store_status(uint32_t ref)
	{
		const struct msg *m = wait_store_reply(ref);
		EXPECT_NE(nullptr, m) << "no answer to " << ref;
		return m ? m->store_reply.status : STORE_UNAVAILABLE;
	}
	enum err_kind edit(uint32_t ref, uint64_t revision)
	{
		struct msg *m = msg_new(MSG_CAT_EDIT, TASK_CALLER, ref);
		m->cat_edit.revision = revision;
		m->body = buf_fmt("[{\"set_stop\":{\"instance\":\"i%u\","
				  "\"at\":5}}]",
				  ref);
		bus_send(bus, TASK_CATALOGUE, m);
		run_until([&] { return caller.find(MSG_CAT_EDIT_REPLY, ref); });
		const struct msg *r = caller.find(MSG_CAT_EDIT_REPLY, ref);
		EXPECT_NE(nullptr, r);
		return r ? r->cat_edit_reply.err.kind : ERR_INTERNAL;
	}
	std::string instance_json(const char *cpus)
	{
		return std::string("[{\"id\":\"w1\",\"kind\":\"worker\",\"az\":"
				   "\"howrah-a\",\"addr\":\"127.0.0.1:1\","
				   "\"state\":\"live\",\"cpus\":") +
		       cpus + "}]";
	}
};
} // namespace

// Guards against a wrong status of a store call, above all against "no effect"
// for a write whose response was lost or malformed.
TEST_F(Tasks, StoreStatusMatchesEffectOfCall)
{
	keep_reachable(store_new(&env, nullptr));
	store_send(1, STORE_GET, "a/b c");
	EXPECT_EQ(STORE_ABSENT, store_status(1));
	store_send(2, STORE_PUT, "a/b", "hello", true, 0);
	EXPECT_EQ(STORE_OK, store_status(2));
	store_send(3, STORE_PUT, "a/b", "again", true, 0);
	EXPECT_EQ(STORE_CONFLICT, store_status(3));
	store_send(4, STORE_GET, "a/b");
	ASSERT_EQ(STORE_OK, store_status(4));
	EXPECT_STREQ("hello", wait_store_reply(4)->body.data);
	EXPECT_EQ(kv["a/b"].index, wait_store_reply(4)->store_reply.index);
	store_send(5, STORE_GET, "a/", "", false, 0, 0, true);
	ASSERT_EQ(STORE_OK, store_status(5));
	EXPECT_EQ('[', wait_store_reply(5)->body.data[0]);
	drop_reply = true;
	store_send(6, STORE_PUT, "a/c", "x", true, 0);
	EXPECT_EQ(STORE_UNKNOWN, store_status(6));
	EXPECT_EQ(1u, kv.count("a/c"));
	forced_status = 200;
	forced_body = "maybe";
	store_send(7, STORE_PUT, "a/d", "x", true, 0);
	EXPECT_EQ(STORE_UNKNOWN, store_status(7));
	store_send(8, STORE_GET, "a/b");
	EXPECT_EQ(STORE_UNKNOWN, store_status(8));
	forced_status = 404;
	store_send(9, STORE_GET, "a/b");
	EXPECT_EQ(STORE_UNKNOWN, store_status(9)) << "404 without index";
	forced_status = 500;
	store_send(10, STORE_PUT, "a/d", "x", true, 0);
	EXPECT_EQ(STORE_UNKNOWN, store_status(10));
	forced_status = 503;
	store_send(11, STORE_PUT, "a/d", "x", true, 0);
	EXPECT_EQ(STORE_UNAVAILABLE, store_status(11));
	strcpy(conf.store, "127.0.0.1:1");
	store_send(12, STORE_PUT, "a/d", "x", true, 0);
	EXPECT_EQ(STORE_UNAVAILABLE, store_status(12));
	EXPECT_EQ("GET /v1/kv/a/b%20c?", requests[0]);
}

// Guards against calls beyond the rate limit, against compare-and-swap writes
// that wait behind other calls, and against a blocking read that delays other
// calls.
TEST_F(Tasks, StoreRateLimitAndWritePriority)
{
	size_t later = 0;
	uint64_t begin;

	keep_reachable(store_new(&env, nullptr));
	kv["watched"] = { "x", 5 };
	store_send(1, STORE_GET, "watched", "", false, 5, 20000);
	begin = loop_now_ms();
	for (uint32_t ref = 100; ref < 145; ref++)
		store_send(ref, STORE_GET, "watched");
	store_send(200, STORE_PUT, "claim", "x", true, 0);
	EXPECT_EQ(STORE_OK, store_status(200));
	wait_store_reply(144);
	for (auto &call : requests)
		later = call.compare(0, 3, "PUT") ? later + 1 : 0;
	EXPECT_GT(later, 0u) << "the write was sent last";
	EXPECT_LE((requests.size() - 40) * 1000,
		  (loop_now_ms() - begin + 1) * 6);
	EXPECT_EQ(nullptr, caller.find(MSG_STORE_REPLY, 1));
	store_send(300, STORE_PUT, "watched", "y", true, 5);
	EXPECT_EQ(STORE_OK, store_status(1));
	EXPECT_STREQ("y", wait_store_reply(1)->body.data);
}

// Guards against an edit whose lost response is not resolved, a missing
// broadcast, and a pull without a reply.
TEST_F(Tasks, CatalogueEditsAreStoredAndBroadcast)
{
	keep_reachable(store_new(&env, nullptr));
	keep_reachable(catalogue_new(&env, nullptr));
	EXPECT_EQ(ERR_NONE, edit(1, 0));
	drop_reply = true;
	EXPECT_EQ(ERR_NONE, edit(2, 1)) << "lost answer";
	EXPECT_EQ(ERR_CONFLICT, edit(3, 1));
	EXPECT_EQ(2u,
		  caller.find(MSG_CAT_EDIT_REPLY, 3)->cat_edit_reply.revision);
	ASSERT_TRUE(run_until([&] {
		const struct msg *last = nullptr;
		for (auto *m : peer.msgs)
			if (m->kind == MSG_CAT_CHANGED)
				last = m;
		return last && last->cat.revision == 2;
	}));
	const struct cat_obj *obj =
		(const struct cat_obj *)peer.msgs.back()->obj;
	ASSERT_NE(nullptr, obj);
	EXPECT_NE(nullptr, cat_stop(obj->cat, "i2"));
	EXPECT_EQ(nullptr, cat_stop(obj->cat, "i3"));

	struct msg *pull = msg_new(MSG_CAT_PULL, TASK_PEER, 77);
	pull->cat.revision = 1;
	strcpy(pull->cat.peer, "d2");
	bus_send(bus, TASK_CATALOGUE, pull);
	ASSERT_TRUE(run_until([&] { return peer.find(MSG_CAT_STATE, 77); }));
	const struct msg *state = peer.find(MSG_CAT_STATE, 77);
	EXPECT_STREQ("d2", state->cat.peer);
	EXPECT_NE(nullptr, strstr(state->body.data, "\"since\":1"));
}

// Guards against a malformed list that replaces the last valid one, a change
// that is not broadcast, and an unchanged list that is broadcast again.
TEST_F(Tasks, InstanceListIsKeptUntilValidUpdate)
{
	auto wait_polls = [&](size_t n) {
		size_t target = requests.size() + n;
		return run_until(
			[&, target] { return requests.size() >= target; });
	};
	instances_json = instance_json("64");
	etag = "\"1\"";
	keep_reachable(instlist_new(&env, nullptr));
	ASSERT_TRUE(
		run_until([&] { return caller.count(MSG_INSTANCES) == 1; }));
	ASSERT_TRUE(wait_polls(3));
	EXPECT_EQ("GET /v1/instances?az=howrah-a", requests[0]);
	etag = "\"2\"";
	for (std::string bad :
	     { instance_json("-1"), instance_json("1,\"kind\":\"x\""),
	       std::string("{}"), instance_json("1,\"az\":\"x\""),
	       std::string("[{}]"), std::string() }) {
		instances_json = bad;
		ASSERT_TRUE(wait_polls(2));
	}
	EXPECT_EQ(1u, caller.count(MSG_INSTANCES));
	instances_json = instance_json("32");
	ASSERT_TRUE(
		run_until([&] { return caller.count(MSG_INSTANCES) == 2; }));
	const struct inst_list *l =
		(const struct inst_list *)caller.msgs.back()->obj;
	ASSERT_EQ(1u, l->count);
	EXPECT_EQ(32u, l->items[0].cpus);
}
