#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "core/key_guard.h"
}

namespace
{

const int64_t STEP_US = 20 * US_PER_MS;
const int64_t GRACE_US = 2 * US_PER_S;
const int64_t SLACK_US = 2 * STEP_US;

struct Instance {
	std::string name;
	uint64_t incarnation = 0;
	member_table *members = nullptr;
	key_guard *guard = nullptr;
	int64_t applied_revision = 0;
	bool loaded = false; /* the whole configuration was loaded once */
	int64_t paused_until_us = 0;
	int64_t down_until_us = 0;
	int64_t cut_platform_until_us = 0;
	int64_t cut_peers_until_us = 0;
	std::vector<std::function<void()>> inbox;
};

struct Accepted {
	int64_t at_us;
	int64_t revision;
};

// Simulates instances that sync, ping each other, restart and accept
// withdrawals of keys, in virtual time and with message delays.
class GuardFleet
{
      public:
	GuardFleet(int count, uint32_t seed) : instances(count), rng(seed)
	{
		for (int i = 0; i < count; i++) {
			instances[i].name = "m" + std::to_string(i);
			start_instance(instances[i]);
		}
	}

	~GuardFleet()
	{
		for (Instance &n : instances)
			stop_instance(n);
		action_queue_free(out);
	}

	// Returns false when an instance serves keys without having applied a
	// withdrawal that was accepted longer ago than the grace period.
	bool run(int64_t us)
	{
		for (int64_t end = now + us; now < end;) {
			now += STEP_US;
			deliver_due_events();
			for (Instance &n : instances) {
				if (!step_instance(n))
					return false;
			}
		}
		return true;
	}

	void restart(Instance &n, int64_t down_us)
	{
		stop_instance(n);
		start_instance(n);
		n.down_until_us = now + down_us;
	}

	std::vector<Instance> instances;
	int64_t now = 10 * US_PER_S;
	bool platform_down = false;
	uint64_t accepted_count = 0;
	uint64_t served_in_outage = 0;

      private:
	void start_instance(Instance &n)
	{
		member_opts mo = {};
		key_guard_opts go = {};

		mo.instance = n.name.c_str();
		mo.incarnation = n.incarnation = ++last_incarnation;
		n.members = member_table_new(&mo);
		go.key_grace_us = GRACE_US;
		n.guard = key_guard_new(&go, n.members);
		n.applied_revision = 0;
		n.loaded = false;
		for (const Instance &other : instances) {
			member_record r = {};

			strcpy(r.name, other.name.c_str());
			r.incarnation = other.incarnation;
			member_put(n.members, &r);
		}
	}

	static void stop_instance(Instance &n)
	{
		key_guard_free(n.guard);
		member_table_free(n.members);
		n.inbox.clear();
	}

	void deliver_later(Instance &n, int64_t delay_us,
			   std::function<void()> fn)
	{
		uint64_t process = n.incarnation;

		events.emplace(now + delay_us, [&n, process, fn] {
			if (n.incarnation == process)
				n.inbox.push_back(fn);
		});
	}

	void deliver_due_events()
	{
		while (!events.empty() && events.begin()->first <= now) {
			auto fn = events.begin()->second;

			events.erase(events.begin());
			fn();
		}
	}

	bool reaches_platform(const Instance &n) const
	{
		return !platform_down && now >= n.cut_platform_until_us;
	}

	int64_t random_delay_us()
	{
		return rng() % 10 ? rng() % 10000 : rng() % 1500000;
	}

	void apply_config(Instance &n, int64_t at_revision)
	{
		n.applied_revision = std::max(n.applied_revision, at_revision);
	}

	/* Entries are recorded after the first load, as in core/apply.c. */
	void note_entries(Instance &n, int64_t seen)
	{
		auto it = entries.upper_bound(seen);

		if (n.loaded && it != entries.begin())
			key_guard_note_applied(n.guard, *std::prev(it));
		n.loaded = true;
	}

	void sync_config(Instance &n)
	{
		int64_t requested_us = now;
		/* Even revisions are not operators' entries. */
		int64_t seen = revision += revision % 2;

		deliver_later(n, random_delay_us(),
			      [this, &n, requested_us, seen] {
				      apply_config(n, seen);
				      note_entries(n, seen);
				      key_guard_note_synced(n.guard, seen,
							    requested_us, now);
			      });
	}

	void withdraw_key(Instance &n)
	{
		int64_t mine = ++revision;

		entries.insert(mine);
		deliver_later(n, random_delay_us(), [this, &n, mine] {
			key_guard_note_accepted(n.guard, mine);
			if (!key_guard_may_accept(n.guard, now))
				return;
			accepted.push_back({ now, mine });
			accepted_count++;
		});
	}

	void send_message(Instance &from, const peer_message &m)
	{
		Instance &n = instances[atoi(m.peer + 1)];
		peer_message copy = m;

		if (now < from.cut_peers_until_us || now < n.cut_peers_until_us)
			return;
		strcpy(copy.peer, from.name.c_str());
		for (int i = rng() % 4 ? 1 : 2; i > 0; i--) {
			deliver_later(n, random_delay_us(), [this, &n, copy] {
				member_handle_message(n.members, &copy, now,
						      out);
				send_queued(n);
			});
		}
	}

	void send_queued(Instance &n)
	{
		std::vector<peer_message> sent;
		action a;

		while (action_queue_pop(out, &a)) {
			if (a.type == ACTION_PEER_SEND)
				sent.push_back(*a.peer);
		}
		for (const peer_message &m : sent)
			send_message(n, m);
	}

	bool misses_no_withdrawal(const Instance &n)
	{
		key_rule rule = key_guard_rule(n.guard, now);

		served_in_outage += rule == KEY_RULE_OUTAGE;
		for (const Accepted &a : accepted) {
			if (rule != KEY_RULE_NONE &&
			    a.revision > n.applied_revision &&
			    now - a.at_us > GRACE_US + SLACK_US)
				return false;
		}
		return true;
	}

	bool step_instance(Instance &n)
	{
		std::vector<std::function<void()>> inbox;
		member_self self;

		if (now < n.paused_until_us || now < n.down_until_us)
			return true;
		// After a pause a request may be handled before all events.
		if (!misses_no_withdrawal(n))
			return false;
		inbox.swap(n.inbox);
		for (auto &fn : inbox)
			fn();
		if (reaches_platform(n) && rng() % 10 == 0)
			sync_config(n);
		if (reaches_platform(n) && rng() % 20 == 0 &&
		    key_guard_may_accept(n.guard, now))
			withdraw_key(n);
		self = key_guard_get_self(n.guard, false);
		member_set_self(n.members, &self);
		member_run(n.members, now, out);
		send_queued(n);
		return misses_no_withdrawal(n);
	}

	std::multimap<int64_t, std::function<void()>> events;
	std::vector<Accepted> accepted;
	std::mt19937 rng;
	action_queue *out = action_queue_new();
	int64_t revision = 0;
	std::set<int64_t> entries; /* revisions of operators' entries */
	uint64_t last_incarnation = 0;
};

struct Fault {
	int kind;
	int node;
	int64_t duration_us;
};

void apply_fault(GuardFleet &f, const Fault &s)
{
	Instance &n = f.instances[s.node % f.instances.size()];

	switch (s.kind) {
	case 0:
		n.paused_until_us = f.now + s.duration_us;
		break;
	case 1:
		f.restart(n, s.duration_us / 8);
		break;
	case 2:
		f.platform_down = !f.platform_down;
		break;
	case 3:
		n.cut_platform_until_us = f.now + 3 * s.duration_us;
		break;
	case 4:
		n.cut_peers_until_us = f.now + s.duration_us;
		break;
	default:
		f.platform_down = false;
		break;
	}
}

RC_GTEST_PROP(KeyGuardFleet, NoWithdrawnKeyIsServedAfterTheGrace, ())
{
	uint32_t seed = *rc::gen::resize(100, rc::gen::inRange(0, 1000000));
	GuardFleet f(2 + seed % 3, seed);
	std::mt19937 rng(seed);

	RC_ASSERT(f.run(6 * US_PER_S));
	for (int i = 0; i < 40; i++) {
		apply_fault(f, { static_cast<int>(rng() % 6),
				 static_cast<int>(rng() % 4),
				 static_cast<int64_t>(rng() % 8000000) });
		RC_ASSERT(f.run(rng() % 2000000));
	}
	RC_CLASSIFY(f.accepted_count > 0, "accepted some");
	RC_CLASSIFY(f.served_in_outage > 0, "served in an outage");
}

} // namespace
