#include "platform_process.h"

#include <gtest/gtest.h>

#include <apr_general.h>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string.h>
#include <vector>

extern "C" {
#include "base/loop.h"
#include "etcd/platform_client.h"
#include "etcd/record_codec.h"
}

namespace
{

const char PREFIX[] = "/zinnialine/";
const char WORKSPACE_A[] = "/zinnialine/workspace/a";
const char WORKSPACE_1[] =
	"{\"rate_milli_per_s\":1,\"burst_milli\":1,\"weight\":1}";
const char WORKSPACE_2[] =
	"{\"rate_milli_per_s\":2,\"burst_milli\":1,\"weight\":1}";
const int64_t CALL_TIMEOUT_US = 400 * US_PER_MS;
const int64_t CAP_US = 30 * US_PER_S;

struct Change {
	int calls = 0;
	enum platform_outcome outcome = PLATFORM_UNKNOWN;
	int64_t revision = 0;
	bool has_current = false;
	struct record current = {};
};

void on_change(void *data, enum platform_outcome outcome, int64_t revision,
	       const struct record *current)
{
	Change *c = static_cast<Change *>(data);

	c->calls++;
	c->outcome = outcome;
	c->revision = revision;
	c->has_current = current != nullptr;
	if (current)
		c->current = *current;
}

struct record workspace(const char *name, uint32_t rate_milli_per_s)
{
	struct record r = {};

	r.kind = RECORD_WORKSPACE;
	snprintf(r.workspace.name, sizeof(r.workspace.name), "%s", name);
	r.workspace.rate_milli_per_s = rate_milli_per_s;
	r.workspace.burst_milli = 1;
	r.workspace.weight = 1;
	return r;
}

/* A client on a loop of its own, with all that it reported. */
class Client
{
      public:
	std::map<std::string, struct record> records;
	std::vector<int64_t> revisions; /* of puts and deletions below PREFIX */
	std::vector<struct platform_result> results;
	struct config_synced synced = {};
	struct lease_renewal lease = {};
	int syncs = 0;
	int leases = 0;
	bool went_backwards = false;
	bool reachable = false;
	bool left = false;

	explicit Client(const std::vector<std::string> &addresses,
			const char *member = nullptr, uint64_t incarnation = 1)
	    : addresses_(addresses)
	{
		struct platform_client_opts o = {};

		apr_initialize();
		apr_pool_create(&pool_, nullptr);
		EXPECT_EQ(0, loop_new(&loop_, pool_));
		for (const std::string &a : addresses_)
			address_list_.push_back(a.c_str());
		o.loop = loop_;
		o.addresses = address_list_.data();
		o.address_count = (uint32_t)address_list_.size();
		o.prefix = PREFIX;
		o.instances_prefix = "/platform/instances/";
		o.call_timeout_us = CALL_TIMEOUT_US;
		o.lease_ttl_us = member ? 2 * US_PER_S : 0;
		snprintf(o.member.name, sizeof(o.member.name), "%s",
			 member ? member : "none");
		snprintf(o.member.zone, sizeof(o.member.zone), "daejeon-a");
		snprintf(o.member.address, sizeof(o.member.address),
			 "127.0.0.1:7000");
		o.member.incarnation = incarnation;
		o.on_event = on_event;
		o.on_reachable = on_reachable;
		o.data = this;
		EXPECT_EQ(0, platform_client_new(&client, &o, pool_));
	}

	Client(const Client &) = delete;
	Client &operator=(const Client &) = delete;

	~Client()
	{
		apr_pool_destroy(pool_);
	}

	bool until(const std::function<bool()> &condition)
	{
		int64_t end_us = loop_now_us() + CAP_US;

		while (!condition() && loop_now_us() < end_us)
			loop_run_once(loop_, 10 * US_PER_MS);
		return condition();
	}

	void run_for(int64_t time_us)
	{
		int64_t end_us = loop_now_us() + time_us;

		while (loop_now_us() < end_us)
			loop_run_once(loop_, 10 * US_PER_MS);
	}

	/* True once a question asked after now was answered completely. */
	bool until_synced()
	{
		int64_t now_us = loop_now_us();

		return until([&] { return synced.asked_us > now_us; });
	}

	bool has(const char *path) const
	{
		return records.count(path) > 0;
	}

	uint32_t rate_of(const char *path) const
	{
		auto i = records.find(path);

		return i == records.end() ?
			       0 :
			       i->second.workspace.rate_milli_per_s;
	}

	Change change(const struct record &r, bool deleted, int64_t expected)
	{
		Change c;

		platform_client_change(client, &r, deleted, expected, on_change,
				       &c);
		EXPECT_TRUE(until([&] { return c.calls > 0; }));
		return c;
	}

	struct platform_result operate(const struct platform_start &p)
	{
		size_t before = results.size();

		platform_client_start(client, &p);
		EXPECT_TRUE(until([&] { return results.size() > before; }));
		return results.empty() ? platform_result() : results.back();
	}

	void leave()
	{
		platform_client_leave(
			client,
			[](void *data) {
				static_cast<Client *>(data)->left = true;
			},
			this);
		EXPECT_TRUE(until([&] { return left; }));
	}

	struct platform_client *client = nullptr;

      private:
	std::vector<std::string> addresses_;
	std::vector<const char *> address_list_;
	apr_pool_t *pool_ = nullptr;
	struct loop *loop_ = nullptr;

	static void on_reachable(void *data, bool reachable)
	{
		static_cast<Client *>(data)->reachable = reachable;
	}

	static void on_event(void *data, const struct event *e)
	{
		static_cast<Client *>(data)->take(e);
	}

	void note_revision(const struct record *r)
	{
		if (r->kind == RECORD_INSTANCE)
			return;
		if (!revisions.empty() && r->revision < revisions.back())
			went_backwards = true;
		revisions.push_back(r->revision);
	}

	void take(const struct event *e)
	{
		char path[RECORD_PATH_BYTES];

		switch (e->type) {
		case EVENT_RECORD_PUT:
			note_revision(e->record);
			record_path(e->record, path, sizeof(path));
			records[path] = *e->record;
			break;
		case EVENT_RECORD_DELETED:
			note_revision(e->record);
			record_path(e->record, path, sizeof(path));
			records.erase(path);
			break;
		case EVENT_CONFIG_SYNCED:
			if (e->synced.revision < synced.revision)
				went_backwards = true;
			synced = e->synced;
			syncs++;
			break;
		case EVENT_LEASE:
			lease = e->lease;
			leases++;
			break;
		case EVENT_PLATFORM_RESULT:
			results.push_back(*e->platform);
			break;
		default:
			ADD_FAILURE() << "unexpected event " << e->type;
		}
	}
};

std::string put(const char *key, const char *value)
{
	return std::string("put ") + key + " " + value;
}

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
