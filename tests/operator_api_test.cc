#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "admin/operator_api.h"
#include "base/log.h"
}

namespace
{

/*
 * Fakes of the listener, the platform client and the instance. Keeps the last
 * reply and the last change.
 */
struct FakeHost {
	struct record_store *records = record_store_new();
	struct operator_api *api = nullptr;
	bool writable = true;
	bool endpoints_settled = true;
	int drains = 0;
	int replies = 0;
	int32_t error = 1;
	json_t *body = nullptr;
	int changes = 0;
	struct record record;
	bool deleted = false;
	int64_t expected = 0;
	platform_change_fn fn = nullptr;
	void *fn_data = nullptr;
};

void fake_reply(void *data, uint64_t operator_id, int32_t error, json_t *body)
{
	FakeHost *f = static_cast<FakeHost *>(data);

	EXPECT_EQ(42u, operator_id);
	json_decref(f->body);
	f->replies++;
	f->error = error;
	f->body = body;
}

void fake_change(void *data, const struct record *r, bool deleted,
		 int64_t expected, platform_change_fn fn, void *fn_data)
{
	FakeHost *f = static_cast<FakeHost *>(data);

	f->changes++;
	f->record = *r;
	f->deleted = deleted;
	f->expected = expected;
	f->fn = fn;
	f->fn_data = fn_data;
}

json_t *fake_status(void *data)
{
	return json_pack("{s:s}", "name", "a-1");
}

json_t *fake_config_status(void *data)
{
	return json_pack("{s:i, s:[]}", "revision", 12, "instances");
}

void fake_drain(void *data)
{
	static_cast<FakeHost *>(data)->drains++;
}

int32_t fake_check_writable(void *data)
{
	return static_cast<FakeHost *>(data)->writable ? ERR_NONE :
							 ERR_PLATFORM;
}

int32_t fake_check_endpoint(void *data, const struct endpoint_record *r,
			    bool deleted)
{
	return static_cast<FakeHost *>(data)->endpoints_settled ? ERR_NONE :
								  ERR_NOT_YET;
}

class OperatorApi : public testing::Test
{
      protected:
	FakeHost f;

	void SetUp() override
	{
		struct operator_api_opts o = {};

		log_setup(LOG_FORMAT_TEXT, LOG_ERROR, "a-1");
		o.records = f.records;
		o.change = fake_change;
		o.reply = fake_reply;
		o.status = fake_status;
		o.config_status = fake_config_status;
		o.drain = fake_drain;
		o.check_writable = fake_check_writable;
		o.check_endpoint = fake_check_endpoint;
		o.data = &f;
		f.api = operator_api_new(&o);
		put_workspace("mill", 5);
		put_endpoint("db1", "n1", 6);
		put_endpoint("db1", "n2", 7);
		put_endpoint("db10", "n3", 8);
		put_term("db1", "n1", 9);
	}

	void TearDown() override
	{
		operator_api_free(f.api);
		record_store_free(f.records);
		json_decref(f.body);
	}

	void put_workspace(const char *name, int64_t revision)
	{
		struct record r = {};

		r.kind = RECORD_WORKSPACE;
		r.revision = revision;
		strcpy(r.workspace.name, name);
		r.workspace.rate_milli_per_s = 50000;
		r.workspace.burst_milli = 1000;
		r.workspace.weight = 1;
		record_store_put(f.records, &r);
	}

	void put_endpoint(const char *group, const char *name, int64_t revision)
	{
		struct record r = {};

		r.kind = RECORD_ENDPOINT;
		r.revision = revision;
		strcpy(r.endpoint.group, group);
		strcpy(r.endpoint.name, name);
		strcpy(r.endpoint.zone, "larisa");
		strcpy(r.endpoint.address, "127.0.0.1:5432");
		record_store_put(f.records, &r);
	}

	void put_term(const char *group, const char *primary, int64_t revision)
	{
		struct record r = {};

		r.kind = RECORD_TERM;
		r.revision = revision;
		strcpy(r.term.group, group);
		strcpy(r.term.primary, primary);
		r.term.term = 3;
		record_store_put(f.records, &r);
	}

	void request(enum operator_method method, const char *path,
		     const char *body = nullptr)
	{
		json_t *j = body ? json_loads(body, JSON_DECODE_ANY, nullptr) :
				   nullptr;

		operator_api_request(f.api, 42, method, path, j);
		json_decref(j);
	}

	json_int_t number(const char *field)
	{
		return json_integer_value(json_object_get(f.body, field));
	}

	std::string text(const char *field)
	{
		const char *s =
			json_string_value(json_object_get(f.body, field));

		return s ? s : "";
	}
};

#define HEX64 "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

/* A request that is replied to at once, without a change of the store. */
struct ImmediateCase {
	enum operator_method method;
	const char *path;
	const char *body;
	int32_t error;
};

const ImmediateCase immediate_cases[] = {
	{ OPERATOR_GET, "/v1/profiles", nullptr, ERR_NONE },
	{ OPERATOR_GET, "/v1/keys", nullptr, ERR_NONE },
	{ OPERATOR_GET, "/v1/workspaces/mill", nullptr, ERR_NONE },
	{ OPERATOR_GET, "/v1/workspaces/none", nullptr, ERR_NOT_FOUND },
	{ OPERATOR_GET, "/v1/workspaces/m%20", nullptr, ERR_BAD_FIELD },
	{ OPERATOR_GET, "/v1/workspaces/", nullptr, ERR_BAD_FIELD },
	{ OPERATOR_GET, "/v1/workspaces/mill/x", nullptr, ERR_NO_ROUTE },
	{ OPERATOR_GET, "/v1/keys/00ff", nullptr, ERR_BAD_FIELD },
	{ OPERATOR_GET, "/v1/keys/" HEX64, nullptr, ERR_NOT_FOUND },
	{ OPERATOR_GET, "/v1/groups/db1", nullptr, ERR_NONE },
	{ OPERATOR_GET, "/v1/groups/db10", nullptr, ERR_NONE },
	{ OPERATOR_GET, "/v1/groups/db2", nullptr, ERR_NOT_FOUND },
	{ OPERATOR_GET, "/v1/groups/db1/endpoints/n2", nullptr, ERR_NONE },
	{ OPERATOR_GET, "/v1/groups/db1/endpoints/n3", nullptr, ERR_NOT_FOUND },
	{ OPERATOR_GET, "/v1/status", nullptr, ERR_NONE },
	{ OPERATOR_GET, "/v1/config/status", nullptr, ERR_NONE },
	{ OPERATOR_GET, "/v1/drain", nullptr, ERR_NO_ROUTE },
	{ OPERATOR_POST, "/v1/status", nullptr, ERR_NO_ROUTE },
	{ OPERATOR_GET, "/v1/", nullptr, ERR_NO_ROUTE },
	{ OPERATOR_GET, "/v2/status", nullptr, ERR_NO_ROUTE },
	{ OPERATOR_PUT, "/v1/workspaces/mill", nullptr, ERR_BAD_FIELD },
	{ OPERATOR_PUT, "/v1/workspaces/mill", "[]", ERR_BAD_FIELD },
	{ OPERATOR_PUT, "/v1/workspaces/mill", "{\"fields\": 3}",
	  ERR_BAD_FIELD },
	{ OPERATOR_PUT, "/v1/workspaces/mill",
	  "{\"revision\": -1, \"fields\": {}}", ERR_BAD_FIELD },
	{ OPERATOR_PUT, "/v1/workspaces/mill",
	  "{\"revision\": \"1\", \"fields\": {}}", ERR_BAD_FIELD },
	{ OPERATOR_PUT, "/v1/workspaces/mill", "{\"rev\": 1, \"fields\": {}}",
	  ERR_BAD_FIELD },
	{ OPERATOR_PUT, "/v1/workspaces/mill", "{\"fields\": {\"x\": 1}}",
	  ERR_BAD_FIELD },
	{ OPERATOR_DELETE, "/v1/workspaces/mill", "{\"revision\": true}",
	  ERR_BAD_FIELD },
	{ OPERATOR_DELETE, "/v1/groups/db1", nullptr, ERR_NO_ROUTE },
};

TEST_F(OperatorApi, RepliesAtOnceWithoutAChange)
{
	for (const ImmediateCase &c : immediate_cases) {
		SCOPED_TRACE(std::string(c.path) + (c.body ? c.body : ""));
		int before = f.replies;

		request(c.method, c.path, c.body);
		EXPECT_EQ(before + 1, f.replies);
		EXPECT_EQ(c.error, f.error);
		EXPECT_EQ(0, f.changes);
	}
}

TEST_F(OperatorApi, EntriesHoldNameRevisionAndFields)
{
	request(OPERATOR_GET, "/v1/workspaces/mill");
	EXPECT_EQ("mill", text("name"));
	EXPECT_EQ(5, number("revision"));
	EXPECT_EQ(50000,
		  json_integer_value(
			  json_object_get(json_object_get(f.body, "fields"),
					  "rate_milli_per_s")));
	request(OPERATOR_GET, "/v1/groups/db1/endpoints");
	EXPECT_EQ(2u, json_array_size(json_object_get(f.body, "entries")));
	request(OPERATOR_GET, "/v1/groups");
	EXPECT_EQ(2u, json_array_size(json_object_get(f.body, "groups")));
	request(OPERATOR_GET, "/v1/groups/db1");
	EXPECT_EQ(3, number("term"));
	EXPECT_EQ("n1", text("primary"));
	EXPECT_EQ(2u, json_array_size(json_object_get(f.body, "endpoints")));
}

#define MILL_FIELDS                                                  \
	"\"fields\": {\"rate_milli_per_s\": 1, \"burst_milli\": 2, " \
	"\"weight\": 3}"

struct ChangeCase {
	const char *name;
	enum operator_method method;
	const char *path;
	const char *body;
	int64_t expected;
	enum platform_outcome outcome;
	bool current; /* the key-value service returns the stored record */
	int32_t error;
	int64_t revision; /* in the reply, 0: none */
};

const ChangeCase change_cases[] = {
	{ "put applied", OPERATOR_PUT, "/v1/workspaces/mill",
	  "{\"revision\": 5, " MILL_FIELDS "}", 5, PLATFORM_APPLIED, false,
	  ERR_NONE, 20 },
	{ "put a new one", OPERATOR_PUT, "/v1/workspaces/new",
	  "{\"revision\": 0, " MILL_FIELDS "}", 0, PLATFORM_APPLIED, false,
	  ERR_NONE, 20 },
	{ "put any revision", OPERATOR_PUT, "/v1/workspaces/mill",
	  "{" MILL_FIELDS "}", -1, PLATFORM_APPLIED, false, ERR_NONE, 20 },
	{ "put conflicts", OPERATOR_PUT, "/v1/workspaces/mill",
	  "{\"revision\": 4, " MILL_FIELDS "}", 4, PLATFORM_REFUSED, true,
	  ERR_CONFLICT, 15 },
	{ "put of a deleted one", OPERATOR_PUT, "/v1/workspaces/mill",
	  "{\"revision\": 4, " MILL_FIELDS "}", 4, PLATFORM_REFUSED, false,
	  ERR_CONFLICT, 0 },
	{ "put unknown", OPERATOR_PUT, "/v1/workspaces/mill",
	  "{\"revision\": 5, " MILL_FIELDS "}", 5, PLATFORM_UNKNOWN, false,
	  ERR_PLATFORM_UNKNOWN, 0 },
	{ "delete applied", OPERATOR_DELETE, "/v1/workspaces/mill",
	  "{\"revision\": 5}", 5, PLATFORM_APPLIED, false, ERR_NONE, 20 },
	{ "delete conflicts", OPERATOR_DELETE, "/v1/workspaces/mill",
	  "{\"revision\": 4}", 4, PLATFORM_REFUSED, true, ERR_CONFLICT, 15 },
	{ "delete of none", OPERATOR_DELETE, "/v1/workspaces/none", nullptr, -1,
	  PLATFORM_REFUSED, false, ERR_NOT_FOUND, 0 },
	{ "withdrawal unknown", OPERATOR_DELETE, "/v1/keys/" HEX64, nullptr, -1,
	  PLATFORM_UNKNOWN, false, ERR_PLATFORM_UNKNOWN, 0 },
	{ "withdrawal applied", OPERATOR_DELETE, "/v1/keys/" HEX64, nullptr, -1,
	  PLATFORM_APPLIED, false, ERR_NONE, 20 },
};

TEST_F(OperatorApi, RepliesFollowTheOutcomeOfTheChange)
{
	for (const ChangeCase &c : change_cases) {
		struct record current = {};
		int before = f.replies;

		SCOPED_TRACE(c.name);
		current.kind = RECORD_WORKSPACE;
		strcpy(current.workspace.name, "mill");
		current.revision = 15;
		request(c.method, c.path, c.body);
		ASSERT_EQ(before, f.replies);
		EXPECT_EQ(c.expected, f.expected);
		EXPECT_EQ(c.method == OPERATOR_DELETE, f.deleted);
		f.fn(f.fn_data, c.outcome,
		     c.outcome == PLATFORM_APPLIED ? 20 : 0,
		     c.current ? &current : nullptr);
		EXPECT_EQ(before + 1, f.replies);
		EXPECT_EQ(c.error, f.error);
		EXPECT_EQ(c.revision, number("revision"));
		EXPECT_EQ(c.current, json_object_get(f.body, "fields") &&
					     c.error == ERR_CONFLICT);
	}
}

TEST_F(OperatorApi, ChangeHoldsNameAndFields)
{
	request(OPERATOR_PUT, "/v1/groups/db1/endpoints/n4",
		"{\"fields\": {\"zone\": \"larisa\", \"address\": "
		"\"127.0.0.1:5433\", \"slots\": 3, \"connections_max\": 40}}");
	ASSERT_EQ(1, f.changes);
	EXPECT_EQ(RECORD_ENDPOINT, f.record.kind);
	EXPECT_STREQ("db1", f.record.endpoint.group);
	EXPECT_STREQ("n4", f.record.endpoint.name);
	EXPECT_EQ(3u, f.record.endpoint.slots);
	f.fn(f.fn_data, PLATFORM_APPLIED, 21, nullptr);
	EXPECT_EQ("db1/n4", text("name"));
}

TEST_F(OperatorApi, ChangesAreRefusedWhileThePlatformIsUnreachable)
{
	f.writable = false;
	request(OPERATOR_DELETE, "/v1/keys/" HEX64);
	EXPECT_EQ(ERR_PLATFORM, f.error);
	EXPECT_EQ(0, f.changes);
}

TEST_F(OperatorApi, EndpointsAreNotChangedWhileTheirSetIsNotSettled)
{
	f.endpoints_settled = false;
	request(OPERATOR_DELETE, "/v1/groups/db1/endpoints/n1");
	EXPECT_EQ(ERR_NOT_YET, f.error);
	EXPECT_EQ(0, f.changes);
	request(OPERATOR_DELETE, "/v1/workspaces/mill");
	EXPECT_EQ(1, f.changes);
}

TEST_F(OperatorApi, ChangeInProgressIsFreedWithTheApi)
{
	request(OPERATOR_DELETE, "/v1/keys/" HEX64);
	EXPECT_EQ(1, f.changes);
	EXPECT_EQ(0, f.replies);
}

TEST_F(OperatorApi, DrainIsForwardedToTheInstance)
{
	request(OPERATOR_POST, "/v1/drain");
	EXPECT_EQ(ERR_NONE, f.error);
	EXPECT_EQ(1, f.drains);
}

} // namespace
