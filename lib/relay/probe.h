/**
 * DOC: probe
 *
 * Health probes to ejected upstreams. Other upstreams are not probed: the requests sent to them
 * show their health at no cost. Private to relay.
 */
#ifndef RELAY_PROBE_H
#define RELAY_PROBE_H

#include "relay/relay_priv.h"

struct probes;

struct probes *probes_new(struct relay *r);
void probes_free(struct probes *p);

/** probes_tick() - starts the probes that are due */
void probes_tick(struct probes *p, int64_t now);

#endif
