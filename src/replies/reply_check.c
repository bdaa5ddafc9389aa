#include "replies/reply_check.h"

#include <string.h>
#include <xxhash.h>

static bool knows_signature(const struct reply_check *k, uint64_t hash)
{
	uint32_t n = k->signature_count < REPLY_SIGNATURES_MAX ?
			     k->signature_count :
			     REPLY_SIGNATURES_MAX;

	for (uint32_t i = 0; i < n; i++) {
		if (k->signatures[i] == hash)
			return true;
	}
	return false;
}

static void add_signature(struct reply_check *k, uint64_t hash)
{
	k->signatures[k->signature_count % REPLY_SIGNATURES_MAX] = hash;
	k->signature_count++;
}

static enum reply_fate check_row(struct reply_check *k, enum reply_due due)
{
	if (k->ended || due == REPLY_DUE_START)
		return REPLY_MISFITS;
	k->has_rows = true;
	/* Its result will show whether it belongs to a copy. */
	return REPLY_FITS;
}

static enum reply_fate check_signed(struct reply_check *k, enum reply_due due,
				    uint64_t hash)
{
	if (knows_signature(k, hash))
		return REPLY_IS_COPY;
	if (due != REPLY_DUE_STATEMENT || k->unrequested)
		return REPLY_MISFITS;
	add_signature(k, hash);
	return REPLY_FITS;
}

static enum reply_fate check_unsigned(const struct reply_check *k,
				      enum reply_due due)
{
	if (due == REPLY_DUE_START)
		return REPLY_MISFITS;
	if (!k->unrequested &&
	    due == (k->has_rows ? REPLY_DUE_REPORT : REPLY_DUE_PLAIN))
		return REPLY_FITS;
	return REPLY_IS_STRAY;
}

static enum reply_fate check_result(struct reply_check *k, enum reply_due due,
				    const char *signature, size_t bytes)
{
	if (k->ended)
		return REPLY_MISFITS;
	k->ended = true;
	k->fate = signature ? check_signed(k, due, XXH64(signature, bytes, 0)) :
			      check_unsigned(k, due);
	return k->fate;
}

static enum reply_fate check_error(struct reply_check *k, enum reply_due due)
{
	if (k->ended || k->unrequested)
		return REPLY_MISFITS;
	k->ended = true;
	return REPLY_FITS;
}

static enum reply_fate check_ready(struct reply_check *k, enum reply_due due)
{
	enum reply_fate fate = k->fate;

	if (!k->ended && k->has_rows)
		fate = REPLY_MISFITS;
	else if (!k->ended && due != REPLY_DUE_START)
		fate = REPLY_IS_STRAY; /* a copy of the answer to the start */
	k->begun = false;
	k->has_rows = false;
	k->ended = false;
	k->fate = REPLY_FITS;
	return fate;
}

enum reply_fate reply_check_part(struct reply_check *k, enum reply_due due,
				 enum reply_part part, const char *signature,
				 size_t signature_bytes)
{
	if (!k->begun)
		k->unrequested = due == REPLY_DUE_NONE;
	k->begun = true;
	switch (part) {
	case REPLY_PART_ROW:
		return check_row(k, due);
	case REPLY_PART_RESULT:
		return check_result(k, due, signature, signature_bytes);
	case REPLY_PART_ERROR:
		return check_error(k, due);
	case REPLY_PART_READY:
		break;
	}
	return check_ready(k, due);
}
