/* The lease of the duties while the store comes back from an older copy, up to
   twice.  Two nodes, which learn of the later era with their next call; the
   lease, its renewals and its token are gone.  One of the nodes may start
   again, and then finds a later era without knowing how old it is.

   mutants: ERA_IGNORED NO_WAIT SAME_TOKENS STARTS_AT_ONCE TRUSTS_RECORD

   Time is a counter.  Transitions:
     learn      update_era() of duties.c, gs_lease_store_reset(),
                gs_lease_reset_assume()
     call       gs_lease_read_done(), start_write() and gs_lease_write_done()
     act        gs_lease_is_valid()
   Left out: the store's revisions of two eras are told apart (feed.c), and
   calls that are late (lease.pml).  */
#define TERM  2
#define PAUSE 1
#define END   6
#define NONE  2
#define BACKS 2
/* Tokens of one era.  */
#define ERA_TOKENS 16

byte tick;
byte era = 1, holder = NONE, fencing, version = 1;
/* The object in the copy, and a version that was not given before.  */
byte copy_holder = NONE, copy_fencing, next_version = 2;
bool has_copy;
byte known_era[2] = 1, act_until[2], own_fencing[2], lost_until[2];
byte floor_fencing[2], seen_version[2], seen_at[2];
/* The process has started again and has not held the lease since.  */
bool is_new[2];
/* Highest token with which a node has acted, and the node.  */
byte last_token, last_actor = NONE;

inline learn (n)
{
#ifndef ERA_IGNORED
  if
  :: known_era[n] < era ->
#ifdef NO_WAIT
     lost_until[n] = 0;
#else
#ifdef STARTS_AT_ONCE
     lost_until[n] =
       (known_era[n] == 0 || tick < act_until[n] -> 0 : tick + TERM);
#else
     lost_until[n] = (era == 1 || tick < act_until[n] -> 0 : tick + TERM);
#endif
#endif
     known_era[n] = era;
     act_until[n] = 0;
#ifndef SAME_TOKENS
     floor_fencing[n] = (era == 1 -> 0 : era * ERA_TOKENS);
#endif
     skip
  :: else -> skip
  fi
#else
  skip
#endif
}

/* Reads the lease, and writes it if the node may.  */
inline call (n)
{
  learn (n);
  if
  :: seen_version[n] != version -> seen_version[n] = version; seen_at[n] = tick
  :: else -> skip
  fi;
  if
  :: holder != n && act_until[n] != 0 -> act_until[n] = 0
  :: else -> skip
  fi;
  if
#ifdef TRUSTS_RECORD
  :: (tick >= lost_until[n] || fencing > 0) &&
#else
  :: (tick >= lost_until[n] || fencing > floor_fencing[n]) &&
#endif
     (holder == n || holder == NONE || tick >= seen_at[n] + TERM) ->
     if
     :: holder != n || is_new[n] || fencing < floor_fencing[n] ->
        if
        :: fencing < floor_fencing[n] -> fencing = floor_fencing[n] + 1
        :: else -> fencing++
        fi
     :: else -> skip
     fi;
     holder = n;
     version = next_version;
     next_version++;
     seen_version[n] = version;
     seen_at[n] = tick;
     own_fencing[n] = fencing;
     is_new[n] = false;
     act_until[n] = tick + TERM - PAUSE;
     lost_until[n] = 0
  :: else -> skip
  fi
}

inline act (n)
{
  /* No two nodes may act at a time.  */
  assert (tick >= act_until[1 - n]);
  /* Tokens never fall, and no two nodes use the same one.  */
  assert (own_fencing[n] >= last_token);
  assert (last_actor == NONE || last_actor == n ||
          own_fencing[n] > last_token);
  last_token = own_fencing[n];
  last_actor = n
}

/* The process is killed, and one that knows nothing takes its place.  */
inline restart (n)
{
  known_era[n] = 0;
  act_until[n] = 0;
  lost_until[n] = 0;
  floor_fencing[n] = 0;
  seen_version[n] = 0;
  seen_at[n] = 0;
  is_new[n] = true
}

proctype node (byte n; byte calls; byte restarts)
{
  do
  :: atomic { tick < END && restarts > 0 -> restarts--; restart (n) }
  :: atomic { tick < END && calls > 0 -> calls--; call (n) }
  :: atomic { tick < END && tick < act_until[n] -> act (n) }
  :: tick >= END || calls == 0 -> break
  od
}

/* The copy is taken at any time, and is as old as that when it comes back. */
proctype store ()
{
  byte backs;

  do
  :: atomic {
       tick < END -> copy_holder = holder; copy_fencing = fencing;
       has_copy = true
     }
  :: atomic {
       tick < END && has_copy && backs < BACKS ->
       backs++;
       era++;
       holder = copy_holder;
       fencing = copy_fencing;
       version = next_version;
       next_version++
     }
  :: break
  od
}

proctype clock ()
{
  do
  :: tick < END -> tick++
  :: tick >= END -> break
  od
}

init
{
  atomic { run node (0, 3, 1); run node (1, 3, 0); run store (); run clock () }
}
