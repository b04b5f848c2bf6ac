/* Adoption of catalogue generations by two nodes, two operators, a store that
   loses answers and is restored once, and a node that restarts.

   mutants: ADOPT_ANY TIE_STAYS BUILD_ON_STORE BLIND_PUT FORGET_EFFECT NO_REPAIR

   A text is its mark (generation * 4 + digest, compared as one number, as
   gs_config_id_compare() does) and the set of changes in it.  Transitions:
     adopt      gs_config_text_receive(), gs_config_read_done()
     pull       gs_config_announcement_receive() and the answer to GS_CONFIG_PULL
     repair     GS_CONFIG_WRITE_BACK and gs_config_write_done()
     edit       run_attempt(), on_write_done() and on_reread_done() of apply.c

   Assumed: versions of the store's objects are never used twice, also after
   a restore.  */
#define GENERATION(m) ((m) / 4)

byte store_mark, store_changes, store_version = 1;
byte held_mark[2], held_changes[2];
bool accepted[2], refused[2], finished[2];
bool restored;

/* A text is put in force on node n only if it comes later.  */
inline adopt (n, mark, changes)
{
  if
#ifdef ADOPT_ANY
  :: mark != held_mark[n] && mark != 0 ->
#else
#ifdef TIE_STAYS
  :: GENERATION (mark) > GENERATION (held_mark[n]) ->
#else
  :: mark > held_mark[n] ->
#endif
#endif
     assert (GENERATION (mark) >= GENERATION (held_mark[n]));
     held_mark[n] = mark;
     held_changes[n] = changes
  :: else -> skip
  fi
}

inline put_text (mark, changes)
{
  store_mark = mark;
  store_changes = changes;
  store_version++
}

inline repair (n)
{
  if
#ifndef NO_REPAIR
  :: held_mark[n] > store_mark -> put_text (held_mark[n], held_changes[n])
#endif
  :: else -> skip
  fi
}

/* Each node has one operator with one change, bit n of the changes.  */
proctype operator (byte n)
{
  byte mark, changes, version, rounds;

  do
  :: rounds < 2 ->
     rounds++;
     d_step {
       /* The read that comes before each round.  */
       adopt (n, store_mark, store_changes);
       version = store_version;
       changes = held_changes[n] | (1 << n);
#ifdef BUILD_ON_STORE
       mark = GENERATION (store_mark);
#else
       mark = GENERATION (held_mark[n]);
#endif
       mark = (mark + 1) * 4 + n + 1;
       assert (GENERATION (mark) > GENERATION (held_mark[n]))
     };
     if
     :: held_changes[n] & (1 << n) -> accepted[n] = true; break
     :: else -> skip
     fi;
     if
     :: atomic {
#ifndef BLIND_PUT
          version == store_version ->
#endif
          put_text (mark, changes)
        };
        if
        :: accepted[n] = true; /* the answer comes */
           d_step { adopt (n, mark, changes) };
           break
        :: skip /* the answer is lost: the next round reads it back */
        fi;
#ifdef FORGET_EFFECT
        refused[n] = true;
        break
#endif
     :: version != store_version -> skip /* conflict */
     :: skip                             /* lost before it took effect */
     fi
  :: rounds >= 2 -> break /* told "unknown" */
  od;
  finished[n] = true
}

proctype node (byte n)
{
  do
  :: d_step { adopt (n, store_mark, store_changes) }
  :: d_step { repair (n) }
  :: d_step { adopt (n, held_mark[1 - n], held_changes[1 - n]) }
  :: finished[0] && finished[1] -> break
  od
}

proctype faults ()
{
  byte old_mark, old_changes;

  atomic { old_mark = store_mark; old_changes = store_changes };
  if
  :: atomic { store_mark = old_mark; store_changes = old_changes;
              store_version++; restored = true }
  :: skip
  fi;
  if
  :: atomic { !finished[0] -> held_mark[0] = 0; held_changes[0] = 0 }
  :: skip
  fi
}

init
{
  byte i;

  atomic { run node (0); run node (1); run operator (0); run operator (1);
           run faults () };
  _nr_pr == 1;
  /* Everything settles: reads, pulls and write-backs in turn.  */
  d_step {
    do
    :: i < 3 ->
       adopt (0, store_mark, store_changes);
       adopt (1, store_mark, store_changes);
       adopt (0, held_mark[1], held_changes[1]);
       adopt (1, held_mark[0], held_changes[0]);
       repair (0);
       repair (1);
       i++
    :: else -> break
    od
  };
  assert (held_mark[0] == held_mark[1] && held_mark[0] == store_mark);
  /* What an operator was told is so; a restore can take back a change that
     no running node had.  */
  assert (!refused[0] || !(store_changes & 1));
  assert (!refused[1] || !(store_changes & 2));
  assert (restored || !accepted[0] || (store_changes & 1));
  assert (restored || !accepted[1] || (store_changes & 2))
}
