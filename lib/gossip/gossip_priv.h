/**
 * DOC: gossip_priv
 *
 * State shared by the files of gossip. Entries that are replicated to neighbours are grouped into
 * classes. Each change of an entry takes the next sequence number of its class, and each link
 * stores the number that it last sent of each entry. A frame carries entries as records.
 */
#ifndef GOSSIP_GOSSIP_PRIV_H
#define GOSSIP_GOSSIP_PRIV_H

#include "gossip/gossip.h"

#define G_PROTOCOL	    2 /* version in the header; frames of others are rejected */
#define G_HMAC_BYTES	    16 /* HMAC-SHA256 truncated to half, which RFC 2104 allows */
#define G_ID_MAX	    64 /* bytes, as the next three */
#define G_ADDRESS_MAX	    64
#define G_KEY_MAX	    160
#define G_TEXT_MAX	    (1024 * 1024)
#define G_ENTRIES_MAX	    4096 /* entries of one class */
#define G_CONF_BUCKETS	    256 /* object keys are hashed into buckets, each with a digest */
#define G_CONF_DIGEST_BYTES (G_CONF_BUCKETS * 4) /* digests of all buckets */

#define G_TICK		     (500 * USEC_PER_MSEC) /* between regular frames on a link */
#define G_URGENT_GAP	     (20 * USEC_PER_MSEC) /* between urgent frames on a link */
#define G_MEMBER_GAP	     (200 * USEC_PER_MSEC) /* same; member records come in bursts */
#define G_SELECT_GAP	     (200 * USEC_PER_MSEC) /* between two selections of links */
#define G_LOAD_PERIOD	     (500 * USEC_PER_MSEC) /* between rounds of load records on a link */
#define G_ACCOUNTS_PERIOD    (1 * USEC_PER_SEC) /* between account records on a link */
#define G_INACTIVITY_TIMEOUT (2 * USEC_PER_SEC) /* four ticks without a frame: suspected */
#define G_SUSPECT_TIMEOUT    (2 * USEC_PER_SEC) /* a suspect that doesn't refute is dead */
#define G_DEAD_RETENTION     (600 * USEC_PER_SEC) /* then a dead instance is removed */
#define G_ROOT_TIMEOUT	     (3 * USEC_PER_SEC) /* a root is ignored without a new root_seq */
/* Watchers read the platform every 2 s, and the report of it takes a few ticks to arrive. */
#define G_PLATFORM_CONTACT_MAX_AGE_S 6
#define G_PING_PERIOD		     (4 * USEC_PER_SEC) /* pings one instance without a link */
#define G_PING_TIMEOUT		     (1500 * USEC_PER_MSEC) /* without a response */
#define G_PING_ATTEMPTS		     2
#define G_PROBE_PERIOD		     (10 * USEC_PER_SEC) /* probes one seed or dead instance */

/* Members, leaving flags and poison records are resent when digests differ for this long. */
#define G_MISMATCH_DELAY (1 * USEC_PER_SEC)

enum g_class {
	G_CONF,
	G_LEAVING, /* leaving flags of the platform's list */
	G_POISON,
	G_MEMBER,
	G_HEALTH, /* state of an upstream as observed by one instance */
	G_LOAD,
	G_CLASS_COUNT,
};

enum g_record_kind {
	G_RECORD_CONF,
	G_RECORD_LEAVING,
	G_RECORD_POISON,
	G_RECORD_MEMBER,
	G_RECORD_HEALTH,
	G_RECORD_LOAD,
	G_RECORD_PULL, /* digests of configuration buckets; requests objects of those that differ */
	G_RECORD_PULL_END, /* ends a response to a pull, after its objects */
	G_RECORD_ACCOUNTS_UP, /* account rates, sum over the sender's subtree */
	G_RECORD_ACCOUNTS_DOWN, /* account rates, sum over all instances */
};

enum g_flag {
	G_FLAG_LINK = 1, /* the receiver is a neighbour */
	G_FLAG_PARENT = 2, /* the receiver is the sender's parent in the tree */
	G_FLAG_CONFIGURED = 4, /* the sender has a complete configuration */
	G_FLAG_JOIN = 8, /* requests all members */
	G_FLAG_UNLINK = 16, /* the sender is no longer a neighbour */
	G_FLAG_LEAVE = 32, /* the sender stops */
	G_FLAG_PING = 64, /* requests a frame in response */
	G_FLAG_SELECTED = 128, /* the sender selected the link, so the receiver keeps it */
};

/** struct g_header - first part of each frame, about the sender */
struct g_header {
	char id[G_ID_MAX + 1];
	char address[G_ADDRESS_MAX + 1]; /* may be empty if the receiver has it */
	uint64_t incarnation;
	uint64_t stamp; /* hybrid logical clock */
	uint32_t domain;
	uint32_t flags; /* enum g_flag */
	uint64_t conf_digest;
	uint32_t member_digest;
	uint32_t leaving_poison_digest; /* of leaving flags and poison records */
	uint64_t root; /* hash of the id of the tree's root, as known to the sender */
	uint64_t root_seq; /* newest number of the root, as known to the sender */
	uint32_t distance; /* links to the root, UINT16_MAX: no parent */
	uint32_t children; /* number of neighbours whose parent is the sender */
	uint32_t platform_contact; /* last platform response to any instance, wall seconds */
};

/** struct g_conf_entry - key and version of a stored object, for digests */
struct g_conf_entry {
	const char *key; /* owned */
	uint64_t key_hash;
	uint64_t version;
};

struct g_leaving_flag {
	char *id; /* of the upstream, owned */
	uint64_t hash; /* of the id */
	uint64_t version;
	bool leaving;
};

struct g_health {
	uint64_t upstream; /* hash of the id */
	uint64_t observer; /* hash of the observing instance's id */
	uint64_t version; /* wall milliseconds at the observer */
	uint64_t epoch; /* start number of the upstream */
	int state; /* enum member_state */
};

struct g_load {
	uint64_t upstream; /* hash of the id */
	uint64_t observer; /* hash of this instance's id, 0: received from a peer */
	int64_t made_at; /* monotonic time of the report */
	struct load_report report;
};

/** struct g_member - an instance and local state about it */
struct g_member {
	struct gossip_instance inst;
	int64_t state_since; /* time of the last change of the state */
	int64_t probed_at; /* last probe of a dead instance */
};

/** struct g_changes - sequence numbers of the changes in one class */
struct g_changes {
	uint32_t n; /* entries */
	uint32_t capacity; /* of both arrays */
	uint32_t *seq; /* owned: number of each entry's last change */
	uint64_t *source; /* owned: hash of the neighbour that sent the change, 0: this instance */
	uint32_t last_seq; /* highest number */
};

/** struct g_sent - changes of one class that a link has sent */
struct g_sent {
	uint32_t capacity;
	uint32_t *seq; /* owned: number last sent of each entry */
	uint32_t assumed_seq; /* changes up to this number count as sent */
	uint32_t complete_seq; /* all changes up to this number have been sent */
	uint32_t cursor; /* entry to continue with after a full frame */
};

struct g_link {
	uint64_t peer; /* hash of the id */
	char *address; /* owned */
	uint32_t domain;
	bool selected; /* selected by this instance */
	int64_t keep_until; /* the link was selected by the peer and is kept until this time */
	int64_t created;
	int64_t last_received; /* time of the last frame */
	int64_t next_frame; /* time of the next regular frame */
	int64_t urgent_at; /* last urgent frame */
	int64_t member_at; /* last frame that could carry member records */
	int64_t load_at; /* start of the last round of load records */
	int64_t accounts_at; /* same for account records */
	struct g_sent sent[G_CLASS_COUNT];
	struct g_header header; /* newest header of the peer */
	bool has_header;
	int64_t conf_differs_since; /* start of the current mismatch, 0: digests equal */
	int64_t conf_pulled_at; /* end of the last complete response to a pull, 0: none */
	int64_t members_differ_since;
	int64_t leaving_poison_differ_since;
	/* Account rates, sum over the peer's subtree. */
	struct gossip_account subtree_accounts[GOSSIP_ACCOUNTS_MAX];
	uint32_t n_subtree_accounts;
};

struct g_token_bucket {
	double tokens; /* bytes; negative after a frame that exceeds the limit */
	double rate; /* bytes per second */
	double burst; /* bytes */
	int64_t refilled_at;
};

/** struct g_out - a frame being built */
struct g_out {
	struct g_link *link; /* NULL: to an instance without a link */
	void *packer; /* msgpack_packer */
	void *buffer; /* msgpack_sbuffer */
	size_t limit; /* bytes of the frame for records */
};

struct gossip {
	struct gossip_params params; /* strings owned */
	struct gossip_events events;
	uint64_t self; /* hash of the id */
	uint32_t domain;
	uint64_t incarnation; /* incremented by a refutation */
	struct rng rng;
	struct hlc clock;
	int64_t wall_offset; /* wall time minus monotonic time */
	int64_t started;
	int64_t last_tick;
	int64_t joined_at; /* first frame of a peer, 0: none yet */
	int64_t next_join;
	int64_t next_probe;
	uint64_t ping_target; /* hash of the instance that should respond, 0: none */
	int64_t ping_at; /* last ping, or last selection of an instance for one */
	uint32_t ping_attempts;
	uint32_t next_seed; /* position in the seeds */
	bool leaving; /* this instance stops */
	bool membership_stable; /* the members are known well enough to select watchers */
	int64_t member_added_at; /* last new instance */
	uint32_t platform_contact; /* as in the header */
	bool platform_required; /* see gossip_require_platform() */
	bool platform_failed; /* a call has failed since the start, or there is no platform */

	struct conf_store *store; /* owned */
	GArray *conf; /* struct g_conf_entry */
	GHashTable *conf_index; /* key -> index + 1 */
	uint32_t conf_buckets[G_CONF_BUCKETS]; /* digest of each bucket of keys */
	bool configured; /* the configuration is complete */
	uint64_t pull_peer; /* hash of the neighbour, 0: no pull in progress */
	int64_t pull_deadline;
	uint32_t pull_bucket; /* first bucket that the next pull requests */

	GPtrArray *members; /* struct g_member, self at 0 */
	GHashTable *member_index; /* hash -> index + 1 */
	uint32_t member_digest; /* sum over the members that are not dead */
	bool overlay_changed; /* links must be selected again */
	int64_t selected_at; /* last selection of links */

	GArray *leaving_flags; /* struct g_leaving_flag */
	GHashTable *leaving_index;
	GArray *poison; /* struct poison_record */
	GHashTable *poison_index;
	uint32_t leaving_poison_digest;
	GArray *health; /* struct g_health */
	GHashTable *health_index;
	GArray *load; /* struct g_load */
	GHashTable *load_index;

	struct g_changes changes[G_CLASS_COUNT];
	GPtrArray *links; /* struct g_link */

	/* Tree. */
	uint64_t root; /* hash of the root instance's id */
	uint64_t root_seq; /* wall time at the root in G_TICKs, so that its restart increases it */
	int64_t root_at; /* last advance of root_seq */
	uint64_t expired_root; /* inactive root, ignored up to expired_seq */
	uint64_t expired_seq;
	uint64_t parent; /* hash of the neighbour, 0: none, or this instance is the root */
	uint32_t distance; /* links to the root, UINT16_MAX: no parent */

	struct gossip_account own_accounts[GOSSIP_ACCOUNTS_MAX];
	uint32_t n_own_accounts;
	struct gossip_account total_accounts[GOSSIP_ACCOUNTS_MAX]; /* sum over all instances */
	uint32_t n_total_accounts;

	struct g_token_bucket byte_limit;
	struct g_token_bucket state_byte_limit; /* of state transfer and repairs */
	struct gossip_stats stats;
	uint8_t *hmac_key; /* owned */
	size_t hmac_key_len;
	char sender_address[G_ADDRESS_MAX + 1]; /* of the last frame received */
};

/* gossip_wire.c */
struct g_field_reader;
GBytes *g_wire_sign(const struct gossip *g, const void *body, size_t len);
int g_wire_verify(const struct gossip *g, const void *frame, size_t len, size_t *body_len);
void g_wire_header(struct g_out *o, const struct g_header *h);
void g_wire_conf(struct g_out *o, const char *key, uint64_t version, const char *text);
void g_wire_leaving(struct g_out *o, const struct g_leaving_flag *m);
void g_wire_poison(struct g_out *o, const struct poison_record *m);
void g_wire_member(struct g_out *o, const struct gossip_instance *i);
void g_wire_health(struct g_out *o, const struct g_health *h);
void g_wire_load(struct g_out *o, const struct g_load *l, int64_t now);
void g_wire_pull(struct g_out *o, const uint32_t *buckets, uint32_t first);
void g_wire_pull_end(struct g_out *o, uint32_t next);
void g_wire_accounts(struct g_out *o, enum g_record_kind kind,
		     const struct gossip_account *accounts, uint32_t n);
size_t g_wire_size(const struct g_out *o);

/** struct g_record - one decoded record; @text is not NUL-terminated */
struct g_record {
	enum g_record_kind kind;
	char id[G_ID_MAX + 1]; /* of an instance or an upstream */
	char address[G_ADDRESS_MAX + 1];
	char key[G_KEY_MAX + 1];
	const char *text; /* of an object, NULL: deleted */
	uint32_t text_len;
	uint64_t version;
	bool leaving;
	struct poison_record poison;
	struct gossip_instance inst; /* strings in id and address */
	struct g_health health;
	struct g_load load; /* made_at: age of the report */
	const uint8_t *buckets; /* G_CONF_DIGEST_BYTES in little-endian order */
	uint32_t bucket; /* PULL: first requested; PULL_END: next to request, 0: none */
	struct gossip_account accounts[GOSSIP_ACCOUNTS_MAX];
	uint32_t n_accounts;
};

typedef void (*g_record_fn)(void *arg, const struct g_header *h, const struct g_record *rec);

/**
 * g_wire_parse() - checks the whole body, then calls @fn for each record
 *
 * Returns 0, -EBADMSG or -EPROTO; @fn is called only if the whole body is well-formed.
 */
int g_wire_parse(const void *body, size_t len, struct g_header *h, g_record_fn fn, void *arg);

/* gossip_rows.c */
void g_entry_changed(struct gossip *g, enum g_class c, uint32_t entry, uint64_t source);
bool g_entry_pending(const struct gossip *g, const struct g_link *l, enum g_class c,
		     uint32_t entry);
void g_entry_mark_sent(struct gossip *g, struct g_link *l, enum g_class c, uint32_t entry);
bool g_class_all_sent(const struct gossip *g, const struct g_link *l, enum g_class c);
void g_class_resend(struct g_link *l, enum g_class c);
void g_class_assume_sent(const struct gossip *g, struct g_link *l, enum g_class c);
void g_changes_clear(struct gossip *g);
void g_sent_clear(struct g_link *l);
void g_leaving_apply(struct gossip *g, const char *id, bool leaving, uint64_t version,
		     uint64_t source);
void g_poison_apply(struct gossip *g, const struct poison_record *m, uint64_t source);
void g_health_apply(struct gossip *g, const struct g_health *h, uint64_t source);
void g_load_apply(struct gossip *g, const struct g_load *l, uint64_t source, struct g_link *link);
void g_accounts_sum(struct gossip *g, struct gossip_account *out, uint32_t *n);
void g_accounts_set_total(struct gossip *g, const struct gossip_account *accounts, uint32_t n);

/* gossip_conf.c */
int g_conf_apply(struct gossip *g, const char *key, uint64_t version, const char *text,
		 uint64_t source);
void g_conf_compare(struct gossip *g, struct g_link *l, int64_t now);
void g_conf_pull_done(struct gossip *g, struct g_link *l, uint32_t next, int64_t now);
void g_conf_serve_pull(struct gossip *g, struct g_link *l, const struct g_record *rec, int64_t now);
bool g_conf_is_current(const struct gossip *g, int64_t now);

/* gossip_member.c */
struct g_member *g_member_find(const struct gossip *g, uint64_t hash);
/* @source: hash of the sender, which may be the instance itself. Returns whether @i was applied. */
bool g_member_apply(struct gossip *g, const struct gossip_instance *i, uint64_t source,
		    int64_t now);
void g_member_tick(struct gossip *g, int64_t now);
void g_member_suspect(struct gossip *g, uint64_t hash, int64_t now);
void g_member_free(void *p);
uint32_t g_member_position(const struct gossip *g, uint64_t hash, bool with_suspects);

/* gossip_link.c */
struct g_link *g_link_find(const struct gossip *g, uint64_t peer);
struct g_link *g_link_get_or_add(struct gossip *g, const struct gossip_instance *i, int64_t now);
void g_link_free(void *p);
void g_link_select(struct gossip *g, int64_t now);
void g_link_tick(struct gossip *g, int64_t now);
uint32_t g_link_count_children(const struct gossip *g);
bool g_link_in_tree(const struct gossip *g, const struct g_link *l);
void g_tree_tick(struct gossip *g, int64_t now);

/* gossip_send.c */
void g_token_bucket_refill(struct g_token_bucket *b, int64_t now);
void g_send_frame(struct gossip *g, struct g_link *l, uint32_t flags, int64_t now);
void g_send_urgent(struct gossip *g, int64_t now);
/* @about: hash of the instance whose entry is sent, 0: only a header */
void g_send_member(struct gossip *g, const char *address, uint32_t flags, uint64_t about,
		   int64_t now);
/* @l: NULL if @address is no neighbour */
void g_send_members(struct gossip *g, struct g_link *l, const char *address, int64_t now);
void g_send_pull(struct gossip *g, struct g_link *l, int64_t now);
struct g_out g_out_begin(struct gossip *g, struct g_link *l, uint32_t flags, int64_t now);
/* @state: counts against the limit of state transfer and repairs */
void g_out_send(struct gossip *g, struct g_out *o, const char *address, bool state, int64_t now);

#endif
