/*
 * spec - what a request asks for, from what its caller sent
 */
#ifndef HORNBEAMWALL_CORE_SPEC_H
#define HORNBEAMWALL_CORE_SPEC_H

#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/core/message.h"

/* Longest deadline that a caller may ask for, in milliseconds. */
#define HBW_DEADLINE_MAX_MS 86400000

/* What a caller sent; NULL where it sent nothing. */
typedef struct
{
  const char *pool;
  const char *class_name;
  const char *idempotent; /* "true" or "false" */
  const char *deadline_ms;
  const char *body;
  gsize body_length;
  gint64 max_tokens; /* 0 where not said */
} HbwSpecInput;

typedef enum
{
  HBW_SPEC_OK,
  HBW_SPEC_NO_POOL,
  HBW_SPEC_NO_CLASS,
  HBW_SPEC_CLASS_FORBIDDEN,
  HBW_SPEC_BAD_HEADER,
} HbwSpecResult;

/* Fills in SPEC for ORGANISATION.  On any other result than HBW_SPEC_OK, ERROR says
   what is wrong and how to mend it. */
HbwSpecResult hbw_spec_fill (HbwRequestSpec *spec, const HbwCatalogue *catalogue,
                             const HbwOrganisation *organisation,
                             const HbwSpecInput *input, HbwError *error);

#endif
