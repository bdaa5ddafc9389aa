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

struct ReceivedRequest {
	uint64_t id;
	enum operator_method method;
	std::string path;
	std::string body;
};

class OperatorListener : public HttpTest
{
      protected:
	void open_listener() override
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

		t->requests_.push_back({ id, method, path, text ? text : "" });
		free(text);
	}

	HttpClient client()
	{
		return HttpClient(loop_, operator_listener_port(listener_));
	}

	struct operator_listener *listener_ = nullptr;
	std::vector<ReceivedRequest> requests_;
	bool healthy_ = true;
};

struct OwnResponseCase {
	const char *name;
	const char *method;
	const char *path;
	std::string headers;
	std::string body;
	bool healthy;
	int status;
	int32_t error; /* 0: no problem document */
};

const OwnResponseCase own_response_cases[] = {
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

TEST_F(OperatorListener, HandlesHealthMetricsAndInvalidRequests)
{
	HttpClient c = client();

	for (const OwnResponseCase &row : own_response_cases) {
		SCOPED_TRACE(row.name);
		healthy_ = row.healthy;
		c.send_all(format_request(row.method, row.path, row.headers,
					  row.body));
		HttpResponse r = c.receive();
		EXPECT_EQ(row.status, r.status) << r.body;
		EXPECT_EQ(row.error ? std::to_string(row.error) : "",
			  r.json_field("error"));
		EXPECT_EQ(row.error ? "not_run" : "", r.json_field("verdict"));
	}
	EXPECT_TRUE(requests_.empty());
	c.send_all(format_request("GET", "/metrics", "", ""));
	EXPECT_EQ("requests_total 3\n", c.receive().body);
}

struct ForwardedCase {
	const char *name;
	const char *method;
	const char *body;
	enum operator_method expected_method;
	int32_t error;
	const char *reply_body; /* JSON text; NULL: none */
	int status;
	const char *field;
	const char *value;
};

const ForwardedCase forwarded_cases[] = {
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

TEST_F(OperatorListener, ForwardsRequestsOfOperators)
{
	HttpClient c = client();

	for (const ForwardedCase &row : forwarded_cases) {
		SCOPED_TRACE(row.name);
		requests_.clear();
		c.send_all(format_request(row.method, "/v1/profiles/a", AUTH,
					  row.body));
		ASSERT_TRUE(run_loop_until(loop_,
					   [&] { return !requests_.empty(); }));
		EXPECT_EQ(row.expected_method, requests_[0].method);
		EXPECT_EQ("/v1/profiles/a", requests_[0].path);
		EXPECT_EQ(row.body, requests_[0].body);
		operator_listener_reply(listener_, requests_[0].id, row.error,
					row.reply_body ?
						json_loads(row.reply_body, 0,
							   nullptr) :
						nullptr);
		HttpResponse r = c.receive();
		EXPECT_EQ(row.status, r.status) << r.body;
		EXPECT_EQ(row.value, r.json_field(row.field));
	}
}

TEST_F(OperatorListener, IgnoresRepliesToUnknownOrAnsweredRequests)
{
	HttpClient c = client();

	c.send_all(format_request("GET", "/v1/a", AUTH, ""));
	ASSERT_TRUE(run_loop_until(loop_, [&] { return !requests_.empty(); }));
	operator_listener_reply(listener_, requests_[0].id + 1, 0,
				json_object());
	operator_listener_reply(listener_, requests_[0].id, 0, nullptr);
	operator_listener_reply(listener_, requests_[0].id, 0, json_object());
	EXPECT_EQ("{}", c.receive().body);
	c.send_all(format_request("GET", "/healthz", "", ""));
	EXPECT_EQ("ok", c.receive().json_field("status"));
	EXPECT_EQ("", c.unread());
}

} // namespace
