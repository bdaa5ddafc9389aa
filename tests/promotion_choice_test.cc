/*
 * Promotions of one instance whose endpoints hold a commit, answer or leave in
 * every combination. The chosen endpoint must have each commit that a majority
 * had.
 */
#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "core/world.h"
}

namespace
{

constexpr int64_t TICK_US = 5 * US_PER_MS;
constexpr int64_t WARM_UP_US = 150 * US_PER_MS;
constexpr int64_t PROMOTION_US = 1500 * US_PER_MS;
constexpr uint64_t BEFORE_COMMIT = 9;
constexpr uint64_t WITH_COMMIT = 10;

struct FakeEndpoint {
	struct endpoint_status status = { 1,
					  { 1, BEFORE_COMMIT },
					  ROLE_REPLICA };
	bool answers = true;
};

/* Runs one instance on a group whose endpoint 0 is the primary of term 1. */
class Group
{
      public:
	/* The endpoints' records arrive in order, from `first` on. */
	explicit Group(int size, int first = 0);
	~Group()
	{
		world_free(world_);
	}
	Group(const Group &) = delete;
	Group &operator=(const Group &) = delete;

	void run(int64_t duration_us);
	/* Sets the state of the record. */
	void put_endpoint(int i, enum endpoint_state state);
	void delete_endpoint(int i);
	/* Another process, with an empty log, takes the record's name. */
	void change_address(int i);

	std::vector<FakeEndpoint> fakes;
	std::vector<std::string> suffixes;
	int raised_ticks = -1; /* since the first PLAN_RAISE_TERM; -1: none */
	int promoted = -1; /* first endpoint that got PLAN_PROMOTE */

      private:
	struct record make_record(int i) const;
	void send(struct event e);
	void execute(const struct action &a);
	void answer_exchange(const struct exchange_start &x);
	void answer_platform(const struct platform_start &p);

	struct world *world_;
	int64_t now_ = 1000 * US_PER_S;
	int64_t revision_ = 0;
	std::map<uint32_t, int> conn_endpoints_; /* index by connection */
};

Group::Group(int size, int first) : fakes(size), suffixes(size)
{
	struct world_opts o = world_opts_default();
	struct event e = {};

	snprintf(o.instance, sizeof(o.instance), "node0");
	snprintf(o.zone, sizeof(o.zone), "zone0");
	o.incarnation = 1;
	o.requests_max = 4;
	world_ = world_new(&o, now_);
	fakes[0].status.role = ROLE_PRIMARY;
	for (int i = 0; i < size; i++)
		put_endpoint((first + i) % size, ENDPOINT_LIVE);
	e.type = EVENT_CONFIG_SYNCED;
	e.synced = { revision_, now_ };
	send(e);
	run(WARM_UP_US);
}

struct record Group::make_record(int i) const
{
	struct record r = {};

	r.kind = RECORD_ENDPOINT;
	snprintf(r.endpoint.name, NAME_BYTES, "db%d", i);
	snprintf(r.endpoint.group, NAME_BYTES, "yard");
	snprintf(r.endpoint.zone, NAME_BYTES, "zone0");
	snprintf(r.endpoint.address, ADDRESS_BYTES, "db%d%s", i,
		 suffixes[i].c_str());
	r.endpoint.slots = 5;
	r.endpoint.connections_max = 35;
	return r;
}

void Group::put_endpoint(int i, enum endpoint_state state)
{
	struct record r = make_record(i);
	struct event e = {};

	r.endpoint.state = state;
	r.revision = ++revision_;
	e.type = EVENT_RECORD_PUT;
	e.record = &r;
	send(e);
}

void Group::change_address(int i)
{
	suffixes[i] = "b";
	fakes[i].status = { 1, { 0, 0 }, ROLE_REPLICA };
	put_endpoint(i, ENDPOINT_LIVE);
}

void Group::delete_endpoint(int i)
{
	struct record r = make_record(i);
	struct event e = {};

	r.revision = ++revision_;
	e.type = EVENT_RECORD_DELETED;
	e.record = &r;
	send(e);
}

void Group::send(struct event e)
{
	struct action a;

	world_handle_event(world_, &e, now_);
	while (world_next_action(world_, &a))
		execute(a);
}

void Group::run(int64_t duration_us)
{
	for (int64_t end = now_ + duration_us; now_ < end && promoted < 0;) {
		struct action a;

		now_ += TICK_US;
		if (raised_ticks >= 0)
			raised_ticks++;
		world_tick(world_, now_);
		while (world_next_action(world_, &a))
			execute(a);
	}
}

void Group::execute(const struct action &a)
{
	struct event e = {};

	switch (a.type) {
	case ACTION_CONN_OPEN:
		conn_endpoints_[a.open.conn_id] = a.open.endpoint[2] - '0';
		e.type = EVENT_CONN_OPENED;
		e.conn_id = a.open.conn_id;
		if (fakes[a.open.endpoint[2] - '0'].answers)
			send(e);
		break;
	case ACTION_EXCHANGE:
		answer_exchange(a.exchange);
		break;
	case ACTION_PLATFORM:
		answer_platform(*a.platform);
		break;
	default:
		break;
	}
}

void Group::answer_exchange(const struct exchange_start &x)
{
	int i = conn_endpoints_[x.conn_id];
	FakeEndpoint &s = fakes[i];
	struct event e = {};

	if (x.plan == PLAN_PROMOTE && promoted < 0)
		promoted = i;
	if (x.plan == PLAN_RAISE_TERM && raised_ticks < 0)
		raised_ticks = 0;
	if (!s.answers)
		return;
	e.type = EVENT_EXCHANGE_RESULT;
	e.result.conn_id = x.conn_id;
	e.result.exchange = x.exchange;
	e.result.before = s.status;
	if (x.plan == PLAN_RAISE_TERM && x.term > s.status.current_term) {
		s.status.current_term = x.term;
		s.status.role = ROLE_REPLICA;
	}
	e.result.after = s.status;
	send(e);
}

void Group::answer_platform(const struct platform_start &p)
{
	struct platform_result r = {};
	struct event e = {};

	if (p.operation != PLATFORM_CAS_TERM)
		return;
	r.operation_id = p.operation_id;
	r.outcome = PLATFORM_APPLIED;
	r.record = p.record;
	r.record.revision = ++revision_;
	e.type = EVENT_PLATFORM_RESULT;
	e.platform = &r;
	send(e);
}

/* Returns true when the primary and, with it, a majority hold the commit. */
bool is_acknowledged(int size, unsigned holders)
{
	return (holders & 1) && __builtin_popcount(holders) >= size / 2 + 1;
}

void place_commit(Group &g, unsigned holders)
{
	for (size_t i = 0; i < g.fakes.size(); i++) {
		if (holders & 1u << i)
			g.fakes[i].status.position.offset = WITH_COMMIT;
	}
}

/*
 * Guards against preferring an endpoint that stays to a leaving one that alone
 * has the commit.
 */
TEST(PromotionChoice, LosesNoAcknowledgedCommit)
{
	for (int size = 3; size <= 5; size++) {
		unsigned all = (1u << size) - 1;
		int chosen = 0;

		for (unsigned bits = 0; bits < 1u << 3 * size; bits++) {
			unsigned holders = bits & all;
			unsigned silent = bits >> size & all;
			unsigned leaving = bits >> 2 * size & all;

			if (!is_acknowledged(size, holders) ||
			    !((silent | leaving) & 1))
				continue;
			Group g(size);
			place_commit(g, holders);
			for (int i = 0; i < size; i++) {
				g.fakes[i].answers = !(silent & 1u << i);
				if (leaving & 1u << i)
					g.put_endpoint(i, ENDPOINT_LEAVING);
			}
			g.run(PROMOTION_US);
			if (g.promoted < 0)
				continue;
			chosen++;
			EXPECT_TRUE(holders & 1u << g.promoted)
				<< size << " endpoints: holders " << holders
				<< ", silent " << silent << ", leaving "
				<< leaving << ": db" << g.promoted;
		}
		EXPECT_GE(chosen, 3 * size);
		printf("%d endpoints: %d promotions\n", size, chosen);
	}
}

/*
 * Guards against counting one endpoint's answer as another's: a record is
 * deleted while the term is raised or before the chosen endpoint is told.
 */
TEST(PromotionChoice, LosesNoCommitWhenAnEndpointIsDeleted)
{
	constexpr int STEPS_MAX = 14;

	for (int size = 3; size <= 4; size++) {
		unsigned all = (1u << size) - 1;
		int chosen = 0;

		for (unsigned bits = 0; bits < 1u << 2 * size; bits++) {
			unsigned holders = bits & all;
			unsigned silent = bits >> size & all;

			if (!is_acknowledged(size, holders) || !(silent & 1))
				continue;
			for (int row = 0; row < size * STEPS_MAX; row++) {
				int deleted = row % size;
				Group g(size);

				place_commit(g, holders);
				for (int i = 0; i < size; i++)
					g.fakes[i].answers =
						!(silent & 1u << i);
				for (int i = 0;
				     i < 200 && g.raised_ticks < row / size;
				     i++)
					g.run(TICK_US);
				g.delete_endpoint(deleted);
				g.run(PROMOTION_US);
				if (g.promoted < 0)
					continue;
				chosen++;
				EXPECT_TRUE(holders & 1u << g.promoted)
					<< size << " endpoints: holders "
					<< holders << ", silent " << silent
					<< ", db" << deleted << " deleted at "
					<< row / size << ": db" << g.promoted;
			}
		}
		EXPECT_GT(chosen, 20);
		printf("%d endpoints: %d promotions\n", size, chosen);
	}
}

/*
 * An address that changes during a promotion: the answer of the former
 * process must not count for the one that takes its place.
 */
TEST(PromotionChoice, LosesNoCommitWhenAnAddressChanges)
{
	constexpr int STEPS_MAX = 14;

	for (int size = 3; size <= 4; size++) {
		unsigned all = (1u << size) - 1;
		int chosen = 0;

		for (unsigned bits = 0; bits < 1u << 2 * size; bits++) {
			unsigned holders = bits & all;
			unsigned silent = bits >> size & all;

			if (!is_acknowledged(size, holders) || !(silent & 1))
				continue;
			for (int row = 0; row < size * STEPS_MAX; row++) {
				int changed = row % size;
				Group g(size);

				place_commit(g, holders);
				for (int i = 0; i < size; i++)
					g.fakes[i].answers =
						!(silent & 1u << i);
				for (int i = 0;
				     i < 200 && g.raised_ticks < row / size;
				     i++)
					g.run(TICK_US);
				if (g.promoted >= 0)
					continue;
				g.change_address(changed);
				g.run(PROMOTION_US);
				if (g.promoted < 0)
					continue;
				chosen++;
				EXPECT_TRUE(holders & ~(1u << changed) &
					    1u << g.promoted)
					<< size << " endpoints: holders "
					<< holders << ", silent " << silent
					<< ", db" << changed << " changed at "
					<< row / size << ": db" << g.promoted;
			}
		}
		EXPECT_GT(chosen, 20);
		printf("%d endpoints: %d promotions\n", size, chosen);
	}
}

/*
 * Guards against majorities without a common endpoint: of more records than
 * GROUP_ENDPOINTS_MAX, instances ignore those that they received last.
 */
TEST(PromotionChoice, HalfOfTheRecordsIsNoMajority)
{
	constexpr int SIZE = GROUP_ENDPOINTS_MAX + 1;
	int chosen = 0;

	for (unsigned silent = 0; silent < 1u << SIZE; silent++) {
		if (!(silent & 1))
			continue;
		/* The primary's record is not the last one. */
		for (int first = 2; first <= SIZE; first++) {
			Group g(SIZE, first);
			int answering = SIZE - __builtin_popcount(silent);

			for (int i = 0; i < SIZE; i++)
				g.fakes[i].answers = !(silent & 1u << i);
			g.run(PROMOTION_US);
			if (g.promoted < 0)
				continue;
			chosen++;
			EXPECT_GT(answering, SIZE / 2)
				<< "silent " << silent << ", first " << first;
		}
	}
	/* 7 orders, 5 or 6 of the 6 used others, the ignored one or not. */
	EXPECT_EQ(7 * 7 * 2, chosen);
	printf("%d records: %d promotions\n", SIZE, chosen);
}

} // namespace
