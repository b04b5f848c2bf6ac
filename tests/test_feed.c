#include "check.h"
#include "garnetstack/rng.h"
#include "gateway/feed.h"

#include <stdarg.h>
#include <string.h>

/* A store whose calls are answered by the test.  */
typedef struct
{
  gs_object_store_t port;
  gs_object_cb_t callback; /* of the open call, NULL for none */
  void *argument;
  bool is_watch;
  uint64_t above; /* of a watch */
  char *after;    /* of a list */
  unsigned calls; /* number so far */
} store_t;

/* Records the callbacks of a feed; objects as text: "+a5 -b ".  */
typedef struct
{
  GString *told;
  unsigned listed;
  unsigned lost;
  unsigned back;
} ear_t;

static void
take_list (void *context, const char *kind, const char *after,
           gs_time_t deadline, gs_object_cb_t callback, void *argument)
{
  store_t *store = context;

  store->is_watch = false;
  g_free (store->after);
  store->after = g_strdup (after);
  store->callback = callback;
  store->argument = argument;
  store->calls++;
}

static void
take_watch (void *context, const char *kind, uint64_t above,
            gs_time_t deadline, gs_object_cb_t callback, void *argument)
{
  store_t *store = context;

  store->is_watch = true;
  store->above = above;
  store->callback = callback;
  store->argument = argument;
  store->calls++;
}

static void
answer (store_t *store, const gs_object_result_t *result)
{
  gs_object_cb_t callback = store->callback;

  CU_ASSERT_PTR_NOT_NULL_FATAL (callback);
  if (callback == NULL)
    return;
  store->callback = NULL;
  callback (store->argument, result);
}

/* Answers with objects written as "a5" and removals as "-a5", where 5 is the
   revision.  */
static void
answer_objects (store_t *store, uint64_t revision, bool more, const char *text)
{
  gs_object_t objects[16] = { { .name = NULL } };
  gs_object_result_t result = {
    .status = GS_OK, .revision = revision, .more = more, .objects = objects
  };
  char **words = g_strsplit (text, " ", -1);
  json_t *value = json_object ();

  for (char **word = words; *word != NULL && **word != '\0'; word++)
    {
      gs_object_t *object = &objects[result.count++];
      char *name = **word == '-' ? *word + 1 : *word;
      char *number = name + strcspn (name, "0123456789");

      object->removed = **word == '-';
      object->revision = g_ascii_strtoull (number, NULL, 10);
      *number = '\0';
      object->name = name;
      object->value = object->removed ? NULL : value;
    }
  answer (store, &result);
  json_decref (value);
  g_strfreev (words);
}

static void
answer_status (store_t *store, gs_status_t status)
{
  gs_object_result_t result = { .status = status };

  answer (store, &result);
}

static void
hear_object (void *context, gs_time_t now, const gs_object_t *object)
{
  ear_t *ear = context;

  if (object->removed)
    g_string_append_printf (ear->told, "-%s ", object->name);
  else
    g_string_append_printf (ear->told, "+%s%llu ", object->name,
                            (unsigned long long)object->revision);
}

static void
hear_listed (void *context, gs_time_t now)
{
  ((ear_t *)context)->listed++;
}

static void
hear_lost (void *context, gs_time_t now)
{
  ((ear_t *)context)->lost++;
}

static void
hear_back (void *context, gs_time_t now)
{
  ((ear_t *)context)->back++;
}

static void
start (feed_t **feed, store_t *store, ear_t *ear)
{
  feed_listener_t listener
      = { ear, hear_object, hear_listed, hear_lost, hear_back };

  *store = (store_t){ .port = { .list = take_list, .watch = take_watch } };
  store->port.context = store;
  *ear = (ear_t){ .told = g_string_new (NULL) };
  feed_create (feed, &store->port, "kind", &listener, 1);
}

static void
stop (feed_t *feed, store_t *store, ear_t *ear)
{
  feed_destroy (feed);
  g_free (store->after);
  g_string_free (ear->told, TRUE);
}

/* A feed that watches a store and one that imports from it.  */
typedef struct
{
  feed_t *ahead;
  feed_t *behind;
  store_t stores[2];
  ear_t ears[2];
} pair_t;

static void
start_pair (pair_t *pair)
{
  start (&pair->ahead, &pair->stores[0], &pair->ears[0]);
  start (&pair->behind, &pair->stores[1], &pair->ears[1]);
}

static void
stop_pair (pair_t *pair)
{
  stop (pair->ahead, &pair->stores[0], &pair->ears[0]);
  stop (pair->behind, &pair->stores[1], &pair->ears[1]);
}

static void
tick (feed_t *feed, bool follow)
{
  feed_tick (feed, gs_clock_now () + GS_SEC, follow);
}

/* Starts a feed that watches and has received a list.  */
static void
start_listed (feed_t **feed, store_t *store, ear_t *ear, uint64_t revision,
              const char *text)
{
  start (feed, store, ear);
  tick (*feed, true);
  answer_objects (store, revision, false, text);
}

/* Sends changes to the feed that watches the store.  */
static void
hear_ahead (pair_t *pair, uint64_t revision, const char *events)
{
  tick (pair->ahead, true);
  answer_objects (&pair->stores[0], revision, false, events);
}

/* Imports into one feed what another exports after a revision.  */
static void
copy (const feed_t *from, feed_t *to, uint64_t above)
{
  char *text = feed_export (from, above);

  CU_ASSERT_EQUAL (feed_import (to, GS_SEC, text, strlen (text)), GS_OK);
  g_free (text);
}

static void
pages_are_read_whole_and_watched_from_the_first (void)
{
  feed_t *feed;
  store_t store;
  ear_t ear;

  start (&feed, &store, &ear);
  tick (feed, true);
  answer_objects (&store, 10, true, "a5 b7");
  CU_ASSERT_EQUAL (ear.listed, 0);
  tick (feed, true);
  CU_ASSERT_STRING_EQUAL (store.after, "b");
  answer_objects (&store, 12, false, "c9");
  CU_ASSERT_EQUAL (ear.listed, 1);
  CU_ASSERT_STRING_EQUAL (ear.told->str, "+a5 +b7 +c9 ");
  tick (feed, true);
  /* Changes made while the pages were read are not missed.  */
  CU_ASSERT_TRUE (store.is_watch);
  CU_ASSERT_EQUAL (store.above, 10);
  answer_objects (&store, 14, false, "a13 -b14");
  CU_ASSERT_STRING_EQUAL (ear.told->str, "+a5 +b7 +c9 +a13 -b ");
  CU_ASSERT_EQUAL (feed_revision (feed), 14);
  stop (feed, &store, &ear);
}

static void
a_lost_history_leads_to_a_list_that_tells_what_is_gone (void)
{
  feed_t *feed;
  store_t store;
  ear_t ear;

  start_listed (&feed, &store, &ear, 10, "a5 b7");
  tick (feed, true);
  answer_status (&store, GS_ELIMIT);
  CU_ASSERT_EQUAL (ear.lost, 0);
  tick (feed, true);
  CU_ASSERT_FALSE (store.is_watch);
  answer_objects (&store, 30, false, "b7 c20");
  CU_ASSERT_STRING_EQUAL (ear.told->str, "+a5 +b7 +b7 +c20 -a ");
  stop (feed, &store, &ear);
}

static void
a_store_that_fails_is_asked_again_and_nothing_goes_back (void)
{
  feed_t *feed;
  store_t store;
  ear_t ear;

  start_listed (&feed, &store, &ear, 10, "a5");
  for (unsigned i = 0; i < 5; i++)
    {
      tick (feed, true);
      answer_status (&store, i % 2 ? GS_ETIMEOUT : GS_EREFUSED);
    }
  CU_ASSERT_EQUAL (ear.lost, 1);
  CU_ASSERT (feed_store_lost_at (feed) != 0);
  tick (feed, true);
  CU_ASSERT_EQUAL (store.above, 10);
  answer_objects (&store, 11, false, "a4");
  CU_ASSERT_EQUAL (feed_store_lost_at (feed), 0);
  CU_ASSERT_STRING_EQUAL (ear.told->str, "+a5 ");
  stop (feed, &store, &ear);
}

/* The store charges for each call.  */
static void
changes_in_quick_succession_are_taken_together (void)
{
  gs_time_t begin = gs_clock_now ();
  feed_t *feed;
  store_t store;
  ear_t ear;

  start (&feed, &store, &ear);
  feed_tick (feed, begin, true);
  answer_objects (&store, 10, false, "a5");
  feed_tick (feed, gs_clock_now (), true);
  answer_objects (&store, 11, false, "a11");
  CU_ASSERT_EQUAL (store.calls, 2);
  feed_tick (feed, begin + 50 * GS_MSEC, true);
  CU_ASSERT_EQUAL (store.calls, 2);
  feed_tick (feed, gs_clock_now () + 200 * GS_MSEC, true);
  CU_ASSERT_EQUAL (store.calls, 3);
  CU_ASSERT_TRUE (store.is_watch && store.above == 11);
  /* A watch without a change is renewed at once.  */
  answer_objects (&store, 12, false, "");
  feed_tick (feed, gs_clock_now (), true);
  CU_ASSERT_EQUAL (store.calls, 4);
  stop (feed, &store, &ear);
}

/* A full export and one of changes both bring the importing feed to the
   exporting feed's state.  */
static void
a_copy_of_what_changed_is_as_good_as_a_list (void)
{
  pair_t pair;

  start_pair (&pair);
  hear_ahead (&pair, 10, "a5 b7");
  /* A feed that does not watch makes no call.  */
  tick (pair.behind, false);
  CU_ASSERT_EQUAL (pair.stores[1].calls, 0);
  copy (pair.ahead, pair.behind, 0);
  CU_ASSERT_EQUAL (feed_revision (pair.behind), 10);
  CU_ASSERT_EQUAL (pair.ears[1].listed, 1);
  hear_ahead (&pair, 15, "a12 -b13 c15");
  g_string_truncate (pair.ears[1].told, 0);
  copy (pair.ahead, pair.behind, 10);
  CU_ASSERT_EQUAL (feed_revision (pair.behind), 15);
  CU_ASSERT_PTR_NOT_NULL (strstr (pair.ears[1].told->str, "+a12 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (pair.ears[1].told->str, "+c15 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (pair.ears[1].told->str, "-b "));
  /* A repeated export changes nothing.  */
  g_string_truncate (pair.ears[1].told, 0);
  copy (pair.ahead, pair.behind, 10);
  CU_ASSERT_STRING_EQUAL (pair.ears[1].told->str, "");
  stop_pair (&pair);
}

/* An object removed and created again between two exports exists afterwards.
 */
static void
what_came_back_is_there (void)
{
  pair_t pair;

  start_pair (&pair);
  hear_ahead (&pair, 10, "a5");
  copy (pair.ahead, pair.behind, 0);
  hear_ahead (&pair, 12, "-a11 a12");
  copy (pair.ahead, pair.behind, 10);
  CU_ASSERT_TRUE (g_str_has_suffix (pair.ears[1].told->str, "+a12 "));
  stop_pair (&pair);
}

/* Some feeds watch a store, the others import from any feed that is ahead.
   Each feed must hold the objects that the store had at the feed's revision,
   whichever feed it imported from and however much changed in between.  */
#define COPIES 6
#define FOLLOWING 2
#define NAMES 8
#define CHANGES 400

typedef struct
{
  unsigned revision_of[CHANGES + 1][NAMES]; /* 0: does not exist */
  unsigned newest;
  char *events[CHANGES + 1]; /* in the format of answer_objects() */
} history_t;

static void
change_one (history_t *history, gs_rng_t *rng)
{
  unsigned name = (unsigned)gs_rng_below (rng, NAMES);
  unsigned before = history->newest++;
  unsigned *now = history->revision_of[history->newest];
  bool removes
      = history->revision_of[before][name] != 0 && gs_rng_below (rng, 2) == 0;

  memcpy (now, history->revision_of[before], sizeof (unsigned[NAMES]));
  now[name] = removes ? 0 : history->newest;
  history->events[history->newest] = g_strdup_printf (
      "%s%c%u", removes ? "-" : "", 'a' + name, history->newest);
}

static void
follow (feed_t *feed, store_t *store, const history_t *history)
{
  GString *events = g_string_new (NULL);
  unsigned from = (unsigned)feed_revision (feed) + 1;

  /* answer_objects() takes at most 16 objects.  */
  for (unsigned i = from; i <= history->newest && i < from + 16; i++)
    g_string_append_printf (events, "%s%s", i > from ? " " : "",
                            history->events[i]);
  tick (feed, true);
  answer_objects (store, MIN (history->newest, from + 15), false, events->str);
  g_string_free (events, TRUE);
}

static bool
holds_as_the_store_did (const feed_t *feed, const history_t *history)
{
  const unsigned *expected = history->revision_of[feed_revision (feed)];
  char *text = feed_export (feed, 0);
  json_t *root = json_loads (text, 0, NULL);
  unsigned found = 0;
  unsigned there = 0;
  bool good = true;
  json_t *object;
  size_t i;

  for (unsigned name = 0; name < NAMES; name++)
    there += expected[name] != 0;
  json_array_foreach (json_object_get (root, "objects"), i, object)
  {
    unsigned name
        = (unsigned)*json_string_value (json_object_get (object, "name"))
          - 'a';

    found++;
    good = good
           && json_integer_value (json_object_get (object, "revision"))
                  == (json_int_t)expected[name];
  }
  json_decref (root);
  g_free (text);
  return good && found == there;
}

static void
copies_in_any_order_hold_what_the_store_held (void)
{
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      static history_t history;
      feed_t *feeds[COPIES];
      store_t stores[COPIES];
      ear_t ears[COPIES];
      gs_rng_t rng;
      bool good = true;

      memset (&history, 0, sizeof history);
      gs_rng_seed (&rng, seed);
      for (unsigned i = 0; i < COPIES; i++)
        start (&feeds[i], &stores[i], &ears[i]);
      change_one (&history, &rng);
      for (unsigned i = 0; i < FOLLOWING; i++)
        {
          tick (feeds[i], true);
          answer_objects (&stores[i], 1, false, history.events[1]);
        }
      while (history.newest < CHANGES && good)
        {
          unsigned to = (unsigned)gs_rng_below (&rng, COPIES);
          unsigned from = (unsigned)gs_rng_below (&rng, COPIES);

          for (uint64_t n = gs_rng_below (&rng, 3);
               n > 0 && history.newest < CHANGES; n--)
            change_one (&history, &rng);
          if (to < FOLLOWING && feed_revision (feeds[to]) < history.newest)
            follow (feeds[to], &stores[to], &history);
          else if (feed_revision (feeds[from]) > feed_revision (feeds[to]))
            copy (feeds[from], feeds[to], feed_revision (feeds[to]));
          good = feed_revision (feeds[to]) == 0
                 || holds_as_the_store_did (feeds[to], &history);
        }
      if (!good)
        printf ("\n    seed %u: at revision %u", (unsigned)seed,
                history.newest);
      CU_ASSERT_TRUE (good);
      for (unsigned i = 0; i < COPIES; i++)
        stop (feeds[i], &stores[i], &ears[i]);
      for (unsigned i = 1; i <= history.newest; i++)
        g_free (history.events[i]);
    }
}

/* A feed further behind than the recorded removals gets a full export.  */
static void
a_feed_far_behind_gets_all (void)
{
  pair_t pair;

  start_pair (&pair);
  hear_ahead (&pair, 10, "a5 b7");
  copy (pair.ahead, pair.behind, 0);
  hear_ahead (&pair, 11, "-b11");
  for (unsigned i = 0; i < 1000; i++)
    {
      char *events = g_strdup_printf ("n%u -n%u", 12 + 2 * i, 13 + 2 * i);

      hear_ahead (&pair, 13 + 2 * i, events);
      g_free (events);
    }
  g_string_truncate (pair.ears[1].told, 0);
  copy (pair.ahead, pair.behind, 10);
  CU_ASSERT_PTR_NOT_NULL (strstr (pair.ears[1].told->str, "-b "));
  CU_ASSERT_EQUAL (feed_revision (pair.behind), feed_revision (pair.ahead));
  stop_pair (&pair);
}

/* Guards against a node that stops watching while the store is unreachable to
   it and keeps that state: it would take every later removal for an entry that
   expired while the store was unreachable.  */
static void
a_loss_is_over_once_others_follow (void)
{
  feed_t *feed;
  store_t store;
  ear_t ear;

  start_listed (&feed, &store, &ear, 10, "a5");
  tick (feed, true);
  answer_status (&store, GS_ETIMEOUT);
  CU_ASSERT_EQUAL (ear.lost, 1);
  feed_store_lost_clear (feed, gs_clock_now ());
  CU_ASSERT_EQUAL (feed_store_lost_at (feed), 0);
  CU_ASSERT_EQUAL (ear.back, 1);
  stop (feed, &store, &ear);
}

static void
malformed_copies_are_refused (void)
{
  static const char *const bad[]
      = { "",
          "null",
          "{}",
          "{\"revision\":5}",
          "{\"revision\":0,\"objects\":[]}",
          "{\"revision\":5,\"whole\":false,\"objects\":[]}" };
  feed_t *feed;
  store_t store;
  ear_t ear;

  start (&feed, &store, &ear);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    CU_ASSERT_EQUAL (feed_import (feed, GS_SEC, bad[i], strlen (bad[i])),
                     GS_EINVAL);
  CU_ASSERT_EQUAL (feed_revision (feed), 0);
  stop (feed, &store, &ear);
}

static const check_case_t cases[] = {
  { "pages are read whole and watched from the first",
    pages_are_read_whole_and_watched_from_the_first },
  { "a lost history leads to a list that tells what is gone",
    a_lost_history_leads_to_a_list_that_tells_what_is_gone },
  { "a store that fails is asked again and nothing goes back",
    a_store_that_fails_is_asked_again_and_nothing_goes_back },
  { "a copy of what changed is as good as a list",
    a_copy_of_what_changed_is_as_good_as_a_list },
  { "what came back is there", what_came_back_is_there },
  { "a feed far behind gets all", a_feed_far_behind_gets_all },
  { "a loss is over once others follow", a_loss_is_over_once_others_follow },
  { "changes in quick succession are taken together",
    changes_in_quick_succession_are_taken_together },
  { "copies in any order hold what the store held",
    copies_in_any_order_hold_what_the_store_held },
  { "malformed copies are refused", malformed_copies_are_refused },
};

int
main (void)
{
  return CHECK_RUN ("feed", cases);
}
