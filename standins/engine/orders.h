/* Orders and state of the engine stand-in. */
#ifndef STANDINS_ENGINE_ORDERS_H
#define STANDINS_ENGINE_ORDERS_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* Members of a JSON object; NULL or @fallback if missing or of another type. */
const char *string_member(JsonObject *o, const char *name);
int64_t int_member(JsonObject *o, const char *name, int64_t fallback);

/* Root of the request's JSON body, owned by @parser; NULL if malformed. */
JsonNode *body_json(SoupServerMessage *msg, JsonParser *parser);

/* @model: "NAME@VERSION" that is loaded at the start, may be NULL; @load_ms: of a cold load */
void orders_init(const char *model, int load_ms, bool ignore_fencing);

/* A restart: the process lost its orders' numbers but not what it runs. */
void orders_restart(void);

/* Whether the model is being loaded, so that no request can run. */
bool orders_loading(void);

/* POST /orders. A repeated id answers as before and doesn't run again. */
void orders_post(SoupServerMessage *msg);

/* JSON of GET /state, owned by the caller. */
char *orders_state(uint64_t epoch);

#endif
