#include "hornbeamwall/core/reducer_state.h"

#include "hornbeamwall/core/membership/membership.h"

static gboolean
adopt_catalogue (HbwReducer *reducer, const char *text, gsize length, gint64 version,
                 HbwError *error)
{
  HbwContext *context = &reducer->context;
  HbwCatalogue *catalogue = hbw_catalogue_parse (text, length, version, error);
  if (catalogue == NULL)
    return FALSE;
  if (context->catalogue != NULL)
    hbw_catalogue_unref (context->catalogue);
  context->catalogue = catalogue;
  hbw_effects_add (context->effects, HBW_EFFECT_PUBLISH_CATALOGUE)->catalogue
      = hbw_catalogue_ref (catalogue);
  return TRUE;
}

static gboolean
adopt_servers (HbwReducer *reducer, const char *text, gsize length, HbwError *error)
{
  const HbwContext *context = &reducer->context;
  if (!hbw_server_list_adopt (reducer->server_list, text, length,
                              &context->store_era, context->now_us, error))
    return FALSE;
  hbw_ingress_set_topology (reducer->ingress,
                            hbw_server_list_topology (reducer->server_list));
  hbw_reducer_update_shard_servers (reducer);
  return TRUE;
}

/* Once the era is settled, the list is in force as the store has it. */
void
hbw_reducer_settle_servers (HbwReducer *reducer)
{
  const HbwContext *context = &reducer->context;
  HbwError error = { HBW_ERROR_NONE, "" };
  GBytes *body = hbw_documents_body (reducer->documents, HBW_DOCUMENT_SERVERS);
  if (body == NULL
      || !hbw_server_list_is_due (reducer->server_list, &context->store_era,
                                  context->now_us))
    return;
  gsize length;
  const char *text = g_bytes_get_data (body, &length);
  adopt_servers (reducer, text, length, &error);
}

static gboolean
adopt_instances (HbwReducer *reducer, const char *text, gsize length,
                 HbwError *error)
{
  GPtrArray *instances = hbw_directory_parse_instances (text, length, error);
  if (instances == NULL)
    return FALSE;
  hbw_membership_set_platform_seeds (reducer->context.membership, instances);
  g_ptr_array_unref (instances);
  return TRUE;
}

static gboolean
adopt_stops (HbwReducer *reducer, const char *text, gsize length, HbwError *error)
{
  GHashTable *stops = hbw_directory_parse_stops (text, length, error);
  if (stops == NULL)
    return FALSE;
  g_hash_table_unref (reducer->context.planned_stops);
  reducer->context.planned_stops = stops;
  reducer->context.planned_stops_known = TRUE;
  hbw_reducer_update_shard_servers (reducer);
  if (g_hash_table_contains (stops, reducer->name))
    hbw_reducer_handle_drain (reducer);
  return TRUE;
}

static gboolean
apply_document (HbwReducer *reducer, const HbwDocument *document, HbwError *error)
{
  gsize length;
  const char *text = g_bytes_get_data (document->body, &length);
  switch (document->kind)
    {
    case HBW_DOCUMENT_CATALOGUE:
      return adopt_catalogue (reducer, text, length, document->version, error);
    case HBW_DOCUMENT_SERVERS:
      return adopt_servers (reducer, text, length, error);
    case HBW_DOCUMENT_INSTANCES:
      return adopt_instances (reducer, text, length, error);
    case HBW_DOCUMENT_STOPS:
      return adopt_stops (reducer, text, length, error);
    default:
      hbw_error_set (error, HBW_ERROR_DOCUMENT, "unknown document kind");
      return FALSE;
    }
}

static void
adopt_document (HbwReducer *reducer, const HbwDocument *document, const char *source)
{
  HbwContext *context = &reducer->context;
  const char *name = hbw_document_kind_name (document->kind);
  HbwError error = { HBW_ERROR_NONE, "" };
  if (!apply_document (reducer, document, &error))
    {
      hbw_documents_reject (reducer->documents, document->kind, document->version);
      hbw_effects_log (context->effects, HBW_LOG_DOCUMENT_REJECTED,
                       "document=%s version=%" G_GINT64_FORMAT " error=\"%s\"", name,
                       document->version, error.message);
      return;
    }
  hbw_documents_adopt (reducer->documents, document->kind, document->version,
                       document->body);
  hbw_effects_log (context->effects, HBW_LOG_DOCUMENT_ADOPTED,
                   "document=%s version=%" G_GINT64_FORMAT " source=%s", name,
                   document->version, source);
}

/* SOURCE is the name of the instance that sent it, or "store". */
static void
handle_document (HbwReducer *reducer, const HbwDocument *document,
                 const char *source)
{
  HbwContext *context = &reducer->context;
  HbwVersionOrder order = hbw_documents_compare_version (
      reducer->documents, document->kind, document->version);
  const char *name = hbw_document_kind_name (document->kind);
  if (order == HBW_VERSION_OLDER && document->version > HBW_VERSION_ABSENT)
    hbw_effects_log (context->effects, HBW_LOG_DOCUMENT_OLDER,
                     "document=%s offered=%" G_GINT64_FORMAT, name,
                     document->version);
  if (order != HBW_VERSION_NEWER)
    return;
  if (document->version == HBW_VERSION_ABSENT)
    {
      hbw_documents_adopt (reducer->documents, document->kind, HBW_VERSION_ABSENT,
                           NULL);
      context->planned_stops_known |= document->kind == HBW_DOCUMENT_STOPS;
      return;
    }
  GBytes *body = document->body != NULL
                     ? hbw_documents_reconstruct (reducer->documents, document)
                     : NULL;
  if (body == NULL)
    return;
  const HbwDocument whole = { document->kind, document->version, 0, body };
  adopt_document (reducer, &whole, source);
  g_bytes_unref (body);
}

void
hbw_reducer_handle_document (HbwReducer *reducer, const HbwDocument *document,
                             guint64 from)
{
  handle_document (reducer, document,
                   hbw_membership_find_name (reducer->context.membership, from));
}

/* Pings the data centre after a new version was read from the store, because
   instances that do not watch the store learn of new versions from pings. */
void
hbw_reducer_handle_document_read (HbwReducer *reducer, const HbwDocument *document)
{
  HbwContext *context = &reducer->context;
  gint64 before = hbw_documents_version (reducer->documents, document->kind);
  handle_document (reducer, document, "store");
  if (reducer->max_revocation_delay_us > 0
      && hbw_documents_version (reducer->documents, document->kind) > before)
    hbw_membership_ping_all (context->membership, context, context->data_centre);
}
