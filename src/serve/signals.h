/* signals.h - delivers SIGTERM, SIGINT and SIGHUP through the event loop. */
#ifndef SERVE_SIGNALS_H
#define SERVE_SIGNALS_H

#include "base/loop.h"

struct signal_ops {
	void (*on_stop)(void *data); /* SIGTERM, SIGINT */
	void (*on_reload)(void *data); /* SIGHUP; NULL: default action */
};

/*
 * Installs the signal handlers and ignores SIGPIPE. `ops` is borrowed and its
 * functions get `data`. Call once per process. Returns 0 or a negative errno.
 */
int signals_watch(struct loop *l, const struct signal_ops *ops, void *data);

#endif
