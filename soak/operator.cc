#include "operator.h"

#include <unistd.h>

namespace
{

const int64_t PROBE_US = 100 * MS;
const int64_t APPLY_US = 3 * SECOND; /* as in the instances' settings */
/* A read that meets an older version may have been sent this late. */
const int64_t ROLLBACK_SLACK_US = 2 * SECOND;
const int64_t ANSWER_US = 2 * SECOND;
/* A version's own route is in this version and the next one. */
const size_t ROUTE_VERSIONS = 2;
const int SMALL_RATE_PER_S = 20;
const int SMALL_BURST = 20;
const int64_t QUOTA_WINDOW_S = 5;

std::string route_json(const std::string &database, const char *kind,
		       int64_t max_age_ms, const std::string &service)
{
	return "{\"host\":\"" + database + "\",\"service\":\"" + service +
	       "\",\"kind\":\"" + kind +
	       "\",\"max_staleness_ms\":" + std::to_string(max_age_ms) +
	       ",\"timeout_ms\":3000,\"target_latency_ms\":400," +
	       "\"priority\":1,\"public\":false}";
}

} // namespace

const std::vector<Route> routes = {
	{ "strict", "primary", Freshness::STRICT, 0 },
	{ "bounded", "bounded_staleness", Freshness::BOUNDED, 1500 * MS },
	{ "session", "read_your_writes", Freshness::SESSION, 2500 * MS },
};

const std::vector<std::string> workspaces = { "mill", "yard", "small" };

Operator::Operator(Store *s, Fleet *f, std::string service_name)
    : store(s), fleet(f), service(std::move(service_name)),
      keys(workspaces.size()), seen(f->size())
{
	/* (rate x window + burst) x (1 + overrun) + slack */
	history.set_quota(
		{ workspaces.back(), QUOTA_WINDOW_S * SECOND,
		  (SMALL_RATE_PER_S * QUOTA_WINDOW_S + SMALL_BURST) * 11 / 10 +
			  20 });
	for (auto &k : keys) {
		k.push_back("key" + std::to_string(++key_count));
		history.allow_key(k.back());
	}
	change_routes();
}

Operator::~Operator()
{
	ends = true;
	if (prober.joinable())
		prober.join();
}

void Operator::start()
{
	prober = std::thread([this] { probe(); });
}

void Operator::write()
{
	int64_t number = versions.empty() ? 7 : versions.back().number + 3;
	std::string text = "{\"version\":" + std::to_string(number) +
			   ",\"limits\":{\"tx_idle_ms\":3000},\"routes\":[";

	for (const Route &r : routes)
		text += route_json(r.database, r.kind, r.max_age_us / MS,
				   service) +
			",";
	if (!versions.empty())
		text += route_json("r" + std::to_string(versions.back().number),
				   "primary", 0, service) +
			",";
	text += route_json("r" + std::to_string(number), "primary", 0,
			   service) +
		"],\"services\":[{\"name\":\"" + service +
		"\",\"max_conns\":33,\"sync_replicas\":1}],\"tenants\":[";
	for (size_t w = 0; w < workspaces.size(); w++) {
		bool small = w + 1 == workspaces.size();

		text += std::string(w ? "," : "") + "{\"name\":\"" +
			workspaces[w] + "\",\"rate_per_s\":" +
			std::to_string(small ? SMALL_RATE_PER_S : 5000) +
			",\"burst\":" +
			std::to_string(small ? SMALL_BURST : 5000) +
			",\"priority\":1,\"api_keys\":[";
		for (size_t k = 0; k < keys[w].size(); k++)
			text += (k ? ",\"" : "\"") + keys[w][k] + "\"";
		text += "]}";
	}
	store->put("op/config", text + "]}");
	versions.push_back({ number, now_us() });
	history.count("faults", "configuration");
}

void Operator::change_routes()
{
	std::lock_guard<std::mutex> lock(mutex);

	write();
}

void Operator::add_key(size_t workspace)
{
	std::lock_guard<std::mutex> lock(mutex);

	keys[workspace].push_back("key" + std::to_string(++key_count));
	history.allow_key(keys[workspace].back());
	write();
}

void Operator::withdraw_keys(size_t workspace)
{
	std::lock_guard<std::mutex> lock(mutex);
	std::vector<std::string> old = keys[workspace];

	keys[workspace] = { old.back() };
	old.pop_back();
	write();
	for (const std::string &k : old) {
		history.withdraw_key(k);
		history.count("faults", "key withdrawn");
	}
}

std::string Operator::key(size_t workspace)
{
	std::lock_guard<std::mutex> lock(mutex);

	return keys[workspace].back();
}

/* Returns the first line, or an empty one; checks a whole answer. */
std::string Operator::read_answer(LineStream *stream,
				  const std::shared_ptr<Statement> &s)
{
	std::string answer;
	std::string line;

	while (stream->read_line(&line, ANSWER_US) == Received::LINE) {
		answer += (answer.empty() ? "" : "\r\n") + line;
		if (line.compare(0, 8, "COMPLETE") == 0)
			history.check_answer(s, answer);
		if (line.compare(0, 3, "ROW") != 0)
			break;
	}
	return answer.substr(0, answer.find("\r\n"));
}

int Operator::ask_route(size_t i, const std::string &database, int64_t *sent_us)
{
	int fd = connect_to(fleet->address(i, Listener::CALLERS), SECOND / 2);
	auto s = std::make_shared<Statement>();
	std::string line;
	int known = -1;

	*sent_us = now_us();
	if (fd < 0)
		return -1;
	LineStream stream(fd);
	s->id = "probe" + std::to_string(++probe_count);
	s->text = "READ 1";
	s->workspace = workspaces[0];
	s->key = key(0);
	s->sent_us = now_us();
	s->unit = std::make_shared<Unit>();
	s->unit->id = s->id;
	s->unit->begun_us = s->sent_us;
	history.add(s);
	if (!stream.write("STARTUP " + database + " " + s->key + "\r\n") ||
	    stream.read_line(&line, ANSWER_US) != Received::LINE)
		line.clear();
	if (line.compare(0, 5, "READY") == 0) {
		*sent_us = now_us();
		stream.write("QUERY " + s->id + " " + s->text + "\r\n");
		line = read_answer(&stream, s);
	}
	if (line.compare(0, 10, "ERROR NODB") == 0)
		known = 0;
	else if (line.compare(0, 3, "ROW") == 0)
		known = 1;
	close(fd);
	return known;
}

void Operator::check_instance(size_t i)
{
	std::vector<Version> all;
	int incarnation = fleet->incarnation(i);
	int64_t sent_us = 0;
	Seen &n = seen[i];

	{
		std::lock_guard<std::mutex> lock(mutex);
		all = versions;
	}
	const Version &newest = all.back();
	std::string route = "r" + std::to_string(newest.number);
	int known = ask_route(i, route, &sent_us);
	bool late = sent_us > newest.acknowledged_us + APPLY_US &&
		    history.in_touch(i, sent_us - APPLY_US);
	if (n.incarnation != incarnation)
		n = { incarnation, 0, 0 };
	{
		/* Its route may have left the configuration meanwhile. */
		std::lock_guard<std::mutex> lock(mutex);
		if (versions.size() >= all.size() + ROUTE_VERSIONS ||
		    incarnation != fleet->incarnation(i))
			return;
	}
	std::string who = "instance " + std::to_string(i) + ", route " + route;
	if (known == 0 && late)
		history.fail("configuration", who + " is not known in time");
	if (known == 0 && n.version >= newest.number &&
	    sent_us > n.at_us + ROLLBACK_SLACK_US)
		history.fail("configuration", who + " was known and is not");
	if (known == 1 && n.version < newest.number)
		n = { incarnation, newest.number, now_us() };
	history.count("configuration probes", known < 0 ? "no answer" :
					      known	? "served" :
							  "unknown");
	if (all.size() <= ROUTE_VERSIONS)
		return;
	std::string dropped =
		"r" +
		std::to_string(all[all.size() - 1 - ROUTE_VERSIONS].number);
	known = ask_route(i, dropped, &sent_us);
	late = sent_us > newest.acknowledged_us + APPLY_US &&
	       history.in_touch(i, sent_us - APPLY_US);
	bool back = n.version >= newest.number &&
		    sent_us > n.at_us + ROLLBACK_SLACK_US;
	if (known == 1 && incarnation == fleet->incarnation(i) &&
	    (late || back))
		history.fail("configuration", "instance " + std::to_string(i) +
						      " serves " + dropped +
						      ", which was dropped");
}

void Operator::probe()
{
	while (!ends) {
		for (size_t i = 0; i < fleet->size(); i++) {
			if (fleet->is_running(i))
				check_instance(i);
		}
		sleep_us(PROBE_US);
	}
}
