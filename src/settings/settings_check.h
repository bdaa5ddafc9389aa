/* settings_check.h - validation of the values in a settings file. */
#ifndef SETTINGS_SETTINGS_CHECK_H
#define SETTINGS_SETTINGS_CHECK_H

#include "settings/settings.h"

/*
 * Each validates one text. Returns NULL, or the reason why it is invalid, in
 * static storage. A reason never contains the text, which may be a secret.
 */
const char *settings_check_not_empty(const char *text);
const char *settings_check_name(const char *text);
/* "ip:port" of another process. */
const char *settings_check_address(const char *text);
/* "ip:port" to listen on; port 0 takes any free port. */
const char *settings_check_listen(const char *text);
/* "ip:port" to listen on; not a wildcard address, as peers connect to it. */
const char *settings_check_peers(const char *text);
/* Likewise, or empty: it does not listen. */
const char *settings_check_relay(const char *text);
/* A key prefix: begins and ends with '/'. */
const char *settings_check_prefix(const char *text);
/* 64 hex digits. */
const char *settings_check_token_key(const char *text);
/* At least 16 printable ASCII characters, no spaces. */
const char *settings_check_operator_key(const char *text);
/* A CURVE key of ZeroMQ, in Z85. */
const char *settings_check_curve_key(const char *text);
const char *settings_check_log_format(const char *text);
const char *settings_check_log_level(const char *text);

/* A conflict between several values, reported for one field. */
struct settings_conflict {
	const char *section;
	const char *field;
	const char *reason;
};

/* Returns the first conflict, in static storage, or NULL if there is none. */
const struct settings_conflict *
settings_find_conflict(const struct settings *s);

#endif
