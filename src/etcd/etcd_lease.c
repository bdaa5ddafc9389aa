#include "etcd/etcd_lease.h"

#include "core/sizes.h"
#include "etcd/backoff.h"
#include "etcd/etcd_json.h"

#include <errno.h>

enum {
	RENEWALS_PER_TTL = 3,
	RETRIES_PER_TTL = 10,
	HTTP_NOT_FOUND = 404,
};

enum lease_state {
	LEASE_NONE, /* next: request a lease */
	LEASE_GRANTED, /* next: put the key */
	LEASE_HELD, /* the key was put; next: renew the lease */
	LEASE_REVOKED, /* final, set when the revocation starts */
};

struct etcd_lease {
	struct etcd_lease_opts opts;
	char *key;
	char *value;
	enum lease_state state;
	bool call_pending; /* a call was sent and not answered yet */
	int64_t id; /* of the lease; 0: none was granted */
	int64_t ttl_us; /* as granted */
	int64_t asked_us; /* when the last grant or renewal was sent */
	struct loop_timer *timer; /* of the next call */
	struct backoff backoff;
	void (*revoked_fn)(void *data);
	void *revoked_data;
};

static void schedule_timer(struct etcd_lease *l, int64_t at_us)
{
	loop_timer_set(l->timer, at_us);
}

static void schedule_retry(struct etcd_lease *l)
{
	int64_t delay_us = backoff_next_us(&l->backoff, l->opts.rand);

	schedule_timer(l,
		       loop_now_us() +
			       MIN(delay_us, l->opts.ttl_us / RETRIES_PER_TTL));
}

static void restart_lease(struct etcd_lease *l)
{
	l->state = LEASE_NONE;
	l->id = 0;
	schedule_retry(l);
}

static json_t *new_id_request(const struct etcd_lease *l)
{
	json_t *o = json_object();

	json_object_set_new(o, "ID", json_sprintf("%lld", (long long)l->id));
	return o;
}

/* Ends the pending call; returns false if its answer is to be ignored. */
static bool end_call(struct etcd_lease *l)
{
	l->call_pending = false;
	return l->state != LEASE_REVOKED;
}

static bool is_lease_not_found(const struct etcd_answer *a)
{
	return a->error == -EREMOTEIO && a->http_status == HTTP_NOT_FOUND;
}

static void on_grant_answer(void *data, const struct etcd_answer *a)
{
	struct etcd_lease *l = data;

	if (!end_call(l))
		return;
	l->id = etcd_json_get_int(a->body, "ID");
	l->ttl_us = etcd_json_get_int(a->body, "TTL") * US_PER_S;
	if (a->error || !l->id || l->ttl_us <= 0) {
		restart_lease(l);
		return;
	}
	l->asked_us = a->asked_us;
	l->state = LEASE_GRANTED;
	schedule_timer(l, loop_now_us());
}

static void on_put_key_answer(void *data, const struct etcd_answer *a)
{
	struct etcd_lease *l = data;

	if (!end_call(l))
		return;
	if (is_lease_not_found(a)) {
		/* The lease expired before the key was put. */
		restart_lease(l);
		return;
	}
	if (a->error) {
		schedule_retry(l);
		return;
	}
	backoff_reset(&l->backoff);
	l->state = LEASE_HELD;
	l->opts.on_key_put(l->opts.data, a->revision);
	l->opts.on_renewed(l->opts.data, l->asked_us, l->ttl_us);
	schedule_timer(l, l->asked_us + l->ttl_us / RENEWALS_PER_TTL);
}

static void on_keepalive_answer(void *data, const struct etcd_answer *a)
{
	struct etcd_lease *l = data;
	const json_t *result = json_object_get(a->body, "result");
	int64_t ttl_us = etcd_json_get_int(result, "TTL") * US_PER_S;

	if (!end_call(l))
		return;
	if (a->error && !is_lease_not_found(a)) {
		schedule_retry(l);
		return;
	}
	if (a->error || ttl_us <= 0) {
		restart_lease(l);
		return;
	}
	backoff_reset(&l->backoff);
	l->asked_us = a->asked_us;
	l->ttl_us = ttl_us;
	if (l->state == LEASE_GRANTED) {
		schedule_timer(l, loop_now_us());
		return;
	}
	l->opts.on_renewed(l->opts.data, l->asked_us, l->ttl_us);
	schedule_timer(l, l->asked_us + l->ttl_us / RENEWALS_PER_TTL);
}

static void send_grant(struct etcd_lease *l)
{
	int64_t ttl_s = (l->opts.ttl_us + US_PER_S - 1) / US_PER_S;
	json_t *o = json_object();

	json_object_set_new(o, "TTL", json_sprintf("%lld", (long long)ttl_s));
	etcd_call(l->opts.etcd, "/v3/lease/grant", o, on_grant_answer, l);
}

static void send_put_key(struct etcd_lease *l)
{
	etcd_call(l->opts.etcd, "/v3/kv/put",
		  etcd_json_new_put(l->key, l->value, l->id), on_put_key_answer,
		  l);
}

static void send_keepalive(struct etcd_lease *l)
{
	etcd_call(l->opts.etcd, "/v3/lease/keepalive", new_id_request(l),
		  on_keepalive_answer, l);
}

static void notify_revoked(struct etcd_lease *l)
{
	if (l->revoked_fn)
		l->revoked_fn(l->revoked_data);
	l->revoked_fn = NULL;
}

static void on_timer(void *data, int64_t now_us)
{
	struct etcd_lease *l = data;

	if (l->state == LEASE_REVOKED) {
		notify_revoked(l);
		return;
	}
	if (l->call_pending)
		return;
	l->call_pending = true;
	if (l->state == LEASE_NONE)
		send_grant(l);
	else if (l->state == LEASE_GRANTED)
		send_put_key(l);
	else
		send_keepalive(l);
}

struct etcd_lease *etcd_lease_new(const struct etcd_lease_opts *opts)
{
	struct etcd_lease *l = g_new0(struct etcd_lease, 1);

	l->opts = *opts;
	l->key = g_strdup(opts->key);
	l->value = g_strdup(opts->value);
	l->timer = loop_timer_add(opts->loop, on_timer, l);
	schedule_timer(l, loop_now_us());
	return l;
}

void etcd_lease_free(struct etcd_lease *l)
{
	loop_timer_set(l->timer, -1);
	g_free(l->key);
	g_free(l->value);
	g_free(l);
}

void etcd_lease_put_key(struct etcd_lease *l)
{
	if (l->state != LEASE_HELD)
		return;
	l->state = LEASE_GRANTED;
	schedule_timer(l, loop_now_us());
}

static void on_revoke_answer(void *data, const struct etcd_answer *a)
{
	notify_revoked(data);
}

void etcd_lease_revoke(struct etcd_lease *l, void (*fn)(void *data), void *data)
{
	bool granted = l->id != 0;

	l->state = LEASE_REVOKED;
	l->revoked_fn = fn;
	l->revoked_data = data;
	schedule_timer(l, granted ? -1 : loop_now_us());
	if (granted)
		etcd_call(l->opts.etcd, "/v3/lease/revoke", new_id_request(l),
			  on_revoke_answer, l);
}
