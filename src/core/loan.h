/*
 * loan.h - what one workspace lent to peers and borrowed from them.
 *
 * A loan is debited by the lender before the grant is sent and credited by
 * the borrower on receipt. The borrower counts it from the sending of its
 * ask, less 1%; the lender from the receipt of the ask, plus 1%. So the
 * borrower's use always ends first, and a lost message wastes the loan for
 * its duration. Both sides know a loan by the borrower's process and the
 * first loan_id. A renewal replaces the loan and is never smaller, so
 * either side may be ahead of the other; a doubled ask gets the same grant
 * again, an older one nothing, and a grant counts once and only for an ask
 * that is outstanding.
 */
#ifndef CORE_LOAN_H
#define CORE_LOAN_H

#include "core/amount.h"
#include "core/peer_message.h"

#include <stdbool.h>
#include <stdint.h>

struct loan {
	char peer[NAME_BYTES]; /* borrower when lent, lender when borrowed */
	uint64_t incarnation; /* of the borrower's process, when lent */
	uint64_t first_id;
	uint64_t loan_id; /* of the last renewal */
	struct amount amount;
	uint32_t tokens_milli; /* moved by the last grant */
	bool full; /* borrowed: the lender gave all that was asked for */
	int64_t duration_us; /* as granted last */
	int64_t expires_us;
};

/*
 * A loan of at most this duration and no rate moves tokens for one waiting
 * request; the lender gives all that it has.
 */
#define LOAN_TOKENS_US (100 * US_PER_MS)
bool loan_is_for_tokens(uint32_t rate_milli_per_s, int64_t duration_us);

struct loan_book;

/* Freed by its owner with loan_book_free(). */
struct loan_book *loan_book_new(void);
void loan_book_free(struct loan_book *b);

/* Drops what has expired. */
void loan_expire(struct loan_book *b, int64_t now_us);
bool loan_book_is_empty(const struct loan_book *b);

/* Returns the sums that are in force at a time. */
struct amount loan_lent(const struct loan_book *b, int64_t at_us);
struct amount loan_borrowed(const struct loan_book *b, int64_t at_us);

/* Returns the first end of a borrowed loan after a time, or INT64_MAX. */
int64_t loan_next_end_us(const struct loan_book *b, int64_t after_us);

/* Returns the loan that is borrowed from a peer, or NULL. */
const struct loan *loan_from(const struct loan_book *b, const char *peer);
const struct loan *loan_borrowed_at(const struct loan_book *b, uint32_t i);

/* Returns true when an ask to the peer was sent after a time. */
bool loan_is_asked(const struct loan_book *b, const char *peer,
		   int64_t after_us);

/* Remembers an ask that is sent now. */
void loan_note_ask(struct loan_book *b, const char *peer,
		   const struct peer_loan_request *ask, int64_t now_us);

/*
 * Borrower: takes a grant in. Returns true, with the tokens that came with
 * it, when it is counted.
 */
bool loan_take_grant(struct loan_book *b, const struct peer_message *m,
		     int64_t now_us, uint32_t *tokens_milli);

enum loan_answer {
	LOAN_REFUSED, /* no grant is sent */
	LOAN_REPEATED, /* *out is the same grant again */
	LOAN_GRANTED, /* *out may be given tokens */
};

/*
 * Lender: answers an ask out of `spare`, which leaves out what is lent
 * already; NULL refuses new loans and renewals. No loan lasts beyond lease_end_us. *out is valid until the next
 * call.
 */
enum loan_answer loan_lend(struct loan_book *b, const struct peer_message *m,
			   const struct amount *spare, int64_t lease_end_us,
			   int64_t now_us, struct loan **out);

#endif
