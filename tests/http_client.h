/*
 * http_client.h - a plain HTTP/1.1 client that runs in the event loop of the
 * tested server.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <gtest/gtest.h>

#include <apr_general.h>
#include <apr_pools.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <functional>
#include <jansson.h>
#include <map>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "base/loop.h"
}

/*
 * Runs the loop until `done` returns true. Gives up after 20000 iterations, so
 * that a failing test ends. Returns whether `done` returned true.
 */
inline bool run_loop_until(struct loop *l, const std::function<bool()> &done)
{
	bool is_done = done();

	for (int i = 0; i < 20000 && !is_done; i++) {
		loop_run_once(l, 1000);
		is_done = done();
	}
	return is_done;
}

struct HttpResponse {
	int status = 0;
	std::map<std::string, std::string> headers;
	std::string body;

	std::string header(const std::string &name) const
	{
		auto it = headers.find(name);
		return it == headers.end() ? "" : it->second;
	}

	/* Returns a member of the JSON body as text, "" if absent. */
	std::string json_field(const char *name) const
	{
		json_t *doc = json_loads(body.c_str(), 0, nullptr);
		json_t *value = json_object_get(doc, name);
		char *text = json_dumps(value, JSON_ENCODE_ANY);
		std::string s = text ? text : "";

		if (json_is_string(value))
			s = json_string_value(value);
		free(text);
		json_decref(doc);
		return s;
	}
};

class HttpClient
{
      public:
	HttpClient(struct loop *l, uint16_t port) : loop_(l)
	{
		struct sockaddr_in sa = {};

		sa.sin_family = AF_INET;
		sa.sin_port = htons(port);
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fd_ = socket(AF_INET, SOCK_STREAM, 0);
		connected_ = !connect(fd_, (struct sockaddr *)&sa, sizeof(sa));
		fcntl(fd_, F_SETFL, O_NONBLOCK);
	}

	~HttpClient()
	{
		close_connection();
	}

	bool is_connected() const
	{
		return connected_;
	}

	void close_connection()
	{
		if (fd_ >= 0)
			close(fd_);
		fd_ = -1;
	}

	void half_close()
	{
		shutdown(fd_, SHUT_WR);
	}

	/* Runs the loop until all is sent or the connection fails. */
	void send_all(const std::string &text)
	{
		size_t sent = 0;

		run_loop_until(loop_, [&] {
			ssize_t n = send(fd_, text.data() + sent,
					 text.size() - sent, MSG_NOSIGNAL);
			if (n > 0)
				sent += n;
			return sent == text.size() ||
			       (n < 0 && errno != EAGAIN);
		});
	}

	/* Removes the next response from the input, if it is complete. */
	bool take_response(HttpResponse *out)
	{
		read_more();
		size_t end = received_.find("\r\n\r\n");
		if (end == std::string::npos)
			return false;
		HttpResponse r;
		parse_head(received_.substr(0, end + 2), &r);
		size_t len = std::stoul("0" + r.header("Content-Length"));
		if (received_.size() < end + 4 + len)
			return false;
		r.body = received_.substr(end + 4, len);
		received_.erase(0, end + 4 + len);
		*out = r;
		return true;
	}

	HttpResponse receive()
	{
		HttpResponse r;

		EXPECT_TRUE(run_loop_until(loop_,
					   [&] { return take_response(&r); }));
		return r;
	}

	/* Returns true if the server has closed the connection. */
	bool is_closed()
	{
		read_more();
		return closed_;
	}

	/* Returns received bytes that are not part of a response taken so far. */
	const std::string &unread() const
	{
		return received_;
	}

      private:
	void read_more()
	{
		char buf[65536];
		ssize_t n;

		while ((n = recv(fd_, buf, sizeof(buf), 0)) > 0)
			received_.append(buf, n);
		closed_ = closed_ || n == 0 || errno == ECONNRESET;
	}

	static void parse_head(const std::string &head, HttpResponse *r)
	{
		size_t at = head.find("\r\n");

		r->status = std::stoi(head.substr(9, 3));
		while (at + 2 < head.size()) {
			size_t end = head.find("\r\n", at + 2);
			std::string line = head.substr(at + 2, end - at - 2);
			size_t colon = line.find(": ");
			r->headers[line.substr(0, colon)] =
				line.substr(colon + 2);
			at = end;
		}
	}

	struct loop *loop_;
	int fd_ = -1;
	bool connected_ = false;
	bool closed_ = false;
	std::string received_;
};

/* Test fixture with an event loop. */
class HttpTest : public testing::Test
{
      protected:
	void SetUp() override
	{
		apr_initialize();
		apr_pool_create(&pool_, nullptr);
		ASSERT_EQ(0, loop_new(&loop_, pool_));
		open_listener();
	}

	void TearDown() override
	{
		apr_pool_destroy(pool_);
	}

	/* Opens the tested listener in loop_. */
	virtual void open_listener() = 0;

	apr_pool_t *pool_ = nullptr;
	struct loop *loop_ = nullptr;
};

/* Returns the text of a request; `headers` are complete lines with CRLF. */
inline std::string format_request(const std::string &method,
				  const std::string &path,
				  const std::string &headers,
				  const std::string &body)
{
	return method + " " + path + " HTTP/1.1\r\nHost: test\r\n" + headers +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

#endif
