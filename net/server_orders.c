#include "hornbeamwall/net/server_orders.h"

#include "hornbeamwall/common/address.h"
#include "hornbeamwall/common/log.h"
#include "hornbeamwall/core/directory.h"
#include "hornbeamwall/net/response_status.h"
#include "hornbeamwall/runtime/watch.h"

#include <jansson.h>
#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <stdlib.h>
#include <string.h>

#define ORDERS_OBJECT "hornbeamwall-orders"

/* How long a backend server may take to respond to an order, in seconds. */
#define ORDER_TIMEOUT_S 5

struct HbwServerOrders
{
  HbwServerOrdersConfig config;
  HbwStoreClient *client;
  HbwLease *lease;
  char lease_object[HBW_NAME_MAX + 32];
  /* "server-id start-number" -> order that the server has confirmed.  The start
     number changes with each restart, after which the order is sent again. */
  GHashTable *confirmed_orders;
  gboolean was_holder;
};

HbwServerOrders *
hbw_server_orders_create (const HbwServerOrdersConfig *config, HbwError *error)
{
  HbwStoreClient *client = hbw_store_client_create (config->platform_address, error);
  if (client == NULL)
    return NULL;
  HbwServerOrders *orders = g_new0 (HbwServerOrders, 1);
  orders->config = *config;
  orders->client = client;
  orders->lease = hbw_lease_create (config->identity);
  orders->confirmed_orders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_snprintf (orders->lease_object, sizeof orders->lease_object,
              "hornbeamwall-lease-%s", config->data_centre);
  return orders;
}

void
hbw_server_orders_destroy (HbwServerOrders *orders)
{
  g_hash_table_destroy (orders->confirmed_orders);
  hbw_lease_destroy (orders->lease);
  hbw_store_client_destroy (orders->client);
  g_free (orders);
}

void
hbw_lease_record_parse (HbwLeaseRecord *record, const char *text, gsize length)
{
  json_t *root = json_loadb (text, length, 0, NULL);
  const char *holder = json_string_value (json_object_get (root, "holder"));
  json_t *number = json_object_get (root, "number");
  gboolean valid = holder != NULL && json_is_integer (number)
                   && json_integer_value (number) >= 0;
  record->holder
      = valid ? g_ascii_strtoull (holder, NULL, 16) : HBW_LEASE_HOLDER_UNKNOWN;
  record->fencing_number = valid ? (guint64) json_integer_value (number) : 0;
  json_decref (root);
}

static gboolean
read_lease (HbwServerOrders *orders, HbwLeaseRecord *record)
{
  HbwError error;
  memset (record, 0, sizeof *record);
  HbwStoreResponse response
      = hbw_store_client_get (orders->client, orders->lease_object, &error);
  record->era = response.era;
  if (response.result == HBW_STORE_NOT_FOUND)
    return TRUE;
  if (response.result != HBW_STORE_OK)
    return FALSE;
  gsize length;
  const char *text = g_bytes_get_data (response.body, &length);
  hbw_lease_record_parse (record, text, length);
  record->version = response.version;
  g_bytes_unref (response.body);
  return TRUE;
}

static void
write_lease (HbwServerOrders *orders, HbwLeaseRecord *next)
{
  HbwError error;
  char text[128];
  g_snprintf (text, sizeof text,
              "{\"holder\":\"%" G_GINT64_MODIFIER "x\",\"number\":%" G_GUINT64_FORMAT
              "}",
              next->holder, next->fencing_number);
  gint64 sent_us = hbw_clock_now (orders->config.clock);
  HbwStoreResponse response
      = hbw_store_client_put (orders->client, orders->lease_object, next->version,
                              text, strlen (text), &error);
  /* If the response was lost, the next read shows who holds the lease.  Until then
     it is not treated as held: only a confirmed write counts. */
  if (response.result != HBW_STORE_OK)
    return;
  next->version = response.version;
  next->era = response.era;
  hbw_lease_handle_written (orders->lease, next, sent_us);
}

static void
log_lease_change (HbwServerOrders *orders)
{
  gboolean holder = hbw_server_orders_holds_lease (orders);
  if (holder == orders->was_holder)
    return;
  orders->was_holder = holder;
  hbw_log_write (holder ? HBW_LOG_LEASE_TAKEN : HBW_LOG_LEASE_LOST,
                 orders->lease_object);
}

void
hbw_server_orders_update_lease (HbwServerOrders *orders)
{
  HbwLeaseRecord record;
  HbwLeaseRecord next;
  if (read_lease (orders, &record))
    {
      gint64 now_us = hbw_clock_now (orders->config.clock);
      hbw_lease_observe (orders->lease, &record, now_us);
      if (hbw_lease_wants_write (orders->lease, now_us, &next))
        write_lease (orders, &next);
    }
  log_lease_change (orders);
}

gboolean
hbw_server_orders_holds_lease (const HbwServerOrders *orders)
{
  return hbw_lease_fencing_number (orders->lease,
                                   hbw_clock_now (orders->config.clock))
         > 0;
}

static json_t *
read_document (HbwServerOrders *orders, const char *name)
{
  HbwError error;
  HbwStoreResponse response = hbw_store_client_get (orders->client, name, &error);
  if (response.result != HBW_STORE_OK)
    return NULL;
  gsize length;
  const char *text = g_bytes_get_data (response.body, &length);
  json_t *root = json_loadb (text, length, 0, NULL);
  g_bytes_unref (response.body);
  return root;
}

gboolean
hbw_server_orders_are_declared (HbwServerOrders *orders)
{
  json_t *declared = read_document (orders, ORDERS_OBJECT);
  gboolean any = json_object_size (json_object_get (declared, "orders")) > 0;
  json_decref (declared);
  return any;
}

/* Sends one order if the lease is still held; the fencing number is read immediately
   before.  Returns whether the order was sent; STATUS is that of the response, 0 on
   failure. */
static gboolean
send_order (HbwServerOrders *orders, const char *address, const char *text,
            guint *status)
{
  HbwHostPort host_port;
  if (!hbw_address_parse (address, &host_port))
    return FALSE;
  ne_session *session = ne_session_create ("http", host_port.host, host_port.port);
  ne_set_session_flag (session, NE_SESSFLAG_PERSIST, 0);
  ne_set_read_timeout (session, ORDER_TIMEOUT_S);
  ne_request *request = ne_request_create (session, "PUT", "/orders");
  ne_set_request_flag (request, NE_REQFLAG_IDEMPOTENT, 0);
  ne_set_request_body_buffer (request, text, strlen (text));
  guint64 number = hbw_lease_fencing_number (orders->lease,
                                             hbw_clock_now (orders->config.clock));
  gboolean was_sent = number > 0;
  if (was_sent)
    {
      ne_print_request_header (request, "X-Fencing-Number", "%" G_GUINT64_FORMAT,
                               number);
      *status = ne_request_dispatch (request) == NE_OK
                    ? hbw_response_status (request)
                    : 0;
    }
  ne_request_destroy (request);
  ne_session_destroy (session);
  return was_sent;
}

static gboolean
send_order_if_unconfirmed (HbwServerOrders *orders, json_t *server,
                           json_t *declared_orders)
{
  const char *id = json_string_value (json_object_get (server, "id"));
  const char *address = json_string_value (json_object_get (server, "address"));
  json_t *order = id != NULL ? json_object_get (declared_orders, id) : NULL;
  if (order == NULL || address == NULL)
    return FALSE;
  char *key
      = g_strdup_printf ("%s %" JSON_INTEGER_FORMAT, id,
                         json_integer_value (json_object_get (server, "start")));
  char *text = json_dumps (order, JSON_COMPACT | JSON_SORT_KEYS);
  gboolean was_sent = FALSE;
  if (g_strcmp0 (g_hash_table_lookup (orders->confirmed_orders, key), text) != 0)
    {
      guint status = 0;
      was_sent = send_order (orders, address, text, &status);
      if (was_sent)
        hbw_log_write (status == 200 ? HBW_LOG_ORDER_SENT : HBW_LOG_ORDER_REFUSED,
                       id);
      if (status == 200)
        g_hash_table_replace (orders->confirmed_orders, g_strdup (key),
                              g_strdup (text));
    }
  free (text);
  g_free (key);
  return was_sent;
}

guint
hbw_server_orders_send (HbwServerOrders *orders)
{
  if (!hbw_server_orders_holds_lease (orders))
    return 0;
  json_t *declared = read_document (orders, ORDERS_OBJECT);
  json_t *servers
      = read_document (orders, hbw_watch_object_name (HBW_DOCUMENT_SERVERS));
  json_t *declared_orders = json_object_get (declared, "orders");
  size_t index;
  json_t *server;
  guint sent = 0;
  json_array_foreach (json_object_get (servers, "servers"), index, server)
    {
      const char *data_centre
          = json_string_value (json_object_get (server, "data_centre"));
      if (g_strcmp0 (data_centre, orders->config.data_centre) == 0
          && send_order_if_unconfirmed (orders, server, declared_orders))
        sent++;
    }
  json_decref (declared);
  json_decref (servers);
  return sent;
}
