#include <gtest/gtest.h>

#include <cmath>
#include <cstring>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <xxhash.h>

extern "C" {
#include "placement/home_choice.h"
#include "placement/home_load.h"
#include "proxy/homes.h"
}

namespace
{

/* Each letter of a home's text sets one field. */
struct home_option make_option(const char *text)
{
	struct home_option o = {};

	o.available = !strchr(text, 'x');
	o.in_entry_zone = strchr(text, 'e');
	o.in_primary_zone = strchr(text, 'p');
	o.has_replica = strchr(text, 'r');
	o.rank = strchr(text, '9') ? 9 : strchr(text, '5') ? 5 : 1;
	return o;
}

struct ChoiceCase {
	const char *name;
	std::vector<const char *> homes;
	enum home_work work;
	int chosen;
};

const ChoiceCase choice_cases[] = {
	{ "no home", {}, HOME_WORK_READ, -1 },
	{ "none is available", { "xep9", "xr" }, HOME_WORK_READ, -1 },
	{ "the primary's zone", { "er9", "p", "r5" }, HOME_WORK_PRIMARY, 1 },
	{ "the primary's zone is the entry's",
	  { "r9", "r5", "ep" },
	  HOME_WORK_PRIMARY,
	  2 },
	{ "the home there is not available",
	  { "r5", "xp", "r9" },
	  HOME_WORK_PRIMARY,
	  2 },
	{ "no primary is known", { "er", "r9", "r5" }, HOME_WORK_PRIMARY, 1 },
	{ "a replica in the entry's zone",
	  { "r9", "er", "p5" },
	  HOME_WORK_READ,
	  1 },
	{ "only the primary in the entry's zone",
	  { "ep9", "r", "r5" },
	  HOME_WORK_READ,
	  2 },
	{ "no replica in the entry's zone",
	  { "e9", "p9", "r" },
	  HOME_WORK_READ,
	  2 },
	{ "the near home is not available",
	  { "xer9", "p9", "r" },
	  HOME_WORK_READ,
	  2 },
	{ "no zone has a replica", { "e", "p5", "9" }, HOME_WORK_READ, 2 },
};

TEST(HomeChoice, GoesWhereTheEndpointIs)
{
	for (const ChoiceCase &t : choice_cases) {
		SCOPED_TRACE(t.name);
		std::vector<struct home_option> o;

		for (const char *text : t.homes)
			o.push_back(make_option(text));
		EXPECT_EQ(home_choice(o.data(), o.size(), t.work, 0), t.chosen);
	}
}

/* How much of 1000 operations the second home takes from the first. */
struct RelievesCase {
	const char *name;
	int64_t first_wait_us;
	int64_t second_wait_us;
	bool first_stalled;
	bool second_stalled;
	int taken;
};

const RelievesCase relieves_cases[] = {
	{ "no load", 0, 0, false, false, 0 },
	{ "below the margin", 20000, 0, false, false, 0 },
	{ "the other has as much", 300000, 290000, false, false, 0 },
	{ "half as much", 300000, 150000, false, false, 250 },
	{ "the other is idle", 300000, 0, false, false, 500 },
	{ "the greatest figure", INT64_MAX / 1000, 0, false, false, 500 },
	{ "the other has more", 30000, 300000, false, false, 0 },
	{ "stalled", 0, 0, true, false, 1000 },
	{ "stalled, and the other is busy", 0, 300000, true, false, 1000 },
	{ "the other is stalled", 300000, 0, false, true, 0 },
	{ "both are stalled", 0, 0, true, true, 0 },
};

TEST(HomeChoice, ABusyHomeIsRelievedOfAtMostHalf)
{
	for (const RelievesCase &t : relieves_cases) {
		SCOPED_TRACE(t.name);
		struct home_option o[] = { make_option("p5"), make_option("e9"),
					   make_option("1") };
		int taken = 0;

		o[0].wait_us = t.first_wait_us;
		o[1].wait_us = t.second_wait_us;
		o[0].stalled = t.first_stalled;
		o[1].stalled = t.second_stalled;
		o[2].available = false;
		for (uint32_t i = 0; i < HOME_TICKETS; i++)
			taken += home_choice(o, 3, HOME_WORK_PRIMARY, i) == 1;
		EXPECT_EQ(taken, t.taken);
	}
}

TEST(HomeLoad, OldFiguresAreNotBelieved)
{
	struct home_load l = {};

	EXPECT_EQ(home_load_wait_us(&l, HOME_WORK_PRIMARY, 1), 0);
	home_load_set(&l, 7000, 1000);
	home_load_add_late(&l, 800, 1000);
	EXPECT_EQ(home_load_wait_us(&l, HOME_WORK_PRIMARY, 2000), 100);
	EXPECT_EQ(home_load_wait_us(&l, HOME_WORK_READ, 2000), 7100);
	EXPECT_EQ(home_load_wait_us(&l, HOME_WORK_READ, 1000 + 500000), 7100);
	EXPECT_EQ(home_load_wait_us(&l, HOME_WORK_READ, 1001 + 500000), 0);
	home_load_add_late(&l, 1600, 1000000); /* the old average is gone */
	EXPECT_EQ(home_load_wait_us(&l, HOME_WORK_READ, 1000000), 200);
	home_load_add_late(&l, -INT64_MAX, 1000000);
	EXPECT_EQ(home_load_wait_us(&l, HOME_WORK_READ, 1000000), 175);
	home_load_add_late(&l, INT64_MAX, 1000000);
	EXPECT_LE(home_load_wait_us(&l, HOME_WORK_READ, 1000000),
		  LOAD_WAIT_MAX_US / 8 + 175);
}

TEST(HomeLoad, SilenceCountsOnlyWhileSomethingIsAsked)
{
	struct home_load l = {};

	EXPECT_FALSE(home_load_is_stalled(&l, 0, 9000000));
	EXPECT_FALSE(home_load_is_stalled(&l, 1000000, 1249999));
	EXPECT_TRUE(home_load_is_stalled(&l, 1000000, 1250000));
	l.heard_us = 1200000;
	EXPECT_FALSE(home_load_is_stalled(&l, 1000000, 1449999));
	EXPECT_TRUE(home_load_is_stalled(&l, 1000000, 1450000));
	EXPECT_FALSE(home_load_is_stalled(&l, 0, 1450000));
}

constexpr int ZONES = 3;
constexpr int INSTANCES = 200;
constexpr int SERVICES = 40;
constexpr int WORKSPACES = 400;
constexpr int OPERATIONS = 40000;
constexpr int READ_PERCENT = 70;
/* Demand of the zones, in tenths; it sums up to 35. */
constexpr int DEMAND[ZONES] = { 10, 14, 11 };

std::string zone_name(int zone)
{
	return std::string(1, 'a' + zone);
}

struct Home {
	std::string name;
	int zone;
};

/* What the load of a run costs. */
struct LoadResult {
	double crossings = 0; /* of zones, for one operation */
	double worst = 0; /* work of the busiest home against the mean */
	std::map<std::string, int> work;
};

uint64_t rank_of(const std::string &workspace, const std::string &home)
{
	return XXH64(home.data(), home.size(),
		     XXH64(workspace.data(), workspace.size(), 0));
}

/* The homes of a service, as homes_choose() has them. */
std::vector<Home> choose_homes(int service,
			       const std::vector<std::string> &names)
{
	std::string name = "svc" + std::to_string(service);
	struct service *svc = service_new(name.c_str());
	std::vector<struct home_candidate> c;
	std::vector<std::string> zones;
	std::vector<Home> homes;
	uint32_t chosen[HOMES_MAX];

	for (int z = 0; z < ZONES; z++) {
		struct upstream_entry entry = {};

		zones.push_back(zone_name(z));
		g_strlcpy(entry.zone, zones[z].c_str(), sizeof(entry.zone));
		upstream_new(svc, &entry);
	}
	for (size_t i = 0; i < names.size(); i++)
		c.push_back({ names[i].c_str(), zones[i % ZONES].c_str(), 0 });
	uint32_t n = homes_choose(svc, c.data(), c.size(), chosen);
	for (uint32_t i = 0; i < n; i++)
		homes.push_back(
			{ c[chosen[i]].name, c[chosen[i]].zone[0] - 'a' });
	service_free(svc);
	return homes;
}

/* Chooses the home by rank only, as it was done before. */
int choose_by_rank(const struct home_option *o, uint32_t count, enum home_work,
		   uint32_t)
{
	int best = 0;

	for (uint32_t i = 1; i < count; i++) {
		if (o[i].rank > o[best].rank)
			best = (int)i;
	}
	return best;
}

using ChooseFn = int (*)(const struct home_option *, uint32_t, enum home_work,
			 uint32_t);

/*
 * A service has its primary in one zone and replicas in the other two. A home
 * uses the replica of its own zone, or that of another one.
 */
int count_crossings(const struct home_option &home, enum home_work work)
{
	bool endpoint_near = work == HOME_WORK_PRIMARY ? home.in_primary_zone :
							 home.has_replica;

	return !home.in_entry_zone + !endpoint_near;
}

LoadResult run_load(ChooseFn choose)
{
	std::mt19937 rand(7);
	std::vector<std::string> names;
	std::vector<std::vector<Home>> homes;
	std::vector<double> weights;
	LoadResult result;

	for (int i = 0; i < INSTANCES; i++)
		names.push_back("edge-" + std::to_string(i));
	for (int s = 0; s < SERVICES; s++)
		homes.push_back(choose_homes(s, names));
	for (int w = 0; w < WORKSPACES; w++)
		weights.push_back(1.0 / (w + 1));
	std::discrete_distribution<int> workspaces(weights.begin(),
						   weights.end());
	std::discrete_distribution<int> zones(DEMAND, DEMAND + ZONES);
	std::uniform_int_distribution<int> percent(0, 99);
	std::uniform_int_distribution<int> services(0, SERVICES - 1);

	for (int i = 0; i < OPERATIONS; i++) {
		int service = services(rand);
		int zone = zones(rand);
		std::string workspace = "w" + std::to_string(workspaces(rand));
		enum home_work work = percent(rand) < READ_PERCENT ?
					      HOME_WORK_READ :
					      HOME_WORK_PRIMARY;
		std::vector<struct home_option> options;

		for (const Home &h : homes[service]) {
			struct home_option o = {};

			o.rank = rank_of(workspace, h.name);
			o.available = true;
			o.in_entry_zone = h.zone == zone;
			o.in_primary_zone = h.zone == service % ZONES;
			o.has_replica = !o.in_primary_zone;
			options.push_back(o);
		}
		int best = choose(options.data(), options.size(), work, 0);

		result.crossings += count_crossings(options[best], work);
		result.work[homes[service][best].name]++;
	}
	result.crossings /= OPERATIONS;
	for (auto &w : result.work)
		result.worst = std::max(result.worst, (double)w.second);
	result.worst /= (double)OPERATIONS / result.work.size();
	return result;
}

/*
 * Load: 200 instances in three zones with a demand of 1 : 1.4 : 1.1, 40
 * services, workspaces after Zipf. An operation crossed zones 1.1 times, as the
 * place of its home was chance.
 */
TEST(HomeChoice, HalvesTheCrossingsOfZones)
{
	LoadResult before = run_load(choose_by_rank);
	LoadResult after = run_load(home_choice);

	printf("crossings %.3f, %.3f; worst home %.2f, %.2f times the mean\n",
	       before.crossings, after.crossings, before.worst, after.worst);
	EXPECT_GT(before.crossings, 1.0);
	EXPECT_LT(after.crossings, before.crossings / 2);
	/*
	 * Some instances are homes of several services, and a home beside the
	 * primary of one has more work than the others.
	 */
	EXPECT_LT(before.worst, 3.0);
	EXPECT_LT(after.worst, 3.5);
}

} // namespace
