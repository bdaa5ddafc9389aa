#include "http_client.h"

#include <vector>

extern "C" {
#include "../platform/kv_store.h"
#include "../platform/record_json.h"
#include "http/http_server.h"
}

namespace
{

/* The client of the store, with a server that accepts every change. */
class KvStore : public HttpTest
{
      protected:
	void open_listener() override
	{
		struct http_server_opts o = {};
		struct proxy_adapter_opts adapter = {};

		o.loop = loop_;
		o.address = "127.0.0.1:0";
		o.body_max_bytes = 65536;
		o.header_max_bytes = 4096;
		o.connections_max = 4;
		o.idle_timeout_us = 10 * US_PER_S;
		o.on_request = on_request;
		o.on_disconnect = [](void *, uint64_t) {};
		o.data = this;
		ASSERT_EQ(0, http_server_new(&server_, &o, pool_));
		std::string address = "127.0.0.1:" +
				      std::to_string(http_server_port(server_));

		adapter.loop = loop_;
		adapter.store_address = address.c_str();
		adapter.promotions_address = address.c_str();
		adapter.call_timeout_us = 5 * US_PER_S;
		kv_ = kv_store_new(&adapter);
	}

	void TearDown() override
	{
		kv_store_free(kv_);
		HttpTest::TearDown();
	}

	static void on_request(void *data, struct http_request *r)
	{
		auto *t = static_cast<KvStore *>(data);
		size_t len = 0;
		const char *body = http_request_body(r, &len);
		struct http_response a = {};

		t->path_ = http_request_path(r);
		t->body_.assign(body, len);
		a.status = 200;
		a.content_type = "application/json";
		a.text = strdup("{\"revision\":9}");
		http_server_send_response(t->server_, http_request_id(r), &a);
	}

	/* Makes a change and returns its puts, as the server received them. */
	std::vector<struct store_item> make_change(const struct store_change &c)
	{
		struct store *s = kv_store_get_store(kv_);
		std::vector<struct store_item> items;
		int64_t revision = 0;
		const json_t *put;
		size_t i;

		s->ops->change(
			s, &c,
			[](void *data, const struct store_answer *a) {
				*static_cast<int64_t *>(data) = a->revision;
			},
			&revision);
		EXPECT_TRUE(run_loop_until(loop_, [&] { return revision; }));
		EXPECT_EQ("/kv-txn", path_);
		json_t *body = json_loads(body_.c_str(), 0, nullptr);
		json_array_foreach(json_object_get(body, "puts"), i, put)
		{
			items.emplace_back();
			record_read_item(put, &items.back());
			EXPECT_EQ(0, json_integer_value(
					     json_object_get(put, "lease")));
		}
		json_decref(body);
		return items;
	}

	struct http_server *server_ = nullptr;
	struct kv_store *kv_ = nullptr;
	std::string path_;
	std::string body_;
};

/* Both entries are of `service` and have no lease, though the change has. */
TEST_F(KvStore, PutsTheChoiceAndTheReplicaSetOfAService)
{
	struct upstream_entry member = { "i-1", "svc", "10.0.0.1:80", "z",
					 4,	false, ROLE_PRIMARY,  1700 };
	const struct replica_set_entry set = { &member, 1 };
	const struct choice_entry choice = { "i-7", 12 };

	for (bool has_choice : { false, true }) {
		for (bool has_set : { false, true }) {
			struct store_change c = {};
			std::vector<enum store_item_kind> expected;
			std::vector<enum store_item_kind> kinds;

			SCOPED_TRACE(has_choice);
			SCOPED_TRACE(has_set);
			c.service = "svc";
			c.lease = 5;
			if (has_choice) {
				c.put_choice = &choice;
				expected.push_back(ITEM_CHOICE);
			}
			if (has_set) {
				c.put_replica_set = &set;
				expected.push_back(ITEM_REPLICA_SET);
			}
			for (struct store_item &i : make_change(c)) {
				kinds.push_back(i.kind);
				EXPECT_TRUE(i.readable);
				EXPECT_STREQ("svc", i.name);
				if (i.kind == ITEM_REPLICA_SET) {
					ASSERT_EQ(1u, i.replica_set.count);
					EXPECT_STREQ(
						"i-1",
						i.replica_set.members[0].id);
				}
				store_item_clear(&i);
			}
			EXPECT_EQ(expected, kinds);
		}
	}
}

} // namespace
