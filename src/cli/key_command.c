#include "cli/key_command.h"

#include "cli/change.h"
#include "cli/command.h"
#include "cli/entry_command.h"
#include "core/sizes.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

enum {
	KEY_BYTES = 32,
	KEY_TEXT_BYTES = sodium_base64_ENCODED_LEN(
		KEY_BYTES, sodium_base64_VARIANT_URLSAFE_NO_PADDING),
	DIGEST_HEX_BYTES = 2 * DIGEST_BYTES + 1,
};

/* Hashes the key as text, which is the form in which callers send it. */
static void compute_digest_hex(const char *key, char *out)
{
	uint8_t digest[DIGEST_BYTES];

	crypto_generichash(digest, sizeof(digest), (const uint8_t *)key,
			   strlen(key), NULL, 0);
	sodium_bin2hex(out, DIGEST_HEX_BYTES, digest, sizeof(digest));
}

static char *make_key_path(const char *hex)
{
	return g_strdup_printf("/v1/keys/%s", hex);
}

static void generate_key(char *out)
{
	uint8_t key[KEY_BYTES];

	randombytes_buf(key, sizeof(key));
	sodium_bin2base64(out, KEY_TEXT_BYTES, key, sizeof(key),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	sodium_memzero(key, sizeof(key));
}

static int run_list(struct cli *x)
{
	return entry_list(x, "/v1/keys");
}

/*
 * Prints the key only if it is stored. After an unknown outcome the operator
 * withdraws the digest, which is printed instead, and adds another key.
 */
static int run_add(struct cli *x)
{
	char key[KEY_TEXT_BYTES];
	char hex[DIGEST_HEX_BYTES];
	g_autofree char *path = NULL;
	int rc;

	generate_key(key);
	compute_digest_hex(key, hex);
	path = make_key_path(hex);
	rc = change_put(x, path, 0,
			json_pack("{s:s}", "workspace", x->args[0]));
	if (rc == EXIT_OK || rc == EXIT_NOT_IN_FORCE)
		printf("key: %s\n", key);
	else
		fprintf(stderr,
			"zinnialine: the key is not printed, because it may "
			"not be stored; its digest would be %s\n",
			hex);
	sodium_memzero(key, sizeof(key));
	return rc;
}

static bool is_digest(const char *text)
{
	return strlen(text) == DIGEST_HEX_BYTES - 1 &&
	       strspn(text, "0123456789abcdef") == DIGEST_HEX_BYTES - 1;
}

/*
 * Writes the digest of the argument, or of the key in --key-file, as hex.
 * Returns an exit code, with a message printed if it is not EXIT_OK.
 */
static int read_digest(const struct cli *x, char *hex)
{
	char *key;

	if ((x->arg_count == 1) == (x->options.key_file != NULL)) {
		fprintf(stderr, "zinnialine: expected either a digest or "
				"--key-file\n");
		return EXIT_USAGE;
	}
	if (x->arg_count == 1) {
		if (!is_digest(x->args[0])) {
			fprintf(stderr, "zinnialine: a digest must have 64 "
					"hex digits in lower case\n");
			return EXIT_USAGE;
		}
		g_strlcpy(hex, x->args[0], DIGEST_HEX_BYTES);
		return EXIT_OK;
	}
	key = options_read_secret(x->options.key_file);
	if (!key)
		return EXIT_USAGE;
	compute_digest_hex(key, hex);
	sodium_memzero(key, strlen(key));
	g_free(key);
	return EXIT_OK;
}

static int run_withdraw(struct cli *x)
{
	char hex[DIGEST_HEX_BYTES];
	g_autofree char *path = NULL;
	int rc = read_digest(x, hex);

	if (rc != EXIT_OK)
		return rc;
	path = make_key_path(hex);
	return entry_delete(x, path);
}

static const struct verb verbs[] = {
	{ "list", "", "Print the digests and workspaces of all keys", 0, 0,
	  false, run_list },
	{ "add", "WORKSPACE",
	  "Generate a key and print it once; only its digest is stored", 1, 1,
	  false, run_add },
	{ "withdraw", "[DIGEST]",
	  "Withdraw the key with this digest, or the key in --key-file", 0, 1,
	  false, run_withdraw },
	{ 0 },
};

static const struct noun key_noun = {
	.name = "key",
	.summary = "Manage the keys of callers.",
	.verbs = verbs,
	.options = NOUN_OPTS_CHANGE | NOUN_OPTS_KEY,
};

int key_command(int argc, char **argv)
{
	if (sodium_init() < 0)
		return EXIT_FAILED;
	return noun_run(&key_noun, argc, argv);
}
