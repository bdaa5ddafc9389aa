/*
 * A key is taken away by a call of the operator that writes two keys of the
 * store at once. Usage: case_revoke_in_one_call BINARY DIRECTORY RECORD TROUBLE
 */
#include "rig.h"

#include <jansson.h>
#include <signal.h>
#include <string.h>

namespace
{

const int64_t REVOKE_MS = 5000; /* of the settings, and of the rule */
const int64_t AFTER_MS = 15000; /* played after the acknowledgement */

std::string make_config(int version, const std::string &key)
{
	return "{\"version\":" + std::to_string(version) +
	       ",\"routes\":[{\"name\":\"r1\",\"host\":\"orders\","
	       "\"kind\":\"primary\",\"timeout_ms\":1000,"
	       "\"target_latency_ms\":200,\"priority\":1,"
	       "\"service\":\"ledger\",\"public\":false}],"
	       "\"services\":[{\"name\":\"ledger\",\"max_conns\":33,"
	       "\"sync_replicas\":1}],\"limits\":{\"tx_idle_ms\":3000},"
	       "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"" +
	       key + "\"],\"priority\":1,\"rate_per_s\":100,\"burst\":100}]}";
}

struct Late {
	std::mutex mutex;
	int count = 0;
};

/* Reads every 100 ms with the key, in one session as long as it lasts. */
void run_client(const Fleet *fleet, const Database *db, std::string instance,
		const std::atomic<int64_t> *revoked_ms,
		const std::atomic<bool> *ends, Late *late)
{
	std::unique_ptr<Session> s;

	while (!*ends) {
		std::string id = new_id();
		int64_t sent_ms;
		Reply r;

		sleep_ms(100);
		if (!s || !s->is_open())
			s = std::make_unique<Session>(fleet->callers(instance),
						      "orders", "old-key");
		sent_ms = now_ms();
		r = s->ask(id, "READ item1");
		bool ran = !const_cast<Database *>(db)->tenant_of(id).empty();
		int64_t age = *revoked_ms ? sent_ms - *revoked_ms : -1;
		bool is_late = ran && age > REVOKE_MS;

		record(false,
		       "%s: %s sent with old-key%s, answered %s %s, run: %s%s",
		       instance.c_str(), id.c_str(),
		       age >= 0 ? (" " + std::to_string(age) +
				   " ms after it was taken away")
					  .c_str() :
				  "",
		       r.done ? "COMPLETE" : "ERROR", r.signature.c_str(),
		       ran ? "yes" : "no", is_late ? ": LATE" : "");
		if (!is_late)
			continue;
		std::lock_guard<std::mutex> lock(late->mutex);
		if (!late->count++)
			record(true,
			       "%s ran a request that was sent %ld ms after "
			       "its key was taken away",
			       instance.c_str(), static_cast<long>(age));
	}
}

} // namespace

int main(int argc, char **argv)
{
	if (argc != 5)
		return 2;
	bool trouble = strcmp(argv[4], "0") != 0;
	const std::vector<std::string> zones = { "za", "zb", "zc" };
	std::atomic<int64_t> revoked_ms{ 0 };
	std::atomic<bool> ends{ false };
	std::vector<std::thread> clients;
	Late late;

	signal(SIGPIPE, SIG_IGN);
	record_open(argv[3]);
	Platform platform;
	Database db(&platform, "ledger", zones, 33);
	platform.promote = [&](const std::string &, const std::string &id) {
		return db.promote(id);
	};
	Fleet fleet(argv[1], argv[2]);

	platform.write({ { "op/config", make_config(1, "old-key") } });
	for (size_t i = 0; i < zones.size(); i++)
		fleet.start("edge-" + std::to_string(i), zones[i], platform);
	if (!fleet.wait_until_ready(15000)) {
		record(true, "the system did not become ready");
		return 2;
	}
	for (const std::string &n : fleet.names())
		clients.emplace_back(run_client, &fleet, &db, n, &revoked_ms,
				     &ends, &late);
	sleep_ms(6000);
	record(true, "the duty is held by %s",
	       platform.read("zinnialine/duty").c_str());
	if (trouble)
		platform.write(
			{ { "op/audit", "{\"by\":\"desk\",\"version\":2}" },
			  { "op/config", make_config(2, "new-key") } });
	else {
		platform.write(
			{ { "op/audit", "{\"by\":\"desk\",\"version\":2}" } });
		platform.write({ { "op/config", make_config(2, "new-key") } });
	}
	revoked_ms = now_ms();
	record(true, "old-key taken away by %s",
	       trouble ? "a call that writes two keys" : "a call of its own");
	sleep_ms(AFTER_MS);
	for (const std::string &n : fleet.names())
		record(true, "%s is %s", n.c_str(),
		       fleet.is_ready(n) ? "ready" : "not ready");
	ends = true;
	for (std::thread &t : clients)
		t.join();
	bool ended = fleet.any_ended();
	record(true, "%d requests ran that were sent later than %ld ms after",
	       late.count, static_cast<long>(REVOKE_MS));
	platform.stop();
	db.stop();
	/* Threads that still wait for connections end with the program. */
	fflush(stdout);
	fleet.~Fleet();
	_exit(ended ? 2 : late.count ? 1 : 0);
}
