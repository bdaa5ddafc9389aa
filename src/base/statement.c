#include "base/statement.h"

#include <glib.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum { FINGERPRINT_BYTES = 32, REAL_DIGITS = 17 };

/* Hashed instead of the length for SQL's NULL; no length has this value. */
static const uint32_t null_marker = UINT32_MAX;

/*
 * Returns the text of a parameter, freed with g_free(), or NULL for SQL's
 * NULL. Sets *ok to false if the parameter has a type that is not supported,
 * or a string contains a NUL.
 */
static char *param_to_text(const json_t *j, bool *ok)
{
	char *number;
	char *copy;

	switch (json_typeof(j)) {
	case JSON_NULL:
		return NULL;
	case JSON_TRUE:
		return g_strdup("true");
	case JSON_FALSE:
		return g_strdup("false");
	case JSON_STRING:
		*ok = strlen(json_string_value(j)) == json_string_length(j);
		return g_strdup(json_string_value(j));
	case JSON_INTEGER:
	case JSON_REAL:
		number = json_dumps(j, JSON_ENCODE_ANY | JSON_REAL_PRECISION(
								 REAL_DIGITS));
		copy = g_strdup(number);
		free(number);
		return copy;
	default:
		*ok = false;
		return NULL;
	}
}

/* Hashes the length too, so that no two lists of texts hash equal bytes. */
static void hash_text(crypto_generichash_state *h, const char *text)
{
	uint32_t size = text ? (uint32_t)strlen(text) : null_marker;

	crypto_generichash_update(h, (const uint8_t *)&size, sizeof(size));
	if (text)
		crypto_generichash_update(h, (const uint8_t *)text, size);
}

static void set_fingerprint(struct statement *s)
{
	crypto_generichash_state h;
	uint8_t digest[FINGERPRINT_BYTES];

	crypto_generichash_init(&h, NULL, 0, sizeof(digest));
	hash_text(&h, s->sql);
	for (uint32_t i = 0; i < s->param_count; i++)
		hash_text(&h, s->params[i]);
	crypto_generichash_final(&h, digest, sizeof(digest));
	sodium_bin2hex(s->fingerprint, sizeof(s->fingerprint), digest,
		       sizeof(digest));
}

static bool set_params(struct statement *s, const json_t *params)
{
	size_t count = json_array_size(params);
	bool ok = true;

	if (params && !json_is_null(params) && !json_is_array(params))
		return false;
	if (count > STATEMENT_PARAMS_MAX)
		return false;
	s->param_count = (uint32_t)count;
	for (size_t i = 0; i < count && ok; i++)
		s->params[i] = param_to_text(json_array_get(params, i), &ok);
	return ok;
}

struct statement *statement_new(const char *sql, const json_t *params)
{
	struct statement *s = g_new0(struct statement, 1);

	s->sql = g_strdup(sql);
	if (!set_params(s, params)) {
		statement_free(s);
		return NULL;
	}
	set_fingerprint(s);
	return s;
}

void statement_free(struct statement *s)
{
	if (!s)
		return;
	for (uint32_t i = 0; i < s->param_count; i++)
		g_free(s->params[i]);
	g_free(s->sql);
	g_free(s);
}
