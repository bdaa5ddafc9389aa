#include "cli/secrets_command.h"

#include "cli/command.h"

#include <argp.h>
#include <sodium.h>
#include <stdio.h>
#include <zmq.h>

enum {
	SECRET_BYTES = 32,
	SECRET_HEX_BYTES = 2 * SECRET_BYTES + 1,
	CURVE_KEY_BYTES = 41, /* Z85, with the NUL */
};

static const struct argp argp = {
	.doc = "Print new secrets for the settings of a deployment. All its "
	       "instances share them.",
};

static void make_secret(char *hex)
{
	uint8_t secret[SECRET_BYTES];

	randombytes_buf(secret, sizeof(secret));
	sodium_bin2hex(hex, SECRET_HEX_BYTES, secret, sizeof(secret));
	sodium_memzero(secret, sizeof(secret));
}

/* Z85 has no single quote, so single quotes keep every key as it is. */
static int print_secrets(void)
{
	char token_key[SECRET_HEX_BYTES];
	char operator_key[SECRET_HEX_BYTES];
	char public[CURVE_KEY_BYTES];
	char secret[CURVE_KEY_BYTES];

	if (zmq_curve_keypair(public, secret))
		return EXIT_FAILED;
	make_secret(token_key);
	make_secret(operator_key);
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
