#include <gtest/gtest.h>

#include <stdio.h>
#include <string.h>
#include <string>

extern "C" {
#include "core/error.h"
#include "etcd/record_codec.h"
#include "etcd/record_kv.h"
}

namespace
{

const std::string DIGEST(64, 'a');
const std::string LONG_NAME(NAME_BYTES - 1, 'n');
const std::string HOLDER =
	"{\"instance\":\"i1\",\"incarnation\":\"ffffffffffffffff\",\"ppm\":";
const std::string ENDPOINT_TAIL =
	"\"slots\":5,\"connections_max\":35,\"state\":\"live\"}";

struct RoundTripCase {
	std::string path;
	std::string value; /* as written: keys sorted, no spaces */
};

const RoundTripCase round_trips[] = {
	{ "profile/counter",
	  "{\"cost_milli\":1000,\"max_age_ms\":250,\"open\":false,"
	  "\"open_workspace\":\"\",\"repeat\":\"by_id\"}" },
	{ "profile/open", "{\"cost_milli\":1,\"max_age_ms\":0,\"open\":true,"
			  "\"open_workspace\":\"public\","
			  "\"repeat\":\"never\"}" },
	{ "workspace/" + LONG_NAME,
	  "{\"burst_milli\":0,\"rate_milli_per_s\":1000000000,"
	  "\"weight\":1000}" },
	{ "key/" + DIGEST, "{\"workspace\":\"a.b_c-d\"}" },
	{ "endpoint/ledger/e1",
	  "{\"address\":\"[::1]:5432\",\"connections_max\":35,\"slots\":5,"
	  "\"state\":\"leaving\",\"zone\":\"daejeon-a\"}" },
	{ "term/ledger", "{\"change_id\":\"8000000000000001\",\"primary\":\"\","
			 "\"promoter\":\"i1\",\"term\":9223372036854775807}" },
	{ "share/0", "{\"holders\":[]}" },
	{ "share/65535",
	  "{\"holders\":[{\"incarnation\":\"00000000000000ff\","
	  "\"instance\":\"i1\",\"ppm\":1000000},"
	  "{\"incarnation\":\"0000000000000001\",\"instance\":\"i2\","
	  "\"ppm\":0}]}" },
	{ "member/i1", "{\"address\":\"10.0.0.1:7000\","
		       "\"incarnation\":\"0123456789abcdef\","
		       "\"zone\":\"karditsa\"}" },
	{ "instance/i1", "{\"leaving\":true}" },
};

/* Reads a record of revision 7; returns "" or the reason of the rejection. */
std::string read_record(const std::string &path, const std::string &value,
			struct record *r)
{
	struct etcd_kv kv = {};
	char reason[RECORD_REASON_BYTES] = "";

	kv.value = const_cast<char *>(value.c_str());
	kv.mod_revision = 7;
	if (!record_from_kv(path.c_str(), &kv, r, reason, sizeof(reason)))
		return "";
	EXPECT_STRNE("", reason);
	EXPECT_EQ(nullptr, strchr(reason, '\n'));
	return reason;
}

TEST(RecordCodec, RoundTrip)
{
	for (const RoundTripCase &c : round_trips) {
		SCOPED_TRACE(c.path);
		struct record r;
		char path[RECORD_PATH_BYTES];

		ASSERT_EQ("", read_record(c.path, c.value, &r));
		EXPECT_EQ(7, r.revision);
		record_to_path(&r, path, sizeof(path));
		EXPECT_EQ(c.path, path);
		char *value = record_to_value(&r);
		EXPECT_EQ(c.value, value);
		free(value);
	}
}

TEST(RecordCodec, AbsentOptionalFieldsGetDefaults)
{
	struct record r;

	memset(&r, 0xff, sizeof(r));
	ASSERT_EQ("",
		  read_record("profile/p",
			      "{\"max_age_ms\":1,\"repeat\":\"reads\"}", &r));
	EXPECT_EQ(1000u, r.profile.cost_milli);
	EXPECT_EQ(US_PER_MS, r.profile.max_age_us);
	EXPECT_FALSE(r.profile.open);
	ASSERT_EQ("", read_record("workspace/w",
				  "{\"rate_milli_per_s\":5,\"burst_milli\":6}",
				  &r));
	EXPECT_EQ(1u, r.workspace.weight);
}

const std::string invalid_paths[] = {
	"",
	"profile",
	"profile/",
	"/profile/a",
	"profiles/a",
	"PROFILE/a",
	"profile/a/b",
	"profile/a b",
	"profile/\xc3\xa9",
	"profile/" + LONG_NAME + "n",
	"key/" + DIGEST.substr(1),
	"key/" + DIGEST + "a",
	"key/" + DIGEST.substr(1) + "A",
	"endpoint/e1",
	"endpoint//e1",
	"endpoint/g/",
	"endpoint/g/e/x",
	"endpoint/" + LONG_NAME + "n/e",
	"share/",
	"share/-1",
	"share/01",
	"share/65536",
	"share/99999999999",
	"share/1x",
};

TEST(RecordCodec, RejectsInvalidPaths)
{
	for (const std::string &path : invalid_paths) {
		SCOPED_TRACE(path);
		struct record r;

		EXPECT_NE(0, record_from_path(path.c_str(), &r));
	}
}

struct RejectionCase {
	const char *path;
	std::string value;
	const char *reason;
};

const RejectionCase rejections[] = {
	{ "instance/i", "", "malformed JSON" },
	{ "instance/i", "{\"leaving\":true", "malformed JSON" },
	{ "instance/i", "{\"leaving\":true,\"leaving\":false}",
	  "malformed JSON" },
	{ "instance/i", "[true]", "not a JSON object" },
	{ "instance/i", "{}", "leaving: missing" },
	{ "instance/i", "{\"leaving\":1}", "leaving: not a boolean" },
	{ "instance/i", "{\"leaving\":null}", "leaving: not a boolean" },
	{ "instance/i", "{\"leaving\":true,\"x\":1}", "x: unknown field" },
	{ "instance/i", "{\"leaving\":true,\"\\n\":1}",
	  "field: unknown field" },
	{ "profile/p", "{\"max_age_ms\":1.5,\"repeat\":\"never\"}",
	  "max_age_ms: not an integer" },
	{ "profile/p", "{\"max_age_ms\":\"1\",\"repeat\":\"never\"}",
	  "max_age_ms: not an integer" },
	{ "profile/p", "{\"max_age_ms\":-1,\"repeat\":\"never\"}",
	  "max_age_ms: out of range" },
	{ "profile/p",
	  "{\"max_age_ms\":9223372036854775807,\"repeat\":\"never\"}",
	  "max_age_ms: out of range" },
	{ "profile/p",
	  "{\"max_age_ms\":9223372036854775808,\"repeat\":\"never\"}",
	  "malformed JSON" },
	{ "profile/p", "{\"max_age_ms\":1,\"repeat\":\"always\"}",
	  "repeat: unknown word" },
	{ "profile/p", "{\"max_age_ms\":1,\"repeat\":\"reads\\u0000\"}",
	  "malformed JSON" },
	{ "profile/p",
	  "{\"max_age_ms\":1,\"repeat\":\"reads\",\"cost_milli\":0}",
	  "cost_milli: out of range" },
	{ "profile/p", "{\"max_age_ms\":1,\"repeat\":\"reads\",\"open\":true}",
	  "open_workspace: goes with open profiles, and only with them" },
	{ "profile/p",
	  "{\"max_age_ms\":1,\"repeat\":\"reads\",\"open_workspace\":\"w\"}",
	  "open_workspace: goes with open profiles, and only with them" },
	{ "workspace/w", "{\"rate_milli_per_s\":4294967296,\"burst_milli\":1}",
	  "rate_milli_per_s: out of range" },
	{ "workspace/w",
	  "{\"rate_milli_per_s\":1,\"burst_milli\":1,\"weight\":0}",
	  "weight: out of range" },
	{ "key/aa", "{\"workspace\":\"w\"}", "unknown key" },
	{ "endpoint/g/e",
	  "{\"zone\":\"a b\",\"address\":\"1.2.3.4:5\"," + ENDPOINT_TAIL,
	  "zone: not a name" },
	{ "endpoint/g/e",
	  "{\"zone\":\"\",\"address\":\"1.2.3.4:5\"," + ENDPOINT_TAIL,
	  "zone: empty" },
	{ "endpoint/g/e",
	  "{\"zone\":\"z\",\"address\":\"localhost:5\"," + ENDPOINT_TAIL,
	  "address: not ip:port" },
	{ "endpoint/g/e",
	  "{\"zone\":\"z\",\"address\":\"1.2.3.4:65536\"," + ENDPOINT_TAIL,
	  "address: not ip:port" },
	{ "endpoint/g/e",
	  "{\"zone\":\"z\",\"address\":\"1.2.3.4:0\"," + ENDPOINT_TAIL,
	  "address: not ip:port" },
	{ "endpoint/g/e",
	  "{\"zone\":\"z\",\"address\":\"::1:5\"," + ENDPOINT_TAIL,
	  "address: not ip:port" },
	{ "endpoint/g/e", "{\"zone\":\"z\",\"address\":7," + ENDPOINT_TAIL,
	  "address: not a text" },
	{ "term/g",
	  "{\"term\":-1,\"primary\":\"\",\"promoter\":\"\","
	  "\"change_id\":\"0000000000000000\"}",
	  "term: out of range" },
	{ "term/g",
	  "{\"term\":1,\"primary\":\"\",\"promoter\":\"\","
	  "\"change_id\":\"0x00000000000000\"}",
	  "change_id: not 16 hexadecimal digits" },
	{ "share/1", "{\"holders\":{}}", "holders: not an array" },
	{ "share/1", "{\"holders\":[1]}", "not a JSON object" },
	{ "share/1", "{\"holders\":[" + HOLDER + "1000001}]}",
	  "ppm: out of range" },
	{ "share/1", "{\"holders\":[" + HOLDER + "1},{}]}",
	  "instance: missing" },
	{ "share/1", "{\"holders\":[" + HOLDER + "1}," + HOLDER + "1}]}",
	  "holders: an instance stands twice" },
	{ "share/1",
	  "{\"holders\":[" + HOLDER + "1000000}," +
		  "{\"instance\":\"i2\",\"incarnation\":"
		  "\"0000000000000001\",\"ppm\":1}]}",
	  "holders: the sum exceeds the whole" },
};

TEST(RecordCodec, RejectsInvalidValues)
{
	for (const RejectionCase &c : rejections) {
		SCOPED_TRACE(c.path + std::string(" ") + c.value);
		struct record r;

		EXPECT_EQ(c.reason, read_record(c.path, c.value, &r));
	}
}

TEST(RecordCodec, RejectsTooManyHolders)
{
	std::string value = "{\"holders\":[";
	struct record r;

	for (int i = 0; i <= SHARE_HOLDERS_MAX; i++)
		value += std::string(i ? "," : "") + "{\"instance\":\"i" +
			 std::to_string(i) +
			 "\",\"incarnation\":\"0000000000000001\",\"ppm\":0}";
	EXPECT_EQ("holders: too many entries",
		  read_record("share/1", value + "]}", &r));
}

} // namespace
