/* Reports of usage on the users' platform: two nodes that may both take
   themselves for the holder, counts that differ from node to node, a store
   whose answers are lost and whose writes may take effect late, and a provider
   that takes one report a window.

   mutants: SEND_UNWRITTEN NO_CONDITION OWN_COUNTS_ON_CONFLICT COUNT_AGAIN TRUST_LOST_ANSWER

   Transitions:
     read    usage_ledger_read_done()
     write   usage_ledger_write_start() and the store
     done    usage_ledger_write_done()
     send    USAGE_SEND: what the record says, never what this node counted
   A count is 1 + the node that made it, for each window.  */
#define WINDOWS 2
#define NOBODY 0

/* The record in the store.  */
byte window, counts = NOBODY, revision = 1;
/* What the provider took of each window.  */
byte taken[WINDOWS + 1];

/* A write on its way that takes effect late, one a node.  */
bool late[2];
byte late_window[2], late_revision[2];

inline take_effect (n, at, w)
{
  if
#ifdef NO_CONDITION
  :: true ->
#else
  :: at == revision ->
#endif
     window = w;
     counts = n + 1;
     revision++;
     done = true
  :: else -> done = false
  fi
}

inline send (w, c)
{
  /* A repeat of the same counts is harmless.  */
  assert (taken[w] == NOBODY || taken[w] == c);
  taken[w] = c
}

proctype node (byte n)
{
  bool known, done;
  byte seen_window, seen_counts, seen_revision, rounds;

  do
  :: rounds < 5 ->
     rounds++;
     if
     :: atomic { !known ->
          seen_window = window;
          seen_counts = counts;
          seen_revision = revision;
          known = true }
     :: atomic { known && seen_window > 0 -> send (seen_window, seen_counts) }
     :: atomic { known && seen_window < WINDOWS ->
#ifdef SEND_UNWRITTEN
          send (seen_window + 1, n + 1);
#endif
          if
          :: take_effect (n, seen_revision, seen_window + 1);
             if
             /* The answer arrives.  */
             :: done ->
                seen_window++;
                seen_counts = n + 1;
                seen_revision++
             :: !done ->
#ifdef OWN_COUNTS_ON_CONFLICT
                seen_window++;
                seen_counts = n + 1
#else
                known = false
#endif
             /* The answer is lost.  */
             :: true ->
#ifdef TRUST_LOST_ANSWER
                seen_window++;
                seen_counts = n + 1
#else
                known = false
#endif
             fi
          /* It takes effect later, or never.  */
          :: !late[n] ->
             late[n] = true;
             late_window[n] = seen_window + 1;
             late_revision[n] = seen_revision;
             known = false
          fi }
#ifdef COUNT_AGAIN
     /* The record's window is counted and written anew.  */
     :: atomic { known && seen_window > 0 ->
          take_effect (n, seen_revision, seen_window);
          known = false }
#endif
     /* The process starts again, or loses the duty and takes it once more.  */
     :: atomic { known = false }
     fi
  :: rounds >= 5 -> break
  od
}

proctype network ()
{
  bool done;

  do
  :: atomic { late[0] -> late[0] = false; take_effect (0, late_revision[0], late_window[0]) }
  :: atomic { late[1] -> late[1] = false; take_effect (1, late_revision[1], late_window[1]) }
  :: break
  od
}

init
{
  atomic { run node (0); run node (1); run network () }
}
