/*
 * suite - runs a Check suite and prints the totals
 *
 * Tests run in the process itself, without fork. The last line, "N passed, N
 * failed", is read by scripts/run-tests.sh.
 */
#ifndef HORNBEAMWALL_TESTS_SUITE_H
#define HORNBEAMWALL_TESTS_SUITE_H

#include <check.h>

/* Runs SUITE and frees it. Returns the exit status: 0 if all tests passed. */
int suite_run (Suite *suite);

#endif
