/* platform_harness.h - runs a platform client on its own event loop. */
#ifndef TESTS_PLATFORM_HARNESS_H
#define TESTS_PLATFORM_HARNESS_H

#include "platform_process.h"

#include <gtest/gtest.h>

#include <apr_general.h>
#include <functional>
#include <map>
#include <string>
#include <string.h>
#include <vector>

extern "C" {
#include "base/loop.h"
#include "etcd/platform_client.h"
#include "etcd/record_codec.h"
}

inline const char PREFIX[] = "/zinnialine/";
inline const char WORKSPACE_A_KEY[] = "/zinnialine/workspace/a";
inline const char WORKSPACE_RATE_1[] =
	"{\"rate_milli_per_s\":1,\"burst_milli\":1,\"weight\":1}";
inline const char WORKSPACE_RATE_2[] =
	"{\"rate_milli_per_s\":2,\"burst_milli\":1,\"weight\":1}";
inline const int64_t CALL_TIMEOUT_US = 400 * US_PER_MS;
inline const int64_t WAIT_MAX_US = 30 * US_PER_S;

/* Outcome of an operator's change, as passed to on_change_result(). */
struct ChangeResult {
	int calls = 0; /* of the callback */
	enum platform_outcome outcome = PLATFORM_UNKNOWN;
	int64_t revision = 0;
	bool has_current = false;
	struct record current = {};
};

inline void on_change_result(void *data, enum platform_outcome outcome,
			     int64_t revision, const struct record *current)
{
	ChangeResult *c = static_cast<ChangeResult *>(data);

	c->calls++;
	c->outcome = outcome;
	c->revision = revision;
	c->has_current = current != nullptr;
	if (current)
		c->current = *current;
}

inline struct record make_workspace(const char *name, uint32_t rate_milli_per_s)
{
	struct record r = {};

	r.kind = RECORD_WORKSPACE;
	snprintf(r.workspace.name, sizeof(r.workspace.name), "%s", name);
	r.workspace.rate_milli_per_s = rate_milli_per_s;
	r.workspace.burst_milli = 1;
	r.workspace.weight = 1;
	return r;
}

/* A platform client on its own loop; records the events that it emits. */
class Client
{
      public:
	std::map<std::string, struct record> records;
	/* Of puts and deletions below PREFIX, in order of arrival. */
	std::vector<int64_t> revisions;
	std::vector<struct platform_result> results;
	struct config_synced synced = {};
	struct lease_renewal renewal = {};
	/* Synced revision at each renewal, by the renewal's asked_us. */
	std::map<int64_t, int64_t> synced_at_renewal;
	int sync_count = 0;
	int renewal_count = 0;
	bool revision_decreased = false;
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

	bool wait_until(const std::function<bool()> &condition)
	{
		int64_t end_us = loop_now_us() + WAIT_MAX_US;

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

	/* Waits for a sync that was requested after this call. */
	bool wait_until_synced()
	{
		int64_t now_us = loop_now_us();

		return wait_until([&] { return synced.requested_us > now_us; });
	}

	bool has_record(const char *path) const
	{
		return records.count(path) > 0;
	}

	uint32_t get_rate(const char *path) const
	{
		auto i = records.find(path);

		return i == records.end() ?
			       0 :
			       i->second.workspace.rate_milli_per_s;
	}

	ChangeResult change_record(const struct record &r, bool deleted,
				   int64_t expected,
				   const struct endpoint_guard *guard = nullptr)
	{
		ChangeResult c;

		platform_client_change_record(client, &r, deleted, expected,
					      guard, on_change_result, &c);
		EXPECT_TRUE(wait_until([&] { return c.calls > 0; }));
		return c;
	}

	struct platform_result run_operation(const struct platform_start &p)
	{
		size_t before = results.size();

		platform_client_start_operation(client, &p);
		EXPECT_TRUE(
			wait_until([&] { return results.size() > before; }));
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
		EXPECT_TRUE(wait_until([&] { return left; }));
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
		static_cast<Client *>(data)->handle_event(e);
	}

	void check_revision_order(const struct record *r)
	{
		if (r->kind == RECORD_INSTANCE)
			return;
		if (!revisions.empty() && r->revision < revisions.back())
			revision_decreased = true;
		revisions.push_back(r->revision);
	}

	void handle_event(const struct event *e)
	{
		char path[RECORD_PATH_BYTES];

		switch (e->type) {
		case EVENT_RECORD_PUT:
			check_revision_order(e->record);
			record_to_path(e->record, path, sizeof(path));
			records[path] = *e->record;
			break;
		case EVENT_RECORD_DELETED:
			check_revision_order(e->record);
			record_to_path(e->record, path, sizeof(path));
			records.erase(path);
			break;
		case EVENT_CONFIG_SYNCED:
			if (e->synced.revision < synced.revision)
				revision_decreased = true;
			synced = e->synced;
			sync_count++;
			break;
		case EVENT_LEASE_RENEWED:
			renewal = e->lease;
			synced_at_renewal[renewal.requested_us] =
				synced.revision;
			renewal_count++;
			break;
		case EVENT_PLATFORM_RESULT:
			results.push_back(*e->platform);
			break;
		default:
			ADD_FAILURE() << "unexpected event " << e->type;
		}
	}
};

inline std::string put_command(const char *key, const char *value)
{
	return std::string("put ") + key + " " + value;
}

#endif
