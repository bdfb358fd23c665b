/* Orders and state of the stand-in of a model engine. */
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

/* @model: initial model "NAME@VERSION", NULL: none; @load_ms: duration of a cold load */
void orders_init(const char *model, int load_ms, bool ignore_fencing);

/* Simulates a restart: only the generation changes, the model stays loaded. */
void orders_restart(void);

/* Whether a model is being loaded, so that no request can run. */
bool orders_loading(void);

/* Handles POST /orders. An order whose id has run is acknowledged and not run again. */
void orders_post(SoupServerMessage *msg);

/* Response body of GET /state, owned by the caller. */
char *orders_state(uint64_t epoch);

#endif
