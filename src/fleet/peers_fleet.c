#include "fleet/peers_private.h"

#include <string.h>
#include <xxhash.h>

/* A digest counts as the present load of its node for this many exchange
   intervals, a report, summary or view for more, as a call that is lost takes
   as long as several.  */
#define DIGEST_FRESH_INTERVALS 2
#define REPORT_FRESH_INTERVALS 3
/* What aggregators say about nodes is believed for this long after the last
   message of an aggregator: while one aggregator replaces another, the
   addresses of a data centre must not disappear.  */
#define STATUS_TTL (2 * GS_SEC)
/* Interval at which the aggregate for views is made anew, and at which an
   aggregator updates what the others say.  */
#define AGGREGATE_INTERVAL (50 * GS_MSEC)
/* Allowed time to transfer a message and to hand it over between the two
   threads at each end, which process messages every 10 ms.  The part of this
   time that they do not need covers slower nodes.  */
#define MESSAGE_DELAY_MAX (100 * GS_MSEC)

void
peer_process_free (gpointer data)
{
  peer_process_t *process = data;

  aggregate_clear (&process->aggregate);
  g_free (process);
}

void
peer_summary_free (gpointer data)
{
  peer_summary_t *summary = data;

  peer_message_clear (&summary->message);
  g_free (summary);
}

gs_time_t
peers_fresh_ttl (const peers_t *peers, peer_call_t call)
{
  return (call == CALL_DIGEST ? DIGEST_FRESH_INTERVALS
                              : REPORT_FRESH_INTERVALS)
         * peers_call_interval (peers, call);
}

static bool
is_fresh (const peers_t *peers, peer_call_t call, gs_time_t received_at,
          gs_time_t now)
{
  return now <= received_at + peers_fresh_ttl (peers, call);
}

static void
swap_usage (aggregate_t *a, aggregate_t *b)
{
  GArray *usage = a->usage;

  a->usage = b->usage;
  b->usage = usage;
}

void
peers_report_store (peers_t *peers, gs_time_t now,
                    const digest_member_t *member, uint64_t sequence,
                    aggregate_t *aggregate, bool has_usage)
{
  peer_process_t *process
      = g_hash_table_lookup (peers->processes, &member->incarnation);
  const peer_t *peer = g_hash_table_lookup (peers->by_name, member->name);

  if (process == NULL)
    {
      process = g_new0 (peer_process_t, 1);
      process->incarnation = member->incarnation;
      process->node = peers_hash (member->name);
      g_hash_table_insert (peers->processes, &process->incarnation, process);
    }
  else if (!has_usage)
    swap_usage (&process->aggregate, aggregate);
  aggregate_clear (&process->aggregate);
  process->aggregate = *aggregate;
  process->data_centre = peer != NULL ? peer->data_centre : 0;
  process->sequence = sequence;
  process->received_at = now;
}

void
peers_summary_store (peers_t *peers, gs_time_t now, peer_message_t *message)
{
  peer_summary_t *summary
      = g_hash_table_lookup (peers->summaries, &message->self.incarnation);

  if (summary == NULL)
    {
      summary = g_new0 (peer_summary_t, 1);
      summary->incarnation = message->self.incarnation;
      g_hash_table_insert (peers->summaries, &summary->incarnation, summary);
    }
  else
    {
      if (!message->has_usage)
        swap_usage (&summary->message.aggregate, &message->aggregate);
      peer_message_clear (&summary->message);
    }
  summary->message = *message;
  summary->data_centre = peers_hash (message->self.data_centre);
  summary->received_at = now;
}

static void
statuses_add (GHashTable *out, const GArray *statuses)
{
  for (guint i = 0; i < statuses->len; i++)
    {
      const peer_status_t *status
          = &g_array_index (statuses, peer_status_t, i);

      g_hash_table_insert (out, g_memdup2 (&status->node, sizeof status->node),
                           GUINT_TO_POINTER (status->flags));
    }
}

static GHashTable *
statuses_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

void
peers_view_store (peers_t *peers, gs_time_t now, peer_message_t *message)
{
  GHashTable *statuses;

  if (message->aggregate.nodes < peers->view.aggregate.nodes
      && is_fresh (peers, CALL_REPORT, peers->view_received_at, now))
    {
      peer_message_clear (message);
      return;
    }
  if (message->has_statuses)
    {
      statuses = statuses_new ();
      statuses_add (statuses, message->statuses);
      g_hash_table_unref (peers->statuses);
      peers->statuses = statuses;
      peers->statuses_version = message->status_version;
    }
  if (message->status_version == peers->statuses_version)
    peers->statuses_at = now;
  for (unsigned i = 0; i < PEERS_SENT_REPORTS; i++)
    if (message->sequence != 0 && peers->sent[i].sequence == message->sequence)
      aggregate_subtract (&message->aggregate, &peers->sent[i].aggregate);
  peer_message_clear (&peers->view);
  peers->view = *message;
  peers->view_received_at = now;
}

/* @return the process that runs at a peer, by its last message  */
static const peer_process_t *
current_process (const peers_t *peers, const peer_t *peer)
{
  return g_hash_table_lookup (peers->processes, &peer->member.incarnation);
}

/* @return the summary of a data centre that covers most nodes, among those
   that are fresh; NULL if there is none  */
static const peer_summary_t *
best_summary (const peers_t *peers, gs_time_t now, uint64_t data_centre)
{
  const peer_summary_t *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->summaries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_summary_t *summary = value;

      if (summary->data_centre != data_centre
          || !is_fresh (peers, CALL_SUMMARY, summary->received_at, now))
        continue;
      if (best == NULL
          || summary->message.aggregate.nodes > best->message.aggregate.nodes
          || (summary->message.aggregate.nodes == best->message.aggregate.nodes
              && summary->received_at > best->received_at))
        best = summary;
    }
  return best;
}

/* Calls a function for the best summary of each other data centre.  */
static void
foreach_data_centre (const peers_t *peers, gs_time_t now,
                     void (*callback) (void *context,
                                       const peer_summary_t *summary),
                     void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->summaries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_summary_t *summary = value;

      if (summary->data_centre != peers->data_centre
          && best_summary (peers, now, summary->data_centre) == summary)
        callback (context, summary);
    }
}

/* While no summary of a data centre is fresh, the last ones count.  Before the
   first summary, what this node was statuses as a leaf counts.  */
static void
update_statuses (peers_t *peers, gs_time_t now)
{
  GHashTable *statuses;
  GHashTableIter iter;
  gpointer value;

  if (now < peers->statuses_due)
    return;
  statuses = statuses_new ();
  peers->statuses_due = now + AGGREGATE_INTERVAL;
  g_hash_table_iter_init (&iter, peers->summaries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_summary_t *summary = value;
      const peer_summary_t *best
          = best_summary (peers, now, summary->data_centre);

      if (summary->data_centre != peers->data_centre
          && (best == summary
              || (best == NULL && now <= summary->received_at + STATUS_TTL)))
        statuses_add (statuses, summary->message.statuses);
    }
  if (g_hash_table_size (statuses) == 0
      && now <= peers->view_received_at + STATUS_TTL)
    {
      g_hash_table_unref (statuses);
      return;
    }
  g_hash_table_unref (peers->statuses);
  peers->statuses = statuses;
  peers->statuses_at = now;
  peers->statuses_version = 0;
}

void
peers_fleet_tick (peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now > ((peer_process_t *)value)->received_at + PEERS_REPORT_TTL)
      g_hash_table_iter_remove (&iter);
  g_hash_table_iter_init (&iter, peers->summaries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now > ((peer_summary_t *)value)->received_at + PEERS_REPORT_TTL)
      g_hash_table_iter_remove (&iter);
  if (peers->role == PEERS_ROLE_AGGREGATOR)
    update_statuses (peers, now);
}

bool
peers_is_live (const peers_t *peers, const peer_t *peer, gs_time_t now,
               uint32_t *flags)
{
  gpointer found;

  *flags = peer->flags;
  if (peers_is_heard (peers, peer, now))
    return true;
  if (peers->role == PEERS_ROLE_MESH || now > peers->statuses_at + STATUS_TTL
      || !g_hash_table_lookup_extended (peers->statuses, &peer->node, NULL,
                                        &found))
    return false;
  *flags = GPOINTER_TO_UINT (found);
  return true;
}

static int
compare_statuses (gconstpointer a, gconstpointer b)
{
  const peer_status_t *left = a;
  const peer_status_t *right = b;

  return left->node < right->node ? -1 : left->node > right->node;
}

static void
add_own_status (const peers_t *peers, GArray *out)
{
  peers_state_t state;
  peer_status_t status = { .node = peers->node };

  peers->listener.get_state (peers->listener.context, &state);
  status.flags = state.flags;
  g_array_append_val (out, status);
}

/* @param heard_only only nodes of this data centre that are heard directly
   @return version of the statuses  */
static uint64_t
collect_statuses (const peers_t *peers, gs_time_t now, bool heard_only,
                  GArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_array_set_size (out, 0);
  add_own_status (peers, out);
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      uint32_t flags;
      bool live = peers_is_live (peers, peer, now, &flags);
      peer_status_t status = { .node = peer->node, .flags = flags };

      if (heard_only ? peer->data_centre == peers->data_centre
                           && peers_is_heard (peers, peer, now)
                     : live)
        g_array_append_val (out, status);
    }
  g_array_sort (out, compare_statuses);
  /* 0 stands for no statuses.  */
  return XXH3_64bits (out->data, out->len * sizeof (peer_status_t)) | 1;
}

/* Adds the fresh reports of the nodes of this data centre.
   @param included NULL, or receives the numbers of the reports  */
static void
add_own_data_centre (const peers_t *peers, gs_time_t now, aggregate_t *out,
                     GHashTable *included)
{
  const traffic_report_t *own
      = peers->listener.get_report (peers->listener.context);
  GHashTableIter iter;
  gpointer value;

  if (own != NULL)
    aggregate_add_report (out, own, false);
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      const peer_process_t *process = current_process (peers, peer);

      if (process == NULL || peer->data_centre != peers->data_centre
          || !is_fresh (peers, CALL_REPORT, process->received_at, now))
        continue;
      aggregate_add (out, &process->aggregate);
      if (included != NULL)
        g_hash_table_insert (
            included,
            g_memdup2 (&process->incarnation, sizeof process->incarnation),
            g_memdup2 (&process->sequence, sizeof process->sequence));
    }
}

static void
add_summary (void *context, const peer_summary_t *summary)
{
  aggregate_add (context, &summary->message.aggregate);
}

static void
update_fleet_view (peers_t *peers, gs_time_t now)
{
  fleet_view_t *view = &peers->fleet_view;
  aggregate_t sum;

  if (view->bytes != NULL && now < view->made_at + AGGREGATE_INTERVAL)
    return;
  view->made_at = now;
  aggregate_init (&sum);
  g_hash_table_remove_all (view->included);
  add_own_data_centre (peers, now, &sum, view->included);
  foreach_data_centre (peers, now, add_summary, &sum);
  if (view->bytes != NULL)
    g_byte_array_unref (view->bytes);
  /* Only aggregators need the demand, and get it with summaries.  */
  g_array_set_size (sum.demand, 0);
  view->bytes = peer_message_encode_aggregate (&sum, false);
  view->status_version = collect_statuses (peers, now, false, view->statuses);
  aggregate_clear (&sum);
}

static void
fill_head (const peers_t *peers, gs_time_t now, peer_message_t *out)
{
  peers_state_t state;

  peers->listener.get_state (peers->listener.context, &state);
  out->self = peers->self;
  out->flags = state.flags;
  out->config_revision = state.config_revision;
  out->replicas_revision = state.replicas_revision;
  out->members_revision = state.members_revision;
  out->usage_window = state.usage_window;
  out->resignation = state.resignation;
  statements_export (peers_statements_update (peers), now, out->statements);
  peers_quarantine_export (peers, now, &out->quarantine);
  peers_rollouts_fill (peers, now, out->rollouts);
}

GByteArray *
peers_view_encode (peers_t *peers, gs_time_t now, const peer_t *peer,
                   const peer_message_t *report)
{
  fleet_view_t *view = &peers->fleet_view;
  const uint64_t *included;
  peer_message_t message;
  GByteArray *bytes;

  update_fleet_view (peers, now);
  peer_message_init (&message);
  fill_head (peers, now, &message);
  peers_origins_view_fill (peers, now, peer, report, &message.origins);
  included = g_hash_table_lookup (view->included, &report->self.incarnation);
  message.sequence = included != NULL ? *included : 0;
  message.status_version = view->status_version;
  message.has_statuses = report->status_version != view->status_version;
  if (message.has_statuses)
    g_array_append_vals (message.statuses, view->statuses->data,
                         view->statuses->len);
  bytes = peer_message_encode (&message, view->bytes);
  peer_message_clear (&message);
  return bytes;
}

/* Remembers the part of a view that is this node's own.  */
static void
remember_report (peers_t *peers, const aggregate_t *report)
{
  sent_report_t *sent = &peers->sent[++peers->sequence % PEERS_SENT_REPORTS];

  aggregate_clear (&sent->aggregate);
  aggregate_init (&sent->aggregate);
  aggregate_add (&sent->aggregate, report);
  sent->sequence = peers->sequence;
}

GByteArray *
peers_report_encode (peers_t *peers, gs_time_t now, const peer_t *peer,
                     bool with_usage)
{
  const traffic_report_t *own
      = peers->listener.get_report (peers->listener.context);
  peer_message_t message;
  GByteArray *aggregate;
  GByteArray *bytes;

  peer_message_init (&message);
  fill_head (peers, now, &message);
  peers_origins_fill (peers, now, peer, STREAM_ORIGIN_OWN, &message.origins);
  peers_origins_wanted_fill (peers, now, message.origins_wanted);
  if (own != NULL)
    aggregate_add_report (&message.aggregate, own, with_usage);
  remember_report (peers, &message.aggregate);
  message.sequence = peers->sequence;
  message.status_version
      = now <= peers->statuses_at + STATUS_TTL ? peers->statuses_version : 0;
  aggregate = peer_message_encode_aggregate (&message.aggregate, with_usage);
  bytes = peer_message_encode (&message, aggregate);
  g_byte_array_unref (aggregate);
  peer_message_clear (&message);
  return bytes;
}

/* Adds usage counts and demand of the processes of a data centre that this
   node knows from their own reports.  */
static void
add_process_counters (const peers_t *peers, gs_time_t now,
                      uint64_t data_centre, aggregate_t *out)
{
  const traffic_report_t *own
      = peers->listener.get_report (peers->listener.context);
  GHashTableIter iter;
  gpointer value;
  aggregate_t part;

  if (data_centre == peers->data_centre && own != NULL)
    {
      aggregate_init (&part);
      aggregate_add_report (&part, own, true);
      aggregate_add_counters (out, &part, true);
      aggregate_clear (&part);
    }
  g_hash_table_iter_init (&iter, peers->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_process_t *process = value;
      gs_time_t silence = peers_silence_timeout (
          peers, process->data_centre != 0 ? CALL_REPORT : CALL_DIGEST);

      if (process->data_centre == data_centre)
        aggregate_add_counters (out, &process->aggregate,
                                now <= process->received_at + silence);
    }
}

GByteArray *
peers_summary_encode (const peers_t *peers, gs_time_t now, const peer_t *peer,
                      bool with_usage)
{
  peer_message_t message;
  GByteArray *aggregate;
  GByteArray *bytes;

  peer_message_init (&message);
  fill_head (peers, now, &message);
  peers_origins_fill (peers, now, peer,
                      STREAM_ORIGIN_OWN | STREAM_ORIGIN_DATA_CENTRE,
                      &message.origins);
  message.has_statuses = true;
  message.status_version
      = collect_statuses (peers, now, true, message.statuses);
  add_own_data_centre (peers, now, &message.aggregate, NULL);
  /* The sum of demand above covers the present processes only.  */
  g_array_set_size (message.aggregate.demand, 0);
  g_array_set_size (message.aggregate.rollout_counts, 0);
  g_clear_pointer (&message.aggregate.rows_by_key, g_hash_table_unref);
  add_process_counters (peers, now, peers->data_centre, &message.aggregate);
  aggregate = peer_message_encode_aggregate (&message.aggregate, with_usage);
  bytes = peer_message_encode (&message, aggregate);
  g_byte_array_unref (aggregate);
  peer_message_clear (&message);
  return bytes;
}

void
peers_fleet_sum (const peers_t *peers, gs_time_t now, aggregate_t *out)
{
  GHashTable *data_centres = g_hash_table_new (g_int64_hash, g_int64_equal);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_add (data_centres, (gpointer)&peers->data_centre);
  g_hash_table_iter_init (&iter, peers->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_hash_table_add (data_centres, &((peer_process_t *)value)->data_centre);
  g_hash_table_iter_init (&iter, peers->summaries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_hash_table_add (data_centres, &((peer_summary_t *)value)->data_centre);
  g_hash_table_iter_init (&iter, data_centres);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      uint64_t data_centre = *(const uint64_t *)key;
      GHashTableIter summaries;
      aggregate_t part;

      aggregate_init (&part);
      add_process_counters (peers, now, data_centre, &part);
      g_hash_table_iter_init (&summaries, peers->summaries);
      while (g_hash_table_iter_next (&summaries, NULL, &value))
        {
          const peer_summary_t *summary = value;

          if (summary->data_centre == data_centre)
            aggregate_raise (
                &part, &summary->message.aggregate,
                is_fresh (peers, CALL_SUMMARY, summary->received_at, now));
        }
      aggregate_add_counters (out, &part, true);
      aggregate_clear (&part);
    }
  g_hash_table_unref (data_centres);
}

static void
append_view_row (traffic_peers_t *view, uint64_t source, unsigned nodes,
                 gs_time_t received_at, const aggregate_t *aggregate)
{
  traffic_peer_t row = { .source = source,
                         .nodes = nodes,
                         .received_at = received_at,
                         .loads = g_array_ref (aggregate->loads),
                         .quota = g_array_ref (aggregate->quota) };

  g_array_append_val (view->peers, row);
}

static void
append_summary (void *context, const peer_summary_t *summary)
{
  append_view_row (context, summary->data_centre,
                   summary->message.aggregate.nodes, summary->received_at,
                   &summary->message.aggregate);
}

/* @return whether the view of this node includes the report that a peer itself
   has sent; other reports are part of a summary  */
static bool
uses_report_of (const peers_t *peers, const peer_t *peer)
{
  switch (peers->role)
    {
    case PEERS_ROLE_MESH:
      return true;
    case PEERS_ROLE_AGGREGATOR:
      return peer->data_centre == 0 || peer->data_centre == peers->data_centre;
    case PEERS_ROLE_LEAF:
      break;
    }
  return peer->data_centre == 0;
}

static void
append_reports (const peers_t *peers, gs_time_t now, traffic_peers_t *view)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      const peer_process_t *process = current_process (peers, peer);

      if (process != NULL && peers_is_heard (peers, peer, now)
          && uses_report_of (peers, peer))
        append_view_row (view, peer->node, 1, process->received_at,
                         &process->aggregate);
    }
}

traffic_peers_t *
peers_view_create (peers_t *peers, gs_time_t now)
{
  traffic_peers_t *view = g_new0 (traffic_peers_t, 1);
  bool mesh = peers->role == PEERS_ROLE_MESH;
  /* From a leaf to its aggregator, on to another one, and to a leaf.  */
  unsigned exchanges = mesh ? 1 : 3;

  view->source = (unsigned)peers->role;
  view->restarts = peers->restarts;
  view->in_step_at = peers_in_step_at (peers, now);
  view->fleet.members = peers_member_count (peers, now);
  view->fleet.report_ttl
      = peers_fresh_ttl (peers, mesh ? CALL_DIGEST : CALL_REPORT);
  view->fleet.lag = exchanges * (view->fleet.report_ttl + MESSAGE_DELAY_MAX)
                    + TRAFFIC_REPORT_INTERVAL;
  view->peers = g_array_new (FALSE, TRUE, sizeof (traffic_peer_t));
  view->nodes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  peers_accepting_nodes (peers, now, view->nodes);
  view->members = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  peers_members_hash (peers, now, view->members);
  view->restarts_known = peers_is_fleet_known (peers);
  view->statements = statements_list (peers_statements_update (peers));
  quarantine_rows_init (&view->quarantine);
  peers_quarantine_export (peers, now, &view->quarantine);
  view->detours = g_array_new (FALSE, FALSE, sizeof (traffic_detour_t));
  peers_detours (peers, now, view->detours);
  view->origins = g_array_new (FALSE, FALSE, sizeof (stream_origin_row_t));
  peers->origins_viewed = stream_origins_export (
      peers->origins, now, peers->origins_viewed,
      STREAM_ORIGIN_DATA_CENTRE | STREAM_ORIGIN_OTHER, view->origins);
  append_reports (peers, now, view);
  if (peers->role == PEERS_ROLE_AGGREGATOR)
    foreach_data_centre (peers, now, append_summary, view);
  else if (peers->role == PEERS_ROLE_LEAF
           && now <= peers->view_received_at
                         + peers_silence_timeout (peers, CALL_REPORT))
    append_view_row (view, peers->data_centre, peers->view.aggregate.nodes,
                     peers->view_received_at, &peers->view.aggregate);
  return view;
}
