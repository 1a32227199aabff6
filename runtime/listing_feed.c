#include "hornbeamwall/runtime/listing_feed.h"

#include <string.h>

/* Bounds a list whose pages never end. */
#define PAGES_MAX 1000

typedef struct
{
  HbwFeed feed;
  HbwStoreClient *platform;
  const HbwStoreForm *form;
  HbwClock *clock;
  HbwListing *listing;
  gint64 revision; /* all changes up to it are applied; 0 requests a new list */
  gboolean valid;  /* the cached objects form a document */
  guint calls;     /* calls to the store made for the current result */
} ListWatchFeed;

static void
page_clear (HbwStorePage *page)
{
  for (guint i = 0; i < page->changes->len; i++)
    hbw_change_clear (&g_array_index (page->changes, HbwChange, i));
  g_array_set_size (page->changes, 0);
}

/* Makes one call to the store and parses its response into PAGE.  Frees PATH. */
static HbwStoreResult
fetch_page (ListWatchFeed *feed, char *path, gboolean is_watch, HbwStorePage *page,
            HbwError *error)
{
  HbwStoreResponse response
      = hbw_store_client_get_path (feed->platform, path, error);
  feed->calls++;
  g_free (path);
  if (response.result != HBW_STORE_OK)
    return response.result;
  gsize length;
  const char *text = g_bytes_get_data (response.body, &length);
  gboolean valid
      = feed->form->class->read_page (text, length, is_watch, page, error);
  g_bytes_unref (response.body);
  return valid ? HBW_STORE_OK : HBW_STORE_FAILED;
}

static void
apply_page (ListWatchFeed *feed, HbwStorePage *page)
{
  for (guint i = 0; i < page->changes->len; i++)
    hbw_listing_apply (feed->listing, &g_array_index (page->changes, HbwChange, i));
  g_array_set_size (page->changes, 0);
}

static char *
last_object_name (const HbwStorePage *page)
{
  if (page->changes->len == 0)
    return NULL;
  return g_strdup (
      g_array_index (page->changes, HbwChange, page->changes->len - 1).name);
}

/* The first watch starts from the revision of the first page, so that it reports the
   changes made while the later pages were read. */
static HbwStoreResult
list_objects (ListWatchFeed *feed, HbwStorePage *page, HbwError *error)
{
  char *after = NULL;
  gint64 revision = 0;
  HbwStoreResult status = HBW_STORE_OK;
  for (guint pages = 0; pages < PAGES_MAX; pages++)
    {
      status
          = fetch_page (feed, feed->form->class->list_path (feed->form->kind, after),
                        FALSE, page, error);
      if (status != HBW_STORE_OK)
        break;
      if (pages == 0)
        {
          revision = page->revision;
          hbw_listing_note_answer (feed->listing, hbw_clock_now (feed->clock));
          hbw_listing_begin (feed->listing);
        }
      g_free (after);
      after = page->truncated ? last_object_name (page) : NULL;
      apply_page (feed, page);
      if (after == NULL)
        break;
    }
  g_free (after);
  if (status == HBW_STORE_OK)
    {
      hbw_listing_end (feed->listing);
      feed->revision = revision;
    }
  return status;
}

static HbwStoreResult
watch_objects (ListWatchFeed *feed, guint wait_ms, HbwStorePage *page,
               HbwError *error)
{
  char *path
      = feed->form->class->watch_path (feed->form->kind, feed->revision, wait_ms);
  HbwStoreResult status = fetch_page (feed, path, TRUE, page, error);
  if (status != HBW_STORE_OK)
    return status;
  hbw_listing_note_answer (feed->listing, hbw_clock_now (feed->clock));
  apply_page (feed, page);
  feed->revision = MAX (feed->revision, page->revision);
  return HBW_STORE_OK;
}

static void
fill_document (ListWatchFeed *feed, HbwFeedAnswer *result)
{
  gint64 version = hbw_listing_version (feed->listing, feed->revision);
  char *text = feed->form->class->make_document (feed->listing, &version);
  feed->valid = text != NULL;
  if (text == NULL)
    return;
  result->result = HBW_STORE_OK;
  result->version = version;
  result->body = g_bytes_new (text, strlen (text));
  g_free (text);
}

/* Shortens WAIT_MS so that missing objects expire on time even if the store reports
   no changes. */
static guint
limit_wait (const ListWatchFeed *feed, guint wait_ms)
{
  gint64 remaining_us
      = hbw_listing_next_expiry (feed->listing) - hbw_clock_now (feed->clock);
  return (guint) CLAMP (remaining_us / HBW_US_PER_MS + 1, 1, wait_ms);
}

static HbwFeedAnswer
wait_next (HbwFeed *base, gint64 known_version G_GNUC_UNUSED, guint wait_ms,
           HbwError *error)
{
  ListWatchFeed *feed = (ListWatchFeed *) base;
  HbwFeedAnswer result = { .result = HBW_STORE_NOT_MODIFIED };
  feed->calls = 0;
  HbwStorePage page = { .changes = g_array_new (FALSE, FALSE, sizeof (HbwChange)) };
  HbwStoreResult status
      = feed->revision > 0
            ? watch_objects (feed, limit_wait (feed, wait_ms), &page, error)
            : HBW_STORE_GONE;
  if (status == HBW_STORE_GONE)
    status = list_objects (feed, &page, error);
  page_clear (&page);
  g_array_free (page.changes, TRUE);
  result.calls = feed->calls;
  gint64 now_us = hbw_clock_now (feed->clock);
  if (status != HBW_STORE_OK)
    {
      hbw_listing_note_outage (feed->listing);
      feed->revision = 0; /* the next call lists again to find missed changes */
      result.result = HBW_STORE_FAILED;
      return result;
    }
  hbw_listing_expire (feed->listing, now_us);
  if (hbw_listing_take_changed (feed->listing))
    fill_document (feed, &result);
  result.confirmed = feed->valid;
  return result;
}

static void
destroy (HbwFeed *base)
{
  ListWatchFeed *feed = (ListWatchFeed *) base;
  hbw_store_client_destroy (feed->platform);
  hbw_listing_destroy (feed->listing);
  g_free (feed);
}

static const HbwFeedClass feed_class = { wait_next, destroy };

HbwFeed *
hbw_listing_feed_create (const char *address, const HbwStoreForm *adapter,
                         guint wait_ms, HbwClock *clock, HbwError *error)
{
  HbwStoreClient *platform = hbw_store_client_create (address, error);
  if (platform == NULL)
    return NULL;
  hbw_store_client_keep_connection (platform, wait_ms);
  ListWatchFeed *feed = g_new0 (ListWatchFeed, 1);
  feed->feed.class = &feed_class;
  feed->platform = platform;
  feed->form = adapter;
  feed->clock = clock;
  feed->listing = hbw_listing_create ();
  return &feed->feed;
}
