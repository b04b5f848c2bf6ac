/* Services on a cluster of node processes that write an answer once more,
   where the answer to the next call of the connection is due.  */
#include "check.h"
#include "process_harness.h"
#include "surplus_upstream.h"

#include <stdio.h>
#include <string.h>

#define ENGINES 12
#define CALLS 200
#define FIRST_CALLS_MAX 20
#define STOCK_PATH "/v1/services/order-desk/stock/"

/* Names the item that was asked for.  */
static char *
answer_stock (void *context, const raw_message_t *request)
{
  char **words = g_strsplit (request->first_line, " ", 3);
  const char *item = strrchr (words[1], '/') + 1;
  char *answer = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (item), item);

  g_strfreev (words);
  return answer;
}

static void
add_service (cluster_t *cluster, const surplus_upstream_t *upstream)
{
  char *body = g_strdup_printf (
      "{\"name\":\"surplus-desk\",\"kind\":\"service\","
      "\"address\":\"127.0.0.1\",\"port\":%u,\"data_centre\":\"ne-a\","
      "\"region\":\"new-england\",\"target\":\"order-desk\",\"class\":"
      "\"on_demand\",\"price_micros\":100000,\"state\":\"live\"}",
      surplus_upstream_port (upstream));

  cluster_fakes_post (cluster, "/control/vms", body);
  g_free (body);
}

static long
get_item (cluster_t *cluster, const char *item, bool *foreign)
{
  char *path = g_strconcat (STOCK_PATH, item, NULL);
  cluster_answer_t answer;
  long http_status;

  cluster_caller_get (&answer, cluster, 0, CLUSTER_ACCOUNT, path);
  http_status = answer.http_status;
  *foreign = http_status == 200 && strcmp (answer.body, item) != 0;
  cluster_answer_clear (&answer);
  g_free (path);
  return http_status;
}

/* Guards against a caller that gets the answer to another caller's call.  */
static void
callers_get_their_own_answers (void)
{
  surplus_upstream_t *upstream;
  unsigned answered = 0;
  unsigned foreign = 0;
  bool is_foreign;
  cluster_t cluster;
  char *catalogue = cluster_catalogue ();

  cluster_start (&cluster, ENGINES, 0, catalogue);
  surplus_upstream_create (&upstream, answer_stock, NULL);
  add_service (&cluster, upstream);
  for (unsigned i = 0;
       i < FIRST_CALLS_MAX && get_item (&cluster, "first", &is_foreign) != 200;
       i++)
    ;
  for (unsigned i = 0; i < CALLS; i++)
    {
      char *item = g_strdup_printf ("item-%u", i);

      answered += get_item (&cluster, item, &is_foreign) == 200;
      foreign += is_foreign;
      g_free (item);
    }
  printf ("\n  %u of %u calls answered, %u of them with the answer to another "
          "call; %u answers written once more ",
          answered, CALLS, foreign, surplus_upstream_copies (upstream));
  CU_ASSERT_EQUAL (answered, CALLS);
  CU_ASSERT_EQUAL (foreign, 0);
  CU_ASSERT_EQUAL (cluster.control_failures, 0);
  cluster_stop (&cluster);
  surplus_upstream_destroy (upstream);
  g_free (catalogue);
}

static const check_case_t cases[] = {
  { "callers get their own answers", callers_get_their_own_answers },
};

int
main (void)
{
  return CHECK_RUN ("upstreams that write surplus answers", cases);
}
