#include "fleet/peers_private.h"

#include "garnetstack/log.h"

#include <limits.h>
#include <string.h>
#include <xxhash.h>

/* A node that does not respond is called less often.  */
#define SILENT_PEER_INTERVAL GS_SEC
/* Unreachable nodes that might be aggregators are called one after another at
   this interval, however many they are.  */
#define PROBE_INTERVAL (250 * GS_MSEC)
/* Reports carry usage counts at this interval; windows last seconds.  */
#define USAGE_INTERVAL GS_SEC
/* Interval at which roles and expired peers are reviewed.  */
#define REVIEW_INTERVAL (100 * GS_MSEC)
/* Data centres that aggregators exchange summaries with.  */
#define DATA_CENTRES_MAX 64

uint64_t
peers_hash (const char *name)
{
  return name[0] != '\0' ? XXH3_64bits (name, strlen (name)) : 0;
}

void
peers_create (peers_t **out, const digest_member_t *self,
              const gs_endpoint_t *seeds, unsigned seed_count,
              const peers_listener_t *listener,
              const peers_transport_t *transport, uint64_t seed)
{
  peers_t *peers = g_new0 (peers_t, 1);

  peers->self = *self;
  peers->node = peers_hash (self->name);
  peers->data_centre = peers_hash (self->data_centre);
  peers->listener = *listener;
  peers->transport = *transport;
  peers->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  peers->processes = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            peer_process_free);
  peers->summaries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            peer_summary_free);
  peers->statuses
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  peers->fleet_view.included
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  peers->fleet_view.statuses
      = g_array_new (FALSE, TRUE, sizeof (peer_status_t));
  peer_message_init (&peers->view);
  peers->seed_count = MIN (seed_count, GS_SEEDS_MAX);
  for (unsigned i = 0; i < peers->seed_count; i++)
    peers->seeds[i] = seeds[i];
  statements_create (&peers->statements);
  quarantine_create (&peers->quarantine, false);
  stream_origins_create (&peers->origins);
  peers->origins_wanted
      = g_array_new (FALSE, TRUE, sizeof (stream_origin_key_t));
  gs_rng_seed (&peers->rng, seed);
  *out = peers;
}

void
peers_destroy (peers_t *peers)
{
  if (peers == NULL)
    return;
  for (unsigned i = 0; i < PEERS_SENT_REPORTS; i++)
    aggregate_clear (&peers->sent[i].aggregate);
  peer_message_clear (&peers->view);
  statements_destroy (peers->statements);
  quarantine_destroy (peers->quarantine);
  stream_origins_destroy (peers->origins);
  g_array_unref (peers->origins_wanted);
  if (peers->fleet_view.bytes != NULL)
    g_byte_array_unref (peers->fleet_view.bytes);
  g_array_unref (peers->fleet_view.statuses);
  g_hash_table_unref (peers->fleet_view.included);
  g_hash_table_unref (peers->statuses);
  g_hash_table_unref (peers->summaries);
  g_hash_table_unref (peers->processes);
  g_hash_table_unref (peers->by_name);
  g_free (peers);
}

gs_time_t
peers_call_interval (const peers_t *peers, peer_call_t call)
{
  unsigned nodes = g_hash_table_size (peers->by_name) + 1;

  if (call == CALL_REPORT
      && peers->data_centre_nodes > PEERS_REPORTING_NODES_MAX)
    return PEERS_REPORT_INTERVAL * peers->data_centre_nodes
           / PEERS_REPORTING_NODES_MAX;
  if (call != CALL_DIGEST)
    return PEERS_REPORT_INTERVAL;
  return nodes <= PEERS_SMALL_FLEET_MAX
             ? PEERS_EXCHANGE_INTERVAL
             : PEERS_EXCHANGE_INTERVAL * nodes / PEERS_SMALL_FLEET_MAX;
}

gs_time_t
peers_silence_timeout (const peers_t *peers, peer_call_t call)
{
  return (gs_time_t)(PEERS_MISSED_EXCHANGES_MAX
                     * (double)MAX (peers_call_interval (peers, call),
                                    PEERS_EXCHANGE_INTERVAL));
}

bool
peers_is_heard (const peers_t *peers, const peer_t *peer, gs_time_t now)
{
  return peer->last_heard_at != 0
         && now <= peer->last_heard_at
                       + peers_silence_timeout (peers, peer->data_centre != 0
                                                           ? CALL_REPORT
                                                           : CALL_DIGEST);
}

static bool
is_self (const peers_t *peers, const char *name)
{
  return strcmp (peers->self.name, name) == 0;
}

/* Digests carry no data centre, so that one which is known stays.  */
static void
peer_set_member (peer_t *peer, const digest_member_t *member)
{
  digest_member_t updated = *member;

  if (updated.data_centre[0] == '\0')
    memcpy (updated.data_centre, peer->member.data_centre,
            sizeof updated.data_centre);
  peer->member = updated;
  peer->data_centre = peers_hash (updated.data_centre);
}

static peer_t *
peer_ensure (peers_t *peers, const digest_member_t *member)
{
  peer_t *peer = g_hash_table_lookup (peers->by_name, member->name);

  if (peer != NULL || is_self (peers, member->name) || member->name[0] == '\0'
      || g_hash_table_size (peers->by_name) >= DIGEST_MEMBERS_MAX)
    return peer;
  peer = g_new0 (peer_t, 1);
  peer->node = peers_hash (member->name);
  peer->silent = true;
  peer_set_member (peer, member);
  g_hash_table_insert (peers->by_name, peer->member.name, peer);
  return peer;
}

void
peers_listed_set (peers_t *peers, gs_time_t now, const digest_member_t *member,
                  bool listed)
{
  peer_t *peer = listed ? peer_ensure (peers, member)
                        : g_hash_table_lookup (peers->by_name, member->name);

  if (peer == NULL)
    return;
  peer->listed = listed;
  /* A restarted node may have the same name and another address.  */
  if (listed
      && (peer->data_centre == 0
          || (peer->member.incarnation != member->incarnation
              && !peers_is_heard (peers, peer, now))))
    {
      peer_set_member (peer, member);
      peer->unreachable = false;
    }
}

statements_t *
peers_statements_update (const peers_t *peers)
{
  const traffic_report_t *report
      = peers->listener.get_report (peers->listener.context);

  for (guint i = 0; report != NULL && i < report->statements->len; i++)
    statements_put (peers->statements,
                    &g_array_index (report->statements, statement_t, i));
  return peers->statements;
}

quarantine_t *
peers_quarantine (const peers_t *peers)
{
  return peers->quarantine;
}

void
peers_quarantine_export (const peers_t *peers, gs_time_t now,
                         quarantine_rows_t *out)
{
  const traffic_report_t *report
      = peers->listener.get_report (peers->listener.context);

  if (report != NULL)
    quarantine_import (peers->quarantine, report->quarantine.made_at,
                       &report->quarantine);
  quarantine_export (peers->quarantine, now, out);
}

static void
digest_fill (const peers_t *peers, gs_time_t now, digest_t *out)
{
  const traffic_report_t *report
      = peers->listener.get_report (peers->listener.context);
  peers_state_t state;

  peers->listener.get_state (peers->listener.context, &state);
  out->self = peers->self;
  out->ready = (state.flags & PEER_READY) != 0;
  out->leaving = (state.flags & PEER_LEAVING) != 0;
  out->follows_store = (state.flags & PEER_FOLLOWS_STORE) != 0;
  out->cut = (state.flags & PEER_CUT) != 0;
  out->store_lost = state.store_lost;
  out->config_revision = state.config_revision;
  out->replicas_revision = state.replicas_revision;
  out->usage_window = state.usage_window;
  out->resignation = state.resignation;
  statements_export (peers_statements_update (peers), now, out->statements);
  peers_quarantine_export (peers, now, &out->quarantine);
  peers_rollouts_fill (peers, now, out->rollouts);
  if (report == NULL)
    return;
  g_array_append_vals (out->report->rollout_counts,
                       report->rollout_counts->data,
                       report->rollout_counts->len);
  g_array_append_vals (out->report->loads, report->loads->data,
                       report->loads->len);
  g_array_append_vals (out->report->usage, report->usage->data,
                       report->usage->len);
  g_array_append_vals (out->report->demand, report->demand->data,
                       report->demand->len);
  g_array_append_vals (out->report->quota, report->quota->data,
                       report->quota->len);
}

/* @param peer the receiver; NULL if it is not known yet  */
static GByteArray *
encode_own_digest (const peers_t *peers, gs_time_t now, const peer_t *peer)
{
  digest_t digest;
  GHashTableIter iter;
  gpointer value;
  GByteArray *bytes;

  digest_init (&digest);
  digest_fill (peers, now, &digest);
  peers_origins_fill (peers, now, peer, STREAM_ORIGIN_OWN, &digest.origins);
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((peer_t *)value)->listed)
      g_array_append_val (digest.members, ((peer_t *)value)->member);
  bytes = digest_encode (&digest);
  digest_clear (&digest);
  return bytes;
}

/* Records that a message of a peer itself has come.
   @return the peer; NULL if the message is rejected  */
static peer_t *
record_heard (peers_t *peers, gs_time_t now, const digest_member_t *member,
              uint32_t flags)
{
  peer_t *peer;

  if (is_self (peers, member->name))
    {
      gs_error_set (GS_EINVAL, "message was sent under this node's own name");
      return NULL;
    }
  peer = peer_ensure (peers, member);
  if (peer == NULL)
    {
      gs_error_set (GS_ELIMIT, "too many nodes in the fleet");
      return NULL;
    }
  if (peer->silent)
    gs_log (GS_LOG_INFO, "peer_heard", "peer=%s incarnation=%llx away_ms=%lld",
            member->name, (unsigned long long)member->incarnation,
            peer->last_heard_at == 0
                ? -1LL
                : (long long)((now - peer->last_heard_at) / GS_MSEC));
  peer->silent = false;
  peer->unreachable = false;
  peer_set_member (peer, member);
  peer->flags = flags;
  peer->last_heard_at = now;
  return peer;
}

/* One exchange serves both nodes, so the next call to the peer is put off.  */
static void
schedule_call (peers_t *peers, gs_time_t now, peer_t *peer)
{
  gs_time_t interval = peers_call_interval (peers, peer->call);

  peer->next_call_at
      = now + interval
        + (gs_time_t)gs_rng_below (&peers->rng, (uint64_t)interval / 3);
}

static void
notify_listener (const peers_t *peers, gs_time_t now,
                 const gs_endpoint_t *endpoint, const peers_state_t *state)
{
  peers->listener.on_peer_state (peers->listener.context, now, endpoint,
                                 state);
}

static void
digest_apply (peers_t *peers, gs_time_t now, peer_t *peer,
              const digest_t *digest)
{
  peers_state_t state = { .flags = peer->flags,
                          .store_lost = digest->store_lost,
                          .config_revision = digest->config_revision,
                          .replicas_revision = digest->replicas_revision,
                          .usage_window = digest->usage_window,
                          .resignation = digest->resignation };
  aggregate_t aggregate;

  peer->replicas_revision = digest->replicas_revision;
  schedule_call (peers, now, peer);
  for (guint i = 0; i < digest->members->len; i++)
    {
      peer_t *mentioned = peer_ensure (
          peers, &g_array_index (digest->members, digest_member_t, i));

      if (mentioned != NULL)
        mentioned->last_mentioned_at = now;
    }
  notify_listener (peers, now, &digest->self.peers, &state);
  peers_rollouts_receive (peers, now, digest->rollouts);
  statements_import (peers->statements, now, digest->statements);
  quarantine_import (peers->quarantine, now, &digest->quarantine);
  peers_origins_receive (peers, now, peer, &digest->origins,
                         STREAM_ORIGIN_OTHER);
  aggregate_init (&aggregate);
  aggregate_add_report (&aggregate, digest->report, true);
  peers_report_store (peers, now, &digest->self, 0, &aggregate, true);
}

/* @return the sender; NULL if the digest was rejected  */
static peer_t *
accept_digest (peers_t *peers, gs_time_t now, const char *data, size_t length)
{
  digest_t digest;
  gs_status_t status;
  peer_t *peer = NULL;

  digest_init (&digest);
  status = digest_decode (&digest, data, length);
  if (status == GS_OK)
    {
      peer = record_heard (peers, now, &digest.self,
                           (digest.ready ? PEER_READY : 0)
                               | (digest.leaving ? PEER_LEAVING : 0)
                               | (digest.cut ? PEER_CUT : 0)
                               | (digest.follows_store && !digest.store_lost
                                      ? PEER_FOLLOWS_STORE
                                      : 0));
      if (peer != NULL)
        digest_apply (peers, now, peer, &digest);
    }
  digest_clear (&digest);
  return peer;
}

/* @param source from which the streams in the message come to this node
   @param out receives the message on success; to be cleared by the caller
   @return the sender; NULL if the message was rejected  */
static peer_t *
accept_message (peers_t *peers, gs_time_t now, const char *data, size_t length,
                unsigned source, peer_message_t *out)
{
  peer_t *peer = NULL;
  peers_state_t state;

  peer_message_init (out);
  if (peer_message_decode (out, data, length) == GS_OK)
    peer = record_heard (peers, now, &out->self, out->flags);
  if (peer == NULL)
    {
      peer_message_clear (out);
      return NULL;
    }
  state = (peers_state_t){ .flags = out->flags,
                           .config_revision = out->config_revision,
                           .replicas_revision = out->replicas_revision,
                           .members_revision = out->members_revision,
                           .usage_window = out->usage_window,
                           .resignation = out->resignation };
  notify_listener (peers, now, &out->self.peers, &state);
  peers_rollouts_receive (peers, now, out->rollouts);
  statements_import (peers->statements, now, out->statements);
  quarantine_import (peers->quarantine, now, &out->quarantine);
  peers_origins_receive (peers, now, peer, &out->origins, source);
  g_array_set_size (out->origins.rows, 0);
  return peer;
}

static GByteArray *
receive_report (peers_t *peers, gs_time_t now, const char *data, size_t length)
{
  peer_message_t message;
  const peer_t *peer = accept_message (peers, now, data, length,
                                       STREAM_ORIGIN_DATA_CENTRE, &message);
  GByteArray *bytes;

  if (peer == NULL)
    return NULL;
  peers_report_store (peers, now, &message.self, message.sequence,
                      &message.aggregate, message.has_usage);
  message.aggregate = (aggregate_t){ .nodes = 0 };
  bytes = peers_view_encode (peers, now, peer, &message);
  peer_message_clear (&message);
  return bytes;
}

/* @return whether the message to a peer carries usage counts  */
static bool
take_usage_turn (peer_t *peer, gs_time_t now)
{
  if (now < peer->usage_due)
    return false;
  peer->usage_due = now + USAGE_INTERVAL;
  return true;
}

static GByteArray *
receive_summary (peers_t *peers, gs_time_t now, const char *data,
                 size_t length)
{
  peer_message_t message;
  peer_t *peer = accept_message (peers, now, data, length, STREAM_ORIGIN_OTHER,
                                 &message);

  if (peer == NULL)
    return NULL;
  if (peer->call == CALL_SUMMARY)
    schedule_call (peers, now, peer);
  peers_summary_store (peers, now, &message);
  return peers_summary_encode (peers, now, peer, take_usage_turn (peer, now));
}

GByteArray *
peers_message_receive (peers_t *peers, gs_time_t now, const char *path,
                       const char *data, size_t length)
{
  GByteArray *bytes = NULL;
  const peer_t *peer;

  if (strcmp (path, PEERS_REPORT_PATH) == 0)
    bytes = receive_report (peers, now, data, length);
  else if (strcmp (path, PEERS_SUMMARY_PATH) == 0)
    bytes = receive_summary (peers, now, data, length);
  else if ((peer = accept_digest (peers, now, data, length)) != NULL)
    bytes = encode_own_digest (peers, now, peer);
  if (bytes == NULL)
    gs_log (GS_LOG_WARN, "digest_refused", "reason=\"%s\"", gs_error_last ());
  return bytes;
}

typedef struct
{
  peers_t *peers;
  char name[GS_NAME_BYTES]; /* of the node; "" for a seed address */
  peer_call_t call;
  gs_time_t started_at;
} peer_call_context_t;

static bool
accept_reply (peers_t *peers, gs_time_t now, peer_call_t call,
              const peers_reply_t *reply)
{
  peer_message_t message;

  if (call == CALL_DIGEST)
    return accept_digest (peers, now, reply->body, reply->length) != NULL;
  if (accept_message (peers, now, reply->body, reply->length,
                      STREAM_ORIGIN_OTHER, &message)
      == NULL)
    return false;
  if (call == CALL_SUMMARY)
    peers_summary_store (peers, now, &message);
  else
    peers_view_store (peers, now, &message);
  return true;
}

/* Records whether a peer has answered without a later list of replicas.  Only
   an answer shows when it was made: a message may come long after.  */
static void
record_step (const peers_t *peers, peer_t *peer, gs_time_t call_started_at)
{
  peers_state_t own;

  peers->listener.get_state (peers->listener.context, &own);
  if (peer->replicas_revision <= own.replicas_revision)
    peer->in_step_at = call_started_at;
}

static void
on_reply (void *context, gs_time_t now, const peers_reply_t *reply)
{
  peer_call_context_t *call = context;
  peers_t *peers = call->peers;
  peer_t *peer = g_hash_table_lookup (peers->by_name, call->name);
  bool accepted = false;

  if (reply->http_status == 200)
    {
      accepted = accept_reply (peers, now, call->call, reply);
      if (!accepted)
        gs_log (GS_LOG_WARN, "digest_refused", "reason=\"%s\"",
                gs_error_last ());
    }
  else if (reply->http_status != 0)
    gs_log (GS_LOG_WARN, "digest_not_taken", "peer=%s http=%ld", call->name,
            reply->http_status);
  if (peer != NULL)
    {
      peer->call_pending = false;
      peer->unreachable |= !accepted && peer->last_heard_at < call->started_at;
      peer->next_call_at
          = MAX (call->started_at, now - PEERS_REPORT_INTERVAL)
            + (peers_is_heard (peers, peer, now)
                   ? peers_call_interval (peers, call->call)
                   : MAX (SILENT_PEER_INTERVAL,
                          peers_call_interval (peers, call->call)));
      if (call->call == CALL_DIGEST && accepted)
        {
          schedule_call (peers, now, peer);
          record_step (peers, peer, call->started_at);
        }
    }
  g_free (call);
}

static void
call_endpoint (peers_t *peers, gs_time_t now, const gs_endpoint_t *endpoint,
               const peer_t *peer, peer_call_t call, bool with_usage)
{
  peer_call_context_t *context = g_new0 (peer_call_context_t, 1);
  const char *path = PEERS_DIGEST_PATH;
  GByteArray *body;

  context->peers = peers;
  context->call = call;
  context->started_at = now;
  if (peer != NULL)
    g_strlcpy (context->name, peer->member.name, sizeof context->name);
  switch (call)
    {
    case CALL_REPORT:
      path = PEERS_REPORT_PATH;
      body = peers_report_encode (peers, now, peer, with_usage);
      break;
    case CALL_SUMMARY:
      path = PEERS_SUMMARY_PATH;
      body = peers_summary_encode (peers, now, peer, with_usage);
      break;
    default:
      body = encode_own_digest (peers, now, peer);
      break;
    }
  peers->transport.post (peers->transport.context, now, endpoint, path, body,
                         on_reply, context);
  g_byte_array_unref (body);
}

static void
call_peer (peers_t *peers, gs_time_t now, peer_t *peer, peer_call_t call)
{
  peer->call_pending = true;
  call_endpoint (peers, now, &peer->member.peers, peer, call,
                 take_usage_turn (peer, now));
}

static bool
is_known_endpoint (const peers_t *peers, const gs_endpoint_t *endpoint)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gs_endpoint_t *known = &((peer_t *)value)->member.peers;

      if (known->port == endpoint->port
          && strcmp (known->host, endpoint->host) == 0)
        return true;
    }
  return endpoint->port == peers->self.peers.port
         && strcmp (endpoint->host, peers->self.peers.host) == 0;
}

static void
call_seeds (peers_t *peers, gs_time_t now)
{
  if (now < peers->seeds_due)
    return;
  peers->seeds_due = now + SILENT_PEER_INTERVAL;
  for (unsigned i = 0; i < peers->seed_count; i++)
    if (!is_known_endpoint (peers, &peers->seeds[i]))
      call_endpoint (peers, now, &peers->seeds[i], NULL, CALL_DIGEST, true);
}

/* The first nodes of a data centre that may be its aggregators.  */
typedef struct
{
  uint64_t data_centre;
  unsigned count;
  uint64_t nodes[PEERS_AGGREGATORS];
  peer_t *peers[PEERS_AGGREGATORS]; /* NULL for this node */
} aggregators_t;

static void
aggregators_insert (aggregators_t *row, uint64_t node, peer_t *peer)
{
  unsigned place = row->count;

  while (place > 0 && row->nodes[place - 1] > node)
    place--;
  if (place >= PEERS_AGGREGATORS)
    return;
  for (unsigned i = MIN (row->count, PEERS_AGGREGATORS - 1); i > place; i--)
    {
      row->nodes[i] = row->nodes[i - 1];
      row->peers[i] = row->peers[i - 1];
    }
  row->nodes[place] = node;
  row->peers[place] = peer;
  row->count = MIN (row->count + 1, PEERS_AGGREGATORS);
}

static aggregators_t *
aggregators_find (aggregators_t *rows, unsigned *count, uint64_t data_centre)
{
  for (unsigned i = 0; i < *count; i++)
    if (rows[i].data_centre == data_centre)
      return &rows[i];
  if (*count == DATA_CENTRES_MAX)
    return NULL;
  rows[*count] = (aggregators_t){ .data_centre = data_centre };
  return &rows[(*count)++];
}

/* A node that was never called counts as reachable.  */
static bool
may_aggregate (const peers_t *peers, const peer_t *peer, gs_time_t now)
{
  uint32_t flags;
  bool live = peers_is_live (peers, peer, now, &flags);

  return !peer->unreachable && (live || peer->listed)
         && !(live && (flags & PEER_LEAVING) != 0);
}

static unsigned
find_aggregators (const peers_t *peers, gs_time_t now, aggregators_t *rows)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value;

  aggregators_insert (aggregators_find (rows, &count, peers->data_centre),
                      peers->node, NULL);
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;
      aggregators_t *row
          = peer->data_centre != 0
                ? aggregators_find (rows, &count, peer->data_centre)
                : NULL;

      if (row != NULL && may_aggregate (peers, peer, now))
        aggregators_insert (row, peer->node, peer);
    }
  return count;
}

static void
set_role (peers_t *peers, peers_role_t role)
{
  static const char *const names[] = { "mesh", "leaf", "aggregator" };

  if (role == peers->role)
    return;
  gs_log (GS_LOG_INFO, "peer_role", "role=%s before=%s nodes=%u", names[role],
          names[peers->role], g_hash_table_size (peers->by_name) + 1);
  peers->role = role;
}

static void
set_call (peers_t *peers, gs_time_t now, peer_t *peer, peer_call_t call)
{
  if (call == peer->call)
    return;
  peer->call = call;
  if (call != CALL_NONE)
    peer->next_call_at
        = now
          + (gs_time_t)gs_rng_below (
              &peers->rng, (uint64_t)peers_call_interval (peers, call) / 3);
}

static bool
is_in (const aggregators_t *row, const peer_t *peer)
{
  for (unsigned i = 0; i < row->count; i++)
    if (row->peers[i] == peer)
      return true;
  return false;
}

/* Decides the role of this node and which calls it makes.  */
static void
assign_calls (peers_t *peers, gs_time_t now)
{
  aggregators_t rows[DATA_CENTRES_MAX];
  unsigned count = 0;
  bool large = g_hash_table_size (peers->by_name) + 1 > PEERS_SMALL_FLEET_MAX
               && peers->data_centre != 0;
  GHashTableIter iter;
  gpointer value;

  if (large)
    {
      count = find_aggregators (peers, now, rows);
      set_role (peers, is_in (&rows[0], NULL) ? PEERS_ROLE_AGGREGATOR
                                              : PEERS_ROLE_LEAF);
    }
  else
    set_role (peers, PEERS_ROLE_MESH);
  peers->data_centre_nodes = 1;
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;
      const aggregators_t *row
          = large && peer->data_centre != 0
                ? aggregators_find (rows, &count, peer->data_centre)
                : NULL;

      peers->data_centre_nodes += peer->data_centre == peers->data_centre;
      if (!large || peer->data_centre == 0)
        set_call (peers, now, peer, CALL_DIGEST);
      else if (row == NULL || !is_in (row, peer))
        set_call (peers, now, peer, CALL_NONE);
      else if (peer->data_centre == peers->data_centre)
        set_call (peers, now, peer, CALL_REPORT);
      else
        set_call (peers, now, peer,
                  peers->role == PEERS_ROLE_AGGREGATOR ? CALL_SUMMARY
                                                       : CALL_NONE);
    }
}

/* Calls the unreachable node that was called longest ago, if this node would
   call it were it reachable.  */
static void
probe_unreachable (peers_t *peers, gs_time_t now)
{
  peer_t *next = NULL;
  GHashTableIter iter;
  gpointer value;

  if (peers->role == PEERS_ROLE_MESH || now < peers->probe_due)
    return;
  peers->probe_due = now + PROBE_INTERVAL;
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;

      if (peer->unreachable && !peer->call_pending && peer->data_centre != 0
          && (peer->data_centre == peers->data_centre
              || peers->role == PEERS_ROLE_AGGREGATOR)
          && now >= peer->next_call_at
          && (next == NULL || peer->next_call_at < next->next_call_at))
        next = peer;
    }
  if (next == NULL)
    return;
  call_peer (peers, now, next,
             next->data_centre == peers->data_centre ? CALL_REPORT
                                                     : CALL_SUMMARY);
}

static void
log_silence (const peers_t *peers, peer_t *peer, gs_time_t now)
{
  uint32_t flags;

  if (peer->silent || peers_is_live (peers, peer, now, &flags))
    return;
  peer->silent = true;
  gs_log (GS_LOG_WARN, "peer_silent", "peer=%s silent_ms=%lld",
          peer->member.name,
          (long long)((now - peer->last_heard_at) / GS_MSEC));
}

static gs_time_t
last_known_at (const peers_t *peers, const peer_t *peer, gs_time_t now)
{
  uint32_t flags;

  return peers_is_live (peers, peer, now, &flags)
             ? now
             : MAX (peer->last_heard_at, peer->last_mentioned_at);
}

static void
drop_expired (peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;

      log_silence (peers, peer, now);
      if (!peer->listed && !peer->call_pending
          && now > last_known_at (peers, peer, now) + PEER_TTL)
        g_hash_table_iter_remove (&iter);
    }
}

void
peers_tick (peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  call_seeds (peers, now);
  if (now >= peers->review_due)
    {
      peers->review_due = now + REVIEW_INTERVAL;
      peers_fleet_tick (peers, now);
      assign_calls (peers, now);
      probe_unreachable (peers, now);
      drop_expired (peers, now);
    }
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;

      if (peer->call == CALL_NONE || peer->call_pending
          || now < peer->next_call_at)
        continue;
      call_peer (peers, now, peer, peer->call);
    }
}

void
peers_notify_all (peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((peer_t *)value)->unreachable)
      ((peer_t *)value)->next_call_at = now;
  peers_tick (peers, now);
}

bool
peers_name_is_live (const peers_t *peers, gs_time_t now, const char *name)
{
  const peer_t *peer = g_hash_table_lookup (peers->by_name, name);
  uint32_t flags;

  return peer != NULL && peers_is_live (peers, peer, now, &flags);
}

unsigned
peers_live_count (const peers_t *peers, gs_time_t now)
{
  unsigned count = 0;
  uint32_t flags;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += peers_is_live (peers, value, now, &flags);
  return count;
}

static bool
accepts_requests (const peers_t *peers, const peer_t *peer, gs_time_t now)
{
  uint32_t flags;

  return peers_is_live (peers, peer, now, &flags) && (flags & PEER_READY) != 0
         && (flags & PEER_LEAVING) == 0;
}

void
peers_accepting_nodes (const peers_t *peers, gs_time_t now, GArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_array_append_val (out, peers->node);
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (accepts_requests (peers, value, now))
      g_array_append_val (out, ((peer_t *)value)->node);
}

/* Nodes are ordered by a hash of their names.  By name, the nodes of one data
   centre would come one after another, so the first nodes could all be in the
   same data centre.  */
unsigned
peers_rank (const peers_t *peers, gs_time_t now)
{
  aggregators_t rows[DATA_CENTRES_MAX];
  unsigned count = 0;
  unsigned rank = 0;
  GHashTableIter iter;
  gpointer value;

  if (peers->role == PEERS_ROLE_LEAF)
    return UINT_MAX;
  if (peers->role == PEERS_ROLE_AGGREGATOR)
    count = find_aggregators (peers, now, rows);
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      const aggregators_t *row
          = count > 0 && peer->data_centre != 0
                ? aggregators_find (rows, &count, peer->data_centre)
                : NULL;

      rank += peer->node < peers->node && accepts_requests (peers, peer, now)
              && (peers->role == PEERS_ROLE_MESH
                  || (row != NULL && is_in (row, peer)));
    }
  return rank;
}

bool
peers_has_follower (const peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      uint32_t flags;

      if (peers_is_live (peers, value, now, &flags)
          && (flags & PEER_FOLLOWS_STORE) != 0 && (flags & PEER_LEAVING) == 0)
        return true;
    }
  return false;
}

static bool
reaches_replicas (const peers_t *peers, const peer_t *peer, gs_time_t now)
{
  uint32_t flags;

  return accepts_requests (peers, peer, now)
         && peers_is_live (peers, peer, now, &flags)
         && (flags & PEER_CUT) == 0;
}

void
peers_detours (const peers_t *peers, gs_time_t now, GArray *out)
{
  GHashTableIter iter;
  gpointer value;

  for (unsigned near = 2; near-- > 0;)
    {
      g_hash_table_iter_init (&iter, peers->by_name);
      while (g_hash_table_iter_next (&iter, NULL, &value)
             && out->len < TRAFFIC_DETOURS_MAX)
        {
          const peer_t *peer = value;
          traffic_detour_t row
              = { .endpoint = peer->member.callers, .near = near != 0 };
          bool is_near = peer->data_centre == peers->data_centre
                         && peers->data_centre != 0;

          if (is_near == row.near && reaches_replicas (peers, peer, now))
            g_array_append_val (out, row);
        }
    }
}

typedef struct
{
  uint64_t order;
  const peer_t *peer;
} ordered_peer_t;

static int
compare_order (gconstpointer a, gconstpointer b)
{
  const ordered_peer_t *left = a;
  const ordered_peer_t *right = b;

  return left->order < right->order ? -1 : left->order > right->order;
}

/* The order differs between nodes, so that all addresses are told to callers
   if one node may not tell them all.  */
unsigned
peers_live_addresses (const peers_t *peers, gs_time_t now, bool reaching,
                      gs_endpoint_t *out, unsigned max)
{
  GArray *live = g_array_new (FALSE, FALSE, sizeof (ordered_peer_t));
  GHashTableIter iter;
  gpointer value;
  unsigned count;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      uint64_t words[] = { peers->node, peer->node };
      ordered_peer_t row = { XXH3_64bits (words, sizeof words), peer };

      if (reaching ? reaches_replicas (peers, peer, now)
                   : accepts_requests (peers, peer, now))
        g_array_append_val (live, row);
    }
  g_array_sort (live, compare_order);
  count = MIN (live->len, max);
  for (unsigned i = 0; i < count; i++)
    out[i] = g_array_index (live, ordered_peer_t, i).peer->member.callers;
  g_array_unref (live);
  return count;
}
