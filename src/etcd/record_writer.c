#include "etcd/record_writer.h"

#include "etcd/etcd_json.h"
#include "etcd/record_codec.h"
#include "etcd/record_kv.h"

#include <glib.h>
#include <string.h>

enum { ANY_REVISION = -1 };

/* A read or change in progress; owned by its writer. */
struct operation {
	struct record_writer *writer;
	uint64_t id; /* operation_id of the core; 0 for operators' changes */
	struct record record; /* for reads only kind and name matter */
	char *key;
	char *value; /* to be written; NULL for reads and deletions */
	bool deleted; /* the change is a deletion */
	bool retried; /* the first answer was lost */
	int64_t expected_revision;
	json_t *guard; /* further conditions; NULL: none */
	platform_change_fn fn; /* operators' changes only */
	void *data;
};

struct record_writer {
	struct record_writer_opts opts;
	GPtrArray *operations;
};

static void operation_free(gpointer p)
{
	struct operation *o = p;

	g_free(o->key);
	g_free(o->value);
	json_decref(o->guard);
	g_free(o);
}

struct record_writer *record_writer_new(const struct record_writer_opts *opts)
{
	struct record_writer *w = g_new0(struct record_writer, 1);

	w->opts = *opts;
	w->operations = g_ptr_array_new_with_free_func(operation_free);
	return w;
}

void record_writer_free(struct record_writer *w)
{
	g_ptr_array_unref(w->operations);
	g_free(w);
}

static struct operation *operation_new(struct record_writer *w,
				       const struct record *r,
				       int64_t expected_revision)
{
	struct operation *o = g_new0(struct operation, 1);

	o->writer = w;
	o->record = *r;
	o->expected_revision = expected_revision;
	o->key = record_to_key(w->opts.prefix, r);
	g_ptr_array_add(w->operations, o);
	return o;
}

static void operation_remove(struct operation *o)
{
	g_ptr_array_remove_fast(o->writer->operations, o);
}

static json_t *new_read_op(const struct operation *o)
{
	struct etcd_range r = { .key = o->key };

	return etcd_json_new_op("request_range", etcd_json_new_range(&r));
}

static json_t *new_write_op(const struct operation *o)
{
	if (o->deleted)
		return etcd_json_new_op("request_delete_range",
					etcd_json_new_delete(o->key));
	return etcd_json_new_op("request_put",
				etcd_json_new_put(o->key, o->value, 0));
}

static json_t *wrap_in_array(json_t *op)
{
	json_t *a = json_array();

	json_array_append_new(a, op);
	return a;
}

/* The state of a key in the answer of a range request for it. */
struct stored_key {
	bool found; /* the key exists and `kv` is set */
	struct etcd_kv kv;
	bool valid; /* the codec accepts the value and `record` is set */
	struct record record;
};

static void parse_stored_key(const struct operation *o, const json_t *range,
			     struct stored_key *s)
{
	const json_t *kvs = json_object_get(range, "kvs");
	const char *path = o->key + strlen(o->writer->opts.prefix);
	char reason[RECORD_REASON_BYTES];

	memset(s, 0, sizeof(*s));
	s->found = json_array_size(kvs) &&
		   etcd_kv_read(json_array_get(kvs, 0), &s->kv);
	if (s->found)
		s->valid = !record_from_kv(path, &s->kv, &s->record, reason,
					   sizeof(reason));
}

static void stored_key_clear(struct stored_key *s)
{
	if (s->found)
		etcd_kv_clear(&s->kv);
}

static bool has_txn_succeeded(const struct etcd_answer *a)
{
	return json_is_true(json_object_get(a->body, "succeeded"));
}

/* Operations of the core */

static void emit_result(struct operation *o, enum platform_outcome outcome,
			const struct stored_key *s)
{
	struct platform_result r = {
		.operation_id = o->id,
		.outcome = outcome,
		.found = s && s->found,
		.record = s && s->found ? s->record : o->record,
	};
	struct event e = { .type = EVENT_PLATFORM_RESULT, .platform = &r };

	o->writer->opts.on_event(o->writer->opts.data, &e);
	operation_remove(o);
}

static void emit_stored_key(struct operation *o, enum platform_outcome outcome,
			    const json_t *range)
{
	struct stored_key s;

	parse_stored_key(o, range, &s);
	/* A value that the codec rejects cannot be passed to the core. */
	if (s.found && !s.valid)
		emit_result(o, PLATFORM_UNKNOWN, NULL);
	else
		emit_result(o, outcome, &s);
	stored_key_clear(&s);
}

static void on_read_answer(void *data, const struct etcd_answer *a)
{
	struct operation *o = data;

	if (a->error)
		emit_result(o, PLATFORM_UNKNOWN, NULL);
	else
		emit_stored_key(o, PLATFORM_APPLIED, a->body);
}

static void on_cas_answer(void *data, const struct etcd_answer *a)
{
	struct operation *o = data;

	if (a->error) {
		emit_result(o, PLATFORM_UNKNOWN, NULL);
	} else if (has_txn_succeeded(a)) {
		o->record.revision = a->revision;
		emit_result(o, PLATFORM_APPLIED, NULL);
	} else {
		emit_stored_key(o, PLATFORM_REFUSED,
				etcd_json_get_response(a->body, 0,
						       "response_range"));
	}
}

static void add_absent_members(const struct operation *o,
			       const struct platform_start *p, json_t *compares)
{
	for (uint32_t i = 0; i < p->absent_count; i++) {
		char *key = g_strconcat(o->writer->opts.prefix, "member/",
					p->absent_members[i].instance, NULL);

		json_array_append_new(compares,
				      etcd_json_new_compare_absent(key));
		g_free(key);
	}
}

static void start_cas(struct operation *o, const struct platform_start *p)
{
	json_t *compares = wrap_in_array(
		etcd_json_new_compare_mod(o->key, p->expected_revision));

	o->value = record_to_value(&p->record);
	if (p->operation == PLATFORM_CAS_SHARE)
		add_absent_members(o, p, compares);
	etcd_call_once(o->writer->opts.etcd, "/v3/kv/txn",
		       etcd_json_new_txn(compares,
					 wrap_in_array(new_write_op(o)),
					 wrap_in_array(new_read_op(o))),
		       on_cas_answer, o);
}

void record_writer_start_operation(struct record_writer *w,
				   const struct platform_start *p)
{
	struct operation *o =
		operation_new(w, &p->record, p->expected_revision);
	struct etcd_range r = { .key = o->key };

	o->id = p->operation_id;
	if (p->operation == PLATFORM_READ_TERM ||
	    p->operation == PLATFORM_READ_SHARE)
		etcd_call(w->opts.etcd, "/v3/kv/range", etcd_json_new_range(&r),
			  on_read_answer, o);
	else
		start_cas(o, p);
}

/* Operators' changes */

static void finish_change(struct operation *o, enum platform_outcome outcome,
			  int64_t revision, const struct record *current)
{
	o->fn(o->data, outcome, revision, current);
	operation_remove(o);
}

/*
 * Derives the outcome of a change whose first answer was lost from what is
 * stored now. If the key has a newer revision and another value, the change may
 * have been applied and then overwritten, so the outcome is unknown.
 */
static void resolve_lost_answer(struct operation *o, const struct stored_key *s)
{
	bool changed = s->found && s->kv.mod_revision > o->expected_revision;

	if (o->deleted && !s->found)
		finish_change(o, PLATFORM_APPLIED, 0, NULL);
	else if (!o->deleted && changed && !strcmp(s->kv.value, o->value))
		finish_change(o, PLATFORM_APPLIED, s->kv.mod_revision, NULL);
	else
		finish_change(o, PLATFORM_UNKNOWN,
			      s->found ? s->kv.mod_revision : 0,
			      s->valid ? &s->record : NULL);
}

static void finish_refused(struct operation *o, const struct stored_key *s)
{
	finish_change(o, PLATFORM_REFUSED, s->found ? s->kv.mod_revision : 0,
		      s->valid ? &s->record : NULL);
}

static void send_change(struct operation *o);

static void on_change_answer(void *data, const struct etcd_answer *a)
{
	struct operation *o = data;
	struct stored_key s;

	if (a->error && !o->retried) {
		o->retried = true;
		send_change(o);
		return;
	}
	if (a->error) {
		finish_change(o, PLATFORM_UNKNOWN, 0, NULL);
		return;
	}
	if (has_txn_succeeded(a)) {
		finish_change(o, PLATFORM_APPLIED, a->revision, NULL);
		return;
	}
	parse_stored_key(o,
			 etcd_json_get_response(a->body, 0, "response_range"),
			 &s);
	if (o->retried)
		resolve_lost_answer(o, &s);
	else
		finish_refused(o, &s);
	stored_key_clear(&s);
}

/* Answer of the read that follows a lost answer; see send_change(). */
static void on_readback_answer(void *data, const struct etcd_answer *a)
{
	struct operation *o = data;
	struct stored_key s;

	if (a->error) {
		finish_change(o, PLATFORM_UNKNOWN, 0, NULL);
		return;
	}
	parse_stored_key(o, a->body, &s);
	resolve_lost_answer(o, &s);
	stored_key_clear(&s);
}

static json_t *new_change_compares(const struct operation *o)
{
	json_t *compares = o->guard ? json_copy(o->guard) : json_array();

	if (o->expected_revision != ANY_REVISION)
		json_array_append_new(compares,
				      etcd_json_new_compare_mod(
					      o->key, o->expected_revision));
	/* Deleting an absent key is refused, to report it to the operator. */
	else if (o->deleted)
		json_array_append_new(compares,
				      etcd_json_new_compare_present(o->key));
	return compares;
}

static json_t *new_guard_compares(const struct record_writer *w,
				  const struct endpoint_guard *g)
{
	struct record r = { .kind = RECORD_ENDPOINT };
	json_t *compares = json_array();
	g_autofree char *prefix = NULL;

	g_strlcpy(r.endpoint.group, g->group, sizeof(r.endpoint.group));
	prefix = record_to_key(w->opts.prefix, &r);
	json_array_append_new(compares,
			      etcd_json_new_compare_none_after(prefix,
							       g->revision));
	for (uint32_t i = 0; i < g->count; i++) {
		const struct endpoint_version *m = &g->members[i];
		g_autofree char *key = NULL;

		g_strlcpy(r.endpoint.name, m->name, sizeof(r.endpoint.name));
		key = record_to_key(w->opts.prefix, &r);
		json_array_append_new(compares,
				      etcd_json_new_compare_mod(key,
								m->revision));
	}
	return compares;
}

/*
 * Sends a change, or resolves a lost answer. A change that expects a certain
 * revision is sent again: it takes effect at most once, and the second answer
 * contains the stored key. A change of any revision would take effect twice if
 * sent again, so the key is only read.
 */
static void send_change(struct operation *o)
{
	struct etcd_range r = { .key = o->key };

	if (o->retried && o->expected_revision == ANY_REVISION) {
		etcd_call(o->writer->opts.etcd, "/v3/kv/range",
			  etcd_json_new_range(&r), on_readback_answer, o);
		return;
	}
	etcd_call_once(o->writer->opts.etcd, "/v3/kv/txn",
		       etcd_json_new_txn(new_change_compares(o),
					 wrap_in_array(new_write_op(o)),
					 wrap_in_array(new_read_op(o))),
		       on_change_answer, o);
}

void record_writer_change_record(struct record_writer *w,
				 const struct record *r, bool deleted,
				 int64_t expected_revision,
				 const struct endpoint_guard *guard,
				 platform_change_fn fn, void *data)
{
	struct operation *o = operation_new(w, r, expected_revision);

	o->deleted = deleted;
	o->guard = guard ? new_guard_compares(w, guard) : NULL;
	o->value = deleted ? NULL : record_to_value(r);
	o->fn = fn;
	o->data = data;
	send_change(o);
}
