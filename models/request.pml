/* Dispatch right of one call that may not be repeated.

   Request X is accepted by process G, whose backup B holds a copy.  The caller
   repeats the key at process N as request Y.  The claim is one object of the
   store, changed only by conditional writes.

   Faults: any process may stop between two steps (a pause is an arbitrary
   delay, which interleaving covers); B may take a live G for lost; a write may
   be refused, take effect with its answer lost, or take effect late; the
   message that gives the request up may be lost or come twice.

   Transitions and the functions that implement them (src/request/):
     write_claim  claim_start, write_claim, on_claim_written (claim.c)
     read_back    on_claim_read, on_own_claim                (claim.c)
     dispatch     on_claim_held, attempt_dispatch            (claim.c, attempt.c)
     refuse       end_without_claim                          (claim.c)
     give_up      handover_start                             (handover.c)
     take_given   handover_adopt, claim_start                (handover.c, claim.c)
     fence        handover_adopt, on_claim_held              (handover.c, claim.c)
     ask_holder   on_holder_reply                            (claim.c)
   tests/test_handover.c and tests/test_request_faults.c drive the same functions.

   mutants: RUN_ON_LOSS GIVE_AND_RUN SEND_ON_UNKNOWN NOT_RUN_ON_LOSS TAKE_FROM_DEAD WRITE_ALWAYS RUN_AFTER_NOT_RUN STEAL_AFTER_LAPSE */

#define ABSENT 0
#define BY_G 1 /* claim names X, holder G */
#define BY_B 2 /* X, holder B */
#define BY_N 3 /* Y, holder N */

mtype = { OPEN, RAN, NOT_RUN, UNKNOWN, MOVED, GIVE };

byte claim = ABSENT;
byte version = 0;
byte late = 0; /* a write of G that may still take effect */

byte runs = 0;
bool x_ran = false;
bool x_not_run = false; /* some caller of X heard not_run */
bool y_ran = false;
bool y_not_run = false;

mtype g_state = OPEN;
mtype b_state = OPEN;
bool g_dead = false;
bool b_dead = false;
bool b_has_x = false;

chan gives = [2] of { mtype, byte };

inline run_x () { atomic { runs++; x_ran = true;
                           assert (runs <= 1); assert (!x_not_run) } }
inline run_y () { atomic { runs++; y_ran = true;
                           assert (runs <= 1); assert (!y_not_run) } }
inline tell_x_not_run () { atomic { x_not_run = true; assert (!x_ran) } }
inline tell_y_not_run () { atomic { y_not_run = true; assert (!y_ran) } }

#define OK 0
#define CONFLICT 1
#define REFUSED 2
#define LOST 3 /* it took effect, or may yet, or never will */

/* A conditional write: it takes effect when `expected` is the version. */
inline write (who, expected, answer)
{
  atomic {
    if
#ifdef WRITE_ALWAYS
    :: claim = who; version++; answer = OK
#else
    :: version == expected -> claim = who; version++; answer = OK
    :: version == expected -> claim = who; version++; answer = LOST
    :: version != expected -> answer = CONFLICT
    :: version != expected -> answer = LOST
#endif
    :: answer = REFUSED
    :: answer = LOST
    fi
  }
}

/* A write of G that was on its way for long. */
active proctype late_write ()
{
  do
  :: atomic { late == 1 && version == 0 ->
              claim = BY_G; version++; late = 0 }
  :: atomic { late == 1 -> late = 0 }
  :: g_state != OPEN && late == 0 -> break
  :: g_dead && late == 0 -> break
  od
}

active proctype G ()
{
  byte answer;
  byte tries = 0;

write_claim:
  if
  :: goto give_up
  :: write (BY_G, 0, answer)
  :: g_dead = true; goto end
  fi;
  if
  :: answer == OK -> goto claimed
  :: answer == LOST -> if :: late = 1 :: skip fi; goto read_back
  :: answer == CONFLICT -> goto read_back
  :: answer == REFUSED && tries < 1 -> tries++; goto read_back
  :: answer == REFUSED && tries >= 1 -> goto refuse
  fi;

read_back:
#ifdef SEND_ON_UNKNOWN
  if
  :: answer == LOST -> goto claimed
  :: else -> skip
  fi;
#endif
  if
  :: claim == BY_G -> goto claimed
  :: claim == BY_B || claim == BY_N -> g_state = UNKNOWN; goto end
  :: claim == ABSENT && tries < 2 -> tries++; goto write_claim
  :: goto refuse /* the store does not answer reads */
  :: g_dead = true; goto end
  fi;

refuse:
  atomic { g_state = NOT_RUN; tell_x_not_run () };
#ifdef RUN_AFTER_NOT_RUN
  if
  :: claim == BY_G -> run_x ()
  :: else -> skip
  fi;
#endif
  goto end;

claimed:
  if
  :: goto dispatch
  :: goto give_up
  :: g_dead = true; goto end
  fi;

dispatch:
  run_x ();
  if
  :: g_state = RAN
  :: g_state = UNKNOWN
  :: g_dead = true
  fi;
  goto end;

give_up:
  /* Nothing is sent to a service from here on. */
  g_state = MOVED;
  if
  :: gives ! GIVE, (claim == BY_G -> version : 0)
  :: gives ! GIVE, (claim == BY_G -> version : 0);
     gives ! GIVE, (claim == BY_G -> version : 0)
  :: skip /* the message is lost */
  fi;
#ifdef GIVE_AND_RUN
  if
  :: claim == BY_G -> run_x ()
  :: else -> skip
  fi;
#endif
  if
  :: g_dead = true
  :: skip
  fi;
end:
  skip
}

active proctype B ()
{
  byte answer;
  byte seen;
  byte tries = 0;

  if
  :: gives ? GIVE, seen -> b_has_x = true; goto take_given
  :: b_has_x = true; goto fence /* G is lost, or seems to be */
  :: b_dead = true; goto end
  :: timeout -> goto end
  fi;

take_given:
  write (BY_B, seen, answer);
  if
  :: answer == OK -> goto dispatch
  :: answer != OK -> goto read_given
  fi;
read_given:
  if
  :: claim == BY_B -> goto dispatch
  :: claim == BY_G && tries < 2 -> tries++; seen = version; goto take_given
  :: claim == ABSENT && tries < 2 -> tries++; seen = 0; goto take_given
  :: claim == BY_N -> b_state = UNKNOWN; goto end
  :: atomic { b_state = NOT_RUN; tell_x_not_run () }; goto end
  :: b_dead = true; goto end
  fi;

fence:
#ifdef NOT_RUN_ON_LOSS
  atomic { b_state = NOT_RUN; tell_x_not_run () };
  goto end;
#endif
#ifdef STEAL_AFTER_LAPSE
  if
  :: claim == BY_G -> seen = version; goto take_given
  :: else -> skip
  fi;
#endif
  write (BY_B, 0, answer);
  if
  :: answer == OK -> goto fenced
  :: answer != OK && claim == BY_B -> goto fenced /* read back */
  :: answer != OK -> b_state = UNKNOWN; goto end
  fi;
fenced:
#ifdef RUN_ON_LOSS
  goto dispatch;
#endif
  atomic { b_state = NOT_RUN; tell_x_not_run () };
  goto end;

dispatch:
  if
  :: run_x (); b_state = RAN
  :: run_x (); b_state = UNKNOWN
  :: run_x (); b_dead = true
  :: b_dead = true
  fi;
end:
  skip
}

active proctype N ()
{
  byte answer;
  byte seen;
  byte tries = 0;

write_claim:
  write (BY_N, seen, answer);
  if
  :: answer == OK -> goto dispatch
  :: answer == REFUSED -> atomic { tell_y_not_run () }; goto end
  :: else -> skip
  fi;
read_back:
  atomic { seen = version;
    if
    :: claim == BY_N -> goto dispatch
    :: claim == ABSENT && tries < 2 -> tries++; goto write_claim
    :: claim == BY_G -> goto ask_g
    :: claim == BY_B -> goto ask_b
    :: claim != BY_N -> tell_y_not_run (); goto end
    fi };

ask_g:
  if
  :: g_dead -> goto lost
  :: !g_dead && g_state == NOT_RUN && tries < 2 -> tries++; goto write_claim
  :: !g_dead && g_state == MOVED && tries < 2 -> tries++; goto read_back
  :: !g_dead && (g_state == RAN || g_state == UNKNOWN) -> goto end
  :: tell_y_not_run (); goto end /* the deadline */
  fi;
ask_b:
  if
  :: b_dead -> goto lost
  :: !b_dead && b_state == NOT_RUN && tries < 2 -> tries++; goto write_claim
  :: !b_dead && (b_state == RAN || b_state == UNKNOWN) -> goto end
  :: tell_y_not_run (); goto end
  fi;
lost:
#ifdef TAKE_FROM_DEAD
  tries++;
  if
  :: tries < 3 -> goto write_claim
  :: else -> skip
  fi;
#endif
  goto end; /* unknown */

dispatch:
  run_y ();
end:
  skip
}
