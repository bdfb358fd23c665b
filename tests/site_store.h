/* Simulated store of the platform; private to the test deployment. */
#ifndef TESTS_SITE_STORE_H
#define TESTS_SITE_STORE_H

#include "site.h"

struct site_store *site_store_new(void);
void site_store_listen(struct site_store *s, uint16_t port);
void site_store_free(struct site_store *s);
void site_store_put(struct site_store *s, const char *kind, const char *name, const char *spec);
void site_store_delete(struct site_store *s, const char *kind, const char *name);
void site_store_set_mode(struct site_store *s, enum site_store_mode mode);
/* Closes the connections at @port, and later ones when a call arrives; 0: at no port. */
void site_store_set_rejected_port(struct site_store *s, uint16_t port);
/* Calls about @kind get no response; NULL: none, the waiting ones are closed. */
void site_store_set_hung_kind(struct site_store *s, const char *kind);
void site_store_drop_history(struct site_store *s);
/* Text of the object @name, borrowed; NULL: there is none. */
const char *site_store_get(const struct site_store *s, const char *kind, const char *name);
/* Keeps a copy of the objects and the revision; the previous copy is dropped. */
void site_store_keep_copy(struct site_store *s);
/*
 * Goes back to the copy that was kept: later revisions are given out again, the history is lost,
 * and all connections are closed. Each restore begins a new era.
 */
void site_store_restore_copy(struct site_store *s);
uint32_t site_store_call_count(const struct site_store *s);

#endif
