#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

extern "C" {
#include "base/log.h"
#include "base/metrics.h"
}

namespace
{

std::string format_metrics(const struct metrics *m)
{
	char *text = metrics_text(m);
	std::string s = text;

	free(text);
	return s;
}

TEST(Metrics, TextHasHelpTypeAndSortedEscapedSamples)
{
	struct metrics *m = metrics_new();

	metrics_add(m, "requests_total", "ran", 2);
	metrics_add(m, "requests_total", "not_run", 1);
	metrics_add(m, "requests_total", "ran", 3);
	metrics_set(m, "pending_requests", nullptr, 4);
	metrics_set(m, "pending_requests", nullptr, -1);
	metrics_add(m, "workspace_admitted_total", "a\"b\\c\nd", 1);
	std::string text = format_metrics(m);

	EXPECT_NE(std::string::npos,
		  text.find("# HELP zinnialine_requests_total Answered "
			    "requests.\n"
			    "# TYPE zinnialine_requests_total counter\n"
			    "zinnialine_requests_total{verdict=\"not_run\"} 1\n"
			    "zinnialine_requests_total{verdict=\"ran\"} 5\n"));
	EXPECT_NE(std::string::npos,
		  text.find("# TYPE zinnialine_pending_requests gauge\n"
			    "zinnialine_pending_requests -1\n"));
	EXPECT_NE(std::string::npos,
		  text.find("{workspace=\"a\\\"b\\\\c\\nd\"} 1\n"));
	metrics_free(m);
}

struct OddLabelCase {
	const char *name;
	std::string label;
	std::string written; /* between the quotes */
};

const OddLabelCase odd_labels[] = {
	{ "line feed", "a\nb 5", "a\\nb 5" },
	{ "quote and brace", "a\"} 9", "a\\\"} 9" },
	{ "backslash, n", "a\\nb", "a\\\\nb" },
	{ "not ASCII", "\xed\x95\x9c", "\xed\x95\x9c" },
	{ "300 kB", std::string(300 * 1000, 'x'),
	  std::string(300 * 1000, 'x') },
};

/*
 * Guards against a label that becomes another line, another value or another
 * label. Names are checked where they are read: they are short words.
 */
TEST(Metrics, AnyLabelIsOneLine)
{
	for (const OddLabelCase &k : odd_labels) {
		struct metrics *m = metrics_new();

		SCOPED_TRACE(k.name);
		metrics_add(m, "workspace_admitted_total", k.label.c_str(), 7);
		EXPECT_NE(std::string::npos,
			  format_metrics(m).find(
				  "\nzinnialine_workspace_admitted_total{"
				  "workspace=\"" +
				  k.written + "\"} 7\n"));
		metrics_free(m);
	}
}

TEST(Metrics, GetReturnsTheValueSet)
{
	struct metrics *m = metrics_new();

	EXPECT_EQ(0, metrics_get(m, "share_ppm", "3"));
	metrics_set(m, "share_ppm", "3", 250000);
	EXPECT_EQ(250000, metrics_get(m, "share_ppm", "3"));
	EXPECT_EQ(0, metrics_get(m, "share_ppm", "4"));
	metrics_free(m);
}

TEST(Metrics, UnregisteredNamesAreLoggedAndDropped)
{
	struct metrics *m = metrics_new();

	log_setup(LOG_FORMAT_TEXT, LOG_INFO, "a-1");
	testing::internal::CaptureStderr();
	metrics_add(m, "no_such_metric", nullptr, 1);
	EXPECT_NE(std::string::npos,
		  testing::internal::GetCapturedStderr().find(
			  "no_such_metric is not in the registry, value "
			  "dropped"));
	EXPECT_EQ(std::string::npos, format_metrics(m).find("no_such_metric"));
	metrics_free(m);
}

} // namespace
