/* signals.h - SIGTERM, SIGINT and SIGHUP, on the loop. */
#ifndef SERVE_SIGNALS_H
#define SERVE_SIGNALS_H

#include "base/loop.h"

struct signal_ops {
	void (*on_stop)(void *data); /* SIGTERM, SIGINT */
	void (*on_reload)(void *data); /* SIGHUP; NULL: as by default */
};

/* One set a process. Returns 0 or a negative errno. */
int signals_watch(struct loop *l, const struct signal_ops *ops, void *data);

#endif
