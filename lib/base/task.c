#include "base/task.h"

struct task {
	void *state; /* of the handlers, not owned */
	GMainContext *context; /* owned reference */
	GMainLoop *loop; /* NULL: runs on the loop of the creating thread */
	GThread *thread; /* NULL if loop is NULL */
};

struct task_msg {
	struct task *task;
	task_fn fn;
	void *msg;
};

static gpointer task_main(gpointer arg)
{
	struct task *t = arg;

	g_main_context_push_thread_default(t->context);
	g_main_loop_run(t->loop);
	g_main_context_pop_thread_default(t->context);
	return NULL;
}

struct task *task_new(const char *name, void *state)
{
	struct task *t = g_new0(struct task, 1);

	t->state = state;
	t->context = g_main_context_new();
	t->loop = g_main_loop_new(t->context, FALSE);
	t->thread = g_thread_new(name, task_main, t);
	return t;
}

struct task *task_new_here(void *state)
{
	struct task *t = g_new0(struct task, 1);

	t->state = state;
	t->context = g_main_context_ref_thread_default();
	return t;
}

static void task_quit(void *state, void *msg)
{
	g_main_loop_quit(msg);
}

void task_free(struct task *t)
{
	if (!t)
		return;
	if (t->thread) {
		task_post(t, task_quit, t->loop);
		g_thread_join(t->thread);
		g_main_loop_unref(t->loop);
	}
	g_main_context_unref(t->context);
	g_free(t);
}

static gboolean task_dispatch(gpointer arg)
{
	struct task_msg *m = arg;

	m->fn(m->task->state, m->msg);
	return G_SOURCE_REMOVE;
}

void task_post(struct task *t, task_fn fn, void *msg)
{
	struct task_msg *m = g_new(struct task_msg, 1);
	GSource *src = g_idle_source_new();

	m->task = t;
	m->fn = fn;
	m->msg = msg;
	g_source_set_priority(src, G_PRIORITY_DEFAULT);
	g_source_set_callback(src, task_dispatch, m, g_free);
	g_source_attach(src, t->context);
	g_source_unref(src);
}

GMainContext *task_context(struct task *t)
{
	return t->context;
}
