#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C" {
#include "base/statement.h"
#include "postgres/sql_guard.h"
}

namespace
{

/* Parameters as JSON, and the texts that are sent to the endpoint. */
struct ParamsCase {
	const char *json;
	bool accepted;
	const char *texts; /* joined by '|'; "NULL" stands for SQL's NULL */
};

const ParamsCase params_cases[] = {
	{ "[]", true, "" },
	{ "[\"oak\"]", true, "oak" },
	{ "[1, -2, 2.5]", true, "1|-2|2.5" },
	{ "[true, false, null]", true, "true|false|NULL" },
	{ "[[1]]", false, "" },
	{ "[{}]", false, "" },
	{ "{}", false, "" },
};

std::string join_params(const struct statement *s)
{
	std::string out;

	for (uint32_t i = 0; i < s->param_count; i++)
		out += std::string(i ? "|" : "") +
		       (s->params[i] ? s->params[i] : "NULL");
	return out;
}

TEST(Statement, Params)
{
	for (const ParamsCase &c : params_cases) {
		SCOPED_TRACE(c.json);
		json_t *j = json_loads(c.json, 0, nullptr);
		struct statement *s = statement_new("SELECT 1", j);

		EXPECT_EQ(c.accepted, s != nullptr);
		if (s) {
			EXPECT_EQ(c.texts, join_params(s));
		}
		statement_free(s);
		json_decref(j);
	}
}

TEST(Statement, ParamCountIsLimited)
{
	json_t *j = json_array();

	for (int i = 0; i <= STATEMENT_PARAMS_MAX; i++)
		json_array_append_new(j, json_integer(i));
	EXPECT_EQ(nullptr, statement_new("SELECT 1", j));
	json_decref(j);
}

TEST(Statement, FingerprintsDiffer)
{
	const char *const texts[][2] = {
		{ "SELECT 1", "[]" },
		{ "SELECT 2", "[]" },
		{ "SELECT 1", "[\"a\"]" },
		{ "SELECT 1", "[\"b\"]" },
		{ "SELECT 1", "[null]" },
		{ "SELECT 1", "[\"\"]" },
		{ "SELECT 1", "[\"ab\", \"c\"]" },
		{ "SELECT 1", "[\"a\", \"bc\"]" },
	};
	std::set<std::string> seen;

	for (const auto &t : texts) {
		json_t *j = json_loads(t[1], 0, nullptr);
		struct statement *s = statement_new(t[0], j);
		struct statement *again = statement_new(t[0], j);

		EXPECT_EQ(64u, strlen(s->fingerprint));
		EXPECT_STREQ(s->fingerprint, again->fingerprint);
		EXPECT_TRUE(seen.insert(s->fingerprint).second) << t[1];
		statement_free(s);
		statement_free(again);
		json_decref(j);
	}
}

struct GuardCase {
	const char *sql;
	bool allowed;
};

const GuardCase guard_cases[] = {
	{ "SELECT 1", true },
	{ "", true },
	{ "insert into settings values (1)", true },
	{ "settle", true },
	{ "COMMIT", false },
	{ "  rollback to x", false },
	{ "-- note\nBEGIN", false },
	{ "/* a /* b */ c */ set x = 1", false },
	{ ";commit", false },
	{ "(commit", false },
	{ "PREPARE TRANSACTION 'x'", false },
};

TEST(SqlGuard, Statements)
{
	for (const GuardCase &c : guard_cases) {
		SCOPED_TRACE(c.sql);
		EXPECT_EQ(c.allowed, sql_guard_allows(c.sql));
	}
}

} // namespace
