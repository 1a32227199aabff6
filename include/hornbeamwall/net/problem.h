/*
 * problem - what a caller is told when its request is refused
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
  const char *executed;  /* "no" or "unknown"; NULL leaves it out */
  gint64 retry_after_us; /* 0 leaves it out */
} HbwProblem;

/* Returns the JSON of a problem, as a new string. */
char *hbw_problem_format (const HbwProblem *problem);

/* Returns what a caller is told about a refusal by the reducer. */
HbwProblem hbw_problem_of_refusal (const HbwRefuse *refuse);

#endif
