/*
 * suite - runs a Check suite and prints the totals
 *
 * Tests run in the process itself, without fork. The last line, "N passed, N
 * failed", is read by scripts/run-tests.sh.
 */
#ifndef HORNBEAMWALL_TESTS_SUITE_H
#define HORNBEAMWALL_TESTS_SUITE_H

#include <check.h>

/* Adds TEST as a test case NAME of its own, without a time limit.  A line "test
   NAME:
   ..." of KNOWN-RED.txt passes over its failure, which is then printed. */
void suite_add_test (Suite *suite, const char *name, const TTest *test);

/* Returns the resident memory of the process, in bytes. */
size_t suite_count_resident_bytes (void);

/* Runs SUITE and frees it. Returns the exit status: 0 if all tests passed. */
int suite_run (Suite *suite);

#endif
