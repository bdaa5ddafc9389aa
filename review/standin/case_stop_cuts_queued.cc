/*
 * A machine is stopped while a client has sent its next request before the
 * answer to the one that runs. Usage: case_stop_cuts_queued BINARY DIRECTORY
 * RECORD TROUBLE
 */
#include "rig.h"

#include <signal.h>
#include <string.h>

namespace
{

const int64_t SLACK_MS = 200; /* loss_slack_ms */
const int64_t WORK_MS = 400; /* of a request at a backend */
/*
 * After SIGTERM, whose grace_s is 6: later requests could meet a connection
 * that is being closed, and show nothing.
 */
const int64_t LAST_SENT_MS = 2250;
const int CLIENTS = 4;
const int AHEAD = 2; /* requests that a client has under way */

const char CONFIG[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"orders\","
	"\"kind\":\"primary\",\"timeout_ms\":3000,"
	"\"target_latency_ms\":800,\"priority\":1,\"service\":\"ledger\","
	"\"public\":false}],"
	"\"services\":[{\"name\":\"ledger\",\"max_conns\":33,"
	"\"sync_replicas\":1}],\"limits\":{\"tx_idle_ms\":3000},"
	"\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"],"
	"\"priority\":1,\"rate_per_s\":500,\"burst\":500}]}";

std::atomic<int> broken{ 0 };
std::atomic<int> answered{ 0 };

/*
 * Keeps AHEAD requests under way on one session, until it ends or LAST_SENT_MS
 * have passed since the machine was told to stop.
 */
void run_client(int number, const Fleet *fleet,
		const std::atomic<int64_t> *stopped_ms,
		const std::atomic<bool> *ends)
{
	sleep_ms(number * WORK_MS / CLIENTS);
	Session s(fleet->callers("edge-0"), "orders", "key-1");
	std::vector<std::pair<std::string, int64_t>> waiting;

	while (s.is_open()) {
		bool may_send =
			!*ends &&
			(!*stopped_ms || now_ms() - *stopped_ms < LAST_SENT_MS);

		while (may_send && waiting.size() < AHEAD) {
			std::string id = new_id();

			if (!s.post(id, "READ item1"))
				break;
			waiting.push_back({ id, now_ms() });
		}
		if (waiting.empty())
			break;
		Reply r = s.take(4000);

		if (!r.answered)
			break;
		record(false, "client %d: %s answered %s %s", number,
		       waiting[0].first.c_str(), r.done ? "COMPLETE" : "ERROR",
		       r.signature.c_str());
		waiting.erase(waiting.begin());
		answered++;
	}
	record(true, "client %d: its connection %s, %zu requests wait", number,
	       s.how_ended() == 1 ? "was closed in order" :
	       s.how_ended() == 2 ? "was reset" :
				    "is open",
	       waiting.size());
	/* Closed in order: all that had arrived had been read. */
	for (auto &w : waiting) {
		int64_t age = now_ms() - w.second;

		record(true, "client %d: %s got no answer, sent %ld ms ago",
		       number, w.first.c_str(), static_cast<long>(age));
		broken += s.how_ended() == 1 && age > SLACK_MS;
	}
}

} // namespace

int main(int argc, char **argv)
{
	if (argc != 5)
		return 2;
	bool trouble = strcmp(argv[4], "0") != 0;
	const std::vector<std::string> zones = { "za", "zb", "zc" };
	std::atomic<int64_t> stopped_ms{ 0 };
	std::atomic<bool> ends{ false };
	std::vector<std::thread> clients;

	signal(SIGPIPE, SIG_IGN);
	record_open(argv[3]);
	Platform platform;
	Database db(&platform, "ledger", zones, 33);
	platform.promote = [&](const std::string &, const std::string &id) {
		return db.promote(id);
	};
	db.work_ms = WORK_MS;
	Fleet fleet(argv[1], argv[2]);

	platform.write({ { "op/config", CONFIG } });
	for (size_t i = 0; i < zones.size(); i++)
		fleet.start("edge-" + std::to_string(i), zones[i], platform);
	if (!fleet.wait_until_ready(15000))
		return 2;
	sleep_ms(5000);
	for (int i = 0; i < CLIENTS; i++)
		clients.emplace_back(run_client, i, &fleet, &stopped_ms, &ends);
	sleep_ms(2000);
	if (trouble) {
		stopped_ms = now_ms();
		fleet.signal("edge-0", SIGTERM);
		record(true, "edge-0 is told to stop");
	}
	sleep_ms(4000);
	ends = true;
	for (std::thread &t : clients)
		t.join();
	record(true, "%d requests answered", answered.load());
	record(true,
	       "%d requests were read and cut more than %ld ms after they were "
	       "sent",
	       broken.load(), static_cast<long>(SLACK_MS));
	platform.stop();
	db.stop();
	fflush(stdout);
	fleet.~Fleet();
	_exit(broken ? 1 : answered ? 0 : 2);
}
