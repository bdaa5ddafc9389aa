#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "../platform/json_tree.h"
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

} // namespace
