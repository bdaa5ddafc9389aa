/*
 * loan.h - loans of one workspace's limit to and from other instances.
 *
 * The lender debits a loan before it sends the grant, and the borrower
 * credits it on receipt. The borrower counts the duration, less 1%, from when
 * it sent the request; the lender counts it, plus 1%, from when it received
 * the request. So the borrower always stops using a loan before the lender
 * uses it again. A lost message leaves the loan unused for its duration.
 *
 * Both sides identify a loan by the borrower's process and the first loan_id.
 * A renewal replaces the loan and is never smaller, so it is safe when one
 * side has processed a renewal and the other has not. A duplicate request
 * gets the same grant again and an outdated one gets none. A grant counts
 * once, and only for an outstanding request.
 */
#ifndef CORE_LOAN_H
#define CORE_LOAN_H

#include "core/amount.h"
#include "core/peer_message.h"

#include <stdbool.h>
#include <stdint.h>

struct loan {
	char peer[NAME_BYTES]; /* borrower if lent, lender if borrowed */
	uint64_t incarnation; /* borrower's process; only set if lent */
	uint64_t first_id;
	uint64_t loan_id; /* of the last renewal */
	struct amount amount;
	uint32_t tokens_milli; /* tokens moved by the last grant */
	bool fully_granted; /* the lender granted all that was requested */
	int64_t duration_us; /* of the last grant */
	int64_t expires_us;
};

/*
 * A loan of at most this duration and with rate 0 moves tokens for one waiting
 * request. The lender grants up to all the tokens in its bucket.
 */
#define TOKEN_LOAN_DURATION_US (100 * US_PER_MS)
/* Returns true for the rate and duration of such a loan. */
bool loan_is_for_tokens(uint32_t rate_milli_per_s, int64_t duration_us);

struct loan_book;

/* Returns an empty book that the caller frees with loan_book_free(). */
struct loan_book *loan_book_new(void);
void loan_book_free(struct loan_book *b);

/* Removes expired loans and requests. */
void loan_expire(struct loan_book *b, int64_t now_us);
/* Returns true when nothing is lent or borrowed. */
bool loan_book_is_empty(const struct loan_book *b);

/* Return the sums of the loans that are in force at a time. */
struct amount loan_sum_lent(const struct loan_book *b, int64_t at_us);
struct amount loan_sum_borrowed(const struct loan_book *b, int64_t at_us);

/* Returns the next expiry of a borrowed loan after a time, or INT64_MAX. */
int64_t loan_next_expiry_us(const struct loan_book *b, int64_t after_us);

/*
 * Return a loan borrowed from a peer, and the borrowed loan at index i; NULL
 * if there is none. Valid until the book changes.
 */
const struct loan *loan_find_from_peer(const struct loan_book *b,
				       const char *peer);
const struct loan *loan_get_borrowed(const struct loan_book *b, uint32_t i);

/* Returns true when an unanswered request was sent to the peer after a time. */
bool loan_is_requested_since(const struct loan_book *b, const char *peer,
			     int64_t after_us);

/* Adds a request that is sent now; beyond 256, drops the oldest one first. */
void loan_add_request(struct loan_book *b, const char *peer,
		      const struct peer_loan_request *request, int64_t now_us);

/*
 * Borrower: handles a grant. Returns true, with *tokens_milli set to the
 * tokens that came with it, when the grant is accepted. Returns false when it
 * is late, outdated, a duplicate or not requested, or when the book is full.
 */
bool loan_accept_grant(struct loan_book *b, const struct peer_message *m,
		       int64_t now_us, uint32_t *tokens_milli);

enum loan_answer {
	LOAN_REFUSED, /* no grant is sent */
	LOAN_REPEATED, /* *out is the loan as granted before */
	LOAN_GRANTED, /* *out is granted; the caller may add tokens to it */
};

/*
 * Lender: decides on a loan request. `lendable` is what may be lent in addition
 * to the present loans; NULL refuses new loans and renewals. No loan lasts
 * beyond lease_end_us. *out is valid until the next call.
 */
enum loan_answer loan_handle_request(struct loan_book *b,
				     const struct peer_message *m,
				     const struct amount *lendable,
				     int64_t lease_end_us, int64_t now_us,
				     struct loan **out);

#endif
