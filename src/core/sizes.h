/* sizes.h - limits of names, tables and messages. */
#ifndef CORE_SIZES_H
#define CORE_SIZES_H

enum {
	NAME_BYTES = 48, /* names of workspaces, groups, ...; with the NUL */
	DIGEST_BYTES = 32, /* BLAKE2b-256 of a caller's key */
	REQUEST_KEY_BYTES = 65, /* a caller's request id, with the NUL */
	GROUP_ENDPOINTS_MAX = 7, /* endpoints of one database group */
	TOKEN_GROUPS_MAX = 16, /* database groups that one token covers */
	SHARE_HOLDERS_MAX = 32, /* instances that divide one cell's limits */
	ADDRESS_BYTES = 64, /* "host:port", with the NUL */
};

/* No such row; used for indices into tables. */
#define NO_INDEX UINT32_MAX

#define US_PER_MS INT64_C(1000)
#define US_PER_S INT64_C(1000000)

#endif
