/**
 * DOC: task
 *
 * A task owns sockets and state and runs on a main context of its own, in a thread of its own or
 * in the caller's. Tasks talk only by messages: task_post() runs a function with its message in
 * the receiving task.
 */
#ifndef BASE_TASK_H
#define BASE_TASK_H

#include <glib.h>

struct task;

/** typedef task_fn - handles @msg in the receiving task; owns @msg */
typedef void (*task_fn)(void *state, void *msg);

/** task_new() - task with its own thread and main context; @state is passed to each handler */
struct task *task_new(const char *name, void *state);

/** task_new_here() - task on the calling thread's default main context */
struct task *task_new_here(void *state);

/** task_free() - stops the thread after the messages already posted; then frees the task */
void task_free(struct task *t);

/** task_post() - runs @fn(state, @msg) in @t, in the order of posting */
void task_post(struct task *t, task_fn fn, void *msg);

/** task_context() - the main context of @t, borrowed */
GMainContext *task_context(struct task *t);

#endif
