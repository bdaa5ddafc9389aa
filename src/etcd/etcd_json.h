/*
 * etcd_json.h - requests and answers of the service's JSON interface.
 *
 * Keys and values travel as base64, 64-bit integers as strings; a field
 * with its default value may be absent. Functions that return json_t *
 * return a new object.
 */
#ifndef ETCD_ETCD_JSON_H
#define ETCD_ETCD_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* One key with its value. */
struct etcd_kv {
	char *key;
	char *value;
	int64_t mod_revision;
	int64_t create_revision;
	int64_t version;
	int64_t lease;
};

/* Reads a key-value object; returns false if it is malformed. */
bool etcd_kv_read(const json_t *j, struct etcd_kv *out);
void etcd_kv_clear(struct etcd_kv *kv);
void etcd_kv_free(void *kv);

/* Returns an integer given as string or number, 0 if absent. */
int64_t etcd_json_int(const json_t *o, const char *field);

/* Returns the header's revision, 0 if there is none. */
int64_t etcd_json_revision(const json_t *answer);

struct etcd_range {
	const char *key;
	bool prefix; /* all keys that begin with `key` */
	int64_t limit; /* 0: none */
	int64_t revision; /* 0: now */
	int64_t least_mod_revision; /* leave out keys changed before */
	bool keys_only;
};

json_t *etcd_json_range(const struct etcd_range *r);
/* Keys from `after` (exclusive) to the end of the prefix r->key. */
json_t *etcd_json_range_after(const struct etcd_range *r, const char *after);
json_t *etcd_json_put(const char *key, const char *value, int64_t lease);
json_t *etcd_json_delete(const char *key);
json_t *etcd_json_compare_mod(const char *key, int64_t revision);
json_t *etcd_json_compare_absent(const char *key);
json_t *etcd_json_compare_present(const char *key);
json_t *etcd_json_watch(const char *prefix, int64_t start_revision);

/* Wraps a request as one operation of a transaction. */
json_t *etcd_json_op(const char *name, json_t *request);

/* Takes over the arrays; each may be NULL. */
json_t *etcd_json_txn(json_t *compares, json_t *success, json_t *failure);

/* Returns the i-th operation's answer, borrowed, or NULL. */
const json_t *etcd_json_response(const json_t *answer, size_t i,
				 const char *name);

#endif
