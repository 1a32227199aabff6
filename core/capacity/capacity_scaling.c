#include "hornbeamwall/core/capacity/capacity_scaling.h"

#include "hornbeamwall/common/clock.h"

/* Largest values of a scaling. */
#define SERVERS_MAX 10000
#define STARTUP_MAX_S 3600.0
#define FACTOR_MAX 1000.0
#define PRICE_MAX 1e9
#define SLOTS_MAX 100000
#define MEMORY_TOKENS_MAX G_MAXINT32

/* Smallest price, factor and startup time, in their units: none of them is 0. */
#define POSITIVE_MIN 1e-6

static double
read_required_real (HbwJsonReader *reader, json_t *object, HbwErrorReport *report,
                    const char *key, double max)
{
  if (json_object_get (object, key) != NULL)
    return hbw_json_reader_real (reader, key, POSITIVE_MIN, max, 1);
  char *location = hbw_json_reader_location (reader, key);
  hbw_error_report_add (report, location, NULL, "expected a number above 0");
  g_free (location);
  return 1;
}

static void
parse_prices (HbwScaling *scaling, HbwJsonReader *parent, HbwErrorReport *report)
{
  json_t *prices = hbw_json_reader_member (parent, "prices", JSON_OBJECT, TRUE);
  char *location = hbw_json_reader_location (parent, "prices");
  size_t count = json_object_size (prices);
  if (prices != NULL && (count == 0 || count > HBW_SCALING_DATA_CENTRES_MAX))
    hbw_error_report_add (report, location, prices,
                          "expected the prices of 1 to 8 data centres");
  else if (prices != NULL)
    {
      HbwJsonReader *reader = hbw_json_reader_create (report, prices, location);
      const char *name;
      json_t *value;
      json_object_foreach (prices, name, value)
        {
          HbwServerPrice *price = &scaling->prices[scaling->price_count++];
          if (!hbw_is_name (name))
            hbw_error_report_add (report, location, prices,
                                  "expected names of data centres");
          g_strlcpy (price->data_centre, name, sizeof price->data_centre);
          price->per_s
              = hbw_json_reader_real (reader, name, POSITIVE_MIN, PRICE_MAX, 1);
        }
      hbw_json_reader_destroy (reader);
    }
  g_free (location);
}

HbwScaling *
hbw_scaling_parse (json_t *value, const char *location, HbwErrorReport *report)
{
  guint errors_before = report->error_count;
  HbwScaling *scaling = g_new0 (HbwScaling, 1);
  HbwJsonReader *reader = hbw_json_reader_create (report, value, location);
  hbw_json_reader_string (reader, "service", scaling->service,
                          sizeof scaling->service, NULL);
  scaling->min_servers
      = (guint) hbw_json_reader_required_int (reader, "min_servers", 1, SERVERS_MAX);
  scaling->max_servers
      = (guint) hbw_json_reader_required_int (reader, "max_servers", 1, SERVERS_MAX);
  scaling->startup_us = (gint64) (read_required_real (reader, value, report,
                                                      "startup_s", STARTUP_MAX_S)
                                  * HBW_US_PER_S);
  scaling->reclaimable_factor
      = read_required_real (reader, value, report, "reclaimable_price", FACTOR_MAX);
  parse_prices (scaling, reader, report);
  scaling->slots = (guint) hbw_json_reader_int (reader, "slots", 1, SLOTS_MAX, 0);
  scaling->memory_tokens = (guint) hbw_json_reader_int (reader, "memory_tokens", 1,
                                                        MEMORY_TOKENS_MAX, 0);
  hbw_json_reader_destroy (reader);
  if (report->error_count == errors_before
      && scaling->min_servers > scaling->max_servers)
    hbw_error_report_add (report, location, value,
                          "expected min_servers of at most max_servers");
  if (report->error_count > errors_before)
    g_clear_pointer (&scaling, g_free);
  return scaling;
}
