/*
 * script - parses and runs a scenario file: topology, workload, faults and
 * expectations
 *
 * docs/SCENARIOS.md describes the grammar.
 */
#ifndef HORNBEAMWALL_TESTS_SCRIPT_H
#define HORNBEAMWALL_TESTS_SCRIPT_H

#include "world.h"

typedef struct Script Script;

typedef struct
{
  guint seed;
  const char *policy;
  gboolean trace;
  const char *omitted_load; /* name of a load that is not run, or NULL */
} ScriptOptions;

/* Parses the file at PATH.  Prints an error with its line number and returns NULL if
   the file is invalid. */
Script *script_load (const char *path);
void script_destroy (Script *script);

/* Returns the range of seeds that the file names, FIRST to LAST inclusive. */
void script_seed_range (const Script *script, guint *first, guint *last);

/* Returns the policies that the file names, or the default; free with
   g_strfreev(). */
char **script_policies (const Script *script);

/* Runs the scenario once.  Returns the world after the run, owned by the caller, or
   NULL after printing an error if a line refers to an unknown name. */
World *script_run (const Script *script, const ScriptOptions *run);

/* Checks the invariants and the expectations of the script.  Returns a description
   of the first violation, owned by the caller, or NULL if there is none. */
char *script_check_expectations (const Script *script, const World *world,
                                 const ScriptOptions *run);

#endif
