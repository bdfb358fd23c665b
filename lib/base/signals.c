#include "base/signals.h"

#include <pthread.h>
#include <signal.h>
#include <stddef.h>

static void handled_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
}

void signals_hold(void)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	handled_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

bool signals_is_stop_pending(void)
{
	sigset_t set;

	return sigpending(&set) == 0 && (sigismember(&set, SIGTERM) || sigismember(&set, SIGINT));
}

void signals_release(void)
{
	sigset_t set;

	handled_signals(&set);
	pthread_sigmask(SIG_UNBLOCK, &set, NULL);
}
