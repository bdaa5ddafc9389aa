#include "replies/reply_check.h"

#include <glib.h>
#include <xxhash.h>

/* Many times what one connection answers in REPLY_COPY_MAX_US. */
enum { SIGNATURES_MAX = 16384 };

struct signature {
	uint64_t hash;
	int64_t at_us;
};

struct reply_check {
	/* Of the answer that is being received. */
	bool begun;
	bool unrequested; /* it began when nothing was due */
	bool has_rows;
	bool ended; /* only READY is missing */
	enum reply_fate fate; /* of its result */
	GQueue signatures; /* struct signature, oldest first */
	GHashTable *hashes; /* set of their hashes */
};

struct reply_check *reply_check_new(void)
{
	struct reply_check *k = g_new0(struct reply_check, 1);

	g_queue_init(&k->signatures);
	k->hashes = g_hash_table_new(g_int64_hash, g_int64_equal);
	return k;
}

void reply_check_free(struct reply_check *k)
{
	g_hash_table_destroy(k->hashes);
	g_queue_clear_full(&k->signatures, g_free);
	g_free(k);
}

bool reply_check_is_full(const struct reply_check *k)
{
	return k->signatures.length >= SIGNATURES_MAX;
}

static void forget_old_signatures(struct reply_check *k, int64_t now_us)
{
	struct signature *s = g_queue_peek_head(&k->signatures);

	while (s && now_us - s->at_us > REPLY_COPY_MAX_US) {
		g_hash_table_remove(k->hashes, &s->hash);
		g_free(g_queue_pop_head(&k->signatures));
		s = g_queue_peek_head(&k->signatures);
	}
}

static void add_signature(struct reply_check *k, uint64_t hash, int64_t now_us)
{
	struct signature *s = g_new0(struct signature, 1);

	s->hash = hash;
	s->at_us = now_us;
	g_queue_push_tail(&k->signatures, s);
	g_hash_table_add(k->hashes, &s->hash);
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
				    uint64_t hash, int64_t now_us)
{
	forget_old_signatures(k, now_us);
	if (g_hash_table_contains(k->hashes, &hash))
		return REPLY_IS_COPY;
	if (due != REPLY_DUE_STATEMENT || k->unrequested)
		return REPLY_MISFITS;
	add_signature(k, hash, now_us);
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
				    const char *signature, size_t bytes,
				    int64_t now_us)
{
	if (k->ended)
		return REPLY_MISFITS;
	k->ended = true;
	k->fate = signature ? check_signed(k, due, XXH64(signature, bytes, 0),
					   now_us) :
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
				 size_t signature_bytes, int64_t now_us)
{
	if (!k->begun)
		k->unrequested = due == REPLY_DUE_NONE;
	k->begun = true;
	switch (part) {
	case REPLY_PART_ROW:
		return check_row(k, due);
	case REPLY_PART_RESULT:
		return check_result(k, due, signature, signature_bytes, now_us);
	case REPLY_PART_ERROR:
		return check_error(k, due);
	case REPLY_PART_READY:
		break;
	}
	return check_ready(k, due);
}
