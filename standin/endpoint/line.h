/* line.h - text lines in a stream of bytes. */
#ifndef ENDPOINT_LINE_H
#define ENDPOINT_LINE_H

#include <glib.h>

/* Calls fn(data, line) for each whole line and removes it from `in`. */
void line_each(GByteArray *in, void (*fn)(void *data, const char *line),
	       void *data);

#endif
