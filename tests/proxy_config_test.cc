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
 * An engine whose store holds only a configuration, given as the bytes that an
 * operator writes. Other calls to the store get no answer.
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

	/* The store gets a configuration, and the engine learns of it. */
	void put_config(const std::string &json)
	{
		struct store_answer a = {};
		struct store_item item;
		g_autofree char *base64 =
			g_base64_encode(reinterpret_cast<const guchar *>(
						json.data()),
					json.size());
		const std::string text =
			"{\"key\":\"op/config\",\"revision\":" +
			std::to_string(++revision_) + ",\"value\":\"" + base64 +
			"\"}";
		yajl_val tree = json_tree_parse(text.c_str(), text.size());

		run_until_asked();
		record_read_item(tree, &item);
		yajl_tree_free(tree);
		a.outcome = STORE_DONE;
		a.requested_us = now_us_;
		a.revision = revision_;
		a.items = &item;
		a.item_count = 1;
		store_answer_fn fn = store_.list ? store_.list : store_.watch;
		ASSERT_NE(nullptr, fn);
		store_.list = store_.watch = nullptr;
		fn(store_.data, &a);
		store_item_clear(&item);
		engine_tick(engine_);
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
	std::vector<struct log_entry> left_out_; /* logged */
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
		if (e->number == LOG_CONFIG_ENTRY_LEFT_OUT)
			self(host)->left_out_.push_back(*e);
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
	ASSERT_EQ(1u, left_out_.size());
	EXPECT_STREQ("a\r\nQUERY - DEMOTE 9", left_out_[0].subject);
	EXPECT_EQ(3, left_out_[0].value);
	put_config(format_config(5, std::string(300 * 1000, 'n')));
	EXPECT_EQ("READY I -", start_session("STARTUP db5 key"));
	EXPECT_EQ("ERROR NODB", start_session("STARTUP db1 key")
					.substr(0, strlen("ERROR NODB")));
	ASSERT_EQ(2u, left_out_.size());
	EXPECT_EQ(2, left_out_[1].value); /* no endpoint is told a database */
	put_config(format_config(7, "odd"));
	EXPECT_EQ("READY I -", start_session("STARTUP db7 key-odd"));
	EXPECT_EQ("READY I -", start_session("STARTUP odd key"));
	EXPECT_EQ(2u, left_out_.size());
}

} // namespace
