#include "hornbeamwall/check_document.h"

#include "hornbeamwall/common/json_reader.h"
#include "hornbeamwall/core/catalogue_diff.h"
#include "platform/config.h"
#include "platform/config_check.h"

#include <stdlib.h>
#include <string.h>

struct HbwCheckDocument
{
  json_t *source;       /* as it was given */
  json_t *spec;         /* the config (borrowed); NULL for a catalogue */
  const char *prefix;   /* JSON pointer to the config */
  json_t *root;         /* the catalogue's document */
  HbwCatalogue *parsed; /* NULL if the document is invalid */
  GPtrArray *findings;
};

/* Replaces the paths of the findings by those of the document that was given. */
static void
locate_findings (HbwCheckDocument *document, GPtrArray *findings)
{
  if (document->spec != NULL)
    platform_config_locate_findings (document->spec, findings);
}

static void
take_findings (HbwCheckDocument *document, GPtrArray *findings)
{
  for (guint i = 0; i < findings->len; i++)
    {
      const HbwFinding *finding = g_ptr_array_index (findings, i);
      char *path = g_strconcat (document->prefix, finding->path, NULL);
      hbw_findings_add (document->findings, finding->severity, finding->kind, path,
                        "%s", finding->text);
      g_free (path);
    }
  g_ptr_array_unref (findings);
}

static void
add_error (HbwCheckDocument *document, const char *report)
{
  GPtrArray *findings = hbw_findings_create ();
  hbw_findings_add_report (findings, report, TRUE);
  if (strlen (report) == HBW_ERROR_MESSAGE_MAX - 1)
    hbw_findings_add (findings, HBW_SEVERITY_ERROR, HBW_FINDING_INVALID, "",
                      "there are further errors; correct these first");
  locate_findings (document, findings);
  take_findings (document, findings);
}

static void
parse_config (HbwCheckDocument *document, HbwError *error)
{
  document->root = platform_config_translate (document->spec);
  if (document->root == NULL)
    {
      hbw_error_set (error, HBW_ERROR_DOCUMENT,
                     "expected an object with routes and backends");
      return;
    }
  char *text = json_dumps (document->root, JSON_COMPACT);
  document->parsed = hbw_catalogue_parse (text, strlen (text), 0, error);
  free (text);
}

HbwCheckDocument *
hbw_check_document_create (const char *text, gsize length)
{
  HbwCheckDocument *document = g_new0 (HbwCheckDocument, 1);
  HbwError error = { HBW_ERROR_NONE, "" };
  document->findings = hbw_findings_create ();
  document->source = json_loadb (text, length, 0, NULL);
  document->spec = platform_config_find_spec (document->source, &document->prefix);
  if (document->spec != NULL)
    parse_config (document, &error);
  else
    {
      /* The text as it was given: repeated members are errors in a catalogue. */
      document->parsed = hbw_catalogue_parse (text, length, 0, &error);
      document->root = json_incref (document->source);
    }
  if (document->parsed == NULL)
    add_error (document, error.message);
  return document;
}

void
hbw_check_document_destroy (HbwCheckDocument *document)
{
  g_clear_pointer (&document->parsed, hbw_catalogue_unref);
  json_decref (document->root);
  json_decref (document->source);
  g_ptr_array_unref (document->findings);
  g_free (document);
}

void
hbw_check_document_check (HbwCheckDocument *document,
                          const HbwCheckSettings *settings)
{
  GPtrArray *findings = hbw_findings_create ();
  if (document->parsed != NULL)
    hbw_catalogue_check (document->parsed, document->root, settings, findings);
  locate_findings (document, findings);
  if (document->spec != NULL && document->root != NULL)
    platform_config_check (document->spec, findings);
  take_findings (document, findings);
}

GPtrArray *
hbw_check_document_findings (const HbwCheckDocument *document)
{
  return document->findings;
}

GPtrArray *
hbw_check_document_diff (const HbwCheckDocument *old_document,
                         const HbwCheckDocument *new_document)
{
  if (old_document->parsed == NULL || new_document->parsed == NULL)
    return NULL;
  return hbw_catalogue_diff (old_document->root, new_document->root);
}
