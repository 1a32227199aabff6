/*
 * commands - the subcommands of the program
 *
 * Each handler receives its own name and the arguments after it, and returns the
 * exit status: 0 for success, 1 if the operation failed or was refused, 2 for a
 * wrong command line.  3 is that of a check which found nothing but warnings.
 */
#ifndef HORNBEAMWALL_COMMANDS_H
#define HORNBEAMWALL_COMMANDS_H

#include "hornbeamwall/common/error.h"

#define HBW_EXIT_OK 0
#define HBW_EXIT_FAILED 1
#define HBW_EXIT_USAGE 2
#define HBW_EXIT_WARNINGS 3

typedef int (*HbwCommandHandler) (int argc, char **argv);

typedef struct
{
  const char *name;
  const char *summary;
  HbwCommandHandler handler;
} HbwCommand;

int hbw_command_catalogue (int argc, char **argv);
int hbw_command_check_config (int argc, char **argv);
int hbw_command_events (int argc, char **argv);
int hbw_command_hash_key (int argc, char **argv);
int hbw_command_serve (int argc, char **argv);
int hbw_command_status (int argc, char **argv);
int hbw_command_stop (int argc, char **argv);

/* Parses the options ENTRIES and removes them from the arguments.  SUMMARY and
   PARAMETERS are shown by --help.  Prints an error and returns FALSE if the command
   line is wrong. */
gboolean hbw_command_parse (int *argc, char ***argv, const GOptionEntry *entries,
                            const char *parameters, const char *summary);

#endif
