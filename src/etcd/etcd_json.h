/*
 * etcd_json.h - builds the requests and reads the answers of the key-value
 * service's JSON interface.
 *
 * In JSON, keys and values are base64 and 64-bit integers are strings; a field
 * with its default value may be absent. Functions that return json_t * return a
 * new object that the caller owns.
 */
#ifndef ETCD_ETCD_JSON_H
#define ETCD_ETCD_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* A key with its value and metadata; release with etcd_kv_clear(). */
struct etcd_kv {
	char *key;
	char *value;
	int64_t mod_revision; /* of the last change */
	int64_t create_revision;
	int64_t version; /* number of puts since the key was created */
	int64_t lease; /* id of the lease, 0 if none */
};

/* Reads a key-value object; returns false if it is malformed. */
bool etcd_kv_read(const json_t *j, struct etcd_kv *out);

/* Frees the key and the value. */
void etcd_kv_clear(struct etcd_kv *kv);

/* Frees a struct etcd_kv with its key and value; for GPtrArray. */
void etcd_kv_free(void *kv);

/* Returns an integer field, a string or a number; 0 if it is absent. */
int64_t etcd_json_get_int(const json_t *o, const char *field);

/* Returns the revision in the answer's header, 0 if there is none. */
int64_t etcd_json_get_revision(const json_t *answer);

struct etcd_range {
	const char *key;
	bool prefix; /* all keys that begin with `key` */
	int64_t limit; /* maximum number of keys; 0: no limit */
	int64_t revision; /* to read at; 0: the latest */
	int64_t min_mod_revision; /* omit keys last changed before */
	bool keys_only; /* omit the values */
};

json_t *etcd_json_new_range(const struct etcd_range *r);

/* Requests the keys after `after` (exclusive) to the end of prefix r->key. */
json_t *etcd_json_new_range_after(const struct etcd_range *r,
				  const char *after);

/* `lease` is the id of the lease that the key is bound to, 0 for none. */
json_t *etcd_json_new_put(const char *key, const char *value, int64_t lease);
json_t *etcd_json_new_delete(const char *key);

/* Conditions of a transaction. Revision 0 means that the key is absent. */
json_t *etcd_json_new_compare_mod(const char *key, int64_t revision);
/* No key with the prefix has a later modification revision. */
json_t *etcd_json_new_compare_none_after(const char *prefix, int64_t revision);
json_t *etcd_json_new_compare_absent(const char *key);
json_t *etcd_json_new_compare_present(const char *key);

/* Requests the changes of a prefix's keys from start_revision on. */
json_t *etcd_json_new_watch(const char *prefix, int64_t start_revision);

/*
 * Wraps a request as one operation of a transaction, such as "request_range".
 * Takes ownership of `request`.
 */
json_t *etcd_json_new_op(const char *name, json_t *request);

/*
 * Builds a transaction: if all compares hold, the operations in `success` are
 * carried out, else those in `failure`. Takes ownership of the arrays, each of
 * which may be NULL.
 */
json_t *etcd_json_new_txn(json_t *compares, json_t *success, json_t *failure);

/* Returns the answer of a transaction's i-th operation, borrowed, or NULL. */
const json_t *etcd_json_get_response(const json_t *answer, size_t i,
				     const char *name);

#endif
