#include "hornbeamwall/runtime/shared_object.h"

#include <string.h>

/* --- native interface ---------------------------------------------------------- */

typedef struct
{
  HbwSharedObject base;
  HbwStoreClient *client;
  char *name;
} NativeObject;

static HbwStoreResponse
read_native (HbwSharedObject *base, HbwError *error)
{
  NativeObject *object = (NativeObject *) base;
  return hbw_store_client_get (object->client, object->name, error);
}

static HbwStoreResponse
write_native (HbwSharedObject *base, gint64 version, GBytes *body, HbwError *error)
{
  NativeObject *object = (NativeObject *) base;
  gsize length;
  const char *text = g_bytes_get_data (body, &length);
  return hbw_store_client_put (object->client, object->name, version, text, length,
                               error);
}

static void
destroy_native (HbwSharedObject *base)
{
  NativeObject *object = (NativeObject *) base;
  hbw_store_client_destroy (object->client);
  g_free (object->name);
  g_free (object);
}

static const HbwSharedObjectClass native_class
    = { read_native, write_native, destroy_native };

HbwSharedObject *
hbw_shared_object_create (const char *address, const char *name, HbwError *error)
{
  HbwStoreClient *client = hbw_store_client_create (address, error);
  if (client == NULL)
    return NULL;
  NativeObject *object = g_new0 (NativeObject, 1);
  object->base.class = &native_class;
  object->client = client;
  object->name = g_strdup (name);
  return &object->base;
}

/* --- other stores -------------------------------------------------------------- */

typedef struct
{
  HbwSharedObject base;
  HbwStoreClient *client;
  const HbwSharedObjectAdapter *adapter;
} AdaptedObject;

/* Replaces the body of RESPONSE, in the store's form, by that of the object. */
static void
parse_response (const AdaptedObject *object, HbwStoreResponse *response,
                HbwError *error)
{
  gsize length;
  const char *text = g_bytes_get_data (response->body, &length);
  GBytes *body = object->adapter->parse (text, length, &response->version, error);
  g_bytes_unref (response->body);
  response->body = body;
  if (body == NULL)
    response->result = HBW_STORE_FAILED;
}

static HbwStoreResponse
read_adapted (HbwSharedObject *base, HbwError *error)
{
  AdaptedObject *object = (AdaptedObject *) base;
  HbwStoreResponse response
      = hbw_store_client_get_path (object->client, object->adapter->path, error);
  hbw_store_client_close_connection (object->client); /* the next call may be late */
  if (response.result == HBW_STORE_OK)
    parse_response (object, &response, error);
  return response;
}

static HbwStoreResponse
write_adapted (HbwSharedObject *base, gint64 version, GBytes *body, HbwError *error)
{
  AdaptedObject *object = (AdaptedObject *) base;
  const HbwSharedObjectAdapter *adapter = object->adapter;
  char *text = adapter->format (version, body);
  HbwStoreResponse response
      = version > 0
            ? hbw_store_client_send (object->client, "PUT", adapter->path, text,
                                     strlen (text), error)
            : hbw_store_client_send (object->client, "POST", adapter->create_path,
                                     text, strlen (text), error);
  hbw_store_client_close_connection (object->client);
  g_free (text);
  if (response.result == HBW_STORE_OK)
    {
      parse_response (object, &response, error);
      if (response.result != HBW_STORE_OK)
        response.result
            = HBW_STORE_UNKNOWN; /* written, but the version is not known */
    }
  g_clear_pointer (&response.body, g_bytes_unref);
  return response;
}

static void
destroy_adapted (HbwSharedObject *base)
{
  AdaptedObject *object = (AdaptedObject *) base;
  hbw_store_client_destroy (object->client);
  g_free (object);
}

static const HbwSharedObjectClass adapted_class
    = { read_adapted, write_adapted, destroy_adapted };

HbwSharedObject *
hbw_shared_object_create_adapted (const char *address,
                                  const HbwSharedObjectAdapter *adapter,
                                  HbwError *error)
{
  HbwStoreClient *client = hbw_store_client_create (address, error);
  if (client == NULL)
    return NULL;
  hbw_store_client_keep_connection (client, 0);
  hbw_store_client_set_era_field (client, adapter->era_field);
  AdaptedObject *object = g_new0 (AdaptedObject, 1);
  object->base.class = &adapted_class;
  object->client = client;
  object->adapter = adapter;
  return &object->base;
}
