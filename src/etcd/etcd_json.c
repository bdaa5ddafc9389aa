#include "etcd/etcd_json.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Decodes a base64 field; returns NULL if the bytes contain a NUL. */
static char *decode_base64(const json_t *o, const char *field)
{
	const char *s = json_string_value(json_object_get(o, field));
	gsize size = 0;
	guchar *bytes;

	if (!s || !*s)
		return g_strdup("");
	bytes = g_base64_decode(s, &size);
	/* g_base64_decode() does not guarantee room for a terminating NUL. */
	bytes = g_realloc(bytes, size + 1);
	bytes[size] = '\0';
	if (strlen((char *)bytes) == size)
		return (char *)bytes;
	g_free(bytes);
	return NULL;
}

static void set_base64(json_t *o, const char *field, const char *text,
		       size_t size)
{
	char *b64 = g_base64_encode((const guchar *)text, size);

	json_object_set_new(o, field, json_string(b64));
	g_free(b64);
}

static void set_int(json_t *o, const char *field, int64_t v)
{
	if (v)
		json_object_set_new(o, field,
				    json_sprintf("%lld", (long long)v));
}

int64_t etcd_json_get_int(const json_t *o, const char *field)
{
	const json_t *v = json_object_get(o, field);

	if (json_is_string(v))
		return strtoll(json_string_value(v), NULL, 10);
	return json_integer_value(v);
}

int64_t etcd_json_get_revision(const json_t *answer)
{
	const json_t *header = json_object_get(answer, "header");

	return etcd_json_get_int(header, "revision");
}

bool etcd_kv_read(const json_t *j, struct etcd_kv *out)
{
	out->key = decode_base64(j, "key");
	out->value = decode_base64(j, "value");
	out->mod_revision = etcd_json_get_int(j, "mod_revision");
	out->create_revision = etcd_json_get_int(j, "create_revision");
	out->version = etcd_json_get_int(j, "version");
	out->lease = etcd_json_get_int(j, "lease");
	/* A value with a NUL becomes "", which every codec rejects. */
	if (!out->value)
		out->value = g_strdup("");
	if (out->key && *out->key && out->mod_revision > 0)
		return true;
	etcd_kv_clear(out);
	return false;
}

void etcd_kv_clear(struct etcd_kv *kv)
{
	g_free(kv->key);
	g_free(kv->value);
	kv->key = NULL;
	kv->value = NULL;
}

void etcd_kv_free(void *kv)
{
	etcd_kv_clear(kv);
	g_free(kv);
}

/* The range of a prefix ends before the prefix with its last byte plus 1. */
static void set_prefix_end(json_t *o, const char *prefix)
{
	size_t n = strlen(prefix);
	char *end = g_strdup(prefix);

	end[n - 1]++;
	set_base64(o, "range_end", end, n);
	g_free(end);
}

static json_t *new_range_options(const struct etcd_range *r)
{
	json_t *o = json_object();

	if (r->prefix)
		set_prefix_end(o, r->key);
	set_int(o, "limit", r->limit);
	set_int(o, "revision", r->revision);
	set_int(o, "min_mod_revision", r->min_mod_revision);
	if (r->keys_only)
		json_object_set_new(o, "keys_only", json_true());
	return o;
}

json_t *etcd_json_new_range(const struct etcd_range *r)
{
	json_t *o = new_range_options(r);

	set_base64(o, "key", r->key, strlen(r->key));
	return o;
}

json_t *etcd_json_new_range_after(const struct etcd_range *r, const char *after)
{
	json_t *o = new_range_options(r);

	/* The next possible key is the same key with a NUL appended. */
	set_base64(o, "key", after, strlen(after) + 1);
	return o;
}

json_t *etcd_json_new_put(const char *key, const char *value, int64_t lease)
{
	json_t *o = json_object();

	set_base64(o, "key", key, strlen(key));
	set_base64(o, "value", value, strlen(value));
	set_int(o, "lease", lease);
	return o;
}

json_t *etcd_json_new_delete(const char *key)
{
	json_t *o = json_object();

	set_base64(o, "key", key, strlen(key));
	return o;
}

static json_t *new_compare(const char *key, const char *target,
			   const char *result)
{
	json_t *o = json_object();

	set_base64(o, "key", key, strlen(key));
	json_object_set_new(o, "target", json_string(target));
	json_object_set_new(o, "result", json_string(result));
	return o;
}

json_t *etcd_json_new_compare_mod(const char *key, int64_t revision)
{
	json_t *o = new_compare(key, "MOD", "EQUAL");

	json_object_set_new(o, "mod_revision",
			    json_sprintf("%lld", (long long)revision));
	return o;
}

json_t *etcd_json_new_compare_none_after(const char *prefix, int64_t revision)
{
	json_t *o = new_compare(prefix, "MOD", "LESS");

	set_prefix_end(o, prefix);
	set_int(o, "mod_revision", revision + 1);
	return o;
}

json_t *etcd_json_new_compare_absent(const char *key)
{
	json_t *o = new_compare(key, "CREATE", "EQUAL");

	json_object_set_new(o, "create_revision", json_string("0"));
	return o;
}

json_t *etcd_json_new_compare_present(const char *key)
{
	json_t *o = new_compare(key, "CREATE", "GREATER");

	json_object_set_new(o, "create_revision", json_string("0"));
	return o;
}

json_t *etcd_json_new_watch(const char *prefix, int64_t start_revision)
{
	json_t *create = json_object();
	json_t *o = json_object();

	set_base64(create, "key", prefix, strlen(prefix));
	set_prefix_end(create, prefix);
	set_int(create, "start_revision", start_revision);
	json_object_set_new(create, "progress_notify", json_true());
	json_object_set_new(o, "create_request", create);
	return o;
}

json_t *etcd_json_new_op(const char *name, json_t *request)
{
	json_t *o = json_object();

	json_object_set_new(o, name, request);
	return o;
}

json_t *etcd_json_new_txn(json_t *compares, json_t *success, json_t *failure)
{
	json_t *o = json_object();

	if (compares)
		json_object_set_new(o, "compare", compares);
	if (success)
		json_object_set_new(o, "success", success);
	if (failure)
		json_object_set_new(o, "failure", failure);
	return o;
}

const json_t *etcd_json_get_response(const json_t *answer, size_t i,
				     const char *name)
{
	const json_t *all = json_object_get(answer, "responses");

	return json_object_get(json_array_get(all, i), name);
}
