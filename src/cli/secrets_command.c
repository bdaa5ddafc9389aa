#include "cli/secrets_command.h"

#include "cli/command.h"

#include <argp.h>
#include <sodium.h>
#include <stdio.h>
#include <zmq.h>

enum {
	SECRET_BYTES = 32,
	SECRET_HEX_BYTES = 2 * SECRET_BYTES + 1,
	CURVE_KEY_BYTES = 41, /* 40 characters of Z85 and the NUL */
};

static const struct argp argp = {
	.doc = "Generate the secrets for the settings of a deployment and "
	       "print them as YAML. All instances of the deployment share "
	       "them.",
};

static void generate_secret(char *hex)
{
	uint8_t secret[SECRET_BYTES];

	randombytes_buf(secret, sizeof(secret));
	sodium_bin2hex(hex, SECRET_HEX_BYTES, secret, sizeof(secret));
	sodium_memzero(secret, sizeof(secret));
}

/*
 * The CURVE keys are in single quotes for YAML: Z85 contains no single quote,
 * so no key needs escaping.
 */
static int print_secrets(void)
{
	char token_key[SECRET_HEX_BYTES];
	char operator_key[SECRET_HEX_BYTES];
	char public[CURVE_KEY_BYTES];
	char secret[CURVE_KEY_BYTES];

	if (zmq_curve_keypair(public, secret))
		return EXIT_FAILED;
	generate_secret(token_key);
	generate_secret(operator_key);
	printf("callers:\n"
	       "  token_key_hex: %s\n"
	       "security:\n"
	       "  operator_key: %s\n"
	       "  curve_public: '%s'\n"
	       "  curve_secret: '%s'\n",
	       token_key, operator_key, public, secret);
	return EXIT_OK;
}

int secrets_command(int argc, char **argv)
{
	static char name[] = "zinnialine secrets";

	argv[0] = name;
	if (argp_parse(&argp, argc, argv, 0, NULL, NULL))
		return EXIT_USAGE;
	return sodium_init() < 0 ? EXIT_FAILED : print_secrets();
}
