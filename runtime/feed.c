#include "hornbeamwall/runtime/feed.h"

#include "hornbeamwall/core/documents/documents.h"

typedef struct
{
  HbwFeed base;
  HbwStoreClient *client;
  char *name;
  gint64 era;          /* of the store, as in its last response */
  gint64 version;      /* highest one in that era; -1 if there is no object */
  gint64 copy_version; /* first one that was read in that era; 0 is none */
} ObjectFeed;

/* Watches the object, or reads it if it was not read in the store's era yet. */
static HbwStoreResponse
call_store (ObjectFeed *feed, guint wait_ms, guint *call_count, HbwError *error)
{
  if (feed->version != HBW_VERSION_UNKNOWN)
    {
      (*call_count)++;
      HbwStoreResponse response = hbw_store_client_watch (
          feed->client, feed->name, feed->version, wait_ms, error);
      if (response.result == HBW_STORE_FAILED || response.era == feed->era)
        return response;
      g_clear_pointer (&response.body, g_bytes_unref);
    }
  (*call_count)++;
  return hbw_store_client_get (feed->client, feed->name, error);
}

static void
record_response (ObjectFeed *feed, const HbwStoreResponse *response)
{
  gboolean found = response->result == HBW_STORE_OK;
  if (response->result == HBW_STORE_FAILED
      || response->result == HBW_STORE_NOT_MODIFIED)
    return;
  if (response->era != feed->era)
    {
      feed->copy_version = found ? response->version : 0;
      feed->version = HBW_VERSION_UNKNOWN;
    }
  feed->era = response->era;
  if (found)
    feed->version = MAX (feed->version, response->version);
}

/* What a restored store has when it is read first may be a copy that is older than
   what was lost, so it counts as a version of the era before. */
static gint64
document_version (const ObjectFeed *feed, gint64 version)
{
  return feed->era > 0 && version == feed->copy_version
             ? version - hbw_store_version (1, 0)
             : version;
}

static HbwFeedResult
wait_next (HbwFeed *base, guint wait_ms, HbwError *error)
{
  ObjectFeed *feed = (ObjectFeed *) base;
  HbwFeedResult result = { .status = HBW_STORE_FAILED };
  HbwStoreResponse response = call_store (feed, wait_ms, &result.call_count, error);
  record_response (feed, &response);
  gint64 version
      = response.result == HBW_STORE_OK ? response.version : feed->version;
  result.status = response.result;
  result.version = document_version (feed, version);
  result.body = response.body;
  result.era = response.era;
  result.confirmed = response.result != HBW_STORE_FAILED;
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
  feed->version = HBW_VERSION_UNKNOWN;
  feed->name = g_strdup (name);
  return &feed->base;
}
