/*
 * request_spec - builds a request's parameters from what its caller sent
 */
#ifndef HORNBEAMWALL_CORE_SPEC_H
#define HORNBEAMWALL_CORE_SPEC_H

#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/core/message.h"

/* Longest deadline that a caller may set, in milliseconds. */
#define HBW_DEADLINE_MAX_MS 86400000

/* What the caller sent; NULL if absent. */
typedef struct
{
  const char *pool;
  const char *class_name;
  const char *idempotent; /* "true" or "false" */
  const char *deadline_ms;
  const char *body;
  gsize body_length;
  gint64 max_tokens; /* 0 if not given */
} HbwSpecInput;

typedef enum
{
  HBW_SPEC_OK,
  HBW_SPEC_NO_POOL,
  HBW_SPEC_NO_CLASS,
  HBW_SPEC_CLASS_FORBIDDEN,
  HBW_SPEC_BAD_HEADER,
} HbwSpecResult;

/* Fills in SPEC for a request of ORGANISATION.  If the result is not HBW_SPEC_OK,
   ERROR says how to correct the request. */
HbwSpecResult hbw_spec_fill (HbwRequestSpec *spec, const HbwCatalogue *catalogue,
                             const HbwOrganisation *organisation,
                             const HbwSpecInput *input, HbwError *error);

#endif
