#include "postgres/sql_guard.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

static const char *const forbidden_keywords[] = {
	"abort",    "begin",	  "checkpoint", "close",    "commit",
	"copy",	    "deallocate", "declare",	"discard",  "end",
	"execute",  "fetch",	  "listen",	"load",	    "lock",
	"move",	    "notify",	  "prepare",	"reassign", "release",
	"reset",    "rollback",	  "savepoint",	"set",	    "start",
	"unlisten", "vacuum",	  "do",		"call",
};

static const char *skip_line_comment(const char *p)
{
	return p + strcspn(p, "\n");
}

/* PostgreSQL block comments nest. */
static const char *skip_block_comment(const char *p)
{
	int depth = 0;

	for (; *p; p++) {
		if (strncmp(p, "/*", 2) == 0) {
			depth++;
			p++;
		} else if (strncmp(p, "*/", 2) == 0) {
			p++;
			if (--depth == 0)
				return p + 1;
		}
	}
	return p;
}

static const char *skip_to_keyword(const char *p)
{
	for (;;) {
		if (isspace((unsigned char)*p) || *p == ';' || *p == '(')
			p++;
		else if (strncmp(p, "--", 2) == 0)
			p = skip_line_comment(p);
		else if (strncmp(p, "/*", 2) == 0)
			p = skip_block_comment(p);
		else
			return p;
	}
}

bool sql_guard_allows(const char *sql)
{
	const char *keyword = skip_to_keyword(sql);
	size_t size = 0;

	while (isalnum((unsigned char)keyword[size]) || keyword[size] == '_')
		size++;
	for (size_t i = 0;
	     i < sizeof(forbidden_keywords) / sizeof(forbidden_keywords[0]);
	     i++)
		if (strlen(forbidden_keywords[i]) == size &&
		    strncasecmp(keyword, forbidden_keywords[i], size) == 0)
			return false;
	return true;
}
