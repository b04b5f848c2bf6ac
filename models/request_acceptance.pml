/* Acceptance and replacement of the backup.

   Process 0 takes a request and tells the caller "accepted" once a backup has
   acknowledged its copy.  The backup may be replaced while it leaves; the
   former one drops its copy only after the new one has acknowledged.  At most
   one process stops without notice; messages may be lost or come twice.

   Transitions and the functions that implement them (src/request/):
     put       handover_backup_choose           (handover.c)
     hold      gs_backup_core_step, on_put      (backup.c)
     accept    handover_on_ack, accept_request  (handover.c)
     replace   handover_backup_choose           (handover.c)
     release   release_previous_backup, on_done (handover.c, backup.c)
   tests/test_handover.c and tests/test_request_faults.c drive the same functions.

   mutants: ACCEPT_BEFORE_ACK RELEASE_FIRST ACK_OF_FORMER */

mtype = { PUT, RELEASE };

chan to_backup[3] = [3] of { mtype };
chan acks = [6] of { byte };

bool holds[3];
bool dead[3];
bool accepted = false;
byte stops = 0;

#define SURVIVES                                                              \
  (!accepted || stops > 1 || (holds[0] && !dead[0])                           \
   || (holds[1] && !dead[1]) || (holds[2] && !dead[2]))

/* A full channel loses what is sent. */
inline post (who, what)
{
  if
  :: atomic { nfull (to_backup[who]) -> to_backup[who] ! what }
  :: full (to_backup[who]) -> skip
  fi
}

inline send (who, what)
{
  if
  :: post (who, what)
  :: post (who, what); post (who, what)
  :: skip
  fi
}

proctype backup (byte me)
{
  mtype what;

  do
  :: to_backup[me] ? what ->
     if
     :: dead[me] -> skip
     :: !dead[me] && what == PUT ->
        holds[me] = true;
        if
        :: atomic { nfull (acks) -> acks ! me }
        :: full (acks) -> skip
        :: skip
        fi
     :: !dead[me] && what == RELEASE ->
        atomic { holds[me] = false; assert (SURVIVES) }
     fi
  :: timeout -> break
  od
}

active proctype stopper ()
{
  byte who;

  if
  :: who = 0
  :: who = 1
  :: who = 2
  :: goto end
  fi;
  atomic { dead[who] = true; holds[who] = false; stops++; assert (SURVIVES) };
end:
  skip
}

active proctype giver ()
{
  byte current = 1;
  byte from;
  bool held = false;
  byte tries = 0;

  atomic { holds[0] = !dead[0]; run backup (1); run backup (2) };
put:
  send (current, PUT);
#ifdef ACCEPT_BEFORE_ACK
  if
  :: atomic { !dead[0] -> accepted = true }
  :: dead[0] -> goto end
  fi;
#endif
  do
  :: dead[0] -> goto end
  :: atomic { acks ? from ->
       if
       :: dead[0] -> goto end
#ifdef ACK_OF_FORMER
       :: !dead[0] -> accepted = true; held = true; break
#else
       :: !dead[0] && from == current -> accepted = true; held = true; break
       :: !dead[0] && from != current -> skip
#endif
       fi }
  :: !dead[0] && tries < 2 -> tries++; goto put
  :: !dead[0] && tries == 2 && !held -> goto end
  od;
  assert (SURVIVES);

  /* The backup leaves. */
  if
  :: current == 1 -> goto replace
  :: else -> goto release
  fi;
replace:
  current = 2;
  tries = 0;
  held = false;
#ifdef RELEASE_FIRST
  send (1, RELEASE);
#endif
  goto put;

release:
  if
  :: !dead[0] -> send (1, RELEASE)
  :: dead[0] -> skip
  fi;
end:
  skip
}
