#include "cli/entry_command.h"

#include "cli/change.h"
#include "cli/command.h"
#include "cli/output.h"
#include "etcd/field_reader.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

int entry_list(struct cli *x, const char *path)
{
	struct client_response resp;
	int rc;

	client_call(x->client, "GET", path, NULL, &resp);
	rc = resp.exit_code;
	if (rc != EXIT_OK)
		output_failure(&resp);
	else if (x->options.json)
		output_json(stdout, resp.body);
	else
		output_entries(stdout, json_object_get(resp.body, "entries"));
	client_response_clear(&resp);
	return rc;
}

int entry_show(struct cli *x, const char *path)
{
	struct client_response resp;
	int rc;

	client_call(x->client, "GET", path, NULL, &resp);
	rc = resp.exit_code;
	if (rc != EXIT_OK)
		output_failure(&resp);
	else if (x->options.json)
		output_json(stdout, resp.body);
	else
		output_entry(stdout, resp.body);
	client_response_clear(&resp);
	return rc;
}

/* Parses a value as JSON; a text that is not JSON becomes a string. */
static json_t *parse_value(const char *text)
{
	json_t *j = json_loads(text, JSON_DECODE_ANY, NULL);

	return j ? j : json_string(text);
}

/* Sets a field from "FIELD=VALUE". Returns false with a message printed. */
static bool set_field(json_t *fields, const char *assignment)
{
	const char *equals = strchr(assignment, '=');
	g_autofree char *name = NULL;

	if (!equals || equals == assignment) {
		fprintf(stderr,
			"zinnialine: argument '%s' is not FIELD=VALUE\n",
			assignment);
		return false;
	}
	name = g_strndup(assignment, (gsize)(equals - assignment));
	return !json_object_set_new(fields, name, parse_value(equals + 1));
}

/* Returns a new object, empty if there is no entry. */
static json_t *copy_fields(const json_t *entry)
{
	const json_t *fields = json_object_get(entry, "fields");

	return fields ? json_copy((json_t *)fields) : json_object();
}

int entry_set(struct cli *x, const char *path, char *const *assignments,
	      int count)
{
	json_t *entry;
	json_t *fields;
	int64_t revision;
	int rc = change_read_entry(x, path, &entry);

	if (rc != EXIT_OK)
		return rc;
	revision = change_expected_revision(x, entry);
	fields = copy_fields(entry);
	json_decref(entry);
	for (int i = 0; i < count; i++) {
		if (!set_field(fields, assignments[i])) {
			json_decref(fields);
			return EXIT_USAGE;
		}
	}
	return change_put(x, path, revision, fields);
}

int entry_delete(struct cli *x, const char *path)
{
	json_t *entry;
	int64_t revision;
	int rc = change_read_entry(x, path, &entry);

	if (rc != EXIT_OK)
		return rc;
	if (!entry && x->options.revision == NO_REVISION) {
		fprintf(stderr, "zinnialine: no such entry\n");
		return EXIT_REFUSED;
	}
	revision = change_expected_revision(x, entry);
	json_decref(entry);
	return change_delete(x, path, revision);
}

/*
 * Returns "/v1/COLLECTION/NAME", where the noun's data is the collection,
 * or NULL with a message printed.
 */
static char *make_entry_path(const struct cli *x, const char *name)
{
	if (field_is_name(name))
		return g_strdup_printf("/v1/%s/%s", (const char *)x->noun->data,
				       name);
	fprintf(stderr, "zinnialine: '%s' is not a valid name\n", name);
	return NULL;
}

/*
 * Returns the path of the endpoint "GROUP/NAME", or NULL with a message
 * printed.
 */
static char *make_endpoint_path(const struct cli *x, const char *name)
{
	g_auto(GStrv) parts = g_strsplit(name, "/", -1);

	if (g_strv_length(parts) == 2 && field_is_name(parts[0]) &&
	    field_is_name(parts[1]))
		return g_strdup_printf("/v1/groups/%s/endpoints/%s", parts[0],
				       parts[1]);
	fprintf(stderr, "zinnialine: '%s' is not GROUP/NAME\n", name);
	return NULL;
}

/* profile and workspace */

static int run_list(struct cli *x)
{
	g_autofree char *path =
		g_strdup_printf("/v1/%s", (const char *)x->noun->data);

	return entry_list(x, path);
}

static int run_show(struct cli *x)
{
	g_autofree char *path = make_entry_path(x, x->args[0]);

	return path ? entry_show(x, path) : EXIT_USAGE;
}

static int run_set(struct cli *x)
{
	g_autofree char *path = make_entry_path(x, x->args[0]);

	if (!path)
		return EXIT_USAGE;
	return entry_set(x, path, x->args + 1, x->arg_count - 1);
}

static int run_delete(struct cli *x)
{
	g_autofree char *path = make_entry_path(x, x->args[0]);

	return path ? entry_delete(x, path) : EXIT_USAGE;
}

static const struct verb named_verbs[] = {
	{ "list", "", "Print all entries", 0, 0, false, run_list },
	{ "show", "NAME", "Print one entry", 1, 1, false, run_show },
	{ "set", "NAME FIELD=VALUE...",
	  "Create or change an entry; fields not given keep their values", 2,
	  VERB_ARGS_MAX, false, run_set },
	{ "delete", "NAME", "Delete an entry", 1, 1, false, run_delete },
	{ 0 },
};

static const struct noun profile_noun = {
	.name = "profile",
	.summary = "Manage the profiles that requests select by name.",
	.verbs = named_verbs,
	.options = NOUN_OPTS_CHANGE,
	.data = "profiles",
};

static const struct noun workspace_noun = {
	.name = "workspace",
	.summary = "Manage workspaces and their limits.",
	.verbs = named_verbs,
	.options = NOUN_OPTS_CHANGE,
	.data = "workspaces",
};

int profile_command(int argc, char **argv)
{
	return noun_run(&profile_noun, argc, argv);
}

int workspace_command(int argc, char **argv)
{
	return noun_run(&workspace_noun, argc, argv);
}

/* endpoint */

static int run_endpoint_list(struct cli *x)
{
	g_autofree char *path = NULL;

	if (!field_is_name(x->args[0]))
		return EXIT_USAGE;
	path = g_strdup_printf("/v1/groups/%s/endpoints", x->args[0]);
	return entry_list(x, path);
}

static int run_endpoint_show(struct cli *x)
{
	g_autofree char *path = make_endpoint_path(x, x->args[0]);

	return path ? entry_show(x, path) : EXIT_USAGE;
}

static int run_endpoint_set(struct cli *x)
{
	g_autofree char *path = make_endpoint_path(x, x->args[0]);

	if (!path)
		return EXIT_USAGE;
	return entry_set(x, path, x->args + 1, x->arg_count - 1);
}

static int run_endpoint_delete(struct cli *x)
{
	g_autofree char *path = make_endpoint_path(x, x->args[0]);

	return path ? entry_delete(x, path) : EXIT_USAGE;
}

/* Changes the state of an existing endpoint. Returns an exit code. */
static int set_endpoint_state(struct cli *x, const char *assignment)
{
	char *const assignments[] = { (char *)assignment };
	g_autofree char *path = make_endpoint_path(x, x->args[0]);
	json_t *entry;
	int rc;

	if (!path)
		return EXIT_USAGE;
	rc = change_read_entry(x, path, &entry);
	if (rc != EXIT_OK)
		return rc;
	if (!entry) {
		fprintf(stderr, "zinnialine: no such endpoint\n");
		return EXIT_REFUSED;
	}
	json_decref(entry);
	return entry_set(x, path, assignments, 1);
}

static int run_endpoint_leave(struct cli *x)
{
	return set_endpoint_state(x, "state=leaving");
}

static int run_endpoint_return(struct cli *x)
{
	return set_endpoint_state(x, "state=live");
}

static const struct verb endpoint_verbs[] = {
	{ "list", "GROUP", "Print the endpoints of a database group", 1, 1,
	  false, run_endpoint_list },
	{ "show", "GROUP/NAME", "Print one endpoint", 1, 1, false,
	  run_endpoint_show },
	{ "set", "GROUP/NAME FIELD=VALUE...",
	  "Create or change an endpoint; fields not given keep their values", 2,
	  VERB_ARGS_MAX, false, run_endpoint_set },
	{ "delete", "GROUP/NAME", "Delete an endpoint", 1, 1, false,
	  run_endpoint_delete },
	{ "leave", "GROUP/NAME", "Stop sending new requests to an endpoint", 1,
	  1, false, run_endpoint_leave },
	{ "return", "GROUP/NAME",
	  "Resume sending requests to a leaving endpoint", 1, 1, false,
	  run_endpoint_return },
	{ 0 },
};

static const struct noun endpoint_noun = {
	.name = "endpoint",
	.summary = "Manage endpoints, the database servers of the groups.",
	.verbs = endpoint_verbs,
	.options = NOUN_OPTS_CHANGE,
};

int endpoint_command(int argc, char **argv)
{
	return noun_run(&endpoint_noun, argc, argv);
}
