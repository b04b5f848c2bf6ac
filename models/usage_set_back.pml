/* Reports of usage while the store comes back from an older copy, up to twice:
   the record of windows that were sent is gone.  Two nodes; the holder is
   killed, and starts again without what it had counted, or loses the lease and
   stays.  That no two act at a time is shown by set_back.pml.

   mutants: RUNS_ON HOLDER_READS_ANEW STARTS_ANEW TRUSTS_LEASE

   Time is the number of windows whose counts have settled.  Transitions:
     learn     update_era() of duties.c, usage_ledger_store_reset()
     take      update_holder() of duties.c
     read      usage_ledger_read_done(), on_usage_read() of duties.c
     write     next_window(), usage_ledger_write_done()
     send      usage_ledger_next(), USAGE_SEND
     tell      duties_usage_window_raise()
   Left out: writes that take effect late, and answers that are lost
   (usage.pml).  */
#define WINDOWS 3
#define NONE    2
#define BACKS   2
#define KILLS   2

byte settled, era = 1, holder = NONE;
/* The lease has been taken in this era.  */
bool lease_current = true;
/* The record in the store, and in its copy.  Counts differ between processes,
   so they are named by the process that made them.  */
byte record_window, record_counts, record_era = 1;
byte copy_window, copy_counts, copy_era;
bool has_copy;
byte backs, kills, next_process = 3;
/* What the provider took of each window.  */
byte taken[WINDOWS + 1];
/* Of each node.  */
byte process[2], known_era[2], sent_window[2], assumed_window[2];
byte own_window[2], own_counts[2], window[2], counts[2];
bool is_valid[2], is_sent[2];
/* The process has found a later era at its start, and no record of it yet.  */
bool doubts[2];

#define MAX(a, b) (a > b -> a : b)

inline learn (n)
{
  if
  :: known_era[n] == era -> skip
  :: known_era[n] == 0 -> doubts[n] = (era > 1); known_era[n] = era
  :: else ->
     if
#ifndef RUNS_ON
     :: holder != n -> assumed_window[n] = settled
#endif
#ifndef HOLDER_READS_ANEW
     :: holder == n && !is_valid[n] -> assumed_window[n] = settled
     :: holder == n && is_valid[n] ->
        assumed_window[n] = MAX (assumed_window[n],
          (window[n] > 0 && counts[n] == process[n] && !is_sent[n]
           -> window[n] - 1 : window[n]))
#endif
     :: else -> skip
     fi;
     is_valid[n] = false;
     doubts[n] = false;
     known_era[n] = era;
     if
     :: holder == n -> lease_current = true
     :: else -> skip
     fi
  fi
}

inline take (n)
{
  learn (n);
#ifdef TRUSTS_LEASE
  if
  :: doubts[n] && !lease_current -> assumed_window[n] = settled
  :: else -> skip
  fi;
  doubts[n] = false;
#endif
  lease_current = true;
  holder = n;
  is_valid[n] = false
}

inline read (n)
{
  learn (n);
  window[n] = record_window;
  counts[n] = (record_window == own_window[n] && own_counts[n] != 0
               -> own_counts[n] : record_counts);
  is_sent[n] = (window[n] < sent_window[n]);
  is_valid[n] = true;
#ifndef STARTS_ANEW
  if
  :: doubts[n] && record_era != era -> assumed_window[n] = settled
  :: else -> skip
  fi;
#endif
  doubts[n] = false
}

inline write (n)
{
  if
  :: known_era[n] != era || window[n] != record_window ->
     learn (n);
     is_valid[n] = false
  :: else ->
     record_window =
       MAX (window[n], MAX (sent_window[n], assumed_window[n])) + 1;
     record_counts = process[n];
     record_era = era;
     window[n] = record_window;
     counts[n] = record_counts;
     is_sent[n] = false
  fi
}

inline send (n)
{
  /* A repeat of the same counts is harmless.  */
  assert (taken[window[n]] == 0 || taken[window[n]] == counts[n]);
  taken[window[n]] = counts[n];
  own_window[n] = window[n];
  own_counts[n] = counts[n];
  is_sent[n] = true;
  sent_window[n] = MAX (sent_window[n], window[n])
}

inline kill (n)
{
  process[n] = next_process;
  next_process++;
  known_era[n] = 0;
  sent_window[n] = 0;
  assumed_window[n] = 0;
  own_window[n] = 0;
  own_counts[n] = 0;
  doubts[n] = false;
  is_valid[n] = false;
  if
  :: holder == n -> holder = NONE
  :: else -> skip
  fi
}

proctype node (byte n)
{
end:
  do
  :: atomic { holder == NONE -> take (n) }
  :: atomic { holder == n && !is_valid[n] -> read (n) }
  :: atomic {
       holder == n && is_valid[n] && is_sent[n] &&
       MAX (window[n], MAX (sent_window[n], assumed_window[n])) < settled ->
       write (n)
     }
  :: atomic { holder == n && is_valid[n] && !is_sent[n] && window[n] > 0 ->
       send (n) }
  :: atomic { holder == n && is_valid[n] && !is_sent[n] && window[n] == 0 ->
       is_sent[n] = true }
  :: atomic { known_era[n] != era -> learn (n) }
  :: atomic {
       sent_window[n] > sent_window[1 - n] && known_era[1 - n] != 0 ->
       sent_window[1 - n] = sent_window[n]
     }
  :: atomic { kills < KILLS -> kills++; kill (n) }
  /* The lease ends without its renewal.  */
  :: atomic { holder == n && kills < KILLS -> kills++; holder = NONE }
  od
}

proctype store ()
{
end:
  do
  :: atomic {
       copy_window != record_window || !has_copy ->
       copy_window = record_window; copy_counts = record_counts;
       copy_era = record_era;
       has_copy = true
     }
  :: atomic {
       has_copy && backs < BACKS ->
       backs++; era++; lease_current = false;
       record_window = copy_window; record_counts = copy_counts;
       record_era = copy_era
     }
  od
}

proctype clock ()
{
  do
  :: settled < WINDOWS -> settled++
  :: else -> break
  od
}

init
{
  atomic {
    process[0] = 1;
    process[1] = 2;
    run node (0); run node (1); run store (); run clock ()
  }
}
