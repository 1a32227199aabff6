/*
 * list_watch_feed - feed of a document that is built from all objects of one kind
 *
 * The feed lists the objects once and then watches for changes.  A watch that was
 * cut off is continued from the last known revision.  The objects are listed again
 * after an outage of the store or two failed calls, when the store no longer has the
 * changes since that revision, and when it was restored from an older copy.
 */
#ifndef HORNBEAMWALL_RUNTIME_LIST_WATCH_FEED_H
#define HORNBEAMWALL_RUNTIME_LIST_WATCH_FEED_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/runtime/feed.h"
#include "hornbeamwall/runtime/object_cache.h"

/* One page of a list, or the events of one watch. */
typedef struct
{
  gint64 revision;    /* revision of the store at the response */
  gint64 era;         /* of the store at the response; 0 if it sent none */
  gboolean truncated; /* the list continues on another page */
  GArray *changes;    /* HbwObjectChange */
} HbwStorePage;

/* Translates between one kind of store objects and a hornbeamwall document.
   Adapters are static objects and never freed. */
typedef struct HbwStoreAdapter HbwStoreAdapter;
typedef struct
{
  /* Returns the path that lists the objects of KIND, starting after the object AFTER
     if it is not NULL.  The caller frees the path. */
  char *(*list_path) (const char *kind, const char *after);

  /* Returns the path that waits for changes of KIND after REVISION.  The caller
     frees the path. */
  char *(*watch_path) (const char *kind, gint64 revision, guint wait_ms);

  /* Parses the response to a list, or to a watch if IS_WATCH is set, into PAGE. */
  gboolean (*parse_page) (const char *text, gsize length, gboolean is_watch,
                          HbwStorePage *page, HbwError *error);

  /* Returns hornbeamwall's document, owned by the caller, or NULL if the cached
     objects do not form one.  VERSION holds the version derived from the store's
     revision and may be replaced by the document's own version. */
  char *(*build_document) (HbwObjectCache *cache, gint64 *version);
} HbwStoreAdapterClass;
struct HbwStoreAdapter
{
  const HbwStoreAdapterClass *class;
  const char *object_kind; /* name of the kind in the store */
  const char *era_field;   /* header field with the store's era */
  gboolean entries_lapse;  /* the store removes objects that are not renewed */
};

/* Creates a feed whose calls to wait_next never wait longer than WAIT_MS.  Objects
   may lapse in an outage of the store that lasts OUTAGE_MIN_US or longer; a wait has
   to be much shorter, to tell a watch that was cut off at its end from an outage. */
HbwFeed *hbw_list_watch_feed_create (const char *address,
                                     const HbwStoreAdapter *adapter, guint wait_ms,
                                     gint64 outage_min_us, HbwClock *clock,
                                     HbwError *error);

#endif
