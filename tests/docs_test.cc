#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <set>
#include <string>

extern "C" {
#include "base/metrics.h"
#include "core/error.h"
#include "core/log_event.h"

#include <glib.h>
}

namespace
{

/*
 * Returns the first `columns` cells of each row whose first cell begins with
 * `prefix`, or with a digit if `prefix` is "", in the tables of a page.
 * Fails the test for duplicate rows.
 */
std::set<std::string> read_rows(const char *path, const std::string &prefix,
				int columns)
{
	std::ifstream f(path);
	std::set<std::string> rows;
	std::string line;

	while (std::getline(f, line)) {
		std::string row;

		if (line.rfind("| " + prefix, 0) ||
		    (prefix.empty() && !g_ascii_isdigit(line[2])))
			continue;
		g_auto(GStrv) cells =
			g_strsplit(line.c_str() + 2, " | ", columns + 1);
		for (int i = 0; i < columns && cells[i]; i++)
			row += std::string(i ? " | " : "") + cells[i];
		EXPECT_TRUE(rows.insert(row).second) << row;
	}
	return rows;
}

TEST(Docs, EventsPageHasEveryEventAndNoOther)
{
	static const char *const levels[] = { "debug", "info", "warning",
					      "error" };
	std::set<std::string> expected;
	uint32_t count = 0;
	const struct log_event_info *e = log_event_list(&count);

	for (uint32_t i = 0; i < count; i++)
		expected.insert(std::to_string(e[i].number) + " | " +
				e[i].name + " | " + levels[e[i].level] + " | " +
				e[i].text);
	EXPECT_EQ(expected, read_rows("docs/EVENTS.md", "", 4));
}

TEST(Docs, OperatorsPageHasEveryErrorAndNoOther)
{
	std::set<std::string> expected;

#define ERROR_DOC_ROW(name, number, status, slug, title) \
	expected.insert(#number " | " #status " | " slug);
	ERROR_TABLE(ERROR_DOC_ROW)
	EXPECT_EQ(expected, read_rows("docs/OPERATORS.md", "-1", 3));
}

/* Only operators get the errors of configuration changes, callers do not. */
bool is_operator_error(int number)
{
	return number <= ERR_CONFLICT && number >= ERR_NOT_YET;
}

TEST(Docs, CallersPageHasEveryErrorAndNoOther)
{
	std::set<std::string> expected;

#define CALLER_DOC_ROW(name, number, status, slug, title) \
	if (!is_operator_error(number))                   \
		expected.insert(#number " | " #status " | " slug);
	ERROR_TABLE(CALLER_DOC_ROW)
	EXPECT_EQ(expected, read_rows("docs/CALLERS.md", "-1", 3));
}

TEST(Docs, OperatorsPageHasEveryMetricAndNoOther)
{
	struct metrics *m = metrics_new();
	char *text = metrics_text(m);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	std::set<std::string> expected;

	for (int i = 0; lines[i]; i++) {
		g_auto(GStrv) words = g_strsplit(lines[i], " ", 4);

		if (g_str_has_prefix(lines[i], "# TYPE "))
			expected.insert(std::string("`") + words[2] + "`");
	}
	EXPECT_EQ(expected, read_rows("docs/OPERATORS.md", "`zinnialine_", 1));
	free(text);
	metrics_free(m);
}

} // namespace
