#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "../platform/line_wire.h"
#include "../platform/record_json.h"
#include "core/sizes.h"
#include "limits/size_class.h"
#include "proxy/admission.h"
#include "proxy/mark_ring.h"
#include "proxy/placement.h"
#include "proxy/quota.h"
#include "proxy/quota_division.h"
#include "proxy/replica_set.h"
#include "proxy/session.h"
#include "proxy/unsettled_order.h"
#include "settings/proxy_settings.h"
}

#include <cstring>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;

/* Placement of statements on endpoints. */

struct placement_candidate make_candidate(enum conn_source source,
					  int64_t latency_us)
{
	struct placement_candidate c = {};

	c.source = source;
	c.slots = 4;
	c.same_zone = true;
	c.latency_us = latency_us;
	c.handshake_us = 27 * MS;
	return c;
}

struct PlacementCase {
	const char *name;
	struct placement_candidate a;
	struct placement_candidate b;
	int chosen;
};

struct placement_candidate
modify_candidate(struct placement_candidate c,
		 void (*change)(struct placement_candidate &c))
{
	change(c);
	return c;
}

const PlacementCase placement_cases[] = {
	{ "prefers an idle connection to opening one",
	  make_candidate(CONN_SOURCE_OPEN, 20 * MS),
	  make_candidate(CONN_SOURCE_IDLE, 30 * MS), 1 },
	{ "prefers opening one to a much slower endpoint",
	  make_candidate(CONN_SOURCE_OPEN, 20 * MS),
	  make_candidate(CONN_SOURCE_IDLE, 90 * MS), 0 },
	{ "prefers opening one to an eviction",
	  make_candidate(CONN_SOURCE_EVICT, 20 * MS),
	  make_candidate(CONN_SOURCE_OPEN, 30 * MS), 1 },
	{ "no connection is available", make_candidate(CONN_SOURCE_NONE, 1),
	  make_candidate(CONN_SOURCE_NONE, 1), -1 },
	{ "prefers its own availability zone",
	  modify_candidate(make_candidate(CONN_SOURCE_IDLE, 20 * MS),
			   [](struct placement_candidate &c) {
				   c.same_zone = false;
			   }),
	  make_candidate(CONN_SOURCE_IDLE, 21 * MS), 1 },
	{ "reads avoid the primary",
	  modify_candidate(make_candidate(CONN_SOURCE_IDLE, 20 * MS),
			   [](struct placement_candidate &c) {
				   c.is_primary = true;
			   }),
	  make_candidate(CONN_SOURCE_IDLE, 40 * MS), 1 },
	{ "reads use the primary if replicas are much slower",
	  modify_candidate(make_candidate(CONN_SOURCE_IDLE, 20 * MS),
			   [](struct placement_candidate &c) {
				   c.is_primary = true;
			   }),
	  make_candidate(CONN_SOURCE_IDLE, 80 * MS), 0 },
	{ "avoids an endpoint that is likely to fail",
	  modify_candidate(make_candidate(CONN_SOURCE_IDLE, 20 * MS),
			   [](struct placement_candidate &c) {
				   c.likely_to_fail = true;
			   }),
	  make_candidate(CONN_SOURCE_EVICT, 200 * MS), 1 },
	{ "avoids an endpoint that fails although it is quick",
	  modify_candidate(make_candidate(CONN_SOURCE_IDLE, 2 * MS),
			   [](struct placement_candidate &c) {
				   c.reduced_milli = 500;
			   }),
	  make_candidate(CONN_SOURCE_IDLE, 18 * MS), 1 },
	{ "reduces, but does not exclude",
	  modify_candidate(make_candidate(CONN_SOURCE_IDLE, 20 * MS),
			   [](struct placement_candidate &c) {
				   c.reduced_milli = 500;
			   }),
	  make_candidate(CONN_SOURCE_IDLE, 90 * MS), 0 },
	{ "counts the wait for a slot",
	  modify_candidate(make_candidate(CONN_SOURCE_IDLE, 20 * MS),
			   [](struct placement_candidate &c) { c.running = 8; }),
	  make_candidate(CONN_SOURCE_IDLE, 30 * MS), 1 },
};

TEST(Placement, ChoosesTheLowestCost)
{
	for (const PlacementCase &k : placement_cases) {
		const struct placement_candidate both[] = { k.a, k.b };

		EXPECT_EQ(k.chosen, placement_choose(both, 2)) << k.name;
	}
}

/*
 * Admission of statements that wait for a primary; scheduler_test has those
 * that wait for others to run.
 */

struct AdmissionCase {
	const char *name;
	struct admission_outage outage;
	bool waits;
};

const AdmissionCase admission_cases[] = {
	{ "no outage", { ADMISSION_NO_OUTAGE, 1500 * MS }, true },
	{ "the outage has just begun", { 50 * MS, 1500 * MS }, false },
	{ "the outage is expected to end soon", { 1300 * MS, 1500 * MS }, true },
	{ "the outage exceeds the typical duration",
	  { 1600 * MS, 1500 * MS },
	  false },
};

TEST(Admission, AllowsAWaitWithinItsMaximum)
{
	struct route r = {};

	r.target_us = 400 * MS;
	r.timeout_us = 1 * S;
	for (const AdmissionCase &k : admission_cases) {
		EXPECT_EQ(k.waits, admission_expected_outage_us(&k.outage) <=
					   admission_max_wait_us(&r, &k.outage))
			<< k.name;
	}
}

/* Refusals of statements that wait. */

struct RefusalCase {
	const char *name;
	uint32_t sends;
	enum answer_code last_code;
	enum answer_code refusal;
};

const RefusalCase refusal_cases[] = {
	{ "never sent", 0, ANSWER_NONE, ANSWER_OVERLOADED },
	{ "its connection was lost", 1, ANSWER_NONE, ANSWER_OVERLOADED },
	{ "refused by a replica", 1, ANSWER_NOT_PRIMARY, ANSWER_OVERLOADED },
	{ "not accepted by a home", 2, ANSWER_WRONG_ENDPOINT,
	  ANSWER_OVERLOADED },
	{ "a read that failed", 1, ANSWER_FAILED, ANSWER_FAILED },
	{ "a read that timed out", 2, ANSWER_TIMEOUT, ANSWER_TIMEOUT },
};

TEST(Operation, RefusalSaysWhetherItHasRun)
{
	for (const RefusalCase &k : refusal_cases) {
		struct operation op = {};

		op.sends = k.sends;
		op.last_code = k.last_code;
		EXPECT_EQ(k.refusal, operation_refusal_code(&op)) << k.name;
	}
}

/* The ring of log position marks. */

struct ValuesCase {
	const char *name;
	std::vector<std::pair<const char *, const char *>> a;
	std::vector<std::pair<const char *, const char *>> b;
	bool same;
};

const ValuesCase values_cases[] = {
	{ "equal", { { "a", "1" } }, { { "a", "1" } }, true },
	{ "in another order",
	  { { "a", "1" }, { "b", "2" } },
	  { { "b", "2" }, { "a", "1" } },
	  true },
	{ "replaced", { { "a", "2" }, { "a", "1" } }, { { "a", "1" } }, true },
	{ "a value that reads like two",
	  { { "a", "1\nb 2" } },
	  { { "a", "1" }, { "b", "2" } },
	  false },
	{ "a value with lengths that reads like two",
	  { { "a", "1\nb 1 2" } },
	  { { "a", "1" }, { "b", "2" } },
	  false },
	{ "a name with a line feed",
	  { { "a", "" }, { "b", "2" } },
	  { { "a \nb", "2" } },
	  false },
	{ "an empty value", { { "a", "" } }, {}, false },
};

/* A connection with one session's values was taken for another's. */
TEST(Session, OnlyEqualValuesShareAConnection)
{
	for (const ValuesCase &k : values_cases) {
		struct session *a = session_new(nullptr, nullptr, 0);
		struct session *b = session_new(nullptr, nullptr, 0);

		SCOPED_TRACE(k.name);
		for (auto &v : k.a)
			session_set_value(a, v.first, v.second);
		for (auto &v : k.b)
			session_set_value(b, v.first, v.second);
		EXPECT_EQ(k.same, !strcmp(a->values_key, b->values_key));
		session_free(a);
		session_free(b);
	}
}

TEST(MarkRing, FindsTheOldestMarkWithinTheAge)
{
	struct mark_ring r = {};
	struct mark m;

	EXPECT_FALSE(mark_ring_find(&r, 0, &m));
	for (int i = 1; i <= 100; i++)
		mark_ring_add(&r, i * 100 * MS, { 1, (uint64_t)i });
	EXPECT_TRUE(mark_ring_find(&r, 9 * S, &m));
	EXPECT_EQ(9 * S, m.requested_us);
	EXPECT_EQ(90u, m.position.offset);
	EXPECT_TRUE(mark_ring_find(&r, 9950 * MS, &m));
	EXPECT_EQ(10 * S, m.requested_us);
	EXPECT_FALSE(mark_ring_find(&r, 10 * S + 1, &m));
	/* The oldest marks were overwritten. */
	EXPECT_TRUE(mark_ring_find(&r, 0, &m));
	EXPECT_EQ((100 - MARK_RING_SIZE + 1) * 100 * MS, m.requested_us);
	/* An answer that arrives after a newer one changes nothing. */
	mark_ring_add(&r, 5 * S, { 9, 9 });
	EXPECT_EQ(10 * S, mark_ring_newest_us(&r));
	EXPECT_EQ(0, mark_ring_min_lag_us(&r, { 1, 100 }, 11 * S));
	EXPECT_EQ(2 * S, mark_ring_min_lag_us(&r, { 1, 89 }, 11 * S));
}

/* Limits of workspaces. */

struct fleet_config *make_limit_config(uint32_t rate_per_s)
{
	struct fleet_config *c = fleet_config_new();
	struct workspace_config *w = g_new0(struct workspace_config, 1);

	w->name = g_strdup("a");
	w->rate_milli_per_s = rate_per_s * 1000;
	w->burst_milli = rate_per_s * 1000;
	fleet_config_add_workspace(c, w);
	return c;
}

const struct quota_tolerance tolerance = { 5 * S, 100, 20000 };

/*
 * Sets the view of an instance whose entry is settled and whose view of the
 * store is current.
 */
void set_settled_fleet(struct quota *q, uint32_t instances,
		       int64_t lease_until_us, int64_t now_us)
{
	const struct quota_fleet f = { instances, 4 * S,     lease_until_us,
				       true,	  INT64_MIN, INT64_MIN,
				       now_us };

	quota_set_fleet(q, &f, now_us);
}

/* Checks every window of the tolerance's length, with a single instance. */
TEST(Quota, EachWindowStaysWithinLimitAndTolerance)
{
	for (uint32_t rate : { 1, 7, 200 }) {
		struct fleet_config *c = make_limit_config(rate);
		struct quota *q = quota_new(&tolerance, "self", "z0");
		std::vector<int64_t> admitted;
		double max_operations = (rate * 5.0 + rate) * 1.1 + 20;
		int64_t retry_us = 0;

		quota_configure(q, c, 0);
		set_settled_fleet(q, 1, INT64_MAX, 0);
		for (int64_t t = 0; t < 30 * S; t += 1 * MS) {
			set_settled_fleet(q, 1, INT64_MAX, t);
			quota_apply_grant(q, quota_workspace_hash("a"),
					  rate * 540, t + S, t);
			if (!quota_take(q, "a", t, &retry_us))
				admitted.push_back(t);
			else
				EXPECT_GT(retry_us, 0);
		}
		for (size_t i = 0, j = 0; i < admitted.size(); i++) {
			while (admitted[i] - admitted[j] >= 5 * S)
				j++;
			ASSERT_LE((double)(i - j + 1), max_operations) << rate;
		}
		/* The rate itself must be reached. */
		EXPECT_GE((double)admitted.size(), rate * 30.0);
		quota_free(q);
		fleet_config_free(c);
	}
}

/* Tokens earned before a limit is lowered may be spent for one window. */
TEST(Quota, LoweredLimitKeepsTokensForOneWindow)
{
	struct fleet_config *high = make_limit_config(100);
	struct fleet_config *low = make_limit_config(10);
	struct quota *q = quota_new(&tolerance, "self", "z0");
	int64_t retry_us;
	int admitted_at_once = 0;
	int admitted_later = 0;

	quota_configure(q, high, 0);
	set_settled_fleet(q, 1, INT64_MAX, 0);
	quota_configure(q, low, 10 * S);
	set_settled_fleet(q, 1, INT64_MAX, 10 * S);
	for (int i = 0; i < 200; i++)
		admitted_at_once +=
			!quota_take(q, "a", 10 * S + i * 10 * MS, &retry_us);
	/*
	 * The standing half of the limit, with a burst of the same size, was
	 * earned.
	 */
	EXPECT_GE(admitted_at_once, 50);
	/* After one window only the lower limit and its tolerance apply. */
	set_settled_fleet(q, 1, INT64_MAX, 15 * S);
	for (int i = 0; i < 500; i++)
		admitted_later +=
			!quota_take(q, "a", 15 * S + i * 10 * MS, &retry_us);
	EXPECT_LE(admitted_later, (10 * 5 + 10) * 1.1 + 20);
	quota_free(q);
	fleet_config_free(high);
	fleet_config_free(low);
}

struct limit_entry make_record(uint32_t size_class, bool settled,
			       const std::vector<const char *> &zones)
{
	struct limit_entry l = {};

	l.size_class = size_class;
	l.settled = settled;
	for (const char *zone : zones)
		zone_list_add(&l.zones, zone);
	return l;
}

struct ModeCase {
	const char *name;
	bool recorded; /* the list has a record of this class */
	uint32_t size_class;
	bool settled;
	int64_t after_us; /* since the list */
	int rc; /* of a process that is home of both parts */
};

/* Class 2 counts the limit at homes, class 1 divides it. */
const ModeCase mode_cases[] = {
	{ "settled record", true, 2, true, 0, 0 },
	{ "settled record of the other way", true, 1, true, 0, 0 },
	{ "unsettled record", true, 2, false, 0, -ESTALE },
	{ "unsettled record, a lease later", true, 2, false, 5 * S, 0 },
	{ "unsettled record of the other way", true, 1, false, 0, 0 },
	{ "no record", false, 0, false, 0, -ESTALE },
	{ "no record, a lease later", false, 0, false, 5 * S, 0 },
};

/*
 * A process that starts while others may still count in the previous way must
 * not count small limits; with a settled record it counts at once.
 */
TEST(Quota, NewProcessCountsByTheRecord)
{
	for (const ModeCase &k : mode_cases) {
		const struct limit_entry record =
			make_record(k.size_class, k.settled, { "z0" });
		struct fleet_config *c = make_limit_config(10);
		struct quota *q = quota_new(&tolerance, "self", "z0");
		int64_t now_us = 100 * S;
		int64_t retry_us;

		SCOPED_TRACE(k.name);
		quota_configure(q, c, now_us);
		if (k.recorded)
			quota_set_record(q, &record, now_us);
		set_settled_fleet(q, 14, INT64_MAX, now_us);
		now_us += k.after_us;
		set_settled_fleet(q, 14, INT64_MAX, now_us);
		if (k.recorded && k.size_class == 1)
			now_us += S; /* its part of the rate earns a token */
		EXPECT_EQ(k.rc, quota_take(q, "a", now_us, &retry_us));
		quota_free(q);
		fleet_config_free(c);
	}
}

/*
 * The parts follow the record, not what is listed: an instance that lists a
 * zone which the others do not know must not divide the limit in another way.
 */
TEST(Quota, PartsFollowTheRecord)
{
	const struct limit_entry two = make_record(2, true, { "z0", "z1" });
	const struct limit_entry three = make_record(2, true, { "z2", "z0" });
	struct instance_entry other = {};
	struct instance_entry self = {};
	struct fleet_config *c = make_limit_config(10);
	struct quota *q = quota_new(&tolerance, "self", "z0");
	struct quota_source sources[QUOTA_SOURCES_MAX];
	int64_t now_us = 100 * S;
	int64_t retry_us;

	g_strlcpy(other.name, "other", sizeof(other.name));
	g_strlcpy(other.zone, "z9", sizeof(other.zone));
	other.settled = true;
	g_strlcpy(self.name, "self", sizeof(self.name));
	g_strlcpy(self.zone, "z0", sizeof(self.zone));
	self.settled = true;
	EXPECT_EQ(0u, quota_get_sources(q, "a", now_us, sources));
	quota_configure(q, c, now_us);
	quota_put_instance(q, &other, 1, now_us, now_us);
	quota_put_instance(q, &self, 2, now_us, now_us);
	quota_set_record(q, &two, now_us);
	set_settled_fleet(q, 14, INT64_MAX, now_us);
	ASSERT_EQ(2u, quota_get_sources(q, "a", now_us, sources));
	EXPECT_EQ(quota_zone_part_hash("a", "z0"), sources[0].part);
	EXPECT_STREQ("self", sources[0].home);
	EXPECT_TRUE(sources[0].near);
	EXPECT_FALSE(sources[1].near);
	/* The part of a zone without instances is counted by some instance. */
	EXPECT_TRUE(!strcmp("self", sources[1].home) ||
		    !strcmp("other", sources[1].home));
	EXPECT_EQ(0, quota_take(q, "a", now_us, &retry_us));
	g_strlcpy(other.zone, "z8", sizeof(other.zone));
	quota_put_instance(q, &other, 1, now_us, now_us);
	set_settled_fleet(q, 15, INT64_MAX, now_us);
	ASSERT_EQ(2u, quota_get_sources(q, "a", now_us, sources));
	/* Zones only grow, and nothing is counted until a lease later. */
	quota_set_record(q, &three, now_us);
	ASSERT_EQ(3u, quota_get_sources(q, "a", now_us, sources));
	EXPECT_EQ(-ESTALE,
		  quota_take_for_peer(q, sources[0].part, now_us, &retry_us));
	now_us += 5 * S;
	set_settled_fleet(q, 15, INT64_MAX, now_us);
	quota_take_for_peer(q, sources[0].part, now_us, &retry_us);
	now_us += S; /* the part earns a token */
	EXPECT_EQ(0,
		  quota_take_for_peer(q, sources[0].part, now_us, &retry_us));
	quota_free(q);
	fleet_config_free(c);
}

/* A part that cannot hold one operation would never admit any. */
TEST(Quota, TinyLimitIsNotDividedByZones)
{
	const struct quota_tolerance none = { 5 * S, 0, 0 };
	const struct limit_entry record =
		make_record(2, true, { "z0", "z1", "z2" });
	struct quota_source sources[QUOTA_SOURCES_MAX];

	for (uint32_t rate : { 2, 3 }) {
		struct fleet_config *c = make_limit_config(rate);
		struct quota *q = quota_new(&none, "self", "z0");

		quota_configure(q, c, 100 * S);
		quota_set_record(q, &record, 100 * S);
		set_settled_fleet(q, 14, INT64_MAX, 100 * S);
		EXPECT_EQ(rate < 3 ? 2u : 3u,
			  quota_get_sources(q, "a", 100 * S, sources));
		quota_free(q);
		fleet_config_free(c);
	}
}

TEST(ZoneList, IsSortedAndOnlyGrows)
{
	struct zone_list a = {};
	struct zone_list b = {};

	for (const char *zone : { "c", "a", "b" })
		EXPECT_TRUE(zone_list_add(&a, zone));
	EXPECT_FALSE(zone_list_add(&a, "b"));
	EXPECT_FALSE(zone_list_add(&a, ""));
	EXPECT_STREQ("a", a.names[0]);
	EXPECT_STREQ("c", a.names[2]);
	EXPECT_TRUE(zone_list_merge(&b, &a));
	EXPECT_TRUE(zone_list_equal(&a, &b));
	EXPECT_FALSE(zone_list_merge(&b, &a));
	for (int i = 0; i < 20; i++)
		zone_list_add(&a, std::to_string(i).c_str());
	EXPECT_EQ((uint32_t)ZONES_MAX, a.count);
	EXPECT_FALSE(zone_list_equal(&a, &b));
}

/* With a record the class in force only rises, and only with the record. */
TEST(Quota, ClassInForceOnlyRises)
{
	const struct limit_entry small = make_record(1, true, { "z0" });
	const struct limit_entry large = make_record(2, true, { "z0" });
	struct fleet_config *c = make_limit_config(10);
	struct quota *q = quota_new(&tolerance, "self", "z0");
	int64_t now_us = 100 * S;
	int64_t retry_us;

	quota_configure(q, c, now_us);
	quota_set_record(q, &small, now_us);
	set_settled_fleet(q, 11, INT64_MAX, now_us);
	now_us += S;
	EXPECT_EQ(0, quota_take(q, "a", now_us, &retry_us));
	set_settled_fleet(q, 14, INT64_MAX, now_us);
	EXPECT_EQ(-ESTALE, quota_take_for_peer(q, quota_half_hash("a", 0),
					       now_us, &retry_us));
	quota_set_record(q, &large, now_us);
	EXPECT_EQ(-ESTALE, quota_take(q, "a", now_us, &retry_us));
	now_us += 5 * S;
	set_settled_fleet(q, 14, INT64_MAX, now_us);
	EXPECT_EQ(0, quota_take(q, "a", now_us, &retry_us));
	set_settled_fleet(q, 2, INT64_MAX, now_us);
	EXPECT_EQ(0, quota_take(q, "a", now_us, &retry_us));
	/* A store restored from an older copy, or without the record. */
	quota_set_record(q, &small, now_us);
	now_us += S;
	set_settled_fleet(q, 2, INT64_MAX, now_us);
	EXPECT_EQ(0, quota_take_for_peer(q, quota_half_hash("a", 0), now_us,
					 &retry_us));
	quota_free(q);
	fleet_config_free(c);
}

TEST(SizeClass, CoversEachSize)
{
	const uint32_t firsts[] = { 0, 3, 12, 48, 192, 768 };

	for (uint32_t i = 0; i < std::size(firsts); i++) {
		EXPECT_EQ(i, size_class_of(firsts[i]));
		if (i) {
			EXPECT_EQ(i - 1, size_class_of(firsts[i] - 1));
		}
		EXPECT_EQ(i, size_class_of(size_class_typical(i)));
	}
	EXPECT_EQ((uint32_t)SIZE_CLASS_MAX, size_class_of(UINT32_MAX));
	EXPECT_EQ(size_class_typical(SIZE_CLASS_MAX),
		  size_class_typical(UINT32_MAX));
}

/* A view of the store older than a lease may lack a change of the way. */
TEST(Quota, DividedLimitNeedsAFreshViewOfTheStore)
{
	struct fleet_config *c = make_limit_config(100);
	struct quota *q = quota_new(&tolerance, "self", "z0");
	struct quota_fleet f = { 1,	    4 * S,     INT64_MAX, true,
				 INT64_MIN, INT64_MIN, 10 * S };
	int64_t retry_us;

	quota_configure(q, c, 10 * S);
	quota_set_fleet(q, &f, 10 * S);
	EXPECT_EQ(0, quota_take(q, "a", 13 * S, &retry_us));
	EXPECT_EQ(-ESTALE, quota_take(q, "a", 14 * S, &retry_us));
	quota_free(q);
	fleet_config_free(c);
}

TEST(Quota, InstanceWithoutLeaseAdmitsNothing)
{
	struct fleet_config *c = make_limit_config(100);
	struct quota *q = quota_new(&tolerance, "self", "z0");
	int64_t retry_us;

	quota_configure(q, c, 0);
	set_settled_fleet(q, 2, 1 * S, 0);
	EXPECT_EQ(0, quota_take(q, "a", 0, &retry_us));
	EXPECT_EQ(0, quota_take(q, "a", 1 * S - 1, &retry_us));
	EXPECT_NE(0, quota_take(q, "a", 1 * S, &retry_us));
	EXPECT_EQ(0, quota_take(q, "unlimited", 1 * S, &retry_us));
	quota_free(q);
	fleet_config_free(c);
}

/* The grants that may be in use never exceed the granted part of the limit. */
TEST(QuotaDivision, GrantsNeverExceedThePool)
{
	struct fleet_config *c = make_limit_config(100);
	struct quota_division *d = quota_division_new();
	const char *names[] = { "x", "y", "z" };
	uint64_t confirmed[3] = {};
	/* Granted rates that each instance may use, and when they end. */
	std::vector<std::pair<uint32_t, int64_t>> grants[3];
	unsigned seed = 7;
	uint32_t max_sum = 0;

	quota_division_set_overrun(d, 0);
	quota_division_start(d, 0);
	for (int64_t t = 0; t < 60 * S; t += 83 * MS) {
		int i = rand_r(&seed) % 3;
		struct quota_need need = { quota_workspace_hash("a"),
					   (uint32_t)(rand_r(&seed) % 90000),
					   0 };
		const struct quota_report r = { names[i], confirmed[i], &need,
						1 };
		struct quota_need out[4];
		struct quota_grants g = {};
		uint64_t sum = 0;

		quota_division_apply_report(d, &r, t);
		g.instance = names[i];
		g.config = c;
		g.instances = 3;
		g.out = out;
		g.max = 4;
		quota_division_fill_grants(d, &g, t);
		/* Some grants and some confirmations are lost. */
		if (g.count && rand_r(&seed) % 4) {
			grants[i].clear();
			confirmed[i] = g.sequence;
		}
		if (g.count)
			grants[i].push_back(
				{ out[0].demand_milli_per_s,
				  t + quota_division_grant_duration_us() });
		for (auto &list : grants) {
			uint32_t max_rate = 0;

			for (auto &x : list) {
				if (t < x.second)
					max_rate = std::max(max_rate, x.first);
			}
			sum += max_rate;
		}
		max_sum = std::max<uint32_t>(max_sum, (uint32_t)sum);
		ASSERT_LE(sum, 50000u) << t;
	}
	EXPECT_GT(max_sum, 45000u);
	quota_division_free(d);
	fleet_config_free(c);
}

/* The line protocol. */

struct QueryCase {
	const char *line;
	enum query_kind kind;
	const char *sent; /* line to the endpoint; NULL: not passed on */
};

const QueryCase query_cases[] = {
	{ "QUERY 5c READ 1a4", QUERY_READ, "QUERY 5c AFTER 3.7 READ 1a4\r\n" },
	{ "QUERY 5c READ 1 a b ", QUERY_READ,
	  "QUERY 5c AFTER 3.7 READ 1 a b \r\n" },
	{ "QUERY 5c WRITE 1a4 xy z", QUERY_WRITE,
	  "QUERY 5c AFTER 3.7 WRITE 1a4 xy z\r\n" },
	{ "QUERY 5c COMMIT", QUERY_COMMIT, "QUERY 5c AFTER 3.7 COMMIT\r\n" },
	{ "QUERY 5c BEGIN", QUERY_BEGIN, nullptr },
	{ "QUERY 5c BEGIN READ", QUERY_BEGIN_READ, nullptr },
	{ "QUERY 5c BEGIN WRITE", QUERY_MALFORMED, nullptr },
	{ "QUERY 5c ROLLBACK", QUERY_ROLLBACK, nullptr },
	{ "QUERY 5c SET a b c", QUERY_SET, nullptr },
	{ "QUERY 5c SET a", QUERY_MALFORMED, nullptr },
	{ "QUERY 5c PREPARE s1 WRITE q2c", QUERY_PREPARE, nullptr },
	{ "QUERY 5c PREPARE s1 q2c", QUERY_MALFORMED, nullptr },
	{ "QUERY 5c EXECUTE s1 1a4 x", QUERY_EXECUTE,
	  "QUERY 5c AFTER 3.7 EXECUTE p9 1a4 x\r\n" },
	{ "QUERY 5c DEALLOCATE s1", QUERY_DEALLOCATE, nullptr },
	{ "QUERY 5c READER 1", QUERY_MALFORMED, nullptr },
	{ "QUERY 5c", QUERY_MALFORMED, nullptr },
	{ "QUERY", QUERY_MALFORMED, nullptr },
	{ "", QUERY_MALFORMED, nullptr },
	{ "TERMINATE", QUERY_END, nullptr },
};

TEST(LineWire, ParsesAndForwardsStatements)
{
	const struct position after = { 3, 7 };

	for (const QueryCase &k : query_cases) {
		struct query q;
		GString *out = g_string_new(nullptr);

		line_wire.read_query(k.line, strlen(k.line), &q);
		EXPECT_EQ(k.kind, q.kind) << k.line;
		if (k.sent) {
			line_wire.put_query(out, &q, "p9", &after);
			EXPECT_STREQ(k.sent, out->str);
		}
		g_string_free(out, TRUE);
		query_clear(&q);
	}
}

struct BytesCase {
	std::string line;
	enum query_kind kind;
	std::string sent; /* "": it is not passed on */
};

#define WITH_NUL(text) std::string(text, sizeof(text) - 1)

const BytesCase bytes_cases[] = {
	{ WITH_NUL("QUERY 1 WRITE 1 a\0b"), QUERY_WRITE,
	  WITH_NUL("QUERY 1 WRITE 1 a\0b\r\n") },
	{ WITH_NUL("QUERY 1 WRITE 1 a\0"), QUERY_WRITE,
	  WITH_NUL("QUERY 1 WRITE 1 a\0\r\n") },
	{ WITH_NUL("QUERY 1 READ \0"), QUERY_READ,
	  WITH_NUL("QUERY 1 READ \0\r\n") },
	{ WITH_NUL("QUERY 1 WRITE \0 a"), QUERY_WRITE,
	  WITH_NUL("QUERY 1 WRITE \0 a\r\n") },
	{ WITH_NUL("QUERY 1 EXECUTE s \0"), QUERY_EXECUTE,
	  WITH_NUL("QUERY 1 EXECUTE p9 \0\r\n") },
	{ WITH_NUL("QUERY 1 READ\0 1"), QUERY_MALFORMED, "" },
	{ WITH_NUL("QUERY 1 READ 1\0"), QUERY_READ,
	  WITH_NUL("QUERY 1 READ 1\0\r\n") },
	{ WITH_NUL("QUERY 1 EXECUTE s 1 a\0b"), QUERY_EXECUTE,
	  WITH_NUL("QUERY 1 EXECUTE p9 1 a\0b\r\n") },
	{ "QUERY 1 WRITE 1 a\nb", QUERY_WRITE, "QUERY 1 WRITE 1 a\nb\r\n" },
	{ "QUERY 1 WRITE 1 a\r", QUERY_WRITE, "QUERY 1 WRITE 1 a\r\r\n" },
	{ "QUERY 1 EXECUTE s 1 a\nb", QUERY_EXECUTE,
	  "QUERY 1 EXECUTE p9 1 a\nb\r\n" },
	{ WITH_NUL("QUERY 1 COMMIT\0x"), QUERY_MALFORMED, "" },
	{ WITH_NUL("QUERY 1 BEGIN READ\0"), QUERY_MALFORMED, "" },
	{ WITH_NUL("QUERY 1 SET a 1\0b"), QUERY_MALFORMED, "" },
	{ WITH_NUL("QUERY 1 PREPARE s READ q\0"), QUERY_MALFORMED, "" },
	{ WITH_NUL("QUERY 1 DEALLOCATE s\0t"), QUERY_MALFORMED, "" },
	{ WITH_NUL("QUERY 1 EXECUTE s\0 1 a"), QUERY_MALFORMED, "" },
	{ WITH_NUL("QUERY 1\0 READ 1"), QUERY_MALFORMED, "" },
	{ WITH_NUL("TERMINATE\0"), QUERY_MALFORMED, "" },
};

/* A text was passed on up to its first NUL only. */
TEST(LineWire, PassesStatementsOnWithAllTheirBytes)
{
	for (const BytesCase &k : bytes_cases) {
		struct query q;
		GString *out = g_string_new(nullptr);

		SCOPED_TRACE(k.line);
		line_wire.read_query(k.line.data(), k.line.size(), &q);
		EXPECT_EQ(k.kind, q.kind);
		if (!k.sent.empty()) {
			line_wire.put_query(out, &q, "p9", nullptr);
			EXPECT_EQ(k.sent, std::string(out->str, out->len));
		}
		g_string_free(out, TRUE);
		query_clear(&q);
	}
}

TEST(LineWire, PassesRowsOnWithAllTheirBytes)
{
	const std::string row = WITH_NUL("ROW a\0b\nCOMPLETE 7.1\nREADY I -");
	GString *out = g_string_new(nullptr);
	struct wire_reply r;

	line_wire.read_reply(row.data(), row.size(), &r);
	EXPECT_EQ(REPLY_ROW, r.kind);
	line_wire.put_line(out, r.text, r.text_bytes);
	EXPECT_EQ(row + "\r\n", std::string(out->str, out->len));
	g_string_free(out, TRUE);
}

struct StartCase {
	const char *line;
	const char *database; /* NULL: it is no start of a session */
	const char *key; /* "": none */
};

const StartCase start_cases[] = {
	{ "STARTUP db k-1", "db", "k-1" },
	{ "STARTUP db", "db", "" },
	{ "STARTUP db ", "db", "" },
	{ "STARTUP db k-1 x", "db", "k-1 x" },
	{ "STARTUP db k-1 ", "db", "k-1 " },
	{ "STARTUP db  k-1", "db", " k-1" },
	{ "STARTUP db k-1\n", "db", "k-1\n" },
	{ "STARTUP d\rb k-1", "d\rb", "k-1" },
	{ "STARTUP  k-1", "", "k-1" },
	{ "STARTUP", nullptr, "" },
	{ "STARTUPS db k-1", nullptr, "" },
	{ "startup db k-1", nullptr, "" },
	{ "", nullptr, "" },
};

/*
 * Guards against a key that is taken up to its first blank: the last field
 * extends to the end of the line.
 */
TEST(LineWire, KeyOfASessionExtendsToTheEndOfTheLine)
{
	for (const StartCase &k : start_cases) {
		g_autofree char *line = g_strdup(k.line);
		struct session_start in = {};

		SCOPED_TRACE(k.line);
		ASSERT_EQ(k.database != nullptr,
			  line_wire.read_start(line, &in));
		if (!k.database)
			continue;
		EXPECT_STREQ(k.database, in.database);
		EXPECT_STREQ(k.key, in.key ? in.key : "");
	}
}

struct ReplyCase {
	const char *line;
	enum reply_kind kind;
	enum answer_code code;
	enum verdict verdict;
	bool ran_statement;
};

const ReplyCase reply_cases[] = {
	{ "ROW abc", REPLY_ROW, ANSWER_NONE, VERDICT_RAN, false },
	{ "COMPLETE -", REPLY_DONE, ANSWER_NONE, VERDICT_RAN, false },
	{ "COMPLETE 7.1f3", REPLY_DONE, ANSWER_NONE, VERDICT_RAN, true },
	{ "ERROR BUSY x", REPLY_ERROR, ANSWER_OVERLOADED, VERDICT_NOT_RUN,
	  false },
	{ "ERROR LAGGING x", REPLY_ERROR, ANSWER_BEHIND, VERDICT_NOT_RUN,
	  false },
	{ "ERROR READONLY", REPLY_ERROR, ANSWER_NOT_PRIMARY, VERDICT_NOT_RUN,
	  false },
	{ "ERROR FAILED x", REPLY_ERROR, ANSWER_FAILED, VERDICT_RAN, false },
	{ "ERROR TIMEOUT x", REPLY_ERROR, ANSWER_TIMEOUT, VERDICT_MAY_HAVE_RUN,
	  false },
	{ "ERROR NEWCODE x", REPLY_ERROR, ANSWER_IN_DOUBT, VERDICT_MAY_HAVE_RUN,
	  false },
	{ "READY I 3.7", REPLY_READY, ANSWER_NONE, VERDICT_RAN, false },
	{ "READY X 3.7", REPLY_MALFORMED, ANSWER_NONE, VERDICT_RAN, false },
	{ "HELLO", REPLY_MALFORMED, ANSWER_NONE, VERDICT_RAN, false },
	{ "", REPLY_MALFORMED, ANSWER_NONE, VERDICT_RAN, false },
};

TEST(LineWire, ParsesReplies)
{
	for (const ReplyCase &k : reply_cases) {
		struct wire_reply r;

		line_wire.read_reply(k.line, strlen(k.line), &r);
		EXPECT_EQ(k.kind, r.kind) << k.line;
		EXPECT_EQ(k.code, r.code) << k.line;
		EXPECT_EQ(k.ran_statement, r.ran_statement) << k.line;
		if (k.kind == REPLY_ERROR) {
			EXPECT_EQ(k.verdict, answer_code_verdict(r.code))
				<< k.line;
		}
	}
}

TEST(LineWire, StartsConnectionWithoutUnknownId)
{
	GString *out = g_string_new(nullptr);

	line_wire.put_start(out, "svc", "a", "i-1");
	line_wire.put_start(out, "svc", "a", nullptr);
	EXPECT_STREQ("STARTUP svc a i-1\r\nSTARTUP svc a\r\n", out->str);
	g_string_free(out, TRUE);
}

TEST(LineWire, ParsesReports)
{
	struct upstream_report r;

	EXPECT_TRUE(
		line_wire.read_report("ROW replica 3 3.1209 4 12 2 17", &r));
	EXPECT_EQ(ROLE_REPLICA, r.role);
	EXPECT_EQ(3u, r.term);
	EXPECT_EQ(1209u, r.received.offset);
	EXPECT_EQ(4u, r.paused_below_term);
	EXPECT_EQ(12 * MS, r.lag_us);
	EXPECT_FALSE(line_wire.read_report("ROW replica 3 - 4 12 2 17", &r));
	EXPECT_FALSE(line_wire.read_report("ROW replica 3", &r));
	EXPECT_FALSE(line_wire.read_report("", &r));
}

/* Entries of the store. */

struct store_item read_item(const char *key, const std::string &value)
{
	g_autofree char *base64 =
		g_base64_encode((const guchar *)value.data(), value.size());
	std::string text = std::string("{\"key\":\"") + key +
			   "\",\"value\":\"" + base64 + "\",\"revision\":7}";
	yajl_val o = json_tree_parse(text.c_str(), text.size());
	struct store_item i;

	record_read_item(o, &i);
	yajl_tree_free(o);
	return i;
}

#define ENTRY(more)                                                      \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\"," \
	"\"slots\":5,\"db_role\":\"replica\",\"sequence\":4" more "}"

struct EntryCase {
	const char *value;
	bool readable;
};

const EntryCase entry_cases[] = {
	{ ENTRY(",\"state\":\"ready\""), true },
	{ ENTRY(",\"state\":\"ready\",\"born\":5,\"new\":[1]"), true },
	{ ENTRY(",\"state\":\"draining\""), true },
	{ ENTRY(",\"state\":\"sleeping\""), false },
	{ ENTRY(",\"state\":7"), false },
	{ ENTRY(""), false },
	{ ENTRY(",\"state\":\"ready\",\"db_role\":\"king\""), false },
	{ ENTRY(",\"state\":\"ready\",\"address\":9"), false },
	{ ENTRY(",\"state\":\"ready\",\"slots\":\"5\""), false },
	{ "", false },
	{ "[1,2]", false },
	{ "\xff\xfe{", false },
};

/* Takes ownership of `base64`. */
std::string decode_value(char *base64)
{
	gsize len = 0;
	g_autofree guchar *bytes = g_base64_decode(base64, &len);

	g_free(base64);
	return std::string((const char *)bytes, len);
}

TEST(RecordJson, ReadsBackAPromotionChoice)
{
	const struct choice_entry c = { "i-7", 12 };
	struct store_item i = read_item(CHOICE_PREFIX "svc",
					decode_value(record_encode_choice(&c)));

	EXPECT_EQ(ITEM_CHOICE, i.kind);
	EXPECT_TRUE(i.readable);
	EXPECT_STREQ("svc", i.name);
	EXPECT_STREQ("i-7", i.choice.endpoint);
	EXPECT_EQ(12u, i.choice.term);
	i = read_item(CHOICE_PREFIX "svc", "{\"term\":12}");
	EXPECT_FALSE(i.readable);
}

TEST(RecordJson, RejectsMalformedEntries)
{
	for (const EntryCase &k : entry_cases) {
		struct store_item i = read_item("servers/i-1", k.value);

		EXPECT_EQ(ITEM_UPSTREAM, i.kind) << k.value;
		EXPECT_EQ(k.readable, i.readable) << k.value;
		EXPECT_STREQ("i-1", i.name);
		EXPECT_EQ(7, i.revision);
	}
}

const struct upstream_entry set_members[] = {
	{ "i-1", "svc", "10.0.0.1:80", "z1", 4, false, ROLE_PRIMARY, 1700 },
	{ "i-2", "svc", "10.0.0.2:80", "z2", 1, true, ROLE_REPLICA, 1 },
	{ "i-3", "svc", "10.0.0.3:80", "z3", UINT32_MAX, false, ROLE_REPLICA,
	  INT64_MAX },
};

TEST(RecordJson, ReadsBackAReplicaSet)
{
	for (uint32_t count : { 0, 1, 3 }) {
		std::vector<struct upstream_entry> members(set_members,
							   set_members + count);
		const struct replica_set_entry s = { members.data(), count };
		struct store_item i =
			read_item(REPLICA_SET_PREFIX "svc",
				  decode_value(record_encode_replica_set(&s)));

		SCOPED_TRACE(count);
		EXPECT_EQ(ITEM_REPLICA_SET, i.kind);
		ASSERT_TRUE(i.readable);
		EXPECT_STREQ("svc", i.name);
		ASSERT_EQ(count, i.replica_set.count);
		EXPECT_EQ(count == 0, i.replica_set.members == nullptr);
		for (uint32_t n = 0; n < count; n++) {
			const struct upstream_entry *e =
				&i.replica_set.members[n];

			EXPECT_STREQ(members[n].id, e->id);
			EXPECT_STREQ("svc", e->service);
			EXPECT_STREQ(members[n].address, e->address);
			EXPECT_STREQ(members[n].zone, e->zone);
			EXPECT_EQ(members[n].slots, e->slots);
			EXPECT_EQ(members[n].leaving, e->leaving);
			EXPECT_EQ(members[n].role, e->role);
			EXPECT_EQ(members[n].started_ms, e->started_ms);
		}
		store_item_clear(&i);
	}
}

struct LimitRecordCase {
	const char *value;
	bool readable;
};

const LimitRecordCase limit_record_cases[] = {
	{ "{\"size_class\":3,\"settled\":true,\"zones\":[]}", true },
	{ "{\"size_class\":3,\"settled\":true,\"zones\":[\"a\",\"b\"],\"new\":[1]}",
	  true },
	{ "{\"size_class\":14,\"settled\":false,\"zones\":[\"b\",\"a\"]}",
	  true },
	{ "{\"size_class\":15,\"settled\":true,\"zones\":[]}", false },
	{ "{\"size_class\":-1,\"settled\":true,\"zones\":[]}", false },
	{ "{\"size_class\":4294967297,\"settled\":true,\"zones\":[]}", false },
	{ "{\"size_class\":\"3\",\"settled\":true,\"zones\":[]}", false },
	{ "{\"size_class\":3.0,\"settled\":true,\"zones\":[]}", false },
	{ "{\"size_class\":3,\"settled\":1,\"zones\":[]}", false },
	{ "{\"size_class\":3,\"zones\":[]}", false },
	{ "{\"size_class\":3,\"settled\":true}", false },
	{ "{\"size_class\":3,\"settled\":true,\"zones\":{}}", false },
	{ "{\"size_class\":3,\"settled\":true,\"zones\":[1]}", false },
	{ "{\"size_class\":3,\"settled\":true,\"zones\":[\"\"]}", false },
	{ "{\"size_class\":3,\"settled\":true,\"zones\":[\"a\",\"a\"]}",
	  false },
	{ "{\"size_class\":3,\"settled\":true,\"zones\":["
	  "\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"]}",
	  false },
	{ "{\"size_class\":3,\"settled\":true,\"zones\":[\"1\",\"2\",\"3\","
	  "\"4\",\"5\",\"6\",\"7\",\"8\",\"9\"]}",
	  false },
	{ "{\"settled\":true,\"zones\":[]}", false },
	{ "[]", false },
	{ "", false },
};

TEST(RecordJson, RejectsMalformedLimitRecords)
{
	for (const LimitRecordCase &k : limit_record_cases) {
		struct store_item i = read_item(LIMITS_KEY, k.value);

		EXPECT_EQ(ITEM_LIMITS, i.kind) << k.value;
		EXPECT_EQ(k.readable, i.readable) << k.value;
		store_item_clear(&i);
	}
}

TEST(RecordJson, LimitRecordSurvivesARoundTrip)
{
	for (bool settled : { false, true }) {
		struct limit_entry l = {};

		l.size_class = 3;
		l.settled = settled;
		zone_list_add(&l.zones, "b");
		zone_list_add(&l.zones, "a");
		struct store_item i =
			read_item(LIMITS_KEY,
				  decode_value(record_encode_limits(&l)));

		EXPECT_TRUE(i.readable);
		EXPECT_EQ(3u, i.limits.size_class);
		EXPECT_EQ(settled, i.limits.settled);
		EXPECT_TRUE(zone_list_equal(&l.zones, &i.limits.zones));
		store_item_clear(&i);
	}
}

std::string format_member(int n)
{
	return "{\"id\":\"i-" + std::to_string(n) +
	       "\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,"
	       "\"leaving\":false,\"role\":\"replica\",\"started_ms\":5}";
}

/* Replaces `from` by `to` in the second of two members. */
struct MemberCase {
	const char *from;
	const char *to;
	bool readable;
};

const MemberCase member_cases[] = {
	{ "", "", true },
	{ "\"replica\"", "\"primary\"", true },
	{ "\"started_ms\":5", "\"started_ms\":5,\"new\":[1]", true },
	{ "\"id\":", "\"x\":", false },
	{ "\"i-2\"", "2", false },
	{ "\"i-2\"", "\"\"", false },
	{ "\"i-2\"", "\"i-1\"", false },
	{ "i-2", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", false },
	{ "\"address\":", "\"x\":", false },
	{ "\"10.0.0.1:80\"", "[1]", false },
	{ "10.0.0.1:80",
	  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
	  false },
	{ "\"zone\":", "\"x\":", false },
	{ "\"z\"", "null", false },
	{ "\"z\"", "\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"",
	  false },
	{ "\"slots\":", "\"x\":", false },
	{ "\"slots\":4", "\"slots\":\"4\"", false },
	{ "\"slots\":4", "\"slots\":4.5", false },
	{ "\"leaving\":", "\"x\":", false },
	{ "false", "0", false },
	{ "\"role\":", "\"x\":", false },
	{ "\"replica\"", "\"king\"", false },
	{ "\"replica\"", "1", false },
	{ "\"started_ms\":", "\"x\":", false },
	{ "\"started_ms\":5", "\"started_ms\":\"5\"", false },
};

TEST(RecordJson, RejectsReplicaSetsWithAMalformedMember)
{
	for (const MemberCase &k : member_cases) {
		std::string member = format_member(2);
		size_t at = member.find(k.from);

		SCOPED_TRACE(std::string(k.from) + " becomes " + k.to);
		ASSERT_NE(std::string::npos, at);
		member.replace(at, strlen(k.from), k.to);
		struct store_item i =
			read_item(REPLICA_SET_PREFIX "svc",
				  "{\"members\":[" + format_member(1) + "," +
					  member + "]}");
		EXPECT_EQ(ITEM_REPLICA_SET, i.kind);
		EXPECT_EQ(k.readable, i.readable);
		EXPECT_EQ(k.readable ? 2u : 0u, i.replica_set.count);
		EXPECT_EQ(k.readable, i.replica_set.members != nullptr);
		store_item_clear(&i);
	}
}

TEST(RecordJson, RejectsMalformedReplicaSets)
{
	for (const char *value :
	     { "{}", "{\"members\":null}", "{\"members\":{}}",
	       "{\"members\":[7]}", "{\"members\":[[]]}", "[]", "" }) {
		struct store_item i =
			read_item(REPLICA_SET_PREFIX "svc", value);

		EXPECT_EQ(ITEM_REPLICA_SET, i.kind) << value;
		EXPECT_FALSE(i.readable) << value;
		store_item_clear(&i);
	}
}

TEST(RecordJson, LimitsTheMembersOfAReplicaSet)
{
	std::string members = format_member(1);

	for (int n = 2; n <= REPLICA_SET_MAX + 1; n++) {
		members += "," + format_member(n);
		struct store_item i =
			read_item(REPLICA_SET_PREFIX "svc",
				  "{\"members\":[" + members + "]}");

		EXPECT_EQ(n <= REPLICA_SET_MAX, i.readable) << n;
		store_item_clear(&i);
	}
}

TEST(RecordJson, ReadsTheConfiguration)
{
	struct store_item i = read_item(
		"op/config",
		"{\"version\":7,\"routes\":[{\"host\":\"db\",\"service\":\"s\","
		"\"kind\":\"bounded_staleness\",\"max_staleness_ms\":1500,"
		"\"timeout_ms\":900,\"target_latency_ms\":200,\"priority\":1,"
		"\"public\":true},{\"host\":\"x\",\"service\":\"s\",\"kind\":"
		"\"new_kind\"}],\"services\":[{\"name\":\"s\",\"max_conns\":33,"
		"\"sync_replicas\":1}],\"limits\":{\"tx_idle_ms\":2000},"
		"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],"
		"\"rate_per_s\":12.5,\"burst\":3}]}");
	const struct route *r = fleet_config_find_route(i.config, "db");

	ASSERT_TRUE(i.readable);
	EXPECT_EQ(7, i.config->version);
	EXPECT_EQ(FRESH_BOUNDED, r->freshness);
	EXPECT_EQ(1500 * MS, r->max_age_us);
	EXPECT_EQ(900 * MS, r->timeout_us);
	EXPECT_TRUE(r->is_public);
	/* An unknown freshness is served as the strictest one. */
	EXPECT_EQ(FRESH_STRICT,
		  fleet_config_find_route(i.config, "x")->freshness);
	EXPECT_EQ(12500u, fleet_config_find_workspace_by_key(i.config, "k2")
				  ->rate_milli_per_s);
	EXPECT_EQ(nullptr, fleet_config_find_workspace_by_key(i.config, "k3"));
	EXPECT_EQ(33u, fleet_config_find_service(i.config, "s")->conns_max);
	EXPECT_EQ(2 * S, i.config->transaction_idle_us);
	store_item_clear(&i);
}

/* Settings of the proxy. */

struct SettingsCase {
	const char *more;
	const char *why; /* part of the error text; "" if accepted */
};

const SettingsCase settings_cases[] = {
	{ "", "" },
	{ "limits:\n  overrun: 0.1\n  window_s: 5\n", "" },
	{ "limits:\n  overrun: 1.5\n", "must be from 0 to 1" },
	{ "limits:\n  window_s: five\n", "not a decimal number" },
	{ "config:\n  applied_within_ms: 10\n", "must be from" },
	{ "keys:\n  withdrawn_after_ms: 10\n", "must be from" },
	{ "log:\n  level: loud\n", "log.level" },
	{ "failover:\n  replica_wait_s: 600\n", "" },
	{ "failover:\n  replica_wait_s: 0.9\n", "must be from 1 to 600" },
	{ "failover:\n  replica_wait_s: 600.1\n", "must be from 1 to 600" },
	{ "failover:\n  replica_wait_s: long\n", "not a decimal number" },
	{ "failover:\n  replica_wait: 12\n", "unknown" },
	{ "unknown:\n  x: 1\n", "unknown" },
};

/* Returns the result of loading a file with this text. */
int load_settings(const std::string &text, struct proxy_settings **out,
		  char *why, size_t why_size)
{
	char path[] = "/tmp/zinnialine-settings-XXXXXX";
	int fd = mkstemp(path);
	int rc;

	EXPECT_EQ((ssize_t)text.size(), write(fd, text.data(), text.size()));
	close(fd);
	rc = proxy_settings_load(path, out, why, why_size);
	unlink(path);
	return rc;
}

TEST(ProxySettings, RejectsInvalidSettings)
{
	for (const SettingsCase &k : settings_cases) {
		std::string text = "instance:\n  name: n\n  zone: z\n"
				   "listen:\n  callers: 127.0.0.1:1\n"
				   "  ready: 127.0.0.1:2\n"
				   "  metrics: 127.0.0.1:3\n"
				   "  peers: 127.0.0.1:4\n"
				   "platform:\n  store: 127.0.0.1:5\n"
				   "  promotions: 127.0.0.1:6\n" +
				   std::string(k.more);
		struct proxy_settings *s = nullptr;
		char why[256] = "";

		EXPECT_EQ(*k.why != 0,
			  load_settings(text, &s, why, sizeof(why)) != 0)
			<< k.more;
		EXPECT_NE(nullptr, strstr(why, k.why)) << why;
		if (s) {
			EXPECT_EQ(5000u, s->limits.window_milli_s);
			proxy_settings_free(s);
		}
	}
}

/* Replaces all matches of a Perl regular expression. */
std::string replace_tags(const std::string &text, const std::string &pattern,
			 const char *to)
{
	g_autoptr(GRegex) r =
		g_regex_new(pattern.c_str(), (GRegexCompileFlags)0,
			    (GRegexMatchFlags)0, nullptr);
	g_autofree char *out =
		g_regex_replace_literal(r, text.c_str(), -1, 0, to,
					(GRegexMatchFlags)0, nullptr);

	return out;
}

/*
 * Renders the template as the platform does, with each bound 7 but for ones
 * that need another value, and without one bound unless it is "".
 */
std::string render_template(const std::string &absent_bound)
{
	std::ifstream f("deploy/proxy.yaml.in");
	std::stringstream in;
	int port = 0;

	in << f.rdbuf();
	std::string text = in.str();
	if (!absent_bound.empty())
		text = replace_tags(text,
				    "{{#bounds\\." + absent_bound +
					    "}}[^{]*{{\\.}}\\n{{/bounds\\." +
					    absent_bound + "}}",
				    "");
	text = replace_tags(text, "{{[#/][^}]*}}", "");
	text = replace_tags(text, "_ms: {{\\.}}", "_ms: 2007");
	text = replace_tags(text, "overrun: {{\\.}}", "overrun: 0.7");
	text = replace_tags(text, "{{\\.}}", "7");
	text = replace_tags(text, "{{(node_name|zone)}}", "n");
	text = replace_tags(text, "{{ip}}:(9464|{{[^}]*}})", "{{address}}");
	for (size_t at; (at = text.find("{{")) != std::string::npos;)
		text.replace(at, text.find("}}") + 2 - at,
			     "127.0.0.1:" + std::to_string(++port));
	return text;
}

struct TemplateCase {
	const char *absent_bound;
	uint32_t wait_milli_s;
};

const TemplateCase template_cases[] = {
	{ "", 7000 },
	{ "recover_s", 12000 },
};

TEST(ProxySettings, AcceptsTheRenderedTemplate)
{
	for (const TemplateCase &k : template_cases) {
		std::string text = render_template(k.absent_bound);
		struct proxy_settings *s = nullptr;
		char why[256] = "";

		SCOPED_TRACE(k.absent_bound);
		ASSERT_EQ(0, load_settings(text, &s, why, sizeof(why)))
			<< why << "\n"
			<< text;
		EXPECT_EQ(2007u, s->keys.withdrawn_after_ms);
		EXPECT_EQ(7000u, s->limits.window_milli_s);
		EXPECT_EQ(700u, s->limits.overrun_milli);
		EXPECT_EQ(7u, s->limits.slack);
		EXPECT_EQ(k.wait_milli_s, s->failover.replica_wait_milli_s);
		EXPECT_EQ(7000u, s->shutdown.grace_milli_s);
		proxy_settings_free(s);
	}
}

struct ReleaseCase {
	const char *name;
	const char *address; /* a:2: of an endpoint that started later, too */
	bool replaced;
	bool foreign; /* by a process of another service */
	bool leaving;
	bool refuses; /* connections */
	bool paused;
	int64_t unanswered_us; /* 0: it answered the last check */
	uint64_t received; /* end of its log; another endpoint is at 8 */
	bool released;
};

const ReleaseCase release_cases[] = {
	{ "it answers", "a:1", false, false, false, false, false, 0, 8, false },
	{ "it is leaving and answers", "a:1", false, false, true, false, true,
	  0, 8, false },
	{ "no answer for less than the wait", "a:1", false, false, false, false,
	  false, 9999999, 8, false },
	{ "no answer for as long as the wait", "a:1", false, false, false,
	  false, false, 10000000, 9, true },
	{ "it refuses connections: it may start again with its log", "a:1",
	  false, false, false, true, true, 1, 8, false },
	{ "it was leaving and refuses connections", "a:1", false, false, true,
	  true, true, 1, 8, true },
	{ "it was leaving and refuses connections, with more of the log", "a:1",
	  false, false, true, true, true, 1, 9, false },
	{ "it was leaving and refuses connections, but may receive again",
	  "a:1", false, false, true, true, false, 1, 8, false },
	{ "it was leaving and is silent for less than a second", "a:1", false,
	  false, true, false, true, 999999, 8, false },
	{ "it was leaving and is silent for a second", "a:1", false, false,
	  true, false, true, 1000000, 8, true },
	{ "it was leaving and is silent, but may receive", "a:1", false, false,
	  true, false, false, 1000000, 8, false },
	{ "another endpoint runs at its address", "a:2", true, false, false,
	  false, false, 0, 8, true },
	{ "another endpoint runs at its address; it had more of the log", "a:2",
	  true, false, false, false, false, 0, 9, false },
	{ "a process of another service runs at its address", "a:1", true, true,
	  false, false, false, 0, 8, true },
	{ "a process of another service runs there; it had more of the log",
	  "a:1", true, true, false, false, false, 0, 9, false },
	{ "a process with an unknown id runs at its address", "a:1", true,
	  false, false, false, false, 0, 8, false },
	{ "it was leaving; a process with an unknown id refuses connections",
	  "a:1", true, false, true, true, true, 1, 8, false },
	{ "a process with an unknown id has not answered for as long as the "
	  "wait",
	  "a:1", true, false, false, false, false, 10000000, 9, true },
};

TEST(RecordJson, IgnoresEntryWithEmptyName)
{
	struct store_item i =
		read_item("servers/",
			  "{\"service\":\"svc\",\"state\":\"ready\","
			  "\"address\":\"a:1\",\"zone\":\"z\","
			  "\"slots\":4,\"sequence\":1,"
			  "\"db_role\":\"replica\"}");

	EXPECT_EQ(ITEM_OTHER, i.kind);
}

TEST(ReplicaSet, ReleasesOnlyEndpointsWhoseLogIsGone)
{
	const struct upstream_entry entry = {};
	const int64_t now_us = 1000000000;
	struct service *svc = service_new("svc");
	struct upstream *later = upstream_new(svc, &entry);

	svc->term = 1;
	later->received = { 1, 8 };
	later->entry.started_ms = 1;
	g_strlcpy(later->entry.address, "a:2", sizeof(later->entry.address));
	for (const ReleaseCase &k : release_cases) {
		struct upstream *u = upstream_new(svc, &entry);

		SCOPED_TRACE(k.name);
		u->listed = false;
		u->received = { 1, k.received };
		g_strlcpy(u->entry.address, k.address,
			  sizeof(u->entry.address));
		u->replaced = k.replaced;
		u->foreign = k.foreign;
		u->entry.leaving = k.leaving;
		u->connection_refused = k.refuses;
		u->paused_below_term = k.paused ? 2 : 0;
		if (k.unanswered_us)
			u->unanswered_since_us = now_us - k.unanswered_us;
		EXPECT_EQ(k.released,
			  replica_set_find_release_reason(u, 10000000,
							  now_us) != nullptr);
	}
	service_free(svc);
}

struct UnsettledOrderCase {
	const char *name;
	bool recorded;
	bool cleared;
	bool old_starts_again;
	bool ordered_is_gone;
	bool found;
};

const UnsettledOrderCase unsettled_orders[] = {
	{ "none was given", false, false, false, false, false },
	{ "given", true, false, false, false, true },
	{ "settled", true, true, false, false, false },
	{ "the primary that stepped down has started again", true, false, true,
	  false, false },
	{ "its endpoint is forgotten", true, false, false, true, false },
};

TEST(UnsettledOrder, IsFoundWhileThePrimaryThatSteppedDownRuns)
{
	for (const UnsettledOrderCase &t : unsettled_orders) {
		SCOPED_TRACE(t.name);
		struct service *svc = service_new("svc");
		struct upstream_entry entry = {};
		struct unsettled_order o = {};

		g_strlcpy(entry.id, "old", sizeof(entry.id));
		entry.started_ms = 7;
		struct upstream *old = upstream_new(svc, &entry);
		g_strlcpy(entry.id, "new", sizeof(entry.id));
		struct upstream *ordered = upstream_new(svc, &entry);
		if (t.recorded)
			unsettled_order_record(&o, "new", old);
		if (t.cleared)
			unsettled_order_clear(&o);
		if (t.old_starts_again)
			old->entry.started_ms = 8;
		if (t.ordered_is_gone)
			upstream_free(ordered);
		EXPECT_EQ(unsettled_order_find(&o, svc) != nullptr, t.found);
		service_free(svc);
	}
}

} // namespace
