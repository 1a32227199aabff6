#include "hornbeamwall/core/stream_versions.h"

#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/metrics.h"

#include <string.h>
#include <urcu/list.h>
#include <xxhash.h>

typedef struct
{
  struct cds_list_head link; /* in the order in which they were last heard of */
  guint64 key;
  guint64 version_hash; /* 0: different versions were recorded */
  gint64 heard_us;
} Record;

struct HbwStreamVersions
{
  GHashTable *records; /* key -> Record */
  struct cds_list_head order;
};

HbwStreamVersions *
hbw_stream_versions_create (void)
{
  HbwStreamVersions *versions = g_new0 (HbwStreamVersions, 1);
  versions->records
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&versions->order);
  return versions;
}

void
hbw_stream_versions_destroy (HbwStreamVersions *versions)
{
  g_hash_table_destroy (versions->records);
  g_free (versions);
}

guint64
hbw_stream_key (const char *organisation, const char *request_id)
{
  if (*request_id == '\0')
    return 0;
  guint64 seed = XXH3_64bits (organisation, strlen (organisation));
  return MAX (1, XXH3_64bits_withSeed (request_id, strlen (request_id), seed));
}

guint64
hbw_stream_fingerprint_key (const HbwFingerprint *fingerprint)
{
  return MAX (1, fingerprint->high ^ fingerprint->low);
}

static void
remove_record (HbwStreamVersions *versions, Record *record)
{
  cds_list_del (&record->link);
  g_hash_table_remove (versions->records, &record->key);
}

static void
remove_old (HbwStreamVersions *versions, gint64 now_us)
{
  while (!cds_list_empty (&versions->order))
    {
      Record *oldest = cds_list_first_entry (&versions->order, Record, link);
      if (g_hash_table_size (versions->records) <= HBW_STREAM_VERSIONS_MAX
          && now_us - oldest->heard_us <= HBW_STREAM_VERSION_KEEP_US)
        return;
      remove_record (versions, oldest);
    }
}

static void
record_version (HbwStreamVersions *versions, guint64 key, guint64 version_hash,
                gint64 now_us)
{
  Record *record = g_hash_table_lookup (versions->records, &key);
  if (record != NULL)
    cds_list_del (&record->link);
  else
    {
      record = g_new0 (Record, 1);
      record->key = key;
      record->version_hash = version_hash;
      g_hash_table_insert (versions->records, &record->key, record);
    }
  if (record->version_hash != version_hash
      || version_hash == HBW_STREAM_VERSION_SEVERAL)
    record->version_hash = 0;
  record->heard_us = now_us;
  cds_list_add_tail (&record->link, &versions->order);
  remove_old (versions, now_us);
}

/* --- answers ---------------------------------------------------------------- */

void
hbw_stream_answers_add (HbwStreamAnswers *answers, guint64 instance)
{
  for (guint i = 0; i < answers->count; i++)
    if (answers->instances[i] == instance)
      return;
  if (answers->count < HBW_STREAM_ASKED_MAX)
    answers->instances[answers->count++] = instance;
}

gboolean
hbw_stream_answers_are_complete (const HbwStreamAnswers *answers)
{
  return answers->count >= answers->asked_count;
}

/* --- holders --------------------------------------------------------------- */

typedef struct
{
  guint64 identity;
  const char *data_centre; /* borrowed */
  guint64 weight;
  guint rank; /* in its data centre */
} Holder;

typedef struct
{
  GArray *holders; /* Holder */
  char key[17];
} HolderSearch;

static void
add_holder (const HbwMemberUpdate *member, void *data)
{
  HolderSearch *search = data;
  const Holder holder = { member->identity, member->data_centre,
                          hbw_rendezvous_weight (member->identity, search->key), 0 };
  g_array_append_val (search->holders, holder);
}

static int
compare_weights (gconstpointer a, gconstpointer b)
{
  const Holder *left = a;
  const Holder *right = b;
  return left->weight < right->weight ? 1 : -(left->weight > right->weight);
}

static int
compare_ranks (gconstpointer a, gconstpointer b)
{
  const Holder *left = a;
  const Holder *right = b;
  return left->rank != right->rank ? (left->rank < right->rank ? -1 : 1)
                                   : compare_weights (a, b);
}

/* Returns the other instances: the first of each data centre, then the second of
   each, and so on. */
static GArray *
sort_holders (HbwContext *context, guint64 key)
{
  HolderSearch search = { g_array_new (FALSE, FALSE, sizeof (Holder)), "" };
  g_snprintf (search.key, sizeof search.key, "%016" G_GINT64_MODIFIER "x", key);
  hbw_membership_foreach (context->membership, add_holder, &search);
  g_array_sort (search.holders, compare_weights);
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < search.holders->len; i++)
    {
      Holder *holder = &g_array_index (search.holders, Holder, i);
      gpointer name = (gpointer) holder->data_centre;
      holder->rank = GPOINTER_TO_UINT (g_hash_table_lookup (counts, name));
      g_hash_table_replace (counts, name, GUINT_TO_POINTER (holder->rank + 1));
    }
  g_hash_table_destroy (counts);
  g_array_sort (search.holders, compare_ranks);
  return search.holders;
}

/* Returns to how many instances the message was sent, COUNT at most. */
static guint
send_to_holders (HbwContext *context, const HbwStreamVersion *report,
                 guint64 fingerprint_key, guint count)
{
  HbwMessage message
      = { .kind = HBW_MESSAGE_STREAM_VERSION, .stream_version = *report };
  GArray *holders = sort_holders (context, fingerprint_key);
  guint sent_count = MIN (count, holders->len);
  for (guint i = 0; i < sent_count; i++)
    hbw_context_send (context, g_array_index (holders, Holder, i).identity,
                      &message);
  g_array_free (holders, TRUE);
  return sent_count;
}

static void
record_report (HbwStreamVersions *versions, const HbwStreamVersion *report,
               gint64 now_us)
{
  if (report->key != 0)
    record_version (versions, report->key, report->version_hash, now_us);
  if (report->fingerprint_key != 0)
    record_version (versions, report->fingerprint_key, report->version_hash, now_us);
}

void
hbw_stream_versions_tell (HbwStreamVersions *versions, HbwContext *context,
                          guint64 key, guint64 fingerprint_key, guint64 version_hash)
{
  const HbwStreamVersion report = { key, fingerprint_key, version_hash };
  record_report (versions, &report, context->now_us);
  send_to_holders (context, &report, fingerprint_key, HBW_STREAM_HOLDERS);
}

void
hbw_stream_versions_ask (HbwStreamVersions *versions G_GNUC_UNUSED,
                         HbwContext *context, guint64 key, guint64 fingerprint_key,
                         guint count)
{
  const HbwStreamVersion question = { .key = key };
  hbw_metrics_control (context->metrics)->stream_questions++;
  send_to_holders (context, &question, fingerprint_key, count);
}

guint
hbw_stream_versions_ask_all (HbwStreamVersions *versions G_GNUC_UNUSED,
                             HbwContext *context, guint64 fingerprint_key)
{
  const HbwStreamVersion question
      = { .key = fingerprint_key, .fingerprint_key = fingerprint_key };
  hbw_metrics_control (context->metrics)->stream_questions++;
  return send_to_holders (context, &question, fingerprint_key, HBW_STREAM_ASKED_MAX);
}

/* Returns what is answered to QUESTION; 0 is no answer. */
static guint64
find_answer (HbwStreamVersions *versions, const HbwStreamVersion *question,
             gint64 now_us)
{
  guint64 version_hash;
  gboolean wants_answer = question->fingerprint_key != 0;
  gboolean is_known
      = hbw_stream_versions_find (versions, question->key, now_us, &version_hash);
  if (version_hash != 0 || !wants_answer)
    return version_hash;
  return is_known ? HBW_STREAM_VERSION_SEVERAL : HBW_STREAM_VERSION_NONE;
}

void
hbw_stream_versions_handle_message (HbwStreamVersions *versions, HbwContext *context,
                                    const HbwMessage *message)
{
  const HbwStreamVersion *report = &message->stream_version;
  HbwMessage answer = { .kind = HBW_MESSAGE_STREAM_VERSION };
  if (report->version_hash == HBW_STREAM_VERSION_NONE)
    return;
  if (report->version_hash != 0)
    {
      record_report (versions, report, context->now_us);
      return;
    }
  answer.stream_version.key = report->key;
  answer.stream_version.version_hash
      = find_answer (versions, report, context->now_us);
  if (answer.stream_version.version_hash != 0)
    hbw_context_send (context, message->from, &answer);
}

gboolean
hbw_stream_versions_find (HbwStreamVersions *versions, guint64 key, gint64 now_us,
                          guint64 *version_hash)
{
  remove_old (versions, now_us);
  const Record *record = g_hash_table_lookup (versions->records, &key);
  *version_hash = record != NULL ? record->version_hash : 0;
  return record != NULL;
}

guint
hbw_stream_versions_count (const HbwStreamVersions *versions)
{
  return g_hash_table_size (versions->records);
}
