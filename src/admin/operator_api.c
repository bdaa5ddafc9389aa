#include "admin/operator_api.h"

#include "admin/entry_json.h"
#include "base/log.h"
#include "etcd/field_reader.h"
#include "etcd/record_codec.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>

enum {
	PATH_PARTS_MAX = 4,
	WILDCARDS_MAX = 2,
	REASON_BYTES = 160,
	ANY_REVISION = -1,
	DIGEST_HEX_DIGITS = 2 * DIGEST_BYTES,
	DIGEST_LOG_DIGITS = 8,
};

#define PATH_PREFIX "/v1/"

struct operator_api {
	struct operator_api_opts opts;
	GHashTable *changes; /* set of owned struct change, in progress */
};

/* A change that waits for the response of the key-value service. */
struct change {
	struct operator_api *api;
	uint64_t operator_id;
	bool deleted;
	struct record record;
};

/* A request of an operator. */
struct call {
	uint64_t operator_id; /* identifies the request to the listener */
	const char *names[WILDCARDS_MAX]; /* path parts that matched "*" */
	const json_t *body; /* may be NULL */
	const struct route *route;
};

struct route {
	const char *pattern; /* path after /v1/; "*" matches one part */
	void (*run)(struct operator_api *a, const struct call *c);
	enum operator_method method;
	enum record_kind kind; /* RECORD_KIND_COUNT: not about records */
};

static void send_reply(struct operator_api *a, uint64_t operator_id,
		       int32_t error, json_t *body)
{
	a->opts.reply(a->opts.data, operator_id, error, body);
}

/* Replies with an error and a text that explains it. */
static void reply_error(struct operator_api *a, const struct call *c,
			int32_t error, const char *detail)
{
	send_reply(a, c->operator_id, error,
		   json_pack("{s:s}", "detail", detail));
}

static void run_list(struct operator_api *a, const struct call *c)
{
	json_t *entries = entry_list_to_json(a->opts.records, c->route->kind,
					     c->names[0]);

	send_reply(a, c->operator_id, ERR_NONE,
		   json_pack("{s:o}", "entries", entries));
}

/* Parses the hex digits of a key's digest. Returns false if they are bad. */
static bool parse_digest(const char *hex, uint8_t *digest)
{
	size_t size = 0;

	return strlen(hex) == DIGEST_HEX_DIGITS &&
	       !sodium_hex2bin(digest, DIGEST_BYTES, hex, strlen(hex), NULL,
			       &size, NULL) &&
	       size == DIGEST_BYTES;
}

/*
 * Sets kind and name of *r from the path and clears its other fields.
 * Returns false if a name is invalid.
 */
static bool init_record_from_path(const struct call *c, struct record *r)
{
	memset(r, 0, sizeof(*r));
	r->kind = c->route->kind;
	if (r->kind == RECORD_KEY)
		return parse_digest(c->names[0], r->key.digest);
	if (!field_is_name(c->names[0]))
		return false;
	if (r->kind == RECORD_PROFILE)
		g_strlcpy(r->profile.name, c->names[0], NAME_BYTES);
	if (r->kind == RECORD_WORKSPACE)
		g_strlcpy(r->workspace.name, c->names[0], NAME_BYTES);
	if (r->kind != RECORD_ENDPOINT)
		return true;
	if (!field_is_name(c->names[1]))
		return false;
	g_strlcpy(r->endpoint.group, c->names[0], NAME_BYTES);
	g_strlcpy(r->endpoint.name, c->names[1], NAME_BYTES);
	return true;
}

static const struct record *find_stored(const struct operator_api *a,
					const struct record *r)
{
	char name[RECORD_NAME_BYTES];

	record_format_name(r, name, sizeof(name));
	return record_store_find(a->opts.records, r->kind, name);
}

static void run_show(struct operator_api *a, const struct call *c)
{
	struct record r;
	const struct record *stored;

	if (!init_record_from_path(c, &r)) {
		reply_error(a, c, ERR_BAD_FIELD,
			    "the name in the path is invalid");
		return;
	}
	stored = find_stored(a, &r);
	if (!stored)
		send_reply(a, c->operator_id, ERR_NOT_FOUND, NULL);
	else
		send_reply(a, c->operator_id, ERR_NONE, entry_to_json(stored));
}

static void log_change(const struct change *ch, int64_t revision)
{
	static const char *const kinds[RECORD_KIND_COUNT] = {
		[RECORD_PROFILE] = "profile",
		[RECORD_WORKSPACE] = "workspace",
		[RECORD_KEY] = "key",
		[RECORD_ENDPOINT] = "endpoint",
	};
	char name[RECORD_NAME_BYTES];

	record_format_name(&ch->record, name, sizeof(name));
	if (ch->record.kind == RECORD_KEY)
		name[DIGEST_LOG_DIGITS] = '\0';
	log_event(LOG_CONFIG_CHANGED, name, revision, "%s %s",
		  ch->deleted ? "delete" : "put", kinds[ch->record.kind]);
}

static void reply_applied(struct change *ch, int64_t revision)
{
	ch->record.revision = revision;
	log_change(ch, revision);
	if (ch->deleted)
		send_reply(ch->api, ch->operator_id, ERR_NONE,
			   json_pack("{s:I}", "revision",
				     (json_int_t)revision));
	else
		send_reply(ch->api, ch->operator_id, ERR_NONE,
			   entry_to_json(&ch->record));
}

static void reply_refused(struct change *ch, int64_t revision,
			  const struct record *current)
{
	if (ch->deleted && !current)
		send_reply(ch->api, ch->operator_id, ERR_NOT_FOUND, NULL);
	else
		send_reply(ch->api, ch->operator_id, ERR_CONFLICT,
			   entry_conflict_to_json(revision, current));
}

static void on_change_done(void *data, enum platform_outcome outcome,
			   int64_t revision, const struct record *current)
{
	struct change *ch = data;

	switch (outcome) {
	case PLATFORM_APPLIED:
		reply_applied(ch, revision);
		break;
	case PLATFORM_REFUSED:
		reply_refused(ch, revision, current);
		break;
	case PLATFORM_UNKNOWN:
		send_reply(ch->api, ch->operator_id, ERR_PLATFORM_UNKNOWN,
			   NULL);
		break;
	}
	g_hash_table_remove(ch->api->changes, ch);
}

static void start_change(struct operator_api *a, const struct call *c,
			 const struct record *r, bool deleted, int64_t expected)
{
	struct change *ch;
	int32_t error = a->opts.check_writable(a->opts.data);

	if (!error && r->kind == RECORD_ENDPOINT)
		error = a->opts.check_endpoint(a->opts.data, &r->endpoint,
					       deleted);
	if (error) {
		send_reply(a, c->operator_id, error, NULL);
		return;
	}
	ch = g_new0(struct change, 1);
	ch->api = a;
	ch->operator_id = c->operator_id;
	ch->deleted = deleted;
	ch->record = *r;
	g_hash_table_add(a->changes, ch);
	a->opts.change(a->opts.data, &ch->record, deleted, expected,
		       on_change_done, ch);
}

/*
 * Reads name and expected revision of a change; its fields are left to the
 * caller. If the name or the body is invalid, replies and returns false.
 */
static bool read_change(struct operator_api *a, const struct call *c,
			struct record *r, int64_t *expected)
{
	const char *key;
	json_t *value;

	*expected = ANY_REVISION;
	if (!init_record_from_path(c, r)) {
		reply_error(a, c, ERR_BAD_FIELD,
			    "the name in the path is invalid");
		return false;
	}
	if (!c->body)
		return true;
	if (!json_is_object(c->body)) {
		reply_error(a, c, ERR_BAD_FIELD, "the body must be an object");
		return false;
	}
	json_object_foreach((json_t *)c->body, key, value)
	{
		if (!strcmp(key, "fields"))
			continue;
		if (strcmp(key, "revision") != 0) {
			reply_error(a, c, ERR_BAD_FIELD,
				    "only revision and fields are known");
			return false;
		}
		if (!json_is_integer(value) || json_integer_value(value) < 0) {
			reply_error(a, c, ERR_BAD_FIELD,
				    "revision must be a number from 0");
			return false;
		}
		*expected = json_integer_value(value);
	}
	return true;
}

static void run_put(struct operator_api *a, const struct call *c)
{
	struct record r;
	char reason[REASON_BYTES] = "";
	int64_t expected;
	int32_t error;
	const json_t *fields;

	if (!read_change(a, c, &r, &expected))
		return;
	fields = json_object_get(c->body, "fields");
	if (!json_is_object(fields)) {
		reply_error(a, c, ERR_BAD_FIELD, "fields must be an object");
		return;
	}
	error = record_from_json(fields, &r, reason, sizeof(reason));
	if (error)
		reply_error(a, c, error, reason);
	else
		start_change(a, c, &r, false, expected);
}

static void run_delete(struct operator_api *a, const struct call *c)
{
	struct record r;
	int64_t expected;

	if (read_change(a, c, &r, &expected))
		start_change(a, c, &r, true, expected);
}

static void run_groups(struct operator_api *a, const struct call *c)
{
	json_t *groups = group_list_to_json(a->opts.records);

	send_reply(a, c->operator_id, ERR_NONE,
		   json_pack("{s:o}", "groups", groups));
}

static void run_group(struct operator_api *a, const struct call *c)
{
	json_t *j = group_to_json(a->opts.records, c->names[0]);

	if (json_array_size(json_object_get(j, "endpoints")) ||
	    json_integer_value(json_object_get(j, "term"))) {
		send_reply(a, c->operator_id, ERR_NONE, j);
		return;
	}
	json_decref(j);
	send_reply(a, c->operator_id, ERR_NOT_FOUND, NULL);
}

static void run_status(struct operator_api *a, const struct call *c)
{
	send_reply(a, c->operator_id, ERR_NONE, a->opts.status(a->opts.data));
}

static void run_config_status(struct operator_api *a, const struct call *c)
{
	send_reply(a, c->operator_id, ERR_NONE,
		   a->opts.config_status(a->opts.data));
}

static void run_drain(struct operator_api *a, const struct call *c)
{
	a->opts.drain(a->opts.data);
	send_reply(a, c->operator_id, ERR_NONE,
		   json_pack("{s:b}", "draining", 1));
}

static const struct route routes[] = {
	{ "profiles", run_list, OPERATOR_GET, RECORD_PROFILE },
	{ "profiles/*", run_show, OPERATOR_GET, RECORD_PROFILE },
	{ "profiles/*", run_put, OPERATOR_PUT, RECORD_PROFILE },
	{ "profiles/*", run_delete, OPERATOR_DELETE, RECORD_PROFILE },
	{ "workspaces", run_list, OPERATOR_GET, RECORD_WORKSPACE },
	{ "workspaces/*", run_show, OPERATOR_GET, RECORD_WORKSPACE },
	{ "workspaces/*", run_put, OPERATOR_PUT, RECORD_WORKSPACE },
	{ "workspaces/*", run_delete, OPERATOR_DELETE, RECORD_WORKSPACE },
	{ "keys", run_list, OPERATOR_GET, RECORD_KEY },
	{ "keys/*", run_show, OPERATOR_GET, RECORD_KEY },
	{ "keys/*", run_put, OPERATOR_PUT, RECORD_KEY },
	{ "keys/*", run_delete, OPERATOR_DELETE, RECORD_KEY },
	{ "groups", run_groups, OPERATOR_GET, RECORD_TERM },
	{ "groups/*", run_group, OPERATOR_GET, RECORD_TERM },
	{ "groups/*/endpoints", run_list, OPERATOR_GET, RECORD_ENDPOINT },
	{ "groups/*/endpoints/*", run_show, OPERATOR_GET, RECORD_ENDPOINT },
	{ "groups/*/endpoints/*", run_put, OPERATOR_PUT, RECORD_ENDPOINT },
	{ "groups/*/endpoints/*", run_delete, OPERATOR_DELETE,
	  RECORD_ENDPOINT },
	{ "status", run_status, OPERATOR_GET, RECORD_KIND_COUNT },
	{ "config/status", run_config_status, OPERATOR_GET, RECORD_KIND_COUNT },
	{ "drain", run_drain, OPERATOR_POST, RECORD_KIND_COUNT },
};

/*
 * Compares the path with a pattern part by part, and sets c->names to the
 * parts that matched "*".
 */
static bool match_path(const char *pattern, char **parts, struct call *c)
{
	g_auto(GStrv) pattern_parts = g_strsplit(pattern, "/", -1);
	size_t names = 0;
	size_t i;

	memset(c->names, 0, sizeof(c->names));
	for (i = 0; pattern_parts[i] && parts[i]; i++) {
		if (!strcmp(pattern_parts[i], "*"))
			c->names[names++] = parts[i];
		else if (strcmp(pattern_parts[i], parts[i]) != 0)
			return false;
	}
	return !pattern_parts[i] && !parts[i];
}

static const struct route *find_route(enum operator_method method, char **parts,
				      struct call *c)
{
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (routes[i].method == method &&
		    match_path(routes[i].pattern, parts, c))
			return &routes[i];
	}
	return NULL;
}

struct operator_api *operator_api_new(const struct operator_api_opts *opts)
{
	struct operator_api *a = g_new0(struct operator_api, 1);

	a->opts = *opts;
	a->changes = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	return a;
}

void operator_api_free(struct operator_api *a)
{
	g_hash_table_destroy(a->changes);
	g_free(a);
}

void operator_api_request(void *data, uint64_t operator_id,
			  enum operator_method method, const char *path,
			  const json_t *body)
{
	struct operator_api *a = data;
	struct call c = { .operator_id = operator_id, .body = body };
	g_auto(GStrv) parts = NULL;

	if (g_str_has_prefix(path, PATH_PREFIX)) {
		parts = g_strsplit(path + strlen(PATH_PREFIX), "/",
				   PATH_PARTS_MAX + 1);
		c.route = find_route(method, parts, &c);
	}
	if (c.route)
		c.route->run(a, &c);
	else
		send_reply(a, operator_id, ERR_NO_ROUTE, NULL);
}
