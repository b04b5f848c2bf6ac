#include "check.h"
#include "garnetstack/rng.h"
#include "gateway_world.h"
#include "raw_proxy.h"
#include "soak_client.h"

#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

/* Randomized soak test with overlapping faults.  Gateway processes are paused,
   terminated, killed and restarted, proxies before the replicas are set to
   delay, withhold or reset, the store fails, and configurations and replica
   states change.  Each response to a caller is checked against the system's
   guarantees.  The environment variables GS_SOAK_SEED and GS_SOAK_SECONDS
   select another seed and duration.  */

#define GATEWAY_COUNT 3
#define REPLICA_COUNT 3
#define CALLER_COUNT 8
#define DURATION_SECONDS_DEFAULT 12
#define FAULTS_OPEN_MAX 3
#define RESPONSE_TIMEOUT (6 * GS_SEC)
/* All nodes are ready again within this time after the last fault.  */
#define RECOVERY_TIMEOUT (12 * GS_SEC)

/* Seeds 1 and 2 have no special reason; each of the others but 604 once
   failed, all for the same one: a reload signal that was sent while a node was
   paused was delivered to the thread that writes the log, and ended the
   process.  604 makes replicas brittle while a node is stopped and the store
   is set back.  */
static const uint64_t seeds[]
    = { 1,   2,   5,   9,   10,  15,  16,  17,  101, 102,
        103, 301, 302, 401, 402, 601, 602, 604, 801, 802 };
/* Seeds from this one on draw all kinds of faults; those below draw the kinds
   that there were when they were chosen.  */
#define SEED_ALL_KINDS_MIN 100

typedef struct
{
  const char *path;  /* after the configuration's prefix */
  bool at_most_once; /* not idempotent: may be executed at most once */
  bool is_stream;
  bool is_executed; /* a replica executes each request that arrives */
} request_kind_t;

static const request_kind_t request_kinds[] = {
  { "never/good", true, false, true },
  { "free/good", false, false, true },
  { "never/die", true, false, true },
  { "free/die-once", false, false, true },
  { "never/fails", true, false, true },
  { "free/fails-once", false, false, true },
  { "never/full", true, false, false },
  { "never/short", true, false, true },
  { "never/unframed-reset", true, false, true },
  { "free/late-extra", false, false, true },
  { "free/foreign-once", false, false, true },
  { "stream/once/good", true, true, true },
  { "stream/once/torn", true, true, true },
  { "stream/resume/torn-once", false, true, true },
  { "never/busy", true, false, true },
  { "never/reset", true, false, true },
  { "never/too-many", true, false, true },
  { "stream/once/unframed-stream-cut", true, true, true },
  { "stream/resume/unframed-stream-torn-once", false, true, true },
  { "never/again-foreign", true, false, true },
  { "never/again-own", true, false, true },
  { "free/again-anonymous", false, false, true },
  { "stream/resume/torn-then-error-event", false, true, true },
  { "stream/resume/torn-then-error-head", false, true, true },
  { "never/early", true, false, true },
  { "never/again-anonymous", true, false, true },
  { "stream/resume/good", false, true, true },
  { "never/misdirected", true, false, true },
  { "never/timed-out", true, false, true },
};

/* Seeds below this one draw the kinds of requests and faults that there were
   when they were chosen.  */
#define SEED_CRASHES_MIN 300
#define REQUEST_KINDS_BEFORE 14
#define SEED_BRITTLE_MIN 400
#define REQUEST_KINDS_CRASHES 19
#define REQUEST_KINDS_BRITTLE 24
/* Seeds from this one on keep and pipeline connections.  */
#define SEED_KEPT_MIN 600
/* Seeds from this one on have a store that names its eras from the start: odd
   ones from 0, even ones from 1.  */
#define SEED_ERAS_MIN 800
/* Streams that may go on at another software version than the one that began
   them, in one run.  */
#define MIXED_STREAMS_MAX 2
#define PIPELINED_MAX 3
#define BODY_BYTES_MAX 60000
#define STREAM_EVENTS 6
/* Rejections that brittle replicas bear, and requests that they run.  */
#define BRITTLE_REJECTIONS 8
#define BRITTLE_ROOM 1
/* Brittle replicas let fewer requests wait from this time after they have said
   so.  The platform leaves 3 s, its contact_ms, before that.  */
#define BRITTLE_NOTICE_TIME (1500 * GS_MSEC)
/* 2 and a tenth of the replicas may fall over each time they are brittle.  */
#define BRITTLE_FALLS_MAX (2 + REPLICA_COUNT / 10)
#define ODD_ENTRY "{\"slots\":1e999,\"sequence\":123456789012345678901}"

typedef struct
{
  char id[32];
  const request_kind_t *kind;
  unsigned status; /* 0: no response */
  char *answer;
  bool ended;       /* a stream was received to its regular end */
  unsigned after;   /* the event after which a stream is resumed */
  char fill;        /* of the body */
  unsigned length;  /* of the body */
  char resumes[32]; /* attempt that began the stream; "" if it begins one */
} request_t;

typedef struct
{
  gateway_world_t world;
  raw_proxy_t *proxies[REPLICA_COUNT];
  uint64_t seed;
  atomic_bool stopping;
  pthread_mutex_t lock;
  GPtrArray *requests; /* of request_t */
  unsigned faults;
  unsigned brittle_times;     /* for which replicas have been brittle */
  unsigned falls_before;      /* the last one of these */
  unsigned falls_most;        /* in one of these */
  gs_time_t room_shrinks_at;  /* while they are brittle; 0 once it has */
  bool killed[GATEWAY_COUNT]; /* by FAULT_KILL_ALL */
} soak_t;

typedef struct
{
  soak_t *soak;
  unsigned number;
} soak_caller_t;

static void
request_free (gpointer data)
{
  request_t *request = data;

  g_free (request->answer);
  g_free (request);
}

static size_t
request_kind_count (const soak_t *soak)
{
  return soak->seed >= SEED_KEPT_MIN      ? G_N_ELEMENTS (request_kinds)
         : soak->seed >= SEED_BRITTLE_MIN ? REQUEST_KINDS_BRITTLE
         : soak->seed >= SEED_CRASHES_MIN ? REQUEST_KINDS_CRASHES
                                          : REQUEST_KINDS_BEFORE;
}

static void
record_answer (soak_t *soak, request_t *request)
{
  if (g_str_has_prefix (request->answer, "HTTP/1.1 "))
    request->status
        = (unsigned)strtoul (request->answer + strlen ("HTTP/1.1 "), NULL, 10);
  pthread_mutex_lock (&soak->lock);
  g_ptr_array_add (soak->requests, request);
  pthread_mutex_unlock (&soak->lock);
}

/* A request that resumes the stream of another one, if that broke within it,
   and one of any kind else.  Replicas answer a resumed request of a kind
   "torn-then-" with an error, which is theirs to give.  */
static request_t *
request_next (soak_t *soak, gs_rng_t *rng, const request_t *last)
{
  request_t *request = g_new0 (request_t, 1);
  unsigned event
      = last != NULL ? soak_client_last_event (last->answer, last->after) : 0;

  request->kind
      = &request_kinds[gs_rng_below (rng, request_kind_count (soak))];
  request->fill = (char)('a' + gs_rng_below (rng, 26));
  request->length = gs_rng_below (rng, 4) == 0
                        ? (unsigned)gs_rng_below (rng, BODY_BYTES_MAX) + 1
                        : 20;
  if (last != NULL && !last->ended && last->status == 200
      && g_str_has_prefix (last->kind->path, "stream/resume/")
      && strstr (last->kind->path, "torn-then-") == NULL
      && event < STREAM_EVENTS && event > 0)
    {
      request->kind = last->kind;
      request->after = event;
      g_strlcpy (request->resumes,
                 last->resumes[0] != '\0' ? last->resumes : last->id,
                 sizeof request->resumes);
    }
  return request;
}

static void
send_requests (soak_t *soak, soak_client_t *client, unsigned gateway,
               request_t **requests, unsigned count)
{
  soak_exchange_t rows[PIPELINED_MAX];
  char *targets[PIPELINED_MAX];

  for (unsigned i = 0; i < count; i++)
    {
      const request_t *request = requests[i];

      targets[i] = g_strconcat ("/a/", request->kind->path, NULL);
      rows[i] = (soak_exchange_t){ .id = request->id,
                                   .target = targets[i],
                                   .fill = request->fill,
                                   .body_bytes = request->length,
                                   .resumes = request->resumes[0] != '\0'
                                                  ? request->resumes
                                                  : NULL,
                                   .resume_after = request->after };
    }
  soak_client_exchange (client, gateway, rows, count);
  for (unsigned i = 0; i < count; i++)
    {
      requests[i]->answer = rows[i].answer;
      requests[i]->ended = rows[i].ended;
      record_answer (soak, requests[i]);
      g_free (targets[i]);
    }
}

static void *
keeping_caller_run (void *context)
{
  soak_caller_t *caller = context;
  soak_t *soak = caller->soak;
  request_t *requests[PIPELINED_MAX] = { NULL };
  unsigned number = 0;
  unsigned count = 0;
  soak_client_t *client;
  gs_rng_t rng;

  gs_rng_seed (&rng, soak->seed * 100 + caller->number);
  soak_client_create (&client, &soak->world);
  while (!atomic_load (&soak->stopping))
    {
      const request_t *last = count > 0 ? requests[count - 1] : NULL;

      count = gs_rng_below (&rng, 4) == 0
                  ? 1 + (unsigned)gs_rng_below (&rng, PIPELINED_MAX)
                  : 1;
      for (unsigned i = 0; i < count; i++)
        {
          requests[i] = request_next (soak, &rng, i == 0 ? last : NULL);
          g_snprintf (requests[i]->id, sizeof requests[i]->id, "s%llu-%u-%u",
                      (unsigned long long)soak->seed, caller->number,
                      number++);
        }
      send_requests (soak, client,
                     (unsigned)gs_rng_below (&rng, GATEWAY_COUNT), requests,
                     count);
      g_usleep (10000 + gs_rng_below (&rng, 20000));
    }
  soak_client_destroy (client);
  return NULL;
}

static void *
caller_run (void *context)
{
  soak_caller_t *caller = context;
  soak_t *soak = caller->soak;
  gs_rng_t rng;

  gs_rng_seed (&rng, soak->seed * 100 + caller->number);
  for (unsigned i = 0; !atomic_load (&soak->stopping); i++)
    {
      request_t *request = g_new0 (request_t, 1);
      char *target;

      request->kind
          = &request_kinds[gs_rng_below (&rng, request_kind_count (soak))];
      g_snprintf (request->id, sizeof request->id, "s%llu-%u-%u",
                  (unsigned long long)soak->seed, caller->number, i);
      target = g_strconcat ("/a/", request->kind->path, NULL);
      request->answer = gw_request (
          &soak->world, (unsigned)gs_rng_below (&rng, GATEWAY_COUNT), "POST",
          target, request->id, "", "x");
      request->ended = strstr (request->answer, "\r\n0\r\n\r\n") != NULL;
      request->fill = 'x';
      request->length = 1;
      g_free (target);
      record_answer (soak, request);
      g_usleep (10000 + gs_rng_below (&rng, 20000));
    }
  return NULL;
}

typedef enum
{
  FAULT_PAUSE,
  FAULT_KILL,
  FAULT_TERM,
  FAULT_HUP,
  FAULT_STORE,
  FAULT_STORE_OF_ONE,
  FAULT_COMPACT,
  FAULT_PROXY,
  FAULT_CONFIG,
  FAULT_DRAIN,
  FAULT_LIMIT,  /* a replica names a limit on its requests */
  FAULT_REFUSE, /* a replica rejects requests and says for how long */
  FAULT_SET_BACK,
  FAULT_CRASH,    /* a replica ends and starts again */
  FAULT_BRITTLE,  /* replicas are brittle, with little room */
  FAULT_ENTRY,    /* an entry that cannot be read is among the replicas' */
  FAULT_KILL_ALL, /* all nodes are killed */
  FAULT_VERSION,  /* another version of a replica takes its address */
  FAULT_KIND_COUNT
} fault_kind_t;

typedef struct
{
  fault_kind_t kind;
  unsigned target;   /* index of a gateway or replica */
  gs_time_t ends_at; /* 0 when not open */
} fault_t;

static bool
is_running (soak_t *soak, unsigned gateway)
{
  return soak->world.gateways[gateway].pid != 0;
}

static const char *const fault_names[FAULT_KIND_COUNT]
    = { "pause",    "kill",  "term",    "hup",   "store",    "store_of_one",
        "compact",  "proxy", "config",  "drain", "limit",    "refuse",
        "set_back", "crash", "brittle", "entry", "kill_all", "version" };

static unsigned
fault_kind_count (const soak_t *soak)
{
  return soak->seed >= SEED_KEPT_MIN        ? FAULT_KIND_COUNT
         : soak->seed >= SEED_BRITTLE_MIN   ? FAULT_VERSION
         : soak->seed >= SEED_CRASHES_MIN   ? FAULT_BRITTLE
         : soak->seed >= SEED_ALL_KINDS_MIN ? FAULT_CRASH
                                            : FAULT_LIMIT;
}

static void
print_fault (const soak_t *soak, const fault_t *fault, const char *what)
{
  int64_t wall = gs_clock_wall ();

  printf ("\n  %lld.%03lld fault=%s which=%u %s seed=%llu",
          (long long)(wall / GS_SEC), (long long)(wall % GS_SEC / GS_MSEC),
          fault->kind < FAULT_KIND_COUNT ? fault_names[fault->kind] : "none",
          fault->target, what, (unsigned long long)soak->seed);
}

static void
begin_fault (soak_t *soak, gs_rng_t *rng, fault_t *fault)
{
  gateway_world_t *world = &soak->world;
  store_mode_t mode
      = (store_mode_t)(1 + gs_rng_below (rng, STORE_DROPS_RESPONSES));
  gs_time_t duration
      = 200 * GS_MSEC + (gs_time_t)gs_rng_below (rng, 1500 * GS_MSEC);

  fault->kind = (fault_kind_t)gs_rng_below (rng, fault_kind_count (soak));
  fault->target = (unsigned)gs_rng_below (rng, GATEWAY_COUNT);
  fault->ends_at = gs_clock_now () + duration;
  soak->faults++;
  print_fault (soak, fault, "begins");
  switch (fault->kind)
    {
    case FAULT_PAUSE:
      gw_signal (world, fault->target, SIGSTOP);
      break;
    case FAULT_KILL:
      gw_signal (world, fault->target, SIGKILL);
      break;
    case FAULT_TERM:
      gw_signal (world, fault->target, SIGTERM);
      fault->ends_at += 9 * GS_SEC;
      break;
    case FAULT_HUP:
      gw_signal (world, fault->target, SIGHUP);
      break;
    case FAULT_STORE:
      gw_store_set_mode (world, mode);
      break;
    case FAULT_STORE_OF_ONE:
      gw_store_set_mode_for (world, fault->target, mode);
      break;
    case FAULT_COMPACT:
      gw_store_compact (world);
      break;
    case FAULT_PROXY:
      raw_proxy_set_mode (
          soak->proxies[fault->target],
          (proxy_mode_t)(1 + gs_rng_below (rng, PROXY_MODE_COUNT - 1)));
      break;
    case FAULT_CONFIG:
      gw_configure (world, soak->faults + 1, "/a/", WORLD_API_KEY);
      break;
    case FAULT_LIMIT:
      gw_replica_headers_set (world, fault->target, "Server-Limit: 2\r\n");
      break;
    case FAULT_REFUSE:
      gw_replica_refuse (world, fault->target, "0.7");
      break;
    case FAULT_SET_BACK:
      gw_store_copy (world);
      break;
    case FAULT_CRASH:
      gw_replica_crash (world, fault->target);
      fault->ends_at += 2 * WORLD_RESTART_TIME;
      break;
    case FAULT_BRITTLE:
      gw_brittle_bounds_set (world, BRITTLE_REJECTIONS, WORLD_SLOTS);
      gw_brittle_set (world, true);
      soak->brittle_times++;
      soak->falls_before = gw_falls_count (world);
      soak->room_shrinks_at = gs_clock_now () + BRITTLE_NOTICE_TIME;
      fault->ends_at += BRITTLE_NOTICE_TIME + 2 * GS_SEC;
      break;
    case FAULT_ENTRY:
      if (world->raw_value_count < WORLD_RAW_VALUES_MAX)
        gw_object_put_raw (world, "servers", "odd", ODD_ENTRY);
      break;
    case FAULT_KILL_ALL:
      for (unsigned i = 0; i < GATEWAY_COUNT; i++)
        {
          soak->killed[i] |= is_running (soak, i);
          gw_signal (world, i, SIGKILL);
        }
      break;
    case FAULT_VERSION:
      gw_replica_version_set (world, fault->target,
                              soak->faults % 2 == 0 ? "v1" : "v2");
      break;
    case FAULT_DRAIN:
    case FAULT_KIND_COUNT:
      gw_replica_publish (world, fault->target, "draining");
      break;
    }
}

static void
end_fault (soak_t *soak, fault_t *fault)
{
  gateway_world_t *world = &soak->world;

  fault->ends_at = 0;
  print_fault (soak, fault, "ends");
  switch (fault->kind)
    {
    case FAULT_PAUSE:
      gw_signal (world, fault->target, SIGCONT);
      break;
    case FAULT_KILL:
    case FAULT_TERM:
      gw_signal (world, fault->target, SIGKILL);
      gw_start (world, fault->target, false);
      break;
    case FAULT_STORE:
      gw_store_set_mode (world, STORE_NORMAL);
      break;
    case FAULT_STORE_OF_ONE:
      gw_store_set_mode_for (world, fault->target, STORE_NORMAL);
      break;
    case FAULT_PROXY:
      raw_proxy_set_mode (soak->proxies[fault->target], PROXY_PASS);
      break;
    case FAULT_DRAIN:
      gw_replica_publish (world, fault->target, "ready");
      break;
    case FAULT_LIMIT:
      gw_replica_headers_set (world, fault->target, "");
      break;
    case FAULT_REFUSE:
      gw_replica_refuse (world, fault->target, NULL);
      break;
    case FAULT_CRASH:
      gw_replicas_restart (world);
      break;
    case FAULT_BRITTLE:
      gw_brittle_set (world, false);
      soak->falls_most = MAX (soak->falls_most,
                              gw_falls_count (world) - soak->falls_before);
      soak->room_shrinks_at = 0;
      break;
    case FAULT_ENTRY:
      gw_object_remove (world, "servers", "odd");
      break;
    case FAULT_KILL_ALL:
      for (unsigned i = 0; i < GATEWAY_COUNT; i++)
        if (soak->killed[i] && !is_running (soak, i))
          gw_start (world, i, false);
      memset (soak->killed, 0, sizeof soak->killed);
      break;
    case FAULT_SET_BACK:
      gw_store_set_back (world);
      /* The operator and the replicas write again what was lost.  */
      gw_configure (world, ++soak->faults, "/a/", WORLD_API_KEY);
      for (unsigned i = 0; i < REPLICA_COUNT; i++)
        gw_replica_publish (world, i, "ready");
      break;
    default:
      break;
    }
}

static bool
is_of_all (fault_kind_t kind)
{
  return kind == FAULT_BRITTLE || kind == FAULT_KILL_ALL;
}

/* Two process faults must not overlap on one gateway, nor two other faults on
   one target, nor two of a kind that concerns all: the end of one would undo
   the other.
   @return false if @p planned conflicts with an open fault  */
static bool
has_no_conflict (const fault_t *faults, const fault_t *planned)
{
  for (unsigned i = 0; i < FAULTS_OPEN_MAX; i++)
    if (&faults[i] != planned && faults[i].ends_at != 0
        && is_of_all (planned->kind) && faults[i].kind == planned->kind)
      return false;
    else if (&faults[i] != planned && faults[i].ends_at != 0
             && faults[i].target == planned->target
             && (faults[i].kind <= FAULT_TERM)
                    == (planned->kind <= FAULT_TERM))
      return false;
  return true;
}

/* Leaves brittle replicas less room once it is due.  */
static void
shrink_room (soak_t *soak)
{
  if (soak->room_shrinks_at == 0 || gs_clock_now () < soak->room_shrinks_at)
    return;
  gw_brittle_bounds_set (&soak->world, BRITTLE_REJECTIONS, BRITTLE_ROOM);
  soak->room_shrinks_at = 0;
}

static bool
has_open (const fault_t *faults, fault_kind_t kind)
{
  for (unsigned i = 0; i < FAULTS_OPEN_MAX; i++)
    if (faults[i].ends_at != 0 && faults[i].kind == kind)
      return true;
  return false;
}

/* Begins faults until @p end_at.  Brittle replicas remain so to their end, as
   their room shrinks late.  */
static void
run_faults (soak_t *soak, gs_time_t end_at)
{
  fault_t faults[FAULTS_OPEN_MAX] = { { .ends_at = 0 } };
  gs_rng_t rng;

  gs_rng_seed (&rng, soak->seed);
  while (gs_clock_now () < end_at || has_open (faults, FAULT_BRITTLE))
    {
      shrink_room (soak);
      for (unsigned i = 0; i < FAULTS_OPEN_MAX; i++)
        {
          fault_t *fault = &faults[i];
          fault_t planned = { .kind = FAULT_HUP };

          if (fault->ends_at != 0 && gs_clock_now () >= fault->ends_at)
            end_fault (soak, fault);
          if (fault->ends_at != 0 || gs_clock_now () >= end_at
              || gs_rng_below (&rng, 8) != 0)
            continue;
          /* begin_fault() draws the same values from @p rng as this copy.  */
          gs_rng_t rng_copy = rng;
          gs_rng_below (&rng_copy, STORE_DROPS_RESPONSES);
          gs_rng_below (&rng_copy, 1500 * GS_MSEC);
          planned.kind = (fault_kind_t)gs_rng_below (&rng_copy,
                                                     fault_kind_count (soak));
          planned.target = (unsigned)gs_rng_below (&rng_copy, GATEWAY_COUNT);
          if (has_no_conflict (faults, &planned)
              && (planned.kind > FAULT_HUP
                  || is_running (soak, planned.target)))
            begin_fault (soak, &rng, fault);
          else
            gs_rng_next (&rng);
        }
      if (soak->seed >= SEED_BRITTLE_MIN)
        gw_replicas_restart (&soak->world);
      g_usleep (50000);
    }
  for (unsigned i = 0; i < FAULTS_OPEN_MAX; i++)
    if (faults[i].ends_at != 0)
      end_fault (soak, &faults[i]);
}

/* @return the guarantee that the request's result violates, NULL if none  */
static const char *
find_violation (soak_t *soak, const request_t *request)
{
  unsigned arrivals = gw_arrivals_count (&soak->world, request->id);
  const char *body = strstr (request->answer, "\r\n\r\n");

  if (request->kind->at_most_once && request->kind->is_executed
      && arrivals > 1)
    return "executed more than once";
  if ((request->status == 503 || request->status == 429
       || request->status == 408 || request->status == 421)
      && request->kind->is_executed && arrivals > 0)
    return "rejected although it was executed";
  if (request->status == 401 || request->status == 403
      || request->status == 404)
    return "denied although it is valid";
  if (!soak_client_body_is_own (&soak->world, request->id, request->fill,
                                request->length))
    return "a replica received another body";
  if (request->status == 200 && request->kind->is_stream && request->ended
      && soak_client_last_event (request->answer, request->after)
             != STREAM_EVENTS)
    return "an incomplete stream ends regularly";
  if (request->status == 200 && !request->kind->is_stream
      && (body == NULL || strcmp (body + 4, request->id) != 0))
    return "the body is not the replica's";
  return NULL;
}

static unsigned
count_violations (soak_t *soak)
{
  unsigned violations = 0;
  unsigned by_class[6] = { 0 };

  for (guint i = 0; i < soak->requests->len; i++)
    {
      const request_t *request = soak->requests->pdata[i];
      const char *violation = find_violation (soak, request);

      by_class[MIN (request->status / 100, 5)]++;
      if (violation == NULL)
        continue;
      violations++;
      printf ("\n  seed=%llu id=%s path=%s %s: %.200s\n",
              (unsigned long long)soak->seed, request->id, request->kind->path,
              violation, request->answer);
    }
  printf ("\n  soak seed=%llu faults=%u calls=%u ok=%u refused_or_failed=%u"
          " no_answer=%u breaches=%u\n",
          (unsigned long long)soak->seed, soak->faults, soak->requests->len,
          by_class[2], by_class[4] + by_class[5], by_class[0], violations);
  return violations;
}

/* @return streams that went on at another version than the one that began
   them  */
static unsigned
count_mixed_streams (soak_t *soak)
{
  unsigned resumed = 0;
  unsigned mixed = 0;

  for (guint i = 0; i < soak->requests->len; i++)
    {
      const request_t *request = soak->requests->pdata[i];
      const char *begun;
      const char *version;

      if (request->resumes[0] == '\0')
        continue;
      begun = gw_arrival_version (&soak->world, request->resumes);
      version = gw_arrival_version (&soak->world, request->id);
      resumed += version != NULL;
      mixed
          += begun != NULL && version != NULL && strcmp (begun, version) != 0;
    }
  printf ("  %u streams resumed, %u of them at another version\n", resumed,
          mixed);
  return mixed;
}

static bool
all_are_ready (void *context)
{
  soak_t *soak = context;

  for (unsigned i = 0; i < GATEWAY_COUNT; i++)
    if (!gw_is_ready (&soak->world, i))
      return false;
  return true;
}

static void
insert_proxies (soak_t *soak)
{
  for (unsigned i = 0; i < REPLICA_COUNT; i++)
    {
      raw_proxy_create (&soak->proxies[i],
                        raw_server_port (soak->world.replicas[i].server));
      soak->world.replicas[i].port = raw_proxy_port (soak->proxies[i]);
      gw_replica_publish (&soak->world, i, "ready");
    }
}

static void
run_seed (uint64_t seed, unsigned seconds)
{
  soak_t *soak = g_new0 (soak_t, 1);
  pthread_t threads[CALLER_COUNT];
  soak_caller_t callers[CALLER_COUNT];

  soak->seed = seed;
  soak->requests = g_ptr_array_new_with_free_func (request_free);
  pthread_mutex_init (&soak->lock, NULL);
  gw_create (&soak->world, REPLICA_COUNT);
  if (seed >= SEED_ERAS_MIN)
    {
      soak->world.era = 1;
      soak->world.era_offset = seed % 2;
    }
  insert_proxies (soak);
  gw_configure (&soak->world, 1, "/a/", WORLD_API_KEY);
  for (unsigned i = 0; i < GATEWAY_COUNT; i++)
    gw_start (&soak->world, i, true);
  for (unsigned i = 0; i < CALLER_COUNT; i++)
    {
      callers[i] = (soak_caller_t){ soak, i };
      pthread_create (&threads[i], NULL,
                      seed >= SEED_KEPT_MIN ? keeping_caller_run : caller_run,
                      &callers[i]);
    }
  run_faults (soak, gs_clock_now () + (gs_time_t)seconds * GS_SEC);
  CU_ASSERT_TRUE (gw_wait_until (all_are_ready, soak, RECOVERY_TIMEOUT));
  atomic_store (&soak->stopping, true);
  for (unsigned i = 0; i < CALLER_COUNT; i++)
    pthread_join (threads[i], NULL);
  CU_ASSERT_EQUAL (count_violations (soak), 0);
  CU_ASSERT (count_mixed_streams (soak) <= MIXED_STREAMS_MAX);
  CU_ASSERT_EQUAL (gw_duty_violations_count (&soak->world), 0);
  if (soak->brittle_times > 0)
    printf ("  %u replicas fell over in %u times, at most %u in one\n",
            gw_falls_count (&soak->world), soak->brittle_times,
            soak->falls_most);
  CU_ASSERT (soak->falls_most <= BRITTLE_FALLS_MAX);
  CU_ASSERT (soak->requests->len > 0);
  gw_destroy (&soak->world);
  for (unsigned i = 0; i < REPLICA_COUNT; i++)
    raw_proxy_destroy (soak->proxies[i]);
  g_ptr_array_unref (soak->requests);
  pthread_mutex_destroy (&soak->lock);
  g_free (soak);
}

static void
guarantees_hold_under_overlapping_faults (void)
{
  const char *seed = getenv ("GS_SOAK_SEED");
  const char *text = getenv ("GS_SOAK_SECONDS");
  unsigned seconds = text != NULL ? (unsigned)strtoul (text, NULL, 10)
                                  : DURATION_SECONDS_DEFAULT;

  if (seed != NULL)
    {
      run_seed (strtoull (seed, NULL, 10), seconds);
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
    run_seed (seeds[i], seconds);
}

static const check_case_t cases[] = {
  { "guarantees hold under overlapping faults",
    guarantees_hold_under_overlapping_faults },
};

int
main (void)
{
  return CHECK_RUN ("process_soak", cases);
}
