/*
 * Fault soak: runs instances as processes between stand-ins of the platform,
 * the endpoints and the callers, injects faults chosen by the seed, and checks
 * the promises from what callers and endpoints saw.
 *
 * Usage: soak --binary PATH --directory PATH --seed N [--rounds N]
 *             [--fault NAME] [--endpoints N] [--clients N]
 * Exits with 1 if a promise was broken.
 */
#include "faults.h"

#include <algorithm>
#include <glib.h>
#include <iostream>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

namespace
{

const int64_t STEP_US = 5 * MS;
const int64_t START_TIMEOUT_US = 15 * SECOND;
const int64_t WARM_UP_US = 3 * SECOND;
/* The service is back this long after the last fault has ended. */
const int64_t RECOVER_US = 12 * SECOND;
const int64_t SETTLED_US = 2 * SECOND;
const size_t SERVED_MIN_PER_S = 5; /* on each route, once recovered */
const int64_t STOP_TIMEOUT_US = 10 * SECOND;
const int64_t STALL_US = 250 * MS;
const size_t DESCRIPTORS_SLACK = 24;
const size_t MEMORY_SLACK_KB = 24 * 1024;

struct Options {
	std::string binary;
	std::string directory;
	uint64_t seed = 1;
	int rounds = 3;
	std::string only; /* kind of fault */
	size_t endpoints = 3;
	size_t clients = 4; /* per route */
};

bool parse_options(int argc, char **argv, Options *o)
{
	for (int i = 1; i + 1 < argc; i += 2) {
		std::string name = argv[i];
		std::string value = argv[i + 1];

		if (name == "--binary")
			o->binary = value;
		else if (name == "--directory")
			o->directory = value;
		else if (name == "--seed")
			o->seed = strtoull(value.c_str(), nullptr, 10);
		else if (name == "--rounds")
			o->rounds = atoi(value.c_str());
		else if (name == "--fault")
			o->only = value;
		else if (name == "--endpoints")
			o->endpoints = strtoull(value.c_str(), nullptr, 10);
		else if (name == "--clients")
			o->clients = strtoull(value.c_str(), nullptr, 10);
		else
			return false;
	}
	return argc % 2 && !o->binary.empty() && !o->directory.empty() &&
	       o->endpoints && o->clients;
}

/* Notes when this program itself did not run, so that waits are not fair. */
class StallMeter
{
      public:
	StallMeter() : thread([this] { run(); })
	{
	}

	~StallMeter()
	{
		ends = true;
		thread.join();
	}

      private:
	void run()
	{
		int64_t last_us = now_us();

		while (!ends) {
			sleep_us(STEP_US);
			if (now_us() - last_us > STALL_US) {
				history.end_disturbance(
					history.begin_disturbance(
						Disturbance::HOST, -1));
				history.count("host", "stalled");
			}
			last_us = now_us();
		}
	}

	std::atomic<bool> ends{ false };
	std::thread thread;
};

using Clients = std::vector<std::unique_ptr<Client>>;

Clients start_clients(const Options &o, Fleet *fleet, Operator *op,
		      Service *service)
{
	Clients out;

	for (size_t r = 0; r < routes.size(); r++) {
		for (size_t i = 0; i < o.clients; i++)
			out.push_back(std::make_unique<Client>(
				ClientOptions{ out.size(), o.seed, r,
					       i % (workspaces.size() - 1),
					       false, fleet, op, service }));
	}
	/* Two ask for more than the limit of their workspace. */
	for (size_t i = 0; i < 2; i++)
		out.push_back(std::make_unique<Client>(ClientOptions{
			out.size(), o.seed, 1, workspaces.size() - 1, true,
			fleet, op, service }));
	return out;
}

void run_for(int64_t time_us, Fleet *fleet, Faults *faults)
{
	int64_t end_us = now_us() + time_us;

	while (now_us() < end_us) {
		fleet->poll();
		faults->poll();
		sleep_us(STEP_US);
	}
}

bool wait_until_ready(Fleet *fleet)
{
	int64_t end_us = now_us() + START_TIMEOUT_US;
	bool all = false;

	while (!all && now_us() < end_us) {
		all = true;
		for (size_t i = 0; i < fleet->size(); i++)
			all = all && fleet->is_ready(i);
		fleet->poll();
		sleep_us(STEP_US);
	}
	return all;
}

std::vector<Level> read_levels(const Fleet &fleet)
{
	std::vector<Level> out;

	for (size_t i = 0; i < fleet.size(); i++)
		out.push_back(fleet.is_running(i) ? fleet.level(i) : Level());
	return out;
}

void check_levels(const Fleet &fleet, const std::vector<Level> &before)
{
	std::vector<Level> after = read_levels(fleet);

	for (size_t i = 0; i < after.size(); i++) {
		if (after[i].descriptors >
			    before[i].descriptors * 2 + DESCRIPTORS_SLACK ||
		    after[i].memory_kb >
			    before[i].memory_kb * 2 + MEMORY_SLACK_KB)
			history.fail(
				"level",
				"instance " + std::to_string(i) + " holds " +
					std::to_string(after[i].descriptors) +
					" descriptors and " +
					std::to_string(after[i].memory_kb) +
					" kB, at first " +
					std::to_string(before[i].descriptors) +
					" and " +
					std::to_string(before[i].memory_kb));
	}
}

void check_recovered(Fleet *fleet, Faults *faults)
{
	int64_t since_us;

	run_for(RECOVER_US, fleet, faults);
	since_us = now_us();
	run_for(SETTLED_US, fleet, faults);
	for (const Route &r : routes) {
		size_t n = history.served_since(r.database, since_us);

		if (n < SERVED_MIN_PER_S *
				    static_cast<size_t>(SETTLED_US / SECOND) &&
		    !history.disturbed(Disturbance::HOST, -1, since_us))
			history.fail("recovery",
				     "route " + r.database + " served " +
					     std::to_string(n) +
					     " requests after all faults had "
					     "ended");
	}
	for (size_t i = 0; i < fleet->size(); i++) {
		if (!fleet->is_ready(i) &&
		    !history.disturbed(Disturbance::HOST, -1, since_us))
			history.fail("recovery", "instance " +
							 std::to_string(i) +
							 " is not ready");
	}
}

/* All instances leave as planned. */
void stop_all(Fleet *fleet)
{
	int64_t end_us = now_us() + STOP_TIMEOUT_US;
	bool running = true;

	for (size_t i = 0; i < fleet->size(); i++)
		fleet->stop(i, false);
	while (running && now_us() < end_us) {
		running = false;
		for (size_t i = 0; i < fleet->size(); i++)
			running = running || fleet->is_running(i);
		fleet->poll();
		sleep_us(STEP_US);
	}
}

void print_report(const Options &o)
{
	std::vector<std::string> failures = history.failures();

	std::cout << "seed " << o.seed << "\n";
	for (const auto &kind : history.counts()) {
		std::cout << "  " << kind.first << ":";
		for (const auto &n : kind.second)
			std::cout << "  " << n.first << " " << n.second;
		std::cout << "\n";
	}
	std::cout << "  gaps in service:";
	for (const auto &g : history.gaps())
		std::cout << "  " << g.first << ": " << g.second;
	std::cout << "\n";
	for (const std::string &f : failures)
		std::cout << "  FAILED " << f << "\n";
	if (!failures.empty())
		std::cout << "  logs: " << o.directory << "\n";
	std::cout << "  " << (failures.empty() ? "passed" : "failed") << "\n";
}

void run(const Options &o)
{
	const std::vector<std::string> zones = { "za", "zb", "zc" };
	Service service("orders", o.endpoints, zones);
	Store store(zones.size(), [&](const std::string &name,
				      const std::string &id) {
		return name == service.name ? service.promote(id) : 404;
	});
	Fleet fleet({ o.binary, o.directory, zones }, store);
	Operator op(&store, &fleet, service.name);
	Faults faults({ o.seed, &fleet, &store, &service, &op, o.only });
	StallMeter stalls;

	service.start(&store);
	for (size_t i = 0; i < fleet.size(); i++)
		fleet.start(i);
	if (!wait_until_ready(&fleet)) {
		history.fail("start", "not all instances became ready");
		return;
	}
	Clients clients = start_clients(o, &fleet, &op, &service);
	op.start();
	run_for(WARM_UP_US, &fleet, &faults);
	std::vector<Level> before = read_levels(fleet);
	for (int i = 0; i < o.rounds; i++)
		run_for(faults.plan_round(), &fleet, &faults);
	check_recovered(&fleet, &faults);
	check_levels(fleet, before);
	clients.clear();
	stop_all(&fleet);
	history.check_log(service.log_units());
}

} // namespace

int main(int argc, char **argv)
{
	Options o;

	if (!parse_options(argc, argv, &o)) {
		std::cerr << "usage: soak --binary PATH --directory PATH "
			     "--seed N [--rounds N] [--fault NAME] "
			     "[--endpoints N] [--clients N]\n";
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	g_mkdir_with_parents(o.directory.c_str(), 0755);
	run(o);
	print_report(o);
	return history.failures().empty() ? 0 : 1;
}
