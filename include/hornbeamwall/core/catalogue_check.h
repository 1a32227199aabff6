/*
 * catalogue_check - finds entries of a catalogue that have no effect or contradict
 * each other
 *
 * The running system accepts these entries.  Errors come from hbw_catalogue_parse()
 * and are only converted to findings here.  Paths are JSON pointers into the
 * document.  A text contains no key and no hash of one.
 */
#ifndef HORNBEAMWALL_CORE_CATALOGUE_CHECK_H
#define HORNBEAMWALL_CORE_CATALOGUE_CHECK_H

#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/core/retry_budget.h"

#include <jansson.h>

typedef enum
{
  HBW_SEVERITY_WARNING,
  HBW_SEVERITY_ERROR,
} HbwSeverity;

typedef enum
{
  HBW_FINDING_INVALID,            /* rejected by the running system */
  HBW_FINDING_ENDPOINT_HIDDEN,    /* another has its host and prefix */
  HBW_FINDING_HOST_UNREACHABLE,   /* hosts are compared in lower case */
  HBW_FINDING_NO_TARGET,          /* no target, or none with a weight */
  HBW_FINDING_NO_KEY,             /* an organisation cannot be authenticated */
  HBW_FINDING_CLASS_UNUSABLE,     /* no caller may use the class */
  HBW_FINDING_POOL_UNUSED,        /* no endpoint names the pool */
  HBW_FINDING_DEADLINE_TOO_SHORT, /* below the target to the first token */
  HBW_FINDING_GAP_ABOVE_TIMEOUT,  /* target between tokens */
  HBW_FINDING_ATTEMPTS_UNUSABLE,  /* above what the retry budget allows */
  HBW_FINDING_HEADER_ABOVE_BODY,  /* header limit above the body limit */
  HBW_FINDING_PRICE_MISSING,      /* of a data centre */
  HBW_FINDING_KEY_REPEATED,       /* one key is listed twice */
  HBW_FINDING_IGNORED,            /* an entry is left out */
  HBW_FINDING_COUNT
} HbwFindingKind;

typedef struct
{
  HbwSeverity severity;
  HbwFindingKind kind;
  char *path;
  char *text;
} HbwFinding;

/* Settings of an instance that the check needs. */
typedef struct
{
  HbwRetryLimits retry_limits;
  guint body_max;          /* bytes, where the catalogue sets no limit */
  const char *data_centre; /* of the instance */
} HbwCheckSettings;

/* Returns an empty array of HbwFinding, which owns them. */
GPtrArray *hbw_findings_create (void);

void hbw_findings_add (GPtrArray *findings, HbwSeverity severity,
                       HbwFindingKind kind, const char *path, const char *format,
                       ...) G_GNUC_PRINTF (5, 6);

/* Adds an error for each line of REPORT, the text of an HbwErrorReport or of an
   HbwError.  If the document has keys, a value that may contain one is left out. */
void hbw_findings_add_report (GPtrArray *findings, const char *report,
                              gboolean has_keys);

/* Returns the number of findings of SEVERITY. */
guint hbw_findings_count (const GPtrArray *findings, HbwSeverity severity);

/* Returns the name of KIND for scripts, in lower case. */
const char *hbw_finding_kind_name (HbwFindingKind kind);

/* Returns KEY with the characters escaped that a JSON pointer reserves, as a new
   string. */
char *hbw_json_pointer_escape (const char *key);

/* Adds findings about CATALOGUE, which was parsed from ROOT.  SETTINGS may be NULL:
   what depends on them is not checked. */
void hbw_catalogue_check (const HbwCatalogue *catalogue, json_t *root,
                          const HbwCheckSettings *settings, GPtrArray *findings);

#endif
