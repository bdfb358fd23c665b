/**
 * DOC: trace
 *
 * Structured log lines on standard output: one for each decision on a request and each observed
 * change of the process, its peers, the store and the upstreams. One table defines the name, the
 * fields and the rate limit of each kind of line and its counter events_total{event="NAME"}.
 *
 * A line is logfmt: t=WALL_MS up=MONOTONIC_MS instance=I event=E and the fields of the kind. Lines
 * go to a bounded buffer, which is written without blocking on standard output. Lines over the rate
 * limit of their kind or the size of the buffer are dropped, counted and reported.
 */
#ifndef TRACE_TRACE_H
#define TRACE_TRACE_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * name, event, limit in lines per second (also the burst), fields
 *
 * Lines about a request start with req=ID, so that all lines of a request can be found by its ID.
 * hold_off: an upstream turned a request away and wants none for a while. reach: an upstream became
 * unreachable from this instance or reachable again; domain: the same for a failure domain. evacuation:
 * the operator's evacuation of a failure domain is in force here or taken back; upstreams: those that
 * are listed there now. cold: an upstream is cold or warm again; sends: 1 if this instance is one of
 * those that send to it meanwhile. crash:
 * an upstream crashed; in_flight: attempts of this instance there, begun: those with output.
 * suspect: the crashes attributed to a key changed; kind: part (of a prompt) or request; state:
 * suspected, quarantined or cleared. store_reader: this instance starts or stops reading the store.
 * paused: the event loop did not run for a while. stray_answer: a response with the ID of another
 * request.
 * caller_gone: a caller closed its connection; state: unsent (nothing was sent to an upstream), waiting
 * or streaming.
 * listen: an address of the settings isn't available, "-": all are open now.
 * memory: a body or unread output yielded since the budget of memory ran out. crowded: a connection
 * was closed for another one, as descriptors ran short; connections: those from its address.
 * library: a warning of GLib or a library that logs through it.
 * bad_input: a request that is malformed, too large or too slow, or a connection that can't be
 * watched.
 *
 * kept: 1 if the attempt used a reused connection. next: repeat, resume, refuse (quarantined) or
 * give_up; denied: why it is give_up. after_ms, total_ms, first_ms: since the request arrived;
 * left_ms: until its deadline. age_ms: of refused, since the request arrived; of store_reader, since
 * the store last confirmed the state. away_ms: time without the store. missing_tokens: prompt tokens
 * to prefill or transfer. source: of placed, the transfer source; of config and upstream, where the
 * object came from. revision: of upstream, of its object; of store lines, the last one known; of
 * object_older, the one of the object that was dropped. A
 * duration of -1 is unknown. build: version of the upstream's software. resumes: request id of the
 * caller's attempt that began the stream.
 */
#define TRACE_TABLE(X)                                                                             \
	X(START, "start", 10, "version=%s domain=%s role=%s settings=%s")                          \
	X(STOP, "stop", 10, "reason=%s open=%u")                                                   \
	X(DRAINING, "draining", 10, "signal=%s open=%u limit_ms=%d")                               \
	X(RELOAD, "reload", 10, "settings=%s result=%s")                                           \
	X(LISTEN, "listen", 10, "setting=%s result=%s")                                            \
	X(METRICS, "metrics", 5, "addr=%s result=%s")                                              \
	X(READY, "ready", 10, "ready=%d reason=%s")                                                \
	X(STORE_LOST, "store_lost", 5, "watch=%s reason=%s")                                       \
	X(STORE_BACK, "store_back", 5, "watch=%s revision=%s away_ms=%d")                          \
	X(STORE_HISTORY_LOST, "store_history_lost", 5, "watch=%s revision=%s")                     \
	X(STORE_ERA, "store_era", 5, "era=%u previous=%u source=%s")                               \
	X(OBJECT_OLDER, "object_older", 20, "watch=%s object=%s revision=%s known=%s source=%s")   \
	X(STORE_RESPONSE_INVALID, "store_answer_bad", 5, "watch=%s object=%s reason=%s")           \
	X(CONFIG, "config", 20, "version=%s source=%s result=%s routes=%u services=%u keys=%u")    \
	X(UPSTREAM, "upstream", 50,                                                                \
	  "id=%s service=%s addr=%s state=%s source=%s revision=%s "                               \
	  "build=%s")                                                                              \
	X(HEALTH, "health", 50, "id=%s state=%s result=%s")                                        \
	X(HOLD_OFF, "hold_off", 50, "id=%s for_ms=%d")                                             \
	X(REACHABILITY, "reach", 50, "id=%s path=%s reason=%s")                                    \
	X(CRASH, "crash", 20, "id=%s in_flight=%u begun=%u")                                       \
	X(SUSPECT, "suspect", 50, "key=%016" PRIx64 " kind=%s state=%s crashes=%u")                \
	X(DOMAIN, "domain", 20, "name=%s state=%s lost_paths=%u")                                  \
	X(EVACUATION, "evacuation", 20, "domain=%s state=%s revision=%s source=%s upstreams=%u")   \
	X(COLD, "cold", 50, "id=%s state=%s reason=%s for_ms=%d sends=%d")                         \
	X(STORE_READER, "store_reader", 10, "reads=%d reason=%s instances=%u age_ms=%d")           \
	X(PEER, "peer", 10, "addr=%s state=%s")                                                    \
	X(REGISTERED, "registered", 5, "name=%s status=%d result=%s")                              \
	X(PAUSED, "paused", 5, "stopped_ms=%d")                                                    \
	X(REFUSED, "refused", 50,                                                                  \
	  "req=%s route=%s account=%s status=%d reason=%s retry_after_ms=%d config=%s age_ms=%d")  \
	X(PLACED, "placed", 500,                                                                   \
	  "req=%s attempt=%u upstream=%s reason=%s candidates=%u running=%d load_age_ms=%d "       \
	  "missing_tokens=%d source=%s left_ms=%d config=%s build=%s")                             \
	X(ATTEMPT, "attempt_failed", 100,                                                          \
	  "req=%s attempt=%u upstream=%s verdict=%s cause=%s status=%d kept=%d after_ms=%d "       \
	  "next=%s denied=%s")                                                                     \
	X(RESUMED, "resumed", 50, "req=%s attempt=%u upstream=%s after_event=%s build=%s")         \
	X(TAKEN_UP, "taken_up", 50, "req=%s resumes=%s after_event=%s upstream=%s build=%s")       \
	X(MISMATCHED_RESPONSE, "stray_answer", 20, "req=%s upstream=%s answered=%s")               \
	X(ENDED, "ended", 100,                                                                     \
	  "req=%s route=%s account=%s kind=%s status=%d outcome=%s upstream=%s attempts=%u "       \
	  "total_ms=%d first_ms=%d longest_gap_ms=%d events=%u config=%s")                         \
	X(CALLER_GONE, "caller_gone", 50, "req=%s state=%s upstream=%s after_ms=%d")               \
	X(BAD_INPUT, "bad_input", 20, "status=%d reason=%s")                                       \
	X(MEMORY, "memory", 20, "held_for=%s bytes=%u req=%s after_ms=%d")                         \
	X(CROWDED, "crowded", 20, "connections=%u state=%s after_ms=%d")                           \
	X(LIBRARY, "library", 5, "domain=%s text=%s")                                              \
	X(LINES_DROPPED, "lines_dropped", 5, "dropped_event=%s lines=%u")

enum trace_kind {
#define X(name, event, rate, fields) TRACE_##name,
	TRACE_TABLE(X)
#undef X
	TRACE_COUNT,
};

#define X(name, event, rate, fields)                                                               \
	static const char trace_fields_##name[] __attribute__((unused)) = fields;
TRACE_TABLE(X)
#undef X

/**
 * trace() - writes one line of kind @name; the arguments are its fields in order
 *
 * Values must not contain spaces or line breaks; use trace_sanitize() for text from outside.
 */
#define trace(name, ...) trace_line(TRACE_##name, trace_fields_##name, __VA_ARGS__)

/** trace_line() - implementation of trace() */
void trace_line(enum trace_kind kind, const char *fields, ...)
	__attribute__((format(printf, 2, 3)));

/** trace_init() - sets the instance name in all lines and the output descriptor, -1: no output */
void trace_init(const char *instance, int fd);

/** trace_library_messages() - logs GLib's warnings as lines, in place of blocking writes to stderr */
void trace_library_messages(void);

/** trace_flush() - writes what the descriptor accepts without blocking; call it before exit */
void trace_flush(void);

/**
 * trace_sanitize() - copies @text to @buf, with _ for spaces, quotes and control characters
 *
 * Truncates it to @size. Returns @buf, or "-" if @text is NULL or empty.
 */
const char *trace_sanitize(char *buf, size_t size, const char *text);

/** trace_dropped_count() - number of lines dropped since the start */
uint64_t trace_dropped_count(void);

/** trace_set_sampling() - fraction of requests, 0 to 1, whose successful first attempt is logged */
void trace_set_sampling(double fraction);

/** trace_is_sampled() - whether request @id is in that fraction; the same at all instances */
bool trace_is_sampled(const char *id);

#endif
