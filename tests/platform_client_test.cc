#include "platform_harness.h"

#include <algorithm>

namespace
{

TEST(PlatformClient, LoadsAllPagesThenFollowsChanges)
{
	PlatformProcess p;
	const int count = 450;

	for (int i = 0; i < count; i++)
		p.command("put /zinnialine/workspace/w" + std::to_string(i) +
			  " " + WORKSPACE_1);
	p.command("put /zinnialine/workspace/bad {\"rate\":1}");
	p.command("put /zinnialine/instance/fake {\"leaving\":true}");
	p.command("instance endpoint-1 leaving");
	Client c({ p.address() });

	EXPECT_TRUE(c.until([&] { return c.syncs > 0; }));
	EXPECT_EQ((size_t)count + 1, c.records.size());
	EXPECT_TRUE(c.has("instance/endpoint-1"));
	EXPECT_EQ(std::stoll(p.command("revision")), c.synced.revision);
	p.command(put(WORKSPACE_A, WORKSPACE_2));
	p.command("delete /zinnialine/workspace/w7");
	p.command("instance endpoint-1 gone");
	EXPECT_TRUE(c.until([&] {
		return c.rate_of("workspace/a") == 2 &&
		       !c.has("workspace/w7") && !c.has("instance/endpoint-1");
	}));
	EXPECT_TRUE(c.until_synced());
	EXPECT_EQ(std::stoll(p.command("revision")), c.synced.revision);
	EXPECT_FALSE(c.went_backwards);
	EXPECT_TRUE(c.reachable);
}

struct ChangeCase {
	const char *name;
	const char *stored; /* value before the change, or NULL */
	bool deleted;
	int64_t expected_offset; /* from the stored revision; ANY_REVISION */
	const char *fault; /* control command, or NULL */
	enum platform_outcome outcome;
	bool has_current;
	const char *stored_after;
};

const int64_t ANY_REVISION = INT64_MIN;
const char WORKSPACE_2_SORTED[] =
	"{\"burst_milli\":1,\"rate_milli_per_s\":2,\"weight\":1}";

const ChangeCase change_cases[] = {
	{ "create", nullptr, false, 0, nullptr, PLATFORM_APPLIED, false,
	  WORKSPACE_2_SORTED },
	{ "create what exists", WORKSPACE_1, false, -100, nullptr,
	  PLATFORM_REFUSED, true, WORKSPACE_1 },
	{ "change", WORKSPACE_1, false, 0, nullptr, PLATFORM_APPLIED, false,
	  WORKSPACE_2_SORTED },
	{ "change of an older revision", WORKSPACE_1, false, -1, nullptr,
	  PLATFORM_REFUSED, true, WORKSPACE_1 },
	{ "change of any revision", WORKSPACE_1, false, ANY_REVISION, nullptr,
	  PLATFORM_APPLIED, false, WORKSPACE_2_SORTED },
	{ "delete", WORKSPACE_1, true, 0, nullptr, PLATFORM_APPLIED, false,
	  "none" },
	{ "delete of an older revision", WORKSPACE_1, true, -1, nullptr,
	  PLATFORM_REFUSED, true, WORKSPACE_1 },
	{ "delete what does not exist", nullptr, true, ANY_REVISION, nullptr,
	  PLATFORM_REFUSED, false, "none" },
	{ "create, answer lost", nullptr, false, 0, "lose 1", PLATFORM_APPLIED,
	  false, WORKSPACE_2_SORTED },
	{ "change, answer lost", WORKSPACE_1, false, 0, "lose 1",
	  PLATFORM_APPLIED, false, WORKSPACE_2_SORTED },
	{ "any change, answer lost", WORKSPACE_1, false, ANY_REVISION, "lose 1",
	  PLATFORM_APPLIED, false, WORKSPACE_2_SORTED },
	{ "delete, answer lost", WORKSPACE_1, true, 0, "lose 1",
	  PLATFORM_APPLIED, false, "none" },
	{ "any delete, answer lost", WORKSPACE_1, true, ANY_REVISION, "lose 1",
	  PLATFORM_APPLIED, false, "none" },
	{ "refused change, answer lost", WORKSPACE_1, false, -1, "lose 1",
	  PLATFORM_UNKNOWN, true, WORKSPACE_1 },
	{ "both answers lost", WORKSPACE_1, false, 0, "lose 2",
	  PLATFORM_UNKNOWN, false, WORKSPACE_2_SORTED },
	{ "outage", WORKSPACE_1, false, 0, "outage on", PLATFORM_UNKNOWN, false,
	  WORKSPACE_1 },
};

TEST(PlatformClient, Changes)
{
	for (const ChangeCase &t : change_cases) {
		SCOPED_TRACE(t.name);
		PlatformProcess p;
		int64_t expected = t.expected_offset;

		if (t.stored)
			p.command(put(WORKSPACE_A, t.stored));
		Client c({ p.address() });

		ASSERT_TRUE(c.until([&] { return c.syncs > 0; }));
		if (expected == ANY_REVISION)
			expected = -1;
		else if (t.stored)
			expected = std::max<int64_t>(
				0,
				expected + c.records["workspace/a"].revision);
		if (t.fault)
			p.command(t.fault);
		Change got = c.change(workspace("a", 2), t.deleted, expected);
		EXPECT_EQ(t.outcome, got.outcome);
		EXPECT_EQ(t.has_current, got.has_current);
		EXPECT_EQ(t.stored_after,
			  p.command(std::string("get ") + WORKSPACE_A));
	}
}

} // namespace
