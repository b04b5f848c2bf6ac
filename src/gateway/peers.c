#include "gateway/peers.h"

#include "garnetstack/log.h"
#include "garnetstack/rng.h"

#include <string.h>
#include <xxhash.h>

/* Within a region an answer takes some milliseconds; a node that is slowed
   takes some tens.  */
#define CALL_TIME (500 * GS_MSEC)
#define CONNECT_TIME (300 * GS_MSEC)
/* What a node told of its use of accounts counts as known for so many times
   the interval between two digests; a pair exchanges two in it.  */
#define QUOTA_INTERVALS 2
/* Time for a digest's way and for both threads at each end, which look after
   it once in 10 ms; the rest of the lag covers slower nodes.  */
#define ON_THE_WAY (100 * GS_MSEC)
/* A node that does not answer is called less often.  */
#define SILENT_INTERVAL GS_SEC
/* A node that is neither listed nor heard for so long is forgotten.  */
#define FORGET_AFTER (10 * GS_SEC)

typedef struct
{
  digest_t digest;
  gs_time_t heard_at;
} process_t;

typedef struct
{
  digest_member_t member;
  bool listed;        /* in the store */
  gs_time_t known_at; /* when another last named it */
  gs_time_t heard_at; /* 0 for never */
  gs_time_t due;      /* of the next call */
  bool busy;
  bool silent; /* as logged */
} peer_t;

struct peers
{
  gs_loop_t *loop;
  digest_member_t self;
  peers_listener_t listener;
  GHashTable *by_name;   /* name -> peer_t */
  GHashTable *processes; /* incarnation -> process_t */
  gs_endpoint_t seeds[GS_SEEDS_MAX];
  unsigned seed_count;
  gs_time_t seeds_due;
  gs_rng_t rng;
};

static void
process_free (gpointer data)
{
  process_t *process = data;

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
interval (const peers_t *peers)
{
  unsigned nodes = g_hash_table_size (peers->by_name) + 1;

  return nodes <= PEERS_FEW ? PEERS_INTERVAL
                            : PEERS_INTERVAL * nodes / PEERS_FEW;
}

gs_time_t
peers_silence (const peers_t *peers)
{
  return (gs_time_t)(PEERS_MISSED * (double)interval (peers));
}

static bool
is_self (const peers_t *peers, const char *name)
{
  return strcmp (peers->self.name, name) == 0;
}

static peer_t *
ensure_peer (peers_t *peers, const digest_member_t *member)
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
peers_set_listed (peers_t *peers, const digest_member_t *member, bool listed)
{
  peer_t *peer = listed ? ensure_peer (peers, member)
                        : g_hash_table_lookup (peers->by_name, member->name);

  if (peer == NULL)
    return;
  peer->listed = listed;
  /* A node may come back under its name at another address.  */
  if (listed && peer->member.incarnation != member->incarnation
      && gs_clock_now () > peer->heard_at + peers_silence (peers))
    peer->member = *member;
}

static GByteArray *
own_digest (const peers_t *peers)
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

/* The last word of each process is kept, also once another has taken its
   place: what it counted still goes into usage reports.  */
static void
remember (peers_t *peers, gs_time_t now, digest_t *digest)
{
  process_t *process
      = g_hash_table_lookup (peers->processes, &digest->self.incarnation);

  if (process == NULL)
    {
      process = g_new0 (process_t, 1);
      process->digest = *digest;
      g_hash_table_insert (peers->processes, &process->digest.self.incarnation,
                           process);
    }
  else
    {
      digest_clear (&process->digest);
      process->digest = *digest;
    }
  process->heard_at = now;
}

static gs_status_t
take_digest (peers_t *peers, gs_time_t now, const char *data, size_t length)
{
  digest_t digest;
  peer_t *peer;
  gs_status_t status;

  digest_init (&digest);
  status = digest_decode (&digest, data, length);
  if (status == GS_OK && is_self (peers, digest.self.name))
    status = gs_error_set (GS_EINVAL, "a digest bears this node's own name");
  if (status != GS_OK)
    {
      digest_clear (&digest);
      return status;
    }
  peer = ensure_peer (peers, &digest.self);
  if (peer == NULL)
    {
      digest_clear (&digest);
      return gs_error_set (GS_ELIMIT, "too many nodes");
    }
  if (peer->silent)
    gs_log (GS_LOG_INFO, "peer_heard", "peer=%s incarnation=%llx away_ms=%lld",
            digest.self.name, (unsigned long long)digest.self.incarnation,
            peer->heard_at == 0
                ? -1LL
                : (long long)((now - peer->heard_at) / GS_MSEC));
  peer->silent = false;
  peer->member = digest.self;
  peer->heard_at = now;
  peer->due = now + interval (peers)
              + (gs_time_t)gs_rng_below (&peers->rng,
                                         (uint64_t)interval (peers) / 3);
  for (guint i = 0; i < digest.members->len; i++)
    {
      peer_t *named = ensure_peer (
          peers, &g_array_index (digest.members, digest_member_t, i));

      if (named != NULL)
        named->known_at = now;
    }
  peers->listener.on_digest (peers->listener.context, now, &digest);
  remember (peers, now, &digest);
  return GS_OK;
}

GByteArray *
peers_receive (peers_t *peers, gs_time_t now, const char *data, size_t length)
{
  if (take_digest (peers, now, data, length) != GS_OK)
    {
      gs_log (GS_LOG_WARN, "digest_refused", "reason=\"%s\"",
              gs_error_last ());
      return NULL;
    }
  return own_digest (peers);
}

typedef struct
{
  peers_t *peers;
  char name[GS_NAME_BYTES]; /* "" for a seed */
} call_t;

static void
on_called (void *context, const gs_http_result_t *result)
{
  call_t *call = context;
  peers_t *peers = call->peers;
  peer_t *peer = g_hash_table_lookup (peers->by_name, call->name);
  gs_time_t now = gs_clock_now ();
  bool whole = result->status == GS_OK && result->http_status == 200;

  if (peer != NULL)
    {
      peer->busy = false;
      peer->due = now
                  + (now > peer->heard_at + peers_silence (peers)
                         ? MAX (SILENT_INTERVAL, interval (peers))
                         : interval (peers));
    }
  if (whole
      && take_digest (peers, now, result->body, result->body_length) != GS_OK)
    gs_log (GS_LOG_WARN, "digest_refused", "reason=\"%s\"", gs_error_last ());
  else if (result->status == GS_OK && !whole)
    gs_log (GS_LOG_WARN, "digest_not_taken", "peer=%s http=%ld", call->name,
            result->http_status);
  g_free (call);
}

static void
call_endpoint (peers_t *peers, gs_time_t now, const gs_endpoint_t *endpoint,
               const char *name)
{
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  GByteArray *body = own_digest (peers);
  call_t *call = g_new0 (call_t, 1);
  char *url = g_strdup_printf ("http://%s:%u" PEERS_DIGEST_PATH,
                               endpoint->host, endpoint->port);

  call->peers = peers;
  g_strlcpy (call->name, name, sizeof call->name);
  request.method = "POST";
  request.url = url;
  request.body = (const char *)body->data;
  request.body_length = body->len;
  request.deadline = now + CALL_TIME;
  request.connect_deadline = now + CONNECT_TIME;
  request.probe_silence = true;
  request.on_done = on_called;
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
  peers->seeds_due = now + SILENT_INTERVAL;
  for (unsigned i = 0; i < peers->seed_count; i++)
    if (!is_known_endpoint (peers, &peers->seeds[i]))
      call_endpoint (peers, now, &peers->seeds[i], "");
}

static void
note_silent (const peers_t *peers, peer_t *peer, gs_time_t now)
{
  if (peer->silent || now <= peer->heard_at + peers_silence (peers))
    return;
  peer->silent = true;
  gs_log (GS_LOG_WARN, "peer_silent", "peer=%s silent_ms=%lld",
          peer->member.name, (long long)((now - peer->heard_at) / GS_MSEC));
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

      note_silent (peers, peer, now);
      if (!peer->listed && !peer->busy
          && now > MAX (peer->heard_at, peer->known_at) + FORGET_AFTER)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (peer->busy || now < peer->due)
        continue;
      peer->busy = true;
      call_endpoint (peers, now, &peer->member.peers, peer->member.name);
    }
  g_hash_table_iter_init (&iter, peers->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now > ((process_t *)value)->heard_at + PEERS_REMEMBERED)
      g_hash_table_iter_remove (&iter);
}

void
peers_hurry (peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((peer_t *)value)->due = now;
  peers_tick (peers, now);
}

unsigned
peers_members (const peers_t *peers, gs_time_t now)
{
  unsigned count = 1;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((peer_t *)value)->listed
        || now <= ((peer_t *)value)->heard_at + FORGET_AFTER)
      count++;
  return count;
}

static bool
is_heard (const peers_t *peers, const peer_t *peer, gs_time_t now)
{
  return peer->heard_at != 0 && now <= peer->heard_at + peers_silence (peers);
}

unsigned
peers_heard (const peers_t *peers, gs_time_t now)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += is_heard (peers, value, now);
  return count;
}

static const process_t *
process_of (const peers_t *peers, const peer_t *peer)
{
  return g_hash_table_lookup (peers->processes, &peer->member.incarnation);
}

static const digest_t *
digest_of (const peers_t *peers, const peer_t *peer)
{
  const process_t *process = process_of (peers, peer);

  return process != NULL ? &process->digest : NULL;
}

/* A hash spreads what the first nodes do over the data centres, whose nodes'
   names sort together.  */
static uint64_t
order_of (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

unsigned
peers_before (const peers_t *peers, gs_time_t now)
{
  uint64_t own = order_of (peers->self.name);
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      const digest_t *digest = digest_of (peers, peer);

      count += is_heard (peers, peer, now) && digest != NULL && digest->ready
               && !digest->leaving && order_of (peer->member.name) < own;
    }
  return count;
}

bool
peers_follower_heard (const peers_t *peers, gs_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const digest_t *digest = digest_of (peers, value);

      if (is_heard (peers, value, now) && digest != NULL && digest->follows
          && !digest->store_lost && !digest->leaving)
        return true;
    }
  return false;
}

unsigned
peers_addresses (const peers_t *peers, gs_time_t now, gs_endpoint_t *out,
                 unsigned max)
{
  unsigned count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value) && count < max)
    {
      const peer_t *peer = value;
      const digest_t *digest = digest_of (peers, peer);

      if (is_heard (peers, peer, now) && digest != NULL && digest->ready
          && !digest->leaving)
        out[count++] = peer->member.callers;
    }
  return count;
}

traffic_peers_t *
peers_view (const peers_t *peers, gs_time_t now)
{
  traffic_peers_t *view = g_new0 (traffic_peers_t, 1);
  GHashTableIter iter;
  gpointer value;

  view->fleet.members = peers_members (peers, now);
  view->fleet.report_ttl = QUOTA_INTERVALS * interval (peers);
  view->fleet.lag
      = view->fleet.report_ttl + TRAFFIC_REPORT_INTERVAL + ON_THE_WAY;
  view->peers = g_array_new (FALSE, TRUE, sizeof (traffic_peer_t));
  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      const digest_t *digest = digest_of (peers, peer);
      traffic_peer_t row;

      if (!is_heard (peers, peer, now) || digest == NULL)
        continue;
      row.node = order_of (peer->member.name);
      row.heard_at = process_of (peers, peer)->heard_at;
      row.loads = g_array_copy (digest->report->loads);
      row.quota = g_array_copy (digest->report->quota);
      g_array_append_val (view->peers, row);
    }
  return view;
}

void
peers_each (const peers_t *peers, gs_time_t now, peers_each_cb_t callback,
            void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->processes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const process_t *process = value;

      if (now <= process->heard_at + PEERS_REMEMBERED)
        callback (context, &process->digest, process->heard_at);
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
  char *others = endpoint_text (&member->peers);
  char *incarnation
      = g_strdup_printf ("%016llx", (unsigned long long)member->incarnation);
  json_t *value = json_pack ("{s:s, s:s, s:s}", "incarnation", incarnation,
                             "callers", callers, "peers", others);

  g_free (incarnation);
  g_free (others);
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
  const char *others = json_string_value (json_object_get (value, "peers"));

  *out = (digest_member_t){ .incarnation = 0 };
  if (incarnation == NULL || callers == NULL || others == NULL
      || g_strlcpy (out->name, name, sizeof out->name) >= sizeof out->name
      || gs_endpoint_parse (&out->callers, callers) != GS_OK
      || gs_endpoint_parse (&out->peers, others) != GS_OK)
    return gs_error_set (GS_EINVAL, "the entry of node %s is malformed", name);
  out->incarnation = g_ascii_strtoull (incarnation, NULL, 16);
  return GS_OK;
}
