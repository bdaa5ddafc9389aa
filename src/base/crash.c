#include "base/crash.h"

#include <execinfo.h>
#include <signal.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

enum { FRAMES_MAX = 64 };

static const struct {
	int number;
	const char *message;
} fatal_signals[] = {
	{ SIGABRT, "zinnialine: SIGABRT at:\n" },
	{ SIGSEGV, "zinnialine: SIGSEGV at:\n" },
	{ SIGBUS, "zinnialine: SIGBUS at:\n" },
	{ SIGFPE, "zinnialine: SIGFPE at:\n" },
	{ SIGILL, "zinnialine: SIGILL at:\n" },
};

enum { FATAL_SIGNALS = sizeof(fatal_signals) / sizeof(fatal_signals[0]) };

static void on_fatal_signal(int number)
{
	void *frames[FRAMES_MAX];

	for (int i = 0; i < FATAL_SIGNALS; i++) {
		if (fatal_signals[i].number == number)
			(void)!write(STDERR_FILENO, fatal_signals[i].message,
				     strlen(fatal_signals[i].message));
	}
	backtrace_symbols_fd(frames, backtrace(frames, FRAMES_MAX),
			     STDERR_FILENO);
	/* SA_RESETHAND has restored the default action. */
	raise(number);
}

void crash_install(void)
{
	struct sigaction sa = { .sa_handler = on_fatal_signal,
				.sa_flags = SA_RESETHAND };
	void *frame;

	/* The first call loads a library, which a handler must not do. */
	backtrace(&frame, 1);
	for (int i = 0; i < FATAL_SIGNALS; i++)
		sigaction(fatal_signals[i].number, &sa, NULL);
}
