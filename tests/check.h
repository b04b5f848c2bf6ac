/**
 * @file check.h
 * Runs a CUnit test program with one suite of named cases.  A case that
 * KNOWN-RED.txt lists as "test: SUITE/CASE" is run and its result printed, but
 * a failure of it is not counted.  The environment variable GS_CASE runs only
 * the cases whose name contains its value, by hand.
 */
#ifndef GS_TESTS_CHECK_H
#define GS_TESTS_CHECK_H

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *name;
  void (*run) (void);
} check_case_t;

/** @return text of the file that GS_KNOWN_RED names, which the caller frees,
   or NULL. */
static inline char *
check_read_known_red (void)
{
  const char *path = getenv ("GS_KNOWN_RED");
  char *text = NULL;

  if (path != NULL)
    g_file_get_contents (path, &text, NULL, NULL);
  return text;
}

/** @return true when a case is listed as failing for a known fault. */
static inline bool
check_is_known_red (const char *text, const char *suite, const char *name)
{
  char *entry = g_strdup_printf ("test: %s/%s", suite, name);
  char **lines = g_strsplit (text != NULL ? text : "", "\n", -1);
  bool found = g_strv_contains ((const char *const *)lines, entry);

  g_strfreev (lines);
  g_free (entry);
  return found;
}

/** @return number of failed cases that are not known to fail. */
static inline unsigned
check_count_failures (const char *suite_name, const check_case_t *cases,
                      size_t count)
{
  char *red = check_read_known_red ();
  unsigned failures = 0;

  for (size_t i = 0; i < count; i++)
    {
      bool known = check_is_known_red (red, suite_name, cases[i].name);
      bool failed = false;

      for (CU_pFailureRecord record = CU_get_failure_list (); record != NULL;
           record = record->pNext)
        failed |= record->pTest != NULL
                  && g_strcmp0 (record->pTest->pName, cases[i].name) == 0;
      if (known)
        printf ("known red: %s/%s %s\n", suite_name, cases[i].name,
                failed ? "fails" : "passes now");
      failures += failed && !known;
    }
  g_free (red);
  return failures;
}

/** Run the cases of one suite.  @return exit code of the program. */
static inline int
check_run (const char *suite_name, const check_case_t *cases, size_t count)
{
  const char *only = getenv ("GS_CASE");
  size_t added = 0;
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite (suite_name, NULL, NULL);
  for (size_t i = 0; i < count; i++)
    if (only == NULL || strstr (cases[i].name, only) != NULL)
      {
        CU_add_test (suite, cases[i].name, cases[i].run);
        added++;
      }
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = check_count_failures (suite_name, cases, count)
             + (CU_get_number_of_tests_run () != added) + (added == 0);
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}

#define CHECK_RUN(suite, cases)                                               \
  check_run (suite, cases, sizeof (cases) / sizeof *(cases))

#endif
