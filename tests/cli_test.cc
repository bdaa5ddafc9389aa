#include <gtest/gtest.h>

#include <string>
#include <unistd.h>
#include <vector>

#include "cli_child.h"

extern "C" {
#include "cli/command.h"
}

namespace
{

#define SERVER "--server", "127.0.0.1:1"

struct ArgumentCase {
	std::vector<std::string> args;
	int exit_code;
	const char *output; /* the output contains this text */
};

const ArgumentCase cases[] = {
	{ {}, EXIT_USAGE, "a command is required" },
	{ { "fly" }, EXIT_USAGE, "unknown command 'fly'" },
	{ { "--nonsense" }, EXIT_USAGE, "unrecognized option" },
	{ { "--help" }, EXIT_OK, "workspace" },
	{ { "--version" }, EXIT_OK, "zinnialine" },
	{ { "profile", "--help" }, EXIT_OK, "NAME FIELD=VALUE..." },
	{ { "key", "--help" }, EXIT_OK, "--key-file" },
	{ { "config", "--help" }, EXIT_OK, "--wait-ms" },
	{ { "check" }, EXIT_USAGE, "--settings is required" },
	{ { "check", "--settings", "docs/settings.example.yaml" }, EXIT_OK, "" },
	{ { "check", "--settings", "Makefile" }, EXIT_SETTINGS, "Makefile:" },
	{ { "check", "--settings", "/nonexistent" },
	  EXIT_SETTINGS,
	  "No such file" },
	{ { "secrets" }, EXIT_OK, "  curve_secret: '" },
	{ { "profile" }, EXIT_USAGE, "a verb is required" },
	{ { "profile", "list" }, EXIT_USAGE, "--server is required" },
	{ { "profile", "list", "x", SERVER }, EXIT_USAGE, "usage: profile" },
	{ { "profile", "grow", SERVER }, EXIT_USAGE, "unknown verb 'grow'" },
	{ { "profile", "set", "stock", SERVER },
	  EXIT_USAGE,
	  "NAME FIELD=VALUE..." },
	{ { "profile", "show", "a/b", SERVER }, EXIT_USAGE, "not a valid name" },
	{ { "profile", "list", "--revision", "x", SERVER },
	  EXIT_USAGE,
	  "--revision must be a number" },
	{ { "profile", "list", "--wait-ms", "0", SERVER },
	  EXIT_USAGE,
	  "--wait-ms must be" },
	{ { "profile", "list", "--server", "here" },
	  EXIT_USAGE,
	  "--server must be ip:port" },
	{ { "group", "list", "--revision", "1", SERVER },
	  EXIT_USAGE,
	  "unrecognized option" },
	{ { "endpoint", "leave", "n1", SERVER },
	  EXIT_USAGE,
	  "is not GROUP/NAME" },
	{ { "key", "withdraw", SERVER },
	  EXIT_USAGE,
	  "either a digest or --key-file" },
	{ { "key", "withdraw", "abc", SERVER }, EXIT_USAGE, "64 hex digits" },
	{ { "key", "withdraw", "--key-file", "/nonexistent", SERVER },
	  EXIT_USAGE,
	  "No such file" },
	{ { "drain", SERVER, SERVER }, EXIT_USAGE, "exactly one --server" },
	{ { "config", "wait", "x", SERVER },
	  EXIT_USAGE,
	  "'x' is not a revision number" },
	{ { "profile", "list", SERVER }, EXIT_UNREACHABLE, "127.0.0.1:1" },
	{ { "profile", "set", "stock", "open=true", SERVER },
	  EXIT_UNREACHABLE,
	  "127.0.0.1:1" },
	{ { "key", "add", "mill", SERVER },
	  EXIT_UNREACHABLE,
	  "the key is not printed" },
	{ { "drain", SERVER }, EXIT_UNREACHABLE, "127.0.0.1:1" },
	{ { "metrics", SERVER }, EXIT_UNREACHABLE, "127.0.0.1:1" },
	{ { "config", "wait", "5", "--wait-ms", "1", SERVER },
	  EXIT_NOT_IN_FORCE,
	  "not known to be in force" },
};

TEST(Cli, Arguments)
{
	for (const ArgumentCase &c : cases) {
		std::string line;

		for (const std::string &a : c.args)
			line += a + " ";
		SCOPED_TRACE(line);
		CliChild child(c.args);
		while (!child.read_available_output())
			usleep(1000);
		EXPECT_EQ(c.exit_code, child.wait_exit()) << child.output();
		EXPECT_NE(std::string::npos, child.output().find(c.output))
			<< child.output();
	}
}

} // namespace
