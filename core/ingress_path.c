#include "hornbeamwall/core/ingress_path.h"

#include "hornbeamwall/core/metrics.h"

#include <string.h>

void
hbw_ingress_path_choose (HbwContext *context, HbwRequest *request,
                         HbwStartAttempt *start)
{
  HbwPathChoice choice;
  hbw_server_path_choose (context->server_path, context, &choice);
  request->tunnel_peer = choice.peer;
  start->opened_since_us = choice.opened_since_us;
  g_strlcpy (start->tunnel_address, choice.address, sizeof start->tunnel_address);
  if (choice.peer != 0)
    hbw_metrics_control (context->metrics)->tunnelled_attempts++;
}

/* Returns whether the server itself has sent something. */
static gboolean
comes_from_server (const HbwAttemptEnd *end)
{
  return end->outcome == HBW_OUTCOME_COMPLETE || end->outcome == HBW_OUTCOME_FAILED
         || end->outcome == HBW_OUTCOME_REFUSED
         || end->outcome == HBW_OUTCOME_MISDIRECTED;
}

void
hbw_ingress_path_handle_heard (HbwContext *context, const HbwRequest *request)
{
  if (request->tunnel_peer == 0)
    hbw_server_path_handle_heard (context->server_path, context->now_us);
  else
    hbw_server_path_handle_tunnel (context->server_path, context,
                                   request->tunnel_peer, request->server,
                                   request->address);
}

gboolean
hbw_ingress_path_handle_end (HbwContext *context, const HbwRequest *request,
                             const HbwAttemptEnd *end)
{
  HbwServerPath *path = context->server_path;
  gboolean is_unconnected = end->outcome == HBW_OUTCOME_NOT_CONNECTED;
  if (end->tunnel_failed)
    {
      hbw_server_path_handle_no_tunnel (path, request->tunnel_peer, context->now_us);
      return TRUE;
    }
  if (comes_from_server (end))
    hbw_ingress_path_handle_heard (context, request);
  if (request->tunnel_peer != 0)
    return FALSE;
  /* A connection may be reset on the way instead of being refused. */
  if (is_unconnected
      || (end->outcome == HBW_OUTCOME_BROKEN && end->first_token_us == 0))
    hbw_server_path_handle_unconnected (path, context, request->server);
  return hbw_server_path_state (path) == HBW_PATH_LOST
         && (is_unconnected || end->outcome == HBW_OUTCOME_BROKEN
             || end->server_silent);
}

/* Returns the number of servers, up to HBW_PATH_SERVERS_MIN, at which attempts have
   been in progress for HBW_PATH_SILENT_US. */
static guint
count_waited_for (const HbwContext *context, const struct cds_list_head *requests)
{
  const HbwRequest *first = NULL;
  const HbwRequest *request;
  cds_list_for_each_entry (request, requests, link)
    {
      if (request->state != HBW_REQUEST_RUNNING || request->tunnel_peer != 0
          || context->now_us - request->started_us < HBW_PATH_SILENT_US)
        continue;
      if (first == NULL)
        first = request;
      else if (strcmp (first->server, request->server) != 0)
        return HBW_PATH_SERVERS_MIN;
    }
  return first != NULL ? 1 : 0;
}

void
hbw_ingress_path_tick (HbwContext *context, const HbwTopology *topology,
                       const struct cds_list_head *requests)
{
  HbwServerPath *path = context->server_path;
  if (hbw_server_path_state (path) == HBW_PATH_DIRECT)
    hbw_server_path_handle_waiting (path, context,
                                    count_waited_for (context, requests));
  hbw_server_path_tick (path, context, topology);
}
