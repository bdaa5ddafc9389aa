#include "pg_wire.h"

#include <apr_strings.h>
#include <arpa/inet.h>
#include <string.h>

enum { OID_TEXT = 25 }; /* PostgreSQL's object id of the type text */

static bool have_bytes(struct pg_reader *r, size_t size)
{
	if (!r->failed && (size_t)(r->end - r->pos) >= size)
		return true;
	r->failed = true;
	return false;
}

int16_t pg_read_int16(struct pg_reader *r)
{
	uint16_t n;

	if (!have_bytes(r, sizeof(n)))
		return 0;
	memcpy(&n, r->pos, sizeof(n));
	r->pos += sizeof(n);
	return (int16_t)ntohs(n);
}

int32_t pg_read_int32(struct pg_reader *r)
{
	uint32_t n;

	if (!have_bytes(r, sizeof(n)))
		return 0;
	memcpy(&n, r->pos, sizeof(n));
	r->pos += sizeof(n);
	return (int32_t)ntohl(n);
}

const char *pg_read_string(struct pg_reader *r)
{
	const char *s = (const char *)r->pos;
	const uint8_t *nul = NULL;

	if (!r->failed && r->pos < r->end)
		nul = memchr(r->pos, '\0', (size_t)(r->end - r->pos));
	if (!nul) {
		r->failed = true;
		return "";
	}
	r->pos = nul + 1;
	return s;
}

const char *pg_read_value(struct pg_reader *r, apr_pool_t *pool)
{
	int32_t size = pg_read_int32(r);
	const char *value;

	if (size < 0 || !have_bytes(r, (size_t)size))
		return NULL;
	value = apr_pstrmemdup(pool, (const char *)r->pos, (apr_size_t)size);
	r->pos += size;
	return value;
}

static void put_int16(GByteArray *out, int16_t n)
{
	uint16_t v = htons((uint16_t)n);

	g_byte_array_append(out, (const guint8 *)&v, sizeof(v));
}

static void put_int32(GByteArray *out, int32_t n)
{
	uint32_t v = htonl((uint32_t)n);

	g_byte_array_append(out, (const guint8 *)&v, sizeof(v));
}

static void put_string(GByteArray *out, const char *s)
{
	g_byte_array_append(out, (const guint8 *)s, (guint)strlen(s) + 1);
}

/* Returns the offset of the length field, which finish_message() fills. */
static guint begin_message(GByteArray *out, char type)
{
	guint pos;

	g_byte_array_append(out, (const guint8 *)&type, 1);
	pos = out->len;
	put_int32(out, 0);
	return pos;
}

static void finish_message(GByteArray *out, guint pos)
{
	uint32_t size = htonl(out->len - pos);

	memcpy(out->data + pos, &size, sizeof(size));
}

void pg_put_empty(GByteArray *out, char type)
{
	finish_message(out, begin_message(out, type));
}

void pg_put_auth(GByteArray *out, int32_t kind)
{
	guint pos = begin_message(out, 'R');

	put_int32(out, kind);
	finish_message(out, pos);
}

void pg_put_parameter_status(GByteArray *out, const char *name,
			     const char *value)
{
	guint pos = begin_message(out, 'S');

	put_string(out, name);
	put_string(out, value);
	finish_message(out, pos);
}

void pg_put_backend_key_data(GByteArray *out, int32_t pid)
{
	guint pos = begin_message(out, 'K');

	put_int32(out, pid);
	put_int32(out, 0);
	finish_message(out, pos);
}

void pg_put_ready(GByteArray *out, char status)
{
	guint pos = begin_message(out, 'Z');

	g_byte_array_append(out, (const guint8 *)&status, 1);
	finish_message(out, pos);
}

static void put_field(GByteArray *out, char field, const char *text)
{
	if (!text)
		return;
	g_byte_array_append(out, (const guint8 *)&field, 1);
	put_string(out, text);
}

void pg_put_error(GByteArray *out, const char *severity,
		  const struct engine_result *e)
{
	guint pos = begin_message(out, 'E');

	put_field(out, 'S', severity);
	put_field(out, 'V', severity);
	put_field(out, 'C', e->sqlstate);
	put_field(out, 'M', e->message);
	put_field(out, 'n', e->constraint);
	g_byte_array_append(out, (const guint8 *)"", 1);
	finish_message(out, pos);
}

void pg_put_row_description(GByteArray *out, const struct engine_result *r)
{
	guint pos;

	if (r->column_count == 0) {
		pg_put_empty(out, 'n');
		return;
	}
	pos = begin_message(out, 'T');
	put_int16(out, (int16_t)r->column_count);
	for (uint32_t i = 0; i < r->column_count; i++) {
		put_string(out, r->columns[i]);
		put_int32(out, 0); /* object id of the table; 0: none */
		put_int16(out, 0); /* column number in the table; 0: none */
		put_int32(out, OID_TEXT);
		put_int16(out, -1); /* size of the type; negative: variable */
		put_int32(out, -1); /* type modifier; -1: none */
		put_int16(out, 0); /* text format */
	}
	finish_message(out, pos);
}

static void put_row(GByteArray *out, const struct engine_result *r, guint first)
{
	guint pos = begin_message(out, 'D');

	put_int16(out, (int16_t)r->column_count);
	for (guint i = first; i < first + r->column_count; i++) {
		const char *v = g_ptr_array_index(r->values, i);

		put_int32(out, v ? (int32_t)strlen(v) : -1);
		if (v)
			g_byte_array_append(out, (const guint8 *)v,
					    (guint)strlen(v));
	}
	finish_message(out, pos);
}

void pg_put_rows(GByteArray *out, const struct engine_result *r)
{
	if (r->column_count == 0)
		return;
	for (guint i = 0; i + r->column_count <= r->values->len;
	     i += r->column_count)
		put_row(out, r, i);
}

void pg_put_complete(GByteArray *out, const char *tag)
{
	guint pos = begin_message(out, 'C');

	put_string(out, tag);
	finish_message(out, pos);
}
