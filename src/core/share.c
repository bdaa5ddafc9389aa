#include "core/share.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/*
 * The lease ends earlier here than in the platform: by the possible drift
 * between the clocks and by a margin.
 */
static const int64_t CLOCK_DRIFT_DIVISOR = 100; /* 1% */
static const int64_t LEASE_MARGIN_US = 100 * US_PER_MS;

static const int64_t RUN_INTERVAL_US = 20 * US_PER_MS;
static const int64_t REMOVAL_DELAY_DEFAULT_US = 2 * US_PER_S;
static const int64_t RETRY_DEFAULT_US = 50 * US_PER_MS;

enum { BACKOFF_DOUBLINGS_MAX = 6 };

struct cell {
	struct share_record record; /* latest known state */
	int64_t revision; /* older records are ignored */
	int64_t expected_revision; /* for the next compare-and-swap */
	bool trusted; /* .record was read or written in the current lease */
	bool needs_read; /* before the next change */
	uint32_t reserved_ppm; /* lent, must stay in the own entry */
	uint32_t allowed_ppm; /* own entry; increases may be held back */
	uint32_t use_cap_ppm; /* upper limit while a smaller entry is written */
	int64_t use_cap_revision; /* a later record lifts the cap */
	uint64_t operation_id; /* outstanding; 0: none */
	uint64_t operation_epoch; /* share epoch when it started */
	int64_t operation_revision; /* known revision when it started */
	bool operation_is_read;
	struct share_record pending; /* being written by the operation */
	int64_t next_try_us;
	uint32_t failures; /* consecutive */
};

struct share {
	char name[NAME_BYTES];
	uint64_t incarnation;
	const struct member_table *members; /* not owned */
	const struct key_guard *guard; /* not owned; may be NULL */
	int64_t removal_delay_us;
	int64_t retry_us;
	GRand *rand;
	bool draining;
	bool superseded; /* another process has taken the instance name */
	int64_t lease_until_us;
	int64_t outage_until_us;
	int64_t first_lease_us; /* -1: none yet */
	int64_t ttl_us;
	uint64_t epoch;
	uint64_t version;
	uint64_t last_operation;
	int64_t next_run_us;
	GHashTable *absent_since; /* holder's name to time in us, int64_t */
	uint32_t cell_count;
	struct cell *cells;
};

struct share *share_new(const struct share_opts *opts)
{
	struct share *s = g_new0(struct share, 1);

	g_strlcpy(s->name, opts->instance, sizeof(s->name));
	s->incarnation = opts->incarnation;
	s->members = opts->members;
	s->guard = opts->guard;
	s->removal_delay_us = opts->removal_delay_us ? opts->removal_delay_us :
						       REMOVAL_DELAY_DEFAULT_US;
	s->retry_us = opts->retry_us ? opts->retry_us : RETRY_DEFAULT_US;
	s->rand = g_rand_new_with_seed(
		(guint32)(opts->seed ^ (opts->seed >> 32)));
	s->first_lease_us = -1;
	s->lease_until_us = INT64_MIN;
	s->outage_until_us = INT64_MIN;
	s->absent_since =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->cell_count = opts->cells ? opts->cells : 1;
	s->cells = g_new0(struct cell, s->cell_count);
	for (uint32_t i = 0; i < s->cell_count; i++) {
		s->cells[i].record.cell = i;
		s->cells[i].use_cap_ppm = SHARE_WHOLE_PPM;
	}
	return s;
}

void share_free(struct share *s)
{
	g_rand_free(s->rand);
	g_hash_table_destroy(s->absent_since);
	g_free(s->cells);
	g_free(s);
}

uint32_t share_find_cell(const struct share *s, const char *workspace)
{
	return (uint32_t)(XXH64(workspace, strlen(workspace), 0) %
			  s->cell_count);
}

static bool is_own(const struct share *s, const struct share_holder *h)
{
	return h->incarnation == s->incarnation &&
	       !strcmp(h->instance, s->name);
}

static struct share_holder *find_own_entry(const struct share *s,
					   struct share_record *r)
{
	for (uint32_t i = 0; i < r->holder_count; i++) {
		if (is_own(s, &r->holders[i]))
			return &r->holders[i];
	}
	return NULL;
}

/* Stores a record whose revision is not lower than the known one's. */
static void apply_record(struct share *s, struct cell *c,
			 const struct share_record *r, int64_t revision)
{
	c->record = *r;
	c->revision = revision;
	c->expected_revision = revision;
	c->needs_read = false;
	if (revision > c->use_cap_revision)
		c->use_cap_ppm = SHARE_WHOLE_PPM;
	s->version++;
}

void share_put_record(struct share *s, const struct record *r)
{
	struct cell *c;

	if (r->share.cell >= s->cell_count)
		return;
	c = &s->cells[r->share.cell];
	if (r->revision > c->revision)
		apply_record(s, c, &r->share, r->revision);
}

/* Stops the use of all shares until their records have been read again. */
static void handle_lapse(struct share *s)
{
	s->outage_until_us = INT64_MIN;
	s->epoch++;
	s->version++;
	for (uint32_t i = 0; i < s->cell_count; i++) {
		s->cells[i].trusted = false;
		s->cells[i].needs_read = true;
	}
}

void share_handle_lease(struct share *s, const struct lease_renewal *lease,
			int64_t now_us)
{
	int64_t ends = lease->requested_us + lease->ttl_us -
		       lease->ttl_us / CLOCK_DRIFT_DIVISOR - LEASE_MARGIN_US;

	if (s->superseded)
		return;
	if (now_us >= s->lease_until_us)
		handle_lapse(s);
	if (s->first_lease_us < 0)
		s->first_lease_us = now_us;
	s->ttl_us = lease->ttl_us;
	s->lease_until_us = MAX(s->lease_until_us, ends);
}

void share_handle_member_key_lost(struct share *s, bool superseded)
{
	s->superseded |= superseded;
	s->lease_until_us = INT64_MIN;
	handle_lapse(s);
}

static void schedule_retry(struct share *s, struct cell *c, int64_t now_us)
{
	uint32_t doublings = MIN(c->failures, BACKOFF_DOUBLINGS_MAX);
	int64_t base = s->retry_us << doublings;

	c->failures++;
	c->next_try_us = now_us + base / 2 +
			 (int64_t)(g_rand_double(s->rand) * (double)base);
}

static void handle_read_result(struct share *s, struct cell *c,
			       const struct platform_result *r)
{
	struct share_record none = { .cell = c->record.cell };

	if (!r->found) {
		apply_record(s, c, &none, c->revision);
		c->expected_revision = 0;
	} else if (r->record.revision >= c->revision) {
		apply_record(s, c, &r->record.share, r->record.revision);
	} else {
		c->needs_read = true;
		return;
	}
	c->trusted = c->operation_epoch == s->epoch;
}

static void handle_applied_write(struct share *s, struct cell *c,
				 const struct platform_result *r,
				 struct action_queue *out)
{
	const struct share_holder *own;

	if (c->revision > c->operation_revision)
		return; /* a later record is known already */
	c->record = c->pending;
	c->trusted = c->operation_epoch == s->epoch;
	c->needs_read = true;
	if (r->record.revision > c->revision)
		apply_record(s, c, &c->pending, r->record.revision);
	s->version++;
	own = find_own_entry(s, &c->record);
	action_queue_log(out, LOG_SHARE_GRANTED, 0, s->name, own ? own->ppm : 0,
			 "own share in ppm of cell %u", c->record.cell);
}

static bool can_grow(const struct share *s, int64_t now_us)
{
	return !s->guard || key_guard_may_accept(s->guard, now_us);
}

/* Sets the usable share to the own entry; it increases only when allowed. */
static void update_allowed_ppm(struct share *s, struct cell *c, int64_t now_us)
{
	const struct share_holder *own = find_own_entry(s, &c->record);
	uint32_t ppm = own ? own->ppm : 0;

	if (!c->trusted || ppm == c->allowed_ppm ||
	    (ppm > c->allowed_ppm && !can_grow(s, now_us)))
		return;
	c->allowed_ppm = ppm;
	s->version++;
}

static struct cell *find_operation_cell(struct share *s, uint64_t id)
{
	for (uint32_t i = 0; i < s->cell_count; i++) {
		if (s->cells[i].operation_id == id)
			return &s->cells[i];
	}
	return NULL;
}

bool share_handle_platform(struct share *s, const struct platform_result *r,
			   int64_t now_us, struct action_queue *out)
{
	struct cell *c;

	if (!(r->operation_id & SHARE_OPERATION_BIT))
		return false;
	c = find_operation_cell(s, r->operation_id);
	if (!c)
		return true;
	c->operation_id = 0;
	if (r->outcome == PLATFORM_UNKNOWN) {
		c->needs_read = true;
		schedule_retry(s, c, now_us);
	} else if (c->operation_is_read) {
		handle_read_result(s, c, r);
		if (c->needs_read)
			schedule_retry(s, c, now_us);
	} else if (r->outcome == PLATFORM_REFUSED) {
		c->needs_read = true;
		if (r->found || r->record.revision > 0)
			handle_read_result(s, c, r);
		schedule_retry(s, c, now_us);
	} else {
		handle_applied_write(s, c, r, out);
		c->failures = 0;
	}
	update_allowed_ppm(s, c, now_us);
	return true;
}

static void start_operation(struct share *s, struct cell *c,
			    struct platform_start *p, struct action_queue *out)
{
	struct action a = { .type = ACTION_PLATFORM, .platform = p };

	p->operation_id = SHARE_OPERATION_BIT | ++s->last_operation;
	p->record.kind = RECORD_SHARE;
	c->operation_id = p->operation_id;
	c->operation_epoch = s->epoch;
	c->operation_revision = c->revision;
	c->operation_is_read = p->operation == PLATFORM_READ_SHARE;
	action_queue_push(out, &a);
}

static void start_read(struct share *s, struct cell *c,
		       struct action_queue *out)
{
	struct platform_start p = { .operation = PLATFORM_READ_SHARE };

	p.record.share.cell = c->record.cell;
	start_operation(s, c, &p, out);
}

static void start_write(struct share *s, struct cell *c,
			struct platform_start *p, struct action_queue *out)
{
	p->operation = PLATFORM_CAS_SHARE;
	p->expected_revision = c->expected_revision;
	c->pending = p->record.share;
	start_operation(s, c, p, out);
}

/* Records since when the holder's member key has been absent. */
static void update_absence(struct share *s, const char *name, int64_t now_us)
{
	if (!strcmp(name, s->name) || member_find(s->members, name)) {
		g_hash_table_remove(s->absent_since, name);
		return;
	}
	if (g_hash_table_lookup(s->absent_since, name))
		return;
	g_hash_table_insert(s->absent_since, g_strdup(name),
			    g_memdup2(&now_us, sizeof(now_us)));
}

static bool is_removable(const struct share *s, const struct share_holder *h,
			 int64_t now_us)
{
	const int64_t *since =
		g_hash_table_lookup(s->absent_since, h->instance);

	return since && now_us - *since >= s->removal_delay_us;
}

/*
 * Returns true for the entry of an earlier process of this instance whose
 * lease must have ended by now.
 */
static bool is_expired_own_entry(const struct share *s,
				 const struct share_holder *h, int64_t now_us)
{
	int64_t wait =
		s->ttl_us + s->ttl_us / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_US;

	return !strcmp(h->instance, s->name) && !is_own(s, h) &&
	       now_us - s->first_lease_us >= wait;
}

static void remove_holder(struct share_record *r, uint32_t i)
{
	r->holder_count--;
	memmove(&r->holders[i], &r->holders[i + 1],
		(r->holder_count - i) * sizeof(r->holders[0]));
	memset(&r->holders[r->holder_count], 0, sizeof(r->holders[0]));
}

/*
 * Removes holders whose member key has been absent for the removal delay,
 * which the write checks again, and expired entries of earlier processes.
 */
static void remove_departed_holders(struct share *s, struct platform_start *p,
				    int64_t now_us)
{
	struct share_record *r = &p->record.share;

	for (uint32_t i = r->holder_count; i-- > 0;) {
		const struct share_holder h = r->holders[i];

		if (is_expired_own_entry(s, &h, now_us)) {
			remove_holder(r, i);
		} else if (is_removable(s, &h, now_us)) {
			p->absent_members[p->absent_count++] = h;
			remove_holder(r, i);
		}
	}
}

static uint32_t compute_unallocated_ppm(const struct share_record *r)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < r->holder_count; i++)
		sum += r->holders[i].ppm;
	return sum < SHARE_WHOLE_PPM ? (uint32_t)(SHARE_WHOLE_PPM - sum) : 0;
}

/* Returns what holders below `fair` lack in excess of the unallocated ppm. */
static uint32_t compute_shortfall_ppm(const struct share_record *r,
				      uint32_t fair)
{
	uint64_t lack = 0;
	uint32_t pool = compute_unallocated_ppm(r);

	for (uint32_t i = 0; i < r->holder_count; i++) {
		if (r->holders[i].ppm < fair)
			lack += fair - r->holders[i].ppm;
	}
	return lack > pool ? (uint32_t)MIN(lack - pool, SHARE_WHOLE_PPM) : 0;
}

/* Returns the share that the own entry should have. */
static uint32_t compute_target_ppm(const struct cell *c,
				   const struct share_record *r,
				   const struct share_holder *own)
{
	uint32_t fair = SHARE_WHOLE_PPM / r->holder_count;
	uint32_t ppm = own->ppm;

	if (ppm < fair)
		return ppm + MIN(fair - ppm, compute_unallocated_ppm(r));
	ppm -= MIN(ppm - fair, compute_shortfall_ppm(r, fair));
	return MIN(own->ppm, MAX(ppm, c->reserved_ppm));
}

/* Plans to remove the own entry, or to reduce it to what is lent. */
static void plan_release(struct share *s, struct cell *c,
			 struct share_record *r)
{
	struct share_holder *own = find_own_entry(s, r);

	if (!own)
		return;
	if (c->reserved_ppm)
		own->ppm = MIN(own->ppm, c->reserved_ppm);
	else
		remove_holder(r, (uint32_t)(own - r->holders));
}

static void plan_allocation(struct share *s, struct cell *c,
			    struct share_record *r)
{
	struct share_holder *own = find_own_entry(s, r);

	if (!own && r->holder_count < SHARE_HOLDERS_MAX) {
		own = &r->holders[r->holder_count++];
		*own = (struct share_holder){ .incarnation = s->incarnation };
		g_strlcpy(own->instance, s->name, sizeof(own->instance));
	}
	if (own)
		own->ppm = compute_target_ppm(c, r, own);
}

/* Lowers the usable share before a smaller entry is written. */
static void lower_use_cap(struct share *s, struct cell *c,
			  const struct share_record *r)
{
	struct share_record planned = *r;
	const struct share_holder *now = find_own_entry(s, &c->record);
	const struct share_holder *next = find_own_entry(s, &planned);
	uint32_t ppm = next ? next->ppm : 0;

	if (!now || ppm >= now->ppm)
		return;
	c->use_cap_ppm = MIN(c->use_cap_ppm, ppm);
	c->use_cap_revision = MAX(c->use_cap_revision, c->revision);
	s->version++;
}

static bool are_records_equal(const struct share_record *a,
			      const struct share_record *b)
{
	if (a->holder_count != b->holder_count)
		return false;
	for (uint32_t i = 0; i < a->holder_count; i++) {
		const struct share_holder *x = &a->holders[i];
		const struct share_holder *y = &b->holders[i];

		if (x->incarnation != y->incarnation || x->ppm != y->ppm ||
		    strcmp(x->instance, y->instance) != 0)
			return false;
	}
	return true;
}

/*
 * Returns true when the cap is below the own entry. A write whose answer was
 * lost may still take effect until another write advances the revision, so a
 * new write is needed to lift the cap.
 */
static bool is_use_cap_stuck(const struct share *s, struct cell *c)
{
	const struct share_holder *own = find_own_entry(s, &c->record);

	return own && c->use_cap_ppm < own->ppm;
}

static void run_cell(struct share *s, struct cell *c, int64_t now_us,
		     struct action_queue *out)
{
	struct platform_start p = { 0 };
	struct share_record *r = &p.record.share;

	for (uint32_t i = 0; i < c->record.holder_count; i++)
		update_absence(s, c->record.holders[i].instance, now_us);
	update_allowed_ppm(s, c, now_us);
	if (c->operation_id || now_us < c->next_try_us)
		return;
	if (!c->trusted || c->needs_read) {
		start_read(s, c, out);
		return;
	}
	*r = c->record;
	if (s->draining) {
		plan_release(s, c, r);
	} else {
		/*
		 * If a removed holder has a member key again, of which this
		 * instance does not know yet, the change is refused. Therefore
		 * every other attempt after a failure removes no holder.
		 */
		if (c->failures % 2 == 0 && can_grow(s, now_us))
			remove_departed_holders(s, &p, now_us);
		plan_allocation(s, c, r);
	}
	if (are_records_equal(r, &c->record) && !is_use_cap_stuck(s, c))
		return;
	lower_use_cap(s, c, r);
	start_write(s, c, &p, out);
}

/*
 * Extends the validity of the shares during an outage of the platform, but
 * only while they are still valid: after a gap, another instance may use them.
 */
static void extend_through_outage(struct share *s, int64_t now_us)
{
	int64_t until;

	if (!s->guard || now_us >= share_valid_until_us(s))
		return;
	until = key_guard_outage_until_us(s->guard, now_us);
	s->outage_until_us = MAX(s->outage_until_us, until);
}

void share_run(struct share *s, int64_t now_us, struct action_queue *out)
{
	extend_through_outage(s, now_us);
	if (now_us >= s->lease_until_us || now_us < s->next_run_us)
		return;
	s->next_run_us = now_us + RUN_INTERVAL_US;
	for (uint32_t i = 0; i < s->cell_count; i++)
		run_cell(s, &s->cells[i], now_us, out);
}

void share_drain(struct share *s)
{
	s->draining = true;
}

bool share_is_drained(const struct share *s, int64_t now_us)
{
	if (now_us >= s->lease_until_us)
		return s->draining;
	for (uint32_t i = 0; i < s->cell_count; i++) {
		if (find_own_entry(s, &s->cells[i].record))
			return false;
	}
	return s->draining;
}

void share_set_reserved(struct share *s, uint32_t cell, uint32_t ppm)
{
	s->cells[cell].reserved_ppm = ppm;
}

void share_raise_reserved(struct share *s, uint32_t cell, uint32_t ppm)
{
	struct cell *c = &s->cells[cell];

	c->reserved_ppm = MAX(c->reserved_ppm, ppm);
}

uint32_t share_get_usable_ppm(const struct share *s, uint32_t cell,
			      int64_t now_us)
{
	struct cell *c = &s->cells[cell];
	const struct share_holder *own;

	if (!c->trusted || now_us >= share_valid_until_us(s))
		return 0;
	own = find_own_entry(s, &c->record);
	if (!own)
		return 0;
	return MIN(own->ppm, MIN(c->use_cap_ppm, c->allowed_ppm));
}

int64_t share_valid_until_us(const struct share *s)
{
	return MAX(s->lease_until_us, s->outage_until_us);
}

uint64_t share_epoch(const struct share *s)
{
	return s->epoch;
}

uint64_t share_version(const struct share *s)
{
	return s->version;
}

const struct share_record *share_get_record(const struct share *s,
					    uint32_t cell)
{
	return &s->cells[cell].record;
}
