/*
 * endpoint - parsing and lookup of the catalogue's endpoints
 *
 * Internal to core/catalogue.c.
 */
#ifndef HORNBEAMWALL_CORE_ENDPOINT_H
#define HORNBEAMWALL_CORE_ENDPOINT_H

#include "hornbeamwall/common/json_reader.h"
#include "hornbeamwall/core/catalogue.h"

typedef struct HbwEndpoints HbwEndpoints;

HbwEndpoints *hbw_endpoints_create (void);
void hbw_endpoints_destroy (HbwEndpoints *endpoints);

/* Adds the endpoint NAME from VALUE and returns it (borrowed).  LOCATION is the JSON
   pointer to VALUE for error reports.  The caller must check that the class and the
   pools exist. */
const HbwEndpoint *hbw_endpoints_add (HbwEndpoints *endpoints,
                                      HbwErrorReport *report, const char *name,
                                      json_t *value, const char *location);

/* See hbw_catalogue_find_endpoint(). */
const HbwEndpoint *hbw_endpoints_find (const HbwEndpoints *endpoints,
                                       const char *host, const char *path);

#endif
