/*
 * capacity_scaling - limits and prices by which servers of a pool are ordered
 */
#ifndef HORNBEAMWALL_CORE_CAPACITY_SCALING_H
#define HORNBEAMWALL_CORE_CAPACITY_SCALING_H

#include "hornbeamwall/common/json_reader.h"
#include "hornbeamwall/core/duty/duty_call.h"

/* Maximum number of data centres with a price. */
#define HBW_SCALING_DATA_CENTRES_MAX 8

typedef struct
{
  char data_centre[HBW_NAME_MAX];
  double per_s; /* of an on-demand server, in the operator's unit */
} HbwServerPrice;

typedef struct
{
  char service[HBW_SERVICE_NAME_MAX]; /* as the platform spells it */
  guint min_servers;                  /* in each data centre, of both kinds */
  guint max_servers;
  gint64 startup_us;         /* from the order until the server serves */
  double reclaimable_factor; /* price of a reclaimable server, relative to an
                                on-demand one */
  guint price_count;
  HbwServerPrice prices[HBW_SCALING_DATA_CENTRES_MAX];
  guint slots;         /* of a server's engine; 0 if unknown */
  guint memory_tokens; /* of a server's engine; 0 if unknown */
} HbwScaling;

/* Parses VALUE, the member "scaling" of a pool at LOCATION:

     {"service": TEXT, "min_servers": N, "max_servers": N, "startup_s": SECONDS,
      "reclaimable_price": FACTOR, "prices": {DATA_CENTRE: PRICE, ...},
      "slots": N, "memory_tokens": N}

   The last two are optional.  Returns a new HbwScaling, to be freed with g_free(),
   or NULL after adding all errors to REPORT. */
HbwScaling *hbw_scaling_parse (json_t *value, const char *location,
                               HbwErrorReport *report);

#endif
