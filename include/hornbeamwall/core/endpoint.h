/*
 * endpoint - the catalogue's endpoints: reading them and finding one
 *
 * For core/catalogue.c.
 */
#ifndef HORNBEAMWALL_CORE_ENDPOINT_H
#define HORNBEAMWALL_CORE_ENDPOINT_H

#include "hornbeamwall/common/check.h"
#include "hornbeamwall/core/catalogue.h"

typedef struct HbwEndpoints HbwEndpoints;

HbwEndpoints *hbw_endpoints_create (void);
void hbw_endpoints_destroy (HbwEndpoints *endpoints);

/* Adds the endpoint NAME from VALUE, which stands at PLACE.  Whether its class and
   pools exist is for the caller to check. */
const HbwEndpoint *hbw_endpoints_add (HbwEndpoints *endpoints, HbwReport *report,
                                      const char *name, json_t *value,
                                      const char *place);

/* See hbw_catalogue_endpoint(). */
const HbwEndpoint *hbw_endpoints_find (const HbwEndpoints *endpoints,
                                       const char *host, const char *path);

#endif
