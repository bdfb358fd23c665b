/* Blocking calls to the platform's object API; private to lib/cli. */
#ifndef CLI_CLI_PLATFORM_H
#define CLI_CLI_PLATFORM_H

#include "cli/cli.h"
#include "plat/plat.h"

struct cli_platform {
	struct plat *plat;
	GMainLoop *loop; /* runs during a call */
	enum plat_result last_result; /* result of the latest call */
	uint64_t written_version; /* version that the latest write created */
	struct conf_store *store; /* objects received by the latest cli_platform_load() */
};

/* Creates the client and loads all objects; 0, or an exit code after it printed an error. */
int cli_platform_open(struct cli_platform *p, struct cli *c);
void cli_platform_close(struct cli_platform *p);

/* Lists all configuration objects into p->store; 0, or an exit code after it printed an error. */
int cli_platform_load(struct cli_platform *p);

/*
 * Writes @text (NULL: deletion) if @version is still the object's version (0: no object). Sets
 * p->last_result and p->written_version.
 */
void cli_platform_write(struct cli_platform *p, const char *key, uint64_t version,
			const char *text);

/* Reason of a failed call, as text for an error message. */
const char *cli_platform_strerror(enum plat_result r);

#endif
