#include <string.h>

#include "conf/conf_parse.h"

/* State of one conf_check_edit() call. */
struct check {
	const struct conf_store *store;
	const char *key;
	enum conf_kind kind;
	const void *value; /* parsed new value, NULL: deletion */
	struct conf_error *err;
	int rc; /* result so far */
};

static void reject(struct check *c, int rc, const char *field, const char *fmt, ...)
	G_GNUC_PRINTF(4, 5);

/* Sets the result: -EINVAL replaces -EPERM, and of equal results the first reason is kept. */
static void reject(struct check *c, int rc, const char *field, const char *fmt, ...)
{
	g_autofree char *where = field ? g_strdup_printf("%s.%s", c->key, field) : g_strdup(c->key);
	g_autofree char *text = NULL;
	va_list ap;

	if (c->rc == rc || c->rc == -EINVAL)
		return;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	conf_error_set(c->err, where, text);
	c->rc = rc;
}

int conf_check_duplicates(const char *text, const char *where, struct conf_error *err)
{
	g_autoptr(GHashTable) seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	g_autofree char *group = g_strdup("");

	for (guint i = 0; lines[i]; i++) {
		char *line = g_strstrip(lines[i]);
		char *eq = strchr(line, '=');
		char *name;

		if (*line == '#' || (*line != '[' && !eq))
			continue;
		if (*line == '[') {
			g_free(group);
			group = g_strdup(line);
			name = g_strdup(line);
		} else {
			*eq = '\0';
			name = g_strdup_printf("%s %s", group, g_strchomp(line));
		}
		if (!g_hash_table_add(seen, name)) {
			g_autofree char *location =
				g_strdup_printf("%s: %s", where, g_strstrip(name));

			conf_error_set(err, location, "given twice");
			return -EINVAL;
		}
	}
	return 0;
}

static void check_service(struct check *c)
{
	const struct conf_service *v = c->value;
	const struct conf_service *other =
		v->plain ? NULL : conf_service_by_model(c->store, v->model);

	for (guint i = 0; v->profiles[i]; i++) {
		if (!conf_profile(c->store, v->profiles[i]))
			reject(c, -EINVAL, "profiles", "profile %s does not exist", v->profiles[i]);
	}
	if (other && !other->plain && strcmp(other->name, v->name) != 0)
		reject(c, -EINVAL, "model", "service %s has the same model", other->name);
}

/* State of the comparison of an edit with the other objects of its kind. */
struct scan {
	struct check *check;
	const struct conf_upstream *old; /* value in force of the edited upstream, NULL: none */
	uint32_t n_in_use; /* other upstreams of its old service that are not drained */
	uint32_t n_accounts; /* other client accounts */
};

static void scan_upstream(void *arg, const struct conf_object *o)
{
	struct scan *s = arg;
	const struct conf_upstream *u = o->value;
	const struct conf_upstream *v = s->check->value;

	if (o->kind != CONF_UPSTREAM || !u || strcmp(o->key, s->check->key) == 0)
		return;
	if (s->old && strcmp(u->service, s->old->service) == 0 && !u->drain)
		s->n_in_use++;
	if (v && u->port == v->port && strcmp(u->host, v->host) == 0)
		reject(s->check, -EPERM, "port", "upstream %s has the same address", u->id);
}

static void check_upstream(struct check *c)
{
	const struct conf_upstream *v = c->value;
	struct scan s = { .check = c, .old = conf_upstream(c->store, strchr(c->key, '/') + 1) };
	bool stays_in_use = v && !v->drain && s.old && strcmp(v->service, s.old->service) == 0;

	if (v && !conf_service(c->store, v->service))
		reject(c, -EINVAL, "service", "service %s does not exist", v->service);
	conf_each(c->store, scan_upstream, &s);
	if (s.old && !s.old->drain && !stays_in_use && s.n_in_use == 0)
		reject(c, -EPERM, NULL, "it is the last upstream in use of service %s",
		       s.old->service);
}

static void scan_account(void *arg, const struct conf_object *o)
{
	struct scan *s = arg;
	const struct conf_account *a = o->value;
	const struct conf_account *v = s->check->value;

	if (o->kind != CONF_ACCOUNT || !a || strcmp(o->key, s->check->key) == 0)
		return;
	s->n_accounts++;
	if (v && strcmp(a->key, v->key) == 0)
		reject(s->check, -EINVAL, "key", "account %s has the same API key", a->name);
}

static void check_account(struct check *c)
{
	struct scan s = { .check = c };

	conf_each(c->store, scan_account, &s);
	if (!c->value && s.n_accounts == 0)
		reject(c, -EPERM, NULL, "it is the last client account");
}

static void check_ranks(struct check *c)
{
	const struct conf_ranks *r = c->value;

	if (!r)
		reject(c, -EPERM, NULL,
		       "without this object the shares of the ranks are the defaults");
	for (int i = 0; r && i < RANK_COUNT; i++) {
		if (r->share[i] <= 0)
			reject(c, -EPERM, err_rank_name(i), "a share of 0 guarantees no capacity");
	}
}

/* Rejects the deletion of an object that @o refers to. */
static void scan_reference(void *arg, const struct conf_object *o)
{
	struct check *c = arg;
	const char *name = strchr(c->key, '/') + 1;

	if (!o->value)
		return;
	if (c->kind == CONF_PROFILE && o->kind == CONF_SERVICE) {
		const struct conf_service *v = o->value;

		if (g_strv_contains((const char *const *)v->profiles, name))
			reject(c, -EINVAL, NULL, "service %s refers to it", v->name);
	}
	if (c->kind == CONF_SERVICE && o->kind == CONF_UPSTREAM) {
		const struct conf_upstream *u = o->value;

		if (strcmp(u->service, name) == 0)
			reject(c, -EINVAL, NULL, "upstream %s refers to it", u->id);
	}
}

static void check_by_kind(struct check *c)
{
	switch (c->kind) {
	case CONF_RANKS:
		check_ranks(c);
		break;
	case CONF_SERVICE:
		if (c->value)
			check_service(c);
		break;
	case CONF_ACCOUNT:
		check_account(c);
		break;
	case CONF_UPSTREAM:
		check_upstream(c);
		break;
	default:
		break;
	}
}

int conf_check_edit(const struct conf_store *s, const char *key, const char *text, bool force,
		    struct conf_error *err)
{
	struct check c = { .store = s, .key = key, .err = err };
	const struct conf_object *o;
	void *value = NULL;
	int rc = conf_key_kind(key, &c.kind, err);

	if (rc == 0 && text)
		rc = conf_check_duplicates(text, key, err);
	if (rc == 0 && text)
		rc = conf_value_parse(c.kind, key, text, &value, err);
	if (rc < 0)
		return rc;
	o = conf_get(s, key);
	c.value = value;
	if (!text && (!o || o->deleted))
		reject(&c, -EINVAL, NULL, "it does not exist");
	else
		check_by_kind(&c);
	if (!text && (c.kind == CONF_PROFILE || c.kind == CONF_SERVICE))
		conf_each(s, scan_reference, &c);
	conf_value_free(c.kind, value);
	return c.rc == -EPERM && force ? 0 : c.rc;
}

struct check_all {
	const struct conf_store *store;
	struct conf_error *err;
	int rc;
};

static void check_object(void *arg, const struct conf_object *o)
{
	struct check_all *a = arg;

	if (a->rc == 0 && !o->deleted)
		a->rc = conf_check_edit(a->store, o->key, o->text, true, a->err);
}

int conf_check_all(const struct conf_store *s, struct conf_error *err)
{
	struct check_all a = { .store = s, .err = err };

	conf_each(s, check_object, &a);
	return a.rc;
}
