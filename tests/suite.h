/*
 * suite - runs Check suites in one process and prints a closing line
 */
#ifndef HORNBEAMWALL_TESTS_SUITE_H
#define HORNBEAMWALL_TESTS_SUITE_H

#include <check.h>

/* Runs SUITE; returns the exit status. */
int suite_run (Suite *suite);

#endif
