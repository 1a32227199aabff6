/*
 * action_queue - what a simulated world does next, by virtual time
 */
#ifndef HORNBEAMWALL_TESTS_ACTION_QUEUE_H
#define HORNBEAMWALL_TESTS_ACTION_QUEUE_H

#include "world.h"

typedef struct
{
  gint64 at_us;
  guint64 order;
  void (*run) (World *world, void *data);
  void *data;
} Action;

typedef struct ActionQueue ActionQueue;

ActionQueue *action_queue_create (void);

/* Frees the queue without the data of its actions. */
void action_queue_destroy (ActionQueue *queue);

void action_queue_add (ActionQueue *queue, gint64 at_us,
                       void (*run) (World *world, void *data), void *data);

/* Removes the first action, which is due until UNTIL_US; those of the same time come
   in the order in which they were added.  Returns FALSE if there is none. */
gboolean action_queue_pop (ActionQueue *queue, gint64 until_us, Action *action);

#endif
