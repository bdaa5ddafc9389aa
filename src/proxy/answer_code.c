#include "proxy/answer_code.h"

struct answer_code_row {
	const char *name;
	enum verdict verdict;
};

#define ANSWER_CODE_ROW(name, slug, verdict) { slug, verdict },
static const struct answer_code_row rows[] = { ANSWER_CODE_TABLE(
	ANSWER_CODE_ROW) };

const char *answer_code_name(enum answer_code code)
{
	return code < ANSWER_CODE_COUNT ? rows[code].name : "unknown";
}

enum verdict answer_code_verdict(enum answer_code code)
{
	return code < ANSWER_CODE_COUNT ? rows[code].verdict :
					  VERDICT_MAY_HAVE_RUN;
}
