#include "suite.h"

#include <stdio.h>

int
suite_run (Suite *suite)
{
  SRunner *runner = srunner_create (suite);
  srunner_set_fork_status (runner, CK_NOFORK);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  printf ("%d passed, %d failed\n", srunner_ntests_run (runner) - failed, failed);
  srunner_free (runner);
  return failed == 0 ? 0 : 1;
}
