#include "platform/kv_calls.h"

#include "platform/kv_json.h"

#include <string.h>

enum {
	HTTP_OK = 200,
	HTTP_BAD_REQUEST = 400,
	HTTP_NOT_FOUND = 404,
	GRPC_NOT_FOUND = 5,
	GRPC_OUT_OF_RANGE = 11,
};

/* Executes a call and sets the response's body; returns the HTTP status. */
typedef int (*call_fn)(struct kv_store *s, const json_t *request, json_t *body,
		       int64_t now_us);

/* Replaces the body by an error with a gRPC code; returns http_status. */
static int set_error(json_t *body, int http_status, int code, const char *text)
{
	json_object_clear(body);
	json_object_set_new(body, "error", json_string(text));
	json_object_set_new(body, "code", json_integer(code));
	json_object_set_new(body, "message", json_string(text));
	return http_status;
}

static bool is_outside_revisions(const struct kv_entry *e,
				 const json_t *request)
{
	int64_t min_revision = kv_json_get_int(request, "min_mod_revision");
	int64_t max_revision = kv_json_get_int(request, "max_mod_revision");

	return e->mod_revision < min_revision ||
	       (max_revision && e->mod_revision > max_revision);
}

static json_t *select_entries(const GPtrArray *found, const json_t *request,
			      bool *more)
{
	int64_t limit = kv_json_get_int(request, "limit");
	bool keys_only = json_is_true(json_object_get(request, "keys_only"));
	json_t *kvs = json_array();

	*more = false;
	for (guint i = 0; i < found->len; i++) {
		const struct kv_entry *e = g_ptr_array_index(found, i);
		json_t *o;

		if (is_outside_revisions(e, request))
			continue;
		if (limit && (int64_t)json_array_size(kvs) == limit) {
			*more = true;
			break;
		}
		o = kv_json_make_entry(e);
		if (keys_only)
			json_object_del(o, "value");
		json_array_append_new(kvs, o);
	}
	return kvs;
}

static int call_range(struct kv_store *s, const json_t *request, json_t *body,
		      int64_t now_us)
{
	int64_t revision = kv_json_get_int(request, "revision");
	char *key = kv_json_get_text(request, "key");
	char *end = kv_json_get_text(request, "range_end");
	GPtrArray *found;
	json_t *kvs;
	bool more;

	if (revision && revision < s->compacted_revision) {
		g_free(key);
		g_free(end);
		return set_error(body, HTTP_BAD_REQUEST, GRPC_OUT_OF_RANGE,
				 "etcdserver: mvcc: required revision has been "
				 "compacted");
	}
	found = kv_range(s, key, end, revision);
	kvs = select_entries(found, request, &more);
	if (json_is_true(json_object_get(request, "count_only")))
		json_array_clear(kvs);
	if (json_array_size(kvs))
		json_object_set(body, "kvs", kvs);
	if (more)
		json_object_set_new(body, "more", json_true());
	kv_json_set_int(body, "count", found->len);
	json_decref(kvs);
	g_ptr_array_unref(found);
	g_free(key);
	g_free(end);
	return HTTP_OK;
}

static int put_at(struct kv_store *s, int64_t revision, const json_t *request,
		  json_t *body)
{
	int64_t lease = kv_json_get_int(request, "lease");
	char *key = kv_json_get_text(request, "key");
	char *value = kv_json_get_text(request, "value");
	int status = HTTP_OK;

	if (lease && !kv_lease_get(s, lease))
		status = set_error(body, HTTP_NOT_FOUND, GRPC_NOT_FOUND,
				   "etcdserver: requested lease not found");
	else
		kv_put(s, revision, key, value, lease);
	g_free(key);
	g_free(value);
	return status;
}

static int call_put(struct kv_store *s, const json_t *request, json_t *body,
		    int64_t now_us)
{
	return put_at(s, s->revision + 1, request, body);
}

static int delete_at(struct kv_store *s, int64_t revision,
		     const json_t *request, json_t *body)
{
	char *key = kv_json_get_text(request, "key");
	char *end = kv_json_get_text(request, "range_end");

	kv_json_set_int(body, "deleted",
			kv_delete_range(s, revision, key, end));
	g_free(key);
	g_free(end);
	return HTTP_OK;
}

static int call_delete(struct kv_store *s, const json_t *request, json_t *body,
		       int64_t now_us)
{
	return delete_at(s, s->revision + 1, request, body);
}

struct compare_target {
	const char *name;
	const char *field;
};

static const struct compare_target compare_targets[] = {
	{ "VERSION", "version" },  { "CREATE", "create_revision" },
	{ "MOD", "mod_revision" }, { "VALUE", "value" },
	{ "LEASE", "lease" },
};

static const char *compare_field(const char *target)
{
	for (size_t i = 0; i < G_N_ELEMENTS(compare_targets); i++) {
		if (!strcmp(target, compare_targets[i].name))
			return compare_targets[i].field;
	}
	return "version";
}

static int compare_ints(int64_t a, int64_t b)
{
	return a < b ? -1 : a > b;
}

/*
 * Compares a field of the entry (NULL: absent) with the value in the request.
 * Returns less than, equal to or greater than 0, like strcmp().
 */
static int compare_order(const struct kv_entry *e, const json_t *c,
			 const char *field)
{
	int64_t expected = kv_json_get_int(c, field);
	char *text;
	int order;

	if (!strcmp(field, "create_revision"))
		return compare_ints(e ? e->create_revision : 0, expected);
	if (!strcmp(field, "mod_revision"))
		return compare_ints(e ? e->mod_revision : 0, expected);
	if (!strcmp(field, "lease"))
		return compare_ints(e ? e->lease : 0, expected);
	if (!strcmp(field, "version"))
		return compare_ints(e ? e->version : 0, expected);
	text = kv_json_get_text(c, "value");
	order = strcmp(e ? e->value : "", text);
	g_free(text);
	return order;
}

static bool entry_compare_holds(const struct kv_entry *e, const json_t *c)
{
	const char *target = json_string_value(json_object_get(c, "target"));
	const char *result = json_string_value(json_object_get(c, "result"));
	const char *field = compare_field(target ? target : "VERSION");
	int order = compare_order(e, c, field);

	/* As in etcd, a comparison of an absent key's value always fails. */
	if (!e && !strcmp(field, "value"))
		return false;
	if (!result || !strcmp(result, "EQUAL"))
		return order == 0;
	if (!strcmp(result, "GREATER"))
		return order > 0;
	if (!strcmp(result, "LESS"))
		return order < 0;
	return order != 0;
}

/* With a range_end, the comparison must hold for each key in the range. */
static bool compare_holds(struct kv_store *s, const json_t *c)
{
	char *key = kv_json_get_text(c, "key");
	char *end = kv_json_get_text(c, "range_end");
	bool holds = true;

	if (*end) {
		GPtrArray *entries = kv_range(s, key, end, 0);

		for (guint i = 0; i < entries->len; i++)
			holds &= entry_compare_holds(g_ptr_array_index(entries,
								       i),
						     c);
		g_ptr_array_unref(entries);
	} else {
		holds = entry_compare_holds(kv_get(s, key), c);
	}
	g_free(key);
	g_free(end);
	return holds;
}

static int run_op(struct kv_store *s, int64_t revision, const json_t *op,
		  json_t *responses)
{
	const json_t *r;
	const char *name;
	json_t *body = json_object();
	json_t *response = json_object();
	int status;

	if ((r = json_object_get(op, "request_range"))) {
		name = "response_range";
		status = call_range(s, r, body, 0);
	} else if ((r = json_object_get(op, "request_put"))) {
		name = "response_put";
		status = put_at(s, revision, r, body);
	} else {
		r = json_object_get(op, "request_delete_range");
		name = "response_delete_range";
		status = delete_at(s, revision, r, body);
	}
	json_object_set_new(body, "header", kv_json_make_header(s));
	json_object_set_new(response, name, body);
	json_array_append_new(responses, response);
	return status;
}

static int call_txn(struct kv_store *s, const json_t *request, json_t *body,
		    int64_t now_us)
{
	const json_t *compares = json_object_get(request, "compare");
	int64_t revision = s->revision + 1;
	json_t *responses = json_array();
	const json_t *c;
	const json_t *op;
	bool holds = true;
	size_t i;

	json_array_foreach(compares, i, c) holds = holds && compare_holds(s, c);
	json_array_foreach(json_object_get(request,
					   holds ? "success" : "failure"),
			   i, op)
	{
		int status = run_op(s, revision, op, responses);

		if (status != HTTP_OK) {
			json_decref(responses);
			return set_error(
				body, status, GRPC_NOT_FOUND,
				"etcdserver: requested lease not found");
		}
	}
	if (holds)
		json_object_set_new(body, "succeeded", json_true());
	json_object_set_new(body, "responses", responses);
	return HTTP_OK;
}

static int call_grant(struct kv_store *s, const json_t *request, json_t *body,
		      int64_t now_us)
{
	const struct kv_lease *l =
		kv_lease_grant(s, kv_json_get_int(request, "ID"),
			       kv_json_get_int(request, "TTL"), now_us);

	kv_json_set_int(body, "ID", l->id);
	kv_json_set_int(body, "TTL", l->ttl_s);
	return HTTP_OK;
}

static int call_keepalive(struct kv_store *s, const json_t *request,
			  json_t *body, int64_t now_us)
{
	int64_t id = kv_json_get_int(request, "ID");
	json_t *result = json_object();

	json_object_set_new(result, "header", kv_json_make_header(s));
	kv_json_set_int(result, "ID", id);
	kv_json_set_int(result, "TTL", kv_lease_renew(s, id, now_us));
	json_object_set_new(body, "result", result);
	return HTTP_OK;
}

static int call_revoke(struct kv_store *s, const json_t *request, json_t *body,
		       int64_t now_us)
{
	if (!kv_lease_revoke(s, kv_json_get_int(request, "ID")))
		return set_error(body, HTTP_NOT_FOUND, GRPC_NOT_FOUND,
				 "etcdserver: requested lease not found");
	return HTTP_OK;
}

static int call_time_to_live(struct kv_store *s, const json_t *request,
			     json_t *body, int64_t now_us)
{
	int64_t id = kv_json_get_int(request, "ID");
	const struct kv_lease *l = kv_lease_get(s, id);

	kv_json_set_int(body, "ID", id);
	if (!l) {
		kv_json_set_int(body, "TTL", -1);
		return HTTP_OK;
	}
	kv_json_set_int(body, "TTL", (l->expires_us - now_us) / G_USEC_PER_SEC);
	kv_json_set_int(body, "grantedTTL", l->ttl_s);
	return HTTP_OK;
}

struct call_handler {
	const char *path;
	enum kv_call_kind kind;
	call_fn fn;
};

static const struct call_handler call_handlers[] = {
	{ "/v3/kv/range", KV_CALL_READ, call_range },
	{ "/v3/kv/put", KV_CALL_WRITE, call_put },
	{ "/v3/kv/deleterange", KV_CALL_WRITE, call_delete },
	{ "/v3/kv/txn", KV_CALL_WRITE, call_txn },
	{ "/v3/lease/grant", KV_CALL_WRITE, call_grant },
	{ "/v3/lease/keepalive", KV_CALL_KEEPALIVE, call_keepalive },
	{ "/v3/lease/revoke", KV_CALL_WRITE, call_revoke },
	{ "/v3/kv/lease/revoke", KV_CALL_WRITE, call_revoke },
	{ "/v3/lease/timetolive", KV_CALL_READ, call_time_to_live },
	{ "/v3/kv/lease/timetolive", KV_CALL_READ, call_time_to_live },
};

static bool has_only_ranges(const json_t *ops)
{
	const json_t *op;
	size_t i;

	json_array_foreach(ops, i, op)
	{
		if (!json_object_get(op, "request_range"))
			return false;
	}
	return true;
}

/* Returns the kind for the counts; a transaction of ranges only is a read. */
static enum kv_call_kind classify_call(const struct call_handler *handler,
				       const json_t *request)
{
	if (handler->fn == call_txn &&
	    has_only_ranges(json_object_get(request, "success")) &&
	    has_only_ranges(json_object_get(request, "failure")))
		return KV_CALL_READ;
	return handler->kind;
}

struct kv_call_result kv_execute_call(struct kv_store *s, const char *path,
				      const json_t *request, int64_t now_us)
{
	struct kv_call_result r = {
		.kind = KV_CALL_READ,
		.body = json_object(),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(call_handlers); i++) {
		if (strcmp(path, call_handlers[i].path) != 0)
			continue;
		r.kind = classify_call(&call_handlers[i], request);
		r.http_status = call_handlers[i].fn(s, request, r.body, now_us);
		if (r.http_status == HTTP_OK &&
		    call_handlers[i].fn != call_keepalive)
			json_object_set_new(r.body, "header",
					    kv_json_make_header(s));
		return r;
	}
	r.http_status =
		set_error(r.body, HTTP_NOT_FOUND, GRPC_NOT_FOUND, "Not Found");
	return r;
}
