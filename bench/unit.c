#include "unit.h"

#include "core/sizes.h"

#include <string.h>

enum {
	PATH_BYTES = 160,
	TRANSACTION_BYTES = 32,
	/* A write by id is asked again until its outcome is known. */
	ASKS_MAX = 5,
};

#define SQLSTATE_UNIQUE "23505"
#define SQL_READ "SELECT count(*) FROM orders WHERE id = $1"
#define SQL_WRITE "INSERT INTO orders (id, item, qty) VALUES ($1, $2, $3)"

enum stage { STAGE_ONLY, STAGE_BEGIN, STAGE_STATEMENT, STAGE_COMMIT };

struct unit {
	struct unit_context *ctx;
	struct http_call *call;
	struct record record;
	enum stage stage;
	uint32_t instance;
	struct session *session;
	uint64_t session_version;
	char transaction[TRANSACTION_BYTES];
	char expected[ORDER_ID_BYTES]; /* order that a read must find */
	int64_t sent_us;
	bool had_token;
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

static uint32_t draw(struct unit_context *ctx, uint32_t n)
{
	return (uint32_t)g_rand_int_range(ctx->rand, 0, (gint32)n);
}

static char *read_body(const struct unit *u)
{
	const char *id = u->expected[0] ? u->expected : "none";

	return g_strdup_printf("{\"sql\":\"" SQL_READ "\",\"params\":[\"%s\"]}",
			       id);
}

static char *write_body(const struct unit *u)
{
	return g_strdup_printf("{\"sql\":\"" SQL_WRITE
			       "\",\"params\":[\"%s\",\"oak\",1]}",
			       u->record.order_id);
}

static char *stage_body(const struct unit *u)
{
	if (u->stage == STAGE_BEGIN || u->stage == STAGE_COMMIT)
		return g_strdup("");
	return work_writes(u->record.kind) ? write_body(u) : read_body(u);
}

static void stage_path(const struct unit *u, char out[PATH_BYTES])
{
	const char *group = u->ctx->plan->groups[u->record.group];
	const char *last = work_writes(u->record.kind) ? "write" : "read";

	if (u->stage == STAGE_ONLY)
		g_snprintf(out, PATH_BYTES, "/v1/groups/%s/%s", group, last);
	else if (u->stage == STAGE_BEGIN)
		g_snprintf(out, PATH_BYTES, "/v1/groups/%s/transactions",
			   group);
	else
		g_snprintf(out, PATH_BYTES, "/v1/groups/%s/transactions/%s/%s",
			   group, u->transaction,
			   u->stage == STAGE_COMMIT ? "commit" : "statements");
}

static const char *request_id(const struct unit *u)
{
	return u->record.kind == WORK_BY_ID ? u->record.order_id : NULL;
}

static void send_request(struct unit *u, int64_t now_us)
{
	const struct plan *p = u->ctx->plan;
	struct rate_check *limit = &u->ctx->limits[u->record.workspace];
	char path[PATH_BYTES];
	bool stale = u->record.kind == WORK_READ;

	stage_path(u, path);
	u->session_version = u->session->version;
	u->sent_us = now_us;
	u->record.sends++;
	/* The end of a transaction is not limited. */
	if (u->stage != STAGE_COMMIT) {
		u->had_token = rate_check_send(limit, now_us);
		u->record.in_rate &= u->had_token;
	}
	http_call_start(u->call, u->ctx->multi,
			&(struct http_call_opts){
				.address = p->instances[u->instance],
				.path = path,
				.key = p->workspaces[u->record.workspace].key,
				.profile = stale ? p->read_profile :
						   p->strict_profile,
				.request_id = request_id(u),
				.session = *u->session->token ?
						   u->session->token :
						   NULL,
				.once = u->record.kind == WORK_ONCE,
				.deadline_ms = p->deadline_ms,
				.body = stage_body(u),
			});
}

static void choose_target(struct unit *u, int64_t now_us)
{
	struct unit_context *ctx = u->ctx;
	struct session *s;

	s = &ctx->sessions[u->record.workspace * ctx->plan->sessions +
			   draw(ctx, ctx->plan->sessions)];
	u->session = s;
	u->instance = draw(ctx, ctx->plan->instance_count);
	u->record.group = draw(ctx, ctx->plan->group_count);
	u->expected[0] = '\0';
	if (work_writes(u->record.kind)) {
		g_snprintf(u->record.order_id, ORDER_ID_BYTES,
			   "%08x-%" G_GUINT64_FORMAT, ctx->nonce,
			   ctx->next_order++);
	} else if (s->last_order[0]) {
		memcpy(u->expected, s->last_order, ORDER_ID_BYTES);
		u->record.behind_us = now_us - s->wrote_us;
		u->record.group = s->last_group;
	}
}

void unit_start(struct unit *u, uint32_t workspace, int64_t scheduled_us,
		int64_t now_us)
{
	u->record = (struct record){
		.scheduled_us = scheduled_us,
		.workspace = workspace,
		.endpoint = NO_INDEX,
		.age_us = -1,
		.behind_us = INT64_MAX,
		.in_rate = true,
		.in_surge = u->ctx->in_surge,
		.kind = plan_draw_kind(&u->ctx->plan->workspaces[workspace],
				       u->ctx->rand),
	};
	choose_target(u, now_us);
	u->stage =
		u->record.kind == WORK_TRANSACTION ? STAGE_BEGIN : STAGE_ONLY;
	send_request(u, now_us);
}

static uint32_t endpoint_index(const struct plan *p, const char *name)
{
	for (uint32_t i = 0; i < p->endpoint_count; i++) {
		if (g_str_equal(p->endpoints[i].name, name))
			return i;
	}
	return NO_INDEX;
}

static void account(struct unit *u, const struct http_answer_view *a,
		    int64_t now_us)
{
	struct taken t = { .sent_us = u->sent_us, .done_us = now_us };
	uint32_t row = u->record.workspace;

	if (u->stage == STAGE_COMMIT)
		return;
	if (a->answered && a->verdict != VERDICT_NOT_RUN)
		g_array_append_val(u->ctx->records->taken[row], t);
	rate_check_done(&u->ctx->limits[row], u->had_token,
			a->error != ERR_RATE_LIMITED);
}

/* Returns true when another request of the unit was sent. */
static bool next_stage(struct unit *u, const struct http_answer_view *a,
		       int64_t now_us)
{
	if (a->error || u->stage == STAGE_ONLY || u->stage == STAGE_COMMIT)
		return false;
	if (u->stage == STAGE_BEGIN)
		g_strlcpy(u->transaction, a->transaction, TRANSACTION_BYTES);
	u->stage = u->stage == STAGE_BEGIN ? STAGE_STATEMENT : STAGE_COMMIT;
	send_request(u, now_us);
	return true;
}

static bool ask_again(struct unit *u, const struct http_answer_view *a,
		      int64_t now_us)
{
	if (u->record.kind != WORK_BY_ID ||
	    a->verdict != VERDICT_MAY_HAVE_RUN || u->record.sends >= ASKS_MAX)
		return false;
	u->instance = (u->instance + 1) % u->ctx->plan->instance_count;
	send_request(u, now_us);
	return true;
}

static void follow_session(struct unit *u, const struct http_answer_view *a,
			   int64_t now_us)
{
	if (work_writes(u->record.kind)) {
		session_wrote(u->session, a->session, u->record.order_id,
			      u->record.group, now_us);
		return;
	}
	session_read(u->session, a->session, u->session_version);
	if (u->expected[0] && !g_str_equal(a->first_value, "1"))
		u->ctx->records->stale_sessions++;
}

/* A refused statement of a transaction leaves nothing committed. */
static enum verdict unit_verdict(const struct unit *u,
				 const struct http_answer_view *a)
{
	bool open = u->stage == STAGE_BEGIN || u->stage == STAGE_STATEMENT;

	return open && a->error ? VERDICT_NOT_RUN : a->verdict;
}

static void finish(struct unit *u, const struct http_answer_view *a,
		   int64_t now_us)
{
	struct record *r = &u->record;

	r->done_us = now_us;
	r->error = a->error;
	r->verdict = unit_verdict(u, a);
	r->unanswered = !a->answered;
	r->duplicate = g_str_equal(a->sqlstate, SQLSTATE_UNIQUE);
	r->age_us = a->age_us;
	r->endpoint = endpoint_index(u->ctx->plan, a->endpoint);
	if (!a->error)
		follow_session(u, a, now_us);
	g_array_append_val(u->ctx->records->rows, *r);
}

bool unit_answered(struct unit *u, CURLcode rc, int64_t now_us)
{
	const struct http_answer_view *a;

	http_call_finish(u->call, u->ctx->multi, rc);
	a = http_call_answer(u->call);
	account(u, a, now_us);
	if (next_stage(u, a, now_us) || ask_again(u, a, now_us))
		return false;
	finish(u, a, now_us);
	return true;
}
