/*
 * catalogue_diff - differences between two catalogue documents
 */
#ifndef HORNBEAMWALL_CORE_CATALOGUE_DIFF_H
#define HORNBEAMWALL_CORE_CATALOGUE_DIFF_H

#include <glib.h>
#include <jansson.h>

typedef enum
{
  HBW_DIFFERENCE_ADDED,
  HBW_DIFFERENCE_REMOVED,
  HBW_DIFFERENCE_CHANGED,
} HbwDifferenceKind;

typedef struct
{
  HbwDifferenceKind kind;
  char *path;        /* JSON pointer; of the list, for an item of a list of keys */
  json_t *old_value; /* NULL if added */
  json_t *new_value; /* NULL if removed */
} HbwDifference;

/* Returns "added", "removed" or "changed". */
const char *hbw_difference_kind_name (HbwDifferenceKind kind);

/* Returns an array of HbwDifference, sorted by path, which owns them.  Both
   documents are catalogues that hbw_catalogue_parse() accepts; they are not changed.
   Members are compared by name and keys as sets; other lists are compared as a
   whole.  The ids of changes are not compared.  Only the first characters of a key's
   hash appear in a value. */
GPtrArray *hbw_catalogue_diff (json_t *old_root, json_t *new_root);

#endif
