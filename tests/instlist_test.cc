#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "instlist/instlist.h"
#include "msg.h"
}

namespace
{

std::string item(const std::string &id, const std::string &addr,
		 const std::string &cpus = "8")
{
	return R"({"id":")" + id + R"(","kind":"worker","az":"a","addr":")" +
	       addr + R"(","state":"live","cpus":)" + cpus + "}";
}

/* The ids of the instances that a list names, or "refused". */
std::string read(const std::string &items)
{
	std::string text = "[" + items + "]";
	std::string ids;
	struct err err = {};
	struct inst_list *list =
		instlist_parse(text.data(), text.size(), "a", &err);

	if (!list)
		return "refused";
	for (uint32_t i = 0; i < list->count; i++)
		ids += std::string(list->items[i].id) + " ";
	shared_unref(list);
	return ids;
}

} // namespace

/* Guards against a list that is followed no longer for one odd item. */
TEST(Instlist, MalformedItemIsLeftOut)
{
	const std::string good = item("w1", "10.0.0.1:80") + ",";
	std::string nested(1000, '[');

	nested += std::string(1000, ']');
	EXPECT_EQ(read(good + item("w2", "10.0.0.2:80")), "w1 w2 ");
	EXPECT_EQ(read(good + item("w2", "10.0.0.2:65536")), "w1 ");
	EXPECT_EQ(read(good + item("w2", "10.0.0.2:0")), "w1 ");
	EXPECT_EQ(read(good + item("w2", "10.0.0.2")), "w1 ");
	EXPECT_EQ(read(good + item("w2", "10.0.0.2:80", "4294967296")), "w1 ");
	EXPECT_EQ(read(good + item("w2", "10.0.0.2:80", "-1")), "w1 ");
	EXPECT_EQ(read(good + item("w2", "10.0.0.2:80", nested)), "w1 ");
	EXPECT_EQ(read(good + "7"), "w1 ");
}

/* Guards against instances that all seem to be gone. */
TEST(Instlist, ListWithoutAReadableItemIsRefused)
{
	EXPECT_EQ(read("7"), "refused");
	EXPECT_EQ(read(""), "");
}
