/* http_call.h - one HTTP request to an instance and its answer. */
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
	const char *key; /* of the workspace */
	const char *profile;
	const char *request_id; /* NULL: none */
	const char *session; /* NULL: none */
	bool not_repeatable; /* instances must not retry the request */
	int64_t deadline_ms;
	char *body; /* ownership passes to the call */
};

struct http_call;

/* Returns a reusable call, freed with http_call_free(). */
struct http_call *http_call_new(void *owner);
void http_call_free(struct http_call *c);
void *http_call_owner(const struct http_call *c);

/* Returns the call that an easy handle belongs to. */
struct http_call *http_call_from_easy(CURL *easy);

/* Sends a request; the previous one must be finished. */
void http_call_start(struct http_call *c, CURLM *multi,
		     const struct http_call_opts *o);

/*
 * Removes the finished call from the multi handle and parses its answer.
 * `rc` is libcurl's result of the transfer.
 */
void http_call_finish(struct http_call *c, CURLM *multi, CURLcode rc);

/* The answer to a call, valid until its next start. */
struct http_answer_view {
	enum verdict verdict;
	int32_t error; /* 0: served, else a number of core/error.h */
	int64_t age_us; /* of the data read; -1: not reported */
	const char *endpoint; /* "" if not reported */
	const char *transaction; /* "" if none */
	const char *session; /* session token, "" if none */
	const char *sqlstate; /* of the endpoint's error, "" if none */
	bool answered; /* false: no complete answer was received */
	const char *first_value; /* first column of the first row, "" if none */
};
const struct http_answer_view *http_call_answer(const struct http_call *c);

#endif
