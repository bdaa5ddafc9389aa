#include "service.h"

#include <algorithm>
#include <glib.h>
#include <sys/time.h>

namespace
{

const int64_t REPLICATION_STEP_US = 2 * MS;
const int64_t NETWORK_US = 2 * MS;
const int64_t FAR_NETWORK_US = 40 * MS; /* to the last replica */
const int64_t APPLY_US = 20 * MS;
const int64_t WORK_US = 4 * MS;
const int64_t PROMOTE_US = 300 * MS;
const int64_t HEARTBEAT_US = 500 * MS;
/* The store removes an entry after three heartbeats of silence. */
const int64_t ENTRY_SILENCE_US = 3 * HEARTBEAT_US;
const int64_t IDLE_CONNECTION_US = 120 * SECOND;
const int64_t DARK_POLL_US = 5 * MS;
const int CONNECTIONS_MAX = 33;
const size_t ODD_ROW_ONE_IN = 8;
const int COPY_LATE_MAX_MS = 1500;
/* A stuttering endpoint refuses some, so that refusals are repeated too. */
const int STUTTER_BUSY_PERMILLE = 100;
const int SLOTS = 5;

int64_t wall_ms()
{
	timeval t;

	gettimeofday(&t, nullptr);
	return t.tv_sec * 1000LL + t.tv_usec / 1000;
}

/* Splits off the first word of *text. */
std::string take_word(std::string *text)
{
	size_t blank = text->find(' ');
	std::string word = text->substr(0, blank);

	*text = blank == std::string::npos ? "" : text->substr(blank + 1);
	return word;
}

bool happens(int permille)
{
	return permille && g_random_int_range(0, 1000) < permille;
}

} // namespace

Service::Service(std::string service_name, size_t endpoint_count,
		 const std::vector<std::string> &zones)
    : name(std::move(service_name))
{
	for (size_t i = 0; i < endpoint_count; i++) {
		auto e = std::make_unique<Endpoint>();
		Endpoint *p = e.get();

		e->index = i;
		e->id = "i-" + name + std::to_string(i);
		e->zone = zones[i % zones.size()];
		e->primary = i == 0;
		e->born_ms = wall_ms();
		e->work_us = WORK_US;
		e->lag_us = APPLY_US;
		e->server = std::make_unique<Server>(
			[this, p](int fd) { serve(p, fd); });
		e->link = std::make_unique<Link>(e->server->address());
		endpoints.push_back(std::move(e));
	}
}

Service::~Service()
{
	ends = true;
	if (replication.joinable())
		replication.join();
	for (auto &e : endpoints) {
		e->link.reset();
		e->server.reset();
	}
}

void Service::start(Store *s)
{
	store = s;
	replication = std::thread([this] { run_replication(); });
}

Endpoint *Service::find(const std::string &id)
{
	for (auto &e : endpoints) {
		if (e->id == id)
			return e.get();
	}
	return nullptr;
}

Endpoint *Service::current_primary()
{
	for (auto &e : endpoints) {
		if (e->primary)
			return e.get();
	}
	return endpoints[0].get();
}

size_t Service::primary()
{
	std::lock_guard<std::mutex> lock(mutex);

	return current_primary()->index;
}

void Service::kill(size_t i)
{
	{
		std::lock_guard<std::mutex> lock(mutex);

		endpoints[i]->alive = false;
		endpoints[i]->dark = false;
		endpoints[i]->silent_since_us = now_us();
		replicated.notify_all();
	}
	endpoints[i]->server->close_all();
}

void Service::restart(size_t i)
{
	Endpoint *e = endpoints[i].get();
	std::lock_guard<std::mutex> lock(mutex);

	/* Where kills overlap, the first restart is the one. */
	if (e->alive)
		return;
	e->server->reopen();
	e->alive = true;
	e->paused_below = 0;
	e->born_ms = wall_ms();
}

void Service::set_dark(size_t i, bool dark)
{
	std::lock_guard<std::mutex> lock(mutex);

	endpoints[i]->dark = dark;
	endpoints[i]->silent_since_us = now_us();
}

void Service::set_lag(size_t i, int64_t lag_us)
{
	std::lock_guard<std::mutex> lock(mutex);

	endpoints[i]->lag_us = lag_us ? lag_us : APPLY_US;
}

void Service::set_work(size_t i, int64_t work_us)
{
	endpoints[i]->work_us = work_us ? work_us : WORK_US;
}

void Service::set_stutter(size_t i, int permille)
{
	endpoints[i]->stutter_permille = permille;
}

int Service::promote(const std::string &id)
{
	std::lock_guard<std::mutex> lock(mutex);
	Endpoint *e = find(id);

	if (!e || !e->alive || e->dark)
		return 409;
	ordered = id;
	ordered_us = now_us() + PROMOTE_US;
	return 200;
}

bool Service::holds(const std::vector<CommitPtr> &log, size_t applied,
		    const CommitPtr &c) const
{
	return c->number <= applied && c->number <= log.size() &&
	       log[c->number - 1] == c;
}

void Service::run_promotion(int64_t at_us)
{
	Endpoint *e = find(ordered);

	if (!e || at_us < ordered_us)
		return;
	ordered.clear();
	if (!e->alive || e->dark || e->primary)
		return;
	for (auto &other : endpoints) {
		other->primary = false;
		other->paused_below = 0;
	}
	e->primary = true;
	e->term = ++newest_term;
	e->applied = e->log.size();
	history.count("promotions", name);
	while (!acks.empty() &&
	       !holds(e->log, e->log.size(), acks.back().newest)) {
		history.fail("lost", acks.back().newest->unit +
					     " is not in the log of " + e->id +
					     ", which was promoted");
		acks.pop_back();
	}
	replicated.notify_all();
}

void Service::replicate_to(Endpoint *e, int64_t at_us)
{
	Endpoint *p = current_primary();
	size_t same = 0;
	bool far = e == endpoints.back().get() || p == endpoints.back().get();
	int64_t received_us = at_us - (far ? FAR_NETWORK_US : NETWORK_US);

	if (e == p || !e->alive || e->dark || !p->alive || p->dark ||
	    !p->primary || e->paused_below || replication_cut)
		return;
	if (e->term < p->term) {
		while (same < e->log.size() && same < p->log.size() &&
		       e->log[same] == p->log[same])
			same++;
		e->log.resize(same);
		e->applied = std::min(e->applied, same);
		e->term = p->term;
	}
	while (e->log.size() < p->log.size() &&
	       p->log[e->log.size()]->made_us <= received_us)
		e->log.push_back(p->log[e->log.size()]);
	while (e->applied < e->log.size() &&
	       e->log[e->applied]->made_us + e->lag_us <= at_us)
		e->applied++;
}

void Service::write_entries(int64_t at_us)
{
	if (store->down)
		return;
	for (auto &e : endpoints) {
		std::string text =
			"{\"service\":\"" + name + "\",\"address\":\"" +
			e->link->address().text() + "\",\"zone\":\"" + e->zone +
			"\",\"version\":\"1\",\"slots\":" +
			std::to_string(SLOTS) +
			",\"state\":\"ready\",\"cold_remaining_ms\":0," +
			"\"sequence\":1,\"born\":" +
			std::to_string(e->born_ms) + ",\"db_role\":\"" +
			(e->primary ? "primary" : "replica") + "\"}";

		if (e->alive && !e->dark) {
			if (text != e->entry)
				store->put("servers/" + e->id, text);
			e->entry = text;
		} else if (!e->entry.empty() &&
			   at_us - e->silent_since_us > ENTRY_SILENCE_US) {
			store->remove("servers/" + e->id);
			e->entry.clear();
		}
	}
}

void Service::run_replication()
{
	while (!ends) {
		sleep_us(REPLICATION_STEP_US);
		std::lock_guard<std::mutex> lock(mutex);
		int64_t at_us = now_us();

		run_promotion(at_us);
		for (auto &e : endpoints)
			replicate_to(e.get(), at_us);
		write_entries(at_us);
		replicated.notify_all();
	}
	replicated.notify_all();
}

void Service::add_ack(Acks *all, const CommitPtr &c)
{
	if (all->empty() || all->back().newest->number < c->number)
		all->push_back({ now_us(), c });
}

const Service::Ack *Service::last_ack(const Acks &all, int64_t at_us)
{
	auto end =
		std::partition_point(all.begin(), all.end(), [&](const Ack &a) {
			return a.at_us <= at_us;
		});

	return end == all.begin() ? nullptr : &*(end - 1);
}

void Service::acknowledged(const Unit &u)
{
	std::lock_guard<std::mutex> lock(mutex);
	auto i = commits.find(u.id);
	const Endpoint *p = current_primary();

	if (i == commits.end()) {
		history.fail("lost", u.id + " was acknowledged but never run");
		return;
	}
	const CommitPtr &c = i->second;
	if (!holds(p->log, p->log.size(), c)) {
		history.fail("lost", u.id + " was acknowledged after " + p->id +
					     " was promoted without it");
		return;
	}
	add_ack(&acks, c);
	add_ack(&session_acks[u.session], c);
}

std::vector<std::string> Service::log_units()
{
	std::lock_guard<std::mutex> lock(mutex);
	std::vector<std::string> out;

	for (const CommitPtr &c : current_primary()->log)
		out.push_back(c->unit);
	return out;
}

void Service::check_fresh(const Endpoint &e, const Statement &s)
{
	int64_t begun_us = s.unit->begun_us;
	const Ack *any = last_ack(acks, begun_us - s.max_age_us);
	/* An attempt may run late, after later commits of the session. */
	const Ack *own = last_ack(session_acks[s.unit->session], begun_us);

	if (any && !holds(e.log, e.applied, any->newest))
		history.fail("stale",
			     s.id + " was read at " + e.id + ", which lacks " +
				     any->newest->unit + " acknowledged " +
				     std::to_string((begun_us - any->at_us) /
						    MS) +
				     " ms before");
	if (s.freshness == Freshness::SESSION && own &&
	    !holds(e.log, e.applied, own->newest))
		history.fail("stale", s.id + " lacks its session's " +
					      own->newest->unit);
}

bool Service::lacks_position(const Endpoint &e, const std::string &p) const
{
	char *end;
	uint64_t term = strtoull(p.c_str(), &end, 10);
	uint64_t number = *end == '.' ? strtoull(end + 1, nullptr, 10) : 0;

	/* A later term holds all of an earlier one that was not undone. */
	return term > e.term || (term == e.term && number > e.applied);
}

bool Service::is_usable(const Connection &c) const
{
	return c.endpoint->alive && c.endpoint->born_ms == c.born_ms && !ends;
}

/* Returns false if the endpoint has ended. */
bool Service::wait_while_dark(const Connection &c)
{
	std::unique_lock<std::mutex> lock(mutex);

	while (is_usable(c) && c.endpoint->dark) {
		lock.unlock();
		sleep_us(DARK_POLL_US);
		lock.lock();
	}
	return is_usable(c);
}

std::string Service::ready(const Connection &c)
{
	return std::string("READY ") + c.state + " " +
	       std::to_string(c.endpoint->term) + "." +
	       std::to_string(c.endpoint->applied);
}

std::string Service::status(const Endpoint &e)
{
	return std::string("ROW ") + (e.primary ? "primary " : "replica ") +
	       std::to_string(e.term) + " " + std::to_string(e.term) + "." +
	       std::to_string(e.log.size()) + " " +
	       std::to_string(e.paused_below) + " " +
	       std::to_string(e.primary ? 0 : e.lag_us / MS) + " 1 " +
	       std::to_string(e.connections);
}

Service::Lines Service::fail(Connection *c, const std::string &code)
{
	if (c->state == 'T')
		c->state = 'E';
	return { "ERROR " + code + " " + c->endpoint->id };
}

Service::Lines Service::begin(Connection *c, const std::string &text)
{
	c->read_only = text == "BEGIN READ";
	if (!c->read_only && !c->endpoint->primary)
		return fail(c, "READONLY");
	c->state = 'T';
	c->wrote = false;
	c->term = c->endpoint->term;
	c->owner = nullptr;
	return { "COMPLETE -" };
}

Service::Lines Service::prepare(Connection *c, const std::string &text)
{
	std::string rest = text;
	std::string prepared_name;

	take_word(&rest);
	prepared_name = take_word(&rest);
	c->prepared[prepared_name].writes = take_word(&rest) == "WRITE";
	c->prepared[prepared_name].shape = rest;
	return { "COMPLETE -" };
}

/* Statements of an instance on its own behalf. */
Service::Lines Service::run_own(Connection *c, const std::string &text)
{
	std::string rest = text;
	std::string word = take_word(&rest);
	Endpoint *e = c->endpoint;
	uint64_t term = strtoull(rest.c_str(), nullptr, 10);

	if (word == "BEGIN")
		return begin(c, text);
	if (word == "PREPARE")
		return prepare(c, text);
	if (word == "SET") {
		std::string value_name = take_word(&rest);

		c->values[value_name] = rest;
		return { "COMPLETE -" };
	}
	if (word == "ROLLBACK") {
		c->state = 'I';
		c->owner = nullptr;
		return { "COMPLETE -" };
	}
	if (word == "RESET") {
		c->values.clear();
		c->prepared.clear();
		return { "COMPLETE -" };
	}
	if (word == "PAUSE" && term > e->term && !e->primary)
		e->paused_below = term;
	else if (word == "RESUME")
		e->paused_below = 0;
	else if (word == "DEMOTE" && e->primary && e->term < term)
		e->primary = false;
	else if (word != "STATUS" && word != "PAUSE" && word != "DEMOTE")
		return fail(c, "MALFORMED");
	replicated.notify_all();
	return { status(*e), "COMPLETE -" };
}

/* Appends to the log and waits until a replica has received it. */
Service::Lines Service::commit(Connection *c, const std::string &unit,
			       int64_t session,
			       std::unique_lock<std::mutex> *lock)
{
	Endpoint *e = c->endpoint;
	CommitPtr entry = std::make_shared<Commit>(
		Commit{ unit, session, e->term, e->log.size() + 1, now_us() });
	auto is_received = [&] {
		return std::any_of(endpoints.begin(), endpoints.end(),
				   [&](const std::unique_ptr<Endpoint> &r) {
					   return r.get() != e &&
						  holds(r->log, r->log.size(),
							entry);
				   });
	};

	e->log.push_back(entry);
	e->applied = e->log.size();
	commits[unit] = entry;
	while (is_usable(*c) && e->primary && e->term == entry->term) {
		if (is_received() && !e->dark)
			return { "COMPLETE" };
		replicated.wait_for(*lock, std::chrono::milliseconds(20));
	}
	return {};
}

Service::Lines Service::make_rows(const std::string &first)
{
	Lines out = { "ROW " + first };

	while (odd_texts.draw(ODD_ROW_ONE_IN))
		out.push_back("ROW " + odd_texts.text(Nul::ALLOWED));
	return out;
}

Service::Lines Service::run_statement(Connection *c, const std::string &id,
				      const std::string &text)
{
	std::unique_lock<std::mutex> lock(mutex);
	Endpoint *e = c->endpoint;
	std::string rest = text;
	std::string word = take_word(&rest);
	bool in_transaction = c->state != 'I';
	bool writes = word == "WRITE";
	std::string shape;

	if (c->state == 'E')
		return fail(c, "MALFORMED");
	if (word == "EXECUTE") {
		auto p = c->prepared.find(take_word(&rest));

		if (p == c->prepared.end())
			return fail(c, "NOSTMT");
		writes = p->second.writes;
		shape = p->second.shape;
	} else if (word != "READ" && word != "WRITE" && word != "COMMIT") {
		return fail(c, "MALFORMED");
	}
	if (happens(busy_permille) ||
	    (e->stutter_permille && happens(STUTTER_BUSY_PERMILLE)))
		return fail(c, "BUSY");
	if (in_transaction && !c->read_only &&
	    (!e->primary || e->term != c->term) &&
	    (word != "COMMIT" || c->wrote))
		return fail(c, "READONLY");
	if (writes && !e->primary)
		return fail(c, "READONLY");
	std::shared_ptr<Statement> s =
		history.check_run(id, text,
				  { c->id, c->workspace, shape, c->values,
				    in_transaction, c->owner });
	if (!s)
		return fail(c, "FAILED");
	if (in_transaction)
		c->owner = s->unit;
	std::string signature =
		"COMPLETE " + std::to_string(++last_signature) + "." + e->id;
	if (word == "COMMIT" || (writes && !in_transaction)) {
		bool appends = word != "COMMIT" || c->wrote;

		c->state = 'I';
		c->owner = nullptr;
		if (appends &&
		    commit(c, s->unit->id, s->unit->session, &lock).empty())
			return {};
		history.add_answer(s, signature);
		return { signature };
	}
	if (writes) {
		c->wrote = true;
		history.add_answer(s, signature);
		return { signature };
	}
	check_fresh(*e, *s);
	Lines answer =
		make_rows(id + "-" + signature.substr(9) + " of " + rest);
	answer.push_back(signature);
	std::string whole;
	for (const std::string &line : answer)
		whole += (whole.empty() ? "" : "\r\n") + line;
	history.add_answer(s, whole);
	return answer;
}

Service::Lines Service::run_query(Connection *c, const std::string &id,
				  std::string text)
{
	if (text.compare(0, 6, "AFTER ") == 0) {
		std::string position;

		take_word(&text);
		position = take_word(&text);
		std::lock_guard<std::mutex> lock(mutex);
		if (lacks_position(*c->endpoint, position))
			return fail(c, "LAGGING");
	}
	if (id == "-") {
		std::lock_guard<std::mutex> lock(mutex);

		return run_own(c, text);
	}
	sleep_us(c->endpoint->work_us);
	if (!wait_while_dark(*c))
		return {};
	return run_statement(c, id, text);
}

/* The whole answer, READY included, is given again. */
void Service::plan_copy(Connection *c, const std::string &answer)
{
	int late_ms = g_random_int_range(0, 4) ?
			      g_random_int_range(0, COPY_LATE_MAX_MS) :
			      0;

	c->copies.emplace(now_us() + late_ms * MS, answer);
	history.count("answers given twice",
		      answer.compare(0, 5, "ERROR") == 0 ? "refused" :
		      answer.compare(0, 5, "READY") == 0 ? "start" :
		      answer.find("COMPLETE -\r\n") != std::string::npos ?
							   "own" :
							   "signed");
}

/* Returns false when the connection is to be closed. */
bool Service::write_copies(Connection *c, const LineStream &s)
{
	while (!c->copies.empty() && c->copies.begin()->first <= now_us()) {
		std::string answer = c->copies.begin()->second;

		c->copies.erase(c->copies.begin());
		if (!wait_while_dark(*c) || !s.write(answer))
			return false;
	}
	return true;
}

/* Returns false when the connection is to be closed. */
bool Service::read_request(Connection *c, LineStream *s, std::string *line)
{
	int64_t end_us = now_us() + IDLE_CONNECTION_US;
	Received r;

	do {
		int64_t until_us = end_us;

		if (!write_copies(c, *s))
			return false;
		if (!c->copies.empty())
			until_us = std::min(end_us, c->copies.begin()->first);
		r = s->read_line(line, until_us - now_us());
	} while (r == Received::TIMEOUT && now_us() < end_us);
	return r == Received::LINE;
}

/* Returns false when the connection is to be closed. */
bool Service::run_line(Connection *c, LineStream *s, const std::string &line)
{
	std::string rest = line;
	std::string out;
	std::string id;

	if (take_word(&rest) != "QUERY" || !wait_while_dark(*c))
		return false;
	id = take_word(&rest);
	Lines lines = run_query(c, id, rest);
	if (lines.empty() || (id != "-" && happens(lost_permille)))
		return false;
	for (const std::string &l : lines)
		out += l + "\r\n";
	if (!wait_while_dark(*c))
		return false;
	{
		std::lock_guard<std::mutex> lock(mutex);

		out += ready(*c) + "\r\n";
	}
	/* Not under the lock: a silent link takes no more bytes. */
	if (!write_copies(c, *s) || !s->write(out))
		return false;
	if (happens(c->endpoint->stutter_permille))
		plan_copy(c, out);
	return true;
}

bool Service::start_session(Connection *c, LineStream *s)
{
	std::string line;
	std::string wanted;

	if (s->read_line(&line, 2 * SECOND) != Received::LINE ||
	    take_word(&line) != "STARTUP" || !wait_while_dark(*c))
		return false;
	wanted = take_word(&line);
	c->workspace = take_word(&line);
	std::lock_guard<std::mutex> lock(mutex);
	if (wanted != name || (!line.empty() && line != c->endpoint->id)) {
		s->write("ERROR MISROUTED " + c->endpoint->id + "\r\n");
		return false;
	}
	if (c->endpoint->connections > CONNECTIONS_MAX) {
		s->write("ERROR TOOMANY " + c->endpoint->id + "\r\n");
		return false;
	}
	line = ready(*c) + "\r\n";
	if (happens(c->endpoint->stutter_permille))
		plan_copy(c, line);
	return s->write(line);
}

void Service::serve(Endpoint *e, int fd)
{
	LineStream s(fd);
	Connection c = {};
	std::string line;

	c.id = ++last_connection;
	c.endpoint = e;
	c.state = 'I';
	{
		std::lock_guard<std::mutex> lock(mutex);

		c.born_ms = e->born_ms;
		e->connections++;
	}
	if (start_session(&c, &s)) {
		while (read_request(&c, &s, &line) && run_line(&c, &s, line))
			;
	}
	std::lock_guard<std::mutex> lock(mutex);
	e->connections--;
}
