#include "garnetstack/metrics.h"

#include "garnetstack/thread.h"

#include <ck_pr.h>
#include <glib.h>

static uint64_t counters[GS_METRIC_COUNT];

static const char *const names[GS_METRIC_COUNT] = {
  [GS_METRIC_REQUESTS_RECEIVED] = "requests_received",
  [GS_METRIC_REQUESTS_ACCEPTED] = "requests_accepted",
  [GS_METRIC_REQUESTS_ANSWERED] = "requests_answered",
  [GS_METRIC_REQUESTS_NOT_RUN] = "requests_not_run",
  [GS_METRIC_REQUESTS_FAILED] = "requests_failed",
  [GS_METRIC_REQUESTS_UNKNOWN] = "requests_unknown",
  [GS_METRIC_DISPATCHES] = "dispatches",
  [GS_METRIC_CHUNKS_DROPPED] = "chunks_dropped",
  [GS_METRIC_TOKENS_OUT] = "tokens_out",
  [GS_METRIC_PEERS_REFUSED] = "peers_refused",
  [GS_METRIC_RECOMPUTED_UPSTREAM_LOST] = "tokens_recomputed_upstream_lost",
  [GS_METRIC_RECOMPUTED_UPSTREAM_LEAVING]
  = "tokens_recomputed_upstream_leaving",
  [GS_METRIC_RECOMPUTED_NODE_LOST] = "tokens_recomputed_node_lost",
  [GS_METRIC_RECOMPUTED_HANDED_OVER] = "tokens_recomputed_handed_over",
  [GS_METRIC_REQUESTS_TAKEN_OVER] = "requests_taken_over",
  [GS_METRIC_PEERS_FOREIGN] = "peers_foreign",
  [GS_METRIC_PEERS_REFLECTED] = "peers_reflected",
  [GS_METRIC_PEERS_REPLACED] = "peers_replaced",
  [GS_METRIC_STORE_READS] = "store_reads",
  [GS_METRIC_STORE_WRITES] = "store_writes",
  [GS_METRIC_STORE_FAILURES] = "store_failures",
  [GS_METRIC_CATALOGUES_ADOPTED] = "catalogues_adopted",
  [GS_METRIC_CATALOGUES_REPAIRED] = "catalogues_repaired",
  [GS_METRIC_NOTICES] = "notices",
  [GS_METRIC_LOADS_ASKED] = "loads_asked",
  [GS_METRIC_PEER_BYTES_OUT] = "peer_bytes_out",
  [GS_METRIC_INPUT_REFUSED] = "input_refused",
  [GS_METRIC_LOG_LINES_SUPPRESSED] = "log_lines_suppressed",
  [GS_METRIC_ADMISSIONS_REFUSED] = "admissions_refused",
};

void
gs_metric_add (gs_metric_t metric, uint64_t amount)
{
  ck_pr_add_64 (&counters[metric], amount);
}

uint64_t
gs_metric_get (gs_metric_t metric)
{
  return ck_pr_load_64 (&counters[metric]);
}

char *
gs_metrics_text (void)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < GS_METRIC_COUNT; i++)
    g_string_append_printf (
        text,
        "# TYPE garnetstack_%s_total counter\n"
        "garnetstack_%s_total %llu\n",
        names[i], names[i],
        (unsigned long long)gs_metric_get ((gs_metric_t)i));
  gs_thread_append_metrics (text);
  return g_string_free (text, FALSE);
}
