#include "etcd/record_kv.h"

#include "etcd/record_codec.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

int record_from_kv(const char *path, const struct etcd_kv *kv,
		   struct record *out, char *reason, size_t reason_size)
{
	json_t *j;
	int32_t rc;

	if (record_from_path(path, out)) {
		snprintf(reason, reason_size, "unknown key");
		return -EINVAL;
	}
	j = json_loads(kv->value, JSON_REJECT_DUPLICATES, NULL);
	if (!j) {
		snprintf(reason, reason_size, "malformed JSON");
		return -EINVAL;
	}
	rc = record_from_json(j, out, reason, reason_size);
	json_decref(j);
	out->revision = kv->mod_revision;
	return rc ? -EINVAL : 0;
}

char *record_to_value(const struct record *r)
{
	json_t *j = record_to_json(r);
	char *text = json_dumps(j, JSON_COMPACT | JSON_SORT_KEYS);
	char *out = g_strdup(text);

	json_decref(j);
	free(text);
	return out;
}

char *record_to_key(const char *prefix, const struct record *r)
{
	char path[RECORD_PATH_BYTES];

	record_to_path(r, path, sizeof(path));
	return g_strconcat(prefix, path, NULL);
}
