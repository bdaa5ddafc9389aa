#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "proxy/store_feed.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int64_t PROBE_US = 700 * MS;
constexpr int64_t REPORT_INTERVAL_US = 250 * MS;
constexpr int64_t SETTLE_US = 4300 * MS;
constexpr int64_t CALL_US = 1500 * MS;

enum Kind { LIST, WATCH, PROBE, LEASE, CHANGE, RENEW };

struct Pending {
	Kind kind;
	store_answer_fn fn;
	void *data;
	int64_t asked_us;
	int64_t after;
};

/* A store whose calls are answered by hand. */
struct Feed {
	struct store head;
	int64_t now_us = 100 * S;
	std::vector<Pending> open;
	int counts[RENEW + 1] = {};
	struct store_feed *feed;
	int64_t confirmed_us = 0;
	/* Of the last change; -1: without a condition. */
	bool last_settled = false;
	int64_t last_condition = -1;

	static Feed *of(struct store *s)
	{
		return reinterpret_cast<Feed *>(s);
	}

	void add(Kind kind, store_answer_fn fn, void *data, int64_t after = 0)
	{
		open.push_back({ kind, fn, data, now_us, after });
		counts[kind]++;
	}

	Feed()
	{
		static const struct store_ops ops = {
			[](struct store *s, const char *, store_answer_fn fn,
			   void *data) { of(s)->add(LIST, fn, data); },
			[](struct store *s, int64_t after, int64_t,
			   store_answer_fn fn,
			   void *data) { of(s)->add(WATCH, fn, data, after); },
			[](struct store *s, store_answer_fn fn, void *data) {
				of(s)->add(PROBE, fn, data);
			},
			[](struct store *s, const struct store_change *c,
			   store_answer_fn fn, void *data) {
				of(s)->last_settled = c->put_instance->settled;
				of(s)->last_condition =
					c->if_instance ? c->instance_revision :
							 -1;
				of(s)->add(CHANGE, fn, data);
			},
			[](struct store *s, int64_t, store_answer_fn fn,
			   void *data) { of(s)->add(LEASE, fn, data); },
			[](struct store *s, uint64_t, store_answer_fn fn,
			   void *data) { of(s)->add(RENEW, fn, data); },
			nullptr,
		};
		struct store_feed_opts o = {};

		head.ops = &ops;
		o.store = &head;
		g_strlcpy(o.self.name, "self", sizeof(o.self.name));
		o.self.incarnation = 2;
		o.lease_ttl_us = 4 * S;
		o.settle_us = SETTLE_US;
		o.watch_us = 10 * S;
		o.probe_us = PROBE_US;
		o.report_us = REPORT_INTERVAL_US;
		o.call_us = CALL_US;
		o.on_item = [](void *, struct store_item *) {};
		o.on_list = [](void *, bool) {};
		o.on_confirmed = [](void *data, int64_t asked_us) {
			static_cast<Feed *>(data)->confirmed_us = asked_us;
		};
		o.on_reachable = [](void *, bool, const char *) {};
		o.now_us = [](void *data) {
			return static_cast<Feed *>(data)->now_us;
		};
		o.data = this;
		feed = store_feed_new(&o);
	}

	~Feed()
	{
		store_feed_free(feed);
	}

	/* Answers the oldest call of a kind. */
	void answer(Kind kind, int64_t revision,
		    enum store_outcome outcome = STORE_DONE,
		    struct store_item *item = nullptr)
	{
		for (size_t i = 0; i < open.size(); i++) {
			struct store_answer a = {};
			Pending p = open[i];

			if (p.kind != kind)
				continue;
			open.erase(open.begin() + (long)i);
			a.outcome = outcome;
			a.asked_us = p.asked_us;
			a.revision = revision;
			a.lease = 7;
			a.items = item;
			a.item_count = item ? 1 : 0;
			p.fn(p.data, &a);
			return;
		}
		ADD_FAILURE() << "no such call";
	}

	bool has(Kind kind) const
	{
		return std::any_of(open.begin(), open.end(),
				   [kind](const Pending &p) {
					   return p.kind == kind;
				   });
	}

	void run(int64_t for_us)
	{
		for (int64_t end = now_us + for_us; now_us < end;
		     now_us += 10 * MS)
			store_feed_run(feed, now_us);
	}

	/* Listed, and one watch waits. */
	void begin()
	{
		run(10 * MS);
		answer(LIST, 5);
		run(10 * MS);
		ASSERT_EQ(1, counts[WATCH]);
	}
};

TEST(StoreFeed, AsksWhenNobodyTellsItsAge)
{
	for (bool leads : { true, false }) {
		Feed f;
		int64_t after_us =
			PROBE_US + (leads ? 0 : 2 * REPORT_INTERVAL_US);

		SCOPED_TRACE(leads);
		store_feed_set_duty_held(f.feed, leads);
		f.begin();
		f.run(after_us - 50 * MS);
		EXPECT_EQ(0, f.counts[PROBE]);
		f.run(100 * MS);
		EXPECT_EQ(1, f.counts[PROBE]);
		f.answer(PROBE, 5);
		EXPECT_LT(f.now_us - f.confirmed_us, 110 * MS);
		EXPECT_EQ(1, f.counts[WATCH]);
	}
}

TEST(StoreFeed, AsksNothingWhileItIsTold)
{
	Feed f;

	f.begin();
	for (int i = 0; i < 30; i++) {
		f.run(REPORT_INTERVAL_US);
		store_feed_observe_revision(f.feed, 5, f.now_us - 400 * MS,
					    f.now_us);
		/* The list before it was younger at first. */
		if (i > 1) {
			EXPECT_EQ(f.now_us - 400 * MS, f.confirmed_us);
		}
	}
	EXPECT_EQ(0, f.counts[PROBE]);
	EXPECT_EQ(1, f.counts[WATCH]);
}

/* What it has not passed on is not confirmed, and the watch is asked anew. */
TEST(StoreFeed, GivesUpAWatchThatMissesChanges)
{
	Feed f;
	int64_t before_us;

	f.begin();
	before_us = f.confirmed_us;
	store_feed_observe_revision(f.feed, 6, f.now_us, f.now_us);
	EXPECT_EQ(before_us, f.confirmed_us);
	f.run(STORE_FEED_LAG_US + 50 * MS);
	EXPECT_EQ(2, f.counts[WATCH]);
	EXPECT_EQ(5, f.open.back().after);
	/* The answer to the one that was given up says nothing. */
	f.answer(WATCH, 6);
	EXPECT_EQ(5, store_feed_revision(f.feed));
	EXPECT_EQ(before_us, f.confirmed_us);
}

/*
 * The store is slow: the watch that follows must not be given up before its
 * answer can come, or none ever would.
 */
TEST(StoreFeed, GivesTheNextWatchItsTime)
{
	Feed f;

	f.begin();
	for (int i = 0; i < 4; i++) {
		store_feed_observe_revision(f.feed, 6, f.now_us, f.now_us);
		f.run(REPORT_INTERVAL_US);
	}
	EXPECT_EQ(2, f.counts[WATCH]);
	f.answer(WATCH, 5);
	f.answer(WATCH, 5);
	f.run(20 * MS);
	EXPECT_EQ(3, f.counts[WATCH]);
	/* That one's connection is dead as well. */
	store_feed_observe_revision(f.feed, 6, f.now_us, f.now_us);
	f.run(STORE_FEED_LAG_US + 20 * MS);
	EXPECT_EQ(4, f.counts[WATCH]);
	f.run(CALL_US + 20 * MS);
	EXPECT_EQ(5, f.counts[WATCH]);
}

/* The one that tells lags as well; a probe knows better. */
TEST(StoreFeed, IsBehindThoughAnotherIsToo)
{
	Feed f;

	f.begin();
	store_feed_observe_revision(f.feed, 6, f.now_us, f.now_us);
	for (int i = 0; i < 20; i++) {
		f.run(20 * MS);
		store_feed_observe_revision(f.feed, 5, f.now_us - 300 * MS,
					    f.now_us);
	}
	EXPECT_EQ(2, f.counts[WATCH]);
}

/* A change that arrives in time does not cost the watch. */
TEST(StoreFeed, WaitsForAChangeThatIsUnderWay)
{
	Feed f;

	f.begin();
	store_feed_observe_revision(f.feed, 6, f.now_us, f.now_us);
	f.run(100 * MS);
	f.answer(WATCH, 5);
	f.run(STORE_FEED_LAG_US * 2);
	EXPECT_EQ(2, f.counts[WATCH]);
}

struct PaceCase {
	uint32_t instances;
	int least;
	int most;
};

/* Four in a row, then every 0.25, 1 and 1.5 s of two. */
const PaceCase pace_cases[] = {
	{ 3, 4 + 7, 4 + 9 },
	{ 50, 4 + 1, 4 + 3 },
	{ 6200, 4 + 1, 4 + 2 },
};

/* Each change wakes the watch. */
TEST(StoreFeed, TakesManyChangesTogether)
{
	for (const PaceCase &k : pace_cases) {
		Feed f;

		SCOPED_TRACE(k.instances);
		store_feed_set_instances(f.feed, k.instances);
		f.begin();
		for (int i = 0; i < 200; i++) {
			if (f.has(WATCH))
				f.answer(WATCH, 5);
			f.run(10 * MS);
		}
		EXPECT_LE(f.counts[WATCH], k.most);
		EXPECT_GE(f.counts[WATCH], k.least);
	}
}

struct LeftCase {
	const char *name;
	bool left;
	bool settled;
	enum store_outcome outcome; /* of the first write */
	int64_t condition;
	bool settles_at_once;
};

constexpr int64_t LEFT_REVISION = 4;

const LeftCase left_cases[] = {
	{ "nothing was left", false, false, STORE_DONE, -1, false },
	{ "a settled entry", true, true, STORE_DONE, LEFT_REVISION, true },
	{ "a young entry", true, false, STORE_DONE, -1, false },
	{ "it ends before it is taken over", true, true, STORE_REFUSED,
	  LEFT_REVISION, false },
	{ "whether it was taken over is not known", true, true, STORE_UNKNOWN,
	  LEFT_REVISION, false },
};

TEST(StoreFeed, TakesOverASettledEntryOnly)
{
	for (const LeftCase &k : left_cases) {
		Feed f;
		struct store_item left = {};

		SCOPED_TRACE(k.name);
		left.kind = ITEM_INSTANCE;
		left.readable = true;
		left.revision = LEFT_REVISION;
		left.instance.incarnation = 1;
		left.instance.settled = k.settled;
		g_strlcpy(left.name, "self", sizeof(left.name));
		f.run(10 * MS);
		EXPECT_EQ(0, f.counts[LEASE]);
		f.answer(LIST, 5, STORE_DONE, k.left ? &left : nullptr);
		f.run(10 * MS);
		f.answer(LEASE, 5);
		f.run(10 * MS);
		EXPECT_EQ(k.condition, f.last_condition);
		EXPECT_EQ(k.settles_at_once || k.outcome != STORE_DONE,
			  f.last_settled);
		f.answer(CHANGE, 6, k.outcome);
		EXPECT_EQ(k.settles_at_once,
			  store_feed_is_settled(f.feed, f.now_us));
		if (k.outcome == STORE_DONE) {
			EXPECT_EQ(k.settles_at_once,
				  store_feed_is_settled(f.feed,
							f.now_us + SETTLE_US -
								1));
			EXPECT_TRUE(
				store_feed_is_settled(f.feed,
						      f.now_us + SETTLE_US));
			continue;
		}
		f.run(300 * MS);
		if (k.outcome == STORE_REFUSED) {
			f.answer(LEASE, 5);
			f.run(10 * MS);
		}
		EXPECT_EQ(-1, f.last_condition);
		EXPECT_FALSE(f.last_settled);
	}
}

} // namespace
