/*
 * share.h - this instance's part of the limits, cell by cell.
 *
 * A workspace belongs to the cell hash(name) modulo the number of cells.
 * Each cell has one RECORD_SHARE in the platform; only an instance itself
 * changes its own entry, except that entries whose member key is absent are
 * removed by others. The part of an instance is its entry, and it counts
 * only
 *  - until the own lease ends by the own clock, less 1% and 100 ms. Others
 *    remove the entry later, because the member key lives as long as the
 *    lease in the platform, which counts from the receipt of the renewal;
 *  - once the record was read, or a compare of it held, in the present
 *    lease. After a lapse the entry may be gone without our knowing;
 *  - up to a bound that is lowered before a smaller entry is written, and
 *    lifted by a record of a later revision than the write was based on:
 *    from then on the write cannot take effect any more.
 *  - where it grew, once this instance was synced for as long as it must be
 *    before it accepts changes (core/key_guard.h).
 * When the platform is lost to everyone, a part counts beyond the lease, as
 * long as the answers of rule (c) in core/key_guard.h follow on the lease
 * and on each other without a gap: nobody can use what was taken away from
 * this instance before it has been synced for longer than an answer counts.
 * The same assumption about members that are not known applies.
 *
 * The entry of an earlier process of the same name is removed once a whole
 * lease has passed since this process got its own: until then the earlier
 * one, and who borrowed from it, may still use it. Two live processes never
 * share a name for longer than a lease.
 *
 * A cell has room for SHARE_HOLDERS_MAX holders. Further instances hold
 * nothing in it and live on loans.
 */
#ifndef CORE_SHARE_H
#define CORE_SHARE_H

#include "core/action_queue.h"
#include "core/event.h"
#include "core/key_guard.h"
#include "core/member.h"

#include <stdbool.h>
#include <stdint.h>

struct share;

/* Set in the operation_id of every platform operation that share starts. */
#define SHARE_OPERATION_BIT (UINT64_C(1) << 63)

struct share_opts {
	const char *instance;
	uint64_t incarnation;
	uint64_t seed;
	uint32_t cells;
	const struct member_table *members; /* borrowed */
	/* Borrowed; NULL: parts end with the lease and grow at once. */
	const struct key_guard *guard;
	int64_t removal_delay_us; /* a holder is absent so long; 0: 2 s */
	int64_t retry_us; /* least back-off; 0: 50 ms */
};

/* Freed by its owner with share_free(). */
struct share *share_new(const struct share_opts *opts);
void share_free(struct share *s);

/* Returns the cell of a workspace. */
uint32_t share_cell(const struct share *s, const char *workspace);

/* EVENT_RECORD_PUT of a RECORD_SHARE. */
void share_put_record(struct share *s, const struct record *r);

/*
 * EVENT_LEASE. After a lapse the host reports a lease only once the member
 * key is written again.
 */
void share_handle_lease(struct share *s, const struct lease_renewal *lease,
			int64_t now_us);

/*
 * The own member key is gone: nothing is used until the next lease. Or
 * another process took the name: nothing is used any more.
 */
void share_handle_member_key_lost(struct share *s, bool superseded);

/* Takes a result; returns false when the operation is not of share. */
bool share_handle_platform(struct share *s, const struct platform_result *r,
			   int64_t now_us, struct action_queue *out);

/* Starts what is due; at most one operation a cell is outstanding. */
void share_run(struct share *s, int64_t now_us, struct action_queue *out);

/* Gives every part back, as far as nothing of it is lent. */
void share_drain(struct share *s);

/* Returns true when nothing is held, or the lease has ended anyhow. */
bool share_is_drained(const struct share *s, int64_t now_us);

/* What is lent and must stay in the own entry of the cell. */
void share_set_reserved(struct share *s, uint32_t cell, uint32_t ppm);
void share_raise_reserved(struct share *s, uint32_t cell, uint32_t ppm);

/* Returns the part in use at a time not before the last call's. */
uint32_t share_ppm(const struct share *s, uint32_t cell, int64_t now_us);

/* Returns the end of the own lease or of the known outage. */
int64_t share_valid_until_us(const struct share *s);

/* Grows whenever a lease lapsed: tokens of before count no more. */
uint64_t share_epoch(const struct share *s);

/* Grows whenever a part may have changed other than by the lease's end. */
uint64_t share_version(const struct share *s);

/* Returns the latest known record of a cell; holder_count 0 if none. */
const struct share_record *share_get_record(const struct share *s,
					    uint32_t cell);

#endif
