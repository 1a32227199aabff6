/*
 * edit - conditional changes of the platform's documents by operators
 *
 * A change is accepted only when its conditional write has succeeded.  Each carries
 * an id, kept in the document's list of recent changes, so that a write whose answer
 * was lost is settled by reading the document back.
 */
#ifndef HORNBEAMWALL_NET_EDIT_H
#define HORNBEAMWALL_NET_EDIT_H

#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/net/platform.h"

#include <jansson.h>

/* Recent change ids that a document keeps. */
#define HBW_EDIT_CHANGES 16

/* Changes ROOT in place; returns FALSE with ERROR where it cannot. */
typedef gboolean (*HbwEditFunction) (json_t *root, void *data, HbwError *error);

/* Checks the whole document before it is written. */
typedef gboolean (*HbwEditCheck) (const char *text, gsize length, HbwError *error);

typedef struct
{
  const char *object; /* name in the store */
  const char *empty;  /* document to start from where there is none */
  gint64 expected;    /* version that it must have; 0 takes any */
  HbwEditFunction change;
  void *data;
  HbwEditCheck check;
} HbwEdit;

typedef struct
{
  gboolean accepted;
  gint64 version; /* of the document after the change, or the current one */
  char *body;     /* owned; the document as written */
} HbwEditResult;

/* Reads, changes and writes.  Without an expected version a lost race is tried again
   on the newer document.  ERROR says why a change was not accepted: CONFLICT,
   DOCUMENT (not valid), NOT_FOUND or STORE. */
HbwEditResult hbw_edit_run (HbwPlatform *platform, const HbwEdit *edit,
                            HbwError *error);

#endif
