#include "core/error.h"

#include <stddef.h>

#define ERROR_ROW(name, number, status, slug, title) \
	{ number, status, slug, title },
static const struct error_info errors[] = { ERROR_TABLE(ERROR_ROW) };

const struct error_info *error_info(int32_t number)
{
	size_t n = sizeof(errors) / sizeof(errors[0]);

	for (size_t i = 0; i < n; i++) {
		if (errors[i].number == number)
			return &errors[i];
	}
	return &errors[n - 1];
}

const char *verdict_name(enum verdict v)
{
	switch (v) {
	case VERDICT_NOT_RUN:
		return "not_run";
	case VERDICT_MAY_HAVE_RUN:
		return "may_have_run";
	case VERDICT_RAN:
		return "ran";
	}
	return "may_have_run";
}
