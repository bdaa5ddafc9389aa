#include "etcd/etcd_load.h"

#include "etcd/etcd_json.h"

#include <errno.h>

/* Values hold up to a megabyte, so pages are small. */
enum { PAGE_KEYS = 200 };

struct etcd_load {
	struct etcd_load_opts opts;
	uint32_t prefix; /* index of the one being read */
	int64_t revision; /* 0 before the first page */
	int64_t asked_us;
	char *last_key; /* of the previous page; NULL at a prefix's start */
	GPtrArray *kvs;
};

static void ask_page(struct etcd_load *l);

void etcd_load_free(struct etcd_load *l)
{
	g_ptr_array_unref(l->kvs);
	g_free(l->last_key);
	g_free(l);
}

static gint by_revision(gconstpointer a, gconstpointer b)
{
	const struct etcd_kv *ka = *(const struct etcd_kv *const *)a;
	const struct etcd_kv *kb = *(const struct etcd_kv *const *)b;

	if (ka->mod_revision != kb->mod_revision)
		return ka->mod_revision < kb->mod_revision ? -1 : 1;
	return 0;
}

static void finish(struct etcd_load *l, int error)
{
	struct etcd_load_result r = {
		.error = error,
		.revision = l->revision,
		.asked_us = l->asked_us,
		.kvs = l->kvs,
	};

	g_ptr_array_sort(l->kvs, by_revision);
	l->opts.on_done(l->opts.data, &r);
	etcd_load_free(l);
}

static bool take_kvs(struct etcd_load *l, const json_t *kvs)
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
		finish(l, a->error);
		return;
	}
	if (!l->revision) {
		l->revision = a->revision;
		l->asked_us = a->asked_us;
	}
	if (!take_kvs(l, kvs) || (more && !json_array_size(kvs))) {
		finish(l, -EBADMSG);
		return;
	}
	g_free(l->last_key);
	l->last_key = NULL;
	if (more) {
		const struct etcd_kv *last =
			g_ptr_array_index(l->kvs, l->kvs->len - 1);

		l->last_key = g_strdup(last->key);
	} else if (++l->prefix == l->opts.prefix_count) {
		finish(l, 0);
		return;
	}
	ask_page(l);
}

static void ask_page(struct etcd_load *l)
{
	struct etcd_range r = {
		.key = l->opts.prefixes[l->prefix],
		.prefix = true,
		.limit = PAGE_KEYS,
		.revision = l->revision,
	};

	etcd_call(l->opts.etcd, "/v3/kv/range",
		  l->last_key ? etcd_json_range_after(&r, l->last_key) :
				etcd_json_range(&r),
		  on_page, l);
}

struct etcd_load *etcd_load_start(const struct etcd_load_opts *opts)
{
	struct etcd_load *l = g_new0(struct etcd_load, 1);

	l->opts = *opts;
	l->kvs = g_ptr_array_new_with_free_func(etcd_kv_free);
	ask_page(l);
	return l;
}
