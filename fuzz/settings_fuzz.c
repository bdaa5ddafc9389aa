/* Feeds a settings file; one that is refused must say where and why. */
#include "settings/settings.h"

#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

enum { WHY_BYTES = 512, PATH_BYTES = 64 };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char path[PATH_BYTES];
	char why[WHY_BYTES] = "";
	struct settings *s = NULL;
	int fd = memfd_create("settings", 0);

	if (fd < 0 || write(fd, data, size) != (ssize_t)size)
		g_error("cannot write the input");
	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	if (!settings_load(path, &s, why, sizeof(why)))
		settings_free(s);
	else if (!why[0] || strchr(why, '\n'))
		g_error("refused without one line of reason");
	close(fd);
	return 0;
}
