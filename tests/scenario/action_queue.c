#include "action_queue.h"

/* A binary heap. */
struct ActionQueue
{
  GArray *heap; /* Action */
  guint64 next_order;
};

static Action *
action_at (const ActionQueue *queue, guint index)
{
  return &g_array_index (queue->heap, Action, index);
}

static gboolean
is_before (const ActionQueue *queue, guint a, guint b)
{
  const Action *left = action_at (queue, a);
  const Action *right = action_at (queue, b);
  return left->at_us < right->at_us
         || (left->at_us == right->at_us && left->order < right->order);
}

static void
swap (ActionQueue *queue, guint a, guint b)
{
  Action temporary = *action_at (queue, a);
  *action_at (queue, a) = *action_at (queue, b);
  *action_at (queue, b) = temporary;
}

ActionQueue *
action_queue_create (void)
{
  ActionQueue *queue = g_new0 (ActionQueue, 1);
  queue->heap = g_array_new (FALSE, FALSE, sizeof (Action));
  return queue;
}

void
action_queue_destroy (ActionQueue *queue)
{
  g_array_free (queue->heap, TRUE);
  g_free (queue);
}

void
action_queue_add (ActionQueue *queue, gint64 at_us,
                  void (*run) (World *world, void *data), void *data)
{
  const Action action = { at_us, queue->next_order++, run, data };
  g_array_append_val (queue->heap, action);
  for (guint at = queue->heap->len - 1;
       at > 0 && is_before (queue, at, (at - 1) / 2); at = (at - 1) / 2)
    swap (queue, at, (at - 1) / 2);
}

static void
move_down_first (ActionQueue *queue)
{
  guint at = 0;
  for (;;)
    {
      guint least = at;
      for (guint child = 2 * at + 1; child <= 2 * at + 2 && child < queue->heap->len;
           child++)
        if (is_before (queue, child, least))
          least = child;
      if (least == at)
        return;
      swap (queue, at, least);
      at = least;
    }
}

gboolean
action_queue_pop (ActionQueue *queue, gint64 until_us, Action *action)
{
  if (queue->heap->len == 0 || action_at (queue, 0)->at_us > until_us)
    return FALSE;
  *action = *action_at (queue, 0);
  g_array_remove_index_fast (queue->heap, 0);
  move_down_first (queue);
  return TRUE;
}
