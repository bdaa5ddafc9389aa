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

struct Seen {
	struct request_opts opts;
	std::string sql;
	std::vector<std::string> params;
	std::string workspace;
	std::string request_id;
};

class CallerListener : public HttpTest
{
      protected:
	void listen() override
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
		Seen seen = { *r, s->sql, {}, s->workspace, s->request_id };

		for (uint32_t i = 0; i < s->param_count; i++)
			seen.params.push_back(s->params[i] ? s->params[i] :
							     "NULL");
		statement_free(s);
		t->seen_.push_back(seen);
		if (t->stop_at_once_)
			caller_listener_stop_accepting(t->listener_);
		if (t->answer_at_once_)
			t->reply(seen.opts.caller_id, 0, VERDICT_RAN);
	}

	static void on_disconnect(void *data, uint64_t caller_id)
	{
		static_cast<CallerListener *>(data)->gone_.push_back(caller_id);
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
		r.transaction_id = transaction_;
		strcpy(r.group, "orders");
		strcpy(r.endpoint, "ep1");
		caller_listener_reply(listener_, &r,
				      result ? json_loads(result, 0, nullptr) :
					       nullptr);
	}

	bool wait_seen(size_t n)
	{
		return pump(loop_, [&] { return seen_.size() >= n; });
	}

	HttpClient client()
	{
		return HttpClient(loop_, caller_listener_port(listener_));
	}

	std::string post(const std::string &path = READ,
			 const std::string &headers = "",
			 const std::string &body = SQL)
	{
		return http_text("POST", path, PROFILE + (KEY + headers), body);
	}

	struct caller_listener *listener_ = nullptr;
	std::vector<Seen> seen_;
	std::vector<uint64_t> gone_;
	uint64_t transaction_ = 0;
	bool answer_at_once_ = false;
	bool stop_at_once_ = false;
};

/* A request that is well-formed but for the given part. */
struct RefusedCase {
	const char *name;
	int32_t error;
	std::string body = SQL;
	std::string headers = AUTH;
	std::string path = READ;
	const char *method = "POST";
};

std::string with(const std::string &header)
{
	return AUTH + header + "\r\n";
}

const RefusedCase refused[] = {
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
	{ "cut JSON", ERR_BAD_JSON, "{\"sql\": " },
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
	  with("X-Fill: " + std::string(2500, 'x')) },
	{ "repeatable maybe", ERR_BAD_FIELD, SQL,
	  with("Zinnialine-Repeatable: maybe") },
	{ "deadline zero", ERR_BAD_FIELD, SQL,
	  with("Zinnialine-Deadline-Ms: 0") },
	{ "deadline negative", ERR_BAD_FIELD, SQL,
	  with("Zinnialine-Deadline-Ms: -5") },
	{ "request id with a space", ERR_BAD_FIELD, SQL,
	  with("Idempotency-Key: a b") },
	{ "request id of 65", ERR_BAD_FIELD, SQL,
	  with("Idempotency-Key: " + std::string(65, 'a')) },
	{ "forged token", ERR_BAD_TOKEN, SQL,
	  with("Zinnialine-Session: AQAA") },
};

TEST_F(CallerListener, RefusesBadInputOnOneConnection)
{
	HttpClient c = client();

	for (const RefusedCase &row : refused) {
		SCOPED_TRACE(row.name);
		c.send_all(
			http_text(row.method, row.path, row.headers, row.body));
		HttpResponse r = c.receive();
		const struct error_info *info = error_info(row.error);
		EXPECT_EQ(info->http_status, r.status) << r.body;
		EXPECT_EQ("application/problem+json", r.header("Content-Type"));
		EXPECT_EQ("not_run", r.header("Zinnialine-Verdict"));
		EXPECT_EQ("not_run", r.field("verdict"));
		EXPECT_EQ(std::to_string(row.error), r.field("error"));
		EXPECT_EQ(std::string("urn:zinnialine:error:") + info->slug,
			  r.field("type"));
		EXPECT_EQ(std::to_string(info->http_status), r.field("status"));
		EXPECT_EQ(info->title, r.field("title"));
		EXPECT_EQ(row.error == ERR_NO_KEY ? "Bearer" : "",
			  r.header("WWW-Authenticate"));
	}
	EXPECT_TRUE(seen_.empty());
	EXPECT_EQ("", c.rest());
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
	int64_t deadline_us; /* from the arrival */
	std::vector<std::string> params;
};

const AcceptedCase accepted[] = {
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

TEST_F(CallerListener, PassesOnWellFormedRequests)
{
	HttpClient c = client();
	uint8_t digest[DIGEST_BYTES];

	bearer_hash_key("k1", digest);
	answer_at_once_ = true;
	for (const AcceptedCase &row : accepted) {
		SCOPED_TRACE(row.name);
		int64_t sent_us = loop_now_us();
		c.send_all(post(row.path, row.headers, row.body));
		HttpResponse r = c.receive();
		ASSERT_EQ(200, r.status) << r.body;
		EXPECT_EQ("ran", r.header("Zinnialine-Verdict"));
		const Seen &s = seen_.back();
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
	EXPECT_EQ(std::size(accepted), seen_.size());
}

TEST_F(CallerListener, AnswersCarryResultAndSession)
{
	HttpClient c = client();

	c.send_all(post());
	ASSERT_TRUE(wait_seen(1));
	EXPECT_EQ(0u, seen_[0].opts.session.term);
	reply(seen_[0].opts.caller_id, 0, VERDICT_RAN,
	      "{\"command\":\"SELECT\",\"rows\":[[\"1\"]]}", 0, { 3, 40 });
	HttpResponse r = c.receive();
	EXPECT_EQ("SELECT", r.field("command"));
	EXPECT_EQ("[[\"1\"]]", r.field("rows"));
	EXPECT_EQ("ran", r.field("verdict"));
	EXPECT_EQ("ep1", r.field("endpoint"));
	EXPECT_EQ("250", r.field("age_us"));
	std::string token =
		"Zinnialine-Session: " + r.header("Zinnialine-Session") +
		"\r\n";
	c.send_all(post("/v1/groups/orders/write", token));
	ASSERT_TRUE(wait_seen(2));
	EXPECT_EQ(3u, seen_[1].opts.session.term);
	EXPECT_EQ(40u, seen_[1].opts.session.offset);
	/* An older position does not take the session back. */
	reply(seen_[1].opts.caller_id, ERR_SQL, VERDICT_RAN,
	      "{\"sqlstate\":\"23505\",\"message\":\"duplicate\"}", 0,
	      { 3, 10 });
	r = c.receive();
	EXPECT_EQ(422, r.status);
	EXPECT_EQ("23505", r.field("sqlstate"));
	EXPECT_EQ("duplicate", r.field("detail"));
	token = "Zinnialine-Session: " + r.header("Zinnialine-Session") +
		"\r\n";
	c.send_all(post("/v1/groups/stock/read", token));
	c.send_all(post(READ, token));
	ASSERT_TRUE(wait_seen(3));
	EXPECT_EQ(0u, seen_[2].opts.session.term);
	reply(seen_[2].opts.caller_id, 0, VERDICT_RAN);
	ASSERT_TRUE(wait_seen(4));
	EXPECT_EQ(40u, seen_[3].opts.session.offset);
	reply(seen_[3].opts.caller_id, 0, VERDICT_RAN);
	c.receive();
	c.receive();
	/* Not of the workspace of callers without a key. */
	c.send_all(http_text("POST", READ,
			     "Zinnialine-Profile: open\r\n" + token, SQL));
	EXPECT_EQ(std::to_string(ERR_BAD_TOKEN), c.receive().field("error"));
}

TEST_F(CallerListener, ErrorsCarryRetryHintAndTransaction)
{
	HttpClient c = client();

	transaction_ = 0x2f;
	c.send_all(post());
	ASSERT_TRUE(wait_seen(1));
	reply(seen_[0].opts.caller_id, ERR_RATE_LIMITED, VERDICT_MAY_HAVE_RUN,
	      nullptr, 1200001);
	HttpResponse r = c.receive();
	EXPECT_EQ(429, r.status);
	EXPECT_EQ("2", r.header("Retry-After"));
	EXPECT_EQ("1201", r.field("retry_after_ms"));
	EXPECT_EQ("may_have_run", r.field("verdict"));
	EXPECT_EQ("may_have_run", r.header("Zinnialine-Verdict"));
	EXPECT_EQ("000000000000002f", r.field("transaction"));
}

TEST_F(CallerListener, CrossedAnswersReachTheirCallers)
{
	HttpClient a = client();
	HttpClient b = client();

	a.send_all(post(READ, "", "{\"sql\":\"a\"}"));
	ASSERT_TRUE(wait_seen(1));
	b.send_all(post(READ, "", "{\"sql\":\"b\"}"));
	ASSERT_TRUE(wait_seen(2));
	EXPECT_EQ("a", seen_[0].sql);
	EXPECT_NE(seen_[0].opts.caller_id, seen_[1].opts.caller_id);
	reply(seen_[1].opts.caller_id, 0, VERDICT_RAN, "{\"command\":\"B\"}");
	reply(seen_[0].opts.caller_id, 0, VERDICT_RAN, "{\"command\":\"A\"}");
	/* Neither a second answer nor one for nobody is sent. */
	reply(seen_[0].opts.caller_id, 0, VERDICT_RAN, "{\"command\":\"C\"}");
	reply(999, 0, VERDICT_RAN, "{\"command\":\"D\"}");
	EXPECT_EQ("A", a.receive().field("command"));
	EXPECT_EQ("B", b.receive().field("command"));
	answer_at_once_ = true;
	a.send_all(post());
	b.send_all(post());
	EXPECT_EQ("", a.receive().field("command"));
	EXPECT_EQ("", b.receive().field("command"));
	EXPECT_EQ("", a.rest() + b.rest());
}

TEST_F(CallerListener, PipelinedRequestsAreAnsweredInOrder)
{
	HttpClient c = client();

	c.send_all(post(READ, "", "{\"sql\":\"1\"}") +
		   post(READ, "", "{\"sql\":\"2\"}"));
	for (size_t i = 0; i < 2; i++) {
		ASSERT_TRUE(wait_seen(i + 1));
		EXPECT_EQ(i + 1, seen_.size());
		EXPECT_EQ(std::to_string(i + 1), seen_[i].sql);
		reply(seen_[i].opts.caller_id, 0, VERDICT_RAN);
		EXPECT_EQ(200, c.receive().status);
	}
}

struct GoneCase {
	const char *name;
	void (HttpClient::*leave)();
	bool pipelined;
};

const GoneCase gone_cases[] = {
	{ "closes", &HttpClient::close_now, false },
	{ "closes its sending direction", &HttpClient::half_close, false },
	{ "closes behind a pipelined request", &HttpClient::close_now, true },
};

TEST_F(CallerListener, NoticesThatAWaitingCallerHasLeft)
{
	for (const GoneCase &row : gone_cases) {
		SCOPED_TRACE(row.name);
		HttpClient c = client();
		seen_.clear();
		gone_.clear();
		c.send_all(post() + (row.pipelined ? post() : ""));
		ASSERT_TRUE(wait_seen(1));
		EXPECT_EQ(1u, caller_listener_count_pending(listener_));
		(c.*row.leave)();
		ASSERT_TRUE(pump(loop_, [&] { return !gone_.empty(); }));
		EXPECT_EQ(seen_[0].opts.caller_id, gone_[0]);
		reply(gone_[0], 0, VERDICT_RAN, "{\"command\":\"late\"}");
		EXPECT_TRUE(pump(loop_, [&] {
			return caller_listener_count_pending(listener_) == 0;
		}));
		EXPECT_EQ(1u, seen_.size());
		EXPECT_EQ(1u, gone_.size());
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
	c.send_all("0\r\n\r\n" + post());
	EXPECT_EQ(413, c.receive().status);
	ASSERT_TRUE(wait_seen(1));
	reply(seen_[0].opts.caller_id, 0, VERDICT_RAN);
	EXPECT_EQ(200, c.receive().status);
}

struct EarlyCase {
	const char *name;
	const char *headers;
	int status;
};

const EarlyCase early_cases[] = {
	{ "large, client asks first",
	  "Content-Length: 5000\r\nExpect: 100-continue\r\n", 413 },
	{ "far too large", "Content-Length: 999999999999\r\n", 413 },
	{ "two lengths", "Content-Length: 3\r\nContent-Length: 3\r\n", 400 },
	{ "length and chunks",
	  "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", 400 },
};

TEST_F(CallerListener, RefusesWithoutReadingTheBody)
{
	for (const EarlyCase &row : early_cases) {
		SCOPED_TRACE(row.name);
		HttpClient c = client();
		c.send_all("POST " + std::string(READ) +
			   " HTTP/1.1\r\nHost: test\r\n" + row.headers +
			   "\r\n");
		HttpResponse r = c.receive();
		EXPECT_EQ(row.status, r.status);
		EXPECT_EQ("not_run", r.field("verdict"));
		EXPECT_TRUE(pump(loop_, [&] { return c.closed(); }));
	}
}

TEST_F(CallerListener, ShutdownCutsNoWaitingRequest)
{
	HttpClient waiting = client();
	HttpClient unread = client();

	waiting.send_all(post());
	ASSERT_TRUE(wait_seen(1));
	/* Connected and sent, but not accepted yet. */
	HttpClient late = client();
	std::string text = post();
	unread.send_all(text);
	caller_listener_stop_accepting(listener_);
	late.send_all(text);
	ASSERT_TRUE(wait_seen(3));
	EXPECT_FALSE(client().connected());
	for (const Seen &s : seen_)
		reply(s.opts.caller_id, 0, VERDICT_RAN);
	for (HttpClient *c : { &waiting, &unread, &late }) {
		HttpResponse r = c->receive();
		EXPECT_EQ(200, r.status);
		EXPECT_EQ("close", r.header("Connection"));
		EXPECT_TRUE(pump(loop_, [&] { return c->closed(); }));
	}
	EXPECT_EQ(0u, caller_listener_count_pending(listener_));
}

TEST_F(CallerListener, StopsFromWithinARequest)
{
	HttpClient a = client();
	HttpClient b = client();

	stop_at_once_ = answer_at_once_ = true;
	a.send_all(post());
	b.send_all(post());
	EXPECT_EQ(200, a.receive().status);
	EXPECT_EQ(200, b.receive().status);
	EXPECT_TRUE(pump(loop_, [&] { return a.closed() && b.closed(); }));
	EXPECT_FALSE(client().connected());
}

TEST_F(CallerListener, SessionOfTooManyGroupsIsRefusedForAnother)
{
	struct session_token t = {};
	char text[TOKEN_TEXT_BYTES];
	HttpClient c = client();

	for (int i = 0; i < TOKEN_GROUPS_MAX; i++)
		session_token_merge(&t, std::to_string(i).c_str(), { 1, 1 });
	session_token_encode(&t, "hanbit", token_key, text);
	std::string header =
		std::string("Zinnialine-Session: ") + text + "\r\n";
	c.send_all(post(READ, header));
	EXPECT_EQ(std::to_string(ERR_BAD_FIELD), c.receive().field("error"));
	answer_at_once_ = true;
	c.send_all(post("/v1/groups/7/read", header));
	EXPECT_EQ(text, c.receive().header("Zinnialine-Session"));
}

TEST_F(CallerListener, ResultThatIsNotUtf8KeepsTheVerdict)
{
	struct reply r = {};
	HttpClient c = client();

	c.send_all(post());
	ASSERT_TRUE(wait_seen(1));
	r.caller_id = seen_[0].opts.caller_id;
	r.verdict = VERDICT_RAN;
	caller_listener_reply(listener_, &r,
			      json_pack("{s:o}", "command",
					json_stringn_nocheck("\xff", 1)));
	HttpResponse answer = c.receive();
	EXPECT_EQ(std::to_string(ERR_INTERNAL), answer.field("error"));
	EXPECT_EQ("ran", answer.field("verdict"));
}

TEST_F(CallerListener, IsFreedWhileCallersWait)
{
	HttpClient c = client();

	c.send_all(post());
	ASSERT_TRUE(wait_seen(1));
}

} // namespace
