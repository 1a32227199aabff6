#include "hornbeamwall/net/document_edit.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of tries after a conflict or a lost response. */
#define TRIES_MAX 5

/* Delay before the store is read again, in microseconds. */
#define RETRY_DELAY_US 200000

typedef enum
{
  TRY_DONE,
  TRY_AGAIN,
  TRY_FAILED,
} TryResult;

static void
add_change_id (json_t *root, const char *id)
{
  json_t *changes = json_object_get (root, "changes");
  if (!json_is_array (changes))
    {
      changes = json_array ();
      json_object_set_new (root, "changes", changes);
    }
  json_array_append_new (changes, json_string (id));
  while (json_array_size (changes) > HBW_DOCUMENT_EDIT_IDS_MAX)
    json_array_remove (changes, 0);
}

static gboolean
has_change_id (GBytes *body, const char *id)
{
  gsize length;
  const char *text = g_bytes_get_data (body, &length);
  json_t *root = json_loadb (text, length, 0, NULL);
  size_t index;
  json_t *value;
  gboolean found = FALSE;
  json_array_foreach (json_object_get (root, "changes"), index, value)
    {
      if (g_strcmp0 (json_string_value (value), id) == 0)
        found = TRUE;
    }
  json_decref (root);
  return found;
}

static json_t *
parse_document (GBytes *body, const char *empty)
{
  if (body == NULL)
    return json_loads (empty, 0, NULL);
  gsize length;
  const char *text = g_bytes_get_data (body, &length);
  return json_loadb (text, length, 0, NULL);
}

static char *
render_change (const HbwDocumentEdit *edit, GBytes *body, const char *id,
               HbwError *error)
{
  json_t *root = parse_document (body, edit->initial_text);
  if (!json_is_object (root))
    {
      json_decref (root);
      hbw_error_set (error, HBW_ERROR_DOCUMENT,
                     "the stored document is no JSON object; replace it as a whole");
      return NULL;
    }
  if (!edit->change (root, edit->data, error))
    {
      json_decref (root);
      return NULL;
    }
  add_change_id (root, id);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  if (edit->check (text, strlen (text), error))
    return text;
  free (text);
  return NULL;
}

/* Determines whether a write whose response was lost has taken effect. */
static TryResult
resolve_lost_response (HbwStoreClient *client, const HbwDocumentEdit *edit,
                       const char *id, HbwDocumentEditResult *result,
                       HbwError *error)
{
  for (guint i = 0; i < TRIES_MAX; i++)
    {
      HbwStoreResponse response
          = hbw_store_client_get (client, edit->object_name, error);
      if (response.result == HBW_STORE_OK)
        {
          gboolean found = has_change_id (response.body, id);
          result->version = response.version;
          g_bytes_unref (response.body);
          return found ? TRY_DONE : TRY_AGAIN;
        }
      if (response.result == HBW_STORE_NOT_FOUND)
        return TRY_AGAIN;
      g_usleep (RETRY_DELAY_US);
    }
  hbw_error_set (error, HBW_ERROR_STORE,
                 "the store's answer was lost and it cannot be read back; look at "
                 "the document for change %s before you repeat it",
                 id);
  return TRY_FAILED;
}

static TryResult
write_change (HbwStoreClient *client, const HbwDocumentEdit *edit, gint64 version,
              const char *text, const char *id, HbwDocumentEditResult *result,
              HbwError *error)
{
  HbwStoreResponse response = hbw_store_client_put (
      client, edit->object_name, version, text, strlen (text), error);
  switch (response.result)
    {
    case HBW_STORE_OK:
      result->version = response.version;
      return TRY_DONE;
    case HBW_STORE_UNKNOWN:
      return resolve_lost_response (client, edit, id, result, error);
    case HBW_STORE_CONFLICT:
      return TRY_AGAIN;
    default:
      return TRY_FAILED;
    }
}

static TryResult
try_once (HbwStoreClient *client, const HbwDocumentEdit *edit, const char *id,
          HbwDocumentEditResult *result, HbwError *error)
{
  HbwStoreResponse current = hbw_store_client_get (client, edit->object_name, error);
  if (current.result != HBW_STORE_OK && current.result != HBW_STORE_NOT_FOUND)
    return TRY_FAILED;
  result->version = current.version;
  if (edit->expected_version > 0 && edit->expected_version != current.version)
    {
      hbw_error_set (error, HBW_ERROR_CONFLICT,
                     "the revision is now %" G_GINT64_FORMAT
                     "; read it again and repeat the change",
                     current.version);
      g_clear_pointer (&current.body, g_bytes_unref);
      return TRY_FAILED;
    }
  char *text = render_change (edit, current.body, id, error);
  g_clear_pointer (&current.body, g_bytes_unref);
  if (text == NULL)
    return TRY_FAILED;
  TryResult outcome
      = write_change (client, edit, current.version, text, id, result, error);
  if (outcome == TRY_DONE)
    result->body = g_strdup (text);
  free (text);
  return outcome;
}

HbwDocumentEditResult
hbw_document_edit_run (HbwStoreClient *client, const HbwDocumentEdit *edit,
                       HbwError *error)
{
  HbwDocumentEditResult result = { FALSE, 0, NULL };
  char *id = g_uuid_string_random ();
  TryResult outcome = TRY_AGAIN;
  for (guint i = 0; i < TRIES_MAX && outcome == TRY_AGAIN; i++)
    outcome = try_once (client, edit, id, &result, error);
  if (outcome == TRY_AGAIN)
    hbw_error_set (error, HBW_ERROR_CONFLICT,
                   "other changes came first each time; repeat the change");
  result.accepted = outcome == TRY_DONE;
  g_free (id);
  return result;
}
