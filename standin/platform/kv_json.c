#include "platform/kv_json.h"

#include <stdlib.h>
#include <string.h>

#define CLUSTER_ID "14841639068965178418"
#define MEMBER_ID "10276657743932975437"

char *kv_json_get_text(const json_t *o, const char *field)
{
	const char *s = json_string_value(json_object_get(o, field));
	gsize size = 0;
	guchar *bytes;
	char *text;

	if (!s || !*s)
		return g_strdup("");
	bytes = g_base64_decode(s, &size);
	text = g_strndup((const char *)bytes, size);
	g_free(bytes);
	return text;
}

int64_t kv_json_get_int(const json_t *o, const char *field)
{
	const json_t *v = json_object_get(o, field);

	if (json_is_string(v))
		return strtoll(json_string_value(v), NULL, 10);
	return json_integer_value(v);
}

void kv_json_set_text(json_t *o, const char *field, const char *text)
{
	char *b64;

	if (!*text)
		return;
	b64 = g_base64_encode((const guchar *)text, strlen(text));
	json_object_set_new(o, field, json_string(b64));
	g_free(b64);
}

void kv_json_set_int(json_t *o, const char *field, int64_t v)
{
	if (v)
		json_object_set_new(o, field,
				    json_sprintf("%lld", (long long)v));
}

json_t *kv_json_make_header(const struct kv_store *s)
{
	json_t *h = json_object();

	json_object_set_new(h, "cluster_id", json_string(CLUSTER_ID));
	json_object_set_new(h, "member_id", json_string(MEMBER_ID));
	kv_json_set_int(h, "revision", s->revision);
	json_object_set_new(h, "raft_term", json_string("2"));
	return h;
}

json_t *kv_json_make_entry(const struct kv_entry *e)
{
	json_t *o = json_object();

	kv_json_set_text(o, "key", e->key);
	kv_json_set_int(o, "create_revision", e->create_revision);
	kv_json_set_int(o, "mod_revision", e->mod_revision);
	kv_json_set_int(o, "version", e->version);
	kv_json_set_text(o, "value", e->value);
	kv_json_set_int(o, "lease", e->lease);
	return o;
}
