#include "link.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

const int POLL_MS = 10;
/* An endpoint drops a connection whose far end is dark after this. */
const int64_t DARK_CONNECTION_US = 3 * SECOND;

} // namespace

Link::Link(Address to)
    : target(std::move(to)), server([this](int fd) { forward(fd); })
{
}

/* Returns false when the connection has ended. */
bool Link::move_bytes(int from, int to) const
{
	char buf[16384];
	ssize_t n = recv(from, buf, sizeof(buf), MSG_DONTWAIT);

	if (n <= 0)
		return n < 0 && errno == EAGAIN;
	sleep_us(delay_us);
	return LineStream(to).write(std::string(buf, static_cast<size_t>(n)));
}

void Link::forward(int caller)
{
	int64_t opened_us = now_us();
	int fd = connect_to(target, SECOND);
	bool alive = fd >= 0;

	while (alive && silenced_us < opened_us) {
		bool up = !silent_to_target;
		bool down = !silent_to_caller;
		pollfd p[2] = {
			{ caller, static_cast<short>(up ? POLLIN : 0), 0 },
			{ fd, static_cast<short>(down ? POLLIN : 0), 0 }
		};

		poll(p, 2, POLL_MS);
		if ((up && p[0].revents && !move_bytes(caller, fd)) ||
		    (down && p[1].revents && !move_bytes(fd, caller)))
			alive = false;
		if ((!up && p[0].revents) || (!down && p[1].revents))
			sleep_us(POLL_MS * MS);
	}
	if (alive) {
		/* Silenced for good: only the caller can end it. */
		pollfd p = { caller, POLLRDHUP, 0 };

		sleep_us(DARK_CONNECTION_US);
		poll(&p, 1, static_cast<int>(DARK_CONNECTION_US * 3 / MS));
	}
	if (fd >= 0)
		close_with_reset(fd);
}
