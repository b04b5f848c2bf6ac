#include "check.h"

#include "garnetstack/settings.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define NODE                                                                  \
  "[node]\nname=n\naddress=10.0.0.1\nregion=r\ndata_centre=d\n"               \
  "caller_port=1\noperator_port=2\npeer_port=3\n"
#define PLATFORM "[platform]\nurl=http://10.0.0.9\n"
#define SECURITY "[security]\npeer_key=k\n"

static void
append_fault (void *context, const char *file, const char *section,
              const char *key, const char *reason)
{
  g_string_append_printf (context, "%s/%s ", section, key);
}

static void
every_fault_names_its_section_and_key (void)
{
  static const struct
  {
    const char *text;
    const char *faults;
  } cases[] = {
    { NODE PLATFORM SECURITY, "" },
    { "", "node/name node/address node/region node/data_centre "
          "node/caller_port node/operator_port node/peer_port platform/url "
          "security/peer_key " },
    { "nonsense", "-/- " },
    { NODE "[colour]\nname=x\n" PLATFORM SECURITY, "colour/name " },
    { NODE "port=1\n" PLATFORM SECURITY, "node/port " },
    { NODE "workers=17\n" PLATFORM SECURITY, "node/workers " },
    { NODE PLATFORM SECURITY "[limits]\nbody_bytes=1\nidle_seconds=0\n",
      "limits/body_bytes limits/idle_seconds " },
    { NODE PLATFORM SECURITY "tls_key=/x\n", "security/tls_key " },
    { NODE PLATFORM SECURITY "operator_tls=true\n", "security/operator_tls " },
    { NODE PLATFORM SECURITY "operator_tls=2\n", "security/operator_tls " },
    { NODE PLATFORM SECURITY "[log]\nlevel=loud\n", "log/level " },
    { "[node]\nname=n\naddress=host\nregion=r\ndata_centre=d\n"
      "caller_port=0\noperator_port=x\npeer_port=65536\n" PLATFORM SECURITY,
      "node/address node/caller_port node/operator_port node/peer_port " },
  };
  char path[] = "/tmp/gs_test_settings_XXXXXX";
  int fd = g_mkstemp (path);

  CU_ASSERT_TRUE_FATAL (fd >= 0);
  close (fd);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      GString *faults = g_string_new (NULL);
      gs_settings_t settings;
      gs_status_t status;

      CU_ASSERT_TRUE (g_file_set_contents (path, cases[i].text, -1, NULL));
      status = gs_settings_read (&settings, path, append_fault, faults);
      CU_ASSERT_STRING_EQUAL (faults->str, cases[i].faults);
      CU_ASSERT_EQUAL (status == GS_OK, faults->len == 0);
      g_string_free (faults, TRUE);
    }
  g_unlink (path);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "every_fault_names_its_section_and_key",
      every_fault_names_its_section_and_key },
  };

  return CHECK_RUN ("settings", cases);
}
