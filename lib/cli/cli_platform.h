/* Blocking calls to the platform; private to cli. */
#ifndef CLI_CLI_PLATFORM_H
#define CLI_CLI_PLATFORM_H

#include "cli/cli.h"
#include "plat/plat.h"

struct cli_platform {
	struct plat *plat;
	GMainLoop *loop;
	enum plat_result last_result; /* of the last call */
	uint64_t written_version; /* of the last write */
	struct conf_store *store; /* objects as of the last cli_platform_load() */
};

/* 0 or an exit code after an error message. */
int cli_platform_open(struct cli_platform *p, struct cli *c);
void cli_platform_close(struct cli_platform *p);

/* Reads all configuration objects into p->store; 0 or an exit code after an error message. */
int cli_platform_load(struct cli_platform *p);

/* Conditional write of @text (NULL: deletion); sets p->last_result and p->written_version. */
void cli_platform_write(struct cli_platform *p, const char *key, uint64_t version,
			const char *text);

/* Why a call failed, for people. */
const char *cli_platform_strerror(enum plat_result r);

#endif
