/* fleet.h - the processes of the instances. One thread starts and ends them. */
#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include "history.h"
#include "store.h"

#include <sys/types.h>

enum class Listener { CALLERS, READY, METRICS, PEERS, RELAY };
const int LISTENERS = 5;

struct FleetOptions {
	std::string binary;
	std::string directory; /* of settings and logs */
	std::vector<std::string> zones; /* one instance each */
};

struct Level {
	size_t descriptors = 0;
	size_t memory_kb = 0;
};

class Fleet
{
      public:
	Fleet(FleetOptions options, const Store &s);
	~Fleet();

	size_t size() const
	{
		return instances.size();
	}
	Address address(size_t i, Listener l) const;
	std::string log_path(size_t i) const;

	void start(size_t i);
	void pause(size_t i);
	void resume(size_t i);
	void kill(size_t i);
	/* A planned stop; it is started again once it has ended. */
	void stop(size_t i, bool restart);
	bool is_running(size_t i) const
	{
		return instances[i]->pid > 0;
	}
	/* Notes processes that ended and starts those that are due. */
	void poll();
	Level level(size_t i) const;

	/* For callers: a number that rises with each start of a process. */
	int incarnation(size_t i) const
	{
		return instances[i]->incarnation;
	}
	bool is_ready(size_t i) const
	{
		return instances[i]->misses < MISSES_MAX;
	}
	/* Returns an instance as the platform would, by its readiness. */
	size_t pick();
	bool is_stopping(size_t i) const
	{
		return instances[i]->stopping;
	}

      private:
	static const int MISSES_MAX = 2;

	struct Instance {
		std::atomic<pid_t> pid{ -1 };
		std::atomic<int> incarnation{ 0 };
		std::atomic<int> misses{ MISSES_MAX };
		std::atomic<bool> stopping{ false };
		bool paused = false;
		bool restart = false;
		int64_t stopped_us = 0; /* when SIGTERM was sent */
		int64_t start_at_us = 0; /* 0: not due */
		size_t disturbance = 0; /* of the end and the start */
		bool disturbed = false;
	};

	std::string settings_path(size_t i) const;
	void write_settings(size_t i, const Store &s);
	void note_end(size_t i, int status);
	void disturb(size_t i, Disturbance::Scope scope);
	void probe();
	bool ask_ready(size_t i);

	FleetOptions opts;
	std::string host; /* first three bytes of the instances' addresses */
	std::vector<std::unique_ptr<Instance>> instances;
	std::atomic<bool> ends{ false };
	std::thread prober;
};

#endif
