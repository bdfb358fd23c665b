/* State shared by the files of eng. */
#ifndef ENG_ENG_PRIV_H
#define ENG_ENG_PRIV_H

#include <libsoup/soup.h>

#include "eng/eng.h"

struct eng {
	SoupSession *session;
	GHashTable *echoing; /* set of owned "host:port": upstreams that echo the request id */
};

/* Request message for @path of the upstream, owned by the caller; NULL if @host is malformed. */
SoupMessage *eng_message_new(const char *method, const char *host, uint16_t port, const char *path);

#endif
