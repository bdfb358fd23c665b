#include "process.h"

#include <string.h>

uint64_t process_peak_kib(GSubprocess *p)
{
	g_autofree char *path = g_strdup_printf("/proc/%s/status", g_subprocess_get_identifier(p));
	g_autofree char *text = NULL;
	const char *line;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	line = strstr(text, "VmHWM:");
	g_assert_nonnull(line);
	return g_ascii_strtoull(line + strlen("VmHWM:"), NULL, 10);
}

uint32_t process_count_fds(GSubprocess *p)
{
	g_autofree char *path = g_strdup_printf("/proc/%s/fd", g_subprocess_get_identifier(p));
	g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
	uint32_t n = 0;

	g_assert_nonnull(dir);
	while (g_dir_read_name(dir))
		n++;
	return n;
}
