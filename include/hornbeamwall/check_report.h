/*
 * check_report - output of the findings and differences of a configuration
 */
#ifndef HORNBEAMWALL_CHECK_REPORT_H
#define HORNBEAMWALL_CHECK_REPORT_H

#include "hornbeamwall/core/catalogue_check.h"
#include "hornbeamwall/core/catalogue_diff.h"

/* Prints FINDINGS about FILE, one a line, to the standard error stream. */
void hbw_check_report_print_findings (const char *file, const GPtrArray *findings);

/* Prints DIFFERENCES, one a line, to the standard output stream. */
void hbw_check_report_print_differences (const GPtrArray *differences);

/* Appends FINDINGS about FILE to ARRAY as objects. */
void hbw_check_report_append_findings (json_t *array, const char *file,
                                       const GPtrArray *findings);

/* Returns DIFFERENCES as an array of objects, a new reference. */
json_t *hbw_check_report_pack_differences (const GPtrArray *differences);

#endif
