/*
 * Feeds one line as key path and the rest as value to the record codec.
 * What it accepts must be written and read again without a change.
 */
#include "etcd/record_codec.h"
#include "etcd/record_kv.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_again(const struct record *r)
{
	char path[RECORD_PATH_BYTES];
	char why[RECORD_REASON_BYTES];
	struct etcd_kv kv = { .mod_revision = 1 };
	struct record again;
	char *second;

	record_to_path(r, path, sizeof(path));
	kv.value = record_to_value(r);
	if (record_from_kv(path, &kv, &again, why, sizeof(why)))
		g_error("%s %s: %s", path, kv.value, why);
	second = record_to_value(&again);
	if (strcmp(second, kv.value) != 0)
		g_error("%s became %s", kv.value, second);
	g_free(second);
	g_free(kv.value);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	char *value = strchr(text, '\n');
	char why[RECORD_REASON_BYTES];
	struct etcd_kv kv = { .mod_revision = 1 };
	struct record r;

	if (value) {
		*value = '\0';
		kv.value = value + 1;
		if (!record_from_kv(text, &kv, &r, why, sizeof(why)))
			check_again(&r);
	}
	g_free(text);
	return 0;
}
