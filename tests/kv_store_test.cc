#include "http_client.h"

#include <map>
#include <vector>

extern "C" {
#include "../platform/kv_store.h"
#include "../platform/record_json.h"
#include "http/http_server.h"
#include "proxy/store_position.h"
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
		a.text = strdup(t->answer_.c_str());
		if (!t->era_.empty())
			a.headers[0] = { "Store-Era", t->era_.c_str() };
		http_server_send_response(t->server_, http_request_id(r), &a);
	}

	/* Makes a change and returns its puts, as the server received them. */
	std::vector<struct store_item> make_change(const struct store_change &c)
	{
		struct store *s = kv_store_get_store(kv_);
		std::vector<struct store_item> items;
		int64_t revision = 0;
		s->ops->change(
			s, &c,
			[](void *data, const struct store_answer *a) {
				*static_cast<int64_t *>(data) = a->revision;
			},
			&revision);
		EXPECT_TRUE(run_loop_until(loop_, [&] { return revision; }));
		EXPECT_EQ("/kv-txn", path_);
		yajl_val body = json_tree_parse(body_.c_str(), body_.size());
		yajl_val puts = json_tree_get(body, "puts");
		for (size_t i = 0; i < json_tree_count(puts); i++) {
			yajl_val put = json_tree_at(puts, i);

			items.emplace_back();
			record_read_item(put, &items.back());
			EXPECT_EQ(0, json_tree_get_int(put, "lease", -1));
		}
		yajl_tree_free(body);
		return items;
	}

	struct http_server *server_ = nullptr;
	struct kv_store *kv_ = nullptr;
	std::string path_;
	std::string body_;
	std::string answer_ = "{\"revision\":9}";
	std::string era_; /* header of the answers; "": none */
};

struct EraHeaderCase {
	const char *header;
	uint32_t era; /* as read */
};

/* The first one is read last known era 0; the last ones are no numbers. */
const EraHeaderCase era_headers[] = {
	{ "", 0 }, { "1", 1 }, { "7", 7 }, { "x", 7 }, { "99999999", 7 },
};

TEST_F(KvStore, ReadsTheEraOfEveryAnswer)
{
	struct store *s = kv_store_get_store(kv_);

	for (const EraHeaderCase &k : era_headers) {
		struct store_answer got = {};

		SCOPED_TRACE(k.header);
		era_ = k.header;
		answer_ = "{\"lease\":4,\"ttl_ms\":1000}";
		got.lease = 0;
		s->ops->lease(
			s, US_PER_S,
			[](void *data, const struct store_answer *a) {
				*static_cast<struct store_answer *>(data) = *a;
			},
			&got);
		EXPECT_TRUE(run_loop_until(loop_, [&] { return got.lease; }));
		EXPECT_EQ(k.era, got.era);
	}
}

/*
 * A condition on a revision of an earlier era must not hold because the store
 * has given that revision out again.
 */
TEST_F(KvStore, ConditionsOfAnEarlierEraDoNotHold)
{
	const struct limit_entry entry = {};
	struct store_change c = {};
	int64_t expected[2];
	int i = 0;

	c.put_limits = &entry;
	for (const char *era : { "1", "2" }) {
		era_ = era;
		make_change(c); /* its answer brings the era */
		c.limits_revision = store_position_make(1, 9);
		make_change(c);
		yajl_val body = json_tree_parse(body_.c_str(), body_.size());
		expected[i++] = json_tree_get_int(
			json_tree_at(json_tree_get(body, "expected_rev"), 0),
			"revision", -1);
		yajl_tree_free(body);
	}
	EXPECT_EQ(9, expected[0]);
	EXPECT_EQ(store_position_make(1, 9), expected[1]);
}

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

/*
 * A record of the limits replaces only the entry that the writer has seen, so
 * that a write which is carried out late replaces nothing newer.
 */
TEST_F(KvStore, PutsTheRecordOfLimitsOnlyOverTheKnownOne)
{
	const struct limit_entry limits = { 2, true, {} };
	struct store_change c = {};
	std::vector<struct store_item> items;

	c.put_limits = &limits;
	c.limits_revision = 41;
	items = make_change(c);
	ASSERT_EQ(1u, items.size());
	EXPECT_EQ(ITEM_LIMITS, items[0].kind);
	EXPECT_EQ(2u, items[0].limits.size_class);
	yajl_val body = json_tree_parse(body_.c_str(), body_.size());
	yajl_val conditions = json_tree_get(body, "expected_rev");
	ASSERT_EQ(1u, json_tree_count(conditions));
	yajl_val condition = json_tree_at(conditions, 0);
	EXPECT_STREQ(LIMITS_KEY, json_tree_get_text(condition, "key"));
	EXPECT_EQ(41, json_tree_get_int(condition, "revision", -1));
	yajl_tree_free(body);
}

std::string item_text(const std::string &key, const std::string &value,
		      int revision)
{
	g_autofree char *base64 =
		g_base64_encode(reinterpret_cast<const guchar *>(value.data()),
				value.size());

	return "{\"key\":\"" + key + "\",\"value\":\"" + base64 +
	       "\",\"revision\":" + std::to_string(revision) + "}";
}

std::string endpoint_text(const std::string &slots, const std::string &port)
{
	return "{\"service\":\"svc\",\"address\":\"10.0.0.1:" + port +
	       "\",\"zone\":\"a\",\"slots\":" + slots +
	       ",\"state\":\"ready\",\"sequence\":1,\"born\":7," +
	       "\"db_role\":\"replica\"}";
}

/* An endpoint's entry as another writer may leave it. */
const std::string odd_values[] = {
	std::string(500 * 1000, '['),
	"{\"service\":" + std::string(100 * 1000, '[') +
		std::string(100 * 1000, ']') + "}",
	endpoint_text("1e999", "5"),
	endpoint_text("99999999999999999999", "5"),
	endpoint_text("4294967300", "5"),
	endpoint_text("4", "99999"),
	endpoint_text("4", "-1"),
	std::string("\0\xff", 2),
	"",
};

/*
 * Guards against one odd entry that ends the process, hides the entries beside
 * it or stops the instance from following the list.
 */
TEST_F(KvStore, OddEntriesLeaveTheOthersInUse)
{
	using Slots = std::map<std::string, uint32_t>; /* 0: not readable */
	struct store *s = kv_store_get_store(kv_);
	int revision = 1;
	Slots seen;
	auto collect = [](void *data, const struct store_answer *a) {
		auto *out = static_cast<Slots *>(data);

		EXPECT_EQ(STORE_DONE, a->outcome);
		for (uint32_t i = 0; i < a->item_count; i++)
			(*out)[a->items[i].name] =
				a->items[i].readable ?
					a->items[i].upstream.slots :
					0;
		(*out)["answered"] = 1;
	};

	answer_ = "{\"as_of\":50,\"has_more\":false,\"items\":[" +
		  item_text("servers/a", endpoint_text("3", "5"), revision);
	for (const std::string &value : odd_values) {
		std::string key = "servers/odd" + std::to_string(++revision);

		answer_ += "," + item_text(key, value, revision);
	}
	answer_ += "," + item_text("servers/z", endpoint_text("4", "6"), 40) +
		   "]}";
	s->ops->list(s, "", collect, &seen);
	EXPECT_TRUE(run_loop_until(loop_, [&] { return seen["answered"]; }));
	EXPECT_EQ(3u, seen["a"]);
	EXPECT_EQ(4u, seen["z"]);
	EXPECT_EQ(0u, seen["odd2"]);
	for (const std::string &value : odd_values) {
		seen.clear();
		answer_ = "{\"as_of\":60,\"events\":[" +
			  item_text("servers/odd", value, 55) + "," +
			  item_text("servers/a", endpoint_text("5", "5"), 56) +
			  "]}";
		s->ops->watch(s, 50, US_PER_S, collect, &seen);
		EXPECT_TRUE(run_loop_until(loop_,
					   [&] { return seen["answered"]; }));
		EXPECT_EQ(5u, seen["a"]);
		EXPECT_EQ(1u, seen.count("odd"));
		EXPECT_EQ(0u, seen["odd"]);
	}
}

struct SlowAnswerCase {
	const char *name;
	int pieces; /* of ten that are sent */
	enum store_outcome outcome;
};

const SlowAnswerCase slow_answer_cases[] = {
	{ "arrives slowly", 10, STORE_DONE },
	{ "never begins", 0, STORE_UNKNOWN },
	{ "stops half way", 5, STORE_UNKNOWN },
};

/* A server that sends the answer to its only call in pieces. */
class SlowStore : public HttpTest
{
      protected:
	static constexpr int64_t CALL_TIMEOUT_US = 100 * US_PER_MS;
	static constexpr int64_t PIECE_INTERVAL_US = 40 * US_PER_MS;
	static constexpr int PIECES = 10;

	void open_listener() override
	{
		struct sockaddr_in sa = {};
		socklen_t len = sizeof(sa);
		struct proxy_adapter_opts adapter = {};

		sa.sin_family = AF_INET;
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		ASSERT_EQ(0,
			  bind(listener_, (struct sockaddr *)&sa, sizeof(sa)));
		ASSERT_EQ(0, listen(listener_, 4));
		getsockname(listener_, (struct sockaddr *)&sa, &len);
		std::string address =
			"127.0.0.1:" + std::to_string(ntohs(sa.sin_port));
		adapter.loop = loop_;
		adapter.store_address = address.c_str();
		adapter.promotions_address = address.c_str();
		adapter.call_timeout_us = CALL_TIMEOUT_US;
		kv_ = kv_store_new(&adapter);
		loop_watch(loop_, listener_, LOOP_READ, on_connection, this);
		timer_ = loop_timer_add(loop_, send_piece, this);
	}

	void TearDown() override
	{
		kv_store_free(kv_);
		loop_unwatch(loop_, listener_);
		close(listener_);
		if (conn_ >= 0)
			close(conn_);
		HttpTest::TearDown();
	}

	static void on_connection(void *data, int)
	{
		auto *t = static_cast<SlowStore *>(data);
		int fd = accept(t->listener_, nullptr, nullptr);

		if (fd < 0)
			return;
		if (t->conn_ >= 0)
			close(t->conn_);
		t->conn_ = fd;
		t->sent_ = 0;
		loop_timer_set(t->timer_, loop_now_us() + PIECE_INTERVAL_US);
	}

	static void send_piece(void *data, int64_t now_us)
	{
		auto *t = static_cast<SlowStore *>(data);
		const std::string body = "{\"items\":[],\"has_more\":false,"
					 "\"as_of\":7777777777777777}";
		size_t piece = (body.size() + PIECES - 1) / PIECES;
		std::string out;

		char request[4096];
		ssize_t n =
			recv(t->conn_, request, sizeof(request), MSG_DONTWAIT);

		if (n > 0)
			t->request_.assign(request, (size_t)n);
		if (t->sent_ >= t->pieces_)
			return;
		if (!t->sent_)
			out = "HTTP/1.1 200 OK\r\nContent-Length: " +
			      std::to_string(body.size()) + "\r\n\r\n";
		out += body.substr(std::min(body.size(), t->sent_ * piece),
				   piece);
		t->sent_++;
		EXPECT_EQ((ssize_t)out.size(),
			  send(t->conn_, out.data(), out.size(), MSG_NOSIGNAL));
		loop_timer_set(t->timer_, now_us + PIECE_INTERVAL_US);
	}

	struct kv_store *kv_ = nullptr;
	struct loop_timer *timer_ = nullptr;
	int listener_ = -1;
	int conn_ = -1;
	int pieces_ = 0;
	int sent_ = 0;
	std::string request_;
};

/* Asking for the store's revision must not cost the whole configuration. */
TEST_F(SlowStore, ProbeDoesNotReadTheConfiguration)
{
	struct store *s = kv_store_get_store(kv_);
	bool answered = false;

	pieces_ = PIECES;
	s->ops->probe(
		s,
		[](void *data, const struct store_answer *) {
			*static_cast<bool *>(data) = true;
		},
		&answered);
	EXPECT_TRUE(run_loop_until(loop_, [&] { return answered; }));
	EXPECT_EQ(0u, request_.find("GET /")) << request_;
	EXPECT_EQ(std::string::npos, request_.find("op/config")) << request_;
}

/* A call's timeout counts from the last part of its answer. */
TEST_F(SlowStore, AnswerIsNotGivenUpWhileItArrives)
{
	struct store *s = kv_store_get_store(kv_);

	for (const SlowAnswerCase &k : slow_answer_cases) {
		struct Result {
			bool answered;
			enum store_outcome outcome;
		} result = {};
		int64_t start_us = loop_now_us();

		SCOPED_TRACE(k.name);
		pieces_ = k.pieces;
		s->ops->list(
			s, "",
			[](void *data, const struct store_answer *a) {
				*static_cast<Result *>(data) = { true,
								 a->outcome };
			},
			&result);
		EXPECT_TRUE(
			run_loop_until(loop_, [&] { return result.answered; }));
		EXPECT_EQ(k.outcome, result.outcome);
		EXPECT_LT(loop_now_us() - start_us,
			  PIECE_INTERVAL_US * (PIECES + 1) +
				  4 * CALL_TIMEOUT_US);
	}
}

struct PaceCase {
	const char *name;
	int64_t bytes_per_s; /* 0: not paced */
	int64_t paced_us;
	int64_t min_us; /* duration of the call */
	int64_t max_us;
};

/* For an answer of 400 kB. */
const PaceCase pace_cases[] = {
	{ "as it arrives", 0, 0, 0, 3 * US_PER_S },
	{ "paced to the end", 800 * 1000, 10 * US_PER_S, 400 * US_PER_MS,
	  3 * US_PER_S },
	{ "paced at first", 100 * 1000, 400 * US_PER_MS, 400 * US_PER_MS,
	  3 * US_PER_S },
};

/* A large answer leaves room on the link, but is not too late. */
TEST_F(KvStore, LargeAnswerIsReadAtItsPace)
{
	answer_ = "{\"as_of\":9,\"has_more\":false,\"items\":[],\"x\":\"" +
		  std::string(400 * 1000, 'x') + "\"}";
	for (const PaceCase &k : pace_cases) {
		struct proxy_adapter_opts o = {};
		std::string address = "127.0.0.1:" +
				      std::to_string(http_server_port(server_));
		int64_t start_us = loop_now_us();
		int64_t revision = 0;

		SCOPED_TRACE(k.name);
		o.loop = loop_;
		o.store_address = address.c_str();
		o.promotions_address = address.c_str();
		o.call_timeout_us = 5 * US_PER_S;
		o.paced_bytes_per_s = k.bytes_per_s;
		o.paced_us = k.paced_us;
		struct kv_store *paced = kv_store_new(&o);
		struct store *s = kv_store_get_store(paced);
		s->ops->list(
			s, "",
			[](void *data, const struct store_answer *a) {
				*static_cast<int64_t *>(data) = a->revision;
			},
			&revision);
		EXPECT_TRUE(run_loop_until(loop_, [&] { return revision; }));
		EXPECT_EQ(9, revision);
		EXPECT_GE(loop_now_us() - start_us, k.min_us);
		EXPECT_LT(loop_now_us() - start_us, k.max_us);
		kv_store_free(paced);
	}
}

} // namespace
