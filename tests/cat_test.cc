#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "cathead.h"
#include "store/kv.h"

namespace
{
using Op = std::tuple<uint8_t, uint8_t, uint8_t, uint16_t>;

std::string name(char prefix, unsigned n)
{
	return prefix + std::to_string(n % 4);
}

// Test oracle: plain maps with a minimal form of the rules of design.md.
struct Oracle {
	std::map<std::string, unsigned> owners; // weight
	std::map<std::string, std::pair<std::string, unsigned>> entries;
	std::map<std::string, unsigned> stops;

	bool apply(const Op &op, std::string *json)
	{
		std::string o = name('o', std::get<1>(op));
		std::string e = name('e', std::get<2>(op));
		unsigned n = std::get<3>(op);
		switch (std::get<0>(op) % 6) {
		case 0:
			*json = "{\"set_owner\":{\"name\":\"" + o +
				"\",\"weight\":" + std::to_string(n) + "}}";
			if (!n)
				return false;
			owners[o] = n;
			return true;
		case 1:
			*json = "{\"set_entry\":{\"name\":\"" + e +
				"\",\"owner\":\"" + o +
				"\",\"class\":\"batch\",\"cpus\":" +
				std::to_string(n / 1000.0) + "}}";
			if (!n || !owners.count(o))
				return false;
			entries[e] = { o, n };
			return true;
		case 2:
			*json = "{\"del_entry\":\"" + e + "\"}";
			return entries.erase(e) == 1;
		case 3:
			*json = "{\"del_owner\":\"" + o + "\"}";
			for (auto &entry : entries)
				if (entry.second.first == o)
					return false;
			return owners.erase(o) == 1;
		case 4:
			*json = "{\"set_stop\":{\"instance\":\"" + e +
				"\",\"at\":" + std::to_string(n) + "}}";
			stops[e] = n;
			return true;
		default:
			*json = "{\"del_stop\":\"" + e + "\"}";
			return stops.erase(e) == 1;
		}
	}
	bool matches(const cat *c) const
	{
		if (c->owner_count != owners.size() ||
		    c->entry_count != entries.size() ||
		    c->stop_count != stops.size())
			return false;
		for (auto &o : owners) {
			auto *found = cat_owner(c, o.first.c_str());
			if (!found || found->weight != o.second ||
			    found->max_accel != CAT_NO_LIMIT)
				return false;
		}
		for (auto &e : entries) {
			auto *found = cat_entry(c, e.first.c_str());
			if (!found || found->owner != e.second.first ||
			    found->cpu_milli != e.second.second)
				return false;
		}
		for (auto &s : stops) {
			auto *found = cat_stop(c, s.first.c_str());
			if (!found || found->at != s.second)
				return false;
		}
		return true;
	}
};

cat *apply(const cat *c, const std::string &json, err *e)
{
	json_t *changes = cat_json(json.data(), json.size(), 1 << 20, "c", e);
	cat *next = changes ? cat_apply(c, changes, e) : nullptr;
	json_decref(changes);
	return next;
}

// Returns the error text of one change after owner "o" was added, empty if it
// is accepted.
std::string reject_error(const std::string &change)
{
	err e{};
	cat *empty = cat_new();
	cat *next = apply(
		empty, "[{\"set_owner\":{\"name\":\"o\"}}," + change + "]", &e);
	bool ok = next != nullptr;
	cat_free(next);
	cat_free(empty);
	return ok ? "" : e.text;
}

std::string entry(const std::string &rest)
{
	return "{\"set_entry\":{\"name\":\"e\",\"owner\":\"o\"," + rest + "}}";
}

std::string parse_error(const std::string &text)
{
	err e{};
	cat *c = cat_parse(text.data(), text.size(), &e);
	cat_free(c);
	return c ? "" : e.text;
}
} // namespace

// Guards against changes that are applied partially, incorrectly or in
// violation of the rules, and against a document that encoding and parsing
// alter.
RC_GTEST_PROP(Cat, EditsMatchTheOracle,
	      (const std::vector<std::vector<Op>> &edits))
{
	Oracle oracle;
	cat *now = cat_new();
	for (auto &ops : edits) {
		Oracle next = oracle;
		std::string json;
		bool ok = !ops.empty();
		// Longer arrays are nearly always rejected.
		for (size_t i = 0; i < ops.size() && i < 3; i++) {
			std::string change;
			ok = next.apply(ops[i], &change) && ok;
			json += (json.empty() ? "" : ",") + change;
		}
		err e{};
		cat *after = apply(now, "[" + json + "]", &e);
		RC_ASSERT((after != nullptr) == ok);
		RC_ASSERT(oracle.matches(now));
		if (!after)
			continue;
		RC_ASSERT(after->revision == now->revision + 1);
		oracle = next;
		size_t len;
		char *text = cat_encode(after, &len);
		cat *again = cat_parse(text, len, &e);
		free(text);
		RC_ASSERT(again != nullptr);
		RC_ASSERT(again->revision == after->revision);
		RC_ASSERT(oracle.matches(after));
		RC_ASSERT(oracle.matches(again));
		cat_free(after);
		cat_free(now);
		now = again;
	}
	cat_free(now);
}

// Guards against an invalid field that is accepted, and against an error text
// without the entry and the field.
TEST(Cat, InvalidFieldErrorsNameTheField)
{
	const std::string batch = "\"class\":\"batch\",\"cpus\":1,";
	const std::pair<std::string, std::string> cases[] = {
		{ entry("\"class\":\"service\",\"cpus\":1"), "entry e: class" },
		{ entry(batch + "\"mem\":1"), "entry e: unknown key mem" },
		{ entry(batch + "\"mem_mb\":-1"), "entry e: mem_mb" },
		{ entry(batch + "\"mem_mb\":\"1\""), "entry e: mem_mb" },
		{ entry(batch + "\"urgent\":1"), "entry e: urgent" },
		{ entry(batch + "\"accel\":99999999999"), "entry e: accel" },
		{ entry("\"class\":\"batch\",\"cpus\":1e300"),
		  "entry e: cpus" },
		{ entry("\"class\":\"batch\""), "entry e: cpus" },
		{ entry("\"class\":\"interactive\""), "entry e: upstream" },
		{ entry(batch + "\"tasks\":2"), "entry e: tasks" },
		{ entry("\"class\":\"interactive\",\"upstream\":\"u\","
			"\"hedge\":true"),
		  "entry e: hedge" },
		{ "{\"set_entry\":{\"name\":\"e\",\"owner\":\"x\","
		  "\"class\":\"batch\",\"cpus\":1}}",
		  "entry e: owner x" },
		{ "{\"set_entry\":{\"name\":\"a/b\",\"owner\":\"o\"}}",
		  "name must be" },
		{ "{\"set_owner\":{\"name\":\"p\",\"weight\":0}}",
		  "owner p: weight" },
		{ "{\"set_stop\":{\"instance\":\"i\"}}",
		  "stop i: at is missing" },
		{ "{\"set_queue\":{}}", "unknown change set_queue" },
		{ "{\"set_owner\":{\"name\":\"p\",\"name\":\"p\"}}",
		  "duplicate" },
		{ "[[[[[[[[1]]]]]]]]", "levels" },
	};
	for (auto &c : cases)
		EXPECT_NE(std::string::npos,
			  reject_error(c.first).find(c.second))
			<< c.first << " -> " << reject_error(c.first);
	EXPECT_EQ("", reject_error(entry(batch + "\"mem_mb\":5")));
}

// Guards against a malformed document from the store or a peer that is accepted
// as a whole or in part.
TEST(Cat, MalformedDocumentsAreRejected)
{
	const std::string stops = "\"owners\":[],\"entries\":[],\"stops\":";
	EXPECT_EQ("", parse_error("{\"revision\":1," + stops + "[]}"));
	EXPECT_NE("", parse_error(""));
	EXPECT_NE("", parse_error("{\"revision\":-1," + stops + "[]}"));
	EXPECT_NE("", parse_error("{\"revision\":1," + stops + "{}}"));
	EXPECT_NE("", parse_error("{\"revision\":1,\"x\":0," + stops + "[]}"));
	EXPECT_NE("", parse_error("{\"revision\":1," + stops +
				  "[{\"instance\":\"i\",\"at\":1},"
				  "{\"instance\":\"i\",\"at\":1}]}"));
	EXPECT_NE("", parse_error("{\"revision\":1," + stops + "[]}" +
				  std::string(CAT_BYTES_MAX, ' ')));
}

// Guards against zone shares whose sum exceeds the limit of an owner.
RC_GTEST_PROP(Cat, ZoneSharesAddUpToTheLimit, (uint32_t limit, uint8_t zones))
{
	uint64_t sum = 0;
	uint32_t count = zones % 64 + 1;
	RC_PRE(limit != CAT_NO_LIMIT);
	for (uint32_t i = 0; i < count; i++) {
		sum += cat_zone_share(limit, i, count);
		RC_ASSERT(!i || cat_zone_share(limit, i, count) <=
					cat_zone_share(limit, i - 1, count));
	}
	RC_ASSERT(sum == limit);
}

// Guards against a store value that is truncated, padded or accepted although
// it is malformed.
TEST(Kv, Base64IsDecodedExactly)
{
	const std::pair<std::string, std::string> good[] = {
		{ "", "" },
		{ "Zg==", "f" },
		{ "Zm8=", "fo" },
		{ "Zm9v", "foo" },
		{ "Zm9vYg==", "foob" },
		{ "+/+/", "\xfb\xff\xbf" },
	};
	buf b;
	for (auto &c : good) {
		ASSERT_TRUE(kv_base64(&b, c.first.data(), c.first.size()));
		EXPECT_EQ(c.second, std::string(b.data ? b.data : "", b.len));
		buf_free(&b);
	}
	for (std::string bad : { "Z", "Zg=", "Z===", "=Zg=", "Zg=a", "Zm\n=" })
		EXPECT_FALSE(kv_base64(&b, bad.data(), bad.size())) << bad;
	std::string most((KV_VALUE_MAX / 3 + 1) * 4, 'A');
	EXPECT_FALSE(kv_base64(&b, most.data(), most.size()));
	EXPECT_TRUE(kv_base64(&b, most.data(), most.size() - 4));
	buf_free(&b);
}
