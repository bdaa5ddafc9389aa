#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <glib.h>
#include <string>
#include <unistd.h>

extern "C" {
#include "base/crash.h"
#include "base/log.h"
}

namespace
{

struct CrashCase {
	const char *name;
	std::function<void()> end;
	int signal;
	const char *message;
};

void end_by_library_error()
{
	const struct log_rate_limit limit = { STDOUT_FILENO, 100 };

	log_setup(LOG_FORMAT_TEXT, LOG_INFO, "i-1");
	log_set_rate_limit(&limit);
	g_error("no memory for that");
}

const CrashCase crash_cases[] = {
	{ "abort", [] { abort(); }, SIGABRT, "SIGABRT at:\n.*abort" },
	{ "bus error", [] { raise(SIGBUS); }, SIGBUS, "SIGBUS at:\n" },
	{ "arithmetic", [] { raise(SIGFPE); }, SIGFPE, "SIGFPE at:\n" },
	/* Log lines are buffered; this one must not be lost with the process. */
	{ "a fatal message of a library", end_by_library_error, SIGTRAP,
	  "zinnialine: no memory for that" },
};

/* A process that ends by a fatal signal says which and where. */
TEST(CrashDeathTest, SaysWhereItEnded)
{
	testing::FLAGS_gtest_death_test_style = "threadsafe";
	for (const CrashCase &k : crash_cases) {
		SCOPED_TRACE(k.name);
		EXPECT_EXIT(
			{
				crash_install();
				k.end();
			},
			testing::KilledBySignal(k.signal), k.message);
	}
}

} // namespace
