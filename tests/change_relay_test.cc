#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "feed/change_log.h"
#include "feed/change_relay.h"
}

namespace
{

constexpr int64_t MS = 1000;

/* A relay and what it has sent, by instance. */
struct Relay {
	struct change_relay *relay;
	std::map<std::string, std::vector<int64_t>> sent;
	int64_t last_after = 0;

	Relay()
	{
		const struct change_relay_opts o = {
			[](void *data, const char *instance,
			   const struct peer_change *c) {
				auto *r = static_cast<Relay *>(data);

				r->sent[instance].push_back(c->position);
				r->last_after = c->after;
			},
			this
		};

		relay = change_relay_new(&o);
		change_relay_reset(relay, 10);
	}

	~Relay()
	{
		change_relay_free(relay);
	}

	void append(int64_t from, int64_t to, const char *text = "k v")
	{
		for (int64_t i = from; i <= to; i++)
			change_relay_append(relay, i, text);
	}
};

using Positions = std::vector<int64_t>;

struct ReportCase {
	const char *name;
	int64_t position; /* of the report */
	Positions sent;
};

/* The relay has listed the store at 10; 11 to 13 followed, 12 is too large. */
const ReportCase report_cases[] = {
	{ "it has everything", 13, {} },
	{ "it has more", 20, {} },
	{ "it lacks the last", 12, { 13 } },
	{ "it lacks one that is too large", 11, {} },
	{ "up to that one", 10, { 11 } },
	{ "it lacks what was listed", 9, {} },
	{ "it has nothing", 0, {} },
};

TEST(ChangeRelay, SendsWhatAReportLacks)
{
	for (const ReportCase &k : report_cases) {
		Relay r;

		SCOPED_TRACE(k.name);
		r.append(11, 11);
		r.append(12, 12, nullptr);
		r.append(13, 13);
		change_relay_handle_report(r.relay, "a", k.position, 0);
		EXPECT_EQ(k.sent, r.sent["a"]);
		/* A lost message is sent again, a report later. */
		change_relay_handle_report(r.relay, "a", k.position, 0);
		EXPECT_EQ(k.sent.size() * 2, r.sent["a"].size());
	}
}

/* Load: changes come to a fleet of 200 while no report does. */
TEST(ChangeRelay, SendsNewChangesAtOnceButFewBetweenReports)
{
	Relay r;

	for (int i = 0; i < 200; i++)
		change_relay_handle_report(r.relay, std::to_string(i).c_str(),
					   10, 0);
	EXPECT_TRUE(r.sent.empty());
	r.append(11, 12);
	change_relay_run(r.relay, 10 * MS);
	EXPECT_EQ(200u, r.sent.size());
	EXPECT_EQ((Positions{ 11, 12 }), r.sent["7"]);
	EXPECT_EQ(11, r.last_after);
	r.append(13, 60);
	change_relay_run(r.relay, 20 * MS);
	change_relay_run(r.relay, 30 * MS);
	EXPECT_EQ(8u, r.sent["7"].size());
	change_relay_handle_report(r.relay, "7", 18, 40 * MS);
	EXPECT_EQ(26, r.sent["7"].back());
}

TEST(ChangeRelay, SendsNothingToWhoIsNotHeardOf)
{
	Relay r;

	change_relay_handle_report(r.relay, "a", 10, 0);
	change_relay_handle_report(r.relay, "b", 10, 500 * MS);
	r.append(11, 11);
	change_relay_run(r.relay, CHANGE_RELAY_SILENCE_US);
	EXPECT_EQ(0u, r.sent.count("a"));
	EXPECT_EQ(1u, r.sent.count("b"));
	change_relay_stop(r.relay);
	r.append(12, 12);
	change_relay_run(r.relay, CHANGE_RELAY_SILENCE_US);
	EXPECT_EQ((Positions{ 11 }), r.sent["b"]);
}

struct LogCase {
	const char *name;
	uint32_t changes_max;
	uint32_t bytes_max;
	int64_t position;
	uint32_t count; /* that follow it */
};

/* Changes 1 to 10 of three bytes each, after a list at 0. */
const LogCase log_cases[] = {
	{ "all", 10, 100, 0, 10 },
	{ "a part", 10, 100, 4, 6 },
	{ "too many", 8, 100, 0, 0 },
	{ "the rest of too many", 8, 100, 2, 8 },
	{ "too large", 10, 12, 5, 0 },
	{ "the rest of too large", 10, 12, 6, 4 },
	{ "none are kept", 0, 100, 9, 0 },
};

/*
 * Guards against passing on a part of a revision: who has applied one of its
 * changes would count all of it as applied.
 */
TEST(ChangeRelay, PassesOnNoPartOfARevision)
{
	Relay r;

	r.append(11, 11);
	r.append(12, 12);
	r.append(12, 12);
	r.append(13, 13);
	change_relay_handle_report(r.relay, "a", 10, 0);
	EXPECT_EQ(Positions({ 11 }), r.sent["a"]);
	change_relay_handle_report(r.relay, "b", 12, 0);
	EXPECT_EQ(Positions({ 13 }), r.sent["b"]);
}

TEST(ChangeLog, ForgetsTheOldest)
{
	for (const LogCase &k : log_cases) {
		const struct change_log_opts o = { k.changes_max, k.bytes_max };
		struct change_log *l = change_log_new(&o);
		struct change_log_entry out[16];

		SCOPED_TRACE(k.name);
		for (int64_t i = 1; i <= 10; i++)
			change_log_append(l, i, "abc");
		change_log_append(l, 10, "doubled");
		EXPECT_EQ(10, change_log_position(l));
		ASSERT_EQ(k.count, change_log_collect(l, k.position, out, 16));
		for (uint32_t i = 0; i < k.count; i++)
			EXPECT_EQ(k.position + 1 + i, out[i].position);
		change_log_reset(l, 20);
		EXPECT_EQ(0u, change_log_collect(l, 9, out, 16));
		change_log_free(l);
	}
}

} // namespace
