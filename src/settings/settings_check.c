#include "settings/settings_check.h"

#include "core/sizes.h"
#include "etcd/field_reader.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <zmq.h>

enum {
	TOKEN_KEY_HEX_DIGITS = 64,
	CURVE_KEY_CHARS = 40,
	OPERATOR_KEY_CHARS_MIN = 16,
	PORT_MAX = 65535,
	PORT_DIGITS_MAX = 5,
	MS_PER_S = 1000,
};

static const char address_error[] = "must be a numeric ip:port";

struct address {
	bool is_wildcard; /* 0.0.0.0 or [::] */
	uint32_t port;
};

static bool parse_ip(const char *ip, struct address *out)
{
	size_t n = strlen(ip);
	struct in_addr v4;
	struct in6_addr v6;
	g_autofree char *inner = NULL;

	if (inet_pton(AF_INET, ip, &v4) == 1) {
		out->is_wildcard = v4.s_addr == INADDR_ANY;
		return true;
	}
	if (n < 2 || ip[0] != '[' || ip[n - 1] != ']')
		return false;
	inner = g_strndup(ip + 1, n - 2);
	if (inet_pton(AF_INET6, inner, &v6) != 1)
		return false;
	out->is_wildcard = IN6_IS_ADDR_UNSPECIFIED(&v6);
	return true;
}

static bool parse_address(const char *text, struct address *out)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *ip = NULL;
	size_t digits;

	if (!colon || strlen(text) >= ADDRESS_BYTES)
		return false;
	digits = strspn(colon + 1, "0123456789");
	if (!digits || digits > PORT_DIGITS_MAX || colon[1 + digits])
		return false;
	out->port = (uint32_t)g_ascii_strtoull(colon + 1, NULL, 10);
	ip = g_strndup(text, (gsize)(colon - text));
	return out->port <= PORT_MAX && parse_ip(ip, out);
}

const char *settings_check_not_empty(const char *text)
{
	return text[0] ? NULL : "must not be empty";
}

const char *settings_check_name(const char *text)
{
	return field_is_name(text) ?
		       NULL :
		       "must be 1 to 47 letters, digits, '.', '_' or '-'";
}

const char *settings_check_address(const char *text)
{
	struct address a = { 0 };

	if (!parse_address(text, &a))
		return address_error;
	if (a.is_wildcard || !a.port)
		return "must not be a wildcard address or port 0";
	return NULL;
}

const char *settings_check_listen(const char *text)
{
	struct address a = { 0 };

	return parse_address(text, &a) ? NULL : address_error;
}

const char *settings_check_peers(const char *text)
{
	struct address a = { 0 };

	if (!parse_address(text, &a))
		return address_error;
	return a.is_wildcard ? "must not be a wildcard address" : NULL;
}

const char *settings_check_relay(const char *text)
{
	return *text ? settings_check_peers(text) : NULL;
}

const char *settings_check_prefix(const char *text)
{
	size_t n = strlen(text);

	if (n < 2 || text[0] != '/' || text[n - 1] != '/')
		return "must begin and end with '/'";
	return NULL;
}

const char *settings_check_token_key(const char *text)
{
	if (strlen(text) != TOKEN_KEY_HEX_DIGITS ||
	    strspn(text, "0123456789abcdefABCDEF") != TOKEN_KEY_HEX_DIGITS)
		return "must be 64 hex digits";
	return NULL;
}

const char *settings_check_operator_key(const char *text)
{
	if (strlen(text) < OPERATOR_KEY_CHARS_MIN)
		return "must have at least 16 characters";
	for (const char *c = text; *c; c++) {
		if (!g_ascii_isgraph(*c))
			return "must be printable ASCII without spaces";
	}
	return NULL;
}

const char *settings_check_curve_key(const char *text)
{
	uint8_t key[32];

	if (strlen(text) != CURVE_KEY_CHARS || !zmq_z85_decode(key, text))
		return "must be 40 characters of Z85";
	return NULL;
}

const char *settings_check_log_format(const char *text)
{
	static const char *const formats[] = { "text", "json", NULL };

	return g_strv_contains(formats, text) ? NULL : "must be text or json";
}

const char *settings_check_log_level(const char *text)
{
	static const char *const levels[] = { "debug", "info", "warning",
					      "error", NULL };

	return g_strv_contains(levels, text) ?
		       NULL :
		       "must be debug, info, warning or error";
}

static bool is_suspect_too_short(const struct settings *s)
{
	return s->endpoints.suspect_ms < 2 * s->endpoints.probe_interval_ms;
}

static bool is_silence_too_short(const struct settings *s)
{
	return s->endpoints.silence_ms < 2 * s->endpoints.probe_interval_ms;
}

static bool is_default_deadline_too_long(const struct settings *s)
{
	return s->callers.deadline_default_ms > s->callers.deadline_max_ms;
}

static bool is_statement_limit_too_large(const struct settings *s)
{
	return s->callers.statement_max_bytes > s->callers.body_max_bytes;
}

static bool is_lease_too_short(const struct settings *s)
{
	return s->platform.lease_s * MS_PER_S < 2 * s->platform.call_timeout_ms;
}

static bool is_curve_key_mismatch(const struct settings *s)
{
	char public[CURVE_KEY_CHARS + 1];

	if (zmq_curve_public(public, s->security.curve_secret))
		return true;
	return strcmp(public, s->security.curve_public) != 0;
}

static bool is_same_address(const char *a, const char *b)
{
	return !g_str_has_suffix(a, ":0") && !strcmp(a, b);
}

static bool has_duplicate_listener(const struct settings *s)
{
	const struct settings_listen *l = &s->listen;

	return is_same_address(l->callers, l->operators) ||
	       is_same_address(l->callers, l->peers) ||
	       is_same_address(l->operators, l->peers);
}

static const struct {
	bool (*is_conflict)(const struct settings *s);
	struct settings_conflict conflict;
} conflicts[] = {
	{ is_suspect_too_short,
	  { "endpoints", "suspect_ms",
	    "must be at least twice probe_interval_ms" } },
	{ is_silence_too_short,
	  { "endpoints", "silence_ms",
	    "must be at least twice probe_interval_ms" } },
	{ is_default_deadline_too_long,
	  { "callers", "deadline_default_ms",
	    "must not exceed deadline_max_ms" } },
	{ is_statement_limit_too_large,
	  { "callers", "statement_max_bytes",
	    "must not exceed body_max_bytes" } },
	{ is_lease_too_short,
	  { "platform", "lease_s", "must be at least twice call_timeout_ms" } },
	{ is_curve_key_mismatch,
	  { "security", "curve_public",
	    "is not the public key of curve_secret" } },
	{ has_duplicate_listener,
	  { "listen", "callers", "each listener needs its own address" } },
};

const struct settings_conflict *settings_find_conflict(const struct settings *s)
{
	for (size_t i = 0; i < G_N_ELEMENTS(conflicts); i++) {
		if (conflicts[i].is_conflict(s))
			return &conflicts[i].conflict;
	}
	return NULL;
}
