/* The record of a service's versions while the store comes back from an older
   copy, up to twice, and all nodes are killed.  A second version joins and
   begins streams once it is recorded.  Processes that start trust the record,
   and let streams of unknown origin go on at the first version, unless it may
   lack the second one.

   mutants: FIRST_ERAS_SAME NO_GAP ERA_IGNORED

   Time is a counter.  Eras are one more than the store names; it counts from 0
   or 1.  Transitions:
     write      update_era(), object_import(), make_next() of version_history.c
     begin      service_versions_beginning()
     start      on_listed() of version_history.c, find_single_recorded()
   A version that has left stays in the record.  Left out: origins of streams
   that are kept.  */
#define LOOKBACK 2
#define END      6
#define BACKS    2

byte tick;
byte era, first_era;
/* The object of the store, and the one in the copy.  */
bool exists, has_second, has_gap, copy_exists, copy_second, copy_gap, has_copy;
byte record_era, gap_until, copy_era, copy_gap_until;
bool up = true;
bool knows_second; /* the processes know that it is recorded */
bool listed_second;
bool begun;        /* streams at the second version */
byte begun_at;

#ifdef FIRST_ERAS_SAME
#define IS_SAME(a, b) ((a) == (b) || ((a) <= 2 && (b) <= 2))
#else
#ifdef ERA_IGNORED
#define IS_SAME(a, b) (true)
#else
#define IS_SAME(a, b) ((a) == (b))
#endif
#endif

inline write ()
{
  if
  :: !IS_SAME ((exists -> record_era : first_era), era) ->
#ifndef NO_GAP
     has_gap = true;
     gap_until = tick;
#endif
     skip
  :: else -> skip
  fi;
  exists = true;
  record_era = era;
  has_second = has_second || listed_second;
  knows_second = has_second
}

inline start ()
{
  up = true;
  knows_second = has_second;
  /* A process that finds no record in a later era assumes a gap.  */
  assert (!(exists && IS_SAME (record_era, era) && !has_second &&
            !(has_gap && tick <= gap_until + LOOKBACK) &&
            begun && tick <= begun_at + LOOKBACK))
}

active proctype nodes ()
{
  if
  :: era = 1
  :: era = 2
  fi;
  atomic { first_era = era; exists = true; record_era = era };
  do
  :: atomic { tick < END -> listed_second = !listed_second }
  :: atomic {
       tick < END && up &&
       (!exists || !IS_SAME (record_era, era) ||
        (listed_second && !has_second)) ->
       write ()
     }
  :: atomic { tick < END && up && knows_second && listed_second ->
              begun = true; begun_at = tick }
  :: atomic { tick < END && up -> up = false; knows_second = false }
  :: atomic { tick < END && !up -> start () }
  :: tick >= END -> break
  od
}

active proctype store ()
{
  byte backs;

  era > 0;
  do
  :: atomic {
       tick < END -> has_copy = true; copy_exists = exists;
       copy_second = has_second; copy_gap = has_gap; copy_era = record_era;
       copy_gap_until = gap_until
     }
  :: atomic {
       tick < END && has_copy && backs < BACKS ->
       backs++;
       era++;
       exists = copy_exists; has_second = copy_second; has_gap = copy_gap;
       record_era = copy_era; gap_until = copy_gap_until
     }
  :: break
  od
}

active proctype clock ()
{
  era > 0;
  do
  :: tick < END -> tick++
  :: tick >= END -> break
  od
}
