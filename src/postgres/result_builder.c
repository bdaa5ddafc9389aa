#include "postgres/result_builder.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* Estimate of the quotes and separators around each value. */
enum { VALUE_OVERHEAD_BYTES = 4 };

void result_builder_init(struct result_builder *b, uint32_t max_bytes)
{
	memset(b, 0, sizeof(*b));
	b->max_bytes = max_bytes;
	b->columns = json_array();
	b->rows = json_array();
}

void result_builder_clear(struct result_builder *b)
{
	json_decref(b->columns);
	json_decref(b->rows);
	b->columns = NULL;
	b->rows = NULL;
}

static void add_bytes(struct result_builder *b, uint64_t bytes)
{
	b->bytes += bytes + VALUE_OVERHEAD_BYTES;
	if (b->bytes <= b->max_bytes || b->too_large)
		return;
	b->too_large = true;
	json_array_clear(b->rows);
}

static void add_columns(struct result_builder *b, const PGresult *r)
{
	if (json_array_size(b->columns) > 0)
		return;
	for (int i = 0; i < PQnfields(r); i++) {
		const char *name = PQfname(r, i);

		add_bytes(b, strlen(name));
		json_array_append_new(b->columns, json_string(name));
	}
}

static uint64_t count_row_bytes(const PGresult *r, int row)
{
	uint64_t bytes = 0;

	for (int i = 0; i < PQnfields(r); i++)
		bytes +=
			(uint64_t)PQgetlength(r, row, i) + VALUE_OVERHEAD_BYTES;
	return bytes;
}

static json_t *build_row(const PGresult *r, int row)
{
	json_t *values = json_array();

	for (int i = 0; i < PQnfields(r); i++) {
		json_t *v = PQgetisnull(r, row, i) ?
				    json_null() :
				    json_string(PQgetvalue(r, row, i));

		json_array_append_new(values, v ? v : json_null());
	}
	return values;
}

void result_builder_add(struct result_builder *b, const PGresult *r)
{
	add_columns(b, r);
	for (int row = 0; row < PQntuples(r) && !b->too_large; row++) {
		add_bytes(b, count_row_bytes(r, row));
		if (!b->too_large)
			json_array_append_new(b->rows, build_row(r, row));
	}
}

/* Returns a command tag without its counts: "INSERT" for "INSERT 0 1". */
static json_t *parse_command(const char *tag)
{
	size_t size = strlen(tag);

	while (size > 0 &&
	       (isdigit((unsigned char)tag[size - 1]) || tag[size - 1] == ' '))
		size--;
	return json_stringn(tag, size);
}

json_t *result_builder_finish(struct result_builder *b, const PGresult *last)
{
	const char *count = PQcmdTuples((PGresult *)last);

	return json_pack("{s:o, s:I, s:O, s:O}", "command",
			 parse_command(PQcmdStatus((PGresult *)last)),
			 "rows_affected", (json_int_t)strtoll(count, NULL, 10),
			 "columns", b->columns, "rows", b->rows);
}

json_t *build_error_result(const char *sqlstate, const char *message)
{
	return json_pack("{s:s, s:s}", "sqlstate", sqlstate, "message",
			 message);
}
