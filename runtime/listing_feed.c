#include "hornbeamwall/runtime/listing_feed.h"

#include <string.h>

/* Pages of one list; a list that does not end is an error. */
#define PAGES_MAX 1000

typedef struct
{
  HbwFeed feed;
  HbwPlatform *platform;
  const HbwStoreForm *form;
  HbwClock *clock;
  HbwListing *listing;
  gint64 revision; /* up to which changes are known; 0 is nothing */
  gboolean valid;  /* the objects make a document */
  guint calls;     /* made for the answer that is under way */
} ListingFeed;

static void
page_clear (HbwStorePage *page)
{
  for (guint i = 0; i < page->changes->len; i++)
    hbw_change_clear (&g_array_index (page->changes, HbwChange, i));
  g_array_set_size (page->changes, 0);
}

/* Makes one call and reads its answer into PAGE. */
static HbwStoreResult
read_page (ListingFeed *feed, char *path, gboolean changes, HbwStorePage *page,
           HbwError *error)
{
  HbwStoreAnswer answer = hbw_platform_get_path (feed->platform, path, error);
  feed->calls++;
  g_free (path);
  if (answer.result != HBW_STORE_OK)
    return answer.result;
  gsize length;
  const char *text = g_bytes_get_data (answer.body, &length);
  gboolean valid = feed->form->class->read_page (text, length, changes, page, error);
  g_bytes_unref (answer.body);
  return valid ? HBW_STORE_OK : HBW_STORE_FAILED;
}

static void
apply_page (ListingFeed *feed, HbwStorePage *page)
{
  for (guint i = 0; i < page->changes->len; i++)
    hbw_listing_apply (feed->listing, &g_array_index (page->changes, HbwChange, i));
  g_array_set_size (page->changes, 0);
}

static char *
last_name (const HbwStorePage *page)
{
  if (page->changes->len == 0)
    return NULL;
  return g_strdup (
      g_array_index (page->changes, HbwChange, page->changes->len - 1).name);
}

/* Changes made while the pages are read come again with the first wait, which starts
   from the revision of the first page. */
static HbwStoreResult
read_list (ListingFeed *feed, HbwStorePage *page, HbwError *error)
{
  char *after = NULL;
  gint64 revision = 0;
  HbwStoreResult result = HBW_STORE_OK;
  for (guint pages = 0; pages < PAGES_MAX; pages++)
    {
      result
          = read_page (feed, feed->form->class->list_path (feed->form->kind, after),
                       FALSE, page, error);
      if (result != HBW_STORE_OK)
        break;
      if (pages == 0)
        {
          revision = page->revision;
          hbw_listing_note_answer (feed->listing, hbw_clock_now (feed->clock));
          hbw_listing_begin (feed->listing);
        }
      g_free (after);
      after = page->truncated ? last_name (page) : NULL;
      apply_page (feed, page);
      if (after == NULL)
        break;
    }
  g_free (after);
  if (result == HBW_STORE_OK)
    {
      hbw_listing_end (feed->listing);
      feed->revision = revision;
    }
  return result;
}

static HbwStoreResult
read_changes (ListingFeed *feed, guint wait_ms, HbwStorePage *page, HbwError *error)
{
  char *path
      = feed->form->class->watch_path (feed->form->kind, feed->revision, wait_ms);
  HbwStoreResult result = read_page (feed, path, TRUE, page, error);
  if (result != HBW_STORE_OK)
    return result;
  hbw_listing_note_answer (feed->listing, hbw_clock_now (feed->clock));
  apply_page (feed, page);
  feed->revision = MAX (feed->revision, page->revision);
  return HBW_STORE_OK;
}

static void
fill_document (ListingFeed *feed, HbwFeedAnswer *answer)
{
  gint64 version = hbw_listing_version (feed->listing, feed->revision);
  char *text = feed->form->class->make_document (feed->listing, &version);
  feed->valid = text != NULL;
  if (text == NULL)
    return;
  answer->result = HBW_STORE_OK;
  answer->version = version;
  answer->body = g_bytes_new (text, strlen (text));
  g_free (text);
}

/* What is kept for a while must also go on time, whatever the store reports. */
static guint
wait_until_expiry (const ListingFeed *feed, guint wait_ms)
{
  gint64 left_us
      = hbw_listing_next_expiry (feed->listing) - hbw_clock_now (feed->clock);
  return (guint) CLAMP (left_us / HBW_US_PER_MS + 1, 1, wait_ms);
}

static HbwFeedAnswer
next (HbwFeed *base, gint64 known G_GNUC_UNUSED, guint wait_ms, HbwError *error)
{
  ListingFeed *feed = (ListingFeed *) base;
  HbwFeedAnswer answer = { .result = HBW_STORE_UNCHANGED };
  feed->calls = 0;
  HbwStorePage page = { .changes = g_array_new (FALSE, FALSE, sizeof (HbwChange)) };
  HbwStoreResult result
      = feed->revision > 0
            ? read_changes (feed, wait_until_expiry (feed, wait_ms), &page, error)
            : HBW_STORE_GONE;
  if (result == HBW_STORE_GONE)
    result = read_list (feed, &page, error);
  page_clear (&page);
  g_array_free (page.changes, TRUE);
  answer.calls = feed->calls;
  gint64 now_us = hbw_clock_now (feed->clock);
  if (result != HBW_STORE_OK)
    {
      hbw_listing_note_outage (feed->listing);
      feed->revision = 0; /* what was missed is found by a new list */
      answer.result = HBW_STORE_FAILED;
      return answer;
    }
  hbw_listing_expire (feed->listing, now_us);
  if (hbw_listing_take_changed (feed->listing))
    fill_document (feed, &answer);
  answer.confirmed = feed->valid;
  return answer;
}

static void
destroy (HbwFeed *base)
{
  ListingFeed *feed = (ListingFeed *) base;
  hbw_platform_destroy (feed->platform);
  hbw_listing_destroy (feed->listing);
  g_free (feed);
}

static const HbwFeedClass feed_class = { next, destroy };

HbwFeed *
hbw_listing_feed_create (const char *address, const HbwStoreForm *form,
                         guint wait_ms, HbwClock *clock, HbwError *error)
{
  HbwPlatform *platform = hbw_platform_create (address, error);
  if (platform == NULL)
    return NULL;
  hbw_platform_keep_connection (platform, wait_ms);
  ListingFeed *feed = g_new0 (ListingFeed, 1);
  feed->feed.class = &feed_class;
  feed->platform = platform;
  feed->form = form;
  feed->clock = clock;
  feed->listing = hbw_listing_create ();
  return &feed->feed;
}
