#include "etcd/platform_client.h"

#include "etcd/config_feed.h"
#include "etcd/etcd_call.h"
#include "etcd/etcd_lease.h"
#include "etcd/record_kv.h"
#include "etcd/record_writer.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

struct platform_client {
	struct platform_client_opts opts;
	apr_pool_t *pool;
	char *prefix;
	char *instances_prefix;
	GRand *rand;
	struct etcd *etcd;
	struct config_feed *feed;
	struct record_writer *writer;
	struct etcd_lease *lease; /* NULL if there is none */
	int64_t synced_revision; /* of the last EVENT_CONFIG_SYNCED */
	int64_t member_revision; /* at which the member key was last put */
	/* `renewal` is held back until synced_revision >= member_revision. */
	bool renewal_pending;
	struct lease_renewal renewal;
};

static void emit_renewal(struct platform_client *c)
{
	struct event e = { .type = EVENT_LEASE_RENEWED, .lease = c->renewal };

	if (!c->renewal_pending || c->synced_revision < c->member_revision)
		return;
	c->renewal_pending = false;
	c->opts.on_event(c->opts.data, &e);
}

static bool is_own_member(const struct platform_client *c,
			  const struct record *r)
{
	return r->kind == RECORD_MEMBER &&
	       !strcmp(r->member.name, c->opts.member.name);
}

static void on_feed_event(void *data, const struct event *e)
{
	struct platform_client *c = data;

	c->opts.on_event(c->opts.data, e);
	if (e->type == EVENT_RECORD_DELETED && c->lease &&
	    is_own_member(c, e->record))
		etcd_lease_put_key(c->lease);
	if (e->type != EVENT_CONFIG_SYNCED)
		return;
	c->synced_revision = e->synced.revision;
	emit_renewal(c);
}

static void on_record_rejected(void *data, const char *key, const char *reason)
{
	g_warning("record %s ignored, keeping its previous value if any: %s",
		  key, reason);
}

static void on_key_put(void *data, int64_t revision)
{
	struct platform_client *c = data;

	c->member_revision = revision;
	config_feed_check_sync(c->feed);
}

/*
 * While the member key was absent, other instances may have taken over the
 * share of this one. So the core receives the renewal only after all changes
 * that were made before the key was put again.
 */
static void on_renewed(void *data, int64_t asked_us, int64_t ttl_us)
{
	struct platform_client *c = data;

	c->renewal.requested_us = asked_us;
	c->renewal.ttl_us = ttl_us;
	c->renewal_pending = true;
	emit_renewal(c);
}

/* Pool cleanups run in reverse order: the calls of c->etcd have been freed. */
static apr_status_t client_cleanup(void *data)
{
	struct platform_client *c = data;

	if (c->lease)
		etcd_lease_free(c->lease);
	if (c->feed)
		config_feed_free(c->feed);
	if (c->writer)
		record_writer_free(c->writer);
	g_rand_free(c->rand);
	g_free(c->prefix);
	g_free(c->instances_prefix);
	g_free(c);
	return APR_SUCCESS;
}

static void start_lease(struct platform_client *c)
{
	struct record r = {
		.kind = RECORD_MEMBER,
		.member = c->opts.member,
	};
	char *key = record_to_key(c->prefix, &r);
	char *value = record_to_value(&r);

	c->lease = etcd_lease_new(&(struct etcd_lease_opts){
		.etcd = c->etcd,
		.loop = c->opts.loop,
		.rand = c->rand,
		.key = key,
		.value = value,
		.ttl_us = c->opts.lease_ttl_us,
		.on_key_put = on_key_put,
		.on_renewed = on_renewed,
		.data = c,
	});
	g_free(key);
	g_free(value);
}

static void start_components(struct platform_client *c)
{
	c->writer = record_writer_new(&(struct record_writer_opts){
		.etcd = c->etcd,
		.prefix = c->prefix,
		.on_event = c->opts.on_event,
		.data = c->opts.data,
	});
	c->feed = config_feed_new(&(struct config_feed_opts){
		.etcd = c->etcd,
		.loop = c->opts.loop,
		.rand = c->rand,
		.prefix = c->prefix,
		.instances_prefix = c->instances_prefix,
		.call_timeout_us = c->opts.call_timeout_us,
		.on_event = on_feed_event,
		.on_record_rejected = on_record_rejected,
		.data = c,
	});
	if (c->opts.lease_ttl_us > 0)
		start_lease(c);
}

static bool are_prefixes_valid(const struct platform_client_opts *o)
{
	return o->prefix[0] && o->instances_prefix[0] &&
	       !g_str_has_prefix(o->prefix, o->instances_prefix) &&
	       !g_str_has_prefix(o->instances_prefix, o->prefix);
}

static guint32 get_rand_seed(const struct platform_client_opts *o)
{
	uint64_t n = o->member.incarnation;

	return (guint32)(n ^ n >> 32);
}

int platform_client_new(struct platform_client **out,
			const struct platform_client_opts *opts,
			apr_pool_t *parent)
{
	struct platform_client *c;
	int rc;

	if (!are_prefixes_valid(opts))
		return -EINVAL;
	c = g_new0(struct platform_client, 1);
	c->opts = *opts;
	c->prefix = g_strdup(opts->prefix);
	c->instances_prefix = g_strdup(opts->instances_prefix);
	c->rand = g_rand_new_with_seed(get_rand_seed(opts));
	apr_pool_create(&c->pool, parent);
	apr_pool_cleanup_register(c->pool, c, client_cleanup,
				  apr_pool_cleanup_null);
	rc = etcd_new(&c->etcd,
		      &(struct etcd_opts){
			      .loop = opts->loop,
			      .addresses = opts->addresses,
			      .address_count = opts->address_count,
			      .call_timeout_us = opts->call_timeout_us,
			      .on_reachable = opts->on_reachable,
			      .data = opts->data,
		      },
		      c->pool);
	if (rc) {
		apr_pool_destroy(c->pool);
		return rc;
	}
	start_components(c);
	*out = c;
	return 0;
}

void platform_client_start_operation(struct platform_client *c,
				     const struct platform_start *p)
{
	record_writer_start_operation(c->writer, p);
}

void platform_client_change_record(struct platform_client *c,
				   const struct record *r, bool deleted,
				   int64_t expected_revision,
				   const struct endpoint_guard *guard,
				   platform_change_fn fn, void *data)
{
	record_writer_change_record(c->writer, r, deleted, expected_revision,
				    guard, fn, data);
}

uint64_t platform_client_call_count(const struct platform_client *c)
{
	return etcd_call_count(c->etcd);
}

void platform_client_leave(struct platform_client *c, void (*fn)(void *data),
			   void *data)
{
	if (c->lease)
		etcd_lease_revoke(c->lease, fn, data);
	else
		fn(data);
}
