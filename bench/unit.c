#include "unit.h"

#include "core/sizes.h"

#include <string.h>

enum {
	PATH_BYTES = 160,
	TRANSACTION_BYTES = 32,
	/*
	 * A write with a request id is repeated until its outcome is known,
	 * up to this number of requests.
	 */
	REQUESTS_MAX = 5,
};

#define SQLSTATE_UNIQUE "23505"
#define SQL_READ "SELECT count(*) FROM orders WHERE id = $1"
#define SQL_WRITE "INSERT INTO orders (id, item, qty) VALUES ($1, $2, $3)"

enum stage { STAGE_SINGLE, STAGE_BEGIN, STAGE_STATEMENT, STAGE_COMMIT };

struct unit {
	struct unit_context *ctx;
	struct http_call *call;
	struct work_record record;
	enum stage stage;
	uint32_t instance;
	struct session *session;
	uint64_t session_version;
	char transaction[TRANSACTION_BYTES];
	char expected_order[ORDER_ID_BYTES]; /* that a read must find */
	int64_t sent_us;
	bool had_token; /* of the limit, when the request was sent */
};

struct unit *unit_new(struct unit_context *ctx)
{
	struct unit *u = g_new0(struct unit, 1);

	u->ctx = ctx;
	u->call = http_call_new(u);
	return u;
}

void unit_free(struct unit *u)
{
	http_call_free(u->call);
	g_free(u);
}

static uint32_t draw_index(struct unit_context *ctx, uint32_t n)
{
	return (uint32_t)g_rand_int_range(ctx->rand, 0, (gint32)n);
}

static char *make_read_body(const struct unit *u)
{
	const char *id = u->expected_order[0] ? u->expected_order : "none";

	return g_strdup_printf("{\"sql\":\"" SQL_READ "\",\"params\":[\"%s\"]}",
			       id);
}

static char *make_write_body(const struct unit *u)
{
	return g_strdup_printf("{\"sql\":\"" SQL_WRITE
			       "\",\"params\":[\"%s\",\"oak\",1]}",
			       u->record.order_id);
}

static char *make_body(const struct unit *u)
{
	if (u->stage == STAGE_BEGIN || u->stage == STAGE_COMMIT)
		return g_strdup("");
	return work_is_write(u->record.kind) ? make_write_body(u) :
					       make_read_body(u);
}

static void format_path(const struct unit *u, char out[PATH_BYTES])
{
	const char *group = u->ctx->plan->groups[u->record.group];
	const char *last = work_is_write(u->record.kind) ? "write" : "read";

	if (u->stage == STAGE_SINGLE)
		g_snprintf(out, PATH_BYTES, "/v1/groups/%s/%s", group, last);
	else if (u->stage == STAGE_BEGIN)
		g_snprintf(out, PATH_BYTES, "/v1/groups/%s/transactions",
			   group);
	else
		g_snprintf(out, PATH_BYTES, "/v1/groups/%s/transactions/%s/%s",
			   group, u->transaction,
			   u->stage == STAGE_COMMIT ? "commit" : "statements");
}

static const char *get_request_id(const struct unit *u)
{
	return u->record.kind == WORK_BY_ID ? u->record.order_id : NULL;
}

static void send_request(struct unit *u, int64_t now_us)
{
	const struct plan *p = u->ctx->plan;
	struct rate_check *limit = &u->ctx->limits[u->record.workspace];
	char path[PATH_BYTES];
	bool stale = u->record.kind == WORK_READ;

	format_path(u, path);
	u->session_version = u->session->version;
	u->sent_us = now_us;
	u->record.requests_sent++;
	/* Commits do not count against the limit. */
	if (u->stage != STAGE_COMMIT) {
		u->had_token = rate_check_take_token(limit, now_us);
		u->record.within_limit &= u->had_token;
	}
	http_call_start(u->call, u->ctx->multi,
			&(struct http_call_opts){
				.address = p->instances[u->instance],
				.path = path,
				.key = p->workspaces[u->record.workspace].key,
				.profile = stale ? p->read_profile :
						   p->strict_profile,
				.request_id = get_request_id(u),
				.session = *u->session->token ?
						   u->session->token :
						   NULL,
				.not_repeatable = u->record.kind == WORK_ONCE,
				.deadline_ms = p->deadline_ms,
				.body = make_body(u),
			});
}

static void choose_target(struct unit *u, int64_t now_us)
{
	struct unit_context *ctx = u->ctx;
	struct session *s;

	s = &ctx->sessions[u->record.workspace * ctx->plan->sessions +
			   draw_index(ctx, ctx->plan->sessions)];
	u->session = s;
	u->instance = draw_index(ctx, ctx->plan->instance_count);
	u->record.group = draw_index(ctx, ctx->plan->group_count);
	u->expected_order[0] = '\0';
	if (work_is_write(u->record.kind)) {
		g_snprintf(u->record.order_id, ORDER_ID_BYTES,
			   "%08x-%" G_GUINT64_FORMAT, ctx->nonce,
			   ctx->next_order++);
	} else if (s->last_order_id[0]) {
		memcpy(u->expected_order, s->last_order_id, ORDER_ID_BYTES);
		u->record.since_write_us = now_us - s->written_us;
		u->record.group = s->last_group;
	}
}

void unit_start(struct unit *u, uint32_t workspace, int64_t scheduled_us,
		int64_t now_us)
{
	u->record = (struct work_record){
		.scheduled_us = scheduled_us,
		.workspace = workspace,
		.endpoint = NO_INDEX,
		.age_us = -1,
		.since_write_us = INT64_MAX,
		.within_limit = true,
		.in_surge = u->ctx->in_surge,
		.kind = plan_draw_kind(&u->ctx->plan->workspaces[workspace],
				       u->ctx->rand),
	};
	choose_target(u, now_us);
	u->stage =
		u->record.kind == WORK_TRANSACTION ? STAGE_BEGIN : STAGE_SINGLE;
	send_request(u, now_us);
}

static uint32_t find_endpoint(const struct plan *p, const char *name)
{
	for (uint32_t i = 0; i < p->endpoint_count; i++) {
		if (g_str_equal(p->endpoints[i].name, name))
			return i;
	}
	return NO_INDEX;
}

/* Records an admitted request and updates the expected state of the limit. */
static void track_limit(struct unit *u, const struct http_answer_view *a,
			int64_t now_us)
{
	struct admitted_request t = { .sent_us = u->sent_us,
				      .done_us = now_us };
	uint32_t workspace = u->record.workspace;

	if (u->stage == STAGE_COMMIT)
		return;
	if (a->answered && a->verdict != VERDICT_NOT_RUN)
		g_array_append_val(u->ctx->records->admitted[workspace], t);
	rate_check_correct(&u->ctx->limits[workspace], u->had_token,
			   a->error != ERR_RATE_LIMITED);
}

/* Returns true when another request of the unit was sent. */
static bool send_next_stage(struct unit *u, const struct http_answer_view *a,
			    int64_t now_us)
{
	if (a->error || u->stage == STAGE_SINGLE || u->stage == STAGE_COMMIT)
		return false;
	if (u->stage == STAGE_BEGIN)
		g_strlcpy(u->transaction, a->transaction, TRANSACTION_BYTES);
	u->stage = u->stage == STAGE_BEGIN ? STAGE_STATEMENT : STAGE_COMMIT;
	send_request(u, now_us);
	return true;
}

/*
 * Repeats a write with a request id on the next instance if its outcome is
 * unknown. Returns true when the request was sent.
 */
static bool retry_write(struct unit *u, const struct http_answer_view *a,
			int64_t now_us)
{
	if (u->record.kind != WORK_BY_ID ||
	    a->verdict != VERDICT_MAY_HAVE_RUN ||
	    u->record.requests_sent >= REQUESTS_MAX)
		return false;
	u->instance = (u->instance + 1) % u->ctx->plan->instance_count;
	send_request(u, now_us);
	return true;
}

static void update_session(struct unit *u, const struct http_answer_view *a,
			   int64_t now_us)
{
	if (work_is_write(u->record.kind)) {
		session_update_after_write(u->session, a->session,
					   u->record.order_id, u->record.group,
					   now_us);
		return;
	}
	session_update_after_read(u->session, a->session, u->session_version);
	if (u->expected_order[0] && !g_str_equal(a->first_value, "1"))
		u->ctx->records->stale_session_reads++;
}

/* A transaction that fails before its commit leaves nothing committed. */
static enum verdict get_unit_verdict(const struct unit *u,
				     const struct http_answer_view *a)
{
	bool open = u->stage == STAGE_BEGIN || u->stage == STAGE_STATEMENT;

	return open && a->error ? VERDICT_NOT_RUN : a->verdict;
}

static void record_outcome(struct unit *u, const struct http_answer_view *a,
			   int64_t now_us)
{
	struct work_record *r = &u->record;

	r->done_us = now_us;
	r->error = a->error;
	r->verdict = get_unit_verdict(u, a);
	r->unanswered = !a->answered;
	r->duplicate = g_str_equal(a->sqlstate, SQLSTATE_UNIQUE);
	r->age_us = a->age_us;
	r->endpoint = find_endpoint(u->ctx->plan, a->endpoint);
	if (!a->error)
		update_session(u, a, now_us);
	g_array_append_val(u->ctx->records->rows, *r);
}

bool unit_handle_answer(struct unit *u, CURLcode rc, int64_t now_us)
{
	const struct http_answer_view *a;

	http_call_finish(u->call, u->ctx->multi, rc);
	a = http_call_answer(u->call);
	track_limit(u, a, now_us);
	if (send_next_stage(u, a, now_us) || retry_write(u, a, now_us))
		return false;
	record_outcome(u, a, now_us);
	return true;
}
