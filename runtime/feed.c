#include "hornbeamwall/runtime/feed.h"

typedef struct
{
  HbwFeed feed;
  HbwPlatform *platform;
  char *name;
  gboolean read; /* it was looked for once */
} ObjectFeed;

static HbwFeedAnswer
next (HbwFeed *base, gint64 known, guint wait_ms, HbwError *error)
{
  ObjectFeed *feed = (ObjectFeed *) base;
  HbwStoreAnswer answer
      = feed->read
            ? hbw_platform_watch (feed->platform, feed->name, known, wait_ms, error)
            : hbw_platform_get (feed->platform, feed->name, error);
  const HbwFeedAnswer result = { .result = answer.result,
                                 .calls = 1,
                                 .version = answer.version,
                                 .body = answer.body,
                                 .confirmed = answer.result != HBW_STORE_FAILED };
  feed->read
      |= answer.result == HBW_STORE_OK || answer.result == HBW_STORE_UNCHANGED;
  return result;
}

static void
destroy (HbwFeed *base)
{
  ObjectFeed *feed = (ObjectFeed *) base;
  hbw_platform_destroy (feed->platform);
  g_free (feed->name);
  g_free (feed);
}

static const HbwFeedClass feed_class = { next, destroy };

HbwFeed *
hbw_object_feed_create (const char *address, const char *name, HbwError *error)
{
  HbwPlatform *platform = hbw_platform_create (address, error);
  if (platform == NULL)
    return NULL;
  ObjectFeed *feed = g_new0 (ObjectFeed, 1);
  feed->feed.class = &feed_class;
  feed->platform = platform;
  feed->name = g_strdup (name);
  return &feed->feed;
}
