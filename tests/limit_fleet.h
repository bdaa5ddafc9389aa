// limit_fleet.h - several instances' limits in virtual time, for tests.
#ifndef TESTS_LIMIT_FLEET_H
#define TESTS_LIMIT_FLEET_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "core/limit.h"
#include "core/member.h"
}

// Chances in percent, and outages, that hold until changed.
struct Faults {
	int message_loss = 0;
	int message_double = 0;
	int message_late = 0; // up to 3 s
	int answer_lost = 0; // the change took effect
	int change_late = 0; // takes effect after its answer was given up
	int record_late = 0; // up to 3 s, so that later ones overtake it
	int clock_drift = 0; // of an instance, up to 0.4%
	bool platform_down = false;
	int64_t removal_delay_us = 0; // limits_opts.removal_delay_us
	bool with_guard = false; // parts outlast the lease in an outage
};

struct Admission {
	int64_t at_us;
	uint32_t cost_milli;
};

class Fleet
{
      public:
	Fleet(int nodes, uint32_t seed, const Faults &faults);
	~Fleet();

	void put_workspace(const std::string &name, uint32_t rate,
			   uint32_t burst);
	// Advances time; `traffic` runs at each step for each live node.
	void run(int64_t us, const std::function<void(int)> &traffic);
	// Admits, then commits or refunds some time later.
	bool admit(int node, const std::string &workspace, uint32_t cost,
		   bool refunded = false, int64_t *retry_after_us = nullptr);

	int32_t admit_error(int node, const std::string &workspace,
			    uint32_t cost);

	void pause(int node, int64_t us);
	void crash(int node, int64_t restart_after_us);
	void drain(int node);
	void cut_platform(int node, int64_t us);
	void cut_peers(int node, int64_t us);
	bool is_drained(int node) const;
	limit_status status(int node, const std::string &workspace);

	int64_t now_us = 10 * US_PER_S;
	Faults faults;
	std::map<std::string, std::vector<Admission>> admitted;
	uint64_t platform_calls = 0;
	uint64_t peer_messages = 0;
	std::mt19937 rng;

      private:
	struct Node;
	struct Lease {
		uint64_t incarnation;
		int64_t expires_us;
	};

	void at(int64_t when_us, std::function<void()> fn);
	void to_node(int i, int64_t delay_us,
		     std::function<void(Node &)> deliver);
	void start(int i);
	void step_node(int i, const std::function<void(int)> &traffic);
	void carry_out(int i, const action &a);
	void send(int from, const peer_message &m);
	void call_platform(int i, const platform_start &p);
	platform_result apply(const platform_start &p);
	void renew_lease(int i);
	void grant_lease(int i, uint64_t incarnation, int64_t asked_us);
	void expire_leases();
	void sync(int i);
	int64_t lease_ttl_us() const;
	void publish(const record &r, bool deleted);
	int64_t delay_us();
	bool chance(int percent);
	bool reaches_platform(int i) const;

	std::vector<std::unique_ptr<Node>> nodes;
	std::multimap<int64_t, std::function<void()>> events;
	std::map<uint32_t, record> shares;
	std::map<std::string, record> workspaces;
	std::map<std::string, Lease> leases;
	int64_t revision = 0;
	uint64_t last_incarnation = 0;
};

// Returns true when no window holds more than rate * t + burst.
bool within_limit(const std::vector<Admission> &admitted,
		  double rate_milli_per_s, double burst_milli,
		  int64_t from_us = 0);

#endif
