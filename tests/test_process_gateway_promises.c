#include "check.h"
#include "garnetstack/rng.h"
#include "gateway_steps.h"
#include "world_desk.h"

#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/* Guards against callers that are told 'not run' for a request that has run or
   runs later, and against requests that may run once and run twice, where
   answers of replicas are lost, written twice or late, among faults of nodes
   and paths.  GS_PLAY_SEED, GS_PLAY_SECONDS and GS_PLAY_GATEWAYS play another
   seed, longer, or with more nodes; GS_PLAY_ROOM=1 and GS_PLAY_COPIES=0 play
   the second case with room in all sockets, and without copies.  */

#define LOST_REQUESTS 40

typedef struct
{
  const char *target;
  bool is_answered;
} lost_case_t;

static const lost_case_t lost_cases[] = { { "/a/never/reset", false },
                                          { "/a/never/die", false },
                                          { "/a/stream/once/torn", false },
                                          { "/a/never/good", true } };

static void
start_without_room (unsigned replicas)
{
  start_world (replicas);
  world.preload = getenv ("GS_SEND_WITHOUT_ROOM");
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_start (&world, 0, true);
}

/* Guards against a request that is sent to a second replica, or refused, after
   it has run, as its first bytes had to wait for room in the socket.  */
static void
a_lost_answer_is_no_promise_when_the_socket_had_no_room (void)
{
  unsigned again = 0;
  unsigned refused = 0;
  unsigned answered = 0;

  for (unsigned i = 0; i < LOST_REQUESTS * G_N_ELEMENTS (lost_cases); i++)
    {
      const lost_case_t *row = &lost_cases[i % G_N_ELEMENTS (lost_cases)];
      char *id = g_strdup_printf ("lost-%u", i);
      char *answer;
      unsigned status;
      unsigned runs;

      /* A node sends it to the only replica again, or to another one.  */
      if (i % (LOST_REQUESTS * G_N_ELEMENTS (lost_cases) / 2) == 0)
        start_without_room (i == 0 ? 1 : 2);
      answer = gw_request (&world, 0, "POST", row->target, id, "", "x");
      runs = gw_arrivals_count (&world, id);
      status = status_of (answer);
      again += runs > 1;
      refused += runs > 0 && status == 503;
      answered += row->is_answered && status == 200;
      g_free (answer);
      g_free (id);
    }
  printf ("\n  %u ran twice, %u ran and were refused, %u of %u answered ",
          again, refused, answered, LOST_REQUESTS);
  CU_ASSERT_EQUAL (again, 0);
  CU_ASSERT_EQUAL (refused, 0);
  CU_ASSERT (answered >= LOST_REQUESTS * 9 / 10);
  end_world ();
}

#define GATEWAYS_DEFAULT 4
#define REPLICAS_DEFAULT 4
#define CALLERS_PER_GATEWAY 4
#define SECONDS_DEFAULT 10
#define WIDE_SECONDS_DEFAULT 5
/* Enough for a node at rest, not for all connections that it would open.  */
#define FEW_DESCRIPTORS 64
#define FAULTS_MAX 4
#define FAULT_INTERVAL_USEC 50000
#define LEAVE_MSEC_MAX 200
#define ANSWER_TIMEOUT_SECONDS 6
/* Replicas end what they still run.  */
#define SETTLE_USEC 1500000
/* Time in which nodes find all replicas again, and for which they then serve
   a load that they have room for.  */
#define CALM_DELAY_USEC 6000000
#define CALM_USEC 2000000
#define CALM_WORK_MSEC 5
/* After it, a replica that crashed as the last fault began is back.  */
#define RESTART_DELAY_USEC 1100000
/* Callers that stay see at least this share of their requests served among the
   faults, and when they are over.  */
#define SERVED_RATIO_MIN 0.25
#define SERVED_RATIO_CALM_MIN 0.9
/* Requests that get 502 although a replica has written their answer: a copy
   costs a node one request for each process that writes it, and some answers
   are lost with a path or a node.  */
#define ANSWERS_LOST_RATIO_MAX 0.01

static const char *const targets[] = { "/a/never/desk", "/a/never/desk",
                                       "/a/stream/once/desk", "/a/free/desk" };

typedef struct
{
  char id[40];
  unsigned target;
  unsigned status; /* 0: none */
  bool left;       /* its caller left before the answer */
  bool silent;     /* no answer, and the connection stays open */
} sent_t;

typedef enum
{
  FAULT_PAUSE,
  FAULT_KILL,
  FAULT_TERM,
  FAULT_HUP,
  FAULT_CUT,
  FAULT_VERSION,
  FAULT_CRASH,
  FAULT_DRAIN,
  FAULT_STORE,
  FAULT_LIMIT,
  FAULT_COUNT,
  /* In plays with copies of rejections.  */
  FAULT_SLOW = FAULT_COUNT, /* a node stops and goes on in turn */
  FAULT_SCALE_IN,           /* a replica's entry goes, another one comes */
  FAULT_START_AGAIN,        /* under the same id */
  FAULT_START_TIME,         /* another one, of a replica that runs on */
  FAULT_COUNT_ALL
} fault_kind_t;

#define SLOW_PULSE (300 * GS_MSEC)
#define LONG_BODY_BYTES 60000

typedef struct
{
  fault_kind_t kind;
  unsigned target;
  gs_time_t ends_at;       /* 0 when not open */
  gs_time_t pulse_ends_at; /* of FAULT_SLOW */
  bool is_stopped;
} fault_t;

typedef struct
{
  bool has_copies; /* replicas write answers and rejections once more */
  bool has_room;   /* sockets take what is written */
  bool is_wide;    /* with all faults, and bodies that are long */
} play_kind_t;

typedef struct
{
  uint64_t seed;
  unsigned gateways;
  unsigned replicas;
  play_kind_t kind;
  unsigned few_descriptors; /* of the last node; 0 for as many as the others */
  atomic_bool stopping;
  pthread_mutex_t lock;
  GPtrArray *sent; /* of sent_t */
  unsigned faults;
  world_desk_t desk;
  world_desk_t calm_desk; /* after the faults */
} play_t;

typedef struct
{
  play_t *play;
  unsigned number;
} caller_t;

static unsigned
number_from (const char *variable, unsigned otherwise)
{
  const char *text = getenv (variable);

  return text != NULL ? (unsigned)strtoul (text, NULL, 10) : otherwise;
}

static bool
caller_connect (raw_conn_t *conn, unsigned gateway)
{
  const struct timeval timeout = { .tv_sec = ANSWER_TIMEOUT_SECONDS };

  if (!gw_connect (conn, &world, gateway))
    return false;
  setsockopt (conn->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  return true;
}

/* Sends a request on a connection of the caller.
   @return false if the connection cannot be used further  */
static bool
exchange (raw_conn_t *conn, gs_rng_t *rng, const char *body, sent_t *sent)
{
  bool leaves = gs_rng_below (rng, 12) == 0;
  gs_time_t deadline = gs_clock_now () + ANSWER_TIMEOUT_SECONDS * GS_SEC;
  raw_message_t message;
  char *connection;
  bool usable;

  /* Equal requests whose answers are lost would be quarantined.  */
  gw_send (conn, "POST", targets[sent->target], sent->id, "", body);
  if (leaves)
    {
      g_usleep ((gulong)gs_rng_below (rng, LEAVE_MSEC_MAX) * 1000);
      sent->left = true;
      return false;
    }
  if (!raw_read_head (conn, &message))
    {
      sent->silent = gs_clock_now () >= deadline;
      return false;
    }
  usable = raw_read_body (conn, &message);
  if (g_str_has_prefix (message.first_line, "HTTP/1.1 "))
    sent->status = status_of (message.first_line);
  connection = raw_message_header (&message, "Connection");
  usable &= connection == NULL || strcmp (connection, "close") != 0;
  g_free (connection);
  raw_message_clear (&message);
  return usable;
}

/* @return the id, in wide plays sometimes with a long text; freed by the
   caller  */
static char *
body_create (const play_t *play, gs_rng_t *rng, const char *id)
{
  bool is_long = play->kind.is_wide && gs_rng_below (rng, 8) == 0;
  char *filling = g_strnfill (is_long ? LONG_BODY_BYTES : 0, 'x');
  char *body = g_strconcat (id, filling, NULL);

  g_free (filling);
  return body;
}

static void *
caller_run (void *context)
{
  const caller_t *caller = context;
  play_t *play = caller->play;
  raw_conn_t conn;
  bool open = false;
  gs_rng_t rng;

  gs_rng_seed (&rng, play->seed * 1000 + caller->number);
  for (unsigned i = 0; !atomic_load (&play->stopping); i++)
    {
      sent_t *sent;
      char *body;

      if (open && gs_rng_below (&rng, 20) == 0)
        {
          raw_close (&conn);
          open = false;
        }
      if (!open)
        open = caller_connect (&conn,
                               (unsigned)gs_rng_below (&rng, play->gateways));
      if (!open)
        {
          g_usleep (10000);
          continue;
        }
      sent = g_new0 (sent_t, 1);
      g_snprintf (sent->id, sizeof sent->id, "p%llu-%u-%u",
                  (unsigned long long)play->seed, caller->number, i);
      sent->target = (unsigned)gs_rng_below (&rng, G_N_ELEMENTS (targets));
      body = body_create (play, &rng, sent->id);
      open = exchange (&conn, &rng, body, sent);
      g_free (body);
      if (!open)
        raw_close (&conn);
      pthread_mutex_lock (&play->lock);
      g_ptr_array_add (play->sent, sent);
      pthread_mutex_unlock (&play->lock);
      /* Some callers return at once after a refusal.  */
      if (sent->status != 503 || caller->number % 4 != 0)
        g_usleep ((gulong)gs_rng_below (&rng, 40000));
    }
  if (open)
    raw_close (&conn);
  return NULL;
}

/* Starts a node again after a fault.  */
static void
node_start (const play_t *play, unsigned gateway)
{
  bool is_last = gateway == play->gateways - 1;

  world.descriptors_max = is_last ? play->few_descriptors : 0;
  gw_start (&world, gateway, false);
}

static void
fault_begin (play_t *play, gs_rng_t *rng, fault_t *fault)
{
  static const proxy_mode_t cuts[] = { PROXY_RESET, PROXY_HANG, PROXY_SILENT,
                                       PROXY_REFUSE, PROXY_NO_RESPONSES };
  proxy_mode_t cut = cuts[gs_rng_below (rng, G_N_ELEMENTS (cuts))];
  unsigned replica = fault->target % world.replica_count;

  play->faults++;
  switch (fault->kind)
    {
    case FAULT_PAUSE:
      gw_signal (&world, fault->target, SIGSTOP);
      break;
    case FAULT_KILL:
      gw_signal (&world, fault->target, SIGKILL);
      break;
    case FAULT_TERM:
      gw_signal (&world, fault->target, SIGTERM);
      fault->ends_at += 9 * GS_SEC;
      break;
    case FAULT_HUP:
      gw_signal (&world, fault->target, SIGHUP);
      break;
    case FAULT_CUT:
      gw_paths_set_mode (&world, fault->target, cut);
      fault->ends_at += GS_SEC;
      break;
    case FAULT_VERSION:
      gw_replica_version_set (&world, replica,
                              play->faults % 2 == 0 ? "v1" : "v2");
      break;
    case FAULT_CRASH:
      gw_replica_crash (&world, replica);
      fault->ends_at += 2 * WORLD_RESTART_TIME;
      break;
    case FAULT_DRAIN:
      gw_replica_publish (&world, replica, "draining");
      break;
    case FAULT_STORE:
      gw_store_set_mode_for (&world, fault->target, STORE_SILENT);
      break;
    case FAULT_LIMIT:
      gw_replica_headers_set (&world, replica, "Server-Limit: 20\r\n");
      break;
    case FAULT_SLOW:
      fault->ends_at += 2 * GS_SEC;
      break;
    case FAULT_SCALE_IN:
      gw_object_remove (&world, "servers", world.replicas[replica].id);
      break;
    case FAULT_START_AGAIN:
      gw_replica_start_again (&world, replica, true);
      break;
    case FAULT_START_TIME:
    case FAULT_COUNT_ALL:
      gw_replica_start_again (&world, replica, false);
      break;
    }
}

/* Stops a slow node, or lets it go on.  */
static void
fault_pulse (fault_t *fault)
{
  if (fault->kind != FAULT_SLOW || gs_clock_now () < fault->pulse_ends_at)
    return;
  fault->pulse_ends_at = gs_clock_now () + SLOW_PULSE;
  fault->is_stopped = !fault->is_stopped;
  gw_signal (&world, fault->target, fault->is_stopped ? SIGSTOP : SIGCONT);
}

static void
fault_end (const play_t *play, fault_t *fault)
{
  unsigned replica = fault->target % world.replica_count;

  fault->ends_at = 0;
  switch (fault->kind)
    {
    case FAULT_PAUSE:
    case FAULT_SLOW:
      gw_signal (&world, fault->target, SIGCONT);
      break;
    case FAULT_SCALE_IN:
      gw_replica_version_set (&world, replica,
                              world.replicas[replica].version);
      break;
    case FAULT_KILL:
    case FAULT_TERM:
      gw_signal (&world, fault->target, SIGKILL);
      node_start (play, fault->target);
      break;
    case FAULT_CUT:
      gw_paths_set_mode (&world, fault->target, PROXY_PASS);
      break;
    case FAULT_CRASH:
      gw_replicas_restart (&world);
      break;
    case FAULT_DRAIN:
      gw_replica_publish (&world, replica, "ready");
      break;
    case FAULT_STORE:
      gw_store_set_mode_for (&world, fault->target, STORE_NORMAL);
      break;
    case FAULT_LIMIT:
      gw_replica_headers_set (&world, replica, "");
      break;
    default:
      break;
    }
}

typedef enum
{
  OF_PROCESS,
  OF_NODE,
  OF_REPLICA
} fault_object_t;

static fault_object_t
fault_object (fault_kind_t kind)
{
  return kind <= FAULT_HUP || kind == FAULT_SLOW    ? OF_PROCESS
         : kind == FAULT_CUT || kind == FAULT_STORE ? OF_NODE
                                                    : OF_REPLICA;
}

/* Faults of one object must not overlap: the end of one would undo the other.
 */
static bool
has_conflict (const fault_t *faults, unsigned count, const fault_t *planned)
{
  fault_object_t object = fault_object (planned->kind);
  unsigned modulus
      = object == OF_REPLICA ? world.replica_count : WORLD_GATEWAYS_MAX;
  bool found = false;

  for (unsigned i = 0; i < count; i++)
    found |= faults[i].ends_at != 0 && fault_object (faults[i].kind) == object
             && faults[i].target % modulus == planned->target % modulus;
  return found;
}

static void
faults_run (play_t *play, gs_time_t end_at)
{
  unsigned count = MAX (FAULTS_MAX, play->gateways / 3);
  unsigned kinds = play->kind.is_wide ? FAULT_COUNT_ALL : FAULT_COUNT;
  fault_t *faults = g_new0 (fault_t, count);
  gs_rng_t rng;

  gs_rng_seed (&rng, play->seed);
  while (gs_clock_now () < end_at)
    {
      for (unsigned i = 0; i < count; i++)
        {
          fault_t planned
              = { .kind = (fault_kind_t)gs_rng_below (&rng, kinds),
                  .target = (unsigned)gs_rng_below (&rng, play->gateways),
                  .ends_at = gs_clock_now () + 50 * GS_MSEC
                             + (gs_time_t)gs_rng_below (&rng, GS_SEC) };

          if (faults[i].ends_at != 0 && gs_clock_now () >= faults[i].ends_at)
            fault_end (play, &faults[i]);
          else if (faults[i].ends_at != 0)
            fault_pulse (&faults[i]);
          if (faults[i].ends_at != 0 || gs_rng_below (&rng, 6) != 0
              || has_conflict (faults, count, &planned))
            continue;
          faults[i] = planned;
          fault_begin (play, &rng, &faults[i]);
        }
      gw_replicas_restart (&world);
      g_usleep (FAULT_INTERVAL_USEC);
    }
  for (unsigned i = 0; i < count; i++)
    if (faults[i].ends_at != 0)
      fault_end (play, &faults[i]);
  g_free (faults);
}

typedef struct
{
  unsigned served;
  unsigned refused;
  unsigned failed; /* may have run */
  unsigned ran_and_failed;
  unsigned answered_and_failed; /* though a replica has written the answer */
  unsigned left;
  unsigned silent;
  unsigned broken_promises;
  unsigned repeated;
} result_t;

static bool
is_promise (unsigned status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static result_t
result_count (const play_t *play, guint from)
{
  result_t result = { 0 };

  for (guint i = from; i < play->sent->len; i++)
    {
      const sent_t *sent = play->sent->pdata[i];
      bool once = strstr (targets[sent->target], "/free/") == NULL;
      unsigned runs = gw_arrivals_count (&world, sent->id);
      bool broken = once && is_promise (sent->status) && runs > 0;
      bool repeated = once && runs > 1;

      result.served += sent->status == 200;
      result.refused += is_promise (sent->status);
      result.failed += sent->status > 200 && !is_promise (sent->status);
      result.ran_and_failed += sent->status == 502 && runs > 0;
      result.answered_and_failed
          += sent->status == 502 && gw_arrival_answered (&world, sent->id);
      result.left += sent->left;
      result.silent += sent->silent;
      result.broken_promises += broken;
      result.repeated += repeated;
      if (broken || repeated || sent->silent)
        printf ("\n  id=%s target=%s status=%u runs=%u", sent->id,
                targets[sent->target], sent->status, runs);
    }
  printf ("\n  seed=%llu nodes=%u replicas=%u faults=%u requests=%u served=%u "
          "refused=%u"
          " failed=%u ran_and_502=%u answered_and_502=%u left=%u silent=%u"
          " broken_promises=%u repeated=%u ",
          (unsigned long long)play->seed, play->gateways, play->replicas,
          play->faults, play->sent->len - from, result.served, result.refused,
          result.failed, result.ran_and_failed, result.answered_and_failed,
          result.left, result.silent, result.broken_promises, result.repeated);
  return result;
}

/* Draws what replicas of wide plays do beside the other plays.  */
static void
desk_widen (play_t *play, gs_rng_t *rng)
{
  world_desk_t *desk = &play->desk;

  /* Many requests find no slot the first time, and come again on the
     connection that carried their rejection.  */
  desk->slots = 1 + (unsigned)gs_rng_below (rng, 2);
  world.connections_max
      = play->gateways * (2 + (unsigned)gs_rng_below (rng, 3));
  desk->late_ms_max = gs_rng_below (rng, 2) == 0 ? 0 : 3000;
  desk->two_percent = (unsigned)gs_rng_below (rng, 50);
  desk->torn_percent = (unsigned)gs_rng_below (rng, 50);
  /* Connections that meet copies of other rejections do not last until their
     own requests come again.  */
  desk->own_copy_percent = 30 + (unsigned)gs_rng_below (rng, 70);
  desk->refusal_copy_percent
      = gs_rng_below (rng, 2) == 0 ? 0 : (unsigned)gs_rng_below (rng, 60);
  desk->early_percent = (unsigned)gs_rng_below (rng, 5);
  play->few_descriptors = gs_rng_below (rng, 2) == 0 ? 0 : FEW_DESCRIPTORS;
}

static void
play_start (play_t *play, pthread_t *threads, caller_t *callers)
{
  gs_rng_t rng;

  gs_rng_seed (&rng, play->seed);
  play->sent = g_ptr_array_new_with_free_func (g_free);
  pthread_mutex_init (&play->lock, NULL);
  if (play->kind.is_wide)
    play->replicas = 1 + (unsigned)gs_rng_below (&rng, REPLICAS_DEFAULT);
  start_world (play->replicas);
  world.path_gateways = play->gateways;
  world.preload = play->kind.has_room ? NULL : getenv ("GS_SEND_WITHOUT_ROOM");
  play->desk
      = (world_desk_t){ .lost_percent = 5 + (unsigned)gs_rng_below (&rng, 25),
                        .again_percent = (unsigned)gs_rng_below (&rng, 30),
                        .work_ms_max = 20 + (unsigned)gs_rng_below (&rng, 60),
                        .slots
                        = 1 + (unsigned)gs_rng_below (&rng, WORLD_SLOTS),
                        .slow_percent = (unsigned)gs_rng_below (&rng, 4) };
  world.connections_max
      = 2 * play->gateways + (unsigned)gs_rng_below (&rng, 6 * play->gateways);
  if (play->kind.is_wide)
    desk_widen (play, &rng);
  if (!play->kind.has_copies)
    play->desk.again_percent = play->desk.refusal_copy_percent
        = play->desk.own_copy_percent = 0;
  world_desk_set (&world, &play->desk);
  gw_paths_create (&world);
  gw_configure (&world, 1, "/a/", WORLD_API_KEY);
  gw_start (&world, 0, true);
  for (unsigned i = 1; i < play->gateways; i++)
    node_start (play, i);
  for (unsigned i = 0; i < play->gateways * CALLERS_PER_GATEWAY; i++)
    {
      callers[i] = (caller_t){ play, i };
      pthread_create (&threads[i], NULL, caller_run, &callers[i]);
    }
}

static void
seed_play (uint64_t seed, play_kind_t kind, unsigned gateways,
           unsigned seconds)
{
  play_t play = { .seed = seed,
                  .gateways = gateways,
                  .replicas = REPLICAS_DEFAULT,
                  .kind = kind,
                  .calm_desk = { .work_ms_max = CALM_WORK_MSEC } };
  unsigned callers_count = gateways * CALLERS_PER_GATEWAY;
  pthread_t *threads = g_new0 (pthread_t, callers_count);
  caller_t *callers = g_new0 (caller_t, callers_count);
  result_t result;
  result_t calm;
  guint calm_from;

  play_start (&play, threads, callers);
  faults_run (&play, gs_clock_now () + (gs_time_t)seconds * GS_SEC);
  world_desk_set (&world, &play.calm_desk);
  world.connections_max = 0;
  g_usleep (RESTART_DELAY_USEC);
  gw_replicas_restart (&world);
  g_usleep (CALM_DELAY_USEC - RESTART_DELAY_USEC);
  pthread_mutex_lock (&play.lock);
  calm_from = play.sent->len;
  pthread_mutex_unlock (&play.lock);
  g_usleep (CALM_USEC);
  atomic_store (&play.stopping, true);
  for (unsigned i = 0; i < callers_count; i++)
    pthread_join (threads[i], NULL);
  g_usleep (SETTLE_USEC);
  result = result_count (&play, 0);
  CU_ASSERT_EQUAL (result.broken_promises, 0);
  CU_ASSERT_EQUAL (result.repeated, 0);
  CU_ASSERT ((double)result.served
             >= SERVED_RATIO_MIN * (double)(play.sent->len - result.left));
  if (kind.is_wide)
    CU_ASSERT ((double)result.answered_and_failed
               <= ANSWERS_LOST_RATIO_MAX * (double)play.sent->len);
  calm = result_count (&play, calm_from);
  CU_ASSERT ((double)calm.served
             >= SERVED_RATIO_CALM_MIN
                    * (double)(play.sent->len - calm_from - calm.left));
  end_world ();
  g_ptr_array_unref (play.sent);
  pthread_mutex_destroy (&play.lock);
  g_free (callers);
  g_free (threads);
}

static void
promises_hold_among_lost_and_repeated_answers (void)
{
  static const uint64_t seeds[] = { 1, 2, 3 };
  unsigned seed = number_from ("GS_PLAY_SEED", 0);
  unsigned seconds = number_from ("GS_PLAY_SECONDS", SECONDS_DEFAULT);
  unsigned gateways = number_from ("GS_PLAY_GATEWAYS", GATEWAYS_DEFAULT);

  for (size_t i = 0; seed == 0 && i < G_N_ELEMENTS (seeds); i++)
    seed_play (seeds[i], (play_kind_t){ true, seeds[i] % 2 == 1, false },
               gateways, seconds);
  if (seed != 0)
    seed_play (seed, (play_kind_t){ true, seed % 2 == 1, false }, gateways,
               seconds);
}

/* Guards against a copy of a rejection that is taken for the answer to its
   request, which is under way again, and against answers that are lost to
   copies, where sockets have no room, beside replicas that come and go under
   ids and start times of all kinds, slow nodes and nodes with few
   descriptors.  */
static void
promises_hold_among_copies_of_rejections (void)
{
  play_kind_t kind = { .has_copies = number_from ("GS_PLAY_COPIES", 1) != 0,
                       .has_room = number_from ("GS_PLAY_ROOM", 0) != 0,
                       .is_wide = true };

  seed_play (number_from ("GS_PLAY_SEED", 42), kind,
             number_from ("GS_PLAY_GATEWAYS", GATEWAYS_DEFAULT),
             number_from ("GS_PLAY_SECONDS", WIDE_SECONDS_DEFAULT));
}

static const check_case_t cases[] = {
  { "a lost answer is no promise when the socket had no room",
    a_lost_answer_is_no_promise_when_the_socket_had_no_room },
  { "promises hold among lost and repeated answers",
    promises_hold_among_lost_and_repeated_answers },
  { "promises hold among copies of rejections",
    promises_hold_among_copies_of_rejections },
};

int
main (void)
{
  return CHECK_RUN ("process_gateway_promises", cases);
}
