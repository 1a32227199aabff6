#include "hornbeamwall/net/response_status.h"

#include "hornbeamwall/net/framing.h"

guint
hbw_response_status (ne_request *request)
{
  const ne_status *status = ne_get_status (request);
  gboolean is_valid
      = status->major_version == 1 && hbw_framing_is_status ((guint) status->code);
  return is_valid ? (guint) status->code : 0;
}
