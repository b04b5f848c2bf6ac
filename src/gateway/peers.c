#include "gateway/peers.h"

#include "garnetstack/log.h"
#include "garnetstack/rng.h"

#include <string.h>
#include <xxhash.h>

/* Within a region a response takes a few milliseconds, and some tens of
   milliseconds from a node that is slowed down.  */
#define CALL_TIMEOUT (500 * GS_MSEC)
#define CONNECT_TIMEOUT (300 * GS_MSEC)
/* A peer's report of quota usage is fresh for this many exchange intervals, in
   which a pair of nodes exchanges digests twice.  */
#define QUOTA_FRESH_INTERVALS 2
/* Allowed time to transfer a digest and to hand it over between the two
   threads at each end, which process messages every 10 ms.  The part of this
   time that they do not need covers slower nodes.  */
#define DIGEST_DELAY_MAX (100 * GS_MSEC)
/* A node that does not respond is called less often.  */
#define SILENT_PEER_INTERVAL GS_SEC
/* A node that is not listed in the store is removed when it has neither sent a
   digest nor been mentioned in one for this long.  */
#define PEER_TTL (10 * GS_SEC)

typedef struct
{
  digest_t digest;
  gs_time_t received_at;
} peer_process_t;

typedef struct
{
  digest_member_t member;
  bool listed;                 /* in the store */
  gs_time_t last_mentioned_at; /* by the digest of another node */
  gs_time_t last_digest_at;    /* when its last digest came; 0 for never */
  gs_time_t next_call_at;
  bool call_pending;
  bool silent; /* no digest has come yet, or its silence was logged */
} peer_t;

struct peers
{
  gs_loop_t *loop;
  digest_member_t self;
  peers_listener_t listener;
  GHashTable *by_name;   /* name -> peer_t */
  GHashTable *processes; /* incarnation -> peer_process_t */
  gs_endpoint_t seeds[GS_SEEDS_MAX];
  unsigned seed_count;
  gs_time_t seeds_due;
  gs_rng_t rng;
};

static void
process_free (gpointer data)
{
  peer_process_t *process = data;

  digest_clear (&process->digest);
  g_free (process);
}

void
peers_create (peers_t **out, gs_loop_t *loop, const digest_member_t *self,
              const gs_deployment_t *settings,
              const peers_listener_t *listener, uint64_t seed)
{
  peers_t *peers = g_new0 (peers_t, 1);

  peers->loop = loop;
  peers->self = *self;
  peers->listener = *listener;
  peers->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  peers->processes = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            process_free);
  memcpy (peers->seeds, settings->seeds, sizeof peers->seeds);
  peers->seed_count = settings->seed_count;
  gs_rng_seed (&peers->rng, seed);
  *out = peers;
}

void
peers_destroy (peers_t *peers)
{
  if (peers == NULL)
    return;
  g_hash_table_unref (peers->processes);
  g_hash_table_unref (peers->by_name);
  g_free (peers);
}

static gs_time_t
exchange_interval (const peers_t *peers)
{
  unsigned nodes = g_hash_table_size (peers->by_name) + 1;

  return nodes <= PEERS_SMALL_FLEET_MAX
             ? PEERS_EXCHANGE_INTERVAL
             : PEERS_EXCHANGE_INTERVAL * nodes / PEERS_SMALL_FLEET_MAX;
}

gs_time_t
peers_silence_timeout (const peers_t *peers)
{
  return (gs_time_t)(PEERS_MISSED_EXCHANGES_MAX
                     * (double)exchange_interval (peers));
}

static bool
is_self (const peers_t *peers, const char *name)
{
  return strcmp (peers->self.name, name) == 0;
}

static peer_t *
peer_ensure (peers_t *peers, const digest_member_t *member)
{
  peer_t *peer = g_hash_table_lookup (peers->by_name, member->name);

  if (peer != NULL || is_self (peers, member->name) || member->name[0] == '\0'
      || g_hash_table_size (peers->by_name) >= DIGEST_MEMBERS_MAX)
    return peer;
  peer = g_new0 (peer_t, 1);
  peer->member = *member;
  peer->silent = true;
  g_hash_table_insert (peers->by_name, peer->member.name, peer);
  return peer;
}

void
peers_listed_set (peers_t *peers, const digest_member_t *member, bool listed)
{
  peer_t *peer = listed ? peer_ensure (peers, member)
                        : g_hash_table_lookup (peers->by_name, member->name);

  if (peer == NULL)
    return;
  peer->listed = listed;
  /* A restarted node may have the same name and another address.  */
  if (listed && peer->member.incarnation != member->incarnation
      && gs_clock_now ()
             > peer->last_digest_at + peers_silence_timeout (peers))
    peer->member = *member;
}

static GByteArray *
encode_own_digest (const peers_t *peers)
{
  digest_t digest;
  GHashTableIter iter;
  gpointer value;
  GByteArray *bytes;

  digest_init (&digest);
  digest.self = peers->self;
  peers->listener.fill (peers->listener.context, &digest);
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((peer_t *)value)->listed)
      g_array_append_val (digest.members, ((peer_t *)value)->member);
  bytes = digest_encode (&digest);
  digest_clear (&digest);
  return bytes;
}

/* Keeps the last digest of each process, also after another process has
   replaced it on its node, because usage reports still need its counts.  */
static void
store_digest (peers_t *peers, gs_time_t now, digest_t *digest)
{
  peer_process_t *process
      = g_hash_table_lookup (peers->processes, &digest->self.incarnation);

  if (process == NULL)
    {
      process = g_new0 (peer_process_t, 1);
      process->digest = *digest;
      g_hash_table_insert (peers->processes, &process->digest.self.incarnation,
                           process);
    }
  else
    {
      digest_clear (&process->digest);
      process->digest = *digest;
    }
  process->received_at = now;
}

static gs_status_t
accept_digest (peers_t *peers, gs_time_t now, const char *data, size_t length)
{
  digest_t digest;
  peer_t *peer;
  gs_status_t status;

  digest_init (&digest);
  status = digest_decode (&digest, data, length);
  if (status == GS_OK && is_self (peers, digest.self.name))
    status = gs_error_set (GS_EINVAL,
                           "digest was sent under this node's own name");
  if (status != GS_OK)
    {
      digest_clear (&digest);
      return status;
    }
  peer = peer_ensure (peers, &digest.self);
  if (peer == NULL)
    {
      digest_clear (&digest);
      return gs_error_set (GS_ELIMIT, "too many nodes in the fleet");
    }
  if (peer->silent)
    gs_log (GS_LOG_INFO, "peer_heard", "peer=%s incarnation=%llx away_ms=%lld",
            digest.self.name, (unsigned long long)digest.self.incarnation,
            peer->last_digest_at == 0
                ? -1LL
                : (long long)((now - peer->last_digest_at) / GS_MSEC));
  peer->silent = false;
  peer->member = digest.self;
  peer->last_digest_at = now;
  peer->next_call_at
      = now + exchange_interval (peers)
        + (gs_time_t)gs_rng_below (&peers->rng,
                                   (uint64_t)exchange_interval (peers) / 3);
  for (guint i = 0; i < digest.members->len; i++)
    {
      peer_t *mentioned = peer_ensure (
          peers, &g_array_index (digest.members, digest_member_t, i));

      if (mentioned != NULL)
        mentioned->last_mentioned_at = now;
    }
  peers->listener.on_digest (peers->listener.context, now, &digest);
  store_digest (peers, now, &digest);
  return GS_OK;
}

GByteArray *
peers_digest_receive (peers_t *peers, gs_time_t now, const char *data,
                      size_t length)
{
  if (accept_digest (peers, now, data, length) != GS_OK)
    {
      gs_log (GS_LOG_WARN, "digest_refused", "reason=\"%s\"",
              gs_error_last ());
      return NULL;
    }
  return encode_own_digest (peers);
}

typedef struct
{
  peers_t *peers;
  char name[GS_NAME_BYTES]; /* of the node; "" for a seed address */
} digest_call_t;

static void
on_call_done (void *context, const gs_http_result_t *result)
{
  digest_call_t *call = context;
  peers_t *peers = call->peers;
  peer_t *peer = g_hash_table_lookup (peers->by_name, call->name);
  gs_time_t now = gs_clock_now ();
  bool succeeded = result->status == GS_OK && result->http_status == 200;

  if (peer != NULL)
    {
      peer->call_pending = false;
      peer->next_call_at
          = now
            + (now > peer->last_digest_at + peers_silence_timeout (peers)
                   ? MAX (SILENT_PEER_INTERVAL, exchange_interval (peers))
                   : exchange_interval (peers));
    }
  if (succeeded
      && accept_digest (peers, now, result->body, result->body_length)
             != GS_OK)
    gs_log (GS_LOG_WARN, "digest_refused", "reason=\"%s\"", gs_error_last ());
  else if (result->status == GS_OK && !succeeded)
    gs_log (GS_LOG_WARN, "digest_not_taken", "peer=%s http=%ld", call->name,
            result->http_status);
  g_free (call);
}

static void
call_endpoint (peers_t *peers, gs_time_t now, const gs_endpoint_t *endpoint,
               const char *name)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  GByteArray *body = encode_own_digest (peers);
  digest_call_t *call = g_new0 (digest_call_t, 1);
  char *url = g_strdup_printf ("http://%s:%u" PEERS_DIGEST_PATH,
                               endpoint->host, endpoint->port);

  call->peers = peers;
  g_strlcpy (call->name, name, sizeof call->name);
  request.method = "POST";
  request.url = url;
  request.body = (const char *)body->data;
  request.body_length = body->len;
  request.deadline = now + CALL_TIMEOUT;
  request.connect_deadline = now + CONNECT_TIMEOUT;
  request.tcp_keepalive = true;
  request.on_done = on_call_done;
  request.context = call;
  request.context_free = g_free;
  gs_loop_http (NULL, peers->loop, &request);
  g_byte_array_unref (body);
  g_free (url);
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
      call_endpoint (peers, now, &peers->seeds[i], "");
}

static void
log_silence (const peers_t *peers, peer_t *peer, gs_time_t now)
{
  if (peer->silent
      || now <= peer->last_digest_at + peers_silence_timeout (peers))
    return;
  peer->silent = true;
  gs_log (GS_LOG_WARN, "peer_silent", "peer=%s silent_ms=%lld",
          peer->member.name,
          (long long)((now - peer->last_digest_at) / GS_MSEC));
}

void
peers_tick (peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  call_seeds (peers, now);
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;

      log_silence (peers, peer, now);
      if (!peer->listed && !peer->call_pending
          && now > MAX (peer->last_digest_at, peer->last_mentioned_at)
                       + PEER_TTL)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (peer->call_pending || now < peer->next_call_at)
        continue;
      peer->call_pending = true;
      call_endpoint (peers, now, &peer->member.peers, peer->member.name);
    }
  g_hash_table_iter_init (&iter, peers->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now > ((peer_process_t *)value)->received_at + PEERS_DIGEST_TTL)
      g_hash_table_iter_remove (&iter);
}

void
peers_notify_all (peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((peer_t *)value)->next_call_at = now;
  peers_tick (peers, now);
}

unsigned
peers_member_count (const peers_t *peers, gs_time_t now)
{
  unsigned count = 1;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((peer_t *)value)->listed
        || now <= ((peer_t *)value)->last_digest_at + PEER_TTL)
      count++;
  return count;
}

static bool
is_live (const peers_t *peers, const peer_t *peer, gs_time_t now)
{
  return peer->last_digest_at != 0
         && now <= peer->last_digest_at + peers_silence_timeout (peers);
}

unsigned
peers_live_count (const peers_t *peers, gs_time_t now)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += is_live (peers, value, now);
  return count;
}

static const peer_process_t *
find_process (const peers_t *peers, const peer_t *peer)
{
  return g_hash_table_lookup (peers->processes, &peer->member.incarnation);
}

static const digest_t *
last_digest (const peers_t *peers, const peer_t *peer)
{
  const peer_process_t *process = find_process (peers, peer);

  return process != NULL ? &process->digest : NULL;
}

/* Nodes are ordered by a hash of their names.  By name, the nodes of one data
   centre would come one after another, so the first nodes could all be in the
   same data centre.  */
static uint64_t
name_hash (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

unsigned
peers_rank (const peers_t *peers, gs_time_t now)
{
  uint64_t own = name_hash (peers->self.name);
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      const digest_t *digest = last_digest (peers, peer);

      count += is_live (peers, peer, now) && digest != NULL && digest->ready
               && !digest->leaving && name_hash (peer->member.name) < own;
    }
  return count;
}

bool
peers_has_follower (const peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const digest_t *digest = last_digest (peers, value);

      if (is_live (peers, value, now) && digest != NULL
          && digest->follows_store && !digest->store_lost && !digest->leaving)
        return true;
    }
  return false;
}

unsigned
peers_live_addresses (const peers_t *peers, gs_time_t now, gs_endpoint_t *out,
                      unsigned max)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value) && count < max)
    {
      const peer_t *peer = value;
      const digest_t *digest = last_digest (peers, peer);

      if (is_live (peers, peer, now) && digest != NULL && digest->ready
          && !digest->leaving)
        out[count++] = peer->member.callers;
    }
  return count;
}

traffic_peers_t *
peers_view_create (const peers_t *peers, gs_time_t now)
{
  traffic_peers_t *view = g_new0 (traffic_peers_t, 1);
  GHashTableIter iter;
  gpointer value;

  view->fleet.members = peers_member_count (peers, now);
  view->fleet.report_ttl = QUOTA_FRESH_INTERVALS * exchange_interval (peers);
  view->fleet.lag
      = view->fleet.report_ttl + TRAFFIC_REPORT_INTERVAL + DIGEST_DELAY_MAX;
  view->peers = g_array_new (FALSE, TRUE, sizeof (traffic_peer_t));
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      const digest_t *digest = last_digest (peers, peer);
      traffic_peer_t row;

      if (!is_live (peers, peer, now) || digest == NULL)
        continue;
      row.node = name_hash (peer->member.name);
      row.received_at = find_process (peers, peer)->received_at;
      row.loads = g_array_copy (digest->report->loads);
      row.quota = g_array_copy (digest->report->quota);
      g_array_append_val (view->peers, row);
    }
  return view;
}

void
peers_digest_foreach (const peers_t *peers, gs_time_t now,
                      peers_digest_cb_t callback, void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_process_t *process = value;

      if (now <= process->received_at + PEERS_DIGEST_TTL)
        callback (context, &process->digest, process->received_at);
    }
}

static char *
endpoint_text (const gs_endpoint_t *endpoint)
{
  return g_strdup_printf ("%s:%u", endpoint->host, endpoint->port);
}

json_t *
peers_member_encode (const digest_member_t *member)
{
  char *callers = endpoint_text (&member->callers);
  char *peers = endpoint_text (&member->peers);
  char *incarnation
      = g_strdup_printf ("%016llx", (unsigned long long)member->incarnation);
  json_t *value = json_pack ("{s:s, s:s, s:s}", "incarnation", incarnation,
                             "callers", callers, "peers", peers);

  g_free (incarnation);
  g_free (peers);
  g_free (callers);
  return value;
}

gs_status_t
peers_member_decode (digest_member_t *out, const char *name,
                     const json_t *value)
{
  const char *incarnation
      = json_string_value (json_object_get (value, "incarnation"));
  const char *callers = json_string_value (json_object_get (value, "callers"));
  const char *peers = json_string_value (json_object_get (value, "peers"));

  *out = (digest_member_t){ .incarnation = 0 };
  if (incarnation == NULL || callers == NULL || peers == NULL
      || g_strlcpy (out->name, name, sizeof out->name) >= sizeof out->name
      || gs_endpoint_parse (&out->callers, callers) != GS_OK
      || gs_endpoint_parse (&out->peers, peers) != GS_OK)
    return gs_error_set (GS_EINVAL, "entry of node %s is malformed", name);
  out->incarnation = g_ascii_strtoull (incarnation, NULL, 16);
  return GS_OK;
}
