#include <gtest/gtest.h>

#include <string>

#include <msgpack.h>
#include <rapidcheck/gtest.h>

#include "mpcheck.h"

namespace
{

bool check(const std::string &bytes)
{
	return mp_check(bytes.data(), bytes.size());
}

} // namespace

/*
 * Guards against a message of a few bytes that takes all memory: the size of a
 * map or array is allocated when its header is read.
 */
TEST(MpCheck, AnnouncedElementsMustFitTheBytesLeft)
{
	EXPECT_FALSE(check("\xdf\xff\xff\xff\xff"));
	EXPECT_FALSE(check("\xdd\xff\xff\xff\xff" + std::string(100, '\x01')));
	EXPECT_FALSE(check("\x82\x01\x02\x03"));
	EXPECT_TRUE(check("\x82\x01\x02\x03\x04"));
	EXPECT_TRUE(check(std::string("\xdc\x00\x02\x01\x02", 5)));
	EXPECT_FALSE(check(std::string("\xdc\x00\x02\x01", 4)));
	/* Each level announces what only one of them can have. */
	EXPECT_FALSE(check(std::string("\xdc\x00\x05\xdc\x00\x05\x01\x01\x01"
				       "\x01\x01\x01",
				       12)));
}

TEST(MpCheck, TruncatedObjectsAreRejected)
{
	EXPECT_FALSE(check(""));
	EXPECT_FALSE(check("\xc1"));
	EXPECT_FALSE(check("\xa3"
			   "ab"));
	EXPECT_FALSE(check("\xc6\xff\xff\xff\xff"
			   "ab"));
	EXPECT_FALSE(check("\xcb\x01\x02"));
	EXPECT_FALSE(check("\xd8\x01\x02"));
	EXPECT_TRUE(check("\xc0"));
	EXPECT_TRUE(check("\xd4\x01\x02"));
}

/* The check accepts exactly the bytes that msgpack-c can unpack. */
RC_GTEST_PROP(MpCheck, AgreesWithTheUnpacker, (const std::string &bytes))
{
	msgpack_unpacked unpacked;
	msgpack_unpack_return rc;
	bool ok = check(bytes);

	if (!ok && bytes.find_first_of("\xdd\xdf") != std::string::npos)
		return; /* may ask for too much memory */
	msgpack_unpacked_init(&unpacked);
	rc = msgpack_unpack_next(&unpacked, bytes.data(), bytes.size(),
				 nullptr);
	msgpack_unpacked_destroy(&unpacked);
	if (rc == MSGPACK_UNPACK_SUCCESS)
		RC_ASSERT(ok);
	else if (rc != MSGPACK_UNPACK_NOMEM_ERROR)
		RC_ASSERT(!ok);
}
