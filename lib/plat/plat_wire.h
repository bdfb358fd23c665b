/* Wire format of the object API; private to plat. */
#ifndef PLAT_PLAT_WIRE_H
#define PLAT_PLAT_WIRE_H

#include "plat/plat.h"

/* Maximum size of a response, bytes: 128 MB of values in base64, with their keys. */
#define PLAT_WIRE_RESPONSE_MAX (UINT64_C(192) << 20)

struct plat_list {
	struct plat_object *objects; /* owned */
	uint32_t n_objects;
	uint64_t version;
};

/* URL of a call, owned by the caller. */
char *plat_wire_object_url(const char *base, const char *key);
char *plat_wire_list_url(const char *base, const char *prefix);
char *plat_wire_watch_url(const char *base, const char *prefix, uint64_t version);
char *plat_wire_instances_url(const char *base);

/* Parses a version from an ETag header, with or without quotes; 0 or -EINVAL. */
int plat_wire_parse_version(const char *text, uint64_t *version);

/* Parses the JSON of a list or watch; 0, or -EINVAL with @list empty. */
int plat_wire_parse_list(const char *json, size_t len, struct plat_list *list);
void plat_wire_list_clear(struct plat_list *list);

/* Formats a list as JSON, as the platform sends it; owned by the caller. */
char *plat_wire_format_list(const struct plat_object *objects, uint32_t n, uint64_t version);

/* Result of a call with HTTP status @status, PLAT_OK only for 200; @write: the call is a write. */
enum plat_result plat_wire_result(unsigned int status, bool write);

#endif
