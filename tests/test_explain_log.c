#include "check.h"
#include "cmd/explain_log.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

/* Log lines of two nodes around the loss of replica i-1, in order of time.  */
static const char log_lines[]
    = "ts=10.0 level=info node=n1 event=start version=1\n"
      "ts=19.5 level=info node=n1 event=replica id=i-1 state=ready\n"
      "ts=19.6 level=info node=n1 event=replica id=i-2 state=ready\n"
      "ts=20.0 level=info node=n1 event=placed id=a replica=i-1 send=1\n"
      "ts=20.1 level=info node=n2 event=placed id=b replica=i-2 send=1\n"
      "ts=20.2 level=info node=n1 event=attempt id=a replica=i-1"
      " outcome=unknown\n"
      "ts=20.2 level=warn node=n1 event=replica_left_out id=i-1"
      " reason=failures\n"
      "ts=20.2 level=info node=n1 event=request id=a outcome=failed"
      " status=502 reason=replica_lost\n"
      "ts=20.3 level=info node=n2 event=request id=b outcome=answered"
      " status=200 reason=replica_answered\n"
      "ts=21.0 level=info node=n1 event=placed id=c replica=i-2 send=1\n"
      "ts=21.5 level=info node=n2 event=placed id=d replica=i-2 send=1\n"
      "ts=22.0 level=info node=n1 event=start version=1\n";

static char *
run_explain (gs_status_t (*explain) (FILE *, const char *, const char *),
             const char *argument, gs_status_t *status)
{
  char *path = NULL;
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  int fd = g_file_open_tmp ("explain-XXXXXX", &path, NULL);

  CU_ASSERT_FATAL (fd >= 0);
  close (fd);
  g_file_set_contents (path, log_lines, -1, NULL);
  *status = explain (out, path, argument);
  fclose (out);
  g_unlink (path);
  g_free (path);
  return text;
}

static void
a_failed_request_is_shown_with_the_state_of_its_node (void)
{
  gs_status_t status;
  char *text = run_explain (gs_explain_log, "a", &status);

  CU_ASSERT_EQUAL (status, GS_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "event=placed id=a"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "event=attempt id=a"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "reason=replica_lost"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "event=replica id=i-1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "event=replica_left_out id=i-1"));
  /* Lines of another node, another replica or an earlier time. */
  CU_ASSERT_PTR_NULL (strstr (text, "id=b"));
  CU_ASSERT_PTR_NULL (strstr (text, "id=i-2"));
  CU_ASSERT_PTR_NULL (strstr (text, "ts=10.0"));
  free (text);
}

static void
a_request_without_lines_is_an_error (void)
{
  gs_status_t status;
  char *text = run_explain (gs_explain_log, "zz", &status);

  CU_ASSERT_EQUAL (status, GS_ENOTFOUND);
  CU_ASSERT_STRING_EQUAL (text, "");
  free (text);
}

static gs_status_t
unexplained (FILE *out, const char *path, const char *argument)
{
  unsigned count;
  gs_status_t status = gs_explain_unexplained_print (out, path, &count);

  (void)argument;
  fprintf (out, "count=%u\n", count);
  return status;
}

/* The restart of node n1 explains the end of request c, which was open then.
   No line explains the end of request d.  */
static void
only_ends_without_a_cause_are_listed (void)
{
  gs_status_t status;
  char *text = run_explain (unexplained, NULL, &status);

  CU_ASSERT_EQUAL (status, GS_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "event=placed id=d"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "count=1\n"));
  free (text);
}

static const check_case_t cases[] = {
  { "a failed request is shown with the state of its node",
    a_failed_request_is_shown_with_the_state_of_its_node },
  { "a request without lines is an error",
    a_request_without_lines_is_an_error },
  { "only ends without a cause are listed",
    only_ends_without_a_cause_are_listed },
};

int
main (void)
{
  return CHECK_RUN ("explain_log", cases);
}
