#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>

extern "C" {
#include "../platform/json_tree.h"
#include "../platform/line_wire.h"
#include "../platform/record_json.h"
}

namespace
{

/* Entries of another writer, as an item of the store. */
struct store_item read_item(const std::string &key, const std::string &value)
{
	struct store_item out;
	g_autofree char *base64 =
		g_base64_encode(reinterpret_cast<const guchar *>(value.data()),
				value.size());
	const std::string text = "{\"key\":" + key + ",\"revision\":5," +
				 "\"value\":\"" + base64 + "\"}";
	yajl_val tree = json_tree_parse(text.c_str(), text.size());

	record_read_item(tree, &out);
	yajl_tree_free(tree);
	return out;
}

struct HostileNameCase {
	const char *name;
	const char *key; /* as a JSON string */
	const char *service;
	const char *address;
	const char *zone;
	bool names_an_endpoint;
};

const HostileNameCase hostile_names[] = {
	{ "usual", "\"servers/i-1\"", "svc", "10.0.0.1:5", "a b", true },
	{ "line end in the id", "\"servers/i-1\\r\\nQUERY x COMMIT\"", "svc",
	  "10.0.0.1:5", "a", false },
	{ "blank in the id", "\"servers/i-1 x\"", "svc", "10.0.0.1:5", "a",
	  false },
	{ "line end in the service", "\"servers/i-1\"", "svc\\r\\nTERMINATE",
	  "10.0.0.1:5", "a", false },
	{ "blank in the service", "\"servers/i-1\"", "svc other", "10.0.0.1:5",
	  "a", false },
	{ "line end in the address", "\"servers/i-1\"", "svc", "10.0.0.1:5\\n",
	  "a", false },
	{ "control character in the zone", "\"servers/i-1\"", "svc",
	  "10.0.0.1:5", "a\\u0001", false },
};

/*
 * Ids and service names are sent to endpoints as words of a line, so one that
 * holds a blank or a line end would add fields or a statement.
 */
TEST(HostileItem, NamesThatDoNotFitALineNameNoEndpoint)
{
	for (const HostileNameCase &k : hostile_names) {
		SCOPED_TRACE(k.name);
		struct store_item i = read_item(
			k.key, std::string("{\"service\":\"") + k.service +
				       "\",\"state\":\"ready\",\"address\":\"" +
				       k.address + "\",\"zone\":\"" + k.zone +
				       "\",\"slots\":4,\"sequence\":1," +
				       "\"db_role\":\"replica\"}");

		EXPECT_EQ(k.names_an_endpoint,
			  i.kind == ITEM_UPSTREAM && i.readable);
		store_item_clear(&i);
	}
}

struct DepthCase {
	const char *name;
	size_t depth;
	bool is_read;
};

const DepthCase depths[] = {
	{ "as deep as an answer of the store", 8, true },
	{ "a megabyte of nested arrays", 500 * 1000, false },
};

/* Freeing a tree recurses, so a deep one would overflow the stack. */
TEST(HostileItem, DeepJsonIsRefused)
{
	for (const DepthCase &k : depths) {
		SCOPED_TRACE(k.name);
		const std::string text = std::string(k.depth, '[') + "\"[[\"" +
					 std::string(k.depth, ']');
		yajl_val tree = json_tree_parse(text.c_str(), text.size());

		EXPECT_EQ(k.is_read, tree != nullptr);
		yajl_tree_free(tree);
	}
}

/* The parser takes comments; a quote in one hid the depth behind it. */
TEST(HostileItem, CommentHidesNoDepth)
{
	const std::string deep =
		std::string(500 * 1000, '[') + std::string(500 * 1000, ']');

	for (const char *comment : { "/*\"*/", "//\"\n", "/**/" }) {
		const std::string text = comment + deep;
		yajl_val tree = json_tree_parse(text.c_str(), text.size());

		EXPECT_EQ(nullptr, tree) << comment;
		yajl_tree_free(tree);
	}
}

TEST(HostileItem, DeepEntryIsUnreadable)
{
	const std::string deep =
		std::string(400 * 1000, '[') + std::string(400 * 1000, ']');
	struct store_item config = read_item("\"op/config\"", deep);
	struct store_item endpoint = read_item("\"servers/i-1\"", deep);

	EXPECT_FALSE(config.readable);
	EXPECT_FALSE(endpoint.readable);
	store_item_clear(&config);
	store_item_clear(&endpoint);
}

struct OddFieldCase {
	const char *field;
	const char *value; /* as JSON; "": the field is missing */
	bool names_an_endpoint;
};

const OddFieldCase odd_fields[] = {
	{ "service", "", false },
	{ "service", "5", false },
	{ "service", "[[[[\"svc\"]]]]", false },
	{ "address", "", false },
	{ "address", "\"10.0.0.1\"", false },
	{ "address", "\"10.0.0.1:\"", false },
	{ "address", "\"10.0.0.1:0\"", false },
	{ "address", "\"10.0.0.1:65535\"", true },
	{ "address", "\"10.0.0.1:65536\"", false },
	{ "address", "\"10.0.0.1:-1\"", false },
	{ "address", "\"10.0.0.1:99999999999999999999\"", false },
	{ "address", "\"10.0.0.256:5\"", false },
	{ "address", "\"host:5\"", false },
	{ "address", "\"[::1]:5\"", false },
	{ "address", "{\"ip\":\"10.0.0.1\",\"port\":5}", false },
	{ "zone", "", false },
	{ "zone", "null", false },
	{ "slots", "", false },
	{ "slots", "0", false },
	{ "slots", "-1", false },
	{ "slots", "1.5", false },
	{ "slots", "\"4\"", false },
	{ "slots", "4294967300", false },
	{ "slots", "9223372036854775807", false },
	{ "slots", "9223372036854775808", false },
	{ "slots", "1e400", false },
	{ "state", "", false },
	{ "state", "\"gone\"", false },
	{ "state", "true", false },
	{ "db_role", "", false },
	{ "db_role", "\"witness\"", false },
	{ "sequence", "", false },
	{ "sequence", "-1", false },
	{ "sequence", "99999999999999999999", false },
	{ "born", "-1", false },
	{ "born", "\"5\"", false },
	{ "born", "1.5e12", false },
	{ "born", "9223372036854775807", false },
	{ "born", "1765000000000", true },
	{ "version", "[[[[1]]]]", true },
	{ "cold_remaining_ms", "1e300", true },
};

/* Returns an entry in which one field has another value. */
std::string odd_entry(const OddFieldCase &k)
{
	const std::pair<const char *, const char *> fields[] = {
		{ "service", "\"svc\"" }, { "address", "\"10.0.0.1:5\"" },
		{ "zone", "\"a\"" },	  { "slots", "4" },
		{ "state", "\"ready\"" }, { "db_role", "\"replica\"" },
		{ "sequence", "1" },	  { "born", "5" },
		{ "version", "\"1\"" },	  { "cold_remaining_ms", "0" },
	};
	std::string out;

	for (auto &f : fields) {
		std::string value =
			strcmp(f.first, k.field) ? f.second : k.value;

		if (!value.empty())
			out += (out.empty() ? "{\"" : ",\"") +
			       std::string(f.first) + "\":" + value;
	}
	return out + "}";
}

/*
 * Guards against an odd entry of another writer that counts as an endpoint,
 * although it can't be reached or its figures overflow.
 */
TEST(HostileItem, OddFieldsNameNoEndpoint)
{
	for (const OddFieldCase &k : odd_fields) {
		SCOPED_TRACE(odd_entry(k));
		struct store_item i =
			read_item("\"servers/i-1\"", odd_entry(k));

		EXPECT_EQ(ITEM_UPSTREAM, i.kind);
		EXPECT_EQ(k.names_an_endpoint, i.readable);
		store_item_clear(&i);
	}
}

/*
 * Guards against a replica set that is dropped as a whole since an earlier
 * build recorded a member that was odd: its other members may hold commits.
 */
TEST(HostileItem, OddMemberLeavesTheReplicaSetReadable)
{
	struct replica_set_entry set = {};
	struct upstream_entry members[2] = {};

	for (struct upstream_entry &e : members) {
		g_strlcpy(e.id, &e == members ? "i-1" : "i-2", sizeof(e.id));
		g_strlcpy(e.zone, "a", sizeof(e.zone));
		e.slots = 4;
	}
	g_strlcpy(members[0].address, "10.0.0.1:99999",
		  sizeof(members[0].address));
	g_strlcpy(members[1].address, "10.0.0.2:5", sizeof(members[1].address));
	set.members = members;
	set.count = 2;
	g_autofree char *base64 = record_encode_replica_set(&set);
	g_autofree guchar *bytes = nullptr;
	gsize len = 0;

	bytes = g_base64_decode(base64, &len);
	struct store_item i =
		read_item(std::string("\"") + REPLICA_SET_PREFIX + "svc\"",
			  std::string(reinterpret_cast<char *>(bytes), len));
	EXPECT_TRUE(i.readable);
	EXPECT_EQ(2u, i.replica_set.count);
	store_item_clear(&i);
}

struct ConfigNameCase {
	const char *name;
	std::string text; /* as in a JSON string */
	bool as_database; /* it is used as one */
	bool as_name; /* it is used as a service and as a workspace */
};

const ConfigNameCase config_names[] = {
	{ "usual", "i-7f3a91c2", true, true },
	{ "not ASCII", "\\ud55c\\uae00", true, true },
	{ "longest", std::string(NAME_BYTES - 1, 'n'), true, true },
	{ "too long", std::string(NAME_BYTES, 'n'), true, false },
	{ "300 kB", std::string(300 * 1000, 'n'), true, false },
	{ "empty", "", false, false },
	{ "blank inside", "a b", false, false },
	{ "blank at the end", "a ", false, false },
	{ "another line", "a\\r\\nQUERY - DEMOTE 9", false, false },
	{ "line feed", "a\\nb", false, false },
	{ "carriage return at the end", "a\\r", false, false },
	{ "tabulator", "a\\tb", false, false },
	{ "control character", "a\\u0001", false, false },
	{ "delete", "a\\u007f", false, false },
	{ "NUL at the end", "a\\u0000", false, false },
	{ "NUL, then another name", "a\\u0000b", false, false },
	{ "half of a surrogate pair", "a\\ud800", false, false },
	{ "other half", "a\\uDC00", false, false },
	{ "halves in the wrong order", "a\\udc00\\ud800", false, false },
};

struct store_item read_config_with(const std::string &name)
{
	const std::string odd = "\"" + name + "\"";

	return read_item("\"op/config\"",
			 "{\"version\":41,\"routes\":["
			 "{\"host\":" +
				 odd +
				 ",\"service\":\"svc\"},"
				 "{\"host\":\"of-odd\",\"service\":" +
				 odd +
				 "},{\"host\":\"db\",\"service\":\"svc\"}],"
				 "\"services\":[{\"name\":" +
				 odd +
				 "},{\"name\":\"svc\"}],"
				 "\"tenants\":[{\"name\":" +
				 odd +
				 ",\"api_keys\":[\"key-odd\"]},"
				 "{\"name\":\"t\",\"api_keys\":[\"key\"]}]}");
}

/*
 * Guards against a name of the configuration that adds a word or a line to what
 * endpoints and other instances are sent, that is cut to another one's, or that
 * takes the rest of the configuration out of use.
 */
TEST(HostileItem, OddNameOfAConfigurationIsLeftOutAlone)
{
	for (const ConfigNameCase &k : config_names) {
		SCOPED_TRACE(k.name);
		struct store_item i = read_config_with(k.text);
		const struct fleet_config *c = i.config;
		uint32_t left_out = 2 * !k.as_name + !k.as_database;

		ASSERT_TRUE(i.readable);
		EXPECT_EQ(41, c->version);
		EXPECT_EQ(k.as_database ? 3u : 2u, c->routes->len);
		EXPECT_EQ(k.as_name ? 2u : 1u, c->services->len);
		EXPECT_EQ(k.as_name ? 2u : 1u, c->workspaces->len);
		EXPECT_EQ(k.as_name,
			  fleet_config_find_workspace_by_key(c, "key-odd") !=
				  nullptr);
		EXPECT_NE(nullptr, fleet_config_find_route(c, "db"));
		EXPECT_NE(nullptr, fleet_config_find_route(c, "of-odd"));
		EXPECT_EQ(nullptr, fleet_config_find_route(c, "a"));
		EXPECT_NE(nullptr, fleet_config_find_service(c, "svc"));
		EXPECT_NE(nullptr,
			  fleet_config_find_workspace_by_key(c, "key"));
		EXPECT_EQ(left_out, c->left_out_count);
		EXPECT_EQ(left_out > 0, c->left_out_name != nullptr);
		store_item_clear(&i);
	}
}

/* Likewise, with what an endpoint is sent. */
TEST(HostileItem, EveryNameOfAConfigurationIsOneWord)
{
	for (const ConfigNameCase &k : config_names) {
		SCOPED_TRACE(k.name);
		struct store_item i = read_config_with(k.text);

		for (guint n = 0; n < i.config->services->len; n++) {
			auto *svc = static_cast<struct service_config *>(
				i.config->services->pdata[n]);
			auto *w = static_cast<struct workspace_config *>(
				i.config->workspaces->pdata[n]);
			GString *out = g_string_new(nullptr);

			line_wire.put_start(out, svc->name, w->name, "i-1");
			EXPECT_EQ(3, std::count(out->str, out->str + out->len,
						' '));
			EXPECT_EQ(out->str + out->len - 2,
				  strpbrk(out->str, "\r\n"));
			g_string_free(out, TRUE);
		}
		store_item_clear(&i);
	}
}

/*
 * Guards against an entry that gives one instance's address and zone under the
 * name of another one.
 */
TEST(HostileItem, InstanceIsNamedByItsKey)
{
	for (const char *name : { "n-1", "n-2", "n-1 ", "" }) {
		struct store_item i = read_item(
			"\"" INSTANCE_PREFIX "n-1\"",
			std::string("{\"name\":\"") + name +
				"\",\"zone\":\"a\",\"address\":\"10.1.0.1:1\","
				"\"relay\":\"10.2.0.1:1\",\"incarnation\":7,"
				"\"settled\":true}");

		EXPECT_EQ(ITEM_INSTANCE, i.kind);
		EXPECT_EQ(!strcmp(name, "n-1"), i.readable) << name;
		store_item_clear(&i);
	}
}

struct ConfigNumberCase {
	const char *value; /* as JSON; of every number below */
	int64_t duration_us;
	uint32_t count;
	uint32_t milli;
};

/* Later than any moment that a duration is added to. */
constexpr int64_t LONGEST_US = INT64_C(1000000000000) * US_PER_MS;

const ConfigNumberCase config_numbers[] = {
	{ "7", 7 * US_PER_MS, 7, 7000 },
	{ "0", 0, 0, 0 },
	{ "-1", 0, 9, 0 },
	{ "-1e300", 0, 9, 0 },
	{ "4294967295", 4294967295 * US_PER_MS, UINT32_MAX, UINT32_MAX },
	{ "4294967296", 4294967296 * US_PER_MS, UINT32_MAX, UINT32_MAX },
	{ "9223372036854775807", LONGEST_US, UINT32_MAX, UINT32_MAX },
	{ "9223372036854775808", LONGEST_US, 9, UINT32_MAX },
	{ "1e300", LONGEST_US, 9, UINT32_MAX },
};

/*
 * Guards against a number that overflows where it is read: a time-out in the
 * past, or the highest priority instead of the lowest.
 */
TEST(HostileItem, NumberOfAConfigurationDoesNotOverflow)
{
	for (const ConfigNumberCase &k : config_numbers) {
		SCOPED_TRACE(k.value);
		const std::string n = k.value;
		struct store_item i = read_item(
			"\"op/config\"",
			"{\"version\":1,\"limits\":{\"tx_idle_ms\":" + n +
				"},\"routes\":[{\"host\":\"db\",\"service\":"
				"\"svc\",\"timeout_ms\":" +
				n + ",\"target_latency_ms\":" + n +
				",\"kind\":\"bounded_staleness\","
				"\"max_staleness_ms\":" +
				n + ",\"priority\":" + n +
				"}],\"tenants\":[{\"name\":\"t\",\"api_keys\":"
				"[\"key\"],\"rate_per_s\":" +
				n + ",\"burst\":" + n + ",\"priority\":" + n +
				"}]}");

		ASSERT_TRUE(i.readable);
		const struct route *r = fleet_config_find_route(i.config, "db");
		const struct workspace_config *w =
			fleet_config_find_workspace_by_key(i.config, "key");
		EXPECT_EQ(k.duration_us, i.config->transaction_idle_us);
		EXPECT_EQ(k.duration_us, r->timeout_us);
		EXPECT_EQ(k.duration_us, r->target_us);
		EXPECT_EQ(k.duration_us, r->max_age_us);
		EXPECT_EQ(k.duration_us ? FRESH_BOUNDED : FRESH_STRICT,
			  r->freshness);
		EXPECT_EQ(k.count, r->priority);
		EXPECT_EQ(k.count, w->priority);
		EXPECT_EQ(k.milli, w->rate_milli_per_s);
		EXPECT_EQ(k.milli, w->burst_milli);
		store_item_clear(&i);
	}
}

struct PublicNameCase {
	const char *workspaces; /* elements of a JSON array */
	const char *public_workspace;
};

const PublicNameCase public_names[] = {
	{ "", "public" },
	{ "{\"name\":\"t\"}", "public" },
	{ "{\"name\":\"public-2\"}", "public" },
	{ "{\"name\":\"public\"}", "public-2" },
	{ "{\"name\":\"public\"},{\"name\":\"public-2\"}", "public-3" },
	{ "{\"name\":\"public-2\"},{\"name\":\"public\"}", "public-3" },
};

/*
 * Guards against sessions without a key that take from the limit of a workspace
 * and that endpoints are told as its sessions.
 */
TEST(HostileItem, SessionsWithoutAKeyAreOfNoWorkspace)
{
	for (const PublicNameCase &k : public_names) {
		SCOPED_TRACE(k.workspaces);
		struct store_item i =
			read_item("\"op/config\"",
				  std::string("{\"version\":1,\"tenants\":[") +
					  k.workspaces + "]}");

		ASSERT_TRUE(i.readable);
		EXPECT_STREQ(k.public_workspace, i.config->public_workspace);
		store_item_clear(&i);
	}
}

struct ConfigKeyCase {
	const char *key; /* as in a JSON string */
	const char *sent; /* by a caller */
	bool accepted;
};

const ConfigKeyCase config_keys[] = {
	{ "k-1", "k-1", true },
	{ "k\\u002d1", "k-1", true },
	{ "k\\\\u0000", "k\\u0000", true },
	{ "\\ud83d\\ude00", "\xf0\x9f\x98\x80", true },
	{ "k\\nl", "k\nl", true },
	{ "k\\u0000x", "k", false },
	{ "k\\u0000x", "k\x1ax", false },
	{ "k\\u0000", "k", false },
	{ "k\\ud800", "k?", false },
	{ "k\\ud800\\u0041", "kA", false },
	{ "k\\udfff", "k?", false },
	{ "\\u0000k", "", false },
};

/*
 * Guards against a key that was read up to a NUL, or with a question mark for
 * what it can't hold: callers with a key that no configuration holds got in,
 * also in place of the workspace that has the shorter key.
 */
TEST(HostileItem, KeyIsNotReadAsAnotherOne)
{
	for (const ConfigKeyCase &k : config_keys) {
		SCOPED_TRACE(std::string(k.key) + " / " + k.sent);
		struct store_item i = read_item(
			"\"op/config\"",
			std::string("{\"version\":1,\"tenants\":[{\"name\":"
				    "\"t\",\"api_keys\":[\"") +
				k.key + "\"]}]}");

		ASSERT_TRUE(i.readable);
		EXPECT_EQ(k.accepted, fleet_config_find_workspace_by_key(
					      i.config, k.sent) != nullptr);
		EXPECT_EQ(k.accepted ? 0u : 1u, i.config->left_out_count);
		store_item_clear(&i);
	}
}

/*
 * Guards against an entry of another writer that is taken for that of the
 * endpoint with the shorter id, or removes it.
 */
TEST(HostileItem, IdIsNotReadUpToItsNul)
{
	const std::string value =
		"{\"service\":\"svc\",\"state\":\"ready\",\"address\":"
		"\"10.0.0.1:5\",\"zone\":\"a\",\"slots\":4,\"sequence\":1,"
		"\"db_role\":\"replica\"}";

	for (const char *key :
	     { "\"servers/i-1\\u0000\"", "\"servers/i-1\\u0000x\"",
	       "\"servers\\u0000/i-1\"", "\"servers/i-1\\ud800\"" }) {
		struct store_item i = read_item(key, value);

		EXPECT_EQ(ITEM_OTHER, i.kind) << key;
		store_item_clear(&i);
	}
}

} // namespace
