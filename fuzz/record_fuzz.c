/*
 * record_fuzz.c - libFuzzer target for stored records. The first line of the
 * input is the path of a key, the rest its value. A record that is accepted
 * must be encoded, decoded and encoded again without a change.
 */
#include "etcd/record_codec.h"
#include "etcd/record_kv.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_round_trip(const struct record *r)
{
	char path[RECORD_PATH_BYTES];
	char reason[RECORD_REASON_BYTES];
	struct etcd_kv kv = { .mod_revision = 1 };
	struct record decoded;
	char *second;

	record_to_path(r, path, sizeof(path));
	kv.value = record_to_value(r);
	if (record_from_kv(path, &kv, &decoded, reason, sizeof(reason)))
		g_error("%s %s: own encoding refused: %s", path, kv.value,
			reason);
	second = record_to_value(&decoded);
	if (strcmp(second, kv.value) != 0)
		g_error("encoding changed from %s to %s", kv.value, second);
	g_free(second);
	g_free(kv.value);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	char *value = strchr(text, '\n');
	char reason[RECORD_REASON_BYTES];
	struct etcd_kv kv = { .mod_revision = 1 };
	struct record r;

	if (value) {
		*value = '\0';
		kv.value = value + 1;
		if (!record_from_kv(text, &kv, &r, reason, sizeof(reason)))
			check_round_trip(&r);
	}
	g_free(text);
	return 0;
}
