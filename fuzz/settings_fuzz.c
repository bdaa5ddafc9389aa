/*
 * settings_fuzz.c - libFuzzer target for settings files. A file that is refused
 * must report where and why, in exactly one line.
 */
#include "settings/settings.h"

#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

enum { REASON_BYTES = 512, PATH_BYTES = 64 };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char path[PATH_BYTES];
	char reason[REASON_BYTES] = "";
	struct settings *s = NULL;
	int fd = memfd_create("settings", 0);

	if (fd < 0 || write(fd, data, size) != (ssize_t)size)
		g_error("cannot write the input to a memory file");
	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	if (!settings_load(path, &s, reason, sizeof(reason)))
		settings_free(s);
	else if (!reason[0] || strchr(reason, '\n'))
		g_error("settings refused, but the reason is not one line");
	close(fd);
	return 0;
}
