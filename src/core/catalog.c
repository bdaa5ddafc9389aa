#include "core/catalog.h"

#include <stdio.h>
#include <string.h>

/* A letter for the kind, followed by the name. */
enum { REVISION_MAP_KEY_BYTES = 3 * NAME_BYTES };

static guint digest_hash(gconstpointer p)
{
	guint h;

	memcpy(&h, p, sizeof(h));
	return h;
}

static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, DIGEST_BYTES) == 0;
}

void catalog_init(struct catalog *c)
{
	c->profiles =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	c->keys =
		g_hash_table_new_full(digest_hash, digest_equal, NULL, g_free);
	c->workspace_rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->workspaces =
		g_array_new(FALSE, TRUE, sizeof(struct catalog_workspace));
	c->revisions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void catalog_clear(struct catalog *c)
{
	g_hash_table_destroy(c->profiles);
	g_hash_table_destroy(c->keys);
	g_hash_table_destroy(c->workspace_rows);
	g_array_free(c->workspaces, TRUE);
	g_hash_table_destroy(c->revisions);
}

static void format_hex_digest(const uint8_t *digest, char *out)
{
	for (int i = 0; i < DIGEST_BYTES; i++)
		sprintf(out + (size_t)2 * i, "%02x", digest[i]);
}

void catalog_format_record_name(const struct record *r, char *out, size_t size)
{
	char hex[2 * DIGEST_BYTES + 1] = "";
	const char *name = "";
	const char *group = "";

	switch (r->kind) {
	case RECORD_PROFILE:
		name = r->profile.name;
		break;
	case RECORD_WORKSPACE:
		name = r->workspace.name;
		break;
	case RECORD_KEY:
		format_hex_digest(r->key.digest, hex);
		name = hex;
		break;
	case RECORD_ENDPOINT:
		group = r->endpoint.group;
		name = r->endpoint.name;
		break;
	case RECORD_TERM:
		name = r->term.group;
		break;
	case RECORD_SHARE:
		snprintf(hex, sizeof(hex), "%u", r->share.cell);
		name = hex;
		break;
	case RECORD_MEMBER:
		name = r->member.name;
		break;
	case RECORD_INSTANCE:
		name = r->instance.name;
		break;
	case RECORD_KIND_COUNT:
		break;
	}
	snprintf(out, size, "%s%s%s", group, group[0] ? "/" : "", name);
}

static void format_revision_key(const struct record *r, char *key, size_t size)
{
	key[0] = (char)('a' + r->kind);
	catalog_format_record_name(r, key + 1, size - 1);
}

int64_t catalog_get_revision(const struct catalog *c, const struct record *r)
{
	char key[REVISION_MAP_KEY_BYTES];
	const int64_t *latest;

	format_revision_key(r, key, sizeof(key));
	latest = g_hash_table_lookup(c->revisions, key);
	return latest ? *latest : 0;
}

bool catalog_accept_revision(struct catalog *c, const struct record *r)
{
	char key[REVISION_MAP_KEY_BYTES];
	int64_t *latest;

	format_revision_key(r, key, sizeof(key));
	latest = g_hash_table_lookup(c->revisions, key);
	if (latest && *latest >= r->revision)
		return false;
	if (!latest) {
		latest = g_new(int64_t, 1);
		g_hash_table_insert(c->revisions, g_strdup(key), latest);
	}
	*latest = r->revision;
	return true;
}

static void put_profile(struct catalog *c, const struct profile_record *p)
{
	struct profile_record *copy = g_memdup2(p, sizeof(*p));

	g_hash_table_replace(c->profiles, copy->name, copy);
}

static void put_key(struct catalog *c, const struct key_record *k)
{
	struct key_record *copy = g_memdup2(k, sizeof(*k));

	g_hash_table_replace(c->keys, copy->digest, copy);
}

static struct catalog_workspace *find_workspace(const struct catalog *c,
						const char *name)
{
	gpointer row = g_hash_table_lookup(c->workspace_rows, name);

	if (!row)
		return NULL;
	return &g_array_index(c->workspaces, struct catalog_workspace,
			      GPOINTER_TO_UINT(row) - 1);
}

static void put_workspace(struct catalog *c, const struct workspace_record *r)
{
	struct catalog_workspace *w = find_workspace(c, r->name);
	struct catalog_workspace fresh = { .record = *r, .exists = true };

	if (w) {
		*w = fresh;
		return;
	}
	g_array_append_val(c->workspaces, fresh);
	g_hash_table_insert(c->workspace_rows, g_strdup(r->name),
			    GUINT_TO_POINTER(c->workspaces->len));
}

void catalog_put(struct catalog *c, const struct record *r)
{
	if (r->kind == RECORD_PROFILE)
		put_profile(c, &r->profile);
	else if (r->kind == RECORD_KEY)
		put_key(c, &r->key);
	else if (r->kind == RECORD_WORKSPACE)
		put_workspace(c, &r->workspace);
}

void catalog_delete(struct catalog *c, const struct record *r)
{
	struct catalog_workspace *w;

	if (r->kind == RECORD_PROFILE) {
		g_hash_table_remove(c->profiles, r->profile.name);
	} else if (r->kind == RECORD_KEY) {
		g_hash_table_remove(c->keys, r->key.digest);
	} else if (r->kind == RECORD_WORKSPACE) {
		w = find_workspace(c, r->workspace.name);
		if (w)
			w->exists = false;
	}
}

const struct profile_record *catalog_find_profile(const struct catalog *c,
						  const char *name)
{
	return g_hash_table_lookup(c->profiles, name);
}

const struct key_record *catalog_find_key(const struct catalog *c,
					  const uint8_t digest[DIGEST_BYTES])
{
	return g_hash_table_lookup(c->keys, digest);
}

uint32_t catalog_find_workspace(const struct catalog *c, const char *name)
{
	const struct catalog_workspace *w = find_workspace(c, name);

	if (!w || !w->exists)
		return NO_INDEX;
	return (uint32_t)(w - &g_array_index(c->workspaces,
					     struct catalog_workspace, 0));
}

const struct workspace_record *catalog_get_workspace(const struct catalog *c,
						     uint32_t row)
{
	return &g_array_index(c->workspaces, struct catalog_workspace, row)
			.record;
}
