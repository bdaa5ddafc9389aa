#include "etcd/etcd_load.h"

#include "etcd/etcd_json.h"

#include <errno.h>

/* A value may have up to a megabyte, so the number of keys is kept low. */
enum { PAGE_KEYS_MAX = 200 };

struct etcd_load {
	struct etcd_load_opts opts;
	uint32_t prefix_index; /* of the prefix that is being read */
	int64_t revision; /* of the first page; 0 before it */
	int64_t asked_us; /* when the first page was requested */
	/* Of the previous page; NULL at the first page of a prefix. */
	char *last_key;
	GPtrArray *kvs;
};

static void request_page(struct etcd_load *l);

void etcd_load_free(struct etcd_load *l)
{
	g_ptr_array_unref(l->kvs);
	g_free(l->last_key);
	g_free(l);
}

static gint compare_revisions(gconstpointer a, gconstpointer b)
{
	const struct etcd_kv *ka = *(const struct etcd_kv *const *)a;
	const struct etcd_kv *kb = *(const struct etcd_kv *const *)b;

	if (ka->mod_revision != kb->mod_revision)
		return ka->mod_revision < kb->mod_revision ? -1 : 1;
	return 0;
}

static void finish_load(struct etcd_load *l, int error)
{
	struct etcd_load_result r = {
		.error = error,
		.revision = l->revision,
		.asked_us = l->asked_us,
		.kvs = l->kvs,
	};

	g_ptr_array_sort(l->kvs, compare_revisions);
	l->opts.on_done(l->opts.data, &r);
	etcd_load_free(l);
}

static bool append_kvs(struct etcd_load *l, const json_t *kvs)
{
	const json_t *j;
	size_t i;

	json_array_foreach(kvs, i, j)
	{
		struct etcd_kv *kv = g_new0(struct etcd_kv, 1);

		if (!etcd_kv_read(j, kv)) {
			g_free(kv);
			return false;
		}
		g_ptr_array_add(l->kvs, kv);
	}
	return true;
}

static void on_page(void *data, const struct etcd_answer *a)
{
	struct etcd_load *l = data;
	const json_t *kvs = json_object_get(a->body, "kvs");
	bool more = json_is_true(json_object_get(a->body, "more"));

	if (a->error) {
		finish_load(l, a->error);
		return;
	}
	if (!l->revision) {
		l->revision = a->revision;
		l->asked_us = a->asked_us;
	}
	if (!append_kvs(l, kvs) || (more && !json_array_size(kvs))) {
		finish_load(l, -EBADMSG);
		return;
	}
	g_free(l->last_key);
	l->last_key = NULL;
	if (more) {
		const struct etcd_kv *last =
			g_ptr_array_index(l->kvs, l->kvs->len - 1);

		l->last_key = g_strdup(last->key);
	} else if (++l->prefix_index == l->opts.prefix_count) {
		finish_load(l, 0);
		return;
	}
	request_page(l);
}

static void request_page(struct etcd_load *l)
{
	struct etcd_range r = {
		.key = l->opts.prefixes[l->prefix_index],
		.prefix = true,
		.limit = PAGE_KEYS_MAX,
		.revision = l->revision,
	};

	etcd_call(l->opts.etcd, "/v3/kv/range",
		  l->last_key ? etcd_json_new_range_after(&r, l->last_key) :
				etcd_json_new_range(&r),
		  on_page, l);
}

struct etcd_load *etcd_load_start(const struct etcd_load_opts *opts)
{
	struct etcd_load *l = g_new0(struct etcd_load, 1);

	l->opts = *opts;
	l->kvs = g_ptr_array_new_with_free_func(etcd_kv_free);
	request_page(l);
	return l;
}
