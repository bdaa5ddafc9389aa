/*
 * field_reader.h - reads and checks the fields of one JSON object.
 *
 * The reason of the first error is kept; after it, reads do nothing.
 */
#ifndef ETCD_FIELD_READER_H
#define ETCD_FIELD_READER_H

#include "core/sizes.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { FIELDS_MAX = 16 };

struct field_reader {
	const json_t *object;
	char *reason; /* buffer of the caller: the first error, one line */
	size_t reason_size; /* bytes */
	bool rejected; /* an error was found */
	uint32_t known_count;
	const char *known[FIELDS_MAX]; /* names of the fields read so far */
};

enum field_presence { FIELD_REQUIRED, FIELD_OPTIONAL };

struct field_range {
	int64_t min;
	int64_t max;
};

/* Returns true for 1 to NAME_BYTES - 1 characters of [A-Za-z0-9._-]. */
bool field_is_name(const char *text);

/* Returns true for "ip:port" or "[ip6]:port"; host names are not accepted. */
bool field_is_address(const char *text);

void field_reader_init(struct field_reader *r, const json_t *object,
		       char *reason, size_t reason_size);

/*
 * Rejects the object, for instance because two fields contradict each other.
 * Later calls do not change the reason.
 */
void field_reader_reject(struct field_reader *r, const char *field,
			 const char *reason);

/*
 * Read one field each. If an optional field is absent, *out keeps its value. A
 * required field that is absent, or a value of another type or out of range,
 * rejects the object. Both ends of `range` are inclusive.
 */
void field_read_int(struct field_reader *r, const char *field,
		    enum field_presence p, struct field_range range,
		    int64_t *out);
void field_read_u32(struct field_reader *r, const char *field,
		    enum field_presence p, struct field_range range,
		    uint32_t *out);
void field_read_bool(struct field_reader *r, const char *field,
		     enum field_presence p, bool *out);

/*
 * Reads 16 lower-case hexadecimal digits, because a JSON integer cannot hold
 * an unsigned 64-bit number.
 */
void field_read_hex64(struct field_reader *r, const char *field, uint64_t *out);
void field_read_name(struct field_reader *r, const char *field,
		     enum field_presence p, char out[NAME_BYTES]);

/* The same as field_read_name(), but "" is accepted. */
void field_read_name_or_empty(struct field_reader *r, const char *field,
			      enum field_presence p, char out[NAME_BYTES]);
void field_read_address(struct field_reader *r, const char *field,
			char out[ADDRESS_BYTES]);

/* Sets *out to the index of the value in `names`. */
void field_read_enum(struct field_reader *r, const char *field,
		     enum field_presence p, const char *const *names,
		     uint32_t name_count, uint32_t *out);

/* Returns an array of at most `max` elements, or NULL if it is rejected. */
const json_t *field_read_array(struct field_reader *r, const char *field,
			       size_t max);

/*
 * Rejects the object if it has a field that was not read. Returns 0, or
 * ERR_BAD_FIELD if the object was rejected, with the reason in the buffer.
 */
int32_t field_reader_finish(struct field_reader *r);

#endif
