/*
 * share.h - this instance's share of the workspaces' limits.
 *
 * Workspaces are partitioned into cells: a workspace belongs to the cell
 * hash(name) modulo the number of cells. Each cell has one RECORD_SHARE in
 * the platform, which lists the holders and the share of each, in ppm of the
 * limit of every workspace of the cell. An instance changes only its own
 * entry, and removes the entries of instances whose member key is absent.
 *
 * An instance may use its entry only under these conditions:
 *  - Its lease has not ended by its own clock, less 1% and 100 ms. Others
 *    remove the entry later than that, because the member key lives as long as
 *    the lease in the platform, which counts from the receipt of the renewal.
 *  - In the current lease, the record has been read or a compare-and-swap of
 *    it has succeeded. After the lease has lapsed, the entry may have been
 *    removed without this instance knowing.
 *  - The use is limited by a cap, which is lowered before a smaller entry is
 *    written. A record with a later revision than the one that the write was
 *    based on lifts the cap, because the write can no longer take effect then.
 *  - An increase of the entry is used only after this instance has been synced
 *    for as long as is required to accept changes (core/key_guard.h).
 *
 * While all instances are cut off from the platform, a share stays in use
 * beyond the lease, as long as rule (c) in core/key_guard.h has held without a
 * gap since the lease ended. This is safe because an instance uses what was
 * removed from this instance's entry only after it has been synced for longer
 * than an answer to a ping is valid under rule (c). As for rule (c), all
 * members must be known.
 *
 * The entry of an earlier process with the same instance name is removed one
 * whole lease after this process got its first lease. Until then the earlier
 * process, and the borrowers of its loans, may still use it. Two live
 * processes never have the same name for longer than a lease.
 *
 * A cell has room for SHARE_HOLDERS_MAX holders. Further instances hold no
 * share of it and depend on loans.
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

/* Set in the operation_id of every platform operation that share.c starts. */
#define SHARE_OPERATION_BIT (UINT64_C(1) << 63)

struct share_opts {
	const char *instance; /* own name; copied */
	uint64_t incarnation; /* of this process */
	uint64_t seed; /* of the random numbers */
	uint32_t cells; /* same at all instances; 0: 1 */
	const struct member_table *members; /* not owned */
	/* Not owned. NULL: shares end with the lease and grow at once. */
	const struct key_guard *guard;
	/* Time for which a holder is absent before its removal; 0: 2 s. */
	int64_t removal_delay_us;
	int64_t retry_us; /* first backoff, later ones double; 0: 50 ms */
};

/* Returns a new object that the caller frees with share_free(). */
struct share *share_new(const struct share_opts *opts);
void share_free(struct share *s);

/* Returns the index of the cell that a workspace belongs to. */
uint32_t share_find_cell(const struct share *s, const char *workspace);

/* Handles EVENT_RECORD_PUT of a RECORD_SHARE. */
void share_put_record(struct share *s, const struct record *r);

/*
 * Handles EVENT_LEASE_RENEWED. After a lapse the caller reports a lease only
 * once the member key has been written again.
 */
void share_handle_lease(struct share *s, const struct lease_renewal *lease,
			int64_t now_us);

/*
 * Handles the loss of the own member key: no share is used until the next
 * lease. If `superseded`, another process has taken the instance name, and no
 * share is used any more.
 */
void share_handle_member_key_lost(struct share *s, bool superseded);

/* Handles a result. Returns false when share.c did not start the operation. */
bool share_handle_platform(struct share *s, const struct platform_result *r,
			   int64_t now_us, struct action_queue *out);

/* Starts the operations that are due, at most one at a time in each cell. */
void share_run(struct share *s, int64_t now_us, struct action_queue *out);

/* Starts to release all shares; what is lent is released as loans end. */
void share_drain(struct share *s);

/*
 * Returns true once share_drain() was called and no share is held or the lease
 * has ended.
 */
bool share_is_drained(const struct share *s, int64_t now_us);

/* Set or raise the ppm that are lent and must stay in the cell's own entry. */
void share_set_reserved(struct share *s, uint32_t cell, uint32_t ppm);
void share_raise_reserved(struct share *s, uint32_t cell, uint32_t ppm);

/*
 * Returns the share, in ppm, that may be used at now_us. The time must not
 * decrease between calls.
 */
uint32_t share_get_usable_ppm(const struct share *s, uint32_t cell,
			      int64_t now_us);

/* Returns until when shares may be used: end of the lease or known outage. */
int64_t share_valid_until_us(const struct share *s);

/* Increases at each lapse of the lease; tokens of earlier epochs are void. */
uint64_t share_epoch(const struct share *s);

/* Increases when a share may have changed other than by the lease's end. */
uint64_t share_version(const struct share *s);

/*
 * Returns the latest known record of a cell, owned by `s`; holder_count is 0
 * if there is none.
 */
const struct share_record *share_get_record(const struct share *s,
					    uint32_t cell);

#endif
