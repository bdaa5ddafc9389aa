#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "cli_child.h"
#include "http_client.h"

extern "C" {
#include "admin/operator_api.h"
#include "base/log.h"
#include "cli/command.h"
#include "http/operator_listener.h"

#include <apr_general.h>
#include <sodium.h>
}

namespace
{

const char operator_key[] = "key-of-the-operators";

enum Fault {
	FAULT_NONE,
	FAULT_UNKNOWN, /* the outcome of the change is unknown */
	FAULT_SILENT, /* the instance never replies to the change */
	FAULT_RACE, /* another operator's change is stored first */
	FAULT_PLATFORM, /* the key-value service is unreachable */
	FAULT_LAG, /* one instance does not apply the change */
};

/*
 * An operator listener and operator API with fakes of the instance and of the
 * key-value service. The status shows two instances, a-1 and b-1.
 */
class Instance
{
      public:
	Fault fault = FAULT_NONE;
	int drains = 0;

	Instance()
	{
		struct operator_api_opts a = {};
		struct operator_listener_opts l = {};

		apr_initialize();
		EXPECT_LE(0, sodium_init());
		apr_pool_create(&pool_, nullptr);
		EXPECT_EQ(0, loop_new(&loop_, pool_));
		a.records = records_;
		a.change = change;
		a.reply = reply;
		a.status = status;
		a.config_status = config_status;
		a.drain = drain;
		a.check_writable = check_writable;
		a.check_endpoint = check_endpoint;
		a.data = this;
		api_ = operator_api_new(&a);
		l.loop = loop_;
		l.address = "127.0.0.1:0";
		l.body_max_bytes = 65536;
		l.on_request = operator_api_request;
		l.get_metrics = metrics;
		l.data = api_;
		crypto_generichash(l.key_digest, DIGEST_BYTES,
				   (const uint8_t *)operator_key,
				   strlen(operator_key), nullptr, 0);
		EXPECT_EQ(0, operator_listener_new(&listener_, &l, pool_));
	}

	~Instance()
	{
		apr_pool_destroy(pool_);
		operator_api_free(api_);
		record_store_free(records_);
	}

	std::string address() const
	{
		return "127.0.0.1:" +
		       std::to_string(operator_listener_port(listener_));
	}

	/* Runs the binary against this instance and returns its exit code. */
	int run(std::vector<std::string> args, const std::string &input,
		std::string *output)
	{
		args.push_back("--server");
		args.push_back(address());
		CliChild child(args, input);

		EXPECT_TRUE(run_loop_until(loop_, [&] {
			return child.read_available_output();
		}));
		*output = child.output();
		return child.wait_exit();
	}

	uint32_t count(enum record_kind kind) const
	{
		return record_store_count(records_, kind);
	}

      private:
	static Instance *instance_from_data(void *data)
	{
		return static_cast<Instance *>(data);
	}

	static void reply(void *data, uint64_t id, int32_t error, json_t *body)
	{
		operator_listener_reply(instance_from_data(data)->listener_, id,
					error, body);
	}

	void store(struct record r, bool deleted)
	{
		r.revision = ++revision_;
		if (deleted)
			record_store_delete(records_, &r);
		else
			record_store_put(records_, &r);
	}

	static void change(void *data, const struct record *r, bool deleted,
			   int64_t expected, platform_change_fn fn,
			   void *fn_data)
	{
		Instance *i = instance_from_data(data);
		char name[RECORD_NAME_BYTES];
		const struct record *stored;
		int64_t revision;

		if (i->fault == FAULT_SILENT)
			return;
		if (i->fault == FAULT_UNKNOWN) {
			fn(fn_data, PLATFORM_UNKNOWN, 0, nullptr);
			return;
		}
		if (i->fault == FAULT_RACE)
			i->store(*r, false);
		record_format_name(r, name, sizeof(name));
		stored = record_store_find(i->records_, r->kind, name);
		revision = stored ? stored->revision : 0;
		if (expected >= 0 && expected != revision) {
			fn(fn_data, PLATFORM_REFUSED, revision, stored);
			return;
		}
		i->store(*r, deleted);
		fn(fn_data, PLATFORM_APPLIED, i->revision_, nullptr);
	}

	static json_t *status(void *data)
	{
		return json_pack("{s:s, s:{s:i}}", "name", "a-1", "requests",
				 "pending", 3);
	}

	static json_t *config_status(void *data)
	{
		Instance *i = instance_from_data(data);
		json_int_t other = i->fault == FAULT_LAG ? 0 : i->revision_;

		return json_pack("{s:I, s:[{s:s, s:I}, {s:s, s:I}]}",
				 "revision", (json_int_t)i->revision_,
				 "instances", "name", "a-1", "revision",
				 (json_int_t)i->revision_, "name", "b-1",
				 "revision", other);
	}

	static void drain(void *data)
	{
		instance_from_data(data)->drains++;
	}

	static int32_t check_endpoint(void *data,
				      const struct endpoint_record *r,
				      bool deleted)
	{
		return ERR_NONE;
	}

	static int32_t check_writable(void *data)
	{
		return instance_from_data(data)->fault == FAULT_PLATFORM ?
			       ERR_PLATFORM :
			       ERR_NONE;
	}

	static char *metrics(void *data)
	{
		return strdup("zinnialine_pending_requests 3\n");
	}

	apr_pool_t *pool_ = nullptr;
	struct loop *loop_ = nullptr;
	struct record_store *records_ = record_store_new();
	struct operator_api *api_ = nullptr;
	struct operator_listener *listener_ = nullptr;
	int64_t revision_ = 0;
};

class CliFlow : public testing::Test
{
      protected:
	Instance instance;

	void SetUp() override
	{
		log_setup(LOG_FORMAT_TEXT, LOG_ERROR, "a-1");
		setenv("ZINNIALINE_OPERATOR_KEY", operator_key, 1);
	}

	void TearDown() override
	{
		unsetenv("ZINNIALINE_OPERATOR_KEY");
	}

	/* Runs a command, checks its result and returns its output. */
	std::string run_and_check(int exit_code,
				  const std::vector<std::string> &args,
				  const std::string &part,
				  const std::string &input = "")
	{
		std::string output;

		EXPECT_EQ(exit_code, instance.run(args, input, &output))
			<< output;
		EXPECT_NE(std::string::npos, output.find(part)) << output;
		return output;
	}
};

#define MILL "workspace", "set", "mill"
#define MILL_RATE "rate_milli_per_s=50000", "burst_milli=1000"
#define N1 "endpoint", "set", "db1/n1"
#define N1_FIELDS \
	"zone=larisa", "address=127.0.0.1:5432", "slots=3", "connections_max=40"

/* Steps run in this order against one instance, so each sees the earlier. */
struct Step {
	std::vector<std::string> args;
	Fault fault;
	int exit_code;
	const char *output; /* the output contains this text */
};

const Step steps[] = {
	{ { "workspace", "list" }, FAULT_NONE, EXIT_OK, "" },
	{ { MILL, "weight=2" }, FAULT_NONE, EXIT_REFUSED, "invalid field" },
	{ { MILL, MILL_RATE },
	  FAULT_NONE,
	  EXIT_OK,
	  "confirmed by 2 of 2 instances" },
	{ { MILL, "weight=4" },
	  FAULT_NONE,
	  EXIT_OK,
	  "mill revision=2 rate_milli_per_s=50000 burst_milli=1000 weight=4" },
	{ { "workspace", "show", "mill" }, FAULT_NONE, EXIT_OK, "weight=4" },
	{ { "workspace", "show", "none" },
	  FAULT_NONE,
	  EXIT_REFUSED,
	  "no such entry" },
	{ { "workspace", "list", "--json" },
	  FAULT_NONE,
	  EXIT_OK,
	  "\"weight\": 4" },
	{ { MILL, "weight=5", "--revision", "1" },
	  FAULT_NONE,
	  EXIT_CONFLICT,
	  "stored now: mill revision=2" },
	{ { MILL, "weight=5", "--revision", "0" },
	  FAULT_NONE,
	  EXIT_CONFLICT,
	  "stored now: mill revision=2" },
	{ { MILL, "weight=6" },
	  FAULT_RACE,
	  EXIT_CONFLICT,
	  "stored now: mill revision=3" },
	{ { MILL, "weight=7" },
	  FAULT_UNKNOWN,
	  EXIT_UNKNOWN,
	  "may have taken effect" },
	{ { MILL, "weight=7", "--timeout-ms", "100" },
	  FAULT_SILENT,
	  EXIT_UNKNOWN,
	  "may have taken effect" },
	{ { MILL, "weight=7" },
	  FAULT_PLATFORM,
	  EXIT_REFUSED,
	  "cannot be reached" },
	{ { MILL, "weight=8", "--wait-ms", "1" },
	  FAULT_LAG,
	  EXIT_NOT_IN_FORCE,
	  "confirmed by 1 of 2 instances" },
	{ { MILL, "weight=9", "--no-wait" },
	  FAULT_LAG,
	  EXIT_OK,
	  "mill revision=5" },
	{ { MILL, "weight" }, FAULT_NONE, EXIT_USAGE, "is not FIELD=VALUE" },
	{ { "workspace", "delete", "none" },
	  FAULT_NONE,
	  EXIT_REFUSED,
	  "no such entry" },
	{ { "workspace", "delete", "mill" }, FAULT_NONE, EXIT_OK, "revision=6" },
	{ { N1, N1_FIELDS }, FAULT_NONE, EXIT_OK, "state=live" },
	{ { "endpoint", "leave", "db1/n1" },
	  FAULT_NONE,
	  EXIT_OK,
	  "state=leaving" },
	{ { "endpoint", "list", "db1" },
	  FAULT_NONE,
	  EXIT_OK,
	  "db1/n1 revision=8" },
	{ { "endpoint", "return", "db1/n1" },
	  FAULT_NONE,
	  EXIT_OK,
	  "state=live" },
	{ { "endpoint", "leave", "db1/n2" },
	  FAULT_NONE,
	  EXIT_REFUSED,
	  "no such endpoint" },
	{ { "group", "list" },
	  FAULT_NONE,
	  EXIT_OK,
	  "db1 term=0 primary=- promoter=- endpoints=1" },
	{ { "group", "show", "db1" }, FAULT_NONE, EXIT_OK, "db1/n1" },
	{ { "endpoint", "delete", "db1/n1" },
	  FAULT_NONE,
	  EXIT_OK,
	  "revision=10" },
	{ { "profile", "set", "stock", "max_age_ms=500", "repeat=reads" },
	  FAULT_NONE,
	  EXIT_OK,
	  "stock revision=11" },
	{ { "config", "revision" }, FAULT_NONE, EXIT_OK, "revision: 11" },
	{ { "config", "wait" }, FAULT_NONE, EXIT_OK, "2 of 2" },
	{ { "config", "wait", "99", "--wait-ms", "1" },
	  FAULT_NONE,
	  EXIT_NOT_IN_FORCE,
	  "0 of 2" },
	{ { "status" }, FAULT_NONE, EXIT_OK, "requests.pending: 3" },
	{ { "metrics" }, FAULT_NONE, EXIT_OK, "zinnialine_pending_requests 3" },
	{ { "drain" }, FAULT_NONE, EXIT_OK, "draining: true" },
	{ { "profile", "list", "--server", "127.0.0.1:1" },
	  FAULT_NONE,
	  EXIT_OK,
	  "stock revision=11" },
	{ { "profile", "list", "--operator-key-file", "Makefile" },
	  FAULT_NONE,
	  EXIT_REFUSED,
	  "wrong operator key" },
};

TEST_F(CliFlow, CommandsAgainstAnInstance)
{
	for (const Step &s : steps) {
		std::string line;

		for (const std::string &a : s.args)
			line += a + " ";
		SCOPED_TRACE(line);
		instance.fault = s.fault;
		run_and_check(s.exit_code, s.args, s.output);
	}
	EXPECT_EQ(1, instance.drains);
}

/* Returns the key that was printed, "" if there is none. */
std::string find_key(const std::string &output)
{
	size_t at = output.find("key: ");

	if (at == std::string::npos)
		return "";
	at += strlen("key: ");
	return output.substr(at, output.find('\n', at) - at);
}

TEST_F(CliFlow, KeyIsPrintedOnceAndWithdrawnByKeyFile)
{
	std::string key = find_key(
		run_and_check(EXIT_OK, { "key", "add", "mill" }, "key: "));

	EXPECT_EQ(43u, key.size());
	EXPECT_EQ(1u, instance.count(RECORD_KEY));
	std::string list =
		run_and_check(EXIT_OK, { "key", "list" }, "workspace=mill");
	EXPECT_EQ(std::string::npos, list.find(key));
	run_and_check(EXIT_REFUSED, { "key", "withdraw", "--key-file", "-" },
		      "no such entry", "another\n");
	run_and_check(EXIT_OK, { "key", "withdraw", "--key-file", "-" },
		      "confirmed by 2 of 2", key + "\n");
	EXPECT_EQ(0u, instance.count(RECORD_KEY));
}

TEST_F(CliFlow, KeyIsWithdrawnByItsDigest)
{
	run_and_check(EXIT_OK, { "key", "add", "mill" }, "key: ");
	std::string list =
		run_and_check(EXIT_OK, { "key", "list" }, " revision=");

	run_and_check(EXIT_OK, { "key", "withdraw", list.substr(0, 64) },
		      "revision=");
	EXPECT_EQ(0u, instance.count(RECORD_KEY));
}

TEST_F(CliFlow, NoKeyIsPrintedWhenTheOutcomeIsUnknown)
{
	instance.fault = FAULT_UNKNOWN;
	std::string output =
		run_and_check(EXIT_UNKNOWN, { "key", "add", "mill" },
			      "its digest would be");

	EXPECT_EQ("", find_key(output));
}

} // namespace
