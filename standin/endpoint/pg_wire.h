/* pg_wire.h - decodes and encodes messages of the PostgreSQL protocol. */
#ifndef ENDPOINT_PG_WIRE_H
#define ENDPOINT_PG_WIRE_H

#include "engine.h"

#include <glib.h>

/* Reads a message body. */
struct pg_reader {
	const uint8_t *pos; /* next byte to read */
	const uint8_t *end;
	bool failed; /* the body was too short */
};

int16_t pg_read_int16(struct pg_reader *r);
int32_t pg_read_int32(struct pg_reader *r);
/* Returns a string, which points into the message. */
const char *pg_read_string(struct pg_reader *r);
/* Returns a copy of a value of a Bind message; NULL is an SQL NULL. */
const char *pg_read_value(struct pg_reader *r, apr_pool_t *pool);

/* These append one message to `out`, pg_put_rows() one for each row. */
void pg_put_empty(GByteArray *out, char type);
void pg_put_auth(GByteArray *out, int32_t kind);
void pg_put_parameter_status(GByteArray *out, const char *name,
			     const char *value);
void pg_put_backend_key_data(GByteArray *out, int32_t pid);
void pg_put_ready(GByteArray *out, char status);
void pg_put_error(GByteArray *out, const char *severity,
		  const struct engine_result *e);
void pg_put_row_description(GByteArray *out, const struct engine_result *r);
void pg_put_rows(GByteArray *out, const struct engine_result *r);
void pg_put_complete(GByteArray *out, const char *tag);

#endif
