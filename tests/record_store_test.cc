#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "admin/record_store.h"
}

namespace
{

struct record make_endpoint(const char *group, const char *name,
			    int64_t revision)
{
	struct record r = {};

	r.kind = RECORD_ENDPOINT;
	r.revision = revision;
	snprintf(r.endpoint.group, NAME_BYTES, "%s", group);
	snprintf(r.endpoint.name, NAME_BYTES, "%s", name);
	return r;
}

void append_name(void *data, const char *name, const struct record *r)
{
	*static_cast<std::string *>(data) += std::string(name) + " ";
}

/*
 * Each step puts (> 0) or deletes (< 0) the endpoint "g/a"; its absolute value
 * is the revision. 0: no step.
 */
struct StoreCase {
	const char *name;
	int64_t steps[3];
	int64_t revision; /* of the record stored at the end, 0: none */
};

const StoreCase cases[] = {
	{ "put", { 4 }, 4 },
	{ "later put replaces", { 4, 6 }, 6 },
	{ "earlier put is ignored", { 6, 4 }, 6 },
	{ "later deletion drops", { 4, -5 }, 0 },
	{ "earlier deletion is ignored", { 4, -3 }, 4 },
	{ "put after deletion", { 4, -5, 6 }, 6 },
	{ "deletion of nothing", { -5 }, 0 },
};

TEST(RecordStore, EarlierRevisionsAreIgnored)
{
	for (const StoreCase &c : cases) {
		struct record_store *s = record_store_new();

		SCOPED_TRACE(c.name);
		for (int64_t step : c.steps) {
			struct record r = make_endpoint("g", "a", llabs(step));

			if (step > 0)
				record_store_put(s, &r);
			else if (step < 0)
				record_store_delete(s, &r);
		}
		const struct record *stored =
			record_store_find(s, RECORD_ENDPOINT, "g/a");
		EXPECT_EQ(c.revision, stored ? stored->revision : 0);
		EXPECT_EQ(c.revision ? 1u : 0u,
			  record_store_count(s, RECORD_ENDPOINT));
		record_store_free(s);
	}
}

TEST(RecordStore, KindsAreSeparateAndOrderedByName)
{
	struct record_store *s = record_store_new();
	std::string names;
	struct record profile = {};

	for (const char *name : { "c", "a", "b" }) {
		struct record r = make_endpoint("g", name, 1);

		record_store_put(s, &r);
	}
	profile.kind = RECORD_PROFILE;
	strcpy(profile.profile.name, "g/a");
	profile.revision = 9;
	record_store_put(s, &profile);
	record_store_iterate(s, RECORD_ENDPOINT, append_name, &names);
	EXPECT_EQ("g/a g/b g/c ", names);
	EXPECT_EQ(1u, record_store_count(s, RECORD_PROFILE));
	record_store_free(s);
}

TEST(RecordStore, KeysAreNamedByTheirDigest)
{
	struct record r = {};
	char name[RECORD_NAME_BYTES];

	r.kind = RECORD_KEY;
	memset(r.key.digest, 0xab, DIGEST_BYTES);
	record_format_name(&r, name, sizeof(name));
	EXPECT_EQ(std::string(64, 'x').size(), strlen(name));
	EXPECT_EQ(0, strncmp(name, "abab", 4));
}

} // namespace
