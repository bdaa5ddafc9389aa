/* report.h - what instances tell the holder of the duty, and its grants. */
#ifndef PROXY_REPORT_H
#define PROXY_REPORT_H

#include "proxy/engine.h"

/*
 * A surge is answered by a grant within two of these; six fit into the time
 * that a grant lasts, so a few may be lost.
 */
#define REPORT_US (250 * US_PER_MS)

/* Reports when it is due. */
void report_run(struct engine *e, int64_t now_us);

/* Takes reports and grants. */
void report_handle_message(struct engine *e, const struct peer_message *m,
			   int64_t now_us);

#endif
