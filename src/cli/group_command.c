#include "cli/group_command.h"

#include "cli/command.h"
#include "cli/output.h"
#include "cli/verb.h"

#include <glib.h>

/* Returns the text of a field, "-" if it is missing or empty. */
static const char *get_text(const json_t *group, const char *field)
{
	const char *text = json_string_value(json_object_get(group, field));

	return text && text[0] ? text : "-";
}

static void print_group(const json_t *group)
{
	const json_t *endpoints = json_object_get(group, "endpoints");

	printf("%s term=%lld primary=%s promoter=%s endpoints=%zu\n",
	       get_text(group, "group"),
	       json_integer_value(json_object_get(group, "term")),
	       get_text(group, "primary"), get_text(group, "promoter"),
	       json_array_size(endpoints));
}

static void print_list(const json_t *body)
{
	const json_t *groups = json_object_get(body, "groups");

	for (size_t i = 0; i < json_array_size(groups); i++)
		print_group(json_array_get(groups, i));
}

static void print_one(const json_t *body)
{
	print_group(body);
	output_entries(stdout, json_object_get(body, "endpoints"));
}

static int get_and_print(struct cli *x, const char *path,
			 void (*print)(const json_t *body))
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
		print(resp.body);
	client_response_clear(&resp);
	return rc;
}

static int run_list(struct cli *x)
{
	return get_and_print(x, "/v1/groups", print_list);
}

static int run_show(struct cli *x)
{
	g_autofree char *path = g_strdup_printf("/v1/groups/%s", x->args[0]);

	return get_and_print(x, path, print_one);
}

static const struct verb verbs[] = {
	{ "list", "", "Print the term and primary of every group", 0, 0, false,
	  run_list },
	{ "show", "GROUP", "Print one group and its endpoints", 1, 1, false,
	  run_show },
	{ 0 },
};

static const struct noun group_noun = {
	.name = "group",
	.summary =
		"Show the terms, primaries and endpoints of database groups.",
	.verbs = verbs,
};

int group_command(int argc, char **argv)
{
	return noun_run(&group_noun, argc, argv);
}
