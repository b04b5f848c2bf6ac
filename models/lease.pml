/* The lease of a pool with fencing tokens, two nodes and a store whose
   answers are late or lost, an engine that ignores numbers, and node 0, whose
   writes may take effect late and which may be paused between its check and
   its order.

   mutants: FROM_ANSWER NO_MARGIN ACT_IN_DOUBT ATTEMPTS_ALIKE SAME_NUMBER EARLY_TAKE NO_ASK_AGAIN NO_REORDER RESIGN_AND_ACT REVIVE

   Time is a counter.  Transitions:
     read       gs_lease_read_done()
     send       start_write() of lease.c
     answer     gs_lease_write_done()
     check      gs_lease_is_valid()
     resign     gs_lease_resign(); the other node may know at once or never
     reorder    gs_placement_order_is_applied() and GS_PLACEMENT_ORDER
   TERM stands for GS_LEASE_TERM, PAUSE for GS_LEASE_PAUSE_MAX with the
   drift.  */
#define TERM  2
#define PAUSE 1
#define END   4
#define NONE  2

byte tick;
/* The object in the store.  */
byte holder = NONE, fencing, renewal, version = 1;
/* Per node: what it read, and until when it may act (0: not).  */
byte seen_holder[2] = NONE, seen_fencing[2], seen_renewal[2], seen_version[2];
byte seen_at[2], act_until[2], own_fencing[2];
bool known[2], doubt[2];
/* Writes on their way, two a node, so that one can be late.  */
byte sent_version[4], sent_fencing[4], sent_renewal[4];
bool on_way[4];
byte tried_at[2], tried_renewal[2];
/* Orders: the number that each engine follows.  */
byte strict, loose;
bool long_pause; /* used up */
byte resigned;   /* token whose holder has resigned; 0 for none */
bool stale;      /* a paused holder sent an order */

inline read (n)
{
  if
  :: known[n] && seen_version[n] == version -> skip
  :: else ->
     seen_at[n] = tick;
     seen_holder[n] = holder;
     seen_fencing[n] = fencing;
     seen_renewal[n] = renewal;
     seen_version[n] = version
  fi;
  if
  :: doubt[n] && holder == n &&
#ifndef ATTEMPTS_ALIKE
     renewal == tried_renewal[n] &&
#endif
#ifndef REVIVE
     (resigned == 0 || fencing != resigned) &&
#endif
     true ->
     act_until[n] = tried_at[n] + TERM - PAUSE;
     own_fencing[n] = fencing
  :: else ->
     if
     :: holder != n -> act_until[n] = 0
     :: else -> skip
     fi
  fi;
  known[n] = true;
  doubt[n] = false
}

/* A renewal, or the taking of a lease that was seen unchanged for a term.  */
inline send (n, slot)
{
  tried_at[n] = tick;
  on_way[slot] = true;
  sent_version[slot] = seen_version[n];
  if
  :: tried_renewal[n] > seen_renewal[n] ->
     sent_renewal[slot] = tried_renewal[n] + 1
  :: else -> sent_renewal[slot] = seen_renewal[n] + 1
  fi;
  tried_renewal[n] = sent_renewal[slot];
#ifdef SAME_NUMBER
  sent_fencing[slot] = 1;
#else
  sent_fencing[slot] = seen_fencing[n] + (seen_holder[n] != n ||
     (resigned != 0 && seen_fencing[n] == resigned) -> 1 : 0);
#endif
}

inline take_effect (slot)
{
  if
  :: sent_version[slot] == version ->
     holder = slot / 2;
     fencing = sent_fencing[slot];
     renewal = sent_renewal[slot];
     version++
  :: else -> skip
  fi;
  on_way[slot] = false
}

inline order (n)
{
  /* Two may act at once only through a pause beyond the margin.  */
  assert (stale || !(act_until[1 - n] > tick && own_fencing[1 - n] > own_fencing[n]));
  assert (own_fencing[0] != own_fencing[1]);
  if
  :: own_fencing[n] >= strict -> strict = own_fencing[n]
  :: else -> skip
  fi;
  loose = own_fencing[n]
}

inline may_write (n)
{
  (seen_holder[n] == n || seen_holder[n] == NONE ||
   (resigned != 0 && seen_fencing[n] == resigned) ||
#ifdef EARLY_TAKE
   tick >= seen_at[n] + 1)
#else
   tick >= seen_at[n] + TERM)
#endif
}

inline answer (n, slot)
{
#ifdef FROM_ANSWER
  act_until[n] = tick + TERM - PAUSE;
#else
#ifdef NO_MARGIN
  act_until[n] = tried_at[n] + TERM;
#else
  act_until[n] = tried_at[n] + TERM - PAUSE;
#endif
#endif
#ifndef REVIVE
  if
  :: resigned != 0 && sent_fencing[slot] == resigned -> act_until[n] = 0
  :: else -> skip
  fi;
#endif
  own_fencing[n] = sent_fencing[slot];
  seen_at[n] = tick;
  seen_holder[n] = n;
  seen_fencing[n] = sent_fencing[slot];
  seen_renewal[n] = sent_renewal[slot];
  seen_version[n] = sent_version[slot] + 1
}

proctype node (byte n; byte rounds)
{
  byte slot, checked, step;

  do
  :: atomic {
       step == 0 && tick < END && rounds > 0 ->
       rounds--;
       read (n);
       if
       :: may_write (n) ->
          slot = 2 * n;
          if
          :: on_way[slot] -> slot++
          :: else -> skip
          fi;
          if
          :: on_way[slot] -> step = 3
          :: else -> send (n, slot); step = 1
          fi
       :: else -> step = 3
       fi
     }
  :: atomic { /* it takes effect, or the condition fails */
       step == 1 && on_way[slot] ->
       if
       :: sent_version[slot] == version -> step = 2
       :: else -> doubt[n] = true; step = 3
       fi;
       take_effect (slot)
     }
  :: atomic { /* nothing is heard of it; it may come late */
       step == 1 && n == 0 ->
       doubt[n] = true;
       step = 3;
#ifdef ACT_IN_DOUBT
       act_until[n] = tried_at[n] + TERM - PAUSE;
       own_fencing[n] = sent_fencing[slot]
#endif
     }
  :: atomic { step == 1 && !on_way[slot] -> doubt[n] = true; step = 3 }
  :: atomic { step == 2 -> answer (n, slot); step = 3 }
  :: atomic { step == 2 -> doubt[n] = true; step = 3 } /* answer lost */
  :: atomic { step == 3 && tick < act_until[n] -> checked = tick; step = 4 }
  :: atomic { step == 3 && tick < act_until[n] && resigned == 0 ->
              resigned = own_fencing[n];
#ifndef RESIGN_AND_ACT
              act_until[n] = 0;
#endif
              step = 0; slot = 0 }
  :: atomic { step == 3 -> step = 0; slot = 0 }
#ifdef NO_ASK_AGAIN
  :: atomic { step == 4 ->
#else
  :: atomic { step == 4 && tick <= checked + PAUSE ->
#endif
              order (n); step = 0; slot = 0; checked = 0 }
  :: atomic { step == 4 && tick > checked + PAUSE ->
              if
              :: !long_pause && n == 0 -> long_pause = true; stale = true; order (n)
              :: skip
              fi;
              step = 0; slot = 0; checked = 0 }
  :: step == 0 && (tick >= END || rounds == 0) -> break
  od
}

proctype clock ()
{
  do
  :: tick < END -> tick++
  :: tick >= END -> break
  od
}

/* Writes of node 0 that came late take effect or are lost.  */
proctype network ()
{
  byte slot;

  do
  :: slot < 2 ->
     if
     :: atomic { on_way[slot] -> take_effect (slot) }
     :: skip
     fi;
     slot++
  :: slot >= 2 -> break
  od
}

init
{
  atomic { run node (0, 3); run node (1, 2); run clock (); run network () };
  _nr_pr == 1;
  /* The holder sees which number each engine follows and orders again.  */
  if
  :: holder != NONE ->
#ifndef NO_REORDER
     loose = fencing;
#endif
     if
     :: strict <= fencing -> strict = fencing
     :: else -> skip
     fi;
     assert (loose == fencing && strict == fencing)
  :: else -> skip
  fi
}
