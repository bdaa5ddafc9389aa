/* curl_loop.h - runs libcurl transfers on the event loop of the process. */
#ifndef BASE_CURL_LOOP_H
#define BASE_CURL_LOOP_H

#include "base/loop.h"

#include <curl/curl.h>

struct curl_loop;

struct curl_loop_opts {
	struct loop *loop;
	/*
	 * A transfer ended with `code`. The callee removes it with
	 * curl_loop_remove().
	 */
	void (*on_done)(void *data, CURL *easy, CURLcode code);
	/*
	 * Bytes of any transfer may have arrived. Called in every turn, that
	 * is whenever libcurl has run, before on_done() is called for the
	 * finished transfers. May be NULL.
	 */
	void (*on_progress)(void *data);
	/* Called last in every turn, after on_done(). May be NULL. */
	void (*on_turn_end)(void *data);
	void *data;
};

/*
 * Returns an empty set of transfers, or NULL if libcurl cannot be
 * initialized. Remove every transfer before curl_loop_free().
 */
struct curl_loop *curl_loop_new(const struct curl_loop_opts *opts);
void curl_loop_free(struct curl_loop *c);

/*
 * How long the server may be silent. There is no limit on how long a large
 * answer may take: a transfer that is given up while it arrives is wasted, and
 * its successor starts from the beginning.
 */
struct curl_silence {
	int64_t first_us; /* until the answer begins */
	int64_t next_us; /* after a part of it, until the next one */
};

/*
 * Starts or removes a transfer; `easy` stays owned by the caller. A transfer
 * that is silent for longer ends with CURLE_OPERATION_TIMEDOUT; NULL: it is
 * not limited.
 */
void curl_loop_add(struct curl_loop *c, CURL *easy,
		   const struct curl_silence *limits);
void curl_loop_remove(struct curl_loop *c, CURL *easy);

/* Records that a part of the answer has arrived. */
void curl_loop_note_arrival(struct curl_loop *c, CURL *easy);

/* Makes the loop run the transfers and all callbacks without waiting. */
void curl_loop_wake(struct curl_loop *c);

#endif
