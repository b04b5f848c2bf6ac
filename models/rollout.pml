/* A roll-out: the owner's record in the store, and two nodes that follow it.
   The duties change hands, responses to writes are lost, writes take effect
   late, a node is partitioned off, and the store is down for a while.  The
   target is good, or bad from some time on.

   mutants: ACTS_BEFORE_WRITE NO_CONDITION NO_FALLBACK NO_READ NO_DRAIN_WAIT STARTS_ANEW IGNORES_VERDICT

   Time is a counter; in each tick the surroundings may change, then the owner
   steps, nodes hear the owner, and nodes send.  Transitions:
     owner_step ()   rollout_plan_step ()
     confirm ()      message of the owner that confirms the record
     node_stage ()   rollout_plan_node_stage ()
   Left out: the shares of single nodes (test_rollout_share.c), the statistics
   of the verdict (test_rollout_judge.c), the fraction in the shift.  */
#define PROBATION   1
#define SHIFT       2
#define DRAINING    3
#define COMPLETED   4
#define ROLLED_BACK 5
#define IDLE        0
#define NONE        2

/* Times in ticks.  A request runs for RUN; a node that has not heard the owner
   for FALL is on probation, for STOP idle; ROLLBACK is the bound.  */
#define RUN      2
#define FALL     2
#define STOP     3
#define ROLLBACK 4
#define LAG      2
#define SHIFT_AT 2
#define DRAIN_AT 4
/* A partition is longer than the bound.  */
#define CUT      7
#define END      24

byte tick;
bool is_bad;
byte bad_at;         /* when all nodes in contact know the verdict */
/* The record in the store.  */
byte stage = PROBATION, version = 1, stage_since;
byte owner;          /* holder of the duties, or NONE */
byte vacant_until;
/* What each owner knows of the record; false if it has to read it.  */
bool knows[2];
byte known_stage[2], known_version[2], known_since[2];
/* A write of each owner that takes effect later.  */
bool late[2];
byte late_stage[2], late_version[2], late_decided[2];
/* The nodes.  */
byte node_record[2] = PROBATION, unheard[2], running[2] = RUN;
bool node_bad[2];    /* has the verdict, which is final */
byte cut_node = NONE, cut_left, healed_at;
byte down_left;
/* How often the surroundings may still change.  */
byte moves = 2, losses = 1, delays = 1, cuts = 1, downs = 1;

#define VERDICT_KNOWN (is_bad && tick >= bad_at)
#ifdef NO_CONDITION
#define UNCHANGED(v) true
#else
#define UNCHANGED(v) (v == version)
#endif
#ifdef IGNORES_VERDICT
#define VERDICT_USED false
#else
#define VERDICT_USED VERDICT_KNOWN
#endif
#ifdef NO_DRAIN_WAIT
#define IS_DRAINED(n) true
#else
#define IS_DRAINED(n) (running[n] == 0 || cut_node == n)
#endif

/* A write arrives at the store.  */
inline store_write (to, if_version, decided)
{
  if
  :: UNCHANGED (if_version) ->
     /* A final stage stays, and no stage is repeated: what has been exposed in
        it would be exposed again.  */
     assert (stage < COMPLETED);
     assert (to > stage);
     /* What is known to be bad is not completed.  */
     assert (to != COMPLETED || !is_bad || decided < bad_at);
     if
     :: to == COMPLETED ->
        /* Old replicas stop, and nothing of a node in contact is cut off.  A
           write that takes effect after nodes have returned to probation is
           an exception; its time-out is shorter than that.  */
        assert (running[0] == 0 || cut_node == 0 || tick < healed_at + LAG ||
                tick >= decided + FALL);
        assert (running[1] == 0 || cut_node == 1 || tick < healed_at + LAG ||
                tick >= decided + FALL)
     :: else -> skip
     fi;
     stage = to;
     version++;
     stage_since = tick
  :: else -> skip
  fi
}

inline owner_read (n)
{
  knows[n] = true;
  known_stage[n] = stage;
  known_version[n] = version;
  known_since[n] = stage_since
}

/* The next stage, from the last confirmed one.  Nodes that are partitioned off
   are not waited for.  */
inline owner_decide (n, next)
{
  next = known_stage[n];
  if
  :: known_stage[n] < COMPLETED && VERDICT_USED -> next = ROLLED_BACK
  :: !VERDICT_USED && known_stage[n] == PROBATION && tick >= SHIFT_AT ->
     next = SHIFT
  :: !VERDICT_USED && known_stage[n] == SHIFT && tick >= DRAIN_AT ->
     next = DRAINING
  :: !VERDICT_USED && known_stage[n] == DRAINING &&
     tick >= known_since[n] + LAG && IS_DRAINED (0) && IS_DRAINED (1) ->
     next = COMPLETED
  :: else -> skip
  fi
}

inline owner_step (n, next)
{
  if
  :: !knows[n] ->
#ifdef STARTS_ANEW
     owner_read (n);
     known_stage[n] = PROBATION
#else
     owner_read (n)
#endif
  :: else ->
     owner_decide (n, next);
     if
     :: next == known_stage[n] -> skip
     :: else ->
#ifdef ACTS_BEFORE_WRITE
        node_record[n] = next;
#endif
        if
        :: /* Confirmed, or refused for its version.  */
           if
           :: known_version[n] == version ->
              store_write (next, known_version[n], tick);
              owner_read (n)
           :: else ->
#ifdef NO_CONDITION
              store_write (next, known_version[n], tick);
              owner_read (n)
#else
#ifndef NO_READ
              knows[n] = false;
#endif
              skip
#endif
           fi
        :: losses > 0 ->
           /* The write takes effect, and its response is lost.  */
           losses--;
           store_write (next, known_version[n], tick);
#ifndef NO_READ
           knows[n] = false;
#endif
           skip
        :: delays > 0 && !late[n] ->
           /* The write takes effect later, or never.  */
           delays--;
           late[n] = true;
           late_stage[n] = next;
           late_version[n] = known_version[n];
           late_decided[n] = tick;
#ifndef NO_READ
           knows[n] = false;
#endif
           skip
        fi
     fi
  fi
}

inline surroundings_change ()
{
  /* A late write arrives, at any time.  */
  if
  :: late[0] -> late[0] = false;
     store_write (late_stage[0], late_version[0], late_decided[0])
  :: late[1] -> late[1] = false;
     store_write (late_stage[1], late_version[1], late_decided[1])
  :: true -> skip
  fi;
  /* The owner is killed or loses the lease; nobody holds it for a while.  */
  if
  :: owner != NONE && moves > 0 && tick < 6 ->
     moves--;
     knows[owner] = false;
     owner = NONE;
     vacant_until = tick + 2
  :: owner == NONE && tick >= vacant_until && cut_node != 0 -> owner = 0
  :: owner == NONE && tick >= vacant_until && cut_node != 1 -> owner = 1
  :: owner != NONE -> skip
  :: owner == NONE && tick < vacant_until -> skip
  fi;
  if
  :: cuts > 0 && tick < 6 -> cuts--; cut_node = 0; cut_left = CUT
  :: cuts > 0 && tick < 6 -> cuts--; cut_node = 1; cut_left = CUT
  :: cut_left > 0 -> cut_left--;
     if
     :: cut_left == 0 -> cut_node = NONE; healed_at = tick
     :: else -> skip
     fi
  :: cut_left == 0 -> skip
  fi;
  if
  :: downs > 0 && tick < 6 -> downs--; down_left = 2
  :: down_left > 0 -> down_left--
  :: down_left == 0 -> skip
  fi;
  /* The lease of an owner that is cut off ends.  */
  if
  :: owner != NONE && owner == cut_node ->
     knows[owner] = false;
     owner = NONE;
     vacant_until = tick + 2
  :: else -> skip
  fi
}

inline confirm (n)
{
  if
  :: owner != NONE && knows[owner] && cut_node != n && down_left == 0 ->
     node_record[n] = known_stage[owner];
     unheard[n] = 0
  :: else ->
     if
     :: unheard[n] < STOP -> unheard[n]++
     :: else -> skip
     fi
  fi
}

inline node_stage (n, acts)
{
  acts = node_record[n];
  node_bad[n] = node_bad[n] || (VERDICT_USED && cut_node != n);
  if
  :: acts >= COMPLETED -> skip
  :: acts < COMPLETED && node_bad[n] -> acts = IDLE
#ifndef NO_FALLBACK
  :: acts < COMPLETED && !node_bad[n] && unheard[n] >= STOP -> acts = IDLE
  :: acts < COMPLETED && !node_bad[n] && unheard[n] >= FALL &&
     unheard[n] < STOP ->
     acts = PROBATION
#endif
  :: else -> skip
  fi
}

inline node_send (n, acts)
{
  node_stage (n, acts);
  /* Exposure: nobody acts on a stage that is not in the store.  */
  assert (acts <= stage || acts == IDLE);
  /* Exposure: a bad target gets nothing after the bound.  */
  assert (!is_bad || stage == COMPLETED || acts == IDLE ||
          acts == ROLLED_BACK || tick <= bad_at + ROLLBACK);
  if
  :: acts == DRAINING || acts == COMPLETED ->
     if
     :: running[n] > 0 -> running[n]--
     :: else -> skip
     fi
  :: else -> running[n] = RUN
  fi
}

init
{
  byte next, acts;

  if
  :: is_bad = false
  :: is_bad = true; bad_at = 1
  :: is_bad = true; bad_at = 4
  :: is_bad = true; bad_at = 7
  fi;
  do
  :: tick < END ->
     atomic {
       surroundings_change ();
       if
       :: owner != NONE && down_left == 0 -> owner_step (owner, next)
       :: else -> skip
       fi;
       confirm (0);
       confirm (1);
       node_send (0, acts);
       node_send (1, acts);
       next = 0;
       acts = 0;
       tick++
     }
  :: else -> break
  od;
  /* Completion: a good target is completed once the surroundings are calm, and
     a bad one has not been completed after it was known.  */
  assert (is_bad || stage == COMPLETED);
  assert (!is_bad || stage >= COMPLETED)
}
