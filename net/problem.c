#include "hornbeamwall/net/problem.h"

#include "hornbeamwall/common/clock.h"

#include <jansson.h>
#include <stdlib.h>

char *
hbw_problem_format (const HbwProblem *problem)
{
  json_t *root = json_pack ("{s:s, s:i, s:s}", "type", "about:blank", "status",
                            (int) problem->status, "title", problem->title);
  if (problem->detail != NULL)
    json_object_set_new (root, "detail", json_string (problem->detail));
  if (problem->remedy != NULL)
    json_object_set_new (root, "remedy", json_string (problem->remedy));
  if (problem->executed != NULL)
    json_object_set_new (root, "executed", json_string (problem->executed));
  if (problem->retry_after_us > 0)
    json_object_set_new (root, "retry_after_ms",
                         json_integer (problem->retry_after_us / HBW_US_PER_MS));
  char *dump = json_dumps (root, JSON_COMPACT);
  char *text = g_strdup (dump);
  free (dump);
  json_decref (root);
  return text;
}

typedef struct
{
  guint status;
  const char *title;
  const char *remedy;
} ReasonText;

static const ReasonText reason_texts[HBW_REASON_COUNT] = {
  [HBW_REASON_QUEUE_FULL]
  = { 503, "the queue of this class is full", "send it again after retry_after_ms" },
  [HBW_REASON_DEADLINE]
  = { 504, "the deadline cannot be met", "allow more time or send it again later" },
  [HBW_REASON_LIMIT] = { 429, "the organisation's limit is used up",
                         "send it again after retry_after_ms" },
  [HBW_REASON_NO_SERVER] = { 503, "no backend server could take the request",
                             "send it again after retry_after_ms" },
  [HBW_REASON_QUARANTINED]
  = { 422, "backend servers failed while they ran this request",
      "change the request; it is refused until retry_after_ms have passed" },
  [HBW_REASON_BROKEN] = { 502, "the backend server's answer broke off",
                          "send it again only if it may run twice" },
  [HBW_REASON_DRAINING]
  = { 503, "this instance is stopping", "send it again over a new connection" },
  [HBW_REASON_DUPLICATE_KEY]
  = { 409, "a request with this Idempotency-Key was accepted before",
      "look up the outcome of the first one" },
  [HBW_REASON_NO_STORE]
  = { 503, "the platform's store does not answer, which keeps Idempotency-Keys",
      "send it again after retry_after_ms" },
  [HBW_REASON_TIMEOUT] = { 504, "the time that the operator allows is over",
                           "send it again only if it may run twice" },
  [HBW_REASON_NO_CATALOGUE]
  = { 503, "this instance knows no catalogue that is new enough",
      "send it again after retry_after_ms" },
  [HBW_REASON_NO_ENDPOINT] = { 404, "no such endpoint", "check host and path" },
  [HBW_REASON_NO_KEY] = { 401, "key not known", "send a key of the catalogue" },
  [HBW_REASON_STREAM_UNKNOWN]
  = { 503, "no instance knows which version of the backend server began the stream",
      "name the request that brought its first event, or begin the stream again" },
  [HBW_REASON_VERSION_GONE]
  = { 503, "no backend server of the version that began the stream is in service",
      "begin the stream again" },
  [HBW_REASON_OVERLOADED] = { 503, "this instance holds too many requests",
                              "send it again after retry_after_ms" },
};

HbwProblem
hbw_problem_from_refusal (const HbwRefuseRequest *refuse)
{
  const ReasonText *text = &reason_texts[refuse->reason];
  HbwProblem problem = { .status = text->status,
                         .title = text->title,
                         .detail = hbw_reason_name (refuse->reason),
                         .remedy = text->remedy };
  problem.executed = refuse->executed == HBW_EXECUTED_NO ? "no" : "unknown";
  problem.retry_after_us = refuse->retry_after_us;
  return problem;
}
