/*
 * request_spec - builds a request's parameters from what its caller sent
 *
 * For requests of the native interface; admission.h does it for the platform
 * interface.
 */
#ifndef HORNBEAMWALL_CORE_REQUEST_SPEC_H
#define HORNBEAMWALL_CORE_REQUEST_SPEC_H

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
  const char *path; /* with the query */
  const char *body;
  gsize body_length;
  gint64 max_tokens; /* 0 if not given */
} HbwRequestSpecInput;

typedef enum
{
  HBW_REQUEST_SPEC_OK,
  HBW_REQUEST_SPEC_NO_POOL,
  HBW_REQUEST_SPEC_NO_CLASS,
  HBW_REQUEST_SPEC_CLASS_FORBIDDEN,
  HBW_REQUEST_SPEC_BAD_HEADER,
} HbwRequestSpecResult;

/* Fills in SPEC for a request of ORGANISATION.  If the result is not
   HBW_REQUEST_SPEC_OK, ERROR says how to correct the request. */
HbwRequestSpecResult hbw_request_spec_fill (HbwRequestSpec *spec,
                                            const HbwCatalogue *catalogue,
                                            const HbwOrganisation *organisation,
                                            const HbwRequestSpecInput *input,
                                            HbwError *error);

#endif
