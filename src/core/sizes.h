/* sizes.h - size limits of names, tables and messages. */
#ifndef CORE_SIZES_H
#define CORE_SIZES_H

enum {
	NAME_BYTES = 48, /* workspace, group, ... name; includes the NUL */
	DIGEST_BYTES = 32, /* BLAKE2b-256 hash of a caller's API key */
	REQUEST_ID_BYTES = 65, /* a caller's request id; includes the NUL */
	GROUP_ENDPOINTS_MAX = 7, /* endpoints of one database group */
	TOKEN_GROUPS_MAX = 16, /* database groups in one session token */
	SHARE_HOLDERS_MAX = 32, /* instances sharing the limits of a cell */
	ADDRESS_BYTES = 64, /* "host:port"; includes the NUL */
};

/* Table index that refers to no row. */
#define NO_INDEX UINT32_MAX

#define US_PER_MS INT64_C(1000)
#define US_PER_S INT64_C(1000000)

#endif
