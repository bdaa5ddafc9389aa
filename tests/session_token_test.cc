#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <cerrno>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "core/error.h"
#include "core/session_token.h"
}

namespace
{

const uint8_t key[TOKEN_KEY_BYTES] = { 1, 2, 3 };
const uint8_t other_key[TOKEN_KEY_BYTES] = { 1, 2, 4 };

/* Group numbers and positions in the order in which they are merged. */
using Merges = std::vector<std::pair<uint8_t, std::pair<uint64_t, uint64_t>>>;

std::string group_name(int i)
{
	return "group-" + std::to_string(i);
}

struct session_token make_token(int groups)
{
	struct session_token t = {};

	for (int i = 0; i < groups; i++)
		EXPECT_EQ(0, session_token_merge(&t, group_name(i).c_str(),
						 { 1, (uint64_t)i + 1 }));
	return t;
}

std::string encode(const struct session_token &t)
{
	char text[TOKEN_TEXT_BYTES];

	session_token_encode(&t, "hanbit", key, text);
	return text;
}

struct DecodeCase {
	const char *name;
	std::string text;
	const char *workspace;
	const uint8_t *key;
	int32_t error;
	uint32_t groups;
};

const std::string valid_text = encode(make_token(2));

const DecodeCase decode_cases[] = {
	{ "own token", valid_text, "hanbit", key, 0, 2 },
	{ "new session", encode(make_token(0)), "hanbit", key, 0, 0 },
	{ "all groups", encode(make_token(TOKEN_GROUPS_MAX)), "hanbit", key, 0,
	  TOKEN_GROUPS_MAX },
	{ "other workspace", valid_text, "hanbit2", key, ERR_BAD_TOKEN, 0 },
	{ "part of the workspace", valid_text, "hanbi", key, ERR_BAD_TOKEN, 0 },
	{ "other key", valid_text, "hanbit", other_key, ERR_BAD_TOKEN, 0 },
	{ "empty", "", "hanbit", key, ERR_BAD_TOKEN, 0 },
	{ "too short", "AQAA", "hanbit", key, ERR_BAD_TOKEN, 0 },
	{ "shorter by one", valid_text.substr(0, valid_text.size() - 1),
	  "hanbit", key, ERR_BAD_TOKEN, 0 },
	{ "longer by one", valid_text + "A", "hanbit", key, ERR_BAD_TOKEN, 0 },
	{ "padded", valid_text + "=", "hanbit", key, ERR_BAD_TOKEN, 0 },
	{ "space before", " " + valid_text, "hanbit", key, ERR_BAD_TOKEN, 0 },
	{ "too long", std::string(4000, 'A'), "hanbit", key, ERR_BAD_TOKEN, 0 },
	{ "not base64url", std::string(valid_text.size(), '+'), "hanbit", key,
	  ERR_BAD_TOKEN, 0 },
};

TEST(SessionToken, Decode)
{
	for (const DecodeCase &c : decode_cases) {
		struct session_token t;
		SCOPED_TRACE(c.name);
		EXPECT_EQ(c.error,
			  session_token_decode(c.text.c_str(), c.workspace,
					       c.key, &t));
		EXPECT_EQ(c.groups, t.group_count);
	}
}

TEST(SessionToken, FullTokenKeepsAllGroups)
{
	struct session_token t = make_token(TOKEN_GROUPS_MAX);

	EXPECT_FALSE(session_token_has_room(&t, "one-more"));
	EXPECT_EQ(-ENOSPC, session_token_merge(&t, "one-more", { 9, 9 }));
	EXPECT_EQ(0u, session_token_get(&t, "one-more").term);
	for (int i = 0; i < TOKEN_GROUPS_MAX; i++) {
		std::string name = group_name(i);
		EXPECT_TRUE(session_token_has_room(&t, name.c_str()));
		EXPECT_EQ(i + 1u, session_token_get(&t, name.c_str()).offset);
	}
	EXPECT_EQ(0, session_token_merge(&t, "group-3", { 2, 0 }));
	EXPECT_EQ(2u, session_token_get(&t, "group-3").term);
}

RC_GTEST_PROP(SessionToken, MergeKeepsLatestPositionAcrossRoundTrips,
	      (const Merges &merges))
{
	struct session_token t = {};
	struct position expected[TOKEN_GROUPS_MAX] = {};

	for (const auto &merge : merges) {
		int i = merge.first % TOKEN_GROUPS_MAX;
		struct position p = { merge.second.first, merge.second.second };
		struct session_token next;

		expected[i] = position_max(expected[i], p);
		RC_ASSERT(session_token_merge(&t, group_name(i).c_str(), p) ==
			  0);
		RC_ASSERT(session_token_decode(encode(t).c_str(), "hanbit", key,
					       &next) == 0);
		t = next;
		for (int g = 0; g < TOKEN_GROUPS_MAX; g++)
			RC_ASSERT(
				position_cmp(expected[g],
					     session_token_get(
						     &t,
						     group_name(g).c_str())) ==
				0);
	}
}

RC_GTEST_PROP(SessionToken, AnyFlippedBitIsRejected, ())
{
	std::string text =
		encode(make_token(*rc::gen::inRange(0, TOKEN_GROUPS_MAX + 1)));
	size_t at = *rc::gen::inRange<size_t>(0, text.size());
	struct session_token t;

	text[at] ^= (char)(1 << *rc::gen::inRange(0, 8));
	RC_ASSERT(session_token_decode(text.c_str(), "hanbit", key, &t) ==
		  ERR_BAD_TOKEN);
}

} // namespace
