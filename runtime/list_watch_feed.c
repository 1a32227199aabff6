#include "hornbeamwall/runtime/list_watch_feed.h"

#include "hornbeamwall/core/documents/documents.h"

#include <string.h>

/* A watch that fails later than this was cut off while it waited; one that fails
   sooner was rejected. */
#define CUT_WATCH_MIN_US (100 * HBW_US_PER_MS)

/* Timeout of a watch after a failed call, which only asks what has changed since. */
#define CHECK_WAIT_MS 1

/* Limit on the pages read of one list, so that reading ends even if each page refers
   to another one. */
#define PAGES_MAX 1000

typedef struct
{
  HbwFeed base;
  HbwStoreClient *client;
  const HbwStoreAdapter *adapter;
  HbwClock *clock;
  HbwObjectCache *cache;
  gint64 revision; /* all changes up to it are applied; 0 requests a new list */
  gint64 document_version; /* of the cached objects; -1 if they form no document */
  gint64 era;              /* of the store when the objects were listed */
  gint64 highest_era;      /* of all lists; 0 is none */
  guint call_count;        /* calls to the store made for the current result */
  guint cut_watch_count;   /* watches among them that were cut off */
  gint64 failed_after_us;  /* duration of the last call, if it failed */
  gint64 sent_us;          /* when the last watch or list was sent */
} ListWatchFeed;

static void
page_clear (HbwStorePage *page)
{
  for (guint i = 0; i < page->changes->len; i++)
    hbw_object_change_clear (&g_array_index (page->changes, HbwObjectChange, i));
  g_array_set_size (page->changes, 0);
}

/* Makes one call to the store and counts it.  Where entries may lapse, the HTTP
   library must not repeat a watch: the time without a response would not be known.
 */
static HbwStoreResponse
call_store (ListWatchFeed *feed, const char *path, gboolean is_watch,
            HbwError *error)
{
  gint64 called_us = hbw_clock_now (feed->clock);
  HbwStoreResponse response
      = is_watch && feed->adapter->entries_lapse
            ? hbw_store_client_get_path_once (feed->client, path, error)
            : hbw_store_client_get_path (feed->client, path, error);
  feed->call_count++;
  feed->failed_after_us = 0;
  if (response.result != HBW_STORE_FAILED)
    return response;
  feed->failed_after_us = hbw_clock_now (feed->clock) - called_us;
  if (is_watch && feed->failed_after_us >= CUT_WATCH_MIN_US)
    feed->cut_watch_count++;
  hbw_object_cache_record_store_failure (feed->cache);
  return response;
}

/* Makes one call to the store and parses its response into PAGE.  Frees PATH. */
static HbwStoreResult
fetch_page (ListWatchFeed *feed, char *path, gboolean is_watch, HbwStorePage *page,
            HbwError *error)
{
  HbwStoreResponse response = call_store (feed, path, is_watch, error);
  g_free (path);
  page->era = response.era;
  if (response.result != HBW_STORE_OK)
    return response.result;
  gsize length;
  const char *text = g_bytes_get_data (response.body, &length);
  gboolean valid
      = feed->adapter->class->parse_page (text, length, is_watch, page, error);
  g_bytes_unref (response.body);
  if (valid)
    return HBW_STORE_OK;
  hbw_object_cache_record_store_failure (feed->cache);
  return HBW_STORE_FAILED;
}

static void
apply_page (ListWatchFeed *feed, HbwStorePage *page)
{
  for (guint i = 0; i < page->changes->len; i++)
    hbw_object_cache_apply (feed->cache,
                            &g_array_index (page->changes, HbwObjectChange, i));
  g_array_set_size (page->changes, 0);
}

static char *
last_object_name (const HbwStorePage *page)
{
  if (page->changes->len == 0)
    return NULL;
  return g_strdup (
      g_array_index (page->changes, HbwObjectChange, page->changes->len - 1).name);
}

/* Handles the first page of a list.  In a higher era than before, objects may be
   missing because the store lost them, as after an outage.  A copy of the store that
   is still in an older era has lost nothing more. */
static void
begin_list (ListWatchFeed *feed, const HbwStorePage *page)
{
  gint64 now_us = hbw_clock_now (feed->clock);
  hbw_object_cache_record_store_response (feed->cache, feed->sent_us, now_us);
  if (feed->highest_era > 0 && page->era > feed->highest_era)
    hbw_object_cache_record_store_loss (feed->cache, now_us);
  feed->highest_era = MAX (feed->highest_era, page->era);
  feed->era = page->era;
  hbw_object_cache_begin_list (feed->cache);
}

/* The first watch starts from the revision of the first page, so that it reports the
   changes made while the later pages were read.  A list whose pages are of different
   eras is read again. */
static HbwStoreResult
list_objects (ListWatchFeed *feed, HbwStorePage *page, HbwError *error)
{
  char *after = NULL;
  gint64 revision = 0;
  gboolean is_first = TRUE;
  HbwStoreResult status = HBW_STORE_OK;
  feed->sent_us = hbw_clock_now (feed->clock);
  for (guint pages = 0; pages < PAGES_MAX; pages++)
    {
      status = fetch_page (
          feed, feed->adapter->class->list_path (feed->adapter->object_kind, after),
          FALSE, page, error);
      if (status != HBW_STORE_OK)
        break;
      g_clear_pointer (&after, g_free);
      if (!is_first && page->era != feed->era)
        {
          page_clear (page);
          is_first = TRUE;
          continue;
        }
      if (is_first)
        {
          revision = page->revision;
          begin_list (feed, page);
        }
      is_first = FALSE;
      gboolean truncated = page->truncated;
      after = truncated ? last_object_name (page) : NULL;
      apply_page (feed, page);
      if (after != NULL)
        continue;
      if (truncated)
        {
          hbw_error_set (error, HBW_ERROR_STORE,
                         "store: a page of a list has no name to continue after; "
                         "check the store");
          status = HBW_STORE_FAILED;
        }
      break;
    }
  g_free (after);
  if (status == HBW_STORE_OK)
    {
      hbw_object_cache_end_list (feed->cache);
      feed->revision = revision;
    }
  return status;
}

/* Returns HBW_STORE_GONE if the objects have to be listed again: also after an
   outage, as removals that the store reports then may be lapses, and a list tells
   which objects are missing still. */
static HbwStoreResult
watch_objects (ListWatchFeed *feed, guint wait_ms, HbwStorePage *page,
               HbwError *error)
{
  char *path = feed->adapter->class->watch_path (feed->adapter->object_kind,
                                                 feed->revision, wait_ms);
  feed->sent_us = hbw_clock_now (feed->clock);
  HbwStoreResult status = fetch_page (feed, path, TRUE, page, error);
  if (status != HBW_STORE_OK)
    return status;
  if (page->era != feed->era
      || hbw_object_cache_record_store_response (feed->cache, feed->sent_us,
                                                 hbw_clock_now (feed->clock)))
    {
      page_clear (page);
      return HBW_STORE_GONE;
    }
  apply_page (feed, page);
  feed->revision = MAX (feed->revision, page->revision);
  return HBW_STORE_OK;
}

static void
fill_document (ListWatchFeed *feed, HbwFeedResult *result)
{
  gint64 version
      = hbw_object_cache_document_version (feed->cache, feed->era, feed->revision);
  char *text = feed->adapter->class->build_document (feed->cache, &version);
  feed->document_version = text != NULL ? version : HBW_VERSION_UNKNOWN;
  if (text == NULL)
    return;
  result->status = HBW_STORE_OK;
  result->body = g_bytes_new (text, strlen (text));
  g_free (text);
}

static void
fill_counts (const ListWatchFeed *feed, HbwFeedResult *result)
{
  result->call_count = feed->call_count;
  result->cut_watch_count = feed->cut_watch_count;
  result->failed_after_us = feed->failed_after_us;
  result->era = feed->era;
  result->outage_count = hbw_object_cache_outage_count (feed->cache);
  result->kept_count = hbw_object_cache_missing_count (feed->cache);
}

/* Shortens WAIT_MS so that missing objects expire on time even if the store reports
   no changes, and after a failed call. */
static guint
limit_wait (const ListWatchFeed *feed, guint wait_ms)
{
  if (hbw_object_cache_is_store_failing (feed->cache))
    return CHECK_WAIT_MS;
  gint64 remaining_us
      = hbw_object_cache_next_expiry (feed->cache) - hbw_clock_now (feed->clock);
  return (guint) CLAMP (remaining_us / HBW_US_PER_MS + 1, 1, wait_ms);
}

/* Watches from the known revision.  Returns HBW_STORE_GONE if the objects have to be
   listed instead, as there is none, or removals may be lapses. */
static HbwStoreResult
watch_if_possible (ListWatchFeed *feed, guint wait_ms, HbwStorePage *page,
                   HbwError *error)
{
  if (feed->revision == 0
      || hbw_object_cache_may_have_lapsed (feed->cache, hbw_clock_now (feed->clock)))
    return HBW_STORE_GONE;
  return watch_objects (feed, limit_wait (feed, wait_ms), page, error);
}

/* Reads what has changed.  After a watch was cut off, the store is asked at once for
   the changes until then.  If that fails too, the objects are listed next. */
static HbwStoreResult
read_changes (ListWatchFeed *feed, guint wait_ms, HbwStorePage *page,
              HbwError *error)
{
  gboolean is_check = hbw_object_cache_is_store_failing (feed->cache);
  HbwStoreResult status = watch_if_possible (feed, wait_ms, page, error);
  if (status == HBW_STORE_FAILED && feed->cut_watch_count > 0 && !is_check)
    {
      is_check = TRUE;
      status = watch_if_possible (feed, wait_ms, page, error);
    }
  if (status == HBW_STORE_GONE || (status == HBW_STORE_FAILED && is_check))
    feed->revision = 0;
  return status == HBW_STORE_GONE ? list_objects (feed, page, error) : status;
}

static HbwFeedResult
wait_next (HbwFeed *base, guint wait_ms, HbwError *error)
{
  ListWatchFeed *feed = (ListWatchFeed *) base;
  HbwFeedResult result = { .status = HBW_STORE_NOT_MODIFIED };
  feed->call_count = 0;
  feed->cut_watch_count = 0;
  HbwStorePage page
      = { .changes = g_array_new (FALSE, FALSE, sizeof (HbwObjectChange)) };
  HbwStoreResult status = read_changes (feed, wait_ms, &page, error);
  page_clear (&page);
  g_array_free (page.changes, TRUE);
  if (status == HBW_STORE_OK)
    hbw_object_cache_expire (feed->cache, feed->sent_us);
  fill_counts (feed, &result);
  if (status != HBW_STORE_OK)
    {
      result.status = HBW_STORE_FAILED;
      return result;
    }
  if (hbw_object_cache_test_and_clear_changed (feed->cache))
    fill_document (feed, &result);
  result.version = feed->document_version;
  result.confirmed = feed->document_version != HBW_VERSION_UNKNOWN;
  return result;
}

static void
destroy (HbwFeed *base)
{
  ListWatchFeed *feed = (ListWatchFeed *) base;
  hbw_store_client_destroy (feed->client);
  hbw_object_cache_destroy (feed->cache);
  g_free (feed);
}

static const HbwFeedClass feed_class = { wait_next, destroy };

HbwFeed *
hbw_list_watch_feed_create (const char *address, const HbwStoreAdapter *adapter,
                            guint wait_ms, gint64 outage_min_us, HbwClock *clock,
                            HbwError *error)
{
  HbwStoreClient *client = hbw_store_client_create (address, error);
  if (client == NULL)
    return NULL;
  hbw_store_client_keep_connection (client, wait_ms);
  ListWatchFeed *feed = g_new0 (ListWatchFeed, 1);
  feed->base.class = &feed_class;
  feed->client = client;
  feed->adapter = adapter;
  feed->clock = clock;
  feed->cache = hbw_object_cache_create (adapter->object_kind, outage_min_us);
  feed->document_version = HBW_VERSION_UNKNOWN;
  hbw_store_client_set_era_field (client, adapter->era_field);
  return &feed->base;
}
