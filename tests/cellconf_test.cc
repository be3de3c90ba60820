#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "../jaycelld/celld.h"
}

namespace
{

const char *const good = R"({
	"name": "d1", "az": "az-a", "region": "r",
	"listen_callers": "127.0.0.1:1000", "listen_ready": "127.0.0.1:1001",
	"listen_peers": "127.0.0.1:1002", "listen_operators": "127.0.0.1:1003",
	"store": "127.0.0.1:1004", "advice": "", "cpu_share": 0.25,
	"lease_ms": 5500, "hold_max_ms": 6000, 	"status_s": 120, "grace_s": 6, "snapshot_batches": 5000 })";

std::string parse(std::string text)
{
	struct cd_conf conf;
	struct err err = {};

	if (conf_parse_text(&conf, "FILE", text.c_str(), text.size(), &err))
		return "ok";
	return err.text;
}

std::string with(const std::string &from, const std::string &to)
{
	std::string text = good;

	return parse(text.replace(text.find(from), from.size(), to));
}

} // namespace

/* Guards against errors that do not name the setting and the expected value. */
TEST(CellConf, ErrorNamesTheKeyAndTheExpectedValue)
{
	EXPECT_EQ(parse(good), "ok");
	EXPECT_EQ(with("\"d1\"", "17"),
		  "FILE: name: expected a text of 1 to 63 bytes");
	EXPECT_EQ(with("127.0.0.1:1004", "store.example"),
		  "FILE: store: expected \"address:port\"");
	EXPECT_EQ(with("\"lease_ms\": 5500,", ""),
		  "FILE: lease_ms: missing, expected a whole number from 1 to "
		  "86400000");
	EXPECT_EQ(with("5500", "7000"),
		  "FILE: lease_ms: expected at most hold_max_ms (6000)");
	EXPECT_EQ(with("\"az\"", "\"zone\""), "FILE: zone: unknown key");
	EXPECT_EQ(parse("[]"), "FILE: not an object");
	EXPECT_EQ(parse("{"),
		  "FILE:1:1: string or '}' expected near end of file");
}

/* Guards against applying settings that need a restart. */
TEST(CellConf, AppliesMutableSettingsAndNamesTheRest)
{
	struct cd_conf conf;
	struct cd_conf next;
	struct err err = {};
	struct buf fixed = {};
	std::string text = good;

	ASSERT_TRUE(conf_parse_text(&conf, "FILE", good, strlen(good), &err));
	text.replace(text.find("5500"), 4, "5000");
	text.replace(text.find("127.0.0.1:1002"), 14, "127.0.0.1:2002");
	ASSERT_TRUE(conf_parse_text(&next, "FILE", text.c_str(), text.size(),
				    &err));
	EXPECT_EQ(conf_apply(&conf, &next, &fixed), 1U);
	EXPECT_EQ(conf.lease_ms, 5000U);
	EXPECT_STREQ(conf.listen_peers, "127.0.0.1:1002");
	EXPECT_STREQ(fixed.data, "listen_peers,peers_address");
	buf_free(&fixed);
}

/* Guards against publishing an unreachable address to other daemons. */
TEST(CellConf, PeersAddressDefaultsToTheListener)
{
	struct cd_conf conf;
	struct err err = {};
	std::string text = good;

	ASSERT_TRUE(conf_parse_text(&conf, "FILE", good, strlen(good), &err));
	EXPECT_STREQ(conf.peers_address, "127.0.0.1:1002");
	text.insert(1, "\"peers_address\": \"127.0.0.1:7\",");
	ASSERT_TRUE(conf_parse_text(&conf, "FILE", text.c_str(), text.size(),
				    &err));
	EXPECT_STREQ(conf.peers_address, "127.0.0.1:7");
}
