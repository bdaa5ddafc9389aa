#include "faults.h"

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

struct Faults::Kind {
	const char *name;
	Disturbance::Scope scope;
	Step begin;
	Step end; /* NULL: ends by itself */
	int64_t min_us;
	int64_t max_us;
};

namespace
{

const int64_t CALM_US = 4500 * MS; /* before planned changes */
const int64_t PLANNED_US = 8 * SECOND;
const int64_t FAULTY_US = 8 * SECOND;
const size_t PLANNED_MAX = 3;
const size_t UNPLANNED_MIN = 3;
const size_t UNPLANNED_MAX = 9;
const int64_t KEY_OVERLAP_US = 1500 * MS;
const int64_t APPLIED_US = 1500 * MS; /* all instances have a change */
const size_t LONG_LINE_BYTES = 1200 * 1000;
const size_t ODD_ENTRY_DEPTH = 200 * 1000;

/* Bytes that no listener expects; none of them may end the process. */
std::string malformed(size_t choice)
{
	static const std::string cases[] = {
		"\r\n \r\n",
		"QUERY 1 READ 1\r\nSTARTUP\r\n\r\n",
		"GET /readyz HTTP/9.9\r\nContent-Length: -1\r\n\r\n",
		"STARTUP strict\r\nQUERY\r\nQUERY  \r\nQUERY x \r\n",
		"HOP 1\r\nOP 1 2 3\r\nQUERY - STATUS\r\n",
		"HOP x y z\r\nOP 99999999999999999999 -1 - - -\r\nREADY\r\n",
		std::string("\0\xff\x7f\0\0\0\0\0\1\2", 10),
		std::string("STARTUP a\0b key\r\n", 17),
		std::string(LONG_LINE_BYTES, 'x'),
	};

	return cases[choice % (sizeof(cases) / sizeof(cases[0]))];
}

void send_malformed(const FaultOptions &o, const FaultTarget &t)
{
	std::vector<Address> targets;

	for (int l = 0; l < LISTENERS; l++)
		targets.push_back(
			o.fleet->address(t.instance, static_cast<Listener>(l)));
	std::thread([targets, t] {
		for (const Address &a : targets) {
			int fd = connect_to(a, SECOND);

			if (fd < 0)
				continue;
			/* Does not wait for a listener that doesn't read. */
			std::string bytes = malformed(t.choice);
			send(fd, bytes.data(), bytes.size(),
			     MSG_NOSIGNAL | MSG_DONTWAIT);
			sleep_us(50 * MS);
			close_with_reset(fd);
		}
	}).detach();
}

/* Entries of another writer among those of the endpoints. */
void put_odd_entries(const FaultOptions &o, const FaultTarget &)
{
	const std::string entry = "{\"service\":\"" + o.service->name +
				  "\",\"state\":\"ready\",\"zone\":\"a\","
				  "\"sequence\":1,\"db_role\":\"replica\",";
	const std::string deep(ODD_ENTRY_DEPTH, '[');
	const std::string cases[] = {
		deep,
		entry + "\"slots\":4,\"address\":" + deep,
		entry + "\"slots\":4,\"address\":\"127.0.0.1:99999\"}",
		entry + "\"slots\":1e999,\"address\":\"127.0.0.1:9\"}",
		entry + "\"slots\":4294967300,\"address\":\"127.0.0.1:9\"}",
		entry + "\"slots\":[4],\"address\":5}",
		std::string("\0\xff{", 3),
		"",
	};
	int number = 0;

	for (const std::string &value : cases)
		o.store->put("servers/odd" + std::to_string(number++), value);
}

StoreFault store_fault(const FaultTarget &t)
{
	static const StoreFault kinds[] = { StoreFault::REFUSED,
					    StoreFault::RESET,
					    StoreFault::SILENT };

	return kinds[t.choice % 3];
}

/* All processes end at the same moment. */
void kill_all(const FaultOptions &o, const FaultTarget &)
{
	for (size_t i = 0; i < o.fleet->size(); i++)
		o.fleet->kill(i);
}

int count(size_t n)
{
	return static_cast<int>(n);
}

} // namespace

#define STEP(body)                                 \
	[]([[maybe_unused]] const FaultOptions &o, \
	   [[maybe_unused]] const FaultTarget &t) { body; }

/* clang-format off */
const std::vector<Faults::Kind> Faults::planned = {
	{ "planned stop", Disturbance::PLANNED_STOP,
	  STEP(o.fleet->stop(t.instance, true)), nullptr, 0, 0 },
	{ "routes changed", Disturbance::PLANNED_STOP,
	  STEP(o.operator_->change_routes()), nullptr, 0, 0 },
	{ "key replaced", Disturbance::PLANNED_STOP,
	  STEP(o.operator_->add_key(t.choice % workspaces.size())),
	  STEP(o.operator_->withdraw_keys(t.choice % workspaces.size())),
	  KEY_OVERLAP_US, KEY_OVERLAP_US },
	{ "malformed bytes", Disturbance::PLANNED_STOP, send_malformed, nullptr,
	  0, 0 },
};

const std::vector<Faults::Kind> Faults::unplanned = {
	{ "instance paused", Disturbance::INSTANCE,
	  STEP(o.fleet->pause(t.instance)), STEP(o.fleet->resume(t.instance)),
	  300 * MS, 5 * SECOND },
	{ "instance killed", Disturbance::INSTANCE,
	  STEP(o.fleet->kill(t.instance)), nullptr, 0, 0 },
	{ "all instances killed", Disturbance::INSTANCE, kill_all, nullptr, 0,
	  0 },
	{ "store slow", Disturbance::STORE,
	  STEP(o.store->delay_us = count(50 + t.choice % 500) * MS),
	  STEP(o.store->delay_us = 0), SECOND, 5 * SECOND },
	{ "store away", Disturbance::STORE,
	  STEP(o.store->down = true; o.store->set_fault(-1, store_fault(t))),
	  STEP(o.store->set_fault(-1, StoreFault::NONE); o.store->down = false),
	  SECOND, 6 * SECOND },
	{ "store refuses one", Disturbance::INSTANCE,
	  STEP(o.store->set_fault(count(t.instance), store_fault(t))),
	  STEP(o.store->set_fault(count(t.instance), StoreFault::NONE)),
	  SECOND, 7 * SECOND },
	{ "store loses answers", Disturbance::STORE,
	  STEP(o.store->lost_permille = 200), STEP(o.store->lost_permille = 0),
	  SECOND, 5 * SECOND },
	{ "store forgets history", Disturbance::STORE, STEP(o.store->compact()),
	  nullptr, 0, 0 },
	{ "endpoint killed", Disturbance::ENDPOINT,
	  STEP(o.service->kill(t.endpoint)),
	  STEP(o.service->restart(t.endpoint)), SECOND, 6 * SECOND },
	{ "endpoint hangs", Disturbance::ENDPOINT,
	  STEP(o.service->set_dark(t.endpoint, true)),
	  STEP(o.service->set_dark(t.endpoint, false)), 500 * MS, 6 * SECOND },
	{ "endpoint slow", Disturbance::ENDPOINT,
	  STEP(o.service->set_work(t.endpoint,
				   count(50 + t.choice % 400) * MS)),
	  STEP(o.service->set_work(t.endpoint, 0)), SECOND, 5 * SECOND },
	{ "replica lags", Disturbance::ENDPOINT,
	  STEP(o.service->set_lag(t.endpoint, 3 * SECOND)),
	  STEP(o.service->set_lag(t.endpoint, 0)), SECOND, 5 * SECOND },
	{ "replication cut", Disturbance::ENDPOINT,
	  STEP(o.service->replication_cut = true),
	  STEP(o.service->replication_cut = false), SECOND, 5 * SECOND },
	{ "answers lost", Disturbance::ENDPOINT,
	  STEP(o.service->lost_permille = 50),
	  STEP(o.service->lost_permille = 0), SECOND, 5 * SECOND },
	{ "statements refused", Disturbance::ENDPOINT,
	  STEP(o.service->busy_permille = 100),
	  STEP(o.service->busy_permille = 0), SECOND, 5 * SECOND },
	{ "link delayed", Disturbance::ENDPOINT,
	  STEP(o.service->link(t.endpoint).delay_us =
		       count(5 + t.choice % 100) * MS),
	  STEP(o.service->link(t.endpoint).delay_us = 0), SECOND, 5 * SECOND },
	{ "link reset", Disturbance::ENDPOINT,
	  STEP(o.service->link(t.endpoint).reset_connections()), nullptr, 0,
	  0 },
	{ "link silent", Disturbance::ENDPOINT,
	  STEP(o.service->link(t.endpoint).silent_to_target = t.choice % 3 != 0;
	       o.service->link(t.endpoint).silent_to_caller = t.choice % 3 != 1),
	  STEP(o.service->link(t.endpoint).silent_to_target = false;
	       o.service->link(t.endpoint).silent_to_caller = false),
	  SECOND, 5 * SECOND },
	{ "open connections silent", Disturbance::ENDPOINT,
	  STEP(o.service->link(t.endpoint).silence_open_connections()), nullptr,
	  0, 0 },
	{ "endpoint stutters", Disturbance::ENDPOINT,
	  STEP(o.service->set_stutter(t.endpoint, count(20 + t.choice % 300))),
	  STEP(o.service->set_stutter(t.endpoint, 0)), SECOND, 5 * SECOND },
};

/* Played by name only, so that the plans of all seeds stay what they are. */
const std::vector<Faults::Kind> Faults::by_name = {
	{ "store restored from a copy", Disturbance::STORE,
	  /* One change that the copy lacks is known, the next one is not. */
	  STEP(o.operator_->change_routes(); sleep_us(APPLIED_US);
	       o.store->set_fault(-1, StoreFault::REFUSED);
	       o.operator_->change_routes(); o.store->down = true),
	  STEP(o.store->restore(); o.store->set_fault(-1, StoreFault::NONE);
	       o.store->down = false),
	  200 * MS, SECOND },
	{ "odd entries", Disturbance::PLANNED_STOP, put_odd_entries, nullptr,
	  0, 0 },
};
/* clang-format on */

Faults::Faults(const FaultOptions &options)
    : opts(options), generator(options.seed)
{
}

size_t Faults::random(size_t below)
{
	return static_cast<size_t>(generator() % below);
}

void Faults::schedule(const Kind &k, int64_t at_us)
{
	int64_t time_us =
		k.min_us + static_cast<int64_t>(random(static_cast<size_t>(
				   k.max_us - k.min_us + 1)));
	auto t = std::make_shared<FaultTarget>(
		FaultTarget{ random(opts.fleet->size()),
			     random(opts.service->size()), random(1000) });
	/* Half of the endpoints' faults hit the primary. */
	bool at_primary = random(2) == 0;
	auto handle = std::make_shared<size_t>(0);
	const Kind *kind = &k;

	actions.emplace(at_us, [=] {
		int instance = kind->scope == Disturbance::INSTANCE ?
				       static_cast<int>(t->instance) :
				       -1;

		if (at_primary)
			t->endpoint = opts.service->primary();
		history.count("faults", kind->name);
		if (acting && kind->scope != Disturbance::PLANNED_STOP)
			history.count("faults", "while another acts");
		if (kind->scope != Disturbance::PLANNED_STOP)
			*handle = history.begin_disturbance(kind->scope,
							    instance);
		kind->begin(opts, *t);
		if (kind->end && kind->scope != Disturbance::PLANNED_STOP)
			acting++;
		if (!kind->end && kind->scope != Disturbance::PLANNED_STOP)
			history.end_disturbance(*handle);
	});
	if (!kind->end)
		return;
	actions.emplace(at_us + time_us, [=] {
		kind->end(opts, *t);
		if (kind->scope != Disturbance::PLANNED_STOP) {
			history.end_disturbance(*handle);
			acting--;
		}
	});
}

const Faults::Kind &Faults::choose_fault()
{
	for (const std::vector<Kind> *list :
	     { &planned, &unplanned, &by_name }) {
		for (const Kind &k : *list) {
			if (opts.only == k.name)
				return k;
		}
	}
	return random(5) ? unplanned[random(unplanned.size())] :
			   planned[random(planned.size())];
}

int64_t Faults::plan_round()
{
	int64_t planned_us = now_us() + CALM_US;
	int64_t faulty_us = planned_us + PLANNED_US;
	size_t changes = 1 + random(PLANNED_MAX);
	size_t faults =
		UNPLANNED_MIN + random(UNPLANNED_MAX - UNPLANNED_MIN + 1);

	for (size_t i = 0; i < changes; i++)
		schedule(planned[random(planned.size())],
			 planned_us + static_cast<int64_t>(random(2 * SECOND)));
	for (size_t i = 0; i < faults; i++)
		schedule(choose_fault(),
			 faulty_us + static_cast<int64_t>(random(5 * SECOND)));
	return CALM_US + PLANNED_US + FAULTY_US;
}

void Faults::poll()
{
	while (!actions.empty() && actions.begin()->first <= now_us()) {
		Action a = actions.begin()->second;

		actions.erase(actions.begin());
		a();
	}
}
