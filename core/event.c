#include "hornbeamwall/core/event.h"

static const char *const check_result_names[HBW_SERVER_CHECK_COUNT] = {
  [HBW_SERVER_CHECK_REFUSED] = "refused",
  [HBW_SERVER_CHECK_ACCEPTED] = "accepted",
  [HBW_SERVER_CHECK_NO_ANSWER] = "no_answer",
};

gboolean
hbw_server_notice_is_empty (const HbwServerNotice *notice)
{
  return notice->limit_kind == HBW_SERVER_LIMIT_NONE && !notice->is_leaving
         && notice->pause_us == 0 && notice->brittle == 0;
}

const char *
hbw_server_check_result_name (HbwServerCheckKind kind)
{
  return check_result_names[kind];
}
