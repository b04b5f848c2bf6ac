#include "check.h"

#include "garnetstack/catalogue.h"

#include <string.h>

#define DIGEST                                                                \
  "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
#define CLASS "[class counter]\nowner=o\npurpose=p\n"
#define OPERATOR "[operator dana]\nowner=o\npurpose=p\nkeys=" DIGEST "\n"
#define MODEL                                                                 \
  "[model m]\nowner=o\npurpose=p\nclass=counter\nversions=v\nactive=v\n"
#define ADAPTER                                                               \
  "[adapter a]\nowner=o\npurpose=p\nclass=counter\nbase=m\nversions=v\n"      \
  "active=v\n"
#define VM "[vm engine-1]\nowner=o\npurpose=p\n"

static void
count_fault (void *context, const char *file, const char *section,
             const char *key, const char *reason)
{
  unsigned *faults = context;

  (*faults)++;
}

static void
an_account_is_found_by_its_key (void)
{
  static const char text[] = CLASS "[account shop]\nowner=o\npurpose=p\n"
                                   "class=counter\nkeys=" DIGEST "\n";
  gs_catalogue_t *catalogue;

  CU_ASSERT_EQUAL_FATAL (
      gs_catalogue_parse (&catalogue, text, sizeof text - 1, "t", NULL, NULL),
      GS_OK);
  CU_ASSERT_PTR_NOT_NULL (
      gs_catalogue_account_find_by_key (catalogue, "test"));
  CU_ASSERT_PTR_NULL (gs_catalogue_account_find_by_key (catalogue, "other"));
  gs_catalogue_unref (catalogue);
}

static void
every_fault_is_reported (void)
{
  static const struct
  {
    const char *text;
    unsigned faults;
  } cases[] = {
    { "", 0 },
    { "no section", 1 },
    { "[thing x]\na=b\n", 1 },
    { "[class c]\n", 2 },
    { "[class c]\nowner=o\npurpose=p\nprority=1\n", 1 },
    { "[class c]\nowner=o\npurpose=p\npriority=11\n", 1 },
    { "[model m]\nowner=o\npurpose=p\nclass=c\nversions=v1\nactive=v2\n", 2 },
    { CLASS "[pool p]\nowner=o\npurpose=p\nclass=counter\nmodel=m\n"
            "replicas_min=3\nreplicas_max=2\n",
      2 },
    { CLASS "[account a]\nowner=o\npurpose=p\nclass=counter\nkeys=short\n",
      1 },
    { CLASS CLASS, 1 },
    { "[class a b]\nowner=o\npurpose=p\n", 1 },
    { "[class a/b]\nowner=o\npurpose=p\n", 1 },
    { "[class ]\nowner=o\npurpose=p\n", 1 },
    { "[catalogue]\ngeneration=1\nowner=o\n", 1 },
    { CLASS "share=60\n[class night]\nowner=o\npurpose=p\nshare=41\n", 1 },
    { CLASS "in_flight_max=5\n[service s]\nowner=o\npurpose=p\n"
            "class=counter\nroutes=/\nin_flight_max=6\n",
      1 },
    { CLASS "in_flight_max=5\n[service s]\nowner=o\npurpose=p\n"
            "class=counter\nroutes=/\n",
      0 },
    { CLASS OPERATOR "class=counter\n", 0 },
    { CLASS OPERATOR, 1 },
    { CLASS OPERATOR "class=none\n", 1 },
    { CLASS OPERATOR "class=counter\nchanges_per_hour=1\n", 0 },
    { CLASS OPERATOR "class=counter\nchanges_per_hour=0\n", 1 },
    { CLASS OPERATOR "class=counter\nchanges_per_hour=10001\n", 1 },
    { CLASS OPERATOR "class=counter\nchanges_per_hour=many\n", 1 },
    { CLASS MODEL "in_flight_max=1\n", 0 },
    { CLASS MODEL "in_flight_max=0\n", 1 },
    { CLASS MODEL "in_flight_max=1000001\n", 1 },
    { CLASS MODEL ADAPTER, 0 },
    { CLASS MODEL ADAPTER "in_flight_max=1\n", 0 },
    { CLASS MODEL ADAPTER "in_flight_max=0\n", 1 },
    { CLASS VM "class=counter\n", 0 },
    { CLASS VM "class=counter\nin_flight_max=1\n", 0 },
    { CLASS VM "class=counter\nin_flight_max=0\n", 1 },
    { CLASS VM "class=counter\nin_flight_max=1000001\n", 1 },
    { CLASS VM, 1 },
    { CLASS VM "class=none\n", 1 },
    { CLASS VM "class=counter\nchanges_per_hour=1\n", 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      gs_catalogue_t *catalogue;
      unsigned faults = 0;
      gs_status_t status = gs_catalogue_parse (&catalogue, cases[i].text,
                                               strlen (cases[i].text), "t",
                                               count_fault, &faults);

      CU_ASSERT_EQUAL (faults, cases[i].faults);
      CU_ASSERT_EQUAL (status == GS_OK, cases[i].faults == 0);
      gs_catalogue_unref (catalogue);
    }
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "an_account_is_found_by_its_key", an_account_is_found_by_its_key },
    { "every_fault_is_reported", every_fault_is_reported },
  };

  return CHECK_RUN ("catalogue", cases);
}
