/*
 * A machine is stopped while clients are in transactions that last. Usage:
 * case_stop_cuts_transaction BINARY DIRECTORY RECORD TROUBLE
 */
#include "rig.h"

#include <signal.h>
#include <string.h>

namespace
{

const int64_t WORK_MS = 400; /* of a read at a backend */
const int64_t PAUSE_MS = 1; /* of a client between its statements */
const int STATEMENTS = 12; /* of a transaction, COMMIT included */
const int64_t BEGIN_MS = 1500; /* after SIGTERM */
const int64_t SPREAD_MS = 50; /* between the clients */
const int CLIENTS = 12;
/* A cut of what was sent later is not excused by the backend's work. */
const int64_t EXCUSED_MS = 3000;

const char CONFIG[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"stock\","
	"\"kind\":\"bounded_staleness\",\"timeout_ms\":3000,"
	"\"target_latency_ms\":800,\"priority\":1,\"service\":\"ledger\","
	"\"max_staleness_ms\":1500,\"public\":false}],"
	"\"services\":[{\"name\":\"ledger\",\"max_conns\":33,"
	"\"sync_replicas\":1}],\"limits\":{\"tx_idle_ms\":3000},"
	"\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"],"
	"\"priority\":1,\"rate_per_s\":500,\"burst\":500}]}";

std::atomic<int> broken{ 0 };
std::atomic<int> done{ 0 };

void run_client(int number, const Fleet *fleet, Database *db,
		const std::atomic<int64_t> *stopped_ms, int64_t begin_ms)
{
	Session s(fleet->callers("edge-0"), "stock", "key-1");

	while (now_ms() < begin_ms)
		sleep_ms(1);
	for (int i = 0; i <= STATEMENTS && s.is_open(); i++) {
		std::string id = new_id();
		const char *text = !i		  ? "BEGIN READ" :
				   i < STATEMENTS ? "READ item1" :
						    "COMMIT";
		int64_t sent_ms = now_ms();
		int64_t after_ms = *stopped_ms ? sent_ms - *stopped_ms : -1;
		Reply r = s.ask(id, text);
		bool ran = !db->tenant_of(id).empty();

		record(false,
		       "client %d: %s %s sent %ld ms after SIGTERM: %s %s",
		       number, id.c_str(), text, static_cast<long>(after_ms),
		       !r.answered ? "no answer" :
		       r.done	   ? "COMPLETE" :
				     "ERROR",
		       r.signature.c_str());
		done += r.done;
		if (!r.answered && after_ms > EXCUSED_MS && ran) {
			broken++;
			record(true,
			       "client %d: %s, sent %ld ms after SIGTERM, was "
			       "passed on and cut after %ld ms",
			       number, text, static_cast<long>(after_ms),
			       static_cast<long>(now_ms() - sent_ms));
		}
		if (!r.answered || !r.done)
			return;
		sleep_ms(PAUSE_MS);
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
	std::vector<std::thread> clients;

	signal(SIGPIPE, SIG_IGN);
	record_open(argv[3]);
	Platform platform;
	Database db(&platform, "ledger", zones, 33);
	platform.promote = [&](const std::string &, const std::string &id) {
		return db.promote(id);
	};
	db.work_ms = WORK_MS;
	db.note_at_start = true;
	Fleet fleet(argv[1], argv[2]);

	platform.write({ { "op/config", CONFIG } });
	for (size_t i = 0; i < zones.size(); i++)
		fleet.start("edge-" + std::to_string(i), zones[i], platform);
	if (!fleet.wait_until_ready(15000))
		return 2;
	sleep_ms(5000);
	int64_t begin_ms = now_ms() + 1000 + BEGIN_MS;
	for (int i = 0; i < CLIENTS; i++)
		clients.emplace_back(run_client, i, &fleet, &db, &stopped_ms,
				     begin_ms + i * SPREAD_MS);
	sleep_ms(1000);
	if (trouble) {
		stopped_ms = now_ms();
		fleet.signal("edge-0", SIGTERM);
		record(true, "edge-0 is told to stop");
	}
	for (std::thread &t : clients)
		t.join();
	record(true,
	       "%d statements done, %d cut that were sent later than %ld "
	       "ms after SIGTERM and passed on",
	       done.load(), broken.load(), static_cast<long>(EXCUSED_MS));
	platform.stop();
	db.stop();
	fflush(stdout);
	fleet.~Fleet();
	_exit(broken ? 1 : done ? 0 : 2);
}
