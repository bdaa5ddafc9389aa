#include "proxy/fleet_config.h"

#include <string.h>

static void route_free(gpointer p)
{
	struct route *r = p;

	g_free(r->database);
	g_free(r->service);
	g_free(r);
}

static void service_config_free(gpointer p)
{
	struct service_config *s = p;

	g_free(s->name);
	g_free(s);
}

static void workspace_config_free(gpointer p)
{
	struct workspace_config *w = p;

	g_free(w->name);
	g_free(w);
}

static const char PUBLIC_WORKSPACE[] = "public";

struct fleet_config *fleet_config_new(void)
{
	struct fleet_config *c = g_new0(struct fleet_config, 1);

	c->routes = g_ptr_array_new_with_free_func(route_free);
	c->services = g_ptr_array_new_with_free_func(service_config_free);
	c->workspaces = g_ptr_array_new_with_free_func(workspace_config_free);
	c->by_database = g_hash_table_new(g_str_hash, g_str_equal);
	c->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->public_workspace = g_strdup(PUBLIC_WORKSPACE);
	return c;
}

void fleet_config_free(struct fleet_config *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->by_database);
	g_hash_table_destroy(c->by_key);
	g_ptr_array_free(c->routes, TRUE);
	g_ptr_array_free(c->services, TRUE);
	g_ptr_array_free(c->workspaces, TRUE);
	g_free(c->public_workspace);
	g_free(c->left_out_name);
	g_free(c);
}

void fleet_config_add_route(struct fleet_config *c, struct route *r)
{
	g_ptr_array_add(c->routes, r);
	g_hash_table_insert(c->by_database, r->database, r);
}

void fleet_config_add_service(struct fleet_config *c, struct service_config *s)
{
	g_ptr_array_add(c->services, s);
}

static bool has_workspace(const struct fleet_config *c, const char *name)
{
	for (guint i = 0; i < c->workspaces->len; i++) {
		const struct workspace_config *w =
			g_ptr_array_index(c->workspaces, i);

		if (!strcmp(w->name, name))
			return true;
	}
	return false;
}

void fleet_config_add_workspace(struct fleet_config *c,
				struct workspace_config *w)
{
	uint32_t number = 1;

	g_ptr_array_add(c->workspaces, w);
	if (strcmp(w->name, c->public_workspace) != 0)
		return;
	do {
		g_free(c->public_workspace);
		c->public_workspace =
			g_strdup_printf("%s-%u", PUBLIC_WORKSPACE, ++number);
	} while (has_workspace(c, c->public_workspace));
}

void fleet_config_add_key(struct fleet_config *c, const char *key,
			  struct workspace_config *w)
{
	g_hash_table_insert(c->by_key, g_strdup(key), w);
}

void fleet_config_leave_out(struct fleet_config *c, const char *kind,
			    const char *name)
{
	if (c->left_out_count++)
		return;
	c->left_out_kind = kind;
	c->left_out_name = g_strdup(name);
}

const struct route *fleet_config_find_route(const struct fleet_config *c,
					    const char *database)
{
	return g_hash_table_lookup(c->by_database, database);
}

const struct workspace_config *
fleet_config_find_workspace_by_key(const struct fleet_config *c,
				   const char *key)
{
	return key ? g_hash_table_lookup(c->by_key, key) : NULL;
}

const struct service_config *
fleet_config_find_service(const struct fleet_config *c, const char *name)
{
	for (guint i = 0; i < c->services->len; i++) {
		const struct service_config *s =
			g_ptr_array_index(c->services, i);

		if (!strcmp(s->name, name))
			return s;
	}
	return NULL;
}
