#include "serve/signals.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

/* Signal handlers take no user data, so the pipe is per process. */
static int signal_pipe[2];
static const struct signal_ops *signal_ops;

static void on_signal(int number)
{
	int saved = errno;
	char byte = (char)number;

	(void)!write(signal_pipe[1], &byte, 1);
	errno = saved;
}

static void on_signal_pipe(void *data, int events)
{
	char byte = 0;

	if (read(signal_pipe[0], &byte, 1) != 1)
		return;
	if (byte == SIGHUP)
		signal_ops->on_reload(data);
	else
		signal_ops->on_stop(data);
}

int signals_watch(struct loop *l, const struct signal_ops *ops, void *data)
{
	struct sigaction sa = { .sa_handler = on_signal };

	if (pipe2(signal_pipe, O_CLOEXEC | O_NONBLOCK))
		return -errno;
	signal_ops = ops;
	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	if (ops->on_reload)
		sigaction(SIGHUP, &sa, NULL);
	signal(SIGPIPE, SIG_IGN);
	return loop_watch(l, signal_pipe[0], LOOP_READ, on_signal_pipe, data);
}
