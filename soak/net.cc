#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

namespace
{

const int64_t ACCEPT_POLL_MS = 20;
const int LISTEN_BACKLOG = 256;
const time_t SEND_TIMEOUT_S = 15; /* over the longest pause of a process */
/* Either byte alone is part of the line. */
const std::string LINE_END = "\r\n";

sockaddr_in to_sockaddr(const Address &a)
{
	sockaddr_in out = {};

	out.sin_family = AF_INET;
	out.sin_port = htons(a.port);
	inet_pton(AF_INET, a.ip.c_str(), &out.sin_addr);
	return out;
}

void set_options(int fd)
{
	int on = 1;
	timeval timeout = { SEND_TIMEOUT_S, 0 };

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	/* Two ends that both send long messages must not wait for ever. */
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
}

int listen_at(Address *a)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;
	sockaddr_in sa = to_sockaddr(*a);
	socklen_t size = sizeof(sa);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, reinterpret_cast<sockaddr *>(&sa), size) ||
	    listen(fd, LISTEN_BACKLOG) ||
	    getsockname(fd, reinterpret_cast<sockaddr *>(&sa), &size)) {
		close(fd);
		return -1;
	}
	a->port = ntohs(sa.sin_port);
	return fd;
}

} // namespace

int64_t now_us()
{
	timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * SECOND + t.tv_nsec / 1000;
}

void sleep_us(int64_t time_us)
{
	if (time_us > 0)
		usleep(static_cast<useconds_t>(time_us));
}

int connect_to(const Address &a, int64_t timeout_us)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	sockaddr_in sa = to_sockaddr(a);
	pollfd p = { fd, POLLOUT, 0 };
	int error = 0;
	socklen_t size = sizeof(error);

	if (connect(fd, reinterpret_cast<sockaddr *>(&sa), sizeof(sa)) &&
	    (errno != EINPROGRESS ||
	     poll(&p, 1, static_cast<int>(timeout_us / MS)) <= 0 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) || error)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, 0);
	set_options(fd);
	return fd;
}

void close_with_reset(int fd)
{
	linger l = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

Received LineStream::fill(int64_t end_us)
{
	char buf[16384];
	int64_t left_us = end_us - now_us();
	pollfd p = { fd, POLLIN, 0 };
	ssize_t n;

	if (left_us < 0)
		left_us = 0;
	if (poll(&p, 1, static_cast<int>((left_us + MS - 1) / MS)) <= 0)
		return Received::TIMEOUT;
	n = recv(fd, buf, sizeof(buf), 0);
	if (n <= 0)
		return Received::CLOSED;
	pending.append(buf, static_cast<size_t>(n));
	return Received::LINE;
}

Received LineStream::read_line(std::string *line, int64_t timeout_us)
{
	int64_t end_us = now_us() + timeout_us;
	size_t end;

	while ((end = pending.find(LINE_END, searched)) == std::string::npos) {
		/* The last byte may be the first one of a line end. */
		searched = pending.empty() ? 0 : pending.size() - 1;
		Received r = fill(end_us);

		if (r != Received::LINE)
			return r;
	}
	*line = pending.substr(0, end);
	pending.erase(0, end + LINE_END.size());
	searched = 0;
	return Received::LINE;
}

Received LineStream::read_bytes(std::string *out, size_t size,
				int64_t timeout_us)
{
	int64_t end_us = now_us() + timeout_us;

	while (pending.size() < size) {
		Received r = fill(end_us);

		if (r != Received::LINE)
			return r;
	}
	*out = pending.substr(0, size);
	pending.erase(0, size);
	searched = 0;
	return Received::LINE;
}

bool LineStream::write(const std::string &bytes) const
{
	size_t done = 0;

	while (done < bytes.size()) {
		ssize_t n = send(fd, bytes.data() + done, bytes.size() - done,
				 MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		done += static_cast<size_t>(n);
	}
	return true;
}

Server::Server(Handler handler) : fn(std::move(handler))
{
	reopen();
	acceptor = std::thread([this] { accept_connections(); });
}

Server::~Server()
{
	ends = true;
	close_all();
	acceptor.join();
	while (open_count > 0) {
		reset_connections();
		sleep_us(5 * MS);
	}
}

void Server::reopen()
{
	/* A second listener could not be bound to the address. */
	if (listener < 0)
		listener = listen_at(&addr);
}

void Server::close_all()
{
	int fd = listener.exchange(-1);

	if (fd >= 0)
		close(fd);
	reset_connections();
}

void Server::reset_connections()
{
	std::lock_guard<std::mutex> lock(mutex);

	for (int fd : open)
		shutdown(fd, SHUT_RDWR);
}

void Server::accept_connections()
{
	while (!ends) {
		pollfd p = { listener, POLLIN, 0 };
		int fd;

		if (p.fd < 0) {
			sleep_us(ACCEPT_POLL_MS * MS);
			continue;
		}
		if (poll(&p, 1, ACCEPT_POLL_MS) <= 0 || p.fd != listener)
			continue;
		fd = accept4(p.fd, nullptr, nullptr, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		set_options(fd);
		{
			std::lock_guard<std::mutex> lock(mutex);

			open.insert(fd);
		}
		open_count++;
		std::thread([this, fd] { serve(fd); }).detach();
	}
}

void Server::serve(int fd)
{
	fn(fd);
	{
		std::lock_guard<std::mutex> lock(mutex);

		open.erase(fd);
	}
	close_with_reset(fd);
	open_count--;
}
