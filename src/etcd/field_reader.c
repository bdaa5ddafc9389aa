#include "etcd/field_reader.h"

#include "core/error.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { HEX64_DIGITS = 16, PORT_DIGITS_MAX = 5, PORT_MAX = 65535 };

#define NAME_CHARACTERS              \
	"abcdefghijklmnopqrstuvwxyz" \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZ" \
	"0123456789._-"
#define DIGITS "0123456789"
#define HEX_DIGITS DIGITS "abcdef"

bool field_is_name(const char *text)
{
	size_t n = strlen(text);

	return n > 0 && n < NAME_BYTES && strspn(text, NAME_CHARACTERS) == n;
}

static bool is_port(const char *text)
{
	size_t n = strlen(text);
	long port;

	if (!n || n > PORT_DIGITS_MAX || strspn(text, DIGITS) != n)
		return false;
	port = strtol(text, NULL, 10);
	return port > 0 && port <= PORT_MAX;
}

bool field_is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	unsigned char bytes[sizeof(struct in6_addr)];
	char ip[ADDRESS_BYTES];
	size_t n;

	if (!colon || strlen(text) >= ADDRESS_BYTES || !is_port(colon + 1))
		return false;
	n = colon - text;
	if (n > 2 && text[0] == '[' && text[n - 1] == ']') {
		snprintf(ip, sizeof(ip), "%.*s", (int)n - 2, text + 1);
		return inet_pton(AF_INET6, ip, bytes) == 1;
	}
	snprintf(ip, sizeof(ip), "%.*s", (int)n, text);
	return inet_pton(AF_INET, ip, bytes) == 1;
}

void field_reader_init(struct field_reader *r, const json_t *object,
		       char *reason, size_t reason_size)
{
	memset(r, 0, sizeof(*r));
	r->object = object;
	r->reason = reason;
	r->reason_size = reason_size;
	if (reason_size)
		reason[0] = '\0';
	if (!json_is_object(object)) {
		snprintf(reason, reason_size, "not a JSON object");
		r->rejected = true;
	}
}

void field_reader_reject(struct field_reader *r, const char *field,
			 const char *reason)
{
	if (r->rejected)
		return;
	snprintf(r->reason, r->reason_size, "%s: %s", field, reason);
	r->rejected = true;
}

/* Returns the field's value, or NULL if it is absent or an error was found. */
static const json_t *get_field(struct field_reader *r, const char *field,
			       enum field_presence p)
{
	const json_t *v;

	if (r->rejected)
		return NULL;
	r->known[r->known_count++] = field;
	v = json_object_get(r->object, field);
	if (!v && p == FIELD_REQUIRED)
		field_reader_reject(r, field, "missing");
	return v;
}

void field_read_int(struct field_reader *r, const char *field,
		    enum field_presence p, struct field_range range,
		    int64_t *out)
{
	const json_t *v = get_field(r, field, p);
	int64_t n;

	if (!v)
		return;
	if (!json_is_integer(v)) {
		field_reader_reject(r, field, "not an integer");
		return;
	}
	n = json_integer_value(v);
	if (n < range.min || n > range.max) {
		field_reader_reject(r, field, "out of range");
		return;
	}
	*out = n;
}

void field_read_u32(struct field_reader *r, const char *field,
		    enum field_presence p, struct field_range range,
		    uint32_t *out)
{
	int64_t n = *out;

	field_read_int(r, field, p, range, &n);
	*out = (uint32_t)n;
}

void field_read_bool(struct field_reader *r, const char *field,
		     enum field_presence p, bool *out)
{
	const json_t *v = get_field(r, field, p);

	if (!v)
		return;
	if (!json_is_boolean(v)) {
		field_reader_reject(r, field, "not a boolean");
		return;
	}
	*out = json_is_true(v);
}

/* Returns the field's text, or NULL; a text that contains NULs is rejected. */
static const char *get_text(struct field_reader *r, const char *field,
			    enum field_presence p)
{
	const json_t *v = get_field(r, field, p);

	if (!v)
		return NULL;
	if (!json_is_string(v) ||
	    strlen(json_string_value(v)) != json_string_length(v)) {
		field_reader_reject(r, field, "not a text");
		return NULL;
	}
	return json_string_value(v);
}

void field_read_hex64(struct field_reader *r, const char *field, uint64_t *out)
{
	const char *s = get_text(r, field, FIELD_REQUIRED);

	if (!s)
		return;
	if (strlen(s) != HEX64_DIGITS ||
	    strspn(s, HEX_DIGITS) != HEX64_DIGITS) {
		field_reader_reject(r, field, "not 16 hexadecimal digits");
		return;
	}
	*out = strtoull(s, NULL, 16);
}

void field_read_name_or_empty(struct field_reader *r, const char *field,
			      enum field_presence p, char out[NAME_BYTES])
{
	const char *s = get_text(r, field, p);

	if (!s)
		return;
	if (*s && !field_is_name(s)) {
		field_reader_reject(r, field, "not a name");
		return;
	}
	snprintf(out, NAME_BYTES, "%s", s);
}

void field_read_name(struct field_reader *r, const char *field,
		     enum field_presence p, char out[NAME_BYTES])
{
	field_read_name_or_empty(r, field, p, out);
	if (p == FIELD_REQUIRED && !r->rejected && !out[0])
		field_reader_reject(r, field, "empty");
}

void field_read_address(struct field_reader *r, const char *field,
			char out[ADDRESS_BYTES])
{
	const char *s = get_text(r, field, FIELD_REQUIRED);

	if (!s)
		return;
	if (!field_is_address(s)) {
		field_reader_reject(r, field, "not ip:port");
		return;
	}
	snprintf(out, ADDRESS_BYTES, "%s", s);
}

void field_read_enum(struct field_reader *r, const char *field,
		     enum field_presence p, const char *const *names,
		     uint32_t name_count, uint32_t *out)
{
	const char *s = get_text(r, field, p);

	if (!s)
		return;
	for (uint32_t i = 0; i < name_count; i++) {
		if (!strcmp(s, names[i])) {
			*out = i;
			return;
		}
	}
	field_reader_reject(r, field, "unknown word");
}

const json_t *field_read_array(struct field_reader *r, const char *field,
			       size_t max)
{
	const json_t *v = get_field(r, field, FIELD_REQUIRED);

	if (!v)
		return NULL;
	if (!json_is_array(v)) {
		field_reader_reject(r, field, "not an array");
		return NULL;
	}
	if (json_array_size(v) > max) {
		field_reader_reject(r, field, "too many entries");
		return NULL;
	}
	return v;
}

static bool is_known_field(const struct field_reader *r, const char *field)
{
	for (uint32_t i = 0; i < r->known_count; i++) {
		if (!strcmp(field, r->known[i]))
			return true;
	}
	return false;
}

int32_t field_reader_finish(struct field_reader *r)
{
	const char *field;
	const json_t *v;

	if (r->rejected)
		return ERR_BAD_FIELD;
	json_object_foreach((json_t *)r->object, field, v)
	{
		if (!is_known_field(r, field)) {
			/* Only a valid name is safe to repeat in the reason. */
			field_reader_reject(r,
					    field_is_name(field) ? field :
								   "field",
					    "unknown field");
			return ERR_BAD_FIELD;
		}
	}
	return 0;
}
