#include "client.h"

#include <set>
#include <unistd.h>

namespace
{

const int64_t START_TIMEOUT_US = 2 * SECOND;
const int64_t ANSWER_TIMEOUT_US = 6 * SECOND;
const int64_t PAUSE_MAX_MS = 50;
const int64_t SESSION_OPERATIONS_MAX = 60;
const int ATTEMPTS_MAX = 3;
const int64_t ITEMS = 40;
/* A request cut this soon after it was sent may not have been read. */
const int64_t LOSS_SLACK_US = 200 * MS;
const int64_t STABLE_WINDOW_US = 4 * SECOND;
const size_t ODD_ONE_IN = 6;
const size_t ENDLESS_SESSION_ONE_IN = 6;

/* Codes that say that nothing of the attempt is kept. */
const std::set<std::string> promises = { "BUSY",     "ABORTED",	  "LAGGING",
					 "READONLY", "MISROUTED", "TOOMANY",
					 "UNAUTH",   "NODB" };

} // namespace

Client::Client(const ClientOptions &options)
    : opts(options), random_state(options.seed * 1000 + options.number + 1),
      odd_texts(random_state)
{
	thread = std::thread([this] { run(); });
}

Client::~Client()
{
	ends = true;
	thread.join();
}

int64_t Client::random(int64_t below)
{
	random_state =
		random_state * 6364136223846793005ULL + 1442695040888963407ULL;
	return static_cast<int64_t>((random_state >> 33) %
				    static_cast<uint64_t>(below));
}

/* Returns odd bytes at times, alone or at the end of the plain ones. */
std::string Client::maybe_odd(const std::string &plain, Nul nul)
{
	if (!odd_texts.draw(ODD_ONE_IN))
		return plain;
	return (odd_texts.draw(2) ? plain : "") + odd_texts.text(nul);
}

std::string Client::new_id()
{
	return "c" + std::to_string(opts.number) + "x" +
	       std::to_string(++count);
}

std::shared_ptr<Unit> Client::new_unit(const Session &s, bool transaction,
				       bool writes)
{
	auto u = std::make_shared<Unit>();

	u->id = new_id();
	u->session = s.id;
	u->begun_us = now_us();
	u->transaction = transaction;
	u->writes = writes;
	return u;
}

void Client::note_broken(Session *s, const std::shared_ptr<Statement> &q)
{
	int64_t since_us = q->sent_us - STABLE_WINDOW_US;
	int instance = static_cast<int>(s->instance);

	history.count("requests " + routes[opts.route].database, "broken off");
	if (!history.disturbed(Disturbance::PLANNED_STOP, instance,
			       q->sent_us) ||
	    history.disturbed(Disturbance::INSTANCE, -1, since_us) ||
	    history.disturbed(Disturbance::STORE, -1, since_us) ||
	    history.disturbed(Disturbance::ENDPOINT, -1, since_us) ||
	    history.disturbed(Disturbance::HOST, -1, since_us))
		return;
	if (history.was_passed_on(q) || now_us() - q->sent_us > LOSS_SLACK_US)
		history.fail("planned stop",
			     q->id + " was cut at instance " +
				     std::to_string(instance) + " after " +
				     std::to_string((now_us() - q->sent_us) /
						    MS) +
				     " ms");
}

Client::Outcome Client::take_error(Session *s,
				   const std::shared_ptr<Statement> &q,
				   std::string text)
{
	std::string code = text.substr(0, text.find(' '));

	history.count("requests " + routes[opts.route].database, code);
	if (code == "UNAUTH")
		s->open = false;
	/*
	 * A transaction whose endpoint was lost between two statements has
	 * failed; every request but its end is answered MALFORMED.
	 */
	if (code == "NOSTMT" || (code == "MALFORMED" && !q->unit->transaction))
		history.fail("answer", q->id + ": '" + printable(q->text) +
					       "' got " + printable(text));
	if (!promises.count(code))
		return Outcome::UNCLEAR;
	history.promised(q->unit, code);
	return Outcome::PROMISE;
}

Client::Outcome Client::read_answer(Session *s,
				    const std::shared_ptr<Statement> &q)
{
	int64_t end_us = now_us() + ANSWER_TIMEOUT_US;
	Outcome out = Outcome::UNCLEAR;
	std::string answer;
	std::string line;
	bool answered = false;

	for (;;) {
		Received r = s->stream.read_line(&line, end_us - now_us());

		if (r != Received::LINE) {
			s->open = false;
			if (r == Received::CLOSED && !answered)
				note_broken(s, q);
			else
				history.count(
					"requests " +
						routes[opts.route].database,
					answered ? "no READY" : "no answer");
			return answered ? out : Outcome::UNCLEAR;
		}
		if (line.compare(0, 3, "ROW") == 0) {
			answer += line + "\r\n";
		} else if (line.compare(0, 8, "COMPLETE") == 0) {
			history.check_answer(q, answer + line);
			out = Outcome::DONE;
			answered = true;
		} else if (line.compare(0, 6, "ERROR ") == 0) {
			out = take_error(s, q, line.substr(6));
			answered = true;
		} else if (line.compare(0, 6, "READY ") == 0 && answered) {
			s->state = line[6];
			return out;
		} else {
			history.fail("answer",
				     q->id + " got " + printable(line));
			s->open = false;
			return out;
		}
	}
}

Client::Outcome Client::ask(Session *s, const std::string &text,
			    const std::shared_ptr<Unit> &u,
			    const std::string &shape)
{
	auto q = std::make_shared<Statement>();

	q->id = u->transaction ? new_id() : u->id;
	q->text = text;
	q->workspace = workspaces[opts.workspace];
	q->key = s->key;
	q->shape = shape;
	q->values = s->values;
	q->freshness = routes[opts.route].freshness;
	q->max_age_us = routes[opts.route].max_age_us;
	q->unit = u;
	check_silence(s);
	q->sent_us = now_us();
	history.add(q);
	s->stream.write("QUERY " + q->id + " " + text + "\r\n");
	return read_answer(s, q);
}

bool Client::control(Session *s, const std::string &text)
{
	std::string answer;
	std::string line;

	check_silence(s);
	s->stream.write("QUERY " + new_id() + " " + text + "\r\n");
	while (s->stream.read_line(&line, ANSWER_TIMEOUT_US) ==
	       Received::LINE) {
		if (line.compare(0, 6, "READY ") == 0 && !answer.empty()) {
			s->state = line[6];
			return answer == "COMPLETE -";
		}
		if (!answer.empty() || (line != "COMPLETE -" &&
					line.compare(0, 6, "ERROR ") != 0)) {
			history.fail("answer", "'" + printable(text) +
						       "' got " +
						       printable(line));
			break;
		}
		answer = line;
	}
	s->open = false;
	return false;
}

void Client::check_silence(Session *s)
{
	std::string line;

	if (s->stream.read_line(&line, 0) == Received::LINE &&
	    line.compare(0, 6, "ERROR ") != 0)
		history.fail("answer",
			     "got " + printable(line) + " without a request");
}

void Client::set(Session *s, const std::string &name, const std::string &value)
{
	if (s->open && control(s, "SET " + name + " " + value))
		s->values[name] = value;
	else
		s->open = false;
}

void Client::set_value(Session *s)
{
	std::string name = "v" + std::to_string(random(3));
	std::string value = std::to_string(random(1000));

	set(s, name, maybe_odd(value, Nul::NEVER));
}

/* The values of one kind of sessions differ from those of the other. */
void Client::set_values_that_read_alike(Session *s)
{
	if (odd_texts.draw(2)) {
		set(s, "v0", "1\nv1 2");
		return;
	}
	set(s, "v0", "1");
	set(s, "v1", "2");
}

void Client::prepare(Session *s)
{
	/* The same names as those of other callers, with other shapes. */
	std::string name = "s" + std::to_string(random(2));
	bool writes = random(2) == 0;
	std::string shape = "q" + std::to_string(random(6));
	Prepared p = { writes, maybe_odd(shape, Nul::NEVER) };

	if (s->prepared.count(name))
		return;
	if (control(s, "PREPARE " + name + (p.writes ? " WRITE " : " READ ") +
			       p.shape))
		s->prepared[name] = p;
	else
		s->open = false;
}

std::string Client::make_statement(Session *s, bool may_write, bool *writes,
				   std::string *shape)
{
	std::string item = std::to_string(random(ITEMS));

	*writes = may_write && random(3) == 0;
	for (const auto &p : s->prepared) {
		if (p.second.writes != *writes || random(2))
			continue;
		*shape = p.second.shape;
		return "EXECUTE " + p.first + " " +
		       (*writes ? item + " " +
					  maybe_odd("d" + item, Nul::ALLOWED) :
				  maybe_odd(item, Nul::ALLOWED));
	}
	return *writes ? "WRITE " + item + " " +
				 maybe_odd("d" + item, Nul::ALLOWED) :
			 "READ " + maybe_odd(item, Nul::ALLOWED);
}

Client::Outcome Client::run_single(Session *s)
{
	bool writes;
	std::string shape;
	std::string text = make_statement(s, !opts.floods, &writes, &shape);
	std::shared_ptr<Unit> u = new_unit(*s, false, writes);
	Outcome out = ask(s, text, u, shape);

	if (out == Outcome::DONE && writes) {
		history.acknowledged(u);
		opts.service->acknowledged(*u);
	}
	return out;
}

Client::Outcome Client::run_transaction(Session *s)
{
	bool reads_only = random(3) == 0;
	std::shared_ptr<Unit> u = new_unit(*s, true, false);
	int64_t statements = 1 + random(4);
	Outcome out = Outcome::DONE;

	if (!control(s, reads_only ? "BEGIN READ" : "BEGIN"))
		return Outcome::PROMISE;
	for (int64_t i = 0; i < statements && out == Outcome::DONE; i++) {
		bool writes;
		std::string shape;
		std::string text =
			make_statement(s, !reads_only, &writes, &shape);

		if (writes)
			u->writes = true;
		out = ask(s, text, u, shape);
		sleep_us(random(20) * MS);
	}
	if (out != Outcome::DONE || random(8) == 0) {
		/* Some leave without a word. */
		if (random(4) == 0)
			s->open = false;
		else if (s->open)
			control(s, "ROLLBACK");
		return out;
	}
	out = ask(s, "COMMIT", u, "");
	if (out == Outcome::DONE && u->writes) {
		history.acknowledged(u);
		opts.service->acknowledged(*u);
	}
	return out;
}

/* Returns false when the session is to end. */
bool Client::run_operation(Session *s)
{
	const std::string &route = routes[opts.route].database;

	if (!opts.floods && random(8) == 0)
		set_value(s);
	if (s->open && !opts.floods && random(6) == 0)
		prepare(s);
	if (!s->open)
		return false;
	Outcome out = !opts.floods && random(4) == 0 ? run_transaction(s) :
						       run_single(s);
	if (out == Outcome::DONE) {
		history.served(route);
		history.count("requests " + route, "served");
	} else {
		sleep_us((50 + random(100)) * MS);
	}
	return s->open && s->state == 'I';
}

void Client::run_session()
{
	size_t instance = opts.fleet->pick();
	int fd = connect_to(opts.fleet->address(instance, Listener::CALLERS),
			    SECOND);
	Session s(fd);
	std::string line;
	int64_t operations = 1 + random(SESSION_OPERATIONS_MAX);

	if (fd < 0) {
		sleep_us((20 + random(60)) * MS);
		return;
	}
	s.id = static_cast<int64_t>(opts.number) * 1000000 + ++count;
	s.instance = instance;
	s.key = opts.operator_->key(opts.workspace);
	s.stream.write("STARTUP " + routes[opts.route].database + " " + s.key +
		       "\r\n");
	if (s.stream.read_line(&line, START_TIMEOUT_US) != Received::LINE ||
	    line.compare(0, 5, "READY") != 0) {
		history.count("sessions refused", line.substr(0, 16));
		close(fd);
		sleep_us((20 + random(60)) * MS);
		return;
	}
	history.count("sessions", "started");
	/* Used until the process or the connection is gone. */
	if (odd_texts.draw(ENDLESS_SESSION_ONE_IN))
		operations = INT64_MAX;
	if (!opts.floods && odd_texts.draw(4))
		set_values_that_read_alike(&s);
	while (!ends && s.open && operations-- && run_operation(&s)) {
		if (!opts.floods)
			sleep_us(random(PAUSE_MAX_MS) * MS);
	}
	if (s.open)
		s.stream.write("TERMINATE\r\n");
	close(fd);
}

void Client::run()
{
	while (!ends)
		run_session();
}
