#include "cli_child.h"
#include "http_client.h"

#include <fstream>
#include <map>
#include <vector>

extern "C" {
#include "../platform/record_json.h"
#include "cli/command.h"
#include "http/http_server.h"
}

namespace
{

enum StoreFault {
	STORE_ANSWERS,
	STORE_RACE, /* another operator changes the request first */
	STORE_SILENT_LIST, /* no answer to the list */
	STORE_SILENT_CHANGE, /* the change is carried out without an answer */
	STORE_FAILS_CHANGE, /* nothing is done */
};

struct StoredEntry {
	std::string value; /* base64 */
	int64_t revision;
};

/* `zinnialine steer` with a small store over HTTP. */
class SteerCommand : public HttpTest
{
      protected:
	void open_listener() override
	{
		struct http_server_opts o = {};

		o.loop = loop_;
		o.address = "127.0.0.1:0";
		o.body_max_bytes = 65536;
		o.header_max_bytes = 4096;
		o.connections_max = 8;
		o.idle_timeout_us = 10 * US_PER_S;
		o.on_request = on_request;
		o.on_disconnect = [](void *, uint64_t) {};
		o.data = this;
		ASSERT_EQ(0, http_server_new(&server_, &o, pool_));
		put("servers/e-1",
		    R"({"service":"svc","address":"10.0.0.1:1","zone":"z1",)"
		    R"("slots":4,"state":"ready","sequence":1,)"
		    R"("db_role":"primary","born":7})");
		put("zinnialine/instance/n-1",
		    R"({"name":"n-1","zone":"z2","address":"10.0.0.2:1"})");
		write_settings(http_server_port(server_));
	}

	void TearDown() override
	{
		unlink(settings_.c_str());
		HttpTest::TearDown();
	}

	void write_settings(int port)
	{
		settings_ = testing::TempDir() + "steer-" +
			    std::to_string(getpid()) + ".yaml";
		std::string store = "127.0.0.1:" + std::to_string(port);

		std::ofstream(settings_)
			<< "instance: {name: n-1, zone: z2}\n"
			   "listen: {callers: '127.0.0.1:1', ready: "
			   "'127.0.0.1:2', metrics: '127.0.0.1:3', peers: "
			   "'127.0.0.1:4'}\n"
			   "platform: {store: '"
			<< store << "', promotions: '" << store
			<< "', call_timeout_ms: 200}\n";
	}

	void put(const std::string &key, const std::string &text)
	{
		gchar *value = g_base64_encode((const guchar *)text.data(),
					       text.size());

		entries_[key] = { value, ++revision_ };
		g_free(value);
	}

	std::string list() const
	{
		std::string out = "{\"as_of\":" + std::to_string(revision_) +
				  ",\"has_more\":false,\"items\":[";

		for (auto &e : entries_)
			out += std::string(out.back() == '[' ? "" : ",") +
			       "{\"key\":\"" + e.first + "\",\"value\":\"" +
			       e.second.value + "\",\"revision\":" +
			       std::to_string(e.second.revision) + "}";
		return out + "]}";
	}

	/* Returns the HTTP status. */
	int apply(const std::string &body)
	{
		json_t *o = json_loadb(body.data(), body.size(), 0, nullptr);
		json_t *part;
		size_t i;
		int status = 200;

		json_array_foreach(json_object_get(o, "expected_rev"), i, part)
		{
			auto e = entries_.find(json_string_value(
				json_object_get(part, "key")));
			int64_t revision =
				e == entries_.end() ? 0 : e->second.revision;

			if (json_integer_value(
				    json_object_get(part, "revision")) !=
			    revision)
				status = 412;
		}
		if (status == 200) {
			json_array_foreach(json_object_get(o, "puts"), i, part)
			{
				entries_[json_string_value(
					json_object_get(part, "key"))] = {
					json_string_value(
						json_object_get(part, "value")),
					++revision_
				};
				EXPECT_EQ(0, json_integer_value(
						     json_object_get(part,
								     "lease")));
			}
			json_array_foreach(json_object_get(o, "remove"), i,
					   part)
				entries_.erase(json_string_value(part));
		}
		json_decref(o);
		return status;
	}

	void answer(struct http_request *r, int status, const std::string &text)
	{
		struct http_response a = {};

		a.status = status;
		a.content_type = "application/json";
		a.text = strdup(text.c_str());
		http_server_send_response(server_, http_request_id(r), &a);
	}

	static void on_request(void *data, struct http_request *r)
	{
		auto *t = static_cast<SteerCommand *>(data);
		std::string path = http_request_path(r);
		size_t len = 0;
		const char *body = http_request_body(r, &len);
		int status;

		if (path == "/kv-range") {
			if (t->fault_ != STORE_SILENT_LIST)
				t->answer(r, 200, t->list());
			return;
		}
		EXPECT_EQ("/kv-txn", path);
		t->changes_++;
		if (t->fault_ == STORE_FAILS_CHANGE) {
			t->answer(r, 503, "{}");
			return;
		}
		if (t->fault_ == STORE_RACE)
			t->put("zinnialine/steer/avoid-endpoint/e-1",
			       R"({"by":"bob","until_ms":9999999999999})");
		status = t->apply(std::string(body, len));
		if (t->fault_ != STORE_SILENT_CHANGE)
			t->answer(r, status,
				  "{\"revision\":" +
					  std::to_string(t->revision_) + "}");
	}

	int run(std::vector<std::string> args)
	{
		args.insert(args.begin(), "steer");
		args.push_back("--settings");
		args.push_back(settings_);
		CliChild child(args);

		EXPECT_TRUE(run_loop_until(loop_, [&] {
			return child.read_available_output();
		}));
		output_ = child.output();
		return child.wait_exit();
	}

	int put_endpoint(std::vector<std::string> more = {})
	{
		std::vector<std::string> args = { "put", "avoid-endpoint",
						  "e-1", "--for",
						  "30m", "--by",
						  "ann" };

		args.insert(args.end(), more.begin(), more.end());
		return run(args);
	}

	bool has_request() const
	{
		return entries_.count("zinnialine/steer/avoid-endpoint/e-1");
	}

	struct http_server *server_ = nullptr;
	std::string settings_;
	std::map<std::string, StoredEntry> entries_;
	int64_t revision_ = 4;
	StoreFault fault_ = STORE_ANSWERS;
	int changes_ = 0;
	std::string output_;
};

struct SteerArgumentCase {
	std::vector<std::string> args;
	int exit_code;
	const char *output;
};

const SteerArgumentCase argument_cases[] = {
	{ {}, EXIT_USAGE, "a verb is required" },
	{ { "push" }, EXIT_USAGE, "a verb is required" },
	{ { "list", "x" }, EXIT_USAGE, "usage: steer list" },
	{ { "put", "avoid-zone" }, EXIT_USAGE, "usage: steer put KIND" },
	{ { "put", "avoid", "z1", "--for", "1h" },
	  EXIT_USAGE,
	  "unknown kind 'avoid'" },
	{ { "put", "avoid-zone", "z1", "--by", "a" }, EXIT_USAGE, "--for" },
	{ { "put", "avoid-zone", "z1", "--by", "a", "--for", "25h" },
	  EXIT_USAGE,
	  "--for" },
	{ { "put", "avoid-zone", "z1", "--by", "a", "--for", "5" },
	  EXIT_USAGE,
	  "--for" },
	{ { "put", "avoid-zone", "z1", "--by", "a", "--for", "" },
	  EXIT_USAGE,
	  "--for" },
	{ { "put", "avoid-zone", "z1", "--by", "", "--for", "5s" },
	  EXIT_USAGE,
	  "--by" },
	{ { "put", "avoid-zone", "z1", "--by", "a b", "--for", "5s" },
	  EXIT_USAGE,
	  "--by" },
	{ { "put", "avoid-zone", std::string(60, 'z'), "--for", "5s" },
	  EXIT_USAGE,
	  "not a valid name" },
	{ { "put", "avoid-zone", "z9", "--by", "a", "--for", "5s" },
	  EXIT_REFUSED,
	  "no 'z9'" },
	{ { "put", "avoid-endpoint", "n-1", "--by", "a", "--for", "5s" },
	  EXIT_REFUSED,
	  "no 'n-1'" },
	{ { "put", "avoid-instance", "e-1", "--by", "a", "--for", "5s" },
	  EXIT_REFUSED,
	  "no 'e-1'" },
	{ { "put", "pause-writes", "nobody", "--by", "a", "--for", "5s" },
	  EXIT_REFUSED,
	  "no 'nobody'" },
	{ { "delete", "avoid-zone", "z1" }, EXIT_REFUSED, "no such request" },
};

TEST_F(SteerCommand, ChecksArgumentsAndChangesNothing)
{
	for (const SteerArgumentCase &k : argument_cases) {
		int rc = run(k.args);

		SCOPED_TRACE(k.output);
		EXPECT_EQ(k.exit_code, rc) << output_;
		EXPECT_NE(std::string::npos, output_.find(k.output)) << output_;
	}
	EXPECT_EQ(0, changes_);
}

struct SteerPutCase {
	const char *kind;
	const char *subject;
};

const SteerPutCase put_cases[] = {
	{ "avoid-endpoint", "e-1" }, { "avoid-instance", "n-1" },
	{ "avoid-zone", "z1" }, /* of an endpoint */
	{ "avoid-zone", "z2" }, /* of an instance */
	{ "move-primary", "e-1" },
};

TEST_F(SteerCommand, PutsListsAndDeletes)
{
	for (const SteerPutCase &k : put_cases) {
		SCOPED_TRACE(std::string(k.kind) + " " + k.subject);
		EXPECT_EQ(EXIT_OK, run({ "put", k.kind, k.subject, "--for",
					 "2m", "--by", "ann" }))
			<< output_;
		EXPECT_EQ("revision " + std::to_string(revision_) + "\n",
			  output_);
		EXPECT_EQ(EXIT_OK, run({ "list" }));
		EXPECT_NE(std::string::npos, output_.find(k.kind)) << output_;
		EXPECT_NE(std::string::npos, output_.find(k.subject));
		EXPECT_NE(std::string::npos, output_.find("120 s")) << output_;
		EXPECT_NE(std::string::npos, output_.find("ann"));
		EXPECT_EQ(EXIT_OK, run({ "delete", k.kind, k.subject }));
		EXPECT_EQ(2u, entries_.size());
	}
}

struct SteerFaultCase {
	const char *name;
	StoreFault fault;
	int exit_code;
	const char *output;
	bool stored; /* the operator's request is in the store */
};

const SteerFaultCase fault_cases[] = {
	{ "race", STORE_RACE, EXIT_CONFLICT, "nothing was changed", true },
	{ "list is silent", STORE_SILENT_LIST, EXIT_UNREACHABLE,
	  "nothing was changed", false },
	{ "change is silent", STORE_SILENT_CHANGE, EXIT_UNKNOWN,
	  "may still come into force", true },
	{ "change fails", STORE_FAILS_CHANGE, EXIT_UNREACHABLE,
	  "nothing was changed", false },
};

TEST_F(SteerCommand, SaysWhatBecameOfTheChange)
{
	for (const SteerFaultCase &k : fault_cases) {
		SCOPED_TRACE(k.name);
		fault_ = k.fault;
		entries_.erase("zinnialine/steer/avoid-endpoint/e-1");
		EXPECT_EQ(k.exit_code, put_endpoint()) << output_;
		EXPECT_NE(std::string::npos, output_.find(k.output)) << output_;
		EXPECT_EQ(k.stored, has_request());
	}
}

TEST_F(SteerCommand, StoreAway)
{
	write_settings(1);
	EXPECT_EQ(EXIT_UNREACHABLE, put_endpoint());
	EXPECT_NE(std::string::npos, output_.find("cannot be read"));
}

/* A second operator is told; who has seen the request may replace it. */
TEST_F(SteerCommand, SecondOperatorIsTold)
{
	EXPECT_EQ(EXIT_OK, put_endpoint());
	EXPECT_EQ(EXIT_CONFLICT, put_endpoint());
	EXPECT_NE(std::string::npos, output_.find("by ann")) << output_;
	EXPECT_EQ(EXIT_CONFLICT, put_endpoint({ "--revision", "1" }));
	EXPECT_EQ(EXIT_OK,
		  put_endpoint({ "--revision", std::to_string(revision_) }));
	put("zinnialine/steer/avoid-endpoint/e-1",
	    R"({"by":"bob","until_ms":1000})");
	EXPECT_EQ(EXIT_OK, run({ "list" }));
	EXPECT_NE(std::string::npos, output_.find("ended")) << output_;
	EXPECT_EQ(EXIT_OK, put_endpoint());
}

TEST_F(SteerCommand, ListsAndDeletesMalformedEntries)
{
	put("zinnialine/steer/avoid-endpoint/e-1", "{}");
	EXPECT_EQ(EXIT_OK, run({ "list" }));
	EXPECT_NE(std::string::npos, output_.find("malformed")) << output_;
	EXPECT_EQ(EXIT_CONFLICT, put_endpoint());
	EXPECT_EQ(EXIT_OK, run({ "delete", "avoid-endpoint", "e-1" }));
	EXPECT_FALSE(has_request());
}

struct SteerRecordCase {
	const char *name;
	const char *key;
	const char *text;
	enum store_item_kind item;
	bool readable;
};

const SteerRecordCase record_cases[] = {
	{ "whole", "avoid-zone/z", R"({"by":"a","until_ms":5})", ITEM_STEER,
	  true },
	{ "slash in the subject", "avoid-zone/z/y",
	  R"({"by":"a","until_ms":5})", ITEM_STEER, true },
	{ "unknown kind", "fly/z", R"({"by":"a","until_ms":5})", ITEM_STEER,
	  false },
	{ "no kind", "z", R"({"by":"a","until_ms":5})", ITEM_STEER, false },
	{ "no subject", "avoid-zone/", R"({"by":"a","until_ms":5})", ITEM_OTHER,
	  false },
	{ "not JSON", "avoid-zone/z", "{", ITEM_STEER, false },
	{ "no object", "avoid-zone/z", "[]", ITEM_STEER, false },
	{ "no operator", "avoid-zone/z", R"({"until_ms":5})", ITEM_STEER,
	  false },
	{ "no end", "avoid-zone/z", R"({"by":"a"})", ITEM_STEER, false },
	{ "end is text", "avoid-zone/z", R"({"by":"a","until_ms":"5"})",
	  ITEM_STEER, false },
	{ "end before 1970", "avoid-zone/z", R"({"by":"a","until_ms":-5})",
	  ITEM_STEER, false },
};

TEST(SteerRecord, ReadsEntries)
{
	for (const SteerRecordCase &k : record_cases) {
		gchar *value =
			g_base64_encode((const guchar *)k.text, strlen(k.text));
		std::string text = std::string("{\"key\":\"" STEER_PREFIX) +
				   k.key + "\",\"value\":\"" + value +
				   "\",\"revision\":3}";
		yajl_val tree = json_tree_parse(text.c_str(), text.size());
		struct store_item i;

		SCOPED_TRACE(k.name);
		record_read_item(tree, &i);
		EXPECT_EQ(k.item, i.kind);
		EXPECT_EQ(k.readable, i.readable);
		if (k.readable) {
			EXPECT_EQ(STEER_AVOID_ZONE, i.steer.kind);
			EXPECT_STREQ(i.name, i.steer.subject);
			EXPECT_STREQ("a", i.steer.by);
			EXPECT_EQ(5, i.steer.until_ms);
		}
		store_item_clear(&i);
		yajl_tree_free(tree);
		g_free(value);
	}
}

} // namespace
