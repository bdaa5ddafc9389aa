/*
 * reply_check.h - whether the messages on a connection are the answer to the
 * request that is due there.
 *
 * An answer is any number of rows, then a result or an error, then READY. An
 * endpoint may send an answer twice, the second time late: when nothing is due,
 * or when another request is. Copies are dropped where they can be told:
 *  - a statement's result has a signature that no other run has, and those of
 *    the last seconds are remembered;
 *  - a result without one, or READY alone, answers no statement.
 * An unsigned result can't be told from a copy while another one is due, nor an
 * error from a copy of an earlier error. Whoever relies on the first sends a
 * request after it whose answer has to be another one. After an error a
 * connection runs only what has no effect, and after a second one nothing; see
 * exchange.c.
 *
 * Pure; the owner keeps the rows.
 */
#ifndef REPLIES_REPLY_CHECK_H
#define REPLIES_REPLY_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What the oldest request without an answer is answered by. */
enum reply_due {
	REPLY_DUE_NONE, /* there is no request */
	REPLY_DUE_START, /* READY alone, or an error */
	REPLY_DUE_PLAIN, /* a result without rows and signature, or an error */
	REPLY_DUE_REPORT, /* a row and a result without signature, or an error */
	REPLY_DUE_STATEMENT, /* rows and a signed result, or an error */
};

enum reply_part {
	REPLY_PART_ROW,
	REPLY_PART_RESULT,
	REPLY_PART_ERROR,
	REPLY_PART_READY,
};

enum reply_fate {
	REPLY_FITS,
	/* It and the rows before it belong to a copy of an earlier answer. */
	REPLY_IS_COPY,
	/* Likewise, as far as can be told: it answers nothing that is due. */
	REPLY_IS_STRAY,
	REPLY_MISFITS, /* none of what follows can be trusted */
};

/* An answer may come again within this time; far longer than it is late. */
#define REPLY_COPY_MAX_US (10 * INT64_C(1000000))

/* One for each connection; freed with reply_check_free(). */
struct reply_check;

struct reply_check *reply_check_new(void);
void reply_check_free(struct reply_check *k);

/*
 * Handles a message. `signature` is that of a result, not terminated; NULL: it
 * has none. After READY the next answer begins.
 */
enum reply_fate reply_check_part(struct reply_check *k, enum reply_due due,
				 enum reply_part part, const char *signature,
				 size_t signature_bytes, int64_t now_us);

/*
 * Returns true if no more signatures are remembered: the connection is to be
 * closed before copies of its answers can no longer be told.
 */
bool reply_check_is_full(const struct reply_check *k);

#endif
