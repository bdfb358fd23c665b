/**
 * DOC: task
 *
 * A task owns sockets and state. It runs either in its own thread with its own main context or on
 * the main context of the thread that creates it. Tasks communicate only by messages: task_post()
 * runs a handler with its message in the receiving task.
 */
#ifndef BASE_TASK_H
#define BASE_TASK_H

#include <glib.h>

struct task;

/** typedef task_fn - handler of @msg, called in the receiving task; takes ownership of @msg */
typedef void (*task_fn)(void *state, void *msg);

/** task_new() - task with its own thread and main context; @state is passed to each handler */
struct task *task_new(const char *name, void *state);

/** task_new_here() - task on the calling thread's thread-default main context */
struct task *task_new_here(void *state);

/**
 * task_free() - frees the task; its own thread first handles the messages already posted
 *
 * A task of task_new_here() must have no message pending: its handler would use freed memory.
 */
void task_free(struct task *t);

/** task_post() - runs @fn(state, @msg) in @t; messages are handled in the order of posting */
void task_post(struct task *t, task_fn fn, void *msg);

/** task_context() - main context of @t, owned by @t */
GMainContext *task_context(struct task *t);

#endif
