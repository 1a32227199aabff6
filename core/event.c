#include "hornbeamwall/core/event.h"

static const char *const check_result_names[HBW_SERVER_CHECK_COUNT] = {
  [HBW_SERVER_CHECK_REFUSED] = "refused",
  [HBW_SERVER_CHECK_ACCEPTED] = "accepted",
  [HBW_SERVER_CHECK_NO_ANSWER] = "no_answer",
};

const char *
hbw_server_check_result_name (HbwServerCheckKind kind)
{
  return check_result_names[kind];
}
