#include "platform_harness.h"

#include <algorithm>

namespace
{

TEST(PlatformClient, LoadsAllPagesThenFollowsChanges)
{
	PlatformProcess p;
	const int count = 450;

	for (int i = 0; i < count; i++)
		p.send_command("put /zinnialine/workspace/w" +
			       std::to_string(i) + " " + WORKSPACE_RATE_1);
	p.send_command("put /zinnialine/workspace/bad {\"rate\":1}");
	p.send_command("put /zinnialine/instance/fake {\"leaving\":true}");
	p.send_command("instance endpoint-1 leaving");
	Client c({ p.address() });

	EXPECT_TRUE(c.wait_until([&] { return c.sync_count > 0; }));
	EXPECT_EQ((size_t)count + 1, c.records.size());
	EXPECT_TRUE(c.has_record("instance/endpoint-1"));
	EXPECT_EQ(std::stoll(p.send_command("revision")), c.synced.revision);
	p.send_command(put_command(WORKSPACE_A_KEY, WORKSPACE_RATE_2));
	p.send_command("delete /zinnialine/workspace/w7");
	p.send_command("instance endpoint-1 gone");
	EXPECT_TRUE(c.wait_until([&] {
		return c.get_rate("workspace/a") == 2 &&
		       !c.has_record("workspace/w7") &&
		       !c.has_record("instance/endpoint-1");
	}));
	EXPECT_TRUE(c.wait_until_synced());
	EXPECT_EQ(std::stoll(p.send_command("revision")), c.synced.revision);
	EXPECT_FALSE(c.revision_decreased);
	EXPECT_TRUE(c.reachable);
}

struct ChangeCase {
	const char *name;
	const char *stored; /* value before the change, or NULL */
	bool deleted; /* the change is a deletion */
	/* Expected minus stored revision, or ANY_REVISION. */
	int64_t expected_offset;
	const char *fault; /* control command, or NULL */
	enum platform_outcome outcome;
	bool has_current; /* the outcome comes with the stored record */
	const char *stored_after; /* value, or "none" */
};

const int64_t ANY_REVISION = INT64_MIN;
const char WORKSPACE_RATE_2_SORTED[] =
	"{\"burst_milli\":1,\"rate_milli_per_s\":2,\"weight\":1}";

const ChangeCase change_cases[] = {
	{ "create", nullptr, false, 0, nullptr, PLATFORM_APPLIED, false,
	  WORKSPACE_RATE_2_SORTED },
	{ "create what exists", WORKSPACE_RATE_1, false, -100, nullptr,
	  PLATFORM_REFUSED, true, WORKSPACE_RATE_1 },
	{ "change", WORKSPACE_RATE_1, false, 0, nullptr, PLATFORM_APPLIED,
	  false, WORKSPACE_RATE_2_SORTED },
	{ "change of an older revision", WORKSPACE_RATE_1, false, -1, nullptr,
	  PLATFORM_REFUSED, true, WORKSPACE_RATE_1 },
	{ "change of any revision", WORKSPACE_RATE_1, false, ANY_REVISION,
	  nullptr, PLATFORM_APPLIED, false, WORKSPACE_RATE_2_SORTED },
	{ "delete", WORKSPACE_RATE_1, true, 0, nullptr, PLATFORM_APPLIED, false,
	  "none" },
	{ "delete of an older revision", WORKSPACE_RATE_1, true, -1, nullptr,
	  PLATFORM_REFUSED, true, WORKSPACE_RATE_1 },
	{ "delete what does not exist", nullptr, true, ANY_REVISION, nullptr,
	  PLATFORM_REFUSED, false, "none" },
	{ "create, answer lost", nullptr, false, 0, "lose 1", PLATFORM_APPLIED,
	  false, WORKSPACE_RATE_2_SORTED },
	{ "change, answer lost", WORKSPACE_RATE_1, false, 0, "lose 1",
	  PLATFORM_APPLIED, false, WORKSPACE_RATE_2_SORTED },
	{ "any change, answer lost", WORKSPACE_RATE_1, false, ANY_REVISION,
	  "lose 1", PLATFORM_APPLIED, false, WORKSPACE_RATE_2_SORTED },
	{ "delete, answer lost", WORKSPACE_RATE_1, true, 0, "lose 1",
	  PLATFORM_APPLIED, false, "none" },
	{ "any delete, answer lost", WORKSPACE_RATE_1, true, ANY_REVISION,
	  "lose 1", PLATFORM_APPLIED, false, "none" },
	{ "refused change, answer lost", WORKSPACE_RATE_1, false, -1, "lose 1",
	  PLATFORM_UNKNOWN, true, WORKSPACE_RATE_1 },
	{ "both answers lost", WORKSPACE_RATE_1, false, 0, "lose 2",
	  PLATFORM_UNKNOWN, false, WORKSPACE_RATE_2_SORTED },
	{ "outage", WORKSPACE_RATE_1, false, 0, "outage on", PLATFORM_UNKNOWN,
	  false, WORKSPACE_RATE_1 },
};

TEST(PlatformClient, AppliesOrRefusesChanges)
{
	for (const ChangeCase &t : change_cases) {
		SCOPED_TRACE(t.name);
		PlatformProcess p;
		int64_t expected = t.expected_offset;

		if (t.stored)
			p.send_command(put_command(WORKSPACE_A_KEY, t.stored));
		Client c({ p.address() });

		ASSERT_TRUE(c.wait_until([&] { return c.sync_count > 0; }));
		if (expected == ANY_REVISION)
			expected = -1;
		else if (t.stored)
			expected = std::max<int64_t>(
				0,
				expected + c.records["workspace/a"].revision);
		if (t.fault)
			p.send_command(t.fault);
		ChangeResult got = c.change_record(make_workspace("a", 2),
						   t.deleted, expected);
		EXPECT_EQ(t.outcome, got.outcome);
		EXPECT_EQ(t.has_current, got.has_current);
		EXPECT_EQ(t.stored_after, p.send_command(std::string("get ") +
							 WORKSPACE_A_KEY));
	}
}

const int64_t ANY_REVISION_EXPECTED = -1;

struct SlowLinkCase {
	const char *name;
	bool starts; /* the client starts; else it is cut off meanwhile */
};

const SlowLinkCase slow_link_cases[] = {
	{ "load", true },
	{ "changes after a gap", false },
};

/* What takes longer than a call's timeout to arrive is not given up. */
TEST(PlatformClient, FollowsManyRecordsOverASlowLink)
{
	for (const SlowLinkCase &k : slow_link_cases) {
		PlatformProcess p;
		const size_t count = 600;

		SCOPED_TRACE(k.name);
		if (k.starts)
			p.send_command("link 50000");
		Client c({ p.address() });
		if (!k.starts) {
			EXPECT_TRUE(c.wait_until_synced());
			p.send_command("outage on");
			EXPECT_TRUE(c.wait_until([&] { return !c.reachable; }));
			p.send_command("link 50000");
		}
		for (size_t i = 0; i < count; i++)
			p.send_command("put /zinnialine/workspace/w" +
				       std::to_string(i) + " " +
				       WORKSPACE_RATE_1);
		p.send_command("outage off");
		EXPECT_TRUE(c.wait_until(
			[&] { return c.records.size() == count; }));
		EXPECT_TRUE(c.wait_until_synced());
	}
}

struct record make_endpoint(const char *group, const char *name, uint32_t slots)
{
	struct record r = {};

	r.kind = RECORD_ENDPOINT;
	snprintf(r.endpoint.group, sizeof(r.endpoint.group), "%s", group);
	snprintf(r.endpoint.name, sizeof(r.endpoint.name), "%s", name);
	snprintf(r.endpoint.zone, sizeof(r.endpoint.zone), "z");
	snprintf(r.endpoint.address, sizeof(r.endpoint.address), "10.0.0.1:1");
	r.endpoint.slots = slots;
	r.endpoint.connections_max = 1;
	return r;
}

struct GuardCase {
	const char *name;
	const char *group; /* of the other operator's change; NULL: none */
	const char *endpoint;
	bool deleted;
	enum platform_outcome outcome;
};

const GuardCase guard_cases[] = {
	{ "nothing else changed", nullptr, "", false, PLATFORM_APPLIED },
	{ "one was added", "g", "e-4", false, PLATFORM_REFUSED },
	{ "one was deleted", "g", "e-2", true, PLATFORM_REFUSED },
	{ "one was changed", "g", "e-2", false, PLATFORM_REFUSED },
	{ "one of another group was added", "h", "e-4", false,
	  PLATFORM_APPLIED },
};

/* The second of two operators' changes of a group's endpoints is refused. */
TEST(PlatformClient, RefusesAChangeOfAnUnknownEndpointSet)
{
	for (const GuardCase &k : guard_cases) {
		PlatformProcess p;
		Client c({ p.address() });
		struct endpoint_version members[2] = { { "e-1", 0 },
						       { "e-2", 0 } };
		struct endpoint_guard guard = { "g", 0, members, 2 };

		SCOPED_TRACE(k.name);
		ASSERT_TRUE(c.wait_until([&] { return c.sync_count > 0; }));
		for (auto &m : members) {
			m.revision =
				c.change_record(make_endpoint("g", m.name, 1),
						false, 0)
					.revision;
			guard.revision = m.revision;
		}
		if (k.group)
			c.change_record(make_endpoint(k.group, k.endpoint, 2),
					k.deleted, ANY_REVISION_EXPECTED);
		EXPECT_EQ(k.outcome,
			  c.change_record(make_endpoint("g", "e-3", 1), false,
					  0, &guard)
				  .outcome);
	}
}

} // namespace
