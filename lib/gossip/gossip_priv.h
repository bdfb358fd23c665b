/**
 * DOC: gossip_priv
 *
 * State shared by the files of gossip. A row class is a set of rows that are told to neighbours;
 * each change of a row takes the next number of its class, and each link remembers the number that
 * it sent last for each row.
 */
#ifndef GOSSIP_GOSSIP_PRIV_H
#define GOSSIP_GOSSIP_PRIV_H

#include "gossip/gossip.h"

#define G_PROTOCOL	    2
#define G_HMAC_BYTES	    16 /* HMAC-SHA256 cut to half, which RFC 2104 allows */
#define G_ID_MAX	    64
#define G_ADDRESS_MAX	    64
#define G_KEY_MAX	    160
#define G_TEXT_MAX	    (1024 * 1024)
#define G_ENTRIES_MAX	    4096 /* rows of one class */
#define G_CONF_BUCKETS	    256 /* of the configuration digest */
#define G_CONF_DIGEST_BYTES (G_CONF_BUCKETS * 4)

#define G_TICK		     (500 * USEC_PER_MSEC)
#define G_URGENT_GAP	     (20 * USEC_PER_MSEC) /* between urgent frames on a link */
#define G_MEMBER_GAP	     (200 * USEC_PER_MSEC) /* the same for instance rows, which come in bursts */
#define G_SELECT_GAP	     (200 * USEC_PER_MSEC) /* between two draws of the overlay */
#define G_LOAD_PERIOD	     (500 * USEC_PER_MSEC) /* between two sends of a load row on a link */
#define G_ACCOUNTS_PERIOD    (1 * USEC_PER_SEC)
#define G_INACTIVITY_TIMEOUT (2 * USEC_PER_SEC) /* four ticks without a frame: suspect */
#define G_SUSPECT_TIMEOUT    (2 * USEC_PER_SEC) /* time to refute */
#define G_DEAD_RETENTION     (600 * USEC_PER_SEC)
#define G_ROOT_TIMEOUT	     (3 * USEC_PER_SEC)
/* Watchers read the platform every 2 s, and the word of it takes a few ticks. */
#define G_PLATFORM_CONTACT_MAX_S 6
#define G_PING_PERIOD		 (4 * USEC_PER_SEC) /* contact with an instance that is no neighbour */
#define G_PING_TIMEOUT		 (1500 * USEC_PER_MSEC) /* for its answer */
#define G_PING_ATTEMPTS		 2
#define G_PROBE_PERIOD		 (10 * USEC_PER_SEC) /* contact with a seed or a dead instance */

/* Digests of members and marks are resent whole when they differ for this long. */
#define G_MISMATCH_DELAY (1 * USEC_PER_SEC)

enum g_class {
	G_CONF,
	G_LEAVING, /* leaving marks of the platform's list */
	G_POISON,
	G_MEMBER,
	G_HEALTH, /* state of an upstream as seen by one instance */
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
	G_RECORD_PULL, /* digests of the buckets of the configuration, asks for objects */
	G_RECORD_PULL_END, /* the objects before it answer a pull */
	G_RECORD_ACCOUNTS_UP, /* sum over the sender's subtree */
	G_RECORD_ACCOUNTS_DOWN, /* sum over all instances */
};

enum g_flag {
	G_FLAG_LINK = 1, /* the receiver is a neighbour */
	G_FLAG_PARENT = 2, /* the receiver is the sender's parent in the tree */
	G_FLAG_CONFIGURED = 4,
	G_FLAG_JOIN = 8, /* asks for all members */
	G_FLAG_UNLINK = 16, /* the sender is no longer a neighbour */
	G_FLAG_LEAVE = 32, /* the sender stops */
	G_FLAG_PING = 64, /* wants a frame back */
	G_FLAG_SELECTED = 128, /* the sender chose the link, so the receiver holds it */
};

/** struct g_header - the fixed part of a frame */
struct g_header {
	char id[G_ID_MAX + 1];
	char address[G_ADDRESS_MAX + 1];
	uint64_t incarnation;
	uint64_t stamp; /* hybrid logical clock */
	uint32_t domain;
	uint32_t flags;
	uint64_t conf_digest;
	uint32_t member_digest;
	uint32_t mark_digest; /* of leaving marks and poison marks */
	uint64_t root; /* of the tree as the sender sees it */
	uint64_t
		root_seq; /* counts ticks of wall time, so that it rises across a restart of the root */
	uint32_t distance;
	uint32_t children; /* neighbours whose parent the sender is */
	uint32_t contact; /* wall seconds of the platform's last answer to any instance */
};

/** struct g_conf_entry - mirror of an object's key and version, for digests */
struct g_conf_entry {
	const char *key; /* owned */
	uint64_t key_hash;
	uint64_t version;
};

struct g_leaving_flag {
	char *id;
	uint64_t hash;
	uint64_t version;
	bool leaving;
};

struct g_health {
	uint64_t upstream;
	uint64_t from;
	uint64_t version; /* wall milliseconds at the source */
	uint64_t epoch;
	int state;
};

struct g_load {
	uint64_t upstream;
	uint64_t from;
	int64_t made; /* monotonic time at which the report was made */
	struct load_report report;
};

/** struct g_member - an instance and what only this instance keeps about it */
struct g_member {
	struct gossip_instance inst;
	int64_t since; /* of the state */
	int64_t tried; /* last probe of a dead instance */
};

/** struct g_changes - change numbers of the rows of one class */
struct g_changes {
	uint32_t n;
	uint32_t room;
	uint32_t *seq; /* owned: number of the last change of each row */
	uint64_t *from; /* owned: hash of the neighbour that told it, 0: own */
	uint32_t last; /* highest number */
};

/** struct g_sent - what a link sent of one class */
struct g_sent {
	uint32_t room;
	uint32_t *seq; /* owned: number last sent of each row */
	uint32_t floor; /* all rows up to this number count as sent */
	uint32_t done; /* all rows up to this number are sent */
	uint32_t cursor; /* row to go on with after a full frame */
};

struct g_link {
	uint64_t peer; /* hash of the id */
	char *address;
	uint32_t domain;
	bool drawn; /* chosen by this instance */
	int64_t held_until; /* the peer has chosen this instance */
	int64_t created;
	int64_t heard; /* last frame */
	int64_t next_frame;
	int64_t urgent_at; /* last urgent frame */
	int64_t member_at; /* last frame with instance rows */
	int64_t load_at; /* start of the last round of load rows */
	int64_t heavy_at;
	struct g_sent sent[G_CLASS_COUNT];
	/* Newest header of the peer. */
	struct g_header head;
	bool has_head;
	int64_t conf_differs; /* since when, 0: equal */
	int64_t conf_pulled; /* end of the last complete answer to a pull, 0: none */
	int64_t member_differs;
	int64_t mark_differs;
	/* Sum over the peer's subtree. */
	struct gossip_account up[GOSSIP_ACCOUNTS_MAX];
	uint32_t n_up;
};

struct g_token_bucket {
	double tokens; /* bytes; below 0 after an urgent frame larger than the rest */
	double rate; /* bytes per second */
	double burst;
	int64_t at;
};

/** struct g_out - a frame in the making */
struct g_out {
	struct g_link *link; /* NULL: to an instance that is no neighbour */
	void *packer; /* msgpack_packer */
	void *buffer; /* msgpack_sbuffer */
	size_t limit; /* bytes of the frame for rows */
};

struct gossip {
	struct gossip_params params; /* strings owned */
	struct gossip_events events;
	uint64_t self; /* hash of the id */
	uint32_t domain;
	uint64_t incarnation; /* rises by refutation */
	struct rng rng;
	struct hlc clock;
	int64_t wall; /* wall time minus monotonic time */
	int64_t started;
	int64_t last_tick;
	int64_t joined; /* first frame of a peer, 0: none yet */
	int64_t next_join;
	int64_t next_probe;
	uint64_t ping; /* instance that should answer, 0: none */
	int64_t ping_at;
	uint32_t ping_tries;
	uint32_t join_round; /* position in the seeds */
	bool leaving;
	bool settled; /* the members are known well enough to choose watchers */
	int64_t grown; /* last new instance */
	uint32_t contact; /* as in the header */
	bool fenced; /* reads the platform up to a known version */
	bool platform_failed; /* since the start, this instance can't reach the platform */

	struct conf_store *store; /* owned */
	GArray *conf; /* struct g_conf_entry */
	GHashTable *conf_index; /* key -> index + 1 */
	uint32_t buckets[G_CONF_BUCKETS];
	bool configured;
	uint64_t pull_peer; /* 0: no pull under way */
	int64_t pull_until;
	uint32_t pull_bucket; /* first bucket that the next pull asks for */

	GPtrArray *members; /* struct g_member, self at 0 */
	GHashTable *member_index; /* hash -> index + 1 */
	uint32_t member_digest;
	bool overlay_changed;
	int64_t drawn_at; /* last draw of the overlay */

	GArray *marks; /* struct g_leaving_flag */
	GHashTable *mark_index;
	GArray *poison; /* struct poison_mark */
	GHashTable *poison_index;
	uint32_t mark_digest;
	GArray *health; /* struct g_health */
	GHashTable *health_index;
	GArray *load; /* struct g_load */
	GHashTable *load_index;

	struct g_changes rows[G_CLASS_COUNT];
	GPtrArray *links; /* struct g_link */

	/* Tree. */
	uint64_t root;
	uint64_t
		root_seq; /* counts ticks of wall time, so that it rises across a restart of the root */
	int64_t root_at; /* last advance of root_seq */
	uint64_t lost_root; /* root that fell silent, ignored up to lost_seq */
	uint64_t lost_seq;
	uint64_t parent; /* hash of the neighbour, 0: this instance is the root */
	uint32_t distance;

	struct gossip_account own[GOSSIP_ACCOUNTS_MAX];
	uint32_t n_own;
	struct gossip_account total[GOSSIP_ACCOUNTS_MAX];
	uint32_t n_total;

	struct g_token_bucket bucket;
	struct g_token_bucket state_bucket;
	struct gossip_stats stats;
	uint8_t *hmac_key; /* owned */
	size_t hmac_key_len;
	char from[G_ADDRESS_MAX + 1];
};

/* gossip_wire.c */
struct g_field_reader;
GBytes *g_wire_sign(const struct gossip *g, const void *body, size_t len);
int g_wire_verify(const struct gossip *g, const void *frame, size_t len, size_t *body_len);
void g_wire_header(struct g_out *o, const struct g_header *h);
void g_wire_conf(struct g_out *o, const char *key, uint64_t version, const char *text);
void g_wire_leaving(struct g_out *o, const struct g_leaving_flag *m);
void g_wire_poison(struct g_out *o, const struct poison_mark *m);
void g_wire_member(struct g_out *o, const struct gossip_instance *i);
void g_wire_health(struct g_out *o, const struct g_health *h);
void g_wire_load(struct g_out *o, const struct g_load *l, int64_t now);
void g_wire_pull(struct g_out *o, const uint32_t *buckets, uint32_t first);
void g_wire_pull_end(struct g_out *o, uint32_t next);
void g_wire_accounts(struct g_out *o, enum g_record_kind kind, const struct gossip_account *rows,
		     uint32_t n);
size_t g_wire_size(const struct g_out *o);

/** struct g_record - one decoded row; strings are not terminated */
struct g_record {
	enum g_record_kind kind;
	char id[G_ID_MAX + 1]; /* of an instance or an upstream */
	char address[G_ADDRESS_MAX + 1];
	char key[G_KEY_MAX + 1];
	const char *text; /* of an object, NULL: deleted */
	uint32_t text_len;
	uint64_t version;
	bool leaving;
	struct poison_mark poison;
	struct gossip_instance inst; /* strings in id and address */
	struct g_health health;
	struct g_load load; /* made holds the age */
	const uint8_t *buckets; /* G_CONF_DIGEST_BYTES in little-endian order */
	uint32_t bucket; /* first to answer, or next to ask for */
	struct gossip_account accounts[GOSSIP_ACCOUNTS_MAX];
	uint32_t n_accounts;
};

typedef void (*g_record_fn)(void *arg, const struct g_header *h, const struct g_record *n);

/**
 * g_wire_parse() - checks the whole body and then calls @fn for each row
 *
 * Returns 0, -EBADMSG or -EPROTO; @fn isn't called unless all of the body is well-formed.
 */
int g_wire_parse(const void *body, size_t len, struct g_header *h, g_record_fn fn, void *arg);

/* gossip_rows.c */
void g_entry_changed(struct gossip *g, enum g_class c, uint32_t row, uint64_t from);
bool g_entry_pending(const struct gossip *g, const struct g_link *l, enum g_class c, uint32_t row);
void g_entry_mark_sent(struct gossip *g, struct g_link *l, enum g_class c, uint32_t row);
bool g_class_all_sent(const struct gossip *g, const struct g_link *l, enum g_class c);
void g_class_resend(struct g_link *l, enum g_class c);
void g_class_assume_sent(const struct gossip *g, struct g_link *l, enum g_class c);
void g_changes_clear(struct gossip *g);
void g_sent_clear(struct g_link *l);
void g_leaving_apply(struct gossip *g, const char *id, bool leaving, uint64_t version,
		     uint64_t from);
void g_poison_apply(struct gossip *g, const struct poison_mark *m, uint64_t from);
void g_health_apply(struct gossip *g, const struct g_health *h, uint64_t from);
void g_load_apply(struct gossip *g, const struct g_load *l, uint64_t from, struct g_link *link);
void g_accounts_sum(struct gossip *g, struct gossip_account *out, uint32_t *n);
void g_accounts_set_total(struct gossip *g, const struct gossip_account *rows, uint32_t n);

/* gossip_conf.c */
int g_conf_apply(struct gossip *g, const char *key, uint64_t version, const char *text,
		 uint64_t from);
void g_conf_compare(struct gossip *g, struct g_link *l, int64_t now);
void g_conf_pull_done(struct gossip *g, struct g_link *l, uint32_t next, int64_t now);
void g_conf_serve_pull(struct gossip *g, struct g_link *l, const struct g_record *n, int64_t now);

bool g_conf_is_current(const struct gossip *g, int64_t now);

/* gossip_member.c */
struct g_member *g_member_find(const struct gossip *g, uint64_t hash);
/* @from: hash of the neighbour that told it, the instance itself if that said so, 0: own finding */
bool g_member_apply(struct gossip *g, const struct gossip_instance *i, uint64_t from, int64_t now);
void g_member_tick(struct gossip *g, int64_t now);
void g_member_suspect(struct gossip *g, uint64_t hash, int64_t now);
void g_member_free(void *p);
uint32_t g_member_position(const struct gossip *g, uint64_t of, bool suspects);

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
void g_send_member(struct gossip *g, const char *address, uint32_t flags, uint64_t about,
		   int64_t now);
void g_send_members(struct gossip *g, struct g_link *l, const char *address, int64_t now);
void g_send_pull(struct gossip *g, struct g_link *l, int64_t now);
struct g_out g_out_begin(struct gossip *g, struct g_link *l, uint32_t flags, int64_t now);
void g_out_send(struct gossip *g, struct g_out *o, const char *address, bool state, int64_t now);

#endif
