#include "limit_fleet.h"

#include <algorithm>
#include <cstring>

namespace
{

const int64_t STEP_US = 5 * US_PER_MS;
const int64_t SYNC_US = 300 * US_PER_MS;
// Long enough that all members learn of a new one before it may use shares.
const int64_t GRACE_US = 2500 * US_PER_MS;
const int64_t RENEW_US = US_PER_S;
const int64_t CALL_TIMEOUT_US = 500 * US_PER_MS;
const uint32_t CELLS = 2;

std::string node_name(int i)
{
	return "node-" + std::to_string(i);
}

} // namespace

struct Fleet::Node {
	std::string name;
	uint64_t incarnation = 0;
	member_table *members = nullptr;
	key_guard *guard = nullptr;
	limits *lim = nullptr;
	action_queue *out = nullptr;
	double clock_speed = 1;
	int64_t paused_until_us = 0;
	int64_t cut_platform_until_us = 0;
	int64_t cut_peers_until_us = 0;
	int64_t next_renewal_us = 0;
	int64_t next_sync_us = 0;
	std::vector<std::function<void(Node &)>> inbox;

	int64_t local_time(int64_t now_us) const
	{
		return static_cast<int64_t>(now_us * clock_speed);
	}

	void stop()
	{
		if (!lim)
			return;
		limits_free(lim);
		key_guard_free(guard);
		member_table_free(members);
		action_queue_free(out);
		lim = nullptr;
		inbox.clear();
	}
};

Fleet::Fleet(int count, uint32_t seed, const Faults &f) : faults(f), rng(seed)
{
	for (int i = 0; i < count; i++) {
		nodes.push_back(std::make_unique<Node>());
		nodes[i]->name = node_name(i);
		start_node(i);
	}
}

Fleet::~Fleet()
{
	for (auto &n : nodes)
		n->stop();
}

bool Fleet::chance(int percent)
{
	return static_cast<int>(rng() % 100) < percent;
}

int64_t Fleet::random_delay_us()
{
	return 500 + rng() % 5000;
}

void Fleet::run_at(int64_t when_us, std::function<void()> fn)
{
	events.emplace(when_us, std::move(fn));
}

// A paused process handles the event when it resumes; a restarted one does not
// get it.
void Fleet::deliver_later(int i, int64_t delay,
			  std::function<void(Node &)> deliver)
{
	uint64_t incarnation = nodes[i]->incarnation;

	run_at(now_us + delay, [this, i, incarnation, deliver] {
		Node &n = *nodes[i];

		if (n.lim && n.incarnation == incarnation)
			n.inbox.push_back(deliver);
	});
}

static void deliver_record(limits *l, member_table *members, const record &r,
			   bool deleted, const std::string &own, int64_t now)
{
	if (r.kind == RECORD_SHARE)
		limits_put_share(l, &r, now);
	else if (r.kind == RECORD_WORKSPACE)
		limits_put_workspace(l, &r, now);
	else if (own == r.member.name)
		limits_handle_own_member(l, &r.member, deleted, now);
	else if (deleted)
		member_delete(members, r.member.name);
	else
		member_put(members, &r.member);
}

void Fleet::publish_record(const record &r, bool deleted)
{
	for (size_t i = 0; i < nodes.size(); i++) {
		int64_t delay = random_delay_us();
		int64_t cut = nodes[i]->cut_platform_until_us - now_us;

		if (chance(faults.record_delay))
			delay += rng() % (3 * US_PER_S);
		delay += std::max<int64_t>(cut, 0);
		deliver_later(i, delay, [this, r, deleted](Node &n) {
			deliver_record(n.lim, n.members, r, deleted, n.name,
				       n.local_time(now_us));
		});
	}
}

void Fleet::start_node(int i)
{
	Node &n = *nodes[i];
	int drift = faults.clock_drift ? static_cast<int>(rng() % 9) - 4 : 0;
	member_opts mo = {};
	limits_opts lo = {};
	key_guard_opts go = {};

	n.incarnation = ++last_incarnation;
	n.clock_speed = 1 + drift / 1000.0;
	mo.instance = n.name.c_str();
	mo.zone = "zone";
	mo.incarnation = n.incarnation;
	mo.seed = rng();
	n.members = member_table_new(&mo);
	lo.instance = n.name.c_str();
	lo.incarnation = n.incarnation;
	lo.seed = rng();
	lo.share_cells = CELLS;
	lo.members = n.members;
	lo.removal_delay_us = faults.removal_delay_us;
	go.key_grace_us = GRACE_US;
	n.guard = key_guard_new(&go, n.members);
	lo.guard = faults.with_guard ? n.guard : nullptr;
	n.lim = limits_new(&lo);
	n.out = action_queue_new();
	n.next_renewal_us = 0;
	n.next_sync_us = 0;
	for (auto &w : workspaces)
		limits_put_workspace(n.lim, &w.second, n.local_time(now_us));
	for (auto &s : shares)
		limits_put_share(n.lim, &s.second, n.local_time(now_us));
	for (auto &l : leases) {
		record r = {};

		r.kind = RECORD_MEMBER;
		strcpy(r.member.name, l.first.c_str());
		r.member.incarnation = l.second.incarnation;
		deliver_record(n.lim, n.members, r, false, n.name,
			       n.local_time(now_us));
	}
}

void Fleet::put_workspace(const std::string &name, uint32_t rate,
			  uint32_t burst)
{
	record r = {};

	r.kind = RECORD_WORKSPACE;
	r.revision = ++revision;
	strcpy(r.workspace.name, name.c_str());
	r.workspace.rate_milli_per_s = rate;
	r.workspace.burst_milli = burst;
	workspaces[name] = r;
	publish_record(r, false);
}

bool Fleet::reaches_platform(int i) const
{
	return !faults.platform_down &&
	       now_us >= nodes[i]->cut_platform_until_us;
}

platform_result Fleet::apply_operation(const platform_start &p)
{
	platform_result r = {};
	uint32_t cell = p.record.share.cell;
	auto it = shares.find(cell);
	bool holds;

	r.operation_id = p.operation_id;
	r.found = it != shares.end();
	if (r.found)
		r.record = it->second;
	if (p.operation == PLATFORM_READ_SHARE)
		return r;
	holds = p.expected_revision == (r.found ? r.record.revision : 0);
	for (uint32_t i = 0; i < p.absent_count; i++)
		holds = holds && !leases.count(p.absent_members[i].instance);
	if (!holds) {
		r.outcome = PLATFORM_REFUSED;
		return r;
	}
	shares[cell] = p.record;
	shares[cell].revision = ++revision;
	publish_record(shares[cell], false);
	r.record = {};
	return r;
}

void Fleet::call_platform(int i, const platform_start &p)
{
	auto answer = [this, i](platform_result r, int64_t delay) {
		deliver_later(i, delay, [this, r](Node &n) {
			limits_handle_platform(n.lim, &r, n.local_time(now_us),
					       n.out);
		});
	};
	platform_result unknown = {};

	platform_calls++;
	unknown.operation_id = p.operation_id;
	unknown.outcome = PLATFORM_UNKNOWN;
	if (!reaches_platform(i)) {
		answer(unknown, CALL_TIMEOUT_US);
	} else if (chance(faults.change_delay)) {
		answer(unknown, CALL_TIMEOUT_US);
		run_at(now_us + rng() % (3 * US_PER_S),
		       [this, p] { apply_operation(p); });
	} else {
		bool lost = chance(faults.answer_loss);

		run_at(now_us + random_delay_us(),
		       [this, p, lost, unknown, answer] {
			       platform_result r = apply_operation(p);

			       if (lost)
				       answer(unknown, CALL_TIMEOUT_US);
			       else
				       answer(r, random_delay_us());
		       });
	}
}

void Fleet::grant_lease(int i, uint64_t incarnation, int64_t requested_us)
{
	Lease &l = leases[nodes[i]->name];
	lease_renewal renewal = { requested_us, lease_ttl_us() };

	if (l.incarnation != incarnation) {
		record r = {};

		l.incarnation = incarnation;
		r.kind = RECORD_MEMBER;
		r.revision = ++revision;
		strcpy(r.member.name, nodes[i]->name.c_str());
		r.member.incarnation = incarnation;
		publish_record(r, false);
	}
	l.expires_us = now_us + lease_ttl_us();
	if (chance(faults.answer_loss))
		return;
	deliver_later(i, random_delay_us(), [this, renewal](Node &n) {
		limits_handle_lease(n.lim, &renewal, n.local_time(now_us));
	});
}

void Fleet::renew_lease(int i)
{
	Node &n = *nodes[i];
	uint64_t incarnation = n.incarnation;
	int64_t requested_us = n.local_time(now_us);

	n.next_renewal_us = now_us + RENEW_US;
	platform_calls++;
	if (!reaches_platform(i))
		return;
	run_at(now_us + random_delay_us(), [this, i, incarnation,
					    requested_us] {
		if (nodes[i]->lim && nodes[i]->incarnation == incarnation)
			grant_lease(i, incarnation, requested_us);
	});
}

int64_t Fleet::lease_ttl_us() const
{
	return faults.with_guard ? 6 * US_PER_S : 3 * US_PER_S;
}

// All syncs report revision 0, so that only their times matter.
void Fleet::sync_config(int i)
{
	int64_t requested_us = nodes[i]->local_time(now_us);
	uint64_t incarnation = nodes[i]->incarnation;

	nodes[i]->next_sync_us = now_us + SYNC_US;
	if (!reaches_platform(i))
		return;
	deliver_later(i, 2 * random_delay_us(),
		      [this, requested_us, incarnation](Node &n) {
			      if (n.incarnation == incarnation)
				      key_guard_note_synced(n.guard, 0,
							    requested_us,
							    n.local_time(
								    now_us));
		      });
}

void Fleet::expire_leases()
{
	if (faults.platform_down)
		return;
	for (auto it = leases.begin(); it != leases.end();) {
		if (it->second.expires_us > now_us) {
			++it;
			continue;
		}
		record r = {};

		r.kind = RECORD_MEMBER;
		r.revision = ++revision;
		strcpy(r.member.name, it->first.c_str());
		r.member.incarnation = it->second.incarnation;
		it = leases.erase(it);
		publish_record(r, true);
	}
}

void Fleet::send_message(int from, const peer_message &m)
{
	peer_message copy = m;
	int to = atoi(m.peer + strlen("node-"));
	int copies = 1;

	peer_messages++;
	if (now_us < nodes[from]->cut_peers_until_us ||
	    now_us < nodes[to]->cut_peers_until_us ||
	    chance(faults.message_loss))
		return;
	strcpy(copy.peer, nodes[from]->name.c_str());
	copies += chance(faults.message_duplicate);
	for (int i = 0; i < copies; i++) {
		int64_t delay = random_delay_us();

		if (chance(faults.message_delay))
			delay += rng() % (3 * US_PER_S);
		deliver_later(to, delay, [this, copy](Node &n) {
			int64_t now = n.local_time(now_us);

			if (!member_handle_message(n.members, &copy, now,
						   n.out))
				limits_handle_peer(n.lim, &copy, now, n.out);
		});
	}
}

void Fleet::execute_action(int i, const action &a)
{
	if (a.type == ACTION_PEER_SEND)
		send_message(i, *a.peer);
	else if (a.type == ACTION_PLATFORM)
		call_platform(i, *a.platform);
}

void Fleet::step_node(int i, const std::function<void(int)> &traffic)
{
	Node &n = *nodes[i];
	std::vector<std::function<void(Node &)>> inbox;
	member_self self;
	action a;

	if (!n.lim || now_us < n.paused_until_us)
		return;
	// After a pause, requests may be handled before any event.
	if (chance(50))
		traffic(i);
	inbox.swap(n.inbox);
	for (auto &deliver : inbox)
		deliver(n);
	if (now_us >= n.next_renewal_us)
		renew_lease(i);
	if (now_us >= n.next_sync_us)
		sync_config(i);
	self = key_guard_get_self(n.guard, false);
	member_set_self(n.members, &self);
	member_run(n.members, n.local_time(now_us), n.out);
	limits_run(n.lim, n.local_time(now_us), n.out);
	traffic(i);
	while (action_queue_pop(n.out, &a))
		execute_action(i, a);
}

void Fleet::run(int64_t duration_us, const std::function<void(int)> &traffic)
{
	int64_t end = now_us + duration_us;

	while (now_us < end) {
		now_us += STEP_US;
		while (!events.empty() && events.begin()->first <= now_us) {
			auto fn = std::move(events.begin()->second);

			events.erase(events.begin());
			fn();
		}
		expire_leases();
		for (size_t i = 0; i < nodes.size(); i++)
			step_node(i, traffic);
	}
}

bool Fleet::admit(int i, const std::string &workspace, uint32_t cost,
		  bool refunded, int64_t *retry_after_us)
{
	Node &n = *nodes[i];
	int64_t retry = 0;

	if (limit_admit(n.lim, workspace.c_str(), cost, n.local_time(now_us),
			&retry)) {
		if (retry_after_us)
			*retry_after_us = retry;
		return false;
	}
	if (!refunded)
		admitted[workspace].push_back({ now_us, cost });
	deliver_later(i, rng() % 200000,
		      [this, workspace, cost, refunded](Node &x) {
			      (refunded ? limit_refund :
					  limit_commit)(x.lim,
							workspace.c_str(), cost,
							x.local_time(now_us));
		      });
	return true;
}

int32_t Fleet::admit_error(int i, const std::string &workspace, uint32_t cost)
{
	int64_t retry = 0;

	return limit_admit(nodes[i]->lim, workspace.c_str(), cost,
			   nodes[i]->local_time(now_us), &retry);
}

void Fleet::pause(int i, int64_t duration_us)
{
	nodes[i]->paused_until_us = now_us + duration_us;
}

void Fleet::crash(int i, int64_t restart_after_us)
{
	if (!nodes[i]->lim)
		return;
	nodes[i]->stop();
	run_at(now_us + restart_after_us, [this, i] { start_node(i); });
}

void Fleet::drain(int i)
{
	if (nodes[i]->lim)
		limits_drain(nodes[i]->lim);
}

bool Fleet::is_drained(int i) const
{
	return limits_is_drained(nodes[i]->lim, nodes[i]->local_time(now_us));
}

void Fleet::cut_platform(int i, int64_t duration_us)
{
	nodes[i]->cut_platform_until_us = now_us + duration_us;
}

void Fleet::cut_peers(int i, int64_t duration_us)
{
	nodes[i]->cut_peers_until_us = now_us + duration_us;
}

limit_status Fleet::status(int i, const std::string &workspace)
{
	return limit_get_status(nodes[i]->lim, workspace.c_str(),
				nodes[i]->local_time(now_us));
}

bool within_limit(const std::vector<Admission> &admitted,
		  double rate_milli_per_s, double burst_milli, int64_t from_us)
{
	double level = burst_milli;
	int64_t last = from_us;

	for (const Admission &a : admitted) {
		if (a.at_us < from_us)
			continue;
		level += rate_milli_per_s * (a.at_us - last) / 1e6;
		level = std::min(level, burst_milli) - a.cost_milli;
		last = a.at_us;
		if (level < -1e-6)
			return false;
	}
	return true;
}
