#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "http_client.h"

extern "C" {
#include "core/session_token.h"
#include "http/bearer.h"
#include "http/caller_listener.h"
}

namespace
{

const char PROFILE[] = "Zinnialine-Profile: fresh\r\n";
const char KEY[] = "Authorization: Bearer k1\r\n";
const char SQL[] = "{\"sql\": \"select 1\"}";
const int64_t DEFAULT_US = 5 * US_PER_S;
const int64_t MAX_US = 60 * US_PER_S;
const char READ[] = "/v1/groups/orders/read";

const uint8_t token_key[TOKEN_KEY_BYTES] = { 7 };
const std::string AUTH = std::string(PROFILE) + KEY;

struct ReceivedRequest {
	struct request_opts opts;
	std::string sql;
	std::vector<std::string> params;
	std::string workspace;
	std::string request_id;
};

class CallerListener : public HttpTest
{
      protected:
	void open_listener() override
	{
		struct caller_listener_opts o = {};

		o.loop = loop_;
		o.address = "127.0.0.1:0";
		memcpy(o.token_key, token_key, sizeof(o.token_key));
		o.body_max_bytes = 4096;
		o.header_max_bytes = 2048;
		o.statement_max_bytes = 1024;
		o.connections_max = 64;
		o.deadline_default_us = DEFAULT_US;
		o.deadline_max_us = MAX_US;
		o.idle_timeout_us = 60 * US_PER_S;
		o.on_request = on_request;
		o.on_disconnect = on_disconnect;
		o.find_workspace = find_workspace;
		o.data = this;
		ASSERT_EQ(0, caller_listener_new(&listener_, &o, pool_));
	}

	static void on_request(void *data, const struct request_opts *r,
			       struct statement *s)
	{
		auto *t = static_cast<CallerListener *>(data);
		ReceivedRequest seen = {
			*r, s->sql, {}, s->workspace, s->request_id
		};

		for (uint32_t i = 0; i < s->param_count; i++)
			seen.params.push_back(s->params[i] ? s->params[i] :
							     "NULL");
		statement_free(s);
		t->requests_.push_back(seen);
		if (t->stop_on_request_)
			caller_listener_stop_accepting(t->listener_);
		if (t->reply_immediately_)
			t->reply(seen.opts.caller_id, 0, VERDICT_RAN);
	}

	static void on_disconnect(void *data, uint64_t caller_id)
	{
		static_cast<CallerListener *>(data)->disconnected_.push_back(
			caller_id);
	}

	static int32_t find_workspace(void *data, const uint8_t *digest,
				      const char *profile, char *workspace)
	{
		if (!digest && strcmp(profile, "open"))
			return ERR_NO_KEY;
		strcpy(workspace, digest ? "hanbit" : "public");
		return 0;
	}

	void reply(uint64_t id, int32_t error, enum verdict v,
		   const char *result = nullptr, int64_t retry_us = 0,
		   struct position session = {})
	{
		struct reply r = {};

		r.caller_id = id;
		r.verdict = v;
		r.error = error;
		r.retry_after_us = retry_us;
		r.session = session;
		r.age_us = 250;
		r.transaction_id = transaction_id_;
		strcpy(r.group, "orders");
		strcpy(r.endpoint, "ep1");
		caller_listener_reply(listener_, &r,
				      result ? json_loads(result, 0, nullptr) :
					       nullptr);
	}

	bool wait_for_requests(size_t n)
	{
		return run_loop_until(loop_,
				      [&] { return requests_.size() >= n; });
	}

	HttpClient client()
	{
		return HttpClient(loop_, caller_listener_port(listener_));
	}

	std::string format_post(const std::string &path = READ,
				const std::string &headers = "",
				const std::string &body = SQL)
	{
		return format_request("POST", path, PROFILE + (KEY + headers),
				      body);
	}

	struct caller_listener *listener_ = nullptr;
	std::vector<ReceivedRequest> requests_;
	std::vector<uint64_t> disconnected_;
	uint64_t transaction_id_ = 0;
	bool reply_immediately_ = false;
	bool stop_on_request_ = false;
};

/* A request with one invalid part; the other parts are valid. */
struct RefusedCase {
	const char *name;
	int32_t error;
	std::string body = SQL;
	std::string headers = AUTH;
	std::string path = READ;
	const char *method = "POST";
};

std::string with_header(const std::string &header)
{
	return AUTH + header + "\r\n";
}

const RefusedCase refused_cases[] = {
	{ "other path", ERR_NO_ROUTE, SQL, AUTH, "/v1/other" },
	{ "longer path", ERR_NO_ROUTE, SQL, AUTH, "/v1/groups/g/read/x" },
	{ "other method", ERR_NO_ROUTE, "", AUTH, READ, "GET" },
	{ "no group", ERR_UNKNOWN_GROUP, SQL, AUTH, "/v1/groups//read" },
	{ "long group", ERR_UNKNOWN_GROUP, SQL, AUTH,
	  "/v1/groups/" + std::string(48, 'g') + "/read" },
	{ "id not hex", ERR_UNKNOWN_TRANSACTION, "", AUTH,
	  "/v1/groups/g/transactions/xyz/commit" },
	{ "commit with a statement", ERR_BAD_FIELD, SQL, AUTH,
	  "/v1/groups/g/transactions/1/commit" },
	{ "no profile", ERR_BAD_FIELD, SQL, KEY },
	{ "two profiles", ERR_BAD_FIELD, SQL, AUTH + PROFILE },
	{ "no key", ERR_NO_KEY, SQL, PROFILE },
	{ "other scheme", ERR_NO_KEY, SQL,
	  PROFILE + std::string("Authorization: Basic azE=\r\n") },
	{ "truncated JSON", ERR_BAD_JSON, "{\"sql\": " },
	{ "no body", ERR_BAD_JSON, "" },
	{ "body is an array", ERR_BAD_FIELD, "[]" },
	{ "no sql", ERR_BAD_FIELD, "{}" },
	{ "sql is a number", ERR_BAD_FIELD, "{\"sql\":1}" },
	{ "sql twice", ERR_BAD_JSON, "{\"sql\":\"a\",\"sql\":\"b\"}" },
	{ "unknown field", ERR_BAD_FIELD, "{\"sql\":\"a\",\"param\":[]}" },
	{ "params is an object", ERR_BAD_FIELD,
	  "{\"sql\":\"a\",\"params\":{}}" },
	{ "a parameter is an array", ERR_BAD_FIELD,
	  "{\"sql\":\"a\",\"params\":[[]]}" },
	{ "large statement", ERR_STATEMENT_TOO_LARGE,
	  "{\"sql\":\"" + std::string(1000, 'x') + "\",\"params\":[\"" +
		  std::string(25, 'y') + "\"]}" },
	{ "large body", ERR_BODY_TOO_LARGE, std::string(5000, ' ') },
	{ "large header", ERR_HEADER_TOO_LARGE, SQL,
	  with_header("X-Fill: " + std::string(2500, 'x')) },
	{ "invalid repeatable", ERR_BAD_FIELD, SQL,
	  with_header("Zinnialine-Repeatable: maybe") },
	{ "deadline zero", ERR_BAD_FIELD, SQL,
	  with_header("Zinnialine-Deadline-Ms: 0") },
	{ "deadline negative", ERR_BAD_FIELD, SQL,
	  with_header("Zinnialine-Deadline-Ms: -5") },
	{ "request id with a space", ERR_BAD_FIELD, SQL,
	  with_header("Idempotency-Key: a b") },
	{ "request id of 65 characters", ERR_BAD_FIELD, SQL,
	  with_header("Idempotency-Key: " + std::string(65, 'a')) },
	{ "forged token", ERR_BAD_TOKEN, SQL,
	  with_header("Zinnialine-Session: AQAA") },
};

TEST_F(CallerListener, RefusesBadInputOnOneConnection)
{
	HttpClient c = client();

	for (const RefusedCase &row : refused_cases) {
		SCOPED_TRACE(row.name);
		c.send_all(format_request(row.method, row.path, row.headers,
					  row.body));
		HttpResponse r = c.receive();
		const struct error_info *info = error_info(row.error);
		EXPECT_EQ(info->http_status, r.status) << r.body;
		EXPECT_EQ("application/problem+json", r.header("Content-Type"));
		EXPECT_EQ("not_run", r.header("Zinnialine-Verdict"));
		EXPECT_EQ("not_run", r.json_field("verdict"));
		EXPECT_EQ(std::to_string(row.error), r.json_field("error"));
		EXPECT_EQ(std::string("urn:zinnialine:error:") + info->slug,
			  r.json_field("type"));
		EXPECT_EQ(std::to_string(info->http_status),
			  r.json_field("status"));
		EXPECT_EQ(info->title, r.json_field("title"));
		EXPECT_EQ(row.error == ERR_NO_KEY ? "Bearer" : "",
			  r.header("WWW-Authenticate"));
	}
	EXPECT_TRUE(requests_.empty());
	EXPECT_EQ("", c.unread());
}

struct OddBytesCase {
	const char *name;
	std::string path;
	std::string headers;
	std::string body;
	const char *group; /* "": it is refused */
};

#define WITH_NUL(text) std::string(text, sizeof(text) - 1)

const OddBytesCase odd_bytes_cases[] = {
	{ "NUL in the name of a header", READ,
	  AUTH + WITH_NUL("Idempotency-Key\0x: a\r\n"), SQL, "" },
	{ "NUL at the end of the path", READ + std::string("%00x"), AUTH, SQL,
	  "" },
	{ "NUL in the group", "/v1/groups/orders%00x/read", AUTH, SQL,
	  "orders%00x" },
	{ "slash in the group", "/v1/groups/orders%2Fread", AUTH, SQL, "" },
	{ "another slash", "/v1/groups/or%2fders/read", AUTH, SQL,
	  "or%2fders" },
	{ "percent sign in the group", "/v1/groups/%6frders/read", AUTH, SQL,
	  "orders" },
	{ "NUL in the statement", READ, AUTH, "{\"sql\":\"a\\u0000b\"}", "" },
	{ "raw NUL in the statement", READ, AUTH,
	  WITH_NUL("{\"sql\":\"a\0b\"}"), "" },
	{ "NUL after the body", READ, AUTH, SQL + WITH_NUL("\0x"), "" },
	{ "NUL in a parameter", READ, AUTH,
	  "{\"sql\":\"a\",\"params\":[\"b\\u0000c\"]}", "" },
};

/*
 * Guards against a text that is read up to its NUL, or as two at an encoded
 * slash: another group, statement or path than the caller's.
 */
TEST_F(CallerListener, OddBytesMakeNoOtherRequest)
{
	reply_immediately_ = true;
	for (const OddBytesCase &row : odd_bytes_cases) {
		HttpClient c = client();

		SCOPED_TRACE(row.name);
		c.send_all(format_request("POST", row.path, row.headers,
					  row.body));
		EXPECT_EQ(!*row.group, c.receive().status >= 400);
		EXPECT_EQ(*row.group ? 1u : 0u, requests_.size());
		for (const ReceivedRequest &seen : requests_)
			EXPECT_STREQ(row.group, seen.opts.group);
		requests_.clear();
	}
}

struct AcceptedCase {
	const char *name;
	const char *path;
	std::string headers;
	const char *body;
	enum request_kind kind;
	uint64_t transaction_id;
	const char *request_id;
	bool repeatable;
	int64_t deadline_us; /* after the arrival of the request */
	std::vector<std::string> params;
};

const AcceptedCase accepted_cases[] = {
	{ "read", READ, "", SQL, REQUEST_READ, 0, "", true, DEFAULT_US, {} },
	{ "write with everything",
	  "/v1/groups/orders/write",
	  "Idempotency-Key: Order-1.a:b_c\r\nZinnialine-Repeatable: no\r\n"
	  "Zinnialine-Deadline-Ms: 250\r\n",
	  "{\"sql\":\"x\",\"params\":[\"a\",null,7,1.5,true]}",
	  REQUEST_WRITE,
	  0,
	  "Order-1.a:b_c",
	  false,
	  250000,
	  { "a", "NULL", "7", "1.5", "true" } },
	{ "begin, long deadline",
	  "/v1/groups/orders/transactions",
	  "Zinnialine-Deadline-Ms: 18446744073709551615\r\n",
	  "",
	  REQUEST_BEGIN,
	  0,
	  "",
	  true,
	  MAX_US,
	  {} },
	{ "statement",
	  "/v1/groups/orders/transactions/00aF/statements",
	  "",
	  SQL,
	  REQUEST_STATEMENT,
	  0xaf,
	  "",
	  true,
	  DEFAULT_US,
	  {} },
	{ "commit",
	  "/v1/groups/orders/transactions/ffffffffffffffff/commit",
	  "Idempotency-Key: k\r\n",
	  "{}",
	  REQUEST_COMMIT,
	  UINT64_MAX,
	  "k",
	  true,
	  DEFAULT_US,
	  {} },
	{ "rollback",
	  "/v1/groups/orders/transactions/1/rollback",
	  "",
	  "",
	  REQUEST_ROLLBACK,
	  1,
	  "",
	  true,
	  DEFAULT_US,
	  {} },
};

TEST_F(CallerListener, ForwardsWellFormedRequests)
{
	HttpClient c = client();
	uint8_t digest[DIGEST_BYTES];

	bearer_hash_key("k1", digest);
	reply_immediately_ = true;
	for (const AcceptedCase &row : accepted_cases) {
		SCOPED_TRACE(row.name);
		int64_t sent_us = loop_now_us();
		c.send_all(format_post(row.path, row.headers, row.body));
		HttpResponse r = c.receive();
		ASSERT_EQ(200, r.status) << r.body;
		EXPECT_EQ("ran", r.header("Zinnialine-Verdict"));
		const ReceivedRequest &s = requests_.back();
		EXPECT_EQ(row.kind, s.opts.kind);
		EXPECT_STREQ("orders", s.opts.group);
		EXPECT_STREQ("fresh", s.opts.profile);
		EXPECT_EQ(row.transaction_id, s.opts.transaction_id);
		EXPECT_EQ(row.request_id, s.request_id);
		EXPECT_EQ(*row.request_id != 0, s.opts.has_request_id);
		EXPECT_EQ(row.repeatable, s.opts.repeatable);
		EXPECT_EQ(row.params, s.params);
		EXPECT_EQ("hanbit", s.workspace);
		EXPECT_LE(sent_us + row.deadline_us, s.opts.deadline_us);
		EXPECT_GE(loop_now_us() + row.deadline_us, s.opts.deadline_us);
		EXPECT_TRUE(s.opts.has_key);
		EXPECT_FALSE(memcmp(digest, s.opts.key_digest, DIGEST_BYTES));
	}
	EXPECT_EQ(std::size(accepted_cases), requests_.size());
}

TEST_F(CallerListener, RepliesCarryResultAndSession)
{
	HttpClient c = client();

	c.send_all(format_post());
	ASSERT_TRUE(wait_for_requests(1));
	EXPECT_EQ(0u, requests_[0].opts.session.term);
	reply(requests_[0].opts.caller_id, 0, VERDICT_RAN,
	      "{\"command\":\"SELECT\",\"rows\":[[\"1\"]]}", 0, { 3, 40 });
	HttpResponse r = c.receive();
	EXPECT_EQ("SELECT", r.json_field("command"));
	EXPECT_EQ("[[\"1\"]]", r.json_field("rows"));
	EXPECT_EQ("ran", r.json_field("verdict"));
	EXPECT_EQ("ep1", r.json_field("endpoint"));
	EXPECT_EQ("250", r.json_field("age_us"));
	std::string token =
		"Zinnialine-Session: " + r.header("Zinnialine-Session") +
		"\r\n";
	c.send_all(format_post("/v1/groups/orders/write", token));
	ASSERT_TRUE(wait_for_requests(2));
	EXPECT_EQ(3u, requests_[1].opts.session.term);
	EXPECT_EQ(40u, requests_[1].opts.session.offset);
	/* An older position does not replace the session's position. */
	reply(requests_[1].opts.caller_id, ERR_SQL, VERDICT_RAN,
	      "{\"sqlstate\":\"23505\",\"message\":\"duplicate\"}", 0,
	      { 3, 10 });
	r = c.receive();
	EXPECT_EQ(422, r.status);
	EXPECT_EQ("23505", r.json_field("sqlstate"));
	EXPECT_EQ("duplicate", r.json_field("detail"));
	token = "Zinnialine-Session: " + r.header("Zinnialine-Session") +
		"\r\n";
	c.send_all(format_post("/v1/groups/stock/read", token));
	c.send_all(format_post(READ, token));
	ASSERT_TRUE(wait_for_requests(3));
	EXPECT_EQ(0u, requests_[2].opts.session.term);
	reply(requests_[2].opts.caller_id, 0, VERDICT_RAN);
	ASSERT_TRUE(wait_for_requests(4));
	EXPECT_EQ(40u, requests_[3].opts.session.offset);
	reply(requests_[3].opts.caller_id, 0, VERDICT_RAN);
	c.receive();
	c.receive();
	/* The token belongs to another workspace than callers without a key. */
	c.send_all(format_request("POST", READ,
				  "Zinnialine-Profile: open\r\n" + token, SQL));
	EXPECT_EQ(std::to_string(ERR_BAD_TOKEN),
		  c.receive().json_field("error"));
}

TEST_F(CallerListener, ErrorsCarryRetryHintAndTransaction)
{
	HttpClient c = client();

	transaction_id_ = 0x2f;
	c.send_all(format_post());
	ASSERT_TRUE(wait_for_requests(1));
	reply(requests_[0].opts.caller_id, ERR_RATE_LIMITED,
	      VERDICT_MAY_HAVE_RUN, nullptr, 1200001);
	HttpResponse r = c.receive();
	EXPECT_EQ(429, r.status);
	EXPECT_EQ("2", r.header("Retry-After"));
	EXPECT_EQ("1201", r.json_field("retry_after_ms"));
	EXPECT_EQ("may_have_run", r.json_field("verdict"));
	EXPECT_EQ("may_have_run", r.header("Zinnialine-Verdict"));
	EXPECT_EQ("000000000000002f", r.json_field("transaction"));
}

TEST_F(CallerListener, RepliesInAnyOrderReachTheirCallers)
{
	HttpClient a = client();
	HttpClient b = client();

	a.send_all(format_post(READ, "", "{\"sql\":\"a\"}"));
	ASSERT_TRUE(wait_for_requests(1));
	b.send_all(format_post(READ, "", "{\"sql\":\"b\"}"));
	ASSERT_TRUE(wait_for_requests(2));
	EXPECT_EQ("a", requests_[0].sql);
	EXPECT_NE(requests_[0].opts.caller_id, requests_[1].opts.caller_id);
	reply(requests_[1].opts.caller_id, 0, VERDICT_RAN,
	      "{\"command\":\"B\"}");
	reply(requests_[0].opts.caller_id, 0, VERDICT_RAN,
	      "{\"command\":\"A\"}");
	/* A second reply and one to an unknown caller are not sent. */
	reply(requests_[0].opts.caller_id, 0, VERDICT_RAN,
	      "{\"command\":\"C\"}");
	reply(999, 0, VERDICT_RAN, "{\"command\":\"D\"}");
	EXPECT_EQ("A", a.receive().json_field("command"));
	EXPECT_EQ("B", b.receive().json_field("command"));
	reply_immediately_ = true;
	a.send_all(format_post());
	b.send_all(format_post());
	EXPECT_EQ("", a.receive().json_field("command"));
	EXPECT_EQ("", b.receive().json_field("command"));
	EXPECT_EQ("", a.unread() + b.unread());
}

TEST_F(CallerListener, PipelinedRequestsAreAnsweredInOrder)
{
	HttpClient c = client();

	c.send_all(format_post(READ, "", "{\"sql\":\"1\"}") +
		   format_post(READ, "", "{\"sql\":\"2\"}"));
	for (size_t i = 0; i < 2; i++) {
		ASSERT_TRUE(wait_for_requests(i + 1));
		EXPECT_EQ(i + 1, requests_.size());
		EXPECT_EQ(std::to_string(i + 1), requests_[i].sql);
		reply(requests_[i].opts.caller_id, 0, VERDICT_RAN);
		EXPECT_EQ(200, c.receive().status);
	}
}

struct DisconnectCase {
	const char *name;
	void (HttpClient::*disconnect)();
	bool pipelined;
};

const DisconnectCase disconnect_cases[] = {
	{ "closes", &HttpClient::close_connection, false },
	{ "closes its sending direction", &HttpClient::half_close, false },
	{ "closes behind a pipelined request", &HttpClient::close_connection,
	  true },
};

TEST_F(CallerListener, ReportsCallersThatDisconnectWhileWaiting)
{
	for (const DisconnectCase &row : disconnect_cases) {
		SCOPED_TRACE(row.name);
		HttpClient c = client();
		requests_.clear();
		disconnected_.clear();
		c.send_all(format_post() +
			   (row.pipelined ? format_post() : ""));
		ASSERT_TRUE(wait_for_requests(1));
		EXPECT_EQ(1u, caller_listener_count_pending(listener_));
		(c.*row.disconnect)();
		ASSERT_TRUE(run_loop_until(loop_, [&] {
			return !disconnected_.empty();
		}));
		EXPECT_EQ(requests_[0].opts.caller_id, disconnected_[0]);
		reply(disconnected_[0], 0, VERDICT_RAN,
		      "{\"command\":\"late\"}");
		EXPECT_TRUE(run_loop_until(loop_, [&] {
			return caller_listener_count_pending(listener_) == 0;
		}));
		EXPECT_EQ(1u, requests_.size());
		EXPECT_EQ(1u, disconnected_.size());
	}
}

TEST_F(CallerListener, RefusesChunkedBodyThatGrowsTooLarge)
{
	HttpClient c = client();
	std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";

	c.send_all("POST " + std::string(READ) + " HTTP/1.1\r\nHost: test\r\n" +
		   PROFILE + KEY + "Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < 50; i++)
		c.send_all(chunk);
	c.send_all("0\r\n\r\n" + format_post());
	EXPECT_EQ(413, c.receive().status);
	ASSERT_TRUE(wait_for_requests(1));
	reply(requests_[0].opts.caller_id, 0, VERDICT_RAN);
	EXPECT_EQ(200, c.receive().status);
}

struct EarlyRejectCase {
	const char *name;
	const char *headers;
	int status;
};

const EarlyRejectCase early_reject_cases[] = {
	{ "large, client asks first",
	  "Content-Length: 5000\r\nExpect: 100-continue\r\n", 413 },
	{ "far too large", "Content-Length: 999999999999\r\n", 413 },
	{ "two lengths", "Content-Length: 3\r\nContent-Length: 3\r\n", 400 },
	{ "length and chunks",
	  "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", 400 },
};

TEST_F(CallerListener, RefusesWithoutReadingTheBody)
{
	for (const EarlyRejectCase &row : early_reject_cases) {
		SCOPED_TRACE(row.name);
		HttpClient c = client();
		c.send_all("POST " + std::string(READ) +
			   " HTTP/1.1\r\nHost: test\r\n" + row.headers +
			   "\r\n");
		HttpResponse r = c.receive();
		EXPECT_EQ(row.status, r.status);
		EXPECT_EQ("not_run", r.json_field("verdict"));
		EXPECT_TRUE(
			run_loop_until(loop_, [&] { return c.is_closed(); }));
	}
}

TEST_F(CallerListener, StopAcceptingCompletesOpenRequests)
{
	HttpClient waiting = client();
	HttpClient unread = client();

	waiting.send_all(format_post());
	ASSERT_TRUE(wait_for_requests(1));
	/* This client has connected, but is not accepted yet. */
	HttpClient late = client();
	std::string text = format_post();
	unread.send_all(text);
	caller_listener_stop_accepting(listener_);
	late.send_all(text);
	ASSERT_TRUE(wait_for_requests(3));
	EXPECT_FALSE(client().is_connected());
	for (const ReceivedRequest &s : requests_)
		reply(s.opts.caller_id, 0, VERDICT_RAN);
	for (HttpClient *c : { &waiting, &unread, &late }) {
		HttpResponse r = c->receive();
		EXPECT_EQ(200, r.status);
		EXPECT_EQ("close", r.header("Connection"));
		EXPECT_TRUE(
			run_loop_until(loop_, [&] { return c->is_closed(); }));
	}
	EXPECT_EQ(0u, caller_listener_count_pending(listener_));
}

TEST_F(CallerListener, StopsAcceptingFromRequestCallback)
{
	HttpClient a = client();
	HttpClient b = client();

	stop_on_request_ = reply_immediately_ = true;
	a.send_all(format_post());
	b.send_all(format_post());
	EXPECT_EQ(200, a.receive().status);
	EXPECT_EQ(200, b.receive().status);
	EXPECT_TRUE(run_loop_until(loop_, [&] {
		return a.is_closed() && b.is_closed();
	}));
	EXPECT_FALSE(client().is_connected());
}

TEST_F(CallerListener, RefusesToAddAGroupToAFullSession)
{
	struct session_token t = {};
	char text[TOKEN_TEXT_BYTES];
	HttpClient c = client();

	for (int i = 0; i < TOKEN_GROUPS_MAX; i++)
		session_token_merge(&t, std::to_string(i).c_str(), { 1, 1 });
	session_token_encode(&t, "hanbit", token_key, text);
	std::string header =
		std::string("Zinnialine-Session: ") + text + "\r\n";
	c.send_all(format_post(READ, header));
	EXPECT_EQ(std::to_string(ERR_BAD_FIELD),
		  c.receive().json_field("error"));
	reply_immediately_ = true;
	c.send_all(format_post("/v1/groups/7/read", header));
	EXPECT_EQ(text, c.receive().header("Zinnialine-Session"));
}

TEST_F(CallerListener, ResultThatIsNotUtf8KeepsTheVerdict)
{
	struct reply r = {};
	HttpClient c = client();

	c.send_all(format_post());
	ASSERT_TRUE(wait_for_requests(1));
	r.caller_id = requests_[0].opts.caller_id;
	r.verdict = VERDICT_RAN;
	caller_listener_reply(listener_, &r,
			      json_pack("{s:o}", "command",
					json_stringn_nocheck("\xff", 1)));
	HttpResponse response = c.receive();
	EXPECT_EQ(std::to_string(ERR_INTERNAL), response.json_field("error"));
	EXPECT_EQ("ran", response.json_field("verdict"));
}

TEST_F(CallerListener, CanBeFreedWhileCallersWait)
{
	HttpClient c = client();

	c.send_all(format_post());
	ASSERT_TRUE(wait_for_requests(1));
}

} // namespace
