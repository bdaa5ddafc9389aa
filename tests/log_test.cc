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
