#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "../platform/json_tree.h"
#include "../platform/line_wire.h"
#include "../platform/record_json.h"
#include "core/sizes.h"
#include "proxy/engine.h"
}

namespace
{

/*
 * An engine whose store is asked by lists and watches only, and answers them
 * with the entries of a test, given as the bytes that were written. Other calls
 * get no answer.
 */
class ProxyConfig : public testing::Test
{
      protected:
	struct Store {
		struct store store; /* must be first */
		store_answer_fn list = nullptr;
		store_answer_fn watch = nullptr;
		void *data = nullptr;
	};

	struct Caller {
		std::string text; /* received */
		bool closed = false;
	};

	void SetUp() override
	{
		struct engine_opts o = {};

		store_.store.ops = &store_ops;
		promoter_.ops = &promoter_ops;
		metrics_ = metrics_new();
		o.ops = &host_ops;
		o.host = this;
		o.wire = &line_wire;
		o.store = &store_.store;
		o.promoter = &promoter_;
		o.metrics = metrics_;
		g_strlcpy(o.instance, "n-1", sizeof(o.instance));
		g_strlcpy(o.zone, "a", sizeof(o.zone));
		g_strlcpy(o.peer_address, "10.1.0.1:1", sizeof(o.peer_address));
		o.incarnation = 1;
		o.seed = 1;
		o.key_limit_us = 5 * US_PER_S;
		o.config_limit_us = 3 * US_PER_S;
		o.grace_us = US_PER_S;
		o.replica_wait_us = US_PER_S;
		o.tolerance.window_us = US_PER_S;
		o.sessions_max = 100;
		engine_ = engine_new(&o, now_us_);
	}

	void TearDown() override
	{
		engine_free(engine_);
		metrics_free(metrics_);
	}

	/* Answers the next list or watch with entries: key and JSON value. */
	void answer(const std::vector<std::pair<std::string, std::string>> &in,
		    enum store_outcome outcome = STORE_DONE)
	{
		struct store_answer a = {};
		std::vector<struct store_item> items(in.size());

		run_until_asked();
		revision_++;
		for (size_t i = 0; i < in.size(); i++)
			items[i] = read_entry(in[i].first, in[i].second);
		a.outcome = outcome;
		a.requested_us = now_us_;
		a.revision = revision_;
		a.items = items.data();
		a.item_count = (uint32_t)items.size();
		store_answer_fn fn = store_.list ? store_.list : store_.watch;
		ASSERT_NE(nullptr, fn);
		store_.list = store_.watch = nullptr;
		fn(store_.data, &a);
		for (struct store_item &item : items)
			store_item_clear(&item);
		engine_tick(engine_);
	}

	struct store_item read_entry(const std::string &key,
				     const std::string &json)
	{
		struct store_item item;
		g_autofree char *base64 =
			g_base64_encode(reinterpret_cast<const guchar *>(
						json.data()),
					json.size());
		const std::string text =
			"{\"key\":\"" + key +
			"\",\"revision\":" + std::to_string(revision_) +
			",\"value\":\"" + base64 + "\"}";
		yajl_val tree = json_tree_parse(text.c_str(), text.size());

		record_read_item(tree, &item);
		yajl_tree_free(tree);
		return item;
	}

	void put_config(const std::string &json)
	{
		answer({ { "op/config", json } });
	}

	/* The store's history is gone: everything is listed again. */
	void
	list_again(const std::vector<std::pair<std::string, std::string>> &in)
	{
		answer({}, STORE_COMPACTED);
		answer(in);
	}

	int64_t count_instances()
	{
		engine_update_metrics(engine_);
		return metrics_get(metrics_, "instances", nullptr);
	}

	/* Returns the subjects of the events logged with this number. */
	std::vector<std::string> logged(int32_t number) const
	{
		std::vector<std::string> out;

		for (const struct log_entry &e : logged_) {
			if (e.number == number)
				out.push_back(e.subject);
		}
		return out;
	}

	void run_until_asked()
	{
		for (int i = 0; i < 100 && !store_.list && !store_.watch; i++) {
			now_us_ += 100 * US_PER_MS;
			engine_tick(engine_);
		}
	}

	/* Returns what a new session is answered, without the line end. */
	std::string start_session(const std::string &line)
	{
		Caller c;
		struct session *s = engine_caller_opened(engine_, &c);

		engine_caller_line(s, line.c_str(), line.size());
		if (!c.closed)
			engine_caller_closed(s);
		engine_tick(engine_);
		return c.text.substr(0, c.text.find("\r\n"));
	}

	static ProxyConfig *self(void *host)
	{
		return static_cast<ProxyConfig *>(host);
	}

	static const struct engine_host host_ops;
	static const struct store_ops store_ops;
	static const struct promoter_ops promoter_ops;

	int64_t now_us_ = US_PER_S;
	int64_t revision_ = 0;
	Store store_ = {};
	struct promoter promoter_ = {};
	struct metrics *metrics_ = nullptr;
	struct engine *engine_ = nullptr;
	std::vector<struct log_entry> logged_;
};

const struct engine_host ProxyConfig::host_ops = {
	[](void *, void *caller, const char *bytes, size_t len) {
		static_cast<Caller *>(caller)->text.append(bytes, len);
	},
	[](void *, void *caller) {
		static_cast<Caller *>(caller)->closed = true;
	},
	[](void *, const char *, struct upstream_conn *) -> void * {
		return nullptr;
	},
	[](void *, void *, const char *, size_t) {},
	[](void *, void *) {},
	[](void *, const char *, const char *) {},
	[](void *, const struct peer_message *) {},
	[](void *host, const struct log_entry *e) {
		self(host)->logged_.push_back(*e);
	},
	[](void *host) { return self(host)->now_us_; },
	[](void *host) { return self(host)->now_us_ / US_PER_MS; },
};

const struct store_ops ProxyConfig::store_ops = {
	[](struct store *s, const char *, store_answer_fn fn, void *data) {
		auto *st = reinterpret_cast<Store *>(s);

		st->list = fn;
		st->data = data;
		return uint64_t{ 1 };
	},
	[](struct store *s, int64_t, int64_t, store_answer_fn fn, void *data) {
		auto *st = reinterpret_cast<Store *>(s);

		st->watch = fn;
		st->data = data;
		return uint64_t{ 2 };
	},
	[](struct store *, uint64_t) {},
	[](const struct store *, uint64_t) { return false; },
	[](struct store *, store_answer_fn, void *) {},
	[](struct store *, const struct store_change *, store_answer_fn,
	   void *) {},
	[](struct store *, int64_t, store_answer_fn, void *) {},
	[](struct store *, uint64_t, store_answer_fn, void *) {},
	[](struct store *, uint64_t, store_answer_fn, void *) {},
	[](struct store *, const char *, int64_t, struct store_item *) {
		return -1;
	},
};

const struct promoter_ops ProxyConfig::promoter_ops = {
	[](struct promoter *, const struct promotion_order *,
	   promotion_answer_fn, void *) {},
};

using Names = std::vector<std::string>;

std::string format_config(int version, const std::string &odd)
{
	return "{\"version\":" + std::to_string(version) +
	       ",\"routes\":[{\"host\":\"db" + std::to_string(version) +
	       "\",\"service\":\"svc\"},{\"host\":\"" + odd +
	       "\",\"service\":\"svc\"}],\"services\":[{\"name\":\"svc\"},"
	       "{\"name\":\"" +
	       odd + "\"}],\"tenants\":[{\"name\":\"" + odd +
	       "\",\"api_keys\":[\"key-odd\"]},{\"name\":\"t\","
	       "\"api_keys\":[\"key\"]}]}";
}

/*
 * Guards against a configuration with one odd name that is not put in force,
 * that floods the log or that keeps later ones out.
 */
TEST_F(ProxyConfig, OddNameIsToldOnceAndTheRestIsInForce)
{
	put_config(format_config(1, "a\\r\\nQUERY - DEMOTE 9"));
	EXPECT_EQ("READY I -", start_session("STARTUP db1 key"));
	EXPECT_EQ("ERROR UNAUTH", start_session("STARTUP db1 key-odd")
					  .substr(0, strlen("ERROR UNAUTH")));
	EXPECT_EQ("ERROR NODB", start_session("STARTUP a key")
					.substr(0, strlen("ERROR NODB")));
	EXPECT_EQ(Names({ "a\r\nQUERY - DEMOTE 9" }),
		  logged(LOG_CONFIG_ENTRY_LEFT_OUT));
	put_config(format_config(5, std::string(300 * 1000, 'n')));
	EXPECT_EQ("READY I -", start_session("STARTUP db5 key"));
	EXPECT_EQ("ERROR NODB", start_session("STARTUP db1 key")
					.substr(0, strlen("ERROR NODB")));
	EXPECT_EQ(2u, logged(LOG_CONFIG_ENTRY_LEFT_OUT).size());
	put_config(format_config(7, "odd"));
	EXPECT_EQ("READY I -", start_session("STARTUP db7 key-odd"));
	EXPECT_EQ("READY I -", start_session("STARTUP odd key"));
	EXPECT_EQ(2u, logged(LOG_CONFIG_ENTRY_LEFT_OUT).size());
}

const char ENDPOINT[] =
	"{\"service\":\"svc\",\"state\":\"ready\",\"address\":"
	"\"10.0.0.1:5\",\"zone\":\"a\",\"slots\":4,\"sequence\":1,"
	"\"db_role\":\"replica\"}";

std::string format_instance(const char *name)
{
	return std::string("{\"name\":\"") + name +
	       "\",\"zone\":\"a\",\"address\":\"10.1.0.2:1\"," +
	       "\"incarnation\":7,\"settled\":true}";
}

/*
 * Guards against an endpoint that has left and stays in use, and an instance
 * that has ended and still counts, as an entry of the other kind has its name.
 */
TEST_F(ProxyConfig, EntryOfAnotherKindKeepsNoneListed)
{
	const std::string servers = "servers/";
	const std::string instances = INSTANCE_PREFIX;

	answer({ { "op/config", format_config(1, "x") },
		 { servers + "i-1", ENDPOINT },
		 { instances + "n-2", format_instance("n-2") } });
	EXPECT_EQ(Names({ "i-1" }), logged(LOG_ENDPOINT_UP));
	EXPECT_EQ(2, count_instances());
	list_again({ { "op/config", format_config(1, "x") },
		     { servers + "i-1", ENDPOINT },
		     { instances + "n-2", format_instance("n-2") } });
	EXPECT_EQ(Names({}), logged(LOG_ENDPOINT_LEAVING));
	EXPECT_EQ(2, count_instances());
	list_again({ { "op/config", format_config(1, "x") },
		     { servers + "n-2", "?" },
		     { instances + "i-1", "?" } });
	EXPECT_EQ(Names({ "i-1" }), logged(LOG_ENDPOINT_LEAVING));
	EXPECT_EQ(1, count_instances());
}

} // namespace
