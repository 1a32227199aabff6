/*
 * soak_part - requests with a part of a prompt that crashes servers, and sound ones
 * beside them
 *
 * The requests with the part come at any instance, no two alike, and share their key
 * and their first part with the sound ones.  Later than SOAK_STABLE_US after the
 * fifth crash, instances that were not interrupted in that time send three at most
 * to servers.  From twice that time after the fifth crash (the last, if there are
 * fewer), sound requests are served at their first attempt at least half as often as
 * before.
 */
#ifndef HORNBEAMWALL_TESTS_SOAK_PART_H
#define HORNBEAMWALL_TESTS_SOAK_PART_H

#include "soak_state.h"

#include "standin/harmful.h"

#define SOAK_STABLE_US 3000000

typedef struct SoakPart SoakPart;

typedef struct
{
  const char *path_kind; /* of all requests: "safe" or "unsafe" */
  const char *parts; /* format of the parts of harmful requests, with their number;
                        NULL: they are one request, which has none */
  const char *part;  /* the harmful one */
  HarmfulEnd end;
  guint crashes_counted; /* crashes after which harmful requests are counted */
  guint interval_ms;     /* mean time between two harmful requests */
  guint sound_callers;   /* each sends five requests a second */
  gboolean is_calm;      /* shares of sound requests are compared */
} SoakPartConfig;

/* Starts the sound callers until SOAK is stopping.  CONFIG is kept by the caller. */
SoakPart *soak_part_create (Soak *soak, const SoakPartConfig *config, guint32 seed);

/* Starts the requests with the part, or ends them and checks what they did. */
void soak_part_begin (SoakPart *part);
void soak_part_end (SoakPart *part);

/* Waits for the callers to end. */
void soak_part_destroy (SoakPart *part);

#endif
