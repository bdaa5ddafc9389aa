/* line.h - splits a stream of bytes into lines of text. */
#ifndef ENDPOINT_LINE_H
#define ENDPOINT_LINE_H

#include <glib.h>

/*
 * Removes each complete line from `in` and calls fn(data, line) with it,
 * without its newline and trailing white space.
 */
void consume_lines(GByteArray *in, void (*fn)(void *data, const char *line),
		   void *data);

#endif
