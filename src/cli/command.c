#include "cli/command.h"

#include "cli/check_command.h"
#include "cli/entry_command.h"
#include "cli/group_command.h"
#include "cli/instance_command.h"
#include "cli/key_command.h"
#include "cli/secrets_command.h"
#include "cli/steer_command.h"

#include <stddef.h>

static const struct command registry[] = {
	{ "serve", "Run an instance", serve_command },
	{ "proxy", "Run an instance that serves sessions", proxy_command },
	{ "steer", "Steer load: put, list and delete operators' requests",
	  steer_command },
	{ "check", "Check a settings file", check_command },
	{ "secrets", "Generate secrets for the settings", secrets_command },
	{ "profile", "List, show, set and delete profiles", profile_command },
	{ "workspace", "List, show, set and delete workspaces",
	  workspace_command },
	{ "key", "List, add and withdraw the keys of callers", key_command },
	{ "endpoint",
	  "Manage endpoints: list, show, set, delete, leave, return",
	  endpoint_command },
	{ "group", "Show term, primary and endpoints of database groups",
	  group_command },
	{ "config", "Show the configuration revision or wait for it",
	  config_command },
	{ "status", "Show the status of an instance", status_command },
	{ "metrics", "Show the metrics of an instance", metrics_command },
	{ "drain", "Shut an instance down gracefully", drain_command },
	{ NULL, NULL, NULL },
};

const struct command *command_registry(void)
{
	return registry;
}
