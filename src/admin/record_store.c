#include "admin/record_store.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

struct record_store {
	GTree *kinds[RECORD_KIND_COUNT]; /* by name: owned struct record */
};

static gint compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

struct record_store *record_store_new(void)
{
	struct record_store *s = g_new0(struct record_store, 1);

	for (int k = 0; k < RECORD_KIND_COUNT; k++)
		s->kinds[k] =
			g_tree_new_full(compare_names, NULL, g_free, g_free);
	return s;
}

void record_store_free(struct record_store *s)
{
	for (int k = 0; k < RECORD_KIND_COUNT; k++)
		g_tree_destroy(s->kinds[k]);
	g_free(s);
}

void record_format_name(const struct record *r, char *out, size_t size)
{
	char hex[2 * DIGEST_BYTES + 1];

	switch (r->kind) {
	case RECORD_PROFILE:
		g_strlcpy(out, r->profile.name, size);
		break;
	case RECORD_WORKSPACE:
		g_strlcpy(out, r->workspace.name, size);
		break;
	case RECORD_KEY:
		sodium_bin2hex(hex, sizeof(hex), r->key.digest, DIGEST_BYTES);
		g_strlcpy(out, hex, size);
		break;
	case RECORD_ENDPOINT:
		snprintf(out, size, "%s/%s", r->endpoint.group,
			 r->endpoint.name);
		break;
	case RECORD_TERM:
		g_strlcpy(out, r->term.group, size);
		break;
	case RECORD_SHARE:
		snprintf(out, size, "%" PRIu32, r->share.cell);
		break;
	case RECORD_MEMBER:
		g_strlcpy(out, r->member.name, size);
		break;
	case RECORD_INSTANCE:
		g_strlcpy(out, r->instance.name, size);
		break;
	case RECORD_KIND_COUNT:
		g_strlcpy(out, "", size);
		break;
	}
}

bool record_store_put(struct record_store *s, const struct record *r)
{
	char name[RECORD_NAME_BYTES];
	const struct record *stored;

	record_format_name(r, name, sizeof(name));
	stored = g_tree_lookup(s->kinds[r->kind], name);
	if (stored && stored->revision > r->revision)
		return false;
	g_tree_replace(s->kinds[r->kind], g_strdup(name),
		       g_memdup2(r, sizeof(*r)));
	return true;
}

bool record_store_delete(struct record_store *s, const struct record *r)
{
	char name[RECORD_NAME_BYTES];
	const struct record *stored;

	record_format_name(r, name, sizeof(name));
	stored = g_tree_lookup(s->kinds[r->kind], name);
	if (!stored || stored->revision > r->revision)
		return false;
	return g_tree_remove(s->kinds[r->kind], name);
}

const struct record *record_store_find(const struct record_store *s,
				       enum record_kind kind, const char *name)
{
	return g_tree_lookup(s->kinds[kind], name);
}

struct iteration {
	record_store_fn fn;
	void *data;
};

static gboolean call_record_fn(gpointer name, gpointer r, gpointer data)
{
	struct iteration *it = data;

	it->fn(it->data, name, r);
	return FALSE;
}

void record_store_iterate(const struct record_store *s, enum record_kind kind,
			  record_store_fn fn, void *data)
{
	struct iteration it = { .fn = fn, .data = data };

	g_tree_foreach(s->kinds[kind], call_record_fn, &it);
}

uint32_t record_store_count(const struct record_store *s, enum record_kind kind)
{
	return (uint32_t)g_tree_nnodes(s->kinds[kind]);
}
