#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "proxy/store_feed.h"
#include "proxy/store_position.h"
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
	uint64_t call;
};

/* A feed with a store whose calls the test answers one by one. */
struct Feed {
	struct store store;
	int64_t now_us = 100 * S;
	std::vector<Pending> pending;
	int call_counts[RENEW + 1] = {};
	uint64_t last_call = 0;
	bool arriving = false; /* a part of the pending answer is here */
	std::string last_page; /* where the last list began */
	std::string more_after; /* lists go on after it; "": they end */
	uint32_t era = 0; /* of the answers */
	uint32_t restored_era = 0; /* as reported by the feed */
	struct store_feed *feed;
	int64_t confirmed_us = 0;
	std::vector<int64_t> delivered; /* revisions of items */
	/* The entry and the condition of the last change. */
	bool last_settled = false;
	int64_t last_expected_revision = -1; /* -1: no condition */

	static Feed *from_store(struct store *s)
	{
		return reinterpret_cast<Feed *>(s);
	}

	uint64_t add(Kind kind, store_answer_fn fn, void *data,
		     int64_t after = 0)
	{
		pending.push_back(
			{ kind, fn, data, now_us, after, ++last_call });
		call_counts[kind]++;
		return last_call;
	}

	void remove(uint64_t call)
	{
		for (size_t i = 0; i < pending.size(); i++) {
			if (pending[i].call == call)
				pending.erase(pending.begin() + (long)i);
		}
	}

	Feed()
	{
		static const struct store_ops ops = {
			[](struct store *s, const char *after,
			   store_answer_fn fn, void *data) {
				from_store(s)->last_page = after;
				return from_store(s)->add(LIST, fn, data);
			},
			[](struct store *s, int64_t after, int64_t,
			   store_answer_fn fn, void *data) {
				return from_store(s)->add(WATCH, fn, data,
							  after);
			},
			[](struct store *s, uint64_t call) {
				from_store(s)->remove(call);
			},
			[](const struct store *s, uint64_t) {
				return reinterpret_cast<const Feed *>(s)
					->arriving;
			},
			[](struct store *s, store_answer_fn fn, void *data) {
				from_store(s)->add(PROBE, fn, data);
			},
			[](struct store *s, const struct store_change *c,
			   store_answer_fn fn, void *data) {
				from_store(s)->last_settled =
					c->put_instance->settled;
				from_store(s)->last_expected_revision =
					c->if_instance ? c->instance_revision :
							 -1;
				from_store(s)->add(CHANGE, fn, data);
			},
			[](struct store *s, int64_t, store_answer_fn fn,
			   void *data) { from_store(s)->add(LEASE, fn, data); },
			[](struct store *s, uint64_t, store_answer_fn fn,
			   void *data) { from_store(s)->add(RENEW, fn, data); },
			nullptr,
			[](struct store *, const char *text, int64_t position,
			   struct store_item *out) {
				*out = {};
				out->kind = ITEM_OTHER;
				out->revision = position;
				return strcmp(text, "malformed") ? 0 : -EINVAL;
			},
		};
		struct store_feed_opts o = {};

		store.ops = &ops;
		o.store = &store;
		g_strlcpy(o.self.name, "self", sizeof(o.self.name));
		o.self.incarnation = 2;
		o.lease_ttl_us = 4 * S;
		o.settle_us = SETTLE_US;
		o.watch_us = 10 * S;
		o.probe_us = PROBE_US;
		o.report_us = REPORT_INTERVAL_US;
		o.call_us = CALL_US;
		o.on_item = [](void *data, struct store_item *i) {
			static_cast<Feed *>(data)->delivered.push_back(
				i->revision);
		};
		o.on_list = [](void *, bool) {};
		o.on_confirmed = [](void *data, int64_t asked_us) {
			static_cast<Feed *>(data)->confirmed_us = asked_us;
		};
		o.on_reachable = [](void *, bool, const char *) {};
		o.on_restored = [](void *data, uint32_t era) {
			static_cast<Feed *>(data)->restored_era = era;
		};
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
		for (size_t i = 0; i < pending.size(); i++) {
			struct store_answer a = {};
			Pending p = pending[i];

			if (p.kind != kind)
				continue;
			pending.erase(pending.begin() + (long)i);
			a.outcome = outcome;
			a.requested_us = p.asked_us;
			a.revision = revision;
			a.era = era;
			a.lease = 7;
			a.items = item;
			a.item_count = item ? 1 : 0;
			a.more = kind == LIST && !more_after.empty();
			g_strlcpy(a.after, more_after.c_str(), sizeof(a.after));
			p.fn(p.data, &a);
			return;
		}
		ADD_FAILURE() << "no such call";
	}

	int count(Kind kind) const
	{
		return (int)std::count_if(pending.begin(), pending.end(),
					  [kind](const Pending &p) {
						  return p.kind == kind;
					  });
	}

	bool has(Kind kind) const
	{
		return count(kind) > 0;
	}

	void run(int64_t duration_us)
	{
		for (int64_t end = now_us + duration_us; now_us < end;
		     now_us += 10 * MS)
			store_feed_run(feed, now_us);
	}

	/* Answers the list, after which one watch is pending. */
	void start_watch()
	{
		run(10 * MS);
		answer(LIST, 5);
		run(10 * MS);
		ASSERT_EQ(1, call_counts[WATCH]);
	}
};

/* Without reports, the duty's holder probes first and the others later. */
TEST(StoreFeed, ProbesWithoutReports)
{
	for (bool duty_held : { true, false }) {
		Feed f;
		int64_t after_us =
			PROBE_US + (duty_held ? 0 : 2 * REPORT_INTERVAL_US);

		SCOPED_TRACE(duty_held);
		store_feed_set_duty_held(f.feed, duty_held);
		f.start_watch();
		f.run(after_us - 50 * MS);
		EXPECT_EQ(0, f.call_counts[PROBE]);
		f.run(100 * MS);
		EXPECT_EQ(1, f.call_counts[PROBE]);
		f.answer(PROBE, 5);
		EXPECT_LT(f.now_us - f.confirmed_us, 110 * MS);
		EXPECT_EQ(1, f.call_counts[WATCH]);
	}
}

/* Reports of the duty's holder confirm the feed without calls of its own. */
TEST(StoreFeed, DoesNotProbeWhileReportsArrive)
{
	Feed f;

	f.start_watch();
	for (int i = 0; i < 30; i++) {
		f.run(REPORT_INTERVAL_US);
		store_feed_observe_revision(f.feed, 5, f.now_us - 400 * MS,
					    f.now_us);
		/* At first the list is a later confirmation than the report. */
		if (i > 1) {
			EXPECT_EQ(f.now_us - 400 * MS, f.confirmed_us);
		}
	}
	EXPECT_EQ(0, f.call_counts[PROBE]);
	EXPECT_EQ(1, f.call_counts[WATCH]);
}

/*
 * A watch whose connection is dead delivers nothing: a newer revision than
 * the delivered one is no confirmation, and the watch is sent again.
 */
TEST(StoreFeed, AbandonsAWatchThatMissesChanges)
{
	Feed f;
	int64_t before_us;

	f.start_watch();
	before_us = f.confirmed_us;
	store_feed_observe_revision(f.feed, 6, f.now_us, f.now_us);
	EXPECT_EQ(before_us, f.confirmed_us);
	f.run(STORE_FEED_LAG_US + 50 * MS);
	EXPECT_EQ(2, f.call_counts[WATCH]);
	EXPECT_EQ(5, f.pending.back().after);
	/* The abandoned watch was canceled. */
	EXPECT_EQ(1, f.count(WATCH));
	EXPECT_EQ(5, store_feed_revision(f.feed));
	EXPECT_EQ(before_us, f.confirmed_us);
}

/* A large change is transferred once, however long that takes. */
TEST(StoreFeed, KeepsAWatchWhoseAnswerArrives)
{
	Feed f;
	struct store_item change = {};

	f.start_watch();
	f.arriving = true;
	for (int i = 0; i < 40; i++) {
		store_feed_observe_revision(f.feed, 6, f.now_us, f.now_us);
		f.run(REPORT_INTERVAL_US);
		EXPECT_LT(f.now_us - store_feed_answered_us(f.feed), 20 * MS);
		/* Nothing is due, so the loop may wait for the next part. */
		EXPECT_LT(f.now_us, store_feed_due_us(f.feed));
	}
	EXPECT_EQ(1, f.call_counts[WATCH]);
	EXPECT_EQ(0, f.call_counts[PROBE]);
	change.kind = ITEM_OTHER;
	change.revision = 6;
	f.answer(WATCH, 6, STORE_DONE, &change);
	EXPECT_EQ(6, store_feed_revision(f.feed));
}

/* A page that failed is not paid for with the pages before it. */
TEST(StoreFeed, RepeatsOnlyTheListPageThatFailed)
{
	Feed f;

	f.run(10 * MS);
	f.answer(LIST, 5, STORE_UNKNOWN);
	f.run(1 * S);
	EXPECT_EQ("", f.last_page);
	f.more_after = "key-7";
	f.answer(LIST, 5);
	f.run(10 * MS);
	EXPECT_EQ("key-7", f.last_page);
	f.answer(LIST, 6, STORE_UNKNOWN);
	f.run(1 * S);
	EXPECT_EQ("key-7", f.last_page);
	f.more_after = "";
	f.answer(LIST, 6);
	/* Changes since the first page may be missing on the later ones. */
	EXPECT_EQ(5, store_feed_revision(f.feed));
}

/*
 * With a slow store, the watch after an abandoned one must not be abandoned
 * before its answer can arrive, or no watch would ever be answered.
 */
TEST(StoreFeed, GivesTheNextWatchACallTimeout)
{
	Feed f;

	f.start_watch();
	for (int i = 0; i < 4; i++) {
		store_feed_observe_revision(f.feed, 6, f.now_us, f.now_us);
		f.run(REPORT_INTERVAL_US);
	}
	EXPECT_EQ(2, f.call_counts[WATCH]);
	f.answer(WATCH, 5);
	EXPECT_EQ(0, f.count(WATCH));
	f.run(20 * MS);
	EXPECT_EQ(3, f.call_counts[WATCH]);
	/* The connection of the third watch is dead as well. */
	store_feed_observe_revision(f.feed, 6, f.now_us, f.now_us);
	f.run(STORE_FEED_LAG_US + 20 * MS);
	EXPECT_EQ(4, f.call_counts[WATCH]);
	f.run(CALL_US + 20 * MS);
	EXPECT_EQ(5, f.call_counts[WATCH]);
}

/*
 * Once a newer revision is known, later reports of the delivered revision must
 * not keep the watch alive: their sender may be behind as well.
 */
TEST(StoreFeed, StaysBehindDespiteReportsOfAnOldRevision)
{
	Feed f;

	f.start_watch();
	store_feed_observe_revision(f.feed, 6, f.now_us, f.now_us);
	for (int i = 0; i < 20; i++) {
		f.run(20 * MS);
		store_feed_observe_revision(f.feed, 5, f.now_us - 300 * MS,
					    f.now_us);
	}
	EXPECT_EQ(2, f.call_counts[WATCH]);
}

/* A watch that is answered in time is not abandoned. */
TEST(StoreFeed, WaitsForAChangeUnderWay)
{
	Feed f;

	f.start_watch();
	store_feed_observe_revision(f.feed, 6, f.now_us, f.now_us);
	f.run(100 * MS);
	f.answer(WATCH, 5);
	f.run(STORE_FEED_LAG_US * 2);
	EXPECT_EQ(2, f.call_counts[WATCH]);
}

struct PaceCase {
	uint32_t instances;
	int watches_min;
	int watches_max;
};

/*
 * Watches within two seconds: a burst of four, then one every 0.25, 1 and
 * 1.5 s.
 */
const PaceCase pace_cases[] = {
	{ 3, 4 + 7, 4 + 9 },
	{ 50, 4 + 1, 4 + 3 },
	{ 6200, 4 + 1, 4 + 2 },
};

/*
 * Guards against overloading the store with watches: every watch is answered
 * with a change at once, and the rate of new ones must stay limited.
 */
TEST(StoreFeed, LimitsTheRateOfWatches)
{
	for (const PaceCase &k : pace_cases) {
		Feed f;

		SCOPED_TRACE(k.instances);
		store_feed_set_instances(f.feed, k.instances);
		f.start_watch();
		for (int i = 0; i < 200; i++) {
			if (f.has(WATCH))
				f.answer(WATCH, 5);
			f.run(10 * MS);
		}
		EXPECT_LE(f.call_counts[WATCH], k.watches_max);
		EXPECT_GE(f.call_counts[WATCH], k.watches_min);
	}
}

struct EntryCase {
	const char *name;
	bool previous;
	bool settled;
	enum store_outcome outcome; /* of the first write */
	int64_t expected_revision;
	bool settles_at_once;
	const char *zone = ""; /* of the previous entry */
};

constexpr int64_t PREVIOUS_REVISION = 4;

const EntryCase entry_cases[] = {
	{ "no previous entry", false, false, STORE_DONE, -1, false },
	{ "a settled entry", true, true, STORE_DONE, PREVIOUS_REVISION, true },
	{ "an entry not yet settled", true, false, STORE_DONE, -1, false },
	{ "a settled entry of another zone", true, true, STORE_DONE, -1, false,
	  "z9" },
	{ "it expires before it is taken over", true, true, STORE_REFUSED,
	  PREVIOUS_REVISION, false },
	{ "the outcome of taking over is unknown", true, true, STORE_UNKNOWN,
	  PREVIOUS_REVISION, false },
};

/*
 * A restarted process counts as settled at once only if it replaced the
 * settled entry of its predecessor. Otherwise other instances may not have
 * seen its entry yet, and two instances could count the same limit.
 */
TEST(StoreFeed, TakesOverOnlyASettledEntry)
{
	for (const EntryCase &k : entry_cases) {
		Feed f;
		struct store_item previous = {};

		SCOPED_TRACE(k.name);
		previous.kind = ITEM_INSTANCE;
		previous.readable = true;
		previous.revision = PREVIOUS_REVISION;
		previous.instance.incarnation = 1;
		previous.instance.settled = k.settled;
		g_strlcpy(previous.name, "self", sizeof(previous.name));
		g_strlcpy(previous.instance.zone, k.zone,
			  sizeof(previous.instance.zone));
		f.run(10 * MS);
		EXPECT_EQ(0, f.call_counts[LEASE]);
		f.answer(LIST, 5, STORE_DONE, k.previous ? &previous : nullptr);
		f.run(10 * MS);
		f.answer(LEASE, 5);
		f.run(10 * MS);
		EXPECT_EQ(k.expected_revision, f.last_expected_revision);
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
		EXPECT_EQ(-1, f.last_expected_revision);
		EXPECT_FALSE(f.last_settled);
	}
}

struct EraCase {
	const char *name;
	Kind kind; /* of the call whose answer is of the next era */
	enum store_outcome outcome;
};

const EraCase era_cases[] = {
	{ "a watch", WATCH, STORE_DONE },
	{ "a watch of a lost history", WATCH, STORE_COMPACTED },
	{ "a probe", PROBE, STORE_DONE },
	{ "a renewal", RENEW, STORE_REFUSED },
};

/*
 * A store that came back from an older copy gives revisions out again: a watch
 * from one of before would miss what was written up to it. So whatever call
 * shows the new era, everything is listed again, and what is bound to a lease
 * of before is written anew.
 */
TEST(StoreFeed, ListsAgainInALaterEra)
{
	for (const EraCase &k : era_cases) {
		Feed f;

		SCOPED_TRACE(k.name);
		f.era = 3;
		f.start_watch();
		f.answer(LEASE, 0);
		f.run(10 * MS);
		f.answer(CHANGE, 6);
		f.run(3 * S);
		ASSERT_TRUE(f.has(k.kind));
		EXPECT_EQ(0u, f.restored_era);
		EXPECT_LT(f.now_us, store_feed_lease_end_us(f.feed));
		f.era = 4;
		f.answer(k.kind, 2, k.outcome);
		EXPECT_EQ(4u, f.restored_era);
		EXPECT_GT(f.now_us, store_feed_lease_end_us(f.feed));
		f.run(500 * MS);
		EXPECT_FALSE(f.has(WATCH));
		EXPECT_EQ(2, f.call_counts[LIST]);
		f.answer(LIST, 2);
		f.run(300 * MS);
		EXPECT_EQ(2, f.pending.front().kind == WATCH ?
				     f.pending.front().after :
				     f.pending.back().after);
	}
}

/* Pages of two eras are no list: it begins again with the first page. */
TEST(StoreFeed, BeginsTheListAgainInALaterEra)
{
	Feed f;

	f.era = 3;
	f.more_after = "k1";
	f.run(10 * MS);
	f.answer(LIST, 5);
	f.run(10 * MS);
	EXPECT_EQ("k1", f.last_page);
	f.era = 4;
	f.answer(LIST, 2);
	f.run(10 * MS);
	EXPECT_EQ("", f.last_page);
	EXPECT_EQ(0, store_feed_revision(f.feed));
}

/* An answer of before that arrives late confirms nothing. */
TEST(StoreFeed, IgnoresAnswersOfAnEarlierEra)
{
	Feed f;

	f.era = 4;
	f.start_watch();
	f.confirmed_us = 0;
	f.era = 3;
	f.answer(WATCH, 9);
	EXPECT_EQ(0, f.confirmed_us);
	EXPECT_EQ(5, store_feed_revision(f.feed));
	f.answer(LEASE, 0);
	EXPECT_GT(f.now_us, store_feed_lease_end_us(f.feed));
}

struct OutageCase {
	const char *name;
	enum store_outcome outcome; /* of every call in the outage */
	int calls_max; /* for the lease, in the outage */
	int calls_min;
};

const OutageCase outage_cases[] = {
	{ "the store refuses", STORE_FAILED, 12, 7 },
	{ "answers are lost", STORE_UNKNOWN, 12, 7 },
};

/*
 * Load: a store that is away for eight seconds, or refuses a part of the
 * fleet. Each instance tries its lease a few times only, and renews it as soon
 * as another call shows that the store is back.
 */
TEST(StoreFeed, TriesTheLeaseSeldomWhileTheStoreIsAway)
{
	for (const OutageCase &k : outage_cases) {
		Feed f;
		int64_t end_us;
		int tries;

		SCOPED_TRACE(k.name);
		f.start_watch();
		f.answer(LEASE, 0);
		f.run(10 * MS);
		f.answer(CHANGE, 6);
		end_us = f.now_us + 8 * S;
		while (f.now_us < end_us) {
			f.run(10 * MS);
			for (Kind call : { WATCH, PROBE, RENEW, CHANGE }) {
				if (f.has(call))
					f.answer(call, 0, k.outcome);
			}
		}
		tries = f.call_counts[RENEW] + f.call_counts[CHANGE] - 1;
		EXPECT_LE(tries, k.calls_max);
		EXPECT_GE(tries, k.calls_min);
		while (!f.has(WATCH))
			f.run(10 * MS);
		f.answer(WATCH, 7);
		f.run(20 * MS);
		EXPECT_TRUE(f.has(RENEW) || f.has(CHANGE));
	}
}

/* A follower whose first watch has been answered, and its holder's reports. */
struct Follower : Feed {
	int64_t position = 5; /* of the store, as the holder knows it */
	int64_t age_us = 0; /* of what the holder knows */
	bool age_grows = false;
	bool holder_is_gone = false;

	Follower()
	{
		start_watch();
		report();
		answer(WATCH, position);
	}

	void report()
	{
		store_feed_observe_revision(feed, position, now_us - age_us,
					    now_us);
	}

	void pass_on(int64_t after, int64_t at, const char *text = "k v")
	{
		struct peer_change c = { after, at, "" };

		g_strlcpy(c.text, text, sizeof(c.text));
		store_feed_apply_change(feed, &c, now_us);
	}

	/* Runs with a report of the holder in each interval. */
	void run_reported(int64_t duration_us)
	{
		for (int64_t end = now_us + duration_us; now_us < end;) {
			if (!holder_is_gone)
				report();
			run(REPORT_INTERVAL_US);
			age_us += age_grows ? REPORT_INTERVAL_US : 0;
		}
	}

	int new_watches() const
	{
		return call_counts[WATCH] - 1;
	}
};

/* Load: a fleet in which each change would wake the watch of each instance. */
TEST(StoreFeed, DoesNotWatchWhileChangesArePassedOn)
{
	Follower f;

	f.run_reported(20 * S);
	EXPECT_EQ(0, f.new_watches());
	EXPECT_EQ(0, f.call_counts[PROBE]);
	for (int64_t i = 6; i < 30; i++) {
		f.position = i;
		f.pass_on(i - 1, i);
		f.run_reported(500 * MS);
		EXPECT_EQ(i, f.delivered.back());
		EXPECT_GT(f.confirmed_us, f.now_us - 600 * MS);
	}
	EXPECT_EQ(0, f.new_watches());
	EXPECT_EQ(0, f.call_counts[PROBE]);
}

struct RelayCase {
	const char *name;
	int64_t after; /* of the change that is passed on */
	int64_t at; /* 0: nothing is passed on */
	const char *text;
	int64_t position; /* of the store */
	bool holder_is_gone;
	int64_t age_us; /* of the holder's own confirmation; -1: it grows */
	bool duty_held; /* by this instance */
	bool is_delivered;
};

const RelayCase relay_cases[] = {
	{ "a change was lost", 5, 0, "", 6, false, 0, false, false },
	{ "the one before it was lost", 6, 7, "k v", 7, false, 0, false,
	  false },
	{ "it can't be read", 5, 6, "malformed", 6, false, 0, false, false },
	{ "the holder is gone", 5, 0, "", 5, true, 0, false, false },
	{ "the holder has lost the store", 5, 0, "", 5, false, 3 * S, false,
	  false },
	{ "the holder loses the store now", 5, 0, "", 5, false, -1, false,
	  false },
	{ "the holder is behind", 5, 6, "k v", 9, false, 0, false, true },
	{ "this instance holds the duty", 5, 0, "", 5, false, 0, true, false },
};

/* Whatever happens to the messages, a follower reads the store in time. */
TEST(StoreFeed, WatchesWhenChangesAreNotPassedOn)
{
	for (const RelayCase &k : relay_cases) {
		Follower f;
		struct store_item item = {};

		SCOPED_TRACE(k.name);
		f.run_reported(2 * S);
		ASSERT_EQ(0, f.new_watches());
		f.position = k.position;
		f.holder_is_gone = k.holder_is_gone;
		f.age_us = std::max<int64_t>(k.age_us, 0);
		f.age_grows = k.age_us < 0;
		store_feed_set_duty_held(f.feed, k.duty_held);
		if (k.at)
			f.pass_on(k.after, k.at, k.text);
		EXPECT_EQ(k.is_delivered, !f.delivered.empty());
		f.run_reported(1250 * MS);
		EXPECT_EQ(1, f.new_watches());
		/* What it reads then ends the matter. */
		item.kind = ITEM_OTHER;
		item.revision = k.position;
		f.answer(WATCH, k.position, STORE_DONE, &item);
		EXPECT_EQ(k.position, store_feed_revision(f.feed));
	}
}

struct DoubledCase {
	const char *name;
	int64_t after;
	int64_t at;
};

const DoubledCase doubled_cases[] = {
	{ "the same again", 5, 6 },
	{ "an older one", 4, 5 },
	{ "of another era", 5, store_position_make(1, 7) },
};

/* Late and doubled messages change nothing. */
TEST(StoreFeed, AppliesAChangeOnce)
{
	for (const DoubledCase &k : doubled_cases) {
		Follower f;

		SCOPED_TRACE(k.name);
		f.pass_on(5, 6);
		f.pass_on(k.after, k.at);
		EXPECT_EQ((std::vector<int64_t>{ 6 }), f.delivered);
		EXPECT_EQ(6, store_feed_revision(f.feed));
	}
}

/* A watch that was sent before does not deliver older items again. */
TEST(StoreFeed, AWatchDeliversOnlyWhatFollows)
{
	Follower f;
	struct store_item item = {};

	item.kind = ITEM_OTHER;
	item.revision = 6;
	f.holder_is_gone = true;
	f.run_reported(2 * S);
	ASSERT_TRUE(f.has(WATCH));
	f.pass_on(5, 6);
	f.pass_on(6, 7);
	f.answer(WATCH, 6, STORE_DONE, &item);
	EXPECT_EQ((std::vector<int64_t>{ 6, 7 }), f.delivered);
	EXPECT_EQ(7, store_feed_revision(f.feed));
}

} // namespace
