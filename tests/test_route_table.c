#include "check.h"
#include "garnetstack/route_table.h"

#include <string.h>

static void
add_route (gs_route_table_t *table, const char *name, const char *host,
           const char *prefix)
{
  gs_path_route_t route
      = { .splits = g_array_new (FALSE, FALSE, sizeof (gs_route_split_t)) };

  route.name = g_strdup (name);
  route.host = g_strdup (host);
  route.prefix = g_strdup (prefix);
  CU_ASSERT_EQUAL (gs_route_table_route_add (table, &route), GS_OK);
}

static gs_route_table_t *
make_table (void)
{
  gs_route_table_t *table;
  gs_client_account_t account = { .rate = 1 };

  gs_route_table_create (&table, 7, 3);
  add_route (table, "root", "one.example", "/");
  add_route (table, "short", "one.example", "/a/");
  add_route (table, "long", "one.example", "/a/b/");
  add_route (table, "other", "two.example", "/a/");
  account.name = g_strdup ("first");
  gs_route_table_account_add (table, &account);
  gs_route_table_key_add (table, "k1");
  gs_route_table_key_add (table, "k2");
  account.name = g_strdup ("second");
  gs_route_table_account_add (table, &account);
  gs_route_table_key_add (table, "k3");
  return table;
}

static const struct
{
  const char *host;
  const char *target;
  const char *route; /* NULL for none */
} rows[] = {
  { "one.example", "/a/b/c", "long" },
  { "one.example", "/a/b/", "long" },
  { "one.example", "/a/b", "short" },
  { "one.example", "/a/bb/c", "short" },
  { "one.example", "/a/?x=/b/", "short" },
  { "one.example", "/ab", "root" },
  { "ONE.example:80", "/a/x", "short" },
  { "two.example", "/a/x", "other" },
  { "two.example", "/b/x", NULL },
  { "two.exampl", "/a/x", NULL },
  { "", "/a/x", NULL },
  { "one.example", "", NULL },
  { "one.example", "*", NULL },
};

static void
the_longest_prefix_of_the_host_is_chosen (void)
{
  gs_route_table_t *table = make_table ();

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const gs_path_route_t *route
          = gs_route_table_route_find (table, rows[i].host, rows[i].target);

      CU_ASSERT_EQUAL (
          g_strcmp0 (route != NULL ? route->name : NULL, rows[i].route), 0);
    }
  gs_route_table_unref (table);
}

static void
each_key_is_mapped_to_its_account (void)
{
  gs_route_table_t *table = make_table ();

  CU_ASSERT_EQUAL (gs_route_table_key_find (table, "k1"), 0);
  CU_ASSERT_EQUAL (gs_route_table_key_find (table, "k2"), 0);
  CU_ASSERT_EQUAL (gs_route_table_key_find (table, "k3"), 1);
  CU_ASSERT_EQUAL (gs_route_table_key_find (table, ""), -1);
  CU_ASSERT_EQUAL (gs_route_table_key_find (table, "K1"), -1);
  gs_route_table_unref (table);
}

static const check_case_t cases[] = {
  { "the longest prefix of the host is chosen",
    the_longest_prefix_of_the_host_is_chosen },
  { "each key is mapped to its account", each_key_is_mapped_to_its_account },
};

int
main (void)
{
  return CHECK_RUN ("route_table", cases);
}
