/*
 * field_reader.h - strict reading of one JSON object's fields.
 *
 * The first field that is refused is kept; later reads do nothing.
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
	char *why; /* one line on the first refusal; the caller's */
	size_t why_size;
	bool refused;
	uint32_t known_count;
	const char *known[FIELDS_MAX];
};

enum field_presence { FIELD_REQUIRED, FIELD_OPTIONAL };

struct field_range {
	int64_t least;
	int64_t most;
};

/* True if the text is 1 to NAME_BYTES - 1 characters of [A-Za-z0-9._-]. */
bool field_is_name(const char *text);

/* True if the text is "ip:port" or "[ip6]:port", with numbers only. */
bool field_is_address(const char *text);

void field_reader_init(struct field_reader *r, const json_t *object, char *why,
		       size_t why_size);

/* Refuses the whole object for a reason that spans fields. */
void field_refuse(struct field_reader *r, const char *field,
		  const char *reason);

/* An optional field that is absent leaves *out as it is. */
void field_int(struct field_reader *r, const char *field, enum field_presence p,
	       struct field_range range, int64_t *out);
void field_u32(struct field_reader *r, const char *field, enum field_presence p,
	       struct field_range range, uint32_t *out);
void field_bool(struct field_reader *r, const char *field,
		enum field_presence p, bool *out);
/* 16 hexadecimal digits; JSON integers can't hold 64 unsigned bits. */
void field_hex64(struct field_reader *r, const char *field, uint64_t *out);
void field_name(struct field_reader *r, const char *field,
		enum field_presence p, char out[NAME_BYTES]);
/* The same, or "". */
void field_name_or_empty(struct field_reader *r, const char *field,
			 enum field_presence p, char out[NAME_BYTES]);
void field_address(struct field_reader *r, const char *field,
		   char out[ADDRESS_BYTES]);
/* Sets *out to the index of the text in `words`. */
void field_word(struct field_reader *r, const char *field,
		enum field_presence p, const char *const *words,
		uint32_t word_count, uint32_t *out);
/* Returns the array, or NULL if it is refused. */
const json_t *field_array(struct field_reader *r, const char *field,
			  size_t most);

/* Refuses fields that were not read. Returns 0 or ERR_BAD_FIELD. */
int32_t field_reader_finish(struct field_reader *r);

#endif
