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

/* Starts or removes a transfer; `easy` stays owned by the caller. */
void curl_loop_add(struct curl_loop *c, CURL *easy);
void curl_loop_remove(struct curl_loop *c, CURL *easy);

/* Makes the loop run the transfers and all callbacks without waiting. */
void curl_loop_wake(struct curl_loop *c);

#endif
