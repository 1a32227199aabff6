#include "hornbeamwall/runtime/feed.h"

typedef struct
{
  HbwFeed feed;
  HbwPlatform *platform;
  char *name;
  gboolean read; /* the object was read once; watch it from then on */
} ObjectFeed;

static HbwFeedAnswer
wait_next (HbwFeed *base, gint64 known_version, guint wait_ms, HbwError *error)
{
  ObjectFeed *feed = (ObjectFeed *) base;
  HbwStoreAnswer response
      = feed->read ? hbw_platform_watch (feed->platform, feed->name, known_version,
                                         wait_ms, error)
                   : hbw_platform_get (feed->platform, feed->name, error);
  const HbwFeedAnswer result = { .result = response.result,
                                 .calls = 1,
                                 .version = response.version,
                                 .body = response.body,
                                 .confirmed = response.result != HBW_STORE_FAILED };
  feed->read
      |= response.result == HBW_STORE_OK || response.result == HBW_STORE_UNCHANGED;
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

static const HbwFeedClass feed_class = { wait_next, destroy };

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
