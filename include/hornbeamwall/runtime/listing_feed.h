/*
 * listing_feed - a document made from all objects of one kind
 *
 * It lists the objects once and then waits for changes; it lists again where the
 * store has forgotten the changes since, or did not answer for a while.
 */
#ifndef HORNBEAMWALL_RUNTIME_LISTING_FEED_H
#define HORNBEAMWALL_RUNTIME_LISTING_FEED_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/runtime/feed.h"
#include "hornbeamwall/runtime/listing.h"

/* One answer of the store. */
typedef struct
{
  gint64 revision; /* of the store, when it answered */
  gboolean truncated;
  GArray *changes; /* HbwChange */
} HbwStorePage;

/* How a store is asked, and what its objects mean; embedded in its owner, which is
   never freed. */
typedef struct HbwStoreForm HbwStoreForm;
typedef struct
{
  /* Returns the path of the list of KIND, or of what follows the object AFTER in it.
   */
  char *(*list_path) (const char *kind, const char *after);

  /* Returns the path that waits for changes of KIND after REVISION. */
  char *(*watch_path) (const char *kind, gint64 revision, guint wait_ms);

  /* Reads the answer to a list, or to a wait where CHANGES is set. */
  gboolean (*read_page) (const char *text, gsize length, gboolean changes,
                         HbwStorePage *page, HbwError *error);

  /* Returns the product's document, or NULL where the objects hold none.  VERSION is
     the store's revision, and may be set to the document's own. */
  char *(*make_document) (HbwListing *listing, gint64 *version);
} HbwStoreFormClass;
struct HbwStoreForm
{
  const HbwStoreFormClass *class;
  const char *kind; /* of its objects, as the store names it */
};

/* WAIT_MS is the longest wait that will be asked for. */
HbwFeed *hbw_listing_feed_create (const char *address, const HbwStoreForm *form,
                                  guint wait_ms, HbwClock *clock, HbwError *error);

#endif
