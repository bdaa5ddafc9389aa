/* settings_check.h - rules for the values of the settings. */
#ifndef SETTINGS_SETTINGS_CHECK_H
#define SETTINGS_SETTINGS_CHECK_H

#include "settings/settings.h"

/*
 * Each checks one text and returns NULL or the reason why it is refused.
 * A reason never repeats the text, which may be a secret.
 */
const char *settings_check_not_empty(const char *text);
const char *settings_check_name(const char *text);
/* "ip:port" of another process. */
const char *settings_check_address(const char *text);
/* "ip:port" to listen on; port 0 takes any free port. */
const char *settings_check_listen(const char *text);
/* The same, but other instances must be able to connect to the address. */
const char *settings_check_peers(const char *text);
const char *settings_check_prefix(const char *text);
const char *settings_check_token_key(const char *text);
const char *settings_check_operator_key(const char *text);
const char *settings_check_curve_key(const char *text);
const char *settings_check_log_format(const char *text);
const char *settings_check_log_level(const char *text);

/* Values that do not fit together, reported at one field. */
struct settings_conflict {
	const char *section;
	const char *field;
	const char *reason;
};

/* Returns the first conflict, in static storage, or NULL. */
const struct settings_conflict *
settings_find_conflict(const struct settings *s);

#endif
