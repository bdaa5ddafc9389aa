/* http_call.h - one HTTP request to an instance, and its answer. */
#ifndef BENCH_HTTP_CALL_H
#define BENCH_HTTP_CALL_H

#include "core/error.h"

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct http_call_opts {
	const char *address; /* "ip:port" */
	const char *path;
	const char *key;
	const char *profile;
	const char *request_id; /* NULL: none */
	const char *session; /* NULL: none */
	bool once; /* must not be repeated */
	int64_t deadline_ms;
	char *body; /* owned by the call from then on */
};

struct http_call;

/* A reusable call, freed with http_call_free(). */
struct http_call *http_call_new(void *owner);
void http_call_free(struct http_call *c);
void *http_call_owner(const struct http_call *c);

/* Returns the call that an easy handle belongs to. */
struct http_call *http_call_of(CURL *easy);

void http_call_start(struct http_call *c, CURLM *multi,
		     const struct http_call_opts *o);

/* Takes the finished call off the multi handle and reads its answer. */
void http_call_finish(struct http_call *c, CURLM *multi, CURLcode rc);

/* The answer, until the next start. */
struct http_answer_view {
	enum verdict verdict;
	int32_t error; /* 0: served */
	int64_t age_us; /* -1: not told */
	const char *endpoint; /* "" if not told */
	const char *transaction; /* "" if none */
	const char *session; /* "" if none */
	const char *sqlstate; /* of the endpoint's error, "" if none */
	bool answered; /* false: nothing came before the client gave up */
	const char *first_value; /* of the first row, "" if none */
};
const struct http_answer_view *http_call_answer(const struct http_call *c);

#endif
