#include "etcd/record_writer.h"

#include "etcd/etcd_json.h"
#include "etcd/record_codec.h"
#include "etcd/record_kv.h"

#include <glib.h>
#include <string.h>

enum { EXPECT_ANY = -1 };

/* An operation in progress; owned by its writer. */
struct operation {
	struct record_writer *writer;
	uint64_t id; /* of the core's operations */
	struct record record; /* kind and name; for changes all of it */
	char *key;
	char *value; /* that a change writes */
	bool deleted;
	bool asked_again; /* the first answer was lost */
	int64_t expected;
	platform_change_fn fn;
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
				       const struct record *r, int64_t expected)
{
	struct operation *o = g_new0(struct operation, 1);

	o->writer = w;
	o->record = *r;
	o->expected = expected;
	o->key = record_key(w->opts.prefix, r);
	g_ptr_array_add(w->operations, o);
	return o;
}

static void operation_remove(struct operation *o)
{
	g_ptr_array_remove_fast(o->writer->operations, o);
}

static json_t *read_op(const struct operation *o)
{
	struct etcd_range r = { .key = o->key };

	return etcd_json_op("request_range", etcd_json_range(&r));
}

static json_t *write_op(const struct operation *o)
{
	if (o->deleted)
		return etcd_json_op("request_delete_range",
				    etcd_json_delete(o->key));
	return etcd_json_op("request_put", etcd_json_put(o->key, o->value, 0));
}

static json_t *list_of(json_t *op)
{
	json_t *a = json_array();

	json_array_append_new(a, op);
	return a;
}

/* The first key of a range answer. */
struct stored {
	bool found;
	struct etcd_kv kv;
	bool readable; /* `record` is set */
	struct record record;
};

static void read_stored(const struct operation *o, const json_t *range,
			struct stored *s)
{
	const json_t *kvs = json_object_get(range, "kvs");
	const char *path = o->key + strlen(o->writer->opts.prefix);
	char why[RECORD_WHY_BYTES];

	memset(s, 0, sizeof(*s));
	s->found = json_array_size(kvs) &&
		   etcd_kv_read(json_array_get(kvs, 0), &s->kv);
	if (s->found)
		s->readable = !record_from_kv(path, &s->kv, &s->record, why,
					      sizeof(why));
}

static void stored_clear(struct stored *s)
{
	if (s->found)
		etcd_kv_clear(&s->kv);
}

static bool is_succeeded(const struct etcd_answer *a)
{
	return json_is_true(json_object_get(a->body, "succeeded"));
}

/* Operations of the core */

static void pass_result(struct operation *o, enum platform_outcome outcome,
			const struct stored *s)
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

static void pass_stored(struct operation *o, enum platform_outcome outcome,
			const json_t *range)
{
	struct stored s;

	read_stored(o, range, &s);
	/* The core can't be shown a value that the codec refuses. */
	if (s.found && !s.readable)
		pass_result(o, PLATFORM_UNKNOWN, NULL);
	else
		pass_result(o, outcome, &s);
	stored_clear(&s);
}

static void on_read(void *data, const struct etcd_answer *a)
{
	struct operation *o = data;

	if (a->error)
		pass_result(o, PLATFORM_UNKNOWN, NULL);
	else
		pass_stored(o, PLATFORM_APPLIED, a->body);
}

static void on_compared(void *data, const struct etcd_answer *a)
{
	struct operation *o = data;

	if (a->error) {
		pass_result(o, PLATFORM_UNKNOWN, NULL);
	} else if (is_succeeded(a)) {
		o->record.revision = a->revision;
		pass_result(o, PLATFORM_APPLIED, NULL);
	} else {
		pass_stored(o, PLATFORM_REFUSED,
			    etcd_json_response(a->body, 0, "response_range"));
	}
}

static void add_absent_members(const struct operation *o,
			       const struct platform_start *p, json_t *compares)
{
	for (uint32_t i = 0; i < p->absent_count; i++) {
		char *key = g_strconcat(o->writer->opts.prefix, "member/",
					p->absent_members[i].instance, NULL);

		json_array_append_new(compares, etcd_json_compare_absent(key));
		g_free(key);
	}
}

static void start_compare(struct operation *o, const struct platform_start *p)
{
	json_t *compares =
		list_of(etcd_json_compare_mod(o->key, p->expected_revision));

	o->value = record_value(&p->record);
	if (p->operation == PLATFORM_CAS_SHARE)
		add_absent_members(o, p, compares);
	etcd_call_once(o->writer->opts.etcd, "/v3/kv/txn",
		       etcd_json_txn(compares, list_of(write_op(o)),
				     list_of(read_op(o))),
		       on_compared, o);
}

void record_writer_start(struct record_writer *w,
			 const struct platform_start *p)
{
	struct operation *o =
		operation_new(w, &p->record, p->expected_revision);
	struct etcd_range r = { .key = o->key };

	o->id = p->operation_id;
	if (p->operation == PLATFORM_READ_TERM ||
	    p->operation == PLATFORM_READ_SHARE)
		etcd_call(w->opts.etcd, "/v3/kv/range", etcd_json_range(&r),
			  on_read, o);
	else
		start_compare(o, p);
}

/* Operators' changes */

static void finish_change(struct operation *o, enum platform_outcome outcome,
			  int64_t revision, const struct record *current)
{
	o->fn(o->data, outcome, revision, current);
	operation_remove(o);
}

/*
 * Decides a change whose first answer was lost by what is stored now. A
 * key that moved on without holding the written value may have held it in
 * between, so that case stays unknown.
 */
static void finish_by_stored(struct operation *o, const struct stored *s)
{
	bool moved = s->found && s->kv.mod_revision > o->expected;

	if (o->deleted && !s->found)
		finish_change(o, PLATFORM_APPLIED, 0, NULL);
	else if (!o->deleted && moved && !strcmp(s->kv.value, o->value))
		finish_change(o, PLATFORM_APPLIED, s->kv.mod_revision, NULL);
	else
		finish_change(o, PLATFORM_UNKNOWN,
			      s->found ? s->kv.mod_revision : 0,
			      s->readable ? &s->record : NULL);
}

static void finish_refused(struct operation *o, const struct stored *s)
{
	finish_change(o, PLATFORM_REFUSED, s->found ? s->kv.mod_revision : 0,
		      s->readable ? &s->record : NULL);
}

static void send_change(struct operation *o);

static void on_changed(void *data, const struct etcd_answer *a)
{
	struct operation *o = data;
	struct stored s;

	if (a->error && !o->asked_again) {
		o->asked_again = true;
		send_change(o);
		return;
	}
	if (a->error) {
		finish_change(o, PLATFORM_UNKNOWN, 0, NULL);
		return;
	}
	if (is_succeeded(a)) {
		finish_change(o, PLATFORM_APPLIED, a->revision, NULL);
		return;
	}
	read_stored(o, etcd_json_response(a->body, 0, "response_range"), &s);
	if (o->asked_again)
		finish_by_stored(o, &s);
	else
		finish_refused(o, &s);
	stored_clear(&s);
}

/* A change of any revision is not sent twice, only looked up. */
static void on_looked_up(void *data, const struct etcd_answer *a)
{
	struct operation *o = data;
	struct stored s;

	if (a->error) {
		finish_change(o, PLATFORM_UNKNOWN, 0, NULL);
		return;
	}
	read_stored(o, a->body, &s);
	finish_by_stored(o, &s);
	stored_clear(&s);
}

static json_t *change_compares(const struct operation *o)
{
	if (o->expected != EXPECT_ANY)
		return list_of(etcd_json_compare_mod(o->key, o->expected));
	/* Deleting nothing is refused, so that the operator learns it. */
	if (o->deleted)
		return list_of(etcd_json_compare_present(o->key));
	return NULL;
}

/*
 * A change that names its revision can be sent again: it takes effect at
 * most once, and its second answer also tells what is stored.
 */
static void send_change(struct operation *o)
{
	struct etcd_range r = { .key = o->key };

	if (o->asked_again && o->expected == EXPECT_ANY) {
		etcd_call(o->writer->opts.etcd, "/v3/kv/range",
			  etcd_json_range(&r), on_looked_up, o);
		return;
	}
	etcd_call_once(o->writer->opts.etcd, "/v3/kv/txn",
		       etcd_json_txn(change_compares(o), list_of(write_op(o)),
				     list_of(read_op(o))),
		       on_changed, o);
}

void record_writer_change(struct record_writer *w, const struct record *r,
			  bool deleted, int64_t expected, platform_change_fn fn,
			  void *data)
{
	struct operation *o = operation_new(w, r, expected);

	o->deleted = deleted;
	o->value = deleted ? NULL : record_value(r);
	o->fn = fn;
	o->data = data;
	send_change(o);
}
