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
	LEASE_NONE, /* to be granted */
	LEASE_GRANTED, /* the key is to be put */
	LEASE_HELD, /* to be renewed */
	LEASE_LEFT, /* revoked for good */
};

struct etcd_lease {
	struct etcd_lease_opts opts;
	char *key;
	char *value;
	enum lease_state state;
	bool calling; /* an answer is awaited */
	int64_t id;
	int64_t ttl_us;
	int64_t asked_us; /* when the last grant or renewal was sent */
	struct loop_timer *timer;
	struct backoff backoff;
	void (*on_left)(void *data);
	void *left_data;
};

static void run_later(struct etcd_lease *l, int64_t at_us)
{
	loop_timer_set(l->timer, at_us);
}

static void retry(struct etcd_lease *l)
{
	int64_t delay_us = backoff_next_us(&l->backoff, l->opts.rand);

	run_later(l, loop_now_us() +
			     MIN(delay_us, l->opts.ttl_us / RETRIES_PER_TTL));
}

static void start_again(struct etcd_lease *l)
{
	l->state = LEASE_NONE;
	l->id = 0;
	retry(l);
}

static json_t *id_request(const struct etcd_lease *l)
{
	json_t *o = json_object();

	json_object_set_new(o, "ID", json_sprintf("%lld", (long long)l->id));
	return o;
}

/* Takes an answer in; returns false after leaving. */
static bool take_answer(struct etcd_lease *l)
{
	l->calling = false;
	return l->state != LEASE_LEFT;
}

static bool is_lease_unknown(const struct etcd_answer *a)
{
	return a->error == -EREMOTEIO && a->http_status == HTTP_NOT_FOUND;
}

static void on_granted(void *data, const struct etcd_answer *a)
{
	struct etcd_lease *l = data;

	if (!take_answer(l))
		return;
	l->id = etcd_json_int(a->body, "ID");
	l->ttl_us = etcd_json_int(a->body, "TTL") * US_PER_S;
	if (a->error || !l->id || l->ttl_us <= 0) {
		start_again(l);
		return;
	}
	l->asked_us = a->asked_us;
	l->state = LEASE_GRANTED;
	run_later(l, loop_now_us());
}

static void on_key_put(void *data, const struct etcd_answer *a)
{
	struct etcd_lease *l = data;

	if (!take_answer(l))
		return;
	if (is_lease_unknown(a)) {
		/* The lease ran out before the key was put. */
		start_again(l);
		return;
	}
	if (a->error) {
		retry(l);
		return;
	}
	backoff_reset(&l->backoff);
	l->state = LEASE_HELD;
	l->opts.on_key_put(l->opts.data, a->revision);
	l->opts.on_renewed(l->opts.data, l->asked_us, l->ttl_us);
	run_later(l, l->asked_us + l->ttl_us / RENEWALS_PER_TTL);
}

static void on_kept_alive(void *data, const struct etcd_answer *a)
{
	struct etcd_lease *l = data;
	const json_t *result = json_object_get(a->body, "result");
	int64_t ttl_us = etcd_json_int(result, "TTL") * US_PER_S;

	if (!take_answer(l))
		return;
	if (a->error && !is_lease_unknown(a)) {
		retry(l);
		return;
	}
	if (a->error || ttl_us <= 0) {
		start_again(l);
		return;
	}
	backoff_reset(&l->backoff);
	l->asked_us = a->asked_us;
	l->ttl_us = ttl_us;
	if (l->state == LEASE_GRANTED) {
		run_later(l, loop_now_us());
		return;
	}
	l->opts.on_renewed(l->opts.data, l->asked_us, l->ttl_us);
	run_later(l, l->asked_us + l->ttl_us / RENEWALS_PER_TTL);
}

static void grant(struct etcd_lease *l)
{
	int64_t ttl_s = (l->opts.ttl_us + US_PER_S - 1) / US_PER_S;
	json_t *o = json_object();

	json_object_set_new(o, "TTL", json_sprintf("%lld", (long long)ttl_s));
	etcd_call(l->opts.etcd, "/v3/lease/grant", o, on_granted, l);
}

static void put_key(struct etcd_lease *l)
{
	etcd_call(l->opts.etcd, "/v3/kv/put",
		  etcd_json_put(l->key, l->value, l->id), on_key_put, l);
}

static void keep_alive(struct etcd_lease *l)
{
	etcd_call(l->opts.etcd, "/v3/lease/keepalive", id_request(l),
		  on_kept_alive, l);
}

static void left(struct etcd_lease *l)
{
	if (l->on_left)
		l->on_left(l->left_data);
	l->on_left = NULL;
}

static void on_timer(void *data, int64_t now_us)
{
	struct etcd_lease *l = data;

	if (l->state == LEASE_LEFT) {
		left(l);
		return;
	}
	if (l->calling)
		return;
	l->calling = true;
	if (l->state == LEASE_NONE)
		grant(l);
	else if (l->state == LEASE_GRANTED)
		put_key(l);
	else
		keep_alive(l);
}

struct etcd_lease *etcd_lease_new(const struct etcd_lease_opts *opts)
{
	struct etcd_lease *l = g_new0(struct etcd_lease, 1);

	l->opts = *opts;
	l->key = g_strdup(opts->key);
	l->value = g_strdup(opts->value);
	l->timer = loop_timer_add(opts->loop, on_timer, l);
	run_later(l, loop_now_us());
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
	run_later(l, loop_now_us());
}

static void on_revoked(void *data, const struct etcd_answer *a)
{
	left(data);
}

void etcd_lease_leave(struct etcd_lease *l, void (*fn)(void *data), void *data)
{
	bool granted = l->id != 0;

	l->state = LEASE_LEFT;
	l->on_left = fn;
	l->left_data = data;
	run_later(l, granted ? -1 : loop_now_us());
	if (granted)
		etcd_call(l->opts.etcd, "/v3/lease/revoke", id_request(l),
			  on_revoked, l);
}
