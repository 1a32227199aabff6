/*
 * Tests of the log on standard output: a reader that stops stops nothing, and many
 * lines of one kind are folded and counted.
 */
#include "bed.h"
#include "suite.h"

#include "hornbeamwall/common/log.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Lines of one event in a second, as OPERATIONS.md states it. */
#define LINES_PER_S 200

#define LINES_WRITTEN 5000

/* Standard output, which a test has in its hands for a while. */
typedef struct
{
  int kept;
  int reader;
  int writer;
} Output;

static Output
output_take (void)
{
  int ends[2];
  fflush (stdout);
  ck_assert_int_eq (pipe2 (ends, O_CLOEXEC), 0);
  Output output = { dup (STDOUT_FILENO), ends[0], ends[1] };
  ck_assert_int_eq (dup2 (output.writer, STDOUT_FILENO), STDOUT_FILENO);
  return output;
}

static void
output_give_back (const Output *output)
{
  dup2 (output->kept, STDOUT_FILENO);
  close (output->kept);
  close (output->reader);
  close (output->writer);
}

/* Fills the pipe up, so that one more byte would block. */
static void
output_block (const Output *output)
{
  static const char blanks[4096];
  int flags = fcntl (output->writer, F_GETFL);
  fcntl (output->writer, F_SETFL, flags | O_NONBLOCK);
  while (write (output->writer, blanks, sizeof blanks) > 0)
    continue;
  while (write (output->writer, blanks, 1) > 0)
    continue;
  ck_assert_int_eq (errno, EAGAIN);
  fcntl (output->writer, F_SETFL, flags);
}

START_TEST (output_that_nobody_reads_stops_nothing)
{
  Output output = output_take ();
  output_block (&output);
  Bed *bed = bed_create ();
  for (guint i = 0; i < 50; i++)
    answer_expect (bed_ask (bed, "/safe/ok", BED_KEY, ""), 200, NULL);
  ck_assert_uint_eq (bed_runs (bed, "/safe/ok"), 50);
  bed_destroy (bed);
  output_give_back (&output);
}
END_TEST

typedef struct
{
  guint written;
  guint64 told; /* lines that were folded, as the log says */
} Count;

static void
count_line (const char *text, Count *count)
{
  json_t *line = json_loads (text, 0, NULL);
  ck_assert_msg (line != NULL, "%s", text);
  const char *event = json_string_value (json_object_get (line, "event"));
  if (strcmp (event, "SERVER_DOWN") == 0)
    count->written++;
  if (strcmp (event, "LINES_FOLDED") == 0)
    count->told += (guint64) json_integer_value (json_object_get (line, "lines"));
  json_decref (line);
}

/* Takes what has been written so far. */
static void
take_lines (const Output *output, GString *rest, Count *count)
{
  char bytes[65536];
  fcntl (output->reader, F_SETFL, O_NONBLOCK);
  ssize_t length;
  while ((length = read (output->reader, bytes, sizeof bytes)) > 0)
    g_string_append_len (rest, bytes, length);
  char *end;
  while ((end = strchr (rest->str, '\n')) != NULL)
    {
      *end = '\0';
      count_line (rest->str, count);
      g_string_erase (rest, 0, end - rest->str + 1);
    }
}

START_TEST (many_lines_of_one_event_are_folded_and_counted)
{
  Output output = output_take ();
  GString *rest = g_string_new (NULL);
  Count count = { 0, 0 };
  gint64 first_s = g_get_monotonic_time () / G_USEC_PER_SEC;
  for (guint i = 0; i < LINES_WRITTEN; i++)
    {
      hbw_log_write (HBW_LOG_SERVER_DOWN, "server=s pool=p");
      if (i % 100 == 0)
        take_lines (&output, rest, &count);
    }
  gint64 last_s = g_get_monotonic_time () / G_USEC_PER_SEC;
  take_lines (&output, rest, &count);
  const Count burst = count;
  while (g_get_monotonic_time () / G_USEC_PER_SEC == last_s)
    g_usleep (10000);
  hbw_log_write (HBW_LOG_SERVER_DOWN, "server=s pool=p");
  take_lines (&output, rest, &count);
  g_string_free (rest, TRUE);
  output_give_back (&output);
  ck_assert_uint_ge (burst.written, LINES_PER_S);
  ck_assert_uint_le (burst.written, LINES_PER_S * (guint) (last_s - first_s + 1));
  ck_assert_uint_eq (count.written + count.told, LINES_WRITTEN + 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("log");
  TCase *tests = tcase_create ("log");
  tcase_set_timeout (tests, 0);
  tcase_add_test (tests, output_that_nobody_reads_stops_nothing);
  tcase_add_test (tests, many_lines_of_one_event_are_folded_and_counted);
  suite_add_tcase (suite, tests);
  hbw_log_open ();
  int status = suite_run (suite);
  hbw_log_close ();
  return status;
}
