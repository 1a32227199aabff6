#include "hornbeamwall/runtime/feed.h"

typedef struct
{
  HbwFeed base;
  HbwStoreClient *client;
  char *name;
  gboolean was_read; /* the object was read once; watch it from then on */
} ObjectFeed;

static HbwFeedResult
wait_next (HbwFeed *base, gint64 known_version, guint wait_ms, HbwError *error)
{
  ObjectFeed *feed = (ObjectFeed *) base;
  HbwStoreResponse response
      = feed->was_read ? hbw_store_client_watch (feed->client, feed->name,
                                                 known_version, wait_ms, error)
                       : hbw_store_client_get (feed->client, feed->name, error);
  const HbwFeedResult result
      = { .status = response.result,
          .call_count = 1,
          .version = response.result == HBW_STORE_NOT_MODIFIED ? known_version
                                                               : response.version,
          .body = response.body,
          .era = response.era,
          .confirmed = response.result != HBW_STORE_FAILED };
  feed->was_read |= response.result == HBW_STORE_OK
                    || response.result == HBW_STORE_NOT_MODIFIED;
  return result;
}

static void
destroy (HbwFeed *base)
{
  ObjectFeed *feed = (ObjectFeed *) base;
  hbw_store_client_destroy (feed->client);
  g_free (feed->name);
  g_free (feed);
}

static const HbwFeedClass feed_class = { wait_next, destroy };

HbwFeed *
hbw_object_feed_create (const char *address, const char *name, HbwError *error)
{
  HbwStoreClient *client = hbw_store_client_create (address, error);
  if (client == NULL)
    return NULL;
  ObjectFeed *feed = g_new0 (ObjectFeed, 1);
  feed->base.class = &feed_class;
  feed->client = client;
  feed->name = g_strdup (name);
  return &feed->base;
}
