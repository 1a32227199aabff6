#include "hornbeamwall/runtime/instance.h"

#include "hornbeamwall/common/log.h"
#include "hornbeamwall/net/admin.h"
#include "hornbeamwall/net/caller.h"
#include "hornbeamwall/runtime/orderer.h"
#include "hornbeamwall/runtime/watch.h"

struct HbwInstance
{
  HbwControl *control;
  HbwWatch *watch;
  HbwOrderer *orderer;
  HbwAdmin *admin;
  HbwCaller *caller;
};

static gboolean
start (HbwInstance *instance, const HbwSettings *settings, HbwClock *clock,
       HbwError *error)
{
  instance->control = hbw_control_create (settings, clock, error);
  if (instance->control == NULL || !hbw_control_start (instance->control, error))
    return FALSE;
  instance->watch
      = hbw_watch_create (instance->control, settings->platform_address, error);
  if (instance->watch == NULL)
    return FALSE;
  instance->orderer = hbw_orderer_create (instance->control, settings, error);
  if (instance->orderer == NULL)
    return FALSE;
  instance->admin = hbw_admin_create (instance->control, settings, error);
  if (instance->admin == NULL)
    return FALSE;
  instance->caller = hbw_caller_create (instance->control, settings, error);
  return instance->caller != NULL;
}

HbwInstance *
hbw_instance_create (const HbwSettings *settings, HbwClock *clock, HbwError *error)
{
  HbwInstance *instance = g_new0 (HbwInstance, 1);
  if (!start (instance, settings, clock, error))
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
hbw_instance_drain (HbwInstance *instance)
{
  const HbwEvent event = { .kind = HBW_EVENT_DRAIN };
  hbw_control_submit (instance->control, &event, NULL);
  hbw_caller_quiesce (instance->caller);
}

gboolean
hbw_instance_is_busy (const HbwInstance *instance)
{
  return hbw_control_request_count (instance->control) > 0;
}

void
hbw_instance_destroy (HbwInstance *instance)
{
  if (instance->caller != NULL)
    hbw_caller_destroy (instance->caller);
  if (instance->admin != NULL)
    hbw_admin_destroy (instance->admin);
  if (instance->orderer != NULL)
    hbw_orderer_destroy (instance->orderer);
  if (instance->watch != NULL)
    hbw_watch_destroy (instance->watch);
  if (instance->control != NULL)
    hbw_control_destroy (instance->control);
  g_free (instance);
}

guint
hbw_instance_caller_port (const HbwInstance *instance)
{
  return hbw_caller_port (instance->caller);
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
