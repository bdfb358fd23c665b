#include "lease/lease.h"

#include <string.h>

#define HOLDER_MAX_BYTES 128 /* with the final zero */
#define DURATION_MAX	 (3600 * USEC_PER_SEC) /* an object with a longer one is malformed */

enum phase {
	PHASE_IDLE,
	PHASE_READING,
	PHASE_WRITING,
};

/* Content of the lease's object. */
struct lease_object {
	char holder[HOLDER_MAX_BYTES]; /* empty: released */
	uint64_t fence;
	int64_t duration; /* microseconds */
	uint64_t serial; /* number of the write, unique per holder */
};

struct lease {
	struct lease_params params;
	struct lease_ops ops;
	void *arg;
	char *key; /* owned */
	char *self; /* owned */
	uint32_t position;
	enum phase phase;
	bool observed; /* @version and @object were read or written at least once */
	uint64_t version; /* newest one observed; 0: no object */
	struct lease_object object; /* content of @version */
	int64_t observed_at; /* when @version was first observed */
	struct lease_object sent; /* content of the last write */
	int64_t sent_at; /* when that write was sent */
	bool held;
	uint64_t fence; /* fencing number while held */
	int64_t valid_until; /* while held: no order is sent from this time on */
	int64_t next_call_at; /* time of the next call to the store */
	bool releasing; /* the lease is to be released by the next write */
	uint64_t max_used_fence; /* highest fencing number that an engine reported */
	uint64_t serial; /* of the last write */
	struct lease_stats stats;
};

void lease_params_default(struct lease_params *p)
{
	*p = (struct lease_params){
		.duration = 4 * USEC_PER_SEC,
		.margin = 400 * USEC_PER_MSEC,
		.renew = USEC_PER_SEC,
		.poll = USEC_PER_SEC,
		.retry = 250 * USEC_PER_MSEC,
		.stagger = 500 * USEC_PER_MSEC,
		.standby = 2,
	};
}

struct lease *lease_new(const struct lease_params *p, const char *name, const char *self,
			const struct lease_ops *ops, void *arg)
{
	struct lease *l = g_new0(struct lease, 1);

	l->params = *p;
	l->ops = *ops;
	l->arg = arg;
	l->key = g_strdup_printf("lease/%s", name);
	l->self = g_strndup(self, HOLDER_MAX_BYTES - 1);
	l->position = LEASE_NO_POSITION;
	return l;
}

void lease_free(struct lease *l)
{
	if (!l)
		return;
	g_free(l->key);
	g_free(l->self);
	g_free(l);
}

static GBytes *format_object(const struct lease_object *o)
{
	char *text = g_strdup_printf("fence=%" G_GUINT64_FORMAT "\nduration_us=%" G_GINT64_FORMAT
				     "\nserial=%" G_GUINT64_FORMAT "\nholder=%s\n",
				     o->fence, o->duration, o->serial, o->holder);

	return g_bytes_new_take(text, strlen(text));
}

static int parse_field(const char *line, const char *name, uint64_t *out)
{
	size_t len = strlen(name);

	if (strncmp(line, name, len) != 0 ||
	    !g_ascii_string_to_unsigned(line + len, 10, 0, INT64_MAX, out, NULL))
		return -EINVAL;
	return 0;
}

static int parse_object(GBytes *value, struct lease_object *o)
{
	gsize len;
	const char *data = g_bytes_get_data(value, &len);
	g_autofree char *text = g_strndup(data ? data : "", len);
	g_auto(GStrv) lines = g_strsplit(text, "\n", 5);
	uint64_t duration;

	memset(o, 0, sizeof(*o));
	if (g_strv_length(lines) != 5 || parse_field(lines[0], "fence=", &o->fence) < 0 ||
	    parse_field(lines[1], "duration_us=", &duration) < 0 ||
	    parse_field(lines[2], "serial=", &o->serial) < 0 ||
	    !g_str_has_prefix(lines[3], "holder=") || *lines[4] != '\0' ||
	    duration > (uint64_t)DURATION_MAX ||
	    g_strlcpy(o->holder, lines[3] + strlen("holder="), HOLDER_MAX_BYTES) >=
		    HOLDER_MAX_BYTES)
		return -EINVAL;
	o->duration = (int64_t)duration;
	return 0;
}

static void set_lost(struct lease *l)
{
	if (!l->held)
		return;
	l->held = false;
	l->stats.lost++;
	if (l->ops.changed)
		l->ops.changed(l->arg, false, l->fence);
}

/* The write @l->sent took effect; the lease's duration starts when it was sent. */
static void set_held(struct lease *l)
{
	bool gained = !l->held;

	l->valid_until = l->sent_at + l->sent.duration - l->params.margin;
	l->fence = l->sent.fence;
	l->held = true;
	if (!gained)
		return;
	l->stats.gained++;
	if (l->ops.changed)
		l->ops.changed(l->arg, true, l->fence);
}

uint64_t lease_fence(const struct lease *l, int64_t now)
{
	return l->held && !l->releasing && now < l->valid_until ? l->fence : 0;
}

static void start_read(struct lease *l)
{
	l->phase = PHASE_READING;
	l->stats.reads++;
	l->ops.get(l->arg, l->key);
}

static void start_write(struct lease *l, uint64_t fence, const char *holder, int64_t now)
{
	g_autoptr(GBytes) value = NULL;

	memset(&l->sent, 0, sizeof(l->sent));
	g_strlcpy(l->sent.holder, holder, HOLDER_MAX_BYTES);
	l->sent.fence = fence;
	l->sent.duration = l->params.duration;
	l->sent.serial = ++l->serial;
	l->sent_at = now;
	l->phase = PHASE_WRITING;
	l->stats.writes++;
	value = format_object(&l->sent);
	l->ops.put(l->arg, l->key, l->version, value);
}

/* Time from which this instance may take over the lease as last observed. */
static int64_t takeover_at(const struct lease *l)
{
	int64_t wait = 0;

	if (l->version != 0 && l->object.holder[0] != '\0')
		wait = l->object.duration + l->params.margin;
	return l->observed_at + wait + (int64_t)l->position * l->params.stagger;
}

static bool competes(const struct lease *l)
{
	return l->position <= l->params.standby;
}

/* Updates the lease from the object that was read; starts a write or schedules the next read. */
static void process_object(struct lease *l, int64_t now)
{
	bool own = l->version != 0 && strcmp(l->object.holder, l->self) == 0;

	l->next_call_at = now + l->params.poll;
	/* A write whose response was lost has taken effect. */
	if (own && l->object.serial == l->sent.serial && !l->releasing &&
	    now < l->sent_at + l->sent.duration - l->params.margin)
		set_held(l);
	if (!own) {
		set_lost(l);
		l->releasing = false;
	}
	if (own && l->releasing) {
		start_write(l, l->object.fence, "", now);
	} else if (own && l->object.fence > l->max_used_fence) {
		/* There was no other holder since, so the fencing number stays valid. */
		start_write(l, l->object.fence, l->self, now);
	} else if (competes(l) && (own || now >= takeover_at(l))) {
		start_write(l, MAX(l->object.fence, l->max_used_fence) + 1, l->self, now);
	} else if (competes(l)) {
		l->next_call_at = MIN(l->next_call_at, takeover_at(l));
	}
}

static void read_done(struct lease *l, enum plat_result result, uint64_t version, GBytes *value,
		      int64_t now)
{
	struct lease_object o = { 0 };

	if (result == PLAT_NOT_FOUND) {
		version = 0;
	} else if (result != PLAT_OK || !value) {
		l->next_call_at = now + l->params.retry;
		return;
	} else if (parse_object(value, &o) < 0) {
		/* Treated as held by another instance. The version is used as the fencing number,
		 * which is never higher: a write that raises the number also raises the version. */
		l->stats.malformed++;
		g_strlcpy(o.holder, "?", sizeof(o.holder));
		o.duration = l->params.duration;
		o.fence = version;
	}
	if (!l->observed || version != l->version)
		l->observed_at = now;
	l->observed = true;
	l->version = version;
	l->object = o;
	process_object(l, now);
}

static void write_done(struct lease *l, enum plat_result result, uint64_t version, int64_t now)
{
	switch (result) {
	case PLAT_OK:
		l->observed = true;
		l->version = version;
		l->object = l->sent;
		l->observed_at = now;
		l->next_call_at = now + l->params.renew;
		if (l->sent.holder[0] == '\0') {
			l->releasing = false;
			set_lost(l);
			/* The delay lets the instance in the first position acquire the lease, not
			 * this one. */
			l->next_call_at = now + l->params.poll;
		} else {
			set_held(l);
		}
		break;
	case PLAT_UNKNOWN:
	case PLAT_MALFORMED:
		l->stats.unknown++;
		l->next_call_at = now + l->params.retry;
		break;
	case PLAT_CONFLICT:
	case PLAT_NOT_FOUND:
		l->next_call_at = now;
		break;
	default:
		l->next_call_at = now + l->params.retry;
		break;
	}
}

void lease_store_reply(struct lease *l, enum plat_result result, uint64_t version, GBytes *value,
		       int64_t now)
{
	enum phase phase = l->phase;

	l->phase = PHASE_IDLE;
	if (phase == PHASE_READING)
		read_done(l, result, version, value, now);
	else if (phase == PHASE_WRITING)
		write_done(l, result, version, now);
	lease_advance(l, now);
}

void lease_advance(struct lease *l, int64_t now)
{
	if (l->held && now >= l->valid_until)
		set_lost(l);
	if (l->phase != PHASE_IDLE || now < l->next_call_at ||
	    (!competes(l) && !l->held && !l->releasing))
		return;
	/* A renewal needs no read: the conditional write fails if the object has changed. */
	if (l->held && !l->releasing && competes(l) && l->fence > l->max_used_fence &&
	    l->object.serial == l->sent.serial && strcmp(l->object.holder, l->self) == 0)
		start_write(l, l->fence, l->self, now);
	else
		start_read(l);
}

int64_t lease_next(const struct lease *l)
{
	int64_t next = l->held ? l->valid_until : INT64_MAX;

	if (l->phase == PHASE_IDLE && (competes(l) || l->held || l->releasing))
		next = MIN(next, l->next_call_at);
	return next;
}

void lease_set_position(struct lease *l, uint32_t position, int64_t now)
{
	if (position == l->position)
		return;
	l->position = position;
	l->next_call_at = MIN(l->next_call_at, now);
	if (competes(l) || !l->held)
		return;
	/* Orders that were just sent must arrive before the next holder sends any. */
	l->releasing = true;
	l->next_call_at = now + l->params.margin;
}

void lease_release(struct lease *l, int64_t now)
{
	if (!l->held)
		return;
	l->releasing = true;
	l->next_call_at = now;
	lease_advance(l, now);
}

void lease_raise_fence(struct lease *l, uint64_t fence, int64_t now)
{
	l->max_used_fence = MAX(l->max_used_fence, fence);
	if (l->held && l->fence <= l->max_used_fence) {
		set_lost(l);
		l->next_call_at = now;
		lease_advance(l, now);
	}
}

const struct lease_stats *lease_stats(const struct lease *l)
{
	return &l->stats;
}

uint32_t lease_position(const char *name, uint64_t self, const uint64_t *ids, uint32_t n)
{
	uint64_t h = hash_str(name);
	uint64_t own = hash_pair(h, self);
	uint32_t position = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint64_t other = hash_pair(h, ids[i]);

		if (other > own || (other == own && ids[i] > self))
			position++;
	}
	return position;
}
