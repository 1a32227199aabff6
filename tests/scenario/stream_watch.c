#include "stream_watch.h"

typedef struct
{
  guint sent;
  guint served;
} Sample;

struct Stream
{
  char version[HBW_VERSION_MAX]; /* of the first event; "" before */
  guint64 first_request;         /* that got it */
  guint64 last_served;           /* last request that got one */
  gboolean is_unnamed;
  guint request_count;
  gboolean is_mixed;
};

struct StreamWatch
{
  GPtrArray *streams;
  Sample begun;
  Sample resumed;
  guint mixed_count;
};

StreamWatch *
stream_watch_create (void)
{
  StreamWatch *watch = g_new0 (StreamWatch, 1);
  watch->streams = g_ptr_array_new_with_free_func (g_free);
  return watch;
}

void
stream_watch_destroy (StreamWatch *watch)
{
  g_ptr_array_free (watch->streams, TRUE);
  g_free (watch);
}

Stream *
stream_watch_add (StreamWatch *watch, gboolean is_unnamed)
{
  Stream *stream = g_new0 (Stream, 1);
  stream->is_unnamed = is_unnamed;
  g_ptr_array_add (watch->streams, stream);
  return stream;
}

static void
format_id (guint64 request, char *id)
{
  g_snprintf (id, HBW_CALLER_REQUEST_ID_MAX, "%" G_GUINT64_FORMAT, request);
}

/* The caller drops what it has got. */
static void
begin_anew (Stream *stream)
{
  stream->first_request = 0;
  *stream->version = '\0';
}

void
stream_watch_fill (StreamWatch *watch, Stream *stream, HbwArrival *arrival)
{
  format_id (arrival->sequence, arrival->caller_request_id);
  if (stream->is_unnamed && stream->request_count++ % 2 == 1)
    begin_anew (stream);
  arrival->is_resumption = stream->first_request != 0;
  if (arrival->is_resumption && !stream->is_unnamed)
    format_id (stream->first_request, arrival->resumed_id);
  (arrival->is_resumption ? &watch->resumed : &watch->begun)->sent++;
}

void
stream_watch_record_event (StreamWatch *watch, Stream *stream, guint64 request,
                           const char *version)
{
  gboolean is_first = stream->first_request == 0;
  if (is_first)
    {
      stream->first_request = request;
      g_strlcpy (stream->version, version, sizeof stream->version);
    }
  if (request != stream->last_served)
    (is_first ? &watch->begun : &watch->resumed)->served++;
  stream->last_served = request;
  if (stream->is_mixed || g_strcmp0 (stream->version, version) == 0)
    return;
  stream->is_mixed = TRUE;
  watch->mixed_count++;
}

guint
stream_watch_mixed_count (const StreamWatch *watch)
{
  return watch->mixed_count;
}

static double
share_of (const Sample *sample)
{
  return sample->sent > 0 ? (double) sample->served / sample->sent : 1;
}

double
stream_watch_begun_share (const StreamWatch *watch)
{
  return share_of (&watch->begun);
}

double
stream_watch_resumed_share (const StreamWatch *watch)
{
  return share_of (&watch->resumed);
}

guint
stream_watch_resumption_count (const StreamWatch *watch)
{
  return watch->resumed.sent;
}
