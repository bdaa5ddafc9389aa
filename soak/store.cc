#include "store.h"

#include "history.h"

#include <algorithm>
#include <glib.h>
#include <jansson.h>
#include <string.h>

namespace
{

const size_t PAGE_ITEMS = 500;
const size_t EVENTS_MAX = 2000;
const int64_t IDLE_CONNECTION_US = 60 * SECOND;
const int64_t COPY_EVERY_US = SECOND / 2;
const int64_t COPY_AGE_US = 3 * SECOND; /* of the oldest copy */
const int64_t SILENCE_POLL_US = 20 * MS;

std::string lower(std::string s)
{
	for (char &c : s)
		c = static_cast<char>(tolower(c));
	return s;
}

std::string to_base64(const std::string &s)
{
	char *text = g_base64_encode(reinterpret_cast<const guchar *>(s.data()),
				     s.size());
	std::string out = text;

	g_free(text);
	return out;
}

std::string quote(const std::string &s)
{
	return "\"" + s + "\""; /* keys and base64 need no escapes */
}

void parse_query(const std::string &target, HttpRequest *r)
{
	size_t mark = target.find('?');
	gchar **pairs;

	r->path = target.substr(0, mark);
	if (mark == std::string::npos)
		return;
	pairs = g_strsplit(target.c_str() + mark + 1, "&", -1);
	for (gchar **p = pairs; *p; p++) {
		char *equals = strchr(*p, '=');
		char *value = g_uri_unescape_string(equals ? equals + 1 : "",
						    nullptr);

		if (equals)
			*equals = '\0';
		r->query[*p] = value ? value : "";
		g_free(value);
	}
	g_strfreev(pairs);
}

bool read_request(LineStream *s, HttpRequest *r)
{
	std::string line;
	size_t blank;
	size_t end;

	if (s->read_line(&line, IDLE_CONNECTION_US) != Received::LINE)
		return false;
	blank = line.find(' ');
	end = line.rfind(' ');
	if (blank == std::string::npos || end <= blank)
		return false;
	r->method = line.substr(0, blank);
	parse_query(line.substr(blank + 1, end - blank - 1), r);
	while (s->read_line(&line, SECOND) == Received::LINE && !line.empty()) {
		size_t colon = line.find(':');
		size_t start = line.find_first_not_of(' ', colon + 1);

		if (colon != std::string::npos && start != std::string::npos)
			r->headers[lower(line.substr(0, colon))] =
				line.substr(start);
	}
	size_t size =
		strtoul(r->headers["content-length"].c_str(), nullptr, 10);
	return !size || s->read_bytes(&r->body, size, SECOND) == Received::LINE;
}

int64_t query_number(const HttpRequest &r, const char *name)
{
	auto i = r.query.find(name);

	return i == r.query.end() ? 0 : strtoll(i->second.c_str(), nullptr, 10);
}

std::string query_text(const HttpRequest &r, const char *name)
{
	auto i = r.query.find(name);

	return i == r.query.end() ? "" : i->second;
}

bool has_prefix(const std::string &s, const std::string &prefix)
{
	return s.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

Store::Store(size_t instances, Promote promote) : promote_fn(std::move(promote))
{
	for (size_t i = 0; i < instances; i++) {
		faults.push_back(std::make_unique<std::atomic<StoreFault>>(
			StoreFault::NONE));
		ports.push_back(std::make_unique<Server>(
			[this, i](int fd) { serve(i, fd); }));
	}
	timer = std::thread([this] { expire_leases(); });
}

Store::~Store()
{
	ends = true;
	changed.notify_all();
	ports.clear();
	timer.join();
}

void Store::set_fault(int instance, StoreFault f)
{
	for (size_t i = 0; i < faults.size(); i++) {
		if (instance >= 0 && static_cast<size_t>(instance) != i)
			continue;
		*faults[i] = f;
		if (f == StoreFault::RESET)
			ports[i]->reset_connections();
	}
}

void Store::compact()
{
	std::lock_guard<std::mutex> lock(mutex);

	events.clear();
	history_start = revision;
	changed.notify_all();
}

int64_t Store::put(const std::string &key, const std::string &value)
{
	std::lock_guard<std::mutex> lock(mutex);

	put_locked(key, to_base64(value), 0);
	return revision;
}

void Store::remove(const std::string &key)
{
	std::lock_guard<std::mutex> lock(mutex);

	remove_locked(key);
}

void Store::put_locked(const std::string &key, const std::string &base64,
		       uint64_t lease)
{
	auto old = items.find(key);
	Item item = { base64, ++revision,
		      old == items.end() ? revision : old->second.created,
		      lease };

	items[key] = item;
	events.push_back({ key, revision, false, item });
	if (events.size() > EVENTS_MAX) {
		history_start = events.front().revision;
		events.pop_front();
	}
	changed.notify_all();
}

void Store::remove_locked(const std::string &key)
{
	if (!items.erase(key))
		return;
	events.push_back({ key, ++revision, true, Item() });
	changed.notify_all();
}

void Store::drop_lease_locked(uint64_t id)
{
	std::vector<std::string> keys;

	for (const auto &i : items) {
		if (i.second.lease == id)
			keys.push_back(i.first);
	}
	for (const std::string &key : keys)
		remove_locked(key);
	leases.erase(id);
}

void Store::keep_copy_locked(int64_t at_us)
{
	if (!copies.empty() && at_us - copies.back().at_us < COPY_EVERY_US)
		return;
	copies.push_back({ at_us, revision, items });
	if (at_us - copies.front().at_us > COPY_AGE_US)
		copies.pop_front();
}

void Store::restore()
{
	std::lock_guard<std::mutex> lock(mutex);
	std::map<std::string, Item> now = items;

	/* None was kept yet if the store came back just before. */
	keep_copy_locked(now_us());
	items = copies.front().items;
	revision = copies.front().revision;
	copies.clear();
	events.clear();
	history_start = revision;
	leases.clear();
	era++;
	for (auto i = items.begin(); i != items.end();) {
		if (i->second.lease)
			i = items.erase(i);
		else
			++i;
	}
	for (const auto &i : now) {
		if (has_prefix(i.first, "op/") ||
		    has_prefix(i.first, "servers/"))
			put_locked(i.first, i.second.value, 0);
	}
	changed.notify_all();
}

void Store::expire_leases()
{
	int64_t last_us = now_us();

	while (!ends) {
		sleep_us(10 * MS);
		std::lock_guard<std::mutex> lock(mutex);
		int64_t at_us = now_us();
		std::vector<uint64_t> ended;

		for (auto &l : leases) {
			/* While the store is down, its leases pause. */
			if (down)
				l.second.end_us += at_us - last_us;
			else if (l.second.end_us < at_us)
				ended.push_back(l.first);
		}
		for (uint64_t id : ended)
			drop_lease_locked(id);
		keep_copy_locked(at_us);
		last_us = at_us;
	}
}

std::string Store::format_event(const Event &e) const
{
	std::string out = "{\"key\":" + quote(e.key) +
			  ",\"revision\":" + std::to_string(e.revision);

	if (e.removed)
		return out + ",\"removed\":true}";
	return out + ",\"value\":" + quote(e.item.value) +
	       ",\"created\":" + std::to_string(e.item.created) +
	       ",\"lease\":" + std::to_string(e.item.lease) + "}";
}

HttpAnswer Store::get_item(const HttpRequest &r)
{
	std::lock_guard<std::mutex> lock(mutex);
	auto i = items.find(query_text(r, "key"));

	if (i == items.end())
		return { 404, "{\"as_of\":" + std::to_string(revision) + "}" };
	std::string text = format_event(
		{ i->first, i->second.revision, false, i->second });
	text.back() = ',';
	return { 200, text + "\"as_of\":" + std::to_string(revision) + "}" };
}

HttpAnswer Store::list_items(const HttpRequest &r)
{
	std::lock_guard<std::mutex> lock(mutex);
	std::string prefix = query_text(r, "prefix");
	std::string after = query_text(r, "after");
	std::string list;
	size_t count = 0;
	bool more = false;

	for (auto i = items.lower_bound(prefix); i != items.end(); ++i) {
		if (!has_prefix(i->first, prefix))
			break;
		if (!after.empty() && i->first <= after)
			continue;
		if (count++ == PAGE_ITEMS) {
			more = true;
			break;
		}
		list += (list.empty() ? "" : ",") +
			format_event({ i->first, i->second.revision, false,
				       i->second });
	}
	return { 200, "{\"items\":[" + list +
			      "],\"has_more\":" + (more ? "true" : "false") +
			      ",\"as_of\":" + std::to_string(revision) + "}" };
}

HttpAnswer Store::watch(const HttpRequest &r)
{
	std::unique_lock<std::mutex> lock(mutex);
	int64_t after = query_number(r, "after");
	int64_t end_us = now_us() + query_number(r, "wait_ms") * MS;
	std::string prefix = query_text(r, "prefix");
	std::string list;

	while (!ends) {
		if (after < history_start || after > revision)
			return { 410, "{}", era };
		for (const Event &e : events) {
			if (e.revision > after && has_prefix(e.key, prefix))
				list += (list.empty() ? "" : ",") +
					format_event(e);
		}
		int64_t left_us = end_us - now_us();
		if (!list.empty() || left_us <= 0)
			break;
		changed.wait_for(lock, std::chrono::microseconds(left_us));
	}
	return { 200,
		 "{\"events\":[" + list +
			 "],\"as_of\":" + std::to_string(revision) + "}",
		 era };
}

HttpAnswer Store::change(const HttpRequest &r)
{
	std::lock_guard<std::mutex> lock(mutex);
	json_t *body = json_loads(r.body.c_str(), 0, nullptr);
	HttpAnswer out;
	json_t *row;
	size_t n;

	json_array_foreach(json_object_get(body, "expected_rev"), n, row)
	{
		auto i = items.find(
			json_string_value(json_object_get(row, "key")));
		int64_t at = i == items.end() ? 0 : i->second.revision;

		if (json_integer_value(json_object_get(row, "revision")) != at)
			out = { 412, "{\"items\":[]}" };
	}
	json_array_foreach(json_object_get(body, "puts"), n, row)
	{
		uint64_t lease = static_cast<uint64_t>(
			json_integer_value(json_object_get(row, "lease")));

		if (lease && !leases.count(lease))
			out = { 404, "{}" };
	}
	if (out.status == 200) {
		json_array_foreach(json_object_get(body, "puts"), n, row)
		{
			put_locked(json_string_value(
					   json_object_get(row, "key")),
				   json_string_value(
					   json_object_get(row, "value")),
				   static_cast<uint64_t>(json_integer_value(
					   json_object_get(row, "lease"))));
		}
		json_array_foreach(json_object_get(body, "remove"), n, row)
			remove_locked(json_string_value(row));
		out.body = "{\"revision\":" + std::to_string(revision) + "}";
	}
	json_decref(body);
	return out;
}

HttpAnswer Store::grant_lease(const HttpRequest &r)
{
	std::lock_guard<std::mutex> lock(mutex);
	json_t *body = json_loads(r.body.c_str(), 0, nullptr);
	int64_t ttl_ms = std::max<int64_t>(
		json_integer_value(json_object_get(body, "ttl_ms")), 1000);

	json_decref(body);
	leases[++last_lease] = { ttl_ms, now_us() + ttl_ms * MS };
	return { 200, "{\"lease\":" + std::to_string(last_lease) +
			      ",\"ttl_ms\":" + std::to_string(ttl_ms) + "}" };
}

HttpAnswer Store::renew_lease(uint64_t id)
{
	std::lock_guard<std::mutex> lock(mutex);
	auto l = leases.find(id);

	if (l == leases.end())
		return { 404, "{}" };
	l->second.end_us = now_us() + l->second.ttl_ms * MS;
	return { 200, "{\"lease\":" + std::to_string(id) + ",\"ttl_ms\":" +
			      std::to_string(l->second.ttl_ms) + "}" };
}

HttpAnswer Store::end_lease(uint64_t id)
{
	std::lock_guard<std::mutex> lock(mutex);

	if (!leases.count(id))
		return { 404, "{}" };
	drop_lease_locked(id);
	return {};
}

HttpAnswer Store::order_promotion(const HttpRequest &r)
{
	json_t *body = json_loads(r.body.c_str(), 0, nullptr);
	const char *service =
		json_string_value(json_object_get(body, "service"));
	const char *id = json_string_value(json_object_get(body, "id"));
	auto token_text = r.headers.find("x-fencing-token");
	auto holder = r.headers.find("x-duty-holder");
	HttpAnswer out;

	if (!service || !id || token_text == r.headers.end() ||
	    holder == r.headers.end()) {
		out.status = 400;
	} else {
		uint64_t token =
			strtoull(token_text->second.c_str(), nullptr, 10);
		std::lock_guard<std::mutex> lock(mutex);
		auto &seen = tokens[service];

		if (token < seen.first) {
			out.status = 409;
		} else {
			if (token == seen.first &&
			    seen.second != holder->second)
				history.fail("one holder",
					     "two holders used token " +
						     token_text->second);
			seen = { token, holder->second };
			out.status = promote_fn(service, id);
		}
	}
	history.count("promotion orders", std::to_string(out.status));
	json_decref(body);
	return out;
}

HttpAnswer Store::run_call(const HttpRequest &r)
{
	const std::string keep = "/kv-keep/";
	const std::string end = "/kv-lease-end/";

	if (r.path == "/kv-key")
		return get_item(r);
	if (r.path == "/kv-range")
		return list_items(r);
	if (r.path == "/kv-watch")
		return watch(r);
	if (r.path == "/kv-txn")
		return change(r);
	if (r.path == "/kv-lease")
		return grant_lease(r);
	if (r.path == "/promotions")
		return order_promotion(r);
	if (has_prefix(r.path, keep))
		return renew_lease(
			strtoull(r.path.c_str() + keep.size(), nullptr, 10));
	if (has_prefix(r.path, end))
		return end_lease(
			strtoull(r.path.c_str() + end.size(), nullptr, 10));
	return { 404, "{}" };
}

void Store::serve(size_t instance, int fd)
{
	LineStream s(fd);
	HttpRequest r;

	for (; read_request(&s, &r); r = HttpRequest()) {
		StoreFault f = *faults[instance];
		HttpAnswer a = { 503, "{}" };

		while (f == StoreFault::SILENT && !ends) {
			/* What arrives now is never executed. */
			sleep_us(SILENCE_POLL_US);
			f = *faults[instance];
			if (f != StoreFault::SILENT)
				return;
		}
		if (f == StoreFault::RESET || ends)
			return;
		sleep_us(delay_us);
		int arrived_in = era;
		if (f == StoreFault::NONE)
			a = run_call(r);
		/* It may have run before the store came back, or after. */
		if (!a.era && arrived_in != era)
			return;
		if (!a.era)
			a.era = arrived_in;
		/* A fault that began while a watch waited cuts its answer. */
		f = *faults[instance];
		if (f == StoreFault::RESET || f == StoreFault::SILENT ||
		    g_random_int_range(0, 1000) < lost_permille) {
			history.count("store answers", "lost");
			sleep_us(2 * SECOND);
			return;
		}
		if (!s.write("HTTP/1.1 " + std::to_string(a.status) +
			     " X\r\nStore-Era: " + std::to_string(a.era) +
			     "\r\nContent-Type: "
			     "application/json\r\nContent-Length: " +
			     std::to_string(a.body.size()) + "\r\n\r\n" +
			     a.body))
			return;
	}
}
