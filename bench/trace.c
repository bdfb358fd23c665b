/* Cost of a log line that is written, and of one that the rate limit mostly drops. */
#include <fcntl.h>
#include <unistd.h>

#include "base/base.h"
#include "bench.h"
#include "trace/trace.h"

#define LINES 200000

static double time_lines(int fd, bool burst)
{
	int64_t start = g_get_monotonic_time();
	int lines = 0;

	for (int i = 0; i < LINES; i++) {
		/* Refills the limit of 500 lines per second, so that each line is written. */
		if (!burst && i % 400 == 0)
			trace_init("bench", fd);
		trace(PLACED, "9c41d07be2a35f68", 1U, "i-7f3a91c2", "home", 9U, 3, 120, 580, "-",
		      4800, "17", "v1");
		lines++;
	}
	trace_flush();
	return (double)(g_get_monotonic_time() - start) / lines;
}

BENCH_SCENARIO(trace_cost, "trace-cost", "microseconds for one log line")
{
	int fd = open("/dev/null", O_WRONLY | O_CLOEXEC);

	trace_init("bench", fd);
	bench_observed("line_us", time_lines(fd, false));
	bench_observed("line_over_limit_us", time_lines(fd, true));
	trace_init("bench", -1);
	close(fd);
}
