/*
 * problem - the error response to a request that is refused
 */
#ifndef HORNBEAMWALL_NET_PROBLEM_H
#define HORNBEAMWALL_NET_PROBLEM_H

#include "hornbeamwall/core/effect.h"

/* A refusal as problem JSON (RFC 9457). */
typedef struct
{
  guint status;
  const char *title;
  const char *detail;
  const char *remedy;
  const char *executed;  /* "no" or "unknown"; omitted if NULL */
  gint64 retry_after_us; /* omitted if 0 */
} HbwProblem;

/* Returns the problem as JSON; free with g_free(). */
char *hbw_problem_format (const HbwProblem *problem);

/* Returns the problem that describes a refusal by the reducer.  Its strings are
   static. */
HbwProblem hbw_problem_from_refusal (const HbwRefuseRequest *refuse);

#endif
