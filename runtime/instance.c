#include "hornbeamwall/runtime/instance.h"

#include "hornbeamwall/common/log.h"
#include "hornbeamwall/net/admin.h"
#include "hornbeamwall/net/caller_listener.h"
#include "hornbeamwall/net/traffic.h"
#include "hornbeamwall/platform/protocol_adapter.h"
#include "hornbeamwall/runtime/order_sender.h"
#include "hornbeamwall/runtime/watch.h"

#include <string.h>

struct HbwInstance
{
  HbwControl *control;
  HbwWatch *watch;
  HbwOrderSender *order_sender;
  HbwAdmin *admin;
  HbwCallerListener *caller; /* of the native interface, or NULL */
  HbwTraffic *traffic;       /* of the platform's interface, or NULL */
};

static gboolean
start_components (HbwInstance *instance, const HbwSettings *settings,
                  HbwClock *clock, HbwError *error)
{
  instance->control = hbw_control_create (settings, clock, error);
  if (instance->control == NULL || !hbw_control_start (instance->control, error))
    return FALSE;
  instance->watch = hbw_watch_create (instance->control, settings, error);
  if (instance->watch == NULL)
    return FALSE;
  gboolean native = strcmp (settings->interface, HBW_INTERFACE_NATIVE) == 0;
  if (native)
    instance->order_sender
        = hbw_order_sender_create (instance->control, settings, error);
  if (native && instance->order_sender == NULL)
    return FALSE;
  instance->admin = hbw_admin_create (instance->control, settings, error);
  if (instance->admin == NULL)
    return FALSE;
  if (!native)
    {
      instance->traffic = hbw_traffic_create (
          instance->control, settings, hbw_platform_protocol_adapter (), error);
      return instance->traffic != NULL;
    }
  instance->caller = hbw_caller_listener_create (instance->control, settings, error);
  return instance->caller != NULL;
}

HbwInstance *
hbw_instance_create (const HbwSettings *settings, HbwClock *clock, HbwError *error)
{
  HbwInstance *instance = g_new0 (HbwInstance, 1);
  if (!start_components (instance, settings, clock, error))
    {
      hbw_instance_destroy (instance);
      return NULL;
    }
  char text[256];
  g_snprintf (text, sizeof text, "instance=%s data_centre=%s version=%s",
              settings->name, settings->data_centre, HBW_VERSION);
  hbw_log_write (HBW_LOG_INSTANCE_STARTED, text);
  return instance;
}

void
hbw_instance_reload (HbwInstance *instance, const HbwSettings *settings)
{
  for (guint i = 0; i + 1 < settings->seeds->len; i++)
    {
      HbwEvent event = { .kind = HBW_EVENT_SEED };
      g_strlcpy (event.seed, g_ptr_array_index (settings->seeds, i),
                 sizeof event.seed);
      hbw_control_submit (instance->control, &event, NULL);
    }
}

void
hbw_instance_drain (HbwInstance *instance)
{
  const HbwEvent event = { .kind = HBW_EVENT_DRAIN };
  hbw_control_submit (instance->control, &event, NULL);
  if (instance->caller != NULL)
    hbw_caller_listener_quiesce (instance->caller);
  if (instance->traffic != NULL)
    hbw_traffic_drain (instance->traffic);
}

void
hbw_instance_stop_store_watch (HbwInstance *instance)
{
  hbw_watch_stop (instance->watch);
}

gboolean
hbw_instance_has_requests (const HbwInstance *instance)
{
  return hbw_control_request_count (instance->control) > 0
         || (instance->traffic != NULL && hbw_traffic_is_in_use (instance->traffic));
}

void
hbw_instance_close_idle (HbwInstance *instance)
{
  if (instance->traffic != NULL)
    hbw_traffic_close_idle (instance->traffic);
}

void
hbw_instance_destroy (HbwInstance *instance)
{
  if (instance->caller != NULL)
    hbw_caller_listener_destroy (instance->caller);
  if (instance->traffic != NULL)
    hbw_traffic_destroy (instance->traffic);
  if (instance->admin != NULL)
    hbw_admin_destroy (instance->admin);
  if (instance->order_sender != NULL)
    hbw_order_sender_destroy (instance->order_sender);
  if (instance->watch != NULL)
    hbw_watch_destroy (instance->watch);
  if (instance->control != NULL)
    hbw_control_destroy (instance->control);
  g_free (instance);
}

guint
hbw_instance_caller_port (const HbwInstance *instance)
{
  return instance->caller != NULL ? hbw_caller_listener_port (instance->caller)
                                  : hbw_traffic_port (instance->traffic);
}

guint
hbw_instance_admin_port (const HbwInstance *instance)
{
  return hbw_admin_port (instance->admin);
}

HbwControl *
hbw_instance_control (HbwInstance *instance)
{
  return instance->control;
}
