/*
 * A new machine's first write to the store gets no answer and is carried out
 * some seconds later; its process is killed in between and starts again.
 * Usage: case_entry_lost BINARY DIRECTORY RECORD TROUBLE
 */
#include "rig.h"

#include <algorithm>
#include <signal.h>
#include <string.h>

namespace
{

const int RATE_PER_S = 1000;
const int BURST = 10;
const int64_t WINDOW_MS = 5000;
/* (rate x window + burst) x (1 + quota_overrun) + quota_slack */
const double BOUND = (RATE_PER_S * 5 + BURST) * 1.1 + 20;
const int64_t LATE_MS = 3500;
const int64_t KILL_MS = 300; /* after its entry is there */
const int64_t RESTART_MS = 300;
const int64_t LOAD_MS = 14000; /* after the new machine has started */
const int SESSIONS = 16; /* at each instance */
const char ENTRY[] = "zinnialine/instance/edge-1";

const char CONFIG[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"stock\","
	"\"kind\":\"bounded_staleness\",\"timeout_ms\":1000,"
	"\"target_latency_ms\":200,\"priority\":1,\"service\":\"ledger\","
	"\"max_staleness_ms\":1500,\"public\":false}],"
	"\"services\":[{\"name\":\"ledger\",\"max_conns\":33,"
	"\"sync_replicas\":1}],\"limits\":{\"tx_idle_ms\":3000},"
	"\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"],"
	"\"priority\":1,\"rate_per_s\":1000,\"burst\":10}]}";

struct Sent {
	std::mutex mutex;
	std::map<std::string, int64_t> at_ms; /* by id of the statement */
	std::map<std::string, int> refused; /* by instance */
};

/* Asks as fast as it is answered, with a pause after a refusal. */
void run_client(const Fleet *fleet, std::string instance,
		const std::atomic<bool> *ends, Sent *sent)
{
	std::unique_ptr<Session> s;

	while (!*ends) {
		std::string id = new_id();

		if (!s || !s->is_open())
			s = std::make_unique<Session>(fleet->callers(instance),
						      "stock", "key-1");
		{
			std::lock_guard<std::mutex> lock(sent->mutex);

			sent->at_ms[id] = now_ms();
		}
		Reply r = s->ask(id, "READ item1");

		if (r.done)
			continue;
		{
			std::lock_guard<std::mutex> lock(sent->mutex);

			sent->refused[instance]++;
		}
		sleep_ms(10);
	}
}

/* Returns the most that were both sent and run in one window. */
int count_worst(std::vector<std::pair<int64_t, int64_t>> ops, int64_t *at_ms)
{
	int worst = 0;

	std::sort(ops.begin(), ops.end());
	for (size_t i = 0; i < ops.size(); i++) {
		int64_t end = ops[i].first + WINDOW_MS;
		int n = 0;

		if (i && ops[i].first == ops[i - 1].first)
			continue;
		for (size_t k = i; k < ops.size() && ops[k].first < end; k++)
			n += ops[k].second < end;
		if (n > worst) {
			worst = n;
			*at_ms = ops[i].first;
		}
	}
	return worst;
}

bool wait_for(const std::function<bool()> &fn, int64_t limit_ms)
{
	int64_t end = now_ms() + limit_ms;

	while (now_ms() < end) {
		if (fn())
			return true;
		sleep_ms(10);
	}
	return false;
}

} // namespace

int main(int argc, char **argv)
{
	if (argc != 5)
		return 2;
	bool trouble = strcmp(argv[4], "0") != 0;
	const std::vector<std::string> zones = { "za", "zb", "zc" };
	std::atomic<bool> ends{ false };
	std::atomic<bool> lost{ !trouble };
	std::vector<std::thread> clients;
	bool listed = true;
	Sent sent;

	signal(SIGPIPE, SIG_IGN);
	record_open(argv[3]);
	Platform platform;
	Database db(&platform, "ledger", zones, 33);
	platform.promote = [&](const std::string &, const std::string &id) {
		return db.promote(id);
	};
	platform.late_ms = [&](const std::string &key,
			       const std::string &value) -> int64_t {
		if (key != ENTRY || lost.exchange(true))
			return 0;
		record(true, "no answer to the first write of edge-1: %s",
		       value.c_str());
		return LATE_MS;
	};
	Fleet fleet(argv[1], argv[2]);

	platform.write({ { "op/config", CONFIG } });
	db.work_ms = 2;
	fleet.start("edge-0", "za", platform);
	if (!fleet.wait_until_ready(15000))
		return 2;
	sleep_ms(6000);
	record(true, "a new machine, edge-1, starts");
	fleet.start("edge-1", "zb", platform);
	for (const std::string &n : fleet.names()) {
		for (int i = 0; i < SESSIONS; i++)
			clients.emplace_back(run_client, &fleet, n, &ends,
					     &sent);
	}
	if (!wait_for([&] { return !platform.read(ENTRY).empty(); }, 8000))
		return 2;
	record(true, "its entry: %s", platform.read(ENTRY).c_str());
	if (trouble) {
		sleep_ms(KILL_MS);
		fleet.kill("edge-1");
		record(true, "the process on edge-1 is killed");
		sleep_ms(RESTART_MS);
		fleet.start("edge-1", "zb", platform);
	}
	for (int64_t end = now_ms() + LOAD_MS; now_ms() < end;) {
		bool there = !platform.read(ENTRY).empty();

		if (there != listed)
			record(true, "the store has %s entry of edge-1",
			       there ? "an" : "no");
		listed = there;
		sleep_ms(20);
	}
	ends = true;
	for (std::thread &t : clients)
		t.join();
	bool ended = fleet.any_ended();

	std::vector<std::pair<int64_t, int64_t>> ops;
	for (const Run &r : db.runs()) {
		auto i = sent.at_ms.find(r.id);

		if (i == sent.at_ms.end())
			continue;
		ops.push_back({ i->second, r.at_ms });
		record(false, "%s sent at %ld ms, run at %ld ms at %s for %s",
		       r.id.c_str(), static_cast<long>(i->second),
		       static_cast<long>(r.at_ms), r.backend.c_str(),
		       r.tenant.c_str());
	}
	int64_t at_ms = 0;
	int worst = count_worst(ops, &at_ms);
	for (const auto &r : sent.refused)
		record(true, "%s refused %d", r.first.c_str(), r.second);
	record(true, "entry of edge-1 at the end: %s",
	       platform.read(ENTRY).empty() ? "none" : "there");
	record(true,
	       "at most %d requests of t1 ran in %ld ms (from %ld ms on); "
	       "%.0f may",
	       worst, static_cast<long>(WINDOW_MS), static_cast<long>(at_ms),
	       BOUND);
	platform.stop();
	db.stop();
	fflush(stdout);
	fleet.~Fleet();
	_exit(ended ? 2 : worst > BOUND ? 1 : 0);
}
