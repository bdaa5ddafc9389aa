#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "base/log.h"

#include <glib.h>
#include <jansson.h>
}

namespace
{

/* Returns the line written for an entry, "" if none is written. */
std::string capture_entry(const struct log_entry &e)
{
	testing::internal::CaptureStderr();
	log_entry_write(&e);
	return testing::internal::GetCapturedStderr();
}

struct log_entry make_entry(int32_t number, const char *subject,
			    const char *text)
{
	struct log_entry e = {};

	e.number = number;
	e.caller_id = 7;
	e.value = -3;
	snprintf(e.subject, sizeof(e.subject), "%s", subject);
	snprintf(e.text, sizeof(e.text), "%s", text);
	return e;
}

TEST(Log, TextLine)
{
	log_setup(LOG_FORMAT_TEXT, LOG_INFO, "a-1");
	std::string line =
		capture_entry(make_entry(LOG_ROUTED, "stock", "say \"x\"\n"));

	EXPECT_TRUE(g_regex_match_simple(
		"^\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{6}Z info 200 "
		"ROUTED message=\"request routed\" instance=\"a-1\" caller=7 "
		"subject=\"stock\" value=-3 text=\"say \\\\\"x\\\\\"\\\\n\"\n$",
		line.c_str(), G_REGEX_DEFAULT, G_REGEX_MATCH_DEFAULT))
		<< line;
}

TEST(Log, JsonLine)
{
	log_setup(LOG_FORMAT_JSON, LOG_INFO, "a-1");
	std::string line =
		capture_entry(make_entry(LOG_REFUSED, "w", "cut \xc3"));
	json_t *j = json_loads(line.c_str(), 0, nullptr);

	ASSERT_NE(nullptr, j) << line;
	EXPECT_EQ('\n', line.back());
	EXPECT_EQ(201, json_integer_value(json_object_get(j, "event")));
	EXPECT_STREQ("REFUSED", json_string_value(json_object_get(j, "name")));
	EXPECT_STREQ("info", json_string_value(json_object_get(j, "level")));
	EXPECT_STREQ("a-1", json_string_value(json_object_get(j, "instance")));
	EXPECT_STREQ("w", json_string_value(json_object_get(j, "subject")));
	EXPECT_EQ(-3, json_integer_value(json_object_get(j, "value")));
	EXPECT_STREQ("cut \xef\xbf\xbd",
		     json_string_value(json_object_get(j, "text")));
	EXPECT_NE(nullptr, json_object_get(j, "time"));
	json_decref(j);
}

struct OddTextCase {
	const char *name;
	std::string text;
};

const OddTextCase odd_texts[] = {
	{ "line feed", "a\n2026-12-06T00:00:00.000000Z info 100 STARTED" },
	{ "carriage return", "a\rb" },
	{ "line end", "a\r\nb\r\n" },
	{ "quotes", "a\" caller=9 text=\"b" },
	{ "backslash at the end", "a\\" },
	{ "control characters", "a\x01\x0b\x0c\x1b[2J\x7f" },
	{ "NUL", std::string("a\0b", 3) },
	{ "separators of other alphabets", "a\xe2\x80\xa8"
					   "b\xc2\x85"
					   "c" },
	{ "not UTF-8", "a\xff\xfe\xc3" },
	{ "format", "%s%n%1000000d" },
	{ "300 kB", std::string(300 * 1000, 'x') },
	{ "300 kB of control characters", std::string(300 * 1000, '\x01') },
	{ "300 kB of three bytes each",
	  [] {
		  std::string s;

		  for (int i = 0; i < 100 * 1000; i++)
			  s += "\xed\x95\x9c";
		  return s;
	  }() },
};

/*
 * Guards against a text of callers, endpoints or the store that becomes another
 * line or field of the log, or fills it.
 */
TEST(Log, AnyTextIsOneBoundedLine)
{
	for (enum log_format format : { LOG_FORMAT_TEXT, LOG_FORMAT_JSON }) {
		log_setup(format, LOG_INFO, "a-1");
		for (const OddTextCase &k : odd_texts) {
			SCOPED_TRACE(k.name);
			testing::internal::CaptureStderr();
			log_event(LOG_STATEMENT_FAILED, k.text.c_str(), 1, "%s",
				  k.text.c_str());
			std::string line =
				testing::internal::GetCapturedStderr();

			ASSERT_FALSE(line.empty());
			EXPECT_LT(line.size(), 2048u);
			EXPECT_EQ(line.size() - 1,
				  line.find_first_of("\r\n\v\f\x1b"));
			if (format == LOG_FORMAT_TEXT)
				continue;
			json_t *j = json_loads(line.c_str(),
					       JSON_REJECT_DUPLICATES, nullptr);
			EXPECT_NE(nullptr, j);
			json_decref(j);
		}
	}
}

TEST(Log, LevelsBelowTheMinimumAreNotWritten)
{
	log_setup(LOG_FORMAT_TEXT, LOG_WARNING, "a-1");
	EXPECT_EQ("", capture_entry(make_entry(LOG_ROUTED, "", "")));
	EXPECT_NE("", capture_entry(make_entry(LOG_KEYS_UNCONFIRMED, "", "")));
	EXPECT_NE("", capture_entry(make_entry(LOG_INTERNAL_ERROR, "", "")));
	testing::internal::CaptureStderr();
	log_event(LOG_PEER_DOWN, "b-1", 4, "silent for %d ms", 900);
	std::string line = testing::internal::GetCapturedStderr();
	EXPECT_NE(std::string::npos, line.find("subject=\"b-1\" value=4 "
					       "text=\"silent for 900 ms\""));
}

TEST(Log, LibraryMessagesAreWritten)
{
	log_setup(LOG_FORMAT_TEXT, LOG_INFO, "a-1");
	testing::internal::CaptureStderr();
	g_log("GLib", G_LOG_LEVEL_WARNING, "odd");
	EXPECT_NE(std::string::npos,
		  testing::internal::GetCapturedStderr().find(
			  "warning 0 LIBRARY message=\"odd\""));
}

} // namespace
