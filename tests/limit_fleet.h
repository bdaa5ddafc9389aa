// limit_fleet.h - simulates the rate limits of several instances, for tests.
//
// Time is virtual. The platform and the network are simulated too.
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

// Probabilities are in percent. Faults stay in effect until they are changed.
struct Faults {
	int message_loss = 0;
	int message_duplicate = 0;
	int message_delay = 0; // by up to 3 s
	int answer_loss = 0; // the change takes effect, but its answer is lost
	int change_delay = 0; // takes effect after the call timed out
	int record_delay = 0; // by up to 3 s; later ones may overtake it
	int clock_drift = 0; // not 0: clocks run up to 0.4% fast or slow
	bool platform_down = false;
	int64_t removal_delay_us = 0; // limits_opts.removal_delay_us
	bool with_guard = false; // shares outlast the lease in an outage
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
	// Advances time; calls `traffic` for each running node, once or twice
	// per step.
	void run(int64_t duration_us, const std::function<void(int)> &traffic);
	// Admits a request, then commits or refunds it up to 200 ms later.
	// Returns false when the request is refused.
	bool admit(int node, const std::string &workspace, uint32_t cost,
		   bool refunded = false, int64_t *retry_after_us = nullptr);

	int32_t admit_error(int node, const std::string &workspace,
			    uint32_t cost);

	void pause(int node, int64_t duration_us);
	void crash(int node, int64_t restart_after_us);
	void drain(int node);
	void cut_platform(int node, int64_t duration_us);
	void cut_peers(int node, int64_t duration_us);
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

	void run_at(int64_t when_us, std::function<void()> fn);
	void deliver_later(int i, int64_t delay_us,
			   std::function<void(Node &)> deliver);
	void start_node(int i);
	void step_node(int i, const std::function<void(int)> &traffic);
	void execute_action(int i, const action &a);
	void send_message(int from, const peer_message &m);
	void call_platform(int i, const platform_start &p);
	platform_result apply_operation(const platform_start &p);
	void renew_lease(int i);
	void grant_lease(int i, uint64_t incarnation, int64_t requested_us);
	void expire_leases();
	void sync_config(int i);
	int64_t lease_ttl_us() const;
	void publish_record(const record &r, bool deleted);
	int64_t random_delay_us();
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

// Returns true when the requests admitted in any window of length t from
// from_us on cost at most rate * t + burst.
bool within_limit(const std::vector<Admission> &admitted,
		  double rate_milli_per_s, double burst_milli,
		  int64_t from_us = 0);

#endif
