#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

namespace
{

const int64_t start_ms = [] {
	timespec t;
	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}();
FILE *record_file;
std::mutex record_mutex;

std::string take_word(std::string *text)
{
	size_t blank = text->find(' ');
	std::string word = text->substr(0, blank);

	*text = blank == std::string::npos ? "" : text->substr(blank + 1);
	return word;
}

std::string encode(const std::string &s)
{
	char *b = g_base64_encode(reinterpret_cast<const guchar *>(s.data()),
				  s.size());
	std::string out = b;

	g_free(b);
	return out;
}

std::string decode(const std::string &s)
{
	gsize n = 0;
	guchar *b = g_base64_decode(s.c_str(), &n);
	std::string out(reinterpret_cast<char *>(b), n);

	g_free(b);
	return out;
}

sockaddr_in parse_address(const std::string &address)
{
	sockaddr_in a = {};
	size_t colon = address.find(':');

	a.sin_family = AF_INET;
	a.sin_port =
		htons(static_cast<uint16_t>(atoi(address.c_str() + colon + 1)));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &a.sin_addr);
	return a;
}

int bind_any(uint16_t *port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in a = parse_address("127.0.0.1:0");
	socklen_t size = sizeof(a);

	if (bind(fd, reinterpret_cast<sockaddr *>(&a), size) ||
	    getsockname(fd, reinterpret_cast<sockaddr *>(&a), &size)) {
		perror("bind");
		exit(2);
	}
	*port = ntohs(a.sin_port);
	return fd;
}

} // namespace

int64_t now_ms()
{
	timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000 - start_ms;
}

void sleep_ms(int64_t ms)
{
	if (ms > 0)
		usleep(static_cast<useconds_t>(ms * 1000));
}

void record_open(const std::string &path)
{
	record_file = fopen(path.c_str(), "w");
	if (!record_file) {
		perror(path.c_str());
		exit(2);
	}
}

void record(bool show, const char *format, ...)
{
	char text[1024];
	va_list ap;

	va_start(ap, format);
	vsnprintf(text, sizeof(text), format, ap);
	va_end(ap);
	std::lock_guard<std::mutex> lock(record_mutex);
	fprintf(record_file, "%7.3f %s\n", now_ms() / 1000.0, text);
	fflush(record_file);
	if (show)
		printf("%s\n", text);
	fflush(stdout);
}

std::string new_id()
{
	static std::atomic<uint64_t> last{ 0 };
	char text[32];

	snprintf(text, sizeof(text), "%08x%08lx",
		 static_cast<unsigned>(getpid()),
		 static_cast<unsigned long>(++last));
	return text;
}

/* Sockets. */

Listener::Listener(std::function<void(int fd)> handler) : fn(std::move(handler))
{
	fd = bind_any(&port);
	listen(fd, 256);
	thread = std::thread([this] {
		while (!ends) {
			pollfd p = { fd, POLLIN, 0 };

			if (poll(&p, 1, 50) <= 0)
				continue;
			int c = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
			int on = 1;

			if (c < 0)
				continue;
			setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &on,
				   sizeof(on));
			std::thread([this, c] {
				fn(c);
				close(c);
			}).detach();
		}
	});
}

Listener::~Listener()
{
	ends = true;
	thread.join();
	close(fd);
}

std::string Listener::address() const
{
	return "127.0.0.1:" + std::to_string(port);
}

int Stream::read_line(std::string *out, int64_t limit_ms)
{
	int64_t end = now_ms() + limit_ms;
	size_t at;

	while ((at = pending.find('\n')) == std::string::npos) {
		char buf[65536];
		pollfd p = { fd, POLLIN, 0 };
		int64_t left = end - now_ms();

		if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0)
			return 0;
		ssize_t n = recv(fd, buf, sizeof(buf), 0);

		if (n <= 0)
			return n < 0 ? -2 : -1;
		pending.append(buf, static_cast<size_t>(n));
	}
	*out = pending.substr(0, at);
	pending.erase(0, at + 1);
	if (!out->empty() && out->back() == '\r')
		out->pop_back();
	return 1;
}

bool Stream::read_bytes(std::string *out, size_t n)
{
	while (pending.size() < n) {
		char buf[65536];
		ssize_t got = recv(fd, buf, sizeof(buf), 0);

		if (got <= 0)
			return false;
		pending.append(buf, static_cast<size_t>(got));
	}
	*out = pending.substr(0, n);
	pending.erase(0, n);
	return true;
}

bool Stream::send(const std::string &bytes) const
{
	size_t done = 0;

	while (done < bytes.size()) {
		ssize_t n = ::send(fd, bytes.data() + done, bytes.size() - done,
				   MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		done += static_cast<size_t>(n);
	}
	return true;
}

int connect_to(const std::string &address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in a = parse_address(address);
	int on = 1;

	if (connect(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

/*
 * From below the range that the system takes for outgoing connections: those
 * could take a port before its process has started.
 */
std::vector<uint16_t> find_free_ports(size_t n)
{
	static std::atomic<int> next{ 20000 + getpid() % 1000 * 10 };
	std::vector<uint16_t> out;

	while (out.size() < n) {
		std::string at = "127.0.0.1:" + std::to_string(next++);
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		sockaddr_in a = parse_address(at);

		if (!bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a)))
			out.push_back(ntohs(a.sin_port));
		close(fd);
		if (next >= 32000)
			next = 20000;
	}
	return out;
}

/* The platform. */

Platform::Platform()
    : timer([this] { expire_leases(); }),
      listener([this](int fd) { serve(fd); })
{
}

void Platform::stop()
{
	ends = true;
	changed.notify_all();
	if (timer.joinable())
		timer.join();
}

void Platform::put_locked(const std::string &key, const std::string &base64,
			  uint64_t lease, int64_t at)
{
	Item &i = items[key];

	i.created = i.created ? i.created : at;
	i.value = base64;
	i.revision = at;
	i.lease = lease;
	events.push_back({ key, at, false, i });
}

void Platform::remove_locked(const std::string &key, int64_t at)
{
	if (items.erase(key))
		events.push_back({ key, at, true, Item() });
}

/* The keys of a lease are removed one change after the other. */
void Platform::end_lease_locked(uint64_t id)
{
	std::vector<std::string> keys;

	for (auto &i : items) {
		if (i.second.lease == id)
			keys.push_back(i.first);
	}
	for (const std::string &key : keys)
		remove_locked(key, ++revision);
	leases.erase(id);
	changed.notify_all();
}

int64_t Platform::write(const std::vector<KeyValue> &puts)
{
	std::lock_guard<std::mutex> lock(mutex);

	revision++;
	for (const KeyValue &p : puts)
		put_locked(p.first, encode(p.second), 0, revision);
	changed.notify_all();
	return revision;
}

std::string Platform::read(const std::string &key)
{
	std::lock_guard<std::mutex> lock(mutex);
	auto i = items.find(key);

	return i == items.end() ? "" : decode(i->second.value);
}

void Platform::expire_leases()
{
	while (!ends) {
		sleep_ms(10);
		std::lock_guard<std::mutex> lock(mutex);
		std::vector<uint64_t> ended;

		for (auto &l : leases) {
			if (l.second.end_ms < now_ms())
				ended.push_back(l.first);
		}
		for (uint64_t id : ended)
			end_lease_locked(id);
	}
}

std::string Platform::format(const Event &e) const
{
	std::string out = "{\"key\":\"" + e.key +
			  "\",\"revision\":" + std::to_string(e.revision);

	if (e.removed)
		return out + ",\"removed\":true}";
	return out + ",\"value\":\"" + e.item.value +
	       "\",\"created\":" + std::to_string(e.item.created) +
	       ",\"lease\":" + std::to_string(e.item.lease) + "}";
}

bool Platform::read_request(Stream *s, Request *r)
{
	std::string line;
	size_t mark;

	if (s->read_line(&line, 60000) != 1)
		return false;
	r->method = take_word(&line);
	r->path = take_word(&line);
	mark = r->path.find('?');
	if (mark != std::string::npos) {
		gchar **pairs = g_strsplit(r->path.c_str() + mark + 1, "&", -1);

		for (gchar **p = pairs; *p; p++) {
			char *equals = strchr(*p, '=');
			char *v =
				g_uri_unescape_string(equals ? equals + 1 : "",
						      nullptr);

			if (equals)
				*equals = '\0';
			r->query[*p] = v ? v : "";
			g_free(v);
		}
		g_strfreev(pairs);
		r->path.erase(mark);
	}
	while (s->read_line(&line, 2000) == 1 && !line.empty()) {
		size_t colon = line.find(':');
		char *name = g_ascii_strdown(line.c_str(),
					     static_cast<gssize>(colon));
		size_t from = line.find_first_not_of(' ', colon + 1);

		r->headers[name] =
			from == std::string::npos ? "" : line.substr(from);
		g_free(name);
	}
	size_t n = strtoul(r->headers["content-length"].c_str(), nullptr, 10);
	return !n || s->read_bytes(&r->body, n);
}

Platform::Answer Platform::range(const Request &r)
{
	std::lock_guard<std::mutex> lock(mutex);
	std::string prefix =
		r.query.count("prefix") ? r.query.at("prefix") : "";
	std::string after = r.query.count("after") ? r.query.at("after") : "";
	std::string list;
	size_t n = 0;
	bool more = false;

	for (auto i = items.lower_bound(prefix); i != items.end(); ++i) {
		if (i->first.compare(0, prefix.size(), prefix) != 0)
			break;
		if (!after.empty() && i->first <= after)
			continue;
		if (n++ == 500 || list.size() > 1000000) {
			more = true;
			break;
		}
		list += (list.empty() ? "" : ",") +
			format({ i->first, i->second.revision, false,
				 i->second });
	}
	return { 200, "{\"items\":[" + list +
			      "],\"has_more\":" + (more ? "true" : "false") +
			      ",\"as_of\":" + std::to_string(revision) + "}" };
}

Platform::Answer Platform::watch(const Request &r)
{
	std::unique_lock<std::mutex> lock(mutex);
	std::string prefix =
		r.query.count("prefix") ? r.query.at("prefix") : "";
	int64_t after = atoll(r.query.at("after").c_str());
	int64_t end = now_ms() + atoll(r.query.at("wait_ms").c_str());
	std::string list;

	while (!ends) {
		for (const Event &e : events) {
			if (e.revision > after &&
			    !e.key.compare(0, prefix.size(), prefix))
				list += (list.empty() ? "" : ",") + format(e);
		}
		if (!list.empty() || now_ms() >= end)
			break;
		changed.wait_for(lock,
				 std::chrono::milliseconds(end - now_ms()));
	}
	return { 200, "{\"events\":[" + list +
			      "],\"as_of\":" + std::to_string(revision) + "}" };
}

Platform::Answer Platform::change(const Request &r)
{
	std::lock_guard<std::mutex> lock(mutex);
	json_t *body = json_loads(r.body.c_str(), 0, nullptr);
	Answer out = { 200, "" };
	json_t *row;
	size_t n;

	json_array_foreach(json_object_get(body, "expected_rev"), n, row)
	{
		auto i = items.find(
			json_string_value(json_object_get(row, "key")));
		int64_t is = i == items.end() ? 0 : i->second.revision;

		if (json_integer_value(json_object_get(row, "revision")) != is)
			out = { 412, "{\"items\":[]}" };
	}
	json_array_foreach(json_object_get(body, "puts"), n, row)
	{
		uint64_t lease = static_cast<uint64_t>(
			json_integer_value(json_object_get(row, "lease")));

		if (lease && !leases.count(lease))
			out = { 404, "{}" };
	}
	if (out.first == 200) {
		revision++;
		json_array_foreach(json_object_get(body, "puts"), n, row)
			put_locked(json_string_value(
					   json_object_get(row, "key")),
				   json_string_value(
					   json_object_get(row, "value")),
				   static_cast<uint64_t>(json_integer_value(
					   json_object_get(row, "lease"))),
				   revision);
		json_array_foreach(json_object_get(body, "remove"), n, row)
			remove_locked(json_string_value(row), revision);
		out.second = "{\"revision\":" + std::to_string(revision) + "}";
		changed.notify_all();
	}
	json_decref(body);
	return out;
}

int64_t Platform::find_delay(const Request &r)
{
	json_t *body = json_loads(r.body.c_str(), 0, nullptr);
	int64_t delay_ms = 0;
	json_t *row;
	size_t n;

	json_array_foreach(json_object_get(body, "puts"), n, row) delay_ms +=
		late_ms(json_string_value(json_object_get(row, "key")),
			decode(json_string_value(
				json_object_get(row, "value"))));
	json_decref(body);
	return delay_ms;
}

Platform::Answer Platform::order(const Request &r)
{
	json_t *body = json_loads(r.body.c_str(), 0, nullptr);
	std::string service =
		json_string_value(json_object_get(body, "service"));
	std::string id = json_string_value(json_object_get(body, "id"));
	uint64_t token =
		strtoull(r.headers.at("x-fencing-token").c_str(), nullptr, 10);
	Answer out = { 409, "{}" };

	json_decref(body);
	{
		std::lock_guard<std::mutex> lock(mutex);

		if (token < tokens[service])
			return out;
		tokens[service] = token;
	}
	out.first = promote(service, id);
	record(false, "promotion of %s ordered by %s, token %lu: %d",
	       id.c_str(), r.headers.at("x-duty-holder").c_str(),
	       static_cast<unsigned long>(token), out.first);
	return out;
}

Platform::Answer Platform::run(const Request &r)
{
	const std::string keep = "/kv-keep/";
	const std::string end = "/kv-lease-end/";

	if (r.path == "/kv-range")
		return range(r);
	if (r.path == "/kv-watch")
		return watch(r);
	if (r.path == "/kv-txn")
		return change(r);
	if (r.path == "/promotions")
		return order(r);
	std::lock_guard<std::mutex> lock(mutex);
	if (r.path == "/kv-lease") {
		json_t *body = json_loads(r.body.c_str(), 0, nullptr);
		int64_t ttl =
			json_integer_value(json_object_get(body, "ttl_ms"));

		json_decref(body);
		ttl = ttl < 1000 ? 1000 : ttl;
		leases[++last_lease] = { ttl, now_ms() + ttl };
		return { 200, "{\"lease\":" + std::to_string(last_lease) +
				      ",\"ttl_ms\":" + std::to_string(ttl) +
				      "}" };
	}
	if (!r.path.compare(0, keep.size(), keep)) {
		auto l = leases.find(
			strtoull(r.path.c_str() + keep.size(), nullptr, 10));

		if (l == leases.end())
			return { 404, "{}" };
		l->second.end_ms = now_ms() + l->second.ttl_ms;
		return { 200, "{\"lease\":" + std::to_string(l->first) +
				      ",\"ttl_ms\":" +
				      std::to_string(l->second.ttl_ms) + "}" };
	}
	if (!r.path.compare(0, end.size(), end)) {
		end_lease_locked(
			strtoull(r.path.c_str() + end.size(), nullptr, 10));
		return { 200, "{}" };
	}
	return { 404, "{}" };
}

void Platform::serve(int fd)
{
	Stream s = { fd, "" };
	Request r;

	for (; !ends && read_request(&s, &r); r = Request()) {
		int64_t delay_ms = r.path == "/kv-txn" ? find_delay(r) : 0;

		if (delay_ms) {
			/* Nothing further comes on this connection. */
			sleep_ms(delay_ms);
			Answer late = change(r);

			record(false, "a call was carried out late: %d %s",
			       late.first, late.second.c_str());
			return;
		}
		Answer a = run(r);

		if (!s.send("HTTP/1.1 " + std::to_string(a.first) +
			    " X\r\nContent-Type: application/json\r\n"
			    "Content-Length: " +
			    std::to_string(a.second.size()) + "\r\n\r\n" +
			    a.second))
			return;
	}
}

/* The service. */

Database::Database(Platform *p, std::string service,
		   const std::vector<std::string> &zones, uint32_t max_conns)
    : name(std::move(service)), platform(p), conns_max(max_conns)
{
	for (size_t i = 0; i < zones.size(); i++) {
		auto b = std::make_unique<Backend>();
		Backend *raw = b.get();

		b->id = "i-" + name + std::to_string(i);
		b->zone = zones[i];
		b->listener = std::make_unique<Listener>(
			[this, raw](int fd) { serve(raw, fd); });
		backends.push_back(std::move(b));
	}
	primary = backends[0].get();
	for (auto &b : backends)
		publish(b.get());
}

void Database::publish(Backend *b)
{
	platform->write(
		{ { "servers/" + b->id,
		    "{\"service\":\"" + name + "\",\"address\":\"" +
			    b->listener->address() + "\",\"zone\":\"" +
			    b->zone +
			    "\",\"version\":\"v1\",\"slots\":5,"
			    "\"state\":\"ready\",\"cold_remaining_ms\":0,"
			    "\"db_role\":\"" +
			    (b == primary ? "primary" : "replica") +
			    "\",\"sequence\":1,\"born\":1700000000000}" } });
}

int Database::promote(const std::string &id)
{
	std::lock_guard<std::mutex> lock(mutex);

	for (auto &b : backends) {
		if (b->id != id)
			continue;
		if (primary != b.get())
			term++;
		primary = b.get();
		return 200;
	}
	return 409;
}

std::vector<Run> Database::runs()
{
	std::lock_guard<std::mutex> lock(mutex);

	return history;
}

std::string Database::tenant_of(const std::string &statement_id)
{
	std::lock_guard<std::mutex> lock(mutex);

	for (const Run &r : history) {
		if (r.id == statement_id)
			return r.tenant;
	}
	return "";
}

std::string Database::ready(const Conn &c)
{
	return std::string("READY ") + c.state + " " + std::to_string(term) +
	       "." + std::to_string(number) + "\r\n";
}

std::string Database::fail(Conn *c, const char *code)
{
	if (c->state == 'T')
		c->state = 'E';
	return std::string("ERROR ") + code + " " + c->backend->id + "\r\n";
}

std::string Database::status(const Backend &b)
{
	return std::string("ROW ") + (&b == primary ? "primary " : "replica ") +
	       std::to_string(term) + " " + std::to_string(term) + "." +
	       std::to_string(number) + " 0 0 1 " + std::to_string(b.conns) +
	       "\r\nCOMPLETE -\r\n";
}

/* What the system asks on its own behalf. */
std::string Database::run_own(Conn *c, const std::string &text)
{
	std::string rest = text;
	std::string word = take_word(&rest);

	if (word == "BEGIN") {
		if (rest != "READ" && c->backend != primary)
			return fail(c, "READONLY");
		c->state = 'T';
		c->plain = rest != "READ";
		c->wrote = false;
		c->term = term;
	} else if (word == "ROLLBACK") {
		c->state = 'I';
	} else if (word == "RESET") {
		c->prepared.clear();
	} else if (word == "PREPARE") {
		std::string prepared = take_word(&rest);

		c->prepared[prepared] = take_word(&rest) == "WRITE";
	} else if (word == "STATUS" || word == "PAUSE" || word == "RESUME" ||
		   word == "DEMOTE") {
		return status(*c->backend);
	} else if (word != "SET") {
		return fail(c, "MALFORMED");
	}
	return "COMPLETE -\r\n";
}

std::string Database::run(Conn *c, const std::string &line)
{
	std::string rest = line;
	std::string id;
	std::string text;
	std::string word;
	std::string out;

	if (take_word(&rest) != "QUERY")
		return "";
	id = take_word(&rest);
	if (!rest.compare(0, 6, "AFTER ")) {
		take_word(&rest);
		take_word(&rest);
	}
	text = rest;
	if (id != "-") {
		if (note_at_start) {
			std::lock_guard<std::mutex> lock(mutex);

			history.push_back({ now_ms(), c->backend->id, c->tenant,
					    id, text });
		}
		sleep_ms(work_ms);
	}
	std::lock_guard<std::mutex> lock(mutex);
	if (id == "-") {
		out = run_own(c, text);
		return out + ready(*c);
	}
	word = take_word(&rest);
	bool writes = word == "WRITE";
	if (word == "EXECUTE") {
		auto p = c->prepared.find(take_word(&rest));

		if (p == c->prepared.end()) {
			out = fail(c, "NOSTMT");
			return out + ready(*c);
		}
		writes = p->second;
	}
	if (c->state == 'E') {
		out = fail(c, "MALFORMED");
		return out + ready(*c);
	}
	if ((c->state == 'T' && c->plain &&
	     (c->backend != primary || c->term != term) &&
	     (word != "COMMIT" || c->wrote)) ||
	    (writes && c->backend != primary)) {
		out = fail(c, "READONLY");
		return out + ready(*c);
	}
	if (!note_at_start)
		history.push_back(
			{ now_ms(), c->backend->id, c->tenant, id, text });
	if (writes && c->state == 'I')
		number++;
	c->wrote |= writes;
	if (word == "COMMIT") {
		number += c->wrote;
		c->state = 'I';
	}
	if (!writes && word != "COMMIT")
		out = "ROW value of " + rest + "\r\n";
	return out + "COMPLETE s" + std::to_string(++signature) + "." +
	       c->backend->id + "\r\n" + ready(*c);
}

void Database::serve(Backend *b, int fd)
{
	Stream s = { fd, "" };
	Conn c = {};
	std::string line;

	c.backend = b;
	b->conns++;
	if (s.read_line(&line, 3000) == 1 && take_word(&line) == "STARTUP") {
		std::string wanted = take_word(&line);

		c.tenant = take_word(&line);
		std::string hello;
		{
			std::lock_guard<std::mutex> lock(mutex);

			if (wanted != name || (!line.empty() && line != b->id))
				hello = "ERROR MISROUTED " + b->id + "\r\n";
			else if (b->conns > static_cast<int>(conns_max))
				hello = "ERROR TOOMANY " + b->id + "\r\n";
			else
				hello = ready(c);
		}
		s.send(hello);
		while (hello[0] == 'R' && !ends &&
		       s.read_line(&line, 60000) == 1) {
			std::string out = run(&c, line);

			if (out.empty() || !s.send(out))
				break;
		}
	}
	b->conns--;
}

/* The system. */

Fleet::Fleet(std::string program, std::string dir)
    : binary(std::move(program)), directory(std::move(dir))
{
}

Fleet::~Fleet()
{
	for (auto &p : processes) {
		if (p.second.pid <= 0)
			continue;
		::kill(p.second.pid, SIGKILL);
		waitpid(p.second.pid, nullptr, 0);
	}
}

/* Settings as deploy/proxy.yaml.in is filled in for a small deployment. */
void Fleet::start(const std::string &name, const std::string &zone,
		  const Platform &p)
{
	Process &n = processes[name];
	std::string settings = directory + "/" + name + ".yaml";
	std::string log = directory + "/" + name + ".log";
	std::string env_settings = "ZINNIALINE_SETTINGS=" + settings;
	FILE *f;

	if (n.ports.empty())
		n.ports = find_free_ports(5);
	auto at = [&](size_t i) {
		return "127.0.0.1:" + std::to_string(n.ports[i]);
	};
	f = fopen(settings.c_str(), "w");
	fprintf(f,
		"instance:\n  name: %s\n  zone: %s\n"
		"listen:\n  callers: %s\n  ready: %s\n  metrics: %s\n"
		"  peers: %s\n  relay: %s\n"
		"platform:\n  store: %s\n  promotions: %s\n"
		"  link_mbps: 1000.0\n"
		"keys:\n  withdrawn_after_ms: 5000\n"
		"config:\n  applied_within_ms: 3000\n"
		"limits:\n  window_s: 5\n  overrun: 0.1\n  slack: 20\n"
		"failover:\n  replica_wait_s: 12\n"
		"shutdown:\n  grace_s: 6\n"
		"log:\n  format: text\n  level: info\n",
		name.c_str(), zone.c_str(), at(0).c_str(), at(1).c_str(),
		at(2).c_str(), at(3).c_str(), at(4).c_str(),
		p.address().c_str(), p.address().c_str());
	fclose(f);
	n.pid = fork();
	if (n.pid)
		return;
	char command[] = "proxy";
	char *args[] = { &binary[0], command, nullptr };
	char path[] = "PATH=/usr/bin:/bin";
	char *env[] = { &env_settings[0], path, nullptr };
	int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execve(binary.c_str(), args, env);
	_exit(127);
}

std::string Fleet::callers(const std::string &name) const
{
	return "127.0.0.1:" + std::to_string(processes.at(name).ports[0]);
}

bool Fleet::is_ready(const std::string &name) const
{
	Stream s = { connect_to("127.0.0.1:" +
				std::to_string(processes.at(name).ports[1])),
		     "" };
	std::string line;
	bool ok;

	if (s.fd < 0)
		return false;
	ok = s.send("GET /readyz HTTP/1.1\r\nHost: x\r\n"
		    "Connection: close\r\n\r\n") &&
	     s.read_line(&line, 1000) == 1 &&
	     line.find(" 200") != std::string::npos;
	close(s.fd);
	return ok;
}

bool Fleet::wait_until_ready(int64_t limit_ms)
{
	int64_t end = now_ms() + limit_ms;
	bool all = false;

	while (!all && now_ms() < end) {
		sleep_ms(100);
		all = true;
		for (auto &p : processes)
			all = all && is_ready(p.first);
	}
	return all;
}

void Fleet::kill(const std::string &name)
{
	Process &p = processes.at(name);

	::kill(p.pid, SIGKILL);
	waitpid(p.pid, nullptr, 0);
	p.pid = -1;
}

void Fleet::signal(const std::string &name, int number)
{
	::kill(processes.at(name).pid, number);
}

bool Fleet::any_ended()
{
	for (auto &p : processes) {
		if (p.second.pid > 0 &&
		    waitpid(p.second.pid, nullptr, WNOHANG) == p.second.pid) {
			p.second.pid = -1;
			return true;
		}
	}
	return false;
}

std::vector<std::string> Fleet::names() const
{
	std::vector<std::string> out;

	for (auto &p : processes)
		out.push_back(p.first);
	return out;
}

/* Clients. */

Session::Session(const std::string &address, const std::string &database,
		 const std::string &key)
    : stream{ connect_to(address), "" }
{
	std::string line;

	if (stream.fd < 0)
		return;
	open = stream.send("STARTUP " + database + " " + key + "\r\n") &&
	       stream.read_line(&line, 2000) == 1 &&
	       !line.compare(0, 6, "READY ");
}

Session::~Session()
{
	if (open)
		stream.send("TERMINATE\r\n");
	if (stream.fd >= 0)
		close(stream.fd);
}

bool Session::post(const std::string &id, const std::string &text)
{
	open = open && stream.send("QUERY " + id + " " + text + "\r\n");
	return open;
}

Reply Session::take(int64_t limit_ms)
{
	int64_t end = now_ms() + limit_ms;
	std::string line;
	Reply r;

	while (open) {
		int rc = stream.read_line(&line, end - now_ms());
		std::string rest = line;
		std::string word = rc == 1 ? take_word(&rest) : "";

		if (rc != 1) {
			open = false;
			ended = -rc;
		} else if (word == "COMPLETE") {
			r.done = true;
			r.signature = rest;
		} else if (word == "ERROR") {
			r.signature = take_word(&rest);
			r.reason = rest;
		} else if (word == "READY") {
			r.answered = true;
			r.state = rest[0];
			return r;
		}
	}
	return r;
}

Reply Session::ask(const std::string &id, const std::string &text,
		   int64_t limit_ms)
{
	post(id, text);
	return take(limit_ms);
}
