#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "http_client.h"

extern "C" {
#include "core/error.h"
#include "http/bearer.h"
#include "http/operator_listener.h"
}

namespace
{

const std::string AUTH = "Authorization: Bearer op-key\r\n";

struct Seen {
	uint64_t id;
	enum operator_method method;
	std::string path;
	std::string body;
};

class OperatorListener : public HttpTest
{
      protected:
	void listen() override
	{
		struct operator_listener_opts o = {};

		o.loop = loop_;
		o.address = "127.0.0.1:0";
		o.body_max_bytes = 1024;
		bearer_hash_key("op-key", o.key_digest);
		o.on_request = on_request;
		o.get_metrics = [](void *) {
			return strdup("requests_total 3\n");
		};
		o.is_healthy = [](void *data) {
			return static_cast<OperatorListener *>(data)->healthy_;
		};
		o.data = this;
		ASSERT_EQ(0, operator_listener_new(&listener_, &o, pool_));
	}

	static void on_request(void *data, uint64_t id,
			       enum operator_method method, const char *path,
			       const json_t *body)
	{
		auto *t = static_cast<OperatorListener *>(data);
		char *text = body ? json_dumps(body, JSON_COMPACT) : nullptr;

		t->seen_.push_back({ id, method, path, text ? text : "" });
		free(text);
	}

	HttpClient client()
	{
		return HttpClient(loop_, operator_listener_port(listener_));
	}

	struct operator_listener *listener_ = nullptr;
	std::vector<Seen> seen_;
	bool healthy_ = true;
};

struct DirectCase {
	const char *name;
	const char *method;
	const char *path;
	std::string headers;
	std::string body;
	bool healthy;
	int status;
	int32_t error; /* 0: no problem document */
};

const DirectCase direct_cases[] = {
	{ "healthy", "GET", "/healthz", "", "", true, 200, 0 },
	{ "not healthy", "GET", "/healthz", "", "", false, 503, 0 },
	{ "metrics", "GET", "/metrics", "", "", true, 200, 0 },
	{ "no key", "GET", "/v1/profiles", "", "", true, 401,
	  ERR_BAD_OPERATOR },
	{ "wrong key", "GET", "/v1/profiles",
	  "Authorization: Bearer op-kez\r\n", "", true, 401, ERR_BAD_OPERATOR },
	{ "empty key", "GET", "/v1/profiles", "Authorization: Bearer \r\n", "",
	  true, 401, ERR_BAD_OPERATOR },
	{ "key without scheme", "GET", "/v1/profiles",
	  "Authorization: op-key\r\n", "", true, 401, ERR_BAD_OPERATOR },
	{ "other path", "GET", "/v2/profiles", AUTH, "", true, 404,
	  ERR_NO_ROUTE },
	{ "other method", "PATCH", "/v1/profiles", AUTH, "", true, 404,
	  ERR_NO_ROUTE },
	{ "health by POST", "POST", "/healthz", AUTH, "", true, 404,
	  ERR_NO_ROUTE },
	{ "malformed JSON", "PUT", "/v1/profiles/a", AUTH, "{", true, 400,
	  ERR_BAD_JSON },
	{ "large body", "PUT", "/v1/profiles/a", AUTH, std::string(1025, ' '),
	  true, 413, ERR_BODY_TOO_LARGE },
};

TEST_F(OperatorListener, AnswersByItself)
{
	HttpClient c = client();

	for (const DirectCase &row : direct_cases) {
		SCOPED_TRACE(row.name);
		healthy_ = row.healthy;
		c.send_all(
			http_text(row.method, row.path, row.headers, row.body));
		HttpResponse r = c.receive();
		EXPECT_EQ(row.status, r.status) << r.body;
		EXPECT_EQ(row.error ? std::to_string(row.error) : "",
			  r.field("error"));
		EXPECT_EQ(row.error ? "not_run" : "", r.field("verdict"));
	}
	EXPECT_TRUE(seen_.empty());
	c.send_all(http_text("GET", "/metrics", "", ""));
	EXPECT_EQ("requests_total 3\n", c.receive().body);
}

struct PassedCase {
	const char *name;
	const char *method;
	const char *body;
	enum operator_method seen_method;
	int32_t error;
	const char *answer; /* NULL: none */
	int status;
	const char *field;
	const char *value;
};

const PassedCase passed_cases[] = {
	{ "get", "GET", "", OPERATOR_GET, 0, "{\"name\":\"a\"}", 200, "name",
	  "a" },
	{ "put", "PUT", "{\"rate\":5}", OPERATOR_PUT, 0, nullptr, 200, "name",
	  "" },
	{ "delete", "DELETE", "", OPERATOR_DELETE, ERR_NOT_FOUND, nullptr, 404,
	  "verdict", "not_run" },
	{ "post", "POST", "[1]", OPERATOR_POST, ERR_CONFLICT,
	  "{\"detail\":\"revision is 7\"}", 409, "detail", "revision is 7" },
	{ "unknown outcome", "PUT", "{}", OPERATOR_PUT, ERR_PLATFORM_UNKNOWN,
	  nullptr, 504, "verdict", "may_have_run" },
	{ "stored only", "PUT", "{}", OPERATOR_PUT, ERR_NOT_IN_FORCE, nullptr,
	  504, "verdict", "ran" },
};

TEST_F(OperatorListener, PassesOnRequestsOfOperators)
{
	HttpClient c = client();

	for (const PassedCase &row : passed_cases) {
		SCOPED_TRACE(row.name);
		seen_.clear();
		c.send_all(http_text(row.method, "/v1/profiles/a", AUTH,
				     row.body));
		ASSERT_TRUE(pump(loop_, [&] { return !seen_.empty(); }));
		EXPECT_EQ(row.seen_method, seen_[0].method);
		EXPECT_EQ("/v1/profiles/a", seen_[0].path);
		EXPECT_EQ(row.body, seen_[0].body);
		operator_listener_reply(listener_, seen_[0].id, row.error,
					row.answer ? json_loads(row.answer, 0,
								nullptr) :
						     nullptr);
		HttpResponse r = c.receive();
		EXPECT_EQ(row.status, r.status) << r.body;
		EXPECT_EQ(row.value, r.field(row.field));
	}
}

TEST_F(OperatorListener, DropsAnswersThatHaveNoOwner)
{
	HttpClient c = client();

	c.send_all(http_text("GET", "/v1/a", AUTH, ""));
	ASSERT_TRUE(pump(loop_, [&] { return !seen_.empty(); }));
	operator_listener_reply(listener_, seen_[0].id + 1, 0, json_object());
	operator_listener_reply(listener_, seen_[0].id, 0, nullptr);
	operator_listener_reply(listener_, seen_[0].id, 0, json_object());
	EXPECT_EQ("{}", c.receive().body);
	c.send_all(http_text("GET", "/healthz", "", ""));
	EXPECT_EQ("ok", c.receive().field("status"));
	EXPECT_EQ("", c.rest());
}

} // namespace
