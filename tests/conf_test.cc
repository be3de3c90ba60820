#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <syslog.h>
#include <unistd.h>

#include "conf.h"

class Conf : public ::testing::Test
{
      protected:
	std::string dir;
	std::string key_file;
	struct conf conf;
	struct err err;

	void SetUp() override
	{
		char name[] = "/tmp/conf_test.XXXXXX";

		dir = mkdtemp(name);
		key_file = dir + "/key";
		write(key_file, "secret\n");
	}
	void TearDown() override
	{
		unlink(key_file.c_str());
		unlink((dir + "/conf").c_str());
		rmdir(dir.c_str());
	}
	void write(const std::string &path, const std::string &text)
	{
		std::ofstream(path) << text;
	}
	std::string valid_conf(const std::string &extra = "") const
	{
		return R"({"id":"d1","az":"nadia-b","store":"127.0.0.1:8500",)"
		       R"("instances":"127.0.0.1:8600","listen":{"callers":)"
		       R"("127.0.0.1:0","operators":"127.0.0.1:8081","peers":)"
		       R"("127.0.0.1:8082"},"zones":{"nadia-b":"bengal-south",)"
		       R"("siliguri-a":"bengal-north"},"key_file":")" +
		       key_file + "\"" + extra + "}";
	}
	bool parse(const std::string &text)
	{
		return conf_parse(&conf, "x.json", text.data(), text.size(),
				  &err);
	}
	void expect_rejected(const std::string &text, const std::string &part)
	{
		ASSERT_FALSE(parse(text)) << text;
		EXPECT_NE(std::string::npos, std::string(err.text).find(part))
			<< err.text;
		EXPECT_EQ(0U, std::string(err.text).find("x.json: "));
		EXPECT_EQ(nullptr, strchr(err.text, '\n'));
	}
};

// Guards against a setting that is stored in the wrong field or ignored.
TEST_F(Conf, ReadsEverySetting)
{
	ASSERT_TRUE(parse(valid_conf(
		R"(,"log_level":"debug","peers":[{"id":"d2","az":"siliguri-a",)"
		R"("addr":"127.0.0.1:9"}],"timings":{"heartbeat_ms":250})")))
		<< err.text;
	EXPECT_STREQ("d1", conf.id);
	EXPECT_STREQ("bengal-south", conf.region);
	EXPECT_STREQ("127.0.0.1:8081", conf.listen_operators);
	EXPECT_EQ("secret", std::string((char *)conf.key, conf.key_len));
	EXPECT_EQ(LOG_DEBUG, conf.log_priority);
	ASSERT_EQ(1U, conf.peer_count);
	EXPECT_STREQ("127.0.0.1:9", conf.peers[0].addr);
	EXPECT_EQ(250U, conf.heartbeat_ms);
	EXPECT_EQ(4000U, conf.far_heartbeat_ms);
}

// Guards against invalid settings that are accepted, and against errors that do
// not name the file and the key.
TEST_F(Conf, ErrorNamesTheInvalidKey)
{
	expect_rejected(valid_conf(R"(,"lisen":1)"),
			"lisen: expected a known key");
	expect_rejected(valid_conf(R"(,"id":"d2")"), "duplicate");
	expect_rejected(
		valid_conf(R"(,"timings":{"heartbeat_ms":"1"})"),
		"timings.heartbeat_ms: expected a whole number of milliseconds");
	expect_rejected(valid_conf(R"(,"timings":{"heartbeat_ms":1})"),
			"from 20 to 60000");
	expect_rejected(valid_conf(R"(,"timings":{"heartbeat_ms":4294968296})"),
			"from 20 to 60000");
	expect_rejected(valid_conf(R"(,"timings":{"claim_renew_ms":2000})"),
			"timings.claim_renew_ms: expected at most half");
	expect_rejected(
		valid_conf(
			R"(,"peers":[{"id":"d2","az":"x","addr":"1.2.3.4:5"}])"),
		"peers.0.az: expected one of the zones");
	expect_rejected(valid_conf(R"(,"peers":[{"id":"d2","az":"nadia-b"}])"),
			"peers.0.addr: expected a value, the key is missing");
	expect_rejected(valid_conf(R"(,"log_level":"loud")"),
			"log_level: expected one of");
	expect_rejected(valid_conf(R"(,"a\nb":1)"),
			"a b: expected a known key");
	expect_rejected(R"({"id":"d1"})",
			"az: expected a value, the key is missing");
	expect_rejected("[]", "expected a JSON object");
	expect_rejected("", "expected a JSON object");
}

// Guards against a daemon that starts with a truncated settings file.
RC_GTEST_FIXTURE_PROP(Conf, TruncatedFileIsRejected, ())
{
	std::string text = valid_conf();
	size_t len = *rc::gen::inRange<size_t>(0, text.size());

	RC_ASSERT(!parse(text.substr(0, len)));
	RC_ASSERT(std::string(err.text).find("x.json: line") == 0);
}

// Guards against a daemon that runs without a shared key.
TEST_F(Conf, KeyFileIsRequired)
{
	write(key_file, " \n");
	expect_rejected(valid_conf(), "key_file: expected a key of 1 to 256");
	write(key_file, std::string(300, 'k'));
	expect_rejected(valid_conf(), "key_file: expected a key of 1 to 256");
	unlink(key_file.c_str());
	expect_rejected(valid_conf(), "No such file");
}

// Guards against an error that does not name an unreadable settings file.
TEST_F(Conf, LoadsFile)
{
	std::string file = dir + "/conf";

	EXPECT_FALSE(conf_load(&conf, file.c_str(), &err));
	EXPECT_EQ(0U, std::string(err.text).find(file));
	EXPECT_FALSE(conf_load(&conf, dir.c_str(), &err));
	write(file, valid_conf());
	EXPECT_TRUE(conf_load(&conf, file.c_str(), &err)) << err.text;
}
