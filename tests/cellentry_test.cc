#include <gtest/gtest.h>

#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "../jaycelld/celld.h"
}

/*
 * The HTTP interface for callers with the watch of the configuration, on fakes
 * of the HTTP server, the store, the holder and the clock.
 */
struct httpd {
	struct httpd_settings settings;
};

namespace
{

struct Call {
	pf_done done;
	void *ctx;
};

struct Reply {
	int status;
	std::string headers;
	std::string body;
};

/* A request to the holder, or a job to be stored. */
struct Forwarded {
	enum cd_op op;
	std::string id;
	std::string team;
};

using Headers = std::map<std::string, std::string>;

uint64_t now_ms;
std::vector<struct httpd *> &servers = *new std::vector<struct httpd *>;
std::map<uint32_t, Reply> &replies = *new std::map<uint32_t, Reply>;
std::vector<Call> reads;
std::vector<Call> watches;
std::vector<Call> commits;
std::vector<Forwarded> forwarded;
enum cd_status holder_status;
uint32_t holder_number;
/* Keeps objects that are never freed reachable, for the leak checker. */
std::vector<void *> &kept = *new std::vector<void *>;

} // namespace

extern "C" {

int clock_gettime(clockid_t clock, struct timespec *ts) noexcept
{
	if (clock != CLOCK_BOOTTIME)
		return (int)syscall(SYS_clock_gettime, clock, ts);
	ts->tv_sec = (time_t)(now_ms / 1000);
	ts->tv_nsec = (long)(now_ms % 1000 * 1000000);
	return 0;
}

struct httpd *httpd_new(struct loop *, const struct httpd_settings *settings,
			struct err *)
{
	struct httpd *server = new httpd;

	server->settings = *settings;
	servers.push_back(server);
	return servers.back();
}

const char *httpd_header(const struct httpd_request *request, const char *name,
			 char *value, size_t size)
{
	auto *headers = static_cast<Headers *>(request->internal);
	auto at = headers->find(name);

	if (at == headers->end())
		return nullptr;
	snprintf(value, size, "%s", at->second.c_str());
	return value;
}

void httpd_reply(struct httpd *, uint32_t handle, int status, const char *,
		 const char *headers, const void *body, size_t len)
{
	EXPECT_EQ(replies.count(handle), 0U);
	replies[handle] = { status, headers ? headers : "",
			    std::string(static_cast<const char *>(body), len) };
}

void httpd_close_listener(struct httpd *)
{
}

uint32_t httpd_open_count(const struct httpd *)
{
	return 0;
}

bool httpd_query(const struct httpd_request *, const char *, char *, size_t)
{
	return false;
}

uint32_t httpd_connections(const struct httpd *)
{
	return 0;
}

size_t httpd_bytes(const struct httpd *)
{
	return 0;
}

const char *httpd_limit_name(enum httpd_limit)
{
	return "";
}

void pf_get(struct pf_store *, const char *, uint32_t, pf_done done, void *ctx)
{
	reads.push_back({ done, ctx });
}

void pf_watch(struct pf_store *, const char *, uint64_t, uint32_t, pf_done done,
	      void *ctx)
{
	watches.push_back({ done, ctx });
}

void pf_commit(struct pf_store *, const struct pf_txn *, uint32_t, pf_done done,
	       void *ctx)
{
	commits.push_back({ done, ctx });
}

uint64_t pf_store_calls(const struct pf_store *)
{
	return 0;
}

void accept_job(struct acceptor *, const char *id, const struct buf *record,
		bool, uint64_t, cd_done done, void *ctx)
{
	struct cell_job_spec spec = {};

	EXPECT_TRUE(record_unpack_job(record->data, record->len, &spec));
	forwarded.push_back({ CD_OP_SUBMIT, id, spec.team });
	cell_job_spec_free(&spec);
	done(ctx, CD_OK, 0);
}

void rpc_call(struct rpc *, enum cd_op op, const char *text, const struct buf *,
	      uint64_t, cd_done done, void *ctx)
{
	forwarded.push_back({ op, text, "" });
	done(ctx, holder_status, holder_number);
}

uint32_t overload_wait_ms(const struct overload *, const char *, uint64_t)
{
	return 0;
}

bool links_holder_up(const struct links *)
{
	return true;
}

bool holder_ready(const struct holder *)
{
	return true;
}

void holder_gauges(const struct holder *)
{
}

void holder_pairs(const struct holder *, struct buf *)
{
}

int where_answer(struct celld *, const char *, const char *, const char *,
		 size_t, struct buf *)
{
	return 503;
}

void holder_config_changed(struct holder *)
{
}

uint64_t cd_unix_ms(void)
{
	return 1700000000000;
}

} /* extern "C" */

namespace
{

const char *const job_path = "/q/0123456789abcdef";
const char *const job = R"({"steps":[{"count":1,"cpu":1,"mem_mb":1}]})";

std::string config_text(unsigned version, const std::string &teams)
{
	return R"({"version":)" + std::to_string(version) +
	       R"(,"routes":[{"name":"q","host":"h","prefix":"/q/",)"
	       R"("service":"s"},{"name":"open","host":"h","prefix":"/open/",)"
	       R"("service":"s","public":true}],"tenants":)" +
	       teams + "}";
}

const char *const teams = R"([{"name":"ta","api_keys":["ka","kb"]},)"
			  R"({"name":"tz","api_keys":["kz"]}])";

class CellEntry : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct err err = {};

		servers.clear();
		replies.clear();
		reads.clear();
		watches.clear();
		commits.clear();
		forwarded.clear();
		holder_status = CD_OK;
		holder_number = 0;
		now_ms = 1000000;
		d.loop = loop_new();
		d.conf.revoke_ms = 5000;
		d.config = config_new(&d);
		d.entry = entry_new(&d, &err);
		kept.push_back(d.loop);
		kept.push_back(d.config);
		kept.push_back(d.entry);
		ASSERT_EQ(servers.size(), 3U);
	}

	void start(const std::string &of = teams)
	{
		answer(reads[0], PF_OK, config_text(7, of), 12);
	}

	static void answer(const Call &call, enum pf_status status,
			   const std::string &value = "", uint64_t revision = 0)
	{
		struct pf_item item = {};
		struct pf_reply reply = {};

		item.key = "op/config";
		item.value = value.c_str();
		item.value_len = value.size();
		item.revision = revision;
		reply.status = status;
		reply.count = value.empty() ? 0 : 1;
		reply.items = &item;
		call.done(call.ctx, &reply);
	}

	void wait(uint32_t ms)
	{
		struct timer stop = {};

		stop.fn = [](struct timer *t) {
			loop_stop(static_cast<struct loop *>(t->ctx));
		};
		stop.ctx = d.loop;
		for (uint32_t i = 0; i < ms; i++) {
			now_ms++;
			timer_start(d.loop, &stop, 0);
			loop_run(d.loop);
		}
	}

	/* Sends a request; returns its handle. */
	uint32_t send(const char *method, const char *path,
		      const char *authorization, const std::string &body = job,
		      size_t server = 0)
	{
		struct httpd_request request = {};
		Headers headers;

		if (authorization)
			headers["authorization"] = authorization;
		request.handle = ++handle;
		request.method = method;
		request.host = "h";
		request.path = path;
		request.query = "";
		request.body = body.c_str();
		request.body_len = body.size();
		request.internal = &headers;
		servers[server]->settings.handler(servers[server]->settings.ctx,
						  &request);
		return handle;
	}

	int post(const char *authorization)
	{
		return status(send("POST", job_path, authorization));
	}

	/* Returns 0 while the request waits. */
	static int status(uint32_t of)
	{
		return replies.count(of) ? replies[of].status : 0;
	}

	int ready()
	{
		return status(send("GET", "/ready", nullptr, "", 1));
	}

	std::string metric(const std::string &name)
	{
		std::string text =
			replies[send("GET", "/metrics", nullptr, "", 2)].body;
		size_t at = text.find("\n" + name + " ");

		if (at == std::string::npos)
			return "";
		at += name.size() + 2;
		return text.substr(at, text.find('\n', at) - at);
	}

	static bool has_retry_after(uint32_t of)
	{
		return replies[of].headers.find("Retry-After: ") == 0;
	}

	struct celld d = {};
	uint32_t handle = 0;
};

} // namespace

/* Guards against a job without the team of its key, or of another one. */
TEST_F(CellEntry, JobGetsTheTeamOfItsKey)
{
	start();
	EXPECT_EQ(post("Bearer kb"), 200);
	EXPECT_EQ(post("bearer  kz"), 200);
	ASSERT_EQ(forwarded.size(), 2U);
	EXPECT_EQ(forwarded[0].team, "ta");
	EXPECT_EQ(forwarded[1].team, "tz");
}

/* Guards against a method that is served without a key, or not with one. */
TEST_F(CellEntry, EachMethodRequiresAKey)
{
	start();
	for (const char *method : { "POST", "GET", "DELETE" }) {
		size_t before = forwarded.size();

		EXPECT_EQ(status(send(method, job_path, nullptr)), 401);
		EXPECT_EQ(status(send(method, job_path, "Bearer kk")), 401);
		EXPECT_EQ(forwarded.size(), before);
		EXPECT_EQ(status(send(method, job_path, "Bearer ka")), 200);
		EXPECT_EQ(forwarded.size(), before + 1);
	}
	EXPECT_EQ(status(send("GET", "/q/", nullptr)), 401);
	EXPECT_EQ(status(send("GET", "/q/", "Bearer ka")), 200);
}

/* Guards against text that is taken for a key, and a refusal without reason. */
TEST_F(CellEntry, OnlyAKnownKeyIsHonoured)
{
	std::string many(CELL_KEY_MAX - 1, 'l');
	std::string longer = "Bearer " + many + "l";
	uint32_t refused;

	start(R"([{"name":"t","api_keys":["ka",")" + many + R"("]}])");
	for (const char *text :
	     { "", "Bearer", "Bearer ", "Bearer k", "Bearer kab", "Bearer KA",
	       "Bearer ka kb", "Basic ka", "ka", "Bearerka", longer.c_str() })
		EXPECT_EQ(post(text), 401) << text;
	EXPECT_TRUE(forwarded.empty());
	EXPECT_EQ(post(("Bearer " + many).c_str()), 200);
	refused = send("POST", job_path, nullptr);
	EXPECT_EQ(replies[refused].headers, "WWW-Authenticate: Bearer\r\n");
	EXPECT_NE(replies[refused].body.find("missing or unknown key"),
		  std::string::npos);
}

/* Guards against a key that is asked for where the operator wants none. */
TEST_F(CellEntry, PublicQueueAndCellWithoutTeamsRequireNoKey)
{
	start();
	EXPECT_EQ(status(send("POST", "/open/0123456789abcdef", nullptr)), 200);
	EXPECT_EQ(status(send("POST", "/open/0123456789abcdef", "Bearer x")),
		  200);
	wait(20000);
	EXPECT_EQ(status(send("GET", "/open/0123456789abcdef", nullptr)), 200);
	ASSERT_EQ(forwarded.size(), 3U);
	EXPECT_EQ(forwarded[0].team, "");

	SetUp();
	start("[]");
	wait(20000);
	EXPECT_EQ(post(nullptr), 200);
	EXPECT_EQ(post("Bearer ka"), 200);
	EXPECT_EQ(ready(), 200);
	EXPECT_TRUE(commits.empty());
	ASSERT_EQ(forwarded.size(), 2U);
	EXPECT_EQ(forwarded[1].team, "");
}

/* Guards against queues that are open because no team can be read. */
TEST_F(CellEntry, UnreadableTeamsAdmitNobody)
{
	start(R"([{"name":"t","weight":-1,"api_keys":["ka"]}])");
	EXPECT_EQ(post(nullptr), 401);
	EXPECT_EQ(post("Bearer ka"), 401);
	EXPECT_TRUE(forwarded.empty());
}

/* Guards against 401 for a key that a newer version has added. */
TEST_F(CellEntry, UnknownKeyWaitsForAConfirmation)
{
	uint32_t added, unknown, missing;

	start();
	wait(800);
	added = send("POST", job_path, "Bearer new");
	unknown = send("POST", job_path, "Bearer x");
	missing = send("GET", job_path, nullptr);
	EXPECT_EQ(status(added), 0);
	EXPECT_EQ(status(unknown), 0);
	EXPECT_EQ(status(missing), 0);
	EXPECT_EQ(post("Bearer ka"), 200);
	ASSERT_EQ(commits.size(), 1U);
	answer(commits[0], PF_CONFLICT,
	       config_text(8, R"([{"name":"tn","api_keys":["new"]}])"), 13);
	EXPECT_EQ(status(added), 200);
	EXPECT_EQ(forwarded.back().team, "tn");
	EXPECT_EQ(status(unknown), 401);
	EXPECT_EQ(status(missing), 401);
	EXPECT_EQ(post("Bearer ka"), 401);
	EXPECT_EQ(commits.size(), 1U);
}

/* Guards against 401 from a daemon that may not know the newest keys. */
TEST_F(CellEntry, UnknownKeyIsNotRefusedForGoodWithoutAConfirmation)
{
	uint32_t unknown;

	start();
	wait(800);
	unknown = send("POST", job_path, "Bearer new");
	wait(199);
	EXPECT_EQ(status(unknown), 0);
	wait(2);
	EXPECT_EQ(status(unknown), 503);
	EXPECT_TRUE(has_retry_after(unknown));
	EXPECT_TRUE(forwarded.empty());
}

/*
 * Guards against a revoked key that a daemon honours which was cut off from the
 * store, and against one that stays closed once the store is back.
 */
TEST_F(CellEntry, KnownKeyIsRefusedWithoutARecentConfirmation)
{
	start();
	wait(4750);
	EXPECT_EQ(post("Bearer ka"), 200);
	EXPECT_EQ(ready(), 200);
	forwarded.clear();
	holder_status = CD_GONE;
	wait(250);
	for (const char *method : { "POST", "GET", "DELETE" }) {
		uint32_t refused = send(method, job_path, "Bearer ka");

		wait(201);
		EXPECT_EQ(status(refused), 503) << method;
		EXPECT_TRUE(has_retry_after(refused));
	}
	EXPECT_EQ(ready(), 503);
	/* Only the holder was asked for the job of the submission. */
	ASSERT_EQ(forwarded.size(), 1U);
	EXPECT_EQ(forwarded[0].op, CD_OP_STATE);
	answer(commits.back(), PF_OK);
	EXPECT_EQ(ready(), 200);
	EXPECT_EQ(post("Bearer ka"), 200);
}

/*
 * Guards against 503, which means that a job has not run, for one that an
 * earlier attempt has stored.
 */
TEST_F(CellEntry, StoredJobIsNotReportedAsNotRun)
{
	struct {
		enum cd_status holder;
		int status;
	} const cases[] = { { CD_OK, 504 },
			    { CD_GONE, 503 },
			    { CD_RETRY, 503 } };

	start();
	wait(5000);
	for (auto &k : cases) {
		uint32_t refused = send("POST", job_path, "Bearer ka");

		holder_status = k.holder;
		wait(201);
		EXPECT_EQ(status(refused), k.status);
		EXPECT_EQ(forwarded.back().op, CD_OP_STATE);
		EXPECT_EQ(forwarded.back().id, "0123456789abcdef");
	}
	EXPECT_EQ(status(send("POST", "/q/x", "Bearer ka")), 0);
	wait(201);
	EXPECT_EQ(forwarded.size(), 3U);
}

/* Guards against a key that was revoked while the process was paused. */
TEST_F(CellEntry, KeyIsCheckedAgainAfterAPause)
{
	uint32_t revoked, kept_key;

	start();
	EXPECT_EQ(post("Bearer ka"), 200);
	EXPECT_EQ(post("Bearer kz"), 200);
	forwarded.clear();
	now_ms += 10000;
	EXPECT_EQ(ready(), 503);
	revoked = send("POST", job_path, "Bearer ka");
	kept_key = send("DELETE", job_path, "Bearer kz");
	EXPECT_EQ(status(revoked), 0);
	EXPECT_EQ(status(kept_key), 0);
	ASSERT_EQ(commits.size(), 1U);
	answer(commits[0], PF_CONFLICT,
	       config_text(8, R"([{"name":"tz","api_keys":["kz"]}])"), 13);
	EXPECT_EQ(status(revoked), 401);
	EXPECT_EQ(status(kept_key), 200);
	ASSERT_EQ(forwarded.size(), 1U);
	EXPECT_EQ(forwarded[0].op, CD_OP_CANCEL);
}

/* Guards against a key that is honoured before the first read. */
TEST_F(CellEntry, NoKeyIsHonouredBeforeTheFirstRead)
{
	uint32_t early = send("POST", job_path, "Bearer ka");

	EXPECT_EQ(status(early), 503);
	EXPECT_TRUE(has_retry_after(early));
	EXPECT_EQ(ready(), 503);
	answer(reads[0], PF_UNKNOWN);
	EXPECT_EQ(post("Bearer ka"), 503);
}

/* Guards against a check that revoke_ms 0 does not turn off. */
TEST_F(CellEntry, KeysAreHonouredWithoutAConfirmationIfNotBounded)
{
	d.conf.revoke_ms = 0;
	start();
	wait(60000);
	EXPECT_EQ(post("Bearer ka"), 200);
	EXPECT_EQ(ready(), 200);
	EXPECT_TRUE(commits.empty());
}

/*
 * Guards against the memory of bodies that wait, and against a bound that is
 * not given back.
 */
TEST_F(CellEntry, BodiesThatWaitAreBounded)
{
	std::string body(200000, ' ');
	std::vector<uint32_t> sent;
	size_t waiting = 0;

	start();
	for (size_t round = 0; round < 3; round++) {
		sent.clear();
		wait(1000);
		for (size_t i = 0; i < 100; i++)
			sent.push_back(
				send("POST", job_path, "Bearer x", body + job));
		waiting = (size_t)std::count_if(
			sent.begin(), sent.end(),
			[](uint32_t s) { return !status(s); });
		EXPECT_EQ(waiting, 41U);
		wait(250);
		for (uint32_t s : sent) {
			EXPECT_EQ(status(s), 503);
			EXPECT_TRUE(has_retry_after(s));
		}
		answer(commits.back(), PF_OK);
	}
}

/* Guards against figures that operators do not get. */
TEST_F(CellEntry, FiguresAreReported)
{
	uint64_t unauthorized, unconfirmed;

	start(R"([{"name":"ta","api_keys":["ka","kb",7]},3])");
	wait(1);
	unauthorized = std::stoull(metric("jaycelld_unauthorized_total"));
	unconfirmed = std::stoull(metric("jaycelld_unconfirmed_total"));
	EXPECT_EQ(post("Bearer x"), 401);
	wait(6000);
	send("GET", job_path, "Bearer ka");
	wait(201);
	EXPECT_EQ(metric("jaycelld_unauthorized_total"),
		  std::to_string(unauthorized + 1));
	EXPECT_EQ(metric("jaycelld_unconfirmed_total"),
		  std::to_string(unconfirmed + 1));
	EXPECT_EQ(metric("jaycelld_config_age_ms"), "6202");
	EXPECT_EQ(metric("jaycelld_teams"), "1");
	EXPECT_EQ(metric("jaycelld_keys"), "2");
	EXPECT_EQ(metric("jaycelld_malformed_teams"), "2");
}

/* Guards against a caller that does not learn that its cancel was refused. */
TEST_F(CellEntry, CancelIsAnsweredWithItsOutcome)
{
	uint32_t sent;

	start();
	sent = send("DELETE", job_path, "Bearer ka");
	EXPECT_EQ(status(sent), 200);
	holder_status = CD_GONE;
	sent = send("DELETE", job_path, "Bearer ka");
	EXPECT_EQ(status(sent), 410);
	holder_status = CD_UNKNOWN;
	sent = send("DELETE", job_path, "Bearer ka");
	EXPECT_EQ(status(sent), 504);
	holder_status = CD_REFUSED;
	holder_number = 77;
	sent = send("DELETE", job_path, "Bearer ka");
	EXPECT_EQ(status(sent), 503);
	EXPECT_EQ(replies[sent].headers, "Retry-After: 77\r\n");
}
