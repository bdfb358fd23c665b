#include <string.h>

#include "cli/cli_platform.h"

#define WRITE_ATTEMPTS	  8
#define WRITE_RETRY_DELAY (300 * USEC_PER_MSEC)
#define VERSION_COMMENT	  "# version "

char *cli_set_fields(const char *text, char **fields, struct conf_error *err)
{
	g_autoptr(GKeyFile) file = g_key_file_new();
	g_autofree char *doc = g_strconcat("[o]\n", text ? text : "", NULL);
	g_autoptr(GError) error = NULL;
	g_autofree char *out = NULL;

	if (!g_key_file_load_from_data(file, doc, (gsize)-1, G_KEY_FILE_KEEP_COMMENTS, &error)) {
		g_strlcpy(err->where, "text", sizeof(err->where));
		g_strlcpy(err->message, error->message, sizeof(err->message));
		return NULL;
	}
	for (guint i = 0; fields[i]; i++) {
		char *eq = strchr(fields[i], '=');
		g_autofree char *name = eq ? g_strndup(fields[i], eq - fields[i]) : NULL;

		if (!eq || eq == fields[i] || strpbrk(name, "[]\n") || strchr(eq, '\n')) {
			g_strlcpy(err->where, fields[i], sizeof(err->where));
			g_strlcpy(err->message, "expected NAME=VALUE", sizeof(err->message));
			return NULL;
		}
		if (eq[1])
			g_key_file_set_value(file, "o", name, eq + 1);
		else
			g_key_file_remove_key(file, "o", name, NULL);
	}
	out = g_key_file_to_data(file, NULL, NULL);
	return g_strdup(out + strlen("[o]\n"));
}

uint64_t cli_strip_version(char *text)
{
	char *end;
	uint64_t version;

	if (!g_str_has_prefix(text, VERSION_COMMENT))
		return 0;
	version = g_ascii_strtoull(text + strlen(VERSION_COMMENT), &end, 10);
	if (*end != '\n')
		return 0;
	memmove(text, end + 1, strlen(end + 1) + 1);
	return version;
}

static const struct conf_object *existing_object(const struct conf_store *s, const char *key)
{
	const struct conf_object *o = conf_get(s, key);

	return o && !o->deleted ? o : NULL;
}

static int print_refusal(int rc, const struct conf_error *err)
{
	return cli_error(CLI_REFUSED, "%s: %s%s", err->where, err->message,
			 rc == -EPERM ? " (harmful, --force allows it)" : "");
}

static void print_versions(struct cli *c, const struct cli_edit *e,
			   const struct conf_object *current)
{
	g_string_append_printf(c->out, "# %s: your edit, not written\n%s\n", e->key,
			       e->text ? e->text : "# (deleted)\n");
	if (current)
		g_string_append_printf(c->out,
				       "# %s: in force, version %" G_GUINT64_FORMAT "\n%s\n",
				       e->key, current->version, current->text);
	else
		g_string_append_printf(c->out, "# %s: in force, deleted\n", e->key);
}

/* Whether the object already has the edit's text, or is absent if the edit deletes it. */
static bool already_applied(const struct cli_edit *e, const struct conf_object *o)
{
	return e->text ? o && strcmp(o->text, e->text) == 0 : !o;
}

/*
 * Merges the edit into the current object and makes that object its base. Returns 0, or an exit
 * code after it printed both versions of a conflict.
 */
static int rebase(struct cli *c, struct cli_edit *e, const struct conf_object *current)
{
	struct conf_error err = { "--base", "the text that the edit started from is needed" };
	char *merged = NULL;

	/* Without the base text, this edit can't be distinguished from concurrent changes. */
	if (e->base_text || e->base_version == 0)
		merged = conf_merge3(e->base_text, e->text, current ? current->text : NULL, &err);
	if (!merged) {
		print_versions(c, e, current);
		return cli_error(CLI_CONFLICT, "conflict in %s: %s: %s; nothing was written",
				 e->key, err.where, err.message);
	}
	cli_error(0, "note: %s was changed concurrently, both edits are merged", e->key);
	g_free(e->text);
	g_free(e->base_text);
	e->text = merged;
	e->base_text = g_strdup(current->text);
	e->base_version = current->version;
	return 0;
}

static int print_written(struct cli *c, const struct cli_edit *e, uint64_t version)
{
	if (e->text)
		g_string_append_printf(c->out, "%s version %" G_GUINT64_FORMAT "\n", e->key,
				       version);
	else
		g_string_append_printf(c->out, "%s deleted\n", e->key);
	return CLI_OK;
}

/*
 * Finds out whether a write that reported no success took effect. Returns an exit code, or -1 to
 * write again. Writing again after a lost response is safe: the version condition can't be met
 * twice, so the edit takes effect at most once.
 */
static int resolve_write(struct cli *c, struct cli_platform *p, struct cli_edit *e)
{
	const struct conf_object *current;
	int rc;

	if (p->last_result == PLAT_RATE_LIMITED || p->last_result == PLAT_UNREACHABLE)
		return -1;
	rc = cli_platform_load(p);
	if (rc)
		return rc;
	current = existing_object(p->store, e->key);
	if (already_applied(e, current))
		return print_written(c, e, current ? current->version : 0);
	if ((current ? current->version : 0) == e->base_version)
		return -1;
	rc = rebase(c, e, current);
	return rc ? rc : -1;
}

static int write_edit(struct cli *c, struct cli_platform *p, struct cli_edit *e)
{
	bool maybe_written = false;

	for (int i = 0; i < WRITE_ATTEMPTS; i++) {
		struct conf_error err = { 0 };
		const struct conf_object *current = existing_object(p->store, e->key);
		int rc;

		/* Before the first write or after a merge, the object may already have this text. */
		if (already_applied(e, current) && e->text)
			return print_written(c, e, current->version);
		rc = conf_check_edit(p->store, e->key, e->text, c->force, &err);
		if (rc < 0)
			return print_refusal(rc, &err);
		if (i > 0)
			g_usleep(WRITE_RETRY_DELAY);
		cli_platform_write(p, e->key, e->base_version, e->text);
		if (p->last_result == PLAT_OK)
			return print_written(c, e, p->written_version);
		maybe_written = maybe_written || p->last_result == PLAT_UNKNOWN ||
				p->last_result == PLAT_MALFORMED;
		rc = resolve_write(c, p, e);
		if (rc >= 0)
			return rc == CLI_UNREACHABLE && maybe_written ? CLI_OUTCOME_UNKNOWN : rc;
	}
	if (maybe_written)
		return cli_error(CLI_OUTCOME_UNKNOWN, "%s may have been written: %s", e->key,
				 cli_platform_strerror(p->last_result));
	return cli_error(CLI_UNREACHABLE, "%s was not written: %s", e->key,
			 cli_platform_strerror(p->last_result));
}

/* Starts an edit of @key from the current object in the platform. */
static void edit_init(struct cli_edit *e, struct cli_platform *p, const char *key)
{
	const struct conf_object *o = existing_object(p->store, key);

	memset(e, 0, sizeof(*e));
	e->key = key;
	e->base_text = o ? g_strdup(o->text) : NULL;
	e->base_version = o ? o->version : 0;
}

static void edit_clear(struct cli_edit *e)
{
	g_free(e->text);
	g_free(e->base_text);
}

/* Reads the new text, base text and base version from the files of --file and --base. */
static int read_edit(struct cli *c, struct cli_edit *e)
{
	uint64_t version;
	char *base;

	e->text = cli_read_file(c->edit_file);
	if (!e->text)
		return CLI_USAGE;
	version = cli_strip_version(e->text);
	if (c->base_file) {
		base = cli_read_file(c->base_file);
		if (!base)
			return CLI_USAGE;
		cli_strip_version(base);
		g_free(e->base_text);
		e->base_text = base;
	} else if (version && version != e->base_version) {
		g_clear_pointer(&e->base_text, g_free);
	}
	if (version)
		e->base_version = version;
	return 0;
}

int cli_config_set(struct cli *c, const char *key, char **fields, bool must_be_new)
{
	struct cli_platform p;
	struct cli_edit e = { 0 };
	struct conf_error err = { 0 };
	int rc = cli_platform_open(&p, c);

	if (rc)
		goto out;
	edit_init(&e, &p, key);
	if (must_be_new && e.base_text)
		rc = cli_error(CLI_REFUSED, "%s: the object already exists", key);
	else if (c->edit_file)
		rc = read_edit(c, &e);
	else if (!fields || !fields[0])
		rc = cli_error(CLI_USAGE, "%s: expected --file FILE or NAME=VALUE", key);
	else
		e.text = cli_set_fields(e.base_text, fields, &err);
	if (rc == 0 && !e.text)
		rc = print_refusal(-EINVAL, &err);
	if (rc == 0)
		rc = write_edit(c, &p, &e);
out:
	edit_clear(&e);
	cli_platform_close(&p);
	return rc;
}

int cli_config_delete(struct cli *c, const char *key)
{
	struct cli_platform p;
	struct cli_edit e = { 0 };
	int rc = cli_platform_open(&p, c);

	if (rc == 0) {
		edit_init(&e, &p, key);
		rc = write_edit(c, &p, &e);
	}
	edit_clear(&e);
	cli_platform_close(&p);
	return rc;
}

struct list_arg {
	struct cli *cli;
	const char *prefix;
};

static void list_object(void *arg, const struct conf_object *o)
{
	struct list_arg *a = arg;

	if (g_str_has_prefix(o->key, a->prefix))
		g_string_append_printf(a->cli->out, "%s %" G_GUINT64_FORMAT "%s\n", o->key,
				       o->version, o->value ? "" : " invalid");
}

int cli_config_list(struct cli *c, const char *prefix)
{
	struct list_arg a = { c, prefix };
	struct cli_platform p;
	int rc = cli_platform_open(&p, c);

	if (rc == 0)
		conf_each(p.store, list_object, &a);
	cli_platform_close(&p);
	return rc;
}

int cli_config_get(struct cli *c, const char *key)
{
	struct cli_platform p;
	const struct conf_object *o;
	int rc = cli_platform_open(&p, c);

	if (rc == 0) {
		o = existing_object(p.store, key);
		if (o)
			g_string_append_printf(c->out, VERSION_COMMENT "%" G_GUINT64_FORMAT "\n%s",
					       o->version, o->text);
		else
			rc = cli_error(CLI_REFUSED, "%s: the object does not exist", key);
	}
	cli_platform_close(&p);
	return rc;
}

int cli_config_check(struct cli *c, const char *key)
{
	struct cli_platform p;
	struct conf_error err = { 0 };
	g_autofree char *text = NULL;
	int rc = cli_platform_open(&p, c);

	if (rc == 0 && key && c->edit_file) {
		text = cli_read_file(c->edit_file);
		if (text) {
			cli_strip_version(text);
			rc = conf_check_edit(p.store, key, text, c->force, &err);
		} else {
			rc = CLI_USAGE;
		}
	} else if (rc == 0) {
		rc = conf_check_all(p.store, &err);
	}
	if (rc < 0)
		rc = print_refusal(rc, &err);
	if (rc == 0)
		g_string_append(c->out, "valid\n");
	cli_platform_close(&p);
	return rc;
}

struct import {
	struct cli *cli;
	struct cli_platform *platform;
	enum conf_kind kind; /* kind of the objects to write in this pass */
	int rc; /* exit code of the first object that failed, 0: none so far */
};

static void import_object(void *arg, const struct conf_object *o)
{
	struct import *im = arg;
	struct cli_edit e;

	if (im->rc || o->kind != im->kind)
		return;
	edit_init(&e, im->platform, o->key);
	e.text = g_strdup(o->text);
	im->rc = write_edit(im->cli, im->platform, &e);
	/* Later objects may refer to this one, so the checks of their edits need it. */
	if (im->rc == 0)
		im->rc = cli_platform_load(im->platform);
	edit_clear(&e);
}

int cli_config_import(struct cli *c, const char *path)
{
	/* Objects are written before the objects that refer to them. */
	static const enum conf_kind order[] = { CONF_RANKS,   CONF_PROFILE,  CONF_SERVICE,
						CONF_ACCOUNT, CONF_UPSTREAM, CONF_MODEL };
	G_STATIC_ASSERT(G_N_ELEMENTS(order) == CONF_KIND_COUNT);
	struct conf_store *file = conf_store_new();
	struct cli_platform p = { 0 };
	struct conf_error err = { 0 };
	struct import im = { .cli = c, .platform = &p };

	if (conf_load_file(file, path, 1, &err) < 0 || conf_check_all(file, &err) < 0)
		im.rc = cli_error(CLI_REFUSED, "%s: %s: %s", path, err.where, err.message);
	else
		im.rc = cli_platform_open(&p, c);
	for (guint i = 0; im.rc == 0 && i < G_N_ELEMENTS(order); i++) {
		im.kind = order[i];
		conf_each(file, import_object, &im);
	}
	cli_platform_close(&p);
	conf_store_free(file);
	return im.rc;
}
