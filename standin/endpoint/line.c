#include "line.h"

#include <string.h>

void consume_lines(GByteArray *in, void (*fn)(void *data, const char *line),
		   void *data)
{
	const guint8 *end;

	while (in->len > 0 && (end = memchr(in->data, '\n', in->len))) {
		guint size = (guint)(end - in->data);
		char *line = g_strndup((const char *)in->data, size);

		g_byte_array_remove_range(in, 0, size + 1);
		fn(data, g_strchomp(line));
		g_free(line);
	}
}
