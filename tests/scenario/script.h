/*
 * script - a scenario file: a world, a workload, faults and expectations
 *
 * docs/SCENARIOS.md has the grammar.
 */
#ifndef HORNBEAMWALL_TESTS_SCRIPT_H
#define HORNBEAMWALL_TESTS_SCRIPT_H

#include "world.h"

typedef struct Script Script;

typedef struct
{
  guint seed;
  const char *policy; /* NULL takes the file's own */
  gboolean trace;
  const char *without; /* a load that is left out, or NULL */
} ScriptRun;

/* Reads a file; returns NULL after printing what is wrong with which line. */
Script *script_load (const char *path);
void script_destroy (Script *script);

/* Returns the seeds of the file, FIRST to LAST. */
void script_seeds (const Script *script, guint *first, guint *last);

/* Runs the scenario once.  Returns the world, run to its end, or NULL where a line
   names something that is not there. */
World *script_run (const Script *script, const ScriptRun *run);

/* Returns the first expectation that WORLD does not meet, or that it broke something
   that must always hold, as a new text; NULL where all is well. */
char *script_judge (const Script *script, const World *world, const ScriptRun *run);

#endif
