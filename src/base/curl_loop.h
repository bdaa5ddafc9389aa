/* curl_loop.h - libcurl's transfers on the process's loop. */
#ifndef BASE_CURL_LOOP_H
#define BASE_CURL_LOOP_H

#include "base/loop.h"

#include <curl/curl.h>

struct curl_loop;

struct curl_loop_opts {
	struct loop *loop;
	/* A transfer ended; it is removed with curl_loop_remove(). */
	void (*on_done)(void *data, CURL *easy, CURLcode code);
	/* Bytes may have arrived; before and after on_done(). May be NULL. */
	void (*on_progress)(void *data);
	void (*on_turn_end)(void *data);
	void *data;
};

/* Freed with curl_loop_free(), once every transfer is removed. */
struct curl_loop *curl_loop_new(const struct curl_loop_opts *opts);
void curl_loop_free(struct curl_loop *c);

void curl_loop_add(struct curl_loop *c, CURL *easy);
void curl_loop_remove(struct curl_loop *c, CURL *easy);

/* The callbacks are made again soon. */
void curl_loop_wake(struct curl_loop *c);

#endif
